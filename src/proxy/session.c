#include "session.h"

#include "event.pb-c.h"

#include <string.h>

/* The session of one client connection. */

/* Maximum input in bytes that is buffered while a statement runs. */
#define PIPELINED_BYTES_MAX (UINT32_C(2) << 20)

/* Rows are sent when so much output is buffered. */
#define OUTPUT_PIECE_BYTES UINT64_C(32768)

/* An output buffer that was larger is freed when it is empty. */
#define OUTPUT_BYTES_KEPT (4 * OUTPUT_PIECE_BYTES)

/*
 * Limit of log lines about refused statements.  Lines beyond the limit are only
 * counted.
 */
#define REFUSAL_LOG_LINES_PER_SECOND 20

/*
 * Free a prepared statement.
 */
static void
prepared_statement_free(gpointer p)
{
	prepared_statement_t *prepared = p;

	g_free(prepared->statement_template);
	g_free(prepared);
}

/*
 * Free a session.  Called when it is removed from clients->sessions.
 */
void
session_free(gpointer p)
{
	session_t *session = p;

	result_budget_release(
	    &session->clients->output, &session->output_bytes);
	sock_free(session->sock);
	line_buffer_clear(&session->in);
	g_string_free(session->out, TRUE);
	g_free(session->database);
	g_free(session->account);
	g_free(session->sent_group);
	session_floors_clear(&session->floors);
	arena_free(session->route_arena);
	if (session->values != NULL)
		g_hash_table_unref(session->values);
	if (session->prepared_statements != NULL)
		g_hash_table_unref(session->prepared_statements);
	g_free(session);
}

/*
 * Ask the pool to roll back the transaction if any part of it was sent there.
 */
static void
send_drop_transaction(session_t *session)
{
	msg_t *msg;

	if (!session->transaction_sent)
		return;
	session->transaction_sent = false;
	msg = msg_new(&bp__drop_transaction__descriptor);
	((Bp__DropTransaction *)msg->body)->session = session->id;
	task_send(session->clients->proxy->router, session->clients->task, msg);
}

/*
 * Clear the data of the transaction, which has ended (TRANSACTION_NONE) or was
 * rolled back and awaits the client's COMMIT or ROLLBACK (TRANSACTION_FAILED).
 */
static void
clear_transaction(session_t *session, transaction_state_t state)
{
	session->state = state;
	session->transaction_sent = false;
	session->transaction_route = NULL;
	arena_free(session->route_arena);
	session->route_arena = NULL;
}

/*
 * Close a session and roll its transaction back.  While its input is being
 * processed, session_process_input() frees it; otherwise it is freed here.
 */
void
session_close(session_t *session)
{
	if (!session->close_pending)
		send_drop_transaction(session);
	session->close_pending = true;
	if (!session->processing_input)
		g_hash_table_remove(session->clients->sessions, &session->id);
}

/*
 * Note how much output the connection has not taken.
 */
static void
note_output(session_t *session)
{
	result_budget_t *output = &session->clients->output;

	result_budget_release(output, &session->output_bytes);
	session->output_bytes = sock_buffered_bytes(session->sock);
	result_budget_hold(output, session->output_bytes);
}

/*
 * Send the buffered output.  May free the session, unless its input is being
 * processed.
 */
static void
flush_output(session_t *session)
{
	int32_t error;

	if (session->out->len == 0)
		return;
	error = sock_write(session->sock, (const uint8_t *)session->out->str,
	    session->out->len);
	note_output(session);
	if (session->out->allocated_len > OUTPUT_BYTES_KEPT) {
		g_string_free(session->out, TRUE);
		session->out = g_string_new(NULL);
	}
	g_string_truncate(session->out, 0);
	if (error < 0)
		session_close(session);
}

/*
 * Append the message that ends a response made without a database; it carries
 * no log position.
 */
static void
answer_ready(session_t *session)
{
	static const position_t no_position = {0, 0};

	session->clients->wire->write_ready(
	    session->out, session->state, no_position);
}

/*
 * Answer success to a statement that needed no database.
 */
static void
answer_done(session_t *session)
{
	session->clients->wire->write_done(session->out, NULL);
	answer_ready(session);
}

/*
 * Count a statement refused without reaching the pool, and log it within the
 * rate limit.
 */
