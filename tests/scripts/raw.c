#include "briarreel/types.h"
#include "common/clock.h"
#include "script.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define RESPONSE_TIMEOUT_MS 20000
/* Small, so that what a slow reader has not read yet stays with the sender. */
#define SLOW_RECEIVE_BUFFER_BYTES 65536
#define SLOW_INTERVAL_MS 20
#define SEND_PAUSE_MS 1000
#define SLOW_MAX_BYTES (32UL << 20)

/* receive_buffer_bytes is 0 for the kernel's choice. */
static int connect_to(const char *address, int receive_buffer_bytes)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	const char *colon = strchr(address, ':');
	char ip[32];
	int fd;

	if (!colon)
		return -1;
	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - address), address);
	sa.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	if (inet_pton(AF_INET, ip, &sa.sin_addr) != 1)
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd >= 0 && receive_buffer_bytes)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
			   sizeof(receive_buffer_bytes));
	if (fd >= 0 && connect(fd, (struct sockaddr *)&sa, sizeof(sa))) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Decodes the escapes \r, \n, \xHH and \\. */
static void unescape(const char *from, struct text *to)
{
	text_add(to, "", 0);
	for (; *from; from++) {
		char c = *from;

		if (c == '\\' && from[1]) {
			c = *++from;
			if (c == 'r') {
				c = '\r';
			} else if (c == 'n') {
				c = '\n';
			} else if (c == 'x' && from[1] && from[2]) {
				char hex[3] = {from[1], from[2], '\0'};

				c = (char)strtoul(hex, NULL, 16);
				from += 2;
			}
		}
		text_add(to, &c, 1);
	}
}

static void send_text(int fd, const char *text)
{
	struct text data = {0};
	size_t sent = 0;

	unescape(text, &data);
	while (sent < data.len) {
		ssize_t n = send(fd, data.data + sent, data.len - sent, MSG_NOSIGNAL);

		if (n <= 0)
			break;
		sent += (size_t)n;
	}
	free(data.data);
}

/* Sends a text with escapes; "\p" in it waits before the rest is sent. */
static void send_unescaped(int fd, const char *text)
{
	char *copy = strdup(text), *rest = copy, *pause;

	while (rest && (pause = strstr(rest, "\\p")) != NULL) {
		*pause = '\0';
		send_text(fd, rest);
		clock_sleep_ms(SEND_PAUSE_MS);
		rest = pause + 2;
	}
	if (rest)
		send_text(fd, rest);
	free(copy);
}

/*
 * Reads until buf is full, the peer closes the connection or the time limit passes. Returns the
 * number of bytes read.
 */
static size_t read_response(int fd, char *buf, size_t bytes)
{
	uint64_t deadline_us = clock_now_us() + RESPONSE_TIMEOUT_MS * 1000ULL;
	size_t used = 0;

	while (used < bytes && clock_now_us() < deadline_us) {
		struct pollfd p = {.fd = fd, .events = POLLIN};
		ssize_t n;

		if (poll(&p, 1, 100) <= 0)
			continue;
		n = recv(fd, buf + used, bytes - used, 0);
		if (n <= 0)
			break;
		used += (size_t)n;
	}
	return used;
}

void cmd_raw(struct script_ctx *ctx, int argc, char **argv, const char *heredoc)
{
	char response[13] = "";
	int fd = connect_to(argv[2], 0);
	size_t n;

	(void)argc;
	(void)heredoc;
	if (fd < 0) {
		text_printf(&ctx->out, "%s -> no connection\n", argv[1]);
		return;
	}
	send_unescaped(fd, argv[3]);
	shutdown(fd, SHUT_WR);
	n = read_response(fd, response, sizeof(response) - 1);
	close(fd);
	if (n == sizeof(response) - 1 && !strncmp(response, "HTTP/1.", 7))
		text_printf(&ctx->out, "%s -> %s\n", argv[1], response + 9);
	else
		text_printf(&ctx->out, "%s -> no HTTP answer\n", argv[1]);
}

