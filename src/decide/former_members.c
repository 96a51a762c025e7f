#include "failover.h"

/*
 * Sets of members of a group that were recorded before.  A daemon may rest a
 * lease on one until it has read the present members, so that a change of the
 * primary needs a majority of each.
 */

/*
 * Return the newest term in which leases may rest on members that are replaced
 * now.  term: that of the leases now, or the one whose primary is replaced.
 * The members that go with an order are read as those of the term that it leads
 * to.  unproven: attempt whose order only standing promises prove; it may have
 * led to that term without a record.
 */
uint64_t
former_members_until(
    const recorded_orders_t *orders, uint64_t term, uint64_t unproven)
{
	uint64_t until = term;

	if (orders->attempt_term != 0)
		until = MAX(until, orders->replaced_term + 1);
	if (attempt_term_replaces(unproven) >= term)
		until = MAX(until, attempt_term_replaces(unproven) + 1);
	return until;
}

/*
 * Return the first term in which sets still count that were replaced before: in
 * it each lease rests on members that were read with or after the order that
 * led to it.  An order that was sent without a record does not show that.
 * newest_term: the newest one that is known to have begun.
 */
uint64_t
former_members_from(const recorded_orders_t *orders, uint64_t newest_term)
{
	return orders->attempt_term != 0 &&
		attempt_term_replaces(orders->attempt_term) == 0 &&
		newest_term > orders->replaced_term
	    ? orders->replaced_term + 1
	    : 0;
}

/*
 * Set the former members that count for a failover.
 */
void
failover_set_former(failover_t *failover, const former_members_t *former,
    uint32_t count, int64_t now_us)
{
	uint32_t i;

	/* fewer promises may suffice */
	if (count < failover->former_count)
		failover_members_lost(failover, now_us);
	for (i = 0; i < count; i++) {
		if (i < failover->former_count &&
		    (former[i].ended > failover->former[i].ended ||
			(former[i].open &&
			    former[i].count > failover->former[i].count)))
			failover_members_lost(failover, now_us);
		failover->former[i] = former[i];
	}
	failover->former_count = count;
}

/*
 * Tell whether certain databases have one in common with each majority of a
 * list that a daemon may have: it has all members of an open set, and may have
 * any other database of the group.  The list with the fewest of these is the
 * set and all databases that lack, and a majority of it may be those that lack.
 */
static bool
open_set_holds(const failover_t *failover, const former_members_t *former,
    const bool *databases)
{
	uint32_t i, held = 0, lacking = 0;

	for (i = 0; i < failover->count; i++) {
		held += databases[i] && former->member[i];
		lacking += !databases[i];
	}
	return lacking <= held;
}

/*
 * Tell whether this holds for each open set.
 */
bool
former_members_open_hold(const failover_t *failover, const bool *databases)
{
	uint32_t i;

	for (i = 0; i < failover->former_count; i++) {
		const former_members_t *former = &failover->former[i];

		if (former->open &&
		    !open_set_holds(failover, former, databases))
			return false;
	}
	return true;
}

/*
 * Tell whether certain databases are a majority of each set of former members.
 * ended: members that have ended count as well.
 */
bool
former_members_hold(
    const failover_t *failover, const bool *databases, bool ended)
{
	uint32_t i, j, n;

	if (!former_members_open_hold(failover, databases))
		return false;
	for (i = 0; i < failover->former_count; i++) {
		const former_members_t *former = &failover->former[i];

		if (former->open)
			continue;
		n = ended ? former->ended : 0;
		for (j = 0; j < failover->count; j++)
			n += databases[j] && former->member[j];
		if (n < majority_of(former->count))
			return false;
	}
	return true;
}

/* Longest delay of what is decided by the time since a database is listed. */
#define NEW_DATABASE_MARGIN_US US_PER_SECOND

/* Longest difference of the times of day of a database and a daemon. */
#define TIME_OF_DAY_MARGIN_US (30 * US_PER_SECOND)

/*
 * Return the time for which a database that is listed is not promoted where a
 * daemon may not know of it.  A lease of lease_us that rests on the list of
 * before has ended by then.
 */
int64_t
new_database_us(int64_t lease_us)
{
	return LIST_VALID_US + lease_us + NEW_DATABASE_MARGIN_US;
}

/*
 * Tell whether a database that the first list of a process has was started so
 * long before that it is listed for long, by the times of day of the two.
 * These differ, and jump by seconds.
 */
bool
started_for_long(uint64_t started_ms, int64_t now_ms, int64_t lease_us)
{
	int64_t age_us = new_database_us(lease_us) + TIME_OF_DAY_MARGIN_US;
	int64_t until_ms = now_ms - age_us / US_PER_MS;

	return until_ms >= 0 && started_ms <= (uint64_t)until_ms;
}

/*
 * Tell whether a daemon may know all members of a set that lacks a database:
 * the present ones, or former ones.  It then may take the answers of those for
 * those of all, unless one has ended.
 */
bool
failover_members_lack(const failover_t *failover, uint32_t database)
{
	uint32_t i;

	if (failover->members > 0 && failover->members_ended == 0 &&
	    !failover->views[database].member)
		return true;
	for (i = 0; i < failover->former_count; i++) {
		if (failover->former[i].ended == 0 &&
		    !failover->former[i].member[database])
			return true;
	}
	return false;
}
