/**
 * @file repeats.h
 * Retry budgets of the services, of which this node spends its part.
 */
#ifndef MESH_REPEATS_H
#define MESH_REPEATS_H

#include "mesh/board.h"

/** Notes a request of a service. */
void repeats_note_request(const struct board *b, const char *service);

/** Takes one repeat of a service's request if the budget allows it. */
bool repeats_take(const struct board *b, const char *service);

#endif
