#include "briarreel/pause.h"

#include <criterion/criterion.h>

#define MS BR_US_PER_MS

Test(pause, process_that_runs)
{
	struct br_pause p = {0};

	cr_assert_eq(br_pause_waited_us(&p, 500 * MS), 0, "before the first poll");
	for (uint64_t now = 1000 * MS; now < 3000 * MS; now += 90 * MS) {
		br_pause_poll(&p, now);
		cr_assert_eq(br_pause_waited_us(&p, now + 100 * MS), 0);
	}
}

/* The usual case: the process is stopped while it waits, and reads at once when it goes on. */
Test(pause, while_waiting_for_messages)
{
	struct br_pause p = {0};

	br_pause_poll(&p, 1000 * MS);
	cr_assert_geq(br_pause_waited_us(&p, 4000 * MS), 2900 * MS);
	br_pause_poll(&p, 4001 * MS);
	br_pause_poll(&p, 4002 * MS);
	/* A connection is accepted in one poll and its request read in the next. */
	cr_assert_geq(br_pause_waited_us(&p, 4003 * MS), 2900 * MS);
	br_pause_poll(&p, 4050 * MS);
	cr_assert_eq(br_pause_waited_us(&p, 4051 * MS), 0);
}

/* The pause has already been noticed when the messages that waited are read. */
Test(pause, while_handling_a_message)
{
	struct br_pause p = {0};

	br_pause_poll(&p, 1000 * MS);
	br_pause_poll(&p, 4000 * MS);
	cr_assert_geq(br_pause_waited_us(&p, 4001 * MS), 2900 * MS);
	br_pause_poll(&p, 4030 * MS);
	cr_assert_eq(br_pause_waited_us(&p, 4031 * MS), 0);
}
