/**
 * @file rates.h
 * Rate limits of client accounts: traffic threads take tokens, and the control thread keeps the
 * rate leases behind them.
 */
#ifndef NODE_RATES_H
#define NODE_RATES_H

#include "briarreel/bucket.h"
#include "node/call.h"

struct br_record;
struct node;
struct rates;

struct rates *rates_create(struct node *node);
void rates_destroy(struct rates *r);

/**
 * Takes one token of an account for a call. Waits a short time for a lease that was asked for.
 * Returns BR_REASON_NONE, BR_REASON_OVER_RATE, or BR_REASON_NO_CONFIG while this node does not know
 * the holders of the account's slots, as just after its start. Traffic threads.
 */
enum br_reason rates_take(struct rates *r, const struct br_record *account, struct call *c);

/** A request to send to a holder. */
struct rates_request {
	struct br_bucket_holder holder;
	struct br_lease_req req;
};

/** Refreshes limits and holders of all accounts after a change. Control thread. */
void rates_refresh(struct rates *r, uint64_t now_us);

/** Collects up to max requests that are due. Control thread. */
size_t rates_collect(struct rates *r, uint64_t now_us, struct rates_request *out, size_t max);

/** Applies a holder's answer, NULL if none came. Control thread. */
void rates_answer(struct rates *r, const struct rates_request *req, const struct br_lease_rep *rep,
		  uint64_t now_us);

/** Writes the tokens and leases of each account; returns the bytes written. */
size_t rates_format_counters(struct rates *r, char *buf, size_t bytes);

#endif
