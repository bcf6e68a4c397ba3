#include "mesh/caller.h"

#include "common/clock.h"
#include "mesh/event_log.h"
#include "mesh/request.h"

#include <stdlib.h>
#include <sys/queue.h>

/*
 * Maximum number of unanswered requests on one connection. If another request arrives, the
 * connection is closed after the answer to the last of them.
 */
#define PIPELINED_REQUESTS_MAX 128
/* Further requests on a connection with more unsent bytes are refused. */
#define UNSENT_MAX_BYTES (16UL * 1024 * 1024)

/** A request of a connection and its answer; queued in the order of arrival. */
struct exchange {
	struct caller_conn *conn;
	struct request *request;
	/** The answer; a long body has a buffer of its own, so that it is not copied. */
	struct buf answer, body;
	/** starting: in request_start(); close_after: the connection ends with this answer. */
	bool starting, answered, close_after;
	struct exchange *next;
};

struct caller_conn {
	struct caller_server *server;
	struct http_conn *conn;
	struct exchange *head, *tail;
	uint32_t n_exchanges;
	/** Bytes of answers that wait for the answer to an earlier request. */
	size_t held_back_bytes;
	/** No further requests are accepted. */
	bool closing;
	LIST_ENTRY(caller_conn) link;
};

struct caller_server {
	struct board *board;
	uv_tcp_t listener;
	LIST_HEAD(, caller_conn) callers;
};

/* Counts the bytes of an answer that waits for an earlier one as unsent. */
static void hold_back(struct exchange *ex)
{
	size_t bytes = ex->answer.len + ex->body.len;

	ex->conn->held_back_bytes += bytes;
	ex->conn->server->board->messages.unsent_bytes += bytes;
}

static void release(struct exchange *ex)
{
	size_t bytes = ex->answer.len + ex->body.len;

	ex->conn->held_back_bytes -= bytes;
	ex->conn->server->board->messages.unsent_bytes -= bytes;
}

static void free_conn(struct caller_conn *c)
{
	while (c->head) {
		struct exchange *ex = c->head;

		c->head = ex->next;
		release(ex);
		if (ex->request)
			request_cancel(ex->request);
		buf_free(&ex->answer);
		buf_free(&ex->body);
		free(ex);
	}
	LIST_REMOVE(c, link);
	free(c);
}

/*
 * Sends the answers at the head of the queue that are ready. Frees the connection if it ends with
 * one of them.
 */
static void send_ready_answers(struct caller_conn *c)
{
	while (c->head && c->head->answered) {
		struct exchange *ex = c->head;
		bool close_after = ex->close_after;

		c->head = ex->next;
		if (!c->head)
			c->tail = NULL;
		c->n_exchanges--;
		release(ex);
		http_conn_send(c->conn, &ex->answer);
		http_conn_send(c->conn, &ex->body);
		free(ex);
		if (!close_after)
			continue;
		http_conn_finish(c->conn);
		free_conn(c);
		return;
	}
}

static void write_answer(struct exchange *ex, struct request_answer *a)
{
	buf_printf(&ex->answer, "HTTP/1.1 %u %s\r\n", a->status, http_reason(a->status));
	buf_append(&ex->answer, a->fields.data, a->fields.len);
	buf_printf(&ex->answer, "%s\r\n", ex->close_after ? "Connection: close\r\n" : "");
	if (a->body.len < HTTP_LONG_BODY_BYTES) {
		buf_append(&ex->answer, a->body.data, a->body.len);
		return;
	}
	ex->body = a->body;
	a->body = (struct buf){0};
}

static void on_answer(void *ctx, struct request *r, struct request_answer *answer)
{
	struct exchange *ex = ctx;
	struct caller_conn *c = ex->conn;

	(void)r;
	ex->answered = true;
	if (c->server->board->stopping && ex == c->tail) {
		ex->close_after = true;
		c->closing = true;
	}
	write_answer(ex, answer);
	hold_back(ex);
	ex->request = NULL;
	/* on_message() still uses the connection and sends the answer itself. */
	if (!ex->starting)
		send_ready_answers(c);
}

static struct exchange *add_exchange(struct caller_conn *c)
{
	struct exchange *ex = xcalloc(1, sizeof(*ex));

	ex->conn = c;
	if (c->tail)
		c->tail->next = ex;
	else
		c->head = ex;
	c->tail = ex;
	c->n_exchanges++;
	return ex;
}

/* Bytes of answers that the caller has not read. */
static size_t unread_bytes(const struct caller_conn *c)
{
	return http_conn_unsent(c->conn) + c->held_back_bytes;
}

static void on_message(struct http_conn *conn, struct http_msg *m)
{
	struct caller_conn *c = http_conn_owner(conn);
	struct exchange *ex;

	if (!c->closing && c->n_exchanges >= PIPELINED_REQUESTS_MAX) {
		/* HTTP treats requests sent after the one answered with close as not processed. */
		c->tail->close_after = true;
		c->closing = true;
	}
	if (c->closing) {
		http_msg_destroy(m);
		return;
	}
	ex = add_exchange(c);
	if (!m->keep_alive) {
		ex->close_after = true;
		c->closing = true;
	}
	ex->starting = true;
	if (unread_bytes(c) > UNSENT_MAX_BYTES)
		request_refuse(c->server->board, m, on_answer, ex, &ex->request,
			       "the caller does not read its answers");
	else
		request_start(c->server->board, m, on_answer, ex, &ex->request);
	ex->starting = false;
	if (ex->answered)
		send_ready_answers(c);
}

