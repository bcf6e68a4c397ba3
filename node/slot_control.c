#include "node/slot_control.h"

#include "briarreel/membership.h"
#include "briarreel/view.h"
#include "common/clock.h"
#include "common/log.h"
#include "node/blackboard.h"
#include "node/claims.h"
#include "node/control.h"
#include "node/gossip.h"
#include "node/node.h"
#include "node/node_settings.h"
#include "node/platform.h"
#include "node/wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_PREFIX "slots"

#define MAX_MEMBERS BR_MEMBERS_MAX
/* Maximum number of operations started in one tick; others wait for the next tick. */
#define OPS_PER_TICK 32

struct slot_control {
	struct control *ctl;
	struct br_slots *slots;
	uint32_t n_slots;
	uint64_t ttl_us;
	uint64_t published_digest;
	struct slot_map map;
	/** Slots from which this node may grant rate leases, as of the last publication. */
	bool may_grant[BR_SLOTS_MAX];
	struct br_slot_member *members;
};

/** An operation of the state machine that waits for its platform result. */
struct pending_op {
	struct slot_control *sc;
	struct br_slot_op op;
};

struct slot_control *slot_control_create(struct control *ctl)
{
	struct slot_control *sc = calloc(1, sizeof(*sc));

	if (!sc)
		return NULL;
	sc->ctl = ctl;
	sc->members = calloc(MAX_MEMBERS, sizeof(*sc->members));
	if (!sc->members) {
		free(sc);
		return NULL;
	}
	return sc;
}

void slot_control_destroy(struct slot_control *sc)
{
	if (!sc)
		return;
	if (sc->slots)
		br_slots_destroy(sc->slots);
	free(sc->members);
	free(sc);
}

struct br_slots *slot_control_slots(struct slot_control *sc)
{
	return sc->slots;
}

uint32_t slot_control_n_slots(const struct slot_control *sc)
{
	return sc->n_slots;
}

uint64_t slot_control_digest(const struct slot_control *sc)
{
	return sc->slots ? br_slots_digest(sc->slots) : 0;
}

static enum br_slot_status convert_status(const struct br_slot_op *op,
					  const struct platform_result *res)
{
	switch (res->status) {
	case PLATFORM_OK:
		return BR_SLOT_OK;
	case PLATFORM_NOT_FOUND:
		/* A read found no key; a renewal, or a write with a lease, found no lease. */
		return op->kind == BR_SLOT_OP_READ ? BR_SLOT_OK : BR_SLOT_NO_LEASE;
	case PLATFORM_CONFLICT:
		return BR_SLOT_CONFLICT;
	case PLATFORM_COMPACTED:
	case PLATFORM_UNAVAILABLE:
		return BR_SLOT_UNAVAILABLE;
	case PLATFORM_UNKNOWN:
		return BR_SLOT_UNKNOWN;
	}
	return BR_SLOT_UNKNOWN;
}

static void observe_list(struct slot_control *sc, const struct platform_result *res,
			 uint64_t now_us)
{
	for (size_t i = 0; i < res->n_entries; i++) {
		const struct platform_entry *e = &res->entries[i];
		unsigned slot;

		if (!e->value || sscanf(e->key, BR_SLOT_KEY_PREFIX "%u", &slot) != 1)
			continue;
		if (br_slots_observe(sc->slots, slot, e->value, strlen(e->value), e->mod_rev,
				     now_us))
			log_warn("Slot key %s has a malformed value.", e->key);
	}
}

static void handle_result(struct control *ctl, void *arg, const struct platform_result *res,
			  uint64_t now_us)
{
	struct pending_op *p = arg;
	struct slot_control *sc = p->sc;
	struct br_slot_result r = {.status = convert_status(&p->op, res),
				   .present = res->value != NULL,
				   .mod_rev = res->rev,
				   .value = res->value,
				   .value_len = res->value ? strlen(res->value) : 0,
				   .platform_lease_id = res->lease_id};

	(void)ctl;
	log_debug("Operation %d on slot %u: status %d.", p->op.kind, p->op.slot, r.status);
	if (p->op.kind == BR_SLOT_OP_LIST && res->status == PLATFORM_OK)
		observe_list(sc, res, now_us);
	br_slots_result(sc->slots, &p->op, &r, now_us);
	free(p);
}

