#include "monitor_internal.h"

/* What the answers of the servers of a group show. */

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
 * Note that a connection to a server was reset before the server answered.
 * Returns whether the server counts as one that has turned it away.
 */
bool
monitor_connection_reset(server_t *server, int64_t now_us)
{
	return server->removed ||
	    failover_connection_reset(
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
 * Note that a server answers at its address, where another process did before:
 * that one was not its successor.
 */
void
monitor_denial_over(server_t *server)
{
	server->denied = false;
	if (server->removed)
		return;
	group_member_runs(server->group, server);
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
	view.newly_listed = server_newly_listed(server, now_us);
	view.promised = status->primary
	    ? status->term
	    : MAX(status->term, status->paused_until_term);
	view.last_entry = status->received;
	view.requested_us = expect->sent_us;
	view.answered_us = now_us;
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
