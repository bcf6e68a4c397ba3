#include "net/http_conn.h"

#include "common/clock.h"
#include "net/timer.h"

#include <errno.h>
#include <http_parser.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define LISTEN_BACKLOG 1024
#define READ_BYTES 65536
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
	http_parser parser;
	const struct http_conn_ops *ops;
	struct http_limits limits;
	void *owner;
	struct http_msg *msg;
	uint64_t begun_us, received_us, sent_us;
	size_t unsent;
	/** HTTP status for an invalid message, set by the parser's callbacks; 0 for none. */
	uint16_t bad_status;
	bool value_open, server, closing, finishing, headers_done, no_body;
	/** An invalid message was received; what follows is discarded. */
	bool invalid;
	/** The peer has closed its direction. */
	bool ended;
	/** Length of the body being received, as announced; UINT64_MAX if it is unknown. */
	uint64_t announced_bytes;
	/** Clients only: a request has been sent, and no answer was received since. */
	bool awaits_answer;
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

static char read_buffer[READ_BYTES];

static int on_begin(http_parser *p)
{
	struct http_conn *c = p->data;

	http_msg_destroy(c->msg);
	c->msg = http_msg_create();
	c->msg->charge = (struct http_charge){.budget = c->limits.budget, .is_request = c->server};
	c->value_open = false;
	c->headers_done = false;
	c->announced_bytes = UINT64_MAX;
	c->begun_us = clock_now_us();
	if (c->ops->begin)
		c->ops->begin(c);
	return c->closing ? -1 : 0;
}

static int set_error(struct http_conn *c, uint16_t status)
{
	c->bad_status = status;
	return -1;
}

/* Counts received bytes. Those of answers are read only as far as there is room for them. */
static int charge(struct http_conn *c, size_t bytes)
{
	if (c->server && c->limits.budget && !http_budget_takes_request(c->limits.budget, bytes))
		return set_error(c, 503);
	http_charge_add(&c->msg->charge, bytes);
	return 0;
}

static int append_text(struct http_conn *c, const char *at, size_t len)
{
	struct buf *text = &c->msg->text;

	if (text->len + len + 1 > c->limits.header_bytes)
		return set_error(c, 431);
	if (charge(c, len))
		return -1;
	buf_append(text, at, len);
	return 0;
}

static int on_url(http_parser *p, const char *at, size_t len)
{
	return append_text(p->data, at, len);
}

static int on_field(http_parser *p, const char *at, size_t len)
{
	struct http_conn *c = p->data;
	struct http_msg *m = c->msg;

	if (c->headers_done)
		return 0;
	if (memchr(at, ' ', len))
		return set_error(c, 400);
	if (c->value_open || m->n_fields == 0) {
		/* Terminates the previous value, or the request target. */
		buf_append(&m->text, "", 1);
		if (m->n_fields == m->cap_fields) {
			m->cap_fields = m->cap_fields ? 2 * m->cap_fields : 8;
			m->fields = realloc(m->fields, m->cap_fields * sizeof(*m->fields));
			if (!m->fields)
				abort();
		}
		m->fields[m->n_fields++] = (struct http_field){.name = (uint32_t)m->text.len};
		c->value_open = false;
	}
	return append_text(c, at, len);
}

static int on_value(http_parser *p, const char *at, size_t len)
{
	struct http_conn *c = p->data;
	struct http_msg *m = c->msg;

	if (c->headers_done)
		return 0;
	if (!c->value_open) {
		buf_append(&m->text, "", 1);
		m->fields[m->n_fields - 1].value = (uint32_t)m->text.len;
		c->value_open = true;
	}
	return append_text(c, at, len);
}

/* Bytes of the message being received that may still arrive; one more shows that it is too long. */
static uint64_t missing_bytes(const struct http_conn *c)
{
	uint64_t body_bytes = c->limits.body_bytes;

	if (!c->headers_done)
		return c->limits.header_bytes - c->msg->text.len;
	if (c->announced_bytes <= body_bytes)
		return c->announced_bytes - c->msg->body.len;
	return body_bytes + 1 - c->msg->body.len;
}

/* Two nodes whose memory is full of answers for each other would both wait for the other one. */
static bool waits_for_nodes(const struct http_conn *c)
{
	size_t max_bytes = c->limits.unsent_to_nodes_max_bytes;

	return max_bytes && c->limits.budget->unsent_to_nodes_bytes > max_bytes;
}

