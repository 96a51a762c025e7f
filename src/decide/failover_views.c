#include "failover_internal.h"
#include "failover_standing.h"

/* Consecutive refused connections that make a primary suspect. */
#define REFUSALS_SUSPECT 2

/*
 * Return the newest term that any database leads or follows.
 */
uint64_t
newest_term(const failover_t *failover)
{
	uint64_t term = 0;
	uint32_t i;

	for (i = 0; i < failover->count; i++) {
		if (failover->views[i].known)
			term = MAX(term, failover->views[i].term);
	}
	return term;
}

/*
 * Return the database that reports itself as primary in the highest term, or
 * -1, also if a newer term has begun.  One that has likely ended is none.  The
 * result is only a hint: a majority may already have promised a newer term.
 */
int32_t
failover_primary(const failover_t *failover)
{
	uint64_t newest = newest_term(failover);
	int32_t best = -1;
	uint32_t i;

	for (i = 0; i < failover->count; i++) {
		const db_view_t *view = &failover->views[i];

		if (view->known && view->primary && !view->likely_ended &&
		    view->promised >= newest &&
		    (best < 0 ||
			view->promised > failover->views[best].promised))
			best = (int32_t)i;
	}
	return best;
}

/*
 * Return the highest term that any database is known to have promised.
 */
uint64_t
highest_promised_term(const failover_t *failover)
{
	uint64_t term = 0;
	uint32_t i;

	for (i = 0; i < failover->count; i++) {
		if (failover->views[i].known)
			term = MAX(term, failover->views[i].promised);
	}
	return term;
}

/*
 * Return the number of databases that have answered at least once.
 */
uint32_t
known_count(const failover_t *failover)
{
	uint32_t i, n = 0;

	for (i = 0; i < failover->count; i++)
		n += failover->views[i].known;
	return n;
}

/*
 * Process a status answer of a database whose promises only increase: an
 * answer with an older promise is outdated and ignored.
 */
void
failover_merge_view(failover_t *failover, uint32_t database,
    const db_view_t *answer, int64_t now_us)
{
	db_view_t *view = &failover->views[database];
	position_t before = view->last_entry;

	db_view_merge(view, answer);
	failover_alive(failover, database, now_us);
	failover->turned_away_since_us[database] = 0;
	if (position_compare(view->last_entry, before) != 0)
		failover->log_grown_us[database] = now_us;
}

/*
 * Process a status answer of a database that can withdraw a promise: the
 * answer to the latest request replaces what was known, also with an older
 * promise.  A promise that it no longer has does not count for the attempt.
 */
void
failover_replace_view(failover_t *failover, uint32_t database,
    const db_view_t *answer, int64_t now_us)
{
	db_view_t *view = &failover->views[database];

	failover_alive(failover, database, now_us);
	failover->turned_away_since_us[database] = 0;
	if (view->known && answer->requested_us < view->requested_us)
		return;
	if (position_compare(view->last_entry, answer->last_entry) != 0)
		failover->log_grown_us[database] = now_us;
	*view = *answer;
	view->known = true;
	standing_note_shown(failover, view->promised, now_us);
	if (failover->state == FAILOVER_FENCING &&
	    view->promised < failover->fenced_term)
		failover->granted[database] = false;
	if (view->promised < failover->term)
		failover->standing[database] = false;
}

/*
 * Process the log position that a database sent with an answer other than a
 * status answer.
 */
void
failover_position_seen(
    failover_t *failover, uint32_t database, position_t position)
{
	db_view_t *view = &failover->views[database];

	if (!view->known || position_compare(position, view->last_entry) <= 0)
		return;
	view->last_entry = position;
	if (position.term <= view->promised)
		return;
	/* the position does not tell which database is primary in its term */
	view->promised = position.term;
	view->primary = false;
}

/*
 * Record that nothing has been sent to a database that it should have
 * answered, so that the time without an answer does not make it unresponsive.
 */
void
failover_not_probed(failover_t *failover, uint32_t database, int64_t now_us)
{
	failover->last_alive_us[database] = now_us;
}

/*
 * Record that a database has answered, whatever the answer was.
 */
void
failover_alive(failover_t *failover, uint32_t database, int64_t now_us)
{
	failover->last_alive_us[database] = now_us;
	failover->connect_refusals[database] = 0;
	failover->reset_since_us[database] = 0;
}

/*
 * Tell whether a database answers: its state is known, and not too old, and it
 * has refused no connection since.
 */
bool
failover_answers(const failover_t *failover, uint32_t database, int64_t now_us)
{
	return failover->views[database].known &&
	    !failover->views[database].likely_ended &&
	    failover->connect_refusals[database] == 0 &&
	    now_us - failover->last_alive_us[database] <
	    failover->limits.suspect_us;
}

