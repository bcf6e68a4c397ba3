/**
 * @file metrics.h
 * Metrics page: counters, gauges and latency histograms in the Prometheus text format.
 */
#ifndef MESH_METRICS_H
#define MESH_METRICS_H

#include "mesh/board.h"

/** Appends the page to out. */
void metrics_write(const struct board *b, struct buf *out);

#endif
