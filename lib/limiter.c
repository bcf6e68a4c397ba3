#include "briarreel/limiter.h"

#include <stdlib.h>

/*
 * Service times are averaged as base-2 logarithms: a slowdown by a given factor shifts the mean by
 * the same amount for any mix of requests, and a few long requests have little effect on it.
 */

/* Number of baselines; request classes with the same remainder share one. */
#define CLASSES 16
/* Minimum number of samples to set or change the baseline of a class. */
#define CLASS_SAMPLES 32
/*
 * A window ends after WINDOW_US with WINDOW_SAMPLES and as many samples as the limit, or after
 * WINDOW_LONG_US with WINDOW_SAMPLES_FEW.
 */
#define WINDOW_US (50 * BR_US_PER_MS)
#define WINDOW_LONG_US (500 * BR_US_PER_MS)
#define WINDOW_SAMPLES 64
#define WINDOW_SAMPLES_FEW 8
/*
 * Excess over the reference, in log2, up to which the limit grows (7%), from which it is stepped
 * down (19%) and from which it is cut (30%). EXCESS_GROW_COLD applies to the first fast growth.
 */
#define EXCESS_GROW 0.1
#define EXCESS_STEP_DOWN 0.25
#define EXCESS_GROW_COLD 0.35
#define EXCESS_CUT 0.38
/* Excess (a factor of two) from which a single window is enough to cut the limit. */
#define EXCESS_CUT_IMMEDIATE 1.0
/*
 * Factor of a cut after a rise of the service times or after many sheds (more than
 * 1/SHED_FRACTION_DIV of the window's answered requests), and of a cut after fewer sheds.
 */
#define CUT_FACTOR 0.85
#define CUT_FACTOR_MILD 0.95
#define SHED_FRACTION_DIV 10
/* Number of cuts after which it is checked whether they shortened the service times. */
#define CUTS_BEFORE_CHECK 2
/* Minimum fall of the excess, in log2, for the cuts to count as effective. */
#define CUT_EFFECT_MIN 0.15
/* Factor of an increase in fast growth: after a start, and after a cut up to uncongested_limit. */
#define FAST_GROWTH 1.25
/* Relative and absolute part of a step up, and relative size of a step down. */
#define STEP_UP 0.02
#define STEP_UP_FIXED 0.2
#define STEP_DOWN 0.025
/* Maximum of the factor by which a step down grows with the excess. */
#define STEP_SCALE_MAX 2
/* Longest wait for the requests started under the former limit. */
#define SETTLE_MAX_US (500 * BR_US_PER_MS)
/* Weight of a window in the smoothed excess, which decides about steps up and down. */
#define SMOOTHING 0.2
/*
 * An excess at or below the limit at which the reference was measured is not caused by concurrency:
 * the reference is wrong, or the target is slow. The reference then moves towards the excess with
 * this weight per window, so that neither noise nor a lasting slowdown keeps the limit low.
 */
#define REFERENCE_WEIGHT 0.1
/* Excess relative to the reference, in log2, below which the reference is lowered. */
#define EXCESS_LOWER_REFERENCE (-0.15)
/*
 * While the limit is always in use, every sample includes some congestion and the reference would
 * drift upwards. A probe, a short phase at a smaller limit, measures the baselines without
 * congestion. The maximum interval between probes doubles from PROBE_INTERVAL_MIN_US to
 * PROBE_INTERVAL_MAX_US, because early baselines have few samples.
 */
#define PROBE_INTERVAL_MIN_US (1 * BR_US_PER_S)
#define PROBE_INTERVAL_MAX_US (8 * BR_US_PER_S)
/*
 * Interval between probes in multiples of the last probe's length, within the above bounds. About
 * 1/16 of the time is spent at the smaller limit.
 */
#define PROBE_INTERVAL_FACTOR 16
/* A probe ends after this many samples or this time. */
#define PROBE_SAMPLES 256
#define PROBE_MAX_US (600 * BR_US_PER_MS)
/* Fraction of the limit that applies during a probe. */
#define PROBE_FACTOR 0.75
/* Number of announced slots up to which the limit of a probe is rounded instead of truncated. */
#define SMALL_TARGET_SLOTS 8
/*
 * Fraction of the limit that counts as the limit at which a probe measured the reference; between
 * PROBE_FACTOR and the limit before the probe.
 */
