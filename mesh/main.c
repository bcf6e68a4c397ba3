#include "briarreel/error.h"
#include "common/clock.h"
#include "mesh/board.h"
#include "mesh/caller.h"
#include "mesh/config_watch.h"
#include "mesh/election.h"
#include "mesh/era_mark.h"
#include "mesh/event_log.h"
#include "mesh/keeper_link.h"
#include "mesh/left_holder.h"
#include "mesh/left_record.h"
#include "mesh/members.h"
#include "mesh/peer.h"
#include "mesh/presence.h"
#include "mesh/quota.h"
#include "mesh/request.h"
#include "mesh/service.h"
#include "mesh/start_check.h"
#include "mesh/target.h"
#include "mesh/target_search.h"
#include "mesh/view_watch.h"
#include "net/timer.h"
#include "platform/decode.h"
#include "platform/store.h"

#include <malloc.h>
#include <popt.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#define SWEEP_MS 500
#define MMAP_THRESHOLD_BYTES (128 * 1024)
#define STOP_CHECK_MS 50
/* The platform probes once a second; two failed probes remove a node from the callers' lists. */
#define STOP_DETECTED_MS 2300
/* The process exits this long before the platform would kill it. */
#define STOP_MARGIN_MS 350
/* Requests and jobs are answered at least this long before the process exits. */
#define STOP_ANSWER_MS 150

struct node {
	struct board board;
	struct mesh_settings settings;
	const char *settings_path;
	struct config_watch *config_watch;
	struct election *election;
	struct presence *presence;
	struct view_watch *view_watch;
	struct keeper_link *keeper_link;
	struct peer_server *peers;
	struct caller_server *callers;
	struct service_server *service;
	uv_signal_t term, hup;
	uv_prepare_t before_poll;
	/** A stopping process ends at this time at the latest. */
	uint64_t exit_us;
	/** Modification time of the settings file at the last check; 0 before the first one. */
	struct timespec settings_mtime;
	bool leave_started, leave_done;
};

static void on_target_changed(void *ctx)
{
	struct node *n = ctx;

	if (n->presence)
		presence_write(n->presence);
	if (n->board.left_record)
		left_record_write(n->board.left_record);
}

static void on_lease_change(void *ctx, uint64_t lease, uint64_t until_us)
{
	struct node *n = ctx;

	election_set_lease(n->election, lease, until_us);
}

static void on_leave_done(void *ctx)
{
	struct node *n = ctx;

	n->leave_done = true;
}

static void end_process(struct node *n)
{
	EVENT(EVENT_INFO, "node", "stopped",
	      EVENT_NUMBER("after_ms", (clock_now_us() - n->board.stop.started_us) / BR_US_PER_MS),
	      EVENT_NUMBER("unfinished",
			   request_active_count() + peer_server_active_jobs(n->peers)),
	      EVENT_NUMBER("unsent_bytes", n->board.messages.unsent_bytes));
	event_log_flush();
	exit(0);
}

/* Tests whether callers and other nodes have all that they asked for. */
static bool is_idle(const struct node *n)
{
	return !request_active_count() && !peer_server_active_jobs(n->peers) &&
	       caller_server_idle(n->callers) && !n->board.messages.unsent_bytes;
}

static void on_stop_check(void *arg)
{
	struct node *n = arg;
	uint64_t now_us = clock_now_us();
	bool idle = is_idle(n);

	if (now_us >= n->exit_us)
		end_process(n);
	if (idle && now_us >= n->board.stop.noticed_us && !n->leave_started) {
		n->leave_started = true;
		presence_leave(n->presence, on_leave_done, n);
	}
	/* Callers may have sent requests while the lease was being ended. */
	if (idle && n->leave_done)
		end_process(n);
}

/* Time of the stop's start plus the given time, less a margin; the start if the margin is longer. */
static uint64_t before_end_us(uint64_t start_us, uint64_t grace_ms, uint64_t margin_ms)
{
	return start_us + (grace_ms > margin_ms ? (grace_ms - margin_ms) * BR_US_PER_MS : 0);
}

static void on_term(uv_signal_t *handle, int signum)
{
	struct node *n = handle->data;
	uint64_t now_us = clock_now_us(), grace_ms = n->settings.grace_ms;

	(void)signum;
	if (n->board.stopping)
		return;
	EVENT(EVENT_INFO, "node", "stopping", EVENT_NUMBER("requests", request_active_count()),
	      EVENT_NUMBER("jobs", peer_server_active_jobs(n->peers)));
	n->board.stopping = true;
	n->exit_us = before_end_us(now_us, grace_ms, STOP_MARGIN_MS);
	n->board.stop = (struct br_stop){
		.started_us = now_us,
		.noticed_us = now_us + STOP_DETECTED_MS * BR_US_PER_MS,
		.until_us = before_end_us(now_us, grace_ms, STOP_MARGIN_MS + STOP_ANSWER_MS),
	};
	presence_write(n->presence);
	timer_repeat(n->board.loop, STOP_CHECK_MS, on_stop_check, n);
}