/* Length of the answer at the start of buf with its body; 0 while its head is not complete. */
static size_t answer_bytes(const char *buf, size_t used)
{
	const char *end = memmem(buf, used, "\r\n\r\n", 4);
	const char *field = end ? memmem(buf, (size_t)(end - buf), "Content-Length: ", 16) : NULL;

	return field ? (size_t)(end - buf) + 4 + strtoul(field + 16, NULL, 10) : 0;
}

/* Length of the first whole answers, at most n, in buf; *n_whole is their number. */
static size_t whole_answers_bytes(const char *buf, size_t used, size_t n, size_t *n_whole)
{
	size_t at = 0;

	for (*n_whole = 0; *n_whole < n; ++*n_whole) {
		size_t bytes = answer_bytes(buf + at, used - at);

		if (!bytes || bytes > used - at)
			break;
		at += bytes;
	}
	return at;
}

/* How slowly, how much and how long cmd_slow() reads. */
struct slow_reading {
	size_t bytes_per_s, answers;
	uint64_t limit_us;
};

/*
 * Reads into buf until it is full, the peer closes the connection, the answers are whole, or the
 * time limit passes. Returns the number of bytes read.
 */
static size_t read_slowly(int fd, char *buf, size_t bytes, const struct slow_reading *how)
{
	uint64_t begun_us = clock_now_us(), now_us;
	size_t used = 0, n_whole = 0;

	while (n_whole < how->answers) {
		size_t due;
		ssize_t n;

		clock_sleep_ms(SLOW_INTERVAL_MS);
		now_us = clock_now_us();
		if (now_us - begun_us > how->limit_us)
			break;
		due = (size_t)((now_us - begun_us) * how->bytes_per_s / 1000000);
		if (due > bytes)
			due = bytes;
		if (due <= used)
			continue;
		n = recv(fd, buf + used, due - used, 0);
		if (n <= 0)
			break;
		used += (size_t)n;
		whole_answers_bytes(buf, used, how->answers, &n_whole);
	}
	return used;
}

/* Prints the status of each answer, and of the one that is cut if there are too few. */
static void print_answers(struct script_ctx *ctx, const char *label, const char *buf, size_t used,
			  size_t answers)
{
	size_t n_whole, at = 0;

	whole_answers_bytes(buf, used, answers, &n_whole);
	for (size_t i = 0; i < answers && i <= n_whole; i++) {
		if (used - at < 12 || strncmp(buf + at, "HTTP/1.", 7) != 0) {
			text_printf(&ctx->out, "%s -> no HTTP answer\n", label);
			return;
		}
		text_printf(&ctx->out, "%s -> %.3s, %s\n", label, buf + at + 9,
			    i < n_whole ? "whole" : "cut");
		at += answer_bytes(buf + at, used - at);
	}
}

void cmd_slow(struct script_ctx *ctx, int argc, char **argv, const char *heredoc)
{
	struct slow_reading how = {.bytes_per_s = strtoul(argv[3], NULL, 10),
				   .answers = 1,
				   .limit_us = RESPONSE_TIMEOUT_MS * BR_US_PER_MS};
	int fd = connect_to(argv[2], SLOW_RECEIVE_BUFFER_BYTES);
	char *buf = malloc(SLOW_MAX_BYTES + 1);
	size_t n;

	(void)heredoc;
	if (argc > 5)
		how.answers = strtoul(argv[5], NULL, 10);
	if (argc > 6)
		how.limit_us = strtoul(argv[6], NULL, 10) * BR_US_PER_S;
	if (fd < 0 || !buf) {
		text_printf(&ctx->out, "%s -> no connection\n", argv[1]);
		free(buf);
		return;
	}
	send_unescaped(fd, argv[4]);
	n = read_slowly(fd, buf, SLOW_MAX_BYTES, &how);
	buf[n] = '\0';
	close(fd);
	print_answers(ctx, argv[1], buf, n, how.answers);
	free(buf);
}
