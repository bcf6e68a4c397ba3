/**
 * @file gossip.h
 * Exchange of membership, slot holders and configuration with other nodes. Control thread only.
 */
#ifndef NODE_GOSSIP_H
#define NODE_GOSSIP_H

#include "briarreel/config.h"
#include "briarreel/membership.h"

struct control;
struct gossip;
struct wire_in;

/** Flag of a member that talks to the platform for its zone. */
#define GOSSIP_FLAG_AGENT 1U

struct gossip *gossip_create(struct control *ctl);
void gossip_destroy(struct gossip *g);

/** Runs probes and timeouts; call about every 20 ms. */
void gossip_tick(struct gossip *g, uint64_t now_us);

/** Handles a peer's message of a type that belongs to this module; false if it does not. */
bool gossip_handle(struct gossip *g, const struct wire_in *in, uint64_t token, uint64_t now_us);

/** Sets this node's state and agent flag; the target comes from the blackboard. */
void gossip_set_leaving(struct gossip *g);
void gossip_set_agent(struct gossip *g, bool agent);

/** Contacts a node by its control address alone. */
void gossip_contact(struct gossip *g, const char *control_address);

/** Merges changes from the platform's watch and passes news on. */
void gossip_platform_changes(struct gossip *g, const struct br_config_change *changes, size_t n,
			     uint64_t from_rev, uint64_t to_rev, uint64_t now_us);

/** Replaces the state by the platform's range result at rev. */
void gossip_platform_snapshot(struct gossip *g, const struct br_config_change *changes, size_t n,
			      uint64_t rev, uint64_t now_us);

struct br_members *gossip_members(struct gossip *g);
struct br_config *gossip_config(struct gossip *g);

#endif
