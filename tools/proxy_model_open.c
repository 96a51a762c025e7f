#include "proxy_model_internal.h"

#include <string.h>

/*
 * The proxy model: the orders that may still take effect, and the recorded
 * members of the group.
 */

static char *const db_names[DBS_MAX] = {"0", "1", "2", "3", "4", "5", "6"};

/*
 * Return the name of a database.
 */
char *
proxy_model_db_name(uint32_t db)
{
	return db_names[db];
}

/* A list of open orders that is being written. */
typedef struct list_writer {
	open_list_t *list;
	int64_t now_us;
} list_writer_t;

/*
 * Return the time for which an order may take effect, as the daemon writes it.
 */
static uint32_t
left_ms(int64_t until_us, int64_t now_us)
{
	return until_us <= now_us
	    ? 0
	    : (uint32_t)((until_us - now_us) / US_PER_MS) + 1;
}

/*
 * Append an order to a list.
 */
static void
list_append(open_list_t *list, const listed_order_t *order)
{
	if (list->count == OPEN_LIST_MAX)
		g_error("%u open orders: a list is full, so that the model "
			"would know less than the daemon",
		    list->count + 1);
	list->orders[list->count++] = *order;
}

/*
 * Append an order of a daemon to a list.
 */
static void
append_order(void *context, const open_order_t *order)
{
	const list_writer_t *writer = context;

	list_append(writer->list,
	    &(listed_order_t){.db = (uint32_t)(order->database[0] - '0'),
		.left_ms = left_ms(order->until_us, writer->now_us),
		.attempt_term = order->attempt_term,
		.replaced_term = order->replaced_term,
		.followed_by = order->followed_by});
}

/*
 * Return the open orders that a daemon knows.
 */
void
proxy_model_open_list(const proxy_model_t *model,
    const proxy_model_daemon_t *daemon, open_list_t *list)
{
	list->count = 0;
	open_orders_each(&daemon->open_orders, append_order,
	    &(list_writer_t){list, model->now_us});
}

/*
 * Have the record name the orders that it must name, as a daemon knows them.
 */
static void
record_orders(proxy_model_t *model, const proxy_model_daemon_t *daemon)
{
	model->open.count = 0;
	open_orders_each_named(&daemon->open_orders, true, append_order,
	    &(list_writer_t){&model->open, model->now_us});
}

/*
 * Return an order of a list that has arrived now.
 */
static open_order_t
listed_order(const proxy_model_t *model, const listed_order_t *listed,
    open_order_source_t source)
{
	return (open_order_t){.database = db_names[listed->db],
	    .attempt_term = listed->attempt_term,
	    .replaced_term = listed->replaced_term,
	    .until_us = model->now_us +
		MIN((int64_t)listed->left_ms * US_PER_MS, ORDER_OPEN_US),
	    .followed_by = listed->followed_by,
	    .source = source};
}

/*
 * Have a daemon note the open orders that another one has told.  Returns
 * whether one of them was not known.
 */
bool
proxy_model_open_told(
    proxy_model_t *model, proxy_model_daemon_t *daemon, const open_list_t *list)
{
	bool added = false;
	uint32_t i;

	for (i = 0; i < list->count; i++) {
		open_order_t order =
		    listed_order(model, &list->orders[i], OPEN_ORDER_TOLD);

		added |= open_orders_add(&daemon->open_orders, &order);
	}
	proxy_model_open_update(model, daemon);
	return added;
}

/*
 * Have a daemon note the open orders that the store had recorded when it was
 * asked at asked_us.  The time that is left of each counts from the arrival of
 * the record, as in the daemon: its reader does not know when it was written.
 */
void
proxy_model_open_recorded(proxy_model_t *model, proxy_model_daemon_t *daemon,
    const open_list_t *list, int64_t asked_us)
{
	open_order_t recorded[OPEN_LIST_MAX];
	uint32_t i;

	for (i = 0; i < list->count; i++)
		recorded[i] =
		    listed_order(model, &list->orders[i], OPEN_ORDER_RECORDED);
	open_orders_replace_recorded(&daemon->open_orders, recorded,
	    list->count, list->record_begun, asked_us, model->now_us);
	proxy_model_open_update(model, daemon);
}

