#include "mesh/election.h"

#include "common/clock.h"
#include "mesh/members.h"
#include "mesh/quota.h"
#include "net/timer.h"
#include "platform/store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALL_TIMEOUT_MS 1000
/* The nodes try one after the other, so that most find a keeper before they write. */
#define STEP_MS 20
/* A node that knows no other one draws its place among this many. */
#define PLACES_UNKNOWN 24
#define RETRY_MS 300
/* Between two looks for a keeper. */
#define SEEK_US (400 * BR_US_PER_MS)

struct election {
	struct board *board;
	struct timer *timer;
	uint64_t lease, lease_until_us;
	char keeper[BR_NAME_BYTES];
	/** Revision of the store that showed the keeper, or its absence. */
	uint64_t revision;
	uint64_t sought_us;
	/** The key has been looked for, so that its absence is known. */
	bool known;
	bool writing, seeking;
	/** The node's turn has come: it writes the key if the look finds none. */
	bool due;
};

static void consider(struct election *e, uint64_t extra_ms);

static bool self_is_keeper(const struct election *e)
{
	return !strcmp(e->keeper, e->board->settings->node);
}

void election_set(struct election *e, const char *value, uint64_t revision)
{
	char addr_text[BR_NODE_ID_BYTES];
	struct sockaddr_in addr = {0};

	/* Cheap reads may show an older state than what is known. */
	if (revision < e->revision)
		return;
	e->revision = revision;
	e->known = true;
	if (!value || sscanf(value, "%63s %47s", e->keeper, addr_text) != 2 ||
	    mesh_parse_addr(addr_text, &addr)) {
		e->keeper[0] = '\0';
		quota_set_keeper(e->board->quota, "", NULL, 0);
		consider(e, 0);
		return;
	}
	timer_cancel(&e->timer);
	/* An entry of this node's former incarnation ends with the old lease. */
	quota_set_keeper(e->board->quota, e->keeper, &addr,
			 self_is_keeper(e) && e->lease ? e->lease_until_us : 0);
}

void election_lease(struct election *e, uint64_t lease, uint64_t until_us)
{
	bool lost = e->lease && e->lease != lease;

	e->lease = lease;
	e->lease_until_us = until_us;
	if (!self_is_keeper(e))
		return;
	if (lost) {
		/* The key ended with the lease. */
		election_set(e, NULL, e->revision);
		return;
	}
	quota_set_keeper(e->board->quota, e->keeper, &e->board->settings->peer_addr, until_us);
}

static void on_written(void *arg, const struct store_reply *r)
{
	struct election *e = arg;

	e->writing = false;
	if (r->result == STORE_OK) {
		char addr[BR_NODE_ID_BYTES], value[BR_NAME_BYTES + BR_NODE_ID_BYTES];

		mesh_format_addr(&e->board->settings->peer_addr, addr, sizeof(addr));
		snprintf(value, sizeof(value), "%s %s", e->board->settings->node, addr);
		election_set(e, value, r->revision);
	} else if (r->result == STORE_CONFLICT && r->n_items && !r->items[0].deleted) {
		election_set(e, r->items[0].value, r->items[0].revision);
	} else if (!*e->keeper) {
		consider(e, RETRY_MS);
	}
}

static void create(struct election *e)
{
	char addr[BR_NODE_ID_BYTES], value[BR_NAME_BYTES + BR_NODE_ID_BYTES];

	mesh_format_addr(&e->board->settings->peer_addr, addr, sizeof(addr));
	snprintf(value, sizeof(value), "%s %s", e->board->settings->node, addr);
	e->writing = true;
	store_put(e->board->store,
		  &(struct store_put){.key = ELECTION_KEY,
				      .value = value,
				      .len = strlen(value),
				      .lease = e->lease},
		  true, CALL_TIMEOUT_MS, on_written, e);
}

static void on_sought(void *arg, const struct store_reply *r)
{
	struct election *e = arg;
	bool due = e->due;

	e->seeking = false;
	e->due = false;
	/* This node may have won meanwhile. */
	if (self_is_keeper(e) && e->lease)
		return;
	if (r->result == STORE_OK && r->n_items)
		election_set(e, r->items[0].value, r->items[0].revision);
	else if (r->result == STORE_NOT_FOUND && due)
		create(e);
	else if (r->result == STORE_NOT_FOUND)
		election_set(e, NULL, r->revision);
	else if (due)
		consider(e, RETRY_MS);
}

static void seek(struct election *e)
{
	e->seeking = true;
	e->sought_us = clock_now_us();
	store_get_stale(e->board->store, ELECTION_KEY, CALL_TIMEOUT_MS, on_sought, e);
}

void election_seek(struct election *e)
{
	if (!e->seeking && !e->writing && !e->timer && clock_now_us() - e->sought_us >= SEEK_US)
		seek(e);
}

static void on_timer(void *arg)
{
	struct election *e = arg;

	e->timer = NULL;
	if (*e->keeper || e->writing || e->board->stopping)
		return;
	if (!e->lease || clock_now_us() >= e->lease_until_us) {
		consider(e, RETRY_MS);
		return;
	}
	/* Most nodes find that another one was quicker, which is cheaper than a write. */
	e->due = true;
	if (!e->seeking)
		seek(e);
}

static void consider(struct election *e, uint64_t extra_ms)
{
	struct members *ms = e->board->members;
	uint64_t place = 0;

	if (e->timer || e->board->stopping || !e->known)
		return;
	for (size_t i = 0; i < members_count(ms); i++)
		if (strcmp(members_at(ms, i)->node, e->board->settings->node) < 0)
			place++;
	if (members_count(ms) <= 1)
		place = br_rng_below(&e->board->rng, PLACES_UNKNOWN);
	e->timer = timer_start(e->board->loop, STEP_MS * (place + 1) + extra_ms, on_timer, e);
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
	timer_cancel(&e->timer);
	free(e);
}
