/**
 * @file view.h
 * Immutable, reference-counted view of the configuration for traffic threads. Everything that a
 * view returns stays valid until the caller's reference is put.
 */
#ifndef BRIARREEL_VIEW_H
#define BRIARREEL_VIEW_H

#include "briarreel/record.h"
#include "briarreel/types.h"

struct br_record_ref;
struct br_view;

/** A valid key and the account that it belongs to. */
struct br_view_key {
	const struct br_record *key;
	const struct br_record *account;
};

/** Takes a further reference. */
struct br_view *br_view_get(struct br_view *view);

/** Drops a reference; the last one frees the view. NULL is allowed. */
void br_view_put(struct br_view *view);

/** Watermark of the configuration that the view was built from. */
uint64_t br_view_watermark(const struct br_view *view);

/**
 * Finds a key by the SHA-256 of its text. Returns false for a key that is unknown, withdrawn or
 * whose account is missing. If several records have the same digest, one withdrawn record
 * withdraws them all; otherwise the first by name counts.
 */
bool br_view_find_key(const struct br_view *view, const uint8_t sha256[BR_SHA256_BYTES],
		      struct br_view_key *out);

/**
 * Finds the route with the longest prefix, at a path-segment boundary, among those that list the
 * method; the first by name if several are equal. A query in path is ignored. NULL if there is
 * none, and for paths with "." or ".." segments (also percent-encoded), since a target may
 * resolve these to a path of another route.
 */
const struct br_record *br_view_find_route(const struct br_view *view, const char *method,
					   const char *path);

/** Account by name, or NULL. */
const struct br_record *br_view_account(const struct br_view *view, const char *name);

/** The mesh settings, defaults if there is no record; never NULL. */
const struct br_mesh *br_view_mesh(const struct br_view *view);

/** Incarnation in the `retired` record of a node; false if there is none. */
bool br_view_retired(const struct br_view *view, const struct br_node_id *id,
		     uint64_t *incarnation);

/** All valid records of a kind, sorted by name (zones: the sorted zone list). */
const struct br_record *const *br_view_records(const struct br_view *view, enum br_record_kind kind,
					       size_t *n);

/**
 * For the config module: builds a view from records sorted by (kind, name), with one reference
 * taken to each. NULL if out of memory.
 */
struct br_view *br_view_build(struct br_record_ref *const *records, size_t n, uint64_t watermark);

/**
 * For the config module: raises the watermark of a view whose records are also those at the new
 * watermark, which saves a rebuild for each revision of keys outside the configuration.
 */
void br_view_set_watermark(struct br_view *view, uint64_t watermark);

/** For the config module: a reference-counted record; NULL if out of memory. */
struct br_record_ref *br_record_ref_create(const struct br_record *record);
const struct br_record *br_record_ref_record(const struct br_record_ref *ref);
void br_record_ref_put(struct br_record_ref *ref);

#endif
