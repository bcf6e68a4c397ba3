/* What connections that share a budget hold, and when answers are left with their server. */
#include "common/clock.h"
#include "net/conn_pool.h"
#include "tests/unit/fake_server.h"

#include <string.h>

#define BODY_BYTES 400000

struct body_call {
	struct http_call call;
	enum http_call_result result;
	size_t body_len;
	bool ended;
};

static void on_call_done(struct http_call *call, enum http_call_result result, struct http_msg *m,
			 int err)
{
	struct body_call *c = (struct body_call *)call;

	(void)err;
	c->result = result;
	c->body_len = m ? m->body.len : 0;
	http_msg_destroy(m);
	c->ended = true;
}

static void run_for_ms(struct server *s, uint64_t ms)
{
	uint64_t until_us = clock_now_us() + ms * BR_US_PER_MS;

	while (clock_now_us() < until_us)
		uv_run(s->loop, UV_RUN_NOWAIT);
}

/* Starts a call without a body. */
static void fetch(struct conn_pool *pool, struct body_call *c)
{
	struct buf b = {0};

	c->call = (struct http_call){.done = on_call_done, .timeout_ms = RUN_MAX_MS};
	buf_append_text(&b, "GET / HTTP/1.1\r\nHost: t\r\n\r\n");
	conn_pool_send(pool, &c->call, &b);
}

/*
 * Guards against a node that reads answers on while the peers that wait for others do not read them,
 * until its memory is used up; and against an answer that is lost by the pause.
 */
Test(http_budget, answer_waits_at_the_server_while_room_is_short)
{
	static char answer[BODY_BYTES + 128];
	struct http_budget budget = {
		.limit_bytes = 2 * BODY_BYTES, .pause_bytes = 100000, .unsent_bytes = 60000};
	struct server s = {.answer = answer};
	struct conn_pool_cfg cfg = {
		.limits = {.header_bytes = 4096, .body_bytes = BODY_BYTES, .budget = &budget},
		.connect_timeout_ms = 1000,
		.idle_ms = 1000,
		.idle_max = 1};
	struct body_call c = {0};
	struct conn_pool *pool;
	int head = snprintf(answer, sizeof(answer), "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n",
			    BODY_BYTES);

	memset(answer + head, 'x', BODY_BYTES);
	start_server(&s);
	cfg.addr = s.addr;
	pool = conn_pool_create(s.loop, &cfg);
	fetch(pool, &c);
	run_for_ms(&s, 100);
	cr_assert_not(c.ended);
	cr_assert(http_budget_is_short(&budget));
	/* The last bytes read may go beyond the bound by what one read returns. */
	cr_assert_leq(budget.held_bytes + budget.unsent_bytes, 100000 + 65536);
	budget.unsent_bytes = 0;
	budget.pause_bytes = 0;
	run_until(&s, &c.ended);
	cr_assert_eq(c.result, HTTP_CALL_ANSWERED);
	cr_assert_eq(c.body_len, BODY_BYTES);
	cr_assert_eq(budget.held_bytes, 0);
	conn_pool_destroy(pool);
}

/*
 * Guards against two nodes whose memory is full of answers for each other: each waited until the
 * other one read, and so for good. Answers of the target wait first.
 */
