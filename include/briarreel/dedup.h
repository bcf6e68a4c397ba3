/**
 * @file dedup.h
 * Deduplication of attempts at the target's node. An attempt runs at most once, even if its message
 * arrives several times, and a sender can fetch the stored answer over another connection.
 *
 * Call br_dedup_begin() for every attempt before admission. If the attempt is then refused, shed or
 * dropped without having run, call br_dedup_mark_not_run(): the id is recorded as not run, so that
 * a late copy of the message cannot run it. Not thread-safe; the caller holds one lock around each
 * call. Answers are reference counted and may be read without that lock.
 *
 * Memory: 112 bytes for each attempt (192 with a UUID as request id), plus the stored answers.
 */
#ifndef BRIARREEL_DEDUP_H
#define BRIARREEL_DEDUP_H

#include "briarreel/attempt.h"

struct br_dedup;
struct br_answer;

/** Limits. Zero fields take the defaults given with them. */
struct br_dedup_config {
	/** Incarnation of this node; attempts addressed to another one are refused. */
	uint64_t incarnation;
	/** Maximum number of recorded attempts, including running ones (262144). */
	uint32_t max_attempts;
	/** Maximum number of recorded entry nodes (65536). */
	uint32_t max_entry_nodes;
	/** Maximum total size of the stored answers (64 MiB). */
	uint64_t max_answer_bytes;
	/** Retention time of a finished non-idempotent attempt (120 s). */
	uint64_t retention_us;
	/**
	 * Retention time of a finished idempotent attempt, and minimum retention time of any
	 * finished attempt when the table is full (30 s). Must exceed the largest deadline, 25 s,
	 * because attempts older than an expired one are refused.
	 */
	uint64_t min_retention_us;
};

/** State of an attempt. */
enum br_dedup_state {
	/** New: the caller runs it, then calls br_dedup_finish() or br_dedup_mark_not_run(). */
	BR_DEDUP_NEW,
	/** Running: the caller waits, then checks again with br_dedup_find(). */
	BR_DEDUP_RUNNING,
	/** Has run; the answer is in the result. */
	BR_DEDUP_DONE,
	/**
	 * Ran or may have run; no answer is stored, because br_dedup_finish() got none or the
	 * answer was dropped. Outcome unknown, BR_REASON_ANSWER_NOT_KEPT.
	 */
	BR_DEDUP_DONE_NO_ANSWER,
	/** Proven not run, and will not run. */
	BR_DEDUP_NOT_RUN,
	/**
	 * The attempt may have run before: the id is older than the recorded attempts or has
	 * counter 0, the attempt joined another one that is no longer found, or its entry node
	 * cannot be recorded (max_entry_nodes reached or out of memory). Outcome unknown,
	 * BR_REASON_STALE_ATTEMPT.
	 */
	BR_DEDUP_STALE,
	/** Addressed to another incarnation. Outcome unknown, BR_REASON_WRONG_INCARNATION. */
	BR_DEDUP_WRONG_INCARNATION,
	/** The table is full or out of memory. Not run, and will not run: BR_REASON_DEDUP_FULL. */
	BR_DEDUP_FULL,
	/** Not recorded here; only for attach and br_dedup_find(). BR_REASON_FIRST_UNKNOWN. */
	BR_DEDUP_ABSENT,
};

/** An arriving attempt. The strings are copied. */
struct br_dedup_req {
	struct br_attempt_id id;
	/** Incarnation of the target's node to which the sender addressed the attempt. */
	uint64_t target_incarnation;
	/**
	 * Account and request id; NULL if the request has none, but account must not be NULL if
	 * request_id is set. An attempt whose request id is running or done under another attempt
	 * id joins that attempt. Both are ignored for idempotent attempts.
	 */
	const char *account;
	const char *request_id;
	bool idempotent;
	/**
	 * Only join a recorded attempt or fetch its answer, never start one. Set by an entry node
	 * that learned from the registrar where another entry node's attempt runs: it must not
	 * start that attempt, because the other node may still prove it not run.
	 */
	bool attach;
};

struct br_dedup_result {
	enum br_dedup_state state;
	/** The attempt to which the state applies: the given one, or the one it joined. */
	struct br_attempt_id attempt;
	/** For BR_DEDUP_DONE: a reference, released by br_answer_put(). Otherwise NULL. */
	struct br_answer *answer;
};

struct br_dedup_stats {
	/**
	 * Counters since creation. duplicates: calls of br_dedup_begin() that found a recorded
	 * attempt, by attempt id or by request id. answers_dropped includes answers that were too
	 * large to be stored. refused_stale does not include BR_DEDUP_STALE for an attach or for an
	 * attempt that joined another one.
	 */
	uint64_t duplicates;
	uint64_t answers_dropped;
	uint64_t refused_stale;
	uint64_t refused_incarnation;
	uint64_t refused_full;
	/** Current values: recorded attempts, running ones, entry nodes, size of the answers. */
	uint32_t attempts;
	uint32_t running;
	uint32_t entry_nodes;
	uint64_t answer_bytes;
};

/**
 * Creates an empty table. Returns NULL if out of memory or if min_retention_us exceeds retention_us
 * (after defaults).
 */
struct br_dedup *br_dedup_create(const struct br_dedup_config *cfg);
void br_dedup_destroy(struct br_dedup *d);

/**
 * Registers an attempt as running (BR_DEDUP_NEW), or returns the state of one already recorded. An
 * attempt that can be neither registered nor found is refused by the state in the result.
 */
struct br_dedup_result br_dedup_begin(struct br_dedup *d, const struct br_dedup_req *req,
				      uint64_t now_us);

/** Returns the state of an attempt without registering it. */
struct br_dedup_result br_dedup_find(struct br_dedup *d, const struct br_attempt_id *id);

/**
 * Records that a running attempt has finished. answer may be NULL (the outcome is unknown); the
 * module takes its own reference. The oldest stored answers are dropped until the new one fits in
 * max_answer_bytes; an answer larger than that is not stored. Returns 0, or -ENOENT if the attempt
 * is not running.
 */
int br_dedup_finish(struct br_dedup *d, const struct br_attempt_id *id, struct br_answer *answer,
		    uint64_t now_us);

/**
 * Records that a running attempt was proven not run. Another attempt may then run its request id;
 * the attempt itself can no longer run. Returns 0, or -ENOENT if the attempt is not running.
 */
int br_dedup_mark_not_run(struct br_dedup *d, const struct br_attempt_id *id, uint64_t now_us);

/** Removes expired attempts, as br_dedup_begin() does. Call about once a second. */
void br_dedup_expire(struct br_dedup *d, uint64_t now_us);

void br_dedup_stats(const struct br_dedup *d, struct br_dedup_stats *out);

/**
 * Creates an answer with one reference. The HTTP status, header lines and body are copied and not
 * interpreted. Returns NULL if out of memory.
 */
struct br_answer *br_answer_create(int status, const void *headers, size_t headers_len,
				   const void *body, size_t body_len);
/** Takes a reference and returns a. Thread-safe. */
struct br_answer *br_answer_get(struct br_answer *a);
/** Releases a reference and frees the answer with the last one. NULL is allowed. Thread-safe. */
void br_answer_put(struct br_answer *a);
int br_answer_status(const struct br_answer *a);
/** Returns the header lines, valid as long as the reference, and their size in bytes. */
const void *br_answer_headers(const struct br_answer *a, size_t *len);
/** Returns the body, valid as long as the reference, and its size in bytes. */
const void *br_answer_body(const struct br_answer *a, size_t *len);

#endif
