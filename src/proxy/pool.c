#include "pool.h"

#include "order_messages.h"

#include <string.h>

/* The pool task: connections to the databases and the statements they run. */

/* Interval of the periodic work of all groups. */
#define TICK_MS 20

/*
 * When two ticks are this far apart, the process was not running in between,
 * for example because its VM was suspended.  No answer of a server is read in
 * that time, which does not show that the server has failed.
 */
#define PAUSE_MIN_US (200 * US_PER_MS)

/*
 * Duration of the lease of a daemon that is not listed in the store.  The
 * daemon cannot be asked to revoke the lease, so a failover waits until the
 * lease has expired.
 */
#define UNLISTED_LEASE_US (250 * US_PER_MS)

/*
 * Free a group, as a value of the table of groups.
 */
static void
group_destroy(gpointer p)
{
	server_group_free(p);
}

/*
 * Create the context of the pool task, for task_new_hosted().
 */
void *
pool_new(const proxy_t *proxy)
{
	pool_t *pool = g_new0(pool_t, 1);

	pool->proxy = proxy;
	pool->wire = proxy->wire;
	pool->results.held_bytes_max = POOL_RESULTS_BYTES_MAX;
	pool->groups =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, group_destroy);
	pool->transactions = g_hash_table_new(g_int64_hash, g_int64_equal);
	pool->rand = g_rand_new();
	pool->latencies = latencies_new(&bp__verdict__descriptor);
	pool->takeover_delay_us = monitor_takeover_delay_us(pool->rand);
	pool->daemons_count = 1;
	pool->lease_durations.short_us = UNLISTED_LEASE_US;
	pool->lease_durations.long_us =
	    (int64_t)proxy->settings->timeouts->lease_ms * US_PER_MS;
	return pool;
}

/*
 * Free the context of the pool task, after the task has been freed.
 */
void
pool_free(void *context)
{
	pool_t *pool = context;

	g_hash_table_unref(pool->groups);
	g_hash_table_unref(pool->transactions);
	g_rand_free(pool->rand);
	latencies_free(pool->latencies);
	g_free(pool);
}

/*
 * Restart the failure timeouts of a group after the process was suspended, and
 * ask its servers for their status.
 */
static void
restart_failure_timeouts(group_t *group, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		failover_alive(&group->failover, i, now_us);
		monitor_request_status(group->servers[i], now_us);
	}
}

/*
 * Cancel the long leases unless this daemon is certainly listed in the store.
 * Called before a lease is used or renewed, since time passes while the process
 * is suspended.
 */