static void
log_statement_refused(const session_t *session, const request_t *request,
    Bp__Verdict verdict, const char *text)
{
	Bp__StatementRefused refused = BP__STATEMENT_REFUSED__INIT;
	arena_t *arena;

	session->clients->counts[COUNT_STATEMENTS_REFUSED]++;
	if (!log_rate_limit_allow(&session->clients->refusal_log_limit,
		clock_us(), REFUSAL_LOG_LINES_PER_SECOND, &refused.left_out))
		return;
	arena = arena_new();
	refused.has_left_out = refused.left_out > 0;
	refused.request = log_truncate_text(arena, request->id);
	refused.session = session->id;
	refused.database = log_truncate_text(arena, session->database);
	refused.verdict = verdict;
	refused.text = (char *)text;
	log_event(G_LOG_LEVEL_INFO, &refused.base);
	arena_free(arena);
}

/*
 * Refuse a statement with an error.  An open transaction is rolled back.
 */
static void
answer_error(session_t *session, const request_t *request, Bp__Verdict verdict,
    const char *text)
{
	log_statement_refused(session, request, verdict, text);
	if (session->state == TRANSACTION_OPEN)
		session_abort_transaction(session);
	session->clients->wire->write_error(session->out, verdict, text);
	answer_ready(session);
}

/*
 * Copy the session variables into a message.
 */
static void
copy_session_values(
    session_t *session, arena_t *arena, Bp__RunOperation *operation)
{
	GHashTableIter iter;
	gpointer name, value;

	if (session->values == NULL)
		return;
	operation->values = arena_zalloc(arena,
	    sizeof(operation->values[0]) * g_hash_table_size(session->values));
	g_hash_table_iter_init(&iter, session->values);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		Bp__SessionValue *copy = (Bp__SessionValue *)message_new(
		    arena, &bp__session_value__descriptor);

		copy->name = arena_strdup(arena, name);
		copy->value = arena_strdup(arena, value);
		operation->values[operation->n_values++] = copy;
	}
}

/*
 * Return the route of the next statement, or NULL if the database is not
 * configured.
 * Within a transaction the route stays the same: a new configuration applies
 * from the next transaction on.
 */
static const Bp__Route *
current_route(const session_t *session)
{
	return session->transaction_route != NULL
	    ? session->transaction_route
	    : g_hash_table_lookup(session->clients->routes, session->database);
}

/*
 * Set the position that the session's writes require of a read.  If it is not
 * known any more, only the primary may serve the read.
 */
static void
set_floor(const session_t *session, Bp__RunOperation *operation)
{
	Bp__Route *route = operation->route;
	position_t floor;

	if (!session_floors_find(&session->floors, route->group, &floor) &&
	    route->freshness == BP__FRESHNESS__OWN_WRITES)
		route->freshness = BP__FRESHNESS__NEWEST;
	operation->floor_term = floor.term;
	operation->floor_index = floor.index;
}

/*
 * Send a statement to the pool.
 */
static void
send_to_pool(session_t *session, const request_t *request,
    Bp__OperationKind kind, const prepared_statement_t *prepared)
{
	clients_t *clients = session->clients;
	const Bp__Route *route = current_route(session);
	bool in_transaction = session->state == TRANSACTION_OPEN;
	msg_t *msg;
	Bp__RunOperation *operation;

	if (route == NULL) {
		answer_error(session, request, BP__VERDICT__NO_DATABASE,
		    "there is no such database any more");
		return;
	}
	msg = msg_new(&bp__run_operation__descriptor);
	operation = (Bp__RunOperation *)msg->body;
	operation->session = session->id;
	operation->sequence = ++session->sequence;
	operation->id = arena_strdup(msg->arena, request->id);
	operation->kind = session->operation_kind = kind;
	operation->text = arena_strdup(msg->arena, request->text);
	operation->route = (Bp__Route *)message_copy(msg->arena, &route->base);
	operation->account = arena_strdup(msg->arena, session->account);
	operation->in_transaction = in_transaction;
	operation->first = in_transaction && !session->transaction_sent;
	operation->read_only = session->read_only;
	if (prepared != NULL) {
		operation->prepared = (Bp__Prepared *)message_new(
		    msg->arena, &bp__prepared__descriptor);
		operation->prepared->shape =
		    arena_strdup(msg->arena, prepared->statement_template);
		operation->prepared->writes = prepared->writes;
	}
	copy_session_values(session, msg->arena, operation);
	set_floor(session, operation);
	g_free(session->sent_group);
	session->sent_group = g_strdup(route->group);
	session->transaction_sent = in_transaction;
	session->waiting = true;
	task_send(clients->proxy->router, clients->task, msg);
}

