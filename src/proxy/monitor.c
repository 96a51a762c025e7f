#include "pool.h"

#include <string.h>

/* Status of the servers of a group, leases of primaries, and failover. */

/*
 * A promotion is ordered no earlier than LEASE_WAIT_MIN_US after the last
 * server was fenced, and the platform takes at least PROMOTION_MIN_US to carry
 * it out.  Together they last UNLISTED_LEASE_US: the leases of daemons that
 * cannot be asked to revoke them have expired when the new primary starts.
 */
#define LEASE_WAIT_MIN_US (150 * US_PER_MS)
#define PROMOTION_MIN_US (100 * US_PER_MS)

/* A lease is renewed when less than this percentage of its duration is left. */
#define LEASE_RENEW_PERCENT 35

/* Shortest time without a lease after which a new one is logged. */
#define LEASE_GAP_LOGGED_US (200 * US_PER_MS)

/* Interval of status requests to a server while a lease has to be renewed. */
#define RENEW_INTERVAL_US (60 * US_PER_MS)

/*
 * A server with outstanding answers that has sent none for this long gets a
 * status request, repeated at the same interval.
 */
#define NO_REPLY_US (150 * US_PER_MS)

/*
 * Interval of status requests to a primary without statements.  Replicas serve
 * reads only while the position of the primary is known, since theirs is
 * compared with it.
 */
#define IDLE_PRIMARY_INTERVAL_US (800 * US_PER_MS)

/* Longest interval of status requests to any server. */
#define STATUS_INTERVAL_MAX_US (8000 * US_PER_MS)

/*
 * A daemon that has just started changes no primary: the databases may be
 * busy opening many connections at once.
 */
#define STARTUP_US (1500 * US_PER_MS)

/*
 * For this long after the store named this daemon as the coordinator, it may
 * resume replication that another daemon paused.
 */
#define COORDINATOR_CONFIRMED_US (800 * US_PER_MS)

/*
 * Term of a revocation that revokes no lease; it only shows whether the
 * daemons answer.
 */
#define NO_TERM 0

/*
 * A healthy primary hands over only if all daemons have answered within
 * DAEMONS_ANSWERED_US or, when the handover has been due for that long, a
 * majority.  Otherwise it would step down, and the group would have no primary
 * until the leases have expired.
 */
#define DAEMONS_ANSWERED_US (2 * US_PER_SECOND)
#define DAEMONS_QUERY_INTERVAL_US (500 * US_PER_MS)

/*
 * Time after the first list of a group's servers in which servers may still be
 * missing from it: entries that expired while the store was unavailable come
 * back one by one within two seconds of its return.
 */
#define LIST_NEW_US (3 * US_PER_SECOND)

/* Interval of status requests to a server that is not listed. */
#define UNLISTED_INTERVAL_US (1000 * US_PER_MS)

/*
 * Time without a lease, because of a failover that shows no effect, after which
 * its coordinator may be lost, and the time that a new one has to end that
 * failover.
 */
#define LEASE_STUCK_US (1500 * US_PER_MS)
#define STUCK_TAKEOVER_US (5000 * US_PER_MS)

/* Minimum time between two requests for the recorded orders. */
#define ORDERS_INTERVAL_US (200 * US_PER_MS)

/* Interval of status requests during a change of primary. */
#define FAILOVER_INTERVAL_US (40 * US_PER_MS)

/* Minimum time between two samples of the primary's log position. */
#define SAMPLE_SPACING_US (50 * US_PER_MS)

/* Time limit for a replica to catch up with a primary that has stepped down. */
#define CATCH_UP_US (150 * US_PER_MS)

/* Time limit for fencing a majority of the servers. */
#define FENCE_TIMEOUT_US (500 * US_PER_MS)

/* Time limit for an ordered promotion to show in the server's status. */
#define PROMOTION_TIMEOUT_US (1500 * US_PER_MS)

/* A change of primary counts as under way this long after its last sign. */
#define FAILOVER_SEEN_US (1500 * US_PER_MS)

/*
 * Time for which a server that turns connections away may be the primary.
 * Servers keep the connections of machines that lost power for three seconds,
 * and the last delay between two attempts to connect is half as long.
 */
#define TURNED_AWAY_US (5000 * US_PER_MS)

/* Base of the random delay after a failed failover; doubles each time. */
#define BACKOFF_US (100 * US_PER_MS)

/*
 * Time that the coordinator has to replace an unresponsive primary, counted
 * from its last sign of doing so, before another daemon asks for the role.
 * Each daemon adds a random time, so that they do not take the role from each
 * other.
 */
