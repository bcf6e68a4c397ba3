/**
 * @file main.c
 * The operator adds a tenant whose name has a blank. See claim.txt.
 */
#include "../stage2/config.h"
#include "../stage2/stage.h"

#include <stdio.h>
#include <string.h>

#define NODES 2
#define READY_MS 15000
#define REQUESTS 20

static char *make(uint32_t version, const char *tenant, char *out)
{
	return config_write(&(struct config){.version = version,
					     .keys = "[\"key-north-1f6s\"]",
					     .rate_per_s = 500,
					     .burst = 500,
					     .read_service = "shop",
					     .more_tenant = tenant,
					     .more_keys = "[\"key-added-8pjb\"]"},
			    out);
}

int main(int argc, char **argv)
{
	const char *tenant = stage_trouble() ? "north shop" : "north-shop";
	static char text[CONFIG_BYTES];
	int n, n_wrong = 0, n_right = 0;
	const struct run *runs;

	stage_start(argc > 1 ? argv[1] : "record.txt", NODES);
	stage_target(0)->service = "ledger";
	stage_target(1)->service = "shop";
	stage_put_config(make(1, NULL, text));
	stage_start_targets();
	for (int i = 0; i < NODES; i++)
		stage_start_node(i, true);
	for (int i = 0; i < NODES; i++) {
		if (stage_wait_ready(i, READY_MS))
			continue;
		stage_note("node %d is not ready: not run", i + 1);
		stage_stop();
		return CASE_NOT_RUN;
	}
	stage_sleep(6000);
	stage_put_config(make(4, tenant, text));
	stage_sleep(3000);
	for (int i = 0; i < REQUESTS; i++)
		stage_call(0, "GET", "/read/a", "key-added-8pjb", 2000, NULL);
	runs = stage_runs(&n);
	for (int i = 0; i < n; i++) {
		bool right = !strcmp(runs[i].account, tenant) && !strcmp(runs[i].caller, "ledger");

		if (!right && !n_wrong)
			stage_note("request %s of tenant \"%s\" from a machine of \"ledger\" runs "
				   "with X-Tenant \"%s\" and X-Caller-Service \"%s\"",
				   runs[i].id, tenant, runs[i].account, runs[i].caller);
		n_wrong += !right;
		n_right += right;
	}
	stage_note("runs with another tenant or calling service: %d; with the right ones: %d",
		   n_wrong, n_right);
	stage_stop();
	if (n_wrong)
		return CASE_BROKEN;
	return n_right ? CASE_HELD : CASE_NOT_RUN;
}
