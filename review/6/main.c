/**
 * @file main.c
 * The store comes back from a copy, and the operator takes a key away. See claim.txt.
 */
#include "../stage2/config.h"
#include "../stage2/stage.h"

#include <inttypes.h>
#include <stdio.h>

#define NODES 3
#define READY_MS 15000
#define REVOCATION_MS 5000
/* Requests are judged that are sent this much after the bound. */
#define MARGIN_MS 500
#define OBSERVED_MS 6000

static const char both_keys[] = "[\"key-old-1f6s\",\"key-new-8pjb\"]";
static const char new_key[] = "[\"key-new-8pjb\"]";

static char *make(uint32_t version, const char *keys, int idle_routes, char *out)
{
	return config_write(&(struct config){.version = version,
					     .keys = keys,
					     .rate_per_s = 200,
					     .burst = 200,
					     .read_service = "shop",
					     .idle_routes = idle_routes},
			    out);
}

int main(int argc, char **argv)
{
	static char v1[CONFIG_BYTES], v2[CONFIG_BYTES], v3[CONFIG_BYTES], v4[CONFIG_BYTES];
	uint64_t taken_ms;
	int n_broken = 0, n_served = 0, n = 0;

	stage_start(argc > 1 ? argv[1] : "record.txt", NODES);
	for (int i = 0; i < NODES; i++)
		stage_target(i)->service = "shop";
	stage_put_config(make(1, both_keys, 0, v1));
	stage_start_targets();
	for (int i = 0; i < NODES; i++)
		stage_start_node(i, true);
	for (int i = 0; i < NODES; i++)
		if (!stage_wait_ready(i, READY_MS)) {
			stage_note("node %d is not ready: not run", i + 1);
			stage_stop();
			return CASE_NOT_RUN;
		}
	stage_sleep(6000);
	for (int i = 0; i < NODES; i++)
		n += stage_call(i, "GET", "/read/a", "key-old-1f6s", 4000, NULL) == 200;
	if (n < NODES) {
		stage_note("only %d nodes serve: not run", n);
		stage_stop();
		return CASE_NOT_RUN;
	}
	stage_store_copy();
	stage_sleep(1000);
	stage_put_config(make(4, both_keys, 1, v2));
	stage_sleep(1000);
	stage_put_config(make(7, both_keys, 2, v3));
	stage_sleep(2500);
	make(9, new_key, 2, v4);
	if (stage_trouble()) {
		stage_store_down();
		stage_sleep(1500);
		/* The operator writes its latest again, and the change that it had waiting. */
		stage_store_back(v3, v4);
	} else {
		stage_put_config(v4);
	}
	taken_ms = stage_ms();
	stage_note("operator: the key key-old-1f6s is taken away, acknowledged");
	stage_sleep_until(taken_ms + REVOCATION_MS + MARGIN_MS);
	while (stage_ms() < taken_ms + REVOCATION_MS + MARGIN_MS + OBSERVED_MS) {
		for (int i = 0; i < NODES; i++) {
			int status = stage_call(i, "GET", "/read/a", "key-old-1f6s", 2000, NULL);

			n_broken += status == 200;
			n_served +=
				stage_call(i, "GET", "/read/a", "key-new-8pjb", 2000, NULL) == 200;
		}
		stage_sleep(100);
	}
	stage_note("requests with the key that was taken away, sent later than %d ms after: %d ran",
		   REVOCATION_MS, n_broken);
	stage_note("requests with the other key in the same time: %d served", n_served);
	stage_stop();
	if (n_broken)
		return CASE_BROKEN;
	return n_served ? CASE_HELD : CASE_NOT_RUN;
}
