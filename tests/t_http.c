#include "../platform/platform.h"
#include "../src/http.h"
#include "../src/proxy/proxy.h"

#include "cases.h"

#include <linux/filter.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>

/* Tests of the HTTP client against a server that sends its response in parts.
 */

static char *program_path;

#define TIMEOUT_MS 100
#define GAP_MS 50
#define PART "0123456789"
#define PART_BYTES 10

typedef struct response_case {
	const char *name;
	uint32_t parts;   /* number of parts that the response consists of */
	uint32_t sent;    /* number of parts that the server sends */
	bool closed;      /* the server closes the connection then */
	uint32_t status;  /* expected; 0: failed */
	int64_t until_ms; /* latest time at which the request ends */
} response_case_t;

static const response_case_t response_cases[] = {
    {"in one part", 1, 1, false, 200, 100},
    {"slower than the timeout", 6, 6, false, 200, 1000},
    {"that stops", 6, 3, false, 0, 600},
    {"that is cut off", 6, 3, true, 0, 600},
    {"that does not begin", 0, 0, false, 0, 300},
    {"that takes too long in all", 100, 100, false, 0, 3000},
};

/* A server that answers one request. */
typedef struct part_server {
	const response_case_t *c;
	GSocketService *service;
	GSocketConnection *connection;
	uint32_t sent;
	GSource *timer;
} part_server_t;

/* The result of a request. */
typedef struct result {
	bool ended;
	uint32_t status;
	uint64_t size_bytes;
} result_t;

/*
 * Write text to the client of a server.
 */
static void
server_write(part_server_t *server, const char *text)
{
	GOutputStream *out =
	    g_io_stream_get_output_stream(G_IO_STREAM(server->connection));

	/* the client may have closed the connection */
	(void)g_output_stream_write_all(
	    out, text, strlen(text), NULL, NULL, NULL);
}

/*
 * Send the next part of the response.
 */
static gboolean
on_gap(gpointer context)
{
	part_server_t *server = context;

	if (server->sent < server->c->sent) {
		server->sent++;
		server_write(server, PART);
		return G_SOURCE_CONTINUE;
	}
	if (server->c->closed)
		g_io_stream_close(G_IO_STREAM(server->connection), NULL, NULL);
	return G_SOURCE_REMOVE;
}

/*
 * Accept the connection of the client, and begin the response at once.
 */
static gboolean
on_incoming(GSocketService *service, GSocketConnection *connection,
    GObject *source, gpointer context)
{
	part_server_t *server = context;
	char *head;

	(void)service;
	(void)source;
	server->connection = g_object_ref(connection);
	if (server->c->parts == 0)
		return TRUE;
	head = g_strdup_printf("HTTP/1.1 200 OK\r\n"
			       "Content-Length: %u\r\n\r\n",
	    server->c->parts * PART_BYTES);
	server_write(server, head);
	g_free(head);
	server->timer = g_timeout_source_new(GAP_MS);
	g_source_set_callback(server->timer, on_gap, server, NULL);
	g_source_attach(server->timer, NULL);
	return TRUE;
}

/*
 * Note the result of a request.
 */
static void
on_result(void *context, uint32_t status, const char *body, uint64_t size_bytes)
{
	result_t *result = context;

	g_assert_cmpint(status != 0, ==, body != NULL);
	result->ended = true;
	result->status = status;
	result->size_bytes = size_bytes;
}

/*
 * Start a server on a free port, and return its address.
 */
static char *
server_start(part_server_t *server)
{
	uint16_t port;

	server->service = g_socket_service_new();
	port = g_socket_listener_add_any_inet_port(
	    G_SOCKET_LISTENER(server->service), NULL, NULL);
	g_assert_cmpuint(port, !=, 0);
	g_signal_connect(
	    server->service, "incoming", G_CALLBACK(on_incoming), server);
	return g_strdup_printf("127.0.0.1:%u", port);
}

/*
 * Stop a server.
 */
static void
server_stop(part_server_t *server)
{
	if (server->timer != NULL) {
		g_source_destroy(server->timer);
		g_source_unref(server->timer);
	}
	g_clear_object(&server->connection);
	g_socket_service_stop(server->service);
	g_socket_listener_close(G_SOCKET_LISTENER(server->service));
	g_object_unref(server->service);
}

/*
 * Test that the timeout of a request is counted from each part of its response,
 * up to a limit, and that a response that is not complete fails.
 */
static void
test_response(gconstpointer data)
{
	part_server_t server = {.c = data};
	char *address = server_start(&server);
	http_client_t *http = http_client_new(address, TIMEOUT_MS);
	int64_t began_us = clock_us();
	result_t result = {0};

	http_request_send(http, http_request_new(http, "GET", "/"), NULL, 0,
	    on_result, &result);
	while (!result.ended)
		g_main_context_iteration(NULL, TRUE);
	g_assert_cmpuint(result.status, ==, server.c->status);
	if (result.status != 0)
		g_assert_cmpuint(result.size_bytes, ==,
		    (uint64_t)server.c->parts * PART_BYTES);
	g_assert_cmpint(
	    (clock_us() - began_us) / US_PER_MS, <=, server.c->until_ms);
	http_client_free(http);
	server_stop(&server);
	g_free(address);
}

