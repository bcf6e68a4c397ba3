/**
 * @file peer.h
 * Runs jobs at targets of other nodes, and accepts the jobs that other nodes send.
 */
#ifndef MESH_PEER_H
#define MESH_PEER_H

#include "mesh/board.h"
#include "mesh/job.h"
#include "mesh/members.h"

/** Runs a job at a member's target: directly if the member is this node, else through its node. */
void peer_run(struct board *board, struct member *m, struct job *job);

/** HTTP server for the jobs and fetches of other nodes. */
struct peer_server;

/** Listens on the peer address of the settings. Returns NULL if that fails. */
struct peer_server *peer_server_create(struct board *board);

/** Closes all connections and cancels their jobs, does not free s; NULL is allowed. */
void peer_server_destroy(struct peer_server *s);

/** Number of jobs of other nodes that have not ended. */
uint32_t peer_server_active_jobs(const struct peer_server *s);

/** Closes connections that have been idle for 15 s; call about twice a second. */
void peer_server_sweep(struct peer_server *s);

#endif
