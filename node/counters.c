#include "node/counters.h"

#include "briarreel/types.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

/*
 * Largest number of (account, service) pairs, for 140 services and a few accounts on each entry
 * node. Requests of further pairs are counted under the last pair.
 */
#define MAX_PAIRS 4096
#define PAIR_BUCKETS 8192

struct pair {
	char account[BR_NAME_BYTES];
	char service[BR_NAME_BYTES];
	_Atomic uint64_t results[REQUEST_RESULTS];
};

static _Atomic uint64_t values[COUNTER_COUNT];
static pthread_mutex_t pairs_lock = PTHREAD_MUTEX_INITIALIZER;
static struct pair pairs[MAX_PAIRS];
static _Atomic uint32_t n_pairs;
static _Atomic uint32_t pair_index[PAIR_BUCKETS];

static const char *const names[COUNTER_COUNT] = {
	[COUNTER_CALLER_REQUESTS] = "caller_requests_total",
	[COUNTER_BAD_REQUESTS] = "bad_requests_total",
	[COUNTER_BAD_KEYS] = "bad_keys_total",
	[COUNTER_PEER_REQUESTS] = "peer_requests_total",
	[COUNTER_PEER_REJECTED] = "peer_rejected_total",
	[COUNTER_CHILD_CALLS] = "child_calls_total",
	[COUNTER_RETRIES] = "retries_total",
	[COUNTER_REATTACHED] = "reattached_total",
	[COUNTER_CANCELLED] = "cancelled_total",
	[COUNTER_DISPATCHED] = "dispatched_total",
	[COUNTER_SHED_LEVEL] = "shed_level_total",
	[COUNTER_SHED_QUEUE] = "shed_queue_total",
	[COUNTER_SHED_EXPIRED] = "shed_expired_total",
	[COUNTER_SHED_EARLY] = "shed_early_total",
	[COUNTER_DUPLICATES] = "duplicates_total",
	[COUNTER_UNKNOWN] = "unknown_total",
	[COUNTER_RATE_LIMITED] = "rate_limited_total",
	[COUNTER_RATE_WAITED] = "rate_waited_total",
	[COUNTER_REGISTRAR_CLAIMS] = "registrar_claims_total",
	[COUNTER_REGISTRAR_REFUSED] = "registrar_refused_total",
	[COUNTER_CONTROL_SENT] = "control_sent_total",
	[COUNTER_CONTROL_RECEIVED] = "control_received_total",
	[COUNTER_CONTROL_SENT_BYTES] = "control_sent_bytes_total",
	[COUNTER_CONTROL_RECEIVED_BYTES] = "control_received_bytes_total",
	[COUNTER_CONTROL_MALFORMED] = "control_malformed_total",
	[COUNTER_CONTROL_TIMEOUTS] = "control_timeouts_total",
	[COUNTER_LEASE_REQUESTS] = "lease_requests_total",
	[COUNTER_LEASE_GRANTS] = "lease_grants_total",
	[COUNTER_CONFIG_CHANGES] = "config_changes_total",
	[COUNTER_CONFIG_REJECTED] = "config_rejected_total",
	[COUNTER_PLATFORM_READS] = "platform_reads_total",
	[COUNTER_PLATFORM_WRITES] = "platform_writes_total",
	[COUNTER_PLATFORM_ERRORS] = "platform_errors_total",
	[COUNTER_PROBE_FAILURES] = "probe_failures_total",
};

static const char *const result_names[REQUEST_RESULTS] = {
	[REQUEST_ANSWERED] = "answered", [REQUEST_FAILED] = "failed",
	[REQUEST_SHED] = "shed",	 [REQUEST_RATE_LIMITED] = "rate_limited",
	[REQUEST_UNKNOWN] = "unknown",
};

void counter_add(enum counter c, uint64_t n)
{
	atomic_fetch_add_explicit(&values[c], n, memory_order_relaxed);
}

uint64_t counter_get(enum counter c)
{
	return atomic_load_explicit(&values[c], memory_order_relaxed);
}

/* Entries of pair_index hold the index of a pair plus one, 0 if free, and never change once set. */
static struct pair *find_pair(const char *account, const char *service)
{
	uint64_t hash = br_hash_str(service, br_hash_str(account, 0));
	uint32_t i;

	for (size_t step = 0; step < PAIR_BUCKETS; step++) {
		struct pair *p;

		i = atomic_load_explicit(&pair_index[(hash + step) % PAIR_BUCKETS],
					 memory_order_acquire);
		if (!i)
			return NULL;
		p = &pairs[i - 1];
		if (!strcmp(p->account, account) && !strcmp(p->service, service))
			return p;
	}
	return NULL;
}

static struct pair *add_pair(const char *account, const char *service)
{
	uint64_t hash = br_hash_str(service, br_hash_str(account, 0));
	struct pair *p;

	pthread_mutex_lock(&pairs_lock);
	p = find_pair(account, service);
	if (!p && n_pairs == MAX_PAIRS)
		p = &pairs[MAX_PAIRS - 1];
	if (!p) {
		size_t slot = hash % PAIR_BUCKETS;

		p = &pairs[n_pairs];
		br_copy_text(p->account, sizeof(p->account), account);
		br_copy_text(p->service, sizeof(p->service), service);
		n_pairs++;
		while (atomic_load_explicit(&pair_index[slot], memory_order_relaxed))
			slot = (slot + 1) % PAIR_BUCKETS;
		atomic_store_explicit(&pair_index[slot], n_pairs, memory_order_release);
	}
	pthread_mutex_unlock(&pairs_lock);
	return p;
}

void counter_request(const char *account, const char *service, enum request_result result)
{
	struct pair *p = find_pair(account, service);

	if (!p)
		p = add_pair(account, service);
	atomic_fetch_add_explicit(&p->results[result], 1, memory_order_relaxed);
}

size_t counters_format(char *buf, size_t bytes)
{
	size_t len = 0;
	uint32_t n = atomic_load(&n_pairs);

	for (int i = 0; i < COUNTER_COUNT && len < bytes; i++)
		len += (size_t)snprintf(buf + len, bytes - len, "briarreel_%s %llu\n", names[i],
					(unsigned long long)counter_get((enum counter)i));
	for (uint32_t i = 0; i < n; i++) {
		for (int r = 0; r < REQUEST_RESULTS && len < bytes; r++)
			len += (size_t)snprintf(
				buf + len, bytes - len,
				"briarreel_requests_total{account=\"%s\",service=\"%s\",outcome="
				"\"%s\"} %llu\n",
				pairs[i].account, pairs[i].service, result_names[r],
				(unsigned long long)atomic_load(&pairs[i].results[r]));
	}
	return len < bytes ? len : bytes - 1;
}
