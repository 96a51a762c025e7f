#include "promotion_internal.h"

#include <string.h>

/*
 * Promotion orders: what the pool wants, and what the daemons and the pool
 * answer to the questions that an order waits for.
 *
 * The first order under a new token is sent FIRST_ORDER_DELAY_US after most
 * daemons were told of the token.  While the store is unreachable, an order is
 * sent only if most daemons confirm the token within CONFIRM_TIMEOUT_MS.
 * Therefore the previous coordinator either learns of the new token before it
 * sends an order, or its order reaches the platform before the new
 * coordinator's first one.
 */

/*
 * Handle PromisesChecked: send an order if the promises for it are held, or
 * record it again first if it was recorded too long ago.
 */
void
promises_checked(void *context, msg_t *msg)
{
	const Bp__PromisesChecked *checked =
	    (const Bp__PromisesChecked *)msg->body;
	registry_t *registry = context;
	GList *l;

	for (l = registry->pending_orders; l != NULL; l = l->next) {
		order_t *order = l->data;

		if (!order->checking ||
		    order_request(order)->term != checked->term ||
		    strcmp(order_request(order)->group, checked->group) != 0)
			continue;
		source_clear(&order->timer);
		order->checking = false;
		order->promised = checked->held;
		if (!checked->held)
			order_finish(
			    order, BP__PROMOTION_ANSWER__ORDER_UNPROMISED);
		else if (clock_us() - order->put_us >
		    COORDINATOR_CHECK_MAX_AGE_US)
			order->recording = true;
		else
			order_send(order);
		break;
	}
	write_orders(registry);
	msg_free(msg);
}

/*
 * Drop an order because too few daemons confirmed the token in time.
 */
static gboolean
on_confirm_timeout(gpointer context)
{
	order_t *order = context;

	source_clear(&order->timer);
	order_finish(order, BP__PROMOTION_ANSWER__ORDER_UNCONFIRMED);
	return G_SOURCE_REMOVE;
}

/*
 * Tell the daemons of the last successful listing of the order, and ask whether
 * they know of a newer coordinator.  While the store is unreachable, this is
 * the only way to learn of one, and without the store nobody else would know of
 * the order if this process ended.
 */
static void
order_ask_daemons(order_t *order)
{
	registry_t *registry = order->registry;
	const Bp__PromotionWanted *wanted = order_request(order);
	msg_t *msg = msg_new(&bp__revoke_wanted__descriptor);
	Bp__RevokeWanted *request = (Bp__RevokeWanted *)msg->body;

	order_note(order);
	request->group = arena_strdup(msg->arena, wanted->group);
	request->term = wanted->term;
	request->token = registry->fencing_token;
	request->has_confirms = request->confirms = 1;
	order->asked_us = clock_us();
	request->has_asked_us = 1;
	request->asked_us = (uint64_t)order->asked_us;
	order->timer = task_timer(
	    registry->task, CONFIRM_TIMEOUT_MS, on_confirm_timeout, order);
	revoke_from_last_listed(registry, msg);
}

/*
 * Send an order that the store cannot record now.  It is recorded when the
 * store answers again.
 */
static void
order_send_unrecorded(order_t *order)
{
	registry_t *registry = order->registry;

	coordinator_note_unrecorded(registry);
	orders_report_noted(registry);
	order_send(order);
}

/*
 * Tell whether a report answers the request to confirm an order, and not one
 * for an earlier order of the same number.
 */
static bool
answers_order(const Bp__RevokeEnded *ended, const order_t *order)
{
	return order->asked_us != 0 &&
	    (int64_t)ended->asked_us == order->asked_us;
}

/*
 * Handle RevokeEnded: send the order if a majority of the daemons, or all, have
 * confirmed this daemon's token; drop it if one of them knows a newer token, a
 * primary newer than those that the order replaces, or an order that was not
 * known when this one was decided.  A number may come again: what tells against
 * an order counts whenever it was asked for, but only the answers to the
 * order's own request confirm it.  The replacement of a record that cannot be
 * read also waits for it.
 */
