/**
 * @file attempt.h
 * Attempt ids: one for each dispatch of a request by an entry node to a target's node.
 *
 * The text is "<entry ip:port>/<incarnation>/<counter>", such as "10.0.0.1:7000/1764845562000/42".
 * The entry node counts its attempts up from 1 and never uses a number twice in one incarnation, so
 * a target's node can tell an old id from a new one after it has forgotten the attempt itself.
 */
#ifndef BRIARREEL_ATTEMPT_H
#define BRIARREEL_ATTEMPT_H

#include "briarreel/types.h"

/** Bytes of the text of an attempt id with its terminator. */
#define BR_ATTEMPT_ID_BYTES (BR_NODE_ID_BYTES + 42)

struct br_attempt_id {
	/** Node that the caller is connected to. */
	struct br_node_id entry;
	/** Incarnation of that node. */
	uint64_t incarnation;
	/** From 1; 0 means that there is no attempt. */
	uint64_t counter;
};

/** Writes the text of an id; out has BR_ATTEMPT_ID_BYTES. */
void br_attempt_id_format(const struct br_attempt_id *id, char *out);

/** Reads the text of an id; 0 or -EINVAL. Other spellings of a number (+1, 01) are refused. */
int br_attempt_id_parse(const char *text, struct br_attempt_id *id);

/** True if both ids name the same attempt. */
bool br_attempt_id_equal(const struct br_attempt_id *a, const struct br_attempt_id *b);

/** True if both attempts were made by the same process. */
bool br_attempt_same_entry(const struct br_attempt_id *a, const struct br_attempt_id *b);

#endif
