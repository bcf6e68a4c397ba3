#include "tests/soak/soak.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALLERS_MAX 64
#define ANSWER_BYTES 16384
#define WAIT_US (2500 * BR_US_PER_MS)
#define ROUTE_TIMEOUT_US (2000 * BR_US_PER_MS)
/* Time that an answer may take in addition to the route's timeout. */
#define ANSWER_SLACK_US (1000 * BR_US_PER_MS)
#define RECV_TIMEOUT_MS 50
#define HOT_CALLERS 4
#define HOT_GAP_US (10 * BR_US_PER_MS)
/* Share of the requests that reuse an open connection. */
#define REUSE_PERCENT 70

static pthread_t threads[CALLERS_MAX + HOT_CALLERS];
static uint32_t n_threads;

int caller_connect(uint32_t node, int receive_bytes)
{
	struct timeval timeout = {.tv_usec = RECV_TIMEOUT_MS * 1000};
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_port = htons(18108)};
	int on = 1, fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_addr.s_addr = htonl(0x7f000000 | soak.net << 8 | (10 + node));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (receive_bytes)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa))) {
		close(fd);
		return -1;
	}
	return fd;
}

bool caller_find_header(const char *head, const char *name, char *out, size_t out_bytes)
{
	size_t len = strlen(name);

	for (const char *line = head; (line = strstr(line, "\r\n")) != NULL;) {
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

struct answer {
	int status;
	char bytes[ANSWER_BYTES];
	char *body;
	size_t len;
	bool complete, closed, connection_close;
};

/* Parses the bytes received so far; true once the answer is complete. */
static bool parse_answer(struct answer *a)
{
	char text[32];
	size_t length = 0;

	a->bytes[a->len] = '\0';
	a->body = strstr(a->bytes, "\r\n\r\n");
	if (!a->body)
		return false;
	a->body += 4;
	if (sscanf(a->bytes, "HTTP/1.1 %d", &a->status) != 1)
		a->status = -1;
	if (caller_find_header(a->bytes, "Content-Length", text, sizeof(text)))
		length = strtoul(text, NULL, 10);
	a->connection_close = caller_find_header(a->bytes, "Connection", text, sizeof(text)) &&
			      !strcasecmp(text, "close");
	a->complete = (size_t)(a->bytes + a->len - a->body) >= length;
	if (a->complete)
		a->body[length] = '\0';
	return a->complete;
}

static void receive(int fd, struct answer *a, uint64_t until_us)
{
	while (a->len < ANSWER_BYTES - 1 && now_us() < until_us) {
		ssize_t n = recv(fd, a->bytes + a->len, ANSWER_BYTES - 1 - a->len, 0);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			continue;
		if (n <= 0) {
			a->closed = true;
			return;
		}
		a->len += (size_t)n;
		if (parse_answer(a))
			return;
	}
}

static void check_success(uint32_t r, const char *id, const struct answer *a)
{
	char text[ID_BYTES] = "", body[2048];

	if (!caller_find_header(a->bytes, "X-Server-Seal", text, sizeof(text)))
		report_violation("%s got a success without a seal", id);
	if (!caller_find_header(a->bytes, "X-Attempt-Id", text, sizeof(text)) ||
	    strcmp(text, id) != 0)
		report_violation("%s got the answer to '%s'", id, text);
	record_body(r, body, sizeof(body));
	if (strcmp(a->body, body) != 0)
		report_violation("%s got a body that its target did not send", id);
}

void caller_check_closed(uint32_t r, const char *id, uint32_t entry, uint32_t interruptions)
{
	/* Leaves process_check() time to notice an exit that closed the connection. */
	sleep_us(SLACK_US);
	if (interruptions == process_interruptions(entry) && record_has_run(r))
		report_violation("%s ran, but node %u closed its connection without an answer", id,
				 entry);
}

/*
 * Reports a missing answer unless a fault of the entry node explains it. If the connection closed,
 * the answer is missed only if the request ran.
 */
static void check_missing_answer(uint32_t r, const char *id, uint32_t entry, const struct answer *a,
				 uint64_t sent_us, uint32_t interruptions)
{
	if (a->closed) {
		caller_check_closed(r, id, entry, interruptions);
	} else if (stability_node(entry, sent_us) &&
		   interruptions == process_interruptions(entry)) {
		report_violation("%s got no answer from node %u after %llu ms", id, entry,
				 (unsigned long long)((now_us() - sent_us) / BR_US_PER_MS));
	}
}

size_t caller_write_request(char *out, size_t out_bytes, enum kind kind, const char *id,
			    uint64_t wait_us)
{
	bool post = !config_idempotent(kind);
	const char *key = config_key(kind);
	int n = snprintf(out, out_bytes,
			 "%s /%s/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\n"
			 "X-Deadline-Milliseconds: %llu\r\n%s%s%s%s\r\n%s",
			 post ? "POST" : "GET", config_prefix(kind), id,
			 (unsigned long long)(wait_us / BR_US_PER_MS), *key ? "Api-Key: " : "", key,
			 *key ? "\r\n" : "", post ? "Content-Length: 4\r\n" : "",
			 post ? "once" : "");

	return (size_t)n;
}

int caller_send(int *fd, enum kind kind, uint32_t entry, uint32_t parent, uint64_t wait_us)
{
	struct answer *a = calloc(1, sizeof(*a));
	uint32_t interruptions = process_interruptions(entry), r;
	uint64_t sent_us, limit_us = wait_us < ROUTE_TIMEOUT_US ? wait_us : ROUTE_TIMEOUT_US;
	char id[ID_BYTES], text[1024];
	size_t len;
	int status = 0;

	if (*fd < 0)
		*fd = caller_connect(entry, 0);
	if (*fd < 0 || !a) {
		free(a);
		return 0;
	}
	r = record_begin(kind, entry, parent, wait_us, id);
	sent_us = now_us();
	len = caller_write_request(text, sizeof(text), kind, id, wait_us);
	if (send(*fd, text, len, MSG_NOSIGNAL) == (ssize_t)len)
		receive(*fd, a, sent_us + limit_us + ANSWER_SLACK_US);
	else
		a->closed = true;
	if (a->complete) {
		status = a->status;
		record_answer(r, status);
		if (status >= 200 && status < 300)
			check_success(r, id, a);
		else if (status < 400)
			report_violation("%s got an answer without a valid status", id);
	} else {
		check_missing_answer(r, id, entry, a, sent_us, interruptions);
		record_answer(r, 0);
	}
	if (!a->complete || a->connection_close) {
		close(*fd);
		*fd = -1;
	}
	free(a);
	return status;
}

/* An answer on an idle connection must not be a success, as from a target that answers twice. */
static void check_unsolicited(int fd, uint32_t entry)
{
	char text[64];
	ssize_t n = recv(fd, text, sizeof(text) - 1, MSG_DONTWAIT | MSG_PEEK);

	if (n <= 0)
		return;
	text[n] = '\0';
	if (!strncmp(text, "HTTP/1.1 2", strlen("HTTP/1.1 2")))
		report_violation("node %u sent a success on an idle connection", entry);
}

/* Sends requests of the limited account far beyond its rate, to all nodes in turn. */
static void *run_hot(void *arg)
{
	int fds[NODES_MAX];

	(void)arg;
	for (int i = 0; i < NODES_MAX; i++)
		fds[i] = -1;
	for (uint32_t n = 0; !soak.stopping; n++) {
		uint32_t entry = n % soak.n_nodes;

		caller_send(&fds[entry], KIND_LIMITED, entry, NONE, WAIT_US);
		sleep_us(HOT_GAP_US);
	}
	for (int i = 0; i < NODES_MAX; i++)
		if (fds[i] >= 0)
			close(fds[i]);
	return NULL;
}

static void *run(void *arg)
{
	uint32_t thread_no = (uint32_t)(uintptr_t)arg;
	int fds[NODES_MAX];
	struct br_rng rng;

	br_rng_seed(&rng, soak.seed * 977 + thread_no);
	for (int i = 0; i < NODES_MAX; i++)
		fds[i] = -1;
	while (!soak.stopping) {
		uint32_t entry = random_below(&rng, soak.n_nodes);
		enum kind kind = (enum kind)random_below(&rng, KIND_CALL);

		if (fds[entry] >= 0)
			check_unsolicited(fds[entry], entry);
		if (fds[entry] >= 0 && random_below(&rng, 100) >= REUSE_PERCENT) {
			close(fds[entry]);
			fds[entry] = -1;
		}
		caller_send(&fds[entry], kind, entry, NONE, WAIT_US);
		sleep_us((10 + random_below(&rng, 50)) * BR_US_PER_MS);
	}
	for (int i = 0; i < NODES_MAX; i++)
		if (fds[i] >= 0)
			close(fds[i]);
	return NULL;
}

static void start_thread(void *(*fn)(void *))
{
	if (pthread_create(&threads[n_threads], NULL, fn, (void *)(uintptr_t)n_threads))
		abort();
	n_threads++;
}

void caller_start_all(uint32_t n)
{
	for (uint32_t i = 0; i < n && i < CALLERS_MAX; i++)
		start_thread(run);
	for (uint32_t i = 0; i < HOT_CALLERS; i++)
		start_thread(run_hot);
}

void caller_join_all(void)
{
	for (uint32_t i = 0; i < n_threads; i++)
		pthread_join(threads[i], NULL);
}
