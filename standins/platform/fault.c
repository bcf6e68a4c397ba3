#include "fault.h"

#include <pthread.h>
#include <string.h>

struct fault {
	enum fault_mode mode;
	uint32_t delay_ms;
	uint32_t answers_to_lose;
	uint64_t calls;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct fault faults[CALL_KINDS];

static const char *const kind_names[CALL_KINDS] = {"read", "write", "lease", "watch"};
static const char *const mode_names[] = {"up", "down", "silent", "slow", "lose-answer"};

const char *call_kind_name(enum call_kind kind)
{
	return kind_names[kind];
}

bool fault_set(const char *mode, const char *kind, uint32_t delay_ms, uint32_t answers_to_lose)
{
	size_t m = 0;
	bool found = false;

	while (m < sizeof(mode_names) / sizeof(mode_names[0]) && strcmp(mode, mode_names[m]) != 0)
		m++;
	if (m == sizeof(mode_names) / sizeof(mode_names[0]))
		return false;
	if (m == FAULT_LOSE_ANSWER && !kind[0])
		kind = "write";
	pthread_mutex_lock(&lock);
	for (int k = 0; k < CALL_KINDS; k++) {
		if (kind[0] && strcmp(kind, kind_names[k]) != 0)
			continue;
		faults[k].mode = (enum fault_mode)m;
		faults[k].delay_ms = delay_ms;
		faults[k].answers_to_lose = answers_to_lose;
		found = true;
	}
	pthread_mutex_unlock(&lock);
	return found;
}

enum fault_mode fault_for_call(enum call_kind kind, uint32_t *delay_ms)
{
	struct fault *f = &faults[kind];
	enum fault_mode mode;

	pthread_mutex_lock(&lock);
	f->calls++;
	mode = f->mode;
	*delay_ms = f->delay_ms;
	if (mode == FAULT_LOSE_ANSWER && (!f->answers_to_lose || --f->answers_to_lose == 0))
		f->mode = FAULT_UP;
	pthread_mutex_unlock(&lock);
	return mode;
}

enum fault_mode fault_current(enum call_kind kind)
{
	enum fault_mode mode;

	pthread_mutex_lock(&lock);
	mode = faults[kind].mode;
	pthread_mutex_unlock(&lock);
	return mode;
}

uint64_t fault_calls(enum call_kind kind)
{
	uint64_t n;

	pthread_mutex_lock(&lock);
	n = faults[kind].calls;
	pthread_mutex_unlock(&lock);
	return n;
}
