/**
 * @file forward.h
 * Forwarding of calls by the entry node: target selection, attempts, retries, and the learned load
 * of other nodes.
 */
#ifndef NODE_FORWARD_H
#define NODE_FORWARD_H

#include "node/call.h"

struct forward;
struct node;

/** Returns NULL if out of memory. */
struct forward *forward_create(struct node *node);
void forward_destroy(struct forward *f);

/**
 * Sends a call to a target of its service and retries as far as the retry allowance, the outcome
 * and the deadline permit. Sets ans->retries_left to the unused retries. Blocks until the outcome
 * is known or the deadline has passed. The caller frees ans with call_answer_free().
 */
void forward_call(struct forward *f, struct call *c, struct call_answer *ans);

/** Marks a call as cancelled and sends a cancellation to the node that runs its current attempt. */
void forward_cancel(struct forward *f, struct call *c);

/**
 * True if a call should be refused at once, because by the learned thresholds its service or one
 * downstream of it would shed it.
 */
bool forward_should_refuse_early(struct forward *f, const struct call *c);

/** Records that a request of this route led to a downstream call to a service. */
void forward_record_downstream(struct forward *f, const char *route, const char *service);

/** Lowest admission threshold of the services recorded downstream of a route. */
uint32_t forward_route_threshold(struct forward *f, const char *route, uint64_t now_us);

/** Adds the mesh token header, which nodes require in requests of other nodes. */
void forward_add_mesh_token(struct forward *f, struct http_request *req);

#endif