/*
 * Record that a database turned a connection away.  It is alive, but has not
 * reported its role.
 */
void
failover_turned_away(failover_t *failover, uint32_t database, int64_t now_us)
{
	failover_alive(failover, database, now_us);
	if (failover->turned_away_since_us[database] == 0)
		failover->turned_away_since_us[database] = now_us;
}

/*
 * Record that a connection to a database was reset before it answered.  One
 * that is full may have turned it away, and its answer was lost, so it counts
 * as alive; but for turned_away_us only, since something between may reset the
 * connections in its place.  Refusals meanwhile count on.  Returns whether it
 * counts as alive.
 */
bool
failover_connection_reset(
    failover_t *failover, uint32_t database, int64_t now_us)
{
	if (failover->turned_away_since_us[database] == 0)
		failover->turned_away_since_us[database] = now_us;
	if (failover->reset_since_us[database] == 0)
		failover->reset_since_us[database] = now_us;
	if (now_us - failover->reset_since_us[database] >=
	    failover->limits.turned_away_us)
		return false;
	failover->last_alive_us[database] = now_us;
	return true;
}

/*
 * Record that a database refused a connection.  REFUSALS_SUSPECT refusals in a
 * row make a primary suspect at once, without waiting for a time limit.
 */
void
failover_connection_refused(
    failover_t *failover, uint32_t database, int64_t now_us)
{
	(void)now_us;
	failover->connect_refusals[database]++;
	failover->turned_away_since_us[database] = 0;
}

/*
 * Tell whether a database that has not reported its role, since it turns
 * connections away, may be the primary and serve other daemons.
 */
bool
full_primary_possible(const failover_t *failover, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < failover->count; i++) {
		int64_t since_us = failover->turned_away_since_us[i];

		if (!failover->views[i].known && since_us != 0 &&
		    now_us - since_us < failover->limits.turned_away_us)
			return true;
	}
	return false;
}

/*
 * Tell whether the primary has not answered for limit_us, has repeatedly
 * refused connections, or is not among the databases that may be it.
 */
bool
primary_unresponsive(
    const failover_t *failover, int64_t now_us, int64_t limit_us)
{
	int32_t primary = failover_primary(failover);

	if (primary < 0)
		return !full_primary_possible(failover, now_us);
	return failover->connect_refusals[primary] >= REFUSALS_SUSPECT ||
	    now_us - failover->last_alive_us[primary] >= limit_us;
}

/*
 * Tell whether the primary is unresponsive, or there is none, while a majority
 * of the group answers, so that a failover is possible.
 */
bool
failover_primary_suspected(const failover_t *failover, int64_t now_us)
{
	uint32_t i, answering = 0;

	for (i = 0; i < failover->count; i++)
		answering += failover_answers(failover, i, now_us);
	return answering >= majority_of(failover->count) &&
	    primary_unresponsive(failover, now_us, failover->limits.suspect_us);
}

/*
 * Set the send time of the oldest write that no majority has confirmed yet; 0
 * when there is none.
 */
void
failover_set_unconfirmed(failover_t *failover, int64_t since_us)
{
	failover->unconfirmed_since_us = since_us;
}

/*
 * Tell whether the primary is isolated from its replicas although it answers
 * this daemon: a write has waited for a majority for long, and a majority of
 * databases answer but are behind the primary without any progress.  A
 * replica that only lags does make progress.
 */
bool
primary_isolated(const failover_t *failover, int64_t now_us)
{
	int64_t limit_us = failover->limits.witness_override_us;
	int32_t primary = failover_primary(failover);
	uint32_t i, behind = 0;

	if (failover->unconfirmed_since_us == 0 ||
	    now_us - failover->unconfirmed_since_us < limit_us)
		return false;
	for (i = 0; i < failover->count; i++) {
		if ((int32_t)i == primary ||
		    now_us - failover->last_alive_us[i] >= limit_us)
			continue;
		if (now_us - failover->log_grown_us[i] < limit_us ||
		    position_compare(failover->views[i].last_entry,
			failover->views[primary].last_entry) >= 0)
			return false;
		behind++;
	}
	return behind >= majority_of(failover->count);
}

/*
 * Tell whether the log of any database ends in a newer term than the
 * primary's.  Then the primary has been replaced, even if its successor has
 * not reported itself as primary yet.
 */
bool
primary_replaced(const failover_t *failover)
{
	int32_t primary = failover_primary(failover);
	uint32_t i;

	for (i = 0; primary >= 0 && i < failover->count; i++) {
		if (failover->views[i].known &&
		    failover->views[i].last_entry.term >
			failover->views[primary].promised)
			return true;
	}
	return false;
}
