#include "briarreel/membership.h"

#include "lib/membership_internal.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Random draws before a linear scan, for filters that match few members. */
#define PICK_TRIES 32

const char *br_member_state_name(enum br_member_state state)
{
	static const char *const names[BR_MEMBER_STATES] = {
		[BR_MEMBER_ALIVE] = "alive",	 [BR_MEMBER_DRAINING] = "draining",
		[BR_MEMBER_LEAVING] = "leaving", [BR_MEMBER_SUSPECT] = "suspect",
		[BR_MEMBER_DEAD] = "dead",
	};

	return (unsigned int)state < BR_MEMBER_STATES ? names[state] : "unknown";
}

void member_ref_put(struct member_ref *ref)
{
	if (ref && atomic_fetch_sub_explicit(&ref->refs, 1, memory_order_acq_rel) == 1)
		free(ref);
}

static struct member_ref *create_ref(const struct br_member *entry)
{
	struct member_ref *ref = malloc(sizeof(*ref));

	if (!ref)
		return NULL;
	atomic_init(&ref->refs, 1);
	ref->entry = *entry;
	return ref;
}

static size_t lower_bound(const struct br_members *m, const char *id)
{
	size_t low = 0;
	size_t high = m->n;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (strcmp(m->all[mid]->ref->entry.id.text, id) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

struct member *members_find(const struct br_members *m, const char *id)
{
	size_t pos = lower_bound(m, id);

	return pos < m->n && strcmp(m->all[pos]->ref->entry.id.text, id) == 0 ? m->all[pos] : NULL;
}

static size_t bucket_of(const struct br_member *entry)
{
	return br_hash_str(entry->id.text, 0) % BR_MEMBERS_BUCKETS;
}

/*
 * Adds an entry to the digest or removes it again. Dead members are not included, because nodes
 * remove them from their tables at different times.
 */
static void toggle_digest(struct br_members *m, const struct br_member *entry)
{
	uint64_t hashed_fields[2] = {entry->incarnation, (uint64_t)entry->state};

	if (entry->state != BR_MEMBER_DEAD)
		m->digests[bucket_of(entry)] ^= br_hash64(hashed_fields, sizeof(hashed_fields),
							  br_hash_str(entry->id.text, 1));
}

/* Number of times that each change is sent, 3*log2(n). */
static uint8_t max_sends(const struct br_members *m)
{
	uint8_t log2 = 1;

	while (((size_t)1 << log2) < m->n)
		log2++;
	return (uint8_t)(3 * log2);
}

static void queue_update(struct br_members *m, struct member *member)
{
	if (member->queued)
		TAILQ_REMOVE(&m->updates[member->sends], member, update_link);
	member->sends = 0;
	member->queued = true;
	TAILQ_INSERT_TAIL(&m->updates[0], member, update_link);
}

static void unqueue_update(struct br_members *m, struct member *member)
{
	if (member->queued)
		TAILQ_REMOVE(&m->updates[member->sends], member, update_link);
	member->queued = false;
}

void members_update_timed(struct br_members *m, struct member *member)
{
	bool timed = member->stage != PROBE_NONE || member->state_deadline_us;

	if (timed == (member->timed_index != MEMBERS_NOT_TIMED))
		return;
	if (timed) {
		member->timed_index = (uint32_t)m->n_timed;
		m->timed[m->n_timed++] = member;
		return;
	}
	m->timed[member->timed_index] = m->timed[--m->n_timed];
	m->timed[member->timed_index]->timed_index = member->timed_index;
	member->timed_index = MEMBERS_NOT_TIMED;
}

static void set_state_deadline(struct br_members *m, struct member *member, uint64_t now_us)
{
	switch (member->ref->entry.state) {
	case BR_MEMBER_SUSPECT:
		member->state_deadline_us = now_us + m->settings.suspect_ms * BR_US_PER_MS;
		break;
	case BR_MEMBER_DEAD:
		member->state_deadline_us = now_us + m->settings.forget_s * BR_US_PER_S;
		break;
	default:
		member->state_deadline_us = 0;
		break;
	}
	members_update_timed(m, member);
}

/* Replaces a member's entry; a member that is being inserted has none yet. */
static int set_entry(struct br_members *m, struct member *member, const struct br_member *entry,
		     uint64_t now_us)
{
	struct member_ref *before = member->ref;
	struct member_ref *after = create_ref(entry);

	if (!after)
		return -ENOMEM;
	member->ref = after;
	if (before) {
		toggle_digest(m, &before->entry);
		m->n_state[before->entry.state]--;
		/* A probe that was sent to an earlier incarnation does not apply to the new one. */
		if (before->entry.incarnation != entry->incarnation)
			member->stage = PROBE_NONE;
	}
	toggle_digest(m, entry);
	m->n_state[entry->state]++;
	m->view_stale = true;
	member->send_to_member = false;
	set_state_deadline(m, member, now_us);
	if (m->listener)
		m->listener(before ? &before->entry : NULL, &after->entry, m->listener_arg);
	member_ref_put(before);
	return 0;
}

static bool grow(struct br_members *m)
{
	size_t cap = m->cap ? m->cap * 2 : 64;
	struct member **all;
	struct member **timed;

	if (m->n < m->cap)
		return true;
	all = realloc(m->all, cap * sizeof(struct member *));
	if (!all)
		return false;
	m->all = all;
	timed = realloc(m->timed, cap * sizeof(struct member *));
	if (!timed)
		return false;
	m->timed = timed;
	m->cap = cap;
	return true;
}

static struct member *insert(struct br_members *m, const struct br_member *entry, uint64_t now_us)
{
	struct member *member = grow(m) ? calloc(1, sizeof(*member)) : NULL;
	size_t pos = lower_bound(m, entry->id.text);

	if (!member)
		return NULL;
	member->timed_index = MEMBERS_NOT_TIMED;
	if (set_entry(m, member, entry, now_us)) {
		free(member);
		return NULL;
	}
	memmove(m->all + pos + 1, m->all + pos, (m->n - pos) * sizeof(struct member *));
	m->all[pos] = member;
	m->n++;
	return member;
}

void members_remove(struct br_members *m, struct member *member)
{
	size_t pos = lower_bound(m, member->ref->entry.id.text);

	BR_INVARIANT(m->all[pos] == member && member != m->self);
	memmove(m->all + pos, m->all + pos + 1, (m->n - pos - 1) * sizeof(struct member *));
	m->n--;
	toggle_digest(m, &member->ref->entry);
	m->n_state[member->ref->entry.state]--;
	m->view_stale = true;
	unqueue_update(m, member);
	member->stage = PROBE_NONE;
	member->state_deadline_us = 0;
	members_update_timed(m, member);
	if (m->listener)
		m->listener(&member->ref->entry, NULL, m->listener_arg);
	member_ref_put(member->ref);
	free(member);
}

static bool text_valid(const char *text, size_t bytes, bool may_be_empty)
{
	return memchr(text, '\0', bytes) && (may_be_empty || text[0]);
}

static bool entry_valid(const struct br_member *e)
{
	return text_valid(e->id.text, sizeof(e->id.text), false) &&
	       text_valid(e->zone, sizeof(e->zone), false) &&
	       text_valid(e->control_address, sizeof(e->control_address), false) &&
	       text_valid(e->service, sizeof(e->service), true) &&
	       text_valid(e->caller_address, sizeof(e->caller_address), true) &&
	       (unsigned int)e->state < BR_MEMBER_STATES && e->incarnation > 0 &&
	       e->incarnation <= BR_MEMBERS_MAX_INCARNATION;
}

static uint32_t value_or_default(uint32_t value, uint32_t default_value)
{
	return value ? value : default_value;
}

static void apply_settings(struct br_members *m, const struct br_members_settings *s)
{
	static const struct br_members_settings none;

	s = s ? s : &none;
	m->settings.probe_interval_ms = value_or_default(s->probe_interval_ms, 500);
	m->settings.probe_timeout_ms = value_or_default(s->probe_timeout_ms, 300);
	m->settings.suspect_ms = value_or_default(s->suspect_ms, 2000);
	m->settings.dead_probe_ms = value_or_default(s->dead_probe_ms, 5000);
	m->settings.forget_s = value_or_default(s->forget_s, 3600);
	m->settings.own_zone_percent = value_or_default(s->own_zone_percent, 70);
}

struct br_members *br_members_create(const struct br_member *self,
				     const struct br_members_settings *settings, uint64_t seed)
{
	struct br_members *m = calloc(1, sizeof(*m));
	struct br_member entry = *self;

	if (!m)
		return NULL;
	for (size_t i = 0; i < MEMBERS_UPDATE_QUEUES; i++)
		TAILQ_INIT(&m->updates[i]);
	br_rng_seed(&m->rng, seed);
	apply_settings(m, settings);
	m->view_stale = true;
	entry.instance = entry.incarnation;
	if (entry_valid(&entry) && entry.state < BR_MEMBER_SUSPECT)
		m->self = insert(m, &entry, 0);
	if (!m->self) {
		br_members_destroy(m);
		return NULL;
	}
	queue_update(m, m->self);
	return m;
}

void br_members_destroy(struct br_members *m)
{
	if (!m)
		return;
	for (size_t i = 0; i < m->n; i++) {
		member_ref_put(m->all[i]->ref);
		free(m->all[i]);
	}
	br_members_view_put(m->view);
	free(m->all);
	free(m->timed);
	free(m);
}

void br_members_set_listener(struct br_members *m, br_members_listener fn, void *arg)
{
	m->listener = fn;
	m->listener_arg = arg;
}

const struct br_member *br_members_self(const struct br_members *m)
{
	return &m->self->ref->entry;
}

static int update_self(struct br_members *m, const struct br_member *entry)
{
	int ret = set_entry(m, m->self, entry, 0);

	if (!ret)
		queue_update(m, m->self);
	return ret;
}

int br_members_set_self(struct br_members *m, enum br_member_state state, const char *service,
			bool target_present, uint32_t flags)
{
	struct br_member entry = m->self->ref->entry;

	if ((unsigned int)state >= BR_MEMBER_SUSPECT || strlen(service) >= BR_NAME_BYTES)
		return -EINVAL;
	if (entry.state == state && strcmp(entry.service, service) == 0 &&
	    entry.target_present == target_present && entry.flags == flags)
		return 0;
	entry.state = state;
	br_copy_text(entry.service, sizeof(entry.service), service);
	entry.target_present = target_present;
	entry.flags = flags;
	entry.incarnation++;
	return update_self(m, &entry);
}

/* Orders two entries of a member: negative if a is older than b, positive if it is newer. */
static int compare_entries(const struct br_member *a, const struct br_member *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation < b->incarnation ? -1 : 1;
	return (int)a->state - (int)b->state;
}

/* Merges an entry of this node: one that is newer or of another process is refuted. */
static int merge_self(struct br_members *m, const struct br_member *entry)
{
	struct br_member self = m->self->ref->entry;
	int order = compare_entries(entry, &self);
	int ret;

	if (order < 0)
		return BR_MEMBERS_OLDER;
	/* An equal entry with another instance is of a former process at this address. */
	if (order == 0 && entry->instance == self.instance)
		return BR_MEMBERS_UNCHANGED;
	self.incarnation = entry->incarnation + 1;
	ret = update_self(m, &self);
	return ret ? ret : BR_MEMBERS_REFUTED;
}

static int merge_new(struct br_members *m, const struct br_member *entry,
		     enum br_members_source source, uint64_t now_us)
{
	struct member *member;

	if (entry->state == BR_MEMBER_DEAD)
		return BR_MEMBERS_UNCHANGED;
	if (m->n >= BR_MEMBERS_MAX)
		return -ENOSPC;
	member = insert(m, entry, now_us);
	if (!member)
		return -ENOMEM;
	if (source == BR_MEMBERS_GOSSIP)
		queue_update(m, member);
	return BR_MEMBERS_CHANGED;
}

int br_members_merge(struct br_members *m, const struct br_member *entry,
		     enum br_members_source source, uint64_t now_us)
{
	struct member *member;
	int order;
	int ret;

	if (!entry_valid(entry))
		return -EINVAL;
	member = members_find(m, entry->id.text);
	if (!member)
		return merge_new(m, entry, source, now_us);
	if (member == m->self)
		return merge_self(m, entry);
	order = compare_entries(entry, &member->ref->entry);
	if (order < 0)
		member->send_to_member = true;
	if (order <= 0)
		return order < 0 ? BR_MEMBERS_OLDER : BR_MEMBERS_UNCHANGED;
	ret = set_entry(m, member, entry, now_us);
	if (ret)
		return ret;
	queue_update(m, member);
	return BR_MEMBERS_CHANGED;
}

int members_set_state(struct br_members *m, struct member *member, enum br_member_state state,
		      uint64_t now_us)
{
	struct br_member entry = member->ref->entry;
	int ret;

	BR_INVARIANT(member != m->self && state > entry.state);
	entry.state = state;
	ret = set_entry(m, member, &entry, now_us);
	if (!ret)
		queue_update(m, member);
	return ret;
}

/* Adds a member to the current pick unless it was already added. */
static bool add_to_pick(struct br_members *m, struct member *member, struct br_member *out)
{
	if (member->last_pick == m->current_pick)
		return false;
	member->last_pick = m->current_pick;
	*out = member->ref->entry;
	return true;
}

static void count_send(struct br_members *m, struct member *member)
{
	TAILQ_REMOVE(&m->updates[member->sends], member, update_link);
	member->sends++;
	member->queued = member->sends < max_sends(m);
	if (member->queued)
		TAILQ_INSERT_TAIL(&m->updates[member->sends], member, update_link);
}

/* Picks the peer's own entry if the peer may have to refute it. Returns the number of entries. */
static size_t pick_entry_of_peer(struct br_members *m, const struct br_node_id *peer,
				 struct br_member *out)
{
	struct member *member = peer ? members_find(m, peer->text) : NULL;

	if (!member || member == m->self ||
	    !(member->send_to_member || member->ref->entry.state >= BR_MEMBER_SUSPECT))
		return 0;
	member->send_to_member = false;
	return add_to_pick(m, member, out);
}

size_t br_members_pick_updates(struct br_members *m, const struct br_node_id *peer,
			       struct br_member *out, size_t max)
{
	size_t n = 0;

	m->current_pick++;
	if (max)
		n = pick_entry_of_peer(m, peer, out);
	for (size_t i = 0; i < MEMBERS_UPDATE_QUEUES; i++) {
		struct member *member = TAILQ_FIRST(&m->updates[i]);

		while (member && n < max) {
			struct member *next = TAILQ_NEXT(member, update_link);

			if (add_to_pick(m, member, &out[n])) {
				n++;
				count_send(m, member);
			}
			member = next;
		}
	}
	return n;
}

uint64_t br_members_digest(const struct br_members *m)
{
	uint64_t digest = 0;

	for (size_t i = 0; i < BR_MEMBERS_BUCKETS; i++)
		digest ^= m->digests[i];
	return digest;
}

void br_members_bucket_digests(const struct br_members *m, uint64_t out[BR_MEMBERS_BUCKETS])
{
	memcpy(out, m->digests, sizeof(m->digests));
}

uint64_t br_members_differing_buckets(const struct br_members *m,
				      const uint64_t theirs[BR_MEMBERS_BUCKETS])
{
	uint64_t buckets = 0;

	for (size_t i = 0; i < BR_MEMBERS_BUCKETS; i++)
		if (m->digests[i] != theirs[i])
			buckets |= UINT64_C(1) << i;
	return buckets;
}

void br_members_each(const struct br_members *m, uint64_t buckets, br_member_fn fn, void *arg)
{
	for (size_t i = 0; i < m->n; i++) {
		const struct br_member *entry = &m->all[i]->ref->entry;

		if (buckets == UINT64_MAX || (buckets >> bucket_of(entry) & 1))
			fn(entry, arg);
	}
}

size_t br_members_count(const struct br_members *m)
{
	return m->n;
}

size_t br_members_count_state(const struct br_members *m, enum br_member_state state)
{
	return (unsigned int)state < BR_MEMBER_STATES ? m->n_state[state] : 0;
}

bool br_members_find(const struct br_members *m, const struct br_node_id *id, struct br_member *out)
{
	const struct member *member = members_find(m, id->text);

	if (member)
		*out = member->ref->entry;
	return member != NULL;
}

bool members_is_live_peer(const struct br_members *m, const struct member *member)
{
	return member != m->self && member->ref->entry.state != BR_MEMBER_DEAD;
}

bool members_is_live_peer_in_own_zone(const struct br_members *m, const struct member *member)
{
	return members_is_live_peer(m, member) &&
	       strcmp(member->ref->entry.zone, m->self->ref->entry.zone) == 0;
}

struct member *members_pick_random(struct br_members *m,
				   bool (*fn)(const struct br_members *, const struct member *))
{
	size_t start;

	for (size_t i = 0; i < PICK_TRIES; i++) {
		struct member *member = m->all[br_rng_below(&m->rng, m->n)];

		if (fn(m, member))
			return member;
	}
	start = br_rng_below(&m->rng, m->n);
	for (size_t i = 0; i < m->n; i++) {
		struct member *member = m->all[(start + i) % m->n];

		if (fn(m, member))
			return member;
	}
	return NULL;
}

bool br_members_random(struct br_members *m, bool own_zone, struct br_member *out)
{
	struct member *member = members_pick_random(m, own_zone ? members_is_live_peer_in_own_zone
								: members_is_live_peer);

	if (member)
		*out = member->ref->entry;
	return member != NULL;
}
