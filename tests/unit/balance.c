#include "briarreel/balance.h"

#include <criterion/criterion.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>

#define NOW (100 * BR_US_PER_S)
#define PICKS 2000

struct fixture {
	struct br_balance *b;
	struct br_rng rng;
	struct br_balance_candidate c[4];
	int count[4];
};

/* Candidates 0 and 1 are in zone "a", 2 and 3 in zone "b"; all have a limit of 10. */
static struct fixture fixture_create(void)
{
	struct fixture f = {.b = br_balance_create(10 * BR_US_PER_S)};

	br_rng_seed(&f.rng, 5);
	for (int i = 0; i < 4; i++) {
		snprintf(f.c[i].id.text, sizeof(f.c[i].id.text), "10.0.0.%d:80", i);
		f.c[i].zone = i < 2 ? "a" : "b";
		br_balance_request_started(f.b, &f.c[i].id, NOW);
		br_balance_request_ended(f.b, &f.c[i].id, BR_BALANCE_OK, NOW);
		br_balance_record_load(f.b, &f.c[i].id, 0, 10, NOW);
	}
	return f;
}

static void pick_many(struct fixture *f, size_t n, uint64_t now_us)
{
	memset(f->count, 0, sizeof(f->count));
	for (int i = 0; i < PICKS; i++) {
		int k = br_balance_pick(f->b, f->c, n, "a", NULL, 0, &f->rng, now_us);

		cr_assert(k >= 0 && k < (int)n);
		f->count[k]++;
	}
}

static void fail_many(struct fixture *f, int target, uint64_t from_us)
{
	for (uint64_t i = 0; i < 40; i++) {
		br_balance_request_started(f->b, &f->c[target].id, from_us);
		br_balance_request_ended(f->b, &f->c[target].id, BR_BALANCE_ERROR,
					 from_us + i * 20 * BR_US_PER_MS);
	}
}

/*
 * Guards against requests sent to other zones while the own zone has capacity, and against overload
 * of the own zone while other zones are idle.
 */
Test(balance, prefers_its_zone_and_spills_over)
{
	struct fixture f = fixture_create();

	pick_many(&f, 4, NOW);
	cr_assert_eq(f.count[2] + f.count[3], 0);
	for (int i = 0; i < 18; i++)
		br_balance_request_started(f.b, &f.c[i % 2].id, NOW);
	pick_many(&f, 4, NOW);
	cr_assert_gt(f.count[2] + f.count[3], PICKS / 2);
	cr_assert_gt(br_balance_counters(f.b)->spilled, 0);
	cr_assert_eq(br_balance_pick(f.b, f.c, 2, "z", NULL, 0, &f.rng, NOW) < 2, true);
	br_balance_destroy(f.b);
}

/* The more loaded of two targets gets fewer requests; old reports weigh less than new ones. */
Test(balance, compares_load_and_discounts_old_reports)
{
	struct fixture f = fixture_create();

	br_balance_record_load(f.b, &f.c[0].id, 6, 10, NOW);
	pick_many(&f, 2, NOW);
	cr_assert_eq(f.count[0], 0);
	br_balance_request_started(f.b, &f.c[1].id, NOW);
	pick_many(&f, 2, NOW + 30 * BR_US_PER_S);
	cr_assert_eq(f.count[1], 0);
	br_balance_destroy(f.b);
}

/* A reported count includes the node's own requests, which must not be counted twice. */
Test(balance, own_requests_count_once)
{
	struct fixture f = fixture_create();

	for (int i = 0; i < 5; i++) {
		br_balance_request_started(f.b, &f.c[0].id, NOW);
		br_balance_request_started(f.b, &f.c[1].id, NOW);
	}
	br_balance_record_load(f.b, &f.c[0].id, 5, 10, NOW);
	br_balance_record_load(f.b, &f.c[1].id, 5, 10, NOW);
	cr_assert_eq(br_balance_outstanding(f.b, &f.c[0].id), 5);
	pick_many(&f, 4, NOW);
	cr_assert_eq(f.count[2] + f.count[3], 0);
	br_balance_destroy(f.b);
}

