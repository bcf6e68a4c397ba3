#include "briarreel/allowance.h"

static void check(const struct br_allowance *a)
{
	BR_INVARIANT(a->left + a->lent + a->spent == a->limit);
}

void br_allowance_init(struct br_allowance *a, uint32_t limit)
{
	*a = (struct br_allowance){.limit = limit, .left = limit};
}

bool br_allowance_spend(struct br_allowance *a)
{
	check(a);
	if (a->closed || !a->left)
		return false;
	a->left--;
	a->spent++;
	return true;
}

uint32_t br_allowance_lend(struct br_allowance *a)
{
	uint32_t loan = a->left / 2 + a->left % 2;

	check(a);
	if (a->closed)
		return 0;
	a->left -= loan;
	a->lent += loan;
	return loan;
}

void br_allowance_return(struct br_allowance *a, uint32_t loan, uint32_t unused)
{
	if (a->closed)
		return;
	BR_INVARIANT(loan <= a->lent);
	/* The figure comes from another process, so it may exceed the loan. */
	if (unused > loan)
		unused = loan;
	a->lent -= loan;
	a->left += unused;
	a->spent += loan - unused;
	check(a);
}

void br_allowance_lose(struct br_allowance *a, uint32_t loan)
{
	br_allowance_return(a, loan, 0);
}

uint32_t br_allowance_close(struct br_allowance *a)
{
	uint32_t unused = a->left;

	if (a->closed)
		return 0;
	a->closed = true;
	a->spent += a->lent;
	a->lent = 0;
	a->left = 0;
	a->limit -= unused;
	check(a);
	return unused;
}
