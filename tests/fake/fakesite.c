#include "fakesite.h"

#include <argtable2.h>
#include <glib-unix.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/*
 * Fake platform for tests of "bergamotplank proxy".
 *
 * /objects/KIND[/NAME]     object store
 * POST /promote            promote a database
 * POST /fault?on=store&what=FAULT
 * POST /fault?on=database&what=FAULT&number=N
 * POST /fault?on=store-port&what=FAULT&number=PORT
 *                          for the requests to the store by this port
 * POST /put?kind=K&name=N  write an object without a revision check
 * GET /value?item=I        number of promotion requests with an invalid fencing
 *                          token, and value of an item at the primary
 * GET /watches             number of watch requests to the store
 * GET /requests            number of all requests to the store
 * POST /fault?on=order&what=hold
 *                          hold up the next order to promote
 * POST /fault?on=order&what=release
 *                          carry it out now
 * GET /held                database that this order names
 * GET /outdated            values written, and items read, at a primary that
 *                          had been replaced
 * GET /drained             statements that began at a database that left
 * GET /promoted            promotions that took effect
 * GET /revived             those of databases with entries that an earlier
 *                          promotion had given up
 * GET /executed            prepared statements that were run
 * GET /received            statements of clients that databases received
 */

/*
 * Time for which an order is held up: longer than a daemon waits before it
 * orders another promotion.
 */
#define HELD_ORDER_MS 6000

#define STORE_PORTS_MAX 16

typedef struct fake_platform {
	SoupServer *server;
	object_store_t *store;
	db_group_t *group;
	db_group_t *second_group;        /* or NULL; it has no faults */
	uint64_t highest_token;          /* highest fencing token so far */
	char *last_holder;               /* lease holder of the last request */
	uint32_t invalid_token_requests; /* promotions with an invalid token */
	bool hold_next_order;
	char *held_order; /* database that the held order names, or NULL */
	guint held_timer; /* 0: none is held */
} fake_platform_t;

/*
 * Return the text of a string field of a JSON body, to be freed by the
 * caller, or NULL.
 */
static char *
string_field(const char *body, const char *name)
{
	char *key = g_strdup_printf("\"%s\":\"", name);
	const char *at = strstr(body, key);
	char *text = at == NULL ? NULL : g_strdup(at + strlen(key));

	if (text != NULL && strchr(text, '"') != NULL)
		*strchr(text, '"') = '\0';
	g_free(key);
	return text;
}

/*
 * Return the body of a request, to be freed by the caller.
 */
static char *
request_body(SoupServerMessage *message)
{
	GBytes *bytes = soup_message_body_flatten(
	    soup_server_message_get_request_body(message));
	char *text =
	    g_strndup(g_bytes_get_data(bytes, NULL), g_bytes_get_size(bytes));

	g_bytes_unref(bytes);
	return text;
}

/*
 * Count a promotion request as invalid if its fencing token is lower than one
 * received before, if the same token comes from another holder than in the
 * last request, or if the holder is missing.
 */
static void
check_token(fake_platform_t *platform, SoupServerMessage *message)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_request_headers(message);
	const char *holder =
	    soup_message_headers_get_one(headers, "Bergamotplank-Lease-Holder");
	const char *token_header = soup_message_headers_get_one(
	    headers, "Bergamotplank-Fencing-Token");
	uint64_t token =
	    token_header == NULL ? 0 : strtoull(token_header, NULL, 10);

	if (holder == NULL || token < platform->highest_token ||
	    (token == platform->highest_token &&
		g_strcmp0(holder, platform->last_holder) != 0))
		platform->invalid_token_requests++;
	platform->highest_token = MAX(platform->highest_token, token);
	g_free(platform->last_holder);
	platform->last_holder = g_strdup(holder);
}

/*
 * Carry out the order that was held up.
 */
static gboolean
on_held_order(gpointer context)
{
	fake_platform_t *platform = context;

	platform->held_timer = 0;
	db_group_promote(platform->group, platform->held_order);
	return G_SOURCE_REMOVE;
}

/*
 * Hold up an order: it gets no answer, and is carried out HELD_ORDER_MS later.
 */
static void
hold_order(
    fake_platform_t *platform, SoupServerMessage *message, const char *id)
{
	platform->hold_next_order = false;
	platform->held_order = g_strdup(id);
	platform->held_timer =
	    g_timeout_add(HELD_ORDER_MS, on_held_order, platform);
	soup_server_message_pause(message);
}

/*
 * Hold up the next order, or carry out the one that is held.  Returns false if
 * the fault is unknown or no order is held.
 */
static bool
order_fault(fake_platform_t *platform, const char *fault)
{
	if (strcmp(fault, "hold") == 0) {
		platform->hold_next_order = true;
		return true;
	}
	if (strcmp(fault, "release") != 0 || platform->held_timer == 0)
		return false;
	g_source_remove(platform->held_timer);
	on_held_order(platform);
	return true;
}

