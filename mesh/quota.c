#include "mesh/quota.h"

#include "briarreel/quota.h"
#include "common/clock.h"
#include "mesh/config_watch.h"
#include "mesh/event_log.h"
#include "mesh/keeper_link.h"
#include "mesh/keeper_message.h"
#include "mesh/members.h"
#include "mesh/relay.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

/*
 * A token is requested again after this time, since a datagram may be lost. The latency between
 * zones is a few milliseconds.
 */
#define ANSWER_WAIT_US (40 * BR_US_PER_MS)
/* Interval of the check of requests that wait for the keeper's answer. */
#define WAIT_CHECK_MS 20
/*
 * Interval at which this node checks whether it is the keeper and, if it is not, sends the keeper a
 * message even if no tokens are needed.
 */
#define KEEPER_CHECK_MS (BR_QUOTA_REQUEST_INTERVAL_US / BR_US_PER_MS)
/*
 * Fraction of the tolerated excess over a rate that the keeper adds to its grants, to make up for
 * tokens that expire unspent at a node. The remainder allows for tokens that are spent some time
 * after the grant.
 */
#define EXCESS_GRANTED_PART 0.5
/* Fraction of it that nodes may spend of their parts before the keeper reserves them. */
#define OVERLAP_PART 0.25
/* The keeper timer is late by this much only if the process was paused. */
#define PAUSE_US (BR_QUOTA_REQUEST_INTERVAL_US * 3)
/* Minimum time for which a request waits for an answer of the keeper. */
#define WAIT_MIN_US (ANSWER_WAIT_US * 3)

struct quota {
	struct board *board;
	uv_udp_t udp;
	struct timer *wait_timer, *keeper_timer;
	struct keeper_link *link;
	char keeper_node[BR_NAME_BYTES];
	/** Address of the keeper for datagrams, and its TCP port for connections of other nodes. */
	struct sockaddr_in keeper_addr;
	in_port_t keeper_port;
	/** NULL if this node is not the keeper. */
	struct br_quota_allocator *allocator;
	uint64_t lease_until_us;
	/** Last run of the keeper timer; it is late if the process was paused. */
	uint64_t checked_us;
	/** Datagrams that are read before this time may have waited while the process was paused. */
	uint64_t outdated_until_us;
	struct br_quota_client *client;
	/** Waiting requests, oldest first. */
	TAILQ_HEAD(, quota_wait) waits;
	/** Identifies this process in messages; differs after a restart. */
	uint64_t node_hash;
	/** Times of the first request since the keeper's last answer, and of the last request. */
	uint64_t unanswered_since_us, last_request_us;
};

static bool is_keeper(const struct quota *q, uint64_t now_us)
{
	return q->allocator && now_us < q->lease_until_us;
}

/* True if nobody else acts as the keeper. */
static bool is_only_keeper(const struct quota *q, uint64_t now_us)
{
	return is_keeper(q, now_us) && now_us >= q->board->other_keeper_until_us;
}

/* True if datagrams that are read now may have been waiting while the process did not run. */
static bool was_paused(const struct quota *q, uint64_t now_us)
{
	return now_us - q->checked_us > PAUSE_US || now_us < q->outdated_until_us;
}

/*
 * Without the members a node does not know which part of a rate is its own. Until then it spends
 * and grants nothing.
 */
static bool members_known(const struct quota *q)
{
	return q->board->view_position.revision != 0;
}

/* If there is no keeper or it does not answer, a node spends an equal part of each rate. */
static bool keeper_unavailable(const struct quota *q, uint64_t now_us)
{
	if (!*q->keeper_node)
		return true;
	return q->unanswered_since_us &&
	       now_us - q->unanswered_since_us >= BR_QUOTA_NODE_TIMEOUT_US;
}

