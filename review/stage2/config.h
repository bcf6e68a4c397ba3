/**
 * @file config.h
 * Texts of the operator's configuration.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include <stdint.h>

#define CONFIG_BYTES 8192

struct config {
	uint32_t version;
	/** Keys of the tenant, as a JSON list. */
	const char *keys;
	double rate_per_s, burst;
	/** Service of the route "/read/"; that of "/book/", which is unsafe, is always "shop". */
	const char *read_service;
	/**
	 * Weights of "shop" and "ledger" for the route "/read/", as JSON numbers; NULL for the
	 * one service read_service.
	 */
	const char *shop_weight, *ledger_weight;
	/** Further routes that no caller uses. */
	int idle_routes;
	/** Adds the services "s1", "s2" and so on, each with a safe route "/s1/" and so on. */
	int n_more_services;
	/** A second tenant and its keys, as a JSON list; NULL for none. */
	const char *more_tenant, *more_keys;
};

/** Writes the configuration to out (CONFIG_BYTES) and returns it. */
char *config_write(const struct config *c, char *out);

#endif
