#include "session.h"

#include "http.h"

#include <errno.h>
#include <string.h>

/*
 * The clients task: the listeners for clients and health checks, the messages
 * of the task, and the draining of sessions at shutdown.
 */

/* Interval of the timer that drains sessions during shutdown. */
#define DRAIN_TICK_MS 50

/*
 * The load balancer takes a daemon out of rotation after two failed health
 * checks, which come a second apart.  A daemon that shuts down closes idle
 * sessions only after that, so that their clients do not reconnect to it.
 */
#define ROTATION_US (INT64_C(2200) * US_PER_MS)

/*
 * Time before the end of the grace period at which draining stops, so that the
 * sessions that are left can be ended in time.
 */
#define GRACE_MARGIN_US (INT64_C(700) * US_PER_MS)

/*
 * Create the context of the clients task, for task_new_hosted().
 */
void *
clients_new(const proxy_t *proxy)
{
	clients_t *clients = g_new0(clients_t, 1);

	clients->proxy = proxy;
	clients->wire = proxy->wire;
	clients->output.held_bytes_max = CLIENTS_RESULTS_BYTES_MAX;
	clients->sessions = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, session_free);
	clients->routes = g_hash_table_new(g_str_hash, g_str_equal);
	return clients;
}

/*
 * Free the context of the clients task, after the task has been freed.
 */
void
clients_free(void *context)
{
	clients_t *clients = context;

	g_hash_table_unref(clients->sessions);
	g_hash_table_unref(clients->routes);
	arena_free(clients->arena);
	g_free(clients);
}

/*
 * Handle a new client connection.
 */
static void
on_accepted(void *context, GSocket *socket)
{
	session_new(context, socket);
}

/*
 * Answer the load balancer's health check: 200 if this daemon takes new
 * connections, else 503.
 */
static void
on_health_check(SoupServer *server, SoupServerMessage *message,
    const char *path, GHashTable *query, gpointer context)
{
	clients_t *clients = context;
	bool ready = clients->has_catalog && clients->drain_started_us == 0;

	(void)server;
	(void)path;
	(void)query;
	soup_server_message_set_status(message, ready ? 200 : 503, NULL);
	soup_server_message_set_response(
	    message, "text/plain", SOUP_MEMORY_STATIC, "", 0);
}

/*
 * Listen for health checks of the load balancer.  Returns 0 or a negative error
 * number.
 */
static int32_t
listen_health_checks(clients_t *clients)
{
	clients->health_server = soup_server_new(NULL, NULL);
	soup_server_add_handler(
	    clients->health_server, "/ready", on_health_check, clients, NULL);
	return http_listen(clients->health_server,
	    address_parse(clients->proxy->settings->ready_address),
	    "health checks");
}

/*
 * Start the task: listen for clients and health checks.
 */
static int32_t
on_start(void *context, task_t *task)
{
	clients_t *clients = context;

	clients->task = task;
	clients->listener = listener_open(task_main_context(task),
	    clients->proxy->settings->client_address, on_accepted, clients);
	return clients->listener == NULL ? -EADDRINUSE
					 : listen_health_checks(clients);
}

/*
 * Close the listeners.
 */
static void
listeners_close(clients_t *clients)
{
	listener_close(clients->listener);
	clients->listener = NULL;
	if (clients->health_server != NULL) {
		soup_server_disconnect(clients->health_server);
		g_clear_object(&clients->health_server);
	}
}

/*
 * Stop the task: close the listeners and free all sessions.
 */
static void
on_stop(void *context)
{
	clients_t *clients = context;

	source_clear(&clients->drain_timer);
	listeners_close(clients);
	g_hash_table_remove_all(clients->sessions);
}

/*
 * Handle CatalogInForce: replace the routes.  After the first catalog, complete
 * the opening of the sessions that waited for it.
 */
static void
on_catalog(void *context, msg_t *msg)
{
	const Bp__Catalog *catalog =
	    ((const Bp__CatalogInForce *)msg->body)->catalog;
	clients_t *clients = context;
	GHashTableIter iter;
	gpointer value;
	GList *awaiting, *l;
	size_t i;

	g_hash_table_remove_all(clients->routes);
	arena_free(clients->arena);
	clients->arena = arena_new();
	for (i = 0; i < catalog->n_routes; i++) {
		Bp__Route *route = (Bp__Route *)message_copy(
		    clients->arena, &catalog->routes[i]->base);

		g_hash_table_insert(clients->routes, route->database, route);
	}
	msg_free(msg);
	if (clients->has_catalog)
		return;
	clients->has_catalog = true;
	awaiting = NULL;
	g_hash_table_iter_init(&iter, clients->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((session_t *)value)->awaiting_catalog)
			awaiting = g_list_prepend(awaiting, value);
	}
	for (l = awaiting; l != NULL; l = l->next)
		session_catalog_ready(l->data);
	g_list_free(awaiting);
}

