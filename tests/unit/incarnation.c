#include "briarreel/incarnation.h"

#include <criterion/criterion.h>

static const struct br_incarnation known = {.id = "t1", .start_ms = 1000, .sequence = 7};
/* Found by a health request, which does not tell the start. */
static const struct br_incarnation found = {.id = "t1"};

static enum br_report_order order(const struct br_incarnation_view *view, const char *id,
				  uint64_t start_ms, uint64_t sequence, bool ready)
{
	struct br_incarnation report = {.start_ms = start_ms, .sequence = sequence};

	br_copy_text(report.id, sizeof(report.id), id);
	return br_report_order(view, &report, ready);
}

/* Guards against a late report that undoes what a later one has said. */
Test(incarnation, late_reports_are_outdated)
{
	const struct br_incarnation_view v = {
		.known = &known, .serving = true, .history_complete = true};

	cr_assert_eq(order(&v, "t1", 1000, 8, true), BR_REPORT_CURRENT);
	cr_assert_eq(order(&v, "t1", 1000, 8, false), BR_REPORT_CURRENT);
	cr_assert_eq(order(&v, "t1", 1000, 7, true), BR_REPORT_OUTDATED);
	cr_assert_eq(order(&v, "t1", 999, 99, true), BR_REPORT_OUTDATED);
	cr_assert_eq(order(&v, "t0", 999, 99, false), BR_REPORT_OUTDATED);
}

/* Guards against a restarted process that uses a target which has left meanwhile. */
Test(incarnation, ready_report_after_a_restart_is_unconfirmed)
{
	const struct br_incarnation_view first_start = {.history_complete = true};
	const struct br_incarnation_view restarted = {0};

	cr_assert_eq(order(&first_start, "t1", 1000, 1, true), BR_REPORT_REPLACES);
	cr_assert_eq(order(&restarted, "t1", 1000, 1, true), BR_REPORT_UNCONFIRMED);
	cr_assert_eq(order(&restarted, "t1", 1000, 1, false), BR_REPORT_REPLACES);
}

/* Guards against a target that leaves unseen before its first report has arrived. */
Test(incarnation, later_incarnation_replaces_only_with_a_complete_history)
{
	const struct br_incarnation_view complete = {.known = &known, .history_complete = true};
	const struct br_incarnation_view incomplete = {.known = &known};

	cr_assert_eq(order(&complete, "t2", 2000, 1, true), BR_REPORT_REPLACES);
	cr_assert_eq(order(&complete, "t1", 2000, 1, true), BR_REPORT_REPLACES);
	cr_assert_eq(order(&incomplete, "t2", 2000, 1, true), BR_REPORT_UNCONFIRMED);
	cr_assert_eq(order(&incomplete, "t2", 2000, 1, false), BR_REPORT_REPLACES);
}

/* Guards against an earlier target's late report that replaces the one found by its health. */
Test(incarnation, report_is_unconfirmed_while_the_known_start_is_not_told)
{
	const struct br_incarnation_view v = {
		.known = &found, .serving = true, .history_complete = true};
	const struct br_incarnation_view left = {.known = &found, .history_complete = true};

	cr_assert_eq(order(&v, "t1", 1000, 3, true), BR_REPORT_CURRENT);
	cr_assert_eq(order(&v, "t0", 900, 30, true), BR_REPORT_UNCONFIRMED);
	/* It may be a late report, or that of a new incarnation under the same id. */
	cr_assert_eq(order(&left, "t1", 1000, 3, true), BR_REPORT_UNCONFIRMED);
	cr_assert_eq(order(&left, "t1", 1000, 3, false), BR_REPORT_CURRENT);
}
