/*
 * Seeded simulation of slots, grantors and buckets on a fleet of nodes and a platform store. Guards
 * against a fleet that together admits more than an account's rate and burst, which can come about
 * through lost, late or duplicate messages, crashes, pauses, partitions, clock errors and changed
 * limits; a reference token bucket in true time detects it. Also guards against refusals of demand
 * that is within the rate. BR_SEED runs one seed; BR_DURATION_S continues with further seeds for
 * that many seconds.
 */
#include "tests/random/rates_node.h"

static void stop_node(struct node *n)
{
	if (!n->alive)
		return;
	br_slots_destroy(n->slots);
	br_grantor_destroy(n->grantor);
	for (int a = 0; a < ACCOUNTS; a++) {
		br_bucket_destroy(n->buckets[a]);
		br_entitlement_destroy(n->entitlements[a]);
		n->entitlements[a] = NULL;
	}
	n->alive = false;
}

static void start_node(struct sim *s, int i)
{
	struct node *n = &s->nodes[i];
	struct br_slots_config sc = {.platform_lease_ttl_us = TTL_US,
				     .rate_lease_term_us = TERM_US,
				     .startup_grant_delay_us = GROWTH_DELAY_US};
	struct br_grantor_config gc = {.lease_term_us = TERM_US,
				       .rate_margin_ppm = BR_GRANTOR_RATE_MARGIN_PPM};

	n->zone_no = i % ZONES;
	br_copy_text(n->zone, sizeof(n->zone), zone_names[n->zone_no]);
	snprintf(n->id.text, sizeof(n->id.text), "10.0.0.%d:%d", i, 7000 + n->generation);
	n->incarnation = s->now_us + 1000 + (uint64_t)i;
	n->alive = true;
	n->stopping = false;
	n->paused_until_us = 0;
	n->version = s->n_versions - 1;
	sc.self = n->id;
	sc.incarnation = n->incarnation;
	gc.incarnation = n->incarnation;
	br_copy_text(sc.zone, sizeof(sc.zone), n->zone);
	n->slots = br_slots_create(&sc);
	n->grantor = br_grantor_create(&gc);
	for (int a = 0; a < ACCOUNTS; a++) {
		struct br_bucket_config bc = {.self = n->id, .incarnation = n->incarnation};

		br_copy_text(bc.account, sizeof(bc.account), account_names[a]);
		n->buckets[a] = br_bucket_create(&bc);
	}
	push(s, make_ev(s, EV_TICK, i), s->now_us + random_below(s, 50 * MS));
}

static void admit(struct sim *s, int i, int a)
{
	struct reference *r = &s->references[a];

	update_reference(s);
	if (r->tokens < BR_NTOK_PER_TOKEN && !s->failure[0])
		snprintf(s->failure, sizeof(s->failure),
			 "account %s: node %d admitted at %.6f s with %.3f tokens left",
			 account_names[a], i, (double)s->now_us / SEC,
			 (double)r->tokens / BR_NTOK_PER_TOKEN);
	r->tokens -= r->tokens < BR_NTOK_PER_TOKEN ? r->tokens : BR_NTOK_PER_TOKEN;
	if (s->now_us >= s->measure_from_us)
		s->admitted[a]++;
}

/*
 * Reads the clock again after a debit, as node/rates.c does, and admits the request if the token is
 * still valid. A node counts a lease from before it sent the lease request, so a token is valid for
 * at most one term after the last lease request before the debit (lease_until_us, in true time).
 */
static void confirm_take(struct sim *s, int i, int a, uint64_t valid_until_us,
			 uint64_t lease_until_us)
{
	if (local_time_us(s, &s->nodes[i]) >= valid_until_us)
		return;
	if (s->now_us > lease_until_us && !s->failure[0])
		snprintf(s->failure, sizeof(s->failure),
			 "account %s: node %d admitted at %.6f s, its lease ended by %.6f s",
			 account_names[a], i, (double)s->now_us / SEC,
			 (double)lease_until_us / SEC);
	admit(s, i, a);
}

