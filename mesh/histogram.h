/**
 * @file histogram.h
 * Times in buckets with fixed bounds, written in the text exposition format.
 */
#ifndef MESH_HISTOGRAM_H
#define MESH_HISTOGRAM_H

#include "net/buf.h"

#include <stdint.h>

/** Buckets with a bound; one more takes what is longer. */
#define HISTOGRAM_BOUNDS 14

/** Zero it before use. */
struct histogram {
	uint64_t counts[HISTOGRAM_BOUNDS + 1];
	uint64_t sum_us;
};

void histogram_note(struct histogram *h, uint64_t time_us);

/** Writes the samples in seconds; label is empty or like outcome="answered". */
void histogram_write(const struct histogram *h, const char *name, const char *label,
		     struct buf *out);

#endif
