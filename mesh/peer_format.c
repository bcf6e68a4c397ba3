#include "mesh/peer_format.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Written in place of an empty string, since the values are separated by spaces. */
#define EMPTY_TEXT "-"
/* Nodes of earlier versions do not send the service, and ignore it. */
#define PEER_JOB_VALUES_MIN 12

static const char *text_or_placeholder(const char *text)
{
	return *text ? text : EMPTY_TEXT;
}

static void placeholder_to_empty(char *text)
{
	if (!strcmp(text, EMPTY_TEXT))
		*text = '\0';
}

static uint64_t time_left_ms(uint64_t until_us, uint64_t now_us)
{
	return until_us > now_us ? (until_us - now_us) / BR_US_PER_MS : 0;
}

void peer_write_job(struct buf *b, const struct job *job, uint64_t version, uint64_t now_us)
{
	buf_printf(b,
		   PEER_JOB_FIELD ": %" PRIu64 " %" PRIu64 " %" PRIu64 " %" PRIx64 " %" PRIx64
				  " %u %u %u %u %s %s %s %s\r\n",
		   time_left_ms(job->deadline_us, now_us),
		   time_left_ms(job->queue_until_us, now_us), version, job->account_hash,
		   job->route_hash, job->rank, job->shed_order, job->idempotent, job->is_call,
		   text_or_placeholder(job->target), text_or_placeholder(job->account),
		   text_or_placeholder(job->caller_service), text_or_placeholder(job->service));
}

int peer_read_job(const char *text, struct peer_job *out)
{
	unsigned int rank, shed_order, idempotent, is_call;
	int n = sscanf(text,
		       "%" SCNu64 " %" SCNu64 " %" SCNu64 " %" SCNx64 " %" SCNx64
		       " %u %u %u %u %63s %63s %63s %63s",
		       &out->time_left_ms, &out->queue_time_ms, &out->version, &out->account_hash,
		       &out->route_hash, &rank, &shed_order, &idempotent, &is_call, out->target,
		       out->account, out->caller_service, out->service);

	if (n < PEER_JOB_VALUES_MIN || shed_order > UINT16_MAX)
		return -EINVAL;
	if (n == PEER_JOB_VALUES_MIN)
		out->service[0] = '\0';
	out->rank = (uint8_t)(rank < MESH_RANKS ? rank : MESH_RANKS - 1);
	out->shed_order = (uint16_t)shed_order;
	out->is_call = is_call != 0;
	out->idempotent = idempotent != 0;
	placeholder_to_empty(out->target);
	placeholder_to_empty(out->account);
	placeholder_to_empty(out->caller_service);
	placeholder_to_empty(out->service);
	return 0;
}

void peer_write_end(struct buf *b, const struct peer_end *end)
{
	buf_printf(b, PEER_END_FIELD ": %d %s %d %d %u %u %u %u %" PRIu64 " %" PRIu64 "\r\n",
		   (int)end->result, job_reason_text(end->reason), end->reached, end->call_failed,
		   end->in_flight, end->queued, end->limit, end->failed_permille, end->version,
		   end->confirmation_age_ms);
}

int peer_read_end(const char *text, struct peer_end *out)
{
	char reason[BR_NAME_BYTES];
	unsigned int result, reached, call_failed;

	if (sscanf(text, "%u %63s %u %u %u %u %u %u %" SCNu64 " %" SCNu64, &result, reason,
		   &reached, &call_failed, &out->in_flight, &out->queued, &out->limit,
		   &out->failed_permille, &out->version, &out->confirmation_age_ms) != 10 ||
	    result > JOB_LOST)
		return -EINVAL;
	out->result = (enum job_result)result;
	out->reason = job_reason_parse(reason);
	out->reached = reached != 0;
	out->call_failed = call_failed != 0;
	return 0;
}
