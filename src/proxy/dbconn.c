#include "pool.h"

#include <errno.h>
#include <string.h>

/*
 * Connections to the database servers.  Each server has a control connection,
 * for status requests and failover commands, and a pool of others.  Requests
 * are pipelined: answers come in the order of the requests.  An answer is a
 * sequence of messages that ends with REPLY_READY.
 */

#define LOG_PART "pool"

/*
 * A server is crowded when more than this part of its connections is in use.
 * The connections of a machine that lost power stay open at the server for some
 * time, so if all daemons restart at once, the other half must be free for the
 * new connections.
 */
#define CROWDED_PERCENT 50

/*
 * Part of a server's connections that its owners share.  The others are for the
 * coordinator, and for a daemon that takes the place of an owner which lost
 * power.
 */
#define OWNERS_SHARE_PERCENT 85

/* Idle time after which a pool connection to a crowded server is closed. */
#define CROWDED_IDLE_US (400 * US_PER_MS)

/*
 * Limit of a daemon's connections to a server that is not crowded, as a
 * multiple of its share.
 */
#define SHARES_MAX 3

/* Number of prepared statements at which a connection is reset. */
#define PREPARED_MAX 256

static const sock_ops_t sock_ops;

/*
 * Delay the next attempt to connect to a server, after one has failed.
 */
static void
delay_reconnect(server_t *server, bool turned_away, int64_t now_us)
{
	reconnect_failed(&server->reconnect, turned_away,
	    g_rand_double(server->group->pool->rand), now_us);
}

/*
 * Start to open a connection and its session.  Returns NULL if the attempt
 * fails at once.
 */
dbconn_t *
dbconn_open(server_t *server, bool control)
{
	pool_t *pool = server->group->pool;
	dbconn_t *conn = g_new0(dbconn_t, 1);

	conn->server = server;
	conn->control = control;
	conn->last_change_us = clock_us();
	conn->sock = sock_connect(task_main_context(pool->task),
	    server->address, server->port, &sock_ops, conn);
	if (conn->sock == NULL) {
		log_line(LOG_PART, G_LOG_LEVEL_WARNING,
		    "Cannot connect to server %s at %s.", server->id,
		    server->address);
		g_free(conn);
		delay_reconnect(server, false, clock_us());
		return NULL;
	}
	line_buffer_init(&conn->in, pool->wire->line_bytes_max);
	conn->out = g_string_new(NULL);
	conn->expected = g_array_new(FALSE, FALSE, sizeof(expected_answer_t));
	conn->rows = g_ptr_array_new_with_free_func(g_free);
	conn->values =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	conn->prepared =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (control)
		server->control = conn;
	else
		g_ptr_array_add(server->conns, conn);
	pool->wire->open_session(conn->out, server->group->name, server->id);
	dbconn_expect_answer(conn, EXPECT_OPEN, 0);
	dbconn_send(conn);
	return conn;
}

/*
 * Close a connection and free it.  The caller handles the statement and the
 * transaction that used it.
 */
void
dbconn_close(dbconn_t *conn)
{
	server_t *server = conn->server;

	if (conn->control) {
		server->control = NULL;
		server->status_pending = false;
	} else {
		g_ptr_array_remove_fast(server->conns, conn);
	}
	if (conn->operation != NULL)
		conn->operation->conn = NULL;
	server->in_flight -= conn->operation != NULL || conn->abandoned;
	server->outstanding -= conn->expected->len;
	server->unresponsive |= conn->expected->len > 0;
	if (conn->transaction != NULL)
		conn->transaction->conn = NULL;
	sock_free(conn->sock);
	line_buffer_clear(&conn->in);
	g_string_free(conn->out, TRUE);
	g_array_unref(conn->expected);
	result_budget_release(&server->group->pool->results, &conn->rows_bytes);
	g_ptr_array_unref(conn->rows);
	g_hash_table_unref(conn->values);
	g_hash_table_unref(conn->prepared);
	g_free(conn->prepare_error);
	g_free(conn->ack_token);
	g_free(conn->error);
	g_free(conn);
}

/*
 * Close a connection that is broken or out of step with its server, and end or
 * retry the statement that ran on it.
 */
