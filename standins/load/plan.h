/**
 * @file plan.h
 * Plan of a load run: phases and the request streams in each.
 */
#ifndef STANDINS_LOAD_PLAN_H
#define STANDINS_LOAD_PLAN_H

#include <stdint.h>

#define PLAN_MAX_PHASES 32
#define PLAN_MAX_STREAMS 16

struct br_error;

/** Which request ids a stream sends. */
enum plan_id_mode {
	/** No request id. */
	PLAN_ID_NONE,
	/** A new id for each attempt. */
	PLAN_ID_NEW,
	/** One id for all attempts of a request; Briarreel-Attempt counts them. */
	PLAN_ID_SAME,
};

/** A stream of requests with the same path; arrivals are a Poisson process. */
struct plan_stream {
	char name[32];
	/** API key, sent as a bearer token unless empty. */
	char key[128];
	char method[16];
	char path[256];
	double rate_per_s;
	uint32_t body_bytes;
	/** Deadline of a request and all its attempts, from the time at which it is due. */
	uint32_t deadline_ms;
	/** Largest number of concurrent requests. */
	uint32_t connections;
	/** Largest number of attempts after the first. */
	uint32_t retries;
	/** Delay before each retry. */
	uint32_t backoff_ms;
	enum plan_id_mode id_mode;
};

struct plan_phase {
	char name[32];
	uint32_t duration_ms;
	struct plan_stream streams[PLAN_MAX_STREAMS];
	uint32_t n_streams;
};

/** A load plan; streams holds the top-level streams, from which the phases inherit. */
struct plan {
	struct plan_stream streams[PLAN_MAX_STREAMS];
	uint32_t n_streams;
	struct plan_phase phases[PLAN_MAX_PHASES];
	uint32_t n_phases;
};

/**
 * Reads a JSON file with comments:
 * {"streams": [STREAM...], "phases": [{"name":, "duration_ms":, "streams": [STREAM...]}]}
 * A stream of a phase inherits the keys that it does not set from the top-level stream of the same
 * name. A phase without "streams" runs all top-level streams. Returns 0 or -EINVAL with err filled.
 */
int plan_read(const char *file, struct plan *plan, struct br_error *err);

#endif
