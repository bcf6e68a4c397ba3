#include "briarreel/bucket.h"

#include "lib/arith.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Window of the demand estimate and its smoothing divisor: a time constant of 400 ms. */
#define WINDOW_US (50 * BR_US_PER_MS)
#define WINDOW_DIV 8
/* Number of empty windows after which the demand estimate is 0. */
#define WINDOWS_MAX 160
/*
 * Pause before a depleted holder, one that granted less than was needed, is asked for more again.
 * Doubles up to the maximum while the holder remains depleted, so that overload does not multiply
 * the lease requests.
 */
#define DEPLETED_PAUSE_US (50 * BR_US_PER_MS)
#define DEPLETED_PAUSE_MAX_US (800 * BR_US_PER_MS)
/*
 * Time after which an unanswered request is sent again, and pause after a failed one. Both double
 * with each failure up to the maximum. After the undoubled time a pending request is no longer
 * expected to bring a token.
 */
#define REQUEST_TIMEOUT_US (300 * BR_US_PER_MS)
#define REQUEST_TIMEOUT_MAX_US (2400 * BR_US_PER_MS)
/* Minimum time between requests that only return unneeded rate and burst. */
#define IDLE_RETURN_INTERVAL_US (500 * BR_US_PER_MS)
/* A request may wait for a token that is due within this time (rate_wait_ms). */
#define TOKEN_WAIT_US (30 * BR_US_PER_MS)
/* Refill time for which burst is retained above the tokens while a request is in flight. */
#define BURST_SLACK_US (20 * BR_US_PER_MS)

/* Rate in thousandths of a token per second, burst in nanotokens. */
struct amount {
	uint64_t rate;
	uint64_t burst;
};

struct holder {
	struct br_bucket_holder info;
	/* In the list last given to br_bucket_set_holders(); others only have a lease left. */
	bool listed;
	/* Hash of this node and the holder's node, by which holders are sorted after the zone. */
	uint64_t order;

	/* Latest request. */
	uint64_t seq;
	uint64_t sent_us;
	bool pending;
	/* Consecutive failed or unanswered requests. */
	uint32_t failures;
	/* No request is sent before this time. */
	uint64_t retry_us;

	struct amount lease;
	/* Expiry of the lease, and the time from which it is renewed. */
	uint64_t until_us;
	uint64_t renew_us;
	/* Amount wanted in the last request. */
	struct amount requested;
	/* Until this time the holder is assumed to have no more than this node leases from it. */
	uint64_t depleted_until_us;
	uint64_t depleted_pause_us;
	/* Amount this node wants from this holder, computed by plan_shares(). */
	struct amount share;
};

struct br_bucket {
	struct br_bucket_config cfg;
	struct amount limit;
	uint32_t n_slots;

	struct holder *holders;
	size_t n_holders;

	uint64_t tokens_ntok;
	uint64_t refilled_us;
	/* Sum of the current leases. */
	struct amount leased;
	/* Earliest expiry of a lease; UINT64_MAX without leases. */
	uint64_t next_expiry_us;

	/* Window of the demand estimate, and the requests that arrived in it. */
	uint64_t window_start_us;
	uint64_t arrivals;
	uint64_t demand_mtok_s;
	/* Number of requests that wait for a token. */
	uint64_t waiting;
	/*
	 * Last sequence number. Shared by all holders, so that the numbers also increase for a
	 * holder that was removed and listed again.
	 */
	uint64_t seq;
};

struct br_bucket *br_bucket_create(const struct br_bucket_config *cfg)
{
	struct br_bucket *b = calloc(1, sizeof(*b));

	if (!b)
		return NULL;
	b->cfg = *cfg;
	b->next_expiry_us = UINT64_MAX;
	return b;
}

void br_bucket_destroy(struct br_bucket *b)
{
	if (!b)
		return;
	free(b->holders);
	free(b);
}

static uint64_t max_tokens(const struct br_bucket *b)
{
	return min_u64(b->leased.burst, b->limit.burst);
}

