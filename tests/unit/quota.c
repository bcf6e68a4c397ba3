#include "briarreel/quota.h"

#include <criterion/criterion.h>

#define SECOND BR_US_PER_S

/* Guards against a keeper that grants more than rate and burst in any period. */
Test(quota, keeper_never_exceeds_rate_and_burst)
{
	struct br_quota_allocator *k = br_quota_allocator_create(SECOND);
	uint32_t granted = 0;

	cr_assert_eq(br_quota_allocator_heartbeat(k, 1, SECOND), 0);
	for (uint64_t now = SECOND; now <= 11 * SECOND; now += 10 * BR_US_PER_MS) {
		cr_assert_eq(br_quota_allocator_heartbeat(k, 1, now), 0);
		granted += br_quota_allocator_grant(k, 7, 20, 5, 100, now);
	}
	cr_assert_leq(granted, 20 * 10 + 5);
	cr_assert_geq(granted, 20 * 10 - 1);
	br_quota_allocator_destroy(k);
}

/* Guards against tokens that accumulate without bound while an account is idle. */
Test(quota, keeper_accumulates_at_most_the_burst)
{
	struct br_quota_allocator *k = br_quota_allocator_create(SECOND);

	cr_assert_eq(br_quota_allocator_heartbeat(k, 1, 60 * SECOND), 0);
	cr_assert_eq(br_quota_allocator_grant(k, 7, 20, 5, 100, 60 * SECOND), 5);
	br_quota_allocator_destroy(k);
}

/* A new keeper does not know what its predecessor granted, so it starts without a burst. */
Test(quota, new_keeper_starts_empty)
{
	struct br_quota_allocator *k = br_quota_allocator_create(SECOND);

	cr_assert_eq(br_quota_allocator_heartbeat(k, 1, SECOND), 0);
	cr_assert_eq(br_quota_allocator_grant(k, 7, 10, 50, 100, SECOND), 0);
	cr_assert_eq(br_quota_allocator_heartbeat(k, 1, 2 * SECOND), 0);
	cr_assert_eq(br_quota_allocator_grant(k, 7, 10, 50, 100, 2 * SECOND), 10);
	br_quota_allocator_destroy(k);
}

/*
 * Guards against using a part of the rate twice: nodes that cannot reach the keeper still spend
 * their own part.
 */
Test(quota, keeper_withholds_the_part_of_silent_nodes)
{
	struct br_quota_allocator *k = br_quota_allocator_create(SECOND);
	uint32_t granted = 0;

	br_quota_allocator_set_nodes(k, 4);
	for (uint64_t now = SECOND; now <= 11 * SECOND; now += 100 * BR_US_PER_MS) {
		cr_assert_eq(br_quota_allocator_heartbeat(k, 1, now), 0);
		cr_assert_eq(br_quota_allocator_unreachable(k, now), 3);
		granted += br_quota_allocator_grant(k, 7, 40, 1, 100, now);
	}
	cr_assert_leq(granted, 10 * 10 + 1);
	cr_assert_geq(granted, 10 * 10 - 1);
	br_quota_allocator_destroy(k);
}

/*
 * Guards against two keepers that grant the same part: one whose lease has ended goes on for those
 * that still ask it, with their parts of rate and burst.
 */
Test(quota, keeper_that_may_not_be_the_only_one)
{
	struct br_quota_allocator *k = br_quota_allocator_create(SECOND);
	uint32_t granted = 0;

	br_quota_allocator_set_nodes(k, 4);
	cr_assert_eq(br_quota_allocator_heartbeat(k, 3, 5 * SECOND), 0);
	cr_assert_eq(br_quota_allocator_heartbeat(k, 4, 5 * SECOND), 0);
	br_quota_allocator_set_exclusive(k, false);
	for (uint64_t now = 5 * SECOND; now <= 15 * SECOND; now += 50 * BR_US_PER_MS) {
		cr_assert_eq(br_quota_allocator_heartbeat(k, 1, now), 0);
		cr_assert_eq(br_quota_allocator_heartbeat(k, 2, now), 0);
		if (now == 5 * SECOND + 400 * BR_US_PER_MS)
			cr_assert_eq(br_quota_allocator_unreachable(k, now), 2);
		granted += br_quota_allocator_grant(k, 7, 40, 30, 100, now);
	}
	/* Half of the rate for 10 s, the other half for 0.35 s, and the burst that was there. */
	cr_assert_leq(granted, 40 * 10 / 2 + 40 * 4 / 10 / 2 + 30);
	cr_assert_geq(granted, 40 * 10 / 2 - 2);
	/* Nobody asks it any more: only the smallest bucket is left. */
	cr_assert_leq(br_quota_allocator_grant(k, 7, 40, 30, 100, 30 * SECOND), 1);
	br_quota_allocator_destroy(k);
}

