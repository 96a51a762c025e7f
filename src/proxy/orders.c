#include "registry.h"

#include "decide/decide.h"
#include "order_messages.h"
#include "recorded_members.h"

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
	bool announced; /* other daemons were told of the last attempt */
	open_orders_t open;
	open_orders_t open_before; /* before the last order */
	recorded_members_t members;
	recorded_members_t members_before; /* before the last order */
} group_orders_t;

/*
 * Free what is recorded of a group.
 */
static void
group_orders_free(gpointer p)
{
	group_orders_t *order = p;

	open_orders_clear(&order->open);
	open_orders_clear(&order->open_before);
	recorded_members_clear(&order->members);
	recorded_members_clear(&order->members_before);
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
		open_orders_init(&order->open_before);
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

	open_orders_note(&order->open, &open, clock_us());
}

/*
 * Leave those open orders out of the record that are over, as the pool task
 * says or does not count them as open.
 */
static void
settle_open(
    group_orders_t *order, const Bp__PromotionWanted *wanted, int64_t now_us)
{
	open_order_t *open = g_new0(open_order_t, wanted->n_open + 1);
	size_t i;

	for (i = 0; i < wanted->n_open; i++)
		open[i] = open_order_read(
		    wanted->open[i], OPEN_ORDER_RECORDED, now_us);
	open_orders_settle(
	    &order->open, open, (uint32_t)wanted->n_open, now_us);
	for (i = 0; i < wanted->n_over; i++)
		open_orders_forget(&order->open, wanted->over[i]->server,
		    wanted->over[i]->attempt_term);
	g_free(open);
}

/*
 * Have the record name the orders again that were left out for the last one:
 * they may have begun a term that only that one names.
 */
static void
restore_open(group_orders_t *order)
{
	open_orders_t since = order->open;

	open_orders_add_all(&order->open_before, &since);
	order->open = order->open_before;
	order->open_before = since;
}

/*
 * Note an order that is to be recorded.  The record does not name the orders
 * any more that are over: it says that the primary is replaced of each term
 * that one of them may have begun.
 */
