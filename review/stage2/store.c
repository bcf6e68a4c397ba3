#include "store.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <pthread.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define ITEMS_MAX 256
#define LEASES_MAX 1024
#define LOG_MAX 4096
#define KEY_BYTES 201
#define POLL_NS 5000000

struct item {
	char key[KEY_BYTES];
	/** Base64; NULL if the key does not exist, or in the log for its removal. */
	char *value;
	uint64_t revision, created, lease;
};

struct lease {
	uint64_t id, ttl_ms, until_ms;
};

struct content {
	struct item items[ITEMS_MAX], log[LOG_MAX];
	size_t n_items, n_log;
	struct lease leases[LEASES_MAX];
	size_t n_leases;
	uint64_t revision;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static struct content now = {.revision = 1}, copy;
static uint64_t copied_ms, era = 1, next_lease = 7000;
static bool is_down;

static uint64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static struct item *find_item(const char *key)
{
	for (size_t i = 0; i < now.n_items; i++)
		if (!strcmp(now.items[i].key, key))
			return &now.items[i];
	return NULL;
}

/* Values are shared by the items, the log and the copy, and never freed. */
static void write_item(const char *key, const char *value, uint64_t lease)
{
	struct item *it = find_item(key);

	if (!it) {
		if (now.n_items == ITEMS_MAX)
			abort();
		it = &now.items[now.n_items++];
		*it = (struct item){0};
		snprintf(it->key, sizeof(it->key), "%s", key);
	}
	now.revision++;
	if (!it->value)
		it->created = now.revision;
	it->value = value ? strdup(value) : NULL;
	it->revision = now.revision;
	it->lease = lease;
	if (now.n_log == LOG_MAX)
		abort();
	now.log[now.n_log++] = *it;
	pthread_cond_broadcast(&changed);
}

static struct lease *find_lease(uint64_t id)
{
	for (size_t i = 0; i < now.n_leases; i++)
		if (id && now.leases[i].id == id)
			return &now.leases[i];
	return NULL;
}

static void end_lease(struct lease *l)
{
	for (size_t i = 0; i < now.n_items; i++)
		if (now.items[i].value && now.items[i].lease == l->id)
			write_item(now.items[i].key, NULL, 0);
	l->id = 0;
}

static void expire_leases(void)
{
	for (size_t i = 0; i < now.n_leases; i++)
		if (now.leases[i].id && now_ms() >= now.leases[i].until_ms)
			end_lease(&now.leases[i]);
}

static struct json_object *item_json(const struct item *it)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "key", json_object_new_string(it->key));
	json_object_object_add(o, "revision", json_object_new_uint64(it->revision));
	if (!it->value) {
		json_object_object_add(o, "deleted", json_object_new_boolean(1));
		return o;
	}
	json_object_object_add(o, "value", json_object_new_string(it->value));
	json_object_object_add(o, "created", json_object_new_uint64(it->created));
	json_object_object_add(o, "lease", json_object_new_uint64(it->lease));
	return o;
}

/* Sends the answer without the lock, which the caller holds. */
static bool reply(int fd, int status, struct json_object *o)
{
	char fields[128];
	bool ok;

	snprintf(fields, sizeof(fields),
		 "Content-Type: application/json\r\nStore-Era: %" PRIu64 "\r\n", era);
	pthread_mutex_unlock(&lock);
	ok = http_answer(fd, status, fields, json_object_to_json_string(o));
	json_object_put(o);
	pthread_mutex_lock(&lock);
	return ok;
}

static bool handle_key(int fd, const struct http_head *h)
{
	struct json_object *o;
	char key[KEY_BYTES];
	struct item *it;

	http_query(h, "key", key, sizeof(key));
	it = find_item(key);
	o = it && it->value ? item_json(it) : json_object_new_object();
	json_object_object_add(o, "at", json_object_new_uint64(now.revision));
	return reply(fd, it && it->value ? 200 : 404, o);
}

static bool handle_range(int fd, const struct http_head *h)
{
	struct json_object *o = json_object_new_object(), *list = json_object_new_array();
	char prefix[KEY_BYTES];

	http_query(h, "prefix", prefix, sizeof(prefix));
	for (size_t i = 0; i < now.n_items; i++)
		if (now.items[i].value && !strncmp(now.items[i].key, prefix, strlen(prefix)))
			json_object_array_add(list, item_json(&now.items[i]));
	json_object_object_add(o, "items", list);
	json_object_object_add(o, "hasMore", json_object_new_boolean(0));
	json_object_object_add(o, "at", json_object_new_uint64(now.revision));
	return reply(fd, 200, o);
}

