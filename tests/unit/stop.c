#include "briarreel/stop.h"

#include <criterion/criterion.h>

#define SEC BR_US_PER_S

static const struct br_stop stop = {
	.started_us = 100 * SEC, .noticed_us = 102 * SEC, .until_us = 105 * SEC};

/* Guards against a process that refuses work although nobody has asked it to stop. */
Test(stop, running_process_takes_all)
{
	const struct br_stop none = {0};

	cr_assert(br_stop_can_finish(&none, 60 * SEC, 7 * SEC));
	cr_assert(br_stop_takes_request(&none, 60 * SEC, 7 * SEC));
}

/* Guards against work that is taken late in the stop and cut at its end. */
Test(stop, takes_only_what_ends_in_time)
{
	cr_assert(br_stop_can_finish(&stop, SEC, 104 * SEC));
	cr_assert_not(br_stop_can_finish(&stop, SEC, 104 * SEC + 1));
	cr_assert_not(br_stop_can_finish(&stop, 0, 106 * SEC));
	cr_assert(br_stop_takes_request(&stop, 4 * SEC, 101 * SEC));
	cr_assert_not(br_stop_takes_request(&stop, 5 * SEC, 101 * SEC));
}

/* Guards against new requests once callers should have gone elsewhere. */
Test(stop, takes_no_request_after_the_notice)
{
	cr_assert(br_stop_takes_request(&stop, 0, 102 * SEC - 1));
	cr_assert_not(br_stop_takes_request(&stop, 0, 102 * SEC));
}
