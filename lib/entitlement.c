#include "briarreel/entitlement.h"

#include <errno.h>
#include <stdlib.h>

/** Replaced limits, and the time until which leases granted by them may be in force. */
struct former_limits {
	struct br_entitlement_limits limits;
	uint64_t until_us;
};

struct br_entitlement {
	char account[BR_NAME_BYTES];
	uint64_t delay_us;
	struct br_entitlement_limits current;
	/** Oldest first. */
	struct former_limits *former;
	size_t n_former;
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
	e->current = *limits;
	return e;
}

void br_entitlement_destroy(struct br_entitlement *e)
{
	if (!e)
		return;
	free(e->former);
	free(e);
}

int br_entitlement_update(struct br_entitlement *e, const struct br_entitlement_limits *limits,
			  uint64_t now_us)
{
	struct former_limits *list;
	size_t n = 0;

	if (e->current.rate_mtok_s == limits->rate_mtok_s &&
	    e->current.burst_tokens == limits->burst_tokens)
		return 0;
	list = calloc(e->n_former + 1, sizeof(*list));
	if (!list)
		return -ENOMEM;
	for (size_t i = 0; i < e->n_former; i++)
		if (now_us < e->former[i].until_us)
			list[n++] = e->former[i];
	e->settled_us = now_us + e->delay_us;
	list[n++] = (struct former_limits){.limits = e->current, .until_us = e->settled_us};
	free(e->former);
	e->former = list;
	e->n_former = n;
	e->current = *limits;
	return 0;
}

uint64_t br_entitlement_settled_us(const struct br_entitlement *e)
{
	return e->settled_us;
}

static struct br_slot_part slot_part_for(const struct br_entitlement *e,
					 const struct br_entitlement_limits *limits, uint32_t slot,
					 uint32_t n_slots)
{
	struct br_slot_set set;

	br_slots_of_account(e->account, limits->burst_tokens, n_slots, &set);
	return br_slot_part_of(&set, slot, limits->rate_mtok_s,
			       limits->burst_tokens * BR_NTOK_PER_TOKEN);
}

struct br_slot_part br_entitlement_part(const struct br_entitlement *e, uint32_t slot,
					uint32_t n_slots, uint64_t now_us)
{
	struct br_slot_part part = slot_part_for(e, &e->current, slot, n_slots);

	/*
	 * Holders see changes at different times, so after several changes in quick succession the
	 * other holders may still grant by any of the limits of the last delay_us.
	 */
	for (size_t i = 0; i < e->n_former; i++) {
		struct br_slot_part former_part;

		if (now_us >= e->former[i].until_us)
			continue;
		former_part = slot_part_for(e, &e->former[i].limits, slot, n_slots);
		if (former_part.rate_mtok_s < part.rate_mtok_s)
			part.rate_mtok_s = former_part.rate_mtok_s;
		if (former_part.burst_ntok < part.burst_ntok)
			part.burst_ntok = former_part.burst_ntok;
	}
	return part;
}
