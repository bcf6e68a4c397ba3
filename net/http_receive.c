#include "net/http_receive.h"

#include "common/clock.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Bytes of a header for each byte of its names and values: a field of two bytes takes six. */
#define HEADER_READ_FACTOR 4

static int on_begin(http_parser *p)
{
	struct http_receiver *r = p->data;

	http_msg_destroy(r->msg);
	r->msg = http_msg_create();
	r->msg->charge =
		(struct http_charge){.budget = r->limits.budget, .is_request = r->is_server};
	r->value_open = false;
	r->headers_done = false;
	r->announced_bytes = UINT64_MAX;
	r->header_bytes = r->limits.header_bytes;
	r->body_bytes = r->limits.body_bytes;
	r->header_read_bytes = 0;
	r->begun_us = clock_now_us();
	return r->ops->begin(r->ctx) ? 0 : -1;
}

static int set_error(struct http_receiver *r, uint16_t status)
{
	r->bad_status = status;
	return -1;
}

/* Counts received bytes. Those of answers are read only as far as there is room for them. */
static int charge(struct http_receiver *r, size_t bytes)
{
	if (r->is_server && r->limits.budget && !http_budget_takes_request(r->limits.budget, bytes))
		return set_error(r, 503);
	http_charge_add(&r->msg->charge, bytes);
	return 0;
}

static int append_text(struct http_receiver *r, const char *at, size_t len)
{
	struct buf *text = &r->msg->text;

	if (text->len + len + 1 > r->header_bytes)
		return set_error(r, 431);
	if (charge(r, len))
		return -1;
	buf_append(text, at, len);
	return 0;
}

static int on_url(http_parser *p, const char *at, size_t len)
{
	return append_text(p->data, at, len);
}

static bool is_blank(char c)
{
	return c == ' ' || c == '\t';
}

/* Blanks behind a value are not part of it (RFC 9110, 5.5). */
static void trim_value(struct http_msg *m)
{
	size_t start = m->fields[m->n_fields - 1].value;

	while (m->text.len > start && is_blank(m->text.data[m->text.len - 1]))
		m->text.len--;
}

/* Terminates the request target or a value. */
static void end_text(struct http_receiver *r)
{
	if (r->value_open)
		trim_value(r->msg);
	buf_append(&r->msg->text, "", 1);
}

static int on_field(http_parser *p, const char *at, size_t len)
{
	struct http_receiver *r = p->data;
	struct http_msg *m = r->msg;

	if (r->headers_done)
		return 0;
	if (memchr(at, ' ', len))
		return set_error(r, 400);
	if (r->value_open || m->n_fields == 0) {
		end_text(r);
		if (m->n_fields == m->cap_fields) {
			m->cap_fields = m->cap_fields ? 2 * m->cap_fields : 8;
			m->fields = realloc(m->fields, m->cap_fields * sizeof(*m->fields));
			if (!m->fields)
				abort();
		}
		m->fields[m->n_fields++] = (struct http_field){.name = (uint32_t)m->text.len};
		r->value_open = false;
	}
	return append_text(r, at, len);
}

static int on_value(http_parser *p, const char *at, size_t len)
{
	struct http_receiver *r = p->data;
	struct http_msg *m = r->msg;

	if (r->headers_done)
		return 0;
	if (!r->value_open) {
		buf_append(&m->text, "", 1);
		m->fields[m->n_fields - 1].value = (uint32_t)m->text.len;
		r->value_open = true;
	}
	return append_text(r, at, len);
}

/* Bytes of the message being received that may still arrive; one more shows that it is too long. */
static uint64_t missing_bytes(const struct http_receiver *r)
{
	uint64_t body_bytes = r->body_bytes;

	if (!r->headers_done)
		return r->header_bytes - r->msg->text.len;
	if (r->announced_bytes <= body_bytes)
		return r->announced_bytes - r->msg->body.len;
	return body_bytes + 1 - r->msg->body.len;
}

/* Two nodes whose memory is full of answers for each other would both wait for the other one. */
static bool waits_for_nodes(const struct http_receiver *r)
{
	size_t max_bytes = r->limits.unsent_to_nodes_max_bytes;

	return max_bytes && r->limits.budget->unsent_to_nodes_bytes > max_bytes;
}

