#include "standins/mesh/http.h"
#include "tests/soak/soak.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define ANNOUNCE_INTERVAL_US (300 * BR_US_PER_MS)
#define WORK_US (20 * BR_US_PER_MS)
#define SLOW_US (400 * BR_US_PER_MS)
#define SLOTS 16
#define HEALTH_PATH "/health"
/* Share of the requests that an injected fault affects. */
#define FAULT_PERCENT 40
/* Time between the stop of a target and the start of its next incarnation. */
#define RESTART_DELAY_US (500 * BR_US_PER_MS)
#define BODY_BYTES 2048
/* Of a target that leaves around its node's restart, from the acknowledgement of its leaving. */
#define KILL_DELAY_US (200 * BR_US_PER_MS)
#define NODE_RESTART_DELAY_US (300 * BR_US_PER_MS)
#define LATE_REPORT_DELAY_US (1000 * BR_US_PER_MS)
#define END_DELAY_US (6000 * BR_US_PER_MS)
#define REFUSAL_FIELDS "X-Not-Executed: 1\r\n"
/* Pause between the copy of a refusal and the answer that is due. */
#define COPY_LEAD_US BR_US_PER_MS

enum target_state {
	STATE_READY,
	STATE_DRAINING,
	/** It has announced that it leaves, serves on and sends no more reports. */
	STATE_LEFT,
	STATE_STOPPED
};

struct target {
	pthread_mutex_t lock;
	char id[64];
	uint32_t incarnation;
	uint64_t started_ms, sequence, draining_ack_us;
	enum target_state state;
	enum target_fault fault;
	/** Its health answers say that it is ready, whatever it is. */
	bool health_is_false;
	struct br_rng rng;
};

static struct target targets[NODES_MAX];

const char *target_service(uint32_t node)
{
	return node % 2 ? "svc-b" : "svc-a";
}

/* Starts a new incarnation of a node's target. Called under the target's lock. */
static void start_incarnation(uint32_t node)
{
	struct target *t = &targets[node];

	t->incarnation++;
	snprintf(t->id, sizeof(t->id), "i-%u-%u", node, t->incarnation);
	t->started_ms = now_us() / BR_US_PER_MS;
	t->sequence = 0;
	t->draining_ack_us = 0;
	t->state = STATE_READY;
	t->fault = TARGET_HEALTHY;
}

static uint32_t node_of(int fd)
{
	struct sockaddr_in sa = {0};
	socklen_t len = sizeof(sa);

	getsockname(fd, (struct sockaddr *)&sa, &len);
	return (ntohl(sa.sin_addr.s_addr) & 0xff) - 10;
}

static bool send_answer(int fd, const char *id, const char *seal, int status, const char *body,
			enum target_fault fault)
{
	char head[512];
	size_t len = strlen(body);
	int n = snprintf(head, sizeof(head),
			 "HTTP/1.1 %d Status\r\nContent-Length: %zu\r\nX-Attempt-Id: %s\r\n"
			 "X-Server-Seal: %s\r\n\r\n",
			 status, len, id, seal);

	if (fault == TARGET_TRUNCATES) {
		http_send(fd, head, (size_t)n);
		http_send(fd, body, len / 2);
		return false;
	}
	if (!http_send(fd, head, (size_t)n) || !http_send(fd, body, len))
		return false;
	return fault != TARGET_ANSWERS_TWICE ||
	       (http_send(fd, head, (size_t)n) && http_send(fd, body, len));
}

static bool send_long_answer(int fd, const char *id, const char *seal, uint32_t r)
{
	char bytes[65536];
	int n = snprintf(bytes, sizeof(bytes),
			 "HTTP/1.1 200 Status\r\nContent-Length: %u\r\nX-Attempt-Id: %s\r\n"
			 "X-Server-Seal: %s\r\n\r\n",
			 LONG_BYTES, id, seal);
	bool ok = http_send(fd, bytes, (size_t)n);

	for (uint32_t at = 0; ok && at < LONG_BYTES; at += sizeof(bytes)) {
		for (uint32_t i = 0; i < sizeof(bytes); i++)
			bytes[i] = record_long_byte(r, at + i);
		ok = http_send(fd, bytes, sizeof(bytes));
	}
	return ok;
}

/* Sends bytes that are no HTTP; some of them say that the request has not run. */
static bool send_invalid_answer(int fd, const char *id, const char *seal, uint32_t r)
{
	static const char *const formats[] = {
		"HTTP/1.1 000 Status\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\n"
		"X-Not-Executed: 1\r\nContent-Length: 3\r\n\r\nodd",
		"HTTP/1.1 503 Status\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\n"
		"X-Not-Executed: 1\r\nX-Field: \x01\r\nContent-Length: 3\r\n\r\nodd",
		"HTTP/1.1 200 Status\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\n"
		"\rContent-Length: 3\r\n\r\nodd",
		"HTTP/1.1 200 Status\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\n"
		"X Field: v\r\nContent-Length: 3\r\n\r\nodd",
		"HTTP/1.1 200 Status\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\n"
		"Transfer-Encoding: chunked\r\n\r\n3\r\noddXY0\r\n\r\n",
		"HTTP/1.1 200 Status\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\nContent-Le",
	};
	char text[512];
	int n = snprintf(text, sizeof(text), formats[r % (sizeof(formats) / sizeof(formats[0]))],
			 id, seal);

	http_send(fd, text, (size_t)n);
	return false;
}

