#include "node/platform.h"

#include "briarreel/error.h"
#include "common/http_client.h"
#include "node/counters.h"

#include <errno.h>
#include <json-c/json.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALL_TIMEOUT_MS 3000
/* Time beyond wait_ms after which a watch without an answer counts as a lost connection. */
#define WATCH_GRACE_MS 2000
#define MAX_RESPONSE_BYTES (64U << 20)

enum worker_kind {
	WORKER_CALLS,
	WORKER_WATCH,
	WORKERS
};

struct worker {
	struct platform *p;
	pthread_t thread;
	pthread_cond_t cond;
	struct platform_op *head;
	struct platform_op **tail;
};

struct platform {
	char address[BR_NODE_ID_BYTES];
	platform_deliver deliver;
	void *user_data;
	struct http_pool *pool;
	pthread_mutex_t lock;
	bool stop;
	struct worker workers[WORKERS];
};

void platform_result_free(struct platform_result *res)
{
	if (!res)
		return;
	for (size_t i = 0; i < res->n_entries; i++) {
		free(res->entries[i].key);
		free(res->entries[i].value);
	}
	free(res->entries);
	free(res->value);
	free(res);
}

static uint64_t json_u64(struct json_object *obj, const char *key)
{
	struct json_object *v;

	return json_object_object_get_ex(obj, key, &v) ? (uint64_t)json_object_get_int64(v) : 0;
}

static char *json_text_copy(struct json_object *obj, const char *key)
{
	struct json_object *v;

	if (!json_object_object_get_ex(obj, key, &v) || !json_object_is_type(v, json_type_string))
		return NULL;
	return strdup(json_object_get_string(v));
}

static bool is_write(enum platform_op_type type)
{
	switch (type) {
	case PLATFORM_PUT:
	case PLATFORM_DELETE:
	case PLATFORM_LEASE_CREATE:
	case PLATFORM_LEASE_RENEW:
	case PLATFORM_LEASE_DELETE:
		return true;
	case PLATFORM_GET:
	case PLATFORM_RANGE:
	case PLATFORM_WATCH:
		return false;
	}
	return false;
}

static void build_request(const struct platform_op *op, struct http_request *req, char *target,
			  size_t bytes)
{
	unsigned long long cas = op->cas_rev;
	unsigned long long lease = op->lease_id;

	*req = (struct http_request){.method = "GET", .target = target};
	switch (op->type) {
	case PLATFORM_GET:
		snprintf(target, bytes, "/kv/%s", op->key);
		break;
	case PLATFORM_RANGE:
		snprintf(target, bytes, "/range?prefix=%s", op->key);
		break;
	case PLATFORM_PUT:
		req->method = "PUT";
		req->body = op->value;
		req->body_len = strlen(op->value);
		snprintf(target, bytes, "/kv/%s?cas=%llu", op->key, cas);
		if (lease)
			snprintf(target, bytes, "/kv/%s?cas=%llu&lease=%llu", op->key, cas, lease);
		break;
	case PLATFORM_DELETE:
		req->method = "DELETE";
		snprintf(target, bytes, "/kv/%s?cas=%llu", op->key, cas);
		break;
	case PLATFORM_LEASE_CREATE:
		req->method = "POST";
		snprintf(target, bytes, "/lease?ttl_ms=%u", op->ttl_ms);
		break;
	case PLATFORM_LEASE_RENEW:
		req->method = "POST";
		snprintf(target, bytes, "/lease/%llu/renew", lease);
		break;
	case PLATFORM_LEASE_DELETE:
		req->method = "DELETE";
		snprintf(target, bytes, "/lease/%llu", lease);
		break;
	case PLATFORM_WATCH:
		snprintf(target, bytes, "/watch?prefix=%s&after=%llu&wait_ms=%u", op->key,
			 (unsigned long long)op->after_rev, op->wait_ms);
		break;
	}
}

