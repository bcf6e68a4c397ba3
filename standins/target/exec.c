#include "exec.h"

#include "briarreel/types.h"
#include "common/clock.h"
#include "standins/standin.h"

#include <json-c/json.h>

#define ID_BUCKETS 65536
/* Longest single wait on a condition variable; callers repeat it until their own time limit. */
#define WAIT_MAX_US 60000000

/* Number of executions of a request id; never freed. */
struct id_count {
	char id[BR_REQUEST_ID_BYTES];
	uint32_t runs;
	struct id_count *next;
};

/* Log entry of one execution. */
struct record {
	struct id_count *id_count;
	char account[BR_NAME_BYTES];
	char path[96];
	uint64_t started_us;
	uint64_t finished_us;
	int status;
	bool cancelled;
};

struct exec {
	pthread_cond_t wake;
	struct exec_request req;
	bool has_slot;
	bool cancelled;
	/* Index in records, or -1 if the log was full. */
	int64_t record_index;
	uint32_t runs;
	struct exec *prev;
	struct exec *next;
};

struct list {
	struct exec *first;
	struct exec *last;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct exec_config config;
static struct exec_stats stats;
static struct list waiting;
static struct list running;
static struct id_count *ids[ID_BUCKETS];
static struct record *records;
static uint32_t n_records;
static uint32_t cap_records;
static bool hanging;
static bool stopping;

void exec_init(const struct exec_config *cfg)
{
	config = *cfg;
}

static void list_append(struct list *l, struct exec *e)
{
	e->prev = l->last;
	e->next = NULL;
	if (l->last)
		l->last->next = e;
	else
		l->first = e;
	l->last = e;
}

static void list_remove(struct list *l, struct exec *e)
{
	if (e->prev)
		e->prev->next = e->next;
	else
		l->first = e->next;
	if (e->next)
		e->next->prev = e->prev;
	else
		l->last = e->prev;
}

static struct id_count *count_id(const char *id)
{
	size_t i = br_hash_str(id, 0) % ID_BUCKETS;
	struct id_count *c = ids[i];

	while (c && strcmp(c->id, id) != 0)
		c = c->next;
	if (!c) {
		c = calloc(1, sizeof(*c));
		if (!c)
			abort();
		br_copy_text(c->id, sizeof(c->id), id);
		c->next = ids[i];
		ids[i] = c;
	}
	if (++c->runs == 2 && id[0])
		stats.repeated_ids++;
	return c;
}

static int64_t add_record(const struct exec *e, struct id_count *id_count)
{
	struct record *r;

	if (n_records == config.log_max)
		return -1;
	if (n_records == cap_records) {
		cap_records = cap_records ? cap_records * 2 : 1024;
		r = realloc(records, cap_records * sizeof(*r));
		if (!r)
			abort();
		records = r;
	}
	r = &records[n_records];
	*r = (struct record){.id_count = id_count, .started_us = clock_now_us()};
	br_copy_text(r->account, sizeof(r->account), e->req.account);
	br_copy_text(r->path, sizeof(r->path), e->req.path);
	return n_records++;
}

static void start_running(struct exec *e)
{
	struct id_count *id_count = count_id(e->req.id);

	e->has_slot = true;
	e->runs = id_count->runs;
	e->record_index = add_record(e, id_count);
	list_append(&running, e);
	stats.executions++;
	if (++stats.in_flight > stats.max_in_flight)
		stats.max_in_flight = stats.in_flight;
}

/* Waits until e is signalled, its deadline passes or end_us is reached; lock is held. */
static void wait_until(struct exec *e, uint64_t end_us)
{
	uint64_t now_us = clock_now_us();
	uint64_t wait_us = WAIT_MAX_US;

	if (end_us < now_us + wait_us)
		wait_us = end_us > now_us ? end_us - now_us : 0;
	if (e->req.deadline_us && e->req.deadline_us < now_us + wait_us)
		wait_us = e->req.deadline_us > now_us ? e->req.deadline_us - now_us : 0;
	if (wait_us)
		standin_cond_wait(&e->wake, &lock, wait_us);
}

/* EXEC_OK unless e is cancelled or its deadline has passed. */
static enum exec_result check_interrupted(const struct exec *e)
{
	if (e->cancelled || stopping)
		return EXEC_CANCELLED;
	if (e->req.deadline_us && clock_now_us() >= e->req.deadline_us)
		return EXEC_EXPIRED;
	return EXEC_OK;
}

/* Queues e until it has a slot, is cancelled or its deadline passes; lock is held. */
static enum exec_result wait_for_slot(struct exec *e)
{
	enum exec_result ret = EXEC_OK;

