/**
 * @file fault.h
 * Injected faults and call counters of the platform stand-in, for each kind of call.
 */
#ifndef STANDINS_PLATFORM_FAULT_H
#define STANDINS_PLATFORM_FAULT_H

#include <stdbool.h>
#include <stdint.h>

/** Kinds of store calls for which faults are set and calls are counted. */
enum call_kind {
	CALL_READ,
	CALL_WRITE,
	CALL_LEASE,
	CALL_WATCH,
	CALL_KINDS,
};

/** How calls of a kind are answered; fault_set() takes the modes by name. */
enum fault_mode {
	/** No fault. */
	FAULT_UP,
	/** Calls are answered with status 503 and have no effect. */
	FAULT_DOWN,
	/** Calls get no response and have no effect; their connections close when the fault ends. */
	FAULT_SILENT,
	/** Calls are handled after a delay. */
	FAULT_SLOW,
	/** Calls take effect, but their connections are closed without a response. */
	FAULT_LOSE_ANSWER,
};

/** Returns the name of a kind of call, such as "read". */
const char *call_kind_name(enum call_kind kind);

/**
 * Sets the fault mode, "up", "down", "silent", "slow" or "lose-answer", of one kind of call. With
 * kind "" the mode applies to all kinds, except that "lose-answer" applies to writes only.
 * delay_ms is the delay of "slow". After answers_to_lose calls "lose-answer" goes back to "up".
 * Returns false for an unknown mode or kind.
 */
bool fault_set(const char *mode, const char *kind, uint32_t delay_ms, uint32_t answers_to_lose);

/** Counts a call and returns the fault mode that applies to it; *delay_ms is for FAULT_SLOW. */
enum fault_mode fault_for_call(enum call_kind kind, uint32_t *delay_ms);

/** Returns the current fault mode of a kind without counting a call. */
enum fault_mode fault_current(enum call_kind kind);

/** Returns the number of calls of a kind since the start. */
uint64_t fault_calls(enum call_kind kind);

#endif