#define TAKEOVER_DELAY_US (900 * US_PER_MS)
#define TAKEOVER_JITTER_US (600 * US_PER_MS)

/*
 * Set the time limits of failovers from the settings.
 */
void
proxy_failover_limits(
    const Bp__ProxyTimeouts *timeouts, failover_limits_t *limits)
{
	memset(limits, 0, sizeof(*limits));
	limits->suspect_us = (int64_t)timeouts->suspect_ms * US_PER_MS;
	limits->witness_override_us = 5 * limits->suspect_us;
	limits->fence_us = FENCE_TIMEOUT_US;
	limits->promotion_us = PROMOTION_TIMEOUT_US;
	limits->order_late_us = ORDER_LATE_US;
	limits->turned_away_us = TURNED_AWAY_US;
	limits->backoff_us = BACKOFF_US;
	limits->lease_wait_us =
	    (int64_t)timeouts->lease_ms * US_PER_MS - PROMOTION_MIN_US;
	limits->lease_wait_min_us = LEASE_WAIT_MIN_US;
	limits->catch_up_us = CATCH_UP_US;
	limits->revocable = true;
}

/*
 * Initialize the failover state of a new group.
 */
void
monitor_init(group_t *group, int64_t now_us)
{
	failover_limits_t limits;

	proxy_failover_limits(group->pool->proxy->settings->timeouts, &limits);
	limits.sync_replicas = group->sync_replicas;
	failover_init(&group->failover, &limits, group->count,
	    g_rand_int(group->pool->rand), now_us);
	failover_orders_recorded(
	    &group->failover, &group->lease.orders, now_us);
	group_members_update(group);
}

/*
 * Note that the servers of a group are listed for the first time.  A process
 * that has lists of other groups for some time has been told of all orders that
 * may still matter.
 */
void
monitor_first_listed(group_t *group, int64_t now_us)
{
	pool_t *pool = group->pool;

	group->listed_us = now_us;
	if (pool->listed_first_us == 0)
		pool->listed_first_us = now_us;
	if (pool->first_coordinator ||
	    now_us - pool->listed_first_us >= LIST_NEW_US)
		return;
	group->lease.watched_since_us = now_us;
}

/*
 * Note that this daemon is the first coordinator: nobody has sent an order.
 */
void
monitor_first_coordinator(group_t *group)
{
	group->lease.watched_since_us = 0;
}

/*
 * Tell whether servers of a group may be missing from the list, since it is
 * new.
 */
bool
monitor_list_new(const group_t *group, int64_t now_us)
{
	return now_us - group->listed_us < LIST_NEW_US;
}

/*
 * Tell whether the store refused or did not answer a call of this process
 * before its first list, so that entries may have expired.
 */
static bool
list_after_outage(const pool_t *pool)
{
	return pool->store_away_us != 0 &&
	    pool->store_away_us <= pool->listed_first_us;
}

/*
 * Ask the registry task for the recorded orders, unless that was done recently.
 */
static void
request_orders(pool_t *pool, int64_t now_us)
{
	if (pool->orders_pending ||
	    now_us - pool->orders_requested_us < ORDERS_INTERVAL_US)
		return;
	pool->orders_pending = true;
	pool->orders_requested_us = now_us;
	task_send(pool->proxy->registry, pool->task,
	    msg_new(&bp__orders_wanted__descriptor));
}

/*
 * Renew the lease of a group from the latest status of its servers, and answer
 * the held statements that the lease now covers.
 */
static void
lease_update(group_t *group, int64_t now_us)
{
	const failover_t *failover = &group->failover;
	int32_t primary = failover_primary(failover);
	uint64_t before = group->lease.term;
	bool renewed;

	pool_check_listed(group->pool, now_us);
	group_orders_update(group, now_us);
	group->lease.list_new = monitor_list_new(group, now_us);
	group->lease.list_after_outage = list_after_outage(group->pool);
	renewed = primary >= 0 &&
	    lease_renew(&group->lease, failover->views, group->count,
		(uint32_t)primary, now_us, &group->pool->lease_durations);
	if (group->lease.unverified)
		request_orders(group->pool, now_us);
	if (!renewed) {
		/* the status may have shown that no open order took effect */
		if (!g_queue_is_empty(&group->held))
			operations_release_held(group, now_us);
		return;
	}
	if (group->lease.term != before)
		log_primary_confirmed(group, group->servers[primary], now_us);
	else if (group->lease.expires_us > now_us &&
	    now_us - group->lease_seen_us >= LEASE_GAP_LOGGED_US)
		log_lease_regained(
		    group, group->servers[primary], group->lease_seen_us);
	operations_release_held(group, now_us);
}

