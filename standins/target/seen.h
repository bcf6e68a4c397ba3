/**
 * @file seen.h
 * Remembers the bytes of received requests, so that a test can ask whether a text occurred.
 */
#ifndef STANDINS_TARGET_SEEN_H
#define STANDINS_TARGET_SEEN_H

#include <stdbool.h>
#include <stddef.h>

struct mg_connection;

/**
 * max_bytes of requests are kept. texts, separated by commas, may be NULL; each is searched for as
 * requests arrive, so that answers about it stay right when more requests came than are kept.
 */
void seen_init(size_t max_bytes, const char *texts);

/** Adds the method, path, query, headers and body of a request. */
void seen_add(struct mg_connection *conn, const char *body, size_t len);

/** True if the text occurred; *complete is false if "not seen" is not certain. */
bool seen_text(const char *text, bool *complete);

#endif
