#include "briarreel/types.h"
#include "mesh/event_log.h"
#include "mesh/histogram.h"

#include "common/clock.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#define LINES 20000
#define KINDS 50
#define FLUSH_LINES 100
/*
 * Limit for logging all lines: far above the usual time, and below the test's timeout, which a wait
 * for the absent reader would reach.
 */
#define MAX_DURATION_US 5000000

/* Guards against samples in the wrong bucket, and against a metrics page that a scraper rejects. */
Test(mesh_metrics, histogram_is_cumulative)
{
	struct histogram h = {0};
	struct buf b = {0};
	const char *text;

	histogram_record(&h, 100);
	histogram_record(&h, 101);
	histogram_record(&h, 60 * 1000 * 1000);
	histogram_write(&h, "x_seconds", "outcome=\"a\"", &b);
	text = buf_cstr(&b);
	cr_assert(strstr(text, "x_seconds_bucket{outcome=\"a\",le=\"0.0001\"} 1\n"));
	cr_assert(strstr(text, "x_seconds_bucket{outcome=\"a\",le=\"0.00025\"} 2\n"));
	cr_assert(strstr(text, "x_seconds_bucket{outcome=\"a\",le=\"5\"} 2\n"));
	cr_assert(strstr(text, "x_seconds_bucket{outcome=\"a\",le=\"+Inf\"} 3\n"));
	cr_assert(strstr(text, "x_seconds_sum{outcome=\"a\"} 60.000201\n"));
	cr_assert(strstr(text, "x_seconds_count{outcome=\"a\"} 3\n"));
	buf_free(&b);
	histogram_write(&h, "y", "", &b);
	cr_assert(strstr(buf_cstr(&b), "y_bucket{le=\"0.0001\"} 1\n"));
	cr_assert(strstr(buf_cstr(&b), "y_count 3\n"));
	buf_free(&b);
}

/* Guards against a node that blocks until its log is read, or that buffers all unread lines. */
Test(mesh_metrics, log_does_not_wait_for_its_reader, .timeout = 10)
{
	static char names[KINDS][16];
	uint64_t start_us = clock_now_us();
	int pipe_fds[2];

	cr_assert_eq(pipe(pipe_fds), 0);
	cr_assert_geq(dup2(pipe_fds[1], STDOUT_FILENO), 0);
	event_log_start(uv_default_loop(), "n");
	/* The rate limit is per kind; many kinds together pass more lines than the buffers hold. */
	for (int k = 0; k < KINDS; k++)
		snprintf(names[k], sizeof(names[k]), "kind%d", k);
	for (int i = 0; i < LINES; i++) {
		event_log(EVENT_ERROR, "part", names[i % KINDS],
			  (const struct event_field[]){
				  EVENT_TEXT("filler", "0123456789abcdef0123456789abcdef")},
			  1);
		/* Each flush writes what fits; all of them together exceed the pipe's capacity. */
		if (i % FLUSH_LINES == 0)
			event_log_flush();
	}
	event_log_flush();
	cr_assert_leq(clock_now_us() - start_us, MAX_DURATION_US);
	cr_assert_geq(event_log_dropped(), LINES / 2);
	close(pipe_fds[0]);
	close(pipe_fds[1]);
}

/* Guards against an expected duration that is far from those that were recorded. */
Test(mesh_metrics, quantile_is_near_the_recorded_durations)
{
	struct histogram h = {0};

	cr_assert_eq(histogram_quantile_us(&h, 950), 0);
	for (int i = 0; i < 90; i++)
		histogram_record(&h, 150 * BR_US_PER_MS);
	for (int i = 0; i < 10; i++)
		histogram_record(&h, 1200 * BR_US_PER_MS);
	cr_assert_geq(histogram_quantile_us(&h, 500), 100 * BR_US_PER_MS);
	cr_assert_leq(histogram_quantile_us(&h, 500), 250 * BR_US_PER_MS);
	cr_assert_geq(histogram_quantile_us(&h, 950), 1000 * BR_US_PER_MS);
	cr_assert_leq(histogram_quantile_us(&h, 950), 2000 * BR_US_PER_MS);
	for (int i = 0; i < 1000; i++)
		histogram_record(&h, 60 * BR_US_PER_S);
	cr_assert_eq(histogram_quantile_us(&h, 950), 5 * BR_US_PER_S);
}
