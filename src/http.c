#include "http.h"

#include "sock.h"
#include "task.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#define LOG_PART "http"

#define CONNECTIONS_MAX 8 /* two are held open by long polls for changes */

/* Largest part of a response that is read at once. */
#define PART_BYTES 16384

/*
 * A response that is being received may take this many times the timeout of the
 * client, which is counted from each part of it anew.
 */
#define TIMEOUTS_MAX 16

/*
 * Time in which the session gives back a request that was cancelled, unless the
 * request waits for a connection.
 */
#define GIVEN_BACK_MS 20

/*
 * A request with a limit for its delivery that the server's system has not
 * acknowledged is reset this long before the limit, so that the kernel does not
 * send it again after that.
 */
#define RESET_EARLY_MS 20

struct http_client {
	SoupSession *session; /* of new requests */
	char *base_url;
	uint32_t timeout_ms;
	uint32_t delivery_ms; /* time in which a request is written */
	GQueue requests;      /* of request_t that have no response yet */
	bool closing;         /* http_client_free() has begun */
};

/* A request that was sent and has no response yet. */
typedef struct request {
	http_client_t *http;
	GList link; /* in the client's requests */
	SoupSession *session;
	SoupMessage *message;
	GCancellable *cancellable;
	GSource *timeout;
	GSocket *socket;        /* its connection, if its delivery is limited */
	uint32_t extra_wait_ms; /* for the answer, beyond the timeout */
	int64_t write_by_us;    /* time after which it is not written */
	bool started;           /* a connection was found for it */
	int64_t
	    last_timeout_us;  /* time at which the response must be complete */
	GInputStream *stream; /* of the response, once it has begun */
	GByteArray *body;     /* what has been received of it */
	bool ended;           /* its callback was called */
	http_response_cb callback;
	void *context;
} request_t;

/*
 * Create a session, which has connections of its own.
 */
static SoupSession *
session_new(void)
{
	return soup_session_new_with_options("max-conns-per-host",
	    CONNECTIONS_MAX, "proxy-resolver", NULL, NULL);
}

/*
 * Create a client for the server at "IP:PORT".  The client connects with its
 * first request.
 */
http_client_t *
http_client_new(const char *address, uint32_t timeout_ms)
{
	http_client_t *http = g_new0(http_client_t, 1);

	http->session = session_new();
	http->base_url = g_strdup_printf("http://%s", address);
	http->timeout_ms = http->delivery_ms = timeout_ms;
	g_queue_init(&http->requests);
	return http;
}

/*
 * Limit the time in which a request reaches the server: to delivery_ms until it
 * is written, and to as much for the kernel to deliver it.  If this process
 * does not run as the second limit ends, the kernel gives up at its next
 * retransmission only.  The response may take the whole timeout after that.
 * Each request opens a connection of its own.
 */
void
http_client_limit_delivery(http_client_t *http, uint32_t delivery_ms)
{
	http->delivery_ms = MIN(delivery_ms, http->timeout_ms);
}

/*
 * Set up a connection that was just opened for a request.  If it is closed
 * before the response is complete, it is reset, also when the process is
 * killed, so that a request that is still on its way is dropped.  Otherwise the
 * kernel would go on to send it, and the server might carry it out long after
 * its timeout.  A process that does not run in that time has its connections
 * ended by the kernel.
 */
static void
on_network_event(SoupMessage *message, GSocketClientEvent event,
    GIOStream *stream, gpointer context)
{
	static const struct linger reset = {.l_onoff = 1, .l_linger = 0};
	const http_client_t *http = context;
	GSocket *socket;

	(void)message;
	if (event != G_SOCKET_CLIENT_CONNECTED ||
	    !G_IS_SOCKET_CONNECTION(stream))
		return;
	socket = g_socket_connection_get_socket(G_SOCKET_CONNECTION(stream));
	if (setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &reset,
		sizeof(reset)) != 0)
		log_line(LOG_PART, G_LOG_LEVEL_WARNING,
		    "Cannot have connections to %s reset: %s.", http->base_url,
		    g_strerror(errno));
	(void)g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
	    (gint)http->delivery_ms, NULL);
}

/*
 * Create a request.  http_request_send() takes it over.
 */
SoupMessage *
http_request_new(http_client_t *http, const char *method, const char *path)
{
	char *url = g_strconcat(http->base_url, path, NULL);
	SoupMessage *message = soup_message_new(method, url);

	g_signal_connect(
	    message, "network-event", G_CALLBACK(on_network_event), http);
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
	g_signal_handlers_disconnect_by_data(request->message, request);
	g_queue_unlink(&request->http->requests, &request->link);
	g_clear_object(&request->stream);
	g_clear_object(&request->socket);
	g_byte_array_unref(request->body);
	g_object_unref(request->message);
	g_object_unref(request->cancellable);
	g_object_unref(request->session);
	g_free(request);
}

/*
 * Pass the response of a request to the callback, unless that was done before
 * or the client is being freed.  complete: the whole response was received.
 */
