#include "net/http_conn.h"

#include "common/clock.h"
#include "net/timer.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

#define LISTEN_BACKLOG 1024
/* Longer bytes are queued in pieces, whose memory is free as soon as the peer has read them. */
#define PIECE_BYTES (256UL * 1024)
/*
 * Set on client connections only, since a server may become unreachable without a reset. The kernel
 * closes a connection whose sent bytes stay unacknowledged for USER_TIMEOUT_MS; keep-alive probes
 * detect an unreachable server while an answer is pending.
 */
#define USER_TIMEOUT_MS 2500
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_PROBES 2
/* How long, and for how many bytes, a finished connection reads what its peer still sends. */
#define LINGER_MS 2000
#define LINGER_MAX_BYTES (16UL << 20)

struct http_conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_shutdown_t shutdown;
	/** Set while the connection reads on after its last byte was sent. */
	struct timer *linger;
	size_t discarded_bytes;
	struct http_receiver receiver;
	const struct http_conn_ops *ops;
	void *owner;
	uint64_t received_us, sent_us;
	size_t unsent;
	bool server, closing, finishing;
	/** An invalid message was received; what follows is discarded. */
	bool invalid;
	/** The peer has closed its direction. */
	bool ended;
	/** In the budget's list of connections that wait for room. */
	bool waiting;
	TAILQ_ENTRY(http_conn) waiting_link;
};

struct write_op {
	uv_write_t req;
	struct http_conn *conn;
	struct buf bytes;
	size_t remaining;
};

static char read_buffer[HTTP_READ_BYTES];

static void stop_waiting(struct http_conn *c)
{
	if (!c->waiting)
		return;
	c->waiting = false;
	TAILQ_REMOVE(&c->receiver.limits.budget->waiting, c, waiting_link);
}

static void on_closed(uv_handle_t *handle)
{
	struct http_conn *c = handle->data;

	free(c);
}

void http_conn_close(struct http_conn *c)
{
	if (c->closing)
		return;
	c->closing = true;
	stop_waiting(c);
	http_receiver_release(&c->receiver);
	timer_cancel(&c->linger);
	uv_close((uv_handle_t *)&c->tcp, on_closed);
}

static void on_linger_over(void *arg)
{
	struct http_conn *c = arg;

	c->linger = NULL;
	http_conn_close(c);
}

/* All bytes of a finishing connection are with the kernel: waits for the peer to close. */
static void end_sending(struct http_conn *c)
{
	if (!c->server || c->ended || uv_shutdown(&c->shutdown, (uv_stream_t *)&c->tcp, NULL)) {
		http_conn_close(c);
		return;
	}
	c->linger = timer_start(c->tcp.loop, LINGER_MS, on_linger_over, c);
}

static void report_closed(struct http_conn *c, int err)
{
	if (c->closing)
		return;
	c->ended = true;
	if (c->finishing) {
		/* The owner has released the connection; it is open only to send queued bytes. */
		if (!c->unsent)
			http_conn_close(c);
		return;
	}
	c->ops->closed(c, err);
	http_conn_close(c);
}

/* Discards bytes that follow an invalid message or the last answer. */
static void discard(struct http_conn *c, size_t bytes)
{
	c->discarded_bytes += bytes;
	if (c->discarded_bytes <= LINGER_MAX_BYTES)
		return;
	uv_read_stop((uv_stream_t *)&c->tcp);
	if (c->linger)
		http_conn_close(c);
}

static void report_invalid(struct http_conn *c, uint16_t status)
{
	if (!c->server || !c->ops->invalid) {
		report_closed(c, -EPROTO);
		return;
	}
	c->invalid = true;
	http_receiver_release(&c->receiver);
	c->ops->invalid(c, status);
}

/* An empty buffer makes libuv report ENOBUFS and leave the bytes in the socket. */
static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *out)
{
	const struct http_conn *c = handle->data;
	size_t bytes = c->finishing ? HTTP_READ_BYTES : http_receiver_readable(&c->receiver);

	(void)suggested;
	*out = uv_buf_init(read_buffer, (unsigned int)bytes);
}

/*
 * libuv also reports the end of the stream for a reset that arrives right after the last bytes. A
 * message without a length is complete only after an orderly close by the peer.
 */
static ssize_t end_of_stream(struct http_conn *c)
{
	uv_os_fd_t fd;
	char byte;

	if (uv_fileno((const uv_handle_t *)&c->tcp, &fd))
		return UV_EOF;
	if (recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno != EAGAIN)
		return -errno;
	return UV_EOF;
}

