/**
 * @file admission_internal.h
 * Internal state of the admission module, shared by its queue, accounts and threshold.
 */
#ifndef BRIARREEL_ADMISSION_INTERNAL_H
#define BRIARREEL_ADMISSION_INTERNAL_H

#include "briarreel/admission.h"

/** Length of a window, after which the overload state and the threshold are updated. */
#define BR_ADMISSION_WINDOW_US (100 * BR_US_PER_MS)

/** Entries of one account and priority, in order of arrival. */
struct br_admission_list {
	struct br_admission_entry *oldest, *newest;
	uint32_t n;
	struct br_admission_account *prev, *next;
};

struct br_admission_account {
	uint64_t key;
	struct br_admission_account *hash_next;
	/** Queued and running entries. */
	uint32_t refs;
	uint32_t sequence;
	/** Service time that the account has received and requested, exponentially decayed. */
	double work_us, demand_us;
	/** Moving average of the service time; 0 if unknown. */
	double service_us;
	struct br_admission_list lists[BR_PRIORITIES];
};

struct br_admission_accounts {
	struct br_admission_account *pool;
	struct br_admission_account **used;
	struct br_admission_account **buckets;
	struct br_admission_account *unused;
	/** Shared state of all accounts beyond accounts_max. */
	struct br_admission_account overflow;
	uint32_t n_used, max, n_buckets;
	/** Decayed work of all accounts and the fair share of one account, in microseconds. */
	double work_us, fair_share;
};

struct br_admission {
	struct br_admission_cfg cfg;
	uint32_t limit, in_flight, queued;
	/** Number of queued entries of each priority, and the accounts that have any. */
	uint32_t queued_of[BR_PRIORITIES];
	struct br_admission_account *active[BR_PRIORITIES];
	uint32_t n_active[BR_PRIORITIES];
	/** All queued entries in order of arrival. */
	struct br_admission_entry *oldest, *newest;
	/** Min-heap of all queued entries by deadline. */
	struct br_admission_entry **heap;
	struct br_admission_accounts accounts;
	/** Moving average of the service time; 0 if unknown. */
	double service_us;

	/** Latest time passed in by the caller. */
	uint64_t last_us;
	uint64_t window_start_us;
	/** Smallest queueing delay observed in the current window. */
	uint64_t min_delay_us;
	/** Queue length at the end of the previous window. */
	uint32_t window_queued;
	bool overloaded;
	/**
	 * Levels below this value are admitted. The fractional part is the fraction of the last
	 * level that is admitted, selected by shed order.
	 */
	double cutoff;
	/** Requests of each level that arrived in the current window. */
	uint32_t arrivals[BR_LEVELS];
	struct br_admission_counters counters;
};

/* admission_queue.c */

/** Appends an entry to its account's list, the arrival list and the heap. */
void br_queue_push(struct br_admission *a, struct br_admission_entry *e);

/** Removes a queued entry from all lists. */
void br_queue_remove(struct br_admission *a, struct br_admission_entry *e);

/** Returns the entry to run next; NULL if the queue is empty. */
struct br_admission_entry *br_queue_best(struct br_admission *a);

/** Returns the entry to evict from a full queue in favour of e; NULL if e is to be refused. */
struct br_admission_entry *br_queue_victim(struct br_admission *a,
					   const struct br_admission_entry *e);

/**
 * True if an account's requests of a priority are taken newest first at present. In adaptive order
 * this holds while overloaded, at the threshold's own priority and at less important ones. More
 * important requests fit into the capacity, so taking them newest first would let the oldest expire
 * needlessly.
 */
bool br_queue_newest_first(const struct br_admission *a, int priority);

/* admission_share.c */

/** Returns 0 or -ENOMEM; call br_accounts_free() in both cases. */
int br_accounts_init(struct br_admission_accounts *s, uint32_t max);
void br_accounts_free(struct br_admission_accounts *s);

/** Returns the state of an account, added if needed; the shared state if the table is full. */
struct br_admission_account *br_accounts_get(struct br_admission_accounts *s, uint64_t key);

/** Returns the sublevel of an account's request with the given shed order. */
uint32_t br_accounts_sublevel(const struct br_admission_accounts *s,
			      const struct br_admission_account *acct, uint16_t shed_order);

/** Returns a shed order for a request whose caller has not set one. */
uint16_t br_accounts_next_shed_order(struct br_admission_account *acct);

/** Adds service time to an account's work; negative to correct an estimate. */
void br_accounts_add_work(struct br_admission_accounts *s, struct br_admission_account *acct,
			  double work_us);

/** Updates the fair share, decays work and demand, and removes idle accounts. */
void br_accounts_close_window(struct br_admission_accounts *s);

#endif
