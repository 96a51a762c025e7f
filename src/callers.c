#include "callers.h"

#include "poller.h"
#include "task.h"

#include <errno.h>
#include <linux/filter.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stddef.h>
#include <sys/epoll.h>

#define PART "front"
#define SWEEP_MS 10
#define IDLE_US (10 * US_PER_MS)

/* Where the flags of a TCP header are, and the one that opens a connection. */
#define TCP_FLAGS_OFFSET 13
#define TCP_FLAG_SYN_BIT 0x02

/*
 * One connection.  libsoup tells its socket only the first time, so it is
 * known by its remote address object, which stays the same.
 */
typedef struct caller {
	callers_t *callers;
	GSocketAddress *remote;     /* the key */
	GSocket *socket;            /* ours */
	SoupServerMessage *message; /* the newest on it */
	GIOStream *parked;          /* ours while it waits in the epoll set */
	poller_item_t item;         /* in that set */
	int64_t since_us;           /* it waits for a request */
	uint64_t received_bytes;    /* at since_us */
	bool busy;                  /* a request has begun to come */
	GList link;                 /* among the active */
} caller_t;

struct callers {
	SoupServer *server;
	GHashTable *by_remote; /* of caller_t */
	GQueue active;         /* of caller_t: those that libsoup has */
	uint32_t max;
	uint64_t refused;
	GMainContext *main;
	GSource *sweep; /* while there are active connections */
};

static void caller_activate(caller_t *);

/*
 * The connection of a message, or NULL.
 */
static caller_t *
caller_of(callers_t *callers, SoupServerMessage *message)
{
	return g_hash_table_lookup(callers->by_remote,
	    soup_server_message_get_remote_address(message));
}

/*
 * Cut the connection of a request.
 */
void
callers_cut(callers_t *callers, SoupServerMessage *message)
{
	caller_t *caller = caller_of(callers, message);

	if (caller != NULL)
		g_socket_shutdown(caller->socket, TRUE, TRUE, NULL);
}

/*
 * All bytes that a connection has received so far.
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
 * Forget a connection.
 */
static void
caller_free(gpointer p)
{
	caller_t *caller = p;

	poller_remove(&caller->item);
	if (caller->parked == NULL)
		g_queue_unlink(&caller->callers->active, &caller->link);
	else
		g_object_unref(caller->parked);
	g_clear_object(&caller->message);
	g_object_unref(caller->socket);
	g_object_unref(caller->remote);
	g_free(caller);
}

/*
 * Forget a connection, which takes it out of the table.
 */
static void
caller_remove(caller_t *caller)
{
	g_hash_table_remove(caller->callers->by_remote, caller->remote);
}

/*
 * A connection that libsoup has is gone.
 */
static void
on_disconnected(SoupServerMessage *message, gpointer context)
{
	caller_t *caller = caller_of(context, message);

	if (caller != NULL && caller->message == message)
		caller_remove(caller);
}

/*
 * Note that a connection waits for a request from now on.
 */
static void
caller_waits(caller_t *caller)
{
	caller->busy = false;
	caller->since_us = clock_us();
	caller->received_bytes = socket_received_bytes(caller->socket);
}

/*
 * A request is answered: its connection waits for the next.
 */
static void
on_finished(SoupServerMessage *message, gpointer context)
{
	caller_t *caller = caller_of(context, message);

	if (caller != NULL && caller->message == message)
		caller_waits(caller);
}

/*
 * Put a connection that has no request on it into the epoll set.  Bytes that
 * libsoup has read beyond the last request keep it where it is.
 */
static void
caller_park(caller_t *caller)
{
	callers_t *callers = caller->callers;
	SoupServerMessage *message = g_steal_pointer(&caller->message);
	GIOStream *stream, *base = NULL;

	/* its "disconnected" is not the end: caller->message is NULL now */
	stream = soup_server_message_steal_connection(message);
	g_object_unref(message);
	if (stream == NULL) {
		caller_remove(caller);
		return;
	}
	g_object_get(stream, "base-iostream", &base, NULL);
	g_object_unref(stream);
	g_queue_unlink(&callers->active, &caller->link);
	caller->parked = base;
	poller_add(&caller->item, callers->main,
	    g_socket_get_fd(caller->socket), EPOLLIN | EPOLLRDHUP);
}

/*
 * Give a connection on which bytes wait back to libsoup.
 */
static void
caller_wake(void *context, uint32_t events)
{
	caller_t *caller = context;
	callers_t *callers = caller->callers;
	GIOStream *stream = caller->parked;
	GSocketConnection *connection = G_SOCKET_CONNECTION(stream);
	GSocketAddress *local =
	    g_socket_connection_get_local_address(connection, NULL);
	bool taken = false;

	(void)events;
	poller_remove(&caller->item);
	caller->parked = NULL;
	caller_activate(caller);
	if (local != NULL)
		taken = soup_server_accept_iostream(
		    callers->server, stream, local, caller->remote, NULL);
	if (!taken)
		caller_remove(caller);
	g_clear_object(&local);
	g_object_unref(stream);
}

/*
 * Look at a connection that waits.  libsoup does not tell when the other side
 * closes one between two requests, and frees it; then it is forgotten here
 * too.  Otherwise it is parked, unless bytes have come.
 */
