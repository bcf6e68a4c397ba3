#include "briarreel/slot.h"
#include "lib/slot_private.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Largest time between renewals of the platform lease. */
#define RENEW_MAX_US (20 * BR_US_PER_S)
/* Pause after an operation that failed, so that an unavailable platform is not flooded. */
#define RETRY_US BR_US_PER_S
/* Pause before a write whose answer was lost is read back. */
#define READ_BACK_US (100 * BR_US_PER_MS)
/* Interval of the scan of the member list, which costs time linear in its length. */
#define SCAN_US (200 * BR_US_PER_MS)
/* Pause between reads of a slot whose dead holder's platform lease still runs. */
#define POLL_US (5 * BR_US_PER_S)
/* After this time a free slot may exceed a node's fair number, or go to another zone. */
#define FREE_LIMIT_US (10 * BR_US_PER_S)
/* A surplus of slots must last this long before one is released to other nodes. */
#define SURPLUS_US (30 * BR_US_PER_S)
/* Operations that may be open at a time. */
#define OPEN_MAX 4

static uint64_t term_with_margin(const struct br_slots *s)
{
	return s->cfg.lease_term_us + s->cfg.lease_term_us / 50;
}

struct br_slots *br_slots_create(const struct br_slots_config *cfg)
{
	struct br_slots *s = calloc(1, sizeof(*s));

	if (s)
		s->cfg = *cfg;
	return s;
}

void br_slots_destroy(struct br_slots *s)
{
	free(s);
}

static bool lease_valid(const struct br_slots *s, uint64_t now_us)
{
	return s->lease_id && now_us < s->right_until_us;
}

bool br_slots_holds(const struct br_slots *s, uint32_t slot, uint64_t now_us)
{
	return slot < s->n_slots && s->slots[slot].state == SLOT_HELD &&
	       s->slots[slot].lease_id == s->lease_id && lease_valid(s, now_us);
}

bool br_slots_may_grant(const struct br_slots *s, uint32_t slot, uint64_t now_us)
{
	return br_slots_holds(s, slot, now_us) && now_us >= s->slots[slot].grant_from_us;
}

bool br_slots_may_register(const struct br_slots *s, uint32_t slot, uint64_t now_us)
{
	return br_slots_holds(s, slot, now_us) && now_us >= s->slots[slot].register_from_us;
}

uint64_t br_slots_right_until(const struct br_slots *s)
{
	return s->lease_id ? s->right_until_us : 0;
}

bool br_slots_tenure(const struct br_slots *s, uint32_t slot, struct br_slot_tenure *out)
{
	const struct slot *sl = &s->slots[slot];

	if (slot >= BR_SLOTS_MAX || sl->state == SLOT_IDLE)
		return false;
	out->since_us = sl->since_us;
	out->former = sl->former;
	if (!sl->former.epoch)
		out->origin = BR_SLOT_ABSENT;
	else
		out->origin = sl->former.released ? BR_SLOT_RELEASED : BR_SLOT_TAKEN_OVER;
	return true;
}

bool br_slots_releasing(const struct br_slots *s, uint32_t slot)
{
	return slot < BR_SLOTS_MAX && s->slots[slot].state == SLOT_RELEASING;
}

static void drop(struct slot *sl)
{
	sl->state = SLOT_IDLE;
	sl->read = false;
	sl->takeable_us = 0;
	sl->rival_epoch = 0;
	sl->free_us = 0;
}

/* The platform lease ended, and with it every key written under it. */
static void lease_lost(struct br_slots *s)
{
	s->lease_id = 0;
	s->right_until_us = 0;
	for (uint32_t i = 0; i < BR_SLOTS_MAX; i++) {
		if (s->slots[i].state != SLOT_IDLE)
			drop(&s->slots[i]);
	}
}

static void start_release(struct br_slots *s, struct slot *sl, uint64_t now_us)
{
	sl->state = SLOT_RELEASING;
	sl->release_us = now_us + term_with_margin(s);
}

