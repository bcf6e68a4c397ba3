/**
 * @file store.h
 * Key-value store of the platform stand-in: revisions, leases and an event history. Each function
 * takes the store's lock; times are monotonic microseconds.
 */
#ifndef STANDINS_PLATFORM_STORE_H
#define STANDINS_PLATFORM_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct json_object;
struct store;

/** Value of cas for a write without a condition. */
#define STORE_ANY_REV UINT64_MAX

/** history is the number of events kept for watches. */
struct store *store_create(size_t history);
void store_destroy(struct store *st);

/** Copies the value; the caller frees it. Returns 0 or -ENOENT. */
int store_get(struct store *st, const char *key, char **value, size_t *len, uint64_t *mod_rev);

/** {"rev":, "kvs": [{"key":, "mod_rev":, "value":}]} of all keys that begin with prefix. */
struct json_object *store_range(struct store *st, const char *prefix);

/**
 * Writes a key. cas is the expected mod_rev, 0 for an absent key. lease 0 means no lease.
 * Returns 0 with the new mod_rev, -EEXIST with the current one on a mismatch, or -ENOENT if there
 * is no such lease.
 */
int store_put(struct store *st, const char *key, const char *value, size_t len, uint64_t cas,
	      uint64_t lease, uint64_t *mod_rev);

/** Removes a key. Returns 0 with the revision, -EEXIST with the current mod_rev or -ENOENT. */
int store_delete(struct store *st, const char *key, uint64_t cas, uint64_t *mod_rev);

/** Returns the id of a new lease. */
uint64_t store_lease_create(struct store *st, uint64_t ttl_ms);
/** Returns 0 or -ENOENT if the lease has lapsed or never existed. */
int store_lease_renew(struct store *st, uint64_t id);
/** Ends a lease and removes its keys. Returns 0 or -ENOENT. */
int store_lease_revoke(struct store *st, uint64_t id);

/**
 * Waits up to wait_ms for events of prefix after revision after. Returns 0 with
 * {"rev":, "events": [{"type":, "key":, "mod_rev":, "value":}]}, -ESTALE if the history does not
 * reach back to after, or -ECANCELED if interrupt() became true meanwhile.
 */
int store_watch(struct store *st, const char *prefix, uint64_t after, uint64_t wait_ms,
		bool (*interrupt)(void *), void *arg, struct json_object **out);

/** Wakes all waiting watches, so that they look at their interrupt condition. */
void store_wake(struct store *st);

#endif
