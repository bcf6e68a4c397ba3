#include "briarreel/bucket.h"

#include "lib/arith.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Window of the demand estimate and the weight of one window, a time constant of 400 ms. */
#define WINDOW_US (50 * BR_US_PER_MS)
#define WINDOW_DIV 8
/* After this many empty windows the estimate is 0. */
#define WINDOWS_MAX 160
/*
 * Pause before a holder that had nothing more is asked for more again; doubles up to the largest
 * while it has nothing, so that overload does not multiply the requests.
 */
#define FULL_US (50 * BR_US_PER_MS)
#define FULL_MAX_US (800 * BR_US_PER_MS)
/* Time after which a request without an answer is repeated; doubles up to the largest. */
#define TIMEOUT_US (300 * BR_US_PER_MS)
#define TIMEOUT_MAX_US (2400 * BR_US_PER_MS)
/* Shortest time between requests that only give back what is idle. */
#define IDLE_US (500 * BR_US_PER_MS)
/* A token that the bucket mints within this time is worth waiting for (rate_wait_ms). */
#define SOON_US (30 * BR_US_PER_MS)
/* Burst kept above the present tokens while a request for more is on its way. */
#define SLACK_US (20 * BR_US_PER_MS)

struct amount {
	uint64_t rate;
	uint64_t burst;
};

struct holder {
	struct br_bucket_holder id;
	bool listed;
	uint64_t order;

	uint64_t seq;
	uint64_t sent_us;
	bool pending;
	uint32_t failures;
	uint64_t retry_us;

	struct amount lease;
	uint64_t until_us;
	uint64_t renew_us;
	/* What the last request asked for. */
	struct amount asked;
	/* Until this time the holder counts as having no more than it gave. */
	uint64_t full_until_us;
	uint64_t full_pause_us;
	/* What the node would like to have from this holder, by the last plan. */
	struct amount share;
};

struct br_bucket {
	struct br_bucket_config cfg;
	struct amount limit;
	uint32_t n_slots;

	struct holder *holders;
	size_t n;

	uint64_t tokens_ntok;
	uint64_t tokens_us;
	struct amount sum;
	/* Earliest end of a lease; UINT64_MAX without leases. */
	uint64_t next_end_us;

	uint64_t window_us;
	uint64_t arrivals;
	uint64_t demand_mtok_s;
	uint64_t waiting;
	/* Last sequence number; one for all holders, so that a holder listed anew goes on. */
	uint64_t seq;
};

struct br_bucket *br_bucket_create(const struct br_bucket_config *cfg)
{
	struct br_bucket *b = calloc(1, sizeof(*b));

	if (!b)
		return NULL;
	b->cfg = *cfg;
	b->next_end_us = UINT64_MAX;
	return b;
}

void br_bucket_destroy(struct br_bucket *b)
{
	if (!b)
		return;
	free(b->holders);
	free(b);
}

static uint64_t cap(const struct br_bucket *b)
{
	return min_u64(b->sum.burst, b->limit.burst);
}

static void mint(struct br_bucket *b, uint64_t to_us)
{
	if (to_us <= b->tokens_us)
		return;
	b->tokens_ntok += br_mint_ntok(min_u64(b->sum.rate, b->limit.rate), to_us - b->tokens_us,
				       less(cap(b), b->tokens_ntok));
	b->tokens_us = to_us;
}

/* Recomputes the sums over the leases and cuts the tokens to the new cap. */
static void sum_leases(struct br_bucket *b)
{
	b->sum = (struct amount){0};
	b->next_end_us = UINT64_MAX;
	for (size_t i = 0; i < b->n; i++) {
		const struct holder *h = &b->holders[i];

		if (!h->lease.rate && !h->lease.burst)
			continue;
		b->sum.rate += h->lease.rate;
		b->sum.burst += h->lease.burst;
		b->next_end_us = min_u64(b->next_end_us, h->until_us);
	}
	b->tokens_ntok = min_u64(b->tokens_ntok, cap(b));
}

/* Brings the tokens up to now; each lease mints up to its end. */
static void advance(struct br_bucket *b, uint64_t now_us)
{
	while (b->next_end_us <= now_us) {
		uint64_t end = b->next_end_us;

		mint(b, end);
		for (size_t i = 0; i < b->n; i++) {
			if (b->holders[i].until_us <= end)
				b->holders[i].lease = (struct amount){0};
		}
		sum_leases(b);
	}
	mint(b, now_us);
}

void br_bucket_set_limits(struct br_bucket *b, uint64_t rate_mtok_s, uint64_t burst_ntok,
			  uint32_t n_slots, uint64_t now_us)
{
	advance(b, now_us);
	b->limit.rate = rate_mtok_s;
	b->limit.burst = burst_ntok;
	b->n_slots = n_slots;
	b->tokens_ntok = min_u64(b->tokens_ntok, cap(b));
}

