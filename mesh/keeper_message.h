/**
 * @file keeper_message.h
 * Encodes and decodes the datagrams between a node and the keeper, which are MessagePack arrays.
 */
#ifndef MESH_KEEPER_MESSAGE_H
#define MESH_KEEPER_MESSAGE_H

#include "briarreel/quota.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Maximum number of accounts in one message. Further accounts go into further messages. */
#define KEEPER_ROWS_MAX 32
/** Longest encoded message in bytes; below the usual path MTU. */
#define KEEPER_MESSAGE_BYTES 1200

enum keeper_message_type {
	/** From a node to the keeper: requests tokens. */
	KEEPER_REQUEST = 1,
	/** From the keeper: tokens granted in answer to a KEEPER_REQUEST. */
	KEEPER_GRANT = 2,
	/** From any node to those that fetch from it: it has a newer configuration or view. */
	KEEPER_NOTICE = 3,
};

/** Tokens of an account that are requested or granted. */
struct keeper_row {
	/** Hash of the account's name. */
	uint64_t account_hash;
	uint32_t tokens;
	/** The sender's debt; the grant repeats it if the keeper has charged it. */
	struct br_quota_debt debt;
};

struct keeper_message {
	enum keeper_message_type type;
	/**
	 * Hash that identifies the requesting process, and its clock when it sent the request; both
	 * are copied into the grant.
	 */
	uint64_t node_hash, requested_us;
	/**
	 * Version of the configuration in force at the sender, and time since the store was known
	 * to hold no newer one.
	 */
	uint64_t version, confirmation_age_ms;
	/** The sender's lease renewal and its watch of the configuration last succeeded. */
	bool store_reachable;
	/**
	 * Incarnation of the sender, and its board.view_changes. In a KEEPER_NOTICE: position in
	 * the keeper's view that the sender has reached.
	 */
	uint32_t incarnation, view_changes;
	uint32_t n_rows;
	struct keeper_row rows[KEEPER_ROWS_MAX];
};

/** Encodes a message. Returns its length in bytes, or 0 if it does not fit. */
size_t keeper_message_write(const struct keeper_message *m, char *out, size_t out_bytes);

/** Decodes a message. Returns 0 or -EBADMSG. */
int keeper_message_read(const char *bytes, size_t len, struct keeper_message *out);

#endif