static void take_token(struct sim *s, int i, int a, bool first, uint64_t deadline_us)
{
	struct node *n = &s->nodes[i];
	uint64_t valid;
	int rc = br_bucket_take(n->buckets[a], first, local_time_us(s, n), &valid);
	struct ev *e;

	if (rc == 0) {
		if (!s->faults || random_below(s, 500)) {
			confirm_take(s, i, a, valid, n->lease_requested_us[a] + TERM_US);
			return;
		}
		/* The process is paused between the debit and the second clock reading. */
		n->paused_until_us = s->now_us + random_below(s, 3 * TERM_US);
		e = make_ev(s, EV_CONFIRM, i);
		e->time_us = valid;
		e->lease_until_us = n->lease_requested_us[a] + TERM_US;
		e->account = a;
		push(s, e, n->paused_until_us);
		return;
	}
	if (rc != -EAGAIN)
		return;
	request_leases(s, i, a);
	if (s->now_us >= deadline_us) {
		br_bucket_wait_ended(n->buckets[a]);
		return;
	}
	e = make_ev(s, EV_RETRY, i);
	e->account = a;
	e->time_us = deadline_us;
	push(s, e, s->now_us + 5 * MS);
}

static void on_arrival(struct sim *s, struct ev *e)
{
	struct reference *r = &s->references[e->account];
	struct rate rate = s->versions[s->n_versions - 1].rate[e->account];
	uint64_t cap = rate.burst_tokens * BR_NTOK_PER_TOKEN;
	int i = random_below(s, 100) < s->node0_percent
			? 0
			: (int)random_below(s, (uint64_t)s->n_nodes);
	struct ev *next = make_ev(s, EV_ARRIVAL, -1);
	uint64_t gap = SEC * BR_MTOK_PER_TOKEN / s->demand_mtok_s[e->account];

	next->account = e->account;
	push(s, next, s->now_us + gap / 2 + random_below(s, gap + 1));
	r->ideal_tokens += br_refill_ntok(rate.rate_mtok_s, s->now_us - r->ideal_at_us,
					  cap > r->ideal_tokens ? cap - r->ideal_tokens : 0);
	r->ideal_at_us = s->now_us;
	if (r->ideal_tokens >= BR_NTOK_PER_TOKEN) {
		r->ideal_tokens -= BR_NTOK_PER_TOKEN;
		s->ideal_admitted += s->now_us >= s->measure_from_us;
	}
	if (s->nodes[i].alive && s->now_us >= s->nodes[i].paused_until_us)
		take_token(s, i, e->account, true, s->now_us + WAIT_US);
}

/* Adds what a holder can still lease out, which is nothing if it may grant for no slot. */
static void add_unleased(struct sim *s, struct node *n, int a, struct br_bucket_stats *sum)
{
	struct br_grantor_stats st;
	bool right = false;

	for (uint32_t k = 0; k < s->n_slots; k++)
		right |= br_slots_may_grant(n->slots, k, local_time_us(s, n));
	if (!right || !br_grantor_stats(n->grantor, account_names[a], local_time_us(s, n), &st))
		return;
	if (st.rate_mtok_s > st.leased_rate_mtok_s)
		sum->rate_mtok_s += st.rate_mtok_s - st.leased_rate_mtok_s;
	if (st.burst_ntok > st.leased_burst_ntok)
		sum->burst_ntok += st.burst_ntok - st.leased_burst_ntok;
	sum->tokens_ntok += st.reserve_ntok;
}

/*
 * Checks that the leases in force and the reserves together are within rate and burst at this
 * moment of true time. Detects an excess that the reference bucket does not show while the fleet
 * uses less than its rate.
 */
