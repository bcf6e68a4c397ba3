/**
 * @file child.h
 * Calls of the target stand-in to other services and to its own node.
 */
#ifndef STANDINS_TARGET_CHILD_H
#define STANDINS_TARGET_CHILD_H

#include <stdbool.h>
#include <stdint.h>

struct child_config {
	/** "svcA:/path,svcB:POST:/path"; "svc@ip:port:/path" goes to that address. */
	const char *children;
	/** The node's local port, or NULL. */
	const char *node;
	uint32_t retries;
	uint32_t timeout_ms;
};

/** Returns false if the list of children cannot be parsed. */
bool child_init(const struct child_config *cfg);
void child_destroy(void);

/**
 * Calls all children one after the other. context may be NULL. deadline_us is the parent's
 * monotonic end or 0. Returns true if all of them answered with a status below 400.
 */
bool child_call_all(const char *parent_id, const char *context, uint64_t deadline_us);

/** Posts a JSON text to the node; returns its status or a negative error number. */
int child_post_node(const char *path, const char *json);

#endif
