#include "mesh/target.h"

#include "briarreel/failure_rate.h"
#include "briarreel/incarnation.h"
#include "common/clock.h"
#include "mesh/event_log.h"
#include "platform/fields.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Maximum number of queued jobs, and of idle connections to the target. */
#define QUEUE_MAX 512
/*
 * Part of a target's slots that is used. Some targets slow down when they are nearly full, which
 * costs more throughput than the last slots add.
 */
#define SLOTS_USED_PERCENT 95
#define CONNECT_TIMEOUT_MS 400
#define IDLE_MS 8000
#define ANSWER_HEADER_MAX_BYTES 65536
/* Interval of the check for expired jobs while jobs are queued. */
#define EXPIRY_CHECK_MS 20
/* Weight of one result in the moving average of the target's failure rate. */
#define FAILURE_RATE_WEIGHT 0.05
/* Separates the id of a request from the suffix in the ids of calls made for it. */
#define CALL_ID_SEPARATOR '.'
/*
 * Longest idle time of a connection that carries a non-idempotent request. The target may close a
 * connection that was idle longer while the request is being sent, and then it is unknown whether
 * the request ran.
 */
#define NON_IDEMPOTENT_IDLE_MAX_MS 2000
/* Time after a job's deadline in which the target's answer is still awaited. */
#define TARGET_ANSWER_MARGIN_MS 100
/*
 * Percentage of the drain time in which a leaving target accepts jobs that still arrive. The drain
 * time begins when the target's announcement is acknowledged.
 */
#define DRAIN_USED_PERCENT 70

struct target {
	struct board *board;
	void (*changed)(void *ctx);
	void *ctx;
	struct target_status status;
	/** Meaningful in all phases but TARGET_ABSENT. */
	struct br_incarnation incarnation;
	/** See struct br_incarnation_view. */
	bool history_complete;
	struct br_left_list left;
	/** What earlier processes of this node knew is part of the list. */
	bool left_restored;
	/** Latest report that the target has not confirmed yet. */
	struct target_report unconfirmed;
	bool has_unconfirmed;
	/** A health request that was sent before this time confirms nothing. */
	uint64_t confirmable_us;
	/** In TARGET_LEAVING: since when. */
	uint64_t leaving_since_us;
	struct br_admission *queue;
	struct conn_pool *pool;
	LIST_HEAD(, job) running;
	struct br_failure_rate failure_rate;
	struct timer *expiry_timer;
};

static void start_queued_jobs(struct target *t);

static void end_job(struct target *t, struct job *job, enum job_result result,
		    enum job_reason reason, struct http_msg *answer, bool reached)
{
	struct job_end end = {.result = result,
			      .reason = reason,
			      .answer = answer,
			      .reached = reached,
			      .call_failed = job->call_failed};

	job->cancel = NULL;
	board_count(t->board, COUNT_TARGET_JOBS);
	if (result == JOB_NOT_RUN)
		board_count(t->board, COUNT_TARGET_NOT_RUN);
	else if (result == JOB_LOST)
		board_count(t->board, COUNT_TARGET_LOST);
	if (result != JOB_ANSWERED)
		EVENT(EVENT_WARNING, "target", "not_answered", EVENT_TEXT("request", job->id),
		      EVENT_TEXT("target", t->status.id),
		      EVENT_TEXT("result", result == JOB_NOT_RUN ? "not_run" : "lost"),
		      EVENT_TEXT("reason", job_reason_text(reason)),
		      EVENT_TEXT("queue", br_admission_reason_text(job->entry.reason)),
		      EVENT_NUMBER("in_flight", br_admission_in_flight(t->queue)),
		      EVENT_NUMBER("queued", br_admission_queued(t->queue)));
	job->done(job, &end);
}

static void on_drop(void *ctx, struct br_admission_entry *e, enum br_admission_reason reason)
{
	struct target *t = ctx;

	end_job(t, e->data, JOB_NOT_RUN,
		reason == BR_ADMISSION_CLOSED ? JOB_REASON_DRAINING : JOB_REASON_QUEUE_REFUSED,
		NULL, false);
}

static void on_expiry_timer(void *arg)
{
	struct target *t = arg;

	br_admission_tick(t->queue, clock_now_us());
	if (!br_admission_queued(t->queue))
		timer_cancel(&t->expiry_timer);
}

