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
#define ANSWER_BODY_BYTES (64ULL * 1024 * 1024)
/*
 * An entry may lapse because its node cannot reach the store. The node itself decides what its
 * target gets, so it is asked for as long as it answers.
 */
#define MISSING_KEPT_US (2000 * BR_US_PER_MS)

struct slot {
	struct member member;
	uint64_t put_us;
};

struct members {
	struct board *board;
	struct slot **slots;
	size_t n;
};

struct members *members_create(struct board *board)
{
	struct members *ms = xcalloc(1, sizeof(*ms));

	ms->board = board;
	return ms;
}

static void free_slot(struct members *ms, struct slot *s)
{
	br_balance_forget(ms->board->balance, &s->member.id);
	conn_pool_destroy(s->member.pool);
	free(s);
}

void members_destroy(struct members *ms)
{
	if (!ms)
		return;
	for (size_t i = 0; i < ms->n; i++)
		free_slot(ms, ms->slots[i]);
	free(ms->slots);
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
	case TARGET_GONE:
		break;
	}
	return "none";
}

static struct json_object *entry_of(const char *addr, const char *zone,
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

struct json_object *members_entry(const struct member *m)
{
	return entry_of(m->id.text, m->zone, &m->target, m->target.phase);
}

void members_write_entry(struct buf *b, const struct mesh_settings *s,
			 const struct target_status *target, bool stopping)
{
	struct json_object *o;
	char addr[BR_NODE_ID_BYTES];

	mesh_format_addr(&s->peer_addr, addr, sizeof(addr));
	o = entry_of(addr, s->zone, target, stopping ? TARGET_GONE : target->phase);
	buf_text(b, json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
}

static const char *text_of(struct json_object *o, const char *name)
{
	const char *text = json_member_text(o, name);

	return text ? text : "";
}

static enum target_phase phase_of(const char *text)
{
	if (!strcmp(text, "serving"))
		return TARGET_SERVING;
	return !strcmp(text, "leaving") ? TARGET_LEAVING : TARGET_GONE;
}

static bool read_entry(const char *value, size_t len, struct member *out)
{
	struct json_object *o = json_parse_object(value, len);
	uint64_t slots = 0, cold_ms = 0;

	if (!o || mesh_parse_addr(text_of(o, "address"), &out->addr)) {
		json_object_put(o);
		return false;
	}
	json_member_u64(o, "slots", &slots);
	json_member_u64(o, "cold_ms", &cold_ms);
	br_copy_text(out->id.text, sizeof(out->id.text), text_of(o, "address"));
	br_copy_text(out->zone, sizeof(out->zone), text_of(o, "zone"));
	br_copy_text(out->target.id, sizeof(out->target.id), text_of(o, "target"));
	br_copy_text(out->target.service, sizeof(out->target.service), text_of(o, "service"));
	out->target.slots = (uint32_t)slots;
	out->target.cold_until_us = clock_now_us() + cold_ms * BR_US_PER_MS;
	out->target.phase = phase_of(text_of(o, "phase"));
	json_object_put(o);
	return true;
}

static struct slot *find(struct members *ms, const char *node)
{
	for (size_t i = 0; i < ms->n; i++)
		if (!strcmp(ms->slots[i]->member.node, node))
			return ms->slots[i];
	return NULL;
}

static struct conn_pool *create_pool(struct members *ms, const struct sockaddr_in *addr)
{
	struct conn_pool_cfg cfg = {
		.addr = *addr,
		.limits = {.header_bytes = ANSWER_HEADER_BYTES, .body_bytes = ANSWER_BODY_BYTES},
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.idle_ms = IDLE_MS,
		.idle_max = IDLE_MAX,
	};

	return conn_pool_create(ms->board->loop, &cfg);
}

static struct slot *add(struct members *ms, const char *node, const struct member *m)
{
	struct slot *s = xcalloc(1, sizeof(*s));

	s->member.joined_us = clock_now_us();
	s->member.self = !strcmp(node, ms->board->settings->node);
	br_copy_text(s->member.node, sizeof(s->member.node), node);
	s->member.pool = create_pool(ms, &m->addr);
	ms->slots = realloc(ms->slots, (ms->n + 1) * sizeof(struct slot *));
	BR_INVARIANT(ms->slots);
	ms->slots[ms->n++] = s;
	return s;
}

static void set_missing(struct members *ms, struct slot *s)
{
	if (s->member.missing_us)
		return;
	s->member.missing_us = clock_now_us();
	s->member.changed = ms->board->view_changes + 1;
	EVENT(EVENT_INFO, "members", "missing", EVENT_TEXT("member", s->member.node),
	      EVENT_TEXT("target", s->member.target.id));
}

void members_put(struct members *ms, const char *node, const char *value, size_t len)
{
	struct member read = {0};
	struct slot *s = find(ms, node);

	if (!read_entry(value, len, &read)) {
		EVENT(EVENT_WARNING, "members", "entry_unreadable", EVENT_TEXT("member", node));
		return;
	}
	if (s && memcmp(&s->member.addr, &read.addr, sizeof(read.addr)) != 0) {
		/* Another VM took the name over; requests to the old one may be under way. */
		set_missing(ms, s);
		s->member.node[0] = '\0';
		s->member.target.phase = TARGET_GONE;
		s = NULL;
	}
	if (!s)
		s = add(ms, node, &read);
	if (s->member.target.phase != read.target.phase ||
	    strcmp(s->member.target.id, read.target.id) != 0 || s->member.missing_us)
		EVENT(EVENT_INFO, "members", "entry", EVENT_TEXT("member", node),
		      EVENT_TEXT("address", read.id.text), EVENT_TEXT("target", read.target.id),
		      EVENT_TEXT("phase", phase_text(read.target.phase)));
	br_copy_text(s->member.zone, sizeof(s->member.zone), read.zone);
	s->member.id = read.id;
	s->member.addr = read.addr;
	s->member.target = read.target;
	s->member.missing_us = 0;
	s->member.changed = ms->board->view_changes + 1;
	s->put_us = clock_now_us();
}

void members_missing(struct members *ms, const char *node)
{
	struct slot *s = find(ms, node);

	if (s)
		set_missing(ms, s);
}

void members_missing_since(struct members *ms, uint64_t since_us)
{
	for (size_t i = 0; i < ms->n; i++)
		if (ms->slots[i]->put_us < since_us)
			set_missing(ms, ms->slots[i]);
}

static bool kept(const struct member *m, uint64_t now_us)
{
	return !m->missing_us || now_us - m->missing_us < MISSING_KEPT_US ||
	       now_us - m->answered_us < MISSING_KEPT_US || conn_pool_open(m->pool) > 0;
}

void members_sweep(struct members *ms)
{
	uint64_t now_us = clock_now_us();
	size_t out = 0;

	for (size_t i = 0; i < ms->n; i++) {
		struct slot *s = ms->slots[i];

		conn_pool_sweep(s->member.pool);
		if (kept(&s->member, now_us)) {
			ms->slots[out++] = s;
			continue;
		}
		EVENT(EVENT_INFO, "members", "removed", EVENT_TEXT("member", s->member.node),
		      EVENT_TEXT("target", s->member.target.id));
		free_slot(ms, s);
	}
	ms->n = out;
}

size_t members_count(const struct members *ms)
{
	return ms->n;
}

struct member *members_at(struct members *ms, size_t i)
{
	return &ms->slots[i]->member;
}

struct member *members_find(struct members *ms, const char *node)
{
	struct slot *s = find(ms, node);

	return s ? &s->member : NULL;
}
