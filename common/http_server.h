/**
 * @file http_server.h
 * HTTP/1.1 server over CivetWeb: one handler for all paths, whole bodies, whole replies.
 */
#ifndef COMMON_HTTP_SERVER_H
#define COMMON_HTTP_SERVER_H

#include <stddef.h>
#include <stdint.h>

struct br_error;
struct http_header;
struct http_server;
struct mg_connection;

/** Settings of a listener. Each kept-alive connection occupies one worker. */
struct http_server_config {
	/** "ip:port". Port 0 lets the system choose; see http_server_port(). */
	const char *listen;
	uint32_t workers;
	/** Time after which an idle connection is closed. */
	uint32_t keep_alive_ms;
};

/** A reply; body may be NULL. headers ends after n_headers entries. */
struct http_reply {
	int status;
	const struct http_header *headers;
	size_t n_headers;
	const void *body;
	size_t body_len;
	/** Closes the connection after the reply. */
	int close;
};

/** Handles one request on a worker thread; must call http_server_reply() exactly once. */
typedef void (*http_handler)(struct mg_connection *conn, void *user_data);

/** Starts a listener; NULL with err filled if it cannot listen. */
struct http_server *http_server_create(const struct http_server_config *cfg, http_handler handler,
				       void *user_data, struct br_error *err);

/** Stops listening, waits for the running handlers and releases the server. */
void http_server_destroy(struct http_server *srv);

/** Port the server listens on. */
int http_server_port(const struct http_server *srv);

/**
 * Reads the whole body into memory that the caller frees. Returns 0, -EMSGSIZE if it is larger
 * than max_bytes, -EBADMSG if it is truncated.
 */
int http_server_read_body(struct mg_connection *conn, size_t max_bytes, char **body, size_t *len);

/** Writes a whole reply; returns 0 or -EPIPE if the connection is gone. */
int http_server_reply(struct mg_connection *conn, const struct http_reply *reply);

/** Writes a reply with a text body and no further headers. */
int http_server_reply_text(struct mg_connection *conn, int status, const char *text);

#endif
