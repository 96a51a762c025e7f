#include "failover_choice.h"
#include "failover_internal.h"
#include "failover_standing.h"

#include <string.h>

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
 * notice, or after the promises of the last attempt if they are held since, so
 * that leases in older terms have ended.  A later answer could report a newer
 * term.
 */
#define NOTICE_VALID_US (US_PER_SECOND / 2)
#define NOTICE_ALL_US (3 * US_PER_SECOND)

/*
 * Limit of an attempt that databases join, as a multiple of the limit for the
 * promises of a majority.
 */
#define FENCES_MAX 4

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
	if (!attempt_under_way(failover, term))
		return;
	failover->revoked_by_most_us = now_us;
	failover->revoked_by_all |= all;
}

/*
 * Record that a majority of the daemons, or all of them, have confirmed that
 * they know that a primary leads a term.  A revocation for an attempt of that
 * number tells them less: it ends their leases, but they may begin one again.
 */
void
failover_notice_confirmed(
    failover_t *failover, uint64_t term, bool all, int64_t now_us)
{
	if (term == failover->notice_term &&
	    (all || now_us - failover->notice_began_us >= NOTICE_ALL_US))
		failover->notice_confirmed_us = now_us;
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
 * Tell whether so many databases answer that an attempt may obtain the promises
 * that it needs.  Otherwise those that it obtains only keep daemons that reach
 * the primary from a lease on it.
 */
static bool
promises_possible(const failover_t *failover, int64_t now_us)
{
	bool answers[GROUP_DATABASES_MAX];
	uint32_t i, answering = 0;

	for (i = 0; i < failover->count; i++) {
		answers[i] = (int32_t)i != failover->isolated &&
		    failover_answers(failover, i, now_us);
		answering += answers[i];
	}
	return answering >= grants_needed(failover) &&
	    former_members_open_hold(failover, answers);
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
void
start_fencing(failover_t *failover, bool handover, int64_t now_us,
    failover_actions_t *actions)
{
	int32_t primary = failover_primary(failover);
	bool doubt = primary >= 0 &&
	    (maybe_replaced(failover) ||
		order_open_elsewhere(failover, primary));
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
	memset(failover->fence_sent_us, 0, sizeof(failover->fence_sent_us));
	failover->fence_began_us = now_us;
	memset(failover->granted, 0, sizeof(failover->granted));
	memset(failover->standing, 0, sizeof(failover->standing));
	revoke_again(failover);
	failover->stepping_down = hands_over ? primary : -1;
	for (i = 0; i < failover->count; i++) {
		/* one that has not answered may hold a standing promise */
		if ((int32_t)i == failover->isolated ||
		    (failover->limits.revocable && !failover->views[i].known) ||
		    (failover->stepping_down >= 0 && !failover->doubtful &&
			(int32_t)i != failover->stepping_down))
			continue;
		failover->fence_sent_us[i] = now_us;
		actions->list[actions->count++] =
		    (failover_action_t){FAILOVER_FENCE, i, failover->term};
	}
	enter_state(failover, FAILOVER_FENCING, now_us);
}

/*
 * Tell whether a database is to be asked for the promise once more, or for the
 * first time: it has joined since the attempt began, or its answer to a later
 * request shows that the request for the promise was lost.
 */
static bool
fence_due(const failover_t *failover, uint32_t database, int64_t now_us)
{
	const db_view_t *view = &failover->views[database];
	int64_t sent_us = failover->fence_sent_us[database];

	return (int32_t)database != failover->isolated &&
	    !failover->granted[database] &&
	    failover_answers(failover, database, now_us) &&
	    (sent_us == 0 ||
		(view->requested_us > sent_us &&
		    view->promised < failover->fenced_term));
}

/*
 * Have the leases revoked once enough databases have promised the term.  What
 * was confirmed before a majority's promises were lost does not count: leases
 * may have begun while no promise stood.
 */
void
revoke_again(failover_t *failover)
{
	failover->revocation_sent = failover->revoked_by_all = false;
	failover->revoked_by_most_us = 0;
}

/*
 * Ask the databases for the promise that have started again, or were out of
 * reach, when the attempt began.
 */
void
ask_again(failover_t *failover, int64_t now_us, failover_actions_t *actions)
{
	uint32_t i;

	if (failover->standing_asked ||
	    (failover->stepping_down >= 0 && !failover->doubtful))
		return;
	for (i = 0; i < failover->count; i++) {
		if (!fence_due(failover, i, now_us))
			continue;
		if (failover->fence_sent_us[i] == 0 &&
		    now_us - failover->state_entered_us <
			FENCES_MAX * failover->limits.fence_us)
			failover->fence_began_us = now_us;
		failover->fence_sent_us[i] = now_us;
		actions->list[actions->count++] = (failover_action_t){
		    FAILOVER_FENCE, i, failover->fenced_term};
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
		failover->granted_connected_us[database] = view->connected_us;
		failover->granted_us = now_us;
	} else if (!granted && view->promised >= term) {
		/* the database has promised another daemon */
		back_off(failover, now_us);
	}
}

/*
 * Have the databases that have promised the term, except the chosen one, give a
 * standing promise, since the store cannot record the order.  If those and the
 * chosen one are no majority, all others are asked.  What they have promised
 * before stays valid: the leases have ended.
 */
void
request_standing(
    failover_t *failover, int32_t chosen, failover_actions_t *actions)
{
	uint64_t standing = attempt_term_standing(
	    newest_number(failover), failover_term_to_replace(failover));
	uint32_t i, granted = 1;
	bool all, asked[GROUP_DATABASES_MAX];

	failover->standing_asked = true;
	if (standing == 0)
		return;
	memset(failover->standing, 0, sizeof(failover->standing));
	failover->term = standing;
	standing_begin(failover, standing);
	for (i = 0; i < failover->count; i++) {
		asked[i] = (int32_t)i == chosen || failover->granted[i];
		granted += (int32_t)i != chosen && failover->granted[i] &&
		    (failover->members == 0 || failover->views[i].member);
	}
	all = granted < majority_of(MAX(failover->count, failover->members)) ||
	    !former_members_hold(failover, asked, false);
	for (i = 0; i < failover->count; i++) {
		if ((int32_t)i == chosen || !failover->views[i].known ||
		    (!failover->granted[i] && !all))
			continue;
		actions->list[actions->count++] =
		    (failover_action_t){FAILOVER_FENCE, i, failover->term};
	}
}

/*
 * Withdraw the promises of a failed attempt where the databases support it.
 * While an earlier promotion may still take effect, or may have replaced the
 * newest primary that is known, the promises must stay, because they keep the
 * old primary from continuing.
 */
void
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
 * Withdraw all promises above the primary's term.
 */
void
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
bool
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
		failover->notice_began_us =
		    promises_held_since(failover, term, now_us);
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
bool
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
