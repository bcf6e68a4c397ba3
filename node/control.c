#include "node/control.h"

#include "briarreel/error.h"
#include "briarreel/view.h"
#include "common/clock.h"
#include "common/log.h"
#include "node/agent.h"
#include "node/blackboard.h"
#include "node/claims.h"
#include "node/counters.h"
#include "node/dispatch.h"
#include "node/gossip.h"
#include "node/lease_control.h"
#include "node/node.h"
#include "node/node_settings.h"
#include "node/platform.h"
#include "node/rates.h"
#include "node/slot_control.h"
#include "node/transport.h"
#include "node/wire.h"

#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define LOG_PREFIX "control"

#define TICK_US (20 * BR_US_PER_MS)
#define SLOT_TICK_US (100 * BR_US_PER_MS)
#define LEASE_TICK_US (50 * BR_US_PER_MS)
/* Minimum time between wake-ups by waiting requests; under overload every request waits. */
#define MIN_WAKE_INTERVAL_US (1 * BR_US_PER_MS)
/*
 * Time for the leave of a node to reach all members by gossip: a minimum plus one step for each
 * doubling of the number of members. In seeded simulations a state change reached all of 150
 * members within 2.3 s and all of 2,400 members within 3.5 s.
 */
#define LEAVE_PROPAGATION_MIN_US (1 * BR_US_PER_S)
#define LEAVE_PROPAGATION_STEP_US (500 * BR_US_PER_MS)
/* Longest wait for the new holders of released slots to fetch the claims. */
#define HANDOVER_TIMEOUT_US (5 * BR_US_PER_S)
/*
 * Longest wait for the platform to accept the release, in addition to one lease term. Slots that
 * are not released because the platform is unavailable stay held until a node with this id starts
 * again or the platform lease expires.
 */
#define RELEASE_TIMEOUT_US (5 * BR_US_PER_S)

/** Callback for the answer to a message that was sent. */
struct pending_answer {
	control_answer_fn fn;
	void *arg;
};

/** Callback for the result of a platform call. */
struct pending_result {
	control_platform_fn fn;
	void *arg;
};

struct control {
	struct node *node;
	pthread_t thread;
	struct transport *transport;
	struct platform *platform;
	struct gossip *gossip;
	struct slot_control *slots;
	struct lease_control *leases;
	struct agent *agent;
	bool members_changed;
	bool slots_changed;
	uint64_t slot_tick_us;
	uint64_t lease_tick_us;
	uint64_t second_tick_us;
	/** Time by which the leave has propagated; 0 before the leave. */
	uint64_t leave_propagated_us;
	/** Time after which the node stops waiting for the release of its slots. */
	uint64_t release_deadline_us;
	/** Time at which all slots were released; 0 before. */
	uint64_t released_us;
	/** Protects the queues and the flags wake_leases, leave and stop. */
	pthread_mutex_t lock;
	pthread_cond_t cond;
	struct transport_event *events;
	struct transport_event **events_tail;
	struct platform_result *results;
	struct platform_result **results_tail;
	bool wake_leases;
	bool leave;
	bool stop;
	/** The thread has ended; new messages and platform calls fail at once. */
	bool closing;
	uint64_t last_wake_us;
	atomic_bool leave_complete;
	/** Values for the counters page, read by other threads. */
	_Atomic uint64_t watermark;
	_Atomic uint64_t members_alive;
	_Atomic uint64_t slots_held;
};

struct node *control_node(struct control *ctl)
{
	return ctl->node;
}

struct gossip *control_gossip(struct control *ctl)
{
	return ctl->gossip;
}

struct slot_control *control_slots(struct control *ctl)
{
	return ctl->slots;
}

struct lease_control *control_leases(struct control *ctl)
{
	return ctl->leases;
}

static void deliver_event(void *user_data, struct transport_event *ev)
{
	struct control *ctl = user_data;

	pthread_mutex_lock(&ctl->lock);
	*ctl->events_tail = ev;
	ctl->events_tail = &ev->next;
	pthread_cond_signal(&ctl->cond);
	pthread_mutex_unlock(&ctl->lock);
}

static void deliver_result(void *user_data, struct platform_result *res)
{
	struct control *ctl = user_data;

	pthread_mutex_lock(&ctl->lock);
	*ctl->results_tail = res;
	ctl->results_tail = &res->next;
	pthread_cond_signal(&ctl->cond);
	pthread_mutex_unlock(&ctl->lock);
}