static bool length_is_known(const struct http_conn *c)
{
	return c->headers_done && c->announced_bytes != UINT64_MAX;
}

static void hold_room(struct http_conn *c, uint64_t bytes)
{
	http_charge_reserve(&c->msg->charge, bytes);
	if (length_is_known(c))
		buf_reserve(&c->msg->body, bytes);
}

static bool can_reserve(const struct http_conn *c, uint64_t bytes)
{
	const struct http_budget *b = c->limits.budget;

	return !b || (!waits_for_nodes(c) && http_budget_can_reserve(b, bytes));
}

/* Reserves room for the rest of an answer, the kept room if nothing else is left. */
static bool reserve_rest(struct http_conn *c)
{
	struct http_budget *b = c->limits.budget;
	uint64_t bytes = missing_bytes(c);

	if (!can_reserve(c, bytes)) {
		if ((b->kept_for && b->kept_for != c) || waits_for_nodes(c) ||
		    !http_budget_can_keep(b, bytes))
			return false;
		b->kept_for = c;
	}
	hold_room(c, bytes);
	return true;
}

static void release_kept_room(struct http_conn *c)
{
	if (c->limits.budget && c->limits.budget->kept_for == c)
		c->limits.budget->kept_for = NULL;
}

static bool has_no_body(uint16_t status)
{
	return status < 200 || status == 204 || status == 304;
}

/* Reserves room for an announced body. Without it the body waits at the server. */
static int announce_body(struct http_conn *c, const http_parser *p)
{
	if (has_no_body(c->msg->status) || (p->flags & F_CHUNKED) ||
	    p->content_length == UINT64_MAX)
		return 0;
	if (p->content_length > c->limits.body_bytes)
		return set_error(c, 413);
	c->announced_bytes = p->content_length;
	if (c->announced_bytes && can_reserve(c, c->announced_bytes))
		hold_room(c, c->announced_bytes);
	return 0;
}

static int on_headers(http_parser *p)
{
	struct http_conn *c = p->data;
	const char *expect;

	buf_append(&c->msg->text, "", 1);
	c->headers_done = true;
	c->msg->method = (uint8_t)p->method;
	c->msg->status = (uint16_t)p->status_code;
	if (!c->server) {
		/* A nonzero result makes the parser skip the body. */
		c->msg->no_body = c->no_body && p->status_code >= 200;
		return c->msg->no_body ? 1 : announce_body(c, p);
	}
	if (p->upgrade || p->http_major != 1)
		return set_error(c, 400);
	if (!(p->flags & F_CHUNKED) && p->content_length != UINT64_MAX &&
	    p->content_length > c->limits.body_bytes)
		return set_error(c, 413);
	expect = http_msg_find_field(c->msg, "expect");
	if (expect && !strcasecmp(expect, "100-continue")) {
		struct buf b = {0};

		buf_append_text(&b, "HTTP/1.1 100 Continue\r\n\r\n");
		http_conn_send(c, &b);
	}
	return 0;
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	struct http_conn *c = p->data;

	if (c->msg->body.len + len > c->limits.body_bytes)
		return set_error(c, 413);
	if (charge(c, len))
		return -1;
	buf_append(&c->msg->body, at, len);
	return 0;
}

