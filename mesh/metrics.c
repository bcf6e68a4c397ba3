#include "mesh/metrics.h"

#include "common/clock.h"
#include "mesh/config_watch.h"
#include "mesh/event_log.h"
#include "mesh/left_holder.h"
#include "mesh/members.h"
#include "mesh/target.h"
#include "platform/store.h"

#include <inttypes.h>
#include <stdio.h>

static const struct {
	const char *name, *help;
} counter_names[COUNTERS] = {
	[COUNT_REQUESTS] = {"requests_total", "Requests of callers."},
	[COUNT_ANSWERED] = {"answered_total", "Requests with an answer of a target."},
	[COUNT_NO_CONFIG] = {"no_config_total", "Refused: no configuration is known yet."},
	[COUNT_NO_ROUTE] = {"no_route_total", "Refused: no route, host or id."},
	[COUNT_KEY_UNKNOWN] = {"key_unknown_total", "Refused: key missing or not known."},
	[COUNT_KEY_UNCONFIRMED] = {"key_unconfirmed_total", "Refused: keys not confirmed."},
	[COUNT_OVER_QUOTA] = {"over_quota_total", "Refused: account over its rate."},
	[COUNT_REFUSED] = {"refused_total", "Refused with 503, not run."},
	[COUNT_FAILED] = {"failed_total", "Answered 502."},
	[COUNT_TIMED_OUT] = {"timed_out_total", "Answered 504."},
	[COUNT_CALLER_LEFT] = {"caller_left_total", "Callers that left before the answer."},
	[COUNT_RETRIES] = {"repeats_total", "Requests sent to a further target."},
	[COUNT_RETRIES_DENIED] = {"repeats_denied_total", "Repeats denied by the budget."},
	[COUNT_TARGET_JOBS] = {"target_jobs_total", "Jobs for the target of this VM."},
	[COUNT_TARGET_NOT_RUN] = {"target_not_run_total", "Jobs that the target has not run."},
	[COUNT_TARGET_LOST] = {"target_lost_total", "Jobs without a whole answer."},
	[COUNT_RELOADS] = {"reloads_total", "Settings read again."},
	[COUNT_FETCHES_RELAY] = {"fetches_relay_total", "Fetches from a node of the zone."},
	[COUNT_FETCHES_KEEPER] = {"fetches_keeper_total", "Fetches from the keeper."},
	[COUNT_FETCHES_FAILED] = {"fetches_failed_total", "Fetches that failed."},
	[COUNT_QUOTA_FALLBACK] = {"quota_fallback_total",
				  "Requests admitted by this node's part of a rate."},
	[COUNT_STORE_ERA_CHANGES] = {"store_era_changes_total",
				     "Times that the store came back from an older copy."},
};

static const struct {
	const char *name, *label, *help;
} time_names[TIME_KINDS] = {
	/* help is NULL if the row adds a label value to the metric of the row above. */
	[TIME_ANSWERED] = {"request_seconds", "outcome=\"answered\"",
			   "From a caller's request to its answer."},
	[TIME_REFUSED] = {"request_seconds", "outcome=\"refused\"", NULL},
	[TIME_FAILED] = {"request_seconds", "outcome=\"failed\"", NULL},
	[TIME_ENTRY] = {"entry_seconds", "", "From a request to its first try: key, rate, choice."},
	[TIME_QUEUE] = {"queue_seconds", "", "Wait of jobs in the queue of this VM's target."},
	[TIME_TARGET] = {"target_seconds", "", "Time that this VM's target took for a job."},
	[TIME_STORE] = {"store_seconds", "", "Calls to the store, without watches."},
};

static void write_times(const struct board *b, struct buf *out)
{
	char name[64];

	for (int i = 0; i < TIME_KINDS; i++) {
		snprintf(name, sizeof(name), "briarreel_%s", time_names[i].name);
		if (time_names[i].help)
			buf_printf(out, "# HELP %s %s\n# TYPE %s histogram\n", name,
				   time_names[i].help, name);
		histogram_write(&b->times[i], name, time_names[i].label, out);
	}
}

