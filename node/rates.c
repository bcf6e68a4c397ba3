#include "node/rates.h"

#include "briarreel/slot.h"
#include "briarreel/view.h"
#include "common/clock.h"
#include "node/blackboard.h"
#include "node/control.h"
#include "node/counters.h"
#include "node/node.h"
#include "node/node_settings.h"

#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define HASH_BUCKETS 1024
#define MAX_HOLDERS 64
/* Maximum number of calls of one account that wait for tokens; each occupies a worker thread. */
#define MAX_WAITING_CALLS 64

struct account_rate {
	char name[BR_NAME_BYTES];
	pthread_mutex_t lock;
	/** Broadcast when a lease request was answered or has failed. */
	pthread_cond_t answered;
	struct br_bucket *bucket;
	uint32_t waiting_calls;
	/** The holder of at least one of the account's slots is known. */
	bool has_holders;
	struct account_rate *next;
};

struct rates {
	struct node *node;
	/** Guards the table; entries are never removed. */
	pthread_mutex_t lock;
	struct account_rate *table[HASH_BUCKETS];
};

struct rates *rates_create(struct node *node)
{
	struct rates *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->node = node;
	pthread_mutex_init(&r->lock, NULL);
	return r;
}

void rates_destroy(struct rates *r)
{
	if (!r)
		return;
	for (size_t i = 0; i < HASH_BUCKETS; i++) {
		while (r->table[i]) {
			struct account_rate *a = r->table[i];

			r->table[i] = a->next;
			br_bucket_destroy(a->bucket);
			pthread_cond_destroy(&a->answered);
			pthread_mutex_destroy(&a->lock);
			free(a);
		}
	}
	pthread_mutex_destroy(&r->lock);
	free(r);
}

/* Writes the nodes that hold slots of set, each with its number of slots; returns their number. */
static size_t find_holders(struct rates *r, const struct br_slot_set *set, uint32_t n_slots,
			   struct br_bucket_holder *out)
{
	const char *zone = r->node->settings->zone;
	size_t n = 0;

	for (uint32_t slot = 0; slot < n_slots; slot++) {
		struct br_slot_holder h;
		size_t i;

		if (!br_slot_set_has(set, slot) ||
		    !blackboard_slot_holder(r->node->board, slot, &h))
			continue;
		for (i = 0; i < n; i++)
			if (br_node_id_equal(&out[i].node, &h.node))
				break;
		if (i == MAX_HOLDERS)
			continue;
		if (i == n)
			out[n++] = (struct br_bucket_holder){.node = h.node,
							     .incarnation = h.incarnation,
							     .same_zone = !strcmp(h.zone, zone)};
		out[i].slots++;
	}
	return n;
}

/* Called with the account's lock held, unless the account is not in the table yet. */
static void refresh_account(struct rates *r, struct account_rate *a,
			    const struct br_account *limits, uint64_t now_us)
{
	struct br_bucket_holder holders[MAX_HOLDERS];
	uint32_t n_slots = blackboard_n_slots(r->node->board);
	struct br_slot_set set;
	size_t n;

	br_slots_of_account(a->name, limits->burst, n_slots, &set);
	br_bucket_set_limits(a->bucket, limits->rate_mtok_s, limits->burst * BR_NTOK_PER_TOKEN,
			     br_slot_set_count(&set), now_us);
	n = find_holders(r, &set, n_slots, holders);
	a->has_holders = n > 0;
	br_bucket_set_holders(a->bucket, holders, n, now_us);
}

static struct account_rate *create_account(struct rates *r, const struct br_record *account)
{
	struct account_rate *a = calloc(1, sizeof(*a));
	struct br_bucket_config cfg = {.self = r->node->id, .incarnation = r->node->incarnation};
	pthread_condattr_t attr;

