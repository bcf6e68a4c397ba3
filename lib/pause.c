#include "briarreel/pause.h"

static uint64_t late_us(const struct br_pause *p, uint64_t now_us)
{
	uint64_t since_us = p->polled_us && now_us > p->polled_us ? now_us - p->polled_us : 0;

	/* Less than twice the interval is the delay of a busy process. */
	return since_us >= 2 * BR_PAUSE_POLL_MAX_US ? since_us - BR_PAUSE_POLL_MAX_US : 0;
}

void br_pause_poll(struct br_pause *p, uint64_t now_us)
{
	uint64_t us = late_us(p, now_us);

	/* The pause is over, but what arrived meanwhile is read only now. */
	if (us) {
		p->waited_us = us;
		p->read_until_us = now_us + BR_PAUSE_READ_US;
	}
	p->polled_us = now_us;
}

uint64_t br_pause_waited_us(const struct br_pause *p, uint64_t now_us)
{
	uint64_t us = late_us(p, now_us);
	uint64_t before_us = now_us < p->read_until_us ? p->waited_us : 0;

	return us > before_us ? us : before_us;
}
