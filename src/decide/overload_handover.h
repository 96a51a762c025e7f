#ifndef DECIDE_OVERLOAD_HANDOVER_H
#define DECIDE_OVERLOAD_HANDOVER_H

#include "decide.h"

/*
 * Handover to a replica when the primary is overloaded because it serves all
 * reads alone, as the replicas lag too far behind in applying their logs.  A
 * promoted replica first applies all that it has received, and the former
 * primary then serves reads, so the group has two databases that are up to
 * date.
 */

/* Load and replication state of one database. */
typedef struct overload_view {
	bool usable;
	uint32_t slots;
	uint32_t reported_busy; /* statements running or waiting in it */
	uint32_t lag_ms;        /* age of the newest data that it applied */
	position_t received;    /* end of its log, applied or not */
} overload_view_t;

/* State of the detection of an overload, for one group. */
typedef struct overload_handover {
	/* start of the overload; 0: none */
	int64_t overloaded_us;
	/* start of the last handover because of overload; 0: none */
	int64_t handed_over_us;
} overload_handover_t;

bool overload_handover_due(overload_handover_t *, const overload_view_t *,
    uint32_t count, uint32_t primary, int64_t now_us);
void overload_handover_begun(overload_handover_t *, int64_t now_us);

#endif
