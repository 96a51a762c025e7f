#include "sock.h"
#include "task.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#define READ_BYTES 65536
#define UNSENT_BYTES_MAX (UINT64_C(16) << 20)

struct sock {
	const sock_ops_t *ops;
	void *context;
	GMainContext *main;
	GSocket *socket;
	GSource *readable;
	GSource *writable;
	GByteArray *unsent;
	uint32_t depth; /* callbacks of ours on the stack */
	bool connecting;
	bool closed;
	bool muted;
	bool freed;
};

static gboolean on_writable(GSocket *, GIOCondition, gpointer);
static gboolean on_readable(GSocket *, GIOCondition, gpointer);

/*
 * Close the stream and drop its sources.
 */
static void
sock_shut(sock_t *sock)
{
	sock->closed = true;
	source_drop(&sock->readable);
	source_drop(&sock->writable);
	g_socket_close(sock->socket, NULL);
}

/*
 * Free everything; only with none of our callbacks on the stack.
 */
static void
sock_destroy(sock_t *sock)
{
	g_byte_array_unref(sock->unsent);
	g_object_unref(sock->socket);
	g_free(sock);
}

/*
 * A callback of ours ends: free what was asked to be freed meanwhile.
 */
static void
sock_leave(sock_t *sock)
{
	if (--sock->depth == 0 && sock->freed)
		sock_destroy(sock);
}

/*
 * End the stream and tell its owner, once.
 */
static void
sock_fail(sock_t *sock, int32_t error)
{
	if (sock->closed)
		return;
	sock_shut(sock);
	sock->ops->closed(sock->context, error);
}

/*
 * Close the stream and free it.  Safe within its own callbacks.
 */
void
sock_free(sock_t *sock)
{
	if (sock == NULL || sock->freed)
		return;
	if (!sock->closed)
		sock_shut(sock);
	sock->freed = true;
	if (sock->depth == 0)
		sock_destroy(sock);
}

/*
 * Wait until the socket takes more.
 */
static void
sock_want_write(sock_t *sock)
{
	if (sock->writable != NULL)
		return;
	sock->writable = g_socket_create_source(sock->socket, G_IO_OUT, NULL);
	g_source_set_callback(
	    sock->writable, G_SOURCE_FUNC(on_writable), sock, NULL);
	g_source_attach(sock->writable, sock->main);
}

/*
 * Write what the socket takes.  Returns how much that was, or a negative
 * error number.
 */
static int64_t
sock_try_write(sock_t *sock, const uint8_t *bytes, uint64_t size_bytes)
{
	GError *error = NULL;
	gssize n = g_socket_send(
	    sock->socket, (const char *)bytes, size_bytes, NULL, &error);

	if (n >= 0)
		return n;
	n = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) ? 0
								       : -EIO;
	g_error_free(error);
	return n;
}

/*
 * Write bytes now or as soon as the socket takes them.  Returns 0, or a
 * negative error number: -ENOBUFS when too much is waiting already.  After
 * an error the stream is of no more use; closed() comes from the loop.
 */
int32_t
sock_write(sock_t *sock, const uint8_t *bytes, uint64_t size_bytes)
{
	int64_t n = 0;

	if (sock->closed)
		return -ENOTCONN;
	if (sock->muted)
		return 0;
	if (sock->unsent->len + size_bytes > UNSENT_BYTES_MAX)
		return -ENOBUFS;
	if (!sock->connecting && sock->unsent->len == 0) {
		n = sock_try_write(sock, bytes, size_bytes);
		if (n < 0)
			return (int32_t)n;
	}
	if ((uint64_t)n < size_bytes) {
		g_byte_array_append(
		    sock->unsent, bytes + n, (guint)(size_bytes - (uint64_t)n));
		sock_want_write(sock);
	}
	return 0;
}

/*
 * Wait for bytes.
 */
static void
sock_want_read(sock_t *sock)
{
	sock->readable = g_socket_create_source(sock->socket, G_IO_IN, NULL);
	g_source_set_callback(
	    sock->readable, G_SOURCE_FUNC(on_readable), sock, NULL);
	g_source_attach(sock->readable, sock->main);
}

/*
 * The connection attempt has ended.  Returns whether it succeeded.
 */
