#include "briarreel/balance.h"

#include "briarreel/failure_rate.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define BUCKETS 1024
/* Maximum candidates per pick; of a larger set, a contiguous range at a random offset is used. */
#define CANDIDATES_MAX 64
/* Age above which the load in a report is scaled down, in inverse proportion to the age. */
#define REPORT_FRESH_US (1 * BR_US_PER_S)
/* Load (in-flight requests / limit) of this node's zone above which all zones are used. */
#define SPILL_LOAD 0.8
/* Limit assumed for a target that has not reported one. */
#define LIMIT_DEFAULT 16
/* Minimum draw weight of a new target (full weight: 1), so that it gets any requests at all. */
#define WARMUP_MIN 0.05
/* First and longest time for which a target is skipped after failed connects; doubles with each. */
#define SKIP_MIN_US (100 * BR_US_PER_MS)
#define SKIP_MAX_US (2 * BR_US_PER_S)
/* Errors in a row, over at least this time, after which a target is ejected. */
#define EJECT_ERRORS 20
#define EJECT_SPAN_US (500 * BR_US_PER_MS)
/* First and longest time for which a target is ejected; doubles with each further ejection. */
#define EJECT_MIN_US (1 * BR_US_PER_S)
#define EJECT_MAX_US (30 * BR_US_PER_S)

/* Number of mean times kept; request classes with the same remainder share one. */
#define CLASSES 64
/* Weight of a sample in the moving averages of class time and slowness. */
#define CLASS_WEIGHT 0.05
#define SLOWNESS_WEIGHT 0.1
/* Bounds of a single slowness sample. */
#define SLOWNESS_MIN 0.1
#define SLOWNESS_MAX 10.0
/* Time without a sample after which the deviation of a target's slowness from 1 is halved. */
#define SLOWNESS_HALVING_US (3.0 * BR_US_PER_S)
/* Expected slowness factor of a target that has just started. */
#define COLD_SLOWNESS 2.0
/* Load above which a target is expected to slow down, and the slowdown factor at its limit. */
#define SLOWDOWN_LOAD_MIN 0.6
#define SLOWDOWN_AT_LIMIT 1.5
/* Increase of the slowdown factor per multiple of the limit beyond it; these requests queue. */
#define SLOWDOWN_PER_QUEUED_LIMIT 2.0
/* Weight of a result in the moving average of a target's failure rate. */
#define FAILURE_RATE_WEIGHT 0.08
/* Failure rate above which a target is avoided; single failures are not significant. */
#define FAILURE_RATE_TOLERATED 0.1
/*
 * Cost, in multiples of the objective, per unit of failure rate above the tolerated rate. High
 * enough that a failing target is not preferred to one with a wait of a few objectives.
 */
#define FAILURE_COST 4.0
/*
 * The draw weight of a target is scaled by the probability that this many consecutive requests
 * succeed there.
 */
#define FAILURE_EXPONENT 8.0
/*
 * Cost of another zone as a fraction of the objective. It accounts for the traffic between zones;
 * a request that makes several calls one after the other pays their delays together.
 */
#define OTHER_ZONE_COST 0.1

/** State of a target, kept from the first request or failed connect. */
struct target_state {
	struct br_node_id id;
	struct target_state *hash_next;
	/** br_balance_remove() was called; the state is freed when outstanding reaches 0. */
	bool removed;
	/** Requests of this node that have not ended. */
	uint32_t outstanding;
	/** In-flight requests of other nodes and the limit, as reported at reported_us. */
	uint32_t others_in_flight, limit;
	uint64_t reported_us;
	uint32_t consecutive_connect_failures;
	uint64_t skip_until_us;
	uint32_t consecutive_errors;
	/** Time of the first of the consecutive errors. */
	uint64_t first_error_us;
	uint64_t eject_until_us;
	/** Length of the last ejection; 0 after a success. */
	uint64_t last_ejection_us;
	/** Mean time relative to that of all targets, as of slowness_updated_us; 0 if unknown. */
	double slowness;
	uint64_t slowness_updated_us;
	/** Measured by this node, and reported by the target's node. */
	struct br_failure_rate own_failure_rate, reported_failure_rate;
};

