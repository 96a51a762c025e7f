#include "decide.h"

/*
 * Compare two positions by term, then by index.  Returns -1, 0 or 1.
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
 * Return the later one of two positions.
 */
position_t
position_max(position_t a, position_t b)
{
	return position_compare(a, b) < 0 ? b : a;
}

/*
 * Tell whether a log ends in an entry of the promised term.  From then on the
 * log is only appended to, never truncated, while the promise stands.
 */
static bool
log_append_only(const db_view_t *view)
{
	return view->last_entry.term == view->promised;
}

/*
 * Merge a status answer into what is known of a database.  Answers may arrive
 * out of order.  An answer with an older promise is ignored.  Between two
 * answers with the same promise, the one to the later request wins; but the
 * last entry of an append-only log never moves back.
 */
void
db_view_merge(db_view_t *view, const db_view_t *answer)
{
	db_view_t old = *view;

	if (old.known && answer->promised < old.promised)
		return;
	if (!old.known || answer->promised > old.promised ||
	    answer->requested_us >= old.requested_us)
		*view = *answer;
	view->known = true;
	if (old.known && answer->promised == old.promised &&
	    log_append_only(answer) && log_append_only(&old))
		view->last_entry.index =
		    old.last_entry.index > answer->last_entry.index
		    ? old.last_entry.index
		    : answer->last_entry.index;
}
