/* The holders of claim slots in the test of request ids: takeovers, handovers and lapsed leases. */
#ifndef TESTS_RANDOM_ONCE_HOLDERS_H
#define TESTS_RANDOM_ONCE_HOLDERS_H

#include "tests/random/once_world.h"

/*
 * Schedules a takeover after the slot's key has expired with its platform lease. Until then no node
 * holds the slot.
 */
static void schedule_expired_takeover(struct world *w, uint32_t slot)
{
	push(w, (struct event){.kind = TAKEOVER, .slot = slot, .key_expired = true},
	     br_registrar_claim_cutoff_us(120 * S, 3600 * S) + random_below(w, 20 * S));
}

static void take_over(struct world *w, uint32_t slot, uint32_t n, bool clean)
{
	uint64_t wall_ms = WALL_START_MS + w->now_us / MS;

	w->holder_of[slot] = (int)n;
	br_registrar_takeover(w->nodes[HOLDER][n].registrar, slot, wall_ms, w->now_us, clean);
}

static void on_takeover(struct world *w, const struct event *ev)
{
	uint32_t n = (uint32_t)random_below(w, N_NODES);
	struct br_claim_slot none = {0};

	if (w->nodes[HOLDER][n].up && ev->key_expired) {
		br_registrar_import_slot(w->nodes[HOLDER][n].registrar, ev->slot, &none, w->now_us);
		take_over(w, ev->slot, n, true);
		w->stats.expired_keys++;
	} else if (w->nodes[HOLDER][n].up)
		take_over(w, ev->slot, n, false);
	else
		push(w, *ev, S);
}

/* The holder closes a slot and sends its claims to another holder. */
static void on_handover(struct world *w, const struct event *ev)
{
	struct event out = {.kind = IMPORT, .slot = ev->slot};
	struct br_claim_cursor cursor = {0};
	struct br_claim_record recs[3];
	int n = w->holder_of[ev->slot];
	struct br_registrar *r;
	size_t got;

	if (n < 0)
		return;
	r = w->nodes[HOLDER][n].registrar;
	out.export = calloc(1, sizeof(*out.export));
	BR_INVARIANT(out.export);
	out.export->complete = !chance(w, 10);
	out.node = (uint32_t)((size_t)n + 1 + random_below(w, N_NODES - 1)) % N_NODES;
	br_registrar_close(r, ev->slot);
	br_registrar_export_slot(r, ev->slot, w->now_us, &out.export->slot);
	while ((got = br_registrar_export(r, ev->slot, &cursor, recs, 3, w->now_us)))
		for (size_t i = 0; i < got; i++) {
			BR_INVARIANT(out.export->n < 64);
			br_claim_record_format(&recs[i], out.export->lines[out.export->n++]);
		}
	w->holder_of[ev->slot] = -1;
	push(w, out, random_below(w, 2 * S));
}

/* A holder cannot renew its lease: it stops accepting claims at once, and the key expires later. */
static void on_lapse(struct world *w, const struct event *ev)
{
	int n = w->holder_of[ev->slot];

	if (n < 0)
		return;
	br_registrar_drop(w->nodes[HOLDER][n].registrar, ev->slot);
	w->holder_of[ev->slot] = -1;
	schedule_expired_takeover(w, ev->slot);
}

static void on_import(struct world *w, const struct event *ev)
{
	struct br_registrar *r = w->nodes[HOLDER][ev->node].registrar;
	struct br_claim_record rec;
	size_t n = ev->export->n;

	if (!r) {
		push(w, (struct event){.kind = TAKEOVER, .slot = ev->slot}, TERM_US);
		free(ev->export);
		return;
	}
	br_registrar_import_slot(r, ev->slot, &ev->export->slot, w->now_us);
	for (size_t i = 0; i < n; i++) {
		/* Leaves a claim out; the new holder must not treat the table as complete. */
		if (!ev->export->complete && i == n / 2)
			continue;
		if (br_claim_record_parse(ev->export->lines[i], &rec))
			report_failure(w, "cannot parse the exported claim %s",
				       ev->export->lines[i]);
		br_registrar_import(r, ev->slot, &rec, 1, w->now_us);
	}
	take_over(w, ev->slot, ev->node, ev->export->complete);
	w->stats.handovers++;
	free(ev->export);
}

#endif
