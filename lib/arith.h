/**
 * @file arith.h
 * Arithmetic on unsigned integers for the rate modules.
 */
#ifndef LIB_ARITH_H
#define LIB_ARITH_H

#include <stdint.h>

static inline uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

static inline uint64_t max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

/** Returns a - b, or 0 if b is larger (saturating subtraction). */
static inline uint64_t saturating_sub(uint64_t a, uint64_t b)
{
	return a > b ? a - b : 0;
}

#endif
