#include "pool.h"

/*
 * Transactions.  A transaction exists in the pool from its first statement on,
 * and has a connection once that statement was sent.
 */

/*
 * Free a transaction that has no statement running.  If it is still open at
 * the database, it is rolled back there.
 */
void
transaction_end(transaction_t *transaction)
{
	dbconn_t *conn = transaction->conn;

	if (conn != NULL) {
		conn->transaction = NULL;
		if (transaction->begun)
			dbconn_rollback(conn);
	}
	g_hash_table_remove(
	    transaction->pool->transactions, &transaction->session);
	g_free(transaction);
}

/*
 * End a transaction that its session has given up.  A statement that is running
 * is left to finish, since it may be a commit that has already taken effect.
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
 * Roll back a transaction that has been idle for too long, and tell the task
 * that it came from.  At most one transaction per call, since ending it
 * invalidates the iterator; the next tick continues.
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
		    now_us - transaction->last_used_us < idle_us)
			continue;
		log_transaction_rolled_back(transaction, now_us);
		msg = msg_new(&bp__transaction_dropped__descriptor);
		((Bp__TransactionDropped *)msg->body)->session =
		    transaction->session;
		task_send(transaction->requester, pool->task, msg);
		transaction_end(transaction);
		return;
	}
}
