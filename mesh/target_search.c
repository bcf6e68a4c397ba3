#include "mesh/target_search.h"

#include "common/clock.h"
#include "mesh/event_log.h"
#include "mesh/target.h"
#include "net/timer.h"
#include "platform/fields.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

/* Interval of the check whether a health request is to be sent. */
#define CHECK_MS 20
/* Pause after a health request that did not identify the target. */
#define RETRY_INTERVAL_US (200 * BR_US_PER_MS)
/* The search ends after this time, since targets report about this often. */
#define SEARCH_DURATION_US (1500 * BR_US_PER_MS)
#define CALL_TIMEOUT_MS 500
#define CONNECT_TIMEOUT_MS 200
#define ANSWER_HEADER_MAX_BYTES 16384
#define ANSWER_BODY_MAX_BYTES 65536

struct target_search {
	struct board *board;
	struct timer *timer;
	struct conn_pool *pool;
	struct http_call call;
	uint64_t until_us, next_us;
	/** Time at which the pending health request was sent. */
	uint64_t asked_us;
};

/* Slots that a health answer tells; 0 if it does not, as not all targets do. */
static uint32_t read_slots(const struct http_msg *msg)
{
	const char *load =
		http_msg_find_field(msg, platform_field_name(PLATFORM_FIELD_TARGET_LOAD));
	unsigned int running, waiting, slots;

	if (!load || sscanf(load, "%u,%u,%u", &running, &waiting, &slots) != 3 ||
	    slots > UINT16_MAX)
		return 0;
	return slots;
}

static void on_done(struct http_call *call, enum http_call_result call_result, struct http_msg *msg,
		    int err)
{
	struct target_search *s =
		(struct target_search *)((char *)call - offsetof(struct target_search, call));
	const char *id =
		msg ? http_msg_find_field(msg, platform_field_name(PLATFORM_FIELD_ANSWERING_TARGET))
		    : NULL;
	uint16_t status = msg ? msg->status : 0;

	/* Only a healthy target that is not leaving answers 200. */
	if (status == 200 && id && *id) {
		EVENT(EVENT_INFO, "target", "found", EVENT_TEXT("target", id),
		      EVENT_NUMBER("slots", read_slots(msg)));
		target_confirm(s->board->target, id, read_slots(msg), s->asked_us);
	} else {
		EVENT(EVENT_INFO, "target", "not_confirmed", EVENT_NUMBER("status", status),
		      EVENT_NUMBER("result", call_result), EVENT_NUMBER("error", (uint64_t)-err));
	}
	http_msg_destroy(msg);
	s->next_us = clock_now_us() + RETRY_INTERVAL_US;
}

static void send_health_request(struct target_search *s, const char *path)
{
	struct buf b = {0};

	s->call.done = on_done;
	s->call.timeout_ms = CALL_TIMEOUT_MS;
	s->asked_us = clock_now_us();
	buf_printf(&b, "GET %s HTTP/1.1\r\nHost: target\r\n\r\n", path);
	conn_pool_send(s->pool, &s->call, &b);
}

static const char *health_path(const struct board *b)
{
	int service = b->config ? mesh_config_service(b->config, b->settings->service) : -1;

	return service < 0 ? NULL : b->config->services[service].health_path;
}

static bool is_settled(const struct target *t)
{
	return target_status(t)->phase != TARGET_ABSENT && !target_needs_confirmation(t);
}

static void on_check(void *arg)
{
	struct target_search *s = arg;
	const char *path = health_path(s->board);

	if (http_call_active(&s->call))
		return;
	/* An answer would prove nothing yet. */
	if (target_awaits_left(s->board->target))
		s->until_us = clock_now_us() + SEARCH_DURATION_US;
	if (is_settled(s->board->target) || clock_now_us() >= s->until_us) {
		timer_cancel(&s->timer);
		return;
	}
	if (path && !target_awaits_left(s->board->target) && clock_now_us() >= s->next_us)
		send_health_request(s, path);
}

struct target_search *target_search_create(struct board *board)
{
	struct conn_pool_cfg cfg = {
		.addr = board->settings->target_addr,
		.limits = {.header_bytes = ANSWER_HEADER_MAX_BYTES,
			   .body_bytes = ANSWER_BODY_MAX_BYTES},
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		/* A health answer names no request: on a kept connection it could be an earlier one. */
		.idle_max = 0,
	};
	struct target_search *s = xcalloc(1, sizeof(*s));

	s->board = board;
	s->pool = conn_pool_create(board->loop, &cfg);
	return s;
}

void target_search_start(struct target_search *s)
{
	s->until_us = clock_now_us() + SEARCH_DURATION_US;
	if (!s->timer)
		s->timer = timer_repeat(s->board->loop, CHECK_MS, on_check, s);
}

void target_search_destroy(struct target_search *s)
{
	if (!s)
		return;
	timer_cancel(&s->timer);
	if (http_call_active(&s->call))
		http_call_cancel(&s->call);
	conn_pool_destroy(s->pool);
	free(s);
}
