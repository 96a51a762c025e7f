#include "session.h"

#include "event.pb-c.h"

#include <string.h>

/* One client's session. */

/* Bytes that a client may send ahead of its answers. */
#define AHEAD_BYTES_MAX (UINT32_C(2) << 20)

/* Lines on statements that are refused here; the others are counted. */
#define REFUSALS_PER_SECOND 20

/*
 * Free what a session prepared.
 */
static void
prepared_free(gpointer p)
{
	prepared_t *prepared = p;

	g_free(prepared->shape);
	g_free(prepared);
}

/*
 * Free a session; its table calls this.
 */
void
session_free(gpointer p)
{
	session_t *session = p;

	sock_free(session->sock);
	lines_clear(&session->in);
	g_string_free(session->out, TRUE);
	g_free(session->database);
	g_free(session->account);
	g_free(session->sent_group);
	g_free(session->floor_group);
	arena_free(session->arena);
	if (session->values != NULL)
		g_hash_table_unref(session->values);
	if (session->prepared != NULL)
		g_hash_table_unref(session->prepared);
	g_free(session);
}

/*
 * Have the pool roll back what the session has begun there.
 */
static void
drop_transaction(session_t *session)
{
	msg_t *msg;

	if (!session->sent_any)
		return;
	session->sent_any = false;
	msg = msg_new(&bp__drop_transaction__descriptor);
	((Bp__DropTransaction *)msg->body)->session = session->id;
	task_send(session->clients->proxy->pool, session->clients->task, msg);
}

/*
 * The session's transaction has ended, or can only be ended by the client.
 */
static void
leave_transaction(session_t *session, session_state_t state)
{
	session->state = state;
	session->sent_any = false;
	session->route = NULL;
	arena_free(session->arena);
	session->arena = NULL;
}

/*
 * End a session.  It is freed now, or once its lines have been handled.
 */
void
session_end(session_t *session)
{
	if (!session->ended)
		drop_transaction(session);
	session->ended = true;
	if (!session->handling)
		g_hash_table_remove(session->clients->sessions, &session->id);
}

/*
 * Write what was gathered.
 */
static void
flush(session_t *session)
{
	if (session->out->len == 0)
		return;
	if (sock_write(session->sock, (const uint8_t *)session->out->str,
		session->out->len) < 0)
		session_end(session);
	g_string_truncate(session->out, 0);
}

/*
 * The position to tell with an answer of our own: none.
 */
static void
ready(session_t *session)
{
	static const position_t none = {0, 0};

	session->clients->wire->write_ready(session->out, session->state, none);
}

/*
 * Answer a statement that needed no database.
 */
static void
answer_done(session_t *session)
{
	session->clients->wire->write_done(session->out, NULL);
	ready(session);
}

/*
 * Log that a statement is refused here.
 */
static void
report_refused(const session_t *session, const request_t *request,
    Bp__Verdict verdict, const char *text)
{
	Bp__StatementRefused refused = BP__STATEMENT_REFUSED__INIT;
	arena_t *arena;

	session->clients->counts[COUNT_STATEMENTS_REFUSED]++;
	if (!log_spend(&session->clients->refusals, clock_us(),
		REFUSALS_PER_SECOND, &refused.left_out))
		return;
	arena = arena_new();
	refused.has_left_out = refused.left_out > 0;
	refused.request = log_clip(arena, request->id);
	refused.session = session->id;
	refused.database = log_clip(arena, session->database);
	refused.verdict = verdict;
	refused.text = (char *)text;
	log_event(G_LOG_LEVEL_INFO, &refused.base);
	arena_free(arena);
}

/*
 * Answer a statement with an error; a transaction can only end after it.
 */
static void
answer_error(session_t *session, const request_t *request, Bp__Verdict verdict,
    const char *text)
{
	report_refused(session, request, verdict, text);
	if (session->state == SESSION_IN_TRANSACTION)
		session_abort(session);
	session->clients->wire->write_error(session->out, verdict, text);
	ready(session);
}

/*
 * Copy a session's values into a message.
 */
