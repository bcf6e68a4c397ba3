/**
 * @file conn_pool.h
 * Client of one HTTP server over pooled keep-alive connections, one call at a time on each.
 */
#ifndef NET_CONN_POOL_H
#define NET_CONN_POOL_H

#include "net/http_conn.h"
#include "net/timer.h"

struct conn_pool;
struct http_call;

/** How a call ended. */
enum http_call_result {
	/** The complete answer to this call was received. */
	HTTP_CALL_ANSWERED,
	/** Nothing was sent: the connection could not be established. */
	HTTP_CALL_NOT_SENT,
	/** Sent, but no complete answer was received; the server may have processed the request. */
	HTTP_CALL_LOST,
};

/** Whether a received answer belongs to a call. */
enum http_answer_match {
	/** An answer to another request, which is skipped. */
	HTTP_ANSWER_OTHER,
	/** It names the request of the call. */
	HTTP_ANSWER_OWN,
	/**
	 * It names no request. It is taken for the call's answer, and the connection is closed: a
	 * copy of it that came later could not be told from the answer to the next call.
	 */
	HTTP_ANSWER_UNNAMED,
};

/** One call, embedded by its owner; it must stay valid until done is called or it is cancelled. */
struct http_call {
	/** Set by the owner. msg is the answer, owned by the callee; NULL with a negative err. */
	void (*done)(struct http_call *call, enum http_call_result result, struct http_msg *msg,
		     int err);
	/**
	 * Optional; without it each answer is the call's own. The call is lost if a server sends
	 * many answers to other requests.
	 */
	enum http_answer_match (*match)(struct http_call *call, const struct http_msg *msg);
	/**
	 * Time after sending at which an unanswered call ends with -ETIMEDOUT; 0 for none.
	 * Connecting is limited by conn_pool_cfg.connect_timeout_ms instead.
	 */
	uint64_t timeout_ms;
	/** The request is HEAD. */
	bool head;
	/** Maximum idle time of a connection that is reused for the call; 0 for no limit. */
	uint64_t max_idle_ms;
	/** Private to the pool. */
	struct conn_pool *pool;
	struct http_conn *conn;
	struct buf bytes;
	struct timer *timer;
	/** Answers that were skipped: interim ones and those to other requests. */
	uint32_t n_skipped;
	bool sent;
};

struct conn_pool_cfg {
	struct sockaddr_in addr;
	struct http_limits limits;
	uint64_t connect_timeout_ms;
	/** Maximum idle time of a connection; shorter if the server's Keep-Alive field says so. */
	uint64_t idle_ms;
	/** Maximum number of idle connections. */
	uint32_t idle_max;
};

struct conn_pool *conn_pool_create(uv_loop_t *loop, const struct conn_pool_cfg *cfg);

/** Closes idle connections and frees the pool. All calls must have ended; NULL is allowed. */
void conn_pool_destroy(struct conn_pool *p);

/**
 * Sends a request on an idle or a new connection; takes over the bytes and empties the buffer.
 * Never calls done before it returns.
 */
void conn_pool_send(struct conn_pool *p, struct http_call *call, struct buf *bytes);

/** Ends a call without a callback by closing its connection. */
void http_call_cancel(struct http_call *call);

/** True between conn_pool_send() and the end of the call. */
bool http_call_active(const struct http_call *call);

/** Closes connections that have been idle too long; call about once a second. */
void conn_pool_sweep(struct conn_pool *p);

/** Closes all idle connections, for example after one proved dead. */
void conn_pool_drop_idle(struct conn_pool *p);

/** Number of connections, including idle ones and those being established. */
uint32_t conn_pool_open_count(const struct conn_pool *p);

/** Number of connections opened since the pool was created. */
uint64_t conn_pool_total_opened(const struct conn_pool *p);

#endif
