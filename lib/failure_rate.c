#include "briarreel/failure_rate.h"

/* The part counts half after this time without a result, so that what has recovered is found. */
#define HALF_US (2.0 * BR_US_PER_S)

double br_failure_rate_get(const struct br_failure_rate *r, uint64_t now_us)
{
	double age_us = now_us > r->at_us ? (double)(now_us - r->at_us) : 0;

	return r->part * HALF_US / (HALF_US + age_us);
}

void br_failure_rate_note(struct br_failure_rate *r, bool failed, double weight, uint64_t now_us)
{
	double part = br_failure_rate_get(r, now_us);

	br_failure_rate_set(r, part + ((failed ? 1 : 0) - part) * weight, now_us);
}

void br_failure_rate_set(struct br_failure_rate *r, double part, uint64_t now_us)
{
	r->part = part;
	r->at_us = now_us;
}