static void wait_for_room(struct http_conn *c);

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *in)
{
	struct http_conn *c = stream->data;
	uint16_t status;

	if (c->closing || n == 0)
		return;
	if (n == UV_ENOBUFS) {
		wait_for_room(c);
		return;
	}
	if (n == UV_EOF)
		n = end_of_stream(c);
	if (n < 0) {
		if (n == UV_EOF)
			http_receiver_end(&c->receiver);
		uv_read_stop(stream);
		report_closed(c, n == UV_EOF ? 0 : (int)n);
		return;
	}
	c->received_us = clock_now_us();
	if (c->finishing || c->invalid) {
		discard(c, (size_t)n);
		return;
	}
	status = http_receiver_add(&c->receiver, in->base, (size_t)n);
	if (status && !c->closing && !c->finishing)
		report_invalid(c, status);
}

/* Reads the answers on that wait at their servers, as far as there is room again. */
static void resume_waiting(struct http_budget *b)
{
	struct http_conn *c, *next;

	for (c = TAILQ_FIRST(&b->waiting); c; c = next) {
		int rc;

		next = TAILQ_NEXT(c, waiting_link);
		if (!http_receiver_find_room(&c->receiver))
			continue;
		stop_waiting(c);
		rc = uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
		if (!rc)
			continue;
		/* Its owner may close others; they have their turn at the next call. */
		report_closed(c, rc);
		return;
	}
}

static void on_before_poll(uv_prepare_t *handle)
{
	struct http_budget *b = handle->data;

	resume_waiting(b);
	if (TAILQ_EMPTY(&b->waiting))
		uv_prepare_stop(handle);
}

/* Leaves what follows with the server until there is room. */
static void wait_for_room(struct http_conn *c)
{
	struct http_budget *b = c->receiver.limits.budget;

	uv_read_stop((uv_stream_t *)&c->tcp);
	if (!b->before_poll) {
		TAILQ_INIT(&b->waiting);
		b->before_poll = xcalloc(1, sizeof(*b->before_poll));
		b->before_poll->data = b;
		uv_prepare_init(c->tcp.loop, b->before_poll);
	}
	c->waiting = true;
	TAILQ_INSERT_TAIL(&b->waiting, c, waiting_link);
	uv_prepare_start(b->before_poll, on_before_poll);
}

static bool on_begin(void *ctx)
{
	struct http_conn *c = ctx;

	if (c->ops->begin)
		c->ops->begin(c);
	return !c->closing;
}

static void on_expects_continue(void *ctx)
{
	struct buf b = {0};

	buf_append_text(&b, "HTTP/1.1 100 Continue\r\n\r\n");
	http_conn_send(ctx, &b);
}

static bool on_message(void *ctx, struct http_msg *m)
{
	struct http_conn *c = ctx;

	c->ops->message(c, m);
	return !c->closing && !c->finishing;
}

static const struct http_receiver_ops receiver_ops = {
	.begin = on_begin,
	.expects_continue = on_expects_continue,
	.message = on_message,
};

static struct http_conn *create(uv_loop_t *loop, bool server, const struct http_conn_ops *ops,
				const struct http_limits *limits, void *owner)
{
	struct http_conn *c = xcalloc(1, sizeof(*c));

	c->server = server;
	http_receiver_init(&c->receiver, server, limits, &receiver_ops, c);
	uv_tcp_init(loop, &c->tcp);
	c->tcp.data = c;
	c->ops = ops;
	c->owner = owner;
	c->received_us = clock_now_us();
	return c;
}

static void set_options(struct http_conn *c)
{
	unsigned int user_timeout_ms = USER_TIMEOUT_MS;
	int probes = KEEPALIVE_PROBES, interval_s = KEEPALIVE_IDLE_S;
	uv_os_fd_t fd;

	uv_tcp_nodelay(&c->tcp, 1);
	if (c->server || uv_fileno((const uv_handle_t *)&c->tcp, &fd))
		return;
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof(user_timeout_ms));
	uv_tcp_keepalive(&c->tcp, 1, KEEPALIVE_IDLE_S);
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

struct http_conn *http_conn_accept(uv_stream_t *server, const struct http_conn_ops *ops,
				   const struct http_limits *limits, void *owner)
{
	struct http_conn *c = create(server->loop, true, ops, limits, owner);

	if (uv_accept(server, (uv_stream_t *)&c->tcp) ||
	    uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read)) {
		http_conn_close(c);
		return NULL;
	}
	set_options(c);
	return c;
}

static void on_connect(uv_connect_t *req, int status)
{
	struct http_conn *c = req->data;

	if (c->closing)
		return;
	if (!status)
		status = uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
	if (status) {
		report_closed(c, status);
		return;
	}
	c->ops->connected(c);
}

struct http_conn *http_conn_connect(uv_loop_t *loop, const struct sockaddr_in *addr,
				    const struct http_conn_ops *ops,
				    const struct http_limits *limits, void *owner)
{
	struct http_conn *c = create(loop, false, ops, limits, owner);

	c->connect.data = c;
	if (uv_tcp_connect(&c->connect, &c->tcp, (const struct sockaddr *)addr, on_connect)) {
		http_conn_close(c);
		return NULL;
	}
	set_options(c);
	return c;
}

