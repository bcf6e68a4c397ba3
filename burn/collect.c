#include "burn/collect.h"

#include "briarreel/burn.h"
#include "burn/counters.h"

#include <stdlib.h>
#include <string.h>

#define REQUESTS_METRIC "briarreel_requests_total"

/** Last value of one counter of one node; also marks a node that has been read. */
struct counter_entry {
	/** Hash of the node, or of node, account, service and outcome. */
	uint64_t hash;
	uint64_t value;
	bool used;
};

struct collector {
	struct br_burn *burn;
	/** Hash table with linear probing. */
	struct counter_entry *table;
	/** Table size minus 1; the size is a power of two. */
	uint64_t mask;
	/** Number of used entries and its limit. */
	uint32_t n;
	uint32_t max;
};

/** State while the counters of one node are read. */
struct node_reading {
	struct collector *c;
	const char *node;
	bool count_first;
	/** The node has been read before. */
	bool node_known;
	uint64_t now_us;
	uint32_t skipped;
};

struct collector *collector_create(struct br_burn *burn, uint32_t max_counters)
{
	struct collector *c = calloc(1, sizeof(*c));
	uint64_t size = 16;

	while (size < 2ULL * max_counters)
		size *= 2;
	if (c)
		c->table = calloc(size, sizeof(struct counter_entry));
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

/* Returns the entry identified by parts, used being false if it is new; NULL if at the limit. */
static struct counter_entry *find_entry(struct collector *c, const char *const *parts,
					size_t n_parts)
{
	uint64_t hash = 0;
	uint64_t i;

	/* The hash alone identifies a counter: a collision among 100,000 has probability 3e-10. */
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

static void add_increase(struct node_reading *r, const struct counter_line *line, uint64_t increase)
{
	struct br_burn_series series = {.account = counter_label(line, "account"),
					.service = counter_label(line, "service")};
	const char *outcome = counter_label(line, "outcome");
	uint64_t good = 0;
	uint64_t bad = 0;

	if (!strcmp(outcome, "answered"))
		good = increase;
	else if (!strcmp(outcome, "failed") || !strcmp(outcome, "shed") ||
		 !strcmp(outcome, "unknown"))
		bad = increase;
	else if (strcmp(outcome, "rate_limited") != 0)
		r->skipped++;
	/* Requests refused because they exceed the account's rate are neither good nor bad. */
	if ((good || bad) && br_burn_add(r->c->burn, &series, good, bad, r->now_us))
		r->skipped++;
}

static void add_line(const struct counter_line *line, void *arg)
{
	struct node_reading *r = arg;
	const char *parts[] = {r->node, counter_label(line, "account"),
			       counter_label(line, "service"), counter_label(line, "outcome")};
	struct counter_entry *entry;
	uint64_t increase;

	if (strcmp(line->name, REQUESTS_METRIC) != 0)
		return;
	entry = find_entry(r->c, parts, 4);
	if (!entry) {
		r->skipped++;
		return;
	}
	if (entry->used) {
		increase = line->value >= entry->value ? line->value - entry->value : line->value;
	} else {
		/* A new counter of a known node has started at 0 since the previous reading. */
		increase = r->node_known || r->count_first ? line->value : 0;
		entry->used = true;
		r->c->n++;
	}
	entry->value = line->value;
	add_increase(r, line, increase);
}

uint32_t collector_add(struct collector *c, const char *node, const char *text, bool count_first,
		       uint64_t now_us)
{
	struct node_reading r = {
		.c = c, .node = node, .count_first = count_first, .now_us = now_us};
	struct counter_entry *node_entry = find_entry(c, &node, 1);
	size_t malformed;

	if (!node_entry)
		return 1;
	r.node_known = node_entry->used;
	if (!node_entry->used) {
		node_entry->used = true;
		c->n++;
	}
	malformed = counters_parse(text, add_line, &r);
	return r.skipped + (uint32_t)malformed;
}
