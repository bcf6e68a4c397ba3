/**
 * @file collect.h
 * Converts the request counters of several nodes to the good and bad counts of a burn report.
 */
#ifndef BURN_COLLECT_H
#define BURN_COLLECT_H

#include <stdbool.h>
#include <stdint.h>

struct br_burn;
struct collector;

/**
 * Creates a collector that adds to burn, which must outlive it. max_counters limits the nodes and
 * counters together. Returns NULL if out of memory.
 */
struct collector *collector_create(struct br_burn *burn, uint32_t max_counters);
void collector_destroy(struct collector *c);

/**
 * Adds the increase of a node's counters since its previous reading. Unless count_first is set, the
 * first reading of a node is only the baseline, because its counts may be days old. A counter that
 * decreased belongs to a restarted node and counts from 0. Returns the number of lines that were
 * skipped because they are malformed, have an unknown outcome or exceed the capacity; 1 if the node
 * itself exceeds the capacity, in which case its counters are not read.
 */
uint32_t collector_add(struct collector *c, const char *node, const char *text, bool count_first,
		       uint64_t now_us);

#endif
