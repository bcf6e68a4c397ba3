/**
 * @file report.h
 * Writes the error budget burn as a text table or as a self-contained HTML page.
 */
#ifndef BURN_REPORT_H
#define BURN_REPORT_H

#include <stdint.h>
#include <stdio.h>

struct br_burn;

/** Maximum number of points of the plot. When it is reached, every second point is removed. */
#define REPORT_MAX_POINTS 512

/** Burn rate of each series over 5 minutes at each reading. */
struct report_history {
	uint64_t at_us[REPORT_MAX_POINTS];
	/** n_points rows of max_series values. */
	double *rates;
	uint32_t n_points;
	uint32_t max_series;
};

/** Initialises a history of at most max_series series. Returns 0 or -ENOMEM. */
int report_history_init(struct report_history *h, uint32_t max_series);

/** Frees the memory of a history. */
void report_history_free(struct report_history *h);

/** Appends the burn rates at now_us. */
void report_history_add(struct report_history *h, const struct br_burn *b, uint64_t now_us);

/** Writes the text table and flushes out. */
void report_text(FILE *out, const struct br_burn *b, uint64_t now_us);

/** Writes the HTML page with plot and table; objective_ppm is only printed. */
void report_html(FILE *out, const struct br_burn *b, const struct report_history *h,
		 uint32_t objective_ppm, uint64_t now_us);

#endif
