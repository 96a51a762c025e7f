#include "pool.h"

#include "order_messages.h"

#include <string.h>

/*
 * Orders to promote a server of a group: those that a coordinator has told,
 * those that standing promises show, and open ones.  The coordinator's come
 * from its record, the others' from the coordinator, which tells them before it
 * orders the promotion of another server, and from the record.
 */

/*
 * Return the id of a server of a group.
 */
static const char *
server_name(void *context, uint32_t server)
{
	return ((const group_t *)context)->servers[server]->id;
}

/*
 * Bring the open orders of a group up to date, and mark the servers that they
 * name.
 */
void
group_orders_update(group_t *group, int64_t now_us)
{
	uint32_t count;

	open_orders_update(&group->open_orders, &group->failover, &group->lease,
	    server_name, group, now_us);
	count = open_orders_count(&group->open_orders);
	if (count == group->open_orders_count)
		return;
	group->open_orders_count = count;
	log_open_orders(group);
}

/*
 * Note the open orders that another daemon has told.  Returns whether one of
 * them was not known.
 */
bool
group_orders_told(
    group_t *group, Bp__OpenOrder *const *list, size_t count, int64_t now_us)
{
	bool added = open_orders_read(
	    &group->open_orders, list, count, OPEN_ORDER_TOLD, now_us);

	group_orders_update(group, now_us);
	return added;
}

/*
 * Note what a coordinator has told of the orders of a group.
 */
void
group_orders_told_note(
    group_t *group, const told_orders_t *told, int64_t now_us)
{
	if (told_orders_note(&group->orders_told, told))
		group_lease_orders_read(group, &group->orders_read, now_us);
}

/*
 * Return the order that a coordinator has told as a message in an arena, or
 * NULL if the store has recorded it or a later one.
 */
Bp__RecordedOrder *
group_orders_told_write(const group_t *group, arena_t *arena)
{
	return told_orders_newer(&group->orders_told, &group->orders_read)
	    ? recorded_order_write(
		  &group->orders_told.orders, group->name, arena)
	    : NULL;
}

/*
 * Have the registry task record the order that a former coordinator has told,
 * since this daemon is the coordinator now.
 */
void
group_orders_report(const group_t *group)
{
	pool_t *pool = group->pool;
	msg_t *msg = msg_new(&bp__order_learned__descriptor);
	Bp__OrderLearned *learned = (Bp__OrderLearned *)msg->body;

	learned->order = group_orders_told_write(group, msg->arena);
	if (learned->order == NULL)
		msg_free(msg);
	else
		task_send(pool->proxy->registry, pool->task, msg);
}

/*
 * Note an order that another daemon was told of by a former coordinator; NULL:
 * none.  If it was not known here, the attempt in a term is given up.
 */
void
group_orders_learned(group_t *group, const Bp__RecordedOrder *order,
    uint64_t term, int64_t now_us)
{
	told_orders_t told = {0};

	if (order == NULL)
		return;
	told.orders = recorded_order_read(order);
	if (!recorded_orders_newer(&told.orders, &group->lease.orders))
		return;
	group_orders_told_note(group, &told, now_us);
	group_orders_report(group);
	failover_superseded(&group->failover, term, now_us);
}

/*
 * Note an order that a standing promise shows, and have it recorded.
 */
void
group_orders_shown(group_t *group, uint64_t promised, int64_t now_us)
{
	told_orders_t shown = {
	    .orders = {.attempt_term = promised,
		.replaced_term = attempt_term_replaces(promised),
		.era = group->orders_read.read_era,
		.told_us = now_us}};

	group_orders_told_note(group, &shown, now_us);
	group_orders_report(group);
}

/*
 * Note the open orders that the store had recorded when it was asked at
 * asked_us; 0: those that are to be recorded.  begun: token with which the
 * record was begun.
 */
void
group_orders_recorded(group_t *group, Bp__OpenOrder *const *list, size_t count,
    uint64_t begun, int64_t asked_us, int64_t now_us)
{
	open_order_t *recorded = g_new0(open_order_t, count + 1);
	size_t i;

	for (i = 0; i < count; i++)
		recorded[i] =
		    open_order_read(list[i], OPEN_ORDER_RECORDED, now_us);
	open_orders_replace_recorded(&group->open_orders, recorded,
	    (uint32_t)count, begun, asked_us, now_us);
	g_free(recorded);
	group_orders_update(group, now_us);
}

/*
 * Return the open orders of a group as messages in an arena.
 */
Bp__OpenOrder **
group_orders_write(const group_t *group, arena_t *arena, size_t *count)
{
	return open_orders_write(&group->open_orders, arena, clock_us(), count);
}

/*
 * Return the orders of a group that are over as messages in an arena.
 */
Bp__OpenOrder **
group_orders_write_over(const group_t *group, arena_t *arena, size_t *count)
{
	return open_orders_write_over(
	    &group->open_orders, arena, clock_us(), count);
}

/*
 * Return the latest time at which it is certain that no open order had taken
 * effect; INT64_MAX if there is none.
 */
int64_t
group_orders_checked_us(const group_t *group)
{
	int32_t primary = failover_primary(&group->failover);

	return primary < 0
	    ? 0
	    : lease_checked_us(&group->lease, group->failover.views,
		  group->count, (uint32_t)primary);
}

/*
 * Tell whether the servers that open orders name answer, so that it can be
 * checked after a statement that none of them was promoted.
 */
bool
group_orders_checkable(const group_t *group, int64_t now_us)
{
	int64_t checked_us = group_orders_checked_us(group);

	return checked_us == INT64_MAX ||
	    now_us - checked_us < group->failover.limits.suspect_us;
}

/*
 * Tell whether the pause of a server may be all that is left of an order: it is
 * a standing promise, and the store has not recorded the order yet.
 */
bool
group_orders_proved_by(const server_t *server)
{
	group_t *group = server->group;
	uint64_t promised = server->paused_until_term;

	return attempt_term_replaces(promised) != 0 &&
	    promised > group->stored_attempt_term &&
	    !failover_promise_void(&group->failover, promised);
}

/*
 * Have an order recorded that is known from a standing promise alone.  Leases
 * on the primary that it has led to wait for the record, and the server remains
 * paused.  Orders of former coordinators must be over, since the promise does
 * not tell which one led to the primary.
 */
void
group_orders_record_shown(group_t *group, int64_t now_us)
{
	uint32_t i;

	if (now_us - group->pool->coordinator_since_us < ORDER_LATE_US)
		return;
	for (i = 0; i < group->count; i++) {
		const server_t *server = group->servers[i];
		uint64_t promised = server->paused_until_term;

		if (group_orders_proved_by(server) &&
		    promised > group->lease.orders.attempt_term)
			group_orders_shown(group, promised, now_us);
	}
}
