#include "proxy_model_internal.h"

#include "../src/proxy/proxy.h"

#include <string.h>

/* The proxy model: the daemons and the event loop. */

#define TICK_US (20 * US_PER_MS)
#define STATUS_INTERVAL_US (60 * US_PER_MS)
#define STATUS_TIMEOUT_US (200 * US_PER_MS)
#define STATEMENT_TIMEOUT_US (1000 * US_PER_MS)
#define FAULT_DURATION_MAX_US (4 * US_PER_SECOND)
#define FAILOVER_VISIBLE_US (2 * US_PER_SECOND)
#define TAKEOVER_DELAY_US (900 * US_PER_MS)
#define TAKEOVER_DELAY_SPREAD_US (600 * US_PER_MS)

/* Time in which the first list of a process counts as new. */
#define LIST_NEW_US (3 * US_PER_SECOND)

/* Time for which the first databases have been listed at the start of a run. */
#define LISTED_FOR_US (60 * US_PER_SECOND)

/*
 * Send a call from a daemon to a database.  A call over a cut link gets no
 * answer.
 */
void
proxy_model_send_call(proxy_model_t *model, uint32_t daemon, uint32_t db,
    call_kind_t kind, uint64_t term, stmt_t *stmt)
{
	event_t event = {.kind = EVENT_CALL,
	    .call = kind,
	    .daemon = daemon,
	    .db = db,
	    .term = term,
	    .sent_us = model->now_us,
	    .stmt = stmt};

	proxy_model_schedule(
	    model, proxy_model_random_us(model, NETWORK_DELAY_MAX_US), &event);
}

/*
 * Answer a statement.  Counts a stale read if a newer primary existed when
 * the read was sent, and a split brain if a newer primary exists when a write
 * is acknowledged.  Where the daemon knows that an order to another database is
 * open, a split brain is counted if a newer primary existed when that database
 * was asked, after the write was executed; it may begin to lead while its
 * answer is on its way.  Where orders are held up for longer than leases last,
 * the time at which the write was executed counts.
 */
static void
stmt_done(proxy_model_t *model, const proxy_model_daemon_t *daemon,
    const stmt_t *stmt)
{
	uint64_t newest_term = stmt->newest_term_when_executed;

	if (!proxy_model_orders_overtake(model->plan))
		newest_term = MAX(newest_term,
		    proxy_model_newest_term_at(
			model, proxy_model_checked_us(model, daemon)));
	if (stmt->is_read) {
		model->result->reads++;
		model->result->stale_primary_reads +=
		    stmt->newest_term_when_sent > stmt->position.term;
		return;
	}
	model->result->acknowledged++;
	model->result->split_brain_acks += newest_term > stmt->position.term;
	g_array_append_val(model->acked_writes, stmt->write_id);
	proxy_model_reads_acked(
	    model, (uint32_t)(daemon - model->daemons), stmt);
}

/*
 * Tell whether the databases that open orders name have received a write.
 * Where commits are synchronous, one that lacks it must not become primary.
 */
static bool
open_orders_received(const proxy_model_t *model,
    const proxy_model_daemon_t *daemon, const stmt_t *stmt)
{
	const failover_t *failover = &daemon->failover;
	int32_t primary = failover_primary(failover);
	uint32_t i;

	if (stmt->is_read || model->plan->sync_replicas == 0 ||
	    model->plan->injected_bug == PROXY_BUG_OPEN_ORDERS_LACK_COMMITS)
		return true;
	for (i = 0; i < failover->count; i++) {
		const db_view_t *view = &failover->views[i];

		if (view->order_open && (int32_t)i != primary &&
		    position_compare(view->last_entry, stmt->position) < 0)
			return false;
	}
	return true;
}

/*
 * Answer the statements that a daemon's lease, and a replica where commits
 * are synchronous, confirm by now.  Drop those that have timed out.
 */
