/**
 * @file counters.h
 * Metrics of this node: counters without labels, and request counters by account, service and
 * outcome.
 */
#ifndef NODE_COUNTERS_H
#define NODE_COUNTERS_H

#include <stddef.h>
#include <stdint.h>

/** Counters without labels; counters.c has their metric names. */
enum counter {
	COUNTER_CALLER_REQUESTS,
	COUNTER_BAD_REQUESTS,
	COUNTER_BAD_KEYS,
	COUNTER_PEER_REQUESTS,
	COUNTER_PEER_REJECTED,
	COUNTER_CHILD_CALLS,
	COUNTER_RETRIES,
	COUNTER_REATTACHED,
	COUNTER_CANCELLED,
	COUNTER_DISPATCHED,
	COUNTER_SHED_LEVEL,
	COUNTER_SHED_QUEUE,
	COUNTER_SHED_EXPIRED,
	COUNTER_SHED_EARLY,
	COUNTER_DUPLICATES,
	COUNTER_UNKNOWN,
	COUNTER_RATE_LIMITED,
	COUNTER_RATE_WAITED,
	COUNTER_REGISTRAR_CLAIMS,
	COUNTER_REGISTRAR_REFUSED,
	COUNTER_CONTROL_SENT,
	COUNTER_CONTROL_RECEIVED,
	COUNTER_CONTROL_SENT_BYTES,
	COUNTER_CONTROL_RECEIVED_BYTES,
	COUNTER_CONTROL_MALFORMED,
	COUNTER_CONTROL_TIMEOUTS,
	COUNTER_LEASE_REQUESTS,
	COUNTER_LEASE_GRANTS,
	COUNTER_CONFIG_CHANGES,
	COUNTER_CONFIG_REJECTED,
	COUNTER_PLATFORM_READS,
	COUNTER_PLATFORM_WRITES,
	COUNTER_PLATFORM_ERRORS,
	COUNTER_PROBE_FAILURES,
	COUNTER_COUNT,
};

/** Request outcomes as counted by the burn report. */
enum request_result {
	REQUEST_ANSWERED,
	REQUEST_FAILED,
	REQUEST_SHED,
	REQUEST_RATE_LIMITED,
	REQUEST_UNKNOWN,
	REQUEST_RESULTS,
};

/** Adds n to a counter; safe from any thread. */
void counter_add(enum counter c, uint64_t n);

/** Current value of a counter. */
uint64_t counter_get(enum counter c);

/** Counts one request of an account to a service. */
void counter_request(const char *account, const char *service, enum request_result result);

/** Writes all counters to buf as text, one per line. Returns the bytes written. */
size_t counters_format(char *buf, size_t bytes);

#endif
