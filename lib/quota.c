#include "briarreel/quota.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>

/* Initial size of the hash tables of accounts and nodes (open addressing). */
#define TABLE_MIN 64
/* Time over which the demand of an account is averaged, approximately. */
#define DEMAND_AVERAGE_US (1000.0 * BR_US_PER_MS)
/* Number of different fractions of a token with which a node's equal part may begin. */
#define FRACTIONS 1000
/*
 * Largest number of remembered debts. They are forgotten beyond it, after which a debt that is told
 * once more, since the answer was lost, is charged twice.
 */
#define DEBTS_MAX 65536
/* An account that was refused a token within this time is assumed to be over its rate still. */
#define REFUSED_MEMORY_US (8 * BR_US_PER_S)

/** Row of the allocator's accounts, nodes or debts, or of the client's accounts. */
struct row {
	uint64_t key;
	/** Allocator's accounts: tokens left. Client: tokens of the equal part. Nodes: unused. */
	double tokens;
	/** Accounts: time of the last refill of tokens. Nodes: time of the last request. */
	uint64_t updated_us;
	/** Nodes only: time of the first request. */
	uint64_t first_us;
	/** Client only: granted tokens that are left, and their expiry. */
	uint32_t granted;
	uint64_t expires_us;
	/** Client only: average demand as of demand_us. */
	double demand_per_s;
	uint64_t demand_us;
	/** Client only: the equal part has begun, after the allocator's answer at that time. */
	bool part_started;
	uint64_t part_after_us;
	/** Client only: this node may admit one request beyond its part. */
	bool spare;
	/** Client only: the allocator does not reserve the part yet; tokens that may be spent of it meanwhile. */
	bool overlaps;
	uint32_t overlap;
	/** Client only. */
	struct br_quota_debt debt;
	/** Debts of a process at the allocator: the part that was charged. */
	uint32_t charged;
	/** Client only: when the allocator last granted nothing, or anything; 0 for never. */
	uint64_t refused_us, granted_us;
};

struct table {
	struct row *rows;
	size_t cap, used;
};

struct br_quota_allocator {
	struct table accounts, nodes;
	/** By process and account; see charge_key(). */
	struct table debts;
	uint64_t started_us;
	uint32_t n_nodes;
	bool shared;
};

struct br_quota_client {
	struct table accounts;
	struct br_rng rng;
	/** Time of the allocator's last answer; 0 before the first one. */
	uint64_t answered_us;
};

/* Keys are hashes; 0 marks a free row. */
static uint64_t key_of(uint64_t hash)
{
	return hash ? hash : 1;
}

static struct row *find_row(const struct table *t, uint64_t key)
{
	size_t i = key & (t->cap - 1);

	while (t->rows[i].key && t->rows[i].key != key)
		i = (i + 1) & (t->cap - 1);
	return &t->rows[i];
}

static int grow_table(struct table *t)
{
	struct table bigger = {.cap = t->cap ? 2 * t->cap : TABLE_MIN, .used = t->used};

	bigger.rows = calloc(bigger.cap, sizeof(*bigger.rows));
	if (!bigger.rows)
		return -ENOMEM;
	for (size_t i = 0; i < t->cap; i++)
		if (t->rows[i].key)
			*find_row(&bigger, t->rows[i].key) = t->rows[i];
	free(t->rows);
	*t = bigger;
	return 0;
}

/* Finds or adds a row; NULL if out of memory. */
static struct row *get_row(struct table *t, uint64_t hash, uint64_t now_us)
{
	uint64_t key = key_of(hash);
	struct row *r;

	if (2 * (t->used + 1) > t->cap && grow_table(t))
		return NULL;
	r = find_row(t, key);
	if (!r->key) {
		*r = (struct row){
			.key = key, .updated_us = now_us, .first_us = now_us, .demand_us = now_us};
		t->used++;
	}
	return r;
}

struct br_quota_allocator *br_quota_allocator_create(uint64_t now_us)
{
	struct br_quota_allocator *a = calloc(1, sizeof(*a));

	if (a) {
		a->started_us = now_us;
		a->n_nodes = 1;
	}
	return a;
}

