/**
 * @file bucket.h
 * Token bucket of a node for one account, backed by rate leases from several holders.
 *
 * The leases are merged: the bucket refills at the sum of the leased rates and holds at most the
 * sum of the leased bursts. The limits over all nodes therefore apply as with separate buckets, and
 * fractions of a token from several holders add up. Not thread-safe; the caller locks each bucket.
 *
 * briarreeld limits rates in this way. briarreel-mesh uses quota.h instead.
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

/** A holder: a node that holds slots of the account and grants leases on them. */
struct br_bucket_holder {
	struct br_node_id node;
	uint64_t incarnation;
	/** True if the holder is in this node's zone. */
	bool same_zone;
	/** Number of the account's slots that the holder has. */
	uint32_t slots;
};

struct br_bucket;

/** Creates an empty bucket without holders. Returns NULL if out of memory. */
struct br_bucket *br_bucket_create(const struct br_bucket_config *cfg);
void br_bucket_destroy(struct br_bucket *b);

/**
 * Sets the account's total rate (millitokens per second) and burst (nanotokens) and the number of
 * slots over which they are divided. All are 0 initially, and the bucket then admits nothing. The
 * bucket never refills faster or holds more than these limits, so a lowered rate takes effect
 * before the leases change.
 */
void br_bucket_set_limits(struct br_bucket *b, uint64_t rate_mtok_s, uint64_t burst_ntok,
			  uint32_t n_slots, uint64_t now_us);

/**
 * Sets the holders from which leases are requested. Leases of a holder that is no longer listed
 * remain valid until they expire. Returns 0 or -ENOMEM.
 */
int br_bucket_set_holders(struct br_bucket *b, const struct br_bucket_holder *holders, size_t n,
			  uint64_t now_us);

/**
 * Takes one token. first is true on the first try for a request and false when a waiting request
 * tries again, so that the demand estimate counts each request once. On success *valid_until_us is
 * the time until which the token is valid: the caller must read the clock again and refuse the
 * request if that time is reached.
 *
 * Returns 0; -EAGAIN if there is no token now, but one is due within 30 ms or a request for more is
 * pending or can be sent (call br_bucket_select_holders()); -EDQUOT if no holder has more. After
 * -EAGAIN the request counts as waiting until a further try returns another value or
 * br_bucket_wait_ended() is called.
 */
int br_bucket_take(struct br_bucket *b, bool first, uint64_t now_us, uint64_t *valid_until_us);

/** Records that a request whose last try returned -EAGAIN no longer waits for a token. */
void br_bucket_wait_ended(struct br_bucket *b);

/**
 * Writes the holders to which a lease request should be sent now: those of the own zone first,
 * others for what the own zone cannot provide. Returns their number, at most max. Call after
 * -EAGAIN and about every 50 ms.
 */
size_t br_bucket_select_holders(struct br_bucket *b, uint64_t now_us, struct br_bucket_holder *out,
				size_t max);

/**
 * Fills in a lease request to a holder. The tokens, rate and burst that the request returns to the
 * holder are removed from the bucket. now_us must be read before the request is sent. Returns 0, or
 * -ENOENT if the holder is not known.
 */
int br_bucket_make_request(struct br_bucket *b, const struct br_bucket_holder *holder,
			   uint64_t now_us, struct br_lease_request *req);

/** Applies a lease answer. Returns 0, or -ESTALE if it does not answer the latest request. */
int br_bucket_apply(struct br_bucket *b, const struct br_bucket_holder *holder,
		    const struct br_lease_reply *rep, uint64_t now_us);

/**
 * Records that lease request seq to a holder failed. The holder is asked again after 300 ms,
 * doubling with each further failure up to 2.4 s. Ignored if seq is not the latest request or is no
 * longer pending.
 */
void br_bucket_request_failed(struct br_bucket *b, const struct br_bucket_holder *holder,
			      uint64_t seq, uint64_t now_us);

/** Returns the estimated arrival rate, including refused requests, in millitokens per second. */
uint64_t br_bucket_demand_mtok_s(struct br_bucket *b, uint64_t now_us);

/** State of a bucket: sums over the current leases, and the available tokens. */
struct br_bucket_stats {
	uint64_t rate_mtok_s;
	uint64_t burst_ntok;
	uint64_t tokens_ntok;
	/** Number of current leases. */
	uint32_t leases;
};

void br_bucket_stats(struct br_bucket *b, uint64_t now_us, struct br_bucket_stats *out);

#endif
