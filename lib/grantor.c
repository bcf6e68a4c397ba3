#include "briarreel/grantor.h"

#include "lib/arith.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define HASH_BUCKETS 64
/* Time after its last request for which a node without a lease counts as a competitor. */
#define DEMAND_TTL_US BR_US_PER_S
/*
 * The fair level takes linear time; with more processes than this it is cached for LEVEL_CACHE_US.
 */
#define LEVEL_CACHE_MIN_PROCESSES 32
#define LEVEL_CACHE_US (10 * BR_US_PER_MS)
/* If nodes outnumber tokens: time a node may hold its token, and then time it must yield. */
#define TURN_US (250 * BR_US_PER_MS)
/* Divisor of the burst: renewals leave this part free for new leases. */
#define HEADROOM_BURST_DIV 8
/*
 * Rate that renewals leave free for new leases and the reserve: 1/HEADROOM_RATE_DIV plus
 * HEADROOM_RATE_MTOK_S, at most half. Its tokens accumulate in the reserve for any node that runs
 * short; small rates benefit most from this pooling, hence the fixed part. If demand clearly
 * exceeds the rate, the pool would favour the fastest nodes, so renewals then leave only
 * 1/HEADROOM_RATE_OVERLOAD_DIV free, and the rest is leased by the fair level. Demands overlap,
 * because nodes ask several holders for the same tokens: at a load of 0.9 of the rate they briefly
 * exceed OVERLOAD_DEMAND_RATIO times the rate. An excess therefore counts only after
 * OVERLOAD_DELAY_US.
 */
#define HEADROOM_RATE_DIV 16
#define HEADROOM_RATE_MTOK_S (4 * BR_MTOK_PER_TOKEN)
#define HEADROOM_RATE_OVERLOAD_DIV 64
#define OVERLOAD_DEMAND_RATIO 3
#define OVERLOAD_DELAY_US (1 * BR_US_PER_S)

struct rate_burst {
	uint64_t rate_mtok_s;
	uint64_t burst_ntok;
};

/* Lease and demand of one process of a node. */
struct lease {
	struct lease *next;
	struct br_node_id node;
	uint64_t incarnation;
	uint64_t seq;
	/* Upper bound of what the node can hold until until_us. */
	struct rate_burst bound;
	/*
	 * Last amount granted, reduced when the entitlement decreases; the sum over all leases is
	 * within the entitlement.
	 */
	struct rate_burst alloc;
	uint64_t until_us;
	struct rate_burst demand;
	uint64_t demand_until_us;
	/* Time since which the node holds its only token while nodes outnumber tokens; 0: none. */
	uint64_t turn_start_us;
	uint64_t yield_until_us;
};

struct account {
	struct account *next;
	char name[BR_NAME_BYTES];
	struct rate_burst entitlement;
	uint64_t reserve_ntok;
	/* Time up to which the reserve was refilled. */
	uint64_t reserve_refilled_us;
	struct lease *lease_buckets[HASH_BUCKETS];
	/* Processes with a lease or a recent request: the entries of lease_buckets. */
	uint32_t n_processes;
	/* Sum of the bounds of all leases. */
	struct rate_burst leased;
	/* No lease or demand ends before this time. */
	uint64_t next_end_us;
	struct rate_burst fair_level;
	/* Time at which fair_level was computed; 0: it must be recomputed. */
	uint64_t fair_level_computed_us;
	/* Time since which demand is over OVERLOAD_DEMAND_RATIO times the rate; 0 if it is not. */
	uint64_t overload_since_us;
	/* Part of the entitlement that renewals leave free for new leases. */
	struct rate_burst headroom;
};

struct br_grantor {
	struct br_grantor_config cfg;
	struct account *account_buckets[HASH_BUCKETS];
	uint64_t valid_until_us;
};

struct br_grantor *br_grantor_create(const struct br_grantor_config *cfg)
{
	struct br_grantor *g = calloc(1, sizeof(*g));

	if (g)
		g->cfg = *cfg;
	return g;
}

