/**
 * @file era_mark.h
 * An item of the store that names its era, written by the keeper. A process that starts tells from it whether
 * the store has come back from an older copy lately.
 */
#ifndef MESH_ERA_MARK_H
#define MESH_ERA_MARK_H

#include "mesh/board.h"
#include "platform/store.h"

#define ERA_MARK_KEY "mesh/era"

/** Takes note of the item as it was read in an era, or of its deletion. */
void era_mark_read(struct board *board, const struct store_item *item, uint64_t era);

/**
 * Call when all items have been read: in a store that has come back from a copy lately, the keeper of before may
 * go on for the rest of its lease, see board.other_keeper_until_us.
 */
void era_mark_all_read(struct board *board);

/** Writes the item if this node is the keeper and the era lasts; call about twice a second. */
void era_mark_check(struct board *board);

/** What this process knows of the store, to judge what it has read there. */
struct br_store_trust era_mark_trust(const struct board *board, uint64_t version);

#endif
