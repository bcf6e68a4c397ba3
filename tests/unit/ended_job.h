/* A job whose end the test waits for. */
#ifndef TESTS_UNIT_ENDED_JOB_H
#define TESTS_UNIT_ENDED_JOB_H

#include "common/clock.h"
#include "mesh/job.h"

struct ended_job {
	struct job job;
	struct http_msg *msg;
	enum job_result result;
	enum job_reason reason;
	bool ended;
};

static void on_job_end(struct job *job, const struct job_end *end)
{
	struct ended_job *j = (struct ended_job *)((char *)job - offsetof(struct ended_job, job));

	j->result = end->result;
	j->reason = end->reason;
	j->ended = true;
	http_msg_destroy(end->answer);
}

/* Prepares a request without fields, as an entry node would send it; the caller destroys its msg. */
static void prepare_job(struct ended_job *j, const char *id, uint64_t time_left_ms)
{
	uint64_t until_us = clock_now_us() + time_left_ms * BR_US_PER_MS;

	*j = (struct ended_job){.msg = http_msg_create()};
	buf_append(&j->msg->text, "/p/", sizeof("/p/"));
	j->job = (struct job){.msg = j->msg,
			      .id = id,
			      .target = "t1",
			      .service = "",
			      .account = "",
			      .caller_service = "s",
			      .deadline_us = until_us,
			      .queue_until_us = until_us,
			      .idempotent = true,
			      .done = on_job_end};
}

#endif
