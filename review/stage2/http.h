/**
 * @file http.h
 * Blocking HTTP/1.1 over loopback, one thread a connection.
 */
#ifndef HTTP_H
#define HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HEAD_BYTES 16384
#define BODY_BYTES 65536

struct http_head {
	char method[16], target[1024];
	char head[HEAD_BYTES];
	char body[BODY_BYTES];
	size_t body_len;
	int status;
};

/** Handles one request; the connection is closed unless it returns true. */
typedef bool (*http_handler)(int fd, int tag, const struct http_head *h);

/** Listens and serves in threads; false if the address cannot be bound. */
bool http_serve(const char *ip, uint16_t port, http_handler handler, int tag);
/** Reads one message; false at the end of the connection. */
bool http_read(int fd, struct http_head *h, bool is_answer);
/** Copies a field's value; false if it is absent. */
bool http_field(const struct http_head *h, const char *name, char *out, size_t bytes);
/** Copies a query parameter; "" if it is absent. */
void http_query(const struct http_head *h, const char *name, char *out, size_t bytes);
bool http_send(int fd, const char *bytes, size_t len);
bool http_answer(int fd, int status, const char *fields, const char *body);
/** Makes the later close a reset. */
void http_reset(int fd);
/** Connects within the time; -1 on failure. Reads and writes then time out after timeout_ms. */
int http_connect(const char *ip, uint16_t port, uint64_t timeout_ms);
/** Sends one request on a connection of its own; the status, or 0 without a complete answer. */
int http_call(const char *ip, uint16_t port, uint64_t timeout_ms, const char *request,
	      struct http_head *answer);

#endif
