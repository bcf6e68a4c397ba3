/**
 * @file validate.h
 * Validation of a record before it is written.
 */
#ifndef CTL_VALIDATE_H
#define CTL_VALIDATE_H

struct br_error;

/** 0, or a negative error number with err filled. json is strict JSON. */
int validate_record(const char *kind, const char *name, const char *json, struct br_error *err);

#endif
