/**
 * @file board.h
 * State of this node, written by the control modules and read by the request path. One event loop
 * runs both, since a node has less than one core, so nothing here is locked.
 */
#ifndef MESH_BOARD_H
#define MESH_BOARD_H

#include "briarreel/balance.h"
#include "briarreel/pause.h"
#include "briarreel/stop.h"
#include "briarreel/store_era.h"
#include "mesh/histogram.h"
#include "mesh/model.h"
#include "net/conn_pool.h"

/** A state of the keeper's view of the members: its process, and its number of changes. */
struct view_position {
	uint32_t incarnation, changes;
};

/** Content of the keeper's key in the store; see election.h. */
struct keeper_key {
	/** Empty if the key is not known or does not exist. */
	char value[BR_NAME_BYTES + BR_NODE_ID_BYTES];
	uint64_t lease;
	/** Position of the store at which the key had this state. */
	struct br_position position;
};

struct left_holder;
struct left_record;
struct start_check;
struct store;
struct members;
struct quota;
struct target;
struct target_search;

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
	COUNT_RETRIES,
	COUNT_RETRIES_DENIED,
	COUNT_TARGET_JOBS,
	COUNT_TARGET_NOT_RUN,
	COUNT_TARGET_LOST,
	COUNT_RELOADS,
	COUNT_FETCHES_RELAY,
	COUNT_FETCHES_KEEPER,
	COUNT_FETCHES_FAILED,
	COUNT_QUOTA_FALLBACK,
	COUNT_STORE_ERA_CHANGES,
	COUNTERS,
};

/** Durations that are recorded in histograms. */
enum time_kind {
	TIME_ANSWERED,
	TIME_REFUSED,
	TIME_FAILED,
	TIME_ENTRY,
	TIME_QUEUE,
	TIME_TARGET,
	TIME_STORE,
	TIME_KINDS,
};

struct board {
	uv_loop_t *loop;
	const struct mesh_settings *settings;
	struct br_rng rng;
	/** What the store says of its era, see briarreel/store_era.h. */
	enum br_era_mark era_mark;
	/** The keeper is writing it. */
	bool era_mark_pending;
	/** The other nodes have been asked in the store's present era, see mesh/start_check.h. */
	bool others_asked;
	/**
	 * This process knows which versions were in force before the store's present era: since it ran
	 * then, or from a node that did.
	 */
	bool knows_history;
	/** Latest version that another node has told of, and its peer address; 0 for none. */
	uint64_t told_version;
	struct sockaddr_in told_by;
	/** NULL until the first configuration is known. */
	struct mesh_config *config;
	/** Called when another configuration is in force; NULL if nobody needs to know. */
	void (*on_config)(void *ctx);
	void *on_config_ctx;
	/** Latest time at which the store was known to hold no newer configuration. */
	uint64_t confirmed_us;
	/** The configuration's text as the store holds it, and its position there. */
	struct buf config_text;
	struct br_position config_position;
	/**
	 * Called when another node runs a newer version; NULL while there is no config watch. source
	 * is the peer address of a node that has it, or NULL if that is not known.
	 */
	void (*on_newer_version)(void *ctx, uint64_t version, const struct sockaddr_in *source);
	void *on_newer_version_ctx;
	struct store *store;
	struct members *members;
	struct br_balance *balance;
	struct target *target;
	struct target_search *target_search;
	struct left_record *left_record;
	struct left_holder *left_holder;
	struct start_check *start_check;
	struct quota *quota;
	/**
	 * The last call to grant or renew the lease failed. Renewals are the cheapest calls, so
	 * they alone probe a store that does not answer.
	 */
	bool store_unreachable;
	/** The last read or watch of the configuration failed. */
	bool config_watch_failed;
	/**
	 * What the store holds last is no configuration that this node can read. It may have taken keys
	 * away, so that nothing confirms the one in force.
	 */
	bool config_unreadable;
	/** Latest known state of the keeper's key. */
	struct keeper_key keeper_key;
	/** This node is the keeper and its lease was valid at the last check; see election.h. */
	bool is_keeper;
	/**
	 * Until then another node may still act as the keeper although this one is, since it has
	 * not noticed yet that the store has lost its election.
	 */
	uint64_t other_keeper_until_us;
	/** Time until which the keeper's answers replace calls to the store; 0 without a keeper. */
	uint64_t follow_until_us;
	/** Random number other than 0 that tells this process from earlier ones of the node. */
	uint32_t incarnation;
	/**
	 * Store position of the view of the members, and number of times that it was changed, by
	 * the store or by another node's view. The view is known if the revision is not 0.
	 */
	struct br_position view_position;
	uint32_t view_changes;
	/** Latest state of a keeper's view that this node's view has reached. */
	struct view_position keeper_view;
	/** Called when this node has a newer configuration or view; NULL if nobody needs to know. */
	void (*on_progress)(void *ctx);
	void *on_progress_ctx;
	/** SIGTERM was received. */
	bool stopping;
	struct br_stop stop;
	/** Tells how long messages may have waited while the process did not run. */
	struct br_pause pause;
	/** Bytes of requests and answers that this node holds, and their limit. */
	struct http_budget messages;
	uint64_t counters[COUNTERS];
	struct histogram times[TIME_KINDS];
};

