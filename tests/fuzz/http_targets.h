/*
 * HTTP messages as inputs: the bytes arrive at a real connection in two parts, and the connection
 * ends in order or by a reset. Nothing may stay counted towards the budget.
 */
#ifndef TESTS_FUZZ_HTTP_TARGETS_H
#define TESTS_FUZZ_HTTP_TARGETS_H

#include "net/conn_pool.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#define HTTP_FUZZ_HEADER_BYTES 2048
#define HTTP_FUZZ_BODY_BYTES 2048
#define HTTP_FUZZ_BUDGET_BYTES 65536
/* Rounds of the event loop in which all that is on its way on loopback has arrived. */
#define HTTP_FUZZ_ROUNDS 6

static struct http_budget http_fuzz_budget = {.limit_bytes = HTTP_FUZZ_BUDGET_BYTES,
					      .pause_bytes = 2 * HTTP_FUZZ_BUDGET_BYTES};
static uint32_t http_fuzz_open;

static void http_fuzz_step(void)
{
	for (int i = 0; i < HTTP_FUZZ_ROUNDS; i++)
		uv_run(uv_default_loop(), UV_RUN_NOWAIT);
}

static struct http_limits http_fuzz_limits(void)
{
	return (struct http_limits){.header_bytes = HTTP_FUZZ_HEADER_BYTES,
				    .body_bytes = HTTP_FUZZ_BODY_BYTES,
				    .budget = &http_fuzz_budget};
}

static void http_fuzz_answer(struct http_conn *c, const char *text)
{
	struct buf b = {0};

	buf_append_text(&b, text);
	http_conn_send(c, &b);
}

static void http_fuzz_on_message(struct http_conn *c, struct http_msg *m)
{
	bool keep_alive = m->keep_alive;

	http_msg_destroy(m);
	http_fuzz_answer(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	if (keep_alive)
		return;
	http_conn_finish(c);
	http_fuzz_open--;
}

static void http_fuzz_on_invalid(struct http_conn *c, uint16_t status)
{
	BR_INVARIANT(status >= 400 && status < 600);
	http_fuzz_answer(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
	http_conn_finish(c);
	http_fuzz_open--;
}

static void http_fuzz_on_closed(struct http_conn *c, int err)
{
	(void)c;
	(void)err;
	http_fuzz_open--;
}

static const struct http_conn_ops http_fuzz_ops = {.message = http_fuzz_on_message,
						   .invalid = http_fuzz_on_invalid,
						   .closed = http_fuzz_on_closed};

static void http_fuzz_on_accept(uv_stream_t *listener, int status)
{
	const struct http_limits limits = http_fuzz_limits();

	if (!status && http_conn_accept(listener, &http_fuzz_ops, &limits, NULL))
		http_fuzz_open++;
}

/* Sends the input in two parts, then ends the connection and closes fd. */
static void http_fuzz_send(int fd, const char *bytes, size_t len)
{
	const struct linger reset = {.l_onoff = 1};
	size_t first = len ? len * (uint8_t)bytes[len / 2] / 256 : 0;
	bool ends_in_order = len % 4 == 0;

	(void)!send(fd, bytes, first, MSG_NOSIGNAL);
	http_fuzz_step();
	(void)!send(fd, bytes + first, len - first, MSG_NOSIGNAL);
	http_fuzz_step();
	if (ends_in_order)
		shutdown(fd, SHUT_WR);
	else
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	http_fuzz_step();
	close(fd);
	http_fuzz_step();
	BR_INVARIANT(!http_fuzz_budget.held_bytes && !http_fuzz_budget.unsent_bytes);
}

static void run_http_request(const char *bytes, size_t len)
{
	static uv_tcp_t listener;
	static struct sockaddr_in addr;
	int fd, addr_len = sizeof(addr);

	if (!addr.sin_port) {
		addr = (struct sockaddr_in){.sin_family = AF_INET,
					    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
		BR_INVARIANT(!http_listen(uv_default_loop(), &listener, &addr, http_fuzz_on_accept,
					  NULL));
		uv_tcp_getsockname(&listener, (struct sockaddr *)&addr, &addr_len);
	}
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	BR_INVARIANT(!connect(fd, (struct sockaddr *)&addr, sizeof(addr)));
	http_fuzz_step();
	BR_INVARIANT(http_fuzz_open == 1);
	http_fuzz_send(fd, bytes, len);
	BR_INVARIANT(!http_fuzz_open);
}

static void http_fuzz_on_done(struct http_call *call, enum http_call_result result,
			      struct http_msg *msg, int err)
{
	(void)call;
	(void)err;
	BR_INVARIANT((result == HTTP_CALL_ANSWERED) == (msg != NULL));
	http_msg_destroy(msg);
}

static void run_http_answer(const char *bytes, size_t len)
{
	static struct conn_pool_cfg cfg = {
		.connect_timeout_ms = 1000, .idle_ms = 1000, .idle_max = 1};
	static int listener = -1;
	struct http_call call = {.done = http_fuzz_on_done, .head = len % 5 == 0};
	struct conn_pool *pool;
	struct buf request = {0};
	socklen_t addr_len = sizeof(cfg.addr);
	int fd;

	if (listener < 0) {
		cfg.addr = (struct sockaddr_in){.sin_family = AF_INET,
						.sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
		cfg.limits = http_fuzz_limits();
		listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		BR_INVARIANT(!bind(listener, (struct sockaddr *)&cfg.addr, sizeof(cfg.addr)) &&
			     !listen(listener, 8));
		getsockname(listener, (struct sockaddr *)&cfg.addr, &addr_len);
	}
	pool = conn_pool_create(uv_default_loop(), &cfg);
	buf_append_text(&request, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	conn_pool_send(pool, &call, &request);
	fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
	BR_INVARIANT(fd >= 0);
	http_fuzz_step();
	http_fuzz_send(fd, bytes, len);
	BR_INVARIANT(!http_call_active(&call));
	conn_pool_destroy(pool);
	http_fuzz_step();
}

#endif