static enum platform_status status_of(const struct platform_op *op, int http_status)
{
	if (http_status >= 200 && http_status < 300)
		return PLATFORM_OK;
	if (http_status == 404)
		return PLATFORM_NOT_FOUND;
	if (http_status == 409)
		return PLATFORM_CONFLICT;
	if (http_status == 410 && op->type == PLATFORM_WATCH)
		return PLATFORM_COMPACTED;
	return PLATFORM_UNAVAILABLE;
}

/* Deletions are recognized by their type, as their value may be absent or empty. */
static bool is_deletion(struct json_object *item)
{
	struct json_object *type;

	return json_object_object_get_ex(item, "type", &type) &&
	       !strcmp(json_object_get_string(type), "delete");
}

static int parse_entries(struct json_object *root, const char *list, struct platform_result *res)
{
	struct json_object *array;
	size_t n;

	if (!json_object_object_get_ex(root, list, &array) ||
	    !json_object_is_type(array, json_type_array))
		return -EBADMSG;
	n = json_object_array_length(array);
	res->entries = calloc(n + 1, sizeof(*res->entries));
	if (!res->entries)
		return -ENOMEM;
	for (size_t i = 0; i < n; i++) {
		struct json_object *item = json_object_array_get_idx(array, i);
		struct platform_entry *e = &res->entries[res->n_entries++];

		e->key = json_text_copy(item, "key");
		if (!is_deletion(item))
			e->value = json_text_copy(item, "value");
		e->mod_rev = json_u64(item, "mod_rev");
		if (!e->key || !e->mod_rev)
			return -EBADMSG;
	}
	return 0;
}

static int parse_response(const struct platform_op *op, const struct http_response *resp,
			  struct platform_result *res)
{
	const char *rev = http_response_header(resp, "X-Mod-Rev");
	struct json_object *root = NULL;
	int ret = 0;

	if (rev)
		res->rev = strtoull(rev, NULL, 10);
	if (res->status == PLATFORM_OK && op->type == PLATFORM_GET)
		res->value = strndup(resp->body ? resp->body : "", resp->body_len);
	if (res->status != PLATFORM_OK || op->type == PLATFORM_GET)
		return 0;
	root = json_tokener_parse(resp->body ? resp->body : "");
	switch (op->type) {
	case PLATFORM_LEASE_CREATE:
		res->lease_id = json_u64(root, "id");
		ret = res->lease_id ? 0 : -EBADMSG;
		break;
	case PLATFORM_RANGE:
		res->rev = json_u64(root, "rev");
		ret = parse_entries(root, "kvs", res);
		break;
	case PLATFORM_WATCH:
		res->rev = json_u64(root, "rev");
		ret = parse_entries(root, "events", res);
		break;
	case PLATFORM_PUT:
		ret = res->rev ? 0 : -EBADMSG;
		break;
	case PLATFORM_GET:
	case PLATFORM_DELETE:
	case PLATFORM_LEASE_RENEW:
	case PLATFORM_LEASE_DELETE:
		break;
	}
	json_object_put(root);
	return ret;
}

static struct platform_result *execute_op(struct platform *p, const struct platform_op *op)
{
	uint32_t timeout_ms =
		op->type == PLATFORM_WATCH ? op->wait_ms + WATCH_GRACE_MS : CALL_TIMEOUT_MS;
	struct platform_result *res = calloc(1, sizeof(*res));
	struct http_response resp;
	struct http_request req;
	struct br_error err;
	char target[512];
	int ret;

