/**
 * @file service.h
 * The node's own interfaces: readiness, the reports of its target, and metrics.
 */
#ifndef MESH_SERVICE_H
#define MESH_SERVICE_H

#include "mesh/board.h"

struct service_server;

struct service_server *service_server_create(struct board *board);
void service_server_destroy(struct service_server *s);

#endif