/* Guards against tokens that are spent long after the keeper has counted them. */
Test(quota, granted_tokens_expire)
{
	struct br_quota_client *client = br_quota_client_create(1);

	br_quota_client_add_grant(client, 7, 2, SECOND);
	cr_assert(br_quota_client_take(client, 7, SECOND + BR_QUOTA_GRANT_TTL_US - 1));
	cr_assert_not(br_quota_client_take(client, 7, SECOND + BR_QUOTA_GRANT_TTL_US));
	/* A later grant does not make the expired token valid again. */
	br_quota_client_add_grant(client, 7, 1, 2 * SECOND);
	cr_assert(br_quota_client_take(client, 7, 2 * SECOND));
	cr_assert_not(br_quota_client_take(client, 7, 2 * SECOND));
	br_quota_client_destroy(client);
}

/* A node without a keeper gets its part of the rate and accumulates at most two tokens. */
Test(quota, part_without_a_keeper)
{
	static const struct br_quota_limit limit = {.rate_per_s = 40, .burst = 2};
	struct br_quota_client *client = br_quota_client_create(1);
	uint32_t taken = 0;

	for (uint64_t now = SECOND; now <= 11 * SECOND; now += 10 * BR_US_PER_MS)
		taken += br_quota_client_take_fallback(client, 7, &limit, 4, now);
	cr_assert_leq(taken, 10 * 10 + 2);
	cr_assert_geq(taken, 10 * 10 - 1);
	br_quota_client_destroy(client);
}

/* Tokens are requested in advance only for accounts whose demand spends them before they expire. */
Test(quota, requests_tokens_by_demand)
{
	struct br_quota_client *client = br_quota_client_create(1);

	cr_assert_eq(br_quota_client_tokens_to_request(client, 7, SECOND), 0);
	for (uint64_t now = SECOND; now < 3 * SECOND; now += 20 * BR_US_PER_MS)
		(void)br_quota_client_take(client, 7, now);
	cr_assert_geq(br_quota_client_tokens_to_request(client, 7, 3 * SECOND), 8);
	cr_assert_leq(br_quota_client_tokens_to_request(client, 7, 3 * SECOND), 16);
	cr_assert_leq(br_quota_client_tokens_to_request(client, 7, 60 * SECOND), 1);
	br_quota_client_destroy(client);
}

/*
 * Guards against a burst of all nodes at the moment at which the allocator stops answering: until
 * then it granted the rate itself. A part that is not used is kept for a time only.
 */
Test(quota, parts_of_all_nodes_hold_no_more_than_the_rate)
{
	static const struct br_quota_limit limit = {.rate_per_s = 20, .burst = 10};
	const uint32_t n_nodes = 200;
	uint32_t at_once = 0, later = 0, after_idle = 0;

	for (uint32_t i = 0; i < n_nodes; i++) {
		struct br_quota_client *c = br_quota_client_create(i + 1);

		/* The account was used long before, and the allocator has just answered. */
		(void)br_quota_client_take_fallback(c, 7, &limit, n_nodes, SECOND);
		br_quota_client_answered(c, 60 * SECOND);
		at_once += br_quota_client_take_fallback(c, 7, &limit, n_nodes, 60 * SECOND + 1);
		later += br_quota_client_take_fallback(c, 7, &limit, n_nodes, 63 * SECOND);
		for (int k = 0; k < 3; k++)
			after_idle +=
				br_quota_client_take_fallback(c, 7, &limit, n_nodes, 600 * SECOND);
		br_quota_client_destroy(c);
	}
	cr_assert_eq(at_once, 0);
	/* 10 tokens are the burst; in 3 s all nodes gain 60, of which those of the last 0.5 s count. */
	cr_assert_leq(later, 20);
	cr_assert_leq(after_idle, 20);
	cr_assert_geq(after_idle, 3);
}

/*
 * A calm account is served on while no allocator answers, although a node's part is less than a
 * token; one that was refused lately is not, and neither gets more than is tolerated.
 */
Test(quota, calm_accounts_are_served_beyond_the_parts)
{
	static const struct br_quota_limit limit = {.rate_per_s = 20, .burst = 10, .tolerated = 20};
	const uint32_t n_nodes = 100;
	uint32_t calm = 0, over = 0, unknown = 0;

	for (uint32_t i = 0; i < n_nodes; i++) {
		struct br_quota_client *c = br_quota_client_create(i + 1);

		br_quota_client_add_grant(c, 7, 1, 50 * SECOND);
		br_quota_client_add_grant(c, 8, 1, 50 * SECOND);
		br_quota_client_add_grant(c, 8, 0, 58 * SECOND);
		br_quota_client_answered(c, 60 * SECOND);
		for (int k = 0; k < 5; k++) {
			calm += br_quota_client_take_fallback(c, 7, &limit, n_nodes,
							      60 * SECOND + 1);
			over += br_quota_client_take_fallback(c, 8, &limit, n_nodes,
							      60 * SECOND + 1);
			unknown += br_quota_client_take_fallback(c, 9, &limit, n_nodes,
								 60 * SECOND + 1);
		}
		br_quota_client_destroy(c);
	}
	cr_assert_geq(calm, 15);
	cr_assert_leq(calm, 45);
	cr_assert_eq(over, 0);
	cr_assert_eq(unknown, 0);
}

