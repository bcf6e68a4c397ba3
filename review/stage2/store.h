/**
 * @file store.h
 * The platform's store: items with revisions, leases and watches, a copy to come back from.
 */
#ifndef STORE_H
#define STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "http.h"

bool store_handle(int fd, int tag, const struct http_head *h);
/** Current revision. */
uint64_t store_revision(void);
uint64_t store_operator_put(const char *key, const char *text);
/** Copies the text of an item; false if there is none. */
bool store_read(const char *key, char *out, size_t bytes);
void store_copy(void);
void store_set_down(bool down);
/** Puts the copy in place, under the next era, and writes the texts (NULL: none) to key. */
void store_restore(const char *key, const char *text, const char *next);

#endif
