#include "briarreel/dedup.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define DEFAULT_ATTEMPTS 262144
#define DEFAULT_ENTRY_NODES 65536
#define DEFAULT_ANSWER_BYTES (64ULL << 20)
#define DEFAULT_RETENTION_US (120 * BR_US_PER_S)
#define DEFAULT_MIN_RETENTION_US (30 * BR_US_PER_S)
/** Idle time after which the record of an entry node without attempts may be evicted. */
#define ENTRY_NODE_IDLE_US (24ULL * 3600 * BR_US_PER_S)
/** Added to the size of each stored answer when it is counted towards max_answer_bytes. */
#define ANSWER_OVERHEAD_BYTES 64

/**
 * Record of an entry node. Attempts that are not in the table and have an older incarnation or a
 * counter up to counter_floor may already have run here and are never started.
 */
struct entry_node {
	struct br_node_id id;
	uint64_t incarnation;
	uint64_t counter_floor;
	uint64_t last_used_us;
	/** Number of attempts in the table. */
	uint32_t n_attempts;
	struct entry_node *hash_next;
	TAILQ_ENTRY(entry_node) lru;
};

enum attempt_state {
	RUNNING,
	DONE,
	NOT_RUN,
	/** Joined another attempt with the same request id; never runs itself. */
	JOINED,
};

struct attempt {
	struct entry_node *entry;
	uint64_t incarnation;
	uint64_t counter;
	uint64_t finished_us;
	struct br_answer *answer;
	struct request *request;
	struct attempt *hash_next;
	/** Link in one of the finished lists, unless the attempt is running. */
	TAILQ_ENTRY(attempt) finished;
	/** Link in the answered list while an answer is stored. */
	TAILQ_ENTRY(attempt) answered;
	uint8_t state;
	bool idempotent;
};

/** Index entry of a request id whose attempt is running or done. */
struct request {
	struct attempt *attempt;
	struct request *hash_next;
	uint64_t hash;
	/** Account and request id, each with its terminator. */
	char text[];
};

TAILQ_HEAD(attempt_list, attempt);
TAILQ_HEAD(entry_node_list, entry_node);

struct br_dedup {
	struct br_dedup_config cfg;
	struct br_dedup_stats stats;
	struct attempt **attempts;
	struct request **requests;
	uint64_t mask;
	struct entry_node **entry_nodes;
	uint64_t entry_node_mask;
	/** Entry nodes, least recently used first. */
	struct entry_node_list lru;
	/** Finished attempts, oldest first: [0] non-idempotent, [1] idempotent. */
	struct attempt_list finished[2];
	/** Attempts with an answer, oldest first. */
	struct attempt_list answered;
};

static uint64_t table_size(uint32_t max)
{
	uint64_t n = 16;

	while (n < max)
		n *= 2;
	return n;
}

static void set_defaults(struct br_dedup_config *cfg)
{
	if (!cfg->max_attempts)
		cfg->max_attempts = DEFAULT_ATTEMPTS;
	if (!cfg->max_entry_nodes)
		cfg->max_entry_nodes = DEFAULT_ENTRY_NODES;
	if (!cfg->max_answer_bytes)
		cfg->max_answer_bytes = DEFAULT_ANSWER_BYTES;
	if (!cfg->retention_us)
		cfg->retention_us = DEFAULT_RETENTION_US;
	if (!cfg->min_retention_us)
		cfg->min_retention_us = DEFAULT_MIN_RETENTION_US;
}

struct br_dedup *br_dedup_create(const struct br_dedup_config *cfg)
{
	struct br_dedup *d = calloc(1, sizeof(*d));

	if (!d)
		return NULL;
	d->cfg = *cfg;
	set_defaults(&d->cfg);
	d->mask = table_size(d->cfg.max_attempts) - 1;
	d->entry_node_mask = table_size(d->cfg.max_entry_nodes) - 1;
	d->attempts = calloc(d->mask + 1, sizeof(struct attempt *));
	d->requests = calloc(d->mask + 1, sizeof(struct request *));
	d->entry_nodes = calloc(d->entry_node_mask + 1, sizeof(struct entry_node *));
	TAILQ_INIT(&d->lru);
	TAILQ_INIT(&d->finished[0]);
	TAILQ_INIT(&d->finished[1]);
	TAILQ_INIT(&d->answered);
	if (!d->attempts || !d->requests || !d->entry_nodes ||
	    d->cfg.min_retention_us > d->cfg.retention_us) {
		br_dedup_destroy(d);
		return NULL;
	}
	return d;
}

