#include "net/conn_pool.h"

#include "common/clock.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Percentage of the server's announced idle time after which a connection is no longer used. */
#define IDLE_USABLE_PERCENT 70

/* Interim answers, and answers to other requests, after which a connection is given up. */
#define SKIPPED_MAX 8

/** A connection of the pool: busy with a call, or in the idle list. */
struct pool_conn {
	struct conn_pool *pool;
	struct http_conn *conn;
	struct http_call *call;
	uint64_t idle_since_us, idle_limit_us;
	struct pool_conn *next;
};

struct conn_pool {
	uv_loop_t *loop;
	struct conn_pool_cfg cfg;
	/** Most recently used first. */
	struct pool_conn *idle;
	uint32_t n_idle, n_open;
	uint64_t opened;
};

static const struct http_conn_ops conn_ops;

struct conn_pool *conn_pool_create(uv_loop_t *loop, const struct conn_pool_cfg *cfg)
{
	struct conn_pool *p = xcalloc(1, sizeof(*p));

	p->loop = loop;
	p->cfg = *cfg;
	return p;
}

static void discard(struct pool_conn *pc)
{
	http_conn_close(pc->conn);
	pc->pool->n_open--;
	free(pc);
}

static void unlink_idle(struct pool_conn *pc)
{
	struct pool_conn **link = &pc->pool->idle;

	while (*link != pc)
		link = &(*link)->next;
	*link = pc->next;
	pc->pool->n_idle--;
}

static struct pool_conn *pop_idle(struct conn_pool *p)
{
	struct pool_conn *pc = p->idle;

	p->idle = pc->next;
	p->n_idle--;
	return pc;
}

void conn_pool_drop_idle(struct conn_pool *p)
{
	while (p->idle)
		discard(pop_idle(p));
}

void conn_pool_destroy(struct conn_pool *p)
{
	if (!p)
		return;
	conn_pool_drop_idle(p);
	free(p);
}

void conn_pool_sweep(struct conn_pool *p)
{
	struct pool_conn **link = &p->idle;
	uint64_t now_us = clock_now_us();

	while (*link) {
		struct pool_conn *pc = *link;

		if (now_us - pc->idle_since_us < pc->idle_limit_us) {
			link = &pc->next;
			continue;
		}
		*link = pc->next;
		p->n_idle--;
		discard(pc);
	}
}

static void end_call(struct http_call *call, enum http_call_result result, struct http_msg *msg,
		     int err)
{
	timer_cancel(&call->timer);
	buf_free(&call->bytes);
	call->conn = NULL;
	call->pool = NULL;
	call->done(call, result, msg, err);
}

static void on_timeout(void *arg)
{
	struct http_call *call = arg;
	struct pool_conn *pc = http_conn_owner(call->conn);
	enum http_call_result result = call->sent ? HTTP_CALL_LOST : HTTP_CALL_NOT_SENT;

	call->timer = NULL;
	discard(pc);
	end_call(call, result, NULL, -ETIMEDOUT);
}

static void start_timeout(struct http_call *call, uint64_t delay_ms)
{
	timer_cancel(&call->timer);
	if (delay_ms)
		call->timer = timer_start(call->pool->loop, delay_ms, on_timeout, call);
}

static void send_now(struct http_call *call)
{
	call->sent = true;
	call->n_skipped = 0;
	http_conn_expect_no_body(call->conn, call->head);
	start_timeout(call, call->timeout_ms);
	http_conn_send(call->conn, &call->bytes);
}

static struct pool_conn *reuse_idle(struct conn_pool *p, uint64_t max_idle_ms)
{
	uint64_t now_us = clock_now_us(), limit_us = max_idle_ms * 1000;

	while (p->idle) {
		struct pool_conn *pc = p->idle;
		uint64_t idle_us = now_us - pc->idle_since_us;

		if (idle_us < pc->idle_limit_us && (!limit_us || idle_us < limit_us))
			return pop_idle(p);
		if (idle_us < pc->idle_limit_us)
			return NULL;
		discard(pop_idle(p));
	}
	return NULL;
}

static void on_no_socket(void *arg)
{
	struct http_call *call = arg;

	call->timer = NULL;
	end_call(call, HTTP_CALL_NOT_SENT, NULL, -EMFILE);
}

