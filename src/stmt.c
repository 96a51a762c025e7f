#include "group.h"

#include <string.h>

/* Life cycle of a statement: queued, sent, confirmed, answered. */

/* Each new service time has a weight of 1/32 in the moving average. */
#define SERVICE_TIME_EWMA_DIVISOR 32

/*
 * Send the answer to the task that submitted the statement, and free the
 * request with everything in its arena.
 */
static void
answer_send(group_ctx_t *ctx, msg_t *msg, Bp__Answer *answer)
{
	const Bp__RunStatement *run = (const Bp__RunStatement *)msg->body;
	msg_t *out = msg_new(&bp__statement_answered__descriptor);
	Bp__StatementAnswered *answered = (Bp__StatementAnswered *)out->body;

	answered->correlation_id = run->correlation_id;
	answered->answer =
	    (Bp__Answer *)message_copy(out->arena, &answer->base);
	task_send(msg->from, ctx->task, out);
	msg_free(msg);
}

/*
 * Refuse a statement before a stmt_t exists for it.
 */
void
stmt_refuse(group_ctx_t *ctx, msg_t *msg, Bp__Reason reason, const char *text)
{
	Bp__Answer answer = BP__ANSWER__INIT;

	ctx->counts[COUNT_NOT_RUN]++;
	answer.outcome = BP__OUTCOME__NOT_RUN;
	answer.reason = reason;
	answer.message = (char *)text;
	answer_send(ctx, msg, &answer);
}

/*
 * Free a transaction.  Its connection, if still open, becomes available to
 * other statements, so the transaction must have ended at the database.
 */
void
tx_free(tx_t *tx)
{
	if (tx->conn != NULL)
		tx->conn->tx = NULL;
	if (tx->stmt != NULL)
		tx->stmt->tx = NULL;
	g_hash_table_remove(tx->group->txs, &tx->id);
	g_free(tx->account);
	g_free(tx);
}

/*
 * Update the counters and the latency histogram with a statement's outcome.
 */
static void
stmt_record_outcome(stmt_t *stmt, Bp__Outcome outcome)
{
	group_ctx_t *ctx = stmt->group->ctx;
	bool replica = stmt->db != NULL &&
	    (int32_t)stmt->db->index !=
		failover_primary(&stmt->group->failover);

	ctx->counts[COUNT_DONE + outcome]++;
	latencies_add(ctx->latencies, stmt->group->team, stmt->item.rank,
	    outcome, clock_us() - stmt->arrived_us);
	if (outcome != BP__OUTCOME__DONE)
		return;
	if (stmt->access == BP__ACCESS__WRITE)
		ctx->counts[COUNT_WRITES]++;
	else if (replica)
		ctx->counts[COUNT_REPLICA_READS]++;
	else
		ctx->counts[COUNT_PRIMARY_READS]++;
}

/*
 * Remove a statement from the queue that holds it, if any.
 */
static void
stmt_unlink(stmt_t *stmt)
{
	dbgroup_t *group = stmt->group;

	if (stmt->state == STMT_UNCONFIRMED)
		g_queue_unlink(&group->unconfirmed, &stmt->link);
	else if (stmt->state == STMT_QUEUED && stmt->item.queued)
		rankq_remove(stmt->backlog, &stmt->item);
	else if (stmt->state == STMT_QUEUED && stmt->tx != NULL)
		g_queue_unlink(&group->tx_backlog, &stmt->link);
}

/*
 * Finish a statement: answer it and free it.
 */
static void
stmt_finish(stmt_t *stmt, Bp__Answer *answer)
{
	dbgroup_t *group = stmt->group;
	group_ctx_t *ctx = group->ctx;
	bool done = answer->outcome == BP__OUTCOME__DONE;

	stmt_unlink(stmt);
	stmt_record_outcome(stmt, answer->outcome);
	if (stmt->track_request_id)
		reqids_end(group->reqids, stmt->statement->request_id, done,
		    stmt->executed_position);
	if (stmt->tx != NULL) {
		stmt->tx->stmt = NULL;
		stmt->tx->last_used_us = clock_us();
	}
	group->stmt_count--;
	answer_send(ctx, stmt->msg, answer);
}