struct br_balance {
	uint64_t warmup_us;
	struct br_balance_counters counters;
	/** Mean time of each class at a target of slowness 1; 0 if unknown. */
	double class_us[CLASSES];
	struct target_state *targets[BUCKETS];
};

static double failure_rate(const struct target_state *t, uint64_t now_us)
{
	double own = t ? br_failure_rate_get(&t->own_failure_rate, now_us) : 0;
	double reported = t ? br_failure_rate_get(&t->reported_failure_rate, now_us) : 0;

	return own > reported ? own : reported;
}

/** State of one candidate during a pick; index refers to the candidates array. */
struct candidate_state {
	size_t index;
	/** The candidate is in this node's zone. */
	bool local;
	double in_flight, limit;
	/** Draw weight: by warm-up, and in br_balance_pick_by_cost() also by the failure rate. */
	double weight;
};

struct br_balance *br_balance_create(uint64_t warmup_us)
{
	struct br_balance *b = calloc(1, sizeof(*b));

	if (b)
		b->warmup_us = warmup_us;
	return b;
}

void br_balance_destroy(struct br_balance *b)
{
	if (!b)
		return;
	for (int i = 0; i < BUCKETS; i++) {
		while (b->targets[i]) {
			struct target_state *t = b->targets[i];

			b->targets[i] = t->hash_next;
			free(t);
		}
	}
	free(b);
}

static struct target_state *find(const struct br_balance *b, const struct br_node_id *id)
{
	struct target_state *t = b->targets[br_hash_str(id->text, 0) % BUCKETS];

	while (t && !br_node_id_equal(&t->id, id))
		t = t->hash_next;
	return t;
}

static struct target_state *add(struct br_balance *b, const struct br_node_id *id)
{
	struct target_state **bucket = &b->targets[br_hash_str(id->text, 0) % BUCKETS];
	struct target_state *t = find(b, id);

	if (t)
		return t;
	t = calloc(1, sizeof(*t));
	if (!t)
		return NULL;
	t->id = *id;
	t->hash_next = *bucket;
	*bucket = t;
	return t;
}

static void remove_target(struct br_balance *b, struct target_state *t)
{
	struct target_state **link = &b->targets[br_hash_str(t->id.text, 0) % BUCKETS];

	while (*link != t)
		link = &(*link)->hash_next;
	*link = t->hash_next;
	free(t);
}

static bool excluded(const struct br_node_id *id, const struct br_node_id *exclude, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (br_node_id_equal(id, &exclude[i]))
			return true;
	return false;
}

/* Tier of a target: 0 usable, 1 ejected after errors, 2 skipped after failed connects. */
static int tier_of(const struct target_state *t, uint64_t now_us)
{
	if (!t)
		return 0;
	if (now_us < t->skip_until_us)
		return 2;
	return now_us < t->eject_until_us ? 1 : 0;
}

static double warmup_weight(const struct br_balance *b, const struct br_balance_candidate *c,
			    uint64_t now_us)
{
	double fraction;

	if (!b->warmup_us || !c->joined_us)
		return 1;
	if (now_us <= c->joined_us)
		return WARMUP_MIN;
	fraction = (double)(now_us - c->joined_us) / (double)b->warmup_us;
	if (fraction > 1)
		return 1;
	return fraction > WARMUP_MIN ? fraction : WARMUP_MIN;
}

static void read_candidate_state(const struct br_balance *b, const struct br_balance_candidate *c,
				 const struct target_state *t, uint64_t now_us,
				 struct candidate_state *state)
{
	uint64_t age = t && now_us > t->reported_us ? now_us - t->reported_us : 0;
	double others = t ? t->others_in_flight : 0;

	if (age > REPORT_FRESH_US)
		others *= (double)REPORT_FRESH_US / (double)age;
	state->limit = t && t->limit ? t->limit : LIMIT_DEFAULT;
	state->in_flight = (t ? t->outstanding : 0) + others;
	state->weight = warmup_weight(b, c, now_us);
}

/* Removes the targets of other zones unless this node's zone is loaded or has no targets. */
static size_t prefer_zone(struct candidate_state *states, size_t n)
{
	double load = 0, limit = 0;
	size_t count = 0;

	for (size_t i = 0; i < n; i++) {
		if (!states[i].local)
			continue;
		load += states[i].in_flight;
		limit += states[i].limit * states[i].weight;
	}
	if (limit <= 0 || load > SPILL_LOAD * limit)
		return n;
	for (size_t i = 0; i < n; i++)
		if (states[i].local)
			states[count++] = states[i];
	return count;
}

