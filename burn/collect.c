#include "burn/collect.h"

#include "briarreel/burn.h"
#include "burn/counters.h"

#include <stdlib.h>
#include <string.h>

#define REQUESTS "briarreel_requests_total"

/** Last value of one counter of one node. */
struct last {
	uint64_t hash;
	uint64_t value;
	bool used;
};

struct collector {
	struct br_burn *burn;
	struct last *table;
	uint64_t mask;
	uint32_t n;
	uint32_t max;
};

/** A reading in progress. */
struct reading {
	struct collector *c;
	const char *node;
	bool count_first;
	bool known;
	uint64_t now_us;
	uint32_t left_out;
};

struct collector *collector_create(struct br_burn *burn, uint32_t max_counters)
{
	struct collector *c = calloc(1, sizeof(*c));
	uint64_t size = 16;

	while (size < 2ULL * max_counters)
		size *= 2;
	if (c)
		c->table = calloc(size, sizeof(struct last));
	if (!c || !c->table) {
		free(c);
		return NULL;
	}
	c->burn = burn;
	c->mask = size - 1;
	c->max = max_counters;
	return c;
}

void collector_destroy(struct collector *c)
{
	if (!c)
		return;
	free(c->table);
	free(c);
}

/* Entry of a counter, new ones with used = false; NULL if there is no room. */
static struct last *find_last(struct collector *c, const char *const *parts, size_t n_parts)
{
	uint64_t hash = 0;
	uint64_t i;

	/* 64 bits identify a counter: a collision among 100,000 has a chance of 3e-10. */
	for (size_t p = 0; p < n_parts; p++)
		hash = br_hash_str(parts[p], hash + 1);
	for (i = hash & c->mask; c->table[i].used; i = (i + 1) & c->mask)
		if (c->table[i].hash == hash)
			return &c->table[i];
	if (c->n == c->max)
		return NULL;
	c->table[i].hash = hash;
	return &c->table[i];
}

static void add_growth(struct reading *r, const struct counter_line *line, uint64_t growth)
{
	struct br_burn_series series = {.account = counter_label(line, "account"),
					.service = counter_label(line, "service")};
	const char *outcome = counter_label(line, "outcome");
	uint64_t good = 0;
	uint64_t bad = 0;

	if (!strcmp(outcome, "answered"))
		good = growth;
	else if (!strcmp(outcome, "failed") || !strcmp(outcome, "shed") ||
		 !strcmp(outcome, "unknown"))
		bad = growth;
	else if (strcmp(outcome, "rate_limited") != 0)
		r->left_out++;
	/* Requests over an account's rate were refused as agreed and count neither way. */
	if ((good || bad) && br_burn_add(r->c->burn, &series, good, bad, r->now_us))
		r->left_out++;
}

static void add_line(const struct counter_line *line, void *arg)
{
	struct reading *r = arg;
	const char *parts[] = {r->node, counter_label(line, "account"),
			       counter_label(line, "service"), counter_label(line, "outcome")};
	struct last *last;
	uint64_t growth;

	if (strcmp(line->name, REQUESTS) != 0)
		return;
	last = find_last(r->c, parts, 4);
	if (!last) {
		r->left_out++;
		return;
	}
	if (last->used) {
		growth = line->value >= last->value ? line->value - last->value : line->value;
	} else {
		/* A counter that appears on a known node began at 0 since the last reading. */
		growth = r->known || r->count_first ? line->value : 0;
		last->used = true;
		r->c->n++;
	}
	last->value = line->value;
	add_growth(r, line, growth);
}

uint32_t collector_add(struct collector *c, const char *node, const char *text, bool count_first,
		       uint64_t now_us)
{
	struct reading r = {.c = c, .node = node, .count_first = count_first, .now_us = now_us};
	struct last *seen = find_last(c, &node, 1);
	size_t malformed;

	if (!seen)
		return 1;
	r.known = seen->used;
	if (!seen->used) {
		seen->used = true;
		c->n++;
	}
	malformed = counters_parse(text, add_line, &r);
	return r.left_out + (uint32_t)malformed;
}
