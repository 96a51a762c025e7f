#ifndef DECIDE_RELIEF_H
#define DECIDE_RELIEF_H

#include "decide.h"

/*
 * When a primary has to serve all reads alone, because no replica has applied
 * what they need.  A database that is promoted has applied all it had
 * received, and the one that led before serves reads: so a change of primary
 * gives the group a second database that is up to date.
 */

typedef struct relief_view {
	bool usable;
	uint32_t slots;
	uint32_t reported_busy;
	uint32_t lag_ms; /* of what it has applied */
	position_t received;
} relief_view_t;

typedef struct relief {
	int64_t strained_us; /* since; 0: not */
	int64_t relieved_us; /* the last time */
} relief_t;

bool relief_due(relief_t *, const relief_view_t *, uint32_t count,
    uint32_t primary, int64_t now_us);
void relief_given(relief_t *, int64_t now_us);

#endif
