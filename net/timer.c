#include "net/timer.h"

#include "net/buf.h"

#include <stdbool.h>
#include <stdlib.h>

struct timer {
	uv_timer_t handle;
	timer_cb cb;
	void *arg;
	bool repeats;
};

static void on_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void on_fire(uv_timer_t *handle)
{
	struct timer *t = handle->data;
	timer_cb cb = t->cb;
	void *arg = t->arg;

	if (!t->repeats)
		uv_close((uv_handle_t *)handle, on_closed);
	cb(arg);
}

static struct timer *start(uv_loop_t *loop, uint64_t delay_ms, uint64_t period_ms, timer_cb cb,
			   void *arg)
{
	struct timer *t = xcalloc(1, sizeof(*t));

	t->cb = cb;
	t->arg = arg;
	t->repeats = period_ms > 0;
	uv_timer_init(loop, &t->handle);
	t->handle.data = t;
	/* The loop's time is that of its last wake-up; a long callback would shorten the delay. */
	uv_update_time(loop);
	uv_timer_start(&t->handle, on_fire, delay_ms, period_ms);
	return t;
}

struct timer *timer_start(uv_loop_t *loop, uint64_t delay_ms, timer_cb cb, void *arg)
{
	return start(loop, delay_ms, 0, cb, arg);
}

struct timer *timer_repeat(uv_loop_t *loop, uint64_t period_ms, timer_cb cb, void *arg)
{
	return start(loop, period_ms, period_ms, cb, arg);
}

void timer_cancel(struct timer **t)
{
	if (!*t)
		return;
	uv_close((uv_handle_t *)&(*t)->handle, on_closed);
	*t = NULL;
}
