/**
 * @file fault.h
 * Faults and call counters of the platform stand-in, by kind of call.
 */
#ifndef STANDINS_PLATFORM_FAULT_H
#define STANDINS_PLATFORM_FAULT_H

#include <stdbool.h>
#include <stdint.h>

enum call_kind {
	CALL_READ,
	CALL_WRITE,
	CALL_LEASE,
	CALL_WATCH,
	CALL_KINDS,
};

enum fault_mode {
	FAULT_UP,
	/** Answers 503. */
	FAULT_DOWN,
	/** Never answers while the fault lasts. */
	FAULT_SILENT,
	/** Answers after a delay. */
	FAULT_SLOW,
	/** Takes effect, then closes the connection without an answer. */
	FAULT_LOSE_ANSWER,
};

/** Name of a kind of call, such as "read". */
const char *call_kind_name(enum call_kind kind);

/**
 * Sets the fault of one kind, or of all when kind is "" (of writes for "lose-answer"). count is the
 * number of calls a lost answer applies to. Returns false for an unknown mode or kind.
 */
bool fault_set(const char *mode, const char *kind, uint32_t ms, uint32_t count);

/** Counts a call and returns the fault that applies to it; ms is set for FAULT_SLOW. */
enum fault_mode fault_enter(enum call_kind kind, uint32_t *ms);

/** The current fault of a kind, without counting a call. */
enum fault_mode fault_current(enum call_kind kind);

/** Calls of a kind since the start. */
uint64_t fault_calls(enum call_kind kind);

#endif
