/**
 * @file kv.h
 * Stand-in for the platform's store: items with revisions, leases and watches over HTTP.
 */
#ifndef STANDINS_MESH_KV_H
#define STANDINS_MESH_KV_H

#include "standins/mesh/http.h"

/** How the store answers everything but the operator's calls. */
enum kv_fault {
	KV_SOUND,
	/** 503, nothing is done. */
	KV_REFUSES,
	/** No answer. */
	KV_SILENT,
};

/** Handles a call of a node. */
bool kv_handle(int fd, const struct http_in *in);

/** Writes an item as the operator does. */
void kv_put(const char *key, const char *value);

void kv_set_fault(enum kv_fault fault);

/** Forgets the history: watches behind the present revision get 410. */
void kv_compact(void);

#endif