void br_quota_allocator_destroy(struct br_quota_allocator *a)
{
	if (!a)
		return;
	free(a->accounts.rows);
	free(a->nodes.rows);
	free(a->debts.rows);
	free(a);
}

void br_quota_allocator_set_nodes(struct br_quota_allocator *a, uint32_t n)
{
	a->n_nodes = n ? n : 1;
}

void br_quota_allocator_set_exclusive(struct br_quota_allocator *a, bool exclusive)
{
	a->shared = !exclusive;
}

int br_quota_allocator_heartbeat(struct br_quota_allocator *a, uint64_t node, uint64_t now_us)
{
	struct row *r = get_row(&a->nodes, node, now_us);

	if (!r)
		return -ENOMEM;
	r->updated_us = now_us;
	return 0;
}

void br_quota_allocator_forget_nodes(struct br_quota_allocator *a)
{
	free(a->nodes.rows);
	a->nodes = (struct table){0};
}

uint32_t br_quota_allocator_unreachable(const struct br_quota_allocator *a, uint64_t now_us)
{
	uint64_t timeout_us = a->shared ? BR_QUOTA_SHARED_TIMEOUT_US : BR_QUOTA_NODE_TIMEOUT_US;
	uint32_t reachable = 0;

	for (size_t i = 0; i < a->nodes.cap; i++)
		if (a->nodes.rows[i].key && now_us - a->nodes.rows[i].updated_us < timeout_us)
			reachable++;
	return reachable < a->n_nodes ? a->n_nodes - reachable : 0;
}

static void refill(struct row *r, double rate_per_s, double cap, uint64_t now_us)
{
	if (now_us > r->updated_us) {
		r->tokens += rate_per_s * (double)(now_us - r->updated_us) / (double)BR_US_PER_S;
		r->updated_us = now_us;
	}
	if (r->tokens > cap)
		r->tokens = cap;
}

/* Refills an account's tokens at the rate that is left for the reachable nodes. */
static void refill_account(const struct br_quota_allocator *a, struct row *r, double rate_per_s,
			   double burst, uint64_t now_us)
{
	uint32_t n_unreachable = br_quota_allocator_unreachable(a, now_us);
	double rate_fraction = 1.0 - (double)n_unreachable / (double)a->n_nodes;

	/* Another allocator would have started empty, so that the burst of these nodes is unspent. */
	if (a->shared)
		burst *= rate_fraction;
	refill(r, rate_per_s * rate_fraction, burst > 1 ? burst : 1, now_us);
}

/* Until a node's first request its part was reserved, so that nothing was granted of it. */
static bool is_first_request(const struct br_quota_allocator *a, uint64_t node, uint64_t now_us)
{
	const struct row *r = a->nodes.cap ? find_row(&a->nodes, key_of(node)) : NULL;

	return !r || !r->key || r->first_us == now_us;
}

static uint64_t charge_key(uint64_t node, uint64_t account)
{
	uint64_t pair[2] = {node, account};

	return br_hash64(pair, sizeof(pair), 0);
}

int br_quota_allocator_charge(struct br_quota_allocator *a, uint64_t node, uint64_t account,
			      double rate_per_s, double burst, const struct br_quota_debt *debt,
			      uint64_t now_us)
{
	struct row *r, *known;

	if (debt->spent == debt->charged)
		return 0;
	if (a->debts.used >= DEBTS_MAX) {
		free(a->debts.rows);
		a->debts = (struct table){0};
	}
	r = get_row(&a->accounts, account, a->started_us);
	known = get_row(&a->debts, charge_key(node, account), now_us);
	if (!r || !known)
		return -ENOMEM;
	if (is_first_request(a, node, now_us))
		known->charged = debt->spent;
	/* The process knows of charges by an earlier allocator, this one of answers that were lost. */
	if ((int32_t)(known->charged - debt->charged) < 0)
		known->charged = debt->charged;
	refill_account(a, r, rate_per_s, burst, now_us);
	if ((int32_t)(debt->spent - known->charged) > 0) {
		r->tokens -= debt->spent - known->charged;
		known->charged = debt->spent;
	}
	return 0;
}

