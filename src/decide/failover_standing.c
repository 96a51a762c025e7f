#include "failover_standing.h"

/*
 * Standing promises of a failover.  While the store cannot record an order,
 * databases prove it that keep a promise which the promotion does not end.  Its
 * number names the newest term that is replaced (attempt_term.c), so a process
 * that finds one of another process counts its order as sent.
 */

/*
 * Return the entry of an attempt of this process with standing promises, or
 * NULL if there is none.
 */
static failover_standing_t *
standing_find(failover_t *failover, uint64_t term)
{
	uint32_t i;

	for (i = 0; i < FAILOVER_STANDING_MAX; i++) {
		if (term != 0 && failover->own_standing[i].term == term)
			return &failover->own_standing[i];
	}
	return NULL;
}

/*
 * Note that an attempt of this process asks for standing promises.  Until its
 * order is sent they prove only the order that those before prove.  Overwrites
 * the oldest entry.
 */
void
standing_begin(failover_t *failover, uint64_t term)
{
	uint32_t next = failover->own_standing_next;

	failover->own_standing_next = (next + 1) % FAILOVER_STANDING_MAX;
	failover->own_standing[next] = (failover_standing_t){
	    term, failover->unproven_attempt, failover->unproven_attempt};
}

/*
 * Note that the order of an attempt is to be sent, or was refused.
 */
void
standing_ordered(failover_t *failover, uint64_t term, bool ordered)
{
	failover_standing_t *own = standing_find(failover, term);

	if (own == NULL)
		return;
	own->proves = ordered ? term : own->proved_before;
	failover->unproven_attempt = own->proves;
}

/*
 * Tell whether a standing promise is for an attempt of this process and proves
 * no order that the store has not recorded.
 */
bool
failover_promise_void(failover_t *failover, uint64_t term)
{
	const failover_standing_t *own = standing_find(failover, term);

	return own != NULL && own->proves <= failover->stored_attempt;
}

/*
 * Count the orders that standing promises have shown among the recorded ones.
 * It is not known after which entry they begin a term.
 */
void
standing_add_shown(failover_t *failover)
{
	if (failover->shown_replaced <= failover->recorded.replaced_term ||
	    failover->shown_attempt <= failover->recorded.attempt_term)
		return;
	recorded_orders_add(
	    &failover->recorded, failover->shown_replaced, (position_t){0});
}

/*
 * Note what the promise of a database shows: if it is a standing one of another
 * process, an order may have been sent that nobody else knows of.
 */
void
standing_note_shown(failover_t *failover, uint64_t promised, int64_t now_us)
{
	uint64_t replaced = attempt_term_replaces(promised);

	if (replaced == 0 || promised <= failover->recorded.attempt_term ||
	    (promised <= failover->shown_attempt &&
		replaced <= failover->shown_replaced) ||
	    standing_find(failover, promised) != NULL)
		return;
	failover->shown_attempt = MAX(failover->shown_attempt, promised);
	failover->unproven_attempt = MAX(failover->unproven_attempt, promised);
	failover->shown_replaced = MAX(failover->shown_replaced, replaced);
	failover->recorded_us = now_us;
	standing_add_shown(failover);
}

/*
 * Tell whether an order that the store does not record would be known
 * afterwards: a majority of the databases is the chosen one and those that hold
 * standing promises.
 */
bool
standing_proves_order(const failover_t *failover, int32_t chosen)
{
	uint32_t i, holders = 0;
	uint32_t all =
	    failover->members > 0 ? failover->members : failover->count;
	bool knows[GROUP_DATABASES_MAX];

	for (i = 0; i < failover->count; i++) {
		knows[i] = (int32_t)i == chosen || failover->standing[i];
		holders += knows[i] &&
		    (failover->members == 0 || failover->views[i].member);
	}
	return attempt_term_replaces(failover->term) != 0 &&
	    holders >= majority_of(all) &&
	    former_members_hold(failover, knows, false);
}
