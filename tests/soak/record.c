#include "tests/soak/soak.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RECORDS_MAX 200000
#define ARRIVALS_MAX 400000
/* By this much the deadline that a target gets may exceed the time that its caller still waits. */
#define DEADLINE_SLACK_MS 500
#define STATUS_LIMIT 600

struct record {
	enum kind kind;
	uint32_t entry, parent;
	uint64_t sent_us, deadline_us, run_us;
	uint32_t arrivals, runs;
	/** Sent on behalf of a request that had arrived more than once. */
	bool caused_by_repeat;
	int status;
	uint64_t answered_us;
};

struct target_arrival {
	uint64_t at_us;
	const char *service;
	bool repeat;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct record records[RECORDS_MAX];
static uint32_t n_records;
static struct target_arrival target_arrivals[ARRIVALS_MAX];
static uint32_t n_target_arrivals;

uint32_t record_begin(enum kind kind, uint32_t entry, uint32_t parent, uint64_t wait_us, char *id)
{
	struct record *r;
	uint32_t i;

	pthread_mutex_lock(&lock);
	if (n_records == RECORDS_MAX)
		abort();
	i = n_records++;
	r = &records[i];
	*r = (struct record){.kind = kind, .entry = entry, .parent = parent, .sent_us = now_us()};
	r->deadline_us = r->sent_us + wait_us;
	r->caused_by_repeat = parent != NONE &&
			      (records[parent].arrivals > 1 || records[parent].caused_by_repeat);
	pthread_mutex_unlock(&lock);
	if (parent == NONE)
		snprintf(id, ID_BYTES, "%08x", i);
	else
		snprintf(id, ID_BYTES, "%08x.%08x", parent, i);
	return i;
}

uint32_t record_find(const char *id)
{
	const char *last = strrchr(id, '.');
	char *end;
	unsigned long i = strtoul(last ? last + 1 : id, &end, 16);

	return !*id || *end || i >= n_records ? NONE : (uint32_t)i;
}

enum kind record_kind(uint32_t r)
{
	return records[r].kind;
}

void record_body(uint32_t r, char *out, size_t out_bytes)
{
	int n = snprintf(out, out_bytes, "answer to %08x ", r);
	size_t fill = (size_t)r * 37 % 1500;

	for (size_t i = 0; i < fill && (size_t)n + 1 < out_bytes; i++)
		out[n++] = (char)('a' + (r + i) % 26);
	out[n] = '\0';
}

char record_long_byte(uint32_t r, uint32_t at)
{
	/* Not a divisor of the sizes of buffers, so that a lost piece shows. */
	return (char)('a' + (r + at) % 23);
}

static void check_run(const struct record *r, uint32_t i, const struct arrival *a, uint64_t at_us)
{
	uint64_t since_us, withdrawn_us = config_withdrawn_us();
	const char *moving = config_moving_service(&since_us);

	if (r->runs > 1 && !config_idempotent(r->kind))
		report_violation("%08x ran %u times, but is not idempotent", i, r->runs);
	if (r->status == 429 || r->status == 503)
		report_violation("%08x ran after its caller got status %d", i, r->status);
	if (r->kind == KIND_FLIPPED && withdrawn_us &&
	    r->sent_us > withdrawn_us + REVOCATION_US + SLACK_US)
		report_violation(
			"%08x ran with a key that was withdrawn %llu ms before it was sent", i,
			(r->sent_us - withdrawn_us) / BR_US_PER_MS);
	if (r->kind == KIND_MOVING && strcmp(moving, a->service) != 0 &&
	    r->sent_us > since_us + PROPAGATION_US + SLACK_US &&
	    stability_node_and_store(r->entry, r->sent_us) &&
	    stability_node_and_store(r->entry, at_us))
		report_violation("%08x ran at %s, %llu ms after its route moved", i, a->service,
				 (r->sent_us - since_us) / BR_US_PER_MS);
	if (strcmp(a->account, config_account(r->kind)) != 0)
		report_violation("%08x ran for account '%s' instead of '%s'", i, a->account,
				 config_account(r->kind));
}

static void check_arrival(const struct record *r, uint32_t i, const struct arrival *a,
			  uint64_t at_us)
{
	uint64_t caller_remaining_ms =
		r->deadline_us > at_us ? (r->deadline_us - at_us) / BR_US_PER_MS : 0;

	if (a->key_passed)
		report_violation("%08x reached target %s with its API key", i, a->target);
	if (strcmp(a->caller_service, target_service(r->entry)) != 0)
		report_violation("%08x reached target %s with the wrong caller service '%s'", i,
				 a->target, a->caller_service);
	if (a->remaining_ms > caller_remaining_ms + DEADLINE_SLACK_MS &&
	    stability_node(r->entry, r->sent_us) && stability_node(a->node, r->sent_us))
		report_violation("%08x reached target %s with a deadline of %llu ms, its caller "
				 "waits %llu ms",
				 i, a->target, (unsigned long long)a->remaining_ms,
				 (unsigned long long)caller_remaining_ms);
	if (a->draining_ack_us && at_us > a->draining_ack_us + DRAIN_US + SLACK_US &&
	    stability_node(a->node, at_us))
		report_violation(
			"%08x reached target %s %llu ms after its draining was acknowledged", i,
			a->target, (at_us - a->draining_ack_us) / BR_US_PER_MS);
}

void record_arrival(uint32_t i, const struct arrival *a, bool runs)
{
	struct record *r = &records[i];
	uint64_t at_us = now_us();

	pthread_mutex_lock(&lock);
	if (n_target_arrivals == ARRIVALS_MAX)
		abort();
	target_arrivals[n_target_arrivals++] =
		(struct target_arrival){.at_us = at_us,
					.service = a->service,
					.repeat = r->arrivals > 0 || r->caused_by_repeat};
	r->arrivals++;
	if (runs) {
		r->runs++;
		r->run_us = at_us;
	}
	pthread_mutex_unlock(&lock);
	check_arrival(r, i, a, at_us);
	if (runs)
		check_run(r, i, a, at_us);
}

void record_answer(uint32_t i, int status)
{
	struct record *r = &records[i];

	pthread_mutex_lock(&lock);
	r->status = status;
	r->answered_us = now_us();
	pthread_mutex_unlock(&lock);
	if ((status == 429 || status == 503 || status == 408 || status == 421) && r->runs)
		report_violation("%08x was answered %d although it had run", i, status);
	if ((status == 401 || status == 404) && r->kind != KIND_FLIPPED)
		report_violation("%08x was answered %d although its key and route are valid", i,
				 status);
}

bool record_has_run(uint32_t i)
{
	return records[i].runs > 0;
}

static int compare_run_us(const void *a, const void *b)
{
	const struct record *x = *(const struct record *const *)a;
	const struct record *y = *(const struct record *const *)b;

	return (x->run_us > y->run_us) - (x->run_us < y->run_us);
}

/* Checks the number of requests of the limited account that were sent and run within a window. */
static void check_quota(void)
{
	const struct record **list = calloc(n_records + 1, sizeof(*list));
	double max_allowed =
		(LIMITED_RATE * (double)QUOTA_WINDOW_US / BR_US_PER_S + LIMITED_BURST) *
			(1 + QUOTA_OVERAGE_RATIO) +
		QUOTA_SLACK;
	uint32_t n = 0;

	for (uint32_t i = 0; i < n_records; i++)
		if (records[i].kind == KIND_LIMITED && records[i].runs)
			list[n++] = &records[i];
	qsort(list, n, sizeof(*list), compare_run_us);
	for (uint32_t i = 0; i < n; i++) {
		uint64_t from_us = list[i]->run_us;
		uint32_t in_window = 0;

		for (uint32_t k = i; k < n && list[k]->run_us < from_us + QUOTA_WINDOW_US; k++)
			in_window += list[k]->sent_us >= from_us - SLACK_US;
		if (in_window > max_allowed) {
			report_violation(
				"%u requests of the limited account ran in one window, limit %.0f "
				"requests",
				in_window, max_allowed);
			break;
		}
	}
	free(list);
}

static uint32_t requests_between(const char *service, uint64_t from_us, uint64_t to_us)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < n_target_arrivals; i++)
		n += !target_arrivals[i].repeat && !strcmp(target_arrivals[i].service, service) &&
		     target_arrivals[i].at_us >= from_us && target_arrivals[i].at_us < to_us;
	return n;
}