#define REFERENCE_LIMIT_FACTOR 0.85
/* Weight of a probe in the baselines, unless the reference is stale. */
#define PROBE_WEIGHT 0.5

/** Count, sum and sum of squares of a set of samples. */
struct moments {
	uint32_t n;
	double sum;
	double squares;
};

struct request_class {
	/** Logarithms of the service times since the start, or since the last probe. */
	struct moments samples;
	/** The baseline has been set. */
	bool known;
	/** Mean logarithm of the service times without congestion. */
	double baseline;
	/** Square of the first baseline's standard error; 0 once a probe has measured it. */
	double error_squared;
};

struct br_limiter {
	uint32_t start, min, max, hint;
	double limit;
	/** Mean limit of windows without congestion; after a cut, growth up to it is fast. */
	double uncongested_limit;
	/** Accepted excess over the baselines, and the limit at which it was measured. */
	double reference, reference_limit;
	/** The reference has changed since the last probe. */
	bool reference_stale;
	/** Fast growth after a start, until the first decrease. */
	bool cold;
	/** Maximum number of requests in flight in the current window. */
	uint32_t peak_in_flight;
	/** Consecutive windows with an excess above EXCESS_CUT. */
	uint32_t congested_windows;
	/** Cuts since the last increase or check, and the excess and the limit before them. */
	uint32_t cuts;
	double excess_before_cuts, limit_before_cuts;
	/** Requests shed in the current window. */
	uint32_t sheds;
	/** Moving averages of the service time and of the excess relative to the reference. */
	double service_us, smoothed_excess;
	uint64_t last_us, window_start_us;
	/** Samples are ignored until then: the requests began under the former limit. */
	uint64_t hold_until_us;
	uint64_t next_probe_us, probe_start_us, probe_interval_max_us;
	/**
	 * A probe is in progress; it measures once the requests that began under the larger limit
	 * have finished.
	 */
	bool probing, measuring;
	uint32_t probe_samples;
	/** Excess of the current window's samples over the baselines of their classes. */
	struct moments excess;
	/** Sum of the squared errors of these baselines. */
	double errors_squared;
	struct request_class classes[CLASSES];
};

static void moments_add(struct moments *m, double x)
{
	m->n++;
	m->sum += x;
	m->squares += x * x;
}

/* log2 with an error below 0.01. */
static double log2_of(uint64_t x)
{
	int e = 63 - __builtin_clzll(x);
	double m = (double)x / (double)(1ULL << e) - 1;

	return e + m + 0.3431 * m * (1 - m);
}

static double square_root(double x)
{
	double r = x > 1 ? x : 1;

	/* Newton's method, starting above the root. */
	for (int i = 0; x > 0 && i < 60; i++) {
		double next = (r + x / r) / 2;

		if (next >= r)
			break;
		r = next;
	}
	return x > 0 ? r : 0;
}

/* Returns the square of the standard error of the mean. */
static double error_squared(const struct moments *m, double mean)
{
	double variance = m->squares / m->n - mean * mean;

	if (m->n < 2)
		return 1;
	return variance > 0 ? variance / (m->n - 1) : 0;
}

struct br_limiter *br_limiter_create(uint32_t start, uint32_t min, uint32_t max)
{
	struct br_limiter *l;

	if (min < 1 || start < min || start > max)
		return NULL;
	l = calloc(1, sizeof(*l));
	if (!l)
		return NULL;
	*l = (struct br_limiter){.start = start, .min = min, .max = max};
	br_limiter_reset(l);
	return l;
}

void br_limiter_destroy(struct br_limiter *l)
{
	free(l);
}

void br_limiter_reset(struct br_limiter *l)
{
	uint32_t hint = l->hint;

	*l = (struct br_limiter){.start = l->start,
				 .min = l->min,
				 .max = l->max,
				 .limit = l->start,
				 .uncongested_limit = l->start,
				 .reference_limit = l->start,
				 .probe_interval_max_us = PROBE_INTERVAL_MIN_US,
				 .reference_stale = true,
				 .cold = true};
	br_limiter_set_hint(l, hint);
}

