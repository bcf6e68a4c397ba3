/* What a node of the test of rates does by itself: its slots, its leases, and what it tells others. */
#ifndef TESTS_RANDOM_RATES_NODE_H
#define TESTS_RANDOM_RATES_NODE_H

#include "tests/random/rates_sim.h"

static const struct rate *rate_of(const struct sim *s, const struct node *n, int a)
{
	return &s->versions[n->version].rate[a];
}

static void refresh_entitlements(struct sim *s, struct node *n)
{
	uint64_t now = local_time_us(s, n);

	br_grantor_set_valid_until(n->grantor, br_slots_right_until(n->slots));
	for (int a = 0; a < ACCOUNTS; a++) {
		const struct rate *r = rate_of(s, n, a);
		struct br_entitlement_limits limits = {r->rate_mtok_s, r->burst_tokens};
		struct br_slot_part sum = {0};

		if (!n->entitlements[a])
			n->entitlements[a] =
				br_entitlement_create(account_names[a], &limits, GROWTH_DELAY_US);
		cr_assert(n->entitlements[a]);
		cr_assert_eq(br_entitlement_update(n->entitlements[a], &limits, now), 0);
		for (uint32_t i = 0; i < s->n_slots; i++) {
			struct br_slot_part p;

			if (!br_slots_may_grant(n->slots, i, now))
				continue;
			p = br_entitlement_part(n->entitlements[a], i, s->n_slots, now);
			sum.rate_mtok_s += p.rate_mtok_s;
			sum.burst_ntok += p.burst_ntok;
		}
		br_grantor_set_entitlement(n->grantor, account_names[a], sum.rate_mtok_s,
					   sum.burst_ntok, now);
	}
}

static void request_leases(struct sim *s, int i, int a)
{
	struct node *n = &s->nodes[i];
	struct br_bucket_holder out[SLOTS_MAX];
	size_t count = br_bucket_select_holders(n->buckets[a], local_time_us(s, n), out, SLOTS_MAX);

	for (size_t k = 0; k < count; k++) {
		struct ev *e;
		int to;

		for (to = 0; to < s->n_nodes; to++) {
			if (br_node_id_equal(&s->nodes[to].id, &out[k].node))
				break;
		}
		if (to == s->n_nodes)
			continue;
		e = make_ev(s, EV_REQ, to);
		e->incarnation = 0;
		e->peer = i;
		e->account = a;
		e->holder = out[k];
		br_bucket_make_request(n->buckets[a], &out[k], local_time_us(s, n), &e->req);
		n->lease_requested_us[a] = s->now_us;
		send_msg(s, e, i);
	}
}

static void update_holders(struct sim *s, struct node *n, int a)
{
	const struct rate *r = rate_of(s, n, a);
	struct br_bucket_holder list[SLOTS_MAX] = {0};
	const struct br_slot_set *set = &s->versions[n->version].slots[a];
	size_t count = 0;

	br_bucket_set_limits(n->buckets[a], r->rate_mtok_s, r->burst_tokens * BR_NTOK_PER_TOKEN,
			     br_slot_set_count(set), local_time_us(s, n));
	for (uint32_t i = 0; i < s->n_slots; i++) {
		const struct br_slot_holder *h = br_slots_holder(n->slots, i);
		size_t k = 0;

		if (!h || !br_slot_set_has(set, i))
			continue;
		while (k < count && !(br_node_id_equal(&list[k].node, &h->node) &&
				      list[k].incarnation == h->incarnation))
			k++;
		if (k == count)
			list[count++] = (struct br_bucket_holder){
				.node = h->node,
				.incarnation = h->incarnation,
				.same_zone = strcmp(h->zone, n->zone) == 0,
			};
		list[k].slots++;
	}
	br_bucket_set_holders(n->buckets[a], list, count, local_time_us(s, n));
}

static void tick_slots(struct sim *s, int i)
{
	struct node *n = &s->nodes[i];
	struct br_slot_member members[NODES_MAX];
	struct br_slots_input view = {
		.members = members,
		.zones = zone_names,
		.n_zones = ZONES,
		.retired = s->retired,
		.n_retired = s->n_retired,
		.n_slots = s->n_slots,
	};
	struct br_slot_op op;

	for (int k = 0; k < s->n_nodes; k++) {
		const struct node *m = &s->nodes[k];

		if (!m->alive || m->stopping || s->blocked[m->zone_no][n->zone_no])
			continue;
		members[view.n_members].node = m->id;
		members[view.n_members].incarnation = m->incarnation;
		br_copy_text(members[view.n_members++].zone, BR_NAME_BYTES, m->zone);
	}
	while (br_slots_tick(n->slots, &view, local_time_us(s, n), &op))
		send_op(s, i, &op);
}

static void gossip(struct sim *s, int i)
{
	int to = (int)random_below(s, (uint64_t)s->n_nodes);
	struct ev *e = make_ev(s, EV_GOSSIP, to);

	e->incarnation = 0;
	e->entries = calloc(SLOTS_MAX, sizeof(*e->entries));
	cr_assert(e->entries);
	for (uint32_t k = 0; k < s->n_slots; k++) {
		const struct br_slot_holder *h = br_slots_entry(s->nodes[i].slots, k);

		if (h)
			e->entries[k] = *h;
	}
	send_msg(s, e, i);
}

#endif
