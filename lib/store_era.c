#include "briarreel/store_era.h"

#include <ctype.h>
#include <errno.h>
#include <stdlib.h>

int br_position_compare(const struct br_position *a, const struct br_position *b)
{
	if (a->era != b->era)
		return a->era < b->era ? -1 : 1;
	if (a->revision != b->revision)
		return a->revision < b->revision ? -1 : 1;
	return 0;
}

enum br_era_order br_store_era_observe(struct br_store_era *s, uint64_t era, uint64_t now_us)
{
	if (!s->known) {
		s->era = era;
		s->known = true;
		/* A store that tells no era never comes back from a copy. */
		s->changed_us = s->may_be_new && era ? now_us : 0;
		return BR_ERA_CURRENT;
	}
	if (era == s->era)
		return BR_ERA_CURRENT;
	if (era < s->era)
		return BR_ERA_OUTDATED;
	s->era = era;
	s->changed_us = now_us;
	return BR_ERA_CHANGED;
}

bool br_store_era_changed_within(const struct br_store_era *s, uint64_t within_us, uint64_t now_us)
{
	return s->changed_us && now_us - s->changed_us < within_us;
}

bool br_store_is_settled(const struct br_store_trust *t)
{
	return t->era_is_old || t->mark == BR_ERA_MARK_PRESENT;
}

static bool agrees_with_others(const struct br_store_trust *t)
{
	return t->others_asked && t->version >= t->told_version;
}

bool br_store_proves_config(const struct br_store_trust *t)
{
	return br_store_is_settled(t) || agrees_with_others(t);
}

bool br_store_proves_keys(const struct br_store_trust *t)
{
	if (br_store_is_settled(t))
		return true;
	/* Without any mark the system is new, and there is no history to be known. */
	return agrees_with_others(t) && (t->knows_history || t->mark == BR_ERA_MARK_NONE);
}

int br_store_era_parse(const char *text, uint64_t *era)
{
	char *end;

	*era = 0;
	if (!text)
		return 0;
	/* strtoull() also takes a sign and leading spaces. */
	if (!isdigit((unsigned char)*text))
		return -EINVAL;
	errno = 0;
	*era = strtoull(text, &end, 10);
	if (!errno && !*end)
		return 0;
	*era = 0;
	return -EINVAL;
}