static void check_sums(struct sim *s)
{
	update_reference(s);
	for (int a = 0; a < ACCOUNTS; a++) {
		struct br_bucket_stats sum = {0};
		const struct br_slot_part *limit = &s->references[a].limit;

		for (int i = 0; i < s->n_nodes; i++) {
			struct node *n = &s->nodes[i];
			struct br_bucket_stats st;

			if (!n->alive)
				continue;
			br_bucket_stats(n->buckets[a], local_time_us(s, n), &st);
			sum.rate_mtok_s += st.rate_mtok_s;
			sum.burst_ntok += st.burst_ntok;
			sum.tokens_ntok += st.tokens_ntok;
			add_unleased(s, n, a, &sum);
		}
		if (sum.rate_mtok_s <= limit->rate_mtok_s && sum.burst_ntok <= limit->burst_ntok &&
		    sum.tokens_ntok <= limit->burst_ntok)
			continue;
		snprintf(s->failure, sizeof(s->failure),
			 "account %s at %.6f s: rate %lu of %lu, burst %.3f, tokens %.3f of %.3f",
			 account_names[a], (double)s->now_us / SEC, (unsigned long)sum.rate_mtok_s,
			 (unsigned long)limit->rate_mtok_s, (double)sum.burst_ntok / 1e9,
			 (double)sum.tokens_ntok / 1e9, (double)limit->burst_ntok / 1e9);
	}
}

static void on_tick(struct sim *s, int i)
{
	struct node *n = &s->nodes[i];

	tick_slots(s, i);
	refresh_entitlements(s, n);
	br_grantor_tick(n->grantor, local_time_us(s, n));
	for (int a = 0; a < ACCOUNTS; a++) {
		update_holders(s, n, a);
		request_leases(s, i, a);
	}
	gossip(s, i);
	check_sums(s);
	push(s, make_ev(s, EV_TICK, i), s->now_us + 50 * MS);
	if (n->stopping && (br_slots_released(n->slots) || s->now_us > n->stop_us + 8 * SEC)) {
		stop_node(n);
		push(s, make_ev(s, EV_START, -1 - i), s->now_us + random_below(s, 2 * SEC));
	}
}

static void on_req(struct sim *s, struct ev *e)
{
	struct node *n = &s->nodes[e->node];
	struct ev *r = make_ev(s, EV_REP, e->peer);

	r->incarnation = 0;
	r->account = e->account;
	r->holder = e->holder;
	br_grantor_set_valid_until(n->grantor, br_slots_right_until(n->slots));
	if (br_grantor_request(n->grantor, &e->req, local_time_us(s, n), &r->rep))
		free_ev(r);
	else
		send_msg(s, r, e->node);
}

static void on_result(struct sim *s, struct ev *e)
{
	struct node *n = &s->nodes[e->node];
	const struct stored_key *k = e->keys ? &e->keys[e->op->slot] : NULL;
	struct br_slot_result res = {.status = e->status, .platform_lease_id = e->lease_id};

	if (k && e->status != BR_SLOT_UNKNOWN) {
		res.present = k->present;
		res.mod_rev = k->present ? k->rev : 0;
		res.value = k->present ? k->value : NULL;
		res.value_len = strlen(k->value);
	}
	for (uint32_t i = 0; e->op->kind == BR_SLOT_OP_LIST && i < s->n_slots; i++) {
		if (e->status == BR_SLOT_OK && e->keys && e->keys[i].present)
			br_slots_observe(n->slots, i, e->keys[i].value, strlen(e->keys[i].value),
					 e->keys[i].rev, local_time_us(s, n));
	}
	br_slots_result(n->slots, e->op, &res, local_time_us(s, n));
	refresh_entitlements(s, n);
}

/* Kills a process. It restarts with the same node id, or with a new one; the old one is retired. */
static void kill_node(struct sim *s, int i)
{
	struct node *n = &s->nodes[i];

	if (!n->alive)
		return;
	if (random_below(s, 2) && s->n_retired < 64) {
		struct ev *e = make_ev(s, EV_RETIRE, -1);

		e->holder.node = n->id;
		e->holder.incarnation = n->incarnation;
		push(s, e, s->now_us + random_below(s, random_below(s, 2) ? 100 * MS : 4 * SEC));
		n->generation++;
	}
	stop_node(n);
	push(s, make_ev(s, EV_START, -1 - i),
	     s->now_us + (random_below(s, 2) ? 10 * MS : random_below(s, 3 * SEC)));
}

