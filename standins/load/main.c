/**
 * @file main.c
 * Bounded open-loop load driver. Arrivals are a Poisson process and do not wait for answers, as
 * long as the stream has a free connection; latency is measured from the time a request was due.
 */
#include "briarreel/error.h"
#include "common/clock.h"
#include "common/http_client.h"
#include "common/log.h"
#include "plan.h"
#include "standins/standin.h"
#include "tally.h"

#include <errno.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <math.h>
#include <stdatomic.h>
#include <unistd.h>

#define LOG_PREFIX "load"
#define MAX_PEERS 64
#define MAX_BODY_BYTES (16UL << 20)
#define START_DELAY_US 20000

/* One stream in one phase. */
struct stream_run {
	const struct plan_stream *stream;
	struct tally *tally;
	pthread_t *threads;
	uint32_t n_threads;
	pthread_mutex_t lock;
	struct br_rng rng;
	uint64_t next_due_us;
	uint64_t end_us;
};

/* The current attempt of a request; reused for all requests of a connection. */
struct attempt {
	char id[BR_REQUEST_ID_BYTES];
	char *body;
	uint32_t body_len;
	uint32_t number;
};

static char *peers[MAX_PEERS];
static uint32_t n_peers;
static struct http_pool *pool;
static uint64_t run_start_us;
static uint64_t id_base;
static atomic_ulong next_serial;
static atomic_long requests_left;
static atomic_bool interrupted;

/*
 * Takes the due time of the next request and draws the one after it. Returns false if the phase has
 * ended, the request limit is reached or the run is interrupted.
 */
static bool next_arrival(struct stream_run *r, uint64_t *due_us)
{
	bool more;

	pthread_mutex_lock(&r->lock);
	*due_us = r->next_due_us;
	more = *due_us < r->end_us && !interrupted;
	if (more) {
		double u = (double)(br_rng_next(&r->rng) >> 11) / (double)(1ULL << 53);

		r->next_due_us += (uint64_t)(-log(1.0 - u) / r->stream->rate_per_s * 1e6);
		more = atomic_fetch_sub(&requests_left, 1) > 0;
	}
	pthread_mutex_unlock(&r->lock);
	return more;
}

static void sleep_until(uint64_t due_us)
{
	uint64_t now_us = clock_now_us();
	struct timespec ts;

	if (now_us >= due_us)
		return;
	ts.tv_sec = (time_t)((due_us - now_us) / 1000000);
	ts.tv_nsec = (long)((due_us - now_us) % 1000000) * 1000;
	nanosleep(&ts, NULL);
}

/* Fills the body with the request id, so that an answer to another request is detected. */
static void fill_body(struct attempt *a)
{
	char token[96];
	int n = snprintf(token, sizeof(token), "%s|", a->id);

	for (uint32_t i = 0; i < a->body_len; i++)
		a->body[i] = token[i % (uint32_t)n];
}

static void new_id(struct attempt *a)
{
	snprintf(a->id, sizeof(a->id), "%" PRIx64 "-%lx", id_base,
		 atomic_fetch_add(&next_serial, 1));
	fill_body(a);
}

/* Checks that the answer is the one that the target stand-in gives to this request. */
static void check_answer(const struct stream_run *r, const struct attempt *a,
			 const struct http_response *resp, struct tally_result *out)
{
	const char *id = http_response_header(resp, "Briarreel-Request-Id");
	char expected[96];

	if (r->stream->id_mode != PLAN_ID_NONE && id && strcmp(id, a->id) != 0)
		out->crossed = true;
	if (a->body_len) {
		if (resp->body_len != a->body_len)
			out->incomplete = true;
		else if (memcmp(resp->body, a->body, a->body_len) != 0)
			out->crossed = true;
	} else if (r->stream->id_mode != PLAN_ID_NONE) {
		int n = snprintf(expected, sizeof(expected), "id=%s path=", a->id);

		if (resp->body_len < (size_t)n)
			out->incomplete = true;
		else if (memcmp(resp->body, expected, (size_t)n) != 0)
			out->crossed = true;
	}
}

static void classify_response(const struct stream_run *r, const struct attempt *a,
			      const struct http_response *resp, struct tally_result *out)
{
	const char *outcome = http_response_header(resp, "Briarreel-Outcome");
	const char *reason = http_response_header(resp, "Briarreel-Reason");

	if (reason)
		br_copy_text(out->reason, sizeof(out->reason), reason);
	else
		snprintf(out->reason, sizeof(out->reason), "status %d", resp->status);
	if (outcome && !strcmp(outcome, "not-run")) {
		out->outcome = TALLY_NOT_RUN;
	} else if (outcome && !strcmp(outcome, "unknown")) {
		out->outcome = TALLY_UNKNOWN;
	} else if (resp->status >= 400) {
		out->outcome = TALLY_ERROR;
	} else {
		out->outcome = TALLY_OK;
		check_answer(r, a, resp, out);
	}
}