void control_send(struct control *ctl, const char *peer, struct wire_out *out, uint32_t timeout_ms,
		  control_answer_fn fn, void *arg)
{
	struct pending_answer *p;
	int ret;

	if (ctl->closing) {
		wire_out_free(out);
		fn(ctl, arg, NULL, clock_now_us());
		return;
	}
	p = calloc(1, sizeof(*p));
	if (!p)
		abort();
	p->fn = fn;
	p->arg = arg;
	ret = transport_send(ctl->transport, peer, out->buf.data, out->buf.size, timeout_ms,
			     (uint64_t)(uintptr_t)p);
	wire_out_free(out);
	if (!ret)
		return;
	log_warn("Cannot send a control message to %s: error %d.", peer, ret);
	free(p);
	fn(ctl, arg, NULL, clock_now_us());
}

void control_call_platform(struct control *ctl, const struct platform_op *op,
			   control_platform_fn fn, void *arg)
{
	struct platform_op call = *op;
	struct pending_result *p;

	if (ctl->closing) {
		struct platform_result res = {.type = op->type, .status = PLATFORM_UNAVAILABLE};

		fn(ctl, arg, &res, clock_now_us());
		return;
	}
	p = calloc(1, sizeof(*p));
	if (!p)
		abort();
	p->fn = fn;
	p->arg = arg;
	call.token = (uint64_t)(uintptr_t)p;
	platform_submit(ctl->platform, &call);
}

void control_reply(struct control *ctl, uint64_t token, struct wire_out *out)
{
	if (!ctl->closing)
		transport_reply(ctl->transport, token, out->buf.data, out->buf.size);
	wire_out_free(out);
}

void control_reply_error(struct control *ctl, uint64_t token, const char *text)
{
	struct wire_out out;

	wire_out_init(&out, WIRE_ERROR, 1);
	wire_put_text(&out, text);
	control_reply(ctl, token, &out);
}

void control_config_changed(struct control *ctl, uint64_t now_us)
{
	struct br_view *view = br_config_view(gossip_config(ctl->gossip));

	if (view)
		blackboard_set_config(ctl->node->board, view);
	atomic_store(&ctl->watermark, br_config_watermark(gossip_config(ctl->gossip)));
	lease_control_refresh(ctl->leases, now_us);
}

void control_members_changed(struct control *ctl)
{
	ctl->members_changed = true;
}

void control_slots_changed(struct control *ctl)
{
	ctl->slots_changed = true;
}

static void handle_request(struct control *ctl, struct transport_event *ev, uint64_t now_us)
{
	struct wire_in in;
	int ret = wire_in_init(&in, ev->body, ev->body_len);
	bool handled;

	if (ret) {
		counter_add(COUNTER_CONTROL_MALFORMED, 1);
		control_reply_error(ctl, ev->token,
				    ret == -EPROTO ? "unknown version or type" : "malformed");
		return;
	}
	if (in.type == WIRE_LEASE)
		handled = lease_control_handle(ctl->leases, &in, ev->token, now_us);
	else
		handled = gossip_handle(ctl->gossip, &in, ev->token, now_us);
	if (!handled) {
		counter_add(COUNTER_CONTROL_MALFORMED, 1);
		control_reply_error(ctl, ev->token, "malformed");
	}
	wire_in_free(&in);
}

static void handle_answer(struct control *ctl, struct transport_event *ev, uint64_t now_us)
{
	struct pending_answer *p = (struct pending_answer *)(uintptr_t)ev->token;
	struct wire_in in;

	if (ev->type == TRANSPORT_ANSWER && !wire_in_init(&in, ev->body, ev->body_len)) {
		p->fn(ctl, p->arg, &in, now_us);
		wire_in_free(&in);
	} else {
		p->fn(ctl, p->arg, NULL, now_us);
	}
	free(p);
}

static void handle_event(struct control *ctl, struct transport_event *ev, uint64_t now_us)
{
	switch (ev->type) {
	case TRANSPORT_REQUEST:
		handle_request(ctl, ev, now_us);
		break;
	case TRANSPORT_ANSWER:
	case TRANSPORT_FAILED:
		handle_answer(ctl, ev, now_us);
		break;
	}
	transport_event_free(ev);
}

static void handle_result(struct control *ctl, struct platform_result *res, uint64_t now_us)
{
	struct pending_result *p = (struct pending_result *)(uintptr_t)res->token;

	p->fn(ctl, p->arg, res, now_us);
	free(p);
	platform_result_free(res);
}

static void publish_members(struct control *ctl)
{
	struct br_members *members = gossip_members(ctl->gossip);

	ctl->members_changed = false;
	blackboard_set_members(ctl->node->board, br_members_view(members));
	atomic_store(&ctl->members_alive, br_members_count_state(members, BR_MEMBER_ALIVE));
}

