/**
 * @file main.c
 * Stand-in for a target: a service with slots, a service time, child calls and injected faults.
 */
#include "briarreel/error.h"
#include "child.h"
#include "common/clock.h"
#include "common/http_client.h"
#include "common/http_server.h"
#include "common/log.h"
#include "exec.h"
#include "seen.h"
#include "standins/standin.h"

#include <errno.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <math.h>
#include <stdatomic.h>

#define LOG_PREFIX "target"
#define BODY_MAX_BYTES (16UL << 20)
#define KEEP_ALIVE_MS 60000
#define ANNOUNCE_MS 1000
/* Workers for control requests, on top of the connections announced to the node. */
#define CONTROL_WORKERS 32
#define DRAIN_TIMEOUT_MS 30000
/* Factor on service times right after the start; falls linearly to 1 over --cold-start-ms. */
#define COLD_START_FACTOR 5.0

struct options {
	char *listen;
	char *node;
	char *service;
	char *children;
	char *watch_text;
	double service_ms;
	int slots;
	int connections;
	int exponential;
	int seed;
	int retries;
	int child_timeout_ms;
	int cold_start_ms;
	int overrun_percent;
	int mislead;
	int shed;
	int seen_mb;
	int log_max;
	int ignore_deadline;
};

static struct options opt = {.service_ms = 1.0,
			     .slots = 10,
			     .connections = 100,
			     .seed = 1,
			     .child_timeout_ms = 5000,
			     .overrun_percent = 50,
			     .seen_mb = 64,
			     .log_max = 200000};
static uint64_t start_us;
static pthread_mutex_t state_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t state_changed;
static struct br_rng rng;
static double slow_factor = 1.0;
static uint32_t truncations_left;
static bool draining;
static atomic_bool stopping;

static const char *header_or(struct mg_connection *conn, const char *name, const char *fallback)
{
	const char *value = mg_get_header(conn, name);

	return value ? value : fallback;
}

/* Service time of one request: drawn, then scaled by slow factor, cold start and queue length. */
static uint64_t draw_service_us(void)
{
	double ms = opt.service_ms;
	double age_ms = (double)(clock_now_us() - start_us) / 1000;
	struct exec_stats stats;

	exec_get_stats(&stats);
	pthread_mutex_lock(&state_lock);
	if (opt.exponential)
		ms *= -log(1.0 - (double)(br_rng_next(&rng) >> 11) / (double)(1ULL << 53));
	ms *= slow_factor;
	pthread_mutex_unlock(&state_lock);
	if (age_ms < opt.cold_start_ms)
		ms *= COLD_START_FACTOR - (COLD_START_FACTOR - 1) * age_ms / opt.cold_start_ms;
	ms *= 1 + opt.overrun_percent / 100.0 * fmin(1.0, (double)stats.queued / opt.slots);
	return (uint64_t)(ms * 1000);
}

/* True if this response must be truncated; decrements the number of truncations left. */
static bool consume_truncation(void)
{
	bool truncated;

	pthread_mutex_lock(&state_lock);
	truncated = truncations_left > 0;
	if (truncated)
		truncations_left--;
	pthread_mutex_unlock(&state_lock);
	return truncated;
}

static void format_load(char *dst, size_t bytes)
{
	struct exec_stats stats;

	exec_get_stats(&stats);
	if (opt.mislead)
		snprintf(dst, bytes, "inflight=0;queued=0");
	else
		snprintf(dst, bytes, "inflight=%" PRIu32 ";queued=%" PRIu32, stats.in_flight,
			 stats.queued);
}

static void reply_truncated(struct mg_connection *conn, const char *id, const char *body,
			    size_t len)
{
	mg_disable_keep_alive(conn);
	mg_printf(conn,
		  "HTTP/1.1 200 OK\r\nBriarreel-Request-Id: %s\r\nContent-Length: %zu\r\n\r\n", id,
		  len);
	mg_write(conn, body, len / 2);
}

static void reply(struct mg_connection *conn, const char *id, int status, bool ran, uint32_t runs,
		  const char *body, size_t len)
{
	struct http_header headers[5];
	char load[64];
	char runs_text[16];
	struct http_reply r = {.status = status,
			       .headers = headers,
			       .body = body,
			       .body_len = len,
			       .close = stopping};

	format_load(load, sizeof(load));
	snprintf(runs_text, sizeof(runs_text), "%" PRIu32, runs);
	headers[r.n_headers++] = (struct http_header){"Briarreel-Load", load};
	headers[r.n_headers++] = (struct http_header){"Briarreel-Request-Id", id};
	headers[r.n_headers++] = (struct http_header){"Standin-Target", opt.listen};
	if (ran)
		headers[r.n_headers++] = (struct http_header){"Standin-Runs", runs_text};
	else
		headers[r.n_headers++] = (struct http_header){"Briarreel-Outcome", "not-run"};
	http_server_reply(conn, &r);
}

