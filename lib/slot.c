#include "briarreel/slot.h"
#include "lib/slot_private.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Maximum interval between renewals of the platform lease. */
#define MAX_RENEW_INTERVAL_US (20 * BR_US_PER_S)
/* Delay before a retry of a failed operation, so that an unavailable platform is not flooded. */
#define RETRY_DELAY_US BR_US_PER_S
/* Delay before the key is read back after a write whose result was lost. */
#define READ_BACK_DELAY_US (100 * BR_US_PER_MS)
/* Interval between scans of the member list, which take linear time. */
#define SCAN_INTERVAL_US (200 * BR_US_PER_MS)
/* Interval between reads of the key of a dead holder whose platform lease has not expired. */
#define POLL_INTERVAL_US (5 * BR_US_PER_S)
/* A node waits this long before it acquires a slot above its fair share or of another zone. */
#define FAIR_SHARE_WAIT_US (10 * BR_US_PER_S)
/* A surplus above the fair share must last this long before a slot is released. */
#define SURPLUS_DELAY_US (30 * BR_US_PER_S)
/* While this many operations are pending, only the platform lease is renewed or deleted. */
#define MAX_OPEN_OPS 4

/* The rate lease term plus 2% for clock drift. */
static uint64_t rate_lease_term_with_margin(const struct br_slots *s)
{
	return s->cfg.rate_lease_term_us + s->cfg.rate_lease_term_us / 50;
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

static bool platform_lease_valid(const struct br_slots *s, uint64_t now_us)
{
	return s->platform_lease_id && now_us < s->right_until_us;
}

bool br_slots_holds(const struct br_slots *s, uint32_t slot, uint64_t now_us)
{
	return slot < s->n_slots && s->slots[slot].state == SLOT_HELD &&
	       s->slots[slot].platform_lease_id == s->platform_lease_id &&
	       platform_lease_valid(s, now_us);
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
	return s->platform_lease_id ? s->right_until_us : 0;
}

bool br_slots_tenure(const struct br_slots *s, uint32_t slot, struct br_slot_tenure *out)
{
	const struct slot *sl = &s->slots[slot];

	if (slot >= BR_SLOTS_MAX || sl->state == SLOT_IDLE)
		return false;
	out->since_us = sl->held_since_us;
	out->former_holder = sl->former_holder;
	if (!sl->former_holder.epoch)
		out->origin = BR_SLOT_ORIGIN_ABSENT;
	else
		out->origin = sl->former_holder.released ? BR_SLOT_ORIGIN_RELEASED
							 : BR_SLOT_ORIGIN_TAKEN_OVER;
	return true;
}

bool br_slots_releasing(const struct br_slots *s, uint32_t slot)
{
	return slot < BR_SLOTS_MAX && s->slots[slot].state == SLOT_RELEASING;
}

static void reset_slot(struct slot *sl)
{
	sl->state = SLOT_IDLE;
	sl->key_known = false;
	sl->acquirable_since_us = 0;
	sl->competing_epoch = 0;
	sl->free_since_us = 0;
}

/* Gives up all slots after the platform lease ended, and with it every key written under it. */
static void handle_platform_lease_lost(struct br_slots *s)
{
	s->platform_lease_id = 0;
	s->right_until_us = 0;
	for (uint32_t i = 0; i < BR_SLOTS_MAX; i++) {
		if (s->slots[i].state != SLOT_IDLE)
			reset_slot(&s->slots[i]);
	}
}

static void start_release(struct br_slots *s, struct slot *sl, uint64_t now_us)
{
	sl->state = SLOT_RELEASING;
	sl->release_at_us = now_us + rate_lease_term_with_margin(s);
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

static uint32_t count_held_or_pending(const struct br_slots *s)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < BR_SLOTS_MAX; i++)
		n += s->slots[i].state != SLOT_IDLE || s->slots[i].write_pending ||
		     s->slots[i].write_unknown;
	return n;
}

