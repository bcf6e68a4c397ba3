/**
 * @file platform.h
 * Client of the platform's key-value service. Calls block, so they run on separate threads, and
 * their results are passed to the control thread. The service's protocol is known only to
 * platform.c.
 */
#ifndef NODE_PLATFORM_H
#define NODE_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct platform;

enum platform_op_type {
	PLATFORM_GET,
	PLATFORM_RANGE,
	PLATFORM_PUT,
	PLATFORM_DELETE,
	PLATFORM_LEASE_CREATE,
	PLATFORM_LEASE_RENEW,
	PLATFORM_LEASE_DELETE,
	PLATFORM_WATCH,
};

enum platform_status {
	PLATFORM_OK,
	PLATFORM_NOT_FOUND,
	/** The compare of a compare-and-swap failed; nothing was written. */
	PLATFORM_CONFLICT,
	/** The service no longer has the history since the start revision of the watch. */
	PLATFORM_COMPACTED,
	/** The call had no effect: no connection, a refusal, or a read without a valid answer. */
	PLATFORM_UNAVAILABLE,
	/** A write was sent but not answered properly: it may have taken effect. */
	PLATFORM_UNKNOWN,
};

/** A call to the service. Unused fields are zero; value may be NULL. */
struct platform_op {
	enum platform_op_type type;
	uint64_t token;
	/** Key, or prefix for PLATFORM_RANGE and PLATFORM_WATCH. */
	char key[160];
	char *value;
	/** Expected revision of the key for a put or delete; 0 if the key must not exist. */
	uint64_t cas_rev;
	uint64_t lease_id;
	uint32_t ttl_ms;
	uint64_t after_rev;
	uint32_t wait_ms;
	struct platform_op *next;
};

/** One key of a range, or one event of a watch. */
struct platform_entry {
	char *key;
	/** NULL for a deleted key. */
	char *value;
	uint64_t mod_rev;
};

/** Result of a call; free it with platform_result_free(). */
struct platform_result {
	enum platform_op_type type;
	uint64_t token;
	enum platform_status status;
	/** Revision of the key, of the range, or up to which the watch has read. */
	uint64_t rev;
	uint64_t lease_id;
	char *value;
	struct platform_entry *entries;
	size_t n_entries;
	struct platform_result *next;
};

/** Called on a client thread with a result, which it owns; must only put it into a queue. */
typedef void (*platform_deliver)(void *user_data, struct platform_result *res);

struct platform *platform_create(const char *address, platform_deliver deliver, void *user_data);
void platform_destroy(struct platform *p);

/**
 * Queues a copy of op and its value; a result with the same token follows, unless the client is
 * destroyed before the call starts. Watches run on a thread of their own.
 */
void platform_submit(struct platform *p, const struct platform_op *op);

void platform_result_free(struct platform_result *res);

#endif