static void execute(struct mg_connection *conn, struct exec *e, const struct exec_request *req,
		    const char *body, size_t len)
{
	enum exec_result ret = exec_work(e, draw_service_us());
	uint32_t runs = exec_runs(e);
	char text[256];
	int status = 200;

	if (ret == EXEC_OK &&
	    !child_call_all(req->id, mg_get_header(conn, "Briarreel-Context"), req->deadline_us))
		status = 502;
	if (ret == EXEC_CANCELLED)
		status = 499;
	else if (ret == EXEC_EXPIRED)
		status = 504;
	exec_finish(e, status);
	if (!len) {
		snprintf(text, sizeof(text), "id=%s path=%s\n", req->id, req->path);
		body = text;
		len = strlen(text);
	}
	if (status == 200 && consume_truncation())
		reply_truncated(conn, req->id, body, len);
	else
		reply(conn, req->id, status, true, runs, body, len);
}

static void handle_work(struct mg_connection *conn, const char *path)
{
	struct exec_request req = {.id = header_or(conn, "Briarreel-Request-Id", ""),
				   .account = header_or(conn, "Briarreel-Account", ""),
				   .path = path};
	const char *deadline = mg_get_header(conn, "Briarreel-Deadline-Ms");
	enum exec_result ret;
	struct exec *e;
	char *body;
	size_t len;

	if (deadline && !opt.ignore_deadline)
		req.deadline_us = clock_now_us() + strtoull(deadline, NULL, 10) * 1000;
	if (http_server_read_body(conn, BODY_MAX_BYTES, &body, &len)) {
		reply(conn, req.id, 400, false, 0, "request body is too large or truncated\n", 39);
		return;
	}
	seen_add_request(conn, body, len);
	ret = exec_begin(&req, &e);
	if (ret == EXEC_OK)
		execute(conn, e, &req, body, len);
	else
		reply(conn, req.id, 503, false, 0, "not run\n", 8);
	free(body);
}

static void handle_cancel(struct mg_connection *conn)
{
	const char *id = header_or(conn, "Briarreel-Request-Id", "");
	char text[32];

	snprintf(text, sizeof(text), "{\"cancelled\":%" PRIu32 "}\n", id[0] ? exec_cancel(id) : 0);
	http_server_reply_text(conn, 200, text);
}

