/**
 * @file exec.h
 * Executions of the target stand-in: slots with a first-in first-out queue, cancellation, deadlines
 * and a log of what ran.
 */
#ifndef STANDINS_TARGET_EXEC_H
#define STANDINS_TARGET_EXEC_H

#include <stdbool.h>
#include <stdint.h>

struct exec;

struct exec_config {
	uint32_t slots;
	/** Refuse above the slots instead of queueing. */
	bool shed;
	/** Largest number of executions that the log keeps. */
	uint32_t log_max;
};

enum exec_result {
	EXEC_OK,
	/** No free slot; only with exec_config.shed. Did not run. */
	EXEC_SHED,
	EXEC_CANCELLED,
	EXEC_EXPIRED,
};

/** Names of a request; id may be empty. */
struct exec_request {
	const char *id;
	const char *account;
	const char *path;
	/** Monotonic end of the deadline, or 0. */
	uint64_t deadline_us;
};

/** Counters since the start. */
struct exec_stats {
	uint64_t executions;
	uint64_t repeated_ids;
	uint64_t shed;
	uint64_t cancelled;
	uint64_t expired;
	uint32_t in_flight;
	uint32_t max_in_flight;
	uint32_t queued;
};

void exec_init(const struct exec_config *cfg);

/**
 * Waits for a slot. On EXEC_OK the execution is in the log and *out must be ended by exec_finish();
 * on any other result nothing ran.
 */
enum exec_result exec_begin(const struct exec_request *req, struct exec **out);

/** Works for us microseconds; ends early if cancelled or at the deadline. */
enum exec_result exec_work(struct exec *e, uint64_t us);

/** While on, exec_work() does not end by itself. */
void exec_set_hang(bool on);

/** Number of times that the id of e has begun, this one included. */
uint32_t exec_runs(const struct exec *e);

/** Logs the end with its status, frees the slot and releases e. */
void exec_finish(struct exec *e, int status);

/** Cancels queued and running requests with this id; returns their number. */
uint32_t exec_cancel(const char *id);

/** Ends all waits as cancelled, now and later. */
void exec_stop(void);

void exec_get_stats(struct exec_stats *out);

/**
 * The log as JSON lines, only of one id unless id is empty; the caller frees it. A line has id,
 * account, path, runs (of this id in all), started_us, finished_us (0 while running), status and
 * cancelled.
 */
char *exec_log_text(const char *id);

#endif
