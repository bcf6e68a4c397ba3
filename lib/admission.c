#include "briarreel/admission.h"

#include "admission_internal.h"

#include <math.h>
#include <stdlib.h>

#define ACCOUNTS_DEFAULT 256
/*
 * Delay that stays above this in a whole window is overload. A service with few slots has waits of
 * about its service time now and then below its capacity, so the bound follows the service time.
 */
#define OVERLOAD_DELAY_US (5 * BR_US_PER_MS)
#define OVERLOAD_DELAY_MAX_US (20 * BR_US_PER_MS)
/* Odd, so that places stay apart. */
#define PLACE_MIX 40503U
/* Parts of the admitted arrivals by which the threshold goes down or up per window. */
#define THRESHOLD_DOWN 0.05
#define THRESHOLD_UP 0.02
/* Part by which the queue shortens in a window in which the threshold is left alone. */
#define DRAINS 0.1
/* Levels per window; from the lowest threshold to the highest takes 1.4 s. */
#define THRESHOLD_STEP 8
/* Windows that are made up for after a pause; the averages have decayed by then. */
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
	a->cut = BR_LEVELS;
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

static void leave(struct br_admission_entry *e)
{
	BR_INVARIANT(e->state != BR_ENTRY_GONE && e->owner->refs > 0);
	e->state = BR_ENTRY_GONE;
	e->owner->refs--;
}

static void drop(struct br_admission *a, struct br_admission_entry *e,
		 enum br_admission_reason reason)
{
	br_queue_remove(a, e);
	leave(e);
	e->reason = reason;
	a->counters.dropped[reason]++;
	a->cfg.drop(a->cfg.drop_ctx, e, reason);
}

static enum br_admission_result refuse(struct br_admission *a, struct br_admission_entry *e,
				       enum br_admission_reason reason)
{
	leave(e);
	e->reason = reason;
	a->counters.dropped[reason]++;
	return BR_ADMISSION_REFUSED;
}

/* Part of a level that passes. */
static double passing_part(const struct br_admission *a, uint32_t level)
{
	double part = a->cut - level;

	if (part <= 0)
		return 0;
	return part < 1 ? part : 1;
}

static void lower_cut(struct br_admission *a, double refuse)
{
	while (a->cut > BR_THRESHOLD_MIN + 1) {
		uint32_t level = (uint32_t)ceil(a->cut) - 1;
		double passing = a->arrivals[level] * (a->cut - level);

		if (passing > refuse) {
			a->cut -= refuse / a->arrivals[level];
			return;
		}
		refuse -= passing;
		a->cut = level;
	}
}

static void raise_cut(struct br_admission *a, double admit)
{
	for (int i = 0; i < THRESHOLD_STEP && a->cut < BR_LEVELS; i++) {
		uint32_t level = (uint32_t)a->cut;
		double refused = a->arrivals[level] * (level + 1 - a->cut);

		if (refused > admit) {
			a->cut += admit / a->arrivals[level];
			return;
		}
		admit -= refused;
		a->cut = level + 1;
	}
}

/* True if the request's place within its level is in the part that passes. */
static bool passes(const struct br_admission *a, const struct br_admission_entry *e)
{
	/* The place has decided about the sublevel, so that its order is mixed anew. */
	uint16_t place = (uint16_t)(e->place * PLACE_MIX);

	return place < passing_part(a, e->level) * ((double)BR_PLACE_MAX + 1);
}

/*
 * While the queue shortens, the threshold is low enough: what is left of the delay is a backlog. To
 * lower it further would refuse what the slots need once the backlog is gone. Arrivals that entry
 * nodes refuse early are not seen here, so that nothing else would stop the threshold.
 */
static bool queue_drains(struct br_admission *a)
{
	bool drains = a->queued < a->window_queued * (1 - DRAINS);

	a->window_queued = a->queued;
	return drains;
}

static void adjust_threshold(struct br_admission *a)
{
	bool drains = queue_drains(a);
	double admitted = 0;

	for (uint32_t i = 0; i < BR_LEVELS; i++)
		admitted += a->arrivals[i] * passing_part(a, i);
	if (a->overloaded && drains)
		return;
	if (a->overloaded)
		lower_cut(a, admitted * THRESHOLD_DOWN);
	else
		raise_cut(a, admitted * THRESHOLD_UP);
	BR_INVARIANT(a->cut >= BR_THRESHOLD_MIN + 1 && a->cut <= BR_LEVELS);
}

