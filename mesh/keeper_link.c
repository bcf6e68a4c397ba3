#include "mesh/keeper_link.h"

#include "common/clock.h"
#include "mesh/event_log.h"
#include "mesh/relay.h"
#include "mesh/view_format.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FETCH_TIMEOUT_MS 400
#define CONNECT_TIMEOUT_MS 250
#define IDLE_MS 10000
#define IDLE_MAX 2
#define ANSWER_HEADER_MAX_BYTES 4096
#define ANSWER_BODY_MAX_BYTES (4ULL * 1024 * 1024)
/* A node follows the keeper for this time after its last answer. */
#define FOLLOW_DURATION_US (1000 * BR_US_PER_MS)
/* Longest time for which a node follows the keeper while its own state is outdated. */
#define OUTDATED_MAX_US (1200 * BR_US_PER_MS)
/* A node that is outdated for this time fetches from the keeper itself. */
#define RELAY_WAIT_US (600 * BR_US_PER_MS)
/* Pause after a fetch that failed or came too early. */
#define RETRY_MS 50
/* A relay that could not be reached is avoided for this time. */
#define RELAY_AVOID_US (2000 * BR_US_PER_MS)
/* A keeper that has not confirmed its configuration for this time may have lost the store. */
#define CONFIRMED_MAX_MS 2400

struct keeper_link {
	struct board *board;
	struct keeper_receiver receiver;
	/** Connections to the source of the last fetch, and its address. */
	struct conn_pool *pool;
	struct sockaddr_in source;
	struct http_call call;
	struct timer *retry_timer;
	/** The active call fetches the view, otherwise the configuration. */
	bool fetching_view;
	/** The source is not the keeper. */
	bool source_is_relay;
	/** The latest known state of the keeper; the incarnation is 0 if none is known. */
	struct keeper_state keeper;
	/** Incarnation and view changes of the node from which the view was last fetched. */
	struct view_position fetched;
	/** Since when this node's state is outdated and no fetch has succeeded; 0 if up to date. */
	uint64_t outdated_since_us;
	uint64_t avoid_relay_until_us;
};

struct keeper_link *keeper_link_create(struct board *board)
{
	struct keeper_link *l = xcalloc(1, sizeof(*l));

	l->board = board;
	return l;
}

void keeper_link_destroy(struct keeper_link *l)
{
	if (!l)
		return;
	timer_cancel(&l->retry_timer);
	if (http_call_active(&l->call))
		http_call_cancel(&l->call);
	conn_pool_destroy(l->pool);
	free(l);
}

void keeper_link_set_receiver(struct keeper_link *l, const struct keeper_receiver *receiver)
{
	l->receiver = *receiver;
}

static void set_source(struct keeper_link *l, const struct sockaddr_in *addr)
{
	struct conn_pool_cfg cfg = {
		.addr = *addr,
		.limits = {.header_bytes = ANSWER_HEADER_MAX_BYTES,
			   .body_bytes = ANSWER_BODY_MAX_BYTES},
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.idle_ms = IDLE_MS,
		.idle_max = IDLE_MAX,
	};

	if (l->pool && !memcmp(&l->source, addr, sizeof(*addr)))
		return;
	conn_pool_destroy(l->pool);
	l->pool = conn_pool_create(l->board->loop, &cfg);
	l->source = *addr;
}

/* Prefers a node of this zone to the keeper while it can be expected to have the data soon. */
static void choose_source(struct keeper_link *l, uint64_t now_us)
{
	const struct member *parent = NULL;

	if (now_us - l->outdated_since_us < RELAY_WAIT_US && now_us >= l->avoid_relay_until_us)
		parent = relay_parent(l->board, &l->keeper.addr);
	l->source_is_relay = parent != NULL;
	set_source(l, parent ? &parent->addr : &l->keeper.addr);
}

static bool config_outdated(const struct keeper_link *l)
{
	return l->keeper.version > (l->board->config ? l->board->config->version : 0);
}

/* Tests whether a position includes another one of the same keeper. */
static bool reaches(const struct view_position *have, const struct view_position *wanted)
{
	return have->incarnation == wanted->incarnation &&
	       (int32_t)(have->changes - wanted->changes) >= 0;
}

static bool view_outdated(const struct keeper_link *l)
{
	return !reaches(&l->board->keeper_view, &l->keeper.view);
}

static bool read_view_field(const struct http_msg *msg, struct view_position *source,
			    struct view_position *reached)
{
	const char *text = http_msg_find_field(msg, KEEPER_VIEW_FIELD);

	return text && sscanf(text, "%u %u %u %u", &source->incarnation, &source->changes,
			      &reached->incarnation, &reached->changes) == 4;
}

