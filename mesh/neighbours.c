#include "mesh/neighbours.h"

#include <stdlib.h>
#include <string.h>

struct ranked {
	struct member *member;
	uint64_t rank;
};

static int compare_ranked(const void *a, const void *b)
{
	const struct ranked *x = a, *y = b;
	bool x_missing = x->member->missing_us, y_missing = y->member->missing_us;

	if (x_missing != y_missing)
		return x_missing ? 1 : -1;
	return x->rank < y->rank ? -1 : x->rank > y->rank;
}

static bool is_neighbour(const struct member *m)
{
	/* The node of a VM whose name another one has taken over has no name. */
	return !m->self && *m->node;
}

size_t neighbours_count(const struct board *board)
{
	size_t n = 0;

	for (size_t i = 0; i < members_count(board->members); i++)
		n += is_neighbour(members_at(board->members, i));
	return n;
}

size_t neighbours_list(const struct board *board, struct member **out, size_t max)
{
	uint64_t seed = br_hash_str(board->settings->node, 0);
	size_t n_members = members_count(board->members), n = 0;
	struct ranked *ranked = xcalloc(n_members + 1, sizeof(*ranked));

	for (size_t i = 0; i < n_members; i++) {
		struct member *m = members_at(board->members, i);

		if (is_neighbour(m))
			ranked[n++] = (struct ranked){m, br_hash_str(m->node, seed)};
	}
	qsort(ranked, n, sizeof(*ranked), compare_ranked);
	if (n > max)
		n = max;
	for (size_t i = 0; i < n; i++)
		out[i] = ranked[i].member;
	free(ranked);
	return n;
}
