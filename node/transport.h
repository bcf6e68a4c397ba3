/**
 * @file transport.h
 * Control messages over nng REQ/REP. No function waits for the network: received requests and the
 * answers to own requests are put into the queue of the control thread.
 */
#ifndef NODE_TRANSPORT_H
#define NODE_TRANSPORT_H

#include <stddef.h>
#include <stdint.h>

struct br_error;
struct transport;

enum transport_event_type {
	/** A peer's request; answer it with transport_reply(). */
	TRANSPORT_REQUEST,
	/** The answer to a request that this node sent. */
	TRANSPORT_ANSWER,
	/** A request that this node sent failed or timed out. */
	TRANSPORT_FAILED,
};

/** An event for the control thread; release with transport_event_free(). */
struct transport_event {
	enum transport_event_type type;
	/** TRANSPORT_REQUEST: to pass to transport_reply(). Else the token of transport_send(). */
	uint64_t token;
	void *body;
	size_t body_len;
	struct transport_event *next;
};

/**
 * Called on an nng thread with a new event and takes ownership of it. It must do no more than put
 * the event into a queue.
 */
typedef void (*transport_deliver)(void *user_data, struct transport_event *ev);

/** Listens on address ("ip:port"); NULL with err filled if that fails. */
struct transport *transport_create(const char *address, transport_deliver deliver, void *user_data,
				   struct br_error *err);
void transport_destroy(struct transport *t);

/**
 * Sends a copy of body as a request to the control address of a peer. One event with the same
 * token follows within timeout_ms. After a failure the connection is closed, so that an
 * unresponsive connection is not reused. Control thread only. Returns 0 or a negative error number,
 * in which case no event follows.
 */
int transport_send(struct transport *t, const char *peer, const void *body, size_t len,
		   uint32_t timeout_ms, uint64_t token);

/** Answers a TRANSPORT_REQUEST with a copy of body. Control thread only. */
void transport_reply(struct transport *t, uint64_t token, const void *body, size_t len);

/** Closes connections to peers that have failed or were idle for 30 s. Control thread only. */
void transport_tick(struct transport *t, uint64_t now_us);

void transport_event_free(struct transport_event *ev);

#endif
