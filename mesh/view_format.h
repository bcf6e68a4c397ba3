/**
 * @file view_format.h
 * Encodes and decodes the view of the members that nodes fetch from each other, as JSON.
 */
#ifndef MESH_VIEW_FORMAT_H
#define MESH_VIEW_FORMAT_H

#include "mesh/members.h"

/** Appends the members that changed since board.view_changes was `since`; 0 for all. */
void view_write(const struct board *board, uint32_t since, struct buf *out);

/**
 * Applies a view to the members and sets its store position. Returns 0, or -EINVAL and changes
 * nothing if it is not a view; single entries that cannot be used are skipped.
 */
int view_read(struct members *ms, const char *bytes, size_t len, struct br_position *position);

#endif