static void
request_report(request_t *request, bool complete)
{
	static const uint8_t end_of_text = 0;
	gsize size = request->body->len;

	if (request->ended || request->http->closing)
		return;
	request->ended = true;
	g_byte_array_append(request->body, &end_of_text, 1);
	request->callback(request->context,
	    complete ? soup_message_get_status(request->message) : 0,
	    complete ? (const char *)request->body->data : NULL, size);
}

/*
 * End a request whose response is complete or has failed.
 */
static void
request_end(request_t *request, bool complete)
{
	request_report(request, complete);
	request_free(request);
	task_dispatch_local();
}

/*
 * End a request that was cancelled and that the session has not given back,
 * since it waits for a connection that others hold.  Nothing of it was sent or
 * will be.
 */
static gboolean
on_not_given_back(gpointer context)
{
	request_report(context, false);
	task_dispatch_local();
	return G_SOURCE_REMOVE;
}

/*
 * Start a timer of a request in place of the last one.
 */
static void
timer_start(request_t *request, uint32_t delay_ms, GSourceFunc callback)
{
	source_clear(&request->timeout);
	request->timeout = g_timeout_source_new(delay_ms);
	g_source_set_callback(request->timeout, callback, request, NULL);
	g_source_attach(request->timeout, g_main_context_get_thread_default());
}

/*
 * Open new connections for the requests that follow, since one was not answered
 * in time: the connections that are open may have gone silent with its own, and
 * each would cost a timeout.  Those with requests go on until these end.
 */
static void
leave_connections(const request_t *request)
{
	http_client_t *http = request->http;

	if (!request->started || request->session != http->session)
		return;
	g_object_unref(http->session);
	http->session = session_new();
}

/*
 * Cancel a request that has timed out, which resets its connection.
 */
static gboolean
on_timeout(gpointer context)
{
	request_t *request = context;

	leave_connections(request);
	timer_start(request, GIVEN_BACK_MS, on_not_given_back);
	g_cancellable_cancel(request->cancellable);
	return G_SOURCE_REMOVE;
}

/*
 * Start the timeout of a request anew.
 */
static void
timeout_start(request_t *request, uint32_t timeout_ms)
{
	timer_start(request, timeout_ms, on_timeout);
}

static void on_part(GObject *stream, GAsyncResult *result, gpointer context);

/*
 * Read the next part of a response.
 */
static void
read_part(request_t *request)
{
	g_input_stream_read_bytes_async(request->stream, PART_BYTES,
	    G_PRIORITY_DEFAULT, request->cancellable, on_part, request);
}

/*
 * Handle a part of a response, or its end.
 */
static void
on_part(GObject *stream, GAsyncResult *result, gpointer context)
{
	request_t *request = context;
	GBytes *part = g_input_stream_read_bytes_finish(
	    G_INPUT_STREAM(stream), result, NULL);
	gsize size = 0;
	const uint8_t *bytes;

	if (part == NULL) {
		request_end(request, false);
		return;
	}
	bytes = g_bytes_get_data(part, &size);
	if (size > 0)
		g_byte_array_append(request->body, bytes, (guint)size);
	g_bytes_unref(part);
	if (size == 0) {
		request_end(request, true);
		return;
	}
	if (clock_us() < request->last_timeout_us)
		timeout_start(request, request->http->timeout_ms);
	read_part(request);
}

/*
 * Handle the beginning of a response.
 */
static void
on_response(GObject *session, GAsyncResult *result, gpointer context)
{
	request_t *request = context;

	request->stream =
	    soup_session_send_finish(SOUP_SESSION(session), result, NULL);
	if (request->stream == NULL) {
		request_end(request, false);
		return;
	}
	timeout_start(request, request->http->timeout_ms);
	read_part(request);
}

/*
 * Handle that a request is about to be written.  A process that was suspended
 * while it opened the connection gets here before its timer runs, and the
 * request may be an order that another daemon has superseded.
 */
static void
on_starting(SoupMessage *message, gpointer context)
{
	request_t *request = context;

	(void)message;
	if (clock_us() >= request->write_by_us)
		on_timeout(request);
	request->started = true;
}

/*
 * Note the connection that was opened for a request whose delivery is limited.
 */
static void
on_delivery_connected(SoupMessage *message, GSocketClientEvent event,
    GIOStream *stream, gpointer context)
{
	request_t *request = context;

	(void)message;
	if (event == G_SOCKET_CLIENT_CONNECTED &&
	    G_IS_SOCKET_CONNECTION(stream))
		g_set_object(&request->socket,
		    g_socket_connection_get_socket(
			G_SOCKET_CONNECTION(stream)));
}

/*
 * Tell whether the server's system has acknowledged all that was written on a
 * connection, as far as the kernel tells.
 */
static bool
all_acknowledged(GSocket *socket)
{
	int32_t waiting_bytes = 0;

	return ioctl(g_socket_get_fd(socket), SIOCOUTQ, &waiting_bytes) != 0 ||
	    waiting_bytes == 0;
}

