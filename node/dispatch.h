/**
 * @file dispatch.h
 * The target's side: admission, the run on the target of this VM, and the memory of attempts.
 */
#ifndef NODE_DISPATCH_H
#define NODE_DISPATCH_H

#include "node/call.h"

struct dispatch;
struct node;
struct parent_table;

/** An attempt as it arrives at the target's node. */
struct dispatch_attempt {
	struct br_attempt_id id;
	/** Process of this node that the sender means. */
	uint64_t target_instance;
	/** Only join or collect an attempt, never start one. */
	bool attach;
};

struct dispatch *dispatch_create(struct node *node);
void dispatch_destroy(struct dispatch *d);

/** Runs an attempt or joins it; blocks until its end or the call's deadline. */
void dispatch_run(struct dispatch *d, struct call *c, const struct dispatch_attempt *att,
		  struct call_answer *ans);

/** State of an attempt here: "running", "done", "absent" or "other". */
const char *dispatch_attempt_state(struct dispatch *d, const struct br_attempt_id *id);

/** Cancels an attempt: drops it from the queue, or tells the target and the calls below. */
void dispatch_cancel(struct dispatch *d, const char *attempt);

/** Periodic work; the control thread calls it about every 20 ms. */
void dispatch_tick(struct dispatch *d, uint64_t now_us);

/** Requests queued or running at the target. */
uint32_t dispatch_busy(struct dispatch *d);

/** The requests that run on the target, for their child calls. */
struct parent_table *dispatch_parents(struct dispatch *d);

/** Writes counters of the target's side; returns the bytes written. */
size_t dispatch_format_counters(struct dispatch *d, char *buf, size_t bytes);

#endif