static struct conn_pool *create_pool(struct target *t)
{
	struct conn_pool_cfg cfg = {
		.addr = t->board->settings->target_addr,
		.limits = board_target_limits(t->board, ANSWER_HEADER_MAX_BYTES),
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.idle_ms = IDLE_MS,
		.idle_max = QUEUE_MAX,
	};

	return conn_pool_create(t->board->loop, &cfg);
}

struct target *target_create(struct board *board, void (*changed)(void *ctx), void *ctx)
{
	struct target *t = xcalloc(1, sizeof(*t));
	struct br_admission_cfg cfg = {
		.limit = 1, .queue_max = QUEUE_MAX, .drop = on_drop, .drop_ctx = t};

	t->board = board;
	t->changed = changed;
	t->ctx = ctx;
	t->queue = br_admission_create(&cfg);
	t->pool = create_pool(t);
	/* At the first start of the whole system no earlier process has been told anything. */
	t->history_complete = board->settings->first_start;
	t->left_restored = board->settings->first_start;
	BR_INVARIANT(t->queue);
	return t;
}

void target_destroy(struct target *t)
{
	if (!t)
		return;
	timer_cancel(&t->expiry_timer);
	br_admission_drop_all(t->queue);
	br_admission_destroy(t->queue);
	conn_pool_destroy(t->pool);
	free(t);
}

const struct target_status *target_status(const struct target *t)
{
	return &t->status;
}

const struct br_left_list *target_left(const struct target *t)
{
	return &t->left;
}

bool target_awaits_left(const struct target *t)
{
	return !t->left_restored;
}

/* Remembers that a target has left; start_ms is 0 if the start of its incarnation is not known. */
static void remember_left(struct target *t, const char *id, uint64_t start_ms)
{
	/* The target is on this VM and starts by the same clock. */
	br_left_add(&t->left, id, start_ms ? start_ms : clock_wall_ms());
}

static void change_phase(struct target *t, enum target_phase phase, const char *why)
{
	static const char *const names[] = {"absent", "serving", "leaving", "gone"};

	EVENT(EVENT_INFO, "target", "phase", EVENT_TEXT("target", t->status.id),
	      EVENT_TEXT("from", names[t->status.phase]), EVENT_TEXT("to", names[phase]),
	      EVENT_TEXT("why", why), EVENT_NUMBER("sequence", t->incarnation.sequence),
	      EVENT_NUMBER("slots", t->status.slots));
	if (phase != TARGET_SERVING)
		t->confirmable_us = clock_now_us();
	t->status.phase = phase;
	if (phase == TARGET_LEAVING)
		t->leaving_since_us = clock_now_us();
	if (phase == TARGET_CLOSED)
		br_admission_drop_all(t->queue);
	t->changed(t->ctx);
}

static void set_phase(struct target *t, enum target_phase phase, const char *why)
{
	if (phase != TARGET_SERVING && t->status.phase != TARGET_LEAVING)
		remember_left(t, t->status.id, t->incarnation.start_ms);
	change_phase(t, phase, why);
}

/* Tests whether a target is known to have left; start_ms is 0 if its start is not known. */
static bool has_left(const struct target *t, const char *id, uint64_t start_ms)
{
	return start_ms ? br_left_contains(&t->left, id, start_ms) : br_left_names(&t->left, id);
}

/* The list has the target already, so that its start, if unknown, is not taken for one of now. */
static void close_if_left(struct target *t)
{
	if (t->status.phase == TARGET_SERVING && has_left(t, t->status.id, t->incarnation.start_ms))
		change_phase(t, TARGET_CLOSED, "another node knows that it has left");
}

void target_add_earlier_left(struct target *t, const struct br_left_list *earlier)
{
	br_left_merge_earlier(&t->left, earlier);
	close_if_left(t);
}

void target_add_left(struct target *t, const struct br_left_list *left)
{
	if (!br_left_add_missing(&t->left, left))
		return;
	EVENT(EVENT_INFO, "left", "told", EVENT_NUMBER("targets", left->n),
	      EVENT_TEXT("latest", left->entries[left->n - 1].id));
	close_if_left(t);
	t->changed(t->ctx);
}

void target_restore_left(struct target *t, const struct br_left_list *earlier)
{
	t->left_restored = true;
	target_add_left(t, earlier);
}

