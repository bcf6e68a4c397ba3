/**
 * @file http_msg.h
 * One complete HTTP/1.1 request or response in memory.
 */
#ifndef NET_HTTP_MSG_H
#define NET_HTTP_MSG_H

#include "net/buf.h"
#include "net/http_budget.h"

#include <stdbool.h>
#include <stdint.h>

/** Offsets in http_msg.text of a header field's name and value, both NUL-terminated. */
struct http_field {
	uint32_t name, value;
};

struct http_msg {
	/** Method number of http_parser; requests only. */
	uint8_t method;
	/** HTTP status; responses only. */
	uint16_t status;
	/** An answer to HEAD: it has no body, whatever its Content-Length. */
	bool no_body;
	/**
	 * The connection may carry another message after this one. Behind an answer that bytes
	 * followed it may not: they belong to no request, and could be taken for the next answer.
	 */
	bool keep_alive;
	/** Request target, field names and values, each NUL-terminated. */
	struct buf text;
	/** Offset of the request's target in text. */
	uint32_t target;
	struct http_field *fields;
	uint32_t n_fields, cap_fields;
	struct buf body;
	struct http_charge charge;
};

struct http_msg *http_msg_create(void);
void http_msg_destroy(struct http_msg *m);

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

/** Tests whether a header field can have this value, and its receiver reads just this one. */
bool http_is_field_value(const char *text);

/** True for hop-by-hop and framing fields, which a proxy does not forward. */
bool http_field_is_hop_by_hop(const char *name);

/** Reason phrase of a status, or "Status" if the status is unknown. */
const char *http_reason(uint16_t status);

/** Name of a method number of http_parser. */
const char *http_method_name(uint8_t method);

#endif
