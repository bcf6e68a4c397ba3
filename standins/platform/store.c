#include "store.h"

#include "common/clock.h"
#include "standins/standin.h"

#include <errno.h>
#include <json-c/json.h>

/* Events keep copies of values of up to 1 MB, so the history is also bounded in bytes. */
#define HISTORY_MAX_BYTES (64UL << 20)
#define EXPIRY_INTERVAL_US 10000

struct entry {
	char *key;
	char *value;
	size_t len;
	uint64_t mod_rev;
	uint64_t lease_id;
};

struct lease {
	uint64_t id;
	uint64_t ttl_us;
	uint64_t expires_us;
};

struct event {
	bool deleted;
	char *key;
	char *value;
	size_t len;
	uint64_t rev;
};

struct store {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	pthread_t expiry_thread;
	bool stopping;
	uint64_t rev;
	uint64_t next_lease_id;
	/* Sorted by key. */
	struct entry *entries;
	size_t n_entries;
	struct lease *leases;
	size_t n_leases;
	/* Ring buffer that holds every event with a revision above compacted_rev. */
	struct event *history;
	size_t history_cap;
	size_t history_head;
	size_t n_history;
	size_t history_bytes;
	uint64_t compacted_rev;
};

static void *xrealloc(void *old, size_t bytes)
{
	void *p = realloc(old, bytes ? bytes : 1);

	if (!p)
		abort();
	return p;
}

static char *copy_bytes(const char *src, size_t len)
{
	char *p = xrealloc(NULL, len + 1);

	if (len)
		memcpy(p, src, len);
	p[len] = '\0';
	return p;
}