static struct json_object *events_json(const char *prefix, uint64_t after)
{
	struct json_object *list = json_object_new_array();

	for (size_t i = 0; i < now.n_log; i++)
		if (now.log[i].revision > after && !strncmp(now.log[i].key, prefix, strlen(prefix)))
			json_object_array_add(list, item_json(&now.log[i]));
	return list;
}

static void wait_a_moment(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	ts.tv_nsec += POLL_NS;
	if (ts.tv_nsec >= 1000000000) {
		ts.tv_sec++;
		ts.tv_nsec -= 1000000000;
	}
	pthread_cond_timedwait(&changed, &lock, &ts);
}

static bool handle_watch(int fd, const struct http_head *h)
{
	char prefix[KEY_BYTES], number[32];
	struct json_object *o, *events;
	uint64_t after, end_ms, first_era = era;

	http_query(h, "prefix", prefix, sizeof(prefix));
	http_query(h, "after", number, sizeof(number));
	after = strtoull(number, NULL, 10);
	http_query(h, "waitMs", number, sizeof(number));
	end_ms = now_ms() + strtoull(number, NULL, 10);
	for (;;) {
		if (is_down || era != first_era) {
			http_reset(fd);
			return false;
		}
		if (after > now.revision)
			return reply(fd, 410, json_object_new_object());
		events = events_json(prefix, after);
		if (json_object_array_length(events) || now_ms() >= end_ms)
			break;
		json_object_put(events);
		wait_a_moment();
		expire_leases();
	}
	o = json_object_new_object();
	json_object_object_add(o, "events", events);
	json_object_object_add(o, "at", json_object_new_uint64(now.revision));
	return reply(fd, 200, o);
}

static const char *text_of(struct json_object *o, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex(o, name, &v) ? json_object_get_string(v) : "";
}

static uint64_t number_of(struct json_object *o, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex(o, name, &v) ? json_object_get_uint64(v) : 0;
}

static bool holds(struct json_object *cond)
{
	const struct item *it = find_item(text_of(cond, "key"));

	return (it && it->value ? it->revision : 0) == number_of(cond, "revision");
}

static bool reply_conflict(int fd, struct json_object *conds)
{
	struct json_object *o = json_object_new_object(), *list = json_object_new_array();

	for (size_t i = 0; i < json_object_array_length(conds); i++) {
		struct item *it = find_item(text_of(json_object_array_get_idx(conds, i), "key"));

		if (it && it->value)
			json_object_array_add(list, item_json(it));
	}
	json_object_object_add(o, "items", list);
	return reply(fd, 412, o);
}

static bool apply_txn(int fd, struct json_object *o)
{
	struct json_object *conds, *puts, *deletes, *answer;

	if (!json_object_object_get_ex(o, "expectedRevision", &conds) ||
	    !json_object_object_get_ex(o, "puts", &puts) ||
	    !json_object_object_get_ex(o, "deleteKeys", &deletes))
		return reply(fd, 400, json_object_new_object());
	for (size_t i = 0; i < json_object_array_length(conds); i++)
		if (!holds(json_object_array_get_idx(conds, i)))
			return reply_conflict(fd, conds);
	for (size_t i = 0; i < json_object_array_length(puts); i++) {
		struct json_object *put = json_object_array_get_idx(puts, i);

		if (number_of(put, "lease") && !find_lease(number_of(put, "lease")))
			return reply(fd, 404, json_object_new_object());
	}
	for (size_t i = 0; i < json_object_array_length(puts); i++) {
		struct json_object *put = json_object_array_get_idx(puts, i);

		write_item(text_of(put, "key"), text_of(put, "value"), number_of(put, "lease"));
	}
	for (size_t i = 0; i < json_object_array_length(deletes); i++)
		write_item(json_object_get_string(json_object_array_get_idx(deletes, i)), NULL, 0);
	answer = json_object_new_object();
	json_object_object_add(answer, "revision", json_object_new_uint64(now.revision));
	return reply(fd, 200, answer);
}

static bool handle_txn(int fd, const struct http_head *h)
{
	struct json_object *o = json_tokener_parse(h->body);
	bool ok = apply_txn(fd, o);

	json_object_put(o);
	return ok;
}

