/**
 * @file types.h
 * Sizes, identifiers, random numbers, hashes, text copies and invariants that the other modules
 * share.
 */
#ifndef BRIARREEL_TYPES_H
#define BRIARREEL_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Size of the text of a node id, "ip:port", including the terminator. */
#define BR_NODE_ID_BYTES 48
/** Size of the name of an account, service, zone, route or key, including the terminator. */
#define BR_NAME_BYTES 64
/** Size of a caller's request id, including the terminator. */
#define BR_REQUEST_ID_BYTES 80
/** Request priorities: 0 is the most important, BR_PRIORITIES - 1 the least. */
#define BR_PRIORITIES 8
/** Nano-tokens per token. A rate in milli-tokens/s times a time in us gives nano-tokens. */
#define BR_NTOK_PER_TOKEN 1000000000ULL
/** Milli-tokens per token. */
#define BR_MTOK_PER_TOKEN 1000ULL

#define BR_US_PER_MS 1000ULL
#define BR_US_PER_S 1000000ULL

/** Identifies a node by the address of its peer port, "ip:port". */
struct br_node_id {
	char text[BR_NODE_ID_BYTES];
};

/** Pseudo-random generator (xorshift64*). The caller seeds it, which makes runs reproducible. */
struct br_rng {
	uint64_t state;
};

/** Seeds a generator. Any seed is valid, 0 included. */
void br_rng_seed(struct br_rng *rng, uint64_t seed);

/** Returns the next 64 random bits. */
uint64_t br_rng_next(struct br_rng *rng);

/** Returns a random number in [0, limit); 0 if limit is 0. */
uint64_t br_rng_below(struct br_rng *rng, uint64_t limit);

/** Returns a random number from 0 up to, but not including, 1. */
double br_rng_unit(struct br_rng *rng);

/**
 * Returns a 64-bit FNV-1a hash with a final mix, for hash tables and rendezvous hashing. Not
 * cryptographic.
 */
uint64_t br_hash64(const void *data, size_t len, uint64_t seed);

/** Returns br_hash64() of a string, without its terminator. */
uint64_t br_hash_str(const char *text, uint64_t seed);

/** Returns true if both ids name the same node. */
bool br_node_id_equal(const struct br_node_id *a, const struct br_node_id *b);

/** Copies text to dst, truncated to dst_bytes - 1 bytes. Returns false if it was truncated. */
bool br_copy_text(char *dst, size_t dst_bytes, const char *text);

/** Reports a broken invariant on stderr and aborts. */
_Noreturn void br_invariant_failed(const char *file, int line, const char *condition);

/** Aborts if an invariant does not hold. Enabled in every build, NDEBUG included. */
#define BR_INVARIANT(cond)                                              \
	do {                                                            \
		if (!(cond))                                            \
			br_invariant_failed(__FILE__, __LINE__, #cond); \
	} while (0)

#endif