static void answer_malformed(struct exchange *ex, uint16_t status)
{
	struct request_answer answer = {.status = status};

	EVENT(EVENT_WARNING, "caller", "malformed", EVENT_NUMBER("status", status));
	buf_append_text(&answer.fields, "Content-Length: 0\r\n");
	on_answer(ex, NULL, &answer);
	buf_free(&answer.fields);
}

/* Answers a message that could not be read, behind the answers to earlier requests. */
static void on_invalid(struct http_conn *conn, uint16_t status)
{
	struct caller_conn *c = http_conn_owner(conn);
	struct exchange *ex;

	if (c->closing)
		return;
	c->closing = true;
	ex = add_exchange(c);
	ex->close_after = true;
	ex->starting = true;
	if (status == 503)
		request_refuse(c->server->board, http_msg_create(), on_answer, ex, &ex->request,
			       "there is no room for it");
	else
		answer_malformed(ex, status);
	ex->starting = false;
	send_ready_answers(c);
}

static void on_closed(struct http_conn *conn, int err)
{
	(void)err;
	free_conn(http_conn_owner(conn));
}

static const struct http_conn_ops caller_ops = {
	.message = on_message,
	.invalid = on_invalid,
	.closed = on_closed,
};

/*
 * Limits of what callers send. A node that knows no configuration refuses each request as not run, so that
 * only its memory bounds what it reads of them: it can't know that one is too long.
 */
static struct http_limits caller_limits(struct board *b)
{
	return (struct http_limits){
		.header_bytes = b->config ? b->config->header_bytes : UINT32_MAX,
		.body_bytes = b->config ? b->config->body_bytes : UINT64_MAX,
		.budget = &b->messages,
	};
}

/* Kept connections follow the configuration as well. */
static void on_config(void *ctx)
{
	struct caller_server *s = ctx;
	struct http_limits limits = caller_limits(s->board);
	struct caller_conn *c;

	LIST_FOREACH(c, &s->callers, link)
	http_conn_set_sizes(c->conn, limits.header_bytes, limits.body_bytes);
}

static void on_accept(uv_stream_t *listener, int status)
{
	struct caller_server *s = listener->data;
	struct http_limits limits = caller_limits(s->board);
	struct caller_conn *c;

	if (status)
		return;
	c = xcalloc(1, sizeof(*c));
	c->server = s;
	c->conn = http_conn_accept(listener, &caller_ops, &limits, c);
	if (!c->conn) {
		free(c);
		return;
	}
	LIST_INSERT_HEAD(&s->callers, c, link);
}

struct caller_server *caller_server_create(struct board *board)
{
	struct caller_server *s = xcalloc(1, sizeof(*s));

	s->board = board;
	if (http_listen(board->loop, &s->listener, &board->settings->caller_addr, on_accept, s)) {
		free(s);
		return NULL;
	}
	board->on_config = on_config;
	board->on_config_ctx = s;
	return s;
}

void caller_server_destroy(struct caller_server *s)
{
	if (!s)
		return;
	s->board->on_config = NULL;
	uv_close((uv_handle_t *)&s->listener, NULL);
	for (struct caller_conn *next, *c = LIST_FIRST(&s->callers); c; c = next) {
		next = LIST_NEXT(c, link);
		http_conn_close(c->conn);
		free_conn(c);
	}
}

/*
 * Tests whether a connection without pending requests has received nothing for longer than the
 * header timeout (within a message), or has neither received nor sent anything for longer than the
 * idle timeout.
 */
static bool timed_out(const struct caller_conn *c, uint64_t now_us)
{
	const struct mesh_config *config = c->server->board->config;
	uint64_t begun_us = http_conn_msg_begun_us(c->conn);
	uint64_t header_ms, idle_ms;

	/* Without a configuration nobody knows how long callers may take. */
	if (c->head || !config)
		return false;
	header_ms = config->header_timeout_ms;
	idle_ms = config->idle_timeout_ms;
	if (begun_us && now_us - begun_us > header_ms * BR_US_PER_MS &&
	    now_us - http_conn_received_us(c->conn) > header_ms * BR_US_PER_MS)
		return true;
	return now_us - http_conn_active_us(c->conn) > idle_ms * BR_US_PER_MS;
}

void caller_server_sweep(struct caller_server *s)
{
	uint64_t now_us = clock_now_us();
	struct caller_conn *next;

	for (struct caller_conn *c = LIST_FIRST(&s->callers); c; c = next) {
		next = LIST_NEXT(c, link);
		if (!timed_out(c, now_us))
			continue;
		http_conn_close(c->conn);
		free_conn(c);
	}
}

bool caller_server_idle(const struct caller_server *s)
{
	const struct caller_conn *c;

	LIST_FOREACH(c, &s->callers, link)
	if (c->head || http_conn_msg_begun_us(c->conn))
		return false;
	return true;
}
