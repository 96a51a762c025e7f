#include "pool.h"

#include <string.h>

/* The life of one statement: queued, sent, held, answered. */

/* A statement that did not run, or only read, is tried so often in all. */
#define TRIES_MAX 4

/* What waits must be offered to a database within this part of its target. */
#define QUEUE_PERCENT 90

/* A read that runs longer than this part of its target is tried elsewhere. */
#define UNANSWERED_PERCENT 50

/* While a primary changes, waiting statements are looked at so often. */
#define WAIT_ON_US (50 * US_PER_MS)

/*
 * Where the group has had no certain primary for STALLED_US, since this daemon
 * knows it at the least, and none is being made, waiting is in vain: whoever is
 * refused soon may find another daemon.
 */
#define STALLED_US (1000 * US_PER_MS)
#define STALLED_PERCENT 20

/* When to come back after a refusal, at the least. */
#define RETRY_AFTER_MS 50

/*
 * Send the answer to whoever handed the statement in, and free it.
 */
static void
operation_end(operation_t *operation, Bp__Verdict verdict, const char *text)
{
	const Bp__RunOperation *run = operation->run;
	msg_t *out = msg_new(&bp__operation_ended__descriptor);
	Bp__OperationEnded *ended = (Bp__OperationEnded *)out->body;
	task_t *to = operation->msg->from;
	uint32_t i;

	report_ended(operation, verdict, text);
	ended->session = run->session;
	ended->sequence = run->sequence;
	ended->verdict = verdict;
	ended->text = arena_strdup(out->arena, text);
	if (operation->ran_at.term != 0) {
		ended->has_term = ended->has_index = 1;
		ended->term = operation->ran_at.term;
		ended->index = operation->ran_at.index;
	}
	if (verdict == BP__VERDICT__SUCCEEDED && operation->rows != NULL) {
		ended->rows = arena_zero(out->arena,
		    sizeof(ended->rows[0]) * (operation->rows->len + 1));
		for (i = 0; i < operation->rows->len; i++)
			ended->rows[ended->n_rows++] = arena_strdup(
			    out->arena, g_ptr_array_index(operation->rows, i));
	}
	if (operation->item.queued)
		rankq_remove(operation->lane, &operation->item);
	if (operation->state == OPERATION_HELD)
		g_queue_unlink(&operation->group->held, &operation->link);
	if (operation->transaction != NULL)
		operation->transaction->operation = NULL;
	if (operation->rows != NULL)
		g_ptr_array_unref(operation->rows);
	task_send(to, operation->group->pool->task, out);
	msg_free(operation->msg);
}

/*
 * Forget a transaction that has no statement running.  Whatever its
 * connection still has of it is rolled back.
 */
void
transaction_end(transaction_t *transaction)
{
	dbconn_t *conn = transaction->conn;

	if (conn != NULL) {
		conn->transaction = NULL;
		if (transaction->begun)
			dbconn_roll_back(conn);
	}
	g_hash_table_remove(
	    transaction->pool->transactions, &transaction->session);
	g_free(transaction);
}

/*
 * Nobody wants a transaction any more.  A statement that is running ends
 * first: a commit may have come into effect.
 */
void
transaction_drop(transaction_t *transaction)
{
	operation_t *operation = transaction->operation;

	if (operation == NULL)
		transaction_end(transaction);
	else if (operation->state == OPERATION_QUEUED)
		operation_fail(
		    operation, BP__VERDICT__ABORTED, "the session has ended");
	else
		transaction->abandoned = true;
}

/*
 * End a statement without a result; a transaction that it belongs to is
 * rolled back with it.
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
	operation_end(operation, verdict, text);
}

/*
 * Refuse a statement that has not run, and say when to come back.
 */
void
operation_refuse(operation_t *operation, const char *text)
{
	char *full = g_strdup_printf(
	    "%s; not run; retry-after-ms=%d", text, RETRY_AFTER_MS);

	operation_fail(operation, BP__VERDICT__BUSY, full);
	g_free(full);
}

/*
 * Tell whether a new statement waits in vain: there is no certain primary for
 * it, and no replica that could be shown to be fresh enough.
 */
static bool
stalled(const operation_t *operation, bool primary)
{
	const group_t *group = operation->group;
	int64_t age_us = (int64_t)operation->run->route->max_age_ms * US_PER_MS;
	int64_t since_us = MAX(group->lease.until_us, group->began_us);
	position_t needed;

	return operation->arrived_us - since_us >= STALLED_US &&
	    !watch_changing(group, operation->arrived_us) &&
	    (primary ||
		!samples_needed(
		    &group->samples, operation->arrived_us, age_us, &needed));
}

