/**
 * @file quota.h
 * One rate and burst an account over all nodes: a keeper that grants tokens, and the share of a
 * node that spends them.
 *
 * Exactly one keeper may grant at a time; the embedder elects it. Grants expire, so that tokens
 * that are lost with a node or a message cannot be spent later. A node that cannot reach the keeper
 * spends an equal part of the rate, which the keeper withholds for each node that it does not hear.
 */
#ifndef BRIARREEL_QUOTA_H
#define BRIARREEL_QUOTA_H

#include "briarreel/types.h"

/** A grant can be spent this long after it was asked for. */
#define BR_QUOTA_GRANT_US (500 * BR_US_PER_MS)
/** A node that was not heard for this time spends its equal part. */
#define BR_QUOTA_SILENT_US (1000 * BR_US_PER_MS)
/** A node asks at least this often, also for nothing, so that the keeper hears it. */
#define BR_QUOTA_ASK_US (300 * BR_US_PER_MS)

struct br_quota_keeper;

/** A keeper that grants from now on; its buckets start empty. NULL if memory is short. */
struct br_quota_keeper *br_quota_keeper_create(uint64_t now_us);
void br_quota_keeper_destroy(struct br_quota_keeper *k);

/** Sets the number of nodes, the keeper's own included. */
void br_quota_keeper_set_nodes(struct br_quota_keeper *k, uint32_t n);

/** Notes that a node asked. Returns 0 or -ENOMEM. */
int br_quota_keeper_hear(struct br_quota_keeper *k, uint64_t node, uint64_t now_us);

/** Nodes that spend an equal part of the rates because they are not heard. */
uint32_t br_quota_keeper_silent(const struct br_quota_keeper *k, uint64_t now_us);

/** Grants up to want tokens of an account with the given limit. */
uint32_t br_quota_keeper_grant(struct br_quota_keeper *k, uint64_t account, double rate_per_s,
			       double burst, uint32_t want, uint64_t now_us);

struct br_quota_share;

struct br_quota_share *br_quota_share_create(void);
void br_quota_share_destroy(struct br_quota_share *s);

/** Spends a granted token if there is one; counts the demand either way. */
bool br_quota_share_take(struct br_quota_share *s, uint64_t account, uint64_t now_us);

/** Adds a grant that was asked for at asked_us. */
void br_quota_share_add(struct br_quota_share *s, uint64_t account, uint32_t n, uint64_t asked_us);

/** Tokens worth asking for ahead: what the account's demand spends within half a grant's life. */
uint32_t br_quota_share_want(struct br_quota_share *s, uint64_t account, uint64_t now_us);

/** Spends from an equal part of the rate of one among n nodes, without a keeper. */
bool br_quota_share_take_part(struct br_quota_share *s, uint64_t account, double rate_per_s,
			      uint32_t n, uint64_t now_us);

#endif