static void
copy_values(session_t *session, arena_t *arena, Bp__RunOperation *run)
{
	GHashTableIter iter;
	gpointer name, value;

	if (session->values == NULL)
		return;
	run->values = arena_zero(
	    arena, sizeof(run->values[0]) * g_hash_table_size(session->values));
	g_hash_table_iter_init(&iter, session->values);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		Bp__SessionValue *to = (Bp__SessionValue *)message_new(
		    arena, &bp__session_value__descriptor);

		to->name = arena_strdup(arena, name);
		to->value = arena_strdup(arena, value);
		run->values[run->n_values++] = to;
	}
}

/*
 * The route of the next statement, or NULL: a change of the configuration
 * counts from the next transaction on.
 */
static const Bp__Route *
route_of(const session_t *session)
{
	return session->route != NULL
	    ? session->route
	    : g_hash_table_lookup(session->clients->routes, session->database);
}

/*
 * Hand a statement to the pool.
 */
static void
run(session_t *session, const request_t *request, Bp__OperationKind kind,
    const prepared_t *prepared)
{
	clients_t *clients = session->clients;
	const Bp__Route *route = route_of(session);
	bool in_transaction = session->state == SESSION_IN_TRANSACTION;
	msg_t *msg;
	Bp__RunOperation *to;

	if (route == NULL) {
		answer_error(session, request, BP__VERDICT__NO_DATABASE,
		    "there is no such database any more");
		return;
	}
	msg = msg_new(&bp__run_operation__descriptor);
	to = (Bp__RunOperation *)msg->body;
	to->session = session->id;
	to->sequence = ++session->sequence;
	to->id = arena_strdup(msg->arena, request->id);
	to->kind = session->kind = kind;
	to->text = arena_strdup(msg->arena, request->text);
	to->route = (Bp__Route *)message_copy(msg->arena, &route->base);
	to->account = arena_strdup(msg->arena, session->account);
	to->in_transaction = in_transaction;
	to->first = in_transaction && !session->sent_any;
	to->read_only = session->read_only;
	if (prepared != NULL) {
		to->prepared = (Bp__Prepared *)message_new(
		    msg->arena, &bp__prepared__descriptor);
		to->prepared->shape = arena_strdup(msg->arena, prepared->shape);
		to->prepared->writes = prepared->writes;
	}
	copy_values(session, msg->arena, to);
	if (session->floor_group != NULL &&
	    strcmp(session->floor_group, route->group) == 0) {
		to->floor_term = session->floor.term;
		to->floor_index = session->floor.index;
	}
	g_free(session->sent_group);
	session->sent_group = g_strdup(route->group);
	session->sent_any = in_transaction;
	session->waiting = true;
	task_send(clients->proxy->pool, clients->task, msg);
}

/*
 * Run a prepared statement.
 */
static void
execute(session_t *session, const request_t *request)
{
	const prepared_t *prepared = session->prepared == NULL
	    ? NULL
	    : g_hash_table_lookup(session->prepared, request->name);

	if (prepared == NULL)
		answer_error(session, request, BP__VERDICT__NO_STATEMENT,
		    "no statement is prepared under this name");
	else
		run(session, request,
		    prepared->writes ? BP__OPERATION_KIND__WRITE_ITEM
				     : BP__OPERATION_KIND__READ_ITEM,
		    prepared);
}

/*
 * Remember a value of the session.
 */
static void
set_value(session_t *session, const request_t *request)
{
	if (session->values == NULL)
		session->values = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(
	    session->values, g_strdup(request->name), g_strdup(request->value));
	answer_done(session);
}

/*
 * Remember a prepared statement.
 */
static void
prepare(session_t *session, const request_t *request)
{
	prepared_t *prepared = g_new0(prepared_t, 1);

	prepared->shape = g_strdup(request->value);
	prepared->writes = request->writes;
	if (session->prepared == NULL)
		session->prepared = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, prepared_free);
	g_hash_table_insert(
	    session->prepared, g_strdup(request->name), prepared);
	answer_done(session);
}

/*
 * Forget a prepared statement.
 */
static void
deallocate(session_t *session, const request_t *request)
{
	if (session->prepared == NULL ||
	    !g_hash_table_remove(session->prepared, request->name))
		answer_error(session, request, BP__VERDICT__NO_STATEMENT,
		    "no statement is prepared under this name");
	else
		answer_done(session);
}