/*
 * Finish a statement that has no result, with the outcome NOT_RUN or UNKNOWN.
 */
static void
stmt_abort(stmt_t *stmt, Bp__Outcome outcome, Bp__Reason reason)
{
	Bp__Answer answer = BP__ANSWER__INIT;

	answer.outcome = outcome;
	answer.reason = reason;
	if (outcome == BP__OUTCOME__NOT_RUN) {
		answer.has_retry_after_ms = 1;
		answer.retry_after_ms = RETRY_AFTER_MIN_MS;
	}
	stmt_finish(stmt, &answer);
}

/*
 * Abort a queued statement.  The outcome is UNKNOWN if an earlier attempt may
 * have run, else NOT_RUN.
 */
void
stmt_abort_queued(stmt_t *stmt, Bp__Reason reason)
{
	stmt_abort(stmt,
	    stmt->may_have_run ? BP__OUTCOME__UNKNOWN : BP__OUTCOME__NOT_RUN,
	    reason);
}

/*
 * Queue a statement for the primary or for the replicas.
 */
void
stmt_queue(stmt_t *stmt, bool front)
{
	dbgroup_t *group = stmt->group;
	bool primary = stmt->access == BP__ACCESS__WRITE ||
	    stmt->max_age_us == 0 || stmt->primary_only;

	stmt->state = STMT_QUEUED;
	stmt->backlog =
	    primary ? group->primary_backlog : group->replica_backlog;
	rankq_push(stmt->backlog, &stmt->item, front);
}

/*
 * Retry a statement that was sent to a database and may have run.  Only
 * repeatable statements outside of transactions are retried, within the
 * deadline and the retry budget; others finish with the outcome UNKNOWN.
 */
static void
stmt_retry(stmt_t *stmt, Bp__Reason reason)
{
	dbgroup_t *group = stmt->group;

	stmt->may_have_run = true;
	if (stmt->tx != NULL || !stmt->repeatable ||
	    clock_us() >= stmt->deadline_us ||
	    !retry_budget_withdraw(&group->retry_budget)) {
		stmt_abort(stmt, BP__OUTCOME__UNKNOWN, reason);
		return;
	}
	group->ctx->counts[COUNT_RETRIES]++;
	stmt_queue(stmt, true);
}

/*
 * Handle the loss of the connection that a statement was sent on, or that its
 * transaction holds.
 */
void
stmt_connection_lost(stmt_t *stmt, Bp__Reason reason)
{
	tx_t *tx = stmt->tx;

	if (stmt->state == STMT_QUEUED) {
		/* a statement of a transaction, not sent yet */
		stmt_abort(
		    stmt, BP__OUTCOME__NOT_RUN, BP__REASON__TRANSACTION_LOST);
		if (tx != NULL)
			tx_free(tx);
		return;
	}
	stmt_retry(stmt, reason);
	if (tx != NULL)
		tx_free(tx);
}

/*
 * Refuse a new statement because of overload, and tell the caller when to
 * retry.
 */
static void
stmt_refuse_overload(stmt_t *stmt, uint32_t retry_after_ms)
{
	Bp__Answer answer = BP__ANSWER__INIT;

	stmt->group->ctx->counts[COUNT_REFUSED_EARLY]++;
	answer.outcome = BP__OUTCOME__NOT_RUN;
	answer.reason = BP__REASON__OVERLOADED;
	answer.has_retry_after_ms = 1;
	answer.retry_after_ms = retry_after_ms;
	stmt_finish(stmt, &answer);
}

/*
 * Create a statement, allocated in the arena of its message.
 */
