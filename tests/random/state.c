/*
 * Seeded simulation of the config and membership modules on nodes in three zones. Guards against
 * state that reverts to an older revision, does not converge after faults, or routes requests to a
 * node that takes none. Messages are lost, delayed, reordered or duplicated, nodes pause or restart
 * without their state, zones are partitioned (also in one direction), and the store's watch is
 * compacted. BR_SEED runs one seed; BR_DURATION_S continues with further seeds for that many
 * seconds.
 */
#include "tests/random/state_sim.h"

#include <time.h>

#define FAULT_STEPS 600
#define FIXED_SEEDS 30
/* Bounds for the time after the faults, in steps of STEP_US. */
#define CONVERGE_STEPS 300
#define DRAIN_STEPS 100
#define PAUSE_STEPS 200
#define RETURN_STEPS 200

/* --- Checks --- */

/* Checks that no revision and no watermark of a process decreases. */
static void check_monotonic(struct world *w, int i)
{
	struct node *n = &w->nodes[i];
	uint64_t watermark = br_config_watermark(n->config);

	check(w, watermark >= n->highest_watermark, "node %d: the watermark decreased", i);
	n->highest_watermark = watermark;
	for (int k = 0; k < KEYS; k++) {
		struct br_config_change change;
		bool found = br_config_get(n->config, key_text(k), &change);
		uint64_t rev = found ? change.mod_rev : watermark;

		check(w, rev >= n->highest_rev[k] || (!found && !n->highest_rev[k]),
		      "node %d: %s reverted from revision %llu to %llu", i, key_text(k),
		      (unsigned long long)n->highest_rev[k], (unsigned long long)rev);
		n->highest_rev[k] = found || n->highest_rev[k] ? rev : 0;
	}
}

static void step(struct world *w)
{
	w->now_us += STEP_US;
	deliver(w);
	for (int i = 0; i < NODES; i++) {
		if (!is_running(w, i))
			continue;
		tick_node(w, i);
		check_monotonic(w, i);
	}
}

/*
 * True if the record in force comes from the store's latest text, or from an earlier one if the
 * latest is malformed.
 */
static bool view_matches(struct br_view *view, int key, const struct event *latest, uint64_t rev)
{
	static const enum br_record_kind kinds[] = {BR_RECORD_ZONE, BR_RECORD_ACCOUNT,
						    BR_RECORD_KEY};
	const char *name = strchr(key_text(key), '/') + 1;
	size_t n;
	const struct br_record *const *records = br_view_records(view, kinds[key % 3], &n);

	for (size_t r = 0; r < n; r++) {
		uint64_t in_force;

		if (strcmp(records[r]->name, name) != 0)
			continue;
		in_force = strtoull(records[r]->write_id + 1, NULL, 10);
		return latest->valid ? in_force == rev : latest->value && in_force < rev;
	}
	return !latest->valid;
}

/* Returns what first differs between a node's configuration and the store's, or NULL. */
static const char *config_difference(struct world *w, int i)
{
	struct node *n = &w->nodes[i];
	struct br_view *view = br_config_view(n->config);
	const char *difference = NULL;

	if (br_config_watermark(n->config) < w->rev)
		difference = "watermark";
	for (int k = 0; k < KEYS && !difference; k++) {
		const struct event *latest = &w->history[w->latest[k]];
		const char *value = latest->value;
		struct br_config_change change = {0};

		br_config_get(n->config, key_text(k), &change);
		if (!change.value != !value || (value && change.mod_rev != w->latest[k]) ||
		    (value && strcmp(value, change.value) != 0) ||
		    !view_matches(view, k, latest, w->latest[k]))
			difference = key_text(k);
	}
	br_view_put(view);
	return difference;
}

/* True if node i knows the current process and state of node j, or that node j is stopped. */
static bool knows_state(struct world *w, int i, int j)
{
	struct br_node_id id = node_id(j);
	struct br_member seen;
	const struct br_member *self = br_members_self(w->nodes[j].members);
	bool known = br_members_find(w->nodes[i].members, &id, &seen);

	if (w->nodes[j].stopped)
		return !known || seen.state == BR_MEMBER_DEAD;
	return known && seen.state == self->state && seen.incarnation == self->incarnation &&
	       seen.instance == w->nodes[j].incarnation;
}

static void describe_difference(struct world *w, int i, int j, char *reason, size_t reason_bytes)
{
	const struct br_member *self = br_members_self(w->nodes[j].members);
	struct br_member seen = {0};

	br_members_find(w->nodes[i].members, &self->id, &seen);
	snprintf(reason, reason_bytes,
		 "node %d sees node %d as %s, incarnation %llu, but it is %s, incarnation %llu", i,
		 j, seen.incarnation ? br_member_state_name(seen.state) : "unknown",
		 (unsigned long long)seen.incarnation,
		 w->nodes[j].stopped ? "stopped" : br_member_state_name(self->state),
		 (unsigned long long)self->incarnation);
}

static bool is_converged(struct world *w, char *reason, size_t reason_bytes)
{
	for (int i = 0; i < NODES; i++) {
		const char *difference = w->nodes[i].stopped ? NULL : config_difference(w, i);

		if (difference) {
			snprintf(reason, reason_bytes, "node %d: configuration: %s", i, difference);
			return false;
		}
		for (int j = 0; j < NODES && !w->nodes[i].stopped; j++) {
			if (knows_state(w, i, j))
				continue;
			describe_difference(w, i, j, reason, reason_bytes);
			return false;
		}
	}
	return true;
}

/* Steps until all nodes agree with the store and with each other; returns the number of steps. */
static int converge(struct world *w, int bound, const char *after)
{
	/* Room for a whole key table: gcc bounds a key's text by that. */
	char reason[512] = "";

	for (int i = 0; i < bound; i++) {
		step(w);
		if (is_converged(w, reason, sizeof(reason)))
			return i + 1;
	}
	check(w, false, "not converged after %s in %d steps: %s", after, bound, reason);
	return bound;
}

