#include "promotion_internal.h"

/*
 * Writes of the coordinator record with the orders that are to be sent, and the
 * check of the promises for them that follows.
 */

/*
 * Number of writes of an order that get no answer before the order is given up.
 * None is awaited for longer than COORDINATOR_CHECK_MAX_AGE_US.
 */
#define ORDER_WRITES_MAX 4

/*
 * Drop an order because the promises for it were not shown to be held in time.
 */
static gboolean
on_promises_timeout(gpointer context)
{
	order_t *order = context;
	registry_t *registry = order->registry;

	order_finish(order, BP__PROMOTION_ANSWER__ORDER_OUTDATED);
	write_orders(registry);
	return G_SOURCE_REMOVE;
}

/*
 * Have the pool check that the promises for an order, which is recorded now,
 * are held still.  Those that a server had forgotten, as it has started again,
 * do not keep a daemon that was not told of the attempt, and has read the
 * record before, from a lease on the primary that is replaced.
 */
static void
order_check_promises(order_t *order)
{
	registry_t *registry = order->registry;
	const Bp__PromotionWanted *wanted = order_request(order);
	int64_t left_us =
	    (int64_t)wanted->decided_us + ORDER_MAX_AGE_US - clock_us();
	Bp__PromisesWanted check = BP__PROMISES_WANTED__INIT;

	order->checking = true;
	order->timer = task_timer(registry->task,
	    (uint32_t)(MAX(left_us, 0) / US_PER_MS) + 1, on_promises_timeout,
	    order);
	check.group = wanted->group;
	check.term = wanted->term;
	task_send(registry->proxy->pool, registry->task, msg_copy(&check.base));
}

/*
 * Handle that an order is recorded.  After its promises were checked it may
 * have been recorded once more, to verify the role.
 */
static void
order_recorded(order_t *order)
{
	order->put_us = order->registry->orders_put_us;
	if (order->promised)
		order_send(order);
	else if (!order_end_if_void(order))
		order_check_promises(order);
}

/* What the answer to a write of the record with orders shows. */
typedef enum orders_write {
	ORDERS_WRITE_CONFIRMED, /* the record has the orders */
	ORDERS_WRITE_AGAIN,     /* this daemon is the coordinator still */
	ORDERS_WRITE_UNKNOWN,   /* nothing, as there was none in time */
	ORDERS_WRITE_DENIED, /* another daemon is the coordinator, or may be */
} orders_write_t;

/*
 * Handle that a write which had an order got no answer in time.  It may have
 * been carried out, or may be later.  The order is written again, which shows
 * who is the coordinator, or withdrawn after ORDER_WRITES_MAX writes.
 */
static void
order_unanswered(order_t *order)
{
	if (++order->unanswered == ORDER_WRITES_MAX)
		order_finish(order, BP__PROMOTION_ANSWER__ORDER_WITHHELD);
	else
		order->recording = true;
}

/*
 * Handle the orders of a write of the record that has ended: check the promises
 * for them or send them, have them written again, or drop them.
 */
static void
finish_written_orders(registry_t *registry, orders_write_t result)
{
	GList *l, *previous;

	for (l = g_list_last(registry->pending_orders); l != NULL;
	     l = previous) {
		order_t *order = l->data;

		previous = l->prev;
		if (!order->written || result == ORDERS_WRITE_AGAIN)
			continue;
		order->written = order->recording = false;
		if (result == ORDERS_WRITE_CONFIRMED)
			order_recorded(order);
		else if (result == ORDERS_WRITE_UNKNOWN)
			order_unanswered(order);
		else
			order_withhold(order);
	}
}

/*
 * Return what the answer to a write of the record with orders shows.  Its
 * success shows that this daemon is still the coordinator, and a conflict with
 * another write of this daemon does too; then, or if the answer took too long,
 * the orders are written again.
 */