static bool same_holder(const struct br_bucket_holder *a, const struct br_bucket_holder *b)
{
	return a->incarnation == b->incarnation && br_node_id_equal(&a->node, &b->node);
}

static struct holder *find(struct br_bucket *b, const struct br_bucket_holder *id)
{
	for (size_t i = 0; i < b->n; i++) {
		if (same_holder(&b->holders[i].id, id))
			return &b->holders[i];
	}
	return NULL;
}

/* Own zone first; then each node has its own order, so that the load is spread over holders. */
static int by_order(const void *x, const void *y)
{
	const struct holder *a = x;
	const struct holder *b = y;

	if (a->id.own_zone != b->id.own_zone)
		return a->id.own_zone ? -1 : 1;
	if (a->order != b->order)
		return a->order < b->order ? -1 : 1;
	return strcmp(a->id.node.text, b->id.node.text);
}

int br_bucket_set_holders(struct br_bucket *b, const struct br_bucket_holder *holders, size_t n,
			  uint64_t now_us)
{
	struct holder *list;
	size_t count = n;

	advance(b, now_us);
	list = calloc(n + b->n + 1, sizeof(*list));
	if (!list)
		return -ENOMEM;
	for (size_t i = 0; i < n; i++) {
		struct holder *old = find(b, &holders[i]);

		if (old)
			list[i] = *old;
		list[i].id = holders[i];
		list[i].listed = true;
		list[i].order = br_hash_str(holders[i].node.text, br_hash_str(b->cfg.self.text, 1));
		if (old)
			old->listed = false;
		if (old)
			old->lease = (struct amount){0};
	}
	for (size_t i = 0; i < b->n; i++) {
		if (!b->holders[i].lease.rate && !b->holders[i].lease.burst)
			continue;
		list[count] = b->holders[i];
		list[count++].listed = false;
	}
	qsort(list, count, sizeof(*list), by_order);
	free(b->holders);
	b->holders = list;
	b->n = count;
	sum_leases(b);
	return 0;
}

/* Closes the windows of the demand estimate that are over. */
static void roll(struct br_bucket *b, uint64_t now_us)
{
	uint64_t windows;
	uint64_t rate;

	if (!b->window_us || now_us < b->window_us)
		b->window_us = now_us;
	windows = (now_us - b->window_us) / WINDOW_US;
	if (!windows)
		return;
	b->window_us += windows * WINDOW_US;
	rate = b->arrivals * BR_MTOK_PER_TOKEN * BR_US_PER_S / WINDOW_US;
	b->arrivals = 0;
	b->demand_mtok_s = b->demand_mtok_s - b->demand_mtok_s / WINDOW_DIV + rate / WINDOW_DIV;
	if (windows > WINDOWS_MAX)
		b->demand_mtok_s = 0;
	for (uint64_t i = 1; i < windows && b->demand_mtok_s; i++)
		b->demand_mtok_s -= (b->demand_mtok_s + WINDOW_DIV - 1) / WINDOW_DIV;
}

uint64_t br_bucket_demand_mtok_s(struct br_bucket *b, uint64_t now_us)
{
	roll(b, now_us);
	return b->demand_mtok_s;
}

/*
 * True if neither the bucket's own minting, after the requests that wait already, nor any holder
 * can be expected to give a token soon.
 */
static bool exhausted(const struct br_bucket *b, uint64_t now_us)
{
	uint64_t soon = br_mint_ntok(b->sum.rate, SOON_US, UINT64_MAX / 2) + b->tokens_ntok;

	if (soon >= (b->waiting + 1) * BR_NTOK_PER_TOKEN)
		return false;
	for (size_t i = 0; i < b->n; i++) {
		const struct holder *h = &b->holders[i];

		if (!h->listed)
			continue;
		if (h->pending && now_us < h->sent_us + TIMEOUT_US)
			return false;
		if (now_us >= h->full_until_us && now_us >= h->retry_us)
			return false;
	}
	return true;
}

void br_bucket_wait_ended(struct br_bucket *b)
{
	b->waiting = less(b->waiting, 1);
}

int br_bucket_take(struct br_bucket *b, bool first, uint64_t now_us, uint64_t *valid_until_us)
{
	roll(b, now_us);
	if (first)
		b->arrivals++;
	else
		br_bucket_wait_ended(b);
	advance(b, now_us);
	if (b->tokens_ntok >= BR_NTOK_PER_TOKEN) {
		b->tokens_ntok -= BR_NTOK_PER_TOKEN;
		*valid_until_us = b->next_end_us;
		return 0;
	}
	if (exhausted(b, now_us))
		return -EDQUOT;
	b->waiting++;
	return -EAGAIN;
}

