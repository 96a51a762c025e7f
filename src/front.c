#include "front.h"

#include "http.h"

#include <string.h>

/*
 * The front-end task: takes callers' statements as JSON over HTTP.  Here are
 * the task's life cycle, the limits on requests, and its message handlers.
 */

#define TICK_MS 50

/* How long a stopping task handles the last messages of the other tasks. */
#define STOP_MESSAGES_US (200 * US_PER_MS)

/*
 * How long a stopping task waits for the next request on a connection that was
 * opened or used last, and for its last responses to be sent.
 */
#define STOP_TIMEOUT_US (800 * US_PER_MS)

/* A request whose headers have been received but whose body has not. */
typedef struct partial_request {
	SoupServerMessage *message; /* key in ctx->partial_requests */
	uint64_t size_bytes;        /* bytes of the body received so far */
	int64_t started_us;         /* time when the headers were complete */
} partial_request_t;

/*
 * Free a team's document.
 */
static void
team_document_free(gpointer p)
{
	arena_free(((team_document_t *)p)->arena);
}

/*
 * Create the state of the front-end task, to be passed to task_new().
 */
void *
front_new(const daemon_t *daemon)
{
	front_ctx_t *ctx = g_new0(front_ctx_t, 1);

	ctx->daemon = daemon;
	ctx->documents_by_team = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, team_document_free);
	ctx->pending = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, pending_request_free);
	ctx->status_collector = status_collector_new(daemon->settings->name);
	ctx->partial_requests = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	ctx->owner_candidates = g_ptr_array_new_with_free_func(g_free);
	ctx->owner_by_group =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ctx->live_members =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return ctx;
}

/*
 * Free the state of the front-end task after the task has ended.
 */
void
front_free(void *context)
{
	front_ctx_t *ctx = context;

	g_hash_table_unref(ctx->pending);
	g_hash_table_unref(ctx->documents_by_team);
	status_collector_free(ctx->status_collector);
	g_hash_table_unref(ctx->partial_requests);
	g_hash_table_unref(ctx->live_members);
	g_hash_table_unref(ctx->owner_by_group);
	g_ptr_array_unref(ctx->owner_candidates);
	g_free(ctx);
}

/*
 * Count a chunk of a request body that was received, and close the connection
 * if the body exceeds the limit.
 */
static void
on_chunk(SoupServerMessage *message, GBytes *chunk, gpointer context)
{
	front_ctx_t *ctx = context;
	partial_request_t *request =
	    g_hash_table_lookup(ctx->partial_requests, message);

	if (request == NULL)
		return;
	request->size_bytes += g_bytes_get_size(chunk);
	if (request->size_bytes <= ctx->daemon->settings->limits->body_bytes)
		return;
	ctx->counts[COUNT_REQUESTS_TOO_LARGE]++;
	g_hash_table_remove(ctx->partial_requests, message);
	caller_conns_shutdown(ctx->connections, message);
}

/*
 * Handle the headers of a request: close the connection if Content-Length
 * exceeds the limit, otherwise start the time limit on the body.
 */
static void
on_headers(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer context)
{
	front_ctx_t *ctx = context;
	SoupMessageHeaders *headers =
	    soup_server_message_get_request_headers(message);
	partial_request_t *request;

	(void)server;
	(void)path;
	(void)query;
	caller_conns_mark_busy(ctx->connections, message);
	if (soup_message_headers_get_encoding(headers) ==
		SOUP_ENCODING_CONTENT_LENGTH &&
	    soup_message_headers_get_content_length(headers) >
		ctx->daemon->settings->limits->body_bytes) {
		ctx->counts[COUNT_REQUESTS_TOO_LARGE]++;
		/* libsoup would send a response only after the whole body */
		caller_conns_shutdown(ctx->connections, message);
		return;
	}
	request = g_new0(partial_request_t, 1);
	request->message = message;
	request->started_us = clock_us();
	g_hash_table_replace(ctx->partial_requests, message, request);
}

/*
 * End the limits on a request: its body is complete, or the request has
 * finished, or the caller has disconnected.
 */
static void
on_body_ended(SoupServerMessage *message, gpointer context)
{
	g_hash_table_remove(
	    ((front_ctx_t *)context)->partial_requests, message);
}

