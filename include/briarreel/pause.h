/**
 * @file pause.h
 * Tells for how long messages may have waited unread because the process did not run: it was
 * stopped, suspended or got no processor. Times that a message states relative to its arrival, such
 * as the time that its sender still waits, have run on meanwhile.
 */
#ifndef BRIARREEL_PAUSE_H
#define BRIARREEL_PAUSE_H

#include "briarreel/types.h"

/** Maximum time between two calls of br_pause_poll() in a process that runs. */
#define BR_PAUSE_POLL_MAX_US (100 * BR_US_PER_MS)

/** Time in which a process reads what arrived during a pause, new connections included. */
#define BR_PAUSE_READ_US (20 * BR_US_PER_MS)

/** State of a process; zero before the first call. */
struct br_pause {
	uint64_t polled_us;
	/** Length of the last pause, and the time until which its messages are read. */
	uint64_t waited_us, read_until_us;
};

/** Records that the event loop is about to wait for messages. */
void br_pause_poll(struct br_pause *p, uint64_t now_us);

/** Time for which a message that is read now may have waited; 0 if the process was not paused. */
uint64_t br_pause_waited_us(const struct br_pause *p, uint64_t now_us);

#endif
