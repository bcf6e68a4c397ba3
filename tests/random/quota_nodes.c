/*
 * Rates of accounts shared by 100 and 300 nodes through a keeper, with passed-in time: calm accounts
 * within their rates, hot ones far beyond, bursts, lost datagrams, keepers that die and keepers that
 * go on without a lease while others already ask their successor. Checks that no account gets more
 * than its rate allows in any window, and that calm ones are hardly refused while a keeper answers.
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
#define SEEDS 4

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

struct wait {
	uint32_t node, account;
	uint64_t started_us, asked_us, answer_us;
	uint32_t granted;
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
	struct node nodes[NODES_MAX];
	struct account accounts[ACCOUNTS];
	struct wait waits[WAITS_MAX];
};

static struct world w;

static uint64_t below(uint64_t n)
{
	return br_rng_below(&w.rng, n);
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
	if (account < HOT_ACCOUNTS || w.now_us < w.calm_from_us)
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

static void ask(struct wait *wait)
{
	struct node *n = &w.nodes[wait->node];
	const struct account *a = account_of(wait);
	struct keeper *k = &w.keepers[n->keeper];
	double excess_factor = k->shared ? 1 : 1.05;
	uint32_t tokens = 1;

	wait->asked_us = w.now_us;
	if (!k->answers || below(100) < w.loss_percent)
		return;
	cr_assert_eq(br_quota_allocator_heartbeat(k->allocator, wait->node + 1, w.now_us), 0);
	if (wait->started_us == w.now_us)
		tokens += br_quota_client_tokens_to_request(n->client, wait->account + 1, w.now_us);
	wait->granted = br_quota_allocator_grant(
		k->allocator, wait->account + 1, a->rate_per_s * excess_factor,
		a->rate_per_s * excess_factor + SLACK / 2, tokens, w.now_us);
	if (below(100) >= w.loss_percent)
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
	const struct br_quota_limit limit = {.rate_per_s = a->rate_per_s,
					     .burst = a->rate_per_s,
					     .tolerated = 0.2 * a->rate_per_s + SLACK};
	uint64_t waited_us = w.now_us - wait->started_us;

	if (wait->answer_us && w.now_us >= wait->answer_us) {
		br_quota_client_answered(n->client, w.now_us);
		br_quota_client_add_grant(n->client, wait->account + 1, wait->granted,
					  wait->asked_us);
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

static void step_nodes(void)
{
	for (uint32_t i = 0; i < w.n_nodes; i++) {
		struct node *n = &w.nodes[i];

		if (w.now_us >= n->switch_us)
			n->keeper = w.n_keepers - 1;
		if (w.now_us < n->heartbeat_us)
			continue;
		n->heartbeat_us = w.now_us + BR_QUOTA_REQUEST_INTERVAL_US;
		if (w.keepers[n->keeper].answers && below(100) >= w.loss_percent) {
			cr_assert_eq(br_quota_allocator_heartbeat(w.keepers[n->keeper].allocator,
								  i + 1, w.now_us),
				     0);
			br_quota_client_answered(n->client, w.now_us);
		}
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

static void run_seed(uint64_t seed, uint32_t n_nodes)
{
	uint64_t elect_us = UINT64_MAX, disturb_us;

	create_world(seed, n_nodes);
	disturb_us = 8 * BR_US_PER_S + below(4 * BR_US_PER_S);
	for (; w.now_us < RUN_US; w.now_us += STEP_US) {
		if (w.now_us >= disturb_us) {
			disturb_us = w.now_us + 10 * BR_US_PER_S;
			disturb_keeper(&elect_us);
		}
		if (w.now_us >= elect_us) {
			elect_us = UINT64_MAX;
			start_keeper();
		}
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

Test(quota_nodes, hundreds_of_nodes_share_rates)
{
	const char *single_seed = getenv("BR_SEED");
	uint64_t first = single_seed ? strtoull(single_seed, NULL, 10) : 1;

	for (uint64_t seed = first; seed < first + (single_seed ? 1 : SEEDS); seed++) {
		run_seed(seed, 100);
		run_seed(seed, 300);
	}
}