/*
 * Handle POST /promote: request a promotion.  An invalid fencing token is
 * counted but not refused, so that tests notice a daemon that uses a superseded
 * token.
 */
static void
on_promote(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer context)
{
	fake_platform_t *platform = context;
	char *body = request_body(message), *id = string_field(body, "id");

	(void)server;
	(void)path;
	(void)query;
	check_token(platform, message);
	if (platform->hold_next_order && id != NULL) {
		hold_order(platform, message, id);
		g_free(id);
		g_free(body);
		return;
	}
	soup_server_message_set_status(message,
	    id != NULL &&
		    (db_group_promote(platform->group, id) ||
			(platform->second_group != NULL &&
			    db_group_promote(platform->second_group, id)))
		? 200
		: 409,
	    NULL);
	g_free(id);
	g_free(body);
}

/*
 * Handle POST /fault: inject a fault into the store or a database, or have the
 * next order held up.
 */
static void
on_fault(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer context)
{
	fake_platform_t *platform = context;
	const char *target = g_hash_table_lookup(query, "on");
	const char *fault = g_hash_table_lookup(query, "what");
	const char *number = g_hash_table_lookup(query, "number");
	bool known = true;

	(void)server;
	(void)path;
	if (strcmp(target, "store") == 0)
		object_store_inject_fault(platform->store, fault);
	else if (strcmp(target, "store-port") == 0)
		known = object_store_port_fault(
		    platform->store, (uint16_t)atoi(number), fault);
	else if (strcmp(target, "order") == 0)
		known = order_fault(platform, fault);
	else
		known = db_group_inject_fault(platform->group, fault,
		    number == NULL ? UINT32_MAX : (uint32_t)atoi(number));
	soup_server_message_set_status(message, known ? 200 : 400, NULL);
}

/*
 * Handle POST /put: write an object, as other clients of the store do.
 */
static void
on_put(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer context)
{
	fake_platform_t *platform = context;
	char *body = request_body(message);

	(void)server;
	(void)path;
	object_store_put(platform->store, g_hash_table_lookup(query, "kind"),
	    g_hash_table_lookup(query, "name"), body);
	g_free(body);
	soup_server_message_set_status(message, 200, NULL);
}

/*
 * Handle GET /value: return the number of promotion requests with an invalid
 * fencing token, and the value of an item.
 */
static void
on_value(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer context)
{
	fake_platform_t *platform = context;
	char *value = db_group_item_value(
	    platform->group, g_hash_table_lookup(query, "item"));
	char *text = g_strdup_printf("%u %s", platform->invalid_token_requests,
	    value == NULL ? "none" : value);

	(void)server;
	(void)path;
	soup_server_message_set_status(message, 200, NULL);
	soup_server_message_set_response(
	    message, "text/plain", SOUP_MEMORY_TAKE, text, strlen(text));
	g_free(value);
}

/*
 * Handle GET /watches and GET /requests: return the number of watch requests,
 * or of all requests, to the store so far.
 */
static void
on_request_count(SoupServer *server, SoupServerMessage *message,
    const char *path, GHashTable *query, gpointer context)
{
	const fake_platform_t *platform = context;
	char *text = g_strdup_printf("%u",
	    strcmp(path, "/watches") == 0
		? object_store_watch_requests(platform->store)
		: object_store_requests(platform->store));

	(void)server;
	(void)query;
	soup_server_message_set_status(message, 200, NULL);
	soup_server_message_set_response(
	    message, "text/plain", SOUP_MEMORY_TAKE, text, strlen(text));
}

/*
 * Handle GET /held, /outdated, /drained, /promoted, /revived, /executed and
 * /received: return the database that a held order names, what was written or
 * read at a primary that had been replaced, what began at a database that left,
 * the promotions, those with entries that were given up, or the statements that
 * were run or received.
 */
static void
on_seen(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer context)
{
	const fake_platform_t *platform = context;
	const char *text = platform->held_order;

	(void)server;
	(void)query;
	if (strcmp(path, "/outdated") == 0)
		text = db_group_outdated(platform->group);
	else if (strcmp(path, "/drained") == 0)
		text = db_group_drained(platform->group);
	else if (strcmp(path, "/promoted") == 0)
		text = db_group_promoted(platform->group);
	else if (strcmp(path, "/revived") == 0)
		text = db_group_revived(platform->group);
	else if (strcmp(path, "/executed") == 0)
		text = db_group_executed(platform->group);
	else if (strcmp(path, "/received") == 0)
		text = db_group_received(platform->group);
	if (text == NULL)
		text = "";
	soup_server_message_set_status(message, 200, NULL);
	soup_server_message_set_response(
	    message, "text/plain", SOUP_MEMORY_COPY, text, strlen(text));
}

/*
 * Stop the server on SIGTERM.
 */