void
orders_note(registry_t *registry, const Bp__PromotionWanted *wanted)
{
	group_orders_t *order = order_of(registry, wanted->group);

	if (order->recorded.attempt_term != wanted->term) {
		order->before = order->recorded;
		open_orders_clear(&order->open_before);
		open_orders_init(&order->open_before);
		open_orders_add_all(&order->open_before, &order->open);
		recorded_members_set(&order->members_before,
		    order->members.list, order->members.count, NULL, 0);
		order->sent = order->announced = false;
	}
	if (wanted->n_members > 0)
		recorded_members_replace(&order->members, wanted->members,
		    wanted->n_members, wanted->change, &order->recorded);
	order->recorded.attempt_term = wanted->term;
	order->recorded.named = server_key(wanted->server);
	recorded_orders_add(&order->recorded, wanted->replaced_term,
	    (position_t){wanted->base_term, wanted->base_index});
	order->recorded.era = registry->store_era;
	settle_open(order, wanted, clock_us());
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
 * another one of the same attempt was.  Others may have read the members that
 * were recorded with it, so that these are former ones.  The record names the
 * orders again that it named before, as it does not say any more which terms
 * they may have begun.  Returns whether it was noted.
 */
bool
orders_withdraw(
    registry_t *registry, const Bp__PromotionWanted *wanted, bool refused)
{
	group_orders_t *order = order_of(registry, wanted->group);
	Bp__MembersChange change = BP__MEMBERS_CHANGE__INIT;

	change.term = wanted->replaced_term;
	if (order->recorded.attempt_term != wanted->term ||
	    (order->sent && !refused))
		return false;
	open_orders_remove(&order->open, wanted->server, wanted->term);
	restore_open(order);
	if (order->members_before.count > 0)
		recorded_members_replace(&order->members,
		    order->members_before.list, order->members_before.count,
		    &change, &order->recorded);
	order->recorded = order->before;
	return true;
}

/*
 * Note the members of a record of an older era as former ones.  Whether they or
 * the noted ones are newer is not known, and leases may rest on either.
 */
static void
note_former(group_orders_t *noted, const Bp__RecordedOrder *order)
{
	Bp__MembersChange change = BP__MEMBERS_CHANGE__INIT;
	recorded_members_t before = {0};

	change.term = order->replaced_term + 1;
	recorded_members_set(
	    &before, noted->members.list, noted->members.count, NULL, 0);
	recorded_members_replace(&noted->members, order->members,
	    order->n_members, &change, &noted->recorded);
	recorded_members_replace(&noted->members, before.list, before.count,
	    &change, &noted->recorded);
	recorded_members_clear(&before);
}

/*
 * Take over the members of a group from the record of another coordinator.
 * What this daemon noted is older, unless the store has come back from an older
 * copy, or the record lacks an order of this daemon.  kept: the record does not
 * replace what is noted.  current: it was written in this era of the store.
 */
static void
take_members(group_orders_t *noted, const Bp__RecordedOrder *order, bool kept,
    bool current)
{
	if (order->n_members > 0 ? current || !kept || noted->members.count == 0
				 : !kept)
		recorded_members_set(&noted->members, order->members,
		    order->n_members, order->former, order->n_former);
	else if (order->n_members > 0)
		note_former(noted, order);
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
		bool current = fencing_token_is_current(
		    registry->store_era, record->token);
		bool kept = recorded_orders_newer(&noted->recorded, &read) ||
		    (!current &&
			noted->recorded.attempt_term == order->attempt_term);

		open_orders_read(&noted->open, order->open, order->n_open,
		    OPEN_ORDER_RECORDED, clock_us());
		take_members(noted, order, kept, current);
		if (!kept)
			recorded_orders_update(&noted->recorded, &read);
	}
}

/*
 * Note an order of a former coordinator that another daemon was told of, and
 * that the record may lack.  Returns whether it was not known; an order of this
 * daemon that is noted now may be for a later term.
 */
bool
orders_learn(registry_t *registry, const Bp__RecordedOrder *message)
{
	group_orders_t *order = order_of(registry, message->group);
	told_orders_t learned = {.orders = recorded_order_read(message)};
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

	/* of members alone the others need not know; of a withdrawal they do */
	if (order == NULL ||
	    (order->recorded.attempt_term == 0 && !order->announced))
		return;
	order->announced = true;
	wanted->order =
	    recorded_order_write(&order->recorded, wanted->group, msg->arena);
}

/*
 * Tell whether other daemons were told of the last order of a group.
 */
bool
orders_announced(const registry_t *registry, const char *group)
{
	const group_orders_t *order =
	    g_hash_table_lookup(registry->orders, group);

	return order != NULL && order->announced;
}

/*
 * Tell whether a record has what is noted of a group.
 */
static bool
entry_recorded(
    const Bp__RecordedOrder *noted, const Bp__RecordedOrder *recorded)
{
	recorded_members_t members = {NULL, noted->members, noted->n_members,
	    noted->former, noted->n_former};

	return strcmp(noted->group, recorded->group) == 0 &&
	    noted->replaced_term == recorded->replaced_term &&
	    noted->attempt_term == recorded->attempt_term &&
	    recorded_members_equal(&members, recorded);
}

/*
 * Tell whether a record has all noted orders and members.
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
			found +=
			    entry_recorded(noted.orders[i], record->orders[j]);
	}
	arena_free(arena);
	return found >= noted.n_orders;
}

/*
 * Fill in the orders and members of a record that is to be written.  They
 * belong to the noted ones or to the arena.
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

		if (noted->recorded.attempt_term == 0 &&
		    noted->members.count == 0)
			continue;
		order = recorded_order_write(&noted->recorded, group, arena);
		order->open = open_orders_write(
		    &noted->open, arena, clock_us(), &order->n_open);
		order->members = noted->members.list;
		order->n_members = noted->members.count;
		order->former = noted->members.former;
		order->n_former = noted->members.former_count;
		record->orders[record->n_orders++] = order;
	}
}

/*
 * Report the orders of a record to the pool task.
 */
