#include "mesh/presence.h"

#include "common/clock.h"
#include "mesh/event_log.h"
#include "mesh/members.h"
#include "mesh/target.h"
#include "net/timer.h"
#include "platform/store.h"

#include <stdio.h>
#include <stdlib.h>

#define CALL_TIMEOUT_MS 1000
/* Interval between renewals: two may fail before the lease expires. */
#define RENEW_INTERVAL_MS 1000
#define RENEW_TIMEOUT_MS 600
/* Other nodes follow the keeper, so it must notice early that the store does not answer. */
#define KEEPER_RENEW_INTERVAL_MS 400
#define KEEPER_RENEW_TIMEOUT_MS 400
#define RETRY_MS 400
/*
 * After a change of the store's era all nodes get new leases and write their entries: two writes
 * each, of which the store takes hundreds a second.
 */
#define RESTART_PER_NODE_MS 2
/* The first entry waits at most this long for the target's first report, which saves a write. */
#define FIRST_REPORT_MS 2500

struct presence {
	struct board *board;
	void (*on_lease)(void *ctx, uint64_t lease, uint64_t until_us);
	void *ctx;
	uint64_t lease, sent_us, first_write_until_us;
	struct timer *renew_timer, *write_timer;
	bool lease_call_pending, write_pending, write_again, store_unreachable;
	/** This node was the keeper when the store's era changed. */
	bool was_keeper;
	void (*leave_done)(void *ctx);
	void *leave_done_ctx;
};

static void set_store_reachable(struct presence *p, bool reachable, uint16_t status)
{
	p->board->store_unreachable = !reachable;
	if (reachable == !p->store_unreachable)
		return;
	p->store_unreachable = !reachable;
	if (!reachable)
		store_abandon_watches(p->board->store);
	if (reachable)
		EVENT(EVENT_INFO, "presence", "store_back", EVENT_NUMBER("lease", p->lease));
	else
		EVENT(EVENT_WARNING, "presence", "store_lost", EVENT_NUMBER("status", status),
		      EVENT_NUMBER("members", members_count(p->board->members)));
}

static void on_renew_timer(void *arg);

static void schedule_renewal(struct presence *p, uint64_t delay_ms)
{
	timer_cancel(&p->renew_timer);
	p->renew_timer = timer_start(p->board->loop, delay_ms, on_renew_timer, p);
}

static void on_lease_reply(void *arg, const struct store_reply *r)
{
	struct presence *p = arg;

	p->lease_call_pending = false;
	set_store_reachable(p, r->result == STORE_OK, r->status);
	if (r->result != STORE_OK || !r->lease) {
		schedule_renewal(p, RETRY_MS);
		return;
	}
	p->lease = r->lease;
	p->on_lease(p->ctx, p->lease, p->sent_us + PRESENCE_LEASE_MS * BR_US_PER_MS);
	presence_write(p);
	schedule_renewal(p, RENEW_INTERVAL_MS);
}

static uint64_t restart_delay_ms(const struct presence *p)
{
	uint64_t spread_ms = RESTART_PER_NODE_MS * members_count(p->board->members);

	return p->was_keeper ? 0 : br_rng_below(&p->board->rng, spread_ms + 1);
}

static void start_lease(struct presence *p)
{
	uint64_t min_ms = p->board->settings->lease_min_ms;

	if (p->lease_call_pending)
		return;
	p->lease_call_pending = true;
	p->lease = 0;
	p->sent_us = clock_now_us();
	p->on_lease(p->ctx, 0, 0);
	store_grant_lease(p->board->store, min_ms > PRESENCE_LEASE_MS ? min_ms : PRESENCE_LEASE_MS,
			  CALL_TIMEOUT_MS, on_lease_reply, p);
}

