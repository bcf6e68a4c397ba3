#include "briarreel/grantor.h"

#include "lib/arith.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define HEADS 64
/* Time for which a node without a lease counts as a competitor after its last request. */
#define WANT_US BR_US_PER_S
/* With more leases than this the fair level is cached for LEVEL_US, as it costs linear time. */
#define LEVEL_LEASES 32
#define LEVEL_US (10 * BR_US_PER_MS)
/* Where nodes outnumber tokens: time a node may keep its token, then time it yields to others. */
#define TURN_US (250 * BR_US_PER_MS)
/* Part of the burst that leases do not grow into, so that a newcomer finds some free. */
#define FREE_BURST_DIV 8
/*
 * Rate that is not leased. Its tokens gather in the reserve, where any node that runs short finds
 * them; small rates profit most from this pooling, so they keep up to half. When nodes want clearly
 * more than there is, the pool would favour the quickest, so nearly all is leased, by fair level.
 * Wants overlap, as nodes ask several holders for the same need: at 0.9 of the rate they exceed the
 * threshold for moments, so that only a lasting excess counts.
 */
#define FREE_RATE_DIV 16
#define FREE_RATE_MTOK_S (4 * BR_MTOK_PER_TOKEN)
#define FREE_RATE_OVERLOAD_DIV 64
#define OVERLOAD_WANTS 3
#define OVERLOAD_US (1 * BR_US_PER_S)

struct amount {
	uint64_t rate;
	uint64_t burst;
};

/* What one process of a node may have, and what it wants. */
struct lease {
	struct lease *next;
	struct br_node_id node;
	uint64_t incarnation;
	uint64_t seq;
	/* Upper limit of what the node can have until until_us. */
	struct amount bound;
	/* Last answer, lowered when the entitlement falls; the sum is within the entitlement. */
	struct amount alloc;
	uint64_t until_us;
	struct amount want;
	uint64_t want_until_us;
	uint64_t turn_us;
	uint64_t yield_until_us;
};

struct account {
	struct account *next;
	char name[BR_NAME_BYTES];
	struct amount ent;
	uint64_t reserve_ntok;
	uint64_t reserve_us;
	struct lease *heads[HEADS];
	uint32_t n;
	/* Sum of the bounds of all leases. */
	struct amount bound;
	/* Earliest time at which a lease can have ended. */
	uint64_t next_end_us;
	struct amount level;
	uint64_t level_us;
	/* Time since which the wants exceed OVERLOAD_WANTS times the rate; 0 if they do not. */
	uint64_t overload_us;
	/* What leases do not grow into. */
	struct amount spare;
};

struct br_grantor {
	struct br_grantor_config cfg;
	struct account *heads[HEADS];
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
	for (size_t h = 0; h < HEADS; h++) {
		while (a->heads[h]) {
			struct lease *l = a->heads[h];

			a->heads[h] = l->next;
			free(l);
		}
	}
	free(a);
}