/*
 * Note which orders to replace the primary of a group the store has recorded.
 * Those that a coordinator has told count as recorded, too.
 */
void
monitor_orders_read(
    group_t *group, const recorded_orders_t *recorded, int64_t now_us)
{
	recorded_orders_t merged;

	if (recorded->read_us < group->orders_read.read_us)
		return;
	group->orders_read = *recorded;
	merged = told_orders_merge(&group->orders_told, recorded);
	lease_orders_read(&group->lease, &merged);
	failover_orders_recorded(&group->failover, &merged, now_us);
	if (!group->active || !group->lease.unverified)
		return;
	lease_update(group, now_us);
	dispatch(group, now_us);
}

/*
 * Handle the log position that every answer of a server carries.  If the term
 * of the position is newer than that of the lease, the primary is being
 * replaced, so the lease is revoked.
 */
void
monitor_reply_received(server_t *server, position_t position, int64_t now_us)
{
	group_t *group = server->group;

	if (server->removed)
		return;
	failover_alive(&group->failover, server->index, now_us);
	failover_position_seen(&group->failover, server->index, position);
	lease_term_begun(&group->lease, position.term);
	if (position.term <= group->lease.term || group->lease.term == 0 ||
	    group->lease.expires_us == 0)
		return;
	lease_revoke(&group->lease, position.term, now_us);
	group->failover_seen_us = now_us;
}

/*
 * Note that a server is alive but has turned a connection away.
 */
void
monitor_turned_away(server_t *server, position_t position, int64_t now_us)
{
	monitor_reply_received(server, position, now_us);
	if (!server->removed)
		failover_turned_away(
		    &server->group->failover, server->index, now_us);
}

/*
 * Note that a server has refused a connection.
 */
void
monitor_connection_refused(server_t *server)
{
	if (!server->removed)
		failover_connection_refused(
		    &server->group->failover, server->index, clock_us());
}

/*
 * Record the log position in an answer of the primary to a request that was
 * sent at sent_us.  Every write acknowledged before sent_us is at or before
 * this position; with open orders, every one before the last check that none
 * of them had taken effect.
 */
void
monitor_sample_primary(server_t *server, position_t position, int64_t sent_us)
{
	group_t *group = server->group;
	position_sample_t sample = {
	    MIN(sent_us, group_orders_checked_us(group)), position};

	if (server->removed || position.term != group->lease.term ||
	    (int32_t)server->index != failover_primary(&group->failover) ||
	    group->lease.expires_us < sent_us)
		return;
	position_history_add(
	    &group->position_history, sample, SAMPLE_SPACING_US);
}

/*
 * Note that a server has carried out a request that only a primary does, which
 * was sent at sent_us.  Renew the lease if it is due.
 */
void
monitor_primary_led(server_t *server, position_t position, int64_t sent_us)
{
	group_t *group = server->group;
	int64_t now_us = clock_us();

	if (server->removed || position.term != group->lease.term ||
	    (int32_t)server->index != failover_primary(&group->failover))
		return;
	lease_primary_led(&group->lease, position.term, sent_us);
	if (group->lease.expires_us - now_us <
	    group->pool->lease_durations.long_us * LEASE_RENEW_PERCENT / 100)
		lease_update(group, now_us);
}

/*
 * Send a status request to a server, unless a status request is outstanding.
 */
void
monitor_request_status(server_t *server, int64_t now_us)
{
	dbconn_t *conn = server->control;

	if (conn == NULL || !conn->open || server->status_pending)
		return;
	server->status_pending = true;
	server->status_sent_us = now_us;
	server->group->pool->wire->status(conn->out);
	dbconn_expect_answer(conn, EXPECT_STATUS, 0);
	dbconn_send(conn);
}

/*
 * Handle the progress of a revocation: a majority of the daemons, or all, have
 * revoked their leases below a term; or one of them knows a newer coordinator,
 * so that this daemon has lost the role.
 */