static stmt_t *
stmt_new(dbgroup_t *group, msg_t *msg, const Bp__Work *work)
{
	const Bp__Statement *statement =
	    ((const Bp__RunStatement *)msg->body)->statement;
	stmt_t *stmt = arena_zalloc(msg->arena, sizeof(*stmt));

	stmt->group = group;
	stmt->msg = msg;
	stmt->statement = statement;
	stmt->access = statement->action == BP__ACTION__RUN ? work->access
							    : BP__ACCESS__WRITE;
	stmt->repeatable = work->access == BP__ACCESS__READ ||
	    (work->repeatable && statement->action == BP__ACTION__RUN);
	stmt->max_age_us =
	    statement->fresh ? 0 : (int64_t)work->max_age_ms * US_PER_MS;
	stmt->arrived_us = clock_us();
	stmt->deadline_us =
	    stmt->arrived_us + (int64_t)statement->timeout_ms * US_PER_MS;
	stmt->min_position.term = statement->floor_term;
	stmt->min_position.index = statement->floor_position;
	stmt->item.rank = work->rank;
	stmt->item.account = statement->account;
	stmt->item.deadline_us = stmt->deadline_us;
	stmt->item.queued_us = stmt->arrived_us;
	stmt->item.owner = stmt;
	stmt->link.data = stmt;
	group->stmt_count++;
	return stmt;
}

/*
 * Look up the request id of a write.  If the id is running or has run before,
 * answer the statement and return true.
 */
static bool
stmt_check_request_id(stmt_t *stmt)
{
	dbgroup_t *group = stmt->group;
	Bp__Answer answer = BP__ANSWER__INIT;
	const char *id = stmt->statement->request_id;
	position_t position;

	if (id == NULL || stmt->access != BP__ACCESS__WRITE)
		return false;
	switch (reqids_begin(group->reqids, id)) {
	case REQID_NEW:
		stmt->track_request_id = true;
		return false;
	case REQID_RUNNING:
		group->ctx->counts[COUNT_DUPLICATE_IDS]++;
		stmt_abort(
		    stmt, BP__OUTCOME__UNKNOWN, BP__REASON__SAME_ID_RUNNING);
		return true;
	case REQID_ENDED:
		break;
	}
	group->ctx->counts[COUNT_DUPLICATE_IDS]++;
	reqids_position(group->reqids, id, &position);
	answer.outcome = BP__OUTCOME__DONE;
	answer.message = (char *)"this request id has already run";
	answer.has_term = answer.has_position = 1;
	answer.term = position.term;
	answer.position = position.index;
	stmt_finish(stmt, &answer);
	return true;
}

/*
 * Queue a statement of an open transaction for the transaction's connection.
 */
static void
stmt_queue_in_tx(stmt_t *stmt, tx_t *tx)
{
	tx->stmt = stmt;
	stmt->tx = tx;
	stmt->state = STMT_QUEUED;
	g_queue_push_tail_link(&stmt->group->tx_backlog, &stmt->link);
}

/*
 * Admit a new statement: it is refused, queued, or answered at once.
 */
