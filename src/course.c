#include "group.h"

#include <string.h>

/* The course of one statement: queued, sent, confirmed, answered. */

#define SERVICE_SMOOTHING 32

/*
 * Send the answer to whoever handed the statement in, and free it.
 */
static void
answer_send(group_role_t *role, msg_t *msg, Bp__Answer *answer)
{
	const Bp__RunStatement *run = (const Bp__RunStatement *)msg->body;
	msg_t *out = msg_new(&bp__statement_answered__descriptor);
	Bp__StatementAnswered *answered = (Bp__StatementAnswered *)out->body;

	answered->route = run->route;
	answered->answer =
	    (Bp__Answer *)message_copy(out->arena, &answer->base);
	task_send(msg->from, role->task, out);
	msg_free(msg);
}

/*
 * Refuse a statement that no group of ours takes.
 */
void
run_refuse(group_role_t *role, msg_t *msg, Bp__Reason reason, const char *text)
{
	Bp__Answer answer = BP__ANSWER__INIT;

	role->counts[COUNT_NOT_RUN]++;
	answer.outcome = BP__OUTCOME__NOT_RUN;
	answer.reason = reason;
	answer.message = (char *)text;
	answer_send(role, msg, &answer);
}

/*
 * Forget a transaction.  Its connection, if any is left, becomes ordinary
 * only when the transaction has ended at the database.
 */
void
tx_end(tx_t *tx)
{
	if (tx->conn != NULL)
		tx->conn->tx = NULL;
	if (tx->run != NULL)
		tx->run->tx = NULL;
	g_hash_table_remove(tx->group->txs, &tx->id);
	g_free(tx->account);
	g_free(tx);
}

/*
 * Count an outcome and note how long the statement took.
 */
static void
run_count(run_t *run, Bp__Outcome outcome)
{
	group_role_t *role = run->group->role;
	bool replica = run->db != NULL &&
	    (int32_t)run->db->index != promote_primary(&run->group->promote);

	role->counts[COUNT_DONE + outcome]++;
	latencies_add(role->latencies, run->group->team, run->item.rank,
	    outcome, clock_us() - run->arrived_us);
	if (outcome != BP__OUTCOME__DONE)
		return;
	if (run->access == BP__ACCESS__WRITE)
		role->counts[COUNT_WRITES]++;
	else if (replica)
		role->counts[COUNT_REPLICA_READS]++;
	else
		role->counts[COUNT_PRIMARY_READS]++;
}

/*
 * Take a statement out of wherever it waits.
 */
static void
run_unlink(run_t *run)
{
	dbgroup_t *group = run->group;

	if (run->state == RUN_CONFIRMING)
		g_queue_unlink(&group->confirming, &run->link);
	else if (run->state == RUN_QUEUED && run->item.queued)
		rankq_remove(run->lane, &run->item);
	else if (run->state == RUN_QUEUED && run->tx != NULL)
		g_queue_unlink(&group->tx_lane, &run->link);
}

/*
 * End a statement: answer it and free it.
 */
static void
run_finish(run_t *run, Bp__Answer *answer)
{
	dbgroup_t *group = run->group;
	group_role_t *role = group->role;
	bool done = answer->outcome == BP__OUTCOME__DONE;

	run_unlink(run);
	run_count(run, answer->outcome);
	if (run->track_id)
		reqids_end(group->reqids, run->statement->request_id, done,
		    run->ran_at);
	if (run->tx != NULL) {
		run->tx->run = NULL;
		run->tx->used_us = clock_us();
	}
	group->runs--;
	answer_send(role, run->msg, answer);
}

/*
 * End a statement without a result.
 */
static void
run_fail(run_t *run, Bp__Outcome outcome, Bp__Reason reason)
{
	Bp__Answer answer = BP__ANSWER__INIT;

	answer.outcome = outcome;
	answer.reason = reason;
	if (outcome == BP__OUTCOME__NOT_RUN) {
		answer.has_retry_after_ms = 1;
		answer.retry_after_ms = RETRY_AFTER_MIN_MS;
	}
	run_finish(run, &answer);
}