uint32_t br_quota_allocator_grant(struct br_quota_allocator *a, uint64_t account, double rate_per_s,
				  double burst, uint32_t n_requested, uint64_t now_us)
{
	struct row *r = get_row(&a->accounts, account, a->started_us);
	uint32_t n = 0;

	if (!r)
		return 0;
	refill_account(a, r, rate_per_s, burst, now_us);
	/* A burst may be beyond what an integer holds. */
	if (r->tokens >= n_requested)
		n = n_requested;
	else if (r->tokens > 0)
		n = (uint32_t)r->tokens;
	r->tokens -= n;
	return n;
}

struct br_quota_client *br_quota_client_create(uint64_t seed)
{
	struct br_quota_client *c = calloc(1, sizeof(*c));

	if (c)
		br_rng_seed(&c->rng, seed);
	return c;
}

void br_quota_client_destroy(struct br_quota_client *c)
{
	if (!c)
		return;
	free(c->accounts.rows);
	free(c);
}

static double decayed_demand(const struct row *r, uint64_t now_us)
{
	double age = now_us > r->demand_us ? (double)(now_us - r->demand_us) : 0;

	return r->demand_per_s / (1 + age / DEMAND_AVERAGE_US);
}

static void count_demand(struct row *r, uint64_t now_us)
{
	r->demand_per_s = decayed_demand(r, now_us) + (double)BR_US_PER_S / DEMAND_AVERAGE_US;
	r->demand_us = now_us;
}

bool br_quota_client_take(struct br_quota_client *c, uint64_t account, uint64_t now_us)
{
	struct row *r = get_row(&c->accounts, account, now_us);

	if (!r)
		return false;
	count_demand(r, now_us);
	if (!r->granted || now_us >= r->expires_us)
		return false;
	r->granted--;
	return true;
}

void br_quota_client_add_grant(struct br_quota_client *c, uint64_t account, uint32_t n,
			       uint64_t requested_us)
{
	struct row *r = get_row(&c->accounts, account, requested_us);

	if (!r)
		return;
	if (n)
		r->granted_us = requested_us;
	else
		r->refused_us = requested_us;
	/* A row has a single expiry time: a later grant must not prolong older tokens. */
	if (requested_us >= r->expires_us || !r->granted) {
		r->granted = n;
		r->expires_us = requested_us + BR_QUOTA_GRANT_TTL_US;
	} else {
		r->granted += n;
	}
}

uint32_t br_quota_client_tokens_to_request(struct br_quota_client *c, uint64_t account,
					   uint64_t now_us)
{
	struct row *r = get_row(&c->accounts, account, now_us);
	uint32_t held, needed;

	if (!r)
		return 0;
	held = now_us < r->expires_us ? r->granted : 0;
	needed = (uint32_t)(decayed_demand(r, now_us) * (double)BR_QUOTA_GRANT_TTL_US / 2 /
			    (double)BR_US_PER_S);
	return needed > held ? needed - held : 0;
}

/*
 * Tests whether a node may admit a request beyond its part: the account was within its rate, and
 * nodes that may do so are so few that they exceed its burst by no more than is tolerated.
 */
static bool may_spare(struct br_quota_client *c, const struct row *r,
		      const struct br_quota_limit *limit, uint32_t n_nodes, uint64_t now_us)
{
	double n_spare = limit->burst + limit->tolerated;

	if (!r->granted_us || (r->refused_us && now_us - r->refused_us < REFUSED_MEMORY_US))
		return false;
	return (double)br_rng_below(&c->rng, n_nodes) < n_spare;
}

/* A node's part of the tokens that may be spent twice; fractions of a token go to some of the nodes. */
static uint32_t overlap_part(struct br_quota_client *c, const struct br_quota_limit *limit,
			     uint32_t n_nodes)
{
	double part = limit->overlap / n_nodes, whole = floor(part);

	if (part >= UINT32_MAX)
		return UINT32_MAX;
	return (uint32_t)whole + (br_rng_unit(&c->rng) < part - whole);
}