Test(http_budget, answers_of_nodes_are_received_while_those_for_nodes_wait)
{
	static char answer[BODY_BYTES + 128];
	struct http_budget budget = {.limit_bytes = 3 * BODY_BYTES,
				     .pause_bytes = 4 * BODY_BYTES,
				     .unsent_bytes = 2 * BODY_BYTES,
				     .unsent_to_nodes_bytes = 2 * BODY_BYTES};
	struct server s = {.answer = answer};
	struct conn_pool_cfg cfg = {
		.limits = {.header_bytes = 4096, .body_bytes = BODY_BYTES, .budget = &budget},
		.connect_timeout_ms = 1000,
		.idle_ms = 1000};
	struct body_call of_target = {0}, of_node = {0};
	struct conn_pool *targets, *nodes;
	int head = snprintf(answer, sizeof(answer), "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n",
			    BODY_BYTES);

	memset(answer + head, 'x', BODY_BYTES);
	start_server(&s);
	cfg.addr = s.addr;
	nodes = conn_pool_create(s.loop, &cfg);
	cfg.limits.unsent_to_nodes_max_bytes = BODY_BYTES;
	targets = conn_pool_create(s.loop, &cfg);
	fetch(targets, &of_target);
	fetch(nodes, &of_node);
	run_until(&s, &of_node.ended);
	cr_assert_eq(of_node.result, HTTP_CALL_ANSWERED);
	run_for_ms(&s, 50);
	cr_assert_not(of_target.ended);
	/* The other node has read. */
	budget.unsent_bytes = budget.unsent_to_nodes_bytes = 0;
	run_until(&s, &of_target.ended);
	cr_assert_eq(of_target.result, HTTP_CALL_ANSWERED);
	conn_pool_destroy(targets);
	conn_pool_destroy(nodes);
}

#define CALLS 16
#define LONG_BYTES 240000

struct long_calls {
	struct body_call calls[CALLS];
	struct http_budget budget;
	size_t held_max_bytes;
	struct conn_pool *pool;
};

static void on_sample(void *arg)
{
	struct long_calls *l = arg;

	if (l->budget.held_bytes > l->held_max_bytes)
		l->held_max_bytes = l->budget.held_bytes;
}

/* Waits until all calls have ended. */
static void wait_for_calls(struct server *s, struct long_calls *l)
{
	for (int i = 0; i < CALLS; i++)
		run_until(s, &l->calls[i].ended);
}

/* Fetches answers with that head at the same time, with room for a few of them. */
static void fetch_long_answers(const char *head, const char *tail, bool closes)
{
	static char answer[LONG_BYTES + 256];
	struct server s = {.answer = answer, .closes = closes};
	struct long_calls l = {.budget = {.limit_bytes = 4 * LONG_BYTES}};
	struct conn_pool_cfg cfg = {
		.limits = {.header_bytes = 4096, .body_bytes = LONG_BYTES, .budget = &l.budget},
		.connect_timeout_ms = 1000,
		.idle_ms = 1000,
		.idle_max = CALLS};
	int len = snprintf(answer, sizeof(answer), "%s", head);
	struct timer *sample;

	memset(answer + len, 'x', LONG_BYTES);
	snprintf(answer + len + LONG_BYTES, sizeof(answer) - (size_t)len - LONG_BYTES, "%s", tail);
	start_server(&s);
	cfg.addr = s.addr;
	l.pool = conn_pool_create(s.loop, &cfg);
	sample = timer_repeat(s.loop, 1, on_sample, &l);
	for (int i = 0; i < CALLS; i++)
		fetch(l.pool, &l.calls[i]);
	wait_for_calls(&s, &l);
	timer_cancel(&sample);
	for (int i = 0; i < CALLS; i++) {
		cr_expect_eq(l.calls[i].result, HTTP_CALL_ANSWERED, "call %d is lost", i);
		cr_expect_eq(l.calls[i].body_len, LONG_BYTES);
	}
	cr_expect_leq(l.held_max_bytes, l.budget.limit_bytes);
	cr_expect_eq(l.budget.held_bytes, 0);
	conn_pool_destroy(l.pool);
}

/*
 * Guards against long answers that are lost because others are being received at the same time:
 * those for which there is no room have to wait at their servers.
 */
Test(http_budget, long_answers_wait_for_each_other)
{
	char head[128];

	snprintf(head, sizeof(head), "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", LONG_BYTES);
	fetch_long_answers(head, "", false);
}

/* The same for answers whose length shows only at their end. */
Test(http_budget, chunked_answers_wait_for_each_other)
{
	char head[128];

	snprintf(head, sizeof(head), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n",
		 LONG_BYTES);
	fetch_long_answers(head, "\r\n0\r\n\r\n", false);
}

Test(http_budget, unframed_answers_wait_for_each_other)
{
	fetch_long_answers("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "", true);
}
