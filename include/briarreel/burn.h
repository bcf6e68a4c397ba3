/**
 * @file burn.h
 * Error budget burn rate of each (account, service) over several windows.
 *
 * Burn rate and alert rule follow "The Site Reliability Workbook" (Beyer et al., O'Reilly 2018),
 * chapter 5 "Alerting on SLOs", section "Multiwindow, Multi-Burn-Rate Alerts", table 5-8.
 *
 * Counts are stored in two ring buffers: buckets of 10 s for windows up to 1 h and of 5 min for
 * longer ones, so a window is accurate to one bucket. Memory: 29 KB for each series. Not
 * thread-safe.
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
	/** Burn rate of at least 1 over both 3 days and 6 hours. */
	BR_BURN_TICKET,
	/** At least 14.4 over both 1 h and 5 min, or at least 6 over both 6 h and 30 min. */
	BR_BURN_PAGE,
};

struct br_burn_counts {
	uint64_t good;
	uint64_t bad;
};

/** Key of a series. */
struct br_burn_series {
	const char *account;
	const char *service;
};

/**
 * Creates an empty set of at most max_series series. objective_ppm is the share of requests that
 * must be good, in parts per million, 1 to 999999 (999000 is 99.9%). Returns NULL if it is out of
 * range or if out of memory.
 */
struct br_burn *br_burn_create(uint32_t objective_ppm, uint32_t max_series);
void br_burn_destroy(struct br_burn *b);

/**
 * Adds counts to the bucket of now_us, in monotonic time. Counts older than the stored range are
 * ignored. Returns 0, or -ENOSPC if there are too many series or out of memory.
 */
int br_burn_add(struct br_burn *b, const struct br_burn_series *s, uint64_t good, uint64_t bad,
		uint64_t now_us);

/** Returns the counts of the window that ends at now_us; zeros if the series is not known. */
struct br_burn_counts br_burn_counts(const struct br_burn *b, const struct br_burn_series *s,
				     enum br_burn_window window, uint64_t now_us);

/**
 * Returns the burn rate: the share of bad requests divided by the allowed share; 0 if there were no
 * requests.
 */
double br_burn_rate(const struct br_burn *b, const struct br_burn_series *s,
		    enum br_burn_window window, uint64_t now_us);

/** Returns the burn rate of counts for an objective; 0 if there are no requests. */
double br_burn_rate_of(struct br_burn_counts c, uint32_t objective_ppm);

/** Returns the alert according to the workbook's table 5-8. */
enum br_burn_alert br_burn_alert(const struct br_burn *b, const struct br_burn_series *s,
				 uint64_t now_us);

/** Returns "ok", "ticket" or "page". */
const char *br_burn_alert_name(enum br_burn_alert alert);
/** Returns "5m", "30m", "1h", "6h" or "3d". */
const char *br_burn_window_name(enum br_burn_window window);
/** Returns the length of a window in microseconds. */
uint64_t br_burn_window_us(enum br_burn_window window);

/**
 * Adds all counts of src to dst. Buckets are matched by age, because the monotonic clocks of two
 * nodes have different origins. Returns 0, or -ENOSPC if some series could not be added.
 */
int br_burn_merge(struct br_burn *dst, uint64_t dst_now_us, const struct br_burn *src,
		  uint64_t src_now_us);

/** Returns the number of series. */
size_t br_burn_n_series(const struct br_burn *b);
/**
 * Returns the series at index i, in the order of their first counts. i must be less than
 * br_burn_n_series(). The strings belong to b.
 */
struct br_burn_series br_burn_series_at(const struct br_burn *b, size_t i);

#endif
