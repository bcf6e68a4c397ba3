/**
 * @file attempt.h
 * Attempt ids. Each dispatch of a request by an entry node to a target's node has its own id.
 *
 * The text is "<entry ip:port>/<incarnation>/<counter>", such as "10.0.0.1:7000/1764845562000/42".
 * The entry node numbers its attempts from 1 and never reuses a number within one incarnation, so a
 * target's node can recognise an old id after it has removed its record of the attempt.
 */
#ifndef BRIARREEL_ATTEMPT_H
#define BRIARREEL_ATTEMPT_H

#include "briarreel/types.h"

/**
 * Size of the text of an attempt id in bytes, including its terminator: a node id, two slashes and
 * two numbers of up to 20 digits.
 */
#define BR_ATTEMPT_ID_BYTES (BR_NODE_ID_BYTES + 42)

struct br_attempt_id {
	/** Entry node: the node that the caller is connected to. */
	struct br_node_id entry;
	/** Incarnation of the entry node. */
	uint64_t incarnation;
	/** Number of the attempt, from 1; 0 means no attempt. */
	uint64_t counter;
};

/** Writes the text of an id to out, which must hold BR_ATTEMPT_ID_BYTES bytes. */
void br_attempt_id_format(const struct br_attempt_id *id, char *out);

/**
 * Parses the text of an id. Returns 0, or -EINVAL if it is malformed, also for a number that is 0
 * or written as +1 or 01.
 */
int br_attempt_id_parse(const char *text, struct br_attempt_id *id);

/** True if both ids identify the same attempt. */
bool br_attempt_id_equal(const struct br_attempt_id *a, const struct br_attempt_id *b);

/** True if both attempts were made by the same incarnation of the same entry node. */
bool br_attempt_same_entry(const struct br_attempt_id *a, const struct br_attempt_id *b);

#endif
