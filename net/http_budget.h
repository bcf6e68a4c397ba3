/**
 * @file http_budget.h
 * Memory that the messages of several connections share, and which answer may be received next.
 *
 * A received answer must not be lost for want of memory, since its server has done the work. An
 * answer is therefore received only as far as there is room; beyond that it waits at its server.
 * Answers that wait are received in their order. One of them at a time may use room that is kept
 * for this, so that answers of unknown length, each received in part, do not wait for each other
 * for good.
 */
#ifndef NET_HTTP_BUDGET_H
#define NET_HTTP_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/queue.h>
#include <uv.h>

struct http_conn;
struct http_receiver;

/** Part of the limit that requests may take; further ones are refused. */
#define HTTP_BUDGET_REQUESTS_DIVISOR 3
/** Part of the limit that is kept for one answer at a time; longer answers may never fit. */
#define HTTP_BUDGET_KEPT_DIVISOR 3
/** Less room is not used, since each read has its cost. */
#define HTTP_BUDGET_READ_MIN_BYTES 4096

/** Bytes that the connections which share it hold. */
struct http_budget {
	/** Bytes of received messages, with what is reserved for their rest, and their limit. */
	size_t held_bytes, limit_bytes;
	/** Those of requests. */
	size_t request_bytes;
	/** Bytes that wait to be sent, also on connections that their owners have finished. */
	size_t unsent_bytes;
	/** Those of them that wait for other nodes. */
	size_t unsent_to_nodes_bytes;
	/** Limit of received and unsent bytes, beyond which no answer is received; 0 for none. */
	size_t pause_bytes;
	/** Client connections that are not read until there is room, in the order of their turn. */
	TAILQ_HEAD(, http_conn) waiting;
	/** The receiver that uses the kept room, or NULL. */
	const struct http_receiver *kept_for;
	/** Looks for room before each poll while connections wait; NULL until the first one did. */
	uv_prepare_t *before_poll;
};

/** Bytes of one message that count towards a budget. */
struct http_charge {
	/** NULL if nothing is counted. */
	struct http_budget *budget;
	bool is_request;
	/** Bytes that have arrived, and bytes that are counted: these and the reserved ones. */
	size_t used_bytes, counted_bytes;
};

/** Tests whether no answer can be received, since peers do not read what waits for them. */
bool http_budget_is_short(const struct http_budget *b);

/** Number of bytes that answers may take beside those that are held, but for the kept room. */
size_t http_budget_free_bytes(const struct http_budget *b);

/** Tests whether a request may take so many further bytes. */
bool http_budget_takes_request(const struct http_budget *b, size_t bytes);

/** Tests whether so many bytes of an answer may be reserved, without the kept room. */
bool http_budget_can_reserve(const struct http_budget *b, size_t bytes);

/** Tests whether so many bytes of an answer may be reserved in the kept room. */
bool http_budget_can_keep(const struct http_budget *b, size_t bytes);

/** Counts bytes that have arrived; reserved ones are used first. */
void http_charge_add(struct http_charge *c, size_t bytes);

/** Number of reserved bytes that have not arrived. */
size_t http_charge_reserved(const struct http_charge *c);

/** Reserves bytes beside those that have arrived. */
void http_charge_reserve(struct http_charge *c, size_t bytes);

/** Gives back what is reserved. */
void http_charge_trim(struct http_charge *c);

/** Gives back everything. */
void http_charge_release(struct http_charge *c);

#endif
