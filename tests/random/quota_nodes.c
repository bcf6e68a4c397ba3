/*
 * Rates of accounts shared by many nodes through a keeper, with passed-in time: calm accounts within
 * their rates, hot ones far beyond, bursts, lost datagrams, keepers that die, keepers that go on
 * without a lease while others already ask their successor, zones that are cut off and keepers that
 * freeze for parts of a second again and again. Checks that no account gets more than its rate
 * allows in any window, and that calm ones are hardly refused while a keeper answers.
 * BR_SEED runs one seed.
 */
#include "briarreel/quota.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>

#define NODES_MAX 300
#define ACCOUNTS 12
#define HOT_ACCOUNTS 3
#define WAITS_MAX 4096
#define STEP_US (5 * BR_US_PER_MS)
#define RUN_US (30 * BR_US_PER_S)
/* Time from a request for tokens to its grant. */
#define ROUND_TRIP_US (5 * BR_US_PER_MS)
#define RESEND_US (40 * BR_US_PER_MS)
#define FALLBACK_US (120 * BR_US_PER_MS)
#define WAIT_MAX_US (375 * BR_US_PER_MS)
/* Nodes learn of a new keeper within this time. */
#define SWITCH_US (1000 * BR_US_PER_MS)
#define WINDOW_STEPS (5 * BR_US_PER_S / STEP_US)
#define RUN_STEPS (RUN_US / STEP_US)
/* Excess over rate and burst that the operator tolerates in a window. */
#define OVERAGE 1.1
#define SLACK 20.0
/* Part of it that nodes may spend before the keeper reserves their parts. */
#define OVERLAP_PART 0.25
#define SEEDS 4
#define ZONES 4
/* A zone that flaps is cut off for the first part of each period, a keeper that flaps is frozen. */
#define CUT_PERIOD_US (1050 * BR_US_PER_MS)
#define CUT_US (900 * BR_US_PER_MS)
#define FREEZE_PERIOD_US (500 * BR_US_PER_MS)
#define FREEZE_US (300 * BR_US_PER_MS)
/* Time after the end of a cut or freeze from which refusals of calm accounts count. */
#define SETTLE_US (2 * BR_US_PER_S)

struct keeper {
	struct br_quota_allocator *allocator;
	bool answers;
	/** Its lease has ended. */
	bool shared;
};

struct node {
	struct br_quota_client *client;
	/** Keeper that the node asks: index into keepers, and when it changes to the latest one. */
	uint32_t keeper;
	uint64_t switch_us, heartbeat_us;
};

/** A series of short cuts of a zone, or of freezes of the keeper's process. */
struct series {
	uint64_t from_us, until_us;
	uint32_t zone;
	bool freeze;
};

struct wait {
	uint32_t node, account;
	uint64_t started_us, asked_us, answer_us;
	uint32_t granted;
	/** Debt that the request has told the keeper. */
	uint32_t spent;
	bool used;
};

struct account {
	double rate_per_s, demand_per_s;
	uint32_t admitted[RUN_STEPS];
	uint64_t n_calm, n_calm_refused;
};

struct world {
	struct br_rng rng;
	uint64_t seed, now_us, calm_from_us;
	uint32_t n_nodes, n_keepers, loss_percent;
	struct keeper keepers[16];
	struct series series[8];
	uint32_t n_series;
	struct node nodes[NODES_MAX];
	struct account accounts[ACCOUNTS];
	struct wait waits[WAITS_MAX];
};

static struct world w;

static uint64_t below(uint64_t n)
{
	return br_rng_below(&w.rng, n);
}

/* Tests whether datagrams between a node and the keeper, which is in zone 0, are lost now. */
static bool is_cut(uint32_t node)
{
	for (uint32_t i = 0; i < w.n_series; i++) {
		const struct series *s = &w.series[i];
		uint64_t since_us = w.now_us - s->from_us;

		if (w.now_us < s->from_us || w.now_us >= s->until_us)
			continue;
		if (s->freeze ? since_us % FREEZE_PERIOD_US < FREEZE_US
			      : since_us % CUT_PERIOD_US < CUT_US && node % ZONES == s->zone)
			return true;
	}
	return false;
}

