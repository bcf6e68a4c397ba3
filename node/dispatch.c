#include "node/dispatch.h"

#include "briarreel/admission.h"
#include "briarreel/dedup.h"
#include "briarreel/error.h"
#include "briarreel/limiter.h"
#include "briarreel/pressure.h"
#include "common/clock.h"
#include "common/log.h"
#include "node/blackboard.h"
#include "node/counters.h"
#include "node/forward.h"
#include "node/node.h"
#include "node/node_settings.h"
#include "node/parent.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_PREFIX "dispatch"

/*
 * Concurrency limits of a target: initial, lowest and highest. The initial limit is low; the
 * limiter raises it while the target keeps up.
 */
#define LIMIT_START 8
#define LIMIT_MIN 2
#define LIMIT_MAX 4096
#define CANCEL_TIMEOUT_MS 500
#define DROP_RETRY_AFTER_MS 200

/** A call that waits in the admission queue or runs on the target. */
struct active_call {
	struct br_admission_entry entry;
	pthread_cond_t cond;
	char attempt[BR_ATTEMPT_ID_BYTES];
	/** Request id that is sent to the target. */
	char target_request_id[BR_ATTEMPT_ID_BYTES];
	struct call *call;
	/** Set just before the request is sent to the target. */
	struct parent *parent;
	bool granted;
	bool dropped;
	bool cancelled;
	struct active_call *prev;
	struct active_call *next;
};

struct dispatch {
	struct node *node;
	/** Guards admission, the limiter, generation and the list of active calls. */
	pthread_mutex_t lock;
	struct br_admission *admission;
	struct br_limiter *limiter;
	uint64_t generation;
	struct active_call *active_calls;
	uint32_t n_active_calls;
	/** Guards dedup. */
	pthread_mutex_t dedup_lock;
	/** Broadcast when an attempt ends. */
	pthread_cond_t attempt_done;
	struct br_dedup *dedup;
	struct parent_table *parents;
};

static void drop_entry(void *ctx, struct br_admission_entry *e, enum br_admission_reason reason)
{
	struct active_call *ac = e->data;

	(void)ctx;
	(void)reason;
	ac->dropped = true;
	pthread_cond_signal(&ac->cond);
}

static void cond_init_monotonic(pthread_cond_t *cond)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(cond, &attr);
	pthread_condattr_destroy(&attr);
}

static void cond_wait_for(pthread_cond_t *cond, pthread_mutex_t *lock, uint64_t wait_us)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	wait_us += (uint64_t)ts.tv_nsec / 1000;
	ts.tv_sec += (time_t)(wait_us / BR_US_PER_S);
	ts.tv_nsec = (long)(wait_us % BR_US_PER_S) * 1000;
	pthread_cond_timedwait(cond, lock, &ts);
}

struct dispatch *dispatch_create(struct node *node)
{
	struct br_admission_cfg cfg = {
		.limit = LIMIT_START, .queue_max = node->settings->queue_max, .drop = drop_entry};
	struct br_dedup_config dedup_cfg = {.incarnation = node->incarnation};
	struct dispatch *d = calloc(1, sizeof(*d));

	if (!d)
		return NULL;
	d->node = node;
	pthread_mutex_init(&d->lock, NULL);
	pthread_mutex_init(&d->dedup_lock, NULL);
	cond_init_monotonic(&d->attempt_done);
	d->admission = br_admission_create(&cfg);
	d->limiter = br_limiter_create(LIMIT_START, LIMIT_MIN, LIMIT_MAX);
	d->dedup = br_dedup_create(&dedup_cfg);
	d->parents = parent_table_create();
	if (!d->admission || !d->limiter || !d->dedup || !d->parents) {
		dispatch_destroy(d);
		return NULL;
	}
	return d;
}

void dispatch_destroy(struct dispatch *d)
{
	if (!d)
		return;
	if (d->admission)
		br_admission_destroy(d->admission);
	if (d->limiter)
		br_limiter_destroy(d->limiter);
	if (d->dedup)
		br_dedup_destroy(d->dedup);
	parent_table_destroy(d->parents);
	pthread_cond_destroy(&d->attempt_done);
	pthread_mutex_destroy(&d->dedup_lock);
	pthread_mutex_destroy(&d->lock);
	free(d);
}