void br_slots_release_all(struct br_slots *s, uint64_t now_us)
{
	if (s->stopping)
		return;
	s->stopping = true;
	for (uint32_t i = 0; i < BR_SLOTS_MAX; i++) {
		if (s->slots[i].state == SLOT_HELD)
			start_release(s, &s->slots[i], now_us);
	}
}

static uint32_t count_held(const struct br_slots *s)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < BR_SLOTS_MAX; i++)
		n += s->slots[i].state != SLOT_IDLE || s->slots[i].writing ||
		     s->slots[i].write_unknown;
	return n;
}

bool br_slots_released(const struct br_slots *s)
{
	return s->stopping && !s->open && !s->lease_id && !count_held(s);
}

static bool is_retired(const struct br_slot_view *v, const struct br_slot_holder *h)
{
	for (size_t i = 0; i < v->n_retired; i++) {
		if (v->retired[i].incarnation == h->incarnation &&
		    br_node_id_equal(&v->retired[i].node, &h->node))
			return true;
	}
	return false;
}

static bool is_live(const struct br_slot_view *v, const struct br_slot_holder *h)
{
	for (size_t i = 0; i < v->n_members; i++) {
		if (v->members[i].incarnation == h->incarnation &&
		    br_node_id_equal(&v->members[i].node, &h->node))
			return true;
	}
	return false;
}

/* True if the slot was held by a former process of this node, or by a write of this one that
 * took effect after its lease was given up. */
static bool own_left(const struct br_slots *s, const struct slot *sl)
{
	return slot_own(s, &sl->entry) && !sl->entry.released;
}

/* Delay before this node tries a free slot: its rendezvous rank in seconds. */
static uint64_t claim_delay(const struct br_slots *s, const struct br_slot_view *v, uint32_t slot)
{
	const char *zone = v->n_zones ? v->zones[slot % v->n_zones] : NULL;
	bool preferred = !zone || strcmp(zone, s->cfg.zone) == 0;
	uint64_t mine = br_hash_str(s->cfg.self.text, slot + 1);
	uint64_t rank = 0;

	if (own_left(s, &s->slots[slot]))
		return 0;
	for (size_t i = 0; i < v->n_members; i++) {
		const struct br_slot_member *m = &v->members[i];

		if (zone && preferred && strcmp(m->zone, zone) != 0)
			continue;
		rank += br_hash_str(m->node.text, slot + 1) > mine;
	}
	return rank * BR_US_PER_S + (preferred ? 0 : FREE_LIMIT_US);
}

static void scan_slot(struct br_slots *s, const struct br_slot_view *v, uint32_t i, uint64_t now_us)
{
	struct slot *sl = &s->slots[i];
	const struct br_slot_holder *e = &sl->entry;
	bool free_slot;

	if (sl->state != SLOT_IDLE)
		return;
	free_slot =
		!e->epoch || e->released || slot_own(s, e) || is_retired(v, e) || !is_live(v, e);
	if (!free_slot) {
		sl->free_us = 0;
		sl->takeable_us = 0;
		return;
	}
	if (!sl->free_us)
		sl->free_us = now_us ? now_us : 1;
	sl->delay_us = claim_delay(s, v, i);
	/* A retired record can arrive after the key was read. */
	if (sl->read && !sl->takeable_us && sl->key.epoch && is_retired(v, &sl->key))
		sl->takeable_us = now_us;
}