static void submit_op(struct slot_control *sc, const struct br_slot_op *op)
{
	struct pending_op *p = malloc(sizeof(*p));
	struct platform_op call = {.cas_rev = op->cas_rev,
				   .lease_id = op->platform_lease_id,
				   .ttl_ms = (uint32_t)(op->platform_lease_ttl_us / BR_US_PER_MS)};

	if (!p)
		abort();
	p->sc = sc;
	p->op = *op;
	snprintf(call.key, sizeof(call.key), BR_SLOT_KEY_PREFIX "%u", op->slot);
	switch (op->kind) {
	case BR_SLOT_OP_LIST:
		call.type = PLATFORM_RANGE;
		br_copy_text(call.key, sizeof(call.key), BR_SLOT_KEY_PREFIX);
		break;
	case BR_SLOT_OP_READ:
		call.type = PLATFORM_GET;
		break;
	case BR_SLOT_OP_LEASE_CREATE:
		call.type = PLATFORM_LEASE_CREATE;
		break;
	case BR_SLOT_OP_LEASE_RENEW:
		call.type = PLATFORM_LEASE_RENEW;
		break;
	case BR_SLOT_OP_LEASE_DELETE:
		call.type = PLATFORM_LEASE_DELETE;
		break;
	case BR_SLOT_OP_WRITE:
		call.type = PLATFORM_PUT;
		call.value = p->op.value;
		break;
	}
	control_call_platform(sc->ctl, &call, handle_result, p);
}

static size_t collect_members(struct slot_control *sc)
{
	struct br_members_view *view = br_members_view(gossip_members(control_gossip(sc->ctl)));
	const struct br_member *const *all;
	size_t n_all = 0;
	size_t n = 0;

	if (!view)
		return 0;
	all = br_members_view_all(view, &n_all);
	for (size_t i = 0; i < n_all && n < MAX_MEMBERS; i++) {
		struct br_slot_member *m = &sc->members[n];

		if (all[i]->state > BR_MEMBER_DRAINING)
			continue;
		m->node = all[i]->id;
		m->incarnation = all[i]->instance;
		br_copy_text(m->zone, sizeof(m->zone), all[i]->zone);
		n++;
	}
	br_members_view_put(view);
	return n;
}

/* Creates the state machine once the mesh settings are known. */
static bool ensure_slots(struct slot_control *sc, struct br_view *view)
{
	const struct br_mesh *mesh = br_view_mesh(view);
	const struct node *node = control_node(sc->ctl);
	struct br_slots_config cfg = {
		.self = node->id,
		.incarnation = node->incarnation,
		.platform_lease_ttl_us = (uint64_t)mesh->autonomy_s * BR_US_PER_S,
		.rate_lease_term_us = (uint64_t)mesh->lease_term_ms * BR_US_PER_MS};

	cfg.startup_grant_delay_us = CONTROL_CONFIG_PROPAGATION_US + cfg.rate_lease_term_us;
	if (sc->slots) {
		/* A different count would change the part of each rate that a slot grants. */
		if (mesh->share_slots != sc->n_slots)
			log_debug("Record mesh/default: share_slots: %u: ignored until a restart.",
				  mesh->share_slots);
		return true;
	}
	if (!br_view_watermark(view))
		return false;
	br_copy_text(cfg.zone, sizeof(cfg.zone), node->settings->zone);
	sc->slots = br_slots_create(&cfg);
	sc->n_slots = mesh->share_slots;
	sc->ttl_us = cfg.platform_lease_ttl_us;
	return sc->slots != NULL;
}