void
monitor_revocation_progress(group_t *group, const Bp__RevokeEnded *ended)
{
	int64_t now_us = clock_us();

	if (ended->state == BP__REVOKE_STATE__OUTDATED) {
		group->pool->is_coordinator = false;
		failover_superseded(&group->failover, ended->term, now_us);
		return;
	}
	lease_term_begun(&group->lease, ended->newest_term);
	failover_term_reported(&group->failover, ended->newest_term, now_us);
	/* the daemons that were asked before do not know of a new order */
	if (group_orders_told(group, ended->open, ended->n_open, now_us))
		failover_superseded(&group->failover, ended->term, now_us);
	group_orders_learned(group, ended->order, ended->term, now_us);
	group->pool->majority_answered_us = now_us;
	if (ended->state == BP__REVOKE_STATE__ALL)
		group->pool->all_answered_us = now_us;
	failover_leases_revoked(&group->failover, ended->term,
	    ended->state == BP__REVOKE_STATE__ALL, now_us);
}

/*
 * Revoke the lease of a group below a term because its primary is being
 * replaced or, if the term has begun, was replaced, and poll the servers often
 * until the new primary is known.
 */
void
monitor_revoke_lease(group_t *group, uint64_t term, bool begun, int64_t now_us)
{
	if (term == NO_TERM)
		return; /* the request only tests whether this daemon answers */
	log_lease_revoked(group, term, now_us);
	lease_revoke(&group->lease, term, now_us);
	if (begun)
		lease_term_begun(&group->lease, term);
	group->failover_seen_us = now_us;
}

/*
 * Restart the time that the coordinator has for a failover, since the store
 * has just named another daemon as the coordinator.
 */
void
monitor_coordinator_denied(group_t *group, int64_t now_us)
{
	if (group->failover_due_since_us != 0)
		group->failover_due_since_us = now_us;
}

/*
 * Choose how long this daemon waits for the coordinator to act before it asks
 * for the role itself.
 */
int64_t
monitor_takeover_delay_us(GRand *rand)
{
	return TAKEOVER_DELAY_US +
	    g_rand_int_range(rand, 0, TAKEOVER_JITTER_US);
}

/*
 * Send a server the request to pause replication until a term.
 */
static void
pause_replication(server_t *server, uint64_t term)
{
	dbconn_t *conn = server->control;

	server->group->pool->wire->pause_replication(conn->out, term);
	dbconn_expect_answer(conn, EXPECT_PAUSE, term);
	dbconn_send(conn);
}

/*
 * Handle the answer to a pause of replication or a step-down: tell the failover
 * whether the server has promised the term, that is, accepts no older term.  A
 * server that has stepped down, or had been replaced before, still follows a
 * primary of an older term, so its replication is paused too.
 */
static void
fence_answered(server_t *server, const server_status_t *status,
    const expected_answer_t *expect, const db_view_t *view, int64_t now_us)
{
	if (expect->kind == EXPECT_STEP_DOWN && !status->primary &&
	    server->control != NULL && server->control->open &&
	    server->group->failover.state == FAILOVER_FENCING &&
	    server->group->failover.term == expect->term)
		pause_replication(server, expect->term);
	else if (expect->kind == EXPECT_PAUSE)
		failover_fence_answered(&server->group->failover, server->index,
		    expect->term,
		    !status->primary &&
			status->paused_until_term >= expect->term,
		    view, now_us);
}

/*
 * Log the role and the terms that a server reports if they have changed.
 */
static void
log_status_change(server_t *server, const server_status_t *status,
    const expected_answer_t *expect)
{
	if (server->term == status->term &&
	    server->paused_until_term == status->paused_until_term &&
	    server->primary == status->primary)
		return;
	log_server_changed(server, status, expect->sent_us);
	if (status->paused_until_term > server->paused_until_term)
		server->group->failover_seen_us = clock_us();
	server->term = status->term;
	server->paused_until_term = status->paused_until_term;
	server->primary = status->primary;
}

/*
 * Handle the status in an answer of a server.
 */
void
monitor_status_received(server_t *server, const server_status_t *status,
    const expected_answer_t *expect, position_t applied)
{
	group_t *group = server->group;
	failover_t *failover = &group->failover;
	int64_t now_us = clock_us();
	db_view_t view = {0};

	if (server->removed)
		return;
	view.known = true;
	view.primary = status->primary;
	view.leaving = server->leaving;
	view.unlisted = server->unlisted;
	view.promised = status->primary
	    ? status->term
	    : MAX(status->term, status->paused_until_term);
	view.last_entry = status->received;
	view.requested_us = expect->sent_us;
	view.term = status->term;
	view.key = server->key;
	view.connected_us = server->control_us;
	view.order_open = failover->views[server->index].order_open;
	view.member = failover->views[server->index].member;
	server->busy = status->busy;
	server->lag_ms = status->lag_ms;
	server->connections = status->connections;
	server->applied = applied;
	log_status_change(server, status, expect);
	failover_replace_view(failover, server->index, &view, now_us);
	if (expect->kind == EXPECT_PAUSE || expect->kind == EXPECT_STEP_DOWN)
		fence_answered(server, status, expect, &view, now_us);
	if (failover->state == FAILOVER_PROMOTING &&
	    server->index == failover->chosen && status->primary &&
	    status->term > group->lease.term)
		failover_promotion_answered(failover, server->index,
		    failover->term, true, &view, now_us);
	lease_update(group, now_us);
	monitor_sample_primary(server, status->received, expect->sent_us);
	if (view.order_open && !g_queue_is_empty(&group->held))
		monitor_request_status(server, now_us);
	dispatch(group, now_us);
}

