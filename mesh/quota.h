/**
 * @file quota.h
 * Enforces the accounts' rate limits over all nodes. One node, the keeper, grants tokens; the other
 * nodes request tokens from it by UDP.
 */
#ifndef MESH_QUOTA_H
#define MESH_QUOTA_H

#include "briarreel/quota.h"
#include "mesh/board.h"

#include <sys/queue.h>

struct keeper_link;

/** A request that waits for a token; embedded by its owner. */
struct quota_wait {
	/** Set by the owner; called at most once, when the wait ends. */
	void (*done)(struct quota_wait *w, bool granted);
	/** Set by the owner: how long it may wait for a keeper that does not answer. */
	uint64_t until_us;
	/** Private. */
	TAILQ_ENTRY(quota_wait) link;
	uint64_t account_hash;
	struct br_quota_limit limit;
	/** Time of the latest request for this token (0 for none), and start of the wait. */
	uint64_t requested_us, started_us;
	bool waiting;
};

enum quota_result {
	QUOTA_GRANTED,
	QUOTA_DENIED,
	/** The request waits for the keeper's answer; done will be called. */
	QUOTA_PENDING,
};

/** Opens the UDP socket; a failure is logged. link must outlive the result. */
struct quota *quota_create(struct board *board, struct keeper_link *link);

/** Closes the socket without ending waits and does not free q; NULL is allowed. */
void quota_destroy(struct quota *q);

/** Takes a token of an account; an account without a rate limit is always granted. */
enum quota_result quota_take(struct quota *q, const struct mesh_account *a, struct quota_wait *w);

/** Ends a wait without calling done; does nothing if w is not waiting. */
void quota_cancel(struct quota *q, struct quota_wait *w);

/**
 * Sets the keeper: its node name ("" if there is none) and peer address (NULL: unchanged). If the
 * keeper is this node, lease_until_us is the time until which nobody else can be elected; 0 if that
 * is not known. Without it, the keeper grants only the parts of the nodes that still ask it.
 */
void quota_set_keeper(struct quota *q, const char *node, const struct sockaddr_in *addr,
		      uint64_t lease_until_us);

#endif
