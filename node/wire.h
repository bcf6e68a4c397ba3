/**
 * @file wire.h
 * Encodes and decodes the control messages between nodes: MessagePack arrays that start with the
 * version and the type.
 */
#ifndef NODE_WIRE_H
#define NODE_WIRE_H

#include "briarreel/config.h"
#include "briarreel/grantor.h"
#include "briarreel/membership.h"
#include "briarreel/slot.h"

#include <msgpack.h>

#define WIRE_VERSION 1

/** Message types, with the arguments of each. The numbers are part of the protocol. */
enum wire_type {
	WIRE_ERROR = 0,
	/**
	 * sender, watermark, freshness age in ms (UINT64_MAX: never confirmed), digest, slot
	 * digest, updates
	 */
	WIRE_PING = 1,
	/** same as WIRE_PING */
	WIRE_PONG = 2,
	/** id, control address */
	WIRE_PING_INDIRECT = 3,
	/** 1 if the node answered, 0 if not */
	WIRE_PING_INDIRECT_RESULT = 4,
	/** 64 bucket digests */
	WIRE_PULL_MEMBERS = 5,
	/** members */
	WIRE_MEMBERS = 6,
	WIRE_PULL_SLOTS = 7,
	/** slots */
	WIRE_SLOTS = 8,
	/** page header */
	WIRE_PULL_CONFIG = 9,
	/** page header, changes */
	WIRE_CONFIG_PAGE = 10,
	/** from_rev, to_rev, changes */
	WIRE_PUSH_CONFIG = 11,
	/** watermark */
	WIRE_PUSH_RESULT = 12,
	/** lease requests */
	WIRE_LEASE = 13,
	/** lease replies */
	WIRE_LEASE_RESULT = 14,
};

/** A message under construction. */
struct wire_out {
	msgpack_sbuffer buf;
	msgpack_packer pk;
};

/** A received message; its strings point into the caller's data. */
struct wire_in {
	msgpack_unpacked unpacked;
	enum wire_type type;
	/** Elements after version and type. */
	const msgpack_object *args;
	uint32_t n_args;
};

/** Starts a message with n_args elements after version and type. */
void wire_out_init(struct wire_out *out, enum wire_type type, uint32_t n_args);
void wire_out_free(struct wire_out *out);

/**
 * Parses a message; data must stay valid until wire_in_free(). Returns 0, -EPROTO for an unknown
 * version or type, or -EBADMSG if it is malformed. wire_in_free() is needed only after 0.
 */
int wire_in_init(struct wire_in *in, const void *data, size_t len);
void wire_in_free(struct wire_in *in);

void wire_put_u64(struct wire_out *out, uint64_t v);
void wire_put_text(struct wire_out *out, const char *text);
void wire_put_array(struct wire_out *out, uint32_t n);
void wire_put_member(struct wire_out *out, const struct br_member *m);
void wire_put_slot(struct wire_out *out, uint32_t slot, const struct br_slot_holder *h);
void wire_put_change(struct wire_out *out, const struct br_config_change *c);
void wire_put_page(struct wire_out *out, const struct br_config_page *p);
void wire_put_lease_req(struct wire_out *out, const struct br_lease_request *r);
void wire_put_lease_rep(struct wire_out *out, const struct br_lease_reply *r);

/* The wire_get functions return false if the value has another type or an invalid size. */
bool wire_get_u64(const msgpack_object *o, uint64_t *v);
bool wire_get_text(const msgpack_object *o, char *text, size_t bytes);
bool wire_get_array(const msgpack_object *o, const msgpack_object **items, uint32_t *n);
bool wire_get_member(const msgpack_object *o, struct br_member *m);
bool wire_get_slot(const msgpack_object *o, uint32_t *slot, struct br_slot_holder *h);
/** Copies the key into key_buf and points c->key to it; c->value points into the message. */
bool wire_get_change(const msgpack_object *o, struct br_config_change *c,
		     char key_buf[BR_CONFIG_KEY_BYTES]);
bool wire_get_page(const msgpack_object *o, struct br_config_page *p);
bool wire_get_lease_req(const msgpack_object *o, struct br_lease_request *r);
bool wire_get_lease_rep(const msgpack_object *o, struct br_lease_reply *r);

#endif
