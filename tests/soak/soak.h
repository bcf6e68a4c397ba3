/**
 * @file soak.h
 * Fault soak of the mesh node: real nodes and relays as processes, callers and targets in this one.
 *
 * All times are microseconds of the monotonic clock.
 */
#ifndef TESTS_SOAK_SOAK_H
#define TESTS_SOAK_SOAK_H

#include "briarreel/types.h"

#include <pthread.h>
#include <sys/types.h>

#define NODES_MAX 12
#define ID_BYTES 96
#define ADDR_BYTES 32
#define NONE UINT32_MAX

/* Bounds that the nodes are given, and what this machine's scheduling may add. */
#define DRAIN_US (2000 * BR_US_PER_MS)
#define GRACE_US (4000 * BR_US_PER_MS)
#define PROPAGATION_US (2000 * BR_US_PER_MS)
#define REVOCATION_US (5000 * BR_US_PER_MS)
#define STABLE_US (3000 * BR_US_PER_MS)
#define RECOVERY_US (15 * BR_US_PER_S)
#define SLACK_US (250 * BR_US_PER_MS)
#define BUDGET_RATIO 0.2
#define BUDGET_EXTRA 48
#define BUDGET_WINDOW_US (10 * BR_US_PER_S)
#define QUOTA_WINDOW_US (5 * BR_US_PER_S)
#define QUOTA_OVER_PART 0.1
#define QUOTA_OVER_EXTRA 20
#define LIMITED_RATE 20
#define LIMITED_BURST 10

/** Kinds of request; each has a route with its name as the prefix. */
enum kind {
	KIND_SAFE,
	/** May run once. */
	KIND_ONCE,
	/** Needs a key, which is never withdrawn. */
	KIND_KEYED,
	/** Needs a key that is withdrawn and given back. */
	KIND_FLIPPED,
	/** Its account has a small rate. */
	KIND_LIMITED,
	/** Its route moves from service to service. */
	KIND_MOVING,
	/** The target makes a call for it. */
	KIND_CHAIN,
	/** Such a call. */
	KIND_CALL,
	KINDS,
};

struct soak {
	uint64_t seed;
	/** Second byte of the loopback addresses: 127.0.NET.x. */
	uint32_t net;
	uint32_t n_nodes;
	const char *build, *dir;
	bool stopping;
};

extern struct soak soak;

uint64_t now_us(void);
void sleep_us(uint64_t us);

/** Random number below n, of a state of its own for each user. */
uint32_t draw(struct br_rng *rng, uint32_t n);

/** "127.0.NET.host:port". */
void address(char *out, uint32_t host, uint32_t port);

/** Notes that a promise was broken, with the seed. */
void broken(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
uint32_t broken_count(void);

/* calm.c: what was disturbed when. */

/** Node i is disturbed from now on until a time; the store for all nodes with NONE. */
void calm_disturb(uint32_t node, uint64_t until_us);

/** True if a node and the store were left alone for STABLE_US before a time. */
bool calm_in_touch(uint32_t node, uint64_t at_us);

/** True if a node was left alone for STABLE_US before from, and up to now. */
bool calm_node(uint32_t node, uint64_t from_us);

/* record.c: requests, and what callers and targets have seen of them. */

struct arrival {
	uint32_t node;
	const char *service;
	const char *target;
	const char *account, *caller_service;
	bool key_passed;
	uint64_t left_ms;
	uint64_t leaving_ack_us;
};

/** Adds a request and writes its id. */
uint32_t record_begin(enum kind kind, uint32_t entry, uint32_t parent, uint64_t wait_us, char *id);

/** Index of an id, or NONE if no caller sent it. */
uint32_t record_find(const char *id);

/** Body with which a target answers. */
void record_body(uint32_t r, char *out, size_t out_bytes);

enum kind record_kind(uint32_t r);

/** A request has reached a target, which refuses it if runs is false. Checks what the target sees. */
void record_arrival(uint32_t r, const struct arrival *a, bool runs);

/** A caller has the final status of a request. */
void record_answer(uint32_t r, int status);

bool record_has_run(uint32_t r);

/** Checks that need the whole run: quota and retry budget. */
void record_check_all(void);

/** Part of the requests answered with success since a time, and their number. */
double record_success(uint64_t since_us, uint32_t *n);

/** Prints counts by kind and status. */
void record_print(void);

/* config.c: the operator. */

void config_init(void);
const char *config_key(enum kind kind);
/** Text of the prefix of a kind's route, without slashes. */
const char *config_prefix(enum kind kind);
/** Account of a kind's key, or "". */
const char *config_account(enum kind kind);
bool config_idempotent(enum kind kind);
void config_flip_key(void);
void config_move_route(void);
/** Time since which the key of KIND_FLIPPED has been withdrawn, or 0. */
uint64_t config_withdrawn_us(void);
/** Service of the moving route, and since when. */
const char *config_moving_service(uint64_t *since_us);

/* process.c */

void process_start_all(void);
void process_end_all(void);
/** Starts a node again. */
void process_start_node(uint32_t node);
void process_signal_node(uint32_t node, int signum);
/** Sends SIGTERM and checks that the node ends in time with status 0. */
void process_stop_node(uint32_t node);
/** Count of the node's starts: a change means that its connections are gone. */
uint32_t process_incarnation(uint32_t node);
/** Checks that no node has ended by itself. */
void process_check(void);

enum relay {
	RELAY_STORE,
	RELAY_PEER,
	RELAY_TARGET,
	RELAYS
};

/** Sends a control call to a node's relay. */
void process_relay(uint32_t node, enum relay relay, const char *path);

/* target.c */

enum target_fault {
	TARGET_SOUND,
	TARGET_SLOW,
	/** Runs, and closes the connection. */
	TARGET_LOSES,
	TARGET_SHEDS,
	TARGET_FAILS,
	/** Sends an answer twice. */
	TARGET_ECHOES,
	/** Ends an answer early. */
	TARGET_TRUNCATES,
	TARGET_FAULTS,
};

void target_start_all(void);
void target_set_fault(uint32_t node, enum target_fault fault);
/** Leaves, and comes back as a new incarnation. */
void target_replace(uint32_t node, bool planned);
const char *target_service(uint32_t node);

/* caller.c */

void caller_start_all(uint32_t n);
void caller_join_all(void);
/** Sends one request and takes its answer; returns the status, 0 without one. */
int caller_send(int *fd, enum kind kind, uint32_t entry, uint32_t parent, uint64_t wait_us);

/* fault.c */

/** Injects faults for a time, then undoes all. */
void fault_run(uint64_t for_us);

#endif
