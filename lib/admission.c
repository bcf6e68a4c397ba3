#include "briarreel/admission.h"

#include "admission_internal.h"

#include <math.h>
#include <stdlib.h>

#define ACCOUNTS_DEFAULT 256
/*
 * A window counts as overloaded if the queueing delay exceeds the mean service time, limited to
 * this range, during the whole window. The bound follows the service time because a target with a
 * small concurrency limit occasionally has waits of about one service time even below its capacity.
 */
#define OVERLOAD_DELAY_US (5 * BR_US_PER_MS)
#define OVERLOAD_DELAY_MAX_US (20 * BR_US_PER_MS)
/* Multiplier that permutes the shed order; odd, so that different values stay different. */
#define SHED_ORDER_MIX 40503U
/*
 * The threshold is adjusted through the cutoff: threshold = ceil(cutoff) - 1, and a fractional part
 * of the cutoff admits that fraction of the threshold's own level.
 */

/* Fractions of the admitted arrivals by which the cutoff moves down or up per window. */
#define THRESHOLD_DOWN 0.05
#define THRESHOLD_UP 0.02
/* The cutoff is not lowered after a window in which the queue shrank by this fraction. */
#define DRAIN_FRACTION 0.1
/* Maximum rise of the cutoff in levels per window; the full range takes 1.4 s. */
#define THRESHOLD_STEP 8
/* Maximum number of windows processed after a pause; the averages have decayed by then. */
#define WINDOWS_MAX 64

struct br_admission *br_admission_create(const struct br_admission_cfg *cfg)
{
	struct br_admission *a;

	if (!cfg->limit || !cfg->queue_max || !cfg->drop)
		return NULL;
	a = calloc(1, sizeof(*a));
	if (!a)
		return NULL;
	a->cfg = *cfg;
	if (!a->cfg.accounts_max)
		a->cfg.accounts_max = ACCOUNTS_DEFAULT;
	a->limit = cfg->limit;
	a->cutoff = BR_LEVELS;
	a->min_delay_us = UINT64_MAX;
	a->heap = calloc(cfg->queue_max, sizeof(struct br_admission_entry *));
	if (!a->heap || br_accounts_init(&a->accounts, a->cfg.accounts_max)) {
		br_admission_destroy(a);
		return NULL;
	}
	return a;
}

void br_admission_destroy(struct br_admission *a)
{
	if (!a)
		return;
	BR_INVARIANT(a->queued == 0);
	br_accounts_free(&a->accounts);
	free(a->heap);
	free(a);
}

static void finish_entry(struct br_admission_entry *e)
{
	BR_INVARIANT(e->state != BR_ENTRY_FINISHED && e->owner->refs > 0);
	e->state = BR_ENTRY_FINISHED;
	e->owner->refs--;
}

static void drop(struct br_admission *a, struct br_admission_entry *e,
		 enum br_admission_reason reason)
{
	br_queue_remove(a, e);
	finish_entry(e);
	e->reason = reason;
	a->counters.dropped[reason]++;
	a->cfg.drop(a->cfg.drop_ctx, e, reason);
}

static enum br_admission_result refuse(struct br_admission *a, struct br_admission_entry *e,
				       enum br_admission_reason reason)
{
	finish_entry(e);
	e->reason = reason;
	a->counters.dropped[reason]++;
	return BR_ADMISSION_REFUSED;
}

/* Fraction of a level's requests that is admitted, from 0 to 1. */
static double admitted_fraction(const struct br_admission *a, uint32_t level)
{
	double fraction = a->cutoff - level;

	if (fraction <= 0)
		return 0;
	return fraction < 1 ? fraction : 1;
}

/* Lowers the cutoff so that about to_refuse more of the window's arrivals would be refused. */
static void lower_cutoff(struct br_admission *a, double to_refuse)
{
	while (a->cutoff > BR_THRESHOLD_MIN + 1) {
		uint32_t level = (uint32_t)ceil(a->cutoff) - 1;
		double admitted_arrivals = a->arrivals[level] * (a->cutoff - level);

		if (admitted_arrivals > to_refuse) {
			a->cutoff -= to_refuse / a->arrivals[level];
			return;
		}
		to_refuse -= admitted_arrivals;
		a->cutoff = level;
	}
}