/*
 * Begin a transaction.  Its database is chosen with its first statement.
 */
static void
begin(session_t *session, const request_t *request)
{
	const Bp__Route *route = route_of(session);

	if (session->state != SESSION_IDLE) {
		answer_error(session, request, BP__VERDICT__MALFORMED,
		    "a transaction is open already");
	} else if (route == NULL) {
		answer_error(session, request, BP__VERDICT__NO_DATABASE,
		    "there is no such database any more");
	} else {
		session->state = SESSION_IN_TRANSACTION;
		session->arena = arena_new();
		session->route = (const Bp__Route *)message_copy(
		    session->arena, &route->base);
		session->read_only = request->read_only;
		answer_done(session);
	}
}

/*
 * End a transaction: a failed one is rolled back already.
 */
static void
end_transaction(session_t *session, const request_t *request)
{
	if (session->state == SESSION_IDLE) {
		answer_error(session, request, BP__VERDICT__MALFORMED,
		    "no transaction is open");
	} else if (request->statement == STATEMENT_ROLLBACK) {
		drop_transaction(session);
		leave_transaction(session, SESSION_IDLE);
		answer_done(session);
	} else if (session->state == SESSION_FAILED) {
		session->state = SESSION_IDLE;
		answer_error(session, request, BP__VERDICT__ABORTED,
		    "the transaction was rolled back");
	} else {
		run(session, request, BP__OPERATION_KIND__COMMIT_TRANSACTION,
		    NULL);
	}
}

/*
 * One statement of a session.
 */
static void
on_query(session_t *session, const request_t *request)
{
	if (session->state == SESSION_FAILED &&
	    request->statement != STATEMENT_COMMIT &&
	    request->statement != STATEMENT_ROLLBACK) {
		answer_error(session, request, BP__VERDICT__MALFORMED,
		    "the transaction has failed and can only end");
		return;
	}
	switch (request->statement) {
	case STATEMENT_READ:
		run(session, request, BP__OPERATION_KIND__READ_ITEM, NULL);
		break;
	case STATEMENT_WRITE:
		run(session, request, BP__OPERATION_KIND__WRITE_ITEM, NULL);
		break;
	case STATEMENT_EXECUTE:
		execute(session, request);
		break;
	case STATEMENT_BEGIN:
		begin(session, request);
		break;
	case STATEMENT_COMMIT:
	case STATEMENT_ROLLBACK:
		end_transaction(session, request);
		break;
	case STATEMENT_SET:
		set_value(session, request);
		break;
	case STATEMENT_PREPARE:
		prepare(session, request);
		break;
	case STATEMENT_DEALLOCATE:
		deallocate(session, request);
		break;
	case STATEMENT_UNKNOWN:
		answer_error(session, request, BP__VERDICT__MALFORMED,
		    "the statement is not known");
		break;
	}
}

/*
 * Open a session at a database if there is one of this name.
 */
static void
open_database(session_t *session)
{
	if (g_hash_table_contains(
		session->clients->routes, session->database)) {
		ready(session);
		return;
	}
	session->clients->wire->write_error(session->out,
	    BP__VERDICT__NO_DATABASE, "there is no such database");
	flush(session);
	session_end(session);
}

/*
 * A client asks for a session at a database.
 */
static void
on_open(session_t *session, const request_t *request)
{
	session->database = g_strdup(request->database);
	session->account = g_strdup(request->account);
	if (session->clients->known)
		open_database(session);
	else
		session->for_catalog = session->waiting = true;
}

/*
 * One line of a client.
 */
static void
on_line(session_t *session, char *line)
{
	request_t request;

	session->clients->wire->read_request(line, &request);
	if (request.kind == REQUEST_CLOSE) {
		session_end(session);
	} else if (request.kind == REQUEST_OPEN && session->database == NULL) {
		on_open(session, &request);
	} else if (request.kind == REQUEST_QUERY && session->database != NULL) {
		on_query(session, &request);
	} else {
		session->clients->wire->write_error(session->out,
		    BP__VERDICT__MALFORMED, "the message is not known here");
		flush(session);
		session_end(session);
	}
}