/* Hands one slot on when this node has had more than its fair number for some time. */
static void shed_surplus(struct br_slots *s, const struct br_slot_view *v, uint64_t now_us)
{
	struct slot *pick = NULL;
	uint32_t held = 0;

	for (uint32_t i = 0; i < s->n_slots; i++) {
		struct slot *sl = &s->slots[i];

		if (sl->state == SLOT_RELEASING)
			return;
		if (sl->state != SLOT_HELD)
			continue;
		held++;
		/* Slots that prefer another zone go first. */
		if (!pick || (v->n_zones && strcmp(v->zones[i % v->n_zones], s->cfg.zone) != 0))
			pick = sl;
	}
	if (held <= s->fair) {
		s->surplus_us = 0;
		return;
	}
	if (!s->surplus_us)
		s->surplus_us = now_us;
	if (now_us - s->surplus_us >= SURPLUS_US && pick && now_us < s->right_until_us)
		start_release(s, pick, now_us);
}

static void scan(struct br_slots *s, const struct br_slot_view *v, uint64_t now_us)
{
	struct br_slot_holder self = {.node = s->cfg.self, .incarnation = s->cfg.incarnation};
	uint64_t live = v->n_members ? v->n_members : 1;

	BR_INVARIANT(v->n_slots <= BR_SLOTS_MAX);
	s->n_slots = v->n_slots;
	s->fair = (v->n_slots + live - 1) / live + 1;
	if (is_retired(v, &self))
		br_slots_release_all(s, now_us);
	if (s->stopping)
		return;
	for (uint32_t i = 0; i < s->n_slots; i++)
		scan_slot(s, v, i, now_us);
	for (uint32_t i = s->n_slots; i < BR_SLOTS_MAX; i++) {
		if (s->slots[i].state == SLOT_HELD)
			start_release(s, &s->slots[i], now_us);
	}
	shed_surplus(s, v, now_us);
}

static bool emit(struct br_slots *s, struct br_slot_op *op, enum br_slot_op_kind kind,
		 uint64_t now_us)
{
	memset(op, 0, sizeof(*op));
	op->kind = kind;
	op->issued_us = now_us;
	op->ttl_us = s->cfg.ttl_us;
	op->lease_id = s->lease_id;
	s->open++;
	return true;
}

static bool emit_read(struct br_slots *s, uint32_t i, uint64_t now_us, struct br_slot_op *op)
{
	s->slots[i].busy = true;
	emit(s, op, BR_SLOT_OP_READ, now_us);
	op->slot = i;
	return true;
}

static bool emit_write(struct br_slots *s, uint32_t i, uint64_t rev,
		       const struct br_slot_holder *value, uint64_t now_us, struct br_slot_op *op)
{
	struct slot *sl = &s->slots[i];

	emit(s, op, BR_SLOT_OP_WRITE, now_us);
	if (br_slot_value_encode(value, op->value, sizeof(op->value)) < 0) {
		s->open--;
		sl->retry_us = now_us + RETRY_US;
		return false;
	}
	op->slot = i;
	op->cas_rev = rev;
	/* A released value must outlast this node's platform lease. */
	op->lease_id = value->released ? 0 : s->lease_id;
	sl->wrote = *value;
	sl->wrote_lease = op->lease_id;
	sl->busy = true;
	sl->writing = true;
	return true;
}

static bool emit_lease(struct br_slots *s, enum br_slot_op_kind kind, uint64_t now_us,
		       struct br_slot_op *op)
{
	s->lease_busy = true;
	return emit(s, op, kind, now_us);
}

static bool emit_claim(struct br_slots *s, uint32_t i, uint64_t now_us, struct br_slot_op *op)
{
	struct slot *sl = &s->slots[i];
	struct br_slot_holder value = {
		.node = s->cfg.self,
		.incarnation = s->cfg.incarnation,
		.epoch = sl->entry.epoch + 1,
	};

	/*
	 * An absent key means that no former holder was active for a while (design 2.7). So a key
	 * must not lapse soon after a claim has replaced a former holder's value.
	 */
	if (!lease_valid(s, now_us) || now_us + s->cfg.ttl_us / 2 > s->right_until_us) {
		if (s->lease_busy || now_us < s->renew_us)
			return false;
		return emit_lease(s, s->lease_id ? BR_SLOT_OP_LEASE_RENEW : BR_SLOT_OP_LEASE_CREATE,
				  now_us, op);
	}
	br_copy_text(value.zone, sizeof(value.zone), s->cfg.zone);
	return emit_write(s, i, sl->read_rev, &value, now_us, op);
}

