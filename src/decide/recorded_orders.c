#include "decide.h"

/*
 * The orders to replace a primary that the store has recorded.  An order that
 * has taken effect has begun a term after the end of the log of the database
 * that it named; entries after that end, in older terms, were given up.  An
 * order may have had no effect, so what is known of those before it is kept.
 */

/*
 * Return the order to replace the newest primary in a term below a limit, or
 * false if there is none with the end of a log.
 */
static bool
newest_below(
    const recorded_orders_t *orders, uint64_t limit, earlier_order_t *newest)
{
	uint32_t i;

	*newest = (earlier_order_t){orders->replaced_term, orders->base};
	if (orders->replaced_term >= limit || orders->base.term == 0)
		*newest = (earlier_order_t){0};
	for (i = 0; i < orders->earlier_count; i++) {
		const earlier_order_t *order = &orders->earlier[i];

		if (order->replaced_term < limit &&
		    order->replaced_term > newest->replaced_term)
			*newest = *order;
	}
	return newest->base.term != 0;
}

/*
 * Add an order that is not the last one.  Nothing changes if it has no end of a
 * log, or another order to replace the same primary is known, which is later.
 * If there is no room, that of the oldest term is dropped: it matters only for
 * a database whose log ends in a term that old, and such a log is promoted only
 * if those of all that have promised the term are as old.
 */
void
recorded_orders_add_earlier(
    recorded_orders_t *orders, const earlier_order_t *order)
{
	earlier_order_t *oldest = &orders->earlier[0];
	uint32_t i;

	if (order->base.term == 0 ||
	    order->replaced_term == orders->replaced_term)
		return;
	for (i = 0; i < orders->earlier_count; i++) {
		if (orders->earlier[i].replaced_term == order->replaced_term)
			return;
		if (orders->earlier[i].replaced_term < oldest->replaced_term)
			oldest = &orders->earlier[i];
	}
	if (orders->earlier_count < EARLIER_ORDERS_MAX)
		orders->earlier[orders->earlier_count++] = *order;
	else if (oldest->replaced_term < order->replaced_term)
		*oldest = *order;
}

/*
 * Add an order as the last one.  Of several to replace the same primary only
 * the last counts.  It was decided when the others had shown no effect.  If it
 * has taken effect, entries up to the end of its log are in use whatever the
 * others did; a smaller position would give up commits that were acknowledged
 * between them.
 */
void
recorded_orders_add(
    recorded_orders_t *orders, uint64_t replaced_term, position_t base)
{
	earlier_order_t last = {orders->replaced_term, orders->base};
	uint32_t i;

	if (replaced_term > orders->replaced_term)
		orders->replaced_term = replaced_term;
	orders->base = base;
	for (i = 0; i < orders->earlier_count; i++) {
		if (orders->earlier[i].replaced_term == orders->replaced_term)
			orders->earlier[i] =
			    orders->earlier[--orders->earlier_count];
	}
	recorded_orders_add_earlier(orders, &last);
}

/*
 * Tell whether an order may have replaced the primary of a term.  key: of that
 * primary; 0: not known.  The term that follows the newest one that an order
 * replaces may have been begun by an earlier order, if another database leads
 * it than the last one names.
 */
bool
recorded_orders_may_replace(
    const recorded_orders_t *orders, uint64_t term, uint64_t key)
{
	return orders->replaced_term >= term ||
	    (orders->replaced_term != 0 && orders->replaced_term + 1 == term &&
		orders->named != 0 && key != 0 && orders->named != key);
}

/*
 * Tell whether the last one of some orders is newer than that of others: it was
 * recorded in a newer era of the store, or in the same one with a higher
 * number.  A store that comes back from an older copy has numbers given out
 * again.  Where an era is not known, the number counts.
 */
bool
recorded_orders_newer(
    const recorded_orders_t *orders, const recorded_orders_t *others)
{
	if (orders->attempt_term == 0 || others->attempt_term == 0 ||
	    orders->era == 0 || others->era == 0 || orders->era == others->era)
		return orders->attempt_term > others->attempt_term;
	return orders->era > others->era;
}

/*
 * Replace what is known by what was read or written since.  Orders that the
 * newer record lacks stay known as earlier ones: a daemon of a version before
 * these may have written it, or the store has lost some.
 */
void
recorded_orders_update(
    recorded_orders_t *orders, const recorded_orders_t *newer)
{
	recorded_orders_t before = *orders;
	uint32_t i;

	*orders = *newer;
	recorded_orders_add_earlier(
	    orders, &(earlier_order_t){before.replaced_term, before.base});
	for (i = 0; i < before.earlier_count; i++)
		recorded_orders_add_earlier(orders, &before.earlier[i]);
}

/*
 * Return the end of those entries of a log that its group has not given up.  A
 * newer term that has begun after an earlier position gives up what follows in
 * a log that does not reach that term.  newest_term: the newest one that is
 * known to have begun.  end: that of the whole log.
 */
position_t
recorded_orders_used_end(
    const recorded_orders_t *orders, uint64_t newest_term, position_t end)
{
	uint64_t limit = newest_term;
	earlier_order_t order;

	/* from the newest term back to those that the log may have seen */
	while (newest_below(orders, limit, &order) &&
	    end.term <= order.replaced_term) {
		if (end.index > order.base.index)
			end.index = order.base.index;
		if (end.term >= order.base.term) {
			end.term = order.base.term;
			break;
		}
		/* only terms up to that of the base led to the newer one */
		limit = order.base.term < order.replaced_term
		    ? order.base.term
		    : order.replaced_term;
	}
	return end;
}

/*
 * Tell whether a log has entries that its group has given up.  If its database
 * was promoted, these entries would come back.
 */
bool
recorded_orders_given_up(
    const recorded_orders_t *orders, uint64_t newest_term, position_t end)
{
	position_t used = recorded_orders_used_end(orders, newest_term, end);

	return position_compare(used, end) != 0;
}

/*
 * Tell whether a term may have begun after an entry that is not known, so that
 * entries of a log in older terms may have been given up.  The platform begins
 * the next term with each order that takes effect.  followed_term: the newest
 * one that the database of the log has led or followed.  newest_term: the
 * newest one that is known to have begun.  limit: orders to replace a primary
 * of this term or a newer one do not count.
 */
bool
recorded_orders_base_unknown(const recorded_orders_t *orders, uint64_t limit,
    uint64_t newest_term, uint64_t followed_term)
{
	earlier_order_t order;

	if (orders->replaced_term != 0 && orders->base.term == 0 &&
	    orders->replaced_term >= followed_term &&
	    orders->replaced_term < limit)
		return true;
	/* from the newest term back to one that the database has followed */
	while (followed_term < newest_term) {
		if (!newest_below(orders, newest_term, &order) ||
		    order.replaced_term + 1 != newest_term)
			return true;
		newest_term = order.base.term < order.replaced_term
		    ? order.base.term
		    : order.replaced_term;
	}
	return false;
}
