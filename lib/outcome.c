#include "briarreel/outcome.h"

#include <string.h>

/** Properties of a reason. */
struct reason_info {
	const char *name;
	enum br_outcome_kind kind;
	int status;
	/**
	 * The entry node may retry the request (an idempotent one, if the outcome is unknown). Also
	 * false for some reasons whose outcome may differ later, such as over-rate and
	 * registrar-full: the caller decides about that retry.
	 */
	bool retryable;
};

#define NOT_RUN(name, status, retryable)                    \
	{                                                   \
		name, BR_OUTCOME_NOT_RUN, status, retryable \
	}
#define UNKNOWN(name, status, retryable)                    \
	{                                                   \
		name, BR_OUTCOME_UNKNOWN, status, retryable \
	}

static const struct reason_info reason_infos[BR_REASON_COUNT] = {
	[BR_REASON_NONE] = {"", BR_OUTCOME_ANSWERED, 0, false},
	[BR_REASON_MALFORMED] = NOT_RUN("malformed", 400, false),
	[BR_REASON_NO_IDENTITY] = NOT_RUN("no-identity", 400, false),
	[BR_REASON_KEY_IN_REQUEST] = NOT_RUN("key-in-request", 400, false),
	[BR_REASON_NO_KEY] = NOT_RUN("no-key", 401, false),
	[BR_REASON_BAD_KEY] = NOT_RUN("bad-key", 401, false),
	[BR_REASON_KEY_WITHDRAWN] = NOT_RUN("key-withdrawn", 401, false),
	[BR_REASON_KEY_UNCONFIRMED] = NOT_RUN("key-unconfirmed", 401, false),
	[BR_REASON_BAD_MESH_TOKEN] = NOT_RUN("bad-mesh-token", 401, false),
	[BR_REASON_NO_ROUTE] = NOT_RUN("no-route", 404, false),
	[BR_REASON_BODY_TOO_LARGE] = NOT_RUN("body-too-large", 413, false),
	[BR_REASON_OVER_RATE] = NOT_RUN("over-rate", 429, false),
	[BR_REASON_OVERLOAD] = NOT_RUN("overload", 503, true),
	[BR_REASON_QUEUE_FULL] = NOT_RUN("queue-full", 503, true),
	[BR_REASON_NO_TARGET] = NOT_RUN("no-target", 503, true),
	[BR_REASON_DEADLINE] = NOT_RUN("deadline", 503, false),
	[BR_REASON_CANCELLED] = NOT_RUN("cancelled", 503, false),
	[BR_REASON_DRAINING] = NOT_RUN("draining", 503, true),
	[BR_REASON_STOPPING] = NOT_RUN("stopping", 503, true),
	[BR_REASON_CONNECT_FAILED] = NOT_RUN("connect-failed", 503, true),
	[BR_REASON_TARGET_SHED] = NOT_RUN("target-shed", 503, true),
	[BR_REASON_REGISTRAR_UNREACHABLE] = NOT_RUN("registrar-unreachable", 503, false),
	[BR_REASON_REGISTRAR_NO_HISTORY] = NOT_RUN("registrar-no-memory", 503, false),
	[BR_REASON_REGISTRAR_FULL] = NOT_RUN("registrar-full", 503, false),
	[BR_REASON_DEDUP_FULL] = NOT_RUN("dedup-full", 503, true),
	[BR_REASON_FIRST_DISPATCHING] = NOT_RUN("first-dispatching", 503, false),
	[BR_REASON_NO_CONFIG] = NOT_RUN("no-config", 503, true),
	[BR_REASON_INTERNAL] = NOT_RUN("internal", 503, true),
	[BR_REASON_ANSWER_NOT_KEPT] = UNKNOWN("answer-not-kept", 409, true),
	[BR_REASON_FIRST_NODE_GONE] = UNKNOWN("first-node-gone", 409, true),
	[BR_REASON_FIRST_UNKNOWN] = UNKNOWN("first-unknown", 409, true),
	[BR_REASON_STALE_ATTEMPT] = UNKNOWN("stale-attempt", 409, true),
	[BR_REASON_TIMEOUT] = UNKNOWN("timeout", 504, true),
	[BR_REASON_CONNECTION_LOST] = UNKNOWN("connection-lost", 504, true),
	[BR_REASON_ANSWER_TRUNCATED] = UNKNOWN("answer-truncated", 504, true),
	[BR_REASON_WRONG_INCARNATION] = UNKNOWN("wrong-incarnation", 504, true),
	[BR_REASON_CANCELLED_RUNNING] = UNKNOWN("cancelled-running", 504, false),
};