void
pool_check_listed(pool_t *pool, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (now_us < pool->listed_until_us)
		return;
	pool->lease_durations.listed_since_us = 0;
	if (pool->listed_until_us < 0)
		return; /* the leases are already cancelled */
	pool->listed_until_us = -1;
	g_hash_table_iter_init(&iter, pool->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		lease_cancel(&((group_t *)value)->lease);
}

/*
 * Run the periodic work of all groups.
 */
static gboolean
on_tick(gpointer context)
{
	pool_t *pool = context;
	int64_t now_us = clock_us();
	bool paused = pool->last_tick_us != 0 &&
	    now_us - pool->last_tick_us >= PAUSE_MIN_US;
	GHashTableIter iter;
	gpointer value;

	if (paused)
		log_process_paused((now_us - pool->last_tick_us) / US_PER_MS);
	pool->last_tick_us = now_us;
	pool_check_listed(pool, now_us);
	g_hash_table_iter_init(&iter, pool->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (paused)
			restart_failure_timeouts(value, now_us);
		group_tick(value, now_us);
	}
	transactions_expire(pool, now_us);
	task_dispatch_local();
	return G_SOURCE_CONTINUE;
}

/*
 * Start the task: start the timer for the periodic work.
 */
static int32_t
on_start(void *context, task_t *task)
{
	pool_t *pool = context;

	pool->task = task;
	pool->started_us = clock_us();
	pool->tick_timer = task_timer(task, TICK_MS, on_tick, pool);
	return 0;
}

/*
 * Stop the task: answer the remaining statements and close all connections.
 */
static void
on_stop(void *context)
{
	pool_t *pool = context;
	GList *transactions, *l;
	GHashTableIter iter;
	gpointer value;

	source_clear(&pool->tick_timer);
	g_hash_table_iter_init(&iter, pool->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		operations_abort(value);
	transactions = g_hash_table_get_values(pool->transactions);
	for (l = transactions; l != NULL; l = l->next)
		transaction_drop(l->data);
	g_list_free(transactions);
	g_hash_table_remove_all(pool->groups);
}

/*
 * Handle RunOperation: run a statement of a client.
 */
static void
on_run_operation(void *context, msg_t *msg)
{
	operation_begin(context, msg);
}

/*
 * Handle DropTransaction: roll back the transaction of a session that has
 * closed or has given up the transaction.  A statement that is still running is
 * left to finish first.
 */
static void
on_drop_transaction(void *context, msg_t *msg)
{
	const Bp__DropTransaction *drop =
	    (const Bp__DropTransaction *)msg->body;
	pool_t *pool = context;
	transaction_t *transaction =
	    g_hash_table_lookup(pool->transactions, &drop->session);

	if (transaction != NULL)
		transaction_drop(transaction);
	msg_free(msg);
}

/*
 * Handle CatalogInForce: apply a new catalog.
 */
static void
on_catalog_in_force(void *context, msg_t *msg)
{
	const Bp__Catalog *catalog =
	    ((const Bp__CatalogInForce *)msg->body)->catalog;
	pool_t *pool = context;

	pool->config_version = catalog->version;
	catalog_apply(pool, catalog);
	msg_free(msg);
}

/*
 * Handle GroupsPlaced: note which groups this daemon owns.
 */
static void
on_groups_placed(void *context, msg_t *msg)
{
	groups_place(context, (const Bp__GroupsPlaced *)msg->body);
	msg_free(msg);
}

/*
 * Handle Leave: the daemon shuts down.
 */
static void
on_leave(void *context, msg_t *msg)
{
	((pool_t *)context)->leaving = true;
	msg_free(msg);
}

/*
 * Handle DutyChanged: note whether this daemon is the coordinator, according to
 * the coordinator record.  One that has the role again under its last token has
 * no orders of another one to wait for.
 */
static void
on_coordinator_changed(void *context, msg_t *msg)
{
	const Bp__DutyChanged *changed = (const Bp__DutyChanged *)msg->body;
	pool_t *pool = context;
	bool began = changed->held && changed->token != pool->last_token;
	GHashTableIter iter;
	gpointer value;

	if (changed->held != pool->is_coordinator)
		log_coordinator_changed(changed->held, changed->token);
	pool->is_coordinator = changed->held;
	if (began)
		pool->coordinator_since_us = changed->first ? 0 : clock_us();
	pool->first_coordinator |= began && changed->first;
	pool->fencing_token = changed->token;
	if (changed->held) {
		pool->last_token = changed->token;
		pool->coordinator_confirmed_us = (int64_t)changed->asked_us;
	}
	pool->coordinator_check_pending = false;
	g_hash_table_iter_init(&iter, pool->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!changed->held)
			monitor_coordinator_denied(
			    value, changed->unknown, clock_us());
		if (began)
			group_orders_report(value);
		if (began && changed->first)
			group_first_coordinator(value);
	}
	msg_free(msg);
}

/*
 * Handle AttemptsVoid: give up the attempts at a failover.  Their revocations
 * named a token of the era before, and their promises may be older than orders
 * that the store has lost.  Leases rest on the record of the new era only.
 */
static void
on_attempts_void(void *context, msg_t *msg)
{
	const Bp__AttemptsVoid *attempts_void =
	    (const Bp__AttemptsVoid *)msg->body;
	pool_t *pool = context;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		group_t *group = value;
		failover_t *failover = &group->failover;

		failover_superseded(failover, failover->term, clock_us());
		lease_store_era(&group->lease, attempts_void->era);
		open_orders_store_restored(&group->open_orders);
	}
	msg_free(msg);
}