static void classify_failure(const struct br_error *err, struct tally_result *out)
{
	out->outcome = err->step == BR_STEP_CONNECT ? TALLY_NOT_RUN : TALLY_UNKNOWN;
	br_copy_text(out->reason, sizeof(out->reason),
		     err->step == BR_STEP_CONNECT ? "no connection"
		     : err->code == -ETIMEDOUT	  ? "timeout"
		     : err->code == -EBADMSG	  ? "truncated"
						  : "connection lost");
}

static void send_attempt(const struct stream_run *r, const struct attempt *a, uint32_t left_ms,
			 struct tally_result *out)
{
	const struct plan_stream *s = r->stream;
	const char *peer = peers[atomic_fetch_add(&next_serial, 1) % n_peers];
	struct http_request req = {
		.method = s->method, .target = s->path, .body = a->body, .body_len = a->body_len};
	struct http_response resp;
	struct br_error err = {0};
	char auth[160];
	char deadline[16];
	char number[16];

	snprintf(auth, sizeof(auth), "Bearer %s", s->key);
	snprintf(deadline, sizeof(deadline), "%" PRIu32, left_ms);
	snprintf(number, sizeof(number), "%" PRIu32, a->number);
	if (s->key[0])
		http_request_add(&req, "Authorization", auth);
	http_request_add(&req, "Briarreel-Deadline-Ms", deadline);
	if (s->id_mode != PLAN_ID_NONE) {
		http_request_add(&req, "Briarreel-Request-Id", a->id);
		http_request_add(&req, "Briarreel-Attempt", number);
	}
	if (http_pool_exchange(pool, peer, &req, left_ms, &resp, &err)) {
		classify_failure(&err, out);
		return;
	}
	classify_response(r, a, &resp, out);
	http_response_free(&resp);
}

static void run_request(const struct stream_run *r, uint64_t due_us, struct attempt *a)
{
	const struct plan_stream *s = r->stream;
	uint64_t end_us = due_us + (uint64_t)s->deadline_ms * BR_US_PER_MS;
	struct tally_result out = {.outcome = TALLY_UNSENT};
	uint64_t now_us = clock_now_us();

	new_id(a);
	a->number = 1;
	while (now_us + BR_US_PER_MS <= end_us) {
		send_attempt(r, a, (uint32_t)((end_us - now_us) / BR_US_PER_MS), &out);
		if (out.outcome == TALLY_OK || out.attempts++ == s->retries)
			break;
		if (s->backoff_ms)
			clock_sleep_ms(s->backoff_ms);
		if (s->id_mode == PLAN_ID_SAME)
			a->number++;
		else
			new_id(a);
		now_us = clock_now_us();
	}
	if (out.outcome == TALLY_OK)
		out.attempts++;
	now_us = clock_now_us();
	out.latency_us = (uint32_t)(now_us - due_us);
	out.ended_us = now_us - run_start_us;
	out.due_us = due_us - run_start_us;
	tally_add(r->tally, &out);
}

static void *run_connection(void *arg)
{
	struct stream_run *r = arg;
	struct attempt a = {.body_len = r->stream->body_bytes};
	uint64_t due_us;

	a.body = malloc(a.body_len + 1);
	if (!a.body)
		abort();
	while (next_arrival(r, &due_us)) {
		sleep_until(due_us);
		run_request(r, due_us, &a);
	}
	free(a.body);
	return NULL;
}

static void start_stream(struct stream_run *r, const struct plan_phase *phase,
			 const struct plan_stream *s, uint64_t start_us, uint64_t seed)
{
	r->stream = s;
	r->tally = tally_create(phase->name, s->name);
	pthread_mutex_init(&r->lock, NULL);
	br_rng_seed(&r->rng, seed);
	r->next_due_us = start_us;
	r->end_us = start_us + (uint64_t)phase->duration_ms * BR_US_PER_MS;
	r->threads = calloc(s->connections, sizeof(r->threads[0]));
	if (!r->threads)
		abort();
	if (s->rate_per_s <= 0)
		return;
	for (uint32_t i = 0; i < s->connections; i++)
		if (!pthread_create(&r->threads[r->n_threads], NULL, run_connection, r))
			r->n_threads++;
}

static uint32_t run_plan(const struct plan *plan, struct stream_run *stream_runs, uint64_t seed)
{
	uint64_t start_us = run_start_us;
	uint32_t n = 0;

	for (uint32_t p = 0; p < plan->n_phases && !interrupted; p++) {
		const struct plan_phase *phase = &plan->phases[p];

		/* Started ahead, so that the threads exist when the phase begins. */
		sleep_until(start_us - START_DELAY_US);
		for (uint32_t i = 0; i < phase->n_streams; i++, n++)
			start_stream(&stream_runs[n], phase, &phase->streams[i], start_us,
				     seed * 1000003 + n);
		start_us += (uint64_t)phase->duration_ms * BR_US_PER_MS;
	}
	for (uint32_t i = 0; i < n; i++)
		for (uint32_t t = 0; t < stream_runs[i].n_threads; t++)
			pthread_join(stream_runs[i].threads[t], NULL);
	return n;
}

