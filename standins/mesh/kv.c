#include "standins/mesh/kv.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <pthread.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define ITEMS_MAX 256
#define LEASES_MAX 256
#define KEY_BYTES 200
#define SILENT_S 30

struct item {
	char key[KEY_BYTES];
	/** Base64; NULL after the item is removed. */
	char *value;
	uint64_t revision, created, lease_id;
};

struct lease {
	uint64_t id, ttl_ms, expires_ms;
};

/** All that the store loses if it comes back from a copy. */
struct content {
	struct item items[ITEMS_MAX];
	struct lease leases[LEASES_MAX];
	uint64_t revision, compacted_revision, next_lease_id;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static struct content now = {.revision = 1, .next_lease_id = 100}, copy;
static uint64_t copied_ms, era = 1;
static enum kv_fault fault;

static uint64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static struct item *find_item(const char *key)
{
	for (int i = 0; i < ITEMS_MAX; i++)
		if (!strcmp(now.items[i].key, key))
			return &now.items[i];
	return NULL;
}

/* Writes an item, or removes it if value is NULL; lock is held. */
static void write_item(const char *key, const char *value, uint64_t lease_id)
{
	struct item *it = find_item(key);

	for (int i = 0; i < ITEMS_MAX && !it; i++)
		if (!now.items[i].key[0])
			it = &now.items[i];
	if (!it)
		abort();
	if (!it->value)
		it->created = now.revision + 1;
	free(it->value);
	/* The key of a lease that ends is that of the item itself, which is not copied onto itself. */
	if (!it->key[0])
		snprintf(it->key, sizeof(it->key), "%s", key);
	it->value = value ? strdup(value) : NULL;
	it->revision = ++now.revision;
	it->lease_id = lease_id;
	pthread_cond_broadcast(&changed);
}

static struct lease *find_lease(uint64_t id)
{
	for (int i = 0; i < LEASES_MAX; i++)
		if (id && now.leases[i].id == id)
			return &now.leases[i];
	return NULL;
}

static void end_lease(struct lease *l)
{
	for (int i = 0; i < ITEMS_MAX; i++)
		if (now.items[i].value && now.items[i].lease_id == l->id)
			write_item(now.items[i].key, NULL, 0);
	l->id = 0;
}

static void expire_leases(void)
{
	for (int i = 0; i < LEASES_MAX; i++)
		if (now.leases[i].id && now_ms() >= now.leases[i].expires_ms)
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
	json_object_object_add(o, "lease", json_object_new_uint64(it->lease_id));
	return o;
}

/* Sends o and releases it; the lock is held by the caller but released while sending. */
static bool answer_json(int fd, int status, struct json_object *o)
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

static bool handle_key(int fd, const struct http_req *req)
{
	char key[KEY_BYTES];
	struct item *it;
	struct json_object *o;

	http_req_query(req, "key", key, sizeof(key));
	it = find_item(key);
	o = it && it->value ? item_json(it) : json_object_new_object();
	json_object_object_add(o, "at", json_object_new_uint64(now.revision));
	return answer_json(fd, it && it->value ? 200 : 404, o);
}

/* Items under prefix with a revision above after; removed ones only if deleted is set. */
static struct json_object *items_json(const char *prefix, uint64_t after, bool deleted)
{
	struct json_object *list = json_object_new_array();

