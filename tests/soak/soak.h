/**
 * @file soak.h
 * Fault soak of the mesh node. Nodes and relays run as child processes; the store, the callers and
 * the targets run as threads of the soak program.
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
/* No node, or no request. */
#define NONE UINT32_MAX

/*
 * Bounds that are set in the nodes' settings, and the time limits of the checks. SLACK_US is added
 * to a bound for scheduling delays of the machine.
 */
#define DRAIN_US (2000 * BR_US_PER_MS)
#define GRACE_US (4000 * BR_US_PER_MS)
#define PROPAGATION_US (2000 * BR_US_PER_MS)
#define REVOCATION_US (5000 * BR_US_PER_MS)
#define STABLE_US (3000 * BR_US_PER_MS)
#define RECOVERY_US (15 * BR_US_PER_S)
#define SLACK_US (250 * BR_US_PER_MS)
#define BUDGET_RATIO 0.2
#define BUDGET_SLACK 48
#define BUDGET_WINDOW_US (10 * BR_US_PER_S)
#define QUOTA_WINDOW_US (5 * BR_US_PER_S)
#define QUOTA_OVERAGE_RATIO 0.1
#define QUOTA_SLACK 20
#define LIMITED_RATE 20
#define LIMITED_BURST 10
/* More than the kernel's buffers hold. */
#define LONG_BYTES (6U << 20)

/** Kinds of request. Each kind has a route of its own, with the kind's name as path prefix. */
enum kind {
	KIND_SAFE,
	/** Not idempotent: may run at most once. */
	KIND_ONCE,
	/** Needs an API key, which is never withdrawn. */
	KIND_KEYED,
	/** Needs an API key that is withdrawn and restored during the run. */
	KIND_FLIPPED,
	/** Its account is limited to LIMITED_RATE and LIMITED_BURST. */
	KIND_LIMITED,
	/** Its route is moved between the two services during the run. */
	KIND_MOVING,
	/** The target sends a KIND_CALL request while it handles this request. */
	KIND_CHAIN,
	/** Sent by a target that handles a KIND_CHAIN request. */
	KIND_CALL,
	/** Its answer has LONG_BYTES and is read slowly. */
	KIND_LONG,
	KINDS,
};

struct soak {
	uint64_t seed;
	/** Third byte of the loopback addresses: 127.0.NET.x. */
	uint32_t net;
	uint32_t n_nodes;
	const char *build, *dir;
	bool stopping;
};

extern struct soak soak;

uint64_t now_us(void);
void sleep_us(uint64_t us);

/** Returns a random number below n. Each thread passes a generator of its own. */
uint32_t random_below(struct br_rng *rng, uint32_t n);

/** Writes "127.0.NET.host:port" to out, which has ADDR_BYTES bytes. */
void address(char *out, uint32_t host, uint32_t port);

