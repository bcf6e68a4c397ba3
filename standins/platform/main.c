/**
 * @file main.c
 * Stand-in for the platform's key-value store, with an HTTP interface (docs/design.md, 4.5).
 */
#include "briarreel/error.h"
#include "common/clock.h"
#include "common/http_client.h"
#include "common/http_server.h"
#include "common/log.h"
#include "fault.h"
#include "standins/standin.h"
#include "store.h"

#include <errno.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdatomic.h>

#define LOG_PREFIX "platform"
#define VALUE_MAX_BYTES (1UL << 20)
#define KEY_MAX_BYTES 512
#define WATCH_MAX_MS 60000
#define KEEP_ALIVE_MS 30000
#define SILENT_POLL_MS 20

static struct store *store;
static atomic_bool stopping;

/* A request that is being handled; mode FAULT_LOSE_ANSWER suppresses its response. */
struct call {
	struct mg_connection *conn;
	enum fault_mode mode;
};

static void reply_with_rev(struct call *call, int status, uint64_t mod_rev, const void *body,
			   size_t len)
{
	char rev[24];
	struct http_header header = {.name = "X-Mod-Rev", .value = rev};
	struct http_reply reply = {.status = status,
				   .headers = &header,
				   .n_headers = 1,
				   .body = body,
				   .body_len = len};

	snprintf(rev, sizeof(rev), "%" PRIu64, mod_rev);
	if (call->mode == FAULT_LOSE_ANSWER)
		standin_close_unanswered(call->conn);
	else
		http_server_reply(call->conn, &reply);
}

static void reply_text(struct call *call, int status, const char *text)
{
	if (call->mode == FAULT_LOSE_ANSWER)
		standin_close_unanswered(call->conn);
	else
		http_server_reply_text(call->conn, status, text);
}

static void reply_json(struct call *call, struct json_object *obj)
{
	struct http_header header = {.name = "Content-Type", .value = "application/json"};
	size_t len;
	const char *text = json_object_to_json_string_length(
		obj, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE, &len);
	struct http_reply reply = {
		.status = 200, .headers = &header, .n_headers = 1, .body = text, .body_len = len};

	if (call->mode == FAULT_LOSE_ANSWER)
		standin_close_unanswered(call->conn);
	else
		http_server_reply(call->conn, &reply);
	json_object_put(obj);
}

static void handle_get(struct call *call, const char *key)
{
	char *value;
	size_t len;
	uint64_t mod_rev;

	if (store_get(store, key, &value, &len, &mod_rev)) {
		reply_with_rev(call, 404, 0, NULL, 0);
		return;
	}
	reply_with_rev(call, 200, mod_rev, value, len);
	free(value);
}

static void reply_write(struct call *call, int ret, uint64_t mod_rev, const char *not_found_text)
{
	char body[64];
	int n = snprintf(body, sizeof(body), "{\"mod_rev\":%" PRIu64 "}\n", mod_rev);

	if (ret == -ENOENT)
		reply_text(call, 404, not_found_text);
	else
		reply_with_rev(call, ret ? 409 : 200, mod_rev, body, (size_t)n);
}

static void handle_put(struct call *call, const char *key)
{
	uint64_t cas = standin_query_u64(call->conn, "cas", STORE_ANY_REV);
	uint64_t lease = standin_query_u64(call->conn, "lease", 0);
	uint64_t mod_rev = 0;
	char *body;
	size_t len;
	int ret = http_server_read_body(call->conn, VALUE_MAX_BYTES, &body, &len);

	if (ret) {
		reply_text(call, ret == -EMSGSIZE ? 413 : 400, "value is too large or truncated\n");
		return;
	}
	ret = store_put(store, key, body, len, cas, lease, &mod_rev);
	free(body);
	reply_write(call, ret, mod_rev, "no such lease\n");
}

static void handle_delete(struct call *call, const char *key)
{
	uint64_t cas = standin_query_u64(call->conn, "cas", STORE_ANY_REV);
	uint64_t mod_rev = 0;
	int ret = store_delete(store, key, cas, &mod_rev);

	reply_write(call, ret, mod_rev, "no such key\n");
}

static void handle_lease(struct call *call, const char *method, const char *subpath)
{
	uint64_t ttl_ms = standin_query_u64(call->conn, "ttl_ms", 0);
	char *end;
	uint64_t id;
	int ret;

	if (!subpath[0] && !strcmp(method, "POST") && ttl_ms) {
		struct json_object *obj = json_object_new_object();

		id = store_lease_create(store, ttl_ms);
		json_object_object_add(obj, "id", json_object_new_int64((int64_t)id));
		reply_json(call, obj);
		return;
	}
	id = strtoull(subpath[0] ? subpath + 1 : subpath, &end, 10);
	if (!strcmp(method, "POST") && !strcmp(end, "/renew")) {
		ret = store_lease_renew(store, id);
	} else if (!strcmp(method, "DELETE") && !end[0]) {
		ret = store_lease_revoke(store, id);
	} else {
		reply_text(call, 400, "bad lease call\n");
		return;
	}
	reply_text(call, ret ? 404 : 200, ret ? "no such lease\n" : "{}\n");
}

static void handle_range(struct call *call)
{
	char prefix[KEY_MAX_BYTES];

	standin_query(call->conn, "prefix", prefix, sizeof(prefix));
	reply_json(call, store_range(store, prefix));
}

/* True if a waiting watch must end: the process stops, or watches are now "down" or "silent". */
static bool watch_interrupted(void *arg)
{
	enum fault_mode mode = fault_current(CALL_WATCH);

	(void)arg;
	return stopping || mode == FAULT_DOWN || mode == FAULT_SILENT;
}

