#include "briarreel/dedup.h"

#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

/** Immutable, reference-counted answer; data holds the header lines, followed by the body. */
struct br_answer {
	atomic_uint refs;
	int status;
	size_t headers_len;
	size_t body_len;
	char data[];
};

struct br_answer *br_answer_create(int status, const void *headers, size_t headers_len,
				   const void *body, size_t body_len)
{
	struct br_answer *a = malloc(sizeof(*a) + headers_len + body_len);

	if (!a)
		return NULL;
	atomic_init(&a->refs, 1);
	a->status = status;
	a->headers_len = headers_len;
	a->body_len = body_len;
	if (headers_len)
		memcpy(a->data, headers, headers_len);
	if (body_len)
		memcpy(a->data + headers_len, body, body_len);
	return a;
}

struct br_answer *br_answer_get(struct br_answer *a)
{
	atomic_fetch_add(&a->refs, 1);
	return a;
}

void br_answer_put(struct br_answer *a)
{
	if (a && atomic_fetch_sub(&a->refs, 1) == 1)
		free(a);
}

int br_answer_status(const struct br_answer *a)
{
	return a->status;
}

const void *br_answer_headers(const struct br_answer *a, size_t *len)
{
	*len = a->headers_len;
	return a->data;
}

const void *br_answer_body(const struct br_answer *a, size_t *len)
{
	*len = a->body_len;
	return a->data + a->headers_len;
}
