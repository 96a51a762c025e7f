#include "registry.h"

#include "decide/decide.h"
#include "order_messages.h"

#include <string.h>

/*
 * Recorded orders.  The coordinator writes each order to replace a primary into
 * the coordinator record before it sends it.  A daemon that cannot tell from
 * the answers of the servers whether a primary was replaced, since some do not
 * answer, reads the record.
 */

/* What is recorded of a group. */
typedef struct group_orders {
	recorded_orders_t recorded;
	recorded_orders_t before; /* what was recorded before the last order */
	bool sent;                /* an order of the last attempt was sent */
	bool told; /* other daemons were told of the last attempt */
	open_orders_t open;
} group_orders_t;

/*
 * Free what is recorded of a group.
 */
static void
group_orders_free(gpointer p)
{
	group_orders_t *order = p;

	open_orders_clear(&order->open);
	g_free(order);
}

/*
 * Create the table of recorded orders.
 */
void
orders_init(registry_t *registry)
{
	registry->orders = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, group_orders_free);
}

/*
 * Free the table of recorded orders.
 */
void
orders_free(registry_t *registry)
{
	g_hash_table_unref(registry->orders);
}

/*
 * Return the entry of a group, which is created if there is none.
 */
static group_orders_t *
order_of(registry_t *registry, const char *group)
{
	group_orders_t *order = g_hash_table_lookup(registry->orders, group);

	if (order == NULL) {
		order = g_new0(group_orders_t, 1);
		open_orders_init(&order->open);
		g_hash_table_insert(registry->orders, g_strdup(group), order);
	}
	return order;
}

/*
 * Note that an order is open from now on.
 */
static void
note_open(group_orders_t *order, const Bp__PromotionWanted *wanted)
{
	open_order_t open = {.database = wanted->server,
	    .attempt_term = wanted->term,
	    .replaced_term = order->recorded.replaced_term,
	    .until_us = clock_us() + ORDER_OPEN_US,
	    .source = OPEN_ORDER_RECORDED};

	open_orders_remove(&order->open, wanted->server, wanted->term);
	open_orders_add(&order->open, &open);
}

/*
 * Note an order that is to be recorded.
 */
void
orders_note(registry_t *registry, const Bp__PromotionWanted *wanted)
{
	group_orders_t *order = order_of(registry, wanted->group);

	open_orders_read(&order->open, wanted->open, wanted->n_open,
	    OPEN_ORDER_RECORDED, clock_us());
	open_orders_term_begun(&order->open, NULL, wanted->replaced_term);
	open_orders_expire(&order->open, true, clock_us());

	if (order->recorded.attempt_term != wanted->term) {
		order->before = order->recorded;
		order->sent = order->told = false;
	}
	order->recorded.attempt_term = wanted->term;
	order->recorded.named = server_key(wanted->server);
	recorded_orders_add(&order->recorded, wanted->replaced_term,
	    (position_t){wanted->base_term, wanted->base_index});
	order->recorded.era = registry->store_era;
	note_open(order, wanted);
}

/*
 * Note that an order is sent.
 */
void
orders_sent(registry_t *registry, const Bp__PromotionWanted *wanted)
{
	group_orders_t *order = order_of(registry, wanted->group);

	order->sent = true;
	note_open(order, wanted);
}

/*
 * Note that the platform has accepted an order, which takes effect soon or
 * never.
 */
void
orders_accepted(registry_t *registry, const Bp__PromotionWanted *wanted)
{
	open_orders_shorten(&order_of(registry, wanted->group)->open,
	    wanted->server, wanted->term, clock_us() + ORDER_LATE_US);
}

/*
 * Withdraw an order that was refused or not sent; in the latter case, unless
 * another one of the same attempt was.  Returns whether it was noted.
 */
bool
orders_withdraw(
    registry_t *registry, const Bp__PromotionWanted *wanted, bool refused)
{
	group_orders_t *order = order_of(registry, wanted->group);

	if (order->recorded.attempt_term != wanted->term ||
	    (order->sent && !refused))
		return false;
	open_orders_remove(&order->open, wanted->server, wanted->term);
	order->recorded = order->before;
	return true;
}

/*
 * Take over the orders of the record of another coordinator.  They do not
 * replace later orders of this daemon, which the record lacks if they were sent
 * while the store was away, or if the store has come back from an older copy.
 */
void
orders_take(registry_t *registry, const Bp__DutyRecord *record)
{
	size_t i;

	for (i = 0; i < record->n_orders; i++) {
		const Bp__RecordedOrder *order = record->orders[i];
		group_orders_t *noted = order_of(registry, order->group);
		recorded_orders_t read = recorded_order_read(order);

		open_orders_read(&noted->open, order->open, order->n_open,
		    OPEN_ORDER_RECORDED, clock_us());
		if (noted->recorded.attempt_term > order->attempt_term ||
		    (!fencing_token_is_current(
			 registry->store_era, record->token) &&
			noted->recorded.attempt_term == order->attempt_term))
			continue;
		recorded_orders_replace(&noted->recorded, &read);
	}
}

/*
 * Note an order of a former coordinator that another daemon was told of, and
 * that the record may lack.  Returns whether it was not known; an order of this
 * daemon that is noted now may be for a later term.
 */
bool
orders_learn(registry_t *registry, const Bp__RecordedOrder *told)
{
	group_orders_t *order = order_of(registry, told->group);
	told_orders_t learned = {.orders = recorded_order_read(told)};
	const recorded_orders_t *orders = &learned.orders;

	if (told_orders_newer(&learned, &order->recorded)) {
		order->recorded = told_orders_merge(&learned, &order->recorded);
		return true;
	}
	if (!told_orders_newer(&learned, &order->before) ||
	    orders->attempt_term == order->recorded.attempt_term)
		return false;
	order->before = told_orders_merge(&learned, &order->before);
	order->recorded.replaced_term =
	    MAX(orders->replaced_term, order->recorded.replaced_term);
	recorded_orders_add_earlier(&order->recorded,
	    &(earlier_order_t){orders->replaced_term, orders->base});
	return true;
}

