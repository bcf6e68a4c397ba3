/**
 * @file start_check.h
 * Asks other nodes what a process that has started can't know: which version of the configuration they have,
 * since the store may have come back from an older copy, and which targets of this VM have left, since the
 * store may have been away then, and health answers may be false.
 */
#ifndef MESH_START_CHECK_H
#define MESH_START_CHECK_H

#include "mesh/board.h"
#include "net/http_msg.h"

/** Header field of the question, whose body names the node that asks. */
#define START_FIELD "Br-Start"

struct start_check;

/**
 * Starts asking, but at the first start of the whole system. Sets board.others_asked, calls asked(ctx) and
 * target_restore_left(). board->members, target and left_record must exist and outlive the result.
 */
struct start_check *start_check_create(struct board *board, void (*asked)(void *ctx), void *ctx);

/** Cancels the questions; NULL is allowed. */
void start_check_destroy(struct start_check *s);

/** Asks again, since the store has come back from an older copy. */
void start_check_again(struct start_check *s);

/** Answers another node's question. */
void start_check_answer(const struct board *board, const struct http_msg *m, struct buf *out);

#endif
