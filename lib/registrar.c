#include "briarreel/registrar.h"

#include "lib/claim.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* At 234 bytes per claim (docs/CAPACITY.md) these take 123 MB of the 256 MB allowed per node. */
#define DEFAULT_MAX_CLAIMS 524288
#define DEFAULT_WINDOW_US (120 * BR_US_PER_S)
#define DEFAULT_CLOCK_SKEW_MS 5000
/*
 * A slot is acquired only while half of the key's time to live remains (slot.c), so that half must
 * exceed the cutoff by more than this margin; else there is no cutoff.
 */
#define CUTOFF_MARGIN_US (1 * BR_US_PER_S)

static uint64_t key_hash(const struct br_claim_key *key)
{
	return br_hash_str(key->id, br_hash_str(key->account, 0));
}

struct br_registrar *br_registrar_create(const struct br_registrar_config *cfg)
{
	struct br_registrar *r;
	uint64_t n_buckets = 16;

	if (!cfg->n_slots || cfg->n_slots > BR_REGISTRAR_MAX_SLOTS)
		return NULL;
	r = calloc(1, sizeof(*r));
	if (!r)
		return NULL;
	r->cfg = *cfg;
	if (!r->cfg.max_claims)
		r->cfg.max_claims = DEFAULT_MAX_CLAIMS;
	if (!r->cfg.window_us)
		r->cfg.window_us = DEFAULT_WINDOW_US;
	if (!r->cfg.clock_skew_ms)
		r->cfg.clock_skew_ms = DEFAULT_CLOCK_SKEW_MS;
	while (n_buckets < r->cfg.max_claims)
		n_buckets *= 2;
	r->bucket_mask = n_buckets - 1;
	r->buckets = calloc(n_buckets, sizeof(struct claim *));
	r->slots = calloc(cfg->n_slots, sizeof(*r->slots));
	TAILQ_INIT(&r->released);
	if (!r->buckets || !r->slots) {
		free(r->buckets);
		free(r->slots);
		free(r);
		return NULL;
	}
	for (uint32_t i = 0; i < cfg->n_slots; i++)
		TAILQ_INIT(&r->slots[i].claims);
	return r;
}

void br_registrar_destroy(struct br_registrar *r)
{
	if (!r)
		return;
	for (uint32_t i = 0; i < r->cfg.n_slots; i++)
		br_registrar_drop(r, i);
	free(r->buckets);
	free(r->slots);
	free(r);
}

static struct claim *find_claim(const struct br_registrar *r, const struct br_claim_key *key)
{
	uint64_t hash = key_hash(key);
	struct claim *c = r->buckets[hash & r->bucket_mask];

	while (c && (c->hash != hash || strcmp(claim_account(c), key->account) != 0 ||
		     strcmp(claim_id(c), key->id) != 0))
		c = c->hash_next;
	return c;
}

static void remove_claim(struct br_registrar *r, struct claim *c)
{
	struct claim **p = &r->buckets[c->hash & r->bucket_mask];

	while (*p != c)
		p = &(*p)->hash_next;
	*p = c->hash_next;
	TAILQ_REMOVE(&r->slots[c->slot].claims, c, link);
	if (c->released)
		TAILQ_REMOVE(&r->released, c, released_link);
	r->n_claims--;
	free(c);
}

static void refresh_claim(struct br_registrar *r, struct claim *c, uint64_t now_us)
{
	if (c->expires_us < now_us + r->cfg.window_us)
		c->expires_us = now_us + r->cfg.window_us;
	TAILQ_REMOVE(&r->slots[c->slot].claims, c, link);
	TAILQ_INSERT_TAIL(&r->slots[c->slot].claims, c, link);
}