static void on_renewal_reply(void *arg, const struct store_reply *r)
{
	struct presence *p = arg;

	p->lease_call_pending = false;
	set_store_reachable(p, r->result == STORE_OK || r->result == STORE_NOT_FOUND, r->status);
	/* presence_start_again() has given up the lease meanwhile. */
	if (!p->lease) {
		schedule_renewal(p, restart_delay_ms(p));
		return;
	}
	if (r->result == STORE_NOT_FOUND) {
		EVENT(EVENT_WARNING, "presence", "lease_ended", EVENT_NUMBER("lease", p->lease));
		start_lease(p);
		return;
	}
	if (r->result == STORE_OK)
		p->on_lease(p->ctx, p->lease, p->sent_us + PRESENCE_LEASE_MS * BR_US_PER_MS);
	schedule_renewal(p, r->result != STORE_OK ? RETRY_MS
			    : p->board->is_keeper ? KEEPER_RENEW_INTERVAL_MS
						  : RENEW_INTERVAL_MS);
}

static void on_renew_timer(void *arg)
{
	struct presence *p = arg;

	p->renew_timer = NULL;
	if (!p->lease) {
		start_lease(p);
		return;
	}
	p->lease_call_pending = true;
	p->sent_us = clock_now_us();
	store_renew_lease(p->board->store, p->lease,
			  p->board->is_keeper ? KEEPER_RENEW_TIMEOUT_MS : RENEW_TIMEOUT_MS,
			  on_renewal_reply, p);
}

static void on_write_timer(void *arg)
{
	struct presence *p = arg;

	p->write_timer = NULL;
	presence_write(p);
}

static void schedule_write(struct presence *p, uint64_t delay_ms)
{
	timer_cancel(&p->write_timer);
	p->write_timer = timer_start(p->board->loop, delay_ms, on_write_timer, p);
}

static void on_put_reply(void *arg, const struct store_reply *r)
{
	struct presence *p = arg;

	p->write_pending = false;
	if (r->result == STORE_NOT_FOUND)
		start_lease(p);
	else if (r->result != STORE_OK)
		schedule_write(p, RETRY_MS);
	else if (p->write_again)
		presence_write(p);
}

void presence_write(struct presence *p)
{
	const struct board *b = p->board;
	uint64_t now_us = clock_now_us();
	char key[BR_NAME_BYTES * 2];
	struct buf entry = {0};

	p->write_again = p->write_pending;
	if (!p->lease || p->write_pending)
		return;
	if (target_status(b->target)->phase == TARGET_ABSENT && now_us < p->first_write_until_us) {
		schedule_write(p, (p->first_write_until_us - now_us) / BR_US_PER_MS + 1);
		return;
	}
	timer_cancel(&p->write_timer);
	p->write_pending = true;
	members_write_entry(&entry, b->settings, target_status(b->target), b->stopping);
	snprintf(key, sizeof(key), MEMBERS_PREFIX "%s", b->settings->node);
	store_put(b->store,
		  &(struct store_put){
			  .key = key, .value = entry.data, .len = entry.len, .lease = p->lease},
		  NULL, CALL_TIMEOUT_MS, on_put_reply, p);
	buf_free(&entry);
}

struct presence *presence_create(struct board *board,
				 void (*on_lease)(void *ctx, uint64_t lease, uint64_t until_us),
				 void *ctx)
{
	struct presence *p = xcalloc(1, sizeof(*p));

	p->board = board;
	p->on_lease = on_lease;
	p->ctx = ctx;
	p->first_write_until_us = clock_now_us() + FIRST_REPORT_MS * BR_US_PER_MS;
	start_lease(p);
	return p;
}

void presence_destroy(struct presence *p)
{
	if (!p)
		return;
	timer_cancel(&p->renew_timer);
	timer_cancel(&p->write_timer);
	free(p);
}

void presence_start_again(struct presence *p)
{
	if (p->leave_done)
		return;
	p->was_keeper = p->board->is_keeper;
	p->lease = 0;
	p->on_lease(p->ctx, 0, 0);
	/* The callback of a pending call goes on from here. */
	if (!p->lease_call_pending)
		schedule_renewal(p, restart_delay_ms(p));
}

static void on_lease_ended(void *arg, const struct store_reply *r)
{
	struct presence *p = arg;

	(void)r;
	p->leave_done(p->leave_done_ctx);
}

void presence_leave(struct presence *p, void (*done)(void *ctx), void *ctx)
{
	p->leave_done = done;
	p->leave_done_ctx = ctx;
	timer_cancel(&p->renew_timer);
	store_end_lease(p->board->store, p->lease, CALL_TIMEOUT_MS, on_lease_ended, p);
}