static const struct mesh_account *find_account(const struct quota *q, uint64_t hash)
{
	const struct mesh_config *c = q->board->config;

	for (uint32_t i = 0; c && i < c->n_accounts; i++)
		if (c->accounts[i].name_hash == hash)
			return &c->accounts[i];
	return NULL;
}

static uint32_t n_nodes(const struct quota *q)
{
	size_t n = members_count(q->board->members);

	return n ? (uint32_t)n : 1;
}

static void unlink_wait(struct quota *q, struct quota_wait *w)
{
	TAILQ_REMOVE(&q->waits, w, link);
	w->waiting = false;
}

static void end_wait(struct quota *q, struct quota_wait *w, bool granted)
{
	unlink_wait(q, w);
	w->done(w, granted);
}

/* Rate and burst by which the keeper grants an account's tokens. */
static struct br_quota_limit keeper_limit(const struct quota *q, const struct mesh_account *a,
					  uint64_t now_us)
{
	const struct mesh_settings *set = q->board->settings;
	/* What is tolerated beyond the rate is left to overlaps with another keeper. */
	double excess_factor =
		is_only_keeper(q, now_us) ? 1 + set->quota_overage_ratio * EXCESS_GRANTED_PART : 1;

	return (struct br_quota_limit){
		.rate_per_s = a->rate_per_s * excess_factor,
		.burst = a->burst * excess_factor + set->quota_slack * EXCESS_GRANTED_PART,
	};
}

/* Prepares the keeper's allocator for a call. */
static void update_allocator(struct quota *q, uint64_t now_us)
{
	br_quota_allocator_set_exclusive(q->allocator, is_only_keeper(q, now_us));
	br_quota_allocator_set_nodes(q->allocator, n_nodes(q));
}

/*
 * Grants up to want tokens of an account; called only if this node is the keeper. It goes on
 * without a lease, since its share is limited to the parts of the nodes that ask it: whoever is
 * elected next withholds their parts until they ask there.
 */
static uint32_t keeper_grant(struct quota *q, uint64_t hash, uint32_t want, uint64_t now_us)
{
	const struct mesh_account *a = find_account(q, hash);
	struct br_quota_limit limit;

	if (!a || !members_known(q))
		return 0;
	limit = keeper_limit(q, a, now_us);
	update_allocator(q, now_us);
	return br_quota_allocator_grant(q->allocator, hash, limit.rate_per_s, limit.burst, want,
					now_us);
}

/* Charges the debt of a node's request, and marks in the row what it was charged up to. */
static void keeper_charge(struct quota *q, uint64_t node, struct keeper_row *row, uint64_t now_us)
{
	const struct mesh_account *a = find_account(q, row->account_hash);
	struct br_quota_limit limit;

	if (!a)
		return;
	limit = keeper_limit(q, a, now_us);
	update_allocator(q, now_us);
	if (br_quota_allocator_charge(q->allocator, node, row->account_hash, limit.rate_per_s,
				      limit.burst, &row->debt, now_us))
		return;
	row->debt.charged = row->debt.spent;
}

static void send_message(struct quota *q, const struct sockaddr *to, const struct keeper_message *m)
{
	char bytes[KEEPER_MESSAGE_BYTES];
	size_t len = keeper_message_write(m, bytes, sizeof(bytes));
	uv_buf_t chunk = uv_buf_init(bytes, (unsigned int)len);

	/* Not retried here: tokens that were not granted are requested again. */
	if (!len || uv_udp_try_send(&q->udp, &chunk, 1, to) < 0)
		EVENT(EVENT_WARNING, "quota", "send_failed", EVENT_NUMBER("bytes", len));
}

/* Adds tokens to an account's row, or adds a row. Returns false if the message is full. */
static bool add_row(const struct quota *q, struct keeper_message *m, uint64_t account,
		    uint32_t tokens)
{
	for (uint32_t i = 0; i < m->n_rows; i++) {
		if (m->rows[i].account_hash != account)
			continue;
		m->rows[i].tokens += tokens;
		return true;
	}
	if (m->n_rows == KEEPER_ROWS_MAX)
		return false;
	m->rows[m->n_rows++] =
		(struct keeper_row){.account_hash = account,
				    .tokens = tokens,
				    .debt = br_quota_client_debt(q->client, account)};
	return true;
}

