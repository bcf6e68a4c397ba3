#include "briarreel/types.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void br_rng_seed(struct br_rng *rng, uint64_t seed)
{
	/* xorshift has the fixed point 0, so the seed is mixed into a non-zero state. */
	rng->state = (seed ^ 0x9e3779b97f4a7c15ULL) * 0xbf58476d1ce4e5b9ULL;
	if (!rng->state)
		rng->state = 0x9e3779b97f4a7c15ULL;
}

uint64_t br_rng_next(struct br_rng *rng)
{
	uint64_t x = rng->state;

	x ^= x >> 12;
	x ^= x << 25;
	x ^= x >> 27;
	rng->state = x;
	return x * 0x2545f4914f6cdd1dULL;
}

double br_rng_unit(struct br_rng *rng)
{
	/* A double holds 53 bits. */
	return (double)(br_rng_next(rng) >> 11) / (double)(1ULL << 53);
}

uint64_t br_rng_below(struct br_rng *rng, uint64_t limit)
{
	return limit ? br_rng_next(rng) % limit : 0;
}

uint64_t br_hash64(const void *data, size_t len, uint64_t seed)
{
	const unsigned char *p = data;
	uint64_t h = 0xcbf29ce484222325ULL ^ seed;

	for (size_t i = 0; i < len; i++) {
		h ^= p[i];
		h *= 0x100000001b3ULL;
	}
	h ^= h >> 33;
	h *= 0xff51afd7ed558ccdULL;
	h ^= h >> 33;
	h *= 0xc4ceb9fe1a85ec53ULL;
	return h ^ (h >> 33);
}

uint64_t br_hash_str(const char *text, uint64_t seed)
{
	return br_hash64(text, strlen(text), seed);
}

bool br_node_id_equal(const struct br_node_id *a, const struct br_node_id *b)
{
	return strcmp(a->text, b->text) == 0;
}

bool br_copy_text(char *dst, size_t dst_bytes, const char *text)
{
	int n = snprintf(dst, dst_bytes, "%s", text);

	return n >= 0 && (size_t)n < dst_bytes;
}

void br_invariant_failed(const char *file, int line, const char *condition)
{
	fprintf(stderr, "invariant failed: %s:%d: %s\n", file, line, condition);
	abort();
}
