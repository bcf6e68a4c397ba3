/*
 * Answers of a faulty server over kept connections: second copies, answers that break off, and bytes
 * behind an answer. No call may get an answer that is not its own or not whole.
 */
#include "common/clock.h"
#include "net/conn_pool.h"
#include "tests/unit/answer_cases.h"
#include "tests/unit/fake_server.h"

#include <stdio.h>
#include <string.h>

struct id_call {
	struct http_call call;
	const char *id;
	enum http_call_result result;
	uint16_t status;
	char body[64];
	bool ended;
};

static enum http_answer_match match_id(struct http_call *call, const struct http_msg *m)
{
	const char *id = http_msg_find_field(m, "X-Id");

	return id && !strcmp(id, ((struct id_call *)call)->id) ? HTTP_ANSWER_OWN
							       : HTTP_ANSWER_OTHER;
}

static void on_call_done(struct http_call *call, enum http_call_result result, struct http_msg *m,
			 int err)
{
	struct id_call *c = (struct id_call *)call;

	(void)err;
	c->result = result;
	c->body[0] = '\0';
	c->status = m ? m->status : 0;
	if (m)
		snprintf(c->body, sizeof(c->body), "%.*s", (int)m->body.len,
			 m->body.len ? m->body.data : "");
	http_msg_destroy(m);
	c->ended = true;
}

static struct conn_pool *create_pool(const struct server *s)
{
	const struct conn_pool_cfg cfg = {.addr = s->addr,
					  .limits = {.header_bytes = 4096, .body_bytes = 4096},
					  .connect_timeout_ms = 1000,
					  .idle_ms = 5000,
					  .idle_max = 4};

	return conn_pool_create(s->loop, &cfg);
}

static void prepare_call(struct id_call *c, const char *id)
{
	*c = (struct id_call){.call = {.done = on_call_done, .match = match_id, .timeout_ms = 400},
			      .id = id};
}

static void start_call(struct conn_pool *pool, struct id_call *c)
{
	struct buf b = {0};

	buf_printf(&b, "%s /%s HTTP/1.1\r\nHost: t\r\n\r\n", c->call.head ? "HEAD" : "GET", c->id);
	conn_pool_send(pool, &c->call, &b);
}

static void send_call(struct conn_pool *pool, struct id_call *c, const char *id)
{
	prepare_call(c, id);
	start_call(pool, c);
}

static void run_call(struct server *s, struct conn_pool *pool, struct id_call *c, const char *id)
{
	send_call(pool, c, id);
	run_until(s, &c->ended);
}

/* Lets the loop handle what arrives within a moment. */
static void settle(struct server *s)
{
	uint64_t until_us = clock_now_us() + 30 * BR_US_PER_MS;

	while (clock_now_us() < until_us)
		uv_run(s->loop, UV_RUN_NOWAIT);
}

#define ANSWER(id, body) "HTTP/1.1 200 OK\r\nX-Id: " id "\r\nContent-Length: 3\r\n\r\n" body

/* A second copy is pipelined behind the answer, before the connection is used again. */
Test(mesh_answers, second_copy_with_the_answer)
{
	struct server s = {.answer = ANSWER("a", "one") ANSWER("a", "one")};
	struct conn_pool *pool;
	struct id_call c;

	start_server(&s);
	pool = create_pool(&s);
	run_call(&s, pool, &c, "a");
	cr_assert_str_eq(c.body, "one");
	settle(&s);
	s.answer = ANSWER("b", "two");
	run_call(&s, pool, &c, "b");
	cr_assert_eq(c.result, HTTP_CALL_ANSWERED);
	cr_assert_str_eq(c.body, "two");
	conn_pool_destroy(pool);
}

/* A second copy comes while the connection is idle: whole, or its beginning only. */
Test(mesh_answers, second_copy_on_an_idle_connection)
{
	static const char copy[] = ANSWER("a", "one");
	struct id_call c;

	for (size_t len = 1; len < sizeof(copy); len++) {
		struct server s = {.answer = copy};
		struct conn_pool *pool;
		char part[sizeof(copy)] = "";

		start_server(&s);
		pool = create_pool(&s);
		run_call(&s, pool, &c, "a");
		memcpy(part, copy, len);
		send_text(s.last, part);
		settle(&s);
		cr_assert_eq(conn_pool_open_count(pool), 0, "%zu bytes", len);
		s.answer = ANSWER("b", "two");
		run_call(&s, pool, &c, "b");
		cr_assert_str_eq(c.body, "two", "%zu bytes", len);
		conn_pool_destroy(pool);
	}
}

