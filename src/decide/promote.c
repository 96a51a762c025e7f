#include "promote_choice.h"

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

/* Time for the databases to answer before a failover is attempted. */
#define LEARNING_US (US_PER_SECOND / 4)

/*
 * Enter a state.  Its time limit is counted from now on.
 */
static void
enter(promote_t *failover, promote_state_t state, int64_t now_us)
{
	failover->state = state;
	failover->since_us = now_us;
}

/*
 * Initialize for a group of count databases whose state is not known yet.
 * The seed determines the random back-offs.
 */
void
promote_init(promote_t *failover, const promote_limits_t *limits,
    uint32_t count, uint32_t seed, int64_t now_us)
{
	uint32_t i;

	memset(failover, 0, sizeof(*failover));
	failover->limits = *limits;
	failover->count = count;
	failover->rand = g_rand_new_with_seed(seed);
	failover->wait_us = now_us + LEARNING_US;
	failover->avoid = -1;
	failover->stepping_down = -1;
	for (i = 0; i < count; i++)
		failover->heard_us[i] = now_us;
	enter(failover, PROMOTE_LEARNING, now_us);
}

/*
 * Free what failover_init() allocated.
 */
void
promote_clear(promote_t *failover)
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
 * Change the databases of the group: the one with index i had old_index[i]
 * before, or is new when that is negative.  A failover under way continues
 * unless the database to be promoted, or the primary that hands over, has
 * left the group.
 */
void
promote_remap(promote_t *failover, const int32_t *old_index, uint32_t count,
    int64_t now_us)
{
	promote_t old = *failover;
	int32_t chosen = new_index(old_index, count, (int32_t)old.chosen);
	uint32_t i;

	failover->count = count;
	failover->avoid = new_index(old_index, count, old.avoid);
	failover->stepping_down =
	    new_index(old_index, count, old.stepping_down);
	for (i = 0; i < count; i++) {
		int32_t j = old_index[i];

		memset(&failover->views[i], 0, sizeof(failover->views[i]));
		failover->heard_us[i] = now_us;
		failover->refused[i] = 0;
		failover->granted[i] = false;
		failover->follow_us[i] = failover->moved_us[i] = 0;
		if (j < 0)
			continue;
		failover->views[i] = old.views[j];
		failover->heard_us[i] = old.heard_us[j];
		failover->refused[i] = old.refused[j];
		failover->granted[i] = old.granted[j];
		failover->granted_at[i] = old.granted_at[j];
		failover->follow_us[i] = old.follow_us[j];
		failover->moved_us[i] = old.moved_us[j];
	}
	if ((old.state == PROMOTE_RAISING && chosen < 0) ||
	    (old.stepping_down >= 0 && failover->stepping_down < 0)) {
		failover->wait_us = now_us;
		enter(failover, PROMOTE_LEARNING, now_us);
	}
	failover->chosen = chosen < 0 ? 0 : (uint32_t)chosen;
}

/*
 * Return the database that reports itself as primary in the highest term, or
 * -1.  The result is only a hint: a majority may already have promised a
 * newer term.
 */
