#include "mesh/left_copies.h"

#include "common/clock.h"
#include "common/json.h"
#include "mesh/event_log.h"
#include "mesh/left_holder.h"
#include "mesh/left_record.h"
#include "mesh/neighbours.h"
#include "mesh/node_message.h"
#include "mesh/target.h"
#include "net/timer.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

/* Nodes that get a copy at a time; one more than is enough, since some may not answer. */
#define COPIES 3
#define COPIES_ENOUGH 2
/* Nodes among which those are chosen. */
#define CANDIDATES_MAX 32
#define CALL_TIMEOUT_MS 250
/* A node that has not taken the list is left out for this time while there are others. */
#define AVOID_US (2 * BR_US_PER_S)
/* Interval of the check whether the list is to be sent again. */
#define CHECK_MS 50
/* While the store lacks the list, its copies are renewed: the nodes that hold them may have ended. */
#define RENEW_US (1 * BR_US_PER_S)

/** A node with a copy, or one that is being sent it. */
struct copy {
	struct left_copies *owner;
	/** Empty if the place is free. */
	char node[BR_NAME_BYTES];
	struct http_call call;
	/** Value of br_left_list.changes that was sent, and that the node holds; 0 for none. */
	uint32_t sent_changes, held_changes;
	uint64_t held_us;
};

/** A node that has not taken the list lately. */
struct avoided {
	char node[BR_NAME_BYTES];
	uint64_t until_us;
};

struct left_copies {
	struct board *board;
	void (*held)(void *ctx);
	void *ctx;
	struct copy copies[COPIES];
	struct avoided avoided[CANDIDATES_MAX];
	uint32_t next_avoided;
	struct timer *timer;
};

static const struct br_left_list *list_of(const struct left_copies *c)
{
	return target_left(c->board->target);
}

uint32_t left_copies_count(const struct left_copies *c)
{
	uint32_t n = 0;

	for (int i = 0; i < COPIES; i++)
		n += *c->copies[i].node && c->copies[i].held_changes == list_of(c)->changes;
	return n;
}

uint32_t left_copies_enough(const struct left_copies *c)
{
	return neighbours_count(c->board) < COPIES_ENOUGH ? 1 : COPIES_ENOUGH;
}

static void avoid(struct left_copies *c, const char *node)
{
	struct avoided *a = &c->avoided[c->next_avoided++ % CANDIDATES_MAX];

	br_copy_text(a->node, sizeof(a->node), node);
	a->until_us = clock_now_us() + AVOID_US;
}

static bool is_avoided(const struct left_copies *c, const char *node)
{
	uint64_t now_us = clock_now_us();

	for (uint32_t i = 0; i < CANDIDATES_MAX; i++)
		if (now_us < c->avoided[i].until_us && !strcmp(c->avoided[i].node, node))
			return true;
	return false;
}

static bool has_place(const struct left_copies *c, const char *node)
{
	for (int i = 0; i < COPIES; i++)
		if (!strcmp(c->copies[i].node, node))
			return true;
	return false;
}

static void on_sent(struct http_call *call, enum http_call_result call_result, struct http_msg *msg,
		    int err)
{
	struct copy *copy = (struct copy *)((char *)call - offsetof(struct copy, call));
	struct left_copies *c = copy->owner;

	(void)call_result;
	if (msg && msg->status == 200) {
		copy->held_changes = copy->sent_changes;
		copy->held_us = clock_now_us();
	} else {
		EVENT(EVENT_WARNING, "left", "copy_refused", EVENT_TEXT("node", copy->node),
		      EVENT_NUMBER("status", msg ? msg->status : 0), EVENT_NUMBER("error", -err));
		avoid(c, copy->node);
		copy->node[0] = '\0';
		copy->held_changes = 0;
	}
	http_msg_destroy(msg);
	if (left_copies_count(c) >= left_copies_enough(c))
		c->held(c->ctx);
	left_copies_send(c);
}

static void send_copy(struct copy *copy, struct member *m)
{
	struct board *board = copy->owner->board;
	struct json_object *o = json_object_new_object();
	char addr[BR_NODE_ID_BYTES];
	struct buf b = {0};

	mesh_format_addr(&board->settings->peer_addr, addr, sizeof(addr));
	json_object_object_add(o, "node", json_object_new_string(board->settings->node));
	json_object_object_add(o, "address", json_object_new_string(addr));
	json_object_object_add(o, "left", left_write(list_of(copy->owner)));
	copy->sent_changes = list_of(copy->owner)->changes;
	copy->call.done = on_sent;
	copy->call.timeout_ms = CALL_TIMEOUT_MS;
	node_message_write(&b, LEFT_FIELD, o);
	conn_pool_send(m->pool, &copy->call, &b);
}

/* Gives the free places to nodes that have none. */
static void fill_places(struct left_copies *c)
{
	struct member *candidates[CANDIDATES_MAX];
	size_t n = neighbours_list(c->board, candidates, CANDIDATES_MAX), next = 0;

	for (int i = 0; i < COPIES; i++) {
		struct copy *copy = &c->copies[i];

		/* A node that was removed meanwhile holds nothing any more. */
		if (*copy->node && !http_call_active(&copy->call) &&
		    !members_by_name(c->board->members, copy->node))
			*copy = (struct copy){.owner = c};
		if (*copy->node)
			continue;
		while (next < n && (has_place(c, candidates[next]->node) ||
				    is_avoided(c, candidates[next]->node)))
			next++;
		if (next == n)
			return;
		br_copy_text(copy->node, sizeof(copy->node), candidates[next]->node);
	}
}

static bool needs_list(const struct copy *copy, uint64_t now_us)
{
	if (!*copy->node || http_call_active(&copy->call))
		return false;
	if (copy->held_changes != list_of(copy->owner)->changes)
		return true;
	return !left_record_is_stored(copy->owner->board->left_record) &&
	       now_us - copy->held_us >= RENEW_US;
}

static void on_check(void *arg)
{
	struct left_copies *c = arg;
	uint64_t now_us = clock_now_us();

	fill_places(c);
	for (int i = 0; i < COPIES; i++) {
		struct member *m;

		if (!needs_list(&c->copies[i], now_us))
			continue;
		m = members_by_name(c->board->members, c->copies[i].node);
		if (m)
			send_copy(&c->copies[i], m);
	}
	if (left_record_is_stored(c->board->left_record) &&
	    (left_copies_count(c) >= left_copies_enough(c) || !neighbours_count(c->board)))
		timer_cancel(&c->timer);
}

void left_copies_send(struct left_copies *c)
{
	if (!list_of(c)->n)
		return;
	if (!c->timer)
		c->timer = timer_repeat(c->board->loop, CHECK_MS, on_check, c);
	on_check(c);
}

struct left_copies *left_copies_create(struct board *board, void (*held)(void *ctx), void *ctx)
{
	struct left_copies *c = xcalloc(1, sizeof(*c));

	c->board = board;
	c->held = held;
	c->ctx = ctx;
	for (int i = 0; i < COPIES; i++)
		c->copies[i].owner = c;
	return c;
}

void left_copies_destroy(struct left_copies *c)
{
	if (!c)
		return;
	timer_cancel(&c->timer);
	for (int i = 0; i < COPIES; i++)
		if (http_call_active(&c->copies[i].call))
			http_call_cancel(&c->copies[i].call);
	free(c);
}
