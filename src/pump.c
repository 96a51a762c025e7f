#include "group.h"

/* What goes out to the databases, and when. */

/*
 * Hand a statement to a connection.  From here on it may have run.
 */
static void
run_send(run_t *run, conn_t *conn, int64_t now_us)
{
	dbgroup_t *group = run->group;
	database_t *db = conn->db;
	Bp__DbStatement ask = BP__DB_STATEMENT__INIT;
	bool replica = run->lane == group->replica_lane && run->tx == NULL;

	run->state = RUN_SENT;
	run->conn = conn;
	run->db = db;
	run->sent_us = now_us;
	ask.action = run->statement->action;
	ask.access = run->access;
	ask.statement = run->statement->statement;
	ask.request_id = run->statement->request_id;
	if (run->access != BP__ACCESS__WRITE ||
	    run->statement->action == BP__ACTION__BEGIN)
		ask.request_id = NULL;
	if (run->tx != NULL) {
		ask.term = run->tx->term;
		ask.has_in_transaction = 1;
		ask.in_transaction = ask.action != BP__ACTION__BEGIN;
		if (ask.action == BP__ACTION__RUN)
			ask.request_id = NULL; /* it goes with the commit */
	} else {
		ask.term =
		    replica ? 0 : group->promote.views[db->index].promised;
	}
	conn->run = run;
	conn->tag = ++group->role->next_tag;
	silence_heard(&conn->silence, now_us);
	db->in_flight++;
	backend_h2.call(conn->backend, BACKEND_STATEMENT, conn->tag, &ask.base);
}

/*
 * Send statements of open transactions, which hold connections, first.
 */
static void
pump_txs(dbgroup_t *group, int64_t now_us)
{
	GList *l = group->tx_lane.head;

	while (l != NULL) {
		run_t *run = l->data;
		conn_t *conn = run->tx->conn;

		l = l->next;
		if (conn == NULL || conn->run != NULL ||
		    conn->db->in_flight >= group->config->slots)
			continue;
		g_queue_unlink(&group->tx_lane, &run->link);
		run_send(run, conn, now_us);
	}
}

/*
 * Tie a new transaction to the connection that its BEGIN goes out on.
 */
static void
tx_begin(run_t *run, conn_t *conn, int64_t now_us)
{
	dbgroup_t *group = run->group;
	tx_t *tx = g_new0(tx_t, 1);

	tx->id = ++group->role->next_tx;
	tx->account = g_strdup(run->statement->account);
	tx->group = group;
	tx->conn = conn;
	tx->term = group->promote.views[conn->db->index].promised;
	tx->used_us = now_us;
	tx->run = run;
	run->tx = tx;
	conn->tx = tx;
	g_hash_table_insert(group->txs, &tx->id, tx);
}

/*
 * Send what waits for the primary while it has slots and connections.
 */
static void
pump_primary(dbgroup_t *group, int64_t now_us)
{
	int32_t primary = dbgroup_primary(group, now_us);
	database_t *db;
	rankq_item_t *item;
	conn_t *conn;
	run_t *run;

	if (primary < 0)
		return;
	db = &group->dbs[primary];
	while (db->in_flight < group->config->slots &&
	    rankq_count(group->primary_lane) > 0) {
		conn = conn_idle(db);
		if (conn == NULL)
			return; /* conns_keep_warm() opens more */
		item = rankq_pop(group->primary_lane);
		run = item->owner;
		if (run->deadline_us <= now_us) {
			run_give_up(run, BP__REASON__DEADLINE);
			continue;
		}
		if (run->statement->action == BP__ACTION__BEGIN) {
			if (g_hash_table_size(group->txs) >=
			    group->budget.transactions) {
				run_give_up(run, BP__REASON__OVERLOADED);
				continue;
			}
			tx_begin(run, conn, now_us);
			conns_keep_warm(db, now_us);
		}
		run_send(run, conn, now_us);
	}
}

/*
 * The position a replica needs to serve a read: past the session's floor,
 * and young enough.  Returns false when no replica can be shown to be.
 */
static bool
run_needs(const run_t *run, int64_t now_us, position_t *needed)
{
	if (!samples_needed(
		&run->group->samples, now_us, run->max_age_us, needed))
		return false;
	if (position_compare(run->needed, *needed) > 0)
		*needed = run->needed;
	if (run->needed.term == 0 &&
	    position_compare(run->group->acked, *needed) > 0)
		*needed = run->group->acked;
	return true;
}

/*
 * Send reads that a replica may serve; what none can goes to the primary.
 */
static void
pump_replicas(dbgroup_t *group, int64_t now_us)
{
	replica_load_t loads[GROUP_DATABASES_MAX];
	int32_t primary = promote_primary(&group->promote);
	uint32_t i, n = rankq_count(group->replica_lane);
	GQueue busy = G_QUEUE_INIT;
	rankq_item_t *item;

	while (n-- > 0 && busy.length < RANKS) {
		run_t *run;
		position_t needed;
		int32_t chosen = REPLICA_NONE;

		item = rankq_pop(group->replica_lane);
		run = item->owner;
		for (i = 0; i < group->count; i++) {
			database_t *db = &group->dbs[i];

			loads[i].usable = database_usable(db, now_us);
			loads[i].in_flight = db->in_flight;
			loads[i].slots =
			    conn_idle(db) == NULL ? 0 : group->config->slots;
		}
		if (run_needs(run, now_us, &needed))
			chosen = replica_choose(group->promote.views, loads,
			    group->count, primary, needed);
		if (chosen >= 0) {
			run_send(run, conn_idle(&group->dbs[chosen]), now_us);
		} else if (chosen == REPLICA_BUSY) {
			g_queue_push_head(&busy, run);
		} else {
			run->primary_only = true;
			run_queue(run, false);
		}
	}
	while (!g_queue_is_empty(&busy))
		run_queue(g_queue_pop_head(&busy), true);
}

/*
 * Give up what waits in a lane and could not end before its deadline any
 * more, so that no slot is spent on it.
 */
void
lane_expire(dbgroup_t *group, rankq_t *lane, int64_t now_us)
{
	rankq_item_t *item;

	while ((item = rankq_expired(
		    lane, now_us + (int64_t)group->service_us)) != NULL) {
		group->role->counts[COUNT_EXPIRED]++;
		run_give_up(item->owner, BP__REASON__DEADLINE);
	}
}

/*
 * Send everything that can go out now.
 */
void
runs_pump(dbgroup_t *group, int64_t now_us)
{
	pump_txs(group, now_us);
	lane_expire(group, group->replica_lane, now_us);
	lane_expire(group, group->primary_lane, now_us);
	if (rankq_count(group->replica_lane) > 0)
		pump_replicas(group, now_us);
	if (rankq_count(group->primary_lane) > 0)
		pump_primary(group, now_us);
}
