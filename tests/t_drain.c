#include "../tools/fleet.h"
#include "cases.h"

#include <curl/curl.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

/* Tests that no client loses an answer while a daemon drains and exits. */

#define READY_MS 15000
#define EXIT_MS 5000
#define CLIENTS 16
#define CLIENTS_MAX 64
#define DAEMONS 3
#define ANSWER_BYTES_MAX 4096
#define LOST_TEXT_BYTES 256

typedef struct drain_case {
	const char *name;
	const char *body;
	bool keep_alive;   /* reuse a connection until it is to be closed */
	uint32_t pause_ms; /* time before each request */
	uint32_t clients;  /* of a daemon, 0: CLIENTS */
	uint32_t held_ms;  /* time for which a daemon does not run before */
	uint32_t stops;    /* daemons that are stopped, 0: all */
	uint32_t drain_ms; /* 0: default; else each client has a transaction */
} drain_case_t;

#define BEGIN_BODY \
	"{\"team\":\"tickets\",\"account\":\"bench\"," \
	"\"work\":\"quote-revision\",\"key\":\"k\",\"action\":\"BEGIN\"}"

#define READ_BODY \
	"{\"team\":\"tickets\",\"account\":\"bench\"," \
	"\"work\":\"ticket\",\"key\":\"k\",\"statement\":\"get k\"}"

static const drain_case_t drain_cases[] = {
    {"a connection for each request", READ_BODY, false, 0},
    {"persistent connections", READ_BODY, true, 0},
    {"invalid requests", "{}", true, 0},
    {"pauses between requests on persistent connections", READ_BODY, true, 60,
	0, 0, 1},
    {"many connections that wait to be accepted", READ_BODY, false, 0,
	CLIENTS_MAX, 1500, 1},
    {"open transactions at the end of the drain timeout", READ_BODY, true, 60,
	4, 0, 1, 300},
};

/* A client thread, which sends one request at a time to one daemon. */
typedef struct client {
	const drain_case_t *c;
	uint32_t port;
	char *body;                      /* of its requests */
	uint32_t answered;               /* requests that were answered */
	uint32_t close_announced;        /* answers with "Connection: close" */
	uint32_t lost_answers;           /* requests whose connection broke */
	char lost_text[LOST_TEXT_BYTES]; /* about the last of them */
} client_t;

/*
 * Receive one whole answer.  Returns false when the connection ends first.
 * Sets *closing to whether the answer has "Connection: close".
 */
static bool
client_receive(GSocket *socket, bool *closing)
{
	char buffer[ANSWER_BYTES_MAX + 1], *body, *length;
	uint32_t size_bytes = 0;
	gssize n;

	for (;;) {
		n = g_socket_receive(socket, buffer + size_bytes,
		    ANSWER_BYTES_MAX - size_bytes, NULL, NULL);
		if (n <= 0)
			return false;
		size_bytes += (uint32_t)n;
		buffer[size_bytes] = '\0';
		body = strstr(buffer, "\r\n\r\n");
		if (body == NULL)
			continue;
		length = strstr(buffer, "Content-Length: ");
		g_assert_nonnull(length);
		length += strlen("Content-Length: ");
		if (strlen(body + 4) < g_ascii_strtoull(length, NULL, 10))
			continue;
		*closing = strstr(buffer, "Connection: close") != NULL;
		return true;
	}
}

/*
 * Open one connection and send requests on it until it is to be closed.
 * Returns whether the daemon accepted the connection.
 */
static bool
client_use_connection(client_t *client)
{
	GSocketAddress *address =
	    g_inet_socket_address_new_from_string("127.0.0.1", client->port);
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
	int64_t opened_us, sent_us = 0;
	uint32_t answered = 0;
	char *request = g_strdup_printf("POST /v1/statement HTTP/1.1\r\n"
					"Host: a\r\nContent-Length: %zu\r\n"
					"\r\n%s",
	    strlen(client->body), client->body);
	bool closing = false, accepted;

	g_socket_set_timeout(socket, EXIT_MS / MS_PER_S);
	accepted = g_socket_connect(socket, address, NULL, NULL);
	opened_us = g_get_real_time();
	while (accepted && !closing) {
		g_usleep(client->c->pause_ms * US_PER_MS);
		sent_us = g_get_real_time();
		if (g_socket_send(socket, request, strlen(request), NULL,
			NULL) < (gssize)strlen(request) ||
		    !client_receive(socket, &closing)) {
			client->lost_answers++;
			g_snprintf(client->lost_text, LOST_TEXT_BYTES,
			    "port %u, opened at %" G_GINT64_FORMAT
			    " us, %u answered, sent after %" G_GINT64_FORMAT
			    " us, lost after %" G_GINT64_FORMAT " us",
			    client->port, opened_us, answered,
			    sent_us - opened_us, g_get_real_time() - opened_us);
			break;
		}
		answered++;
		client->answered++;
		client->close_announced += closing;
		closing = closing || !client->c->keep_alive;
	}
	g_object_unref(socket);
	g_object_unref(address);
	g_free(request);
	return accepted;
}

