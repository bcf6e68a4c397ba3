/**
 * @file blackboard.h
 * Control state that traffic threads read. The control thread publishes immutable views; reading
 * one is a pointer copy under a lock that is held for nanoseconds.
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
	/** True for slots from which this node itself may grant and register. */
	bool own[BR_SLOTS_MAX];
	/** Monotonic time until which this node may act for its own slots. */
	uint64_t own_until_us;
};

/** The target of this VM as it announced itself. */
struct target_info {
	bool present;
	bool draining;
	char service[BR_NAME_BYTES];
	char address[BR_NODE_ID_BYTES];
	uint32_t slots;
	uint64_t announced_us;
	/** Counts announcements after an absence, so that state of the former process is reset. */
	uint64_t generation;
};

struct blackboard *blackboard_create(void);
void blackboard_destroy(struct blackboard *b);

/** Publishes a view; the blackboard takes over the caller's reference. Control thread. */
void blackboard_set_config(struct blackboard *b, struct br_view *view);
void blackboard_set_members(struct blackboard *b, struct br_members_view *view);

/** Publishes a copy of the slot map. Control thread. */
void blackboard_set_slots(struct blackboard *b, const struct slot_map *map);

/** Returns a reference (br_view_put() it), NULL before the first configuration. */
struct br_view *blackboard_config(struct blackboard *b);
/** Returns a reference (br_members_view_put() it), NULL at the very start. */
struct br_members_view *blackboard_members(struct blackboard *b);

/** Copies the holder of a slot; false if none is known. */
bool blackboard_slot_holder(struct blackboard *b, uint32_t slot, struct br_slot_holder *out);
/** True if this node may act for a slot at now_us. */
bool blackboard_slot_is_own(struct blackboard *b, uint32_t slot, uint64_t now_us);
/** Number of slots; 0 before the first configuration. */
uint32_t blackboard_n_slots(struct blackboard *b);
/** Writes the slots held in a zone as "0,3,9". */
void blackboard_zone_slots(struct blackboard *b, const char *zone, char *out, size_t bytes);

/** Notes that the configuration was confirmed by the platform at this monotonic time. */
void blackboard_confirm(struct blackboard *b, uint64_t at_us);
/** Time since the configuration was last known to be confirmed; UINT64_MAX if never. */
uint64_t blackboard_freshness_age_us(struct blackboard *b, uint64_t now_us);

/** An announcement of the target; address, service and slots may have changed. */
void blackboard_target_announced(struct blackboard *b, const char *service, const char *address,
				 uint32_t slots, uint64_t now_us);
/** The target drains: no new work until it announces itself after an absence. */
void blackboard_target_draining(struct blackboard *b, bool draining);
/** Marks a target that missed its announcements as gone. */
void blackboard_target_expire(struct blackboard *b, uint64_t now_us);
void blackboard_target(struct blackboard *b, struct target_info *out);

#endif