/*
 * Test that a client which is freed while a response is being received does not
 * call back, and ends.
 */
static void
test_free(void)
{
	static const response_case_t endless = {
	    .name = "endless", .parts = 100, .sent = 100};
	part_server_t server = {.c = &endless};
	char *address = server_start(&server);
	http_client_t *http = http_client_new(address, TIMEOUT_MS);
	result_t result = {0};

	http_request_send(http, http_request_new(http, "GET", "/"), NULL, 0,
	    on_result, &result);
	while (server.sent < 2)
		g_main_context_iteration(NULL, TRUE);
	http_client_free(http);
	g_assert_false(result.ended);
	server_stop(&server);
	g_free(address);
}

typedef struct unanswered_case {
	const char *name;
	bool freed; /* the client is freed; otherwise the request times out */
} unanswered_case_t;

static const unanswered_case_t unanswered_cases[] = {
    {"that times out", false},
    {"of a client that is freed", true},
};

/*
 * Test that the connection of a request without a response is reset, not just
 * closed: an order that is held up in the network must not be carried out
 * seconds after it was given up.
 */
static void
test_unanswered(gconstpointer data)
{
	static const response_case_t silent = {.name = "silent"};
	const unanswered_case_t *c = data;
	part_server_t server = {.c = &silent};
	char *address = server_start(&server);
	http_client_t *http = http_client_new(address, TIMEOUT_MS);
	result_t result = {0};
	GError *error = NULL;
	char bytes[1024];
	GSocket *socket;
	gssize n;

	http_request_send(http, http_request_new(http, "POST", "/order"), "{}",
	    0, on_result, &result);
	while (server.connection == NULL || (!c->freed && !result.ended))
		g_main_context_iteration(NULL, TRUE);
	if (c->freed)
		http_client_free(http);
	socket = g_socket_connection_get_socket(server.connection);
	/* what was received before the reset may still be read */
	while ((n = g_socket_receive(
		    socket, bytes, sizeof(bytes), NULL, &error)) > 0)
		;
	g_assert_cmpint(n, ==, -1);
	g_assert_error(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_CLOSED);
	g_clear_error(&error);
	if (!c->freed)
		http_client_free(http);
	server_stop(&server);
	g_free(address);
}

typedef struct crowd_case {
	const char *name;
	bool full;         /* the server completes no connection */
	uint32_t requests; /* that are sent at once */
	uint32_t extra_ms; /* extra wait of all but the last one */
	/* time that the first one has beyond the timeout */
	uint32_t first_extra_ms;
} crowd_case_t;

static const crowd_case_t crowd_cases[] = {
    {"one, not connected", true, 1, 0, 0},
    {"some, not connected", true, 4, 0, 0},
    {"more than connections, not connected", true, 12, 0, 0},
    {"more than connections, not answered", false, 12, 0, 0},
    {"behind one long poll, not connected", true, 2, 2000, 0},
    {"behind two long polls, not connected", true, 3, 2000, 0},
    {"behind long polls, not answered", false, 9, 2000, 2000},
    {"behind long polls, not connected", true, 9, 2000, 0},
};

/* Connections that wait for a server that accepts none. */
#define WAITING_MAX 16

/* Connections that a client opens at most (http.c). */
#define CONNECTIONS_MAX 8

/* Time that the test's process may need to run the timer. */
#define LATE_MS 200

/*
 * Read what a connection has received, and append it to text.
 */
static void
connection_read(GSocket *socket, GString *text)
{
	char bytes[1024];
	gssize n;

	while ((n = g_socket_receive(
		    socket, bytes, sizeof(bytes), NULL, NULL)) > 0)
		g_string_append_len(text, bytes, n);
}

/*
 * Return what a server whose connections were not accepted before has received,
 * up to the end or reset of each of them.
 */
static GString *
received_by(GSocket *listener)
{
	GString *text = g_string_new(NULL);
	GSocket *socket;

	g_socket_set_blocking(listener, FALSE);
	while ((socket = g_socket_accept(listener, NULL, NULL)) != NULL) {
		g_socket_set_blocking(socket, FALSE);
		connection_read(socket, text);
		g_object_unref(socket);
	}
	return text;
}

/*
 * Test that a request ends at its timeout, however many others are under way to
 * a server that does not answer, or to which no connection can be opened, and
 * that it is not sent afterwards.  A long poll waits longer than the timeout
 * only for its answer.
 */