/* The next operation of a slot that this node does not hold. */
static bool tick_idle(struct br_slots *s, uint32_t i, uint64_t now_us, struct br_slot_op *op)
{
	struct slot *sl = &s->slots[i];

	if (sl->write_unknown)
		return emit_read(s, i, now_us, op);
	if (s->stopping || !sl->free_us || now_us < sl->free_us + sl->delay_us)
		return false;
	if (!sl->read || !sl->takeable_us)
		return emit_read(s, i, now_us, op);
	if (count_held(s) >= s->fair && now_us < sl->takeable_us + FREE_LIMIT_US &&
	    !own_left(s, sl))
		return false;
	return emit_claim(s, i, now_us, op);
}

static bool tick_held(struct br_slots *s, uint32_t i, uint64_t now_us, struct br_slot_op *op)
{
	struct slot *sl = &s->slots[i];
	struct br_slot_holder value = sl->entry;

	if (sl->write_unknown)
		return emit_read(s, i, now_us, op);
	if (sl->state == SLOT_RELEASING && now_us >= sl->release_us) {
		value.released = true;
	} else if (sl->rival_epoch && lease_valid(s, now_us)) {
		value.epoch = sl->rival_epoch;
	} else {
		return false;
	}
	if (value.epoch < sl->rival_epoch)
		value.epoch = sl->rival_epoch;
	value.epoch++;
	return emit_write(s, i, sl->rev, &value, now_us, op);
}

static bool tick_slot(struct br_slots *s, uint32_t i, uint64_t now_us, struct br_slot_op *op)
{
	struct slot *sl = &s->slots[i];

	if (sl->busy || now_us < sl->retry_us)
		return false;
	if (sl->state == SLOT_IDLE)
		return i < s->n_slots && s->listed && tick_idle(s, i, now_us, op);
	return tick_held(s, i, now_us, op);
}

static bool tick_lease(struct br_slots *s, uint64_t now_us, struct br_slot_op *op)
{
	bool needed = count_held(s) > 0;
	bool drop = s->stopping && !needed && !s->drop_tried;

	if (!s->lease_id || s->lease_busy || (now_us < s->renew_us && !drop))
		return false;
	/* A planned stop does not wait for the next renewal; a failed deletion does. */
	s->drop_tried = drop;
	if (needed)
		return emit_lease(s, BR_SLOT_OP_LEASE_RENEW, now_us, op);
	if (!s->stopping)
		return false;
	/* A late write would be deleted with the lease, although the former holder is recent. */
	if (!s->write_lost)
		return emit_lease(s, BR_SLOT_OP_LEASE_DELETE, now_us, op);
	s->lease_id = 0;
	return false;
}

bool br_slots_tick(struct br_slots *s, const struct br_slot_view *view, uint64_t now_us,
		   struct br_slot_op *op)
{
	if (!s->born_us)
		s->born_us = now_us;
	if (now_us >= s->scan_us) {
		scan(s, view, now_us);
		s->scan_us = now_us + SCAN_US;
	}
	/* Renewals are not held up by the limit on open operations. */
	if (tick_lease(s, now_us, op))
		return true;
	if (s->open >= OPEN_MAX)
		return false;
	if (!s->listed && !s->list_busy && !s->stopping && now_us >= s->list_retry_us) {
		s->list_busy = true;
		return emit(s, op, BR_SLOT_OP_LIST, now_us);
	}
	for (uint32_t i = 0; i < BR_SLOTS_MAX; i++) {
		if (tick_slot(s, i, now_us, op))
			return true;
	}
	return false;
}