static uint32_t concurrency_limit(uint32_t slots)
{
	uint32_t used = slots * SLOTS_USED_PERCENT / 100;

	return used ? used : 1;
}

static struct br_incarnation incarnation_of(const struct target_report *r)
{
	struct br_incarnation in = {.start_ms = r->incarnation_start_ms, .sequence = r->sequence};

	br_copy_text(in.id, sizeof(in.id), r->id);
	return in;
}

/*
 * Phase of a new incarnation. If an earlier process may have acknowledged the leaving, the drain
 * time may be over already.
 */
static enum target_phase first_phase(const struct target *t, const struct target_report *r)
{
	if (r->state == REPORTED_READY)
		return TARGET_SERVING;
	return t->history_complete ? TARGET_LEAVING : TARGET_CLOSED;
}

/* Replaces the known target by the new incarnation that a report describes. */
static void set_incarnation(struct target *t, const struct target_report *r, const char *why)
{
	conn_pool_drop_idle(t->pool);
	t->failure_rate = (struct br_failure_rate){0};
	br_copy_text(t->status.id, sizeof(t->status.id), r->id);
	br_copy_text(t->status.service, sizeof(t->status.service), r->service);
	t->status.slots = r->slots;
	t->status.cold_until_us = clock_now_us() + r->cold_ms * BR_US_PER_MS;
	t->incarnation = incarnation_of(r);
	t->has_unconfirmed = false;
	br_admission_set_limit(t->queue, concurrency_limit(r->slots));
	set_phase(t, first_phase(t, r), why);
}

static void update_incarnation(struct target *t, const struct target_report *r)
{
	t->incarnation = incarnation_of(r);
	if (t->status.phase == TARGET_CLOSED)
		return;
	if (r->state == REPORTED_DRAINING && t->status.phase == TARGET_SERVING)
		set_phase(t, TARGET_LEAVING, "target reports draining");
	if (r->slots != t->status.slots) {
		t->status.slots = r->slots;
		br_admission_set_limit(t->queue, concurrency_limit(r->slots));
		t->changed(t->ctx);
	}
}

static void set_unconfirmed(struct target *t, const struct target_report *r)
{
	const struct target_report *last = &t->unconfirmed;
	bool same = t->has_unconfirmed && !strcmp(last->id, r->id) &&
		    last->incarnation_start_ms == r->incarnation_start_ms;

	if (t->has_unconfirmed && (same ? r->sequence <= last->sequence
					: r->incarnation_start_ms < last->incarnation_start_ms))
		return;
	if (!same) {
		t->confirmable_us = clock_now_us();
		EVENT(EVENT_INFO, "target", "report_unconfirmed", EVENT_TEXT("target", r->id),
		      EVENT_TEXT("known", t->status.id), EVENT_NUMBER("sequence", r->sequence),
		      EVENT_NUMBER("incarnation_start_ms", r->incarnation_start_ms));
	}
	t->unconfirmed = *r;
	t->has_unconfirmed = true;
}

/* Another writer may send reports as well. */
static bool is_own_report(const struct target *t, const struct target_report *r)
{
	const struct mesh_settings *set = t->board->settings;

	return !strcmp(r->service, set->service) &&
	       r->addr.sin_addr.s_addr == set->target_addr.sin_addr.s_addr &&
	       r->addr.sin_port == set->target_addr.sin_port;
}

bool target_report(struct target *t, const struct target_report *r)
{
	const struct br_incarnation report = incarnation_of(r);
	const struct br_incarnation_view view = {
		.known = t->status.phase == TARGET_ABSENT ? NULL : &t->incarnation,
		.serving = t->status.phase == TARGET_SERVING,
		.history_complete = t->history_complete,
	};

	if (!is_own_report(t, r)) {
		EVENT(EVENT_WARNING, "target", "report_of_another", EVENT_TEXT("target", r->id),
		      EVENT_TEXT("service", r->service),
		      EVENT_TEXT("expected", t->board->settings->service),
		      EVENT_NUMBER("port", ntohs(r->addr.sin_port)));
		return false;
	}
	if (r->state == REPORTED_READY &&
	    br_left_contains(&t->left, r->id, r->incarnation_start_ms)) {
		EVENT(EVENT_INFO, "target", "report_of_left", EVENT_TEXT("target", r->id),
		      EVENT_NUMBER("sequence", r->sequence),
		      EVENT_NUMBER("incarnation_start_ms", r->incarnation_start_ms));
		return true;
	}
	switch (br_report_order(&view, &report, r->state == REPORTED_READY)) {
	case BR_REPORT_OUTDATED:
		EVENT(EVENT_INFO, "target", "report_outdated", EVENT_TEXT("target", r->id),
		      EVENT_TEXT("known", t->status.id), EVENT_NUMBER("sequence", r->sequence),
		      EVENT_NUMBER("latest", t->incarnation.sequence));
		break;
	case BR_REPORT_CURRENT:
		update_incarnation(t, r);
		break;
	case BR_REPORT_REPLACES:
		set_incarnation(t, r, "first report of an incarnation");
		break;
	case BR_REPORT_UNCONFIRMED:
		set_unconfirmed(t, r);
		break;
	}
	return true;
}

