#include "mesh/election.h"

#include "common/clock.h"
#include "mesh/members.h"
#include "mesh/quota.h"
#include "mesh/target.h"
#include "net/timer.h"
#include "platform/store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALL_TIMEOUT_MS 1000
/* Delay from one node's attempt to the next one's, so that most find a keeper before they write. */
#define ATTEMPT_STEP_MS 20
/* Further delay of a node whose target leaves; the others find that there is no keeper by then. */
#define LEAVING_DELAY_MS 1000
/* A node that knows no other node picks its position at random among this many. */
#define RANDOM_POSITIONS 24
#define RETRY_MS 300
/* Minimum time between two reads of the keeper's key. */
#define READ_INTERVAL_US (400 * BR_US_PER_MS)

struct election {
	struct board *board;
	struct timer *attempt_timer;
	uint64_t lease, lease_until_us;
	/** Lease of the key, and the lease under which this node last wrote it. */
	uint64_t key_lease, written_lease;
	/** The key has this node's address: its writer, if another process, has ended. */
	bool key_has_own_addr;
	char keeper[BR_NAME_BYTES];
	/** Store position at which the keeper, or its absence, was seen. */
	struct br_position position;
	uint64_t read_sent_us;
	/** The keeper's key has been read, so that its absence is known. */
	bool key_read;
	bool write_pending, read_pending;
	/** This node's attempt is due: it writes the key if the pending read finds none. */
	bool write_if_absent;
};

/* Schedules an attempt to become the keeper, in the order of the node names. */
static void schedule_attempt(struct election *e, uint64_t delay_ms);

/* Writes the key under this node's lease, if it still has the given revision (0: absent). */
static void write_key(struct election *e, uint64_t expected_revision);

static bool self_is_keeper(const struct election *e)
{
	return !strcmp(e->keeper, e->board->settings->node);
}

/* True if what is known of the key was read in the store's present era. */
static bool key_is_current(const struct election *e)
{
	return e->position.era == store_era(e->board->store);
}

/*
 * True if the key lives as long as this node's lease, so that nobody else can be elected. Ids of
 * leases are given out again, so that a key of an earlier era may have the id of the present lease.
 */
static bool holds_key(const struct election *e)
{
	return self_is_keeper(e) && e->lease && e->key_lease == e->lease && key_is_current(e);
}

/*
 * Takes over a key that an earlier process of this node has left. A VM that has replaced another
 * one of this name waits for the end of the old lease.
 */
static void take_over_key(struct election *e)
{
	/* A revision of an earlier era may be another node's key by now. */
	if (self_is_keeper(e) && e->key_has_own_addr && e->lease && e->key_lease != e->lease &&
	    key_is_current(e) && !e->write_pending && !e->board->stopping)
		write_key(e, e->position.revision);
}

/* Reads a node's name, which may hold spaces, and its address behind the last one. */
static bool read_key_value(const char *value, char *node, struct sockaddr_in *addr)
{
	const char *space = strrchr(value, ' ');
	size_t len = space ? (size_t)(space - value) : 0;

	if (!len || len >= BR_NAME_BYTES || mesh_parse_addr(space + 1, addr))
		return false;
	memcpy(node, value, len);
	node[len] = '\0';
	return true;
}

void election_set_keeper(struct election *e, const char *value, uint64_t lease,
			 const struct br_position *position)
{
	struct sockaddr_in addr = {0};

	/* Stale reads may return an older state than the known one. */
	if (br_position_compare(position, &e->position) < 0)
		return;
	e->position = *position;
	e->key_lease = lease;
	e->key_read = true;
	e->board->keeper_key = (struct keeper_key){.lease = lease, .position = *position};
	if (value)
		br_copy_text(e->board->keeper_key.value, sizeof(e->board->keeper_key.value), value);
	if (!value || !read_key_value(value, e->keeper, &addr)) {
		e->keeper[0] = '\0';
		quota_set_keeper(e->board->quota, "", NULL, 0);
		schedule_attempt(e, value ? RETRY_MS : 0);
		return;
	}
	timer_cancel(&e->attempt_timer);
	quota_set_keeper(e->board->quota, e->keeper, &addr, holds_key(e) ? e->lease_until_us : 0);
	e->key_has_own_addr = !memcmp(&addr, &e->board->settings->peer_addr, sizeof(addr));
	take_over_key(e);
}

void election_set_lease(struct election *e, uint64_t lease, uint64_t until_us)
{
	e->lease = lease;
	e->lease_until_us = until_us;
	if (!self_is_keeper(e))
		return;
	quota_set_keeper(e->board->quota, e->keeper, &e->board->settings->peer_addr,
			 holds_key(e) ? until_us : 0);
	take_over_key(e);
}

