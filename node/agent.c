#include "node/agent.h"

#include "briarreel/membership.h"
#include "common/clock.h"
#include "common/log.h"
#include "node/blackboard.h"
#include "node/control.h"
#include "node/gossip.h"
#include "node/node.h"
#include "node/node_settings.h"
#include "node/platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_PREFIX "agent"

#define AGENT_KEY_PREFIX "briarreel/agent/"
#define AGENTS_PER_ZONE 2
#define AGENT_LEASE_TTL_MS 10000
#define RENEW_INTERVAL_US (3 * BR_US_PER_S)
/* Pause after a failed attempt, in which the agent flag of the node that won can propagate. */
#define RETRY_INTERVAL_US (5 * BR_US_PER_S)
/* Length of one watch call; its end confirms that the configuration is current. */
#define WATCH_WAIT_MS 2000
#define WATCH_RETRY_DELAY_US (500 * BR_US_PER_MS)
#define PING_INTERVAL_US (2 * BR_US_PER_S)
/*
 * Groups of nodes that restarted while a partition separated them do not know each other's members,
 * so nodes that have peers also ping seeds and agents, at a lower rate.
 */
#define PEERS_PING_INTERVAL_US (30 * BR_US_PER_S)
/*
 * A candidate waits 1 s for each candidate ranked before it. From rank SHORT_WAIT_RANKS on, the
 * wait is multiplied by SHORT_WAIT_RANKS, so that few candidates call the platform in an outage.
 */
#define SHORT_WAIT_RANKS 8
/* Each check of the role iterates over all members, which takes 0.1 ms for 2,400 members. */
#define ROLE_CHECK_INTERVAL_US (500 * BR_US_PER_MS)
/* Wait of a candidate without peers, which does not know its rank yet. */
#define NO_PEERS_WAIT_S 2

enum agent_state {
	AGENT_IDLE,
	/** The list of the zone's agents was requested from the platform. */
	AGENT_LISTING,
	/** The lease or the agent's key is being written to the platform. */
	AGENT_REGISTERING,
	AGENT_ACTIVE
};

struct agent {
	struct control *ctl;
	enum agent_state state;
	/** Number of the agent's key in its zone, below AGENTS_PER_ZONE. */
	uint32_t number;
	uint64_t lease_id;
	bool renewal_pending;
	uint64_t last_renewal_us;
	uint64_t next_role_check_us;
	/** Time since which the zone has fewer than AGENTS_PER_ZONE agents; 0 if it has all. */
	uint64_t agent_missing_since_us;
	uint64_t next_attempt_us;
	bool watch_pending;
	bool snapshot_needed;
	uint64_t next_watch_us;
	uint64_t watch_from_rev;
	uint64_t next_ping_us;
	bool list_pending;
	bool resigned;
};

struct agent *agent_create(struct control *ctl)
{
	struct agent *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	a->ctl = ctl;
	a->snapshot_needed = true;
	/* By the first check, every node but the first of the mesh knows other members. */
	a->next_role_check_us = clock_now_us() + ROLE_CHECK_INTERVAL_US;
	return a;
}

void agent_destroy(struct agent *a)
{
	free(a);
}

static struct node *node_of(struct agent *a)
{
	return control_node(a->ctl);
}

/* Prefix of the keys of the zone's agents; the agent's number follows. */
static void zone_prefix(struct agent *a, char *out, size_t bytes)
{
	snprintf(out, bytes, AGENT_KEY_PREFIX "%s/", node_of(a)->settings->zone);
}

static bool has_no_peers(struct br_members *members)
{
	return br_members_count(members) == 1 + br_members_count_state(members, BR_MEMBER_DEAD);
}

/** Number of agents of the zone, and of candidates ranked before this node by their hash. */
struct zone_count {
	const struct br_member *self;
	uint64_t self_hash;
	uint32_t candidates_before;
	uint32_t agents;
};

static void count_zone(const struct br_member *m, void *arg)
{
	struct zone_count *zc = arg;
	uint64_t hash = br_hash_str(m->id.text, br_hash_str(m->zone, 0));

	if (strcmp(m->zone, zc->self->zone) != 0 || m->state > BR_MEMBER_DRAINING ||
	    br_node_id_equal(&m->id, &zc->self->id))
		return;
	if (m->flags & GOSSIP_FLAG_AGENT)
		zc->agents++;
	else if (hash < zc->self_hash)
		zc->candidates_before++;
}

static void become_idle(struct agent *a, uint64_t now_us)
{
	a->state = AGENT_IDLE;
	a->agent_missing_since_us = 0;
	a->next_attempt_us = now_us + RETRY_INTERVAL_US;
	gossip_set_agent(control_gossip(a->ctl), false);
}