/* Draws a random index in proportion to the weights, excluding the index other. */
static size_t draw(const struct candidate_state *states, size_t n, size_t other, struct br_rng *rng)
{
	double sum = 0, remaining;
	size_t last = other;

	for (size_t i = 0; i < n; i++)
		sum += i == other ? 0 : states[i].weight;
	/* sum times a random number that is uniform in [0, 1). */
	remaining = sum * ((double)(br_rng_next(rng) >> 11) / 0x1p53);
	for (size_t i = 0; i < n; i++) {
		if (i == other)
			continue;
		last = i;
		remaining -= states[i].weight;
		if (remaining < 0)
			break;
	}
	return last;
}

static const struct candidate_state *better_of_two(const struct candidate_state *states, size_t n,
						   struct br_rng *rng)
{
	size_t first, second;

	if (n == 1)
		return &states[0];
	first = draw(states, n, SIZE_MAX, rng);
	second = draw(states, n, first, rng);
	BR_INVARIANT(first < n && second < n && first != second);
	if (states[second].in_flight / states[second].limit <
	    states[first].in_flight / states[first].limit)
		return &states[second];
	return &states[first];
}

/*
 * Writes the states of the candidates that are not excluded and belong to the best tier that any of
 * them has. Returns their number.
 */
static size_t best_tier_candidates(const struct br_balance *b,
				   const struct br_balance_candidate *candidates, size_t n,
				   const char *zone, const struct br_node_id *exclude,
				   size_t n_exclude, struct br_rng *rng, uint64_t now_us,
				   struct candidate_state *states)
{
	size_t offset = n > CANDIDATES_MAX ? br_rng_below(rng, n) : 0, count = 0;
	int tier = 3;

	for (size_t k = 0; k < n && count < CANDIDATES_MAX; k++) {
		size_t i = (offset + k) % n;
		const struct target_state *t = find(b, &candidates[i].id);
		int candidate_tier = tier_of(t, now_us);

		if (candidate_tier > tier || excluded(&candidates[i].id, exclude, n_exclude))
			continue;
		if (candidate_tier < tier) {
			tier = candidate_tier;
			count = 0;
		}
		states[count].index = i;
		states[count].local = strcmp(candidates[i].zone, zone) == 0;
		read_candidate_state(b, &candidates[i], t, now_us, &states[count++]);
	}
	return count;
}

int br_balance_pick(struct br_balance *b, const struct br_balance_candidate *candidates, size_t n,
		    const char *zone, const struct br_node_id *exclude, size_t n_exclude,
		    struct br_rng *rng, uint64_t now_us)
{
	struct candidate_state states[CANDIDATES_MAX];
	size_t count = best_tier_candidates(b, candidates, n, zone, exclude, n_exclude, rng, now_us,
					    states);
	const struct candidate_state *chosen;

	if (!count)
		return -ENOENT;
	count = prefer_zone(states, count);
	chosen = better_of_two(states, count, rng);
	b->counters.picks++;
	if (!chosen->local)
		b->counters.spilled++;
	return (int)chosen->index;
}

static double slowness_of(const struct target_state *t, uint64_t now_us)
{
	double age_us;

	if (!t || t->slowness <= 0)
		return 1;
	age_us = now_us > t->slowness_updated_us ? (double)(now_us - t->slowness_updated_us) : 0;
	return 1 + (t->slowness - 1) * SLOWNESS_HALVING_US / (SLOWNESS_HALVING_US + age_us);
}

static double failure_cost(const struct target_state *t, uint64_t now_us)
{
	double rate = failure_rate(t, now_us);

	return rate > FAILURE_RATE_TOLERATED ? (rate - FAILURE_RATE_TOLERATED) * FAILURE_COST : 0;
}

