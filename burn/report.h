/**
 * @file report.h
 * Report of budget burn as a text table or as a self-contained HTML page.
 */
#ifndef BURN_REPORT_H
#define BURN_REPORT_H

#include <stdint.h>
#include <stdio.h>

struct br_burn;

/** Points of the plot that are kept; older ones are thinned out by half when it is full. */
#define REPORT_MAX_POINTS 512

/** Burn rate of the short window at each reading, one line for each series. */
struct report_history {
	uint64_t at_us[REPORT_MAX_POINTS];
	/** n_points rows of max_series values. */
	double *rates;
	uint32_t n_points;
	uint32_t max_series;
};

/** Returns 0 or -ENOMEM. */
int report_history_init(struct report_history *h, uint32_t max_series);
void report_history_free(struct report_history *h);

/** Adds the present burn rates. */
void report_history_add(struct report_history *h, const struct br_burn *b, uint64_t now_us);

/** Writes the table. */
void report_text(FILE *out, const struct br_burn *b, uint64_t now_us);

/** Writes a page with the plot and the table; objective_ppm is printed. */
void report_html(FILE *out, const struct br_burn *b, const struct report_history *h,
		 uint32_t objective_ppm, uint64_t now_us);

#endif
