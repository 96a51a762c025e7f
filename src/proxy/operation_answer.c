#include "operation_internal.h"

#include <string.h>

/*
 * Answers of servers to statements.  The result of a statement that ran on the
 * primary is held until the lease shows that no other primary had started by
 * then.
 */

/*
 * Return the time until which the lease must be valid before a statement may be
 * answered.  A write or commit must not be acknowledged after another primary
 * could have started, so that time is now.  The result of a read must have been
 * current when the read arrived or, in a transaction, when the transaction
 * began.
 */
static int64_t
lease_required_us(const operation_t *operation, int64_t now_us)
{
	const Bp__RunOperation *run = operation->run;

	if (run->kind == BP__OPERATION_KIND__READ_ITEM)
		return operation->transaction != NULL
		    ? operation->transaction->began_us
		    : operation->arrived_us;
	return run->in_transaction &&
		run->kind == BP__OPERATION_KIND__WRITE_ITEM
	    ? 0 /* takes effect only with the commit */
	    : now_us;
}

/*
 * Tell whether it is certain that a statement ran before any open order took
 * effect: the servers that these name were asked afterwards.  A read may have
 * run later, if it arrived before.  Where commits are synchronous, the servers
 * must also have received a commit, since they would be primary without it.
 */
static bool
ran_before_open_orders(const operation_t *operation, int64_t required_us)
{
	const group_t *group = operation->group;
	bool read = operation->run->kind == BP__OPERATION_KIND__READ_ITEM;
	uint32_t i;

	if (required_us == 0)
		return true;
	if (group_orders_checked_us(group) <
	    (read ? required_us : operation->executed_us))
		return false;
	for (i = 0; !read && group->failover.limits.sync_replicas > 0 &&
	     i < group->count;
	     i++) {
		const db_view_t *view = &group->failover.views[i];

		if (view->order_open &&
		    (int32_t)i != failover_primary(&group->failover) &&
		    position_compare(
			view->last_entry, operation->executed_position) < 0)
			return false;
	}
	return true;
}

/*
 * Answer a statement that has run with its result.
 */
static void
operation_succeed(operation_t *operation)
{
	operation_finish(
	    operation, BP__VERDICT__SUCCEEDED, operation->ack_token);
}

/*
 * Tell whether a statement ran on the current primary, in the term that the
 * lease covers.
 */
static bool
ran_on_primary(const operation_t *operation)
{
	const group_t *group = operation->group;
	int32_t primary = failover_primary(&group->failover);

	return primary >= 0 && group->servers[primary] == operation->server &&
	    operation->executed_position.term == group->lease.term;
}

/*
 * Tell whether a held read has run on a server that is not the primary any
 * more, while replicas may serve it, so that it need not wait for a lease on
 * the new one.
 */
static bool
replicas_may_serve(const operation_t *operation)
{
	const group_t *group = operation->group;
	int32_t primary = failover_primary(&group->failover);

	return operation->transaction == NULL &&
	    operation->backlog == group->replica_backlog &&
	    (primary < 0 || group->servers[primary] != operation->server);
}

/*
 * Handle a held statement whose server is no longer the primary, or ran it in
 * another term.  A read outside a transaction is retried.  Any other statement
 * ends in doubt, since its effect may be lost with the old primary.
 */
static void
operation_primary_replaced(operation_t *operation)
{
	if (operation->run->kind != BP__OPERATION_KIND__READ_ITEM ||
	    operation->transaction != NULL) {
		operation_fail(operation, BP__VERDICT__IN_DOUBT,
		    "the primary was replaced meanwhile");
		return;
	}
	g_queue_unlink(&operation->group->held, &operation->link);
	operation_drop_rows(operation);
	memset(&operation->executed_position, 0,
	    sizeof(operation->executed_position));
	operation_retry(operation, BP__VERDICT__SUCCEEDED,
	    "the primary was replaced meanwhile");
}

