#include "node/gossip.h"

#include "briarreel/error.h"
#include "common/clock.h"
#include "common/log.h"
#include "node/blackboard.h"
#include "node/control.h"
#include "node/counters.h"
#include "node/node.h"
#include "node/node_settings.h"
#include "node/slot_control.h"
#include "node/wire.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define LOG_PREFIX "gossip"

#define MAX_UPDATES_PER_MESSAGE 8
#define MAX_ACTIONS 16
/* Number of random peers to which a change is pushed; each of them pushes it on in turn. */
#define PUSH_FANOUT 3
#define CONFIG_PAGE_BYTES (256U << 10)
#define PULL_TIMEOUT_MS 3000
/* Sent instead of the time since the confirmation of the configuration if there was none. */
#define AGE_UNKNOWN UINT64_MAX

struct gossip {
	struct control *ctl;
	struct br_members *members;
	struct br_config *config;
	/** The configuration transfer in progress from pull_peer; NULL if none. */
	struct br_config_reader *reader;
	char pull_peer[BR_NODE_ID_BYTES];
	bool pulling_members;
	bool pulling_slots;
	bool leaving;
	bool agent;
	/** State of the target in this node's own entry. */
	bool target_present;
	bool target_draining;
	char service[BR_NAME_BYTES];
};

/** A PING that waits for its answer. */
struct probe {
	/** Node to be probed; empty if only its address is known, see gossip_ping_address(). */
	struct br_node_id id;
	/** Token of the peer's request for an indirect probe; used if indirect is set. */
	uint64_t reply_token;
	bool indirect;
};

/** Configuration changes with the storage of their keys. */
struct change_list {
	struct br_config_change *changes;
	char (*keys)[BR_CONFIG_KEY_BYTES];
	size_t n;
};

static struct node *node_of(struct gossip *g)
{
	return control_node(g->ctl);
}

static void members_listener(const struct br_member *before, const struct br_member *after,
			     void *arg)
{
	struct gossip *g = arg;

	if (after && (!before || before->state != after->state))
		log_info("Member %s (zone %s) is %s.", after->id.text, after->zone,
			 br_member_state_name(after->state));
	control_members_changed(g->ctl);
}

struct gossip *gossip_create(struct control *ctl)
{
	const struct node *node = control_node(ctl);
	const struct node_settings *s = node->settings;
	struct br_members_settings ms = {.probe_interval_ms = s->probe_interval_ms,
					 .probe_timeout_ms = s->probe_timeout_ms,
					 .suspect_ms = s->suspect_ms};
	struct br_member self = {.id = node->id,
				 .incarnation = node->incarnation,
				 .instance = node->incarnation,
				 .state = BR_MEMBER_ALIVE};
	struct gossip *g = calloc(1, sizeof(*g));
	uint64_t seed;

	if (!g)
		return NULL;
	g->ctl = ctl;
	br_copy_text(self.zone, sizeof(self.zone), s->zone);
	br_copy_text(self.control_address, sizeof(self.control_address), s->control_address);
	br_copy_text(self.caller_address, sizeof(self.caller_address), s->caller_address);
	randombytes_buf(&seed, sizeof(seed));
	g->members = br_members_create(&self, &ms, seed);
	g->config = br_config_create(0);
	if (!g->members || !g->config) {
		gossip_destroy(g);
		return NULL;
	}
	br_members_set_listener(g->members, members_listener, g);
	return g;
}

void gossip_destroy(struct gossip *g)
{
	if (!g)
		return;
	if (g->reader)
		br_config_reader_destroy(g->reader);
	if (g->members)
		br_members_destroy(g->members);
	if (g->config)
		br_config_destroy(g->config);
	free(g);
}

struct br_members *gossip_members(struct gossip *g)
{
	return g->members;
}

struct br_config *gossip_config(struct gossip *g)
{
	return g->config;
}

void gossip_set_leaving(struct gossip *g)
{
	g->leaving = true;
}

void gossip_set_agent(struct gossip *g, bool agent)
{
	g->agent = agent;
}