static void fill_sender_state(const struct quota *q, struct keeper_message *m)
{
	m->version = q->board->config ? q->board->config->version : 0;
	m->confirmation_age_ms = config_confirmation_age_ms(q->board);
	m->store_reachable = !q->board->store_unreachable && !q->board->config_watch_failed;
	m->incarnation = q->board->incarnation;
	m->view_changes = q->board->view_changes;
}

/* Adds the tokens of the waiting requests that are due. Returns false if some did not fit. */
static bool add_waits(struct quota *q, struct keeper_message *m, uint64_t now_us)
{
	struct quota_wait *w;

	TAILQ_FOREACH(w, &q->waits, link)
	{
		if (w->requested_us && now_us - w->requested_us < ANSWER_WAIT_US)
			continue;
		if (!add_row(q, m, w->account_hash, 1))
			return false;
		w->requested_us = m->requested_us;
	}
	return true;
}

/* Adds the debts that were not charged. Those that don't fit are told with a later request. */
static void add_debts(const struct quota *q, struct keeper_message *m)
{
	uint64_t account;
	size_t pos = 0;

	while (br_quota_client_next_debt(q->client, &pos, &account) && add_row(q, m, account, 0))
		;
}

/*
 * Sends the keeper a request for the tokens of waiting requests, and for prefetch_tokens more of
 * one account. Also sent without any tokens, since it shows the keeper that this node is alive.
 * Accounts that do not fit into one message go into further ones, with a time of their own that
 * tells their answers apart.
 */
static void request_tokens(struct quota *q, uint64_t prefetch_account, uint32_t prefetch_tokens,
			   uint64_t now_us)
{
	bool complete = false;

	if (!*q->keeper_node)
		return;
	for (uint64_t at_us = now_us; !complete; at_us--) {
		struct keeper_message m = {
			.type = KEEPER_REQUEST, .node_hash = q->node_hash, .requested_us = at_us};

		if (at_us == now_us && prefetch_tokens)
			(void)add_row(q, &m, prefetch_account, prefetch_tokens);
		complete = add_waits(q, &m, now_us);
		add_debts(q, &m);
		fill_sender_state(q, &m);
		send_message(q, (const struct sockaddr *)&q->keeper_addr, &m);
	}
	q->last_request_us = now_us;
	if (!q->unanswered_since_us)
		q->unanswered_since_us = now_us;
}

/* Reports the configuration version of the node that has sent a datagram. */
static void report_version(struct quota *q, uint64_t version, const struct sockaddr *from)
{
	const struct member *m = NULL;

	if (q->board->config && version <= q->board->config->version)
		return;
	if (from->sa_family == AF_INET)
		m = members_by_host(q->board->members,
				    ((const struct sockaddr_in *)from)->sin_addr);
	board_report_version(q->board, version, m ? &m->addr : NULL);
}

static void on_request(struct quota *q, const struct sockaddr *from,
		       const struct keeper_message *in)
{
	uint64_t now_us = clock_now_us();
	struct keeper_message out = *in;

	/*
	 * A request that waited while this process was paused says nothing about where its node
	 * asks now. A node that cannot be recorded (-ENOMEM) gets no grant.
	 */
	if (!q->allocator || was_paused(q, now_us) || !members_known(q) ||
	    br_quota_allocator_heartbeat(q->allocator, in->node_hash, now_us))
		return;
	report_version(q, in->version, from);
	out.type = KEEPER_GRANT;
	fill_sender_state(q, &out);
	for (uint32_t i = 0; i < out.n_rows; i++) {
		keeper_charge(q, in->node_hash, &out.rows[i], now_us);
		out.rows[i].tokens =
			keeper_grant(q, in->rows[i].account_hash, in->rows[i].tokens, now_us);
	}
	send_message(q, from, &out);
}