/*
 * Handle that the time for the kernel to deliver a request is over: cancel the
 * request if it was not delivered, which resets its connection; otherwise wait
 * for its response.
 */
static gboolean
on_delivery_time(gpointer context)
{
	request_t *request = context;

	if (all_acknowledged(request->socket))
		timeout_start(request, request->http->timeout_ms);
	else
		on_timeout(request);
	return G_SOURCE_REMOVE;
}

/*
 * Handle that a request was written: from now on it waits for its answer.
 */
static void
on_written(SoupMessage *message, gpointer context)
{
	request_t *request = context;
	uint32_t delivery_ms = request->http->delivery_ms;

	(void)message;
	if (g_cancellable_is_cancelled(request->cancellable))
		return;
	if (request->socket != NULL && delivery_ms > RESET_EARLY_MS)
		timer_start(
		    request, delivery_ms - RESET_EARLY_MS, on_delivery_time);
	else
		timeout_start(request,
		    request->http->timeout_ms + request->extra_wait_ms);
}

/*
 * Handle that a long poll is to be sent again, since its connection was closed
 * before the response began.  It is ended instead: it would wait for its whole
 * time once more.
 */
static void
on_long_poll_restarted(SoupMessage *message, gpointer context)
{
	request_t *request = context;

	(void)message;
	on_timeout(request);
}

/*
 * Send a request with an optional JSON body.  The timeout of the client ends
 * when the response begins.  From then on it is counted from each part of the
 * response anew, since many daemons that start at once receive long responses
 * slowly.  A long poll, with extra_wait_ms, has the timeout to be sent, and the
 * timeout plus extra_wait_ms from then on for its response: while it opens a
 * connection, other requests may have to wait for it.  So it is with a limit
 * for the delivery.
 */
void
http_request_send(http_client_t *http, SoupMessage *message, const char *body,
    uint32_t extra_wait_ms, http_response_cb callback, void *context)
{
	request_t *request = g_new0(request_t, 1);
	GBytes *bytes;

	request->http = http;
	request->session = g_object_ref(http->session);
	request->link.data = request;
	g_queue_push_tail_link(&http->requests, &request->link);
	request->message = message;
	request->callback = callback;
	request->context = context;
	request->cancellable = g_cancellable_new();
	request->body = g_byte_array_new();
	request->last_timeout_us = clock_us() +
	    ((int64_t)http->timeout_ms * TIMEOUTS_MAX + extra_wait_ms) *
		US_PER_MS;
	if (body != NULL) {
		bytes = g_bytes_new(body, strlen(body));
		soup_message_set_request_body_from_bytes(
		    message, "application/json", bytes);
		g_bytes_unref(bytes);
	}
	request->extra_wait_ms = extra_wait_ms;
	request->write_by_us =
	    clock_us() + (int64_t)http->delivery_ms * US_PER_MS;
	g_signal_connect(message, "starting", G_CALLBACK(on_starting), request);
	if (extra_wait_ms > 0 || http->delivery_ms < http->timeout_ms)
		g_signal_connect(
		    message, "wrote-body", G_CALLBACK(on_written), request);
	if (http->delivery_ms < http->timeout_ms) {
		soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
		g_signal_connect(message, "network-event",
		    G_CALLBACK(on_delivery_connected), request);
	}
	if (extra_wait_ms > 0)
		g_signal_connect(message, "restarted",
		    G_CALLBACK(on_long_poll_restarted), request);
	timeout_start(request, http->delivery_ms);
	soup_session_send_async(http->session, message, G_PRIORITY_DEFAULT,
	    request->cancellable, on_response, request);
}

/*
 * End the requests of a session, also those that wait for a connection.
 */
static void
abort_session(gpointer session, gpointer context)
{
	(void)context;
	soup_session_abort(session);
}

/*
 * Abort all requests without calling their callbacks, and free the client.
 */
void
http_client_free(http_client_t *http)
{
	GPtrArray *sessions = g_ptr_array_new_with_free_func(g_object_unref);
	GList *l;

	http->closing = true;
	for (l = http->requests.head; l != NULL; l = l->next) {
		const request_t *request = l->data;

		g_cancellable_cancel(request->cancellable);
		g_ptr_array_add(sessions, g_object_ref(request->session));
	}
	g_ptr_array_foreach(sessions, abort_session, NULL);
	g_ptr_array_unref(sessions);
	/* a cancelled request is freed by its callback */
	while (!g_queue_is_empty(&http->requests))
		g_main_context_iteration(
		    g_main_context_get_thread_default(), TRUE);
	g_object_unref(http->session);
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
	GSocket *socket;
	char *text;
	bool listens;

	if (listen_address == NULL)
		return -EINVAL;
	/* libsoup would let no more than 10 connections wait */
	socket = sock_listen(listen_address, &error);
	listens = socket != NULL &&
	    soup_server_listen_socket(
		server, socket, (SoupServerListenOptions)0, &error);
	g_clear_object(&socket);
	if (!listens) {
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
