#include "pool.h"

#include "decide/queue_limit.h"

#include <inttypes.h>
#include <string.h>

/*
 * Life cycle of one statement.  A statement is queued until a server is free,
 * and sent.  After it ran on the primary, its result is held until the lease
 * shows that no other primary had started by then.  Then it is answered.
 */

/* Maximum number of attempts at a statement that did not run or only read. */
#define TRIES_MAX 4

/*
 * A read that has run for this percentage of the target latency is retried on
 * another server.
 */
#define OVERDUE_PERCENT 50

/* Extension of a queued statement's deadline while its primary changes. */
#define FAILOVER_EXTENSION_US (50 * US_PER_MS)

/*
 * A group counts as unavailable when this daemon has had no lease on a primary
 * for that time, counted from when it learned of the group at the earliest, and
 * no change of primary is in progress.
 */
#define NO_PRIMARY_US (1000 * US_PER_MS)

/* Delay after which a client may retry a refused statement. */
#define RETRY_AFTER_MS 50

/* The same if that needs another primary, which no daemon has ordered yet. */
#define PRIMARY_CHANGE_MS 500

/*
 * Free the rows of a result.
 */
static void
operation_drop_rows(operation_t *operation)
{
	g_clear_pointer(&operation->rows, g_ptr_array_unref);
	result_budget_release(
	    &operation->group->pool->results, &operation->rows_bytes);
}

/*
 * Send the result of a statement to the task that submitted it, and free the
 * statement.
 */
static void
operation_finish(operation_t *operation, Bp__Verdict verdict, const char *text)
{
	const Bp__RunOperation *run = operation->run;
	msg_t *reply = msg_new(&bp__operation_ended__descriptor);
	Bp__OperationEnded *ended = (Bp__OperationEnded *)reply->body;
	task_t *requester = operation->msg->from;
	uint32_t i;

	log_statement_ended(operation, verdict, text);
	ended->session = run->session;
	ended->sequence = run->sequence;
	ended->verdict = verdict;
	ended->has_kind = 1;
	ended->kind = run->kind;
	ended->text = arena_strdup(reply->arena, text);
	ended->has_in_transaction = 1;
	ended->in_transaction = operation->transaction != NULL;
	ended->has_unable = 1;
	ended->unable = operation->unable;
	if (operation->executed_position.term != 0) {
		ended->has_term = ended->has_index = 1;
		ended->term = operation->executed_position.term;
		ended->index = operation->executed_position.index;
	}
	if (verdict == BP__VERDICT__SUCCEEDED && operation->rows != NULL) {
		ended->rows = arena_zalloc(reply->arena,
		    sizeof(ended->rows[0]) * (operation->rows->len + 1));
		for (i = 0; i < operation->rows->len; i++) {
			gpointer *row = &g_ptr_array_index(operation->rows, i);

			ended->rows[ended->n_rows++] =
			    arena_strdup(reply->arena, *row);
			g_clear_pointer(row, g_free);
		}
	}
	if (operation->item.queued)
		rankq_remove(operation->backlog, &operation->item);
	if (operation->state == OPERATION_HELD)
		g_queue_unlink(&operation->group->held, &operation->link);
	if (operation->transaction != NULL)
		operation->transaction->operation = NULL;
	operation_drop_rows(operation);
	task_send(requester, operation->group->pool->task, reply);
	msg_free(operation->msg);
}

/*
 * Answer a statement with an error.  If it belongs to a transaction, the
 * transaction is rolled back.
 */
void
operation_fail(operation_t *operation, Bp__Verdict verdict, const char *text)
{
	transaction_t *transaction = operation->transaction;

	if (transaction != NULL) {
		transaction->operation = NULL;
		operation->transaction = NULL;
		transaction_end(transaction);
	}
	operation_finish(operation, verdict, text);
}

/*
 * Return the delay after which a client may retry a statement that is refused
 * now: not before there may be a connection on which it can run, nor another
 * primary if the present one is drained.
 */
static int64_t
retry_after_ms(const operation_t *operation)
{
	int64_t now_us = clock_us();
	int64_t connection_ms = (operation->connection_us - now_us) / US_PER_MS;
	int64_t primary_ms = group_primary_drained(operation->group, now_us)
	    ? PRIMARY_CHANGE_MS
	    : 0;

	return MAX(RETRY_AFTER_MS, MAX(connection_ms, primary_ms));
}

/*
 * Refuse a statement that has not run, and tell the client when to retry.
 */
