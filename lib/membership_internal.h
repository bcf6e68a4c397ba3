/**
 * @file membership_internal.h
 * The table of the membership module, shared between merging (membership.c), probing
 * (membership_probe.c) and the view (membership_view.c).
 */
#ifndef LIB_MEMBERSHIP_INTERNAL_H
#define LIB_MEMBERSHIP_INTERNAL_H

#include "briarreel/membership.h"

#include <stdatomic.h>
#include <sys/queue.h>

/**
 * Number of update queues, above the maximum (42) of 3 * log2(BR_MEMBERS_MAX) sends of a change.
 */
#define MEMBERS_UPDATE_QUEUES 45
/** Value of member.timed_index for a member that is not in br_members.timed. */
#define MEMBERS_NOT_TIMED UINT32_MAX

/** A reference-counted, immutable entry, shared by the table and views. */
struct member_ref {
	atomic_uint refs;
	struct br_member entry;
};

enum probe_stage {
	PROBE_NONE,
	PROBE_DIRECT,
	PROBE_INDIRECT,
};

/** One member of the table. */
struct member {
	struct member_ref *ref;
	TAILQ_ENTRY(member) update_link;
	/**
	 * Last br_members_pick_updates() call that picked this member, so it is not picked twice.
	 */
	uint64_t last_pick;
	uint64_t probe_deadline_us;
	/** End of suspicion, or time at which a dead member is removed; 0 if neither applies. */
	uint64_t state_deadline_us;
	/** Position in br_members.timed. */
	uint32_t timed_index;
	/** Number of times that the last change was sent. */
	uint8_t sends;
	/** In one of br_members.updates. */
	bool queued;
	/**
	 * Send this entry to the member itself with the next message: a peer has an older one, so
	 * the member may have to refute this one.
	 */
	bool send_to_member;
	/** An enum probe_stage. */
	uint8_t stage;
	/** Indirect probes that have not failed yet. */
	uint8_t n_indirect;
};

TAILQ_HEAD(member_list, member);

struct br_members {
	struct br_members_settings settings;
	struct br_rng rng;
	struct member *self;
	/** Sorted by id. */
	struct member **all;
	size_t n;
	size_t cap;
	size_t n_state[BR_MEMBER_STATES];
	/** Members with a deadline, so that a tick does not scan the whole table. */
	struct member **timed;
	size_t n_timed;
	/** Members whose change is to be sent, by the number of times it was sent. */
	struct member_list updates[MEMBERS_UPDATE_QUEUES];
	/** Number of the current br_members_pick_updates() call. */
	uint64_t current_pick;
	uint64_t digests[BR_MEMBERS_BUCKETS];
	uint64_t last_tick_us;
	uint64_t next_probe_us;
	uint64_t next_dead_probe_us;
	br_members_listener listener;
	void *listener_arg;
	struct br_members_view *view;
	bool view_stale;
};

struct member *members_find(const struct br_members *m, const char *id);

/** Drops a reference to an entry and frees it with the last one. */
void member_ref_put(struct member_ref *ref);

/** Adds a member to br_members.timed if its probe or state has a deadline, else removes it. */
void members_update_timed(struct br_members *m, struct member *member);

/**
 * Raises a member's state at its current incarnation; member is not this node. Returns 0 or
 * -ENOMEM.
 */
int members_set_state(struct br_members *m, struct member *member, enum br_member_state state,
		      uint64_t now_us);

/** Removes and frees a member. */
void members_remove(struct br_members *m, struct member *member);

/** Returns a random member for which fn returns true; NULL if there is none. */
struct member *members_pick_random(struct br_members *m,
				   bool (*fn)(const struct br_members *, const struct member *));

/** Filter for members_pick_random(): members that are not dead and not this node. */
bool members_is_live_peer(const struct br_members *m, const struct member *member);
/** As members_is_live_peer(), restricted to this node's zone. */
bool members_is_live_peer_in_own_zone(const struct br_members *m, const struct member *member);

#endif
