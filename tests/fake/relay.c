#include "relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 64
#define READ_BYTES 65536

/* One way of a connection. */
typedef struct way {
	int from_fd; /* -1: it has ended */
	int to_fd;
	uint32_t bit; /* RELAY_TO_SERVER or RELAY_TO_CLIENT */
} way_t;

typedef struct relayed {
	way_t ways[2]; /* to the server, to the client */
	uint32_t silent;
	bool reset; /* it is to be reset */
} relayed_t;

struct relay {
	GThread *thread;
	GMutex mutex; /* guards what follows */
	int listen_fd;
	/* a pipe; a byte wakes the thread, and its end stops it */
	int wake_fds[2];
	bool cut;     /* new connections are silent */
	bool refuses; /* new connections are refused */
	bool resets;  /* new connections are accepted and reset */
	uint16_t server_port;
	GPtrArray *connections; /* of relayed_t */
	int64_t last_used_us;
};

/*
 * Return the address of a port.
 */
static struct sockaddr_in
address_of(const char *text, uint16_t port)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(port)};

	g_assert_cmpint(inet_pton(AF_INET, text, &address.sin_addr), ==, 1);
	return address;
}

/*
 * Close the sockets of a connection, and free it.
 */
static void
relayed_free(gpointer p)
{
	relayed_t *relayed = p;

	close(relayed->ways[0].to_fd);
	close(relayed->ways[1].to_fd);
	g_free(relayed);
}

/*
 * Have the end of a connection reset it.
 */
