/**
 * @file incarnation.h
 * Decides what a target's report says to a process that may have restarted: reports may arrive
 * seconds late, and an earlier process may have been told meanwhile that the target leaves.
 */
#ifndef BRIARREEL_INCARNATION_H
#define BRIARREEL_INCARNATION_H

#include "briarreel/types.h"

/** One run of a target, from its start to its end. */
struct br_incarnation {
	char id[BR_NAME_BYTES];
	/** Start, in milliseconds since the Unix epoch; 0 if unknown. */
	uint64_t start_ms;
	/** Sequence number of its latest report; 0 before the first one. */
	uint64_t sequence;
};

/** What a process knows when a report arrives. */
struct br_incarnation_view {
	/** The incarnation that reported last or answered a health request; NULL if none did. */
	const struct br_incarnation *known;
	/** The known incarnation gets new requests: it has not announced that it leaves. */
	bool serving;
	/**
	 * This process has been told of each incarnation that left since the known one started, and
	 * of all of them if none is known. False after a restart of the process, until the target
	 * has confirmed itself.
	 */
	bool history_complete;
};

enum br_report_order {
	/** Overtaken by a later report, or of an earlier incarnation. */
	BR_REPORT_OUTDATED,
	/** The latest report of the known incarnation. */
	BR_REPORT_CURRENT,
	/** The first report of an incarnation that replaces the known one. */
	BR_REPORT_REPLACES,
	/**
	 * The target says that it is ready, but may have announced since that it leaves. It may be
	 * used only once it has confirmed that it is ready.
	 */
	BR_REPORT_UNCONFIRMED,
};

/** Classifies a report; ready means that the target says in it that it takes new requests. */
enum br_report_order br_report_order(const struct br_incarnation_view *view,
				     const struct br_incarnation *report, bool ready);

#endif
