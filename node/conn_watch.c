#include "node/conn_watch.h"

#include "briarreel/types.h"
#include "common/clock.h"

#include <arpa/inet.h>
#include <civetweb.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/socket.h>

/*
 * Age of a request at which the search for its socket starts. Most requests are answered earlier,
 * which saves the search.
 */
#define WATCH_MIN_AGE_US (50 * BR_US_PER_MS)
#define WATCH_INTERVAL_MS 50
/*
 * A search through the descriptors ends after this many consecutive closed ones. The kernel assigns
 * the lowest free descriptor, so descriptors above such a gap are unlikely to be in use.
 */
#define FD_GAP_MAX 256

struct conn_watch {
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t callback_done;
	bool stop;
	struct conn_watch_entry *head;
};

/* Matches a socket to a connection by its addresses, as CivetWeb does not expose the descriptor. */
static bool fd_matches(int fd, const struct conn_watch_entry *e)
{
	struct sockaddr_in sa = {0};
	socklen_t len = sizeof(sa);

	if (getpeername(fd, (struct sockaddr *)&sa, &len) || sa.sin_family != AF_INET ||
	    ntohs(sa.sin_port) != e->remote_port || sa.sin_addr.s_addr != e->remote_ip)
		return false;
	len = sizeof(sa);
	return !getsockname(fd, (struct sockaddr *)&sa, &len) &&
	       ntohs(sa.sin_port) == e->local_port;
}

static void find_fds(struct conn_watch *w, uint64_t now_us)
{
	bool needed = false;
	int gap = 0;

	for (struct conn_watch_entry *e = w->head; e; e = e->next)
		needed |= e->fd < 0 && now_us - e->started_us > WATCH_MIN_AGE_US;
	for (int fd = 3; needed && gap < FD_GAP_MAX; fd++) {
		struct sockaddr_in sa = {0};
		socklen_t len = sizeof(sa);

		if (getpeername(fd, (struct sockaddr *)&sa, &len)) {
			gap = errno == EBADF ? gap + 1 : 0;
			continue;
		}
		gap = 0;
		for (struct conn_watch_entry *e = w->head; e; e = e->next)
			if (e->fd < 0 && ntohs(sa.sin_port) == e->remote_port && fd_matches(fd, e))
				e->fd = fd;
	}
}

static bool peer_closed(int fd)
{
	char byte;
	ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

static void check_entries(struct conn_watch *w)
{
	struct conn_watch_entry *e = w->head;

	while (e) {
		if (e->fd < 0 || e->closed || !peer_closed(e->fd)) {
			e = e->next;
			continue;
		}
		e->closed = true;
		e->in_callback = true;
		pthread_mutex_unlock(&w->lock);
		e->cb(e->arg);
		pthread_mutex_lock(&w->lock);
		e->in_callback = false;
		pthread_cond_broadcast(&w->callback_done);
		/* The list may have changed while the lock was released. */
		e = w->head;
	}
}

static void *watch_main(void *arg)
{
	struct conn_watch *w = arg;

	pthread_mutex_lock(&w->lock);
	while (!w->stop) {
		find_fds(w, clock_now_us());
		check_entries(w);
		pthread_mutex_unlock(&w->lock);
		clock_sleep_ms(WATCH_INTERVAL_MS);
		pthread_mutex_lock(&w->lock);
	}
	pthread_mutex_unlock(&w->lock);
	return NULL;
}

struct conn_watch *conn_watch_create(void)
{
	struct conn_watch *w = calloc(1, sizeof(*w));

	if (!w)
		return NULL;
	pthread_mutex_init(&w->lock, NULL);
	pthread_cond_init(&w->callback_done, NULL);
	if (pthread_create(&w->thread, NULL, watch_main, w)) {
		free(w);
		return NULL;
	}
	return w;
}

void conn_watch_destroy(struct conn_watch *w)
{
	if (!w)
		return;
	pthread_mutex_lock(&w->lock);
	w->stop = true;
	pthread_mutex_unlock(&w->lock);
	pthread_join(w->thread, NULL);
	pthread_cond_destroy(&w->callback_done);
	pthread_mutex_destroy(&w->lock);
	free(w);
}

static struct conn_watch_entry make_entry(const struct mg_connection *conn)
{
	const struct mg_request_info *ri = mg_get_request_info(conn);
	struct in_addr addr = {0};

	inet_pton(AF_INET, ri->remote_addr, &addr);
	return (struct conn_watch_entry){.remote_port = (uint16_t)ri->remote_port,
					 .local_port = (uint16_t)ri->server_port,
					 .remote_ip = addr.s_addr,
					 .fd = -1};
}

bool conn_watch_is_closed(const struct mg_connection *conn)
{
	struct conn_watch_entry e = make_entry(conn);
	int gap = 0;

	for (int fd = 3; gap < FD_GAP_MAX; fd++) {
		if (fd_matches(fd, &e))
			return peer_closed(fd);
		gap = fcntl(fd, F_GETFD) < 0 ? gap + 1 : 0;
	}
	/* No socket matches a reset connection, as its socket has no peer address any more. */
	return true;
}

void conn_watch_begin(struct conn_watch *w, struct conn_watch_entry *e,
		      const struct mg_connection *conn, conn_closed_cb cb, void *arg)
{
	*e = make_entry(conn);
	e->started_us = clock_now_us();
	e->cb = cb;
	e->arg = arg;
	pthread_mutex_lock(&w->lock);
	e->next = w->head;
	if (w->head)
		w->head->prev = e;
	w->head = e;
	pthread_mutex_unlock(&w->lock);
}

void conn_watch_end(struct conn_watch *w, struct conn_watch_entry *e)
{
	pthread_mutex_lock(&w->lock);
	while (e->in_callback)
		pthread_cond_wait(&w->callback_done, &w->lock);
	if (e->prev)
		e->prev->next = e->next;
	else
		w->head = e->next;
	if (e->next)
		e->next->prev = e->prev;
	pthread_mutex_unlock(&w->lock);
}
