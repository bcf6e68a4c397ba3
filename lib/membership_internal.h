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

/** 3 * log2(BR_MEMBERS_MAX) and one more. */
#define MEMBERS_MAX_SENDS 45
#define MEMBERS_NOT_TIMED UINT32_MAX

/** An immutable entry, shared by the table and views. */
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
	/** The pick that took this member last; prevents taking it twice in one pick. */
	uint64_t pick;
	uint64_t probe_deadline_us;
	/** End of suspicion, or time to forget a dead member. */
	uint64_t state_deadline_us;
	/** Position in br_members.timed. */
	uint32_t timed_index;
	uint8_t sends;
	bool queued;
	/** A peer sent an older entry; the member itself may need to hear of the newer one. */
	bool tell_owner;
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
	/** Members with a running probe, suspicion or time to forget, so that a tick scans few. */
	struct member **timed;
	size_t n_timed;
	/** Changes to pass on, by how often they were sent. */
	struct member_list updates[MEMBERS_MAX_SENDS];
	uint64_t pick;
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

/** Drops a reference to an entry. */
void member_ref_put(struct member_ref *ref);

/** Enters a member in the timed list, or removes it, as its probe and state need. */
void members_update_timed(struct br_members *m, struct member *member);

/** Changes a member's state at its present incarnation. Returns 0 or -ENOMEM. */
int members_mark(struct br_members *m, struct member *member, enum br_member_state state,
		 uint64_t now_us);

/** Removes a member from the table. */
void members_forget(struct br_members *m, struct member *member);

/** A random member for which fn is true, other than self; NULL if there is none. */
struct member *members_pick(struct br_members *m,
			    bool (*fn)(const struct br_members *, const struct member *));

/** Filters for members_pick(). */
bool members_is_live(const struct br_members *m, const struct member *member);
bool members_is_live_in_zone(const struct br_members *m, const struct member *member);

#endif
