/**
 * @file registrar.h
 * Registrar of request ids: an attempt claims its request id at the holder of the id's slot, so
 * that at most one attempt runs for each id on all nodes.
 *
 * The module does not check whether this node may still act for a slot: the caller checks
 * br_slots_may_register() before each claim and calls br_registrar_drop() when the slot is lost.
 * Not thread-safe. Memory: 234 bytes for each claim (docs/CAPACITY.md).
 */
#ifndef BRIARREEL_REGISTRAR_H
#define BRIARREEL_REGISTRAR_H

#include "briarreel/attempt.h"

struct br_registrar;

/** Maximum number of slots (share_slots). */
#define BR_REGISTRAR_MAX_SLOTS 1024
/** Size of one exported claim as text, including the terminator. */
#define BR_CLAIM_LINE_BYTES 768

struct br_registrar_config {
	/** Number of share slots (share_slots). */
	uint32_t n_slots;
	/** Maximum number of claims and released ids that are stored (0: 524288). */
	uint32_t max_claims;
	/** Time for which a claim is stored after its last use (0: 120 s). */
	uint64_t window_us;
	/** Maximum difference of callers' clocks from this node's, for UUIDv7 ids (0: 5000). */
	uint64_t clock_skew_ms;
};

/** A request id of an account. */
struct br_claim_key {
	const char *account;
	const char *id;
};

/** An attempt and the target's node that runs it. */
struct br_claim_location {
	struct br_attempt_id attempt;
	/** The target's node; empty text until the entry node has chosen one. */
	struct br_node_id node;
	/** Incarnation of the target's node. */
	uint64_t incarnation;
};

enum br_claim_result {
	/** The attempt holds the claim; also returned for a repeated message of the attempt. */
	BR_CLAIM_GRANTED,
	/** Another attempt holds the claim; the reply tells its id and the target's node. */
	BR_CLAIM_RUNS_AT,
	/** Another attempt holds the claim and has no target yet. */
	BR_CLAIM_DISPATCHING,
	/**
	 * The slot was taken over without its claims, so an earlier attempt of the id may have run.
	 * The attempt is not run, with the reason BR_REASON_REGISTRAR_NO_HISTORY (no memory of
	 * earlier claims; running out of memory is BR_CLAIM_FULL).
	 */
	BR_CLAIM_NO_HISTORY,
	/**
	 * The table is full of unexpired claims, or memory for the claim ran out. The attempt is
	 * not run, with the reason BR_REASON_REGISTRAR_FULL.
	 */
	BR_CLAIM_FULL,
	/**
	 * This node does not hold the slot, the id belongs to another slot, or a move names
	 * attempts of different processes.
	 */
	BR_CLAIM_NOT_HOLDER,
	/** Late message of an attempt whose claim was released. It must not be dispatched. */
	BR_CLAIM_RELEASED,
};

struct br_claim_reply {
	enum br_claim_result result;
	/** For BR_CLAIM_RUNS_AT and BR_CLAIM_DISPATCHING: the attempt that holds the claim. */
	struct br_claim_location location;
	/** For BR_CLAIM_NO_HISTORY: time until the slot accepts every id again. */
	uint64_t retry_after_us;
};

/** A claim as exported to the next holder of its slot. */
struct br_claim_record {
	char account[BR_NAME_BYTES];
	char id[BR_REQUEST_ID_BYTES];
	struct br_claim_location location;
	bool released;
	/** Time until the claim expires. */
	uint64_t remaining_us;
};

/** State of a slot as exported with its claims. */
struct br_claim_slot {
	/** Remaining refusal window of the former holder; 0 if it accepted every id. */
	uint64_t refuse_remaining_us;
	/** Wall-clock time of the takeover that started this window. */
	uint64_t takeover_wall_ms;
};

/** Position of an export; initialize with zeros. Valid until the slot is dropped or taken over. */
struct br_claim_cursor {
	const void *next;
	bool started;
};

/** Creates a registrar that holds no slots. Returns NULL if out of memory or n_slots is invalid. */
struct br_registrar *br_registrar_create(const struct br_registrar_config *cfg);
void br_registrar_destroy(struct br_registrar *r);

/** Returns the slot of a request id: n if the id ends in "@<n>" with n < n_slots, else by hash. */
uint32_t br_registrar_slot_of(const struct br_claim_key *key, uint32_t n_slots);

/**
 * Reads the timestamp of a UUIDv7 id in Unix time; a suffix that starts with '@' is ignored.
 * Returns false if the id is not a UUIDv7.
 */
bool br_uuid7_time_ms(const char *id, uint64_t *time_ms);

/**
 * Starts to act for a slot. clean: the former holder stopped, and its slot state and all its claims
 * were imported before this call; the import is empty if the slot's key was absent, see
 * br_registrar_claim_cutoff_us(). If clean is false or the import is incomplete, ids that may have
 * been claimed earlier are refused for window_us. Returns 0, -ERANGE, or -EBUSY if this node
 * already holds the slot.
 */
int br_registrar_takeover(struct br_registrar *r, uint32_t slot, uint64_t wall_ms, uint64_t now_us,
			  bool clean);

