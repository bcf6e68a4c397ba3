/**
 * @file membership.h
 * Table of all members: probing, suspicion, dissemination and digests. The module sends nothing;
 * the caller carries out the actions and passes in messages, time and results.
 *
 * Not thread-safe; one control thread owns it. Other threads read the view.
 */
#ifndef BRIARREEL_MEMBERSHIP_H
#define BRIARREEL_MEMBERSHIP_H

#include "briarreel/types.h"

struct br_error;
struct br_members;
struct br_members_view;

/** Digest buckets; a pull transfers only the buckets that differ. */
#define BR_MEMBERS_BUCKETS 64
/** Members that a table holds at most; more are refused with -ENOSPC. */
#define BR_MEMBERS_MAX 16384
/** Incarnations above it are refused, so that a refutation can always be higher. */
#define BR_MEMBERS_MAX_INCARNATION (UINT64_C(1) << 62)

/**
 * States in the order of their rank: at the same incarnation the higher rank wins. A node that
 * changes its own state raises its incarnation; suspect and dead are what others say about it.
 */
enum br_member_state {
	BR_MEMBER_ALIVE,
	BR_MEMBER_DRAINING,
	BR_MEMBER_LEAVING,
	BR_MEMBER_SUSPECT,
	BR_MEMBER_DEAD,
	BR_MEMBER_STATES,
};

/** One member as exchanged between nodes. */
struct br_member {
	struct br_node_id id;
	/** Orders what is said about the member; rises with each refutation and own change. */
	uint64_t incarnation;
	/** Identifies the process; constant during its life (its first incarnation). */
	uint64_t instance;
	enum br_member_state state;
	/** For the daemon's use; not interpreted here. */
	uint32_t flags;
	bool target_present;
	char zone[BR_NAME_BYTES];
	char service[BR_NAME_BYTES];
	/** "ip:port" of the control listener. */
	char control[BR_NODE_ID_BYTES];
	/** "ip:port" of the caller listener. */
	char caller[BR_NODE_ID_BYTES];
};

/** Intervals and counts; 0 means the default. */
struct br_members_settings {
	/** Interval of probes, 500. */
	uint32_t probe_interval_ms;
	/** Time for an answer; an indirect probe has twice this time. 300. */
	uint32_t probe_timeout_ms;
	/** Time from suspect to dead, 2000. */
	uint32_t suspect_ms;
	/** Interval of probes of dead members, 5000. */
	uint32_t dead_probe_ms;
	/** Time after which dead members are forgotten, 3600. */
	uint32_t forget_s;
	/** Part of probes that go to the own zone, 70. */
	uint32_t own_zone_percent;
};

enum br_member_action_type {
	/** Send PING to member; then br_members_ack() or br_members_nack(). */
	BR_MEMBER_PING,
	/** Ask via to probe member; then br_members_ack() if it answered via, else _nack(). */
	BR_MEMBER_PING_INDIRECT,
};

struct br_member_action {
	enum br_member_action_type type;
	struct br_node_id member;
	char control[BR_NODE_ID_BYTES];
	/** Only for BR_MEMBER_PING_INDIRECT. */
	struct br_node_id via;
	char via_control[BR_NODE_ID_BYTES];
};

/** Results of br_members_merge(). */
enum br_members_result {
	BR_MEMBERS_UNCHANGED,
	/** The table took the entry over. */
	BR_MEMBERS_CHANGED,
	/** The table knows something newer. */
	BR_MEMBERS_OLDER,
	/** The entry was about this node and was refuted with a higher incarnation. */
	BR_MEMBERS_REFUTED,
};

/** Where an entry came from. */
enum br_members_source {
	/** With a PING or PONG; news are passed on with later messages. */
	BR_MEMBERS_GOSSIP,
	/** By a pull; members new to this node are not passed on, as peers have them already. */
	BR_MEMBERS_PULL,
};

/** Called for each change; before is NULL for a new member, after is NULL for a forgotten one. */
typedef void (*br_members_listener)(const struct br_member *before, const struct br_member *after,
				    void *arg);
typedef void (*br_member_fn)(const struct br_member *member, void *arg);

const char *br_member_state_name(enum br_member_state state);

