/**
 * @file main.c
 * The store comes back from a copy that names an earlier keeper, during planned restarts. See claim.txt.
 */
#include "../stage2/config.h"
#include "../stage2/stage.h"

#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>

#define NODES 3
#define READY_MS 15000
#define RATE_PER_S 56.0
#define BURST 56.0
#define WINDOW_MS 5000
#define OVERAGE 0.1
#define SLACK 20
#define CALLERS_PER_NODE 12
#define PRESS_MS 9000
/* Pause between the end of a process and its start. */
#define RESTART_MS 1500

static const char keys[] = "[\"key-north-1f6s\"]";
static uint64_t press_until_ms;

static char *make(uint32_t version, int idle_routes, char *out)
{
	return config_write(&(struct config){.version = version,
					     .keys = keys,
					     .rate_per_s = RATE_PER_S,
					     .burst = BURST,
					     .read_service = "shop",
					     .idle_routes = idle_routes},
			    out);
}

/* One caller that sends many times its usual; it heeds no Retry-After. */
static void *press(void *arg)
{
	int node = (int)(intptr_t)arg;

	while (stage_ms() < press_until_ms) {
		stage_call(node, "GET", "/read/a", "key-north-1f6s", 1000, NULL);
		stage_sleep(80);
	}
	return NULL;
}

static int not_run(const char *why)
{
	stage_note("%s: not run", why);
	stage_stop();
	return CASE_NOT_RUN;
}

/* Largest number of runs of requests sent and run within one window. */
static int largest_window(uint64_t from_ms, uint64_t *at_ms)
{
	int n, most = 0;
	const struct run *runs = stage_runs(&n);

	for (int i = 0; i < n; i++) {
		int in = 0;

		if (runs[i].at_ms < from_ms)
			continue;
		for (int k = i; k < n && runs[k].at_ms < runs[i].at_ms + WINDOW_MS; k++) {
			const struct call *c = stage_find_call(runs[k].id);

			in += c && c->sent_ms >= runs[i].at_ms - 1000;
		}
		if (in > most) {
			most = in;
			*at_ms = runs[i].at_ms;
		}
	}
	return most;
}

/* Starts a node again after its stop. */
static bool restart_if_ended(int node)
{
	if (!stage_node_ended(node))
		return false;
	stage_sleep(RESTART_MS);
	stage_start_node(node, false);
	stage_note("node %d starts again", node + 1);
	return true;
}

int main(int argc, char **argv)
{
	static char text[CONFIG_BYTES];
	pthread_t callers[NODES * CALLERS_PER_NODE];
	uint64_t at_ms = 0, from_ms;
	double bound = (RATE_PER_S * WINDOW_MS / 1000 + BURST) * (1 + OVERAGE) + SLACK;
	int most, keeper, next, n = 0;
	bool restarted = false;

	stage_start(argc > 1 ? argv[1] : "record.txt", NODES);
	for (int i = 0; i < NODES; i++)
		stage_target(i)->service = "shop";
	stage_put_config(make(1, 0, text));
	stage_start_targets();
	/* Node 1 starts alone at first, so that it is the first keeper. */
	stage_start_node(0, true);
	stage_sleep(2500);
	stage_start_node(1, true);
	stage_start_node(2, true);
	for (int i = 0; i < NODES; i++)
		if (!stage_wait_ready(i, READY_MS))
			return not_run("a node is not ready");
	stage_sleep(6000);
	stage_store_copy();
	/* The operator restarts the nodes in turn and changes the configuration meanwhile. */
	stage_note("node 1, the keeper, gets SIGTERM");
	stage_signal_node(0, SIGTERM);
	for (int v = 2; v <= 8; v++) {
		stage_sleep(500);
		stage_put_config(make((uint32_t)v, v, text));
		restarted = restarted || restart_if_ended(0);
	}
	stage_sleep(1500);
	if (!restarted && !restart_if_ended(0))
		return not_run("node 1 has not stopped");
	if (!stage_wait_ready(0, READY_MS))
		return not_run("node 1 is not ready");
	keeper = stage_keeper();
	if (keeper != 1 && keeper != 2)
		return not_run("neither node 2 nor node 3 is keeper");
	next = 3 - keeper;
	stage_note("node %d is keeper now", keeper + 1);
	if (stage_trouble()) {
		stage_store_down();
		stage_sleep(1000);
		stage_store_back(text, NULL);
	} else {
		stage_sleep(1000);
	}
	stage_sleep(4000);
	stage_note("node %d gets SIGTERM", next + 1);
	stage_signal_node(next, SIGTERM);
	for (int i = 0; i < 80 && !stage_node_ended(next); i++)
		stage_sleep(100);
	if (!restart_if_ended(next) || !stage_wait_ready(next, READY_MS))
		return not_run("the node has not restarted");
	stage_sleep(10000);
	for (int i = 0; i < NODES; i++)
		n += stage_call(i, "GET", "/read/a", "key-north-1f6s", 4000, NULL) == 200;
	if (n < NODES)
		return not_run("not all nodes serve");
	stage_sleep(8000);
	stage_note("the tenant sends many times its usual at all nodes");
	from_ms = stage_ms();
	press_until_ms = from_ms + PRESS_MS;
	for (int i = 0; i < NODES * CALLERS_PER_NODE; i++)
		pthread_create(&callers[i], NULL, press, (void *)(intptr_t)(i % NODES));
	for (int i = 0; i < NODES * CALLERS_PER_NODE; i++)
		pthread_join(callers[i], NULL);
	most = largest_window(from_ms, &at_ms);
	stage_note("largest window of %d ms, at %" PRIu64 " ms: %d requests ran, %.1f may",
		   WINDOW_MS, at_ms, most, bound);
	stage_stop();
	return most > bound ? CASE_BROKEN : CASE_HELD;
}
