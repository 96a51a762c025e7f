#include "http.h"

#include "task.h"

#include <errno.h>
#include <string.h>

#define PART "http"

#define CONNECTIONS_MAX 8 /* two of them wait in watches */

struct http {
	SoupSession *session;
	char *base;
	uint32_t timeout_ms;
	GCancellable *closing;
};

/* One call under way. */
typedef struct call {
	http_t *http;
	SoupMessage *message;
	GCancellable *cancellable;
	GSource *timeout;
	http_cb callback;
	void *context;
} call_t;

/*
 * Open the way to an address, "IP:PORT".  Nothing is sent yet.
 */
http_t *
http_open(const char *address, uint32_t timeout_ms)
{
	http_t *http = g_new0(http_t, 1);

	http->session = soup_session_new_with_options("max-conns-per-host",
	    CONNECTIONS_MAX, "proxy-resolver", NULL, NULL);
	http->base = g_strdup_printf("http://%s", address);
	http->timeout_ms = timeout_ms;
	http->closing = g_cancellable_new();
	return http;
}

/*
 * Make the message of a call; http_send() takes it over.
 */
SoupMessage *
http_message(http_t *http, const char *method, const char *path)
{
	char *url = g_strconcat(http->base, path, NULL);
	SoupMessage *message = soup_message_new(method, url);

	g_free(url);
	return message;
}

/*
 * Free a call.
 */
static void
call_free(call_t *call)
{
	source_drop(&call->timeout);
	g_object_unref(call->message);
	g_object_unref(call->cancellable);
	g_free(call);
}

/*
 * A call has ended: hand its answer over, unless the client closes.
 */
static void
on_sent(GObject *session, GAsyncResult *result, gpointer context)
{
	call_t *call = context;
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
	if (!g_cancellable_is_cancelled(call->http->closing))
		call->callback(call->context,
		    text == NULL ? 0 : soup_message_get_status(call->message),
		    text, size);
	g_clear_error(&error);
	g_free(text);
	call_free(call);
	task_deliver();
}

/*
 * A call has taken too long.
 */
static gboolean
on_timeout(gpointer context)
{
	call_t *call = context;

	g_cancellable_cancel(call->cancellable);
	return G_SOURCE_REMOVE;
}

/*
 * Send a call; the answer may be extra_wait_ms later than that of others.
 */
void
http_send(http_t *http, SoupMessage *message, const char *body,
    uint32_t extra_wait_ms, http_cb callback, void *context)
{
	call_t *call = g_new0(call_t, 1);
	GBytes *bytes;

	call->http = http;
	call->message = message;
	call->callback = callback;
	call->context = context;
	call->cancellable = g_cancellable_new();
	if (body != NULL) {
		bytes = g_bytes_new(body, strlen(body));
		soup_message_set_request_body_from_bytes(
		    message, "application/json", bytes);
		g_bytes_unref(bytes);
	}
	call->timeout = g_timeout_source_new(http->timeout_ms + extra_wait_ms);
	g_source_set_callback(call->timeout, on_timeout, call, NULL);
	g_source_attach(call->timeout, g_main_context_get_thread_default());
	soup_session_send_and_read_async(http->session, message,
	    G_PRIORITY_DEFAULT, call->cancellable, on_sent, call);
}

/*
 * End all calls, without an answer to them, and free the client.
 */
void
http_close(http_t *http)
{
	g_cancellable_cancel(http->closing);
	soup_session_abort(http->session);
	/* the calls' ends are still to be met by the loop */
	while (g_main_context_iteration(
	    g_main_context_get_thread_default(), FALSE))
		;
	g_object_unref(http->session);
	g_object_unref(http->closing);
	g_free(http->base);
	g_free(http);
}

/*
 * Have a server listen for somebody on an address, whose reference is taken
 * over; NULL stands for one that could not be read.  Returns 0, -EINVAL, or
 * -EADDRINUSE with a line in the log.
 */
int32_t
http_listen(SoupServer *server, GSocketAddress *at, const char *who)
{
	GError *error = NULL;
	char *text;

	if (at == NULL)
		return -EINVAL;
	if (!soup_server_listen(
		server, at, (SoupServerListenOptions)0, &error)) {
		text = g_socket_connectable_to_string(G_SOCKET_CONNECTABLE(at));
		log_line(PART, G_LOG_LEVEL_CRITICAL,
		    "Cannot listen for %s on %s: %s.", who, text,
		    error->message);
		g_free(text);
		g_clear_object(&at);
		g_error_free(error);
		return -EADDRINUSE;
	}
	g_object_unref(at);
	return 0;
}