/*
 * Answer the held statements that the lease now covers, and that were checked
 * against open orders.  Retry or fail those
 * that the lease can no longer cover, because they ran on a former primary or
 * in another term.
 */
void
operations_release_held(group_t *group, int64_t now_us)
{
	GList *l = group->held.head;

	while (l != NULL) {
		operation_t *operation = l->data;
		bool on_primary = ran_on_primary(operation);
		int64_t required_us = lease_required_us(operation, now_us);

		l = l->next;
		if (on_primary && required_us <= group->lease.expires_us &&
		    ran_before_open_orders(operation, required_us))
			operation_succeed(operation);
		else if (!on_primary &&
		    (group->lease.expires_us > now_us ||
			replicas_may_serve(operation)))
			operation_primary_replaced(operation);
	}
}

/*
 * Hold a statement that has run on the primary until the lease shows that no
 * other primary can have started.  If the lease already shows this, the
 * statement is answered at once; otherwise the servers are asked for their
 * status, which renews the lease.
 */
static void
operation_hold(operation_t *operation, int64_t now_us)
{
	group_t *group = operation->group;
	uint32_t i;

	operation->state = OPERATION_HELD;
	operation->executed_us = now_us;
	g_queue_push_tail_link(&group->held, &operation->link);
	operations_release_held(group, now_us);
	group->pool->counts[COUNT_HELD] +=
	    g_queue_peek_tail(&group->held) == operation;
	for (i = 0; !g_queue_is_empty(&group->held) && i < group->count; i++)
		monitor_request_status(group->servers[i], now_us);
}

/*
 * End a statement that has run and whose result is too large to be kept.  A
 * transaction that has not committed is rolled back.
 */
static void
operation_discard_result(operation_t *operation, const dbconn_t *conn)
{
	pool_t *pool = operation->group->pool;
	const Bp__RunOperation *run = operation->run;
	result_discarded_t discarded = {.fit = conn->rows_fit,
	    .kind = run->kind,
	    .in_transaction = run->in_transaction,
	    .session = run->session,
	    .group = operation->group->name,
	    .result_bytes = conn->discarded_bytes,
	    .held_bytes = pool->results.held_bytes};
	const char *text;
	Bp__Verdict verdict =
	    result_discard(&discarded, &pool->results_log_limit, &text);

	operation_fail(operation, verdict, text);
}

/*
 * Handle the success of a statement.  The result of a server that had to have
 * applied a position is sent at once.  That of a server to which it was sent as
 * the primary is held until the lease covers it, also if that server is not the
 * primary any more: another one may have led before the read arrived.
 */
static void
operation_executed(operation_t *operation, dbconn_t *conn, int64_t now_us)
{
	const server_t *server = operation->server;
	transaction_t *transaction = operation->transaction;
	int32_t primary = failover_primary(&operation->group->failover);
	bool replica = transaction != NULL ? transaction->on_replica
					   : operation->needed.term != 0;

	operation->ack_token =
	    arena_strdup(operation->msg->arena, conn->ack_token);
	operation->rows = g_steal_pointer(&conn->rows);
	operation->rows_bytes = conn->rows_bytes;
	conn->rows = g_ptr_array_new_with_free_func(g_free);
	conn->rows_bytes = 0;
	if (transaction != NULL)
		transaction->last_used_us = now_us;
	if (operation->run->kind == BP__OPERATION_KIND__COMMIT_TRANSACTION &&
	    transaction != NULL) {
		conn->transaction = NULL;
		transaction->conn = NULL;
		transaction->operation = NULL;
		operation->transaction = NULL;
		transaction_end(transaction);
	}
	if (conn->rows_fit != RESULT_FITS) {
		operation_discard_result(operation, conn);
		return;
	}
	if (replica &&
	    (primary < 0 || operation->group->servers[primary] != server))
		operation_succeed(operation);
	else
		operation_hold(operation, now_us);
}

