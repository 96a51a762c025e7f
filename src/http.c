#include "http.h"

#include "task.h"

#include <errno.h>
#include <string.h>

#define LOG_PART "http"

#define CONNECTIONS_MAX 8 /* two are held open by long polls for changes */

struct http_client {
	SoupSession *session;
	char *base_url;
	uint32_t timeout_ms;
	GCancellable *closing; /* cancelled once http_client_free() begins */
};

/* A request that was sent and has no response yet. */
typedef struct request {
	http_client_t *http;
	SoupMessage *message;
	GCancellable *cancellable;
	GSource *timeout;
	http_response_cb callback;
	void *context;
} request_t;

/*
 * Create a client for the server at "IP:PORT".  The client connects with its
 * first request.
 */
http_client_t *
http_client_new(const char *address, uint32_t timeout_ms)
{
	http_client_t *http = g_new0(http_client_t, 1);

	http->session = soup_session_new_with_options("max-conns-per-host",
	    CONNECTIONS_MAX, "proxy-resolver", NULL, NULL);
	http->base_url = g_strdup_printf("http://%s", address);
	http->timeout_ms = timeout_ms;
	http->closing = g_cancellable_new();
	return http;
}

/*
 * Create a request.  http_request_send() takes it over.
 */
SoupMessage *
http_request_new(http_client_t *http, const char *method, const char *path)
{
	char *url = g_strconcat(http->base_url, path, NULL);
	SoupMessage *message = soup_message_new(method, url);

	g_free(url);
	return message;
}

/*
 * Free a request.
 */
static void
request_free(request_t *request)
{
	source_clear(&request->timeout);
	g_object_unref(request->message);
	g_object_unref(request->cancellable);
	g_free(request);
}

/*
 * Handle the end of a request: pass its response to the callback, unless the
 * client is being freed.
 */
static void
on_response(GObject *session, GAsyncResult *result, gpointer context)
{
	request_t *request = context;
	GError *error = NULL;
	GBytes *body = soup_session_send_and_read_finish(
	    SOUP_SESSION(session), result, &error);
	gsize size = 0;
	const char *bytes;
	char *text = NULL;

	if (body != NULL) {
		bytes = g_bytes_get_data(body, &size);
		text = g_strndup(bytes == NULL ? "" : bytes, size);
		g_bytes_unref(body);
	}
	if (!g_cancellable_is_cancelled(request->http->closing))
		request->callback(request->context,
		    text == NULL ? 0
				 : soup_message_get_status(request->message),
		    text, size);
	g_clear_error(&error);
	g_free(text);
	request_free(request);
	task_dispatch_local();
}

/*
 * Cancel a request that has timed out.
 */
static gboolean
on_timeout(gpointer context)
{
	request_t *request = context;

	g_cancellable_cancel(request->cancellable);
	return G_SOURCE_REMOVE;
}

/*
 * Send a request with an optional JSON body.  Its timeout is that of the client
 * plus extra_wait_ms.
 */
void
http_request_send(http_client_t *http, SoupMessage *message, const char *body,
    uint32_t extra_wait_ms, http_response_cb callback, void *context)
{
	request_t *request = g_new0(request_t, 1);
	GBytes *bytes;

	request->http = http;
	request->message = message;
	request->callback = callback;
	request->context = context;
	request->cancellable = g_cancellable_new();
	if (body != NULL) {
		bytes = g_bytes_new(body, strlen(body));
		soup_message_set_request_body_from_bytes(
		    message, "application/json", bytes);
		g_bytes_unref(bytes);
	}
	request->timeout =
	    g_timeout_source_new(http->timeout_ms + extra_wait_ms);
	g_source_set_callback(request->timeout, on_timeout, request, NULL);
	g_source_attach(request->timeout, g_main_context_get_thread_default());
	soup_session_send_and_read_async(http->session, message,
	    G_PRIORITY_DEFAULT, request->cancellable, on_response, request);
}

/*
 * Abort all requests without calling their callbacks, and free the client.
 */
void
http_client_free(http_client_t *http)
{
	g_cancellable_cancel(http->closing);
	soup_session_abort(http->session);
	/* dispatch pending events, so that on_response() frees the requests */
	while (g_main_context_iteration(
	    g_main_context_get_thread_default(), FALSE))
		;
	g_object_unref(http->session);
	g_object_unref(http->closing);
	g_free(http->base_url);
	g_free(http);
}

/*
 * Make a server listen on an address and take over the reference to it.  The
 * client kind, such as "operators", is for the log.  Returns 0; -EINVAL if the
 * address is NULL because it could not be parsed; or -EADDRINUSE if the server
 * cannot listen, which is logged.
 */
int32_t
http_listen(
    SoupServer *server, GSocketAddress *listen_address, const char *client_kind)
{
	GError *error = NULL;
	char *text;

	if (listen_address == NULL)
		return -EINVAL;
	if (!soup_server_listen(
		server, listen_address, (SoupServerListenOptions)0, &error)) {
		text = g_socket_connectable_to_string(
		    G_SOCKET_CONNECTABLE(listen_address));
		log_line(LOG_PART, G_LOG_LEVEL_CRITICAL,
		    "Cannot listen for %s on %s: %s.", client_kind, text,
		    error->message);
		g_free(text);
		g_clear_object(&listen_address);
		g_error_free(error);
		return -EADDRINUSE;
	}
	g_object_unref(listen_address);
	return 0;
}