/* Updates this node's own member entry after a change of its state, role or target. */
static void update_self(struct gossip *g)
{
	const struct br_member *self = br_members_self(g->members);
	enum br_member_state state = BR_MEMBER_ALIVE;
	uint32_t flags = g->agent ? GOSSIP_FLAG_AGENT : 0;
	struct target_info t;

	blackboard_target(node_of(g)->board, &t);
	if (g->leaving)
		state = BR_MEMBER_LEAVING;
	else if (t.present && t.draining)
		state = BR_MEMBER_DRAINING;
	if (self->state == state && self->flags == flags && self->target_present == t.present &&
	    !strcmp(self->service, t.service))
		return;
	br_members_set_self(g->members, state, t.service, t.present, flags);
}

/* Writes a PING or PONG. Returns the number of member updates that it carries. */
static size_t build_exchange(struct gossip *g, struct wire_out *out, enum wire_type type,
			     const struct br_node_id *peer, uint64_t now_us)
{
	struct br_member updates[MAX_UPDATES_PER_MESSAGE];
	size_t n = br_members_pick_updates(g->members, peer, updates, MAX_UPDATES_PER_MESSAGE);
	uint64_t age_us = blackboard_confirmation_age_us(node_of(g)->board, now_us);

	wire_out_init(out, type, 6);
	wire_put_member(out, br_members_self(g->members));
	wire_put_u64(out, br_config_watermark(g->config));
	wire_put_u64(out, age_us == UINT64_MAX ? AGE_UNKNOWN : age_us / BR_US_PER_MS);
	wire_put_u64(out, br_members_digest(g->members));
	wire_put_u64(out, slot_control_digest(control_slots(g->ctl)));
	wire_put_array(out, (uint32_t)n);
	for (size_t i = 0; i < n; i++)
		wire_put_member(out, &updates[i]);
	return n;
}

static void read_members_result(struct control *ctl, void *arg, const struct wire_in *msg,
				uint64_t now_us)
{
	struct gossip *g = arg;
	const msgpack_object *items;
	struct br_member m;
	uint32_t n;

	(void)ctl;
	g->pulling_members = false;
	if (!msg || msg->type != WIRE_MEMBERS || msg->n_args != 1 ||
	    !wire_get_array(&msg->args[0], &items, &n))
		return;
	for (uint32_t i = 0; i < n; i++)
		if (wire_get_member(&items[i], &m))
			br_members_merge(g->members, &m, BR_MEMBERS_PULL, now_us);
}

static void pull_members(struct gossip *g, const char *peer)
{
	uint64_t digests[BR_MEMBERS_BUCKETS];
	struct wire_out out;

	if (g->pulling_members)
		return;
	g->pulling_members = true;
	br_members_bucket_digests(g->members, digests);
	wire_out_init(&out, WIRE_PULL_MEMBERS, 1);
	wire_put_array(&out, BR_MEMBERS_BUCKETS);
	for (size_t i = 0; i < BR_MEMBERS_BUCKETS; i++)
		wire_put_u64(&out, digests[i]);
	control_send(g->ctl, peer, &out, PULL_TIMEOUT_MS, read_members_result, g);
}

static void read_slots_result(struct control *ctl, void *arg, const struct wire_in *msg,
			      uint64_t now_us)
{
	struct gossip *g = arg;

	(void)now_us;
	g->pulling_slots = false;
	if (msg && msg->type == WIRE_SLOTS && msg->n_args == 1)
		slot_control_merge(control_slots(ctl), &msg->args[0]);
}

static void pull_slots(struct gossip *g, const char *peer)
{
	struct wire_out out;

	if (g->pulling_slots)
		return;
	g->pulling_slots = true;
	wire_out_init(&out, WIRE_PULL_SLOTS, 0);
	control_send(g->ctl, peer, &out, PULL_TIMEOUT_MS, read_slots_result, g);
}

static void end_transfer(struct gossip *g)
{
	br_config_reader_destroy(g->reader);
	g->reader = NULL;
}

static void request_page(struct gossip *g, const struct br_config_page *page);

