#include "briarreel/stop.h"

bool br_stop_can_finish(const struct br_stop *s, uint64_t expected_us, uint64_t now_us)
{
	return !s->started_us || now_us + expected_us <= s->until_us;
}

bool br_stop_takes_request(const struct br_stop *s, uint64_t expected_us, uint64_t now_us)
{
	if (s->started_us && now_us >= s->noticed_us)
		return false;
	return br_stop_can_finish(s, expected_us, now_us);
}