static void change_rates(struct sim *s)
{
	struct version *v = &s->versions[s->n_versions];

	if (s->n_versions == VERSIONS_MAX)
		return;
	update_reference(s);
	*v = s->versions[s->n_versions - 1];
	s->versions[s->n_versions - 1].replaced_us = s->now_us;
	v->rate[0].rate_mtok_s = 10000 + random_below(s, 100000);
	if (random_below(s, 3))
		v->rate[1].burst_tokens = 2 + random_below(s, 40);
	assign_slots(s, v);
	s->n_versions++;
	for (int i = 0; i < s->n_nodes; i++)
		push(s, make_ev(s, EV_CONFIG, i), s->now_us + random_below(s, SPREAD_US));
	update_reference(s);
}

/* Returns the node that a fault affects, mostly a holder of a slot, as their faults matter most. */
static int pick_fault_node(struct sim *s)
{
	uint32_t slot = (uint32_t)random_below(s, s->n_slots);

	for (int i = 0; i < s->n_nodes && random_below(s, 8); i++) {
		const struct node *n = &s->nodes[i];

		if (n->alive && br_slots_may_grant(n->slots, slot, local_time_us(s, n)))
			return i;
	}
	return (int)random_below(s, (uint64_t)s->n_nodes);
}

#define FAULT_CHANGE_RATES (1U << 8)

/*
 * Limits most runs to a few kinds of faults. With fewer faults the fleet uses up its rate, so that
 * a small excess is detected.
 */
static void choose_faults(struct sim *s)
{
	s->fault_kinds = 1U << random_below(s, 9);
	s->fault_kinds |= 1U << random_below(s, 9);
	if (!random_below(s, 3))
		s->fault_kinds |= FAULT_CHANGE_RATES;
	if (!random_below(s, 4))
		s->fault_kinds = 0x1ff;
	if (random_below(s, 3) == 0)
		s->delay_one_in = 3 + random_below(s, 30);
	if (random_below(s, 3) == 0)
		s->loss_one_in = 20 + random_below(s, 40);
	if (random_below(s, 3) == 0)
		s->duplicate_one_in = 3 + random_below(s, 30);
}

static void on_fault(struct sim *s)
{
	int i = pick_fault_node(s);
	struct node *n = &s->nodes[i];
	uint64_t kind = random_below(s, 9);

	if (!(s->fault_kinds >> kind & 1)) {
		push(s, make_ev(s, EV_FAULT, -1), s->now_us + 200 * MS);
		return;
	}
	push(s, make_ev(s, EV_FAULT, -1), s->now_us + SEC + random_below(s, 4 * SEC));
	switch (kind) {
	case 0:
	case 1:
		kill_node(s, i);
		return;
	case 2:
	case 3:
		n->paused_until_us = s->now_us + (random_below(s, 4) ? random_below(s, 3 * TERM_US)
								     : random_below(s, 10 * SEC));
		return;
	case 4:
		s->platform_down = true;
		break;
	case 5:
		for (int k = 0; k < s->n_nodes; k++)
			s->nodes[k].platform_blocked |= s->nodes[k].zone_no == n->zone_no;
		break;
	case 6:
		for (int z = 0; z < ZONES; z++) {
			s->blocked[n->zone_no][z] = z != n->zone_no;
			s->blocked[z][n->zone_no] = z != n->zone_no && random_below(s, 2);
		}
		for (int k = 0; k < s->n_nodes && kind == 6 && n->zone_no == 0; k++)
			s->nodes[k].platform_blocked |= s->nodes[k].zone_no == 0;
		break;
	case 7:
		if (n->alive && !n->stopping) {
			n->stopping = true;
			n->stop_us = s->now_us;
			br_slots_release_all(n->slots, local_time_us(s, n));
			refresh_entitlements(s, n);
		}
		return;
	default:
		change_rates(s);
		return;
	}
	push(s, make_ev(s, EV_HEAL, -1),
	     s->now_us +
		     (random_below(s, 2) ? random_below(s, 4 * SEC) : random_below(s, 15 * SEC)));
}

