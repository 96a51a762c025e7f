#include "failover_choice.h"
#include "failover_standing.h"

#include <string.h>

#define BACKOFF_DOUBLINGS_MAX 4

/* Consecutive refused connections that make a primary suspect. */
#define REFUSALS_SUSPECT 2

/* Interval at which FOLLOW is repeated. */
#define FOLLOW_INTERVAL_US (US_PER_SECOND / 5)

/*
 * Age from which a promise above the primary's term counts as left behind by
 * a failover that was never completed.
 */
#define STRAY_PROMISE_US (US_PER_SECOND / 2)

/*
 * Interval at which the daemons are told of a new term until they confirm it,
 * and after that while a promise that should be withdrawn is still there and
 * may not be.
 */
#define NOTICE_INTERVAL_US (US_PER_SECOND / 5)
#define NOTICE_REPEAT_US (3 * US_PER_SECOND)

/*
 * A promise may be withdrawn within NOTICE_VALID_US after all daemons have
 * confirmed a new term, or a majority of them NOTICE_ALL_US after the first
 * notice.  A later answer could report a newer term.
 */
#define NOTICE_VALID_US (US_PER_SECOND / 2)
#define NOTICE_ALL_US (3 * US_PER_SECOND)

/*
 * Longest time between two calls of failover_tick() in an attempt.  What a
 * process knows of the databases is out of date after a longer pause.
 */
#define TICK_GAP_MAX_US (US_PER_SECOND * 2 / 5)

/* Time for the databases to answer before a failover is attempted. */
#define LEARNING_US (US_PER_SECOND / 4)

/*
 * Enter a state.  Its time limit is counted from now on.
 */
static void
enter_state(failover_t *failover, failover_state_t state, int64_t now_us)
{
	failover->state = state;
	failover->state_entered_us = now_us;
}

/*
 * Initialize the failover of a group of count databases whose state is not
 * known yet.  The seed determines the random back-offs.
 */
void
failover_init(failover_t *failover, const failover_limits_t *limits,
    uint32_t count, uint32_t seed, int64_t now_us)
{
	uint32_t i;

	memset(failover, 0, sizeof(*failover));
	failover->limits = *limits;
	failover->count = count;
	failover->rand = g_rand_new_with_seed(seed);
	failover->wait_until_us = now_us + LEARNING_US;
	failover->isolated = -1;
	failover->stepping_down = -1;
	for (i = 0; i < count; i++)
		failover->last_alive_us[i] = now_us;
	enter_state(failover, FAILOVER_LEARNING, now_us);
}

/*
 * Free what failover_init() allocated.
 */
void
failover_clear(failover_t *failover)
{
	g_rand_free(failover->rand);
	failover->rand = NULL;
}

/*
 * Return the new index of a database that had the index old, or -1 when it is
 * no longer in the group.
 */
static int32_t
new_index(const int32_t *old_index, uint32_t count, int32_t old)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (old >= 0 && old_index[i] == old)
			return (int32_t)i;
	}
	return -1;
}

/*
 * Change the databases of the group: the database with index i had index
 * old_index[i] before, or is new when that is negative.  A failover under way
 * continues unless the database to be promoted, or the primary that hands over,
 * has left the group.
 */
void
failover_remap(failover_t *failover, const int32_t *old_index, uint32_t count,
    int64_t now_us)
{
	failover_t old = *failover;
	int32_t chosen = new_index(old_index, count, (int32_t)old.chosen);
	uint32_t i;

	failover->count = count;
	failover->isolated = new_index(old_index, count, old.isolated);
	failover->stepping_down =
	    new_index(old_index, count, old.stepping_down);
	for (i = 0; i < count; i++) {
		int32_t j = old_index[i];

		memset(&failover->views[i], 0, sizeof(failover->views[i]));
		failover->last_alive_us[i] = now_us;
		failover->connect_refusals[i] = 0;
		failover->turned_away_since_us[i] = 0;
		failover->granted[i] = failover->standing[i] = false;
		failover->follow_sent_us[i] = failover->log_grown_us[i] = 0;
		if (j < 0)
			continue;
		failover->views[i] = old.views[j];
		failover->last_alive_us[i] = old.last_alive_us[j];
		failover->connect_refusals[i] = old.connect_refusals[j];
		failover->turned_away_since_us[i] = old.turned_away_since_us[j];
		failover->granted[i] = old.granted[j];
		failover->granted_position[i] = old.granted_position[j];
		failover->standing[i] = old.standing[j];
		failover->follow_sent_us[i] = old.follow_sent_us[j];
		failover->log_grown_us[i] = old.log_grown_us[j];
	}
	if ((old.state == FAILOVER_PROMOTING && chosen < 0) ||
	    (old.stepping_down >= 0 && failover->stepping_down < 0)) {
		failover->wait_until_us = now_us;
		enter_state(failover, FAILOVER_LEARNING, now_us);
	}
	failover->chosen = chosen < 0 ? 0 : (uint32_t)chosen;
	failover->order.database =
	    new_index(old_index, count, old.order.database);
	failover->order_before.database =
	    new_index(old_index, count, old.order_before.database);
}

