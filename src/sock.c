#include "sock.h"
#include "poller.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>

#define READ_BYTES 65536
#define UNSENT_BYTES_MAX (UINT64_C(16) << 20)

/* A peer whose machine is gone is given up after this much silence. */
#define KEEPALIVE_IDLE_S 5
#define KEEPALIVE_INTERVAL_S 2
#define KEEPALIVE_PROBES 3
#define UNACKED_MS 10000

struct sock {
	const sock_ops_t *ops;
	void *context;
	GMainContext *main;
	GSocket *socket;
	poller_item_t item;
	GByteArray *unsent;
	uint32_t depth; /* callbacks of ours on the stack */
	bool connecting;
	bool closed;
	bool muted;
	bool freed;
};

/*
 * Close the stream.
 */
static void
sock_shut(sock_t *sock)
{
	sock->closed = true;
	poller_remove(&sock->item);
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
 * Watch for what is wanted now: the end of the attempt to connect, bytes, and
 * room for bytes that wait.
 */
static void
sock_watch(sock_t *sock)
{
	uint32_t events = sock->connecting ? EPOLLOUT : EPOLLIN;

	if (sock->unsent->len > 0)
		events |= EPOLLOUT;
	poller_change(&sock->item, events);
}

/*
 * Write what the socket takes.  Returns how much that was, or a negative
 * error number.
 */
static int64_t
sock_try_write(sock_t *sock, const uint8_t *bytes, uint64_t size_bytes)
{
	ssize_t n = send(sock->item.fd, bytes, size_bytes, MSG_NOSIGNAL);

	if (n >= 0)
		return n;
	return errno == EAGAIN || errno == EINTR ? 0 : -errno;
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
		sock_watch(sock);
	}
	return 0;
}

/*
 * The connection attempt has ended.  Returns whether it succeeded.
 */
static bool
sock_connected(sock_t *sock)
{
	GError *error = NULL;

	if (!g_socket_check_connect_result(sock->socket, &error)) {
		bool refused = g_error_matches(
		    error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);

		g_clear_error(&error);
		sock_fail(sock, refused ? -ECONNREFUSED : -EHOSTUNREACH);
		return false;
	}
	if (!g_socket_is_connected(sock->socket)) {
		sock_fail(sock, -ECONNREFUSED);
		return false;
	}
	sock->connecting = false;
	sock_watch(sock);
	if (sock->ops->opened != NULL)
		sock->ops->opened(sock->context);
	return !sock->closed;
}

/*
 * The socket may be written.
 */
static void
on_writable(sock_t *sock)
{
	int64_t n;

	if ((sock->connecting && !sock_connected(sock)) ||
	    sock->unsent->len == 0)
		return;
	n = sock_try_write(sock, sock->unsent->data, sock->unsent->len);
	if (n < 0) {
		sock_fail(sock, (int32_t)n);
		return;
	}
	if (n > 0)
		g_byte_array_remove_range(sock->unsent, 0, (guint)n);
	sock_watch(sock);
}

/*
 * The socket may be read.
 */
static void
on_readable(sock_t *sock)
{
	uint8_t buffer[READ_BYTES];
	ssize_t n = recv(sock->item.fd, buffer, sizeof(buffer), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0)
		sock_fail(sock, n == 0 ? -ECONNRESET : -errno);
	else if (!sock->muted)
		sock->ops->received(sock->context, buffer, (uint32_t)n);
}

/*
 * Something is ready on the socket.
 */
static void
on_ready(void *context, uint32_t events)
{
	sock_t *sock = context;

	sock->depth++;
	if (sock->connecting || (events & EPOLLOUT) != 0)
		on_writable(sock);
	if (!sock->closed && !sock->connecting &&
	    (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
		on_readable(sock);
	sock_leave(sock);
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
	g_socket_set_option(
	    socket, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S, NULL);
	g_socket_set_option(
	    socket, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S, NULL);
	g_socket_set_option(
	    socket, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES, NULL);
	g_socket_set_option(
	    socket, IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKED_MS, NULL);
	sock->item.ready = on_ready;
	sock->item.context = sock;
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
	poller_add(&sock->item, main, g_socket_get_fd(socket), EPOLLOUT);
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

	poller_add(&sock->item, main, g_socket_get_fd(socket), EPOLLIN);
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
