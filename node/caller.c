#include "briarreel/view.h"
#include "common/clock.h"
#include "common/http_server.h"
#include "common/log.h"
#include "node/blackboard.h"
#include "node/conn_watch.h"
#include "node/counters.h"
#include "node/forward.h"
#include "node/http_call.h"
#include "node/listeners.h"
#include "node/node.h"
#include "node/node_settings.h"
#include "node/rates.h"

#include <civetweb.h>
#include <ctype.h>
#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define LOG_PREFIX "caller"

/* Bytes of a request's path and query with the terminator. */
#define REQUEST_TARGET_BYTES 8192
/* Shorter keys could be guessed, and could occur in headers and bodies by coincidence. */
#define KEY_MIN_BYTES 16
#define KEY_MAX_BYTES 512
#define OVER_RATE_RETRY_AFTER_MS 1000
#define EARLY_REFUSAL_RETRY_AFTER_MS 500

/** A request of a caller while it is being handled. */
struct caller_request {
	struct node *node;
	struct mg_connection *conn;
	struct br_view *view;
	const struct br_record *route;
	/** NULL on open routes without a valid key. */
	const struct br_record *account;
	/** The caller's key; NULL if the request has none. */
	const char *key;
	struct call call;
	char target[REQUEST_TARGET_BYTES];
	char *body;
};

/*
 * Reads the key from the Authorization header; an absent header leaves r->key NULL. Returns false
 * if the header is malformed or occurs more than once, or if the length of the key is not within
 * KEY_MIN_BYTES and KEY_MAX_BYTES.
 */
static bool read_key(struct caller_request *r)
{
	const struct mg_request_info *ri = mg_get_request_info(r->conn);
	int n = 0;

	for (int i = 0; i < ri->num_headers; i++) {
		if (strcasecmp(ri->http_headers[i].name, "Authorization") != 0)
			continue;
		n++;
		r->key = ri->http_headers[i].value;
	}
	if (!r->key)
		return true;
	if (n > 1 || strncasecmp(r->key, "Bearer ", strlen("Bearer ")) != 0)
		return false;
	r->key += strlen("Bearer ");
	r->key += strspn(r->key, " ");
	return strlen(r->key) >= KEY_MIN_BYTES && strlen(r->key) <= KEY_MAX_BYTES;
}

/* Sets the account that the key belongs to. Returns BR_REASON_NONE or the reason for a refusal. */
static enum br_reason authenticate(struct caller_request *r)
{
	uint8_t digest[crypto_hash_sha256_BYTES];
	struct br_view_key found;
	uint32_t ttl_s;

	if (!r->key)
		return r->route->route.open ? BR_REASON_NONE : BR_REASON_NO_KEY;
	crypto_hash_sha256(digest, (const unsigned char *)r->key, strlen(r->key));
	if (!br_view_find_key(r->view, digest, &found))
		return r->route->route.open ? BR_REASON_NONE : BR_REASON_BAD_KEY;
	ttl_s = found.account->account.offline_key_ttl_s;
	if (ttl_s && blackboard_confirmation_age_us(r->node->board, clock_now_us()) >
			     (uint64_t)ttl_s * BR_US_PER_S)
		return BR_REASON_KEY_UNCONFIRMED;
	r->account = found.account;
	return BR_REASON_NONE;
}

static bool find_route(struct caller_request *r)
{
	const struct mg_request_info *ri = mg_get_request_info(r->conn);

	if (!strncmp(r->target, HTTP_CALL_SYSTEM_PREFIX, strlen(HTTP_CALL_SYSTEM_PREFIX)))
		return false;
	r->route = br_view_find_route(r->view, ri->request_method, r->target);
	return r->route != NULL;
}

/*
 * Sets the call's parameters from the request headers, the route and the account. Returns
 * BR_REASON_NONE or the reason for a refusal.
 */
static enum br_reason read_parameters(struct caller_request *r)
{
	const struct br_route *route = &r->route->route;
	struct call *c = &r->call;
	uint64_t deadline_ms;
	uint64_t priority;
	uint64_t attempt;

