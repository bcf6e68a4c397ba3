/**
 * @file http_client.h
 * Blocking HTTP/1.1 client with a pool of keep-alive connections for each peer.
 */
#ifndef COMMON_HTTP_CLIENT_H
#define COMMON_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct br_error;
struct http_pool;

/** Maximum number of headers of a request or response. */
#define HTTP_MAX_HEADERS 48

/** A header; name and value are borrowed. */
struct http_header {
	const char *name;
	const char *value;
};

/**
 * A request. target is the path with its query; body may hold any bytes. All pointers are borrowed
 * until the call returns.
 */
struct http_request {
	const char *method;
	const char *target;
	struct http_header headers[HTTP_MAX_HEADERS];
	size_t n_headers;
	const void *body;
	size_t body_len;
};

/** A complete response; release with http_response_free(). */
struct http_response {
	int status;
	struct http_header headers[HTTP_MAX_HEADERS];
	size_t n_headers;
	/** Memory that headers points into. */
	char *header_text;
	/** The body with a terminating zero byte; NULL if the response cannot have a body. */
	char *body;
	size_t body_len;
};

/** Limits of a connection pool. */
struct http_pool_config {
	/** Maximum number of idle connections for each peer. */
	uint32_t max_idle_per_peer;
	/** Idle time after which a connection is not reused; below the server's keep-alive time. */
	uint32_t max_idle_ms;
	/** Timeout for establishing a TCP connection. */
	uint32_t connect_timeout_ms;
	/** Maximum size of a response body. */
	size_t max_body_bytes;
};

/** Creates a pool; cfg is copied. Returns NULL if out of memory. */
struct http_pool *http_pool_create(const struct http_pool_config *cfg);

/** Closes the idle connections and frees the pool; no exchange may be in progress. */
void http_pool_destroy(struct http_pool *pool);

/**
 * Called each time another silence_ms have passed and the response's headers are not complete.
 * Returns true to continue waiting on this connection, false to close it.
 */
typedef bool (*http_silence_cb)(void *arg);

/** How long to wait for a response. */
struct http_wait {
	/** Timeout for the response's headers. */
	uint32_t timeout_ms;
	/** Interval between two calls of on_silence; 0 disables the check. */
	uint32_t silence_ms;
	/** NULL: the connection is closed after the first interval of silence_ms. */
	http_silence_cb on_silence;
	/** Passed to on_silence. */
	void *arg;
};

/**
 * Like http_pool_exchange(), with a check of connections on which no response arrives. Returns
 * -EREMOTEIO if on_silence returned false or is NULL when silence_ms have passed.
 */
int http_pool_exchange_wait(struct http_pool *pool, const char *peer,
			    const struct http_request *req, const struct http_wait *wait,
			    struct http_response *resp, struct br_error *err);

/**
 * Sends req to peer ("ip:port"), waits up to timeout_ms for the response's headers and reads the
 * body.
 *
 * Returns 0, or a negative error number with err filled. After an error at BR_STEP_CONNECT or
 * BR_STEP_VALIDATE nothing was sent; after BR_STEP_SEND or BR_STEP_RECEIVE the peer may have
 * received the request. -ETIMEDOUT: no response in time. -ECONNRESET: the connection ended, or what
 * arrived is not the head of a response. -EBADMSG: the response is truncated, its body is invalid
 * or its length is unknown. -EMSGSIZE: it is too large. A connection is reused only after a
 * complete response that nothing followed.
 */
int http_pool_exchange(struct http_pool *pool, const char *peer, const struct http_request *req,
		       uint32_t timeout_ms, struct http_response *resp, struct br_error *err);

/** Appends a header without copying it; returns false if there are HTTP_MAX_HEADERS already. */
bool http_request_add(struct http_request *req, const char *name, const char *value);

/** Value of the first response header of that name, compared without case; NULL if absent. */
const char *http_response_header(const struct http_response *resp, const char *name);

/** Frees the headers and the body, and zeroes resp. */
void http_response_free(struct http_response *resp);

#endif
