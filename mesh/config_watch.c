#include "mesh/config_watch.h"

#include "briarreel/error.h"
#include "common/clock.h"
#include "mesh/event_log.h"
#include "net/timer.h"
#include "platform/decode.h"
#include "platform/store.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define READ_TIMEOUT_MS 1000
/* The watch waits this long; keep-alive probes find a connection that has gone silent before. */
#define WATCH_WAIT_MS 20000
/* A watch answers this much after its wait at the latest, or its connection is given up. */
#define WATCH_EXTRA_MS 1000
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 800
/* A store that loses its history leaves watches without news for about this time before. */
#define DEAF_MS 1000
/* A call that asks for changes without waiting. */
#define PROBE_WAIT_MS 1
#define CHECK_MS 100
/* A keeper is found within this time after a start. */
#define FOUND_MS 1000
/* Two answers of the keeper come within this time, of which the second confirms what was fetched. */
#define TAKEN_US (700 * BR_US_PER_MS)
/* Age at which the keeper asks, on behalf of all nodes that it answers. */
#define PROBE_KEEPER_MS 1600
/* Keys are no longer accepted this much before the bound, for requests under way. */
#define CONFIRM_MARGIN_MS 500

struct config_watch {
	struct board *board;
	struct timer *check, *pause;
	uint64_t started_us, retry_ms;
	/** Start of the read or watch, and of the probe, that is under way. */
	uint64_t sent_us, probe_sent_us;
	/** The last configuration that came from the keeper. */
	uint64_t taken_us;
	/** Age of the confirmation at which this node asks for itself. */
	uint64_t probe_at_ms;
	/** Latest of all changes that a read or watch has shown; 0 to read anew. */
	uint64_t revision;
	bool calling, probing;
};

bool config_keys_confirmed(const struct board *board, uint64_t now_us)
{
	uint64_t bound_us = (board->settings->revocation_ms - CONFIRM_MARGIN_MS) * BR_US_PER_MS;

	return now_us - board->confirmed_us < bound_us;
}

uint64_t config_confirmed_ms(const struct board *board)
{
	return (clock_now_us() - board->confirmed_us) / BR_US_PER_MS;
}

static void confirm(struct board *board, uint64_t at_us)
{
	if (at_us > board->confirmed_us)
		board->confirmed_us = at_us;
}

void config_confirmed_elsewhere(struct board *board, uint64_t version, uint64_t age_ms,
				uint64_t sent_us)
{
	if (board->config && version == board->config->version && age_ms * BR_US_PER_MS < sent_us)
		confirm(board, sent_us - age_ms * BR_US_PER_MS);
	else
		board_saw_version(board, version);
}

static int adopt(struct board *board, const char *text, size_t len, uint64_t revision)
{
	struct br_error err = {0};
	struct mesh_config *c = platform_decode_config(text, len, &err);

	if (!c) {
		EVENT(EVENT_ERROR, "config", "unreadable", EVENT_TEXT("error", err.detail),
		      EVENT_NUMBER("revision", revision));
		return -EINVAL;
	}
	if (board->config && c->version <= board->config->version) {
		mesh_config_unref(c);
		return 0;
	}
	EVENT(EVENT_INFO, "config", "in_force", EVENT_NUMBER("version", c->version),
	      EVENT_NUMBER("before", board->config ? board->config->version : 0),
	      EVENT_NUMBER("revision", revision), EVENT_NUMBER("routes", c->n_routes),
	      EVENT_NUMBER("accounts", c->n_accounts));
	mesh_config_unref(board->config);
	board->config = c;
	buf_free(&board->config_text);
	buf_append(&board->config_text, text, len);
	board->config_revision = revision;
	return 0;
}

static void take_items(struct config_watch *w, const struct store_reply *r)
{
	for (size_t i = 0; i < r->n_items; i++) {
		const struct store_item *item = &r->items[i];

		if (!item->deleted && !strcmp(item->key, PLATFORM_CONFIG_KEY))
			(void)adopt(w->board, item->value, item->len, item->revision);
	}
	if (r->revision > w->revision)
		w->revision = r->revision;
}

static void on_pause(void *arg)
{
	struct config_watch *w = arg;

	w->pause = NULL;
}

/* The next call waits; the waits grow while calls fail. */
static void back_off(struct config_watch *w)
{
	uint64_t jitter_ms = br_rng_below(&w->board->rng, w->retry_ms / 2 + 1);

	timer_cancel(&w->pause);
	w->pause = timer_start(w->board->loop, w->retry_ms + jitter_ms, on_pause, w);
	w->retry_ms = w->retry_ms * 2 < RETRY_MAX_MS ? w->retry_ms * 2 : RETRY_MAX_MS;
}

static void note_lost(struct config_watch *w, const struct store_reply *r)
{
	back_off(w);
	if (w->board->watch_lost)
		return;
	w->board->watch_lost = true;
	EVENT(EVENT_WARNING, "config", "store_lost", EVENT_NUMBER("status", r->status),
	      EVENT_NUMBER("version", w->board->config ? w->board->config->version : 0),
	      EVENT_NUMBER("confirmed_ms_ago", config_confirmed_ms(w->board)));
}

static void note_back(struct config_watch *w)
{
	w->retry_ms = RETRY_MIN_MS;
	if (!w->board->watch_lost)
		return;
	w->board->watch_lost = false;
	EVENT(EVENT_INFO, "config", "store_back", EVENT_NUMBER("revision", w->revision));
}