/* Raises the cutoff so that about to_admit more of the window's arrivals would be admitted. */
static void raise_cutoff(struct br_admission *a, double to_admit)
{
	for (int i = 0; i < THRESHOLD_STEP && a->cutoff < BR_LEVELS; i++) {
		uint32_t level = (uint32_t)a->cutoff;
		double refused = a->arrivals[level] * (level + 1 - a->cutoff);

		if (refused > to_admit) {
			a->cutoff += to_admit / a->arrivals[level];
			return;
		}
		to_admit -= refused;
		a->cutoff = level + 1;
	}
}

/* True if the request is in the admitted fraction of its level. */
static bool passes_cutoff(const struct br_admission *a, const struct br_admission_entry *e)
{
	/*
	 * The shed order already determined the sublevel, so requests of one level have similar
	 * values. The multiplication spreads them over the whole range again.
	 */
	uint16_t order = (uint16_t)(e->shed_order * SHED_ORDER_MIX);

	return order < admitted_fraction(a, e->level) * ((double)BR_SHED_ORDER_MAX + 1);
}

/*
 * While the queue shrinks, the threshold is low enough and the remaining delay comes from the
 * backlog. Lowering the threshold further would refuse requests that are needed to keep the target
 * busy once the backlog is processed. Nothing else would stop the decrease, because requests that
 * entry nodes refuse early do not arrive here.
 */
static bool queue_is_draining(struct br_admission *a)
{
	bool draining = a->queued < a->window_queued * (1 - DRAIN_FRACTION);

	a->window_queued = a->queued;
	return draining;
}

static void adjust_threshold(struct br_admission *a)
{
	bool draining = queue_is_draining(a);
	double admitted = 0;

	for (uint32_t i = 0; i < BR_LEVELS; i++)
		admitted += a->arrivals[i] * admitted_fraction(a, i);
	if (a->overloaded && draining)
		return;
	if (a->overloaded)
		lower_cutoff(a, admitted * THRESHOLD_DOWN);
	else
		raise_cutoff(a, admitted * THRESHOLD_UP);
	BR_INVARIANT(a->cutoff >= BR_THRESHOLD_MIN + 1 && a->cutoff <= BR_LEVELS);
}

/* Uses the age of the oldest entry, which does not depend on the order of service. */
static void observe_delay(struct br_admission *a, uint64_t now_us)
{
	uint64_t delay = a->oldest ? now_us - a->oldest->arrived_us : 0;

	if (delay < a->min_delay_us)
		a->min_delay_us = delay;
}

static uint64_t overload_delay_us(const struct br_admission *a)
{
	uint64_t delay_us = (uint64_t)a->service_us;

	if (delay_us < OVERLOAD_DELAY_US)
		return OVERLOAD_DELAY_US;
	return delay_us < OVERLOAD_DELAY_MAX_US ? delay_us : OVERLOAD_DELAY_MAX_US;
}

static void close_window(struct br_admission *a)
{
	a->overloaded = a->min_delay_us > overload_delay_us(a) && a->min_delay_us != UINT64_MAX;
	adjust_threshold(a);
	for (int i = 0; i < BR_LEVELS; i++)
		a->arrivals[i] = 0;
	br_accounts_close_window(&a->accounts);
	a->min_delay_us = UINT64_MAX;
}

/*
 * Closes the windows that have ended and returns the time to use, which never goes back. Callers
 * read the clock before they take their lock, so now_us may be slightly out of order.
 */
static uint64_t advance_windows(struct br_admission *a, uint64_t now_us)
{
	uint64_t windows;

	if (now_us < a->last_us)
		now_us = a->last_us;
	a->last_us = now_us;

	if (!a->window_start_us)
		a->window_start_us = now_us;
	windows = (now_us - a->window_start_us) / BR_ADMISSION_WINDOW_US;
	a->window_start_us += windows * BR_ADMISSION_WINDOW_US;
	if (windows > WINDOWS_MAX)
		windows = WINDOWS_MAX;
	while (windows-- > 0) {
		observe_delay(a, now_us);
		close_window(a);
	}
	return now_us;
}