void
operation_refuse(operation_t *operation, const char *text)
{
	char *text_with_delay =
	    g_strdup_printf("%s; not run; retry-after-ms=%" PRId64, text,
		retry_after_ms(operation));

	operation_fail(operation, BP__VERDICT__BUSY, text_with_delay);
	g_free(text_with_delay);
}

/*
 * Refuse a statement that has not been sent because this daemon does not reach
 * the servers.  Another owner may.
 */
static void
operation_refuse_unable(operation_t *operation)
{
	operation->unable = true;
	operation_refuse(operation, "the databases cannot be reached");
}

/*
 * Refuse a statement that has not been sent because the primary is drained.
 */
void
operation_refuse_drained(operation_t *operation)
{
	operation_refuse(
	    operation, "the primary leaves, and none has replaced it yet");
}

/*
 * Tell whether only the primary may run a statement.
 */
static bool
needs_primary(const Bp__RunOperation *run)
{
	return run->route->freshness == BP__FRESHNESS__NEWEST ||
	    (run->in_transaction ? !run->read_only
				 : run->kind != BP__OPERATION_KIND__READ_ITEM);
}

/*
 * Tell whether the group has been unable to serve a new statement for some
 * time: there is no lease on a primary, and no replica is known to be recent
 * enough.  primary: the statement may run on the primary only.
 */
static bool
group_unavailable(const operation_t *operation, bool primary)
{
	const group_t *group = operation->group;
	int64_t max_age_us =
	    (int64_t)operation->run->route->max_age_ms * US_PER_MS;
	int64_t unavailable_since_us =
	    MAX(MIN(group->lease.expires_us, group_orders_checked_us(group)),
		group->created_us);
	position_t needed;

	return operation->arrived_us - unavailable_since_us >= NO_PRIMARY_US &&
	    !group_failover_in_progress(group, operation->arrived_us) &&
	    (primary ||
		!position_history_lookup(&group->position_history,
		    operation->arrived_us, max_age_us, &needed));
}

/*
 * Tell whether a queued statement may come to run on the connections that are
 * open or being opened to a server.  While no primary is known, the control
 * connection may find it.
 */
static bool
server_may_run(const server_t *server, const operation_t *operation)
{
	if (group_primary(server->group) < 0 && server->control != NULL)
		return true;
	return dbconns_available(server, operation->run);
}

/*
 * Return the earliest time at which a queued statement may have a connection to
 * a server that can run it, or 0 if there is one, or one may be opened at once.
 * primary: the statement may run on the primary only.
 */
static int64_t
connection_time_us(const operation_t *operation, bool primary)
{
	const group_t *group = operation->group;
	int32_t primary_index = group_primary(group);
	int64_t now_us = clock_us(), earliest_us = INT64_MAX;
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		const server_t *server = group->servers[i];

		if (primary && primary_index >= 0 &&
		    (int32_t)i != primary_index)
			continue;
		if (server_may_run(server, operation) ||
		    reconnect_allowed(&server->reconnect, now_us))
			return 0;
		earliest_us = MIN(earliest_us, server->reconnect.after_us);
	}
	return group->count == 0 ? 0 : earliest_us;
}

/*
 * Return the time at which a statement that is still queued is refused.
 */
static int64_t
queue_deadline_us(const operation_t *operation, bool unavailable)
{
	const Bp__Route *route = operation->run->route;
	queue_wait_t wait = {.arrived_us = operation->arrived_us,
	    .received_us = operation->arrived_us +
		(int64_t)operation->run->waited_ms * US_PER_MS,
	    .target_us = (int64_t)route->target_ms * US_PER_MS,
	    .timeout_us = (int64_t)route->timeout_ms * US_PER_MS,
	    .unavailable = unavailable,
	    .connection_us = operation->connection_us};

	return queue_limit_us(&wait);
}

/*
 * Queue a statement for the primary, or for any server if replicas may serve
 * it.  front: queue it before the others of its rank and account.
 */
void
operation_queue(operation_t *operation, bool front)
{
	const Bp__RunOperation *run = operation->run;
	group_t *group = operation->group;
	bool primary = needs_primary(run), unavailable;

	operation->state = OPERATION_QUEUED;
	operation->backlog =
	    primary ? group->primary_backlog : group->replica_backlog;
	operation->connection_us = connection_time_us(operation, primary);
	unavailable = group_unavailable(operation, primary);
	if (unavailable || operation->connection_us != 0)
		operation->item.deadline_us =
		    queue_deadline_us(operation, unavailable);
	rankq_push(operation->backlog, &operation->item, front);
}