static void link_active_call(struct dispatch *d, struct active_call *ac)
{
	ac->next = d->active_calls;
	if (d->active_calls)
		d->active_calls->prev = ac;
	d->active_calls = ac;
	d->n_active_calls++;
}

static void unlink_active_call(struct dispatch *d, struct active_call *ac)
{
	if (ac->prev)
		ac->prev->next = ac->next;
	else
		d->active_calls = ac->next;
	if (ac->next)
		ac->next->prev = ac->prev;
	d->n_active_calls--;
}

/* Starts queued requests up to the concurrency limit. Called with the lock held. */
static void start_queued(struct dispatch *d, uint64_t now_us)
{
	struct br_admission_entry *e;

	br_admission_set_limit(d->admission, br_limiter_limit(d->limiter));
	while ((e = br_admission_next(d->admission, now_us))) {
		struct active_call *ac = e->data;

		ac->granted = true;
		pthread_cond_signal(&ac->cond);
	}
	br_limiter_record_in_flight(d->limiter, br_admission_in_flight(d->admission));
}

static enum br_reason map_admission_reason(enum br_admission_reason reason)
{
	switch (reason) {
	case BR_ADMISSION_THRESHOLD:
	case BR_ADMISSION_NONE:
	case BR_ADMISSION_REASONS:
		return BR_REASON_OVERLOAD;
	case BR_ADMISSION_FULL:
	case BR_ADMISSION_EVICTED:
		return BR_REASON_QUEUE_FULL;
	case BR_ADMISSION_LATE:
	case BR_ADMISSION_EXPIRED:
		return BR_REASON_DEADLINE;
	case BR_ADMISSION_CLOSED:
		return BR_REASON_DRAINING;
	}
	return BR_REASON_OVERLOAD;
}

static void count_refusal(enum br_admission_reason reason)
{
	if (reason == BR_ADMISSION_THRESHOLD)
		counter_add(COUNTER_SHED_LEVEL, 1);
	else if (reason == BR_ADMISSION_LATE || reason == BR_ADMISSION_EXPIRED)
		counter_add(COUNTER_SHED_EXPIRED, 1);
	else
		counter_add(COUNTER_SHED_QUEUE, 1);
}

/*
 * Resets the limiter when the target was replaced, because measurements of a former target process
 * do not apply to a new one. Called with the lock held.
 */
static void update_generation(struct dispatch *d, const struct target_info *t)
{
	br_limiter_set_hint(d->limiter, t->concurrency_hint);
	if (d->generation == t->generation)
		return;
	d->generation = t->generation;
	br_limiter_reset(d->limiter);
	br_admission_set_limit(d->admission, br_limiter_limit(d->limiter));
}

/*
 * Queues the request until the target has capacity. Returns true if the request may run now;
 * otherwise ans holds the reason why it was not run.
 */
static bool admit(struct dispatch *d, struct active_call *ac, struct target_info *t,
		  struct call_answer *ans)
{
	struct call *c = ac->call;
	enum br_admission_result res;

