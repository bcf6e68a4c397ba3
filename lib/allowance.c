#include "briarreel/allowance.h"

static void check_invariant(const struct br_allowance *a)
{
	BR_INVARIANT(a->remaining + a->delegated + a->spent == a->limit);
}

void br_allowance_init(struct br_allowance *a, uint32_t limit)
{
	*a = (struct br_allowance){.limit = limit, .remaining = limit};
}

bool br_allowance_spend(struct br_allowance *a)
{
	check_invariant(a);
	if (a->closed || !a->remaining)
		return false;
	a->remaining--;
	a->spent++;
	return true;
}

uint32_t br_allowance_delegate(struct br_allowance *a)
{
	uint32_t delegated = a->remaining / 2 + a->remaining % 2;

	check_invariant(a);
	if (a->closed)
		return 0;
	a->remaining -= delegated;
	a->delegated += delegated;
	return delegated;
}

void br_allowance_return(struct br_allowance *a, uint32_t delegated, uint32_t unused)
{
	if (a->closed)
		return;
	BR_INVARIANT(delegated <= a->delegated);
	/* The value comes from another process, so it may exceed the delegated amount. */
	if (unused > delegated)
		unused = delegated;
	a->delegated -= delegated;
	a->remaining += unused;
	a->spent += delegated - unused;
	check_invariant(a);
}

void br_allowance_mark_lost(struct br_allowance *a, uint32_t delegated)
{
	br_allowance_return(a, delegated, 0);
}

uint32_t br_allowance_close(struct br_allowance *a)
{
	uint32_t unused = a->remaining;

	if (a->closed)
		return 0;
	a->closed = true;
	a->spent += a->delegated;
	a->delegated = 0;
	a->remaining = 0;
	a->limit -= unused;
	check_invariant(a);
	return unused;
}