/*
 * Ask the registry task to check which daemon is the coordinator, and to take
 * the role if possible.
 */
static void
request_coordinator_check(pool_t *pool)
{
	if (pool->coordinator_check_pending)
		return;
	pool->coordinator_check_pending = true;
	task_send(pool->proxy->registry, pool->task,
	    msg_new(&bp__duty_wanted__descriptor));
}

/*
 * Tell whether the pause of a server may be all that is left of an order: it is
 * a standing promise, and the store has not recorded the order yet.
 */
static bool
proves_order(const server_t *server)
{
	group_t *group = server->group;
	uint64_t promised = server->paused_until_term;

	return attempt_term_replaces(promised) != 0 &&
	    promised > group->stored_attempt_term &&
	    !failover_promise_unused(&group->failover, promised);
}

/*
 * Tell whether the paused replication of a server may be resumed.  A resumption
 * ends the pauses of all daemons, and no other daemon's failover may rely on
 * one: the store must have just confirmed that this daemon is the coordinator,
 * and no order of a former one may take effect any more.  Nor may the pause be
 * all that is left of an order.  term: if not 0, the pause must still be for
 * that term.
 */
static bool
may_resume_replication(const server_t *server, uint64_t term, int64_t now_us)
{
	pool_t *pool = server->group->pool;

	if ((term != 0 && server->paused_until_term != term) ||
	    proves_order(server) ||
	    now_us - pool->coordinator_since_us < ORDER_LATE_US)
		return false;
	if (now_us - pool->coordinator_confirmed_us < COORDINATOR_CONFIRMED_US)
		return true;
	request_coordinator_check(pool);
	return false;
}

/*
 * Ask the registry task to order the promotion of a server.
 */
static void
order_promotion(server_t *server, uint64_t term)
{
	pool_t *pool = server->group->pool;
	msg_t *msg = msg_new(&bp__promotion_wanted__descriptor);
	Bp__PromotionWanted *wanted = (Bp__PromotionWanted *)msg->body;
	position_t base;

	log_promotion_ordered(server, term);
	wanted->group = arena_strdup(msg->arena, server->group->name);
	wanted->server = arena_strdup(msg->arena, server->id);
	wanted->term = term;
	wanted->heard_us = (uint64_t)server->group->failover.revoked_by_most_us;
	wanted->decided_us = (uint64_t)clock_us();
	wanted->replaced_term =
	    MAX(failover_term_to_replace(&server->group->failover),
		lease_newest_term(&server->group->lease));
	wanted->open =
	    group_orders_write(server->group, msg->arena, &wanted->n_open);
	base = failover_base(&server->group->failover);
	wanted->base_term = base.term;
	wanted->base_index = base.index;
	wanted->members =
	    group_members_write(server->group, msg->arena, &wanted->n_members);
	task_send(pool->proxy->registry, pool->task, msg);
}

/*
 * Have the registry task drop the order of a promotion, unless it has been
 * sent.
 */
static void
cancel_promotion(group_t *group, uint64_t term)
{
	pool_t *pool = group->pool;
	msg_t *msg = msg_new(&bp__promotion_cancelled__descriptor);
	Bp__PromotionCancelled *cancelled = (Bp__PromotionCancelled *)msg->body;

	cancelled->group = arena_strdup(msg->arena, group->name);
	cancelled->term = term;
	task_send(pool->proxy->registry, pool->task, msg);
}

/*
 * Revoke the leases of all daemons below a term, first that of this daemon.
 * begun: a primary leads the term.
 */
static void
request_revocation(group_t *group, uint64_t term, bool begun, int64_t now_us)
{
	pool_t *pool = group->pool;
	msg_t *msg = msg_new(&bp__revoke_wanted__descriptor);
	Bp__RevokeWanted *wanted = (Bp__RevokeWanted *)msg->body;

	monitor_revoke_lease(group, term, begun, now_us);
	pool->daemons_queried_us = now_us;
	wanted->group = arena_strdup(msg->arena, group->name);
	wanted->term = term;
	wanted->token = pool->fencing_token;
	wanted->has_begun = 1;
	wanted->begun = begun;
	wanted->open = group_orders_write(group, msg->arena, &wanted->n_open);
	task_send(pool->proxy->registry, pool->task, msg);
}