static void check_budget_of(const char *service, uint64_t from_us)
{
	uint64_t to_us = from_us + BUDGET_WINDOW_US;
	uint32_t repeats = 0, requests = requests_between(service, from_us, to_us);
	uint32_t before = requests_between(service, from_us - BUDGET_WINDOW_US, from_us);
	uint32_t half = requests_between(service, from_us - BUDGET_WINDOW_US / 2,
					 from_us + BUDGET_WINDOW_US / 2);

	for (uint32_t i = 0; i < n_target_arrivals; i++)
		repeats += target_arrivals[i].repeat &&
			   !strcmp(target_arrivals[i].service, service) &&
			   target_arrivals[i].at_us >= from_us && target_arrivals[i].at_us < to_us;
	if (before > requests)
		requests = before;
	if (half > requests)
		requests = half;
	if (repeats > BUDGET_RATIO * requests + BUDGET_SLACK)
		report_violation(
			"%u repeats at %s in one window, which exceed the budget for %u requests",
			repeats, service, requests);
}

void record_check_all(void)
{
	check_quota();
	if (!n_target_arrivals)
		return;
	for (uint64_t t = target_arrivals[0].at_us;
	     t < target_arrivals[n_target_arrivals - 1].at_us; t += BR_US_PER_S) {
		check_budget_of("svc-a", t);
		check_budget_of("svc-b", t);
	}
}

double record_success(uint64_t since_us, uint32_t *n)
{
	uint32_t ok = 0;

	*n = 0;
	pthread_mutex_lock(&lock);
	for (uint32_t i = 0; i < n_records; i++) {
		const struct record *r = &records[i];

		if (r->sent_us < since_us || !r->answered_us || r->kind == KIND_LIMITED ||
		    r->kind == KIND_FLIPPED)
			continue;
		++*n;
		ok += r->status >= 200 && r->status < 300;
	}
	pthread_mutex_unlock(&lock);
	return *n ? (double)ok / *n : 0;
}

void record_print(void)
{
	static uint32_t counts[KINDS][STATUS_LIMIT];

	for (uint32_t i = 0; i < n_records; i++)
		if (records[i].answered_us && records[i].status < STATUS_LIMIT)
			counts[records[i].kind][records[i].status]++;
	for (int k = 0; k < KINDS; k++) {
		printf("  %-8s", config_prefix((enum kind)k));
		for (int s = 0; s < STATUS_LIMIT; s++)
			if (counts[k][s])
				printf(" %d: %u", s, counts[k][s]);
		printf("\n");
	}
}