static bool is_lost(uint32_t node)
{
	return is_cut(node) || below(100) < w.loss_percent;
}

static bool is_calm(void)
{
	for (uint32_t i = 0; i < w.n_series; i++)
		if (w.now_us >= w.series[i].from_us && w.now_us < w.series[i].until_us + SETTLE_US)
			return false;
	return w.now_us >= w.calm_from_us;
}

static struct account *account_of(const struct wait *wait)
{
	return &w.accounts[wait->account];
}

static void admit(uint32_t account)
{
	w.accounts[account].admitted[w.now_us / STEP_US]++;
}

/* A request of a calm account counts if a keeper has answered all nodes for a while. */
static void count_end(uint32_t account, bool admitted)
{
	struct account *a = &w.accounts[account];

	if (admitted)
		admit(account);
	if (account < HOT_ACCOUNTS || !is_calm())
		return;
	a->n_calm++;
	a->n_calm_refused += !admitted;
}

static void start_keeper(void)
{
	struct keeper *k = &w.keepers[w.n_keepers++];

	k->allocator = br_quota_allocator_create(w.now_us);
	cr_assert(k->allocator);
	br_quota_allocator_set_nodes(k->allocator, w.n_nodes);
	k->answers = true;
	for (uint32_t i = 0; i < w.n_nodes; i++)
		w.nodes[i].switch_us = w.now_us + below(SWITCH_US);
	w.calm_from_us = w.now_us + SWITCH_US + BR_QUOTA_NODE_TIMEOUT_US + BR_US_PER_S;
}

/* The current keeper dies, or goes on while a successor is already elected, or just loses time. */
static void disturb_keeper(uint64_t *elect_us)
{
	w.calm_from_us = UINT64_MAX;
	w.keepers[w.n_keepers - 1].answers = below(2);
	w.keepers[w.n_keepers - 1].shared = true;
	br_quota_allocator_set_exclusive(w.keepers[w.n_keepers - 1].allocator, false);
	/* Mostly a lease; longer for nodes that are cut off from the others. */
	*elect_us = w.now_us + below((below(4) ? 3 : 9) * BR_US_PER_S);
}

/* Tells the keeper what the node has spent of its part, as each request does. */
static void charge(struct keeper *k, uint32_t node, uint32_t account)
{
	struct br_quota_debt debt = br_quota_client_debt(w.nodes[node].client, account + 1);
	double rate_per_s = w.accounts[account].rate_per_s * (k->shared ? 1 : 1.05);

	br_quota_allocator_charge(k->allocator, node + 1, account + 1, rate_per_s,
				  rate_per_s + SLACK / 2, &debt, w.now_us);
}

static void ask(struct wait *wait)
{
	struct node *n = &w.nodes[wait->node];
	const struct account *a = account_of(wait);
	struct keeper *k = &w.keepers[n->keeper];
	double excess_factor = k->shared ? 1 : 1.05;
	uint32_t tokens = 1;

	wait->asked_us = w.now_us;
	if (!k->answers || is_lost(wait->node))
		return;
	cr_assert_eq(br_quota_allocator_heartbeat(k->allocator, wait->node + 1, w.now_us), 0);
	charge(k, wait->node, wait->account);
	if (wait->started_us == w.now_us)
		tokens += br_quota_client_tokens_to_request(n->client, wait->account + 1, w.now_us);
	wait->granted = br_quota_allocator_grant(
		k->allocator, wait->account + 1, a->rate_per_s * excess_factor,
		a->rate_per_s * excess_factor + SLACK / 2, tokens, w.now_us);
	wait->spent = br_quota_client_debt(n->client, wait->account + 1).spent;
	if (!is_lost(wait->node))
		wait->answer_us = w.now_us + ROUND_TRIP_US;
}

static void arrive(uint32_t account)
{
	uint32_t node = (uint32_t)below(w.n_nodes);

	if (br_quota_client_take(w.nodes[node].client, account + 1, w.now_us)) {
		count_end(account, true);
		return;
	}
	for (uint32_t i = 0; i < WAITS_MAX; i++) {
		if (w.waits[i].used)
			continue;
		w.waits[i] = (struct wait){
			.node = node, .account = account, .started_us = w.now_us, .used = true};
		ask(&w.waits[i]);
		return;
	}
	cr_assert_fail("more requests wait than the test has room for");
}

