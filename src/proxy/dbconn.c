#include "pool.h"

#include <string.h>

/* One connection to a database. */

#define PART "pool"

/* A server that refused a connection is left alone for this long. */
#define REOPEN_US (100 * US_PER_MS)

/*
 * Connections of machines that lost power stay at the server for some time, so
 * that all daemons can only come back at once while less than so much of the
 * server's connections is in use.
 */
#define CROWDED_PERCENT 50

/* What is open beside the control connection to a crowded server goes when
 * idle. */
#define IDLE_US (400 * US_PER_MS)

/*
 * While a server is not crowded, a daemon may have so many times its share.
 */
#define SHARES_MAX 3

/* Prepared statements of one connection before it is reset. */
#define PREPARED_MAX 256

static const sock_ops_t sock_ops;

/*
 * Begin to open a connection.  Returns NULL when that is not possible now.
 */
dbconn_t *
dbconn_open(server_t *server, bool control)
{
	pool_t *pool = server->group->pool;
	dbconn_t *conn = g_new0(dbconn_t, 1);

	conn->server = server;
	conn->control = control;
	conn->began_us = clock_us();
	conn->sock = sock_connect(task_context(pool->task), server->address,
	    server->port, &sock_ops, conn);
	if (conn->sock == NULL) {
		log_line(PART, G_LOG_LEVEL_WARNING,
		    "No connection to server %s at %s can be made.", server->id,
		    server->address);
		g_free(conn);
		server->reopen_us = clock_us() + REOPEN_US;
		return NULL;
	}
	lines_init(&conn->in, pool->wire->line_bytes_max);
	conn->out = g_string_new(NULL);
	conn->expected = g_array_new(FALSE, FALSE, sizeof(expect_t));
	conn->rows = g_ptr_array_new_with_free_func(g_free);
	conn->values =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	conn->prepared =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (control)
		server->control = conn;
	else
		g_ptr_array_add(server->conns, conn);
	pool->wire->open_session(conn->out, server->group->name, server->id);
	dbconn_expect(conn, EXPECT_OPEN, 0);
	dbconn_send(conn);
	return conn;
}

/*
 * Close a connection.  What ran on it has been dealt with.
 */
void
dbconn_close(dbconn_t *conn)
{
	server_t *server = conn->server;

	if (conn->control) {
		server->control = NULL;
		server->status_open = false;
	} else {
		g_ptr_array_remove_fast(server->conns, conn);
	}
	if (conn->operation != NULL)
		conn->operation->conn = NULL;
	server->in_flight -= conn->operation != NULL || conn->abandoned;
	server->unanswered -= conn->expected->len;
	server->silent |= conn->expected->len > 0;
	if (conn->transaction != NULL)
		conn->transaction->conn = NULL;
	sock_free(conn->sock);
	lines_clear(&conn->in);
	g_string_free(conn->out, TRUE);
	g_array_unref(conn->expected);
	g_ptr_array_unref(conn->rows);
	g_hash_table_unref(conn->values);
	g_hash_table_unref(conn->prepared);
	g_free(conn->proof);
	g_free(conn->error);
	g_free(conn);
}

/*
 * End a connection that is broken or can no longer be trusted, and tell what
 * ran on it.
 */
void
dbconn_fail(dbconn_t *conn, const char *why)
{
	operation_t *operation = conn->operation;
	transaction_t *transaction = conn->transaction;
	server_t *server = conn->server;
	int64_t now_us = clock_us();

	server->group->pool->counts[COUNT_CONNECTIONS_LOST]++;
	if (conn->open || server->lost_us == 0)
		report_connection(conn, why);
	if (!conn->open) {
		server->reopen_us = now_us + REOPEN_US;
		if (server->lost_us == 0)
			server->lost_us = now_us;
	}
	dbconn_close(conn);
	if (operation != NULL)
		operation_lost(operation);
	else if (transaction != NULL)
		transaction_end(transaction);
}

/*
 * Note that one more answer will come.
 */
void
dbconn_expect(dbconn_t *conn, expect_kind_t kind, uint64_t term)
{
	expect_t expect = {kind, term, clock_us()};
	server_t *server = conn->server;

	if (server->unanswered++ == 0)
		server->unanswered_us = expect.sent_us;
	g_array_append_val(conn->expected, expect);
}

