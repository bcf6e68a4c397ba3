#include "relay.h"

#include "briarreel/error.h"
#include "common/clock.h"
#include "standins/standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#define CHUNK_BYTES 65536
#define LISTEN_BACKLOG 1024
#define ACCEPT_POLL_MS 20
#define STOP_POLL_MS 5

struct conn {
	/* Sockets to the client (0) and to the server (1), or -1. */
	int fds[2];
	bool silent;
	bool closing;
	/* Threads that use the connection. */
	int n_threads;
	struct conn *prev;
	struct conn *next;
};

/* One direction of a connection. */
struct forwarder {
	struct conn *conn;
	/* Index in conn->fds of the socket that is read; the other one is written. */
	int from;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;
static pthread_t acceptor;
static struct sockaddr_in listen_addr;
static struct sockaddr_in server_addr;
static int listen_fd = -1;
static enum relay_mode mode;
static uint32_t delay_ms;
static bool stopping;
static struct conn *conns;
static struct relay_stats stats;

static int parse_address(const char *text, struct sockaddr_in *sa)
{
	char host[BR_NODE_ID_BYTES];
	char *colon;

	br_copy_text(host, sizeof(host), text);
	colon = strrchr(host, ':');
	if (!colon)
		return -EINVAL;
	*colon = '\0';
	*sa = (struct sockaddr_in){.sin_family = AF_INET,
				   .sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10))};
	return inet_pton(AF_INET, host, &sa->sin_addr) == 1 ? 0 : -EINVAL;
}

static int open_listener(void)
{
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int ret;

	if (fd < 0)
		return -errno;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&listen_addr, sizeof(listen_addr)) < 0 ||
	    listen(fd, LISTEN_BACKLOG) < 0) {
		ret = -errno;
		close(fd);
		return ret;
	}
	return fd;
}

/* True if the mode holds back data from fds[from]; lock is held. */
static bool blocked(int from)
{
	return mode == RELAY_DROP || (mode == RELAY_DROP_TO && from == 0) ||
	       (mode == RELAY_DROP_FROM && from == 1);
}

/* Shuts both sockets down, so that the threads of the connection end; lock is held. */
static void shut_down_conn(struct conn *c)
{
	c->closing = true;
	for (int i = 0; i < 2; i++)
		if (c->fds[i] >= 0)
			shutdown(c->fds[i], SHUT_RDWR);
	pthread_cond_broadcast(&changed);
}

/* Called once by each thread of the connection; the last call frees it. */
static void put_conn(struct conn *c)
{
	pthread_mutex_lock(&lock);
	if (--c->n_threads) {
		pthread_mutex_unlock(&lock);
		return;
	}
	if (c->prev)
		c->prev->next = c->next;
	else
		conns = c->next;
	if (c->next)
		c->next->prev = c->prev;
	stats.open--;
	if (c->silent)
		stats.silent--;
	for (int i = 0; i < 2; i++)
		if (c->fds[i] >= 0)
			close(c->fds[i]);
	free(c);
	pthread_mutex_unlock(&lock);
}

/* Waits while the mode holds this direction back. Returns false if the connection is closing. */
static bool wait_while_blocked(const struct conn *c, int from, bool *silent, uint32_t *wait_ms)
{
	bool still_open;

	pthread_mutex_lock(&lock);
	while (!c->closing && !c->silent && blocked(from))
		pthread_cond_wait(&changed, &lock);
	still_open = !c->closing;
	*silent = c->silent;
	*wait_ms = delay_ms;
	pthread_mutex_unlock(&lock);
	return still_open;
}

static bool write_all(int fd, const char *buf, size_t len)
{
	while (len) {
		ssize_t n = send(fd, buf, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		buf += n;
		len -= (size_t)n;
	}
	return true;
}

/* Keeps the sockets of a silent connection open until the peer at fd closes it. */
static void wait_for_hangup(int fd)
{
	struct pollfd pfd = {.fd = fd, .events = POLLRDHUP};

	while (poll(&pfd, 1, -1) < 0 && errno == EINTR)
		;
}

/* Forwards data until a side closes; returns true if the other side must see the end of data. */
static bool forward_data(struct conn *c, int from, char *buf)
{
	uint64_t *bytes = from == 0 ? &stats.bytes_to : &stats.bytes_from;
	uint32_t wait_ms;
	bool silent = false;

	for (;;) {
		ssize_t n = recv(c->fds[from], buf, CHUNK_BYTES, 0);

		if (n < 0 && errno == EINTR)
			continue;
		if (!wait_while_blocked(c, from, &silent, &wait_ms))
			return true;
		if (silent) {
			if (n > 0)
				wait_for_hangup(c->fds[from]);
			return false;
		}
		if (n <= 0)
			return true;
		if (wait_ms)
			clock_sleep_ms(wait_ms);
		if (!write_all(c->fds[1 - from], buf, (size_t)n))
			return true;
		pthread_mutex_lock(&lock);
		*bytes += (uint64_t)n;
		pthread_mutex_unlock(&lock);
	}
}

static void *run_forwarder(void *arg)
{
	struct forwarder f = *(struct forwarder *)arg;
	char *buf = malloc(CHUNK_BYTES);

	free(arg);
	if (buf && forward_data(f.conn, f.from, buf)) {
		shutdown(f.conn->fds[1 - f.from], SHUT_WR);
		shutdown(f.conn->fds[f.from], SHUT_RD);
	}
	free(buf);
	put_conn(f.conn);
	return NULL;
}

static void start_thread(void *(*run)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attr, run, arg) != 0)
		abort();
	pthread_attr_destroy(&attr);
}

