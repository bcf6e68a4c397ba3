#include "mesh/caller.h"

#include "briarreel/balance.h"
#include "briarreel/error.h"
#include "common/clock.h"
#include "mesh/event_log.h"
#include "mesh/keeper_link.h"
#include "mesh/members.h"
#include "mesh/quota.h"
#include "mesh/target.h"
#include "net/timer.h"
#include "platform/decode.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

/* Tests run at the same time. */
#define PIPELINE_PORT 18308
#define LIMITS_PORT 18310
#define BLANKS_PORT 18312
#define REQUESTS 400
#define RUN_MS 4000

static const char config_text[] =
	"{\"version\":\"00000001\",\"resources\":["
	"{\"entryKind\":\"services\",\"metadata\":{\"name\":\"s\"},\"specification\":{}},"
	"{\"entryKind\":\"tenants\",\"metadata\":{\"name\":\"a\"},\"specification\":"
	"{\"apiKeys\":[\"k\"],\"ratePerS\":5,\"burst\":5}},"
	"{\"entryKind\":\"routes\",\"metadata\":{\"name\":\"r\"},\"specification\":"
	"{\"host\":\"h\",\"prefix\":\"/r/\",\"kind\":\"safe\",\"service\":\"s\"}}]}";

struct fixture {
	struct board board;
	struct mesh_settings settings;
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	struct buf requests;
	uint32_t answers;
	bool closed, open;
	/** Status of the last answer; 0 while none has come. */
	int status;
};

static void on_changed(void *ctx)
{
	(void)ctx;
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *out)
{
	static char bytes[65536];

	(void)handle;
	(void)suggested;
	*out = uv_buf_init(bytes, sizeof(bytes));
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *in)
{
	struct fixture *f = stream->data;

	if (n < 0) {
		f->closed = true;
		uv_stop(f->board.loop);
		return;
	}
	for (ssize_t i = 0; i + 9 <= n; i++)
		f->answers += !memcmp(in->base + i, "HTTP/1.1 ", 9);
	if (f->answers == REQUESTS)
		uv_stop(f->board.loop);
}

static void on_connect(uv_connect_t *req, int status)
{
	struct fixture *f = req->data;
	uv_buf_t chunk = uv_buf_init(f->requests.data, (unsigned int)f->requests.len);

	cr_assert_eq(status, 0);
	uv_read_start((uv_stream_t *)&f->tcp, on_alloc, on_read);
	uv_write(&f->write, (uv_stream_t *)&f->tcp, &chunk, 1, NULL);
}

static void on_timeout(void *arg)
{
	struct fixture *f = arg;

	uv_stop(f->board.loop);
}

static void start_board(struct fixture *f, uint16_t port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port = htons(port),
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct br_error err = {0};

	br_copy_text(f->settings.node, sizeof(f->settings.node), "n");
	f->settings.caller_addr = addr;
	f->settings.peer_addr = addr;
	f->settings.target_addr = addr;
	f->settings.mesh_port = (uint16_t)(port + 1);
	f->settings.revocation_ms = 5000;
	f->board.loop = uv_default_loop();
	f->board.settings = &f->settings;
	f->board.confirmed_us = clock_now_us();
	br_rng_seed(&f->board.rng, 1);
	f->board.balance = br_balance_create(0);
	f->board.members = members_create(&f->board);
	f->board.target = target_create(&f->board, on_changed, NULL);
	f->board.quota = quota_create(&f->board, keeper_link_create(&f->board));
	f->board.config = platform_decode_config(config_text, strlen(config_text), &err);
	cr_assert(f->board.config);
	/* A keeper that does not answer leaves requests waiting for their tokens. */
	quota_set_keeper(f->board.quota, "other", &addr, 0);
}

/*
 * Guards against pipelined requests above the pipeline limit that get neither an answer nor a
 * closed connection: their caller sends them again only after the connection closes.
 */
Test(mesh_caller, a_long_pipeline_is_answered_or_closed)
{
	static struct fixture f;

	start_board(&f, PIPELINE_PORT);
	cr_assert(caller_server_create(&f.board));
	for (int i = 0; i < REQUESTS; i++)
		buf_printf(
			&f.requests,
			"GET /r/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: i%d\r\nApi-Key: k\r\n\r\n",
			i);
	uv_tcp_init(f.board.loop, &f.tcp);
	f.tcp.data = &f;
	f.connect.data = &f;
	uv_tcp_connect(&f.connect, &f.tcp, (const struct sockaddr *)&f.settings.caller_addr,
		       on_connect);
	timer_start(f.board.loop, RUN_MS, on_timeout, &f);
	uv_run(f.board.loop, UV_RUN_DEFAULT);
	cr_assert_gt(f.answers, 0);
	cr_assert(f.closed || f.answers == REQUESTS, "%u answers, still open", f.answers);
}

