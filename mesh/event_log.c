#include "mesh/event_log.h"

#include "common/clock.h"
#include "net/buf.h"
#include "net/timer.h"

#include <fcntl.h>
#include <json-c/json.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define BUFFER_BYTES 65536
/* Kinds of events with their own rate limit; further kinds share the limit of the last one. */
#define KINDS_MAX 64
/* Lines of one kind of event per second; warnings and errors get more. */
#define RATE_INFO_PER_S 10
#define RATE_FAILURE_PER_S 40
#define FLUSH_MS 50

/** Rate limit of one kind of event, identified by the address of its string literal. */
struct event_kind {
	const char *event;
	uint64_t second;
	uint32_t lines, dropped;
};

static struct {
	uv_loop_t *loop;
	const char *node;
	struct buf pending;
	struct timer *timer;
	struct event_kind kinds[KINDS_MAX];
	uint64_t dropped;
} event_state;

static void on_flush(void *arg)
{
	(void)arg;
	event_state.timer = NULL;
	event_log_flush();
}

void event_log_start(uv_loop_t *loop, const char *node)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	event_state.loop = loop;
	event_state.node = node;
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void event_log_flush(void)
{
	struct buf *b = &event_state.pending;
	ssize_t n;

	while (b->len) {
		n = write(STDOUT_FILENO, b->data, b->len);
		if (n <= 0)
			break;
		memmove(b->data, b->data + n, b->len - (size_t)n);
		b->len -= (size_t)n;
	}
	if (b->len && event_state.loop && !event_state.timer)
		event_state.timer = timer_start(event_state.loop, FLUSH_MS, on_flush, NULL);
}

uint64_t event_log_dropped(void)
{
	return event_state.dropped;
}

static struct event_kind *find_kind(const char *event)
{
	for (size_t i = 0; i < KINDS_MAX; i++) {
		struct event_kind *k = &event_state.kinds[i];

		if (!k->event)
			k->event = event;
		if (k->event == event)
			return k;
	}
	return &event_state.kinds[KINDS_MAX - 1];
}

static void write_line(enum event_level level, const char *part, const char *event,
		       const struct event_field *fields, size_t n)
{
	static const char *const levels[] = {"info", "warning", "error"};
	struct json_object *o = json_object_new_object();
	const char *text;
	char stamp[40];
	struct timespec ts;
	struct tm tm;
	size_t stamp_len;

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	stamp_len = strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(stamp + stamp_len, sizeof(stamp) - stamp_len, ".%03ldZ", ts.tv_nsec / 1000000);
	json_object_object_add(o, "time", json_object_new_string(stamp));
	json_object_object_add(o, "level", json_object_new_string(levels[level]));
	if (event_state.node)
		json_object_object_add(o, "node", json_object_new_string(event_state.node));
	json_object_object_add(o, "part", json_object_new_string(part));
	json_object_object_add(o, "event", json_object_new_string(event));
	for (size_t i = 0; i < n; i++)
		json_object_object_add(o, fields[i].name,
				       fields[i].text ? json_object_new_string(fields[i].text)
						      : json_object_new_int64(fields[i].number));
	text = json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN);
	if (event_state.pending.len + strlen(text) + 1 > BUFFER_BYTES) {
		event_state.dropped++;
	} else {
		buf_append_text(&event_state.pending, text);
		buf_append_text(&event_state.pending, "\n");
	}
	json_object_put(o);
}

void event_log(enum event_level level, const char *part, const char *event,
	       const struct event_field *fields, size_t n)
{
	uint32_t rate = level == EVENT_INFO ? RATE_INFO_PER_S : RATE_FAILURE_PER_S;
	struct event_kind *k = find_kind(event);
	uint64_t second = clock_now_us() / 1000000;

	if (k->second != second) {
		if (k->dropped)
			write_line(EVENT_WARNING, "log", "dropped",
				   (const struct event_field[]){EVENT_TEXT("kind", event),
								EVENT_NUMBER("lines", k->dropped)},
				   2);
		k->second = second;
		k->lines = 0;
		k->dropped = 0;
	}
	if (k->lines++ >= rate) {
		k->dropped++;
		event_state.dropped++;
		return;
	}
	write_line(level, part, event, fields, n);
	if (!event_state.loop)
		event_log_flush();
	else if (!event_state.timer)
		event_state.timer = timer_start(event_state.loop, FLUSH_MS, on_flush, NULL);
}
