/**
 * @file main.c
 * Fault soak: runs one seed. Exit status: 0 if no check failed, 1 if one failed, 2 if the run could
 * not start or was ended by a signal.
 */
#include "tests/soak/soak.h"

#include <inttypes.h>
#include <popt.h>
#include <signal.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

/* Time for which the callers go on after the recovery. */
#define AFTER_RECOVERY_US (3 * BR_US_PER_S)
/* Ratio of successes from which the system counts as recovered. */
#define RECOVERED_RATIO 0.95
#define CALLERS_PER_READER 4
/* Interval over which the ratio of successes is measured. */
#define SUCCESS_INTERVAL_US (1 * BR_US_PER_S)
/* Violations that are printed; further ones are only counted. */
#define VIOLATIONS_PRINTED_MAX 20

struct soak soak;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static uint32_t n_violations;

uint64_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

void sleep_us(uint64_t us)
{
	struct timespec ts = {.tv_sec = (time_t)(us / 1000000),
			      .tv_nsec = (long)(us % 1000000) * 1000};

	nanosleep(&ts, NULL);
}

uint32_t random_below(struct br_rng *rng, uint32_t n)
{
	return (uint32_t)br_rng_below(rng, n);
}

void address(char *out, uint32_t host, uint32_t port)
{
	snprintf(out, ADDR_BYTES, "127.0.%u.%u:%u", soak.net, host, port);
}

void report_violation(const char *fmt, ...)
{
	va_list args;

	pthread_mutex_lock(&lock);
	if (n_violations++ < VIOLATIONS_PRINTED_MAX) {
		printf("VIOLATION (seed %" PRIu64 ", %.3f s): ", soak.seed,
		       (double)now_us() / BR_US_PER_S);
		va_start(args, fmt);
		vprintf(fmt, args);
		va_end(args);
		printf("\n");
		fflush(stdout);
	}
	pthread_mutex_unlock(&lock);
}

uint32_t violation_count(void)
{
	return n_violations;
}

/* Waits until the ratio of successes reaches RECOVERED_RATIO; false if the timeout passes. */
static bool wait_recovered(uint64_t timeout_us)
{
	uint64_t until_us = now_us() + timeout_us;
	uint32_t n;

	while (now_us() < until_us) {
		sleep_us(SUCCESS_INTERVAL_US);
		if (record_success(now_us() - SUCCESS_INTERVAL_US, &n) >= RECOVERED_RATIO && n > 0)
			return true;
		process_check();
	}
	return false;
}

static int run(uint32_t callers, uint32_t faults_s)
{
	uint64_t faults_end_us;

	config_init();
	process_start_all();
	target_start_all();
	caller_start_all(callers);
	reader_start_all(callers / CALLERS_PER_READER);
	if (!wait_recovered(RECOVERY_US)) {
		report_violation("too few requests succeed within 15 s of the start");
		return 1;
	}
	fault_run(faults_s * BR_US_PER_S);
	faults_end_us = now_us();
	if (!wait_recovered(RECOVERY_US))
		report_violation("too few requests succeed within 15 s of the last fault");
	printf("  recovered after %.1f s\n", (double)(now_us() - faults_end_us) / BR_US_PER_S);
	sleep_us(AFTER_RECOVERY_US);
	soak.stopping = true;
	caller_join_all();
	reader_join_all();
	process_check();
	record_check_all();
	record_print();
	return violation_count() > 0;
}

/* Ends the child processes if the soak itself gets SIGINT or SIGTERM. */
static void *run_signal_handler(void *arg)
{
	int signum;

	sigwait(arg, &signum);
	process_end_all();
	_exit(2);
}

static void catch_signals(void)
{
	static sigset_t signals;
	pthread_t thread;

	sigemptyset(&signals);
	sigaddset(&signals, SIGINT);
	sigaddset(&signals, SIGTERM);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	if (pthread_create(&thread, NULL, run_signal_handler, &signals))
		abort();
	pthread_detach(thread);
}

int main(int argc, const char **argv)
{
	int seed = 1, net = 64, nodes = 6, callers = 16, faults_s = 15, rc;
	char *build = NULL, *dir = NULL;
	struct poptOption options[] = {
		{"build", 0, POPT_ARG_STRING, &build, 0, "folder of the programs", "DIR"},
		{"dir", 0, POPT_ARG_STRING, &dir, 0, "folder for settings and logs", "DIR"},
		{"seed", 0, POPT_ARG_INT, &seed, 0, "seed of the faults", "N"},
		{"net", 0, POPT_ARG_INT, &net, 0, "third byte of the loopback addresses", "N"},
		{"nodes", 0, POPT_ARG_INT, &nodes, 0, "nodes", "N"},
		{"callers", 0, POPT_ARG_INT, &callers, 0, "callers", "N"},
		{"faults-s", 0, POPT_ARG_INT, &faults_s, 0, "time with faults", "S"},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext popt = poptGetContext("soak", argc, argv, options, 0);

	if (poptGetNextOpt(popt) < -1 || !build || !dir || nodes < 2 || nodes > NODES_MAX ||
	    net < 1 || net > 254) {
		fprintf(stderr,
			"soak: needs --build and --dir, --nodes from 2 to %d, --net from 1 to "
			"254\n",
			NODES_MAX);
		return 2;
	}
	poptFreeContext(popt);
	if (sodium_init() < 0)
		return 2;
	soak = (struct soak){.seed = (uint64_t)seed,
			     .net = (uint32_t)net,
			     .n_nodes = (uint32_t)nodes,
			     .build = build,
			     .dir = dir};
	printf("seed %d, %d nodes, %d callers, %d s of faults\n", seed, nodes, callers, faults_s);
	catch_signals();
	rc = run((uint32_t)callers, (uint32_t)faults_s);
	process_end_all();
	printf("seed %d: %s, %u violations\n", seed, rc ? "FAILED" : "passed", violation_count());
	return rc;
}