static bool length_is_known(const struct http_receiver *r)
{
	return r->headers_done && r->announced_bytes != UINT64_MAX;
}

static void hold_room(struct http_receiver *r, uint64_t bytes)
{
	http_charge_reserve(&r->msg->charge, bytes);
	if (length_is_known(r))
		buf_reserve(&r->msg->body, bytes);
}

static bool can_reserve(const struct http_receiver *r, uint64_t bytes)
{
	const struct http_budget *b = r->limits.budget;

	return !b || (!waits_for_nodes(r) && http_budget_can_reserve(b, bytes));
}

/* Reserves room for the rest of an answer, the kept room if nothing else is left. */
static bool reserve_rest(struct http_receiver *r)
{
	struct http_budget *b = r->limits.budget;
	uint64_t bytes = missing_bytes(r);

	if (!can_reserve(r, bytes)) {
		if ((b->kept_for && b->kept_for != r) || waits_for_nodes(r) ||
		    !http_budget_can_keep(b, bytes))
			return false;
		b->kept_for = r;
	}
	hold_room(r, bytes);
	return true;
}

static void release_kept_room(struct http_receiver *r)
{
	if (r->limits.budget && r->limits.budget->kept_for == r)
		r->limits.budget->kept_for = NULL;
}

/* Reserves room for an announced body. Without it the body waits at the server. */
static int announce_body(struct http_receiver *r, const http_parser *p)
{
	if ((p->flags & F_CHUNKED) || p->content_length == UINT64_MAX)
		return 0;
	if (p->content_length > r->body_bytes)
		return set_error(r, 413);
	r->announced_bytes = p->content_length;
	if (r->announced_bytes && can_reserve(r, r->announced_bytes))
		hold_room(r, r->announced_bytes);
	return 0;
}

/* Tests whether the parser ends the body of an answer where the grammar does. */
static bool framing_agrees(const struct http_receiver *r, const http_parser *p)
{
	bool is_chunked = p->flags & F_CHUNKED;

	switch (r->grammar.framing) {
	case ANSWER_NO_BODY:
		return true;
	case ANSWER_LENGTH:
		return !is_chunked && p->content_length == r->grammar.length_bytes;
	case ANSWER_CHUNKED:
		return is_chunked;
	case ANSWER_UNTIL_CLOSE:
		return !is_chunked && p->content_length == UINT64_MAX;
	}
	return false;
}

static int on_headers(http_parser *p)
{
	struct http_receiver *r = p->data;
	const char *expect;

	end_text(r);
	r->headers_done = true;
	r->msg->method = (uint8_t)p->method;
	r->msg->status = (uint16_t)p->status_code;
	if (!r->is_server) {
		if (!framing_agrees(r, p))
			return set_error(r, 400);
		/* A nonzero result makes the parser skip the body. */
		r->msg->no_body = r->no_body && p->status_code >= 200;
		return r->grammar.framing == ANSWER_NO_BODY ? 1 : announce_body(r, p);
	}
	if (p->upgrade || p->http_major != 1)
		return set_error(r, 400);
	if (!(p->flags & F_CHUNKED) && p->content_length != UINT64_MAX &&
	    p->content_length > r->body_bytes)
		return set_error(r, 413);
	expect = http_msg_find_field(r->msg, "expect");
	if (expect && !strcasecmp(expect, "100-continue"))
		r->ops->expects_continue(r->ctx);
	return 0;
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	struct http_receiver *r = p->data;

	if (len > r->body_bytes - r->msg->body.len)
		return set_error(r, 413);
	if (charge(r, len))
		return -1;
	buf_append(&r->msg->body, at, len);
	return 0;
}

