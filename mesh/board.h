/**
 * @file board.h
 * The blackboard: what control writes and what the request path reads. One loop runs both, since a
 * node has less than one core; nothing here is locked.
 */
#ifndef MESH_BOARD_H
#define MESH_BOARD_H

#include "briarreel/balance.h"
#include "mesh/histogram.h"
#include "mesh/model.h"
#include "net/conn_pool.h"

struct store;
struct members;
struct quota;
struct target;

enum counter {
	COUNT_REQUESTS,
	COUNT_ANSWERED,
	COUNT_NO_CONFIG,
	COUNT_NO_ROUTE,
	COUNT_KEY_UNKNOWN,
	COUNT_KEY_UNCONFIRMED,
	COUNT_OVER_QUOTA,
	COUNT_REFUSED,
	COUNT_FAILED,
	COUNT_TIMED_OUT,
	COUNT_CALLER_LEFT,
	COUNT_REPEATS,
	COUNT_REPEATS_DENIED,
	COUNT_TARGET_JOBS,
	COUNT_TARGET_NOT_RUN,
	COUNT_TARGET_LOST,
	COUNT_RELOADS,
	COUNTERS,
};

/** Times whose distribution is kept. */
enum time_kind {
	TIME_ANSWERED,
	TIME_REFUSED,
	TIME_FAILED,
	TIME_ENTRY,
	TIME_QUEUE,
	TIME_TARGET,
	TIME_STORE,
	TIMES,
};

struct board {
	uv_loop_t *loop;
	const struct mesh_settings *settings;
	struct br_rng rng;
	/** NULL until the first configuration is known. */
	struct mesh_config *config;
	/** Latest time at which the store was known to hold no newer configuration. */
	uint64_t confirmed_us;
	/** The configuration's text as the store holds it, and its revision there. */
	struct buf config_text;
	uint64_t config_revision;
	/** Another node has a newer configuration: read it. NULL before the watch runs. */
	void (*newer_seen)(void *ctx, uint64_t version);
	void *newer_ctx;
	struct store *store;
	struct members *members;
	struct br_balance *balance;
	struct target *target;
	struct quota *quota;
	/**
	 * The last renewal of the lease failed, or none was tried yet. Renewals are the cheapest calls,
	 * so that they alone look for a store that is away.
	 */
	bool store_away;
	/** The last read or watch of the configuration failed. */
	bool watch_lost;
	/** This node is the keeper. */
	bool is_keeper;
	/** The keeper's answers show until then what the store holds. */
	uint64_t follow_until_us;
	/** Store revision of the view of the members, and a count of its changes. */
	uint64_t view_revision;
	uint32_t view_changes;
	/** SIGTERM was received. */
	bool stopping;
	/** The process ends at this time at the latest. */
	uint64_t stop_until_us;
	/** New requests are refused: callers have had time to notice the stop. */
	bool refusing;
	uint64_t counters[COUNTERS];
	struct histogram times[TIMES];
};

static inline void board_count(struct board *b, enum counter c)
{
	b->counters[c]++;
}

/** True while the keeper tells this node what changes, so that it need not watch the store. */
static inline bool board_follows_keeper(const struct board *b, uint64_t now_us)
{
	return !b->is_keeper && now_us < b->follow_until_us;
}

/** Tells the watch that another node runs a version; does nothing if it is known. */
static inline void board_saw_version(struct board *b, uint64_t version)
{
	if (b->newer_seen && version > (b->config ? b->config->version : 0))
		b->newer_seen(b->newer_ctx, version);
}

#endif
