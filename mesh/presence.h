/**
 * @file presence.h
 * This node's lease and entry in the store, the view of the other nodes, and the election of the
 * keeper of the accounts' rates.
 */
#ifndef MESH_PRESENCE_H
#define MESH_PRESENCE_H

#include "mesh/board.h"

struct presence;

struct presence *presence_create(struct board *board);
void presence_destroy(struct presence *p);

/** The entry has changed and is to be written. */
void presence_changed(struct presence *p);

/** Ends the lease, so that the others need not wait until it lapses. */
void presence_leave(struct presence *p, void (*done)(void *ctx), void *ctx);

#endif
