#include "node/forward.h"

#include "briarreel/admission.h"
#include "briarreel/allowance.h"
#include "briarreel/balance.h"
#include "briarreel/error.h"
#include "briarreel/membership.h"
#include "briarreel/pressure.h"
#include "common/clock.h"
#include "common/log.h"
#include "node/blackboard.h"
#include "node/claims.h"
#include "node/counters.h"
#include "node/dispatch.h"
#include "node/node.h"
#include "node/node_settings.h"

#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_PREFIX "forward"

#define MAX_CANDIDATES 128
#define MAX_TRIED 16
#define CANCEL_TIMEOUT_MS 500
#define PROBE_TIMEOUT_MS 300
/*
 * Maximum number of times that an attempt is sent, each time over another connection. Its outcome
 * is unknown if no answer was received then.
 */
#define REATTACH_MAX_IDEMPOTENT 2
#define REATTACH_MAX_NON_IDEMPOTENT 20
#define REATTACH_PAUSE_MS 50
/*
 * Requests up to this many levels above the learned threshold are still forwarded. An entry node
 * does not know a request's sublevel, and if most requests have the same level, a threshold moves
 * by a whole priority in one step. Within this margin the target's node decides; it refuses only
 * requests that would have to queue.
 */
#define EARLY_SLACK_LEVELS BR_SUBLEVELS
/* Maximum retries of a call after overload refusals; they add load to an overloaded service. */
#define OVERLOAD_RETRIES_MAX 1
#define RETRY_PAUSE_MS 5

struct forward {
	struct node *node;
	/** Guards the following fields. */
	pthread_mutex_t lock;
	struct br_balance *balance;
	struct br_pressure *pressure;
	struct br_rng rng;
	uint64_t next_attempt;
};

/** State of one forward_call(). */
struct forward_ctx {
	struct forward *f;
	struct call *c;
	struct br_allowance allowance;
	struct br_node_id tried[MAX_TRIED];
	size_t n_tried;
	uint32_t overload_retries;
	/** True if the call's request id must be claimed before each attempt. */
	bool needs_claim;
	/** True while the attempt claimed_by of this call holds the claim. */
	bool claimed;
	struct br_attempt_id claimed_by;
	/** An earlier attempt may have run, so the outcome of the call cannot be "not run". */
	bool may_have_run;
};

/** One attempt at one node. */
struct attempt {
	struct br_attempt_id id;
	char text[BR_ATTEMPT_ID_BYTES];
	struct br_node_id peer;
	/** Incarnation of the peer. */
	uint64_t incarnation;
	/** Retries of the call's allowance that this attempt may use. */
	uint32_t delegated_retries;
	/** Only join the attempt, which another forward_call() started; never start it. */
	bool attach;
};

struct forward *forward_create(struct node *node)
{
	struct forward *f = calloc(1, sizeof(*f));
	uint64_t seed;

	if (!f)
		return NULL;
	f->node = node;
	pthread_mutex_init(&f->lock, NULL);
	f->balance = br_balance_create((uint64_t)node->settings->warmup_ms * BR_US_PER_MS);
	f->pressure = br_pressure_create();
	randombytes_buf(&seed, sizeof(seed));
	br_rng_seed(&f->rng, seed);
	if (!f->balance || !f->pressure) {
		forward_destroy(f);
		return NULL;
	}
	return f;
}

void forward_destroy(struct forward *f)
{
	if (!f)
		return;
	if (f->balance)
		br_balance_destroy(f->balance);
	if (f->pressure)
		br_pressure_destroy(f->pressure);
	pthread_mutex_destroy(&f->lock);
	free(f);
}

void forward_add_mesh_token(struct forward *f, struct http_request *req)
{
	http_request_add(req, "Briarreel-Mesh-Token", f->node->settings->mesh_token);
}

uint32_t forward_route_threshold(struct forward *f, const char *route, uint64_t now_us)
{
	uint32_t threshold;

	pthread_mutex_lock(&f->lock);
	threshold = br_pressure_route_min(f->pressure, route, now_us);
	pthread_mutex_unlock(&f->lock);
	return threshold;
}

