#ifndef DECIDE_SPREAD_H
#define DECIDE_SPREAD_H

#include "decide.h"

/* Which database of a group serves a read that several may serve. */

#define SPREAD_NONE (-1)
#define SPREAD_BUSY (-2)

typedef struct spread {
	bool usable; /* it may serve this read */
	bool primary;
	bool same_zone;
	uint32_t slots;
	uint32_t in_flight;     /* of this daemon */
	uint32_t limit;         /* of in_flight */
	uint32_t reported_busy; /* slots, by its own word */
	bool tried;             /* with this statement, in vain */
} spread_t;

int32_t spread_choose(const spread_t *, uint32_t count);
uint32_t spread_limit(uint32_t slots, uint32_t reported_busy, uint32_t rank);

#endif
