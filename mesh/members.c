#include "mesh/members.h"

#include "common/clock.h"
#include "common/json.h"
#include "mesh/event_log.h"

#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 250
#define IDLE_MS 10000
#define IDLE_MAX 8
#define ANSWER_HEADER_BYTES 65536
/*
 * An entry may expire because its node cannot reach the store. The node itself decides which
 * requests its target gets, so a missing member is used for as long as it answers. It is removed
 * this long after both the expiry and its last answer, and only when no connection to it is open.
 */
#define MISSING_RETENTION_US (2000 * BR_US_PER_MS)

/* Longest time for which a target may be announced as slow after its start. */
#define COLD_MAX_MS (10 * 60 * 1000)

struct member_entry {
	struct member member;
	uint64_t put_us;
};

struct members {
	struct board *board;
	struct member_entry **entries;
	size_t n;
	uint32_t forgotten_change;
};

struct members *members_create(struct board *board)
{
	struct members *ms = xcalloc(1, sizeof(*ms));

	ms->board = board;
	return ms;
}

static void free_entry(struct members *ms, struct member_entry *e)
{
	br_balance_remove(ms->board->balance, &e->member.id);
	conn_pool_destroy(e->member.pool);
	free(e);
}

void members_destroy(struct members *ms)
{
	if (!ms)
		return;
	for (size_t i = 0; i < ms->n; i++)
		free_entry(ms, ms->entries[i]);
	free(ms->entries);
	free(ms);
}

static const char *phase_text(enum target_phase phase)
{
	switch (phase) {
	case TARGET_SERVING:
		return "serving";
	case TARGET_LEAVING:
		return "leaving";
	case TARGET_ABSENT:
	case TARGET_CLOSED:
		break;
	}
	return "none";
}

static struct json_object *entry_json(const char *addr, const char *zone,
				      const struct target_status *target, enum target_phase phase)
{
	struct json_object *o = json_object_new_object();
	uint64_t now_us = clock_now_us();

	json_object_object_add(o, "address", json_object_new_string(addr));
	json_object_object_add(o, "zone", json_object_new_string(zone));
	json_object_object_add(o, "phase", json_object_new_string(phase_text(phase)));
	json_object_object_add(o, "target", json_object_new_string(target->id));
	json_object_object_add(o, "service", json_object_new_string(target->service));
	json_object_object_add(o, "slots", json_object_new_int((int32_t)target->slots));
	if (target->cold_until_us > now_us)
		json_object_object_add(
			o, "cold_ms",
			json_object_new_uint64((target->cold_until_us - now_us) / BR_US_PER_MS));
	return o;
}

struct json_object *members_entry_json(const struct member *m)
{
	return entry_json(m->id.text, m->zone, &m->target, m->target.phase);
}