static void count_slots(struct control *ctl, uint64_t now_us)
{
	struct br_slots *slots = slot_control_slots(ctl->slots);
	uint64_t n = 0;

	for (uint32_t i = 0; slots && i < slot_control_n_slots(ctl->slots); i++)
		n += br_slots_may_grant(slots, i, now_us);
	atomic_store(&ctl->slots_held, n);
}

static void start_leave(struct control *ctl, uint64_t now_us)
{
	size_t n = br_members_count(gossip_members(ctl->gossip));

	log_notice("Leaving: releasing slots.");
	ctl->release_deadline_us = now_us + lease_control_term_us(ctl->leases) + RELEASE_TIMEOUT_US;
	ctl->leave_propagated_us = now_us + LEAVE_PROPAGATION_MIN_US;
	for (; n > 1; n /= 2)
		ctl->leave_propagated_us += LEAVE_PROPAGATION_STEP_US;
	gossip_set_leaving(ctl->gossip);
	slot_control_release(ctl->slots, now_us);
	agent_resign(ctl->agent);
}

static bool has_successor(struct control *ctl)
{
	struct br_members *members = gossip_members(ctl->gossip);

	return br_members_count_state(members, BR_MEMBER_ALIVE) ||
	       br_members_count_state(members, BR_MEMBER_DRAINING);
}

/* See control_leave_complete(). Claims are only handed over if there is another usable member. */
static bool leave_done(struct control *ctl, uint64_t now_us)
{
	if (!ctl->leave_propagated_us || now_us <= ctl->leave_propagated_us)
		return false;
	if (!slot_control_released(ctl->slots)) {
		if (now_us <= ctl->release_deadline_us)
			return false;
		log_warn("The platform did not accept the release in time; "
			 "slots stay held until this node restarts or the platform lease expires.");
		return true;
	}
	if (!ctl->released_us)
		ctl->released_us = now_us;
	return claims_handed_over(ctl->node->claims) || !has_successor(ctl) ||
	       now_us - ctl->released_us >= HANDOVER_TIMEOUT_US;
}

static void tick(struct control *ctl, bool leave, uint64_t now_us)
{
	if (leave && !ctl->leave_propagated_us)
		start_leave(ctl, now_us);
	gossip_tick(ctl->gossip, now_us);
	dispatch_tick(ctl->node->dispatch, now_us);
	agent_tick(ctl->agent, now_us);
	if (now_us - ctl->slot_tick_us >= SLOT_TICK_US) {
		ctl->slot_tick_us = now_us;
		slot_control_tick(ctl->slots, now_us);
		count_slots(ctl, now_us);
	}
	if (ctl->slots_changed) {
		ctl->slots_changed = false;
		lease_control_refresh(ctl->leases, now_us);
	}
	if (now_us - ctl->lease_tick_us >= LEASE_TICK_US) {
		ctl->lease_tick_us = now_us;
		lease_control_run(ctl->leases, now_us);
	}
	if (now_us - ctl->second_tick_us >= BR_US_PER_S) {
		ctl->second_tick_us = now_us;
		transport_tick(ctl->transport, now_us);
		claims_tick(ctl->node->claims, now_us);
	}
	if (ctl->members_changed)
		publish_members(ctl);
	if (leave_done(ctl, now_us))
		atomic_store(&ctl->leave_complete, true);
}

static void wait_for_work(struct control *ctl, uint64_t wait_us)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	wait_us += (uint64_t)ts.tv_nsec / 1000;
	ts.tv_sec += (time_t)(wait_us / BR_US_PER_S);
	ts.tv_nsec = (long)(wait_us % BR_US_PER_S) * 1000;
	pthread_cond_timedwait(&ctl->cond, &ctl->lock, &ts);
}

static void handle_queued(struct control *ctl, struct transport_event *events,
			  struct platform_result *results)
{
	while (events) {
		struct transport_event *ev = events;

		events = ev->next;
		handle_event(ctl, ev, clock_now_us());
	}
	while (results) {
		struct platform_result *res = results;

		results = res->next;
		handle_result(ctl, res, clock_now_us());
	}
}

static void *control_main(void *arg)
{
	struct control *ctl = arg;
	uint64_t next_tick_us = clock_now_us();

	pthread_mutex_lock(&ctl->lock);
	while (!ctl->stop) {
		struct transport_event *events = ctl->events;
		struct platform_result *results = ctl->results;
		uint64_t now_us = clock_now_us();
		bool wake_leases = ctl->wake_leases;
		bool leave = ctl->leave;

		if (wake_leases && now_us - ctl->last_wake_us < MIN_WAKE_INTERVAL_US)
			wake_leases = false;
		if (!events && !results && !wake_leases && now_us < next_tick_us) {
			wait_for_work(ctl, ctl->wake_leases ? MIN_WAKE_INTERVAL_US
							    : next_tick_us - now_us);
			continue;
		}
		ctl->events = NULL;
		ctl->events_tail = &ctl->events;
		ctl->results = NULL;
		ctl->results_tail = &ctl->results;
		if (wake_leases) {
			ctl->wake_leases = false;
			ctl->last_wake_us = now_us;
		}
		pthread_mutex_unlock(&ctl->lock);
		handle_queued(ctl, events, results);
		if (wake_leases)
			lease_control_run(ctl->leases, clock_now_us());
		if (now_us >= next_tick_us) {
			next_tick_us = now_us + TICK_US;
			tick(ctl, leave, clock_now_us());
		}
		pthread_mutex_lock(&ctl->lock);
	}
	pthread_mutex_unlock(&ctl->lock);
	return NULL;
}