static uint64_t attempt_hash(const struct entry_node *e, uint64_t incarnation, uint64_t counter)
{
	uint64_t parts[3] = {(uint64_t)(uintptr_t)e, incarnation, counter};

	return br_hash64(parts, sizeof(parts), 0);
}

static uint64_t request_hash(const char *account, const char *id)
{
	return br_hash_str(id, br_hash_str(account, 0));
}

static struct entry_node *find_entry_node(const struct br_dedup *d, const struct br_node_id *id)
{
	struct entry_node *e = d->entry_nodes[br_hash_str(id->text, 0) & d->entry_node_mask];

	while (e && !br_node_id_equal(&e->id, id))
		e = e->hash_next;
	return e;
}

static struct attempt *find_attempt(const struct br_dedup *d, const struct br_attempt_id *id)
{
	struct entry_node *e = find_entry_node(d, &id->entry);
	struct attempt *a;

	if (!e)
		return NULL;
	a = d->attempts[attempt_hash(e, id->incarnation, id->counter) & d->mask];
	while (a &&
	       (a->entry != e || a->incarnation != id->incarnation || a->counter != id->counter))
		a = a->hash_next;
	return a;
}

static struct request *find_request(const struct br_dedup *d, const char *account, const char *id)
{
	uint64_t hash = request_hash(account, id);
	struct request *r = d->requests[hash & d->mask];

	while (r && (r->hash != hash || strcmp(r->text, account) != 0 ||
		     strcmp(r->text + strlen(account) + 1, id) != 0))
		r = r->hash_next;
	return r;
}

static void remove_request(struct br_dedup *d, struct attempt *a)
{
	struct request *r = a->request;
	struct request **p;

	if (!r)
		return;
	p = &d->requests[r->hash & d->mask];
	while (*p != r)
		p = &(*p)->hash_next;
	*p = r->hash_next;
	a->request = NULL;
	free(r);
}

static bool add_request(struct br_dedup *d, struct attempt *a, const char *account, const char *id)
{
	size_t account_len = strlen(account) + 1;
	size_t id_len = strlen(id) + 1;
	struct request *r = malloc(sizeof(*r) + account_len + id_len);

	if (!r)
		return false;
	memcpy(r->text, account, account_len);
	memcpy(r->text + account_len, id, id_len);
	r->attempt = a;
	r->hash = request_hash(account, id);
	r->hash_next = d->requests[r->hash & d->mask];
	d->requests[r->hash & d->mask] = r;
	a->request = r;
	return true;
}

static uint64_t answer_bytes(const struct br_answer *a)
{
	size_t headers;
	size_t body;

	br_answer_headers(a, &headers);
	br_answer_body(a, &body);
	return headers + body + ANSWER_OVERHEAD_BYTES;
}

static void drop_answer(struct br_dedup *d, struct attempt *a)
{
	if (!a->answer)
		return;
	d->stats.answer_bytes -= answer_bytes(a->answer);
	TAILQ_REMOVE(&d->answered, a, answered);
	br_answer_put(a->answer);
	a->answer = NULL;
}

static void raise_counter_floor(struct entry_node *e, uint64_t incarnation, uint64_t counter)
{
	if (e->incarnation == incarnation && counter > e->counter_floor)
		e->counter_floor = counter;
}

static void remove_attempt(struct br_dedup *d, struct attempt *a)
{
	struct attempt **p =
		&d->attempts[attempt_hash(a->entry, a->incarnation, a->counter) & d->mask];

	while (*p != a)
		p = &(*p)->hash_next;
	*p = a->hash_next;
	if (a->state == RUNNING)
		d->stats.running--;
	else
		TAILQ_REMOVE(&d->finished[a->idempotent], a, finished);
	drop_answer(d, a);
	remove_request(d, a);
	raise_counter_floor(a->entry, a->incarnation, a->counter);
	a->entry->n_attempts--;
	d->stats.attempts--;
	free(a);
}

void br_dedup_destroy(struct br_dedup *d)
{
	struct entry_node *e;

	if (!d)
		return;
	for (uint64_t i = 0; d->attempts && i <= d->mask; i++)
		while (d->attempts[i])
			remove_attempt(d, d->attempts[i]);
	while ((e = TAILQ_FIRST(&d->lru))) {
		TAILQ_REMOVE(&d->lru, e, lru);
		free(e);
	}
	free(d->attempts);
	free(d->requests);
	free(d->entry_nodes);
	free(d);
}

static bool expire_oldest(struct br_dedup *d, int list, uint64_t retention_us, uint64_t now_us)
{
	struct attempt *a = TAILQ_FIRST(&d->finished[list]);

	if (!a || a->finished_us + retention_us > now_us)
		return false;
	remove_attempt(d, a);
	return true;
}

