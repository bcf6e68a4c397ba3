/**
 * @file registrar.h
 * Request ids claimed at a slot holder, so that one attempt runs for each id over the whole fleet.
 *
 * The module does not know whether this node may still act for a slot: the caller asks
 * br_slots_may_register() before each claim and calls br_registrar_drop() when the slot is lost.
 * Not thread-safe. Memory: 176 bytes for each claim of a UUID.
 */
#ifndef BRIARREEL_REGISTRAR_H
#define BRIARREEL_REGISTRAR_H

#include "briarreel/attempt.h"

struct br_registrar;

/** Largest share_slots. */
#define BR_REGISTRAR_MAX_SLOTS 1024
/** Bytes of one exported claim as text with its terminator. */
#define BR_CLAIM_LINE_BYTES 768

struct br_registrar_config {
	/** Slots of the deployment (share_slots). */
	uint32_t n_slots;
	/** Claims and released ids that are remembered (524288 if 0). */
	uint32_t max_claims;
	/** Time for which a claim is remembered after it was last used (120 s if 0). */
	uint64_t window_us;
	/** Largest difference of callers' clocks from ours, for UUIDv7 ids (5000 if 0). */
	uint64_t clock_skew_ms;
};

/** A request id of an account. */
struct br_claim_key {
	const char *account;
	const char *id;
};

/** Where an attempt runs. */
struct br_claim_where {
	struct br_attempt_id attempt;
	/** The target's node; empty text while the entry node has not chosen one. */
	struct br_node_id node;
	/** Incarnation of the target's node. */
	uint64_t incarnation;
};

enum br_claim_result {
	/** The attempt holds the claim; also for a repeated message of the same attempt. */
	BR_CLAIM_GRANTED,
	/** Another attempt holds it; where tells its node, incarnation and attempt id. */
	BR_CLAIM_RUNS_AT,
	/** Another attempt holds it and has no target yet. */
	BR_CLAIM_DISPATCHING,
	/** Taken over without memory; the id may have run. Not run, REGISTRAR_NO_MEMORY. */
	BR_CLAIM_NO_MEMORY,
	/** No room without forgetting live claims. Not run, REGISTRAR_FULL. */
	BR_CLAIM_FULL,
	/** The slot is not held here, or the id belongs to another slot. */
	BR_CLAIM_NOT_HOLDER,
	/** Late message of an attempt that was released. It must not be dispatched. */
	BR_CLAIM_RELEASED,
};

struct br_claim_reply {
	enum br_claim_result result;
	/** For RUNS_AT and DISPATCHING: the attempt that holds the claim. */
	struct br_claim_where where;
	/** For NO_MEMORY: time until the slot accepts every id again. */
	uint64_t retry_after_us;
};

/** A claim handed over to the next holder. */
struct br_claim_record {
	char account[BR_NAME_BYTES];
	char id[BR_REQUEST_ID_BYTES];
	struct br_claim_where where;
	bool released;
	/** Time for which the claim is still remembered. */
	uint64_t left_us;
};

/** State of a slot handed over with its claims. */
struct br_claim_slot {
	/** Rest of the refusal window of the former holder; 0 if it accepted every id. */
	uint64_t refuse_left_us;
	/** Wall-clock time of the takeover that began this window. */
	uint64_t takeover_wall_ms;
};

/** Position of an export; start with zeros. Valid until the slot is dropped or taken over. */
struct br_claim_cursor {
	const void *next;
	bool started;
};

/** NULL if there is no memory or n_slots is out of range. */
struct br_registrar *br_registrar_create(const struct br_registrar_config *cfg);
void br_registrar_destroy(struct br_registrar *r);

/** Slot of a request id: n if the id ends in "@<n>" with n < n_slots, else by hash. */
uint32_t br_registrar_slot_of(const struct br_claim_key *key, uint32_t n_slots);

/** Reads the time of a UUIDv7 id, with or without an "@<n>" suffix; false if it is none. */
bool br_uuid7_time_ms(const char *id, uint64_t *time_ms);

/**
 * Starts to act for a slot. clean: the former holder stopped, and its slot state and all its claims
 * were imported before this call; the import is empty if the slot's key was absent, see
 * br_registrar_quiet_us(). Without clean or a whole import, ids that may have been claimed earlier
 * are refused for window_us. Returns 0, -ERANGE, or -EBUSY if the slot is already held here.
 */
int br_registrar_takeover(struct br_registrar *r, uint32_t slot, uint64_t wall_ms, uint64_t now_us,
			  bool clean);

