/**
 * @file view_watch.h
 * Keeps the members and the keeper's identity up to date with the store: through the keeper while
 * its answers are fresh, and by watching the store otherwise.
 */
#ifndef MESH_VIEW_WATCH_H
#define MESH_VIEW_WATCH_H

#include "mesh/board.h"

struct election;
struct presence;
struct view_watch;

/** Starts the watch; election and presence must outlive it. */
struct view_watch *view_watch_create(struct board *board, struct election *election,
				     struct presence *presence);
void view_watch_destroy(struct view_watch *w);

/**
 * Applies a view of another node: JSON as written by view_write(). Returns false if it cannot be
 * read.
 */
bool view_watch_apply(struct view_watch *w, const char *bytes, size_t len);

/** Appends as JSON the members that changed since board.view_changes was `since`; 0 for all. */
void view_write(const struct board *board, uint32_t since, struct buf *out);

#endif