static int on_complete(http_parser *p)
{
	struct http_conn *c = p->data;
	struct http_msg *m = c->msg;

	m->keep_alive = http_should_keep_alive(p) != 0;
	c->msg = NULL;
	c->begun_us = 0;
	c->awaits_answer = false;
	http_charge_trim(&m->charge);
	release_kept_room(c);
	c->ops->message(c, m);
	return c->closing || c->finishing ? -1 : 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static void stop_waiting(struct http_conn *c)
{
	if (!c->waiting)
		return;
	c->waiting = false;
	TAILQ_REMOVE(&c->limits.budget->waiting, c, waiting_link);
}

static void on_closed(uv_handle_t *handle)
{
	struct http_conn *c = handle->data;

	http_msg_destroy(c->msg);
	free(c);
}

void http_conn_close(struct http_conn *c)
{
	if (c->closing)
		return;
	c->closing = true;
	stop_waiting(c);
	release_kept_room(c);
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
	c->begun_us = 0;
	http_msg_destroy(c->msg);
	c->msg = NULL;
	c->ops->invalid(c, status);
}

/* Number of bytes that may be read now without more being held than the budget allows. */
static size_t readable_bytes(const struct http_conn *c)
{
	const struct http_budget *b = c->limits.budget;
	size_t bytes = 0;

	if (c->server || c->finishing || !b)
		return READ_BYTES;
	/* Nothing but the end of the connection is expected. */
	if (!c->msg && !c->awaits_answer)
		return HTTP_BUDGET_READ_MIN_BYTES;
	if (c->msg)
		bytes = http_charge_reserved(&c->msg->charge);
	/* A body that has got no room stays at its server. */
	if (!bytes && c->msg && length_is_known(c))
		return 0;
	if (!waits_for_nodes(c))
		bytes += http_budget_free_bytes(b);
	return bytes < READ_BYTES ? bytes : READ_BYTES;
}

/* An empty buffer makes libuv report ENOBUFS and leave the bytes in the socket. */
static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *out)
{
	(void)suggested;
	*out = uv_buf_init(read_buffer, (unsigned int)readable_bytes(handle->data));
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
	size_t used;

	if (c->closing || n == 0)
		return;
	if (n == UV_ENOBUFS) {
		wait_for_room(c);
		return;
	}
	if (n == UV_EOF)
		n = end_of_stream(c);
	if (n < 0) {
		/* A message without a length ends with the connection. */
		if (n == UV_EOF && !c->server && c->msg)
			http_parser_execute(&c->parser, &parser_settings, NULL, 0);
		uv_read_stop(stream);
		report_closed(c, n == UV_EOF ? 0 : (int)n);
		return;
	}
	c->received_us = clock_now_us();
	if (c->finishing || c->invalid) {
		discard(c, (size_t)n);
		return;
	}
	used = http_parser_execute(&c->parser, &parser_settings, in->base, (size_t)n);
	if (c->closing || c->finishing)
		return;
	if (c->bad_status || HTTP_PARSER_ERRNO(&c->parser) != HPE_OK || used != (size_t)n)
		report_invalid(c, c->bad_status ? c->bad_status : 400);
}

/* Tests whether a waiting connection can be read on, and reserves the room for it. */
static bool find_room(struct http_conn *c)
{
	if (c->msg)
		return reserve_rest(c);
	return readable_bytes(c) > 0;
}

/* Reads the answers on that wait at their servers, as far as there is room again. */
static void resume_waiting(struct http_budget *b)
{
	struct http_conn *c, *next;

	for (c = TAILQ_FIRST(&b->waiting); c; c = next) {
		int rc;

		next = TAILQ_NEXT(c, waiting_link);
		if (!find_room(c))
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
	struct http_budget *b = c->limits.budget;

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

static struct http_conn *create(uv_loop_t *loop, const struct http_conn_ops *ops,
				const struct http_limits *limits, void *owner)
{
	struct http_conn *c = xcalloc(1, sizeof(*c));

	uv_tcp_init(loop, &c->tcp);
	c->tcp.data = c;
	c->ops = ops;
	c->limits = *limits;
	c->owner = owner;
	c->received_us = clock_now_us();
	c->parser.data = c;
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
	struct http_conn *c = create(server->loop, ops, limits, owner);

	c->server = true;
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
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
	struct http_conn *c = create(loop, ops, limits, owner);

	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	c->connect.data = c;
	if (uv_tcp_connect(&c->connect, &c->tcp, (const struct sockaddr *)addr, on_connect)) {
		http_conn_close(c);
		return NULL;
	}
	set_options(c);
	return c;
}

void http_conn_expect_no_body(struct http_conn *c, bool no_body)
{
	c->no_body = no_body;
}

void *http_conn_owner(const struct http_conn *c)
{
	return c->owner;
}

static void add_unsent(struct http_conn *c, size_t bytes)
{
	struct http_budget *b = c->limits.budget;

	c->unsent += bytes;
	if (!b)
		return;
	b->unsent_bytes += bytes;
	if (c->limits.peer_is_node)
		b->unsent_to_nodes_bytes += bytes;
}

static void remove_unsent(struct http_conn *c, size_t bytes)
{
	struct http_budget *b = c->limits.budget;

	c->unsent -= bytes;
	if (!b)
		return;
	b->unsent_bytes -= bytes;
	if (c->limits.peer_is_node)
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
	c->awaits_answer = !c->server;
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
	return c->begun_us;
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
