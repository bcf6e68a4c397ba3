#define _GNU_SOURCE
#include "http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define THREAD_STACK_BYTES (512 * 1024)

struct server {
	int fd, tag;
	http_handler handler;
};

struct conn {
	int fd, tag;
	http_handler handler;
};

static void start_thread(void *(*fn)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, THREAD_STACK_BYTES);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attr, fn, arg))
		abort();
	pthread_attr_destroy(&attr);
}

static void *run_conn(void *arg)
{
	struct conn *c = arg;
	struct http_head *h = calloc(1, sizeof(*h));

	while (h && http_read(c->fd, h, false) && c->handler(c->fd, c->tag, h))
		;
	close(c->fd);
	free(h);
	free(c);
	return NULL;
}

static void *run_server(void *arg)
{
	struct server *s = arg;

	for (;;) {
		int fd = accept4(s->fd, NULL, NULL, SOCK_CLOEXEC), on = 1;
		struct conn *c;

		if (fd < 0) {
			usleep(1000);
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		c = calloc(1, sizeof(*c));
		if (!c)
			abort();
		*c = (struct conn){.fd = fd, .tag = s->tag, .handler = s->handler};
		start_thread(run_conn, c);
	}
	return NULL;
}

static struct sockaddr_in address(const char *ip, uint16_t port)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};

	inet_pton(AF_INET, ip, &a.sin_addr);
	return a;
}

bool http_serve(const char *ip, uint16_t port, http_handler handler, int tag)
{
	struct sockaddr_in a = address(ip, port);
	struct server *s = calloc(1, sizeof(*s));
	int on = 1;

	if (!s)
		abort();
	*s = (struct server){.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0),
			     .tag = tag,
			     .handler = handler};
	setsockopt(s->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(s->fd, (struct sockaddr *)&a, sizeof(a)) || listen(s->fd, 512)) {
		close(s->fd);
		free(s);
		return false;
	}
	start_thread(run_server, s);
	return true;
}

bool http_field(const struct http_head *h, const char *name, char *out, size_t bytes)
{
	size_t len = strlen(name);
	const char *line = strstr(h->head, "\r\n");

	out[0] = '\0';
	for (; line && line[2]; line = strstr(line + 2, "\r\n")) {
		const char *at = line + 2;

		if (strncasecmp(at, name, len) != 0 || at[len] != ':')
			continue;
		at += len + 1;
		at += strspn(at, " ");
		snprintf(out, bytes, "%.*s", (int)strcspn(at, "\r"), at);
		return true;
	}
	return false;
}

void http_query(const struct http_head *h, const char *name, char *out, size_t bytes)
{
	const char *at = strchr(h->target, '?');
	size_t len = strlen(name);

	out[0] = '\0';
	while (at && *at) {
		at++;
		if (!strncmp(at, name, len) && at[len] == '=') {
			at += len + 1;
			snprintf(out, bytes, "%.*s", (int)strcspn(at, "&"), at);
			return;
		}
		at = strchr(at, '&');
	}
}

static bool read_head(int fd, struct http_head *h, size_t *n_body)
{
	size_t n = 0;

	for (;;) {
		ssize_t got = recv(fd, h->head + n, HEAD_BYTES - 1 - n, 0);
		char *end;

		if (got <= 0)
			return false;
		n += (size_t)got;
		h->head[n] = '\0';
		end = strstr(h->head, "\r\n\r\n");
		if (end) {
			*n_body = n - (size_t)(end + 4 - h->head);
			memcpy(h->body, end + 4, *n_body);
			end[2] = '\0';
			return true;
		}
		if (n >= HEAD_BYTES - 1)
			return false;
	}
}

bool http_read(int fd, struct http_head *h, bool is_answer)
{
	char text[32];
	size_t want, n = 0;

	if (!read_head(fd, h, &n))
		return false;
	if (is_answer ? sscanf(h->head, "HTTP/1.%*d %d", &h->status) != 1
		      : sscanf(h->head, "%15s %1023s", h->method, h->target) != 2)
		return false;
	want = http_field(h, "Content-Length", text, sizeof(text)) ? strtoul(text, NULL, 10) : 0;
	if (want >= BODY_BYTES || n > want)
		return false;
	while (n < want) {
		ssize_t got = recv(fd, h->body + n, want - n, 0);

		if (got <= 0)
			return false;
		n += (size_t)got;
	}
	h->body[want] = '\0';
	h->body_len = want;
	return true;
}

bool http_send(int fd, const char *bytes, size_t len)
{
	while (len) {
		ssize_t n = send(fd, bytes, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		bytes += n;
		len -= (size_t)n;
	}
	return true;
}

bool http_answer(int fd, int status, const char *fields, const char *body)
{
	size_t len = strlen(body), cap = len + strlen(fields) + 256;
	char *text = malloc(cap);
	int n = snprintf(text, cap, "HTTP/1.1 %d Status\r\n%sContent-Length: %zu\r\n\r\n%s", status,
			 fields, len, body);
	bool ok = http_send(fd, text, (size_t)n);

	free(text);
	return ok;
}

void http_reset(int fd)
{
	struct linger l = {.l_onoff = 1};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

int http_connect(const char *ip, uint16_t port, uint64_t timeout_ms)
{
	struct sockaddr_in a = address(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
	struct timeval tv = {.tv_sec = (time_t)(timeout_ms / 1000),
			     .tv_usec = (suseconds_t)(timeout_ms % 1000 * 1000)};

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (!connect(fd, (struct sockaddr *)&a, sizeof(a)))
		return fd;
	close(fd);
	return -1;
}

int http_call(const char *ip, uint16_t port, uint64_t timeout_ms, const char *request,
	      struct http_head *answer)
{
	struct http_head *h = answer ? answer : calloc(1, sizeof(*h));
	int fd = http_connect(ip, port, timeout_ms), status = 0;

	if (fd >= 0 && http_send(fd, request, strlen(request)) && http_read(fd, h, true))
		status = h->status;
	if (fd >= 0)
		close(fd);
	if (!answer)
		free(h);
	return status;
}
