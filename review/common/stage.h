/**
 * @file stage.h
 * What the review's scripts share: nodes started as processes, the platform's store (the project's
 * stand-in), heartbeats, raw HTTP clients and the record of what was sent, answered and run.
 */
#ifndef REVIEW_STAGE_H
#define REVIEW_STAGE_H

#include "standins/mesh/http.h"
#include "standins/mesh/kv.h"

#include <signal.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define STAGE_NODES 9
#define STAGE_TEXT 128

/** Exit codes of a script. */
enum {
	CASE_HELD = 0,
	CASE_BROKEN = 1,
	CASE_NOT_RUN = 2
};

/** One machine: a node and the addresses on it. */
struct machine {
	char name[STAGE_TEXT], zone[STAGE_TEXT], service[STAGE_TEXT];
	char inbound[STAGE_TEXT], outbound[STAGE_TEXT], ready[STAGE_TEXT], control[STAGE_TEXT];
	char application[STAGE_TEXT], settings[256];
	pid_t pid;
};

struct answer {
	/** 0 if the connection ended, or the time was over, before a status line. */
	int status;
	char head[HTTP_HEAD_BYTES];
	/** Length announced, and body bytes received. */
	size_t announced, received;
	/** The whole announced body was received. */
	bool whole;
	/** The connection ended or was reset. */
	bool closed;
};

/** Opens record.txt in the case's folder; picks ports; reads TROUBLE. Exits with 2 on failure. */
void stage_begin(const char *case_dir);
/** False if the script was started with TROUBLE=0. */
bool stage_trouble(void);
/** Starts the store. */
void stage_store(void);
/** Writes a configuration to the store, as the operator does. */
void stage_config(const char *text);
/** Ends all nodes, removes the temporary folder, and exits with the code. */
void stage_end(int code) __attribute__((noreturn));

/** Lays out machine number i, 1 to STAGE_NODES, and writes its settings file. */
struct machine *stage_machine(int i, const char *zone, const char *service);
/** Starts the node of a machine. first: the whole system starts for the first time. */
void stage_start(struct machine *m, bool first);
/** Sends a signal to the node of a machine. */
void stage_signal(struct machine *m, int signum);
/** Waits up to ms for the end of the node's process; false if it goes on. */
bool stage_wait_end(struct machine *m, int ms);
/** Waits until the node answers GET /readiness with 200; ends the script with 2 after 15 s. */
void stage_wait_ready(struct machine *m);

/** Writes a line with the time to record.txt. */
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
uint64_t now_ms(void);
void sleep_ms(uint64_t ms);

/** Sends a heartbeat; returns the status, 0 without an answer. */
int beat(const char *control, const char *id, const char *service, const char *address, int slots,
	 const char *state, unsigned long long sequence, unsigned long long born);

/** Connects to "ip:port"; rcvbuf in bytes, 0 for the system's choice. Returns -1 on failure. */
int client_open(const char *addr, int rcvbuf);
/** Reads one answer. bytes_per_s limits the reading of the body; 0: none. */
void client_read(int fd, struct answer *a, uint64_t timeout_ms, size_t bytes_per_s);
/** Sends a formatted text. */
bool client_send(int fd, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

#endif