static int on_complete(http_parser *p)
{
	struct http_receiver *r = p->data;
	struct http_msg *m = r->msg;

	m->keep_alive = http_should_keep_alive(p) && !r->more_follows;
	r->msg = NULL;
	r->begun_us = 0;
	r->awaits_answer = false;
	http_charge_trim(&m->charge);
	release_kept_room(r);
	return r->ops->message(r->ctx, m) ? 0 : -1;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

void http_receiver_init(struct http_receiver *r, bool is_server, const struct http_limits *limits,
			const struct http_receiver_ops *ops, void *ctx)
{
	*r = (struct http_receiver){
		.ops = ops, .ctx = ctx, .limits = *limits, .is_server = is_server};
	http_parser_init(&r->parser, is_server ? HTTP_REQUEST : HTTP_RESPONSE);
	answer_grammar_init(&r->grammar);
	r->parser.data = r;
}

void http_receiver_set_sizes(struct http_receiver *r, uint32_t header_bytes, uint64_t body_bytes)
{
	r->limits.header_bytes = header_bytes;
	r->limits.body_bytes = body_bytes;
	if (!r->msg)
		return;
	if (header_bytes > r->header_bytes)
		r->header_bytes = header_bytes;
	if (body_bytes > r->body_bytes)
		r->body_bytes = body_bytes;
}

void http_receiver_release(struct http_receiver *r)
{
	release_kept_room(r);
	http_msg_destroy(r->msg);
	r->msg = NULL;
	r->begun_us = 0;
}

/*
 * Tests whether the header of a request is too long with what is not kept of it: separators, and blanks, of
 * which there may be any number.
 */
static bool header_is_endless(struct http_receiver *r, size_t len)
{
	if (!r->is_server || !r->msg || r->headers_done)
		return false;
	r->header_read_bytes += len;
	return r->header_read_bytes >
	       HEADER_READ_FACTOR * (uint64_t)r->header_bytes + HTTP_READ_BYTES;
}

static uint16_t parse(struct http_receiver *r, const char *bytes, size_t len)
{
	size_t used;

	if (header_is_endless(r, len))
		return 431;
	/* The parser has a limit of its own, the same for all; that of requests is the configuration's. */
	if (r->is_server && r->msg && !r->headers_done)
		r->parser.nread = 0;
	used = http_parser_execute(&r->parser, &parser_settings, bytes, len);
	if (r->bad_status)
		return r->bad_status;
	return HTTP_PARSER_ERRNO(&r->parser) != HPE_OK || used != len ? 400 : 0;
}

/* Parses answers one at a time, each only as far as it is valid. */
static uint16_t add_answers(struct http_receiver *r, char *bytes, size_t len)
{
	while (len) {
		enum answer_verdict verdict;
		size_t n = answer_grammar_check(&r->grammar, bytes, len, r->no_body, &verdict);
		uint16_t status;

		r->more_follows = verdict == ANSWER_COMPLETE && n < len;
		status = n ? parse(r, bytes, n) : 0;
		if (status)
			return status;
		if (verdict == ANSWER_INVALID)
			return 400;
		bytes += n;
		len -= n;
	}
	return 0;
}

uint16_t http_receiver_add(struct http_receiver *r, char *bytes, size_t len)
{
	return r->is_server ? parse(r, bytes, len) : add_answers(r, bytes, len);
}

void http_receiver_end(struct http_receiver *r)
{
	if (!r->is_server && r->msg)
		http_parser_execute(&r->parser, &parser_settings, NULL, 0);
}

size_t http_receiver_readable(const struct http_receiver *r)
{
	const struct http_budget *b = r->limits.budget;
	size_t bytes = 0;

	if (r->is_server || !b)
		return HTTP_READ_BYTES;
	/* Nothing but the end of the connection is expected. */
	if (!r->msg && !r->awaits_answer)
		return HTTP_BUDGET_READ_MIN_BYTES;
	if (r->msg)
		bytes = http_charge_reserved(&r->msg->charge);
	/* A body that has got no room stays at its server. */
	if (!bytes && r->msg && length_is_known(r))
		return 0;
	if (!waits_for_nodes(r))
		bytes += http_budget_free_bytes(b);
	return bytes < HTTP_READ_BYTES ? bytes : HTTP_READ_BYTES;
}

bool http_receiver_find_room(struct http_receiver *r)
{
	if (r->msg)
		return reserve_rest(r);
	return http_receiver_readable(r) > 0;
}