/** Stops acting for a slot and keeps its claims for an export. */
void br_registrar_close(struct br_registrar *r, uint32_t slot);

/**
 * Resumes acting for a closed slot that no other node has held in the meantime. Returns 0, or
 * -ENOENT if the slot is not closed.
 */
int br_registrar_reopen(struct br_registrar *r, uint32_t slot);

/**
 * Changes window_us. A longer window also extends the stored claims and running refusal windows. A
 * shorter one leaves both unchanged, because callers rely on the window that was in force when
 * their ids were claimed.
 */
void br_registrar_set_window(struct br_registrar *r, uint64_t window_us, uint64_t now_us);

/**
 * Returns how long before the end of its right to a slot a holder stops accepting claims, so that
 * all claims have expired when the slot's key does: the window plus 2% for clock drift. Returns 0
 * if autonomy_us, the time to live of the key, is too short for that; an absent key then does not
 * imply that all claims have expired.
 */
uint64_t br_registrar_claim_cutoff_us(uint64_t window_us, uint64_t autonomy_us);

/** Stops acting for a slot and discards its claims. */
void br_registrar_drop(struct br_registrar *r, uint32_t slot);

/** Returns true if this node acts for the slot: from a takeover or reopen to a close or drop. */
bool br_registrar_held(const struct br_registrar *r, uint32_t slot);

/**
 * Claims an id for where->attempt. first: the caller declared that this is its first attempt; it is
 * then accepted even during the refusal window after a takeover. A stored claim takes precedence.
 *
 * first is only safe while the request is younger than the shortest takeover (one lease term): an
 * older message may have been overtaken by a repeat that ran under the former holder. The entry
 * node passes first = false for a request that waited longer or whose caller has disconnected. If
 * the request grows too old or its caller disconnects before the reply arrives, the entry node
 * neither dispatches the attempt nor releases the claim, because a release would declare the id
 * free.
 */
struct br_claim_reply br_registrar_claim(struct br_registrar *r, uint32_t slot,
					 const struct br_claim_key *key, bool first,
					 const struct br_claim_location *where, uint64_t now_us);

/**
 * Moves a claim from an attempt that was proven not run to another attempt of the same process, or
 * sets the target of a claim that had none (to->attempt equal to *from). A claim held by another
 * attempt is not moved and is reported as in br_registrar_claim(). If no claim is stored, this is a
 * new claim with first = false. Returns BR_CLAIM_NOT_HOLDER if both attempts are not of the same
 * process.
 */
struct br_claim_reply br_registrar_move(struct br_registrar *r, uint32_t slot,
					const struct br_claim_key *key,
					const struct br_attempt_id *from,
					const struct br_claim_location *to, uint64_t now_us);

/**
 * Releases a claim whose attempt was proven not run. Returns 0, also if it was released before;
 * -EPERM if another attempt holds it; -ENOENT if this node does not hold the slot. If the
 * release arrives before the claim, it is recorded so that the late claim is refused; this is not
 * done during the refusal window, or if the table is full or memory runs out.
 */
int br_registrar_release(struct br_registrar *r, uint32_t slot, const struct br_claim_key *key,
			 const struct br_attempt_id *attempt, uint64_t now_us);

/** Copies up to max claims of a closed slot to out; returns their number, 0 at the end. */
size_t br_registrar_export(const struct br_registrar *r, uint32_t slot,
			   struct br_claim_cursor *cursor, struct br_claim_record *out, size_t max,
			   uint64_t now_us);

/** Fills the state of a closed slot for the next holder; slot must be below n_slots. */
void br_registrar_export_slot(const struct br_registrar *r, uint32_t slot, uint64_t now_us,
			      struct br_claim_slot *out);

/**
 * Starts the import of a slot before a clean takeover and discards the claims of an earlier tenure
 * or import. Returns 0, -ERANGE, or -EBUSY if this node holds the slot.
 */
int br_registrar_import_slot(struct br_registrar *r, uint32_t slot, const struct br_claim_slot *in,
			     uint64_t now_us);

/**
 * Stores claims of the former holder, after br_registrar_import_slot(). Returns 0; -EPERM if no
 * import was started; -EINVAL if a claim belongs to another slot; -ENOSPC if the claims do not fit.
 * After an error the takeover is not clean.
 */
int br_registrar_import(struct br_registrar *r, uint32_t slot, const struct br_claim_record *in,
			size_t n, uint64_t now_us);

/** Formats a claim as one line without a newline; out has BR_CLAIM_LINE_BYTES bytes. */
void br_claim_record_format(const struct br_claim_record *rec, char *out);

/** Parses a line of br_claim_record_format(). Returns 0 or -EINVAL. */
int br_claim_record_parse(const char *line, struct br_claim_record *rec);

/**
 * Removes expired claims, except those of closed slots. Call about once a second;
 * br_registrar_claim() removes only those of its slot, unless the table is full.
 */
void br_registrar_expire(struct br_registrar *r, uint64_t now_us);

/** Returns the number of claims and released ids that are stored. */
uint32_t br_registrar_count(const struct br_registrar *r);

#endif
