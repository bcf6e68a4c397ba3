/**
 * @file relay.h
 * Which nodes fetch from which what the keeper has read from the store: the first node of each zone
 * from the keeper, the others from a node of their zone (see briarreel/relay.h).
 */
#ifndef MESH_RELAY_H
#define MESH_RELAY_H

#include "mesh/members.h"

/** The node from which this node fetches, or NULL for the keeper itself. */
const struct member *relay_parent(const struct board *board, const struct sockaddr_in *keeper);

/** Calls fn for each node that fetches from this node; this node may be the keeper. */
void relay_children(const struct board *board, const struct sockaddr_in *keeper,
		    void (*fn)(void *ctx, const struct member *m), void *ctx);

#endif
