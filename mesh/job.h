/**
 * @file job.h
 * One try of a request at one target: the same interface for the target of this VM and for one
 * behind another node.
 */
#ifndef MESH_JOB_H
#define MESH_JOB_H

#include "briarreel/admission.h"
#include "mesh/model.h"
#include "net/conn_pool.h"

#include <sys/queue.h>

enum job_result {
	/** The target ran the request and its whole answer is here. */
	JOB_ANSWERED,
	/** The target has not run the request and will not. */
	JOB_NOT_RUN,
	/** The target may have run the request; there is no answer. */
	JOB_LOST,
};

/** Why a job has no answer. */
enum job_reason {
	JOB_REASON_NONE,
	/** The node does not serve the wanted target. */
	JOB_REASON_NO_TARGET,
	JOB_REASON_DRAINING,
	/** The node's queue refused it: see admission.h. */
	JOB_REASON_OVERLOAD,
	/** The target itself refused it. */
	JOB_REASON_SHED,
	/** No connection to the target, or to its node. */
	JOB_REASON_UNREACHABLE,
	/** The connection ended without a whole answer. */
	JOB_REASON_BROKEN,
	/** An answer without the proof that the target computed it. */
	JOB_REASON_UNSEALED,
	JOB_REASON_TIMEOUT,
	JOB_REASONS,
};

struct job_end {
	enum job_result result;
	enum job_reason reason;
	/** The answer if the result is JOB_ANSWERED, owned by the callee. */
	struct http_msg *answer;
	/** The request has reached the target. */
	bool reached;
	/** A call that the target made for the request was refused or failed. */
	bool call_failed;
};

struct job {
	/** Set by the owner; the texts and the message must outlive the job. */
	const struct http_msg *msg;
	const char *id;
	const char *target;
	/** Empty if the request has no account. */
	const char *account;
	const char *caller_service;
	uint64_t account_hash;
	uint64_t route_hash;
	/** The target must stop then, and the queue may hold the job until then. */
	uint64_t deadline_us, queue_until_us;
	/** Rank of the caller's request behind this one, 0 being the most important. */
	uint8_t rank;
	/** Place of that request in admission queues. */
	uint16_t place;
	bool idempotent;
	/** The request is a call of a target, made for another request. */
	bool is_call;
	/** Called once unless the job is cancelled. */
	void (*done)(struct job *job, const struct job_end *end);
	/** Private: exactly one of the two ways is in use. */
	struct http_call call;
	struct br_admission_entry entry;
	uint64_t offered_us, started_us;
	bool call_failed;
	LIST_ENTRY(job) running;
	void *runner;
	void (*cancel)(struct job *job);
};

/** Ends a job without a callback; the target is told by closing the connection. */
void job_cancel(struct job *job);

/** Name of a reason for logs, metrics and messages between nodes. */
const char *job_reason_text(enum job_reason reason);

/** Reason with that name, or JOB_REASON_BROKEN. */
enum job_reason job_reason_of(const char *text);

/** Appends request line and the fields that are forwarded, without those that nodes set. */
void job_write_head(struct buf *b, const struct http_msg *m);

#endif
