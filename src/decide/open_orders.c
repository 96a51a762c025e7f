#include "open_orders.h"

#include <string.h>

/*
 * Free an order.
 */
static void
order_free(gpointer p)
{
	open_order_t *order = p;

	g_free(order->database);
	g_free(order);
}

/*
 * Free a leader.
 */
static void
leader_free(gpointer p)
{
	seen_leader_t *leader = p;

	g_free(leader->database);
	g_free(leader);
}

/*
 * Initialize an empty set of open orders.
 */
void
open_orders_init(open_orders_t *orders)
{
	orders->list = g_ptr_array_new_with_free_func(order_free);
	orders->leaders = g_ptr_array_new_with_free_func(leader_free);
}

/*
 * Free the orders of a set.
 */
void
open_orders_clear(open_orders_t *orders)
{
	g_clear_pointer(&orders->list, g_ptr_array_unref);
	g_clear_pointer(&orders->leaders, g_ptr_array_unref);
}

/*
 * Return an order of a set by its index.
 */
static open_order_t *
order_at(const open_orders_t *orders, uint32_t i)
{
	return g_ptr_array_index(orders->list, i);
}

/*
 * Return the order to a database in an attempt, or NULL if it is not in the
 * set.
 */
static open_order_t *
order_find(
    const open_orders_t *orders, const char *database, uint64_t attempt_term)
{
	uint32_t i;

	for (i = 0; i < orders->list->len; i++) {
		open_order_t *order = order_at(orders, i);

		if (order->attempt_term == attempt_term &&
		    strcmp(order->database, database) == 0)
			return order;
	}
	return NULL;
}

/*
 * Return the newest term that a database was seen to lead, or NULL if there is
 * none.
 */
static seen_leader_t *
leader_find(const open_orders_t *orders, const char *database)
{
	uint32_t i;

	for (i = 0; i < orders->leaders->len; i++) {
		seen_leader_t *leader = g_ptr_array_index(orders->leaders, i);

		if (strcmp(leader->database, database) == 0)
			return leader;
	}
	return NULL;
}

/*
 * Note that a database leads a term.
 */
static void
note_leader(open_orders_t *orders, const char *database, uint64_t term)
{
	seen_leader_t *leader = leader_find(orders, database);

	if (leader == NULL) {
		leader = g_new0(seen_leader_t, 1);
		leader->database = g_strdup(database);
		g_ptr_array_add(orders->leaders, leader);
	}
	leader->term = MAX(leader->term, term);
}

/*
 * Forget which term a database was seen to lead, since this start of it is
 * over, or it has left the group.
 */
void
open_orders_forget_leader(open_orders_t *orders, const char *database)
{
	seen_leader_t *leader = leader_find(orders, database);

	if (leader != NULL)
		g_ptr_array_remove(orders->leaders, leader);
}

/*
 * Tell whether an order began a term, as no other one may have done so.
 */
static bool
order_done(const open_orders_t *orders, const open_order_t *order)
{
	uint32_t i;

	if (order->begun_term == 0 || order->in_doubt)
		return false;
	for (i = 0; i < orders->list->len; i++) {
		if (order_at(orders, i) != order &&
		    order_at(orders, i)->begun_term == order->begun_term)
			return false;
	}
	return true;
}

/*
 * Tell whether the outcome of an order is not known.
 */
static bool
order_open(const open_orders_t *orders, const open_order_t *order)
{
	return !order->checked && !order_done(orders, order);
}

/*
 * Forget an order that may have begun a term.  The others that may have begun
 * it stay in doubt.
 */
static void
forget_order(open_orders_t *orders, uint32_t forgotten)
{
	uint64_t term = order_at(orders, forgotten)->begun_term;
	uint32_t i;

	for (i = 0; term != 0 && i < orders->list->len; i++) {
		if (i != forgotten && order_at(orders, i)->begun_term == term)
			order_at(orders, i)->in_doubt = true;
	}
	g_ptr_array_remove_index(orders->list, forgotten);
}

/*
 * Add a copy of an order.  The record may be read after the database that the
 * order names was seen to lead a newer term than those that it replaces.
 */
static void
add_copy(open_orders_t *orders, const open_order_t *added)
{
	const seen_leader_t *leader = leader_find(orders, added->database);
	open_order_t *order = g_new0(open_order_t, 1);

	*order = *added;
	order->database = g_strdup(added->database);
	order->begun_term = 0;
	order->in_doubt = order->checked = false;
	if (added->source == OPEN_ORDER_RECORDED && leader != NULL &&
	    order->replaced_term < leader->term)
		order->begun_term = leader->term;
	g_ptr_array_add(orders->list, order);
}

/*
 * Add an order, or leave it as it is known.  Each daemon counts the time for
 * which it is open from when it hears of it, so the earliest end is the most
 * exact.  If another daemon counts an order as open that has begun a term here,
 * that daemon knows of more orders, and it is in doubt.  Returns whether the
 * order was not open before.
 */
