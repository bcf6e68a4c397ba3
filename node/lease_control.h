/**
 * @file lease_control.h
 * Rate leases: asks holders for this node's accounts, and grants from this node's own slots.
 * Control thread only.
 */
#ifndef NODE_LEASE_CONTROL_H
#define NODE_LEASE_CONTROL_H

#include <stdbool.h>
#include <stdint.h>

struct control;
struct lease_control;
struct wire_in;

struct lease_control *lease_control_create(struct control *ctl);
void lease_control_destroy(struct lease_control *lc);

/** Sets the entitlements after the configuration or the slots changed. */
void lease_control_refresh(struct lease_control *lc, uint64_t now_us);

/** Sends the lease requests that are due; call about every 50 ms and when a request waits. */
void lease_control_run(struct lease_control *lc, uint64_t now_us);

/** Term of rate leases; 0 before the first configuration. */
uint64_t lease_control_term_us(const struct lease_control *lc);

/** Handles a WIRE_LEASE message; false if it is malformed. */
bool lease_control_handle(struct lease_control *lc, const struct wire_in *in, uint64_t token,
			  uint64_t now_us);

#endif
