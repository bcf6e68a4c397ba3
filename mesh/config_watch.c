#include "mesh/config_watch.h"

#include "briarreel/error.h"
#include "common/clock.h"
#include "mesh/era_mark.h"
#include "mesh/event_log.h"
#include "mesh/keeper_link.h"
#include "net/timer.h"
#include "platform/decode.h"
#include "platform/store.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define READ_TIMEOUT_MS 1000
/* The store holds a watch call this long; TCP keep-alive detects a silent connection earlier. */
#define WATCH_WAIT_MS 20000
/* A watch call without an answer fails this long after its wait. */
#define WATCH_GRACE_MS 1000
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 800
/* Before the store reports that its history is lost, watches may miss events for this long. */
#define EVENT_LOSS_MS 1000
/* Wait of a probe, which asks for the changes since the known revision without blocking. */
#define PROBE_WAIT_MS 1
#define CHECK_MS 100
/* A keeper is found within this time after the start of a node. */
#define FIRST_KEEPER_WAIT_MS 1000
/*
 * The keeper answers twice within this time. The second answer confirms the configuration that was
 * fetched after the first one, so no probe is sent meanwhile.
 */
#define KEEPER_CONFIRM_US (700 * BR_US_PER_MS)
/* Confirmation age at which the keeper probes the store, for all nodes that follow it. */
#define KEEPER_PROBE_AGE_MS 1600
/*
 * Keys are refused this much before revocation_ms has passed, but no more than half of it, to allow for
 * requests in flight.
 */
#define CONFIRM_MARGIN_MS 500

struct config_watch {
	struct board *board;
	/** Fetches the configuration from other nodes. */
	struct keeper_link *link;
	struct timer *check_timer, *retry_timer;
	uint64_t started_us, retry_delay_ms;
	/** Times at which the pending read or watch, and the pending probe, were sent. */
	uint64_t sent_us, probe_sent_us;
	/** Time of the last configuration received from the keeper. */
	uint64_t keeper_config_us;
	/** Random part from 0 to 1 of the spread of probe_age_ms(). */
	double probe_spread;
	/**
	 * Latest store position seen by a read or watch; the revision is 0 to read the
	 * configuration again.
	 */
	struct br_position position;
	bool call_pending, probe_pending;
};

bool config_keys_confirmed(const struct board *board, uint64_t now_us)
{
	uint64_t revocation_ms = board->settings->revocation_ms, margin_ms = CONFIRM_MARGIN_MS;
	uint64_t bound_us;

	if (margin_ms > revocation_ms / 2)
		margin_ms = revocation_ms / 2;
	bound_us = (revocation_ms - margin_ms) * BR_US_PER_MS;
	return now_us - board->confirmed_us < bound_us;
}

uint64_t config_confirmation_age_ms(const struct board *board)
{
	return (clock_now_us() - board->confirmed_us) / BR_US_PER_MS;
}

static struct br_store_trust trust_of(const struct board *board)
{
	return era_mark_trust(board, board->config ? board->config->version : 0);
}

static void confirm(struct board *board, uint64_t at_us)
{
	if (at_us > board->confirmed_us)
		board->confirmed_us = at_us;
}

/* Confirms by an answer of the store, unless it may have lost a version that took keys away. */
static void confirm_from_store(struct board *board, uint64_t at_us)
{
	struct br_store_trust trust = trust_of(board);

	if (!br_store_proves_keys(&trust))
		return;
	if (board->config && br_store_is_settled(&trust))
		board->knows_history = true;
	confirm(board, at_us);
}

void config_confirm_from_peer(struct board *board, uint64_t version, uint64_t age_ms,
			      uint64_t sent_us, const struct sockaddr_in *source)
{
	struct br_store_trust trust = trust_of(board);

	if (board->config && version == board->config->version && age_ms * BR_US_PER_MS < sent_us &&
	    (br_store_is_settled(&trust) || version >= trust.told_version)) {
		confirm(board, sent_us - age_ms * BR_US_PER_MS);
		board->knows_history = true;
	} else {
		board_report_version(board, version, source);
	}
}

