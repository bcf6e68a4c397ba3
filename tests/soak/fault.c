#include "standins/mesh/kv.h"
#include "tests/soak/soak.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define ACTIVE_MAX 6
#define FAULT_MAX_US (4 * BR_US_PER_S)
#define FAULT_MIN_US (300 * BR_US_PER_MS)
#define FAULT_GAP_MAX_MS 700
#define RELAY_DELAY_MS 120
#define CHECK_INTERVAL_US (20 * BR_US_PER_MS)

enum fault_kind {
	FAULT_STORE_REFUSES,
	FAULT_STORE_SILENT,
	FAULT_STORE_COMPACTED,
	FAULT_RELAY,
	FAULT_KILL,
	FAULT_PAUSE,
	FAULT_STOP,
	FAULT_HUP,
	FAULT_TARGET,
	FAULT_REPLACE,
	FAULT_KEY,
	FAULT_ROUTE,
	/** A target leaves around its node's restart. */
	FAULT_LEAVE,
	/** The keeper is frozen again and again. */
	FAULT_FREEZE,
	/** The store is away for a moment and comes back from an older copy. */
	FAULT_STORE_COPY,
	FAULT_KINDS,
};

struct fault {
	enum fault_kind kind;
	uint32_t node, variant;
	enum relay relay;
	/** A duration when picked, then the time at which the fault ends. */
	uint64_t until_us;
	/** Applied and undone by a thread of its own, which sets done. */
	bool threaded;
	volatile bool done;
};

static const char *const relay_modes[] = {"drop", "drop-to", "drop-from", "refuse"};
static const char *const kind_names[FAULT_KINDS] = {"store refuses",
						    "store is silent",
						    "store forgets its history",
						    "relay",
						    "kill",
						    "pause",
						    "stop",
						    "hup",
						    "target",
						    "replace",
						    "key",
						    "route",
						    "leave",
						    "freeze keeper",
						    "store from a copy"};
#define RELAY_DELAY 4
#define RELAY_BLACKHOLE 5
#define RELAY_VARIANTS 6
/* Mean time between faults that seeds did not have from the start. */
#define LATER_FAULT_GAP_MS 5000

/* A series of freezes lasts about as long as the window of a rate. */
#define FREEZE_MIN_US (3 * BR_US_PER_S)
#define FREEZE_SPREAD_US 4000000
#define FREEZE_GAP_MS 8000

/* Age of the copy when the store goes away, and time for which it is away. */
#define COPY_AGE_MIN_US (200 * BR_US_PER_MS)
#define COPY_AGE_SPREAD_US 5000000
#define COPY_AWAY_MIN_US (50 * BR_US_PER_MS)
#define COPY_AWAY_SPREAD_US 1500000
#define COPY_GAP_MS 6000
#define COPY_LOST_CHANGES 4

static bool disturbs_process(const struct fault *f)
{
	return (f->kind >= FAULT_KILL && f->kind <= FAULT_HUP) || f->kind == FAULT_LEAVE ||
	       f->kind == FAULT_FREEZE;
}

/* True if the fault sets how the store answers. */
static bool disturbs_answers(const struct fault *f)
{
	return f->kind <= FAULT_STORE_SILENT || f->kind == FAULT_STORE_COPY;
}

static bool disturbs_target(const struct fault *f)
{
	return f->kind == FAULT_TARGET || f->kind == FAULT_REPLACE || f->kind == FAULT_LEAVE;
}

/*
 * True if two faults cannot be active together: two outages of the store, or two faults of the same
 * node's process, target or relay.
 */
static bool conflicts(const struct fault *a, const struct fault *b)
{
	bool store_a = disturbs_answers(a), store_b = disturbs_answers(b);
	bool process_a = disturbs_process(a), process_b = disturbs_process(b);
	bool target_a = disturbs_target(a), target_b = disturbs_target(b);

	if (store_a && store_b)
		return true;
	if (a->node != b->node)
		return false;
	return (process_a && process_b) || (target_a && target_b) ||
	       (a->kind == FAULT_RELAY && b->kind == FAULT_RELAY && a->relay == b->relay);
}

/*
 * Takes the copy, and comes back from it age_us and then away_us later. The store loses some changes
 * of the configuration; with the next one it has fewer revisions than it had.
 */
static void play_store_from_copy(uint32_t away_us, uint64_t age_us)
{
	kv_copy();
	for (int i = 0; i < COPY_LOST_CHANGES; i++)
		config_move_route();
	sleep_us(age_us);
	stability_record_disturbance(NONE, now_us() + away_us);
	kv_set_fault(KV_SILENT);
	sleep_us(away_us);
	config_restore_store();
	config_move_route();
	kv_set_fault(KV_HEALTHY);
	stability_record_disturbance(NONE, now_us());
}

