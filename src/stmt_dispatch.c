#include "group.h"

/* Dispatch of queued statements to the databases. */

/*
 * Send a statement on a connection.  From here on the statement may have run.
 */
static void
stmt_send(stmt_t *stmt, conn_t *conn, int64_t now_us)
{
	dbgroup_t *group = stmt->group;
	database_t *db = conn->db;
	Bp__DbStatement request = BP__DB_STATEMENT__INIT;
	bool replica =
	    stmt->backlog == group->replica_backlog && stmt->tx == NULL;

	stmt->state = STMT_SENT;
	stmt->conn = conn;
	stmt->db = db;
	stmt->sent_us = now_us;
	request.action = stmt->statement->action;
	request.access = stmt->access;
	request.statement = stmt->statement->statement;
	request.request_id = stmt->statement->request_id;
	if (stmt->access != BP__ACCESS__WRITE ||
	    stmt->statement->action == BP__ACTION__BEGIN)
		request.request_id = NULL;
	if (stmt->tx != NULL) {
		request.term = stmt->tx->term;
		request.has_in_transaction = 1;
		request.in_transaction = request.action != BP__ACTION__BEGIN;
		if (request.action == BP__ACTION__RUN)
			request.request_id = NULL; /* sent by COMMIT */
	} else {
		request.term =
		    replica ? 0 : group->failover.views[db->index].promised;
	}
	conn->stmt = stmt;
	conn->tag = ++group->ctx->last_call_tag;
	keepalive_reset(&conn->keepalive, now_us);
	db->in_flight++;
	backend_h2.call(
	    conn->backend, BACKEND_STATEMENT, conn->tag, &request.base);
}

/*
 * Send queued statements of open transactions on their connections.
 */
static void
dispatch_txs(dbgroup_t *group, int64_t now_us)
{
	GList *l = group->tx_backlog.head;

	while (l != NULL) {
		stmt_t *stmt = l->data;
		conn_t *conn = stmt->tx->conn;

		l = l->next;
		if (conn == NULL || conn->stmt != NULL ||
		    conn->db->in_flight >= group->config->slots)
			continue;
		g_queue_unlink(&group->tx_backlog, &stmt->link);
		stmt_send(stmt, conn, now_us);
	}
}

/*
 * Create a transaction, which owns the connection that its BEGIN is sent on.
 */
static void
tx_begin(stmt_t *stmt, conn_t *conn, int64_t now_us)
{
	dbgroup_t *group = stmt->group;
	tx_t *tx = g_new0(tx_t, 1);

	tx->id = ++group->ctx->last_tx_id;
	tx->account = g_strdup(stmt->statement->account);
	tx->group = group;
	tx->conn = conn;
	tx->term = group->failover.views[conn->db->index].promised;
	tx->last_used_us = now_us;
	tx->stmt = stmt;
	stmt->tx = tx;
	conn->tx = tx;
	g_hash_table_insert(group->txs, &tx->id, tx);
}

/*
 * Send queued statements to the primary while it has a free slot and an idle
 * connection.
 */
static void
dispatch_to_primary(dbgroup_t *group, int64_t now_us)
{
	int32_t primary = dbgroup_ready_primary(group, now_us);
	database_t *db;
	rankq_item_t *item;
	conn_t *conn;
	stmt_t *stmt;

	if (primary < 0)
		return;
	db = &group->dbs[primary];
	while (db->in_flight < group->config->slots &&
	    rankq_count(group->primary_backlog) > 0) {
		conn = conn_find_idle(db);
		if (conn == NULL)
			return; /* conns_open_min() opens more connections */
		item = rankq_pop(group->primary_backlog);
		stmt = item->owner;
		if (stmt->deadline_us <= now_us) {
			stmt_abort_queued(stmt, BP__REASON__DEADLINE);
			continue;
		}
		if (stmt->statement->action == BP__ACTION__BEGIN) {
			if (g_hash_table_size(group->txs) >=
			    group->conn_budget.max_transactions) {
				stmt_abort_queued(stmt, BP__REASON__OVERLOADED);
				continue;
			}
			tx_begin(stmt, conn, now_us);
			conns_open_min(db, now_us);
		}
		stmt_send(stmt, conn, now_us);
	}
}

