#include "listener.h"

#include "poller.h"
#include "proxy.h"

#include <sys/epoll.h>

#define PART "proxy"

#define BACKLOG 512

/*
 * Without descriptors left nothing can be accepted, and the socket stays
 * readable: it is looked at again after this long.
 */
#define PAUSE_MS 100

struct listener {
	GMainContext *main;
	GSocket *socket;
	poller_item_t item;
	GSource *pause; /* set while accepting failed */
	listener_cb accepted;
	void *context;
};

static gboolean on_pause_over(gpointer);

/*
 * Accept what waits.  Returns 0, or the negative of a GIOErrorEnum, having
 * logged it, when accepting failed.
 */
static int32_t
accept_all(listener_t *listener)
{
	GError *error = NULL;
	GSocket *socket;
	int32_t code = 0;

	while (
	    (socket = g_socket_accept(listener->socket, NULL, &error)) != NULL)
		listener->accepted(listener->context, socket);
	if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
		code = -error->code;
		log_line(PART, G_LOG_LEVEL_WARNING,
		    "Cannot accept a connection: %s.", error->message);
	}
	g_error_free(error);
	return code;
}

/*
 * Connections wait to be accepted.
 */
static void
on_acceptable(void *context, uint32_t events)
{
	listener_t *listener = context;

	(void)events;
	if (accept_all(listener) == 0)
		return;
	poller_remove(&listener->item);
	listener->pause = g_timeout_source_new(PAUSE_MS);
	g_source_set_callback(listener->pause, on_pause_over, listener, NULL);
	g_source_attach(listener->pause, listener->main);
}

/*
 * Try to accept again.
 */
static gboolean
on_pause_over(gpointer context)
{
	listener_t *listener = context;

	source_drop(&listener->pause);
	poller_add(&listener->item, listener->main,
	    g_socket_get_fd(listener->socket), EPOLLIN);
	return G_SOURCE_REMOVE;
}

/*
 * Listen on "IP:PORT".  Returns NULL, with a line in the log, when that is
 * not possible.
 */
listener_t *
listener_open(
    GMainContext *main, const char *text, listener_cb accepted, void *context)
{
	listener_t *listener;
	GSocketAddress *at = address_parse(text);
	GError *error = NULL;
	GSocket *socket;

	if (at == NULL)
		return NULL;
	socket = g_socket_new(g_socket_address_get_family(at),
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error);
	if (socket != NULL) {
		g_socket_set_blocking(socket, FALSE);
		g_socket_set_listen_backlog(socket, BACKLOG);
	}
	if (socket == NULL || !g_socket_bind(socket, at, TRUE, &error) ||
	    !g_socket_listen(socket, &error)) {
		log_line(PART, G_LOG_LEVEL_CRITICAL, "Cannot listen on %s: %s.",
		    text, error->message);
		g_error_free(error);
		g_clear_object(&socket);
		g_object_unref(at);
		return NULL;
	}
	g_object_unref(at);
	listener = g_new0(listener_t, 1);
	listener->main = main;
	listener->socket = socket;
	listener->accepted = accepted;
	listener->context = context;
	listener->item.ready = on_acceptable;
	listener->item.context = listener;
	poller_add(&listener->item, main, g_socket_get_fd(socket), EPOLLIN);
	return listener;
}

/*
 * Stop to listen.  NULL is allowed.
 */
void
listener_close(listener_t *listener)
{
	if (listener == NULL)
		return;
	source_drop(&listener->pause);
	poller_remove(&listener->item);
	g_object_unref(listener->socket);
	g_free(listener);
}
