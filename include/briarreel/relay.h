/**
 * @file relay.h
 * Tree in which the nodes of a zone pass on data that the first of them fetches from another zone.
 * The source sends one copy to each zone and each node a few, however many nodes there are.
 */
#ifndef BRIARREEL_RELAY_H
#define BRIARREEL_RELAY_H

#include <stdbool.h>
#include <stddef.h>

/** Number of nodes to which one node passes data on. */
#define BR_RELAY_FANOUT 4

/** A node that takes part. */
struct br_relay_node {
	const char *name, *zone;
	/** Preferred as a source for others, for example since it is not about to stop. */
	bool preferred;
	/** For the caller. */
	void *data;
};

/** Sorts nodes into the order that the other functions expect; the same at each node. */
void br_relay_sort(struct br_relay_node *nodes, size_t n);

/**
 * Index of the node from which the node at index i fetches, in sorted nodes; -1 for the first node
 * of a zone, which fetches from the source itself.
 */
long br_relay_parent(const struct br_relay_node *nodes, size_t i);

#endif
