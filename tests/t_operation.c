#include "../platform/platform.h"
#include "../src/proxy/pool.h"
#include "cases.h"

/*
 * Tests of statements of clients, without databases.
 */

/* Verdicts that the sender of the statement was told. */
static uint32_t answers;
static Bp__Verdict verdict;

/*
 * Note the end of a statement.
 */
static void
on_ended(void *context, msg_t *msg)
{
	(void)context;
	answers++;
	verdict = ((const Bp__OperationEnded *)msg->body)->verdict;
	msg_free(msg);
}

static const task_handler_t client_handlers[] = {
    {&bp__operation_ended__descriptor, on_ended},
};
static const task_ops_t host_ops = {"host", NULL, NULL, NULL, 0};
static const task_ops_t idle_ops = {"pool", NULL, NULL, NULL, 0};
static const task_ops_t client_ops = {
    "clients", NULL, NULL, client_handlers, G_N_ELEMENTS(client_handlers)};

typedef struct held_case {
	const char *name;
	bool lost; /* the connection of its transaction, while it is held */
	Bp__Verdict verdict;
} held_case_t;

static const held_case_t held_cases[] = {
    {"until its timeout", false, BP__VERDICT__IN_DOUBT},
    {"until its connection is lost", true, BP__VERDICT__ABORTED},
};

/*
 * Apply a catalog with one group of one server.  Returns the group.
 */
static group_t *
add_group(pool_t *pool)
{
	Bp__Catalog catalog = BP__CATALOG__INIT;
	Bp__ServerGroup entry = BP__SERVER_GROUP__INIT, *entries = &entry;
	Bp__Server server = BP__SERVER__INIT, *servers = &server;

	entry.name = "ledger";
	entry.connections_max = 8;
	server.id = "i-0";
	server.group = "ledger";
	server.address = "127.0.0.1";
	server.port = 1;
	server.zone = "z";
	server.slots = 4;
	catalog.n_groups = catalog.n_servers = 1;
	catalog.groups = &entries;
	catalog.servers = &servers;
	catalog_apply(pool, &catalog);
	return g_hash_table_lookup(pool->groups, "ledger");
}

/*
 * Create a read that has run in a transaction of a connection and is held.
 */
static void
hold_read(pool_t *pool, group_t *group, dbconn_t *conn, task_t *client)
{
	msg_t *msg = msg_new(&bp__run_operation__descriptor);
	Bp__RunOperation *run = (Bp__RunOperation *)msg->body;
	operation_t *operation = arena_zalloc(msg->arena, sizeof(*operation));
	transaction_t *transaction = g_new0(transaction_t, 1);

	run->id = arena_strdup(msg->arena, "q1");
	run->session = 1;
	run->kind = BP__OPERATION_KIND__READ_ITEM;
	run->in_transaction = 1;
	run->route =
	    (Bp__Route *)message_new(msg->arena, &bp__route__descriptor);
	run->route->database = arena_strdup(msg->arena, "intake");
	msg->from = client;
	*operation = (operation_t){.group = group,
	    .msg = msg,
	    .run = run,
	    .state = OPERATION_HELD,
	    .backlog = group->primary_backlog,
	    .transaction = transaction,
	    .server = conn->server,
	    .link = {.data = operation}};
	*transaction = (transaction_t){.pool = pool,
	    .session = 1,
	    .requester = client,
	    .group = group,
	    .conn = conn,
	    .operation = operation};
	conn->transaction = transaction;
	g_hash_table_insert(
	    pool->transactions, &transaction->session, transaction);
	g_queue_push_tail_link(&group->held, &operation->link);
}

/*
 * Test that a statement whose result is held ends once, and with it its
 * transaction.
 */
static void
test_held(gconstpointer data)
{
	const held_case_t *c = data;
	Bp__ProxyTimeouts timeouts = BP__PROXY_TIMEOUTS__INIT;
	Bp__ProxySettings settings = BP__PROXY_SETTINGS__INIT;
	task_t *host = task_new(&host_ops, NULL);
	task_t *client = task_new_hosted(&client_ops, NULL, host);
	proxy_t proxy = {.settings = &settings, .wire = &platform_wire};
	pool_t *pool;
	group_t *group;
	dbconn_t *conn;

	settings.name = "this";
	settings.zone = "z";
	settings.timeouts = &timeouts;
	pool = pool_new(&proxy);
	pool->task = task_new_hosted(&idle_ops, pool, host);
	group = add_group(pool);
	conn = dbconn_open(group->servers[0], false);
	answers = 0;
	hold_read(pool, group, conn, client);
	if (c->lost)
		dbconn_fail(conn, "Connection reset by peer");
	operations_expire(group, clock_us());
	while (g_main_context_iteration(task_main_context(host), FALSE))
		;
	g_assert_cmpuint(answers, ==, 1);
	g_assert_cmpint(verdict, ==, c->verdict);
	g_assert_cmpuint(g_hash_table_size(pool->transactions), ==, 0);
	g_assert_true(g_queue_is_empty(&group->held));
	task_free(pool->task);
	pool_free(pool);
	task_free(client);
	task_free(host);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	CASES("/operation/held", held_cases, test_held);
	return g_test_run();
}
