#include "admission_internal.h"

#include <errno.h>
#include <stdlib.h>

/* Decay factor per window of 100 ms, so work and demand cover about the last second. */
#define DECAY 0.9
/* An account without entries is removed when its work and demand are below this sum. */
#define IDLE_WORK_US 10.0
/* Sublevels per multiple of the fair share; the last one is reached at eight times the share. */
#define SUBLEVELS_PER_SHARE 2.0
/*
 * Maximum number of iterations of the fair share search. Each raises the share until no further
 * account's demand is below it.
 */
#define FAIR_SHARE_ROUNDS 8
/* Fair share while the total demand fits into the capacity. */
#define UNLIMITED_SHARE 1e18
/* Fraction of the work that is divided into shares; the rest is headroom. */
#define SHARED_WORK_FRACTION 0.95

int br_accounts_init(struct br_admission_accounts *s, uint32_t max)
{
	s->max = max;
	s->n_buckets = 2 * max;
	s->pool = calloc(max, sizeof(*s->pool));
	s->used = calloc(max, sizeof(struct br_admission_account *));
	s->buckets = calloc(s->n_buckets, sizeof(struct br_admission_account *));
	s->fair_share = UNLIMITED_SHARE;
	if (!s->pool || !s->used || !s->buckets)
		return -ENOMEM;
	for (uint32_t i = 0; i < max; i++) {
		s->pool[i].hash_next = s->unused;
		s->unused = &s->pool[i];
	}
	return 0;
}

void br_accounts_free(struct br_admission_accounts *s)
{
	free(s->pool);
	free(s->used);
	free(s->buckets);
}

struct br_admission_account *br_accounts_get(struct br_admission_accounts *s, uint64_t key)
{
	struct br_admission_account **bucket = &s->buckets[key % s->n_buckets];
	struct br_admission_account *acct;

	for (acct = *bucket; acct; acct = acct->hash_next)
		if (acct->key == key)
			return acct;
	acct = s->unused;
	if (!acct)
		return &s->overflow;
	s->unused = acct->hash_next;
	*acct = (struct br_admission_account){.key = key, .hash_next = *bucket};
	*bucket = acct;
	s->used[s->n_used++] = acct;
	return acct;
}

static void remove_account(struct br_admission_accounts *s, uint32_t index)
{
	struct br_admission_account *acct = s->used[index];
	struct br_admission_account **link = &s->buckets[acct->key % s->n_buckets];

	while (*link != acct)
		link = &(*link)->hash_next;
	*link = acct->hash_next;
	acct->hash_next = s->unused;
	s->unused = acct;
	s->used[index] = s->used[--s->n_used];
}

uint16_t br_accounts_next_shed_order(struct br_admission_account *acct)
{
	/* A golden-ratio (low-discrepancy) sequence distributes the values evenly. */
	return (uint16_t)((acct->sequence++ * 2654435769U) >> 16);
}

uint32_t br_accounts_sublevel(const struct br_admission_accounts *s,
			      const struct br_admission_account *acct, uint16_t shed_order)
{
	double excess, ratio = acct->demand_us / s->fair_share;

	if (ratio <= 1)
		return 0;
	excess = (double)shed_order / ((double)BR_SHED_ORDER_MAX + 1) * ratio - 1;
	if (excess <= 0)
		return 0;
	excess = 1 + excess * SUBLEVELS_PER_SHARE;
	return excess < BR_SUBLEVELS ? (uint32_t)excess : BR_SUBLEVELS - 1;
}

void br_accounts_add_work(struct br_admission_accounts *s, struct br_admission_account *acct,
			  double work_us)
{
	acct->work_us += work_us;
	if (acct->work_us < 0)
		acct->work_us = 0;
	s->work_us += work_us;
	if (s->work_us < 0)
		s->work_us = 0;
}

/* Max-min fair share of the completed work among the accounts, given their demands. */
static double fair_share(const struct br_admission_accounts *s)
{
	double share, demand_us = s->overflow.demand_us,
		      work_us = s->work_us * SHARED_WORK_FRACTION;

	for (uint32_t i = 0; i < s->n_used; i++)
		demand_us += s->used[i]->demand_us;
	if (demand_us <= work_us || !s->n_used)
		return UNLIMITED_SHARE;
	share = work_us / s->n_used;
	for (int round = 0; round < FAIR_SHARE_ROUNDS; round++) {
		double below = 0;
		uint32_t above = 0;

		for (uint32_t i = 0; i < s->n_used; i++) {
			if (s->used[i]->demand_us > share)
				above++;
			else
				below += s->used[i]->demand_us;
		}
		if (!above || below >= work_us)
			break;
		share = (work_us - below) / above;
	}
	return share;
}

void br_accounts_close_window(struct br_admission_accounts *s)
{
	s->fair_share = fair_share(s);
	s->work_us *= DECAY;
	s->overflow.work_us *= DECAY;
	s->overflow.demand_us *= DECAY;
	for (uint32_t i = s->n_used; i-- > 0;) {
		struct br_admission_account *acct = s->used[i];

		acct->work_us *= DECAY;
		acct->demand_us *= DECAY;
		if (!acct->refs && acct->work_us + acct->demand_us < IDLE_WORK_US)
			remove_account(s, i);
	}
}
