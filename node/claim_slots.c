#include "node/claim_slots.h"

#include "briarreel/view.h"
#include "common/clock.h"
#include "common/log.h"
#include "node/blackboard.h"
#include "node/claim_page.h"
#include "node/node.h"

#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#define LOG_PREFIX "claims"

/*
 * Time limit of a fetch, during which claims in the slot are refused. It is shorter than the 5 s
 * for which a stopping holder waits for its claims to be fetched.
 */
#define FETCH_TIMEOUT_US (2 * BR_US_PER_S)

enum slot_state {
	SLOT_NOT_HELD,
	/** Held; the former holder's claims are being fetched. */
	SLOT_FETCHING,
	SLOT_HELD,
	/** No longer held; the claims are kept for the next holder. */
	SLOT_CLOSED,
};

struct claim_slot {
	enum slot_state state;
	/** Start of the tenure that the state belongs to; for SLOT_CLOSED the one that ended. */
	uint64_t tenure_since_us;
	struct claim_fetch fetch;
	bool fetch_queued;

	/** For SLOT_CLOSED: this node released the slot for another holder. */
	bool released;
	/** For SLOT_CLOSED: all claims were served to the new holder. */
	bool fetched;
	/** For SLOT_CLOSED: all claims have expired and were removed. */
	bool purged;
	uint64_t closed_us;
	/** Position of the export to the new holder, and number of claims exported before it. */
	struct br_claim_cursor cursor;
	uint64_t n_exported;
};

struct claim_slots {
	struct node *node;
	pthread_mutex_t lock;
	pthread_cond_t fetch_cond;
	bool stop;
	/** NULL until the number of slots is known. */
	struct br_registrar *registrar;
	uint32_t n_slots;
	uint64_t window_us;
	uint64_t autonomy_us;
	/**
	 * Time before the end of the right to a slot from which claims are refused; 0 if the
	 * platform lease is too short for it. See br_registrar_claim_cutoff_us().
	 */
	_Atomic uint64_t claim_cutoff_us;
	struct claim_slot slots[BR_SLOTS_MAX];
};

struct claim_slots *claim_slots_create(struct node *node)
{
	struct claim_slots *cs = calloc(1, sizeof(*cs));

	if (!cs)
		return NULL;
	cs->node = node;
	pthread_mutex_init(&cs->lock, NULL);
	pthread_cond_init(&cs->fetch_cond, NULL);
	return cs;
}

void claim_slots_destroy(struct claim_slots *cs)
{
	if (!cs)
		return;
	if (cs->registrar)
		br_registrar_destroy(cs->registrar);
	pthread_cond_destroy(&cs->fetch_cond);
	pthread_mutex_destroy(&cs->lock);
	free(cs);
}

bool claim_slots_may_register(struct claim_slots *cs, uint32_t slot, uint64_t now_us)
{
	return blackboard_may_register(cs->node->board, slot,
				       now_us + atomic_load(&cs->claim_cutoff_us));
}

struct br_registrar *claim_slots_lock(struct claim_slots *cs, uint32_t slot, uint64_t now_us)
{
	if (!claim_slots_may_register(cs, slot, now_us))
		return NULL;
	pthread_mutex_lock(&cs->lock);
	if (cs->registrar && br_registrar_held(cs->registrar, slot))
		return cs->registrar;
	pthread_mutex_unlock(&cs->lock);
	return NULL;
}

void claim_slots_unlock(struct claim_slots *cs)
{
	pthread_mutex_unlock(&cs->lock);
}

static uint64_t configured_window_us(struct claim_slots *cs)
{
	struct br_view *view = blackboard_config(cs->node->board);
	uint64_t window_us = cs->window_us;

	if (view)
		window_us = (uint64_t)br_view_mesh(view)->dedupe_window_s * BR_US_PER_S;
	br_view_put(view);
	return window_us;
}

