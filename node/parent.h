/**
 * @file parent.h
 * Requests running on the target of this VM, looked up by the context token in their child calls.
 * A parent delegates retries to its child calls and propagates cancellation to them.
 */
#ifndef NODE_PARENT_H
#define NODE_PARENT_H

#include <stdbool.h>
#include <stdint.h>

struct call;
struct forward;
struct parent;
struct parent_table;

struct parent_table *parent_table_create(void);
void parent_table_destroy(struct parent_table *t);

/** Registers a request before it is sent to the target; parent_end() drops the reference. */
struct parent *parent_begin(struct parent_table *t, struct call *c);

/** Removes a parent, so that new child calls no longer find it. Returns its unused retries. */
uint32_t parent_end(struct parent_table *t, struct parent *p);

/** Finds a running parent by its token and takes a reference. Returns NULL if there is none. */
struct parent *parent_find(struct parent_table *t, const char *token);

/** Takes another reference. */
struct parent *parent_get(struct parent *p);
/** Drops a reference. */
void parent_put(struct parent *p);

/** Context token of 32 hexadecimal digits, valid as long as the parent. */
const char *parent_token(const struct parent *p);

/** Sets a child call's account, priority, deadline, route and depth from its parent. */
void parent_init_child(const struct parent *p, struct call *child);

/** Registers a child call and returns the retries delegated to it. Cancels it if p is cancelled. */
uint32_t parent_child_begin(struct parent *p, struct call *child);

/**
 * Removes a child call. Takes back the unused ones of the retries delegated to it by
 * parent_child_begin() unless its answer was lost.
 */
void parent_child_end(struct parent *p, struct call *child, uint32_t delegated, uint32_t unused,
		      bool lost);

/** Cancels all running child calls and those registered later. */
void parent_cancel_children(struct parent *p, struct forward *f);

#endif
