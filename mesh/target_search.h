/**
 * @file target_search.h
 * Asks the target of this VM who it is after a restart of the node alone: the target's own report
 * may be more than a second away, and nobody else can run its requests.
 */
#ifndef MESH_TARGET_SEARCH_H
#define MESH_TARGET_SEARCH_H

#include "mesh/board.h"

struct target_search;

struct target_search *target_search_create(struct board *board);
void target_search_destroy(struct target_search *s);

#endif