/*
 * Time before the deadline below which a request is not started because it would very likely miss
 * the deadline. Half the account's mean service time still admits its shorter requests. Without
 * overload this is 0, because the capacity would otherwise stay unused.
 */
static uint64_t min_remaining_us(const struct br_admission *a,
				 const struct br_admission_account *acct)
{
	return a->overloaded ? (uint64_t)(acct->service_us / 2) : 0;
}

static bool expired(const struct br_admission *a, const struct br_admission_entry *e,
		    uint64_t now_us)
{
	return now_us + min_remaining_us(a, e->owner) >= e->deadline_us;
}

/*
 * Estimated queueing time of a new entry: the number of requests that have to complete before it is
 * started, times the mean time between completions. The count starts at 1 for the entry itself: one
 * completion is needed even if no entry is ahead of it.
 */
static uint64_t estimated_wait_us(const struct br_admission *a, const struct br_admission_entry *e)
{
	uint64_t completions = 1, same_priority = a->queued_of[e->priority];
	uint64_t ahead_by_turns = a->n_active[e->priority];

	for (int p = 0; p < e->priority; p++)
		completions += a->queued_of[p];
	/*
	 * Accounts take turns, so of this priority at most (position in the account's list) *
	 * (number of accounts) entries are started first. With newest first the position is 1.
	 */
	if (!br_queue_newest_first(a, e->priority))
		ahead_by_turns *= e->owner->lists[e->priority].n + 1;
	completions += ahead_by_turns < same_priority ? ahead_by_turns : same_priority;
	return (uint64_t)((double)completions * a->service_us / a->limit);
}

static void start(struct br_admission *a, struct br_admission_entry *e)
{
	e->state = BR_ENTRY_RUNNING;
	e->charged_us = (uint64_t)(e->owner->service_us > 0 ? e->owner->service_us : a->service_us);
	br_accounts_add_work(&a->accounts, e->owner, (double)e->charged_us);
	a->in_flight++;
	a->counters.started++;
	BR_INVARIANT(a->in_flight <= a->limit);
}

static enum br_admission_result enqueue(struct br_admission *a, struct br_admission_entry *e,
					uint64_t now_us)
{
	struct br_admission_entry *victim;

	if (!passes_cutoff(a, e))
		return refuse(a, e, BR_ADMISSION_THRESHOLD);
	if (now_us + estimated_wait_us(a, e) + min_remaining_us(a, e->owner) >= e->deadline_us)
		return refuse(a, e, BR_ADMISSION_LATE);
	if (a->queued >= a->cfg.queue_max) {
		victim = br_queue_victim(a, e);
		if (!victim) {
			for (int p = e->priority + 1; p < BR_PRIORITIES; p++)
				BR_INVARIANT(a->queued_of[p] == 0);
			return refuse(a, e, BR_ADMISSION_FULL);
		}
		BR_INVARIANT(victim->priority >= e->priority);
		drop(a, victim, BR_ADMISSION_EVICTED);
	}
	br_queue_push(a, e);
	return BR_ADMISSION_QUEUED;
}

static void drop_expired(struct br_admission *a, uint64_t now_us)
{
	while (a->queued && a->heap[0]->deadline_us <= now_us)
		drop(a, a->heap[0], BR_ADMISSION_EXPIRED);
}

