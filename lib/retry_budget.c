#include "briarreel/retry_budget.h"

/*
 * Part of the allowed repeats that is used. A window may hold the tokens saved in the one before,
 * and calls made by a repeated run count as repeats of the services that are called.
 */
#define USED_PART 0.4

static double extra_of(const struct br_retry_budget_cfg *cfg, uint32_t n_nodes)
{
	return cfg->extra / (n_nodes ? n_nodes : 1);
}

static void fill(struct br_retry_budget *b, const struct br_retry_budget_cfg *cfg, uint32_t n_nodes,
		 uint64_t now_us)
{
	double extra = extra_of(cfg, n_nodes);
	/* What is saved stays below one window's extra, so that no window gets two. */
	double cap = extra > 1 ? extra : 1;

	if (!b->filled_us) {
		b->filled_us = now_us;
		b->tokens = cap * USED_PART;
	}
	if (now_us > b->filled_us) {
		b->tokens += USED_PART * extra * (double)(now_us - b->filled_us) /
			     (double)cfg->window_us;
		b->filled_us = now_us;
	}
	if (b->tokens > cap)
		b->tokens = cap;
}

void br_retry_budget_request(struct br_retry_budget *b, const struct br_retry_budget_cfg *cfg,
			     uint32_t n_nodes, uint64_t now_us)
{
	b->tokens += USED_PART * cfg->ratio;
	fill(b, cfg, n_nodes, now_us);
}

bool br_retry_budget_take(struct br_retry_budget *b, const struct br_retry_budget_cfg *cfg,
			  uint32_t n_nodes, uint64_t now_us)
{
	fill(b, cfg, n_nodes, now_us);
	if (b->tokens < 1)
		return false;
	b->tokens -= 1;
	return true;
}
