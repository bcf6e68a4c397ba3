#include "briarreel/left_list.h"

#include <string.h>

static const struct br_left *find(const struct br_left_list *l, const char *id)
{
	for (uint32_t i = 0; i < l->n; i++)
		if (!strcmp(l->entries[i].id, id))
			return &l->entries[i];
	return NULL;
}

static void remove_at(struct br_left_list *l, uint32_t at)
{
	l->n--;
	memmove(&l->entries[at], &l->entries[at + 1], (l->n - at) * sizeof(l->entries[0]));
}

void br_left_add(struct br_left_list *l, const char *id, uint64_t started_until_ms)
{
	const struct br_left *known = find(l, id);

	if (known && known->started_until_ms >= started_until_ms) {
		if (known == &l->entries[l->n - 1])
			return;
		started_until_ms = known->started_until_ms;
	}
	if (known)
		remove_at(l, (uint32_t)(known - l->entries));
	else if (l->n == BR_LEFT_MAX)
		remove_at(l, 0);
	l->entries[l->n].started_until_ms = started_until_ms;
	br_copy_text(l->entries[l->n].id, sizeof(l->entries[0].id), id);
	l->n++;
	l->changes++;
}

void br_left_merge_earlier(struct br_left_list *l, const struct br_left_list *earlier)
{
	struct br_left_list merged = *earlier;

	for (uint32_t i = 0; i < l->n; i++)
		br_left_add(&merged, l->entries[i].id, l->entries[i].started_until_ms);
	merged.changes = l->changes;
	*l = merged;
}

bool br_left_add_missing(struct br_left_list *l, const struct br_left_list *other)
{
	uint32_t changes = l->changes;

	for (uint32_t i = 0; i < other->n; i++) {
		const struct br_left *known = find(l, other->entries[i].id);

		/* It would take the place of a later one. */
		if (!known && l->n == BR_LEFT_MAX &&
		    other->entries[i].started_until_ms <= l->entries[0].started_until_ms)
			continue;
		if (!known || known->started_until_ms < other->entries[i].started_until_ms)
			br_left_add(l, other->entries[i].id, other->entries[i].started_until_ms);
	}
	return l->changes != changes;
}

bool br_left_contains(const struct br_left_list *l, const char *id, uint64_t start_ms)
{
	const struct br_left *known = find(l, id);

	return known && start_ms && start_ms <= known->started_until_ms;
}

bool br_left_names(const struct br_left_list *l, const char *id)
{
	return find(l, id) != NULL;
}