enum br_admission_result br_admission_offer(struct br_admission *a, struct br_admission_entry *e,
					    uint64_t now_us)
{
	double expected_us;

	now_us = advance_windows(a, now_us);
	drop_expired(a, now_us);
	observe_delay(a, now_us);
	if (e->priority >= BR_PRIORITIES)
		e->priority = BR_PRIORITIES - 1;
	e->state = BR_ENTRY_NEW;
	e->reason = BR_ADMISSION_NONE;
	e->arrived_us = now_us;
	e->owner = br_accounts_get(&a->accounts, e->account);
	e->owner->refs++;
	expected_us = e->owner->service_us > 0 ? e->owner->service_us : a->service_us;
	e->owner->demand_us += expected_us;
	if (!e->shed_order)
		e->shed_order = br_accounts_next_shed_order(e->owner);
	e->level = (uint8_t)(e->priority * BR_SUBLEVELS +
			     br_accounts_sublevel(&a->accounts, e->owner, e->shed_order));
	a->arrivals[e->level]++;

	if (e->deadline_us <= now_us)
		return refuse(a, e, BR_ADMISSION_LATE);
	/* The threshold applies to queueing only: free capacity is used regardless of the level. */
	if (a->in_flight < a->limit && !a->queued) {
		start(a, e);
		return BR_ADMISSION_RUN;
	}
	return enqueue(a, e, now_us);
}

struct br_admission_entry *br_admission_next(struct br_admission *a, uint64_t now_us)
{
	struct br_admission_entry *e;

	now_us = advance_windows(a, now_us);
	drop_expired(a, now_us);
	observe_delay(a, now_us);
	if (a->in_flight >= a->limit)
		return NULL;
	while ((e = br_queue_best(a)) != NULL) {
		if (expired(a, e, now_us)) {
			drop(a, e, BR_ADMISSION_EXPIRED);
			continue;
		}
		br_queue_remove(a, e);
		start(a, e);
		return e;
	}
	return NULL;
}

static void update_mean(double *mean, uint64_t service_us)
{
	if (*mean <= 0)
		*mean = (double)service_us;
	else
		*mean += ((double)service_us - *mean) / 16;
}

void br_admission_done(struct br_admission *a, struct br_admission_entry *e, uint64_t service_us,
		       uint64_t now_us)
{
	BR_INVARIANT(e->state == BR_ENTRY_RUNNING && a->in_flight > 0);
	advance_windows(a, now_us);
	a->in_flight--;
	br_accounts_add_work(&a->accounts, e->owner, (double)service_us - (double)e->charged_us);
	if (service_us) {
		update_mean(&a->service_us, service_us);
		update_mean(&e->owner->service_us, service_us);
	}
	finish_entry(e);
}

bool br_admission_cancel(struct br_admission *a, struct br_admission_entry *e)
{
	if (e->state != BR_ENTRY_QUEUED)
		return false;
	br_queue_remove(a, e);
	finish_entry(e);
	a->counters.cancelled++;
	return true;
}

void br_admission_set_limit(struct br_admission *a, uint32_t limit)
{
	a->limit = limit ? limit : 1;
}

void br_admission_tick(struct br_admission *a, uint64_t now_us)
{
	now_us = advance_windows(a, now_us);
	drop_expired(a, now_us);
	observe_delay(a, now_us);
}

void br_admission_drop_all(struct br_admission *a)
{
	while (a->queued)
		drop(a, a->oldest, BR_ADMISSION_CLOSED);
}

uint32_t br_admission_threshold(const struct br_admission *a)
{
	return (uint32_t)ceil(a->cutoff) - 1;
}

bool br_admission_overloaded(const struct br_admission *a)
{
	return a->overloaded;
}

uint32_t br_admission_in_flight(const struct br_admission *a)
{
	return a->in_flight;
}

uint32_t br_admission_queued(const struct br_admission *a)
{
	return a->queued;
}

const struct br_admission_counters *br_admission_counters(const struct br_admission *a)
{
	return &a->counters;
}

const char *br_admission_reason_text(enum br_admission_reason reason)
{
	switch (reason) {
	case BR_ADMISSION_NONE:
		return "none";
	case BR_ADMISSION_THRESHOLD:
		return "overload: level above the admission threshold";
	case BR_ADMISSION_FULL:
		return "overload: queue full";
	case BR_ADMISSION_LATE:
		return "overload: wait would exceed the deadline";
	case BR_ADMISSION_EVICTED:
		return "overload: evicted by another request";
	case BR_ADMISSION_EXPIRED:
		return "deadline passed in the queue";
	case BR_ADMISSION_CLOSED:
		return "target closed";
	case BR_ADMISSION_REASONS:
		break;
	}
	return "unknown";
}
