/*
 * What a leaving target still gets after its node was paused or restarted, and which answers of a
 * faulty target are taken for a job's.
 */
#include "mesh/target.h"

#include "common/clock.h"
#include "mesh/members.h"
#include "tests/unit/ended_job.h"
#include "tests/unit/fake_server.h"

#include <string.h>

#define DRAIN_MS 1000

static void on_changed(void *ctx)
{
	(void)ctx;
}

static void start_job(struct target *t, struct ended_job *j, const char *id, uint64_t time_left_ms)
{
	prepare_job(j, id, time_left_ms);
	target_run(t, &j->job);
}

struct fixture {
	struct server server;
	struct mesh_settings settings;
	struct board board;
	struct target *target;
	struct target_report report;
};

static void start(struct fixture *f)
{
	f->server.answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Server-Seal: x\r\n"
			   "Content-Length: 0\r\n\r\n";
	start_server(&f->server);
	f->settings = (struct mesh_settings){.target_addr = f->server.addr,
					     .service = "s",
					     .drain_ms = DRAIN_MS,
					     .first_start = true};
	f->board = (struct board){.loop = f->server.loop, .settings = &f->settings};
	f->board.messages.limit_bytes = 1024 * 1024;
	f->target = target_create(&f->board, on_changed, f);
	f->report = (struct target_report){.id = "t1",
					   .service = "s",
					   .addr = f->server.addr,
					   .state = REPORTED_READY,
					   .slots = 1,
					   .sequence = 1};
	target_report(f->target, &f->report);
}

/*
 * A leaving target gets nothing once most of its drain time is over. After a pause of the process
 * the answer of a running job may be read first, which makes room for the next one.
 */
Test(mesh_target, queued_job_is_not_sent_after_a_pause)
{
	struct fixture f = {0};
	struct ended_job first, second;

	start(&f);
	start_job(f.target, &first, "a", 5000);
	start_job(f.target, &second, "b", 5000);
	f.report.state = REPORTED_DRAINING;
	f.report.sequence = 2;
	target_report(f.target, &f.report);
	while (!f.server.n_requests)
		uv_run(f.server.loop, UV_RUN_ONCE);
	clock_sleep_ms(DRAIN_MS);
	run_until(&f.server, &second.ended);
	cr_assert_eq(second.result, JOB_NOT_RUN);
	cr_assert_eq(second.reason, JOB_REASON_DRAINING);
	cr_assert_eq(f.server.n_requests, 1);
	run_until(&f.server, &first.ended);
	cr_assert_eq(first.result, JOB_ANSWERED);
	http_msg_destroy(first.msg);
	http_msg_destroy(second.msg);
	target_destroy(f.target);
}

/* Guards against work for a caller whose time was over when the job was read. */
Test(mesh_target, job_without_time_is_not_sent)
{
	struct fixture f = {0};
	struct ended_job job;

	start(&f);
	start_job(f.target, &job, "a", 0);
	cr_assert(job.ended);
	cr_assert_eq(job.result, JOB_NOT_RUN);
	cr_assert_eq(f.server.n_requests, 0);
	http_msg_destroy(job.msg);
	target_destroy(f.target);
}

static const struct br_left_list nothing_left;

/* A target whose node was started again, and the target's late report. left is what it had acknowledged. */
static void start_again(struct fixture *f, const struct br_left_list *left)
{
	start(f);
	target_destroy(f->target);
	f->settings.first_start = false;
	f->target = target_create(&f->board, on_changed, f);
	if (left)
		target_restore_left(f->target, left);
}

static void expect_not_used(struct fixture *f)
{
	struct ended_job job;

	start_job(f->target, &job, "a", 500);
	cr_assert(job.ended);
	cr_assert_eq(job.result, JOB_NOT_RUN);
	cr_assert_eq(f->server.n_requests, 0);
	http_msg_destroy(job.msg);
	target_destroy(f->target);
}

/*
 * Guards against requests to a target that had left before its node was restarted, and whose report
 * from before arrives late.
 */
Test(mesh_target, late_report_after_a_restart_does_not_put_the_target_into_use)
{
	struct fixture f = {0};

	start_again(&f, &nothing_left);
	target_report(f.target, &f.report);
	expect_not_used(&f);
}

/* Guards against a target that is not used again although it says that it is ready. */
Test(mesh_target, confirmed_report_after_a_restart_puts_the_target_into_use)
{
	struct fixture f = {0};

	start_again(&f, &nothing_left);
	target_report(f.target, &f.report);
	cr_assert(target_needs_confirmation(f.target));
	target_confirm(f.target, "t1", 0, clock_now_us());
	cr_assert_not(target_needs_confirmation(f.target));
	cr_assert_eq(target_status(f.target)->phase, TARGET_SERVING);
	cr_assert_eq(target_status(f.target)->slots, 1);
	target_destroy(f.target);
}

