/**
 * @file membership.h
 * Membership table with SWIM-style failure detection: probes, suspicion, dissemination of changes
 * and anti-entropy digests. The module performs no I/O: the caller carries out the actions that
 * br_members_tick() returns and passes in received entries, the time and probe results.
 *
 * Not thread-safe; one control thread owns the table. Other threads read the view.
 */
#ifndef BRIARREEL_MEMBERSHIP_H
#define BRIARREEL_MEMBERSHIP_H

#include "briarreel/types.h"

struct br_error;
struct br_members;
struct br_members_view;

/** Number of digest buckets; a pull transfers only the buckets whose digests differ. */
#define BR_MEMBERS_BUCKETS 64
/** Maximum number of members in a table; further ones are refused with -ENOSPC. */
#define BR_MEMBERS_MAX 16384
/** Largest incarnation that is accepted, so that a refutation can always use a higher one. */
#define BR_MEMBERS_MAX_INCARNATION (UINT64_C(1) << 62)

/**
 * States in order of precedence: at the same incarnation the higher state wins. A node raises its
 * incarnation when it changes its own state; only other nodes set it to suspect or dead.
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
	/**
	 * Orders the entries of a member; the member raises it with each refutation and change.
	 * Other modules call the process's instance its incarnation.
	 */
	uint64_t incarnation;
	/** Identifies the process: its first incarnation, constant while it runs. */
	uint64_t instance;
	enum br_member_state state;
	/** Application-defined; not interpreted by this module. */
	uint32_t flags;
	bool target_present;
	char zone[BR_NAME_BYTES];
	char service[BR_NAME_BYTES];
	/** Address of the control listener, "ip:port". */
	char control_address[BR_NODE_ID_BYTES];
	/** Address of the listener for callers, "ip:port"; may be empty. */
	char caller_address[BR_NODE_ID_BYTES];
};

/** Settings of the failure detector; 0 means the default given for each. */
struct br_members_settings {
	/** Interval between probes (500). */
	uint32_t probe_interval_ms;
	/** Timeout of a direct probe; an indirect probe has twice this time (300). */
	uint32_t probe_timeout_ms;
	/** Time after which a suspect member is declared dead (2000). */
	uint32_t suspect_ms;
	/** Interval between probes of dead members (5000). */
	uint32_t dead_probe_ms;
	/** Time after which a dead member is removed from the table (3600). */
	uint32_t forget_s;
	/** Percentage of probes that go to members of this node's zone (70). */
	uint32_t own_zone_percent;
};

enum br_member_action_type {
	/** Send PING to member; report the result with br_members_ack() or br_members_nack(). */
	BR_MEMBER_PING,
	/**
	 * Ask the node `via` to probe `member`. Report br_members_ack() if `via` got an answer,
	 * else br_members_nack().
	 */
	BR_MEMBER_PING_INDIRECT,
};

struct br_member_action {
	enum br_member_action_type type;
	struct br_node_id member;
	char control_address[BR_NODE_ID_BYTES];
	/** Only for BR_MEMBER_PING_INDIRECT. */
	struct br_node_id via;
	char via_control_address[BR_NODE_ID_BYTES];
};

/** Result of br_members_merge(). */
enum br_members_result {
	BR_MEMBERS_UNCHANGED,
	/** The entry was newer and is now in the table. */
	BR_MEMBERS_CHANGED,
	/** The entry is older than the one in the table. */
	BR_MEMBERS_OLDER,
	/** The entry described this node and was refuted with a higher incarnation. */
	BR_MEMBERS_REFUTED,
};

/** How an entry was received. */
enum br_members_source {
	/** With a PING or PONG; changes are forwarded with later messages. */
	BR_MEMBERS_GOSSIP,
	/** By a pull; new members are not forwarded, since peers already know them. */
	BR_MEMBERS_PULL,
};

/**
 * Called for each change of the table; before is NULL for a new member, after is NULL for a removed
 * one. The pointers are valid during the call.
 */
typedef void (*br_members_listener)(const struct br_member *before, const struct br_member *after,
				    void *arg);
typedef void (*br_member_fn)(const struct br_member *member, void *arg);

/** Returns the name of a state, such as "alive"; "unknown" for an invalid value. */
const char *br_member_state_name(enum br_member_state state);

/**
 * Creates a table with this node's entry. self->incarnation is the start time in wall-clock
 * milliseconds; it is raised if peers know a higher one of an earlier process. settings may be
 * NULL. Returns NULL if out of memory or if self is invalid.
 */
struct br_members *br_members_create(const struct br_member *self,
				     const struct br_members_settings *settings, uint64_t seed);
