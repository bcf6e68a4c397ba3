/**
 * @file neighbours.h
 * The other nodes in an order of this node's own, which does not change with the process: what some of
 * them were told is asked from the same ones after a restart.
 */
#ifndef MESH_NEIGHBOURS_H
#define MESH_NEIGHBOURS_H

#include "mesh/members.h"

/**
 * Writes up to max other nodes, those with an entry in the store first, and returns their number. The
 * pointers are valid until the next change of the members.
 */
size_t neighbours_list(const struct board *board, struct member **out, size_t max);

/** Number of other nodes. */
size_t neighbours_count(const struct board *board);

#endif