static void
test_crowd(gconstpointer data)
{
	const crowd_case_t *c = data;
	GSocket *listener =
	    g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, 0, NULL);
	GSocketAddress *any =
	    g_inet_socket_address_new_from_string("127.0.0.1", 0);
	GSocket *waiting[WAITING_MAX];
	result_t *results = g_new0(result_t, c->requests);
	const result_t *last = &results[c->requests - 1];
	GSocketAddress *bound;
	http_client_t *http;
	GString *received;
	char *address;
	int64_t began_us, ended_us = 0, first_us = 0;
	uint32_t i;

	g_assert_true(g_socket_bind(listener, any, FALSE, NULL));
	g_socket_set_listen_backlog(listener, c->full ? 0 : 2 * WAITING_MAX);
	g_assert_true(g_socket_listen(listener, NULL));
	bound = g_socket_get_local_address(listener, NULL);
	for (i = 0; i < WAITING_MAX; i++) {
		waiting[i] = g_socket_new(
		    G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, 0, NULL);
		g_socket_set_blocking(waiting[i], FALSE);
		if (c->full)
			(void)g_socket_connect(waiting[i], bound, NULL, NULL);
	}
	address = g_strdup_printf("127.0.0.1:%u",
	    g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound)));
	http = http_client_new(address, TIMEOUT_MS);
	began_us = clock_us();
	for (i = 0; i < c->requests; i++)
		http_request_send(http,
		    http_request_new(
			http, "GET", i + 1 < c->requests ? "/" : "/last"),
		    NULL, i + 1 < c->requests ? c->extra_ms : 0, on_result,
		    &results[i]);
	while (clock_us() - began_us <
	    (INT64_C(3) * TIMEOUT_MS + c->extra_ms) * US_PER_MS) {
		g_main_context_iteration(NULL, FALSE);
		if (ended_us == 0 && last->ended)
			ended_us = clock_us();
		if (first_us == 0 && results[0].ended)
			first_us = clock_us();
		g_usleep(1000);
	}
	g_test_message("ended after %" G_GINT64_FORMAT
		       " ms, the first after %" G_GINT64_FORMAT " ms",
	    (ended_us - began_us) / US_PER_MS,
	    (first_us - began_us) / US_PER_MS);
	for (i = 0; i < c->requests; i++) {
		g_assert_true(results[i].ended);
		g_assert_cmpuint(results[i].status, ==, 0);
	}
	g_assert_cmpint(ended_us, !=, 0);
	g_assert_cmpint(
	    (ended_us - began_us) / US_PER_MS, <=, TIMEOUT_MS + LATE_MS);
	g_assert_cmpint((first_us - began_us) / US_PER_MS, <=,
	    TIMEOUT_MS + (int64_t)c->first_extra_ms + LATE_MS);
	g_assert_cmpint((first_us - began_us) / US_PER_MS, >=,
	    TIMEOUT_MS + (int64_t)c->first_extra_ms);
	if (c->requests > CONNECTIONS_MAX) {
		received = received_by(listener);
		g_assert_null(strstr(received->str, "/last"));
		g_string_free(received, TRUE);
	}
	http_client_free(http);
	for (i = 0; i < WAITING_MAX; i++)
		g_object_unref(waiting[i]);
	g_object_unref(bound);
	g_object_unref(any);
	g_object_unref(listener);
	g_free(address);
	g_free(results);
}

/*
 * Run the client for some time.
 */
static void
run_for(int64_t duration_us)
{
	int64_t end_us = clock_us() + duration_us;

	while (clock_us() < end_us) {
		g_main_context_iteration(NULL, FALSE);
		g_usleep(1000);
	}
}

/*
 * Test that a request that timed out while it waited for a connection is not
 * sent when one becomes idle, as the server answers another request.
 */
static void
test_not_sent_later(void)
{
	static const char answer[] =
	    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
	GSocket *listener =
	    g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, 0, NULL);
	GSocketAddress *any =
	    g_inet_socket_address_new_from_string("127.0.0.1", 0);
	GPtrArray *sockets = g_ptr_array_new_with_free_func(g_object_unref);
	GString *text = g_string_new(NULL);
	result_t results[CONNECTIONS_MAX + 1] = {{0}};
	GSocketAddress *bound;
	http_client_t *http;
	GSocket *socket;
	char *address;
	uint32_t i;

	g_assert_true(g_socket_bind(listener, any, FALSE, NULL));
	g_assert_true(g_socket_listen(listener, NULL));
	g_socket_set_blocking(listener, FALSE);
	bound = g_socket_get_local_address(listener, NULL);
	address = g_strdup_printf("127.0.0.1:%u",
	    g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound)));
	http = http_client_new(address, TIMEOUT_MS);
	for (i = 0; i < CONNECTIONS_MAX; i++)
		http_request_send(http, http_request_new(http, "GET", "/poll"),
		    NULL, 10 * TIMEOUT_MS, on_result, &results[i]);
	run_for(TIMEOUT_MS * US_PER_MS / 2);
	http_request_send(http, http_request_new(http, "PUT", "/last"), "{}", 0,
	    on_result, &results[CONNECTIONS_MAX]);
	run_for(INT64_C(2) * TIMEOUT_MS * US_PER_MS);
	g_assert_true(results[CONNECTIONS_MAX].ended);
	g_assert_cmpuint(results[CONNECTIONS_MAX].status, ==, 0);
	while ((socket = g_socket_accept(listener, NULL, NULL)) != NULL) {
		g_ptr_array_add(sockets, socket);
		g_socket_set_blocking(socket, FALSE);
		connection_read(socket, text);
		g_assert_cmpint(g_socket_send(socket, answer,
				    sizeof(answer) - 1, NULL, NULL),
		    ==, sizeof(answer) - 1);
	}
	g_assert_cmpuint(sockets->len, ==, CONNECTIONS_MAX);
	run_for(INT64_C(3) * TIMEOUT_MS * US_PER_MS);
	for (i = 0; i < CONNECTIONS_MAX; i++)
		g_assert_cmpuint(results[i].status, ==, 200);
	while ((socket = g_socket_accept(listener, NULL, NULL)) != NULL) {
		g_ptr_array_add(sockets, socket);
		g_socket_set_blocking(socket, FALSE);
	}
	for (i = 0; i < sockets->len; i++)
		connection_read(g_ptr_array_index(sockets, i), text);
	g_assert_nonnull(strstr(text->str, "/poll"));
	g_assert_null(strstr(text->str, "/last"));
	http_client_free(http);
	g_ptr_array_unref(sockets);
	g_string_free(text, TRUE);
	g_object_unref(bound);
	g_object_unref(any);
	g_object_unref(listener);
	g_free(address);
}

