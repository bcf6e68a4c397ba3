/**
 * @file admission.h
 * Bounded admission queue in front of one target, with priorities, fair sharing between accounts
 * and an adaptive admission threshold.
 *
 * The caller embeds a struct br_admission_entry in its request and passes it to
 * br_admission_offer(), which either starts the request at once or queues it. To take queued
 * requests, call br_admission_next() in a loop after each br_admission_done(),
 * br_admission_set_limit() and br_admission_tick(). No memory is allocated per request. Not
 * thread-safe; the caller locks.
 *
 * The level of a request is priority * 16 + sublevel; 0 is the most important. The sublevel is 0
 * for requests within the account's fair share and grows with the excess over that share.
 *
 * A request fails if any of the calls it makes is refused. All calls made for one request therefore
 * have the same shed order, which determines the sublevel and which requests of the threshold's own
 * level are admitted, so that overload refuses all calls of a request or none.
 */
#ifndef BRIARREEL_ADMISSION_H
#define BRIARREEL_ADMISSION_H

#include "briarreel/types.h"

#define BR_SUBLEVELS 16
#define BR_SHED_ORDER_MAX UINT16_MAX
/** Number of levels. The threshold is in the range [BR_THRESHOLD_MIN, BR_THRESHOLD_MAX]. */
#define BR_LEVELS (BR_PRIORITIES * BR_SUBLEVELS)
/** Lowest threshold: all requests of priority 0 are still admitted. */
#define BR_THRESHOLD_MIN 15
/** Highest threshold: all requests are admitted. */
#define BR_THRESHOLD_MAX (BR_LEVELS - 1)

enum br_admission_result {
	/** The request is in flight: start it, then call br_admission_done(). */
	BR_ADMISSION_RUN,
	/**
	 * The request waits in the queue until br_admission_next() returns it, the drop callback
	 * reports it or br_admission_cancel() removes it.
	 */
	BR_ADMISSION_QUEUED,
	/** The request was refused and was not run; entry->reason says why. */
	BR_ADMISSION_REFUSED,
};

enum br_admission_reason {
	BR_ADMISSION_NONE,
	/**
	 * Refused on arrival: no capacity is free, and the level is above the admission threshold
	 * or the request is in the refused part of the threshold's own level.
	 */
	BR_ADMISSION_THRESHOLD,
	/**
	 * Refused on arrival: the queue is full, nothing of a less important priority is queued,
	 * and no account has clearly more entries of the same priority in the queue.
	 */
	BR_ADMISSION_FULL,
	/** Refused on arrival: the deadline has passed or the estimated wait would exceed it. */
	BR_ADMISSION_LATE,
	/**
	 * Dropped from the queue in favour of a more important request, or of one of the same
	 * priority from an account with fewer queued requests.
	 */
	BR_ADMISSION_EVICTED,
	/** Dropped from the queue: the deadline passed or can no longer be met. */
	BR_ADMISSION_EXPIRED,
	/** Dropped by br_admission_drop_all(): the target is draining or no longer available. */
	BR_ADMISSION_CLOSED,
	BR_ADMISSION_REASONS,
};

/** State of an entry. Each entry reaches BR_ENTRY_FINISHED exactly once. */
enum br_entry_state {
	BR_ENTRY_NEW,
	BR_ENTRY_QUEUED,
	BR_ENTRY_RUNNING,
	BR_ENTRY_FINISHED,
};

struct br_admission_account;

/**
 * One request. The caller embeds the entry, and it must stay valid until it is finished: refused,
 * dropped, cancelled or passed to br_admission_done().
 */
struct br_admission_entry {
	/** Set by the caller: opaque pointer, usually to the caller's request. */
	void *data;
	/** Set by the caller: br_hash_str(name, 0) of the account's name. */
	uint64_t account;
	/** Set by the caller: monotonic time after which the answer is useless. */
	uint64_t deadline_us;
	/** Set by the caller: 0 to BR_PRIORITIES - 1; larger values are treated as the maximum. */
	uint8_t priority;
	/**
	 * Set by the caller: shed order, a value distributed evenly over 1 to BR_SHED_ORDER_MAX
	 * that is the same for a request and all calls made for it. Requests beyond the account's
	 * fair share get less important sublevels as this value grows. 0: the module chooses a
	 * value.
	 */
	uint16_t shed_order;