static double load_factor(double load)
{
	if (load <= SLOWDOWN_LOAD_MIN)
		return 1;
	if (load <= 1)
		return 1 + (load - SLOWDOWN_LOAD_MIN) / (1 - SLOWDOWN_LOAD_MIN) *
				   (SLOWDOWN_AT_LIMIT - 1);
	return SLOWDOWN_AT_LIMIT + (load - 1) * SLOWDOWN_PER_QUEUED_LIMIT;
}

/* Expected time in multiples of the objective, plus the costs of zone and failures. */
static double cost_of(const struct br_balance *b, const struct br_balance_candidate *c,
		      const struct br_balance_request *request, const struct candidate_state *state,
		      uint64_t now_us)
{
	const struct target_state *t = find(b, &c->id);
	double mean_us = b->class_us[request->class % CLASSES];
	double objective_us = request->objective_us ? (double)request->objective_us : BR_US_PER_S;
	double time_us;

	/* Without a sample, assume a tenth of the objective: it keeps the cost terms comparable. */
	if (mean_us <= 0)
		mean_us = objective_us / 10;
	time_us = mean_us * slowness_of(t, now_us) * load_factor(state->in_flight / state->limit) *
		  (c->cold ? COLD_SLOWNESS : 1);
	return time_us / objective_us + (state->local ? 0 : OTHER_ZONE_COST) +
	       failure_cost(t, now_us);
}

/*
 * Draws two candidates, one of this node's zone and one of another if there are both, and returns
 * the cheaper one.
 */
static const struct candidate_state *cheaper_of_two(const struct br_balance *b,
						    const struct br_balance_candidate *candidates,
						    const struct br_balance_request *request,
						    const struct candidate_state *states, size_t n,
						    struct br_rng *rng, uint64_t now_us)
{
	size_t first = n == 1 ? 0 : draw(states, n, SIZE_MAX, rng), second = first;
	struct candidate_state others[CANDIDATES_MAX];
	size_t n_others = 0;

	for (size_t i = 0; i < n; i++)
		if (states[i].local != states[first].local)
			others[n_others++] = states[i];
	if (n_others) {
		size_t index = others[draw(others, n_others, SIZE_MAX, rng)].index;

		while (states[second].index != index)
			second = (second + 1) % n;
	}
	if (!n_others && n > 1)
		second = draw(states, n, first, rng);
	if (cost_of(b, &candidates[states[second].index], request, &states[second], now_us) <
	    cost_of(b, &candidates[states[first].index], request, &states[first], now_us))
		return &states[second];
	return &states[first];
}

int br_balance_pick_by_cost(struct br_balance *b, const struct br_balance_candidate *candidates,
			    size_t n, const struct br_balance_request *request,
			    const struct br_node_id *exclude, size_t n_exclude, struct br_rng *rng,
			    uint64_t now_us)
{
	struct candidate_state states[CANDIDATES_MAX];
	size_t count = best_tier_candidates(b, candidates, n, request->zone, exclude, n_exclude,
					    rng, now_us, states);
	const struct candidate_state *chosen;

	if (!count)
		return -ENOENT;
	for (size_t i = 0; i < count; i++)
		states[i].weight *=
			pow(1 - failure_rate(find(b, &candidates[states[i].index].id), now_us),
			    FAILURE_EXPONENT);
	chosen = cheaper_of_two(b, candidates, request, states, count, rng, now_us);
	b->counters.picks++;
	if (!chosen->local)
		b->counters.spilled++;
	return (int)chosen->index;
}

void br_balance_record_time(struct br_balance *b, const struct br_node_id *id, uint64_t class,
			    uint64_t time_us, uint64_t now_us)
{
	struct target_state *t = find(b, id);
	double *mean_us = &b->class_us[class % CLASSES];
	double slowness, ratio;

	if (!t || !time_us)
		return;
	slowness = slowness_of(t, now_us);
	if (*mean_us <= 0)
		*mean_us = (double)time_us / slowness;
	ratio = (double)time_us / *mean_us;
	if (ratio < SLOWNESS_MIN)
		ratio = SLOWNESS_MIN;
	if (ratio > SLOWNESS_MAX)
		ratio = SLOWNESS_MAX;
	*mean_us += ((double)time_us / slowness - *mean_us) * CLASS_WEIGHT;
	t->slowness = slowness + (ratio - slowness) * SLOWNESS_WEIGHT;
	t->slowness_updated_us = now_us;
}

