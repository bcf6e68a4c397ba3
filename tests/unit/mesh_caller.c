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
#include <string.h>

#define PORT 18308
#define REQUESTS 400
#define RUN_MS 4000

static const char config_text[] =
	"{\"version\":\"00000001\",\"resources\":["
	"{\"entryKind\":\"services\",\"metadata\":{\"name\":\"s\"},\"specification\":{}},"
	"{\"entryKind\":\"tenants\",\"metadata\":{\"name\":\"a\"},\"specification\":"
	"{\"apiKeys\":[\"k\"],\"ratePerS\":5,\"burst\":5}},"
	"{\"entryKind\":\"routes\",\"metadata\":{\"name\":\"r\"},\"specification\":"
	"{\"host\":\"h\",\"prefix\":\"/r/\",\"kind\":\"safe\",\"service\":\"s\"}}]}";

struct world {
	struct board board;
	struct mesh_settings settings;
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	struct buf requests;
	uint32_t answers;
	bool closed;
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
	struct world *w = stream->data;

	if (n < 0) {
		w->closed = true;
		uv_stop(w->board.loop);
		return;
	}
	for (ssize_t i = 0; i + 9 <= n; i++)
		w->answers += !memcmp(in->base + i, "HTTP/1.1 ", 9);
	if (w->answers == REQUESTS)
		uv_stop(w->board.loop);
}

static void on_connect(uv_connect_t *req, int status)
{
	struct world *w = req->data;
	uv_buf_t chunk = uv_buf_init(w->requests.data, (unsigned int)w->requests.len);

	cr_assert_eq(status, 0);
	uv_read_start((uv_stream_t *)&w->tcp, on_alloc, on_read);
	uv_write(&w->write, (uv_stream_t *)&w->tcp, &chunk, 1, NULL);
}

static void on_timeout(void *arg)
{
	struct world *w = arg;

	uv_stop(w->board.loop);
}

static void start_board(struct world *w)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port = htons(PORT),
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct br_error err = {0};

	br_copy_text(w->settings.node, sizeof(w->settings.node), "n");
	w->settings.caller_addr = addr;
	w->settings.peer_addr = addr;
	w->settings.target_addr = addr;
	w->settings.mesh_port = PORT + 1;
	w->settings.revocation_ms = 5000;
	w->board.loop = uv_default_loop();
	w->board.settings = &w->settings;
	w->board.confirmed_us = clock_now_us();
	br_rng_seed(&w->board.rng, 1);
	w->board.balance = br_balance_create(0);
	w->board.members = members_create(&w->board);
	w->board.target = target_create(&w->board, on_changed, NULL);
	w->board.quota = quota_create(&w->board, keeper_link_create(&w->board));
	w->board.config = platform_decode_config(config_text, strlen(config_text), &err);
	cr_assert(w->board.config);
	/* A keeper that does not answer leaves requests waiting for their tokens. */
	quota_set_keeper(w->board.quota, "other", &addr, 0);
}

/*
 * Guards against requests beyond the pipeline's bound that get neither an answer nor the end of the
 * connection, after which their caller would send them again.
 */
Test(mesh_caller, a_long_pipeline_is_answered_or_closed)
{
	static struct world w;

	start_board(&w);
	cr_assert(caller_server_create(&w.board));
	for (int i = 0; i < REQUESTS; i++)
		buf_printf(
			&w.requests,
			"GET /r/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: i%d\r\nApi-Key: k\r\n\r\n",
			i);
	uv_tcp_init(w.board.loop, &w.tcp);
	w.tcp.data = &w;
	w.connect.data = &w;
	uv_tcp_connect(&w.connect, &w.tcp, (const struct sockaddr *)&w.settings.caller_addr,
		       on_connect);
	timer_start(w.board.loop, RUN_MS, on_timeout, &w);
	uv_run(w.board.loop, UV_RUN_DEFAULT);
	cr_assert_gt(w.answers, 0);
	cr_assert(w.closed || w.answers == REQUESTS, "%u answers, still open", w.answers);
}
