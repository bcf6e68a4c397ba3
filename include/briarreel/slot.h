/**
 * @file slot.h
 * Share slots: state machine that acquires, renews and releases this node's slots, and the map of
 * the node that holds each slot.
 *
 * The module performs no I/O: br_slots_tick() returns operations for the platform's key-value
 * service, and the caller passes their results to br_slots_result(). Not thread-safe.
 */
#ifndef BRIARREEL_SLOT_H
#define BRIARREEL_SLOT_H

#include "briarreel/types.h"

/** Maximum number of share slots. */
#define BR_SLOTS_MAX 256
/** Size of an encoded slot value, including the terminator; a control character takes 6 bytes. */
#define BR_SLOT_VALUE_BYTES 1024
/** Prefix of the platform keys of slots; the slot number in decimal follows. */
#define BR_SLOT_KEY_PREFIX "briarreel/slot/"

/** The value of a slot's key, and the entry of the holder map that nodes gossip. */
struct br_slot_holder {
	struct br_node_id node;
	/** Identifies the process: br_member.instance, not br_member.incarnation. */
	uint64_t incarnation;
	/**
	 * Increases with each write of the key: when the slot is acquired or released, and to
	 * exceed an epoch that another node gossips. 0 means that no holder is known.
	 */
	uint64_t epoch;
	char zone[BR_NAME_BYTES];
	/** True if the holder released the slot after all of its rate leases had ended. */
	bool released;
};

/** An alive or draining member of the membership table; this node is included. */
struct br_slot_member {
	struct br_node_id node;
	uint64_t incarnation;
	char zone[BR_NAME_BYTES];
};

/** A process that an operator declared dead by a `retired` record. */
struct br_slot_retired {
	struct br_node_id node;
	uint64_t incarnation;
};

/** State of all nodes passed to br_slots_tick(). The caller keeps ownership of all pointers. */
struct br_slots_input {
	const struct br_slot_member *members;
	size_t n_members;
	/** Sorted names of all `zone` records. */
	const char *const *zones;
	size_t n_zones;
	const struct br_slot_retired *retired;
	size_t n_retired;
	/** Number of share slots, at most BR_SLOTS_MAX. */
	uint32_t n_slots;
};

/** Operations on the platform's key-value service. */
enum br_slot_op_kind {
	/** Range read of all slot keys: br_slots_observe() for each, then br_slots_result(). */
	BR_SLOT_OP_LIST,
	/** Read the key of a slot. */
	BR_SLOT_OP_READ,
	/** Create a platform lease of ttl_us. */
	BR_SLOT_OP_LEASE_CREATE,
	/** Renew the platform lease lease_id. */
	BR_SLOT_OP_LEASE_RENEW,
	/** Delete the platform lease lease_id. */
	BR_SLOT_OP_LEASE_DELETE,
	/** Write value to the key of a slot if its revision is cas_rev (0: absent). */
	BR_SLOT_OP_WRITE,
};

/** An operation; the caller passes it back to br_slots_result() with its result. */
struct br_slot_op {
	enum br_slot_op_kind kind;
	uint32_t slot;
	/** Monotonic time at which br_slots_tick() returned the operation, before it was sent. */
	uint64_t issued_us;
	uint64_t cas_rev;
	/** Platform lease of a write, renewal or deletion; 0: write without a lease. */
	uint64_t platform_lease_id;
	/** Time to live of the platform lease. */
	uint64_t platform_lease_ttl_us;
	/** Encoded value of a write, terminated. */
	char value[BR_SLOT_VALUE_BYTES];
};

enum br_slot_status {
	BR_SLOT_OK,
	/**
	 * The key had another revision; present, mod_rev and value describe the current one. For an
	 * operation on the platform lease, the same as BR_SLOT_NO_LEASE.
	 */
	BR_SLOT_CONFLICT,
	/** The platform does not know the lease of a renewal or write. */
	BR_SLOT_NO_LEASE,
	/** The operation failed without effect. */
	BR_SLOT_UNAVAILABLE,
	/** The answer was lost: the operation may or may not have taken effect. */
	BR_SLOT_UNKNOWN,
};