bool target_needs_confirmation(const struct target *t)
{
	return t->has_unconfirmed;
}

void target_confirm(struct target *t, const char *id, uint32_t slots, uint64_t asked_us)
{
	struct target_report r = {.state = REPORTED_READY, .slots = slots};
	bool reported = t->has_unconfirmed && !strcmp(t->unconfirmed.id, id);

	if (asked_us < t->confirmable_us || !t->left_restored)
		return;
	if (reported ? br_left_contains(&t->left, id, t->unconfirmed.incarnation_start_ms)
		     : br_left_names(&t->left, id)) {
		EVENT(EVENT_INFO, "target", "health_of_left", EVENT_TEXT("target", id));
		if (reported)
			t->has_unconfirmed = false;
		return;
	}
	t->has_unconfirmed = false;
	if (reported) {
		r = t->unconfirmed;
	} else if (t->status.phase == TARGET_ABSENT && slots) {
		br_copy_text(r.id, sizeof(r.id), id);
		br_copy_text(r.service, sizeof(r.service), t->board->settings->service);
	} else {
		return;
	}
	t->history_complete = true;
	set_incarnation(t, &r, "target has confirmed that it is ready");
}

void target_leave(struct target *t, const char *id)
{
	if (t->status.phase != TARGET_ABSENT && !strcmp(t->status.id, id)) {
		if (t->status.phase == TARGET_SERVING)
			set_phase(t, TARGET_LEAVING, "target has announced that it is leaving");
		return;
	}
	/* Its reports may still arrive, and so may a health answer that it gave before. */
	EVENT(EVENT_INFO, "target", "unknown_left", EVENT_TEXT("target", id),
	      EVENT_TEXT("known", t->status.id));
	t->history_complete = false;
	t->confirmable_us = clock_now_us();
	remember_left(t, id, 0);
	if (t->has_unconfirmed && !strcmp(t->unconfirmed.id, id))
		t->has_unconfirmed = false;
	t->changed(t->ctx);
}

/* Tests whether the target has refused the request; 421 means that it was for another target. */
static bool is_refusal(const struct http_msg *answer)
{
	return http_msg_find_field(answer, platform_field_name(PLATFORM_FIELD_NOT_RUN)) ||
	       answer->status == 421;
}

static bool is_success(const struct http_msg *answer)
{
	return answer->status >= 200 && answer->status < 300;
}

static enum http_answer_match match_answer(struct http_call *call, const struct http_msg *msg)
{
	struct job *job = (struct job *)((char *)call - offsetof(struct job, call));
	const char *id = http_msg_find_field(msg, platform_field_name(PLATFORM_FIELD_REQUEST_ID));

	if (id)
		return strcmp(id, job->id) ? HTTP_ANSWER_OTHER : HTTP_ANSWER_OWN;
	/* Targets refuse without an id; any other answer without one may be to another request. */
	return is_refusal(msg) && !is_success(msg) ? HTTP_ANSWER_UNNAMED : HTTP_ANSWER_OTHER;
}

static struct job *find_calling_job(const struct target *t, const char *call_id)
{
	const char *end = strrchr(call_id, CALL_ID_SEPARATOR);
	size_t len = end ? (size_t)(end - call_id) : 0;
	struct job *job;

	if (!len)
		return NULL;
	LIST_FOREACH(job, &t->running, running_link)
	if (strlen(job->id) == len && !memcmp(job->id, call_id, len))
		return job;
	return NULL;
}

