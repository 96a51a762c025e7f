#include "spread.h"

/* A database in another zone must be this much emptier to be preferred. */
#define OTHER_ZONE_LOAD 0.1

/* The primary has work that nobody else can do. */
#define PRIMARY_LOAD 0.5

/* A database that a statement was put to in vain comes last. */
#define TRIED_LOAD 1000

/* A database with so many times its slots at work or waiting is saturated. */
#define SATURATED_TIMES 2

/*
 * How many statements a daemon has at a database at once, when the next is of
 * this rank.  At a saturated one most would wait there, first come first
 * served; so only urgent ones fill the slots, and the others wait in the
 * daemon, by rank.
 */
uint32_t
spread_limit(uint32_t slots, uint32_t reported_busy, uint32_t rank)
{
	return rank == 0 || reported_busy < SATURATED_TIMES * slots ? slots : 1;
}

/*
 * How busy a candidate seems, in parts of its slots: what this daemon runs
 * there, and what it reported when it was last asked, whichever is more.
 */
static double
load_of(const spread_t *candidate)
{
	uint32_t running = candidate->in_flight > candidate->reported_busy
	    ? candidate->in_flight
	    : candidate->reported_busy;
	double load =
	    (double)(running + candidate->in_flight) / (2.0 * candidate->slots);

	if (!candidate->same_zone)
		load += OTHER_ZONE_LOAD;
	if (candidate->primary)
		load += PRIMARY_LOAD;
	if (candidate->tried)
		load += TRIED_LOAD;
	return load;
}

/*
 * The least loaded database that may serve a read; SPREAD_BUSY when those
 * that may are full, SPREAD_NONE when there are none.
 */
int32_t
spread_choose(const spread_t *candidates, uint32_t count)
{
	int32_t best = SPREAD_NONE;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (!candidates[i].usable)
			continue;
		if (candidates[i].in_flight >= candidates[i].limit) {
			if (best == SPREAD_NONE)
				best = SPREAD_BUSY;
			continue;
		}
		if (best < 0 ||
		    load_of(&candidates[i]) < load_of(&candidates[best]))
			best = (int32_t)i;
	}
	return best;
}
