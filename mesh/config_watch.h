/**
 * @file config_watch.h
 * Keeps the node's configuration up to date with the store, through the keeper or by watching the
 * store.
 */
#ifndef MESH_CONFIG_WATCH_H
#define MESH_CONFIG_WATCH_H

#include "mesh/board.h"

struct config_watch;
struct keeper_link;

/**
 * Starts the watch and sets board.on_newer_version; a board has one config watch. Where neither a
 * keeper nor the store is reached, the configuration is fetched through link from other nodes.
 */
struct config_watch *config_watch_create(struct board *board, struct keeper_link *link);
void config_watch_destroy(struct config_watch *w);

/** Makes the calls to the store that are due now instead of at the next check. */
void config_watch_check(struct config_watch *w);

/**
 * Applies a configuration sent by another node: its text and its position in the store. A version
 * that is not newer only counts as received. Returns 0 or -EINVAL for an invalid text, which is
 * logged and ignored.
 */
int config_watch_apply(struct config_watch *w, const char *text, size_t len,
		       const struct br_position *position);

/**
 * True if the configuration was confirmed recently enough to accept a caller's key: a configuration
 * that withdraws the key cannot have been stored longer than revocation_ms ago.
 */
bool config_keys_confirmed(const struct board *board, uint64_t now_us);

/** Milliseconds since the store was last known to hold no newer configuration. */
uint64_t config_confirmation_age_ms(const struct board *board);

/**
 * Applies another node's confirmation: its answer to a request sent at sent_us reports that it
 * confirmed a version age_ms before answering. If this node has another version, the version is
 * only reported with the source, see board_report_version(). Messages that answer no request must not be passed,
 * since an unknown delay would make the confirmation look newer than it is.
 */
void config_confirm_from_peer(struct board *board, uint64_t version, uint64_t age_ms,
			      uint64_t sent_us, const struct sockaddr_in *source);

#endif
