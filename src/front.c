#include "front.h"

#include "http.h"

#include <string.h>

/* The callers' task: HTTP with JSON. */

#define TICK_MS 50

/* Enough for a client to read an answer; a task that ends waits no longer. */
#define STOP_US (200 * US_PER_MS)

/* A request that is being read. */
typedef struct body {
	SoupServerMessage *message; /* the key */
	uint64_t size_bytes;
	int64_t since_us;
} body_t;

/*
 * Free a document in force.
 */
static void
front_team_free(gpointer p)
{
	arena_free(((front_team_t *)p)->arena);
}

/*
 * Make the role; it is given to task_new().
 */
void *
front_new(const daemon_t *daemon)
{
	front_role_t *role = g_new0(front_role_t, 1);

	role->daemon = daemon;
	role->teams = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, front_team_free);
	role->pending = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, pending_free);
	role->questions = questions_new(daemon->settings->name);
	role->bodies = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	role->members = g_ptr_array_new_with_free_func(g_free);
	role->owners =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	role->living =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return role;
}

/*
 * Free the role after its task has ended.
 */
void
front_free(void *context)
{
	front_role_t *role = context;

	g_hash_table_unref(role->pending);
	g_hash_table_unref(role->teams);
	questions_free(role->questions);
	g_hash_table_unref(role->bodies);
	g_hash_table_unref(role->living);
	g_hash_table_unref(role->owners);
	g_ptr_array_unref(role->members);
	g_free(role);
}

/*
 * A piece of a body has come: bound the whole.
 */
static void
on_chunk(SoupServerMessage *message, GBytes *chunk, gpointer context)
{
	front_role_t *role = context;
	body_t *body = g_hash_table_lookup(role->bodies, message);

	if (body == NULL)
		return;
	body->size_bytes += g_bytes_get_size(chunk);
	if (body->size_bytes <= role->daemon->settings->limits->body_bytes)
		return;
	role->counts[COUNT_TOO_LARGE]++;
	g_hash_table_remove(role->bodies, message);
	callers_cut(role->connections, message);
}

/*
 * The headers of a request have come: drop one whose body says that it is
 * too large, and bound the time for all others.
 */
static void
on_early(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer context)
{
	front_role_t *role = context;
	SoupMessageHeaders *headers =
	    soup_server_message_get_request_headers(message);
	body_t *body;

	(void)server;
	(void)path;
	(void)query;
	callers_busy(role->connections, message);
	if (soup_message_headers_get_encoding(headers) ==
		SOUP_ENCODING_CONTENT_LENGTH &&
	    soup_message_headers_get_content_length(headers) >
		role->daemon->settings->limits->body_bytes) {
		role->counts[COUNT_TOO_LARGE]++;
		callers_cut(role->connections,
		    message); /* an answer would wait for the whole body */
		return;
	}
	body = g_new0(body_t, 1);
	body->message = message;
	body->since_us = clock_us();
	g_hash_table_replace(role->bodies, message, body);
}

/*
 * A request has come whole, or has ended, or its caller is gone: its time is
 * no longer bounded.
 */
static void
on_gone(SoupServerMessage *message, gpointer context)
{
	g_hash_table_remove(((front_role_t *)context)->bodies, message);
}

/*
 * A connection waits for a request, or a new one begins on it.
 */
static void
on_started(SoupServer *server, SoupServerMessage *message, gpointer context)
{
	(void)server;
	callers_started(((front_role_t *)context)->connections, message);
	g_signal_connect(message, "got-chunk", G_CALLBACK(on_chunk), context);
	g_signal_connect(message, "got-body", G_CALLBACK(on_gone), context);
	g_signal_connect(message, "finished", G_CALLBACK(on_gone), context);
	g_signal_connect(message, "disconnected", G_CALLBACK(on_gone), context);
}

/*
 * POST /v1/statement.
 */
static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer context)
{
	front_role_t *role = context;
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
	route_begin(role, message, body->data == NULL ? "" : body->data,
	    (uint64_t)body->length);
}

/*
 * Drop requests that come too slowly.
 */
static void
drop_slow(front_role_t *role, int64_t now_us)
{
	int64_t bound_us =
	    (int64_t)US_PER_MS * role->daemon->settings->timeouts->request_ms;
	GList *all = g_hash_table_get_values(role->bodies), *l;

	for (l = all; l != NULL; l = l->next) {
		body_t *body = l->data;
		SoupServerMessage *message = body->message;

		if (now_us - body->since_us < bound_us)
			continue;
		role->counts[COUNT_TOO_SLOW]++;
		g_hash_table_remove(role->bodies, message);
		callers_cut(role->connections, message);
	}
	g_list_free(all);
}

/*
 * What is to be done now and then.
 */
static gboolean
on_tick(gpointer context)
{
	front_role_t *role = context;
	int64_t now_us = clock_us();

	route_expire(role, now_us);
	drop_slow(role, now_us);
	return G_SOURCE_CONTINUE;
}

