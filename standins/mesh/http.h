/**
 * @file http.h
 * Blocking HTTP/1.1 server and client for the mesh stand-ins. Each connection has a thread of its
 * own, so that a handler controls every byte that is sent on it.
 */
#ifndef STANDINS_MESH_HTTP_H
#define STANDINS_MESH_HTTP_H

#include <stdbool.h>
#include <stddef.h>

#define HTTP_HEAD_BYTES 8192
#define HTTP_BODY_BYTES 262144

/** One received request; all texts are null-terminated. */
struct http_req {
	char method[16];
	/** Path and query. */
	char target[512];
	/** Request line and header fields. */
	char head[HTTP_HEAD_BYTES];
	char body[HTTP_BODY_BYTES];
	size_t body_len;
};

/** Handles one request that was received on fd; returns false to close the connection. */
typedef bool (*http_handler)(int fd, const struct http_req *req);

/** Listens on "ip:port" in a thread of its own. Exits the process if it cannot listen. */
void http_serve(const char *addr, http_handler handler);

/** Copies the value of a header field to out, truncated to fit; false if it is absent. */
bool http_req_field(const struct http_req *req, const char *name, char *out, size_t out_bytes);

/** Copies the undecoded value of a query parameter to out, truncated to fit; "" if absent. */
void http_req_query(const struct http_req *req, const char *name, char *out, size_t out_bytes);

/**
 * Sends a whole response. fields holds further header lines, each ended by CR LF, or is empty.
 * Returns false if sending fails.
 */
bool http_answer(int fd, int status, const char *fields, const char *body);

/** Sends len bytes unchanged; returns false if sending fails. */
bool http_send(int fd, const char *bytes, size_t len);

/** Makes the later close of fd reset the connection instead of ending it in an orderly way. */
void http_reset_on_close(int fd);

/**
 * Sends one request to "ip:port" on a connection of its own and returns the status of the response,
 * or 0 if there is none.
 */
int http_call_once(const char *addr, const char *method, const char *target, const char *body);

#endif
