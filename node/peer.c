#include "briarreel/error.h"
#include "common/clock.h"
#include "common/http_server.h"
#include "common/log.h"
#include "node/claims.h"
#include "node/counters.h"
#include "node/dispatch.h"
#include "node/http_call.h"
#include "node/listeners.h"
#include "node/node.h"
#include "node/node_settings.h"

#include <civetweb.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_PREFIX "peer"

/* Bytes of a request's path and query with the terminator. */
#define REQUEST_TARGET_BYTES 8192
/* Highest accepted values of the headers of an attempt. */
#define DEADLINE_MAX_MS 60000
#define DEPTH_MAX 64
#define RETRIES_MAX 64

static bool token_valid(const struct node *node, const struct mg_connection *conn)
{
	const char *token = mg_get_header(conn, "Briarreel-Mesh-Token");
	size_t len = strlen(node->settings->mesh_token);

	return token && strlen(token) == len &&
	       !sodium_memcmp(token, node->settings->mesh_token, len);
}

static bool copy_header(const struct mg_connection *conn, const char *name, char *out, size_t bytes)
{
	const char *text = mg_get_header(conn, name);

	return text && text[0] && br_copy_text(out, bytes, text);
}

/* Reads an attempt from its headers. Returns false if a header is missing or malformed. */
static bool read_attempt(const struct mg_connection *conn, struct call *c,
			 struct dispatch_attempt *att)
{
	const char *attempt = mg_get_header(conn, "Briarreel-Attempt-Id");
	const char *idempotent = mg_get_header(conn, "Briarreel-Idempotent");
	const char *id = mg_get_header(conn, "Briarreel-Request-Id");
	uint64_t priority, remaining_ms, retries, depth;

	if (!attempt || br_attempt_id_parse(attempt, &att->id) || !idempotent ||
	    !copy_header(conn, "Briarreel-Service", c->service, sizeof(c->service)) ||
	    !copy_header(conn, "Briarreel-Account", c->account, sizeof(c->account)) ||
	    !copy_header(conn, "Briarreel-Route", c->route, sizeof(c->route)) ||
	    (id && !br_copy_text(c->request_id, sizeof(c->request_id), id)) ||
	    !http_call_header_u64(conn, "Briarreel-Priority", UINT64_MAX, BR_PRIORITIES - 1,
				  &priority) ||
	    !http_call_header_u64(conn, "Briarreel-Deadline-Ms", UINT64_MAX, DEADLINE_MAX_MS,
				  &remaining_ms) ||
	    !http_call_header_u64(conn, "Briarreel-Retries-Left", UINT64_MAX, RETRIES_MAX,
				  &retries) ||
	    !http_call_header_u64(conn, "Briarreel-Depth", UINT64_MAX, DEPTH_MAX, &depth) ||
	    !http_call_header_u64(conn, "Briarreel-Incarnation", 0, UINT64_MAX,
				  &att->target_incarnation))
		return false;
	/* If one of these headers is absent, its value is UINT64_MAX, which is refused here. */
	if (priority >= BR_PRIORITIES || remaining_ms > DEADLINE_MAX_MS || retries > RETRIES_MAX ||
	    depth > DEPTH_MAX)
		return false;
	c->priority = (uint8_t)priority;
	c->retries = (uint32_t)retries;
	c->depth = (uint32_t)depth;
	c->idempotent = !strcmp(idempotent, "1");
	c->deadline_us = clock_now_us() + remaining_ms * BR_US_PER_MS;
	att->attach = mg_get_header(conn, "Briarreel-Attach") != NULL;
	return true;
}

