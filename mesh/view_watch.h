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

/** Applies a view of another node (mesh/view_format.h). Returns 0 or -EINVAL. */
int view_watch_apply(struct view_watch *w, const char *bytes, size_t len);

#endif