static void update_keeper_state(struct quota *q, const struct keeper_message *in)
{
	struct keeper_state state = {
		.addr = q->keeper_addr,
		.version = in->version,
		.confirmation_age_ms = in->confirmation_age_ms,
		.store_reachable = in->store_reachable,
		.view = {.incarnation = in->incarnation, .changes = in->view_changes},
	};

	/* Fetches need the keeper's TCP port, not the port for datagrams. */
	state.addr.sin_port = q->keeper_port;
	keeper_link_update(q->link, &state);
	config_confirm_from_peer(q->board, in->version, in->confirmation_age_ms, in->requested_us,
				 NULL);
}

static bool has_wait(const struct quota *q, uint64_t account, uint64_t requested_us)
{
	const struct quota_wait *w;

	TAILQ_FOREACH(w, &q->waits, link)
	if (w->account_hash == account && w->requested_us == requested_us)
		return true;
	return false;
}

static void on_grant(struct quota *q, const struct keeper_message *in)
{
	uint64_t now_us = clock_now_us();
	struct quota_wait *next;

	if (in->node_hash != q->node_hash || now_us < in->requested_us ||
	    now_us - in->requested_us > BR_QUOTA_GRANT_TTL_US)
		return;
	q->unanswered_since_us = 0;
	br_quota_client_answered(q->client, now_us);
	update_keeper_state(q, in);
	for (uint32_t i = 0; i < in->n_rows; i++) {
		const struct keeper_row *row = &in->rows[i];

		/* A row without tokens may only have told a debt. */
		if (row->tokens || has_wait(q, row->account_hash, in->requested_us))
			br_quota_client_add_grant(q->client, row->account_hash, row->tokens,
						  in->requested_us);
		br_quota_client_debt_charged(q->client, row->account_hash, row->debt.charged);
	}
	for (struct quota_wait *w = TAILQ_FIRST(&q->waits); w; w = next) {
		next = TAILQ_NEXT(w, link);
		if (w->requested_us == in->requested_us)
			end_wait(q, w, br_quota_client_take(q->client, w->account_hash, now_us));
	}
}

static void on_receive(uv_udp_t *udp, ssize_t n, const uv_buf_t *in, const struct sockaddr *from,
		       unsigned int flags)
{
	struct quota *q = udp->data;
	struct keeper_message m;

	(void)flags;
	if (n <= 0 || !from)
		return;
	if (keeper_message_read(in->base, (size_t)n, &m)) {
		EVENT(EVENT_WARNING, "quota", "message_unreadable", EVENT_NUMBER("bytes", n));
		return;
	}
	switch (m.type) {
	case KEEPER_REQUEST:
		on_request(q, from, &m);
		break;
	case KEEPER_GRANT:
		on_grant(q, &m);
		break;
	case KEEPER_NOTICE:
		keeper_link_notice(q->link, m.version,
				   &(struct view_position){.incarnation = m.incarnation,
							   .changes = m.view_changes});
		break;
	}
}

static void send_notice(void *ctx, const struct member *m)
{
	struct quota *q = ctx;
	struct keeper_message out = {.type = KEEPER_NOTICE, .node_hash = q->node_hash};
	struct sockaddr_in to = m->addr;

	fill_sender_state(q, &out);
	if (!q->board->is_keeper) {
		out.incarnation = q->board->keeper_view.incarnation;
		out.view_changes = q->board->keeper_view.changes;
	}
	to.sin_port = htons(q->board->settings->mesh_port);
	send_message(q, (const struct sockaddr *)&to, &out);
}