void conn_pool_send(struct conn_pool *p, struct http_call *call, struct buf *bytes)
{
	struct pool_conn *pc = reuse_idle(p, call->max_idle_ms);

	call->pool = p;
	call->sent = false;
	call->bytes = *bytes;
	*bytes = (struct buf){0};
	if (pc) {
		pc->call = call;
		call->conn = pc->conn;
		send_now(call);
		return;
	}
	pc = xcalloc(1, sizeof(*pc));
	pc->pool = p;
	pc->call = call;
	pc->conn = http_conn_connect(p->loop, &p->cfg.addr, &conn_ops, &p->cfg.limits, pc);
	if (!pc->conn) {
		free(pc);
		/* The owner must not be called back before this returns. */
		call->timer = timer_start(p->loop, 0, on_no_socket, call);
		return;
	}
	p->n_open++;
	p->opened++;
	call->conn = pc->conn;
	start_timeout(call, p->cfg.connect_timeout_ms);
}

void http_call_cancel(struct http_call *call)
{
	timer_cancel(&call->timer);
	buf_free(&call->bytes);
	if (call->conn)
		discard(http_conn_owner(call->conn));
	call->conn = NULL;
	call->pool = NULL;
}

bool http_call_active(const struct http_call *call)
{
	return call->pool != NULL;
}

static void on_connected(struct http_conn *c)
{
	struct pool_conn *pc = http_conn_owner(c);

	if (pc->call)
		send_now(pc->call);
}

static uint64_t idle_limit_us(const struct conn_pool *p, const struct http_msg *m)
{
	const char *field = http_msg_find_field(m, "keep-alive");
	const char *timeout = field ? strstr(field, "timeout=") : NULL;
	uint64_t limit_us = p->cfg.idle_ms * 1000;
	unsigned long timeout_s = timeout ? strtoul(timeout + strlen("timeout="), NULL, 10) : 0;
	uint64_t announced_us = timeout_s * 1000000 / 100 * IDLE_USABLE_PERCENT;

	return timeout_s && announced_us < limit_us ? announced_us : limit_us;
}

/* Keeps the connection for further calls if nothing is left on it of the call that m answered. */
static void release_conn(struct pool_conn *pc, const struct http_msg *m,
			 enum http_answer_match match)
{
	struct conn_pool *p = pc->pool;

	if (match == HTTP_ANSWER_UNNAMED || !m->keep_alive || http_conn_unsent(pc->conn) ||
	    p->n_idle >= p->cfg.idle_max) {
		discard(pc);
		return;
	}
	pc->call = NULL;
	pc->idle_since_us = clock_now_us();
	pc->idle_limit_us = idle_limit_us(p, m);
	pc->next = p->idle;
	p->idle = pc;
	p->n_idle++;
}

/* Skips an answer that does not end the call. A server may send such answers without end. */
static void skip_answer(struct pool_conn *pc, struct http_msg *m)
{
	struct http_call *call = pc->call;

	http_msg_destroy(m);
	if (call->n_skipped++ < SKIPPED_MAX)
		return;
	discard(pc);
	end_call(call, HTTP_CALL_LOST, NULL, -EPROTO);
}

static void on_message(struct http_conn *c, struct http_msg *m)
{
	struct pool_conn *pc = http_conn_owner(c);
	struct http_call *call = pc->call;
	enum http_answer_match match;

	if (call && call->sent && m->status >= 100 && m->status < 200) {
		skip_answer(pc, m);
		return;
	}
	if (!call || !call->sent) {
		/*
		 * An answer without a request. An idle connection that received one is closed,
		 * since nothing that follows on it can be trusted.
		 */
		http_msg_destroy(m);
		if (!call) {
			unlink_idle(pc);
			discard(pc);
		}
		return;
	}
	match = call->match ? call->match(call, m) : HTTP_ANSWER_OWN;
	if (match == HTTP_ANSWER_OTHER) {
		skip_answer(pc, m);
		return;
	}
	release_conn(pc, m, match);
	end_call(call, HTTP_CALL_ANSWERED, m, 0);
}

static void on_begin(struct http_conn *c)
{
	struct pool_conn *pc = http_conn_owner(c);

	if (pc->call)
		return;
	unlink_idle(pc);
	discard(pc);
}

static void on_closed(struct http_conn *c, int err)
{
	struct pool_conn *pc = http_conn_owner(c);
	struct http_call *call = pc->call;
	enum http_call_result result;

	if (!call) {
		unlink_idle(pc);
		discard(pc);
		return;
	}
	result = call->sent ? HTTP_CALL_LOST : HTTP_CALL_NOT_SENT;
	discard(pc);
	end_call(call, result, NULL, err ? err : -ECONNRESET);
}

static const struct http_conn_ops conn_ops = {
	.message = on_message,
	.begin = on_begin,
	.connected = on_connected,
	.closed = on_closed,
};

uint32_t conn_pool_open_count(const struct conn_pool *p)
{
	return p->n_open;
}

uint64_t conn_pool_total_opened(const struct conn_pool *p)
{
	return p->opened;
}
