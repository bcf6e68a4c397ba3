/**
 * @file grantor.h
 * Rate leases that a slot holder gives to nodes, out of its own part of each account's rate.
 *
 * For each account: the rates of all leases plus the rate of the holder's own reserve bucket
 * never exceed the entitlement, and the same holds for bursts. Tokens travel only together with
 * the burst that has room for them, so those in flight are covered too. Not thread safe.
 */
#ifndef BRIARREEL_GRANTOR_H
#define BRIARREEL_GRANTOR_H

#include "briarreel/types.h"

/**
 * A node's request for one account. The node has lowered its own lease to
 * (keep_rate_mtok_s, keep_burst_ntok) and debited returned_ntok before it sends this.
 */
struct br_lease_req {
	char account[BR_NAME_BYTES];
	struct br_node_id node;
	uint64_t incarnation;
	/** Incarnation of the holder that the request is meant for. */
	uint64_t holder_incarnation;
	/** Grows with each request of this node to this holder for this account. */
	uint64_t seq;
	uint64_t keep_rate_mtok_s;
	uint64_t keep_burst_ntok;
	uint64_t want_rate_mtok_s;
	uint64_t want_burst_ntok;
	/** Tokens that the node could use at once. */
	uint64_t want_ntok;
	/** Tokens given back, at most the burst given back. */
	uint64_t returned_ntok;
};

/** A holder's answer; rate and burst are absolute. */
struct br_lease_rep {
	char account[BR_NAME_BYTES];
	uint64_t holder_incarnation;
	/** Sequence number of the request that this answers. */
	uint64_t seq;
	uint64_t rate_mtok_s;
	uint64_t burst_ntok;
	/** Tokens debited from the holder's reserve for the node. */
	uint64_t granted_ntok;
	/** Term of the lease, counted by the node from before it sent the request. */
	uint64_t term_us;
	/** The node got less than it wanted because others compete: renew early. */
	bool contended;
	/** The holder has neither rate, burst nor tokens left for this node at present. */
	bool nothing_free;
};

struct br_grantor_config {
	/** Incarnation of this node; requests meant for another one are refused. */
	uint64_t incarnation;
	uint64_t lease_term_us;
	/**
	 * Part of each rate that is not minted, in millionths, so that a clock that runs fast by
	 * that much does not exceed the rate in true time.
	 */
	uint32_t rate_margin_ppm;
};

/** Tokens minted at a rate in a time, at most room; exact, without overflow. */
static inline uint64_t br_mint_ntok(uint64_t rate_mtok_s, uint64_t elapsed_us, uint64_t room)
{
	if (!rate_mtok_s)
		return 0;
	return elapsed_us > room / rate_mtok_s ? room : rate_mtok_s * elapsed_us;
}

/** Rate margin for clocks of 1% rate error. */
#define BR_GRANTOR_RATE_MARGIN_PPM 10000

struct br_grantor;

/** Creates a grantor without entitlements; NULL if there is no memory. */
struct br_grantor *br_grantor_create(const struct br_grantor_config *cfg);
void br_grantor_destroy(struct br_grantor *g);

/**
 * Sets what this holder may grant for an account: the sum over the slots for which
 * br_slots_may_grant() holds. Less than before takes effect at once; an increase brings no
 * tokens. (0, 0) removes it. Returns 0 or -ENOMEM.
 */
int br_grantor_set_entitlement(struct br_grantor *g, const char *account, uint64_t rate_mtok_s,
			       uint64_t burst_ntok, uint64_t now_us);

/**
 * Sets the end of the right to grant (br_slots_right_until()). Requests at or after it get
 * nothing, even if the entitlements were not lowered in time. Initially 0: no right.
 */
void br_grantor_set_valid_until(struct br_grantor *g, uint64_t until_us);

/**
 * Handles a request and fills *rep. Returns 0 if *rep is to be sent, also when it grants nothing;
 * -ESTALE without an answer for a request that is older than the last one of that node or meant
 * for another incarnation; -ENOMEM.
 */
int br_grantor_request(struct br_grantor *g, const struct br_lease_req *req, uint64_t now_us,
		       struct br_lease_rep *rep);

/** Forgets lapsed leases and accounts without entitlement; call about once a second. */
void br_grantor_tick(struct br_grantor *g, uint64_t now_us);

/** Figures of one account for counters and tests. */
struct br_grantor_stats {
	uint64_t rate_mtok_s;
	uint64_t burst_ntok;
	uint64_t leased_rate_mtok_s;
	uint64_t leased_burst_ntok;
	uint64_t reserve_ntok;
	uint32_t leases;
};

/** Returns false if the account is not known. */
bool br_grantor_stats(struct br_grantor *g, const char *account, uint64_t now_us,
		      struct br_grantor_stats *out);

#endif
