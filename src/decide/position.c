#include "decide.h"

/*
 * Order two positions by term, then by index.  Returns -1, 0 or 1.
 */
int32_t
position_compare(position_t a, position_t b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.index != b.index)
		return a.index < b.index ? -1 : 1;
	return 0;
}

/*
 * Tell whether a log ends in an entry of the promised term; from then on it
 * only grows while the promise stands.
 */
static bool
view_settled(const db_view_t *view)
{
	return view->last.term == view->promised;
}

/*
 * Take over what was heard of a database.  Answers may come out of order:
 * one that is older by its promise is passed over; of two with one promise
 * the later question decides, but a log that only grows never shrinks.
 */
void
view_update(db_view_t *view, const db_view_t *heard)
{
	db_view_t old = *view;

	if (old.known && heard->promised < old.promised)
		return;
	if (!old.known || heard->promised > old.promised ||
	    heard->asked_us >= old.asked_us)
		*view = *heard;
	view->known = true;
	if (old.known && heard->promised == old.promised &&
	    view_settled(heard) && view_settled(&old))
		view->last.index = old.last.index > heard->last.index
		    ? old.last.index
		    : heard->last.index;
}
