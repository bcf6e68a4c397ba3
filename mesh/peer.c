#include "mesh/peer.h"

#include "common/clock.h"
#include "mesh/config_watch.h"
#include "mesh/event_log.h"
#include "mesh/keeper_link.h"
#include "mesh/left_holder.h"
#include "mesh/peer_format.h"
#include "mesh/start_check.h"
#include "platform/fields.h"

#include <errno.h>
#include <stddef.h>
#include <stdlib.h>
#include <sys/queue.h>

/* Time after a job's deadline in which the other node may still report that it has passed. */
#define PEER_ANSWER_MARGIN_MS 150

static struct job *job_of(struct http_call *call)
{
	return (struct job *)((char *)call - offsetof(struct job, call));
}

static void end_job(struct job *job, struct job_end end)
{
	job->cancel = NULL;
	job->done(job, &end);
}

/**
 * State of a job at another node, used by its callbacks. The balancer keeps its entry for the
 * member until the job is recorded as ended, even if the member is removed before that.
 */
struct remote_job {
	struct board *board;
	struct br_node_id id;
	char node[BR_NAME_BYTES];
	uint64_t sent_us;
};

static void record_answer(const struct remote_job *run, const struct peer_end *end, uint64_t now_us)
{
	const struct member *m = members_by_name(run->board->members, run->node);

	br_balance_record_load(run->board->balance, &run->id, end->in_flight + end->queued,
			       end->limit, now_us);
	br_balance_record_failure_rate(run->board->balance, &run->id, end->failed_permille / 1000.0,
				       now_us);
	config_confirm_from_peer(run->board, end->version, end->confirmation_age_ms, run->sent_us,
				 m ? &m->addr : NULL);
}

static void end_run(struct job *job, enum br_balance_end how)
{
	struct remote_job *run = job->runner;
	struct member *m = members_by_name(run->board->members, run->node);

	br_balance_request_ended(run->board->balance, &run->id, how, clock_now_us());
	if (m && how != BR_BALANCE_CANCELLED && how != BR_BALANCE_ERROR)
		m->answered_us = clock_now_us();
	free(run);
	job->runner = NULL;
}

static enum br_balance_end balance_end_of(const struct peer_end *end, const struct http_msg *answer)
{
	switch (end->result) {
	case JOB_ANSWERED:
		if (answer->status < 500)
			return BR_BALANCE_OK;
		/* A failed call of the target says nothing about the target's own health. */
		return end->call_failed ? BR_BALANCE_CANCELLED : BR_BALANCE_ERROR;
	case JOB_NOT_RUN:
		return BR_BALANCE_REFUSED;
	case JOB_LOST:
		break;
	}
	return BR_BALANCE_ERROR;
}

static void on_done(struct http_call *call, enum http_call_result call_result, struct http_msg *msg,
		    int err)
{
	struct job *job = job_of(call);
	struct remote_job *run = job->runner;
	const char *text = msg ? http_msg_find_field(msg, PEER_END_FIELD) : NULL;
	uint64_t now_us = clock_now_us();
	struct peer_end end;

	if (call_result == HTTP_CALL_NOT_SENT) {
		br_balance_record_connect_failure(run->board->balance, &run->id, now_us);
		end_run(job, BR_BALANCE_CANCELLED);
		end_job(job,
			(struct job_end){.result = JOB_NOT_RUN, .reason = JOB_REASON_UNREACHABLE});
		return;
	}
	if (!text || peer_read_end(text, &end)) {
		if (err)
			br_balance_record_connect_failure(run->board->balance, &run->id, now_us);
		end_run(job, BR_BALANCE_ERROR);
		http_msg_destroy(msg);
		end_job(job, (struct job_end){.result = JOB_LOST,
					      .reason = job_reason_of_error(err),
					      .reached = true});
		return;
	}
	record_answer(run, &end, now_us);
	/* The balancer avoids the target for a short time, as after a failed connect. */
	if (end.reason == JOB_REASON_UNREACHABLE || end.reason == JOB_REASON_DRAINING ||
	    end.reason == JOB_REASON_NO_TARGET)
		br_balance_record_connect_failure(run->board->balance, &run->id, now_us);
	end_run(job, balance_end_of(&end, msg));
	if (end.result != JOB_ANSWERED) {
		http_msg_destroy(msg);
		msg = NULL;
	}
	end_job(job, (struct job_end){.result = end.result,
				      .reason = end.reason,
				      .answer = msg,
				      .reached = end.reached,
				      .call_failed = end.call_failed});
}

static void cancel_run(struct job *job)
{
	http_call_cancel(&job->call);
	end_run(job, BR_BALANCE_CANCELLED);
}

static uint64_t config_version(const struct board *board)
{
	return board->config ? board->config->version : 0;
}