	if (!a)
		abort();
	br_copy_text(a->name, sizeof(a->name), account->name);
	br_copy_text(cfg.account, sizeof(cfg.account), account->name);
	a->bucket = br_bucket_create(&cfg);
	if (!a->bucket)
		abort();
	pthread_mutex_init(&a->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&a->answered, &attr);
	pthread_condattr_destroy(&attr);
	refresh_account(r, a, &account->account, clock_now_us());
	return a;
}

static struct account_rate *find_or_create_account(struct rates *r, const struct br_record *account)
{
	size_t i = br_hash_str(account->name, 0) % HASH_BUCKETS;
	struct account_rate *a;

	pthread_mutex_lock(&r->lock);
	for (a = r->table[i]; a; a = a->next)
		if (!strcmp(a->name, account->name))
			break;
	if (!a) {
		a = create_account(r, account);
		a->next = r->table[i];
		r->table[i] = a;
	}
	pthread_mutex_unlock(&r->lock);
	return a;
}

/* Waits for the answer to a lease request, at most wait_us. Called with the account's lock held. */
static void wait_for_answer(struct account_rate *a, uint64_t wait_us)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	wait_us += (uint64_t)ts.tv_nsec / 1000;
	ts.tv_sec += (time_t)(wait_us / BR_US_PER_S);
	ts.tv_nsec = (long)(wait_us % BR_US_PER_S) * 1000;
	pthread_cond_timedwait(&a->answered, &a->lock, &ts);
}

static int wait_for_token(struct rates *r, struct account_rate *a, struct call *c,
			  uint64_t *valid_until_us)
{
	uint64_t end_us = clock_now_us() + (uint64_t)r->node->settings->rate_wait_ms * BR_US_PER_MS;
	uint64_t now_us = clock_now_us();
	int ret = -EAGAIN;

	if (end_us > c->deadline_us)
		end_us = c->deadline_us;
	counter_add(COUNTER_RATE_WAITED, 1);
	a->waiting_calls++;
	while (ret == -EAGAIN && now_us < end_us) {
		uint64_t remaining_us = end_us - now_us;

		/* The bucket also refills between answers, so it is checked in short steps. */
		wait_for_answer(a,
				remaining_us < 2 * BR_US_PER_MS ? remaining_us : 2 * BR_US_PER_MS);
		now_us = clock_now_us();
		ret = br_bucket_take(a->bucket, false, now_us, valid_until_us);
	}
	a->waiting_calls--;
	br_bucket_wait_ended(a->bucket);
	return ret;
}

enum br_reason rates_take_token(struct rates *r, const struct br_record *account, struct call *c)
{
	struct account_rate *a = find_or_create_account(r, account);
	uint64_t valid_until_us = 0;
	bool has_holders;
	int ret;

	pthread_mutex_lock(&a->lock);
	ret = br_bucket_take(a->bucket, true, clock_now_us(), &valid_until_us);
	if (ret == -EAGAIN) {
		control_wake_leases(r->node->control);
		if (a->waiting_calls < MAX_WAITING_CALLS)
			ret = wait_for_token(r, a, c, &valid_until_us);
		else
			br_bucket_wait_ended(a->bucket);
	}
	has_holders = a->has_holders;
	pthread_mutex_unlock(&a->lock);
	/* A pause after the token was taken may have outlasted the lease that provided it. */
	if (!ret && clock_now_us() >= valid_until_us)
		ret = -EDQUOT;
	if (!ret)
		return BR_REASON_NONE;
	/* Without known holders the account may be within its rate; another node may accept it. */
	if (!has_holders)
		return BR_REASON_NO_CONFIG;
	counter_add(COUNTER_RATE_LIMITED, 1);
	return BR_REASON_OVER_RATE;
}

/* Calls fn for each account in the table, with the account's lock held. */
static void for_each_account(struct rates *r,
			     void (*fn)(struct rates *, struct account_rate *, void *), void *arg)
{
	for (size_t i = 0; i < HASH_BUCKETS; i++) {
		struct account_rate *a;

		pthread_mutex_lock(&r->lock);
		a = r->table[i];
		pthread_mutex_unlock(&r->lock);
		for (; a; a = a->next) {
			pthread_mutex_lock(&a->lock);
			fn(r, a, arg);
			pthread_mutex_unlock(&a->lock);
		}
	}
}

