#include "briarreel/balance.h"

#include "briarreel/failure_rate.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define BUCKETS 1024
/* Candidates looked at per pick; a larger set is cut to a random run of this length. */
#define CANDIDATES_MAX 64
#define REPORT_FRESH_US (1 * BR_US_PER_S)
#define SPILL_LOAD 0.8
/* Limit assumed for a target that has not reported one. */
#define LIMIT_UNKNOWN 16
/* A new target gets at least this part of a full share, so that it gets any requests at all. */
#define WARMUP_MIN 0.05
#define SKIP_MIN_US (100 * BR_US_PER_MS)
#define SKIP_MAX_US (2 * BR_US_PER_S)
/* Errors in a row, over at least this time, after which a target is ejected. */
#define EJECT_ERRORS 20
#define EJECT_SPAN_US (500 * BR_US_PER_MS)
#define EJECT_MIN_US (1 * BR_US_PER_S)
#define EJECT_MAX_US (30 * BR_US_PER_S)

/* Classes of requests whose usual times are kept; more share rows. */
#define CLASSES 64
#define CLASS_WEIGHT 0.05
#define SLOWNESS_WEIGHT 0.1
#define SLOWNESS_MIN 0.1
#define SLOWNESS_MAX 10.0
/* What is known of a target's speed counts half after this time without a sample. */
#define SLOWNESS_HALF_US (3.0 * BR_US_PER_S)
/* Factor for a target that has just started. */
#define COLD_SLOWNESS 2.0
/* Load from which a target is expected to be slower, and by how much at its limit. */
#define LOAD_FREE 0.6
#define LOAD_SLOWDOWN 1.5
/* A full target makes requests wait: cost of each further limit's worth of requests. */
#define LOAD_QUEUE 2.0
/* Weight of a result in the part of requests that fail at a target. */
#define FAILED_WEIGHT 0.08
/* Single failures say nothing; above this part a target is avoided. */
#define FAILED_FREE 0.1
/* Charge for a request that would surely fail, in objectives: more than a wait of some of them. */
#define FAILED_CHARGE 4.0
/* A target is drawn in proportion to the chance that so many requests in a row succeed there. */
#define FAILED_POWER 8.0
/* Charge for another zone, as a part of the objective: bytes between zones cost. */
#define ZONE_CHARGE 0.2

struct peer {
	struct br_node_id id;
	struct peer *chain;
	bool forgotten;
	uint32_t outstanding;
	/** Requests of other nodes at the target, and its limit, as of reported_us. */
	uint32_t others, limit;
	uint64_t reported_us;
	uint32_t failures;
	uint64_t skip_until_us;
	uint32_t errors;
	uint64_t first_error_us;
	uint64_t eject_until_us, eject_us;
	/** Times relative to those of all targets, as of timed_us; 0 if unknown. */
	double slowness;
	uint64_t timed_us;
	/** As this node has seen it, and as the target's node tells it. */
	struct br_failure_rate failed, failed_told;
};

struct br_balance {
	uint64_t warmup_us;
	struct br_balance_counters counters;
	/** Usual time of each class at a target of slowness 1; 0 if unknown. */
	double class_us[CLASSES];
	struct peer *peers[BUCKETS];
};

static double failed_part(const struct peer *p, uint64_t now_us)
{
	double own = p ? br_failure_rate_get(&p->failed, now_us) : 0;
	double told = p ? br_failure_rate_get(&p->failed_told, now_us) : 0;

	return own > told ? own : told;
}

/** What a pick knows about one candidate. */
struct view {
	size_t index;
	bool local;
	double load_n, limit, weight;
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
		while (b->peers[i]) {
			struct peer *p = b->peers[i];

			b->peers[i] = p->chain;
			free(p);
		}
	}
	free(b);
}

static struct peer *find(const struct br_balance *b, const struct br_node_id *id)
{
	struct peer *p = b->peers[br_hash_str(id->text, 0) % BUCKETS];

	while (p && !br_node_id_equal(&p->id, id))
		p = p->chain;
	return p;
}

static struct peer *add(struct br_balance *b, const struct br_node_id *id)
{
	struct peer **bucket = &b->peers[br_hash_str(id->text, 0) % BUCKETS];
	struct peer *p = find(b, id);

	if (p)
		return p;
	p = calloc(1, sizeof(*p));
	if (!p)
		return NULL;
	p->id = *id;
	p->chain = *bucket;
	*bucket = p;
	return p;
}