/*
 * The task starts: listen for callers and operators.
 */
static int32_t
on_start(void *context, task_t *task)
{
	front_role_t *role = context;
	const Bp__Settings *settings = role->daemon->settings;
	int32_t error;

	role->task = task;
	role->callers = soup_server_new(NULL, NULL);
	role->connections = callers_new(role->callers, task_context(task),
	    settings->limits->caller_connections);
	soup_server_add_early_handler(
	    role->callers, NULL, on_early, role, NULL);
	soup_server_add_handler(role->callers, NULL, on_request, role, NULL);
	g_signal_connect(
	    role->callers, "request-started", G_CALLBACK(on_started), role);
	error = http_listen(role->callers,
	    g_inet_socket_address_new_from_string(
		settings->address, settings->caller_port),
	    "callers");
	if (error < 0)
		return error;
	role->tick = task_timer(task, TICK_MS, on_tick, role);
	return oper_start(role);
}

/*
 * The task ends: what has reached it is answered, and the answers go out.
 */
static void
on_stop(void *context)
{
	front_role_t *role = context;
	GMainContext *main = task_context(role->task);
	int64_t until_us = clock_us() + STOP_US;

	role->draining = true;
	callers_refuse_new(role->connections);
	while (g_main_context_iteration(main, FALSE) && clock_us() < until_us)
		; /* the last answers of the other tasks */
	route_end(role);
	while (callers_active(role->connections) > 0 && clock_us() < until_us)
		g_main_context_iteration(main, TRUE); /* the tick wakes it */
	source_drop(&role->tick);
	soup_server_disconnect(role->callers);
	callers_free(role->connections); /* it heard of each end */
	soup_server_disconnect(role->operators);
	g_object_unref(role->callers);
	g_object_unref(role->operators);
}

/*
 * Tell the control task once no caller waits any more.
 */
void
front_drain_check(front_role_t *role)
{
	msg_t *msg;

	if (!role->draining || role->drained ||
	    g_hash_table_size(role->pending) > 0)
		return;
	role->drained = true;
	msg = msg_new(&bp__drained__descriptor);
	((Bp__Drained *)msg->body)->task = arena_strdup(msg->arena, "front");
	task_send(role->daemon->control, role->task, msg);
}

/*
 * Take no new statements but those of open transactions.
 */
static void
on_drain(void *context, msg_t *msg)
{
	front_role_t *role = context;

	role->draining = true;
	front_drain_check(role);
	msg_free(msg);
}

/*
 * A statement was answered.
 */
static void
on_answered(void *context, msg_t *msg)
{
	route_answered(context, (const Bp__StatementAnswered *)msg->body);
	msg_free(msg);
}

/*
 * The members have changed.
 */
static void
on_members(void *context, msg_t *msg)
{
	const Bp__MembersChanged *changed =
	    (const Bp__MembersChanged *)msg->body;
	front_role_t *role = context;
	size_t i;

	g_hash_table_remove_all(role->owners);
	g_ptr_array_set_size(role->members, 0);
	g_hash_table_remove_all(role->living);
	for (i = 0; i < changed->n_members; i++) {
		const Bp__Member *member = changed->members[i];

		if (member->state == BP__MEMBER_STATE__DEAD)
			continue;
		g_hash_table_add(role->living, g_strdup(member->name));
		if (member->state != BP__MEMBER_STATE__DRAINED)
			g_ptr_array_add(role->members, g_strdup(member->name));
	}
	msg_free(msg);
}

/*
 * A document is in force from now on.
 */
static void
on_document(void *context, msg_t *msg)
{
	const Bp__Accepted *accepted =
	    ((const Bp__DocumentInForce *)msg->body)->accepted;
	front_role_t *role = context;
	arena_t *arena = arena_new();
	faults_t faults = {arena, NULL, 0, NULL};
	front_team_t *team = arena_zero(arena, sizeof(*team));

	team->arena = arena;
	team->version = accepted->version;
	team->document = document_read(
	    arena, accepted->document, strlen(accepted->document), &faults);
	if (team->document == NULL)
		arena_free(arena);
	else
		g_hash_table_replace(role->teams, team->document->team, team);
	msg_free(msg);
}

/*
 * A task gave its part of the status page.
 */
static void
on_part(void *context, msg_t *msg)
{
	questions_part(((front_role_t *)context)->questions, msg);
}

static const task_handler_t handlers[] = {
    {&bp__statement_answered__descriptor, on_answered},
    {&bp__members_changed__descriptor, on_members},
    {&bp__document_in_force__descriptor, on_document},
    {&bp__drain__descriptor, on_drain},
    {&bp__status_part__descriptor, on_part},
};

const task_ops_t front_ops = {
    "front", on_start, on_stop, handlers, G_N_ELEMENTS(handlers)};
