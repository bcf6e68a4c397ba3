/**
 * @file gossip.h
 * Exchanges membership, slot holders and configuration with other nodes. Control thread only.
 */
#ifndef NODE_GOSSIP_H
#define NODE_GOSSIP_H

#include "briarreel/config.h"
#include "briarreel/membership.h"

struct control;
struct gossip;
struct wire_in;

/** Flag of a member that has the agent role, see agent.h. */
#define GOSSIP_FLAG_AGENT 1U

/** Returns NULL if out of memory. */
struct gossip *gossip_create(struct control *ctl);
void gossip_destroy(struct gossip *g);

/** Updates this node's member entry and runs probes and timeouts; call about every 20 ms. */
void gossip_tick(struct gossip *g, uint64_t now_us);

/**
 * Handles the request of a peer; token identifies it in control_reply(). Returns false, without a
 * reply, if the type is not handled here or the message is malformed.
 */
bool gossip_handle(struct gossip *g, const struct wire_in *in, uint64_t token, uint64_t now_us);

/** Sets this node's member state to leaving; the next tick applies it. */
void gossip_set_leaving(struct gossip *g);
/** Sets or clears this node's GOSSIP_FLAG_AGENT; the next tick applies it. */
void gossip_set_agent(struct gossip *g, bool agent);

/** Sends a PING to a node of which only the control address is known. */
void gossip_ping_address(struct gossip *g, const char *control_address);

/**
 * Merges changes after from_rev up to to_rev, read from the platform's watch or pushed by a peer.
 * If at least one of them was new to this node, pushes all of them to random peers.
 */
void gossip_apply_changes(struct gossip *g, const struct br_config_change *changes, size_t n,
			  uint64_t from_rev, uint64_t to_rev, uint64_t now_us);

/** Replaces the configuration by the result of a range read on the platform at revision rev. */
void gossip_apply_snapshot(struct gossip *g, const struct br_config_change *changes, size_t n,
			   uint64_t rev, uint64_t now_us);

/** The member table and the configuration; owned by g. */
struct br_members *gossip_members(struct gossip *g);
struct br_config *gossip_config(struct gossip *g);

#endif
