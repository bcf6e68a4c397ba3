/**
 * @file keeper_message.h
 * Datagrams between a node and the keeper, as MessagePack arrays.
 */
#ifndef MESH_KEEPER_MESSAGE_H
#define MESH_KEEPER_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Accounts in one message; more are asked for with the next one. */
#define KEEPER_ROWS_MAX 32
/** Longest encoded message; below the usual path MTU. */
#define KEEPER_MESSAGE_BYTES 1200

enum keeper_message_type {
	/** From a node: what it wants. */
	KEEPER_ASK = 1,
	/** From the keeper: what it grants. */
	KEEPER_GRANT = 2,
};

/** Tokens of an account that are wanted or granted. */
struct keeper_row {
	uint64_t account;
	uint32_t tokens;
};

struct keeper_message {
	enum keeper_message_type type;
	/** The asking node, and its time of the ask; the grant returns both. */
	uint64_t node, asked_us;
	/** Configuration in force at the sender, and how long ago it knew of no newer one. */
	uint64_t version, confirmed_ms;
	/** The sender knows of no trouble on its way to the store. */
	bool in_touch;
	/** Incarnation of the sender, and its count of changes of the view. */
	uint32_t incarnation, view_changes;
	uint32_t n_rows;
	struct keeper_row rows[KEEPER_ROWS_MAX];
};

/** Encodes a message. Returns its length, or 0 if it does not fit. */
size_t keeper_message_write(const struct keeper_message *m, char *out, size_t out_bytes);

/** Decodes a message. Returns 0 or -EBADMSG. */
int keeper_message_read(const char *bytes, size_t len, struct keeper_message *out);

#endif
