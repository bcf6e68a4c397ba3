#include "mesh/peer_format.h"

#include "lib/escape.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Written in place of an empty name, since the values are separated by spaces. */
#define EMPTY_TEXT "-"
/* The word for a name that reads like EMPTY_TEXT. */
#define DASH_ESCAPED "%2d"
/* Numbers before the names of a job. */
#define PEER_JOB_NUMBERS 9

/* Appends a name as one word behind a space. */
static void append_name(struct buf *b, const char *name)
{
	buf_append_text(b, " ");
	if (!*name) {
		buf_append_text(b, EMPTY_TEXT);
	} else if (!strcmp(name, EMPTY_TEXT)) {
		buf_append_text(b, DASH_ESCAPED);
	} else {
		buf_reserve(b, BR_ESCAPED_BYTES(strlen(name)));
		b->len = (size_t)(br_escape(b->data + b->len, name) - b->data);
	}
}

/* Decodes the next word, of a field or its line, in place; NULL if there is none or it is malformed. */
static const char *read_name(char **words)
{
	char *word = strsep(words, " \r\n");

	if (!word)
		return NULL;
	if (!strcmp(word, EMPTY_TEXT))
		return "";
	return br_unescape(word, strlen(word) + 1, word) ? word : NULL;
}

static uint64_t time_left_ms(uint64_t until_us, uint64_t now_us)
{
	return until_us > now_us ? (until_us - now_us) / BR_US_PER_MS : 0;
}

void peer_write_job(struct buf *b, const struct job *job, uint64_t version, uint64_t now_us)
{
	buf_printf(b,
		   PEER_JOB_FIELD ": %" PRIu64 " %" PRIu64 " %" PRIu64 " %" PRIx64 " %" PRIx64
				  " %u %u %u %u",
		   time_left_ms(job->deadline_us, now_us),
		   time_left_ms(job->queue_until_us, now_us), version, job->account_hash,
		   job->route_hash, job->rank, job->shed_order, job->idempotent, job->is_call);
	append_name(b, job->target);
	append_name(b, job->account);
	append_name(b, job->caller_service);
	append_name(b, job->service);
	buf_append_text(b, "\r\n");
}

/* Reads the names, which are the words of text. */
static int read_names(const char *text, struct peer_job *out)
{
	size_t bytes = strlen(text) + 1;
	char *words;

	out->words = xmalloc(bytes);
	memcpy(out->words, text, bytes);
	words = out->words;
	out->target = read_name(&words);
	out->account = read_name(&words);
	out->caller_service = read_name(&words);
	if (!out->target || !out->account || !out->caller_service)
		return -EINVAL;
	/* Nodes of earlier versions do not send the service; those of later ones may send more. */
	out->service = words ? read_name(&words) : "";
	return out->service ? 0 : -EINVAL;
}

int peer_read_job(const char *text, struct peer_job *out)
{
	unsigned int rank, shed_order, idempotent, is_call;
	int names_at = 0;
	int n = sscanf(text,
		       "%" SCNu64 " %" SCNu64 " %" SCNu64 " %" SCNx64 " %" SCNx64 " %u %u %u %u %n",
		       &out->time_left_ms, &out->queue_time_ms, &out->version, &out->account_hash,
		       &out->route_hash, &rank, &shed_order, &idempotent, &is_call, &names_at);

	if (n != PEER_JOB_NUMBERS || !names_at || shed_order > UINT16_MAX)
		return -EINVAL;
	out->rank = (uint8_t)(rank < MESH_RANKS ? rank : MESH_RANKS - 1);
	out->shed_order = (uint16_t)shed_order;
	out->is_call = is_call != 0;
	out->idempotent = idempotent != 0;
	if (!read_names(text + names_at, out))
		return 0;
	peer_job_clear(out);
	return -EINVAL;
}

void peer_job_clear(struct peer_job *job)
{
	free(job->words);
	job->words = NULL;
	job->target = NULL;
	job->account = NULL;
	job->caller_service = NULL;
	job->service = NULL;
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
