#include "../src/poller.h"
#include "../src/proxy/listener.h"
#include "../tools/fleet.h"
#include "cases.h"

#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

/* The epoll set that the sockets of a main context share, and listening. */

#define CONTEXTS 100
#define SOCKETS_MAX 3

typedef struct poller_case {
	const char *name;
	uint32_t sockets;
	bool removed_within; /* its callback, or afterwards */
} poller_case_t;

static const poller_case_t poller_cases[] = {
    {"one socket, removed within its callback", 1, true},
    {"one socket, removed afterwards", 1, false},
    {"several sockets, removed within", 3, true},
    {"several sockets, removed afterwards", 3, false},
};

/* The sockets of one main context. */
typedef struct stage {
	const poller_case_t *c;
	poller_item_t items[SOCKETS_MAX];
	uint32_t called;
} stage_t;

/*
 * A socket is ready: with the first, all go.
 */
static void
on_ready(void *context, uint32_t events)
{
	stage_t *stage = context;
	uint32_t i;

	g_assert_cmpuint(events & EPOLLOUT, !=, 0);
	stage->called++;
	for (i = 0; stage->c->removed_within && i < stage->c->sockets; i++)
		poller_remove(&stage->items[i]);
}

/*
 * One main context after another, which may lie where one before did.
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
		GMainContext *main = g_main_context_new();
		stage_t stage = {.c = c};

		for (i = 0; i < c->sockets; i++) {
			stage.items[i].ready = on_ready;
			stage.items[i].context = &stage;
			poller_add(
			    &stage.items[i], main, pairs[i][0], EPOLLOUT);
		}
		g_main_context_iteration(main, FALSE);
		g_assert_cmpuint(
		    stage.called, ==, c->removed_within ? 1 : c->sockets);
		for (i = 0; i < c->sockets; i++)
			poller_remove(&stage.items[i]);
		g_main_context_unref(main);
	}
	for (i = 0; i < c->sockets; i++) {
		close(pairs[i][0]);
		close(pairs[i][1]);
	}
}

typedef struct listener_case {
	const char *name;
	bool descriptors; /* there are some left */
	uint32_t woken_at_most;
} listener_case_t;

/* Looked at ten times a second while accepting fails. */
static const listener_case_t listener_cases[] = {
    {"a connection is accepted", true, 10},
    {"no descriptors are left", false, 10},
};

/*
 * A connection was accepted.
 */
static void
on_accepted(void *context, GSocket *socket)
{
	(*(uint32_t *)context)++;
	g_object_unref(socket);
}

/*
 * Run a main context for some time.  Returns how often it woke.
 */
static uint32_t
run_for(GMainContext *main, uint32_t ms)
{
	int64_t until_us = g_get_monotonic_time() + ms * US_PER_MS;
	uint32_t woken = 0;

	while (g_get_monotonic_time() < until_us) {
		woken += g_main_context_iteration(main, FALSE);
		g_usleep(US_PER_MS);
	}
	return woken;
}

/*
 * What cannot be accepted waits, without spinning, until it can.
 */
static void
test_listener(gconstpointer data)
{
	const listener_case_t *c = data;
	GMainContext *main = g_main_context_new();
	GSocketClient *client = g_socket_client_new();
	uint32_t port = fleet_free_port(), accepted = 0;
	char *address = g_strdup_printf("127.0.0.1:%u", port);
	listener_t *listener =
	    listener_open(main, address, on_accepted, &accepted);
	GSocketConnection *connection;
	struct rlimit limit, none;
	int next;

	g_assert_nonnull(listener);
	connection = g_socket_client_connect_to_host(
	    client, "127.0.0.1", (guint16)port, NULL, NULL);
	g_assert_nonnull(connection);
	g_assert_cmpint(getrlimit(RLIMIT_NOFILE, &limit), ==, 0);
	none = limit;
	next = fcntl(0, F_DUPFD, 0);
	close(next);
	none.rlim_cur = (rlim_t)next;
	if (!c->descriptors)
		setrlimit(RLIMIT_NOFILE, &none);
	g_assert_cmpuint(run_for(main, 400), <=, c->woken_at_most);
	g_assert_cmpuint(accepted, ==, c->descriptors ? 1 : 0);
	setrlimit(RLIMIT_NOFILE, &limit);
	run_for(main, 400);
	g_assert_cmpuint(accepted, ==, 1);
	listener_close(listener);
	g_object_unref(connection);
	g_object_unref(client);
	g_main_context_unref(main);
	g_free(address);
}

/*
 * Run the tables.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_start(G_LOG_LEVEL_CRITICAL, STDERR_FILENO);
	CASES("/poller", poller_cases, test_poller);
	CASES("/listener", listener_cases, test_listener);
	return g_test_run();
}
