/**
 * @file error.h
 * Errors with the step of the operation that failed and the peer involved.
 */
#ifndef BRIARREEL_ERROR_H
#define BRIARREEL_ERROR_H

#include "briarreel/types.h"

/** Step of an operation that failed. */
enum br_step {
	BR_STEP_NONE,
	BR_STEP_PARSE,
	BR_STEP_VALIDATE,
	BR_STEP_CONNECT,
	BR_STEP_SEND,
	BR_STEP_RECEIVE,
	/** Not set by the modules of this project. */
	BR_STEP_ADMIT,
	/** Not set by the modules of this project. */
	BR_STEP_DISPATCH,
	/** A request to the platform's store, or memory for a change of the configuration map. */
	BR_STEP_STORE,
};

/** Error of an operation; a longer peer or detail is truncated. */
struct br_error {
	/** Negative errno value. */
	int code;
	enum br_step step;
	/** Node id of the peer; empty if none is involved. */
	char peer[BR_NODE_ID_BYTES];
	/** Message for a log or an operator. */
	char detail[160];
};

/** Returns the name of a step for logs, such as "connect". */
const char *br_step_name(enum br_step step);

/**
 * Fills err with a formatted message and returns code, so that callers can write
 * "return br_error_set(err, -EINVAL, ...)". err and peer may be NULL.
 */
int br_error_set(struct br_error *err, int code, enum br_step step, const char *peer,
		 const char *fmt, ...) __attribute__((format(printf, 5, 6)));

#endif
