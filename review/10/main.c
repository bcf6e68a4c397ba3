/**
 * @file main.c
 * All machines lose power; the store comes back from a copy that was taken while they started. See
 * claim.txt.
 */
#include "config.h"
#include "stage.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

/* Each node has a target of a service of its own. */
#define NODES 6
#define READY_MS 15000
#define DARK_MS 1400
#define RECOVERY_MS 15000
#define OBSERVED_MS 15000
/* Time from the return of the power to the first report of the targets, whose programs start too. */
#define TARGET_START_MS 4500
#define COPY_AT_MS 3500
#define STORE_AWAY_AT_MS 7500

static const char keys[] = "[\"key-north-1f6s\"]";
static uint64_t until_ms;

/* Sends requests to all services in turn. */
static void *call_steadily(void *arg)
{
	int node = (int)(intptr_t)arg;
	char path[16];

	for (int i = 0; stage_ms() < until_ms; i++) {
		snprintf(path, sizeof(path), "/s%d/a", 1 + i % NODES);
		stage_call(node, "GET", path, "key-north-1f6s", 3000, NULL);
		stage_sleep(100);
	}
	return NULL;
}

static int not_run(const char *why)
{
	stage_note("%s: not run", why);
	stage_stop();
	return CASE_NOT_RUN;
}

/* Percentage of the requests sent in a time that are served; 0 if there are none. */
static int percent_served(uint64_t from_ms, uint64_t to_ms)
{
	int n, sent = 0, served = 0;
	const struct call *calls = stage_calls(&n);

	for (int i = 0; i < n; i++) {
		if (calls[i].sent_ms < from_ms || calls[i].sent_ms >= to_ms)
			continue;
		sent++;
		served += calls[i].status == 200;
	}
	stage_note("requests sent from %" PRIu64 " to %" PRIu64 " ms: %d, served: %d", from_ms,
		   to_ms, sent, served);
	return sent ? served * 100 / sent : 0;
}

static void put_config(uint32_t version, int idle_routes, char *text)
{
	stage_put_config(config_write(&(struct config){.version = version,
						       .keys = keys,
						       .rate_per_s = 500,
						       .burst = 500,
						       .read_service = "shop",
						       .idle_routes = idle_routes,
						       .n_more_services = NODES},
				      text));
}

int main(int argc, char **argv)
{
	static char text[CONFIG_BYTES], names[NODES][8];
	pthread_t callers[NODES];
	uint64_t start_ms, fault_ms, back_ms;
	int before, after;

	stage_start(argc > 1 ? argv[1] : "record.txt", NODES);
	for (int i = 0; i < NODES; i++) {
		snprintf(names[i], sizeof(names[i]), "s%d", i + 1);
		stage_target(i)->service = names[i];
	}
	put_config(1, 0, text);
	stage_start_targets();
	for (int i = 0; i < NODES; i++)
		stage_start_node(i, true);
	for (int i = 0; i < NODES; i++)
		if (!stage_wait_ready(i, READY_MS))
			return not_run("a node is not ready");
	stage_sleep(6000);
	start_ms = stage_ms();
	until_ms = UINT64_MAX;
	for (int i = 0; i < NODES; i++)
		pthread_create(&callers[i], NULL, call_steadily, (void *)(intptr_t)i);
	stage_sleep(6000);
	put_config(3, 1, text);
	fault_ms = stage_ms();
	stage_note("all machines lose power");
	for (int i = 0; i < NODES; i++) {
		stage_kill_node(i);
		stage_target_off(i);
	}
	stage_sleep(DARK_MS);
	for (int i = 0; i < NODES; i++)
		stage_start_node(i, false);
	back_ms = stage_ms();
	stage_note("power is back, the nodes start");
	stage_sleep_until(back_ms + COPY_AT_MS);
	if (stage_trouble())
		stage_store_copy();
	stage_sleep_until(back_ms + TARGET_START_MS);
	for (int i = 0; i < NODES; i++)
		stage_target_on(i);
	stage_note("the targets are up, as new incarnations");
	stage_sleep_until(back_ms + STORE_AWAY_AT_MS);
	if (stage_trouble()) {
		stage_store_down();
		stage_sleep(1000);
		stage_store_back(text, NULL);
	}
	until_ms = back_ms + STORE_AWAY_AT_MS + 1000 + RECOVERY_MS + OBSERVED_MS;
	for (int i = 0; i < NODES; i++)
		pthread_join(callers[i], NULL);
	before = percent_served(start_ms, fault_ms);
	/* The store is back later than the machines: recovery is counted from there. */
	after = percent_served(back_ms + STORE_AWAY_AT_MS + 1000 + RECOVERY_MS, UINT64_MAX);
	stage_note("served before the fault: %d%%, later than the recovery time after it: %d%%",
		   before, after);
	stage_stop();
	if (before < 25)
		return CASE_NOT_RUN;
	return after < 25 ? CASE_BROKEN : CASE_HELD;
}