/*
 * End a statement that waited: whether it may have run in an earlier try
 * decides between the two truths.
 */
void
run_give_up(run_t *run, Bp__Reason reason)
{
	run_fail(run,
	    run->may_have_run ? BP__OUTCOME__UNKNOWN : BP__OUTCOME__NOT_RUN,
	    reason);
}

/*
 * Put a statement into the lane it belongs to.
 */
void
run_queue(run_t *run, bool front)
{
	dbgroup_t *group = run->group;
	bool primary = run->access == BP__ACCESS__WRITE ||
	    run->max_age_us == 0 || run->primary_only;

	run->state = RUN_QUEUED;
	run->lane = primary ? group->primary_lane : group->replica_lane;
	rankq_push(run->lane, &run->item, front);
}

/*
 * Try a statement again that was handed to a database and may have run:
 * only where that does no harm, and within the budget of retries.
 */
static void
run_retry(run_t *run, Bp__Reason reason)
{
	dbgroup_t *group = run->group;

	run->may_have_run = true;
	if (run->tx != NULL || !run->repeatable ||
	    clock_us() >= run->deadline_us || !retry_spend(&group->retry)) {
		run_fail(run, BP__OUTCOME__UNKNOWN, reason);
		return;
	}
	group->role->counts[COUNT_RETRIES]++;
	run_queue(run, true);
}

/*
 * The connection that a statement was handed to is gone.
 */
void
run_lost(run_t *run, Bp__Reason reason)
{
	tx_t *tx = run->tx;

	if (run->state == RUN_QUEUED) {
		/* a transaction's statement that had not left yet */
		run_fail(
		    run, BP__OUTCOME__NOT_RUN, BP__REASON__TRANSACTION_LOST);
		if (tx != NULL)
			tx_end(tx);
		return;
	}
	run_retry(run, reason);
	if (tx != NULL)
		tx_end(tx);
}

/*
 * Refuse a statement on entry, with the time to come back.
 */
static void
run_overloaded(run_t *run, uint32_t retry_after_ms)
{
	Bp__Answer answer = BP__ANSWER__INIT;

	run->group->role->counts[COUNT_REFUSED_EARLY]++;
	answer.outcome = BP__OUTCOME__NOT_RUN;
	answer.reason = BP__REASON__OVERLOADED;
	answer.has_retry_after_ms = 1;
	answer.retry_after_ms = retry_after_ms;
	run_finish(run, &answer);
}

/*
 * Make the record of a statement, in the statement's own arena.
 */
static run_t *
run_new(dbgroup_t *group, msg_t *msg, const Bp__Work *work)
{
	const Bp__Statement *statement =
	    ((const Bp__RunStatement *)msg->body)->statement;
	run_t *run = arena_zero(msg->arena, sizeof(*run));

	run->group = group;
	run->msg = msg;
	run->statement = statement;
	run->access = statement->action == BP__ACTION__RUN ? work->access
							   : BP__ACCESS__WRITE;
	run->repeatable = work->access == BP__ACCESS__READ ||
	    (work->repeatable && statement->action == BP__ACTION__RUN);
	run->max_age_us =
	    statement->fresh ? 0 : (int64_t)work->max_age_ms * US_PER_MS;
	run->arrived_us = clock_us();
	run->deadline_us =
	    run->arrived_us + (int64_t)statement->timeout_ms * US_PER_MS;
	run->needed.term = statement->floor_term;
	run->needed.index = statement->floor_position;
	run->item.rank = work->rank;
	run->item.account = statement->account;
	run->item.deadline_us = run->deadline_us;
	run->item.queued_us = run->arrived_us;
	run->item.owner = run;
	run->link.data = run;
	group->runs++;
	return run;
}

/*
 * A request id that this daemon already knows.  Returns true when the
 * statement has been dealt with.
 */
