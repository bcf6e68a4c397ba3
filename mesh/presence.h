/**
 * @file presence.h
 * This node's lease in the store and the entry that lives as long as the lease.
 */
#ifndef MESH_PRESENCE_H
#define MESH_PRESENCE_H

#include "mesh/board.h"

struct presence;

/** renewed is called whenever the lease was granted or renewed, or has ended (0, 0). */
struct presence *presence_create(struct board *board,
				 void (*renewed)(void *ctx, uint64_t lease, uint64_t until_us),
				 void *ctx);
void presence_destroy(struct presence *p);

/** The entry has changed, or is gone from the store: writes it. */
void presence_write(struct presence *p);

/** Ends the lease, so that the others need not wait until it lapses. */
void presence_leave(struct presence *p, void (*done)(void *ctx), void *ctx);

#endif