static void refresh_window(struct claim_slots *cs, uint64_t now_us)
{
	uint64_t window_us = configured_window_us(cs);

	atomic_store(&cs->claim_cutoff_us,
		     br_registrar_claim_cutoff_us(window_us, cs->autonomy_us));
	if (window_us == cs->window_us)
		return;
	if (cs->registrar)
		br_registrar_set_window(cs->registrar, window_us, now_us);
	cs->window_us = window_us;
}

static bool ensure_registrar(struct claim_slots *cs, uint32_t n_slots, uint64_t now_us)
{
	struct br_registrar_config cfg = {.n_slots = n_slots};

	refresh_window(cs, now_us);
	if (cs->registrar && cs->n_slots == n_slots)
		return true;
	/* A new number of slots maps ids to other slots, which makes all slot state obsolete. */
	if (cs->registrar)
		br_registrar_destroy(cs->registrar);
	memset(cs->slots, 0, sizeof(cs->slots));
	cfg.window_us = cs->window_us;
	cs->registrar = br_registrar_create(&cfg);
	cs->n_slots = n_slots;
	return cs->registrar != NULL;
}

static void take_over_without_claims(struct claim_slots *cs, uint32_t i, uint64_t now_us)
{
	log_info("Slot %u: taken over without earlier claims.", i);
	br_registrar_takeover(cs->registrar, i, clock_wall_ms(), now_us, false);
	cs->slots[i].state = SLOT_HELD;
}

/* Takes over a slot all of whose earlier claims have expired. */
static void take_over_empty(struct claim_slots *cs, uint32_t i, uint64_t now_us)
{
	struct br_claim_slot empty = {0};

	br_registrar_import_slot(cs->registrar, i, &empty, now_us);
	br_registrar_takeover(cs->registrar, i, clock_wall_ms(), now_us, true);
	cs->slots[i].state = SLOT_HELD;
}

static bool is_self(const struct claim_slots *cs, const struct br_slot_holder *h)
{
	return br_node_id_equal(&h->node, &cs->node->id) && h->incarnation == cs->node->incarnation;
}

static void start_fetch(struct claim_slots *cs, uint32_t i, const struct br_slot_tenure *t,
			uint64_t now_us)
{
	struct claim_slot *sl = &cs->slots[i];

	sl->state = SLOT_FETCHING;
	sl->fetch = (struct claim_fetch){.slot = i,
					 .tenure_since_us = t->since_us,
					 .former = t->former_holder,
					 .deadline_us = now_us + FETCH_TIMEOUT_US};
	sl->fetch_queued = true;
	pthread_cond_signal(&cs->fetch_cond);
}

/* True if no other node held the slot since it was closed, so the kept claims are complete. */
static bool can_resume(const struct claim_slots *cs, const struct claim_slot *sl,
		       const struct br_slot_tenure *t)
{
	return sl->state == SLOT_CLOSED &&
	       (sl->tenure_since_us == t->since_us ||
		(t->origin == BR_SLOT_ORIGIN_RELEASED && is_self(cs, &t->former_holder)));
}

static void reset_slot(struct claim_slots *cs, uint32_t i)
{
	br_registrar_drop(cs->registrar, i);
	memset(&cs->slots[i], 0, sizeof(cs->slots[i]));
}

static void acquire_slot(struct claim_slots *cs, uint32_t i, const struct br_slot_tenure *t,
			 uint64_t now_us)
{
	struct claim_slot *sl = &cs->slots[i];
	bool resume = can_resume(cs, sl, t);
	bool purged = sl->purged;

	memset(sl, 0, sizeof(*sl));
	sl->tenure_since_us = t->since_us;
	if (resume && purged) {
		take_over_empty(cs, i, now_us);
	} else if (resume) {
		br_registrar_reopen(cs->registrar, i);
		sl->state = SLOT_HELD;
	} else if (t->origin == BR_SLOT_ORIGIN_ABSENT && atomic_load(&cs->claim_cutoff_us)) {
		take_over_empty(cs, i, now_us);
	} else if (t->origin == BR_SLOT_ORIGIN_RELEASED && !is_self(cs, &t->former_holder)) {
		start_fetch(cs, i, t, now_us);
	} else {
		take_over_without_claims(cs, i, now_us);
	}
}