/*
 * Put a statement into the lane it belongs to.
 */
void
operation_queue(operation_t *operation, bool front)
{
	const Bp__RunOperation *run = operation->run;
	group_t *group = operation->group;
	bool primary = run->route->freshness == BP__FRESHNESS__NEWEST ||
	    (run->in_transaction ? !run->read_only
				 : run->kind != BP__OPERATION_KIND__READ_ITEM);

	operation->state = OPERATION_QUEUED;
	operation->lane = primary ? group->primary_lane : group->replica_lane;
	if (stalled(operation, primary))
		operation->item.deadline_us = operation->arrived_us +
		    (int64_t)run->route->target_ms * US_PER_MS *
			STALLED_PERCENT / 100;
	rankq_push(operation->lane, &operation->item, front);
}

/*
 * Make the record of a statement, in the statement's own arena.
 */
static operation_t *
operation_new(group_t *group, msg_t *msg)
{
	const Bp__RunOperation *run = (const Bp__RunOperation *)msg->body;
	operation_t *operation = arena_zero(msg->arena, sizeof(*operation));

	operation->group = group;
	operation->msg = msg;
	operation->run = run;
	operation->arrived_us = clock_us();
	operation->deadline_us =
	    operation->arrived_us + (int64_t)run->route->timeout_ms * US_PER_MS;
	operation->item.rank = MIN(run->route->rank, RANKS - 1);
	operation->item.account = run->account;
	operation->item.queued_us = operation->arrived_us;
	operation->item.deadline_us = operation->arrived_us +
	    (int64_t)run->route->target_ms * US_PER_MS * QUEUE_PERCENT / 100;
	operation->item.owner = operation;
	operation->link.data = operation;
	return operation;
}

/*
 * A statement of a transaction: its first makes the transaction, the others
 * go to the connection that the transaction has.
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
		transaction->used_us = operation->arrived_us;
		operation->state = OPERATION_SENT;
		dbconn_run(transaction->conn, operation, NULL);
		return;
	}
	transaction = g_new0(transaction_t, 1);
	transaction->pool = pool;
	transaction->session = run->session;
	transaction->group = operation->group;
	transaction->read_only = run->read_only;
	transaction->began_us = transaction->used_us = operation->arrived_us;
	transaction->operation = operation;
	operation->transaction = transaction;
	g_hash_table_insert(
	    pool->transactions, &transaction->session, transaction);
	operation_queue(operation, false);
}

/*
 * Take a statement in.
 */
void
operation_begin(pool_t *pool, msg_t *msg)
{
	const Bp__RunOperation *run = (const Bp__RunOperation *)msg->body;
	group_t *group = group_of(pool, run->route->group);
	operation_t *operation = operation_new(group, msg);

	retry_earn(&pool->retry);
	if (run->in_transaction)
		begin_in_transaction(operation);
	else
		operation_queue(operation, false);
	dispatch(group, clock_us());
}

/*
 * Until when the lease must have lasted for the answer to be given: a write
 * counts from now on, a read from when it was asked for.
 */
static int64_t
lease_needed_us(const operation_t *operation, int64_t now_us)
{
	const Bp__RunOperation *run = operation->run;

	if (run->kind == BP__OPERATION_KIND__READ_ITEM)
		return operation->transaction != NULL
		    ? operation->transaction->began_us
		    : operation->arrived_us;
	return run->in_transaction &&
		run->kind == BP__OPERATION_KIND__WRITE_ITEM
	    ? 0 /* nothing is acknowledged before the commit */
	    : now_us;
}

/*
 * Give the answer of a statement that has run.
 */
static void
operation_done(operation_t *operation)
{
	operation_end(operation, BP__VERDICT__SUCCEEDED, operation->proof);
}

/*
 * Try a statement again that did not run, or that only read.  verdict: the
 * database's answer, if there was one.
 */
static void
operation_retry(operation_t *operation, Bp__Verdict verdict, const char *why)
{
	if (++operation->tries >= TRIES_MAX ||
	    (operation->transaction != NULL &&
		operation->transaction->abandoned)) {
		operation_refuse(operation, why);
		return;
	}
	report_retried(operation, verdict, why);
	operation_queue(operation, true);
}

/*
 * Tell whether the server that ran a statement is the primary of the lease,
 * and ran it in the lease's term.
 */
