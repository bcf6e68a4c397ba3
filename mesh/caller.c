#include "mesh/caller.h"

#include "common/clock.h"
#include "mesh/event_log.h"
#include "mesh/request.h"

#include <stdlib.h>
#include <sys/queue.h>

/* Before the first configuration sets the limits. */
#define HEADER_BYTES 16384
#define BODY_BYTES (64ULL * 1024 * 1024)
#define HEADER_TIMEOUT_MS 3000
#define IDLE_TIMEOUT_MS 15000
/* Requests on one connection that are not answered yet; the last of them ends it if more come. */
#define PIPELINE_MAX 128
/* A caller that does not read its answers is cut off beyond this. */
#define UNSENT_MAX (16UL * 1024 * 1024)

/** One request of a connection, in the order of arrival. */
struct turn {
	struct caller *caller;
	struct request *request;
	struct buf answer;
	bool starting, answered, last;
	struct turn *next;
};

struct caller {
	struct caller_server *server;
	struct http_conn *conn;
	struct turn *head, *tail;
	uint32_t n_turns;
	/** No further request is taken. */
	bool ending;
	LIST_ENTRY(caller) link;
};

struct caller_server {
	struct board *board;
	uv_tcp_t listener;
	LIST_HEAD(, caller) callers;
};

static void free_caller(struct caller *c)
{
	while (c->head) {
		struct turn *t = c->head;

		c->head = t->next;
		if (t->request)
			request_cancel(t->request);
		buf_free(&t->answer);
		free(t);
	}
	LIST_REMOVE(c, link);
	free(c);
}

/* Sends the answers that are due; frees the caller if its connection ends with one. */
static void flush(struct caller *c)
{
	while (c->head && c->head->answered) {
		struct turn *t = c->head;
		bool last = t->last;

		c->head = t->next;
		if (!c->head)
			c->tail = NULL;
		c->n_turns--;
		http_conn_send(c->conn, &t->answer);
		free(t);
		if (!last)
			continue;
		http_conn_finish(c->conn);
		free_caller(c);
		return;
	}
	if (http_conn_unsent(c->conn) > UNSENT_MAX) {
		EVENT(EVENT_WARNING, "caller", "does_not_read",
		      EVENT_NUMBER("bytes", http_conn_unsent(c->conn)));
		http_conn_close(c->conn);
		free_caller(c);
	}
}

static void write_answer(struct turn *t, const struct request_answer *a)
{
	buf_printf(&t->answer, "HTTP/1.1 %u %s\r\n", a->status, http_reason(a->status));
	buf_append(&t->answer, a->fields.data, a->fields.len);
	buf_printf(&t->answer, "%s\r\n", t->last ? "Connection: close\r\n" : "");
	buf_append(&t->answer, a->body.data, a->body.len);
}

static void on_answer(void *ctx, struct request *r, struct request_answer *answer)
{
	struct turn *t = ctx;
	struct caller *c = t->caller;

	(void)r;
	t->answered = true;
	if (c->server->board->stopping && t == c->tail) {
		t->last = true;
		c->ending = true;
	}
	write_answer(t, answer);
	t->request = NULL;
	/* on_message() still uses the connection and flushes it itself. */
	if (!t->starting)
		flush(c);
}

static struct turn *add_turn(struct caller *c)
{
	struct turn *t = xcalloc(1, sizeof(*t));

	t->caller = c;
	if (c->tail)
		c->tail->next = t;
	else
		c->head = t;
	c->tail = t;
	c->n_turns++;
	return t;
}

static void on_message(struct http_conn *conn, struct http_msg *m)
{
	struct caller *c = http_conn_owner(conn);
	struct turn *t;

	if (!c->ending && c->n_turns >= PIPELINE_MAX) {
		/* What is sent behind the last answer of a connection counts as not read. */
		c->tail->last = true;
		c->ending = true;
	}
	if (c->ending) {
		http_msg_destroy(m);
		return;
	}
	t = add_turn(c);
	if (!m->keep_alive) {
		t->last = true;
		c->ending = true;
	}
	t->starting = true;
	request_start(c->server->board, m, on_answer, t, &t->request);
	t->starting = false;
	if (t->answered)
		flush(c);
}

static void on_closed(struct http_conn *conn, int err, uint16_t status)
{
	struct caller *c = http_conn_owner(conn);

	(void)err;
	if (status && !c->head) {
		struct buf b = {0};

		EVENT(EVENT_WARNING, "caller", "malformed", EVENT_NUMBER("status", status));
		buf_printf(&b, "HTTP/1.1 %u %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
			   status, http_reason(status));
		http_conn_send(conn, &b);
	}
	free_caller(c);
}

static const struct http_conn_ops caller_ops = {.message = on_message, .closed = on_closed};

static void on_accept(uv_stream_t *listener, int status)
{
	struct caller_server *s = listener->data;
	const struct mesh_config *config = s->board->config;
	struct http_limits limits = {
		.header_bytes = config ? config->header_bytes : HEADER_BYTES,
		.body_bytes = config ? config->body_bytes : BODY_BYTES,
	};
	struct caller *c;

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
	return s;
}

void caller_server_destroy(struct caller_server *s)
{
	if (!s)
		return;
	uv_close((uv_handle_t *)&s->listener, NULL);
	for (struct caller *next, *c = LIST_FIRST(&s->callers); c; c = next) {
		next = LIST_NEXT(c, link);
		http_conn_close(c->conn);
		free_caller(c);
	}
}

static bool time_is_over(const struct caller *c, uint64_t now_us)
{
	const struct mesh_config *config = c->server->board->config;
	uint64_t header_ms = config ? config->header_timeout_ms : HEADER_TIMEOUT_MS;
	uint64_t idle_ms = config ? config->idle_timeout_ms : IDLE_TIMEOUT_MS;
	uint64_t begun_us = http_conn_begun_us(c->conn);

	if (c->head)
		return false;
	if (begun_us && now_us - begun_us > header_ms * BR_US_PER_MS &&
	    now_us - http_conn_received_us(c->conn) > header_ms * BR_US_PER_MS)
		return true;
	return now_us - http_conn_received_us(c->conn) > idle_ms * BR_US_PER_MS;
}

void caller_server_sweep(struct caller_server *s)
{
	uint64_t now_us = clock_now_us();
	struct caller *next;

	for (struct caller *c = LIST_FIRST(&s->callers); c; c = next) {
		next = LIST_NEXT(c, link);
		if (!time_is_over(c, now_us))
			continue;
		http_conn_close(c->conn);
		free_caller(c);
	}
}

bool caller_server_quiet(const struct caller_server *s)
{
	const struct caller *c;

	LIST_FOREACH(c, &s->callers, link)
	if (c->head || http_conn_unsent(c->conn) || http_conn_begun_us(c->conn))
		return false;
	return true;
}