/* Index of key in entries, or of the first greater key. */
static size_t lower_bound(const struct store *st, const char *key)
{
	size_t lo = 0;
	size_t hi = st->n_entries;

	while (lo < hi) {
		size_t mid = (lo + hi) / 2;

		if (strcmp(st->entries[mid].key, key) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

static struct entry *find_entry(struct store *st, const char *key)
{
	size_t i = lower_bound(st, key);

	if (i < st->n_entries && !strcmp(st->entries[i].key, key))
		return &st->entries[i];
	return NULL;
}

static void drop_oldest_event(struct store *st)
{
	struct event *e = &st->history[st->history_head];

	st->compacted_rev = e->rev;
	st->history_bytes -= e->len;
	st->history_head = (st->history_head + 1) % st->history_cap;
	st->n_history--;
	free(e->key);
	free(e->value);
}

static void add_event(struct store *st, bool deleted, const char *key, const char *value,
		      size_t len)
{
	while (st->n_history &&
	       (st->n_history == st->history_cap || st->history_bytes + len > HISTORY_MAX_BYTES))
		drop_oldest_event(st);
	st->history[(st->history_head + st->n_history) % st->history_cap] =
		(struct event){.deleted = deleted,
			       .key = copy_bytes(key, strlen(key)),
			       .value = copy_bytes(value, len),
			       .len = len,
			       .rev = st->rev};
	st->n_history++;
	st->history_bytes += len;
	pthread_cond_broadcast(&st->changed);
}

static void remove_entry(struct store *st, size_t i)
{
	st->rev++;
	add_event(st, true, st->entries[i].key, "", 0);
	free(st->entries[i].key);
	free(st->entries[i].value);
	st->n_entries--;
	memmove(&st->entries[i], &st->entries[i + 1], (st->n_entries - i) * sizeof(st->entries[0]));
}

/* Removes the lease at leases[i_lease] and all keys bound to it. */
static void end_lease(struct store *st, size_t i_lease)
{
	uint64_t id = st->leases[i_lease].id;

	st->leases[i_lease] = st->leases[--st->n_leases];
	for (size_t i = 0; i < st->n_entries;) {
		if (st->entries[i].lease_id == id)
			remove_entry(st, i);
		else
			i++;
	}
}

static struct lease *find_lease(struct store *st, uint64_t id)
{
	for (size_t i = 0; i < st->n_leases; i++)
		if (st->leases[i].id == id)
			return &st->leases[i];
	return NULL;
}

static void expire_leases(struct store *st)
{
	uint64_t now_us = clock_now_us();

	for (size_t i = 0; i < st->n_leases;) {
		if (st->leases[i].expires_us <= now_us)
			end_lease(st, i);
		else
			i++;
	}
}

/*
 * Takes the lock and ends expired leases, so that no call sees an expired lease or its keys even if
 * the expiry thread has not run since.
 */
static void lock_store(struct store *st)
{
	pthread_mutex_lock(&st->lock);
	expire_leases(st);
}

static void unlock_store(struct store *st)
{
	pthread_mutex_unlock(&st->lock);
}

static void *run_expiry(void *arg)
{
	struct store *st = arg;

	pthread_mutex_lock(&st->lock);
	while (!st->stopping) {
		expire_leases(st);
		standin_cond_wait(&st->changed, &st->lock, EXPIRY_INTERVAL_US);
	}
	pthread_mutex_unlock(&st->lock);
	return NULL;
}

struct store *store_create(size_t max_events)
{
	struct store *st = calloc(1, sizeof(*st));

	if (!st)
		return NULL;
	pthread_mutex_init(&st->lock, NULL);
	standin_cond_init(&st->changed);
	st->next_lease_id = 1;
	st->history_cap = max_events ? max_events : 1;
	st->history = xrealloc(NULL, st->history_cap * sizeof(st->history[0]));
	if (pthread_create(&st->expiry_thread, NULL, run_expiry, st) != 0)
		abort();
	return st;
}

void store_destroy(struct store *st)
{
	pthread_mutex_lock(&st->lock);
	st->stopping = true;
	pthread_cond_broadcast(&st->changed);
	pthread_mutex_unlock(&st->lock);
	pthread_join(st->expiry_thread, NULL);
	while (st->n_history)
		drop_oldest_event(st);
	for (size_t i = 0; i < st->n_entries; i++) {
		free(st->entries[i].key);
		free(st->entries[i].value);
	}
	free(st->history);
	free(st->entries);
	free(st->leases);
	pthread_cond_destroy(&st->changed);
	pthread_mutex_destroy(&st->lock);
	free(st);
}

int store_get(struct store *st, const char *key, char **value, size_t *len, uint64_t *mod_rev)
{
	const struct entry *e;
	int ret = -ENOENT;

	lock_store(st);
	e = find_entry(st, key);
	if (e) {
		*value = copy_bytes(e->value, e->len);
		*len = e->len;
		*mod_rev = e->mod_rev;
		ret = 0;
	}
	unlock_store(st);
	return ret;
}

static struct json_object *kv_json(const char *key, uint64_t mod_rev, const char *value, size_t len)
{
	struct json_object *kv = json_object_new_object();

	json_object_object_add(kv, "key", json_object_new_string(key));
	json_object_object_add(kv, "mod_rev", json_object_new_int64((int64_t)mod_rev));
	json_object_object_add(kv, "value", json_object_new_string_len(value, (int)len));
	return kv;
}

struct json_object *store_range(struct store *st, const char *prefix)
{
	struct json_object *out = json_object_new_object();
	struct json_object *kvs = json_object_new_array();
	size_t n = strlen(prefix);

	lock_store(st);
	json_object_object_add(out, "rev", json_object_new_int64((int64_t)st->rev));
	for (size_t i = lower_bound(st, prefix); i < st->n_entries; i++) {
		const struct entry *e = &st->entries[i];

		if (strncmp(e->key, prefix, n) != 0)
			break;
		json_object_array_add(kvs, kv_json(e->key, e->mod_rev, e->value, e->len));
	}
	unlock_store(st);
	json_object_object_add(out, "kvs", kvs);
	return out;
}

static struct entry *insert_entry(struct store *st, const char *key)
{
	size_t i = lower_bound(st, key);

	st->entries = xrealloc(st->entries, (st->n_entries + 1) * sizeof(st->entries[0]));
	memmove(&st->entries[i + 1], &st->entries[i], (st->n_entries - i) * sizeof(st->entries[0]));
	st->n_entries++;
	st->entries[i] = (struct entry){.key = copy_bytes(key, strlen(key))};
	return &st->entries[i];
}

int store_put(struct store *st, const char *key, const char *value, size_t len, uint64_t cas,
	      uint64_t lease, uint64_t *mod_rev)
{
	struct entry *e;
	int ret = 0;

	lock_store(st);
	e = find_entry(st, key);
	*mod_rev = e ? e->mod_rev : 0;
	if (lease && !find_lease(st, lease)) {
		ret = -ENOENT;
	} else if (cas != STORE_ANY_REV && cas != *mod_rev) {
		ret = -EEXIST;
	} else {
		if (!e)
			e = insert_entry(st, key);
		free(e->value);
		e->value = copy_bytes(value, len);
		e->len = len;
		e->lease_id = lease;
		e->mod_rev = ++st->rev;
		*mod_rev = e->mod_rev;
		add_event(st, false, key, value, len);
	}
	unlock_store(st);
	return ret;
}

int store_delete(struct store *st, const char *key, uint64_t cas, uint64_t *mod_rev)
{
	struct entry *e;
	int ret = 0;

	lock_store(st);
	e = find_entry(st, key);
	*mod_rev = e ? e->mod_rev : 0;
	if (cas != STORE_ANY_REV && cas != *mod_rev) {
		ret = -EEXIST;
	} else if (!e) {
		ret = -ENOENT;
	} else {
		remove_entry(st, (size_t)(e - st->entries));
		*mod_rev = st->rev;
	}
	unlock_store(st);
	return ret;
}

uint64_t store_lease_create(struct store *st, uint64_t ttl_ms)
{
	uint64_t id;

	lock_store(st);
	id = st->next_lease_id++;
	st->leases = xrealloc(st->leases, (st->n_leases + 1) * sizeof(st->leases[0]));
	st->leases[st->n_leases++] = (struct lease){
		.id = id, .ttl_us = ttl_ms * 1000, .expires_us = clock_now_us() + ttl_ms * 1000};
	unlock_store(st);
	return id;
}

int store_lease_renew(struct store *st, uint64_t id)
{
	struct lease *l;

	lock_store(st);
	l = find_lease(st, id);
	if (l)
		l->expires_us = clock_now_us() + l->ttl_us;
	unlock_store(st);
	return l ? 0 : -ENOENT;
}

int store_lease_revoke(struct store *st, uint64_t id)
{
	struct lease *l;

	lock_store(st);
	l = find_lease(st, id);
	if (l)
		end_lease(st, (size_t)(l - st->leases));
	unlock_store(st);
	return l ? 0 : -ENOENT;
}

static struct json_object *events_json(const struct store *st, const char *prefix,
				       uint64_t after_rev)
{
	struct json_object *events = json_object_new_array();
	size_t n = strlen(prefix);

	for (size_t i = 0; i < st->n_history; i++) {
		const struct event *e = &st->history[(st->history_head + i) % st->history_cap];
		struct json_object *kv;

		if (e->rev <= after_rev || strncmp(e->key, prefix, n) != 0)
			continue;
		kv = kv_json(e->key, e->rev, e->value, e->len);
		json_object_object_add(kv, "type",
				       json_object_new_string(e->deleted ? "delete" : "put"));
		json_object_array_add(events, kv);
	}
	return events;
}

int store_watch(struct store *st, const char *prefix, uint64_t after_rev, uint64_t wait_ms,
		bool (*interrupt)(void *), void *arg, struct json_object **out)
{
	uint64_t end_us = clock_now_us() + wait_ms * 1000;
	uint64_t searched_rev = after_rev;
	struct json_object *events = NULL;
	int ret = 0;

	lock_store(st);
	for (;;) {
		uint64_t now_us = clock_now_us();

		/* A revision above the current one was given out by an earlier store. */
		if (after_rev < st->compacted_rev || after_rev > st->rev)
			ret = -ESTALE;
		else if (interrupt(arg))
			ret = -ECANCELED;
		if (ret)
			break;
		if (!events || st->rev > searched_rev) {
			json_object_put(events);
			events = events_json(st, prefix, after_rev);
			searched_rev = st->rev;
		}
		if (json_object_array_length(events) || now_us >= end_us)
			break;
		standin_cond_wait(&st->changed, &st->lock, end_us - now_us);
	}
	if (!ret) {
		*out = json_object_new_object();
		json_object_object_add(*out, "rev", json_object_new_int64((int64_t)st->rev));
		json_object_object_add(*out, "events", events);
	} else {
		json_object_put(events);
	}
	unlock_store(st);
	return ret;
}

void store_wake(struct store *st)
{
	pthread_mutex_lock(&st->lock);
	pthread_cond_broadcast(&st->changed);
	pthread_mutex_unlock(&st->lock);
}
