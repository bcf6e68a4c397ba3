/* A server in the process of a test, whose answers the test gives. */
#ifndef TESTS_UNIT_FAKE_SERVER_H
#define TESTS_UNIT_FAKE_SERVER_H

#include "briarreel/types.h"
#include "net/http_conn.h"
#include "net/timer.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <signal.h>
#include <string.h>

#define RUN_MAX_MS 5000

struct server {
	uv_loop_t *loop;
	uv_tcp_t listener;
	struct sockaddr_in addr;
	/** Sent first for each request; then endless is sent until the peer closes. */
	const char *answer, *endless;
	/** Length of the answer if it may hold NUL bytes, else 0. */
	size_t answer_len;
	char target[512];
	uint32_t n_requests, n_accepted, n_open;
	struct timer *timer;
	struct http_conn *conns[64];
	uint32_t n_conns;
	/** Connection of the latest request. */
	struct http_conn *last;
	/** Each connection is closed behind its first answer. */
	bool closes;
	bool ended;
};

static void send_bytes(struct http_conn *c, const char *bytes, size_t len)
{
	struct buf b = {0};

	buf_append(&b, bytes, len);
	http_conn_send(c, &b);
}

static void send_text(struct http_conn *c, const char *text)
{
	send_bytes(c, text, strlen(text));
}

static void on_request(struct http_conn *c, struct http_msg *m)
{
	struct server *s = http_conn_owner(c);

	br_copy_text(s->target, sizeof(s->target), http_msg_target(m));
	http_msg_destroy(m);
	s->n_requests++;
	s->last = c;
	send_bytes(c, s->answer, s->answer_len ? s->answer_len : strlen(s->answer));
	if (s->closes)
		http_conn_finish(c);
	if (s->endless)
		s->conns[s->n_conns++] = c;
}

static void on_peer_closed(struct http_conn *c, int err)
{
	struct server *s = http_conn_owner(c);

	(void)err;
	s->n_open--;
	for (uint32_t i = 0; i < s->n_conns; i++)
		if (s->conns[i] == c)
			s->conns[i] = NULL;
}

static const struct http_conn_ops server_ops = {.message = on_request, .closed = on_peer_closed};

static void on_accept(uv_stream_t *listener, int status)
{
	struct server *s = listener->data;
	const struct http_limits limits = {.header_bytes = 4096, .body_bytes = 4096};

	cr_assert_eq(status, 0);
	if (!http_conn_accept(listener, &server_ops, &limits, s))
		return;
	s->n_accepted++;
	s->n_open++;
}

/* Sends more on each connection whose peer has read what came before. */
static void on_more(void *arg)
{
	struct server *s = arg;

	for (uint32_t i = 0; i < s->n_conns; i++)
		for (int k = 0; k < 16 && s->conns[i] && !http_conn_unsent(s->conns[i]); k++)
			send_text(s->conns[i], s->endless);
}

static void on_run_over(void *arg)
{
	struct server *s = arg;

	s->timer = NULL;
	s->ended = true;
}

static void start_server(struct server *s)
{
	struct sockaddr_in any = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int len = sizeof(s->addr);

	/* The node ignores it as well. */
	signal(SIGPIPE, SIG_IGN);
	s->loop = uv_default_loop();
	cr_assert_eq(http_listen(s->loop, &s->listener, &any, on_accept, s), 0);
	cr_assert_eq(uv_tcp_getsockname(&s->listener, (struct sockaddr *)&s->addr, &len), 0);
}

/* Runs the loop until the flag is set, or for RUN_MAX_MS. */
static void run_until(struct server *s, const bool *done)
{
	struct timer *more = s->endless ? timer_repeat(s->loop, 1, on_more, s) : NULL;

	s->ended = false;
	s->timer = timer_start(s->loop, RUN_MAX_MS, on_run_over, s);
	while (!*done && !s->ended)
		uv_run(s->loop, UV_RUN_ONCE);
	timer_cancel(&s->timer);
	timer_cancel(&more);
	cr_assert(*done);
}

#endif