static bool make_call(uint32_t node, uint32_t r, uint64_t remaining_ms)
{
	int fd = -1, status;

	status = caller_send(&fd, KIND_CALL, node, r, remaining_ms * BR_US_PER_MS);
	if (fd >= 0)
		close(fd);
	return status == 200;
}

static bool answer_health(int fd, struct target *t)
{
	char fields[160];
	bool ready;

	pthread_mutex_lock(&t->lock);
	ready = t->state == STATE_READY || t->health_is_false;
	snprintf(fields, sizeof(fields), "X-Instance-Id: %s\r\nX-Server-Load: 0,0,%d\r\n", t->id,
		 SLOTS);
	pthread_mutex_unlock(&t->lock);
	return http_answer(fd, ready ? 200 : 503, fields, "");
}

static bool handle(int fd, const struct http_req *in)
{
	uint32_t node = node_of(fd), r;
	struct target *t = &targets[node];
	char id[ID_BYTES] = "", expected[64] = "", account[64] = "", service[64] = "", text[32];
	char own_id[64], seal[96], fields[160], body[BODY_BYTES];
	/* A thread serves one connection: its last request was refused without an id. */
	static __thread bool refused;
	struct arrival a = {.node = node, .service = target_service(node)};
	enum target_fault fault;
	bool stopped;

	pthread_mutex_lock(&t->lock);
	stopped = t->state == STATE_STOPPED;
	fault = random_below(&t->rng, 100) < FAULT_PERCENT ? t->fault : TARGET_HEALTHY;
	snprintf(own_id, sizeof(own_id), "%s", t->id);
	a.draining_ack_us = t->draining_ack_us;
	pthread_mutex_unlock(&t->lock);
	if (stopped) {
		http_reset_on_close(fd);
		return false;
	}
	if (!strcmp(in->target, HEALTH_PATH))
		return answer_health(fd, t);
	http_req_field(in, "X-Attempt-Id", id, sizeof(id));
	http_req_field(in, "X-Expected-Instance", expected, sizeof(expected));
	http_req_field(in, "X-Tenant", account, sizeof(account));
	http_req_field(in, "X-Caller-Service", service, sizeof(service));
	a.key_passed = http_req_field(in, "Api-Key", text, sizeof(text));
	if (http_req_field(in, "X-Deadline-Milliseconds", text, sizeof(text)))
		a.remaining_ms = strtoull(text, NULL, 10);
	else
		report_violation("%s reached target %s without a deadline", id, own_id);
	a.target = own_id;
	a.account = account;
	a.caller_service = service;
	if (strcmp(expected, own_id) != 0)
		return http_answer(fd, 421, "X-Not-Executed: 1\r\n", "");
	r = record_find(id);
	if (r == NONE) {
		report_violation("target %s got request '%s', which no caller sent", own_id, id);
		return false;
	}
	if (refused) {
		refused = false;
		if (!http_answer(fd, 503, REFUSAL_FIELDS, ""))
			return false;
		sleep_us(COPY_LEAD_US);
	}
	if (fault == TARGET_REFUSES_AGAIN) {
		refused = true;
		record_arrival(r, &a, false);
		return http_answer(fd, 503, REFUSAL_FIELDS, "");
	}
	if (fault == TARGET_SHEDS) {
		record_arrival(r, &a, false);
		snprintf(fields, sizeof(fields), "X-Not-Executed: 1\r\nX-Attempt-Id: %s\r\n", id);
		return http_answer(fd, 503, fields, "");
	}
	record_arrival(r, &a, true);
	sleep_us(fault == TARGET_SLOW ? SLOW_US : WORK_US);
	if (fault == TARGET_CLOSES) {
		http_reset_on_close(fd);
		return false;
	}
	snprintf(seal, sizeof(seal), "%s.%08x", own_id, r);
	if (fault == TARGET_ANSWERS_INVALID)
		return send_invalid_answer(fd, id, seal, r);
	if (fault == TARGET_FAILS ||
	    (record_kind(r) == KIND_CHAIN && !make_call(node, r, a.remaining_ms)))
		return send_answer(fd, id, seal, 500, "failed", TARGET_HEALTHY);
	if (record_kind(r) == KIND_LONG)
		return send_long_answer(fd, id, seal, r);
	record_body(r, body, sizeof(body));
	return send_answer(fd, id, seal, 200, body, fault);
}