/* A second copy comes late, on the connection that is in use again, split at each offset. */
Test(mesh_answers, second_copy_on_a_connection_in_use)
{
	static const char copy[] = ANSWER("a", "one");
	struct id_call c;

	for (size_t cut = 1; cut < sizeof(copy) - 1; cut += 3) {
		struct server s = {.answer = copy};
		struct conn_pool *pool;
		char part[sizeof(copy)] = "";

		start_server(&s);
		pool = create_pool(&s);
		run_call(&s, pool, &c, "a");
		s.answer = "";
		send_call(pool, &c, "b");
		while (s.n_requests < 2)
			uv_run(s.loop, UV_RUN_ONCE);
		memcpy(part, copy, cut);
		send_text(s.last, part);
		settle(&s);
		send_text(s.last, copy + cut);
		send_text(s.last, ANSWER("b", "two"));
		run_until(&s, &c.ended);
		cr_assert_eq(c.result, HTTP_CALL_ANSWERED);
		cr_assert_str_eq(c.body, "two", "split at %zu", cut);
		conn_pool_destroy(pool);
	}
}

/* Bytes that are no answer come where the next answer is due. */
Test(mesh_answers, other_bytes_before_the_answer)
{
	struct server s = {.answer = ANSWER("a", "one")};
	struct conn_pool *pool;
	struct id_call c;

	start_server(&s);
	pool = create_pool(&s);
	run_call(&s, pool, &c, "a");
	s.answer = "xyz" ANSWER("b", "two");
	run_call(&s, pool, &c, "b");
	cr_assert_eq(c.result, HTTP_CALL_LOST);
	cr_assert_eq(conn_pool_open_count(pool), 0);
	conn_pool_destroy(pool);
}

/* Sends each beginning of an answer and closes the connection; none but the whole may count. */
static void break_off_everywhere(const char *answer, size_t whole)
{
	for (size_t len = 0; len < strlen(answer); len++) {
		char part[512] = "";
		struct server s = {.answer = part, .closes = true};
		struct conn_pool *pool;
		struct id_call c;

		memcpy(part, answer, len);
		start_server(&s);
		pool = create_pool(&s);
		run_call(&s, pool, &c, "a");
		cr_assert_eq(c.result == HTTP_CALL_ANSWERED, len >= whole, "%zu bytes", len);
		conn_pool_destroy(pool);
	}
}

Test(mesh_answers, breaks_off_with_a_length)
{
	static const char answer[] = ANSWER("a", "one");

	break_off_everywhere(answer, sizeof(answer) - 1);
}

Test(mesh_answers, breaks_off_in_chunks)
{
	static const char answer[] =
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
		"3\r\none\r\n4\r\nmore\r\n0\r\n\r\n";

	break_off_everywhere(answer, sizeof(answer) - 1);
}

/* Without a length the answer ends with the connection, but its head must be whole. */
Test(mesh_answers, breaks_off_without_a_length)
{
	static const char answer[] = "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\none";

	break_off_everywhere(answer, strlen("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n"));
}

/* Sends one case and returns whether the call ended as it should. */
static bool ends_as_expected(const struct answer_case *a)
{
	struct server s = {.answer = a->bytes, .answer_len = a->len, .closes = true};
	struct conn_pool *pool;
	struct id_call c;
	bool expected;

	start_server(&s);
	pool = create_pool(&s);
	prepare_call(&c, "a");
	c.call.head = a->head;
	start_call(pool, &c);
	run_until(&s, &c.ended);
	expected = (c.result == HTTP_CALL_ANSWERED) == (a->status != 0) && c.status == a->status &&
		   (!a->status || !strcmp(c.body, a->body));
	if (!expected)
		fprintf(stderr, "%s: result %d, status %u, body \"%s\"\n", a->name, c.result,
			c.status, c.body);
	conn_pool_destroy(pool);
	return expected;
}

/* Only what the grammar of HTTP allows is an answer, and all of that is. */
Test(mesh_answers, only_valid_answers_are_taken)
{
	uint32_t n_unexpected = 0;

	for (size_t i = 0; i < N_ANSWER_CASES; i++)
		n_unexpected += !ends_as_expected(&answer_cases[i]);
	cr_assert_eq(n_unexpected, 0, "%u of %zu cases", n_unexpected, N_ANSWER_CASES);
}