/* Guards against a newly joined target that gets a full share of the requests at once. */
Test(balance, ramps_up_new_targets)
{
	struct fixture f = fixture_create();

	f.c[1].joined_us = NOW - 1 * BR_US_PER_S;
	for (int i = 2; i < 4; i++)
		f.c[i].zone = "a";
	br_balance_record_load(f.b, &f.c[0].id, 1, 10, NOW);
	br_balance_record_load(f.b, &f.c[2].id, 1, 10, NOW);
	br_balance_record_load(f.b, &f.c[3].id, 1, 10, NOW);
	pick_many(&f, 4, NOW);
	cr_assert(f.count[1] > 0 && f.count[1] < PICKS / 10, "%d", f.count[1]);
	pick_many(&f, 4, NOW + 10 * BR_US_PER_S);
	cr_assert_gt(f.count[1], PICKS / 3);
	br_balance_destroy(f.b);
}

/* Guards against constant reconnects to a failed target, and against never retrying it. */
Test(balance, skips_failed_connects_with_back_off)
{
	struct fixture f = fixture_create();
	uint64_t t = NOW;

	br_balance_record_connect_failure(f.b, &f.c[0].id, t);
	br_balance_record_connect_failure(f.b, &f.c[0].id, t);
	pick_many(&f, 2, t + 99 * BR_US_PER_MS);
	cr_assert_eq(f.count[0], 0);
	pick_many(&f, 2, t + 101 * BR_US_PER_MS);
	cr_assert_gt(f.count[0], 0);
	for (int i = 0; i < 10; i++) {
		t += 3 * BR_US_PER_S;
		br_balance_record_connect_failure(f.b, &f.c[0].id, t);
	}
	pick_many(&f, 2, t + 1999 * BR_US_PER_MS);
	cr_assert_eq(f.count[0], 0);
	pick_many(&f, 2, t + 2001 * BR_US_PER_MS);
	cr_assert_gt(f.count[0], 0);
	br_balance_destroy(f.b);
}

/* A retry must go to a target that was not tried yet; without one, the pick fails. */
Test(balance, excludes_targets_already_tried)
{
	struct fixture f = fixture_create();
	struct br_node_id tried[2] = {f.c[0].id, f.c[1].id};

	for (int i = 0; i < 100; i++)
		cr_assert_eq(br_balance_pick(f.b, f.c, 2, "a", tried, 1, &f.rng, NOW), 1);
	cr_assert_geq(br_balance_pick(f.b, f.c, 4, "a", tried, 2, &f.rng, NOW), 2);
	cr_assert_eq(br_balance_pick(f.b, f.c, 2, "a", tried, 2, &f.rng, NOW), -ENOENT);
	cr_assert_eq(br_balance_pick(f.b, f.c, 0, "a", NULL, 0, &f.rng, NOW), -ENOENT);
	br_balance_destroy(f.b);
}

/*
 * Guards against a target that fails fast, so that it looks idle and attracts load, and against
 * ejecting all targets.
 */
Test(balance, ejects_failing_targets_but_not_all)
{
	struct fixture f = fixture_create();
	uint64_t t = NOW + 800 * BR_US_PER_MS;

	fail_many(&f, 0, NOW);
	pick_many(&f, 2, t);
	cr_assert_eq(f.count[0], 0);
	fail_many(&f, 1, NOW);
	pick_many(&f, 2, t);
	cr_assert(f.count[0] > 0 && f.count[1] > 0);
	pick_many(&f, 2, t + 2 * BR_US_PER_S);
	cr_assert_gt(f.count[0], 0);
	cr_assert_eq(br_balance_counters(f.b)->ejections, 2);
	br_balance_destroy(f.b);
}

/* One success among the errors, or refusals for overload, must not eject a target. */
Test(balance, keeps_targets_that_also_succeed)
{
	struct fixture f = fixture_create();

	for (uint64_t i = 0; i < 400; i++) {
		br_balance_request_started(f.b, &f.c[0].id, NOW);
		br_balance_request_ended(f.b, &f.c[0].id, i % 15 ? BR_BALANCE_ERROR : BR_BALANCE_OK,
					 NOW + i * 10 * BR_US_PER_MS);
		br_balance_request_started(f.b, &f.c[1].id, NOW);
		br_balance_request_ended(f.b, &f.c[1].id, BR_BALANCE_REFUSED,
					 NOW + i * 10 * BR_US_PER_MS);
	}
	cr_assert_eq(br_balance_counters(f.b)->ejections, 0);
	br_balance_destroy(f.b);
}