/* Sends a report; returns the status of the answer, or 0. */
static int send_report(uint32_t node, const char *state)
{
	struct target *t = &targets[node];
	char path[96], body[512], addr[ADDR_BYTES], control[ADDR_BYTES];

	address(addr, 10 + node, 18107);
	address(control, 10 + node, 18105);
	pthread_mutex_lock(&t->lock);
	snprintf(path, sizeof(path), "/instances/%s", t->id);
	snprintf(body, sizeof(body),
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z%u\",\"version\":\"v1\","
		 "\"slots\":%d,\"state\":\"%s\",\"coldRemaining\":\"0ms\",\"sequence\":%llu,"
		 "\"born\":%llu}",
		 target_service(node), addr, node % 2, SLOTS, state,
		 (unsigned long long)++t->sequence, (unsigned long long)t->started_ms);
	pthread_mutex_unlock(&t->lock);
	return http_call_once(control, "PUT", path, body);
}

static void record_leaving(struct target *t, uint32_t incarnation, int status)
{
	pthread_mutex_lock(&t->lock);
	if (status >= 200 && status < 300 && t->incarnation == incarnation && !t->draining_ack_us)
		t->draining_ack_us = now_us();
	pthread_mutex_unlock(&t->lock);
}

static void announce(uint32_t node)
{
	struct target *t = &targets[node];
	bool draining;
	uint32_t incarnation;
	int status;

	pthread_mutex_lock(&t->lock);
	draining = t->state == STATE_DRAINING;
	incarnation = t->incarnation;
	pthread_mutex_unlock(&t->lock);
	status = send_report(node, draining ? "draining" : "ready");
	if (draining)
		record_leaving(t, incarnation, status);
}

static void *run_announcer(void *arg)
{
	uint32_t node = (uint32_t)(uintptr_t)arg;

	while (!soak.stopping) {
		if (targets[node].state == STATE_READY || targets[node].state == STATE_DRAINING)
			announce(node);
		sleep_us(ANNOUNCE_INTERVAL_US);
	}
	return NULL;
}

void target_start_all(void)
{
	for (uint32_t i = 0; i < soak.n_nodes; i++) {
		struct target *t = &targets[i];
		char addr[ADDR_BYTES];
		pthread_t thread;

		pthread_mutex_init(&t->lock, NULL);
		br_rng_seed(&t->rng, soak.seed * 131 + i);
		start_incarnation(i);
		address(addr, 10 + i, 18117);
		http_serve(addr, handle);
		if (pthread_create(&thread, NULL, run_announcer, (void *)(uintptr_t)i))
			abort();
		pthread_detach(thread);
	}
}

void target_set_fault(uint32_t node, enum target_fault fault)
{
	pthread_mutex_lock(&targets[node].lock);
	targets[node].fault = fault;
	pthread_mutex_unlock(&targets[node].lock);
}

static void set_state(uint32_t node, enum target_state state)
{
	pthread_mutex_lock(&targets[node].lock);
	targets[node].state = state;
	pthread_mutex_unlock(&targets[node].lock);
}

static void restart(uint32_t node)
{
	struct target *t = &targets[node];

	set_state(node, STATE_STOPPED);
	sleep_us(RESTART_DELAY_US);
	pthread_mutex_lock(&t->lock);
	start_incarnation(node);
	pthread_mutex_unlock(&t->lock);
}

/* Announces that the target leaves; returns the status of the answer, or 0. */
static int send_leaving(uint32_t node)
{
	char path[96], control[ADDR_BYTES];

	address(control, 10 + node, 18105);
	snprintf(path, sizeof(path), "/instances/%s", targets[node].id);
	return http_call_once(control, "DELETE", path, "");
}

void target_replace(uint32_t node, bool planned)
{
	struct target *t = &targets[node];

	if (planned) {
		set_state(node, STATE_DRAINING);
		for (uint64_t until_us = now_us() + 3 * BR_US_PER_S;
		     !t->draining_ack_us && now_us() < until_us;)
			sleep_us(20 * BR_US_PER_MS);
		sleep_us(DRAIN_US + 2 * SLACK_US);
		send_leaving(node);
	}
	restart(node);
}

static void set_health_false(struct target *t, bool is_false)
{
	pthread_mutex_lock(&t->lock);
	t->health_is_false = is_false;
	pthread_mutex_unlock(&t->lock);
}

void target_leave_around_restart(uint32_t node, uint32_t variant)
{
	struct target *t = &targets[node];

	set_state(node, STATE_LEFT);
	set_health_false(t, variant & LEAVE_FALSE_HEALTH);
	record_leaving(t, t->incarnation, send_leaving(node));
	if (!(variant & LEAVE_KILL_AT_ONCE))
		sleep_us(KILL_DELAY_US);
	stability_record_disturbance(node, now_us());
	process_signal_node(node, SIGKILL);
	sleep_us(NODE_RESTART_DELAY_US);
	process_start_node(node);
	stability_record_disturbance(node, now_us());
	sleep_us(LATE_REPORT_DELAY_US - KILL_DELAY_US - NODE_RESTART_DELAY_US);
	send_report(node, "ready");
	sleep_us(END_DELAY_US - LATE_REPORT_DELAY_US);
	set_health_false(t, false);
	restart(node);
}