/* A server that answers its first request, and no other. */
typedef struct first_server {
	GSocket *listener;
	GPtrArray *sockets; /* of its connections */
	bool answered;
	GString *received; /* all that it has received */
} first_server_t;

/*
 * Start a server on a free port.  With a backlog of 0, connections beyond the
 * first are opened only when that one is accepted.
 */
static void
first_server_start(first_server_t *server, int32_t backlog)
{
	GSocketAddress *any =
	    g_inet_socket_address_new_from_string("127.0.0.1", 0);

	server->listener =
	    g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, 0, NULL);
	g_assert_true(g_socket_bind(server->listener, any, FALSE, NULL));
	g_socket_set_listen_backlog(server->listener, backlog);
	g_assert_true(g_socket_listen(server->listener, NULL));
	g_socket_set_blocking(server->listener, FALSE);
	server->sockets = g_ptr_array_new_with_free_func(g_object_unref);
	server->received = g_string_new(NULL);
	server->answered = false;
	g_object_unref(any);
}

/*
 * Return the address of a server.
 */
static char *
first_server_address(const first_server_t *server)
{
	GSocketAddress *bound =
	    g_socket_get_local_address(server->listener, NULL);
	char *address = g_strdup_printf("127.0.0.1:%u",
	    g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound)));

	g_object_unref(bound);
	return address;
}

/*
 * Accept connections, answer the first request, and close the connection of any
 * other one that it has read.
 */
static void
first_server_run(first_server_t *server)
{
	static const char answer[] =
	    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
	GSocket *socket;
	gsize before;
	uint32_t i;

	while (
	    (socket = g_socket_accept(server->listener, NULL, NULL)) != NULL) {
		g_socket_set_blocking(socket, FALSE);
		g_ptr_array_add(server->sockets, socket);
	}
	for (i = 0; i < server->sockets->len; i++) {
		socket = g_ptr_array_index(server->sockets, i);
		before = server->received->len;
		if (g_socket_is_closed(socket))
			continue;
		connection_read(socket, server->received);
		if (server->received->len == before)
			continue;
		if (server->answered)
			g_socket_close(socket, NULL);
		else
			g_assert_cmpint(g_socket_send(socket, answer,
					    sizeof(answer) - 1, NULL, NULL),
			    ==, sizeof(answer) - 1);
		server->answered = true;
	}
}

/*
 * Return how often a server has received a text.
 */
static uint32_t
first_server_count(const first_server_t *server, const char *text)
{
	const char *at = server->received->str;
	uint32_t count = 0;

	while ((at = strstr(at, text)) != NULL) {
		at += strlen(text);
		count++;
	}
	return count;
}

/*
 * Stop a server.
 */
static void
first_server_stop(first_server_t *server)
{
	g_ptr_array_unref(server->sockets);
	g_string_free(server->received, TRUE);
	g_object_unref(server->listener);
}

/*
 * Run the client and a server until a request has ended.
 */
static void
run_until_ended(first_server_t *server, const result_t *result)
{
	while (!result->ended) {
		g_main_context_iteration(NULL, FALSE);
		first_server_run(server);
		g_usleep(1000);
	}
}

typedef struct repeated_case {
	const char *name;
	const char *method;
	uint32_t received; /* number of times that the server receives it */
} repeated_case_t;

static const repeated_case_t repeated_cases[] = {
    {"an order", "POST", 1},
    {"a write of an object", "PUT", 2},
    {"a read", "GET", 2},
};

/*
 * Test that an order is not sent again when the server closes a connection that
 * was used before without a response.  Requests that may be repeated are, once.
 */
static void
test_repeated(gconstpointer data)
{
	const repeated_case_t *c = data;
	first_server_t server;
	result_t first = {0}, second = {0};
	http_client_t *http;
	char *address;

	first_server_start(&server, WAITING_MAX);
	address = first_server_address(&server);
	http = http_client_new(address, TIMEOUT_MS);
	http_request_send(http, http_request_new(http, "GET", "/first"), NULL,
	    0, on_result, &first);
	run_until_ended(&server, &first);
	g_assert_cmpuint(first.status, ==, 200);
	http_request_send(http, http_request_new(http, c->method, "/second"),
	    NULL, 0, on_result, &second);
	run_until_ended(&server, &second);
	run_for(INT64_C(2) * TIMEOUT_MS * US_PER_MS);
	first_server_run(&server);
	g_assert_cmpuint(second.status, ==, 0);
	g_assert_cmpuint(
	    first_server_count(&server, " /second "), ==, c->received);
	http_client_free(http);
	first_server_stop(&server);
	g_free(address);
}

