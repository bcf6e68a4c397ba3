#include "briarreel/entitlement.h"

#include <stdlib.h>

struct br_entitlement {
	char account[BR_NAME_BYTES];
	uint64_t delay_us;
	/** Limits that were settled when the present change began. */
	struct br_entitlement_limits before;
	struct br_entitlement_limits now;
	uint64_t settled_us;
};

struct br_entitlement *br_entitlement_create(const char *account,
					     const struct br_entitlement_limits *limits,
					     uint64_t delay_us)
{
	struct br_entitlement *e = calloc(1, sizeof(*e));

	if (!e)
		return NULL;
	br_copy_text(e->account, sizeof(e->account), account);
	e->delay_us = delay_us;
	e->before = *limits;
	e->now = *limits;
	return e;
}

void br_entitlement_destroy(struct br_entitlement *e)
{
	free(e);
}

void br_entitlement_update(struct br_entitlement *e, const struct br_entitlement_limits *limits,
			   uint64_t now_us)
{
	if (e->now.rate_mtok_s == limits->rate_mtok_s && e->now.burst == limits->burst)
		return;
	/* During changes in quick succession the limits that were settled last stay the bound. */
	if (now_us >= e->settled_us)
		e->before = e->now;
	e->now = *limits;
	e->settled_us = now_us + e->delay_us;
}

uint64_t br_entitlement_settled_us(const struct br_entitlement *e)
{
	return e->settled_us;
}

static struct br_slot_part part_of(const struct br_entitlement *e,
				   const struct br_entitlement_limits *limits, uint32_t slot,
				   uint32_t n_slots)
{
	struct br_slot_set set;

	br_slots_of_account(e->account, limits->burst, n_slots, &set);
	return br_slot_part_of(&set, slot, limits->rate_mtok_s, limits->burst * BR_NTOK_PER_TOKEN);
}

struct br_slot_part br_entitlement_part(const struct br_entitlement *e, uint32_t slot,
					uint32_t n_slots, uint64_t now_us)
{
	struct br_slot_part part = part_of(e, &e->now, slot, n_slots);
	struct br_slot_part before;

	if (now_us >= e->settled_us)
		return part;
	before = part_of(e, &e->before, slot, n_slots);
	if (before.rate_mtok_s < part.rate_mtok_s)
		part.rate_mtok_s = before.rate_mtok_s;
	if (before.burst_ntok < part.burst_ntok)
		part.burst_ntok = before.burst_ntok;
	return part;
}