static void free_account(struct account *a)
{
	for (size_t h = 0; h < HASH_BUCKETS; h++) {
		while (a->lease_buckets[h]) {
			struct lease *l = a->lease_buckets[h];

			a->lease_buckets[h] = l->next;
			free(l);
		}
	}
	free(a);
}

void br_grantor_destroy(struct br_grantor *g)
{
	if (!g)
		return;
	for (size_t h = 0; h < HASH_BUCKETS; h++) {
		while (g->account_buckets[h]) {
			struct account *a = g->account_buckets[h];

			g->account_buckets[h] = a->next;
			free_account(a);
		}
	}
	free(g);
}

void br_grantor_set_valid_until(struct br_grantor *g, uint64_t until_us)
{
	g->valid_until_us = until_us;
}

static struct account *find_account(struct br_grantor *g, const char *name)
{
	struct account *a = g->account_buckets[br_hash_str(name, 0) % HASH_BUCKETS];

	while (a && strcmp(a->name, name) != 0)
		a = a->next;
	return a;
}

static struct account *add_account(struct br_grantor *g, const char *name, uint64_t now_us)
{
	struct account **head = &g->account_buckets[br_hash_str(name, 0) % HASH_BUCKETS];
	struct account *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	br_copy_text(a->name, sizeof(a->name), name);
	a->reserve_refilled_us = now_us;
	a->next_end_us = UINT64_MAX;
	a->next = *head;
	*head = a;
	return a;
}

/* Capacity of the reserve: the burst that is not leased. */
static uint64_t reserve_cap(const struct account *a)
{
	return saturating_sub(a->entitlement.burst_ntok, a->leased.burst_ntok);
}

static void clamp_reserve(struct account *a)
{
	a->reserve_ntok = min_u64(a->reserve_ntok, reserve_cap(a));
}

/* Refills the reserve up to a time, at the rate that is not leased. */
static void refill_reserve(struct account *a, uint64_t to_us)
{
	uint64_t room = saturating_sub(reserve_cap(a), a->reserve_ntok);

	if (to_us <= a->reserve_refilled_us)
		return;
	a->reserve_ntok +=
		br_refill_ntok(saturating_sub(a->entitlement.rate_mtok_s, a->leased.rate_mtok_s),
			       to_us - a->reserve_refilled_us, room);
	a->reserve_refilled_us = to_us;
}

static void set_bound(struct account *a, struct lease *l, struct rate_burst bound)
{
	BR_INVARIANT(a->leased.rate_mtok_s >= l->bound.rate_mtok_s &&
		     a->leased.burst_ntok >= l->bound.burst_ntok);
	a->leased.rate_mtok_s += bound.rate_mtok_s - l->bound.rate_mtok_s;
	a->leased.burst_ntok += bound.burst_ntok - l->bound.burst_ntok;
	l->bound = bound;
}

static void end_lease(struct account *a, struct lease *l)
{
	set_bound(a, l, (struct rate_burst){0});
	l->alloc = (struct rate_burst){0};
	l->turn_start_us = 0;
}

static void update_next_end(struct account *a, const struct lease *l, uint64_t now_us)
{
	uint64_t end = l->until_us > now_us ? l->until_us : l->demand_until_us;

	a->next_end_us = min_u64(a->next_end_us, end);
}

/* Ends the expired leases and demands of one bucket and updates next_end_us. */
static void expire_bucket(struct account *a, struct lease **p, uint64_t now_us)
{
	while (*p) {
		struct lease *l = *p;

		if (l->until_us <= now_us)
			end_lease(a, l);
		if (max_u64(l->until_us, l->demand_until_us) <= now_us) {
			*p = l->next;
			free(l);
			a->n_processes--;
			continue;
		}
		update_next_end(a, l, now_us);
		p = &l->next;
	}
}

static uint64_t latest_expired_end(const struct account *a, uint64_t now_us)
{
	uint64_t last = 0;

	for (size_t h = 0; h < HASH_BUCKETS; h++) {
		for (const struct lease *l = a->lease_buckets[h]; l; l = l->next) {
			if (l->until_us <= now_us && (l->bound.rate_mtok_s || l->bound.burst_ntok))
				last = max_u64(last, l->until_us);
		}
	}
	return last;
}

