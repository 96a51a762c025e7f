#include "caller_conns.h"

#include "poller.h"
#include "task.h"

#include <errno.h>
#include <linux/filter.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stddef.h>
#include <sys/epoll.h>

#define LOG_PART "front"
#define IDLE_CHECK_INTERVAL_MS 10

/* Time for which a connection must have been idle before it is parked. */
#define PARK_AFTER_US (10 * US_PER_MS)

/* Offset of the flags in a TCP header, and the SYN flag. */
#define TCP_FLAGS_OFFSET 13
#define TCP_FLAG_SYN_BIT 0x02

/*
 * One connection.  libsoup gives access to the socket only from the first
 * message of a connection, so connections are looked up by the pointer to the
 * GSocketAddress object of the remote side, which stays the same.
 */
typedef struct caller_conn {
	caller_conns_t *conns;
	GSocketAddress *remote_address; /* key in conns->by_remote */
	GSocket *socket;                /* own reference to the socket */
	SoupServerMessage *message;     /* newest message; NULL while parked */
	GIOStream *parked_stream;       /* owned while parked, else NULL */
	poller_item_t poll_item;        /* in the epoll set while parked */
	int64_t waiting_since_us;       /* start of the wait for a request */
	uint64_t received_bytes; /* bytes received up to waiting_since_us */
	bool busy;               /* a request has begun to arrive */
	GList active_link;       /* in conns->active, unless parked */
} caller_conn_t;

struct caller_conns {
	SoupServer *server;
	GHashTable *by_remote; /* of caller_conn_t by remote_address */
	GQueue active;    /* of caller_conn_t: connections that libsoup has */
	uint32_t max;     /* maximum number of open connections */
	uint64_t refused; /* connections closed because of max */
	GMainContext *main_context;
	GSource *idle_timer; /* NULL when no connection is active */
};

static void caller_conn_activate(caller_conn_t *);

/*
 * Find the connection of a message.  Returns NULL if it is not in the table.
 */
static caller_conn_t *
caller_conn_find(caller_conns_t *conns, SoupServerMessage *message)
{
	return g_hash_table_lookup(
	    conns->by_remote, soup_server_message_get_remote_address(message));
}

/*
 * Shut down the connection of a request.
 */
void
caller_conns_shutdown(caller_conns_t *conns, SoupServerMessage *message)
{
	caller_conn_t *conn = caller_conn_find(conns, message);

	if (conn != NULL)
		g_socket_shutdown(conn->socket, TRUE, TRUE, NULL);
}

/*
 * Return the number of bytes that a socket has received so far; 0 if the kernel
 * does not report it.
 */
static uint64_t
socket_received_bytes(GSocket *socket)
{
	struct tcp_info info = {0};
	socklen_t size = sizeof(info);

	if (getsockopt(g_socket_get_fd(socket), IPPROTO_TCP, TCP_INFO, &info,
		&size) < 0 ||
	    size < offsetof(struct tcp_info, tcpi_bytes_received) +
		    sizeof(info.tcpi_bytes_received))
		return 0;
	return info.tcpi_bytes_received;
}

/*
 * Free a connection.
 */
static void
caller_conn_free(gpointer p)
{
	caller_conn_t *conn = p;

	poller_remove(&conn->poll_item);
	if (conn->parked_stream == NULL)
		g_queue_unlink(&conn->conns->active, &conn->active_link);
	else
		g_object_unref(conn->parked_stream);
	g_clear_object(&conn->message);
	g_object_unref(conn->socket);
	g_object_unref(conn->remote_address);
	g_free(conn);
}

/*
 * Remove a connection from the table, which frees it.
 */
static void
caller_conn_remove(caller_conn_t *conn)
{
	g_hash_table_remove(conn->conns->by_remote, conn->remote_address);
}

/*
 * Handle the end of an active connection.
 */
static void
on_disconnected(SoupServerMessage *message, gpointer context)
{
	caller_conn_t *conn = caller_conn_find(context, message);

	if (conn != NULL && conn->message == message)
		caller_conn_remove(conn);
}

/*
 * Mark a connection as waiting for its next request.
 */
static void
caller_conn_set_idle(caller_conn_t *conn)
{
	conn->busy = false;
	conn->waiting_since_us = clock_us();
	conn->received_bytes = socket_received_bytes(conn->socket);
}

/*
 * Handle the end of a request: the response has been sent.
 */
