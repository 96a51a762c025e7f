#include "listener.h"

#include "poller.h"
#include "proxy.h"
#include "sock.h"

#include <sys/epoll.h>

#define LOG_PART "proxy"

/*
 * Time for which the socket is not polled after accept() has failed, for
 * instance because the process has no file descriptors left.  The socket then
 * stays readable, so polling it would make the task spin.
 */
#define ACCEPT_RETRY_MS 100

struct listener {
	GMainContext *main_context;
	GSocket *socket;
	poller_item_t item;
	GSource *retry_timer; /* set after accept() failed, else NULL */
	listener_cb on_accept;
	void *context;
};

static gboolean on_retry_timer(gpointer);

/*
 * Accept all pending connections.  Returns 0, or a negative GIOErrorEnum if
 * accept() failed, which is logged.
 */
static int32_t
accept_all(listener_t *listener)
{
	GError *error = NULL;
	GSocket *socket;
	int32_t code = 0;

	while (
	    (socket = g_socket_accept(listener->socket, NULL, &error)) != NULL)
		listener->on_accept(listener->context, socket);
	if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
		code = -error->code;
		log_line(LOG_PART, G_LOG_LEVEL_WARNING,
		    "Cannot accept a connection: %s.", error->message);
	}
	g_error_free(error);
	return code;
}

/*
 * Handle the poller's report that connections are pending.
 */
static void
on_pending_connections(void *context, uint32_t events)
{
	listener_t *listener = context;

	(void)events;
	if (accept_all(listener) == 0)
		return;
	poller_remove(&listener->item);
	listener->retry_timer = g_timeout_source_new(ACCEPT_RETRY_MS);
	g_source_set_callback(
	    listener->retry_timer, on_retry_timer, listener, NULL);
	g_source_attach(listener->retry_timer, listener->main_context);
}

/*
 * Poll the socket again after a failed accept().
 */
static gboolean
on_retry_timer(gpointer context)
{
	listener_t *listener = context;

	source_clear(&listener->retry_timer);
	poller_add(&listener->item, listener->main_context,
	    g_socket_get_fd(listener->socket), EPOLLIN);
	return G_SOURCE_REMOVE;
}

/*
 * Listen on "IP:PORT".  Returns NULL on failure, which is logged.
 */
listener_t *
listener_open(GMainContext *main_context, const char *address,
    listener_cb on_accept, void *context)
{
	listener_t *listener;
	GSocketAddress *socket_address = address_parse(address);
	GError *error = NULL;
	GSocket *socket;

	if (socket_address == NULL)
		return NULL;
	socket = sock_listen(socket_address, &error);
	if (socket == NULL) {
		log_line(LOG_PART, G_LOG_LEVEL_CRITICAL,
		    "Cannot listen on %s: %s.", address, error->message);
		g_error_free(error);
		g_object_unref(socket_address);
		return NULL;
	}
	g_socket_set_blocking(socket, FALSE);
	g_object_unref(socket_address);
	listener = g_new0(listener_t, 1);
	listener->main_context = main_context;
	listener->socket = socket;
	listener->on_accept = on_accept;
	listener->context = context;
	listener->item.ready = on_pending_connections;
	listener->item.context = listener;
	poller_add(
	    &listener->item, main_context, g_socket_get_fd(socket), EPOLLIN);
	return listener;
}

/*
 * Stop listening and free the listener.  Does nothing for NULL.
 */
void
listener_close(listener_t *listener)
{
	if (listener == NULL)
		return;
	source_clear(&listener->retry_timer);
	poller_remove(&listener->item);
	g_object_unref(listener->socket);
	g_free(listener);
}