/*
 * Take the order that is left as the one that began a term, as all others that
 * may have begun it have begun another one.
 */
static void
eliminate(const open_orders_t *orders, uint64_t term)
{
	open_order_t *left = NULL;
	uint32_t i, count = 0;

	for (i = 0; i < orders->list->len; i++) {
		open_order_t *order = g_ptr_array_index(orders->list, i);

		if (order->begun_term != 0 || order->replaced_term >= term)
			continue;
		left = order;
		count++;
	}
	if (count == 1)
		left->checked = true;
}

/*
 * Return the order of a list as a daemon knows it, or NULL if it does not.
 */
static const open_order_t *
known_order(const proxy_model_daemon_t *daemon, const listed_order_t *listed)
{
	const GPtrArray *known = daemon->open_orders.list;
	uint32_t i;

	for (i = 0; i < known->len; i++) {
		const open_order_t *order = g_ptr_array_index(known, i);

		if (order->attempt_term == listed->attempt_term &&
		    strcmp(order->database, db_names[listed->db]) == 0)
			return order;
	}
	return NULL;
}

/*
 * Have a daemon that writes the record write the time that is left of each open
 * order in it, as it counts it.
 */
void
proxy_model_open_rewrite(
    proxy_model_t *model, const proxy_model_daemon_t *daemon)
{
	uint32_t i;

	for (i = 0; i < model->open.count; i++) {
		listed_order_t *listed = &model->open.orders[i];
		const open_order_t *known = known_order(daemon, listed);

		if (known != NULL)
			listed->left_ms =
			    left_ms(known->until_us, model->now_us);
	}
}

/*
 * Note an order of a daemon's failover as open, and record it.
 */
void
proxy_model_open_note(
    proxy_model_t *model, proxy_model_daemon_t *daemon, uint32_t db)
{
	open_order_t order = {.database = db_names[db],
	    .attempt_term = daemon->failover.term,
	    .replaced_term = model->orders.replaced_term,
	    .until_us = model->now_us + ORDER_OPEN_US,
	    .source = OPEN_ORDER_RECORDED,
	    .recorded_us = model->now_us};

	if (model->plan->open_orders_unknown)
		return;
	if (model->plan->injected_bug == PROXY_BUG_ORDER_ELIMINATED)
		eliminate(&daemon->open_orders,
		    failover_term_to_replace(&daemon->failover));
	open_orders_note(&daemon->open_orders, &order, model->now_us);
	record_orders(model, daemon);
}

/*
 * Tell whether the record names an order of a list.
 */
static bool
names_order(const proxy_model_t *model, const listed_order_t *listed)
{
	uint32_t i;

	for (i = 0; i < model->open.count; i++) {
		if (model->open.orders[i].db == listed->db &&
		    model->open.orders[i].attempt_term == listed->attempt_term)
			return true;
	}
	return false;
}

/*
 * Have the record name the orders of a list besides.
 */
void
proxy_model_open_add_missing(proxy_model_t *model, const open_list_t *list)
{
	uint32_t i;

	for (i = 0; i < list->count; i++) {
		if (!names_order(model, &list->orders[i]))
			list_append(&model->open, &list->orders[i]);
	}
}

/*
 * Withdraw an order that was refused or not sent.  The record names the orders
 * again that it named before, as it does not say any more which terms they may
 * have begun.
 */
void
proxy_model_open_withdraw(
    proxy_model_t *model, proxy_model_daemon_t *daemon, uint32_t db)
{
	open_orders_remove(
	    &daemon->open_orders, db_names[db], daemon->failover.term);
	if (model->plan->open_orders_unknown)
		return;
	record_orders(model, daemon);
	proxy_model_open_add_missing(model, &daemon->open_before);
}

/*
 * Note that the platform has accepted an order.
 */
