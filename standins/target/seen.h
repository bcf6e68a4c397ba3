/**
 * @file seen.h
 * Records received requests, so that a test can check whether a text occurred in one of them.
 */
#ifndef STANDINS_TARGET_SEEN_H
#define STANDINS_TARGET_SEEN_H

#include <stdbool.h>
#include <stddef.h>

struct mg_connection;

/**
 * Requests are recorded up to max_bytes in all. watch_texts is a comma-separated list or NULL; each
 * of its texts is searched for in every request on arrival, so that the result for it is exact even
 * if not all requests could be recorded.
 */
void seen_init(size_t max_bytes, const char *watch_texts);

/** Records the method, path, query, headers and body of a request. */
void seen_add_request(struct mg_connection *conn, const char *body, size_t body_len);

/**
 * Returns true if text occurred in a request. *complete is false if some requests were not
 * recorded, so that a result of false is not certain.
 */
bool seen_find_text(const char *text, bool *complete);

#endif