static void
caller_look(caller_t *caller)
{
	int fd = g_socket_get_fd(caller->socket);
	char byte;
	ssize_t n;

	if (g_socket_is_closed(caller->socket)) {
		caller_remove(caller);
		return;
	}
	n = recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
	if (n == 0)
		caller_remove(caller);
	else if (n < 0 && errno == EAGAIN &&
	    socket_received_bytes(caller->socket) == caller->received_bytes)
		caller_park(caller);
}

/*
 * Look at the connections that have waited for a little while.
 */
static gboolean
on_sweep(gpointer context)
{
	callers_t *callers = context;
	int64_t now_us = clock_us();
	GList *l = callers->active.head;

	while (l != NULL) {
		caller_t *caller = l->data;

		l = l->next;
		if (caller->message != NULL && !caller->busy &&
		    now_us - caller->since_us >= IDLE_US)
			caller_look(caller);
	}
	if (!g_queue_is_empty(&callers->active))
		return G_SOURCE_CONTINUE;
	source_drop(&callers->sweep);
	return G_SOURCE_REMOVE;
}

/*
 * Count a connection among the active, and see to it that they are looked
 * at.
 */
static void
caller_activate(caller_t *caller)
{
	callers_t *callers = caller->callers;

	g_queue_push_tail_link(&callers->active, &caller->link);
	if (callers->sweep != NULL)
		return;
	callers->sweep = g_timeout_source_new(SWEEP_MS);
	g_source_set_callback(callers->sweep, on_sweep, callers, NULL);
	g_source_attach(callers->sweep, callers->main);
}

/*
 * Look after the connections of a server, at most max at once.
 */
callers_t *
callers_new(SoupServer *server, GMainContext *main, uint32_t max)
{
	callers_t *callers = g_new0(callers_t, 1);

	callers->server = server;
	callers->max = max;
	callers->by_remote =
	    g_hash_table_new_full(NULL, NULL, NULL, caller_free);
	g_queue_init(&callers->active);
	callers->main = main;
	return callers;
}

/*
 * Close the waiting connections and forget all.
 */
void
callers_free(callers_t *callers)
{
	source_drop(&callers->sweep);
	g_hash_table_unref(callers->by_remote);
	g_free(callers);
}

/*
 * Let no new connections begin.  Those that have begun, also the ones that
 * wait to be accepted, go on; closing the listening socket would reset them.
 */
void
callers_refuse_new(callers_t *callers)
{
	/* the kernel drops each segment that opens a connection */
	struct sock_filter code[] = {
	    BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
	    BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TCP_FLAG_SYN_BIT, 0, 1),
	    BPF_STMT(BPF_RET | BPF_K, 0),
	    BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
	};
	struct sock_fprog program = {G_N_ELEMENTS(code), code};
	GSList *all = soup_server_get_listeners(callers->server), *l;

	for (l = all; l != NULL; l = l->next) {
		if (setsockopt(g_socket_get_fd(l->data), SOL_SOCKET,
			SO_ATTACH_FILTER, &program, sizeof(program)) < 0)
			log_line(PART, G_LOG_LEVEL_WARNING,
			    "Cannot stop new connections: %s.",
			    g_strerror(errno));
	}
	g_slist_free(all);
}

/*
 * Note a new connection.  Returns NULL, having cut it, when there are too
 * many.
 */
static caller_t *
caller_new(callers_t *callers, SoupServerMessage *message)
{
	GSocket *socket = soup_server_message_get_socket(message);
	caller_t *caller;

	if (socket == NULL)
		return NULL;
	if (callers_count(callers) >= callers->max) {
		callers->refused++;
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
		return NULL;
	}
	caller = g_new0(caller_t, 1);
	caller->callers = callers;
	caller->socket = g_object_ref(socket);
	caller->remote =
	    g_object_ref(soup_server_message_get_remote_address(message));
	caller->link.data = caller;
	caller->item.ready = caller_wake;
	caller->item.context = caller;
	caller_activate(caller);
	g_hash_table_insert(callers->by_remote, caller->remote, caller);
	return caller;
}

/*
 * How many connections have a request under way, or may have one: bytes of it
 * may be on their way on a connection that is not parked yet.
 */
uint32_t
callers_active(const callers_t *callers)
{
	return callers->active.length;
}

/*
 * libsoup has a new message: a connection is new, or was given back, or the
 * next request begins to come on one that it still has.
 */
void
callers_started(callers_t *callers, SoupServerMessage *message)
{
	caller_t *caller = caller_of(callers, message);
	bool fresh = caller == NULL;

	if (fresh)
		caller = caller_new(callers, message);
	if (caller == NULL)
		return;
	g_set_object(&caller->message, message);
	caller->busy = !fresh;
	caller->since_us = clock_us();
	caller->received_bytes = 0; /* a new one waits until the first byte */
	g_signal_connect(
	    message, "disconnected", G_CALLBACK(on_disconnected), callers);
	g_signal_connect(message, "finished", G_CALLBACK(on_finished), callers);
}

/*
 * A request has begun to come on a connection: it stays with libsoup.
 */
void
callers_busy(callers_t *callers, SoupServerMessage *message)
{
	caller_t *caller = caller_of(callers, message);

	if (caller != NULL)
		caller->busy = true;
}

/*
 * How many connections were cut because there were too many.
 */
uint64_t
callers_refused(const callers_t *callers)
{
	return callers->refused;
}

/*
 * How many connections there are.
 */
uint32_t
callers_count(const callers_t *callers)
{
	return g_hash_table_size(callers->by_remote);
}
