/**
 * @file control.h
 * The control thread: owns configuration, membership, slots, rate leases and the agent role, and
 * runs their controllers. Everything else reaches it by its queue.
 */
#ifndef NODE_CONTROL_H
#define NODE_CONTROL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A change of configuration is in force on every node within this time. */
#define CONTROL_CHANGE_SPREAD_US 4000000ULL

struct br_error;
struct control;
struct node;
struct platform_op;
struct platform_result;
struct wire_in;
struct wire_out;

/** Starts the control thread; NULL with err filled if the control address cannot be used. */
struct control *control_create(struct node *node, struct br_error *err);
void control_destroy(struct control *ctl);

/** Asks for rate leases now, because a request waits for a token. Any thread. */
void control_kick_leases(struct control *ctl);

/** Begins to leave: spreads the state and releases the slots cleanly. Any thread. */
void control_leave(struct control *ctl);

/**
 * True once all slots are released, the leave had time to spread, and the new holders have fetched
 * the claims or had 5 s for it. Any thread.
 */
bool control_left(struct control *ctl);

/** The rest is for the controllers, on the control thread. */

/** Takes the answer of a peer; msg is NULL if none came. */
typedef void (*control_answer_fn)(struct control *ctl, void *arg, const struct wire_in *msg,
				  uint64_t now_us);

/**
 * Sends a message to a peer's control address; fn is called once, also if sending fails. Frees out.
 * arg belongs to fn, which frees it.
 */
void control_send(struct control *ctl, const char *peer, struct wire_out *out, uint32_t timeout_ms,
		  control_answer_fn fn, void *arg);

/** Takes the result of a platform call. */
typedef void (*control_platform_fn)(struct control *ctl, void *arg,
				    const struct platform_result *res, uint64_t now_us);

/** Queues a platform call; fn is called once with its result. */
void control_platform(struct control *ctl, const struct platform_op *op, control_platform_fn fn,
		      void *arg);

/** Answers a peer's message. Frees out. */
void control_reply(struct control *ctl, uint64_t token, struct wire_out *out);

/** Answers a peer's message with an error and counts it. */
void control_reply_error(struct control *ctl, uint64_t token, const char *text);

struct node *control_node(struct control *ctl);
struct gossip *control_gossip(struct control *ctl);
struct slot_control *control_slots(struct control *ctl);
struct lease_control *control_leases(struct control *ctl);

/** The configuration changed: the parts that depend on it are refreshed. */
void control_config_changed(struct control *ctl, uint64_t now_us);
/** The member table changed. */
void control_members_changed(struct control *ctl);
/** The slot map changed. */
void control_slots_changed(struct control *ctl);

/** Writes counters of the control state; any thread. Returns the bytes written. */
size_t control_format_counters(struct control *ctl, char *buf, size_t bytes);

#endif
