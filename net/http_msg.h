/**
 * @file http_msg.h
 * One complete HTTP/1.1 request or response in memory.
 */
#ifndef NET_HTTP_MSG_H
#define NET_HTTP_MSG_H

#include "net/buf.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/** Offsets in http_msg.text of a header field's name and value, both NUL-terminated. */
struct http_field {
	uint32_t name, value;
};

struct http_conn;

/** Bytes that the connections that share it hold. */
struct http_budget {
	/** Bytes of received messages, and their limit. */
	size_t held_bytes, limit_bytes;
	/** Bytes that wait to be sent, also on connections that their owners have finished. */
	size_t unsent_bytes;
	/**
	 * Number of received and unsent bytes from which on answers are not read further, until the
	 * peers have read what waits for them; 0 for none.
	 */
	size_t pause_bytes;
	/** Client connections that are not read. */
	LIST_HEAD(, http_conn) paused;
};

/** Tests whether answers are not read further at present. */
static inline bool http_budget_is_short(const struct http_budget *b)
{
	return b->pause_bytes && b->held_bytes + b->unsent_bytes >= b->pause_bytes;
}

struct http_msg {
	/** Method number of http_parser; requests only. */
	uint8_t method;
	/** HTTP status; responses only. */
	uint16_t status;
	/** An answer to HEAD: it has no body, whatever its Content-Length. */
	bool no_body;
	/** The connection may carry another message after this one. */
	bool keep_alive;
	/** Request target, field names and values, each NUL-terminated. */
	struct buf text;
	/** Offset of the request's target in text. */
	uint32_t target;
	struct http_field *fields;
	uint32_t n_fields, cap_fields;
	struct buf body;
	/** Budget that the message's bytes count towards, or NULL; and their number. */
	struct http_budget *budget;
	size_t budget_bytes;
};

struct http_msg *http_msg_create(void);
void http_msg_destroy(struct http_msg *m);

/**
 * Counts received bytes of a message towards its budget until the message is destroyed. Returns
 * false, and counts nothing, if that would exceed the limit.
 */
bool http_msg_charge(struct http_msg *m, size_t bytes);

const char *http_msg_target(const struct http_msg *m);
const char *http_msg_field_name(const struct http_msg *m, uint32_t i);
const char *http_msg_field_value(const struct http_msg *m, uint32_t i);

/** Value of the first field with that name (case-insensitive), or NULL. */
const char *http_msg_find_field(const struct http_msg *m, const char *name);

/** Number of fields with that name (case-insensitive). */
uint32_t http_msg_count_fields(const struct http_msg *m, const char *name);

/** True for a HEAD request. */
bool http_msg_is_head(const struct http_msg *m);

/**
 * Appends the Content-Length field of an answer. An answer to HEAD gets the received field, if any;
 * any other gets the length of its body, except with status 204 or 304.
 */
void http_msg_write_length(struct buf *b, const struct http_msg *m);

/** True for hop-by-hop and framing fields, which a proxy does not forward. */
bool http_field_is_hop_by_hop(const char *name);

/** Reason phrase of a status, or "Status" if the status is unknown. */
const char *http_reason(uint16_t status);

/** Name of a method number of http_parser. */
const char *http_method_name(uint8_t method);

#endif