typedef struct delivery_case {
	const char *name;
	uint32_t delivery_ms;
	int64_t runs_after_ms; /* time after which the server runs */
	bool full;             /* no connection can be opened before */
	uint32_t status;
	uint32_t received; /* number of orders that the server receives */
	int64_t until_ms;  /* latest time at which the request ends */
} delivery_case_t;

static const delivery_case_t delivery_cases[] = {
    {"no limit, late connection", 3000, 50, true, 200, 1, 2500},
    {"late connection", 200, 50, true, 0, 0, 400},
    {"late response", 200, 400, false, 200, 1, 1000},
};

/* Timeout of a client that limits the time for the delivery. */
#define DELIVERY_TIMEOUT_MS 3000

/*
 * Test that an order which cannot be written in the time for its delivery is
 * given up, and that its response may take longer.
 */
static void
test_delivery(gconstpointer data)
{
	const delivery_case_t *c = data;
	first_server_t server;
	GSocket *waiting[WAITING_MAX];
	GSocketAddress *bound;
	result_t result = {0};
	int64_t began_us = clock_us();
	http_client_t *http;
	char *address;
	uint32_t i;

	first_server_start(&server, c->full ? 0 : WAITING_MAX);
	address = first_server_address(&server);
	bound = g_socket_get_local_address(server.listener, NULL);
	for (i = 0; i < WAITING_MAX; i++) {
		waiting[i] = g_socket_new(
		    G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, 0, NULL);
		g_socket_set_blocking(waiting[i], FALSE);
		if (c->full)
			(void)g_socket_connect(waiting[i], bound, NULL, NULL);
	}
	http = http_client_new(address, DELIVERY_TIMEOUT_MS);
	http_client_limit_delivery(http, c->delivery_ms);
	http_request_send(http, http_request_new(http, "POST", "/order"), NULL,
	    0, on_result, &result);
	run_for(c->runs_after_ms * US_PER_MS);
	run_until_ended(&server, &result);
	g_assert_cmpint((clock_us() - began_us) / US_PER_MS, <=, c->until_ms);
	for (i = 0; i < 2000; i++) {
		first_server_run(&server);
		g_usleep(1000);
	}
	g_assert_cmpuint(result.status, ==, c->status);
	g_assert_cmpuint(
	    first_server_count(&server, " /order "), ==, c->received);
	http_client_free(http);
	for (i = 0; i < WAITING_MAX; i++)
		g_object_unref(waiting[i]);
	g_object_unref(bound);
	first_server_stop(&server);
	g_free(address);
}

typedef struct lost_case {
	const char *name;
	int64_t lost_ms; /* time for which what is sent to the server is lost */
} lost_case_t;

static const lost_case_t lost_cases[] = {
    {"once", 150},
    {"twice", 300},
    {"for as long as the kernel tries", 400},
};

/*
 * Let the kernel drop what arrives on the connections of a server, or no more.
 */
static void
set_lost(const first_server_t *server, bool lost)
{
	struct sock_filter none = {.code = BPF_RET | BPF_K};
	struct sock_fprog filter = {.len = 1, .filter = &none};
	uint32_t i;

	for (i = 0; i < server->sockets->len; i++) {
		GSocket *socket = g_ptr_array_index(server->sockets, i);

		g_assert_cmpint(setsockopt(g_socket_get_fd(socket), SOL_SOCKET,
				    lost ? SO_ATTACH_FILTER : SO_DETACH_FILTER,
				    &filter, sizeof(filter)),
		    ==, 0);
	}
}

/*
 * Accept the connection that was opened for an order, and lose what is sent on
 * it.
 */
static void
on_order_connected(SoupMessage *message, GSocketClientEvent event,
    GIOStream *stream, gpointer context)
{
	first_server_t *server = context;

	(void)message;
	(void)stream;
	if (event != G_SOCKET_CLIENT_CONNECTED)
		return;
	first_server_run(server);
	set_lost(server, true);
}

/*
 * Test that an order whose segments are lost arrives in the time in which the
 * kernel is said to deliver it, or not at all.
 */
static void
test_lost(gconstpointer data)
{
	const lost_case_t *c = data;
	int64_t began_us = clock_us(), taken_ms = 0;
	first_server_t server;
	result_t result = {0};
	SoupMessage *order;
	http_client_t *http;
	char *address;

	first_server_start(&server, WAITING_MAX);
	address = first_server_address(&server);
	http = http_client_new(address, DELIVERY_TIMEOUT_MS);
	http_client_limit_delivery(http, ORDER_DELIVERY_MS);
	order = http_request_new(http, "POST", "/order");
	g_signal_connect(
	    order, "network-event", G_CALLBACK(on_order_connected), &server);
	http_request_send(http, order, NULL, 0, on_result, &result);
	run_for(c->lost_ms * US_PER_MS);
	first_server_run(&server);
	g_assert_cmpuint(first_server_count(&server, " /order "), ==, 0);
	set_lost(&server, false);
	run_until_ended(&server, &result);
	if (first_server_count(&server, " /order ") > 0)
		taken_ms = (clock_us() - began_us) / US_PER_MS;
	g_test_message("received after %" G_GINT64_FORMAT " ms", taken_ms);
	g_assert_cmpint(taken_ms, <=, ORDER_KERNEL_MS);
	http_client_free(http);
	first_server_stop(&server);
	g_free(address);
}

