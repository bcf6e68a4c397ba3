/**
 * @file entitlement.h
 * Limits how much of an account a holder may grant while the account's rate or burst changes.
 *
 * A change of the burst can move an account to other slots, and holders learn of the change at
 * different times. A slot's part of the account decreases immediately. It increases only after
 * every other holder has seen the change and the leases that those holders granted before have
 * expired. Not thread-safe.
 */
#ifndef BRIARREEL_ENTITLEMENT_H
#define BRIARREEL_ENTITLEMENT_H

#include "briarreel/slot.h"
#include "briarreel/types.h"

/** Rate and burst of an account. */
struct br_entitlement_limits {
	uint64_t rate_mtok_s;
	/** In whole tokens. */
	uint64_t burst_tokens;
};

struct br_entitlement;

/**
 * Creates the state of an account that this process sees for the first time; the initial limits
 * apply immediately. delay_us is the time until a change is in force on all nodes plus one lease
 * term, which must be at least as long as the time until a change is in force. Returns NULL if out
 * of memory.
 */
struct br_entitlement *br_entitlement_create(const char *account,
					     const struct br_entitlement_limits *limits,
					     uint64_t delay_us);
void br_entitlement_destroy(struct br_entitlement *e);

/**
 * Sets the limits in force now; does nothing if they are unchanged. Returns 0, or -ENOMEM: the
 * former limits then remain in force.
 */
int br_entitlement_update(struct br_entitlement *e, const struct br_entitlement_limits *limits,
			  uint64_t now_us);

/** Returns the time from which only the latest limits apply; in the past if none is pending. */
uint64_t br_entitlement_settled_us(const struct br_entitlement *e);

/** Returns the part of the account's rate and burst that may be granted from a slot at now_us. */
struct br_slot_part br_entitlement_part(const struct br_entitlement *e, uint32_t slot,
					uint32_t n_slots, uint64_t now_us);

#endif
