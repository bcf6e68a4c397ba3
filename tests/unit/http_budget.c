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
	struct body_call c = {.call = {.done = on_call_done, .timeout_ms = RUN_MAX_MS}};
	struct conn_pool *pool;
	struct buf b = {0};
	int head = snprintf(answer, sizeof(answer), "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n",
			    BODY_BYTES);

	memset(answer + head, 'x', BODY_BYTES);
	start_server(&s);
	cfg.addr = s.addr;
	pool = conn_pool_create(s.loop, &cfg);
	buf_append_text(&b, "GET / HTTP/1.1\r\nHost: t\r\n\r\n");
	conn_pool_send(pool, &c.call, &b);
	run_for_ms(&s, 100);
	cr_assert_not(c.ended);
	cr_assert(http_budget_is_short(&budget));
	/* The last bytes read may go beyond the bound by what one read returns. */
	cr_assert_leq(budget.held_bytes + budget.unsent_bytes, 100000 + 65536);
	budget.unsent_bytes = 0;
	budget.pause_bytes = 0;
	http_budget_resume(&budget);
	run_until(&s, &c.ended);
	cr_assert_eq(c.result, HTTP_CALL_ANSWERED);
	cr_assert_eq(c.body_len, BODY_BYTES);
	cr_assert_eq(budget.held_bytes, 0);
	conn_pool_destroy(pool);
}
