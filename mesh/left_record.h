/**
 * @file left_record.h
 * Keeps in the store, and at other nodes (mesh/left_copies.h), which targets of this VM have left, so that
 * the next process of this node knows what this one has acknowledged. The key outlives the node's lease.
 */
#ifndef MESH_LEFT_RECORD_H
#define MESH_LEFT_RECORD_H

#include "mesh/board.h"

#include <sys/queue.h>

struct left_record;

/** An answer that waits until a leaving is stored; embedded by its owner. */
struct left_wait {
	/**
	 * Set by the owner; called once, when the leaving will outlive this process, or when that takes too
	 * long: left_record_outlives() tells which.
	 */
	void (*done)(struct left_wait *w);
	/** Private. */
	TAILQ_ENTRY(left_wait) link;
	uint64_t until_us;
	bool waiting;
};

/**
 * Reads what earlier processes of this node have stored, but at the first start of the whole system,
 * and passes it to target_add_earlier_left(). board->target must exist and outlive the result.
 */
struct left_record *left_record_create(struct board *board);

/** Ends all waits without calling done, and frees the record; NULL is allowed. */
void left_record_destroy(struct left_record *r);

/** Stores target_left() if it has changed since it was last stored. Failed writes are repeated. */
void left_record_write(struct left_record *r);

/** Stores the list once more, since the store has lost what was written lately. */
void left_record_write_again(struct left_record *r);

/** Tests whether the store has all that this process knows, and has been read. */
bool left_record_is_stored(const struct left_record *r);

/** Tests whether what earlier processes have stored has been read. */
bool left_record_is_loaded(const struct left_record *r);

/** Tests whether the store or another node has all changes. */
bool left_record_outlives(const struct left_record *r);

/**
 * Waits until the store, or enough other nodes, have all changes, but no longer than an acknowledgement may
 * take. Returns false, and does not wait, if they have.
 */
bool left_record_wait(struct left_record *r, struct left_wait *w);

/** Ends a wait without calling done; does nothing if w is not waiting. */
void left_record_cancel(struct left_record *r, struct left_wait *w);

#endif
