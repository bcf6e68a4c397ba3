#include "tests/soak/soak.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READERS_MAX 16
#define HEAD_BYTES 4096
#define CHUNK_BYTES 65536
/* Small, so that what is not read yet stays with the node. */
#define RECEIVE_BUFFER_BYTES 65536
#define RATE_MIN_BYTES_PER_S (6U << 20)
#define RATE_SPREAD_BYTES_PER_S (12U << 20)
#define READ_INTERVAL_US (5 * BR_US_PER_MS)
#define WAIT_US (2500 * BR_US_PER_MS)
/* Time without a byte of an answer that has begun after which it counts as stuck. */
#define STUCK_US (6 * BR_US_PER_S)

struct reading {
	uint32_t r, entry, interruptions, bytes_per_s;
	char id[ID_BYTES];
	uint64_t sent_us;
	int fd;
};

static pthread_t threads[READERS_MAX];
static uint32_t n_threads;

/* Receives bytes; returns their number, 0 at the end of the connection, or -1 after limit_us. */
static ssize_t receive(int fd, char *out, size_t bytes, uint64_t limit_us)
{
	uint64_t until_us = now_us() + limit_us;

	while (now_us() < until_us) {
		ssize_t n = recv(fd, out, bytes, 0);

		if (n >= 0)
			return n;
		if (errno != EAGAIN && errno != EINTR)
			return 0;
	}
	return -1;
}

/* Reads the head byte by byte; returns the status, or 0 if the connection ended before it. */
static int read_head(const struct reading *rd, char *head)
{
	size_t len = 0;
	int status = 0;

	while (len < HEAD_BYTES - 1) {
		ssize_t n = receive(rd->fd, head + len, 1, WAIT_US + BR_US_PER_S);

		if (n <= 0)
			return 0;
		head[++len] = '\0';
		if (len >= 4 && !memcmp(head + len - 4, "\r\n\r\n", 4))
			break;
	}
	return sscanf(head, "HTTP/1.1 %d", &status) == 1 ? status : 0;
}

static void report_cut(const struct reading *rd, ssize_t n, uint32_t at)
{
	if (n == 0)
		caller_check_closed(rd->r, rd->id, rd->entry, rd->interruptions);
	else if (rd->interruptions == process_interruptions(rd->entry))
		report_violation("%s got %u bytes of its answer from node %u, and then no more",
				 rd->id, at, rd->entry);
}

/* Reads a long answer at the reading's rate and compares each byte; false if it is cut. */
static bool read_body(const struct reading *rd)
{
	uint64_t begun_us = now_us();
	char bytes[CHUNK_BYTES];
	uint32_t at = 0;

	while (at < LONG_BYTES) {
		uint64_t due = (now_us() - begun_us) * rd->bytes_per_s / BR_US_PER_S;
		size_t want = due > LONG_BYTES ? LONG_BYTES - at : due - at;
		ssize_t n;

		if (due <= at) {
			sleep_us(READ_INTERVAL_US);
			continue;
		}
		n = receive(rd->fd, bytes, want < CHUNK_BYTES ? want : CHUNK_BYTES, STUCK_US);
		if (n <= 0) {
			report_cut(rd, n, at);
			return false;
		}
		for (ssize_t i = 0; i < n; i++, at++) {
			if (bytes[i] == record_long_byte(rd->r, at))
				continue;
			report_violation("%s got a wrong byte %u in its answer", rd->id, at);
			return false;
		}
	}
	return true;
}

static void fetch(struct reading *rd)
{
	char text[1024], head[HEAD_BYTES];
	size_t len;
	int status = 0;

	rd->interruptions = process_interruptions(rd->entry);
	rd->r = record_begin(KIND_LONG, rd->entry, NONE, WAIT_US, rd->id);
	rd->sent_us = now_us();
	len = caller_write_request(text, sizeof(text), KIND_LONG, rd->id, WAIT_US);
	if (send(rd->fd, text, len, MSG_NOSIGNAL) == (ssize_t)len)
		status = read_head(rd, head);
	if (!status)
		caller_check_closed(rd->r, rd->id, rd->entry, rd->interruptions);
	else if (status == 200 && !caller_find_header(head, "X-Server-Seal", text, sizeof(text)))
		report_violation("%s got a success without a seal", rd->id);
	if (status == 200 && !read_body(rd))
		status = 0;
	record_answer(rd->r, status);
}

static void *run(void *arg)
{
	struct br_rng rng;

	br_rng_seed(&rng, soak.seed * 463 + (uintptr_t)arg);
	while (!soak.stopping) {
		struct reading rd = {.entry = random_below(&rng, soak.n_nodes)};

		rd.bytes_per_s = RATE_MIN_BYTES_PER_S + random_below(&rng, RATE_SPREAD_BYTES_PER_S);
		rd.fd = caller_connect(rd.entry, RECEIVE_BUFFER_BYTES);
		if (rd.fd >= 0) {
			fetch(&rd);
			close(rd.fd);
		}
		sleep_us((20 + random_below(&rng, 200)) * BR_US_PER_MS);
	}
	return NULL;
}

void reader_start_all(uint32_t n)
{
	for (n_threads = 0; n_threads < n && n_threads < READERS_MAX; n_threads++)
		if (pthread_create(&threads[n_threads], NULL, run, (void *)(uintptr_t)n_threads))
			abort();
}

void reader_join_all(void)
{
	for (uint32_t i = 0; i < n_threads; i++)
		pthread_join(threads[i], NULL);
}
