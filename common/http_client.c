#include "common/http_client.h"

#include "briarreel/error.h"
#include "common/client_conn.h"
#include "common/clock.h"

#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define PEER_BUCKETS 1024
/* Limit of the request line and headers of a request, and of the headers of a response. */
#define MAX_HEADER_BYTES 16384

struct idle_conn {
	struct client_conn *conn;
	uint64_t idle_since_us;
	struct idle_conn *next;
};

struct peer {
	char address[BR_NODE_ID_BYTES];
	uint32_t n_idle;
	struct idle_conn *idle;
	struct peer *next;
};

struct http_pool {
	struct http_pool_config cfg;
	pthread_mutex_t lock;
	struct peer *peers[PEER_BUCKETS];
};

struct http_pool *http_pool_create(const struct http_pool_config *cfg)
{
	struct http_pool *pool = calloc(1, sizeof(*pool));

	if (!pool)
		return NULL;
	pool->cfg = *cfg;
	pthread_mutex_init(&pool->lock, NULL);
	return pool;
}

static void close_list(struct idle_conn *list)
{
	while (list) {
		struct idle_conn *c = list;

		list = c->next;
		client_conn_close(c->conn);
		free(c);
	}
}

void http_pool_destroy(struct http_pool *pool)
{
	if (!pool)
		return;
	for (size_t i = 0; i < PEER_BUCKETS; i++) {
		while (pool->peers[i]) {
			struct peer *p = pool->peers[i];

			pool->peers[i] = p->next;
			close_list(p->idle);
			free(p);
		}
	}
	pthread_mutex_destroy(&pool->lock);
	free(pool);
}

/* Returns the peer's entry and adds it if there is none; NULL if out of memory. */
static struct peer *find_or_add_peer(struct http_pool *pool, const char *address)
{
	size_t i = br_hash_str(address, 0) % PEER_BUCKETS;
	struct peer *p;

	for (p = pool->peers[i]; p; p = p->next)
		if (!strcmp(p->address, address))
			return p;
	p = calloc(1, sizeof(*p));
	if (!p)
		return NULL;
	br_copy_text(p->address, sizeof(p->address), address);
	p->next = pool->peers[i];
	pool->peers[i] = p;
	return p;
}

/*
 * Tests whether an idle connection can carry a request: it has not expired, the peer has not closed
 * it, and nothing has arrived on it that would be read as the response.
 */
static bool is_usable(const struct http_pool *pool, const struct idle_conn *c, uint64_t now_us)
{
	uint64_t max_idle_us = (uint64_t)pool->cfg.max_idle_ms * BR_US_PER_MS;

	return now_us - c->idle_since_us < max_idle_us && client_conn_is_idle(c->conn);
}

/*
 * Removes the most recently used idle connection to a peer that is usable from the pool and returns
 * it; NULL if there is none. Closes the others found before it.
 */
static struct client_conn *take_idle(struct http_pool *pool, const char *address)
{
	struct idle_conn *unusable = NULL;
	struct client_conn *conn = NULL;
	uint64_t now_us;
	struct peer *p;

	pthread_mutex_lock(&pool->lock);
	now_us = clock_now_us();
	p = find_or_add_peer(pool, address);
	while (p && p->idle && !conn) {
		struct idle_conn *c = p->idle;

		p->idle = c->next;
		p->n_idle--;
		if (is_usable(pool, c, now_us)) {
			conn = c->conn;
			free(c);
		} else {
			c->next = unusable;
			unusable = c;
		}
	}
	pthread_mutex_unlock(&pool->lock);
	close_list(unusable);
	return conn;
}

/*
 * Closes the idle connections to a peer after one of them was found closed. Usually the peer has
 * restarted, and a request on any of the others would end with an unknown outcome.
 */
static void close_idle_conns(struct http_pool *pool, const char *address)
{
	struct idle_conn *list = NULL;
	struct peer *p;

	pthread_mutex_lock(&pool->lock);
	p = find_or_add_peer(pool, address);
	if (p) {
		list = p->idle;
		p->idle = NULL;
		p->n_idle = 0;
	}
	pthread_mutex_unlock(&pool->lock);
	close_list(list);
}