static void heal(struct sim *s)
{
	s->platform_down = false;
	memset(s->blocked, 0, sizeof(s->blocked));
	for (int i = 0; i < s->n_nodes; i++)
		s->nodes[i].platform_blocked = false;
}

static void on_config(struct sim *s, int i)
{
	struct node *n = &s->nodes[i];
	int z = n->zone_no;

	/* A partitioned zone gets the change only after the partition has ended. */
	if (s->blocked[(z + 1) % ZONES][z] || s->blocked[(z + 2) % ZONES][z]) {
		push(s, make_ev(s, EV_CONFIG, i), s->now_us + 100 * MS);
		return;
	}
	update_reference(s);
	n->version = s->n_versions - 1;
	refresh_entitlements(s, n);
	for (int a = 0; a < ACCOUNTS; a++)
		update_holders(s, n, a);
}

static void on_node_event(struct sim *s, struct ev *e)
{
	struct node *n = &s->nodes[e->node];
	int a = e->account;

	switch (e->kind) {
	case EV_TICK:
		on_tick(s, e->node);
		break;
	case EV_RETRY:
		take_token(s, e->node, a, false, e->time_us);
		break;
	case EV_CONFIRM:
		confirm_take(s, e->node, a, e->time_us, e->lease_until_us);
		break;
	case EV_REQ:
		on_req(s, e);
		break;
	case EV_REP:
		br_bucket_apply(n->buckets[a], &e->holder, &e->rep, local_time_us(s, n));
		break;
	case EV_GOSSIP:
		for (uint32_t k = 0; k < s->n_slots; k++)
			br_slots_merge(n->slots, k, &e->entries[k]);
		break;
	case EV_RESULT:
		on_result(s, e);
		break;
	default:
		on_config(s, e->node);
		break;
	}
}

static void step(struct sim *s)
{
	struct ev *e = pop(s);
	struct node *n = e->node >= 0 ? &s->nodes[e->node] : NULL;

	s->now_us = e->at_us;
	if (e->kind == EV_ARRIVAL) {
		on_arrival(s, e);
	} else if (e->kind == EV_EFFECT) {
		on_effect(s, e);
	} else if (e->kind == EV_FAULT) {
		on_fault(s);
	} else if (e->kind == EV_HEAL) {
		heal(s);
	} else if (e->kind == EV_RETIRE) {
		s->retired[s->n_retired++] =
			(struct br_slot_retired){e->holder.node, e->holder.incarnation};
	} else if (e->kind == EV_START) {
		start_node(s, -1 - e->node);
	} else if (n && n->alive && (!e->incarnation || e->incarnation == n->incarnation)) {
		if (s->now_us < n->paused_until_us) {
			push(s, e, n->paused_until_us);
			return;
		}
		on_node_event(s, e);
	}
	free_ev(e);
}