	ac->entry = (struct br_admission_entry){.data = ac,
						.account = br_hash_str(c->account, 0),
						.deadline_us = c->deadline_us,
						.priority = c->priority};
	pthread_mutex_lock(&d->lock);
	blackboard_target(d->node->board, t);
	if (!t->present || t->draining || strcmp(t->service, c->service) != 0) {
		pthread_mutex_unlock(&d->lock);
		call_answer_set_outcome(ans, br_outcome_not_run(t->present && t->draining
									? BR_REASON_DRAINING
									: BR_REASON_NO_TARGET,
								DROP_RETRY_AFTER_MS));
		return false;
	}
	update_generation(d, t);
	link_active_call(d, ac);
	res = br_admission_offer(d->admission, &ac->entry, clock_now_us());
	ac->granted = res == BR_ADMISSION_RUN;
	ac->dropped = res == BR_ADMISSION_REFUSED;
	while (!ac->granted && !ac->dropped && !ac->cancelled)
		cond_wait_for(&ac->cond, &d->lock, 100 * BR_US_PER_MS);
	if (ac->cancelled && !ac->granted && !ac->dropped)
		br_admission_cancel(d->admission, &ac->entry);
	br_limiter_record_in_flight(d->limiter, br_admission_in_flight(d->admission));
	if (ac->granted) {
		pthread_mutex_unlock(&d->lock);
		return true;
	}
	unlink_active_call(d, ac);
	pthread_mutex_unlock(&d->lock);
	if (ac->dropped) {
		count_refusal(ac->entry.reason);
		call_answer_set_outcome(ans,
					br_outcome_not_run(map_admission_reason(ac->entry.reason),
							   DROP_RETRY_AFTER_MS));
	} else {
		call_answer_set_outcome(ans, br_outcome_not_run(BR_REASON_CANCELLED, 0));
	}
	return false;
}

/*
 * Ends a call that was admitted. service_us is the time that the target took, 0 if the request did
 * not reach it; shed is true if the exchange with the target ended as not run.
 */
static void release_capacity(struct dispatch *d, struct active_call *ac, uint64_t service_us,
			     bool shed)
{
	uint64_t now_us = clock_now_us();

	pthread_mutex_lock(&d->lock);
	unlink_active_call(d, ac);
	br_limiter_sample(d->limiter, (uint32_t)br_hash_str(ac->call->route, 0), service_us, shed,
			  now_us);
	br_admission_done(d->admission, &ac->entry, service_us, now_us);
	start_queued(d, now_us);
	pthread_mutex_unlock(&d->lock);
}

static void send_cancel(struct dispatch *d, const char *address, const char *request_id)
{
	struct http_request req = {.method = "POST", .target = "/cancel"};
	struct http_response resp;
	struct br_error err;

	http_request_add(&req, "Briarreel-Request-Id", request_id);
	if (!http_pool_exchange(d->node->target_pool, address, &req, CANCEL_TIMEOUT_MS, &resp,
				&err))
		http_response_free(&resp);
}

/* Sets the request id sent to the target: the caller's, or one derived from the attempt id. */
static void set_target_request_id(struct active_call *ac)
{
	br_copy_text(ac->target_request_id, sizeof(ac->target_request_id),
		     ac->call->request_id[0] ? ac->call->request_id : ac->attempt);
	/* Targets reuse the id for child calls, where "/" is not allowed in a request id. */
	for (char *p = ac->target_request_id; *p; p++)
		if (*p == '/')
			*p = '.';
}

static void build_target_request(const struct call *c, const struct active_call *ac,
				 struct parent *p, struct http_request *req, char values[3][16])
{
	*req = (struct http_request){.method = c->method,
				     .target = c->request_target,
				     .body = c->body,
				     .body_len = c->body_len};
	for (size_t i = 0; i < c->n_headers; i++)
		http_request_add(req, c->headers[i].name, c->headers[i].value);
	snprintf(values[0], sizeof(values[0]), "%u", c->priority);
	snprintf(values[1], sizeof(values[1]), "%u", call_remaining_ms(c, clock_now_us()));
	http_request_add(req, "Briarreel-Request-Id", ac->target_request_id);
	http_request_add(req, "Briarreel-Account", c->account);
	http_request_add(req, "Briarreel-Priority", values[0]);
	http_request_add(req, "Briarreel-Deadline-Ms", values[1]);
	http_request_add(req, "Briarreel-Context", parent_token(p));
}

/* Outcome of a request whose exchange with the target failed. */
static struct br_outcome outcome_of_error(const struct br_error *err)
{
	if (err->step == BR_STEP_VALIDATE)
		return br_outcome_not_run(BR_REASON_MALFORMED, 0);
	if (err->step == BR_STEP_CONNECT)
		return br_outcome_not_run(BR_REASON_CONNECT_FAILED, DROP_RETRY_AFTER_MS);
	if (err->code == -ETIMEDOUT)
		return br_outcome_unknown(BR_REASON_TIMEOUT);
	if (err->code == -EBADMSG || err->code == -EMSGSIZE)
		return br_outcome_unknown(BR_REASON_ANSWER_TRUNCATED);
	return br_outcome_unknown(BR_REASON_CONNECTION_LOST);
}