void br_balance_record_result(struct br_balance *b, const struct br_node_id *id, bool failed,
			      uint64_t now_us)
{
	struct target_state *t = find(b, id);

	if (!t)
		return;
	br_failure_rate_record(&t->own_failure_rate, failed, FAILURE_RATE_WEIGHT, now_us);
}

void br_balance_record_failure_rate(struct br_balance *b, const struct br_node_id *id, double rate,
				    uint64_t now_us)
{
	struct target_state *t = find(b, id);

	if (t)
		br_failure_rate_set(&t->reported_failure_rate, rate, now_us);
}

int br_balance_request_started(struct br_balance *b, const struct br_node_id *id, uint64_t now_us)
{
	struct target_state *t = add(b, id);

	(void)now_us;
	if (!t)
		return -ENOMEM;
	t->removed = false;
	t->outstanding++;
	return 0;
}

static void record_error(struct br_balance *b, struct target_state *t, uint64_t now_us)
{
	if (!t->consecutive_errors++)
		t->first_error_us = now_us;
	if (now_us < t->eject_until_us || t->consecutive_errors < EJECT_ERRORS)
		return;
	if (now_us - t->first_error_us < EJECT_SPAN_US)
		return;
	t->last_ejection_us = t->last_ejection_us ? 2 * t->last_ejection_us : EJECT_MIN_US;
	if (t->last_ejection_us > EJECT_MAX_US)
		t->last_ejection_us = EJECT_MAX_US;
	t->eject_until_us = now_us + t->last_ejection_us;
	b->counters.ejections++;
}

void br_balance_request_ended(struct br_balance *b, const struct br_node_id *id,
			      enum br_balance_end end, uint64_t now_us)
{
	struct target_state *t = find(b, id);

	BR_INVARIANT(t && t->outstanding > 0);
	t->outstanding--;
	switch (end) {
	case BR_BALANCE_OK:
		t->consecutive_errors = 0;
		t->last_ejection_us = 0;
		t->eject_until_us = 0;
		t->consecutive_connect_failures = 0;
		t->skip_until_us = 0;
		break;
	case BR_BALANCE_ERROR:
		record_error(b, t, now_us);
		break;
	case BR_BALANCE_REFUSED:
		t->consecutive_connect_failures = 0;
		break;
	case BR_BALANCE_CANCELLED:
		break;
	}
	if (t->removed && !t->outstanding)
		remove_target(b, t);
}

void br_balance_record_load(struct br_balance *b, const struct br_node_id *id, uint32_t in_flight,
			    uint32_t limit, uint64_t now_us)
{
	struct target_state *t = find(b, id);

	if (!t || !limit)
		return;
	/* Own requests are counted exactly, so only those of other nodes are stored. */
	t->others_in_flight = in_flight > t->outstanding ? in_flight - t->outstanding : 0;
	t->limit = limit;
	t->reported_us = now_us;
}

void br_balance_record_connect_failure(struct br_balance *b, const struct br_node_id *id,
				       uint64_t now_us)
{
	struct target_state *t = add(b, id);
	uint64_t skip_us = SKIP_MIN_US;

	b->counters.connect_failures++;
	/* Failures while the target is skipped do not extend the skip time. */
	if (!t || now_us < t->skip_until_us)
		return;
	for (uint32_t i = 0; i < t->consecutive_connect_failures && skip_us < SKIP_MAX_US; i++)
		skip_us *= 2;
	t->consecutive_connect_failures++;
	t->skip_until_us = now_us + (skip_us < SKIP_MAX_US ? skip_us : SKIP_MAX_US);
}

void br_balance_remove(struct br_balance *b, const struct br_node_id *id)
{
	struct target_state *t = find(b, id);

	if (!t)
		return;
	if (!t->outstanding) {
		remove_target(b, t);
		return;
	}
	*t = (struct target_state){.id = t->id,
				   .hash_next = t->hash_next,
				   .outstanding = t->outstanding,
				   .removed = true};
}

uint32_t br_balance_outstanding(const struct br_balance *b, const struct br_node_id *id)
{
	const struct target_state *t = find(b, id);

	return t ? t->outstanding : 0;
}

const struct br_balance_counters *br_balance_counters(const struct br_balance *b)
{
	return &b->counters;
}