void
dbconn_fail(dbconn_t *conn, const char *why)
{
	operation_t *operation = conn->operation;
	transaction_t *transaction = conn->transaction;
	server_t *server = conn->server;
	int64_t now_us = clock_us();

	server->group->pool->counts[COUNT_CONNECTIONS_LOST]++;
	if (conn->open || server->unreachable_since_us == 0)
		log_connection_lost(conn, why);
	if (!conn->open) {
		delay_reconnect(server, conn->turned_away, now_us);
		server->full = conn->turned_away;
		if (server->unreachable_since_us == 0)
			server->unreachable_since_us = now_us;
	}
	dbconn_close(conn);
	if (operation != NULL)
		operation_lost(operation);
	else if (transaction != NULL && transaction->operation != NULL)
		/* it has run, and its result is held */
		operation_fail(transaction->operation, BP__VERDICT__ABORTED,
		    "the connection to the database was lost");
	else if (transaction != NULL)
		transaction_end(transaction);
}

/*
 * Record that a request was appended to the output and that an answer to it is
 * due.  term: the term that the request names; 0: none.
 */
void
dbconn_expect_answer(dbconn_t *conn, expected_answer_kind_t kind, uint64_t term)
{
	expected_answer_t expect = {kind, term, clock_us()};
	server_t *server = conn->server;

	if (server->outstanding++ == 0)
		server->outstanding_since_us = expect.sent_us;
	g_array_append_val(conn->expected, expect);
}

/*
 * Write the pending output.  An error is reported by the socket's closed
 * callback.
 */
void
dbconn_send(dbconn_t *conn)
{
	if (sock_write(conn->sock, (const uint8_t *)conn->out->str,
		conn->out->len) < 0)
		sock_shutdown(conn->sock);
	g_string_truncate(conn->out, 0);
}

/*
 * Tell whether every variable that is set on a connection has the value that it
 * has in the client's session.  Sets *matching to the number of the session's
 * variables that are already set.
 */
static bool
values_match(
    const dbconn_t *conn, const Bp__RunOperation *run, uint32_t *matching)
{
	size_t i;

	*matching = 0;
	for (i = 0; i < run->n_values; i++) {
		const char *value =
		    g_hash_table_lookup(conn->values, run->values[i]->name);

		*matching +=
		    value != NULL && strcmp(value, run->values[i]->value) == 0;
	}
	return *matching == g_hash_table_size(conn->values);
}

/*
 * Tell whether a connection is open and idle: no statement, transaction,
 * rollback or outstanding answer.
 */
static bool
is_idle(const dbconn_t *conn)
{
	return conn->open && conn->operation == NULL && !conn->rolling_back &&
	    conn->transaction == NULL && conn->expected->len == 0;
}

/*
 * Find an idle connection, preferably one that already has the session's
 * variables.  The control connection also runs statements outside transactions,
 * except during a failover, which needs it for its commands.  Returns NULL if
 * no connection is idle.
 */
dbconn_t *
dbconn_find_idle(server_t *server, const Bp__RunOperation *run)
{
	dbconn_t *candidate = NULL;
	uint32_t i, matching;

	for (i = 0; i < server->conns->len; i++) {
		dbconn_t *conn = g_ptr_array_index(server->conns, i);

		if (!is_idle(conn))
			continue;
		candidate = conn;
		if (values_match(conn, run, &matching) &&
		    matching == run->n_values)
			break;
	}
	if (candidate == NULL && !run->in_transaction &&
	    server->control != NULL && is_idle(server->control) &&
	    server->group->failover.state != FAILOVER_FENCING &&
	    server->group->failover.state != FAILOVER_PROMOTING)
		candidate = server->control;
	return candidate;
}

/*
 * Tell whether a server has a connection, idle or not, on which a statement can
 * run.
 */
bool
dbconns_available(const server_t *server, const Bp__RunOperation *run)
{
	return server->conns->len > 0 ||
	    (server->control != NULL && !run->in_transaction);
}

/*
 * Append the requests that set the session's variables on a connection and
 * prepare its prepared statement.  A connection with other variables, or with
 * too many prepared statements, is reset first.  Returns the name of the
 * prepared statement on this connection, or NULL if there is none to execute.
 * The name is new on the connection, and has no part of the client's text.  So
 * the EXEC that is sent behind a PREPARE runs this statement or none.
 */