/*
 * Carry out one action of a failover or handover.
 */
static void
execute_action(group_t *group, const failover_action_t *action, int64_t now_us)
{
	server_t *server = group->servers[action->database];
	const wire_ops_t *wire = group->pool->wire;
	dbconn_t *conn = server->control;
	bool primary = group->failover.views[action->database].primary;

	switch (action->kind) {
	case FAILOVER_REVOKE_LEASES:
		request_revocation(group, action->term, false, now_us);
		return;
	case FAILOVER_ANNOUNCE_TERM:
		log_change_step(group, action);
		request_revocation(group, action->term, true, now_us);
		return;
	case FAILOVER_CANCEL_PROMOTION:
		log_change_step(group, action);
		cancel_promotion(group, action->term);
		return;
	case FAILOVER_ASK_WITNESS:
		failover_witness_answered(&group->failover,
		    group->failover.witness_request, false, now_us);
		return;
	case FAILOVER_PROMOTE:
		order_promotion(server, action->term);
		return;
	default:
		break;
	}
	if (conn == NULL || !conn->open ||
	    (action->kind == FAILOVER_RELEASE &&
		!may_resume_replication(server, action->term, now_us)))
		return;
	log_change_step(group, action);
	if (action->kind == FAILOVER_RELEASE) {
		wire->resume_replication(conn->out);
		dbconn_expect_answer(conn, EXPECT_RESUME, 0);
	} else if (primary) {
		wire->step_down(conn->out, action->term);
		dbconn_expect_answer(conn, EXPECT_STEP_DOWN, action->term);
	} else if (action->kind == FAILOVER_FENCE) {
		pause_replication(server, action->term);
		return;
	}
	dbconn_send(conn);
}

/*
 * Handle the result of a promotion order.  A refused order ends the attempt.
 * After an accepted one, the status of the server shows when it is primary.
 */
void
monitor_promotion_ended(
    group_t *group, const Bp__PromotionEnded *ended, int64_t now_us)
{
	failover_t *failover = &group->failover;

	if (ended->accepted)
		return;
	open_orders_remove(&group->open_orders, ended->server, ended->term);
	failover_promotion_answered(failover, failover->chosen, ended->term,
	    false, &failover->views[failover->chosen], now_us);
}

/*
 * Tell whether a change of primary is under way, here or at another daemon.
 */
bool
group_failover_in_progress(const group_t *group, int64_t now_us)
{
	return group->failover.state == FAILOVER_FENCING ||
	    group->failover.state == FAILOVER_PROMOTING ||
	    now_us - group->failover_seen_us < FAILOVER_SEEN_US;
}

/*
 * Return the current interval of status requests to a server.  As each request
 * costs the server some work, a lease is renewed by one request to the primary,
 * unless it has carried out a write recently, and one to the replica with the
 * oldest status; the other replicas get one only if that replica does not
 * answer within RENEW_INTERVAL_US.
 */
static int64_t
status_interval_us(const server_t *server, int64_t now_us)
{
	const group_t *group = server->group;
	const lease_duration_t *durations = &group->pool->lease_durations;
	int64_t duration_us = durations->listed_since_us != 0
	    ? durations->long_us
	    : durations->short_us;
	int64_t renew_us = duration_us * LEASE_RENEW_PERCENT / 100, left_us;
	int32_t primary = failover_primary(&group->failover);
	uint32_t i;

	if (group_failover_in_progress(group, now_us) || primary < 0)
		return FAILOVER_INTERVAL_US;
	if (group->lease.unverified ||
	    group->failover.views[server->index].order_open)
		return RENEW_INTERVAL_US;
	if (server->unlisted)
		return UNLISTED_INTERVAL_US;
	if (server->outstanding > 0 &&
	    now_us - server->outstanding_since_us >= NO_REPLY_US)
		return NO_REPLY_US;
	left_us = lease_supported_until_us(&group->lease, durations,
		      (int32_t)server->index == primary) -
	    now_us;
	if ((int32_t)server->index == primary) {
		if (left_us < renew_us)
			return RENEW_INTERVAL_US;
		return position_history_age_us(&group->position_history,
			   now_us) >= IDLE_PRIMARY_INTERVAL_US
		    ? IDLE_PRIMARY_INTERVAL_US
		    : STATUS_INTERVAL_MAX_US;
	}
	if (left_us >= renew_us)
		return STATUS_INTERVAL_MAX_US;
	if (left_us >= renew_us - RENEW_INTERVAL_US) {
		for (i = 0; i < group->count; i++) {
			if ((int32_t)i != primary &&
			    server_usable(group->servers[i], now_us) &&
			    group->servers[i]->status_sent_us <
				server->status_sent_us)
				return STATUS_INTERVAL_MAX_US;
		}
	}
	return RENEW_INTERVAL_US;
}

