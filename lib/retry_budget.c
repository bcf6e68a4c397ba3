#include "briarreel/retry_budget.h"

/*
 * Fraction of the allowed retries that is used. The rest is a margin, because a window can also use
 * tokens saved in the previous one, and because the calls made by a retried request count as
 * retries to the called services.
 */
#define USED_FRACTION 0.4

static double extra_per_node(const struct br_retry_budget_cfg *cfg, uint32_t n_nodes)
{
	return cfg->extra / (n_nodes ? n_nodes : 1);
}

static void refill(struct br_retry_budget *b, const struct br_retry_budget_cfg *cfg,
		   uint32_t n_nodes, uint64_t now_us)
{
	double extra = extra_per_node(cfg, n_nodes);
	/*
	 * All saved tokens, also those earned by requests, are limited to one window's extra of
	 * this node, so that no window gets it twice, but at least to 1.
	 */
	double cap = extra > 1 ? extra : 1;

	if (!b->refilled_us) {
		b->refilled_us = now_us;
		b->tokens = cap * USED_FRACTION;
	}
	if (now_us > b->refilled_us) {
		b->tokens += USED_FRACTION * extra * (double)(now_us - b->refilled_us) /
			     (double)cfg->window_us;
		b->refilled_us = now_us;
	}
	if (b->tokens > cap)
		b->tokens = cap;
}

void br_retry_budget_add_request(struct br_retry_budget *b, const struct br_retry_budget_cfg *cfg,
				 uint32_t n_nodes, uint64_t now_us)
{
	b->tokens += USED_FRACTION * cfg->ratio;
	refill(b, cfg, n_nodes, now_us);
}

bool br_retry_budget_take(struct br_retry_budget *b, const struct br_retry_budget_cfg *cfg,
			  uint32_t n_nodes, uint64_t now_us)
{
	refill(b, cfg, n_nodes, now_us);
	if (b->tokens < 1)
		return false;
	b->tokens -= 1;
	return true;
}
