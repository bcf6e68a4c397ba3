/**
 * @file hop.c
 * Time that the node adds to a call: the target called directly, through its own node and through
 * another node, in turns and one at a time: bench_hop DIRECT ONE_HOP TWO_HOP KEY PATH CALLS OUT
 */
#include "briarreel/error.h"
#include "common/clock.h"
#include "common/http_client.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>

#define WAYS 3
#define WARMUP_CALLS 100
/* Between calls, so that no call waits for what the one before left to do. */
#define PAUSE_MS 1
#define TIMEOUT_MS 2000

struct way {
	const char *name;
	const char *peer;
	uint32_t *us;
	uint32_t n;
	uint32_t failed;
};

static int compare_u32(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static double quantile_ms(const struct way *w, double q)
{
	return w->n ? w->us[(size_t)(q * (w->n - 1))] / 1000.0 : 0;
}

static void call(struct http_pool *pool, struct way *w, const char *key, const char *path,
		 bool count)
{
	struct http_request req = {.method = "GET", .target = path};
	struct http_response resp;
	struct br_error err = {0};
	char auth[160];
	uint64_t start_us;

	snprintf(auth, sizeof(auth), "Bearer %s", key);
	http_request_add(&req, "Authorization", auth);
	start_us = clock_now_us();
	if (http_pool_exchange(pool, w->peer, &req, TIMEOUT_MS, &resp, &err)) {
		w->failed += count;
		return;
	}
	if (count && resp.status == 200)
		w->us[w->n++] = (uint32_t)(clock_now_us() - start_us);
	else if (count)
		w->failed++;
	http_response_free(&resp);
}

static void add_number(struct json_object *o, const char *way, const char *what, double value)
{
	char key[64];

	snprintf(key, sizeof(key), "%s_%s", way, what);
	json_object_object_add(o, key, json_object_new_double(value));
}

int main(int argc, char **argv)
{
	struct way ways[WAYS] = {{.name = "direct"}, {.name = "one_hop"}, {.name = "two_hop"}};
	struct json_object *o = json_object_new_object();
	struct http_pool *pool;
	long calls;

	if (argc != 8) {
		fprintf(stderr, "usage: %s DIRECT ONE_HOP TWO_HOP KEY PATH CALLS OUT\n", argv[0]);
		return 2;
	}
	calls = strtol(argv[6], NULL, 10);
	if (calls < 1 || calls > 100000)
		return 2;
	for (int i = 0; i < WAYS; i++) {
		ways[i].peer = argv[1 + i];
		ways[i].us = calloc((size_t)calls, sizeof(ways[i].us[0]));
		if (!ways[i].us)
			abort();
	}
	pool = http_pool_create(&(struct http_pool_config){.max_idle_per_peer = 4,
							   .max_idle_ms = 5000,
							   .connect_timeout_ms = 1000,
							   .max_body_bytes = 1U << 20});
	for (long n = -WARMUP_CALLS; n < calls; n++) {
		for (int i = 0; i < WAYS; i++) {
			call(pool, &ways[(n + i + WARMUP_CALLS) % WAYS], argv[4], argv[5], n >= 0);
			clock_sleep_ms(PAUSE_MS);
		}
	}
	http_pool_destroy(pool);
	for (int i = 0; i < WAYS; i++) {
		qsort(ways[i].us, ways[i].n, sizeof(ways[i].us[0]), compare_u32);
		add_number(o, ways[i].name, "calls", ways[i].n);
		add_number(o, ways[i].name, "failed", ways[i].failed);
		add_number(o, ways[i].name, "p50_ms", quantile_ms(&ways[i], 0.5));
		add_number(o, ways[i].name, "p99_ms", quantile_ms(&ways[i], 0.99));
	}
	for (int i = 1; i < WAYS; i++) {
		char name[32];

		snprintf(name, sizeof(name), "added_%s", ways[i].name);
		add_number(o, name, "p50_ms",
			   quantile_ms(&ways[i], 0.5) - quantile_ms(&ways[0], 0.5));
		add_number(o, name, "p99_ms",
			   quantile_ms(&ways[i], 0.99) - quantile_ms(&ways[0], 0.99));
	}
	json_object_to_file_ext(argv[7], o, JSON_C_TO_STRING_PRETTY);
	json_object_put(o);
	for (int i = 0; i < WAYS; i++)
		free(ways[i].us);
	return ways[0].failed + ways[1].failed + ways[2].failed > (uint32_t)calls / 100;
}
