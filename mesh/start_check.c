#include "mesh/start_check.h"

#include "common/clock.h"
#include "common/json.h"
#include "mesh/era_mark.h"
#include "mesh/event_log.h"
#include "mesh/left_holder.h"
#include "mesh/left_record.h"
#include "mesh/neighbours.h"
#include "mesh/node_message.h"
#include "mesh/target.h"
#include "net/timer.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

/* Number of nodes that are asked; those that hold this node's list are among the first. */
#define ASKED_MAX 16
#define CALL_TIMEOUT_MS 300
#define CHECK_MS 20
/* Pause between two rounds in which nobody has told enough. */
#define ROUND_PAUSE_US (100 * BR_US_PER_MS)
/*
 * Nodes that have not answered by then are taken for gone: a longer time while the store itself may lack what
 * they know.
 */
#define ASK_US (500 * BR_US_PER_MS)
#define ASK_LOST_US (1500 * BR_US_PER_MS)
/* Nodes whose entries the store has lost write them again within this time. */
#define ENTRIES_US (2500 * BR_US_PER_MS)
/* Time for a node that holds this node's list to offer it at least once. */
#define RETURN_US ((LEFT_RETURN_INTERVAL_MS + 100) * BR_US_PER_MS)

/** A question to one node. */
struct question {
	struct start_check *check;
	struct sockaddr_in addr;
	struct http_call call;
};

struct start_check {
	struct board *board;
	void (*asked)(void *ctx);
	void *ctx;
	struct timer *timer;
	struct question questions[ASKED_MAX];
	uint32_t n_questions, n_active, n_answered;
	/** Largest number of members that an answer has told. */
	uint64_t members_told;
	bool history_told;
	/** Start of this process, of the present check, and earliest time of the next round. */
	uint64_t created_us, begun_us, next_round_us;
	/** Time at which the members were first known in the present check; 0 before. */
	uint64_t view_known_us;
};

static void read_answer(struct start_check *s, struct json_object *o,
			const struct sockaddr_in *from)
{
	struct json_object *left = json_member_array(o, "left");
	struct br_left_list list = {0};
	uint64_t version = 0, members = 0;

	s->n_answered++;
	if (json_member_u64(o, "members", &members) && members > s->members_told)
		s->members_told = members;
	if (json_member_u64(o, "version", &version))
		board_report_version(s->board, version, from);
	if (json_member_bool(o, "knows_history"))
		s->history_told = true;
	if (left)
		left_read(left, &list);
	target_add_left(s->board->target, &list);
}

static void on_answer(struct http_call *call, enum http_call_result call_result,
		      struct http_msg *msg, int err)
{
	struct question *q = (struct question *)((char *)call - offsetof(struct question, call));
	struct json_object *o = msg && msg->status == 200 ? node_message_read(msg) : NULL;

	(void)call_result;
	q->check->n_active--;
	if (o)
		read_answer(q->check, o, &q->addr);
	else
		EVENT(EVENT_INFO, "start", "no_answer",
		      EVENT_NUMBER("port", ntohs(q->addr.sin_port)),
		      EVENT_NUMBER("status", msg ? msg->status : 0), EVENT_NUMBER("error", -err));
	json_object_put(o);
	http_msg_destroy(msg);
}

static void ask(struct start_check *s, struct question *q, struct member *m)
{
	struct json_object *o = json_object_new_object();
	struct buf b = {0};

	json_object_object_add(o, "node", json_object_new_string(s->board->settings->node));
	q->check = s;
	q->addr = m->addr;
	q->call = (struct http_call){.done = on_answer, .timeout_ms = CALL_TIMEOUT_MS};
	node_message_write(&b, START_FIELD, o);
	conn_pool_send(m->pool, &q->call, &b);
	s->n_active++;
}

static void start_round(struct start_check *s, uint64_t now_us)
{
	struct member *members[ASKED_MAX];

	s->n_questions = (uint32_t)neighbours_list(s->board, members, ASKED_MAX);
	s->n_answered = 0;
	s->next_round_us = now_us + ROUND_PAUSE_US;
	for (uint32_t i = 0; i < s->n_questions; i++)
		ask(s, &s->questions[i], members[i]);
}