void br_members_destroy(struct br_members *m);

/** Sets the function called for each change (NULL: none). fn must not call this module. */
void br_members_set_listener(struct br_members *m, br_members_listener fn, void *arg);

/** Returns this node's entry; valid until the next call that changes the table. */
const struct br_member *br_members_self(const struct br_members *m);

/**
 * Sets this node's state (alive, draining or leaving), service, target presence and flags. A call
 * that changes any of them raises the incarnation and disseminates the new entry. Returns 0,
 * -EINVAL or -ENOMEM.
 */
int br_members_set_self(struct br_members *m, enum br_member_state state, const char *service,
			bool target_present, uint32_t flags);

/**
 * Merges an entry received from a peer. Returns a br_members_result, -EINVAL for an invalid entry,
 * -ENOSPC or -ENOMEM. An unknown dead member is not added, so that removed members do not come
 * back from peers that remove them later.
 */
int br_members_merge(struct br_members *m, const struct br_member *entry,
		     enum br_members_source source, uint64_t now_us);

/**
 * Handles timeouts and fills up to max actions (8 are enough for a tick every 100 ms); returns
 * their number. A gap of over a second between ticks means that this process was paused, so the
 * deadlines of running probes and suspicions are extended by the gap.
 */
size_t br_members_tick(struct br_members *m, uint64_t now_us, struct br_member_action *actions,
		       size_t max);

/**
 * Reports that a probe of the member was answered, directly or through another member. This does
 * not clear a suspicion; only the member's own refutation does.
 */
void br_members_ack(struct br_members *m, const struct br_node_id *id, uint64_t now_us);

/** Reports that a probe failed before its timeout, for example with connection refused. */
void br_members_nack(struct br_members *m, const struct br_node_id *id, uint64_t now_us);

/**
 * Picks up to max entries to send to a peer (NULL if unknown) and returns their number: first the
 * peer's own entry if the peer must correct it, then the changes that were sent least often. Each
 * change is picked about 3*log2(n) times, for n members.
 */
size_t br_members_pick_updates(struct br_members *m, const struct br_node_id *peer,
			       struct br_member *out, size_t max);

/**
 * Returns an order-independent hash over (id, incarnation, state) of all members that are not dead.
 */
uint64_t br_members_digest(const struct br_members *m);

/** Fills the digest of each bucket; br_members_digest() is the XOR of them. */
void br_members_bucket_digests(const struct br_members *m, uint64_t out[BR_MEMBERS_BUCKETS]);

/** Returns a bitmap of the buckets whose digests differ from a peer's. */
uint64_t br_members_differing_buckets(const struct br_members *m,
				      const uint64_t theirs[BR_MEMBERS_BUCKETS]);

/** Calls fn for each member, dead ones and this node included, in the buckets of the bitmap. */
void br_members_each(const struct br_members *m, uint64_t buckets, br_member_fn fn, void *arg);

/** Returns the number of members in the table, dead ones and this node included. */
size_t br_members_count(const struct br_members *m);

/** Returns the number of members in a state. */
size_t br_members_count_state(const struct br_members *m, enum br_member_state state);

/** Copies the entry of a member; returns false if the member is unknown. */
bool br_members_find(const struct br_members *m, const struct br_node_id *id,
		     struct br_member *out);

/**
 * Copies a random member that is not dead and not this node, with own_zone one of this node's zone.
 * Returns false if there is none.
 */
bool br_members_random(struct br_members *m, bool own_zone, struct br_member *out);

/**
 * Returns a reference to an immutable view of the current table, rebuilt only after a change; NULL
 * if out of memory. The caller drops the reference with br_members_view_put().
 */
struct br_members_view *br_members_view(struct br_members *m);

/** Takes another reference and returns the view. */
struct br_members_view *br_members_view_get(struct br_members_view *view);
/** Drops a reference and frees the view with the last one. NULL is allowed. */
void br_members_view_put(struct br_members_view *view);

/** Returns all members sorted by id; valid while the caller holds its reference. */
const struct br_member *const *br_members_view_all(const struct br_members_view *view, size_t *n);

/** Returns the member with an id, or NULL; valid while the caller holds its reference. */
const struct br_member *br_members_view_find(const struct br_members_view *view,
					     const struct br_node_id *id);

/**
 * Returns the members that are alive and have a target of the service, sorted by id; valid while
 * the caller holds its reference. NULL with *n set to 0 if there are none.
 */
const struct br_member *const *br_members_view_targets(const struct br_members_view *view,
						       const char *service, size_t *n);

#endif