/* Ends expired leases and refills the reserve up to now. */
static void advance(struct account *a, uint64_t now_us)
{
	if (a->next_end_us <= now_us) {
		/*
		 * The reserve is refilled as if every expired lease had run until the last of them
		 * ended. This gives fewer tokens than the exact result, but needs only one pass.
		 */
		refill_reserve(a, latest_expired_end(a, now_us));
		a->next_end_us = UINT64_MAX;
		for (size_t h = 0; h < HASH_BUCKETS; h++)
			expire_bucket(a, &a->lease_buckets[h], now_us);
	}
	refill_reserve(a, now_us);
	clamp_reserve(a);
}

static uint64_t mul_div(uint64_t value, uint64_t num, uint64_t den)
{
	return den ? (uint64_t)((unsigned __int128)value * num / den) : 0;
}

/* Scales the allocations down in proportion so that their sum is within the entitlement. */
static void scale_down_allocs(struct account *a)
{
	struct rate_burst sum = {0};

	for (size_t h = 0; h < HASH_BUCKETS; h++) {
		for (const struct lease *l = a->lease_buckets[h]; l; l = l->next) {
			sum.rate_mtok_s += l->alloc.rate_mtok_s;
			sum.burst_ntok += l->alloc.burst_ntok;
		}
	}
	for (size_t h = 0; h < HASH_BUCKETS; h++) {
		for (struct lease *l = a->lease_buckets[h]; l; l = l->next) {
			if (sum.rate_mtok_s > a->entitlement.rate_mtok_s)
				l->alloc.rate_mtok_s =
					mul_div(l->alloc.rate_mtok_s, a->entitlement.rate_mtok_s,
						sum.rate_mtok_s);
			if (sum.burst_ntok > a->entitlement.burst_ntok)
				l->alloc.burst_ntok =
					mul_div(l->alloc.burst_ntok, a->entitlement.burst_ntok,
						sum.burst_ntok);
		}
	}
}

int br_grantor_set_entitlement(struct br_grantor *g, const char *account, uint64_t rate_mtok_s,
			       uint64_t burst_ntok, uint64_t now_us)
{
	struct account *a = find_account(g, account);
	uint64_t margin = mul_div(rate_mtok_s, g->cfg.rate_margin_ppm, 1000000);
	struct rate_burst ent = {.burst_ntok = burst_ntok};

	if (g->cfg.rate_margin_ppm && rate_mtok_s)
		margin++;
	ent.rate_mtok_s = saturating_sub(rate_mtok_s, margin);
	if (!a) {
		if (!rate_mtok_s && !burst_ntok)
			return 0;
		a = add_account(g, account, now_us);
		if (!a)
			return -ENOMEM;
	}
	if (a->entitlement.rate_mtok_s == ent.rate_mtok_s &&
	    a->entitlement.burst_ntok == ent.burst_ntok)
		return 0;
	advance(a, now_us);
	a->entitlement = ent;
	a->fair_level_computed_us = 0;
	scale_down_allocs(a);
	clamp_reserve(a);
	return 0;
}

static struct lease *get_or_add_lease(struct account *a, const struct br_lease_request *req)
{
	struct lease **head =
		&a->lease_buckets[br_hash_str(req->node.text, req->incarnation) % HASH_BUCKETS];
	struct lease *l;

	for (l = *head; l; l = l->next) {
		if (l->incarnation == req->incarnation && br_node_id_equal(&l->node, &req->node))
			return l;
	}
	l = calloc(1, sizeof(*l));
	if (!l)
		return NULL;
	l->node = req->node;
	l->incarnation = req->incarnation;
	l->next = *head;
	*head = l;
	a->n_processes++;
	return l;
}

