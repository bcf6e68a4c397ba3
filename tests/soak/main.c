/**
 * @file main.c
 * Fault soak: one run of a seed. Status 0 if no promise was broken, 1 otherwise.
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

#define CALM_US (3 * BR_US_PER_S)
/* Part of the requests that is served once the system has recovered. */
#define RECOVERED 0.95
#define PROBE_US (1 * BR_US_PER_S)
#define PRINTED_MAX 20

struct soak soak;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static uint32_t n_broken;

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

uint32_t draw(struct br_rng *rng, uint32_t n)
{
	return (uint32_t)br_rng_below(rng, n);
}

void address(char *out, uint32_t host, uint32_t port)
{
	snprintf(out, ADDR_BYTES, "127.0.%u.%u:%u", soak.net, host, port);
}

void broken(const char *fmt, ...)
{
	va_list args;

	pthread_mutex_lock(&lock);
	if (n_broken++ < PRINTED_MAX) {
		printf("BROKEN (seed %" PRIu64 ", %.3f s): ", soak.seed,
		       (double)now_us() / BR_US_PER_S);
		va_start(args, fmt);
		vprintf(fmt, args);
		va_end(args);
		printf("\n");
		fflush(stdout);
	}
	pthread_mutex_unlock(&lock);
}

uint32_t broken_count(void)
{
	return n_broken;
}

/* Waits until nearly all requests of the last second are served, for a time at most. */
static bool wait_served(uint64_t most_us)
{
	uint64_t until_us = now_us() + most_us;
	uint32_t n;

	while (now_us() < until_us) {
		sleep_us(PROBE_US);
		if (record_success(now_us() - PROBE_US, &n) >= RECOVERED && n > 0)
			return true;
		process_check();
	}
	return false;
}

static int run(uint32_t callers, uint32_t faults_s)
{
	uint64_t healed_us;

	config_init();
	process_start_all();
	target_start_all();
	caller_start_all(callers);
	if (!wait_served(RECOVERY_US)) {
		broken("requests are not served after the start");
		return 1;
	}
	fault_run(faults_s * BR_US_PER_S);
	healed_us = now_us();
	if (!wait_served(RECOVERY_US))
		broken("requests are not served 15 s after the last fault");
	printf("  served again after %.1f s\n", (double)(now_us() - healed_us) / BR_US_PER_S);
	sleep_us(CALM_US);
	soak.stopping = true;
	caller_join_all();
	process_check();
	record_check_all();
	record_print();
	return broken_count() > 0;
}

/* Ends the processes that were started where the soak itself is ended. */
static void *run_signals(void *arg)
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
	if (pthread_create(&thread, NULL, run_signals, &signals))
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
		fprintf(stderr, "soak: needs --build and --dir; 2 to %d nodes\n", NODES_MAX);
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
	printf("seed %d: %s, %u broken\n", seed, rc ? "FAILED" : "passed", broken_count());
	return rc;
}