static const char *
session_setup_send(dbconn_t *conn, const Bp__RunOperation *run)
{
	const wire_ops_t *wire = conn->server->group->pool->wire;
	char *name, *key;
	uint32_t matching;
	size_t i;

	if (!values_match(conn, run, &matching) ||
	    g_hash_table_size(conn->prepared) >= PREPARED_MAX) {
		wire->reset(conn->out);
		dbconn_expect_answer(conn, EXPECT_SESSION_SETUP, 0);
		g_hash_table_remove_all(conn->values);
		g_hash_table_remove_all(conn->prepared);
	}
	for (i = 0; i < run->n_values; i++) {
		const Bp__SessionValue *setting = run->values[i];
		const char *value =
		    g_hash_table_lookup(conn->values, setting->name);

		if (value != NULL && strcmp(value, setting->value) == 0)
			continue;
		wire->set_value(conn->out, setting->name, setting->value);
		dbconn_expect_answer(conn, EXPECT_SESSION_SETUP, 0);
		g_hash_table_insert(conn->values, g_strdup(setting->name),
		    g_strdup(setting->value));
	}
	if (run->prepared == NULL)
		return NULL;
	/* found by its text, so that sessions with other names for the same
	   statement share it */
	key = g_strdup_printf(
	    "%s%s", run->prepared->writes ? "w_" : "r_", run->prepared->shape);
	name = g_hash_table_lookup(conn->prepared, key);
	if (name != NULL) {
		g_free(key);
		return name;
	}
	name = g_strdup_printf("p%u", ++conn->last_prepared);
	wire->prepare(
	    conn->out, name, run->prepared->writes, run->prepared->shape);
	dbconn_expect_answer(conn, EXPECT_PREPARE, 0);
	g_hash_table_insert(conn->prepared, key, name);
	return name;
}

/*
 * Send a statement, and the session setup that it depends on, in one write.
 * after: the log position that the server must have applied, or NULL.
 */
static void
statement_send(dbconn_t *conn, operation_t *operation, const position_t *after)
{
	const wire_ops_t *wire = conn->server->group->pool->wire;
	const Bp__RunOperation *run = operation->run;
	const char *name = session_setup_send(conn, run);

	if (name == NULL)
		wire->run(conn->out, run->id, after, run->text);
	else
		wire->execute(conn->out, run->id, after, name, run->text);
	dbconn_expect_answer(conn, EXPECT_OPERATION, 0);
	dbconn_send(conn);
}

/*
 * Run a statement on a connection.  The first statement of a transaction is
 * sent once the server has answered the transaction's begin.
 */
void
dbconn_run(dbconn_t *conn, operation_t *operation, const position_t *after)
{
	const wire_ops_t *wire = conn->server->group->pool->wire;

	conn->operation = operation;
	conn->server->in_flight++;
	operation->conn = conn;
	operation->server = conn->server;
	operation->server_id =
	    arena_strdup(operation->msg->arena, conn->server->id);
	operation->applied = conn->server->applied;
	operation->sent_us = clock_us();
	conn->server->group->pool->counts[COUNT_SENT]++;
	conn->server->group->pool->counts[COUNT_SENT_TO_REPLICAS] +=
	    after != NULL;
	if (conn->transaction != NULL && !conn->transaction->begun) {
		session_setup_send(conn, operation->run);
		wire->begin(conn->out, conn->transaction->read_only, after);
		dbconn_expect_answer(conn, EXPECT_BEGIN, 0);
		dbconn_send(conn);
		return;
	}
	statement_send(conn, operation, after);
}

/*
 * Roll back the transaction that is open on a connection.  The answer does not
 * belong to a statement.
 */
void
dbconn_rollback(dbconn_t *conn)
{
	conn->transaction = NULL;
	conn->rolling_back = true;
	conn->last_change_us = clock_us();
	conn->server->group->pool->wire->rollback(conn->out);
	dbconn_expect_answer(conn, EXPECT_ROLLBACK, 0);
	dbconn_send(conn);
}

/*
 * Detach the read that runs on a connection, because it is retried elsewhere.
 * It counts as in flight at the server until its answer comes or the connection
 * is closed.
 */