static void
release_confirmed(proxy_model_t *model, proxy_model_daemon_t *daemon)
{
	const lease_t *lease = &daemon->lease;
	int32_t primary = proxy_model_primary(daemon);
	uint32_t i = daemon->stmts->len;

	while (i-- > 0) {
		const stmt_t *stmt = g_ptr_array_index(daemon->stmts, i);
		int64_t needed_until_us =
		    stmt->is_read ? stmt->sent_us : model->now_us;
		bool confirmed = stmt->position.term == lease->term &&
		    (int32_t)stmt->db == primary &&
		    needed_until_us <= lease->expires_us &&
		    (stmt->is_read ? stmt->sent_us : stmt->executed_us) <=
			proxy_model_checked_us(model, daemon) &&
		    open_orders_received(model, daemon, stmt);
		bool replicated = stmt->is_read ||
		    model->plan->sync_replicas == 0 ||
		    proxy_model_count_copies(model, stmt->db, stmt->write_id) >
			0;

		if (stmt->executed && replicated &&
		    (confirmed ||
			model->plan->injected_bug ==
			    PROXY_BUG_ACK_WITHOUT_LEASE))
			stmt_done(model, daemon, stmt);
		else if (model->now_us - stmt->sent_us < STATEMENT_TIMEOUT_US)
			continue;
		g_ptr_array_remove_index_fast(daemon->stmts, i);
	}
}

/*
 * Tell whether a daemon still waits for a statement.
 */
static bool
stmt_pending(const proxy_model_daemon_t *daemon, const stmt_t *stmt)
{
	return g_ptr_array_find(daemon->stmts, stmt, NULL);
}

/*
 * Read the recorded orders from the store.  They are not read while the daemon
 * has no access to it.
 */
static void
read_orders(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	event_t event = {.kind = EVENT_ORDERS_READ,
	    .daemon = daemon_index,
	    .store_era = model->store_era,
	    .orders = model->orders,
	    .open = model->open,
	    .members = model->members,
	    .token = model->coordinator_token};

	if (daemon->orders_pending || model->record_unreadable ||
	    model->now_us < daemon->object_store_cut_until_us)
		return;
	daemon->orders_pending = true;
	event.orders.read_us = model->now_us;
	proxy_model_schedule(
	    model, proxy_model_random_us(model, NETWORK_DELAY_MAX_US), &event);
}

/*
 * Have a daemon take it that no order is recorded, and that an attempt has
 * ended after FAILOVER_VISIBLE_US.
 */
static void
assume_no_orders(const proxy_model_t *model, proxy_model_daemon_t *daemon)
{
	recorded_orders_t orders = {.read_us = model->now_us};

	if (model->now_us - daemon->lease.blocked_us >= FAILOVER_VISIBLE_US)
		orders.attempt_term = daemon->lease.attempt_term;
	lease_orders_read(&daemon->lease, &orders);
}

/*
 * Have a daemon take the record for one that was read after the latest sign of
 * an attempt of the number that it names (PROXY_BUG_RECORD_BEFORE_SIGN).
 */
static void
assume_record_after_sign(proxy_model_daemon_t *daemon)
{
	recorded_orders_t *orders = &daemon->lease.orders;

	if (orders->read_us == 0 ||
	    orders->attempt_term != daemon->lease.attempt_term)
		return;
	orders->read_us = MAX(orders->read_us, daemon->lease.blocked_us + 1);
	orders->era = orders->read_era;
}

/*
 * Have a daemon take a new connection for the latest sign of an attempt, so
 * that the answers on it count afterwards.
 */
static void
assume_sign_since(proxy_model_daemon_t *daemon)
{
	const failover_t *failover = &daemon->failover;
	uint32_t i;

	for (i = 0; daemon->lease.blocked_term != 0 && i < failover->count;
	     i++) {
		if (failover->views[i].known)
			daemon->lease.blocked_us = MAX(daemon->lease.blocked_us,
			    failover->views[i].connected_us);
	}
}

/*
 * Have a daemon take a round of answers for the second one
 * (PROXY_BUG_MOMENTS_AS_ONE).
 */
static void
assume_round_before(const proxy_model_t *model, proxy_model_daemon_t *daemon)
{
	const failover_t *failover = &daemon->failover;
	int32_t primary = failover_primary(failover);

	if (primary >= 0)
		daemon->lease.denials =
		    (lease_denials_t){.term = failover->views[primary].promised,
			.databases = failover->count,
			.begun_us = model->now_us};
}

/*
 * Renew a daemon's lease from the answers of the databases, read the recorded
 * orders if needed, and answer the statements that the lease confirms.
 */
