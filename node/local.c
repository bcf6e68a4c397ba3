#include "briarreel/error.h"
#include "briarreel/view.h"
#include "common/clock.h"
#include "common/http_server.h"
#include "common/log.h"
#include "common/settings.h"
#include "node/blackboard.h"
#include "node/conn_watch.h"
#include "node/counters.h"
#include "node/dispatch.h"
#include "node/forward.h"
#include "node/http_call.h"
#include "node/listeners.h"
#include "node/node.h"
#include "node/node_settings.h"
#include "node/parent.h"

#include <civetweb.h>
#include <stdlib.h>
#include <string.h>

#define LOG_PREFIX "local"

/* Bytes of a request's path and query with the terminator. */
#define REQUEST_TARGET_BYTES 8192
#define ANNOUNCE_MAX_BYTES 4096
/* Value of announcement.draining if the field is absent. */
#define DRAINING_UNSET 2

/** Fields of an announcement of the target. */
struct announcement {
	char service[BR_NAME_BYTES];
	char address[BR_NODE_ID_BYTES];
	/** Number of requests that the target can run concurrently; 0 if not announced. */
	uint32_t concurrency_hint;
	uint32_t connections;
	/** 0 or 1, or DRAINING_UNSET. */
	uint32_t draining;
};

static const struct settings_key announcement_keys[] = {
	{"service", SETTINGS_TEXT, offsetof(struct announcement, service), 0, BR_NAME_BYTES, 0,
	 true},
	{"address", SETTINGS_ADDRESS, offsetof(struct announcement, address), 0, BR_NODE_ID_BYTES,
	 0, true},
	{"slots", SETTINGS_U32, offsetof(struct announcement, concurrency_hint), 1, 65535, 0,
	 false},
	{"connections", SETTINGS_U32, offsetof(struct announcement, connections), 1, 65535, 0,
	 false},
	{"draining", SETTINGS_U32, offsetof(struct announcement, draining), 0, 1, DRAINING_UNSET,
	 false},
};

static void handle_announce(struct node *node, struct mg_connection *conn)
{
	struct announcement a = {0};
	struct br_error err = {0};
	char *body = NULL;
	size_t len;

	if (http_server_read_body(conn, ANNOUNCE_MAX_BYTES, &body, &len) ||
	    settings_parse("announcement", body, announcement_keys,
			   sizeof(announcement_keys) / sizeof(announcement_keys[0]), &a, &err)) {
		log_warn("Refused an announcement of the target: %s.", err.detail);
		http_server_reply_text(conn, 400, err.detail[0] ? err.detail : "malformed\n");
	} else {
		blackboard_target_announced(node->board, a.service, a.address, a.concurrency_hint,
					    clock_now_us());
		/* If the field is absent, a draining target stays draining until it is replaced. */
		if (a.draining != DRAINING_UNSET)
			blackboard_set_target_draining(node->board, a.draining == 1);
		http_server_reply_text(conn, 200, "ok\n");
	}
	free(body);
}

static void handle_drain(struct node *node, struct mg_connection *conn)
{
	log_notice("The target requested draining.");
	blackboard_set_target_draining(node->board, true);
	http_server_reply_text(conn, 200, "ok\n");
}

/** A child call while it is being handled. */
struct child_request {
	struct node *node;
	struct mg_connection *conn;
	struct parent *parent;
	struct br_view *view;
	struct call call;
	/** Retries that the parent delegated to this call. */
	uint32_t delegated_retries;
	char target[REQUEST_TARGET_BYTES];
	char *body;
};

static void on_target_disconnect(void *arg)
{
	struct child_request *r = arg;

	forward_cancel(r->node->forward, &r->call);
}

/* Reads a child call. Returns BR_REASON_NONE or the reason for a refusal. */
static enum br_reason read_child_call(struct child_request *r)
{
	const struct mg_request_info *ri = mg_get_request_info(r->conn);
	const struct br_record *route;
	struct call *c = &r->call;
	uint64_t remaining_ms;
	uint64_t end_us;

