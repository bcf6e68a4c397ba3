/**
 * @file dedup.h
 * Attempts and answers at the target's node, so that an attempt runs at most once however often its
 * message arrives, and a sender can collect the answer over another connection.
 *
 * Every attempt passes br_dedup_begin() before admission. An attempt that is then refused as not
 * run, shed or dropped goes to br_dedup_forget(): its id stays marked so that a late copy of the
 * message cannot run it. Not thread-safe; the caller holds one lock around each call. Answers are
 * reference counted and may be read without that lock.
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
	/** Incarnation of this node; attempts meant for another one are refused. */
	uint64_t incarnation;
	/** Attempts that are remembered, running ones included (262144). */
	uint32_t max_attempts;
	/** Entry nodes that are remembered (65536). */
	uint32_t max_entries;
	/** Bytes of all stored answers together (64 MiB). */
	uint64_t max_answer_bytes;
	/** Time for which a finished non-idempotent attempt is remembered (120 s). */
	uint64_t window_us;
	/**
	 * Time for which a finished idempotent attempt is remembered, and the least time for which
	 * any is remembered when the table is full (30 s). Must exceed the largest deadline, 25 s:
	 * attempts older than an expired one are refused.
	 */
	uint64_t min_keep_us;
};

/** State of an attempt. */
enum br_dedup_state {
	/** Not seen before: the caller runs it, then calls finish or forget. */
	BR_DEDUP_NEW,
	/** Running: wait, then look again with br_dedup_find(). */
	BR_DEDUP_RUNNING,
	/** Ran; the answer is in the result. */
	BR_DEDUP_DONE,
	/** Ran; the answer was not kept. Outcome unknown, BR_REASON_ANSWER_NOT_KEPT. */
	BR_DEDUP_DONE_NO_ANSWER,
	/** Proven not run, and will not run. */
	BR_DEDUP_NOT_RUN,
	/** The id is older than what is remembered. Outcome unknown, BR_REASON_STALE_ATTEMPT. */
	BR_DEDUP_STALE,
	/** Meant for another incarnation of this node. Unknown, BR_REASON_WRONG_INCARNATION. */
	BR_DEDUP_WRONG_INCARNATION,
	/** No room. Not run, and will not run: BR_REASON_DEDUP_FULL. */
	BR_DEDUP_FULL,
	/** Attach or find only: the attempt has not arrived here. BR_REASON_FIRST_UNKNOWN. */
	BR_DEDUP_ABSENT,
};

/** An attempt as it arrives. */
struct br_dedup_req {
	struct br_attempt_id id;
	/** Incarnation of the target's node that the sender means. */
	uint64_t target_incarnation;
	/**
	 * Account and request id; NULL if the request has none. An attempt whose request id is
	 * running or done under another attempt id joins that attempt.
	 */
	const char *account;
	const char *request_id;
	bool idempotent;
	/**
	 * Only join or collect, never start. Set by an entry node that was told by the registrar
	 * where another entry node's attempt runs: it must not start that attempt, because its
	 * owner may still prove it not run.
	 */
	bool attach;
};

struct br_dedup_result {
	enum br_dedup_state state;
	/** The attempt that counts: that of the request, or the one it joined. */
	struct br_attempt_id attempt;
	/** For BR_DEDUP_DONE: a reference that the caller drops with br_answer_put(). Else NULL. */
	struct br_answer *answer;
};

struct br_dedup_stats {
	uint64_t joined;
	uint64_t answers_dropped;
	uint64_t refused_stale;
	uint64_t refused_incarnation;
	uint64_t refused_full;
	uint32_t attempts;
	uint32_t running;
	uint32_t entries;
	uint64_t answer_bytes;
};

/** NULL if there is no memory or min_keep_us exceeds window_us. */
struct br_dedup *br_dedup_create(const struct br_dedup_config *cfg);
void br_dedup_destroy(struct br_dedup *d);

/** Registers an attempt, or tells what became of it. Never fails. */
struct br_dedup_result br_dedup_begin(struct br_dedup *d, const struct br_dedup_req *req,
				      uint64_t now_us);

/** State of an attempt, without registering it. */
struct br_dedup_result br_dedup_find(struct br_dedup *d, const struct br_attempt_id *id);

/**
 * Records the end of a running attempt. answer may be NULL (the outcome is unknown); the module
 * takes a reference of its own. Older answers are dropped if there is no space; an answer larger
 * than the whole space is not kept. Returns 0 or -ENOENT if the attempt is not running.
 */
int br_dedup_finish(struct br_dedup *d, const struct br_attempt_id *id, struct br_answer *answer,
		    uint64_t now_us);

/**
 * Records that a running attempt was proven not run. Its request id may then be run by another
 * attempt; the attempt itself never is. Returns 0 or -ENOENT if the attempt is not running.
 */
int br_dedup_forget(struct br_dedup *d, const struct br_attempt_id *id, uint64_t now_us);

/** Removes what has expired; br_dedup_begin() also does. Call about once a second. */
void br_dedup_expire(struct br_dedup *d, uint64_t now_us);

void br_dedup_stats(const struct br_dedup *d, struct br_dedup_stats *out);

/** A stored answer: HTTP status, header lines and body, opaque to the module. */
struct br_answer *br_answer_create(int status, const void *headers, size_t headers_len,
				   const void *body, size_t body_len);
struct br_answer *br_answer_get(struct br_answer *a);
/** Drops a reference; NULL is allowed. Thread-safe, as br_answer_get(). */
void br_answer_put(struct br_answer *a);
int br_answer_status(const struct br_answer *a);
const void *br_answer_headers(const struct br_answer *a, size_t *len);
const void *br_answer_body(const struct br_answer *a, size_t *len);

#endif
