#include "replica.h"

#include <stddef.h>

/*
 * Return the i-th oldest sample.
 */
static position_sample_t *
sample_at(const position_history_t *history, uint32_t i)
{
	return (position_sample_t *)&history
	    ->samples[(history->first + i) % POSITION_HISTORY_MAX];
}

/*
 * Add a sample; one that is not newer than the last is ignored.  A sample less
 * than spacing_us after the second last replaces the last one, so that a full
 * ring always covers a minimum time.
 */
void
position_history_add(
    position_history_t *history, position_sample_t sample, int64_t spacing_us)
{
	if (history->count > 0 &&
	    sample.at_us <= sample_at(history, history->count - 1)->at_us)
		return;
	if (history->count > 1 &&
	    sample.at_us - sample_at(history, history->count - 2)->at_us <
		spacing_us) {
		*sample_at(history, history->count - 1) = sample;
		return;
	}
	if (history->count == POSITION_HISTORY_MAX) {
		history->first = (history->first + 1) % POSITION_HISTORY_MAX;
		history->count--;
	}
	*sample_at(history, history->count++) = sample;
}

/*
 * Return the age of the newest sample, or INT64_MAX when there is none.
 */
int64_t
position_history_age_us(const position_history_t *history, int64_t now_us)
{
	return history->count == 0
	    ? INT64_MAX
	    : now_us - sample_at(history, history->count - 1)->at_us;
}

/*
 * Return the oldest sample within an age, or NULL: a database that has applied
 * its position has data that are at most max_age_us old.
 */
const position_sample_t *
position_history_find(
    const position_history_t *history, int64_t now_us, int64_t max_age_us)
{
	uint32_t i;

	for (i = 0; i < history->count; i++) {
		if (sample_at(history, i)->at_us >= now_us - max_age_us)
			return sample_at(history, i);
	}
	return NULL;
}

/*
 * Look up the position that a database must have applied for its data to be
 * at most max_age_us old.  Returns false when there is no such sample.
 */
bool
position_history_lookup(const position_history_t *history, int64_t now_us,
    int64_t max_age_us, position_t *needed)
{
	const position_sample_t *sample =
	    position_history_find(history, now_us, max_age_us);

	if (sample == NULL)
		return false;
	*needed = sample->position;
	return true;
}

/*
 * Take a sample from the states of the databases.  Its time is the latest one
 * for which both hold: a majority, by answers to requests sent then or later,
 * still promises the primary's term, so no other primary had acknowledged
 * writes; and the primary was asked for its position no earlier.  Returns
 * false when there is no such majority.
 */
bool
position_sample_take(const db_view_t *views, uint32_t count, uint32_t primary,
    position_sample_t *sample)
{
	const db_view_t *primary_view = &views[primary];
	uint32_t i, j, as_recent, needed = majority_of(count);
	bool found = false;

	if (!primary_view->known || !primary_view->primary ||
	    primary_view->last_entry.term != primary_view->promised)
		return false;
	for (i = 0; i < count; i++) {
		if (!views[i].known ||
		    views[i].promised != primary_view->promised)
			continue;
		for (j = as_recent = 0; j < count; j++)
			as_recent += views[j].known &&
			    views[j].promised == primary_view->promised &&
			    views[j].requested_us >= views[i].requested_us;
		if (as_recent >= needed &&
		    (!found || views[i].requested_us > sample->at_us)) {
			sample->at_us = views[i].requested_us;
			found = true;
		}
	}
	if (found && primary_view->requested_us < sample->at_us)
		sample->at_us = primary_view->requested_us;
	sample->position = primary_view->last_entry;
	return found;
}

/*
 * Make a sample of the log position in an answer of the primary to a request
 * that was sent at sent_us.  Every write acknowledged before sent_us is at or
 * before this position if the lease covers that time; with open orders, every
 * one before checked_us, the latest time at which none of them had taken
 * effect.  Returns false if the lease does not cover it.
 */
bool
position_sample_under_lease(const lease_t *lease, position_t position,
    int64_t sent_us, int64_t checked_us, position_sample_t *sample)
{
	if (position.term != lease->term || lease->expires_us < sent_us)
		return false;
	sample->at_us = sent_us < checked_us ? sent_us : checked_us;
	sample->position = position;
	return true;
}

/*
 * Determine the log position that a replica must have applied to serve a read
 * that arrived at arrived_us: at most max_age_us old, and not before
 * the last write of the session; NULL: the session need not see its own writes.
 * Returns the sample that it rests on, or NULL if no known position is recent
 * enough, so that only the primary may serve the read.
 */
const position_sample_t *
read_required_position(const position_history_t *history, int64_t arrived_us,
    int64_t max_age_us, const position_t *last_write, position_t *required)
{
	const position_sample_t *sample =
	    position_history_find(history, arrived_us, max_age_us);

	if (sample != NULL)
		*required = last_write == NULL
		    ? sample->position
		    : position_max(*last_write, sample->position);
	return sample;
}

/*
 * Choose the least loaded replica that has reached a position.  Returns
 * REPLICA_BUSY when all such replicas are fully loaded, and REPLICA_NONE when
 * there are none.  The primary is never chosen; the caller sends the read to
 * the primary when there is no replica.
 */
int32_t
replica_choose(const db_view_t *views, const replica_load_t *loads,
    uint32_t count, int32_t primary, position_t needed)
{
	int32_t best = REPLICA_NONE;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if ((int32_t)i == primary || !loads[i].usable ||
		    !views[i].known ||
		    position_compare(views[i].last_entry, needed) < 0)
			continue;
		if (loads[i].in_flight >= loads[i].slots) {
			if (best == REPLICA_NONE)
				best = REPLICA_BUSY;
			continue;
		}
		if (best < 0 || loads[i].in_flight < loads[best].in_flight ||
		    (loads[i].in_flight == loads[best].in_flight &&
			position_compare(
			    views[i].last_entry, views[best].last_entry) > 0))
			best = (int32_t)i;
	}
	return best;
}
