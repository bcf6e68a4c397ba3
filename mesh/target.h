/**
 * @file target.h
 * The target of this VM: its state as reported, its admission queue, and the connections to it.
 */
#ifndef MESH_TARGET_H
#define MESH_TARGET_H

#include "briarreel/left_list.h"
#include "mesh/board.h"
#include "mesh/job.h"
#include "mesh/peer_format.h"

enum target_phase {
	/** No target has reported yet. */
	TARGET_ABSENT,
	TARGET_SERVING,
	/**
	 * The target has announced that it leaves. No new jobs are assigned to it, but jobs that
	 * still arrive are accepted for most of the drain time.
	 */
	TARGET_LEAVING,
	/**
	 * The target gets no more jobs: most of the drain time is over, its node stops, or another
	 * node has taken over its entry. Running jobs may continue.
	 */
	TARGET_CLOSED,
};

/** State of the target that is published to other nodes. */
struct target_status {
	enum target_phase phase;
	char id[BR_NAME_BYTES];
	char service[BR_NAME_BYTES];
	/** Requests that the target runs concurrently. */
	uint32_t slots;
	/** The target is expected to be slow after its start until this time. */
	uint64_t cold_until_us;
};

/**
 * Creates the target in TARGET_ABSENT; never returns NULL. changed(ctx) is called when the status
 * has changed and must be published to other nodes.
 */
struct target *target_create(struct board *board, void (*changed)(void *ctx), void *ctx);

/** Drops the queued jobs as JOB_NOT_RUN. Running jobs must have ended; NULL is allowed. */
void target_destroy(struct target *t);

/**
 * Processes a report of the target. Reports older than the known state are ignored, and so are
 * further reports of an incarnation in TARGET_CLOSED, those of targets that have left, and cold_ms of
 * all reports but the first. A report that may have been overtaken by the target's leaving waits for target_confirm(). Returns
 * false for a report that is not of the target that the settings name.
 */
bool target_report(struct target *t, const struct target_report *r);

/** The targets that have left, as far as this process and earlier ones of this node know. */
const struct br_left_list *target_left(const struct target *t);

/** Adds what earlier processes of this node have stored; the own list has the later ones. */
void target_add_earlier_left(struct target *t, const struct br_left_list *earlier);

/**
 * Adds targets that have left as another node knows from an earlier process of this one. The current target
 * is closed if it is one of them.
 */
void target_add_left(struct target *t, const struct br_left_list *left);

/**
 * Tells that all is added that can be known of earlier processes, and adds the given list. After a restart
 * of the node alone no target is confirmed before that.
 */
void target_restore_left(struct target *t, const struct br_left_list *earlier);

/** Tests whether target_restore_left() is awaited. */
bool target_awaits_left(const struct target *t);

/** Tests whether a report waits for target_confirm(). */
bool target_needs_confirmation(const struct target *t);

/**
 * Processes a health answer in which the target id says that it is ready. It proves that the target
 * runs, but not that it has not left, since health answers may be false. slots is 0 if the answer
 * does not tell them. asked_us is the time at which the health request was sent: an answer to an
 * earlier question than the report or the leaving that it would settle is ignored.
 */
void target_confirm(struct target *t, const char *id, uint32_t slots, uint64_t asked_us);

/** Processes a target's announcement that it leaves, also of one that is not the current target. */
void target_leave(struct target *t, const char *id);

const struct target_status *target_status(const struct target *t);

/** Runs a job at once or queues it; ends it as JOB_NOT_RUN if it is refused. */
void target_run(struct target *t, struct job *job);

/**
 * Finds the running job that made the call with this id; NULL if there is none. The id of a call
 * is the id of the request for which it is made, followed by a dot and a suffix.
 */
const struct job *target_find_calling_job(const struct target *t, const char *call_id);

/**
 * Marks the call with this id as refused or failed (status 429 or higher), so that a failure of the
 * job that made it is not counted against the target.
 */
void target_mark_call_failed(struct target *t, const char *call_id);

/** Fills in_flight, queued, limit and failed_permille of an answer to another node. */
void target_get_load(const struct target *t, struct peer_end *end);

/**
 * Closes old idle connections, and changes a leaving target to TARGET_CLOSED when the time in which
 * it accepts jobs is over; call about twice a second.
 */
void target_sweep(struct target *t);

/** Number of connections opened to targets since target_create(). */
uint64_t target_connections_opened(const struct target *t);

#endif
