/**
 * @file http_call.h
 * Conversion of HTTP requests into calls and of answers into HTTP replies, shared by the listeners.
 */
#ifndef NODE_HTTP_CALL_H
#define NODE_HTTP_CALL_H

#include "node/call.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct http_reply;
struct mg_connection;

/** Paths with this prefix are reserved for Briarreel and never routed. */
#define HTTP_CALL_SYSTEM_PREFIX "/briarreel/"

/**
 * Copies the path and query as received to target, a buffer of the given size. Returns false if
 * they do not fit or the path does not start with "/".
 */
bool http_call_target(const struct mg_connection *conn, char *target, size_t bytes);

/**
 * Copies the headers to forward, except those that contain secret (may be NULL). Call after
 * c->target is set. Returns false if the target and headers are too large, or the headers too many,
 * for the next hop, which adds its own headers.
 */
bool http_call_copy_headers(const struct mg_connection *conn, const char *secret, struct call *c);

/**
 * Reads the request id from Briarreel-Request-Id or Idempotency-Key; empty if both are absent.
 * Returns false if it is malformed or the two differ.
 */
bool http_call_request_id(const struct mg_connection *conn, char *id, size_t bytes);

/** Reads a decimal header; fallback if absent. Returns false if malformed or above max. */
bool http_call_header_u64(const struct mg_connection *conn, const char *name, uint64_t fallback,
			  uint64_t max, uint64_t *out);

/**
 * Appends a target's headers, except private ones, to the n headers already set, and sets the
 * reply's body. headers must have room for HTTP_MAX_HEADERS more. Returns the number of headers.
 * The reply points into ans.
 */
size_t http_call_add_answer(const struct call_answer *ans, struct http_header *headers, size_t n,
			    struct http_reply *reply);

/**
 * Sends the answer of a call to a caller or target. c and slots, the value of
 * Briarreel-Local-Slots, may be NULL. Closes the connection afterwards if close is true.
 */
void http_call_reply(struct mg_connection *conn, const struct call *c,
		     const struct call_answer *ans, const char *slots, bool close);

/** Sends a refusal of a request for which no call was created. */
void http_call_refuse(struct mg_connection *conn, struct br_outcome outcome, bool close);

#endif
