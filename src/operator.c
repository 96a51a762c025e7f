#include "front.h"

#include "http.h"

#include <string.h>

/* The HTTP server for operators: the status page and the metrics. */

static const char *const counter_names[FRONT_COUNTERS] = {
    [COUNT_REQUESTS] = "requests",
    [COUNT_BAD_REQUESTS] = "bad_requests",
    [COUNT_REQUESTS_TOO_LARGE] = "requests_too_large",
    [COUNT_REQUESTS_TOO_SLOW] = "requests_too_slow",
    [COUNT_CONNECTIONS_REFUSED] = "connections_refused",
    [COUNT_STATEMENTS_REROUTED] = "statements_rerouted",
    [COUNT_LATE_ANSWERS] = "late_answers",
    [COUNT_CONNECTIONS] = "caller_connections",
};

/*
 * Handle GET /v1/status and GET /v1/metrics.
 */
static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer context)
{
	front_ctx_t *ctx = context;
	task_t *to[] = {
	    ctx->daemon->group, ctx->daemon->peer, ctx->daemon->platform};
	counters_t counters = {counter_names, ctx->counts, FRONT_COUNTERS, 1};
	bool metrics = strcmp(path, "/v1/metrics") == 0;

	(void)server;
	(void)query;
	if (!metrics && strcmp(path, "/v1/status") != 0) {
		soup_server_message_set_status(message, 404, NULL);
		return;
	}
	ctx->counts[COUNT_CONNECTIONS_REFUSED] =
	    caller_conns_refused(ctx->connections);
	ctx->counts[COUNT_CONNECTIONS] = caller_conns_count(ctx->connections);
	status_collector_request(ctx->status_collector, message,
	    metrics ? STATUS_FORMAT_METRICS : STATUS_FORMAT_JSON, ctx->draining,
	    &counters, ctx->task, to, G_N_ELEMENTS(to));
}

/*
 * Listen for operators.  Returns 0 or a negative error number.
 */
int32_t
operator_start(front_ctx_t *ctx)
{
	const Bp__Settings *settings = ctx->daemon->settings;

	ctx->operator_server = soup_server_new(NULL, NULL);
	soup_server_add_handler(
	    ctx->operator_server, NULL, on_request, ctx, NULL);
	return http_listen(ctx->operator_server,
	    g_inet_socket_address_new_from_string(
		settings->address, settings->operator_port),
	    "operators");
}