static void wait_while_silent(struct mg_connection *conn, enum call_kind kind)
{
	while (!stopping && fault_current(kind) == FAULT_SILENT)
		clock_sleep_ms(SILENT_POLL_MS);
	standin_close_unanswered(conn);
}

static void handle_watch(struct call *call)
{
	uint64_t after = standin_query_u64(call->conn, "after", 0);
	uint64_t wait_ms = standin_query_u64(call->conn, "wait_ms", 0);
	char prefix[KEY_MAX_BYTES];
	struct json_object *obj = NULL;
	int ret;

	standin_query(call->conn, "prefix", prefix, sizeof(prefix));
	if (wait_ms > WATCH_MAX_MS)
		wait_ms = WATCH_MAX_MS;
	ret = store_watch(store, prefix, after, wait_ms, watch_interrupted, NULL, &obj);
	if (!ret)
		reply_json(call, obj);
	else if (ret == -ESTALE)
		reply_text(call, 410, "the history does not reach back to that revision\n");
	else if (fault_current(CALL_WATCH) == FAULT_SILENT)
		wait_while_silent(call->conn, CALL_WATCH);
	else
		reply_text(call, 503, "unavailable\n");
}

static void handle_control(struct call *call, const char *path)
{
	char mode[16];
	char kind[16];
	struct json_object *obj;

	if (!strcmp(path, "/standin/calls")) {
		obj = json_object_new_object();
		for (int k = 0; k < CALL_KINDS; k++)
			json_object_object_add(
				obj, call_kind_name((enum call_kind)k),
				json_object_new_int64((int64_t)fault_calls((enum call_kind)k)));
		reply_json(call, obj);
		return;
	}
	if (strcmp(path, "/standin/fault") != 0) {
		reply_text(call, 404, "no such path\n");
		return;
	}
	standin_query(call->conn, "mode", mode, sizeof(mode));
	standin_query(call->conn, "kind", kind, sizeof(kind));
	if (!fault_set(mode, kind, (uint32_t)standin_query_u64(call->conn, "ms", 100),
		       (uint32_t)standin_query_u64(call->conn, "count", 1))) {
		reply_text(call, 400, "unknown mode or kind\n");
		return;
	}
	store_wake(store);
	reply_text(call, 200, "ok\n");
}

static enum call_kind call_kind_of(const char *method, const char *path)
{
	if (!strncmp(path, "/lease", 6))
		return CALL_LEASE;
	if (!strncmp(path, "/watch", 6))
		return CALL_WATCH;
	return !strcmp(method, "PUT") || !strcmp(method, "DELETE") ? CALL_WRITE : CALL_READ;
}

static void dispatch(struct call *call, const char *method, const char *path)
{
	if (!strncmp(path, "/kv/", 4) && path[4] && !strcmp(method, "GET"))
		handle_get(call, path + 4);
	else if (!strncmp(path, "/kv/", 4) && path[4] && !strcmp(method, "PUT"))
		handle_put(call, path + 4);
	else if (!strncmp(path, "/kv/", 4) && path[4] && !strcmp(method, "DELETE"))
		handle_delete(call, path + 4);
	else if (!strcmp(path, "/range"))
		handle_range(call);
	else if (!strcmp(path, "/watch"))
		handle_watch(call);
	else if (!strcmp(path, "/lease") || !strncmp(path, "/lease/", 7))
		handle_lease(call, method, path + 6);
	else
		reply_text(call, 404, "no such path\n");
}

static void handle(struct mg_connection *conn, void *user_data)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	struct call call = {.conn = conn, .mode = FAULT_UP};
	enum call_kind kind = call_kind_of(ri->request_method, ri->local_uri);
	uint32_t delay_ms;

	(void)user_data;
	if (!strncmp(ri->local_uri, "/standin/", 9)) {
		handle_control(&call, ri->local_uri);
		return;
	}
	call.mode = fault_for_call(kind, &delay_ms);
	if (call.mode == FAULT_DOWN) {
		reply_text(&call, 503, "unavailable\n");
		return;
	}
	if (call.mode == FAULT_SILENT) {
		wait_while_silent(conn, kind);
		return;
	}
	if (call.mode == FAULT_SLOW)
		clock_sleep_ms(delay_ms);
	dispatch(&call, ri->request_method, ri->local_uri);
}

int main(int argc, const char **argv)
{
	static char *listen;
	int workers = 256;
	int history = 4096;
	const struct poptOption table[] = {
		{"listen", 'l', POPT_ARG_STRING, &listen, 0, "address to listen on", "IP:PORT"},
		{"workers", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &workers, 0,
		 "largest number of connections", "N"},
		{"history", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &history, 0,
		 "events kept for watches", "N"},
		POPT_AUTOHELP POPT_TABLEEND};
	struct br_error err = {0};
	struct http_server *srv;
	sigset_t signals;

	standin_parse_options(argc, argv, table);
	if (!listen || workers < 1 || history < 1) {
		fprintf(stderr,
			"%s: --listen is required; --workers and --history must be at least 1\n",
			argv[0]);
		return 2;
	}
	log_init("standin-platform", LOG_LEVEL_INFO);
	standin_block_signals(&signals);
	store = store_create((size_t)history);
	srv = http_server_create(&(struct http_server_config){.listen = listen,
							      .workers = (uint32_t)workers,
							      .keep_alive_ms = KEEP_ALIVE_MS},
				 handle, NULL, &err);
	if (!srv) {
		log_err("%s: %s", listen, err.detail);
		return 1;
	}
	log_info("listening on %s", listen);
	standin_wait_signal(&signals);
	stopping = true;
	store_wake(store);
	http_server_destroy(srv);
	store_destroy(store);
	free(listen);
	return 0;
}
