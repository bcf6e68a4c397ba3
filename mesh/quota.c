#include "mesh/quota.h"

#include "briarreel/quota.h"
#include "common/clock.h"
#include "mesh/config_watch.h"
#include "mesh/event_log.h"
#include "mesh/keeper_link.h"
#include "mesh/members.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

/* A datagram may be lost, and zones are a few milliseconds apart. */
#define ANSWER_WAIT_US (40 * BR_US_PER_MS)
/* While requests wait for an answer. */
#define TICK_MS 20
#define IDLE_TICK_MS (BR_QUOTA_ASK_US / BR_US_PER_MS)
/*
 * Part of the tolerated excess that the keeper grants. Tokens that expire unspent at a node would
 * otherwise be missing; the rest covers tokens that are spent a little later than they are granted.
 */
#define TOLERANCE_USED 0.5
#define DATAGRAM_BYTES 1200
#define ROWS_MAX 64
#define MESSAGE_ASK 1
#define MESSAGE_GRANT 2

/** Message between a node and the keeper; all numbers in network byte order. */
struct message_row {
	uint32_t account_high, account_low;
	uint32_t n;
};

struct message {
	uint32_t type;
	uint32_t node_high, node_low;
	/** Time of the sender of the ask, returned in the grant. */
	uint32_t asked_high, asked_low;
	/** Configuration in force at the sender, and how long ago it knew of no newer one. */
	uint32_t version_high, version_low, confirmed_ms;
	/** Incarnation of the keeper, and its count of changes of the view. */
	uint32_t incarnation, view_changes;
	uint32_t n_rows;
	struct message_row rows[ROWS_MAX];
};

#define MESSAGE_HEAD_BYTES offsetof(struct message, rows)

struct quota {
	struct board *board;
	uv_udp_t udp;
	struct timer *ticker, *idle_ticker;
	struct keeper_link *link;
	char keeper_node[BR_NAME_BYTES];
	struct sockaddr_in keeper_addr;
	struct br_quota_keeper *keeper;
	uint64_t grant_until_us;
	struct br_quota_share *share;
	/** Oldest first. */
	TAILQ_HEAD(, quota_wait) waits;
	uint64_t node_hash;
	/** Last answer of the keeper, and the first ask that has none since. */
	uint64_t heard_us, unanswered_us, asked_us;
};

static uint64_t join(uint32_t high, uint32_t low)
{
	return (uint64_t)ntohl(high) << 32 | ntohl(low);
}

static uint32_t high_of(uint64_t v)
{
	return htonl((uint32_t)(v >> 32));
}

static uint32_t low_of(uint64_t v)
{
	return htonl((uint32_t)v);
}

static bool is_keeper(const struct quota *q, uint64_t now_us)
{
	return q->keeper && now_us < q->grant_until_us;
}

/* The keeper withholds a silent node's part only after this time. */
static bool keeper_lost(const struct quota *q, uint64_t now_us)
{
	if (is_keeper(q, now_us))
		return false;
	if (!*q->keeper_node)
		return now_us - q->heard_us >= BR_QUOTA_SILENT_US;
	return q->unanswered_us && now_us - q->unanswered_us >= BR_QUOTA_SILENT_US;
}

static const struct mesh_account *account_of(const struct quota *q, uint64_t hash)
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

static uint32_t keeper_grant(struct quota *q, uint64_t hash, uint32_t want, uint64_t now_us)
{
	const struct mesh_settings *set = q->board->settings;
	const struct mesh_account *a = account_of(q, hash);
	double over = 1 + set->quota_over_part * TOLERANCE_USED;

	if (!a)
		return 0;
	br_quota_keeper_set_nodes(q->keeper, n_nodes(q));
	return br_quota_keeper_grant(q->keeper, hash, a->rate_per_s * over,
				     a->burst * over + set->quota_over_extra * TOLERANCE_USED, want,
				     now_us);
}

