/**
 * @file keeper_link.h
 * Fetches what the keeper has read from the store, the configuration and the view of the members,
 * so that nodes need not read it there. Most nodes fetch from a node of their zone (mesh/relay.h),
 * so that neither the keeper's link nor the bytes between zones grow with the number of nodes.
 */
#ifndef MESH_KEEPER_LINK_H
#define MESH_KEEPER_LINK_H

#include "mesh/board.h"

struct keeper_link;

/**
 * Header field of a fetch: "config VERSION", the version wanted; or "view" with the incarnation and
 * view changes of the answering node that are known already, and the position in the keeper's view
 * that is wanted. Nodes that have not got there yet answer 404.
 */
#define KEEPER_FETCH_FIELD "Br-Fetch"
/**
 * Header field of the answer: incarnation and view changes of the answering node, and the position
 * in the keeper's view that the body reaches.
 */
#define KEEPER_VIEW_FIELD "Br-View"
/** Header field of the answer: store revision and era of the configuration in the body. */
#define KEEPER_REVISION_FIELD "Br-Revision"

/**
 * Header field of each answer to a fetch: revision, lease and value of the keeper's key, if the
 * answering node knows it. A fetch of "keeper" asks for nothing else.
 */
#define KEEPER_KEY_FIELD "Br-Keeper"
/** Header field beside KEEPER_KEY_FIELD: era of that revision. Earlier versions don't send it. */
#define KEEPER_KEY_ERA_FIELD "Br-Keeper-Era"

/** State of the keeper, received with each of its answers. */
struct keeper_state {
	/** Address of the keeper's peer server. */
	struct sockaddr_in addr;
	/** Version of the configuration in force at the keeper. */
	uint64_t version;
	/**
	 * Time since the store was known to the keeper to hold no newer configuration, counted back
	 * from the time of this node's request.
	 */
	uint64_t confirmation_age_ms;
	/** The keeper's lease renewal and its watch of the configuration last succeeded. */
	bool store_reachable;
	/** The keeper's view of the members. */
	struct view_position view;
};

/** Receives what was fetched. Its functions return 0, or a negative error number. */
struct keeper_receiver {
	/** Text of a configuration and its position in the store. */
	int (*config)(void *ctx, const char *text, size_t len, const struct br_position *position);
	/** A view of the members (mesh/view_format.h). */
	int (*view)(void *ctx, const char *bytes, size_t len);
	/** Another node's knowledge of the keeper's key, which may be older than the own; or NULL. */
	void (*keeper)(void *ctx, const struct keeper_key *key);
	void *ctx;
};

/** Creates the link; never returns NULL. board must outlive it. */
struct keeper_link *keeper_link_create(struct board *board);

/** Cancels a fetch; NULL is allowed. */
void keeper_link_destroy(struct keeper_link *l);

/** Sets who receives what is fetched; nothing is fetched before this call. */
void keeper_link_set_receiver(struct keeper_link *l, const struct keeper_receiver *receiver);

/**
 * Processes the state received with an answer of the keeper. Starts a fetch if this node's
 * configuration or view is outdated, and sets the time until which this node follows the keeper
 * instead of watching the store.
 */
void keeper_link_update(struct keeper_link *l, const struct keeper_state *state);

/**
 * Processes a notice of another node that it has a newer configuration or a newer state of the
 * keeper's view. Starts a fetch if this node lacks it.
 */
void keeper_link_notice(struct keeper_link *l, uint64_t version, const struct view_position *view);

/**
 * Fetches a version of the configuration from a node that has it, for a node that reaches neither a
 * keeper nor the store. Does nothing while another fetch is in progress.
 */
void keeper_link_fetch_config(struct keeper_link *l, uint64_t version,
			      const struct sockaddr_in *source);

/**
 * Asks a node for the keeper's key, for a node that reaches neither a keeper nor the store. Does
 * nothing while a fetch is in progress.
 */
void keeper_link_ask_keeper(struct keeper_link *l, const struct sockaddr_in *source);

/** Writes the complete HTTP answer to a fetch; fetch is the value of KEEPER_FETCH_FIELD. */
void keeper_link_answer_fetch(const struct board *board, const char *fetch, struct buf *out);

#endif
