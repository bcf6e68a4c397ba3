/**
 * @file request.h
 * A caller's request on its way: key, route, rate, choice of a target, tries, answer.
 */
#ifndef MESH_REQUEST_H
#define MESH_REQUEST_H

#include "mesh/board.h"

struct request;

/** The answer to a request: status, fields with the length, and body. */
struct request_answer {
	uint16_t status;
	struct buf fields;
	struct buf body;
};

typedef void (*request_done_cb)(void *ctx, struct request *r, struct request_answer *answer);

/**
 * Starts a request; takes the message over and stores the request in *slot. done is called once,
 * possibly before this returns, unless the request is cancelled; the request is gone after it.
 */
void request_start(struct board *board, struct http_msg *msg, request_done_cb done, void *ctx,
		   struct request **slot);

/** The caller has left: ends the request without an answer. */
void request_cancel(struct request *r);

/** Requests under way. */
uint32_t request_active(void);

#endif