	r->view = blackboard_config(r->node->board);
	if (!r->view)
		return BR_REASON_NO_CONFIG;
	if (!http_call_target(r->conn, r->target, sizeof(r->target)) ||
	    !http_call_request_id(r->conn, c->request_id, sizeof(c->request_id)) ||
	    !http_call_header_u64(r->conn, "Briarreel-Deadline-Ms", UINT32_MAX, UINT32_MAX,
				  &remaining_ms))
		return BR_REASON_MALFORMED;
	route = br_view_find_route(r->view, ri->request_method, r->target);
	if (!route || !strncmp(r->target, HTTP_CALL_SYSTEM_PREFIX, strlen(HTTP_CALL_SYSTEM_PREFIX)))
		return BR_REASON_NO_ROUTE;
	if (http_server_read_body(r->conn, r->node->settings->max_body_bytes, &r->body,
				  &c->body_len))
		return BR_REASON_BODY_TOO_LARGE;
	parent_init_child(r->parent, c);
	end_us = clock_now_us() + remaining_ms * BR_US_PER_MS;
	if (end_us < c->deadline_us)
		c->deadline_us = end_us;
	br_copy_text(c->service, sizeof(c->service), route->route.service);
	c->idempotent = route->route.idempotent;
	c->method = ri->request_method;
	c->request_target = r->target;
	call_set_scope(c);
	c->body = r->body;
	http_call_copy_headers(r->conn, NULL, c);
	return BR_REASON_NONE;
}

static void run_child(struct child_request *r, struct call_answer *ans)
{
	struct node *node = r->node;
	struct conn_watch_entry watch;

	forward_record_downstream(node->forward, r->call.route, r->call.service);
	if (forward_should_refuse_early(node->forward, &r->call)) {
		counter_add(COUNTER_SHED_EARLY, 1);
		call_answer_set_outcome(ans, br_outcome_not_run(BR_REASON_OVERLOAD, 500));
		return;
	}
	r->delegated_retries = parent_child_begin(r->parent, &r->call);
	r->call.retries = r->delegated_retries;
	conn_watch_begin(node->watch, &watch, r->conn, on_target_disconnect, r);
	forward_call(node->forward, &r->call, ans);
	conn_watch_end(node->watch, &watch);
	parent_child_end(r->parent, &r->call, r->delegated_retries, ans->retries_left,
			 ans->outcome.kind == BR_OUTCOME_UNKNOWN);
}

static void handle_child(struct node *node, struct mg_connection *conn, const char *token)
{
	struct child_request *r = calloc(1, sizeof(*r));
	struct call_answer ans = {0};
	enum br_reason reason;

	if (!r)
		abort();
	r->node = node;
	r->conn = conn;
	counter_add(COUNTER_CHILD_CALLS, 1);
	call_init(&r->call);
	r->parent = parent_find(dispatch_parents(node->dispatch), token);
	reason = r->parent ? read_child_call(r) : BR_REASON_MALFORMED;
	if (reason)
		call_answer_set_outcome(&ans, br_outcome_not_run(reason, 0));
	else
		run_child(r, &ans);
	http_call_reply(conn, &r->call, &ans, NULL, false);
	call_answer_free(&ans);
	if (r->parent)
		parent_put(r->parent);
	call_destroy(&r->call);
	br_view_put(r->view);
	free(r->body);
	free(r);
}

void local_handle(struct mg_connection *conn, void *user_data)
{
	const char *path = mg_get_request_info(conn)->request_uri;
	const char *token = mg_get_header(conn, "Briarreel-Context");
	struct node *node = user_data;

	if (token)
		handle_child(node, conn, token);
	else if (!strcmp(path, "/target/announce"))
		handle_announce(node, conn);
	else if (!strcmp(path, "/target/drain"))
		handle_drain(node, conn);
	else
		http_call_refuse(conn, br_outcome_not_run(BR_REASON_NO_ROUTE, 0), false);
}