static void close_slot(struct claim_slots *cs, uint32_t i, bool releasing, uint64_t now_us)
{
	struct claim_slot *sl = &cs->slots[i];

	switch (sl->state) {
	case SLOT_HELD:
		br_registrar_close(cs->registrar, i);
		sl->state = SLOT_CLOSED;
		sl->released = releasing;
		sl->closed_us = now_us;
		break;
	case SLOT_FETCHING:
		reset_slot(cs, i);
		break;
	case SLOT_NOT_HELD:
	case SLOT_CLOSED:
		break;
	}
}

void claim_slots_update(struct claim_slots *cs, const struct br_slots *slots, uint64_t autonomy_us,
			uint64_t now_us)
{
	uint32_t n_slots = blackboard_n_slots(cs->node->board);

	if (!n_slots)
		return;
	pthread_mutex_lock(&cs->lock);
	cs->autonomy_us = autonomy_us;
	if (!ensure_registrar(cs, n_slots, now_us)) {
		pthread_mutex_unlock(&cs->lock);
		return;
	}
	for (uint32_t i = 0; i < n_slots; i++) {
		struct claim_slot *sl = &cs->slots[i];
		struct br_slot_tenure t;
		bool present = br_slots_tenure(slots, i, &t);

		/*
		 * Another node may have held the slot since it was closed here, so the kept claims
		 * are incomplete, even if this node never acts in the new tenure.
		 */
		if (present && sl->tenure_since_us != t.since_us && !can_resume(cs, sl, &t))
			reset_slot(cs, i);
		if (!present || !br_slots_may_register(slots, i, now_us))
			close_slot(cs, i, br_slots_releasing(slots, i), now_us);
		else if (sl->state == SLOT_NOT_HELD || sl->state == SLOT_CLOSED)
			acquire_slot(cs, i, &t, now_us);
	}
	pthread_mutex_unlock(&cs->lock);
}

void claim_slots_tick(struct claim_slots *cs, uint64_t now_us)
{
	pthread_mutex_lock(&cs->lock);
	if (cs->registrar) {
		refresh_window(cs, now_us);
		br_registrar_expire(cs->registrar, now_us);
	}
	for (uint32_t i = 0; i < cs->n_slots; i++) {
		struct claim_slot *sl = &cs->slots[i];

		/*
		 * A closed slot keeps its claims until all have expired, so that the position of an
		 * export stays valid. 2% are added for clock drift.
		 */
		if (sl->state != SLOT_CLOSED || sl->purged ||
		    now_us - sl->closed_us < cs->window_us + cs->window_us / 50)
			continue;
		br_registrar_drop(cs->registrar, i);
		sl->purged = true;
	}
	pthread_mutex_unlock(&cs->lock);
}

bool claim_slots_handed_over(struct claim_slots *cs)
{
	bool all = true;

	pthread_mutex_lock(&cs->lock);
	for (uint32_t i = 0; i < cs->n_slots; i++) {
		const struct claim_slot *sl = &cs->slots[i];

		all &= sl->state != SLOT_CLOSED || !sl->released || sl->fetched;
	}
	pthread_mutex_unlock(&cs->lock);
	return all;
}

/* Moves the slot's export position to claim number from. */
static void seek_export(struct claim_slots *cs, uint32_t slot, uint64_t from, uint64_t now_us)
{
	struct claim_slot *sl = &cs->slots[slot];
	struct br_claim_record rec;

	if (from == sl->n_exported)
		return;
	sl->cursor = (struct br_claim_cursor){0};
	sl->n_exported = 0;
	while (sl->n_exported < from &&
	       br_registrar_export(cs->registrar, slot, &sl->cursor, &rec, 1, now_us))
		sl->n_exported++;
}

