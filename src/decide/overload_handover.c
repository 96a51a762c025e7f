#include "overload_handover.h"

/*
 * A primary is overloaded when it reports this many times as many statements
 * as it has slots.
 */
#define OVERLOAD_FACTOR 2

/*
 * Duration of the overload before a handover.  A handover itself takes half
 * of this time.
 */
#define OVERLOAD_US US_PER_SECOND

/*
 * A replica that lags further behind is too old for the maximum age that reads
 * usually accept.
 */
#define LAG_MAX_MS 3000

/* A replica that lacks more entries of the log cannot take over. */
#define ENTRIES_BEHIND_MAX 20

/* Minimum time between two handovers because of overload. */
#define INTERVAL_MIN_US (8 * US_PER_SECOND)

/*
 * Tell whether a replica has received nearly all of the primary's log.
 */
static bool
has_received(const overload_view_t *replica, const overload_view_t *primary)
{
	return replica->received.term == primary->received.term &&
	    replica->received.index + ENTRIES_BEHIND_MAX >=
	    primary->received.index;
}

/*
 * Tell whether the primary is overloaded, no replica is recent enough to serve
 * reads, and one of them can take over as primary.
 */
static bool
overloaded(const overload_view_t *views, uint32_t count, uint32_t primary)
{
	const overload_view_t *primary_view = &views[primary];
	bool can_take_over = false;
	uint32_t i;

	if (primary_view->reported_busy < OVERLOAD_FACTOR * primary_view->slots)
		return false;
	for (i = 0; i < count; i++) {
		if (i == primary || !views[i].usable)
			continue;
		if (views[i].lag_ms < LAG_MAX_MS)
			return false;
		can_take_over |= has_received(&views[i], primary_view);
	}
	return can_take_over;
}

/*
 * Tell whether a handover is due now.  To be called at intervals far below
 * OVERLOAD_US, since the calls measure the duration of the overload.
 */
bool
overload_handover_due(overload_handover_t *handover,
    const overload_view_t *views, uint32_t count, uint32_t primary,
    int64_t now_us)
{
	if ((handover->handed_over_us != 0 &&
		now_us - handover->handed_over_us < INTERVAL_MIN_US) ||
	    !overloaded(views, count, primary)) {
		handover->overloaded_us = 0;
		return false;
	}
	if (handover->overloaded_us == 0)
		handover->overloaded_us = now_us;
	return now_us - handover->overloaded_us >= OVERLOAD_US;
}

/*
 * Record that a handover to a replica begins now.
 */
void
overload_handover_begun(overload_handover_t *handover, int64_t now_us)
{
	handover->overloaded_us = 0;
	handover->handed_over_us = now_us;
}
