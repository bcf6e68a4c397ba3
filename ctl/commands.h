/**
 * @file commands.h
 * Commands of briarreelctl. Each prints its result or logs an error, and returns an exit status.
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

/** Condition of a write: the revision of the record that it replaces. */
struct write_options {
	/** The record must not exist. */
	bool must_be_new;
	/** rev is set. If neither this nor must_be_new is set, the current revision is replaced. */
	bool has_rev;
	uint64_t rev;
};

/** Validates the record in the file path ("-": standard input) and writes it. */
int command_put(const struct store *s, const struct write_options *opts, const char *kind,
		const char *name, const char *path);

/** Prints a record with its revision. */
int command_get(const struct store *s, const char *kind, const char *name);

/** Prints key and revision of all records of a kind, or of all kinds if kind is NULL. */
int command_list(const struct store *s, const char *kind);

/** Deletes a record. Before an account is deleted, warns of the keys that name it. */
int command_withdraw(const struct store *s, const struct write_options *opts, const char *kind,
		     const char *name);

/** Validates the record in the file path without a platform. */
int command_validate(const char *kind, const char *name, const char *path);

/** Prints the SHA-256 in hexadecimal of the key on standard input; a final \n is not hashed. */
int command_key_hash(void);

#endif