static void
update_lease(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	const failover_t *failover = &daemon->failover;
	int32_t primary = failover_primary(failover);

	if (model->plan->pauses_last)
		assume_no_orders(model, daemon);
	if (model->plan->injected_bug == PROXY_BUG_UNVERIFIED_LEASE)
		lease_orders_read(&daemon->lease,
		    &(recorded_orders_t){.read_us = model->now_us});
	if (model->plan->new_starts_deny)
		assume_sign_since(daemon);
	if (model->plan->injected_bug == PROXY_BUG_RECORD_BEFORE_SIGN)
		assume_record_after_sign(daemon);
	if (model->plan->injected_bug == PROXY_BUG_MOMENTS_AS_ONE)
		assume_round_before(model, daemon);
	proxy_model_open_update(model, daemon);
	proxy_model_members_update(model, daemon);
	daemon->lease.list_new = daemon->listed_us != 0 &&
	    model->now_us - daemon->listed_us < LIST_NEW_US;
	daemon->lease.list_until_us = proxy_model_list_until_us(model, daemon);
	if (primary >= 0)
		lease_renew(&daemon->lease, failover->views, failover->count,
		    (uint32_t)primary, model->now_us, &daemon->lease_durations);
	if (primary >= 0 && daemon->lease.unverified)
		read_orders(model, daemon_index);
	release_confirmed(model, daemon);
}

/*
 * Handle the recorded orders.
 */
static void
on_orders_read(proxy_model_t *model, const event_t *event)
{
	proxy_model_daemon_t *daemon = &model->daemons[event->daemon];

	recorded_orders_t orders = event->orders;

	daemon->orders_pending = false;
	daemon->token_read = true;
	daemon->newest_token_seen =
	    MAX(daemon->newest_token_seen, event->token);
	proxy_model_era_reached(model, daemon, event->store_era);
	if (event->store_era < daemon->store_era)
		return;
	orders.read_era = event->store_era;
	if (model->plan->injected_bug != PROXY_BUG_RESTORED_ORDERS)
		orders.lost_us = daemon->store_restored_us;
	proxy_model_store_answered(daemon, &event->orders);
	proxy_model_orders_known(model, daemon, &orders);
	proxy_model_members_read(model, daemon, &event->members,
	    event->open.record_begun, orders.replaced_term, orders.read_us);
	proxy_model_open_recorded(
	    model, daemon, &event->open, event->orders.read_us);
	update_lease(model, event->daemon);
}

/*
 * Handle that a connection to a database was refused, or that another process
 * has answered in its place.
 */
static void
on_refused(
    proxy_model_t *model, proxy_model_daemon_t *daemon, const event_t *event)
{
	daemon->connected_us[event->db] = 0;
	failover_connection_refused(&daemon->failover,
	    (uint32_t)proxy_model_index(daemon, event->db), model->now_us);
	if (event->denied)
		proxy_model_denied(model, daemon, event->db);
}

/*
 * Handle the answer of a database to a daemon's call.
 */
static void
on_answer(proxy_model_t *model, const event_t *event)
{
	proxy_model_daemon_t *daemon = &model->daemons[event->daemon];
	failover_t *failover = &daemon->failover;
	int32_t server = proxy_model_index(daemon, event->db);
	db_view_t view = event->view;

	if (model->plan->injected_bug == PROXY_BUG_OLD_TERM)
		view.term = 0;

	if (event->call == CALL_STATEMENT) {
		if (!stmt_pending(daemon, event->stmt))
			return;
		event->stmt->executed = event->ok;
		event->stmt->executed_us = model->now_us;
		event->stmt->position = view.last_entry;
		if (proxy_model_primary_led(model, daemon, event))
			update_lease(model, event->daemon);
		proxy_model_sample(
		    model, daemon, event->db, view.last_entry, event->sent_us);
		if (!event->ok)
			/* a failed statement times out at once */
			event->stmt->sent_us = 0;
		release_confirmed(model, daemon);
		return;
	}
	if (event->call == CALL_READ) {
		proxy_model_read_answered(model, event);
		return;
	}
	if (event->call == CALL_STATUS)
		daemon->status_pending[event->db] = false;
	/* it was removed meanwhile, or is another start */
	if (server < 0 || event->sent_us < daemon->added_us[event->db])
		return;
	if (event->refused) {
		on_refused(model, daemon, event);
		return;
	}
	view.answered_us = model->now_us;
	if (proxy_model_sends_unrecorded(model->plan))
		view.key = event->db + 1;
	view.order_open = failover->views[server].order_open;
	view.unlisted = daemon->unlisted[event->db];
	view.newly_listed = proxy_model_newly_listed(model, daemon, event->db);
	if (model->plan->troubles.start_listed_max_us == 0)
		daemon->born_us[event->db] = event->born_us;
	view.member = failover->views[server].member &&
	    daemon->members.now.born_us[event->db] ==
		daemon->born_us[event->db];
	failover_replace_view(failover, (uint32_t)server, &view, model->now_us);
	if (event->call == CALL_STEP_DOWN)
		proxy_model_stepped_down(model, event->daemon, event->db);
	if (event->call == CALL_PAUSE_REPLICATION ||
	    (event->call == CALL_STEP_DOWN &&
		model->plan->injected_bug == PROXY_BUG_STEP_DOWN_FENCES)) {
		if (event->ok)
			view.promised = MAX(view.promised, event->term);
		failover_fence_answered(failover, (uint32_t)server, event->term,
		    event->ok, &view, model->now_us);
	} else if (event->call == CALL_STEP_DOWN && event->ok) {
		proxy_model_send_call(model, event->daemon, event->db,
		    CALL_PAUSE_REPLICATION, event->term, NULL);
	}
	if (failover->state == FAILOVER_PROMOTING &&
	    (uint32_t)server == failover->chosen && view.primary &&
	    view.promised > daemon->lease.term)
		failover_promotion_answered(failover, (uint32_t)server,
		    failover->term, true, &view, model->now_us);
	proxy_model_order_waits(model, event->daemon);
	update_lease(model, event->daemon);
	proxy_model_sample(
	    model, daemon, event->db, view.last_entry, event->sent_us);
}

