#include "../src/poller.h"
#include "../src/proxy/listener.h"
#include "../src/sock.h"
#include "../tools/fleet.h"
#include "cases.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Tests of the epoll set that the sockets of a main context share, and of
 * listeners.
 */

#define CONTEXTS 100
#define SOCKETS_MAX 3

typedef struct poller_case {
	const char *name;
	uint32_t sockets;
	bool remove_in_callback; /* false: items are removed afterwards */
} poller_case_t;

static const poller_case_t poller_cases[] = {
    {"one socket, removed within its callback", 1, true},
    {"one socket, removed afterwards", 1, false},
    {"several sockets, removed within a callback", 3, true},
    {"several sockets, removed afterwards", 3, false},
};

/* The sockets of one main context and the callbacks they received. */
typedef struct socket_set {
	const poller_case_t *c;
	poller_item_t items[SOCKETS_MAX];
	uint32_t callbacks;
} socket_set_t;

/*
 * Count the callback and, if the case says so, remove all sockets.
 */
static void
on_ready(void *context, uint32_t events)
{
	socket_set_t *socket_set = context;
	uint32_t i;

	g_assert_cmpuint(events & EPOLLOUT, !=, 0);
	socket_set->callbacks++;
	for (i = 0;
	     socket_set->c->remove_in_callback && i < socket_set->c->sockets;
	     i++)
		poller_remove(&socket_set->items[i]);
}

/*
 * Test that a new main context, which may have the address of a freed one, is
 * not taken for it: create and free main contexts in turn.
 */
static void
test_poller(gconstpointer data)
{
	const poller_case_t *c = data;
	int pairs[SOCKETS_MAX][2];
	uint32_t i, round;

	for (i = 0; i < c->sockets; i++)
		g_assert_cmpint(
		    socketpair(AF_UNIX, SOCK_STREAM, 0, pairs[i]), ==, 0);
	for (round = 0; round < CONTEXTS; round++) {
		GMainContext *main_context = g_main_context_new();
		socket_set_t socket_set = {.c = c};

		for (i = 0; i < c->sockets; i++) {
			socket_set.items[i].ready = on_ready;
			socket_set.items[i].context = &socket_set;
			poller_add(&socket_set.items[i], main_context,
			    pairs[i][0], EPOLLOUT);
		}
		g_main_context_iteration(main_context, FALSE);
		g_assert_cmpuint(socket_set.callbacks, ==,
		    c->remove_in_callback ? 1 : c->sockets);
		for (i = 0; i < c->sockets; i++)
			poller_remove(&socket_set.items[i]);
		g_main_context_unref(main_context);
	}
	for (i = 0; i < c->sockets; i++) {
		close(pairs[i][0]);
		close(pairs[i][1]);
	}
}

typedef struct listener_case {
	const char *name;
	bool descriptors_left;   /* false: the process has no free descriptor */
	uint32_t dispatches_max; /* most dispatches in 400 ms */
} listener_case_t;

/* While accept fails, the listener retries 10 times a second. */
static const listener_case_t listener_cases[] = {
    {"a connection is accepted", true, 10},
    {"no descriptors are left", false, 10},
};

/*
 * Count an accepted connection and close it.
 */
static void
on_accepted(void *context, GSocket *socket)
{
	(*(uint32_t *)context)++;
	g_object_unref(socket);
}

/*
 * Run a main context for some time.  Returns how many iterations dispatched a
 * source.
 */
static uint32_t
run_main_context(GMainContext *main_context, uint32_t duration_ms)
{
	int64_t until_us = g_get_monotonic_time() + duration_ms * US_PER_MS;
	uint32_t dispatches = 0;

	while (g_get_monotonic_time() < until_us) {
		dispatches += g_main_context_iteration(main_context, FALSE);
		g_usleep(US_PER_MS);
	}
	return dispatches;
}

/*
 * Test that a connection that cannot be accepted for lack of file descriptors
 * stays in the backlog until there are some, and that the listener does not
 * spin meanwhile.
 */
static void
test_listener(gconstpointer data)
{
	const listener_case_t *c = data;
	GMainContext *main_context = g_main_context_new();
	GSocketClient *client = g_socket_client_new();
	uint32_t port = fleet_unused_port(), accepted = 0;
	char *address = g_strdup_printf("127.0.0.1:%u", port);
	listener_t *listener =
	    listener_open(main_context, address, on_accepted, &accepted);
	GSocketConnection *connection;
	struct rlimit old_limit, no_descriptors;
	int next_fd;

	g_assert_nonnull(listener);
	connection = g_socket_client_connect_to_host(
	    client, "127.0.0.1", (guint16)port, NULL, NULL);
	g_assert_nonnull(connection);
	g_assert_cmpint(getrlimit(RLIMIT_NOFILE, &old_limit), ==, 0);
	no_descriptors = old_limit;
	next_fd = fcntl(0, F_DUPFD, 0);
	close(next_fd);
	no_descriptors.rlim_cur = (rlim_t)next_fd;
	if (!c->descriptors_left)
		setrlimit(RLIMIT_NOFILE, &no_descriptors);
	g_assert_cmpuint(
	    run_main_context(main_context, 400), <=, c->dispatches_max);
	g_assert_cmpuint(accepted, ==, c->descriptors_left ? 1 : 0);
	setrlimit(RLIMIT_NOFILE, &old_limit);
	run_main_context(main_context, 400);
	g_assert_cmpuint(accepted, ==, 1);
	listener_close(listener);
	g_object_unref(connection);
	g_object_unref(client);
	g_main_context_unref(main_context);
	g_free(address);
}

