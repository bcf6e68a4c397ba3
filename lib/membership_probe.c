#include "briarreel/membership.h"
#include "lib/membership_internal.h"

#include <string.h>

/* Number of indirect probes of a member that did not answer a direct one. */
#define INDIRECT_PROBES 2
/* A longer gap between ticks means that this process was paused, so its timeouts are not valid. */
#define MAX_TICK_GAP_US BR_US_PER_S

/* Actions of a tick. */
struct action_list {
	struct br_member_action *items;
	size_t n;
	size_t max;
};

static void add_action(struct action_list *list, const struct br_member *member,
		       const struct br_member *via)
{
	struct br_member_action *action = &list->items[list->n++];

	BR_INVARIANT(list->n <= list->max);
	memset(action, 0, sizeof(*action));
	action->type = via ? BR_MEMBER_PING_INDIRECT : BR_MEMBER_PING;
	action->member = member->id;
	br_copy_text(action->control_address, sizeof(action->control_address),
		     member->control_address);
	if (!via)
		return;
	action->via = via->id;
	br_copy_text(action->via_control_address, sizeof(action->via_control_address),
		     via->control_address);
}

static void set_probe(struct br_members *m, struct member *member, enum probe_stage stage,
		      uint64_t deadline_us)
{
	member->stage = (uint8_t)stage;
	member->probe_deadline_us = deadline_us;
	members_update_timed(m, member);
}

static bool is_unsuspected_peer(const struct br_members *m, const struct member *member)
{
	return member != m->self && member->ref->entry.state < BR_MEMBER_SUSPECT;
}

static bool is_probeable(const struct br_members *m, const struct member *member)
{
	return members_is_live_peer(m, member) && member->stage == PROBE_NONE;
}

static bool is_probeable_in_own_zone(const struct br_members *m, const struct member *member)
{
	return members_is_live_peer_in_own_zone(m, member) && member->stage == PROBE_NONE;
}

static bool is_probeable_dead(const struct br_members *m, const struct member *member)
{
	return member != m->self && member->ref->entry.state == BR_MEMBER_DEAD &&
	       member->stage == PROBE_NONE;
}

static void suspect(struct br_members *m, struct member *member, uint64_t now_us)
{
	set_probe(m, member, PROBE_NONE, 0);
	/* If out of memory, the next failed probe retries the change. */
	if (member->ref->entry.state < BR_MEMBER_SUSPECT)
		members_set_state(m, member, BR_MEMBER_SUSPECT, now_us);
}

/* Asks other members to probe one that did not answer; suspects it if there is none to ask. */
static void probe_indirectly(struct br_members *m, struct member *member, struct action_list *list,
			     uint64_t now_us)
{
	/* Sufficient to avoid duplicates for two probes. */
	struct member *previous_via = NULL;

	/* A suspect or dead member is not probed indirectly. */
	if (member->ref->entry.state >= BR_MEMBER_SUSPECT) {
		set_probe(m, member, PROBE_NONE, 0);
		return;
	}
	if (list->max - list->n < INDIRECT_PROBES)
		return;
	member->n_indirect = 0;
	for (size_t i = 0; i < 4 * INDIRECT_PROBES && member->n_indirect < INDIRECT_PROBES; i++) {
		struct member *via = members_pick_random(m, is_unsuspected_peer);

		if (!via || via == member || via == previous_via)
			continue;
		previous_via = via;
		add_action(list, &member->ref->entry, &via->ref->entry);
		member->n_indirect++;
	}
	if (member->n_indirect)
		set_probe(m, member, PROBE_INDIRECT,
			  now_us + 2 * m->settings.probe_timeout_ms * BR_US_PER_MS);
	else
		suspect(m, member, now_us);
}

static void run_probe_timeout(struct br_members *m, struct member *member, struct action_list *list,
			      uint64_t now_us)
{
	if (member->stage == PROBE_NONE || now_us < member->probe_deadline_us)
		return;
	if (member->stage == PROBE_DIRECT)
		probe_indirectly(m, member, list, now_us);
	else
		suspect(m, member, now_us);
}

static void run_state_timeout(struct br_members *m, struct member *member, uint64_t now_us)
{
	if (!member->state_deadline_us || now_us < member->state_deadline_us)
		return;
	if (member->ref->entry.state == BR_MEMBER_SUSPECT)
		members_set_state(m, member, BR_MEMBER_DEAD, now_us);
	else
		members_remove(m, member);
}

/* Extends deadlines by the time for which this process was paused. */
static void extend_deadlines(struct br_members *m, uint64_t pause_us)
{
	for (size_t i = 0; i < m->n_timed; i++) {
		m->timed[i]->probe_deadline_us += pause_us;
		if (m->timed[i]->state_deadline_us)
			m->timed[i]->state_deadline_us += pause_us;
	}
}

static void start_probe(struct br_members *m, struct member *member, struct action_list *list,
			uint64_t now_us)
{
	if (!member)
		return;
	add_action(list, &member->ref->entry, NULL);
	set_probe(m, member, PROBE_DIRECT, now_us + m->settings.probe_timeout_ms * BR_US_PER_MS);
}

static void start_probes(struct br_members *m, struct action_list *list, uint64_t now_us)
{
	if (now_us >= m->next_probe_us && list->n < list->max) {
		struct member *member = NULL;

		if (br_rng_below(&m->rng, 100) < m->settings.own_zone_percent)
			member = members_pick_random(m, is_probeable_in_own_zone);
		if (!member)
			member = members_pick_random(m, is_probeable);
		start_probe(m, member, list, now_us);
		m->next_probe_us = now_us + m->settings.probe_interval_ms * BR_US_PER_MS;
	}
	if (now_us >= m->next_dead_probe_us && list->n < list->max) {
		if (m->n_state[BR_MEMBER_DEAD])
			start_probe(m, members_pick_random(m, is_probeable_dead), list, now_us);
		m->next_dead_probe_us = now_us + m->settings.dead_probe_ms * BR_US_PER_MS;
	}
}

size_t br_members_tick(struct br_members *m, uint64_t now_us, struct br_member_action *actions,
		       size_t max)
{
	struct action_list list = {.items = actions, .max = max};

	if (m->last_tick_us && now_us - m->last_tick_us > MAX_TICK_GAP_US)
		extend_deadlines(m, now_us - m->last_tick_us);
	m->last_tick_us = now_us;
	/* In reverse order, because a removed member is replaced by the last one of the list. */
	for (size_t i = m->n_timed; i-- > 0;) {
		struct member *member = m->timed[i];

		run_probe_timeout(m, member, &list, now_us);
		run_state_timeout(m, member, now_us);
	}
	start_probes(m, &list, now_us);
	return list.n;
}

void br_members_ack(struct br_members *m, const struct br_node_id *id, uint64_t now_us)
{
	struct member *member = members_find(m, id->text);

	if (member && member->stage != PROBE_NONE)
		set_probe(m, member, PROBE_NONE, now_us);
}

void br_members_nack(struct br_members *m, const struct br_node_id *id, uint64_t now_us)
{
	struct member *member = members_find(m, id->text);

	if (!member || member->stage == PROBE_NONE)
		return;
	if (member->stage == PROBE_INDIRECT && --member->n_indirect)
		return;
	/* The next tick handles this as a timeout. */
	member->probe_deadline_us = now_us;
}
