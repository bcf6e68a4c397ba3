#include "net/http_budget.h"

#include <stdint.h>

/* Bytes that all messages may take beside those that are held or wait to be sent. */
static size_t unused_bytes(const struct http_budget *b)
{
	size_t total_bytes = b->held_bytes + b->unsent_bytes;

	if (!b->pause_bytes)
		return SIZE_MAX;
	return total_bytes < b->pause_bytes ? b->pause_bytes - total_bytes : 0;
}

bool http_budget_is_short(const struct http_budget *b)
{
	return unused_bytes(b) < HTTP_BUDGET_READ_MIN_BYTES;
}

/* Number of bytes of answers that may be received beside those that are held. */
static size_t shared_bytes(const struct http_budget *b)
{
	size_t bytes = b->limit_bytes - b->limit_bytes / HTTP_BUDGET_KEPT_DIVISOR -
		       b->limit_bytes / HTTP_BUDGET_REQUESTS_DIVISOR;
	size_t answer_bytes = b->held_bytes - b->request_bytes;

	return answer_bytes < bytes ? bytes - answer_bytes : 0;
}

size_t http_budget_free_bytes(const struct http_budget *b)
{
	size_t shared = shared_bytes(b), unused = unused_bytes(b);
	size_t bytes = shared < unused ? shared : unused;

	return bytes < HTTP_BUDGET_READ_MIN_BYTES ? 0 : bytes;
}

bool http_budget_takes_request(const struct http_budget *b, size_t bytes)
{
	size_t limit_bytes = b->limit_bytes / HTTP_BUDGET_REQUESTS_DIVISOR;

	return b->request_bytes <= limit_bytes && bytes <= limit_bytes - b->request_bytes;
}

bool http_budget_can_reserve(const struct http_budget *b, size_t bytes)
{
	return bytes <= shared_bytes(b) && bytes <= unused_bytes(b);
}

bool http_budget_can_keep(const struct http_budget *b, size_t bytes)
{
	return bytes <= unused_bytes(b);
}

static void count(struct http_charge *c, size_t bytes)
{
	struct http_budget *b = c->budget;

	if (b) {
		b->held_bytes += bytes - c->counted_bytes;
		if (c->is_request)
			b->request_bytes += bytes - c->counted_bytes;
	}
	c->counted_bytes = bytes;
}

void http_charge_add(struct http_charge *c, size_t bytes)
{
	c->used_bytes += bytes;
	if (c->used_bytes > c->counted_bytes)
		count(c, c->used_bytes);
}

size_t http_charge_reserved(const struct http_charge *c)
{
	return c->counted_bytes - c->used_bytes;
}

void http_charge_reserve(struct http_charge *c, size_t bytes)
{
	count(c, c->used_bytes + bytes);
}

void http_charge_trim(struct http_charge *c)
{
	count(c, c->used_bytes);
}

void http_charge_release(struct http_charge *c)
{
	c->used_bytes = 0;
	count(c, 0);
}