/*
 * Add what is noted of the orders of a group to a message for the other
 * daemons.
 */
void
orders_tell(registry_t *registry, msg_t *msg)
{
	Bp__RevokeWanted *wanted = (Bp__RevokeWanted *)msg->body;
	group_orders_t *order =
	    g_hash_table_lookup(registry->orders, wanted->group);

	if (order == NULL)
		return;
	order->told = true;
	wanted->order =
	    recorded_order_write(&order->recorded, wanted->group, msg->arena);
}

/*
 * Tell whether other daemons were told of the last order of a group.
 */
bool
orders_were_told(const registry_t *registry, const char *group)
{
	const group_orders_t *order =
	    g_hash_table_lookup(registry->orders, group);

	return order != NULL && order->told;
}

/*
 * Tell whether a record has all noted orders.
 */
bool
orders_recorded(const registry_t *registry, const Bp__DutyRecord *record)
{
	arena_t *arena = arena_new();
	Bp__DutyRecord noted = BP__DUTY_RECORD__INIT;
	size_t i, j, found = 0;

	orders_fill(registry, arena, &noted);
	for (i = 0; i < noted.n_orders; i++) {
		for (j = 0; j < record->n_orders; j++)
			found += strcmp(noted.orders[i]->group,
				     record->orders[j]->group) == 0 &&
			    noted.orders[i]->replaced_term ==
				record->orders[j]->replaced_term &&
			    noted.orders[i]->attempt_term ==
				record->orders[j]->attempt_term;
	}
	arena_free(arena);
	return found >= noted.n_orders;
}

/*
 * Fill in the orders of a record that is to be written.
 */
void
orders_fill(const registry_t *registry, arena_t *arena, Bp__DutyRecord *record)
{
	GHashTableIter iter;
	gpointer group, value;

	record->orders = arena_zalloc(arena,
	    sizeof(record->orders[0]) *
		(g_hash_table_size(registry->orders) + 1));
	g_hash_table_iter_init(&iter, registry->orders);
	while (g_hash_table_iter_next(&iter, &group, &value)) {
		const group_orders_t *noted = value;
		Bp__RecordedOrder *order;

		if (noted->recorded.attempt_term == 0)
			continue;
		order = recorded_order_write(&noted->recorded, group, arena);
		order->open = open_orders_write(
		    &noted->open, arena, clock_us(), &order->n_open);
		record->orders[record->n_orders++] = order;
	}
}

/*
 * Report orders to the pool task.  noted: the store has not confirmed them.
 */
static void
report_orders(registry_t *registry, const Bp__DutyRecord *record,
    int64_t read_us, bool noted)
{
	Bp__OrdersRead read = BP__ORDERS_READ__INIT;

	read.has_noted = 1;
	read.noted = noted;
	read.read_us = (uint64_t)read_us;
	read.has_lost_us = read.has_era = read.has_away_us = 1;
	read.away_us = (uint64_t)registry->store_away_us;
	read.lost_us = (uint64_t)registry->records_lost_us;
	read.era = registry->store_era;
	if (record != NULL) {
		read.orders = record->orders;
		read.n_orders = record->n_orders;
	}
	task_send(registry->proxy->pool, registry->task, msg_copy(&read.base));
}

/*
 * Report to the pool task which orders the store has recorded.  record: NULL if
 * there is none.  read_us: send time of the request; 0: it was not answered.
 */
void
orders_report(
    registry_t *registry, const Bp__DutyRecord *record, int64_t read_us)
{
	report_orders(registry, record, read_us, false);
}

/*
 * Report the noted orders to the pool task, as if they were recorded already.
 */
void
orders_report_noted(registry_t *registry)
{
	arena_t *arena = arena_new();
	Bp__DutyRecord noted = BP__DUTY_RECORD__INIT;

	orders_fill(registry, arena, &noted);
	report_orders(registry, &noted, clock_us(), true);
	arena_free(arena);
}

/*
 * Report to the peers task which fencing token the store has recorded.  A
 * process that has just started knows no other, and must not confirm that of a
 * former coordinator.
 */
static void
report_token(const registry_t *registry, const Bp__DutyRecord *record)
{
	Bp__TokenRead read = BP__TOKEN_READ__INIT;

	read.token = record->token;
	task_send(registry->proxy->peers, registry->task, msg_copy(&read.base));
}

/*
 * Handle the coordinator record that was read for its orders.
 */
static void
on_record_read(void *context, const object_store_response_t *response)
{
	registry_t *registry = context;
	object_store_status_t status =
	    store_response_status(registry, response);
	arena_t *arena = arena_new();
	Bp__DutyRecord *record = coordinator_record(registry, response, arena);
	bool read = status == OBJECT_STORE_NOT_FOUND ||
	    (status == OBJECT_STORE_OK && record != NULL);

	if (record != NULL)
		report_token(registry, record);
	orders_report(registry, record, read ? registry->orders_sent_us : 0);
	arena_free(arena);
}

/*
 * Handle OrdersWanted: read the recorded orders.
 */
void
orders_wanted(void *context, msg_t *msg)
{
	registry_t *registry = context;

	msg_free(msg);
	registry->orders_sent_us = clock_us();
	registry->proxy->objects->get(registry->objects, OBJECT_COORDINATOR,
	    COORDINATOR_OBJECT_NAME, on_record_read, registry);
}