/* Where a process that sends an order is frozen. */
typedef enum frozen_at {
	FROZEN_AT_SEND,    /* before anything is done */
	FROZEN_AT_REUSE,   /* the same, and a connection is open */
	FROZEN_CONNECTING, /* while the connection is being opened */
	FROZEN_CONNECTED,  /* once it is open */
	FROZEN_COMPLETE,   /* once it may be used */
	FROZEN_STARTING,   /* as the request is about to be written */
} frozen_at_t;

typedef struct frozen_case {
	const char *name;
	frozen_at_t at;
	int64_t frozen_ms;
	uint32_t received; /* number of orders that the server receives */
} frozen_case_t;

static const frozen_case_t frozen_cases[] = {
    {"as it begins to send it", FROZEN_AT_SEND, 500, 0},
    {"the same, with an open connection", FROZEN_AT_REUSE, 500, 0},
    /* the kernel opens the connection a second after its first attempt */
    {"as it connects", FROZEN_CONNECTING, 2500, 0},
    {"as it has connected", FROZEN_CONNECTED, 500, 0},
    {"as the connection may be used", FROZEN_COMPLETE, 500, 0},
    {"as it begins to write it", FROZEN_STARTING, 500, 0},
    {"as it begins to write it, briefly", FROZEN_STARTING, 5, 1},
};

/* First argument of the process that sends an order, before its address. */
#define SENDER_OPTION "--send-order"

/*
 * Stop this process until it is continued, at a step of opening a connection.
 */
static void
on_step(SoupMessage *message, GSocketClientEvent event, GIOStream *stream,
    gpointer context)
{
	const GSocketClientEvent *frozen_at = context;

	(void)message;
	(void)stream;
	if (event == *frozen_at)
		raise(SIGSTOP);
}

/*
 * Stop this process until it is continued, as a request is about to be written.
 */
static void
on_starting(SoupMessage *message, gpointer context)
{
	(void)message;
	(void)context;
	raise(SIGSTOP);
}

/*
 * Send an order, be frozen before it is on its way, and run on for a while.
 */
static int32_t
run_sender(const char *address, frozen_at_t at)
{
	http_client_t *http = http_client_new(address, TIMEOUT_MS);
	result_t first = {0}, second = {0};
	SoupMessage *order;
	static const GSocketClientEvent steps[] = {
	    [FROZEN_CONNECTED] = G_SOCKET_CLIENT_CONNECTED,
	    [FROZEN_COMPLETE] = G_SOCKET_CLIENT_COMPLETE};

	if (at == FROZEN_AT_REUSE) {
		http_request_send(http, http_request_new(http, "GET", "/first"),
		    NULL, 0, on_result, &first);
		while (!first.ended)
			g_main_context_iteration(NULL, TRUE);
	}
	order = http_request_new(http, "POST", "/order");
	if (at == FROZEN_CONNECTED || at == FROZEN_COMPLETE)
		g_signal_connect(order, "network-event", G_CALLBACK(on_step),
		    (gpointer)&steps[at]);
	if (at == FROZEN_STARTING)
		g_signal_connect(
		    order, "starting", G_CALLBACK(on_starting), NULL);
	http_request_send(http, order, "{}", 0, on_result, &second);
	if (at == FROZEN_CONNECTING)
		run_for(INT64_C(30) * US_PER_MS);
	if (at <= FROZEN_CONNECTING)
		raise(SIGSTOP);
	while (!second.ended)
		g_main_context_iteration(NULL, TRUE);
	run_for(INT64_C(5) * TIMEOUT_MS * US_PER_MS);
	http_client_free(http);
	return second.ended ? 0 : 1;
}

/*
 * Wait until a process is stopped or has ended, and return its status as
 * waitpid() does.
 */
static int
wait_for_sender(GPid pid, first_server_t *server, bool serving)
{
	int status;

	while (waitpid(pid, &status, WNOHANG | WUNTRACED) == 0) {
		if (serving)
			first_server_run(server);
		g_usleep(1000);
	}
	return status;
}

/*
 * Test that an order is not sent by a process that was frozen for longer than
 * the timeout after it was asked to send it: another daemon may be the
 * coordinator by then.
 */