/* One round of max-min fairness: the level if demands up to the previous level are met in full. */
static uint64_t next_fair_level(const struct account *a, uint64_t cap, uint64_t level, bool burst)
{
	uint64_t below = 0;
	uint64_t above = 0;

	for (size_t h = 0; h < HASH_BUCKETS; h++) {
		for (const struct lease *l = a->lease_buckets[h]; l; l = l->next) {
			uint64_t demand = burst ? l->demand.burst_ntok : l->demand.rate_mtok_s;

			if (demand <= level)
				below += demand;
			else
				above++;
		}
	}
	return above ? saturating_sub(cap, below) / above : UINT64_MAX;
}

/* Max-min fair level (water-filling): each node gets the lesser of its demand and the level. */
static uint64_t compute_fair_level(const struct account *a, uint64_t cap, bool burst)
{
	uint64_t level = 0;

	/* The level only rises from round to round, so stopping early is safe. */
	for (int round = 0; round < 16; round++) {
		uint64_t next = next_fair_level(a, cap, level, burst);

		if (next <= level)
			break;
		level = next;
		if (level == UINT64_MAX)
			break;
	}
	return level;
}

static uint64_t headroom_burst(const struct account *a)
{
	if (a->entitlement.burst_ntok < 2 * BR_NTOK_PER_TOKEN)
		return 0;
	return max_u64(BR_NTOK_PER_TOKEN, a->entitlement.burst_ntok / HEADROOM_BURST_DIV);
}

static uint64_t headroom_rate(struct account *a, uint64_t now_us)
{
	uint64_t rate = a->entitlement.rate_mtok_s;
	uint64_t demand = 0;

	for (size_t h = 0; h < HASH_BUCKETS; h++) {
		for (const struct lease *l = a->lease_buckets[h]; l; l = l->next)
			demand += min_u64(l->demand.rate_mtok_s, rate);
	}
	if (demand <= OVERLOAD_DEMAND_RATIO * rate)
		a->overload_since_us = 0;
	else if (!a->overload_since_us)
		a->overload_since_us = now_us;
	if (a->overload_since_us && now_us - a->overload_since_us >= OVERLOAD_DELAY_US)
		return rate / HEADROOM_RATE_OVERLOAD_DIV;
	return min_u64(rate / 2, rate / HEADROOM_RATE_DIV + HEADROOM_RATE_MTOK_S);
}

static void update_fair_level(struct account *a, uint64_t now_us)
{
	if (a->n_processes > LEVEL_CACHE_MIN_PROCESSES && a->fair_level_computed_us &&
	    now_us < a->fair_level_computed_us + LEVEL_CACHE_US)
		return;
	a->headroom = (struct rate_burst){.rate_mtok_s = headroom_rate(a, now_us),
					  .burst_ntok = headroom_burst(a)};
	a->fair_level.rate_mtok_s =
		compute_fair_level(a, a->entitlement.rate_mtok_s - a->headroom.rate_mtok_s, false);
	a->fair_level.burst_ntok =
		compute_fair_level(a, a->entitlement.burst_ntok - a->headroom.burst_ntok, true);
	a->fair_level_computed_us = now_us;
}

/*
 * If nodes outnumber tokens, the nodes take turns at holding one token of burst. Returns true if it
 * is not this node's turn.
 */
static bool must_yield(struct account *a, struct lease *l, uint64_t now_us)
{
	if (a->fair_level.burst_ntok >= BR_NTOK_PER_TOKEN) {
		l->turn_start_us = 0;
		return false;
	}
	if (now_us < l->yield_until_us)
		return true;
	if (!l->turn_start_us)
		l->turn_start_us = now_us;
	if (now_us - l->turn_start_us < TURN_US)
		return false;
	l->turn_start_us = 0;
	l->yield_until_us = now_us + TURN_US;
	return true;
}

/*
 * Upper limit of a grant: the part of the entitlement that no other lease can hold, less the
 * headroom if the lease is renewed. While leases from before a decrease of the entitlement still
 * run, this node's reduced allocation applies if it is larger.
 */
