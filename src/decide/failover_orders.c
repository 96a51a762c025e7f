#include "failover_internal.h"
#include "failover_standing.h"

/*
 * Return the highest number of a term or attempt that is known.
 */
uint64_t
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
 * Tell whether an order to replace the primary was recorded, or may have been
 * sent without, but no newer primary is seen: it may have been promoted and be
 * out of reach.
 */
bool
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
