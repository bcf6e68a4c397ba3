/**
 * @file conn_watch.h
 * Detects callers that close their connection while their request is being served.
 *
 * CivetWeb does not notify a handler when its peer disconnects, so a thread polls the sockets of
 * long-running requests.
 */
#ifndef NODE_CONN_WATCH_H
#define NODE_CONN_WATCH_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

struct conn_watch;
struct mg_connection;

/** Called once, on the watch thread, when the peer of a watched connection has closed it. */
typedef void (*conn_closed_cb)(void *arg);

/** A watched request, allocated on the stack of its handler. */
struct conn_watch_entry {
	uint16_t remote_port;
	uint16_t local_port;
	/** In network byte order. */
	uint32_t remote_ip;
	/** Socket of the connection; -1 until it is found. */
	int fd;
	/** Time of conn_watch_begin(). */
	uint64_t started_us;
	/** The peer has closed the connection; cb was or is being called. */
	bool closed;
	/** True while the callback runs; conn_watch_end() waits for it. */
	bool in_callback;
	conn_closed_cb cb;
	void *arg;
	struct conn_watch_entry *prev;
	struct conn_watch_entry *next;
};

/** Starts the watch thread. Returns NULL on failure. */
struct conn_watch *conn_watch_create(void);
void conn_watch_destroy(struct conn_watch *w);

/**
 * Watches the connection of a request until conn_watch_end(). Initializes e, which must stay valid
 * until then.
 */
void conn_watch_begin(struct conn_watch *w, struct conn_watch_entry *e,
		      const struct mg_connection *conn, conn_closed_cb cb, void *arg);

/**
 * Checks a connection immediately. Returns true if its peer has closed it. Makes system calls for
 * each open descriptor, so it should be called rarely.
 */
bool conn_watch_is_closed(const struct mg_connection *conn);

/** Stops watching; waits for a running callback. The callback is not called afterwards. */
void conn_watch_end(struct conn_watch *w, struct conn_watch_entry *e);

#endif