void members_write_entry(struct buf *b, const struct mesh_settings *s,
			 const struct target_status *target, bool stopping)
{
	struct json_object *o;
	char addr[BR_NODE_ID_BYTES];

	mesh_format_addr(&s->peer_addr, addr, sizeof(addr));
	o = entry_json(addr, s->zone, target, stopping ? TARGET_CLOSED : target->phase);
	buf_append_text(b, json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
}

/* Copies a text member; "" if it is missing. Returns false if it is too long. */
static bool copy_member(struct json_object *o, const char *name, char *out, size_t out_bytes)
{
	const char *text = json_member_text(o, name);

	return br_copy_text(out, out_bytes, text ? text : "");
}

static const char *text_or_empty(struct json_object *o, const char *name)
{
	const char *text = json_member_text(o, name);

	return text ? text : "";
}

static enum target_phase parse_phase(const char *text)
{
	if (!strcmp(text, "serving"))
		return TARGET_SERVING;
	return !strcmp(text, "leaving") ? TARGET_LEAVING : TARGET_CLOSED;
}

static bool parse_members(struct json_object *o, struct member *out)
{
	struct target_status *target = &out->target;
	uint64_t slots = 0, cold_ms = 0;

	json_member_u64(o, "slots", &slots);
	json_member_u64(o, "cold_ms", &cold_ms);
	if (slots > UINT16_MAX || cold_ms > COLD_MAX_MS ||
	    !copy_member(o, "address", out->id.text, sizeof(out->id.text)) ||
	    mesh_parse_addr(out->id.text, &out->addr) ||
	    !copy_member(o, "zone", out->zone, sizeof(out->zone)) ||
	    !copy_member(o, "target", target->id, sizeof(target->id)) ||
	    !copy_member(o, "service", target->service, sizeof(target->service)))
		return false;
	target->slots = (uint32_t)slots;
	target->cold_until_us = clock_now_us() + cold_ms * BR_US_PER_MS;
	target->phase = parse_phase(text_or_empty(o, "phase"));
	/* A target that accepts requests has an id, a service and slots. */
	return target->phase == TARGET_CLOSED || (*target->id && *target->service && slots);
}

static bool parse_entry(const char *value, size_t len, struct member *out)
{
	struct json_object *o = json_parse_object(value, len);
	bool ok = o && parse_members(o, out);

	json_object_put(o);
	return ok;
}

static struct member_entry *find(struct members *ms, const char *node)
{
	for (size_t i = 0; i < ms->n; i++)
		if (!strcmp(ms->entries[i]->member.node, node))
			return ms->entries[i];
	return NULL;
}

static struct conn_pool *create_pool(struct members *ms, const struct sockaddr_in *addr)
{
	struct conn_pool_cfg cfg = {
		.addr = *addr,
		.limits = board_message_limits(ms->board, ANSWER_HEADER_BYTES),
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.idle_ms = IDLE_MS,
		.idle_max = IDLE_MAX,
	};

	return conn_pool_create(ms->board->loop, &cfg);
}

static struct member_entry *add(struct members *ms, const char *node, const struct member *m)
{
	struct member_entry *e = xcalloc(1, sizeof(*e));

	e->member.joined_us = clock_now_us();
	e->member.self = !strcmp(node, ms->board->settings->node);
	br_copy_text(e->member.node, sizeof(e->member.node), node);
	e->member.pool = create_pool(ms, &m->addr);
	ms->entries = realloc(ms->entries, (ms->n + 1) * sizeof(struct member_entry *));
	BR_INVARIANT(ms->entries);
	ms->entries[ms->n++] = e;
	return e;
}

static void set_missing(struct members *ms, struct member_entry *e)
{
	if (e->member.missing_us)
		return;
	e->member.missing_us = clock_now_us();
	e->member.last_change = ms->board->view_changes + 1;
	EVENT(EVENT_INFO, "members", "missing", EVENT_TEXT("member", e->member.node),
	      EVENT_TEXT("target", e->member.target.id));
}

/* Tests whether an entry says nothing that other nodes would have to know. */
static bool is_known(const struct member *known, const struct member *entry)
{
	const struct target_status *a = &known->target, *b = &entry->target;
	uint64_t now_us = clock_now_us();

	/* A target may start again under its id, and is cold again then. */
	if (b->cold_until_us > now_us && a->cold_until_us <= now_us)
		return false;
	return !known->missing_us && known->last_change && !strcmp(known->zone, entry->zone) &&
	       a->phase == b->phase && a->slots == b->slots && !strcmp(a->id, b->id) &&
	       !strcmp(a->service, b->service);
}

bool members_put(struct members *ms, const char *node, const char *value, size_t len)
{
	struct member parsed = {0};
	struct member_entry *e = find(ms, node);

	if (!*node || strlen(node) >= BR_NAME_BYTES || !parse_entry(value, len, &parsed)) {
		EVENT(EVENT_WARNING, "members", "entry_unreadable", EVENT_TEXT("member", node),
		      EVENT_NUMBER("bytes", len));
		return false;
	}
	if (e && memcmp(&e->member.addr, &parsed.addr, sizeof(parsed.addr)) != 0) {
		/* Another VM took over the name; requests to the former VM may be in flight. */
		set_missing(ms, e);
		e->member.node[0] = '\0';
		e->member.target.phase = TARGET_CLOSED;
		e = NULL;
	}
	if (!e)
		e = add(ms, node, &parsed);
	if (!is_known(&e->member, &parsed))
		e->member.last_change = ms->board->view_changes + 1;
	if (e->member.target.phase != parsed.target.phase ||
	    strcmp(e->member.target.id, parsed.target.id) != 0 || e->member.missing_us)
		EVENT(EVENT_INFO, "members", "entry", EVENT_TEXT("member", node),
		      EVENT_TEXT("address", parsed.id.text), EVENT_TEXT("target", parsed.target.id),
		      EVENT_TEXT("phase", phase_text(parsed.target.phase)));
	br_copy_text(e->member.zone, sizeof(e->member.zone), parsed.zone);
	e->member.id = parsed.id;
	e->member.addr = parsed.addr;
	e->member.target = parsed.target;
	e->member.missing_us = 0;
	e->put_us = clock_now_us();
	return true;
}

void members_set_missing(struct members *ms, const char *node)
{
	struct member_entry *e = find(ms, node);

	if (e)
		set_missing(ms, e);
}

void members_set_missing_if_older(struct members *ms, uint64_t since_us)
{
	for (size_t i = 0; i < ms->n; i++)
		if (ms->entries[i]->put_us < since_us)
			set_missing(ms, ms->entries[i]);
}

static bool is_retained(const struct member *m, uint64_t now_us)
{
	return !m->missing_us || now_us - m->missing_us < MISSING_RETENTION_US ||
	       now_us - m->answered_us < MISSING_RETENTION_US || conn_pool_open_count(m->pool) > 0;
}

void members_sweep(struct members *ms)
{
	uint64_t now_us = clock_now_us();
	size_t out = 0;

	for (size_t i = 0; i < ms->n; i++) {
		struct member_entry *e = ms->entries[i];

		conn_pool_sweep(e->member.pool);
		if (is_retained(&e->member, now_us)) {
			ms->entries[out++] = e;
			continue;
		}
		if (e->member.last_change > ms->forgotten_change)
			ms->forgotten_change = e->member.last_change;
		EVENT(EVENT_INFO, "members", "removed", EVENT_TEXT("member", e->member.node),
		      EVENT_TEXT("target", e->member.target.id));
		free_entry(ms, e);
	}
	ms->n = out;
}

uint32_t members_forgotten_change(const struct members *ms)
{
	return ms->forgotten_change;
}

size_t members_count(const struct members *ms)
{
	return ms->n;
}

struct member *members_at(struct members *ms, size_t i)
{
	return &ms->entries[i]->member;
}

struct member *members_by_host(struct members *ms, struct in_addr host)
{
	for (size_t i = 0; i < ms->n; i++)
		if (ms->entries[i]->member.addr.sin_addr.s_addr == host.s_addr)
			return &ms->entries[i]->member;
	return NULL;
}

struct member *members_by_name(struct members *ms, const char *node)
{
	struct member_entry *e = find(ms, node);

	return e ? &e->member : NULL;
}
