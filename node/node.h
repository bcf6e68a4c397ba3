/**
 * @file node.h
 * Shared state of a node daemon: its modules, connection pools and identity. Created by main.
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
	/** Wall-clock start time in milliseconds; distinguishes this process from earlier ones. */
	uint64_t incarnation;
	struct blackboard *board;
	/** Connection pool for the peer ports of other nodes. */
	struct http_pool *peer_pool;
	/** Connection pool for the target of this VM. */
	struct http_pool *target_pool;
	struct conn_watch *watch;
	struct dispatch *dispatch;
	struct forward *forward;
	struct claims *claims;
	struct rates *rates;
	struct control *control;
	/** Number of caller requests in progress; a planned stop waits until it is 0. */
	atomic_uint active_requests;
	atomic_bool stopping;
};

#endif
