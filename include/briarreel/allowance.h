/**
 * @file allowance.h
 * Retries left for one request over its whole call tree.
 *
 * The entry node starts a request with the route's retry limit. A node lends part of a running
 * request's allowance to each child call and adds back what the child returns. A loan whose answer
 * is lost counts as spent, so the retries of the whole tree never sum to more than the limit.
 * The caller locks.
 */
#ifndef BRIARREEL_ALLOWANCE_H
#define BRIARREEL_ALLOWANCE_H

#include "briarreel/types.h"

/** Allowance of one running request. left + lent + spent always equals limit. */
struct br_allowance {
	uint32_t limit;
	uint32_t left;
	uint32_t lent;
	uint32_t spent;
	bool closed;
};

/** Starts an allowance of limit retries: the route's limit, or the loan that came with a call. */
void br_allowance_init(struct br_allowance *a, uint32_t limit);

/** Takes one retry before another attempt is sent. Returns false if none is left. */
bool br_allowance_spend(struct br_allowance *a);

/** Lends half of what is left, rounded up, to a child call and returns the loan (may be 0). */
uint32_t br_allowance_lend(struct br_allowance *a);

/**
 * Settles a loan: adds back unused, at most loan; the rest counts as spent. The caller settles each
 * loan once. After br_allowance_close() nothing is added back.
 */
void br_allowance_return(struct br_allowance *a, uint32_t loan, uint32_t unused);

/** Settles a loan whose answer was lost: all of it counts as spent. */
void br_allowance_lose(struct br_allowance *a, uint32_t loan);

/**
 * Ends the allowance when the request is answered and returns the unused retries, which go back to
 * the lender. Loans that are still out count as spent; a second call returns 0.
 */
uint32_t br_allowance_close(struct br_allowance *a);

#endif