void br_grantor_destroy(struct br_grantor *g)
{
	if (!g)
		return;
	for (size_t h = 0; h < HEADS; h++) {
		while (g->heads[h]) {
			struct account *a = g->heads[h];

			g->heads[h] = a->next;
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
	struct account *a = g->heads[br_hash_str(name, 0) % HEADS];

	while (a && strcmp(a->name, name) != 0)
		a = a->next;
	return a;
}

static struct account *add_account(struct br_grantor *g, const char *name, uint64_t now_us)
{
	struct account **head = &g->heads[br_hash_str(name, 0) % HEADS];
	struct account *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	br_copy_text(a->name, sizeof(a->name), name);
	a->reserve_us = now_us;
	a->next_end_us = UINT64_MAX;
	a->next = *head;
	*head = a;
	return a;
}

/* Tokens that the reserve may hold: the burst that no lease has. */
static uint64_t reserve_cap(const struct account *a)
{
	return less(a->ent.burst, a->bound.burst);
}

static void cut_reserve(struct account *a)
{
	a->reserve_ntok = min_u64(a->reserve_ntok, reserve_cap(a));
}

/* Mints into the reserve, at the rate that no lease has, up to a time. */
static void mint(struct account *a, uint64_t to_us)
{
	uint64_t room = less(reserve_cap(a), a->reserve_ntok);

	if (to_us <= a->reserve_us)
		return;
	a->reserve_ntok +=
		br_mint_ntok(less(a->ent.rate, a->bound.rate), to_us - a->reserve_us, room);
	a->reserve_us = to_us;
}

static void set_bound(struct account *a, struct lease *l, struct amount bound)
{
	BR_INVARIANT(a->bound.rate >= l->bound.rate && a->bound.burst >= l->bound.burst);
	a->bound.rate += bound.rate - l->bound.rate;
	a->bound.burst += bound.burst - l->bound.burst;
	l->bound = bound;
}

static void end_lease(struct account *a, struct lease *l)
{
	set_bound(a, l, (struct amount){0});
	l->alloc = (struct amount){0};
	l->turn_us = 0;
}

static void note_end(struct account *a, const struct lease *l, uint64_t now_us)
{
	uint64_t end = l->until_us > now_us ? l->until_us : l->want_until_us;

	a->next_end_us = min_u64(a->next_end_us, end);
}

/* Ends what is over in one chain and notes when the next lease can end. */
static void expire_chain(struct account *a, struct lease **p, uint64_t now_us)
{
	while (*p) {
		struct lease *l = *p;

		if (l->until_us <= now_us)
			end_lease(a, l);
		if (max_u64(l->until_us, l->want_until_us) <= now_us) {
			*p = l->next;
			free(l);
			a->n--;
			continue;
		}
		note_end(a, l, now_us);
		p = &l->next;
	}
}

static uint64_t last_end(const struct account *a, uint64_t now_us)
{
	uint64_t last = 0;

	for (size_t h = 0; h < HEADS; h++) {
		for (const struct lease *l = a->heads[h]; l; l = l->next) {
			if (l->until_us <= now_us && (l->bound.rate || l->bound.burst))
				last = max_u64(last, l->until_us);
		}
	}
	return last;
}

/* Brings the account up to now: ends leases and mints into the reserve. */
static void advance(struct account *a, uint64_t now_us)
{
	if (a->next_end_us <= now_us) {
		/* Until the last of the ended leases the lower minting rate is kept: one pass. */
		mint(a, last_end(a, now_us));
		a->next_end_us = UINT64_MAX;
		for (size_t h = 0; h < HEADS; h++)
			expire_chain(a, &a->heads[h], now_us);
	}
	mint(a, now_us);
	cut_reserve(a);
}

static uint64_t scale(uint64_t value, uint64_t num, uint64_t den)
{
	return den ? (uint64_t)((unsigned __int128)value * num / den) : 0;
}

/* Lowers the allocations in proportion so that their sum is within the entitlement. */
static void lower_allocs(struct account *a)
{
	struct amount sum = {0};

	for (size_t h = 0; h < HEADS; h++) {
		for (const struct lease *l = a->heads[h]; l; l = l->next) {
			sum.rate += l->alloc.rate;
			sum.burst += l->alloc.burst;
		}
	}
	for (size_t h = 0; h < HEADS; h++) {
		for (struct lease *l = a->heads[h]; l; l = l->next) {
			if (sum.rate > a->ent.rate)
				l->alloc.rate = scale(l->alloc.rate, a->ent.rate, sum.rate);
			if (sum.burst > a->ent.burst)
				l->alloc.burst = scale(l->alloc.burst, a->ent.burst, sum.burst);
		}
	}
}

int br_grantor_set_entitlement(struct br_grantor *g, const char *account, uint64_t rate_mtok_s,
			       uint64_t burst_ntok, uint64_t now_us)
{
	struct account *a = find_account(g, account);
	uint64_t margin = scale(rate_mtok_s, g->cfg.rate_margin_ppm, 1000000);
	struct amount ent = {.burst = burst_ntok};

	if (g->cfg.rate_margin_ppm && rate_mtok_s)
		margin++;
	ent.rate = less(rate_mtok_s, margin);
	if (!a) {
		if (!rate_mtok_s && !burst_ntok)
			return 0;
		a = add_account(g, account, now_us);
		if (!a)
			return -ENOMEM;
	}
	if (a->ent.rate == ent.rate && a->ent.burst == ent.burst)
		return 0;
	advance(a, now_us);
	a->ent = ent;
	a->level_us = 0;
	lower_allocs(a);
	cut_reserve(a);
	return 0;
}

static struct lease *find_lease(struct account *a, const struct br_lease_req *req)
{
	struct lease **head = &a->heads[br_hash_str(req->node.text, req->incarnation) % HEADS];
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
	a->n++;
	return l;
}

/* One round of max-min fairness: the level if those that want less than it keep their want. */
static uint64_t raise_level(const struct account *a, uint64_t cap, uint64_t level, bool burst)
{
	uint64_t below = 0;
	uint64_t above = 0;

	for (size_t h = 0; h < HEADS; h++) {
		for (const struct lease *l = a->heads[h]; l; l = l->next) {
			uint64_t want = burst ? l->want.burst : l->want.rate;

			if (want <= level)
				below += want;
			else
				above++;
		}
	}
	return above ? less(cap, below) / above : UINT64_MAX;
}

/* Max-min fair level: each node gets the lesser of its want and the level (water filling). */
static uint64_t fair_level(const struct account *a, uint64_t cap, bool burst)
{
	uint64_t level = 0;

	/* The level only rises from round to round, so stopping early is safe. */
	for (int round = 0; round < 16; round++) {
		uint64_t next = raise_level(a, cap, level, burst);

		if (next <= level)
			break;
		level = next;
		if (level == UINT64_MAX)
			break;
	}
	return level;
}

static uint64_t spare_burst(const struct account *a)
{
	if (a->ent.burst < 2 * BR_NTOK_PER_TOKEN)
		return 0;
	return max_u64(BR_NTOK_PER_TOKEN, a->ent.burst / FREE_BURST_DIV);
}

static uint64_t spare_rate(struct account *a, uint64_t now_us)
{
	uint64_t rate = a->ent.rate;
	uint64_t want = 0;

	for (size_t h = 0; h < HEADS; h++) {
		for (const struct lease *l = a->heads[h]; l; l = l->next)
			want += min_u64(l->want.rate, rate);
	}
	if (want <= OVERLOAD_WANTS * rate)
		a->overload_us = 0;
	else if (!a->overload_us)
		a->overload_us = now_us;
	if (a->overload_us && now_us - a->overload_us >= OVERLOAD_US)
		return rate / FREE_RATE_OVERLOAD_DIV;
	return min_u64(rate / 2, rate / FREE_RATE_DIV + FREE_RATE_MTOK_S);
}

static void update_level(struct account *a, uint64_t now_us)
{
	if (a->n > LEVEL_LEASES && a->level_us && now_us < a->level_us + LEVEL_US)
		return;
	a->spare = (struct amount){.rate = spare_rate(a, now_us), .burst = spare_burst(a)};
	a->level.rate = fair_level(a, a->ent.rate - a->spare.rate, false);
	a->level.burst = fair_level(a, a->ent.burst - a->spare.burst, true);
	a->level_us = now_us;
}

/*
 * Where nodes outnumber tokens, each in turn has one token of burst. Returns true if it is not
 * this node's turn.
 */
static bool must_yield(struct account *a, struct lease *l, uint64_t now_us)
{
	if (a->level.burst >= BR_NTOK_PER_TOKEN) {
		l->turn_us = 0;
		return false;
	}
	if (now_us < l->yield_until_us)
		return true;
	if (!l->turn_us)
		l->turn_us = now_us;
	if (now_us - l->turn_us < TURN_US)
		return false;
	l->turn_us = 0;
	l->yield_until_us = now_us + TURN_US;
	return true;
}

/*
 * The most that may be answered: what no other lease may have, or this node's part of the
 * entitlement while leases from before a lowering still run.
 */
static struct amount grant_limit(const struct account *a, const struct lease *l, bool newcomer)
{
	uint64_t others_rate = a->bound.rate - l->bound.rate;
	uint64_t others_burst = a->bound.burst - l->bound.burst;

	if (!newcomer) {
		others_rate += a->spare.rate;
		others_burst += a->spare.burst;
	}
	return (struct amount){
		.rate = max_u64(l->alloc.rate, less(a->ent.rate, others_rate)),
		.burst = max_u64(l->alloc.burst, less(a->ent.burst, others_burst)),
	};
}

static struct amount choose(struct account *a, struct lease *l, bool newcomer, uint64_t now_us)
{
	struct amount limit = grant_limit(a, l, newcomer);
	struct amount level = {
		.rate = a->level.rate,
		.burst = max_u64(a->level.burst, BR_NTOK_PER_TOKEN),
	};
	struct amount out;

	if (!l->want.burst || must_yield(a, l, now_us))
		return (struct amount){0};
	out.rate = min_u64(min_u64(l->want.rate, level.rate), limit.rate);
	out.burst = min_u64(min_u64(l->want.burst, level.burst), limit.burst);
	/* A part under one token can never admit a request. */
	if (out.burst < BR_NTOK_PER_TOKEN)
		return (struct amount){0};
	return out;
}

/* Takes in what the node gave up before it sent the request. */
static void take_back(struct account *a, struct lease *l, const struct br_lease_req *req)
{
	struct amount keep = {
		.rate = min_u64(req->keep_rate_mtok_s, l->bound.rate),
		.burst = min_u64(req->keep_burst_ntok, l->bound.burst),
	};
	uint64_t returned = min_u64(req->returned_ntok, l->bound.burst - keep.burst);

	set_bound(a, l, keep);
	a->reserve_ntok =
		min_u64(a->reserve_ntok + returned, max_u64(reserve_cap(a), a->reserve_ntok));
	cut_reserve(a);
}

/* Records the new lease and debits the tokens that go with a larger burst. */
static uint64_t hand_out(struct account *a, struct lease *l, struct amount out, uint64_t want_ntok,
			 uint64_t until_us)
{
	uint64_t grown = less(out.burst, l->bound.burst);
	uint64_t tokens;

	l->alloc = out;
	set_bound(a, l,
		  (struct amount){
			  .rate = max_u64(l->bound.rate, out.rate),
			  .burst = max_u64(l->bound.burst, out.burst),
		  });
	if (out.rate || out.burst)
		l->until_us = until_us;
	/* Tokens that the smaller reserve has no room for go along as well. */
	tokens = max_u64(want_ntok, less(a->reserve_ntok, reserve_cap(a)));
	tokens = min_u64(min_u64(tokens, grown), a->reserve_ntok);
	a->reserve_ntok -= tokens;
	cut_reserve(a);
	return tokens;
}

static void set_want(struct lease *l, const struct br_lease_req *req, uint64_t now_us)
{
	l->want.rate = req->want_rate_mtok_s;
	l->want.burst = req->want_burst_ntok;
	if (l->want.burst && l->want.burst < BR_NTOK_PER_TOKEN)
		l->want.burst = BR_NTOK_PER_TOKEN;
	l->want_until_us = now_us + WANT_US;
}

static void grant(struct br_grantor *g, struct account *a, struct lease *l,
		  const struct br_lease_req *req, uint64_t now_us, struct br_lease_rep *rep)
{
	uint64_t until = now_us + g->cfg.lease_term_us + g->cfg.lease_term_us / 50;
	bool newcomer = !l->bound.burst;
	struct amount before;
	struct amount out;

	take_back(a, l, req);
	before = l->bound;
	set_want(l, req, now_us);
	update_level(a, now_us);
	out = choose(a, l, newcomer, now_us);
	rep->granted_ntok = hand_out(a, l, out, req->want_ntok, until);
	rep->rate_mtok_s = out.rate;
	rep->burst_ntok = out.burst;
	rep->contended = a->n > 1 && (out.rate < l->want.rate - l->want.rate / 16 ||
				      out.burst < l->want.burst / 2);
	rep->nothing_free =
		!rep->granted_ntok && out.rate <= before.rate && out.burst <= before.burst;
	note_end(a, l, now_us);
}

int br_grantor_request(struct br_grantor *g, const struct br_lease_req *req, uint64_t now_us,
		       struct br_lease_rep *rep)
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
	rep->nothing_free = true;
	a = find_account(g, req->account);
	if (!a)
		return 0;
	advance(a, now_us);
	l = find_lease(a, req);
	if (!l)
		return -ENOMEM;
	if (req->seq <= l->seq)
		return -ESTALE;

	l->seq = req->seq;
	if (now_us >= g->valid_until_us) {
		/* Whether another holder has taken over is not known, so nothing is extended. */
		l->alloc = (struct amount){0};
		l->want_until_us = now_us + WANT_US;
		note_end(a, l, now_us);
		return 0;
	}
	grant(g, a, l, req, now_us, rep);
	/* Only leases from before a lowering can exceed the entitlement, and they are not renewed. */
	BR_INVARIANT(a->reserve_ntok <= a->ent.burst);
	return 0;
}

void br_grantor_tick(struct br_grantor *g, uint64_t now_us)
{
	for (size_t h = 0; h < HEADS; h++) {
		struct account **p = &g->heads[h];

		while (*p) {
			struct account *a = *p;

			advance(a, now_us);
			if (a->n || a->ent.rate || a->ent.burst) {
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
		.rate_mtok_s = a->ent.rate,
		.burst_ntok = a->ent.burst,
		.leased_rate_mtok_s = a->bound.rate,
		.leased_burst_ntok = a->bound.burst,
		.reserve_ntok = a->reserve_ntok,
		.leases = a->n,
	};
	return true;
}
