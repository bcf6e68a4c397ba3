/**
 * @file http_server.h
 * HTTP/1.1 server over CivetWeb. One handler serves all paths; it reads a request body and writes a
 * reply with a single call each.
 */
#ifndef COMMON_HTTP_SERVER_H
#define COMMON_HTTP_SERVER_H

#include <stddef.h>
#include <stdint.h>

struct br_error;
struct http_header;
struct http_server;
struct mg_connection;

/** Settings of a listener. Each keep-alive connection occupies one worker thread. */
struct http_server_config {
	/** "ip:port". Port 0 lets the system choose; see http_server_port(). */
	const char *listen;
	/** Number of worker threads. */
	uint32_t workers;
	/** Time after which an idle connection is closed; also the timeout of a request. */
	uint32_t keep_alive_ms;
};

/** A reply; headers has n_headers entries, and body may be NULL if body_len is 0. */
struct http_reply {
	int status;
	const struct http_header *headers;
	size_t n_headers;
	const void *body;
	size_t body_len;
	/** Nonzero: the connection is closed after the reply. */
	int close;
};

/** Handles one request on a worker thread; must call http_server_reply() exactly once. */
typedef void (*http_handler)(struct mg_connection *conn, void *user_data);

/** Starts a listener; cfg is copied. Returns NULL with err filled if it cannot listen. */
struct http_server *http_server_create(const struct http_server_config *cfg, http_handler handler,
				       void *user_data, struct br_error *err);

/** Stops listening, waits for the running handlers and releases the server. */
void http_server_destroy(struct http_server *srv);

/** Port that the server listens on; 0 if unknown. */
int http_server_port(const struct http_server *srv);

/**
 * Reads the request body into *body, which the caller frees and which ends with an additional zero
 * byte. Returns 0, -EMSGSIZE if the body is larger than max_bytes, -EBADMSG if it is truncated,
 * malformed or of ambiguous length, or -ENOMEM; on error *body and *len are unchanged.
 */
int http_server_read_body(struct mg_connection *conn, size_t max_bytes, char **body, size_t *len);

/** Writes a reply; returns 0, -ENOMEM, or -EPIPE if the connection is closed. */
int http_server_reply(struct mg_connection *conn, const struct http_reply *reply);

/** Writes a reply with a text body; returns as http_server_reply(). */
int http_server_reply_text(struct mg_connection *conn, int status, const char *text);

#endif
