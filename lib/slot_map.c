#include "lib/slot_private.h"

#include <string.h>

bool slot_names_own_node(const struct br_slots *s, const struct br_slot_holder *h)
{
	return br_node_id_equal(&h->node, &s->cfg.self);
}

bool slot_names_own_process(const struct br_slots *s, const struct br_slot_holder *h)
{
	return slot_names_own_node(s, h) && h->incarnation == s->cfg.incarnation;
}

/* The criteria after the epoch only make every node resolve equal epochs in the same way. */
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
	if (sl->state != SLOT_IDLE && !slot_names_own_process(s, entry)) {
		/*
		 * Another node gossips a higher epoch. If it took the slot over, this node's CAS
		 * with a still higher epoch will fail. Otherwise the entry is a stale one of an
		 * earlier holder that this node did not know when it chose its epoch.
		 */
		if (entry->epoch < sl->entry.epoch || entry->epoch <= sl->competing_epoch)
			return false;
		sl->competing_epoch = entry->epoch;
		return true;
	}
	sl->entry = *entry;
	/*
	 * Read the key soon: the former holder keeps its claims of request ids for the next holder
	 * only for seconds.
	 */
	if (entry->released)
		sl->retry_at_us = 0;
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
