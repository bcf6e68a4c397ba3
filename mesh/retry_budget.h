/**
 * @file retry_budget.h
 * Limits the retries of requests to each service to a fraction of these requests. Each node may
 * spend an equal share of a service's budget.
 */
#ifndef MESH_RETRY_BUDGET_H
#define MESH_RETRY_BUDGET_H

#include "mesh/board.h"

/** Adds a request to the budget of the service to which it is sent. */
void retry_budget_add_request(const struct board *b, const char *service);

/** Takes one retry from a service's budget. Returns false if the budget is exhausted. */
bool retry_budget_take(const struct board *b, const char *service);

#endif
