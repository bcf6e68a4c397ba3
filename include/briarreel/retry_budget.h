/**
 * @file retry_budget.h
 * Bounds the repeats of a service's requests: a part of the requests plus a fixed number a window,
 * of which a node uses its equal part.
 */
#ifndef BRIARREEL_RETRY_BUDGET_H
#define BRIARREEL_RETRY_BUDGET_H

#include "briarreel/types.h"

struct br_retry_budget_cfg {
	/** Repeats allowed for each request. */
	double ratio;
	/** Repeats allowed in a window besides, over all nodes. */
	double extra;
	uint64_t window_us;
};

/** State of one service; zero it before use. */
struct br_retry_budget {
	double tokens;
	uint64_t filled_us;
};

/** Notes a request of the service. */
void br_retry_budget_request(struct br_retry_budget *b, const struct br_retry_budget_cfg *cfg,
			     uint32_t n_nodes, uint64_t now_us);

/** Takes one repeat if the budget allows it. */
bool br_retry_budget_take(struct br_retry_budget *b, const struct br_retry_budget_cfg *cfg,
			  uint32_t n_nodes, uint64_t now_us);

#endif
