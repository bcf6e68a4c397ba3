/**
 * @file grantor.h
 * Grantor: leases parts of a slot holder's entitlement to an account's rate to nodes.
 *
 * For each account, the rates of all leases plus the rate of the holder's reserve bucket never
 * exceed the entitlement, except that leases granted before a decrease of the entitlement keep
 * their amounts until they end; the same holds for bursts. Tokens are transferred only with burst
 * that has room for them, so tokens in transit are within these limits too. Not thread-safe.
 */
#ifndef BRIARREEL_GRANTOR_H
#define BRIARREEL_GRANTOR_H

#include "briarreel/types.h"

/**
 * A node's request for one account. Before the node sends it, it lowers its own lease to
 * (retained_rate_mtok_s, retained_burst_ntok) and debits returned_ntok from its bucket.
 */
struct br_lease_request {
	char account[BR_NAME_BYTES];
	struct br_node_id node;
	uint64_t incarnation;
	/** Incarnation of the holder to which the request is addressed. */
	uint64_t holder_incarnation;
	/**
	 * Starts at 1; increases with each request of this node to this holder for this account.
	 */
	uint64_t seq;
	/** Rate and burst of the lease that the node still uses. */
	uint64_t retained_rate_mtok_s;
	uint64_t retained_burst_ntok;
	/** Rate and burst that the node asks for, including what it still uses. */
	uint64_t requested_rate_mtok_s;
	uint64_t requested_burst_ntok;
	/** Tokens that the node could use immediately. */
	uint64_t requested_ntok;
	/** Tokens returned to the holder, at most the burst returned. */
	uint64_t returned_ntok;
};

/** A holder's reply; rate and burst are those of the whole lease, not changes. */
struct br_lease_reply {
	char account[BR_NAME_BYTES];
	uint64_t holder_incarnation;
	/** Sequence number of the request. */
	uint64_t seq;
	uint64_t rate_mtok_s;
	uint64_t burst_ntok;
	/** Tokens that were debited from the holder's reserve for the node. */
	uint64_t granted_ntok;
	/** Term of the lease; the node counts it from a time before it sent the request. */
	uint64_t term_us;
	/**
	 * The node got clearly less than it asked for (below 15/16 of the rate or 1/2 of the burst)
	 * while other nodes ask too, so it should renew early.
	 */
	bool contended;
	/**
	 * The reply grants no tokens and no more rate or burst than the node retained. A node with
	 * an unmet demand should ask another holder.
	 */
	bool exhausted;
};

struct br_grantor_config {
	/** Incarnation of this node; requests addressed to another one are refused. */
	uint64_t incarnation;
	uint64_t lease_term_us;
	/**
	 * Part of each rate that is withheld, in parts per million, so that a clock that runs fast
	 * by that much does not exceed the rate in real time.
	 */
	uint32_t rate_margin_ppm;
};

/**
 * Returns the nano-tokens that a rate adds in elapsed_us, at most room. Exact, without overflow.
 */
static inline uint64_t br_refill_ntok(uint64_t rate_mtok_s, uint64_t elapsed_us, uint64_t room)
{
	if (!rate_mtok_s)
		return 0;
	return elapsed_us > room / rate_mtok_s ? room : rate_mtok_s * elapsed_us;
}

/** Rate margin for clocks with a rate error of up to 1%. */
#define BR_GRANTOR_RATE_MARGIN_PPM 10000

struct br_grantor;

/** Creates a grantor without entitlements and a copy of cfg; returns NULL if out of memory. */
struct br_grantor *br_grantor_create(const struct br_grantor_config *cfg);
void br_grantor_destroy(struct br_grantor *g);

/**
 * Sets the entitlement for an account: the sum of its parts in all slots for which
 * br_slots_may_grant() is true. A decrease applies to the reserve and to later grants at once;
 * running leases keep their amounts until they end. An increase adds no tokens. (0, 0) removes the
 * entitlement. Returns 0 or -ENOMEM.
 */
int br_grantor_set_entitlement(struct br_grantor *g, const char *account, uint64_t rate_mtok_s,
			       uint64_t burst_ntok, uint64_t now_us);

/**
 * Sets the time at which the right to grant ends (br_slots_right_until()). Requests at or after it
 * are granted nothing, even if the entitlements were not lowered in time. Initially 0: no right.
 */
void br_grantor_set_valid_until(struct br_grantor *g, uint64_t until_us);

/**
 * Handles a request and fills *rep. Returns 0 if *rep is to be sent, even if it grants nothing;
 * -ESTALE if there is no reply, because the request is not newer than the last one of that node or
 * is addressed to another incarnation; or -ENOMEM.
 */
int br_grantor_request(struct br_grantor *g, const struct br_lease_request *req, uint64_t now_us,
		       struct br_lease_reply *rep);

/**
 * Removes expired leases, and accounts without entitlement or leases. Call about once a second.
 */
void br_grantor_tick(struct br_grantor *g, uint64_t now_us);

/** State of one account, for metrics and tests. */
struct br_grantor_stats {
	uint64_t rate_mtok_s;
	uint64_t burst_ntok;
	uint64_t leased_rate_mtok_s;
	uint64_t leased_burst_ntok;
	uint64_t reserve_ntok;
	/** Processes with a lease or a recent request. */
	uint32_t n_processes;
};

/** Fills the state of an account at now_us; returns false if the account is unknown. */
bool br_grantor_stats(struct br_grantor *g, const char *account, uint64_t now_us,
		      struct br_grantor_stats *out);

#endif