static void log_rejection(const struct br_error *err)
{
	counter_add(COUNTER_CONFIG_REJECTED, 1);
	log_warn("Record %s; the last good one stays in force.", err->detail);
}

static void read_page_result(struct control *ctl, void *arg, const struct wire_in *msg,
			     uint64_t now_us)
{
	struct gossip *g = arg;
	char key[BR_CONFIG_KEY_BYTES];
	struct br_config_change change;
	struct br_config_page page;
	const msgpack_object *items;
	struct br_error err;
	uint32_t n;
	int ret;

	if (!msg || msg->type != WIRE_CONFIG_PAGE || msg->n_args != 2 ||
	    !wire_get_page(&msg->args[0], &page) || !wire_get_array(&msg->args[1], &items, &n) ||
	    br_config_reader_begin(g->reader, &page)) {
		end_transfer(g);
		return;
	}
	for (uint32_t i = 0; i < n; i++) {
		if (!wire_get_change(&items[i], &change, key))
			continue;
		ret = br_config_reader_change(g->reader, &change, &err);
		if (ret == BR_CONFIG_REJECTED)
			log_rejection(&err);
		if (ret == BR_CONFIG_ACCEPTED)
			counter_add(COUNTER_CONFIG_CHANGES, 1);
	}
	ret = br_config_reader_end(g->reader);
	control_config_changed(ctl, now_us);
	if (ret) {
		end_transfer(g);
		return;
	}
	request_page(g, &page);
}

static void request_page(struct gossip *g, const struct br_config_page *page)
{
	struct wire_out out;

	wire_out_init(&out, WIRE_PULL_CONFIG, 1);
	wire_put_page(&out, page);
	control_send(g->ctl, g->pull_peer, &out, PULL_TIMEOUT_MS, read_page_result, g);
}

static void pull_config(struct gossip *g, const char *peer)
{
	struct br_config_page page;
	uint64_t id;

	if (g->reader)
		return;
	randombytes_buf(&id, sizeof(id));
	g->reader = br_config_reader_create(g->config, id);
	if (!g->reader)
		return;
	br_copy_text(g->pull_peer, sizeof(g->pull_peer), peer);
	br_config_page_request(&page, id, br_config_watermark(g->config));
	request_page(g, &page);
}

/*
 * Applies a PING or PONG; pulls the configuration if the sender's is newer, and the slots if they
 * differ. Sets *members_differ if the member tables still differ after the updates. Returns false
 * if the message is malformed.
 */
static bool apply_exchange(struct gossip *g, const struct wire_in *in, struct br_member *sender,
			   bool *members_differ, uint64_t now_us)
{
	const msgpack_object *items;
	uint64_t watermark, age_ms, digest, slot_digest;
	struct br_member m;
	uint32_t n;

	if (in->n_args != 6 || !wire_get_member(&in->args[0], sender) ||
	    !wire_get_u64(&in->args[1], &watermark) || !wire_get_u64(&in->args[2], &age_ms) ||
	    !wire_get_u64(&in->args[3], &digest) || !wire_get_u64(&in->args[4], &slot_digest) ||
	    !wire_get_array(&in->args[5], &items, &n))
		return false;
	br_members_merge(g->members, sender, BR_MEMBERS_GOSSIP, now_us);
	for (uint32_t i = 0; i < n; i++)
		if (wire_get_member(&items[i], &m))
			br_members_merge(g->members, &m, BR_MEMBERS_GOSSIP, now_us);
	if (watermark > br_config_watermark(g->config))
		pull_config(g, sender->control_address);
	else if (age_ms != AGE_UNKNOWN && watermark == br_config_watermark(g->config) &&
		 age_ms * BR_US_PER_MS < now_us)
		blackboard_confirm_config(node_of(g)->board, now_us - age_ms * BR_US_PER_MS);
	*members_differ = digest != br_members_digest(g->members);
	if (slot_digest != slot_control_digest(control_slots(g->ctl)))
		pull_slots(g, sender->control_address);
	return true;
}

