/**
 * @file http_msg.h
 * One whole HTTP/1.1 request or response in memory.
 */
#ifndef NET_HTTP_MSG_H
#define NET_HTTP_MSG_H

#include "net/buf.h"

#include <stdbool.h>
#include <stdint.h>

/** Offsets of a header field in http_msg.text; both texts end with a terminator. */
struct http_field {
	uint32_t name, value;
};

struct http_msg {
	/** Method number of http_parser; requests only. */
	uint8_t method;
	/** Responses only. */
	uint16_t status;
	/** An answer to HEAD: it has no body, whatever its length says. */
	bool no_body;
	/** The connection may carry another message after this one. */
	bool keep_alive;
	/** Target, field names and values, each with a terminator. */
	struct buf text;
	/** Offset of the request's target in text. */
	uint32_t target;
	struct http_field *fields;
	uint32_t n_fields, cap_fields;
	struct buf body;
};

struct http_msg *http_msg_create(void);
void http_msg_destroy(struct http_msg *m);

const char *http_msg_target(const struct http_msg *m);
const char *http_msg_name(const struct http_msg *m, uint32_t i);
const char *http_msg_value(const struct http_msg *m, uint32_t i);

/** Value of the first field of that name in any case, or NULL. */
const char *http_msg_find(const struct http_msg *m, const char *name);

/** Number of fields of that name. */
uint32_t http_msg_count(const struct http_msg *m, const char *name);

/** True for a HEAD request. */
bool http_msg_is_head(const struct http_msg *m);

/** Appends the Content-Length field of an answer: that of its body, or the one told for HEAD. */
void http_msg_write_length(struct buf *b, const struct http_msg *m);

/** True for fields that concern one connection or the framing, which a proxy does not forward. */
bool http_field_is_hop(const char *name);

/** Reason phrase of a status. */
const char *http_reason(uint16_t status);

/** Name of a method number of http_parser. */
const char *http_method_text(uint8_t method);

#endif