static void send_message(struct quota *q, const struct sockaddr *to, const struct message *m,
			 uint32_t n_rows)
{
	size_t bytes = MESSAGE_HEAD_BYTES + n_rows * sizeof(m->rows[0]);
	uv_buf_t chunk = uv_buf_init((char *)m, (unsigned int)bytes);

	if (uv_udp_try_send(&q->udp, &chunk, 1, to) < 0)
		EVENT(EVENT_WARNING, "quota", "send_failed", EVENT_NUMBER("bytes", bytes));
}

/* Adds a row for an account, or raises the one that is there. */
static uint32_t add_row(struct message *m, uint32_t n, uint64_t hash, uint32_t want)
{
	for (uint32_t i = 0; i < n; i++) {
		if (join(m->rows[i].account_high, m->rows[i].account_low) != hash)
			continue;
		m->rows[i].n = htonl(ntohl(m->rows[i].n) + want);
		return n;
	}
	if (n < ROWS_MAX)
		m->rows[n++] = (struct message_row){high_of(hash), low_of(hash), htonl(want)};
	return n;
}

static void write_state(const struct quota *q, struct message *m)
{
	uint64_t version = q->board->config ? q->board->config->version : 0;
	uint64_t age_ms = config_confirmed_ms(q->board);

	m->version_high = high_of(version);
	m->version_low = low_of(version);
	m->confirmed_ms = htonl(age_ms < UINT32_MAX ? (uint32_t)age_ms : UINT32_MAX);
	m->incarnation = htonl(keeper_link_incarnation(q->link));
	m->view_changes = htonl(q->board->view_changes);
}

static void ask(struct quota *q, uint64_t ahead_hash, uint32_t ahead, uint64_t now_us)
{
	struct sockaddr_in to = q->keeper_addr;
	struct quota_wait *w;
	struct message m = {0};
	uint32_t n = 0;

	if (!*q->keeper_node)
		return;
	m.type = htonl(MESSAGE_ASK);
	m.node_high = high_of(q->node_hash);
	m.node_low = low_of(q->node_hash);
	m.asked_high = high_of(now_us);
	m.asked_low = low_of(now_us);
	if (ahead)
		n = add_row(&m, n, ahead_hash, ahead);
	TAILQ_FOREACH(w, &q->waits, link)
	{
		if (w->asked_us && now_us - w->asked_us < ANSWER_WAIT_US)
			continue;
		w->asked_us = now_us;
		n = add_row(&m, n, w->account_hash, 1);
	}
	m.n_rows = htonl(n);
	write_state(q, &m);
	to.sin_port = htons(q->board->settings->mesh_port);
	q->asked_us = now_us;
	if (!q->unanswered_us)
		q->unanswered_us = now_us;
	send_message(q, (const struct sockaddr *)&to, &m, n);
}

static void on_ask(struct quota *q, const struct sockaddr *from, const struct message *in,
		   uint32_t n_rows)
{
	uint64_t now_us = clock_now_us();
	struct message out = *in;

	if (!is_keeper(q, now_us))
		return;
	if (br_quota_keeper_hear(q->keeper, join(in->node_high, in->node_low), now_us))
		return;
	board_saw_version(q->board, join(in->version_high, in->version_low));
	out.type = htonl(MESSAGE_GRANT);
	write_state(q, &out);
	for (uint32_t i = 0; i < n_rows; i++) {
		uint64_t hash = join(in->rows[i].account_high, in->rows[i].account_low);

		out.rows[i].n = htonl(keeper_grant(q, hash, ntohl(in->rows[i].n), now_us));
	}
	send_message(q, from, &out, n_rows);
}