/*
 * Write what was gathered.  An error shows when the stream is read.
 */
void
dbconn_send(dbconn_t *conn)
{
	if (sock_write(conn->sock, (const uint8_t *)conn->out->str,
		conn->out->len) < 0)
		sock_break(conn->sock);
	g_string_truncate(conn->out, 0);
}

/*
 * Whether a connection has exactly the session's values, or none that the
 * session lacks.
 */
static bool
values_fit(const dbconn_t *conn, const Bp__RunOperation *run, uint32_t *same)
{
	size_t i;

	*same = 0;
	for (i = 0; i < run->n_values; i++) {
		const char *value =
		    g_hash_table_lookup(conn->values, run->values[i]->name);

		*same +=
		    value != NULL && strcmp(value, run->values[i]->value) == 0;
	}
	return *same == g_hash_table_size(conn->values);
}

/*
 * Tell whether nothing is on an open connection.
 */
static bool
dbconn_free(const dbconn_t *conn)
{
	return conn->open && conn->operation == NULL && !conn->ending &&
	    conn->transaction == NULL && conn->expected->len == 0;
}

/*
 * An open connection with nothing on it, or NULL; best one that needs no
 * reset for the session.  The control connection carries single statements,
 * too, unless a change of primary needs it.
 */
dbconn_t *
dbconn_idle(server_t *server, const Bp__RunOperation *run)
{
	dbconn_t *best = NULL;
	uint32_t i, same;

	for (i = 0; i < server->conns->len; i++) {
		dbconn_t *conn = g_ptr_array_index(server->conns, i);

		if (!dbconn_free(conn))
			continue;
		best = conn;
		if (values_fit(conn, run, &same) && same == run->n_values)
			break;
	}
	if (best == NULL && !run->in_transaction && server->control != NULL &&
	    dbconn_free(server->control) &&
	    server->group->promote.state != PROMOTE_FENCING &&
	    server->group->promote.state != PROMOTE_RAISING)
		best = server->control;
	return best;
}

/*
 * Bring the values and the prepared statement of a session to a connection.
 * Returns the name of the prepared statement there, or NULL.
 */
static const char *
context_send(dbconn_t *conn, const Bp__RunOperation *run)
{
	const wire_ops_t *wire = conn->server->group->pool->wire;
	const char *name = NULL;
	char *key;
	uint32_t same;
	size_t i;

	if (!values_fit(conn, run, &same) ||
	    g_hash_table_size(conn->prepared) >= PREPARED_MAX) {
		wire->reset(conn->out);
		dbconn_expect(conn, EXPECT_CONTEXT, 0);
		g_hash_table_remove_all(conn->values);
		g_hash_table_remove_all(conn->prepared);
	}
	for (i = 0; i < run->n_values; i++) {
		const Bp__SessionValue *to = run->values[i];
		const char *value = g_hash_table_lookup(conn->values, to->name);

		if (value != NULL && strcmp(value, to->value) == 0)
			continue;
		wire->set_value(conn->out, to->name, to->value);
		dbconn_expect(conn, EXPECT_CONTEXT, 0);
		g_hash_table_insert(
		    conn->values, g_strdup(to->name), g_strdup(to->value));
	}
	if (run->prepared == NULL)
		return NULL;
	/* one name for one shape, whatever the sessions call it */
	key = g_strdup_printf(
	    "%s%s", run->prepared->writes ? "w_" : "r_", run->prepared->shape);
	if (!g_hash_table_lookup_extended(
		conn->prepared, key, (gpointer *)&name, NULL)) {
		wire->prepare(conn->out, key, run->prepared->writes,
		    run->prepared->shape);
		dbconn_expect(conn, EXPECT_CONTEXT, 0);
		g_hash_table_add(conn->prepared, key);
		return key;
	}
	g_free(key);
	return name;
}

/*
 * Send a statement, with what it needs before it, in one write.  after:
 * NULL, or the position that the log must have.
 */
static void
run_send(dbconn_t *conn, operation_t *operation, const position_t *after)
{
	const wire_ops_t *wire = conn->server->group->pool->wire;
	const Bp__RunOperation *run = operation->run;
	const char *name = context_send(conn, run);

	if (name == NULL)
		wire->run(conn->out, run->id, after, run->text);
	else
		wire->execute(conn->out, run->id, after, name, run->text);
	dbconn_expect(conn, EXPECT_OPERATION, 0);
	dbconn_send(conn);
}