void
dbconn_abandon(dbconn_t *conn)
{
	conn->operation->conn = NULL;
	conn->operation = NULL;
	conn->abandoned = true;
	conn->last_change_us = clock_us();
}

/*
 * Clear the collected parts of an answer, before the next answer is read.
 */
static void
answer_reset(dbconn_t *conn)
{
	g_ptr_array_set_size(conn->rows, 0);
	result_budget_release(
	    &conn->server->group->pool->results, &conn->rows_bytes);
	conn->rows_fit = RESULT_FITS;
	g_clear_pointer(&conn->ack_token, g_free);
	g_clear_pointer(&conn->error, g_free);
	conn->verdict = BP__VERDICT__SUCCEEDED;
}

/*
 * Handle the answer to the request that opens the session: the connection is
 * ready for use.  The server may have started since the connection was begun,
 * so that what it knows is counted from here.
 */
static void
on_session_opened(dbconn_t *conn, int64_t now_us)
{
	server_t *server = conn->server;

	conn->open = true;
	conn->last_change_us = now_us;
	server->group->pool->counts[COUNT_CONNECTIONS_OPENED]++;
	reconnect_succeeded(&server->reconnect);
	if (server->denied)
		monitor_denial_over(server);
	server->full = false;
	if (server->unreachable_since_us != 0)
		log_server_reached(server, now_us);
	server->unreachable_since_us = 0;
	if (conn->control) {
		server->control_us = now_us;
		monitor_request_status(server, now_us);
	} else {
		dispatch(server->group, now_us);
	}
}

/*
 * Handle a server's status: the answer to a status request or to a failover
 * command.
 */
static void
on_status(dbconn_t *conn, const expected_answer_t *expect, position_t position)
{
	server_status_t status;

	if (expect->kind == EXPECT_STATUS)
		conn->server->status_pending = false;
	if (conn->error == NULL && conn->rows->len == 1 &&
	    conn->server->group->pool->wire->read_status(
		g_ptr_array_index(conn->rows, 0), &status))
		monitor_status_received(
		    conn->server, &status, expect, position);
}

/*
 * Handle the begin of a transaction at the database: send its first statement,
 * unless the database has been drained meanwhile.
 */
static void
on_begun(dbconn_t *conn, position_t position, const expected_answer_t *expect,
    int64_t now_us)
{
	operation_t *operation = conn->operation;

	operation->transaction->begun = true;
	if (!operation->transaction->read_only)
		group_primary_led(conn->server, position, expect->sent_us);
	if (!server_drained(conn->server, now_us)) {
		statement_send(conn, operation, NULL);
		return;
	}
	conn->operation = NULL;
	operation->conn = NULL;
	conn->server->in_flight--;
	operation_refuse_drained(operation);
}

/*
 * Handle a complete answer.  ready: the message that ended the answer.  Returns
 * false if the connection was closed.
 */
static bool
on_answer(dbconn_t *conn, const reply_t *ready, int64_t now_us)
{
	server_t *server = conn->server;
	operation_t *operation = conn->operation;
	expected_answer_t expect;

	if (conn->expected->len == 0) {
		dbconn_fail(conn, "unexpected answer");
		return false;
	}
	expect = g_array_index(conn->expected, expected_answer_t, 0);
	g_array_remove_index(conn->expected, 0);
	server->outstanding--;
	server->outstanding_since_us = now_us;
	server->unresponsive = false;
	monitor_reply_received(server, ready->position, now_us);
	if (position_compare(ready->position, server->applied) > 0)
		server->applied = ready->position;
	server->applied_us = now_us;
	switch (expect.kind) {
	case EXPECT_OPEN:
		on_session_opened(conn, now_us);
		break;
	case EXPECT_SESSION_SETUP:
		if (conn->error != NULL) {
			dbconn_fail(conn, conn->error);
			return false;
		}
		break;
	case EXPECT_PREPARE:
		if (conn->error == NULL)
			break;
		g_free(conn->prepare_error);
		conn->prepare_error = g_strdup(conn->error);
		g_hash_table_remove_all(conn->prepared);
		break;
	case EXPECT_BEGIN:
		if (operation == NULL)
			break;
		if (conn->error == NULL) {
			on_begun(conn, ready->position, &expect, now_us);
			break;
		}
		/* FALLTHROUGH */
	case EXPECT_OPERATION:
		if (operation == NULL) {
			server->in_flight -= conn->abandoned;
			conn->abandoned = false;
			conn->last_change_us = now_us;
			break;
		}
		if (conn->error == NULL &&
		    operation->run->kind == BP__OPERATION_KIND__WRITE_ITEM)
			group_primary_led(
			    server, ready->position, expect.sent_us);
		group_sample_primary(server, ready->position, expect.sent_us);
		operation->executed_position = ready->position;
		conn->operation = NULL;
		operation->conn = NULL;
		server->in_flight--;
		conn->last_change_us = now_us;
		operation_answered(operation, conn, now_us);
		g_clear_pointer(&conn->prepare_error, g_free);
		return true;
	case EXPECT_ROLLBACK:
		conn->rolling_back = false;
		conn->last_change_us = now_us;
		break;
	default:
		on_status(conn, &expect, ready->position);
		break;
	}
	return true;
}

