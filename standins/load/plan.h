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

enum plan_id_mode {
	/** No request id. */
	PLAN_ID_NONE,
	/** A new id for each attempt. */
	PLAN_ID_NEW,
	/** One id for all attempts of a request, with Briarreel-Attempt. */
	PLAN_ID_SAME,
};

struct plan_stream {
	char name[32];
	char key[128];
	char method[16];
	char path[256];
	double rate_per_s;
	uint32_t body_bytes;
	uint32_t deadline_ms;
	uint32_t connections;
	uint32_t retries;
	uint32_t backoff_ms;
	enum plan_id_mode id_mode;
};

struct plan_phase {
	char name[32];
	uint32_t duration_ms;
	struct plan_stream streams[PLAN_MAX_STREAMS];
	uint32_t n_streams;
};

struct plan {
	struct plan_stream streams[PLAN_MAX_STREAMS];
	uint32_t n_streams;
	struct plan_phase phases[PLAN_MAX_PHASES];
	uint32_t n_phases;
};

/**
 * Reads a JSON file with comments:
 * {"streams": [STREAM...], "phases": [{"name":, "duration_ms":, "streams": [STREAM...]}]}
 * A stream of a phase takes what it does not set from the stream of the same name at the top. A
 * phase without "streams" has all streams of the top.
 */
int plan_read(const char *file, struct plan *plan, struct br_error *err);

#endif
