#include "common/http_server.h"

#include "briarreel/error.h"
#include "common/http_client.h"

#include <civetweb.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Maximum size of the status line with the Content-Length and Connection headers. */
#define FIXED_HEAD_BYTES 256
/* Initial buffer size for a request body of unknown length; doubled as needed. */
#define INITIAL_BODY_BYTES 16384
/* Limit of the unread body bytes that are discarded before the connection is closed. */
#define DISCARD_MAX_BYTES (64UL << 20)

struct http_server {
	struct mg_context *ctx;
	http_handler handler;
	void *user_data;
};

static int begin_request(struct mg_connection *conn)
{
	struct http_server *srv = mg_get_user_data(mg_get_context(conn));

	srv->handler(conn, srv->user_data);
	return 1;
}

/*
 * By default CivetWeb writes messages to standard error in a format of its own. Callers get
 * failures as return values, so these messages are discarded.
 */
static int discard_log_message(const struct mg_connection *conn, const char *message)
{
	(void)conn;
	(void)message;
	return 1;
}

struct http_server *http_server_create(const struct http_server_config *cfg, http_handler handler,
				       void *user_data, struct br_error *err)
{
	/* With a log_access callback CivetWeb calls localtime() for each request: a data race. */
	struct mg_callbacks callbacks = {.begin_request = begin_request,
					 .log_message = discard_log_message};
	char workers[16];
	char keep_alive[16];
	const char *options[] = {"listening_ports",
				 cfg->listen,
				 "num_threads",
				 workers,
				 "enable_keep_alive",
				 "yes",
				 "keep_alive_timeout_ms",
				 keep_alive,
				 "request_timeout_ms",
				 keep_alive,
				 "tcp_nodelay",
				 "1",
				 "decode_url",
				 "no",
				 "connection_queue",
				 "1024",
				 "listen_backlog",
				 "1024",
				 NULL};
	struct http_server *srv = calloc(1, sizeof(*srv));

	if (!srv) {
		br_error_set(err, -ENOMEM, BR_STEP_CONNECT, cfg->listen, "out of memory");
		return NULL;
	}
	snprintf(workers, sizeof(workers), "%u", cfg->workers);
	snprintf(keep_alive, sizeof(keep_alive), "%u", cfg->keep_alive_ms);
	srv->handler = handler;
	srv->user_data = user_data;
	srv->ctx = mg_start(&callbacks, srv, options);
	if (!srv->ctx) {
		br_error_set(err, -EADDRINUSE, BR_STEP_CONNECT, cfg->listen, "cannot listen");
		free(srv);
		return NULL;
	}
	return srv;
}

void http_server_destroy(struct http_server *srv)
{
	if (!srv)
		return;
	mg_stop(srv->ctx);
	free(srv);
}

int http_server_port(const struct http_server *srv)
{
	struct mg_server_port ports[1];

	if (mg_get_server_ports(srv->ctx, 1, ports) < 1)
		return 0;
	return ports[0].port;
}

/*
 * Implementations differ in how they read a request with several Content-Length headers, or with
 * both Content-Length and Transfer-Encoding (RFC 9112, 6.3), so it is refused.
 */
static bool framing_is_ambiguous(const struct mg_request_info *ri)
{
	int n = 0;

	for (int i = 0; i < ri->num_headers; i++)
		n += !strcasecmp(ri->http_headers[i].name, "Content-Length") ||
		     !strcasecmp(ri->http_headers[i].name, "Transfer-Encoding");
	return n > 1;
}