/** Stops to act for a slot and keeps its claims for an export. */
void br_registrar_close(struct br_registrar *r, uint32_t slot);

/**
 * Acts again for a closed slot that no other node has held meanwhile. Returns 0, or -ENOENT if the
 * slot is not closed.
 */
int br_registrar_reopen(struct br_registrar *r, uint32_t slot);

/**
 * Changes window_us. A longer window applies also to the claims that are remembered and to a
 * refusal that still runs; a shorter one leaves both as they are, because callers rely on what was
 * in force when their ids were claimed.
 */
void br_registrar_set_window(struct br_registrar *r, uint64_t window_us, uint64_t now_us);

/**
 * Time before the end of its right to a slot at which a holder stops to accept claims, so that all
 * of them have ended when the slot's key lapses: the window and 2% for the drift of clocks. 0 if
 * autonomy_us (the time to live of the key) is too short; an absent key then proves nothing.
 */
uint64_t br_registrar_quiet_us(uint64_t window_us, uint64_t autonomy_us);

/** Stops to act for a slot and forgets its claims. */
void br_registrar_drop(struct br_registrar *r, uint32_t slot);

/** True between takeover and close or drop. */
bool br_registrar_held(const struct br_registrar *r, uint32_t slot);

/**
 * Claims an id for where->attempt. first: the caller said that this is its first attempt, which
 * passes a registrar without memory; a remembered claim wins over it.
 *
 * first is only safe while the request is younger than the shortest takeover (one lease term): an
 * older message may have been overtaken by a repeat that ran under the former holder. The entry
 * node passes first = false for a request that waited longer or whose caller has hung up. If that
 * became so by the time of the reply, it neither dispatches the attempt nor releases the claim,
 * because a release would tell that the id is free.
 */
struct br_claim_reply br_registrar_claim(struct br_registrar *r, uint32_t slot,
					 const struct br_claim_key *key, bool first,
					 const struct br_claim_where *where, uint64_t now_us);

/**
 * Moves a claim from an attempt that was proven not run to another attempt of the same process, or
 * sets the target of a claim that had none (to->attempt equal to *from). A claim held by another
 * attempt is not moved and is reported as in br_registrar_claim(). If the claim is not remembered,
 * it is a new claim with first = false.
 */
struct br_claim_reply br_registrar_move(struct br_registrar *r, uint32_t slot,
					const struct br_claim_key *key,
					const struct br_attempt_id *from,
					const struct br_claim_where *to, uint64_t now_us);

/**
 * Releases a claim whose attempt was proven not run. Returns 0, also if it was released before;
 * -EPERM if another attempt holds it; -ENOENT if the slot is not held. A release that arrives
 * before its claim is remembered, so that the claim is then refused.
 */
int br_registrar_release(struct br_registrar *r, uint32_t slot, const struct br_claim_key *key,
			 const struct br_attempt_id *attempt, uint64_t now_us);

/** Copies up to max claims of a closed slot; returns their number, 0 at the end. */
size_t br_registrar_export(const struct br_registrar *r, uint32_t slot,
			   struct br_claim_cursor *cursor, struct br_claim_record *out, size_t max,
			   uint64_t now_us);

/** State of a closed slot for the next holder. */
void br_registrar_export_slot(const struct br_registrar *r, uint32_t slot, uint64_t now_us,
			      struct br_claim_slot *out);

/**
 * Begins the import of a slot before a clean takeover; drops what is left of an earlier hold or
 * import. Returns 0, -ERANGE, or -EBUSY if the slot is held here.
 */
int br_registrar_import_slot(struct br_registrar *r, uint32_t slot, const struct br_claim_slot *in,
			     uint64_t now_us);

/**
 * Stores claims of the former holder, after br_registrar_import_slot(). Returns 0; -EPERM if no
 * import was begun; -EINVAL if a claim belongs to another slot; -ENOSPC if they do not fit. After
 * an error the takeover is not clean.
 */
int br_registrar_import(struct br_registrar *r, uint32_t slot, const struct br_claim_record *in,
			size_t n, uint64_t now_us);

/** Writes a record as one line of text without a line end; out has BR_CLAIM_LINE_BYTES. */
void br_claim_record_format(const struct br_claim_record *rec, char *out);

/** Reads such a line; 0 or -EINVAL. */
int br_claim_record_parse(const char *line, struct br_claim_record *rec);

/** Removes expired claims; br_registrar_claim() also does. Call about once a second. */
void br_registrar_expire(struct br_registrar *r, uint64_t now_us);

/** Claims and released ids that are remembered. */
uint32_t br_registrar_count(const struct br_registrar *r);

#endif
