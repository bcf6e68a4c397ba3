/**
 * @file store_era.h
 * Orders what is read from a store that may come back from an older copy. Its revisions go back
 * then and are given out again, and its era rises; a state of the store is therefore named by both.
 */
#ifndef BRIARREEL_STORE_ERA_H
#define BRIARREEL_STORE_ERA_H

#include <stdbool.h>
#include <stdint.h>

/** A state of the store. The revision 0 is before all states of its era. */
struct br_position {
	/** 0 if the store tells none, as earlier ones don't. */
	uint64_t era;
	uint64_t revision;
};

/** Returns less than, equal to, or greater than 0 as a is before, at, or after b. */
int br_position_compare(const struct br_position *a, const struct br_position *b);

/** The latest known era of the store; all zero but for may_be_new before the first answer. */
struct br_store_era {
	uint64_t era;
	bool known;
	/** Set by the owner: the era that is seen first may have begun just before. */
	bool may_be_new;
	/** Time of the last change, or of the first answer if it may have followed one; else 0. */
	uint64_t changed_us;
};

enum br_era_order {
	/** Of the latest known era. */
	BR_ERA_CURRENT,
	/** The first sign of a later era: all that was read and written before may be gone. */
	BR_ERA_CHANGED,
	/** Of an earlier era: it says nothing about what the store holds now. */
	BR_ERA_OUTDATED,
};

/** Takes note of the era of an answer of the store, or of an era that another node has seen. */
enum br_era_order br_store_era_observe(struct br_store_era *s, uint64_t era, uint64_t now_us);

/** Tests whether the era has changed less than within_us ago, as far as can be known. */
bool br_store_era_changed_within(const struct br_store_era *s, uint64_t within_us, uint64_t now_us);

/**
 * An item of the store that names the era in which it was written. A copy has the mark of an earlier
 * era, so that an era with its own mark has not just begun.
 */
enum br_era_mark {
	/** Not read yet. */
	BR_ERA_MARK_UNREAD,
	/** There is none: no node has been the keeper yet. */
	BR_ERA_MARK_NONE,
	/** It names the present era. */
	BR_ERA_MARK_PRESENT,
	/** It names another one: the store has come back from a copy since it was written. */
	BR_ERA_MARK_OTHER,
};

/** What a process knows when it judges what it has read from the store. */
struct br_store_trust {
	/** Some seconds have passed in this era, or none has begun while the system ran. */
	bool era_is_old;
	enum br_era_mark mark;
	/** The other nodes that were found have been asked since this process saw the era. */
	bool others_asked;
	/** This process, or a node that it asked, knows which versions were in force before the era. */
	bool knows_history;
	/** Version in force, or about to be, and the latest one that another node has told of. */
	uint64_t version, told_version;
};

/** Tests whether the store has all that it ever acknowledged, or what was lost is written again. */
bool br_store_is_settled(const struct br_store_trust *t);

/** Tests whether a process that knows no configuration may take the store's for the newest one. */
bool br_store_proves_config(const struct br_store_trust *t);

/** Tests whether the store proves that no key of the version in force has been taken away. */
bool br_store_proves_keys(const struct br_store_trust *t);

/**
 * Parses the text in which an answer names its era; NULL if it names none. Returns 0 and stores 0
 * for NULL, or -EINVAL and stores 0 for a text that is not a decimal number of 64 bits.
 */
int br_store_era_parse(const char *text, uint64_t *era);

#endif