/* Tests whether nothing more is to be learned from other nodes for now. */
static bool told_enough(const struct start_check *s, uint64_t now_us)
{
	struct br_store_trust trust = era_mark_trust(s->board, 0);
	bool lost = !br_store_is_settled(&trust) && trust.mark != BR_ERA_MARK_NONE;

	if (s->board->knows_history || s->history_told)
		lost = false;
	if (!neighbours_count(s->board))
		return !lost || now_us - s->view_known_us >= ENTRIES_US;
	if (s->n_answered && !lost)
		return true;
	return s->n_questions && now_us - s->view_known_us >= (lost ? ASK_LOST_US : ASK_US);
}

/* Tests whether all nodes were asked that may hold this node's list, as far as others know. */
static bool asked_all(const struct start_check *s)
{
	return s->n_answered && s->n_answered == s->n_questions &&
	       s->members_told <= members_count(s->board->members);
}

static void finish_questions(struct start_check *s, uint64_t now_us)
{
	s->board->others_asked = true;
	if (s->history_told)
		s->board->knows_history = true;
	EVENT(EVENT_INFO, "start", "others_asked", EVENT_NUMBER("asked", s->n_questions),
	      EVENT_NUMBER("answered", s->n_answered),
	      EVENT_NUMBER("knows_history", s->board->knows_history),
	      EVENT_NUMBER("told_version", s->board->told_version),
	      EVENT_NUMBER("after_ms", (now_us - s->begun_us) / BR_US_PER_MS));
	s->asked(s->ctx);
}

static void check_questions(struct start_check *s, uint64_t now_us)
{
	if (!s->board->view_position.revision || s->n_active)
		return;
	if (!s->view_known_us)
		s->view_known_us = now_us;
	if (told_enough(s, now_us))
		finish_questions(s, now_us);
	else if (now_us >= s->next_round_us)
		start_round(s, now_us);
}

static void on_check(void *arg)
{
	static const struct br_left_list nothing;
	struct start_check *s = arg;
	struct target *t = s->board->target;
	uint64_t now_us = clock_now_us();

	if (!s->board->others_asked)
		check_questions(s, now_us);
	if (!s->board->others_asked || !left_record_is_loaded(s->board->left_record) ||
	    (!asked_all(s) && now_us - s->created_us < RETURN_US))
		return;
	if (target_awaits_left(t))
		target_restore_left(t, &nothing);
	timer_cancel(&s->timer);
}

static void cancel_questions(struct start_check *s)
{
	for (uint32_t i = 0; i < s->n_questions; i++)
		if (http_call_active(&s->questions[i].call))
			http_call_cancel(&s->questions[i].call);
	s->n_questions = 0;
	s->n_active = 0;
	s->n_answered = 0;
}

void start_check_again(struct start_check *s)
{
	/* Answers to earlier questions may be of before the store's return. */
	cancel_questions(s);
	s->board->others_asked = false;
	s->begun_us = clock_now_us();
	s->view_known_us = 0;
	s->history_told = false;
	s->members_told = 0;
	if (!s->timer)
		s->timer = timer_repeat(s->board->loop, CHECK_MS, on_check, s);
}

struct start_check *start_check_create(struct board *board, void (*asked)(void *ctx), void *ctx)
{
	struct start_check *s = xcalloc(1, sizeof(*s));

	s->board = board;
	s->asked = asked;
	s->ctx = ctx;
	s->created_us = clock_now_us();
	board->others_asked = board->settings->first_start;
	board->knows_history = board->settings->first_start;
	if (!board->settings->first_start)
		start_check_again(s);
	return s;
}

void start_check_destroy(struct start_check *s)
{
	if (!s)
		return;
	timer_cancel(&s->timer);
	cancel_questions(s);
	free(s);
}

void start_check_answer(const struct board *board, const struct http_msg *m, struct buf *out)
{
	struct json_object *question = node_message_read(m), *o;
	const char *node = question ? json_member_text(question, "node") : NULL;
	const struct br_left_list *left = node ? left_holder_find(board->left_holder, node) : NULL;

	if (!node) {
		node_message_write_answer(out, 400, NULL);
		json_object_put(question);
		return;
	}
	o = json_object_new_object();
	json_object_object_add(o, "version",
			       json_object_new_uint64(board->config ? board->config->version : 0));
	json_object_object_add(o, "knows_history",
			       json_object_new_boolean(board->config && board->knows_history));
	json_object_object_add(o, "members", json_object_new_uint64(members_count(board->members)));
	if (left)
		json_object_object_add(o, "left", left_write(left));
	node_message_write_answer(out, 200, o);
	json_object_put(question);
}