bool br_slots_released(const struct br_slots *s)
{
	return s->stopping && !s->n_open_ops && !s->platform_lease_id && !count_held_or_pending(s);
}

static bool is_retired(const struct br_slots_input *v, const struct br_slot_holder *h)
{
	for (size_t i = 0; i < v->n_retired; i++) {
		if (v->retired[i].incarnation == h->incarnation &&
		    br_node_id_equal(&v->retired[i].node, &h->node))
			return true;
	}
	return false;
}

static bool is_live(const struct br_slots_input *v, const struct br_slot_holder *h)
{
	for (size_t i = 0; i < v->n_members; i++) {
		if (v->members[i].incarnation == h->incarnation &&
		    br_node_id_equal(&v->members[i].node, &h->node))
			return true;
	}
	return false;
}

/*
 * True if the holder map still names this node as the holder: the slot was held by a former process
 * of this node, or a write of this process took effect after its lease was given up.
 */
static bool abandoned_by_own_node(const struct br_slots *s, const struct slot *sl)
{
	return slot_names_own_node(s, &sl->entry) && !sl->entry.released;
}

/*
 * Delay before this node acquires a free slot: its rendezvous rank in seconds, so that the nodes of
 * the slot's preferred zone try one after the other. Nodes of other zones add FAIR_SHARE_WAIT_US.
 */
static uint64_t acquire_delay(const struct br_slots *s, const struct br_slots_input *v,
			      uint32_t slot)
{
	const char *zone = v->n_zones ? v->zones[slot % v->n_zones] : NULL;
	bool preferred = !zone || strcmp(zone, s->cfg.zone) == 0;
	uint64_t own_hash = br_hash_str(s->cfg.self.text, slot + 1);
	uint64_t rank = 0;

	if (abandoned_by_own_node(s, &s->slots[slot]))
		return 0;
	for (size_t i = 0; i < v->n_members; i++) {
		const struct br_slot_member *m = &v->members[i];

		if (zone && preferred && strcmp(m->zone, zone) != 0)
			continue;
		rank += br_hash_str(m->node.text, slot + 1) > own_hash;
	}
	return rank * BR_US_PER_S + (preferred ? 0 : FAIR_SHARE_WAIT_US);
}

static void scan_slot(struct br_slots *s, const struct br_slots_input *v, uint32_t i,
		      uint64_t now_us)
{
	struct slot *sl = &s->slots[i];
	const struct br_slot_holder *e = &sl->entry;
	bool is_free;

	if (sl->state != SLOT_IDLE)
		return;
	is_free = !e->epoch || e->released || slot_names_own_node(s, e) || is_retired(v, e) ||
		  !is_live(v, e);
	if (!is_free) {
		sl->free_since_us = 0;
		sl->acquirable_since_us = 0;
		return;
	}
	if (!sl->free_since_us)
		sl->free_since_us = now_us ? now_us : 1;
	sl->acquire_delay_us = acquire_delay(s, v, i);
	/* The `retired` record of the holder may arrive after its key was read. */
	if (sl->key_known && !sl->acquirable_since_us && sl->key_value.epoch &&
	    is_retired(v, &sl->key_value))
		sl->acquirable_since_us = now_us;
}

/* Releases one slot if this node has held more than its fair share for SURPLUS_DELAY_US. */
static void release_surplus(struct br_slots *s, const struct br_slots_input *v, uint64_t now_us)
{
	struct slot *candidate = NULL;
	uint32_t held = 0;

	for (uint32_t i = 0; i < s->n_slots; i++) {
		struct slot *sl = &s->slots[i];

		if (sl->state == SLOT_RELEASING)
			return;
		if (sl->state != SLOT_HELD)
			continue;
		held++;
		/* Slots whose preferred zone is another one are released first. */
		if (!candidate ||
		    (v->n_zones && strcmp(v->zones[i % v->n_zones], s->cfg.zone) != 0))
			candidate = sl;
	}
	if (held <= s->fair_share) {
		s->surplus_since_us = 0;
		return;
	}
	if (!s->surplus_since_us)
		s->surplus_since_us = now_us;
	if (now_us - s->surplus_since_us >= SURPLUS_DELAY_US && candidate &&
	    now_us < s->right_until_us)
		start_release(s, candidate, now_us);
}