static void set_limit(struct br_limiter *l, double limit)
{
	double max = l->max;

	if (l->hint && 2.0 * l->hint < max)
		max = 2.0 * l->hint;
	if (limit > max)
		limit = max;
	if (limit < l->min)
		limit = l->min;
	l->limit = limit;
}

void br_limiter_set_hint(struct br_limiter *l, uint32_t slots)
{
	bool first = !l->hint && l->cold;

	l->hint = slots;
	/* Do not start above the announced slots: the baselines would include congestion. */
	set_limit(l, first && slots && l->limit > slots ? slots : l->limit);
}

void br_limiter_record_in_flight(struct br_limiter *l, uint32_t in_flight)
{
	if (in_flight > l->peak_in_flight)
		l->peak_in_flight = in_flight;
}

uint32_t br_limiter_limit(const struct br_limiter *l)
{
	double limit = l->probing ? l->limit * PROBE_FACTOR : l->limit;

	/* With few slots, truncation would remove almost half of the limit, so round instead. */
	if (l->probing && l->hint && l->hint <= SMALL_TARGET_SLOTS)
		limit += 0.5;

	return limit < l->min ? l->min : (uint32_t)limit;
}

/* Adds a sample to a class; its first baseline is the mean of the first CLASS_SAMPLES samples. */
static void class_sample(struct request_class *c, double log_us)
{
	struct moments *w = &c->samples;

	moments_add(w, log_us);
	if (c->known || w->n < CLASS_SAMPLES)
		return;
	c->baseline = w->sum / w->n;
	c->error_squared = error_squared(w, c->baseline);
	c->known = true;
}

/* Time after which most of the requests in flight now have finished, in microseconds. */
static uint64_t settle_us(const struct br_limiter *l)
{
	uint64_t us = (uint64_t)(2 * l->service_us);

	return us < SETTLE_MAX_US ? us : SETTLE_MAX_US;
}

static void window_reset(struct br_limiter *l, uint64_t now_us)
{
	l->excess = (struct moments){0};
	l->errors_squared = 0;
	l->sheds = 0;
	l->peak_in_flight = 0;
	l->window_start_us = now_us;
}

static void decrease_limit(struct br_limiter *l, double factor, uint64_t now_us)
{
	set_limit(l, l->limit * factor);
	l->cold = false;
	l->congested_windows = 0;
	l->smoothed_excess = 0;
	/* Ignore requests that were started under the larger limit. */
	l->hold_until_us = now_us + settle_us(l);
}

/*
 * Cuts the limit. If the last cuts did not shorten the service times, undoes them instead and
 * accepts the excess as the reference: a target that is slow for another reason than concurrency
 * would only be underused at a smaller limit.
 */
static void handle_excess(struct br_limiter *l, double excess, uint64_t now_us)
{
	if (l->cuts >= CUTS_BEFORE_CHECK && excess > l->excess_before_cuts - CUT_EFFECT_MIN) {
		l->reference = excess;
		l->reference_stale = true;
		l->reference_limit = l->limit_before_cuts;
		l->cuts = 0;
		l->congested_windows = 0;
		l->smoothed_excess = 0;
		set_limit(l, l->limit_before_cuts);
		return;
	}
	if (l->cuts == 0 || l->cuts >= CUTS_BEFORE_CHECK) {
		l->cuts = 0;
		l->excess_before_cuts = excess;
		l->limit_before_cuts = l->limit;
	}
	l->cuts++;
	decrease_limit(l, CUT_FACTOR, now_us);
}

static void increase_limit(struct br_limiter *l, uint64_t now_us)
{
	l->cuts = 0;
	if (l->peak_in_flight + 1 < (uint32_t)l->limit)
		return;
	if ((l->cold || l->limit * FAST_GROWTH < l->uncongested_limit) &&
	    (!l->hint || l->limit < l->hint)) {
		double next = l->limit * FAST_GROWTH + 1;

		/* Fast growth stops at the announced slots; above them the steps are small. */
		set_limit(l, l->hint && next > l->hint ? l->hint : next);
		/* Wait until the service times reflect this step before the next one. */
		l->hold_until_us = now_us + settle_us(l);
	} else {
		set_limit(l, l->limit * (1 + STEP_UP) + STEP_UP_FIXED);
	}
}

