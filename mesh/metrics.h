/**
 * @file metrics.h
 * The page of counters, gauges and latency histograms.
 */
#ifndef MESH_METRICS_H
#define MESH_METRICS_H

#include "mesh/board.h"

void metrics_write(const struct board *b, struct buf *out);

#endif