void br_dedup_expire(struct br_dedup *d, uint64_t now_us)
{
	while (expire_oldest(d, 0, d->cfg.retention_us, now_us))
		;
	while (expire_oldest(d, 1, d->cfg.min_retention_us, now_us))
		;
}

/*
 * Evicts the least recently used entry node if it was idle for so long that none of its messages
 * can still arrive.
 */
static bool evict_idle_entry_node(struct br_dedup *d, uint64_t now_us)
{
	struct entry_node *e = TAILQ_FIRST(&d->lru);
	struct entry_node **p;

	if (!e || e->n_attempts || e->last_used_us + ENTRY_NODE_IDLE_US > now_us)
		return false;
	p = &d->entry_nodes[br_hash_str(e->id.text, 0) & d->entry_node_mask];
	while (*p != e)
		p = &(*p)->hash_next;
	*p = e->hash_next;
	TAILQ_REMOVE(&d->lru, e, lru);
	d->stats.entry_nodes--;
	free(e);
	return true;
}

static struct entry_node *get_or_add_entry_node(struct br_dedup *d, const struct br_node_id *id,
						uint64_t now_us)
{
	struct entry_node *e = find_entry_node(d, id);
	struct entry_node **bucket = &d->entry_nodes[br_hash_str(id->text, 0) & d->entry_node_mask];

	if (e) {
		TAILQ_REMOVE(&d->lru, e, lru);
	} else {
		if (d->stats.entry_nodes >= d->cfg.max_entry_nodes &&
		    !evict_idle_entry_node(d, now_us))
			return NULL;
		e = calloc(1, sizeof(*e));
		if (!e)
			return NULL;
		e->id = *id;
		e->hash_next = *bucket;
		*bucket = e;
		d->stats.entry_nodes++;
	}
	e->last_used_us = now_us;
	TAILQ_INSERT_TAIL(&d->lru, e, lru);
	return e;
}

static struct attempt *add_attempt(struct br_dedup *d, struct entry_node *e,
				   const struct br_dedup_req *req, uint64_t now_us)
{
	struct attempt **bucket;
	struct attempt *a;

	if (d->stats.attempts >= d->cfg.max_attempts &&
	    !expire_oldest(d, 0, d->cfg.min_retention_us, now_us))
		return NULL;
	a = calloc(1, sizeof(*a));
	if (!a)
		return NULL;
	a->entry = e;
	a->incarnation = req->id.incarnation;
	a->counter = req->id.counter;
	a->idempotent = req->idempotent;
	bucket = &d->attempts[attempt_hash(e, a->incarnation, a->counter) & d->mask];
	a->hash_next = *bucket;
	*bucket = a;
	e->n_attempts++;
	d->stats.attempts++;
	d->stats.running++;
	return a;
}

static void end_attempt(struct br_dedup *d, struct attempt *a, enum attempt_state state,
			uint64_t now_us)
{
	BR_INVARIANT(a->state == RUNNING);
	a->state = (uint8_t)state;
	a->finished_us = now_us;
	d->stats.running--;
	TAILQ_INSERT_TAIL(&d->finished[a->idempotent], a, finished);
}

static struct br_dedup_result result_of(const struct attempt *a)
{
	struct br_dedup_result res = {.state = BR_DEDUP_RUNNING};

	BR_INVARIANT(a);
	res.attempt.entry = a->entry->id;
	res.attempt.incarnation = a->incarnation;
	res.attempt.counter = a->counter;
	switch ((enum attempt_state)a->state) {
	case RUNNING:
		break;
	case DONE:
		res.state = a->answer ? BR_DEDUP_DONE : BR_DEDUP_DONE_NO_ANSWER;
		res.answer = a->answer ? br_answer_get(a->answer) : NULL;
		break;
	case NOT_RUN:
		res.state = BR_DEDUP_NOT_RUN;
		break;
	case JOINED:
		res.state = BR_DEDUP_STALE;
		break;
	}
	return res;
}

static struct br_dedup_result result_for(enum br_dedup_state state, const struct br_attempt_id *id)
{
	return (struct br_dedup_result){.state = state, .attempt = *id};
}

static bool is_stale(const struct entry_node *e, const struct br_attempt_id *id)
{
	return !id->counter || id->incarnation < e->incarnation ||
	       (id->incarnation == e->incarnation && id->counter <= e->counter_floor);
}

/*
 * Records an attempt that joined another one, so that a late copy of its message cannot start it
 * after the other attempt has expired.
 */
