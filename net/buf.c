#include "net/buf.h"

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CAP_MIN 256

static _Noreturn void out_of_memory(size_t bytes)
{
	fprintf(stderr, "net: cannot allocate %zu bytes\n", bytes);
	abort();
}

void *xmalloc(size_t bytes)
{
	void *p = malloc(bytes ? bytes : 1);

	if (!p)
		out_of_memory(bytes);
	return p;
}

void *xcalloc(size_t n, size_t bytes)
{
	void *p = calloc(n ? n : 1, bytes);

	if (!p)
		out_of_memory(n * bytes);
	return p;
}

void buf_free(struct buf *b)
{
	free(b->data);
	*b = (struct buf){0};
}

static void reserve(struct buf *b, size_t more)
{
	size_t cap = b->cap ? b->cap : CAP_MIN;

	if (b->len + more <= b->cap)
		return;
	while (cap < b->len + more)
		cap *= 2;
	b->data = realloc(b->data, cap);
	if (!b->data)
		out_of_memory(cap);
	b->cap = cap;
}

void buf_reserve(struct buf *b, size_t bytes)
{
	size_t cap = b->len + bytes + 1;

	if (cap <= b->cap)
		return;
	b->data = realloc(b->data, cap);
	if (!b->data)
		out_of_memory(cap);
	b->cap = cap;
}

void buf_append(struct buf *b, const void *data, size_t len)
{
	if (!len)
		return;
	reserve(b, len);
	memcpy(b->data + b->len, data, len);
	b->len += len;
}

void buf_append_text(struct buf *b, const char *text)
{
	buf_append(b, text, strlen(text));
}

void buf_printf(struct buf *b, const char *fmt, ...)
{
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n <= 0)
		return;
	reserve(b, (size_t)n + 1);
	va_start(ap, fmt);
	vsnprintf(b->data + b->len, (size_t)n + 1, fmt, ap);
	va_end(ap);
	b->len += (size_t)n;
}

const char *buf_cstr(struct buf *b)
{
	reserve(b, 1);
	b->data[b->len] = '\0';
	return b->data;
}
