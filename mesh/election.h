/**
 * @file election.h
 * Elects the keeper: the one node that grants the accounts' rates and tells the others what the
 * store holds. Its key in the store lives as long as its lease.
 */
#ifndef MESH_ELECTION_H
#define MESH_ELECTION_H

#include "mesh/board.h"

/** Key of the keeper; the value is its node name and peer address. */
#define ELECTION_KEY "mesh/keeper"

struct election;

struct election *election_create(struct board *board);
void election_destroy(struct election *e);

/** The store names a keeper, or none (NULL), as of one of its revisions. */
void election_set(struct election *e, const char *value, uint64_t revision);

/** Looks for the keeper with cheap reads, some time apart; to be called while none is followed. */
void election_seek(struct election *e);

/** The node's lease was granted or renewed until a time, or has ended. */
void election_lease(struct election *e, uint64_t lease, uint64_t until_us);

#endif