/*
 * Note that a server has turned a connection away, or may have.  It may have
 * reached its connection limit.
 */
static void
note_turned_away(dbconn_t *conn, int64_t now_us)
{
	server_t *server = conn->server;

	conn->turned_away = true;
	server->outstanding -= conn->expected->len;
	server->outstanding_since_us = now_us;
	server->unresponsive = false;
	g_array_set_size(conn->expected, 0);
	server->connections = server->group->connections_max;
}

/*
 * Keep a row of an answer.  If the rows become too large, drop them and those
 * that follow.
 */
static void
row_add(dbconn_t *conn, const char *row, uint32_t line_bytes)
{
	pool_t *pool = conn->server->group->pool;
	const operation_t *operation = conn->operation;
	uint64_t row_bytes = line_bytes + ROW_OVERHEAD_BYTES;
	bool forwarded =
	    operation != NULL && operation->msg->from == pool->proxy->peers;

	if (conn->rows_fit != RESULT_FITS)
		return;
	conn->rows_fit =
	    result_budget_check(&pool->results, conn->rows_bytes, row_bytes,
		forwarded ? FORWARDED_RESULT_BYTES_MAX : RESULT_BYTES_MAX);
	if (conn->rows_fit != RESULT_FITS) {
		conn->discarded_bytes = conn->rows_bytes + row_bytes;
		g_ptr_array_set_size(conn->rows, 0);
		result_budget_release(&pool->results, &conn->rows_bytes);
		return;
	}
	g_ptr_array_add(conn->rows, g_strdup(row));
	conn->rows_bytes += row_bytes;
	result_budget_hold(&pool->results, row_bytes);
}

/*
 * Handle one line from a server.  An error before the session is open means
 * that the server refuses the connection.  Returns false if the connection was
 * closed.
 */
static bool
on_line(dbconn_t *conn, char *line, uint32_t size_bytes, int64_t now_us)
{
	reply_t reply;
	bool still_open = true;

	conn->server->group->pool->wire->read_reply(line, size_bytes, &reply);
	switch (reply.kind) {
	case REPLY_ROW:
		row_add(conn, reply.text, size_bytes);
		break;
	case REPLY_DONE:
		g_free(conn->ack_token);
		conn->ack_token = g_strdup(reply.text);
		break;
	case REPLY_ERROR:
		g_free(conn->error);
		conn->error = g_strdup(reply.text);
		conn->verdict = reply.verdict;
		if (conn->open)
			break;
		if (reply.verdict == BP__VERDICT__WRONG_SERVER) {
			monitor_denied(conn->server);
			dbconn_fail(conn, reply.text);
			return false;
		}
		note_turned_away(conn, now_us);
		monitor_turned_away(conn->server, reply.position, now_us);
		dbconn_fail(conn, reply.text);
		return false;
	case REPLY_READY:
		still_open = on_answer(conn, &reply, now_us);
		if (still_open)
			answer_reset(conn);
		break;
	case REPLY_UNKNOWN:
		dbconn_fail(conn, "answer cannot be read");
		return false;
	}
	return still_open;
}

/*
 * Handle bytes received from a server.
 */