/* Spread over the nodes, so that the first that asks answers for others. */
static uint64_t probe_age_ms(struct config_watch *w)
{
	uint64_t half_ms = w->board->settings->revocation_ms / 2;

	return half_ms + br_rng_below(&w->board->rng, half_ms / 3 + 1);
}

/* A store that loses its history may have kept back what changed in the last moment. */
static void confirm_no_news(struct config_watch *w, uint64_t seen_us)
{
	confirm(w->board, seen_us - DEAF_MS * BR_US_PER_MS);
}

static void on_read(void *arg, const struct store_reply *r)
{
	struct config_watch *w = arg;

	w->calling = false;
	if (r->result != STORE_OK && r->result != STORE_NOT_FOUND) {
		note_lost(w, r);
		return;
	}
	note_back(w);
	take_items(w, r);
	/* If there is no configuration yet, the watch that follows brings the first one. */
	if (r->result == STORE_OK)
		confirm(w->board, w->sent_us);
	else if (!w->revision)
		back_off(w);
}

static void on_watch(void *arg, const struct store_reply *r)
{
	struct config_watch *w = arg;

	w->calling = false;
	if (r->result == STORE_COMPACTED)
		w->revision = 0;
	else if (r->result != STORE_OK)
		note_lost(w, r);
	if (r->result != STORE_OK)
		return;
	note_back(w);
	take_items(w, r);
	confirm_no_news(w, w->sent_us);
}

static void on_probe(void *arg, const struct store_reply *r)
{
	struct config_watch *w = arg;

	w->probing = false;
	w->probe_at_ms = probe_age_ms(w);
	if (r->result == STORE_COMPACTED)
		w->revision = 0;
	else if (r->result != STORE_OK)
		note_lost(w, r);
	if (r->result != STORE_OK)
		return;
	note_back(w);
	take_items(w, r);
	confirm_no_news(w, w->probe_sent_us);
}

/* Confirms the configuration if neither the keeper's answers nor the watch have done so lately. */
static void probe(struct config_watch *w)
{
	uint64_t limit_ms = w->probe_at_ms;

	if (w->board->is_keeper && limit_ms > PROBE_KEEPER_MS)
		limit_ms = PROBE_KEEPER_MS;
	if (w->probing || w->pause || !w->revision || config_confirmed_ms(w->board) < limit_ms ||
	    clock_now_us() - w->taken_us < TAKEN_US)
		return;
	w->probing = true;
	w->probe_sent_us = clock_now_us();
	store_watch(w->board->store, PLATFORM_CONFIG_KEY, w->revision, PROBE_WAIT_MS,
		    READ_TIMEOUT_MS, on_probe, w);
}

static void read_or_watch(struct config_watch *w)
{
	w->calling = true;
	w->sent_us = clock_now_us();
	if (!w->revision)
		store_get(w->board->store, PLATFORM_CONFIG_KEY, READ_TIMEOUT_MS, on_read, w);
	else
		store_watch(w->board->store, PLATFORM_CONFIG_KEY, w->revision, WATCH_WAIT_MS,
			    WATCH_WAIT_MS + WATCH_EXTRA_MS, on_watch, w);
}

static void on_check(void *arg)
{
	struct config_watch *w = arg;
	uint64_t now_us = clock_now_us();

	if (w->board->store_away)
		return;
	if (w->board->config)
		probe(w);
	if (w->calling || w->pause || board_follows_keeper(w->board, now_us))
		return;
	/*
	 * A keeper that is found meanwhile brings what changes without a call to the store. Callers
	 * wait for a node that is started again, so that it reads the configuration at once.
	 */
	if (!w->board->is_keeper && now_us - w->started_us < FOUND_MS * BR_US_PER_MS &&
	    (w->revision || w->board->settings->first_start))
		return;
	read_or_watch(w);
}

void config_take(struct config_watch *w, const char *text, size_t len, uint64_t revision)
{
	if (adopt(w->board, text, len, revision))
		return;
	w->taken_us = clock_now_us();
	if (revision > w->revision && !w->calling)
		w->revision = revision;
}

static void on_newer(void *ctx, uint64_t version)
{
	struct config_watch *w = ctx;

	(void)version;
	/* Without a keeper that brings it, the store is asked; a watch under way may be deaf. */
	if (w->probing || w->pause || !w->revision || w->board->store_away ||
	    board_follows_keeper(w->board, clock_now_us()))
		return;
	w->probing = true;
	w->probe_sent_us = clock_now_us();
	store_watch(w->board->store, PLATFORM_CONFIG_KEY, w->revision, PROBE_WAIT_MS,
		    READ_TIMEOUT_MS, on_probe, w);
}

struct config_watch *config_watch_create(struct board *board)
{
	struct config_watch *w = xcalloc(1, sizeof(*w));

	w->board = board;
	w->retry_ms = RETRY_MIN_MS;
	w->probe_at_ms = probe_age_ms(w);
	board->newer_seen = on_newer;
	board->newer_ctx = w;
	w->started_us = clock_now_us();
	w->check = timer_repeat(board->loop, CHECK_MS, on_check, w);
	on_check(w);
	return w;
}

void config_watch_destroy(struct config_watch *w)
{
	if (!w)
		return;
	timer_cancel(&w->pause);
	timer_cancel(&w->check);
	w->board->newer_seen = NULL;
	free(w);
}