static struct br_outcome outcome_of_response(const struct http_response *resp)
{
	const char *outcome = http_response_header(resp, "Briarreel-Outcome");

	if (resp->status == 503 && outcome && !strcmp(outcome, "not-run"))
		return br_outcome_not_run(BR_REASON_TARGET_SHED, DROP_RETRY_AFTER_MS);
	return br_outcome_answered(resp->status);
}

/* Sends an admitted request to the target and releases its capacity when it ends. */
static void run_on_target(struct dispatch *d, struct active_call *ac, const struct target_info *t,
			  struct call_answer *ans)
{
	struct call *c = ac->call;
	struct http_request req;
	struct br_error err = {0};
	char values[3][16];
	uint64_t start_us;
	uint32_t remaining_ms;
	bool cancelled;
	int ret;

	pthread_mutex_lock(&d->lock);
	ac->parent = parent_begin(d->parents, c);
	cancelled = ac->cancelled;
	pthread_mutex_unlock(&d->lock);
	build_target_request(c, ac, ac->parent, &req, values);
	start_us = clock_now_us();
	remaining_ms = call_remaining_ms(c, start_us);
	if (!remaining_ms || cancelled) {
		ans->retries_left = parent_end(d->parents, ac->parent);
		release_capacity(d, ac, 0, false);
		call_answer_set_outcome(ans, br_outcome_not_run(remaining_ms ? BR_REASON_CANCELLED
									     : BR_REASON_DEADLINE,
								0));
		return;
	}
	counter_add(COUNTER_DISPATCHED, 1);
	ret = http_pool_exchange(d->node->target_pool, t->address, &req, remaining_ms, &ans->resp,
				 &err);
	ans->outcome = ret ? outcome_of_error(&err) : outcome_of_response(&ans->resp);
	if (ret == -ETIMEDOUT)
		send_cancel(d, t->address, ac->target_request_id);
	if (ret)
		log_info("Target %s: %s: %s.", err.peer, br_step_name(err.step), err.detail);
	ans->retries_left = parent_end(d->parents, ac->parent);
	release_capacity(d, ac, ret && err.step == BR_STEP_CONNECT ? 0 : clock_now_us() - start_us,
			 ans->outcome.kind == BR_OUTCOME_NOT_RUN);
	if (ans->outcome.kind != BR_OUTCOME_ANSWERED)
		http_response_free(&ans->resp);
}

/* Stores the result of an attempt and wakes the duplicates that wait for it. */
static void record_end(struct dispatch *d, const struct br_attempt_id *id,
		       const struct call_answer *ans)
{
	struct br_answer *stored = NULL;
	size_t len = 0;
	char *headers;

	if (ans->outcome.kind == BR_OUTCOME_ANSWERED) {
		headers = call_headers_encode(&ans->resp, &len);
		if (headers)
			stored = br_answer_create(ans->resp.status, headers, len, ans->resp.body,
						  ans->resp.body_len);
		free(headers);
	}
	pthread_mutex_lock(&d->dedup_lock);
	if (ans->outcome.kind == BR_OUTCOME_NOT_RUN)
		br_dedup_mark_not_run(d->dedup, id, clock_now_us());
	else
		br_dedup_finish(d->dedup, id, stored, clock_now_us());
	pthread_cond_broadcast(&d->attempt_done);
	pthread_mutex_unlock(&d->dedup_lock);
	br_answer_put(stored);
}

static void run_new_attempt(struct dispatch *d, struct call *c, const struct dispatch_attempt *att,
			    struct call_answer *ans)
{
	struct active_call ac = {.call = c};
	struct target_info t;

	br_attempt_id_format(&att->id, ac.attempt);
	set_target_request_id(&ac);
	cond_init_monotonic(&ac.cond);
	if (admit(d, &ac, &t, ans))
		run_on_target(d, &ac, &t, ans);
	pthread_cond_destroy(&ac.cond);
	record_end(d, &att->id, ans);
}

