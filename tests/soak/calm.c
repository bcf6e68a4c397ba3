#include "tests/soak/soak.h"

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
/* The last one is that of the store. */
static uint64_t disturbed_until_us[NODES_MAX + 1];

void calm_disturb(uint32_t node, uint64_t until_us)
{
	uint32_t i = node == NONE ? NODES_MAX : node;

	pthread_mutex_lock(&lock);
	if (until_us > disturbed_until_us[i])
		disturbed_until_us[i] = until_us;
	pthread_mutex_unlock(&lock);
}

static bool calm(uint32_t i, uint64_t from_us)
{
	bool ok;

	pthread_mutex_lock(&lock);
	ok = from_us >= disturbed_until_us[i] + STABLE_US || !disturbed_until_us[i];
	pthread_mutex_unlock(&lock);
	return ok;
}

bool calm_node(uint32_t node, uint64_t from_us)
{
	return calm(node, from_us);
}

bool calm_in_touch(uint32_t node, uint64_t at_us)
{
	return calm(node, at_us) && calm(NODES_MAX, at_us);
}