static void reload(struct node *n, const char *reason)
{
	struct mesh_settings loaded;
	struct br_error err = {0};

	if (platform_read_settings(n->settings_path, &loaded, &err)) {
		EVENT(EVENT_ERROR, "node", "reload_failed", EVENT_TEXT("why", reason),
		      EVENT_TEXT("error", err.detail));
		return;
	}
	/* Changes of limits take effect at once; changes of addresses need a restart. */
	n->settings.lease_min_ms = loaded.lease_min_ms;
	n->settings.revocation_ms = loaded.revocation_ms;
	n->settings.drain_ms = loaded.drain_ms;
	n->settings.grace_ms = loaded.grace_ms;
	n->settings.budget_ratio = loaded.budget_ratio;
	n->settings.budget_window_ms = loaded.budget_window_ms;
	n->settings.budget_slack = loaded.budget_slack;
	n->settings.quota_overage_ratio = loaded.quota_overage_ratio;
	n->settings.quota_slack = loaded.quota_slack;
	n->settings.quota_window_ms = loaded.quota_window_ms;
	board_count(&n->board, COUNT_RELOADS);
	EVENT(EVENT_INFO, "node", "reloaded", EVENT_TEXT("why", reason),
	      EVENT_TEXT("file", n->settings_path));
}

static void on_hup(uv_signal_t *handle, int signum)
{
	(void)signum;
	reload(handle->data, "signal");
}

/* Reloads the settings file if it has changed without a SIGHUP. */
static void check_settings_file(struct node *n)
{
	struct stat st;

	if (stat(n->settings_path, &st) || (st.st_mtim.tv_sec == n->settings_mtime.tv_sec &&
					    st.st_mtim.tv_nsec == n->settings_mtime.tv_nsec))
		return;
	/* The first check only records the time of the file that the process started with. */
	if (n->settings_mtime.tv_sec)
		reload(n, "file changed");
	n->settings_mtime = st.st_mtim;
}

/* The store cannot tell a node that is cut off from it who the keeper is; another node may. */
static void ask_for_keeper(struct node *n)
{
	struct board *b = &n->board;
	size_t count = members_count(b->members);
	const struct member *m;

	if (!b->store_unreachable || !count || board_follows_keeper(b, clock_now_us()))
		return;
	m = members_at(b->members, br_rng_below(&b->rng, count));
	if (!m->self)
		keeper_link_ask_keeper(n->keeper_link, &m->addr);
}

static void on_sweep(void *arg)
{
	struct node *n = arg;

	target_sweep(n->board.target);
	members_sweep(n->board.members);
	peer_server_sweep(n->peers);
	caller_server_sweep(n->callers);
	store_sweep(n->board.store);
	era_mark_check(&n->board);
	ask_for_keeper(n);
	check_settings_file(n);
}

static void on_before_poll(uv_prepare_t *handle)
{
	struct board *b = handle->data;

	br_pause_poll(&b->pause, clock_now_us());
}

static void on_tick(void *arg)
{
	(void)arg;
}

/* Makes the loop poll at least at the interval from which a pause is told. */
static void watch_pauses(struct node *n)
{
	uv_prepare_init(n->board.loop, &n->before_poll);
	n->before_poll.data = &n->board;
	uv_prepare_start(&n->before_poll, on_before_poll);
	timer_repeat(n->board.loop, BR_PAUSE_POLL_MAX_US / BR_US_PER_MS, on_tick, NULL);
}

static void watch_signals(struct node *n)
{
	signal(SIGPIPE, SIG_IGN);
	uv_signal_init(n->board.loop, &n->term);
	uv_signal_init(n->board.loop, &n->hup);
	n->term.data = n;
	n->hup.data = n;
	uv_signal_start(&n->term, on_term, SIGTERM);
	uv_signal_start(&n->hup, on_hup, SIGHUP);
}

static void on_store_time(void *ctx, uint64_t time_us)
{
	struct board *b = ctx;

	histogram_record(&b->times[TIME_STORE], time_us);
}

/* The lease and all that other nodes do not write is written again; watches read again. */
static void on_store_era(void *ctx, uint64_t from, uint64_t to)
{
	struct node *n = ctx;

	EVENT(EVENT_WARNING, "store", "era_changed", EVENT_NUMBER("from", from),
	      EVENT_NUMBER("to", to), EVENT_NUMBER("keeper", n->board.is_keeper));
	board_count(&n->board, COUNT_STORE_ERA_CHANGES);
	n->board.other_keeper_until_us = clock_now_us() + PRESENCE_LEASE_MS * BR_US_PER_MS;
	if (n->presence)
		presence_start_again(n->presence);
	left_record_write_again(n->board.left_record);
	n->board.era_mark = BR_ERA_MARK_UNREAD;
	start_check_again(n->board.start_check);
}