static void *run_threaded(void *arg)
{
	struct fault *f = arg;

	if (f->kind == FAULT_STORE_COPY) {
		play_store_from_copy(f->variant, f->until_us - now_us());
	} else if (f->kind == FAULT_STOP) {
		process_stop_node(f->node);
		sleep_us(FAULT_MIN_US);
		process_start_node(f->node);
	} else if (f->kind == FAULT_LEAVE) {
		target_leave_around_restart(f->node, f->variant);
	} else if (f->kind == FAULT_FREEZE) {
		process_freeze_keeper(f->until_us - now_us());
	} else {
		target_replace(f->node, f->variant % 2);
	}
	f->done = true;
	return NULL;
}

static void start_thread(struct fault *f)
{
	pthread_t thread;

	f->threaded = true;
	if (pthread_create(&thread, NULL, run_threaded, f))
		abort();
	pthread_detach(thread);
}

static void apply_relay(const struct fault *f)
{
	char path[64];

	if (f->variant == RELAY_BLACKHOLE)
		snprintf(path, sizeof(path), "/standin/blackhole");
	else if (f->variant == RELAY_DELAY)
		snprintf(path, sizeof(path), "/standin/delay?ms=%d", RELAY_DELAY_MS);
	else
		snprintf(path, sizeof(path), "/standin/mode?mode=%s", relay_modes[f->variant]);
	process_relay(f->node, f->relay, path);
}

static void apply(struct fault *f)
{
	switch (f->kind) {
	case FAULT_STORE_REFUSES:
		kv_set_fault(KV_UNAVAILABLE);
		break;
	case FAULT_STORE_SILENT:
		kv_set_fault(KV_SILENT);
		break;
	case FAULT_STORE_COMPACTED:
		kv_compact();
		break;
	case FAULT_RELAY:
		apply_relay(f);
		break;
	case FAULT_KILL:
		process_signal_node(f->node, SIGKILL);
		break;
	case FAULT_PAUSE:
		process_signal_node(f->node, SIGSTOP);
		break;
	case FAULT_STOP:
	case FAULT_REPLACE:
	case FAULT_LEAVE:
	case FAULT_FREEZE:
	case FAULT_STORE_COPY:
		start_thread(f);
		break;
	case FAULT_HUP:
		process_signal_node(f->node, SIGHUP);
		break;
	case FAULT_TARGET:
		target_set_fault(f->node, (enum target_fault)(1 + f->variant));
		break;
	case FAULT_KEY:
		config_flip_key();
		break;
	case FAULT_ROUTE:
		config_move_route();
		break;
	case FAULT_KINDS:
		break;
	}
}

static void undo(struct fault *f)
{
	switch (f->kind) {
	case FAULT_STORE_REFUSES:
	case FAULT_STORE_SILENT:
		kv_set_fault(KV_HEALTHY);
		break;
	case FAULT_RELAY:
		process_relay(f->node, f->relay, "/standin/mode?mode=forward");
		process_relay(f->node, f->relay, "/standin/delay?ms=0");
		break;
	case FAULT_KILL:
		process_start_node(f->node);
		break;
	case FAULT_PAUSE:
		process_signal_node(f->node, SIGCONT);
		break;
	case FAULT_TARGET:
		target_set_fault(f->node, TARGET_HEALTHY);
		break;
	default:
		break;
	}
}

/*
 * Records what a fault disturbs: the store or a node. Reloads, target faults and configuration
 * changes disturb neither.
 */
static void record_disturbance(const struct fault *f)
{
	if (f->kind <= FAULT_STORE_COMPACTED || f->kind == FAULT_STORE_COPY)
		stability_record_disturbance(NONE, now_us());
	else if (f->kind <= FAULT_STOP)
		stability_record_disturbance(f->node, now_us());
}

static struct fault pick_fault(struct br_rng *rng)
{
	static const uint32_t weights[FAULT_KINDS] = {2, 2, 1, 8, 2, 2, 2, 1, 4, 3, 2, 2, 0, 0, 0};
	struct fault f = {0};
	uint32_t sum = 0, at;

	for (int k = 0; k < FAULT_KINDS; k++)
		sum += weights[k];
	at = random_below(rng, sum);
	while (at >= weights[f.kind])
		at -= weights[f.kind++];
	f.node = random_below(rng, soak.n_nodes);
	f.variant = random_below(rng, RELAY_VARIANTS);
	f.relay = (enum relay)random_below(rng, RELAYS);
	f.until_us = FAULT_MIN_US + random_below(rng, (uint32_t)(FAULT_MAX_US - FAULT_MIN_US));
	return f;
}

/* Draws from a generator of its own, so that the seeds that failed once keep their other faults. */
static struct fault pick_later_fault(struct br_rng *rng)
{
	struct fault f = {.node = random_below(rng, soak.n_nodes)};

	if (random_below(rng, 2)) {
		f.kind = FAULT_LEAVE;
	} else {
		f.kind = FAULT_TARGET;
		f.variant = TARGET_REFUSES_AGAIN - 1;
	}
	f.until_us = FAULT_MIN_US + random_below(rng, (uint32_t)(FAULT_MAX_US - FAULT_MIN_US));
	/* Not drawn, so that seeds keep their faults. */
	if (f.kind == FAULT_LEAVE)
		f.variant = (uint32_t)f.until_us % LEAVE_VARIANTS;
	return f;
}

