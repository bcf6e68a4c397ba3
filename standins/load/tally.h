/**
 * @file tally.h
 * Results of a load run, by phase and stream.
 */
#ifndef STANDINS_LOAD_TALLY_H
#define STANDINS_LOAD_TALLY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

struct json_object;
struct tally;

enum tally_outcome {
	/** Answered with a status below 400. */
	TALLY_OK,
	/** Answered with another status. */
	TALLY_ERROR,
	TALLY_NOT_RUN,
	TALLY_UNKNOWN,
	/** Not sent, because its deadline passed while all connections were busy. */
	TALLY_UNSENT,
	TALLY_OUTCOMES,
};

/** The end of one request. */
struct tally_result {
	enum tally_outcome outcome;
	/** Reason of the last attempt, unless it was answered. */
	char reason[40];
	uint32_t attempts;
	uint32_t latency_us;
	/** Time since the start of the run. */
	uint64_t ended_us;
	/** Time since the start of the run at which the request was due. */
	uint64_t due_us;
	/** The answer belongs to another request. */
	bool crossed;
	/** The answer is for this request but not whole. */
	bool incomplete;
};

struct tally *tally_create(const char *phase, const char *stream);
void tally_destroy(struct tally *t);

void tally_add(struct tally *t, const struct tally_result *result);

/** Writes {"streams": [...], "goodput_per_100ms": [...]} of n tallies. */
struct json_object *tally_json(struct tally *const *tallies, size_t n);

void tally_print(struct tally *const *tallies, size_t n, FILE *f);

/** Sum over all tallies of answers that were crossed or incomplete. */
uint64_t tally_bad_answers(struct tally *const *tallies, size_t n);

#endif
