#include "node/blackboard.h"

#include "briarreel/membership.h"
#include "briarreel/view.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A target announces itself every second; it is absent after three missed announcements. */
#define TARGET_EXPIRY_US (3 * BR_US_PER_S)

struct blackboard {
	pthread_mutex_t lock;
	struct br_view *config;
	struct br_members_view *members;
	struct slot_map slots;
	struct target_info target;
	_Atomic uint64_t confirmed_us;
};

struct blackboard *blackboard_create(void)
{
	struct blackboard *b = calloc(1, sizeof(*b));

	if (b)
		pthread_mutex_init(&b->lock, NULL);
	return b;
}

void blackboard_destroy(struct blackboard *b)
{
	if (!b)
		return;
	br_view_put(b->config);
	br_members_view_put(b->members);
	pthread_mutex_destroy(&b->lock);
	free(b);
}

void blackboard_set_config(struct blackboard *b, struct br_view *view)
{
	struct br_view *old;

	pthread_mutex_lock(&b->lock);
	old = b->config;
	b->config = view;
	pthread_mutex_unlock(&b->lock);
	br_view_put(old);
}

void blackboard_set_members(struct blackboard *b, struct br_members_view *view)
{
	struct br_members_view *old;

	pthread_mutex_lock(&b->lock);
	old = b->members;
	b->members = view;
	pthread_mutex_unlock(&b->lock);
	br_members_view_put(old);
}

void blackboard_set_slots(struct blackboard *b, const struct slot_map *map)
{
	pthread_mutex_lock(&b->lock);
	b->slots = *map;
	pthread_mutex_unlock(&b->lock);
}

struct br_view *blackboard_config(struct blackboard *b)
{
	struct br_view *view;

	pthread_mutex_lock(&b->lock);
	view = b->config ? br_view_get(b->config) : NULL;
	pthread_mutex_unlock(&b->lock);
	return view;
}

struct br_members_view *blackboard_members(struct blackboard *b)
{
	struct br_members_view *view;

	pthread_mutex_lock(&b->lock);
	view = b->members ? br_members_view_get(b->members) : NULL;
	pthread_mutex_unlock(&b->lock);
	return view;
}

bool blackboard_slot_holder(struct blackboard *b, uint32_t slot, struct br_slot_holder *out)
{
	bool known;

	pthread_mutex_lock(&b->lock);
	known = slot < b->slots.n_slots && b->slots.holders[slot].node.text[0];
	if (known)
		*out = b->slots.holders[slot];
	pthread_mutex_unlock(&b->lock);
	return known;
}

bool blackboard_may_register(struct blackboard *b, uint32_t slot, uint64_t now_us)
{
	bool may_register;

	pthread_mutex_lock(&b->lock);
	may_register = slot < b->slots.n_slots && b->slots.may_register[slot] &&
		       now_us < b->slots.right_until_us;
	pthread_mutex_unlock(&b->lock);
	return may_register;
}

uint32_t blackboard_n_slots(struct blackboard *b)
{
	uint32_t n;

	pthread_mutex_lock(&b->lock);
	n = b->slots.n_slots;
	pthread_mutex_unlock(&b->lock);
	return n;
}

void blackboard_zone_slots(struct blackboard *b, const char *zone, char *out, size_t bytes)
{
	size_t len = 0;

	out[0] = '\0';
	pthread_mutex_lock(&b->lock);
	for (uint32_t i = 0; i < b->slots.n_slots; i++) {
		const struct br_slot_holder *h = &b->slots.holders[i];

		if (!h->node.text[0] || strcmp(h->zone, zone) != 0 || len + 8 > bytes)
			continue;
		len += (size_t)snprintf(out + len, bytes - len, "%s%u", len ? "," : "", i);
	}
	pthread_mutex_unlock(&b->lock);
}

void blackboard_confirm_config(struct blackboard *b, uint64_t at_us)
{
	uint64_t old = atomic_load(&b->confirmed_us);

	while (at_us > old && !atomic_compare_exchange_weak(&b->confirmed_us, &old, at_us))
		;
}

uint64_t blackboard_confirmation_age_us(struct blackboard *b, uint64_t now_us)
{
	uint64_t at_us = atomic_load(&b->confirmed_us);

	if (!at_us)
		return UINT64_MAX;
	return now_us > at_us ? now_us - at_us : 0;
}

void blackboard_target_announced(struct blackboard *b, const char *service, const char *address,
				 uint32_t concurrency_hint, uint64_t now_us)
{
	struct target_info *t = &b->target;

	pthread_mutex_lock(&b->lock);
	if (!t->present || strcmp(t->service, service) != 0 || strcmp(t->address, address) != 0) {
		t->generation++;
		t->draining = false;
	}
	t->present = true;
	br_copy_text(t->service, sizeof(t->service), service);
	br_copy_text(t->address, sizeof(t->address), address);
	t->concurrency_hint = concurrency_hint;
	t->announced_us = now_us;
	pthread_mutex_unlock(&b->lock);
}

void blackboard_set_target_draining(struct blackboard *b, bool draining)
{
	pthread_mutex_lock(&b->lock);
	b->target.draining = draining;
	pthread_mutex_unlock(&b->lock);
}

void blackboard_target_expire(struct blackboard *b, uint64_t now_us)
{
	struct target_info *t = &b->target;

	pthread_mutex_lock(&b->lock);
	if (t->present && now_us > t->announced_us && now_us - t->announced_us > TARGET_EXPIRY_US) {
		t->present = false;
		t->draining = false;
	}
	pthread_mutex_unlock(&b->lock);
}

void blackboard_target(struct blackboard *b, struct target_info *out)
{
	pthread_mutex_lock(&b->lock);
	*out = b->target;
	pthread_mutex_unlock(&b->lock);
}
