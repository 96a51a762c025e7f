#include "monitor_internal.h"

/* Actions of a change of primary, and their results. */

/* A change of primary counts as under way this long after its last sign. */
#define FAILOVER_SEEN_US (1500 * US_PER_MS)

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
 * Send a server the request to pause replication until a term.
 */
void
pause_replication(server_t *server, uint64_t term)
{
	dbconn_t *conn = server->control;

	server->group->pool->wire->pause_replication(conn->out, term);
	dbconn_expect_answer(conn, EXPECT_PAUSE, term);
	dbconn_send(conn);
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
	wanted->over =
	    group_orders_write_over(server->group, msg->arena, &wanted->n_over);
	base = failover_base(&server->group->failover);
	wanted->base_term = base.term;
	wanted->base_index = base.index;
	wanted->members =
	    group_members_write(server->group, msg->arena, &wanted->n_members);
	wanted->change = group_members_change(
	    server->group, wanted->replaced_term, msg->arena);
	group_members_sent(
	    server->group, wanted->members, wanted->n_members, clock_us());
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
void
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
	wanted->has_asked_us = 1;
	wanted->asked_us = (uint64_t)now_us;
	wanted->has_begun = 1;
	wanted->begun = begun;
	wanted->open = group_orders_write(group, msg->arena, &wanted->n_open);
	task_send(pool->proxy->registry, pool->task, msg);
}

/*
 * Carry out one action of a failover or handover.
 */
void
execute_action(group_t *group, const failover_action_t *action, int64_t now_us)
{
	server_t *server = group->servers[action->database];
	const wire_ops_t *wire = group->pool->wire;
	dbconn_t *conn = server->control;
	bool primary = group->failover.views[action->database].primary;

	switch (action->kind) {
	case FAILOVER_REVOKE_LEASES:
		group->leases_asked_us = now_us;
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
 * Handle the progress of a revocation: a majority of the daemons, or all, have
 * revoked their leases below a term; or one of them knows a newer coordinator,
 * so that this daemon has lost the role, unless it has got it again since.  A
 * number may come again, so that what daemons have answered to a request before
 * the last one confirms nothing; a daemon may have begun a lease since.
 */
void
monitor_revocation_progress(group_t *group, const Bp__RevokeEnded *ended)
{
	int64_t now_us = clock_us();

	if (ended->state == BP__REVOKE_STATE__OUTDATED) {
		if (ended->token < group->pool->fencing_token)
			return;
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
	if ((int64_t)ended->asked_us < group->leases_asked_us)
		return;
	group->pool->majority_answered_us = now_us;
	if (ended->state == BP__REVOKE_STATE__ALL)
		group->pool->all_answered_us = now_us;
	group->heard_token = ended->token;
	if (ended->begun)
		failover_notice_confirmed(&group->failover, ended->term,
		    ended->state == BP__REVOKE_STATE__ALL, now_us);
	else
		failover_leases_revoked(&group->failover, ended->term,
		    ended->state == BP__REVOKE_STATE__ALL, now_us);
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
