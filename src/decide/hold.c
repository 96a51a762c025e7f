#include "decide.h"

/*
 * How many of count databases are a majority.
 */
uint32_t
majority_of(uint32_t count)
{
	return count / 2 + 1;
}

/*
 * Tell whether every later primary must hold the entry at this position: a
 * majority, asked at since_us or later, still promises the position's term,
 * and has a log that ends in an entry of that very term at or past it.
 *
 * A database that has merely promised the term is no holder: its log may
 * still end in entries of another term's history.
 */
bool
hold_confirmed(const db_view_t *views, uint32_t count, position_t position,
    int64_t since_us)
{
	uint32_t i, holders = 0;

	for (i = 0; i < count; i++) {
		const db_view_t *view = &views[i];

		if (view->known && view->asked_us >= since_us &&
		    view->promised == position.term &&
		    view->last.term == position.term &&
		    view->last.index >= position.index)
			holders++;
	}
	return holders >= majority_of(count);
}