/* Guards against a health answer from before the target's leaving that undoes it. */
Test(mesh_target, health_answer_from_before_the_leaving_confirms_nothing)
{
	struct fixture f = {0};
	uint64_t asked_us;

	start_again(&f, &nothing_left);
	asked_us = clock_now_us();
	clock_sleep_ms(2);
	target_leave(f.target, "t1");
	target_confirm(f.target, "t1", 1, asked_us);
	cr_assert_eq(target_status(f.target)->phase, TARGET_ABSENT);
	target_report(f.target, &f.report);
	target_confirm(f.target, "t1", 1, asked_us);
	cr_assert_eq(target_status(f.target)->phase, TARGET_ABSENT);
	target_destroy(f.target);
}

/* Guards against a drain time that begins anew with the first report after a restart. */
Test(mesh_target, draining_target_gets_nothing_after_a_restart)
{
	struct fixture f = {0};

	start_again(&f, &nothing_left);
	f.report.state = REPORTED_DRAINING;
	target_report(f.target, &f.report);
	expect_not_used(&f);
}

/* Guards against a new incarnation under the former id that is ignored for good. */
Test(mesh_target, target_found_by_its_health_starts_again_under_its_id)
{
	struct fixture f = {0};

	start_again(&f, &nothing_left);
	target_confirm(f.target, "t1", 1, clock_now_us());
	target_leave(f.target, "t1");
	cr_assert_eq(target_status(f.target)->phase, TARGET_LEAVING);
	clock_sleep_ms(2);
	f.report.incarnation_start_ms = clock_wall_ms();
	target_report(f.target, &f.report);
	cr_assert_eq(target_status(f.target)->phase, TARGET_LEAVING);
	target_confirm(f.target, "t1", 1, clock_now_us());
	cr_assert_eq(target_status(f.target)->phase, TARGET_SERVING);
	target_destroy(f.target);
}

/*
 * Guards against a target that had left before its node was restarted and is used again, since its
 * health answers are false: neither these nor a late report prove that it has not left (review/9).
 */
Test(mesh_target, health_of_a_target_that_has_left_proves_nothing)
{
	struct br_left_list left = {0};
	struct fixture f = {0};

	br_left_add(&left, "t1", 5000);
	start_again(&f, &left);
	target_confirm(f.target, "t1", 1, clock_now_us());
	cr_assert_eq(target_status(f.target)->phase, TARGET_ABSENT);
	f.report.incarnation_start_ms = 5000;
	f.report.sequence = 99;
	target_report(f.target, &f.report);
	target_confirm(f.target, "t1", 1, clock_now_us());
	cr_assert_eq(target_status(f.target)->phase, TARGET_ABSENT);
	/* It starts again under its id. */
	f.report.incarnation_start_ms = 5001;
	f.report.sequence = 1;
	target_report(f.target, &f.report);
	target_confirm(f.target, "t1", 1, clock_now_us());
	cr_assert_eq(target_status(f.target)->phase, TARGET_SERVING);
	target_destroy(f.target);
}

/* The target that comes after one that has left is found by its health. */
Test(mesh_target, health_of_the_next_target_counts)
{
	struct br_left_list left = {0};
	struct fixture f = {0};

	br_left_add(&left, "t0", 5000);
	start_again(&f, &left);
	target_confirm(f.target, "t1", 1, clock_now_us());
	cr_assert_eq(target_status(f.target)->phase, TARGET_SERVING);
	target_destroy(f.target);
}

/* Guards against a target that is used before its node knows what it had acknowledged. */
Test(mesh_target, nothing_is_confirmed_before_it_is_known_what_left)
{
	struct fixture f = {0};

	start_again(&f, NULL);
	cr_assert(target_awaits_left(f.target));
	target_confirm(f.target, "t1", 1, clock_now_us());
	cr_assert_eq(target_status(f.target)->phase, TARGET_ABSENT);
	target_report(f.target, &f.report);
	target_confirm(f.target, "t1", 1, clock_now_us());
	cr_assert_eq(target_status(f.target)->phase, TARGET_ABSENT);
	target_restore_left(f.target, &nothing_left);
	target_confirm(f.target, "t1", 1, clock_now_us());
	cr_assert_eq(target_status(f.target)->phase, TARGET_SERVING);
	target_destroy(f.target);
}

/* What the next process of the node is told: each leaving, whether its target is known or not. */
Test(mesh_target, each_leaving_is_remembered)
{
	struct fixture f = {0};
	uint32_t changes;

	start(&f);
	cr_assert_eq(target_left(f.target)->n, 0);
	f.report.sequence = 2;
	f.report.state = REPORTED_DRAINING;
	f.report.incarnation_start_ms = 7000;
	target_report(f.target, &f.report);
	cr_assert(br_left_contains(target_left(f.target), "t1", 7000));
	cr_assert_not(br_left_contains(target_left(f.target), "t1", 7001));
	changes = target_left(f.target)->changes;
	target_leave(f.target, "t1");
	cr_assert_eq(target_left(f.target)->changes, changes);
	target_leave(f.target, "t9");
	cr_assert(br_left_names(target_left(f.target), "t9"));
	cr_assert_neq(target_left(f.target)->changes, changes);
	target_destroy(f.target);
}

