/**
 * @file buf.h
 * Growable byte buffer. Running out of memory aborts the process: a node without memory for a
 * message cannot serve requests correctly, and its callers see a closed connection.
 */
#ifndef NET_BUF_H
#define NET_BUF_H

#include <stdarg.h>
#include <stddef.h>

struct buf {
	char *data;
	size_t len, cap;
};

/** Frees the bytes; the buffer is empty and usable afterwards. */
void buf_free(struct buf *b);

/** Makes room for so many further bytes and a terminator, and for no more. */
void buf_reserve(struct buf *b, size_t bytes);

void buf_append(struct buf *b, const void *data, size_t len);

/** Appends a string without its terminator. */
void buf_append_text(struct buf *b, const char *text);

void buf_printf(struct buf *b, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

/** Terminates the bytes with a NUL (not counted in len) and returns them. */
const char *buf_cstr(struct buf *b);

/** malloc() and calloc() that abort the process instead of returning NULL. */
void *xmalloc(size_t bytes);
void *xcalloc(size_t n, size_t bytes);

#endif
