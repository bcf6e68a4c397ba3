/**
 * @file escape.h
 * Texts as single words, for lines whose values are separated by spaces.
 */
#ifndef LIB_ESCAPE_H
#define LIB_ESCAPE_H

#include <stdbool.h>
#include <stddef.h>

/** Size of the word for a text of n bytes, terminators included. */
#define BR_ESCAPED_BYTES(n) (3 * (n) + 1)

/** Writes text with each byte but visible ASCII characters, and '%', as %xx; returns the end. */
char *br_escape(char *out, const char *text);

/**
 * Decodes a word written by br_escape(); dst may be the word itself. Returns false if it is empty, too
 * long or malformed.
 */
bool br_unescape(char *dst, size_t dst_bytes, const char *word);

#endif
