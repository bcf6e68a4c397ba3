/**
 * @file outcome.h
 * Outcome of a request or attempt: answered by the target, proven not run, or unknown.
 */
#ifndef BRIARREEL_OUTCOME_H
#define BRIARREEL_OUTCOME_H

#include "briarreel/types.h"

enum br_outcome_kind {
	/** The target answered; this includes a plain 503 from the target. */
	BR_OUTCOME_ANSWERED,
	/** A process that can prove it reports that the target did not run the request. */
	BR_OUTCOME_NOT_RUN,
	/** The target may have run the request. */
	BR_OUTCOME_UNKNOWN,
};

/** Reasons for outcomes without an answer. The reason determines the kind and HTTP status. */
enum br_reason {
	BR_REASON_NONE,
	/* Not run, 400. */
	BR_REASON_MALFORMED,
	/** The route requires a request id for non-idempotent requests, and there is none. */
	BR_REASON_NO_IDENTITY,
	/** The request id, path or body contains the client key, which targets must not see. */
	BR_REASON_KEY_IN_REQUEST,
	/* Not run, 401. */
	BR_REASON_NO_KEY,
	BR_REASON_BAD_KEY,
	BR_REASON_KEY_WITHDRAWN,
	/** The key cannot be confirmed: the configuration is older than offline_key_ttl_s. */
	BR_REASON_KEY_UNCONFIRMED,
	BR_REASON_BAD_MESH_TOKEN,
	/* Not run, 404. */
	BR_REASON_NO_ROUTE,
	/* Not run, 413. */
	BR_REASON_BODY_TOO_LARGE,
	/* Not run, 429. */
	BR_REASON_OVER_RATE,
	/* Not run, 503. */
	BR_REASON_OVERLOAD,
	BR_REASON_QUEUE_FULL,
	BR_REASON_NO_TARGET,
	BR_REASON_DEADLINE,
	BR_REASON_CANCELLED,
	BR_REASON_DRAINING,
	BR_REASON_STOPPING,
	BR_REASON_CONNECT_FAILED,
	BR_REASON_TARGET_SHED,
	BR_REASON_REGISTRAR_UNREACHABLE,
	/** The registrar took over the slot without records and cannot know if the id is new. */
	BR_REASON_REGISTRAR_NO_HISTORY,
	BR_REASON_REGISTRAR_FULL,
	BR_REASON_DEDUP_FULL,
	/** The first attempt of this request id has not been dispatched yet. */
	BR_REASON_FIRST_DISPATCHING,
	BR_REASON_NO_CONFIG,
	BR_REASON_INTERNAL,
	/* Unknown, 409: an earlier attempt ran or may have run; its answer is not available. */
	BR_REASON_ANSWER_NOT_KEPT,
	/**
	 * The target's node that has the first attempt of this request id cannot be reached or has
	 * restarted.
	 */
	BR_REASON_FIRST_NODE_GONE,
	/**
	 * Another attempt of this request id may still be started, or the target's node has no
	 * record of the first one.
	 */
	BR_REASON_FIRST_UNKNOWN,
	/** The target's node cannot tell whether this attempt has run; see BR_DEDUP_STALE. */
	BR_REASON_STALE_ATTEMPT,
	/* Unknown, 504. */
	BR_REASON_TIMEOUT,
	BR_REASON_CONNECTION_LOST,
	BR_REASON_ANSWER_TRUNCATED,
	BR_REASON_WRONG_INCARNATION,
	BR_REASON_CANCELLED_RUNNING,
	BR_REASON_COUNT,
};

/** Outcome as a tagged union; kind selects the valid member. */
struct br_outcome {
	enum br_outcome_kind kind;
	union {
		struct {
			/** HTTP status from the target. */
			int status;
		} answered;
		struct {
			enum br_reason reason;
			/** Time after which a retry may succeed; 0 if unknown. */
			uint32_t retry_after_ms;
		} not_run;
		struct {
			enum br_reason reason;
		} unknown;
	};
};

struct br_outcome br_outcome_answered(int status);
/** reason must be one of the reasons marked "not run". */
struct br_outcome br_outcome_not_run(enum br_reason reason, uint32_t retry_after_ms);
/** reason must be one of the reasons marked "unknown". */
struct br_outcome br_outcome_unknown(enum br_reason reason);

/** Returns the value of the Briarreel-Outcome header: "answered", "not-run" or "unknown". */
const char *br_outcome_name(const struct br_outcome *o);

/** Returns the HTTP status that the caller receives. */
int br_outcome_status(const struct br_outcome *o);

/** Returns the reason; BR_REASON_NONE for an answer. */
enum br_reason br_outcome_reason(const struct br_outcome *o);

/**
 * True if the entry node may retry the request, retry allowance and deadline permitting. An outcome
 * that a retry would not change is not retried, nor are some that change only later, such as
 * BR_REASON_OVER_RATE: that retry is left to the caller. A non-idempotent request must also be
 * proven not run.
 */
bool br_outcome_retryable(const struct br_outcome *o, bool idempotent);

/** Returns Retry-After in seconds, rounded up; 0 for no header. Only 429 and 503 have one. */
uint32_t br_outcome_retry_after_s(const struct br_outcome *o);

/** Returns the value of the Briarreel-Reason header, such as "over-rate"; "" for BR_REASON_NONE. */
const char *br_reason_name(enum br_reason reason);

/** Returns the reason for a header value; BR_REASON_NONE if the name is not known. */
enum br_reason br_reason_parse(const char *name);

/**
 * Returns the outcome of a response from a peer node, given its HTTP status and the values of its
 * Briarreel-Outcome (name) and Briarreel-Reason headers (NULL if absent). A response without a
 * valid outcome is unknown, with BR_REASON_CONNECTION_LOST unless its reason is a valid one. A
 * not-run response whose reason this version does not know remains not run, with a reason of the
 * same status, else BR_REASON_INTERNAL.
 */
struct br_outcome br_outcome_of_peer(int status, const char *name, const char *reason,
				     uint32_t retry_after_ms);

#endif
