/**
 * @file retry_budget.h
 * Limits the retries to a service: a ratio of its requests plus a fixed number per window, which is
 * divided equally among the nodes. 40% of the limit is used; see retry_budget.c for the reason. Not
 * thread-safe.
 */
#ifndef BRIARREEL_RETRY_BUDGET_H
#define BRIARREEL_RETRY_BUDGET_H

#include "briarreel/types.h"

struct br_retry_budget_cfg {
	/** Maximum number of retries per request, of which 40% is used. */
	double ratio;
	/** Maximum number of additional retries per window and all nodes, of which 40% is used. */
	double extra;
	/** Must not be 0. */
	uint64_t window_us;
};

/** Budget of one service. Must be zeroed before use. */
struct br_retry_budget {
	double tokens;
	uint64_t refilled_us;
};

/** Records a request to the service, which adds its part of the ratio to the budget. */
void br_retry_budget_add_request(struct br_retry_budget *b, const struct br_retry_budget_cfg *cfg,
				 uint32_t n_nodes, uint64_t now_us);

/** Takes one retry from the budget. Returns false if the budget is used up. */
bool br_retry_budget_take(struct br_retry_budget *b, const struct br_retry_budget_cfg *cfg,
			  uint32_t n_nodes, uint64_t now_us);

#endif