/** Result of an operation, as the caller reports it. */
struct br_slot_result {
	enum br_slot_status status;
	/** After a read or conflict: whether the key exists. */
	bool present;
	/** Revision of the key after a read, write or conflict (0 if unknown). */
	uint64_t mod_rev;
	/** Value of the key after a read or conflict, value_len bytes; NULL if unknown. */
	const char *value;
	size_t value_len;
	/** Id of the lease after BR_SLOT_OP_LEASE_CREATE. */
	uint64_t platform_lease_id;
};

struct br_slots_config {
	struct br_node_id self;
	uint64_t incarnation;
	char zone[BR_NAME_BYTES];
	/** Time to live of the platform lease (autonomy_s). */
	uint64_t platform_lease_ttl_us;
	/** Term of the rate leases granted to nodes (lease_term_ms). */
	uint64_t rate_lease_term_us;
	/**
	 * Time after its start for which a process does not grant from a slot that was released
	 * cleanly: the time until a configuration change is in force everywhere plus a lease term.
	 * A process that just started does not know the limits before a recent change, so it could
	 * grant a larger part while other holders still grant by the old limits.
	 */
	uint64_t startup_grant_delay_us;
};

struct br_slots;

/** Creates the state machine with a copy of cfg; returns NULL if out of memory. */
struct br_slots *br_slots_create(const struct br_slots_config *cfg);
void br_slots_destroy(struct br_slots *s);

/**
 * Advances the state machine and fills *op with an operation to run. Returns false if there is
 * none now. Call it until it returns false, at least every 100 ms. Operations may run concurrently;
 * the result of each must be passed to br_slots_result().
 */
bool br_slots_tick(struct br_slots *s, const struct br_slots_input *view, uint64_t now_us,
		   struct br_slot_op *op);

/** Processes the result of an operation. */
void br_slots_result(struct br_slots *s, const struct br_slot_op *op,
		     const struct br_slot_result *res, uint64_t now_us);

/**
 * Processes a slot key from a range read; ignored for a slot that this node holds or that has an
 * operation pending. Returns 0, or -EINVAL for a malformed value or a slot of BR_SLOTS_MAX or
 * above.
 */
int br_slots_observe(struct br_slots *s, uint32_t slot, const char *value, size_t len,
		     uint64_t mod_rev, uint64_t now_us);

/**
 * Returns true if this node may grant rate leases from a slot at now_us. Check it at each grant,
 * because the right may have expired while the process was paused.
 */
bool br_slots_may_grant(const struct br_slots *s, uint32_t slot, uint64_t now_us);

/**
 * Returns true if this node may act as the registrar of a slot at now_us: as br_slots_may_grant(),
 * but without waiting for startup_grant_delay_us, since claims do not depend on the limits of
 * accounts.
 */
bool br_slots_may_register(const struct br_slots *s, uint32_t slot, uint64_t now_us);

/**
 * Returns true if this node holds a slot and is not releasing it, and its platform lease is valid
 * at now_us, even if it may not grant from the slot yet.
 */
bool br_slots_holds(const struct br_slots *s, uint32_t slot, uint64_t now_us);

/**
 * Returns the time at which this node's right to grant from its slots ends; 0 without a platform
 * lease.
 */
uint64_t br_slots_right_until(const struct br_slots *s);

/** State of a slot's key when its holder acquired the slot. */
enum br_slot_origin {
	/** No key: the slot was never used, or the former holder's platform lease expired. */
	BR_SLOT_ORIGIN_ABSENT,
	/** The former holder had written the key as released. */
	BR_SLOT_ORIGIN_RELEASED,
	/** The former holder had not released the key. */
	BR_SLOT_ORIGIN_TAKEN_OVER,
};