/* A removed member keeps its count of outstanding requests until these end. */
Test(balance, removes_dead_members)
{
	struct fixture f = fixture_create();

	br_balance_request_started(f.b, &f.c[0].id, NOW);
	br_balance_remove(f.b, &f.c[0].id);
	br_balance_remove(f.b, &f.c[1].id);
	cr_assert_eq(br_balance_outstanding(f.b, &f.c[0].id), 1);
	br_balance_request_ended(f.b, &f.c[0].id, BR_BALANCE_ERROR, NOW);
	cr_assert_eq(br_balance_outstanding(f.b, &f.c[0].id), 0);
	br_balance_destroy(f.b);
}

/* Records 100 requests of a class at each of two targets within a second; returns the end time. */
static uint64_t record_times(struct br_balance *b, const struct br_balance_candidate *c,
			     uint64_t class, const uint64_t *ms, uint64_t now)
{
	for (int i = 0; i < 100; i++) {
		for (int k = 0; k < 2; k++) {
			cr_assert_eq(br_balance_request_started(b, &c[k].id, now), 0);
			br_balance_record_time(b, &c[k].id, class, ms[k] * BR_US_PER_MS, now);
			br_balance_request_ended(b, &c[k].id, BR_BALANCE_OK, now);
		}
		now += 10 * BR_US_PER_MS;
	}
	return now;
}

/*
 * A request that makes eight calls in a row loses eight times what each of them loses at a slow
 * target, so that a call goes to another zone for 15% of its own objective, but not for less than a
 * tenth.
 */
Test(balance, cost_pick_weighs_a_zone_against_time)
{
	static const uint64_t much_slower[2] = {78, 33}, little_slower[2] = {50, 33};
	struct br_balance_candidate c[2] = {{.id = {"a"}, .zone = "z1"},
					    {.id = {"b"}, .zone = "z2"}};
	struct br_balance_request request = {
		.zone = "z1", .class = 1, .objective_us = 300 * BR_US_PER_MS};
	struct br_balance *b = br_balance_create(0);
	struct br_rng rng;
	uint64_t now;

	br_rng_seed(&rng, 1);
	now = record_times(b, c, request.class, little_slower, BR_US_PER_S);
	cr_assert_eq(br_balance_pick_by_cost(b, c, 2, &request, NULL, 0, &rng, now), 0);
	now = record_times(b, c, request.class, much_slower, now);
	cr_assert_eq(br_balance_pick_by_cost(b, c, 2, &request, NULL, 0, &rng, now), 1);
	br_balance_destroy(b);
}

/*
 * Targets of one service differ in speed. A slow one in the own zone must not be preferred to a
 * fast one in another zone.
 */
Test(balance, cost_pick_avoids_a_slow_local_target)
{
	static const uint64_t ms[2] = {160, 40};
	struct br_balance *b = br_balance_create(0);
	struct br_balance_candidate c[2] = {{.id = {"a"}, .zone = "z1"},
					    {.id = {"b"}, .zone = "z2"}};
	struct br_balance_request request = {
		.zone = "z1", .class = 1, .objective_us = 200 * BR_US_PER_MS};
	struct br_rng rng;
	uint64_t now = BR_US_PER_S;

	br_rng_seed(&rng, 1);
	cr_assert_eq(br_balance_pick_by_cost(b, c, 2, &request, NULL, 0, &rng, now), 0);
	now = record_times(b, c, request.class, ms, now);
	for (int i = 0; i < 20; i++)
		cr_assert_eq(br_balance_pick_by_cost(b, c, 2, &request, NULL, 0, &rng, now), 1);
	/* Without new samples the times expire, so that a recovered target is picked again. */
	now += 60 * BR_US_PER_S;
	cr_assert_eq(br_balance_pick_by_cost(b, c, 2, &request, NULL, 0, &rng, now), 0);
	br_balance_destroy(b);
}

