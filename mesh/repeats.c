#include "mesh/repeats.h"

#include "briarreel/retry_budget.h"
#include "common/clock.h"
#include "mesh/members.h"

#define SERVICES_MAX 512

/* By the hash of the service's name, since indexes change with the configuration. */
static struct row {
	uint64_t key;
	struct br_retry_budget budget;
} rows[SERVICES_MAX];

static struct br_retry_budget_cfg config_of(const struct board *b)
{
	return (struct br_retry_budget_cfg){.ratio = b->settings->budget_ratio,
					    .extra = b->settings->budget_extra,
					    .window_us = b->settings->budget_window_ms * 1000};
}

static uint32_t n_nodes(const struct board *b)
{
	return (uint32_t)members_count(b->members);
}

static struct br_retry_budget *budget_of(const char *service)
{
	uint64_t key = br_hash_str(service, 0) | 1;
	size_t at = key % SERVICES_MAX;

	/* A table that is full shares rows, which allows no more than the rows' services together. */
	for (size_t i = 0; i < SERVICES_MAX && rows[at].key && rows[at].key != key; i++)
		at = (at + 1) % SERVICES_MAX;
	if (!rows[at].key)
		rows[at].key = key;
	return &rows[at].budget;
}

void repeats_note_request(const struct board *b, const char *service)
{
	struct br_retry_budget_cfg cfg = config_of(b);

	br_retry_budget_request(budget_of(service), &cfg, n_nodes(b), clock_now_us());
}

bool repeats_take(const struct board *b, const char *service)
{
	struct br_retry_budget_cfg cfg = config_of(b);

	return br_retry_budget_take(budget_of(service), &cfg, n_nodes(b), clock_now_us());
}
