#include "operation_internal.h"

/*
 * Statements whose time is over, that take too long at their server, or whose
 * group is gone.
 */

/* Extension of a queued statement's deadline while its primary changes. */
#define FAILOVER_EXTENSION_US (50 * US_PER_MS)

/*
 * A read that has run for this percentage of the target latency is retried on
 * another server.
 */
#define OVERDUE_PERCENT 50

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