void
stmt_submit(dbgroup_t *group, msg_t *msg, const active_document_t *active,
    bool draining)
{
	const Bp__Statement *statement =
	    ((const Bp__RunStatement *)msg->body)->statement;
	const Bp__Work *work =
	    document_find_work(active->document, statement->work);
	group_ctx_t *ctx = group->ctx;
	uint32_t retry_after_ms;
	tx_t *tx = NULL;
	stmt_t *stmt;

	if (work == NULL) {
		stmt_refuse(ctx, msg, BP__REASON__NO_SUCH_WORK,
		    "the document names no such work");
		return;
	}
	if (statement->has_transaction) {
		tx = g_hash_table_lookup(group->txs, &statement->transaction);
		if (tx == NULL || tx->conn == NULL || tx->stmt != NULL ||
		    strcmp(tx->account, statement->account) != 0) {
			stmt_refuse(ctx, msg, BP__REASON__TRANSACTION_LOST,
			    tx != NULL && tx->stmt != NULL
				? "the transaction runs another statement"
				: "the transaction is no longer open");
			return;
		}
	} else if (draining) {
		stmt_refuse(
		    ctx, msg, BP__REASON__DRAINING, "the daemon is leaving");
		return;
	} else if (statement->action == BP__ACTION__COMMIT ||
	    statement->action == BP__ACTION__ROLLBACK) {
		stmt_refuse(ctx, msg, BP__REASON__BAD_REQUEST,
		    "there is no transaction to end");
		return;
	} else if (!backlog_admits(group, work, statement)) {
		stmt_refuse(
		    ctx, msg, BP__REASON__OVERLOADED, "the queue is full");
		return;
	}
	stmt = stmt_new(group, msg, work);
	dbgroup_activate(group, stmt->arrived_us);
	retry_budget_deposit(&group->retry_budget);
	if (tx != NULL) {
		stmt_queue_in_tx(stmt, tx);
	} else if (stmt_check_request_id(stmt)) {
		return; /* a known id is answered even under overload */
	} else if (!stmt_meets_deadline(stmt, &retry_after_ms)) {
		stmt_refuse_overload(stmt, retry_after_ms);
		return;
	} else {
		stmt_queue(stmt, false);
	}
	stmts_dispatch(group, stmt->arrived_us);
}

/*
 * Finish a statement that succeeded, with its result and log position.
 */
static void
stmt_succeed(stmt_t *stmt)
{
	Bp__Answer answer = BP__ANSWER__INIT;
	dbgroup_t *group = stmt->group;

	answer.outcome = BP__OUTCOME__DONE;
	answer.result = stmt->result_text;
	answer.has_term = answer.has_position = 1;
	answer.term = stmt->executed_position.term;
	answer.position = stmt->executed_position.index;
	answer.database = stmt->db->name;
	answer.has_replica = 1;
	answer.replica =
	    (int32_t)stmt->db->index != failover_primary(&group->failover);
	if (stmt->duplicate)
		answer.message = (char *)"this request id has already run";
	if (stmt->statement->action == BP__ACTION__BEGIN && stmt->tx != NULL) {
		answer.has_transaction = 1;
		answer.transaction = stmt->tx->id;
	}
	stmt_finish(stmt, &answer);
}

/*
 * Finish a statement that the database executed and that failed there.
 */
static void
stmt_execution_failed(stmt_t *stmt)
{
	Bp__Answer answer = BP__ANSWER__INIT;

	answer.outcome = BP__OUTCOME__FAILED;
	answer.reason = BP__REASON__DATABASE_ERROR;
	answer.message = stmt->result_text;
	answer.database = stmt->db->name;
	stmt_finish(stmt, &answer);
}

/*
 * Process the successful execution of a statement.  A read from a replica is
 * answered if the replica's position was recent enough, otherwise it is queued
 * for the primary.  Statements inside a transaction and rollbacks are answered
 * at once.  All others stay unconfirmed until a majority holds their position.
 */
static void
stmt_executed(stmt_t *stmt, int64_t now_us)
{
	dbgroup_t *group = stmt->group;
	bool replica =
	    stmt->backlog == group->replica_backlog && stmt->tx == NULL;
	uint32_t i;

	if (stmt->statement->action == BP__ACTION__ROLLBACK ||
	    (stmt->tx != NULL &&
		stmt->statement->action != BP__ACTION__COMMIT)) {
		/* of a transaction, only the commit needs confirmation */
		stmt_succeed(stmt);
		return;
	}
	if (replica) {
		if (position_compare(
			stmt->executed_position, stmt->min_position) >= 0) {
			stmt_succeed(stmt);
			return;
		}
		stmt->primary_only = true;
		stmt_queue(stmt, true);
		return;
	}
	stmt->state = STMT_UNCONFIRMED;
	g_queue_push_tail_link(&group->unconfirmed, &stmt->link);
	stmts_confirm(group, now_us);
	if (g_queue_is_empty(&group->unconfirmed))
		return;
	for (i = 0; i < group->db_count; i++) {
		if (i != stmt->db->index)
			database_send_confirm_probe(&group->dbs[i]);
	}
}

