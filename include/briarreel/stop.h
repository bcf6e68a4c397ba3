/**
 * @file stop.h
 * Decides what a process that has been asked to stop still takes: work that would be cut at its end
 * is refused while that is still true, before it is passed on.
 */
#ifndef BRIARREEL_STOP_H
#define BRIARREEL_STOP_H

#include "briarreel/types.h"

/** A planned stop; all zero while there is none. */
struct br_stop {
	uint64_t started_us;
	/** Callers have noticed the stop by then, and send no more requests. */
	uint64_t noticed_us;
	/** The latest answers are sent then; the process ends soon after. */
	uint64_t until_us;
};

/** Tests whether work that is expected to take expected_us would end in time. */
bool br_stop_can_finish(const struct br_stop *s, uint64_t expected_us, uint64_t now_us);

/** Tests whether a new request of a caller is taken. */
bool br_stop_takes_request(const struct br_stop *s, uint64_t expected_us, uint64_t now_us);

#endif