void metrics_write(const struct board *b, struct buf *out)
{
	struct peer_end load = {0};

	for (int i = 0; i < COUNTERS; i++)
		buf_printf(out,
			   "# HELP briarreel_%s %s\n# TYPE briarreel_%s counter\n"
			   "briarreel_%s %" PRIu64 "\n",
			   counter_names[i].name, counter_names[i].help, counter_names[i].name,
			   counter_names[i].name, b->counters[i]);
	write_times(b, out);
	target_get_load(b->target, &load);
	buf_printf(out, "# TYPE briarreel_target_in_flight gauge\nbriarreel_target_in_flight %u\n",
		   load.in_flight);
	buf_printf(out, "# TYPE briarreel_target_queued gauge\nbriarreel_target_queued %u\n",
		   load.queued);
	buf_printf(out, "# TYPE briarreel_target_phase gauge\nbriarreel_target_phase %d\n",
		   (int)target_status(b->target)->phase);
	buf_printf(out,
		   "# HELP briarreel_message_bytes Bytes of messages that the node holds.\n"
		   "# TYPE briarreel_message_bytes gauge\n"
		   "briarreel_message_bytes{state=\"received\"} %zu\n"
		   "briarreel_message_bytes{state=\"unsent\"} %zu\n",
		   b->messages.held_bytes, b->messages.unsent_bytes);
	buf_printf(out, "# TYPE briarreel_keeper gauge\nbriarreel_keeper %d\n", b->is_keeper);
	buf_printf(out, "# TYPE briarreel_follows_keeper gauge\nbriarreel_follows_keeper %d\n",
		   board_follows_keeper(b, clock_now_us()));
	buf_printf(out, "# TYPE briarreel_members gauge\nbriarreel_members %zu\n",
		   members_count(b->members));
	buf_printf(out,
		   "# TYPE briarreel_config_version gauge\nbriarreel_config_version %" PRIu64 "\n",
		   b->config ? b->config->version : 0);
	buf_printf(out,
		   "# HELP briarreel_config_unreadable The store's newest configuration can't be "
		   "read.\n"
		   "# TYPE briarreel_config_unreadable gauge\nbriarreel_config_unreadable %d\n",
		   b->config_unreadable);
	buf_printf(out,
		   "# TYPE briarreel_config_confirmed_age_ms gauge\n"
		   "briarreel_config_confirmed_age_ms %" PRIu64 "\n",
		   config_confirmation_age_ms(b));
	buf_printf(out,
		   "# TYPE briarreel_store_calls_total counter\n"
		   "briarreel_store_calls_total %" PRIu64 "\n",
		   store_call_count(b->store));
	buf_printf(out, "# TYPE briarreel_store_era gauge\nbriarreel_store_era %" PRIu64 "\n",
		   store_era(b->store));
	buf_printf(out,
		   "# HELP briarreel_store_era_marked The store names its era, so that it is "
		   "settled.\n"
		   "# TYPE briarreel_store_era_marked gauge\nbriarreel_store_era_marked %d\n",
		   b->era_mark == BR_ERA_MARK_PRESENT);
	buf_printf(out,
		   "# HELP briarreel_left_held Nodes whose targets that left this node remembers.\n"
		   "# TYPE briarreel_left_held gauge\nbriarreel_left_held %u\n",
		   b->left_holder ? left_holder_count(b->left_holder) : 0);
	buf_printf(out,
		   "# TYPE briarreel_target_connections_total counter\n"
		   "briarreel_target_connections_total %" PRIu64 "\n",
		   target_connections_opened(b->target));
	buf_printf(out,
		   "# TYPE briarreel_log_dropped_total counter\n"
		   "briarreel_log_dropped_total %" PRIu64 "\n",
		   event_log_dropped());
}
