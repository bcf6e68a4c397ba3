#include "briarreel/burn.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define FINE_US (10 * BR_US_PER_S)
#define FINE_BUCKETS 360
#define COARSE_US (300 * BR_US_PER_S)
#define COARSE_BUCKETS 864

/** Counts of one bucket; index is its start time divided by the bucket's width. */
struct bucket {
	uint64_t index;
	struct br_burn_counts counts;
};

struct series {
	char account[BR_NAME_BYTES];
	char service[BR_NAME_BYTES];
	struct bucket fine[FINE_BUCKETS];
	struct bucket coarse[COARSE_BUCKETS];
};

struct br_burn {
	uint32_t objective_ppm;
	uint32_t max_series;
	size_t n_series;
	struct series **series;
};

struct window {
	const char *name;
	uint32_t minutes;
	bool coarse;
};

static const struct window windows[BR_BURN_WINDOWS] = {
	[BR_BURN_5M] = {"5m", 5, false},   [BR_BURN_30M] = {"30m", 30, false},
	[BR_BURN_1H] = {"1h", 60, false},  [BR_BURN_6H] = {"6h", 360, true},
	[BR_BURN_3D] = {"3d", 4320, true},
};

/** One row of table 5-8: alert if the burn rate of both windows is at least this rate. */
struct rule {
	enum br_burn_window long_window;
	enum br_burn_window short_window;
	double rate;
	enum br_burn_alert alert;
};

static const struct rule rules[] = {
	{BR_BURN_1H, BR_BURN_5M, 14.4, BR_BURN_PAGE},
	{BR_BURN_6H, BR_BURN_30M, 6, BR_BURN_PAGE},
	{BR_BURN_3D, BR_BURN_6H, 1, BR_BURN_TICKET},
};

struct br_burn *br_burn_create(uint32_t objective_ppm, uint32_t max_series)
{
	struct br_burn *b;

	if (!objective_ppm || objective_ppm >= 1000000)
		return NULL;
	b = calloc(1, sizeof(*b));
	if (!b)
		return NULL;
	b->objective_ppm = objective_ppm;
	b->max_series = max_series;
	b->series = calloc(max_series ? max_series : 1, sizeof(struct series *));
	if (!b->series) {
		free(b);
		return NULL;
	}
	return b;
}

void br_burn_destroy(struct br_burn *b)
{
	if (!b)
		return;
	for (size_t i = 0; i < b->n_series; i++)
		free(b->series[i]);
	free(b->series);
	free(b);
}

static struct series *find_series(const struct br_burn *b, const struct br_burn_series *s)
{
	for (size_t i = 0; i < b->n_series; i++)
		if (!strcmp(b->series[i]->account, s->account) &&
		    !strcmp(b->series[i]->service, s->service))
			return b->series[i];
	return NULL;
}

static struct series *add_series(struct br_burn *b, const struct br_burn_series *s)
{
	struct series *out;

	if (b->n_series == b->max_series)
		return NULL;
	out = calloc(1, sizeof(*out));
	if (!out)
		return NULL;
	br_copy_text(out->account, sizeof(out->account), s->account);
	br_copy_text(out->service, sizeof(out->service), s->service);
	b->series[b->n_series++] = out;
	return out;
}

static void add_to_ring(struct bucket *ring, size_t n, uint64_t index, struct br_burn_counts c)
{
	struct bucket *bucket = &ring[index % n];

	/* Ignore counts older than the ring: they would overwrite newer ones. */
	if (bucket->index > index)
		return;
	if (bucket->index != index)
		*bucket = (struct bucket){.index = index};
	bucket->counts.good += c.good;
	bucket->counts.bad += c.bad;
}

int br_burn_add(struct br_burn *b, const struct br_burn_series *s, uint64_t good, uint64_t bad,
		uint64_t now_us)
{
	struct br_burn_counts c = {.good = good, .bad = bad};
	struct series *out = find_series(b, s);

	if (!out)
		out = add_series(b, s);
	if (!out)
		return -ENOSPC;
	add_to_ring(out->fine, FINE_BUCKETS, now_us / FINE_US, c);
	add_to_ring(out->coarse, COARSE_BUCKETS, now_us / COARSE_US, c);
	return 0;
}