	list_append(&waiting, e);
	stats.queued++;
	while (!e->has_slot && ret == EXEC_OK) {
		wait_until(e, UINT64_MAX);
		ret = e->has_slot ? EXEC_OK : check_interrupted(e);
	}
	if (!e->has_slot) {
		list_remove(&waiting, e);
		stats.queued--;
	}
	return ret;
}

static void free_exec(struct exec *e)
{
	pthread_cond_destroy(&e->wake);
	free(e);
}

enum exec_result exec_begin(const struct exec_request *req, struct exec **out)
{
	struct exec *e = calloc(1, sizeof(*e));
	enum exec_result ret;

	if (!e)
		abort();
	e->req = *req;
	standin_cond_init(&e->wake);
	pthread_mutex_lock(&lock);
	ret = check_interrupted(e);
	if (ret == EXEC_OK && stats.in_flight < config.slots)
		start_running(e);
	else if (ret == EXEC_OK && config.shed)
		ret = EXEC_SHED;
	else if (ret == EXEC_OK)
		ret = wait_for_slot(e);
	if (ret == EXEC_SHED)
		stats.shed++;
	pthread_mutex_unlock(&lock);
	if (ret != EXEC_OK) {
		free_exec(e);
		e = NULL;
	}
	*out = e;
	return ret;
}

enum exec_result exec_work(struct exec *e, uint64_t work_us)
{
	uint64_t end_us = clock_now_us() + work_us;
	enum exec_result ret;

	pthread_mutex_lock(&lock);
	for (;;) {
		ret = check_interrupted(e);
		if (ret != EXEC_OK || (!hanging && clock_now_us() >= end_us))
			break;
		wait_until(e, hanging ? UINT64_MAX : end_us);
	}
	pthread_mutex_unlock(&lock);
	return ret;
}

void exec_set_hang(bool on)
{
	pthread_mutex_lock(&lock);
	hanging = on;
	for (struct exec *e = running.first; e; e = e->next)
		pthread_cond_signal(&e->wake);
	pthread_mutex_unlock(&lock);
}

uint32_t exec_runs(const struct exec *e)
{
	return e->runs;
}

void exec_finish(struct exec *e, int status)
{
	struct exec *next;

	pthread_mutex_lock(&lock);
	list_remove(&running, e);
	stats.in_flight--;
	if (e->cancelled)
		stats.cancelled++;
	if (status == 504)
		stats.expired++;
	if (e->record_index >= 0) {
		struct record *r = &records[e->record_index];

		r->finished_us = clock_now_us();
		r->status = status;
		r->cancelled = e->cancelled;
	}
	next = waiting.first;
	if (next) {
		list_remove(&waiting, next);
		stats.queued--;
		start_running(next);
		pthread_cond_signal(&next->wake);
	}
	pthread_mutex_unlock(&lock);
	free_exec(e);
}

/* Cancels the requests of l with this id, or all if id is NULL; returns their number. */
static uint32_t cancel_matching(struct list *l, const char *id)
{
	uint32_t n = 0;

	for (struct exec *e = l->first; e; e = e->next) {
		if (id && strcmp(e->req.id, id) != 0)
			continue;
		e->cancelled = true;
		pthread_cond_signal(&e->wake);
		n++;
	}
	return n;
}

uint32_t exec_cancel(const char *id)
{
	uint32_t n;

	pthread_mutex_lock(&lock);
	n = cancel_matching(&waiting, id) + cancel_matching(&running, id);
	pthread_mutex_unlock(&lock);
	return n;
}

void exec_stop(void)
{
	pthread_mutex_lock(&lock);
	stopping = true;
	cancel_matching(&waiting, NULL);
	cancel_matching(&running, NULL);
	pthread_mutex_unlock(&lock);
}

void exec_get_stats(struct exec_stats *out)
{
	pthread_mutex_lock(&lock);
	*out = stats;
	pthread_mutex_unlock(&lock);
}

static struct json_object *record_json(const struct record *r)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "id", json_object_new_string(r->id_count->id));
	json_object_object_add(o, "account", json_object_new_string(r->account));
	json_object_object_add(o, "path", json_object_new_string(r->path));
	json_object_object_add(o, "runs", json_object_new_int64(r->id_count->runs));
	json_object_object_add(o, "started_us", json_object_new_int64((int64_t)r->started_us));
	json_object_object_add(o, "finished_us", json_object_new_int64((int64_t)r->finished_us));
	json_object_object_add(o, "status", json_object_new_int(r->status));
	json_object_object_add(o, "cancelled", json_object_new_boolean(r->cancelled));
	return o;
}

char *exec_log_text(const char *id)
{
	char *text = NULL;
	size_t len = 0;
	FILE *f = open_memstream(&text, &len);

	if (!f)
		return NULL;
	pthread_mutex_lock(&lock);
	for (uint32_t i = 0; i < n_records; i++) {
		struct json_object *o;

		if (id[0] && strcmp(records[i].id_count->id, id) != 0)
			continue;
		o = record_json(&records[i]);
		fprintf(f, "%s\n",
			json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN |
								  JSON_C_TO_STRING_NOSLASHESCAPE));
		json_object_put(o);
	}
	pthread_mutex_unlock(&lock);
	fclose(f);
	return text;
}