/*
 * Execute a prepared statement of the session.
 */
static void
execute_prepared(session_t *session, const request_t *request)
{
	const prepared_statement_t *prepared =
	    session->prepared_statements == NULL
	    ? NULL
	    : g_hash_table_lookup(session->prepared_statements, request->name);

	if (prepared == NULL)
		answer_error(session, request, BP__VERDICT__NO_STATEMENT,
		    "no statement is prepared under this name");
	else
		send_to_pool(session, request,
		    prepared->writes ? BP__OPERATION_KIND__WRITE_ITEM
				     : BP__OPERATION_KIND__READ_ITEM,
		    prepared);
}

/*
 * Set a session variable.
 */
static void
set_session_value(session_t *session, const request_t *request)
{
	if (session->values == NULL)
		session->values = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(
	    session->values, g_strdup(request->name), g_strdup(request->value));
	answer_done(session);
}

/*
 * Store a prepared statement in the session.
 */
static void
prepare_statement(session_t *session, const request_t *request)
{
	prepared_statement_t *prepared = g_new0(prepared_statement_t, 1);

	prepared->statement_template = g_strdup(request->value);
	prepared->writes = request->writes;
	if (session->prepared_statements == NULL)
		session->prepared_statements = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, prepared_statement_free);
	g_hash_table_insert(
	    session->prepared_statements, g_strdup(request->name), prepared);
	answer_done(session);
}

/*
 * Remove a prepared statement.
 */
static void
deallocate_statement(session_t *session, const request_t *request)
{
	if (session->prepared_statements == NULL ||
	    !g_hash_table_remove(session->prepared_statements, request->name))
		answer_error(session, request, BP__VERDICT__NO_STATEMENT,
		    "no statement is prepared under this name");
	else
		answer_done(session);
}

/*
 * Begin a transaction.  The pool learns of it, and chooses its server, with the
 * first statement.
 */
static void
begin_transaction(session_t *session, const request_t *request)
{
	const Bp__Route *route = current_route(session);

	if (session->state != TRANSACTION_NONE) {
		answer_error(session, request, BP__VERDICT__MALFORMED,
		    "a transaction is open already");
	} else if (route == NULL) {
		answer_error(session, request, BP__VERDICT__NO_DATABASE,
		    "there is no such database any more");
	} else {
		session->state = TRANSACTION_OPEN;
		session->route_arena = arena_new();
		session->transaction_route = (const Bp__Route *)message_copy(
		    session->route_arena, &route->base);
		session->read_only = request->read_only;
		answer_done(session);
	}
}

/*
 * End a transaction by COMMIT or ROLLBACK.  A failed transaction has already
 * been rolled back, so its COMMIT is answered with an error.
 */
static void
end_transaction(session_t *session, const request_t *request)
{
	if (session->state == TRANSACTION_NONE) {
		answer_error(session, request, BP__VERDICT__MALFORMED,
		    "no transaction is open");
	} else if (request->statement == STATEMENT_ROLLBACK) {
		send_drop_transaction(session);
		clear_transaction(session, TRANSACTION_NONE);
		answer_done(session);
	} else if (session->state == TRANSACTION_FAILED) {
		session->state = TRANSACTION_NONE;
		answer_error(session, request, BP__VERDICT__ABORTED,
		    "the transaction was rolled back");
	} else {
		send_to_pool(session, request,
		    BP__OPERATION_KIND__COMMIT_TRANSACTION, NULL);
	}
}

/*
 * Handle a statement.  After its transaction has failed, a session accepts
 * only COMMIT and ROLLBACK.
 */
static void
on_query(session_t *session, const request_t *request)
{
	if (session->state == TRANSACTION_FAILED &&
	    request->statement != STATEMENT_COMMIT &&
	    request->statement != STATEMENT_ROLLBACK) {
		answer_error(session, request, BP__VERDICT__MALFORMED,
		    "the transaction has failed and can only end");
		return;
	}
	switch (request->statement) {
	case STATEMENT_READ:
		send_to_pool(
		    session, request, BP__OPERATION_KIND__READ_ITEM, NULL);
		break;
	case STATEMENT_WRITE:
		send_to_pool(
		    session, request, BP__OPERATION_KIND__WRITE_ITEM, NULL);
		break;
	case STATEMENT_EXECUTE:
		execute_prepared(session, request);
		break;
	case STATEMENT_BEGIN:
		begin_transaction(session, request);
		break;
	case STATEMENT_COMMIT:
	case STATEMENT_ROLLBACK:
		end_transaction(session, request);
		break;
	case STATEMENT_SET:
		set_session_value(session, request);
		break;
	case STATEMENT_PREPARE:
		prepare_statement(session, request);
		break;
	case STATEMENT_DEALLOCATE:
		deallocate_statement(session, request);
		break;
	case STATEMENT_WITH_NUL:
		answer_error(session, request, BP__VERDICT__MALFORMED,
		    "a statement may have no NUL byte; not run");
		break;
	case STATEMENT_UNKNOWN:
		answer_error(session, request, BP__VERDICT__MALFORMED,
		    "the statement is not known");
		break;
	}
}

