/**
 * @file service.h
 * HTTP server for the node's own interfaces: readiness, reports of the target, and metrics.
 */
#ifndef MESH_SERVICE_H
#define MESH_SERVICE_H

#include "mesh/board.h"

struct service_server;

/**
 * Listens on the readiness, report and metrics addresses, each of which serves all paths. Returns
 * NULL if one of them fails.
 */
struct service_server *service_server_create(struct board *board);

/** Closes the listeners and all connections, does not free s; NULL is allowed. */
void service_server_destroy(struct service_server *s);

#endif