/*
 * Open connections until the daemon accepts no more or one breaks.  Runs in a
 * thread of its own.
 */
static gpointer
client_run(gpointer data)
{
	client_t *client = data;

	while (client->lost_answers == 0 && client_use_connection(client))
		;
	return NULL;
}

/*
 * Begin a transaction at a daemon, and return the body of a read in it.
 */
static char *
begin_transaction(fleet_t *fleet, uint32_t daemon)
{
	arena_t *arena = arena_new();
	const Bp__CallerAnswer *answer =
	    fleet_send_statement(fleet, arena, daemon, BEGIN_BODY);
	char *body;

	g_assert_cmpint(answer->outcome, ==, BP__OUTCOME__DONE);
	body = g_strdup_printf("%.*s,\"transaction\":\"%s\"}",
	    (int)strlen(READ_BODY) - 1, READ_BODY, answer->transaction);
	arena_free(arena);
	return body;
}

/*
 * Test that a daemon that drains answers every request on the connections it
 * accepted, and sends "Connection: close" before it closes one.
 */
static void
test_drain(gconstpointer data)
{
	const drain_case_t *c = data;
	fleet_plan_t plan = {.daemons = DAEMONS,
	    .tickets_groups = 1,
	    .service_ms = 1,
	    .drain_ms = c->drain_ms};
	fleet_t *fleet = fleet_start(&plan);
	GThread *threads[CLIENTS_MAX];
	client_t clients[CLIENTS_MAX];
	uint32_t clients_count = c->clients == 0 ? CLIENTS : c->clients;
	uint32_t stops = c->stops == 0 ? DAEMONS : c->stops;
	uint32_t first = 0, n, i, lost_answers = 0, close_announced = 0,
		 answered = 0;
	int status;

	g_assert_true(fleet_wait_ready(fleet, READY_MS));
	if (c->drain_ms > 0)
		first = fleet_group_owner(fleet, 0);
	for (n = 0; n < stops; n++) {
		uint32_t daemon = (first + n) % DAEMONS;

		for (i = 0; i < clients_count; i++) {
			clients[i] = (client_t){.c = c,
			    .port = fleet->daemons[daemon].port,
			    .body = c->drain_ms == 0
				? g_strdup(c->body)
				: begin_transaction(fleet, daemon)};
			threads[i] =
			    g_thread_new("client", client_run, &clients[i]);
		}
		g_usleep(100 * US_PER_MS);
		if (c->held_ms > 0) {
			fleet_process_signal(&fleet->daemons[daemon], SIGSTOP);
			g_usleep(c->held_ms * US_PER_MS);
		}
		fleet_process_signal(&fleet->daemons[daemon], SIGTERM);
		fleet_process_signal(&fleet->daemons[daemon], SIGCONT);
		g_assert_true(fleet_process_wait_exit(
		    &fleet->daemons[daemon], EXIT_MS, &status));
		g_assert_cmpint(status, ==, 0);
		for (i = 0; i < clients_count; i++) {
			g_thread_join(threads[i]);
			lost_answers += clients[i].lost_answers;
			if (clients[i].lost_answers > 0)
				g_test_message("%s", clients[i].lost_text);
			g_free(clients[i].body);
			answered += clients[i].answered;
			close_announced += clients[i].close_announced;
		}
	}
	g_test_message("%u answered, %u with Connection: close, %u lost",
	    answered, close_announced, lost_answers);
	fleet_stop(fleet);
	g_assert_cmpuint(answered, >, CLIENTS);
	g_assert_cmpuint(close_announced, >, 0);
	g_assert_cmpuint(lost_answers, ==, 0);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	log_start(G_LOG_LEVEL_WARNING, STDERR_FILENO);
	CASES("/drain", drain_cases, test_drain);
	return g_test_run();
}
