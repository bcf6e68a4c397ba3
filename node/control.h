/**
 * @file control.h
 * The control thread: owns configuration, membership, slots, rate leases and the agent role, and
 * runs their controllers. Other threads communicate with it only through queues and flags.
 */
#ifndef NODE_CONTROL_H
#define NODE_CONTROL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Time within which a configuration change is in force on every node. */
#define CONTROL_CONFIG_PROPAGATION_US 4000000ULL

struct br_error;
struct control;
struct node;
struct platform_op;
struct platform_result;
struct wire_in;
struct wire_out;

/**
 * Starts the control thread and sets node->control. Returns NULL with err filled if the control
 * address cannot be used or the thread cannot be started.
 */
struct control *control_create(struct node *node, struct br_error *err);
void control_destroy(struct control *ctl);

/** Wakes the control thread to request rate leases, as a request waits for a token. Any thread. */
void control_wake_leases(struct control *ctl);

/** Starts the leave: announces it to the members and releases all slots cleanly. Any thread. */
void control_leave(struct control *ctl);

/**
 * True once the leave is complete: it had time to reach all members, all slots are released, and
 * the new holders have fetched the claims or 5 s have passed. Also true if the platform has not
 * accepted the release one lease term plus 5 s after the start of the leave. Any thread.
 */
bool control_leave_complete(struct control *ctl);

/* The functions below are for the controllers and run on the control thread. */

/** Handles the answer of a peer; msg is NULL if the request failed or timed out. */
typedef void (*control_answer_fn)(struct control *ctl, void *arg, const struct wire_in *msg,
				  uint64_t now_us);

/**
 * Sends a message to a peer's control address and frees out. fn is called exactly once, also if
 * sending fails, and is responsible for freeing arg.
 */
void control_send(struct control *ctl, const char *peer, struct wire_out *out, uint32_t timeout_ms,
		  control_answer_fn fn, void *arg);

/** Handles the result of a platform call. res is valid only during the call. */
typedef void (*control_platform_fn)(struct control *ctl, void *arg,
				    const struct platform_result *res, uint64_t now_us);

/** Queues a platform call; fn is called exactly once with its result. */
void control_call_platform(struct control *ctl, const struct platform_op *op,
			   control_platform_fn fn, void *arg);

/** Answers the request of a peer that token identifies and frees out. */
void control_reply(struct control *ctl, uint64_t token, struct wire_out *out);

/** Answers the request of a peer with a WIRE_ERROR message. */
void control_reply_error(struct control *ctl, uint64_t token, const char *text);

struct node *control_node(struct control *ctl);
struct gossip *control_gossip(struct control *ctl);
struct slot_control *control_slots(struct control *ctl);
struct lease_control *control_leases(struct control *ctl);

/** Publishes the changed configuration and refreshes the rate leases that depend on it. */
void control_config_changed(struct control *ctl, uint64_t now_us);
/** Marks the member table as changed; the next tick publishes it. */
void control_members_changed(struct control *ctl);
/** Marks the slot map as changed; the next tick refreshes the rate leases. */
void control_slots_changed(struct control *ctl);

/** Writes the metrics of the control state. Returns the bytes written; 0 if buf is too small. */
size_t control_format_counters(struct control *ctl, char *buf, size_t bytes);

#endif
