/**
 * @file input.h
 * Text that operators write: files with comments, and keys.
 */
#ifndef CTL_INPUT_H
#define CTL_INPUT_H

#include <stddef.h>

struct br_error;

/** Largest value that the platform stores. */
#define INPUT_MAX_BYTES (1UL << 20)

/** Reads a file, or standard input for "-"; the caller frees the text. NULL with err filled. */
char *input_read(const char *path, struct br_error *err);

/**
 * Replaces // and block comments outside strings by spaces, so that strict JSON remains and error
 * positions stay right. Returns 0, or -EINVAL if a block comment does not end.
 */
int input_strip_comments(char *text, struct br_error *err);

/** Adds the write id to a JSON object; the caller frees the text. NULL with err filled. */
char *input_with_write_id(const char *json, const char *write_id, struct br_error *err);

/** Member of a JSON object in out, or "" if it is absent or no string. */
void input_member(const char *json, const char *member, char *out, size_t out_bytes);

#endif
