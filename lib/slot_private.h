/**
 * @file slot_private.h
 * State of the slot module, shared between the state machine (slot.c) and the holder map
 * (slot_map.c).
 */
#ifndef LIB_SLOT_PRIVATE_H
#define LIB_SLOT_PRIVATE_H

#include "briarreel/slot.h"

enum slot_state {
	SLOT_IDLE,
	SLOT_HELD,
	/* Grants stopped; the key is written as released once the rate leases have expired. */
	SLOT_RELEASING,
};

struct slot {
	enum slot_state state;
	/* Newest known entry of the holder map, as gossiped; epoch 0 if none. */
	struct br_slot_holder entry;
	/* An operation on the key is pending; write_pending if it is a write. */
	bool op_pending;
	bool write_pending;
	/* No operation on the key before this time. */
	uint64_t retry_at_us;

	/* As a candidate: time since which the map shows no live holder; 0 if it shows one. */
	uint64_t free_since_us;
	/* Time after free_since_us before this node tries to acquire the slot. */
	uint64_t acquire_delay_us;
	/* Value of the key as last read, if key_known; its epoch is 0 if the key was absent. */
	bool key_known;
	struct br_slot_holder key_value;
	uint64_t key_rev;
	/* Time since which the key as read allows to acquire the slot; 0 if it does not. */
	uint64_t acquirable_since_us;
	/* The key as last read was written as released. */
	bool released_cleanly;

	/* As the holder: revision of the key, and platform lease of its write. */
	uint64_t held_rev;
	uint64_t platform_lease_id;
	uint64_t held_since_us;
	uint64_t grant_from_us;
	uint64_t register_from_us;
	/* Value of the key before the tenure; epoch 0 if the key was absent. */
	struct br_slot_holder former_holder;
	uint64_t release_at_us;
	/* Higher epoch that another node gossips; this node must exceed it. 0 if none. */
	uint64_t competing_epoch;
	/* Last write; while write_unknown is set, it may or may not have taken effect. */
	struct br_slot_holder last_write;
	uint64_t last_write_lease_id;
	bool write_unknown;
};

struct br_slots {
	struct br_slots_config cfg;
	uint32_t n_slots;
	struct slot slots[BR_SLOTS_MAX];
	/** Operations whose result is pending. */
	uint32_t n_open_ops;

	/** The initial range read of all slot keys is complete. */
	bool listed;
	bool list_pending;
	uint64_t list_retry_at_us;

	/** Platform lease; 0 if none. */
	uint64_t platform_lease_id;
	/** End of the right to grant, before the platform lease expires. */
	uint64_t right_until_us;
	uint64_t next_renew_us;
	/** Time of the first tick. */
	uint64_t first_tick_us;
	bool lease_op_pending;
	/** The deletion of the lease was attempted; a retry waits until next_renew_us. */
	bool lease_delete_tried;
	/** The result of a write under the lease was lost; it may still take effect. */
	bool write_result_lost;

	uint64_t next_scan_us;
	/** Number of slots that this node may hold before it leaves free ones to others. */
	uint64_t fair_share;
	/** Time since which this node holds more than fair_share slots; 0 if it does not. */
	uint64_t surplus_since_us;
	bool stopping;
};

/** Returns true if the entry names this node, in any incarnation. */
bool slot_names_own_node(const struct br_slots *s, const struct br_slot_holder *h);

/** Returns true if the entry names this process. */
bool slot_names_own_process(const struct br_slots *s, const struct br_slot_holder *h);

/** Orders entries, first by epoch; returns a negative number, 0 or a positive number. */
int slot_compare(const struct br_slot_holder *a, const struct br_slot_holder *b);

#endif