/*
 * Part of the process's memory that received messages may take. They are copied when they are
 * forwarded, and their buffers may grow by doubling.
 */
#define BOARD_MESSAGES_DIVISOR 6
/** Part of the process's memory that received and unsent messages may take. */
#define BOARD_PAUSE_DIVISOR 2
/** Part of the memory for received messages which one message may take. */
#define BOARD_MESSAGE_DIVISOR 4
/**
 * Part of the memory for received and unsent messages that answers for other nodes leave free, so
 * that answers for callers are always received. Without it two nodes whose memory is full of
 * answers for each other would both wait for the other one to read.
 */
#define BOARD_CALLERS_DIVISOR 4

/** Limits of jobs and answers from nodes; the total over all connections also binds. */
static inline struct http_limits board_message_limits(struct board *b, uint32_t header_bytes)
{
	return (struct http_limits){.header_bytes = header_bytes,
				    .body_bytes = b->messages.limit_bytes / BOARD_MESSAGE_DIVISOR,
				    .budget = &b->messages,
				    .peer_is_node = true};
}

/** Limits of answers of the target on this VM. */
static inline struct http_limits board_target_limits(struct board *b, uint32_t header_bytes)
{
	struct http_limits limits = board_message_limits(b, header_bytes);
	size_t pause_bytes = b->messages.pause_bytes;

	limits.peer_is_node = false;
	limits.unsent_to_nodes_max_bytes = pause_bytes - pause_bytes / BOARD_CALLERS_DIVISOR;
	return limits;
}

static inline void board_count(struct board *b, enum counter c)
{
	b->counters[c]++;
}

/* Share of the durations so far that the expected one covers, per mille. */
#define BOARD_EXPECTED_PERMILLE 950

/** Time in which most work of a kind has ended since the process started; 0 if there was none. */
static inline uint64_t board_expected_us(const struct board *b, enum time_kind kind)
{
	return histogram_quantile_us(&b->times[kind], BOARD_EXPECTED_PERMILLE);
}

/** True while the keeper reports changes to this node, so that it need not watch the store. */
static inline bool board_follows_keeper(const struct board *b, uint64_t now_us)
{
	return !b->is_keeper && now_us < b->follow_until_us;
}

/** Tells the nodes that fetch from this one that it has a newer configuration or view. */
static inline void board_report_progress(struct board *b)
{
	if (b->on_progress)
		b->on_progress(b->on_progress_ctx);
}

/**
 * Reports the configuration version of another node; notifies the config watch if it is newer.
 * source is the node's peer address or NULL.
 */
static inline void board_report_version(struct board *b, uint64_t version,
					const struct sockaddr_in *source)
{
	if (source && version > b->told_version) {
		b->told_version = version;
		b->told_by = *source;
	}
	if (b->on_newer_version && version > (b->config ? b->config->version : 0))
		b->on_newer_version(b->on_newer_version_ctx, version, source);
}

#endif
