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
#define LEASE_TTL_MS 10000
#define RENEW_INTERVAL_US (3 * BR_US_PER_S)
/* After a lost race the winner's entry needs time to spread. */
#define RETRY_INTERVAL_US (5 * BR_US_PER_S)
/* Length of one watch call; its end confirms that the state is current. */
#define WATCH_WAIT_MS 2000
#define WATCH_PAUSE_US (500 * BR_US_PER_MS)
#define CONTACT_INTERVAL_US (2 * BR_US_PER_S)
/*
 * Groups of nodes that restarted while they were cut off from each other know nobody of the other
 * group, so contacts are also sought, at a low rate, by nodes that have members.
 */
#define RECONTACT_INTERVAL_US (30 * BR_US_PER_S)
/* Candidates beyond this rank wait longer, so that few of them call the platform in an outage. */
#define CLOSE_RANKS 8
/* A look at the candidates passes over all members, which takes 0.1 ms at 2,400 of them. */
#define SEEK_INTERVAL_US (500 * BR_US_PER_MS)
/* A node that knows no other has no rank yet. */
#define ALONE_WAIT_S 2

enum agent_state {
	AGENT_IDLE,
	/** Waits for the list of the zone's agents. */
	AGENT_READING,
	AGENT_CLAIMING,
	AGENT_HELD
};

struct agent {
	struct control *ctl;
	enum agent_state state;
	uint32_t number;
	uint64_t lease_id;
	bool renewing;
	uint64_t renewed_us;
	uint64_t seek_us;
	/** Since when an agent of the zone is missing; 0 if none is. */
	uint64_t missing_us;
	uint64_t retry_us;
	bool watching;
	bool snapshot_needed;
	uint64_t watch_us;
	uint64_t watch_from;
	uint64_t contact_us;
	bool listing;
	bool resigned;
};