/*
 * Hand a statement to a connection: from now on it may run.  The first of a
 * transaction waits until the transaction has begun there.
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
		context_send(conn, operation->run);
		wire->begin(conn->out, conn->transaction->read_only, after);
		dbconn_expect(conn, EXPECT_BEGIN, 0);
		dbconn_send(conn);
		return;
	}
	run_send(conn, operation, after);
}

/*
 * End the transaction of a connection at the database; nobody waits for it.
 */
void
dbconn_roll_back(dbconn_t *conn)
{
	conn->transaction = NULL;
	conn->ending = true;
	conn->began_us = clock_us();
	conn->server->group->pool->wire->rollback(conn->out);
	dbconn_expect(conn, EXPECT_ROLLBACK, 0);
	dbconn_send(conn);
}

/*
 * Nobody waits any longer for the read on a connection.  It counts as running
 * there until its answer comes, or the connection is given up.
 */
void
dbconn_abandon(dbconn_t *conn)
{
	conn->operation->conn = NULL;
	conn->operation = NULL;
	conn->abandoned = true;
	conn->began_us = clock_us();
}

/*
 * Forget the answer that was read.
 */
static void
answer_clear(dbconn_t *conn)
{
	g_ptr_array_set_size(conn->rows, 0);
	g_clear_pointer(&conn->proof, g_free);
	g_clear_pointer(&conn->error, g_free);
	conn->verdict = BP__VERDICT__SUCCEEDED;
}

/*
 * The session at the database is open, or was refused.
 */
static void
on_opened(dbconn_t *conn, int64_t now_us)
{
	server_t *server = conn->server;

	conn->open = true;
	conn->began_us = now_us;
	server->group->pool->counts[COUNT_CONNECTIONS_OPENED]++;
	if (server->lost_us != 0)
		report_reached(server, now_us);
	server->lost_us = 0;
	if (conn->control)
		watch_ask(server, now_us);
	else
		dispatch(server->group, now_us);
}

/*
 * A server told its state, by itself or as it carried out an order.
 */
static void
on_status(dbconn_t *conn, const expect_t *expect, position_t position)
{
	server_status_t status;

	if (expect->kind == EXPECT_STATUS)
		conn->server->status_open = false;
	if (conn->error == NULL && conn->rows->len == 1 &&
	    conn->server->group->pool->wire->read_status(
		g_ptr_array_index(conn->rows, 0), &status))
		watch_status(conn->server, &status, expect, position);
}

/*
 * A whole answer was read.  Returns false when the connection is gone.
 */
static bool
on_answer(dbconn_t *conn, const reply_t *ready, int64_t now_us)
{
	server_t *server = conn->server;
	operation_t *operation = conn->operation;
	expect_t expect;

	if (conn->expected->len == 0) {
		dbconn_fail(conn, "an answer that nobody waits for");
		return false;
	}
	expect = g_array_index(conn->expected, expect_t, 0);
	g_array_remove_index(conn->expected, 0);
	server->unanswered--;
	server->unanswered_us = now_us;
	server->silent = false;
	watch_alive(server, ready->position, now_us);
	if (position_compare(ready->position, server->applied) > 0)
		server->applied = ready->position;
	server->applied_us = now_us;
	switch (expect.kind) {
	case EXPECT_OPEN:
		on_opened(conn, now_us);
		break;
	case EXPECT_CONTEXT:
		if (conn->error != NULL) {
			dbconn_fail(conn, conn->error);
			return false;
		}
		break;
	case EXPECT_BEGIN:
		if (operation == NULL)
			break;
		if (conn->error == NULL) {
			operation->transaction->begun = true;
			run_send(conn, operation, NULL);
			break;
		}
		/* FALLTHROUGH */
	case EXPECT_OPERATION:
		if (operation == NULL) {
			server->in_flight -= conn->abandoned;
			conn->abandoned = false;
			conn->began_us = now_us;
			break;
		}
		watch_primary_answered(server, ready->position, expect.sent_us);
		operation->ran_at = ready->position;
		conn->operation = NULL;
		operation->conn = NULL;
		server->in_flight--;
		conn->began_us = now_us;
		operation_answered(operation, conn, now_us);
		return true;
	case EXPECT_ROLLBACK:
		conn->ending = false;
		conn->began_us = now_us;
		break;
	default:
		on_status(conn, &expect, ready->position);
		break;
	}
	return true;
}

