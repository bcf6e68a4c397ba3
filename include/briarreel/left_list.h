/**
 * @file left_list.h
 * The targets of a VM that have announced that they leave. A process hands the list on to the next one
 * of its node, to which neither a late report nor a health answer may prove the opposite.
 */
#ifndef BRIARREEL_LEFT_LIST_H
#define BRIARREEL_LEFT_LIST_H

#include "briarreel/types.h"

/** Number of targets that are remembered; the earliest is forgotten first. */
#define BR_LEFT_MAX 8

struct br_left {
	char id[BR_NAME_BYTES];
	/** Incarnations that started at this Unix time in milliseconds, or before, have left. */
	uint64_t started_until_ms;
};

/** All zero while no target has left. The latest is last. */
struct br_left_list {
	struct br_left entries[BR_LEFT_MAX];
	uint32_t n;
	/** Increases with each change. */
	uint32_t changes;
};

/** Adds a target, or moves it to the end; its time never goes back. */
void br_left_add(struct br_left_list *l, const char *id, uint64_t started_until_ms);

/** Adds the targets of another list before those of l, which are later ones. */
void br_left_merge_earlier(struct br_left_list *l, const struct br_left_list *earlier);

/** Adds what l lacks of another list, but nothing that is earlier than all of a full one. Returns false if l is as before. */
bool br_left_add_missing(struct br_left_list *l, const struct br_left_list *other);

/** Tests whether the incarnation has left that started at start_ms; false if that is 0, unknown. */
bool br_left_contains(const struct br_left_list *l, const char *id, uint64_t start_ms);

/** Tests whether some incarnation with this id has left. */
bool br_left_names(const struct br_left_list *l, const char *id);

#endif