static void take_news(struct quota *q, const struct message *in, uint64_t asked_us)
{
	struct keeper_news news = {
		.addr = q->keeper_addr,
		.version = join(in->version_high, in->version_low),
		.confirmed_ms = ntohl(in->confirmed_ms),
		.incarnation = ntohl(in->incarnation),
		.view_changes = ntohl(in->view_changes),
	};

	keeper_link_news(q->link, &news);
	config_confirmed_elsewhere(q->board, news.version, news.confirmed_ms, asked_us);
}

static void on_grant(struct quota *q, const struct message *in, uint32_t n_rows)
{
	uint64_t asked_us = join(in->asked_high, in->asked_low);
	uint64_t now_us = clock_now_us();
	struct quota_wait *next;

	if (join(in->node_high, in->node_low) != q->node_hash || now_us < asked_us ||
	    now_us - asked_us > BR_QUOTA_GRANT_US)
		return;
	q->heard_us = now_us;
	q->unanswered_us = 0;
	take_news(q, in, asked_us);
	for (uint32_t i = 0; i < n_rows; i++)
		br_quota_share_add(q->share,
				   join(in->rows[i].account_high, in->rows[i].account_low),
				   ntohl(in->rows[i].n), asked_us);
	for (struct quota_wait *w = TAILQ_FIRST(&q->waits); w; w = next) {
		next = TAILQ_NEXT(w, link);
		if (w->asked_us == asked_us)
			end_wait(q, w, br_quota_share_take(q->share, w->account_hash, now_us));
	}
}

static void on_receive(uv_udp_t *udp, ssize_t n, const uv_buf_t *in, const struct sockaddr *from,
		       unsigned int flags)
{
	struct quota *q = udp->data;
	struct message m;
	uint32_t n_rows;

	(void)flags;
	if (n < (ssize_t)MESSAGE_HEAD_BYTES || n > (ssize_t)sizeof(m) || !from)
		return;
	memcpy(&m, in->base, (size_t)n);
	n_rows = ntohl(m.n_rows);
	if (n_rows > ROWS_MAX || (size_t)n < MESSAGE_HEAD_BYTES + n_rows * sizeof(m.rows[0]))
		return;
	if (ntohl(m.type) == MESSAGE_ASK)
		on_ask(q, from, &m, n_rows);
	else if (ntohl(m.type) == MESSAGE_GRANT)
		on_grant(q, &m, n_rows);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *out)
{
	static char datagram[DATAGRAM_BYTES];

	(void)handle;
	(void)suggested;
	*out = uv_buf_init(datagram, sizeof(datagram));
}

/* Without a keeper the waiting requests spend this node's part. */
static void end_waits_without_keeper(struct quota *q, uint64_t now_us)
{
	struct quota_wait *next;

	for (struct quota_wait *w = TAILQ_FIRST(&q->waits); w; w = next) {
		next = TAILQ_NEXT(w, link);
		if (now_us - w->since_us < ANSWER_WAIT_US * 3)
			continue;
		end_wait(q, w,
			 br_quota_share_take_part(q->share, w->account_hash, w->rate_per_s,
						  n_nodes(q), now_us));
	}
}

static void on_tick(void *arg)
{
	struct quota *q = arg;
	uint64_t now_us = clock_now_us();

	if (!TAILQ_EMPTY(&q->waits))
		ask(q, 0, 0, now_us);
	end_waits_without_keeper(q, now_us);
	if (TAILQ_EMPTY(&q->waits))
		timer_cancel(&q->ticker);
}

static void on_idle_tick(void *arg)
{
	struct quota *q = arg;
	uint64_t now_us = clock_now_us();

	q->board->is_keeper = is_keeper(q, now_us);
	if (q->board->is_keeper)
		(void)br_quota_keeper_hear(q->keeper, q->node_hash, now_us);
	else if (now_us - q->asked_us >= BR_QUOTA_ASK_US)
		ask(q, 0, 0, now_us);
}

struct quota *quota_create(struct board *board, struct keeper_link *link)
{
	struct quota *q = xcalloc(1, sizeof(*q));
	struct sockaddr_in addr = board->settings->peer_addr;
	int rc;