void
proxy_model_open_accepted(
    proxy_model_daemon_t *daemon, uint32_t db, int64_t now_us)
{
	open_orders_shorten(&daemon->open_orders, db_names[db],
	    daemon->failover.term, now_us + ORDER_LATE_US);
}

/*
 * Return the name of a database of a daemon's group.
 */
static const char *
server_name(void *context, uint32_t server)
{
	const proxy_model_daemon_t *daemon = context;

	return db_names[daemon->servers[server]];
}

/* The open orders that count in place of those outside of a group. */
typedef struct outside {
	const proxy_model_daemon_t *daemon;
	int64_t now_us;
	bool open;
} outside_t;

/*
 * Count an order to a database that is not in the group as open until its time
 * is over.
 */
static void
count_outside(void *context, const open_order_t *order)
{
	outside_t *outside = context;

	outside->open |= order->until_us > outside->now_us &&
	    proxy_model_index(
		outside->daemon, (uint32_t)(order->database[0] - '0')) < 0;
}

/*
 * Take the orders as over that replace older terms than the primary's.
 */
static void
end_by_term(proxy_model_daemon_t *daemon)
{
	int32_t primary = failover_primary(&daemon->failover);
	uint32_t i;

	for (i = 0; primary >= 0 && i < daemon->open_orders.list->len; i++) {
		open_order_t *order =
		    g_ptr_array_index(daemon->open_orders.list, i);

		order->overtaken |= order->replaced_term <
		    daemon->failover.views[primary].promised;
	}
}

/*
 * Bring the open orders of a daemon up to date, and mark the databases that
 * they name.
 */
void
proxy_model_open_update(proxy_model_t *model, proxy_model_daemon_t *daemon)
{
	outside_t outside = {daemon, model->now_us, false};

	if (model->plan->injected_bug == PROXY_BUG_ORDER_TERM_ENDS)
		end_by_term(daemon);
	open_orders_update(&daemon->open_orders, &daemon->failover,
	    &daemon->lease, server_name, daemon, model->now_us);
	if (model->plan->injected_bug == PROXY_BUG_UNNAMED_ORDERS_READ)
		daemon->failover.orders_named_us = 0;
	if (model->plan->injected_bug != PROXY_BUG_ORDER_OUTSIDE_VOID)
		return;
	open_orders_each(&daemon->open_orders, count_outside, &outside);
	daemon->lease.order_open_outside = daemon->failover.order_open_outside =
	    outside.open;
	daemon->failover.order_unanswered = false;
}

/*
 * Return the latest time at which it is certain that no open order had taken
 * effect; INT64_MAX if there is none.
 */
int64_t
proxy_model_checked_us(
    const proxy_model_t *model, const proxy_model_daemon_t *daemon)
{
	int32_t primary = failover_primary(&daemon->failover);

	if (model->plan->injected_bug == PROXY_BUG_OPEN_ORDERS)
		return INT64_MAX;
	return primary < 0
	    ? 0
	    : lease_checked_us(&daemon->lease, daemon->failover.views,
		  daemon->failover.count, (uint32_t)primary);
}

/*
 * Mark the databases that are recorded members for a daemon.  If so many have
 * restarted that the others are no majority, none counts as recorded.
 */
void
proxy_model_members_update(proxy_model_t *model, proxy_model_daemon_t *daemon)
{
	failover_t *failover = &daemon->failover;
	uint32_t i, ended = 0, absent = 0, refused = 0;
	uint32_t count = daemon->members.now.count;
	bool any_start =
	    model->plan->injected_bug == PROXY_BUG_STARTED_IS_MEMBER;

	if (model->plan->injected_bug == PROXY_BUG_MEMBERS_IGNORED)
		count = 0;
	for (i = 0; i < failover->count; i++) {
		uint32_t db = daemon->servers[i];

		failover->views[i].member = count > 0 &&
		    daemon->members.now.member[db] &&
		    (any_start ||
			(daemon->members.now.born_us[db] ==
				daemon->born_us[db] &&
			    !daemon->member_gone[db]));
	}
	for (i = 0; i < model->plan->databases; i++) {
		bool gone = count > 0 && !any_start &&
		    proxy_model_member_ended(model, daemon, i);

		ended += gone;
		absent += proxy_model_absent(model, daemon, i);
		refused += count > 0 && !gone && daemon->member_refused[i];
	}
	if (model->plan->injected_bug == PROXY_BUG_REFUSED_UNRECORDED &&
	    count - ended - refused < majority_of(count))
		count = ended = 0;
	failover_set_members(
	    failover, &daemon->lease, count, ended, absent, model->now_us);
	proxy_model_former_update(model, daemon);
}

