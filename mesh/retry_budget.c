#include "mesh/retry_budget.h"

#include "briarreel/retry_budget.h"
#include "common/clock.h"
#include "mesh/members.h"

#define SERVICES_MAX 512

/*
 * Hash table of budgets by the service's name: the indexes of services change with the
 * configuration.
 */
static struct budget_row {
	uint64_t key;
	struct br_retry_budget budget;
} rows[SERVICES_MAX];

static struct br_retry_budget_cfg budget_cfg(const struct board *b)
{
	return (struct br_retry_budget_cfg){.ratio = b->settings->budget_ratio,
					    .extra = b->settings->budget_slack,
					    .window_us = b->settings->budget_window_ms * 1000};
}

static uint32_t n_nodes(const struct board *b)
{
	return (uint32_t)members_count(b->members);
}

static struct br_retry_budget *find_budget(const char *service)
{
	uint64_t key = br_hash_str(service, 0) | 1;
	size_t index = key % SERVICES_MAX;

	/*
	 * In a full table, services share rows. A shared row allows no more retries than its
	 * services would have together.
	 */
	for (size_t i = 0; i < SERVICES_MAX && rows[index].key && rows[index].key != key; i++)
		index = (index + 1) % SERVICES_MAX;
	if (!rows[index].key)
		rows[index].key = key;
	return &rows[index].budget;
}

void retry_budget_add_request(const struct board *b, const char *service)
{
	struct br_retry_budget_cfg cfg = budget_cfg(b);

	br_retry_budget_add_request(find_budget(service), &cfg, n_nodes(b), clock_now_us());
}

bool retry_budget_take(const struct board *b, const char *service)
{
	struct br_retry_budget_cfg cfg = budget_cfg(b);

	return br_retry_budget_take(find_budget(service), &cfg, n_nodes(b), clock_now_us());
}