static void became_holder(struct br_slots *s, uint32_t i, uint64_t rev, uint64_t now_us)
{
	struct slot *sl = &s->slots[i];

	sl->state = SLOT_HELD;
	sl->rev = rev;
	sl->lease_id = sl->wrote_lease;
	sl->since_us = now_us;
	sl->former = sl->key;
	/* Rate leases that the former holder gave out end within one term. */
	sl->register_from_us = sl->clean ? now_us : now_us + term_with_margin(s);
	sl->grant_from_us = sl->register_from_us;
	if (sl->clean && now_us < s->born_us + s->cfg.settle_us)
		sl->grant_from_us = s->born_us + s->cfg.settle_us;
	sl->entry = sl->wrote;
	sl->rival_epoch = 0;
	sl->takeable_us = 0;
	sl->free_us = 0;
	if (s->stopping)
		start_release(s, sl, now_us);
}

/* The value in sl->wrote is in the platform at revision rev. */
static void write_done(struct br_slots *s, uint32_t i, uint64_t rev, uint64_t now_us)
{
	struct slot *sl = &s->slots[i];

	sl->write_unknown = false;
	if (sl->state == SLOT_IDLE) {
		/* A claim under a lease that was lost meanwhile has vanished with that lease. */
		if (sl->wrote_lease == s->lease_id && !sl->wrote.released)
			became_holder(s, i, rev, now_us);
		return;
	}
	sl->entry = sl->wrote;
	sl->rev = rev;
	if (sl->wrote.epoch > sl->rival_epoch)
		sl->rival_epoch = 0;
	if (sl->wrote.released)
		drop(sl);
}

/* Takes in the key's current state; a slot that another process holds is dropped. */
static void learn(struct br_slots *s, uint32_t i, bool present, const struct br_slot_holder *h,
		  uint64_t rev, uint64_t now_us)
{
	struct slot *sl = &s->slots[i];
	bool takeable;

	if (sl->state != SLOT_IDLE) {
		if (present && slot_own_process(s, h) && !h->released) {
			sl->rev = rev;
			return;
		}
		drop(sl);
	}
	if (present)
		br_slots_merge(s, i, h);
	sl->read = true;
	sl->key = present ? *h : (struct br_slot_holder){0};
	sl->read_rev = rev;
	takeable = !present || h->released || slot_own(s, h);
	sl->clean = present && h->released;
	if (!takeable)
		sl->takeable_us = 0;
	else if (!sl->takeable_us)
		sl->takeable_us = now_us;
}

static void key_seen(struct br_slots *s, uint32_t i, bool present, const char *value, size_t len,
		     uint64_t rev, uint64_t now_us)
{
	struct slot *sl = &s->slots[i];
	struct br_slot_holder h = {0};

	if (present && (!value || br_slot_value_decode(value, len, &h))) {
		/* An unreadable value belongs to nobody this node knows: leave the slot alone. */
		if (sl->state != SLOT_IDLE)
			drop(sl);
		sl->read = false;
		sl->write_unknown = false;
		sl->retry_us = now_us + POLL_US;
		return;
	}
	if (present && sl->wrote.epoch && slot_compare(&h, &sl->wrote) == 0 &&
	    (sl->write_unknown || sl->state != SLOT_IDLE)) {
		write_done(s, i, rev, now_us);
		return;
	}
	sl->write_unknown = false;
	learn(s, i, present, &h, rev, now_us);
	if (sl->state == SLOT_IDLE && !sl->takeable_us)
		sl->retry_us = now_us + POLL_US + sl->delay_us * (POLL_US / BR_US_PER_S);
}

int br_slots_observe(struct br_slots *s, uint32_t slot, const char *value, size_t len,
		     uint64_t mod_rev, uint64_t now_us)
{
	struct br_slot_holder h;

	if (slot >= BR_SLOTS_MAX || br_slot_value_decode(value, len, &h))
		return -EINVAL;
	if (s->slots[slot].state == SLOT_IDLE && !s->slots[slot].busy)
		learn(s, slot, true, &h, mod_rev, now_us);
	return 0;
}