static bool reply_lease(int fd, const struct lease *l)
{
	struct json_object *o = json_object_new_object();
	char ttl[32];

	if (!l)
		return reply(fd, 404, o);
	snprintf(ttl, sizeof(ttl), "%" PRIu64 "ms", l->ttl_ms);
	json_object_object_add(o, "lease", json_object_new_uint64(l->id));
	json_object_object_add(o, "ttl_time", json_object_new_string(ttl));
	return reply(fd, 200, o);
}

static bool handle_new_lease(int fd, const struct http_head *h)
{
	struct json_object *o = json_tokener_parse(h->body);
	struct lease *l;

	if (now.n_leases == LEASES_MAX)
		abort();
	l = &now.leases[now.n_leases++];
	l->id = next_lease++;
	l->ttl_ms = strtoull(text_of(o, "ttl_time"), NULL, 10);
	l->until_ms = now_ms() + l->ttl_ms;
	json_object_put(o);
	return reply_lease(fd, l);
}

static bool handle_lease(int fd, const struct http_head *h, const char *path, bool end)
{
	struct lease *l = find_lease(strtoull(h->target + strlen(path), NULL, 10)), ended;

	if (l && end) {
		ended = *l;
		end_lease(l);
		return reply_lease(fd, &ended);
	}
	if (l)
		l->until_ms = now_ms() + l->ttl_ms;
	return reply_lease(fd, l);
}

static bool starts(const struct http_head *h, const char *path)
{
	return !strncmp(h->target, path, strlen(path));
}

static bool dispatch(int fd, const struct http_head *h)
{
	if (starts(h, "/kv-key?"))
		return handle_key(fd, h);
	if (starts(h, "/kv-range?"))
		return handle_range(fd, h);
	if (starts(h, "/kv-watch?"))
		return handle_watch(fd, h);
	if (starts(h, "/kv-txn"))
		return handle_txn(fd, h);
	if (starts(h, "/kv-lease-end/"))
		return handle_lease(fd, h, "/kv-lease-end/", true);
	if (starts(h, "/kv-keep/"))
		return handle_lease(fd, h, "/kv-keep/", false);
	if (starts(h, "/kv-lease"))
		return handle_new_lease(fd, h);
	return reply(fd, 404, json_object_new_object());
}

bool store_handle(int fd, int tag, const struct http_head *h)
{
	bool ok = false;

	(void)tag;
	pthread_mutex_lock(&lock);
	if (is_down) {
		http_reset(fd);
	} else {
		expire_leases();
		ok = dispatch(fd, h);
	}
	pthread_mutex_unlock(&lock);
	return ok;
}

static void put_text(const char *key, const char *text)
{
	size_t bytes = sodium_base64_encoded_len(strlen(text), sodium_base64_VARIANT_ORIGINAL);
	char *value = malloc(bytes);

	sodium_bin2base64(value, bytes, (const unsigned char *)text, strlen(text),
			  sodium_base64_VARIANT_ORIGINAL);
	write_item(key, value, 0);
	free(value);
}

uint64_t store_operator_put(const char *key, const char *text)
{
	uint64_t revision;

	pthread_mutex_lock(&lock);
	expire_leases();
	put_text(key, text);
	revision = now.revision;
	pthread_mutex_unlock(&lock);
	return revision;
}

uint64_t store_revision(void)
{
	uint64_t revision;

	pthread_mutex_lock(&lock);
	revision = now.revision;
	pthread_mutex_unlock(&lock);
	return revision;
}

bool store_read(const char *key, char *out, size_t bytes)
{
	const struct item *it;
	size_t len = 0;
	bool found;

	pthread_mutex_lock(&lock);
	expire_leases();
	it = find_item(key);
	found = it && it->value &&
		!sodium_base642bin((unsigned char *)out, bytes - 1, it->value, strlen(it->value),
				   NULL, &len, NULL, sodium_base64_VARIANT_ORIGINAL);
	pthread_mutex_unlock(&lock);
	out[len] = '\0';
	return found;
}

void store_copy(void)
{
	pthread_mutex_lock(&lock);
	expire_leases();
	copy = now;
	copied_ms = now_ms();
	pthread_mutex_unlock(&lock);
}

void store_set_down(bool down)
{
	pthread_mutex_lock(&lock);
	is_down = down;
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
}

void store_restore(const char *key, const char *text, const char *next)
{
	pthread_mutex_lock(&lock);
	now = copy;
	/* Leases go on with the time that they had left at the copy. */
	for (size_t i = 0; i < now.n_leases; i++)
		now.leases[i].until_ms += now_ms() - copied_ms;
	era++;
	if (text)
		put_text(key, text);
	if (next)
		put_text(key, next);
	is_down = false;
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
}