static void refill(struct br_bucket *b, uint64_t to_us)
{
	if (to_us <= b->refilled_us)
		return;
	b->tokens_ntok +=
		br_refill_ntok(min_u64(b->leased.rate, b->limit.rate), to_us - b->refilled_us,
			       saturating_sub(max_tokens(b), b->tokens_ntok));
	b->refilled_us = to_us;
}

/* Recomputes the sum of the leases and limits the tokens to the new maximum. */
static void sum_leases(struct br_bucket *b)
{
	b->leased = (struct amount){0};
	b->next_expiry_us = UINT64_MAX;
	for (size_t i = 0; i < b->n_holders; i++) {
		const struct holder *h = &b->holders[i];

		if (!h->lease.rate && !h->lease.burst)
			continue;
		b->leased.rate += h->lease.rate;
		b->leased.burst += h->lease.burst;
		b->next_expiry_us = min_u64(b->next_expiry_us, h->until_us);
	}
	b->tokens_ntok = min_u64(b->tokens_ntok, max_tokens(b));
}

/* Refills the bucket up to now_us; each lease contributes until it expires. */
static void advance(struct br_bucket *b, uint64_t now_us)
{
	while (b->next_expiry_us <= now_us) {
		uint64_t end = b->next_expiry_us;

		refill(b, end);
		for (size_t i = 0; i < b->n_holders; i++) {
			if (b->holders[i].until_us <= end)
				b->holders[i].lease = (struct amount){0};
		}
		sum_leases(b);
	}
	refill(b, now_us);
}

void br_bucket_set_limits(struct br_bucket *b, uint64_t rate_mtok_s, uint64_t burst_ntok,
			  uint32_t n_slots, uint64_t now_us)
{
	advance(b, now_us);
	b->limit.rate = rate_mtok_s;
	b->limit.burst = burst_ntok;
	b->n_slots = n_slots;
	b->tokens_ntok = min_u64(b->tokens_ntok, max_tokens(b));
}

static bool same_holder(const struct br_bucket_holder *a, const struct br_bucket_holder *b)
{
	return a->incarnation == b->incarnation && br_node_id_equal(&a->node, &b->node);
}

static struct holder *find(struct br_bucket *b, const struct br_bucket_holder *id)
{
	for (size_t i = 0; i < b->n_holders; i++) {
		if (same_holder(&b->holders[i].info, id))
			return &b->holders[i];
	}
	return NULL;
}

/* Own zone first, then an order specific to this node, which spreads the load over the holders. */
static int by_order(const void *x, const void *y)
{
	const struct holder *a = x;
	const struct holder *b = y;

	if (a->info.same_zone != b->info.same_zone)
		return a->info.same_zone ? -1 : 1;
	if (a->order != b->order)
		return a->order < b->order ? -1 : 1;
	return strcmp(a->info.node.text, b->info.node.text);
}

int br_bucket_set_holders(struct br_bucket *b, const struct br_bucket_holder *holders, size_t n,
			  uint64_t now_us)
{
	struct holder *list;
	size_t count = n;

	advance(b, now_us);
	list = calloc(n + b->n_holders + 1, sizeof(*list));
	if (!list)
		return -ENOMEM;
	for (size_t i = 0; i < n; i++) {
		struct holder *old = find(b, &holders[i]);

		if (old)
			list[i] = *old;
		list[i].info = holders[i];
		list[i].listed = true;
		list[i].order = br_hash_str(holders[i].node.text, br_hash_str(b->cfg.self.text, 1));
		if (old)
			old->listed = false;
		if (old)
			old->lease = (struct amount){0};
	}
	for (size_t i = 0; i < b->n_holders; i++) {
		if (!b->holders[i].lease.rate && !b->holders[i].lease.burst)
			continue;
		list[count] = b->holders[i];
		list[count++].listed = false;
	}
	qsort(list, count, sizeof(*list), by_order);
	free(b->holders);
	b->holders = list;
	b->n_holders = count;
	sum_leases(b);
	return 0;
}

