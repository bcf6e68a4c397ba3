/**
 * @file peer_format.h
 * The header fields that nodes add to the requests and answers between them.
 */
#ifndef MESH_PEER_FORMAT_H
#define MESH_PEER_FORMAT_H

#include "mesh/job.h"

/** Field of a request between nodes that holds the job. */
#define PEER_JOB_FIELD "Br-Job"
/** Field of an answer between nodes that holds how the job ended. */
#define PEER_END_FIELD "Br-End"

/** What the field of a request holds; the texts are copies. */
struct peer_job {
	uint64_t left_ms, queue_ms;
	/** Configuration in force at the sender. */
	uint64_t version;
	uint64_t account_hash, route_hash;
	uint8_t rank;
	uint16_t place;
	bool idempotent, is_call;
	char target[BR_NAME_BYTES];
	char account[BR_NAME_BYTES];
	char caller_service[BR_NAME_BYTES];
};

/** What the field of an answer holds. */
struct peer_end {
	enum job_result result;
	enum job_reason reason;
	bool reached, call_failed;
	/** Requests of the target in flight and waiting, and its concurrency limit. */
	uint32_t in_flight, queued, limit;
	/** Requests out of a thousand that failed at the target lately. */
	uint32_t failed_permille;
	/** Configuration in force at the sender, and how long ago it knew of no newer one. */
	uint64_t version, confirmed_ms;
};

void peer_write_job(struct buf *b, const struct job *job, uint64_t version, uint64_t now_us);

/** Returns 0 or -EINVAL. */
int peer_read_job(const char *text, struct peer_job *out);

void peer_write_end(struct buf *b, const struct peer_end *end);

/** Returns 0 or -EINVAL. */
int peer_read_end(const char *text, struct peer_end *out);

#endif