/*
 * Handle PromisesWanted: check whether the promises for an order are held.
 */
static void
on_promises_wanted(void *context, msg_t *msg)
{
	const Bp__PromisesWanted *wanted =
	    (const Bp__PromisesWanted *)msg->body;

	group_promises_wanted(
	    group_get(context, wanted->group), wanted->term, clock_us());
	msg_free(msg);
}

/*
 * Handle PromotionEnded: pass on the result of an order to promote a server.
 */
static void
on_promotion_ended(void *context, msg_t *msg)
{
	const Bp__PromotionEnded *ended = (const Bp__PromotionEnded *)msg->body;
	pool_t *pool = context;

	monitor_promotion_ended(
	    group_get(pool, ended->group), ended, clock_us());
	msg_free(msg);
}

/*
 * Handle DaemonsCounted: note the number of daemons listed in the store, and
 * the time span in which this daemon is listed.
 */
static void
on_daemons_counted(void *context, msg_t *msg)
{
	const Bp__DaemonsCounted *counted =
	    (const Bp__DaemonsCounted *)msg->body;
	pool_t *pool = context;
	bool listed = counted->listed_us != 0;

	if (counted->count != pool->daemons_count || listed != pool->listed) {
		pool->daemons_count = counted->count;
		pool->listed = listed;
		log_daemons_known(pool);
	}
	pool->lease_durations.listed_since_us = (int64_t)counted->listed_us;
	pool->listed_until_us = (int64_t)counted->until_us;
	pool_check_listed(pool, clock_us());
	msg_free(msg);
}

/*
 * Handle OrdersRead: note which orders to replace the primary of each group the
 * store has recorded.
 */
static void
on_orders_read(void *context, msg_t *msg)
{
	const Bp__OrdersRead *read = (const Bp__OrdersRead *)msg->body;
	pool_t *pool = context;
	GHashTableIter iter;
	gpointer name, value;

	pool->orders_pending = false;
	pool->store_first_away_us = (int64_t)read->away_us;
	if (read->read_us != 0 && !read->unrecorded)
		pool->store_away = false;
	g_hash_table_iter_init(&iter, pool->groups);
	while (read->read_us != 0 &&
	    g_hash_table_iter_next(&iter, &name, &value)) {
		recorded_orders_t recorded = {0};
		Bp__OpenOrder *const *open = NULL;
		Bp__RecordedMember *const *members = NULL;
		Bp__FormerMembers *const *former = NULL;
		size_t i, n_open = 0, n_members = 0, n_former = 0;

		for (i = 0; i < read->n_orders; i++) {
			const Bp__RecordedOrder *order = read->orders[i];

			if (strcmp(order->group, name) != 0)
				continue;
			if (order->attempt_term != 0)
				recorded = recorded_order_read(order);
			open = order->open;
			n_open = order->n_open;
			members = order->members;
			n_members = order->n_members;
			former = order->former;
			n_former = order->n_former;
		}
		recorded.read_us = (int64_t)read->read_us;
		recorded.lost_us = (int64_t)read->lost_us;
		recorded.read_era = read->era;
		group_orders_recorded(value, open, n_open, read->begun,
		    read->unrecorded ? 0 : (int64_t)read->read_us, clock_us());
		if (!read->unrecorded) {
			group_former_keep(value, read->era, read->begun);
			group_former_recorded(value, former, n_former,
			    recorded.replaced_term, (int64_t)read->read_us);
			group_members_recorded(
			    value, members, n_members, (int64_t)read->read_us);
			((group_t *)value)->stored_attempt_term =
			    recorded.attempt_term;
		}
		group_lease_orders_read(value, &recorded, clock_us());
	}
	msg_free(msg);
}

/*
 * Handle StoreAway: orders have to be provable without the store, until it has
 * answered again.
 */
