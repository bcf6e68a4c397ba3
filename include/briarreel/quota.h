/**
 * @file quota.h
 * Rate and burst limit of each account over all nodes. An allocator (struct br_quota_allocator)
 * grants tokens, and each node spends them through a client (struct br_quota_client).
 * briarreel-mesh limits rates in this way. briarreeld uses leases instead, see bucket.h.
 *
 * One allocator grants at a time; the embedding program elects it, and tells an allocator that may
 * no longer be the only one (br_quota_allocator_set_exclusive()). Grants expire, so
 * that tokens lost with a node or a message cannot be spent later. A node that cannot reach the
 * allocator spends an equal part of the rate. The allocator reserves that part for each node from
 * which it receives no requests for a while; what the node has spent before that is its debt, which
 * the allocator charges when it hears the node again. Not thread-safe; the caller locks.
 */
#ifndef BRIARREEL_QUOTA_H
#define BRIARREEL_QUOTA_H

#include "briarreel/types.h"

/**
 * Maximum validity of a grant, counted from the time of the request. Tokens that are added while
 * older ones are left expire together with those.
 */
#define BR_QUOTA_GRANT_TTL_US (500 * BR_US_PER_MS)
/** Time without a request after which a node is assumed to spend its equal part of the rates. */
#define BR_QUOTA_NODE_TIMEOUT_US (1000 * BR_US_PER_MS)
/**
 * The same for an allocator that is not exclusive; just longer than the interval of the requests,
 * since a node that asks elsewhere is counted there at once.
 */
#define BR_QUOTA_SHARED_TIMEOUT_US (350 * BR_US_PER_MS)
/**
 * Maximum interval between a node's requests to the allocator. A node that needs no tokens also
 * sends them, as a heartbeat.
 */
#define BR_QUOTA_REQUEST_INTERVAL_US (300 * BR_US_PER_MS)

struct br_quota_allocator;

/** Creates an allocator whose buckets are empty at now_us. Returns NULL if out of memory. */
struct br_quota_allocator *br_quota_allocator_create(uint64_t now_us);
void br_quota_allocator_destroy(struct br_quota_allocator *a);

/** Sets the total number of nodes, including the allocator's own; 0 is treated as 1. */
void br_quota_allocator_set_nodes(struct br_quota_allocator *a, uint32_t n);

/**
 * Sets whether no other allocator may exist, as it is at first. Otherwise the allocator grants only
 * the parts of rate and burst of the nodes that still send it requests: another one may be granting
 * the parts of the others.
 */
void br_quota_allocator_set_exclusive(struct br_quota_allocator *a, bool exclusive);

/** Records a request from a node (the hash of its id) as heartbeat. Returns 0 or -ENOMEM. */
int br_quota_allocator_heartbeat(struct br_quota_allocator *a, uint64_t node, uint64_t now_us);

/**
 * Forgets which nodes have sent requests, for an allocator that may have missed that they now send
 * them elsewhere. Their parts are reserved until their next heartbeat.
 */
void br_quota_allocator_forget_nodes(struct br_quota_allocator *a);

/**
 * Returns the number of nodes without a request within BR_QUOTA_NODE_TIMEOUT_US (or
 * BR_QUOTA_SHARED_TIMEOUT_US), which are assumed to spend an equal part of the rates.
 */
uint32_t br_quota_allocator_unreachable(const struct br_quota_allocator *a, uint64_t now_us);

/**
 * Grants up to n_requested tokens of an account (hash of its name) with the given limit. A burst
 * below 1 is treated as 1. The rate is reduced by the part of the unreachable nodes. Returns the
 * number granted; 0 also if out of memory.
 */
uint32_t br_quota_allocator_grant(struct br_quota_allocator *a, uint64_t account, double rate_per_s,
				  double burst, uint32_t n_requested, uint64_t now_us);

/**
 * Tokens of an account that a process has spent of its equal part while the allocator may have
 * granted them as well, counted since the process started.
 */
struct br_quota_debt {
	uint32_t spent;
	/** Those of them that an allocator is known to have charged. */
	uint32_t charged;
};

/**
 * Takes a process's debt off an account's tokens. What was charged before is not charged again,
 * however often the same debt is told, nor is what a node's first request tells, since its part was
 * reserved until then. Call it after br_quota_allocator_heartbeat() for the request, with the same
 * time. node is the hash that identifies the process; the limit is that of
 * br_quota_allocator_grant(). Returns 0 or -ENOMEM, after which the debt is to be told again.
 */
int br_quota_allocator_charge(struct br_quota_allocator *a, uint64_t node, uint64_t account,
			      double rate_per_s, double burst, const struct br_quota_debt *debt,
			      uint64_t now_us);

/** Limit of an account over all nodes. */
struct br_quota_limit {
	double rate_per_s, burst;
	/** Tokens beyond the burst that the operator tolerates now and then. */
	double tolerated;
	/** Tokens that all nodes together may spend of their parts before the allocator reserves them. */
	double overlap;
};

struct br_quota_client;

/**
 * Creates a client without tokens. The seed differs between nodes. Returns NULL if out of memory.
 */
struct br_quota_client *br_quota_client_create(uint64_t seed);
void br_quota_client_destroy(struct br_quota_client *c);

/** Takes a granted token. Returns false if there is none. Counts towards demand in both cases. */
bool br_quota_client_take(struct br_quota_client *c, uint64_t account, uint64_t now_us);

/**
 * Adds a grant of n tokens that was requested at requested_us. If older tokens are left, the new
 * ones expire together with them. The grant is dropped if out of memory.
 */
void br_quota_client_add_grant(struct br_quota_client *c, uint64_t account, uint32_t n,
			       uint64_t requested_us);

/**
 * Returns the number of tokens to request in advance: the account's demand within half of
 * BR_QUOTA_GRANT_TTL_US, less the tokens at hand.
 */
uint32_t br_quota_client_tokens_to_request(struct br_quota_client *c, uint64_t account,
					   uint64_t now_us);

/** Returns the debt of an account, to be told with each request for its tokens. */
struct br_quota_debt br_quota_client_debt(const struct br_quota_client *c, uint64_t account);

/** Records that the allocator has charged the account's debt up to spent. */
void br_quota_client_debt_charged(struct br_quota_client *c, uint64_t account, uint32_t spent);

/**
 * Finds an account whose debt has not been charged, beginning with the position *pos, which is 0 at
 * first, and advances *pos behind it. Returns false if there are no more.
 */
bool br_quota_client_next_debt(const struct br_quota_client *c, size_t *pos, uint64_t *account);

/** Records an answer of the allocator, with or without tokens: until then it granted the rates. */
void br_quota_client_answered(struct br_quota_client *c, uint64_t now_us);

/**
 * Takes a token from this node's equal part of the rate (1/n_nodes; 0 nodes are treated as 1), for
 * use while the allocator does not answer. The part begins with the allocator's last answer; all
 * nodes together gain the rate and hold at most the burst. Of what it gains before the allocator
 * reserves it, BR_QUOTA_NODE_TIMEOUT_US later, nodes together spend no more than limit.overlap, since
 * the allocator may have granted it too. If the allocator granted the account's tokens lately and
 * refused none, some nodes admit one request more, as many as the burst and the tolerated excess allow.
 * Returns false if there is no token or if out of memory.
 */
bool br_quota_client_take_fallback(struct br_quota_client *c, uint64_t account,
				   const struct br_quota_limit *limit, uint32_t n_nodes,
				   uint64_t now_us);

#endif
