#include "relief.h"

/* A primary with so many times its slots to do is strained. */
#define STRAINED_TIMES 2

/* For so long, before anything is done: a change takes half of it. */
#define STRAINED_US US_PER_SECOND

/* A replica that is further behind serves no read of a usual stated age. */
#define LAG_MS 3000

/* A replica that lacks more has not received all. */
#define ENTRIES_BEHIND_MAX 20

/* Between two changes for this reason. */
#define AGAIN_US (8 * US_PER_SECOND)

/*
 * Tell whether a replica has received nearly all that the primary has.
 */
static bool
has_received(const relief_view_t *replica, const relief_view_t *primary)
{
	return replica->received.term == primary->received.term &&
	    replica->received.index + ENTRIES_BEHIND_MAX >=
	    primary->received.index;
}

/*
 * Tell whether the primary is strained since no replica can serve reads, and
 * one of them could lead.
 */
static bool
strained(const relief_view_t *views, uint32_t count, uint32_t primary)
{
	const relief_view_t *leader = &views[primary];
	bool can_lead = false;
	uint32_t i;

	if (leader->reported_busy < STRAINED_TIMES * leader->slots)
		return false;
	for (i = 0; i < count; i++) {
		if (i == primary || !views[i].usable)
			continue;
		if (views[i].lag_ms < LAG_MS)
			return false;
		can_lead |= has_received(&views[i], leader);
	}
	return can_lead;
}

/*
 * Decide whether a replica is to take the lead now.  Called often.
 */
bool
relief_due(relief_t *relief, const relief_view_t *views, uint32_t count,
    uint32_t primary, int64_t now_us)
{
	if ((relief->relieved_us != 0 &&
		now_us - relief->relieved_us < AGAIN_US) ||
	    !strained(views, count, primary)) {
		relief->strained_us = 0;
		return false;
	}
	if (relief->strained_us == 0)
		relief->strained_us = now_us;
	return now_us - relief->strained_us >= STRAINED_US;
}

/*
 * A replica takes the lead now.
 */
void
relief_given(relief_t *relief, int64_t now_us)
{
	relief->strained_us = 0;
	relief->relieved_us = now_us;
}
