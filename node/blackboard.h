/**
 * @file blackboard.h
 * Control state that traffic threads read. The control thread publishes immutable views; a reader
 * copies a pointer under a lock that is held for nanoseconds.
 */
#ifndef NODE_BLACKBOARD_H
#define NODE_BLACKBOARD_H

#include "briarreel/slot.h"
#include "briarreel/types.h"

struct blackboard;
struct br_members_view;
struct br_view;

/** Holders of all slots, as the control thread knows them. Immutable once published. */
struct slot_map {
	uint32_t n_slots;
	/** Empty node text if no holder is known. */
	struct br_slot_holder holders[BR_SLOTS_MAX];
	/** True for slots in which this node may register claims. */
	bool may_register[BR_SLOTS_MAX];
	/** Monotonic time at which the right of this node to act for its slots ends. */
	uint64_t right_until_us;
};

/** The target of this VM, as it last announced itself. */
struct target_info {
	bool present;
	bool draining;
	char service[BR_NAME_BYTES];
	char address[BR_NODE_ID_BYTES];
	/** Number of requests that the target can run concurrently; 0 if not announced. */
	uint32_t concurrency_hint;
	uint64_t announced_us;
	/** Incremented when a target appears or changes; state of the former one is then reset. */
	uint64_t generation;
};

/** Returns NULL if out of memory. */
struct blackboard *blackboard_create(void);
void blackboard_destroy(struct blackboard *b);

/** Publish a view; the blackboard takes over the caller's reference. Control thread. */
void blackboard_set_config(struct blackboard *b, struct br_view *view);
void blackboard_set_members(struct blackboard *b, struct br_members_view *view);

/** Publishes a copy of the slot map. Control thread. */
void blackboard_set_slots(struct blackboard *b, const struct slot_map *map);

/** Returns a reference, to release with br_view_put(); NULL before the first configuration. */
struct br_view *blackboard_config(struct blackboard *b);
/** Returns a reference, to release with br_members_view_put(); NULL before the first view. */
struct br_members_view *blackboard_members(struct blackboard *b);

/** Copies the holder of a slot; false if none is known. */
bool blackboard_slot_holder(struct blackboard *b, uint32_t slot, struct br_slot_holder *out);
/** True if this node may register claims in a slot at now_us. */
bool blackboard_may_register(struct blackboard *b, uint32_t slot, uint64_t now_us);
/** Number of slots; 0 before the first configuration. */
uint32_t blackboard_n_slots(struct blackboard *b);
/** Writes the slots held by nodes of a zone, such as "0,3,9", as far as they fit into out. */
void blackboard_zone_slots(struct blackboard *b, const char *zone, char *out, size_t bytes);

/** Records that the platform confirmed the configuration at at_us, a monotonic time. */
void blackboard_confirm_config(struct blackboard *b, uint64_t at_us);
/** Time since the last known confirmation of the configuration; UINT64_MAX if there is none. */
uint64_t blackboard_confirmation_age_us(struct blackboard *b, uint64_t now_us);

/** Records an announcement of the target. A new service or address starts a new generation. */
void blackboard_target_announced(struct blackboard *b, const char *service, const char *address,
				 uint32_t concurrency_hint, uint64_t now_us);
/** Sets whether the target drains, that is, gets no new work; reset when a target appears. */
void blackboard_set_target_draining(struct blackboard *b, bool draining);
/** Marks the target as absent if its last announcement is more than 3 s old. */
void blackboard_target_expire(struct blackboard *b, uint64_t now_us);
/** Copies the state of the target; out->present is false if there is no target. */
void blackboard_target(struct blackboard *b, struct target_info *out);

#endif