/* Reads KEEPER_KEY_FIELD. The key's value comes last in it, since it contains a space. */
static void apply_keeper_key(struct keeper_link *l, const struct http_msg *msg)
{
	const char *text = http_msg_find_field(msg, KEEPER_KEY_FIELD);
	const char *era = http_msg_find_field(msg, KEEPER_KEY_ERA_FIELD);
	struct keeper_key key;
	int value_at = 0;

	if (!l->receiver.keeper || !text ||
	    sscanf(text, "%" SCNu64 " %" SCNu64 " %n", &key.position.revision, &key.lease,
		   &value_at) != 2 ||
	    br_store_era_parse(era, &key.position.era) || !value_at || !text[value_at] ||
	    !br_copy_text(key.value, sizeof(key.value), text + value_at))
		return;
	l->receiver.keeper(l->receiver.ctx, &key);
}

/* Reads KEEPER_REVISION_FIELD; nodes of earlier versions don't tell the era. */
static bool read_config_position(const struct http_msg *msg, struct br_position *out)
{
	const char *text = http_msg_find_field(msg, KEEPER_REVISION_FIELD);

	*out = (struct br_position){0};
	return text && sscanf(text, "%" SCNu64 " %" SCNu64, &out->revision, &out->era) >= 1;
}

static bool apply_answer(struct keeper_link *l, const struct http_msg *msg)
{
	struct view_position source, reached;
	struct br_position position;

	if (!l->fetching_view)
		return read_config_position(msg, &position) &&
		       !l->receiver.config(l->receiver.ctx, msg->body.data, msg->body.len,
					   &position);
	if (!read_view_field(msg, &source, &reached) ||
	    l->receiver.view(l->receiver.ctx, msg->body.data, msg->body.len))
		return false;
	l->fetched = source;
	l->board->keeper_view = reached;
	board_report_progress(l->board);
	return true;
}

static void fetch_if_outdated(struct keeper_link *l);

static void on_retry_timer(void *arg)
{
	struct keeper_link *l = arg;

	l->retry_timer = NULL;
	fetch_if_outdated(l);
}

static void on_done(struct http_call *call, enum http_call_result call_result, struct http_msg *msg,
		    int err)
{
	struct keeper_link *l =
		(struct keeper_link *)((char *)call - offsetof(struct keeper_link, call));
	bool too_early = msg && msg->status == 404 && l->source_is_relay;

	(void)call_result;
	if (msg)
		apply_keeper_key(l, msg);
	if (msg && msg->status == 200 && apply_answer(l, msg)) {
		l->outdated_since_us = 0;
		fetch_if_outdated(l);
	} else {
		if (!too_early) {
			l->avoid_relay_until_us = clock_now_us() + RELAY_AVOID_US;
			board_count(l->board, COUNT_FETCHES_FAILED);
			EVENT(EVENT_WARNING, "keeper", "fetch_failed",
			      EVENT_TEXT("what", l->fetching_view ? "view" : "config"),
			      EVENT_TEXT("from", l->source_is_relay ? "relay" : "keeper"),
			      EVENT_NUMBER("status", msg ? msg->status : 0),
			      EVENT_NUMBER("error", err));
		}
		if (!l->retry_timer)
			l->retry_timer = timer_start(l->board->loop, RETRY_MS, on_retry_timer, l);
	}
	http_msg_destroy(msg);
}

static void send_fetch(struct keeper_link *l, bool view, struct buf *what)
{
	struct buf b = {0};

	l->fetching_view = view;
	l->call.done = on_done;
	l->call.timeout_ms = FETCH_TIMEOUT_MS;
	buf_append_text(&b, "GET / HTTP/1.1\r\n" KEEPER_FETCH_FIELD ": ");
	buf_append(&b, what->data, what->len);
	buf_append_text(&b, "\r\n\r\n");
	buf_free(what);
	conn_pool_send(l->pool, &l->call, &b);
}

static void fetch_view(struct keeper_link *l)
{
	struct buf what = {0};

	buf_printf(&what, "view %u %u %u %u", l->fetched.incarnation, l->fetched.changes,
		   l->keeper.view.incarnation, l->keeper.view.changes);
	send_fetch(l, true, &what);
}

static void fetch_config(struct keeper_link *l, uint64_t version)
{
	struct buf what = {0};

	buf_printf(&what, "config %" PRIu64, version);
	send_fetch(l, false, &what);
}

static void fetch_if_outdated(struct keeper_link *l)
{
	uint64_t now_us = clock_now_us();

	if (!config_outdated(l) && !view_outdated(l)) {
		l->outdated_since_us = 0;
		return;
	}
	if (!l->outdated_since_us)
		l->outdated_since_us = now_us;
	if (http_call_active(&l->call) || l->retry_timer)
		return;
	choose_source(l, now_us);
	board_count(l->board, l->source_is_relay ? COUNT_FETCHES_RELAY : COUNT_FETCHES_KEEPER);
	if (config_outdated(l))
		fetch_config(l, l->keeper.version);
	else
		fetch_view(l);
}