/* Stores a claim in place of any claim of the same key, with the later expiry of both. */
static bool store_claim(struct br_registrar *r, uint32_t slot, const struct br_claim_key *key,
			const struct br_claim_location *where, uint64_t expires_us)
{
	struct claim *old = find_claim(r, key);
	struct claim *c = claim_create(key, where);

	if (!c)
		return false;
	if (old && old->expires_us > expires_us)
		expires_us = old->expires_us;
	if (old)
		remove_claim(r, old);
	c->slot = slot;
	c->hash = key_hash(key);
	c->expires_us = expires_us;
	c->hash_next = r->buckets[c->hash & r->bucket_mask];
	r->buckets[c->hash & r->bucket_mask] = c;
	TAILQ_INSERT_TAIL(&r->slots[slot].claims, c, link);
	r->n_claims++;
	return true;
}

static void mark_released(struct br_registrar *r, struct claim *c, uint64_t now_us)
{
	c->released = true;
	TAILQ_INSERT_TAIL(&r->released, c, released_link);
	refresh_claim(r, c, now_us);
}

static void expire_slot(struct br_registrar *r, uint32_t slot, uint64_t now_us)
{
	struct registrar_slot *s = &r->slots[slot];
	struct claim *c;

	/* Claims of a closed slot stay, because an export iterates over them. */
	while (!s->closed && (c = TAILQ_FIRST(&s->claims)) && c->expires_us <= now_us)
		remove_claim(r, c);
}

/*
 * Finds a claim that has not expired and removes it if it has. After the window was shortened the
 * list is not in order of expiry, so expire_slot() may not reach an expired claim.
 */
static struct claim *find_live_claim(struct br_registrar *r, uint32_t slot,
				     const struct br_claim_key *key, uint64_t now_us)
{
	struct claim *c;

	expire_slot(r, slot, now_us);
	c = find_claim(r, key);
	if (!c || c->expires_us > now_us)
		return c;
	remove_claim(r, c);
	return NULL;
}

void br_registrar_set_window(struct br_registrar *r, uint64_t window_us, uint64_t now_us)
{
	uint64_t extension_us = window_us > r->cfg.window_us ? window_us - r->cfg.window_us : 0;

	r->cfg.window_us = window_us;
	for (uint32_t i = 0; extension_us && i < r->cfg.n_slots; i++) {
		struct registrar_slot *s = &r->slots[i];
		struct claim *c;

		expire_slot(r, i, now_us);
		TAILQ_FOREACH(c, &s->claims, link)
		{
			c->expires_us += extension_us;
		}
		if (s->refuse_until_us > now_us)
			s->refuse_until_us += extension_us;
	}
}

uint64_t br_registrar_claim_cutoff_us(uint64_t window_us, uint64_t autonomy_us)
{
	uint64_t cutoff_us = window_us + window_us / 50;

	return autonomy_us / 2 > cutoff_us + CUTOFF_MARGIN_US ? cutoff_us : 0;
}

void br_registrar_expire(struct br_registrar *r, uint64_t now_us)
{
	for (uint32_t i = 0; i < r->cfg.n_slots; i++)
		expire_slot(r, i, now_us);
}

/*
 * Makes room for one claim. A released id may be dropped: this only loses its protection against a
 * late message of its own attempt, which could block the id but not run it.
 */
static bool make_room(struct br_registrar *r, uint64_t now_us)
{
	struct claim *c;

	if (r->n_claims < r->cfg.max_claims)
		return true;
	br_registrar_expire(r, now_us);
	TAILQ_FOREACH(c, &r->released, released_link)
	{
		if (r->n_claims < r->cfg.max_claims)
			break;
		if (r->slots[c->slot].closed)
			continue;
		remove_claim(r, c);
		break;
	}
	return r->n_claims < r->cfg.max_claims;
}

uint32_t br_registrar_slot_of(const struct br_claim_key *key, uint32_t n_slots)
{
	const char *suffix = strrchr(key->id, '@');
	uint32_t n = 0;
	size_t digits = suffix ? strspn(suffix + 1, "0123456789") : 0;

	if (digits && digits <= 4 && !suffix[1 + digits]) {
		for (size_t i = 1; i <= digits; i++)
			n = n * 10 + (uint32_t)(suffix[i] - '0');
		if (n < n_slots)
			return n;
	}
	return (uint32_t)(key_hash(key) % n_slots);
}

