/**
 * @file claim.h
 * Claims and tables of the registrar; internal to the library.
 */
#ifndef LIB_CLAIM_H
#define LIB_CLAIM_H

#include "briarreel/registrar.h"

#include <sys/queue.h>

/** A claim. Texts have variable length to save memory: a holder stores hundreds of thousands. */
struct claim {
	uint64_t hash;
	uint64_t expires_us;
	/** Incarnation of the entry node, from the attempt id. */
	uint64_t entry_incarnation;
	/** Counter of the attempt id. */
	uint64_t counter;
	/** Incarnation of the target's node. */
	uint64_t target_incarnation;
	/** Next claim in the same hash bucket. */
	struct claim *hash_next;
	TAILQ_ENTRY(claim) link;
	TAILQ_ENTRY(claim) released_link;
	uint16_t slot;
	/** Offsets in text. */
	uint8_t id_offset;
	uint8_t entry_offset;
	uint16_t node_offset;
	bool released;
	/** Account, request id, entry node and target's node, each with its terminator. */
	char text[];
};

TAILQ_HEAD(claim_list, claim);

struct registrar_slot {
	/** Claims in order of last use: the order of expiry, unless the window was shortened. */
	struct claim_list claims;
	bool held;
	/** No longer held; the claims are kept for an export. */
	bool closed;
	/** The former holder's slot state was imported. */
	bool imported;
	bool import_failed;
	/** End of the window in which ids that may have been claimed before are refused. */
	uint64_t refuse_until_us;
	/** Wall-clock time of the takeover that started the refusal window. */
	uint64_t takeover_wall_ms;
};

struct br_registrar {
	struct br_registrar_config cfg;
	/** Hash table of the claims. */
	struct claim **buckets;
	uint64_t bucket_mask;
	uint32_t n_claims;
	struct registrar_slot *slots;
	/** Released claims of all slots; these are dropped first if the table is full. */
	struct claim_list released;
};

/** Creates a claim; returns NULL if out of memory or if the account or id is too long. */
struct claim *claim_create(const struct br_claim_key *key, const struct br_claim_location *where);

const char *claim_account(const struct claim *c);
const char *claim_id(const struct claim *c);

/** Returns true if this attempt holds the claim. */
bool claim_held_by(const struct claim *c, const struct br_attempt_id *attempt);

/** Returns true if the claim and this attempt come from the same process of an entry node. */
bool claim_from_process(const struct claim *c, const struct br_attempt_id *attempt);

/** Fills the attempt that holds the claim and its target. */
void claim_location(const struct claim *c, struct br_claim_location *out);

#endif
