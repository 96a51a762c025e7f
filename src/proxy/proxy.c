#include "proxy.h"

#include "event.pb-c.h"

#include <errno.h>
#include <glib-unix.h>
#include <signal.h>
#include <string.h>

/* The proxy daemon: its tasks, and the control task with its signals. */

#define PART "proxy"

typedef struct control {
	const proxy_t *proxy;
	task_t *task;
	GSource *term;
	GSource *interrupt;
	GSource *hangup;
	bool leaving;
} control_t;

/*
 * Split "IP:PORT".  Returns 0, or -EINVAL when the text is neither.
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
 * The socket address that "IP:PORT" names, or NULL when the text is neither.
 */
GSocketAddress *
address_parse(const char *text)
{
	GSocketAddress *at;
	char *address;
	uint32_t port;

	if (address_split(text, &address, &port) < 0)
		return NULL;
	at = g_inet_socket_address_new_from_string(address, port);
	g_free(address);
	return at;
}

/*
 * Make the role; it is given to task_new().
 */
void *
proxy_control_new(const proxy_t *proxy)
{
	control_t *control = g_new0(control_t, 1);

	control->proxy = proxy;
	return control;
}

/*
 * Free the role after its task has ended.
 */
void
proxy_control_free(void *context)
{
	g_free(context);
}

/*
 * The first signal has the daemon leave, the second ends it at once.
 */
static gboolean
on_signal(gpointer context)
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
	task_send(control->proxy->clients, control->task, msg);
	return G_SOURCE_CONTINUE;
}

/*
 * Nothing in the settings can change while the daemon runs.
 */
static gboolean
on_hangup(gpointer context)
{
	(void)context;
	log_line(PART, G_LOG_LEVEL_MESSAGE,
	    "The settings are read at the next start.");
	return G_SOURCE_CONTINUE;
}

/*
 * Handle a signal on the loop.
 */
static GSource *
signal_source(control_t *control, int32_t number, GSourceFunc callback)
{
	GSource *source = g_unix_signal_source_new(number);

	g_source_set_callback(source, callback, control, NULL);
	g_source_attach(source, task_context(control->task));
	return source;
}

/*
 * The task starts, and the others beside it.
 */
static int32_t
on_start(void *context, task_t *task)
{
	control_t *control = context;
	const proxy_t *proxy = control->proxy;
	int32_t error;

	control->task = task;
	control->term = signal_source(control, SIGTERM, on_signal);
	control->interrupt = signal_source(control, SIGINT, on_signal);
	control->hangup = signal_source(control, SIGHUP, on_hangup);
	error = task_start_beside(proxy->pool);
	if (error == 0)
		error = task_start_beside(proxy->peers);
	if (error == 0)
		error = task_start_beside(proxy->registry);
	if (error == 0)
		error = task_start_beside(proxy->clients);
	if (error == 0)
		error = task_start_beside(proxy->metrics);
	return error;
}

/*
 * The task ends, and the others before it; the pool's last answers reach the
 * clients.
 */
static void
on_stop(void *context)
{
	control_t *control = context;
	const proxy_t *proxy = control->proxy;

	task_stop_beside(proxy->metrics);
	task_stop_beside(proxy->registry);
	task_stop_beside(proxy->peers);
	task_stop_beside(proxy->pool);
	task_deliver();
	task_stop_beside(proxy->clients);
	source_drop(&control->term);
	source_drop(&control->interrupt);
	source_drop(&control->hangup);
}

/*
 * The clients' task has ended what it had.
 */
static void
on_left(void *context, msg_t *msg)
{
	control_t *control = context;

	msg_free(msg);
	task_quit(control->task);
}

static const task_handler_t handlers[] = {
    {&bp__left__descriptor, on_left},
};

const task_ops_t proxy_control_ops = {
    "control", on_start, on_stop, handlers, G_N_ELEMENTS(handlers)};

/*
 * Run the daemon until it is told to end.  Returns 0 or the negative error
 * number of a task that could not start.
 */
int32_t
proxy_run(const Bp__ProxySettings *settings, const wire_ops_t *wire,
    const objects_ops_t *objects, const promoter_ops_t *promoter)
{
	proxy_t proxy = {settings, wire, objects, promoter, NULL, NULL, NULL,
	    NULL, NULL, NULL};
	void *control = proxy_control_new(&proxy), *pool = pool_new(&proxy);
	void *registry = registry_new(&proxy), *clients = clients_new(&proxy);
	void *peers = peers_new(&proxy), *metrics = metrics_new(&proxy);
	Bp__ProcessStarted started = BP__PROCESS_STARTED__INIT;
	Bp__ProcessEnded ended = BP__PROCESS_ENDED__INIT;
	int32_t error;

	proxy.control = task_new(&proxy_control_ops, control);
	proxy.pool = task_new_beside(&pool_ops, pool, proxy.control);
	proxy.registry =
	    task_new_beside(&registry_ops, registry, proxy.control);
	proxy.peers = task_new_beside(&peers_ops, peers, proxy.control);
	proxy.clients = task_new_beside(&clients_ops, clients, proxy.control);
	proxy.metrics = task_new_beside(&metrics_ops, metrics, proxy.control);
	started.daemon = settings->name;
	started.version = (char *)BP_VERSION;
	started.zone = settings->zone;
	started.clients = settings->client_address;
	started.store = settings->store_address;
	log_event(G_LOG_LEVEL_MESSAGE, &started.base);
	error = task_run_here(proxy.control);
	ended.daemon = settings->name;
	ended.error = error;
	log_event(G_LOG_LEVEL_MESSAGE, &ended.base);
	task_free(proxy.metrics);
	task_free(proxy.clients);
	task_free(proxy.peers);
	task_free(proxy.registry);
	task_free(proxy.pool);
	task_free(proxy.control);
	metrics_free(metrics);
	clients_free(clients);
	registry_free(registry);
	peers_free(peers);
	pool_free(pool);
	proxy_control_free(control);
	return error;
}
