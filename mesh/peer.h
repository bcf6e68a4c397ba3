/**
 * @file peer.h
 * Jobs for targets behind other nodes: the sending and the receiving end.
 */
#ifndef MESH_PEER_H
#define MESH_PEER_H

#include "mesh/board.h"
#include "mesh/job.h"
#include "mesh/members.h"

/** Runs a job at a member's target: through its node, or here if the member is this node. */
void peer_run(struct board *board, struct member *m, struct job *job);

/** Accepts the jobs of other nodes. */
struct peer_server;

struct peer_server *peer_server_create(struct board *board);
void peer_server_destroy(struct peer_server *s);

/** Jobs of other nodes that have not ended. */
uint32_t peer_server_active(const struct peer_server *s);

/** Closes connections that nobody has used for long; call about once a second. */
void peer_server_sweep(struct peer_server *s);

#endif
