/**
 * @file config.h
 * Configuration map of a node: key -> (mod_rev, record or tombstone), and a watermark, the
 * revision up to which the map is complete. A merge keeps the higher mod_rev of each key, so
 * changes may arrive from any source and in any order without reverting newer state.
 *
 * Not thread-safe; one control thread owns the map. Other threads read the view (view.h).
 */
#ifndef BRIARREEL_CONFIG_H
#define BRIARREEL_CONFIG_H

#include "briarreel/types.h"

struct br_config;
struct br_config_reader;
struct br_error;
struct br_view;

/** Prefix of configuration keys on the platform; this module's keys are given without it. */
#define BR_CONFIG_PREFIX "briarreel/config/"
/** Size of a key "<kind>/<name>", including the terminator. */
#define BR_CONFIG_KEY_BYTES 128
/**
 * Default number of tombstones kept. At 5,600 changes a day, these cover 13 to 17 hours even if
 * every change is a deletion.
 */
#define BR_CONFIG_DEFAULT_MAX_TOMBSTONES 4096

/** Write or deletion of a key at a store revision. */
struct br_config_change {
	/** "<kind>/<name>", without BR_CONFIG_PREFIX. */
	const char *key;
	/** Store revision of the write or deletion, at least 1. */
	uint64_t mod_rev;
	/** Value of len bytes, not necessarily terminated; NULL for a deletion. */
	const char *value;
	size_t len;
};

/** Result of merging a change. */
enum br_config_result {
	/** Ignored: the map has the same or a newer revision of the key. */
	BR_CONFIG_UNCHANGED,
	/** Took effect; the caller forwards the change to peers. */
	BR_CONFIG_ACCEPTED,
	/**
	 * Failed validation (see the error). The revision is recorded, and the last valid record
	 * stays in force. The caller forwards the change all the same, since peers may support a
	 * schema that this node does not.
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
 * Header of one page of a delta or snapshot. Pages are in key order. To get the next page, the
 * requester sends back the header of the last one, so the sender keeps no state.
 */
struct br_config_page {
	/** Chosen by the requester; the same in all pages of a transfer. */
	uint64_t transfer_id;
	/** True: all records as of to_rev. False: all changes after from_rev up to to_rev. */
	bool snapshot;
	uint64_t from_rev;
	uint64_t to_rev;
	/** Number of this page, from 0; UINT32_MAX in the request for the first page. */
	uint32_t index;
	/** Changes in this page. */
	uint32_t n_changes;
	bool last;
	/** Last key of this page; the next page starts after it. Empty in the first request. */
	char last_key[BR_CONFIG_KEY_BYTES];
};

typedef void (*br_config_change_fn)(const struct br_config_change *change, void *arg);
typedef void (*br_config_rejection_fn)(const struct br_config_rejection *rejection, void *arg);

/**
 * Creates an empty map; max_tombstones 0 means BR_CONFIG_DEFAULT_MAX_TOMBSTONES. Returns NULL if
 * out of memory. Free it with br_config_destroy().
 */
struct br_config *br_config_create(size_t max_tombstones);
void br_config_destroy(struct br_config *cfg);

/**
 * Merges one change; key and value are copied. Returns a br_config_result, -ENOMEM (nothing
 * changed), or -EINVAL if the key is empty or too long or mod_rev is 0 (every node skips such a
 * change). err (may be NULL) is set for BR_CONFIG_REJECTED and negative results. A value above
 * BR_RECORD_MAX_BYTES is rejected and stored as an empty text, to bound memory.
 */
int br_config_apply(struct br_config *cfg, const struct br_config_change *change,
		    struct br_error *err);

/** Merges the deletion of a key; results as br_config_apply(). */
int br_config_delete(struct br_config *cfg, const char *key, uint64_t mod_rev,
		     struct br_error *err);

/**
 * Declares that every change in (from_rev, to_rev] has been applied, for example after the events
 * of a watch. Returns true if the watermark advanced; it does not if from_rev is above it.
 */
bool br_config_advance(struct br_config *cfg, uint64_t from_rev, uint64_t to_rev);

/** Returns the revision up to which the map is complete; 0 for a new map. */
uint64_t br_config_watermark(const struct br_config *cfg);

/**
 * Returns the delta floor: a requester whose watermark is below this revision gets a snapshot
 * instead of a delta.
 */
uint64_t br_config_delta_floor(const struct br_config *cfg);

/**
 * Looks up a key; a tombstone has a NULL value. Returns false if the map has no entry. The pointers
 * in out stay valid until the next change of the map.
 */
bool br_config_get(const struct br_config *cfg, const char *key, struct br_config_change *out);

/** Returns the number of entries that are not tombstones, rejected ones included. */
size_t br_config_count(const struct br_config *cfg);

/**
 * Calls fn for each change after from_rev, tombstones included, in key order. Returns false
 * without a call if from_rev is below the delta floor: the requester then needs a snapshot.
 */
bool br_config_delta(const struct br_config *cfg, uint64_t from_rev, br_config_change_fn fn,
		     void *arg);

/** Fills the request for the first page of a transfer to a node whose watermark is from_rev. */
void br_config_page_request(struct br_config_page *page, uint64_t transfer_id, uint64_t from_rev);

/**
 * Answers a request (from br_config_page_request(), or the header of the previous page): calls fn
 * for about max_bytes of changes (at least one, if there are any) and fills out. The first page
 * decides between delta and snapshot. Returns 0, or -ESTALE if the transfer cannot continue:
 * tombstones that the delta needs were discarded, or this map is not complete up to the transfer's
 * to_rev. The requester then starts again.
 */
int br_config_page(const struct br_config *cfg, const struct br_config_page *request,
		   size_t max_bytes, br_config_change_fn fn, void *arg, struct br_config_page *out);

/**
 * Creates a reader of one transfer into cfg, which must outlive it. Changes are merged as they
 * arrive; the watermark advances, and records missing from a snapshot are removed, only after the
 * last page. Returns NULL if out of memory. Free it with br_config_reader_destroy().
 */
struct br_config_reader *br_config_reader_create(struct br_config *cfg, uint64_t transfer_id);
void br_config_reader_destroy(struct br_config_reader *r);

/**
 * Starts a page. Returns 0, -ESTALE for a page of another transfer, -EALREADY for a page that was
 * already read, or -EPROTO if a page was skipped, the previous page was not ended, or the header
 * contradicts the earlier ones (the transfer then fails). After a failure, returns the error with
 * which the transfer failed. The result of a range read of the platform is passed as a single page:
 * snapshot, index 0, last.
 */
int br_config_reader_begin(struct br_config_reader *r, const struct br_config_page *page);

/**
 * Merges one change of the page; results as br_config_apply(), or the error with which the transfer
 * failed.
 */
int br_config_reader_change(struct br_config_reader *r, const struct br_config_change *change,
			    struct br_error *err);

/**
 * Ends a page. Returns 1 if the transfer is complete and took effect, 0 if more pages follow,
 * -EPROTO if the number of changes differs from the page's header, or the error with which the
 * transfer failed earlier.
 */
int br_config_reader_end(struct br_config_reader *r);

/** Returns the number of changes rejected since the map was created. */
uint64_t br_config_rejected_total(const struct br_config *cfg);

/** Calls fn for each key whose latest value is rejected. */
void br_config_rejected_each(const struct br_config *cfg, br_config_rejection_fn fn, void *arg);

/**
 * Returns a reference to the view of the current state, rebuilt only after a change; NULL if out
 * of memory. The caller drops the reference with br_view_put().
 */
struct br_view *br_config_view(struct br_config *cfg);

#endif