static struct rate_burst grant_limit(const struct account *a, const struct lease *l,
				     bool is_new_lease)
{
	uint64_t others_rate = a->leased.rate_mtok_s - l->bound.rate_mtok_s;
	uint64_t others_burst = a->leased.burst_ntok - l->bound.burst_ntok;

	if (!is_new_lease) {
		others_rate += a->headroom.rate_mtok_s;
		others_burst += a->headroom.burst_ntok;
	}
	return (struct rate_burst){
		.rate_mtok_s = max_u64(l->alloc.rate_mtok_s,
				       saturating_sub(a->entitlement.rate_mtok_s, others_rate)),
		.burst_ntok = max_u64(l->alloc.burst_ntok,
				      saturating_sub(a->entitlement.burst_ntok, others_burst)),
	};
}

static struct rate_burst choose_allocation(struct account *a, struct lease *l, bool is_new_lease,
					   uint64_t now_us)
{
	struct rate_burst limit = grant_limit(a, l, is_new_lease);
	struct rate_burst level = {
		.rate_mtok_s = a->fair_level.rate_mtok_s,
		.burst_ntok = max_u64(a->fair_level.burst_ntok, BR_NTOK_PER_TOKEN),
	};
	struct rate_burst out;

	if (!l->demand.burst_ntok || must_yield(a, l, now_us))
		return (struct rate_burst){0};
	out.rate_mtok_s =
		min_u64(min_u64(l->demand.rate_mtok_s, level.rate_mtok_s), limit.rate_mtok_s);
	out.burst_ntok = min_u64(min_u64(l->demand.burst_ntok, level.burst_ntok), limit.burst_ntok);
	/* A burst below one token can never admit a request. */
	if (out.burst_ntok < BR_NTOK_PER_TOKEN)
		return (struct rate_burst){0};
	return out;
}

/* Lowers the lease to what the node retained and adds the returned tokens to the reserve. */
static void apply_returned(struct account *a, struct lease *l, const struct br_lease_request *req)
{
	struct rate_burst retained = {
		.rate_mtok_s = min_u64(req->retained_rate_mtok_s, l->bound.rate_mtok_s),
		.burst_ntok = min_u64(req->retained_burst_ntok, l->bound.burst_ntok),
	};
	uint64_t returned = min_u64(req->returned_ntok, l->bound.burst_ntok - retained.burst_ntok);

	set_bound(a, l, retained);
	a->reserve_ntok =
		min_u64(a->reserve_ntok + returned, max_u64(reserve_cap(a), a->reserve_ntok));
	clamp_reserve(a);
}

/* Records the new lease; debits and returns the tokens that are granted with a larger burst. */
static uint64_t record_grant(struct account *a, struct lease *l, struct rate_burst out,
			     uint64_t requested_ntok, uint64_t until_us)
{
	uint64_t burst_increase_ntok = saturating_sub(out.burst_ntok, l->bound.burst_ntok);
	uint64_t tokens;

	l->alloc = out;
	set_bound(a, l,
		  (struct rate_burst){
			  .rate_mtok_s = max_u64(l->bound.rate_mtok_s, out.rate_mtok_s),
			  .burst_ntok = max_u64(l->bound.burst_ntok, out.burst_ntok),
		  });
	if (out.rate_mtok_s || out.burst_ntok)
		l->until_us = until_us;
	/* Tokens for which the reduced reserve has no room are granted as well. */
	tokens = max_u64(requested_ntok, saturating_sub(a->reserve_ntok, reserve_cap(a)));
	tokens = min_u64(min_u64(tokens, burst_increase_ntok), a->reserve_ntok);
	a->reserve_ntok -= tokens;
	clamp_reserve(a);
	return tokens;
}

static void set_demand(struct lease *l, const struct br_lease_request *req, uint64_t now_us)
{
	l->demand.rate_mtok_s = req->requested_rate_mtok_s;
	l->demand.burst_ntok = req->requested_burst_ntok;
	if (l->demand.burst_ntok && l->demand.burst_ntok < BR_NTOK_PER_TOKEN)
		l->demand.burst_ntok = BR_NTOK_PER_TOKEN;
	l->demand_until_us = now_us + DEMAND_TTL_US;
}