	if (!res)
		abort();
	res->type = op->type;
	res->token = op->token;
	build_request(op, &req, target, sizeof(target));
	counter_add(is_write(op->type) ? COUNTER_PLATFORM_WRITES : COUNTER_PLATFORM_READS, 1);
	ret = http_pool_exchange(p->pool, p->address, &req, timeout_ms, &resp, &err);
	if (ret) {
		bool sent = err.step != BR_STEP_CONNECT;

		counter_add(COUNTER_PLATFORM_ERRORS, 1);
		res->status = sent && is_write(op->type) ? PLATFORM_UNKNOWN : PLATFORM_UNAVAILABLE;
		return res;
	}
	res->status = status_of(op, resp.status);
	/* After a server error other than 503 it is unknown whether the write took effect. */
	if (resp.status >= 500 && resp.status != 503 && is_write(op->type))
		res->status = PLATFORM_UNKNOWN;
	if (parse_response(op, &resp, res))
		res->status = is_write(op->type) ? PLATFORM_UNKNOWN : PLATFORM_UNAVAILABLE;
	if (res->status == PLATFORM_UNAVAILABLE || res->status == PLATFORM_UNKNOWN)
		counter_add(COUNTER_PLATFORM_ERRORS, 1);
	http_response_free(&resp);
	return res;
}

static void free_op(struct platform_op *op)
{
	free(op->value);
	free(op);
}

static void *worker_main(void *arg)
{
	struct worker *w = arg;
	struct platform *p = w->p;

	pthread_mutex_lock(&p->lock);
	while (!p->stop) {
		struct platform_op *op = w->head;

		if (!op) {
			pthread_cond_wait(&w->cond, &p->lock);
			continue;
		}
		w->head = op->next;
		if (!w->head)
			w->tail = &w->head;
		pthread_mutex_unlock(&p->lock);
		p->deliver(p->user_data, execute_op(p, op));
		free_op(op);
		pthread_mutex_lock(&p->lock);
	}
	pthread_mutex_unlock(&p->lock);
	return NULL;
}

struct platform *platform_create(const char *address, platform_deliver deliver, void *user_data)
{
	struct http_pool_config cfg = {.max_idle_per_peer = WORKERS,
				       .max_idle_ms = 10000,
				       .connect_timeout_ms = 1000,
				       .max_body_bytes = MAX_RESPONSE_BYTES};
	struct platform *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	br_copy_text(p->address, sizeof(p->address), address);
	p->deliver = deliver;
	p->user_data = user_data;
	p->pool = http_pool_create(&cfg);
	pthread_mutex_init(&p->lock, NULL);
	for (int i = 0; i < WORKERS; i++) {
		struct worker *w = &p->workers[i];

		w->p = p;
		w->tail = &w->head;
		pthread_cond_init(&w->cond, NULL);
		if (pthread_create(&w->thread, NULL, worker_main, w))
			abort();
	}
	return p;
}

void platform_submit(struct platform *p, const struct platform_op *op)
{
	struct worker *w = &p->workers[op->type == PLATFORM_WATCH ? WORKER_WATCH : WORKER_CALLS];
	struct platform_op *copy = malloc(sizeof(*copy));

	if (!copy)
		abort();
	*copy = *op;
	copy->next = NULL;
	copy->value = op->value ? strdup(op->value) : NULL;
	pthread_mutex_lock(&p->lock);
	*w->tail = copy;
	w->tail = &copy->next;
	pthread_cond_signal(&w->cond);
	pthread_mutex_unlock(&p->lock);
}

void platform_destroy(struct platform *p)
{
	if (!p)
		return;
	pthread_mutex_lock(&p->lock);
	p->stop = true;
	for (int i = 0; i < WORKERS; i++)
		pthread_cond_signal(&p->workers[i].cond);
	pthread_mutex_unlock(&p->lock);
	for (int i = 0; i < WORKERS; i++) {
		pthread_join(p->workers[i].thread, NULL);
		while (p->workers[i].head) {
			struct platform_op *op = p->workers[i].head;

			p->workers[i].head = op->next;
			free_op(op);
		}
		pthread_cond_destroy(&p->workers[i].cond);
	}
	http_pool_destroy(p->pool);
	pthread_mutex_destroy(&p->lock);
	free(p);
}
