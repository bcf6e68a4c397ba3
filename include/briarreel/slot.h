/**
 * @file slot.h
 * Share slots: which slots this node claims, renews and releases, and which node holds each slot.
 *
 * The module performs no I/O. br_slots_tick() yields operations for the platform's key-value
 * service and br_slots_result() takes their results. It is not thread safe.
 */
#ifndef BRIARREEL_SLOT_H
#define BRIARREEL_SLOT_H

#include "briarreel/types.h"

/** Largest number of share slots. */
#define BR_SLOTS_MAX 256
/** Bytes of an encoded slot value with its terminator; control characters take six bytes each. */
#define BR_SLOT_VALUE_BYTES 1024
/** Prefix of the platform keys of slots; the slot number in decimal follows. */
#define BR_SLOT_KEY_PREFIX "briarreel/slot/"

/** The value of a slot key, also the entry of the holder map that nodes gossip. */
struct br_slot_holder {
	struct br_node_id node;
	uint64_t incarnation;
	/** Grows by at least 1 with each change of holder; 0 means that no holder is known. */
	uint64_t epoch;
	char zone[BR_NAME_BYTES];
	/** True if the holder released the slot after all of its rate leases had ended. */
	bool released;
};

/** A live member as the membership table shows it. This node is one of them. */
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

/** What br_slots_tick() needs to know about the fleet; all of it stays owned by the caller. */
struct br_slot_view {
	const struct br_slot_member *members;
	size_t n_members;
	/** Names of all `zone` records in sorted order. */
	const char *const *zones;
	size_t n_zones;
	const struct br_slot_retired *retired;
	size_t n_retired;
	/** Number of share slots, at most BR_SLOTS_MAX. */
	uint32_t n_slots;
};

/** Operations on the platform. */
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

/** An operation; the caller returns it with its result. */
struct br_slot_op {
	enum br_slot_op_kind kind;
	uint32_t slot;
	/** Monotonic time at which the operation was yielded, so before it is sent. */
	uint64_t issued_us;
	uint64_t cas_rev;
	/** Platform lease of a write, renewal or deletion; 0 in a write means without a lease. */
	uint64_t lease_id;
	uint64_t ttl_us;
	char value[BR_SLOT_VALUE_BYTES];
};

enum br_slot_status {
	BR_SLOT_OK,
	/** A write met another revision; present, mod_rev and value tell the current one. */
	BR_SLOT_CONFLICT,
	/** The platform does not know the lease of a renewal or write. */
	BR_SLOT_NO_LEASE,
	/** The operation certainly had no effect. */
	BR_SLOT_UNAVAILABLE,
	/** The answer was lost: the operation may or may not have taken effect. */
	BR_SLOT_UNKNOWN,
};

/** The result of an operation. */
struct br_slot_result {
	enum br_slot_status status;
	/** Read and conflict: whether the key exists. */
	bool present;
	/** Revision of the key: as read, as written, or as found by a conflict (0 if not known). */
	uint64_t mod_rev;
	/** Value of the key after a read or conflict; NULL if not known. */
	const char *value;
	size_t value_len;
	/** Id of a created lease. */
	uint64_t lease_id;
};

struct br_slots_config {
	struct br_node_id self;
	uint64_t incarnation;
	char zone[BR_NAME_BYTES];
	/** Time to live of the platform lease (autonomy_s). */
	uint64_t ttl_us;
	/** Term of the rate leases given to nodes (lease_term_ms). */
	uint64_t lease_term_us;
	/**
	 * Age below which a process does not grant from a slot that was released cleanly: the time
	 * for a configuration change to be in force everywhere plus one lease term. A young process
	 * does not know the limits before a recent change, so it could grant its larger part while
	 * others still grant theirs of before.
	 */
	uint64_t settle_us;
};

struct br_slots;

/** Creates the state machine; NULL if there is no memory. */
struct br_slots *br_slots_create(const struct br_slots_config *cfg);
void br_slots_destroy(struct br_slots *s);

/**
 * Advances the state machine and fills *op with an operation to run. Returns false if there is
 * none at present. Call it until it returns false, at least every 100 ms. Operations may run
 * concurrently; each must be answered by br_slots_result() in the end.
 */
bool br_slots_tick(struct br_slots *s, const struct br_slot_view *view, uint64_t now_us,
		   struct br_slot_op *op);

/** Takes the result of an operation. */
void br_slots_result(struct br_slots *s, const struct br_slot_op *op,
		     const struct br_slot_result *res, uint64_t now_us);