/* Rate and burst that recent arrivals need, with headroom. */
static struct amount need(struct br_bucket *b, uint64_t now_us)
{
	uint64_t demand = br_bucket_demand_mtok_s(b, now_us);
	struct amount out;

	if (!demand && !b->waiting && !b->arrivals)
		return (struct amount){0};
	out.rate = demand + demand / 16 + 2 * b->waiting * BR_MTOK_PER_TOKEN;
	/* Room for uneven arrivals: a quarter of a second, and two tokens where demand is low. */
	out.burst = BR_NTOK_PER_TOKEN + br_mint_ntok(demand, BR_US_PER_S / 4, UINT64_MAX / 2);
	if (demand >= BR_MTOK_PER_TOKEN)
		out.burst += BR_NTOK_PER_TOKEN;
	out.burst += b->waiting * BR_NTOK_PER_TOKEN;
	out.rate = min_u64(out.rate, b->limit.rate);
	out.burst = min_u64(out.burst, b->limit.burst);
	return out;
}

/* The whole part of the account that a holder can have. */
static struct amount part_of(const struct br_bucket *b, const struct holder *h)
{
	uint64_t n = b->n_slots ? b->n_slots : 1;

	return (struct amount){
		.rate = b->limit.rate / n * h->id.slots,
		.burst = b->limit.burst / n * h->id.slots,
	};
}

/* Spreads the need over the holders in their order. */
static void plan_shares(struct br_bucket *b, uint64_t now_us)
{
	struct amount rest = need(b, now_us);

	for (size_t i = 0; i < b->n; i++) {
		struct holder *h = &b->holders[i];
		struct amount most = part_of(b, h);

		h->share = (struct amount){0};
		if (!h->listed || (!rest.rate && !rest.burst))
			continue;
		if (now_us < h->full_until_us || now_us < h->retry_us)
			most = h->lease;
		h->share.rate = min_u64(rest.rate, most.rate);
		h->share.burst = min_u64(rest.burst, most.burst);
		/* A lease under one token of burst would be of no use. */
		if (h->share.burst < BR_NTOK_PER_TOKEN && most.burst >= BR_NTOK_PER_TOKEN)
			h->share.burst = BR_NTOK_PER_TOKEN;
		rest.rate = less(rest.rate, h->share.rate);
		rest.burst = less(rest.burst, h->share.burst);
	}
}

static uint64_t timeout_of(const struct holder *h)
{
	uint64_t t = TIMEOUT_US << min_u64(h->failures, 3);

	return min_u64(t, TIMEOUT_MAX_US);
}

static bool wants_more(const struct br_bucket *b, const struct holder *h, uint64_t now_us)
{
	if (now_us < h->full_until_us || !h->share.burst)
		return false;
	if (b->waiting && b->tokens_ntok < BR_NTOK_PER_TOKEN)
		return true;
	return h->share.rate > h->lease.rate + h->lease.rate / 8 ||
	       h->share.burst > h->lease.burst + max_u64(h->lease.burst / 4, BR_NTOK_PER_TOKEN / 2);
}

static bool has_idle(const struct holder *h)
{
	return h->lease.rate / 2 > h->share.rate || h->lease.burst / 2 > h->share.burst ||
	       (h->lease.burst && !h->share.burst);
}

static bool should_ask(const struct br_bucket *b, const struct holder *h, uint64_t now_us)
{
	bool leased = h->lease.rate || h->lease.burst;

	if (!h->listed || now_us < h->retry_us)
		return false;
	if (h->pending && now_us < h->sent_us + timeout_of(h))
		return false;
	if (wants_more(b, h, now_us) || (leased && now_us >= h->renew_us))
		return true;
	return leased && has_idle(h) && now_us >= h->sent_us + IDLE_US;
}

size_t br_bucket_plan(struct br_bucket *b, uint64_t now_us, struct br_bucket_holder *out,
		      size_t max)
{
	size_t n = 0;

	advance(b, now_us);
	plan_shares(b, now_us);
	for (size_t i = 0; i < b->n && n < max; i++) {
		if (should_ask(b, &b->holders[i], now_us))
			out[n++] = b->holders[i].id;
	}
	return n;
}

/* Lowers the lease to what the node keeps and returns the tokens that no longer fit. */
static uint64_t shrink(struct br_bucket *b, struct holder *h, struct amount keep)
{
	uint64_t given = h->lease.burst - keep.burst;
	uint64_t before = b->tokens_ntok;

	h->lease = keep;
	sum_leases(b);
	return min_u64(before - b->tokens_ntok, given);
}

