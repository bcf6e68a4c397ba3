/**
 * @file keeper_link.h
 * What a node learns from the keeper instead of the store: the configuration and the members.
 */
#ifndef MESH_KEEPER_LINK_H
#define MESH_KEEPER_LINK_H

#include "mesh/board.h"

struct config_watch;
struct view_watch;
struct keeper_link;

/** Field of a request to another node that names what is wanted. */
#define KEEPER_FETCH_FIELD "Br-Fetch"
/** Field of an answer: the store's revision of the configuration that is the body. */
#define KEEPER_REVISION_FIELD "Br-Revision"

/** What the keeper says with each answer about the state that it has. */
struct keeper_news {
	struct sockaddr_in addr;
	uint64_t version;
	/** Time since the keeper knew of no newer configuration, from when it was asked. */
	uint64_t confirmed_ms;
	/** The keeper knows of no trouble on its way to the store. */
	bool in_touch;
	/** Incarnation of the keeper, and its count of changes of the view. */
	uint32_t incarnation, view_changes;
};

struct keeper_link *keeper_link_create(struct board *board);
void keeper_link_destroy(struct keeper_link *l);

/** Names who takes what is fetched; before this nothing is fetched. */
void keeper_link_connect(struct keeper_link *l, struct config_watch *config,
			 struct view_watch *view);

/** Takes an answer of the keeper: follows it, and fetches what this node lacks. */
void keeper_link_news(struct keeper_link *l, const struct keeper_news *news);

/** Number that tells this incarnation of the node from its former ones. */
uint32_t keeper_link_incarnation(const struct keeper_link *l);

/** Writes the whole answer to a request of another node for what its fetch field names. */
void keeper_link_serve(struct board *board, const char *fetch, struct buf *out);

#endif