static void
test_frozen_sender(gconstpointer data)
{
	const frozen_case_t *c = data;
	first_server_t server;
	char *address, *at = g_strdup_printf("%d", (int)c->at);
	char *argv[] = {program_path, SENDER_OPTION, NULL, at, NULL};
	GSocket *waiting[WAITING_MAX];
	GSocketAddress *bound;
	GPid pid;
	uint32_t i;
	int status;

	first_server_start(
	    &server, c->at == FROZEN_CONNECTING ? 0 : WAITING_MAX);
	address = first_server_address(&server);
	bound = g_socket_get_local_address(server.listener, NULL);
	for (i = 0; i < WAITING_MAX; i++) {
		waiting[i] = g_socket_new(
		    G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, 0, NULL);
		g_socket_set_blocking(waiting[i], FALSE);
		if (c->at == FROZEN_CONNECTING)
			(void)g_socket_connect(waiting[i], bound, NULL, NULL);
	}
	argv[2] = address;
	g_assert_true(g_spawn_async(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
	    NULL, NULL, &pid, NULL));
	status = wait_for_sender(pid, &server, c->at != FROZEN_CONNECTING);
	g_assert_true(WIFSTOPPED(status));
	for (i = 0; i < c->frozen_ms; i++) {
		first_server_run(&server);
		g_usleep(1000);
	}
	kill(pid, SIGCONT);
	status = wait_for_sender(pid, &server, true);
	g_assert_true(WIFEXITED(status) && WEXITSTATUS(status) == 0);
	first_server_run(&server);
	g_assert_cmpuint(
	    first_server_count(&server, " /order "), ==, c->received);
	for (i = 0; i < WAITING_MAX; i++)
		g_object_unref(waiting[i]);
	g_object_unref(bound);
	first_server_stop(&server);
	g_free(address);
	g_free(at);
}

/* A server that answers on connections that it has accepted late enough. */
typedef struct silent_server {
	first_server_t server;
	uint32_t silent; /* number of connections that are silent, the oldest */
	uint32_t wanted; /* number of them from which on it answers */
} silent_server_t;

/*
 * Accept connections, and answer what is received on those that are not silent.
 * The silent ones stay open.
 */
static void
silent_server_run(silent_server_t *silent)
{
	static const char answer[] =
	    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
	first_server_t *server = &silent->server;
	GSocket *socket;
	gsize before;
	uint32_t i;

	while (
	    (socket = g_socket_accept(server->listener, NULL, NULL)) != NULL) {
		g_socket_set_blocking(socket, FALSE);
		g_ptr_array_add(server->sockets, socket);
	}
	for (i = silent->silent;
	     i < server->sockets->len && silent->wanted <= server->sockets->len;
	     i++) {
		socket = g_ptr_array_index(server->sockets, i);
		before = server->received->len;
		connection_read(socket, server->received);
		if (server->received->len > before)
			(void)g_socket_send(
			    socket, answer, sizeof(answer) - 1, NULL, NULL);
	}
}

/*
 * Send requests at once and wait until they have ended.  Returns how many of
 * them were answered.
 */
static uint32_t
send_at_once(silent_server_t *server, http_client_t *http, const char *method,
    uint32_t count)
{
	result_t results[CONNECTIONS_MAX] = {0};
	uint32_t i, ended, answered = 0;

	for (i = 0; i < count; i++)
		http_request_send(http, http_request_new(http, method, "/"),
		    NULL, 0, on_result, &results[i]);
	do {
		g_main_context_iteration(NULL, FALSE);
		silent_server_run(server);
		g_usleep(1000);
		for (i = ended = 0; i < count; i++)
			ended += results[i].ended;
	} while (ended < count);
	for (i = 0; i < count; i++)
		answered += results[i].status == 200;
	return answered;
}

typedef struct silent_case {
	const char *name;
	const char *method;
	uint32_t connections; /* that are open and go silent */
	uint32_t at_once;     /* requests that are sent at once then */
	bool poll;            /* a long poll waits on one of them */
	uint32_t lost; /* number of times that requests are not answered */
} silent_case_t;

static const silent_case_t silent_cases[] = {
    {"one, a read", "GET", 1, 1, false, 1},
    {"one, a write", "PUT", 1, 1, false, 1},
    {"three, a read", "GET", 3, 1, false, 1},
    {"three, a write", "PUT", 3, 1, false, 1},
    /* an order always has a connection of its own */
    {"three, an order", "POST", 3, 1, false, 0},
    {"three, two reads at once", "GET", 3, 2, false, 1},
    {"three, one of them with a long poll", "GET", 3, 1, true, 1},
    {"as many as there may be", "GET", CONNECTIONS_MAX, 1, false, 1},
};

/*
 * Test that connections which go silent together cost one timeout: the request
 * after one that was not answered is sent by a new connection.
 */
static void
test_silent(gconstpointer data)
{
	const silent_case_t *c = data;
	silent_server_t server = {0};
	result_t poll = {0};
	uint32_t lost = 0;
	http_client_t *http;
	char *address;

	first_server_start(&server.server, WAITING_MAX);
	address = first_server_address(&server.server);
	http = http_client_new(address, TIMEOUT_MS);
	server.wanted = c->connections;
	g_assert_cmpuint(send_at_once(&server, http, "GET", c->connections), ==,
	    c->connections);
	g_assert_cmpuint(server.server.sockets->len, ==, c->connections);
	server.silent = c->connections;
	if (c->poll)
		http_request_send(http, http_request_new(http, "GET", "/poll"),
		    NULL, 20 * TIMEOUT_MS, on_result, &poll);
	while (
	    send_at_once(&server, http, c->method, c->at_once) < c->at_once) {
		lost++;
		g_assert_cmpuint(lost, <=, c->connections);
	}
	g_test_message("%u timeouts", lost);
	g_assert_cmpuint(lost, ==, c->lost);
	http_client_free(http);
	first_server_stop(&server.server);
	g_free(address);
}

