/**
 * @file backend.c
 * Stand-in for a backend: backend ADDRESS NODE_CONTROL_ADDRESS ID SERVICE LOG. It sends a heartbeat
 * every 1.5 s and answers requests and health requests. SIGUSR1 makes it drain; it goes on serving
 * then, until it is killed. SIGHUP makes it leave without draining first: it sends DELETE once, no more
 * heartbeats, and goes on serving as well. SIGUSR2 makes its health answers false (200, also while it leaves) or, the next time, true again. LOG gets a line for each heartbeat and for each request that it runs,
 * with the time of day in milliseconds.
 */
#include "standins/mesh/http.h"

#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define HEARTBEAT_MS 1500
#define POLL_MS 5
#define SLOTS 8

static const char *addr, *control_addr, *id, *service;
static FILE *events;
static volatile sig_atomic_t draining, leaving, health_is_false;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static uint64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static void write_event(const char *what, const char *detail, int status)
{
	pthread_mutex_lock(&lock);
	fprintf(events, "%" PRIu64 " %s %s %d\n", now_ms(), what, detail, status);
	fflush(events);
	pthread_mutex_unlock(&lock);
}

static bool handle(int fd, const struct http_req *req)
{
	char attempt[256] = "", expected[256] = "", fields[1024];

	if (!strcmp(req->target, "/health")) {
		snprintf(fields, sizeof(fields), "X-Instance-Id: %s\r\nX-Server-Load: 0,0,%d\r\n",
			 id, SLOTS);
		return http_answer(fd, (draining || leaving) && !health_is_false ? 503 : 200,
				   fields, "");
	}
	if (!http_req_field(req, "X-Attempt-Id", attempt, sizeof(attempt)))
		return http_answer(fd, 400, "X-Not-Executed: 1\r\n", "");
	if (http_req_field(req, "X-Expected-Instance", expected, sizeof(expected)) &&
	    strcmp(expected, id) != 0) {
		snprintf(fields, sizeof(fields), "X-Instance-Id: %s\r\n", id);
		return http_answer(fd, 421, fields, "");
	}
	write_event("run", attempt, 200);
	snprintf(fields, sizeof(fields), "X-Attempt-Id: %s\r\nX-Server-Seal: seal.%s.%s\r\n",
		 attempt, id, attempt);
	return http_answer(fd, 200, fields, attempt);
}

static void on_drain(int signum)
{
	(void)signum;
	draining = 1;
}

static void on_leave(int signum)
{
	(void)signum;
	leaving = 1;
}

static void on_false_health(int signum)
{
	(void)signum;
	health_is_false = !health_is_false;
}

static void send_heartbeat(uint64_t born_ms, unsigned int sequence)
{
	const char *state = draining ? "draining" : "ready";
	char path[300], body[600];
	int status;

	snprintf(path, sizeof(path), "/instances/%s", id);
	snprintf(body, sizeof(body),
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z1\",\"version\":\"v1\","
		 "\"slots\":%d,\"state\":\"%s\",\"coldRemaining\":\"0ms\",\"sequence\":%u,"
		 "\"born\":%" PRIu64 "}",
		 service, addr, SLOTS, state, sequence, born_ms);
	status = http_call_once(control_addr, "PUT", path, body);
	write_event("heartbeat", state, status);
}

static void send_leave(void)
{
	char path[300];

	snprintf(path, sizeof(path), "/instances/%s", id);
	write_event("leave", id, http_call_once(control_addr, "DELETE", path, ""));
}

/* Waits for the next heartbeat; the first one that tells of draining is sent at once, as is a leave. */
static void wait_for_next(void)
{
	int was_draining = draining;

	for (int ms = 0; ms < HEARTBEAT_MS && draining == was_draining && !leaving; ms += POLL_MS)
		usleep(POLL_MS * 1000);
}

int main(int argc, char **argv)
{
	uint64_t born_ms = now_ms();

	if (argc != 6)
		return 2;
	addr = argv[1];
	control_addr = argv[2];
	id = argv[3];
	service = argv[4];
	events = fopen(argv[5], "a");
	if (!events)
		return 2;
	write_event("born", id, 0);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGUSR1, on_drain);
	signal(SIGHUP, on_leave);
	signal(SIGUSR2, on_false_health);
	http_serve(addr, handle);
	for (unsigned int sequence = 1; !leaving; sequence++) {
		send_heartbeat(born_ms, sequence);
		wait_for_next();
	}
	send_leave();
	for (;;)
		pause();
}