static gboolean
on_sigterm(gpointer loop)
{
	g_main_loop_quit(loop);
	return G_SOURCE_CONTINUE;
}

/*
 * Listen on a port of the loopback interface.  Returns false if that fails.
 */
static bool
server_listen(SoupServer *server, uint16_t port)
{
	GSocketAddress *address =
	    g_inet_socket_address_new_from_string("127.0.0.1", port);
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
	bool listens;

	if (socket != NULL)
		g_socket_set_listen_backlog(socket, LISTEN_BACKLOG);
	listens = socket != NULL &&
	    g_socket_bind(socket, address, TRUE, NULL) &&
	    g_socket_listen(socket, NULL) &&
	    soup_server_listen_socket(
		server, socket, (SoupServerListenOptions)0, NULL);
	g_clear_object(&socket);
	g_object_unref(address);
	return listens;
}

/* A path of the HTTP server and its handler. */
typedef struct route {
	const char *path;
	SoupServerCallback handler;
} route_t;

/*
 * Add the handlers of the tests' own paths, and of the platform's.
 */
static void
add_handlers(fake_platform_t *platform)
{
	static const route_t routes[] = {
	    {"/promote", on_promote},
	    {"/fault", on_fault},
	    {"/put", on_put},
	    {"/value", on_value},
	    {"/watches", on_request_count},
	    {"/requests", on_request_count},
	    {"/held", on_seen},
	    {"/outdated", on_seen},
	    {"/drained", on_seen},
	    {"/promoted", on_seen},
	    {"/revived", on_seen},
	    {"/executed", on_seen},
	    {"/received", on_seen},
	};
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(routes); i++)
		soup_server_add_handler(platform->server, routes[i].path,
		    routes[i].handler, platform, NULL);
}

/*
 * Run the fake platform of the proxy.
 *
 * Usage: fakesite --port N --databases N [--lag-ms N] [--work-ms N]
 * [--count N] [--second-databases N] [--daemons-at ADDRESS]
 * [--store-port N]... [--address-at-port ADDRESS]...
 */
int
main(int argc, char **argv)
{
	struct arg_int *port =
	    arg_int1(NULL, "port", "N", "port of the HTTP server");
	struct arg_int *first_port =
	    arg_int1(NULL, "databases", "N", "first port of the databases");
	struct arg_int *lag = arg_int0(NULL, "lag-ms", "N", "replication lag");
	struct arg_int *service = arg_int0(
	    NULL, "work-ms", "N", "service time of an item access or commit");
	struct arg_int *store_ports = arg_intn(NULL, "store-port", "N", 0,
	    STORE_PORTS_MAX, "further port of the HTTP server");
	struct arg_str *addresses = arg_strn(NULL, "address-at-port", "ADDRESS",
	    0, STORE_PORTS_MAX,
	    "address that stands for 127.0.0.1 at a further port, in order");
	struct arg_int *count =
	    arg_int0(NULL, "count", "N", "number of databases");
	struct arg_int *second_port = arg_int0(NULL, "second-databases", "N",
	    "first port of the databases of a second group");
	struct arg_str *daemons_at = arg_str0(
	    NULL, "daemons-at", "ADDRESS", "address in the records of daemons");
	struct arg_end *end = arg_end(4);
	void *table[] = {port, first_port, lag, service, store_ports, addresses,
	    count, second_port, daemons_at, end};
	db_group_plan_t plan = {
	    .name = "ledger", .databases_count = 3, .lag_ms = 5};
	int32_t i;
	fake_platform_t platform = {0};
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "fakesite");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	platform.server = soup_server_new(NULL, NULL);
	platform.store = object_store_new(platform.server);
	if (daemons_at->count > 0)
		object_store_daemons_at(platform.store, daemons_at->sval[0]);
	plan.first_port = (uint32_t)first_port->ival[0];
	if (count->count > 0)
		plan.databases_count = (uint32_t)count->ival[0];
	if (lag->count > 0)
		plan.lag_ms = (uint32_t)lag->ival[0];
	if (service->count > 0)
		plan.service_ms = (uint32_t)service->ival[0];
	platform.group = db_group_new(platform.store, &plan);
	if (second_port->count > 0) {
		plan.name = "archive";
		plan.first_number = plan.databases_count;
		plan.first_port = (uint32_t)second_port->ival[0];
		platform.second_group = db_group_new(platform.store, &plan);
	}
	add_handlers(&platform);
	if (!server_listen(platform.server, (uint16_t)port->ival[0]))
		return 1;
	for (i = 0; i < store_ports->count; i++) {
		if (!server_listen(
			platform.server, (uint16_t)store_ports->ival[i]))
			return 1;
		if (i < addresses->count)
			object_store_port_address(platform.store,
			    (uint16_t)store_ports->ival[i], addresses->sval[i]);
	}
	g_unix_signal_add(SIGTERM, on_sigterm, loop);
	g_main_loop_run(loop);
	return 0;
}
