/**
 * @file config.h
 * The revisioned configuration map of a node: key -> (mod_rev, record or tombstone), and the
 * watermark "complete up to revision R". A merge takes the higher mod_rev per key, so that state
 * never goes back, whichever source offers it and in whatever order.
 *
 * Not thread-safe; one control thread owns it. Other threads read the view (view.h).
 */
#ifndef BRIARREEL_CONFIG_H
#define BRIARREEL_CONFIG_H

#include "briarreel/types.h"

struct br_config;
struct br_config_reader;
struct br_error;
struct br_view;

/** Prefix of configuration keys on the platform. Keys of this module do not contain it. */
#define BR_CONFIG_PREFIX "briarreel/config/"
/** Bytes of a key "<kind>/<name>" with its terminator. */
#define BR_CONFIG_KEY_BYTES 128
/** Tombstones that are kept by default, about a day of changes at 5,600 a day. */
#define BR_CONFIG_TOMBSTONES 4096

/** One change: a key's value, or its deletion, at a store revision. */
struct br_config_change {
	/** "<kind>/<name>", without BR_CONFIG_PREFIX. */
	const char *key;
	/** Store revision of the write or deletion, at least 1. */
	uint64_t mod_rev;
	/** NULL for a deletion. Needs no terminator. */
	const char *value;
	size_t len;
};

/** What a change did. */
enum br_config_result {
	/** Older than or the same as what the map has. */
	BR_CONFIG_UNCHANGED,
	/** In force now; pass it on. */
	BR_CONFIG_ACCEPTED,
	/**
	 * Failed validation (the error says why) and is remembered by its revision; the last good
	 * record stays in force. Pass it on, since peers may know a schema that this node does not.
	 */
	BR_CONFIG_REJECTED,
};

/** A record that failed validation. */
struct br_config_rejection {
	const char *key;
	uint64_t mod_rev;
	const char *reason;
};

/**
 * Header of one page of a delta or snapshot. Pages follow each other in key order; the asker
 * sends the last page's header back to get the next one, so that the sender keeps no state.
 */
struct br_config_page {
	/** Chosen by the asker; the same in all pages of a transfer. */
	uint64_t transfer_id;
	/** True: all records at to_rev. False: all changes after from_rev up to to_rev. */
	bool snapshot;
	uint64_t from_rev;
	uint64_t to_rev;
	/** Number of this page, from 0. */
	uint32_t index;
	/** Changes in this page. */
	uint32_t n_changes;
	bool last;
	/** Last key of this page; the next page starts after it. Empty in a transfer's request. */
	char last_key[BR_CONFIG_KEY_BYTES];
};

typedef void (*br_config_change_fn)(const struct br_config_change *change, void *arg);
typedef void (*br_config_rejection_fn)(const struct br_config_rejection *rejection, void *arg);

/** Creates an empty map; max_tombstones 0 means BR_CONFIG_TOMBSTONES. NULL if out of memory. */
struct br_config *br_config_create(size_t max_tombstones);
void br_config_destroy(struct br_config *cfg);

/**
 * Merges one change. Returns a br_config_result, -ENOMEM (nothing changed) or -EINVAL for a key
 * that is empty or too long or a mod_rev of 0 (such a change is skipped by every node). err (may
 * be NULL) is set for BR_CONFIG_REJECTED and negative results. An oversized value is rejected and
 * kept as an empty text, to bound memory.
 */
int br_config_apply(struct br_config *cfg, const struct br_config_change *change,
		    struct br_error *err);

/** br_config_apply() of a deletion. */
int br_config_delete(struct br_config *cfg, const char *key, uint64_t mod_rev,
		     struct br_error *err);

/**
 * Declares that every change in (from_rev, to_rev] has been applied, as after the events of a
 * watch. Returns true if the watermark advanced; it stays if from_rev is above it.
 */
bool br_config_advance(struct br_config *cfg, uint64_t from_rev, uint64_t to_rev);

/** Revision up to which the map is complete; 0 for an empty map. */
uint64_t br_config_watermark(const struct br_config *cfg);

/** Askers whose watermark is below this revision get a snapshot instead of a delta. */
uint64_t br_config_delta_floor(const struct br_config *cfg);

/** Looks a key up; a tombstone has a NULL value. Valid until the next change. */
bool br_config_get(const struct br_config *cfg, const char *key, struct br_config_change *out);

/** Records that are not tombstones, rejected ones included. */
size_t br_config_count(const struct br_config *cfg);

/**
 * Calls fn for each change after from_rev, tombstones included, in key order. Returns false, and
 * calls nothing, if from_rev is below the delta floor: the asker then needs a snapshot.
 */
bool br_config_delta(const struct br_config *cfg, uint64_t from_rev, br_config_change_fn fn,
		     void *arg);

/** Fills the request for the first page of a transfer to a node at watermark from_rev. */
void br_config_page_request(struct br_config_page *page, uint64_t transfer_id, uint64_t from_rev);

/**
 * Answers a request (from br_config_page_request(), or the header of the page before): calls fn
 * for about max_bytes of changes (at least one, if there are any) and fills out. Delta or
 * snapshot is chosen on the first page. Returns 0, or -ESTALE if the transfer cannot go on
 * because tombstones that it needs were discarded; the asker then starts again.
 */
int br_config_page(const struct br_config *cfg, const struct br_config_page *request,
		   size_t max_bytes, br_config_change_fn fn, void *arg, struct br_config_page *out);

/**
 * Reads one transfer. Changes are merged as they come; the watermark and the removal of records
 * that a snapshot lacks wait until every page is there. NULL if out of memory.
 */
struct br_config_reader *br_config_reader_create(struct br_config *cfg, uint64_t transfer_id);
void br_config_reader_destroy(struct br_config_reader *r);

/**
 * Starts a page. Returns 0, -ESTALE for a page of another transfer, -EALREADY for a page that was
 * read before, or -EPROTO if a page is missing or does not belong to the earlier ones (the
 * transfer then fails). The platform's range result is one page: snapshot, index 0, last.
 */
int br_config_reader_begin(struct br_config_reader *r, const struct br_config_page *page);

/** Merges one change of the page; results as br_config_apply(). */
int br_config_reader_change(struct br_config_reader *r, const struct br_config_change *change,
			    struct br_error *err);

/**
 * Ends a page. Returns 1 if the transfer is complete and took effect, 0 if more pages follow,
 * -EPROTO if the page had another number of changes than its header says, or the error of an
 * earlier step.
 */
int br_config_reader_end(struct br_config_reader *r);

/** Records rejected so far, in total. */
uint64_t br_config_rejected_total(const struct br_config *cfg);

/** Calls fn for each key whose latest value is rejected. */
void br_config_rejected_each(const struct br_config *cfg, br_config_rejection_fn fn, void *arg);

/**
 * Returns a reference to the view of the present state (br_view_put() it), rebuilt only after a
 * change. NULL if out of memory.
 */
struct br_view *br_config_view(struct br_config *cfg);

#endif