static void step_down(struct br_limiter *l)
{
	double scale = l->smoothed_excess / EXCESS_STEP_DOWN;

	/* Early baselines are too inaccurate to end the fast growth; only cuts or sheds do so. */
	if (l->probe_interval_max_us >= PROBE_INTERVAL_MAX_US)
		l->cold = false;
	set_limit(l,
		  l->limit * (1 - STEP_DOWN * (scale < STEP_SCALE_MAX ? scale : STEP_SCALE_MAX)));
}

/*
 * Lowers the reference if the excess is well below it. Otherwise moves it slowly towards the excess
 * while the limit is at or below reference_limit, where concurrency does not cause the excess.
 */
static void adjust_reference(struct br_limiter *l, double excess, double error, uint64_t now_us)
{
	bool far_below = excess + 2 * error < l->reference + EXCESS_LOWER_REFERENCE;

	if (far_below || l->smoothed_excess < EXCESS_LOWER_REFERENCE) {
		l->reference = far_below ? excess : l->reference + l->smoothed_excess;
		l->smoothed_excess = 0;
		l->reference_limit = l->limit;
		/* The new reference may include congestion, so schedule a probe soon. */
		l->reference_stale = true;
		if (l->next_probe_us > now_us + settle_us(l))
			l->next_probe_us = now_us + settle_us(l);
	} else if (l->limit <= l->reference_limit) {
		l->reference += (excess - l->reference) * REFERENCE_WEIGHT;
	}
}

static void window_close(struct br_limiter *l, uint64_t now_us)
{
	struct moments *m = &l->excess;
	double excess = m->n ? m->sum / m->n : 0;
	double error = m->n ? square_root(error_squared(m, excess)) : 0;
	double baseline_error = m->n ? square_root(l->errors_squared / m->n) : 0;
	/* The first baseline, of few samples, may be too low by more than any threshold. */
	double lower_bound = excess - 2 * (error + baseline_error);

	if (l->sheds) {
		decrease_limit(l,
			       l->sheds * SHED_FRACTION_DIV > m->n ? CUT_FACTOR : CUT_FACTOR_MILD,
			       now_us);
		return;
	}
	if (m->n < WINDOW_SAMPLES_FEW)
		return;
	if (lower_bound > l->reference + EXCESS_CUT) {
		l->congested_windows++;
		/* A single window may be an outlier of the request mix. */
		if (l->congested_windows > 1 || lower_bound > l->reference + EXCESS_CUT_IMMEDIATE)
			handle_excess(l, excess, now_us);
		return;
	}
	l->congested_windows = 0;
	l->smoothed_excess += (excess - l->reference - l->smoothed_excess) * SMOOTHING;
	adjust_reference(l, excess, error, now_us);
	l->uncongested_limit += (l->limit - l->uncongested_limit) / 16;
	if (l->smoothed_excess < (l->cold ? EXCESS_GROW_COLD : EXCESS_GROW))
		increase_limit(l, now_us);
	else if (l->smoothed_excess > EXCESS_STEP_DOWN)
		step_down(l);
}

static bool window_complete(const struct br_limiter *l, uint64_t now_us)
{
	uint64_t age = now_us - l->window_start_us;
	uint32_t n = l->excess.n + l->sheds;

	if (n >= WINDOW_SAMPLES && n >= (uint32_t)l->limit && age >= WINDOW_US)
		return true;
	return n >= WINDOW_SAMPLES_FEW && age >= WINDOW_LONG_US;
}

static void probe_begin(struct br_limiter *l, uint64_t now_us)
{
	l->probing = true;
	l->measuring = false;
	l->probe_start_us = now_us;
	l->probe_samples = 0;
}

static void probe_measure(struct br_limiter *l)
{
	l->measuring = true;
	for (int i = 0; i < CLASSES; i++)
		l->classes[i].samples = (struct moments){0};
}

