/**
 * @file standin.h
 * Helpers shared by the stand-ins: query parameters, condition variables, options and signals.
 */
#ifndef STANDINS_STANDIN_H
#define STANDINS_STANDIN_H

#include "common/http_server.h"

#include <civetweb.h>
#include <popt.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/** Copies a decoded query parameter to dst; false if it is absent or too long. */
static inline bool standin_query(struct mg_connection *conn, const char *name, char *dst,
				 size_t dst_bytes)
{
	const char *query = mg_get_request_info(conn)->query_string;

	dst[0] = '\0';
	return query && mg_get_var(query, strlen(query), name, dst, dst_bytes) >= 0;
}

/** Returns a query parameter as a decimal number, or fallback if it is absent or not a number. */
static inline uint64_t standin_query_u64(struct mg_connection *conn, const char *name,
					 uint64_t fallback)
{
	char text[32];
	char *end;
	uint64_t n;

	if (!standin_query(conn, name, text, sizeof(text)))
		return fallback;
	n = strtoull(text, &end, 10);
	return *end || end == text ? fallback : n;
}

/** Makes the server close the connection once the handler returns; the handler sends no reply. */
static inline void standin_close_unanswered(struct mg_connection *conn)
{
	mg_disable_keep_alive(conn);
}

/** Initialises a condition variable on the monotonic clock, as standin_cond_wait() needs it. */
static inline void standin_cond_init(pthread_cond_t *cond)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(cond, &attr);
	pthread_condattr_destroy(&attr);
}

/** Waits up to timeout_us microseconds for cond; may return earlier without a signal. */
static inline void standin_cond_wait(pthread_cond_t *cond, pthread_mutex_t *lock,
				     uint64_t timeout_us)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_sec += (time_t)(timeout_us / 1000000);
	ts.tv_nsec += (long)(timeout_us % 1000000) * 1000;
	if (ts.tv_nsec >= 1000000000) {
		ts.tv_sec++;
		ts.tv_nsec -= 1000000000;
	}
	pthread_cond_timedwait(cond, lock, &ts);
}

/**
 * Parses the command line. Prints an error and exits with status 2 if an option is wrong or an
 * argument is left over. table must include POPT_AUTOHELP.
 */
static inline void standin_parse_options(int argc, const char **argv,
					 const struct poptOption *table)
{
	poptContext ctx = poptGetContext(NULL, argc, argv, table, 0);
	int rc = poptGetNextOpt(ctx);

	if (rc < -1) {
		fprintf(stderr, "%s: %s: %s\n", argv[0], poptBadOption(ctx, 0), poptStrerror(rc));
		poptFreeContext(ctx);
		exit(2);
	}
	if (poptPeekArg(ctx)) {
		fprintf(stderr, "%s: %s: unexpected argument\n", argv[0], poptPeekArg(ctx));
		poptFreeContext(ctx);
		exit(2);
	}
	poptFreeContext(ctx);
}

/**
 * Ignores SIGPIPE and blocks SIGTERM and SIGINT, which are stored in set for
 * standin_wait_signal(). Must be called before any thread is started.
 */
static inline void standin_block_signals(sigset_t *set)
{
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	pthread_sigmask(SIG_BLOCK, set, NULL);
}

/** Waits for one of the blocked signals. */
static inline void standin_wait_signal(const sigset_t *set)
{
	int sig;

	sigwait(set, &sig);
}

#endif