/*
 * Tell whether no order of a former coordinator may take effect any more.
 */
static bool
no_order_of_former(
    const proxy_model_t *model, const proxy_model_daemon_t *daemon)
{
	return model->now_us - daemon->coordinator_since_us >=
	    daemon->failover.limits.order_late_us;
}

/*
 * Tell whether a daemon may end pauses: the store has just confirmed that it is
 * the coordinator, and no order of a former one may take effect any more.
 */
static bool
may_resume(proxy_model_t *model, uint32_t daemon_index)
{
	const proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	proxy_model_bug_t bug = model->plan->injected_bug;

	if (bug == PROXY_BUG_FORMER_RESUMES)
		return true;
	return (no_order_of_former(model, daemon) ||
		   bug == PROXY_BUG_EARLY_RESUME) &&
	    proxy_model_role_confirmed(model, daemon_index);
}

/*
 * Ask a primary to step down.
 */
static void
step_down(
    proxy_model_t *model, uint32_t daemon_index, uint32_t db, uint64_t term)
{
	proxy_model_steps_down(model, daemon_index, db);
	proxy_model_send_call(
	    model, daemon_index, db, CALL_STEP_DOWN, term, NULL);
}

/*
 * Perform one action of the failover.
 */
static void
perform_action(proxy_model_t *model, uint32_t daemon_index,
    const failover_action_t *action)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	const db_view_t *view = &daemon->failover.views[action->database];
	uint32_t db = daemon->servers[action->database];

	switch (action->kind) {
	case FAILOVER_REVOKE_LEASES:
		proxy_model_revoke(model, daemon_index, action->term, false);
		break;
	case FAILOVER_ANNOUNCE_TERM:
		if (model->plan->injected_bug == PROXY_BUG_NO_NOTICE)
			failover_notice_confirmed(&daemon->failover,
			    action->term, true, model->now_us);
		else
			proxy_model_revoke(
			    model, daemon_index, action->term, true);
		break;
	case FAILOVER_ASK_WITNESS:
		failover_witness_answered(&daemon->failover,
		    daemon->failover.witness_request, false, model->now_us);
		break;
	case FAILOVER_PROMOTE:
		proxy_model_write_order(model, daemon_index, db, action->term);
		break;
	case FAILOVER_RELEASE:
		if ((action->term == 0 || view->promised == action->term) &&
		    !proxy_model_proves_order(model, daemon, view) &&
		    may_resume(model, daemon_index))
			proxy_model_send_call(model, daemon_index, db,
			    CALL_RESUME_REPLICATION, 0, NULL);
		break;
	case FAILOVER_CANCEL_PROMOTION:
		break;
	case FAILOVER_FENCE:
	case FAILOVER_FOLLOW:
		if (view->primary)
			step_down(model, daemon_index, db, action->term);
		else if (action->kind == FAILOVER_FENCE)
			proxy_model_send_call(model, daemon_index, db,
			    CALL_PAUSE_REPLICATION, action->term, NULL);
		break;
	}
}

/*
 * Promote the next database at a random tick while the primary is suspected,
 * without a majority that has promised a new term (PROXY_BUG_PROMOTE_UNFENCED).
 */