static orders_write_t
orders_write_result(const registry_t *registry, object_store_status_t status,
    const Bp__DutyRecord *record)
{
	bool held_here = registry->fencing_token != 0 &&
	    coordinator_is_named(registry, record) &&
	    record->token == registry->fencing_token;

	if (status == OBJECT_STORE_NO_RESPONSE && registry->fencing_token != 0)
		return ORDERS_WRITE_UNKNOWN;
	if (!held_here ||
	    (status != OBJECT_STORE_OK && status != OBJECT_STORE_CONFLICT))
		return ORDERS_WRITE_DENIED;
	return status == OBJECT_STORE_CONFLICT ||
		clock_us() - registry->orders_put_us >
		    COORDINATOR_CHECK_MAX_AGE_US
	    ? ORDERS_WRITE_AGAIN
	    : ORDERS_WRITE_CONFIRMED;
}

/* A write of the record with orders. */
typedef struct orders_put {
	registry_t *registry;
	uint64_t number; /* of the write */
} orders_put_t;

/*
 * Handle the response to a write of the coordinator record with orders.  It
 * shows nothing if it comes after the time for it: another write has followed,
 * or the orders were withdrawn.
 */
static void
on_orders_written(void *context, const object_store_response_t *response)
{
	orders_put_t *put = context;
	registry_t *registry = put->registry;
	object_store_status_t status =
	    store_response_status(registry, response);
	bool late = registry->orders_put_timer == NULL ||
	    put->number != registry->orders_put_number;
	arena_t *arena;
	Bp__DutyRecord *record;
	orders_write_t result;
	bool unreadable;

	g_free(put);
	if (late)
		return;
	arena = arena_new();
	record = coordinator_record(registry, response, arena);
	result = orders_write_result(registry, status, record);
	unreadable = coordinator_record_unreadable(response, record);
	source_clear(&registry->orders_put_timer);
	coordinator_note_record(registry, status, response, record);
	if (status == OBJECT_STORE_OK && result != ORDERS_WRITE_DENIED)
		orders_report(registry, record, registry->orders_put_us);
	arena_free(arena);
	finish_written_orders(registry, result);
	write_orders(registry);
	if (unreadable)
		coordinator_read(registry);
}

/*
 * Handle that a write of the record with orders got no answer in time.
 */
static gboolean
on_orders_put_timeout(gpointer context)
{
	registry_t *registry = context;

	source_clear(&registry->orders_put_timer);
	finish_written_orders(registry, ORDERS_WRITE_UNKNOWN);
	write_orders(registry);
	return G_SOURCE_REMOVE;
}

/*
 * Begin a write of the record with the noted orders that are to be sent.
 */
static void
put_orders(registry_t *registry)
{
	orders_put_t *put = g_new0(orders_put_t, 1);

	put->registry = registry;
	put->number = ++registry->orders_put_number;
	registry->orders_put_us = clock_us();
	registry->orders_put_timer =
	    task_timer(registry->task, COORDINATOR_CHECK_MAX_AGE_US / US_PER_MS,
		on_orders_put_timeout, registry);
	coordinator_put_record(registry, registry->coordinator_revision,
	    registry->fencing_token, on_orders_written, put);
}

/*
 * Write the coordinator record with all orders that are to be recorded before
 * they are sent.  As writes at the same time would conflict, only one is under
 * way; orders that come meanwhile wait for the next.  The record has one
 * attempt of each group, so a later order of the group waits, too, also while
 * the promises for the earlier one are checked.
 */
void
write_orders(registry_t *registry)
{
	GHashTable *groups;
	GList *l, *previous;
	bool any = false;

	if (registry->orders_put_timer != NULL)
		return;
	groups = g_hash_table_new(g_str_hash, g_str_equal);
	/* the oldest order first */
	for (l = g_list_last(registry->pending_orders); l != NULL;
	     l = previous) {
		order_t *order = l->data;

		previous = l->prev;
		if (order->checking)
			g_hash_table_add(groups, order_request(order)->group);
		if (!order->recording || order_end_if_void(order))
			continue;
		order->written =
		    g_hash_table_add(groups, order_request(order)->group);
		if (order->written)
			order_note(order);
		any |= order->written;
	}
	g_hash_table_unref(groups);
	if (any)
		put_orders(registry);
}

/*
 * Record an order in the coordinator record before it is sent, unless another
 * daemon has become the coordinator.
 */
gboolean
order_record(gpointer context)
{
	order_t *order = context;

	source_clear(&order->timer);
	order->recording = true;
	write_orders(order->registry);
	return G_SOURCE_REMOVE;
}