static int apply_config(struct board *board, const char *text, size_t len,
			const struct br_position *position)
{
	struct br_error err = {0};
	struct mesh_config *c = platform_decode_config(text, len, &err);

	if (!c) {
		EVENT(EVENT_ERROR, "config", "unreadable", EVENT_TEXT("error", err.detail),
		      EVENT_NUMBER("era", position->era),
		      EVENT_NUMBER("revision", position->revision));
		return -EINVAL;
	}
	board->config_unreadable = false;
	if (board->config && c->version <= board->config->version) {
		mesh_config_unref(c);
		return 0;
	}
	EVENT(EVENT_INFO, "config", "in_force", EVENT_NUMBER("version", c->version),
	      EVENT_NUMBER("before", board->config ? board->config->version : 0),
	      EVENT_NUMBER("era", position->era), EVENT_NUMBER("revision", position->revision),
	      EVENT_NUMBER("routes", c->n_routes), EVENT_NUMBER("accounts", c->n_accounts));
	mesh_config_unref(board->config);
	board->config = c;
	buf_free(&board->config_text);
	buf_append(&board->config_text, text, len);
	board->config_position = *position;
	if (board->on_config)
		board->on_config(board->on_config_ctx);
	board_report_progress(board);
	return 0;
}

static void advance(struct config_watch *w, const struct br_position *position)
{
	if (br_position_compare(position, &w->position) > 0)
		w->position = *position;
}

/* Applies the configuration that an item holds. Returns false if it holds none that can be read. */
static bool apply_item(struct config_watch *w, const struct store_reply *r,
		       const struct store_item *item)
{
	struct br_position position = store_item_position(r, item);

	if (item->value)
		return !apply_config(w->board, item->value, item->len, &position);
	EVENT(EVENT_ERROR, "config", item->deleted ? "deleted" : "unreadable",
	      EVENT_TEXT("key", item->key), EVENT_NUMBER("era", position.era),
	      EVENT_NUMBER("revision", position.revision));
	return false;
}

/*
 * Tests whether the store's configuration would be the first of this process, and may lack a change that
 * other nodes know.
 */
static bool is_unproven(const struct config_watch *w)
{
	struct br_store_trust trust = trust_of(w->board);

	return !w->board->config && !br_store_proves_config(&trust);
}

/*
 * Applies what a read or a watch has returned. The items are in the order of their writes, so that the
 * last one tells whether the newest configuration can be read.
 */
static void apply_items(struct config_watch *w, const struct store_reply *r)
{
	for (size_t i = 0; i < r->n_items; i++)
		if (!strcmp(r->items[i].key, PLATFORM_CONFIG_KEY))
			w->board->config_unreadable = !apply_item(w, r, &r->items[i]);
	advance(w, &r->position);
	/* An event that names no key may be a configuration: reads what there is now. */
	if (r->incomplete)
		w->position.revision = 0;
}

/* Whether what the store has answered proves that it holds no newer configuration. */
static bool proves_config(const struct config_watch *w, const struct store_reply *r)
{
	return !w->board->config_unreadable && !r->incomplete;
}

/* True if changes since the known position can be asked for: the store is still in its era. */
static bool position_known(const struct config_watch *w)
{
	return w->position.revision && w->position.era == store_era(w->board->store);
}

static void on_retry_timer(void *arg)
{
	struct config_watch *w = arg;

	w->retry_timer = NULL;
}

/* Delays the next call; the delay doubles up to RETRY_MAX_MS while calls fail. */
static void schedule_retry(struct config_watch *w)
{
	uint64_t jitter_ms = br_rng_below(&w->board->rng, w->retry_delay_ms / 2 + 1);

	timer_cancel(&w->retry_timer);
	w->retry_timer =
		timer_start(w->board->loop, w->retry_delay_ms + jitter_ms, on_retry_timer, w);
	w->retry_delay_ms =
		w->retry_delay_ms * 2 < RETRY_MAX_MS ? w->retry_delay_ms * 2 : RETRY_MAX_MS;
}

