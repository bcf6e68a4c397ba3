#include "standins/mesh/http.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define BACKLOG 64
#define CALL_TIMEOUT_S 1

struct server {
	int fd;
	http_handler handler;
};

struct conn {
	int fd;
	http_handler handler;
};

static bool parse_addr(const char *text, struct sockaddr_in *out)
{
	char ip[INET_ADDRSTRLEN];
	unsigned int port;

	if (sscanf(text, "%15[0-9.]:%u", ip, &port) != 2)
		return false;
	*out = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}

bool http_req_field(const struct http_req *req, const char *name, char *out, size_t out_bytes)
{
	size_t len = strlen(name);

	for (const char *line = req->head; (line = strstr(line, "\r\n")) != NULL;) {
		line += 2;
		if (strncasecmp(line, name, len) != 0 || line[len] != ':')
			continue;
		line += len + 1;
		line += strspn(line, " ");
		snprintf(out, out_bytes, "%.*s", (int)strcspn(line, "\r\n"), line);
		return true;
	}
	return false;
}

void http_req_query(const struct http_req *req, const char *name, char *out, size_t out_bytes)
{
	const char *at = strchr(req->target, '?');
	size_t len = strlen(name);

	out[0] = '\0';
	while (at) {
		at++;
		if (!strncmp(at, name, len) && at[len] == '=') {
			at += len + 1;
			snprintf(out, out_bytes, "%.*s", (int)strcspn(at, "&"), at);
			return;
		}
		at = strchr(at, '&');
	}
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
	char head[1024];
	int n = snprintf(head, sizeof(head), "HTTP/1.1 %d Status\r\nContent-Length: %zu\r\n%s\r\n",
			 status, strlen(body), fields);

	return http_send(fd, head, (size_t)n) && http_send(fd, body, strlen(body));
}

void http_reset_on_close(int fd)
{
	struct linger reset_on_close = {.l_onoff = 1};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
}

/* Reads one request. Bytes received after its end stay in buf for the next call. */
static bool read_request(int fd, struct http_req *req, char *buf, size_t *buffered)
{
	char *end, length[32];
	size_t head_len, content_length = 0;

	while (!(end = memmem(buf, *buffered, "\r\n\r\n", 4))) {
		ssize_t n = *buffered < HTTP_HEAD_BYTES - 1
				    ? recv(fd, buf + *buffered, HTTP_HEAD_BYTES - 1 - *buffered, 0)
				    : 0;

		if (n <= 0)
			return false;
		*buffered += (size_t)n;
	}
	head_len = (size_t)(end - buf) + 4;
	memcpy(req->head, buf, head_len);
	req->head[head_len] = '\0';
	if (sscanf(req->head, "%15s %511s", req->method, req->target) != 2)
		return false;
	if (http_req_field(req, "content-length", length, sizeof(length)))
		content_length = strtoul(length, NULL, 10);
	if (content_length >= HTTP_BODY_BYTES)
		return false;
	req->body_len =
		*buffered - head_len < content_length ? *buffered - head_len : content_length;
	memcpy(req->body, buf + head_len, req->body_len);
	memmove(buf, buf + head_len + req->body_len, *buffered - head_len - req->body_len);
	*buffered -= head_len + req->body_len;
	while (req->body_len < content_length) {
		ssize_t n = recv(fd, req->body + req->body_len, content_length - req->body_len, 0);

		if (n <= 0)
			return false;
		req->body_len += (size_t)n;
	}
	req->body[req->body_len] = '\0';
	return true;
}

static void *run_conn(void *arg)
{
	struct conn c = *(struct conn *)arg;
	struct http_req *req = malloc(sizeof(*req));
	char *buf = malloc(HTTP_HEAD_BYTES);
	size_t buffered = 0;

	free(arg);
	while (req && buf && read_request(c.fd, req, buf, &buffered) && c.handler(c.fd, req))
		;
	free(req);
	free(buf);
	close(c.fd);
	return NULL;
}

static void *run_server(void *arg)
{
	struct server *s = arg;
	pthread_t thread;

	for (;;) {
		struct conn *c;
		int on = 1, fd = accept(s->fd, NULL, NULL);

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		c = malloc(sizeof(*c));
		if (!c)
			abort();
		*c = (struct conn){.fd = fd, .handler = s->handler};
		if (pthread_create(&thread, NULL, run_conn, c))
			abort();
		pthread_detach(thread);
	}
	return NULL;
}

void http_serve(const char *addr, http_handler handler)
{
	struct server *s = malloc(sizeof(*s));
	struct sockaddr_in sa;
	pthread_t thread;
	int on = 1;

	if (!s || !parse_addr(addr, &sa)) {
		fprintf(stderr, "standin-mesh: %s is not an ip:port address\n", addr);
		exit(2);
	}
	s->handler = handler;
	s->fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(s->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(s->fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(s->fd, BACKLOG)) {
		fprintf(stderr, "standin-mesh: cannot listen on %s\n", addr);
		exit(1);
	}
	if (pthread_create(&thread, NULL, run_server, s))
		abort();
	pthread_detach(thread);
}

int http_call_once(const char *addr, const char *method, const char *target, const char *body)
{
	struct timeval timeout = {.tv_sec = CALL_TIMEOUT_S};
	char text[2048];
	struct sockaddr_in sa;
	int status = 0, n, fd = socket(AF_INET, SOCK_STREAM, 0);

	n = snprintf(text, sizeof(text),
		     "%s %s HTTP/1.1\r\nHost: node\r\nContent-Length: %zu\r\nConnection: "
		     "close\r\n\r\n%s",
		     method, target, strlen(body), body);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	if (parse_addr(addr, &sa) && !connect(fd, (struct sockaddr *)&sa, sizeof(sa)) &&
	    http_send(fd, text, (size_t)n)) {
		ssize_t got = recv(fd, text, sizeof(text) - 1, 0);

		text[got > 0 ? got : 0] = '\0';
		if (sscanf(text, "HTTP/1.1 %d", &status) != 1)
			status = 0;
	}
	close(fd);
	return status;
}
