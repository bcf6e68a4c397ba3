/**
 * @file listeners.h
 * Request handlers of the four HTTP listeners of a node, one module each: caller.c, peer.c, local.c
 * and admin.c. user_data is the struct node.
 */
#ifndef NODE_LISTENERS_H
#define NODE_LISTENERS_H

struct mg_connection;

/** Caller port: authenticates, rate-limits and forwards requests. */
void caller_handle(struct mg_connection *conn, void *user_data);

/**
 * Peer port: attempts for this node's target, queries of their state and cancellations, registrar
 * messages and fetches of claims.
 */
void peer_handle(struct mg_connection *conn, void *user_data);

/** Local port: announcements, draining and child calls of the target of this VM. */
void local_handle(struct mg_connection *conn, void *user_data);

/** Admin port: counters and health checks for operators. */
void admin_handle(struct mg_connection *conn, void *user_data);

#endif