static void on_store_error(struct config_watch *w, const struct store_reply *r)
{
	schedule_retry(w);
	if (w->board->config_watch_failed)
		return;
	w->board->config_watch_failed = true;
	EVENT(EVENT_WARNING, "config", "store_lost", EVENT_NUMBER("status", r->status),
	      EVENT_NUMBER("version", w->board->config ? w->board->config->version : 0),
	      EVENT_NUMBER("confirmed_ms_ago", config_confirmation_age_ms(w->board)));
}

static void on_store_success(struct config_watch *w)
{
	w->retry_delay_ms = RETRY_MIN_MS;
	if (!w->board->config_watch_failed)
		return;
	w->board->config_watch_failed = false;
	EVENT(EVENT_INFO, "config", "store_back", EVENT_NUMBER("revision", w->position.revision));
}

/*
 * Confirmation age at which this node probes the store itself. It is spread over the nodes, so that the
 * first one to probe can confirm for the others.
 */
static uint64_t probe_age_ms(const struct config_watch *w)
{
	double half_ms = (double)w->board->settings->revocation_ms / 2;

	return (uint64_t)(half_ms + half_ms / 3 * w->probe_spread);
}

/* Backdates the confirmation, since the store may have withheld changes; see EVENT_LOSS_MS. */
static void confirm_watch_reply(struct config_watch *w, const struct store_reply *r,
				uint64_t watch_sent_us)
{
	if (proves_config(w, r))
		confirm_from_store(w->board, watch_sent_us - EVENT_LOSS_MS * BR_US_PER_MS);
}

static void on_read(void *arg, const struct store_reply *r)
{
	struct config_watch *w = arg;

	w->call_pending = false;
	if (r->result != STORE_OK && r->result != STORE_NOT_FOUND) {
		on_store_error(w, r);
		return;
	}
	on_store_success(w);
	/* Read again once the other nodes have been asked. */
	if (is_unproven(w))
		return;
	apply_items(w, r);
	/* If there is no configuration yet, the watch that follows delivers the first one. */
	if (r->result == STORE_OK && proves_config(w, r))
		confirm_from_store(w->board, w->sent_us);
	if (!w->position.revision)
		schedule_retry(w);
}

static void on_watch(void *arg, const struct store_reply *r)
{
	struct config_watch *w = arg;

	w->call_pending = false;
	if (r->result == STORE_COMPACTED)
		w->position.revision = 0;
	else if (r->result != STORE_OK)
		on_store_error(w, r);
	if (r->result != STORE_OK)
		return;
	on_store_success(w);
	apply_items(w, r);
	confirm_watch_reply(w, r, w->sent_us);
}

static void on_probe(void *arg, const struct store_reply *r)
{
	struct config_watch *w = arg;

	w->probe_pending = false;
	w->probe_spread = br_rng_unit(&w->board->rng);
	if (r->result == STORE_COMPACTED)
		w->position.revision = 0;
	else if (r->result != STORE_OK)
		on_store_error(w, r);
	if (r->result != STORE_OK)
		return;
	on_store_success(w);
	apply_items(w, r);
	confirm_watch_reply(w, r, w->probe_sent_us);
}

/* Probes the store if neither the keeper nor the watch has confirmed the configuration recently. */
static void probe(struct config_watch *w)
{
	uint64_t limit_ms = probe_age_ms(w);

	if (w->board->is_keeper && limit_ms > KEEPER_PROBE_AGE_MS)
		limit_ms = KEEPER_PROBE_AGE_MS;
	if (w->probe_pending || w->retry_timer || !position_known(w) ||
	    config_confirmation_age_ms(w->board) < limit_ms ||
	    clock_now_us() - w->keeper_config_us < KEEPER_CONFIRM_US)
		return;
	w->probe_pending = true;
	w->probe_sent_us = clock_now_us();
	store_watch(w->board->store, PLATFORM_CONFIG_KEY, &w->position, PROBE_WAIT_MS,
		    READ_TIMEOUT_MS, on_probe, w);
}