/*
 * Free the transaction of a statement once it has ended at the database.  Its
 * connection becomes available to other statements.
 */
static void
tx_finish(stmt_t *stmt)
{
	tx_t *tx = stmt->tx;

	stmt->tx = NULL;
	tx->stmt = NULL;
	tx_free(tx);
}

/*
 * Process the database's answer to a statement.
 */
void
stmt_answered(stmt_t *stmt, const Bp__DbAnswer *answer, int64_t now_us)
{
	dbgroup_t *group = stmt->group;
	bool ends_tx = stmt->statement->action == BP__ACTION__COMMIT ||
	    stmt->statement->action == BP__ACTION__ROLLBACK;
	conn_t *conn = stmt->conn;
	tx_t *tx = stmt->tx;

	stmt->conn = NULL;
	stmt->executed_position.term = answer->term;
	stmt->executed_position.index = answer->position;
	stmt->result_text = arena_strdup(stmt->msg->arena, answer->value);
	group->mean_service_us +=
	    (double)(now_us - stmt->sent_us - (int64_t)group->mean_service_us) /
	    SERVICE_TIME_EWMA_DIVISOR;
	switch (answer->result) {
	case BP__DB_RESULT__DUPLICATE:
		group->ctx->counts[COUNT_DUPLICATE_IDS]++;
		stmt->duplicate = true;
		/* FALLTHROUGH */
	case BP__DB_RESULT__OK:
		if (tx != NULL && ends_tx)
			tx_finish(stmt);
		if (tx != NULL && stmt->duplicate)
			/* the database's transaction is still open */
			conn_close(conn);
		stmt_executed(stmt, now_us);
		break;
	case BP__DB_RESULT__ERROR_RAN:
		stmt_execution_failed(stmt);
		break;
	default: /* the statement did not run */
		if (tx != NULL)
			tx_finish(stmt);
		if (tx == NULL ||
		    stmt->statement->action == BP__ACTION__BEGIN) {
			stmt_queue(stmt, true);
		} else {
			conn_close(conn);
			stmt_abort(stmt, BP__OUTCOME__NOT_RUN,
			    BP__REASON__TRANSACTION_LOST);
		}
		break;
	}
	/* after a refusal the next tick retries, to avoid a busy loop */
	if (answer->result == BP__DB_RESULT__OK ||
	    answer->result == BP__DB_RESULT__ERROR_RAN ||
	    answer->result == BP__DB_RESULT__DUPLICATE)
		stmts_dispatch(group, now_us);
}

/*
 * Tell whether a majority has promised a higher term than that in which a
 * statement ran, so that the statement can no longer be confirmed.
 */
static bool
stmt_term_superseded(const stmt_t *stmt)
{
	const failover_t *failover = &stmt->group->failover;
	uint32_t i, promised_higher = 0;

	for (i = 0; i < failover->count; i++)
		promised_higher += failover->views[i].known &&
		    failover->views[i].promised > stmt->executed_position.term;
	return promised_higher >= majority_of(failover->count);
}

/*
 * Answer the statements whose position a majority now holds.  The list is in
 * the order of execution, so the first one not confirmed ends the scan.  A
 * statement whose term is superseded is retried.
 */
