#include "tally.h"

#include "briarreel/types.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define BIN_US 100000
#define MAX_REASONS 16

struct reason {
	char name[40];
	uint64_t count;
};

/* Counts for each BIN_US of the run. */
struct bins {
	uint32_t *counts;
	size_t n;
};

struct tally {
	pthread_mutex_t lock;
	char phase[32];
	char stream[32];
	uint64_t outcomes[TALLY_OUTCOMES];
	uint64_t requests;
	uint64_t attempts;
	uint64_t crossed;
	uint64_t incomplete;
	struct reason not_run[MAX_REASONS];
	struct reason unknown[MAX_REASONS];
	/* Latencies of TALLY_OK answers that are neither crossed nor incomplete. */
	uint32_t *latencies;
	size_t n_latencies;
	size_t cap_latencies;
	/* Number of these answers in each 100 ms since the start of the run. */
	struct bins goodput;
	/* Number of requests due in each 100 ms since the start of the run. */
	struct bins due;
};

static void *xrealloc(void *old, size_t bytes)
{
	void *p = realloc(old, bytes);

	if (!p)
		abort();
	return p;
}

struct tally *tally_create(const char *phase, const char *stream)
{
	struct tally *t = calloc(1, sizeof(*t));

	if (!t)
		abort();
	pthread_mutex_init(&t->lock, NULL);
	br_copy_text(t->phase, sizeof(t->phase), phase);
	br_copy_text(t->stream, sizeof(t->stream), stream);
	return t;
}

void tally_destroy(struct tally *t)
{
	pthread_mutex_destroy(&t->lock);
	free(t->latencies);
	free(t->goodput.counts);
	free(t->due.counts);
	free(t);
}

static void count_reason(struct reason *reasons, const char *name)
{
	size_t i = 0;

	/* Once MAX_REASONS are in use, further reasons are counted as the last one. */
	while (i < MAX_REASONS - 1 && reasons[i].count && strcmp(reasons[i].name, name) != 0)
		i++;
	if (!reasons[i].count)
		br_copy_text(reasons[i].name, sizeof(reasons[i].name), name);
	reasons[i].count++;
}

static void count_bin(struct bins *b, uint64_t us)
{
	size_t bin = us / BIN_US;

	if (bin >= b->n) {
		b->counts = xrealloc(b->counts, (bin + 1) * sizeof(b->counts[0]));
		memset(b->counts + b->n, 0, (bin + 1 - b->n) * sizeof(b->counts[0]));
		b->n = bin + 1;
	}
	b->counts[bin]++;
}

static void count_goodput(struct tally *t, const struct tally_result *r)
{
	if (t->n_latencies == t->cap_latencies) {
		t->cap_latencies = t->cap_latencies ? t->cap_latencies * 2 : 1024;
		t->latencies = xrealloc(t->latencies, t->cap_latencies * sizeof(t->latencies[0]));
	}
	t->latencies[t->n_latencies++] = r->latency_us;
	count_bin(&t->goodput, r->ended_us);
}

void tally_add(struct tally *t, const struct tally_result *r)
{
	pthread_mutex_lock(&t->lock);
	t->requests++;
	t->attempts += r->attempts;
	t->outcomes[r->outcome]++;
	count_bin(&t->due, r->due_us);
	t->crossed += r->crossed;
	t->incomplete += r->incomplete;
	if (r->outcome == TALLY_NOT_RUN)
		count_reason(t->not_run, r->reason);
	else if (r->outcome == TALLY_UNKNOWN)
		count_reason(t->unknown, r->reason);
	else if (r->outcome == TALLY_OK && !r->crossed && !r->incomplete)
		count_goodput(t, r);
	pthread_mutex_unlock(&t->lock);
}