/*
 * One line of a database.  Returns false when the connection is gone.
 */
static bool
on_line(dbconn_t *conn, char *line, int64_t now_us)
{
	reply_t reply;
	bool stays = true;

	conn->server->group->pool->wire->read_reply(line, &reply);
	switch (reply.kind) {
	case REPLY_ROW:
		g_ptr_array_add(conn->rows, g_strdup(reply.text));
		break;
	case REPLY_DONE:
		g_free(conn->proof);
		conn->proof = g_strdup(reply.text);
		break;
	case REPLY_ERROR:
		g_free(conn->error);
		conn->error = g_strdup(reply.text);
		conn->verdict = reply.verdict;
		if (conn->open)
			break;
		conn->server->unanswered -= conn->expected->len;
		conn->server->unanswered_us = now_us;
		conn->server->silent = false;
		g_array_set_size(conn->expected, 0);
		watch_alive(conn->server, reply.position, now_us);
		if (reply.verdict == BP__VERDICT__TOO_MANY)
			conn->server->connections =
			    conn->server->group->connections_max;
		dbconn_fail(conn, reply.text);
		return false;
	case REPLY_READY:
		stays = on_answer(conn, &reply, now_us);
		if (stays)
			answer_clear(conn);
		break;
	case REPLY_UNKNOWN:
		dbconn_fail(conn, "an answer cannot be read");
		return false;
	}
	return stays;
}

/*
 * Bytes have come.
 */
static void
on_received(void *context, const uint8_t *bytes, uint32_t size_bytes)
{
	dbconn_t *conn = context;
	group_t *group = conn->server->group;
	int64_t now_us = clock_us();
	char *line;

	lines_add(&conn->in, bytes, size_bytes);
	while ((line = lines_next(&conn->in)) != NULL) {
		if (!on_line(conn, line, now_us)) {
			dispatch(group, now_us);
			return;
		}
	}
	if (lines_too_long(&conn->in))
		dbconn_fail(conn, "an answer is too long");
	dispatch(group, now_us);
}

/*
 * The stream has ended.
 */
static void
on_closed(void *context, int32_t error)
{
	dbconn_t *conn = context;
	server_t *server = conn->server;
	bool refused = !conn->open && error == -ECONNREFUSED;
	group_t *group = server->group;

	dbconn_fail(conn, g_strerror(-error));
	if (refused)
		watch_refused(server);
	dispatch(group, clock_us());
}

static const sock_ops_t sock_ops = {NULL, on_received, on_closed};

/*
 * How many connections to a server are this daemon's share, the control
 * connection among them.
 */
uint32_t
dbconns_share(const server_t *server)
{
	const group_t *group = server->group;

	return MAX(group->connections_max / group->pool->daemons, 2);
}

/*
 * Tell whether daemons that lost power would find no room at a server.
 */
static bool
crowded(const server_t *server)
{
	return server->connections * 100 >
	    server->group->connections_max * CROWDED_PERCENT;
}

/*
 * Open connections until so many are open or opening: up to this daemon's
 * share in any case, and beyond that as far as the server has room.
 */
void
dbconns_grow(server_t *server, uint32_t wanted, int64_t now_us)
{
	uint32_t share = dbconns_share(server) - 1;

	if (now_us < server->reopen_us || server->gone)
		return;
	wanted = MIN(wanted, share * SHARES_MAX);
	while (server->conns->len < wanted &&
	    (server->conns->len < share || !crowded(server))) {
		if (dbconn_open(server, false) == NULL)
			return;
		server->connections++;
	}
}

/*
 * Look after the connections to a server: those that do not open, and those
 * that a server which leaves no longer needs.
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
		if ((!conn->open || conn->ending || conn->abandoned) &&
		    now_us - conn->began_us >= connect_us)
			dbconn_fail(conn,
			    conn->open ? "an answer does not come"
				       : "it does not open");
		else if (conn->operation == NULL && conn->transaction == NULL &&
		    conn->expected->len == 0 &&
		    (server->gone ||
			(crowded(server) &&
			    now_us - conn->began_us >= IDLE_US)))
			dbconn_close(conn);
	}
}
