/**
 * @file request.h
 * Handles one request of a caller: authenticates its key, finds its route, takes a rate token,
 * chooses targets, retries, and returns the answer.
 */
#ifndef MESH_REQUEST_H
#define MESH_REQUEST_H

#include "mesh/board.h"

struct request;

/** Answer to a request: status, header fields including Content-Length, and body. */
struct request_answer {
	uint16_t status;
	struct buf fields;
	struct buf body;
};

/** Receives the answer of a request; both pointers are valid during the callback only. */
typedef void (*request_done_cb)(void *ctx, struct request *r, struct request_answer *answer);

/**
 * Starts a request. Takes ownership of msg and stores the request in *slot. Unless the request is
 * cancelled, done is called exactly once, possibly before this function returns, and the request
 * is freed after that call; *slot is not cleared.
 */
void request_start(struct board *board, struct http_msg *msg, request_done_cb done, void *ctx,
		   struct request **slot);

/** Like request_start(), but refuses the request as not run; why is for the log. */
void request_refuse(struct board *board, struct http_msg *msg, request_done_cb done, void *ctx,
		    struct request **slot, const char *why);

/** Cancels and frees a request whose caller has disconnected; done is not called. */
void request_cancel(struct request *r);

/** Number of requests of callers that have not ended. */
uint32_t request_active_count(void);

#endif
