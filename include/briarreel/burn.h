/**
 * @file burn.h
 * Error budget burn of each (account, service) over several windows.
 *
 * Burn rate and alert rule follow "The Site Reliability Workbook" (Beyer et al., O'Reilly 2018),
 * chapter 5 "Alerting on SLOs", section "Multiwindow, Multi-Burn-Rate Alerts", table 5-8.
 *
 * Counts lie in two rings of buckets: 10 s for windows up to 1 h and 5 min for longer ones, so a
 * window is exact to one bucket. Memory: 29 KB for each series. Not thread-safe.
 */
#ifndef BRIARREEL_BURN_H
#define BRIARREEL_BURN_H

#include "briarreel/types.h"

struct br_burn;

enum br_burn_window {
	BR_BURN_5M,
	BR_BURN_30M,
	BR_BURN_1H,
	BR_BURN_6H,
	BR_BURN_3D,
	BR_BURN_WINDOWS,
};

enum br_burn_alert {
	BR_BURN_OK,
	/** Burn of at least 1 over 3 days and 6 hours. */
	BR_BURN_TICKET,
	/** At least 14.4 over 1 h and 5 min, or at least 6 over 6 h and 30 min. */
	BR_BURN_PAGE,
};

struct br_burn_counts {
	uint64_t good;
	uint64_t bad;
};

/** One (account, service). */
struct br_burn_series {
	const char *account;
	const char *service;
};

/**
 * objective_ppm: share of requests that must be good, in parts per million, 1 to 999999 (999000 is
 * 99.9%). NULL if it is out of range or there is no memory.
 */
struct br_burn *br_burn_create(uint32_t objective_ppm, uint32_t max_series);
void br_burn_destroy(struct br_burn *b);

/** Adds counts to the bucket of now_us. Returns 0, or -ENOSPC if there are too many series. */
int br_burn_add(struct br_burn *b, const struct br_burn_series *s, uint64_t good, uint64_t bad,
		uint64_t now_us);

/** Counts of the window that ends at now_us; zeros if the series is not known. */
struct br_burn_counts br_burn_counts(const struct br_burn *b, const struct br_burn_series *s,
				     enum br_burn_window window, uint64_t now_us);

/** Burn rate: share of bad requests divided by the allowed share; 0 if there were no requests. */
double br_burn_rate(const struct br_burn *b, const struct br_burn_series *s,
		    enum br_burn_window window, uint64_t now_us);

/** Burn rate of counts for an objective. */
double br_burn_rate_of(struct br_burn_counts c, uint32_t objective_ppm);

/** The alert of the workbook's table 5-8. */
enum br_burn_alert br_burn_alert(const struct br_burn *b, const struct br_burn_series *s,
				 uint64_t now_us);

/** "ok", "ticket" or "page". */
const char *br_burn_alert_name(enum br_burn_alert alert);
/** "5m", "30m", "1h", "6h" or "3d". */
const char *br_burn_window_name(enum br_burn_window window);
/** Length of a window. */
uint64_t br_burn_window_us(enum br_burn_window window);

/**
 * Adds all counts of src to dst. Buckets are matched by age, because the clocks of two nodes have
 * no common zero. Returns 0 or -ENOSPC; then some series were not added.
 */
int br_burn_merge(struct br_burn *dst, uint64_t dst_now_us, const struct br_burn *src,
		  uint64_t src_now_us);

/** Number of series and the series at an index, in the order of their first counts. */
size_t br_burn_n_series(const struct br_burn *b);
struct br_burn_series br_burn_series_at(const struct br_burn *b, size_t i);

#endif
