#include "proxy.h"

#include "event.pb-c.h"

#include <errno.h>
#include <glib-unix.h>
#include <signal.h>
#include <string.h>

/* Start and stop of the proxy daemon and its tasks; signal handling. */

#define LOG_PART "proxy"

/* Number of tasks that finish their work before the daemon quits. */
#define LEAVING_TASKS 2

typedef struct control {
	const proxy_t *proxy;
	task_t *task;
	GSource *sigterm;
	GSource *sigint;
	GSource *sighup;
	bool leaving; /* shutting down; a second signal ends the process */
	uint32_t tasks_left; /* number of tasks that have finished their work */
} control_t;

/*
 * Split "IP:PORT" into a new string and a port number.  Returns 0, or -EINVAL
 * if the text does not have this form.
 */
int32_t
address_split(const char *text, char **address, uint32_t *port)
{
	const char *colon = strrchr(text, ':');
	guint64 number;

	if (colon == NULL ||
	    !g_ascii_string_to_unsigned(
		colon + 1, 10, 1, UINT16_MAX, &number, NULL))
		return -EINVAL;
	*address = g_strndup(text, (gsize)(colon - text));
	*port = (uint32_t)number;
	if (g_hostname_is_ip_address(*address))
		return 0;
	g_clear_pointer(address, g_free);
	return -EINVAL;
}

/*
 * Return the socket address for "IP:PORT", or NULL if the text does not have
 * this form.
 */
GSocketAddress *
address_parse(const char *text)
{
	GSocketAddress *socket_address;
	char *address;
	uint32_t port;

	if (address_split(text, &address, &port) < 0)
		return NULL;
	socket_address = g_inet_socket_address_new_from_string(address, port);
	g_free(address);
	return socket_address;
}

/*
 * Create the context of the control task, for task_new().
 */
void *
proxy_control_new(const proxy_t *proxy)
{
	control_t *control = g_new0(control_t, 1);

	control->proxy = proxy;
	return control;
}

/*
 * Free the context of the control task, after the task has been freed.
 */
void
proxy_control_free(void *context)
{
	g_free(context);
}

/*
 * Handle SIGTERM and SIGINT.  The first signal starts a graceful shutdown: the
 * clients task lets running work finish within the grace period.  The second
 * signal ends the daemon at once.
 */
static gboolean
on_terminate(gpointer context)
{
	control_t *control = context;
	Bp__ProcessLeaving leaving = BP__PROCESS_LEAVING__INIT;
	msg_t *msg;

	if (control->leaving) {
		task_quit(control->task);
		return G_SOURCE_CONTINUE;
	}
	control->leaving = true;
	leaving.daemon = control->proxy->settings->name;
	leaving.grace_ms =
	    (uint32_t)(control->proxy->settings->grace_s * MS_PER_S);
	log_event(G_LOG_LEVEL_MESSAGE, &leaving.base);
	msg = msg_new(&bp__leave__descriptor);
	((Bp__Leave *)msg->body)->grace_ms = leaving.grace_ms;
	task_send(control->proxy->registry, control->task, msg_copy(msg->body));
	task_send(control->proxy->peers, control->task, msg_copy(msg->body));
	task_send(control->proxy->pool, control->task, msg_copy(msg->body));
	task_send(control->proxy->clients, control->task, msg);
	return G_SOURCE_CONTINUE;
}

/*
 * Handle SIGHUP, which changes nothing: settings are read only at startup.
 */
static gboolean
on_sighup(gpointer context)
{
	(void)context;
	log_line(LOG_PART, G_LOG_LEVEL_MESSAGE,
	    "SIGHUP ignored: settings are read only at startup.");
	return G_SOURCE_CONTINUE;
}

/*
 * Create an event source that runs a callback of the control task on a signal.
 */
static GSource *
signal_source(control_t *control, int32_t number, GSourceFunc callback)
{
	GSource *source = g_unix_signal_source_new(number);

	g_source_set_callback(source, callback, control, NULL);
	g_source_attach(source, task_main_context(control->task));
	return source;
}

/*
 * Start the control task, and then the other tasks, which run in its thread.
 */
