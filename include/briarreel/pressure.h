/**
 * @file pressure.h
 * Admission thresholds learned from the answers of other services.
 *
 * Each answer carries the threshold of the service that gave it. An entry node refuses early what
 * that service would refuse. A node also notes which services are called below a route, so that
 * the threshold it returns is the minimum over the call graph. Thresholds and the services below
 * a route are forgotten without a new answer. Not thread-safe; the caller locks.
 */
#ifndef BRIARREEL_PRESSURE_H
#define BRIARREEL_PRESSURE_H

#include "briarreel/types.h"

/** A learned threshold is valid for this long. */
#define BR_PRESSURE_TTL_US (1 * BR_US_PER_S)
/** A service not seen below a route for this long is no longer counted as part of it. */
#define BR_PRESSURE_BELOW_TTL_US (60 * BR_US_PER_S)
/** One in this many requests above the threshold is let through to detect recovery. */
#define BR_PRESSURE_PROBE_IN 100

struct br_pressure;

/** Returns NULL if memory is short. */
struct br_pressure *br_pressure_create(void);

void br_pressure_destroy(struct br_pressure *p);

/**
 * Notes the threshold in an answer of a service; larger values count as BR_THRESHOLD_MAX and
 * smaller ones as BR_THRESHOLD_MIN. Answers of several targets of a service are averaged.
 * Returns 0, or -ENOMEM.
 */
int br_pressure_note(struct br_pressure *p, const char *service, uint32_t threshold,
		     uint64_t now_us);

/** Notes that a request of this route led to a call to this service. Returns 0, or -ENOMEM. */
int br_pressure_note_below(struct br_pressure *p, const char *route, const char *service,
			   uint64_t now_us);

/** Threshold of a service; BR_THRESHOLD_MAX if none was learned within BR_PRESSURE_TTL_US. */
uint32_t br_pressure_threshold(const struct br_pressure *p, const char *service, uint64_t now_us);

/** Smallest threshold of a set of services; BR_THRESHOLD_MAX if n is 0. */
uint32_t br_pressure_min(const struct br_pressure *p, const char *const *services, size_t n,
			 uint64_t now_us);

/** Smallest threshold of the services seen below a route, to be combined with the node's own. */
uint32_t br_pressure_route_min(const struct br_pressure *p, const char *route, uint64_t now_us);

/** Writes up to max services seen below a route to out and returns how many were written. */
size_t br_pressure_services_below(const struct br_pressure *p, const char *route, const char **out,
				  size_t max, uint64_t now_us);

/**
 * The decision of an entry node: false if a request of this level should be refused early. Levels
 * of priority 0 always pass. An entry node that does not know the sublevel passes
 * priority * BR_SUBLEVELS.
 */
bool br_pressure_admit(const struct br_pressure *p, const char *service, uint32_t level,
		       struct br_rng *rng, uint64_t now_us);

#endif