/* Updates the demand estimate with the windows that have ended. */
static void close_demand_windows(struct br_bucket *b, uint64_t now_us)
{
	uint64_t windows;
	uint64_t rate;

	if (!b->window_start_us || now_us < b->window_start_us)
		b->window_start_us = now_us;
	windows = (now_us - b->window_start_us) / WINDOW_US;
	if (!windows)
		return;
	b->window_start_us += windows * WINDOW_US;
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
	close_demand_windows(b, now_us);
	return b->demand_mtok_s;
}

/*
 * True if no token is expected soon: neither from the refill, after serving the requests that wait
 * already, nor from any holder.
 */
static bool no_token_expected(const struct br_bucket *b, uint64_t now_us)
{
	uint64_t expected_ntok =
		br_refill_ntok(b->leased.rate, TOKEN_WAIT_US, UINT64_MAX / 2) + b->tokens_ntok;

	if (expected_ntok >= (b->waiting + 1) * BR_NTOK_PER_TOKEN)
		return false;
	for (size_t i = 0; i < b->n_holders; i++) {
		const struct holder *h = &b->holders[i];

		if (!h->listed)
			continue;
		if (h->pending && now_us < h->sent_us + REQUEST_TIMEOUT_US)
			return false;
		if (now_us >= h->depleted_until_us && now_us >= h->retry_us)
			return false;
	}
	return true;
}

void br_bucket_wait_ended(struct br_bucket *b)
{
	b->waiting = saturating_sub(b->waiting, 1);
}

int br_bucket_take(struct br_bucket *b, bool first, uint64_t now_us, uint64_t *valid_until_us)
{
	close_demand_windows(b, now_us);
	if (first)
		b->arrivals++;
	else
		br_bucket_wait_ended(b);
	advance(b, now_us);
	if (b->tokens_ntok >= BR_NTOK_PER_TOKEN) {
		b->tokens_ntok -= BR_NTOK_PER_TOKEN;
		*valid_until_us = b->next_expiry_us;
		return 0;
	}
	if (no_token_expected(b, now_us))
		return -EDQUOT;
	b->waiting++;
	return -EAGAIN;
}

/* Rate and burst that recent arrivals need, with headroom. */
static struct amount needed_amount(struct br_bucket *b, uint64_t now_us)
{
	uint64_t demand = br_bucket_demand_mtok_s(b, now_us);
	struct amount out;

	if (!demand && !b->waiting && !b->arrivals)
		return (struct amount){0};
	out.rate = demand + demand / 16 + 2 * b->waiting * BR_MTOK_PER_TOKEN;
	/* Headroom for uneven arrivals: a quarter second of demand plus one or two tokens. */
	out.burst = BR_NTOK_PER_TOKEN + br_refill_ntok(demand, BR_US_PER_S / 4, UINT64_MAX / 2);
	if (demand >= BR_MTOK_PER_TOKEN)
		out.burst += BR_NTOK_PER_TOKEN;
	out.burst += b->waiting * BR_NTOK_PER_TOKEN;
	out.rate = min_u64(out.rate, b->limit.rate);
	out.burst = min_u64(out.burst, b->limit.burst);
	return out;
}

/* Part of the account's limits that corresponds to the slots of a holder. */
static struct amount holder_capacity(const struct br_bucket *b, const struct holder *h)
{
	uint64_t n = b->n_slots ? b->n_slots : 1;

	return (struct amount){
		.rate = b->limit.rate / n * h->info.slots,
		.burst = b->limit.burst / n * h->info.slots,
	};
}