static int read_body(struct mg_connection *conn, size_t max_bytes, char **body, size_t *len)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	long long content_length = ri->content_length;
	size_t cap = content_length >= 0 ? (size_t)content_length : INITIAL_BODY_BYTES;
	size_t used = 0;
	char *buf;

	if (framing_is_ambiguous(ri))
		return -EBADMSG;
	if (content_length >= 0 && (unsigned long long)content_length > max_bytes)
		return -EMSGSIZE;
	buf = malloc(cap + 1);
	if (!buf)
		return -ENOMEM;
	while (content_length < 0 || used < (size_t)content_length) {
		int n;

		if (used == cap) {
			char *grown;

			cap = cap * 2 > max_bytes ? max_bytes : cap * 2;
			grown = used == max_bytes ? NULL : realloc(buf, cap + 1);
			if (!grown) {
				free(buf);
				return -EMSGSIZE;
			}
			buf = grown;
		}
		n = mg_read(conn, buf + used, cap - used);
		if (n < 0 && mg_get_header(conn, "Transfer-Encoding")) {
			/* A chunk is malformed, or the last chunk is missing. */
			free(buf);
			return -EBADMSG;
		}
		if (n <= 0)
			break;
		used += (size_t)n;
	}
	if (content_length >= 0 && used != (size_t)content_length) {
		free(buf);
		return -EBADMSG;
	}
	buf[used] = '\0';
	*body = buf;
	*len = used;
	return 0;
}

/*
 * Reads and discards the rest of a request body before its connection is closed. Closing a socket
 * with unread data resets the connection, and the peer may lose the reply. CivetWeb reads the rest
 * of a body only on connections that stay open.
 */
static void discard_body(struct mg_connection *conn)
{
	char chunk[4096];
	size_t total = 0;
	int n;

	do {
		n = mg_read(conn, chunk, sizeof(chunk));
		total += n > 0 ? (size_t)n : 0;
	} while (n > 0 && total < DISCARD_MAX_BYTES);
}

int http_server_read_body(struct mg_connection *conn, size_t max_bytes, char **body, size_t *len)
{
	int ret = read_body(conn, max_bytes, body, len);

	/*
	 * The rest of a malformed body would be parsed as the next request. After a body that is
	 * only too large, CivetWeb itself reads the rest.
	 */
	if (ret == -EBADMSG)
		mg_disable_keep_alive(conn);
	return ret;
}

/* Upper bound of the size of a reply's status line and headers. */
static size_t head_size(const struct http_reply *reply)
{
	size_t bytes = FIXED_HEAD_BYTES;

	for (size_t i = 0; i < reply->n_headers; i++)
		bytes += strlen(reply->headers[i].name) + strlen(reply->headers[i].value) + 4;
	return bytes;
}

int http_server_reply(struct mg_connection *conn, const struct http_reply *reply)
{
	size_t head_bytes = head_size(reply);
	char *buf = malloc(head_bytes + reply->body_len);
	bool bodyless = reply->status == 204 || reply->status == 304;
	size_t len;
	int n;
	int ret;

	if (!buf)
		return -ENOMEM;
	if (reply->close) {
		discard_body(conn);
		mg_disable_keep_alive(conn);
	}
	n = snprintf(buf, head_bytes, "HTTP/1.1 %d %s\r\n%s", reply->status,
		     mg_get_response_code_text(conn, reply->status),
		     reply->close ? "Connection: close\r\n" : "");
	len = (size_t)n;
	/* These two statuses never have a body, and 204 must not have a length (RFC 9110, 8.6). */
	if (!bodyless)
		len += (size_t)snprintf(buf + len, head_bytes - len, "Content-Length: %zu\r\n",
					reply->body_len);
	for (size_t i = 0; i < reply->n_headers; i++) {
		n = snprintf(buf + len, head_bytes - len, "%s: %s\r\n", reply->headers[i].name,
			     reply->headers[i].value);
		len += (size_t)n;
	}
	memcpy(buf + len, "\r\n", 2);
	len += 2;
	if (reply->body_len && !bodyless) {
		memcpy(buf + len, reply->body, reply->body_len);
		len += reply->body_len;
	}
	ret = mg_write(conn, buf, len) == (int)len ? 0 : -EPIPE;
	free(buf);
	return ret;
}

int http_server_reply_text(struct mg_connection *conn, int status, const char *text)
{
	struct http_header type = {.name = "Content-Type", .value = "text/plain; charset=utf-8"};
	struct http_reply reply = {.status = status,
				   .headers = &type,
				   .n_headers = 1,
				   .body = text,
				   .body_len = strlen(text)};

	return http_server_reply(conn, &reply);
}