const struct job *target_find_calling_job(const struct target *t, const char *call_id)
{
	return find_calling_job(t, call_id);
}

void target_mark_call_failed(struct target *t, const char *call_id)
{
	struct job *job = find_calling_job(t, call_id);

	if (job)
		job->call_failed = true;
}

/*
 * Tests whether an attempt counts as a failure of the target: a refusal, a request that was not
 * sent or not answered, or a 5xx status. A 5xx status of a job with a failed call does not count.
 */
static bool is_target_failure(const struct job *job, enum http_call_result call_result,
			      const struct http_msg *msg)
{
	if (call_result != HTTP_CALL_ANSWERED || is_refusal(msg))
		return true;
	return msg->status >= 500 && !job->call_failed;
}

static void on_answer(struct http_call *call, enum http_call_result call_result,
		      struct http_msg *msg, int err)
{
	struct job *job = (struct job *)((char *)call - offsetof(struct job, call));
	struct target *t = job->runner;
	uint64_t now_us = clock_now_us();
	bool ran = call_result == HTTP_CALL_ANSWERED && !is_refusal(msg);

	LIST_REMOVE(job, running_link);
	if (ran)
		histogram_record(&t->board->times[TIME_TARGET], now_us - job->started_us);
	br_failure_rate_record(&t->failure_rate, is_target_failure(job, call_result, msg),
			       FAILURE_RATE_WEIGHT, now_us);
	br_admission_done(t->queue, &job->entry, ran ? now_us - job->started_us : 0, now_us);
	if (call_result == HTTP_CALL_NOT_SENT) {
		end_job(t, job, JOB_NOT_RUN, JOB_REASON_UNREACHABLE, NULL, false);
	} else if (call_result == HTTP_CALL_LOST) {
		end_job(t, job, JOB_LOST, job_reason_of_error(err), NULL, true);
	} else if (!ran) {
		http_msg_destroy(msg);
		end_job(t, job, JOB_NOT_RUN, JOB_REASON_TARGET_REFUSED, NULL, true);
	} else if (is_success(msg) &&
		   !http_msg_find_field(msg, platform_field_name(PLATFORM_FIELD_SEAL))) {
		http_msg_destroy(msg);
		end_job(t, job, JOB_LOST, JOB_REASON_UNSEALED, NULL, true);
	} else {
		end_job(t, job, JOB_ANSWERED, JOB_REASON_NONE, msg, true);
	}
	start_queued_jobs(t);
}

static void cancel_running(struct job *job)
{
	struct target *t = job->runner;

	http_call_cancel(&job->call);
	LIST_REMOVE(job, running_link);
	br_admission_done(t->queue, &job->entry, 0, clock_now_us());
	start_queued_jobs(t);
}

static void cancel_queued(struct job *job)
{
	struct target *t = job->runner;

	br_admission_cancel(t->queue, &job->entry);
}

static void start_job(struct target *t, struct job *job, uint64_t now_us)
{
	uint64_t time_left_ms = job->deadline_us > now_us ? (job->deadline_us - now_us) / 1000 : 0;
	struct buf b = {0};

	job->started_us = now_us;
	histogram_record(&t->board->times[TIME_QUEUE], now_us - job->offered_us);
	job->cancel = cancel_running;
	LIST_INSERT_HEAD(&t->running, job, running_link);
	job->call = (struct http_call){
		.done = on_answer,
		.match = match_answer,
		.head = http_msg_is_head(job->msg),
		.timeout_ms = time_left_ms + TARGET_ANSWER_MARGIN_MS,
		.max_idle_ms = job->idempotent ? 0 : NON_IDEMPOTENT_IDLE_MAX_MS,
	};
	job_write_head(&b, job->msg);
	buf_printf(&b, "%s: %" PRIu64 "\r\n%s: %s\r\n%s: %s\r\n",
		   platform_field_name(PLATFORM_FIELD_TIME_LEFT_MS), time_left_ms,
		   platform_field_name(PLATFORM_FIELD_TARGET_ID), t->status.id,
		   platform_field_name(PLATFORM_FIELD_CALLER_SERVICE), job->caller_service);
	if (*job->account)
		buf_printf(&b, "%s: %s\r\n", platform_field_name(PLATFORM_FIELD_ACCOUNT),
			   job->account);
	buf_append_text(&b, "\r\n");
	buf_append(&b, job->msg->body.data, job->msg->body.len);
	conn_pool_send(t->pool, &job->call, &b);
}

