/**
 * @file relay.h
 * Plain TCP relay whose connections can be made silent, stalled, delayed or refused.
 */
#ifndef STANDINS_RELAY_RELAY_H
#define STANDINS_RELAY_RELAY_H

#include <stdbool.h>
#include <stdint.h>

struct br_error;

enum relay_mode {
	RELAY_FORWARD,
	/** Connections are accepted, and nothing moves on any connection until the mode changes. */
	RELAY_DROP,
	/** Nothing moves from the connecting side to the other; the rest does. */
	RELAY_DROP_TO,
	/** Nothing moves back to the connecting side; the rest does. */
	RELAY_DROP_FROM,
	/** All connections are closed and new ones are refused. */
	RELAY_REFUSE,
};

struct relay_stats {
	uint64_t accepted;
	uint32_t open;
	uint32_t silent;
	uint64_t bytes_to;
	uint64_t bytes_from;
};

/** Listens on "ip:port" and relays to "ip:port". Returns 0 or a negative error number. */
int relay_start(const char *listen, const char *to, struct br_error *err);

/** Closes everything and waits for the threads. */
void relay_stop(void);

/** Returns 0, or a negative error number if the port cannot be listened on again. */
int relay_set_mode(enum relay_mode mode);

/** Each piece of data is passed on this much later. */
void relay_set_delay(uint32_t ms);

/** Makes the present connections silent for good; returns their number. */
uint32_t relay_blackhole(void);

void relay_get_stats(struct relay_stats *out);

#endif