/* Returns a connection to the pool; closes it if the peer has max_idle_per_peer idle ones. */
static void put_idle(struct http_pool *pool, const char *address, struct client_conn *conn)
{
	struct idle_conn *c = malloc(sizeof(*c));
	struct peer *p;

	pthread_mutex_lock(&pool->lock);
	p = find_or_add_peer(pool, address);
	if (c && p && p->n_idle < pool->cfg.max_idle_per_peer) {
		c->conn = conn;
		c->idle_since_us = clock_now_us();
		c->next = p->idle;
		p->idle = c;
		p->n_idle++;
		c = NULL;
		conn = NULL;
	}
	pthread_mutex_unlock(&pool->lock);
	free(c);
	if (conn)
		client_conn_close(conn);
}

static struct client_conn *open_conn(struct http_pool *pool, const char *address,
				     struct br_error *err)
{
	const struct client_conn_limits limits = {.header_bytes = MAX_HEADER_BYTES,
						  .body_bytes = pool->cfg.max_body_bytes};
	struct client_conn *conn = NULL;
	int ret = client_conn_open(address, pool->cfg.connect_timeout_ms, &limits, &conn);

	if (ret == -EINVAL)
		br_error_set(err, ret, BR_STEP_CONNECT, address, "address is not ip:port");
	else if (ret)
		br_error_set(err, ret, BR_STEP_CONNECT, address, "cannot connect: %s",
			     strerror(-ret));
	return conn;
}

/* A Host header of the request overrides the peer's address. */
static const char *host_header(const struct http_request *req, const char *address)
{
	for (size_t i = 0; i < req->n_headers; i++)
		if (!strcasecmp(req->headers[i].name, "Host"))
			return req->headers[i].value;
	return address;
}

static int send_request(struct client_conn *conn, const char *address,
			const struct http_request *req)
{
	size_t cap = MAX_HEADER_BYTES + req->body_len;
	char *buf = malloc(cap);
	size_t len;
	int n;
	int ret;

	if (!buf)
		return -ENOMEM;
	n = snprintf(buf, MAX_HEADER_BYTES, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %zu\r\n",
		     req->method, req->target, host_header(req, address), req->body_len);
	len = (size_t)n;
	for (size_t i = 0; i < req->n_headers && len < MAX_HEADER_BYTES; i++) {
		if (!strcasecmp(req->headers[i].name, "Host"))
			continue;
		n = snprintf(buf + len, MAX_HEADER_BYTES - len, "%s: %s\r\n", req->headers[i].name,
			     req->headers[i].value);
		len += (size_t)n;
	}
	if (len + 2 >= MAX_HEADER_BYTES) {
		free(buf);
		return -E2BIG;
	}
	memcpy(buf + len, "\r\n", 2);
	len += 2;
	if (req->body_len)
		memcpy(buf + len, req->body, req->body_len);
	len += req->body_len;
	ret = client_conn_send(conn, buf, len, !strcmp(req->method, "HEAD"));
	free(buf);
	return ret;
}

/* Waits for the response's headers and calls on_silence every silence_ms, if that is set. */
static int await_header(struct client_conn *conn, const char *address, const struct http_wait *wait,
			struct br_error *err)
{
	uint64_t end_us = clock_now_us() + (uint64_t)wait->timeout_ms * BR_US_PER_MS;

	for (;;) {
		uint64_t silent_us = clock_now_us() + (uint64_t)wait->silence_ms * BR_US_PER_MS;
		bool checks_silence = wait->silence_ms && silent_us < end_us;
		int ret = client_conn_receive_head(conn, checks_silence ? silent_us : end_us);

		if (ret == -ECONNRESET)
			return br_error_set(err, ret, BR_STEP_RECEIVE, address,
					    "connection closed, or no valid response");
		if (ret == -EMSGSIZE)
			return br_error_set(err, ret, BR_STEP_RECEIVE, address,
					    "response headers or body are too large");
		if (ret != -ETIMEDOUT)
			return ret ? br_error_set(err, ret, BR_STEP_RECEIVE, address,
						  "response body is invalid")
				   : 0;
		if (!checks_silence)
			return br_error_set(err, ret, BR_STEP_RECEIVE, address,
					    "no response within %u ms", wait->timeout_ms);
		if (!wait->on_silence || !wait->on_silence(wait->arg))
			return br_error_set(err, -EREMOTEIO, BR_STEP_RECEIVE, address,
					    "no data received; the silence check ended the wait");
	}
}

