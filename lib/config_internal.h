/**
 * @file config_internal.h
 * The map of the config module, shared between merging (config.c) and transfers
 * (config_transfer.c).
 */
#ifndef LIB_CONFIG_INTERNAL_H
#define LIB_CONFIG_INTERNAL_H

#include "briarreel/config.h"

struct br_record_ref;

/** Newest change of a key, and its record in force. */
struct config_entry {
	uint64_t mod_rev;
	/** Value as received, with a terminator; NULL for a tombstone. */
	char *value;
	size_t len;
	/** Record in force, NULL if none; from an older revision if the value was rejected. */
	struct br_record_ref *record;
	/** Reason for which the value was rejected, else NULL. */
	char *reason;
	char key[];
};

struct br_config {
	/** Sorted by key. */
	struct config_entry **entries;
	size_t n;
	size_t cap;
	uint64_t watermark;
	/** Revision up to which tombstones may have been discarded. */
	uint64_t delta_floor;
	size_t n_tombstones;
	size_t max_tombstones;
	uint64_t rejected_total;
	struct br_view *view;
	bool view_stale;
};

/** Returns the position of the first entry whose key is not less than key. */
size_t config_lower_bound(const struct br_config *cfg, const char *key);

/** Returns the change that an entry represents; its pointers refer to the entry. */
struct br_config_change config_entry_change(const struct config_entry *entry);

/**
 * Completes a snapshot as of rev: removes the entries with a revision up to rev whose key is not in
 * keys (sorted), and raises the watermark to rev.
 */
void config_complete_snapshot(struct br_config *cfg, uint64_t rev, char *const *keys, size_t n);

#endif
