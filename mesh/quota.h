/**
 * @file quota.h
 * The accounts' rates over all nodes: asks the keeper for tokens, or is the keeper.
 */
#ifndef MESH_QUOTA_H
#define MESH_QUOTA_H

#include "mesh/board.h"

#include <sys/queue.h>

struct keeper_link;

/** A request that waits for a token; embedded by its owner. */
struct quota_wait {
	void (*done)(struct quota_wait *w, bool granted);
	/** Private. */
	TAILQ_ENTRY(quota_wait) link;
	uint64_t account_hash;
	double rate_per_s;
	uint64_t asked_us, since_us;
	bool waiting;
};

enum quota_result {
	QUOTA_GRANTED,
	QUOTA_DENIED,
	/** done will be called. */
	QUOTA_WAITS,
};

struct quota *quota_create(struct board *board, struct keeper_link *link);
void quota_destroy(struct quota *q);

/** Takes a token of an account with a rate. */
enum quota_result quota_take(struct quota *q, const struct mesh_account *a, struct quota_wait *w);

/** Ends a wait without a callback. */
void quota_cancel(struct quota *q, struct quota_wait *w);

/**
 * Names the keeper: its node name ("" if there is none) and peer address. If it is this node, it
 * may grant until grant_until_us, which is extended by calling this again.
 */
void quota_set_keeper(struct quota *q, const char *node, const struct sockaddr_in *addr,
		      uint64_t grant_until_us);

#endif