int32_t
promote_primary(const promote_t *failover)
{
	int32_t best = -1;
	uint32_t i;

	for (i = 0; i < failover->count; i++) {
		const db_view_t *view = &failover->views[i];

		if (view->known && view->primary &&
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
highest_promised_term(const promote_t *failover)
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
known_count(const promote_t *failover)
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
back_off(promote_t *failover, int64_t now_us)
{
	uint32_t doublings = MIN(failover->failures, BACKOFF_DOUBLINGS_MAX);
	int64_t base_us = failover->limits.backoff_us << doublings;

	failover->failures++;
	failover->avoid = -1;
	failover->stepping_down = -1;
	failover->wait_us = now_us +
	    (int64_t)(g_rand_double(failover->rand) * (double)base_us) +
	    failover->limits.backoff_us / 4;
	enter(failover, PROMOTE_BACKOFF, now_us);
}

/*
 * Process a status answer of a database whose promises only increase: an
 * answer with an older promise is outdated and ignored.
 */
void
promote_heard(promote_t *failover, uint32_t database, const db_view_t *answer,
    int64_t now_us)
{
	db_view_t *view = &failover->views[database];
	position_t before = view->last;

	view_update(view, answer);
	failover->heard_us[database] = now_us;
	failover->refused[database] = 0;
	if (position_compare(view->last, before) != 0)
		failover->moved_us[database] = now_us;
}

/*
 * Process a status answer of a database that can withdraw a promise: the
 * answer to the latest request replaces what was known, also with an older
 * promise.
 */
void
promote_observed(promote_t *failover, uint32_t database,
    const db_view_t *answer, int64_t now_us)
{
	db_view_t *view = &failover->views[database];

	promote_alive(failover, database, now_us);
	if (view->known && answer->asked_us < view->asked_us)
		return;
	if (position_compare(view->last, answer->last) != 0)
		failover->moved_us[database] = now_us;
	*view = *answer;
	view->known = true;
}

/*
 * A majority of the daemons, or all of them, have confirmed that they revoked
 * their leases below a term and know of no newer failover.
 */
void
promote_settled(promote_t *failover, uint64_t term, bool all, int64_t now_us)
{
	if (failover->state != PROMOTE_FENCING || term != failover->term)
		return;
	failover->settled_us = now_us;
	failover->settled |= all;
}

/*
 * A daemon has reported a newer failover by another daemon: give up the
 * attempt in this term.
 */
void
promote_outdated(promote_t *failover, uint64_t term, int64_t now_us)
{
	if (failover->state == PROMOTE_FENCING && term == failover->term)
		back_off(failover, now_us);
}

/*
 * Process the log position that a database sent with an answer other than a
 * status answer.
 */
void
promote_positioned(promote_t *failover, uint32_t database, position_t position)
{
	db_view_t *view = &failover->views[database];

	if (!view->known || position_compare(position, view->last) <= 0)
		return;
	view->last = position;
	if (position.term <= view->promised)
		return;
	/* the position does not tell which database is primary in its term */
	view->promised = position.term;
	view->primary = false;
}

/*
 * Nothing has been sent to a database that it should have answered, so the
 * time without an answer does not count as silence.
 */
void
promote_idle(promote_t *failover, uint32_t database, int64_t now_us)
{
	failover->heard_us[database] = now_us;
}

/*
 * Record that a database has answered, whatever the answer was.
 */
void
promote_alive(promote_t *failover, uint32_t database, int64_t now_us)
{
	failover->heard_us[database] = now_us;
	failover->refused[database] = 0;
}

/*
 * A database refused a connection.  REFUSALS_SUSPECT refusals in a row make a
 * primary suspect at once, without waiting for a time limit.
 */
void
promote_refused(promote_t *failover, uint32_t database, int64_t now_us)
{
	(void)now_us;
	failover->refused[database]++;
}

/*
 * Tell whether the primary has not answered for limit_us, has repeatedly
 * refused connections, or is not known.
 */
static bool
primary_silent(const promote_t *failover, int64_t now_us, int64_t limit_us)
{
	int32_t primary = promote_primary(failover);

	if (primary < 0)
		return true;
	return failover->refused[primary] >= REFUSALS_SUSPECT ||
	    now_us - failover->heard_us[primary] >= limit_us;
}

/*
 * Set the send time of the oldest write that no majority has confirmed yet; 0
 * when there is none.
 */
void
promote_waiting(promote_t *failover, int64_t since_us)
{
	failover->stall_since_us = since_us;
}

/*
 * Tell whether the primary is isolated from its replicas although it answers
 * this daemon: a write has waited for a majority for long, and a majority of
 * databases answer but are behind the primary without any progress.  A
 * replica that only lags does make progress.
 */
static bool
primary_isolated(const promote_t *failover, int64_t now_us)
{
	int64_t limit_us = failover->limits.distrust_us;
	int32_t primary = promote_primary(failover);
	uint32_t i, behind = 0;

	if (failover->stall_since_us == 0 ||
	    now_us - failover->stall_since_us < limit_us)
		return false;
	for (i = 0; i < failover->count; i++) {
		if ((int32_t)i == primary ||
		    now_us - failover->heard_us[i] >= limit_us)
			continue;
		if (now_us - failover->moved_us[i] < limit_us ||
		    position_compare(failover->views[i].last,
			failover->views[primary].last) >= 0)
			return false;
		behind++;
	}
	return behind >= majority_of(failover->count);
}

/*
 * Ask every database to promise a term above all known ones.  An isolated
 * primary is left out, since it is ahead of the others and would be chosen
 * again.  In a handover that waits for a replica to catch up, only the primary
 * itself is asked, and thereby steps down.
 */
static void
start_fencing(promote_t *failover, int64_t now_us, promote_actions_t *actions)
{
	uint32_t i;

	failover->term = highest_promised_term(failover) + 1;
	memset(failover->granted, 0, sizeof(failover->granted));
	failover->settling = failover->settled = false;
	failover->settled_us = 0;
	failover->stepping_down = -1;
	if (failover->handover && failover->limits.catch_up_us > 0)
		failover->stepping_down = promote_primary(failover);
	for (i = 0; i < failover->count; i++) {
		if ((int32_t)i == failover->avoid ||
		    (failover->stepping_down >= 0 &&
			(int32_t)i != failover->stepping_down))
			continue;
		actions->list[actions->count++] =
		    (promote_action_t){PROMOTE_FENCE, i, failover->term};
	}
	enter(failover, PROMOTE_FENCING, now_us);
}

/*
 * Process the answer of the witness.  When the witness reaches the primary,
 * the failover waits until the silence has lasted for long_silence_us.
 */
void
promote_witness_heard(
    promote_t *failover, uint64_t request, bool reached, int64_t now_us)
{
	if (failover->state != PROMOTE_WITNESS || request != failover->witness)
		return;
	if (reached) {
		failover->wait_us = now_us + failover->limits.suspect_us;
		enter(failover, PROMOTE_BACKOFF, now_us);
	} else {
		/* expire the time limit: the next tick starts to fence */
		failover->since_us = now_us - failover->limits.witness_us;
	}
}

/*
 * Process the answer to FENCE.  Only a promise of the current attempt's term
 * counts, with the position that the log had at that moment.
 */
void
promote_fenced(promote_t *failover, uint32_t database, uint64_t term,
    bool granted, const db_view_t *view, int64_t now_us)
{
	promote_heard(failover, database, view, now_us);
	if (failover->state != PROMOTE_FENCING || term != failover->term)
		return;
	if (granted) {
		failover->granted[database] = true;
		failover->granted_at[database] = view->last;
		failover->granted_us = now_us;
	} else if (view->promised >= term) {
		back_off(failover, now_us); /* promised to another daemon */
	}
}

/*
 * Process the answer of the database that was ordered to become primary.
 */
void
promote_raised(promote_t *failover, uint32_t database, uint64_t term, bool ok,
    const db_view_t *view, int64_t now_us)
{
	promote_heard(failover, database, view, now_us);
	if (failover->state != PROMOTE_RAISING || term != failover->term ||
	    database != failover->chosen)
		return;
	if (!ok) {
		failover->ordered = failover->ordered_before;
		back_off(failover, now_us);
		return;
	}
	failover->ordered = 0;
	failover->failures = 0;
	failover->handover = false;
	failover->avoid = -1;
	failover->stall_since_us = 0;
	enter(failover, PROMOTE_STEADY, now_us);
}

/*
 * Request that the primary hands over to a replica.  The caller has checked
 * that the handover is due and that a replica can take over.
 */
void
promote_handover(promote_t *failover, int64_t now_us)
{
	(void)now_us;
	failover->handover = true;
}

/*
 * Tell every database that has not reached the primary's term to follow the
 * primary.  This makes an old primary that has come back step down.
 */
static void
send_follow(promote_t *failover, int64_t now_us, promote_actions_t *actions)
{
	int32_t primary = promote_primary(failover);
	uint64_t term = failover->views[primary].promised;
	uint32_t i;

	for (i = 0; i < failover->count; i++) {
		if ((int32_t)i == primary || !failover->views[i].known ||
		    failover->views[i].promised >= term ||
		    now_us - failover->follow_us[i] < FOLLOW_INTERVAL_US)
			continue;
		failover->follow_us[i] = now_us;
		actions->list[actions->count++] =
		    (promote_action_t){PROMOTE_FOLLOW, i, term};
	}
}

/*
 * Tell whether the log of any database ends in a newer term than the
 * primary's.  Then the primary has been replaced, even if its successor has
 * not reported itself as primary yet.
 */
static bool
primary_replaced(const promote_t *failover)
{
	int32_t primary = promote_primary(failover);
	uint32_t i;

	for (i = 0; primary >= 0 && i < failover->count; i++) {
		if (failover->views[i].known &&
		    failover->views[i].last.term >
			failover->views[primary].promised)
			return true;
	}
	return false;
}

/*
 * Withdraw all promises above the primary's term.
 */
static void
release_stray_promises(promote_t *failover, promote_actions_t *actions)
{
	int32_t primary = promote_primary(failover);
	uint32_t i;

	for (i = 0; i < failover->count; i++) {
		if (failover->views[i].known &&
		    failover->views[i].promised >
			failover->views[primary].promised)
			actions->list[actions->count++] =
			    (promote_action_t){PROMOTE_RELEASE, i, 0};
	}
}

/*
 * Tell whether a database has held a promise above the primary's term for
 * STRAY_PROMISE_US: it is left over from a failover that was never completed.
 * The database accepts no replication from the primary until the promise is
 * withdrawn or a still higher term begins.
 */
static bool
stray_promise(promote_t *failover, int64_t now_us)
{
	int32_t primary = promote_primary(failover);

	if (highest_promised_term(failover) <=
	    failover->views[primary].promised) {
		failover->odd_us = 0;
		return false;
	}
	if (failover->odd_us == 0)
		failover->odd_us = now_us;
	return now_us - failover->odd_us >= STRAY_PROMISE_US;
}

/*
 * LEARNING and BACKOFF: go to STEADY when a primary answers and no handover
 * is requested; where promises cannot be withdrawn, there must be none above
 * the primary's term either.  Otherwise start an attempt when the wait is over
 * and a majority of the databases has answered.
 */
static void
tick_waiting(promote_t *failover, int64_t now_us, promote_actions_t *actions)
{
	int32_t primary = promote_primary(failover);

	if (primary >= 0 &&
	    (failover->limits.revocable ||
		failover->views[primary].promised ==
		    highest_promised_term(failover)) &&
	    !primary_silent(failover, now_us, failover->limits.suspect_us) &&
	    !failover->handover) {
		failover->failures = 0;
		enter(failover, PROMOTE_STEADY, now_us);
		return;
	}
	if (now_us < failover->wait_us ||
	    known_count(failover) < majority_of(failover->count))
		return;
	if (primary >= 0 && failover->failures == 0 && !failover->handover &&
	    !primary_silent(failover, now_us, failover->limits.distrust_us)) {
		/*
		 * The witness reached the primary: ask again while the silence
		 * is not long enough to act without the witness.
		 */
		failover->witness++;
		actions->list[actions->count++] = (promote_action_t){
		    PROMOTE_ASK_WITNESS, (uint32_t)primary, 0};
		enter(failover, PROMOTE_WITNESS, now_us);
		return;
	}
	start_fencing(failover, now_us, actions);
}

/*
 * STEADY: make the other databases follow the primary.  Start a failover when
 * the primary is silent, isolated or to hand over, or when a stray promise
 * cannot be withdrawn.  Look for the new primary when it has been replaced.
 */
static void
tick_steady(promote_t *failover, int64_t now_us, promote_actions_t *actions)
{
	int32_t primary = promote_primary(failover);

	if (primary < 0) {
		failover->wait_us = now_us;
		enter(failover, PROMOTE_LEARNING, now_us);
		return;
	}
	if (primary_replaced(failover)) {
		failover->wait_us = now_us + LEARNING_US;
		enter(failover, PROMOTE_LEARNING, now_us);
		return;
	}
	if (failover->limits.revocable && failover->ordered == 0 &&
	    stray_promise(failover, now_us)) {
		failover->odd_us = 0;
		release_stray_promises(failover, actions);
	}
	if (failover->handover || stray_promise(failover, now_us)) {
		failover->odd_us = 0;
		start_fencing(failover, now_us, actions);
		return;
	}
	if (primary_isolated(failover, now_us)) {
		failover->avoid = primary;
		start_fencing(failover, now_us, actions);
		return;
	}
	send_follow(failover, now_us, actions);
	if (primary_silent(failover, now_us, failover->limits.suspect_us)) {
		failover->witness++;
		actions->list[actions->count++] = (promote_action_t){
		    PROMOTE_ASK_WITNESS, (uint32_t)primary, 0};
		enter(failover, PROMOTE_WITNESS, now_us);
	}
}

/*
 * WITNESS: return to STEADY when the primary answers again.  Start to fence
 * when the witness does not reach the primary or does not answer in time.
 */
static void
tick_witness(promote_t *failover, int64_t now_us, promote_actions_t *actions)
{
	if (!primary_silent(failover, now_us, failover->limits.suspect_us))
		enter(failover, PROMOTE_STEADY, now_us);
	else if (now_us - failover->since_us >= failover->limits.witness_us)
		start_fencing(failover, now_us, actions);
}

/*
 * Withdraw the promises of a failed attempt where the databases support it.
 * While an earlier promotion may still take effect, the promises must stay,
 * because they keep the old primary from continuing.
 */
static void
release_attempt_promises(promote_t *failover, promote_actions_t *actions)
{
	uint32_t i;

	if (!failover->limits.revocable || failover->ordered != 0)
		return;
	for (i = 0; i < failover->count; i++) {
		if (failover->granted[i] &&
		    (int32_t)i != failover->stepping_down)
			actions->list[actions->count++] = (promote_action_t){
			    PROMOTE_RELEASE, i, failover->term};
	}
}

/*
 * FENCING: when enough databases have promised the term, tell the daemons to
 * revoke their leases, wait until these have ended, and promote the most
 * advanced database.  Back off when that takes too long.
 */
static void
tick_fencing(promote_t *failover, int64_t now_us, promote_actions_t *actions)
{
	int32_t chosen = ready_to_raise(failover, now_us);
	bool enough = grants_suffice(failover);

	if (enough && !failover->settling && failover->limits.settle_us > 0) {
		failover->settling = true;
		actions->list[actions->count++] =
		    (promote_action_t){PROMOTE_SETTLE, 0, failover->term};
	}
	if (chosen >= 0) {
		failover->chosen = (uint32_t)chosen;
		actions->list[actions->count++] = (promote_action_t){
		    PROMOTE_RAISE, failover->chosen, failover->term};
		failover->ordered_before = failover->ordered;
		failover->ordered = failover->term;
		enter(failover, PROMOTE_RAISING, now_us);
	} else if (now_us - failover->since_us >= failover->limits.fence_us +
		(enough ? failover->limits.settle_us : 0)) {
		release_attempt_promises(failover, actions);
		back_off(failover, now_us);
	}
}

/*
 * Tell whether the primary is silent while a majority of the group answers,
 * so that a failover is possible.
 */
bool
promote_suspects(const promote_t *failover, int64_t now_us)
{
	uint32_t i, answering = 0;

	for (i = 0; i < failover->count; i++)
		answering += failover->views[i].known &&
		    now_us - failover->heard_us[i] <
			failover->limits.suspect_us;
	return promote_primary(failover) >= 0 &&
	    answering >= majority_of(failover->count) &&
	    primary_silent(failover, now_us, failover->limits.suspect_us);
}

/*
 * Advance the state machine and return the actions to carry out now.  To be
 * called at intervals far below suspect_us.
 */
void
promote_tick(promote_t *failover, int64_t now_us, promote_actions_t *actions)
{
	actions->count = 0;
	switch (failover->state) {
	case PROMOTE_LEARNING:
	case PROMOTE_BACKOFF:
		tick_waiting(failover, now_us, actions);
		break;
	case PROMOTE_STEADY:
		tick_steady(failover, now_us, actions);
		break;
	case PROMOTE_WITNESS:
		tick_witness(failover, now_us, actions);
		break;
	case PROMOTE_FENCING:
		tick_fencing(failover, now_us, actions);
		break;
	case PROMOTE_RAISING:
		if (now_us - failover->since_us >= failover->limits.raise_us)
			back_off(failover, now_us);
		break;
	}
}
