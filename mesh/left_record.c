#include "mesh/left_record.h"

#include "common/clock.h"
#include "common/json.h"
#include "mesh/event_log.h"
#include "mesh/left_copies.h"
#include "mesh/left_format.h"
#include "mesh/target.h"
#include "net/timer.h"
#include "platform/store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Prefix of the keys; the node's name follows. The members' watch does not cover it. */
#define KEY_PREFIX "mesh-left/"
#define CALL_TIMEOUT_MS 1000
#define RETRY_MS 200
/* Reports and leaving targets are gone by then; the longest lifetime that the store grants. */
#define LIFETIME_MS (10 * 60 * 1000)
/* An acknowledgement counts within a second. */
#define ACK_WAIT_US (750 * BR_US_PER_MS)
#define WAIT_CHECK_MS 50

struct left_record {
	struct board *board;
	char key[STORE_KEY_BYTES];
	struct timer *retry_timer, *wait_timer;
	/** Value of br_left_list.changes that is stored, and that is being written. */
	uint32_t stored_changes, writing_changes;
	bool call_pending, loaded;
	struct left_copies *copies;
	TAILQ_HEAD(, left_wait) waits;
};

static const struct br_left_list *list_of(const struct left_record *r)
{
	return target_left(r->board->target);
}

static bool is_stored(const struct left_record *r)
{
	return r->stored_changes == list_of(r)->changes;
}

bool left_record_is_stored(const struct left_record *r)
{
	return r->loaded && is_stored(r);
}

bool left_record_is_loaded(const struct left_record *r)
{
	return r->loaded;
}

bool left_record_outlives(const struct left_record *r)
{
	return is_stored(r) || left_copies_count(r->copies) > 0;
}

static void end_wait(struct left_record *r, struct left_wait *w)
{
	left_record_cancel(r, w);
	w->done(w);
}

static void end_waits(struct left_record *r)
{
	bool all = is_stored(r) || left_copies_count(r->copies) >= left_copies_enough(r->copies);
	uint64_t now_us = clock_now_us();
	struct left_wait *next;

	for (struct left_wait *w = TAILQ_FIRST(&r->waits); w; w = next) {
		next = TAILQ_NEXT(w, link);
		if (all || now_us >= w->until_us)
			end_wait(r, w);
	}
	if (TAILQ_EMPTY(&r->waits))
		timer_cancel(&r->wait_timer);
}

static void on_wait_timer(void *arg)
{
	end_waits(arg);
}

static void on_copies_held(void *ctx)
{
	end_waits(ctx);
}

static void start_call(struct left_record *r);

static void on_retry_timer(void *arg)
{
	struct left_record *r = arg;

	r->retry_timer = NULL;
	start_call(r);
}

/* Goes on with what is left to do, after a pause if the last call has failed. */
static void end_call(struct left_record *r, bool ok)
{
	r->call_pending = false;
	if (ok)
		start_call(r);
	else if (!r->retry_timer)
		r->retry_timer = timer_start(r->board->loop, RETRY_MS, on_retry_timer, r);
}

static void read_value(const struct left_record *r, const struct store_item *item,
		       struct br_left_list *out)
{
	struct json_object *o = item->value ? json_parse_object(item->value, item->len) : NULL;
	struct json_object *list = o ? json_member_array(o, "left") : NULL;

	if (!list)
		EVENT(EVENT_WARNING, "left", "unreadable", EVENT_TEXT("key", r->key),
		      EVENT_NUMBER("bytes", item->len));
	else
		left_read(list, out);
	json_object_put(o);
}

static void on_read(void *arg, const struct store_reply *reply)
{
	struct left_record *r = arg;
	struct br_left_list earlier = {0};
	bool ok = reply->result == STORE_OK || reply->result == STORE_NOT_FOUND;

	if (ok) {
		if (reply->n_items)
			read_value(r, &reply->items[0], &earlier);
		if (earlier.n)
			EVENT(EVENT_INFO, "left", "read", EVENT_NUMBER("targets", earlier.n),
			      EVENT_TEXT("latest", earlier.entries[earlier.n - 1].id));
		r->loaded = true;
		target_add_earlier_left(r->board->target, &earlier);
	}
	end_call(r, ok);
}

static void on_written(void *arg, const struct store_reply *reply)
{
	struct left_record *r = arg;
	bool ok = reply->result == STORE_OK;

	if (ok)
		r->stored_changes = r->writing_changes;
	if (ok)
		end_waits(r);
	end_call(r, ok);
}

static void write_value(const struct br_left_list *l, struct buf *out)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "left", left_write(l));
	buf_append_text(out, json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
}

static void on_lease(void *arg, const struct store_reply *reply)
{
	struct left_record *r = arg;
	struct buf value = {0};

	if (reply->result != STORE_OK || !reply->lease) {
		end_call(r, false);
		return;
	}
	r->writing_changes = list_of(r)->changes;
	write_value(list_of(r), &value);
	store_put(r->board->store,
		  &(struct store_put){.key = r->key,
				      .value = value.data,
				      .len = value.len,
				      .lease = reply->lease},
		  NULL, CALL_TIMEOUT_MS, on_written, r);
	buf_free(&value);
}

/* Reads what is stored, or stores what has changed; one call at a time. */
static void start_call(struct left_record *r)
{
	if (r->call_pending || r->retry_timer || (r->loaded && is_stored(r)))
		return;
	r->call_pending = true;
	if (!r->loaded)
		store_get(r->board->store, r->key, CALL_TIMEOUT_MS, on_read, r);
	else
		store_grant_lease(r->board->store, LIFETIME_MS, CALL_TIMEOUT_MS, on_lease, r);
}

void left_record_write(struct left_record *r)
{
	start_call(r);
	left_copies_send(r->copies);
}

void left_record_write_again(struct left_record *r)
{
	/* Differs from any number of changes that is counted next. */
	if (list_of(r)->n)
		r->stored_changes = list_of(r)->changes - 1;
	start_call(r);
	left_copies_send(r->copies);
}

bool left_record_wait(struct left_record *r, struct left_wait *w)
{
	if (is_stored(r) || left_copies_count(r->copies) >= left_copies_enough(r->copies))
		return false;
	w->until_us = clock_now_us() + ACK_WAIT_US;
	w->waiting = true;
	TAILQ_INSERT_TAIL(&r->waits, w, link);
	if (!r->wait_timer)
		r->wait_timer = timer_repeat(r->board->loop, WAIT_CHECK_MS, on_wait_timer, r);
	return true;
}

void left_record_cancel(struct left_record *r, struct left_wait *w)
{
	if (!w->waiting)
		return;
	TAILQ_REMOVE(&r->waits, w, link);
	w->waiting = false;
}

struct left_record *left_record_create(struct board *board)
{
	struct left_record *r = xcalloc(1, sizeof(*r));

	r->board = board;
	TAILQ_INIT(&r->waits);
	snprintf(r->key, sizeof(r->key), KEY_PREFIX "%s", board->settings->node);
	r->loaded = board->settings->first_start;
	r->copies = left_copies_create(board, on_copies_held, r);
	start_call(r);
	return r;
}

void left_record_destroy(struct left_record *r)
{
	if (!r)
		return;
	timer_cancel(&r->retry_timer);
	timer_cancel(&r->wait_timer);
	left_copies_destroy(r->copies);
	free(r);
}