static void handle_key_result(struct control *ctl, void *arg, const struct platform_result *res,
			      uint64_t now_us)
{
	struct agent *a = arg;

	(void)ctl;
	switch (res->status) {
	case PLATFORM_OK:
		a->state = AGENT_ACTIVE;
		a->last_renewal_us = now_us;
		gossip_set_agent(control_gossip(a->ctl), true);
		log_notice("This node is agent %u of zone %s.", a->number,
			   node_of(a)->settings->zone);
		break;
	case PLATFORM_CONFLICT:
		/* Another node has taken this key; the zone's other key may be free. */
		a->number = (a->number + 1) % AGENTS_PER_ZONE;
		become_idle(a, now_us);
		break;
	default:
		/* If the write took effect without an answer, the key expires with its lease. */
		become_idle(a, now_us);
		break;
	}
}

static void handle_lease_result(struct control *ctl, void *arg, const struct platform_result *res,
				uint64_t now_us)
{
	struct agent *a = arg;
	struct platform_op op = {.type = PLATFORM_PUT, .lease_id = res->lease_id};
	char value[BR_NODE_ID_BYTES];

	(void)ctl;
	if (res->status != PLATFORM_OK) {
		become_idle(a, now_us);
		return;
	}
	a->lease_id = res->lease_id;
	br_copy_text(value, sizeof(value), node_of(a)->settings->control_address);
	op.value = value;
	zone_prefix(a, op.key, sizeof(op.key));
	snprintf(op.key + strlen(op.key), sizeof(op.key) - strlen(op.key), "%u", a->number);
	control_call_platform(a->ctl, &op, handle_key_result, a);
}

/* Selects a free key of the zone. Without one it creates no lease, to save a platform write. */
static void handle_zone_list(struct control *ctl, void *arg, const struct platform_result *res,
			     uint64_t now_us)
{
	struct agent *a = arg;
	struct platform_op op = {.type = PLATFORM_LEASE_CREATE, .ttl_ms = AGENT_LEASE_TTL_MS};
	bool used[AGENTS_PER_ZONE] = {false};
	char prefix[BR_NAME_BYTES + sizeof(AGENT_KEY_PREFIX)];
	uint32_t n = 0;

	zone_prefix(a, prefix, sizeof(prefix));
	for (size_t i = 0; res->status == PLATFORM_OK && i < res->n_entries; i++) {
		unsigned long number = strtoul(res->entries[i].key + strlen(prefix), NULL, 10);

		if (number < AGENTS_PER_ZONE)
			used[number] = true;
	}
	while (n < AGENTS_PER_ZONE && used[n])
		n++;
	if (res->status != PLATFORM_OK || n == AGENTS_PER_ZONE || a->resigned) {
		become_idle(a, now_us);
		return;
	}
	a->number = n;
	a->state = AGENT_REGISTERING;
	control_call_platform(ctl, &op, handle_lease_result, a);
}

static void acquire_role(struct agent *a, uint64_t now_us)
{
	struct br_members *members = gossip_members(control_gossip(a->ctl));
	struct zone_count zc = {.self = br_members_self(members)};
	struct platform_op op = {.type = PLATFORM_RANGE};
	uint64_t wait_s;

	if (now_us < a->next_role_check_us)
		return;
	a->next_role_check_us = now_us + ROLE_CHECK_INTERVAL_US;
	zc.self_hash = br_hash_str(zc.self->id.text, br_hash_str(zc.self->zone, 0));
	br_members_each(members, UINT64_MAX, count_zone, &zc);
	if (zc.agents >= AGENTS_PER_ZONE) {
		a->agent_missing_since_us = 0;
		return;
	}
	if (!a->agent_missing_since_us)
		a->agent_missing_since_us = now_us;
	wait_s = zc.candidates_before < SHORT_WAIT_RANKS
			 ? zc.candidates_before
			 : (uint64_t)zc.candidates_before * SHORT_WAIT_RANKS;
	if (has_no_peers(members))
		wait_s = NO_PEERS_WAIT_S;
	if (now_us < a->agent_missing_since_us + wait_s * BR_US_PER_S ||
	    now_us < a->next_attempt_us)
		return;
	a->state = AGENT_LISTING;
	zone_prefix(a, op.key, sizeof(op.key));
	control_call_platform(a->ctl, &op, handle_zone_list, a);
}

static void handle_renewal_result(struct control *ctl, void *arg, const struct platform_result *res,
				  uint64_t now_us)
{
	struct agent *a = arg;

	(void)ctl;
	a->renewal_pending = false;
	if (a->state != AGENT_ACTIVE)
		return;
	/*
	 * The role is kept while the platform is unavailable: otherwise every node of the zone
	 * would try to acquire it, one after the other.
	 */
	if (res->status == PLATFORM_NOT_FOUND)
		become_idle(a, now_us - RETRY_INTERVAL_US);
}

static void renew_role(struct agent *a, uint64_t now_us)
{
	struct platform_op op = {.type = PLATFORM_LEASE_RENEW, .lease_id = a->lease_id};

	if (a->renewal_pending || now_us - a->last_renewal_us < RENEW_INTERVAL_US)
		return;
	a->renewal_pending = true;
	a->last_renewal_us = now_us;
	control_call_platform(a->ctl, &op, handle_renewal_result, a);
}

