/**
 * @file failure_rate.h
 * Part of the requests that failed lately, as a moving average that fades without requests.
 */
#ifndef BRIARREEL_FAILURE_RATE_H
#define BRIARREEL_FAILURE_RATE_H

#include "briarreel/types.h"

/** Zero it before use. */
struct br_failure_rate {
	double part;
	uint64_t at_us;
};

/** Notes a result; weight, between 0 and 1, is that of this result in the average. */
void br_failure_rate_note(struct br_failure_rate *r, bool failed, double weight, uint64_t now_us);

/** Takes over what another process has measured. */
void br_failure_rate_set(struct br_failure_rate *r, double part, uint64_t now_us);

/** Part that failed, from 0 to 1. */
double br_failure_rate_get(const struct br_failure_rate *r, uint64_t now_us);

#endif
