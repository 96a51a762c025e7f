#include "http.h"
#include "proxy.h"
#include "status_collector.h"

#include <string.h>

/*
 * The metrics task: an HTTP server with the metrics and the status page, which
 * are gathered from the other tasks.
 */

typedef struct metrics {
	const proxy_t *proxy;
	task_t *task;
	SoupServer *server; /* NULL: no metrics address is configured */
	/* HTTP requests that wait for the other tasks' status */
	status_collector_t *status_collector;
} metrics_t;

/*
 * Create the context of the metrics task, for task_new_hosted().
 */
void *
metrics_new(const proxy_t *proxy)
{
	metrics_t *metrics = g_new0(metrics_t, 1);

	metrics->proxy = proxy;
	metrics->status_collector = status_collector_new(proxy->settings->name);
	return metrics;
}

/*
 * Free the context of the metrics task, after the task has been freed.
 */
void
metrics_free(void *context)
{
	metrics_t *metrics = context;

	status_collector_free(metrics->status_collector);
	g_free(metrics);
}

/*
 * Handle GET /metrics and GET /v1/status: ask the other tasks for their parts.
 */
static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer context)
{
	metrics_t *metrics = context;
	const proxy_t *proxy = metrics->proxy;
	task_t *tasks[] = {
	    proxy->pool, proxy->clients, proxy->registry, proxy->router};
	static const counters_t no_counters;
	bool as_text = strcmp(path, "/metrics") == 0;

	(void)server;
	(void)query;
	if (as_text || strcmp(path, "/v1/status") == 0)
		status_collector_request(metrics->status_collector, message,
		    as_text ? STATUS_FORMAT_METRICS : STATUS_FORMAT_JSON, false,
		    &no_counters, metrics->task, tasks, G_N_ELEMENTS(tasks));
	else
		soup_server_message_set_status(message, 404, NULL);
}

/*
 * Start the task: listen for HTTP requests if an address is configured.  A
 * failure to listen is logged but does not stop the daemon, since clients can
 * be served without metrics.
 */
static int32_t
on_start(void *context, task_t *task)
{
	metrics_t *metrics = context;
	const char *address = metrics->proxy->settings->metrics_address;

	metrics->task = task;
	if (address == NULL)
		return 0;
	metrics->server = soup_server_new(NULL, NULL);
	soup_server_add_handler(
	    metrics->server, NULL, on_request, metrics, NULL);
	http_listen(metrics->server, address_parse(address), "metrics");
	return 0;
}

/*
 * Stop the task: close the HTTP server.
 */
static void
on_stop(void *context)
{
	metrics_t *metrics = context;

	if (metrics->server == NULL)
		return;
	soup_server_disconnect(metrics->server);
	g_clear_object(&metrics->server);
}

/*
 * Handle StatusPart: add a task's part to the HTTP response that waits for it.
 */
static void
on_part(void *context, msg_t *msg)
{
	status_collector_add_part(
	    ((metrics_t *)context)->status_collector, msg);
}

static const task_handler_t handlers[] = {
    {&bp__status_part__descriptor, on_part},
};

const task_ops_t metrics_ops = {
    "metrics", on_start, on_stop, handlers, G_N_ELEMENTS(handlers)};
