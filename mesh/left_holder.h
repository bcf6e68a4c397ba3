/**
 * @file left_holder.h
 * Holds for other nodes which of their targets have left, and hands it back to the next process of such a
 * node, whether or not that process can reach the store or knows any other node.
 */
#ifndef MESH_LEFT_HOLDER_H
#define MESH_LEFT_HOLDER_H

#include "mesh/board.h"
#include "mesh/left_format.h"
#include "net/http_msg.h"

/**
 * Header field of a request with a node's name, its peer address and its targets that have left. A node
 * that is named itself gets its own list back, and answers whether the store has it.
 */
#define LEFT_FIELD "Br-Left"

struct left_holder;

/** Interval at which a list is offered to its node until the store has it. */
#define LEFT_RETURN_INTERVAL_MS 200

struct left_holder *left_holder_create(struct board *board);

/** Cancels all calls; NULL is allowed. */
void left_holder_destroy(struct left_holder *h);

/** Processes a request with LEFT_FIELD and writes the whole answer. */
void left_holder_answer(struct left_holder *h, const struct http_msg *m, struct buf *out);

/** Number of other nodes for which this one holds a list. */
uint32_t left_holder_count(const struct left_holder *h);

/** What this node holds for another one, or NULL. */
const struct br_left_list *left_holder_find(const struct left_holder *h, const char *node);

#endif
