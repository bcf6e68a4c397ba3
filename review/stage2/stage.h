/**
 * @file stage.h
 * A small deployment of mesh nodes for the cases of the second review: the platform's store, the
 * targets and the callers are threads of this process, the nodes are processes of their own.
 */
#ifndef STAGE_H
#define STAGE_H

#include <stdbool.h>
#include <stdint.h>

#define NODES_MAX 12
#define ID_BYTES 48
#define HOST "shop.example"

/** Returned by a case's main(). */
enum {
	CASE_HELD = 0,
	CASE_BROKEN = 1,
	CASE_NOT_RUN = 2
};

/** What a node's target does besides answering requests. */
struct target {
	const char *service;
	char id[ID_BYTES];
	uint64_t born_ms;
	/** Its health answers say that it is ready although it leaves. */
	bool health_lies;
	/** It has announced that it leaves; it reports nothing from then on if it is silent. */
	bool leaving, silent;
	/** It has ended, or has no power: connections are reset. */
	bool ended, off;
	uint64_t work_ms;
};

/** One request that a target ran. */
struct run {
	uint64_t at_ms;
	int node;
	/** account and caller: values of X-Tenant and X-Caller-Service. */
	char id[ID_BYTES], account[ID_BYTES], caller[ID_BYTES];
};

/** One request of a caller. */
struct call {
	uint64_t sent_ms, done_ms;
	int node, status;
	char id[ID_BYTES];
};

/** Milliseconds since stage_start(). */
uint64_t stage_ms(void);
void stage_sleep(uint64_t ms);
void stage_sleep_until(uint64_t ms);

/** Opens the record and the store; n nodes with one target each. Exits with 2 on failure. */
void stage_start(const char *record_path, int n);
/** Ends all processes of the case and closes the record. */
void stage_stop(void);
/** Adds a line with the time to the record and to standard output. */
void stage_note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/** False if TROUBLE=0 is set. */
bool stage_trouble(void);

struct target *stage_target(int node);
/** Starts the target's reports and its server; services are set before. */
void stage_start_targets(void);
/** The target loses power: its connections are reset and it reports nothing. */
void stage_target_off(int node);
/** It is up again, as a new incarnation. */
void stage_target_on(int node);
/** Sends the target's call "DELETE /instances/ID"; returns the status. */
int stage_target_leave(int node);
/**
 * Sends a heartbeat as another writer would: for the target's id, ready, with a sequence of its own
 * and a number in place of the text of coldRemaining. Returns the status.
 */
int stage_odd_report(int node, uint64_t sequence);
/** Sends one report with the state; returns the status. */
int stage_target_report(int node, const char *state);

void stage_start_node(int node, bool first_start);
/** SIGKILL, and waits for the end. */
void stage_kill_node(int node);
void stage_signal_node(int node, int signum);
bool stage_node_ended(int node);
/** Waits until the node answers 200 to "GET /readiness". */
bool stage_wait_ready(int node, uint64_t timeout_ms);

/** Writes op/config as the operator; returns the revision of the write. */
uint64_t stage_put_config(const char *text);
/** Copies what the store holds now. */
void stage_store_copy(void);
/** The store is away: connections are reset, also those that wait. */
void stage_store_down(void);
/**
 * The store is back with what the copy holds, under the next era; config (or NULL) is the
 * configuration that the operator writes again at once, next the one that it writes after it.
 */
void stage_store_back(const char *config, const char *next);
/** Index of the node that the store names as keeper; -1 if it names none. */
int stage_keeper(void);

/**
 * Sends one request to a node and waits for the answer; key NULL sends none. Records it and returns
 * the status, 0 if there was no complete answer. id is filled.
 */
int stage_call(int node, const char *method, const char *path, const char *key, uint64_t left_ms,
	       char id[ID_BYTES]);

/** Requests of callers and runs of targets so far; the arrays grow, so read them after the end. */
const struct run *stage_runs(int *n);
const struct call *stage_calls(int *n);
/** Finds a request by its id; NULL if no caller sent it. */
const struct call *stage_find_call(const char *id);

#endif
