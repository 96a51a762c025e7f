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
		    former[i].ended > failover->former[i].ended)
			failover_members_lost(failover, now_us);
		failover->former[i] = former[i];
	}
	failover->former_count = count;
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

	for (i = 0; i < failover->former_count; i++) {
		const former_members_t *former = &failover->former[i];

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
