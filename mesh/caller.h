/**
 * @file caller.h
 * HTTP server for the callers on this VM. Pipelined requests of a connection are processed
 * concurrently; their answers are sent in the order of the requests.
 */
#ifndef MESH_CALLER_H
#define MESH_CALLER_H

#include "mesh/board.h"

struct caller_server;

/** Listens on the callers' address of the settings. Returns NULL if that fails. */
struct caller_server *caller_server_create(struct board *board);

/** Closes all connections and cancels their requests, does not free s; NULL is allowed. */
void caller_server_destroy(struct caller_server *s);

/**
 * Closes connections without pending requests that have received nothing for longer than the header
 * timeout (within a message), or neither received nor sent anything for longer than the idle
 * timeout; call about twice a second.
 */
void caller_server_sweep(struct caller_server *s);

/** True if no connection has an unanswered or partly received request. */
bool caller_server_idle(const struct caller_server *s);

#endif
