#include "open_orders_internal.h"

#include <string.h>

/* Time in which a database that can be asked answers. */
#define ANSWER_US US_PER_SECOND

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
	orders->record_begun = 0;
	orders->last_end = OPEN_ORDER_OPEN;
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
 * Return what the answers of a database have shown, which is nothing at first.
 */
static seen_leader_t *
leader_of(open_orders_t *orders, const char *database)
{
	seen_leader_t *leader = leader_find(orders, database);

	if (leader == NULL) {
		leader = g_new0(seen_leader_t, 1);
		leader->database = g_strdup(database);
		g_ptr_array_add(orders->leaders, leader);
	}
	return leader;
}

/*
 * Note that a database leads a term.
 */
static void
note_leader(open_orders_t *orders, const char *database, uint64_t term)
{
	seen_leader_t *leader = leader_of(orders, database);

	leader->term = MAX(leader->term, term);
}

/*
 * Note which term a database leads by its answer to a request; 0: none.  A term
 * that is newer than before had not begun when the request was sent that the
 * database has answered before.
 */
static void
note_answered(open_orders_t *orders, const char *database, uint64_t led_term,
    int64_t asked_us)
{
	seen_leader_t *leader = leader_of(orders, database);

	if (led_term > leader->told_term) {
		leader->told_term = led_term;
		leader->before_us = leader->asked_us;
	}
	leader->asked_us = asked_us;
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
 * Note which orders are open now.
 */
static void
note_open(open_orders_t *orders)
{
	uint32_t i;

	for (i = 0; i < orders->list->len; i++)
		order_at(orders, i)->was_open =
		    order_open(orders, order_at(orders, i));
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

	if (order_open(orders, order_at(orders, forgotten)))
		orders->last_end = OPEN_ORDER_UNRECORDED;
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
	order->named_since_us = 0;
	order->in_doubt = order->checked = order->overtaken = false;
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
		if (order->followed_by == 0)
			order->followed_by = added->followed_by;
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
	uint32_t i;

	if (order == NULL)
		return;
	orders->last_end = OPEN_ORDER_REFUSED;
	g_ptr_array_remove(orders->list, order);
	for (i = 0; i < orders->list->len; i++) {
		if (order_at(orders, i)->followed_by == attempt_term)
			order_at(orders, i)->followed_by = 0;
	}
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
 * Tell whether an order is in a list.
 */
static bool
is_listed(const open_order_t *order, const open_order_t *list, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (list[i].attempt_term == order->attempt_term &&
		    strcmp(list[i].database, order->database) == 0)
			return true;
	}
	return false;
}

/*
 * Note with which token the record was begun.  One that was begun again lacks
 * what the former one said, so that those orders stay as if they had been told.
 */
static void
note_begun(open_orders_t *orders, uint64_t begun)
{
	uint32_t i;

	if (begun == orders->record_begun)
		return;
	for (i = 0; i < orders->list->len; i++) {
		order_at(orders, i)->source = OPEN_ORDER_TOLD;
		order_at(orders, i)->named_since_us = 0;
	}
	orders->record_begun = begun;
}

/*
 * Replace the recorded orders of a set by those that the store had recorded
 * when it was asked at asked_us.  One that was recorded later stays, also if an
 * older record is answered after a newer one.  The coordinator writes the
 * record with each order, so that all but the last one were open when it was
 * written, as if the coordinator had told so.  begun: token with which the
 * record was begun; 0: there is none, or it does not say.
 */
void
open_orders_replace_recorded(open_orders_t *orders,
    const open_order_t *recorded, uint32_t count, uint64_t begun,
    int64_t asked_us, int64_t now_us)
{
	uint32_t i = orders->list->len, j;
	uint64_t last_attempt = 0;

	note_begun(orders, begun);
	while (i-- > 0) {
		const open_order_t *order = order_at(orders, i);

		if (order->source == OPEN_ORDER_RECORDED &&
		    order->recorded_us <= asked_us &&
		    !is_listed(order, recorded, count))
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
		order->recorded_us = now_us;
		if (order->named_since_us == 0 && asked_us != 0)
			order->named_since_us = now_us;
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
		open_order_t *order = order_at(orders, i);

		if (!order_open(orders, order)) {
			forget_order(orders, i);
			continue;
		}
		order->source = OPEN_ORDER_TOLD;
		order->named_since_us = 0;
	}
}

/*
 * Note that a database leads a term.
 */
void
open_orders_term_begun(
    open_orders_t *orders, const char *database, uint64_t term)
{
	uint32_t i;

	note_leader(orders, database, term);
	for (i = 0; i < orders->list->len; i++) {
		open_order_t *order = order_at(orders, i);

		if (order->begun_term == 0 && order->replaced_term < term &&
		    strcmp(order->database, database) == 0)
			order->begun_term = term;
	}
}

/*
 * Note an order that is sent.  Those whose time is over can only have begun
 * older terms than the one that it begins.
 */
void
open_orders_note(
    open_orders_t *orders, const open_order_t *noted, int64_t now_us)
{
	uint32_t i;

	open_orders_remove(orders, noted->database, noted->attempt_term);
	for (i = 0; i < orders->list->len; i++) {
		open_order_t *order = order_at(orders, i);

		if (order->followed_by == 0 && order->until_us <= now_us)
			order->followed_by = noted->attempt_term;
	}
	open_orders_add(orders, noted);
}

/*
 * Note which orders could not take effect any more when the term began that a
 * database leads.
 */
static void
note_overtaken(open_orders_t *orders, const char *database, uint64_t term)
{
	const seen_leader_t *leader = leader_find(orders, database);
	uint32_t i;

	if (leader == NULL || leader->told_term != term)
		return;
	for (i = 0; i < orders->list->len; i++) {
		open_order_t *order = order_at(orders, i);

		order->overtaken |= order->until_us <= leader->before_us;
	}
}

/*
 * Note that a database was asked for its status at a time, and which term it
 * leads by its answer; 0: none.  If an order has taken effect by then, its term
 * shows.
 */
void
open_orders_checked(open_orders_t *orders, const char *database,
    uint64_t led_term, int64_t asked_us)
{
	uint32_t i;

	note_answered(orders, database, led_term, asked_us);
	for (i = 0; i < orders->list->len; i++) {
		open_order_t *order = order_at(orders, i);

		if (order->until_us <= asked_us &&
		    strcmp(order->database, database) == 0)
			order->checked = true;
	}
}

/*
 * Tell whether the time in which an order may take effect has been over for so
 * long that no other one is open that may have begun the same term.
 */
static bool
order_expired(const open_order_t *order, int64_t now_us)
{
	return order->until_us + ORDER_OPEN_US <= now_us;
}

/*
 * Forget the expired orders that are not open; but not recorded ones, which may
 * be read again.
 */
void
open_orders_expire(open_orders_t *orders, int64_t now_us)
{
	uint32_t i = orders->list->len;

	note_open(orders);
	while (i-- > 0) {
		const open_order_t *order = order_at(orders, i);

		if (order->source == OPEN_ORDER_TOLD &&
		    order_expired(order, now_us) && !order->was_open)
			forget_order(orders, i);
	}
}

/*
 * Tell whether an order of a list names a database.
 */
static bool
database_listed(const char *database, const open_order_t *list, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(list[i].database, database) == 0)
			return true;
	}
	return false;
}