void forward_record_downstream(struct forward *f, const char *route, const char *service)
{
	pthread_mutex_lock(&f->lock);
	br_pressure_record_downstream(f->pressure, route, service, clock_now_us());
	pthread_mutex_unlock(&f->lock);
}

bool forward_should_refuse_early(struct forward *f, const struct call *c)
{
	uint32_t level = (uint32_t)c->priority * BR_SUBLEVELS;
	bool admit;

	level = level > EARLY_SLACK_LEVELS ? level - EARLY_SLACK_LEVELS : 0;
	pthread_mutex_lock(&f->lock);
	admit = br_pressure_admit(f->pressure, c->service, level, &f->rng, clock_now_us());
	pthread_mutex_unlock(&f->lock);
	return !admit;
}

/*
 * Selects a node whose target serves the call's service, and assigns the attempt id. Returns false
 * if there is no such node.
 */
static bool pick_peer(struct forward_ctx *ctx, struct attempt *a)
{
	struct forward *f = ctx->f;
	struct br_balance_candidate candidates[MAX_CANDIDATES];
	const struct br_member *const *targets;
	struct br_members_view *view = blackboard_members(f->node->board);
	size_t n = 0;
	int i = -ENOENT;

	if (!view)
		return false;
	targets = br_members_view_targets(view, ctx->c->service, &n);
	if (n > MAX_CANDIDATES)
		n = MAX_CANDIDATES;
	for (size_t k = 0; k < n; k++)
		candidates[k] = (struct br_balance_candidate){.id = targets[k]->id,
							      .zone = targets[k]->zone};
	pthread_mutex_lock(&f->lock);
	if (n)
		i = br_balance_pick(f->balance, candidates, n, f->node->settings->zone, ctx->tried,
				    ctx->n_tried, &f->rng, clock_now_us());
	a->id = (struct br_attempt_id){.entry = f->node->id,
				       .incarnation = f->node->incarnation,
				       .counter = ++f->next_attempt};
	pthread_mutex_unlock(&f->lock);
	if (i >= 0) {
		a->peer = targets[i]->id;
		a->incarnation = targets[i]->instance;
		br_attempt_id_format(&a->id, a->text);
	}
	br_members_view_put(view);
	return i >= 0;
}

/* Records the attempt and its node for cancellation. Returns false if already cancelled. */
static bool record_forwarded(struct call *c, const struct attempt *a)
{
	bool proceed;

	pthread_mutex_lock(&c->cancel.lock);
	proceed = !c->cancel.cancelled;
	c->cancel.forwarded = proceed;
	c->cancel.peer = a->peer;
	br_copy_text(c->cancel.attempt, sizeof(c->cancel.attempt), a->text);
	pthread_mutex_unlock(&c->cancel.lock);
	return proceed;
}

static void send_cancel(struct forward *f, const struct br_node_id *peer, const char *attempt)
{
	struct http_request req = {.method = "POST", .target = "/briarreel/cancel"};
	struct http_response resp;
	struct br_error err;

	if (br_node_id_equal(peer, &f->node->id)) {
		dispatch_cancel(f->node->dispatch, attempt);
		return;
	}
	forward_add_mesh_token(f, &req);
	http_request_add(&req, "Briarreel-Attempt-Id", attempt);
	if (!http_pool_exchange(f->node->peer_pool, peer->text, &req, CANCEL_TIMEOUT_MS, &resp,
				&err))
		http_response_free(&resp);
}

void forward_cancel(struct forward *f, struct call *c)
{
	char attempt[BR_ATTEMPT_ID_BYTES] = "";
	struct br_node_id peer = {0};

	pthread_mutex_lock(&c->cancel.lock);
	if (!c->cancel.cancelled && c->cancel.forwarded) {
		peer = c->cancel.peer;
		br_copy_text(attempt, sizeof(attempt), c->cancel.attempt);
	}
	c->cancel.cancelled = true;
	pthread_mutex_unlock(&c->cancel.lock);
	if (attempt[0])
		send_cancel(f, &peer, attempt);
}