	/** Set by the module: the level at arrival, and the reason of a refusal or drop. */
	uint8_t level;
	enum br_admission_reason reason;

	/** The following fields are private. */
	enum br_entry_state state;
	uint32_t heap_pos;
	uint64_t arrived_us;
	uint64_t charged_us;
	struct br_admission_account *owner;
	struct br_admission_entry *prev, *next;
	struct br_admission_entry *older, *newer;
};

/**
 * Called for each queued entry that is dropped. The module no longer uses the entry, so the
 * callback may free it. Runs under the caller's lock and must not call back into the module.
 */
typedef void (*br_admission_drop_cb)(void *ctx, struct br_admission_entry *e,
				     enum br_admission_reason reason);

/** Order in which queued requests of one account and priority are started. */
enum br_admission_order {
	/**
	 * Oldest first. While overloaded, newest first at the threshold's own priority and at less
	 * important ones.
	 */
	BR_ORDER_ADAPTIVE,
	BR_ORDER_OLDEST,
	BR_ORDER_NEWEST,
};

struct br_admission_cfg {
	/** Initial concurrency limit, in requests in flight; at least 1. */
	uint32_t limit;
	/** Maximum number of queued entries; at least 1. */
	uint32_t queue_max;
	/** Accounts with state of their own; all further ones share one state. 0: 256 accounts. */
	uint32_t accounts_max;
	enum br_admission_order order;
	/** Called with drop_ctx for each dropped entry; must not be NULL. */
	br_admission_drop_cb drop;
	void *drop_ctx;
};

struct br_admission_counters {
	uint64_t started;
	uint64_t cancelled;
	/** Refusals and drops by reason. */
	uint64_t dropped[BR_ADMISSION_REASONS];
};

struct br_admission;

/** Creates a queue. Returns NULL if out of memory or if limit, queue_max or drop is missing. */
struct br_admission *br_admission_create(const struct br_admission_cfg *cfg);

/** Frees the queue, which must be empty: call br_admission_drop_all() first. NULL is allowed. */
void br_admission_destroy(struct br_admission *a);

/** Starts, queues or refuses a new request. May drop other entries through the callback. */
enum br_admission_result br_admission_offer(struct br_admission *a, struct br_admission_entry *e,
					    uint64_t now_us);

/**
 * Drops expired entries, then removes the next entry to run from the queue and counts it as in
 * flight. Returns NULL if the concurrency limit is reached or the queue is empty.
 */
struct br_admission_entry *br_admission_next(struct br_admission *a, uint64_t now_us);

/**
 * Ends a running entry and releases its capacity. service_us is the time from its start to its
 * answer, or 0 if the request was not run or its service time is unknown.
 */
void br_admission_done(struct br_admission *a, struct br_admission_entry *e, uint64_t service_us,
		       uint64_t now_us);

/**
 * Removes a queued entry without calling the drop callback. Returns false if the entry is not
 * queued. A running entry has to be cancelled at the target and still needs br_admission_done().
 */
bool br_admission_cancel(struct br_admission *a, struct br_admission_entry *e);

/**
 * Sets the concurrency limit; 0 is treated as 1. Requests that already run are not stopped when the
 * limit becomes smaller.
 */
void br_admission_set_limit(struct br_admission *a, uint32_t limit);

/**
 * Drops expired entries and closes measurement windows that have ended. Call about every 20 ms,
 * also while idle.
 */
void br_admission_tick(struct br_admission *a, uint64_t now_us);

/** Drops every queued entry with the reason BR_ADMISSION_CLOSED. */
void br_admission_drop_all(struct br_admission *a);

/**
 * Returns the least important level that is still queued, at least in part, when no capacity is
 * free; sent in the answer header.
 */
uint32_t br_admission_threshold(const struct br_admission *a);

/** True if the queueing delay exceeded its bound during the whole last window of 100 ms. */
bool br_admission_overloaded(const struct br_admission *a);
uint32_t br_admission_in_flight(const struct br_admission *a);
uint32_t br_admission_queued(const struct br_admission *a);
const struct br_admission_counters *br_admission_counters(const struct br_admission *a);

/** Returns a short text of a reason for logs, such as "overload: queue full". */
const char *br_admission_reason_text(enum br_admission_reason reason);

#endif
