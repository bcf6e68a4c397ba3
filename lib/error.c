#include "briarreel/error.h"

#include <stdarg.h>
#include <stdio.h>

const char *br_step_name(enum br_step step)
{
	switch (step) {
	case BR_STEP_NONE:
		return "none";
	case BR_STEP_PARSE:
		return "parse";
	case BR_STEP_VALIDATE:
		return "validate";
	case BR_STEP_CONNECT:
		return "connect";
	case BR_STEP_SEND:
		return "send";
	case BR_STEP_RECEIVE:
		return "receive";
	case BR_STEP_ADMIT:
		return "admit";
	case BR_STEP_DISPATCH:
		return "dispatch";
	case BR_STEP_STORE:
		return "store";
	}
	return "unknown";
}

int br_error_set(struct br_error *err, int code, enum br_step step, const char *peer,
		 const char *fmt, ...)
{
	va_list ap;

	if (!err)
		return code;
	err->code = code;
	err->step = step;
	br_copy_text(err->peer, sizeof(err->peer), peer ? peer : "");
	va_start(ap, fmt);
	vsnprintf(err->detail, sizeof(err->detail), fmt, ap);
	va_end(ap);
	return code;
}
