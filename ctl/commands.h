/**
 * @file commands.h
 * Commands of briarreelctl. Each returns an exit status.
 */
#ifndef CTL_COMMANDS_H
#define CTL_COMMANDS_H

#include "ctl/store.h"

#include <stdbool.h>

/** Exit statuses, as in briarreelctl(1). */
enum exit_status {
	EXIT_DONE = 0,
	EXIT_USAGE = 1,
	EXIT_INVALID = 2,
	EXIT_CONFLICT = 3,
	EXIT_UNREACHABLE = 4,
	EXIT_UNKNOWN = 5,
	EXIT_ABSENT = 6,
};

/** How a write names the revision that it replaces. */
struct write_options {
	/** The record must not exist. */
	bool must_be_new;
	/** Revision given by the operator; only if has_rev. Otherwise it is read just before. */
	bool has_rev;
	uint64_t rev;
};

int command_put(const struct store *s, const struct write_options *opts, const char *kind,
		const char *name, const char *path);
int command_get(const struct store *s, const char *kind, const char *name);
int command_list(const struct store *s, const char *kind);
int command_withdraw(const struct store *s, const struct write_options *opts, const char *kind,
		     const char *name);
int command_validate(const char *kind, const char *name, const char *path);
int command_key_hash(void);

#endif