void
order_confirmed(void *context, msg_t *msg)
{
	const Bp__RevokeEnded *ended = (const Bp__RevokeEnded *)msg->body;
	registry_t *registry = context;
	GList *l;

	restore_confirmed(registry, ended);
	for (l = registry->pending_orders; l != NULL; l = l->next) {
		order_t *order = l->data;

		if (order->timer == NULL || order->checking ||
		    order_request(order)->term != ended->term ||
		    strcmp(order_request(order)->group, ended->group) != 0)
			continue;
		if (ended->state == BP__REVOKE_STATE__OUTDATED ||
		    registry->fencing_token == 0)
			order_withhold(order);
		else if (ended->newest_term >
			order_request(order)->replaced_term ||
		    (ended->order != NULL &&
			orders_learn(registry, ended->order)))
			order_finish(
			    order, BP__PROMOTION_ANSWER__ORDER_OUTDATED);
		else if (!answers_order(ended, order))
			continue;
		else if (clock_us() - order->asked_us >
		    CONFIRM_TIMEOUT_MS * US_PER_MS)
			/* suspended; the timer has not run yet */
			order_finish(
			    order, BP__PROMOTION_ANSWER__ORDER_UNCONFIRMED);
		else
			order_send_unrecorded(order);
		break;
	}
	msg_free(msg);
}

/*
 * Tell whether most daemons were told of the present token before an order was
 * decided.  The attempt may have begun under an earlier one.
 */
static bool
token_was_told(const registry_t *registry, const order_t *order)
{
	return order_request(order)->heard_token == registry->fencing_token;
}

/*
 * Handle PromotionWanted: the pool wants a server to become primary.  While the
 * store is unreachable, only a coordinator that has already sent an order under
 * its token may send another, and only for an attempt with standing promises.
 */
void
promotion_wanted(void *context, msg_t *msg)
{
	registry_t *registry = context;
	order_t *order = g_new0(order_t, 1);
	int64_t waited_us;

	order->registry = registry;
	order->msg = msg;
	order->token = registry->fencing_token;
	registry->pending_orders =
	    g_list_prepend(registry->pending_orders, order);
	if (registry->promoter == NULL || registry->fencing_token == 0 ||
	    !token_was_told(registry, order)) {
		order_finish(order, BP__PROMOTION_ANSWER__ORDER_WITHHELD);
		return;
	}
	waited_us = clock_us() - (int64_t)order_request(order)->heard_us;
	if (registry->daemons_list_failed &&
	    (!registry->order_sent ||
		attempt_term_replaces(order_request(order)->term) == 0))
		order_finish(order, BP__PROMOTION_ANSWER__ORDER_WITHHELD);
	else if (registry->daemons_list_failed)
		order_ask_daemons(order);
	else if (!registry->order_sent && waited_us < FIRST_ORDER_DELAY_US)
		order->timer = task_timer(registry->task,
		    (uint32_t)((FIRST_ORDER_DELAY_US - waited_us) / US_PER_MS) +
			1,
		    order_record, order);
	else
		order_record(order);
}

/*
 * Handle OrderLearned: record an order of a former coordinator.  Orders for
 * earlier attempts that have not been sent yet are not sent: they were decided
 * without it.
 */
void
order_learned(void *context, msg_t *msg)
{
	const Bp__RecordedOrder *learned =
	    ((const Bp__OrderLearned *)msg->body)->order;
	registry_t *registry = context;
	GList *l;

	for (l = registry->pending_orders; l != NULL; l = l->next) {
		order_t *order = l->data;

		if (order_request(order)->term < learned->attempt_term &&
		    strcmp(order_request(order)->group, learned->group) == 0)
			order->cancelled = true;
	}
	if (orders_learn(registry, learned))
		coordinator_update_orders(registry);
	msg_free(msg);
}

/*
 * Handle PromotionCancelled: the pool does not want an order any more that has
 * not been sent yet.
 */
void
promotion_cancelled(void *context, msg_t *msg)
{
	const Bp__PromotionCancelled *cancelled =
	    (const Bp__PromotionCancelled *)msg->body;
	registry_t *registry = context;
	GList *l;

	for (l = registry->pending_orders; l != NULL; l = l->next) {
		order_t *order = l->data;

		if (order_request(order)->term == cancelled->term &&
		    strcmp(order_request(order)->group, cancelled->group) == 0)
			order->cancelled = true;
	}
	msg_free(msg);
}

/*
 * Handle the return of the store from an older copy: the orders of a
 * coordinator that were not sent are not sent any more.
 */
void
promotions_store_restored(registry_t *registry)
{
	GList *l;

	if (registry->fencing_token == 0)
		return;
	for (l = registry->pending_orders; l != NULL; l = l->next)
		((order_t *)l->data)->cancelled = true;
}

/*
 * Free the pending orders, since the task stops.
 */
void
promotions_stop(registry_t *registry)
{
	g_list_free_full(registry->pending_orders, order_free);
	registry->pending_orders = NULL;
	source_clear(&registry->orders_put_timer);
}