/*
 * Keep the control connection of a server open, and send a status request when
 * one is due.
 */
static void
probe_server(server_t *server, int64_t now_us)
{
	const Bp__ProxyTimeouts *timeouts =
	    server->group->pool->proxy->settings->timeouts;
	int64_t timeout_us = (int64_t)timeouts->status_timeout_ms * US_PER_MS;
	dbconn_t *conn = server->control;

	if (conn == NULL) {
		if (reconnect_allowed(&server->reconnect, now_us))
			dbconn_open(server, true);
		return;
	}
	if (conn->expected->len > 0 && conn->operation == NULL &&
	    now_us -
		    MAX(g_array_index(conn->expected, expected_answer_t, 0)
			    .sent_us,
			conn->last_change_us) >=
		timeout_us) {
		dbconn_fail(conn, "no answer on the control connection");
		return;
	}
	if (now_us - server->status_sent_us <
	    status_interval_us(server, now_us))
		return;
	/* the status request waits behind the statement that runs on the
	   control connection, but a server that opens another connection is
	   alive */
	if (conn->operation != NULL && server->conns->len == 0)
		dbconns_grow(server, 1, now_us);
	monitor_request_status(server, now_us);
}

/*
 * Tell whether the primary answers, but an abandoned failover has kept this
 * daemon from a lease on it for longer than a failover takes.
 */
static bool
lease_stuck(const group_t *group, int64_t now_us)
{
	return !group_failover_in_progress(group, now_us) &&
	    lease_held_up(&group->lease, now_us) &&
	    now_us - group->lease_seen_us >= LEASE_STUCK_US;
}

/*
 * Ask for the coordinator role if the coordinator does not act: the primary
 * has been unresponsive or shutting down for longer than the coordinator
 * should need to replace it, or an abandoned failover holds up the leases.  A
 * coordinator that reaches no server that can take over rightly does not act.
 */
static void
check_takeover(group_t *group, int64_t now_us)
{
	int32_t primary = failover_primary(&group->failover);
	bool leaving = primary >= 0 && group->servers[primary]->leaving;
	int64_t delay_us;

	if ((!leaving && !group->unresponsive && !lease_stuck(group, now_us)) ||
	    (!leaving && group->unresponsive &&
		!failover_candidate_answers(&group->failover, now_us))) {
		group->failover_due_since_us = 0;
		return;
	}
	if (group->failover_due_since_us == 0)
		group->failover_due_since_us = now_us;
	/* longer after a sign of a failover, which may have to wait for leases
	   to expire */
	delay_us = group->pool->takeover_delay_us;
	if (!leaving && !group->unresponsive)
		delay_us += STUCK_TAKEOVER_US;
	if (now_us - group->failover_due_since_us >= delay_us &&
	    !group->pool->is_coordinator &&
	    (group->failover_seen_us == 0 ||
		now_us - group->failover_seen_us >=
		    delay_us + group->pool->lease_durations.long_us))
		request_coordinator_check(group->pool);
}

/*
 * Tell whether the group has a usable server, which could take over from a
 * primary that is shutting down.
 */
static bool
has_usable_server(const group_t *group, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		if (server_usable(group->servers[i], now_us))
			return true;
	}
	return false;
}

/*
 * Tell whether a handover that is due may begin.  It requires the daemons to
 * revoke their leases in time, so they are first asked whether they answer.
 */
static bool
handover_allowed(group_t *group, int64_t now_us)
{
	pool_t *pool = group->pool;

	if (group->handover_due_since_us == 0)
		group->handover_due_since_us = now_us;
	if (now_us - pool->all_answered_us < DAEMONS_ANSWERED_US ||
	    (now_us - group->handover_due_since_us >= DAEMONS_ANSWERED_US &&
		now_us - pool->majority_answered_us < DAEMONS_ANSWERED_US))
		return true;
	if (now_us - pool->daemons_queried_us >= DAEMONS_QUERY_INTERVAL_US)
		request_revocation(group, NO_TERM, false, now_us);
	return false;
}