static bool
sock_connected(sock_t *sock)
{
	GError *error = NULL;

	if (!g_socket_check_connect_result(sock->socket, &error) ||
	    !g_socket_is_connected(sock->socket)) {
		g_clear_error(&error);
		sock_fail(sock, -ECONNREFUSED);
		return false;
	}
	sock->connecting = false;
	sock_want_read(sock);
	if (sock->ops->opened != NULL)
		sock->ops->opened(sock->context);
	return !sock->closed;
}

/*
 * The socket may be written.
 */
static gboolean
on_writable(GSocket *socket, GIOCondition condition, gpointer context)
{
	sock_t *sock = context;
	int64_t n;

	(void)socket;
	(void)condition;
	sock->depth++;
	source_drop(&sock->writable);
	if ((!sock->connecting || sock_connected(sock)) &&
	    sock->unsent->len > 0) {
		n = sock_try_write(sock, sock->unsent->data, sock->unsent->len);
		if (n < 0)
			sock_fail(sock, (int32_t)n);
		else if (n > 0)
			g_byte_array_remove_range(sock->unsent, 0, (guint)n);
		if (!sock->closed && sock->unsent->len > 0)
			sock_want_write(sock);
	}
	sock_leave(sock);
	return G_SOURCE_REMOVE;
}

/*
 * The socket may be read.
 */
static gboolean
on_readable(GSocket *socket, GIOCondition condition, gpointer context)
{
	sock_t *sock = context;
	uint8_t buffer[READ_BYTES];
	GError *error = NULL;
	bool would_block;
	gssize n;

	(void)condition;
	n = g_socket_receive(
	    socket, (char *)buffer, sizeof(buffer), NULL, &error);
	would_block =
	    n < 0 && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
	g_clear_error(&error);
	if (would_block)
		return G_SOURCE_CONTINUE;
	sock->depth++;
	if (n <= 0)
		sock_fail(sock, n == 0 ? -ECONNRESET : -EIO);
	else if (!sock->muted)
		sock->ops->received(sock->context, buffer, (uint32_t)n);
	sock_leave(sock);
	return G_SOURCE_CONTINUE;
}

/*
 * Make a stream around a socket and begin to read it.
 */
static sock_t *
sock_new(
    GMainContext *main, GSocket *socket, const sock_ops_t *ops, void *context)
{
	sock_t *sock = g_new0(sock_t, 1);

	sock->ops = ops;
	sock->context = context;
	sock->main = main;
	sock->socket = socket;
	sock->unsent = g_byte_array_new();
	g_socket_set_blocking(socket, FALSE);
	g_socket_set_keepalive(socket, TRUE);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	return sock;
}

/*
 * Begin to connect to an IP number.  Returns NULL when the address is not
 * one or no socket can be had; any later failure comes through closed().
 */
sock_t *
sock_connect(GMainContext *main, const char *address, uint32_t port,
    const sock_ops_t *ops, void *context)
{
	GSocketAddress *to =
	    g_inet_socket_address_new_from_string(address, port);
	GSocket *socket;
	sock_t *sock;

	if (to == NULL)
		return NULL;
	socket = g_socket_new(g_socket_address_get_family(to),
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
	if (socket == NULL) {
		g_object_unref(to);
		return NULL;
	}
	sock = sock_new(main, socket, ops, context);
	sock->connecting = true;
	/* a refusal at once is met again in sock_connected() */
	g_socket_connect(socket, to, NULL, NULL);
	g_object_unref(to);
	sock_want_write(sock);
	return sock;
}

/*
 * Serve a stream that was accepted.  Takes the reference to the socket over.
 */
sock_t *
sock_accept(
    GMainContext *main, GSocket *socket, const sock_ops_t *ops, void *context)
{
	sock_t *sock = sock_new(main, socket, ops, context);

	sock_want_read(sock);
	return sock;
}

/*
 * Break the stream; closed() comes later, from the loop.
 */
void
sock_break(sock_t *sock)
{
	g_socket_shutdown(sock->socket, TRUE, TRUE, NULL);
}

/*
 * For stand-ins: neither read nor write any more, yet stay open.
 */
void
sock_mute(sock_t *sock)
{
	sock->muted = true;
}
