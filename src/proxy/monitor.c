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
 * A healthy primary hands over only if all daemons have answered within
 * DAEMONS_ANSWERED_US or, when the handover has been due for that long, a
 * majority.  Otherwise it would step down, and the group would have no primary
 * until the leases have expired.
 */
#define DAEMONS_ANSWERED_US (2 * US_PER_SECOND)
#define DAEMONS_QUERY_INTERVAL_US (500 * US_PER_MS)

/* Interval of status requests to a server that is not listed. */
#define UNLISTED_INTERVAL_US (1000 * US_PER_MS)

/* Time that a new coordinator has to end a failover that shows no effect. */
#define STUCK_TAKEOVER_US (5000 * US_PER_MS)

/* Interval of status requests during a change of primary. */
#define FAILOVER_INTERVAL_US (40 * US_PER_MS)

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
 * Note that the process at the address of a server has said that it is another
 * one.
 */
void
monitor_denied(server_t *server)
{
	monitor_connection_refused(server);
	if (server->removed || server->denied)
		return;
	server->denied = true;
	group_member_ended(server->group, server, START_DENIED);
	group_members_update(server->group);
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
	group->heard_token = ended->token;
	failover_leases_revoked(&group->failover, ended->term,
	    ended->state == BP__REVOKE_STATE__ALL, now_us);
}

/*
 * Tell whether the coordinator should replace the primary now: it is
 * unresponsive or leaving, and a server that can take over answers.
 */
static bool
replacement_due(const group_t *group, int64_t now_us)
{
	int32_t primary = failover_primary(&group->failover);

	if (group->unresponsive)
		return failover_candidate_answers(&group->failover, now_us);
	return primary >= 0 && group->servers[primary]->leaving &&
	    failover_handover_possible(&group->failover, now_us);
}

/*
 * Return the time that the coordinator has to act.  due: it should replace the
 * primary now; the time is longer after a mere sign of a failover, which may
 * have to wait for leases to expire.
 */
static int64_t
takeover_delay_us(const group_t *group, bool due)
{
	return group->pool->takeover_delay_us + (due ? 0 : STUCK_TAKEOVER_US);
}

/*
 * Return the time at which this daemon asks for the coordinator role if the
 * coordinator does not act; 0 if there is nothing to do for it.
 */
int64_t
monitor_takeover_us(const group_t *group, bool due)
{
	return group->failover_due_since_us == 0
	    ? 0
	    : group->failover_due_since_us + takeover_delay_us(group, due);
}

/*
 * Restart the time that the coordinator has for a failover, since the store
 * has just named another daemon as the coordinator.  unknown: the store has not
 * told; ask again after the shortest time.
 */