	for (int i = 0; i < ITEMS_MAX; i++)
		if (now.items[i].key[0] && !strncmp(now.items[i].key, prefix, strlen(prefix)) &&
		    now.items[i].revision > after && (deleted || now.items[i].value))
			json_object_array_add(list, item_json(&now.items[i]));
	return list;
}

static bool handle_range(int fd, const struct http_req *req)
{
	struct json_object *o = json_object_new_object();
	char prefix[KEY_BYTES];

	http_req_query(req, "prefix", prefix, sizeof(prefix));
	json_object_object_add(o, "items", items_json(prefix, 0, false));
	json_object_object_add(o, "hasMore", json_object_new_boolean(0));
	json_object_object_add(o, "at", json_object_new_uint64(now.revision));
	return answer_json(fd, 200, o);
}

static bool handle_watch(int fd, const struct http_req *req)
{
	char prefix[KEY_BYTES], number[32];
	struct json_object *o, *events;
	uint64_t after, end_ms, first_era = era;

	http_req_query(req, "prefix", prefix, sizeof(prefix));
	http_req_query(req, "after", number, sizeof(number));
	after = strtoull(number, NULL, 10);
	http_req_query(req, "waitMs", number, sizeof(number));
	end_ms = now_ms() + strtoull(number, NULL, 10);
	for (;;) {
		struct timespec ts;

		expire_leases();
		if (era != first_era)
			return false;
		if (after < now.compacted_revision || after > now.revision)
			return answer_json(fd, 410, json_object_new_object());
		events = items_json(prefix, after, true);
		if (json_object_array_length(events) || now_ms() >= end_ms || fault != KV_HEALTHY)
			break;
		json_object_put(events);
		clock_gettime(CLOCK_REALTIME, &ts);
		ts.tv_nsec += 20000000;
		if (ts.tv_nsec >= 1000000000) {
			ts.tv_sec++;
			ts.tv_nsec -= 1000000000;
		}
		pthread_cond_timedwait(&changed, &lock, &ts);
	}
	if (fault != KV_HEALTHY) {
		json_object_put(events);
		return false;
	}
	o = json_object_new_object();
	json_object_object_add(o, "events", events);
	json_object_object_add(o, "at", json_object_new_uint64(now.revision));
	return answer_json(fd, 200, o);
}

static const char *get_text(struct json_object *o, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex(o, name, &v) ? json_object_get_string(v) : "";
}

static uint64_t get_number(struct json_object *o, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex(o, name, &v) ? json_object_get_uint64(v) : 0;
}

static bool conditions_hold(struct json_object *conditions)
{
	for (size_t i = 0; i < json_object_array_length(conditions); i++) {
		struct json_object *condition = json_object_array_get_idx(conditions, i);
		struct item *it = find_item(get_text(condition, "key"));

		if ((it && it->value ? it->revision : 0) != get_number(condition, "revision"))
			return false;
	}
	return true;
}

static bool answer_conflict(int fd, struct json_object *conditions)
{
	struct json_object *o = json_object_new_object(), *list = json_object_new_array();

	for (size_t i = 0; i < json_object_array_length(conditions); i++) {
		struct item *it =
			find_item(get_text(json_object_array_get_idx(conditions, i), "key"));

		if (it)
			json_object_array_add(list, item_json(it));
	}
	json_object_object_add(o, "items", list);
	return answer_json(fd, 412, o);
}

static bool handle_txn(int fd, const struct http_req *req)
{
	struct json_object *o = json_tokener_parse(req->body), *conditions, *puts, *deletes, *reply;
	bool ok;

	if (!json_object_object_get_ex(o, "expectedRevision", &conditions) ||
	    !json_object_object_get_ex(o, "puts", &puts) ||
	    !json_object_object_get_ex(o, "deleteKeys", &deletes)) {
		json_object_put(o);
		return answer_json(fd, 400, json_object_new_object());
	}
	if (!conditions_hold(conditions)) {
		ok = answer_conflict(fd, conditions);
		json_object_put(o);
		return ok;
	}
	for (size_t i = 0; i < json_object_array_length(puts); i++) {
		struct json_object *put = json_object_array_get_idx(puts, i);

		if (get_number(put, "lease") && !find_lease(get_number(put, "lease"))) {
			json_object_put(o);
			return answer_json(fd, 404, json_object_new_object());
		}
		write_item(get_text(put, "key"), get_text(put, "value"), get_number(put, "lease"));
	}
	for (size_t i = 0; i < json_object_array_length(deletes); i++)
		write_item(json_object_get_string(json_object_array_get_idx(deletes, i)), NULL, 0);
	json_object_put(o);
	reply = json_object_new_object();
	json_object_object_add(reply, "revision", json_object_new_uint64(now.revision));
	return answer_json(fd, 200, reply);
}

static bool answer_lease(int fd, int status, const struct lease *l)
{
	struct json_object *o = json_object_new_object();
	char ttl[32];

	if (l) {
		snprintf(ttl, sizeof(ttl), "%" PRIu64 "ms", l->ttl_ms);
		json_object_object_add(o, "lease", json_object_new_uint64(l->id));
		json_object_object_add(o, "ttl_time", json_object_new_string(ttl));
	}
	return answer_json(fd, status, o);
}

static bool handle_lease(int fd, const struct http_req *req)
{
	struct json_object *o = json_tokener_parse(req->body);
	struct lease *l = NULL;

	for (int i = 0; i < LEASES_MAX && !l; i++)
		if (!now.leases[i].id)
			l = &now.leases[i];
	if (!l)
		abort();
	l->id = now.next_lease_id++;
	l->ttl_ms = strtoull(get_text(o, "ttl_time"), NULL, 10);
	l->expires_ms = now_ms() + l->ttl_ms;
	json_object_put(o);
	return answer_lease(fd, 200, l);
}

/* Renews or revokes the lease whose id follows path. */
static bool handle_lease_id(int fd, const struct http_req *req, const char *path, bool revoke)
{
	struct lease *l = find_lease(strtoull(req->target + strlen(path), NULL, 10));

	if (l && revoke)
		end_lease(l);
	else if (l)
		l->expires_ms = now_ms() + l->ttl_ms;
	return answer_lease(fd, l ? 200 : 404, l);
}

static bool has_prefix(const char *text, const char *prefix)
{
	return !strncmp(text, prefix, strlen(prefix));
}

static bool dispatch(int fd, const struct http_req *req)
{
	if (has_prefix(req->target, "/kv-key?"))
		return handle_key(fd, req);
	if (has_prefix(req->target, "/kv-range?"))
		return handle_range(fd, req);
	if (has_prefix(req->target, "/kv-watch?"))
		return handle_watch(fd, req);
	if (has_prefix(req->target, "/kv-txn"))
		return handle_txn(fd, req);
	if (has_prefix(req->target, "/kv-lease-end/"))
		return handle_lease_id(fd, req, "/kv-lease-end/", true);
	if (has_prefix(req->target, "/kv-lease"))
		return handle_lease(fd, req);
	if (has_prefix(req->target, "/kv-keep/"))
		return handle_lease_id(fd, req, "/kv-keep/", false);
	return answer_json(fd, 404, json_object_new_object());
}

bool kv_handle(int fd, const struct http_req *req)
{
	bool ok;

	pthread_mutex_lock(&lock);
	expire_leases();
	if (fault == KV_HEALTHY) {
		ok = dispatch(fd, req);
	} else if (fault == KV_UNAVAILABLE) {
		ok = answer_json(fd, 503, json_object_new_object());
	} else {
		pthread_mutex_unlock(&lock);
		sleep(SILENT_S);
		return false;
	}
	pthread_mutex_unlock(&lock);
	return ok;
}

void kv_put(const char *key, const char *value)
{
	size_t bytes = sodium_base64_encoded_len(strlen(value), sodium_base64_VARIANT_ORIGINAL);
	char *text = malloc(bytes);

	if (!text)
		abort();
	sodium_bin2base64(text, bytes, (const unsigned char *)value, strlen(value),
			  sodium_base64_VARIANT_ORIGINAL);
	pthread_mutex_lock(&lock);
	write_item(key, text, 0);
	pthread_mutex_unlock(&lock);
	free(text);
}

bool kv_get(const char *key, char *out, size_t out_bytes)
{
	const struct item *it;
	size_t len = 0;
	bool found;

	pthread_mutex_lock(&lock);
	it = find_item(key);
	found = it && it->value &&
		!sodium_base642bin((unsigned char *)out, out_bytes - 1, it->value,
				   strlen(it->value), NULL, &len, NULL,
				   sodium_base64_VARIANT_ORIGINAL);
	pthread_mutex_unlock(&lock);
	out[len] = '\0';
	return found;
}

void kv_set_fault(enum kv_fault f)
{
	pthread_mutex_lock(&lock);
	fault = f;
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
}

void kv_compact(void)
{
	pthread_mutex_lock(&lock);
	now.compacted_revision = ++now.revision;
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
}

static void free_values(struct content *c)
{
	for (int i = 0; i < ITEMS_MAX; i++)
		free(c->items[i].value);
}

/* Copies all content; from goes on to own its values. */
static void copy_content(struct content *to, const struct content *from)
{
	free_values(to);
	*to = *from;
	for (int i = 0; i < ITEMS_MAX; i++)
		if (from->items[i].value)
			to->items[i].value = strdup(from->items[i].value);
}

void kv_copy(void)
{
	pthread_mutex_lock(&lock);
	expire_leases();
	copy_content(&copy, &now);
	copied_ms = now_ms();
	pthread_mutex_unlock(&lock);
}

bool kv_restore(void)
{
	uint64_t passed_ms;

	pthread_mutex_lock(&lock);
	if (!copied_ms) {
		pthread_mutex_unlock(&lock);
		return false;
	}
	passed_ms = now_ms() - copied_ms;
	copy_content(&now, &copy);
	for (int i = 0; i < LEASES_MAX; i++)
		now.leases[i].expires_ms += passed_ms;
	era++;
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
	return true;
}
