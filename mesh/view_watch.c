#include "mesh/view_watch.h"

#include "common/clock.h"
#include "mesh/election.h"
#include "mesh/era_mark.h"
#include "mesh/event_log.h"
#include "mesh/members.h"
#include "mesh/presence.h"
#include "mesh/view_format.h"
#include "net/timer.h"
#include "platform/store.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/** Prefix of all entries of the mesh. */
#define MESH_PREFIX "mesh/"

#define CALL_TIMEOUT_MS 1000
#define WATCH_WAIT_MS 20000
#define WATCH_GRACE_MS 1500
#define RETRY_MS 400
#define CHECK_MS 200
/*
 * Each change ends a watch call. A pause before the next call batches changes; it grows with the
 * number of nodes, since all of them may be watching.
 */
#define PAUSE_PER_NODE_MS 12
#define PAUSE_MIN_MS 200
#define PAUSE_MAX_MS 2000
/* A keeper is elected, and answers, within this time. */
#define ELECTION_MS 800
/*
 * A node that has followed a keeper waits this long for the next keeper before it watches the
 * members in the store itself. This is longer than the lease of a dead keeper.
 */
#define NEXT_KEEPER_WAIT_US (4000 * BR_US_PER_MS)
/*
 * Nodes whose entries expired while the store was unreachable write them again within this time.
 * Members whose entries are still absent after it are marked as missing.
 */
#define REREGISTER_MS 2000

struct view_watch {
	struct board *board;
	struct election *election;
	struct presence *presence;
	struct timer *check_timer, *pause_timer, *missing_timer;
	/**
	 * Store position up to which the view is complete; the revision is 0 if it must be read
	 * again. Position and start time of the last range read.
	 */
	struct br_position position, range_position;
	uint64_t range_started_us;
	/** Last key of the previous page of a range read; empty for the first page. */
	char range_after[STORE_KEY_BYTES];
	/** keeper_key_found: ELECTION_KEY existed when it was last read or changed. */
	bool keeper_key_found, call_pending;
	/** Start of the time without a keeper; 0 with a keeper or without a reachable store. */
	uint64_t no_keeper_since_us;
};

/* Applies the entry of a node. Returns false if the entry is deleted or cannot be used. */
static bool apply_entry(struct view_watch *w, const char *node, const struct store_item *item)
{
	if (item->deleted)
		members_set_missing(w->board->members, node);
	return !item->deleted && !item->unreadable &&
	       members_put(w->board->members, node, item->value, item->len);
}

static void apply_item(struct view_watch *w, const struct store_reply *r,
		       const struct store_item *item)
{
	struct br_position position = store_item_position(r, item);

	if (!strncmp(item->key, MEMBERS_PREFIX, strlen(MEMBERS_PREFIX))) {
		const char *node = item->key + strlen(MEMBERS_PREFIX);
		bool usable = apply_entry(w, node, item);

		/*
		 * This node's entry expired with an older lease, or somebody else removed or
		 * overwrote it.
		 */
		if (!usable && !strcmp(node, w->board->settings->node) && !w->board->stopping)
			presence_write(w->presence);
	} else if (!strcmp(item->key, ERA_MARK_KEY)) {
		era_mark_read(w->board, item, position.era);
	} else if (!strcmp(item->key, ELECTION_KEY) && !item->unreadable) {
		w->keeper_key_found = !item->deleted;
		election_set_keeper(w->election, item->deleted ? NULL : item->value, item->lease,
				    &position);
	}
}

static uint64_t pause_ms(const struct view_watch *w)
{
	uint64_t ms = PAUSE_PER_NODE_MS * members_count(w->board->members);

	if (w->board->is_keeper || ms < PAUSE_MIN_MS)
		return PAUSE_MIN_MS;
	return ms < PAUSE_MAX_MS ? ms : PAUSE_MAX_MS;
}

static void on_pause_timer(void *arg)
{
	struct view_watch *w = arg;

	w->pause_timer = NULL;
}

/* Delays the next call to the store. */
static void pause_calls(struct view_watch *w, uint64_t ms)
{
	timer_cancel(&w->pause_timer);
	w->pause_timer = timer_start(w->board->loop, ms, on_pause_timer, w);
}

static void set_position(struct view_watch *w, const struct br_position *position)
{
	w->position = *position;
	w->board->view_position = *position;
}

/* True if changes since the known position can be asked for: the store is still in its era. */
static bool position_known(const struct view_watch *w)
{
	return w->position.revision && w->position.era == store_era(w->board->store);
}

static void count_change(struct view_watch *w)
{
	w->board->view_changes++;
	if (w->board->is_keeper)
		board_report_progress(w->board);
}

