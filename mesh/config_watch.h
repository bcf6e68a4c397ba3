/**
 * @file config_watch.h
 * Keeps the blackboard's configuration in step with the store.
 */
#ifndef MESH_CONFIG_WATCH_H
#define MESH_CONFIG_WATCH_H

#include "mesh/board.h"

struct config_watch;

struct config_watch *config_watch_create(struct board *board);
void config_watch_destroy(struct config_watch *w);

/** Takes the configuration's text that the keeper has sent. */
void config_take(struct config_watch *w, const char *text, size_t len, uint64_t revision);

/**
 * True if the configuration is known to be new enough to accept a caller's key: none that withdraws
 * it can have been accepted longer ago than the bound for withdrawals.
 */
bool config_keys_confirmed(const struct board *board, uint64_t now_us);

/** Time since the store was known to hold no newer configuration. */
uint64_t config_confirmed_ms(const struct board *board);

/**
 * Another node's answer to what was sent at sent_us says that it confirmed a version age_ms before
 * it answered. A message without a question says nothing here, since it may have been held up.
 */
void config_confirmed_elsewhere(struct board *board, uint64_t version, uint64_t age_ms,
				uint64_t sent_us);

#endif
