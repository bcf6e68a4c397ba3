#include "admission_internal.h"

#include <errno.h>
#include <stdlib.h>

/* Per window of 100 ms; work and demand are thus averages over about a second. */
#define DECAY 0.9
/* An account below this many microseconds of work and demand is forgotten. */
#define IDLE_WORK_US 10.0
/* Sublevels per multiple of the fair share: the worst one at eight times the share. */
#define SUBLEVELS_PER_SHARE 2.0
/* Rounds to find the fair share; each fixes at least one more account below it. */
#define FAIR_ROUNDS 8
#define NO_SHARE 1e18
/* Part of the work that is shared out, so that the shares together fit with some headroom. */
#define SHARED_OUT 0.95

int br_accounts_init(struct br_admission_accounts *s, uint32_t max)
{
	s->max = max;
	s->n_buckets = 2 * max;
	s->pool = calloc(max, sizeof(*s->pool));
	s->used = calloc(max, sizeof(struct br_admission_account *));
	s->buckets = calloc(s->n_buckets, sizeof(struct br_admission_account *));
	s->fair_share = NO_SHARE;
	if (!s->pool || !s->used || !s->buckets)
		return -ENOMEM;
	for (uint32_t i = 0; i < max; i++) {
		s->pool[i].chain = s->unused;
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

	for (acct = *bucket; acct; acct = acct->chain)
		if (acct->key == key)
			return acct;
	acct = s->unused;
	if (!acct)
		return &s->overflow;
	s->unused = acct->chain;
	*acct = (struct br_admission_account){.key = key, .chain = *bucket};
	*bucket = acct;
	s->used[s->n_used++] = acct;
	return acct;
}

static void forget(struct br_admission_accounts *s, uint32_t index)
{
	struct br_admission_account *acct = s->used[index];
	struct br_admission_account **link = &s->buckets[acct->key % s->n_buckets];

	while (*link != acct)
		link = &(*link)->chain;
	*link = acct->chain;
	acct->chain = s->unused;
	s->unused = acct;
	s->used[index] = s->used[--s->n_used];
}

uint16_t br_accounts_next_place(struct br_admission_account *acct)
{
	/* A golden-ratio sequence spreads the requests evenly over the account's demand. */
	return (uint16_t)((acct->sequence++ * 2654435769U) >> 16);
}

uint32_t br_accounts_sublevel(const struct br_admission_accounts *s,
			      const struct br_admission_account *acct, uint16_t place)
{
	double excess, ratio = acct->demand / s->fair_share;

	if (ratio <= 1)
		return 0;
	excess = (double)place / ((double)BR_PLACE_MAX + 1) * ratio - 1;
	if (excess <= 0)
		return 0;
	excess = 1 + excess * SUBLEVELS_PER_SHARE;
	return excess < BR_SUBLEVELS ? (uint32_t)excess : BR_SUBLEVELS - 1;
}

void br_accounts_add_work(struct br_admission_accounts *s, struct br_admission_account *acct,
			  double work_us)
{
	acct->work += work_us;
	if (acct->work < 0)
		acct->work = 0;
	s->work += work_us;
	if (s->work < 0)
		s->work = 0;
}

/* Max-min fair share of the work done, among the accounts by what they ask for. */
static double fair_share(const struct br_admission_accounts *s)
{
	double share, demand = s->overflow.demand, work = s->work * SHARED_OUT;

	for (uint32_t i = 0; i < s->n_used; i++)
		demand += s->used[i]->demand;
	if (demand <= work || !s->n_used)
		return NO_SHARE;
	share = work / s->n_used;
	for (int round = 0; round < FAIR_ROUNDS; round++) {
		double below = 0;
		uint32_t above = 0;

		for (uint32_t i = 0; i < s->n_used; i++) {
			if (s->used[i]->demand > share)
				above++;
			else
				below += s->used[i]->demand;
		}
		if (!above || below >= work)
			break;
		share = (work - below) / above;
	}
	return share;
}

void br_accounts_roll(struct br_admission_accounts *s)
{
	s->fair_share = fair_share(s);
	s->work *= DECAY;
	s->overflow.work *= DECAY;
	s->overflow.demand *= DECAY;
	for (uint32_t i = s->n_used; i-- > 0;) {
		struct br_admission_account *acct = s->used[i];

		acct->work *= DECAY;
		acct->demand *= DECAY;
		if (!acct->refs && acct->work + acct->demand < IDLE_WORK_US)
			forget(s, i);
	}
}