static void
on_store_away(void *context, msg_t *msg)
{
	((pool_t *)context)->store_away = true;
	msg_free(msg);
}

/*
 * Handle ServersKnown.
 */
static void
on_servers_known(void *context, msg_t *msg)
{
	const Bp__ServersKnown *known = (const Bp__ServersKnown *)msg->body;

	((pool_t *)context)->servers_known_us = (int64_t)known->known_us;
	msg_free(msg);
}

/*
 * Handle RevokeEnded: a majority of the daemons, or all, have revoked their
 * leases of a group below a term, or one of them knows a newer coordinator.
 */
static void
on_revoke_ended(void *context, msg_t *msg)
{
	const Bp__RevokeEnded *ended = (const Bp__RevokeEnded *)msg->body;

	monitor_revocation_progress(group_get(context, ended->group), ended);
	msg_free(msg);
}

/*
 * Handle RevokeAsked: revoke the lease of a group for another daemon that is
 * changing the group's primary, and acknowledge the request.
 */
static void
on_revoke_asked(void *context, msg_t *msg)
{
	Bp__RevokeAsked *asked = (Bp__RevokeAsked *)msg->body;
	pool_t *pool = context;
	group_t *group = group_get(pool, asked->group);
	task_t *from = msg->from;
	int64_t now_us = clock_us();

	if (asked->order != NULL) {
		told_orders_t told = {.token = asked->token,
		    .sequence = asked->id,
		    .orders = recorded_order_read(asked->order)};

		told.orders.told_us = now_us;
		group_orders_told_note(group, &told, now_us);
	}
	group_orders_told(group, asked->open, asked->n_open, now_us);
	if (asked->term != NO_TERM && !asked->begun) {
		group->revoker_link = asked->link;
		group->revoker_lost = false;
	}
	group_lease_revoke(group, asked->term, asked->begun, now_us);
	asked->has_newest_term = 1;
	asked->newest_term = lease_newest_term(&group->lease);
	asked->open = group_orders_write(group, msg->arena, &asked->n_open);
	/* a coordinator knows what it has told itself */
	asked->order = group->orders_told.token == asked->token
	    ? NULL
	    : group_orders_told_write(group, msg->arena);
	task_send(from, pool->task, msg_copy(msg->body));
	msg_free(msg);
}

/*
 * Handle RevokerLost: note that the daemon that was changing the primary of a
 * group likely does not go on.
 */
static void
on_revoker_lost(void *context, msg_t *msg)
{
	const Bp__RevokerLost *lost = (const Bp__RevokerLost *)msg->body;
	group_t *group = group_get(context, lost->group);

	group->revoker_lost |= group->revoker_link == lost->link;
	msg_free(msg);
}

static const task_handler_t handlers[] = {
    {&bp__run_operation__descriptor, on_run_operation},
    {&bp__drop_transaction__descriptor, on_drop_transaction},
    {&bp__catalog_in_force__descriptor, on_catalog_in_force},
    {&bp__servers_known__descriptor, on_servers_known},
    {&bp__groups_placed__descriptor, on_groups_placed},
    {&bp__leave__descriptor, on_leave},
    {&bp__duty_changed__descriptor, on_coordinator_changed},
    {&bp__attempts_void__descriptor, on_attempts_void},
    {&bp__promises_wanted__descriptor, on_promises_wanted},
    {&bp__promotion_ended__descriptor, on_promotion_ended},
    {&bp__orders_read__descriptor, on_orders_read},
    {&bp__store_away__descriptor, on_store_away},
    {&bp__daemons_counted__descriptor, on_daemons_counted},
    {&bp__revoke_ended__descriptor, on_revoke_ended},
    {&bp__revoke_asked__descriptor, on_revoke_asked},
    {&bp__revoker_lost__descriptor, on_revoker_lost},
    {&bp__status_request__descriptor, pool_status},
};

const task_ops_t pool_ops = {
    "pool", on_start, on_stop, handlers, G_N_ELEMENTS(handlers)};