static void scan(struct br_slots *s, const struct br_slots_input *v, uint64_t now_us)
{
	struct br_slot_holder self = {.node = s->cfg.self, .incarnation = s->cfg.incarnation};
	uint64_t n_live = v->n_members ? v->n_members : 1;

	BR_INVARIANT(v->n_slots <= BR_SLOTS_MAX);
	s->n_slots = v->n_slots;
	/* One slot above the even share is tolerated. */
	s->fair_share = (v->n_slots + n_live - 1) / n_live + 1;
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
	release_surplus(s, v, now_us);
}

static bool emit(struct br_slots *s, struct br_slot_op *op, enum br_slot_op_kind kind,
		 uint64_t now_us)
{
	memset(op, 0, sizeof(*op));
	op->kind = kind;
	op->issued_us = now_us;
	op->platform_lease_ttl_us = s->cfg.platform_lease_ttl_us;
	op->platform_lease_id = s->platform_lease_id;
	s->n_open_ops++;
	return true;
}

static bool emit_read(struct br_slots *s, uint32_t i, uint64_t now_us, struct br_slot_op *op)
{
	s->slots[i].op_pending = true;
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
		s->n_open_ops--;
		sl->retry_at_us = now_us + RETRY_DELAY_US;
		return false;
	}
	op->slot = i;
	op->cas_rev = rev;
	/* A released value must outlive this node's platform lease. */
	op->platform_lease_id = value->released ? 0 : s->platform_lease_id;
	sl->last_write = *value;
	sl->last_write_lease_id = op->platform_lease_id;
	sl->op_pending = true;
	sl->write_pending = true;
	return true;
}

static bool emit_lease(struct br_slots *s, enum br_slot_op_kind kind, uint64_t now_us,
		       struct br_slot_op *op)
{
	s->lease_op_pending = true;
	return emit(s, op, kind, now_us);
}

static bool emit_acquire(struct br_slots *s, uint32_t i, uint64_t now_us, struct br_slot_op *op)
{
	struct slot *sl = &s->slots[i];
	struct br_slot_holder value = {
		.node = s->cfg.self,
		.incarnation = s->cfg.incarnation,
		.epoch = sl->entry.epoch + 1,
	};

	/*
	 * The next holder takes an absent key to mean that no holder was active for some time
	 * (see br_registrar_claim_cutoff_us()), so a key must not expire soon after this node
	 * replaced a former holder's value.
	 */
	if (!platform_lease_valid(s, now_us) ||
	    now_us + s->cfg.platform_lease_ttl_us / 2 > s->right_until_us) {
		if (s->lease_op_pending || now_us < s->next_renew_us)
			return false;
		return emit_lease(
			s, s->platform_lease_id ? BR_SLOT_OP_LEASE_RENEW : BR_SLOT_OP_LEASE_CREATE,
			now_us, op);
	}
	br_copy_text(value.zone, sizeof(value.zone), s->cfg.zone);
	return emit_write(s, i, sl->key_rev, &value, now_us, op);
}

/* Fills the next operation of a slot that this node does not hold; false if there is none. */
static bool tick_idle(struct br_slots *s, uint32_t i, uint64_t now_us, struct br_slot_op *op)
{
	struct slot *sl = &s->slots[i];

	if (sl->write_unknown)
		return emit_read(s, i, now_us, op);
	if (s->stopping || !sl->free_since_us || now_us < sl->free_since_us + sl->acquire_delay_us)
		return false;
	if (!sl->key_known || !sl->acquirable_since_us)
		return emit_read(s, i, now_us, op);
	if (count_held_or_pending(s) >= s->fair_share &&
	    now_us < sl->acquirable_since_us + FAIR_SHARE_WAIT_US && !abandoned_by_own_node(s, sl))
		return false;
	return emit_acquire(s, i, now_us, op);
}

