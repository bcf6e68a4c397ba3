/**
 * @file timer.h
 * One-shot and repeating timers of an event loop that may be cancelled at any time.
 */
#ifndef NET_TIMER_H
#define NET_TIMER_H

#include <stdint.h>
#include <uv.h>

struct timer;

typedef void (*timer_cb)(void *arg);

/** Calls cb once, delay_ms from now; the timer is no longer valid when cb is called. */
struct timer *timer_start(uv_loop_t *loop, uint64_t delay_ms, timer_cb cb, void *arg);

/** Calls cb every period_ms until the timer is cancelled. */
struct timer *timer_repeat(uv_loop_t *loop, uint64_t period_ms, timer_cb cb, void *arg);

/** Cancels *t and sets it to NULL; does nothing if it is NULL already. */
void timer_cancel(struct timer **t);

#endif