/** Notes a slot key seen in a range read. Returns 0 or -EINVAL for a malformed value. */
int br_slots_observe(struct br_slots *s, uint32_t slot, const char *value, size_t len,
		     uint64_t mod_rev, uint64_t now_us);

/**
 * True if this node may grant rate leases from a slot at now_us. Check it at the time of each
 * grant, because a paused process can find that its right has ended.
 */
bool br_slots_may_grant(const struct br_slots *s, uint32_t slot, uint64_t now_us);

/**
 * True if this node may act as the registrar of a slot at now_us: as br_slots_may_grant(), without
 * the wait of a young process, since claims do not depend on the limits of accounts.
 */
bool br_slots_may_register(const struct br_slots *s, uint32_t slot, uint64_t now_us);

/** True if this node holds a slot at now_us, though it may still have to wait before it grants. */
bool br_slots_holds(const struct br_slots *s, uint32_t slot, uint64_t now_us);

/** Time at which the right to grant from all slots of this node ends; 0 without a lease. */
uint64_t br_slots_right_until(const struct br_slots *s);

/** What a holder found at the key when it took a slot. */
enum br_slot_origin {
	/** No key: the slot was never used, or the former holder's platform lease ran out. */
	BR_SLOT_ABSENT,
	/** A key that the former holder had written as released. */
	BR_SLOT_RELEASED,
	/** A key that the former holder had not released. */
	BR_SLOT_TAKEN_OVER,
};

/** A tenure of a slot by this process; since_us tells its tenures of one slot apart. */
struct br_slot_tenure {
	uint64_t since_us;
	enum br_slot_origin origin;
	/** Value of the key before; epoch 0 if it was absent. */
	struct br_slot_holder former;
};

/**
 * This node's present tenure of a slot, from the write of the key to its release; see
 * br_slots_may_grant() for the right to act. Returns false if this node does not hold the slot.
 */
bool br_slots_tenure(const struct br_slots *s, uint32_t slot, struct br_slot_tenure *out);

/** True while this node releases a slot that it holds: no grants, key not yet released. */
bool br_slots_releasing(const struct br_slots *s, uint32_t slot);

/**
 * Begins the clean release: no grants from now on; after one lease term each key is written as
 * released, then the platform lease is deleted. Keep calling br_slots_tick().
 */
void br_slots_release_all(struct br_slots *s, uint64_t now_us);

/** True if every slot is released and no operation is open. */
bool br_slots_released(const struct br_slots *s);

/** Entry of the holder map; NULL if no holder is known or the slot is released. */
const struct br_slot_holder *br_slots_holder(const struct br_slots *s, uint32_t slot);

/** Raw entry of the holder map for gossip, released ones included; NULL if none is known. */
const struct br_slot_holder *br_slots_entry(const struct br_slots *s, uint32_t slot);

/** Merges a gossiped entry; the higher epoch wins. Returns true if the map changed. */
bool br_slots_merge(struct br_slots *s, uint32_t slot, const struct br_slot_holder *entry);

/** Hash of the holder map, equal on nodes that know the same entries. */
uint64_t br_slots_digest(const struct br_slots *s);

/** Encodes a slot value as JSON. Returns its length or -ENOSPC or -ENOMEM. */
int br_slot_value_encode(const struct br_slot_holder *h, char *out, size_t out_bytes);

/** Decodes a slot value. Returns 0 or -EINVAL. */
int br_slot_value_decode(const char *text, size_t len, struct br_slot_holder *out);

/** A set of slots. */
struct br_slot_set {
	uint64_t bits[BR_SLOTS_MAX / 64];
};

bool br_slot_set_has(const struct br_slot_set *set, uint32_t slot);
uint32_t br_slot_set_count(const struct br_slot_set *set);

/**
 * Slots that an account's rate is split over: min(n_slots, max(1, burst_tokens / 2)) slots with
 * the best rendezvous rank, so a smaller burst uses a subset of the slots of a larger one.
 */
void br_slots_of_account(const char *account, uint64_t burst_tokens, uint32_t n_slots,
			 struct br_slot_set *out);

/** One slot's part of an account's rate and burst. */
struct br_slot_part {
	uint64_t rate_mtok_s;
	uint64_t burst_ntok;
};

/**
 * Part of an account in a slot of set. The parts of all slots of the set sum exactly to
 * (rate_mtok_s, burst_ntok); a slot outside the set has nothing.
 */
struct br_slot_part br_slot_part_of(const struct br_slot_set *set, uint32_t slot,
				    uint64_t rate_mtok_s, uint64_t burst_ntok);

#endif
