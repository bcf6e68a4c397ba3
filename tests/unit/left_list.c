#include "briarreel/left_list.h"

#include <criterion/criterion.h>
#include <stdio.h>

/* Guards against a target that starts again under its id and is taken for the one that has left. */
Test(left_list, later_incarnation_has_not_left)
{
	struct br_left_list l = {0};

	cr_assert_not(br_left_contains(&l, "t1", 1));
	br_left_add(&l, "t1", 5000);
	cr_assert(br_left_contains(&l, "t1", 4999));
	cr_assert(br_left_contains(&l, "t1", 5000));
	cr_assert_not(br_left_contains(&l, "t1", 5001));
	cr_assert_not(br_left_contains(&l, "t2", 5000));
	/* Its report doesn't tell when it started; its health answer never does. */
	cr_assert_not(br_left_contains(&l, "t1", 0));
	cr_assert(br_left_names(&l, "t1"));
}

/* Guards against an earlier leaving that is heard late and makes a later one forgotten. */
Test(left_list, time_of_a_target_never_goes_back)
{
	struct br_left_list l = {0};
	uint32_t changes;

	br_left_add(&l, "t1", 5000);
	changes = l.changes;
	br_left_add(&l, "t1", 4000);
	cr_assert(br_left_contains(&l, "t1", 5000));
	cr_assert_eq(l.changes, changes);
	br_left_add(&l, "t1", 6000);
	cr_assert(br_left_contains(&l, "t1", 6000));
	cr_assert_neq(l.changes, changes);
	cr_assert_eq(l.n, 1);
}

Test(left_list, earliest_is_forgotten_first)
{
	struct br_left_list l = {0};
	char id[8];

	for (int i = 0; i <= BR_LEFT_MAX; i++) {
		snprintf(id, sizeof(id), "t%d", i);
		br_left_add(&l, id, 5000);
		/* It leaves again and again, as the latest. */
		br_left_add(&l, "t1", 5000 + (uint64_t)i);
	}
	cr_assert_eq(l.n, BR_LEFT_MAX);
	cr_assert_not(br_left_names(&l, "t0"));
	cr_assert(br_left_names(&l, "t1"));
	cr_assert(br_left_names(&l, "t2"));
}

/* What an earlier process has told is behind what this one was told meanwhile. */
Test(left_list, earlier_list_is_merged)
{
	struct br_left_list l = {0}, earlier = {0};
	uint32_t changes;
	char id[8];

	for (int i = 0; i < BR_LEFT_MAX; i++) {
		snprintf(id, sizeof(id), "t%d", i);
		br_left_add(&earlier, id, 5000);
	}
	br_left_add(&l, "t7", 6000);
	br_left_add(&l, "t8", 6000);
	changes = l.changes;
	br_left_merge_earlier(&l, &earlier);
	cr_assert_eq(l.n, BR_LEFT_MAX);
	cr_assert_eq(l.changes, changes);
	cr_assert_not(br_left_names(&l, "t0"));
	cr_assert(br_left_contains(&l, "t7", 6000));
	cr_assert_str_eq(l.entries[BR_LEFT_MAX - 1].id, "t8");
}

/* Guards against a list that two nodes send each other for ever, and against a later leaving that is lost. */
Test(left_list, what_another_node_held_is_added_once)
{
	struct br_left_list l = {0}, other = {0};
	char id[8];

	br_left_add(&l, "t1", 5000);
	br_left_add(&other, "t1", 6000);
	br_left_add(&other, "t2", 4000);
	cr_assert(br_left_add_missing(&l, &other));
	cr_assert(br_left_contains(&l, "t1", 6000));
	cr_assert(br_left_contains(&l, "t2", 4000));
	cr_assert_not(br_left_add_missing(&l, &other));
	for (int i = 0; i < BR_LEFT_MAX; i++) {
		snprintf(id, sizeof(id), "n%d", i);
		br_left_add(&l, id, 7000);
	}
	cr_assert_not(br_left_add_missing(&l, &other));
	cr_assert_not(br_left_names(&l, "t2"));
	cr_assert(br_left_names(&l, "n0"));
}