static void on_others_asked(void *ctx)
{
	struct node *n = ctx;

	config_watch_check(n->config_watch);
}

static int on_fetched_config(void *ctx, const char *text, size_t len,
			     const struct br_position *position)
{
	struct node *n = ctx;

	store_hear_era(n->board.store, position->era);
	return config_watch_apply(n->config_watch, text, len, position);
}

static int on_fetched_view(void *ctx, const char *bytes, size_t len)
{
	struct node *n = ctx;

	return view_watch_apply(n->view_watch, bytes, len);
}

static void on_keeper_key(void *ctx, const struct keeper_key *key)
{
	struct node *n = ctx;

	store_hear_era(n->board.store, key->position.era);
	if (br_position_compare(&key->position, &n->board.keeper_key.position) > 0)
		election_set_keeper(n->election, key->value, key->lease, &key->position);
}

static int start(struct node *n)
{
	struct board *b = &n->board;
	size_t memory_bytes = (size_t)n->settings.memory_mb * 1024 * 1024;

	b->loop = uv_default_loop();
	b->settings = &n->settings;
	b->messages.limit_bytes = memory_bytes / BOARD_MESSAGES_DIVISOR;
	b->messages.pause_bytes = memory_bytes / BOARD_PAUSE_DIVISOR;
	/* Memory of long messages goes back to the system at once, however long others live. */
	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
	br_rng_seed(&b->rng, br_hash_str(n->settings.node, clock_now_us() ^ clock_wall_ms()));
	b->incarnation = (uint32_t)br_rng_next(&b->rng) | 1;
	event_log_start(b->loop, n->settings.node);
	EVENT(EVENT_INFO, "node", "started", EVENT_TEXT("version", BR_VERSION),
	      EVENT_TEXT("zone", n->settings.zone), EVENT_TEXT("service", n->settings.service));
	watch_signals(n);
	watch_pauses(n);
	b->balance = br_balance_create(0);
	BR_INVARIANT(b->balance);
	b->store = store_create(b->loop, &n->settings.store_addr);
	store_set_observer(b->store, on_store_time, b);
	store_set_era_observer(b->store, on_store_era, n);
	if (!n->settings.first_start)
		store_set_system_ran(b->store);
	b->members = members_create(b);
	b->target = target_create(b, on_target_changed, n);
	b->target_search = target_search_create(b);
	b->left_record = left_record_create(b);
	b->left_holder = left_holder_create(b);
	b->start_check = start_check_create(b, on_others_asked, n);
	n->keeper_link = keeper_link_create(b);
	b->quota = quota_create(b, n->keeper_link);
	n->config_watch = config_watch_create(b, n->keeper_link);
	n->election = election_create(b);
	n->presence = presence_create(b, on_lease_change, n);
	n->view_watch = view_watch_create(b, n->election, n->presence);
	keeper_link_set_receiver(
		n->keeper_link,
		&(struct keeper_receiver){on_fetched_config, on_fetched_view, on_keeper_key, n});
	n->peers = peer_server_create(b);
	n->service = service_server_create(b);
	n->callers = caller_server_create(b);
	/* At the first start of the whole system the targets start as well, and report soon. */
	if (!n->settings.first_start)
		target_search_start(b->target_search);
	if (!n->peers || !n->service || !n->callers) {
		EVENT(EVENT_ERROR, "node", "listen_failed", EVENT_TEXT("step", "start"));
		event_log_flush();
		return -1;
	}
	timer_repeat(b->loop, SWEEP_MS, on_sweep, n);
	return 0;
}

int main(int argc, const char **argv)
{
	static struct node node;
	int check_only = 0;
	char *path = NULL;
	struct poptOption options[] = {
		{"settings", 's', POPT_ARG_STRING, &path, 0, "settings file of the platform",
		 "FILE"},
		{"check", 'c', POPT_ARG_NONE, &check_only, 0, "check the settings and exit", NULL},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext popt = poptGetContext("briarreel-mesh", argc, argv, options, 0);
	struct br_error err = {0};
	int rc = poptGetNextOpt(popt);

	if (rc < -1 || poptPeekArg(popt)) {
		fprintf(stderr, "briarreel-mesh: %s\n",
			rc < -1 ? poptStrerror(rc) : "takes no arguments; see --help");
		return 2;
	}
	node.settings_path = path ? path : getenv(PLATFORM_SETTINGS_ENV);
	if (!node.settings_path) {
		fprintf(stderr, "briarreel-mesh: no settings file: give --settings or set %s\n",
			PLATFORM_SETTINGS_ENV);
		return 2;
	}
	if (platform_read_settings(node.settings_path, &node.settings, &err)) {
		fprintf(stderr, "briarreel-mesh: %s\n", err.detail);
		return 2;
	}
	poptFreeContext(popt);
	if (check_only)
		return 0;
	if (sodium_init() < 0 || start(&node))
		return 1;
	return uv_run(node.board.loop, UV_RUN_DEFAULT);
}