static void
on_finished(SoupServerMessage *message, gpointer context)
{
	caller_conn_t *conn = caller_conn_find(context, message);

	if (conn != NULL && conn->message == message)
		caller_conn_set_idle(conn);
}

/*
 * Take an idle connection from libsoup and park it in the epoll set.  Bytes
 * that libsoup has read since the end of the last request would be lost, so
 * caller_conn_check_idle() does not park a connection that has received any.
 */
static void
caller_conn_park(caller_conn_t *conn)
{
	caller_conns_t *conns = conn->conns;
	SoupServerMessage *message = g_steal_pointer(&conn->message);
	GIOStream *stream, *base = NULL;

	/*
	 * Stealing the connection emits "disconnected", which on_disconnected()
	 * ignores because conn->message is NULL now.
	 */
	stream = soup_server_message_steal_connection(message);
	g_object_unref(message);
	if (stream == NULL) {
		caller_conn_remove(conn);
		return;
	}
	g_object_get(stream, "base-iostream", &base, NULL);
	g_object_unref(stream);
	g_queue_unlink(&conns->active, &conn->active_link);
	conn->parked_stream = base;
	poller_add(&conn->poll_item, conns->main_context,
	    g_socket_get_fd(conn->socket), EPOLLIN | EPOLLRDHUP);
}

/*
 * Hand a parked connection back to libsoup, because bytes have arrived on it
 * or its peer has closed it.
 */
static void
caller_conn_unpark(void *context, uint32_t events)
{
	caller_conn_t *conn = context;
	caller_conns_t *conns = conn->conns;
	GIOStream *stream = conn->parked_stream;
	GSocketConnection *connection = G_SOCKET_CONNECTION(stream);
	GSocketAddress *local =
	    g_socket_connection_get_local_address(connection, NULL);
	bool accepted = false;

	(void)events;
	poller_remove(&conn->poll_item);
	conn->parked_stream = NULL;
	caller_conn_activate(conn);
	if (local != NULL)
		accepted = soup_server_accept_iostream(
		    conns->server, stream, local, conn->remote_address, NULL);
	if (!accepted)
		caller_conn_remove(conn);
	g_clear_object(&local);
	g_object_unref(stream);
}

/*
 * Remove an idle connection that has been closed, or park it if no bytes have
 * arrived.  libsoup frees a connection that the peer closes between two
 * requests without emitting a signal, so this is where that is noticed.
 */
static void
caller_conn_check_idle(caller_conn_t *conn)
{
	int fd = g_socket_get_fd(conn->socket);
	char byte;
	ssize_t n;

	if (g_socket_is_closed(conn->socket)) {
		caller_conn_remove(conn);
		return;
	}
	n = recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
	if (n == 0)
		caller_conn_remove(conn);
	else if (n < 0 && errno == EAGAIN &&
	    socket_received_bytes(conn->socket) == conn->received_bytes)
		caller_conn_park(conn);
}

/*
 * Check the active connections that have been idle for PARK_AFTER_US.
 */
static gboolean
on_idle_timer(gpointer context)
{
	caller_conns_t *conns = context;
	int64_t now_us = clock_us();
	GList *l = conns->active.head;

	while (l != NULL) {
		caller_conn_t *conn = l->data;

		l = l->next;
		if (conn->message != NULL && !conn->busy &&
		    now_us - conn->waiting_since_us >= PARK_AFTER_US)
			caller_conn_check_idle(conn);
	}
	if (!g_queue_is_empty(&conns->active))
		return G_SOURCE_CONTINUE;
	source_clear(&conns->idle_timer);
	return G_SOURCE_REMOVE;
}

/*
 * Add a connection to the active ones, and start the timer that checks them.
 */
static void
caller_conn_activate(caller_conn_t *conn)
{
	caller_conns_t *conns = conn->conns;

	g_queue_push_tail_link(&conns->active, &conn->active_link);
	if (conns->idle_timer != NULL)
		return;
	conns->idle_timer = g_timeout_source_new(IDLE_CHECK_INTERVAL_MS);
	g_source_set_callback(conns->idle_timer, on_idle_timer, conns, NULL);
	g_source_attach(conns->idle_timer, conns->main_context);
}

/*
 * Create the table of a server's connections, of which at most max are
 * accepted at once.
 */