/*
 * Complete the opening of a session, once there is a catalog.  Closes the
 * session if no database has the requested name.
 */
static void
finish_open(session_t *session)
{
	if (g_hash_table_contains(
		session->clients->routes, session->database)) {
		answer_ready(session);
		return;
	}
	session->clients->wire->write_error(session->out,
	    BP__VERDICT__NO_DATABASE, "there is no such database");
	flush_output(session);
	session_close(session);
}

/*
 * Open a session, as soon as the first catalog has been received.
 */
static void
on_open(session_t *session, const request_t *request)
{
	session->database = g_strdup(request->database);
	session->account = g_strdup(request->account);
	if (session->clients->has_catalog)
		finish_open(session);
	else
		session->awaiting_catalog = session->waiting = true;
}

/*
 * Handle one message of the client.
 */
static void
on_line(session_t *session, char *line, uint32_t size_bytes)
{
	request_t request;

	session->clients->wire->read_request(line, size_bytes, &request);
	if (request.kind == REQUEST_CLOSE) {
		session_close(session);
	} else if (request.kind == REQUEST_OPEN && session->database == NULL) {
		on_open(session, &request);
	} else if (request.kind == REQUEST_QUERY && session->database != NULL) {
		on_query(session, &request);
	} else {
		session->clients->wire->write_error(session->out,
		    BP__VERDICT__MALFORMED, "the message is not known here");
		flush_output(session);
		session_close(session);
	}
}

/*
 * Process the buffered input, up to a message that has to wait for the pool or
 * the catalog, or until the client has taken the output.
 */
void
session_process_input(session_t *session)
{
	uint32_t size_bytes;
	char *line;

	session->processing_input = true;
	while (!session->close_pending && !session->waiting &&
	    session->output_bytes == 0 &&
	    (line = line_buffer_next(&session->in, &size_bytes)) != NULL)
		on_line(session, line, size_bytes);
	if (!session->close_pending &&
	    (line_buffer_too_long(&session->in) ||
		session->in.bytes->len > PIPELINED_BYTES_MAX)) {
		session->clients->wire->write_error(session->out,
		    BP__VERDICT__TOO_LARGE, "the message is too long");
		flush_output(session);
		session_close(session);
	}
	if (!session->close_pending)
		flush_output(session);
	session->processing_input = false;
	if (session->close_pending)
		session_close(session);
}

/*
 * Complete the opening of a session that waited for the first catalog.
 */
void
session_catalog_ready(session_t *session)
{
	session->awaiting_catalog = session->waiting = false;
	session->processing_input = true;
	finish_open(session);
	session_process_input(session);
}

/*
 * Write the rows of a result, and send them in pieces, so that they are not
 * kept twice.
 */
static void
write_rows(session_t *session, const Bp__OperationEnded *ended)
{
	size_t i;

	for (i = 0; i < ended->n_rows; i++) {
		session->clients->wire->write_row(session->out, ended->rows[i]);
		if (session->out->len >= OUTPUT_PIECE_BYTES)
			flush_output(session);
	}
}

/*
 * Check that there is memory for a result until the client has taken it.  If
 * not, roll a transaction back, and return the verdict that is to be sent in
 * place of the result, and its text in *text.
 */