static void publish(struct slot_control *sc, uint64_t now_us)
{
	struct slot_map map = {.n_slots = sc->n_slots,
			       .right_until_us = br_slots_right_until(sc->slots)};
	bool may_grant[BR_SLOTS_MAX] = {false};
	bool changed;

	for (uint32_t i = 0; i < sc->n_slots; i++) {
		const struct br_slot_holder *h = br_slots_holder(sc->slots, i);

		if (h)
			map.holders[i] = *h;
		map.may_register[i] = br_slots_may_register(sc->slots, i, now_us);
		may_grant[i] = br_slots_may_grant(sc->slots, i, now_us);
	}
	changed = memcmp(may_grant, sc->may_grant, sizeof(may_grant)) != 0 ||
		  memcmp(map.may_register, sc->map.may_register, sizeof(map.may_register)) != 0 ||
		  br_slots_digest(sc->slots) != sc->published_digest || !sc->map.n_slots;
	sc->published_digest = br_slots_digest(sc->slots);
	sc->map = map;
	memcpy(sc->may_grant, may_grant, sizeof(may_grant));
	blackboard_set_slots(control_node(sc->ctl)->board, &map);
	if (!changed)
		return;
	claims_update_slots(control_node(sc->ctl)->claims, sc->slots, sc->ttl_us, now_us);
	control_slots_changed(sc->ctl);
}

void slot_control_tick(struct slot_control *sc, uint64_t now_us)
{
	struct br_view *view = br_config_view(gossip_config(control_gossip(sc->ctl)));
	const char *zones[BR_SLOTS_MAX];
	struct br_slot_retired retired[64];
	struct br_slots_input sv = {.members = sc->members, .zones = zones, .retired = retired};
	const struct br_record *const *recs;
	struct br_slot_op op;
	size_t n;

	if (!view || !ensure_slots(sc, view)) {
		br_view_put(view);
		return;
	}
	recs = br_view_records(view, BR_RECORD_ZONE, &n);
	for (; sv.n_zones < n && sv.n_zones < BR_SLOTS_MAX; sv.n_zones++)
		zones[sv.n_zones] = recs[sv.n_zones]->name;
	recs = br_view_records(view, BR_RECORD_RETIRED, &n);
	for (; sv.n_retired < n && sv.n_retired < 64; sv.n_retired++) {
		br_copy_text(retired[sv.n_retired].node.text, BR_NODE_ID_BYTES,
			     recs[sv.n_retired]->name);
		retired[sv.n_retired].incarnation = recs[sv.n_retired]->retired.incarnation;
	}
	sv.n_members = collect_members(sc);
	sv.n_slots = sc->n_slots;
	/* Publish before the writes: a slot written as released must no longer accept claims. */
	publish(sc, now_us);
	for (int i = 0; i < OPS_PER_TICK && br_slots_tick(sc->slots, &sv, now_us, &op); i++)
		submit_op(sc, &op);
	br_view_put(view);
}

void slot_control_release(struct slot_control *sc, uint64_t now_us)
{
	if (sc->slots)
		br_slots_release_all(sc->slots, now_us);
}

bool slot_control_released(const struct slot_control *sc)
{
	return !sc->slots || br_slots_released(sc->slots);
}

void slot_control_encode(const struct slot_control *sc, struct wire_out *out)
{
	uint32_t n = 0;

	for (uint32_t i = 0; sc->slots && i < sc->n_slots; i++)
		n += br_slots_entry(sc->slots, i) != NULL;
	wire_put_array(out, n);
	for (uint32_t i = 0; sc->slots && i < sc->n_slots; i++) {
		const struct br_slot_holder *h = br_slots_entry(sc->slots, i);

		if (h)
			wire_put_slot(out, i, h);
	}
}

void slot_control_merge(struct slot_control *sc, const msgpack_object *list)
{
	const msgpack_object *items;
	struct br_slot_holder h;
	uint32_t slot;
	uint32_t n;

	if (!sc->slots || !wire_get_array(list, &items, &n))
		return;
	for (uint32_t i = 0; i < n; i++)
		if (wire_get_slot(&items[i], &slot, &h) && slot < sc->n_slots)
			br_slots_merge(sc->slots, slot, &h);
}
