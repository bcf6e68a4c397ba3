/**
 * @file claim_slots.h
 * Registrar state of the slots that this node holds: takeover, handover and deduplication window.
 */
#ifndef NODE_CLAIM_SLOTS_H
#define NODE_CLAIM_SLOTS_H

#include "briarreel/registrar.h"
#include "briarreel/slot.h"

struct claim_page_head;
struct claim_slots;
struct node;

/** A pending fetch of a slot's claims from its former holder. */
struct claim_fetch {
	uint32_t slot;
	/** Start of the tenure for which the claims are fetched. */
	uint64_t tenure_since_us;
	struct br_slot_holder former;
	/** Monotonic time after which the slot is taken over without its claims. */
	uint64_t deadline_us;
};

/** Returns NULL if out of memory. */
struct claim_slots *claim_slots_create(struct node *node);
void claim_slots_destroy(struct claim_slots *cs);

/**
 * True if this node may act as the registrar of a slot at now_us. To be checked before and after
 * each claim.
 */
bool claim_slots_may_register(struct claim_slots *cs, uint32_t slot, uint64_t now_us);

/**
 * Locks the registrar and returns it if it acts for a slot at now_us; claim_slots_unlock() unlocks
 * it. Otherwise returns NULL without a lock.
 */
struct br_registrar *claim_slots_lock(struct claim_slots *cs, uint32_t slot, uint64_t now_us);
void claim_slots_unlock(struct claim_slots *cs);

/**
 * Takes over slots that this node now holds and closes those that it lost. autonomy_us is the time
 * to live of the platform lease. Called by the control thread. Once this returns, no claim of a
 * closed slot is accepted.
 */
void claim_slots_update(struct claim_slots *cs, const struct br_slots *slots, uint64_t autonomy_us,
			uint64_t now_us);

/** Expires claims and applies a changed deduplication window. */
void claim_slots_tick(struct claim_slots *cs, uint64_t now_us);

/** True if new holders have fetched the claims of all slots that this node released. */
bool claim_slots_handed_over(struct claim_slots *cs);

/**
 * Writes a page of the claims of a closed slot to out, a buffer of at least CLAIM_PAGE_MIN_BYTES,
 * starting at claim number from. Returns the length of the page, or -ENOENT if the slot is not
 * closed here.
 */
int64_t claim_slots_export(struct claim_slots *cs, uint32_t slot, uint64_t from, char *out,
			   size_t bytes, uint64_t now_us);

/** Waits for the next pending fetch. Returns false after claim_slots_stop_fetches(). */
bool claim_slots_next_fetch(struct claim_slots *cs, struct claim_fetch *out);
/** Makes claim_slots_next_fetch() return false, now and later. */
void claim_slots_stop_fetches(struct claim_slots *cs);

/**
 * Begins the import of fetched claims; see br_registrar_import_slot(). Returns -ESTALE if the
 * fetch's tenure of the slot has ended.
 */
int claim_slots_import_begin(struct claim_slots *cs, const struct claim_fetch *f,
			     const struct br_claim_slot *state);

/** Imports claims; see br_registrar_import(). Returns -ESTALE if the tenure has ended. */
int claim_slots_import(struct claim_slots *cs, const struct claim_fetch *f,
		       const struct br_claim_record *recs, size_t n);

/**
 * Ends a fetch; the registrar acts for the slot from now on. complete is true if all claims were
 * imported; otherwise the slot is taken over without them.
 */
void claim_slots_fetch_done(struct claim_slots *cs, const struct claim_fetch *f, bool complete);

#endif