static void remove_peer(struct br_balance *b, struct peer *p)
{
	struct peer **link = &b->peers[br_hash_str(p->id.text, 0) % BUCKETS];

	while (*link != p)
		link = &(*link)->chain;
	*link = p->chain;
	free(p);
}

static bool excluded(const struct br_node_id *id, const struct br_node_id *exclude, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (br_node_id_equal(id, &exclude[i]))
			return true;
	return false;
}

/* 0: usable; 1: ejected for errors; 2: skipped after failed connects. */
static int tier_of(const struct peer *p, uint64_t now_us)
{
	if (!p)
		return 0;
	if (now_us < p->skip_until_us)
		return 2;
	return now_us < p->eject_until_us ? 1 : 0;
}

static double warmup(const struct br_balance *b, const struct br_balance_candidate *c,
		     uint64_t now_us)
{
	double part;

	if (!b->warmup_us || !c->joined_us)
		return 1;
	if (now_us <= c->joined_us)
		return WARMUP_MIN;
	part = (double)(now_us - c->joined_us) / (double)b->warmup_us;
	if (part > 1)
		return 1;
	return part > WARMUP_MIN ? part : WARMUP_MIN;
}

static void look(const struct br_balance *b, const struct br_balance_candidate *c,
		 const struct peer *p, uint64_t now_us, struct view *v)
{
	uint64_t age = p && now_us > p->reported_us ? now_us - p->reported_us : 0;
	double others = p ? p->others : 0;

	if (age > REPORT_FRESH_US)
		others *= (double)REPORT_FRESH_US / (double)age;
	v->limit = p && p->limit ? p->limit : LIMIT_UNKNOWN;
	v->load_n = (p ? p->outstanding : 0) + others;
	v->weight = warmup(b, c, now_us);
}

/* Drops the targets of other zones unless those of the own zone are loaded or absent. */
static size_t prefer_zone(struct view *views, size_t n)
{
	double load = 0, limit = 0;
	size_t kept = 0;

	for (size_t i = 0; i < n; i++) {
		if (!views[i].local)
			continue;
		load += views[i].load_n;
		limit += views[i].limit * views[i].weight;
	}
	if (limit <= 0 || load > SPILL_LOAD * limit)
		return n;
	for (size_t i = 0; i < n; i++)
		if (views[i].local)
			views[kept++] = views[i];
	return kept;
}

/* Draws a view by weight; other is not drawn again. */
static size_t draw(const struct view *views, size_t n, size_t other, struct br_rng *rng)
{
	double sum = 0, at;
	size_t last = other;

	for (size_t i = 0; i < n; i++)
		sum += i == other ? 0 : views[i].weight;
	at = sum * ((double)(br_rng_next(rng) >> 11) / 9007199254740992.0);
	for (size_t i = 0; i < n; i++) {
		if (i == other)
			continue;
		last = i;
		at -= views[i].weight;
		if (at < 0)
			break;
	}
	return last;
}

static const struct view *better_of_two(const struct view *views, size_t n, struct br_rng *rng)
{
	size_t first, second;

	if (n == 1)
		return &views[0];
	first = draw(views, n, SIZE_MAX, rng);
	second = draw(views, n, first, rng);
	BR_INVARIANT(first < n && second < n && first != second);
	if (views[second].load_n / views[second].limit < views[first].load_n / views[first].limit)
		return &views[second];
	return &views[first];
}

/* Views of the candidates of the best tier that are not excluded. Returns their number. */
static size_t usable_views(const struct br_balance *b,
			   const struct br_balance_candidate *candidates, size_t n,
			   const char *zone, const struct br_node_id *exclude, size_t n_exclude,
			   struct br_rng *rng, uint64_t now_us, struct view *views)
{
	size_t offset = n > CANDIDATES_MAX ? br_rng_below(rng, n) : 0, kept = 0;
	int tier = 3;

	for (size_t k = 0; k < n && kept < CANDIDATES_MAX; k++) {
		size_t i = (offset + k) % n;
		const struct peer *p = find(b, &candidates[i].id);
		int own = tier_of(p, now_us);

		if (own > tier || excluded(&candidates[i].id, exclude, n_exclude))
			continue;
		if (own < tier) {
			tier = own;
			kept = 0;
		}
		views[kept].index = i;
		views[kept].local = strcmp(candidates[i].zone, zone) == 0;
		look(b, &candidates[i], p, now_us, &views[kept++]);
	}
	return kept;
}