static bool
ran_at_primary(const operation_t *operation)
{
	const group_t *group = operation->group;
	int32_t primary = promote_primary(&group->promote);

	return primary >= 0 && group->servers[primary] == operation->server &&
	    operation->ran_at.term == group->lease.term;
}

/*
 * A statement ran at a server that was not the primary, or is no longer.  A
 * single read is put to the primary that there is now.
 */
static void
operation_misplaced(operation_t *operation)
{
	if (operation->run->kind != BP__OPERATION_KIND__READ_ITEM ||
	    operation->transaction != NULL) {
		operation_fail(operation, BP__VERDICT__IN_DOUBT,
		    "the primary was replaced meanwhile");
		return;
	}
	g_queue_unlink(&operation->group->held, &operation->link);
	g_clear_pointer(&operation->rows, g_ptr_array_unref);
	memset(&operation->ran_at, 0, sizeof(operation->ran_at));
	operation_retry(operation, BP__VERDICT__SUCCEEDED,
	    "the primary was replaced meanwhile");
}

/*
 * Answer the statements whose primary is now known to have been the only one
 * for long enough, and end those for which that can no longer be.
 */
void
operations_release(group_t *group, int64_t now_us)
{
	GList *l = group->held.head;

	while (l != NULL) {
		operation_t *operation = l->data;
		bool there = ran_at_primary(operation);

		l = l->next;
		if (there &&
		    lease_needed_us(operation, now_us) <= group->lease.until_us)
			operation_done(operation);
		else if (!there && group->lease.until_us > now_us)
			operation_misplaced(operation);
	}
}

/*
 * A statement has run on the primary: it is answered at once while no other
 * primary can have begun, else it waits until that is known.
 */
static void
operation_hold(operation_t *operation, int64_t now_us)
{
	group_t *group = operation->group;
	uint32_t i;

	operation->state = OPERATION_HELD;
	g_queue_push_tail_link(&group->held, &operation->link);
	operations_release(group, now_us);
	group->pool->counts[COUNT_HELD] +=
	    g_queue_peek_tail(&group->held) == operation;
	for (i = 0; !g_queue_is_empty(&group->held) && i < group->count; i++)
		watch_ask(group->servers[i], now_us);
}

/*
 * A statement has run and succeeded.
 */
static void
operation_ran(operation_t *operation, dbconn_t *conn, int64_t now_us)
{
	const server_t *server = operation->server;
	transaction_t *transaction = operation->transaction;
	int32_t primary = promote_primary(&operation->group->promote);
	bool replica = transaction != NULL
	    ? transaction->on_replica
	    : operation->lane == operation->group->replica_lane;

	operation->proof = arena_strdup(operation->msg->arena, conn->proof);
	operation->rows = g_ptr_array_ref(conn->rows);
	conn->rows = g_ptr_array_new_with_free_func(g_free);
	if (transaction != NULL)
		transaction->used_us = now_us;
	if (operation->run->kind == BP__OPERATION_KIND__COMMIT_TRANSACTION &&
	    transaction != NULL) {
		conn->transaction = NULL;
		transaction->conn = NULL;
		transaction->operation = NULL;
		operation->transaction = NULL;
		transaction_end(transaction);
	}
	if (replica &&
	    (primary < 0 || operation->group->servers[primary] != server))
		operation_done(operation);
	else
		operation_hold(operation, now_us);
}

/*
 * The database has not run a statement.
 */