/** A tenure: the time for which this process holds a slot. */
struct br_slot_tenure {
	/** Start of the tenure; distinguishes the tenures of one slot. */
	uint64_t since_us;
	enum br_slot_origin origin;
	/** Value of the key before the tenure; epoch 0 if the key was absent. */
	struct br_slot_holder former_holder;
};

/**
 * Reads this node's current tenure of a slot, which lasts from the write of the key to its release.
 * Returns false if this node does not hold the slot. A tenure does not imply the right to grant;
 * see br_slots_may_grant().
 */
bool br_slots_tenure(const struct br_slots *s, uint32_t slot, struct br_slot_tenure *out);

/** Returns true while this node releases a slot: no more grants, but the key is still held. */
bool br_slots_releasing(const struct br_slots *s, uint32_t slot);

/**
 * Starts the clean release of all slots: grants stop now, each key is written as released after
 * one lease term, and the platform lease is deleted last. Keep calling br_slots_tick() until
 * br_slots_released() returns true.
 */
void br_slots_release_all(struct br_slots *s, uint64_t now_us);

/** Returns true if br_slots_release_all() is complete: all released, no operation pending. */
bool br_slots_released(const struct br_slots *s);

/**
 * Returns the holder of a slot; NULL if none is known or the slot is released. Valid until the next
 * call that changes the map.
 */
const struct br_slot_holder *br_slots_holder(const struct br_slots *s, uint32_t slot);

/**
 * Returns the entry of the holder map for gossip, released ones included; NULL if none is known.
 * Valid until the next call that changes the map.
 */
const struct br_slot_holder *br_slots_entry(const struct br_slots *s, uint32_t slot);

/**
 * Merges a gossiped entry; the higher epoch wins, ties are decided by node id, incarnation and
 * released. For a slot that this node holds, an entry of another process only sets the competing
 * epoch, which the next write of the key exceeds. Returns true if the entry or that epoch changed.
 */
bool br_slots_merge(struct br_slots *s, uint32_t slot, const struct br_slot_holder *entry);

/** Returns a hash of the holder map; it is equal on nodes that know the same entries. */
uint64_t br_slots_digest(const struct br_slots *s);

/** Encodes a slot value as JSON. Returns its length, -ENOSPC or -ENOMEM. */
int br_slot_value_encode(const struct br_slot_holder *h, char *out, size_t out_bytes);

/** Decodes a slot value of len bytes. Returns 0, or -EINVAL if it is malformed or out of memory. */
int br_slot_value_decode(const char *text, size_t len, struct br_slot_holder *out);

/** A set of slots, as a bitmap. */
struct br_slot_set {
	uint64_t bits[BR_SLOTS_MAX / 64];
};

bool br_slot_set_has(const struct br_slot_set *set, uint32_t slot);
uint32_t br_slot_set_count(const struct br_slot_set *set);

/**
 * Selects the slots over which an account's rate is split: the min(n_slots, max(1,
 * burst_tokens / 2)) slots with the best rendezvous rank, so that each part has at least two tokens
 * of burst if the account has. A smaller burst uses a subset of the slots of a larger one.
 */
void br_slots_of_account(const char *account, uint64_t burst_tokens, uint32_t n_slots,
			 struct br_slot_set *out);

/** One slot's part of an account's rate and burst. */
struct br_slot_part {
	uint64_t rate_mtok_s;
	uint64_t burst_ntok;
};

/**
 * Returns a slot's part of an account whose rate is split over set. The parts of all slots of the
 * set sum exactly to (rate_mtok_s, burst_ntok); the part of a slot outside the set is zero.
 */
struct br_slot_part br_slot_part_of(const struct br_slot_set *set, uint32_t slot,
				    uint64_t rate_mtok_s, uint64_t burst_ntok);

#endif