/* A full target in the own zone must not get requests that another zone has capacity for. */
Test(balance, cost_pick_avoids_a_full_local_target)
{
	struct br_balance *b = br_balance_create(0);
	struct br_balance_candidate c[2] = {{.id = {"a"}, .zone = "z1"},
					    {.id = {"b"}, .zone = "z2"}};
	struct br_balance_request request = {
		.zone = "z1", .class = 1, .objective_us = 200 * BR_US_PER_MS};
	struct br_rng rng;

	br_rng_seed(&rng, 1);
	for (int k = 0; k < 2; k++) {
		cr_assert_eq(br_balance_request_started(b, &c[k].id, BR_US_PER_S), 0);
		br_balance_record_time(b, &c[k].id, request.class, 60 * BR_US_PER_MS, BR_US_PER_S);
		br_balance_record_load(b, &c[k].id, k ? 1 : 20, 10, BR_US_PER_S);
	}
	cr_assert_eq(br_balance_pick_by_cost(b, c, 2, &request, NULL, 0, &rng, BR_US_PER_S), 1);
	for (int k = 0; k < 2; k++)
		br_balance_request_ended(b, &c[k].id, BR_BALANCE_OK, BR_US_PER_S);
	br_balance_destroy(b);
}

/*
 * Guards against a full share of the requests for a target that refuses or fails part of them while
 * it looks idle, and against not using the target again after it has recovered.
 */
Test(balance, cost_pick_avoids_a_failing_target)
{
	struct br_balance *b = br_balance_create(0);
	struct br_balance_candidate c[2] = {{.id = {"a"}, .zone = "z1"},
					    {.id = {"b"}, .zone = "z1"}};
	struct br_balance_request request = {
		.zone = "z1", .class = 1, .objective_us = 200 * BR_US_PER_MS};
	struct br_rng rng;
	uint64_t now = BR_US_PER_S;
	int failures = 0, recovered_picks = 0;

	br_rng_seed(&rng, 1);
	for (int i = 0; i < 1000; i++) {
		int k = br_balance_pick_by_cost(b, c, 2, &request, NULL, 0, &rng, now);
		bool failed = k == 0 && br_rng_below(&rng, 2);

		cr_assert_eq(br_balance_request_started(b, &c[k].id, now), 0);
		br_balance_record_time(b, &c[k].id, request.class, 60 * BR_US_PER_MS, now);
		br_balance_request_ended(b, &c[k].id, BR_BALANCE_REFUSED, now);
		br_balance_record_result(b, &c[k].id, failed, now);
		failures += failed;
		now += 10 * BR_US_PER_MS;
	}
	cr_assert_leq(failures, 50, "%d of 1000 requests failed", failures);
	now += 30 * BR_US_PER_S;
	for (int i = 0; i < 200; i++) {
		int k = br_balance_pick_by_cost(b, c, 2, &request, NULL, 0, &rng, now);

		cr_assert_eq(br_balance_request_started(b, &c[k].id, now), 0);
		br_balance_request_ended(b, &c[k].id, BR_BALANCE_OK, now);
		br_balance_record_result(b, &c[k].id, false, now);
		recovered_picks += k == 0;
		now += 10 * BR_US_PER_MS;
	}
	cr_assert_geq(recovered_picks, 60,
		      "%d of 200 requests went to the target after it had recovered",
		      recovered_picks);
	br_balance_destroy(b);
}

/*
 * Guards against each node of a large fleet having to detect failing targets by its own failed
 * requests: the failure rate that the target's node reports takes effect at once, and decays.
 */
Test(balance, cost_pick_uses_reported_failure_rates)
{
	struct br_balance *b = br_balance_create(0);
	struct br_balance_candidate c[2] = {{.id = {"a"}, .zone = "z1"},
					    {.id = {"b"}, .zone = "z1"}};
	struct br_balance_request request = {
		.zone = "z1", .class = 1, .objective_us = 200 * BR_US_PER_MS};
	struct br_rng rng;
	uint64_t now = BR_US_PER_S;
	int picks = 0;

	br_rng_seed(&rng, 1);
	for (int k = 0; k < 2; k++) {
		cr_assert_eq(br_balance_request_started(b, &c[k].id, now), 0);
		br_balance_request_ended(b, &c[k].id, BR_BALANCE_OK, now);
	}
	br_balance_record_failure_rate(b, &c[0].id, 0.4, now);
	for (int i = 0; i < 200; i++)
		picks += br_balance_pick_by_cost(b, c, 2, &request, NULL, 0, &rng, now) == 0;
	cr_assert_leq(picks, 20, "%d of 200 picks chose the failing target", picks);
	now += 60 * BR_US_PER_S;
	for (int i = 0; i < 200; i++)
		picks += br_balance_pick_by_cost(b, c, 2, &request, NULL, 0, &rng, now) == 0;
	cr_assert_geq(picks, 60, "%d of 400 picks chose the recovered target", picks);
	br_balance_destroy(b);
}