/**
 * Creates a table with this node's entry. self->incarnation is the start time in wall-clock
 * milliseconds; peers that remember a higher one cause it to rise. settings may be NULL.
 * NULL if out of memory or self is not valid.
 */
struct br_members *br_members_create(const struct br_member *self,
				     const struct br_members_settings *settings, uint64_t seed);
void br_members_destroy(struct br_members *m);

/** fn may be NULL. It must not call this module. */
void br_members_set_listener(struct br_members *m, br_members_listener fn, void *arg);

/** This node's entry; valid until the next call that changes the table. */
const struct br_member *br_members_self(const struct br_members *m);

/**
 * Changes this node's state (alive, draining or leaving), service, target and flags; any real
 * change raises the incarnation and is spread. Returns 0, -EINVAL or -ENOMEM.
 */
int br_members_set_self(struct br_members *m, enum br_member_state state, const char *service,
			bool target_present, uint32_t flags);

/**
 * Merges an entry that a peer sent. Returns a br_members_result, -EINVAL for an entry that is not
 * valid, -ENOSPC or -ENOMEM. A dead member that this node does not know is not added, so that
 * forgotten members do not return from peers that forget them later.
 */
int br_members_merge(struct br_members *m, const struct br_member *entry,
		     enum br_members_source source, uint64_t now_us);

/**
 * Runs timeouts and fills up to max actions (8 are enough for a tick each 100 ms); returns their
 * number. After a gap of over a second between ticks this node was itself paused, so running
 * probes and suspicions get that much more time.
 */
size_t br_members_tick(struct br_members *m, uint64_t now_us, struct br_member_action *actions,
		       size_t max);

/** A probe of the member was answered, directly or by way of another member. */
void br_members_ack(struct br_members *m, const struct br_node_id *id, uint64_t now_us);

/** A probe failed before its timeout (for example: connection refused). */
void br_members_nack(struct br_members *m, const struct br_node_id *id, uint64_t now_us);

/**
 * Picks up to max entries to send to a peer (NULL if not known): first what the peer should know
 * about itself, then the changes sent least often. Each change is picked about 3*log2(n) times.
 */
size_t br_members_pick_updates(struct br_members *m, const struct br_node_id *peer,
			       struct br_member *out, size_t max);

/** Order-independent hash over (id, incarnation, state) of all members that are not dead. */
uint64_t br_members_digest(const struct br_members *m);

/** The digest per bucket; their exclusive or is br_members_digest(). */
void br_members_bucket_digests(const struct br_members *m, uint64_t out[BR_MEMBERS_BUCKETS]);

/** Bit map of the buckets whose digests differ from a peer's. */
uint64_t br_members_differing(const struct br_members *m,
			      const uint64_t theirs[BR_MEMBERS_BUCKETS]);

/** Calls fn for each member (dead ones and this node included) in the buckets of the bit map. */
void br_members_each(const struct br_members *m, uint64_t buckets, br_member_fn fn, void *arg);

/** Members in the table, dead ones and this node included. */
size_t br_members_count(const struct br_members *m);

/** Members in a state. */
size_t br_members_count_state(const struct br_members *m, enum br_member_state state);

/** Copies the entry of a member; false if it is not known. */
bool br_members_find(const struct br_members *m, const struct br_node_id *id,
		     struct br_member *out);

/** Picks a random member that is not dead and not this node; false if there is none. */
bool br_members_random(struct br_members *m, bool own_zone, struct br_member *out);

/**
 * Returns a reference to an immutable view of the present table (br_members_view_put() it),
 * rebuilt only after a change. NULL if out of memory.
 */
struct br_members_view *br_members_view(struct br_members *m);

struct br_members_view *br_members_view_get(struct br_members_view *view);
/** NULL is allowed. */
void br_members_view_put(struct br_members_view *view);

/** All members sorted by id. */
const struct br_member *const *br_members_view_all(const struct br_members_view *view, size_t *n);

/** A member by id, or NULL. */
const struct br_member *br_members_view_find(const struct br_members_view *view,
					     const struct br_node_id *id);

/** Members that are alive and have a target of the service, sorted by id. */
const struct br_member *const *br_members_view_targets(const struct br_members_view *view,
						       const char *service, size_t *n);

#endif