static bool tick_held(struct br_slots *s, uint32_t i, uint64_t now_us, struct br_slot_op *op)
{
	struct slot *sl = &s->slots[i];
	struct br_slot_holder value = sl->entry;

	if (sl->write_unknown)
		return emit_read(s, i, now_us, op);
	if (sl->state == SLOT_RELEASING && now_us >= sl->release_at_us) {
		value.released = true;
	} else if (sl->competing_epoch && platform_lease_valid(s, now_us)) {
		value.epoch = sl->competing_epoch;
	} else {
		return false;
	}
	if (value.epoch < sl->competing_epoch)
		value.epoch = sl->competing_epoch;
	value.epoch++;
	return emit_write(s, i, sl->held_rev, &value, now_us, op);
}

static bool tick_slot(struct br_slots *s, uint32_t i, uint64_t now_us, struct br_slot_op *op)
{
	struct slot *sl = &s->slots[i];

	if (sl->op_pending || now_us < sl->retry_at_us)
		return false;
	if (sl->state == SLOT_IDLE)
		return i < s->n_slots && s->listed && tick_idle(s, i, now_us, op);
	return tick_held(s, i, now_us, op);
}

static bool tick_lease(struct br_slots *s, uint64_t now_us, struct br_slot_op *op)
{
	bool needed = count_held_or_pending(s) > 0;
	bool delete_now = s->stopping && !needed && !s->lease_delete_tried;

	if (!s->platform_lease_id || s->lease_op_pending ||
	    (now_us < s->next_renew_us && !delete_now))
		return false;
	/* The first deletion does not wait for the next renewal; a retry does. */
	s->lease_delete_tried = delete_now;
	if (needed)
		return emit_lease(s, BR_SLOT_OP_LEASE_RENEW, now_us, op);
	if (!s->stopping)
		return false;
	/*
	 * A write whose result was lost may still take effect. Deleting the lease would then delete
	 * its key, and an absent key means that no holder was active for some time.
	 */
	if (!s->write_result_lost)
		return emit_lease(s, BR_SLOT_OP_LEASE_DELETE, now_us, op);
	s->platform_lease_id = 0;
	return false;
}

bool br_slots_tick(struct br_slots *s, const struct br_slots_input *view, uint64_t now_us,
		   struct br_slot_op *op)
{
	if (!s->first_tick_us)
		s->first_tick_us = now_us;
	if (now_us >= s->next_scan_us) {
		scan(s, view, now_us);
		s->next_scan_us = now_us + SCAN_INTERVAL_US;
	}
	/* Exempt from MAX_OPEN_OPS, so that a renewal is not delayed. */
	if (tick_lease(s, now_us, op))
		return true;
	if (s->n_open_ops >= MAX_OPEN_OPS)
		return false;
	if (!s->listed && !s->list_pending && !s->stopping && now_us >= s->list_retry_at_us) {
		s->list_pending = true;
		return emit(s, op, BR_SLOT_OP_LIST, now_us);
	}
	for (uint32_t i = 0; i < BR_SLOTS_MAX; i++) {
		if (tick_slot(s, i, now_us, op))
			return true;
	}
	return false;
}

static void start_tenure(struct br_slots *s, uint32_t i, uint64_t rev, uint64_t now_us)
{
	struct slot *sl = &s->slots[i];

	sl->state = SLOT_HELD;
	sl->held_rev = rev;
	sl->platform_lease_id = sl->last_write_lease_id;
	sl->held_since_us = now_us;
	sl->former_holder = sl->key_value;
	/* Rate leases that the former holder granted expire within one term. */
	sl->register_from_us =
		sl->released_cleanly ? now_us : now_us + rate_lease_term_with_margin(s);
	sl->grant_from_us = sl->register_from_us;
	if (sl->released_cleanly && now_us < s->first_tick_us + s->cfg.startup_grant_delay_us)
		sl->grant_from_us = s->first_tick_us + s->cfg.startup_grant_delay_us;
	sl->entry = sl->last_write;
	sl->competing_epoch = 0;
	sl->acquirable_since_us = 0;
	sl->free_since_us = 0;
	if (s->stopping)
		start_release(s, sl, now_us);
}

