#include "open_orders_internal.h"

#include <string.h>

/* Which orders of a set are over, and which are open. */

/*
 * Return an order of a set by its index.
 */
open_order_t *
order_at(const open_orders_t *orders, uint32_t i)
{
	return g_ptr_array_index(orders->list, i);
}

/*
 * Tell whether an order began a term, as no other one to its database may have
 * done so.
 */
bool
order_done(const open_orders_t *orders, const open_order_t *order)
{
	uint32_t i;

	if (order->begun_term == 0 || order->in_doubt)
		return false;
	for (i = 0; i < orders->list->len; i++) {
		const open_order_t *other = order_at(orders, i);

		if (other != order &&
		    strcmp(other->database, order->database) == 0 &&
		    other->replaced_term < order->begun_term)
			return false;
	}
	return true;
}

/*
 * Tell whether the first order that was recorded after the time of another one
 * has begun a term.
 */
static bool
next_done(const open_orders_t *orders, const open_order_t *order)
{
	uint32_t i;

	for (i = 0; order->followed_by != 0 && i < orders->list->len; i++) {
		if (order_at(orders, i)->attempt_term == order->followed_by &&
		    order_done(orders, order_at(orders, i)))
			return true;
	}
	return false;
}

/*
 * Return what has ended an order of a set, if anything has.  An order is over
 * when an answer of its database shows the outcome: one to a request that was
 * sent when the order could not take effect any more, or one by which the
 * database leads the term that the order began.  Or when a term is led that
 * began later than that: what the order has begun, if anything, is older.
 */
open_order_end_t
order_end(const open_orders_t *orders, const open_order_t *order)
{
	if (order->checked)
		return OPEN_ORDER_ASKED;
	if (order_done(orders, order))
		return OPEN_ORDER_LED;
	return order->overtaken || next_done(orders, order)
	    ? OPEN_ORDER_OVERTAKEN
	    : OPEN_ORDER_OPEN;
}

/*
 * Tell whether the outcome of an order is not known.
 */
bool
order_open(const open_orders_t *orders, const open_order_t *order)
{
	return order_end(orders, order) == OPEN_ORDER_OPEN;
}

/*
 * Return the number of open orders.
 */
uint32_t
open_orders_count(const open_orders_t *orders)
{
	uint32_t i, count = 0;

	for (i = 0; i < orders->list->len; i++)
		count += order_open(orders, order_at(orders, i));
	return count;
}

/*
 * Tell whether an order to promote a database is open.
 */
bool
open_orders_has(const open_orders_t *orders, const char *database)
{
	uint32_t i;

	for (i = 0; i < orders->list->len; i++) {
		const open_order_t *order = order_at(orders, i);

		if (strcmp(order->database, database) == 0 &&
		    order_open(orders, order))
			return true;
	}
	return false;
}

/*
 * Call back for each open order.
 */
void
open_orders_each(
    const open_orders_t *orders, open_order_cb callback, void *context)
{
	uint32_t i;

	for (i = 0; i < orders->list->len; i++) {
		if (order_open(orders, order_at(orders, i)))
			callback(context, order_at(orders, i));
	}
}

/*
 * Tell whether a record must name an order: it is open, or another order to its
 * database is, which the term that this one began would seem to end.
 */
static bool
order_named(const open_orders_t *orders, const open_order_t *order)
{
	return order_open(orders, order) ||
	    open_orders_has(orders, order->database);
}

/*
 * Call back for each order that a record must name, or need not name.
 */
void
open_orders_each_named(const open_orders_t *orders, bool named,
    open_order_cb callback, void *context)
{
	uint32_t i;

	for (i = 0; i < orders->list->len; i++) {
		if (order_named(orders, order_at(orders, i)) == named)
			callback(context, order_at(orders, i));
	}
}