	if (!http_call_request_id(r->conn, c->request_id, sizeof(c->request_id)) ||
	    !http_call_header_u64(r->conn, "Briarreel-Deadline-Ms", route->timeout_ms, UINT32_MAX,
				  &deadline_ms) ||
	    !http_call_header_u64(r->conn, "Briarreel-Priority", route->priority, BR_PRIORITIES - 1,
				  &priority) ||
	    !http_call_header_u64(r->conn, "Briarreel-Attempt", 0, UINT32_MAX, &attempt))
		return BR_REASON_MALFORMED;
	if (!route->idempotent && route->request_id_required && !c->request_id[0])
		return BR_REASON_NO_IDENTITY;
	/* A caller may lower the importance of its request, not raise it. */
	if (priority < route->priority)
		priority = route->priority;
	if (r->account && priority < r->account->account.priority)
		priority = r->account->account.priority;
	if (deadline_ms > route->timeout_ms)
		deadline_ms = route->timeout_ms;
	c->priority = (uint8_t)priority;
	c->first_attempt = attempt == 1;
	c->deadline_us = clock_now_us() + deadline_ms * BR_US_PER_MS;
	c->idempotent = route->idempotent;
	c->retries = route->retry_limit;
	c->depth = 1;
	br_copy_text(c->service, sizeof(c->service), route->service);
	br_copy_text(c->route, sizeof(c->route), r->route->name);
	br_copy_text(c->account, sizeof(c->account),
		     r->account ? r->account->name : CALL_ANONYMOUS);
	return BR_REASON_NONE;
}

/* Value of the two hexadecimal digits at text; -1 if they are not hexadecimal. */
static int hex_byte(const char *text)
{
	char digits[3] = {text[0], text[1], '\0'};

	if (!isxdigit((unsigned char)text[0]) || !isxdigit((unsigned char)text[1]))
		return -1;
	return (int)strtol(digits, NULL, 16);
}

/*
 * True if the percent-decoded data contains the key. Queries and forms encode key characters such
 * as "/".
 */
static bool contains_encoded_key(const char *data, size_t len, const char *key)
{
	char *decoded = malloc(len + 1);
	size_t n = 0;
	bool found;

	if (!decoded)
		abort();
	for (size_t i = 0; i < len; i++) {
		int byte = data[i] == '%' && i + 2 < len ? hex_byte(data + i + 1) : -1;

		decoded[n++] = byte < 0 ? data[i] : (char)byte;
		i += byte < 0 ? 0 : 2;
	}
	found = memmem(decoded, n, key, strlen(key)) != NULL;
	free(decoded);
	return found;
}

static bool contains_key(const char *data, size_t len, const char *key)
{
	if (memmem(data, len, key, strlen(key)))
		return true;
	return memchr(data, '%', len) && contains_encoded_key(data, len, key);
}

/*
 * Reads the body and the headers to forward and sets the scope. Returns BR_REASON_NONE or the
 * reason for a refusal, such as a key in a part of the request that is sent to the target.
 */
static enum br_reason read_body_and_headers(struct caller_request *r)
{
	struct call *c = &r->call;
	int ret = http_server_read_body(r->conn, r->node->settings->max_body_bytes, &r->body,
					&c->body_len);

	if (ret == -EMSGSIZE)
		return BR_REASON_BODY_TOO_LARGE;
	if (ret)
		return BR_REASON_MALFORMED;
	c->body = r->body;
	/* The request id is sent to the target, so it must not contain the key either. */
	if (r->key &&
	    (strstr(c->request_id, r->key) || contains_key(r->target, strlen(r->target), r->key) ||
	     contains_key(c->body, c->body_len, r->key)))
		return BR_REASON_KEY_IN_REQUEST;
	c->method = mg_get_request_info(r->conn)->request_method;
	c->request_target = r->target;
	call_set_scope(c);
	return http_call_copy_headers(r->conn, r->key, c) ? BR_REASON_NONE : BR_REASON_MALFORMED;
}

/*
 * Makes all checks before a request is forwarded. The last one takes a token of the account and may
 * wait for a rate lease from another node. Returns an answered outcome with status 0 if the request
 * may be forwarded, else the refusal.
 */
static struct br_outcome check_request(struct caller_request *r)
{
	enum br_reason reason;