int br_balance_pick(struct br_balance *b, const struct br_balance_candidate *candidates, size_t n,
		    const char *zone, const struct br_node_id *exclude, size_t n_exclude,
		    struct br_rng *rng, uint64_t now_us)
{
	struct view views[CANDIDATES_MAX];
	size_t kept = usable_views(b, candidates, n, zone, exclude, n_exclude, rng, now_us, views);
	const struct view *chosen;

	if (!kept)
		return -ENOENT;
	kept = prefer_zone(views, kept);
	chosen = better_of_two(views, kept, rng);
	b->counters.picks++;
	if (!chosen->local)
		b->counters.spilled++;
	return (int)chosen->index;
}

static double slowness_of(const struct peer *p, uint64_t now_us)
{
	double age_us;

	if (!p || p->slowness <= 0)
		return 1;
	age_us = now_us > p->timed_us ? (double)(now_us - p->timed_us) : 0;
	return 1 + (p->slowness - 1) * SLOWNESS_HALF_US / (SLOWNESS_HALF_US + age_us);
}

static double failed_charge(const struct peer *p, uint64_t now_us)
{
	double part = failed_part(p, now_us);

	return part > FAILED_FREE ? (part - FAILED_FREE) * FAILED_CHARGE : 0;
}

static double load_factor(double load)
{
	if (load <= LOAD_FREE)
		return 1;
	if (load <= 1)
		return 1 + (load - LOAD_FREE) / (1 - LOAD_FREE) * (LOAD_SLOWDOWN - 1);
	return LOAD_SLOWDOWN + (load - 1) * LOAD_QUEUE;
}

/* Expected time as a part of the objective. */
static double cost_of(const struct br_balance *b, const struct br_balance_candidate *c,
		      const struct br_balance_want *want, const struct view *v, uint64_t now_us)
{
	const struct peer *p = find(b, &c->id);
	double usual_us = b->class_us[want->class % CLASSES];
	double objective_us = want->objective_us ? (double)want->objective_us : BR_US_PER_S;
	double time_us;

	/* Without a sample a tenth of the objective makes the factors comparable. */
	if (usual_us <= 0)
		usual_us = objective_us / 10;
	time_us = usual_us * slowness_of(p, now_us) * load_factor(v->load_n / v->limit) *
		  (c->cold ? COLD_SLOWNESS : 1);
	return time_us / objective_us + (v->local ? 0 : ZONE_CHARGE) + failed_charge(p, now_us);
}

/* Draws one of the own zone's targets and one of the others', or two if all are of one kind. */
static const struct view *cheaper_of_drawn(const struct br_balance *b,
					   const struct br_balance_candidate *candidates,
					   const struct br_balance_want *want,
					   const struct view *views, size_t n, struct br_rng *rng,
					   uint64_t now_us)
{
	size_t first = n == 1 ? 0 : draw(views, n, SIZE_MAX, rng), second = first;
	struct view others[CANDIDATES_MAX];
	size_t n_others = 0;

	for (size_t i = 0; i < n; i++)
		if (views[i].local != views[first].local)
			others[n_others++] = views[i];
	if (n_others) {
		size_t index = others[draw(others, n_others, SIZE_MAX, rng)].index;

		while (views[second].index != index)
			second = (second + 1) % n;
	}
	if (!n_others && n > 1)
		second = draw(views, n, first, rng);
	if (cost_of(b, &candidates[views[second].index], want, &views[second], now_us) <
	    cost_of(b, &candidates[views[first].index], want, &views[first], now_us))
		return &views[second];
	return &views[first];
}

int br_balance_pick_fast(struct br_balance *b, const struct br_balance_candidate *candidates,
			 size_t n, const struct br_balance_want *want,
			 const struct br_node_id *exclude, size_t n_exclude, struct br_rng *rng,
			 uint64_t now_us)
{
	struct view views[CANDIDATES_MAX];
	size_t kept =
		usable_views(b, candidates, n, want->zone, exclude, n_exclude, rng, now_us, views);
	const struct view *chosen;

	if (!kept)
		return -ENOENT;
	for (size_t i = 0; i < kept; i++)
		views[i].weight *=
			pow(1 - failed_part(find(b, &candidates[views[i].index].id), now_us),
			    FAILED_POWER);
	chosen = cheaper_of_drawn(b, candidates, want, views, kept, rng, now_us);
	b->counters.picks++;
	if (!chosen->local)
		b->counters.spilled++;
	return (int)chosen->index;
}