static void read_pong(struct control *ctl, void *arg, const struct wire_in *msg, uint64_t now_us)
{
	struct probe *p = arg;
	struct gossip *g = control_gossip(ctl);
	struct br_member sender;
	bool members_differ = false;
	bool ok = msg && msg->type == WIRE_PONG &&
		  apply_exchange(g, msg, &sender, &members_differ, now_us) &&
		  (!p->id.text[0] || br_node_id_equal(&sender.id, &p->id));

	if (members_differ)
		pull_members(g, sender.control_address);
	if (p->indirect) {
		struct wire_out out;

		wire_out_init(&out, WIRE_PING_INDIRECT_RESULT, 1);
		wire_put_u64(&out, ok);
		control_reply(ctl, p->reply_token, &out);
	} else if (p->id.text[0] && ok) {
		br_members_ack(g->members, &p->id, now_us);
	} else if (p->id.text[0]) {
		counter_add(COUNTER_PROBE_FAILURES, 1);
		br_members_nack(g->members, &p->id, now_us);
	}
	free(p);
}

static void send_ping(struct gossip *g, const char *control, const struct br_node_id *id,
		      bool indirect, uint64_t reply_token)
{
	struct probe *p = calloc(1, sizeof(*p));
	struct wire_out out;

	if (!p)
		abort();
	if (id)
		p->id = *id;
	p->indirect = indirect;
	p->reply_token = reply_token;
	build_exchange(g, &out, WIRE_PING, id, clock_now_us());
	control_send(g->ctl, control, &out, node_of(g)->settings->probe_timeout_ms, read_pong, p);
}

void gossip_ping_address(struct gossip *g, const char *control_address)
{
	if (strcmp(control_address, node_of(g)->settings->control_address) != 0)
		send_ping(g, control_address, NULL, false, 0);
}

static void read_indirect_result(struct control *ctl, void *arg, const struct wire_in *msg,
				 uint64_t now_us)
{
	struct probe *p = arg;
	struct gossip *g = control_gossip(ctl);
	uint64_t reached = 0;

	if (msg && msg->type == WIRE_PING_INDIRECT_RESULT && msg->n_args == 1)
		wire_get_u64(&msg->args[0], &reached);
	if (reached)
		br_members_ack(g->members, &p->id, now_us);
	else
		br_members_nack(g->members, &p->id, now_us);
	free(p);
}

static void send_indirect_ping(struct gossip *g, const struct br_member_action *a)
{
	struct probe *p = calloc(1, sizeof(*p));
	struct wire_out out;

	if (!p)
		abort();
	p->id = a->member;
	wire_out_init(&out, WIRE_PING_INDIRECT, 2);
	wire_put_text(&out, a->member.text);
	wire_put_text(&out, a->control_address);
	control_send(g->ctl, a->via_control_address, &out,
		     2 * node_of(g)->settings->probe_timeout_ms, read_indirect_result, p);
}

void gossip_tick(struct gossip *g, uint64_t now_us)
{
	struct br_member_action actions[MAX_ACTIONS];
	size_t n;

	update_self(g);
	n = br_members_tick(g->members, now_us, actions, MAX_ACTIONS);
	for (size_t i = 0; i < n; i++) {
		switch (actions[i].type) {
		case BR_MEMBER_PING:
			send_ping(g, actions[i].control_address, &actions[i].member, false, 0);
			break;
		case BR_MEMBER_PING_INDIRECT:
			send_indirect_ping(g, &actions[i]);
			break;
		}
	}
}

static void ignore_answer(struct control *ctl, void *arg, const struct wire_in *msg,
			  uint64_t now_us)
{
	(void)ctl;
	(void)arg;
	(void)msg;
	(void)now_us;
}