static struct br_config_change *entries_to_changes(const struct platform_result *res, size_t *n)
{
	struct br_config_change *changes = calloc(res->n_entries + 1, sizeof(*changes));
	size_t prefix = strlen(BR_CONFIG_PREFIX);

	*n = 0;
	if (!changes)
		abort();
	for (size_t i = 0; i < res->n_entries; i++) {
		const struct platform_entry *e = &res->entries[i];

		if (strncmp(e->key, BR_CONFIG_PREFIX, prefix) != 0)
			continue;
		changes[(*n)++] = (struct br_config_change){.key = e->key + prefix,
							    .mod_rev = e->mod_rev,
							    .value = e->value,
							    .len = e->value ? strlen(e->value) : 0};
	}
	return changes;
}

static void handle_watch_result(struct control *ctl, void *arg, const struct platform_result *res,
				uint64_t now_us)
{
	struct agent *a = arg;
	struct gossip *g = control_gossip(ctl);
	uint64_t watermark = br_config_watermark(gossip_config(g));
	struct br_config_change *changes;
	size_t n;

	a->watch_pending = false;
	if (res->status == PLATFORM_COMPACTED) {
		a->snapshot_needed = true;
		return;
	}
	if (res->status != PLATFORM_OK) {
		a->next_watch_us = now_us + WATCH_RETRY_DELAY_US;
		return;
	}
	if (res->rev < a->watch_from_rev) {
		log_err("The configuration has revision %llu, but the platform returned older "
			"revision %llu; the configuration is kept.",
			(unsigned long long)watermark, (unsigned long long)res->rev);
		a->next_watch_us = now_us + WATCH_RETRY_DELAY_US;
		return;
	}
	changes = entries_to_changes(res, &n);
	if (res->type == PLATFORM_RANGE) {
		gossip_apply_snapshot(g, changes, n, res->rev, now_us);
		a->snapshot_needed = false;
	} else {
		gossip_apply_changes(g, changes, n, a->watch_from_rev, res->rev, now_us);
	}
	free(changes);
	blackboard_confirm_config(node_of(a)->board, now_us);
}

static void start_watch(struct agent *a, uint64_t now_us)
{
	struct platform_op op = {.type = a->snapshot_needed ? PLATFORM_RANGE : PLATFORM_WATCH,
				 .wait_ms = WATCH_WAIT_MS};

	if (a->watch_pending || now_us < a->next_watch_us)
		return;
	a->watch_pending = true;
	a->watch_from_rev = br_config_watermark(gossip_config(control_gossip(a->ctl)));
	op.after_rev = a->watch_from_rev;
	br_copy_text(op.key, sizeof(op.key), BR_CONFIG_PREFIX);
	control_call_platform(a->ctl, &op, handle_watch_result, a);
}

static void handle_agent_list(struct control *ctl, void *arg, const struct platform_result *res,
			      uint64_t now_us)
{
	struct agent *a = arg;

	(void)now_us;
	a->list_pending = false;
	for (size_t i = 0; i < res->n_entries; i++)
		if (res->entries[i].value && settings_is_address(res->entries[i].value))
			gossip_ping_address(control_gossip(ctl), res->entries[i].value);
}

/* Sends PINGs to the seeds and to the agents that are registered on the platform. */
static void ping_seeds_and_agents(struct agent *a, uint64_t now_us)
{
	const struct settings_addresses *seeds = &node_of(a)->settings->seeds;
	struct br_members *members = gossip_members(control_gossip(a->ctl));
	struct platform_op op = {.type = PLATFORM_RANGE};
	bool no_peers = has_no_peers(members);

	if (now_us < a->next_ping_us)
		return;
	a->next_ping_us = now_us + (no_peers ? PING_INTERVAL_US : PEERS_PING_INTERVAL_US);
	for (uint32_t i = 0; i < seeds->n; i++)
		gossip_ping_address(control_gossip(a->ctl), seeds->text[i]);
	/* The platform counts reads, so of the nodes that have peers only agents list the keys. */
	if (a->list_pending || (!no_peers && a->state != AGENT_ACTIVE))
		return;
	a->list_pending = true;
	br_copy_text(op.key, sizeof(op.key), AGENT_KEY_PREFIX);
	control_call_platform(a->ctl, &op, handle_agent_list, a);
}

void agent_tick(struct agent *a, uint64_t now_us)
{
	ping_seeds_and_agents(a, now_us);
	if (a->resigned)
		return;
	switch (a->state) {
	case AGENT_IDLE:
		acquire_role(a, now_us);
		break;
	case AGENT_LISTING:
	case AGENT_REGISTERING:
		break;
	case AGENT_ACTIVE:
		renew_role(a, now_us);
		start_watch(a, now_us);
		break;
	}
}

void agent_resign(struct agent *a)
{
	struct platform_op op = {.type = PLATFORM_LEASE_DELETE, .lease_id = a->lease_id};

	a->resigned = true;
	if (a->state != AGENT_ACTIVE)
		return;
	control_call_platform(a->ctl, &op, handle_renewal_result, a);
	become_idle(a, clock_now_us());
}
