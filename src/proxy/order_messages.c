#include "order_messages.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/*
 * Return the key of a server, which is never 0.
 */
uint64_t
server_key(const char *id)
{
	/* a number in JSON is exact up to 53 bits */
	return (XXH3_64bits(id, strlen(id)) >> 11) | 1;
}

/*
 * Return what a message says of the recorded orders of a group.
 */
recorded_orders_t
recorded_order_read(const Bp__RecordedOrder *message)
{
	recorded_orders_t orders = {.replaced_term = message->replaced_term,
	    .attempt_term = message->attempt_term,
	    .base = {message->base_term, message->base_index},
	    .named = message->named,
	    .era = message->era};
	size_t i;

	for (i = 0; i < message->n_earlier; i++) {
		const Bp__EarlierOrder *order = message->earlier[i];

		recorded_orders_add_earlier(&orders,
		    &(earlier_order_t){order->replaced_term,
			{order->base_term, order->base_index}});
	}
	return orders;
}

/*
 * Return the recorded orders of a group as a message in an arena, without open
 * ones.
 */
Bp__RecordedOrder *
recorded_order_write(
    const recorded_orders_t *orders, const char *group, arena_t *arena)
{
	Bp__RecordedOrder *message = (Bp__RecordedOrder *)message_new(
	    arena, &bp__recorded_order__descriptor);
	uint32_t i;

	message->group = arena_strdup(arena, group);
	message->replaced_term = orders->replaced_term;
	message->attempt_term = orders->attempt_term;
	message->has_base_term = message->has_base_index = 1;
	message->base_term = orders->base.term;
	message->base_index = orders->base.index;
	message->has_era = 1;
	message->era = orders->era;
	message->has_named = 1;
	message->named = orders->named;
	message->earlier = arena_zalloc(
	    arena, sizeof(message->earlier[0]) * (orders->earlier_count + 1));
	for (i = 0; i < orders->earlier_count; i++) {
		Bp__EarlierOrder *order = (Bp__EarlierOrder *)message_new(
		    arena, &bp__earlier_order__descriptor);

		order->replaced_term = orders->earlier[i].replaced_term;
		order->base_term = orders->earlier[i].base.term;
		order->base_index = orders->earlier[i].base.index;
		message->earlier[message->n_earlier++] = order;
	}
	return message;
}

/* A list of messages that is being filled. */
typedef struct order_list {
	arena_t *arena;
	Bp__OpenOrder **list;
	size_t count;
	int64_t now_us;
} order_list_t;

/*
 * Append an order to a list of messages.
 */
static void
append_order(void *context, const open_order_t *order)
{
	order_list_t *list = context;
	Bp__OpenOrder *message = (Bp__OpenOrder *)message_new(
	    list->arena, &bp__open_order__descriptor);

	message->server = arena_strdup(list->arena, order->database);
	message->attempt_term = order->attempt_term;
	message->replaced_term = order->replaced_term;
	message->left_ms = order->until_us <= list->now_us
	    ? 0
	    : (uint32_t)((order->until_us - list->now_us) / US_PER_MS) + 1;
	message->has_followed_by = order->followed_by != 0;
	message->followed_by = order->followed_by;
	list->list[list->count++] = message;
}

/*
 * Return the orders of a set that are open as messages in an arena.
 */
Bp__OpenOrder **
open_orders_write(
    const open_orders_t *orders, arena_t *arena, int64_t now_us, size_t *count)
{
	order_list_t list = {.arena = arena, .now_us = now_us};

	list.list = arena_zalloc(
	    arena, sizeof(list.list[0]) * (open_orders_count(orders) + 1));
	open_orders_each(orders, append_order, &list);
	*count = list.count;
	return list.list;
}

/*
 * Return the orders of a set that a record need not name as messages in an
 * arena.
 */
Bp__OpenOrder **
open_orders_write_over(
    const open_orders_t *orders, arena_t *arena, int64_t now_us, size_t *count)
{
	order_list_t list = {.arena = arena, .now_us = now_us};

	list.list =
	    arena_zalloc(arena, sizeof(list.list[0]) * (orders->list->len + 1));
	open_orders_each_named(orders, false, append_order, &list);
	*count = list.count;
	return list.list;
}

/*
 * Return a copy of a list of messages in another arena.
 */
Bp__OpenOrder **
open_orders_copy(arena_t *arena, Bp__OpenOrder *const *list, size_t count)
{
	Bp__OpenOrder **copy =
	    arena_zalloc(arena, sizeof(copy[0]) * (count + 1));
	size_t i;

	for (i = 0; i < count; i++)
		copy[i] = (Bp__OpenOrder *)message_copy(arena, &list[i]->base);
	return copy;
}

/*
 * Return the order that a message describes, with the name of its database in
 * the message.
 */
open_order_t
open_order_read(
    const Bp__OpenOrder *message, open_order_source_t source, int64_t now_us)
{
	int64_t left_us =
	    MIN((int64_t)message->left_ms * US_PER_MS, ORDER_OPEN_US);

	return (open_order_t){.database = message->server,
	    .attempt_term = message->attempt_term,
	    .replaced_term = message->replaced_term,
	    .until_us = now_us + left_us,
	    .followed_by = message->followed_by,
	    .source = source};
}

/*
 * Add the orders of a list of messages to a set.  Returns whether one of them
 * is new to it.
 */
bool
open_orders_read(open_orders_t *orders, Bp__OpenOrder *const *list,
    size_t count, open_order_source_t source, int64_t now_us)
{
	bool added = false;
	size_t i;

	for (i = 0; i < count; i++) {
		open_order_t order = open_order_read(list[i], source, now_us);

		added |= open_orders_add(orders, &order);
	}
	return added;
}
