/**
 * @file claims.h
 * Request id claims: the client that claims ids at the holder of their slot, and the registrar for
 * the slots that this node holds.
 */
#ifndef NODE_CLAIMS_H
#define NODE_CLAIMS_H

#include "briarreel/registrar.h"
#include "node/call.h"

struct br_slots;
struct claims;
struct mg_connection;
struct node;

/** Returns NULL on failure. */
struct claims *claims_create(struct node *node);
void claims_destroy(struct claims *cl);

/**
 * Claims the call's request id for the attempt at location. If from is not NULL, moves the claim
 * from that attempt, which must be proven not run. Returns 0 and sets reply, or returns a negative
 * error number if the registrar gave no valid reply. After an error the claim is released, because
 * the registrar may have granted it, unless it was sent as a first attempt.
 *
 * A declared first attempt is initially claimed like any other call. Only if the registrar took the
 * slot over without its claims (BR_CLAIM_NO_HISTORY), the id is claimed again as a first attempt;
 * the result is BR_CLAIM_RELEASED if the request is too old by the time of the reply.
 */
int claims_claim(struct claims *cl, struct call *c, const struct br_attempt_id *from,
		 const struct br_claim_location *location, struct br_claim_reply *reply);

/** Releases the claim of an attempt that was proven not run. Errors are ignored. */
void claims_release(struct claims *cl, const struct call *c, const struct br_attempt_id *attempt);

/** Handles a registrar message that another node sent to the peer port. */
void claims_handle_message(struct claims *cl, struct mg_connection *conn);

/** Serves the claims of a released slot to its new holder over the peer port. */
void claims_handle_fetch(struct claims *cl, struct mg_connection *conn);

/**
 * Takes over slots that this node now holds and closes those that it lost. Called by the control
 * thread when the slot map changes. autonomy_us is the time to live of the platform lease. Once
 * this returns, no claim of a lost slot is accepted.
 */
void claims_update_slots(struct claims *cl, const struct br_slots *slots, uint64_t autonomy_us,
			 uint64_t now_us);

/** True if new holders have fetched the claims of all slots that this node released. */
bool claims_handed_over(struct claims *cl);

/** Expires old claims; called by the control thread about once a second. */
void claims_tick(struct claims *cl, uint64_t now_us);

#endif
