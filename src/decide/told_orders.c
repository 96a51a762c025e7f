#include "decide.h"

#include <glib.h>

/*
 * Orders that a coordinator has told another daemon.  While the store is away,
 * the record lacks them, and its absence of an order proves nothing.
 */

/*
 * Note what a coordinator has told, or, with token 0, what another daemon was
 * told.  A coordinator's own later word replaces an earlier one, since it
 * withdraws an order that was refused or not sent; others may not know of the
 * order.  Returns whether anything has changed.
 */
bool
told_orders_note(told_orders_t *told, const told_orders_t *news)
{
	if (news->token == 0) {
		if (!recorded_orders_newer(&news->orders, &told->orders))
			return false;
	} else if (news->token == told->token
		? news->sequence <= told->sequence
		: recorded_orders_newer(&told->orders, &news->orders)) {
		return false;
	}
	*told = *news;
	return true;
}

/*
 * Tell whether the orders that were told are newer than recorded ones.
 */
bool
told_orders_newer(const told_orders_t *told, const recorded_orders_t *recorded)
{
	return recorded_orders_newer(&told->orders, recorded);
}

/*
 * Return the orders that count as recorded: those that the store has recorded,
 * or newer ones that were told.  One that was told in an older era of the store
 * is not the last one, but may have replaced the primary of its term.
 */
recorded_orders_t
told_orders_merge(const told_orders_t *told, const recorded_orders_t *recorded)
{
	const recorded_orders_t *orders = &told->orders;
	recorded_orders_t merged = *recorded;
	uint32_t i;

	if (!told_orders_newer(told, recorded)) {
		if (orders->era < recorded->era)
			merged.replaced_term =
			    MAX(merged.replaced_term, orders->replaced_term);
		return merged;
	}
	recorded_orders_add(&merged, orders->replaced_term, orders->base);
	for (i = 0; i < orders->earlier_count; i++)
		recorded_orders_add_earlier(&merged, &orders->earlier[i]);
	merged.attempt_term = orders->attempt_term;
	merged.told_us = orders->told_us;
	merged.named = orders->named;
	merged.era = orders->era;
	return merged;
}
