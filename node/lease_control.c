#include "node/lease_control.h"

#include "briarreel/entitlement.h"
#include "briarreel/grantor.h"
#include "briarreel/view.h"
#include "common/clock.h"
#include "node/blackboard.h"
#include "node/control.h"
#include "node/counters.h"
#include "node/gossip.h"
#include "node/node.h"
#include "node/rates.h"
#include "node/slot_control.h"
#include "node/wire.h"

#include <stdlib.h>
#include <string.h>

#define MAX_LEASE_REQUESTS 256
#define LEASE_REQUEST_TIMEOUT_MS 500
/* NTP keeps the clock rates of VMs within 500 ppm of each other. */
#define CLOCK_RATE_MARGIN_PPM 500

/** An account and its entitlement, from which the part of each slot follows. */
struct account_entry {
	char name[BR_NAME_BYTES];
	struct br_entitlement *entitlement;
	struct account_entry *next;
};

struct lease_control {
	struct control *ctl;
	struct br_grantor *grantor;
	uint64_t term_us;
	uint64_t grantor_tick_us;
	/**
	 * Next time at which earlier limits of an account cease to apply, so that its entitlement
	 * is to be refreshed; 0 if there is none.
	 */
	uint64_t next_settled_us;
	struct account_entry *accounts;
};

/** Lease requests to one holder, sent as one message, that wait for its answer. */
struct batch {
	struct lease_control *lc;
	struct rates_request reqs[MAX_LEASE_REQUESTS];
	size_t n;
};

struct lease_control *lease_control_create(struct control *ctl)
{
	struct lease_control *lc = calloc(1, sizeof(*lc));

	if (lc)
		lc->ctl = ctl;
	return lc;
}

void lease_control_destroy(struct lease_control *lc)
{
	if (!lc)
		return;
	if (lc->grantor)
		br_grantor_destroy(lc->grantor);
	while (lc->accounts) {
		struct account_entry *a = lc->accounts;

		lc->accounts = a->next;
		br_entitlement_destroy(a->entitlement);
		free(a);
	}
	free(lc);
}

/* Finds or creates an account's entitlement and updates its limits from the record. */
static struct br_entitlement *
find_or_create_entitlement(struct lease_control *lc, const struct br_record *rec, uint64_t now_us)
{
	struct br_entitlement_limits limits = {.rate_mtok_s = rec->account.rate_mtok_s,
					       .burst_tokens = rec->account.burst};
	struct account_entry *a;

	for (a = lc->accounts; a; a = a->next)
		if (!strcmp(a->name, rec->name))
			break;
	if (!a) {
		a = calloc(1, sizeof(*a));
		if (!a)
			abort();
		br_copy_text(a->name, sizeof(a->name), rec->name);
		a->entitlement = br_entitlement_create(rec->name, &limits,
						       CONTROL_CONFIG_PROPAGATION_US + lc->term_us);
		if (!a->entitlement)
			abort();
		a->next = lc->accounts;
		lc->accounts = a;
	}
	if (br_entitlement_update(a->entitlement, &limits, now_us))
		abort();
	return a->entitlement;
}

/* Sets what may be granted to an account: its parts of the slots that this node may grant from. */
static void set_entitlement(struct lease_control *lc, const struct br_record *rec, uint64_t now_us)
{
	struct br_slots *slots = slot_control_slots(control_slots(lc->ctl));
	uint32_t n_slots = slot_control_n_slots(control_slots(lc->ctl));
	struct br_entitlement *e = find_or_create_entitlement(lc, rec, now_us);
	uint64_t settled_us = br_entitlement_settled_us(e);
	struct br_slot_part sum = {0};

	if (now_us < settled_us && (!lc->next_settled_us || settled_us < lc->next_settled_us))
		lc->next_settled_us = settled_us;
	for (uint32_t i = 0; i < n_slots; i++) {
		struct br_slot_part part;

		if (!br_slots_may_grant(slots, i, now_us))
			continue;
		part = br_entitlement_part(e, i, n_slots, now_us);
		sum.rate_mtok_s += part.rate_mtok_s;
		sum.burst_ntok += part.burst_ntok;
	}
	br_grantor_set_entitlement(lc->grantor, rec->name, sum.rate_mtok_s, sum.burst_ntok, now_us);
}

static bool ensure_grantor(struct lease_control *lc, const struct br_view *view)
{
	struct br_grantor_config cfg = {
		.incarnation = control_node(lc->ctl)->incarnation,
		.lease_term_us = (uint64_t)br_view_mesh(view)->lease_term_ms * BR_US_PER_MS,
		.rate_margin_ppm = CLOCK_RATE_MARGIN_PPM};

	lc->term_us = cfg.lease_term_us;
	if (!lc->grantor && slot_control_slots(control_slots(lc->ctl)))
		lc->grantor = br_grantor_create(&cfg);
	return lc->grantor != NULL;
}

void lease_control_refresh(struct lease_control *lc, uint64_t now_us)
{
	struct br_view *view = blackboard_config(control_node(lc->ctl)->board);
	const struct br_record *const *recs;
	size_t n;

	lc->next_settled_us = 0;
	if (view && ensure_grantor(lc, view)) {
		recs = br_view_records(view, BR_RECORD_ACCOUNT, &n);
		for (size_t i = 0; i < n; i++)
			set_entitlement(lc, recs[i], now_us);
	}
	br_view_put(view);
	rates_refresh(control_node(lc->ctl)->rates, now_us);
}

