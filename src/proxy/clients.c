#include "session.h"

#include "http.h"

#include <errno.h>
#include <string.h>

/* The clients' task: its listeners and its messages. */

/* Of a daemon that leaves: how often sessions are looked at. */
#define LEAVE_TICK_MS 50

/*
 * The balancer needs two questions, a second apart, to take a daemon out;
 * sessions that are quiet are closed after that.
 */
#define ROTATION_US (INT64_C(2200) * US_PER_MS)

/* Before the end of the grace everything that is left is ended. */
#define LAST_US (INT64_C(700) * US_PER_MS)

/*
 * Make the role; it is given to task_new_beside().
 */
void *
clients_new(const proxy_t *proxy)
{
	clients_t *clients = g_new0(clients_t, 1);

	clients->proxy = proxy;
	clients->wire = proxy->wire;
	clients->sessions = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, session_free);
	clients->routes = g_hash_table_new(g_str_hash, g_str_equal);
	return clients;
}

/*
 * Free the role after its task has ended.
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
 * A client has connected.
 */
static void
on_accepted(void *context, GSocket *socket)
{
	session_new(context, socket);
}

/*
 * The balancer asks whether this daemon takes new connections.
 */
static void
on_probe(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer context)
{
	clients_t *clients = context;
	bool ready = clients->known && clients->leaving_us == 0;

	(void)server;
	(void)path;
	(void)query;
	soup_server_message_set_status(message, ready ? 200 : 503, NULL);
	soup_server_message_set_response(
	    message, "text/plain", SOUP_MEMORY_STATIC, "", 0);
}

/*
 * Listen for the balancer.  Returns 0 or a negative error number.
 */
static int32_t
listen_probe(clients_t *clients)
{
	clients->probe = soup_server_new(NULL, NULL);
	soup_server_add_handler(
	    clients->probe, "/ready", on_probe, clients, NULL);
	return http_listen(clients->probe,
	    address_parse(clients->proxy->settings->ready_address),
	    "the balancer");
}

/*
 * The task starts.
 */
static int32_t
on_start(void *context, task_t *task)
{
	clients_t *clients = context;

	clients->task = task;
	clients->listener = listener_open(task_context(task),
	    clients->proxy->settings->client_address, on_accepted, clients);
	return clients->listener == NULL ? -EADDRINUSE : listen_probe(clients);
}

/*
 * Stop to listen.
 */
static void
listeners_close(clients_t *clients)
{
	listener_close(clients->listener);
	clients->listener = NULL;
	if (clients->probe != NULL) {
		soup_server_disconnect(clients->probe);
		g_clear_object(&clients->probe);
	}
}

/*
 * The task ends.
 */
static void
on_stop(void *context)
{
	clients_t *clients = context;

	source_drop(&clients->tick);
	listeners_close(clients);
	g_hash_table_remove_all(clients->sessions);
}

/*
 * A catalog is in force.  Sessions that waited for the first are opened.
 */
static void
on_catalog(void *context, msg_t *msg)
{
	const Bp__Catalog *catalog =
	    ((const Bp__CatalogInForce *)msg->body)->catalog;
	clients_t *clients = context;
	GHashTableIter iter;
	gpointer value;
	GList *all, *l;
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
	if (clients->known)
		return;
	clients->known = true;
	all = NULL;
	g_hash_table_iter_init(&iter, clients->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((session_t *)value)->for_catalog)
			all = g_list_prepend(all, value);
	}
	for (l = all; l != NULL; l = l->next)
		session_opened(l->data);
	g_list_free(all);
}

/*
 * A statement has ended; its session may have ended before.
 */
static void
on_ended(void *context, msg_t *msg)
{
	const Bp__OperationEnded *ended = (const Bp__OperationEnded *)msg->body;
	clients_t *clients = context;
	session_t *session =
	    g_hash_table_lookup(clients->sessions, &ended->session);

	if (session != NULL)
		session_answered(session, ended);
	msg_free(msg);
}

/*
 * A transaction was rolled back between two statements.
 */
static void
on_dropped(void *context, msg_t *msg)
{
	const Bp__TransactionDropped *dropped =
	    (const Bp__TransactionDropped *)msg->body;
	clients_t *clients = context;
	session_t *session =
	    g_hash_table_lookup(clients->sessions, &dropped->session);

	if (session != NULL)
		session_dropped(session);
	msg_free(msg);
}

/*
 * What a daemon that leaves does about one session: close it when that loses
 * nothing, and end its transaction after half of the grace.
 */
static void
leave_session(clients_t *clients, session_t *session, int64_t now_us)
{
	int64_t left_us = now_us - clients->leaving_us;

	if (left_us >= clients->grace_us / 2 &&
	    session->state == SESSION_IN_TRANSACTION && !session->waiting)
		session_abort(session);
	if (left_us >= ROTATION_US && session_quiet(session))
		session_end(session);
}

/*
 * A daemon that leaves looks after its sessions, and tells when none is left
 * or the time is over.
 */
static gboolean
on_leave_tick(gpointer context)
{
	clients_t *clients = context;
	int64_t now_us = clock_us();
	GList *all = g_hash_table_get_values(clients->sessions), *l;

	for (l = all; l != NULL; l = l->next)
		leave_session(clients, l->data, now_us);
	g_list_free(all);
	if ((g_hash_table_size(clients->sessions) == 0 &&
		now_us - clients->leaving_us >= ROTATION_US) ||
	    now_us - clients->leaving_us >= clients->grace_us - LAST_US) {
		source_drop(&clients->tick);
		task_send(clients->proxy->control, clients->task,
		    msg_new(&bp__left__descriptor));
		return G_SOURCE_REMOVE;
	}
	task_deliver();
	return G_SOURCE_CONTINUE;
}

/*
 * The daemon leaves.
 */
static void
on_leave(void *context, msg_t *msg)
{
	clients_t *clients = context;

	clients->leaving_us = clock_us();
	clients->grace_us =
	    (int64_t)((const Bp__Leave *)msg->body)->grace_ms * US_PER_MS;
	clients->tick =
	    task_timer(clients->task, LEAVE_TICK_MS, on_leave_tick, clients);
	msg_free(msg);
}

static const char *const counter_names[COUNT_CLIENTS_COUNTERS] = {
    [COUNT_SESSIONS_OPENED] = "sessions_opened",
    [COUNT_STATEMENTS_REFUSED] = "statements_refused",
    [COUNT_SESSIONS] = "sessions",
};

/*
 * An operator wants to know.
 */
static void
on_status(void *context, msg_t *msg)
{
	clients_t *clients = context;
	counters_t counters = {
	    counter_names, clients->counts, COUNT_CLIENTS_COUNTERS, 1};

	clients->counts[COUNT_SESSIONS] = g_hash_table_size(clients->sessions);
	task_send(msg->from, clients->task, counters_answer(&counters, msg));
	msg_free(msg);
}

static const task_handler_t handlers[] = {
    {&bp__catalog_in_force__descriptor, on_catalog},
    {&bp__operation_ended__descriptor, on_ended},
    {&bp__transaction_dropped__descriptor, on_dropped},
    {&bp__leave__descriptor, on_leave},
    {&bp__status_wanted__descriptor, on_status},
};

const task_ops_t clients_ops = {
    "clients", on_start, on_stop, handlers, G_N_ELEMENTS(handlers)};