caller_conns_t *
caller_conns_new(SoupServer *server, GMainContext *main_context, uint32_t max)
{
	caller_conns_t *conns = g_new0(caller_conns_t, 1);

	conns->server = server;
	conns->max = max;
	conns->by_remote =
	    g_hash_table_new_full(NULL, NULL, NULL, caller_conn_free);
	g_queue_init(&conns->active);
	conns->main_context = main_context;
	return conns;
}

/*
 * Free the table, which closes the parked connections.
 */
void
caller_conns_free(caller_conns_t *conns)
{
	source_clear(&conns->idle_timer);
	g_hash_table_unref(conns->by_remote);
	g_free(conns);
}

/*
 * Refuse new connections.  The established ones, including those that wait to
 * be accepted, stay usable; closing the listening socket would reset the
 * latter.
 */
void
caller_conns_refuse_new(caller_conns_t *conns)
{
	/* drops all received segments with the SYN flag */
	struct sock_filter code[] = {
	    BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
	    BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TCP_FLAG_SYN_BIT, 0, 1),
	    BPF_STMT(BPF_RET | BPF_K, 0),
	    BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
	};
	struct sock_fprog program = {G_N_ELEMENTS(code), code};
	GSList *listeners = soup_server_get_listeners(conns->server), *l;

	for (l = listeners; l != NULL; l = l->next) {
		if (setsockopt(g_socket_get_fd(l->data), SOL_SOCKET,
			SO_ATTACH_FILTER, &program, sizeof(program)) < 0)
			log_line(LOG_PART, G_LOG_LEVEL_WARNING,
			    "Cannot refuse new connections: %s.",
			    g_strerror(errno));
	}
	g_slist_free(listeners);
}

/*
 * Add a new connection.  If there are too many, shuts it down and returns
 * NULL.
 */
static caller_conn_t *
caller_conn_new(caller_conns_t *conns, SoupServerMessage *message)
{
	GSocket *socket = soup_server_message_get_socket(message);
	caller_conn_t *conn;

	if (socket == NULL)
		return NULL;
	if (caller_conns_count(conns) >= conns->max) {
		conns->refused++;
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
		return NULL;
	}
	conn = g_new0(caller_conn_t, 1);
	conn->conns = conns;
	conn->socket = g_object_ref(socket);
	conn->remote_address =
	    g_object_ref(soup_server_message_get_remote_address(message));
	conn->active_link.data = conn;
	conn->poll_item.ready = caller_conn_unpark;
	conn->poll_item.context = conn;
	caller_conn_activate(conn);
	g_hash_table_insert(conns->by_remote, conn->remote_address, conn);
	return conn;
}

/*
 * Tell whether a connection is active, which includes those with a request in
 * progress, or a parked one was opened or last used after the given time.
 */
bool
caller_conns_in_use(const caller_conns_t *conns, int64_t since_us)
{
	bool in_use = conns->active.length > 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, conns->by_remote);
	while (!in_use && g_hash_table_iter_next(&iter, NULL, &value))
		in_use = ((caller_conn_t *)value)->waiting_since_us > since_us;
	return in_use;
}

/*
 * Handle a new message of libsoup: a connection is new, or was handed back to
 * libsoup, or the next request begins to arrive on an active connection.
 */
void
caller_conns_message_started(caller_conns_t *conns, SoupServerMessage *message)
{
	caller_conn_t *conn = caller_conn_find(conns, message);
	bool is_new = conn == NULL;

	if (is_new)
		conn = caller_conn_new(conns, message);
	if (conn == NULL)
		return;
	g_set_object(&conn->message, message);
	conn->busy = !is_new;
	conn->waiting_since_us = clock_us();
	conn->received_bytes = 0; /* a new connection has received none */
	g_signal_connect(
	    message, "disconnected", G_CALLBACK(on_disconnected), conns);
	g_signal_connect(message, "finished", G_CALLBACK(on_finished), conns);
}

/*
 * Mark the connection of a request as busy, which keeps it from being parked.
 */
void
caller_conns_mark_busy(caller_conns_t *conns, SoupServerMessage *message)
{
	caller_conn_t *conn = caller_conn_find(conns, message);

	if (conn != NULL)
		conn->busy = true;
}

/*
 * Return the number of connections that were closed because there were too
 * many.
 */
uint64_t
caller_conns_refused(const caller_conns_t *conns)
{
	return conns->refused;
}

/*
 * Return the number of open connections, active and parked.
 */
uint32_t
caller_conns_count(const caller_conns_t *conns)
{
	return g_hash_table_size(conns->by_remote);
}