void br_balance_note_time(struct br_balance *b, const struct br_node_id *id, uint64_t class,
			  uint64_t time_us, uint64_t now_us)
{
	struct peer *p = find(b, id);
	double *usual_us = &b->class_us[class % CLASSES];
	double slowness, ratio;

	if (!p || !time_us)
		return;
	slowness = slowness_of(p, now_us);
	if (*usual_us <= 0)
		*usual_us = (double)time_us / slowness;
	ratio = (double)time_us / *usual_us;
	if (ratio < SLOWNESS_MIN)
		ratio = SLOWNESS_MIN;
	if (ratio > SLOWNESS_MAX)
		ratio = SLOWNESS_MAX;
	*usual_us += ((double)time_us / slowness - *usual_us) * CLASS_WEIGHT;
	p->slowness = slowness + (ratio - slowness) * SLOWNESS_WEIGHT;
	p->timed_us = now_us;
}

void br_balance_note_result(struct br_balance *b, const struct br_node_id *id, bool failed,
			    uint64_t now_us)
{
	struct peer *p = find(b, id);

	if (!p)
		return;
	br_failure_rate_note(&p->failed, failed, FAILED_WEIGHT, now_us);
}

void br_balance_note_failed(struct br_balance *b, const struct br_node_id *id, double part,
			    uint64_t now_us)
{
	struct peer *p = find(b, id);

	if (p)
		br_failure_rate_set(&p->failed_told, part, now_us);
}

int br_balance_note_start(struct br_balance *b, const struct br_node_id *id, uint64_t now_us)
{
	struct peer *p = add(b, id);

	(void)now_us;
	if (!p)
		return -ENOMEM;
	p->forgotten = false;
	p->outstanding++;
	return 0;
}

static void note_error(struct br_balance *b, struct peer *p, uint64_t now_us)
{
	if (!p->errors++)
		p->first_error_us = now_us;
	if (now_us < p->eject_until_us || p->errors < EJECT_ERRORS)
		return;
	if (now_us - p->first_error_us < EJECT_SPAN_US)
		return;
	p->eject_us = p->eject_us ? 2 * p->eject_us : EJECT_MIN_US;
	if (p->eject_us > EJECT_MAX_US)
		p->eject_us = EJECT_MAX_US;
	p->eject_until_us = now_us + p->eject_us;
	b->counters.ejections++;
}

void br_balance_note_end(struct br_balance *b, const struct br_node_id *id, enum br_balance_end end,
			 uint64_t now_us)
{
	struct peer *p = find(b, id);

	BR_INVARIANT(p && p->outstanding > 0);
	p->outstanding--;
	switch (end) {
	case BR_BALANCE_OK:
		p->errors = 0;
		p->eject_us = 0;
		p->eject_until_us = 0;
		p->failures = 0;
		p->skip_until_us = 0;
		break;
	case BR_BALANCE_ERROR:
		note_error(b, p, now_us);
		break;
	case BR_BALANCE_REFUSED:
		p->failures = 0;
		break;
	case BR_BALANCE_CANCELLED:
		break;
	}
	if (p->forgotten && !p->outstanding)
		remove_peer(b, p);
}

void br_balance_note_report(struct br_balance *b, const struct br_node_id *id, uint32_t in_flight,
			    uint32_t limit, uint64_t now_us)
{
	struct peer *p = find(b, id);

	if (!p || !limit)
		return;
	/* Own requests are counted exactly, so only those of others are kept. */
	p->others = in_flight > p->outstanding ? in_flight - p->outstanding : 0;
	p->limit = limit;
	p->reported_us = now_us;
}

void br_balance_note_failure(struct br_balance *b, const struct br_node_id *id, uint64_t now_us)
{
	struct peer *p = add(b, id);
	uint64_t skip = SKIP_MIN_US;

	b->counters.failed_connects++;
	/* Several requests that fail together are one failure. */
	if (!p || now_us < p->skip_until_us)
		return;
	for (uint32_t i = 0; i < p->failures && skip < SKIP_MAX_US; i++)
		skip *= 2;
	p->failures++;
	p->skip_until_us = now_us + (skip < SKIP_MAX_US ? skip : SKIP_MAX_US);
}

void br_balance_forget(struct br_balance *b, const struct br_node_id *id)
{
	struct peer *p = find(b, id);

	if (!p)
		return;
	if (!p->outstanding) {
		remove_peer(b, p);
		return;
	}
	*p = (struct peer){
		.id = p->id, .chain = p->chain, .outstanding = p->outstanding, .forgotten = true};
}

uint32_t br_balance_outstanding(const struct br_balance *b, const struct br_node_id *id)
{
	const struct peer *p = find(b, id);

	return p ? p->outstanding : 0;
}

const struct br_balance_counters *br_balance_counters(const struct br_balance *b)
{
	return &b->counters;
}
