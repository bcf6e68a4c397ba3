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
	/* 0 is the connecting side, 1 the other; -1 while there is none. */
	int fds[2];
	bool silent;
	bool dead;
	int threads;
	struct conn *prev;
	struct conn *next;
};

struct pump {
	struct conn *conn;
	int from;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;
static pthread_t acceptor;
static struct sockaddr_in listen_addr;
static struct sockaddr_in to_addr;
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

/* Lock is held. */
static bool blocked(int from)
{
	return mode == RELAY_DROP || (mode == RELAY_DROP_TO && from == 0) ||
	       (mode == RELAY_DROP_FROM && from == 1);
}

static void mark_dead(struct conn *c)
{
	c->dead = true;
	for (int i = 0; i < 2; i++)
		if (c->fds[i] >= 0)
			shutdown(c->fds[i], SHUT_RDWR);
	pthread_cond_broadcast(&changed);
}

static void release(struct conn *c)
{
	pthread_mutex_lock(&lock);
	if (--c->threads) {
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

/* Waits while the mode stops this direction. Returns false if the connection is to end. */
static bool pass_gate(const struct conn *c, int from, bool *silent, uint32_t *wait_ms)
{
	bool live;

	pthread_mutex_lock(&lock);
	while (!c->dead && !c->silent && blocked(from))
		pthread_cond_wait(&changed, &lock);
	live = !c->dead;
	*silent = c->silent;
	*wait_ms = delay_ms;
	pthread_mutex_unlock(&lock);
	return live;
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

/* A silent connection keeps its sockets until the side that this thread reads closes it. */
static void wait_for_hangup(int fd)
{
	struct pollfd pfd = {.fd = fd, .events = POLLRDHUP};

	while (poll(&pfd, 1, -1) < 0 && errno == EINTR)
		;
}

/* Moves data until one side ends; true if the other side is to see the end. */
static bool pump_data(struct conn *c, int from, char *buf)
{
	uint64_t *bytes = from == 0 ? &stats.bytes_to : &stats.bytes_from;
	uint32_t wait_ms;
	bool silent = false;

	for (;;) {
		ssize_t n = recv(c->fds[from], buf, CHUNK_BYTES, 0);

		if (n < 0 && errno == EINTR)
			continue;
		if (!pass_gate(c, from, &silent, &wait_ms))
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

static void *run_pump(void *arg)
{
	struct pump p = *(struct pump *)arg;
	char *buf = malloc(CHUNK_BYTES);

	free(arg);
	if (buf && pump_data(p.conn, p.from, buf)) {
		shutdown(p.conn->fds[1 - p.from], SHUT_WR);
		shutdown(p.conn->fds[p.from], SHUT_RD);
	}
	free(buf);
	release(p.conn);
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

static void start_pump(struct conn *c, int from)
{
	struct pump *p = malloc(sizeof(*p));

	if (!p)
		abort();
	*p = (struct pump){.conn = c, .from = from};
	pthread_mutex_lock(&lock);
	c->threads++;
	pthread_mutex_unlock(&lock);
	start_thread(run_pump, p);
}

/* Connects to the other side once the mode lets it, then starts both directions. */
static void *run_conn(void *arg)
{
	struct conn *c = arg;
	int one = 1;
	uint32_t wait_ms;
	bool silent;
	int fd = -1;

	if (pass_gate(c, 0, &silent, &wait_ms) && !silent) {
		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		if (fd >= 0 && connect(fd, (struct sockaddr *)&to_addr, sizeof(to_addr)) < 0) {
			close(fd);
			fd = -1;
		}
	}
	if (fd >= 0) {
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		pthread_mutex_lock(&lock);
		c->fds[1] = fd;
		if (c->dead)
			mark_dead(c);
		pthread_mutex_unlock(&lock);
		start_pump(c, 0);
		start_pump(c, 1);
	}
	release(c);
	return NULL;
}

/* Lock is held. Returns NULL if there is nothing to accept. */
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
	c->threads = 1;
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
		/* The listener may have been closed meanwhile, so it is read again under the lock. */
		pthread_mutex_lock(&lock);
		c = accept_conn();
		pthread_mutex_unlock(&lock);
		if (c)
			start_thread(run_conn, c);
	}
	return arg;
}

int relay_start(const char *listen_on, const char *to, struct br_error *err)
{
	standin_cond_init(&changed);
	if (parse_address(listen_on, &listen_addr) || parse_address(to, &to_addr))
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

/* Lock is held. */
static void close_all(void)
{
	/* A listener that another thread polls stays open after close(); shutdown() ends it. */
	if (listen_fd >= 0) {
		shutdown(listen_fd, SHUT_RDWR);
		close(listen_fd);
	}
	listen_fd = -1;
	for (struct conn *c = conns; c; c = c->next)
		mark_dead(c);
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
		if (c->dead || c->silent)
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