static struct br_burn_counts sum_ring(const struct bucket *ring, size_t n, uint64_t last,
				      uint64_t span)
{
	struct br_burn_counts sum = {0};

	for (size_t i = 0; i < n; i++) {
		if (ring[i].index > last || last - ring[i].index >= span)
			continue;
		sum.good += ring[i].counts.good;
		sum.bad += ring[i].counts.bad;
	}
	return sum;
}

uint64_t br_burn_window_us(enum br_burn_window window)
{
	return windows[window].minutes * 60 * BR_US_PER_S;
}

struct br_burn_counts br_burn_counts(const struct br_burn *b, const struct br_burn_series *s,
				     enum br_burn_window window, uint64_t now_us)
{
	const struct series *in = find_series(b, s);
	uint64_t len_us = br_burn_window_us(window);

	if (!in)
		return (struct br_burn_counts){0};
	if (windows[window].coarse)
		return sum_ring(in->coarse, COARSE_BUCKETS, now_us / COARSE_US, len_us / COARSE_US);
	return sum_ring(in->fine, FINE_BUCKETS, now_us / FINE_US, len_us / FINE_US);
}

double br_burn_rate_of(struct br_burn_counts c, uint32_t objective_ppm)
{
	double total = (double)c.good + (double)c.bad;

	if (total <= 0)
		return 0;
	return (double)c.bad / total * 1e6 / (double)(1000000 - objective_ppm);
}

double br_burn_rate(const struct br_burn *b, const struct br_burn_series *s,
		    enum br_burn_window window, uint64_t now_us)
{
	return br_burn_rate_of(br_burn_counts(b, s, window, now_us), b->objective_ppm);
}

enum br_burn_alert br_burn_alert(const struct br_burn *b, const struct br_burn_series *s,
				 uint64_t now_us)
{
	for (size_t i = 0; i < sizeof(rules) / sizeof(rules[0]); i++)
		if (br_burn_rate(b, s, rules[i].long_window, now_us) >= rules[i].rate &&
		    br_burn_rate(b, s, rules[i].short_window, now_us) >= rules[i].rate)
			return rules[i].alert;
	return BR_BURN_OK;
}

const char *br_burn_alert_name(enum br_burn_alert alert)
{
	switch (alert) {
	case BR_BURN_OK:
		return "ok";
	case BR_BURN_TICKET:
		return "ticket";
	case BR_BURN_PAGE:
		return "page";
	}
	return "";
}

const char *br_burn_window_name(enum br_burn_window window)
{
	return windows[window].name;
}

/* Adds the buckets of src to those of dst with the same age, except ages before dst's time zero. */
static void merge_ring(struct bucket *dst, uint64_t dst_last, const struct bucket *src,
		       uint64_t src_last, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		uint64_t age;

		if (src[i].index > src_last)
			continue;
		age = src_last - src[i].index;
		if (age >= n || age > dst_last || (!src[i].counts.good && !src[i].counts.bad))
			continue;
		add_to_ring(dst, n, dst_last - age, src[i].counts);
	}
}

int br_burn_merge(struct br_burn *dst, uint64_t dst_now_us, const struct br_burn *src,
		  uint64_t src_now_us)
{
	int ret = 0;

	for (size_t i = 0; i < src->n_series; i++) {
		const struct series *in = src->series[i];
		struct br_burn_series s = {.account = in->account, .service = in->service};
		struct series *out = find_series(dst, &s);

		if (!out)
			out = add_series(dst, &s);
		if (!out) {
			ret = -ENOSPC;
			continue;
		}
		merge_ring(out->fine, dst_now_us / FINE_US, in->fine, src_now_us / FINE_US,
			   FINE_BUCKETS);
		merge_ring(out->coarse, dst_now_us / COARSE_US, in->coarse, src_now_us / COARSE_US,
			   COARSE_BUCKETS);
	}
	return ret;
}

size_t br_burn_n_series(const struct br_burn *b)
{
	return b->n_series;
}

struct br_burn_series br_burn_series_at(const struct br_burn *b, size_t i)
{
	return (struct br_burn_series){.account = b->series[i]->account,
				       .service = b->series[i]->service};
}
