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
/* A final answer may come this much after the route's timeout. */
#define LATE_US (1000 * BR_US_PER_MS)
#define POLL_MS 50
#define KEPT_PERCENT 70

static pthread_t threads[CALLERS_MAX];
static uint32_t n_threads;

static int connect_to(uint32_t node)
{
	struct timeval poll = {.tv_usec = POLL_MS * 1000};
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_port = htons(18108)};
	int on = 1, fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_addr.s_addr = htonl(0x7f000000 | soak.net << 8 | (10 + node));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &poll, sizeof(poll));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa))) {
		close(fd);
		return -1;
	}
	return fd;
}

static bool field(const char *head, const char *name, char *out, size_t out_bytes)
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
	size_t have;
	bool whole, ended, closes;
};

/* Takes what has arrived apart; true once the answer is whole. */
static bool parse(struct answer *a)
{
	char text[32];
	size_t length = 0;

	a->bytes[a->have] = '\0';
	a->body = strstr(a->bytes, "\r\n\r\n");
	if (!a->body)
		return false;
	a->body += 4;
	if (sscanf(a->bytes, "HTTP/1.1 %d", &a->status) != 1)
		a->status = -1;
	if (field(a->bytes, "Content-Length", text, sizeof(text)))
		length = strtoul(text, NULL, 10);
	a->closes = field(a->bytes, "Connection", text, sizeof(text)) && !strcasecmp(text, "close");
	a->whole = (size_t)(a->bytes + a->have - a->body) >= length;
	if (a->whole)
		a->body[length] = '\0';
	return a->whole;
}

static void receive(int fd, struct answer *a, uint64_t until_us)
{
	while (a->have < ANSWER_BYTES - 1 && now_us() < until_us) {
		ssize_t n = recv(fd, a->bytes + a->have, ANSWER_BYTES - 1 - a->have, 0);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			continue;
		if (n <= 0) {
			a->ended = true;
			return;
		}
		a->have += (size_t)n;
		if (parse(a))
			return;
	}
}

static void check_success(uint32_t r, const char *id, const struct answer *a)
{
	char text[ID_BYTES] = "", body[2048];

	if (!field(a->bytes, "X-Server-Seal", text, sizeof(text)))
		broken("%s got a success without a seal", id);
	if (!field(a->bytes, "X-Attempt-Id", text, sizeof(text)) || strcmp(text, id) != 0)
		broken("%s got the answer to '%s'", id, text);
	record_body(r, body, sizeof(body));
	if (strcmp(a->body, body) != 0)
		broken("%s got a body that is not its target's", id);
}

/* What an answer that did not come says of a node that was left alone. */
static void check_silence(uint32_t r, const char *id, uint32_t entry, const struct answer *a,
			  uint64_t sent_us, uint32_t incarnation)
{
	if (a->ended) {
		/* A connection that ends with its process says nothing. */
		sleep_us(SLACK_US);
		if (incarnation == process_incarnation(entry) && record_has_run(r))
			broken("%s ran and its connection to node %u ended without an answer", id,
			       entry);
	} else if (calm_node(entry, sent_us) && incarnation == process_incarnation(entry)) {
		broken("%s has no answer of node %u after %llu ms", id, entry,
		       (unsigned long long)((now_us() - sent_us) / BR_US_PER_MS));
	}
}

static size_t write_request(char *out, size_t out_bytes, enum kind kind, const char *id,
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
	uint32_t incarnation = process_incarnation(entry), r;
	uint64_t sent_us, limit_us = wait_us < ROUTE_TIMEOUT_US ? wait_us : ROUTE_TIMEOUT_US;
	char id[ID_BYTES], text[1024];
	size_t len;
	int status = 0;

	if (*fd < 0)
		*fd = connect_to(entry);
	if (*fd < 0 || !a) {
		free(a);
		return 0;
	}
	r = record_begin(kind, entry, parent, wait_us, id);
	sent_us = now_us();
	len = write_request(text, sizeof(text), kind, id, wait_us);
	if (send(*fd, text, len, MSG_NOSIGNAL) == (ssize_t)len)
		receive(*fd, a, sent_us + limit_us + LATE_US);
	else
		a->ended = true;
	if (a->whole) {
		status = a->status;
		record_answer(r, status);
		if (status >= 200 && status < 300)
			check_success(r, id, a);
		else if (status < 400)
			broken("%s got bytes that are no answer", id);
	} else {
		check_silence(r, id, entry, a, sent_us, incarnation);
		record_answer(r, 0);
	}
	if (!a->whole || a->closes) {
		close(*fd);
		*fd = -1;
	}
	free(a);
	return status;
}

/* An answer that nobody waits for must not look like a success. */
static void check_unasked(int fd, uint32_t entry)
{
	char text[64];
	ssize_t n = recv(fd, text, sizeof(text) - 1, MSG_DONTWAIT | MSG_PEEK);

	if (n <= 0)
		return;
	text[n] = '\0';
	if (!strncmp(text, "HTTP/1.1 2", strlen("HTTP/1.1 2")))
		broken("node %u sent a success on a connection with no request", entry);
}

static void *run(void *arg)
{
	uint32_t me = (uint32_t)(uintptr_t)arg;
	int fds[NODES_MAX];
	struct br_rng rng;

	br_rng_seed(&rng, soak.seed * 977 + me);
	for (int i = 0; i < NODES_MAX; i++)
		fds[i] = -1;
	while (!soak.stopping) {
		uint32_t entry = draw(&rng, soak.n_nodes);
		enum kind kind = (enum kind)draw(&rng, KIND_CALL);

		if (fds[entry] >= 0)
			check_unasked(fds[entry], entry);
		if (fds[entry] >= 0 && draw(&rng, 100) >= KEPT_PERCENT) {
			close(fds[entry]);
			fds[entry] = -1;
		}
		caller_send(&fds[entry], kind, entry, NONE, WAIT_US);
		sleep_us((10 + draw(&rng, 50)) * BR_US_PER_MS);
	}
	for (int i = 0; i < NODES_MAX; i++)
		if (fds[i] >= 0)
			close(fds[i]);
	return NULL;
}

void caller_start_all(uint32_t n)
{
	for (n_threads = 0; n_threads < n && n_threads < CALLERS_MAX; n_threads++)
		if (pthread_create(&threads[n_threads], NULL, run, (void *)(uintptr_t)n_threads))
			abort();
}

void caller_join_all(void)
{
	for (uint32_t i = 0; i < n_threads; i++)
		pthread_join(threads[i], NULL);
}