/* The delay is the age of the oldest entry: the order of service does not change it. */
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
	br_accounts_roll(&a->accounts);
	a->min_delay_us = UINT64_MAX;
}

/*
 * Closes the windows that have ended and returns the time to use. Callers read the clock before
 * they take their lock, so that times may arrive slightly out of order.
 */
static uint64_t roll(struct br_admission *a, uint64_t now_us)
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
 * Time below which a started request would very likely miss its deadline. Half the account's mean
 * leaves room for its shorter requests; without overload the slot would otherwise stay idle.
 */
static uint64_t needed_us(const struct br_admission *a, const struct br_admission_account *acct)
{
	return a->overloaded ? (uint64_t)(acct->service_us / 2) : 0;
}

static bool expired(const struct br_admission *a, const struct br_admission_entry *e,
		    uint64_t now_us)
{
	return now_us + needed_us(a, e->owner) >= e->deadline_us;
}

/* Wait of a new entry, from what is ahead of it and the rate at which slots become free. */
static uint64_t estimated_wait_us(const struct br_admission *a, const struct br_admission_entry *e)
{
	uint64_t ahead = 1, same = a->queued_of[e->priority];
	uint64_t turns = a->n_active[e->priority];

	for (int p = 0; p < e->priority; p++)
		ahead += a->queued_of[p];
	/* Accounts take turns, so at most the own place times the number of accounts. */
	if (!br_queue_newest_first(a, e->priority))
		turns *= e->owner->lists[e->priority].n + 1;
	ahead += turns < same ? turns : same;
	return (uint64_t)((double)ahead * a->service_us / a->limit);
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

	if (!passes(a, e))
		return refuse(a, e, BR_ADMISSION_THRESHOLD);
	if (now_us + estimated_wait_us(a, e) + needed_us(a, e->owner) >= e->deadline_us)
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
	double asked;

	now_us = roll(a, now_us);
	drop_expired(a, now_us);
	observe_delay(a, now_us);
	if (e->priority >= BR_PRIORITIES)
		e->priority = BR_PRIORITIES - 1;
	e->state = BR_ENTRY_NEW;
	e->reason = BR_ADMISSION_NONE;
	e->arrived_us = now_us;
	e->owner = br_accounts_get(&a->accounts, e->account);
	e->owner->refs++;
	asked = e->owner->service_us > 0 ? e->owner->service_us : a->service_us;
	e->owner->demand += asked;
	if (!e->place)
		e->place = br_accounts_next_place(e->owner);
	e->level = (uint8_t)(e->priority * BR_SUBLEVELS +
			     br_accounts_sublevel(&a->accounts, e->owner, e->place));
	a->arrivals[e->level]++;

	if (e->deadline_us <= now_us)
		return refuse(a, e, BR_ADMISSION_LATE);
	/* The threshold bounds the queue; it leaves no slot idle. */
	if (a->in_flight < a->limit && !a->queued) {
		start(a, e);
		return BR_ADMISSION_RUN;
	}
	return enqueue(a, e, now_us);
}

struct br_admission_entry *br_admission_next(struct br_admission *a, uint64_t now_us)
{
	struct br_admission_entry *e;

	now_us = roll(a, now_us);
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

static void learn_service(double *mean, uint64_t service_us)
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
	roll(a, now_us);
	a->in_flight--;
	br_accounts_add_work(&a->accounts, e->owner, (double)service_us - (double)e->charged_us);
	if (service_us) {
		learn_service(&a->service_us, service_us);
		learn_service(&e->owner->service_us, service_us);
	}
	leave(e);
}

bool br_admission_cancel(struct br_admission *a, struct br_admission_entry *e)
{
	if (e->state != BR_ENTRY_QUEUED)
		return false;
	br_queue_remove(a, e);
	leave(e);
	a->counters.cancelled++;
	return true;
}

void br_admission_set_limit(struct br_admission *a, uint32_t limit)
{
	a->limit = limit ? limit : 1;
}

void br_admission_tick(struct br_admission *a, uint64_t now_us)
{
	now_us = roll(a, now_us);
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
	return (uint32_t)ceil(a->cut) - 1;
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
		return "overload: evicted by a more important request";
	case BR_ADMISSION_EXPIRED:
		return "deadline passed in the queue";
	case BR_ADMISSION_CLOSED:
		return "target closed";
	case BR_ADMISSION_REASONS:
		break;
	}
	return "unknown";
}