/* Stops new arrivals on SIGTERM or SIGINT; the results are still written. */
static void *watch_signals(void *arg)
{
	standin_wait_signal(arg);
	interrupted = true;
	return NULL;
}

static bool parse_peers(char *list)
{
	char *save;

	for (char *t = list ? strtok_r(list, ",", &save) : NULL; t && n_peers < MAX_PEERS;
	     t = strtok_r(NULL, ",", &save))
		peers[n_peers++] = t;
	return n_peers > 0;
}

static int write_results(struct tally *const *tallies, uint32_t n, const char *out)
{
	struct json_object *root = tally_json(tallies, n);
	int ret = 0;

	json_object_object_add(root, "limit_reached", json_object_new_boolean(requests_left < 0));
	if (out && json_object_to_file_ext(out, root, JSON_C_TO_STRING_SPACED)) {
		log_err("%s: cannot write the results", out);
		ret = 1;
	}
	tally_print(tallies, n, stdout);
	json_object_put(root);
	return ret;
}

/* Returns the exit status: 1 if the results cannot be written, 3 after bad answers, else 0. */
static int run_load(const struct plan *plan, uint64_t seed, const char *out)
{
	static struct stream_run stream_runs[PLAN_MAX_PHASES * PLAN_MAX_STREAMS];
	static struct tally *tallies[PLAN_MAX_PHASES * PLAN_MAX_STREAMS];
	uint32_t n;
	int ret;

	id_base = clock_wall_ms() << 16 ^ (uint64_t)getpid();
	run_start_us = clock_now_us() + 2 * START_DELAY_US;
	n = run_plan(plan, stream_runs, seed);
	for (uint32_t i = 0; i < n; i++)
		tallies[i] = stream_runs[i].tally;
	ret = write_results(tallies, n, out);
	if (tally_bad_answers(tallies, n))
		ret = 3;
	for (uint32_t i = 0; i < n; i++) {
		tally_destroy(stream_runs[i].tally);
		pthread_mutex_destroy(&stream_runs[i].lock);
		free(stream_runs[i].threads);
	}
	return ret;
}

static uint64_t plan_total_ms(const struct plan *plan)
{
	uint64_t ms = 0;

	for (uint32_t p = 0; p < plan->n_phases; p++)
		ms += plan->phases[p].duration_ms;
	return ms;
}

int main(int argc, const char **argv)
{
	static struct plan plan;
	static char *to;
	static char *file;
	static char *out;
	int seed = 1;
	long max_requests = 1000000;
	int max_ms = 600000;
	const struct poptOption table[] = {
		{"to", 't', POPT_ARG_STRING, &to, 0, "callers' ports, used in turn", "IP:PORT,..."},
		{"plan", 'p', POPT_ARG_STRING, &file, 0, "plan, JSON with comments", "FILE"},
		{"out", 'o', POPT_ARG_STRING, &out, 0, "file for the summary as JSON", "FILE"},
		{"seed", 's', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &seed, 0,
		 "seed of the arrivals", "N"},
		{"max-requests", 0, POPT_ARG_LONG | POPT_ARGFLAG_SHOW_DEFAULT, &max_requests, 0,
		 "largest number of requests", "N"},
		{"max-ms", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &max_ms, 0,
		 "largest total duration of the phases", "MS"},
		POPT_AUTOHELP POPT_TABLEEND};
	struct br_error err = {0};
	static sigset_t signals;
	pthread_t watcher;
	int ret;

	standin_parse_options(argc, argv, table);
	if (!file || !parse_peers(to) || max_requests < 1) {
		fprintf(stderr,
			"%s: --to and --plan are required; --max-requests must be at least 1\n",
			argv[0]);
		return 2;
	}
	log_init("standin-load", LOG_LEVEL_INFO);
	if (plan_read(file, &plan, &err)) {
		log_err("%s", err.detail);
		return 2;
	}
	if (plan_total_ms(&plan) > (uint64_t)max_ms) {
		log_err("%s: the phases are longer than --max-ms %d", file, max_ms);
		return 2;
	}
	standin_block_signals(&signals);
	if (pthread_create(&watcher, NULL, watch_signals, &signals))
		abort();
	requests_left = max_requests;
	pool = http_pool_create(&(struct http_pool_config){.max_idle_per_peer = 4096,
							   .max_idle_ms = 5000,
							   .connect_timeout_ms = 1000,
							   .max_body_bytes = MAX_BODY_BYTES});
	ret = run_load(&plan, (uint64_t)seed, out);
	pthread_cancel(watcher);
	pthread_join(watcher, NULL);
	http_pool_destroy(pool);
	free(to);
	free(file);
	free(out);
	return ret;
}