/*
 * Have a daemon know the members that the store had recorded at a time, with
 * orders to replace the primary of a term, in a record that was begun with a
 * token.
 */
void
proxy_model_members_read(proxy_model_t *model, proxy_model_daemon_t *daemon,
    const recorded_members_t *members, uint64_t begun, uint64_t replaced_term,
    int64_t read_us)
{
	uint32_t i;

	if (read_us < daemon->members_read_us)
		return;
	daemon->members_read_us = read_us;
	proxy_model_members_keep(model, daemon, members, begun);
	for (i = 0; i < model->plan->databases; i++)
		daemon->member_gone[i] &= members->now.member[i] &&
		    members->now.born_us[i] == daemon->members.now.born_us[i];
	proxy_model_departed(model, daemon, members);
	daemon->members = *members;
	if (!model->plan->members_read_once &&
	    model->plan->injected_bug != PROXY_BUG_MEMBERS_OUTLIVE)
		lease_members_read(
		    &daemon->lease, replaced_term, daemon->store_era, read_us);
	proxy_model_members_update(model, daemon);
}

/*
 * Return the members to be recorded, as a daemon knows them: the databases of
 * its group, and the recorded members that are not known to have ended.
 */
static member_set_t
members_to_record(
    const proxy_model_t *model, const proxy_model_daemon_t *daemon)
{
	member_set_t members = {0};
	uint32_t i;

	for (i = 0; i < daemon->failover.count; i++) {
		uint32_t db = daemon->servers[i];

		members.member[db] = true;
		members.born_us[db] = daemon->born_us[db];
	}
	for (i = 0; i < model->plan->databases; i++) {
		if (daemon->members.now.member[i] && !members.member[i] &&
		    !daemon->member_gone[i] && !daemon->member_dropped[i]) {
			members.member[i] = true;
			members.born_us[i] = daemon->members.now.born_us[i];
		}
		members.count += members.member[i];
	}
	return members;
}

/*
 * Record the databases, as a daemon knows them, as the members of the group.
 * term: of its lease, or the one whose primary an order replaces.
 */
void
proxy_model_members_record(
    proxy_model_t *model, proxy_model_daemon_t *daemon, uint64_t term)
{
	member_set_t members;

	if (model->plan->pauses_last)
		return;
	members = members_to_record(model, daemon);
	proxy_model_members_replace(model, daemon, &members, term);
	proxy_model_record_changed(model, daemon);
}

/*
 * Have a coordinator record the members, if others are recorded, while its
 * lease shows that the primary has not been replaced.
 */
void
proxy_model_members_check(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	failover_t *failover = &daemon->failover;
	member_set_t listed = members_to_record(model, daemon);
	int32_t primary = failover_primary(failover);

	if (model->plan->pauses_last || primary < 0 ||
	    !proxy_model_members_begun(model) ||
	    failover->state != FAILOVER_STEADY ||
	    daemon->lease.expires_us <= model->now_us ||
	    daemon->lease.term != failover->views[primary].promised ||
	    model->now_us < daemon->object_store_cut_until_us ||
	    !proxy_model_holds_role(model, daemon, daemon_index) ||
	    model->store_era != daemon->store_era ||
	    proxy_model_members_equal(&daemon->members.now, &listed))
		return;
	proxy_model_members_record(model, daemon, daemon->lease.term);
	proxy_model_members_read(model, daemon, &model->members,
	    model->open.record_begun, model->orders.replaced_term,
	    model->now_us);
}