/** Formatted header values of a request to a peer. */
struct peer_header_values {
	char priority[16];
	char remaining_ms[16];
	char retries[16];
	char depth[16];
	char incarnation[24];
};

static void build_request(struct forward *f, const struct call *c, const struct attempt *a,
			  struct http_request *req, struct peer_header_values *values)
{
	*req = (struct http_request){.method = c->method,
				     .target = c->request_target,
				     .body = c->body,
				     .body_len = c->body_len};
	for (size_t i = 0; i < c->n_headers; i++)
		http_request_add(req, c->headers[i].name, c->headers[i].value);
	snprintf(values->priority, sizeof(values->priority), "%u", c->priority);
	snprintf(values->remaining_ms, sizeof(values->remaining_ms), "%u",
		 call_remaining_ms(c, clock_now_us()));
	snprintf(values->retries, sizeof(values->retries), "%u", a->delegated_retries);
	snprintf(values->depth, sizeof(values->depth), "%u", c->depth);
	snprintf(values->incarnation, sizeof(values->incarnation), "%llu",
		 (unsigned long long)a->incarnation);
	forward_add_mesh_token(f, req);
	http_request_add(req, "Briarreel-Service", c->service);
	http_request_add(req, "Briarreel-Account", c->account);
	http_request_add(req, "Briarreel-Route", c->route);
	http_request_add(req, "Briarreel-Priority", values->priority);
	http_request_add(req, "Briarreel-Deadline-Ms", values->remaining_ms);
	http_request_add(req, "Briarreel-Retries-Left", values->retries);
	http_request_add(req, "Briarreel-Depth", values->depth);
	http_request_add(req, "Briarreel-Attempt-Id", a->text);
	http_request_add(req, "Briarreel-Incarnation", values->incarnation);
	http_request_add(req, "Briarreel-Idempotent", c->idempotent ? "1" : "0");
	if (c->request_id[0])
		http_request_add(req, "Briarreel-Request-Id", c->request_id);
	if (a->attach)
		http_request_add(req, "Briarreel-Attach", "1");
}

/** Arguments of attempt_still_running(). */
struct silence_probe {
	struct forward *f;
	const struct attempt *a;
	struct call *c;
};

/*
 * Asks the node over another connection whether the attempt still runs. If it does, the target has
 * not answered yet. If the attempt has ended or never arrived, its answer will not arrive on the
 * original connection, which is then closed. It is also closed if this check fails.
 */
static bool attempt_still_running(void *arg)
{
	struct silence_probe *s = arg;
	struct http_request req = {.method = "GET", .target = "/briarreel/attempt"};
	struct http_response resp;
	struct br_error err;
	bool running;

	forward_add_mesh_token(s->f, &req);
	http_request_add(&req, "Briarreel-Attempt-Id", s->a->text);
	if (http_pool_exchange(s->f->node->peer_pool, s->a->peer.text, &req, PROBE_TIMEOUT_MS,
			       &resp, &err))
		return false;
	running =
		resp.body_len == strlen("running") && !memcmp(resp.body, "running", resp.body_len);
	http_response_free(&resp);
	return running;
}

static uint32_t header_u32(const struct http_response *resp, const char *name, uint32_t fallback)
{
	const char *text = http_response_header(resp, name);

	return text ? (uint32_t)strtoul(text, NULL, 10) : fallback;
}

static void read_answer(const struct attempt *a, struct http_response *resp,
			struct call_answer *ans)
{
	const char *echo = http_response_header(resp, "Briarreel-Attempt-Id");