static void prepare(struct sim *s, uint64_t seed, bool faults)
{
	static const uint32_t slot_counts[] = {1, 2, 1, 4, 12, 24};

	memset(s, 0, sizeof(*s));
	br_rng_seed(&s->rng, seed);
	s->faults = faults;
	s->end_us = faults ? 25 * SEC : 16 * SEC;
	s->measure_from_us = 8 * SEC;
	s->n_nodes = 3 + (int)random_below(s, 4);
	s->n_slots = slot_counts[faults ? random_below(s, 6) : 3 + random_below(s, 3)];
	s->node0_percent = random_below(s, 2) ? 90 : 0;
	s->n_versions = 1;
	s->versions[0].rate[0] =
		(struct rate){30000 + random_below(s, 60000),
			      faults ? 4 + random_below(s, 20) : 10 + random_below(s, 60)};
	s->versions[0].rate[1] =
		(struct rate){5000 + random_below(s, 20000), 1 + random_below(s, 30)};
	for (int a = 0; a < ACCOUNTS; a++) {
		struct ev *e = make_ev(s, EV_ARRIVAL, -1);
		struct rate *r = &s->versions[0].rate[a];

		if (!faults)
			r->burst_tokens += 8 * (uint64_t)s->n_nodes;
		s->demand_mtok_s[a] = faults ? r->rate_mtok_s * (2 + random_below(s, 3))
					     : r->rate_mtok_s * (50 + random_below(s, 41)) / 100;
		s->references[a].limit =
			(struct br_slot_part){r->rate_mtok_s, r->burst_tokens * BR_NTOK_PER_TOKEN};
		s->references[a].tokens = r->burst_tokens * BR_NTOK_PER_TOKEN;
		e->account = a;
		push(s, e, 0);
	}
	assign_slots(s, &s->versions[0]);
	for (int i = 0; i < s->n_nodes; i++) {
		s->nodes[i].clock_offset_us = random_below(s, 1000 * SEC);
		s->nodes[i].clock_error_ppm = (int64_t)random_below(s, 20001) - 10000;
		start_node(s, i);
	}
	if (!faults)
		return;
	choose_faults(s);
	push(s, make_ev(s, EV_FAULT, -1), 3 * SEC);
}

static bool run_seed(uint64_t seed, bool faults)
{
	struct sim *s = malloc(sizeof(*s));
	uint64_t sum;

	cr_assert(s);
	prepare(s, seed, faults);
	while (s->heap[0]->at_us < s->end_us && !s->failure[0])
		step(s);
	sum = s->admitted[0] + s->admitted[1];
	if (!s->failure[0] && !faults && sum * 100 < s->ideal_admitted * 99)
		snprintf(s->failure, sizeof(s->failure),
			 "admitted %lu of %lu requests that were within the rate",
			 (unsigned long)sum, (unsigned long)s->ideal_admitted);
	if (!s->failure[0] && !sum)
		snprintf(s->failure, sizeof(s->failure), "nothing was admitted");
	if (s->failure[0])
		fprintf(stderr, "seed %lu: %s; repeat: BR_SEED=%lu test_rates --filter rates/%s\n",
			(unsigned long)seed, s->failure, (unsigned long)seed,
			faults ? "never_exceeds" : "admits_what_is_within");
	faults = !s->failure[0];
	for (int i = 0; i < s->n_nodes; i++)
		stop_node(&s->nodes[i]);
	while (s->n_heap)
		free_ev(pop(s));
	free(s->heap);
	free(s);
	return faults;
}

static void run_seeds(uint64_t count, bool faults)
{
	const char *single_seed = getenv("BR_SEED");
	const char *duration = getenv("BR_DURATION_S");
	time_t end = time(NULL) + (duration ? atol(duration) : 0);
	const char *first_seed = getenv("BR_FIRST_SEED");
	uint64_t seed = first_seed ? strtoull(first_seed, NULL, 10) : 1;
	uint64_t failed = 0;

	if (single_seed) {
		cr_assert(run_seed(strtoull(single_seed, NULL, 10), faults));
		return;
	}
	for (; seed <= count || time(NULL) < end; seed++)
		failed += !run_seed(seed, faults);
	cr_assert_eq(failed, 0, "%lu of %lu seeds failed", (unsigned long)failed,
		     (unsigned long)seed - 1);
}

/* Guards against admissions beyond rate * t + burst under any mix of faults. */
Test(rates, never_exceeds)
{
	run_seeds(160, true);
}

/* Guards against wrong refusals: without faults, 99% of the demand within the rate is admitted. */
Test(rates, admits_what_is_within)
{
	run_seeds(40, false);
}