static int post_announcement(const char *path)
{
	struct json_object *o = json_object_new_object();
	bool drain;
	int ret;

	pthread_mutex_lock(&state_lock);
	drain = draining;
	pthread_mutex_unlock(&state_lock);
	json_object_object_add(o, "service", json_object_new_string(opt.service));
	json_object_object_add(o, "address", json_object_new_string(opt.listen));
	json_object_object_add(o, "slots", json_object_new_int(opt.slots));
	json_object_object_add(o, "connections", json_object_new_int(opt.connections));
	json_object_object_add(o, "draining", json_object_new_int(drain));
	ret = child_post_node(path,
			      json_object_to_json_string_ext(
				      o, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(o);
	return ret;
}

static void *run_announcements(void *arg)
{
	bool stop = false;

	while (!stop) {
		int ret = post_announcement("/target/announce");

		if (ret != 200 && ret != 204)
			log_debug("announcement to %s failed: status or error %d", opt.node, ret);
		pthread_mutex_lock(&state_lock);
		if (!stopping)
			standin_cond_wait(&state_changed, &state_lock, ANNOUNCE_MS * 1000);
		stop = stopping;
		pthread_mutex_unlock(&state_lock);
	}
	return arg;
}

/*
 * Draining is announced to the node at once, its end with the next regular announcement. Returns
 * the HTTP status, a negative error number, or 0 if nothing was sent.
 */
static int set_draining(bool on)
{
	pthread_mutex_lock(&state_lock);
	draining = on;
	pthread_mutex_unlock(&state_lock);
	return on ? post_announcement("/target/drain") : 0;
}

static void handle_log(struct mg_connection *conn)
{
	char id[BR_REQUEST_ID_BYTES];
	char *text;

	standin_query(conn, "id", id, sizeof(id));
	text = exec_log_text(id);
	http_server_reply_text(conn, text ? 200 : 500, text ? text : "out of memory\n");
	free(text);
}

static void handle_seen(struct mg_connection *conn)
{
	char text[256];
	char out[64];
	bool complete;
	bool seen;

	if (!standin_query(conn, "text", text, sizeof(text)) || !text[0]) {
		http_server_reply_text(conn, 400, "text is missing or too long\n");
		return;
	}
	seen = seen_find_text(text, &complete);
	snprintf(out, sizeof(out), "{\"seen\":%s,\"complete\":%s}\n", seen ? "true" : "false",
		 complete ? "true" : "false");
	http_server_reply_text(conn, 200, out);
}

static void handle_stats(struct mg_connection *conn)
{
	struct exec_stats s;
	char text[256];

	exec_get_stats(&s);
	snprintf(text, sizeof(text),
		 "executions %" PRIu64 "\nrepeated_ids %" PRIu64 "\nshed %" PRIu64
		 "\ncancelled %" PRIu64 "\nexpired %" PRIu64 "\nin_flight %" PRIu32
		 "\nmax_in_flight %" PRIu32 "\nqueued %" PRIu32 "\n",
		 s.executions, s.repeated_ids, s.shed, s.cancelled, s.expired, s.in_flight,
		 s.max_in_flight, s.queued);
	http_server_reply_text(conn, 200, text);
}

static void handle_slow(struct mg_connection *conn)
{
	char text[32];
	double factor = standin_query(conn, "factor", text, sizeof(text)) ? strtod(text, NULL) : 0;

	if (!(factor > 0 && factor <= 1e6)) {
		http_server_reply_text(conn, 400, "factor must be above 0\n");
		return;
	}
	pthread_mutex_lock(&state_lock);
	slow_factor = factor;
	pthread_mutex_unlock(&state_lock);
	http_server_reply_text(conn, 200, "ok\n");
}

static void handle_control(struct mg_connection *conn, const char *name)
{
	if (!strcmp(name, "log")) {
		handle_log(conn);
	} else if (!strcmp(name, "seen")) {
		handle_seen(conn);
	} else if (!strcmp(name, "stats")) {
		handle_stats(conn);
	} else if (!strcmp(name, "slow")) {
		handle_slow(conn);
	} else if (!strcmp(name, "hang")) {
		exec_set_hang(standin_query_u64(conn, "on", 1) != 0);
		http_server_reply_text(conn, 200, "ok\n");
	} else if (!strcmp(name, "truncate")) {
		pthread_mutex_lock(&state_lock);
		truncations_left = (uint32_t)standin_query_u64(conn, "count", 1);
		pthread_mutex_unlock(&state_lock);
		http_server_reply_text(conn, 200, "ok\n");
	} else if (!strcmp(name, "drain")) {
		char text[32];
		int ret = set_draining(standin_query_u64(conn, "on", 1) != 0);

		snprintf(text, sizeof(text), "%d\n", ret);
		http_server_reply_text(conn, 200, text);
	} else {
		http_server_reply_text(conn, 404, "no such path\n");
	}
}

static void handle(struct mg_connection *conn, void *user_data)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);

	(void)user_data;
	if (!strncmp(ri->local_uri, "/standin/", 9))
		handle_control(conn, ri->local_uri + 9);
	else if (!strcmp(ri->local_uri, "/cancel") && !strcmp(ri->request_method, "POST"))
		handle_cancel(conn);
	else
		handle_work(conn, ri->local_uri);
}