/*
 * Burst to keep. Tokens come only with additional burst, so a node that needs tokens gives up the
 * burst that its tokens do not fill and asks for it anew.
 */
static uint64_t keep_burst(const struct br_bucket *b, const struct holder *h)
{
	uint64_t keep = min_u64(h->lease.burst, h->share.burst);
	uint64_t slack = br_mint_ntok(b->sum.rate, SLACK_US, UINT64_MAX / 2);
	uint64_t unused = less(b->sum.burst, h->lease.burst - keep + b->tokens_ntok + slack);

	if (b->tokens_ntok >= b->sum.burst / 2)
		return keep;
	return less(keep, unused);
}

int br_bucket_make_request(struct br_bucket *b, const struct br_bucket_holder *holder,
			   uint64_t now_us, struct br_lease_req *req)
{
	struct holder *h = find(b, holder);
	struct amount keep;
	uint64_t wanted;

	if (!h)
		return -ENOENT;
	advance(b, now_us);
	plan_shares(b, now_us);
	if (h->pending)
		h->failures++;
	keep.rate = min_u64(h->lease.rate, h->share.rate);
	keep.burst = keep_burst(b, h);
	memset(req, 0, sizeof(*req));
	br_copy_text(req->account, sizeof(req->account), b->cfg.account);
	req->node = b->cfg.self;
	req->incarnation = b->cfg.incarnation;
	req->holder_incarnation = h->id.incarnation;
	/* Numbers follow the clock, so they also grow if this process creates the bucket anew. */
	b->seq = max_u64(b->seq + 1, now_us);
	h->seq = b->seq;
	req->seq = b->seq;
	req->returned_ntok = shrink(b, h, keep);
	req->keep_rate_mtok_s = keep.rate;
	req->keep_burst_ntok = keep.burst;
	req->want_rate_mtok_s = h->share.rate;
	req->want_burst_ntok = h->share.burst;
	wanted = need(b, now_us).burst;
	req->want_ntok = less(wanted, b->tokens_ntok);
	h->asked = h->share;
	h->pending = true;
	h->sent_us = now_us;
	return 0;
}

/* Notes whether the holder has less than this node needs. */
static void note_full(const struct br_bucket *b, struct holder *h, const struct br_lease_rep *rep,
		      uint64_t now_us)
{
	bool is_short = rep->rate_mtok_s < h->asked.rate - h->asked.rate / 16 ||
			rep->burst_ntok < h->asked.burst / 2 || b->tokens_ntok < BR_NTOK_PER_TOKEN;

	if (!rep->nothing_free || !is_short)
		h->full_pause_us = 0;
	if (!is_short)
		return;
	h->full_pause_us = min_u64(max_u64(2 * h->full_pause_us, FULL_US), FULL_MAX_US);
	h->full_until_us = now_us + h->full_pause_us;
}

int br_bucket_apply(struct br_bucket *b, const struct br_bucket_holder *holder,
		    const struct br_lease_rep *rep, uint64_t now_us)
{
	struct holder *h = find(b, holder);

	if (!h || !h->pending || rep->seq != h->seq || rep->holder_incarnation != h->id.incarnation)
		return -ESTALE;
	advance(b, now_us);
	h->pending = false;
	h->failures = 0;
	/* 1% less, as this clock may run slower than the holder's. */
	h->until_us = h->sent_us + rep->term_us - rep->term_us / 100;
	h->lease = (struct amount){0};
	if (now_us < h->until_us)
		h->lease = (struct amount){.rate = rep->rate_mtok_s, .burst = rep->burst_ntok};
	h->renew_us = h->sent_us + (rep->contended ? rep->term_us / 8 : rep->term_us / 2);
	/* The tokens are cut to the new cap before those that came with the answer are added. */
	sum_leases(b);
	if (now_us < h->until_us)
		b->tokens_ntok = min_u64(b->tokens_ntok + rep->granted_ntok, cap(b));
	note_full(b, h, rep, now_us);
	return 0;
}

void br_bucket_failed(struct br_bucket *b, const struct br_bucket_holder *holder, uint64_t seq,
		      uint64_t now_us)
{
	struct holder *h = find(b, holder);

	if (!h || !h->pending || h->seq != seq)
		return;
	h->pending = false;
	h->retry_us = now_us + timeout_of(h);
	h->failures++;
}

void br_bucket_stats(struct br_bucket *b, uint64_t now_us, struct br_bucket_stats *out)
{
	advance(b, now_us);
	*out = (struct br_bucket_stats){
		.rate_mtok_s = b->sum.rate,
		.burst_ntok = b->sum.burst,
		.tokens_ntok = b->tokens_ntok,
	};
	for (size_t i = 0; i < b->n; i++)
		out->leases += b->holders[i].lease.rate || b->holders[i].lease.burst;
}
