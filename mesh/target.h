/**
 * @file target.h
 * The target of this VM: its reports, its queue, and the connections to it.
 */
#ifndef MESH_TARGET_H
#define MESH_TARGET_H

#include "mesh/board.h"
#include "mesh/job.h"
#include "mesh/peer_format.h"

enum target_phase {
	/** No target has reported yet. */
	TARGET_ABSENT,
	TARGET_SERVING,
	/** It has said that it leaves: it takes work until the drain time is over. */
	TARGET_LEAVING,
	/** It gets nothing more. */
	TARGET_GONE,
};

/** What other nodes need to know of the target. */
struct target_status {
	enum target_phase phase;
	char id[BR_NAME_BYTES];
	char service[BR_NAME_BYTES];
	uint32_t slots;
	uint64_t cold_until_us;
};

/** changed is called when the status changes in a way that other nodes need to know. */
struct target *target_create(struct board *board, void (*changed)(void *ctx), void *ctx);
void target_destroy(struct target *t);

/** Takes a report of the target. */
void target_report(struct target *t, const struct target_report *r);

/** The target with that id has left. */
void target_leave(struct target *t, const char *id);

const struct target_status *target_status(const struct target *t);

/** Runs a job, now or once there is room. */
void target_run(struct target *t, struct job *job);

/**
 * The job that the target is running and that made a call with this id, or NULL: the ids of calls
 * begin with the id of the request for which they are made.
 */
const struct job *target_caller_of(const struct target *t, const char *call_id);

/** A call with this id was refused or has failed: the job that made it is going to fail. */
void target_call_failed(struct target *t, const char *call_id);

/** Fills what an answer to another node says of the load. */
void target_load(const struct target *t, struct peer_end *end);

/** Removes expired jobs from the queue; call about every 20 ms while something is queued. */
void target_tick(struct target *t);

/** Connections opened to targets. */
uint64_t target_connections_opened(const struct target *t);

#endif
