/**
 * @file entitlement.h
 * What a holder may grant of an account while the account's rate or burst changes.
 *
 * A change of the burst can move an account to other slots, and holders see it at different times.
 * Parts that shrink do so at once; parts that grow wait until every other holder has seen the
 * change and its leases from before have ended. Not thread safe.
 */
#ifndef BRIARREEL_ENTITLEMENT_H
#define BRIARREEL_ENTITLEMENT_H

#include "briarreel/slot.h"
#include "briarreel/types.h"

/** Rate and burst of an account. */
struct br_entitlement_limits {
	uint64_t rate_mtok_s;
	/** Whole tokens. */
	uint64_t burst;
};

struct br_entitlement;

/**
 * Starts with the limits of an account that this process sees for the first time; these do not wait.
 * delay_us is the time for a change to be in force everywhere plus one lease term, which must be at
 * least as long as that time. NULL if out of memory.
 */
struct br_entitlement *br_entitlement_create(const char *account,
					     const struct br_entitlement_limits *limits,
					     uint64_t delay_us);
void br_entitlement_destroy(struct br_entitlement *e);

/**
 * Notes the limits in force now; does nothing if they are the same as before. Returns 0 or -ENOMEM,
 * and then still has the former limits.
 */
int br_entitlement_update(struct br_entitlement *e, const struct br_entitlement_limits *limits,
			  uint64_t now_us);

/** Time from which only the latest limits count; in the past if nothing is waiting. */
uint64_t br_entitlement_settled_us(const struct br_entitlement *e);

/** Part of the account in a slot at now_us. */
struct br_slot_part br_entitlement_part(const struct br_entitlement *e, uint32_t slot,
					uint32_t n_slots, uint64_t now_us);

#endif