/** Counts a violation of a guarantee and prints it with the seed. Thread-safe. */
void report_violation(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
uint32_t violation_count(void);

/* calm.c: records when faults disturbed the nodes and the store. */

/** Records that a node is disturbed until a time. NONE stands for the store. */
void stability_record_disturbance(uint32_t node, uint64_t until_us);

/** True if neither the node nor the store was disturbed in the STABLE_US before a time. */
bool stability_node_and_store(uint32_t node, uint64_t at_us);

/** True if the node was not disturbed from STABLE_US before from_us until now. */
bool stability_node(uint32_t node, uint64_t from_us);

/* record.c: records the requests, their arrivals at targets and the answers. */

/** A request as it arrived at a target. */
struct arrival {
	uint32_t node;
	const char *service;
	const char *target;
	const char *account, *caller_service;
	/** The request still had its API key, which the entry node has to remove. */
	bool key_passed;
	/** Deadline of the request, as time remaining. */
	uint64_t remaining_ms;
	/** Time at which the node acknowledged that the target drains, or 0. */
	uint64_t draining_ack_us;
};

/**
 * Adds a request and writes its id, of at most ID_BYTES, to id. The parent is the request on whose
 * behalf a target sends this one, or NONE. The caller waits for wait_us. Returns the index.
 */
uint32_t record_begin(enum kind kind, uint32_t entry, uint32_t parent, uint64_t wait_us, char *id);

/** Returns the index of the request with an id, or NONE if no caller sent it. */
uint32_t record_find(const char *id);

/** Writes the body with which a target answers request r. */
void record_body(uint32_t r, char *out, size_t out_bytes);

/** Byte of the body of request r of KIND_LONG. */
char record_long_byte(uint32_t r, uint32_t at);

enum kind record_kind(uint32_t r);

/** Records and checks an arrival at a target. The target runs the request, or sheds it if !runs. */
void record_arrival(uint32_t r, const struct arrival *a, bool runs);

/** Records and checks the final status that a caller got; 0 if it got no answer. */
void record_answer(uint32_t r, int status);

bool record_has_run(uint32_t r);

/** Checks the quota and the retry budget over the whole run. Called after the callers ended. */
void record_check_all(void);

/**
 * Returns the ratio of successes to the answered requests that were sent since a time, and sets n
 * to the number of these requests. KIND_LIMITED and KIND_FLIPPED do not count, as refusals are
 * expected for them. Returns 0 if there are none.
 */
double record_success(uint64_t since_us, uint32_t *n);

/** Prints the number of requests by kind and status. */
void record_print(void);

/* config.c: acts as the operator, who writes the configuration to the store. */

void config_init(void);
const char *config_key(enum kind kind);
/** Path prefix of a kind's route, without slashes. */
const char *config_prefix(enum kind kind);
/** Account of a kind's key, or "". */
const char *config_account(enum kind kind);
bool config_idempotent(enum kind kind);
/** Withdraws the key of KIND_FLIPPED, or restores it. */
void config_flip_key(void);
/** Moves the route of KIND_MOVING to the other service. */
void config_move_route(void);
/** The store comes back from its copy, and the operator writes its latest configuration again. */
void config_restore_store(void);
/** Time since which the key of KIND_FLIPPED has been withdrawn, or 0. */
uint64_t config_withdrawn_us(void);
/** Returns the service of KIND_MOVING's route; sets since_us to the time of the last move. */
const char *config_moving_service(uint64_t *since_us);

/* process.c: starts, signals and ends nodes and relays. */

void process_start_all(void);
void process_end_all(void);
/** Starts a node's process. */
void process_start_node(uint32_t node);
void process_signal_node(uint32_t node, int signum);
/** Sends SIGTERM and checks that the node exits with status 0 within its grace time. */
void process_stop_node(uint32_t node);
/** Stops and continues the keeper's process again and again for a time. */
void process_freeze_keeper(uint64_t for_us);
/** Number of kills, pauses and unexpected exits of a node, which excuse missing answers. */
uint32_t process_interruptions(uint32_t node);
/** Checks that no node exited without having been told to. */
void process_check(void);

/** Relays of a node: between it and the store, its peers and its target. */
enum relay {
	RELAY_STORE,
	RELAY_PEER,
	RELAY_TARGET,
	RELAYS
};

/** Sends a control call to a node's relay. */
void process_relay(uint32_t node, enum relay relay, const char *path);

/* target.c: targets and their announcements. */

enum target_fault {
	TARGET_HEALTHY,
	TARGET_SLOW,
	/** Runs the request and closes the connection without an answer. */
	TARGET_CLOSES,
	TARGET_SHEDS,
	TARGET_FAILS,
	/** Sends its answer twice. */
	TARGET_ANSWERS_TWICE,
	/** Closes the connection after half of the body. */
	TARGET_TRUNCATES,
	/** Sheds without the request's id, and writes that again before the next answer. */
	TARGET_REFUSES_AGAIN,
	/** Runs the request and sends bytes that are no HTTP. */
	TARGET_ANSWERS_INVALID,
	TARGET_FAULTS,
};

void target_start_all(void);
void target_set_fault(uint32_t node, enum target_fault fault);
/**
 * Stops a node's target and starts it as a new incarnation; drains and deregisters it first if
 * planned.
 */
void target_replace(uint32_t node, bool planned);
/** Bits of the variant of a leaving: health answers stay good; the node is killed at once. */
#define LEAVE_FALSE_HEALTH 1
#define LEAVE_KILL_AT_ONCE 2
#define LEAVE_VARIANTS 4
/**
 * A target leaves without draining first, its node is killed and started again, and a report that the
 * target sent before arrives late. Later the target ends and starts as a new incarnation.
 */
void target_leave_around_restart(uint32_t node, uint32_t variant);
const char *target_service(uint32_t node);

/* caller.c: callers, which send requests and check the answers. */

void caller_start_all(uint32_t n);
void caller_join_all(void);
/** Opens a connection to a node's port for callers; receive_bytes is the size of its buffer or 0. */
int caller_connect(uint32_t node, int receive_bytes);
/** Writes a request to out and returns its length. */
size_t caller_write_request(char *out, size_t out_bytes, enum kind kind, const char *id,
			    uint64_t wait_us);
/** Copies the value of a header field; false if there is none. */
bool caller_find_header(const char *head, const char *name, char *out, size_t out_bytes);
/**
 * Reports that the connection ended before the whole answer to a request that ran, unless the entry
 * node was interrupted.
 */
void caller_check_closed(uint32_t r, const char *id, uint32_t entry, uint32_t interruptions);
/**
 * Sends one request to an entry node and checks the answer. Opens a connection if *fd is negative,
 * and sets *fd to -1 if the connection was closed. Returns the status, or 0 without an answer.
 */
int caller_send(int *fd, enum kind kind, uint32_t entry, uint32_t parent, uint64_t wait_us);

/* reader.c: callers that read long answers slowly. */

void reader_start_all(uint32_t n);
void reader_join_all(void);

/* fault.c: random faults. */

/** Injects faults for a time, then ends all of them. */
void fault_run(uint64_t for_us);

#endif