static void read_or_watch(struct config_watch *w)
{
	w->call_pending = true;
	w->sent_us = clock_now_us();
	if (!position_known(w))
		store_get(w->board->store, PLATFORM_CONFIG_KEY, READ_TIMEOUT_MS, on_read, w);
	else
		store_watch(w->board->store, PLATFORM_CONFIG_KEY, &w->position, WATCH_WAIT_MS,
			    WATCH_WAIT_MS + WATCH_GRACE_MS, on_watch, w);
}

/* Fetches a version that another node has told of, and that the store may have lost. */
static void fetch_told_version(struct config_watch *w)
{
	struct board *b = w->board;
	struct br_store_trust trust = trust_of(b);

	if (br_store_is_settled(&trust) || trust.version >= trust.told_version)
		return;
	keeper_link_fetch_config(w->link, b->told_version, &b->told_by);
}

static void on_check(void *arg)
{
	struct config_watch *w = arg;
	uint64_t now_us = clock_now_us();

	if (w->board->store_unreachable)
		return;
	fetch_told_version(w);
	if (w->board->config)
		probe(w);
	if (is_unproven(w) && store_era(w->board->store))
		return;
	if (w->call_pending || w->retry_timer || board_follows_keeper(w->board, now_us))
		return;
	/*
	 * A keeper that is found in this time delivers changes without a call to the store. A
	 * restarted node reads its first configuration at once, since callers wait for it.
	 */
	if (!w->board->is_keeper && now_us - w->started_us < FIRST_KEEPER_WAIT_MS * BR_US_PER_MS &&
	    (w->position.revision || w->board->settings->first_start))
		return;
	read_or_watch(w);
}

void config_watch_check(struct config_watch *w)
{
	on_check(w);
}

int config_watch_apply(struct config_watch *w, const char *text, size_t len,
		       const struct br_position *position)
{
	int rc = apply_config(w->board, text, len, position);

	if (rc)
		return rc;
	w->keeper_config_us = clock_now_us();
	if (!w->call_pending)
		advance(w, position);
	return 0;
}

static void on_newer_version(void *ctx, uint64_t version, const struct sockaddr_in *source)
{
	struct config_watch *w = ctx;

	if (board_follows_keeper(w->board, clock_now_us()))
		return;
	if (source && w->board->store_unreachable)
		keeper_link_fetch_config(w->link, version, source);
	fetch_told_version(w);
	if (w->board->store_unreachable)
		return;
	if (w->probe_pending || w->retry_timer || !position_known(w))
		return;
	/* No keeper delivers the version and a pending watch may miss it: the store is probed. */
	w->probe_pending = true;
	w->probe_sent_us = clock_now_us();
	store_watch(w->board->store, PLATFORM_CONFIG_KEY, &w->position, PROBE_WAIT_MS,
		    READ_TIMEOUT_MS, on_probe, w);
}

struct config_watch *config_watch_create(struct board *board, struct keeper_link *link)
{
	struct config_watch *w = xcalloc(1, sizeof(*w));

	w->board = board;
	w->link = link;
	w->retry_delay_ms = RETRY_MIN_MS;
	w->probe_spread = br_rng_unit(&board->rng);
	board->on_newer_version = on_newer_version;
	board->on_newer_version_ctx = w;
	w->started_us = clock_now_us();
	w->check_timer = timer_repeat(board->loop, CHECK_MS, on_check, w);
	on_check(w);
	return w;
}

void config_watch_destroy(struct config_watch *w)
{
	if (!w)
		return;
	timer_cancel(&w->retry_timer);
	timer_cancel(&w->check_timer);
	w->board->on_newer_version = NULL;
	free(w);
}
