/**
 * @file http.h
 * Blocking HTTP/1.1 for the stand-ins of the mesh: one thread a connection, so that each test can
 * decide byte by byte what goes over it.
 */
#ifndef STANDINS_MESH_HTTP_H
#define STANDINS_MESH_HTTP_H

#include <stdbool.h>
#include <stddef.h>

#define HTTP_HEAD_BYTES 8192
#define HTTP_BODY_BYTES 262144

/** One request; the texts end with a terminator. */
struct http_in {
	char method[16];
	char target[512];
	char head[HTTP_HEAD_BYTES];
	char body[HTTP_BODY_BYTES];
	size_t body_len;
};

/** Handles one request on a connection; false closes it. */
typedef bool (*http_handler)(int fd, const struct http_in *in);

/** Starts a thread that accepts connections at "ip:port". Exits the process if it cannot. */
void http_serve(const char *addr, http_handler handler);

/** Value of a header field copied to out; false if it is absent. */
bool http_in_field(const struct http_in *in, const char *name, char *out, size_t out_bytes);

/** Value of a query parameter copied to out; empty if it is absent. */
void http_in_query(const struct http_in *in, const char *name, char *out, size_t out_bytes);

/** Sends a whole answer; fields is empty or lines that each end with CR LF. */
bool http_answer(int fd, int status, const char *fields, const char *body);

/** Sends bytes as they are. */
bool http_send(int fd, const char *bytes, size_t len);

/** Closes a connection with a reset instead of an orderly end. */
void http_reset(int fd);

/** Sends a request to "ip:port" and returns the answer's status, or 0 without one. */
int http_call_once(const char *addr, const char *method, const char *target, const char *body);

#endif