static void grant(struct br_grantor *g, struct account *a, struct lease *l,
		  const struct br_lease_request *req, uint64_t now_us, struct br_lease_reply *rep)
{
	/* The term plus 2% for clock drift. */
	uint64_t until = now_us + g->cfg.lease_term_us + g->cfg.lease_term_us / 50;
	bool is_new_lease = !l->bound.burst_ntok;
	struct rate_burst retained;
	struct rate_burst out;

	apply_returned(a, l, req);
	retained = l->bound;
	set_demand(l, req, now_us);
	update_fair_level(a, now_us);
	out = choose_allocation(a, l, is_new_lease, now_us);
	rep->granted_ntok = record_grant(a, l, out, req->requested_ntok, until);
	rep->rate_mtok_s = out.rate_mtok_s;
	rep->burst_ntok = out.burst_ntok;
	/* Small differences to the demand don't count. */
	rep->contended = a->n_processes > 1 &&
			 (out.rate_mtok_s < l->demand.rate_mtok_s - l->demand.rate_mtok_s / 16 ||
			  out.burst_ntok < l->demand.burst_ntok / 2);
	rep->exhausted = !rep->granted_ntok && out.rate_mtok_s <= retained.rate_mtok_s &&
			 out.burst_ntok <= retained.burst_ntok;
	update_next_end(a, l, now_us);
}

int br_grantor_request(struct br_grantor *g, const struct br_lease_request *req, uint64_t now_us,
		       struct br_lease_reply *rep)
{
	struct account *a;
	struct lease *l;

	if (req->holder_incarnation != g->cfg.incarnation)
		return -ESTALE;
	memset(rep, 0, sizeof(*rep));
	br_copy_text(rep->account, sizeof(rep->account), req->account);
	rep->holder_incarnation = g->cfg.incarnation;
	rep->seq = req->seq;
	rep->term_us = g->cfg.lease_term_us;
	rep->exhausted = true;
	a = find_account(g, req->account);
	if (!a)
		return 0;
	advance(a, now_us);
	l = get_or_add_lease(a, req);
	if (!l)
		return -ENOMEM;
	if (req->seq <= l->seq)
		return -ESTALE;

	l->seq = req->seq;
	if (now_us >= g->valid_until_us) {
		/* Another node may have taken over the slot, so nothing is granted or extended. */
		l->alloc = (struct rate_burst){0};
		l->demand_until_us = now_us + DEMAND_TTL_US;
		update_next_end(a, l, now_us);
		return 0;
	}
	grant(g, a, l, req, now_us, rep);
	/* Holds even while leases from before a decrease exceed the entitlement. */
	BR_INVARIANT(a->reserve_ntok <= a->entitlement.burst_ntok);
	return 0;
}

void br_grantor_tick(struct br_grantor *g, uint64_t now_us)
{
	for (size_t h = 0; h < HASH_BUCKETS; h++) {
		struct account **p = &g->account_buckets[h];

		while (*p) {
			struct account *a = *p;

			advance(a, now_us);
			if (a->n_processes || a->entitlement.rate_mtok_s ||
			    a->entitlement.burst_ntok) {
				p = &a->next;
				continue;
			}
			*p = a->next;
			free(a);
		}
	}
}

bool br_grantor_stats(struct br_grantor *g, const char *account, uint64_t now_us,
		      struct br_grantor_stats *out)
{
	struct account *a = find_account(g, account);

	if (!a)
		return false;
	advance(a, now_us);
	*out = (struct br_grantor_stats){
		.rate_mtok_s = a->entitlement.rate_mtok_s,
		.burst_ntok = a->entitlement.burst_ntok,
		.leased_rate_mtok_s = a->leased.rate_mtok_s,
		.leased_burst_ntok = a->leased.burst_ntok,
		.reserve_ntok = a->reserve_ntok,
		.n_processes = a->n_processes,
	};
	return true;
}