static void push_changes(struct gossip *g, const struct br_config_change *changes, size_t n,
			 uint64_t from_rev, uint64_t to_rev)
{
	for (int i = 0; i < PUSH_FANOUT; i++) {
		struct br_member peer;
		struct wire_out out;

		if (!br_members_random(g->members, false, &peer))
			return;
		wire_out_init(&out, WIRE_PUSH_CONFIG, 3);
		wire_put_u64(&out, from_rev);
		wire_put_u64(&out, to_rev);
		wire_put_array(&out, (uint32_t)n);
		for (size_t k = 0; k < n; k++)
			wire_put_change(&out, &changes[k]);
		control_send(g->ctl, peer.control_address, &out, PULL_TIMEOUT_MS, ignore_answer,
			     NULL);
	}
}

void gossip_apply_changes(struct gossip *g, const struct br_config_change *changes, size_t n,
			  uint64_t from_rev, uint64_t to_rev, uint64_t now_us)
{
	bool changed = false;

	for (size_t i = 0; i < n; i++) {
		struct br_error err;
		int ret = br_config_apply(g->config, &changes[i], &err);

		if (ret == BR_CONFIG_REJECTED)
			log_rejection(&err);
		if (ret == BR_CONFIG_ACCEPTED) {
			counter_add(COUNTER_CONFIG_CHANGES, 1);
			log_info("Record %s is in force at revision %llu.", changes[i].key,
				 (unsigned long long)changes[i].mod_rev);
		}
		changed |= ret == BR_CONFIG_REJECTED || ret == BR_CONFIG_ACCEPTED;
	}
	br_config_advance(g->config, from_rev, to_rev);
	if (!changed)
		return;
	push_changes(g, changes, n, from_rev, to_rev);
	control_config_changed(g->ctl, now_us);
}

void gossip_apply_snapshot(struct gossip *g, const struct br_config_change *changes, size_t n,
			   uint64_t rev, uint64_t now_us)
{
	struct br_config_page page = {
		.snapshot = true, .to_rev = rev, .n_changes = (uint32_t)n, .last = true};
	struct br_config_reader *reader = br_config_reader_create(g->config, 0);

	if (!reader)
		return;
	if (!br_config_reader_begin(reader, &page)) {
		for (size_t i = 0; i < n; i++) {
			struct br_error err;

			if (br_config_reader_change(reader, &changes[i], &err) ==
			    BR_CONFIG_REJECTED)
				log_rejection(&err);
		}
		br_config_reader_end(reader);
	}
	br_config_reader_destroy(reader);
	log_info("Read the configuration from the platform at revision %llu.",
		 (unsigned long long)rev);
	control_config_changed(g->ctl, now_us);
}

static void put_member(const struct br_member *m, void *arg)
{
	wire_put_member(arg, m);
}

static void count_member(const struct br_member *m, void *arg)
{
	(void)m;
	(*(uint32_t *)arg)++;
}

static bool handle_pull_members(struct gossip *g, const struct wire_in *in, uint64_t token)
{
	uint64_t digests[BR_MEMBERS_BUCKETS];
	const msgpack_object *items;
	struct wire_out out;
	uint64_t buckets;
	uint32_t n;

	if (in->n_args != 1 || !wire_get_array(&in->args[0], &items, &n) || n != BR_MEMBERS_BUCKETS)
		return false;
	for (uint32_t i = 0; i < n; i++)
		if (!wire_get_u64(&items[i], &digests[i]))
			return false;
	buckets = br_members_differing_buckets(g->members, digests);
	n = 0;
	br_members_each(g->members, buckets, count_member, &n);
	wire_out_init(&out, WIRE_MEMBERS, 1);
	wire_put_array(&out, n);
	br_members_each(g->members, buckets, put_member, &out);
	control_reply(g->ctl, token, &out);
	return true;
}

/** Encoded changes of a page, and their number for the array header that precedes them. */
struct page_out {
	struct wire_out body;
	uint32_t n;
};

static void put_change(const struct br_config_change *change, void *arg)
{
	struct page_out *p = arg;

	wire_put_change(&p->body, change);
	p->n++;
}

