/**
 * @file job.h
 * A job: one attempt to run a request at one target. The interface is the same for the target of
 * this VM and for targets of other nodes.
 */
#ifndef MESH_JOB_H
#define MESH_JOB_H

#include "briarreel/admission.h"
#include "mesh/model.h"
#include "net/conn_pool.h"

#include <sys/queue.h>

enum job_result {
	/** The target ran the request and its complete answer was received. */
	JOB_ANSWERED,
	/** The target has not run the request and will not run it. */
	JOB_NOT_RUN,
	/** The target may have run the request, but no valid answer was received. */
	JOB_LOST,
};

/** Why a job ended without an answer. */
enum job_reason {
	JOB_REASON_NONE,
	/** The node has no target with the id that the job names. */
	JOB_REASON_NO_TARGET,
	/** The target is shutting down and accepts no more jobs. */
	JOB_REASON_DRAINING,
	/**
	 * The node's admission queue refused or dropped the job: see admission.h; written as
	 * "overload".
	 */
	JOB_REASON_QUEUE_REFUSED,
	/** The target itself refused the request; written as "shed". */
	JOB_REASON_TARGET_REFUSED,
	/** No connection could be opened to the target or to its node. */
	JOB_REASON_UNREACHABLE,
	/** The connection ended before a complete answer was received; written as "broken". */
	JOB_REASON_CONNECTION_LOST,
	/** What was received is not HTTP, or only answers to other requests. */
	JOB_REASON_INVALID_ANSWER,
	/** A successful answer has no PLATFORM_FIELD_SEAL: the target may not have computed it. */
	JOB_REASON_UNSEALED,
	JOB_REASON_TIMEOUT,
	JOB_REASONS,
};

/** How a job ended. */
struct job_end {
	enum job_result result;
	enum job_reason reason;
	/** The answer if the result is JOB_ANSWERED; the done callback takes ownership. */
	struct http_msg *answer;
	/** The request has reached the target, or may have reached it. */
	bool reached;
	/** A call that the target made while it ran the request was refused or failed. */
	bool call_failed;
};

struct job {
	/** Fields up to done are set by the owner; the strings and msg must outlive the job. */
	const struct http_msg *msg;
	/** Request id. */
	const char *id;
	/** Id of the target that the sender knows, and its service; service may be empty. */
	const char *target;
	const char *service;
	/** Empty if the request has no account. */
	const char *account;
	/** Service of the VM on which the request began. */
	const char *caller_service;
	uint64_t account_hash;
	uint64_t route_hash;
	/** Time at which the target must stop, and latest time at which the job may be queued. */
	uint64_t deadline_us, queue_until_us;
	/** Rank of the original request of the caller; 0 is the most important. */
	uint8_t rank;
	/** Shed order of that original request in admission queues: see br_admission_entry. */
	uint16_t shed_order;
	bool idempotent;
	/** The request is a call that a target makes while it runs another request. */
	bool is_call;
	/** Called once unless the job is cancelled. */
	void (*done)(struct job *job, const struct job_end *end);
	/** Private. call is the HTTP exchange, entry the place in the target's admission queue. */
	struct http_call call;
	struct br_admission_entry entry;
	uint64_t offered_us, started_us;
	bool call_failed;
	LIST_ENTRY(job) running_link;
	/** The struct target or struct remote_job that runs the job. */
	void *runner;
	void (*cancel)(struct job *job);
};

/** Cancels a job without calling done; closes its connection, so that the target notices. */
void job_cancel(struct job *job);

/** Name of a reason for logs, metrics and messages between nodes. */
const char *job_reason_text(enum job_reason reason);

/** Parses the name of a reason; an unknown name gives JOB_REASON_CONNECTION_LOST. */
enum job_reason job_reason_parse(const char *text);

/** Why a job is lost whose call ended with a negative error number. */
enum job_reason job_reason_of_error(int err);

/**
 * Appends the request line and the header fields that are forwarded to a target. Fields that nodes
 * set themselves, such as the time left and the target's id, are left out.
 */
void job_write_head(struct buf *b, const struct http_msg *m);

#endif
