/**
 * @file view.h
 * Reference-counted view of the configuration for traffic threads. Its records never change; only
 * its watermark may rise. Pointers returned by a view stay valid until the caller drops its
 * reference.
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

/** Takes another reference and returns the view. */
struct br_view *br_view_get(struct br_view *view);

/** Drops a reference and frees the view with the last one. NULL is allowed. */
void br_view_put(struct br_view *view);

/** Returns the revision up to which the configuration of the view is complete. */
uint64_t br_view_watermark(const struct br_view *view);

/**
 * Finds a key by the SHA-256 of its text. Returns false if the key is unknown or withdrawn or its
 * account is missing. If several records have the same digest, one withdrawn record withdraws
 * them all; otherwise the first by name whose account exists is used.
 */
bool br_view_find_key(const struct br_view *view, const uint8_t sha256[BR_SHA256_BYTES],
		      struct br_view_key *out);

/**
 * Finds the route that lists the method and has the longest prefix of path that ends at a segment
 * boundary; the first by name if several are equal. A query in path is ignored. Returns NULL if no
 * route matches, and for a path with "." or ".." segments (also percent-encoded), since a target
 * may resolve them to a path of another route.
 */
const struct br_record *br_view_find_route(const struct br_view *view, const char *method,
					   const char *path);

/** Returns the account with a name, or NULL. */
const struct br_record *br_view_account(const struct br_view *view, const char *name);

/** Returns the mesh settings, or their defaults if there is no mesh record; never NULL. */
const struct br_mesh *br_view_mesh(const struct br_view *view);

/** Reads the incarnation of a node's `retired` record; false if there is no such record. */
bool br_view_retired(const struct br_view *view, const struct br_node_id *id,
		     uint64_t *incarnation);

/**
 * Returns all records of a kind that are in force, sorted by name, and sets *n to their number. For
 * a key whose newest value is rejected, that is its last valid record.
 */
const struct br_record *const *br_view_records(const struct br_view *view, enum br_record_kind kind,
					       size_t *n);

/**
 * For the config module: builds a view from records that are grouped by kind and sorted by name,
 * and takes a reference to each. Returns NULL if out of memory.
 */
struct br_view *br_view_build(struct br_record_ref *const *records, size_t n, uint64_t watermark);

/**
 * For the config module: raises the watermark of a view whose records are unchanged at the new
 * watermark. This saves a rebuild for revisions that only concern keys outside the configuration.
 */
void br_view_set_watermark(struct br_view *view, uint64_t watermark);

/**
 * For the config module: creates a reference-counted copy of a record, with one reference. Returns
 * NULL if out of memory.
 */
struct br_record_ref *br_record_ref_create(const struct br_record *record);

/** Returns the record; valid while the caller holds its reference. */
const struct br_record *br_record_ref_record(const struct br_record_ref *ref);

/** Drops a reference and frees the record with the last one. */
void br_record_ref_put(struct br_record_ref *ref);

#endif