void
monitor_coordinator_denied(group_t *group, bool unknown, int64_t now_us)
{
	if (group->failover_due_since_us == 0)
		return;
	group->failover_due_since_us = now_us;
	if (unknown)
		group->failover_due_since_us -=
		    takeover_delay_us(group, replacement_due(group, now_us)) -
		    group->pool->takeover_delay_us;
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
	view.expired = failover->views[server->index].expired;
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
	group_promises_update(group, now_us);
	group_lease_update(group, now_us);
	group_sample_primary(server, status->received, expect->sent_us);
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
 * Tell whether the store has just confirmed that this daemon is the
 * coordinator, and no order of a former one may take effect any more.
 */
static bool
coordinator_confirmed(const pool_t *pool, int64_t now_us)
{
	return now_us - pool->coordinator_since_us >= ORDER_LATE_US &&
	    now_us - pool->coordinator_confirmed_us < COORDINATOR_CONFIRMED_US;
}

/*
 * Tell whether the paused replication of a server may be resumed.  A resumption
 * ends the pauses of all daemons, and no other daemon's failover may rely on
 * one: this daemon must be confirmed as the coordinator.  Nor may the pause be
 * all that is left of an order.  term: if not 0, the pause must still be for
 * that term.
 */
static bool
may_resume_replication(const server_t *server, uint64_t term, int64_t now_us)
{
	pool_t *pool = server->group->pool;

	if ((term != 0 && server->paused_until_term != term) ||
	    group_orders_proved_by(server) ||
	    now_us - pool->coordinator_since_us < ORDER_LATE_US)
		return false;
	if (coordinator_confirmed(pool, now_us))
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
	wanted->heard_token = server->group->heard_token;
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

	group_lease_revoke(group, term, begun, now_us);
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
 * Ask for the coordinator role if the coordinator does not act: the primary
 * has been unresponsive or shutting down for longer than the coordinator
 * should need to replace it, or an abandoned failover holds up the leases.  A
 * coordinator that reaches no server that can take over rightly does not act.
 */
static void
check_takeover(group_t *group, int64_t now_us)
{
	bool stuck = !group->unresponsive && group_lease_stuck(group, now_us);
	bool due = replacement_due(group, now_us);

	if (!due && !stuck) {
		group->failover_due_since_us = 0;
		return;
	}
	if (group->failover_due_since_us == 0)
		group->failover_due_since_us = now_us;
	if (now_us >= monitor_takeover_us(group, due) &&
	    !group->pool->is_coordinator &&
	    (group->failover_seen_us == 0 ||
		now_us - group->failover_seen_us >=
		    takeover_delay_us(group, due) +
			group->pool->lease_durations.long_us))
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
	    failover_answers(&group->failover, (uint32_t)primary, now_us) &&
	    has_usable_server(group, now_us);
	if (!leaving &&
	    !overload_handover_wanted(group, (uint32_t)primary, now_us)) {
		group->handover_due_since_us = 0;
		return;
	}
	if (!handover_allowed(group, now_us) || group->failover.handover)
		return;
	log_handover_due(group, group->servers[primary], leaving);
	overload_handover_begun(&group->overload_handover, now_us);
	failover_request_handover(&group->failover, now_us);
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
 * Log when the primary falls silent, also if so many others do that it cannot
 * be replaced, and when it answers again.
 */
static void
check_primary_silent(group_t *group, int64_t now_us)
{
	int32_t primary = failover_primary(&group->failover);
	bool silent = group->unresponsive ||
	    (primary >= 0 &&
		!failover_answers(&group->failover, (uint32_t)primary, now_us));

	if (silent == group->primary_silent)
		return;
	group->primary_silent = silent;
	log_primary_suspected(group, now_us);
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
	int32_t primary;
	uint32_t i;

	if (group->lease.expires_us > now_us)
		group->lease_seen_us = now_us;
	group_orders_update(group, now_us);
	group_promises_update(group, now_us);
	for (i = 0; i < group->count; i++) {
		const server_t *server = group->servers[i];

		failover->views[i].leaving = server->leaving;
		failover->views[i].expired = server_drained(server, now_us);
		failover->views[i].unlisted = server->unlisted;
		failover->views[i].likely_ended =
		    server_likely_ended(server, now_us);
		if (server->outstanding == 0 && !server->unresponsive)
			failover_not_probed(failover, i, now_us);
		probe_server(group->servers[i], now_us);
		dbconns_tick(group->servers[i], now_us);
	}
	failover_set_store(
	    failover, group->pool->store_away, group->stored_attempt_term);
	group->unresponsive = failover_primary_suspected(failover, now_us);
	check_primary_silent(group, now_us);
	if (now_us - group->pool->started_us < STARTUP_US)
		return;
	check_takeover(group, now_us);
	if (!group->pool->is_coordinator || group->count == 0) {
		set_no_candidate(group, false, now_us);
		return;
	}
	check_handover(group, now_us);
	group_orders_record_shown(group, now_us);
	failover_term_reported(
	    failover, lease_newest_term(&group->lease), now_us);
	primary = failover_primary(failover);
	failover_set_unaware(failover,
	    primary < 0 ? 0
			: lease_unaware_since_us(&group->lease,
			      failover->views[primary].promised, now_us));
	group_members_check(group, now_us);
	failover->release_allowed = coordinator_confirmed(group->pool, now_us);
	failover_tick(failover, now_us, &actions);
	set_no_candidate(group, failover->no_candidate, now_us);
	for (i = 0; i < actions.count; i++)
		execute_action(group, &actions.list[i], now_us);
}