/*
 * Tell whether the primary is overloaded because it serves all reads alone, so
 * that a handover to a replica would help.
 */
static bool
overload_handover_wanted(group_t *group, uint32_t primary, int64_t now_us)
{
	overload_view_t views[GROUP_DATABASES_MAX];
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		const server_t *server = group->servers[i];

		views[i].usable = server_usable(server, now_us);
		views[i].slots = server->slots;
		views[i].reported_busy = server->busy;
		views[i].lag_ms = server->lag_ms;
		views[i].received = group->failover.views[i].last_entry;
	}
	return overload_handover_due(
	    &group->overload_handover, views, group->count, primary, now_us);
}

/*
 * Begin a handover to a replica if the primary is shutting down, or overloaded
 * because it serves all reads alone.
 */
static void
check_handover(group_t *group, int64_t now_us)
{
	int32_t primary = failover_primary(&group->failover);
	bool leaving;

	if (primary < 0 || group->failover.state != FAILOVER_STEADY) {
		group->handover_due_since_us = 0;
		return;
	}
	leaving = group->servers[primary]->leaving &&
	    has_usable_server(group, now_us);
	if (!leaving &&
	    !overload_handover_wanted(group, (uint32_t)primary, now_us)) {
		group->handover_due_since_us = 0;
		return;
	}
	if (!handover_allowed(group, now_us))
		return;
	log_handover_due(group, group->servers[primary], leaving);
	overload_handover_begun(&group->overload_handover, now_us);
	failover_request_handover(&group->failover, now_us);
}

/*
 * Have an order recorded that is known from a standing promise alone.  Leases
 * on the primary that it has led to wait for the record, and the server remains
 * paused.  Orders of former coordinators must be over, since the promise does
 * not tell which one led to the primary.
 */
static void
record_shown_order(group_t *group, int64_t now_us)
{
	uint32_t i;

	if (now_us - group->pool->coordinator_since_us < ORDER_LATE_US)
		return;
	for (i = 0; i < group->count; i++) {
		const server_t *server = group->servers[i];
		uint64_t promised = server->paused_until_term;

		if (proves_order(server) &&
		    promised > group->lease.orders.attempt_term)
			group_orders_shown(group, promised, now_us);
	}
}

/*
 * Note whether a change of primary is due and no server can take over.
 */
static void
set_no_candidate(group_t *group, bool no_candidate, int64_t now_us)
{
	if (group->no_candidate == no_candidate)
		return;
	group->no_candidate = no_candidate;
	log_no_candidate(group, now_us);
}

/*
 * Probe the servers of a group, and run failovers and handovers if this daemon
 * is the coordinator.
 */
void
monitor_tick(group_t *group, int64_t now_us)
{
	failover_t *failover = &group->failover;
	failover_actions_t actions;
	bool unresponsive;
	int32_t primary;
	uint32_t i;

	if (group->lease.expires_us > now_us)
		group->lease_seen_us = now_us;
	group_orders_update(group, now_us);
	for (i = 0; i < group->count; i++) {
		const server_t *server = group->servers[i];

		failover->views[i].leaving = server->leaving;
		failover->views[i].unlisted = server->unlisted;
		if (server->outstanding == 0 && !server->unresponsive)
			failover_not_probed(failover, i, now_us);
		probe_server(group->servers[i], now_us);
		dbconns_tick(group->servers[i], now_us);
	}
	failover_set_store(
	    failover, group->pool->store_away, group->stored_attempt_term);
	unresponsive = failover_primary_suspected(failover, now_us);
	if (unresponsive != group->unresponsive) {
		group->unresponsive = unresponsive;
		log_primary_suspected(group, now_us);
	}
	if (now_us - group->pool->started_us < STARTUP_US)
		return;
	check_takeover(group, now_us);
	if (!group->pool->is_coordinator || group->count == 0) {
		set_no_candidate(group, false, now_us);
		return;
	}
	check_handover(group, now_us);
	record_shown_order(group, now_us);
	failover_term_reported(
	    failover, lease_newest_term(&group->lease), now_us);
	primary = failover_primary(failover);
	failover_set_unaware(failover,
	    primary < 0 ? 0
			: lease_unaware_since_us(&group->lease,
			      failover->views[primary].promised, now_us));
	group_members_check(group, now_us);
	failover_tick(failover, now_us, &actions);
	set_no_candidate(group, failover->no_candidate, now_us);
	for (i = 0; i < actions.count; i++)
		execute_action(group, &actions.list[i], now_us);
}