static bool
run_known_id(run_t *run)
{
	dbgroup_t *group = run->group;
	Bp__Answer answer = BP__ANSWER__INIT;
	const char *id = run->statement->request_id;
	position_t at;

	if (id == NULL || run->access != BP__ACCESS__WRITE)
		return false;
	switch (reqids_begin(group->reqids, id)) {
	case REQID_NEW:
		run->track_id = true;
		return false;
	case REQID_RUNNING:
		group->role->counts[COUNT_DUPLICATE_IDS]++;
		run_fail(
		    run, BP__OUTCOME__UNKNOWN, BP__REASON__SAME_ID_RUNNING);
		return true;
	case REQID_ENDED:
		break;
	}
	group->role->counts[COUNT_DUPLICATE_IDS]++;
	reqids_ended(group->reqids, id, &at);
	answer.outcome = BP__OUTCOME__DONE;
	answer.message = (char *)"this request id has already run";
	answer.has_term = answer.has_position = 1;
	answer.term = at.term;
	answer.position = at.index;
	run_finish(run, &answer);
	return true;
}

/*
 * A statement of an open transaction: it waits for its own connection.
 */
static void
run_in_tx(run_t *run, tx_t *tx)
{
	tx->run = run;
	run->tx = tx;
	run->state = RUN_QUEUED;
	g_queue_push_tail_link(&run->group->tx_lane, &run->link);
}

/*
 * Take a statement in.  It is refused, queued, or answered at once.
 */
void
run_begin(dbgroup_t *group, msg_t *msg, const team_t *team, bool draining)
{
	const Bp__Statement *statement =
	    ((const Bp__RunStatement *)msg->body)->statement;
	const Bp__Work *work = document_work(team->document, statement->work);
	group_role_t *role = group->role;
	uint32_t retry_after_ms;
	tx_t *tx = NULL;
	run_t *run;

	if (work == NULL) {
		run_refuse(role, msg, BP__REASON__NO_SUCH_WORK,
		    "the document names no such work");
		return;
	}
	if (statement->has_transaction) {
		tx = g_hash_table_lookup(group->txs, &statement->transaction);
		if (tx == NULL || tx->conn == NULL || tx->run != NULL ||
		    strcmp(tx->account, statement->account) != 0) {
			run_refuse(role, msg, BP__REASON__TRANSACTION_LOST,
			    tx != NULL && tx->run != NULL
				? "the transaction runs another statement"
				: "the transaction is no longer open");
			return;
		}
	} else if (draining) {
		run_refuse(
		    role, msg, BP__REASON__DRAINING, "the daemon is leaving");
		return;
	} else if (statement->action == BP__ACTION__COMMIT ||
	    statement->action == BP__ACTION__ROLLBACK) {
		run_refuse(role, msg, BP__REASON__BAD_REQUEST,
		    "there is no transaction to end");
		return;
	} else if (!lane_admits(group, work, statement)) {
		run_refuse(
		    role, msg, BP__REASON__OVERLOADED, "the queue is full");
		return;
	}
	run = run_new(group, msg, work);
	dbgroup_activate(group, run->arrived_us);
	retry_earn(&group->retry);
	if (tx != NULL) {
		run_in_tx(run, tx);
	} else if (run_known_id(run)) {
		return; /* also in an overload: it is no new work */
	} else if (!run_has_time(run, &retry_after_ms)) {
		run_overloaded(run, retry_after_ms);
		return;
	} else {
		run_queue(run, false);
	}
	runs_pump(group, run->arrived_us);
}

/*
 * A statement is done: answer with its result and its position.
 */
static void
run_done(run_t *run)
{
	Bp__Answer answer = BP__ANSWER__INIT;
	dbgroup_t *group = run->group;

	answer.outcome = BP__OUTCOME__DONE;
	answer.result = run->value;
	answer.has_term = answer.has_position = 1;
	answer.term = run->ran_at.term;
	answer.position = run->ran_at.index;
	answer.database = run->db->name;
	answer.has_replica = 1;
	answer.replica =
	    (int32_t)run->db->index != promote_primary(&group->promote);
	if (run->duplicate)
		answer.message = (char *)"this request id has already run";
	if (run->statement->action == BP__ACTION__BEGIN && run->tx != NULL) {
		answer.has_transaction = 1;
		answer.transaction = run->tx->id;
	}
	run_finish(run, &answer);
}

