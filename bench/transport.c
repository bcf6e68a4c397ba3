/*
 * Round-trip times of the two transports between nodes: HTTP over kept-alive CivetWeb
 * connections, and nng REQ/REP. Eight client threads, one connection each, on loopback.
 */
#include "briarreel/error.h"
#include "common/clock.h"
#include "common/http_client.h"
#include "common/http_server.h"

#include <civetweb.h>
#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define THREADS 8
#define CALLS_PER_THREAD 5000
#define REP_CONTEXTS 8
#define MESSAGE_BYTES 256

static uint32_t times_us[THREADS * CALLS_PER_THREAD];
static char http_address[32];
static struct http_pool *pool;
static nng_socket rep_socket;
static char rep_url[64];

static void handle_http(struct mg_connection *conn, void *user_data)
{
	char *body;
	size_t len;

	(void)user_data;
	if (!http_server_read_body(conn, 1 << 20, &body, &len)) {
		http_server_reply(
			conn, &(struct http_reply){.status = 200, .body = body, .body_len = len});
		free(body);
	}
}

static void *call_http(void *arg)
{
	uint32_t *out = arg;
	char body[MESSAGE_BYTES] = "x";
	struct http_request req = {
		.method = "POST", .target = "/x", .body = body, .body_len = sizeof(body)};

	for (int i = 0; i < CALLS_PER_THREAD; i++) {
		struct http_response resp;
		struct br_error err;
		uint64_t start_us = clock_now_us();

		if (http_pool_exchange(pool, http_address, &req, 1000, &resp, &err)) {
			fprintf(stderr, "http: %s\n", err.detail);
			exit(1);
		}
		out[i] = (uint32_t)(clock_now_us() - start_us);
		http_response_free(&resp);
	}
	return NULL;
}

static void *serve_nng(void *arg)
{
	nng_ctx ctx;
	nng_aio *aio;

	(void)arg;
	nng_ctx_open(&ctx, rep_socket);
	nng_aio_alloc(&aio, NULL, NULL);
	for (;;) {
		nng_msg *msg;

		nng_ctx_recv(ctx, aio);
		nng_aio_wait(aio);
		if (nng_aio_result(aio))
			break;
		msg = nng_aio_get_msg(aio);
		nng_aio_set_msg(aio, msg);
		nng_ctx_send(ctx, aio);
		nng_aio_wait(aio);
	}
	nng_aio_free(aio);
	return NULL;
}

static void *call_nng(void *arg)
{
	uint32_t *out = arg;
	nng_socket s;
	char body[MESSAGE_BYTES] = "x";

	nng_req0_open(&s);
	nng_dial(s, rep_url, NULL, 0);
	for (int i = 0; i < CALLS_PER_THREAD; i++) {
		uint64_t start_us = clock_now_us();
		void *reply;
		size_t len;

		if (nng_send(s, body, sizeof(body), 0) ||
		    nng_recv(s, &reply, &len, NNG_FLAG_ALLOC)) {
			fprintf(stderr, "nng: call failed\n");
			exit(1);
		}
		out[i] = (uint32_t)(clock_now_us() - start_us);
		nng_free(reply, len);
	}
	nng_close(s);
	return NULL;
}

static int compare_u32(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

static void run_clients(const char *name, void *(*call)(void *))
{
	pthread_t threads[THREADS];
	size_t n = THREADS * CALLS_PER_THREAD;

	for (int i = 0; i < THREADS; i++)
		pthread_create(&threads[i], NULL, call, times_us + (size_t)i * CALLS_PER_THREAD);
	for (int i = 0; i < THREADS; i++)
		pthread_join(threads[i], NULL);
	qsort(times_us, n, sizeof(times_us[0]), compare_u32);
	printf("%-5s round trip: median %u us, p99 %u us\n", name, times_us[n / 2],
	       times_us[n * 99 / 100]);
}

int main(void)
{
	struct http_server_config cfg = {
		.listen = "127.0.0.1:0", .workers = 32, .keep_alive_ms = 10000};
	struct http_pool_config pool_cfg = {.max_idle_per_peer = 16,
					    .max_idle_ms = 5000,
					    .connect_timeout_ms = 500,
					    .max_body_bytes = 1 << 20};
	struct br_error err;
	struct http_server *srv = http_server_create(&cfg, handle_http, NULL, &err);
	pthread_t rep_threads[REP_CONTEXTS];
	nng_listener listener;
	int port = 0;

	if (!srv)
		return 1;
	snprintf(http_address, sizeof(http_address), "127.0.0.1:%d", http_server_port(srv));
	pool = http_pool_create(&pool_cfg);
	run_clients("http", call_http);

	nng_rep0_open(&rep_socket);
	if (nng_listen(rep_socket, "tcp://127.0.0.1:0", &listener, 0) ||
	    nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port))
		return 1;
	snprintf(rep_url, sizeof(rep_url), "tcp://127.0.0.1:%d", port);
	for (int i = 0; i < REP_CONTEXTS; i++)
		pthread_create(&rep_threads[i], NULL, serve_nng, NULL);
	run_clients("nng", call_nng);
	nng_close(rep_socket);
	for (int i = 0; i < REP_CONTEXTS; i++)
		pthread_join(rep_threads[i], NULL);
	http_pool_destroy(pool);
	http_server_destroy(srv);
	return 0;
}
