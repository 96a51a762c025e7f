#include "sock.h"
#include "poller.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>

#define READ_BYTES 65536

/* Larger than any result that a daemon passes on (proxy/result.h). */
#define SEND_BUFFER_BYTES_MAX (UINT64_C(24) << 20)

/* A send buffer that was larger is freed when it is empty. */
#define SEND_BUFFER_BYTES_KEPT 65536

/*
 * Limits for detecting that the peer's host has failed: keepalive probes on an
 * idle connection, TCP_USER_TIMEOUT while sent data is not acknowledged.
 */
#define KEEPALIVE_IDLE_S 5
#define KEEPALIVE_INTERVAL_S 2
#define KEEPALIVE_PROBES 3
#define USER_TIMEOUT_MS 10000

struct sock {
	const sock_ops_t *ops;
	void *context;
	GMainContext *main_context;
	GSocket *socket;
	poller_item_t poller_item;
	GByteArray *send_buffer; /* data that the socket has not taken yet */
	uint32_t sent_bytes;     /* at its start: already taken */
	uint32_t callback_depth; /* number of on_ready() calls on the stack */
	int32_t connect_error;   /* of connect() itself; 0: none */
	bool connecting;
	bool closed;
	bool discarding; /* set by sock_discard_all() */
	bool freed;      /* to be freed when callback_depth is 0 */
};

/*
 * Close the socket.
 */
static void
sock_close(sock_t *sock)
{
	sock->closed = true;
	poller_remove(&sock->poller_item);
	g_socket_close(sock->socket, NULL);
}

/*
 * Free the structure.  Must not be called while on_ready() is on the stack.
 */
static void
sock_destroy(sock_t *sock)
{
	g_byte_array_unref(sock->send_buffer);
	g_object_unref(sock->socket);
	g_free(sock);
}

/*
 * Leave on_ready(), and free the structure if sock_free() was called meanwhile.
 */
static void
sock_callback_return(sock_t *sock)
{
	if (--sock->callback_depth == 0 && sock->freed)
		sock_destroy(sock);
}

/*
 * Close the connection and notify its owner, at most once.
 */
static void
sock_fail(sock_t *sock, int32_t error)
{
	if (sock->closed)
		return;
	sock_close(sock);
	sock->ops->closed(sock->context, error);
}

/*
 * Close the connection and free it.  May be called from its callbacks.
 */
void
sock_free(sock_t *sock)
{
	if (sock == NULL || sock->freed)
		return;
	if (!sock->closed)
		sock_close(sock);
	sock->freed = true;
	if (sock->callback_depth == 0)
		sock_destroy(sock);
}

/*
 * Return the size of the data that the socket has not taken yet.
 */
uint64_t
sock_buffered_bytes(const sock_t *sock)
{
	return sock->send_buffer->len - sock->sent_bytes;
}

/*
 * Remove data from the start of the send buffer.
 */
static void
buffer_consume(sock_t *sock, uint32_t size_bytes)
{
	uint32_t len_bytes = sock->send_buffer->len;

	sock->sent_bytes += size_bytes;
	if (sock->sent_bytes == len_bytes) {
		if (len_bytes > SEND_BUFFER_BYTES_KEPT) {
			g_byte_array_unref(sock->send_buffer);
			sock->send_buffer = g_byte_array_new();
		}
		g_byte_array_set_size(sock->send_buffer, 0);
		sock->sent_bytes = 0;
	} else if (sock->sent_bytes >= len_bytes / 2) {
		g_byte_array_remove_range(
		    sock->send_buffer, 0, sock->sent_bytes);
		sock->sent_bytes = 0;
	}
}

/*
 * Update the set of polled events: writability while connecting, afterwards
 * readability, and writability also while the send buffer is not empty.
 */
static void
sock_update_events(sock_t *sock)
{
	uint32_t events = sock->connecting ? EPOLLOUT : EPOLLIN;

	if (sock_buffered_bytes(sock) > 0)
		events |= EPOLLOUT;
	poller_modify(&sock->poller_item, events);
}

/*
 * Write as much as the socket accepts.  Returns the number of bytes written,
 * which may be 0, or a negative errno value.
 */
static int64_t
sock_try_write(sock_t *sock, const uint8_t *bytes, uint64_t size_bytes)
{
	ssize_t n = send(sock->poller_item.fd, bytes, size_bytes, MSG_NOSIGNAL);

	if (n >= 0)
		return n;
	return errno == EAGAIN || errno == EINTR ? 0 : -errno;
}

/*
 * Write data, and buffer what the socket does not accept at once.  Returns 0 or
 * a negative errno value; -ENOBUFS if the send buffer would exceed its maximum
 * size.  After an error the connection can no longer be used; the caller
 * shuts it down with sock_shutdown(), and closed() follows from the main loop.
 */
int32_t
sock_write(sock_t *sock, const uint8_t *bytes, uint64_t size_bytes)
{
	int64_t n = 0;

	if (sock->closed)
		return -ENOTCONN;
	if (sock->discarding)
		return 0;
	if (sock_buffered_bytes(sock) + size_bytes > SEND_BUFFER_BYTES_MAX)
		return -ENOBUFS;
	if (!sock->connecting && sock_buffered_bytes(sock) == 0) {
		n = sock_try_write(sock, bytes, size_bytes);
		if (n < 0)
			return (int32_t)n;
	}
	if ((uint64_t)n < size_bytes) {
		g_byte_array_append(sock->send_buffer, bytes + n,
		    (guint)(size_bytes - (uint64_t)n));
		sock_update_events(sock);
	}
	return 0;
}

/*
 * Return the error number for a connection that could not be established.  Only
 * a refusal by the other end, or by something between, is -ECONNREFUSED.
 */