struct agent *agent_create(struct control *ctl)
{
	struct agent *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	a->ctl = ctl;
	a->snapshot_needed = true;
	/* By then a node that is not the first one knows the others. */
	a->seek_us = clock_now_us() + SEEK_INTERVAL_US;
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

static bool is_alone(struct br_members *members)
{
	return br_members_count(members) == 1 + br_members_count_state(members, BR_MEMBER_DEAD);
}

/** Position of this node among the zone's candidates, and the agents that are there. */
struct zone_count {
	const struct br_member *self;
	uint64_t own_rank;
	uint32_t before;
	uint32_t agents;
};

static void count_zone(const struct br_member *m, void *arg)
{
	struct zone_count *zc = arg;
	uint64_t rank = br_hash_str(m->id.text, br_hash_str(m->zone, 0));

	if (strcmp(m->zone, zc->self->zone) != 0 || m->state > BR_MEMBER_DRAINING ||
	    br_node_id_equal(&m->id, &zc->self->id))
		return;
	if (m->flags & GOSSIP_FLAG_AGENT)
		zc->agents++;
	else if (rank < zc->own_rank)
		zc->before++;
}

static void become_idle(struct agent *a, uint64_t now_us)
{
	a->state = AGENT_IDLE;
	a->missing_us = 0;
	a->retry_us = now_us + RETRY_INTERVAL_US;
	gossip_set_agent(control_gossip(a->ctl), false);
}

static void take_key(struct control *ctl, void *arg, const struct platform_result *res,
		     uint64_t now_us)
{
	struct agent *a = arg;

	(void)ctl;
	switch (res->status) {
	case PLATFORM_OK:
		a->state = AGENT_HELD;
		a->renewed_us = now_us;
		gossip_set_agent(control_gossip(a->ctl), true);
		log_notice("This node is agent %u of zone %s.", a->number,
			   node_of(a)->settings->zone);
		break;
	case PLATFORM_CONFLICT:
		/* The other key of the zone may be free. */
		a->number = (a->number + 1) % AGENTS_PER_ZONE;
		become_idle(a, now_us);
		break;
	default:
		/* If the write took effect without an answer, the lease lets the key lapse. */
		become_idle(a, now_us);
		break;
	}
}

static void take_lease(struct control *ctl, void *arg, const struct platform_result *res,
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
	control_platform(a->ctl, &op, take_key, a);
}

/* Picks a free key of the zone; creates no lease if there is none, since that is a write. */
static void take_zone_list(struct control *ctl, void *arg, const struct platform_result *res,
			   uint64_t now_us)
{
	struct agent *a = arg;
	struct platform_op op = {.type = PLATFORM_LEASE_CREATE, .ttl_ms = LEASE_TTL_MS};
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
	a->state = AGENT_CLAIMING;
	control_platform(ctl, &op, take_lease, a);
}

static void seek_role(struct agent *a, uint64_t now_us)
{
	struct br_members *members = gossip_members(control_gossip(a->ctl));
	struct zone_count zc = {.self = br_members_self(members)};
	struct platform_op op = {.type = PLATFORM_RANGE};
	uint64_t wait_s;

	if (now_us < a->seek_us)
		return;
	a->seek_us = now_us + SEEK_INTERVAL_US;
	zc.own_rank = br_hash_str(zc.self->id.text, br_hash_str(zc.self->zone, 0));
	br_members_each(members, UINT64_MAX, count_zone, &zc);
	if (zc.agents >= AGENTS_PER_ZONE) {
		a->missing_us = 0;
		return;
	}
	if (!a->missing_us)
		a->missing_us = now_us;
	wait_s = zc.before < CLOSE_RANKS ? zc.before : (uint64_t)zc.before * CLOSE_RANKS;
	if (is_alone(members))
		wait_s = ALONE_WAIT_S;
	if (now_us < a->missing_us + wait_s * BR_US_PER_S || now_us < a->retry_us)
		return;
	a->state = AGENT_READING;
	zone_prefix(a, op.key, sizeof(op.key));
	control_platform(a->ctl, &op, take_zone_list, a);
}

static void take_renewal(struct control *ctl, void *arg, const struct platform_result *res,
			 uint64_t now_us)
{
	struct agent *a = arg;

	(void)ctl;
	a->renewing = false;
	if (a->state != AGENT_HELD)
		return;
	/*
	 * While the platform is away the role is kept: otherwise every node of the zone would
	 * try to take it, one after the other.
	 */
	if (res->status == PLATFORM_NOT_FOUND)
		become_idle(a, now_us - RETRY_INTERVAL_US);
}

static void keep_role(struct agent *a, uint64_t now_us)
{
	struct platform_op op = {.type = PLATFORM_LEASE_RENEW, .lease_id = a->lease_id};

	if (a->renewing || now_us - a->renewed_us < RENEW_INTERVAL_US)
		return;
	a->renewing = true;
	a->renewed_us = now_us;
	control_platform(a->ctl, &op, take_renewal, a);
}

static struct br_config_change *list_changes(const struct platform_result *res, size_t *n)
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

static void take_watch(struct control *ctl, void *arg, const struct platform_result *res,
		       uint64_t now_us)
{
	struct agent *a = arg;
	struct gossip *g = control_gossip(ctl);
	uint64_t watermark = br_config_watermark(gossip_config(g));
	struct br_config_change *changes;
	size_t n;

	a->watching = false;
	if (res->status == PLATFORM_COMPACTED) {
		a->snapshot_needed = true;
		return;
	}
	if (res->status != PLATFORM_OK) {
		a->watch_us = now_us + WATCH_PAUSE_US;
		return;
	}
	if (res->rev < a->watch_from) {
		log_err("Platform revision went back from %llu to %llu; the newer state is kept.",
			(unsigned long long)watermark, (unsigned long long)res->rev);
		a->watch_us = now_us + WATCH_PAUSE_US;
		return;
	}
	changes = list_changes(res, &n);
	if (res->type == PLATFORM_RANGE) {
		gossip_platform_snapshot(g, changes, n, res->rev, now_us);
		a->snapshot_needed = false;
	} else {
		gossip_platform_changes(g, changes, n, a->watch_from, res->rev, now_us);
	}
	free(changes);
	blackboard_confirm(node_of(a)->board, now_us);
}

static void watch(struct agent *a, uint64_t now_us)
{
	struct platform_op op = {.type = a->snapshot_needed ? PLATFORM_RANGE : PLATFORM_WATCH,
				 .wait_ms = WATCH_WAIT_MS};

	if (a->watching || now_us < a->watch_us)
		return;
	a->watching = true;
	a->watch_from = br_config_watermark(gossip_config(control_gossip(a->ctl)));
	op.after_rev = a->watch_from;
	br_copy_text(op.key, sizeof(op.key), BR_CONFIG_PREFIX);
	control_platform(a->ctl, &op, take_watch, a);
}

static void take_agents(struct control *ctl, void *arg, const struct platform_result *res,
			uint64_t now_us)
{
	struct agent *a = arg;

	(void)now_us;
	a->listing = false;
	for (size_t i = 0; i < res->n_entries; i++)
		if (res->entries[i].value && settings_is_address(res->entries[i].value))
			gossip_contact(control_gossip(ctl), res->entries[i].value);
}

/* Looks for other nodes: the seeds, and the agents' keys on the platform. */
static void seek_contacts(struct agent *a, uint64_t now_us)
{
	const struct settings_addresses *seeds = &node_of(a)->settings->seeds;
	struct br_members *members = gossip_members(control_gossip(a->ctl));
	struct platform_op op = {.type = PLATFORM_RANGE};
	bool alone = is_alone(members);

	if (now_us < a->contact_us)
		return;
	a->contact_us = now_us + (alone ? CONTACT_INTERVAL_US : RECONTACT_INTERVAL_US);
	for (uint32_t i = 0; i < seeds->n; i++)
		gossip_contact(control_gossip(a->ctl), seeds->text[i]);
	/* Only agents list the others' keys once there are members: the platform counts reads. */
	if (a->listing || (!alone && a->state != AGENT_HELD))
		return;
	a->listing = true;
	br_copy_text(op.key, sizeof(op.key), AGENT_KEY_PREFIX);
	control_platform(a->ctl, &op, take_agents, a);
}

void agent_tick(struct agent *a, uint64_t now_us)
{
	seek_contacts(a, now_us);
	if (a->resigned)
		return;
	switch (a->state) {
	case AGENT_IDLE:
		seek_role(a, now_us);
		break;
	case AGENT_READING:
	case AGENT_CLAIMING:
		break;
	case AGENT_HELD:
		keep_role(a, now_us);
		watch(a, now_us);
		break;
	}
}

void agent_resign(struct agent *a)
{
	struct platform_op op = {.type = PLATFORM_LEASE_DROP, .lease_id = a->lease_id};

	a->resigned = true;
	if (a->state != AGENT_HELD)
		return;
	control_platform(a->ctl, &op, take_renewal, a);
	become_idle(a, clock_now_us());
}