/*
 * Forget the expired orders of a set without answers of databases, before the
 * next order is recorded with it: those to databases that none of the orders
 * names that are open by the answers, which are added.
 */
void
open_orders_settle(open_orders_t *orders, const open_order_t *open,
    uint32_t count, int64_t now_us)
{
	uint32_t i = orders->list->len;

	while (i-- > 0) {
		const open_order_t *order = order_at(orders, i);

		if (order_expired(order, now_us) &&
		    !database_listed(order->database, open, count))
			forget_order(orders, i);
	}
	for (i = 0; i < count; i++)
		open_orders_add(orders, &open[i]);
}

/*
 * Add the orders of another set.
 */
void
open_orders_add_all(open_orders_t *orders, const open_orders_t *added)
{
	uint32_t i;

	for (i = 0; i < added->list->len; i++)
		open_orders_add(orders, order_at(added, i));
}

/* The open orders of a group that are being marked. */
typedef struct marker {
	failover_t *failover;
	lease_t *lease;
	database_name_cb name;
	void *context;
	int64_t now_us;
} marker_t;

/*
 * Mark the database that an open order names.  One that is not in the group is
 * not asked, so that the outcome stays unknown, also when the time of the order
 * is over.
 */
static void
mark(void *context, const open_order_t *order)
{
	marker_t *marker = context;
	failover_t *failover = marker->failover;
	int32_t primary = failover_primary(failover);
	uint32_t i;

	for (i = 0; i < failover->count &&
	     strcmp(order->database, marker->name(marker->context, i)) != 0;
	     i++)
		;
	if (i < failover->count)
		failover->views[i].order_open = true;
	else
		marker->lease->order_open_outside = true;
	failover->orders_named_us = MAX(failover->orders_named_us,
	    order->named_since_us == 0 ? INT64_MAX : order->named_since_us);
	failover->order_unanswered |= (int32_t)i != primary &&
	    order->until_us + ANSWER_US <= marker->now_us;
}

/*
 * Note what the answers of a group's databases show of its open orders.
 */
static void
note_answers(open_orders_t *orders, const failover_t *failover,
    database_name_cb name, void *context)
{
	int32_t primary = failover_primary(failover);
	uint32_t i;

	if (primary >= 0)
		open_orders_term_begun(orders, name(context, (uint32_t)primary),
		    failover->views[primary].promised);
	for (i = 0; i < failover->count; i++) {
		const db_view_t *view = &failover->views[i];

		if (view->known)
			open_orders_checked(orders, name(context, i),
			    view->primary ? view->term : 0, view->requested_us);
	}
	if (primary >= 0)
		note_overtaken(orders, name(context, (uint32_t)primary),
		    failover->views[primary].promised);
}

/*
 * Bring the open orders of a group up to date with the answers of its
 * databases, and mark the databases that open orders name.
 */
void
open_orders_update(open_orders_t *orders, failover_t *failover, lease_t *lease,
    database_name_cb name, void *context, int64_t now_us)
{
	marker_t marker = {failover, lease, name, context, now_us};
	uint32_t i;

	note_open(orders);
	note_answers(orders, failover, name, context);
	for (i = 0; i < orders->list->len; i++) {
		const open_order_t *order = order_at(orders, i);

		if (order->was_open && !order_open(orders, order))
			orders->last_end = order_end(orders, order);
	}
	open_orders_expire(orders, now_us);
	for (i = 0; i < failover->count; i++)
		failover->views[i].order_open = false;
	lease->order_open_outside = failover->order_unanswered = false;
	failover->orders_named_us = 0;
	open_orders_each(orders, mark, &marker);
	failover->order_open_outside = lease->order_open_outside;
}