bool br_uuid7_time_ms(const char *id, uint64_t *time_ms)
{
	static const char pattern[] = "xxxxxxxx-xxxx-7xxx-vxxx-xxxxxxxxxxxx";
	static const char hex[] = "0123456789abcdef";
	uint64_t out = 0;
	size_t i;

	for (i = 0; pattern[i]; i++) {
		char c = (char)(id[i] >= 'A' && id[i] <= 'F' ? id[i] - 'A' + 'a' : id[i]);
		const char *digit = c ? strchr(hex, c) : NULL;

		if (pattern[i] == '-' || pattern[i] == '7') {
			if (c != pattern[i])
				return false;
			continue;
		}
		if (!digit || (pattern[i] == 'v' && !strchr("89ab", c)))
			return false;
		/* The first 12 digits are the time in milliseconds (RFC 9562, section 5.7). */
		if (i < 13)
			out = out << 4 | (uint64_t)(digit - hex);
	}
	if (id[i] && id[i] != '@')
		return false;
	*time_ms = out;
	return true;
}

bool br_registrar_held(const struct br_registrar *r, uint32_t slot)
{
	return slot < r->cfg.n_slots && r->slots[slot].held;
}

void br_registrar_drop(struct br_registrar *r, uint32_t slot)
{
	struct registrar_slot *s;
	struct claim *c;

	if (slot >= r->cfg.n_slots)
		return;
	s = &r->slots[slot];
	while ((c = TAILQ_FIRST(&s->claims)))
		remove_claim(r, c);
	s->held = false;
	s->closed = false;
	s->imported = false;
	s->import_failed = false;
}

int br_registrar_takeover(struct br_registrar *r, uint32_t slot, uint64_t wall_ms, uint64_t now_us,
			  bool clean)
{
	struct registrar_slot *s;

	if (slot >= r->cfg.n_slots)
		return -ERANGE;
	s = &r->slots[slot];
	if (s->held)
		return -EBUSY;
	if (!clean || !s->imported || s->import_failed) {
		br_registrar_drop(r, slot);
		s->refuse_until_us = now_us + r->cfg.window_us;
		s->takeover_wall_ms = wall_ms;
	}
	s->imported = false;
	s->import_failed = false;
	s->held = true;
	return 0;
}

void br_registrar_close(struct br_registrar *r, uint32_t slot)
{
	if (!br_registrar_held(r, slot))
		return;
	r->slots[slot].held = false;
	r->slots[slot].closed = true;
}

int br_registrar_reopen(struct br_registrar *r, uint32_t slot)
{
	if (slot >= r->cfg.n_slots || !r->slots[slot].closed)
		return -ENOENT;
	r->slots[slot].closed = false;
	r->slots[slot].held = true;
	return 0;
}

/* Checks the refusal window: BR_CLAIM_GRANTED if a new claim is accepted, else the refusal. */
static struct br_claim_reply check_new_claim(const struct br_registrar *r, uint32_t slot,
					     const struct br_claim_key *key, bool first,
					     uint64_t now_us)
{
	const struct registrar_slot *s = &r->slots[slot];
	struct br_claim_reply rep = {.result = BR_CLAIM_GRANTED};
	uint64_t time_ms;

	if (now_us >= s->refuse_until_us || first)
		return rep;
	if (br_uuid7_time_ms(key->id, &time_ms) &&
	    time_ms > s->takeover_wall_ms + r->cfg.clock_skew_ms)
		return rep;
	rep.result = BR_CLAIM_NO_HISTORY;
	rep.retry_after_us = s->refuse_until_us - now_us;
	return rep;
}

