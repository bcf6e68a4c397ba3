/**
 * @file agent.h
 * The agent role: two nodes of each zone watch the configuration on the platform for all nodes.
 * Control thread only.
 */
#ifndef NODE_AGENT_H
#define NODE_AGENT_H

#include <stdint.h>

struct agent;
struct control;

/** Returns NULL if out of memory. ctl must outlive the agent. */
struct agent *agent_create(struct control *ctl);
void agent_destroy(struct agent *a);

/** Acquires or renews the role, runs the watch and pings seeds and agents; call every 20 ms. */
void agent_tick(struct agent *a, uint64_t now_us);

/** Gives up the role permanently when the node leaves. */
void agent_resign(struct agent *a);

#endif
