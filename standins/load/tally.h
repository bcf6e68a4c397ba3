/**
 * @file tally.h
 * Results of a load run; one tally counts the requests of one stream in one phase.
 */
#ifndef STANDINS_LOAD_TALLY_H
#define STANDINS_LOAD_TALLY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

struct json_object;
struct tally;

/** Outcome of a request after its last attempt. */
enum tally_outcome {
	/** Answered with a status below 400. */
	TALLY_OK,
	/** Answered with another status. */
	TALLY_ERROR,
	/** Not executed: refused with Briarreel-Outcome "not-run", or no connection. */
	TALLY_NOT_RUN,
	/** Possibly executed: Briarreel-Outcome "unknown", or no complete response. */
	TALLY_UNKNOWN,
	/** Not sent, because its deadline passed while all connections were busy. */
	TALLY_UNSENT,
	TALLY_OUTCOMES,
};

/** Result of one request with all its attempts. */
struct tally_result {
	enum tally_outcome outcome;
	/** Reason of the last attempt, unless it was answered. */
	char reason[40];
	uint32_t attempts;
	/** Time from when the request was due to its end. */
	uint32_t latency_us;
	/** Time since the start of the run at which the request ended. */
	uint64_t ended_us;
	/** Time since the start of the run at which the request was due. */
	uint64_t due_us;
	/** The answer belongs to another request. */
	bool crossed;
	/** The answer belongs to this request but is not complete. */
	bool incomplete;
};

/** Creates the tally of one stream in one phase; aborts the process if out of memory. */
struct tally *tally_create(const char *phase, const char *stream);
void tally_destroy(struct tally *t);

void tally_add(struct tally *t, const struct tally_result *result);

/** Returns {"streams": [...], "goodput_per_100ms": [...]} of n tallies; the caller releases it. */
struct json_object *tally_json(struct tally *const *tallies, size_t n);

/** Prints a table with one row for each tally, and the number of bad answers. */
void tally_print(struct tally *const *tallies, size_t n, FILE *f);

/** Returns the number of crossed or incomplete answers in all tallies. */
uint64_t tally_bad_answers(struct tally *const *tallies, size_t n);

#endif