	if (!echo || strcmp(echo, a->text) != 0) {
		log_warn("Peer %s answered attempt %s with a missing or different attempt id.",
			 a->peer.text, a->text);
		http_response_free(resp);
		call_answer_set_outcome(ans, br_outcome_unknown(BR_REASON_CONNECTION_LOST));
		return;
	}
	ans->outcome =
		br_outcome_of_peer(resp->status, http_response_header(resp, "Briarreel-Outcome"),
				   http_response_header(resp, "Briarreel-Reason"),
				   header_u32(resp, "Briarreel-Retry-After-Ms", 0));
	ans->retries_left = header_u32(resp, "Briarreel-Retries-Left", 0);
	ans->threshold = header_u32(resp, "Briarreel-Threshold", BR_THRESHOLD_MAX);
	ans->in_flight = header_u32(resp, "Briarreel-Inflight", 0);
	ans->limit = header_u32(resp, "Briarreel-Limit", 0);
	if (ans->outcome.kind == BR_OUTCOME_ANSWERED)
		ans->resp = *resp;
	else
		http_response_free(resp);
}

/*
 * Runs one attempt at another node. If the connection is lost, the same attempt is sent again over
 * a new one; that node recognizes its id and waits for its end or returns its stored answer.
 */
static void send_attempt(struct forward *f, struct call *c, struct attempt *a,
			 struct call_answer *ans)
{
	struct silence_probe silence_probe = {.f = f, .a = a, .c = c};
	int max = c->idempotent ? REATTACH_MAX_IDEMPOTENT : REATTACH_MAX_NON_IDEMPOTENT;
	bool sent = a->attach;

	for (int i = 0; i < max; i++) {
		struct http_wait wait = {.timeout_ms = call_remaining_ms(c, clock_now_us()),
					 .silence_ms = f->node->settings->silence_ms,
					 .on_silence = attempt_still_running,
					 .arg = &silence_probe};
		struct http_response resp;
		struct http_request req;
		struct peer_header_values values;
		struct br_error err = {0};
		int ret;

		if (!wait.timeout_ms)
			break;
		build_request(f, c, a, &req, &values);
		ret = http_pool_exchange_wait(f->node->peer_pool, a->peer.text, &req, &wait, &resp,
					      &err);
		if (!ret) {
			read_answer(a, &resp, ans);
			/*
			 * The replying process has another incarnation and did not run the attempt.
			 * Nor did an earlier process at this address: no earlier message of this
			 * attempt was sent, and the pool sends a request only once, on the
			 * connection that returned this reply.
			 */
			if (!sent &&
			    br_outcome_reason(&ans->outcome) == BR_REASON_WRONG_INCARNATION)
				ans->outcome = br_outcome_not_run(BR_REASON_CONNECT_FAILED, 0);
			return;
		}
		if (err.step == BR_STEP_VALIDATE) {
			call_answer_set_outcome(ans,
						sent ? br_outcome_unknown(BR_REASON_CONNECTION_LOST)
						     : br_outcome_not_run(BR_REASON_MALFORMED, 0));
			return;
		}
		if (err.step == BR_STEP_CONNECT) {
			log_info("Peer %s: connect: %s.", a->peer.text, err.detail);
			pthread_mutex_lock(&f->lock);
			br_balance_record_connect_failure(f->balance, &a->peer, clock_now_us());
			pthread_mutex_unlock(&f->lock);
			if (sent)
				break;
			call_answer_set_outcome(ans,
						br_outcome_not_run(BR_REASON_CONNECT_FAILED, 200));
			return;
		}
		sent = true;
		log_info("Peer %s: %s: %s.", a->peer.text, br_step_name(err.step), err.detail);
		if (ret == -ETIMEDOUT)
			break;
		counter_add(COUNTER_REATTACHED, 1);
		if (i)
			clock_sleep_ms(REATTACH_PAUSE_MS);
	}
	if (!call_remaining_ms(c, clock_now_us())) {
		send_cancel(f, &a->peer, a->text);
		call_answer_set_outcome(ans, br_outcome_unknown(BR_REASON_TIMEOUT));
		return;
	}
	call_answer_set_outcome(ans, br_outcome_unknown(BR_REASON_CONNECTION_LOST));
}