/*
 * The database ran a statement and it failed there.
 */
static void
run_failed(run_t *run)
{
	Bp__Answer answer = BP__ANSWER__INIT;

	answer.outcome = BP__OUTCOME__FAILED;
	answer.reason = BP__REASON__DATABASE_ERROR;
	answer.message = run->value;
	answer.database = run->db->name;
	run_finish(run, &answer);
}

/*
 * A statement ran.  A read from a replica must have met a state that is
 * recent enough; everything else waits until a majority confirms.
 */
static void
run_ran(run_t *run, int64_t now_us)
{
	dbgroup_t *group = run->group;
	bool replica = run->lane == group->replica_lane && run->tx == NULL;
	uint32_t i;

	if (run->statement->action == BP__ACTION__ROLLBACK ||
	    (run->tx != NULL && run->statement->action != BP__ACTION__COMMIT)) {
		run_done(run); /* nothing is acknowledged before the commit */
		return;
	}
	if (replica) {
		if (position_compare(run->ran_at, run->needed) >= 0) {
			run_done(run);
			return;
		}
		run->primary_only = true;
		run_queue(run, true);
		return;
	}
	run->state = RUN_CONFIRMING;
	g_queue_push_tail_link(&group->confirming, &run->link);
	runs_confirm(group, now_us);
	if (g_queue_is_empty(&group->confirming))
		return;
	for (i = 0; i < group->count; i++) {
		if (i != run->db->index)
			conn_confirm(&group->dbs[i]);
	}
}

/*
 * A transaction has ended at the database: its connection is free again.
 */
static void
tx_over(run_t *run)
{
	tx_t *tx = run->tx;

	run->tx = NULL;
	tx->run = NULL;
	tx_end(tx);
}

/*
 * The database answered a statement that was handed to it.
 */
void
run_answered(run_t *run, const Bp__DbAnswer *answer, int64_t now_us)
{
	dbgroup_t *group = run->group;
	bool ends = run->statement->action == BP__ACTION__COMMIT ||
	    run->statement->action == BP__ACTION__ROLLBACK;
	conn_t *conn = run->conn;
	tx_t *tx = run->tx;

	run->conn = NULL;
	run->ran_at.term = answer->term;
	run->ran_at.index = answer->position;
	run->value = arena_strdup(run->msg->arena, answer->value);
	group->service_us +=
	    (double)(now_us - run->sent_us - (int64_t)group->service_us) /
	    SERVICE_SMOOTHING;
	switch (answer->result) {
	case BP__DB_RESULT__DUPLICATE:
		group->role->counts[COUNT_DUPLICATE_IDS]++;
		run->duplicate = true;
		/* FALLTHROUGH */
	case BP__DB_RESULT__OK:
		if (tx != NULL && ends)
			tx_over(run);
		if (tx != NULL && run->duplicate)
			conn_close(conn); /* its transaction is still open */
		run_ran(run, now_us);
		break;
	case BP__DB_RESULT__ERROR_RAN:
		run_failed(run);
		break;
	default: /* it did not run */
		if (tx != NULL)
			tx_over(run);
		if (tx == NULL || run->statement->action == BP__ACTION__BEGIN) {
			run_queue(run, true);
		} else {
			conn_close(conn);
			run_fail(run, BP__OUTCOME__NOT_RUN,
			    BP__REASON__TRANSACTION_LOST);
		}
		break;
	}
	/* after a refusal the next tick tries again, not this moment */
	if (answer->result == BP__DB_RESULT__OK ||
	    answer->result == BP__DB_RESULT__ERROR_RAN ||
	    answer->result == BP__DB_RESULT__DUPLICATE)
		runs_pump(group, now_us);
}

/*
 * Whether the primary's term of a statement is certainly over, so that it
 * can no longer be confirmed.
 */
static bool
run_term_over(const run_t *run)
{
	const promote_t *promote = &run->group->promote;
	uint32_t i, higher = 0;

	for (i = 0; i < promote->count; i++)
		higher += promote->views[i].known &&
		    promote->views[i].promised > run->ran_at.term;
	return higher >= majority_of(promote->count);
}