/*
 * Handle an error with which the database refused to run a statement.  The
 * statement is retried, unless its transaction has begun at the database.
 */
static void
operation_rejected(operation_t *operation, dbconn_t *conn, int64_t now_us)
{
	transaction_t *transaction = operation->transaction;
	char *text = arena_strdup(operation->msg->arena, conn->error);

	if (conn->verdict == BP__VERDICT__READ_ONLY)
		monitor_request_status(operation->server, now_us);
	if (conn->verdict == BP__VERDICT__NO_STATEMENT)
		g_hash_table_remove_all(conn->prepared);
	if (conn->prepare_error != NULL) {
		operation_fail(operation, BP__VERDICT__NO_STATEMENT,
		    arena_strdup(operation->msg->arena, conn->prepare_error));
		return;
	}
	if (transaction != NULL && transaction->begun) {
		operation_fail(operation, conn->verdict, text);
		return;
	}
	if (transaction != NULL) {
		conn->transaction = NULL;
		transaction->conn = NULL;
	}
	operation_retry(operation, conn->verdict, text);
}

/*
 * Handle the database's answer to a statement.
 */
void
operation_answered(operation_t *operation, dbconn_t *conn, int64_t now_us)
{
	bool single_read =
	    operation->run->kind == BP__OPERATION_KIND__READ_ITEM &&
	    operation->transaction == NULL;

	if (operation->transaction != NULL &&
	    operation->transaction->abandoned &&
	    operation->run->kind != BP__OPERATION_KIND__COMMIT_TRANSACTION) {
		operation_fail(
		    operation, BP__VERDICT__ABORTED, "the session has ended");
		return;
	}
	if (conn->error == NULL) {
		operation_executed(operation, conn, now_us);
		return;
	}
	switch (conn->verdict) {
	case BP__VERDICT__BUSY:
	case BP__VERDICT__BEHIND:
	case BP__VERDICT__READ_ONLY:
	case BP__VERDICT__NO_STATEMENT:
		operation_rejected(operation, conn, now_us);
		break;
	case BP__VERDICT__STATEMENT_FAILED:
	case BP__VERDICT__TIMED_OUT:
		if (single_read && operation->tries + 1 < TRIES_MAX &&
		    now_us < operation->item.deadline_us) {
			operation_retry(operation, conn->verdict, conn->error);
			break;
		}
		/* FALLTHROUGH */
	default:
		operation_fail(operation, conn->verdict, conn->error);
		break;
	}
}

/*
 * Handle the loss of the connection on which a statement was sent.  A read
 * outside a transaction, and a statement whose transaction has not begun at the
 * database, are retried until their timeout.  A commit, and a write outside a
 * transaction, may have run and end in doubt.  Any other statement of a
 * transaction ends as aborted.
 */
void
operation_lost(operation_t *operation)
{
	const Bp__RunOperation *run = operation->run;
	transaction_t *transaction = operation->transaction;

	operation->conn = NULL;
	if (transaction != NULL && transaction->begun) {
		transaction->conn = NULL;
		if (run->kind == BP__OPERATION_KIND__COMMIT_TRANSACTION)
			operation_fail(operation, BP__VERDICT__IN_DOUBT,
			    "the connection to the database was lost");
		else
			operation_fail(operation, BP__VERDICT__ABORTED,
			    "the connection to the database was lost");
	} else if (transaction != NULL ||
	    run->kind == BP__OPERATION_KIND__READ_ITEM) {
		if (clock_us() < operation->deadline_us)
			operation_retry(operation, BP__VERDICT__OTHER_ERROR,
			    "the connection to the database was lost");
		else
			operation_fail(operation, BP__VERDICT__TIMED_OUT,
			    "the statement took too long");
	} else {
		operation_fail(operation, BP__VERDICT__IN_DOUBT,
		    "the connection to the database was lost");
	}
}