/*
 * Guards against a report of another writer, for a service or an address that is not the target's,
 * behind whose sequence number the target's own leaving would be overlooked.
 */
Test(mesh_target, report_for_another_service_or_address_is_left_out)
{
	struct fixture f = {0};
	struct target_report foreign;

	start(&f);
	foreign = f.report;
	foreign.sequence = 99;
	br_copy_text(foreign.service, sizeof(foreign.service), "other");
	cr_assert_not(target_report(f.target, &foreign));
	foreign = f.report;
	foreign.sequence = 99;
	foreign.addr.sin_port ^= 1;
	cr_assert_not(target_report(f.target, &foreign));
	f.report.sequence = 2;
	f.report.state = REPORTED_DRAINING;
	cr_assert(target_report(f.target, &f.report));
	cr_assert_eq(target_status(f.target)->phase, TARGET_LEAVING);
	target_destroy(f.target);
}

#define REFUSAL "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
#define ANSWER_B                                                     \
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: b\r\nX-Server-Seal: x\r\n" \
	"Content-Length: 0\r\n\r\n"

/*
 * Guards against a refusal that a faulty target writes once more, where the answer to the next
 * request on the connection is due: that request runs, and would be reported as not run.
 */
Test(mesh_target, second_copy_of_a_refusal_is_not_the_next_answer)
{
	struct fixture f = {0};
	struct ended_job first, second;

	start(&f);
	f.server.answer = REFUSAL;
	start_job(f.target, &first, "a", 1000);
	run_until(&f.server, &first.ended);
	cr_assert_eq(first.result, JOB_NOT_RUN);
	cr_assert_eq(first.reason, JOB_REASON_TARGET_REFUSED);
	f.server.answer = "";
	start_job(f.target, &second, "b", 1000);
	while (f.server.n_requests < 2)
		uv_run(f.server.loop, UV_RUN_ONCE);
	/* Unless the connection was closed, the copy comes on it. */
	if (f.server.n_accepted == 1)
		send_text(f.server.last, REFUSAL);
	send_text(f.server.last, ANSWER_B);
	run_until(&f.server, &second.ended);
	cr_assert_eq(second.result, JOB_ANSWERED);
	http_msg_destroy(first.msg);
	http_msg_destroy(second.msg);
	target_destroy(f.target);
}

/*
 * Guards against a refusal that is no HTTP and is believed, and against logs that tell such an
 * answer as a connection that broke.
 */
Test(mesh_target, invalid_answer_is_told_as_such)
{
	static const char *const answers[] = {
		"HTTP/1.1 000 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nX Field: v\r\nContent-Length: 0\r\n\r\n",
	};

	for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
		struct fixture f = {0};
		struct ended_job job;

		start(&f);
		f.server.answer = answers[i];
		start_job(f.target, &job, "a", 1000);
		run_until(&f.server, &job.ended);
		cr_assert_eq(job.result, JOB_LOST);
		cr_assert_str_eq(job_reason_text(job.reason), "invalid_answer");
		cr_assert_eq(job_reason_parse("invalid_answer"), job.reason);
		http_msg_destroy(job.msg);
		target_destroy(f.target);
	}
}

/*
 * Guards against bytes behind an answer that arrive with it: the next job is sent on the connection
 * before they are read, and a refusal among them would be taken for the answer to that job.
 */
Test(mesh_target, refusal_behind_an_answer_is_not_for_the_next_job)
{
	struct fixture f = {0};
	struct ended_job first, second;

	start(&f);
	f.server.answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Server-Seal: x\r\n"
			  "Content-Length: 0\r\n\r\n" REFUSAL;
	start_job(f.target, &first, "a", 1000);
	start_job(f.target, &second, "b", 1000);
	run_until(&f.server, &first.ended);
	cr_assert_eq(first.result, JOB_ANSWERED);
	f.server.answer = ANSWER_B;
	run_until(&f.server, &second.ended);
	cr_assert_eq(second.result, JOB_ANSWERED);
	cr_assert_eq(f.server.n_requests, 2);
	http_msg_destroy(first.msg);
	http_msg_destroy(second.msg);
	target_destroy(f.target);
}

/* Guards against a drain time that is copied when the target begins to leave, and outlives its setting. */
Test(mesh_target, drain_time_follows_the_settings)
{
	struct fixture f = {0};

	start(&f);
	f.settings.drain_ms = 60000;
	target_leave(f.target, "t1");
	target_sweep(f.target);
	cr_assert_eq(target_status(f.target)->phase, TARGET_LEAVING);
	f.settings.drain_ms = 0;
	target_sweep(f.target);
	cr_assert_eq(target_status(f.target)->phase, TARGET_CLOSED);
	target_destroy(f.target);
}