static void
promote_unfenced(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	event_t promotion = {.kind = EVENT_PROMOTED};
	int32_t primary = proxy_model_primary(daemon);
	uint32_t count = model->plan->databases;

	if (count == 0 || primary < 0 ||
	    !failover_primary_suspected(&daemon->failover, model->now_us) ||
	    !proxy_model_chance(model, 20))
		return;
	promotion.db = ((uint32_t)primary + 1) % count;
	proxy_model_schedule(model, PROMOTION_MIN_US, &promotion);
}

/*
 * Send a read or write to the primary that a daemon knows, if its lease is
 * valid.
 */
static void
send_statement(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	int32_t primary = proxy_model_primary(daemon);
	stmt_t *stmt;

	if (!daemon->owner || primary < 0 ||
	    (model->plan->injected_bug != PROXY_BUG_ACK_WITHOUT_LEASE &&
		daemon->lease.expires_us <= model->now_us) ||
	    proxy_model_checked_us(model, daemon) <=
		model->now_us - daemon->failover.limits.suspect_us)
		return;
	stmt = arena_zalloc(model->arena, sizeof(*stmt));
	stmt->is_read = proxy_model_chance(model, 500);
	stmt->db = (uint32_t)primary;
	stmt->write_id = ++model->last_write_id;
	stmt->sent_us = model->now_us;
	stmt->newest_term_when_sent = model->newest_term;
	stmt->session = proxy_model_reads_writer(model, daemon_index);
	g_ptr_array_add(daemon->stmts, stmt);
	proxy_model_send_call(
	    model, daemon_index, stmt->db, CALL_STATEMENT, 0, stmt);
}

/*
 * Begin a random fault: a paused daemon, a daemon cut off from the object
 * store, a database that is down, or one cut off from a daemon, its peers or
 * both; where owners change, also a daemon cut off from the other daemons and
 * the store.
 */
static void
inject_fault(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	uint32_t db =
	    (uint32_t)g_rand_int_range(model->rand, 0, model->plan->databases);
	int64_t until_us =
	    model->now_us + proxy_model_random_us(model, FAULT_DURATION_MAX_US);

	model->result->faults++;
	switch (g_rand_int_range(
	    model->rand, 0, model->plan->placement_permille > 0 ? 7 : 6)) {
	case 0:
		daemon->paused_until_us = until_us;
		daemon->pause_began_us = model->now_us;
		break;
	case 1:
		daemon->object_store_cut_until_us = until_us;
		break;
	case 2:
		model->dbs[db].down_until_us = until_us;
		break;
	case 3:
		model->dbs[db].daemon_cut_until_us[daemon_index] = until_us;
		break;
	case 4:
		model->dbs[db].peers_cut_until_us = until_us;
		break;
	case 6:
		daemon->daemons_cut_until_us = until_us;
		daemon->object_store_cut_until_us = until_us;
		break;
	default:
		model->dbs[db].peers_cut_until_us = until_us;
		model->dbs[db].daemon_cut_until_us[daemon_index] = until_us;
		break;
	}
}

/*
 * Initialize what a daemon's process knows: nothing of the databases, of the
 * leases or of other coordinators.
 */
static void
daemon_forget(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	Bp__ProxyTimeouts timeouts = BP__PROXY_TIMEOUTS__INIT;
	failover_limits_t limits;

	memset(daemon, 0, sizeof(*daemon));
	proxy_failover_limits(&timeouts, &limits);
	limits.sync_replicas = model->plan->sync_replicas;
	if (model->plan->injected_bug == PROXY_BUG_NO_LEASE_WAIT)
		limits.lease_wait_us = limits.lease_wait_min_us = 0;
	if (model->plan->injected_bug == PROXY_BUG_ORDERS_FORGOTTEN ||
	    model->plan->injected_bug == PROXY_BUG_ACCEPTED_IS_DONE)
		limits.order_late_us = 0;
	failover_init(&daemon->failover, &limits, model->plan->databases,
	    g_rand_int(model->rand), model->now_us);
	proxy_model_lists_init(model, daemon);
	daemon->lease_durations = (lease_duration_t){limits.lease_wait_min_us,
	    (int64_t)timeouts.lease_ms * US_PER_MS, 0};
	daemon->takeover_delay_us = TAKEOVER_DELAY_US +
	    proxy_model_random_us(model, TAKEOVER_DELAY_SPREAD_US);
	daemon->owner = true;
	daemon->stmts = g_ptr_array_new();
	open_orders_init(&daemon->open_orders);
}

