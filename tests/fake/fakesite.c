#include "fakesite.h"

#include <argtable2.h>
#include <glib-unix.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/*
 * Stand-in for the users' platform, one process.
 *
 * /objects/KIND[/NAME]     the store
 * POST /promote            the order to promote
 * POST /fault?on=store&what=W, POST /fault?on=database&what=W&number=N
 * POST /put?kind=K&name=N  an object of another writer, as it comes
 * GET /value?item=I        what the primary holds
 */

typedef struct site {
	SoupServer *server;
	store_state_t *store;
	group_state_t *group;
	uint64_t token;    /* the highest seen */
	char *holder;      /* that had it */
	uint32_t unfenced; /* orders with a token that was not theirs */
} site_t;

/*
 * The text of a field in a body, up to the next quote; to be freed.
 */
static char *
text_field(const char *body, const char *name)
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
 * The body of a request; to be freed.
 */
static char *
body_of(SoupServerMessage *message)
{
	GBytes *bytes = soup_message_body_flatten(
	    soup_server_message_get_request_body(message));
	char *text =
	    g_strndup(g_bytes_get_data(bytes, NULL), g_bytes_get_size(bytes));

	g_bytes_unref(bytes);
	return text;
}

/*
 * Count an order whose token is lower than one seen, or another holder's.
 */
static void
check_token(site_t *site, SoupServerMessage *message)
{
	SoupMessageHeaders *headers =
	    soup_server_message_get_request_headers(message);
	const char *holder =
	    soup_message_headers_get_one(headers, "Bergamotplank-Lease-Holder");
	const char *number = soup_message_headers_get_one(
	    headers, "Bergamotplank-Fencing-Token");
	uint64_t token = number == NULL ? 0 : strtoull(number, NULL, 10);

	if (holder == NULL || token < site->token ||
	    (token == site->token && g_strcmp0(holder, site->holder) != 0))
		site->unfenced++;
	site->token = MAX(site->token, token);
	g_free(site->holder);
	site->holder = g_strdup(holder);
}

/*
 * The order to promote.
 */
static void
on_promote(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer context)
{
	site_t *site = context;
	char *body = body_of(message), *id = text_field(body, "id");

	(void)server;
	(void)path;
	(void)query;
	check_token(site, message);
	soup_server_message_set_status(message,
	    id != NULL && group_state_promote(site->group, id) ? 200 : 409,
	    NULL);
	g_free(id);
	g_free(body);
}

/*
 * A test puts a fault into force.
 */
static void
on_fault(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer context)
{
	site_t *site = context;
	const char *on = g_hash_table_lookup(query, "on");
	const char *what = g_hash_table_lookup(query, "what");
	const char *number = g_hash_table_lookup(query, "number");
	bool known = true;

	(void)server;
	(void)path;
	if (strcmp(on, "store") == 0)
		store_fault(site->store, what);
	else
		known = group_state_fault(site->group, what,
		    number == NULL ? UINT32_MAX : (uint32_t)atoi(number));
	soup_server_message_set_status(message, known ? 200 : 400, NULL);
}

/*
 * A test writes an object.
 */
static void
on_put(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer context)
{
	site_t *site = context;
	char *body = body_of(message);

	(void)server;
	(void)path;
	store_put(site->store, g_hash_table_lookup(query, "kind"),
	    g_hash_table_lookup(query, "name"), body);
	g_free(body);
	soup_server_message_set_status(message, 200, NULL);
}

/*
 * A test looks: the value of an item, and the orders that were not fenced.
 */
static void
on_value(SoupServer *server, SoupServerMessage *message, const char *path,
    GHashTable *query, gpointer context)
{
	site_t *site = context;
	char *value =
	    group_state_value(site->group, g_hash_table_lookup(query, "item"));
	char *text = g_strdup_printf(
	    "%u %s", site->unfenced, value == NULL ? "none" : value);

	(void)server;
	(void)path;
	soup_server_message_set_status(message, 200, NULL);
	soup_server_message_set_response(
	    message, "text/plain", SOUP_MEMORY_TAKE, text, strlen(text));
	g_free(value);
}

/*
 * The signal to end.
 */
static gboolean
on_term(gpointer loop)
{
	g_main_loop_quit(loop);
	return G_SOURCE_CONTINUE;
}

/*
 * Serve until told to end.
 */
int
main(int argc, char **argv)
{
	struct arg_int *port = arg_int1(NULL, "port", "N", "of the store");
	struct arg_int *first =
	    arg_int1(NULL, "databases", "N", "first port of the databases");
	struct arg_int *lag = arg_int0(NULL, "lag-ms", "N", "of replicas");
	struct arg_int *work = arg_int0(NULL, "work-ms", "N", "of an answer");
	struct arg_end *end = arg_end(4);
	void *table[] = {port, first, lag, work, end};
	site_t site = {0};
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "fakesite");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	site.server = soup_server_new(NULL, NULL);
	site.store = store_new(site.server);
	site.group =
	    group_state_new(site.store, "ledger", (uint32_t)first->ival[0], 3,
		lag->count > 0 ? (uint32_t)lag->ival[0] : 5,
		work->count > 0 ? (uint32_t)work->ival[0] : 0);
	soup_server_add_handler(
	    site.server, "/promote", on_promote, &site, NULL);
	soup_server_add_handler(site.server, "/fault", on_fault, &site, NULL);
	soup_server_add_handler(site.server, "/put", on_put, &site, NULL);
	soup_server_add_handler(site.server, "/value", on_value, &site, NULL);
	if (!soup_server_listen_local(
		site.server, (guint)port->ival[0], 0, NULL))
		return 1;
	g_unix_signal_add(SIGTERM, on_term, loop);
	g_main_loop_run(loop);
	return 0;
}
