#include "mesh/relay.h"

#include "briarreel/relay.h"

#include <stdlib.h>
#include <string.h>

static bool is_at(const struct member *m, const struct sockaddr_in *addr)
{
	return !memcmp(&m->addr, addr, sizeof(*addr));
}

/* Returns the nodes but the keeper, sorted, to be freed by the caller. */
static struct br_relay_node *sorted_nodes(const struct board *board,
					  const struct sockaddr_in *keeper, size_t *n)
{
	size_t n_members = members_count(board->members);
	struct br_relay_node *nodes = xcalloc(n_members + 1, sizeof(*nodes));

	*n = 0;
	for (size_t i = 0; i < n_members; i++) {
		struct member *m = members_at(board->members, i);

		if (!*m->node || m->missing_us || is_at(m, keeper))
			continue;
		nodes[(*n)++] =
			(struct br_relay_node){.name = m->node,
					       .zone = m->zone,
					       .preferred = m->target.phase == TARGET_SERVING,
					       .data = m};
	}
	br_relay_sort(nodes, *n);
	return nodes;
}

static const struct member *parent_of(const struct br_relay_node *nodes, size_t i)
{
	long parent = br_relay_parent(nodes, i);

	return parent < 0 ? NULL : nodes[parent].data;
}

const struct member *relay_parent(const struct board *board, const struct sockaddr_in *keeper)
{
	const struct member *parent = NULL;
	size_t n;
	struct br_relay_node *nodes = sorted_nodes(board, keeper, &n);

	for (size_t i = 0; i < n; i++)
		if (((const struct member *)nodes[i].data)->self)
			parent = parent_of(nodes, i);
	free(nodes);
	return parent;
}

void relay_children(const struct board *board, const struct sockaddr_in *keeper,
		    void (*fn)(void *ctx, const struct member *m), void *ctx)
{
	size_t n;
	struct br_relay_node *nodes = sorted_nodes(board, keeper, &n);

	for (size_t i = 0; i < n; i++) {
		const struct member *m = nodes[i].data, *parent = parent_of(nodes, i);

		if (!m->self && (parent ? parent->self : board->is_keeper))
			fn(ctx, m);
	}
	free(nodes);
}
