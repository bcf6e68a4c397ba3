#include "briarreel/relay.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define NODES 300
#define ZONES 6

static char names[NODES][16], zones[ZONES][4];
static struct br_relay_node nodes[NODES];

static void create_nodes(void)
{
	for (int z = 0; z < ZONES; z++)
		snprintf(zones[z], sizeof(zones[z]), "z%d", z);
	for (int i = 0; i < NODES; i++) {
		snprintf(names[i], sizeof(names[i]), "n%03d", (i * 37) % NODES);
		nodes[i] = (struct br_relay_node){
			.name = names[i], .zone = zones[i % ZONES], .preferred = i % 10 != 0};
	}
	br_relay_sort(nodes, NODES);
}

/* One copy a zone crosses to it, a node sends few copies, and the way of each copy is short. */
Test(relay, copies_do_not_grow_with_the_fleet)
{
	int from_source = 0, children[NODES] = {0};

	create_nodes();
	for (size_t i = 0; i < NODES; i++) {
		long at = (long)i;
		int hops = 0;

		if (br_relay_parent(nodes, i) < 0)
			from_source++;
		else
			children[br_relay_parent(nodes, i)]++;
		for (; br_relay_parent(nodes, (size_t)at) >= 0; hops++) {
			long parent = br_relay_parent(nodes, (size_t)at);

			cr_assert_lt(parent, at);
			cr_assert_str_eq(nodes[parent].zone, nodes[at].zone);
			at = parent;
		}
		cr_assert_leq(hops, 3);
	}
	cr_assert_eq(from_source, ZONES);
	for (int i = 0; i < NODES; i++)
		cr_assert_leq(children[i], BR_RELAY_FANOUT);
}

/* A node that is about to stop passes nothing on while there are others. */
Test(relay, others_are_preferred_as_sources)
{
	create_nodes();
	for (size_t i = 0; i < NODES; i++) {
		long parent = br_relay_parent(nodes, i);

		cr_assert(parent < 0 || nodes[parent].preferred, "%s", nodes[i].name);
	}
}

Test(relay, single_node)
{
	struct br_relay_node node = {.name = "n", .zone = "z"};

	br_relay_sort(&node, 1);
	cr_assert_eq(br_relay_parent(&node, 0), -1);
}
