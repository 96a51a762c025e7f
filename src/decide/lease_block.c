#include "lease_internal.h"

/* The block of leases by the signs of an attempt at a failover. */

/*
 * Tell whether a standing promise of a database names this term or a newer one:
 * an order to replace its primary may have been sent.
 */
static bool
order_shown(const db_view_t *view, uint64_t term)
{
	return view->known && attempt_term_replaces(view->promised) >= term;
}

/*
 * Tell whether the record names the attempt whose signs block leases.  One that
 * was read before the latest sign, or that names an attempt of an older era,
 * may mean another attempt: a store that comes back from an older copy has
 * numbers given out again.  An order that the record lacks counts if it was
 * told with the latest sign or since.
 */
static bool
record_names_attempt(const lease_t *lease)
{
	const recorded_orders_t *orders = &lease->orders;

	return (orders->read_us > lease->blocked_us ||
		   orders->told_us >= lease->blocked_us) &&
	    orders->attempt_term == lease->attempt_term &&
	    orders->era == orders->read_era;
}

/*
 * Tell whether the record was read so late that it would name the order of the
 * attempt whose signs block leases.
 */
static bool
order_overdue(const lease_t *lease)
{
	return lease->orders.read_us - lease->blocked_us >= ATTEMPT_MAX_US;
}

/*
 * Tell whether all databases deny the attempt whose signs block leases.  One
 * that has started again since the latest sign has forgotten its promise, and
 * an order of the attempt may be on its way; so its answer counts only when
 * such an order takes effect no more.
 */
static bool
attempt_denied(const lease_t *lease)
{
	const lease_denials_t *denials = &lease->denials;

	return denials->certain_us > lease->blocked_us &&
	    (denials->connected_us <= lease->blocked_us ||
		denials->certain_us - lease->blocked_us >= ORDER_OPEN_US);
}

/*
 * End the block of leases by the signs of an attempt.
 */
static void
end_block(lease_t *lease, bool by_all)
{
	lease_unblock_t ended_by = LEASE_UNBLOCKED_BY_TIME;

	if (by_all)
		ended_by = LEASE_UNBLOCKED_BY_ALL;
	else if (record_names_attempt(lease))
		ended_by = LEASE_UNBLOCKED_BY_ATTEMPT;
	lease->last_block = (lease_last_block_t){
	    ended_by, lease->attempt_term, lease->blocked_us};
	lease->blocked_term = lease->attempt_term = 0;
}

/*
 * Tell whether a failover blocks leases in a term.  A promise above the
 * primary's term is a sign of a failover, and the block outlasts the promise
 * itself: promises also disappear when the failover ends, at once at all
 * databases, also at those that do not know of the new primary yet.  The block
 * is lifted when every database that the attempt may promote has denied since,
 * at one moment, that it holds such a promise.  When some do not answer, or
 * the list is out of date, a majority suffices, and the store must record that
 * the attempt has led to this primary or, after ATTEMPT_MAX_US, to none.  Where
 * the members are recorded, only they count for a majority.  A standing promise
 * for an order to replace this primary blocks leases as long as it is there.
 */
bool
renewal_blocked(
    lease_t *lease, const db_view_t *views, uint32_t count, uint32_t primary)
{
	uint64_t term = views[primary].promised;
	uint32_t members = recorded_members(lease, term);
	uint32_t i, denied = 0, answered = 0;
	uint32_t all = members > 0 ? members : count;
	bool by_all, promised = false, shown = false;

	for (i = 0; i < count; i++) {
		shown |= order_shown(&views[i], term);
		if (!views[i].known ||
		    !promise_blocks(lease, &views[i], &views[primary]))
			continue;
		promised = true;
		/* keep the time of the latest sign of a failover */
		if (lease->blocked_term < term ||
		    views[i].requested_us > lease->blocked_us)
			lease->blocked_us = views[i].requested_us;
		if (lease->blocked_term < term)
			lease->blocked_term = term;
		if (views[i].promised > lease->attempt_term)
			lease->attempt_term = views[i].promised;
	}
	if (shown)
		return true;
	if (lease->blocked_term < term || lease->blocked_term == 0)
		return false;
	for (i = 0; i < count; i++) {
		if (!views[i].known ||
		    promise_blocks(lease, &views[i], &views[primary]) ||
		    views[i].requested_us <= lease->blocked_us)
			continue;
		answered++;
		denied += members == 0 || views[i].member;
	}
	if (denied < majority_of(all)) {
		/* others may have been recorded since */
		lease->unverified =
		    members > 0 && answered >= majority_of(count);
		return true;
	}
	/* a primary alone has nobody else's answer */
	by_all = denied == all && answered == count && all > 1 && !promised &&
	    attempt_denied(lease) && !members_missing(lease, term) &&
	    !all_unknown(lease, lease->denials.certain_us) &&
	    !order_recorded(lease, &views[primary]);
	lease->unverified = !by_all;
	if (!by_all &&
	    (!record_allows(lease, &views[primary]) ||
		(!record_names_attempt(lease) && !order_overdue(lease))))
		return true;
	end_block(lease, by_all);
	return false;
}

/*
 * End a lease in a term below this one, because a failover to this term is
 * under way, and block its renewal.
 */
void
lease_revoke(lease_t *lease, uint64_t term, int64_t now_us)
{
	if (lease->term >= term)
		return;
	if (lease->expires_us > now_us && now_us > lease->verified_us)
		lease->verified_us = now_us;
	lease->expires_us = 0;
	/* also blocks terms that are not known here yet */
	if (lease->blocked_term < term - 1)
		lease->blocked_term = term - 1;
	if (lease->attempt_term < term)
		lease->attempt_term = term;
	lease->blocked_us = now_us;
	lease->answers.noted_us = 0;
	denials_forget(lease);
}
