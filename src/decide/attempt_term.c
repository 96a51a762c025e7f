#include "decide.h"

/*
 * Numbers of attempts at a failover: the terms that databases promise for them.
 *
 * A promotion ends the promises for the term that it begins and for older ones.
 * One for a much newer term remains, a standing promise.  Its number names the
 * newest term whose primary the attempt is to replace, so that a database that
 * holds it tells of the order to everybody who asks.  Numbers below
 * STANDING_MIN are ordinary ones, the next term as far as it is known. Ordinary
 * numbers above it have all of the lower bits set.
 */
#define REPLACED_BITS 20
#define REPLACED_MASK ((UINT64_C(1) << REPLACED_BITS) - 1)
#define STANDING_MIN (UINT64_C(1) << REPLACED_BITS)

/*
 * Return the number of the next attempt.  newest: the highest number that is
 * known.
 */
uint64_t
attempt_term_next(uint64_t newest)
{
	uint64_t next = newest + 1;

	return next < STANDING_MIN ? next : next | REPLACED_MASK;
}

/*
 * Return the next number for a standing promise, or 0 if it cannot name the
 * term that is replaced.
 */
uint64_t
attempt_term_standing(uint64_t newest, uint64_t replaced_term)
{
	if (replaced_term == 0 || replaced_term >= REPLACED_MASK)
		return 0;
	return (((newest >> REPLACED_BITS) + 1) << REPLACED_BITS) |
	    replaced_term;
}

/*
 * Return the newest term whose primary the attempt of a standing promise is to
 * replace; 0 if the number is an ordinary one.
 */
uint64_t
attempt_term_replaces(uint64_t attempt)
{
	uint64_t replaced_term = attempt & REPLACED_MASK;

	return attempt < STANDING_MIN || replaced_term == REPLACED_MASK
	    ? 0
	    : replaced_term;
}
