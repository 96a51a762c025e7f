#include "operation_internal.h"

#include "decide/queue_limit.h"

#include <inttypes.h>
#include <string.h>

/*
 * Life cycle of one statement: it is queued until a server is free, refused or
 * queued again, and answered.
 */

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
void
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
void
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
 * Queue a statement again that did not run or only read.  verdict, for the log:
 * the error that the database reported, OTHER_ERROR if no answer came, or
 * SUCCEEDED if the result could not be used.
 */
void
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