void http_conn_set_sizes(struct http_conn *c, uint32_t header_bytes, uint64_t body_bytes)
{
	http_receiver_set_sizes(&c->receiver, header_bytes, body_bytes);
}

void http_conn_expect_no_body(struct http_conn *c, bool no_body)
{
	c->receiver.no_body = no_body;
}

void *http_conn_owner(const struct http_conn *c)
{
	return c->owner;
}

static void add_unsent(struct http_conn *c, size_t bytes)
{
	struct http_budget *b = c->receiver.limits.budget;

	c->unsent += bytes;
	if (!b)
		return;
	b->unsent_bytes += bytes;
	if (c->receiver.limits.peer_is_node)
		b->unsent_to_nodes_bytes += bytes;
}

static void remove_unsent(struct http_conn *c, size_t bytes)
{
	struct http_budget *b = c->receiver.limits.budget;

	c->unsent -= bytes;
	if (!b)
		return;
	b->unsent_bytes -= bytes;
	if (c->receiver.limits.peer_is_node)
		b->unsent_to_nodes_bytes -= bytes;
}

static void on_written(uv_write_t *req, int status)
{
	struct write_op *w = req->data;
	struct http_conn *c = w->conn;

	remove_unsent(c, w->remaining);
	buf_free(&w->bytes);
	free(w);
	if (c->closing)
		return;
	if (status) {
		report_closed(c, status);
		return;
	}
	c->sent_us = clock_now_us();
	if (c->finishing && !c->unsent)
		end_sending(c);
}

/* Queues bytes, whose memory it takes over; the first sent of them are with the kernel already. */
static void queue_bytes(struct http_conn *c, struct buf *bytes, size_t sent)
{
	struct write_op *w = xcalloc(1, sizeof(*w));
	uv_buf_t chunk;

	w->conn = c;
	w->bytes = *bytes;
	w->remaining = bytes->len - sent;
	w->req.data = w;
	*bytes = (struct buf){0};
	add_unsent(c, w->remaining);
	chunk = uv_buf_init(w->bytes.data + sent, (unsigned int)w->remaining);
	if (uv_write(&w->req, (uv_stream_t *)&c->tcp, &chunk, 1, on_written)) {
		remove_unsent(c, w->remaining);
		buf_free(&w->bytes);
		free(w);
	}
}

static void queue_in_pieces(struct http_conn *c, struct buf *bytes, size_t sent)
{
	while (sent < bytes->len) {
		size_t left = bytes->len - sent;
		size_t len = left < PIECE_BYTES ? left : PIECE_BYTES;
		struct buf piece = {0};

		buf_append(&piece, bytes->data + sent, len);
		queue_bytes(c, &piece, 0);
		sent += len;
	}
	buf_free(bytes);
}

void http_conn_send(struct http_conn *c, struct buf *bytes)
{
	uv_buf_t chunk = uv_buf_init(bytes->data, (unsigned int)bytes->len);
	int sent = 0;

	if (c->closing || !bytes->len) {
		buf_free(bytes);
		return;
	}
	c->receiver.awaits_answer = !c->server;
	if (!c->unsent)
		sent = uv_try_write((uv_stream_t *)&c->tcp, &chunk, 1);
	if (sent < 0)
		sent = 0;
	else if (sent > 0)
		c->sent_us = clock_now_us();
	if ((size_t)sent == bytes->len)
		buf_free(bytes);
	else if (bytes->len - (size_t)sent > PIECE_BYTES)
		queue_in_pieces(c, bytes, (size_t)sent);
	else
		queue_bytes(c, bytes, (size_t)sent);
}

size_t http_conn_unsent(const struct http_conn *c)
{
	return c->unsent;
}

uint64_t http_conn_msg_begun_us(const struct http_conn *c)
{
	return c->receiver.begun_us;
}

uint64_t http_conn_received_us(const struct http_conn *c)
{
	return c->received_us;
}

uint64_t http_conn_active_us(const struct http_conn *c)
{
	return c->sent_us > c->received_us ? c->sent_us : c->received_us;
}

void http_conn_finish(struct http_conn *c)
{
	if (c->closing || c->finishing)
		return;
	c->finishing = true;
	if (!c->unsent)
		end_sending(c);
}

int http_listen(uv_loop_t *loop, uv_tcp_t *server, const struct sockaddr_in *addr,
		uv_connection_cb cb, void *data)
{
	int rc = uv_tcp_init(loop, server);

	server->data = data;
	if (!rc)
		rc = uv_tcp_bind(server, (const struct sockaddr *)addr, 0);
	if (!rc)
		rc = uv_listen((uv_stream_t *)server, LISTEN_BACKLOG, cb);
	return rc;
}