/* Grants a lease from the slots that this node holds. Returns 0 and fills rep, or an error. */
static int grant_lease(struct lease_control *lc, const struct br_lease_request *req,
		       uint64_t now_us, struct br_lease_reply *rep)
{
	struct br_slots *slots = slot_control_slots(control_slots(lc->ctl));
	int ret;

	br_grantor_set_valid_until(lc->grantor, br_slots_right_until(slots));
	ret = br_grantor_request(lc->grantor, req, now_us, rep);
	counter_add(COUNTER_LEASE_GRANTS, !ret);
	return ret;
}

static const struct br_lease_reply *find_reply(const struct br_lease_reply *reps, size_t n,
					       const struct br_lease_request *req)
{
	for (size_t i = 0; i < n; i++)
		if (reps[i].seq == req->seq && !strcmp(reps[i].account, req->account))
			return &reps[i];
	return NULL;
}

static void handle_batch_answer(struct control *ctl, void *arg, const struct wire_in *msg,
				uint64_t now_us)
{
	struct batch *b = arg;
	struct br_lease_reply *reps = NULL;
	const msgpack_object *items;
	uint32_t n = 0;
	size_t n_reps = 0;

	if (msg && msg->type == WIRE_LEASE_RESULT && msg->n_args == 1 &&
	    wire_get_array(&msg->args[0], &items, &n)) {
		reps = calloc(n + 1, sizeof(*reps));
		for (uint32_t i = 0; reps && i < n; i++)
			if (wire_get_lease_rep(&items[i], &reps[n_reps]))
				n_reps++;
	}
	for (size_t i = 0; i < b->n; i++)
		rates_apply_answer(control_node(ctl)->rates, &b->reqs[i],
				   find_reply(reps, n_reps, &b->reqs[i].req), now_us);
	free(reps);
	free(b);
}

static void send_batch(struct lease_control *lc, struct batch *b)
{
	struct gossip *g = control_gossip(lc->ctl);
	struct br_member m;
	struct wire_out out;

	counter_add(COUNTER_LEASE_REQUESTS, b->n);
	if (!br_members_find(gossip_members(g), &b->reqs[0].holder.node, &m)) {
		handle_batch_answer(lc->ctl, b, NULL, clock_now_us());
		return;
	}
	wire_out_init(&out, WIRE_LEASE, 1);
	wire_put_array(&out, (uint32_t)b->n);
	for (size_t i = 0; i < b->n; i++)
		wire_put_lease_req(&out, &b->reqs[i].req);
	control_send(lc->ctl, m.control_address, &out, LEASE_REQUEST_TIMEOUT_MS,
		     handle_batch_answer, b);
}

static void grant_locally(struct lease_control *lc, const struct rates_request *r, uint64_t now_us)
{
	struct br_lease_reply rep;
	bool ok = lc->grantor && !grant_lease(lc, &r->req, now_us, &rep);

	rates_apply_answer(control_node(lc->ctl)->rates, r, ok ? &rep : NULL, now_us);
}

void lease_control_run(struct lease_control *lc, uint64_t now_us)
{
	static struct rates_request reqs[MAX_LEASE_REQUESTS];
	struct node *node = control_node(lc->ctl);
	size_t n;

	if (lc->next_settled_us && now_us >= lc->next_settled_us)
		lease_control_refresh(lc, now_us);
	n = rates_collect_requests(node->rates, now_us, reqs, MAX_LEASE_REQUESTS);

	for (size_t i = 0; i < n; i++) {
		struct batch *b;

		/* Requests that are part of an earlier batch have an empty account. */
		if (!reqs[i].req.account[0])
			continue;
		if (br_node_id_equal(&reqs[i].holder.node, &node->id)) {
			grant_locally(lc, &reqs[i], now_us);
			continue;
		}
		b = calloc(1, sizeof(*b));
		if (!b)
			abort();
		b->lc = lc;
		for (size_t k = i; k < n; k++) {
			if (!reqs[k].req.account[0] ||
			    !br_node_id_equal(&reqs[k].holder.node, &reqs[i].holder.node))
				continue;
			b->reqs[b->n++] = reqs[k];
			if (k != i)
				reqs[k].req.account[0] = '\0';
		}
		send_batch(lc, b);
	}
	if (lc->grantor && now_us - lc->grantor_tick_us > BR_US_PER_S) {
		br_grantor_tick(lc->grantor, now_us);
		lc->grantor_tick_us = now_us;
	}
}

uint64_t lease_control_term_us(const struct lease_control *lc)
{
	return lc->term_us;
}

bool lease_control_handle(struct lease_control *lc, const struct wire_in *in, uint64_t token,
			  uint64_t now_us)
{
	const msgpack_object *items;
	struct br_lease_reply *reps;
	struct br_lease_request req;
	struct wire_out out;
	size_t n_reps = 0;
	uint32_t n;

	if (in->n_args != 1 || !wire_get_array(&in->args[0], &items, &n) || n > MAX_LEASE_REQUESTS)
		return false;
	reps = calloc(n + 1, sizeof(*reps));
	if (!reps)
		abort();
	for (uint32_t i = 0; lc->grantor && i < n; i++)
		if (wire_get_lease_req(&items[i], &req) &&
		    !grant_lease(lc, &req, now_us, &reps[n_reps]))
			n_reps++;
	wire_out_init(&out, WIRE_LEASE_RESULT, 1);
	wire_put_array(&out, (uint32_t)n_reps);
	for (size_t i = 0; i < n_reps; i++)
		wire_put_lease_rep(&out, &reps[i]);
	free(reps);
	control_reply(lc->ctl, token, &out);
	return true;
}