/* Argument with which this program is a process that takes ports. */
#define TAKE_PORTS "--take-ports"

/* Ports that each of two processes takes at the same time. */
#define PORTS_TAKEN 200

/*
 * Print ports as they are taken, and keep them until the input ends.
 */
static int
take_ports(void)
{
	uint32_t i;

	for (i = 0; i < PORTS_TAKEN; i++)
		printf("%u\n", fleet_unused_port());
	fflush(stdout);
	while (getchar() != EOF)
		;
	return 0;
}

/*
 * Test that no port is taken by two test programs that run side by side.
 */
static void
test_ports(void)
{
	const char *argv[] = {"/proc/self/exe", TAKE_PORTS, NULL};
	GHashTable *taken = g_hash_table_new(NULL, NULL);
	GSubprocess *processes[2];
	uint32_t i, j, twice = 0;

	argv[0] = g_file_read_link("/proc/self/exe", NULL);
	for (i = 0; i < G_N_ELEMENTS(processes); i++)
		processes[i] = g_subprocess_newv(argv,
		    G_SUBPROCESS_FLAGS_STDIN_PIPE |
			G_SUBPROCESS_FLAGS_STDOUT_PIPE,
		    NULL);
	for (i = 0; i < G_N_ELEMENTS(processes); i++) {
		GDataInputStream *lines = g_data_input_stream_new(
		    g_subprocess_get_stdout_pipe(processes[i]));

		for (j = 0; j < PORTS_TAKEN; j++) {
			char *line = g_data_input_stream_read_line(
			    lines, NULL, NULL, NULL);

			g_assert_nonnull(line);
			twice += !g_hash_table_add(
			    taken, GUINT_TO_POINTER(strtoul(line, NULL, 10)));
			g_free(line);
		}
		g_object_unref(lines);
	}
	for (i = 0; i < G_N_ELEMENTS(processes); i++) {
		g_output_stream_close(
		    g_subprocess_get_stdin_pipe(processes[i]), NULL, NULL);
		g_assert_true(g_subprocess_wait(processes[i], NULL, NULL));
		g_object_unref(processes[i]);
	}
	g_assert_cmpuint(twice, ==, 0);
	g_hash_table_unref(taken);
	g_free((char *)argv[0]);
}

typedef struct connect_case {
	const char *name;
	const char *address;
	bool listens;  /* a port is open there, which is asked for */
	int32_t error; /* expected; 0: the connection is opened */
} connect_case_t;

static const connect_case_t connect_cases[] = {
    {"a port that is open", "127.0.0.1", true, 0},
    {"a port that is closed", "127.0.0.1", false, -ECONNREFUSED},
    /* connect() itself fails, and nobody was asked */
    {"an address that no connection has", "224.0.0.1", false, -EHOSTUNREACH},
};

/* What was told of a connection that is being opened. */
typedef struct connect_result {
	bool ended;
	bool opened;
	int32_t error;
} connect_result_t;

/*
 * Note that a connection was opened.
 */
static void
on_connect_opened(void *context)
{
	connect_result_t *result = context;

	result->ended = result->opened = true;
}

/*
 * Note that a connection could not be opened.
 */
static void
on_connect_closed(void *context, int32_t error)
{
	connect_result_t *result = context;

	result->ended = true;
	result->error = error;
}

/*
 * Test that an error counts as a refusal only if the connection was refused,
 * and that no connection counts as opened that was not.
 */
static void
test_connect(gconstpointer data)
{
	static const sock_ops_t ops = {
	    on_connect_opened, NULL, on_connect_closed};
	const connect_case_t *c = data;
	connect_result_t result = {0};
	GSocket *listener =
	    g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, 0, NULL);
	GSocketAddress *any =
	    g_inet_socket_address_new_from_string("127.0.0.1", 0);
	GSocketAddress *bound;
	sock_t *sock;

	/* a port that is bound and does not listen refuses */
	g_assert_true(g_socket_bind(listener, any, FALSE, NULL));
	g_assert_true(!c->listens || g_socket_listen(listener, NULL));
	bound = g_socket_get_local_address(listener, NULL);
	sock = sock_connect(NULL, c->address,
	    g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound)), &ops,
	    &result);
	while (!result.ended)
		g_main_context_iteration(NULL, TRUE);
	g_assert_cmpint(result.opened, ==, c->error == 0);
	g_assert_cmpint(result.error, ==, c->error);
	sock_free(sock);
	g_object_unref(bound);
	g_object_unref(any);
	g_object_unref(listener);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	if (argc > 1 && strcmp(argv[1], TAKE_PORTS) == 0)
		return take_ports();
	g_test_init(&argc, &argv, NULL);
	log_start(G_LOG_LEVEL_CRITICAL, STDERR_FILENO);
	CASES("/poller", poller_cases, test_poller);
	CASES("/listener", listener_cases, test_listener);
	CASES("/connect", connect_cases, test_connect);
	g_test_add_func("/ports/side-by-side", test_ports);
	return g_test_run();
}
