/**
 * @file histogram.h
 * Histogram of durations with fixed bucket bounds, written in the Prometheus text format.
 */
#ifndef MESH_HISTOGRAM_H
#define MESH_HISTOGRAM_H

#include "net/buf.h"

#include <stdint.h>

/** Number of buckets with an upper bound; one more bucket counts longer durations. */
#define HISTOGRAM_BOUNDS 16

/** Must be zeroed before use. */
struct histogram {
	uint64_t counts[HISTOGRAM_BOUNDS + 1];
	uint64_t sum_us;
};

void histogram_record(struct histogram *h, uint64_t time_us);

/**
 * Estimates the given quantile (per mille) of the durations, as if they were spread evenly over each
 * bucket; 0 if there are none, the last bound for longer ones.
 */
uint64_t histogram_quantile_us(const struct histogram *h, uint32_t permille);

/** Appends the samples in seconds; label is empty or a pair like outcome="answered". */
void histogram_write(const struct histogram *h, const char *name, const char *label,
		     struct buf *out);

#endif
