#include "briarreel/membership.h"
#include "lib/membership_internal.h"

#include <stdlib.h>
#include <string.h>

/* Members with a target of one service. */
struct service_group {
	const char *service;
	const struct br_member **first;
	size_t n;
};

struct br_members_view {
	atomic_uint refs;
	struct member_ref **member_refs;
	/* Sorted by id. */
	const struct br_member **all;
	size_t n;
	/* Sorted by service and id. */
	const struct br_member **targets;
	size_t n_targets;
	struct service_group *groups;
	size_t n_groups;
};

static int compare_targets(const void *a, const void *b)
{
	const struct br_member *x = *(const struct br_member *const *)a;
	const struct br_member *y = *(const struct br_member *const *)b;
	int order = strcmp(x->service, y->service);

	return order ? order : strcmp(x->id.text, y->id.text);
}

static bool is_routable(const struct br_member *member)
{
	return member->state == BR_MEMBER_ALIVE && member->target_present && member->service[0];
}

static void fill_members(struct br_members_view *v, const struct br_members *m)
{
	for (size_t i = 0; i < m->n; i++) {
		struct member_ref *ref = m->all[i]->ref;

		atomic_fetch_add_explicit(&ref->refs, 1, memory_order_relaxed);
		v->member_refs[i] = ref;
		v->all[i] = &ref->entry;
		if (is_routable(&ref->entry))
			v->targets[v->n_targets++] = &ref->entry;
	}
	v->n = m->n;
}

static void group_targets(struct br_members_view *v)
{
	struct service_group *group = NULL;

	qsort(v->targets, v->n_targets, sizeof(struct br_member *), compare_targets);
	for (size_t i = 0; i < v->n_targets; i++) {
		const char *service = v->targets[i]->service;

		if (!group || strcmp(group->service, service) != 0) {
			group = &v->groups[v->n_groups++];
			group->service = service;
			group->first = &v->targets[i];
		}
		group->n++;
	}
}

static struct br_members_view *build_view(const struct br_members *m)
{
	struct br_members_view *v = calloc(1, sizeof(*v));

	if (!v)
		return NULL;
	atomic_init(&v->refs, 1);
	v->member_refs = malloc(m->n * sizeof(struct member_ref *));
	v->all = malloc(m->n * sizeof(struct br_member *));
	v->targets = malloc(m->n * sizeof(struct br_member *));
	v->groups = calloc(m->n, sizeof(*v->groups));
	if (!v->member_refs || !v->all || !v->targets || !v->groups) {
		br_members_view_put(v);
		return NULL;
	}
	fill_members(v, m);
	group_targets(v);
	return v;
}

struct br_members_view *br_members_view(struct br_members *m)
{
	if (m->view_stale || !m->view) {
		struct br_members_view *view = build_view(m);

		if (!view)
			return NULL;
		br_members_view_put(m->view);
		m->view = view;
		m->view_stale = false;
	}
	return br_members_view_get(m->view);
}

struct br_members_view *br_members_view_get(struct br_members_view *view)
{
	atomic_fetch_add_explicit(&view->refs, 1, memory_order_relaxed);
	return view;
}

void br_members_view_put(struct br_members_view *view)
{
	if (!view || atomic_fetch_sub_explicit(&view->refs, 1, memory_order_acq_rel) != 1)
		return;
	for (size_t i = 0; i < view->n; i++)
		member_ref_put(view->member_refs[i]);
	free(view->member_refs);
	free(view->all);
	free(view->targets);
	free(view->groups);
	free(view);
}

const struct br_member *const *br_members_view_all(const struct br_members_view *view, size_t *n)
{
	*n = view->n;
	return view->all;
}

const struct br_member *br_members_view_find(const struct br_members_view *view,
					     const struct br_node_id *id)
{
	size_t low = 0;
	size_t high = view->n;

	while (low < high) {
		size_t mid = low + (high - low) / 2;
		int order = strcmp(id->text, view->all[mid]->id.text);

		if (!order)
			return view->all[mid];
		if (order < 0)
			high = mid;
		else
			low = mid + 1;
	}
	return NULL;
}

const struct br_member *const *br_members_view_targets(const struct br_members_view *view,
						       const char *service, size_t *n)
{
	size_t low = 0;
	size_t high = view->n_groups;

	while (low < high) {
		size_t mid = low + (high - low) / 2;
		const struct service_group *group = &view->groups[mid];
		int order = strcmp(service, group->service);

		if (!order) {
			*n = group->n;
			return group->first;
		}
		if (order < 0)
			high = mid;
		else
			low = mid + 1;
	}
	*n = 0;
	return NULL;
}