static void
operation_not_run(operation_t *operation, dbconn_t *conn, int64_t now_us)
{
	transaction_t *transaction = operation->transaction;
	char *text = arena_strdup(operation->msg->arena, conn->error);

	if (conn->verdict == BP__VERDICT__READ_ONLY)
		watch_ask(operation->server, now_us);
	if (conn->verdict == BP__VERDICT__NO_STATEMENT)
		g_hash_table_remove_all(conn->prepared);
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
 * The database answered a statement.
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
		operation_ran(operation, conn, now_us);
		return;
	}
	switch (conn->verdict) {
	case BP__VERDICT__BUSY:
	case BP__VERDICT__BEHIND:
	case BP__VERDICT__READ_ONLY:
	case BP__VERDICT__NO_STATEMENT:
		operation_not_run(operation, conn, now_us);
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
 * The connection that a statement was handed to is gone.
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
 * End the statements of one lane that have waited for too long.  While the
 * primary changes they may wait on: that is over soon, and whoever is refused
 * comes back before it is.
 */
static void
lane_expire(const group_t *group, rankq_t *lane, int64_t now_us)
{
	bool changing =
	    lane == group->primary_lane && watch_changing(group, now_us);
	rankq_item_t *item;

	while ((item = rankq_expired(lane, now_us)) != NULL) {
		operation_t *operation = item->owner;

		if (changing && now_us < operation->deadline_us) {
			item->deadline_us =
			    MIN(now_us + WAIT_ON_US, operation->deadline_us);
			rankq_push(lane, item, true);
			continue;
		}
		operation_refuse(operation, "no database was free in time");
	}
}

/*
 * Whether a statement on a connection is a single read that should have been
 * answered by now, and can still be answered in time by another try.
 */
static bool
unanswered(const operation_t *operation, int64_t now_us)
{
	int64_t patience_us = (int64_t)operation->run->route->target_ms *
	    US_PER_MS * UNANSWERED_PERCENT / 100;

	return operation->run->kind == BP__OPERATION_KIND__READ_ITEM &&
	    operation->transaction == NULL &&
	    operation->tries + 1 < TRIES_MAX &&
	    now_us - operation->sent_us >= patience_us &&
	    now_us < operation->item.deadline_us;
}

/*
 * Look at what runs on a connection: end it when its time is over, and put a
 * read that is not answered to a server again, as far as the budget goes.
 */
static void
conn_expire(dbconn_t *conn, int64_t now_us)
{
	operation_t *operation = conn->operation;

	if (operation == NULL)
		return;
	if (operation->deadline_us <= now_us) {
		dbconn_fail(conn, "a statement took too long");
	} else if (unanswered(operation, now_us) &&
	    retry_spend(&operation->group->pool->retry)) {
		dbconn_abandon(conn);
		operation_retry(operation, BP__VERDICT__OTHER_ERROR,
		    "no answer for half of the target");
	}
}

/*
 * Look at what runs at a server.
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
 * Give up statements whose time is over, wherever they are.
 */
void
operations_expire(group_t *group, int64_t now_us)
{
	GList *l = group->held.head;
	uint32_t i;

	lane_expire(group, group->primary_lane, now_us);
	lane_expire(group, group->replica_lane, now_us);
	while (l != NULL) {
		operation_t *operation = l->data;

		l = l->next;
		if (operation->deadline_us <= now_us)
			operation_fail(operation, BP__VERDICT__IN_DOUBT,
			    "the primary could not be confirmed");
	}
	for (i = 0; i < group->count; i++)
		server_expire(group->servers[i], now_us);
	for (i = 0; i < group->gone->len; i++)
		server_expire(g_ptr_array_index(group->gone, i), now_us);
}

/*
 * End what runs at a server, with the truth.
 */
static void
server_end(server_t *server)
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
		dbconn_fail(conn, "the daemon leaves");
	}
	g_ptr_array_unref(conns);
}

/*
 * The daemon stops: answer everything that is still here with the truth.
 */
void
operations_end(group_t *group)
{
	rankq_t *lanes[] = {group->primary_lane, group->replica_lane};
	rankq_item_t *item;
	uint32_t i;
	GList *l;

	for (i = 0; i < group->count; i++)
		server_end(group->servers[i]);
	for (i = 0; i < group->gone->len; i++)
		server_end(g_ptr_array_index(group->gone, i));
	for (i = 0; i < G_N_ELEMENTS(lanes); i++) {
		while ((item = rankq_pop(lanes[i])) != NULL)
			operation_refuse(item->owner, "the daemon leaves");
	}
	while ((l = group->held.head) != NULL)
		operation_fail(
		    l->data, BP__VERDICT__IN_DOUBT, "the daemon leaves");
}

/*
 * Roll back transactions that nobody has used for too long.
 */
void
transactions_expire(pool_t *pool, int64_t now_us)
{
	int64_t idle_us = (int64_t)pool->transaction_idle_ms * US_PER_MS;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->transactions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		transaction_t *transaction = value;
		msg_t *msg;

		if (transaction->operation != NULL ||
		    now_us - transaction->used_us < idle_us)
			continue;
		report_rolled_back(transaction, now_us);
		msg = msg_new(&bp__transaction_dropped__descriptor);
		((Bp__TransactionDropped *)msg->body)->session =
		    transaction->session;
		task_send(pool->proxy->clients, pool->task, msg);
		transaction_end(transaction);
		return; /* the iterator is void; the rest comes next */
	}
}
