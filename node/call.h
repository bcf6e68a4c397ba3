/**
 * @file call.h
 * A request that a node handles, and its answer.
 */
#ifndef NODE_CALL_H
#define NODE_CALL_H

#include "briarreel/attempt.h"
#include "briarreel/outcome.h"
#include "briarreel/types.h"
#include "common/http_client.h"

#include <pthread.h>

struct mg_connection;

/** Account name of requests without a valid key, which only open routes accept. */
#define CALL_ANONYMOUS "-"

/** Bytes of call.scope with its terminator. */
#define CALL_SCOPE_BYTES 40

/** Cancellation state of a call. */
struct call_cancel {
	pthread_mutex_t lock;
	bool cancelled;
	/** True once an attempt was started; peer and attempt then identify the current one. */
	bool forwarded;
	struct br_node_id peer;
	char attempt[BR_ATTEMPT_ID_BYTES];
};

/** A request. The handler that created the call owns the strings behind its pointers. */
struct call {
	const char *method;
	/** Path with query. */
	const char *request_target;
	/** Headers to forward, without the caller's key and Briarreel's own headers. */
	struct http_header headers[HTTP_MAX_HEADERS];
	size_t n_headers;
	const char *body;
	size_t body_len;
	char account[BR_NAME_BYTES];
	char service[BR_NAME_BYTES];
	char route[BR_NAME_BYTES];
	/** Empty if the request has no id. */
	char request_id[BR_REQUEST_ID_BYTES];
	/**
	 * Scope in which the request id is unique: a digest of account, service, method and path.
	 * It keeps several child calls to which a target passes the id of its own request from
	 * being treated as duplicates of each other.
	 */
	char scope[CALL_SCOPE_BYTES];
	uint8_t priority;
	bool idempotent;
	/** The caller declared that this is its first attempt. */
	bool first_attempt;
	/** Monotonic time at which this node began to handle the request. */
	uint64_t arrived_us;
	/** The caller's connection; NULL if the call was not received on the caller port. */
	const struct mg_connection *conn;
	/** Depth in the call graph; 1 for a request of a caller. */
	uint32_t depth;
	/** Retries that this call and all its downstream calls may use. */
	uint32_t retries;
	/** Monotonic time by which the caller needs the answer. */
	uint64_t deadline_us;
	struct call_cancel cancel;
};

/** Outcome of a call, its response, and the load reported with it. */
struct call_answer {
	struct br_outcome outcome;
	/** Valid if the outcome is an answer; release with call_answer_free(). */
	struct http_response resp;
	/** Unused retries of the call's allowance. */
	uint32_t retries_left;
	/** Lowest admission threshold of the services that the call may pass through. */
	uint32_t threshold;
	/** Requests queued or running at the target. */
	uint32_t in_flight;
	/** Concurrency limit of the target; 0 if no load was reported. */
	uint32_t limit;
};

/** Clears the call, sets arrived_us and initializes the lock. */
void call_init(struct call *c);
void call_destroy(struct call *c);

/** Sets the scope from account, service, method and target, which must be set. */
void call_set_scope(struct call *c);

/** True once forward_cancel() was called for this call or its parent request. */
bool call_cancelled(struct call *c);

/** Milliseconds until the deadline; 0 if it has passed. */
uint32_t call_remaining_ms(const struct call *c, uint64_t now_us);

/** Frees the response. */
void call_answer_free(struct call_answer *ans);

/** Frees the response and sets an outcome without one. */
void call_answer_set_outcome(struct call_answer *ans, struct br_outcome outcome);

/** True for headers that are not forwarded: per connection, or handled by Briarreel. */
bool call_header_is_filtered(const char *name);

/**
 * Encodes the headers of a response for storage, each as "Name: value\r\n", without private ones.
 * The caller frees the returned text. Returns NULL if out of memory.
 */
char *call_headers_encode(const struct http_response *resp, size_t *len);

/** Fills the headers of resp from text of call_headers_encode(). Returns 0 or -ENOMEM. */
int call_headers_decode(const char *text, size_t len, struct http_response *resp);

#endif