/*
 * Restart a daemon.  Its record in the store still says that it may hold
 * leases, but its process counts on it only once it has written it again.
 */
void
proxy_model_daemon_restart(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	proxy_model_daemon_t before = *daemon;

	failover_clear(&daemon->failover);
	g_ptr_array_unref(daemon->stmts);
	open_orders_clear(&daemon->open_orders);
	daemon_forget(model, daemon_index);
	proxy_model_reads_restart(model, daemon_index);
	daemon->object_store_cut_until_us = before.object_store_cut_until_us;
	daemon->daemons_cut_until_us = before.daemons_cut_until_us;
	daemon->record_leases = before.record_leases;
	daemon->process = before.process + 1;
	daemon->restarting_until_us = model->now_us +
	    proxy_model_random_us(model, RESTART_DURATION_MAX_US);
	daemon->paused_until_us = daemon->restarting_until_us;
}

/*
 * Restart a daemon or a database at random.
 */
static void
inject_restart(proxy_model_t *model, uint32_t daemon_index)
{
	const proxy_model_plan_t *plan = model->plan;

	if (plan->daemon_restart_permille > 0 &&
	    proxy_model_chance(model, plan->daemon_restart_permille))
		proxy_model_daemon_restart(model, daemon_index);
	if (plan->database_restart_permille > 0 &&
	    proxy_model_chance(model, plan->database_restart_permille))
		proxy_model_db_restart(model,
		    (uint32_t)g_rand_int_range(
			model->rand, 0, (gint32)plan->databases));
}

/*
 * Have a daemon read from the store which databases have started again.  Its
 * lease relied on those before, and it opens new connections to them.
 */
static void
read_starts(proxy_model_t *model, proxy_model_daemon_t *daemon)
{
	uint32_t i;

	if (model->plan->troubles.start_listed_max_us == 0 ||
	    proxy_model_has_lists(model->plan) ||
	    model->now_us < daemon->object_store_cut_until_us)
		return;
	for (i = 0; i < model->plan->databases; i++) {
		if (daemon->born_us[i] == model->dbs[i].listed_start_us)
			continue;
		daemon->born_us[i] = model->dbs[i].listed_start_us;
		daemon->failover.views[i] = (db_view_t){0};
		open_orders_forget_leader(
		    &daemon->open_orders, proxy_model_db_name(i));
		daemon->connected_us[i] = 0;
		lease_cancel(&daemon->lease);
		lease_member_lost(&daemon->lease, true);
		proxy_model_members_update(model, daemon);
	}
}

/*
 * Have a coordinator request a handover if the primary leaves, or an order to a
 * database that cannot be asked stays open, and another database can succeed
 * the primary.
 */
static void
request_handover(proxy_model_t *model, proxy_model_daemon_t *daemon)
{
	failover_t *failover = &daemon->failover;
	int32_t primary = failover_primary(failover);

	if (primary >= 0 && failover->state == FAILOVER_STEADY &&
	    (failover->views[primary].leaving ||
		(failover->order_unanswered &&
		    !model->plan->unanswered_stay)) &&
	    failover_successor_answers(failover, model->now_us))
		failover_request_handover(failover, model->now_us);
}

/*
 * Run a daemon's timer: request status, answer and send statements, and carry
 * out the failover's actions while the daemon is the coordinator.  May begin a
 * fault.
 */
