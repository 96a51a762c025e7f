#include "listener.h"

#include "poller.h"
#include "proxy.h"

#include <sys/epoll.h>

#define PART "proxy"
#define BACKLOG 512

struct listener {
	GSocket *socket;
	poller_item_t item;
	listener_cb accepted;
	void *context;
};

/*
 * Connections wait to be accepted.
 */
static void
on_acceptable(void *context, uint32_t events)
{
	listener_t *listener = context;
	GSocket *socket;

	(void)events;
	while ((socket = g_socket_accept(listener->socket, NULL, NULL)) != NULL)
		listener->accepted(listener->context, socket);
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
		LOG_PART(PART, G_LOG_LEVEL_CRITICAL, "Cannot listen on %s: %s.",
		    text, error->message);
		g_error_free(error);
		g_clear_object(&socket);
		g_object_unref(at);
		return NULL;
	}
	g_object_unref(at);
	listener = g_new0(listener_t, 1);
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
	poller_remove(&listener->item);
	g_object_unref(listener->socket);
	g_free(listener);
}
