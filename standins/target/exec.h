/**
 * @file exec.h
 * Executions of the target stand-in: slots with a first-in first-out queue, cancellation, deadlines
 * and a log of the executions.
 */
#ifndef STANDINS_TARGET_EXEC_H
#define STANDINS_TARGET_EXEC_H

#include <stdbool.h>
#include <stdint.h>

struct exec;

struct exec_config {
	/** Largest number of concurrent executions. */
	uint32_t slots;
	/** Refuse requests when no slot is free, instead of queueing them. */
	bool shed;
	/** Largest number of executions that the log keeps. */
	uint32_t log_max;
};

/** Result of waiting for a slot or of working in it. */
enum exec_result {
	EXEC_OK,
	/** Refused because no slot was free; only with exec_config.shed. */
	EXEC_SHED,
	EXEC_CANCELLED,
	/** The deadline passed. */
	EXEC_EXPIRED,
};

/** A request. id may be empty. The strings must stay valid until it is finished or refused. */
struct exec_request {
	const char *id;
	const char *account;
	const char *path;
	/** Deadline on the monotonic clock, or 0. */
	uint64_t deadline_us;
};

/** Counters since the start. */
struct exec_stats {
	uint64_t executions;
	/** Non-empty ids that have been executed more than once. */
	uint64_t repeated_ids;
	uint64_t shed;
	uint64_t cancelled;
	/** Executions that ended with status 504. */
	uint64_t expired;
	uint32_t in_flight;
	uint32_t max_in_flight;
	uint32_t queued;
};

void exec_init(const struct exec_config *cfg);

/**
 * Waits for a slot. On EXEC_OK the execution is logged as started and *out must be passed to
 * exec_finish(). On any other result nothing was executed and *out is NULL.
 */
enum exec_result exec_begin(const struct exec_request *req, struct exec **out);

/** Occupies the slot for work_us microseconds; returns early if cancelled or at the deadline. */
enum exec_result exec_work(struct exec *e, uint64_t work_us);

/** While on, exec_work() returns only on cancellation or at the deadline. */
void exec_set_hang(bool on);

/** Returns the number of executions of the request id when e started, e included. */
uint32_t exec_runs(const struct exec *e);

/** Logs the end of e with its HTTP status, gives its slot to the next request and releases e. */
void exec_finish(struct exec *e, int status);

/** Cancels the queued and running requests with this id; returns their number. */
uint32_t exec_cancel(const char *id);

/** Cancels all queued and running requests, and every later one as it arrives. */
void exec_stop(void);

void exec_get_stats(struct exec_stats *out);

/**
 * Returns the log as JSON lines, only of one id unless id is empty; the caller frees it. NULL if
 * out of memory. A line has id, account, path, runs (all executions of this id so far), started_us,
 * finished_us (0 while running), status and cancelled.
 */
char *exec_log_text(const char *id);

#endif
