/**
 * @file limiter.h
 * Adaptive concurrency limit of one target, based on measured service times and shed signals.
 *
 * The limit grows in small steps while it is in use and service times stay near those measured
 * without congestion. It is decreased multiplicatively when service times rise or the target sheds.
 *
 * Each class of request has a baseline, the mean logarithm of its service times without congestion.
 * The reference is the mean excess over the baselines that is accepted as normal. Both are updated
 * by probes, short phases at three quarters of the limit. Only an excess beyond the reference and
 * the sampling error counts, so that a mix of long and short requests is not mistaken for overload.
 *
 * Decreases that do not shorten the service times are undone. An excess at or below the limit at
 * which the reference was measured raises the reference, because the target is then slow for
 * another reason than concurrency. Not thread-safe; the caller locks.
 */
#ifndef BRIARREEL_LIMITER_H
#define BRIARREEL_LIMITER_H

#include "briarreel/types.h"

struct br_limiter;

/**
 * Creates a limiter. start is the initial limit; min and max bound the limit. Returns NULL if out
 * of memory or unless 1 <= min <= start <= max.
 */
struct br_limiter *br_limiter_create(uint32_t start, uint32_t min, uint32_t max);

void br_limiter_destroy(struct br_limiter *l);

/**
 * Sets the number of slots (concurrent requests) that the target announces; 0 removes the hint. The
 * number may be wrong by a factor of two, so the limit is capped at twice the announced slots.
 * Further effects: the first hint during the initial fast growth lowers the limit to the announced
 * slots, fast growth ends at them, and for a target of few slots the limit of a probe is rounded.
 */
void br_limiter_set_hint(struct br_limiter *l, uint32_t slots);

/** Records the number of requests in flight at the target; call after each dispatch. */
void br_limiter_record_in_flight(struct br_limiter *l, uint32_t in_flight);

/**
 * Adds the result of one finished request, and may start or end a probe and change the limit. Sheds
 * during a probe and while samples are ignored after a change of the limit have no effect.
 *
 * @param class      requests with similar service times have the same class, such as the hash of
 *                   their route; 0 if unknown
 * @param service_us time from dispatch to the complete answer; ignored if 0 (no answer) or if shed
 * @param shed       the target refused the request as overloaded
 */
void br_limiter_sample(struct br_limiter *l, uint32_t class, uint64_t service_us, bool shed,
		       uint64_t now_us);

/**
 * Returns the current limit, in requests in flight; three quarters of it during a probe. Call again
 * after each br_limiter_sample().
 */
uint32_t br_limiter_limit(const struct br_limiter *l);

/**
 * Resets the limit to its start value and discards all measurements, but keeps the hint. Call after
 * the target was replaced or restarted.
 */
void br_limiter_reset(struct br_limiter *l);

#endif