/* Updates the state after sl->last_write took effect at revision rev. */
static void apply_write(struct br_slots *s, uint32_t i, uint64_t rev, uint64_t now_us)
{
	struct slot *sl = &s->slots[i];

	sl->write_unknown = false;
	if (sl->state == SLOT_IDLE) {
		/*
		 * A key written under a lease that has been lost since was deleted with that lease.
		 */
		if (sl->last_write_lease_id == s->platform_lease_id && !sl->last_write.released)
			start_tenure(s, i, rev, now_us);
		return;
	}
	sl->entry = sl->last_write;
	sl->held_rev = rev;
	if (sl->last_write.epoch > sl->competing_epoch)
		sl->competing_epoch = 0;
	if (sl->last_write.released)
		reset_slot(sl);
}

/*
 * Updates the slot from its key's current value. A held slot is reset unless the key still names
 * this process as the holder.
 */
static void update_from_key(struct br_slots *s, uint32_t i, bool present,
			    const struct br_slot_holder *h, uint64_t rev, uint64_t now_us)
{
	struct slot *sl = &s->slots[i];
	bool acquirable;

	if (sl->state != SLOT_IDLE) {
		if (present && slot_names_own_process(s, h) && !h->released) {
			sl->held_rev = rev;
			return;
		}
		reset_slot(sl);
	}
	if (present)
		br_slots_merge(s, i, h);
	sl->key_known = true;
	sl->key_value = present ? *h : (struct br_slot_holder){0};
	sl->key_rev = rev;
	acquirable = !present || h->released || slot_names_own_node(s, h);
	sl->released_cleanly = present && h->released;
	if (!acquirable)
		sl->acquirable_since_us = 0;
	else if (!sl->acquirable_since_us)
		sl->acquirable_since_us = now_us;
}

static void handle_key_read(struct br_slots *s, uint32_t i, bool present, const char *value,
			    size_t len, uint64_t rev, uint64_t now_us)
{
	struct slot *sl = &s->slots[i];
	struct br_slot_holder h = {0};

	if (present && (!value || br_slot_value_decode(value, len, &h))) {
		/* A malformed value hides the holder, so this node does not acquire the slot. */
		if (sl->state != SLOT_IDLE)
			reset_slot(sl);
		sl->key_known = false;
		sl->write_unknown = false;
		sl->retry_at_us = now_us + POLL_INTERVAL_US;
		return;
	}
	if (present && sl->last_write.epoch && slot_compare(&h, &sl->last_write) == 0 &&
	    (sl->write_unknown || sl->state != SLOT_IDLE)) {
		apply_write(s, i, rev, now_us);
		return;
	}
	sl->write_unknown = false;
	update_from_key(s, i, present, &h, rev, now_us);
	/* A node that would acquire the slot later also polls less often. */
	if (sl->state == SLOT_IDLE && !sl->acquirable_since_us)
		sl->retry_at_us = now_us + POLL_INTERVAL_US +
				  sl->acquire_delay_us * (POLL_INTERVAL_US / BR_US_PER_S);
}

int br_slots_observe(struct br_slots *s, uint32_t slot, const char *value, size_t len,
		     uint64_t mod_rev, uint64_t now_us)
{
	struct br_slot_holder h;

	if (slot >= BR_SLOTS_MAX || br_slot_value_decode(value, len, &h))
		return -EINVAL;
	if (s->slots[slot].state == SLOT_IDLE && !s->slots[slot].op_pending)
		update_from_key(s, slot, true, &h, mod_rev, now_us);
	return 0;
}

