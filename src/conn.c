#include "group.h"

#include <string.h>

/* Connections to a database: one for control, the others for statements. */

#define LOG_PART "group"
#define RECONNECT_DELAY_US (50 * US_PER_MS)

static void on_closed(void *, int32_t);
static const backend_callbacks_t conn_callbacks;

/*
 * Start to connect to a database.  Returns NULL on failure.
 */
conn_t *
conn_open(database_t *db, bool control)
{
	group_ctx_t *ctx = db->group->ctx;
	conn_t *conn = g_new0(conn_t, 1);

	conn->db = db;
	conn->is_control = control;
	conn->connect_started_us = clock_us();
	keepalive_reset(&conn->keepalive, conn->connect_started_us);
	conn->backend = backend_h2.open(task_main_context(ctx->task),
	    db->address, db->port, &conn_callbacks, conn);
	if (conn->backend == NULL) {
		g_free(conn);
		return NULL;
	}
	ctx->counts[COUNT_CONNECTIONS_OPENED]++;
	if (control)
		db->control = conn;
	else
		g_ptr_array_add(db->conns, conn);
	return conn;
}

/*
 * Close and free a connection.  The caller takes care of the statement in
 * flight and of the transaction that owns it.
 */
void
conn_close(conn_t *conn)
{
	database_t *db = conn->db;

	if (conn->is_control) {
		db->control = NULL;
		db->probe_pending = false;
	} else {
		g_ptr_array_remove_fast(db->conns, conn);
	}
	if (conn->stmt != NULL)
		db->in_flight--;
	if (conn->tx != NULL)
		conn->tx->conn = NULL;
	backend_h2.close(conn->backend);
	g_free(conn);
}

/*
 * Close a connection that failed.  A statement in flight is retried or
 * finishes with an unknown outcome, and an open transaction is lost.
 */
void
conn_abort(conn_t *conn, const char *reason)
{
	stmt_t *stmt = conn->stmt;
	tx_t *tx = conn->tx;
	database_t *db = conn->db;

	db->group->ctx->counts[COUNT_CONNECTIONS_ABORTED]++;
	log_line(LOG_PART, G_LOG_LEVEL_INFO,
	    "Connection to database %s of %s aborted: %s.", db->name,
	    db->group->key, reason);
	conn_close(conn);
	if (stmt != NULL) {
		stmt->conn = NULL;
		stmt_connection_lost(stmt, BP__REASON__CONNECTION_LOST);
	} else if (tx != NULL && tx->stmt != NULL) {
		stmt_connection_lost(tx->stmt, BP__REASON__TRANSACTION_LOST);
	} else if (tx != NULL) {
		tx_free(tx);
	}
}

/*
 * Handle an opened connection.
 */
static void
on_opened(void *context)
{
	conn_t *conn = context;
	int64_t now_us = clock_us();

	conn->connected = true;
	keepalive_reset(&conn->keepalive, now_us);
	if (conn->is_control)
		conn_request_status(conn);
	else
		stmts_dispatch(conn->db->group, now_us);
}

/*
 * Derive a view of a database from its answer to a statement or to a failover
 * call.  Such answers do not carry the flags primary and leaving.  Both are
 * kept from the previous view, primary only in the same promised term.
 */
static db_view_t
view_from_answer(
    const database_t *db, const Bp__DbAnswer *answer, int64_t requested_us)
{
	const db_view_t *old = &db->group->failover.views[db->index];
	db_view_t view = {0};

	view.primary =
	    old->known && old->primary && old->promised == answer->promised;
	view.leaving = old->known && old->leaving;
	view.promised = answer->promised;
	view.last_entry.term = answer->term;
	view.last_entry.index = answer->position;
	view.requested_us = requested_us;
	return view;
}

/*
 * Process the answer to a status request; status is NULL if the answer could
 * not be decoded.
 */
static void
on_status_answered(conn_t *conn, const Bp__DbStatus *status, int64_t now_us)
{
	database_t *db = conn->db;
	db_view_t view = {0};

	db->probe_pending = false;
	if (status == NULL) {
		conn_abort(conn, "invalid status");
		return;
	}
	view.primary = status->primary;
	view.leaving = status->leaving || db->listed_leaving;
	view.promised = status->promised;
	view.last_entry.term = status->term;
	view.last_entry.index = status->position;
	view.requested_us = db->probe_sent_us;
	dbgroup_status_received(db->group, db, &view, now_us);
}

