/**
 * @file lease_control.h
 * Rate leases: requests them from slot holders for the accounts that this node serves, and grants
 * them from the slots that this node holds. Control thread only.
 */
#ifndef NODE_LEASE_CONTROL_H
#define NODE_LEASE_CONTROL_H

#include <stdbool.h>
#include <stdint.h>

struct control;
struct lease_control;
struct wire_in;

/** Returns NULL if out of memory. */
struct lease_control *lease_control_create(struct control *ctl);
void lease_control_destroy(struct lease_control *lc);

/**
 * Updates the entitlements from which this node grants, and the limits and slot holders of all
 * accounts, after a change of the configuration or of the slots.
 */
void lease_control_refresh(struct lease_control *lc, uint64_t now_us);

/** Sends the lease requests that are due; call about every 50 ms and when a call needs a token. */
void lease_control_run(struct lease_control *lc, uint64_t now_us);

/** Term of rate leases in microseconds; 0 before the first configuration. */
uint64_t lease_control_term_us(const struct lease_control *lc);

/** Answers a WIRE_LEASE message; returns false, without a reply, if it is malformed. */
bool lease_control_handle(struct lease_control *lc, const struct wire_in *in, uint64_t token,
			  uint64_t now_us);

#endif