static int64_t write_page(struct claim_slots *cs, uint32_t slot, uint64_t from, char *out,
			  size_t bytes, uint64_t now_us)
{
	struct claim_page_head head = {.slot = slot, .from = from};
	struct claim_slot *sl = &cs->slots[slot];
	struct br_claim_record rec;
	struct claim_page page;
	bool more = !sl->purged;

	if (!sl->purged)
		br_registrar_export_slot(cs->registrar, slot, now_us, &head.state);
	claim_page_begin(&page, out, bytes, &head);
	seek_export(cs, slot, from, now_us);
	while (more && claim_page_has_room(&page)) {
		more = br_registrar_export(cs->registrar, slot, &sl->cursor, &rec, 1, now_us);
		if (!more)
			break;
		sl->n_exported++;
		claim_page_add(&page, &rec);
	}
	claim_page_end(&page, !more);
	sl->fetched |= !more;
	return (int64_t)page.len;
}

int64_t claim_slots_export(struct claim_slots *cs, uint32_t slot, uint64_t from, char *out,
			   size_t bytes, uint64_t now_us)
{
	int64_t ret = -ENOENT;

	pthread_mutex_lock(&cs->lock);
	if (slot < cs->n_slots && cs->slots[slot].state == SLOT_CLOSED)
		ret = write_page(cs, slot, from, out, bytes, now_us);
	pthread_mutex_unlock(&cs->lock);
	return ret;
}

static struct claim_slot *find_queued(struct claim_slots *cs)
{
	for (uint32_t i = 0; i < cs->n_slots; i++)
		if (cs->slots[i].fetch_queued)
			return &cs->slots[i];
	return NULL;
}

bool claim_slots_next_fetch(struct claim_slots *cs, struct claim_fetch *out)
{
	struct claim_slot *sl = NULL;

	pthread_mutex_lock(&cs->lock);
	while (!cs->stop && !(sl = find_queued(cs)))
		pthread_cond_wait(&cs->fetch_cond, &cs->lock);
	if (!cs->stop && sl) {
		*out = sl->fetch;
		sl->fetch_queued = false;
	}
	pthread_mutex_unlock(&cs->lock);
	return sl != NULL;
}

void claim_slots_stop_fetches(struct claim_slots *cs)
{
	pthread_mutex_lock(&cs->lock);
	cs->stop = true;
	pthread_cond_signal(&cs->fetch_cond);
	pthread_mutex_unlock(&cs->lock);
}

static bool fetch_valid(const struct claim_slots *cs, const struct claim_fetch *f)
{
	return cs->registrar && f->slot < cs->n_slots &&
	       cs->slots[f->slot].state == SLOT_FETCHING &&
	       cs->slots[f->slot].tenure_since_us == f->tenure_since_us;
}

int claim_slots_import_begin(struct claim_slots *cs, const struct claim_fetch *f,
			     const struct br_claim_slot *state)
{
	int ret = -ESTALE;

	pthread_mutex_lock(&cs->lock);
	if (fetch_valid(cs, f))
		ret = br_registrar_import_slot(cs->registrar, f->slot, state, clock_now_us());
	pthread_mutex_unlock(&cs->lock);
	return ret;
}

int claim_slots_import(struct claim_slots *cs, const struct claim_fetch *f,
		       const struct br_claim_record *recs, size_t n)
{
	int ret = -ESTALE;

	pthread_mutex_lock(&cs->lock);
	if (fetch_valid(cs, f))
		ret = br_registrar_import(cs->registrar, f->slot, recs, n, clock_now_us());
	pthread_mutex_unlock(&cs->lock);
	return ret;
}

void claim_slots_fetch_done(struct claim_slots *cs, const struct claim_fetch *f, bool complete)
{
	uint64_t now_us = clock_now_us();

	pthread_mutex_lock(&cs->lock);
	if (fetch_valid(cs, f) && complete) {
		br_registrar_takeover(cs->registrar, f->slot, clock_wall_ms(), now_us, true);
		cs->slots[f->slot].state = SLOT_HELD;
		log_info("Slot %u: fetched the claims of former holder %s.", f->slot,
			 f->former.node.text);
	} else if (fetch_valid(cs, f)) {
		take_over_without_claims(cs, f->slot, now_us);
	}
	pthread_mutex_unlock(&cs->lock);
}
