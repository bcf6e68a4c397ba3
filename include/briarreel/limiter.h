/**
 * @file limiter.h
 * Adaptive concurrency limit of one target, from measured service times and shed signals.
 *
 * Small increases while the limit is in use and service times stay near a reference without
 * congestion; multiplicative decrease when they rise or the target sheds. The reference is measured
 * in short phases at three quarters of the limit, per class of request, on logarithms of service
 * times; a rise counts only beyond the sampling error, so that a mix of long and short requests is
 * not taken for overload. Decreases that do not shorten the service times are undone, and a rise
 * at or below the limit of the reference is taken into it: the target is then slow for another
 * reason than concurrency. Not thread-safe; the caller locks.
 */
#ifndef BRIARREEL_LIMITER_H
#define BRIARREEL_LIMITER_H

#include "briarreel/types.h"

struct br_limiter;

/**
 * Creates a limiter. start is the limit after a cold start, min the floor (at least 1) and max the
 * ceiling. Returns NULL if memory is short or not 1 <= min <= start <= max.
 */
struct br_limiter *br_limiter_create(uint32_t start, uint32_t min, uint32_t max);

void br_limiter_destroy(struct br_limiter *l);

/**
 * Notes the slots that the target announces; 0 withdraws the hint. The figure may be wrong by a
 * factor of two, so it only caps the limit at twice the announced slots.
 */
void br_limiter_set_hint(struct br_limiter *l, uint32_t slots);

/** Notes the requests in flight at the target, after each dispatch. */
void br_limiter_note_in_flight(struct br_limiter *l, uint32_t in_flight);

/**
 * Adds the end of one request.
 *
 * @param class      requests with similar service times have the same class, such as the hash of
 *                   their route; 0 if unknown
 * @param service_us time from dispatch to the whole answer; ignored if 0 (no answer) or if shed
 * @param shed       the target refused the request as overloaded
 */
void br_limiter_sample(struct br_limiter *l, uint32_t class, uint64_t service_us, bool shed,
		       uint64_t now_us);

/** The limit, in requests in flight. */
uint32_t br_limiter_limit(const struct br_limiter *l);

/** Back to the start value with no memory, after the target was replaced or restarted. */
void br_limiter_reset(struct br_limiter *l);

#endif
