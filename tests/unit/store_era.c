#include "briarreel/store_era.h"

#include "briarreel/types.h"

#include <criterion/criterion.h>
#include <errno.h>

/* Guards against a revision that is taken for older since the store has given it out again. */
Test(store_era, later_era_comes_after_any_revision)
{
	const struct br_position lost = {.era = 1, .revision = 900};
	const struct br_position again = {.era = 2, .revision = 8};
	const struct br_position next = {.era = 2, .revision = 9};

	cr_assert_gt(br_position_compare(&again, &lost), 0);
	cr_assert_lt(br_position_compare(&lost, &again), 0);
	cr_assert_gt(br_position_compare(&next, &again), 0);
	cr_assert_eq(br_position_compare(&again, &again), 0);
}

/* A store of an earlier version tells no era, and its revisions are in order as before. */
Test(store_era, store_without_eras)
{
	struct br_store_era s = {0};

	cr_assert_eq(br_store_era_observe(&s, 0, 10), BR_ERA_CURRENT);
	cr_assert_eq(br_store_era_observe(&s, 0, 20), BR_ERA_CURRENT);
	cr_assert_not(br_store_era_changed_within(&s, UINT64_MAX, 30));
	/* It is replaced by one that tells them. */
	cr_assert_eq(br_store_era_observe(&s, 1, 40), BR_ERA_CHANGED);
	cr_assert_eq(br_store_era_observe(&s, 0, 50), BR_ERA_OUTDATED);
}

/* Guards against a process that starts after the store's return and takes what it reads for settled. */
Test(store_era, first_era_of_a_later_process_may_be_new)
{
	struct br_store_era s = {.may_be_new = true};

	cr_assert_not(br_store_era_changed_within(&s, BR_US_PER_S, 10));
	cr_assert_eq(br_store_era_observe(&s, 7, BR_US_PER_S), BR_ERA_CURRENT);
	cr_assert(br_store_era_changed_within(&s, BR_US_PER_S, 2 * BR_US_PER_S - 1));
	cr_assert_not(br_store_era_changed_within(&s, BR_US_PER_S, 2 * BR_US_PER_S));
	/* But for a store that tells none, and has no copies to come back from. */
	s = (struct br_store_era){.may_be_new = true};
	cr_assert_eq(br_store_era_observe(&s, 0, BR_US_PER_S), BR_ERA_CURRENT);
	cr_assert_not(br_store_era_changed_within(&s, BR_US_PER_S, BR_US_PER_S));
}

/* Guards against an answer that was sent before the store's return and is believed after it. */
Test(store_era, answer_of_an_earlier_era_is_outdated)
{
	struct br_store_era s = {0};

	cr_assert_eq(br_store_era_observe(&s, 7, 10), BR_ERA_CURRENT);
	cr_assert_not(br_store_era_changed_within(&s, BR_US_PER_S, 10));
	cr_assert_eq(br_store_era_observe(&s, 9, BR_US_PER_S), BR_ERA_CHANGED);
	cr_assert_eq(br_store_era_observe(&s, 8, BR_US_PER_S + 1), BR_ERA_OUTDATED);
	cr_assert_eq(br_store_era_observe(&s, 9, BR_US_PER_S + 2), BR_ERA_CURRENT);
	cr_assert_eq(s.era, 9);
	cr_assert(br_store_era_changed_within(&s, BR_US_PER_S, 2 * BR_US_PER_S - 1));
	cr_assert_not(br_store_era_changed_within(&s, BR_US_PER_S, 2 * BR_US_PER_S));
}

Test(store_era, text_of_an_era)
{
	static const char *const odd[] = {
		"", " 1", "+1", "-1", "1 ", "0x1", "1.0", "one", "18446744073709551616"};
	uint64_t era = 3;

	cr_assert_eq(br_store_era_parse(NULL, &era), 0);
	cr_assert_eq(era, 0);
	cr_assert_eq(br_store_era_parse("18446744073709551615", &era), 0);
	cr_assert_eq(era, UINT64_MAX);
	for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		era = 3;
		cr_assert_eq(br_store_era_parse(odd[i], &era), -EINVAL, "\"%s\"", odd[i]);
		cr_assert_eq(era, 0, "\"%s\"", odd[i]);
	}
}

/* Guards against keys, and a first configuration, of a store that may lack a later version (review/12). */
Test(store_era, what_the_store_proves)
{
	static const struct {
		struct br_store_trust trust;
		bool settled, config, keys;
	} rows[] = {
		/* Nothing has been lost lately. */
		{{.era_is_old = true}, true, true, true},
		{{.mark = BR_ERA_MARK_PRESENT, .told_version = 9}, true, true, true},
		/* Nothing is known of the era. */
		{{.mark = BR_ERA_MARK_UNREAD}, false, false, false},
		{{.mark = BR_ERA_MARK_NONE}, false, false, false},
		{{.mark = BR_ERA_MARK_OTHER, .knows_history = true}, false, false, false},
		/* A new system has no history. */
		{{.mark = BR_ERA_MARK_NONE, .others_asked = true}, false, true, true},
		/* The others have started as well, or there are none. */
		{{.mark = BR_ERA_MARK_OTHER, .others_asked = true}, false, true, false},
		{{.mark = BR_ERA_MARK_OTHER, .others_asked = true, .knows_history = true},
		 false,
		 true,
		 true},
		{{.mark = BR_ERA_MARK_UNREAD, .others_asked = true, .knows_history = true},
		 false,
		 true,
		 true},
		/* They know a later version than the store. */
		{{.mark = BR_ERA_MARK_OTHER,
		  .others_asked = true,
		  .knows_history = true,
		  .version = 4,
		  .told_version = 5},
		 false,
		 false,
		 false},
		{{.mark = BR_ERA_MARK_OTHER,
		  .others_asked = true,
		  .knows_history = true,
		  .version = 5,
		  .told_version = 5},
		 false,
		 true,
		 true},
	};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		cr_assert_eq(br_store_is_settled(&rows[i].trust), rows[i].settled, "row %zu", i);
		cr_assert_eq(br_store_proves_config(&rows[i].trust), rows[i].config, "row %zu", i);
		cr_assert_eq(br_store_proves_keys(&rows[i].trust), rows[i].keys, "row %zu", i);
	}
}
