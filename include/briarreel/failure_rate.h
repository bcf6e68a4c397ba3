/**
 * @file failure_rate.h
 * Recent failure rate of requests: a moving average that decays while there are no results.
 */
#ifndef BRIARREEL_FAILURE_RATE_H
#define BRIARREEL_FAILURE_RATE_H

#include "briarreel/types.h"

/** Failure rate as of updated_us. Must be zeroed before use. */
struct br_failure_rate {
	/** Fraction of requests that failed, from 0 to 1. */
	double rate;
	uint64_t updated_us;
};

/** Records a result; weight (0 to 1) is the weight of this result in the moving average. */
void br_failure_rate_record(struct br_failure_rate *r, bool failed, double weight, uint64_t now_us);

/** Replaces the rate by a given value, from 0 to 1, such as one that another process measured. */
void br_failure_rate_set(struct br_failure_rate *r, double rate, uint64_t now_us);

/** Returns the decayed failure rate, from 0 to 1. */
double br_failure_rate_get(const struct br_failure_rate *r, uint64_t now_us);

#endif