/*
 * Return the newest term that any database leads or follows.
 */
static uint64_t
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
 * -1, also if a newer term has begun.  The result is only a hint: a majority
 * may already have promised a newer term.
 */
int32_t
failover_primary(const failover_t *failover)
{
	uint64_t newest = newest_term(failover);
	int32_t best = -1;
	uint32_t i;

	for (i = 0; i < failover->count; i++) {
		const db_view_t *view = &failover->views[i];

		if (view->known && view->primary && view->promised >= newest &&
		    (best < 0 ||
			view->promised > failover->views[best].promised))
			best = (int32_t)i;
	}
	return best;
}

/*
 * Return the highest term that any database is known to have promised.
 */
static uint64_t
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
static uint32_t
known_count(const failover_t *failover)
{
	uint32_t i, n = 0;

	for (i = 0; i < failover->count; i++)
		n += failover->views[i].known;
	return n;
}

/*
 * Give up an attempt and wait for a random time before the next.  The range
 * of the wait doubles with each failure, so that of two daemons that compete
 * one soon succeeds.
 */
static void
back_off(failover_t *failover, int64_t now_us)
{
	uint32_t doublings = MIN(failover->failures, BACKOFF_DOUBLINGS_MAX);
	int64_t base_us = failover->limits.backoff_us << doublings;

	failover->failures++;
	/* requested again if it is still due */
	failover->handover &= !failover->limits.revocable;
	failover->isolated = -1;
	failover->stepping_down = -1;
	failover->wait_until_us = now_us +
	    (int64_t)(g_rand_double(failover->rand) * (double)base_us) +
	    failover->limits.backoff_us / 4;
	enter_state(failover, FAILOVER_BACKOFF, now_us);
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
 * Tell whether a term is that of the attempt under way, or was until its
 * promises became standing ones.
 */
static bool
attempt_under_way(const failover_t *failover, uint64_t term)
{
	return failover->state == FAILOVER_FENCING &&
	    (term == failover->term || term == failover->fenced_term);
}

/*
 * Record that a majority of the daemons, or all of them, have confirmed that
 * they revoked their leases below a term and know of no newer failover.
 */
void
failover_leases_revoked(
    failover_t *failover, uint64_t term, bool all, int64_t now_us)
{
	if (term == failover->notice_term &&
	    (all || now_us - failover->notice_began_us >= NOTICE_ALL_US))
		failover->notice_confirmed_us = now_us;
	if (!attempt_under_way(failover, term))
		return;
	failover->revoked_by_most_us = now_us;
	failover->revoked_by_all |= all;
}

/*
 * Give up the attempt in this term, since a daemon has reported a newer
 * failover by another daemon.
 */
void
failover_superseded(failover_t *failover, uint64_t term, int64_t now_us)
{
	if (attempt_under_way(failover, term))
		back_off(failover, now_us);
}

/*
 * Process the newest term in which this or another daemon knows a primary.  An
 * attempt for no newer term is given up: the promises would not end leases on
 * that primary.  So is one whose standing promises name an older term.
 */
void
failover_term_reported(failover_t *failover, uint64_t term, int64_t now_us)
{
	failover->reported_term = MAX(failover->reported_term, term);
	if (failover->state == FAILOVER_FENCING &&
	    (failover->term <= term ||
		(attempt_term_replaces(failover->term) != 0 &&
		    attempt_term_replaces(failover->term) < term)))
		back_off(failover, now_us);
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
}

/*
 * Tell whether a database answers: its state is known, and not too old.
 */
bool
failover_answers(const failover_t *failover, uint32_t database, int64_t now_us)
{
	return failover->views[database].known &&
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
static bool
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
static bool
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
static bool
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
 * Return the highest number of a term or attempt that is known.
 */
static uint64_t
newest_number(const failover_t *failover)
{
	return MAX(
	    MAX(highest_promised_term(failover), failover->reported_term),
	    failover->recorded.attempt_term);
}

/*
 * Return the newest term whose primary the current attempt is to replace.
 */
uint64_t
failover_term_to_replace(const failover_t *failover)
{
	return MAX(MAX(failover->fenced_from_term, failover->reported_term),
	    failover->shown_replaced);
}

/*
 * Return the number of the next attempt.  Its promises replace those that are
 * held now.  If these may be all that is left of an order, the new ones tell of
 * it as well.
 */
static uint64_t
next_attempt(failover_t *failover)
{
	uint64_t newest = newest_number(failover), standing;

	if (failover->unproven_attempt <= failover->stored_attempt)
		return attempt_term_next(newest);
	standing =
	    attempt_term_standing(newest, failover_term_to_replace(failover));
	if (standing == 0)
		return attempt_term_next(newest);
	standing_begin(failover, standing);
	return standing;
}

/*
 * Tell whether an order to replace the primary was recorded, or may have been
 * sent without, but no newer primary is seen: it may have been promoted and be
 * out of reach.
 */
static bool
maybe_replaced(const failover_t *failover)
{
	int32_t primary = failover_primary(failover);

	return failover->limits.revocable &&
	    (failover->unaware_since_us != 0 ||
		recorded_orders_may_replace(&failover->recorded,
		    failover->views[primary].promised,
		    failover->views[primary].key));
}

/*
 * Tell whether the primary has been leaving for so long that nobody uses it,
 * and is replaced by a database without its whole log, since none that answers
 * can have it.
 */
static bool
replaces_expired(const failover_t *failover, int64_t now_us)
{
	int32_t primary = failover_primary(failover);

	return primary >= 0 && failover->views[primary].leaving &&
	    failover->views[primary].expired &&
	    !failover_successor_answers(failover, now_us) &&
	    failover_staying_answers(failover, now_us);
}

/*
 * Tell whether there is a primary that steps down alone in a handover.
 */
static bool
can_hand_over(const failover_t *failover, int64_t now_us)
{
	return failover->limits.catch_up_us > 0 &&
	    failover_primary(failover) >= 0 &&
	    !replaces_expired(failover, now_us);
}

/*
 * Tell whether a primary that is leaving can be replaced now.
 */
bool
failover_handover_possible(const failover_t *failover, int64_t now_us)
{
	return failover_successor_answers(failover, now_us) ||
	    replaces_expired(failover, now_us);
}

/*
 * Tell whether an attempt can succeed: a database that can take over answers.
 * Otherwise no promise is asked for, since those that hold leases on the newest
 * primary would lose them in vain.
 */
static bool
attempt_possible(failover_t *failover, int64_t now_us)
{
	failover->no_candidate =
	    !(failover->handover && can_hand_over(failover, now_us)
		    ? failover_successor_answers(failover, now_us)
		    : failover_candidate_answers(failover, now_us));
	return !failover->no_candidate;
}

/*
 * Tell whether so many databases answer that an attempt may obtain the promises
 * that it needs.  Otherwise those that it obtains only keep daemons that reach
 * the primary from a lease on it.
 */
static bool
promises_possible(const failover_t *failover, int64_t now_us)
{
	uint32_t i, answering = 0;

	for (i = 0; i < failover->count; i++)
		answering += (int32_t)i != failover->isolated &&
		    failover_answers(failover, i, now_us);
	return answering >= grants_needed(failover);
}

/*
 * Ask every database to promise a term above all known ones and those of
 * recorded orders.  An isolated primary is left out, since it is ahead of the
 * others and would be chosen again.  In a handover that waits for a replica to
 * catch up, only the primary itself is asked, and thereby steps down; unless it
 * may have been replaced, as its own promise does not end leases on a newer
 * one.  Nothing is asked while too few databases answer; the attempt is then
 * due again at the next tick.
 */
static void
start_fencing(failover_t *failover, bool handover, int64_t now_us,
    failover_actions_t *actions)
{
	int32_t primary = failover_primary(failover);
	bool doubt = primary >= 0 && maybe_replaced(failover);
	bool hands_over = handover && can_hand_over(failover, now_us);
	uint32_t i;

	if ((!hands_over || doubt) && !promises_possible(failover, now_us)) {
		failover->isolated = -1;
		return;
	}
	failover->doubtful = hands_over && doubt;
	failover->fenced_from_term = newest_term(failover);
	failover->term = failover->fenced_term = next_attempt(failover);
	failover->standing_asked = false;
	memset(failover->granted, 0, sizeof(failover->granted));
	memset(failover->standing, 0, sizeof(failover->standing));
	failover->revocation_sent = failover->revoked_by_all = false;
	failover->revoked_by_most_us = 0;
	failover->stepping_down = hands_over ? primary : -1;
	for (i = 0; i < failover->count; i++) {
		/* one that has not answered may hold a standing promise */
		if ((int32_t)i == failover->isolated ||
		    (failover->limits.revocable && !failover->views[i].known) ||
		    (failover->stepping_down >= 0 && !failover->doubtful &&
			(int32_t)i != failover->stepping_down))
			continue;
		actions->list[actions->count++] =
		    (failover_action_t){FAILOVER_FENCE, i, failover->term};
	}
	enter_state(failover, FAILOVER_FENCING, now_us);
}

/*
 * Process the answer of the witness.  When the witness reaches the primary,
 * the failover waits until the primary has not answered for
 * witness_override_us.
 */
void
failover_witness_answered(
    failover_t *failover, uint64_t request, bool reached, int64_t now_us)
{
	if (failover->state != FAILOVER_WITNESS ||
	    request != failover->witness_request)
		return;
	if (reached) {
		failover->wait_until_us = now_us + failover->limits.suspect_us;
		enter_state(failover, FAILOVER_BACKOFF, now_us);
	} else {
		/* expire the time limit: the next tick starts to fence */
		failover->state_entered_us =
		    now_us - failover->limits.witness_us;
	}
}

/*
 * Process the answer to FENCE.  Only a promise of the current attempt's term
 * counts, with the position that the log had at that moment.
 */
void
failover_fence_answered(failover_t *failover, uint32_t database, uint64_t term,
    bool granted, const db_view_t *view, int64_t now_us)
{
	failover_merge_view(failover, database, view, now_us);
	if (!attempt_under_way(failover, term))
		return;
	if (attempt_term_replaces(term) != 0)
		granted &= view->promised == term;
	if (granted && attempt_term_replaces(term) != 0)
		failover->standing[database] = true;
	if (granted && term == failover->fenced_term) {
		failover->granted[database] = true;
		failover->granted_position[database] = view->last_entry;
		failover->granted_us = now_us;
	} else if (!granted && view->promised >= term) {
		/* the database has promised another daemon */
		back_off(failover, now_us);
	}
}

/*
 * Note that the chosen database is ordered to become primary.
 */
static void
note_order(failover_t *failover, int64_t now_us)
{
	int32_t primary = failover_primary(failover);

	failover->order_before = failover->order;
	failover->order = (failover_order_t){.term = failover->term,
	    .primary_term = primary < 0 ? 0 : failover->views[primary].promised,
	    .database = (int32_t)failover->chosen,
	    .until_us = now_us +
		MAX(failover->limits.promotion_us,
		    failover->limits.order_late_us)};
}

/*
 * Tell whether an order may have taken effect, or may still do so: the database
 * has neither shown that it became primary nor, after the time for it, that it
 * did not.
 */
static bool
order_pending(failover_t *failover, int64_t now_us)
{
	failover_order_t *order = &failover->order;
	const db_view_t *view;

	if (order->term == 0)
		return false;
	if (order->database < 0) {
		if (now_us >= order->until_us)
			order->term = 0;
		return order->term != 0;
	}
	view = &failover->views[order->database];
	if (view->known &&
	    (view->requested_us >= order->until_us ||
		(view->primary && view->promised > order->primary_term)))
		order->term = 0;
	return order->term != 0;
}

/*
 * Tell whether an order to another database may still take effect.  It would
 * replace the chosen one without a majority that is fenced.
 */
static bool
order_pending_elsewhere(failover_t *failover, int32_t chosen, int64_t now_us)
{
	return order_pending(failover, now_us) &&
	    now_us < failover->order.until_us &&
	    failover->order.database != chosen;
}

/*
 * Tell whether the promotion that was last ordered is still wanted: no newer
 * term has begun since the attempt began.  If one has, another promotion took
 * effect, and the daemons may hold leases on that primary.
 */
bool
failover_order_stands(const failover_t *failover, uint64_t term)
{
	return failover->state == FAILOVER_PROMOTING &&
	    failover->term == term &&
	    newest_term(failover) <= failover->fenced_from_term;
}

/*
 * Return the end of the log of the database to be promoted, as last reported.
 */
position_t
failover_base(const failover_t *failover)
{
	return failover->views[failover->chosen].last_entry;
}

/*
 * Note which orders the store has recorded, this daemon's own ones included.
 */
void
failover_orders_recorded(
    failover_t *failover, const recorded_orders_t *recorded, int64_t now_us)
{
	if (recorded->read_us < failover->recorded.read_us)
		return;
	if (failover->read_replaced != recorded->replaced_term ||
	    failover->recorded.attempt_term != recorded->attempt_term)
		failover->recorded_us = now_us;
	failover->read_replaced = recorded->replaced_term;
	recorded_orders_update(&failover->recorded, recorded);
	standing_add_shown(failover);
}

/*
 * Set the time since which orders are known, if earlier ones that are not
 * recorded may have replaced the primary; 0 if not.
 */
void
failover_set_unaware(failover_t *failover, int64_t since_us)
{
	failover->unaware_since_us = since_us;
}

/*
 * Set whether the store is away, so that it cannot record an order, and the
 * attempt of the last order that it has recorded.
 */
void
failover_set_store(failover_t *failover, bool away, uint64_t stored_attempt)
{
	failover->store_away = away;
	failover->stored_attempt = stored_attempt;
}

/*
 * Process the answer of the database that was ordered to become primary.
 */
void
failover_promotion_answered(failover_t *failover, uint32_t database,
    uint64_t term, bool ok, const db_view_t *view, int64_t now_us)
{
	failover_merge_view(failover, database, view, now_us);
	if (!ok && term == failover->order.term) {
		failover->order = failover->order_before;
		standing_ordered(failover, term, false);
	}
	if (failover->state != FAILOVER_PROMOTING || term != failover->term ||
	    database != failover->chosen)
		return;
	if (!ok) {
		back_off(failover, now_us);
		return;
	}
	failover->order.term = 0;
	failover->failures = 0;
	failover->handover = false;
	failover->isolated = -1;
	failover->unconfirmed_since_us = 0;
	enter_state(failover, FAILOVER_STEADY, now_us);
}

/*
 * Request that the primary hands over to a replica.  The caller has checked
 * that the handover is due and that a replica can take over.
 */
void
failover_request_handover(failover_t *failover, int64_t now_us)
{
	(void)now_us;
	failover->handover = true;
}

/*
 * Tell every database that has not reached the primary's term to follow the
 * primary.  This makes an old primary that has come back step down.
 */
static void
send_follow(failover_t *failover, int64_t now_us, failover_actions_t *actions)
{
	int32_t primary = failover_primary(failover);
	uint64_t term = failover->views[primary].promised;
	uint32_t i;

	for (i = 0; i < failover->count; i++) {
		if ((int32_t)i == primary || !failover->views[i].known ||
		    failover->views[i].promised >= term ||
		    now_us - failover->follow_sent_us[i] < FOLLOW_INTERVAL_US)
			continue;
		failover->follow_sent_us[i] = now_us;
		actions->list[actions->count++] =
		    (failover_action_t){FAILOVER_FOLLOW, i, term};
	}
}

/*
 * Tell whether the log of any database ends in a newer term than the
 * primary's.  Then the primary has been replaced, even if its successor has
 * not reported itself as primary yet.
 */
static bool
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

/*
 * Withdraw all promises above the primary's term.
 */
static void
release_stray_promises(failover_t *failover, failover_actions_t *actions)
{
	int32_t primary = failover_primary(failover);
	uint32_t i;

	for (i = 0; i < failover->count; i++) {
		if (failover->views[i].known &&
		    failover->views[i].promised >
			failover->views[primary].promised)
			actions->list[actions->count++] =
			    (failover_action_t){FAILOVER_RELEASE, i, 0};
	}
}

/*
 * Tell whether the promises above the primary's term may be withdrawn.  A
 * replica that has not reached the primary's term may still follow the previous
 * primary then, and its answers would support a lease on that one.  So the
 * daemons are first told to revoke their leases on it.
 */
static bool
stray_promises_releasable(
    failover_t *failover, int64_t now_us, failover_actions_t *actions)
{
	uint64_t term = failover->views[failover_primary(failover)].promised;
	bool behind = false;
	uint32_t i;

	for (i = 0; i < failover->count; i++)
		behind |= failover->views[i].promised > term &&
		    failover->views[i].term < term;
	if (!behind || failover->limits.lease_wait_us == 0 ||
	    (failover->notice_term == term &&
		failover->notice_confirmed_us != 0 &&
		now_us - failover->notice_confirmed_us < NOTICE_VALID_US))
		return true;
	if (failover->notice_term != term) {
		failover->notice_term = term;
		failover->notice_began_us = now_us;
		failover->notice_sent_us = failover->notice_confirmed_us = 0;
	}
	if (now_us - failover->notice_sent_us >=
	    (failover->notice_confirmed_us != 0 && !failover->release_allowed
		    ? NOTICE_REPEAT_US
		    : NOTICE_INTERVAL_US)) {
		failover->notice_sent_us = now_us;
		failover->notice_confirmed_us = 0;
		actions->list[actions->count++] =
		    (failover_action_t){FAILOVER_ANNOUNCE_TERM, 0, term};
	}
	return false;
}

/*
 * Tell whether a database has held a promise above the primary's term for
 * STRAY_PROMISE_US: it is left over from a failover that was never completed.
 * The database accepts no replication from the primary until the promise is
 * withdrawn or a still higher term begins.
 */
static bool
stray_promise(failover_t *failover, int64_t now_us)
{
	int32_t primary = failover_primary(failover);

	if (highest_promised_term(failover) <=
	    failover->views[primary].promised) {
		failover->stray_promise_us = 0;
		return false;
	}
	if (failover->stray_promise_us == 0)
		failover->stray_promise_us = now_us;
	return now_us - failover->stray_promise_us >= STRAY_PROMISE_US;
}

/*
 * Handle LEARNING and BACKOFF: go to STEADY when a primary answers and no
 * handover is requested; where promises cannot be withdrawn, there must be none
 * above the primary's term either.  Otherwise start an attempt when the wait is
 * over, a majority of the databases has answered, and no other one may be the
 * primary.
 */
static void
tick_waiting(failover_t *failover, int64_t now_us, failover_actions_t *actions)
{
	int32_t primary = failover_primary(failover);

	if (primary >= 0 &&
	    (failover->limits.revocable ||
		failover->views[primary].promised ==
		    highest_promised_term(failover)) &&
	    !primary_unresponsive(
		failover, now_us, failover->limits.suspect_us) &&
	    !failover->handover) {
		failover->failures = 0;
		enter_state(failover, FAILOVER_STEADY, now_us);
		return;
	}
	if (now_us < failover->wait_until_us ||
	    known_count(failover) < majority_of(failover->count) ||
	    (primary < 0 && full_primary_possible(failover, now_us)))
		return;
	if (primary >= 0 && failover->failures == 0 && !failover->handover &&
	    !primary_unresponsive(
		failover, now_us, failover->limits.witness_override_us)) {
		/*
		 * The witness reached the primary: ask again until the primary
		 * has been unresponsive for long enough to act in spite of it.
		 */
		failover->witness_request++;
		actions->list[actions->count++] = (failover_action_t){
		    FAILOVER_ASK_WITNESS, (uint32_t)primary, 0};
		enter_state(failover, FAILOVER_WITNESS, now_us);
		return;
	}
	if (attempt_possible(failover, now_us))
		start_fencing(failover, failover->handover, now_us, actions);
}

/*
 * Handle STEADY: make the other databases follow the primary.  Start a failover
 * when the primary is unresponsive, isolated or to hand over, or when a stray
 * promise cannot be withdrawn.  Look for the new primary when it has been
 * replaced.
 */
static void
tick_steady(failover_t *failover, int64_t now_us, failover_actions_t *actions)
{
	int32_t primary = failover_primary(failover);

	if (primary < 0) {
		failover->wait_until_us = now_us;
		enter_state(failover, FAILOVER_LEARNING, now_us);
		return;
	}
	if (primary_replaced(failover)) {
		failover->wait_until_us = now_us + LEARNING_US;
		enter_state(failover, FAILOVER_LEARNING, now_us);
		return;
	}
	if (maybe_replaced(failover) &&
	    now_us - MAX(failover->recorded_us, failover->unaware_since_us) >=
		failover->limits.order_late_us &&
	    failover_successor_answers(failover, now_us)) {
		/* a newer term shows which primary is the newest */
		start_fencing(failover, true, now_us, actions);
		return;
	}
	if (failover->limits.revocable && !failover->store_away &&
	    !order_pending(failover, now_us) && !maybe_replaced(failover) &&
	    stray_promise(failover, now_us) &&
	    stray_promises_releasable(failover, now_us, actions))
		/* again with each tick, until the coordinator may do so */
		release_stray_promises(failover, actions);
	if ((failover->handover ||
		(stray_promise(failover, now_us) &&
		    (!failover->limits.revocable ||
			order_pending(failover, now_us)))) &&
	    attempt_possible(failover, now_us)) {
		failover->stray_promise_us = 0;
		start_fencing(failover, failover->handover, now_us, actions);
		return;
	}
	if (primary_isolated(failover, now_us)) {
		failover->isolated = primary;
		if (attempt_possible(failover, now_us)) {
			start_fencing(
			    failover, failover->handover, now_us, actions);
			return;
		}
		failover->isolated = -1;
	}
	send_follow(failover, now_us, actions);
	if (primary_unresponsive(
		failover, now_us, failover->limits.suspect_us)) {
		failover->witness_request++;
		actions->list[actions->count++] = (failover_action_t){
		    FAILOVER_ASK_WITNESS, (uint32_t)primary, 0};
		enter_state(failover, FAILOVER_WITNESS, now_us);
	}
}

/*
 * Handle WITNESS: return to STEADY when the primary answers again.  Start to
 * fence when the witness does not reach the primary or does not answer in time.
 */
static void
tick_witness(failover_t *failover, int64_t now_us, failover_actions_t *actions)
{
	if (!primary_unresponsive(
		failover, now_us, failover->limits.suspect_us))
		enter_state(failover, FAILOVER_STEADY, now_us);
	else if (now_us - failover->state_entered_us >=
		failover->limits.witness_us &&
	    attempt_possible(failover, now_us))
		start_fencing(failover, failover->handover, now_us, actions);
}

/*
 * Withdraw the promises of a failed attempt where the databases support it.
 * While an earlier promotion may still take effect, or may have replaced the
 * newest primary that is known, the promises must stay, because they keep the
 * old primary from continuing.
 */
static void
release_attempt_promises(
    failover_t *failover, int64_t now_us, failover_actions_t *actions)
{
	uint32_t i;

	if (!failover->limits.revocable || order_pending(failover, now_us) ||
	    failover->recorded.replaced_term >= newest_term(failover))
		return;
	for (i = 0; i < failover->count; i++) {
		if (failover->granted[i] &&
		    (int32_t)i != failover->stepping_down &&
		    failover->views[i].term >= newest_term(failover))
			actions->list[actions->count++] =
			    (failover_action_t){FAILOVER_RELEASE, i,
				failover->standing[i] ? failover->term
						      : failover->fenced_term};
	}
}

/*
 * Have the databases that have promised the term, except the chosen one, give a
 * standing promise, since the store cannot record the order.  If those and the
 * chosen one are no majority, all others are asked.  What they have promised
 * before stays valid: the leases have ended.
 */
static void
request_standing(
    failover_t *failover, int32_t chosen, failover_actions_t *actions)
{
	uint64_t standing = attempt_term_standing(
	    newest_number(failover), failover_term_to_replace(failover));
	uint32_t i, granted = 1;
	bool all;

	failover->standing_asked = true;
	if (standing == 0)
		return;
	memset(failover->standing, 0, sizeof(failover->standing));
	failover->term = standing;
	standing_begin(failover, standing);
	for (i = 0; i < failover->count; i++)
		granted += (int32_t)i != chosen && failover->granted[i] &&
		    (failover->members == 0 || failover->views[i].member);
	all = granted < majority_of(MAX(failover->count, failover->members));
	for (i = 0; i < failover->count; i++) {
		if ((int32_t)i == chosen || !failover->views[i].known ||
		    (!failover->granted[i] && !all))
			continue;
		actions->list[actions->count++] =
		    (failover_action_t){FAILOVER_FENCE, i, failover->term};
	}
}

/*
 * Handle FENCING: when enough databases have promised the term, tell the
 * daemons to revoke their leases, wait until these have ended, and promote the
 * most advanced database.  Back off when that takes too long, or when none can
 * be promoted.
 */
static void
tick_fencing(failover_t *failover, int64_t now_us, failover_actions_t *actions)
{
	int32_t chosen = ready_to_promote(failover, now_us);
	bool enough = grants_suffice(failover);
	bool provable =
	    !failover->store_away || standing_proves_order(failover, chosen);

	if (enough && !failover->revocation_sent &&
	    failover->limits.lease_wait_us > 0) {
		failover->revocation_sent = true;
		actions->list[actions->count++] = (failover_action_t){
		    FAILOVER_REVOKE_LEASES, 0, failover->term};
	}
	if (newest_term(failover) > failover->fenced_from_term) {
		back_off(failover, now_us);
		failover->wait_until_us =
		    MAX(failover->wait_until_us, now_us + LEARNING_US);
	} else if (chosen >= 0 && !provable && !failover->standing_asked) {
		request_standing(failover, chosen, actions);
	} else if (chosen >= 0 &&
	    !order_pending_elsewhere(failover, chosen, now_us) && provable) {
		failover->chosen = (uint32_t)chosen;
		actions->list[actions->count++] = (failover_action_t){
		    FAILOVER_PROMOTE, failover->chosen, failover->term};
		standing_ordered(failover, failover->term, true);
		note_order(failover, now_us);
		enter_state(failover, FAILOVER_PROMOTING, now_us);
	} else if (enough && failover->stepping_down < 0 &&
	    !candidate_granted(failover, now_us)) {
		failover->no_candidate = true;
		release_attempt_promises(failover, now_us, actions);
		back_off(failover, now_us);
	} else if (now_us - failover->state_entered_us >=
	    failover->limits.fence_us +
		(enough ? failover->limits.lease_wait_us : 0)) {
		release_attempt_promises(failover, now_us, actions);
		back_off(failover, now_us);
	}
}

/*
 * Handle PROMOTING: cancel the order when a newer term has begun, in case it
 * has not been sent yet.  The attempt ends when another database is the primary
 * of that term, or the order has shown no effect in time; a replica may report
 * the term of the promoted database before that one does.
 */
static void
tick_promoting(
    failover_t *failover, int64_t now_us, failover_actions_t *actions)
{
	bool stands = failover_order_stands(failover, failover->term);
	bool expired = now_us - failover->state_entered_us >=
	    failover->limits.promotion_us;
	int32_t primary = failover_primary(failover);

	if ((!stands || expired) && failover->limits.revocable &&
	    failover->cancelled_term != failover->term) {
		failover->cancelled_term = failover->term;
		actions->list[actions->count++] =
		    (failover_action_t){FAILOVER_CANCEL_PROMOTION,
			failover->chosen, failover->term};
	}
	if (expired ||
	    (!stands && primary >= 0 && primary != (int32_t)failover->chosen))
		back_off(failover, now_us);
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
 * Advance the state machine and return the actions to carry out now.  To be
 * called at intervals far below suspect_us.
 */
void
failover_tick(failover_t *failover, int64_t now_us, failover_actions_t *actions)
{
	bool paused = now_us - failover->ticked_us > TICK_GAP_MAX_US;

	actions->count = 0;
	failover->ticked_us = now_us;
	if (paused && failover->state == FAILOVER_FENCING)
		back_off(failover, now_us);
	switch (failover->state) {
	case FAILOVER_LEARNING:
	case FAILOVER_BACKOFF:
		tick_waiting(failover, now_us, actions);
		break;
	case FAILOVER_STEADY:
		tick_steady(failover, now_us, actions);
		break;
	case FAILOVER_WITNESS:
		tick_witness(failover, now_us, actions);
		break;
	case FAILOVER_FENCING:
		tick_fencing(failover, now_us, actions);
		break;
	case FAILOVER_PROMOTING:
		tick_promoting(failover, now_us, actions);
		break;
	}
	if (failover->state == FAILOVER_STEADY && !failover->handover &&
	    !primary_unresponsive(
		failover, now_us, failover->limits.suspect_us))
		failover->no_candidate = false;
}
