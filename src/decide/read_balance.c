#include "read_balance.h"

/*
 * Amounts that are added to the load of a database, which is 1 when all its
 * slots are used: for a database in another zone; for the primary, since only
 * the primary can run writes; and for a database where the statement has
 * failed, so that it is chosen last.
 */
#define OTHER_ZONE_LOAD 0.1
#define PRIMARY_LOAD 0.5
#define TRIED_LOAD 1000

/*
 * A database is saturated when it reports this many times as many statements
 * as it has slots.
 */
#define SATURATION_FACTOR 2

/*
 * Return the maximum number of statements in flight from a daemon to a database
 * when the next statement has this rank.  A saturated database queues
 * statements in order of arrival, whatever their rank, so then only the most
 * urgent rank may use all slots.  The others are sent while this daemon has
 * none in flight there, and otherwise wait in its queue, ordered by rank.
 */
uint32_t
concurrency_limit(uint32_t slots, uint32_t reported_busy, uint32_t rank)
{
	return rank == 0 || reported_busy < SATURATION_FACTOR * slots ? slots
								      : 1;
}

/*
 * Return the load of a candidate as a fraction of its slots, with the amounts
 * added above.  The load is the mean of this daemon's statements there and the
 * number last reported, where the latter counts as no less than the former.
 */
static double
load_of(const read_candidate_t *candidate)
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
 * Choose the least loaded database that can serve a read.  Returns
 * READ_BALANCE_BUSY when all such databases are at their limits, and
 * READ_BALANCE_NONE when there are none.
 */
int32_t
read_balance_choose(const read_candidate_t *candidates, uint32_t count)
{
	int32_t best = READ_BALANCE_NONE;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (!candidates[i].usable)
			continue;
		if (candidates[i].in_flight >= candidates[i].limit) {
			if (best == READ_BALANCE_NONE)
				best = READ_BALANCE_BUSY;
			continue;
		}
		if (best < 0 ||
		    load_of(&candidates[i]) < load_of(&candidates[best]))
			best = (int32_t)i;
	}
	return best;
}