static enum br_balance_end balance_end(const struct call_answer *ans)
{
	switch (ans->outcome.kind) {
	case BR_OUTCOME_ANSWERED:
		return ans->outcome.answered.status >= 500 ? BR_BALANCE_ERROR : BR_BALANCE_OK;
	case BR_OUTCOME_NOT_RUN:
		return BR_BALANCE_REFUSED;
	case BR_OUTCOME_UNKNOWN:
		return BR_BALANCE_ERROR;
	}
	return BR_BALANCE_ERROR;
}

static void record_attempt_end(struct forward *f, const struct call *c, const struct attempt *a,
			       const struct call_answer *ans)
{
	uint64_t now_us = clock_now_us();
	bool reported = ans->limit != 0;

	pthread_mutex_lock(&f->lock);
	if (reported) {
		br_balance_record_load(f->balance, &a->peer, ans->in_flight, ans->limit, now_us);
		br_pressure_record_threshold(f->pressure, c->service, ans->threshold, now_us);
	}
	br_balance_request_ended(f->balance, &a->peer, balance_end(ans), now_us);
	pthread_mutex_unlock(&f->lock);
}

static void run_attempt(struct forward_ctx *ctx, struct attempt *a, struct call_answer *ans)
{
	struct forward *f = ctx->f;
	struct call *c = ctx->c;

	memset(ans, 0, sizeof(*ans));
	if (!record_forwarded(c, a)) {
		call_answer_set_outcome(ans, br_outcome_not_run(BR_REASON_CANCELLED, 0));
		return;
	}
	pthread_mutex_lock(&f->lock);
	br_balance_request_started(f->balance, &a->peer, clock_now_us());
	pthread_mutex_unlock(&f->lock);
	a->delegated_retries = br_allowance_delegate(&ctx->allowance);
	if (br_node_id_equal(&a->peer, &f->node->id)) {
		struct dispatch_attempt att = {
			.id = a->id, .target_incarnation = a->incarnation, .attach = a->attach};
		uint32_t retries = c->retries;

		/* dispatch_run() reads the retries of the attempt from the call. */
		c->retries = a->delegated_retries;
		dispatch_run(f->node->dispatch, c, &att, ans);
		c->retries = retries;
	} else {
		send_attempt(f, c, a, ans);
	}
	if (ans->outcome.kind == BR_OUTCOME_UNKNOWN)
		br_allowance_mark_lost(&ctx->allowance, a->delegated_retries);
	else
		br_allowance_return(&ctx->allowance, a->delegated_retries,
				    ans->retries_left < a->delegated_retries
					    ? ans->retries_left
					    : a->delegated_retries);
	record_attempt_end(f, c, a, ans);
}

/* Waits for the answer of the attempt that holds the claim of this request id. */
static void join_claiming_attempt(struct forward_ctx *ctx, const struct br_claim_location *location,
				  struct call_answer *ans)
{
	struct attempt a = {.id = location->attempt,
			    .peer = location->node,
			    .incarnation = location->incarnation,
			    .attach = true};

	br_attempt_id_format(&a.id, a.text);
	counter_add(COUNTER_DUPLICATES, 1);
	run_attempt(ctx, &a, ans);
	switch (br_outcome_reason(&ans->outcome)) {
	case BR_REASON_CONNECT_FAILED:
	case BR_REASON_WRONG_INCARNATION:
	case BR_REASON_CONNECTION_LOST:
		call_answer_set_outcome(ans, br_outcome_unknown(BR_REASON_FIRST_NODE_GONE));
		break;
	default:
		break;
	}
}

/*
 * Claims the request id for an attempt. Returns true if the attempt may be sent; otherwise ans
 * holds the outcome of the call.
 */
static bool claim_request_id(struct forward_ctx *ctx, const struct attempt *a,
			     struct call_answer *ans)
{
	struct br_claim_location location = {
		.attempt = a->id, .node = a->peer, .incarnation = a->incarnation};
	struct br_claim_reply reply;
	int ret;