static void mark_joined(struct br_dedup *d, struct entry_node *e, const struct br_dedup_req *req,
			uint64_t now_us)
{
	struct attempt *a = add_attempt(d, e, req, now_us);

	if (a)
		end_attempt(d, a, JOINED, now_us);
	else
		raise_counter_floor(e, req->id.incarnation, req->id.counter);
}

static struct br_dedup_result begin_new(struct br_dedup *d, const struct br_dedup_req *req,
					const struct request *existing, uint64_t now_us)
{
	struct entry_node *e = get_or_add_entry_node(d, &req->id.entry, now_us);
	struct attempt *a;

	if (!e || is_stale(e, &req->id)) {
		d->stats.refused_stale++;
		return result_for(BR_DEDUP_STALE, &req->id);
	}
	if (req->id.incarnation > e->incarnation) {
		e->incarnation = req->id.incarnation;
		e->counter_floor = 0;
	}
	if (existing) {
		/* Get the result first: mark_joined() may remove the oldest finished attempt. */
		struct br_dedup_result res = result_of(existing->attempt);

		d->stats.duplicates++;
		mark_joined(d, e, req, now_us);
		return res;
	}
	a = add_attempt(d, e, req, now_us);
	if (a && req->request_id && !req->idempotent &&
	    !add_request(d, a, req->account, req->request_id)) {
		remove_attempt(d, a);
		a = NULL;
	}
	if (!a) {
		/* The sender is told "not run", so a later copy of the message must not run. */
		raise_counter_floor(e, req->id.incarnation, req->id.counter);
		d->stats.refused_full++;
		return result_for(BR_DEDUP_FULL, &req->id);
	}
	return result_for(BR_DEDUP_NEW, &req->id);
}

struct br_dedup_result br_dedup_begin(struct br_dedup *d, const struct br_dedup_req *req,
				      uint64_t now_us)
{
	const struct request *existing = NULL;
	const struct entry_node *e;
	struct attempt *a;

	br_dedup_expire(d, now_us);
	if (req->target_incarnation != d->cfg.incarnation) {
		d->stats.refused_incarnation++;
		return result_for(BR_DEDUP_WRONG_INCARNATION, &req->id);
	}
	if (req->request_id && !req->idempotent)
		existing = find_request(d, req->account, req->request_id);
	a = find_attempt(d, &req->id);
	if (a && a->state == JOINED && existing)
		a = existing->attempt;
	if (!a && existing && req->attach)
		a = existing->attempt;
	if (a) {
		d->stats.duplicates++;
		return result_of(a);
	}
	if (!req->attach)
		return begin_new(d, req, existing, now_us);
	e = find_entry_node(d, &req->id.entry);
	if (e && is_stale(e, &req->id))
		return result_for(BR_DEDUP_STALE, &req->id);
	return result_for(BR_DEDUP_ABSENT, &req->id);
}

struct br_dedup_result br_dedup_find(struct br_dedup *d, const struct br_attempt_id *id)
{
	const struct attempt *a = find_attempt(d, id);
	const struct entry_node *e = find_entry_node(d, &id->entry);

	if (a)
		return result_of(a);
	return result_for(e && is_stale(e, id) ? BR_DEDUP_STALE : BR_DEDUP_ABSENT, id);
}

static void store_answer(struct br_dedup *d, struct attempt *a, struct br_answer *answer)
{
	uint64_t size = answer_bytes(answer);

	if (size > d->cfg.max_answer_bytes) {
		d->stats.answers_dropped++;
		return;
	}
	while (d->stats.answer_bytes + size > d->cfg.max_answer_bytes) {
		drop_answer(d, TAILQ_FIRST(&d->answered));
		d->stats.answers_dropped++;
	}
	a->answer = br_answer_get(answer);
	d->stats.answer_bytes += size;
	TAILQ_INSERT_TAIL(&d->answered, a, answered);
}

int br_dedup_finish(struct br_dedup *d, const struct br_attempt_id *id, struct br_answer *answer,
		    uint64_t now_us)
{
	struct attempt *a = find_attempt(d, id);

	if (!a || a->state != RUNNING)
		return -ENOENT;
	end_attempt(d, a, DONE, now_us);
	if (answer)
		store_answer(d, a, answer);
	return 0;
}

int br_dedup_mark_not_run(struct br_dedup *d, const struct br_attempt_id *id, uint64_t now_us)
{
	struct attempt *a = find_attempt(d, id);

	if (!a || a->state != RUNNING)
		return -ENOENT;
	end_attempt(d, a, NOT_RUN, now_us);
	remove_request(d, a);
	return 0;
}

void br_dedup_stats(const struct br_dedup *d, struct br_dedup_stats *out)
{
	*out = d->stats;
}