static int32_t
on_start(void *context, task_t *task)
{
	control_t *control = context;
	const proxy_t *proxy = control->proxy;
	int32_t error;

	control->task = task;
	control->sigterm = signal_source(control, SIGTERM, on_terminate);
	control->sigint = signal_source(control, SIGINT, on_terminate);
	control->sighup = signal_source(control, SIGHUP, on_sighup);
	error = task_start_hosted(proxy->pool);
	if (error == 0)
		error = task_start_hosted(proxy->router);
	if (error == 0)
		error = task_start_hosted(proxy->peers);
	if (error == 0)
		error = task_start_hosted(proxy->registry);
	if (error == 0)
		error = task_start_hosted(proxy->clients);
	if (error == 0)
		error = task_start_hosted(proxy->metrics);
	return error;
}

/*
 * Stop the other tasks.  The tasks that wait for the pool are last, so that its
 * last answers reach the clients, also those of other daemons.
 */
static void
on_stop(void *context)
{
	control_t *control = context;
	const proxy_t *proxy = control->proxy;

	task_stop_hosted(proxy->metrics);
	task_stop_hosted(proxy->registry);
	task_stop_hosted(proxy->pool);
	task_stop_hosted(proxy->router);
	task_dispatch_local();
	task_stop_hosted(proxy->peers);
	task_stop_hosted(proxy->clients);
	source_clear(&control->sigterm);
	source_clear(&control->sigint);
	source_clear(&control->sighup);
}

/*
 * Handle Left: the daemon quits when both the clients task and the peers task
 * have finished their work.
 */
static void
on_left(void *context, msg_t *msg)
{
	control_t *control = context;

	msg_free(msg);
	if (++control->tasks_left == LEAVING_TASKS)
		task_quit(control->task);
}

static const task_handler_t handlers[] = {
    {&bp__left__descriptor, on_left},
};

const task_ops_t proxy_control_ops = {
    "control", on_start, on_stop, handlers, G_N_ELEMENTS(handlers)};

/*
 * Run the daemon until it is shut down.  Returns 0, or the negative error
 * number of a task that could not start.
 */
int32_t
proxy_run(const Bp__ProxySettings *settings, const wire_ops_t *wire,
    const object_store_ops_t *objects, const promoter_ops_t *promoter)
{
	proxy_t proxy = {.settings = settings,
	    .start = (uint64_t)g_get_real_time() / US_PER_MS,
	    .wire = wire,
	    .objects = objects,
	    .promoter = promoter};
	void *control = proxy_control_new(&proxy), *pool = pool_new(&proxy);
	void *router = router_new(&proxy);
	void *registry = registry_new(&proxy), *clients = clients_new(&proxy);
	void *peers = peers_new(&proxy), *metrics = metrics_new(&proxy);
	Bp__ProcessStarted started = BP__PROCESS_STARTED__INIT;
	Bp__ProcessEnded ended = BP__PROCESS_ENDED__INIT;
	int32_t error;

	proxy.control = task_new(&proxy_control_ops, control);
	proxy.pool = task_new_hosted(&pool_ops, pool, proxy.control);
	proxy.router = task_new_hosted(&router_ops, router, proxy.control);
	proxy.registry =
	    task_new_hosted(&registry_ops, registry, proxy.control);
	proxy.peers = task_new_hosted(&peers_ops, peers, proxy.control);
	proxy.clients = task_new_hosted(&clients_ops, clients, proxy.control);
	proxy.metrics = task_new_hosted(&metrics_ops, metrics, proxy.control);
	started.daemon = settings->name;
	started.version = (char *)BP_VERSION;
	started.zone = settings->zone;
	started.clients = settings->client_address;
	started.store = settings->store_address;
	log_event(G_LOG_LEVEL_MESSAGE, &started.base);
	error = task_run_in_caller(proxy.control);
	ended.daemon = settings->name;
	ended.error = error;
	log_event(G_LOG_LEVEL_MESSAGE, &ended.base);
	task_free(proxy.metrics);
	task_free(proxy.clients);
	task_free(proxy.peers);
	task_free(proxy.registry);
	task_free(proxy.router);
	task_free(proxy.pool);
	task_free(proxy.control);
	metrics_free(metrics);
	clients_free(clients);
	registry_free(registry);
	peers_free(peers);
	router_free(router);
	pool_free(pool);
	proxy_control_free(control);
	return error;
}