/* Sends a request with a header of that size on the open connection; returns the status of its answer. */
static int exchange(struct fixture *f, uint32_t header_bytes)
{
	struct buf b = {0};
	uv_buf_t chunk;

	buf_append_text(
		&b, "GET /r/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: i\r\nApi-Key: k\r\nX-Long: ");
	for (uint32_t i = 0; i < header_bytes; i++)
		buf_append_text(&b, "x");
	buf_append_text(&b, "\r\n\r\n");
	f->status = 0;
	chunk = uv_buf_init(b.data, (unsigned int)b.len);
	uv_write(&f->write, (uv_stream_t *)&f->tcp, &chunk, 1, NULL);
	for (int rounds = 0; !f->status && !f->closed && rounds < 10000; rounds++)
		uv_run(f->board.loop, UV_RUN_ONCE);
	buf_free(&b);
	return f->status;
}

static void on_status(uv_stream_t *stream, ssize_t n, const uv_buf_t *in)
{
	struct fixture *f = stream->data;

	if (n < 0)
		f->closed = true;
	else if (n >= 12)
		f->status = atoi(in->base + strlen("HTTP/1.1 "));
}

static void on_open(uv_connect_t *req, int status)
{
	struct fixture *f = req->data;

	cr_assert_eq(status, 0);
	uv_read_start((uv_stream_t *)&f->tcp, on_alloc, on_status);
	f->open = true;
}

static void open_connection(struct fixture *f)
{
	uv_tcp_init(f->board.loop, &f->tcp);
	f->tcp.data = f;
	f->connect.data = f;
	uv_tcp_connect(&f->connect, &f->tcp, (const struct sockaddr *)&f->settings.caller_addr,
		       on_open);
	while (!f->open)
		uv_run(f->board.loop, UV_RUN_ONCE);
}

static void set_config(struct fixture *f, const char *header_bytes)
{
	struct br_error err = {0};
	struct buf text = {0};

	buf_printf(
		&text,
		"{\"version\":\"00000001\",\"resources\":["
		"{\"entryKind\":\"services\",\"metadata\":{\"name\":\"s\"},\"specification\":{}},"
		"{\"entryKind\":\"routes\",\"metadata\":{\"name\":\"r\"},\"specification\":"
		"{\"host\":\"h\",\"prefix\":\"/r/\",\"kind\":\"safe\",\"service\":\"s\"}},"
		"{\"entryKind\":\"limits\",\"metadata\":{},\"specification\":{\"headerBytes\":%s}}]"
		"}",
		header_bytes);
	mesh_config_unref(f->board.config);
	f->board.config = platform_decode_config(text.data, text.len, &err);
	cr_assert(f->board.config);
	buf_free(&text);
	if (f->board.on_config)
		f->board.on_config(f->board.on_config_ctx);
}

/*
 * Guards against a kept connection that has the limits of before the configuration, or built-in ones, for as
 * long as it lives (review/15): 431 is no refusal that a caller would repeat.
 */
Test(mesh_caller, a_kept_connection_has_the_limits_in_force)
{
	static struct fixture f;

	start_board(&f, LIMITS_PORT);
	mesh_config_unref(f.board.config);
	f.board.config = NULL;
	f.board.messages.limit_bytes = 64 * 1024 * 1024;
	f.board.messages.pause_bytes = 64 * 1024 * 1024;
	cr_assert(caller_server_create(&f.board));
	open_connection(&f);
	/* Nobody knows yet what is too long; the answer says that it has not run. */
	cr_assert_eq(exchange(&f, 100), 503);
	cr_assert_eq(exchange(&f, 300000), 503);
	/* Within the limits it is refused only since there is no target here. */
	set_config(&f, "32768");
	cr_assert_eq(exchange(&f, 20000), 503);
	set_config(&f, "400000");
	cr_assert_eq(exchange(&f, 300000), 503);
	set_config(&f, "2000");
	cr_assert_eq(exchange(&f, 1000), 503);
	cr_assert_eq(exchange(&f, 3000), 431);
}

/* Guards against a header that goes on without end, in blanks that are kept nowhere. */
Test(mesh_caller, a_header_of_blanks_ends)
{
	static struct fixture f;
	struct buf b = {0};
	uv_buf_t chunk;

	start_board(&f, BLANKS_PORT);
	set_config(&f, "2000");
	f.board.messages.limit_bytes = 64 * 1024 * 1024;
	cr_assert(caller_server_create(&f.board));
	open_connection(&f);
	buf_append_text(&b, "GET /r/x HTTP/1.1\r\nHost: h\r\nX-Blank: ");
	for (int i = 0; i < 400000; i++)
		buf_append_text(&b, " ");
	chunk = uv_buf_init(b.data, (unsigned int)b.len);
	uv_write(&f.write, (uv_stream_t *)&f.tcp, &chunk, 1, NULL);
	for (int rounds = 0; !f.status && !f.closed && rounds < 10000; rounds++)
		uv_run(f.board.loop, UV_RUN_ONCE);
	cr_assert_eq(f.status, 431);
	buf_free(&b);
}
