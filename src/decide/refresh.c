#include "refresh.h"

/*
 * Intervals of the requests to the store.  Load it answers: hundreds of daemons
 * that start together with the servers, so that the store changes for seconds
 * and each change ends the watches of all daemons.  A change after a quiet time
 * is read at once.
 */

/* Minimum interval between two requests; doubles while changes follow fast. */
#define DOUBLINGS_MAX 2
#define INTERVAL_US \
	(REFRESH_INTERVAL_MAX_MS * INT64_C(1000) / (1 << DOUBLINGS_MAX))

/* Time between two requests after which the changes do not follow fast. */
#define QUIET_US US_PER_SECOND

/*
 * Time for which a list that may be old is requested again when it lacks a
 * change that is known.  Such a list costs the store little.
 */
#define OLD_LISTS_US (500 * INT64_C(1000))

/*
 * Number of objects up to which a list that may be old is cheaper for the store
 * than the changes.
 */
#define SHORT_LIST_MAX 500

/*
 * Return the time from which the next request may be made.
 */
int64_t
refresh_due_us(const refresh_t *refresh)
{
	return refresh->requested_us == 0
	    ? 0
	    : refresh->requested_us + (INTERVAL_US << refresh->doublings);
}

/*
 * Note a request.
 */
void
refresh_requested(refresh_t *refresh, int64_t now_us)
{
	if (refresh->requested_us == 0 ||
	    now_us - refresh->requested_us > QUIET_US)
		refresh->doublings = 0;
	else if (refresh->doublings < DOUBLINGS_MAX)
		refresh->doublings++;
	refresh->requested_us = now_us;
}

/*
 * Tell whether a list that may be old will do.  wanted_us: time at which a
 * change was learned that no list had yet.
 */
bool
refresh_accepts_old(int64_t wanted_us, int64_t now_us)
{
	return now_us - wanted_us < OLD_LISTS_US;
}

/*
 * Tell whether a change that is known is to be read with the whole list, not
 * with the changes since the last one.  followed: another daemon watches the
 * store for this one.  length: number of objects in the last list.
 */
bool
refresh_by_list(bool followed, uint32_t length)
{
	return followed && length <= SHORT_LIST_MAX;
}
