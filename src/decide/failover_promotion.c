#include "failover_choice.h"
#include "failover_internal.h"
#include "failover_standing.h"

/* Interval at which FOLLOW is repeated. */
#define FOLLOW_INTERVAL_US (US_PER_SECOND / 5)

/*
 * Note that the chosen database is ordered to become primary.
 */
void
note_order(failover_t *failover, int64_t now_us)
{
	int32_t primary = failover_primary(failover);

	failover->promises_asked_us = 0;
	failover->promises_needed = grants_needed(failover);
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
bool
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
bool
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
 * Note that the store has recorded the order of an attempt.  The databases that
 * have promised its term are to be asked whether they hold the promises still:
 * one that has started again has forgotten its own, and a daemon that was not
 * told of the attempt may have asked it since, and read the record before the
 * order was in it.  Returns whether the attempt is under way.
 */
bool
failover_ask_promises(failover_t *failover, uint64_t term, int64_t now_us)
{
	if (failover->state != FAILOVER_PROMOTING || failover->term != term)
		return false;
	if (failover->promises_asked_us == 0)
		failover->promises_asked_us = now_us;
	return true;
}

/*
 * Tell whether a database that has promised the term may hold the promise
 * still: it has not broken off the connection on which it was given.
 */
static bool
promise_kept(const failover_t *failover, uint32_t database)
{
	const db_view_t *view = &failover->views[database];

	return failover->granted[database] && view->known &&
	    view->connected_us == failover->granted_connected_us[database] &&
	    view->promised >= failover->fenced_term &&
	    failover->connect_refusals[database] == 0;
}

/*
 * Tell whether a database is to be asked for its status because its answer
 * would show that it holds its promise.
 */
bool
failover_promise_asked(const failover_t *failover, uint32_t database)
{
	return failover->state == FAILOVER_PROMOTING &&
	    failover->promises_asked_us != 0 &&
	    promise_kept(failover, database) &&
	    failover->views[database].requested_us <
	    failover->promises_asked_us;
}

/*
 * Tell whether so many databases hold their promises as the order needed when
 * it was decided, by their answers to requests since it was recorded.  Then
 * what a daemon was answered without the promise is older than that, and a
 * lease that rests on it has ended.
 */
failover_promises_t
failover_promises(const failover_t *failover)
{
	bool held[GROUP_DATABASES_MAX] = {false};
	bool kept[GROUP_DATABASES_MAX] = {false};
	uint32_t i;

	if (failover->state != FAILOVER_PROMOTING ||
	    failover->promises_asked_us == 0)
		return FAILOVER_PROMISES_ASKED;
	for (i = 0; i < failover->count; i++) {
		kept[i] = promise_kept(failover, i);
		held[i] = kept[i] &&
		    failover->views[i].requested_us >=
			failover->promises_asked_us;
	}
	if (promises_suffice(failover, held, failover->promises_needed))
		return FAILOVER_PROMISES_HELD;
	return promises_suffice(failover, kept, failover->promises_needed)
	    ? FAILOVER_PROMISES_ASKED
	    : FAILOVER_PROMISES_LOST;
}

/*
 * Return the time since which the promises that an attempt needs have been held
 * for the last one, if they were held so long that leases in terms below this
 * one have ended; otherwise now.  A database that has followed a primary since
 * shows another term than it had promised.
 */
int64_t
promises_held_since(const failover_t *failover, uint64_t term, int64_t now_us)
{
	bool held[GROUP_DATABASES_MAX] = {false};
	uint32_t i;

	for (i = 0; i < failover->count; i++)
		held[i] = promise_kept(failover, i) &&
		    failover->views[i].promised == failover->fenced_term &&
		    failover->views[i].requested_us - failover->granted_us >=
			failover->limits.lease_wait_us;
	return failover->stepping_down < 0 && failover->fenced_term > term &&
		promises_suffice(failover, held,
		    MAX(failover->promises_needed, grants_needed(failover)))
	    ? failover->granted_us
	    : now_us;
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
 * End an attempt whose order was refused or not sent.  If promises were lost,
 * nobody competes with this daemon, so the next attempt need not wait.
 */
static void
end_order(failover_t *failover, bool promises_lost, int64_t now_us)
{
	back_off(failover, now_us);
	if (!promises_lost)
		return;
	failover->failures--;
	failover->wait_until_us = now_us;
}

/*
 * Process the answer of the database that was ordered to become primary.
 */
void
failover_promotion_answered(failover_t *failover, uint32_t database,
    uint64_t term, bool ok, const db_view_t *view, int64_t now_us)
{
	bool lost = failover_promises(failover) == FAILOVER_PROMISES_LOST;

	failover_merge_view(failover, database, view, now_us);
	if (!ok && term == failover->order.term) {
		failover->order = failover->order_before;
		standing_ordered(failover, term, false);
	}
	if (failover->state != FAILOVER_PROMOTING || term != failover->term ||
	    database != failover->chosen)
		return;
	if (!ok) {
		end_order(failover, lost, now_us);
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
 * Tell every database that has not reached the primary's term to follow the
 * primary.  This makes an old primary that has come back step down.
 */
void
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
