#include "mesh/keeper_link.h"

#include "common/clock.h"
#include "mesh/config_watch.h"
#include "mesh/event_log.h"
#include "mesh/view_watch.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FETCH_TIMEOUT_MS 400
#define CONNECT_TIMEOUT_MS 250
#define IDLE_MS 10000
#define IDLE_MAX 2
#define ANSWER_HEADER_BYTES 4096
#define ANSWER_BODY_BYTES (4ULL * 1024 * 1024)
/* A node follows the keeper this long after its last answer. */
#define FOLLOW_US (1000 * BR_US_PER_MS)
/* Longest time for which a node follows a keeper without having what the keeper has. */
#define OUT_OF_STEP_US (600 * BR_US_PER_MS)
/* A keeper whose own confirmation is older may have lost the store. */
#define CONFIRMED_MAX_MS 2400

struct keeper_link {
	struct board *board;
	struct config_watch *config;
	struct view_watch *view;
	struct conn_pool *pool;
	struct sockaddr_in addr;
	struct http_call call;
	/** What the call under way fetches. */
	bool fetches_view;
	struct keeper_news fetched;
	/** View that this node has taken. */
	uint32_t incarnation, view_changes;
	uint32_t own_incarnation;
	/** Since when this node has lacked something and has fetched nothing; 0 if it lacks nothing. */
	uint64_t lacks_since_us;
};

struct keeper_link *keeper_link_create(struct board *board)
{
	struct keeper_link *l = xcalloc(1, sizeof(*l));

	l->board = board;
	/* 0 stands for no keeper's view. */
	l->own_incarnation = (uint32_t)br_rng_next(&board->rng) | 1;
	return l;
}

void keeper_link_destroy(struct keeper_link *l)
{
	if (!l)
		return;
	if (http_call_active(&l->call))
		http_call_cancel(&l->call);
	conn_pool_destroy(l->pool);
	free(l);
}

void keeper_link_connect(struct keeper_link *l, struct config_watch *config,
			 struct view_watch *view)
{
	l->config = config;
	l->view = view;
}

uint32_t keeper_link_incarnation(const struct keeper_link *l)
{
	return l->own_incarnation;
}

static void set_addr(struct keeper_link *l, const struct sockaddr_in *addr)
{
	struct conn_pool_cfg cfg = {
		.addr = *addr,
		.limits = {.header_bytes = ANSWER_HEADER_BYTES, .body_bytes = ANSWER_BODY_BYTES},
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.idle_ms = IDLE_MS,
		.idle_max = IDLE_MAX,
	};

	if (l->pool && !memcmp(&l->addr, addr, sizeof(*addr)))
		return;
	if (http_call_active(&l->call))
		http_call_cancel(&l->call);
	conn_pool_destroy(l->pool);
	l->pool = conn_pool_create(l->board->loop, &cfg);
	l->addr = *addr;
}

static void take_answer(struct keeper_link *l, const struct http_msg *msg)
{
	const char *revision = http_msg_find(msg, KEEPER_REVISION_FIELD);

	if (l->fetches_view) {
		view_take(l->view, msg->body.data, msg->body.len);
		l->incarnation = l->fetched.incarnation;
		l->view_changes = l->fetched.view_changes;
	} else if (revision) {
		config_take(l->config, msg->body.data, msg->body.len, strtoull(revision, NULL, 10));
	}
}

static void on_done(struct http_call *call, enum http_call_fate fate, struct http_msg *msg, int err)
{
	struct keeper_link *l =
		(struct keeper_link *)((char *)call - offsetof(struct keeper_link, call));

	(void)fate;
	if (msg && msg->status == 200) {
		take_answer(l, msg);
		/* What the keeper has changes meanwhile; fetches that succeed keep up with it. */
		l->lacks_since_us = 0;
	} else {
		EVENT(EVENT_WARNING, "keeper", "fetch_failed",
		      EVENT_TEXT("what", l->fetches_view ? "view" : "config"),
		      EVENT_NUMBER("status", msg ? msg->status : 0), EVENT_NUMBER("error", err));
	}
	http_msg_destroy(msg);
}

static void fetch(struct keeper_link *l, const struct keeper_news *news, bool view)
{
	struct buf b = {0};

	l->fetches_view = view;
	l->fetched = *news;
	l->call.done = on_done;
	l->call.timeout_ms = FETCH_TIMEOUT_MS;
	buf_text(&b, "GET / HTTP/1.1\r\n" KEEPER_FETCH_FIELD ": ");
	if (view)
		buf_printf(&b, "view %u\r\n\r\n",
			   l->incarnation == news->incarnation ? l->view_changes : 0);
	else
		buf_text(&b, "config\r\n\r\n");
	conn_pool_send(l->pool, &l->call, &b);
}

void keeper_link_news(struct keeper_link *l, const struct keeper_news *news)
{
	uint64_t version = l->board->config ? l->board->config->version : 0;
	uint64_t now_us = clock_now_us();
	bool view_differs =
		l->incarnation != news->incarnation || l->view_changes != news->view_changes;

	if (!l->config)
		return;
	if (!news->in_touch || news->confirmed_ms > CONFIRMED_MAX_MS) {
		/* The store is asked at once: it may already hold what the keeper cannot know. */
		l->board->follow_until_us = 0;
		return;
	}
	set_addr(l, &news->addr);
	if (news->version <= version && !view_differs) {
		l->lacks_since_us = 0;
	} else {
		if (!l->lacks_since_us)
			l->lacks_since_us = now_us;
		if (!http_call_active(&l->call))
			fetch(l, news, news->version <= version);
		/* Datagrams may arrive where connections do not: the store is asked then. */
		if (now_us - l->lacks_since_us >= OUT_OF_STEP_US)
			return;
	}
	l->board->follow_until_us = now_us + FOLLOW_US;
}

void keeper_link_serve(struct board *board, const char *fetch, struct buf *out)
{
	struct buf body = {0};
	unsigned int since = 0;
	bool config = !strcmp(fetch, "config");

	if (config)
		buf_append(&body, board->config_text.data, board->config_text.len);
	else if (sscanf(fetch, "view %u", &since) == 1)
		view_write(board, since, &body);
	buf_printf(out, "HTTP/1.1 %s\r\nContent-Length: %zu\r\n",
		   body.len ? "200 OK" : "404 Not Found", body.len);
	if (config)
		buf_printf(out, KEEPER_REVISION_FIELD ": %" PRIu64 "\r\n", board->config_revision);
	buf_text(out, "\r\n");
	buf_append(out, body.data, body.len);
	buf_free(&body);
}