/*
 * Moves the baselines towards the means measured by a probe and the reference towards 0. The amount
 * by which their sum falls is added to the smoothed excess, which is relative to them.
 */
static void update_reference(struct br_limiter *l, double weight)
{
	double weighted_shift = 0, reference = l->reference;
	uint32_t n = 0;

	for (int i = 0; i < CLASSES; i++) {
		struct request_class *c = &l->classes[i];
		double mean = c->samples.n ? c->samples.sum / c->samples.n : 0;

		if (c->known && c->samples.n >= CLASS_SAMPLES) {
			weighted_shift += (mean - c->baseline) * weight * c->samples.n;
			n += c->samples.n;
			c->baseline += (mean - c->baseline) * weight;
			c->error_squared = 0;
		}
		c->samples = (struct moments){0};
	}
	l->reference *= 1 - weight;
	l->smoothed_excess += reference - l->reference - (n ? weighted_shift / n : 0);
	/* The smoothed excess lags behind the samples, so a negative value is not significant. */
	if (l->smoothed_excess < 0)
		l->smoothed_excess = 0;
}

static void probe_finish(struct br_limiter *l, uint64_t now_us)
{
	uint64_t interval_us;

	update_reference(l, l->reference_stale ? 1 : PROBE_WEIGHT);
	l->reference_stale = false;
	l->reference_limit = l->limit * REFERENCE_LIMIT_FACTOR;
	l->probing = false;
	interval_us = (now_us - l->probe_start_us) * PROBE_INTERVAL_FACTOR;
	if (interval_us < PROBE_INTERVAL_MIN_US)
		interval_us = PROBE_INTERVAL_MIN_US;
	if (interval_us > l->probe_interval_max_us)
		interval_us = l->probe_interval_max_us;
	l->next_probe_us = now_us + interval_us;
	l->probe_interval_max_us *= 2;
	if (l->probe_interval_max_us > PROBE_INTERVAL_MAX_US)
		l->probe_interval_max_us = PROBE_INTERVAL_MAX_US;
	l->hold_until_us = now_us + settle_us(l);
}

/* Starts and ends probes. Returns true during a probe, when the limit must not be adjusted. */
static bool update_probe(struct br_limiter *l, uint64_t now_us)
{
	uint64_t measure_us;

	if (!l->next_probe_us)
		l->next_probe_us = now_us + PROBE_INTERVAL_MIN_US;
	if (!l->probing && now_us >= l->next_probe_us)
		probe_begin(l, now_us);
	if (!l->probing)
		return false;
	measure_us = l->probe_start_us + settle_us(l);
	if (!l->measuring && now_us >= measure_us)
		probe_measure(l);
	if (l->measuring)
		l->probe_samples++;
	if (l->probe_samples >= PROBE_SAMPLES || now_us >= measure_us + PROBE_MAX_US)
		probe_finish(l, now_us);
	return true;
}

static void add_excess(struct br_limiter *l, const struct request_class *c, double log_us)
{
	moments_add(&l->excess, log_us - c->baseline);
	l->errors_squared += c->error_squared;
}

void br_limiter_sample(struct br_limiter *l, uint32_t class, uint64_t service_us, bool shed,
		       uint64_t now_us)
{
	struct request_class *c = &l->classes[class % CLASSES];
	double log_us = 0;

	/* Callers read the clock before they take their lock, so times may be out of order. */
	if (now_us < l->last_us)
		now_us = l->last_us;
	l->last_us = now_us;
	if (!l->window_start_us)
		window_reset(l, now_us);
	if (!shed && !service_us)
		return;
	if (!shed) {
		log_us = log2_of(service_us);
		l->service_us += ((double)service_us - l->service_us) / 16;
		class_sample(c, log_us);
	}
	if (update_probe(l, now_us) || now_us < l->hold_until_us) {
		window_reset(l, now_us);
		return;
	}
	if (shed)
		l->sheds++;
	else if (c->known)
		add_excess(l, c, log_us);
	if (!window_complete(l, now_us))
		return;
	window_close(l, now_us);
	window_reset(l, now_us);
	BR_INVARIANT(l->limit >= l->min && l->limit <= l->max);
}
