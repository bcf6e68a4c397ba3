/**
 * @file main.c
 * A node is restarted after it has acknowledged that its target leaves, while the target's health
 * answers are false. See claim.txt.
 */
#include "../stage2/config.h"
#include "../stage2/stage.h"

#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define NODES 9
#define LEAVER (NODES - 1)
#define READY_MS 15000
#define DRAIN_MS 2000
/* A node is in touch again this long after its start. */
#define STABLE_MS 3000
#define LIES_MS 6000
#define SERVES_ON_MS 12000
#define STOP_MS 6500
/* Pause between the end of the process and its start. */
#define RESTART_MS 300

static const char keys[] = "[\"key-north-1f6s\"]";
static uint64_t until_ms;

/* Callers of the nodes that nothing happens to. */
static void *call_steadily(void *arg)
{
	int node = (int)(intptr_t)arg;

	while (stage_ms() < until_ms) {
		stage_call(node, "GET", "/read/a", "key-north-1f6s", 2000, NULL);
		stage_sleep(20);
	}
	return NULL;
}

static int not_run(const char *why)
{
	stage_note("%s: not run", why);
	stage_stop();
	return CASE_NOT_RUN;
}

int main(int argc, char **argv)
{
	static char text[CONFIG_BYTES];
	struct target *t = stage_target(LEAVER);
	pthread_t callers[NODES];
	const struct run *runs;
	uint64_t acked_ms, started_ms, from_ms;
	int n, n_before = 0, n_late = 0;

	stage_start(argc > 1 ? argv[1] : "record.txt", NODES);
	for (int i = 0; i < NODES; i++)
		stage_target(i)->service = "shop";
	stage_put_config(config_write(&(struct config){.version = 1,
						       .keys = keys,
						       .rate_per_s = 2000,
						       .burst = 2000,
						       .read_service = "shop"},
				      text));
	stage_start_targets();
	for (int i = 0; i < NODES; i++)
		stage_start_node(i, true);
	for (int i = 0; i < NODES; i++)
		if (!stage_wait_ready(i, READY_MS))
			return not_run("a node is not ready");
	stage_sleep(6000);
	until_ms = stage_ms() + 2000 + SERVES_ON_MS;
	for (int i = 0; i < LEAVER; i++)
		pthread_create(&callers[i], NULL, call_steadily, (void *)(intptr_t)i);
	stage_sleep(2000);
	t->silent = true;
	t->health_lies = stage_trouble();
	t->leaving = true;
	if (stage_target_leave(LEAVER) != 200)
		return not_run("the leaving is not acknowledged");
	acked_ms = stage_ms();
	stage_note("node %d has acknowledged that its target %s leaves", LEAVER + 1, t->id);
	/* Planned work: the node is stopped and started again on its own. */
	stage_sleep(200);
	stage_note("node %d gets SIGTERM", LEAVER + 1);
	stage_signal_node(LEAVER, SIGTERM);
	while (!stage_node_ended(LEAVER) && stage_ms() < acked_ms + STOP_MS)
		stage_sleep(20);
	if (!stage_node_ended(LEAVER))
		return not_run("the node has not stopped");
	stage_sleep(RESTART_MS);
	stage_start_node(LEAVER, false);
	started_ms = stage_ms();
	stage_note("node %d starts again", LEAVER + 1);
	stage_sleep_until(acked_ms + LIES_MS);
	if (t->health_lies)
		stage_note("the target's health answers are true again");
	t->health_lies = false;
	for (int i = 0; i < LEAVER; i++)
		pthread_join(callers[i], NULL);
	t->ended = true;
	from_ms = acked_ms + DRAIN_MS;
	if (from_ms < started_ms + STABLE_MS)
		from_ms = started_ms + STABLE_MS;
	runs = stage_runs(&n);
	for (int i = 0; i < n; i++) {
		n_before += runs[i].node == LEAVER && runs[i].at_ms < acked_ms;
		n_late += runs[i].node == LEAVER && runs[i].at_ms > from_ms;
	}
	stage_note("requests at the leaving target: %d before; %d later than %" PRIu64
		   " ms after the acknowledgement",
		   n_before, n_late, from_ms - acked_ms);
	stage_stop();
	if (n_late)
		return CASE_BROKEN;
	return n_before ? CASE_HELD : CASE_NOT_RUN;
}
