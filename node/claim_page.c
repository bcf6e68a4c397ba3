#include "node/claim_page.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define LAST_LINE_BYTES 8

void claim_page_begin(struct claim_page *p, char *text, size_t bytes,
		      const struct claim_page_head *head)
{
	int n;

	BR_INVARIANT(bytes >= CLAIM_PAGE_MIN_BYTES);
	n = snprintf(text, bytes, "slot %u %" PRIu64 " %" PRIu64 " %" PRIu64 "\n", head->slot,
		     head->from, head->state.refuse_remaining_us, head->state.takeover_wall_ms);
	*p = (struct claim_page){.text = text, .bytes = bytes, .len = (size_t)n};
}

bool claim_page_has_room(const struct claim_page *p)
{
	return p->len + BR_CLAIM_LINE_BYTES + LAST_LINE_BYTES <= p->bytes;
}

void claim_page_add(struct claim_page *p, const struct br_claim_record *rec)
{
	BR_INVARIANT(claim_page_has_room(p));
	br_claim_record_format(rec, p->text + p->len);
	p->len += strlen(p->text + p->len);
	p->text[p->len++] = '\n';
	p->text[p->len] = '\0';
}

void claim_page_end(struct claim_page *p, bool last)
{
	p->len += (size_t)snprintf(p->text + p->len, p->bytes - p->len, "%s\n",
				   last ? "end" : "more");
}

int claim_page_parse_head(const char *text, struct claim_page_head *head)
{
	int end = 0;

	*head = (struct claim_page_head){0};
	if (sscanf(text, "slot %u %" SCNu64 " %" SCNu64 " %" SCNu64 "%n", &head->slot, &head->from,
		   &head->state.refuse_remaining_us, &head->state.takeover_wall_ms, &end) != 4 ||
	    text[end] != '\n')
		return -EBADMSG;
	return 0;
}

/*
 * Copies the line at *text without its newline and advances *text past it. Returns false if there
 * is no complete line or it does not fit.
 */
static bool next_line(const char **text, char *line, size_t bytes)
{
	const char *end = strchr(*text, '\n');
	size_t len = end ? (size_t)(end - *text) : bytes;

	if (len >= bytes)
		return false;
	memcpy(line, *text, len);
	line[len] = '\0';
	*text = end + 1;
	return true;
}

int64_t claim_page_parse(const char *text, claim_page_fn fn, void *arg, bool *last)
{
	char line[BR_CLAIM_LINE_BYTES];
	struct br_claim_record rec;
	int64_t n = 0;
	int ret;

	if (!next_line(&text, line, sizeof(line)))
		return -EBADMSG;
	for (;; n++) {
		if (!next_line(&text, line, sizeof(line)))
			return -EBADMSG;
		*last = !strcmp(line, "end");
		if (*last || !strcmp(line, "more"))
			return *text ? -EBADMSG : n;
		if (br_claim_record_parse(line, &rec))
			return -EBADMSG;
		ret = fn(arg, &rec);
		if (ret)
			return ret;
	}
}
