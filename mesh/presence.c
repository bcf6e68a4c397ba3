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
#define LEASE_MS 3000
/* Two renewals may fail before a lease ends. */
#define KEEP_MS 1000
#define KEEP_TIMEOUT_MS 600
/* The others follow the keeper, which must notice early that the store does not answer it. */
#define KEEPER_KEEP_MS 400
#define KEEPER_KEEP_TIMEOUT_MS 400
#define RETRY_MS 400
/* The first entry waits this long for the first report of the target, which saves a write. */
#define FIRST_REPORT_MS 2500

struct presence {
	struct board *board;
	void (*renewed)(void *ctx, uint64_t lease, uint64_t until_us);
	void *ctx;
	uint64_t lease, sent_us, first_until_us;
	struct timer *keep_timer, *put_timer;
	bool leasing, putting, put_again, lost;
	void (*left)(void *ctx);
	void *left_ctx;
};

static void note_store(struct presence *p, bool reached, uint16_t status)
{
	p->board->store_away = !reached;
	if (reached == !p->lost)
		return;
	p->lost = !reached;
	if (!reached)
		store_abandon_watches(p->board->store);
	if (reached)
		EVENT(EVENT_INFO, "presence", "store_back", EVENT_NUMBER("lease", p->lease));
	else
		EVENT(EVENT_WARNING, "presence", "store_lost", EVENT_NUMBER("status", status),
		      EVENT_NUMBER("members", members_count(p->board->members)));
}

static void on_keep_timer(void *arg);

static void arm_keep(struct presence *p, uint64_t delay_ms)
{
	timer_cancel(&p->keep_timer);
	p->keep_timer = timer_start(p->board->loop, delay_ms, on_keep_timer, p);
}

static void on_lease(void *arg, const struct store_reply *r)
{
	struct presence *p = arg;

	p->leasing = false;
	note_store(p, r->result == STORE_OK, r->status);
	if (r->result != STORE_OK || !r->lease) {
		arm_keep(p, RETRY_MS);
		return;
	}
	p->lease = r->lease;
	p->renewed(p->ctx, p->lease, p->sent_us + LEASE_MS * BR_US_PER_MS);
	presence_write(p);
	arm_keep(p, KEEP_MS);
}

static void start_lease(struct presence *p)
{
	uint64_t min_ms = p->board->settings->lease_min_ms;

	if (p->leasing)
		return;
	p->leasing = true;
	p->lease = 0;
	p->sent_us = clock_now_us();
	p->renewed(p->ctx, 0, 0);
	store_lease(p->board->store, min_ms > LEASE_MS ? min_ms : LEASE_MS, CALL_TIMEOUT_MS,
		    on_lease, p);
}

static void on_keep(void *arg, const struct store_reply *r)
{
	struct presence *p = arg;

	p->leasing = false;
	note_store(p, r->result == STORE_OK || r->result == STORE_NOT_FOUND, r->status);
	if (r->result == STORE_NOT_FOUND) {
		EVENT(EVENT_WARNING, "presence", "lease_ended", EVENT_NUMBER("lease", p->lease));
		start_lease(p);
		return;
	}
	if (r->result == STORE_OK)
		p->renewed(p->ctx, p->lease, p->sent_us + LEASE_MS * BR_US_PER_MS);
	arm_keep(p, r->result != STORE_OK ? RETRY_MS
		    : p->board->is_keeper ? KEEPER_KEEP_MS
					  : KEEP_MS);
}

static void on_keep_timer(void *arg)
{
	struct presence *p = arg;

	p->keep_timer = NULL;
	if (!p->lease) {
		start_lease(p);
		return;
	}
	p->leasing = true;
	p->sent_us = clock_now_us();
	store_keep(p->board->store, p->lease,
		   p->board->is_keeper ? KEEPER_KEEP_TIMEOUT_MS : KEEP_TIMEOUT_MS, on_keep, p);
}

static void on_put_timer(void *arg)
{
	struct presence *p = arg;

	p->put_timer = NULL;
	presence_write(p);
}

static void arm_put(struct presence *p, uint64_t delay_ms)
{
	timer_cancel(&p->put_timer);
	p->put_timer = timer_start(p->board->loop, delay_ms, on_put_timer, p);
}

static void on_put(void *arg, const struct store_reply *r)
{
	struct presence *p = arg;

	p->putting = false;
	if (r->result == STORE_NOT_FOUND)
		start_lease(p);
	else if (r->result != STORE_OK)
		arm_put(p, RETRY_MS);
	else if (p->put_again)
		presence_write(p);
}

void presence_write(struct presence *p)
{
	const struct board *b = p->board;
	uint64_t now_us = clock_now_us();
	char key[BR_NAME_BYTES * 2];
	struct buf entry = {0};

	p->put_again = p->putting;
	if (!p->lease || p->putting)
		return;
	if (target_status(b->target)->phase == TARGET_ABSENT && now_us < p->first_until_us) {
		arm_put(p, (p->first_until_us - now_us) / BR_US_PER_MS + 1);
		return;
	}
	timer_cancel(&p->put_timer);
	p->putting = true;
	members_write_entry(&entry, b->settings, target_status(b->target), b->stopping);
	snprintf(key, sizeof(key), MEMBERS_PREFIX "%s", b->settings->node);
	store_put(b->store,
		  &(struct store_put){
			  .key = key, .value = entry.data, .len = entry.len, .lease = p->lease},
		  false, CALL_TIMEOUT_MS, on_put, p);
	buf_free(&entry);
}

struct presence *presence_create(struct board *board,
				 void (*renewed)(void *ctx, uint64_t lease, uint64_t until_us),
				 void *ctx)
{
	struct presence *p = xcalloc(1, sizeof(*p));

	p->board = board;
	p->renewed = renewed;
	p->ctx = ctx;
	p->first_until_us = clock_now_us() + FIRST_REPORT_MS * BR_US_PER_MS;
	start_lease(p);
	return p;
}

void presence_destroy(struct presence *p)
{
	if (!p)
		return;
	timer_cancel(&p->keep_timer);
	timer_cancel(&p->put_timer);
	free(p);
}

static void on_left(void *arg, const struct store_reply *r)
{
	struct presence *p = arg;

	(void)r;
	p->left(p->left_ctx);
}

void presence_leave(struct presence *p, void (*done)(void *ctx), void *ctx)
{
	p->left = done;
	p->left_ctx = ctx;
	timer_cancel(&p->keep_timer);
	store_lease_end(p->board->store, p->lease, CALL_TIMEOUT_MS, on_left, p);
}
