/**
 * @file target_search.h
 * Asks the target of this VM by health requests who it is and whether it is ready. After a restart
 * of the node alone the target's next report may be more than a second away, and an earlier one that
 * arrives late says nothing about a leaving that the former process was told of.
 */
#ifndef MESH_TARGET_SEARCH_H
#define MESH_TARGET_SEARCH_H

#include "mesh/board.h"

struct target_search;

/** Creates a search that does nothing until it is started; never returns NULL. */
struct target_search *target_search_create(struct board *board);

/**
 * Starts the search, or extends it if it runs. It ends when the target is known and no report waits
 * for a confirmation, or after 1.5 s. It begins once the targets that have left are known.
 */
void target_search_start(struct target_search *s);

/** Ends the search and frees it; NULL is allowed. */
void target_search_destroy(struct target_search *s);

#endif
