#include "failover_choice.h"

/*
 * Return the newest term that is known to have begun.
 */
static uint64_t
newest_begun(const failover_t *failover)
{
	uint64_t newest = failover->reported_term;
	uint32_t i;

	for (i = 0; i < failover->count; i++) {
		if (failover->views[i].known)
			newest = MAX(newest, failover->views[i].term);
	}
	return newest;
}

/*
 * Compare the logs of two databases as candidates for a promotion: one without
 * given up entries is better, then the one that reaches further.  Where commits
 * are synchronous, first the one whose entries that were not given up reach
 * further, since it may be the only one that holds the last commits.
 */
static int32_t
compare_logs(const failover_t *failover, position_t a, position_t b)
{
	const recorded_orders_t *recorded = &failover->recorded;
	uint64_t newest = newest_begun(failover);
	position_t a_used = recorded_orders_used_end(recorded, newest, a);
	position_t b_used = recorded_orders_used_end(recorded, newest, b);
	bool a_given_up = position_compare(a_used, a) != 0;
	bool b_given_up = position_compare(b_used, b) != 0;

	if (failover->limits.sync_replicas > 0 &&
	    position_compare(a_used, b_used) != 0)
		return position_compare(a_used, b_used);
	if (a_given_up != b_given_up)
		return a_given_up ? -1 : 1;
	return position_compare(a, b);
}

/*
 * Tell whether a database is preferred to another with an equal log.
 */
static bool
preferred(const db_view_t *a, const db_view_t *b)
{
	return a->leaving != b->leaving ? b->leaving
					: a->order_open && !b->order_open;
}

/*
 * Return the database with the best log among those that promised the term and
 * are listed, or UINT32_MAX if there is none.  Where commits are synchronous,
 * one that is not listed may be the only one that holds the last.  Of equal
 * ones, a database that is not leaving is preferred, then one to which an order
 * is open, since another order to the same database does no harm.  The result
 * may be promoted only when grants_suffice() is true.
 */
static uint32_t
choose_most_advanced(const failover_t *failover)
{
	uint32_t i, best = UINT32_MAX;
	int32_t cmp;

	for (i = 0; i < failover->count; i++) {
		if (!failover->granted[i] ||
		    (failover->views[i].unlisted &&
			failover->limits.sync_replicas == 0))
			continue;
		if (best == UINT32_MAX) {
			best = i;
			continue;
		}
		cmp = compare_logs(failover, failover->granted_position[i],
		    failover->granted_position[best]);
		if (cmp > 0 ||
		    (cmp == 0 &&
			preferred(&failover->views[i], &failover->views[best])))
			best = i;
	}
	return best;
}

/*
 * Return the number of databases that have promised the term.
 */
static uint32_t
granted_count(const failover_t *failover)
{
	uint32_t i, n = 0;

	for (i = 0; i < failover->count; i++)
		n += failover->granted[i];
	return n;
}

/*
 * Return the number of promises that a choice needs: a majority, and so many
 * that at least one of these databases holds each acknowledged commit, given
 * that a commit is acknowledged once sync_replicas replicas besides the primary
 * hold it.
 */
uint32_t
grants_needed(const failover_t *failover)
{
	uint32_t sync = failover->limits.sync_replicas;
	uint32_t needed = majority_of(failover->count);

	if (sync > 0 && sync < failover->count)
		needed = MAX(needed, failover->count - sync);
	return needed;
}

/*
 * Choose the successor of a primary that has stepped down for a handover: the
 * most advanced database that answers and is not leaving.  It must have the
 * primary's whole log; only without synchronous replicas may it lack entries
 * when the time to catch up is over.  Returns -1 while there is none.
 */
static int32_t
choose_successor(const failover_t *failover, int64_t now_us)
{
	const failover_limits_t *limits = &failover->limits;
	int32_t i, best = -1;

	for (i = 0; i < (int32_t)failover->count; i++) {
		const db_view_t *view = &failover->views[i];

		if (i == failover->stepping_down || !view->known ||
		    view->leaving ||
		    now_us - failover->last_alive_us[i] >= limits->suspect_us)
			continue;
		if (best < 0 ||
		    compare_logs(failover, view->last_entry,
			failover->views[best].last_entry) > 0)
			best = i;
	}
	if (best < 0 ||
	    position_compare(failover->views[best].last_entry,
		failover->granted_position[failover->stepping_down]) >= 0)
		return best;
	return limits->sync_replicas == 0 &&
		now_us - failover->granted_us >= limits->catch_up_us
	    ? best
	    : -1;
}

/*
 * Tell whether enough databases have promised the term that no older primary
 * can continue.  In a handover the promise of the primary itself is enough.
 */
bool
grants_suffice(const failover_t *failover)
{
	return failover->stepping_down >= 0
	    ? failover->granted[failover->stepping_down]
	    : granted_count(failover) >= grants_needed(failover);
}

/*
 * Tell whether the open orders allow the promotion of a database.  An order to
 * another one may take effect after this promotion, and the daemons check that
 * for each answer of the new primary.  So all of them must know of it; those
 * that have revoked their leases for this attempt were told.
 */
static bool
open_orders_allow(const failover_t *failover, int32_t chosen)
{
	bool elsewhere = failover->order_open_outside;
	int32_t i;

	for (i = 0; i < (int32_t)failover->count; i++)
		elsewhere |= i != chosen && failover->views[i].order_open;
	return !elsewhere || failover->revoked_by_all;
}

/*
 * Return the database to promote now, or -1 while promises are missing, leases
 * on the old primary may still be valid, or open orders forbid it.
 */
int32_t
ready_to_promote(const failover_t *failover, int64_t now_us)
{
	const failover_limits_t *limits = &failover->limits;
	int32_t chosen;

	if (!grants_suffice(failover) ||
	    (limits->lease_wait_us > 0 && failover->revoked_by_most_us == 0) ||
	    now_us - failover->granted_us < (failover->revoked_by_all
						    ? limits->lease_wait_min_us
						    : limits->lease_wait_us))
		return -1;
	chosen = failover->stepping_down >= 0
	    ? choose_successor(failover, now_us)
	    : (int32_t)choose_most_advanced(failover);
	return open_orders_allow(failover, chosen) ? chosen : -1;
}
