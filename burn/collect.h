/**
 * @file collect.h
 * Turns the request counters of several nodes into good and bad counts.
 */
#ifndef BURN_COLLECT_H
#define BURN_COLLECT_H

#include <stdbool.h>
#include <stdint.h>

struct br_burn;
struct collector;

/** burn gets the counts; it must outlive the collector. NULL if there is no memory. */
struct collector *collector_create(struct br_burn *burn, uint32_t max_counters);
void collector_destroy(struct collector *c);

/**
 * Adds what the counters of a node grew by since its last reading. The first reading of a node is
 * only the base, because its counts may be days old, unless count_first is set. A counter that
 * fell belongs to a restarted node and counts from 0. Returns the number of lines that were left
 * out as malformed or for lack of room.
 */
uint32_t collector_add(struct collector *c, const char *node, const char *text, bool count_first,
		       uint64_t now_us);

#endif