typedef struct outcome_case {
	const char *name;
	uint32_t status;
	promoter_status_t promotion;  /* expected */
	object_store_status_t object; /* expected */
} outcome_case_t;

static const outcome_case_t outcome_cases[] = {
    {"200", 200, PROMOTER_ACCEPTED, OBJECT_STORE_OK},
    {"409", 409, PROMOTER_REFUSED, OBJECT_STORE_CONFLICT},
    {"429", 429, PROMOTER_REFUSED, OBJECT_STORE_REFUSED},
    {"503", 503, PROMOTER_NO_RESPONSE, OBJECT_STORE_REFUSED},
    {"403", 403, PROMOTER_NO_RESPONSE, OBJECT_STORE_NO_RESPONSE},
    {"408", 408, PROMOTER_NO_RESPONSE, OBJECT_STORE_NO_RESPONSE},
    {"500", 500, PROMOTER_NO_RESPONSE, OBJECT_STORE_NO_RESPONSE},
    {"502", 502, PROMOTER_NO_RESPONSE, OBJECT_STORE_NO_RESPONSE},
    {"504", 504, PROMOTER_NO_RESPONSE, OBJECT_STORE_NO_RESPONSE},
};

/* What the two clients of the platform have made of a status. */
typedef struct outcome {
	const outcome_case_t *c;
	uint32_t ended; /* number of calls */
	promoter_status_t promotion;
	object_store_status_t object;
} outcome_t;

/*
 * Answer a request of either client with the status of the case.
 */
static void
on_outcome_request(SoupServer *server, SoupServerMessage *message,
    const char *path, GHashTable *query, gpointer context)
{
	const outcome_t *outcome = context;

	(void)server;
	(void)path;
	(void)query;
	soup_server_message_set_status(message, outcome->c->status, NULL);
	soup_server_message_set_response(
	    message, "application/json", SOUP_MEMORY_STATIC, "{}", 2);
}

/*
 * Note the outcome of an order.
 */
static void
on_promoted(void *context, promoter_status_t status)
{
	outcome_t *outcome = context;

	outcome->promotion = status;
	outcome->ended++;
}

/*
 * Note the outcome of a write.
 */
static void
on_written_object(void *context, const object_store_response_t *response)
{
	outcome_t *outcome = context;

	outcome->object = response->status;
	outcome->ended++;
}

/*
 * Test what a status shows of an order, and of a write of an object.  One that
 * the platform's protocol does not name shows nothing.
 */
static void
test_outcome(gconstpointer data)
{
	Bp__DutyRecord record = BP__DUTY_RECORD__INIT;
	outcome_t outcome = {.c = data};
	SoupServer *server = soup_server_new(NULL, NULL);
	object_store_t *store;
	promoter_t *promoter;
	GSList *uris;
	char *address;

	soup_server_add_handler(
	    server, NULL, on_outcome_request, &outcome, NULL);
	g_assert_true(soup_server_listen_local(
	    server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
	uris = soup_server_get_uris(server);
	address = g_strdup_printf("127.0.0.1:%d", g_uri_get_port(uris->data));
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	promoter = platform_promoter.open(
	    address, DELIVERY_TIMEOUT_MS, ORDER_DELIVERY_MS);
	store = platform_object_store.open(address, DELIVERY_TIMEOUT_MS);
	record.holder = (char *)"vm-a-1";
	platform_promoter.promote(
	    promoter, "group", "i-0", "vm-a-1", 1, on_promoted, &outcome);
	platform_object_store.put_coordinator(
	    store, "record", 1, &record, on_written_object, &outcome);
	while (outcome.ended < 2)
		g_main_context_iteration(NULL, TRUE);
	g_assert_cmpint(outcome.promotion, ==, outcome.c->promotion);
	g_assert_cmpint(outcome.object, ==, outcome.c->object);
	platform_promoter.close(promoter);
	platform_object_store.close(store);
	g_object_unref(server);
	g_free(address);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	program_path = argv[0];
	if (argc == 4 && strcmp(argv[1], SENDER_OPTION) == 0)
		return run_sender(argv[2], (frozen_at_t)atoi(argv[3]));
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	CASES("/http/response", response_cases, test_response);
	g_test_add_func("/http/free", test_free);
	CASES("/http/unanswered", unanswered_cases, test_unanswered);
	CASES("/http/crowd", crowd_cases, test_crowd);
	g_test_add_func("/http/not-sent-later", test_not_sent_later);
	CASES("/http/repeated", repeated_cases, test_repeated);
	CASES("/http/delivery", delivery_cases, test_delivery);
	CASES("/http/lost", lost_cases, test_lost);
	CASES("/http/silent", silent_cases, test_silent);
	CASES("/http/outcome", outcome_cases, test_outcome);
	CASES("/http/frozen-sender", frozen_cases, test_frozen_sender);
	return g_test_run();
}