static int compare_u32(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static void sort_latencies(struct tally *t)
{
	if (t->n_latencies)
		qsort(t->latencies, t->n_latencies, sizeof(t->latencies[0]), compare_u32);
}

static uint32_t quantile(const struct tally *t, double q)
{
	return t->n_latencies ? t->latencies[(size_t)(q * (double)(t->n_latencies - 1))] : 0;
}

static void add_u64(struct json_object *o, const char *key, uint64_t n)
{
	json_object_object_add(o, key, json_object_new_int64((int64_t)n));
}

static struct json_object *reasons_json(const struct reason *reasons)
{
	struct json_object *o = json_object_new_object();

	for (size_t i = 0; i < MAX_REASONS && reasons[i].count; i++)
		add_u64(o, reasons[i].name, reasons[i].count);
	return o;
}

static struct json_object *bins_json(const uint32_t *bins, size_t n)
{
	struct json_object *list = json_object_new_array();

	for (size_t i = 0; i < n; i++)
		json_object_array_add(list, json_object_new_int64(bins[i]));
	return list;
}

static struct json_object *stream_json(struct tally *t)
{
	struct json_object *o = json_object_new_object();

	sort_latencies(t);
	json_object_object_add(o, "phase", json_object_new_string(t->phase));
	json_object_object_add(o, "stream", json_object_new_string(t->stream));
	add_u64(o, "requests", t->requests);
	add_u64(o, "sent", t->requests - t->outcomes[TALLY_UNSENT]);
	add_u64(o, "attempts", t->attempts);
	add_u64(o, "answered", t->outcomes[TALLY_OK] + t->outcomes[TALLY_ERROR]);
	add_u64(o, "answered_ok", t->outcomes[TALLY_OK]);
	add_u64(o, "not_run", t->outcomes[TALLY_NOT_RUN]);
	json_object_object_add(o, "not_run_by_reason", reasons_json(t->not_run));
	add_u64(o, "unknown", t->outcomes[TALLY_UNKNOWN]);
	json_object_object_add(o, "unknown_by_reason", reasons_json(t->unknown));
	add_u64(o, "unsent", t->outcomes[TALLY_UNSENT]);
	add_u64(o, "crossed", t->crossed);
	add_u64(o, "incomplete", t->incomplete);
	add_u64(o, "p50_us", quantile(t, 0.5));
	add_u64(o, "p99_us", quantile(t, 0.99));
	add_u64(o, "p999_us", quantile(t, 0.999));
	json_object_object_add(o, "goodput_per_100ms", bins_json(t->goodput.counts, t->goodput.n));
	json_object_object_add(o, "due_per_100ms", bins_json(t->due.counts, t->due.n));
	return o;
}

struct json_object *tally_json(struct tally *const *tallies, size_t n)
{
	struct json_object *root = json_object_new_object();
	struct json_object *list = json_object_new_array();
	uint32_t *bins;
	size_t n_bins = 0;

	for (size_t i = 0; i < n; i++) {
		json_object_array_add(list, stream_json(tallies[i]));
		if (tallies[i]->goodput.n > n_bins)
			n_bins = tallies[i]->goodput.n;
	}
	bins = calloc(n_bins + 1, sizeof(*bins));
	if (!bins)
		abort();
	for (size_t i = 0; i < n; i++)
		for (size_t b = 0; b < tallies[i]->goodput.n; b++)
			bins[b] += tallies[i]->goodput.counts[b];
	json_object_object_add(root, "streams", list);
	json_object_object_add(root, "goodput_per_100ms", bins_json(bins, n_bins));
	free(bins);
	return root;
}

void tally_print(struct tally *const *tallies, size_t n, FILE *f)
{
	fprintf(f, "%-12s %-12s %8s %8s %8s %8s %8s %8s %8s %9s %9s %9s\n", "phase", "stream",
		"sent", "attempts", "ok", "error", "not_run", "unknown", "unsent", "p50_us",
		"p99_us", "p999_us");
	for (size_t i = 0; i < n; i++) {
		struct tally *t = tallies[i];

		sort_latencies(t);
		fprintf(f,
			"%-12s %-12s %8" PRIu64 " %8" PRIu64 " %8" PRIu64 " %8" PRIu64 " %8" PRIu64
			" %8" PRIu64 " %8" PRIu64 " %9" PRIu32 " %9" PRIu32 " %9" PRIu32 "\n",
			t->phase, t->stream, t->requests - t->outcomes[TALLY_UNSENT], t->attempts,
			t->outcomes[TALLY_OK], t->outcomes[TALLY_ERROR], t->outcomes[TALLY_NOT_RUN],
			t->outcomes[TALLY_UNKNOWN], t->outcomes[TALLY_UNSENT], quantile(t, 0.5),
			quantile(t, 0.99), quantile(t, 0.999));
	}
	fprintf(f, "crossed or incomplete answers: %" PRIu64 "\n", tally_bad_answers(tallies, n));
}

uint64_t tally_bad_answers(struct tally *const *tallies, size_t n)
{
	uint64_t bad = 0;

	for (size_t i = 0; i < n; i++)
		bad += tallies[i]->crossed + tallies[i]->incomplete;
	return bad;
}
