/**
 * @file child.h
 * HTTP calls that the target stand-in makes: child calls to other services and posts to its node.
 */
#ifndef STANDINS_TARGET_CHILD_H
#define STANDINS_TARGET_CHILD_H

#include <stdbool.h>
#include <stdint.h>

/** Settings of the calls; the strings must stay valid until child_destroy(). */
struct child_config {
	/**
	 * Child calls, "svcA:/path,svcB:POST:/path"; GET is the default method. A call goes to
	 * the node, or to the address in "svc@ip:port:/path". The service name is not sent.
	 */
	const char *children;
	/** Local port of the node, "ip:port", or NULL. */
	const char *node;
	/** Retries of a failed child call, without a delay. */
	uint32_t retries;
	/** Longest wait for one child call. */
	uint32_t timeout_ms;
};

/** Returns false if the list of children cannot be parsed or memory is exhausted. */
bool child_init(const struct child_config *cfg);
void child_destroy(void);

/**
 * Calls the children in the order of the list until one fails after its retries. parent_id may be
 * empty and context (the parent's Briarreel-Context) NULL. deadline_us is the parent's deadline on
 * the monotonic clock, or 0. Returns true if all children answered with a status below 400.
 */
bool child_call_all(const char *parent_id, const char *context, uint64_t deadline_us);

/** Posts a JSON text to the node; returns the HTTP status or a negative error number. */
int child_post_node(const char *path, const char *json);

#endif