static bool routes_to(struct world *w, int i, int j)
{
	struct br_members_view *view = br_members_view(w->nodes[i].members);
	struct br_node_id id = node_id(j);
	bool found = false;
	size_t n;
	const struct br_member *const *targets = br_members_view_targets(view, "svc", &n);

	for (size_t t = 0; t < n; t++)
		found |= br_node_id_equal(&targets[t]->id, &id);
	br_members_view_put(view);
	return found;
}

/* --- Runs --- */

static void heal(struct world *w)
{
	memset(w->zone_blocked, 0, sizeof(w->zone_blocked));
	memset(w->store_blocked, 0, sizeof(w->store_blocked));
	w->loss_percent = 0;
}

static void inject_fault(struct world *w)
{
	int i = (int)random_below(w, NODES);

	switch (random_below(w, 9)) {
	case 0:
		start_node(w, i);
		break;
	case 1:
		w->nodes[i].paused_until_us = w->now_us + random_below(w, 150) * STEP_US;
		break;
	case 2:
		w->zone_blocked[random_below(w, ZONES)][random_below(w, ZONES)] = true;
		break;
	case 3:
		heal(w);
		break;
	case 4:
		w->store_blocked[random_below(w, ZONES)] = true;
		break;
	case 5:
		w->loss_percent = random_below(w, 40);
		break;
	case 6:
		w->compacted_rev = w->rev;
		break;
	case 7:
		br_members_set_self(w->nodes[i].members,
				    chance(w, 50) ? BR_MEMBER_DRAINING : BR_MEMBER_ALIVE, "svc",
				    true, 0);
		break;
	default:
		w->nodes[i].stopped = chance(w, 20);
		break;
	}
}

/*
 * I10: a draining or leaving node is off all routing lists within DRAIN_STEPS, and can become alive
 * again.
 */
static void check_drain(struct world *w, enum br_member_state state)
{
	int subject = (int)random_below(w, NODES);
	bool listed = true;

	if (w->nodes[subject].stopped)
		start_node(w, subject);
	br_members_set_self(w->nodes[subject].members, BR_MEMBER_ALIVE, "svc", true, 0);
	converge(w, CONVERGE_STEPS, "a start");
	br_members_set_self(w->nodes[subject].members, state, "svc", true, 0);
	for (int s = 0; s < DRAIN_STEPS && listed; s++) {
		step(w);
		listed = false;
		for (int i = 0; i < NODES; i++)
			listed |= !w->nodes[i].stopped && routes_to(w, i, subject);
	}
	check(w, !listed, "node %d is %s and still on a routing list", subject,
	      br_member_state_name(state));
	br_members_set_self(w->nodes[subject].members, BR_MEMBER_ALIVE, "svc", true, 0);
	converge(w, CONVERGE_STEPS, "the end of a drain");
}

/* A node that was paused for long is declared dead, refutes that and is alive again. */
static void check_pause(struct world *w)
{
	int subject = (int)random_below(w, NODES);
	bool listed = false;

	if (w->nodes[subject].stopped)
		return;
	w->nodes[subject].paused_until_us = w->now_us + PAUSE_STEPS * STEP_US;
	for (int s = 0; s < PAUSE_STEPS; s++)
		step(w);
	for (int i = 0; i < NODES; i++)
		listed |= i != subject && !w->nodes[i].stopped && routes_to(w, i, subject);
	check(w, !listed, "node %d is paused and still on a routing list", subject);
	converge(w, RETURN_STEPS, "a pause");
}

static void run_seed(uint64_t seed)
{
	struct world *w = calloc(1, sizeof(*w));

	fprintf(stderr, "state: seed %llu; repeat: BR_SEED=%llu build-asan/test_state\n",
		(unsigned long long)seed, (unsigned long long)seed);
	w->seed = seed;
	w->wall_ms = 1000000;
	br_rng_seed(&w->rng, seed);
	for (int i = 0; i < NODES; i++)
		start_node(w, i);
	for (int s = 0; s < FAULT_STEPS; s++) {
		if (chance(w, 30))
			write_store(w);
		if (chance(w, 10))
			inject_fault(w);
		step(w);
	}
	heal(w);
	for (int i = 0; i < NODES; i++)
		w->nodes[i].paused_until_us = 0;
	converge(w, CONVERGE_STEPS, "the faults");
	check_drain(w, BR_MEMBER_DRAINING);
	check_drain(w, BR_MEMBER_LEAVING);
	check_pause(w);
	for (int i = 0; i < NODES; i++)
		destroy_node(&w->nodes[i]);
	for (struct message *msg = w->messages; msg; msg = w->messages) {
		w->messages = msg->next;
		free_message(msg);
	}
	for (uint64_t rev = 0; rev <= w->rev; rev++)
		free(w->history[rev].value);
	free(w);
}

/* Guards against state that reverts, does not converge, or lists a node that takes no requests. */
Test(state, converges_after_faults)
{
	const char *single_seed = getenv("BR_SEED");
	const char *duration = getenv("BR_DURATION_S");
	const char *first_seed = getenv("BR_FIRST_SEED");
	uint64_t first = single_seed  ? strtoull(single_seed, NULL, 10)
			 : first_seed ? strtoull(first_seed, NULL, 10)
				      : 1;
	uint64_t fixed = single_seed ? 1 : FIXED_SEEDS;
	time_t end = time(NULL) + (duration ? atoi(duration) : 0);

	for (uint64_t i = 0; i < fixed || (duration && time(NULL) < end); i++)
		run_seed(first + i);
}