/*
 * Handle OperationEnded: pass a statement's result to its session, unless the
 * session has ended meanwhile.
 */
static void
on_operation_ended(void *context, msg_t *msg)
{
	const Bp__OperationEnded *ended = (const Bp__OperationEnded *)msg->body;
	clients_t *clients = context;
	session_t *session =
	    g_hash_table_lookup(clients->sessions, &ended->session);

	if (session != NULL)
		session_operation_ended(session, ended);
	msg_free(msg);
}

/*
 * Handle TransactionDropped: the pool has rolled back a session's idle
 * transaction.
 */
static void
on_transaction_dropped(void *context, msg_t *msg)
{
	const Bp__TransactionDropped *dropped =
	    (const Bp__TransactionDropped *)msg->body;
	clients_t *clients = context;
	session_t *session =
	    g_hash_table_lookup(clients->sessions, &dropped->session);

	if (session != NULL)
		session_transaction_dropped(session);
	msg_free(msg);
}

/*
 * Drain one session.  After half of the grace period, abort its transaction
 * unless a statement is running.  Close the session once it is idle and the
 * load balancer has taken this daemon out of rotation.
 */
static void
drain_session(clients_t *clients, session_t *session, int64_t now_us)
{
	int64_t drained_for_us = now_us - clients->drain_started_us;

	if (drained_for_us >= clients->grace_us / 2 &&
	    session->state == TRANSACTION_OPEN && !session->waiting)
		session_abort_transaction(session);
	if (drained_for_us >= ROTATION_US && session_is_idle(session))
		session_close(session);
}

/*
 * Handle the drain timer: drain the sessions, and send Left when none remains
 * or the grace period is nearly over.
 */
static gboolean
on_drain_tick(gpointer context)
{
	clients_t *clients = context;
	int64_t now_us = clock_us();
	GList *sessions = g_hash_table_get_values(clients->sessions), *l;

	for (l = sessions; l != NULL; l = l->next)
		drain_session(clients, l->data, now_us);
	g_list_free(sessions);
	if ((g_hash_table_size(clients->sessions) == 0 &&
		now_us - clients->drain_started_us >= ROTATION_US) ||
	    now_us - clients->drain_started_us >=
		clients->grace_us - GRACE_MARGIN_US) {
		source_clear(&clients->drain_timer);
		task_send(clients->proxy->control, clients->task,
		    msg_new(&bp__left__descriptor));
		return G_SOURCE_REMOVE;
	}
	task_dispatch_local();
	return G_SOURCE_CONTINUE;
}

/*
 * Handle Leave: the daemon shuts down; start to drain the sessions.
 */
static void
on_leave(void *context, msg_t *msg)
{
	clients_t *clients = context;

	clients->drain_started_us = clock_us();
	clients->grace_us =
	    (int64_t)((const Bp__Leave *)msg->body)->grace_ms * US_PER_MS;
	clients->drain_timer =
	    task_timer(clients->task, DRAIN_TICK_MS, on_drain_tick, clients);
	msg_free(msg);
}

static const char *const counter_names[CLIENTS_COUNTERS] = {
    [COUNT_SESSIONS_OPENED] = "sessions_opened",
    [COUNT_STATEMENTS_REFUSED] = "statements_refused",
    [COUNT_SESSIONS] = "sessions",
};

/*
 * Handle StatusRequest: send this task's counters for the status page.
 */
static void
on_status(void *context, msg_t *msg)
{
	clients_t *clients = context;
	counters_t counters = {
	    counter_names, clients->counts, CLIENTS_COUNTERS, 1};

	clients->counts[COUNT_SESSIONS] = g_hash_table_size(clients->sessions);
	task_send(
	    msg->from, clients->task, counters_status_part(&counters, msg));
	msg_free(msg);
}

static const task_handler_t handlers[] = {
    {&bp__catalog_in_force__descriptor, on_catalog},
    {&bp__operation_ended__descriptor, on_operation_ended},
    {&bp__transaction_dropped__descriptor, on_transaction_dropped},
    {&bp__leave__descriptor, on_leave},
    {&bp__status_request__descriptor, on_status},
};

const task_ops_t clients_ops = {
    "clients", on_start, on_stop, handlers, G_N_ELEMENTS(handlers)};
