#include "lease_internal.h"

/*
 * What the record of the orders and the members, and the list of the databases,
 * show to a daemon that needs a lease.
 */

/*
 * Return how long a lease lasts that rests on a status request sent at
 * asked_us.
 */
int64_t
lease_duration_us(const lease_duration_t *durations, int64_t asked_us)
{
	return durations->listed_since_us != 0 &&
		asked_us >= durations->listed_since_us
	    ? durations->long_us
	    : durations->short_us;
}

/*
 * Tell whether a promise of a database blocks leases on a primary.  The
 * standing promise of the attempt that has led to its term does not: the
 * primary is the one that the order of that attempt named.
 */
bool
promise_blocks(
    const lease_t *lease, const db_view_t *view, const db_view_t *primary)
{
	const recorded_orders_t *orders = &lease->orders;

	if (view->promised <= primary->promised)
		return false;
	return attempt_term_replaces(view->promised) == 0 ||
	    view->promised != orders->attempt_term ||
	    orders->replaced_term >= primary->promised ||
	    (orders->named != 0 && orders->named != primary->key);
}

/*
 * Tell whether the list may lack databases that count by a time: those that
 * registered since are promoted, or have a vote where none are recorded.
 */
bool
list_outdated(const lease_t *lease, int64_t at_us)
{
	return lease->list_until_us != 0 && at_us > lease->list_until_us;
}

/*
 * Tell whether a database that this process does not know may have been
 * promoted by a time, so that the answers of all others do not show that there
 * was no newer primary then.
 */
bool
all_unknown(const lease_t *lease, int64_t at_us)
{
	return lease->removed_alive || list_outdated(lease, at_us);
}

/*
 * Tell whether the record was read before the store came back from an older
 * copy.  Then it shows neither the orders nor the members: others are recorded
 * from then on by daemons that know only those of the older copy.
 */
bool
record_outdated(const lease_t *lease)
{
	return lease->orders.read_era < lease->store_era;
}

/*
 * Tell whether the store has all orders to replace the primary of a term. After
 * it has come back from an older copy it may lack some.  It lacks none of those
 * that matter if it was known later, when a lost order had taken effect or
 * never would, that there was no newer primary; or if the term was ordered
 * since, as the databases had promised no newer one then.
 */
static bool
record_is_complete(const lease_t *lease, uint64_t term)
{
	const recorded_orders_t *orders = &lease->orders;

	return !record_outdated(lease) &&
	    (orders->lost_us == 0 ||
		(orders->era == orders->read_era &&
		    term >= orders->attempt_term) ||
		lease->verified_us >= orders->lost_us + ATTEMPT_MAX_US);
}

/*
 * Return the number of members of the group that leases in a term rest on:
 * those that the store has recorded, or 0 if none are, or the record may lack
 * orders.
 */
uint32_t
recorded_members(const lease_t *lease, uint64_t term)
{
	return record_is_complete(lease, term) ? lease->members : 0;
}

/*
 * Tell whether orders to replace the primary of a term may have been sent of
 * which neither this process nor the record knows: a former coordinator sent
 * them while the store was away, before this process began to watch the group,
 * and ended.  An order that was recorded since, in the era of the store then or
 * a later one, was preceded by promises of a majority, and replaces the
 * primaries of theirs.  Where the members of the group are recorded, a majority
 * of them knows of each order.
 */
bool
unaware(const lease_t *lease, uint64_t term)
{
	const recorded_orders_t *orders = &lease->orders;

	return lease->watched_since_us != 0 &&
	    recorded_members(lease, term) == 0 &&
	    (orders->attempt_term <= lease->first_attempt_term ||
		orders->era < lease->first_read_era ||
		orders->replaced_term >= term);
}

/*
 * Tell whether the store records that all orders to replace a primary concern
 * older ones than that of this term.
 */
bool
record_allows(const lease_t *lease, const db_view_t *primary)
{
	uint64_t term = primary->promised;

	return lease->orders.read_us != 0 &&
	    !recorded_orders_may_replace(&lease->orders, term, primary->key) &&
	    record_is_complete(lease, term) && !unaware(lease, term);
}

/*
 * Tell whether the store has recorded an order to replace the primary of this
 * term.  A database that was promoted may have left the list, or may have
 * restarted, so that the answers of all listed ones do not show it.
 */
bool
order_recorded(const lease_t *lease, const db_view_t *primary)
{
	return lease->orders.read_us != 0 &&
	    recorded_orders_may_replace(
		&lease->orders, primary->promised, primary->key);
}

/*
 * Tell whether the known databases may not be all of the group, so that their
 * answers do not show that there is no newer primary.  In place of a new list
 * the recorded orders are asked, unless the record may lack some.  To a
 * process that has just started the list does not count as new unless the store
 * was away before.  Where the members are recorded, the list does not matter;
 * if so many of them have ended that the others are no majority, what they had
 * promised is gone, and the list proves nothing.
 */
bool
members_missing(const lease_t *lease, uint64_t term)
{
	if (recorded_members(lease, term) > 0)
		return false;
	return lease->incomplete || lease->members_ended ||
	    (lease->list_new && lease->orders.lost_us == 0 &&
		(lease->list_after_outage || !unaware(lease, term)));
}
