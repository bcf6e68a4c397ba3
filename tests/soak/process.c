#include "standins/mesh/http.h"
#include "standins/mesh/kv.h"
#include "tests/soak/soak.h"

#include <errno.h>
#include <fcntl.h>
#include <json-c/json.h>
#include <signal.h>
#include <sodium.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define PATH_BYTES 512
#define NODE_KEYS "mesh/node/"
#define KEEPER_KEY "mesh/keeper"
#define FREEZE_US (300 * BR_US_PER_MS)
#define FREEZE_PERIOD_US (500 * BR_US_PER_MS)
#define START_WAIT_US (5 * BR_US_PER_S)

extern char **environ;

struct process {
	pid_t pid;
	uint32_t n_interruptions;
	/** The process was told to exit. */
	bool exit_expected;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct process nodes[NODES_MAX];
static pid_t relays[NODES_MAX][RELAYS];

static pid_t spawn(const char *const *argv, const char *log)
{
	posix_spawn_file_actions_t actions;
	posix_spawnattr_t attr;
	sigset_t none;
	char path[PATH_BYTES];
	pid_t pid;
	int rc;

	snprintf(path, sizeof(path), "%s/%s", soak.dir, log);
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(&actions, 1, path, O_WRONLY | O_CREAT | O_APPEND, 0644);
	posix_spawn_file_actions_adddup2(&actions, 1, 2);
	/* Child processes must not inherit the soak's blocked SIGINT and SIGTERM. */
	sigemptyset(&none);
	posix_spawnattr_init(&attr);
	posix_spawnattr_setsigmask(&attr, &none);
	posix_spawnattr_setflags(&attr, POSIX_SPAWN_SETSIGMASK);
	rc = posix_spawn(&pid, argv[0], &actions, &attr, (char *const *)argv, environ);
	posix_spawnattr_destroy(&attr);
	posix_spawn_file_actions_destroy(&actions);
	if (rc) {
		fprintf(stderr, "soak: cannot start %s: %s\n", argv[0], strerror(rc));
		exit(2);
	}
	return pid;
}

/* Replaces a node's peer address in its store entry by that of the relay in front of the node. */
static void rewrite_entry(struct json_object *put)
{
	struct json_object *key, *value;
	unsigned char text[4096];
	char *at, out[sizeof(text) * 2];
	size_t len = 0;

	if (!json_object_object_get_ex(put, "key", &key) ||
	    !json_object_object_get_ex(put, "value", &value) ||
	    strncmp(json_object_get_string(key), NODE_KEYS, strlen(NODE_KEYS)) != 0)
		return;
	if (sodium_base642bin(text, sizeof(text) - 1, json_object_get_string(value),
			      strlen(json_object_get_string(value)), NULL, &len, NULL,
			      sodium_base64_VARIANT_ORIGINAL))
		return;
	text[len] = '\0';
	for (uint32_t i = 0; i < soak.n_nodes; i++) {
		char from[ADDR_BYTES], to[ADDR_BYTES], rest[sizeof(text)];

		address(from, 10 + i, 18103);
		address(to, 110 + i, 18103);
		at = strstr((char *)text, from);
		if (!at)
			continue;
		snprintf(rest, sizeof(rest), "%s", at + strlen(from));
		snprintf(at, sizeof(text) - (size_t)(at - (char *)text), "%s%s", to, rest);
		break;
	}
	sodium_bin2base64(out, sizeof(out), text, strlen((char *)text),
			  sodium_base64_VARIANT_ORIGINAL);
	json_object_object_add(put, "value", json_object_new_string(out));
}

static bool handle_store(int fd, const struct http_req *in)
{
	struct json_object *o, *puts;
	struct http_req *copy;
	bool ok;

	if (strncmp(in->target, "/kv-txn", strlen("/kv-txn")) != 0)
		return kv_handle(fd, in);
	o = json_tokener_parse(in->body);
	copy = malloc(sizeof(*copy));
	if (!copy)
		abort();
	*copy = *in;
	if (json_object_object_get_ex(o, "puts", &puts))
		for (size_t i = 0; i < json_object_array_length(puts); i++)
			rewrite_entry(json_object_array_get_idx(puts, i));
	snprintf(copy->body, sizeof(copy->body), "%s", json_object_to_json_string(o));
	copy->body_len = strlen(copy->body);
	json_object_put(o);
	ok = kv_handle(fd, copy);
	free(copy);
	return ok;
}

static void write_settings(uint32_t node)
{
	char path[PATH_BYTES], addresses[8][ADDR_BYTES];
	FILE *f;

	address(addresses[0], 10 + node, 18103);
	address(addresses[1], 10 + node, 18108);
	address(addresses[2], 10 + node, 18106);
	address(addresses[3], 10 + node, 18105);
	address(addresses[4], 10 + node, 18107);
	address(addresses[5], 10 + node, 18121);
	snprintf(path, sizeof(path), "%s/node%u.conf", soak.dir, node);
	f = fopen(path, "w");
	if (!f)
		abort();
	fprintf(f,
		"nodeName=node-%u\nzone=z%u\nservice=%s\nlistenAddresses.inbound=%s\n"
		"listenAddresses.outbound=%s\nlistenAddresses.ready=%s\n"
		"listenAddresses.control=%s\napplicationAddress=%s\nplatform.address=%s\n"
		"internalPorts=18110,18119\nlimits.memoryMb=260\nplatform.ttlMin=1000ms\n"
		"bounds=drain=%llums,grace=%llums,configPropagation=%llums,revocation=%llums,"
		"budgetRatio=%g,budgetWindow=10s,budgetSlack=%d,quotaWindow=5s,quotaOverage=%g,"
		"quotaSlack=%d\n",
		node, node % 2, target_service(node), addresses[0], addresses[1], addresses[2],
		addresses[3], addresses[4], addresses[5],
		(unsigned long long)(DRAIN_US / BR_US_PER_MS),
		(unsigned long long)(GRACE_US / BR_US_PER_MS),
		(unsigned long long)(PROPAGATION_US / BR_US_PER_MS),
		(unsigned long long)(REVOCATION_US / BR_US_PER_MS), BUDGET_RATIO, BUDGET_SLACK,
		QUOTA_OVERAGE_RATIO, QUOTA_SLACK);
	fclose(f);
}

static void start_relay(uint32_t node, enum relay relay)
{
	char program[PATH_BYTES], listen[ADDR_BYTES], to[ADDR_BYTES], control[ADDR_BYTES], log[32];
	const char *argv[] = {program, "--listen", listen, "--to", to, "--control", control, NULL};

	snprintf(program, sizeof(program), "%s/standin-relay", soak.build);
	address(control, 10 + node, 18122 + relay);
	switch (relay) {
	case RELAY_STORE:
		address(listen, 10 + node, 18121);
		address(to, 1, 18101);
		break;
	case RELAY_PEER:
		address(listen, 110 + node, 18103);
		address(to, 10 + node, 18103);
		break;
	case RELAY_TARGET:
	case RELAYS:
		address(listen, 10 + node, 18107);
		address(to, 10 + node, 18117);
		break;
	}
	snprintf(log, sizeof(log), "relay%u-%d.log", node, relay);
	relays[node][relay] = spawn(argv, log);
}

void process_relay(uint32_t node, enum relay relay, const char *path)
{
	char control[ADDR_BYTES];

	address(control, 10 + node, 18122 + relay);
	if (http_call_once(control, "POST", path, "") != 200)
		fprintf(stderr, "soak: control call to relay %d of node %u failed\n", relay, node);
}

void process_start_node(uint32_t node)
{
	char program[PATH_BYTES], settings[PATH_BYTES], log[32];
	const char *argv[] = {program, "--settings", settings, NULL};

	snprintf(program, sizeof(program), "%s/briarreel-mesh", soak.build);
	snprintf(settings, sizeof(settings), "%s/node%u.conf", soak.dir, node);
	snprintf(log, sizeof(log), "node%u.log", node);
	pthread_mutex_lock(&lock);
	nodes[node].exit_expected = false;
	nodes[node].pid = spawn(argv, log);
	pthread_mutex_unlock(&lock);
}

uint32_t process_interruptions(uint32_t node)
{
	uint32_t n;

	pthread_mutex_lock(&lock);
	n = nodes[node].n_interruptions;
	pthread_mutex_unlock(&lock);
	return n;
}

void process_signal_node(uint32_t node, int signum)
{
	pthread_mutex_lock(&lock);
	if (nodes[node].pid) {
		/* Answers that a killed or paused process does not send are no violation. */
		if (signum == SIGKILL || signum == SIGSTOP)
			nodes[node].n_interruptions++;
		nodes[node].exit_expected |= signum == SIGKILL;
		kill(nodes[node].pid, signum);
		if (signum == SIGKILL) {
			waitpid(nodes[node].pid, NULL, 0);
			nodes[node].pid = 0;
		}
	}
	pthread_mutex_unlock(&lock);
}

/* Node of the latest keeper that the store knows. */
static uint32_t find_keeper(void)
{
	char value[128] = "";
	uint32_t node;

	if (!kv_get(KEEPER_KEY, value, sizeof(value)) || sscanf(value, "node-%u", &node) != 1 ||
	    node >= soak.n_nodes)
		return NONE;
	return node;
}

void process_freeze_keeper(uint64_t for_us)
{
	for (uint64_t until_us = now_us() + for_us; now_us() < until_us;) {
		uint32_t node = find_keeper();

		if (node != NONE) {
			stability_record_disturbance(node, now_us() + FREEZE_US);
			process_signal_node(node, SIGSTOP);
			sleep_us(FREEZE_US);
			process_signal_node(node, SIGCONT);
		}
		sleep_us(FREEZE_PERIOD_US - FREEZE_US);
	}
}

void process_stop_node(uint32_t node)
{
	uint64_t until_us = now_us() + GRACE_US + SLACK_US;
	pid_t pid;
	int status = 0;

	pthread_mutex_lock(&lock);
	pid = nodes[node].pid;
	nodes[node].exit_expected = true;
	pthread_mutex_unlock(&lock);
	if (!pid)
		return;
	kill(pid, SIGTERM);
	while (waitpid(pid, &status, WNOHANG) == 0) {
		if (now_us() > until_us) {
			report_violation("node %u is still running after its grace time", node);
			process_signal_node(node, SIGKILL);
			return;
		}
		sleep_us(10 * BR_US_PER_MS);
	}
	if (!WIFEXITED(status) || WEXITSTATUS(status))
		report_violation("node %u exited with wait status 0x%x after SIGTERM", node,
				 (unsigned)status);
	pthread_mutex_lock(&lock);
	nodes[node].pid = 0;
	pthread_mutex_unlock(&lock);
}

void process_check(void)
{
	int status;

	pthread_mutex_lock(&lock);
	for (uint32_t i = 0; i < soak.n_nodes; i++) {
		if (!nodes[i].pid || nodes[i].exit_expected ||
		    waitpid(nodes[i].pid, &status, WNOHANG) != nodes[i].pid)
			continue;
		nodes[i].pid = 0;
		nodes[i].n_interruptions++;
		report_violation(
			"node %u exited unexpectedly with wait status 0x%x, see node%u.log", i,
			(unsigned)status, i);
	}
	pthread_mutex_unlock(&lock);
}

void process_start_all(void)
{
	char store[ADDR_BYTES], control[ADDR_BYTES];

	address(store, 1, 18101);
	http_serve(store, handle_store);
	for (uint32_t i = 0; i < soak.n_nodes; i++) {
		write_settings(i);
		for (int k = 0; k < RELAYS; k++)
			start_relay(i, (enum relay)k);
	}
	for (uint32_t i = 0; i < soak.n_nodes; i++) {
		for (int k = 0; k < RELAYS; k++) {
			uint64_t until_us = now_us() + START_WAIT_US;

			address(control, 10 + i, 18122 + (uint32_t)k);
			while (http_call_once(control, "GET", "/standin/stats", "") != 200 &&
			       now_us() < until_us)
				sleep_us(20 * BR_US_PER_MS);
		}
		process_start_node(i);
	}
}

void process_end_all(void)
{
	for (uint32_t i = 0; i < soak.n_nodes; i++) {
		process_signal_node(i, SIGKILL);
		for (int k = 0; k < RELAYS; k++) {
			if (!relays[i][k])
				continue;
			kill(relays[i][k], SIGKILL);
			waitpid(relays[i][k], NULL, 0);
		}
	}
}