/*
 * Compute the position that a replica must have reached to serve a read: at
 * or past the session floor and within the maximum staleness.  Without a
 * session floor it must also have the highest position confirmed so far.
 * Returns false if the history has no position recent enough.
 */
static bool
stmt_min_position(const stmt_t *stmt, int64_t now_us, position_t *min_position)
{
	if (!position_history_lookup(&stmt->group->position_history, now_us,
		stmt->max_age_us, min_position))
		return false;
	if (position_compare(stmt->min_position, *min_position) > 0)
		*min_position = stmt->min_position;
	if (stmt->min_position.term == 0 &&
	    position_compare(stmt->group->acked_position, *min_position) > 0)
		*min_position = stmt->group->acked_position;
	return true;
}

/*
 * Send queued reads to replicas.  A read that no replica can serve is queued
 * for the primary.  A read whose replicas are all busy stays queued; after
 * RANKS such reads no more are tried.
 */
static void
dispatch_to_replicas(dbgroup_t *group, int64_t now_us)
{
	replica_load_t loads[GROUP_DATABASES_MAX];
	int32_t primary = failover_primary(&group->failover);
	uint32_t i, remaining = rankq_count(group->replica_backlog);
	GQueue deferred = G_QUEUE_INIT;
	rankq_item_t *item;

	while (remaining-- > 0 && deferred.length < RANKS) {
		stmt_t *stmt;
		position_t min_position;
		int32_t chosen = REPLICA_NONE;

		item = rankq_pop(group->replica_backlog);
		stmt = item->owner;
		for (i = 0; i < group->db_count; i++) {
			database_t *db = &group->dbs[i];

			loads[i].usable = database_usable(db, now_us);
			loads[i].in_flight = db->in_flight;
			loads[i].slots = conn_find_idle(db) == NULL
			    ? 0
			    : group->config->slots;
		}
		if (stmt_min_position(stmt, now_us, &min_position))
			chosen = replica_choose(group->failover.views, loads,
			    group->db_count, primary, min_position);
		if (chosen >= 0) {
			stmt_send(
			    stmt, conn_find_idle(&group->dbs[chosen]), now_us);
		} else if (chosen == REPLICA_BUSY) {
			g_queue_push_head(&deferred, stmt);
		} else {
			stmt->primary_only = true;
			stmt_queue(stmt, false);
		}
	}
	while (!g_queue_is_empty(&deferred))
		stmt_queue(g_queue_pop_head(&deferred), true);
}

/*
 * Abort queued statements that cannot finish before their deadline, so that
 * they do not take up slots.
 */
void
backlog_expire(dbgroup_t *group, rankq_t *backlog, int64_t now_us)
{
	rankq_item_t *item;

	while ((item = rankq_expired(backlog,
		    now_us + (int64_t)group->mean_service_us)) != NULL) {
		group->ctx->counts[COUNT_EXPIRED]++;
		stmt_abort_queued(item->owner, BP__REASON__DEADLINE);
	}
}

/*
 * Send all queued statements that can be sent now.  Statements of open
 * transactions go first, since they hold connections.
 */
void
stmts_dispatch(dbgroup_t *group, int64_t now_us)
{
	dispatch_txs(group, now_us);
	backlog_expire(group, group->replica_backlog, now_us);
	backlog_expire(group, group->primary_backlog, now_us);
	if (rankq_count(group->replica_backlog) > 0)
		dispatch_to_replicas(group, now_us);
	if (rankq_count(group->primary_backlog) > 0)
		dispatch_to_primary(group, now_us);
}