static void start_forwarder(struct conn *c, int from)
{
	struct forwarder *f = malloc(sizeof(*f));

	if (!f)
		abort();
	*f = (struct forwarder){.conn = c, .from = from};
	pthread_mutex_lock(&lock);
	c->n_threads++;
	pthread_mutex_unlock(&lock);
	start_thread(run_forwarder, f);
}

/* Connects to the server as soon as the mode allows it, then starts both directions. */
static void *run_conn(void *arg)
{
	struct conn *c = arg;
	int one = 1;
	uint32_t wait_ms;
	bool silent;
	int fd = -1;

	if (wait_while_blocked(c, 0, &silent, &wait_ms) && !silent) {
		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		if (fd >= 0 &&
		    connect(fd, (struct sockaddr *)&server_addr, sizeof(server_addr)) < 0) {
			close(fd);
			fd = -1;
		}
	}
	if (fd >= 0) {
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		pthread_mutex_lock(&lock);
		c->fds[1] = fd;
		if (c->closing)
			shut_down_conn(c);
		pthread_mutex_unlock(&lock);
		start_forwarder(c, 0);
		start_forwarder(c, 1);
	}
	put_conn(c);
	return NULL;
}

/* Returns NULL if there is nothing to accept; lock is held. */
static struct conn *accept_conn(void)
{
	int fd = listen_fd >= 0 ? accept4(listen_fd, NULL, NULL, SOCK_CLOEXEC) : -1;
	struct conn *c;
	int one = 1;

	if (fd < 0)
		return NULL;
	c = calloc(1, sizeof(*c));
	if (!c)
		abort();
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	c->fds[0] = fd;
	c->fds[1] = -1;
	c->n_threads = 1;
	c->next = conns;
	if (conns)
		conns->prev = c;
	conns = c;
	stats.accepted++;
	stats.open++;
	return c;
}

static void *run_acceptor(void *arg)
{
	bool stop = false;

	while (!stop) {
		struct pollfd pfd = {.events = POLLIN};
		struct conn *c;

		pthread_mutex_lock(&lock);
		pfd.fd = listen_fd;
		stop = stopping;
		pthread_mutex_unlock(&lock);
		poll(&pfd, 1, ACCEPT_POLL_MS);
		/* listen_fd is read again under the lock, as it may have been closed meanwhile. */
		pthread_mutex_lock(&lock);
		c = accept_conn();
		pthread_mutex_unlock(&lock);
		if (c)
			start_thread(run_conn, c);
	}
	return arg;
}

int relay_start(const char *listen_on, const char *server, struct br_error *err)
{
	standin_cond_init(&changed);
	if (parse_address(listen_on, &listen_addr) || parse_address(server, &server_addr))
		return br_error_set(err, -EINVAL, BR_STEP_PARSE, listen_on,
				    "--listen or --to is not ip:port");
	listen_fd = open_listener();
	if (listen_fd < 0)
		return br_error_set(err, listen_fd, BR_STEP_CONNECT, listen_on, "cannot listen: %s",
				    strerror(-listen_fd));
	if (pthread_create(&acceptor, NULL, run_acceptor, NULL) != 0)
		abort();
	return 0;
}

/* Closes the listener and shuts all connections down; lock is held. */
static void close_all(void)
{
	/* A listener that another thread polls stays open after close(); shutdown() ends it. */
	if (listen_fd >= 0) {
		shutdown(listen_fd, SHUT_RDWR);
		close(listen_fd);
	}
	listen_fd = -1;
	for (struct conn *c = conns; c; c = c->next)
		shut_down_conn(c);
}

void relay_stop(void)
{
	pthread_mutex_lock(&lock);
	stopping = true;
	close_all();
	pthread_mutex_unlock(&lock);
	pthread_join(acceptor, NULL);
	pthread_mutex_lock(&lock);
	close_all();
	while (conns) {
		pthread_mutex_unlock(&lock);
		clock_sleep_ms(STOP_POLL_MS);
		pthread_mutex_lock(&lock);
	}
	pthread_mutex_unlock(&lock);
}

int relay_set_mode(enum relay_mode new_mode)
{
	int ret = 0;

	pthread_mutex_lock(&lock);
	if (new_mode == RELAY_REFUSE) {
		close_all();
	} else if (listen_fd < 0 && !stopping) {
		listen_fd = open_listener();
		ret = listen_fd < 0 ? listen_fd : 0;
	}
	mode = new_mode;
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
	return ret;
}

void relay_set_delay(uint32_t ms)
{
	pthread_mutex_lock(&lock);
	delay_ms = ms;
	pthread_mutex_unlock(&lock);
}

uint32_t relay_blackhole(void)
{
	uint32_t n = 0;

	pthread_mutex_lock(&lock);
	for (struct conn *c = conns; c; c = c->next) {
		if (c->closing || c->silent)
			continue;
		c->silent = true;
		stats.silent++;
		n++;
	}
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
	return n;
}

void relay_get_stats(struct relay_stats *out)
{
	pthread_mutex_lock(&lock);
	*out = stats;
	pthread_mutex_unlock(&lock);
}