	q->board = board;
	q->link = link;
	TAILQ_INIT(&q->waits);
	q->share = br_quota_share_create();
	BR_INVARIANT(q->share);
	q->node_hash = br_hash_str(board->settings->node, clock_now_us());
	q->heard_us = clock_now_us();
	addr.sin_port = htons(board->settings->mesh_port);
	uv_udp_init(board->loop, &q->udp);
	q->udp.data = q;
	rc = uv_udp_bind(&q->udp, (const struct sockaddr *)&addr, 0);
	if (!rc)
		rc = uv_udp_recv_start(&q->udp, on_alloc, on_receive);
	if (rc)
		EVENT(EVENT_ERROR, "quota", "listen_failed", EVENT_TEXT("error", uv_strerror(rc)));
	q->idle_ticker = timer_repeat(board->loop, IDLE_TICK_MS, on_idle_tick, q);
	return q;
}

void quota_destroy(struct quota *q)
{
	if (!q)
		return;
	timer_cancel(&q->ticker);
	timer_cancel(&q->idle_ticker);
	uv_close((uv_handle_t *)&q->udp, NULL);
	br_quota_keeper_destroy(q->keeper);
	br_quota_share_destroy(q->share);
}

void quota_set_keeper(struct quota *q, const char *node, const struct sockaddr_in *addr,
		      uint64_t grant_until_us)
{
	bool self = !strcmp(node, q->board->settings->node);
	uint64_t now_us = clock_now_us();

	if (strcmp(node, q->keeper_node) != 0) {
		EVENT(EVENT_INFO, "quota", "keeper", EVENT_TEXT("from", q->keeper_node),
		      EVENT_TEXT("to", node));
		br_copy_text(q->keeper_node, sizeof(q->keeper_node), node);
		q->unanswered_us = 0;
		q->heard_us = now_us;
		q->asked_us = 0;
	}
	if (self && !q->keeper)
		q->keeper = br_quota_keeper_create(now_us);
	if (!self) {
		br_quota_keeper_destroy(q->keeper);
		q->keeper = NULL;
	}
	if (addr)
		q->keeper_addr = *addr;
	q->grant_until_us = self ? grant_until_us : 0;
	q->board->is_keeper = is_keeper(q, now_us);
}

static void wait_for_grant(struct quota *q, const struct mesh_account *a, struct quota_wait *w,
			   uint64_t now_us)
{
	w->account_hash = a->name_hash;
	w->rate_per_s = a->rate_per_s;
	w->asked_us = 0;
	w->since_us = now_us;
	w->waiting = true;
	TAILQ_INSERT_TAIL(&q->waits, w, link);
	if (!q->ticker)
		q->ticker = timer_repeat(q->board->loop, TICK_MS, on_tick, q);
	ask(q, a->name_hash, br_quota_share_want(q->share, a->name_hash, now_us), now_us);
}

enum quota_result quota_take(struct quota *q, const struct mesh_account *a, struct quota_wait *w)
{
	uint64_t now_us = clock_now_us();

	if (a->rate_per_s <= 0)
		return QUOTA_GRANTED;
	if (is_keeper(q, now_us))
		return keeper_grant(q, a->name_hash, 1, now_us) ? QUOTA_GRANTED : QUOTA_DENIED;
	if (br_quota_share_take(q->share, a->name_hash, now_us))
		return QUOTA_GRANTED;
	if (keeper_lost(q, now_us) || !*q->keeper_node)
		return br_quota_share_take_part(q->share, a->name_hash, a->rate_per_s, n_nodes(q),
						now_us)
			       ? QUOTA_GRANTED
			       : QUOTA_DENIED;
	wait_for_grant(q, a, w, now_us);
	return QUOTA_WAITS;
}

void quota_cancel(struct quota *q, struct quota_wait *w)
{
	if (w->waiting)
		unlink_wait(q, w);
}