static void
on_tick(proxy_model_t *model, const event_t *event)
{
	proxy_model_daemon_t *daemon = &model->daemons[event->daemon];
	failover_actions_t actions;
	uint32_t i;

	if (daemon->pause_began_us != 0) {
		if (model->plan->injected_bug == PROXY_BUG_PAUSE_EXTENDS_LEASE)
			daemon->lease.expires_us +=
			    model->now_us - daemon->pause_began_us;
		daemon->pause_began_us = 0;
	}
	proxy_model_place(model, event->daemon);
	read_starts(model, daemon);
	proxy_model_lists_tick(model, event->daemon);
	proxy_model_order_waits(model, event->daemon);
	for (i = 0; i < daemon->failover.count; i++) {
		uint32_t db = daemon->servers[i];

		if (daemon->status_pending[db] &&
		    model->now_us - daemon->status_sent_us[db] <
			STATUS_TIMEOUT_US)
			continue;
		if (model->now_us - daemon->status_sent_us[db] <
		    STATUS_INTERVAL_US)
			continue;
		daemon->status_pending[db] = true;
		daemon->status_sent_us[db] = model->now_us;
		proxy_model_send_call(
		    model, event->daemon, db, CALL_STATUS, 0, NULL);
	}
	release_confirmed(model, daemon);
	send_statement(model, event->daemon);
	proxy_model_reads_tick(model, event->daemon);
	proxy_model_unrecorded_tick(model, event->daemon);
	proxy_model_take_role(model, event->daemon);
	if (daemon->is_coordinator &&
	    model->plan->injected_bug == PROXY_BUG_PROMOTE_UNFENCED) {
		promote_unfenced(model, event->daemon);
	} else if (daemon->is_coordinator) {
		proxy_model_open_update(model, daemon);
		proxy_model_members_update(model, daemon);
		proxy_model_members_check(model, event->daemon);
		request_handover(model, daemon);
		failover_tick(&daemon->failover, model->now_us, &actions);
		for (i = 0; i < actions.count; i++)
			perform_action(model, event->daemon, &actions.list[i]);
	}
	proxy_model_primary_cut(model, event->daemon);
	proxy_model_most_refused(model, event->daemon);
	proxy_model_member_cut(model, event->daemon);
	proxy_model_members_tick(model, event->daemon);
	if (proxy_model_chance(model, model->plan->fault_permille))
		inject_fault(model, event->daemon);
	inject_restart(model, event->daemon);
	if (event->daemon == 0) {
		proxy_model_record_troubles(model);
		proxy_model_db_troubles(model);
		proxy_model_list_troubles(model);
		proxy_model_member_restarts(model);
		proxy_model_peer_troubles(model);
		proxy_model_away_troubles(model);
	}
	proxy_model_schedule(model, TICK_US, event);
}

/*
 * Handle one event.  An event for a paused daemon is delivered when the pause
 * ends.
 */
static void
handle_event(proxy_model_t *model, const event_t *event)
{
	uint32_t recipient =
	    event->kind == EVENT_REVOKE ? event->peer : event->daemon;

	if (event->kind != EVENT_CALL && event->kind != EVENT_REPLICATE &&
	    event->kind != EVENT_PROMOTED &&
	    event->kind != EVENT_RECORD_STORED &&
	    event->kind != EVENT_ROLE_STORED &&
	    model->now_us < model->daemons[recipient].paused_until_us) {
		proxy_model_schedule(model,
		    model->daemons[recipient].paused_until_us - model->now_us,
		    event);
		return;
	}
	switch (event->kind) {
	case EVENT_TICK:
		on_tick(model, event);
		break;
	case EVENT_REPLICATE:
		proxy_model_replicate(model, event);
		break;
	case EVENT_CALL:
		proxy_model_handle_call(model, event);
		break;
	case EVENT_ANSWER:
		on_answer(model, event);
		break;
	case EVENT_REVOKE:
		proxy_model_asked_to_revoke(model, event);
		break;
	case EVENT_REVOKED:
		proxy_model_revoked(model, event);
		break;
	case EVENT_PEER_CLOSED:
		proxy_model_peer_closed(model, event);
		break;
	case EVENT_REVOKE_AGAIN:
		proxy_model_revoke_again(model, event);
		break;
	case EVENT_UNCONFIRMED:
		proxy_model_unconfirmed(model, event);
		break;
	case EVENT_COORDINATOR_WRITTEN:
		proxy_model_order_written(model, event);
		break;
	case EVENT_ORDERS_READ:
		on_orders_read(model, event);
		break;
	case EVENT_ORDER_SENT:
		proxy_model_order_sent(model, event);
		break;
	case EVENT_ORDER_GIVEN_UP:
		proxy_model_order_given_up(model, event);
		break;
	case EVENT_ROLE_STORED:
		proxy_model_role_stored(model, event);
		break;
	case EVENT_PROMOTED:
		proxy_model_promote(model, event);
		break;
	case EVENT_RECORD_STORED:
		proxy_model_record_stored(model, event);
		break;
	case EVENT_RECORD_ACKED:
		proxy_model_record_acked(model, event);
		break;
	case EVENT_READ_ARRIVES:
		proxy_model_read_arrives(model, event);
		break;
	}
}

/*
 * Initialize a daemon.  It is an owner, and its record in the store has said so
 * since before the start, so that its leases last for the long duration at
 * once.
 */