	ret = claims_claim(ctx->f->node->claims, ctx->c, ctx->claimed ? &ctx->claimed_by : NULL,
			   &location, &reply);
	if (ret) {
		call_answer_set_outcome(ans,
					br_outcome_not_run(BR_REASON_REGISTRAR_UNREACHABLE, 1000));
		return false;
	}
	switch (reply.result) {
	case BR_CLAIM_GRANTED:
		ctx->claimed = true;
		ctx->claimed_by = a->id;
		return true;
	case BR_CLAIM_RUNS_AT:
		ctx->claimed = false;
		join_claiming_attempt(ctx, &reply.location, ans);
		return false;
	case BR_CLAIM_DISPATCHING:
		ctx->claimed = false;
		call_answer_set_outcome(ans, br_outcome_unknown(BR_REASON_FIRST_UNKNOWN));
		return false;
	case BR_CLAIM_NO_HISTORY:
		call_answer_set_outcome(
			ans, br_outcome_not_run(BR_REASON_REGISTRAR_NO_HISTORY,
						(uint32_t)(reply.retry_after_us / BR_US_PER_MS)));
		return false;
	case BR_CLAIM_FULL:
		call_answer_set_outcome(ans, br_outcome_not_run(BR_REASON_REGISTRAR_FULL, 1000));
		return false;
	case BR_CLAIM_NOT_HOLDER:
	case BR_CLAIM_RELEASED:
		call_answer_set_outcome(ans,
					br_outcome_not_run(BR_REASON_REGISTRAR_UNREACHABLE, 1000));
		return false;
	}
	return false;
}

/*
 * Spends a retry and excludes the tried peer from the next attempt. Returns false if no further
 * attempt may be made.
 */
static bool prepare_retry(struct forward_ctx *ctx, const struct attempt *a,
			  const struct call_answer *ans)
{
	enum br_reason reason = br_outcome_reason(&ans->outcome);

	if (!br_outcome_retryable(&ans->outcome, ctx->c->idempotent) || call_cancelled(ctx->c) ||
	    !call_remaining_ms(ctx->c, clock_now_us()))
		return false;
	if ((reason == BR_REASON_OVERLOAD || reason == BR_REASON_QUEUE_FULL) &&
	    ctx->overload_retries++ >= OVERLOAD_RETRIES_MAX)
		return false;
	if (!br_allowance_spend(&ctx->allowance))
		return false;
	ctx->may_have_run |= ans->outcome.kind == BR_OUTCOME_UNKNOWN;
	if (ctx->n_tried < MAX_TRIED)
		ctx->tried[ctx->n_tried++] = a->peer;
	counter_add(COUNTER_RETRIES, 1);
	return true;
}

void forward_call(struct forward *f, struct call *c, struct call_answer *ans)
{
	struct forward_ctx ctx = {
		.f = f, .c = c, .needs_claim = !c->idempotent && c->request_id[0]};

	memset(ans, 0, sizeof(*ans));
	br_allowance_init(&ctx.allowance, c->retries);
	for (;;) {
		struct attempt a = {0};

		if (!pick_peer(&ctx, &a)) {
			if (!ctx.n_tried)
				call_answer_set_outcome(
					ans, br_outcome_not_run(BR_REASON_NO_TARGET, 500));
			break;
		}
		if (ctx.needs_claim && !claim_request_id(&ctx, &a, ans))
			break;
		call_answer_free(ans);
		run_attempt(&ctx, &a, ans);
		if (!prepare_retry(&ctx, &a, ans))
			break;
		clock_sleep_ms(RETRY_PAUSE_MS);
	}
	if (ctx.claimed && ans->outcome.kind == BR_OUTCOME_NOT_RUN)
		claims_release(f->node->claims, c, &ctx.claimed_by);
	if (ctx.may_have_run && ans->outcome.kind == BR_OUTCOME_NOT_RUN)
		call_answer_set_outcome(ans, br_outcome_unknown(BR_REASON_CONNECTION_LOST));
	ans->retries_left = br_allowance_close(&ctx.allowance);
	if (ans->outcome.kind == BR_OUTCOME_UNKNOWN)
		counter_add(COUNTER_UNKNOWN, 1);
}