static void step_wait(struct wait *wait)
{
	struct node *n = &w.nodes[wait->node];
	const struct account *a = account_of(wait);
	const struct br_quota_limit limit = {
		.rate_per_s = a->rate_per_s,
		.burst = a->rate_per_s,
		.tolerated = 0.2 * a->rate_per_s + SLACK,
		.overlap = OVERLAP_PART * ((OVERAGE - 1) * 6 * a->rate_per_s + SLACK)};
	uint64_t waited_us = w.now_us - wait->started_us;

	if (wait->answer_us && w.now_us >= wait->answer_us) {
		br_quota_client_answered(n->client, w.now_us);
		br_quota_client_add_grant(n->client, wait->account + 1, wait->granted,
					  wait->asked_us);
		br_quota_client_debt_charged(n->client, wait->account + 1, wait->spent);
		wait->used = false;
		count_end(wait->account,
			  br_quota_client_take(n->client, wait->account + 1, w.now_us));
	} else if (waited_us >= FALLBACK_US &&
		   br_quota_client_take_fallback(n->client, wait->account + 1, &limit, w.n_nodes,
						 w.now_us)) {
		wait->used = false;
		count_end(wait->account, true);
	} else if (waited_us >= WAIT_MAX_US) {
		wait->used = false;
		count_end(wait->account, false);
	} else if (!wait->answer_us && w.now_us - wait->asked_us >= RESEND_US) {
		ask(wait);
	}
}

/* A message without requests for tokens, and its answer. */
static void send_heartbeat(uint32_t node)
{
	struct node *n = &w.nodes[node];
	struct keeper *k = &w.keepers[n->keeper];

	cr_assert_eq(br_quota_allocator_heartbeat(k->allocator, node + 1, w.now_us), 0);
	br_quota_client_answered(n->client, w.now_us);
	for (uint32_t account = 0; account < ACCOUNTS; account++) {
		charge(k, node, account);
		br_quota_client_debt_charged(n->client, account + 1,
					     br_quota_client_debt(n->client, account + 1).spent);
	}
}

static void step_nodes(void)
{
	for (uint32_t i = 0; i < w.n_nodes; i++) {
		struct node *n = &w.nodes[i];

		if (w.now_us >= n->switch_us)
			n->keeper = w.n_keepers - 1;
		if (w.now_us < n->heartbeat_us)
			continue;
		n->heartbeat_us = w.now_us + BR_QUOTA_REQUEST_INTERVAL_US;
		if (w.keepers[n->keeper].answers && !is_lost(i))
			send_heartbeat(i);
	}
}

static void step_arrivals(void)
{
	bool burst = w.now_us / BR_US_PER_S % 8 == 5;

	for (uint32_t k = 0; k < ACCOUNTS; k++) {
		double expected = w.accounts[k].demand_per_s * STEP_US / BR_US_PER_S;

		/* Calm accounts send twice as much in a burst. One hot account gathers its burst. */
		if (k >= HOT_ACCOUNTS && burst)
			expected *= 2;
		if (k == 0 && w.now_us / BR_US_PER_S % 11 < 5)
			expected = 0;

		while (expected > 0) {
			if ((double)below(1000000) < expected * 1000000)
				arrive(k);
			expected -= 1;
		}
	}
}

static void create_world(uint64_t seed, uint32_t n_nodes)
{
	w = (struct world){.seed = seed, .n_nodes = n_nodes, .now_us = STEP_US};
	br_rng_seed(&w.rng, seed);
	w.loss_percent = (uint32_t)below(4);
	for (uint32_t i = 0; i < n_nodes; i++) {
		w.nodes[i].client = br_quota_client_create(br_rng_next(&w.rng));
		cr_assert(w.nodes[i].client);
		w.nodes[i].heartbeat_us = below(BR_QUOTA_REQUEST_INTERVAL_US);
	}
	for (uint32_t k = 0; k < ACCOUNTS; k++) {
		struct account *a = &w.accounts[k];

		a->rate_per_s = (double)(10 + below(60));
		a->demand_per_s = a->rate_per_s * (k < HOT_ACCOUNTS ? 6 : 0.55);
	}
	start_keeper();
}