static void handle_write_result(struct br_slots *s, const struct br_slot_op *op,
				const struct br_slot_result *res, uint64_t now_us)
{
	struct slot *sl = &s->slots[op->slot];

	switch (res->status) {
	case BR_SLOT_OK:
		apply_write(s, op->slot, res->mod_rev, now_us);
		return;
	case BR_SLOT_CONFLICT:
		/* The conflict may be with an earlier write of this node whose result was lost. */
		sl->write_unknown = true;
		if (res->present && !res->value)
			return;
		handle_key_read(s, op->slot, res->present, res->value, res->value_len, res->mod_rev,
				now_us);
		return;
	case BR_SLOT_NO_LEASE:
		if (op->platform_lease_id && op->platform_lease_id == s->platform_lease_id)
			handle_platform_lease_lost(s);
		return;
	case BR_SLOT_UNAVAILABLE:
		sl->retry_at_us = now_us + RETRY_DELAY_US;
		return;
	case BR_SLOT_UNKNOWN:
		sl->write_unknown = true;
		s->write_result_lost |= op->platform_lease_id != 0;
		sl->retry_at_us = now_us + READ_BACK_DELAY_US;
		return;
	}
}

static void handle_lease_result(struct br_slots *s, const struct br_slot_op *op,
				const struct br_slot_result *res, uint64_t now_us)
{
	uint64_t interval_us = op->platform_lease_ttl_us / 6 < MAX_RENEW_INTERVAL_US
				       ? op->platform_lease_ttl_us / 6
				       : MAX_RENEW_INTERVAL_US;

	s->lease_op_pending = false;
	s->next_renew_us = now_us + RETRY_DELAY_US;
	if (op->kind == BR_SLOT_OP_LEASE_DELETE) {
		/* If the deletion failed, the lease expires. */
		s->platform_lease_id = 0;
		return;
	}
	if (res->status == BR_SLOT_NO_LEASE || res->status == BR_SLOT_CONFLICT) {
		handle_platform_lease_lost(s);
		s->next_renew_us = now_us;
	}
	if (res->status != BR_SLOT_OK)
		return;
	if (op->kind == BR_SLOT_OP_LEASE_CREATE)
		s->platform_lease_id = res->platform_lease_id;
	/* Counted from a time before the renewal was sent, less 2% for drift of this clock. */
	s->right_until_us =
		op->issued_us + op->platform_lease_ttl_us - op->platform_lease_ttl_us / 50;
	s->next_renew_us = op->issued_us + interval_us;
}

static void handle_list_result(struct br_slots *s, const struct br_slot_result *res,
			       uint64_t now_us)
{
	s->list_pending = false;
	s->list_retry_at_us = now_us + RETRY_DELAY_US;
	if (res->status != BR_SLOT_OK)
		return;
	s->listed = true;
	for (uint32_t i = 0; i < BR_SLOTS_MAX; i++) {
		if (!s->slots[i].key_known)
			update_from_key(s, i, false, NULL, 0, now_us);
	}
}

void br_slots_result(struct br_slots *s, const struct br_slot_op *op,
		     const struct br_slot_result *res, uint64_t now_us)
{
	struct slot *sl = &s->slots[op->slot];

	BR_INVARIANT(s->n_open_ops > 0 && op->slot < BR_SLOTS_MAX);
	s->n_open_ops--;
	switch (op->kind) {
	case BR_SLOT_OP_LIST:
		handle_list_result(s, res, now_us);
		return;
	case BR_SLOT_OP_READ:
		sl->op_pending = false;
		if (res->status == BR_SLOT_OK)
			handle_key_read(s, op->slot, res->present, res->value, res->value_len,
					res->mod_rev, now_us);
		else
			sl->retry_at_us = now_us + RETRY_DELAY_US;
		return;
	case BR_SLOT_OP_WRITE:
		sl->op_pending = false;
		sl->write_pending = false;
		handle_write_result(s, op, res, now_us);
		return;
	case BR_SLOT_OP_LEASE_CREATE:
	case BR_SLOT_OP_LEASE_RENEW:
	case BR_SLOT_OP_LEASE_DELETE:
		handle_lease_result(s, op, res, now_us);
		return;
	}
}
