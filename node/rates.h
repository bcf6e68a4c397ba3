/**
 * @file rates.h
 * Rate limits of client accounts: traffic threads take tokens, and the control thread maintains the
 * rate leases that provide them.
 */
#ifndef NODE_RATES_H
#define NODE_RATES_H

#include "briarreel/bucket.h"
#include "node/call.h"

struct br_record;
struct node;
struct rates;

/** Returns NULL if out of memory. */
struct rates *rates_create(struct node *node);
void rates_destroy(struct rates *r);

/**
 * Takes one token of an account for a call. If there is none, requests a lease and waits for a
 * token for at most rate_wait_ms. Returns BR_REASON_NONE, BR_REASON_OVER_RATE, or
 * BR_REASON_NO_CONFIG if no holder of the account's slots is known, as just after the start of the
 * node. Traffic threads.
 */
enum br_reason rates_take_token(struct rates *r, const struct br_record *account, struct call *c);

/** A lease request and the holder to which it is sent. */
struct rates_request {
	struct br_bucket_holder holder;
	struct br_lease_request req;
};

/** Updates the limits and holders of all accounts after a change. Control thread. */
void rates_refresh(struct rates *r, uint64_t now_us);

/** Writes up to max lease requests that are due and returns their number. Control thread. */
size_t rates_collect_requests(struct rates *r, uint64_t now_us, struct rates_request *out,
			      size_t max);

/** Applies the holder's answer to a request; rep is NULL if there is none. Control thread. */
void rates_apply_answer(struct rates *r, const struct rates_request *req,
			const struct br_lease_reply *rep, uint64_t now_us);

/**
 * Writes the leased rate, burst and lease count of each account and returns the bytes written.
 * Omits accounts that do not fit into buf.
 */
size_t rates_format_counters(struct rates *r, char *buf, size_t bytes);

#endif