/*
 * Handle a new libsoup message object.  libsoup creates one when it accepts a
 * connection, and one for each further request when its first bytes arrive.
 */
static void
on_message_started(
    SoupServer *server, SoupServerMessage *message, gpointer context)
{
	(void)server;
	caller_conns_message_started(
	    ((front_ctx_t *)context)->connections, message);
	g_signal_connect(message, "got-chunk", G_CALLBACK(on_chunk), context);
	g_signal_connect(
	    message, "got-body", G_CALLBACK(on_body_ended), context);
	g_signal_connect(
	    message, "finished", G_CALLBACK(on_body_ended), context);
	g_signal_connect(
	    message, "disconnected", G_CALLBACK(on_body_ended), context);
}

/*
 * Handle a complete request.  The only resource is POST /v1/statement.
 */
static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer context)
{
	front_ctx_t *ctx = context;
	SoupMessageBody *body = soup_server_message_get_request_body(message);

	(void)server;
	(void)query;
	if (strcmp(path, "/v1/statement") != 0) {
		soup_server_message_set_status(message, 404, NULL);
		return;
	}
	if (strcmp(soup_server_message_get_method(message), "POST") != 0) {
		soup_message_headers_replace(
		    soup_server_message_get_response_headers(message), "Allow",
		    "POST");
		soup_server_message_set_status(message, 405, NULL);
		return;
	}
	route_request(ctx, message, body->data == NULL ? "" : body->data,
	    (uint64_t)body->length);
}

/*
 * Close the connections of requests whose body takes longer than the request
 * timeout.
 */
static void
close_slow_requests(front_ctx_t *ctx, int64_t now_us)
{
	int64_t timeout_us =
	    (int64_t)US_PER_MS * ctx->daemon->settings->timeouts->request_ms;
	GList *requests = g_hash_table_get_values(ctx->partial_requests), *l;

	for (l = requests; l != NULL; l = l->next) {
		partial_request_t *request = l->data;
		SoupServerMessage *message = request->message;

		if (now_us - request->started_us < timeout_us)
			continue;
		ctx->counts[COUNT_REQUESTS_TOO_SLOW]++;
		g_hash_table_remove(ctx->partial_requests, message);
		caller_conns_shutdown(ctx->connections, message);
	}
	g_list_free(requests);
}

/*
 * Enforce the timeouts, every TICK_MS.
 */
static gboolean
on_tick(gpointer context)
{
	front_ctx_t *ctx = context;
	int64_t now_us = clock_us();

	route_expire_pending(ctx, now_us);
	close_slow_requests(ctx, now_us);
	return G_SOURCE_CONTINUE;
}

/*
 * Start the task: listen for callers and operators.
 */
static int32_t
on_start(void *context, task_t *task)
{
	front_ctx_t *ctx = context;
	const Bp__Settings *settings = ctx->daemon->settings;
	int32_t error;

	ctx->task = task;
	ctx->caller_server = soup_server_new(NULL, NULL);
	ctx->connections = caller_conns_new(ctx->caller_server,
	    task_main_context(task), settings->limits->caller_connections);
	soup_server_add_early_handler(
	    ctx->caller_server, NULL, on_headers, ctx, NULL);
	soup_server_add_handler(
	    ctx->caller_server, NULL, on_request, ctx, NULL);
	g_signal_connect(ctx->caller_server, "request-started",
	    G_CALLBACK(on_message_started), ctx);
	error = http_listen(ctx->caller_server,
	    g_inet_socket_address_new_from_string(
		settings->address, settings->caller_port),
	    "callers");
	if (error < 0)
		return error;
	ctx->tick_timer = task_timer(task, TICK_MS, on_tick, ctx);
	return operator_start(ctx);
}

/*
 * Stop the task, after those that run statements: handle the messages that they
 * have sent, answer the remaining requests and those that arrive meanwhile, and
 * let the responses be sent.  A caller whose connection was accepted, or that
 * was answered, a moment ago may be about to send a request.
 */