static void
report(registry_t *registry, const Bp__DutyRecord *record, int64_t read_us,
    bool unrecorded)
{
	Bp__OrdersRead read = BP__ORDERS_READ__INIT;

	if (read_us != 0 && !unrecorded)
		registry->away_told = false;
	read.read_us = (uint64_t)read_us;
	read.has_unrecorded = 1;
	read.unrecorded = unrecorded;
	read.has_lost_us = read.has_era = read.has_away_us = 1;
	read.away_us = (uint64_t)registry->store_first_away_us;
	read.lost_us = (uint64_t)registry->records_lost_us;
	read.era = registry->store_era;
	if (record != NULL) {
		read.orders = record->orders;
		read.n_orders = record->n_orders;
		read.has_begun = 1;
		read.begun = record->begun;
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
	report(registry, record, read_us, false);
}

/*
 * Report the noted orders to the pool task, as if they were recorded already.
 * The members that go with them are not.
 */
void
orders_report_noted(registry_t *registry)
{
	arena_t *arena = arena_new();
	Bp__DutyRecord noted = BP__DUTY_RECORD__INIT;

	orders_fill(registry, arena, &noted);
	noted.begun = registry->record_begun;
	report(registry, &noted, clock_us(), true);
	arena_free(arena);
}

/*
 * Report to the peers task which fencing token the store has recorded.  A
 * process that has just started knows no other, and must not confirm that of a
 * former coordinator.
 */
void
orders_report_token(const registry_t *registry, const Bp__DutyRecord *record)
{
	Bp__TokenRead read = BP__TOKEN_READ__INIT;

	read.token = record->token;
	task_send(registry->proxy->peers, registry->task, msg_copy(&read.base));
}

/* A read of the recorded orders.  Several may be under way. */
typedef struct orders_request {
	registry_t *registry;
	int64_t sent_us;
} orders_request_t;

/*
 * Handle the coordinator record that was read for its orders.
 */
static void
on_record_read(void *context, const object_store_response_t *response)
{
	orders_request_t *request = context;
	registry_t *registry = request->registry;
	object_store_status_t status =
	    store_response_status(registry, response);
	arena_t *arena = arena_new();
	Bp__DutyRecord *record = coordinator_record(registry, response, arena);
	bool read = status == OBJECT_STORE_NOT_FOUND ||
	    (status == OBJECT_STORE_OK && record != NULL);

	if (record != NULL)
		orders_report_token(registry, record);
	orders_report(registry, record, read ? request->sent_us : 0);
	arena_free(arena);
	g_free(request);
}

/*
 * Handle OrdersWanted: read the recorded orders.
 */
void
orders_wanted(void *context, msg_t *msg)
{
	registry_t *registry = context;
	orders_request_t *request = g_new0(orders_request_t, 1);

	msg_free(msg);
	request->registry = registry;
	request->sent_us = clock_us();
	registry->proxy->objects->get(registry->objects, OBJECT_COORDINATOR,
	    COORDINATOR_OBJECT_NAME, on_record_read, request);
}

/*
 * Handle GroupMembersWanted: have the members of a group recorded with the next
 * write.
 */
void
members_wanted(void *context, msg_t *msg)
{
	const Bp__GroupMembersWanted *wanted =
	    (const Bp__GroupMembersWanted *)msg->body;
	registry_t *registry = context;
	group_orders_t *noted;

	if (registry->fencing_token != 0) {
		noted = order_of(registry, wanted->group);
		recorded_members_replace(&noted->members, wanted->members,
		    wanted->n_members, wanted->change, &noted->recorded);
		coordinator_note_unrecorded(registry);
	}
	msg_free(msg);
}
