/**
 * @file slot_private.h
 * State of the slot module, shared by its source files.
 */
#ifndef LIB_SLOT_PRIVATE_H
#define LIB_SLOT_PRIVATE_H

#include "briarreel/slot.h"

enum slot_state {
	SLOT_IDLE,
	SLOT_HELD,
	/* No grants; written as released once the rate leases given out have ended. */
	SLOT_RELEASING,
};

struct slot {
	enum slot_state state;
	/* Best knowledge of the holder, gossiped; epoch 0 if none. */
	struct br_slot_holder entry;
	/* An operation is open; it is a write if writing. */
	bool busy;
	bool writing;
	uint64_t retry_us;

	/* Candidate side: since when the holder map shows no live holder; 0 if it shows one. */
	uint64_t free_us;
	uint64_t delay_us;
	/* State of the key as last read; key.epoch is 0 if it was absent. */
	bool read;
	struct br_slot_holder key;
	uint64_t read_rev;
	/* Since when the platform shows the slot as takeable; 0 if it does not. */
	uint64_t takeable_us;
	bool clean;

	/* Holder side. */
	uint64_t rev;
	uint64_t lease_id;
	uint64_t since_us;
	uint64_t grant_from_us;
	uint64_t register_from_us;
	/* Value of the key before this tenure; epoch 0 if it was absent. */
	struct br_slot_holder former;
	uint64_t release_us;
	/* A higher epoch that others gossip for this slot, to be exceeded; 0 if none. */
	uint64_t rival_epoch;
	/* The last write, whose effect is not known while write_unknown. */
	struct br_slot_holder wrote;
	uint64_t wrote_lease;
	bool write_unknown;
};

struct br_slots {
	struct br_slots_config cfg;
	uint32_t n_slots;
	struct slot slots[BR_SLOTS_MAX];
	uint32_t open;

	bool listed;
	bool list_busy;
	uint64_t list_retry_us;

	uint64_t lease_id;
	uint64_t right_until_us;
	uint64_t renew_us;
	/** Time of the first tick. */
	uint64_t born_us;
	bool lease_busy;
	bool drop_tried;
	/* The answer to a write under the lease was lost, so its effect may still appear. */
	bool write_lost;

	uint64_t scan_us;
	uint64_t fair;
	uint64_t surplus_us;
	bool stopping;
};

/** True if the entry names this node, whatever the incarnation. */
bool slot_own(const struct br_slots *s, const struct br_slot_holder *h);

/** True if the entry names this process. */
bool slot_own_process(const struct br_slots *s, const struct br_slot_holder *h);

/** Order of entries: negative, 0 or positive, by epoch first. */
int slot_compare(const struct br_slot_holder *a, const struct br_slot_holder *b);

#endif
