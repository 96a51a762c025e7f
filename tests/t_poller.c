#include "../src/poller.h"
#include "cases.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* The epoll set that the sockets of a main context share. */

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

/*
 * Run the tables.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CASES("/poller", poller_cases, test_poller);
	return g_test_run();
}