/*
 * Handle the lines that have come, until one has to wait for its answer.
 */
void
session_handle(session_t *session)
{
	char *line;

	session->handling = true;
	while (!session->ended && !session->waiting &&
	    (line = lines_next(&session->in)) != NULL)
		on_line(session, line);
	if (!session->ended &&
	    (lines_too_long(&session->in) ||
		session->in.bytes->len > AHEAD_BYTES_MAX)) {
		session->clients->wire->write_error(session->out,
		    BP__VERDICT__TOO_LARGE, "the message is too long");
		flush(session);
		session_end(session);
	}
	if (!session->ended)
		flush(session);
	session->handling = false;
	if (session->ended)
		session_end(session);
}

/*
 * The catalog that the session's opening waited for is there.
 */
void
session_opened(session_t *session)
{
	session->for_catalog = session->waiting = false;
	session->handling = true;
	open_database(session);
	session_handle(session);
}

/*
 * A statement has ended.
 */
void
session_answered(session_t *session, const Bp__OperationEnded *ended)
{
	const wire_ops_t *wire = session->clients->wire;
	position_t position = {ended->term, ended->index};
	bool done = ended->verdict == BP__VERDICT__SUCCEEDED;
	size_t i;

	if (!session->waiting || ended->sequence != session->sequence)
		return;
	session->waiting = false;
	for (i = 0; i < ended->n_rows; i++)
		wire->write_row(session->out, ended->rows[i]);
	if (done)
		wire->write_done(session->out, ended->text);
	else
		wire->write_error(session->out, ended->verdict,
		    ended->text == NULL ? "" : ended->text);
	if (session->kind == BP__OPERATION_KIND__COMMIT_TRANSACTION)
		leave_transaction(session, SESSION_IDLE);
	else if (!done && session->state == SESSION_IN_TRANSACTION)
		leave_transaction(session, SESSION_FAILED); /* by the pool */
	if (done && session->kind != BP__OPERATION_KIND__READ_ITEM &&
	    session->state == SESSION_IDLE) {
		g_free(session->floor_group);
		session->floor_group = g_steal_pointer(&session->sent_group);
		session->floor = position;
	}
	wire->write_ready(session->out, session->state, position);
	session_handle(session);
}

/*
 * The pool has rolled the session's transaction back between two statements.
 * The client is told with its next one, since it expects no message now.
 */
void
session_dropped(session_t *session)
{
	if (session->state != SESSION_IN_TRANSACTION || session->waiting)
		return;
	leave_transaction(session, SESSION_FAILED);
}

/*
 * Roll the session's transaction back; the client is told with its next
 * statement.
 */
void
session_abort(session_t *session)
{
	drop_transaction(session);
	leave_transaction(session, SESSION_FAILED);
}

/*
 * Whether a session may be closed without a loss: nothing runs, and no
 * transaction is open.
 */
bool
session_quiet(const session_t *session)
{
	return !session->waiting && session->state == SESSION_IDLE &&
	    session->out->len == 0 &&
	    session->in.bytes->len == session->in.taken_bytes;
}

/*
 * Bytes have come.
 */
static void
on_received(void *context, const uint8_t *bytes, uint32_t size_bytes)
{
	session_t *session = context;

	lines_add(&session->in, bytes, size_bytes);
	session_handle(session);
}

/*
 * The client is gone.
 */
static void
on_closed(void *context, int32_t error)
{
	(void)error;
	session_end(context);
}

static const sock_ops_t sock_ops = {NULL, on_received, on_closed};

/*
 * Serve a connection that was accepted.
 */
session_t *
session_new(clients_t *clients, GSocket *socket)
{
	session_t *session = g_new0(session_t, 1);

	session->clients = clients;
	session->id = ++clients->next_id;
	clients->counts[COUNT_SESSIONS_OPENED]++;
	session->out = g_string_new(NULL);
	lines_init(&session->in, clients->wire->line_bytes_max);
	session->sock = sock_accept(
	    task_context(clients->task), socket, &sock_ops, session);
	g_hash_table_insert(clients->sessions, &session->id, session);
	return session;
}
