#include "lib/claim.h"

#include "lib/escape.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct claim *claim_create(const struct br_claim_key *key, const struct br_claim_location *where)
{
	size_t account = strlen(key->account) + 1;
	size_t id = strlen(key->id) + 1;
	size_t entry = strlen(where->attempt.entry.text) + 1;
	size_t node = strlen(where->node.text) + 1;
	struct claim *c;

	if (account > BR_NAME_BYTES || id > BR_REQUEST_ID_BYTES)
		return NULL;
	c = calloc(1, sizeof(*c) + account + id + entry + node);
	if (!c)
		return NULL;
	c->entry_incarnation = where->attempt.incarnation;
	c->counter = where->attempt.counter;
	c->target_incarnation = where->incarnation;
	c->id_offset = (uint8_t)account;
	c->entry_offset = (uint8_t)(account + id);
	c->node_offset = (uint16_t)(account + id + entry);
	memcpy(c->text, key->account, account);
	memcpy(c->text + c->id_offset, key->id, id);
	memcpy(c->text + c->entry_offset, where->attempt.entry.text, entry);
	memcpy(c->text + c->node_offset, where->node.text, node);
	return c;
}

const char *claim_account(const struct claim *c)
{
	return c->text;
}

const char *claim_id(const struct claim *c)
{
	return c->text + c->id_offset;
}

bool claim_from_process(const struct claim *c, const struct br_attempt_id *attempt)
{
	return c->entry_incarnation == attempt->incarnation &&
	       !strcmp(c->text + c->entry_offset, attempt->entry.text);
}

bool claim_held_by(const struct claim *c, const struct br_attempt_id *attempt)
{
	return c->counter == attempt->counter && claim_from_process(c, attempt);
}

void claim_location(const struct claim *c, struct br_claim_location *out)
{
	*out = (struct br_claim_location){.incarnation = c->target_incarnation};
	out->attempt.incarnation = c->entry_incarnation;
	out->attempt.counter = c->counter;
	br_copy_text(out->attempt.entry.text, sizeof(out->attempt.entry.text),
		     c->text + c->entry_offset);
	br_copy_text(out->node.text, sizeof(out->node.text), c->text + c->node_offset);
}

void br_claim_record_format(const struct br_claim_record *rec, char *out)
{
	char attempt[BR_ATTEMPT_ID_BYTES];
	const char *node = rec->location.node.text[0] ? rec->location.node.text : "-";

	br_attempt_id_format(&rec->location.attempt, attempt);
	out = br_escape(out, rec->account);
	*out++ = ' ';
	out = br_escape(out, rec->id);
	sprintf(out, " %s %s %" PRIu64 " %d %" PRIu64, attempt, node, rec->location.incarnation,
		rec->released, rec->remaining_us);
}

int br_claim_record_parse(const char *line, struct br_claim_record *rec)
{
	char account[3 * BR_NAME_BYTES];
	char id[3 * BR_REQUEST_ID_BYTES];
	char attempt[BR_ATTEMPT_ID_BYTES];
	char node[BR_NODE_ID_BYTES];
	int released;
	int end = 0;

	*rec = (struct br_claim_record){0};
	if (strlen(line) >= BR_CLAIM_LINE_BYTES ||
	    sscanf(line, "%191s %239s %89s %47s %" SCNu64 " %d %" SCNu64 "%n", account, id, attempt,
		   node, &rec->location.incarnation, &released, &rec->remaining_us, &end) != 7 ||
	    line[end])
		return -EINVAL;
	if (!br_unescape(rec->account, sizeof(rec->account), account) ||
	    !br_unescape(rec->id, sizeof(rec->id), id) ||
	    br_attempt_id_parse(attempt, &rec->location.attempt))
		return -EINVAL;
	if (strcmp(node, "-") != 0)
		br_copy_text(rec->location.node.text, sizeof(rec->location.node.text), node);
	rec->released = released != 0;
	return 0;
}