static void reply_answer(struct mg_connection *conn, const struct node *node, const char *attempt,
			 const struct call_answer *ans)
{
	struct http_header headers[HTTP_MAX_HEADERS + 10];
	struct http_reply reply = {.status = br_outcome_status(&ans->outcome), .headers = headers};
	char retries[16], threshold[16], in_flight[16], limit[16], incarnation[24], retry_after[16];
	size_t n = 0;

	snprintf(retries, sizeof(retries), "%u", ans->retries_left);
	snprintf(threshold, sizeof(threshold), "%u", ans->threshold);
	snprintf(in_flight, sizeof(in_flight), "%u", ans->in_flight);
	snprintf(limit, sizeof(limit), "%u", ans->limit);
	snprintf(incarnation, sizeof(incarnation), "%llu", (unsigned long long)node->incarnation);
	headers[n++] = (struct http_header){"Briarreel-Attempt-Id", attempt};
	headers[n++] = (struct http_header){"Briarreel-Outcome", br_outcome_name(&ans->outcome)};
	headers[n++] = (struct http_header){"Briarreel-Retries-Left", retries};
	headers[n++] = (struct http_header){"Briarreel-Threshold", threshold};
	headers[n++] = (struct http_header){"Briarreel-Inflight", in_flight};
	headers[n++] = (struct http_header){"Briarreel-Limit", limit};
	headers[n++] = (struct http_header){"Briarreel-Incarnation", incarnation};
	if (ans->outcome.kind == BR_OUTCOME_ANSWERED) {
		n = http_call_add_answer(ans, headers, n, &reply);
	} else {
		headers[n++] = (struct http_header){
			"Briarreel-Reason", br_reason_name(br_outcome_reason(&ans->outcome))};
	}
	if (ans->outcome.kind == BR_OUTCOME_NOT_RUN && ans->outcome.not_run.retry_after_ms) {
		snprintf(retry_after, sizeof(retry_after), "%u",
			 ans->outcome.not_run.retry_after_ms);
		headers[n++] = (struct http_header){"Briarreel-Retry-After-Ms", retry_after};
	}
	reply.n_headers = n;
	http_server_reply(conn, &reply);
}

static void handle_attempt(struct node *node, struct mg_connection *conn)
{
	char attempt[BR_ATTEMPT_ID_BYTES];
	struct dispatch_attempt att = {0};
	char target[REQUEST_TARGET_BYTES];
	struct call_answer ans;
	struct call c;
	char *body = NULL;

	call_init(&c);
	c.request_target = target;
	if (!http_call_target(conn, target, sizeof(target)) || !read_attempt(conn, &c, &att) ||
	    !http_call_copy_headers(conn, NULL, &c) ||
	    http_server_read_body(conn, node->settings->max_body_bytes, &body, &c.body_len)) {
		counter_add(COUNTER_PEER_REJECTED, 1);
		log_info("Refused an attempt of peer %s: malformed, too large or incomplete.",
			 mg_get_request_info(conn)->remote_addr);
		http_server_reply_text(conn, 400, "malformed attempt\n");
		free(body);
		call_destroy(&c);
		return;
	}
	counter_add(COUNTER_PEER_REQUESTS, 1);
	c.method = mg_get_request_info(conn)->request_method;
	call_set_scope(&c);
	c.body = body;
	dispatch_run(node->dispatch, &c, &att, &ans);
	br_attempt_id_format(&att.id, attempt);
	reply_answer(conn, node, attempt, &ans);
	call_answer_free(&ans);
	free(body);
	call_destroy(&c);
}

static void handle_attempt_state(struct node *node, struct mg_connection *conn)
{
	const char *text = mg_get_header(conn, "Briarreel-Attempt-Id");
	struct br_attempt_id id;

	if (!text || br_attempt_id_parse(text, &id))
		http_server_reply_text(conn, 400, "malformed attempt id\n");
	else
		http_server_reply_text(conn, 200, dispatch_attempt_state(node->dispatch, &id));
}

static void handle_cancel(struct node *node, struct mg_connection *conn)
{
	const char *text = mg_get_header(conn, "Briarreel-Attempt-Id");

	if (!text) {
		http_server_reply_text(conn, 400, "no attempt id\n");
		return;
	}
	dispatch_cancel(node->dispatch, text);
	http_server_reply_text(conn, 200, "ok\n");
}

void peer_handle(struct mg_connection *conn, void *user_data)
{
	const char *path = mg_get_request_info(conn)->request_uri;
	struct node *node = user_data;

	if (!token_valid(node, conn)) {
		counter_add(COUNTER_PEER_REJECTED, 1);
		http_call_refuse(conn, br_outcome_not_run(BR_REASON_BAD_MESH_TOKEN, 0), true);
		return;
	}
	if (!strcmp(path, HTTP_CALL_SYSTEM_PREFIX "registrar"))
		claims_handle_message(node->claims, conn);
	else if (!strcmp(path, HTTP_CALL_SYSTEM_PREFIX "claims"))
		claims_handle_fetch(node->claims, conn);
	else if (!strcmp(path, HTTP_CALL_SYSTEM_PREFIX "cancel"))
		handle_cancel(node, conn);
	else if (!strcmp(path, HTTP_CALL_SYSTEM_PREFIX "attempt"))
		handle_attempt_state(node, conn);
	else
		handle_attempt(node, conn);
}
