/**
 * @file input.h
 * Reads and edits the text of records: JSON with comments.
 */
#ifndef CTL_INPUT_H
#define CTL_INPUT_H

#include <stddef.h>

struct br_error;

/** Maximum size of a value that the platform stores. */
#define INPUT_MAX_BYTES (1UL << 20)

/**
 * Reads a file, or standard input if path is "-". The caller frees the text. Returns NULL with err
 * filled on error, also if the file is larger than INPUT_MAX_BYTES or contains a zero byte.
 */
char *input_read(const char *path, struct br_error *err);

/**
 * Replaces // and block comments outside strings by spaces, which leaves strict JSON and keeps the
 * positions in error messages correct. Returns 0, or -EINVAL if a block comment is not closed.
 */
int input_strip_comments(char *text, struct br_error *err);

/**
 * Returns the JSON object with its member write_id set; the caller frees the text. NULL with err
 * filled if json is not an object.
 */
char *input_with_write_id(const char *json, const char *write_id, struct br_error *err);

/** Copies a string member of a JSON object to out; "" if it is absent or not a string. */
void input_copy_string_member(const char *json, const char *member, char *out, size_t out_bytes);

#endif