static int32_t
connect_error_number(const GError *error)
{
	if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED))
		return -ECONNREFUSED;
	if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_CLOSED))
		return -ECONNRESET;
	return -EHOSTUNREACH;
}

/*
 * Check the result of a connection attempt.  Returns whether it succeeded and
 * the connection is still open after the owner's callback.
 */
static bool
sock_finish_connect(sock_t *sock)
{
	GError *error = NULL;

	if (sock->connect_error != 0) {
		sock_fail(sock, sock->connect_error);
		return false;
	}
	if (!g_socket_check_connect_result(sock->socket, &error)) {
		int32_t number = connect_error_number(error);

		g_clear_error(&error);
		sock_fail(sock, number);
		return false;
	}
	if (!g_socket_is_connected(sock->socket)) {
		sock_fail(sock, -EHOSTUNREACH);
		return false;
	}
	sock->connecting = false;
	sock_update_events(sock);
	if (sock->ops->opened != NULL)
		sock->ops->opened(sock->context);
	return !sock->closed;
}

/*
 * Handle a writable socket: finish connecting, then send buffered data.
 */
static void
on_writable(sock_t *sock)
{
	int64_t n;

	if ((sock->connecting && !sock_finish_connect(sock)) ||
	    sock_buffered_bytes(sock) == 0)
		return;
	n = sock_try_write(sock, sock->send_buffer->data + sock->sent_bytes,
	    sock_buffered_bytes(sock));
	if (n < 0) {
		sock_fail(sock, (int32_t)n);
		return;
	}
	if (n > 0)
		buffer_consume(sock, (uint32_t)n);
	sock_update_events(sock);
	if (n > 0 && sock->ops->written != NULL)
		sock->ops->written(sock->context);
}

/*
 * Handle a readable socket: pass data to the owner, or close the connection on
 * end of file or an error.
 */
static void
on_readable(sock_t *sock)
{
	uint8_t buffer[READ_BYTES];
	ssize_t n = recv(sock->poller_item.fd, buffer, sizeof(buffer), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0)
		sock_fail(sock, n == 0 ? -ECONNRESET : -errno);
	else if (!sock->discarding)
		sock->ops->received(sock->context, buffer, (uint32_t)n);
}

/*
 * Handle the events that the poller reports for the socket.
 */
static void
on_ready(void *context, uint32_t events)
{
	sock_t *sock = context;

	sock->callback_depth++;
	if (sock->connecting || (events & EPOLLOUT) != 0)
		on_writable(sock);
	if (!sock->closed && !sock->connecting &&
	    (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
		on_readable(sock);
	sock_callback_return(sock);
}

/*
 * Create a connection for a socket and set the socket's options.  The caller
 * adds the socket to the poller.
 */
static sock_t *
sock_new(GMainContext *main_context, GSocket *socket, const sock_ops_t *ops,
    void *context)
{
	sock_t *sock = g_new0(sock_t, 1);

	sock->ops = ops;
	sock->context = context;
	sock->main_context = main_context;
	sock->socket = socket;
	sock->send_buffer = g_byte_array_new();
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
	    socket, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS, NULL);
	sock->poller_item.ready = on_ready;
	sock->poller_item.context = sock;
	return sock;
}

/*
 * Start connecting to an IP address.  Returns NULL if the address is not valid
 * or no socket can be created; later errors are reported by closed().
 */
sock_t *
sock_connect(GMainContext *main_context, const char *address, uint32_t port,
    const sock_ops_t *ops, void *context)
{
	GSocketAddress *peer_address =
	    g_inet_socket_address_new_from_string(address, port);
	GError *error = NULL;
	GSocket *socket;
	sock_t *sock;

	if (peer_address == NULL)
		return NULL;
	socket = g_socket_new(g_socket_address_get_family(peer_address),
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
	if (socket == NULL) {
		g_object_unref(peer_address);
		return NULL;
	}
	sock = sock_new(main_context, socket, ops, context);
	sock->connecting = true;
	/* sock_finish_connect() reports an immediate error */
	if (!g_socket_connect(socket, peer_address, NULL, &error) &&
	    !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING))
		sock->connect_error = connect_error_number(error);
	g_clear_error(&error);
	g_object_unref(peer_address);
	poller_add(&sock->poller_item, main_context, g_socket_get_fd(socket),
	    EPOLLOUT);
	return sock;
}

/*
 * Create a socket that listens on an address.  Returns NULL on failure.
 */
GSocket *
sock_listen(GSocketAddress *address, GError **error)
{
	GSocket *socket = g_socket_new(g_socket_address_get_family(address),
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);

	if (socket == NULL)
		return NULL;
	g_socket_set_listen_backlog(socket, SOCK_BACKLOG);
	if (!g_socket_bind(socket, address, TRUE, error) ||
	    !g_socket_listen(socket, error))
		g_clear_object(&socket);
	return socket;
}

/*
 * Create a connection for an accepted socket.  Takes over the caller's
 * reference to the socket.
 */
sock_t *
sock_accept(GMainContext *main_context, GSocket *socket, const sock_ops_t *ops,
    void *context)
{
	sock_t *sock = sock_new(main_context, socket, ops, context);

	poller_add(
	    &sock->poller_item, main_context, g_socket_get_fd(socket), EPOLLIN);
	return sock;
}

/*
 * Shut the connection down in both directions.  closed() is called later, from
 * the main loop.
 */
void
sock_shutdown(sock_t *sock)
{
	g_socket_shutdown(sock->socket, TRUE, TRUE, NULL);
}

/*
 * Discard all further input and output while the connection stays open.  Test
 * servers use this to simulate a peer that does not respond.
 */
void
sock_discard_all(sock_t *sock)
{
	sock->discarding = true;
}
