/**
 * @file main.c
 * The operator splits a route by weights that are fractions, and then takes a key away. See claim.txt.
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
#define OBSERVED_MS 5000

static const char both_keys[] = "[\"key-old-1f6s\",\"key-new-8pjb\"]";
static const char new_key[] = "[\"key-new-8pjb\"]";

static char *make(uint32_t version, const char *keys, const char *shop, const char *ledger,
		  char *out)
{
	return config_write(&(struct config){.version = version,
					     .keys = keys,
					     .rate_per_s = 200,
					     .burst = 200,
					     .read_service = "shop",
					     .shop_weight = shop,
					     .ledger_weight = ledger},
			    out);
}

int main(int argc, char **argv)
{
	const char *shop = stage_trouble() ? "0.9" : "9", *ledger = stage_trouble() ? "0.1" : "1";
	static char text[CONFIG_BYTES];
	int n_broken = 0, n_served = 0;
	uint64_t taken_ms;

	stage_start(argc > 1 ? argv[1] : "record.txt", NODES);
	stage_target(0)->service = "shop";
	stage_target(1)->service = "shop";
	stage_target(2)->service = "ledger";
	stage_put_config(make(1, both_keys, NULL, NULL, text));
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
	stage_note("operator: the route is split by the weights %s and %s", shop, ledger);
	stage_put_config(make(4, both_keys, shop, ledger, text));
	stage_sleep(3000);
	stage_note("operator: the key key-old-1f6s is taken away");
	stage_put_config(make(5, new_key, shop, ledger, text));
	taken_ms = stage_ms();
	stage_sleep_until(taken_ms + REVOCATION_MS + MARGIN_MS);
	while (stage_ms() < taken_ms + REVOCATION_MS + MARGIN_MS + OBSERVED_MS) {
		for (int i = 0; i < NODES; i++) {
			n_broken +=
				stage_call(i, "GET", "/read/a", "key-old-1f6s", 2000, NULL) == 200;
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