static bool handle_pull_config(struct gossip *g, const struct wire_in *in, uint64_t token)
{
	struct br_config_page request;
	struct br_config_page page;
	struct page_out p = {0};
	struct wire_out out;

	if (in->n_args != 1 || !wire_get_page(&in->args[0], &request))
		return false;
	msgpack_sbuffer_init(&p.body.buf);
	msgpack_packer_init(&p.body.pk, &p.body.buf, msgpack_sbuffer_write);
	if (br_config_page(g->config, &request, CONFIG_PAGE_BYTES, put_change, &p, &page)) {
		wire_out_free(&p.body);
		control_reply_error(g->ctl, token, "transfer is stale");
		return true;
	}
	wire_out_init(&out, WIRE_CONFIG_PAGE, 2);
	wire_put_page(&out, &page);
	wire_put_array(&out, p.n);
	if (p.n)
		msgpack_sbuffer_write(&out.buf, p.body.buf.data, p.body.buf.size);
	wire_out_free(&p.body);
	control_reply(g->ctl, token, &out);
	return true;
}

static bool handle_push_config(struct gossip *g, const struct wire_in *in, uint64_t token,
			       uint64_t now_us)
{
	struct change_list list = {0};
	const msgpack_object *items;
	uint64_t from_rev, to_rev;
	struct wire_out out;
	uint32_t n;

	if (in->n_args != 3 || !wire_get_u64(&in->args[0], &from_rev) ||
	    !wire_get_u64(&in->args[1], &to_rev) || !wire_get_array(&in->args[2], &items, &n))
		return false;
	list.changes = calloc(n + 1, sizeof(*list.changes));
	list.keys = calloc(n + 1, sizeof(*list.keys));
	if (!list.changes || !list.keys)
		abort();
	while (list.n < n &&
	       wire_get_change(&items[list.n], &list.changes[list.n], list.keys[list.n]))
		list.n++;
	if (list.n == n)
		gossip_apply_changes(g, list.changes, n, from_rev, to_rev, now_us);
	free(list.changes);
	free(list.keys);
	wire_out_init(&out, WIRE_PUSH_RESULT, 1);
	wire_put_u64(&out, br_config_watermark(g->config));
	control_reply(g->ctl, token, &out);
	return true;
}

static bool handle_ping(struct gossip *g, const struct wire_in *in, uint64_t token, uint64_t now_us)
{
	struct br_member sender;
	struct wire_out out;
	bool members_differ = false;
	size_t n;

	if (!apply_exchange(g, in, &sender, &members_differ, now_us))
		return false;
	n = build_exchange(g, &out, WIRE_PONG, &sender.id, now_us);
	control_reply(g->ctl, token, &out);
	/*
	 * If the PONG carries member updates, this node probably has newer entries than the sender,
	 * which applies them and pulls the table itself if it still differs.
	 */
	if (members_differ && !n)
		pull_members(g, sender.control_address);
	return true;
}

static bool handle_indirect_ping(struct gossip *g, const struct wire_in *in, uint64_t token)
{
	char control[BR_NODE_ID_BYTES];
	struct br_node_id id;

	if (in->n_args != 2 || !wire_get_text(&in->args[0], id.text, sizeof(id.text)) ||
	    !wire_get_text(&in->args[1], control, sizeof(control)) || !settings_is_address(control))
		return false;
	send_ping(g, control, &id, true, token);
	return true;
}

bool gossip_handle(struct gossip *g, const struct wire_in *in, uint64_t token, uint64_t now_us)
{
	struct wire_out out;

	switch (in->type) {
	case WIRE_PING:
		return handle_ping(g, in, token, now_us);
	case WIRE_PING_INDIRECT:
		return handle_indirect_ping(g, in, token);
	case WIRE_PULL_MEMBERS:
		return handle_pull_members(g, in, token);
	case WIRE_PULL_CONFIG:
		return handle_pull_config(g, in, token);
	case WIRE_PUSH_CONFIG:
		return handle_push_config(g, in, token, now_us);
	case WIRE_PULL_SLOTS:
		wire_out_init(&out, WIRE_SLOTS, 1);
		slot_control_encode(control_slots(g->ctl), &out);
		control_reply(g->ctl, token, &out);
		return true;
	default:
		return false;
	}
}
