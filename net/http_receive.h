/**
 * @file http_receive.h
 * Receiving side of a connection: parses its bytes into messages and decides how many bytes may be
 * read. Does not touch the socket.
 */
#ifndef NET_HTTP_RECEIVE_H
#define NET_HTTP_RECEIVE_H

#include "net/answer_grammar.h"
#include "net/http_msg.h"

#include <http_parser.h>

/** Number of bytes that are read at once at most. */
#define HTTP_READ_BYTES 65536

/** Maximum sizes of the header and the body of a message from the peer. */
struct http_limits {
	uint32_t header_bytes;
	uint64_t body_bytes;
	/** Limit that messages of several connections share; NULL for none. */
	struct http_budget *budget;
	/** The peer is another node, which may in turn wait for this one to read. */
	bool peer_is_node;
	/** Answers are not received while more bytes wait for other nodes; 0 for no limit. */
	size_t unsent_to_nodes_max_bytes;
};

/** Events of a receiver; begin and message return false if nothing further is to be parsed. */
struct http_receiver_ops {
	/** The first byte of a message has arrived. */
	bool (*begin)(void *ctx);
	/** Requests only: the peer waits for an interim answer before it sends the body. */
	void (*expects_continue)(void *ctx);
	/** A whole message has arrived; the callee owns it. */
	bool (*message)(void *ctx, struct http_msg *m);
};

/** Embedded by the connection; the fields are private to this module unless noted. */
struct http_receiver {
	const struct http_receiver_ops *ops;
	void *ctx;
	/** Limits of messages that begin from now on. */
	struct http_limits limits;
	http_parser parser;
	/** Answers only: checks what the parser is given. */
	struct answer_grammar grammar;
	/** Receives requests, not answers. */
	bool is_server;
	/** The message being received, or NULL. */
	struct http_msg *msg;
	/** Limits of that message, at least as large as when its first byte arrived. */
	uint32_t header_bytes;
	uint64_t body_bytes;
	/** Requests only: bytes that were read of its header, blanks that are not kept too. */
	uint64_t header_read_bytes;
	/** Arrival time of its first byte, or 0; readable by the connection. */
	uint64_t begun_us;
	/** HTTP status to answer an invalid message with; 0 if none was found invalid. */
	uint16_t bad_status;
	bool value_open, headers_done;
	/** Length of the body being received, as announced; UINT64_MAX if it is unknown. */
	uint64_t announced_bytes;
	/** Answers only: bytes have arrived behind the message that is being completed. */
	bool more_follows;
	/** Answers only, set by the connection: the next one is to HEAD, which has no body. */
	bool no_body;
	/** Answers only, set by the connection: a request has been sent, and no answer came since. */
	bool awaits_answer;
};

void http_receiver_init(struct http_receiver *r, bool is_server, const struct http_limits *limits,
			const struct http_receiver_ops *ops, void *ctx);

/**
 * Sets the maximum sizes of messages. One that is being received may have been sent under the earlier ones and
 * gets the larger of both.
 */
void http_receiver_set_sizes(struct http_receiver *r, uint32_t header_bytes, uint64_t body_bytes);

/** Frees the message being received and gives its room back. */
void http_receiver_release(struct http_receiver *r);

/**
 * Parses bytes, and may change them. Returns 0, or the HTTP status to answer with if they are not a
 * valid message or there is no room for it. The result is meaningless after a callback returned
 * false.
 */
uint16_t http_receiver_add(struct http_receiver *r, char *bytes, size_t len);

/** The connection has ended in order, which completes an answer without a length. */
void http_receiver_end(struct http_receiver *r);

/**
 * Number of bytes that may be read now without more being held than the budget allows; 0 if the
 * connection has to wait for room.
 */
size_t http_receiver_readable(const struct http_receiver *r);

/** Tests whether a connection that waited for room can be read on, and reserves the room. */
bool http_receiver_find_room(struct http_receiver *r);

#endif
