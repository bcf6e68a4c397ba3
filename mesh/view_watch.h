/**
 * @file view_watch.h
 * Keeps the members and the keeper in step with the store's entries: through the keeper while its
 * answers are fresh, and by watching the store otherwise.
 */
#ifndef MESH_VIEW_WATCH_H
#define MESH_VIEW_WATCH_H

#include "mesh/board.h"

struct election;
struct presence;
struct view_watch;

struct view_watch *view_watch_create(struct board *board, struct election *election,
				     struct presence *presence);
void view_watch_destroy(struct view_watch *w);

/** Takes the view that the keeper has sent: JSON as written by view_write(). */
void view_take(struct view_watch *w, const char *bytes, size_t len);

/** Writes what has changed in this node's view since a count of its changes; 0 for all. */
void view_write(const struct board *board, uint32_t since, struct buf *out);

#endif