static void answer_from_store(const struct br_answer *stored, struct call_answer *ans)
{
	size_t len;
	const void *p = br_answer_headers(stored, &len);

	http_response_free(&ans->resp);
	ans->resp.status = br_answer_status(stored);
	call_headers_decode(p, len, &ans->resp);
	p = br_answer_body(stored, &len);
	ans->resp.body = malloc(len + 1);
	if (!ans->resp.body)
		abort();
	if (len)
		memcpy(ans->resp.body, p, len);
	ans->resp.body[len] = '\0';
	ans->resp.body_len = len;
	ans->outcome = br_outcome_answered(ans->resp.status);
}

static void answer_from_state(struct br_dedup_result *res, struct call_answer *ans)
{
	/* The unused retries of a joined attempt go to the request that started it. */
	ans->retries_left = 0;
	switch (res->state) {
	case BR_DEDUP_DONE:
		answer_from_store(res->answer, ans);
		br_answer_put(res->answer);
		return;
	case BR_DEDUP_NOT_RUN:
		/* The entry node of the attempt may still run the request in another attempt. */
		call_answer_set_outcome(ans, br_outcome_unknown(BR_REASON_FIRST_UNKNOWN));
		return;
	case BR_DEDUP_FULL:
		call_answer_set_outcome(ans, br_outcome_not_run(BR_REASON_DEDUP_FULL, 1000));
		return;
	case BR_DEDUP_DONE_NO_ANSWER:
		call_answer_set_outcome(ans, br_outcome_unknown(BR_REASON_ANSWER_NOT_KEPT));
		return;
	case BR_DEDUP_STALE:
		call_answer_set_outcome(ans, br_outcome_unknown(BR_REASON_STALE_ATTEMPT));
		return;
	case BR_DEDUP_WRONG_INCARNATION:
		call_answer_set_outcome(ans, br_outcome_unknown(BR_REASON_WRONG_INCARNATION));
		return;
	case BR_DEDUP_ABSENT:
		call_answer_set_outcome(ans, br_outcome_unknown(BR_REASON_FIRST_UNKNOWN));
		return;
	case BR_DEDUP_NEW:
	case BR_DEDUP_RUNNING:
		call_answer_set_outcome(ans, br_outcome_unknown(BR_REASON_TIMEOUT));
		return;
	}
}

/* Fills the load that is reported with the answer. */
static void fill_load(struct dispatch *d, const struct call *c, struct call_answer *ans)
{
	uint32_t downstream = forward_route_threshold(d->node->forward, c->route, clock_now_us());

	pthread_mutex_lock(&d->lock);
	ans->threshold = br_admission_threshold(d->admission);
	ans->in_flight = br_admission_in_flight(d->admission) + br_admission_queued(d->admission);
	ans->limit = br_limiter_limit(d->limiter);
	pthread_mutex_unlock(&d->lock);
	if (downstream < ans->threshold)
		ans->threshold = downstream;
}

void dispatch_run(struct dispatch *d, struct call *c, const struct dispatch_attempt *att,
		  struct call_answer *ans)
{
	struct br_dedup_req req = {.id = att->id,
				   .target_incarnation = att->target_incarnation,
				   .account = c->scope,
				   .request_id = c->request_id[0] && !c->idempotent ? c->request_id
										    : NULL,
				   .idempotent = c->idempotent,
				   .attach = att->attach};
	struct br_dedup_result res;

	memset(ans, 0, sizeof(*ans));
	ans->retries_left = c->retries;
	pthread_mutex_lock(&d->dedup_lock);
	res = br_dedup_begin(d->dedup, &req, clock_now_us());
	if (res.state == BR_DEDUP_NEW) {
		pthread_mutex_unlock(&d->dedup_lock);
		run_new_attempt(d, c, att, ans);
		fill_load(d, c, ans);
		return;
	}
	counter_add(COUNTER_DUPLICATES, 1);
	while (res.state == BR_DEDUP_RUNNING && call_remaining_ms(c, clock_now_us())) {
		cond_wait_for(&d->attempt_done, &d->dedup_lock, 50 * BR_US_PER_MS);
		res = br_dedup_find(d->dedup, &res.attempt);
	}
	pthread_mutex_unlock(&d->dedup_lock);
	answer_from_state(&res, ans);
	fill_load(d, c, ans);
}

