#include "mesh/era_mark.h"

#include "common/clock.h"
#include "mesh/event_log.h"
#include "mesh/presence.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define CALL_TIMEOUT_MS 1000
/*
 * For this time after the store's return from a copy it may lack a version that other nodes have:
 * the operator has not written it again yet.
 */
#define LOST_WRITES_US (10 * BR_US_PER_S)

void era_mark_read(struct board *board, const struct store_item *item, uint64_t era)
{
	uint64_t marked;

	if (item->deleted) {
		board->era_mark = BR_ERA_MARK_NONE;
		return;
	}
	/* One that can't be read proves nothing. */
	if (!item->value || br_store_era_parse(item->value, &marked) || marked != era)
		board->era_mark = BR_ERA_MARK_OTHER;
	else
		board->era_mark = BR_ERA_MARK_PRESENT;
}

void era_mark_all_read(struct board *board)
{
	struct br_store_trust trust = era_mark_trust(board, 0);
	uint64_t until_us = clock_now_us() + PRESENCE_LEASE_MS * BR_US_PER_MS;

	if (br_store_is_settled(&trust) || trust.mark == BR_ERA_MARK_NONE)
		return;
	if (until_us > board->other_keeper_until_us)
		board->other_keeper_until_us = until_us;
}

struct br_store_trust era_mark_trust(const struct board *board, uint64_t version)
{
	return (struct br_store_trust){
		/* Without a store there is none that could lose anything. */
		.era_is_old =
			!board->store || !store_era_changed_within(board->store, LOST_WRITES_US),
		.mark = board->era_mark,
		.others_asked = board->others_asked,
		.knows_history = board->knows_history,
		.version = version,
		.told_version = board->told_version,
	};
}

static void on_written(void *arg, const struct store_reply *r)
{
	struct board *board = arg;

	board->era_mark_pending = false;
	if (r->result == STORE_OK)
		EVENT(EVENT_INFO, "store", "era_marked", EVENT_NUMBER("era", r->position.era));
}

void era_mark_check(struct board *board)
{
	uint64_t era = store_era(board->store);
	struct br_store_trust trust = era_mark_trust(board, 0);
	char value[24];

	/* A store that tells no era never comes back from a copy. */
	if (!board->is_keeper || !era || board->era_mark_pending ||
	    board->era_mark == BR_ERA_MARK_UNREAD || board->era_mark == BR_ERA_MARK_PRESENT)
		return;
	/* Without any mark this is the first keeper, unless the mark itself was lost. */
	if (!trust.era_is_old &&
	    (board->era_mark != BR_ERA_MARK_NONE || board->counters[COUNT_STORE_ERA_CHANGES]))
		return;
	snprintf(value, sizeof(value), "%" PRIu64, era);
	board->era_mark_pending = true;
	store_put(board->store,
		  &(struct store_put){.key = ERA_MARK_KEY, .value = value, .len = strlen(value)},
		  NULL, CALL_TIMEOUT_MS, on_written, board);
}
