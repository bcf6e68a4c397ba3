/**
 * @file admission_internal.h
 * State shared by the parts of the admission module: queue, accounts, threshold.
 */
#ifndef BRIARREEL_ADMISSION_INTERNAL_H
#define BRIARREEL_ADMISSION_INTERNAL_H

#include "briarreel/admission.h"

#define BR_ADMISSION_WINDOW_US (100 * BR_US_PER_MS)

/** Entries of one account and priority, in order of arrival. */
struct br_admission_list {
	struct br_admission_entry *oldest, *newest;
	uint32_t n;
	struct br_admission_account *prev, *next;
};

struct br_admission_account {
	uint64_t key;
	struct br_admission_account *chain;
	/** Queued and running entries. */
	uint32_t refs;
	uint32_t sequence;
	/** Service time given and asked for, decayed, in microseconds. */
	double work, demand;
	/** Mean service time. */
	double service_us;
	struct br_admission_list lists[BR_PRIORITIES];
};

struct br_admission_accounts {
	struct br_admission_account *pool;
	struct br_admission_account **used;
	struct br_admission_account **buckets;
	struct br_admission_account *unused;
	/** Takes the requests of accounts beyond accounts_max. */
	struct br_admission_account overflow;
	uint32_t n_used, max, n_buckets;
	/** Work of all accounts, decayed, and the part of it that is one account's fair share. */
	double work, fair_share;
};

struct br_admission {
	struct br_admission_cfg cfg;
	uint32_t limit, in_flight, queued;
	/** Entries of each priority, and the accounts that have any. */
	uint32_t queued_of[BR_PRIORITIES];
	struct br_admission_account *active[BR_PRIORITIES];
	uint32_t n_active[BR_PRIORITIES];
	/** All queued entries in order of arrival. */
	struct br_admission_entry *oldest, *newest;
	/** Min-heap of all queued entries by deadline. */
	struct br_admission_entry **heap;
	struct br_admission_accounts accounts;
	double service_us;

	uint64_t last_us;
	uint64_t window_start_us;
	uint64_t min_delay_us;
	/** Length of the queue at the end of the window before. */
	uint32_t window_queued;
	bool overloaded;
	/** Levels that pass; of the last one, a part passes by its place. */
	double cut;
	uint32_t arrivals[BR_LEVELS];
	struct br_admission_counters counters;
};

/* admission_queue.c */

/** Appends an entry to its account's list, the arrival list and the heap. */
void br_queue_push(struct br_admission *a, struct br_admission_entry *e);

/** Removes a queued entry from all lists. */
void br_queue_remove(struct br_admission *a, struct br_admission_entry *e);

/** The entry to run next; NULL if the queue is empty. */
struct br_admission_entry *br_queue_best(struct br_admission *a);

/** The entry to evict from a full queue in favour of e; NULL if e is to be refused. */
struct br_admission_entry *br_queue_victim(struct br_admission *a,
					   const struct br_admission_entry *e);

/**
 * True if an account's requests of a priority are taken newest first at present: while overloaded,
 * and only at priorities that the threshold cuts into. More important ones fit, so that the oldest
 * of them would expire without need.
 */
bool br_queue_newest_first(const struct br_admission *a, int priority);

/* admission_share.c */

int br_accounts_init(struct br_admission_accounts *s, uint32_t max);
void br_accounts_free(struct br_admission_accounts *s);

/** Finds or adds the state of an account; the shared state if there is no room. */
struct br_admission_account *br_accounts_get(struct br_admission_accounts *s, uint64_t key);

/** Sublevel of an account's request with that place. */
uint32_t br_accounts_sublevel(const struct br_admission_accounts *s,
			      const struct br_admission_account *acct, uint16_t place);

/** Place for a request of an account whose caller has chosen none. */
uint16_t br_accounts_next_place(struct br_admission_account *acct);

/** Adds to the work given to an account; negative to correct an estimate. */
void br_accounts_add_work(struct br_admission_accounts *s, struct br_admission_account *acct,
			  double work_us);

/** Decays work and demand, works out the fair share and forgets idle accounts. */
void br_accounts_roll(struct br_admission_accounts *s);

#endif
