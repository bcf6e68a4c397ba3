/**
 * @file peer_format.h
 * Encodes and decodes the header fields that nodes add to the requests and answers between them.
 * Values are separated by spaces; names are single words of any length (lib/escape.h).
 */
#ifndef MESH_PEER_FORMAT_H
#define MESH_PEER_FORMAT_H

#include "mesh/job.h"

/** Header field of a request between nodes: the parameters of the job. */
#define PEER_JOB_FIELD "Br-Job"
/** Header field of an answer between nodes: how the job ended, and the sender's state. */
#define PEER_END_FIELD "Br-End"

/** Decoded PEER_JOB_FIELD; the meaning of the members is that in struct job. */
struct peer_job {
	/** Time until the deadline, and longest time in the queue, both counted from sending. */
	uint64_t time_left_ms, queue_time_ms;
	/** Version of the configuration in force at the sender; 0 for none. */
	uint64_t version;
	uint64_t account_hash, route_hash;
	uint8_t rank;
	uint16_t shed_order;
	bool idempotent, is_call;
	const char *target, *account, *caller_service;
	/** Empty if the sender does not name it. */
	const char *service;
	/** Private: memory of the names. */
	char *words;
};

/** Decoded PEER_END_FIELD. */
struct peer_end {
	enum job_result result;
	enum job_reason reason;
	bool reached, call_failed;
	/** Requests of the target in flight and queued, and its concurrency limit. */
	uint32_t in_flight, queued, limit;
	/** Recent failure rate of the target, in failures per 1000 requests. */
	uint32_t failed_permille;
	/**
	 * Version of the configuration in force at the sender, and time since the store was known
	 * to hold no newer one.
	 */
	uint64_t version, confirmation_age_ms;
};

/** Appends PEER_JOB_FIELD; version is that of the configuration in force here. */
void peer_write_job(struct buf *b, const struct job *job, uint64_t version, uint64_t now_us);

/**
 * Parses the value of PEER_JOB_FIELD. Returns 0, or -EINVAL and leaves nothing to be freed; otherwise
 * the caller frees the names with peer_job_clear().
 */
int peer_read_job(const char *text, struct peer_job *out);

/** Frees the names and sets them to NULL; may be called again. */
void peer_job_clear(struct peer_job *job);

/** Appends PEER_END_FIELD. */
void peer_write_end(struct buf *b, const struct peer_end *end);

/** Parses the value of PEER_END_FIELD. Returns 0 or -EINVAL. */
int peer_read_end(const char *text, struct peer_end *out);

#endif