const char *dispatch_attempt_state(struct dispatch *d, const struct br_attempt_id *id)
{
	struct br_dedup_result res;

	pthread_mutex_lock(&d->dedup_lock);
	res = br_dedup_find(d->dedup, id);
	pthread_mutex_unlock(&d->dedup_lock);
	br_answer_put(res.answer);
	switch (res.state) {
	case BR_DEDUP_RUNNING:
		return "running";
	case BR_DEDUP_DONE:
	case BR_DEDUP_DONE_NO_ANSWER:
		return "done";
	case BR_DEDUP_ABSENT:
		return "absent";
	default:
		return "other";
	}
}

void dispatch_cancel(struct dispatch *d, const char *attempt)
{
	struct target_info t;
	struct active_call *ac;
	struct parent *p = NULL;
	char id[BR_ATTEMPT_ID_BYTES] = "";

	pthread_mutex_lock(&d->lock);
	for (ac = d->active_calls; ac; ac = ac->next)
		if (!strcmp(ac->attempt, attempt))
			break;
	if (ac && !ac->cancelled) {
		ac->cancelled = true;
		counter_add(COUNTER_CANCELLED, 1);
		pthread_cond_signal(&ac->cond);
		if (ac->granted) {
			br_copy_text(id, sizeof(id), ac->target_request_id);
			p = ac->parent ? parent_get(ac->parent) : NULL;
		}
	}
	pthread_mutex_unlock(&d->lock);
	if (!id[0])
		return;
	blackboard_target(d->node->board, &t);
	send_cancel(d, t.address, id);
	if (p) {
		parent_cancel_children(p, d->node->forward);
		parent_put(p);
	}
}

void dispatch_tick(struct dispatch *d, uint64_t now_us)
{
	struct target_info t;

	blackboard_target_expire(d->node->board, now_us);
	blackboard_target(d->node->board, &t);
	pthread_mutex_lock(&d->lock);
	br_admission_tick(d->admission, now_us);
	if (!t.present || t.draining)
		br_admission_drop_all(d->admission);
	else
		start_queued(d, now_us);
	pthread_mutex_unlock(&d->lock);
	pthread_mutex_lock(&d->dedup_lock);
	br_dedup_expire(d->dedup, now_us);
	pthread_mutex_unlock(&d->dedup_lock);
}

uint32_t dispatch_active_requests(struct dispatch *d)
{
	uint32_t n;

	pthread_mutex_lock(&d->lock);
	n = d->n_active_calls;
	pthread_mutex_unlock(&d->lock);
	return n;
}

struct parent_table *dispatch_parents(struct dispatch *d)
{
	return d->parents;
}

size_t dispatch_format_counters(struct dispatch *d, char *buf, size_t bytes)
{
	struct br_dedup_stats st;
	uint32_t in_flight, queued, limit, threshold;
	int n;

	pthread_mutex_lock(&d->lock);
	in_flight = br_admission_in_flight(d->admission);
	queued = br_admission_queued(d->admission);
	limit = br_limiter_limit(d->limiter);
	threshold = br_admission_threshold(d->admission);
	pthread_mutex_unlock(&d->lock);
	pthread_mutex_lock(&d->dedup_lock);
	br_dedup_stats(d->dedup, &st);
	pthread_mutex_unlock(&d->dedup_lock);
	n = snprintf(buf, bytes,
		     "briarreel_target_in_flight %u\nbriarreel_target_queued %u\n"
		     "briarreel_target_limit %u\nbriarreel_admission_threshold %u\n"
		     "briarreel_attempts_remembered %u\nbriarreel_answer_bytes %llu\n",
		     in_flight, queued, limit, threshold, st.attempts,
		     (unsigned long long)st.answer_bytes);
	return n < 0 || (size_t)n >= bytes ? 0 : (size_t)n;
}
