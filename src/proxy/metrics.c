#include "http.h"
#include "proxy.h"
#include "question.h"

#include <string.h>

/* The operators' task: the status page and the metrics. */

typedef struct metrics {
	const proxy_t *proxy;
	task_t *task;
	SoupServer *server; /* NULL: no address was set */
	questions_t *questions;
} metrics_t;

/*
 * Make the role; it is given to task_new_beside().
 */
void *
metrics_new(const proxy_t *proxy)
{
	metrics_t *metrics = g_new0(metrics_t, 1);

	metrics->proxy = proxy;
	metrics->questions = questions_new(proxy->settings->name);
	return metrics;
}

/*
 * Free the role after its task has ended.
 */
void
metrics_free(void *context)
{
	metrics_t *metrics = context;

	questions_free(metrics->questions);
	g_free(metrics);
}

/*
 * GET /metrics and GET /v1/status.
 */
static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer context)
{
	metrics_t *metrics = context;
	const proxy_t *proxy = metrics->proxy;
	task_t *to[] = {proxy->pool, proxy->clients, proxy->registry};
	static const counters_t none;
	bool text = strcmp(path, "/metrics") == 0;

	(void)server;
	(void)query;
	if (text || strcmp(path, "/v1/status") == 0)
		questions_ask(metrics->questions, message,
		    text ? QUESTION_METRICS : QUESTION_STATUS, false, &none,
		    metrics->task, to, G_N_ELEMENTS(to));
	else
		soup_server_message_set_status(message, 404, NULL);
}

/*
 * The task starts.  The daemon serves its clients without metrics, too.
 */
static int32_t
on_start(void *context, task_t *task)
{
	metrics_t *metrics = context;
	const char *text = metrics->proxy->settings->metrics_address;

	metrics->task = task;
	if (text == NULL)
		return 0;
	metrics->server = soup_server_new(NULL, NULL);
	soup_server_add_handler(
	    metrics->server, NULL, on_request, metrics, NULL);
	http_listen(metrics->server, address_parse(text), "metrics");
	return 0;
}

/*
 * The task ends.
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
 * A task gave its part of an answer.
 */
static void
on_part(void *context, msg_t *msg)
{
	questions_part(((metrics_t *)context)->questions, msg);
}

static const task_handler_t handlers[] = {
    {&bp__status_part__descriptor, on_part},
};

const task_ops_t metrics_ops = {
    "metrics", on_start, on_stop, handlers, G_N_ELEMENTS(handlers)};