static struct br_claim_reply add_claim(struct br_registrar *r, uint32_t slot,
				       const struct br_claim_key *key, bool first,
				       const struct br_claim_location *where, uint64_t now_us)
{
	struct br_claim_reply rep = check_new_claim(r, slot, key, first, now_us);

	if (rep.result != BR_CLAIM_GRANTED)
		return rep;
	if (!make_room(r, now_us) || !store_claim(r, slot, key, where, now_us + r->cfg.window_us))
		rep.result = BR_CLAIM_FULL;
	return rep;
}

static struct br_claim_reply replace_claim(struct br_registrar *r, uint32_t slot,
					   const struct br_claim_key *key,
					   const struct br_claim_location *where, uint64_t now_us)
{
	struct br_claim_reply rep = {.result = BR_CLAIM_GRANTED};

	if (!store_claim(r, slot, key, where, now_us + r->cfg.window_us))
		rep.result = BR_CLAIM_FULL;
	return rep;
}

static struct br_claim_reply reply_held_by_other(struct br_registrar *r, struct claim *c,
						 uint64_t now_us)
{
	struct br_claim_reply rep = {.result = BR_CLAIM_RUNS_AT};

	claim_location(c, &rep.location);
	if (!rep.location.node.text[0])
		rep.result = BR_CLAIM_DISPATCHING;
	refresh_claim(r, c, now_us);
	return rep;
}

static bool holds_slot_of_key(const struct br_registrar *r, uint32_t slot,
			      const struct br_claim_key *key)
{
	return br_registrar_held(r, slot) && br_registrar_slot_of(key, r->cfg.n_slots) == slot;
}

/*
 * True if the attempt is the released one of claim c or an earlier one of the same process, so that
 * its message is late.
 */
static bool is_released_or_earlier(const struct claim *c, const struct br_attempt_id *attempt)
{
	return claim_from_process(c, attempt) && attempt->counter <= c->counter;
}

struct br_claim_reply br_registrar_claim(struct br_registrar *r, uint32_t slot,
					 const struct br_claim_key *key, bool first,
					 const struct br_claim_location *where, uint64_t now_us)
{
	struct claim *c;

	if (!holds_slot_of_key(r, slot, key))
		return (struct br_claim_reply){.result = BR_CLAIM_NOT_HOLDER};
	c = find_live_claim(r, slot, key, now_us);
	if (!c)
		return add_claim(r, slot, key, first, where, now_us);
	if (c->released) {
		if (is_released_or_earlier(c, &where->attempt))
			return (struct br_claim_reply){.result = BR_CLAIM_RELEASED};
		return replace_claim(r, slot, key, where, now_us);
	}
	if (!claim_held_by(c, &where->attempt))
		return reply_held_by_other(r, c, now_us);
	refresh_claim(r, c, now_us);
	return (struct br_claim_reply){.result = BR_CLAIM_GRANTED};
}

struct br_claim_reply br_registrar_move(struct br_registrar *r, uint32_t slot,
					const struct br_claim_key *key,
					const struct br_attempt_id *from,
					const struct br_claim_location *to, uint64_t now_us)
{
	struct claim *c;

	if (!holds_slot_of_key(r, slot, key) || !br_attempt_same_entry(from, &to->attempt))
		return (struct br_claim_reply){.result = BR_CLAIM_NOT_HOLDER};
	c = find_live_claim(r, slot, key, now_us);
	if (!c)
		return add_claim(r, slot, key, false, to, now_us);
	if (c->released) {
		if (is_released_or_earlier(c, from))
			return (struct br_claim_reply){.result = BR_CLAIM_RELEASED};
		return replace_claim(r, slot, key, to, now_us);
	}
	if (!claim_held_by(c, from) && !claim_held_by(c, &to->attempt))
		return reply_held_by_other(r, c, now_us);
	return replace_claim(r, slot, key, to, now_us);
}

