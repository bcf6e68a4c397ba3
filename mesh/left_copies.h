/**
 * @file left_copies.h
 * Gives other nodes copies of the list of targets that have left this VM (mesh/left_holder.h). A leaving
 * that they hold outlives this process also while the store is away.
 */
#ifndef MESH_LEFT_COPIES_H
#define MESH_LEFT_COPIES_H

#include "mesh/board.h"

struct left_copies;

/** held(ctx) is called when enough other nodes have got the present list. */
struct left_copies *left_copies_create(struct board *board, void (*held)(void *ctx), void *ctx);

/** Cancels all calls; NULL is allowed. */
void left_copies_destroy(struct left_copies *c);

/** Sends the list to other nodes if they lack it; call when it has changed. */
void left_copies_send(struct left_copies *c);

/**
 * Number of other nodes that hold the present list, and the number that is enough: two, so that a node may
 * end beside this one, or one where there are no more.
 */
uint32_t left_copies_count(const struct left_copies *c);
uint32_t left_copies_enough(const struct left_copies *c);

#endif
