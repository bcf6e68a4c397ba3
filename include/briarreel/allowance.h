/**
 * @file allowance.h
 * Retry allowance of one request, shared by its whole call tree.
 *
 * The entry node starts a request with the route's retry limit. A node delegates part of a running
 * request's allowance to each child call and adds back what the child returns unused. If the answer
 * of a child is lost, the amount delegated to it counts as spent, so the retries of the whole tree
 * never exceed the limit. Not thread-safe; the caller locks.
 */
#ifndef BRIARREEL_ALLOWANCE_H
#define BRIARREEL_ALLOWANCE_H

#include "briarreel/types.h"

/**
 * Allowance of one running request, in retries. The limit always equals the sum of the other three
 * counters.
 */
struct br_allowance {
	uint32_t limit;
	/** Available for own retries or for child calls. */
	uint32_t remaining;
	/** Delegated to child calls that have not been settled yet. */
	uint32_t delegated;
	uint32_t spent;
	bool closed;
};

/** Starts an allowance of limit retries: the route's limit, or the amount delegated with a call. */
void br_allowance_init(struct br_allowance *a, uint32_t limit);

/**
 * Takes one retry; call before another attempt is sent. Returns false if none is left or the
 * allowance is closed.
 */
bool br_allowance_spend(struct br_allowance *a);

/** Delegates half of what is left, rounded up, to a child call. Returns the amount (may be 0). */
uint32_t br_allowance_delegate(struct br_allowance *a);

/**
 * Settles a child call to which delegated retries were given: adds back unused (at most delegated)
 * and counts the rest as spent. Call once for each child call. Does nothing after
 * br_allowance_close().
 */
void br_allowance_return(struct br_allowance *a, uint32_t delegated, uint32_t unused);

/** Settles a child call whose answer was lost: all delegated retries count as spent. */
void br_allowance_mark_lost(struct br_allowance *a, uint32_t delegated);

/**
 * Ends the allowance when the request is answered. Returns the unused retries, which go back to the
 * parent call. Retries of child calls that are not settled count as spent. A second call returns 0.
 */
uint32_t br_allowance_close(struct br_allowance *a);

#endif
