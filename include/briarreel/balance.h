/**
 * @file balance.h
 * Load balancer: chooses a target among the live targets of a service.
 *
 * br_balance_pick() compares two random candidates by (own outstanding requests + reported requests
 * of other nodes) / limit. It prefers the zone of this node unless that zone is loaded or has no
 * targets. br_balance_pick_by_cost() compares the expected cost instead, which depends on time,
 * zone and recent failures. Not thread-safe; the caller locks.
 */
#ifndef BRIARREEL_BALANCE_H
#define BRIARREEL_BALANCE_H

#include "briarreel/types.h"

/** A live target. */
struct br_balance_candidate {
	/** Node in front of the target. */
	struct br_node_id id;
	const char *zone;
	/** Monotonic time at which the target was first seen; 0 if it needs no warm-up. */
	uint64_t joined_us;
	/** The target has just started and is still slower than usual. */
	bool cold;
};

/** Properties of a request that br_balance_pick_by_cost() uses to choose a target. */
struct br_balance_request {
	/** Zone of this node. */
	const char *zone;
	/** Requests with similar service times have the same class, such as their route's hash. */
	uint64_t class;
	/** Latency objective of the request; 0 is treated as 1 s. */
	uint64_t objective_us;
};

/** How a request to a target ended. */
enum br_balance_end {
	/** A complete answer that is not an error of the target. */
	BR_BALANCE_OK,
	/** An error answer (5xx), or an answer that was lost or truncated. */
	BR_BALANCE_ERROR,
	/**
	 * Refused as overloaded or draining. Neither a success nor an error for the ejection of
	 * targets; br_balance_record_result() counts refusals by the target itself as failed.
	 */
	BR_BALANCE_REFUSED,
	/** Cancelled by the caller, or ended by its deadline without any result. */
	BR_BALANCE_CANCELLED,
};

/** Totals since the balancer was created. */
struct br_balance_counters {
	uint64_t picks;
	/** Picks of a target in another zone. */
	uint64_t spilled;
	/** Ejections of a target after consecutive errors. */
	uint64_t ejections;
	/** All failed connects, also those to a target that is already skipped. */
	uint64_t connect_failures;
};

struct br_balance;

/**
 * Creates a balancer. warmup_us is the time over which the share of a new target grows to the full
 * share; 0 for none. Returns NULL if out of memory.
 */
struct br_balance *br_balance_create(uint64_t warmup_us);

void br_balance_destroy(struct br_balance *b);

/**
 * Picks a candidate by load.
 *
 * @param zone      zone of this node
 * @param exclude   targets already tried for this request; may be NULL if n_exclude is 0
 * @return index into candidates, or -ENOENT if every candidate is excluded. Targets that are
 *         skipped after failed connects or ejected after errors are picked only if no other
 *         candidate is left.
 */
int br_balance_pick(struct br_balance *b, const struct br_balance_candidate *candidates, size_t n,
		    const char *zone, const struct br_node_id *exclude, size_t n_exclude,
		    struct br_rng *rng, uint64_t now_us);

/**
 * Picks the candidate with the lower cost of two random ones, drawn with weights by warm-up and
 * failure rate: one of this node's zone and one of another zone if there are both. The cost is the
 * class's mean time, scaled by the target's slowness and load, plus costs for another zone and for
 * recent failures. The other parameters and the result are as for br_balance_pick().
 */
int br_balance_pick_by_cost(struct br_balance *b, const struct br_balance_candidate *candidates,
			    size_t n, const struct br_balance_request *request,
			    const struct br_node_id *exclude, size_t n_exclude, struct br_rng *rng,
			    uint64_t now_us);

/**
 * Records the time that a target took for a request of a class. Does nothing if time_us is 0 or if
 * the target has no state. br_balance_request_started() and br_balance_record_connect_failure() add
 * the state.
 */
void br_balance_record_time(struct br_balance *b, const struct br_node_id *id, uint64_t class,
			    uint64_t time_us, uint64_t now_us);

/**
 * Records whether a request that reached a target failed there: an error of the target itself, a
 * refusal by the target itself, or an incomplete answer. br_balance_pick_by_cost() avoids targets
 * with a high recent failure rate as long as there are others. Ejection is independent of this rate
 * and ignores refusals. Does nothing if the target has no state.
 */
void br_balance_record_result(struct br_balance *b, const struct br_node_id *id, bool failed,
			      uint64_t now_us);

/**
 * Records a target's failure rate over the requests of all nodes, from 0 to 1, as measured and
 * reported by the target's node. Without the report each node would have to learn the rate from
 * failures of its own requests. Does nothing if the target has no state.
 */
void br_balance_record_failure_rate(struct br_balance *b, const struct br_node_id *id, double rate,
				    uint64_t now_us);

/**
 * Records that a request was sent. now_us is not used. Returns 0 or -ENOMEM; after -ENOMEM,
 * br_balance_request_ended() must not be called.
 */
int br_balance_request_started(struct br_balance *b, const struct br_node_id *id, uint64_t now_us);

/** Records the end of a request that br_balance_request_started() has recorded. */
void br_balance_request_ended(struct br_balance *b, const struct br_node_id *id,
			      enum br_balance_end end, uint64_t now_us);

/**
 * Records the in-flight count and limit reported in an answer of the target's node. Does nothing if
 * limit is 0 or if the target has no state. Call before br_balance_request_ended() of the same
 * request.
 */
void br_balance_record_load(struct br_balance *b, const struct br_node_id *id, uint32_t in_flight,
			    uint32_t limit, uint64_t now_us);

/**
 * Records a failed connect: the target is skipped for 100 ms, doubling up to 2 s with each further
 * failure. A request that was already started still needs br_balance_request_ended().
 */
void br_balance_record_connect_failure(struct br_balance *b, const struct br_node_id *id,
				       uint64_t now_us);

/** Removes a dead target's state. The count of outstanding requests is kept until they end. */
void br_balance_remove(struct br_balance *b, const struct br_node_id *id);

/** Number of this node's requests outstanding at a target. */
uint32_t br_balance_outstanding(const struct br_balance *b, const struct br_node_id *id);

const struct br_balance_counters *br_balance_counters(const struct br_balance *b);

#endif