static void
on_stop(void *context)
{
	front_ctx_t *ctx = context;
	GMainContext *main_context = task_main_context(ctx->task);
	int64_t began_us = clock_us(), deadline_us;

	ctx->draining = ctx->stopping = true;
	caller_conns_refuse_new(ctx->connections);
	while (g_main_context_iteration(main_context, FALSE) &&
	    clock_us() - began_us < STOP_MESSAGES_US)
		; /* handles the last answers of the other tasks */
	route_fail_pending(ctx);
	deadline_us = clock_us() + STOP_TIMEOUT_US;
	while (clock_us() < deadline_us &&
	    caller_conns_in_use(ctx->connections, clock_us() - STOP_TIMEOUT_US))
		/* returns after a tick at the latest */
		g_main_context_iteration(main_context, TRUE);
	source_clear(&ctx->tick_timer);
	soup_server_disconnect(ctx->caller_server);
	/* libsoup has reported all disconnects by now */
	caller_conns_free(ctx->connections);
	soup_server_disconnect(ctx->operator_server);
	g_object_unref(ctx->caller_server);
	g_object_unref(ctx->operator_server);
}

/*
 * While draining, report Drained to the control task, once, when no request
 * waits for its answer any more.
 */
void
front_check_drained(front_ctx_t *ctx)
{
	msg_t *msg;

	if (!ctx->draining || ctx->drained_sent ||
	    g_hash_table_size(ctx->pending) > 0)
		return;
	ctx->drained_sent = true;
	msg = msg_new(&bp__drained__descriptor);
	((Bp__Drained *)msg->body)->task = arena_strdup(msg->arena, "front");
	task_send(ctx->daemon->control, ctx->task, msg);
}

/*
 * Handle Drain: from now on refuse new statements, except those of
 * transactions that are open at this daemon.
 */
static void
on_drain(void *context, msg_t *msg)
{
	front_ctx_t *ctx = context;

	ctx->draining = true;
	front_check_drained(ctx);
	msg_free(msg);
}

/*
 * Handle the answer to a statement.
 */
static void
on_statement_answered(void *context, msg_t *msg)
{
	route_handle_answer(context, (const Bp__StatementAnswered *)msg->body);
	msg_free(msg);
}

/*
 * Handle a new member list.  A leaving member may still hold open transactions,
 * so it counts as live, but it cannot own a group.
 */
static void
on_members_changed(void *context, msg_t *msg)
{
	const Bp__MembersChanged *changed =
	    (const Bp__MembersChanged *)msg->body;
	front_ctx_t *ctx = context;
	size_t i;

	g_hash_table_remove_all(ctx->owner_by_group);
	g_ptr_array_set_size(ctx->owner_candidates, 0);
	g_hash_table_remove_all(ctx->live_members);
	for (i = 0; i < changed->n_members; i++) {
		const Bp__Member *member = changed->members[i];

		if (member->state == BP__MEMBER_STATE__DEAD)
			continue;
		g_hash_table_add(ctx->live_members, g_strdup(member->name));
		if (member->state != BP__MEMBER_STATE__DRAINED)
			g_ptr_array_add(
			    ctx->owner_candidates, g_strdup(member->name));
	}
	msg_free(msg);
}

/*
 * Handle a document that has been put in force: parse it and replace the
 * team's former document.
 */
static void
on_document_in_force(void *context, msg_t *msg)
{
	const Bp__Accepted *accepted =
	    ((const Bp__DocumentInForce *)msg->body)->accepted;
	front_ctx_t *ctx = context;
	arena_t *arena = arena_new();
	input_errors_t errors = {arena, NULL, 0, NULL};
	team_document_t *team = arena_zalloc(arena, sizeof(*team));

	team->arena = arena;
	team->version = accepted->version;
	team->document = document_read(
	    arena, accepted->document, strlen(accepted->document), &errors);
	if (team->document == NULL)
		arena_free(arena);
	else
		g_hash_table_replace(
		    ctx->documents_by_team, team->document->team, team);
	msg_free(msg);
}

/*
 * Handle another task's part of the status page.
 */
static void
on_status_part(void *context, msg_t *msg)
{
	status_collector_add_part(
	    ((front_ctx_t *)context)->status_collector, msg);
}

static const task_handler_t handlers[] = {
    {&bp__statement_answered__descriptor, on_statement_answered},
    {&bp__members_changed__descriptor, on_members_changed},
    {&bp__document_in_force__descriptor, on_document_in_force},
    {&bp__drain__descriptor, on_drain},
    {&bp__status_part__descriptor, on_status_part},
};

const task_ops_t front_ops = {
    "front", on_start, on_stop, handlers, G_N_ELEMENTS(handlers)};
