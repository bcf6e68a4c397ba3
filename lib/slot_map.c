#include "lib/slot_private.h"

#include <string.h>

bool slot_own(const struct br_slots *s, const struct br_slot_holder *h)
{
	return br_node_id_equal(&h->node, &s->cfg.self);
}

bool slot_own_process(const struct br_slots *s, const struct br_slot_holder *h)
{
	return slot_own(s, h) && h->incarnation == s->cfg.incarnation;
}

/* Order of entries: epoch first; the rest only makes equal epochs resolve alike everywhere. */
int slot_compare(const struct br_slot_holder *a, const struct br_slot_holder *b)
{
	int c;

	if (a->epoch != b->epoch)
		return a->epoch < b->epoch ? -1 : 1;
	c = strcmp(a->node.text, b->node.text);
	if (c)
		return c;
	if (a->incarnation != b->incarnation)
		return a->incarnation < b->incarnation ? -1 : 1;
	return (int)a->released - (int)b->released;
}

bool br_slots_merge(struct br_slots *s, uint32_t slot, const struct br_slot_holder *entry)
{
	struct slot *sl;

	if (slot >= BR_SLOTS_MAX || !entry->epoch)
		return false;
	sl = &s->slots[slot];
	if (slot_compare(entry, &sl->entry) <= 0)
		return false;
	if (sl->state != SLOT_IDLE && !slot_own_process(s, entry)) {
		/*
		 * Another node claimed a higher epoch. Either it took the slot over, then our CAS
		 * with a still higher epoch fails, or its entry is a stale one of an earlier
		 * holder that this node did not know of when it chose its epoch.
		 */
		if (entry->epoch < sl->entry.epoch || entry->epoch <= sl->rival_epoch)
			return false;
		sl->rival_epoch = entry->epoch;
		return true;
	}
	sl->entry = *entry;
	/* The former holder waits only some seconds for the next one to fetch its claims. */
	if (entry->released)
		sl->retry_us = 0;
	return true;
}

const struct br_slot_holder *br_slots_entry(const struct br_slots *s, uint32_t slot)
{
	if (slot >= BR_SLOTS_MAX || !s->slots[slot].entry.epoch)
		return NULL;
	return &s->slots[slot].entry;
}

const struct br_slot_holder *br_slots_holder(const struct br_slots *s, uint32_t slot)
{
	const struct br_slot_holder *h = br_slots_entry(s, slot);

	return h && !h->released ? h : NULL;
}

uint64_t br_slots_digest(const struct br_slots *s)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < BR_SLOTS_MAX; i++) {
		const struct br_slot_holder *e = &s->slots[i].entry;
		uint64_t h;

		if (!e->epoch)
			continue;
		h = br_hash_str(e->node.text, e->epoch * BR_SLOTS_MAX + i);
		h = br_hash64(&e->incarnation, sizeof(e->incarnation), h + e->released);
		sum += h;
	}
	return sum;
}
