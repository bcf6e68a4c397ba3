/**
 * @file kv.h
 * Stand-in for the platform's key-value store over HTTP: items with revisions, leases and watches.
 */
#ifndef STANDINS_MESH_KV_H
#define STANDINS_MESH_KV_H

#include "standins/mesh/http.h"

/** How the store answers the HTTP calls of nodes; kv_put() always works. */
enum kv_fault {
	/** Calls are handled. */
	KV_HEALTHY,
	/** Calls are answered with status 503 and have no effect. */
	KV_UNAVAILABLE,
	/** Calls get no response and have no effect; their connections are closed after 30 s. */
	KV_SILENT,
};

/** Handles a call of a node that was received on fd; returns false to close the connection. */
bool kv_handle(int fd, const struct http_req *req);

/** Writes an item without a lease, as an operator would; value is text. */
void kv_put(const char *key, const char *value);

/** Copies an item's value, truncated to fit, to out; false if there is none. */
bool kv_get(const char *key, char *out, size_t out_bytes);

/** Sets the fault for later calls; a fault ends waiting watches without a response. */
void kv_set_fault(enum kv_fault fault);

/** Takes a copy of all items, leases and counters. */
void kv_copy(void);

/**
 * Goes back to the last copy: later writes and leases are lost, revisions and leases are given out
 * again, and a new era begins. Leases of the copy have the lifetime that they had left in it.
 * Returns false, and does nothing, if there is no copy.
 */
bool kv_restore(void);

/** Compacts the history: watches that start before the current revision are answered with 410. */
void kv_compact(void);

#endif