/*
 * Process the answer to the statement in flight.
 */
static void
on_statement_answered(conn_t *conn, const Bp__DbAnswer *answer, int64_t now_us)
{
	database_t *db = conn->db;
	stmt_t *stmt = conn->stmt;
	db_view_t view;

	if (answer == NULL || !answer->has_term || !answer->has_position ||
	    !answer->has_promised) {
		conn_abort(conn, "invalid answer");
		return;
	}
	conn->stmt = NULL;
	db->in_flight--;
	view = view_from_answer(db, answer, stmt->sent_us);
	if (answer->result == BP__DB_RESULT__OLD_TERM)
		view.primary = false;
	failover_merge_view(&db->group->failover, db->index, &view, now_us);
	stmt_answered(stmt, answer, now_us);
}

/*
 * Process the answer to a fence, promote or follow call; the call's tag is its
 * term.
 */
static void
on_control_answered(conn_t *conn, backend_call_t call, uint64_t term,
    const Bp__DbAnswer *answer, int64_t now_us)
{
	db_view_t view;

	if (answer == NULL || !answer->has_term || !answer->has_position ||
	    !answer->has_promised) {
		conn_abort(conn, "invalid answer");
		return;
	}
	/*
	 * The time at which this call was sent is not recorded, so the view
	 * keeps that of the last status request.  The state in the answer is
	 * newer than that request, never older.
	 */
	view = view_from_answer(conn->db, answer, now_us);
	view.requested_us =
	    conn->db->group->failover.views[conn->db->index].requested_us;
	if (answer->result == BP__DB_RESULT__OK)
		view.primary = call == BACKEND_PROMOTE;
	dbgroup_control_answered(
	    conn->db->group, conn->db, call, term, answer, &view, now_us);
}

/*
 * Handle an answer to a call.  Answers to aborted statements do not arrive,
 * since aborting a statement closes its connection.
 */
static void
on_answered(void *context, backend_call_t call, uint64_t tag,
    const ProtobufCMessage *message)
{
	conn_t *conn = context;
	int64_t now_us = clock_us();

	keepalive_reset(&conn->keepalive, now_us);
	if (call == BACKEND_STATUS)
		on_status_answered(conn, (const Bp__DbStatus *)message, now_us);
	else if (call != BACKEND_STATEMENT)
		on_control_answered(
		    conn, call, tag, (const Bp__DbAnswer *)message, now_us);
	else if (conn->stmt != NULL && conn->tag == tag)
		on_statement_answered(
		    conn, (const Bp__DbAnswer *)message, now_us);
}

/*
 * Handle the database's reply to a ping.
 */
static void
on_ping_acked(void *context)
{
	conn_t *conn = context;

	keepalive_reset(&conn->keepalive, clock_us());
}

/*
 * Handle the end of a connection, or the failure to open it.
 */
static void
on_closed(void *context, int32_t error)
{
	conn_t *conn = context;
	database_t *db = conn->db;
	dbgroup_t *group = db->group;
	bool control = conn->is_control, was_connected = conn->connected;

	(void)error;
	if (!was_connected || control)
		db->reconnect_after_us = clock_us() + RECONNECT_DELAY_US;
	if (conn->stmt != NULL || conn->tx != NULL)
		conn_abort(conn, "connection closed");
	else
		conn_close(conn);
	if (control)
		dbgroup_control_lost(group, db, !was_connected);
}

static const backend_callbacks_t conn_callbacks = {
    on_opened, on_answered, on_ping_acked, on_closed};

/*
 * Send a status request on a control connection, unless one is pending.
 */
void
conn_request_status(conn_t *conn)
{
	database_t *db = conn->db;
	int64_t now_us = clock_us();

	if (!conn->connected || db->probe_pending)
		return;
	db->probe_pending = true;
	db->probe_sent_us = now_us;
	db->group->ctx->counts[COUNT_PROBES]++;
	backend_h2.call(conn->backend, BACKEND_STATUS, 0, NULL);
}

/*
 * Send a status request to find out whether a database holds the position of
 * an unconfirmed statement.
 */