struct refresh_arg {
	struct br_view *view;
	uint64_t now_us;
};

static void refresh_one(struct rates *r, struct account_rate *a, void *arg)
{
	static const struct br_account no_limits;
	const struct refresh_arg *ra = arg;
	const struct br_record *rec = br_view_account(ra->view, a->name);

	refresh_account(r, a, rec ? &rec->account : &no_limits, ra->now_us);
}

void rates_refresh(struct rates *r, uint64_t now_us)
{
	struct refresh_arg arg = {.view = blackboard_config(r->node->board), .now_us = now_us};

	if (!arg.view)
		return;
	for_each_account(r, refresh_one, &arg);
	br_view_put(arg.view);
}

struct collect_arg {
	struct rates_request *out;
	size_t n;
	size_t max;
	uint64_t now_us;
};

static void collect_one(struct rates *r, struct account_rate *a, void *arg)
{
	struct collect_arg *ca = arg;
	struct br_bucket_holder holders[MAX_HOLDERS];
	size_t n = br_bucket_select_holders(a->bucket, ca->now_us, holders, MAX_HOLDERS);

	(void)r;
	for (size_t i = 0; i < n && ca->n < ca->max; i++) {
		struct rates_request *request = &ca->out[ca->n];

		request->holder = holders[i];
		if (!br_bucket_make_request(a->bucket, &holders[i], ca->now_us, &request->req))
			ca->n++;
	}
}

size_t rates_collect_requests(struct rates *r, uint64_t now_us, struct rates_request *out,
			      size_t max)
{
	struct collect_arg arg = {.out = out, .max = max, .now_us = now_us};

	for_each_account(r, collect_one, &arg);
	return arg.n;
}

void rates_apply_answer(struct rates *r, const struct rates_request *req,
			const struct br_lease_reply *rep, uint64_t now_us)
{
	size_t i = br_hash_str(req->req.account, 0) % HASH_BUCKETS;
	struct account_rate *a;

	pthread_mutex_lock(&r->lock);
	for (a = r->table[i]; a; a = a->next)
		if (!strcmp(a->name, req->req.account))
			break;
	pthread_mutex_unlock(&r->lock);
	if (!a)
		return;
	pthread_mutex_lock(&a->lock);
	if (rep)
		br_bucket_apply(a->bucket, &req->holder, rep, now_us);
	else
		br_bucket_request_failed(a->bucket, &req->holder, req->req.seq, now_us);
	pthread_cond_broadcast(&a->answered);
	pthread_mutex_unlock(&a->lock);
}

struct format_arg {
	char *buf;
	size_t bytes;
	size_t len;
	uint64_t now_us;
};

static void format_one(struct rates *r, struct account_rate *a, void *arg)
{
	struct format_arg *fa = arg;
	struct br_bucket_stats st;
	int n;

	(void)r;
	br_bucket_stats(a->bucket, fa->now_us, &st);
	n = snprintf(fa->buf + fa->len, fa->bytes - fa->len,
		     "briarreel_leased_rate_mtok_s{account=\"%s\"} %llu\n"
		     "briarreel_leased_burst_ntok{account=\"%s\"} %llu\n"
		     "briarreel_leases{account=\"%s\"} %u\n",
		     a->name, (unsigned long long)st.rate_mtok_s, a->name,
		     (unsigned long long)st.burst_ntok, a->name, st.leases);
	if (n > 0 && fa->len + (size_t)n < fa->bytes)
		fa->len += (size_t)n;
}

size_t rates_format_counters(struct rates *r, char *buf, size_t bytes)
{
	struct format_arg arg = {.buf = buf, .bytes = bytes, .now_us = clock_now_us()};

	for_each_account(r, format_one, &arg);
	return arg.len;
}
