#include "mesh/job.h"

#include "mesh/peer_format.h"
#include "platform/fields.h"

#include <errno.h>
#include <string.h>
#include <strings.h>

static const char *const reason_texts[JOB_REASONS] = {
	[JOB_REASON_NONE] = "none",
	[JOB_REASON_NO_TARGET] = "no_target",
	[JOB_REASON_DRAINING] = "draining",
	[JOB_REASON_QUEUE_REFUSED] = "overload",
	[JOB_REASON_TARGET_REFUSED] = "shed",
	[JOB_REASON_UNREACHABLE] = "unreachable",
	[JOB_REASON_CONNECTION_LOST] = "broken",
	[JOB_REASON_INVALID_ANSWER] = "invalid_answer",
	[JOB_REASON_UNSEALED] = "unsealed",
	[JOB_REASON_TIMEOUT] = "timeout",
};

void job_cancel(struct job *job)
{
	if (job->cancel)
		job->cancel(job);
	job->cancel = NULL;
}

const char *job_reason_text(enum job_reason reason)
{
	return reason_texts[reason];
}

enum job_reason job_reason_parse(const char *text)
{
	for (int i = 0; i < JOB_REASONS; i++)
		if (!strcmp(reason_texts[i], text))
			return (enum job_reason)i;
	return JOB_REASON_CONNECTION_LOST;
}

enum job_reason job_reason_of_error(int err)
{
	switch (err) {
	case -ETIMEDOUT:
		return JOB_REASON_TIMEOUT;
	case -EPROTO:
		return JOB_REASON_INVALID_ANSWER;
	default:
		return JOB_REASON_CONNECTION_LOST;
	}
}

static bool is_forwarded_field(const char *name)
{
	switch (platform_field_find(name)) {
	case PLATFORM_FIELD_TIME_LEFT_MS:
	case PLATFORM_FIELD_CALLER_KEY:
	case PLATFORM_FIELD_ACCOUNT:
	case PLATFORM_FIELD_CALLER_SERVICE:
	case PLATFORM_FIELD_TARGET_ID:
		return false;
	default:
		return !http_field_is_hop_by_hop(name) && strcasecmp(name, PEER_JOB_FIELD) != 0;
	}
}

/*
 * Tests whether a comma-separated list contains a name. Fields that the sender lists in Connection
 * are hop-by-hop and not forwarded.
 */
static bool list_contains(const char *list, const char *name)
{
	size_t len = strlen(name);

	while (list && *list) {
		size_t n = strcspn(list, ", ");

		if (n == len && !strncasecmp(list, name, n))
			return true;
		list += n;
		list += strspn(list, ", ");
	}
	return false;
}

void job_write_head(struct buf *b, const struct http_msg *m)
{
	const char *connection = http_msg_find_field(m, "connection");

	buf_printf(b, "%s %s HTTP/1.1\r\n", http_method_name(m->method), http_msg_target(m));
	for (uint32_t i = 0; i < m->n_fields; i++) {
		const char *name = http_msg_field_name(m, i);

		if (is_forwarded_field(name) && !list_contains(connection, name))
			buf_printf(b, "%s: %s\r\n", name, http_msg_field_value(m, i));
	}
	if (m->body.len || http_msg_find_field(m, "content-length") ||
	    http_msg_find_field(m, "transfer-encoding"))
		buf_printf(b, "Content-Length: %zu\r\n", m->body.len);
}