void
database_send_confirm_probe(database_t *db)
{
	if (db->control == NULL || !db->control->connected || db->probe_pending)
		return;
	db->group->ctx->counts[COUNT_CONFIRM_PROBES]++;
	conn_request_status(db->control);
}

/*
 * Find an open connection without a statement, a transaction or a pending
 * ping.  Returns NULL if there is none.
 */
conn_t *
conn_find_idle(database_t *db)
{
	uint32_t i;

	for (i = 0; i < db->conns->len; i++) {
		conn_t *conn = g_ptr_array_index(db->conns, i);

		if (conn->connected && conn->stmt == NULL && conn->tx == NULL &&
		    conn->keepalive.ping_sent_us == 0)
			return conn;
	}
	return NULL;
}

/*
 * Count the connections that are open or opening and that no transaction owns.
 */
static uint32_t
count_conns_without_tx(const database_t *db)
{
	uint32_t i, n = 0;

	for (i = 0; i < db->conns->len; i++)
		n += ((conn_t *)g_ptr_array_index(db->conns, i))->tx == NULL;
	return n;
}

/*
 * Open connections until the minimum for this database is reached, within the
 * maximum for this daemon.
 */
void
conns_open_min(database_t *db, int64_t now_us)
{
	const conn_budget_t *budget = &db->group->conn_budget;

	if (now_us < db->reconnect_after_us || db->control == NULL ||
	    !db->control->connected || database_is_leaving(db))
		return;
	while (count_conns_without_tx(db) < budget->min_open &&
	    db->conns->len < budget->max_open) {
		if (conn_open(db, false) == NULL)
			return;
	}
}

/*
 * Abort a connection that does not open or does not reply to a ping in time,
 * and ping one that has been inactive.
 */
static void
conn_check_timeout(conn_t *conn, int64_t now_us)
{
	const Bp__Timeouts *timeouts =
	    conn->db->group->ctx->daemon->settings->timeouts;
	int64_t keepalive_us = (int64_t)timeouts->silence_ms * US_PER_MS;
	int64_t connect_timeout_us = (int64_t)timeouts->connect_ms * US_PER_MS;

	if (!conn->connected) {
		if (now_us - conn->connect_started_us >= connect_timeout_us) {
			conn->db->reconnect_after_us =
			    now_us + RECONNECT_DELAY_US;
			conn_abort(conn, "connect timed out");
		}
		return;
	}
	switch (keepalive_check(
	    &conn->keepalive, now_us, keepalive_us, keepalive_us)) {
	case KEEPALIVE_PING:
		backend_h2.ping(conn->backend);
		break;
	case KEEPALIVE_CLOSE:
		conn_abort(conn, "no reply to ping");
		break;
	case KEEPALIVE_NONE:
		break;
	}
}

/*
 * Check the timeouts of all connections of a database but the control
 * connection.
 */
void
conns_check_timeouts(database_t *db, int64_t now_us)
{
	uint32_t i = db->conns->len;

	while (i-- > 0) {
		if (i < db->conns->len)
			conn_check_timeout(
			    g_ptr_array_index(db->conns, i), now_us);
	}
}

/*
 * Close the control connection of a database and all connections without a
 * statement or a transaction.
 */
void
database_disconnect(database_t *db)
{
	uint32_t i = db->conns->len;

	while (i-- > 0) {
		conn_t *conn = g_ptr_array_index(db->conns, i);

		if (conn->stmt == NULL && conn->tx == NULL)
			conn_close(conn);
	}
	if (db->control != NULL)
		conn_close(db->control);
}

/*
 * Tell whether a database may get new statements: it has answered probes on its
 * control connection recently and is not leaving.
 */
bool
database_usable(const database_t *db, int64_t now_us)
{
	const Bp__Timeouts *timeouts =
	    db->group->ctx->daemon->settings->timeouts;
	int64_t max_unanswered_us = (int64_t)US_PER_MS *
	    (timeouts->probe_interval_ms + timeouts->probe_timeout_ms);

	return db->control != NULL && db->control->connected &&
	    !database_is_leaving(db) &&
	    now_us - db->group->failover.last_alive_us[db->index] <=
	    max_unanswered_us;
}