static void
daemon_init(proxy_model_t *model, uint32_t daemon_index)
{
	proxy_model_daemon_t *daemon = &model->daemons[daemon_index];
	event_t tick = {.kind = EVENT_TICK, .daemon = daemon_index};
	uint32_t i;

	daemon_forget(model, daemon_index);
	daemon->lease_durations.listed_since_us = 1;
	/* the databases are listed, and have been for long */
	daemon->failover.count = proxy_model_first_members(model->plan);
	daemon->listed_us = model->now_us - LIST_NEW_US;
	daemon->list_read_us = model->now_us;
	for (i = 0; i < daemon->failover.count; i++)
		daemon->listed_since_us[i] = model->now_us - LISTED_FOR_US;
	daemon->record_leases = daemon->record_written = true;
	proxy_model_schedule(
	    model, proxy_model_random_us(model, TICK_US), &tick);
}

/*
 * Return the number of violations in a run.
 */
uint64_t
proxy_model_violations(const proxy_model_result_t *result)
{
	return result->split_brain_acks + result->stale_primary_reads +
	    result->lost_writes + result->repeated_tokens +
	    result->lower_tokens + proxy_model_read_violations(result);
}

/*
 * Return the number of violations in a run that concern samples of the
 * primary's position and reads that replicas may serve.
 */
uint64_t
proxy_model_read_violations(const proxy_model_result_t *result)
{
	return result->broken_samples + result->stale_bounded_reads +
	    result->stale_own_reads;
}

/*
 * Run the model.  The plan, with its seed, determines the result.
 */
void
proxy_model_run(const proxy_model_plan_t *plan, proxy_model_result_t *result)
{
	proxy_model_t model = {.plan = plan,
	    .result = result,
	    .rand = g_rand_new_with_seed(plan->seed),
	    .now_us = US_PER_SECOND,
	    .newest_term = 1,
	    .arena = arena_new()};
	event_t replicate = {.kind = EVENT_REPLICATE};
	uint32_t i;

	memset(result, 0, sizeof(*result));
	model.events = eventq_new(sizeof(event_t));
	model.reads = proxy_model_reads_new();
	model.token_users = g_hash_table_new(g_int64_hash, g_int64_equal);
	model.dropped_orders = g_hash_table_new(g_int64_hash, g_int64_equal);
	model.acked_writes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	model.terms_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (i = 0; i < plan->databases; i++) {
		model.dbs[i].log = g_array_new(FALSE, FALSE, sizeof(entry_t));
		model.dbs[i].primary = i == 0;
		model.dbs[i].term = 1;
	}
	model.members.now.count =
	    plan->pauses_last || plan->troubles.members.first_unrecorded
	    ? 0
	    : proxy_model_first_members(plan);
	for (i = 0; i < model.members.now.count; i++)
		model.members.now.member[i] = true;
	proxy_model_members_init(&model);
	model.open.record_begun = 1;
	for (i = 0; i < plan->daemons; i++) {
		daemon_init(&model, i);
		model.daemons[i].members = model.members;
		model.daemons[i].members_begun = model.open.record_begun;
		if (!proxy_model_sends_unrecorded(plan))
			continue;
		model.daemons[i].token_read = true;
		model.daemons[i].newest_token_seen = 1;
	}
	model.coordinator = 0;
	model.coordinator_token = 1;
	model.record_revision = model.older_revision = 1;
	model.daemons[0].is_coordinator = model.daemons[0].order_sent = true;
	model.daemons[0].fencing_token = model.daemons[0].newest_token_seen = 1;
	model.daemons[0].written_token = model.daemons[0].written_revision = 1;
	model.daemons[0].written =
	    (coordinator_record_t){model.orders, model.open, model.members};
	proxy_model_schedule(&model, REPLICATE_INTERVAL_US, &replicate);
	while (result->steps++ < plan->steps) {
		event_t event;

		model.now_us = eventq_pop(model.events, &event);
		handle_event(&model, &event);
	}
	result->simulated_us = model.now_us;
	for (i = 0; i < plan->databases; i++)
		g_array_unref(model.dbs[i].log);
	for (i = 0; i < plan->daemons; i++) {
		failover_clear(&model.daemons[i].failover);
		g_ptr_array_unref(model.daemons[i].stmts);
		open_orders_clear(&model.daemons[i].open_orders);
	}
	g_hash_table_unref(model.token_users);
	g_hash_table_unref(model.dropped_orders);
	g_array_unref(model.acked_writes);
	g_array_unref(model.terms_us);
	arena_free(model.arena);
	eventq_free(model.events);
	proxy_model_reads_free(model.reads);
	g_rand_free(model.rand);
}
