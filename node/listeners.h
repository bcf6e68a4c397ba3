/**
 * @file listeners.h
 * The four HTTP listeners of a node, one module each: caller.c, peer.c, local.c and admin.c.
 */
#ifndef NODE_LISTENERS_H
#define NODE_LISTENERS_H

struct mg_connection;

/** Callers: authenticates, limits and forwards requests. user_data is the struct node. */
void caller_handle(struct mg_connection *conn, void *user_data);

/** Other nodes: attempts for this node's target, cancellation, registrar messages. */
void peer_handle(struct mg_connection *conn, void *user_data);

/** The target of this VM: announcements, draining and child calls. */
void local_handle(struct mg_connection *conn, void *user_data);

/** Operators: counters and health. */
void admin_handle(struct mg_connection *conn, void *user_data);

#endif