void peer_run(struct board *board, struct member *m, struct job *job)
{
	uint64_t now_us = clock_now_us();
	struct buf b = {0};
	struct remote_job *run;

	if (m->self) {
		target_run(board->target, job);
		return;
	}
	run = xcalloc(1, sizeof(*run));
	run->board = board;
	run->id = m->id;
	run->sent_us = now_us;
	br_copy_text(run->node, sizeof(run->node), m->node);
	if (br_balance_request_started(board->balance, &m->id, now_us))
		abort();
	job->runner = run;
	job->cancel = cancel_run;
	job->call = (struct http_call){
		.done = on_done,
		.head = http_msg_is_head(job->msg),
		.timeout_ms = (job->deadline_us > now_us ? (job->deadline_us - now_us) / 1000 : 0) +
			      PEER_ANSWER_MARGIN_MS,
	};
	job_write_head(&b, job->msg);
	peer_write_job(&b, job, config_version(board), now_us);
	buf_append_text(&b, "\r\n");
	buf_append(&b, job->msg->body.data, job->msg->body.len);
	conn_pool_send(m->pool, &job->call, &b);
}

/* Longer than other nodes keep idle connections to this server. */
#define SERVER_IDLE_US (15 * BR_US_PER_S)

struct peer_conn {
	struct peer_server *server;
	struct http_conn *conn;
	LIST_ENTRY(peer_conn) link;
	/** Request and decoded job field of the job on this connection; valid while busy is set. */
	struct http_msg *msg;
	struct peer_job job_field;
	struct job job;
	bool busy;
};

struct peer_server {
	struct board *board;
	uv_tcp_t listener;
	LIST_HEAD(, peer_conn) conns;
	/** Jobs that have not ended. */
	uint32_t active;
};

static void free_conn(struct peer_conn *pc)
{
	if (pc->busy) {
		job_cancel(&pc->job);
		pc->server->active--;
	}
	peer_job_clear(&pc->job_field);
	http_msg_destroy(pc->msg);
	LIST_REMOVE(pc, link);
	free(pc);
}

static void write_answer(struct peer_conn *pc, const struct job_end *end, bool close_after)
{
	struct board *board = pc->server->board;
	struct peer_end end_field = {.result = end->result,
				     .reason = end->reason,
				     .reached = end->reached,
				     .call_failed = end->call_failed,
				     .version = config_version(board),
				     .confirmation_age_ms = config_confirmation_age_ms(board)};
	struct http_msg *m = end->answer;
	struct buf b = {0};

	target_get_load(board->target, &end_field);
	buf_printf(&b, "HTTP/1.1 %u %s\r\n", m ? m->status : 503, http_reason(m ? m->status : 503));
	peer_write_end(&b, &end_field);
	for (uint32_t i = 0; m && i < m->n_fields; i++)
		if (!http_field_is_hop_by_hop(http_msg_field_name(m, i)))
			buf_printf(&b, "%s: %s\r\n", http_msg_field_name(m, i),
				   http_msg_field_value(m, i));
	if (close_after)
		buf_append_text(&b, "Connection: close\r\n");
	if (m)
		http_msg_write_length(&b, m);
	else
		buf_append_text(&b, "Content-Length: 0\r\n");
	buf_append_text(&b, "\r\n");
	if (m && m->body.len < HTTP_LONG_BODY_BYTES)
		buf_append(&b, m->body.data, m->body.len);
	http_conn_send(pc->conn, &b);
	if (m && m->body.len >= HTTP_LONG_BODY_BYTES)
		http_conn_send(pc->conn, &m->body);
}

static void on_job_done(struct job *job, const struct job_end *end)
{
	struct peer_conn *pc = (struct peer_conn *)((char *)job - offsetof(struct peer_conn, job));

	pc->busy = false;
	pc->server->active--;
	write_answer(pc, end, false);
	http_msg_destroy(end->answer);
	peer_job_clear(&pc->job_field);
	http_msg_destroy(pc->msg);
	pc->msg = NULL;
}