static void destroy_world(void)
{
	for (uint32_t i = 0; i < w.n_nodes; i++)
		br_quota_client_destroy(w.nodes[i].client);
	for (uint32_t i = 0; i < w.n_keepers; i++)
		br_quota_allocator_destroy(w.keepers[i].allocator);
}

static void check_account(uint32_t account)
{
	const struct account *a = &w.accounts[account];
	double bound = (a->rate_per_s * 5 + a->rate_per_s) * OVERAGE + SLACK;
	uint32_t sum = 0;

	for (size_t i = 0; i < RUN_STEPS; i++) {
		sum += a->admitted[i];
		if (i >= WINDOW_STEPS)
			sum -= a->admitted[i - WINDOW_STEPS];
		cr_assert_leq(
			sum, bound,
			"seed %llu, %u nodes: account %u got %u in a window to %.2f s, bound %.0f",
			(unsigned long long)w.seed, w.n_nodes, account, sum,
			(double)i * STEP_US / BR_US_PER_S, bound);
	}
	cr_assert_leq(a->n_calm_refused * 100, a->n_calm,
		      "seed %llu, %u nodes: account %u: %llu of %llu within the rate refused",
		      (unsigned long long)w.seed, w.n_nodes, account,
		      (unsigned long long)a->n_calm_refused, (unsigned long long)a->n_calm);
}

static void disturb_and_elect(uint64_t *disturb_us, uint64_t *elect_us)
{
	if (w.now_us >= *disturb_us) {
		*disturb_us = w.now_us + 10 * BR_US_PER_S;
		disturb_keeper(elect_us);
	}
	if (w.now_us >= *elect_us) {
		*elect_us = UINT64_MAX;
		start_keeper();
	}
}

static void run_world(bool keepers_change)
{
	uint64_t elect_us = UINT64_MAX, disturb_us = UINT64_MAX;

	if (keepers_change)
		disturb_us = 8 * BR_US_PER_S + below(4 * BR_US_PER_S);
	for (; w.now_us < RUN_US; w.now_us += STEP_US) {
		disturb_and_elect(&disturb_us, &elect_us);
		step_nodes();
		for (uint32_t i = 0; i < WAITS_MAX; i++)
			if (w.waits[i].used)
				step_wait(&w.waits[i]);
		step_arrivals();
	}
	for (uint32_t k = 0; k < ACCOUNTS; k++)
		check_account(k);
	destroy_world();
}

static void add_series(void)
{
	uint64_t from_us = (4 + below(20)) * BR_US_PER_S;

	w.series[w.n_series++] = (struct series){
		.from_us = from_us,
		.until_us = from_us + (1 + below(6)) * BR_US_PER_S,
		.zone = 1 + (uint32_t)below(ZONES - 1),
		.freeze = below(3) == 0,
	};
}

static uint64_t first_seed(uint64_t *n)
{
	const char *single_seed = getenv("BR_SEED");

	*n = single_seed ? 1 : SEEDS;
	return single_seed ? strtoull(single_seed, NULL, 10) : 1;
}

Test(quota_nodes, hundreds_of_nodes_share_rates)
{
	uint64_t n, first = first_seed(&n);

	for (uint64_t seed = first; seed < first + n; seed++) {
		create_world(seed, 100);
		run_world(true);
		create_world(seed, 300);
		run_world(true);
	}
}

/*
 * Guards against a part of a rate that the keeper and the nodes that it cannot reach both spend, again
 * with each short cut of a link and each short freeze of the keeper.
 */
Test(quota_nodes, a_rate_holds_while_links_flap)
{
	static const uint32_t sizes[] = {16, 95, 300};
	uint64_t n, first = first_seed(&n);

	for (uint64_t seed = first; seed < first + n; seed++) {
		for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
			create_world(seed, sizes[i]);
			for (uint32_t k = 0; k < 4; k++)
				add_series();
			run_world(seed % 2 == 0);
		}
	}
}
