#include "admission_internal.h"

static void heap_set(struct br_admission *a, uint32_t pos, struct br_admission_entry *e)
{
	a->heap[pos] = e;
	e->heap_pos = pos;
}

static void heap_up(struct br_admission *a, uint32_t pos, struct br_admission_entry *e)
{
	while (pos > 0) {
		uint32_t parent = (pos - 1) / 2;

		if (a->heap[parent]->deadline_us <= e->deadline_us)
			break;
		heap_set(a, pos, a->heap[parent]);
		pos = parent;
	}
	heap_set(a, pos, e);
}

static void heap_down(struct br_admission *a, uint32_t n, uint32_t pos,
		      struct br_admission_entry *e)
{
	for (;;) {
		uint32_t child = 2 * pos + 1;

		if (child >= n)
			break;
		if (child + 1 < n && a->heap[child + 1]->deadline_us < a->heap[child]->deadline_us)
			child++;
		if (e->deadline_us <= a->heap[child]->deadline_us)
			break;
		heap_set(a, pos, a->heap[child]);
		pos = child;
	}
	heap_set(a, pos, e);
}

/* Removes the entry at pos; n is the number of entries that remain in the heap. */
static void heap_remove(struct br_admission *a, uint32_t n, uint32_t pos)
{
	struct br_admission_entry *last = a->heap[n];

	if (pos == n)
		return;
	if (pos > 0 && last->deadline_us < a->heap[(pos - 1) / 2]->deadline_us)
		heap_up(a, pos, last);
	else
		heap_down(a, n, pos, last);
}

/* Adds an account to the list of those with queued entries of priority p. */
static void activate(struct br_admission *a, struct br_admission_account *acct, uint8_t p)
{
	struct br_admission_account *first = a->active[p];

	acct->lists[p].prev = NULL;
	acct->lists[p].next = first;
	if (first)
		first->lists[p].prev = acct;
	a->active[p] = acct;
	a->n_active[p]++;
}

static void deactivate(struct br_admission *a, struct br_admission_account *acct, uint8_t p)
{
	struct br_admission_list *list = &acct->lists[p];

	if (list->prev)
		list->prev->lists[p].next = list->next;
	else
		a->active[p] = list->next;
	if (list->next)
		list->next->lists[p].prev = list->prev;
	list->prev = list->next = NULL;
	a->n_active[p]--;
}

void br_queue_push(struct br_admission *a, struct br_admission_entry *e)
{
	struct br_admission_list *list = &e->owner->lists[e->priority];

	BR_INVARIANT(a->queued < a->cfg.queue_max);
	if (!list->n++)
		activate(a, e->owner, e->priority);
	e->next = NULL;
	e->prev = list->newest;
	if (e->prev)
		e->prev->next = e;
	else
		list->oldest = e;
	list->newest = e;

	e->newer = NULL;
	e->older = a->newest;
	if (e->older)
		e->older->newer = e;
	else
		a->oldest = e;
	a->newest = e;

	heap_up(a, a->queued++, e);
	a->queued_of[e->priority]++;
	e->state = BR_ENTRY_QUEUED;
}

void br_queue_remove(struct br_admission *a, struct br_admission_entry *e)
{
	struct br_admission_list *list = &e->owner->lists[e->priority];

	BR_INVARIANT(e->state == BR_ENTRY_QUEUED && a->queued > 0 && a->heap[e->heap_pos] == e);
	*(e->prev ? &e->prev->next : &list->oldest) = e->next;
	*(e->next ? &e->next->prev : &list->newest) = e->prev;
	*(e->older ? &e->older->newer : &a->oldest) = e->newer;
	*(e->newer ? &e->newer->older : &a->newest) = e->older;
	if (!--list->n)
		deactivate(a, e->owner, e->priority);
	heap_remove(a, --a->queued, e->heap_pos);
	a->queued_of[e->priority]--;
	e->prev = e->next = e->older = e->newer = NULL;
}

bool br_queue_newest_first(const struct br_admission *a, int priority)
{
	if (a->cfg.order == BR_ORDER_ADAPTIVE)
		return a->overloaded &&
		       (uint32_t)priority >= br_admission_threshold(a) / BR_SUBLEVELS;
	return a->cfg.order == BR_ORDER_NEWEST;
}

struct br_admission_entry *br_queue_best(struct br_admission *a)
{
	struct br_admission_account *best = NULL;
	int p = 0;

	if (!a->queued)
		return NULL;
	while (!a->queued_of[p])
		p++;
	for (struct br_admission_account *it = a->active[p]; it; it = it->lists[p].next)
		if (!best || it->work_us < best->work_us)
			best = it;
	BR_INVARIANT(best);
	return br_queue_newest_first(a, p) ? best->lists[p].newest : best->lists[p].oldest;
}

struct br_admission_entry *br_queue_victim(struct br_admission *a,
					   const struct br_admission_entry *e)
{
	struct br_admission_account *largest = NULL;
	int p = BR_PRIORITIES - 1;

	while (p > 0 && !a->queued_of[p])
		p--;
	if (p < e->priority)
		return NULL;
	for (struct br_admission_account *it = a->active[p]; it; it = it->lists[p].next)
		if (!largest || it->lists[p].n > largest->lists[p].n)
			largest = it;
	if (!largest)
		return NULL;
	/* Within a priority, e's account must not end up with the most queued entries. */
	if (p == e->priority && largest->lists[p].n <= e->owner->lists[p].n + 1)
		return NULL;
	return largest->lists[p].newest;
}