static void on_key_written(void *arg, const struct store_reply *r)
{
	struct election *e = arg;
	struct br_position position = r->position;

	e->write_pending = false;
	if (r->result == STORE_OK) {
		char addr[BR_NODE_ID_BYTES], value[BR_NAME_BYTES + BR_NODE_ID_BYTES];

		mesh_format_addr(&e->board->settings->peer_addr, addr, sizeof(addr));
		snprintf(value, sizeof(value), "%s %s", e->board->settings->node, addr);
		election_set_keeper(e, value, e->written_lease, &position);
	} else if (r->result == STORE_CONFLICT && r->n_items && r->items[0].value) {
		position = store_item_position(r, &r->items[0]);
		election_set_keeper(e, r->items[0].value, r->items[0].lease, &position);
	} else if (r->result == STORE_CONFLICT) {
		/* The key that was to be taken over has ended with its lease. */
		if (br_position_compare(&position, &e->position) < 0)
			position = e->position;
		election_set_keeper(e, NULL, 0, &position);
	} else if (!*e->keeper) {
		schedule_attempt(e, RETRY_MS);
	}
}

static void write_key(struct election *e, uint64_t expected_revision)
{
	char addr[BR_NODE_ID_BYTES], value[BR_NAME_BYTES + BR_NODE_ID_BYTES];

	mesh_format_addr(&e->board->settings->peer_addr, addr, sizeof(addr));
	snprintf(value, sizeof(value), "%s %s", e->board->settings->node, addr);
	e->write_pending = true;
	e->written_lease = e->lease;
	store_put(e->board->store,
		  &(struct store_put){.key = ELECTION_KEY,
				      .value = value,
				      .len = strlen(value),
				      .lease = e->lease},
		  &expected_revision, CALL_TIMEOUT_MS, on_key_written, e);
}

static void on_keeper_read(void *arg, const struct store_reply *r)
{
	struct election *e = arg;
	bool write_if_absent = e->write_if_absent;
	struct br_position position = r->position;

	e->read_pending = false;
	e->write_if_absent = false;
	/* This node may have become the keeper while the read was pending. */
	if (holds_key(e))
		return;
	if (r->result == STORE_OK && r->n_items && r->items[0].value) {
		position = store_item_position(r, &r->items[0]);
		election_set_keeper(e, r->items[0].value, r->items[0].lease, &position);
	} else if (r->result == STORE_NOT_FOUND && write_if_absent) {
		write_key(e, 0);
	} else if (r->result == STORE_NOT_FOUND) {
		election_set_keeper(e, NULL, 0, &position);
	} else if (write_if_absent) {
		schedule_attempt(e, RETRY_MS);
	}
}

static void read_keeper(struct election *e)
{
	e->read_pending = true;
	e->read_sent_us = clock_now_us();
	store_get_stale(e->board->store, ELECTION_KEY, CALL_TIMEOUT_MS, on_keeper_read, e);
}

void election_find_keeper(struct election *e)
{
	if (!e->read_pending && !e->write_pending && !e->attempt_timer &&
	    clock_now_us() - e->read_sent_us >= READ_INTERVAL_US)
		read_keeper(e);
}

static void on_attempt_timer(void *arg)
{
	struct election *e = arg;

	e->attempt_timer = NULL;
	if (*e->keeper || e->write_pending || e->board->stopping)
		return;
	if (!e->lease || clock_now_us() >= e->lease_until_us) {
		schedule_attempt(e, RETRY_MS);
		return;
	}
	/* Usually another node has written the key; a read is cheaper than a failed write. */
	e->write_if_absent = true;
	if (!e->read_pending)
		read_keeper(e);
}

static bool own_target_leaves(const struct election *e)
{
	enum target_phase phase = target_status(e->board->target)->phase;

	return phase == TARGET_LEAVING || phase == TARGET_CLOSED;
}

static void schedule_attempt(struct election *e, uint64_t delay_ms)
{
	struct members *ms = e->board->members;
	uint64_t position = 0;

	if (e->attempt_timer || e->board->stopping || !e->key_read)
		return;
	for (size_t i = 0; i < members_count(ms); i++)
		if (strcmp(members_at(ms, i)->node, e->board->settings->node) < 0)
			position++;
	/* A VM whose target leaves is mostly about to be removed, and each change of keeper costs. */
	if (own_target_leaves(e))
		delay_ms += LEAVING_DELAY_MS;
	if (members_count(ms) <= 1)
		position = br_rng_below(&e->board->rng, RANDOM_POSITIONS);
	e->attempt_timer = timer_start(e->board->loop, ATTEMPT_STEP_MS * (position + 1) + delay_ms,
				       on_attempt_timer, e);
}

struct election *election_create(struct board *board)
{
	struct election *e = xcalloc(1, sizeof(*e));

	e->board = board;
	return e;
}

void election_destroy(struct election *e)
{
	if (!e)
		return;
	timer_cancel(&e->attempt_timer);
	free(e);
}
