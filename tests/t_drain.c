#include "../tools/fleet.h"
#include "cases.h"

#include <curl/curl.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

/* What clients of a daemon see while it ends. */

#define READY_MS 15000
#define EXIT_MS 5000
#define CLIENTS 16
#define DAEMONS 3
#define ANSWER_BYTES_MAX 4096

typedef struct drain_case {
	const char *name;
	const char *body;
	bool keep; /* use a connection until the daemon announces its end */
} drain_case_t;

#define READ_BODY \
	"{\"team\":\"tickets\",\"account\":\"bench\"," \
	"\"work\":\"ticket\",\"key\":\"k\",\"statement\":\"get k\"}"

static const drain_case_t drain_cases[] = {
    {"a connection for each request", READ_BODY, false},
    {"connections that are kept", READ_BODY, true},
    {"requests that are not valid", "{}", true},
};

/* One client: a thread that sends request after request to one daemon. */
typedef struct client {
	const drain_case_t *c;
	uint32_t port;
	uint32_t answered;
	uint32_t announced; /* answers that said the connection ends */
	uint32_t cut;       /* connected or sent, and no whole answer */
} client_t;

/*
 * Receive one whole answer.  Returns whether it came, and in *ends whether
 * it says that the connection ends.
 */
static bool
client_receive(GSocket *socket, bool *ends)
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
		*ends = strstr(buffer, "Connection: close") != NULL;
		return true;
	}
}

/*
 * Use one connection, as long as it may be used.  Returns whether the daemon
 * still took it.
 */
static bool
client_connection(client_t *client)
{
	GSocketAddress *to =
	    g_inet_socket_address_new_from_string("127.0.0.1", client->port);
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
	char *request = g_strdup_printf("POST /v1/statement HTTP/1.1\r\n"
					"Host: a\r\nContent-Length: %zu\r\n"
					"\r\n%s",
	    strlen(client->c->body), client->c->body);
	bool ends = false, taken;

	g_socket_set_timeout(socket, EXIT_MS / MS_PER_S);
	taken = g_socket_connect(socket, to, NULL, NULL);
	while (taken && !ends) {
		if (g_socket_send(socket, request, strlen(request), NULL,
			NULL) < (gssize)strlen(request) ||
		    !client_receive(socket, &ends)) {
			client->cut++;
			break;
		}
		client->answered++;
		client->announced += ends;
		ends = ends || !client->c->keep;
	}
	g_object_unref(socket);
	g_object_unref(to);
	g_free(request);
	return taken;
}

/*
 * Go on until the daemon takes no connection any more.
 */
static gpointer
client_run(gpointer data)
{
	client_t *client = data;

	while (client->cut == 0 && client_connection(client))
		;
	return NULL;
}

/*
 * A daemon that ends answers every request that reached it on a connection it
 * took, and announces the end of a connection before it closes it.
 */
static void
test_drain(gconstpointer data)
{
	const drain_case_t *c = data;
	fleet_plan_t plan = {.daemons = DAEMONS, .tickets = 1, .service_ms = 1};
	fleet_t *fleet = fleet_start(&plan);
	GThread *threads[CLIENTS];
	client_t clients[CLIENTS];
	uint32_t d, i, cut = 0, announced = 0, answered = 0;
	int status;

	g_assert_true(fleet_wait_ready(fleet, READY_MS));
	for (d = 0; d < DAEMONS; d++) {
		for (i = 0; i < CLIENTS; i++) {
			clients[i] =
			    (client_t){c, fleet->daemons[d].port, 0, 0, 0};
			threads[i] =
			    g_thread_new("client", client_run, &clients[i]);
		}
		g_usleep(100 * US_PER_MS);
		fleet_signal(&fleet->daemons[d], SIGTERM);
		g_assert_true(
		    fleet_wait_exit(&fleet->daemons[d], EXIT_MS, &status));
		g_assert_cmpint(status, ==, 0);
		for (i = 0; i < CLIENTS; i++) {
			g_thread_join(threads[i]);
			cut += clients[i].cut;
			answered += clients[i].answered;
			announced += clients[i].announced;
		}
	}
	g_test_message(
	    "%u answered, %u announced, %u cut", answered, announced, cut);
	fleet_end(fleet);
	g_assert_cmpuint(answered, >, CLIENTS);
	g_assert_cmpuint(announced, >, 0);
	g_assert_cmpuint(cut, ==, 0);
}

/*
 * Run the tables.
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
