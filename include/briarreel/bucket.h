/**
 * @file bucket.h
 * A node's token bucket for one account, filled by its rate leases from several holders.
 *
 * The leases are merged: the bucket mints at the sum of the leased rates and is capped at the sum
 * of the leased bursts, so the fleet-wide sums bound it as they would separate buckets, and
 * fractions of a token from several holders add up. Not thread safe: callers lock each bucket.
 */
#ifndef BRIARREEL_BUCKET_H
#define BRIARREEL_BUCKET_H

#include "briarreel/grantor.h"
#include "briarreel/types.h"

struct br_bucket_config {
	char account[BR_NAME_BYTES];
	struct br_node_id self;
	uint64_t incarnation;
};

/** A node that holds slots of the account. */
struct br_bucket_holder {
	struct br_node_id node;
	uint64_t incarnation;
	/** True if the holder is in this node's zone. */
	bool own_zone;
	/** Number of the account's slots that it holds. */
	uint32_t slots;
};

struct br_bucket;

/** Creates an empty bucket without holders; NULL if there is no memory. */
struct br_bucket *br_bucket_create(const struct br_bucket_config *cfg);
void br_bucket_destroy(struct br_bucket *b);

/**
 * Sets the account's whole rate and burst and the number of slots they are split over; all are 0
 * at first, and then the bucket admits nothing. The bucket
 * never mints or holds more than that, so a lowered rate takes effect before the leases change.
 */
void br_bucket_set_limits(struct br_bucket *b, uint64_t rate_mtok_s, uint64_t burst_ntok,
			  uint32_t n_slots, uint64_t now_us);

/**
 * Sets the holders to ask. Leases of a holder that is no longer listed run to their end.
 * Returns 0 or -ENOMEM.
 */
int br_bucket_set_holders(struct br_bucket *b, const struct br_bucket_holder *holders, size_t n,
			  uint64_t now_us);

/**
 * Debits one token. first is true on the first try for a request and false when a waiting request
 * tries again, so that demand counts it once. On success *valid_until_us is the time until which
 * the token is good: the caller reads the clock again and refuses the request if that time has
 * come. Returns 0; -EAGAIN if there is no token now but one is due within 30 ms or more has been or
 * will be asked for (run br_bucket_plan()); -EDQUOT if no holder has more. After -EAGAIN the request counts as waiting until
 * a further try returns another value or br_bucket_wait_ended() is called.
 */
int br_bucket_take(struct br_bucket *b, bool first, uint64_t now_us, uint64_t *valid_until_us);

/** Notes that a request whose last try returned -EAGAIN no longer waits for a token. */
void br_bucket_wait_ended(struct br_bucket *b);

/**
 * Chooses the holders to ask now: own zone first, others for what the own zone lacks. Returns
 * their number, at most max. Call it after -EAGAIN and about every 50 ms.
 */
size_t br_bucket_plan(struct br_bucket *b, uint64_t now_us, struct br_bucket_holder *out,
		      size_t max);

/**
 * Fills a request to a holder and gives up what it returns. now_us must be read before the request
 * is sent. Returns 0, or -ENOENT if the holder is not known.
 */
int br_bucket_make_request(struct br_bucket *b, const struct br_bucket_holder *holder,
			   uint64_t now_us, struct br_lease_req *req);

/** Applies an answer. Returns 0, or -ESTALE if it is not the answer to the latest request. */
int br_bucket_apply(struct br_bucket *b, const struct br_bucket_holder *holder,
		    const struct br_lease_rep *rep, uint64_t now_us);

/** Notes that a request to a holder failed; the holder is asked again after a pause. */
void br_bucket_failed(struct br_bucket *b, const struct br_bucket_holder *holder, uint64_t seq,
		      uint64_t now_us);

/** Estimated demand: arrivals a second, refused ones included. */
uint64_t br_bucket_demand_mtok_s(struct br_bucket *b, uint64_t now_us);

/** Figures for counters and tests. */
struct br_bucket_stats {
	uint64_t rate_mtok_s;
	uint64_t burst_ntok;
	uint64_t tokens_ntok;
	uint32_t leases;
};

void br_bucket_stats(struct br_bucket *b, uint64_t now_us, struct br_bucket_stats *out);

#endif