	r->view = blackboard_config(r->node->board);
	if (!r->view)
		return br_outcome_not_run(BR_REASON_NO_CONFIG, EARLY_REFUSAL_RETRY_AFTER_MS);
	if (!http_call_target(r->conn, r->target, sizeof(r->target)))
		return br_outcome_not_run(BR_REASON_MALFORMED, 0);
	if (!read_key(r))
		return br_outcome_not_run(BR_REASON_BAD_KEY, 0);
	if (!find_route(r))
		return br_outcome_not_run(
			br_view_watermark(r->view) ? BR_REASON_NO_ROUTE : BR_REASON_NO_CONFIG, 0);
	reason = authenticate(r);
	if (!reason)
		reason = read_parameters(r);
	if (!reason)
		reason = read_body_and_headers(r);
	if (reason)
		return br_outcome_not_run(reason, 0);
	if (forward_should_refuse_early(r->node->forward, &r->call)) {
		counter_add(COUNTER_SHED_EARLY, 1);
		return br_outcome_not_run(BR_REASON_OVERLOAD, EARLY_REFUSAL_RETRY_AFTER_MS);
	}
	reason = r->account ? rates_take_token(r->node->rates, r->account, &r->call)
			    : BR_REASON_NONE;
	if (reason)
		return br_outcome_not_run(reason, OVER_RATE_RETRY_AFTER_MS);
	return br_outcome_answered(0);
}

static void on_caller_disconnect(void *arg)
{
	struct caller_request *r = arg;

	forward_cancel(r->node->forward, &r->call);
}

static void count_result(const struct caller_request *r, const struct br_outcome *o)
{
	enum request_result result = REQUEST_SHED;

	switch (br_outcome_status(o)) {
	case 401:
		counter_add(COUNTER_BAD_KEYS, 1);
		return;
	case 400:
	case 404:
	case 413:
		if (o->kind != BR_OUTCOME_ANSWERED) {
			counter_add(COUNTER_BAD_REQUESTS, 1);
			return;
		}
		break;
	default:
		break;
	}
	if (!r->call.account[0])
		return;
	switch (o->kind) {
	case BR_OUTCOME_ANSWERED:
		result = o->answered.status >= 500 ? REQUEST_FAILED : REQUEST_ANSWERED;
		break;
	case BR_OUTCOME_NOT_RUN:
		if (o->not_run.reason == BR_REASON_OVER_RATE)
			result = REQUEST_RATE_LIMITED;
		break;
	case BR_OUTCOME_UNKNOWN:
		result = REQUEST_UNKNOWN;
		break;
	}
	counter_request(r->call.account, r->call.service, result);
}

static void serve_request(struct caller_request *r)
{
	struct node *node = r->node;
	struct call_answer ans = {0};
	struct conn_watch_entry watch;
	char slots[256] = "";

	ans.outcome = check_request(r);
	if (ans.outcome.kind == BR_OUTCOME_ANSWERED) {
		conn_watch_begin(node->watch, &watch, r->conn, on_caller_disconnect, r);
		forward_call(node->forward, &r->call, &ans);
		conn_watch_end(node->watch, &watch);
	}
	if (r->route && !r->route->route.idempotent)
		blackboard_zone_slots(node->board, node->settings->zone, slots, sizeof(slots));
	count_result(r, &ans.outcome);
	http_call_reply(r->conn, &r->call, &ans, slots,
			atomic_load(&node->stopping) || br_outcome_status(&ans.outcome) == 413);
	call_answer_free(&ans);
}

void caller_handle(struct mg_connection *conn, void *user_data)
{
	struct caller_request *r = calloc(1, sizeof(*r));
	struct node *node = user_data;

	if (!r) {
		http_call_refuse(conn, br_outcome_not_run(BR_REASON_INTERNAL, 0), true);
		return;
	}
	atomic_fetch_add(&node->active_requests, 1);
	counter_add(COUNTER_CALLER_REQUESTS, 1);
	r->node = node;
	r->conn = conn;
	call_init(&r->call);
	r->call.conn = conn;
	serve_request(r);
	call_destroy(&r->call);
	br_view_put(r->view);
	free(r->body);
	free(r);
	atomic_fetch_sub(&node->active_requests, 1);
}