/* Computes the share of the needed amount to lease from each holder, in their order. */
static void plan_shares(struct br_bucket *b, uint64_t now_us)
{
	struct amount remaining = needed_amount(b, now_us);

	for (size_t i = 0; i < b->n_holders; i++) {
		struct holder *h = &b->holders[i];
		struct amount available = holder_capacity(b, h);

		h->share = (struct amount){0};
		if (!h->listed || (!remaining.rate && !remaining.burst))
			continue;
		if (now_us < h->depleted_until_us || now_us < h->retry_us)
			available = h->lease;
		h->share.rate = min_u64(remaining.rate, available.rate);
		h->share.burst = min_u64(remaining.burst, available.burst);
		/* A lease with less than one token of burst could not admit a request. */
		if (h->share.burst < BR_NTOK_PER_TOKEN && available.burst >= BR_NTOK_PER_TOKEN)
			h->share.burst = BR_NTOK_PER_TOKEN;
		remaining.rate = saturating_sub(remaining.rate, h->share.rate);
		remaining.burst = saturating_sub(remaining.burst, h->share.burst);
	}
}

static uint64_t retry_delay_us(const struct holder *h)
{
	uint64_t t = REQUEST_TIMEOUT_US << min_u64(h->failures, 3);

	return min_u64(t, REQUEST_TIMEOUT_MAX_US);
}

static bool needs_more(const struct br_bucket *b, const struct holder *h, uint64_t now_us)
{
	if (now_us < h->depleted_until_us || !h->share.burst)
		return false;
	if (b->waiting && b->tokens_ntok < BR_NTOK_PER_TOKEN)
		return true;
	return h->share.rate > h->lease.rate + h->lease.rate / 8 ||
	       h->share.burst > h->lease.burst + max_u64(h->lease.burst / 4, BR_NTOK_PER_TOKEN / 2);
}

static bool has_unneeded(const struct holder *h)
{
	return h->lease.rate / 2 > h->share.rate || h->lease.burst / 2 > h->share.burst ||
	       (h->lease.burst && !h->share.burst);
}

static bool should_request(const struct br_bucket *b, const struct holder *h, uint64_t now_us)
{
	bool leased = h->lease.rate || h->lease.burst;

	if (!h->listed || now_us < h->retry_us)
		return false;
	if (h->pending && now_us < h->sent_us + retry_delay_us(h))
		return false;
	if (needs_more(b, h, now_us) || (leased && now_us >= h->renew_us))
		return true;
	return leased && has_unneeded(h) && now_us >= h->sent_us + IDLE_RETURN_INTERVAL_US;
}

size_t br_bucket_select_holders(struct br_bucket *b, uint64_t now_us, struct br_bucket_holder *out,
				size_t max)
{
	size_t n = 0;

	advance(b, now_us);
	plan_shares(b, now_us);
	for (size_t i = 0; i < b->n_holders && n < max; i++) {
		if (should_request(b, &b->holders[i], now_us))
			out[n++] = b->holders[i].info;
	}
	return n;
}

/* Lowers the lease to the retained amount and returns the tokens that no longer fit. */
static uint64_t shrink_lease(struct br_bucket *b, struct holder *h, struct amount retained)
{
	uint64_t returned_burst = h->lease.burst - retained.burst;
	uint64_t tokens_before = b->tokens_ntok;

	h->lease = retained;
	sum_leases(b);
	return min_u64(tokens_before - b->tokens_ntok, returned_burst);
}

/*
 * Burst to retain of a lease. Holders grant tokens only with additional burst, so a node that needs
 * tokens returns the burst that its tokens do not fill and requests it again.
 */
static uint64_t retained_burst(const struct br_bucket *b, const struct holder *h)
{
	uint64_t retained = min_u64(h->lease.burst, h->share.burst);
	uint64_t slack = br_refill_ntok(b->leased.rate, BURST_SLACK_US, UINT64_MAX / 2);
	uint64_t unused =
		saturating_sub(b->leased.burst, h->lease.burst - retained + b->tokens_ntok + slack);

	if (b->tokens_ntok >= b->leased.burst / 2)
		return retained;
	return saturating_sub(retained, unused);
}

