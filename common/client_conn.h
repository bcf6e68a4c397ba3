/**
 * @file client_conn.h
 * Blocking connection to an HTTP server, used by one thread at a time. Answers are read and checked
 * by net/http_receive.h, like those of the event loop's connections.
 */
#ifndef COMMON_CLIENT_CONN_H
#define COMMON_CLIENT_CONN_H

#include "net/answer_grammar.h"
#include "net/http_msg.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct client_conn;

/** Maximum sizes of an answer. */
struct client_conn_limits {
	uint32_t header_bytes;
	uint64_t body_bytes;
};

/**
 * Connects to "ip:port". Returns 0, or a negative error number: -EINVAL if the address is not one,
 * -ETIMEDOUT if the connection is not established in time, else the error of the system.
 */
int client_conn_open(const char *address, uint32_t timeout_ms,
		     const struct client_conn_limits *limits, struct client_conn **out);

/** Closes the connection; NULL is allowed. */
void client_conn_close(struct client_conn *c);

/** Tests whether the server has neither closed an idle connection nor sent bytes on it. */
bool client_conn_is_idle(const struct client_conn *c);

/**
 * Sends all bytes of a request; to_head: it is one with the method HEAD. Returns 0 or a negative
 * error number, after which the connection must be closed.
 */
int client_conn_send(struct client_conn *c, const char *bytes, size_t len, bool to_head);

/**
 * Receives until the head of the answer is complete, at most until a time. Interim answers are
 * passed over. Returns 0, or a negative error number: -ETIMEDOUT if the time has come, after which
 * it may be called again; -EMSGSIZE if the head or the announced body is too long; -ECONNRESET if
 * the connection has ended before that or what was received is no answer; -EBADMSG if the body that
 * came with the head is none.
 */
int client_conn_receive_head(struct client_conn *c, uint64_t until_us);

/** How the body ends; known once the head is complete. */
enum answer_framing client_conn_framing(const struct client_conn *c);

/**
 * Receives the rest of the answer, which the caller owns. Returns 0, or a negative error number:
 * -EMSGSIZE if it is too long, -EBADMSG if it is truncated, no valid answer, or does not go on.
 */
int client_conn_receive_rest(struct client_conn *c, struct http_msg **out);

#endif