void keeper_link_fetch_config(struct keeper_link *l, uint64_t version,
			      const struct sockaddr_in *source)
{
	if (!l->receiver.config || http_call_active(&l->call) || l->retry_timer)
		return;
	set_source(l, source);
	l->source_is_relay = true;
	board_count(l->board, COUNT_FETCHES_RELAY);
	fetch_config(l, version);
}

void keeper_link_ask_keeper(struct keeper_link *l, const struct sockaddr_in *source)
{
	struct buf what = {0};

	if (!l->receiver.config || http_call_active(&l->call) || l->retry_timer)
		return;
	set_source(l, source);
	l->source_is_relay = true;
	buf_append_text(&what, "keeper");
	send_fetch(l, false, &what);
}

void keeper_link_notice(struct keeper_link *l, uint64_t version, const struct view_position *view)
{
	/* A node that knows no keeper does not know whom to ask either. */
	if (!l->receiver.config || !l->keeper.view.incarnation || l->board->is_keeper)
		return;
	if (version > l->keeper.version)
		l->keeper.version = version;
	if (reaches(view, &l->keeper.view))
		l->keeper.view = *view;
	fetch_if_outdated(l);
}

void keeper_link_update(struct keeper_link *l, const struct keeper_state *state)
{
	uint64_t now_us = clock_now_us();

	if (!l->receiver.config)
		return;
	if (!state->store_reachable || state->confirmation_age_ms > CONFIRMED_MAX_MS) {
		/* Watch the store at once: it may hold changes that the keeper cannot see. */
		l->board->follow_until_us = 0;
		return;
	}
	/* Replaces what notices have said, which are hints only. */
	l->keeper = *state;
	fetch_if_outdated(l);
	/*
	 * Datagrams may arrive although connections fail. The store is watched then, since nothing
	 * can be fetched.
	 */
	if (l->outdated_since_us && now_us - l->outdated_since_us >= OUTDATED_MAX_US)
		return;
	l->board->follow_until_us = now_us + FOLLOW_DURATION_US;
}

static struct view_position own_position(const struct board *board)
{
	return (struct view_position){.incarnation = board->incarnation,
				      .changes = board->view_changes};
}

/* Writes the body of a fetched view. Returns false if this node has not got there yet. */
static bool write_view(const struct board *board, const char *fetch, struct buf *fields,
		       struct buf *body)
{
	struct view_position known, wanted, own = own_position(board), reached = board->keeper_view;

	if (sscanf(fetch, "view %u %u %u %u", &known.incarnation, &known.changes,
		   &wanted.incarnation, &wanted.changes) != 4)
		return false;
	/* This node is the keeper whose view is wanted. */
	if (wanted.incarnation == own.incarnation)
		reached = own;
	if (!reaches(&reached, &wanted))
		return false;
	view_write(board, known.incarnation == own.incarnation ? known.changes : 0, body);
	buf_printf(fields, KEEPER_VIEW_FIELD ": %u %u %u %u\r\n", own.incarnation, own.changes,
		   reached.incarnation, reached.changes);
	return true;
}

static bool write_config(const struct board *board, const char *fetch, struct buf *fields,
			 struct buf *body)
{
	uint64_t version;

	if (sscanf(fetch, "config %" SCNu64, &version) != 1 || !board->config ||
	    board->config->version < version)
		return false;
	buf_append(body, board->config_text.data, board->config_text.len);
	buf_printf(fields, KEEPER_REVISION_FIELD ": %" PRIu64 " %" PRIu64 "\r\n",
		   board->config_position.revision, board->config_position.era);
	return true;
}

void keeper_link_answer_fetch(const struct board *board, const char *fetch, struct buf *out)
{
	struct buf fields = {0}, body = {0};
	bool found = write_view(board, fetch, &fields, &body) ||
		     write_config(board, fetch, &fields, &body);

	buf_printf(out, "HTTP/1.1 %s\r\nContent-Length: %zu\r\n",
		   found ? "200 OK" : "404 Not Found", body.len);
	if (*board->keeper_key.value)
		buf_printf(out,
			   KEEPER_KEY_FIELD ": %" PRIu64 " %" PRIu64 " %s\r\n" KEEPER_KEY_ERA_FIELD
					    ": %" PRIu64 "\r\n",
			   board->keeper_key.position.revision, board->keeper_key.lease,
			   board->keeper_key.value, board->keeper_key.position.era);
	buf_append(out, fields.data, fields.len);
	buf_append_text(out, "\r\n");
	buf_append(out, body.data, body.len);
	buf_free(&fields);
	buf_free(&body);
}