/*
 * Answer the statements that a majority now confirms.  They wait in the
 * order they ran, so the first that is not confirmed ends the search.
 */
void
runs_confirm(dbgroup_t *group, int64_t now_us)
{
	GList *l = group->confirming.head;

	(void)now_us;
	while (l != NULL) {
		run_t *run = l->data;

		l = l->next;
		if (hold_confirmed(group->promote.views, group->count,
			run->ran_at, run->sent_us)) {
			if (position_compare(run->ran_at, group->acked) > 0)
				group->acked = run->ran_at;
			run_done(run);
		} else if (run_term_over(run)) {
			g_queue_unlink(&group->confirming, &run->link);
			run->state = RUN_SENT;
			run_retry(run, BP__REASON__NOT_CONFIRMED);
		} else {
			break;
		}
	}
}

/*
 * Give up statements whose deadline has passed, wherever they are.
 */
void
runs_expire(dbgroup_t *group, int64_t now_us)
{
	rankq_t *lanes[] = {group->primary_lane, group->replica_lane};
	uint32_t i, j;
	GList *l;

	for (i = 0; i < G_N_ELEMENTS(lanes); i++)
		lane_expire(group, lanes[i], now_us);
	l = group->confirming.head;
	while (l != NULL) {
		run_t *run = l->data;

		l = l->next;
		if (run->deadline_us <= now_us)
			run_fail(run, BP__OUTCOME__UNKNOWN,
			    BP__REASON__NOT_CONFIRMED);
	}
	l = group->tx_lane.head;
	while (l != NULL) {
		run_t *run = l->data;

		l = l->next;
		if (run->deadline_us <= now_us)
			run_fail(
			    run, BP__OUTCOME__NOT_RUN, BP__REASON__DEADLINE);
	}
	for (i = 0; i < group->count; i++) {
		for (j = group->dbs[i].conns->len; j-- > 0;) {
			conn_t *conn = NULL;

			if (j < group->dbs[i].conns->len)
				conn =
				    g_ptr_array_index(group->dbs[i].conns, j);
			if (conn != NULL && conn->run != NULL &&
			    conn->run->deadline_us <= now_us)
				conn_condemn(conn, "a statement is overdue");
		}
	}
}

/*
 * The daemon stops: answer everything that is still here with the truth.
 */
void
runs_end(dbgroup_t *group)
{
	rankq_t *lanes[] = {group->primary_lane, group->replica_lane};
	rankq_item_t *item;
	uint32_t i, j;
	GList *l;

	for (i = 0; i < G_N_ELEMENTS(lanes); i++) {
		while ((item = rankq_pop(lanes[i])) != NULL)
			run_give_up(item->owner, BP__REASON__DRAINING);
	}
	while ((l = group->confirming.head) != NULL)
		run_fail(l->data, BP__OUTCOME__UNKNOWN, BP__REASON__DRAINING);
	while ((l = group->tx_lane.head) != NULL)
		run_fail(l->data, BP__OUTCOME__NOT_RUN, BP__REASON__DRAINING);
	for (i = 0; i < group->count; i++) {
		for (j = group->dbs[i].conns->len; j-- > 0;) {
			conn_t *conn =
			    g_ptr_array_index(group->dbs[i].conns, j);
			run_t *run = conn->run;

			if (run == NULL)
				continue;
			conn->run = NULL;
			group->dbs[i].in_flight--;
			run_fail(
			    run, BP__OUTCOME__UNKNOWN, BP__REASON__DRAINING);
		}
	}
}

/*
 * Move what waits in the lanes of one group to another.
 */
void
runs_move(dbgroup_t *from, dbgroup_t *to)
{
	rankq_t *lanes[] = {from->primary_lane, from->replica_lane};
	rankq_item_t *item;
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(lanes); i++) {
		while ((item = rankq_pop(lanes[i])) != NULL) {
			run_t *run = item->owner;

			run->group = to;
			from->runs--;
			to->runs++;
			run_queue(run, false);
		}
	}
}
