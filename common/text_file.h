/**
 * @file text_file.h
 * Reads a whole text file into memory.
 */
#ifndef COMMON_TEXT_FILE_H
#define COMMON_TEXT_FILE_H

#include <stddef.h>

struct br_error;

/**
 * Reads a file of at most max_bytes. On success *text is its terminated text, which the caller
 * frees. Returns 0 or a negative error number, among them -EFBIG for a longer file and -EINVAL for
 * one with a NUL, since its text would end there.
 */
int text_file_read(const char *path, size_t max_bytes, char **text, struct br_error *err);

#endif