static void refuse_malformed(struct peer_conn *pc)
{
	struct buf b = {0};

	buf_append_text(
		&b, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
	http_conn_send(pc->conn, &b);
	http_conn_finish(pc->conn);
	free_conn(pc);
}

/* Answers a node that asks for something else than a job. Returns false if it does not. */
static bool answer_question(struct board *board, const struct http_msg *m, struct buf *out)
{
	const char *fetch = http_msg_find_field(m, KEEPER_FETCH_FIELD);

	if (fetch)
		keeper_link_answer_fetch(board, fetch, out);
	else if (http_msg_find_field(m, LEFT_FIELD))
		left_holder_answer(board->left_holder, m, out);
	else if (http_msg_find_field(m, START_FIELD))
		start_check_answer(board, m, out);
	else
		return false;
	return true;
}

static void on_message(struct http_conn *c, struct http_msg *m)
{
	struct peer_conn *pc = http_conn_owner(c);
	struct board *board = pc->server->board;
	const char *text = http_msg_find_field(m, PEER_JOB_FIELD);
	const char *id = http_msg_find_field(m, platform_field_name(PLATFORM_FIELD_REQUEST_ID));
	uint64_t now_us = clock_now_us(), arrived_us;
	struct buf b = {0};

	if (!pc->busy && !text && answer_question(board, m, &b)) {
		http_msg_destroy(m);
		http_conn_send(c, &b);
		return;
	}
	if (pc->busy || !text || peer_read_job(text, &pc->job_field)) {
		http_msg_destroy(m);
		refuse_malformed(pc);
		return;
	}
	board_report_version(board, pc->job_field.version, NULL);
	/* The times left have run on while the job waited to be read. */
	arrived_us = now_us - br_pause_waited_us(&board->pause, now_us);
	pc->msg = m;
	pc->busy = true;
	pc->server->active++;
	pc->job = (struct job){
		.msg = m,
		.id = id ? id : "",
		.target = pc->job_field.target,
		.service = pc->job_field.service,
		.account = pc->job_field.account,
		.caller_service = pc->job_field.caller_service,
		.account_hash = pc->job_field.account_hash,
		.route_hash = pc->job_field.route_hash,
		.deadline_us = arrived_us + pc->job_field.time_left_ms * BR_US_PER_MS,
		.queue_until_us = arrived_us + pc->job_field.queue_time_ms * BR_US_PER_MS,
		.rank = pc->job_field.rank,
		.shed_order = pc->job_field.shed_order,
		.idempotent = pc->job_field.idempotent,
		.is_call = pc->job_field.is_call,
		.done = on_job_done,
	};
	target_run(board->target, &pc->job);
}

/* A job that could not be read has not run, and the node that sent it may send it elsewhere. */
static void on_invalid(struct http_conn *c, uint16_t status)
{
	struct peer_conn *pc = http_conn_owner(c);
	const struct job_end end = {.result = JOB_NOT_RUN, .reason = JOB_REASON_QUEUE_REFUSED};

	EVENT(EVENT_WARNING, "peer", status == 503 ? "no_room" : "malformed",
	      EVENT_NUMBER("status", status));
	if (!pc->busy)
		write_answer(pc, &end, true);
	http_conn_finish(c);
	free_conn(pc);
}

static void on_closed(struct http_conn *c, int err)
{
	(void)err;
	free_conn(http_conn_owner(c));
}

static const struct http_conn_ops server_ops = {
	.message = on_message,
	.invalid = on_invalid,
	.closed = on_closed,
};

/* A job's header has the caller's fields, whose size is the configuration's at the node that sends it. */
static uint32_t header_max_bytes(const struct board *b)
{
	size_t bytes = b->messages.limit_bytes / BOARD_MESSAGE_DIVISOR;

	return bytes < UINT32_MAX ? (uint32_t)bytes : UINT32_MAX;
}

static void on_accept(uv_stream_t *listener, int status)
{
	struct peer_server *s = listener->data;
	struct http_limits limits = board_message_limits(s->board, header_max_bytes(s->board));
	struct peer_conn *pc;

	if (status)
		return;
	pc = xcalloc(1, sizeof(*pc));
	pc->server = s;
	pc->conn = http_conn_accept(listener, &server_ops, &limits, pc);
	if (!pc->conn) {
		free(pc);
		return;
	}
	LIST_INSERT_HEAD(&s->conns, pc, link);
}

struct peer_server *peer_server_create(struct board *board)
{
	struct peer_server *s = xcalloc(1, sizeof(*s));

	s->board = board;
	if (http_listen(board->loop, &s->listener, &board->settings->peer_addr, on_accept, s)) {
		free(s);
		return NULL;
	}
	return s;
}

void peer_server_destroy(struct peer_server *s)
{
	if (!s)
		return;
	uv_close((uv_handle_t *)&s->listener, NULL);
	for (struct peer_conn *next, *c = LIST_FIRST(&s->conns); c; c = next) {
		next = LIST_NEXT(c, link);
		http_conn_close(c->conn);
		free_conn(c);
	}
}

uint32_t peer_server_active_jobs(const struct peer_server *s)
{
	return s->active;
}

void peer_server_sweep(struct peer_server *s)
{
	struct peer_conn *next;
	uint64_t now_us = clock_now_us();

	for (struct peer_conn *pc = LIST_FIRST(&s->conns); pc; pc = next) {
		next = LIST_NEXT(pc, link);
		if (pc->busy || now_us - http_conn_active_us(pc->conn) < SERVER_IDLE_US)
			continue;
		http_conn_close(pc->conn);
		free_conn(pc);
	}
}
