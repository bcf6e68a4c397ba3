#include "mesh/left_holder.h"

#include "common/clock.h"
#include "common/json.h"
#include "mesh/event_log.h"
#include "mesh/left_record.h"
#include "mesh/node_message.h"
#include "mesh/target.h"
#include "net/timer.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

/* As long as the store keeps such a list: the targets are gone by then. */
#define HOLD_US (10 * 60 * BR_US_PER_S)
/* The store may still lose what it has acknowledged some seconds ago. */
#define HOLD_STORED_US (20 * BR_US_PER_S)
/* Lists of more nodes than these are refused. */
#define HELD_MAX 2048
#define CALL_TIMEOUT_MS 300
#define CONNECT_TIMEOUT_MS 250
#define IDLE_MS 1000
#define ANSWER_HEADER_MAX_BYTES 4096
#define ANSWER_BODY_MAX_BYTES 4096

/** The list of one node. */
struct held {
	struct left_holder *holder;
	char node[BR_NAME_BYTES];
	struct sockaddr_in addr;
	struct br_left_list list;
	uint64_t until_us;
	/** The node has told that the store has the list. */
	bool stored;
	struct conn_pool *pool;
	struct http_call call;
	LIST_ENTRY(held) link;
};

struct left_holder {
	struct board *board;
	LIST_HEAD(, held) held;
	uint32_t n_held;
	struct timer *timer;
};

static struct held *find(const struct left_holder *h, const char *node)
{
	struct held *e;

	LIST_FOREACH(e, &h->held, link)
	if (!strcmp(e->node, node))
		return e;
	return NULL;
}

static void free_held(struct held *e)
{
	if (http_call_active(&e->call))
		http_call_cancel(&e->call);
	conn_pool_destroy(e->pool);
	LIST_REMOVE(e, link);
	e->holder->n_held--;
	free(e);
}

static void on_returned(struct http_call *call, enum http_call_result call_result,
			struct http_msg *msg, int err)
{
	struct held *e = (struct held *)((char *)call - offsetof(struct held, call));
	struct json_object *o = msg && msg->status == 200 ? node_message_read(msg) : NULL;

	(void)call_result;
	(void)err;
	if (o && json_member_bool(o, "stored")) {
		e->stored = true;
		e->until_us = clock_now_us() + HOLD_STORED_US;
	}
	json_object_put(o);
	http_msg_destroy(msg);
}

static struct json_object *list_message(const struct held *e)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "node", json_object_new_string(e->node));
	json_object_object_add(o, "left", left_write(&e->list));
	return o;
}

static void offer(struct held *e)
{
	struct buf b = {0};

	e->call.done = on_returned;
	e->call.timeout_ms = CALL_TIMEOUT_MS;
	node_message_write(&b, LEFT_FIELD, list_message(e));
	conn_pool_send(e->pool, &e->call, &b);
}

static void on_timer(void *arg)
{
	struct left_holder *h = arg;
	uint64_t now_us = clock_now_us();
	struct held *next;

	for (struct held *e = LIST_FIRST(&h->held); e; e = next) {
		next = LIST_NEXT(e, link);
		conn_pool_sweep(e->pool);
		if (now_us >= e->until_us)
			free_held(e);
		else if (!e->stored && !http_call_active(&e->call))
			offer(e);
	}
	if (!h->n_held)
		timer_cancel(&h->timer);
}

static struct held *add(struct left_holder *h, const char *node, const struct sockaddr_in *addr)
{
	struct conn_pool_cfg cfg = {
		.addr = *addr,
		.limits = {.header_bytes = ANSWER_HEADER_MAX_BYTES,
			   .body_bytes = ANSWER_BODY_MAX_BYTES},
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.idle_ms = IDLE_MS,
		.idle_max = 1,
	};
	struct held *e = xcalloc(1, sizeof(*e));

	e->holder = h;
	br_copy_text(e->node, sizeof(e->node), node);
	e->addr = *addr;
	e->pool = conn_pool_create(h->board->loop, &cfg);
	LIST_INSERT_HEAD(&h->held, e, link);
	h->n_held++;
	if (!h->timer)
		h->timer = timer_repeat(h->board->loop, LEFT_RETURN_INTERVAL_MS, on_timer, h);
	return e;
}

/* Takes a list to hold. Returns the status of the answer. */
static uint16_t hold(struct left_holder *h, const char *node, const char *address,
		     const struct br_left_list *list)
{
	struct held *e = find(h, node);
	struct sockaddr_in addr;
	struct br_left_list merged = *list;

	if (!address || strlen(node) >= BR_NAME_BYTES || mesh_parse_addr(address, &addr))
		return 400;
	if (e && memcmp(&e->addr, &addr, sizeof(addr)) != 0) {
		/* Another VM has the name now: the targets of the former one are gone. */
		free_held(e);
		e = NULL;
	}
	if (!e && h->n_held >= HELD_MAX)
		return 503;
	if (!e)
		e = add(h, node, &addr);
	(void)br_left_add_missing(&merged, &e->list);
	EVENT(EVENT_INFO, "left", "held", EVENT_TEXT("for", node),
	      EVENT_NUMBER("targets", merged.n),
	      EVENT_TEXT("latest", merged.n ? merged.entries[merged.n - 1].id : ""));
	e->list = merged;
	e->stored = false;
	e->until_us = clock_now_us() + HOLD_US;
	return 200;
}

/* Takes this node's own list back, of which another node has held a copy. */
static struct json_object *take_back(struct left_holder *h, const struct br_left_list *list)
{
	struct json_object *o = json_object_new_object();

	target_add_left(h->board->target, list);
	json_object_object_add(
		o, "stored", json_object_new_boolean(left_record_is_stored(h->board->left_record)));
	return o;
}

void left_holder_answer(struct left_holder *h, const struct http_msg *m, struct buf *out)
{
	struct json_object *o = node_message_read(m);
	struct json_object *left = o ? json_member_array(o, "left") : NULL;
	const char *node = o ? json_member_text(o, "node") : NULL;
	struct br_left_list list = {0};

	if (left)
		left_read(left, &list);
	if (!left || !node || !*node)
		node_message_write_answer(out, 400, NULL);
	else if (!strcmp(node, h->board->settings->node))
		node_message_write_answer(out, 200, take_back(h, &list));
	else
		node_message_write_answer(out, hold(h, node, json_member_text(o, "address"), &list),
					  NULL);
	json_object_put(o);
}

uint32_t left_holder_count(const struct left_holder *h)
{
	return h->n_held;
}

const struct br_left_list *left_holder_find(const struct left_holder *h, const char *node)
{
	const struct held *e = find(h, node);

	return e ? &e->list : NULL;
}

struct left_holder *left_holder_create(struct board *board)
{
	struct left_holder *h = xcalloc(1, sizeof(*h));

	h->board = board;
	return h;
}

void left_holder_destroy(struct left_holder *h)
{
	if (!h)
		return;
	timer_cancel(&h->timer);
	for (struct held *next, *e = LIST_FIRST(&h->held); e; e = next) {
		next = LIST_NEXT(e, link);
		free_held(e);
	}
	free(h);
}