static void result_write(struct br_slots *s, const struct br_slot_op *op,
			 const struct br_slot_result *res, uint64_t now_us)
{
	struct slot *sl = &s->slots[op->slot];

	switch (res->status) {
	case BR_SLOT_OK:
		write_done(s, op->slot, res->mod_rev, now_us);
		return;
	case BR_SLOT_CONFLICT:
		/* The write may have met the effect of an earlier one whose answer was lost. */
		sl->write_unknown = true;
		if (res->present && !res->value)
			return;
		key_seen(s, op->slot, res->present, res->value, res->value_len, res->mod_rev,
			 now_us);
		return;
	case BR_SLOT_NO_LEASE:
		if (op->lease_id && op->lease_id == s->lease_id)
			lease_lost(s);
		return;
	case BR_SLOT_UNAVAILABLE:
		sl->retry_us = now_us + RETRY_US;
		return;
	case BR_SLOT_UNKNOWN:
		sl->write_unknown = true;
		s->write_lost |= op->lease_id != 0;
		sl->retry_us = now_us + READ_BACK_US;
		return;
	}
}

static void result_lease(struct br_slots *s, const struct br_slot_op *op,
			 const struct br_slot_result *res, uint64_t now_us)
{
	uint64_t every = op->ttl_us / 6 < RENEW_MAX_US ? op->ttl_us / 6 : RENEW_MAX_US;

	s->lease_busy = false;
	s->renew_us = now_us + RETRY_US;
	if (op->kind == BR_SLOT_OP_LEASE_DELETE) {
		/* If the deletion did not work, the lease ends by itself. */
		s->lease_id = 0;
		return;
	}
	if (res->status == BR_SLOT_NO_LEASE || res->status == BR_SLOT_CONFLICT) {
		lease_lost(s);
		s->renew_us = now_us;
	}
	if (res->status != BR_SLOT_OK)
		return;
	if (op->kind == BR_SLOT_OP_LEASE_CREATE)
		s->lease_id = res->lease_id;
	/* Counted from before the renewal was sent, less 2% for the drift of this clock. */
	s->right_until_us = op->issued_us + op->ttl_us - op->ttl_us / 50;
	s->renew_us = op->issued_us + every;
}

static void result_list(struct br_slots *s, const struct br_slot_result *res, uint64_t now_us)
{
	s->list_busy = false;
	s->list_retry_us = now_us + RETRY_US;
	if (res->status != BR_SLOT_OK)
		return;
	s->listed = true;
	for (uint32_t i = 0; i < BR_SLOTS_MAX; i++) {
		if (!s->slots[i].read)
			learn(s, i, false, NULL, 0, now_us);
	}
}

void br_slots_result(struct br_slots *s, const struct br_slot_op *op,
		     const struct br_slot_result *res, uint64_t now_us)
{
	struct slot *sl = &s->slots[op->slot];

	BR_INVARIANT(s->open > 0 && op->slot < BR_SLOTS_MAX);
	s->open--;
	switch (op->kind) {
	case BR_SLOT_OP_LIST:
		result_list(s, res, now_us);
		return;
	case BR_SLOT_OP_READ:
		sl->busy = false;
		if (res->status == BR_SLOT_OK)
			key_seen(s, op->slot, res->present, res->value, res->value_len,
				 res->mod_rev, now_us);
		else
			sl->retry_us = now_us + RETRY_US;
		return;
	case BR_SLOT_OP_WRITE:
		sl->busy = false;
		sl->writing = false;
		result_write(s, op, res, now_us);
		return;
	case BR_SLOT_OP_LEASE_CREATE:
	case BR_SLOT_OP_LEASE_RENEW:
	case BR_SLOT_OP_LEASE_DELETE:
		result_lease(s, op, res, now_us);
		return;
	}
}