static struct fault pick_invalid_answers(struct br_rng *rng)
{
	return (struct fault){.kind = FAULT_TARGET,
			      .node = random_below(rng, soak.n_nodes),
			      .variant = TARGET_ANSWERS_INVALID - 1,
			      .until_us =
				      FAULT_MIN_US +
				      random_below(rng, (uint32_t)(FAULT_MAX_US - FAULT_MIN_US))};
}

static struct fault pick_freeze(struct br_rng *rng)
{
	return (struct fault){.kind = FAULT_FREEZE,
			      .node = NONE,
			      .until_us = FREEZE_MIN_US + random_below(rng, FREEZE_SPREAD_US)};
}

static struct fault pick_store_from_copy(struct br_rng *rng)
{
	return (struct fault){.kind = FAULT_STORE_COPY,
			      .node = NONE,
			      .variant = (uint32_t)COPY_AWAY_MIN_US +
					 random_below(rng, COPY_AWAY_SPREAD_US),
			      .until_us = COPY_AGE_MIN_US + random_below(rng, COPY_AGE_SPREAD_US)};
}

static bool can_start(const struct fault *f, struct fault *const *active)
{
	for (int i = 0; i < ACTIVE_MAX; i++)
		if (active[i] && conflicts(f, active[i]))
			return false;
	return true;
}

/* Starts a fault unless ACTIVE_MAX faults are active. */
static void start_fault(const struct fault *picked, struct fault **active, uint64_t start_us)
{
	struct fault *f;
	int i = 0;

	while (i < ACTIVE_MAX && active[i])
		i++;
	if (i == ACTIVE_MAX)
		return;
	f = malloc(sizeof(*f));
	if (!f)
		abort();
	*f = *picked;
	printf("  %6.2f s %s, node %u, variant %u, relay %d, %.2f s\n",
	       (double)(now_us() - start_us) / BR_US_PER_S, kind_names[f->kind], f->node,
	       f->variant, f->relay, (double)f->until_us / BR_US_PER_S);
	f->until_us += now_us();
	record_disturbance(f);
	apply(f);
	active[i] = f;
}

static void end_faults(struct fault **active, bool all)
{
	for (int i = 0; i < ACTIVE_MAX; i++) {
		struct fault *f = active[i];

		if (!f)
			continue;
		record_disturbance(f);
		if (f->threaded ? !f->done : !all && now_us() < f->until_us)
			continue;
		undo(f);
		record_disturbance(f);
		free(f);
		active[i] = NULL;
	}
}

/* Starts the fault that a generator picks if its time has come and nothing conflicts with it. */
static void start_due(struct fault (*pick)(struct br_rng *), struct br_rng *rng, uint64_t *next_us,
		      uint32_t gap_max_ms, struct fault **active, uint64_t start_us)
{
	struct fault f;

	if (now_us() < *next_us)
		return;
	f = pick(rng);
	*next_us = now_us() + random_below(rng, gap_max_ms) * BR_US_PER_MS;
	if (can_start(&f, active))
		start_fault(&f, active, start_us);
}

void fault_run(uint64_t for_us)
{
	struct fault *active[ACTIVE_MAX] = {0};
	uint64_t start_us = now_us(), next_us = start_us, next_later_us = start_us;
	uint64_t next_freeze_us = start_us, next_invalid_us = start_us, next_copy_us = start_us;
	bool pending = true;
	struct br_rng rng, later_rng, freeze_rng, invalid_rng, copy_rng;

	br_rng_seed(&rng, soak.seed);
	br_rng_seed(&later_rng, ~soak.seed);
	br_rng_seed(&freeze_rng, soak.seed * 31);
	br_rng_seed(&invalid_rng, soak.seed * 37);
	br_rng_seed(&copy_rng, soak.seed * 41);
	while (now_us() < start_us + for_us) {
		start_due(pick_fault, &rng, &next_us, FAULT_GAP_MAX_MS, active, start_us);
		start_due(pick_later_fault, &later_rng, &next_later_us, 2 * LATER_FAULT_GAP_MS,
			  active, start_us);
		start_due(pick_freeze, &freeze_rng, &next_freeze_us, 2 * FREEZE_GAP_MS, active,
			  start_us);
		start_due(pick_invalid_answers, &invalid_rng, &next_invalid_us,
			  2 * LATER_FAULT_GAP_MS, active, start_us);
		start_due(pick_store_from_copy, &copy_rng, &next_copy_us, 2 * COPY_GAP_MS, active,
			  start_us);
		end_faults(active, false);
		process_check();
		sleep_us(CHECK_INTERVAL_US);
	}
	while (pending) {
		pending = false;
		end_faults(active, true);
		for (int i = 0; i < ACTIVE_MAX; i++)
			pending |= active[i] != NULL;
		sleep_us(CHECK_INTERVAL_US);
	}
}