/*
 * Begins a node's equal part when the allocator reserves it, some time after its last answer. Until then
 * the allocator grants it. Nodes begin with different fractions of a token, so that all of them together get
 * the rate from the start although a single one may need many seconds for a token.
 */
static void start_part(struct br_quota_client *c, struct row *r, const struct br_quota_limit *limit,
		       uint32_t n_nodes, uint64_t now_us)
{
	r->spare = may_spare(c, r, limit, n_nodes, now_us);
	r->tokens = (double)br_rng_below(&c->rng, FRACTIONS) / FRACTIONS;
	r->updated_us = c->answered_us ? c->answered_us : now_us;
	r->overlap = overlap_part(c, limit, n_nodes);
	r->overlaps = c->answered_us != 0;
	r->part_started = true;
	r->part_after_us = c->answered_us;
}

/*
 * Adds what the part has gained since the last call. A whole token is kept for the time in which
 * the account gains its burst and is lost then, so that the nodes together never hold more.
 */
static void refill_part(struct row *r, double part_per_s, double hold_s, uint64_t now_us)
{
	double kept;

	if (now_us <= r->updated_us)
		return;
	r->tokens += part_per_s * (double)(now_us - r->updated_us) / (double)BR_US_PER_S;
	r->updated_us = now_us;
	kept = r->tokens - part_per_s * hold_s;
	if (kept >= 1)
		r->tokens -= floor(kept);
}

/* From when the allocator reserves the part, what it has gained before is the allocator's to grant. */
static void end_overlap(const struct br_quota_client *c, struct row *r, double part_per_s,
			double hold_s, uint64_t now_us)
{
	uint64_t end_us = c->answered_us + BR_QUOTA_NODE_TIMEOUT_US;

	if (!r->overlaps || now_us < end_us)
		return;
	refill_part(r, part_per_s, hold_s, end_us);
	r->tokens -= floor(r->tokens);
	r->overlaps = false;
}

bool br_quota_client_take_fallback(struct br_quota_client *c, uint64_t account,
				   const struct br_quota_limit *limit, uint32_t n_nodes,
				   uint64_t now_us)
{
	struct row *r = get_row(&c->accounts, account, now_us);
	double rate_per_s = limit->rate_per_s, burst = limit->burst > 1 ? limit->burst : 1;

	if (!r || rate_per_s <= 0)
		return false;
	if (!n_nodes)
		n_nodes = 1;
	if (!r->part_started || r->part_after_us != c->answered_us)
		start_part(c, r, limit, n_nodes, now_us);
	end_overlap(c, r, rate_per_s / n_nodes, burst / rate_per_s, now_us);
	refill_part(r, rate_per_s / n_nodes, burst / rate_per_s, now_us);
	if (r->tokens >= 1 && (!r->overlaps || r->overlap)) {
		r->tokens -= 1;
		r->overlap -= r->overlaps;
	} else if (r->spare) {
		r->spare = false;
	} else {
		return false;
	}
	if (r->overlaps)
		r->debt.spent++;
	return true;
}

static const struct row *find_account(const struct br_quota_client *c, uint64_t account)
{
	return c->accounts.cap ? find_row(&c->accounts, key_of(account)) : NULL;
}

struct br_quota_debt br_quota_client_debt(const struct br_quota_client *c, uint64_t account)
{
	const struct row *r = find_account(c, account);

	return r ? r->debt : (struct br_quota_debt){0};
}

void br_quota_client_debt_charged(struct br_quota_client *c, uint64_t account, uint32_t spent)
{
	struct row *r = (struct row *)find_account(c, account);

	if (r && r->key && (int32_t)(spent - r->debt.charged) > 0)
		r->debt.charged = spent;
}

bool br_quota_client_next_debt(const struct br_quota_client *c, size_t *pos, uint64_t *account)
{
	while (*pos < c->accounts.cap) {
		const struct row *r = &c->accounts.rows[(*pos)++];

		if (!r->key || r->debt.spent == r->debt.charged)
			continue;
		*account = r->key;
		return true;
	}
	return false;
}

void br_quota_client_answered(struct br_quota_client *c, uint64_t now_us)
{
	c->answered_us = now_us;
}
