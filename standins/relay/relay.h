/**
 * @file relay.h
 * TCP relay whose connections can be silenced, stalled, delayed or refused. The client is the side
 * that connects to the relay, the server the address that the relay connects to.
 */
#ifndef STANDINS_RELAY_RELAY_H
#define STANDINS_RELAY_RELAY_H

#include <stdbool.h>
#include <stdint.h>

struct br_error;

/** What the relay does with connections and their data. */
enum relay_mode {
	/** Data is forwarded in both directions. */
	RELAY_FORWARD,
	/** Connections are accepted, but all data is held back until the mode changes. */
	RELAY_DROP,
	/** Data from the client to the server is held back; the other direction is forwarded. */
	RELAY_DROP_TO,
	/** Data from the server to the client is held back; the other direction is forwarded. */
	RELAY_DROP_FROM,
	/** Open connections are closed and new ones are refused. */
	RELAY_REFUSE,
};

/** Counters since the start, and the connections that are open or silenced now. */
struct relay_stats {
	uint64_t accepted;
	uint32_t open;
	uint32_t silent;
	/** Bytes forwarded to the server. */
	uint64_t bytes_to;
	/** Bytes forwarded to the client. */
	uint64_t bytes_from;
};

/**
 * Listens on listen_on and relays to server, both "ip:port". Returns 0, or a negative error number
 * with err filled.
 */
int relay_start(const char *listen_on, const char *server, struct br_error *err);

/** Closes the listener and all connections, and waits until their threads have ended. */
void relay_stop(void);

/** Sets the mode. Returns 0, or a negative error number if the relay cannot listen again. */
int relay_set_mode(enum relay_mode mode);

/** Delays each forwarded chunk of data by ms; 0 for no delay. */
void relay_set_delay(uint32_t ms);

/**
 * Silences the open connections: they stay open but forward nothing any more. Later connections are
 * not affected. Returns the number of connections silenced.
 */
uint32_t relay_blackhole(void);

void relay_get_stats(struct relay_stats *out);

#endif