static void on_watch(void *arg, const struct store_reply *r)
{
	struct view_watch *w = arg;

	w->call_pending = false;
	if (r->result == STORE_COMPACTED)
		w->position.revision = 0;
	else if (r->result != STORE_OK)
		pause_calls(w, RETRY_MS);
	if (r->result != STORE_OK)
		return;
	for (size_t i = 0; i < r->n_items; i++)
		apply_item(w, r, &r->items[i]);
	if (br_position_compare(&r->position, &w->position) > 0)
		set_position(w, &r->position);
	if (!r->n_items)
		return;
	pause_calls(w, pause_ms(w));
	count_change(w);
}

static void on_missing_timer(void *arg)
{
	struct view_watch *w = arg;

	w->missing_timer = NULL;
	members_set_missing_if_older(w->board->members, w->range_started_us);
}

static void finish_range(struct view_watch *w)
{
	w->call_pending = false;
	set_position(w, &w->range_position);
	era_mark_all_read(w->board);
	count_change(w);
	/* An election may be in progress; once elected, the keeper watches for all nodes. */
	pause_calls(w, ELECTION_MS);
	timer_cancel(&w->missing_timer);
	w->missing_timer = timer_start(w->board->loop, REREGISTER_MS, on_missing_timer, w);
	if (!w->keeper_key_found)
		election_set_keeper(w->election, NULL, 0, &w->range_position);
}

static void on_range(void *arg, const struct store_reply *r)
{
	struct view_watch *w = arg;
	const char *next = store_next_page(r);

	/* Pages of two eras are no whole view. */
	if (r->result != STORE_OK ||
	    (w->range_after[0] && r->position.era != w->range_position.era)) {
		w->call_pending = false;
		w->range_after[0] = '\0';
		pause_calls(w, RETRY_MS);
		return;
	}
	if (!w->range_after[0]) {
		w->range_position = r->position;
		w->board->era_mark = BR_ERA_MARK_NONE;
	}
	for (size_t i = 0; i < r->n_items; i++)
		apply_item(w, r, &r->items[i]);
	if (next && br_copy_text(w->range_after, sizeof(w->range_after), next)) {
		store_range(w->board->store, MESH_PREFIX, w->range_after, CALL_TIMEOUT_MS, on_range,
			    w);
		return;
	}
	w->range_after[0] = '\0';
	finish_range(w);
}

/* True while the node waits for a keeper, which delivers the members without calls to the store. */
static bool waits_for_keeper(const struct view_watch *w, uint64_t now_us)
{
	if (w->position.revision)
		return now_us - w->no_keeper_since_us < NEXT_KEEPER_WAIT_US;
	/* A restarted node reads the members at once, since callers wait for it. */
	return w->board->settings->first_start &&
	       now_us - w->no_keeper_since_us < ELECTION_MS * BR_US_PER_MS;
}

static void on_check(void *arg)
{
	struct view_watch *w = arg;
	uint64_t now_us = clock_now_us();

	if (w->board->store_unreachable || board_follows_keeper(w->board, now_us)) {
		w->no_keeper_since_us = 0;
		return;
	}
	if (!w->no_keeper_since_us)
		w->no_keeper_since_us = now_us;
	if (w->call_pending || w->pause_timer)
		return;
	if (!w->board->is_keeper && waits_for_keeper(w, now_us)) {
		election_find_keeper(w->election);
		return;
	}
	w->call_pending = true;
	if (!position_known(w)) {
		w->keeper_key_found = false;
		w->range_started_us = clock_now_us();
		store_range(w->board->store, MESH_PREFIX, "", CALL_TIMEOUT_MS, on_range, w);
	} else {
		store_watch(w->board->store, MESH_PREFIX, &w->position, WATCH_WAIT_MS,
			    WATCH_WAIT_MS + WATCH_GRACE_MS, on_watch, w);
	}
}

struct view_watch *view_watch_create(struct board *board, struct election *election,
				     struct presence *presence)
{
	struct view_watch *w = xcalloc(1, sizeof(*w));

	w->board = board;
	w->election = election;
	w->presence = presence;
	w->check_timer = timer_repeat(board->loop, CHECK_MS, on_check, w);
	on_check(w);
	return w;
}

void view_watch_destroy(struct view_watch *w)
{
	if (!w)
		return;
	timer_cancel(&w->check_timer);
	timer_cancel(&w->pause_timer);
	timer_cancel(&w->missing_timer);
	free(w);
}

int view_watch_apply(struct view_watch *w, const char *bytes, size_t len)
{
	struct br_position position;

	if (view_read(w->board->members, bytes, len, &position)) {
		EVENT(EVENT_WARNING, "view", "unreadable", EVENT_NUMBER("bytes", len));
		return -EINVAL;
	}
	store_hear_era(w->board->store, position.era);
	w->board->view_changes++;
	if (!w->call_pending)
		set_position(w, &position);
	return 0;
}
