/**
 * @file error.h
 * Error values that carry the step and the peer at which they arose.
 */
#ifndef BRIARREEL_ERROR_H
#define BRIARREEL_ERROR_H

#include "briarreel/types.h"

/** The step of an operation at which an error arose. */
enum br_step {
	BR_STEP_NONE,
	BR_STEP_PARSE,
	BR_STEP_VALIDATE,
	BR_STEP_CONNECT,
	BR_STEP_SEND,
	BR_STEP_RECEIVE,
	BR_STEP_ADMIT,
	BR_STEP_DISPATCH,
	BR_STEP_STORE,
};

/** An error: a negative errno value, the step, the peer (may be empty) and a sentence. */
struct br_error {
	int code;
	enum br_step step;
	char peer[BR_NODE_ID_BYTES];
	char detail[160];
};

/** Name of a step for logs, such as "connect". */
const char *br_step_name(enum br_step step);

/**
 * Fills err (which may be NULL) and returns code, so that callers can write
 * "return br_error_set(err, -EINVAL, ...)". peer may be NULL.
 */
int br_error_set(struct br_error *err, int code, enum br_step step, const char *peer,
		 const char *fmt, ...) __attribute__((format(printf, 5, 6)));

#endif