int br_registrar_release(struct br_registrar *r, uint32_t slot, const struct br_claim_key *key,
			 const struct br_attempt_id *attempt, uint64_t now_us)
{
	struct br_claim_location where = {.attempt = *attempt};
	struct claim *c;

	if (!holds_slot_of_key(r, slot, key))
		return -ENOENT;
	c = find_live_claim(r, slot, key, now_us);
	if (c && c->released)
		return 0;
	if (c && !claim_held_by(c, attempt))
		return -EPERM;
	/*
	 * During the refusal window, the release of an id without a stored claim does not prove
	 * that the id is free: an earlier attempt may have run under the former holder.
	 */
	if (!c && check_new_claim(r, slot, key, false, now_us).result == BR_CLAIM_GRANTED &&
	    make_room(r, now_us) && store_claim(r, slot, key, &where, now_us + r->cfg.window_us))
		c = find_claim(r, key);
	if (c)
		mark_released(r, c, now_us);
	return 0;
}

void br_registrar_export_slot(const struct br_registrar *r, uint32_t slot, uint64_t now_us,
			      struct br_claim_slot *out)
{
	const struct registrar_slot *s = &r->slots[slot];

	out->refuse_remaining_us = s->refuse_until_us > now_us ? s->refuse_until_us - now_us : 0;
	out->takeover_wall_ms = s->takeover_wall_ms;
}

static void export_claim(const struct claim *c, uint64_t now_us, struct br_claim_record *out)
{
	*out = (struct br_claim_record){.released = c->released};
	br_copy_text(out->account, sizeof(out->account), claim_account(c));
	br_copy_text(out->id, sizeof(out->id), claim_id(c));
	claim_location(c, &out->location);
	out->remaining_us = c->expires_us > now_us ? c->expires_us - now_us : 0;
}

size_t br_registrar_export(const struct br_registrar *r, uint32_t slot,
			   struct br_claim_cursor *cursor, struct br_claim_record *out, size_t max,
			   uint64_t now_us)
{
	const struct claim *c;
	size_t n = 0;

	if (slot >= r->cfg.n_slots || !r->slots[slot].closed)
		return 0;
	c = cursor->started ? cursor->next : TAILQ_FIRST(&r->slots[slot].claims);
	cursor->started = true;
	for (; c && n < max; c = TAILQ_NEXT(c, link))
		export_claim(c, now_us, &out[n++]);
	cursor->next = c;
	return n;
}

static int import_claim(struct br_registrar *r, uint32_t slot, const struct br_claim_record *in,
			uint64_t now_us)
{
	struct br_claim_key key = {.account = in->account, .id = in->id};
	struct claim *c;

	if (br_registrar_slot_of(&key, r->cfg.n_slots) != slot)
		return -EINVAL;
	if (!in->remaining_us)
		return 0;
	if (!make_room(r, now_us) ||
	    !store_claim(r, slot, &key, &in->location, now_us + in->remaining_us))
		return -ENOSPC;
	if (in->released) {
		c = find_claim(r, &key);
		c->released = true;
		TAILQ_INSERT_TAIL(&r->released, c, released_link);
	}
	return 0;
}

int br_registrar_import_slot(struct br_registrar *r, uint32_t slot, const struct br_claim_slot *in,
			     uint64_t now_us)
{
	struct registrar_slot *s;

	if (slot >= r->cfg.n_slots)
		return -ERANGE;
	s = &r->slots[slot];
	if (s->held)
		return -EBUSY;
	br_registrar_drop(r, slot);
	s->refuse_until_us = now_us + in->refuse_remaining_us;
	s->takeover_wall_ms = in->takeover_wall_ms;
	s->imported = true;
	return 0;
}

int br_registrar_import(struct br_registrar *r, uint32_t slot, const struct br_claim_record *in,
			size_t n, uint64_t now_us)
{
	int ret = 0;

	if (slot >= r->cfg.n_slots || !r->slots[slot].imported)
		return -EPERM;
	for (size_t i = 0; !ret && i < n; i++)
		ret = import_claim(r, slot, &in[i], now_us);
	if (ret)
		r->slots[slot].import_failed = true;
	return ret;
}

uint32_t br_registrar_count(const struct br_registrar *r)
{
	return r->n_claims;
}
