/**
 * @file claim.h
 * Tables of the registrar and one claim in memory; internal to the library.
 */
#ifndef LIB_CLAIM_H
#define LIB_CLAIM_H

#include "briarreel/registrar.h"

#include <sys/queue.h>

/** A claim. Texts are stored at their own length, because a holder keeps hundreds of thousands. */
struct claim {
	uint64_t hash;
	uint64_t expires_us;
	/** Incarnation and counter of the attempt id. */
	uint64_t entry_incarnation;
	uint64_t counter;
	/** Incarnation of the target's node. */
	uint64_t incarnation;
	struct claim *hash_next;
	TAILQ_ENTRY(claim) link;
	TAILQ_ENTRY(claim) released_link;
	uint16_t slot;
	uint8_t id_at;
	uint8_t entry_at;
	uint16_t node_at;
	bool released;
	/** Account, id, entry node, target's node, each with its terminator. */
	char text[];
};

TAILQ_HEAD(claim_list, claim);

struct slot {
	/** Claims, the one that expires first at the head. */
	struct claim_list claims;
	bool held;
	/** Kept for an export. */
	bool closed;
	/** The former holder's slot state was imported. */
	bool imported;
	bool import_failed;
	uint64_t refuse_until_us;
	uint64_t takeover_wall_ms;
};

struct br_registrar {
	struct br_registrar_config cfg;
	struct claim **claims;
	uint64_t mask;
	uint32_t n_claims;
	struct slot *slots;
	struct claim_list released;
};

/** NULL if there is no memory or a text is longer than its type allows. */
struct claim *claim_create(const struct br_claim_key *key, const struct br_claim_where *where);

const char *claim_account(const struct claim *c);
const char *claim_id(const struct claim *c);

/** True if the claim is held by this attempt. */
bool claim_is(const struct claim *c, const struct br_attempt_id *attempt);

/** True if the claim is held by an attempt of the same process. */
bool claim_same_entry(const struct claim *c, const struct br_attempt_id *attempt);

void claim_where(const struct claim *c, struct br_claim_where *out);

#endif
