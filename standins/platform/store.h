/**
 * @file store.h
 * Key-value store of the platform stand-in: revisions, leases and an event history. All functions
 * except store_destroy() may be called from any thread. Leases expire on the monotonic clock.
 */
#ifndef STANDINS_PLATFORM_STORE_H
#define STANDINS_PLATFORM_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct json_object;
struct store;

/** Value of cas for an unconditional write. */
#define STORE_ANY_REV UINT64_MAX

/** Creates a store that keeps the last max_events events for watches; NULL if out of memory. */
struct store *store_create(size_t max_events);
/** Releases the store; no call may be running. */
void store_destroy(struct store *st);

/** Copies the value of a key to *value, which the caller frees. Returns 0 or -ENOENT. */
int store_get(struct store *st, const char *key, char **value, size_t *len, uint64_t *mod_rev);

/**
 * Returns {"rev":, "kvs": [{"key":, "mod_rev":, "value":}]} of all keys that begin with prefix; the
 * caller releases it.
 */
struct json_object *store_range(struct store *st, const char *prefix);

/**
 * Writes a key. cas is the expected mod_rev, 0 for an absent key, or STORE_ANY_REV. lease is the id
 * of the lease to which the key is bound, or 0. Returns 0 with the new mod_rev, -EEXIST with the
 * current one on a mismatch, or -ENOENT if there is no such lease.
 */
int store_put(struct store *st, const char *key, const char *value, size_t len, uint64_t cas,
	      uint64_t lease, uint64_t *mod_rev);

/**
 * Removes a key if its mod_rev matches cas. Returns 0 with the revision of the removal, -EEXIST
 * with the current mod_rev on a mismatch, or -ENOENT.
 */
int store_delete(struct store *st, const char *key, uint64_t cas, uint64_t *mod_rev);

/** Creates a lease that expires after ttl_ms unless it is renewed, and returns its id. */
uint64_t store_lease_create(struct store *st, uint64_t ttl_ms);
/** Restarts the ttl of a lease. Returns 0, or -ENOENT if it has expired or never existed. */
int store_lease_renew(struct store *st, uint64_t id);
/** Ends a lease and removes its keys. Returns 0 or -ENOENT. */
int store_lease_revoke(struct store *st, uint64_t id);

/**
 * Waits up to wait_ms for events after revision after_rev on keys that begin with prefix. Returns 0
 * with *out = {"rev":, "events": [{"type":, "key":, "mod_rev":, "value":}]}, which the caller
 * releases, -ESTALE if the history does not reach back to after_rev or after_rev is above the
 * current revision, or -ECANCELED if interrupt(arg) returned true, which is called with the store's
 * lock held.
 */
int store_watch(struct store *st, const char *prefix, uint64_t after_rev, uint64_t wait_ms,
		bool (*interrupt)(void *), void *arg, struct json_object **out);

/** Wakes all waiting watches, so that they call interrupt() again. */
void store_wake(struct store *st);

#endif
