/**
 * @file admission.h
 * Bounded queue in front of one target: priorities, fairness between accounts, admission threshold.
 *
 * The caller embeds a struct br_admission_entry in its request, offers it, and starts the request
 * when it is told to run: at once by br_admission_offer(), or later by br_admission_next(), which
 * is called in a loop after each br_admission_done(), br_admission_set_limit() and
 * br_admission_tick(). No memory is allocated per request. Not thread-safe; the caller locks.
 *
 * A level is priority * 16 + sublevel, 0 being the most important. The sublevel is 0 for the part
 * of an account's requests that is within its fair share and grows for the part beyond it.
 *
 * A request that makes calls is lost if one of them is refused. The calls made for one request have
 * its place, which decides about the sublevel and about what of the threshold's own level passes,
 * so that overload refuses all calls of a request or none.
 */
#ifndef BRIARREEL_ADMISSION_H
#define BRIARREEL_ADMISSION_H

#include "briarreel/types.h"

#define BR_SUBLEVELS 16
#define BR_PLACE_MAX UINT16_MAX
/** Number of levels; the threshold lies in [BR_THRESHOLD_MIN, BR_THRESHOLD_MAX]. */
#define BR_LEVELS (BR_PRIORITIES * BR_SUBLEVELS)
/** All of priority 0 passes at this threshold. */
#define BR_THRESHOLD_MIN 15
/** Everything passes at this threshold. */
#define BR_THRESHOLD_MAX (BR_LEVELS - 1)

enum br_admission_result {
	/** The request is in flight: start it, then call br_admission_done(). */
	BR_ADMISSION_RUN,
	/** The request waits; it leaves by br_admission_next(), the drop callback or a cancel. */
	BR_ADMISSION_QUEUED,
	/** The request was refused and was not run; entry->reason says why. */
	BR_ADMISSION_REFUSED,
};

enum br_admission_reason {
	BR_ADMISSION_NONE,
	/** Refused on arrival: level above the admission threshold while overloaded. */
	BR_ADMISSION_THRESHOLD,
	/** Refused on arrival: the queue is full and nothing less important is queued. */
	BR_ADMISSION_FULL,
	/** Refused on arrival: the estimated wait exceeds the time left. */
	BR_ADMISSION_LATE,
	/** Dropped from the queue in favour of a more important request. */
	BR_ADMISSION_EVICTED,
	/** Dropped from the queue: the deadline passed or can no longer be met. */
	BR_ADMISSION_EXPIRED,
	/** Dropped by br_admission_drop_all(): the target drains or is gone. */
	BR_ADMISSION_CLOSED,
	BR_ADMISSION_REASONS,
};

/** Where an entry is; each entry leaves exactly once, to BR_ENTRY_GONE. */
enum br_entry_state {
	BR_ENTRY_NEW,
	BR_ENTRY_QUEUED,
	BR_ENTRY_RUNNING,
	BR_ENTRY_GONE,
};

struct br_admission_account;

/** One request, embedded by the caller; valid until the entry is gone. */
struct br_admission_entry {
	/** Set by the caller: anything, usually its request. */
	void *data;
	/** Set by the caller: br_hash_str() of the account's name. */
	uint64_t account;
	/** Set by the caller: monotonic time at which the answer is no longer of use. */
	uint64_t deadline_us;
	/** Set by the caller: 0 to BR_PRIORITIES - 1; larger values count as the last one. */
	uint8_t priority;
	/**
	 * Set by the caller: place among the requests of its priority, evenly distributed over 1 to
	 * BR_PLACE_MAX, the same for a request and the calls made for it. 0: the module chooses one.
	 */
	uint16_t place;

	/** Set by the module: level at arrival, and why the entry was refused or dropped. */
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
 * Called for each queued entry that is dropped. The entry is gone when this is called, so it may be
 * freed. Runs under the caller's lock and must not call back into the module.
 */
typedef void (*br_admission_drop_cb)(void *ctx, struct br_admission_entry *e,
				     enum br_admission_reason reason);

/** The order of one account's requests of the same priority. */
enum br_admission_order {
	/** Oldest first; newest first while overloaded, at priorities that the threshold cuts into. */
	BR_ORDER_ADAPTIVE,
	BR_ORDER_OLDEST,
	BR_ORDER_NEWEST,
};

struct br_admission_cfg {
	/** First concurrency limit. */
	uint32_t limit;
	/** Most entries in the queue. */
	uint32_t queue_max;
	/** Accounts tracked apart; beyond it, accounts share state. 0 for the default of 256. */
	uint32_t accounts_max;
	enum br_admission_order order;
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

/** Returns NULL if memory is short, or limit, queue_max or drop is missing. */
struct br_admission *br_admission_create(const struct br_admission_cfg *cfg);

/** The queue must be empty (br_admission_drop_all()). */
void br_admission_destroy(struct br_admission *a);

/** Offers a new request. May drop other entries through the callback. */
enum br_admission_result br_admission_offer(struct br_admission *a, struct br_admission_entry *e,
					    uint64_t now_us);

/**
 * Drops expired entries, then takes the next queued entry to run, which counts as in flight from
 * now on. Returns NULL if the limit is reached or nothing is queued.
 */
struct br_admission_entry *br_admission_next(struct br_admission *a, uint64_t now_us);

/**
 * Releases the capacity of a running entry. service_us is the time from its start to its answer,
 * or 0 if it was not run after all or its service time is not known.
 */
void br_admission_done(struct br_admission *a, struct br_admission_entry *e, uint64_t service_us,
		       uint64_t now_us);

/**
 * Removes a queued entry without a callback. Returns false if it is not queued: a running entry is
 * cancelled at the target and still needs br_admission_done().
 */
bool br_admission_cancel(struct br_admission *a, struct br_admission_entry *e);

/** Sets the concurrency limit (at least 1). Running requests beyond a smaller limit go on. */
void br_admission_set_limit(struct br_admission *a, uint32_t limit);

/** Drops expired entries and closes windows; call about every 20 ms, also while idle. */
void br_admission_tick(struct br_admission *a, uint64_t now_us);

/** Drops every queued entry with the reason BR_ADMISSION_CLOSED. */
void br_admission_drop_all(struct br_admission *a);

/** Least important level admitted at present, for the answer header. */
uint32_t br_admission_threshold(const struct br_admission *a);

bool br_admission_overloaded(const struct br_admission *a);
uint32_t br_admission_in_flight(const struct br_admission *a);
uint32_t br_admission_queued(const struct br_admission *a);
const struct br_admission_counters *br_admission_counters(const struct br_admission *a);

/** Short text of a reason for headers and logs, such as "overload: queue full". */
const char *br_admission_reason_text(enum br_admission_reason reason);

#endif
