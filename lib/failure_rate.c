#include "briarreel/failure_rate.h"

/*
 * Time without a result after which the rate is halved. The decay lets a recovered target get
 * requests again.
 */
#define HALVING_TIME_US (2.0 * BR_US_PER_S)

double br_failure_rate_get(const struct br_failure_rate *r, uint64_t now_us)
{
	double age_us = now_us > r->updated_us ? (double)(now_us - r->updated_us) : 0;

	return r->rate * HALVING_TIME_US / (HALVING_TIME_US + age_us);
}

void br_failure_rate_record(struct br_failure_rate *r, bool failed, double weight, uint64_t now_us)
{
	double rate = br_failure_rate_get(r, now_us);

	br_failure_rate_set(r, rate + ((failed ? 1 : 0) - rate) * weight, now_us);
}

void br_failure_rate_set(struct br_failure_rate *r, double rate, uint64_t now_us)
{
	r->rate = rate;
	r->updated_us = now_us;
}
