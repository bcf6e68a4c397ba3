/**
 * @file config_internal.h
 * The map of the config module, shared between merging (config.c) and transfers
 * (config_transfer.c).
 */
#ifndef LIB_CONFIG_INTERNAL_H
#define LIB_CONFIG_INTERNAL_H

#include "briarreel/config.h"

struct br_record_ref;

/** One key. */
struct config_entry {
	uint64_t mod_rev;
	/** Raw text; NULL is a tombstone. */
	char *value;
	size_t len;
	/** The record in force; older than mod_rev if the value was rejected. May be NULL. */
	struct br_record_ref *record;
	/** Why the value was rejected, else NULL. */
	char *reason;
	char key[];
};

struct br_config {
	/** Sorted by key. */
	struct config_entry **entries;
	size_t n;
	size_t cap;
	uint64_t watermark;
	/** Tombstones up to this revision may have been discarded. */
	uint64_t floor;
	size_t n_tombstones;
	size_t max_tombstones;
	uint64_t rejected_total;
	struct br_view *view;
	bool view_stale;
};

/** Position of the first entry whose key is not below key. */
size_t config_lower_bound(const struct br_config *cfg, const char *key);

/** A change that describes an entry. */
struct br_config_change config_entry_change(const struct config_entry *entry);

/**
 * Makes the map complete up to rev after a snapshot: removes the entries up to rev whose key is
 * not in keys (sorted).
 */
void config_complete_snapshot(struct br_config *cfg, uint64_t rev, char *const *keys, size_t n);

#endif