/* Guards against a part that is spent twice, and against a debt that is charged twice. */
Test(quota, debt_is_charged_once)
{
	struct br_quota_allocator *a = br_quota_allocator_create(SECOND);
	struct br_quota_debt debt = {.spent = 3};

	br_quota_allocator_set_nodes(a, 1);
	for (uint64_t node = 5; node <= 6; node++) {
		cr_assert_eq(br_quota_allocator_heartbeat(a, node, 2 * SECOND), 0);
		cr_assert_eq(br_quota_allocator_heartbeat(a, node, 11 * SECOND), 0);
	}
	cr_assert_eq(br_quota_allocator_charge(a, 5, 7, 1, 10, &debt, 11 * SECOND), 0);
	/* The answer was lost, and the node tells its debt again. */
	cr_assert_eq(br_quota_allocator_charge(a, 5, 7, 1, 10, &debt, 11 * SECOND), 0);
	debt.spent = 5;
	cr_assert_eq(br_quota_allocator_charge(a, 5, 7, 1, 10, &debt, 11 * SECOND), 0);
	/* A debt of another process of which an earlier allocator has charged all but one token. */
	cr_assert_eq(br_quota_allocator_heartbeat(a, 6, 3 * SECOND), 0);
	cr_assert_eq(br_quota_allocator_charge(a, 6, 7, 1, 10,
					       &(struct br_quota_debt){.spent = 40, .charged = 39},
					       11 * SECOND),
		     0);
	cr_assert_eq(br_quota_allocator_grant(a, 7, 1, 10, 100, 11 * SECOND), 10 - 5 - 1);
	br_quota_allocator_destroy(a);
}

/* Guards against a debt for a part that was reserved until the node's first request. */
Test(quota, debt_of_a_first_request_is_not_charged)
{
	struct br_quota_allocator *a = br_quota_allocator_create(SECOND);
	const struct br_quota_debt debt = {.spent = 9};

	br_quota_allocator_set_nodes(a, 1);
	cr_assert_eq(br_quota_allocator_heartbeat(a, 5, 11 * SECOND), 0);
	cr_assert_eq(br_quota_allocator_charge(a, 5, 7, 1, 10, &debt, 11 * SECOND), 0);
	cr_assert_eq(br_quota_allocator_charge(a, 5, 7, 1, 10, &debt, 12 * SECOND), 0);
	cr_assert_eq(br_quota_allocator_grant(a, 7, 1, 10, 100, 12 * SECOND), 10);
	br_quota_allocator_destroy(a);
}

/* Guards against a debt for what the allocator has reserved since it lost the node. */
Test(quota, only_the_beginning_of_a_cut_is_a_debt)
{
	static const struct br_quota_limit limit = {.rate_per_s = 10, .burst = 100, .overlap = 10};
	struct br_quota_client *c = br_quota_client_create(1);
	uint64_t account = 0;
	size_t pos = 0;
	uint32_t taken = 0;

	cr_assert_not(br_quota_client_next_debt(c, &pos, &account));
	br_quota_client_answered(c, 10 * SECOND);
	while (br_quota_client_take_fallback(c, 7, &limit, 1, 10 * SECOND + SECOND / 2))
		taken++;
	cr_assert_geq(taken, 5);
	cr_assert_eq(br_quota_client_debt(c, 7).spent, taken);
	cr_assert(br_quota_client_take_fallback(c, 7, &limit, 1, 13 * SECOND));
	cr_assert_eq(br_quota_client_debt(c, 7).spent, taken);
	pos = 0;
	cr_assert(br_quota_client_next_debt(c, &pos, &account));
	cr_assert_eq(account, 7);
	br_quota_client_debt_charged(c, 7, taken);
	pos = 0;
	cr_assert_not(br_quota_client_next_debt(c, &pos, &account));
	br_quota_client_destroy(c);
}

/*
 * Guards against parts that are spent twice in the second in which the allocator grants them still, by all
 * nodes of a zone that is cut off under an account that is far over its rate (review/14).
 */
Test(quota, parts_are_hardly_spent_before_they_are_reserved)
{
	static const struct br_quota_limit limit = {
		.rate_per_s = 140, .burst = 140, .tolerated = 48, .overlap = 28};
	const uint32_t n_nodes = 14;
	uint32_t early = 0, later = 0;

	for (uint32_t i = 0; i < n_nodes; i++) {
		struct br_quota_client *c = br_quota_client_create(i + 1);

		br_quota_client_add_grant(c, 7, 0, 10 * SECOND);
		br_quota_client_answered(c, 10 * SECOND);
		for (uint64_t now = 10 * SECOND; now < 13 * SECOND; now += 5 * BR_US_PER_MS) {
			bool taken = br_quota_client_take_fallback(c, 7, &limit, n_nodes, now);

			if (now < 10 * SECOND + BR_QUOTA_NODE_TIMEOUT_US)
				early += taken;
			else
				later += taken;
		}
		br_quota_client_destroy(c);
	}
	/* 140 tokens were in this second before. */
	cr_assert_leq(early, 28, "%u", early);
	cr_assert_geq(early, 14);
	/* What is gained in it is not spent later either. */
	cr_assert_leq(later, 2 * 140 + n_nodes);
	cr_assert_geq(later, 2 * 140 - n_nodes);
}