struct br_outcome br_outcome_answered(int status)
{
	return (struct br_outcome){.kind = BR_OUTCOME_ANSWERED, .answered = {.status = status}};
}

struct br_outcome br_outcome_not_run(enum br_reason reason, uint32_t retry_after_ms)
{
	BR_INVARIANT(reason < BR_REASON_COUNT && reason_infos[reason].kind == BR_OUTCOME_NOT_RUN);
	return (struct br_outcome){.kind = BR_OUTCOME_NOT_RUN,
				   .not_run = {.reason = reason, .retry_after_ms = retry_after_ms}};
}

struct br_outcome br_outcome_unknown(enum br_reason reason)
{
	BR_INVARIANT(reason < BR_REASON_COUNT && reason_infos[reason].kind == BR_OUTCOME_UNKNOWN);
	return (struct br_outcome){.kind = BR_OUTCOME_UNKNOWN, .unknown = {.reason = reason}};
}

const char *br_outcome_name(const struct br_outcome *o)
{
	switch (o->kind) {
	case BR_OUTCOME_ANSWERED:
		return "answered";
	case BR_OUTCOME_NOT_RUN:
		return "not-run";
	case BR_OUTCOME_UNKNOWN:
		return "unknown";
	}
	return "unknown";
}

enum br_reason br_outcome_reason(const struct br_outcome *o)
{
	switch (o->kind) {
	case BR_OUTCOME_ANSWERED:
		return BR_REASON_NONE;
	case BR_OUTCOME_NOT_RUN:
		return o->not_run.reason;
	case BR_OUTCOME_UNKNOWN:
		return o->unknown.reason;
	}
	return BR_REASON_NONE;
}

int br_outcome_status(const struct br_outcome *o)
{
	if (o->kind == BR_OUTCOME_ANSWERED)
		return o->answered.status;
	return reason_infos[br_outcome_reason(o)].status;
}

bool br_outcome_retryable(const struct br_outcome *o, bool idempotent)
{
	switch (o->kind) {
	case BR_OUTCOME_ANSWERED:
		return false;
	case BR_OUTCOME_NOT_RUN:
		return reason_infos[o->not_run.reason].retryable;
	case BR_OUTCOME_UNKNOWN:
		return idempotent && reason_infos[o->unknown.reason].retryable;
	}
	return false;
}

uint32_t br_outcome_retry_after_s(const struct br_outcome *o)
{
	int status = br_outcome_status(o);
	uint32_t ms;

	if (o->kind != BR_OUTCOME_NOT_RUN || (status != 429 && status != 503))
		return 0;
	ms = o->not_run.retry_after_ms;
	return ms / 1000 + (ms % 1000 != 0);
}

const char *br_reason_name(enum br_reason reason)
{
	return reason < BR_REASON_COUNT ? reason_infos[reason].name : "";
}

enum br_reason br_reason_parse(const char *name)
{
	for (int i = BR_REASON_NONE + 1; i < BR_REASON_COUNT; i++)
		if (!strcmp(reason_infos[i].name, name))
			return (enum br_reason)i;
	return BR_REASON_NONE;
}

/* Returns a not-run reason with this status, for an unrecognised reason sent by a newer peer. */
static enum br_reason reason_of_status(int status)
{
	if (status == 503)
		return BR_REASON_INTERNAL;
	for (int i = BR_REASON_NONE + 1; i < BR_REASON_COUNT; i++)
		if (reason_infos[i].kind == BR_OUTCOME_NOT_RUN && reason_infos[i].status == status)
			return (enum br_reason)i;
	return BR_REASON_INTERNAL;
}

struct br_outcome br_outcome_of_peer(int status, const char *name, const char *reason,
				     uint32_t retry_after_ms)
{
	enum br_reason r = reason ? br_reason_parse(reason) : BR_REASON_NONE;

	if (name && !strcmp(name, "answered"))
		return br_outcome_answered(status);
	if (name && !strcmp(name, "not-run")) {
		if (reason_infos[r].kind != BR_OUTCOME_NOT_RUN)
			r = reason_of_status(status);
		return br_outcome_not_run(r, retry_after_ms);
	}
	if (reason_infos[r].kind != BR_OUTCOME_UNKNOWN)
		r = BR_REASON_CONNECTION_LOST;
	return br_outcome_unknown(r);
}
