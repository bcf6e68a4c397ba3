#include "briarreel/incarnation.h"

#include <string.h>

static bool is_known(const struct br_incarnation *known, const struct br_incarnation *report)
{
	if (!known || strcmp(known->id, report->id) != 0)
		return false;
	/* A health answer names the target, but not the start of its incarnation. */
	return known->start_ms == report->start_ms || !known->start_ms;
}

enum br_report_order br_report_order(const struct br_incarnation_view *view,
				     const struct br_incarnation *report, bool ready)
{
	const struct br_incarnation *known = view->known;

	if (is_known(known, report)) {
		if (report->sequence <= known->sequence)
			return BR_REPORT_OUTDATED;
		/* The target may have started again under its id after it left. */
		if (ready && !view->serving && !known->start_ms)
			return BR_REPORT_UNCONFIRMED;
		return BR_REPORT_CURRENT;
	}
	if (known && report->start_ms < known->start_ms)
		return BR_REPORT_OUTDATED;
	if (!ready)
		return BR_REPORT_REPLACES;
	/* Without the known one's start it is unknown which of the two is the later one. */
	if (known && !known->start_ms)
		return BR_REPORT_UNCONFIRMED;
	return view->history_complete ? BR_REPORT_REPLACES : BR_REPORT_UNCONFIRMED;
}