int br_bucket_make_request(struct br_bucket *b, const struct br_bucket_holder *holder,
			   uint64_t now_us, struct br_lease_request *req)
{
	struct holder *h = find(b, holder);
	struct amount retained;
	uint64_t wanted;

	if (!h)
		return -ENOENT;
	advance(b, now_us);
	plan_shares(b, now_us);
	if (h->pending)
		h->failures++;
	retained.rate = min_u64(h->lease.rate, h->share.rate);
	retained.burst = retained_burst(b, h);
	memset(req, 0, sizeof(*req));
	br_copy_text(req->account, sizeof(req->account), b->cfg.account);
	req->node = b->cfg.self;
	req->incarnation = b->cfg.incarnation;
	req->holder_incarnation = h->info.incarnation;
	/* Sequence numbers follow the clock, so they also grow if the bucket is created again. */
	b->seq = max_u64(b->seq + 1, now_us);
	h->seq = b->seq;
	req->seq = b->seq;
	req->returned_ntok = shrink_lease(b, h, retained);
	req->retained_rate_mtok_s = retained.rate;
	req->retained_burst_ntok = retained.burst;
	req->requested_rate_mtok_s = h->share.rate;
	req->requested_burst_ntok = h->share.burst;
	wanted = needed_amount(b, now_us).burst;
	req->requested_ntok = saturating_sub(wanted, b->tokens_ntok);
	h->requested = h->share;
	h->pending = true;
	h->sent_us = now_us;
	return 0;
}

/* Starts or extends a holder's pause if it granted less than this node needs. */
static void update_depleted(const struct br_bucket *b, struct holder *h,
			    const struct br_lease_reply *rep, uint64_t now_us)
{
	bool insufficient = rep->rate_mtok_s < h->requested.rate - h->requested.rate / 16 ||
			    rep->burst_ntok < h->requested.burst / 2 ||
			    b->tokens_ntok < BR_NTOK_PER_TOKEN;

	if (!rep->exhausted || !insufficient)
		h->depleted_pause_us = 0;
	if (!insufficient)
		return;
	h->depleted_pause_us = min_u64(max_u64(2 * h->depleted_pause_us, DEPLETED_PAUSE_US),
				       DEPLETED_PAUSE_MAX_US);
	h->depleted_until_us = now_us + h->depleted_pause_us;
}

int br_bucket_apply(struct br_bucket *b, const struct br_bucket_holder *holder,
		    const struct br_lease_reply *rep, uint64_t now_us)
{
	struct holder *h = find(b, holder);

	if (!h || !h->pending || rep->seq != h->seq ||
	    rep->holder_incarnation != h->info.incarnation)
		return -ESTALE;
	advance(b, now_us);
	h->pending = false;
	h->failures = 0;
	/* 1% less, because this node's clock may run slower than the holder's. */
	h->until_us = h->sent_us + rep->term_us - rep->term_us / 100;
	h->lease = (struct amount){0};
	if (now_us < h->until_us)
		h->lease = (struct amount){.rate = rep->rate_mtok_s, .burst = rep->burst_ntok};
	h->renew_us = h->sent_us + (rep->contended ? rep->term_us / 8 : rep->term_us / 2);
	/* Limit the tokens to the new maximum before the granted tokens are added. */
	sum_leases(b);
	if (now_us < h->until_us)
		b->tokens_ntok = min_u64(b->tokens_ntok + rep->granted_ntok, max_tokens(b));
	update_depleted(b, h, rep, now_us);
	return 0;
}

void br_bucket_request_failed(struct br_bucket *b, const struct br_bucket_holder *holder,
			      uint64_t seq, uint64_t now_us)
{
	struct holder *h = find(b, holder);

	if (!h || !h->pending || h->seq != seq)
		return;
	h->pending = false;
	h->retry_us = now_us + retry_delay_us(h);
	h->failures++;
}

void br_bucket_stats(struct br_bucket *b, uint64_t now_us, struct br_bucket_stats *out)
{
	advance(b, now_us);
	*out = (struct br_bucket_stats){
		.rate_mtok_s = b->leased.rate,
		.burst_ntok = b->leased.burst,
		.tokens_ntok = b->tokens_ntok,
	};
	for (size_t i = 0; i < b->n_holders; i++)
		out->leases += b->holders[i].lease.rate || b->holders[i].lease.burst;
}