static void
reset_at_close(int fd)
{
	const struct linger reset = {.l_onoff = 1, .l_linger = 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

/*
 * Accept a connection, and open the one to the server, or reset it.
 */
static void
relay_accept(relay_t *relay)
{
	struct sockaddr_in address =
	    address_of("127.0.0.1", relay->server_port);
	int client = accept(relay->listen_fd, NULL, NULL),
	    server = socket(AF_INET, SOCK_STREAM, 0), on = 1;
	relayed_t *relayed;

	if (client >= 0 && relay->resets)
		reset_at_close(client);
	if (client < 0 || relay->resets ||
	    connect(server, (struct sockaddr *)&address, sizeof(address)) < 0) {
		if (client >= 0)
			close(client);
		close(server);
		return;
	}
	setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	relayed = g_new0(relayed_t, 1);
	relayed->ways[0] = (way_t){client, server, RELAY_TO_SERVER};
	relayed->ways[1] = (way_t){server, client, RELAY_TO_CLIENT};
	relayed->silent = relay->cut ? RELAY_BOTH : 0;
	g_ptr_array_add(relay->connections, relayed);
}

/*
 * Pass on what has arrived on one way of a connection, or that it has ended,
 * unless it is silent.
 */
static void
relay_pass(relay_t *relay, relayed_t *relayed, way_t *way)
{
	bool silent = (relayed->silent & way->bit) != 0;
	char bytes[READ_BYTES];
	ssize_t n = recv(way->from_fd, bytes, sizeof(bytes), 0);

	if (n > 0 && silent && way->bit == RELAY_TO_SERVER)
		relay->last_used_us = clock_us();
	if (n > 0 && !silent)
		(void)!send(way->to_fd, bytes, (size_t)n, MSG_NOSIGNAL);
	if (n > 0)
		return;
	if (!silent)
		shutdown(way->to_fd, SHUT_WR);
	way->from_fd = -1;
}

/*
 * Remove the connections that have ended in both ways or are to be reset.
 */
static void
remove_ended(relay_t *relay)
{
	uint32_t i = relay->connections->len;

	while (i-- > 0) {
		const relayed_t *relayed =
		    g_ptr_array_index(relay->connections, i);

		if (relayed->reset)
			reset_at_close(relayed->ways[1].to_fd);
		if (relayed->reset ||
		    (relayed->ways[0].from_fd < 0 &&
			relayed->ways[1].from_fd < 0))
			g_ptr_array_remove_index(relay->connections, i);
	}
}

/*
 * Collect the sockets to poll: those of the relay, then two for each
 * connection.
 */
static GArray *
collect_fds(const relay_t *relay)
{
	GArray *fds = g_array_new(FALSE, TRUE, sizeof(struct pollfd));
	struct pollfd fd = {relay->wake_fds[0], POLLIN, 0};
	uint32_t i;

	g_array_append_val(fds, fd);
	fd.fd = relay->refuses ? -1 : relay->listen_fd;
	g_array_append_val(fds, fd);
	for (i = 0; i < 2 * relay->connections->len; i++) {
		const relayed_t *relayed =
		    g_ptr_array_index(relay->connections, i / 2);

		fd.fd = relayed->ways[i % 2].from_fd;
		g_array_append_val(fds, fd);
	}
	return fds;
}

/*
 * Take the byte that woke the thread.  Returns false if there is none, as the
 * relay is stopped.
 */
static bool
was_woken(const relay_t *relay)
{
	char byte;

	return read(relay->wake_fds[0], &byte, 1) == 1;
}

/*
 * Pass on what arrives until the relay is stopped.
 */
static gpointer
relay_run(gpointer context)
{
	relay_t *relay = context;
	bool stopped = false;
	uint32_t i;

	while (!stopped) {
		GArray *fds;
		struct pollfd *fd;

		g_mutex_lock(&relay->mutex);
		fds = collect_fds(relay);
		g_mutex_unlock(&relay->mutex);
		fd = (struct pollfd *)(void *)fds->data;
		(void)poll(fd, fds->len, -1);
		g_mutex_lock(&relay->mutex);
		stopped = fd[0].revents != 0 && !was_woken(relay);
		for (i = 2; i < fds->len; i++) {
			relayed_t *relayed =
			    g_ptr_array_index(relay->connections, (i - 2) / 2);

			if (fd[i].revents != 0)
				relay_pass(
				    relay, relayed, &relayed->ways[i % 2]);
		}
		if (fd[1].revents != 0 && !relay->refuses)
			relay_accept(relay);
		remove_ended(relay);
		g_mutex_unlock(&relay->mutex);
		g_array_unref(fds);
	}
	return NULL;
}

/*
 * Start a relay from an address to a port of 127.0.0.1, where a server listens
 * when the first connection is opened.
 */
relay_t *
relay_start(const char *address_text, uint16_t port, uint16_t server_port)
{
	struct sockaddr_in address = address_of(address_text, port);
	relay_t *relay = g_new0(relay_t, 1);
	int on = 1;

	relay->server_port = server_port;
	relay->connections = g_ptr_array_new_with_free_func(relayed_free);
	relay->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(relay->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	g_assert_cmpint(bind(relay->listen_fd, (struct sockaddr *)&address,
			    sizeof(address)),
	    ==, 0);
	g_assert_cmpint(listen(relay->listen_fd, BACKLOG), ==, 0);
	g_assert_cmpint(pipe(relay->wake_fds), ==, 0);
	relay->thread = g_thread_new("relay", relay_run, relay);
	return relay;
}

/*
 * Let the connections that are open now go silent for good in some ways.
 */
void
relay_silence(relay_t *relay, uint32_t ways)
{
	uint32_t i;

	g_mutex_lock(&relay->mutex);
	for (i = 0; i < relay->connections->len; i++) {
		relayed_t *relayed = g_ptr_array_index(relay->connections, i);

		relayed->silent |= ways;
	}
	g_mutex_unlock(&relay->mutex);
}

/*
 * Let the connections that are open now go silent for good, and new ones as
 * long as the relay is cut.
 */
void
relay_cut(relay_t *relay, bool cut)
{
	g_mutex_lock(&relay->mutex);
	relay->cut = cut;
	g_mutex_unlock(&relay->mutex);
	if (cut)
		relay_silence(relay, RELAY_BOTH);
}

/*
 * Have the connections that are open now reset, under the mutex.
 */
static void
reset_connections(relay_t *relay)
{
	uint32_t i;

	for (i = 0; i < relay->connections->len; i++) {
		relayed_t *relayed = g_ptr_array_index(relay->connections, i);

		relayed->reset = true;
	}
}

/*
 * Reset the connections that are open now and refuse new ones, as a port does
 * at which nothing listens, or accept them again.
 */
void
relay_refuse(relay_t *relay, bool refuses)
{
	g_mutex_lock(&relay->mutex);
	relay->refuses = refuses;
	if (refuses) {
		shutdown(relay->listen_fd, SHUT_RDWR);
		reset_connections(relay);
	} else {
		g_assert_cmpint(listen(relay->listen_fd, BACKLOG), ==, 0);
	}
	g_mutex_unlock(&relay->mutex);
	g_assert_cmpint(write(relay->wake_fds[1], "", 1), ==, 1);
}

/*
 * Reset the connections that are open now, and new ones once they are
 * established, or pass on new ones again.
 */
void
relay_reset(relay_t *relay, bool resets)
{
	g_mutex_lock(&relay->mutex);
	relay->resets = resets;
	if (resets)
		reset_connections(relay);
	g_mutex_unlock(&relay->mutex);
	g_assert_cmpint(write(relay->wake_fds[1], "", 1), ==, 1);
}

/*
 * Count the connections that their clients keep open, all or the silent ones.
 */
static uint32_t
count_open(relay_t *relay, bool silent_only)
{
	uint32_t i, count = 0;

	g_mutex_lock(&relay->mutex);
	for (i = 0; i < relay->connections->len; i++) {
		const relayed_t *relayed =
		    g_ptr_array_index(relay->connections, i);

		count += relayed->ways[0].from_fd >= 0 &&
		    (!silent_only || relayed->silent != 0);
	}
	g_mutex_unlock(&relay->mutex);
	return count;
}

/*
 * Return the number of connections that their clients keep open.
 */
uint32_t
relay_connections(relay_t *relay)
{
	return count_open(relay, false);
}

/*
 * Return the number of those that are silent.
 */
uint32_t
relay_silent_connections(relay_t *relay)
{
	return count_open(relay, true);
}

/*
 * Return the time at which something was last dropped on the way to the server,
 * or 0.
 */
int64_t
relay_last_used_us(relay_t *relay)
{
	int64_t last_used_us;

	g_mutex_lock(&relay->mutex);
	last_used_us = relay->last_used_us;
	g_mutex_unlock(&relay->mutex);
	return last_used_us;
}

/*
 * Close all connections and free the relay.
 */
void
relay_stop(relay_t *relay)
{
	if (relay == NULL)
		return;
	close(relay->wake_fds[1]);
	g_thread_join(relay->thread);
	close(relay->wake_fds[0]);
	close(relay->listen_fd);
	g_ptr_array_unref(relay->connections);
	g_mutex_clear(&relay->mutex);
	g_free(relay);
}