static Bp__Verdict
check_room(
    session_t *session, const Bp__OperationEnded *ended, const char **text)
{
	clients_t *clients = session->clients;
	uint64_t size_bytes = result_bytes(ended);
	result_discarded_t discarded = {
	    .fit = result_budget_check(
		&clients->output, 0, size_bytes, UINT64_MAX),
	    .kind = session->operation_kind,
	    .in_transaction = session->state == TRANSACTION_OPEN,
	    .session = session->id,
	    .group = session->sent_group,
	    .result_bytes = size_bytes,
	    .held_bytes = clients->output.held_bytes};

	*text = ended->text;
	if (ended->verdict != BP__VERDICT__SUCCEEDED ||
	    discarded.fit == RESULT_FITS)
		return ended->verdict;
	if (discarded.in_transaction &&
	    discarded.kind != BP__OPERATION_KIND__COMMIT_TRANSACTION)
		session_abort_transaction(session);
	return result_discard(&discarded, &clients->results_log_limit, text);
}

/*
 * Pass the result of a statement on to the client, and go on with its input.  A
 * commit, or a write outside a transaction, sets the position from which later
 * reads of the session see its own writes.
 */
void
session_operation_ended(session_t *session, const Bp__OperationEnded *ended)
{
	const wire_ops_t *wire = session->clients->wire;
	position_t position = {ended->term, ended->index};
	Bp__Verdict verdict;
	const char *text;
	bool done;

	if (!session->waiting || ended->sequence != session->sequence)
		return;
	session->waiting = false;
	/* an error of the connection closes the session at the end */
	session->processing_input = true;
	verdict = check_room(session, ended, &text);
	done = verdict == BP__VERDICT__SUCCEEDED;
	if (done) {
		write_rows(session, ended);
		wire->write_done(session->out, text);
	} else {
		wire->write_error(
		    session->out, verdict, text == NULL ? "" : text);
	}
	if (session->operation_kind == BP__OPERATION_KIND__COMMIT_TRANSACTION)
		clear_transaction(session, TRANSACTION_NONE);
	else if (!done && session->state == TRANSACTION_OPEN)
		/* the transaction is already rolled back */
		clear_transaction(session, TRANSACTION_FAILED);
	if (done && session->operation_kind != BP__OPERATION_KIND__READ_ITEM &&
	    session->state == TRANSACTION_NONE)
		session_floors_note(
		    &session->floors, session->sent_group, position);
	wire->write_ready(session->out, session->state, position);
	session_process_input(session);
}

/*
 * Handle a rollback of the transaction by the pool between two statements.  The
 * client learns of the rollback by the error of its next statement, since the
 * protocol has no unsolicited messages.  If that statement is already at the
 * pool, its result is the error.
 */
void
session_transaction_dropped(session_t *session)
{
	if (session->state != TRANSACTION_OPEN || session->waiting)
		return;
	clear_transaction(session, TRANSACTION_FAILED);
}

/*
 * Roll the transaction back.  Unless this is part of the response to a
 * statement, the client learns of the rollback by the error of its next
 * statement.
 */
void
session_abort_transaction(session_t *session)
{
	send_drop_transaction(session);
	clear_transaction(session, TRANSACTION_FAILED);
}

/*
 * Tell whether a session can be closed without loss: no statement is running,
 * no transaction is open, and nothing is buffered.
 */
bool
session_is_idle(const session_t *session)
{
	return !session->waiting && session->state == TRANSACTION_NONE &&
	    session->out->len == 0 && session->output_bytes == 0 &&
	    session->in.bytes->len == session->in.consumed_bytes;
}

/*
 * Handle input of the client.
 */
static void
on_received(void *context, const uint8_t *bytes, uint32_t size_bytes)
{
	session_t *session = context;

	line_buffer_append(&session->in, bytes, size_bytes);
	session_process_input(session);
}

/*
 * Handle the end of the connection, or its failure.
 */
static void
on_closed(void *context, int32_t error)
{
	(void)error;
	session_close(context);
}

/*
 * Handle output that the client has taken: go on with its input when there is
 * no more.
 */
static void
on_written(void *context)
{
	session_t *session = context;

	note_output(session);
	if (session->output_bytes == 0)
		session_process_input(session);
}

static const sock_ops_t sock_ops = {NULL, on_received, on_closed, on_written};

/*
 * Create the session of an accepted connection.
 */
session_t *
session_new(clients_t *clients, GSocket *socket)
{
	session_t *session = g_new0(session_t, 1);

	session->clients = clients;
	session->id = ++clients->last_session_id;
	clients->counts[COUNT_SESSIONS_OPENED]++;
	session->out = g_string_new(NULL);
	line_buffer_init(&session->in, clients->wire->line_bytes_max);
	session->sock = sock_accept(
	    task_main_context(clients->task), socket, &sock_ops, session);
	g_hash_table_insert(clients->sessions, &session->id, session);
	return session;
}