/* Not repeated if lost: the keeper's answers tell the same, only later. */
static void on_progress(void *ctx)
{
	struct quota *q = ctx;
	struct sockaddr_in keeper = q->keeper_addr;

	if (!*q->keeper_node ||
	    (!q->board->is_keeper && !board_follows_keeper(q->board, clock_now_us())))
		return;
	keeper.sin_port = q->keeper_port;
	relay_children(q->board, &keeper, send_notice, q);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *out)
{
	static char datagram[KEEPER_MESSAGE_BYTES];

	(void)handle;
	(void)suggested;
	*out = uv_buf_init(datagram, sizeof(datagram));
}

static bool take_fallback(struct quota *q, const struct quota_wait *w, uint64_t now_us)
{
	if (!members_known(q) || !br_quota_client_take_fallback(q->client, w->account_hash,
								&w->limit, n_nodes(q), now_us))
		return false;
	board_count(q->board, COUNT_QUOTA_FALLBACK);
	return true;
}

/*
 * Waits without an answer use this node's part of the rate. While that is used up, they go on
 * waiting for a keeper: a new one is found soon.
 */
static void expire_waits(struct quota *q, uint64_t now_us)
{
	struct quota_wait *next;

	for (struct quota_wait *w = TAILQ_FIRST(&q->waits); w; w = next) {
		next = TAILQ_NEXT(w, link);
		if (now_us - w->started_us < WAIT_MIN_US)
			continue;
		if (take_fallback(q, w, now_us))
			end_wait(q, w, true);
		else if (now_us >= w->until_us)
			end_wait(q, w, false);
	}
}

static void on_wait_timer(void *arg)
{
	struct quota *q = arg;
	uint64_t now_us = clock_now_us();

	if (!TAILQ_EMPTY(&q->waits))
		request_tokens(q, 0, 0, now_us);
	expire_waits(q, now_us);
	if (TAILQ_EMPTY(&q->waits))
		timer_cancel(&q->wait_timer);
}

static void on_keeper_timer(void *arg)
{
	struct quota *q = arg;
	uint64_t now_us = clock_now_us();

	if (q->allocator && now_us - q->checked_us > PAUSE_US) {
		EVENT(EVENT_WARNING, "quota", "paused",
		      EVENT_NUMBER("for_ms", (now_us - q->checked_us) / BR_US_PER_MS));
		br_quota_allocator_forget_nodes(q->allocator);
		q->outdated_until_us = now_us + ANSWER_WAIT_US;
	}
	q->checked_us = now_us;
	q->board->is_keeper = is_keeper(q, now_us);
	if (q->allocator)
		(void)br_quota_allocator_heartbeat(q->allocator, q->node_hash, now_us);
	else if (now_us - q->last_request_us >= BR_QUOTA_REQUEST_INTERVAL_US)
		request_tokens(q, 0, 0, now_us);
}

struct quota *quota_create(struct board *board, struct keeper_link *link)
{
	struct quota *q = xcalloc(1, sizeof(*q));
	struct sockaddr_in addr = board->settings->peer_addr;
	int rc;

	q->board = board;
	q->link = link;
	TAILQ_INIT(&q->waits);
	q->client = br_quota_client_create(br_rng_next(&board->rng));
	BR_INVARIANT(q->client);
	q->node_hash = br_hash_str(board->settings->node, clock_now_us());
	addr.sin_port = htons(board->settings->mesh_port);
	uv_udp_init(board->loop, &q->udp);
	q->udp.data = q;
	rc = uv_udp_bind(&q->udp, (const struct sockaddr *)&addr, 0);
	if (!rc)
		rc = uv_udp_recv_start(&q->udp, on_alloc, on_receive);
	if (rc)
		EVENT(EVENT_ERROR, "quota", "listen_failed", EVENT_TEXT("error", uv_strerror(rc)));
	board->on_progress = on_progress;
	board->on_progress_ctx = q;
	q->checked_us = clock_now_us();
	q->keeper_timer = timer_repeat(board->loop, KEEPER_CHECK_MS, on_keeper_timer, q);
	return q;
}

