/**
 * @file presence.h
 * Maintains this node's lease in the store, and the node's entry, which expires with the lease.
 */
#ifndef MESH_PRESENCE_H
#define MESH_PRESENCE_H

#include "mesh/board.h"

struct presence;

/** Lifetime of a node's lease. */
#define PRESENCE_LEASE_MS 3000

/**
 * on_lease is called when the lease was granted or renewed, and with (0, 0) while there is none:
 * first during this call, then before each new grant.
 */
struct presence *presence_create(struct board *board,
				 void (*on_lease)(void *ctx, uint64_t lease, uint64_t until_us),
				 void *ctx);
void presence_destroy(struct presence *p);

/**
 * Writes the node's entry to the store; call when it has changed or was removed there. Without a
 * lease nothing is written until one is granted. Failed writes are repeated.
 */
void presence_write(struct presence *p);

/**
 * Gets a new lease and writes the entry under it, since the store has lost what was written lately:
 * it may have given the id of the old lease to another node, and the entry may be an older one. The
 * keeper goes first; the others are spread over a time that grows with their number, for the
 * store's limit on writes.
 */
void presence_start_again(struct presence *p);

/**
 * Ends the lease, so that other nodes need not wait for it to expire, and then calls done, also if
 * the call to the store fails.
 */
void presence_leave(struct presence *p, void (*done)(void *ctx), void *ctx);

#endif
