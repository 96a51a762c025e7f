#include "decide.h"

/*
 * Return the size of a majority of count databases.
 */
uint32_t
majority_of(uint32_t count)
{
	return count / 2 + 1;
}

/*
 * Tell whether every future primary is certain to hold the entry at a
 * position.  That is so when a majority, by answers to requests sent at
 * since_us or later, still promises the position's term and has a log that
 * ends in an entry of this same term, at or after the position.
 *
 * A database that has only promised the term does not count: its log may
 * still end in entries of a replaced primary.
 */
bool
majority_holds(const db_view_t *views, uint32_t count, position_t position,
    int64_t since_us)
{
	uint32_t i, holders = 0;

	for (i = 0; i < count; i++) {
		const db_view_t *view = &views[i];

		if (view->known && view->requested_us >= since_us &&
		    view->promised == position.term &&
		    view->last_entry.term == position.term &&
		    view->last_entry.index >= position.index)
			holders++;
	}
	return holders >= majority_of(count);
}