bool
open_orders_add(open_orders_t *orders, const open_order_t *added)
{
	open_order_t *order =
	    order_find(orders, added->database, added->attempt_term);
	bool done;

	if (order != NULL) {
		done = order_done(orders, order);
		if (added->until_us < order->until_us)
			order->until_us = added->until_us;
		order->source = MAX(order->source, added->source);
		if (!done || added->source != OPEN_ORDER_TOLD)
			return false;
		order->in_doubt = true;
		return true;
	}
	add_copy(orders, added);
	return true;
}

/*
 * Remove an order, which was refused or not sent.
 */
void
open_orders_remove(
    open_orders_t *orders, const char *database, uint64_t attempt_term)
{
	open_order_t *order = order_find(orders, database, attempt_term);

	if (order != NULL)
		g_ptr_array_remove(orders->list, order);
}

/*
 * Forget an order that is over by what another set shows.  The others that may
 * have begun the same term stay in doubt.
 */
void
open_orders_forget(
    open_orders_t *orders, const char *database, uint64_t attempt_term)
{
	open_order_t *order = order_find(orders, database, attempt_term);
	guint i;

	if (order != NULL && g_ptr_array_find(orders->list, order, &i))
		forget_order(orders, i);
}

/*
 * Note that an order takes effect until a time or never, since the platform has
 * accepted it.
 */
void
open_orders_shorten(open_orders_t *orders, const char *database,
    uint64_t attempt_term, int64_t until_us)
{
	open_order_t *order = order_find(orders, database, attempt_term);

	if (order != NULL)
		order->until_us = MIN(order->until_us, until_us);
}

/*
 * Replace the recorded orders of a set by those that the store has recorded
 * now.  The coordinator writes the record with each order, so that all but the
 * last one were open when it was written, as if the coordinator had told so.
 */
void
open_orders_replace_recorded(
    open_orders_t *orders, const open_order_t *recorded, uint32_t count)
{
	uint32_t i = orders->list->len, j;
	uint64_t last_attempt = 0;

	while (i-- > 0) {
		const open_order_t *order = order_at(orders, i);

		for (j = 0; j < count; j++) {
			if (recorded[j].attempt_term == order->attempt_term &&
			    strcmp(recorded[j].database, order->database) == 0)
				break;
		}
		if (order->source == OPEN_ORDER_RECORDED && j == count)
			forget_order(orders, i);
	}
	for (j = 0; j < count; j++)
		last_attempt = MAX(last_attempt, recorded[j].attempt_term);
	for (j = 0; j < count; j++) {
		open_order_t *order = order_find(
		    orders, recorded[j].database, recorded[j].attempt_term);
		bool known = order != NULL;

		open_orders_add(orders, &recorded[j]);
		order = order_find(
		    orders, recorded[j].database, recorded[j].attempt_term);
		if (order->attempt_term != last_attempt &&
		    (known || order->begun_term != 0))
			order->in_doubt = true;
	}
}

/*
 * Note that the store has come back from an older copy.  The record may lack an
 * open order then, which stays open for its time as if it had been told; and an
 * order that is recorded since may have the number of one that is over.
 */
void
open_orders_store_restored(open_orders_t *orders)
{
	uint32_t i = orders->list->len;

	while (i-- > 0) {
		if (order_open(orders, order_at(orders, i)))
			order_at(orders, i)->source = OPEN_ORDER_TOLD;
		else
			forget_order(orders, i);
	}
}

/*
 * Note that a term has begun by an order to promote a database; NULL: it is not
 * known which, and the set has all orders up to that term.
 */
void
open_orders_term_begun(
    open_orders_t *orders, const char *database, uint64_t term)
{
	uint32_t i;

	if (database != NULL)
		note_leader(orders, database, term);
	for (i = 0; i < orders->list->len; i++) {
		open_order_t *order = order_at(orders, i);

		if (order->begun_term == 0 && order->replaced_term < term &&
		    (database == NULL ||
			strcmp(order->database, database) == 0))
			order->begun_term = term;
	}
}

/*
 * Note that a database was asked for its status at a time, and has answered.
 * If an order has taken effect by then, its term shows.
 */
void
open_orders_checked(
    open_orders_t *orders, const char *database, int64_t asked_us)
{
	uint32_t i;

	for (i = 0; i < orders->list->len; i++) {
		open_order_t *order = order_at(orders, i);

		if (order->until_us <= asked_us &&
		    strcmp(order->database, database) == 0)
			order->checked = true;
	}
}

/*
 * Forget the orders that are not open and have been over for so long that no
 * other one is open that may have begun the same term; but not recorded ones,
 * which may be read again.  all: forget any order that has been over for so
 * long.
 */
void
open_orders_expire(open_orders_t *orders, bool all, int64_t now_us)
{
	uint32_t i = orders->list->len;

	while (i-- > 0) {
		const open_order_t *order = order_at(orders, i);

		if (order->until_us + ORDER_OPEN_US <= now_us &&
		    (all ||
			(order->source == OPEN_ORDER_TOLD &&
			    !order_open(orders, order))))
			forget_order(orders, i);
	}
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
 * Call back for each order that is over and not forgotten yet.
 */
void
open_orders_each_over(
    const open_orders_t *orders, open_order_cb callback, void *context)
{
	uint32_t i;

	for (i = 0; i < orders->list->len; i++) {
		if (!order_open(orders, order_at(orders, i)))
			callback(context, order_at(orders, i));
	}
}