void quota_destroy(struct quota *q)
{
	if (!q)
		return;
	q->board->on_progress = NULL;
	timer_cancel(&q->wait_timer);
	timer_cancel(&q->keeper_timer);
	uv_close((uv_handle_t *)&q->udp, NULL);
	br_quota_allocator_destroy(q->allocator);
	br_quota_client_destroy(q->client);
}

void quota_set_keeper(struct quota *q, const char *node, const struct sockaddr_in *addr,
		      uint64_t lease_until_us)
{
	bool self = !strcmp(node, q->board->settings->node);
	uint64_t now_us = clock_now_us();

	if (strcmp(node, q->keeper_node) != 0) {
		EVENT(EVENT_INFO, "quota", "keeper", EVENT_TEXT("from", q->keeper_node),
		      EVENT_TEXT("to", node));
		br_copy_text(q->keeper_node, sizeof(q->keeper_node), node);
		q->unanswered_since_us = 0;
		q->last_request_us = 0;
	}
	if (self && !q->allocator)
		q->allocator = br_quota_allocator_create(now_us);
	if (!self) {
		br_quota_allocator_destroy(q->allocator);
		q->allocator = NULL;
	}
	if (addr) {
		q->keeper_addr = *addr;
		q->keeper_port = addr->sin_port;
		q->keeper_addr.sin_port = htons(q->board->settings->mesh_port);
	}
	q->lease_until_us = self ? lease_until_us : 0;
	q->board->is_keeper = is_keeper(q, now_us);
	if (!self && !q->last_request_us)
		request_tokens(q, 0, 0, now_us);
}

static void wait_for_grant(struct quota *q, const struct mesh_account *a, struct quota_wait *w,
			   uint64_t now_us)
{
	w->requested_us = 0;
	w->started_us = now_us;
	w->waiting = true;
	TAILQ_INSERT_TAIL(&q->waits, w, link);
	if (!q->wait_timer)
		q->wait_timer = timer_repeat(q->board->loop, WAIT_CHECK_MS, on_wait_timer, q);
	request_tokens(q, a->name_hash,
		       br_quota_client_tokens_to_request(q->client, a->name_hash, now_us), now_us);
}

/* What nodes may spend twice of an account's tokens, in any window of the operator's. */
static double overlap_tokens(const struct mesh_settings *set, const struct mesh_account *a)
{
	double window_s = (double)set->quota_window_ms / 1000;

	return (set->quota_overage_ratio * (a->rate_per_s * window_s + a->burst) +
		set->quota_slack) *
	       OVERLAP_PART;
}

enum quota_result quota_take(struct quota *q, const struct mesh_account *a, struct quota_wait *w)
{
	const struct mesh_settings *set = q->board->settings;
	uint64_t now_us = clock_now_us();

	if (a->rate_per_s <= 0)
		return QUOTA_GRANTED;
	if (q->allocator && members_known(q))
		return keeper_grant(q, a->name_hash, 1, now_us) ? QUOTA_GRANTED : QUOTA_DENIED;
	if (br_quota_client_take(q->client, a->name_hash, now_us))
		return QUOTA_GRANTED;
	w->account_hash = a->name_hash;
	w->limit = (struct br_quota_limit){
		.rate_per_s = a->rate_per_s,
		.burst = a->burst,
		.tolerated =
			set->quota_overage_ratio * (a->rate_per_s + a->burst) + set->quota_slack,
		.overlap = overlap_tokens(set, a),
	};
	if (keeper_unavailable(q, now_us) && take_fallback(q, w, now_us))
		return QUOTA_GRANTED;
	wait_for_grant(q, a, w, now_us);
	return QUOTA_PENDING;
}

void quota_cancel(struct quota *q, struct quota_wait *w)
{
	if (w->waiting)
		unlink_wait(q, w);
}
