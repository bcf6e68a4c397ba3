/**
 * @file dispatch.h
 * Execution of attempts on the target of this VM: admission, dispatch and deduplication.
 */
#ifndef NODE_DISPATCH_H
#define NODE_DISPATCH_H

#include "node/call.h"

struct dispatch;
struct node;
struct parent_table;

/** An attempt received by the target's node. */
struct dispatch_attempt {
	struct br_attempt_id id;
	/** Incarnation of the target's node to which the sender addressed the attempt. */
	uint64_t target_incarnation;
	/** Only join a running attempt or return a stored answer; never start an attempt. */
	bool attach;
};

/** Returns NULL if out of memory. */
struct dispatch *dispatch_create(struct node *node);
void dispatch_destroy(struct dispatch *d);

/**
 * Runs an attempt, or joins it if it is a duplicate. Blocks until the attempt ends or, for a
 * duplicate, the call's deadline passes. The caller frees ans with call_answer_free().
 */
void dispatch_run(struct dispatch *d, struct call *c, const struct dispatch_attempt *att,
		  struct call_answer *ans);

/**
 * State of an attempt at this node: "running", "done", "absent", or "other", such as not run.
 * Returns a string constant.
 */
const char *dispatch_attempt_state(struct dispatch *d, const struct br_attempt_id *id);

/**
 * Cancels an attempt: removes it from the queue or, if it runs, sends a cancellation to the target
 * and cancels its child calls. attempt is the text of the attempt id.
 */
void dispatch_cancel(struct dispatch *d, const char *attempt);

/**
 * Advances admission and expires old attempts and the target's announcement. Called by the control
 * thread about every 20 ms.
 */
void dispatch_tick(struct dispatch *d, uint64_t now_us);

/** Number of requests queued for or running on the target. */
uint32_t dispatch_active_requests(struct dispatch *d);

/** Table of the requests running on the target, by which child calls find their parent. */
struct parent_table *dispatch_parents(struct dispatch *d);

/**
 * Writes target, admission and deduplication metrics as text. Returns the bytes written; 0 if buf
 * is too small.
 */
size_t dispatch_format_counters(struct dispatch *d, char *buf, size_t bytes);

#endif
