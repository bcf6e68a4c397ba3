/**
 * @file pressure.h
 * Backpressure: admission thresholds learned from the answers of other services.
 *
 * Each answer carries the admission threshold of the answering service. An entry node refuses early
 * the requests that the service would refuse. A node also records which services are called
 * downstream of a route, so that the threshold it returns is the minimum over the call graph.
 * Thresholds and downstream services expire unless they are refreshed. Not thread-safe; the caller
 * locks.
 */
#ifndef BRIARREEL_PRESSURE_H
#define BRIARREEL_PRESSURE_H

#include "briarreel/types.h"

/** Validity of a learned threshold. */
#define BR_PRESSURE_TTL_US (1 * BR_US_PER_S)
/** Time after which a service that was not called again is no longer downstream of a route. */
#define BR_PRESSURE_DOWNSTREAM_TTL_US (60 * BR_US_PER_S)
/** One in this many requests above the threshold, at random, is admitted to detect recovery. */
#define BR_PRESSURE_PROBE_ONE_IN 100

struct br_pressure;

/** Creates a state without thresholds. Returns NULL if out of memory. */
struct br_pressure *br_pressure_create(void);

void br_pressure_destroy(struct br_pressure *p);

/**
 * Records the threshold from an answer of a service, limited to BR_THRESHOLD_MIN to
 * BR_THRESHOLD_MAX. The thresholds of a service's targets are averaged. Returns 0, or -ENOMEM, also
 * if there are too many services or if the name does not fit into BR_NAME_BYTES.
 */
int br_pressure_record_threshold(struct br_pressure *p, const char *service, uint32_t threshold,
				 uint64_t now_us);

/**
 * Records that a request of this route led to a call to this service. Returns 0, or -ENOMEM, also
 * if there are too many routes, services or services downstream of the route (256), or if a name
 * does not fit into BR_NAME_BYTES.
 */
int br_pressure_record_downstream(struct br_pressure *p, const char *route, const char *service,
				  uint64_t now_us);

/**
 * Returns a service's threshold; BR_THRESHOLD_MAX if none was recorded within BR_PRESSURE_TTL_US.
 */
uint32_t br_pressure_threshold(const struct br_pressure *p, const char *service, uint64_t now_us);

/** Returns the smallest threshold of a set of services; BR_THRESHOLD_MAX if n is 0. */
uint32_t br_pressure_min(const struct br_pressure *p, const char *const *services, size_t n,
			 uint64_t now_us);

/**
 * Returns the smallest threshold of the services downstream of a route. The caller combines it with
 * the node's own threshold.
 */
uint32_t br_pressure_route_min(const struct br_pressure *p, const char *route, uint64_t now_us);

/**
 * Writes the names of up to max services downstream of a route to out and returns their number. The
 * strings belong to p.
 */
size_t br_pressure_downstream_services(const struct br_pressure *p, const char *route,
				       const char **out, size_t max, uint64_t now_us);

/**
 * Decides at an entry node whether to admit a request of this level; false if it should be refused
 * early. Levels of priority 0 are always admitted. If the sublevel is unknown, level is
 * priority * BR_SUBLEVELS.
 */
bool br_pressure_admit(const struct br_pressure *p, const char *service, uint32_t level,
		       struct br_rng *rng, uint64_t now_us);

#endif