static void parse_options(int argc, const char **argv)
{
	const struct poptOption table[] = {
		{"listen", 'l', POPT_ARG_STRING, &opt.listen, 0, "address to listen on", "IP:PORT"},
		{"node", 'n', POPT_ARG_STRING, &opt.node, 0, "local port of the target's node",
		 "IP:PORT"},
		{"service", 's', POPT_ARG_STRING, &opt.service, 0, "name of the service", "NAME"},
		{"slots", 0, POPT_ARG_INT, &opt.slots, 0, "requests that run at once", "N"},
		{"connections", 0, POPT_ARG_INT, &opt.connections, 0,
		 "largest number of connections", "N"},
		{"service-ms", 0, POPT_ARG_DOUBLE, &opt.service_ms, 0, "mean service time", "MS"},
		{"exponential", 0, POPT_ARG_NONE, &opt.exponential, 0,
		 "exponentially distributed service times", NULL},
		{"seed", 0, POPT_ARG_INT, &opt.seed, 0, "seed of the service times", "N"},
		{"children", 0, POPT_ARG_STRING, &opt.children, 0,
		 "child calls, one after the other: SVC[@IP:PORT]:[METHOD:]/PATH,...", "LIST"},
		{"retries", 0, POPT_ARG_INT, &opt.retries, 0,
		 "retries of a failed child call, without a delay", "N"},
		{"child-timeout-ms", 0, POPT_ARG_INT, &opt.child_timeout_ms, 0,
		 "longest wait for a child call", "MS"},
		{"cold-start-ms", 0, POPT_ARG_INT, &opt.cold_start_ms, 0,
		 "time after the start with longer service times", "MS"},
		{"overrun-percent", 0, POPT_ARG_INT, &opt.overrun_percent, 0,
		 "extra service time when as many requests are queued as there are slots",
		 "PERCENT"},
		{"mislead", 0, POPT_ARG_NONE, &opt.mislead, 0, "always report no load", NULL},
		{"shed", 0, POPT_ARG_NONE, &opt.shed, 0, "answer 503 when no slot is free", NULL},
		{"seen-mb", 0, POPT_ARG_INT, &opt.seen_mb, 0, "requests recorded for /standin/seen",
		 "MB"},
		{"watch-text", 0, POPT_ARG_STRING, &opt.watch_text, 0,
		 "texts searched for in every request, for /standin/seen: A,B", "LIST"},
		{"ignore-deadline", 0, POPT_ARG_NONE, &opt.ignore_deadline, 0,
		 "execute requests also after their deadline", NULL},
		{"log-max", 0, POPT_ARG_INT, &opt.log_max, 0, "executions kept in the log", "N"},
		POPT_AUTOHELP POPT_TABLEEND};

	standin_parse_options(argc, argv, table);
	if (!opt.listen || opt.slots < 1 || opt.connections < 1 || opt.retries < 0 ||
	    opt.seen_mb < 0 || opt.log_max < 0 || opt.service_ms < 0 || opt.child_timeout_ms < 1) {
		fprintf(stderr, "%s: --listen is missing or a number is out of range\n", argv[0]);
		exit(2);
	}
	if (!opt.service)
		opt.service = strdup("service");
}

/* Announces the drain to the node, waits until no request runs or waits, then stops the workers. */
static void drain_and_stop(void)
{
	struct exec_stats s;

	if (opt.node)
		set_draining(true);
	for (int waited_ms = 0; waited_ms < DRAIN_TIMEOUT_MS; waited_ms += 20) {
		exec_get_stats(&s);
		if (!s.in_flight && !s.queued)
			break;
		clock_sleep_ms(20);
	}
	pthread_mutex_lock(&state_lock);
	stopping = true;
	pthread_cond_broadcast(&state_changed);
	pthread_mutex_unlock(&state_lock);
	exec_stop();
}

int main(int argc, const char **argv)
{
	struct br_error err = {0};
	struct http_server *srv;
	pthread_t announcer;
	sigset_t signals;

	parse_options(argc, argv);
	log_init("standin-target", LOG_LEVEL_INFO);
	standin_block_signals(&signals);
	standin_cond_init(&state_changed);
	start_us = clock_now_us();
	br_rng_seed(&rng, (uint64_t)opt.seed);
	seen_init((size_t)opt.seen_mb << 20, opt.watch_text);
	exec_init(&(struct exec_config){.slots = (uint32_t)opt.slots,
					.shed = opt.shed != 0,
					.log_max = (uint32_t)opt.log_max});
	if (!child_init(&(struct child_config){.children = opt.children,
					       .node = opt.node,
					       .retries = (uint32_t)opt.retries,
					       .timeout_ms = (uint32_t)opt.child_timeout_ms})) {
		log_err("--children: %s: not a list of SVC[@IP:PORT]:[METHOD:]/PATH", opt.children);
		return 2;
	}
	srv = http_server_create(
		&(struct http_server_config){.listen = opt.listen,
					     .workers = (uint32_t)opt.connections + CONTROL_WORKERS,
					     .keep_alive_ms = KEEP_ALIVE_MS},
		handle, NULL, &err);
	if (!srv) {
		log_err("%s: %s", opt.listen, err.detail);
		return 1;
	}
	if (opt.node && pthread_create(&announcer, NULL, run_announcements, NULL) != 0)
		abort();
	log_info("listening on %s, service %s", opt.listen, opt.service);
	standin_wait_signal(&signals);
	drain_and_stop();
	if (opt.node)
		pthread_join(announcer, NULL);
	http_server_destroy(srv);
	child_destroy();
	return 0;
}
