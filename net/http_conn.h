/**
 * @file http_conn.h
 * One TCP connection that carries HTTP/1.1 messages, as a server or as a client.
 *
 * Callbacks of a connection are never made after http_conn_close().
 */
#ifndef NET_HTTP_CONN_H
#define NET_HTTP_CONN_H

#include "net/http_receive.h"

#include <netinet/in.h>
#include <uv.h>

struct http_conn;

/** A shorter body is copied behind its head, so that one call sends both. */
#define HTTP_LONG_BODY_BYTES 65536

struct http_conn_ops {
	/** A whole message has arrived; the callee owns it. */
	void (*message)(struct http_conn *c, struct http_msg *m);
	/** The first byte of a message has arrived; may be NULL. */
	void (*begin)(struct http_conn *c);
	/** Clients only: the connection is established. */
	void (*connected)(struct http_conn *c);
	/**
	 * Servers only; may be NULL, then closed is called. The received bytes are not a valid
	 * message, or there is no room for it; nothing further is read. The callee sends an answer
	 * with the status and finishes the connection, at once or after earlier answers.
	 */
	void (*invalid)(struct http_conn *c, uint16_t status);
	/**
	 * The peer closed the connection, the connection failed, or the received bytes are not a
	 * valid message; the connection is closed after this call. err is 0 if the peer closed the
	 * connection in order, else a negative error number.
	 */
	void (*closed)(struct http_conn *c, int err);
};

/** Accepts a connection of a listening socket. Returns NULL if that fails. */
struct http_conn *http_conn_accept(uv_stream_t *server, const struct http_conn_ops *ops,
				   const struct http_limits *limits, void *owner);

/** Starts connecting. Returns NULL if no socket can be opened. */
struct http_conn *http_conn_connect(uv_loop_t *loop, const struct sockaddr_in *addr,
				    const struct http_conn_ops *ops,
				    const struct http_limits *limits, void *owner);

void *http_conn_owner(const struct http_conn *c);

/** Sets the maximum sizes of messages, see http_receiver_set_sizes(). */
void http_conn_set_sizes(struct http_conn *c, uint32_t header_bytes, uint64_t body_bytes);

/** Clients only: sets whether the next answer is one to HEAD, which has no body. */
void http_conn_expect_no_body(struct http_conn *c, bool no_body);

/** Sends or queues bytes; takes over their memory and leaves an empty buffer. */
void http_conn_send(struct http_conn *c, struct buf *bytes);

/**
 * Number of queued bytes that the kernel has not accepted yet. They accumulate when the peer does
 * not read.
 */
size_t http_conn_unsent(const struct http_conn *c);

/** Arrival time of the first byte of the message being received, or 0 between messages. */
uint64_t http_conn_msg_begun_us(const struct http_conn *c);

/** Last time at which bytes were received, or the connection was opened. */
uint64_t http_conn_received_us(const struct http_conn *c);

/** Last time at which bytes were received or the kernel accepted queued bytes. */
uint64_t http_conn_active_us(const struct http_conn *c);

/** Closes at once; only bytes that the kernel has already accepted are still sent. */
void http_conn_close(struct http_conn *c);

/**
 * Closes once all queued bytes are sent. Bytes that are received until then are discarded, on a
 * server also those that follow, for a while or until the peer closes: the kernel resets a
 * connection that is closed with unread bytes, and the peer may lose the last answer by that.
 */
void http_conn_finish(struct http_conn *c);

/**
 * Opens a listening socket; cb is called for each new connection and data is stored in
 * server->data. Returns 0 or a negative error number.
 */
int http_listen(uv_loop_t *loop, uv_tcp_t *server, const struct sockaddr_in *addr,
		uv_connection_cb cb, void *data);

#endif