/*
 * Create an operation in the arena of its RunOperation message.
 */
static operation_t *
operation_new(group_t *group, msg_t *msg)
{
	const Bp__RunOperation *run = (const Bp__RunOperation *)msg->body;
	operation_t *operation = arena_zalloc(msg->arena, sizeof(*operation));

	operation->group = group;
	operation->msg = msg;
	operation->run = run;
	operation->arrived_us =
	    clock_us() - (int64_t)run->waited_ms * US_PER_MS;
	operation->deadline_us =
	    operation->arrived_us + (int64_t)run->route->timeout_ms * US_PER_MS;
	operation->item.rank = MIN(run->route->rank, RANKS - 1);
	operation->item.account = run->account;
	operation->item.queued_us = operation->arrived_us;
	operation->item.deadline_us = queue_deadline_us(operation, false);
	operation->item.owner = operation;
	operation->link.data = operation;
	return operation;
}

/*
 * Start a statement of a transaction.  The first statement creates the
 * transaction and is queued; the others are sent at once on the transaction's
 * connection.
 */
static void
begin_in_transaction(operation_t *operation)
{
	const Bp__RunOperation *run = operation->run;
	pool_t *pool = operation->group->pool;
	transaction_t *transaction =
	    g_hash_table_lookup(pool->transactions, &run->session);

	if (!run->first) {
		if (transaction == NULL || transaction->conn == NULL) {
			operation_fail(operation, BP__VERDICT__ABORTED,
			    "the transaction was rolled back");
			return;
		}
		operation->transaction = transaction;
		transaction->operation = operation;
		transaction->last_used_us = operation->arrived_us;
		operation->state = OPERATION_SENT;
		operation->on_primary = !transaction->on_replica;
		dbconn_run(transaction->conn, operation, NULL);
		return;
	}
	transaction = g_new0(transaction_t, 1);
	transaction->pool = pool;
	transaction->session = run->session;
	transaction->requester = operation->msg->from;
	transaction->group = operation->group;
	transaction->read_only = run->read_only;
	transaction->began_us = transaction->last_used_us =
	    operation->arrived_us;
	transaction->operation = operation;
	operation->transaction = transaction;
	g_hash_table_insert(
	    pool->transactions, &transaction->session, transaction);
	operation_queue(operation, false);
}

/*
 * Handle RunOperation: accept a statement.
 */
void
operation_begin(pool_t *pool, msg_t *msg)
{
	const Bp__RunOperation *run = (const Bp__RunOperation *)msg->body;
	group_t *group = group_get(pool, run->route->group);
	operation_t *operation = operation_new(group, msg);
	bool begins = !run->in_transaction || run->first;
	int64_t now_us = clock_us();

	retry_budget_deposit(&pool->retry_budget);
	group_activate(group, now_us);
	if (begins && group->unable) {
		operation_refuse_unable(operation);
		return;
	}
	if (begins && needs_primary(run) &&
	    group_primary_drained(group, now_us)) {
		operation_refuse_drained(operation);
		return;
	}
	if (run->in_transaction)
		begin_in_transaction(operation);
	else
		operation_queue(operation, false);
	dispatch(group, now_us);
}

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
 * Queue a statement again that did not run or only read.  verdict, for the log:
 * the error that the database reported, OTHER_ERROR if no answer came, or
 * SUCCEEDED if the result could not be used.
 */
