#include "promotion_internal.h"

/*
 * One promotion order.  It carries the fencing token, and the platform refuses
 * orders with an older one.  It is recorded before it is sent, and sent once
 * the servers have said that they hold their promises still.
 */

/*
 * Return the message that requested an order.
 */
const Bp__PromotionWanted *
order_request(const order_t *order)
{
	return (const Bp__PromotionWanted *)order->msg->body;
}

/*
 * Free an order.
 */
void
order_free(gpointer p)
{
	order_t *order = p;

	source_clear(&order->timer);
	msg_free(order->msg);
	g_free(order);
}

/*
 * Tell the daemons of the last listing that an order they were told of is not
 * sent, or was refused.
 */
static void
tell_withdrawn(const order_t *order)
{
	registry_t *registry = order->registry;
	msg_t *msg = msg_new(&bp__revoke_wanted__descriptor);
	Bp__RevokeWanted *request = (Bp__RevokeWanted *)msg->body;

	request->group = arena_strdup(msg->arena, order_request(order)->group);
	request->token = order->token;
	request->has_confirms = request->confirms = 1;
	revoke_from_last_listed(registry, msg);
}

/*
 * Log the outcome of an order, report it to the pool, and free the order.  An
 * order without a response counts as accepted, since it may take effect.
 */
void
order_finish(order_t *order, Bp__PromotionAnswer answer)
{
	registry_t *registry = order->registry;
	const Bp__PromotionWanted *wanted = order_request(order);
	msg_t *msg = msg_new(&bp__promotion_ended__descriptor);
	Bp__PromotionEnded *ended = (Bp__PromotionEnded *)msg->body;
	Bp__PromotionAnswered answered = BP__PROMOTION_ANSWERED__INIT;

	answered.group = wanted->group;
	answered.server = wanted->server;
	answered.term = wanted->term;
	answered.answer = answer;
	log_event(G_LOG_LEVEL_MESSAGE, &answered.base);
	if (answer == BP__PROMOTION_ANSWER__ORDER_ACCEPTED)
		orders_accepted(registry, wanted);
	else if (answer != BP__PROMOTION_ANSWER__ORDER_UNANSWERED &&
	    order->noted &&
	    orders_withdraw(registry, wanted,
		answer == BP__PROMOTION_ANSWER__ORDER_REFUSED)) {
		coordinator_update_orders(registry);
		if (orders_announced(registry, wanted->group))
			tell_withdrawn(order);
	}
	ended->group = arena_strdup(msg->arena, wanted->group);
	ended->server = arena_strdup(msg->arena, wanted->server);
	ended->term = wanted->term;
	ended->accepted = answer == BP__PROMOTION_ANSWER__ORDER_ACCEPTED ||
	    answer == BP__PROMOTION_ANSWER__ORDER_UNANSWERED;
	task_send(registry->proxy->pool, registry->task, msg);
	registry->pending_orders =
	    g_list_remove(registry->pending_orders, order);
	order_free(order);
}

/*
 * Handle the platform's response to an order, or the lack of one.
 */
static void
on_promote_response(void *context, promoter_status_t status)
{
	order_finish(context,
	    status == PROMOTER_ACCEPTED ? BP__PROMOTION_ANSWER__ORDER_ACCEPTED
		: status == PROMOTER_REFUSED
		? BP__PROMOTION_ANSWER__ORDER_REFUSED
		: BP__PROMOTION_ANSWER__ORDER_UNANSWERED);
}

/*
 * Tell whether an order was decided too long ago or is not wanted any more: the
 * group may have a newer primary since, on which daemons hold leases.
 */
static bool
order_outdated(const order_t *order)
{
	return order->cancelled ||
	    clock_us() - (int64_t)order_request(order)->decided_us >
	    ORDER_MAX_AGE_US;
}

/*
 * End an order that is outdated, or that was decided under another fencing
 * token than the present one.  Returns whether it has ended.
 */
bool
order_end_if_void(order_t *order)
{
	if (order_outdated(order))
		order_finish(order, BP__PROMOTION_ANSWER__ORDER_OUTDATED);
	else if (order->token != order->registry->fencing_token)
		order_finish(order, BP__PROMOTION_ANSWER__ORDER_WITHHELD);
	else
		return false;
	return true;
}

/*
 * Note an order, to be recorded.
 */
void
order_note(order_t *order)
{
	order->noted = true;
	orders_note(order->registry, order_request(order));
}

/*
 * Send an order to the platform, unless it is outdated.
 */
void
order_send(order_t *order)
{
	registry_t *registry = order->registry;
	const Bp__PromotionWanted *wanted = order_request(order);

	source_clear(&order->timer);
	if (order_end_if_void(order))
		return;
	registry->order_sent = true;
	orders_sent(registry, wanted);
	registry->proxy->promoter->promote(registry->promoter, wanted->group,
	    wanted->server, registry->proxy->settings->name,
	    registry->fencing_token, on_promote_response, order);
}

/*
 * Drop an order because another daemon is the coordinator, or may be.
 */
void
order_withhold(order_t *order)
{
	coordinator_send_changed(order->registry, false);
	order_finish(order, BP__PROMOTION_ANSWER__ORDER_WITHHELD);
}