struct control *control_create(struct node *node, struct br_error *err)
{
	struct control *ctl = calloc(1, sizeof(*ctl));
	pthread_condattr_t attr;

	if (!ctl) {
		br_error_set(err, -ENOMEM, BR_STEP_NONE, NULL, "out of memory");
		return NULL;
	}
	ctl->node = node;
	node->control = ctl;
	ctl->events_tail = &ctl->events;
	ctl->results_tail = &ctl->results;
	pthread_mutex_init(&ctl->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&ctl->cond, &attr);
	pthread_condattr_destroy(&attr);
	ctl->gossip = gossip_create(ctl);
	ctl->slots = slot_control_create(ctl);
	ctl->leases = lease_control_create(ctl);
	ctl->agent = agent_create(ctl);
	ctl->platform = platform_create(node->settings->platform_address, deliver_result, ctl);
	ctl->transport = transport_create(node->settings->control_address, deliver_event, ctl, err);
	if (!ctl->transport)
		return NULL;
	publish_members(ctl);
	if (pthread_create(&ctl->thread, NULL, control_main, ctl)) {
		br_error_set(err, -EAGAIN, BR_STEP_NONE, NULL, "cannot start the control thread");
		return NULL;
	}
	return ctl;
}

void control_destroy(struct control *ctl)
{
	if (!ctl)
		return;
	pthread_mutex_lock(&ctl->lock);
	ctl->stop = true;
	pthread_cond_signal(&ctl->cond);
	pthread_mutex_unlock(&ctl->lock);
	pthread_join(ctl->thread, NULL);
	transport_destroy(ctl->transport);
	platform_destroy(ctl->platform);
	/* Run the callbacks of results that arrived after the thread ended: they free their arg. */
	ctl->closing = true;
	handle_queued(ctl, ctl->events, ctl->results);
	agent_destroy(ctl->agent);
	lease_control_destroy(ctl->leases);
	slot_control_destroy(ctl->slots);
	gossip_destroy(ctl->gossip);
	pthread_cond_destroy(&ctl->cond);
	pthread_mutex_destroy(&ctl->lock);
	free(ctl);
}

void control_wake_leases(struct control *ctl)
{
	pthread_mutex_lock(&ctl->lock);
	ctl->wake_leases = true;
	pthread_cond_signal(&ctl->cond);
	pthread_mutex_unlock(&ctl->lock);
}

void control_leave(struct control *ctl)
{
	pthread_mutex_lock(&ctl->lock);
	ctl->leave = true;
	pthread_mutex_unlock(&ctl->lock);
}

bool control_leave_complete(struct control *ctl)
{
	return atomic_load(&ctl->leave_complete);
}

/* Number of slots with a known holder. */
static uint32_t count_known_holders(struct control *ctl)
{
	uint32_t n_slots = blackboard_n_slots(ctl->node->board);
	struct br_slot_holder holder;
	uint32_t n = 0;

	for (uint32_t slot = 0; slot < n_slots; slot++)
		n += blackboard_slot_holder(ctl->node->board, slot, &holder);
	return n;
}

size_t control_format_counters(struct control *ctl, char *buf, size_t bytes)
{
	uint64_t age_us = blackboard_confirmation_age_us(ctl->node->board, clock_now_us());
	int n = snprintf(buf, bytes,
			 "briarreel_config_watermark %llu\nbriarreel_members_alive %llu\n"
			 "briarreel_slots_held %llu\nbriarreel_slots_known %u\n"
			 "briarreel_freshness_age_ms %lld\n",
			 (unsigned long long)atomic_load(&ctl->watermark),
			 (unsigned long long)atomic_load(&ctl->members_alive),
			 (unsigned long long)atomic_load(&ctl->slots_held),
			 count_known_holders(ctl),
			 age_us == UINT64_MAX ? -1LL : (long long)(age_us / BR_US_PER_MS));

	return n < 0 || (size_t)n >= bytes ? 0 : (size_t)n;
}
