/**
 * @file caller.h
 * Connections of callers: requests are handled side by side, answers go back in order.
 */
#ifndef MESH_CALLER_H
#define MESH_CALLER_H

#include "mesh/board.h"

struct caller_server;

struct caller_server *caller_server_create(struct board *board);
void caller_server_destroy(struct caller_server *s);

/** Closes connections whose time for a header or for idling is over; call a few times a second. */
void caller_server_sweep(struct caller_server *s);

/** True if no connection has a request under way or bytes to be sent. */
bool caller_server_quiet(const struct caller_server *s);

#endif
