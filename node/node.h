/**
 * @file node.h
 * The parts of a node daemon, created by main and passed to the others.
 */
#ifndef NODE_NODE_H
#define NODE_NODE_H

#include "briarreel/types.h"

#include <stdatomic.h>
#include <stdint.h>

struct blackboard;
struct claims;
struct conn_watch;
struct control;
struct dispatch;
struct forward;
struct http_pool;
struct node_settings;
struct rates;

struct node {
	const struct node_settings *settings;
	struct br_node_id id;
	/** Start time in wall-clock milliseconds; tells this process from former ones. */
	uint64_t instance;
	struct blackboard *board;
	/** Connections to the peer ports of other nodes. */
	struct http_pool *peers;
	/** Connections to the target. */
	struct http_pool *target;
	struct conn_watch *watch;
	struct dispatch *dispatch;
	struct forward *forward;
	struct claims *claims;
	struct rates *rates;
	struct control *control;
	/** Requests of callers that are being served; a planned stop waits for 0. */
	atomic_uint serving;
	atomic_bool stopping;
};

#endif