static void
operation_retry(operation_t *operation, Bp__Verdict verdict, const char *reason)
{
	if (++operation->tries >= TRIES_MAX ||
	    (operation->transaction != NULL &&
		operation->transaction->abandoned)) {
		operation_refuse(operation, reason);
		return;
	}
	log_statement_retried(operation, verdict, reason);
	operation_queue(operation, true);
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

/*
 * Refuse the queued statements that have waited too long.  While the primary
 * changes, those that need it stay queued until their timeout: the change is
 * short, and a client that was refused would retry before it is complete.
 */
static void
backlog_expire(const group_t *group, rankq_t *backlog, int64_t now_us)
{
	bool in_failover = backlog == group->primary_backlog &&
	    group_failover_in_progress(group, now_us);
	rankq_item_t *item;

	while ((item = rankq_expired(backlog, now_us)) != NULL) {
		operation_t *operation = item->owner;

		if (in_failover && now_us < operation->deadline_us) {
			item->deadline_us = MIN(now_us + FAILOVER_EXTENSION_US,
			    operation->deadline_us);
			rankq_push(backlog, item, true);
			continue;
		}
		operation_refuse(operation, "no database was free in time");
	}
}

/*
 * Refuse all queued statements that wait for a primary that is drained.
 */
static void
backlog_refuse_drained(rankq_t *backlog)
{
	rankq_item_t *item;

	while ((item = rankq_pop(backlog)) != NULL)
		operation_refuse_drained(item->owner);
}

/*
 * Tell whether a statement is a read outside a transaction that is overdue, and
 * that another attempt could still answer in time.
 */
static bool
read_overdue(const operation_t *operation, int64_t now_us)
{
	int64_t overdue_us = (int64_t)operation->run->route->target_ms *
	    US_PER_MS * OVERDUE_PERCENT / 100;

	return operation->run->kind == BP__OPERATION_KIND__READ_ITEM &&
	    operation->transaction == NULL &&
	    operation->tries + 1 < TRIES_MAX &&
	    now_us - operation->sent_us >= overdue_us &&
	    now_us < operation->item.deadline_us;
}

/*
 * Check the statement that runs on a connection.  At its timeout the connection
 * is closed.  An overdue read is retried if the retry budget allows.
 */
static void
conn_expire(dbconn_t *conn, int64_t now_us)
{
	operation_t *operation = conn->operation;

	if (operation == NULL)
		return;
	if (operation->deadline_us <= now_us) {
		dbconn_fail(conn, "a statement timed out");
	} else if (read_overdue(operation, now_us) &&
	    retry_budget_withdraw(&operation->group->pool->retry_budget)) {
		dbconn_abandon(conn);
		operation_retry(operation, BP__VERDICT__OTHER_ERROR,
		    "no answer for half of the target");
	}
}

/*
 * Check the statements that run on a server.  Ending one may remove its
 * connection from the array.
 */
static void
server_expire(server_t *server, int64_t now_us)
{
	uint32_t i = server->conns->len;

	if (server->control != NULL)
		conn_expire(server->control, now_us);
	while (i-- > 0) {
		if (i < server->conns->len)
			conn_expire(
			    g_ptr_array_index(server->conns, i), now_us);
	}
}

/*
 * End the queued, held and running statements of a group whose time is over.
 */
void
operations_expire(group_t *group, int64_t now_us)
{
	GList *l = group->held.head;
	uint32_t i;

	if (group_primary_drained(group, now_us))
		backlog_refuse_drained(group->primary_backlog);
	backlog_expire(group, group->primary_backlog, now_us);
	backlog_expire(group, group->replica_backlog, now_us);
	while (l != NULL) {
		operation_t *operation = l->data;

		l = l->next;
		if (operation->deadline_us <= now_us)
			operation_fail(operation, BP__VERDICT__IN_DOUBT,
			    "the primary could not be confirmed");
	}
	for (i = 0; i < group->count; i++)
		server_expire(group->servers[i], now_us);
	for (i = 0; i < group->removed->len; i++)
		server_expire(g_ptr_array_index(group->removed, i), now_us);
}

/*
 * Close the connections of a server that run a statement.  Their statements
 * are not retried.
 */
static void
server_abort_operations(server_t *server)
{
	GPtrArray *conns = g_ptr_array_copy(server->conns, NULL, NULL);
	uint32_t i;

	if (server->control != NULL)
		g_ptr_array_add(conns, server->control);

	for (i = 0; i < conns->len; i++) {
		dbconn_t *conn = g_ptr_array_index(conns, i);

		if (conn->operation == NULL)
			continue;
		conn->operation->deadline_us = 0;
		conn->operation->tries = TRIES_MAX;
		dbconn_fail(conn, "the daemon is shutting down");
	}
	g_ptr_array_unref(conns);
}

/*
 * End every statement of a group because the daemon shuts down.  Queued
 * statements end as not run, held statements in doubt, and running statements
 * as if their connection was lost.
 */
void
operations_abort(group_t *group)
{
	rankq_t *backlogs[] = {group->primary_backlog, group->replica_backlog};
	rankq_item_t *item;
	uint32_t i;
	GList *l;

	for (i = 0; i < group->count; i++)
		server_abort_operations(group->servers[i]);
	for (i = 0; i < group->removed->len; i++)
		server_abort_operations(g_ptr_array_index(group->removed, i));
	for (i = 0; i < G_N_ELEMENTS(backlogs); i++) {
		while ((item = rankq_pop(backlogs[i])) != NULL)
			operation_refuse(item->owner, "the daemon leaves");
	}
	while ((l = group->held.head) != NULL)
		operation_fail(
		    l->data, BP__VERDICT__IN_DOUBT, "the daemon leaves");
}