/* Closes a leaving target, and with it its queue, if it accepts no more jobs. */
static void close_if_drained(struct target *t, uint64_t now_us)
{
	uint64_t used_us = t->board->settings->drain_ms * BR_US_PER_MS / 100 * DRAIN_USED_PERCENT;

	if (t->status.phase == TARGET_LEAVING && now_us - t->leaving_since_us >= used_us)
		set_phase(t, TARGET_CLOSED, "most of the drain time is over");
}

static void start_queued_jobs(struct target *t)
{
	uint64_t now_us = clock_now_us();
	struct br_admission_entry *e;

	/* After a pause, an answer may be read before the sweep that would close the target. */
	close_if_drained(t, now_us);
	while ((e = br_admission_next(t->queue, now_us)) != NULL)
		start_job(t, e->data, now_us);
}

/*
 * Tests whether a job is for this target. Other nodes may know the id of the one before it for a
 * while, as after all VMs were off; one of the same service runs its jobs as well.
 */
static bool is_for_target(const struct target *t, const struct job *job)
{
	if (t->status.phase == TARGET_ABSENT)
		return false;
	if (!strcmp(t->status.id, job->target))
		return true;
	return t->status.phase == TARGET_SERVING && !strcmp(t->status.service, job->service);
}

/* Returns why a job cannot be accepted, JOB_REASON_NONE if it can. */
static enum job_reason not_run_reason(struct target *t, const struct job *job, uint64_t now_us)
{
	close_if_drained(t, now_us);
	if (!is_for_target(t, job))
		return JOB_REASON_NO_TARGET;
	if (t->status.phase == TARGET_CLOSED ||
	    !br_stop_can_finish(&t->board->stop, board_expected_us(t->board, TIME_TARGET), now_us))
		return JOB_REASON_DRAINING;
	if (now_us >= job->deadline_us || http_budget_is_short(&t->board->messages))
		return JOB_REASON_QUEUE_REFUSED;
	return JOB_REASON_NONE;
}

/*
 * Calls of targets precede new requests of the same rank: if a call is refused, the work already
 * done for the request that made it is lost.
 */
static uint8_t queue_priority(const struct job *job)
{
	return (uint8_t)(2 * job->rank + !job->is_call);
}

void target_run(struct target *t, struct job *job)
{
	uint64_t now_us = clock_now_us();
	enum job_reason reason = not_run_reason(t, job, now_us);

	job->runner = t;
	job->entry = (struct br_admission_entry){
		.data = job,
		.account = job->account_hash,
		.deadline_us = job->queue_until_us,
		.priority = queue_priority(job),
		.shed_order = job->shed_order,
	};
	job->call_failed = false;
	job->offered_us = now_us;
	if (reason != JOB_REASON_NONE) {
		end_job(t, job, JOB_NOT_RUN, reason, NULL, false);
		return;
	}
	switch (br_admission_offer(t->queue, &job->entry, now_us)) {
	case BR_ADMISSION_RUN:
		start_job(t, job, now_us);
		break;
	case BR_ADMISSION_QUEUED:
		job->cancel = cancel_queued;
		if (!t->expiry_timer)
			t->expiry_timer =
				timer_repeat(t->board->loop, EXPIRY_CHECK_MS, on_expiry_timer, t);
		break;
	case BR_ADMISSION_REFUSED:
		end_job(t, job, JOB_NOT_RUN, JOB_REASON_QUEUE_REFUSED, NULL, false);
		break;
	}
}

void target_get_load(const struct target *t, struct peer_end *end)
{
	end->in_flight = br_admission_in_flight(t->queue);
	end->queued = br_admission_queued(t->queue);
	end->limit = concurrency_limit(t->status.slots);
	end->failed_permille =
		(uint32_t)(1000 * br_failure_rate_get(&t->failure_rate, clock_now_us()));
}

void target_sweep(struct target *t)
{
	conn_pool_sweep(t->pool);
	close_if_drained(t, clock_now_us());
}

uint64_t target_connections_opened(const struct target *t)
{
	return conn_pool_total_opened(t->pool);
}
