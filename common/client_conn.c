#include "common/client_conn.h"

#include "briarreel/types.h"
#include "common/clock.h"
#include "net/http_receive.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Time without progress after which sending a request or receiving a body is given up. */
#define STALL_MS 30000
#define READ_BYTES 16384
/* Interim answers after which a connection is given up. */
#define INTERIM_MAX 8
#define STATUS_FINAL_MIN 200

struct client_conn {
	int fd;
	struct http_receiver receiver;
	/** The complete answer, or NULL. */
	struct http_msg *answer;
	/** Framing of the latest answer whose head is complete. */
	enum answer_framing framing;
	uint32_t n_interim;
};

static bool on_begin(void *ctx)
{
	(void)ctx;
	return true;
}

/* What follows the answer belongs to no request. */
static bool on_message(void *ctx, struct http_msg *m)
{
	struct client_conn *c = ctx;

	if (!c->answer && m->status >= STATUS_FINAL_MIN) {
		c->answer = m;
		c->framing = c->receiver.grammar.framing;
		return true;
	}
	http_msg_destroy(m);
	return !c->answer && c->n_interim++ < INTERIM_MAX;
}

static const struct http_receiver_ops receiver_ops = {.begin = on_begin, .message = on_message};

static int parse_address(const char *address, struct sockaddr_in *out)
{
	const char *colon = strrchr(address, ':');
	char host[INET_ADDRSTRLEN];
	char *end;
	long port;

	if (!colon || (size_t)(colon - address) >= sizeof(host))
		return -EINVAL;
	memcpy(host, address, (size_t)(colon - address));
	host[colon - address] = '\0';
	port = strtol(colon + 1, &end, 10);
	if (*end || port <= 0 || port > UINT16_MAX)
		return -EINVAL;
	*out = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	return inet_pton(AF_INET, host, &out->sin_addr) == 1 ? 0 : -EINVAL;
}

/* Waits until the socket is ready. Returns 0, -ETIMEDOUT or another negative error number. */
static int wait_until(int fd, short events, uint64_t until_us)
{
	for (;;) {
		struct pollfd pfd = {.fd = fd, .events = events};
		uint64_t now_us = clock_now_us();
		uint64_t left_us = now_us < until_us ? until_us - now_us : 0;
		int n = poll(&pfd, 1, (int)((left_us + BR_US_PER_MS - 1) / BR_US_PER_MS));

		if (n > 0)
			return 0;
		if (n < 0 && errno != EINTR)
			return -errno;
		if (clock_now_us() >= until_us)
			return -ETIMEDOUT;
	}
}

static int establish(int fd, const struct sockaddr_in *addr, uint32_t timeout_ms)
{
	uint64_t until_us = clock_now_us() + timeout_ms * BR_US_PER_MS;
	socklen_t len = sizeof(int);
	int so_error = 0;
	int ret;

	if (!connect(fd, (const struct sockaddr *)addr, sizeof(*addr)))
		return 0;
	if (errno != EINPROGRESS)
		return -errno;
	ret = wait_until(fd, POLLOUT, until_us);
	if (ret)
		return ret;
	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &so_error, &len) < 0)
		return -errno;
	return -so_error;
}

int client_conn_open(const char *address, uint32_t timeout_ms,
		     const struct client_conn_limits *limits, struct client_conn **out)
{
	const struct http_limits http_limits = {.header_bytes = limits->header_bytes,
						.body_bytes = limits->body_bytes};
	struct sockaddr_in addr;
	struct client_conn *c;
	int no_delay = 1;
	int ret = parse_address(address, &addr);
	int fd;

	if (ret)
		return ret;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -errno;
	ret = establish(fd, &addr, timeout_ms);
	if (ret) {
		close(fd);
		return ret;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
	c = xcalloc(1, sizeof(*c));
	c->fd = fd;
	http_receiver_init(&c->receiver, false, &http_limits, &receiver_ops, c);
	*out = c;
	return 0;
}

void client_conn_close(struct client_conn *c)
{
	if (!c)
		return;
	close(c->fd);
	http_receiver_release(&c->receiver);
	http_msg_destroy(c->answer);
	free(c);
}

bool client_conn_is_idle(const struct client_conn *c)
{
	char byte;

	return recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

int client_conn_send(struct client_conn *c, const char *bytes, size_t len, bool to_head)
{
	c->receiver.no_body = to_head;
	c->n_interim = 0;
	while (len) {
		ssize_t n = send(c->fd, bytes, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EAGAIN) {
			int ret = wait_until(c->fd, POLLOUT,
					     clock_now_us() + STALL_MS * BR_US_PER_MS);

			if (ret)
				return ret;
			continue;
		}
		if (n < 0 && errno != EINTR)
			return -errno;
		if (n > 0) {
			bytes += n;
			len -= (size_t)n;
		}
	}
	return 0;
}

static int error_of_status(uint16_t status)
{
	return status == 413 || status == 431 ? -EMSGSIZE : -EPROTO;
}

/* Receives what arrives next. Returns 0, -ETIMEDOUT, or an error that ends the connection. */
static int receive_some(struct client_conn *c, uint64_t until_us)
{
	char bytes[READ_BYTES];
	uint16_t status;
	ssize_t n;
	int ret = wait_until(c->fd, POLLIN, until_us);

	if (ret)
		return ret;
	n = recv(c->fd, bytes, sizeof(bytes), 0);
	if (n < 0)
		return errno == EAGAIN || errno == EINTR ? 0 : -errno;
	if (n == 0)
		return -ECONNRESET;
	status = http_receiver_add(&c->receiver, bytes, (size_t)n);
	return c->answer || !status ? 0 : error_of_status(status);
}

static bool has_head(const struct client_conn *c)
{
	const struct http_msg *m = c->receiver.msg;

	return c->answer || (m && c->receiver.headers_done && m->status >= STATUS_FINAL_MIN);
}

int client_conn_receive_head(struct client_conn *c, uint64_t until_us)
{
	while (!has_head(c)) {
		int ret = receive_some(c, until_us);

		if (ret == -ETIMEDOUT || ret == -EMSGSIZE)
			return ret;
		/* The head may be valid and what follows it not. */
		if (ret && !has_head(c))
			return -ECONNRESET;
		if (ret)
			return -EBADMSG;
	}
	if (!c->answer)
		c->framing = c->receiver.grammar.framing;
	return 0;
}

enum answer_framing client_conn_framing(const struct client_conn *c)
{
	return c->framing;
}

int client_conn_receive_rest(struct client_conn *c, struct http_msg **out)
{
	while (!c->answer) {
		int ret = receive_some(c, clock_now_us() + STALL_MS * BR_US_PER_MS);

		if (ret)
			return ret == -EMSGSIZE ? ret : -EBADMSG;
	}
	*out = c->answer;
	c->answer = NULL;
	return 0;
}