static void
on_received(void *context, const uint8_t *bytes, uint32_t size_bytes)
{
	dbconn_t *conn = context;
	group_t *group = conn->server->group;
	int64_t now_us = clock_us();
	uint32_t line_bytes;
	char *line;

	line_buffer_append(&conn->in, bytes, size_bytes);
	while ((line = line_buffer_next(&conn->in, &line_bytes)) != NULL) {
		if (!on_line(conn, line, line_bytes, now_us)) {
			dispatch(group, now_us);
			return;
		}
	}
	if (line_buffer_too_long(&conn->in))
		dbconn_fail(conn, "line of an answer too long");
	dispatch(group, now_us);
}

/*
 * Handle the end of a connection, or its failure.  If it ends before it has
 * opened the session, the server may have turned it away: its answer may be
 * lost with the reset of the connection.
 */
static void
on_closed(void *context, int32_t error)
{
	dbconn_t *conn = context;
	server_t *server = conn->server;
	bool refused = !conn->open && error == -ECONNREFUSED;
	group_t *group = server->group;

	if (!conn->open && (error == -ECONNRESET || error == -EPIPE) &&
	    monitor_connection_reset(server, clock_us()))
		note_turned_away(conn, clock_us());
	dbconn_fail(conn, g_strerror(-error));
	if (refused)
		monitor_connection_refused(server);
	dispatch(group, clock_us());
}

static const sock_ops_t sock_ops = {NULL, on_received, on_closed};

/*
 * Return this daemon's share of a server's connections, including the control
 * connection.
 */
uint32_t
dbconns_share(const server_t *server)
{
	const group_t *group = server->group;
	uint32_t connections = group->shared
	    ? group->connections_max * OWNERS_SHARE_PERCENT / 100
	    : group->connections_max;

	return MAX(connections / group->owners, 2);
}

/*
 * Tell whether so many of a server's connections are in use that daemons which
 * restart after a power loss might not get theirs.
 */
static bool
is_crowded(const server_t *server)
{
	return server->connections * 100 >
	    server->group->connections_max * CROWDED_PERCENT;
}

/*
 * Open connections until the wanted number is open or opening: up to this
 * daemon's share in any case, above the share only while the server is not
 * crowded.
 */
void
dbconns_grow(server_t *server, uint32_t wanted, int64_t now_us)
{
	uint32_t share = dbconns_share(server) - 1;

	if (!reconnect_allowed(&server->reconnect, now_us) || server->removed)
		return;
	wanted = MIN(wanted, share * SHARES_MAX);
	while (server->conns->len < wanted &&
	    (server->conns->len < share || !is_crowded(server))) {
		if (dbconn_open(server, false) == NULL)
			return;
		server->connections++;
	}
}

/*
 * Tell whether an idle connection is to be closed: the server was removed, or
 * is crowded while the connection has been idle for some time.  Where owners
 * share the connections, they keep their part, and a daemon that is no owner,
 * or is leaving, makes room for them.
 */
static bool
is_superfluous(const dbconn_t *conn, int64_t now_us)
{
	const server_t *server = conn->server;
	const group_t *group = server->group;

	if (conn->operation != NULL || conn->transaction != NULL ||
	    conn->expected->len > 0)
		return false;
	if (server->removed)
		return true;
	if (now_us - conn->last_change_us < CROWDED_IDLE_US)
		return false;
	if (!group->shared)
		return is_crowded(server);
	return !group->owned || group->pool->leaving ||
	    (is_crowded(server) && server->conns->len >= dbconns_share(server));
}

/*
 * Check the connections to a server.  Those that do not open or answer in time
 * fail; idle connections are closed if the server was removed or is crowded.
 */
void
dbconns_tick(server_t *server, int64_t now_us)
{
	const Bp__ProxyTimeouts *timeouts =
	    server->group->pool->proxy->settings->timeouts;
	int64_t connect_us = (int64_t)timeouts->connect_ms * US_PER_MS;
	uint32_t i = server->conns->len;

	while (i-- > 0) {
		dbconn_t *conn;

		if (i >= server->conns->len)
			continue;
		conn = g_ptr_array_index(server->conns, i);
		if ((!conn->open || conn->rolling_back || conn->abandoned) &&
		    now_us - conn->last_change_us >= connect_us)
			dbconn_fail(conn,
			    conn->open ? "no answer in time"
				       : "connection not opened in time");
		else if (is_superfluous(conn, now_us))
			dbconn_close(conn);
	}
}
