/**
 * @file election.h
 * Elects the keeper: the one node that grants the accounts' rates and relays the store's contents
 * to the other nodes. Its key in the store expires with its lease.
 */
#ifndef MESH_ELECTION_H
#define MESH_ELECTION_H

#include "mesh/board.h"

/** Key of the keeper; the value is its node name and peer address. */
#define ELECTION_KEY "mesh/keeper"

struct election;

/** Creates the election, which starts when the keeper's key was found to be absent. */
struct election *election_create(struct board *board);
void election_destroy(struct election *e);

/**
 * Sets the keeper from the value of ELECTION_KEY (NULL if the key does not exist), the key's lease,
 * and its position. Positions before the last one are ignored. A key of this node with another
 * lease is from an earlier process on the same address, which has ended; this node then renews the
 * key under its own lease.
 */
void election_set_keeper(struct election *e, const char *value, uint64_t lease,
			 const struct br_position *position);

/**
 * Starts a stale read of ELECTION_KEY, at most once per 400 ms; its result sets the keeper. Call
 * while no keeper is followed.
 */
void election_find_keeper(struct election *e);

/** Sets this node's lease and the time until which it is valid; 0 for both if it has ended. */
void election_set_lease(struct election *e, uint64_t lease, uint64_t until_us);

#endif
