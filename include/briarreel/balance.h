/**
 * @file balance.h
 * Choice of a target among the live targets of a service.
 *
 * The better of two random candidates by (own outstanding + last reported in flight) / limit, in
 * the caller's zone unless that zone is loaded or absent. Not thread-safe; the caller locks.
 */
#ifndef BRIARREEL_BALANCE_H
#define BRIARREEL_BALANCE_H

#include "briarreel/types.h"

/** A live target: the node in front of it, its zone, and when it joined. */
struct br_balance_candidate {
	struct br_node_id id;
	const char *zone;
	/** Monotonic time at which the target was first seen; 0 if it needs no warm-up. */
	uint64_t joined_us;
	/** The target has just started and is slower than it is going to be. */
	bool cold;
};

/** What a request wants of its target. */
struct br_balance_want {
	/** Zone of the caller's node. */
	const char *zone;
	/** Requests of similar length have the same class, such as the hash of their route. */
	uint64_t class;
	/** Time within which the answer is worth most. */
	uint64_t objective_us;
};

/** How a request to a target ended. */
enum br_balance_end {
	/** A whole answer that is no error of the target. */
	BR_BALANCE_OK,
	/** An error answer (5xx), or an answer that was lost or cut off. */
	BR_BALANCE_ERROR,
	/** Refused as overloaded or draining; says nothing about errors of the target. */
	BR_BALANCE_REFUSED,
	/** Cancelled by the caller, or ended by its deadline before anything is known. */
	BR_BALANCE_CANCELLED,
};

struct br_balance_counters {
	uint64_t picks;
	uint64_t spilled;
	uint64_t ejections;
	uint64_t failed_connects;
};

struct br_balance;

/** warmup_us is the ramp-up time of new targets; 0 for none. Returns NULL if memory is short. */
struct br_balance *br_balance_create(uint64_t warmup_us);

void br_balance_destroy(struct br_balance *b);

/**
 * Picks a candidate.
 *
 * @param zone      zone of this node
 * @param exclude   targets already tried for this request; may be NULL if n_exclude is 0
 * @return index into candidates, or -ENOENT if every candidate is excluded. Targets that are
 *         skipped or ejected are picked only if nothing else is left.
 */
int br_balance_pick(struct br_balance *b, const struct br_balance_candidate *candidates, size_t n,
		    const char *zone, const struct br_node_id *exclude, size_t n_exclude,
		    struct br_rng *rng, uint64_t now_us);

/**
 * Picks the candidate with the lower expected time of two random ones: the class's usual time,
 * slowed by what is known of the target and by its load, plus a charge for another zone. Parameters
 * and result are as for br_balance_pick().
 */
int br_balance_pick_fast(struct br_balance *b, const struct br_balance_candidate *candidates,
			 size_t n, const struct br_balance_want *want,
			 const struct br_node_id *exclude, size_t n_exclude, struct br_rng *rng,
			 uint64_t now_us);

/** Notes how long a target took for a request of a class. */
void br_balance_note_time(struct br_balance *b, const struct br_node_id *id, uint64_t class,
			  uint64_t time_us, uint64_t now_us);

/**
 * Notes whether a request that reached a target failed there: an error that is the target's own, a
 * refusal by the target itself, or no whole answer. Requests avoid a target for the part of its
 * requests that failed lately, as long as there are others.
 */
void br_balance_note_result(struct br_balance *b, const struct br_node_id *id, bool failed,
			    uint64_t now_us);

/**
 * Notes the part of all nodes' requests that failed at a target, as its own node has measured it:
 * one answer of that node tells what else each node would have to find out by failures.
 */
void br_balance_note_failed(struct br_balance *b, const struct br_node_id *id, double part,
			    uint64_t now_us);

/** Notes that a request was sent. Returns 0, or -ENOMEM; then no end may be noted. */
int br_balance_note_start(struct br_balance *b, const struct br_node_id *id, uint64_t now_us);

/** Notes the end of a request that was started. */
void br_balance_note_end(struct br_balance *b, const struct br_node_id *id, enum br_balance_end end,
			 uint64_t now_us);

/**
 * Notes the in-flight count and limit in an answer of the target's node; limit 0 is ignored. Call
 * before br_balance_note_end() of the same request.
 */
void br_balance_note_report(struct br_balance *b, const struct br_node_id *id, uint32_t in_flight,
			    uint32_t limit, uint64_t now_us);

/**
 * Notes a connect that failed: the target is skipped for 100 ms, doubling up to 2 s with each
 * further failure. A request that was started before still needs br_balance_note_end().
 */
void br_balance_note_failure(struct br_balance *b, const struct br_node_id *id, uint64_t now_us);

/** Forgets a member that is dead and has nothing outstanding; otherwise keeps its count only. */
void br_balance_forget(struct br_balance *b, const struct br_node_id *id);

/** Own requests outstanding at a target. */
uint32_t br_balance_outstanding(const struct br_balance *b, const struct br_node_id *id);

const struct br_balance_counters *br_balance_counters(const struct br_balance *b);

#endif
