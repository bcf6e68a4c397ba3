#include "briarreel/relay.h"

#include <stdlib.h>
#include <string.h>

static int compare(const void *a, const void *b)
{
	const struct br_relay_node *x = a, *y = b;
	int order = strcmp(x->zone, y->zone);

	if (order)
		return order;
	if (x->preferred != y->preferred)
		return x->preferred ? -1 : 1;
	return strcmp(x->name, y->name);
}

void br_relay_sort(struct br_relay_node *nodes, size_t n)
{
	qsort(nodes, n, sizeof(*nodes), compare);
}

long br_relay_parent(const struct br_relay_node *nodes, size_t i)
{
	size_t first = i;

	while (first && !strcmp(nodes[first - 1].zone, nodes[i].zone))
		first--;
	return first == i ? -1 : (long)(first + (i - first - 1) / BR_RELAY_FANOUT);
}