/* Moves the headers and the body of an answer to resp; false if there are too many headers. */
static bool take_message(struct http_msg *m, bool has_body, struct http_response *resp)
{
	if (m->n_fields > HTTP_MAX_HEADERS)
		return false;
	resp->status = m->status;
	resp->n_headers = m->n_fields;
	for (uint32_t i = 0; i < m->n_fields; i++)
		resp->headers[i] = (struct http_header){.name = http_msg_field_name(m, i),
							.value = http_msg_field_value(m, i)};
	resp->header_text = m->text.data;
	m->text = (struct buf){0};
	if (!has_body)
		return true;
	resp->body_len = m->body.len;
	buf_cstr(&m->body);
	resp->body = m->body.data;
	m->body = (struct buf){0};
	return true;
}

static int receive_response(struct client_conn *conn, const char *address,
			    const struct http_wait *wait, struct http_response *resp,
			    bool *reusable, struct br_error *err)
{
	struct http_msg *m = NULL;
	int ret = await_header(conn, address, wait, err);

	if (ret)
		return ret;
	if (client_conn_framing(conn) == ANSWER_UNTIL_CLOSE)
		return br_error_set(err, -EBADMSG, BR_STEP_RECEIVE, address,
				    "response has no length, so it may be truncated");
	ret = client_conn_receive_rest(conn, &m);
	if (ret)
		return br_error_set(err, ret, BR_STEP_RECEIVE, address,
				    "response body is truncated, invalid or too large");
	*reusable = m->keep_alive;
	if (!take_message(m, client_conn_framing(conn) != ANSWER_NO_BODY, resp))
		ret = br_error_set(err, -EMSGSIZE, BR_STEP_RECEIVE, address,
				   "too many response headers");
	http_msg_destroy(m);
	return ret;
}

int http_pool_exchange(struct http_pool *pool, const char *peer, const struct http_request *req,
		       uint32_t timeout_ms, struct http_response *resp, struct br_error *err)
{
	struct http_wait wait = {.timeout_ms = timeout_ms};

	return http_pool_exchange_wait(pool, peer, req, &wait, resp, err);
}

int http_pool_exchange_wait(struct http_pool *pool, const char *peer,
			    const struct http_request *req, const struct http_wait *wait,
			    struct http_response *resp, struct br_error *err)
{
	struct client_conn *conn;
	bool reusable = false;
	int ret;

	memset(resp, 0, sizeof(*resp));
	conn = take_idle(pool, peer);
	if (!conn)
		conn = open_conn(pool, peer, err);
	if (!conn)
		return err ? err->code : -ECONNREFUSED;
	ret = send_request(conn, peer, req);
	if (ret == -E2BIG || ret == -ENOMEM) {
		put_idle(pool, peer, conn);
		return br_error_set(err, ret, BR_STEP_VALIDATE, peer,
				    "headers too large or out of memory; nothing was sent");
	}
	if (ret) {
		client_conn_close(conn);
		close_idle_conns(pool, peer);
		return br_error_set(err, ret, BR_STEP_SEND, peer, "cannot send the request");
	}
	ret = receive_response(conn, peer, wait, resp, &reusable, err);
	if (ret) {
		client_conn_close(conn);
		if (ret == -ECONNRESET)
			close_idle_conns(pool, peer);
		http_response_free(resp);
		return ret;
	}
	if (reusable)
		put_idle(pool, peer, conn);
	else
		client_conn_close(conn);
	return 0;
}

bool http_request_add(struct http_request *req, const char *name, const char *value)
{
	if (req->n_headers == HTTP_MAX_HEADERS)
		return false;
	req->headers[req->n_headers++] = (struct http_header){.name = name, .value = value};
	return true;
}

const char *http_response_header(const struct http_response *resp, const char *name)
{
	for (size_t i = 0; i < resp->n_headers; i++)
		if (!strcasecmp(resp->headers[i].name, name))
			return resp->headers[i].value;
	return NULL;
}

void http_response_free(struct http_response *resp)
{
	free(resp->header_text);
	free(resp->body);
	memset(resp, 0, sizeof(*resp));
}