void
stmts_confirm(dbgroup_t *group, int64_t now_us)
{
	GList *l = group->unconfirmed.head;

	(void)now_us;
	while (l != NULL) {
		stmt_t *stmt = l->data;

		l = l->next;
		if (majority_holds(group->failover.views, group->db_count,
			stmt->executed_position, stmt->sent_us)) {
			if (position_compare(stmt->executed_position,
				group->acked_position) > 0)
				group->acked_position = stmt->executed_position;
			stmt_succeed(stmt);
		} else if (stmt_term_superseded(stmt)) {
			g_queue_unlink(&group->unconfirmed, &stmt->link);
			stmt->state = STMT_SENT;
			stmt_retry(stmt, BP__REASON__NOT_CONFIRMED);
		} else {
			break;
		}
	}
}

/*
 * Abort all statements whose deadline has passed.  If one is in flight, its
 * connection is aborted too.
 */
void
stmts_expire(dbgroup_t *group, int64_t now_us)
{
	rankq_t *backlogs[] = {group->primary_backlog, group->replica_backlog};
	uint32_t i, j;
	GList *l;

	for (i = 0; i < G_N_ELEMENTS(backlogs); i++)
		backlog_expire(group, backlogs[i], now_us);
	l = group->unconfirmed.head;
	while (l != NULL) {
		stmt_t *stmt = l->data;

		l = l->next;
		if (stmt->deadline_us <= now_us)
			stmt_abort(stmt, BP__OUTCOME__UNKNOWN,
			    BP__REASON__NOT_CONFIRMED);
	}
	l = group->tx_backlog.head;
	while (l != NULL) {
		stmt_t *stmt = l->data;

		l = l->next;
		if (stmt->deadline_us <= now_us)
			stmt_abort(
			    stmt, BP__OUTCOME__NOT_RUN, BP__REASON__DEADLINE);
	}
	for (i = 0; i < group->db_count; i++) {
		for (j = group->dbs[i].conns->len; j-- > 0;) {
			conn_t *conn = NULL;

			if (j < group->dbs[i].conns->len)
				conn =
				    g_ptr_array_index(group->dbs[i].conns, j);
			if (conn != NULL && conn->stmt != NULL &&
			    conn->stmt->deadline_us <= now_us)
				conn_abort(conn, "statement timed out");
		}
	}
}

/*
 * Abort all statements of a group: the outcome is NOT_RUN for those never
 * sent, and UNKNOWN for the others.
 */
void
stmts_abort_all(dbgroup_t *group)
{
	rankq_t *backlogs[] = {group->primary_backlog, group->replica_backlog};
	rankq_item_t *item;
	uint32_t i, j;
	GList *l;

	for (i = 0; i < G_N_ELEMENTS(backlogs); i++) {
		while ((item = rankq_pop(backlogs[i])) != NULL)
			stmt_abort_queued(item->owner, BP__REASON__DRAINING);
	}
	while ((l = group->unconfirmed.head) != NULL)
		stmt_abort(l->data, BP__OUTCOME__UNKNOWN, BP__REASON__DRAINING);
	while ((l = group->tx_backlog.head) != NULL)
		stmt_abort(l->data, BP__OUTCOME__NOT_RUN, BP__REASON__DRAINING);
	for (i = 0; i < group->db_count; i++) {
		for (j = group->dbs[i].conns->len; j-- > 0;) {
			conn_t *conn =
			    g_ptr_array_index(group->dbs[i].conns, j);
			stmt_t *stmt = conn->stmt;

			if (stmt == NULL)
				continue;
			conn->stmt = NULL;
			group->dbs[i].in_flight--;
			stmt_abort(
			    stmt, BP__OUTCOME__UNKNOWN, BP__REASON__DRAINING);
		}
	}
}

/*
 * Move the queued statements outside of transactions to another group.
 */
void
stmts_move(dbgroup_t *from, dbgroup_t *to)
{
	rankq_t *backlogs[] = {from->primary_backlog, from->replica_backlog};
	rankq_item_t *item;
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(backlogs); i++) {
		while ((item = rankq_pop(backlogs[i])) != NULL) {
			stmt_t *stmt = item->owner;

			stmt->group = to;
			from->stmt_count--;
			to->stmt_count++;
			stmt_queue(stmt, false);
		}
	}
}
