/**
 * @file types.h
 * Sizes, identifiers and random numbers that the other modules share.
 */
#ifndef BRIARREEL_TYPES_H
#define BRIARREEL_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Bytes of a node id text ("ip:port") with its terminator. */
#define BR_NODE_ID_BYTES 48
/** Bytes of the name of an account, service, zone, route or key with its terminator. */
#define BR_NAME_BYTES 64
/** Bytes of a caller's request id with its terminator. */
#define BR_REQUEST_ID_BYTES 80
/** Request priorities: 0 is the most important, BR_PRIORITIES - 1 the least. */
#define BR_PRIORITIES 8
/** Nano-tokens in one token; milli-tokens per second times microseconds are nano-tokens. */
#define BR_NTOK_PER_TOKEN 1000000000ULL
/** Milli-tokens in one token. */
#define BR_MTOK_PER_TOKEN 1000ULL

#define BR_US_PER_MS 1000ULL
#define BR_US_PER_S 1000000ULL

/** Identifies a node by the address of its peer port, "ip:port". */
struct br_node_id {
	char text[BR_NODE_ID_BYTES];
};

/** Pseudo-random generator (xorshift64*); seeded by the caller, so runs can be repeated. */
struct br_rng {
	uint64_t state;
};

/** Seeds a generator. Any seed is valid, 0 included. */
void br_rng_seed(struct br_rng *rng, uint64_t seed);

/** Returns the next 64 random bits. */
uint64_t br_rng_next(struct br_rng *rng);

/** Returns a number in [0, limit); 0 if limit is 0. */
uint64_t br_rng_below(struct br_rng *rng, uint64_t limit);

/** 64-bit FNV-1a hash with a final mix, for tables and rendezvous ranks; not for secrets. */
uint64_t br_hash64(const void *data, size_t len, uint64_t seed);

/** br_hash64() of a string without its terminator. */
uint64_t br_hash_str(const char *text, uint64_t seed);

/** True if both ids name the same node. */
bool br_node_id_equal(const struct br_node_id *a, const struct br_node_id *b);

/** Copies text into dst of dst_bytes with truncation; returns false if it did not fit. */
bool br_copy_text(char *dst, size_t dst_bytes, const char *text);

/** Reports a broken invariant on stderr and aborts. */
_Noreturn void br_invariant_failed(const char *file, int line, const char *condition);

/** Asserts an invariant of a module; on in every build. */
#define BR_INVARIANT(cond)                                              \
	do {                                                            \
		if (!(cond))                                            \
			br_invariant_failed(__FILE__, __LINE__, #cond); \
	} while (0)

#endif
