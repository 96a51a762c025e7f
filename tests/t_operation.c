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
 * Apply a catalog with one group of two servers.  Returns the group.
 */
static group_t *
add_group(pool_t *pool)
{
	Bp__Catalog catalog = BP__CATALOG__INIT;
	Bp__ServerGroup entry = BP__SERVER_GROUP__INIT, *entries = &entry;
	Bp__Server list[2], *servers[] = {&list[0], &list[1]};
	uint32_t i;

	entry.name = "ledger";
	entry.connections_max = 8;
	for (i = 0; i < G_N_ELEMENTS(list); i++) {
		bp__server__init(&list[i]);
		list[i].id = i == 0 ? "i-0" : "i-1";
		list[i].group = "ledger";
		list[i].address = "127.0.0.1";
		list[i].port = 1;
		list[i].zone = "z";
		list[i].slots = 4;
	}
	catalog.n_groups = 1;
	catalog.n_servers = G_N_ELEMENTS(list);
	catalog.groups = &entries;
	catalog.servers = servers;
	catalog_apply(pool, &catalog);
	return g_hash_table_lookup(pool->groups, "ledger");
}

/*
 * Create the message of a read for a client.
 */
static msg_t *
read_msg(task_t *client)
{
	msg_t *msg = msg_new(&bp__run_operation__descriptor);
	Bp__RunOperation *run = (Bp__RunOperation *)msg->body;

	run->id = arena_strdup(msg->arena, "q1");
	run->text = arena_strdup(msg->arena, "READ 1a4");
	run->session = 1;
	run->kind = BP__OPERATION_KIND__READ_ITEM;
	run->route =
	    (Bp__Route *)message_new(msg->arena, &bp__route__descriptor);
	run->route->database = arena_strdup(msg->arena, "intake");
	msg->from = client;
	return msg;
}

/*
 * Create the transaction of a statement on a connection.
 */
static void
begin_transaction(
    pool_t *pool, operation_t *operation, dbconn_t *conn, int64_t began_us)
{
	transaction_t *transaction = g_new0(transaction_t, 1);

	*transaction = (transaction_t){.pool = pool,
	    .session = 1,
	    .requester = operation->msg->from,
	    .group = operation->group,
	    .conn = conn,
	    .operation = operation,
	    .began_us = began_us};
	operation->transaction = conn->transaction = transaction;
	g_hash_table_insert(
	    pool->transactions, &transaction->session, transaction);
}

/*
 * Create a read that has run in a transaction of a connection and is held.
 */
static void
hold_read(pool_t *pool, group_t *group, dbconn_t *conn, task_t *client)
{
	msg_t *msg = read_msg(client);
	Bp__RunOperation *run = (Bp__RunOperation *)msg->body;
	operation_t *operation = arena_zalloc(msg->arena, sizeof(*operation));

	run->in_transaction = 1;
	*operation = (operation_t){.group = group,
	    .msg = msg,
	    .run = run,
	    .state = OPERATION_HELD,
	    .backlog = group->primary_backlog,
	    .server = conn->server,
	    .link = {.data = operation}};
	begin_transaction(pool, operation, conn, 0);
	g_queue_push_tail_link(&group->held, &operation->link);
}

/* What a test of statements uses. */
typedef struct bed {
	Bp__ProxyTimeouts timeouts;
	Bp__ProxySettings settings;
	proxy_t proxy;
	task_t *host;
	task_t *client;
	pool_t *pool;
	group_t *group;
} bed_t;

/*
 * Create a pool with one group.
 */
static void
bed_init(bed_t *bed)
{
	bp__proxy_timeouts__init(&bed->timeouts);
	bp__proxy_settings__init(&bed->settings);
	bed->settings.name = "this";
	bed->settings.zone = "z";
	bed->settings.timeouts = &bed->timeouts;
	bed->proxy =
	    (proxy_t){.settings = &bed->settings, .wire = &platform_wire};
	bed->host = task_new(&host_ops, NULL);
	bed->client = task_new_hosted(&client_ops, NULL, bed->host);
	bed->pool = pool_new(&bed->proxy);
	bed->pool->task = task_new_hosted(&idle_ops, bed->pool, bed->host);
	bed->group = add_group(bed->pool);
	answers = 0;
}

/*
 * Have the tasks handle their messages.
 */
static void
bed_run(bed_t *bed)
{
	while (g_main_context_iteration(task_main_context(bed->host), FALSE))
		;
}

/*
 * Free what bed_init() created.
 */
static void
bed_clear(bed_t *bed)
{
	task_free(bed->pool->task);
	pool_free(bed->pool);
	task_free(bed->client);
	task_free(bed->host);
}

/*
 * Test that a statement whose result is held ends once, and with it its
 * transaction.
 */
static void
test_held(gconstpointer data)
{
	const held_case_t *c = data;
	bed_t bed;
	dbconn_t *conn;

	bed_init(&bed);
	conn = dbconn_open(bed.group->servers[0], false);
	hold_read(bed.pool, bed.group, conn, bed.client);
	if (c->lost)
		dbconn_fail(conn, "Connection reset by peer");
	operations_expire(bed.group, clock_us());
	bed_run(&bed);
	g_assert_cmpuint(answers, ==, 1);
	g_assert_cmpint(verdict, ==, c->verdict);
	g_assert_cmpuint(g_hash_table_size(bed.pool->transactions), ==, 0);
	g_assert_true(g_queue_is_empty(&bed.group->held));
	bed_clear(&bed);
}

typedef struct answered_case {
	const char *name;
	position_t needed; /* position that it required; 0: none */
	int32_t primary;   /* known when the answer comes; -1: none */
	bool answered;     /* at once */
	bool queued;       /* again */
} answered_case_t;

static const answered_case_t answered_cases[] = {
    {"by the primary", {0, 0}, 0, true, false},
    {"by a replica", {3, 7}, 1, true, false},
    {"by a replica, and no primary is known", {3, 7}, -1, true, false},
    {"by a primary that was replaced", {0, 0}, 1, false, true},
    {"by a primary, and none is known any more", {0, 0}, -1, false, true},
};

/*
 * Have a primary be known, with a lease on it if it is the server with index 0.
 */
static void
set_primary(group_t *group, int32_t primary)
{
	int64_t now_us = clock_us();
	db_view_t view = {.known = true,
	    .primary = true,
	    .promised = 3,
	    .term = 3,
	    .last_entry = {3, 7},
	    .requested_us = now_us};

	if (primary < 0)
		return;
	failover_replace_view(
	    &group->failover, (uint32_t)primary, &view, now_us);
	if (primary != 0)
		return;
	group->lease.term = 3;
	group->lease.expires_us = now_us + US_PER_SECOND;
}

/*
 * Create a read that replicas may serve and that has run on a connection.
 */
static operation_t *
running_read(const bed_t *bed, dbconn_t *conn)
{
	msg_t *msg = read_msg(bed->client);
	Bp__RunOperation *run = (Bp__RunOperation *)msg->body;
	operation_t *operation = arena_zalloc(msg->arena, sizeof(*operation));

	run->route->freshness = BP__FRESHNESS__OWN_WRITES;
	*operation = (operation_t){.group = bed->group,
	    .msg = msg,
	    .run = run,
	    .state = OPERATION_SENT,
	    .backlog = bed->group->replica_backlog,
	    .server = conn->server,
	    .executed_position = {3, 7},
	    .arrived_us = clock_us(),
	    .deadline_us = clock_us() + US_PER_SECOND,
	    .link = {.data = operation}};
	operation->item.account = "u1";
	operation->item.owner = operation;
	return operation;
}

/*
 * Test that the result of a read that replicas may serve is passed on if the
 * server had to have applied a position or, if it was sent to the server as the
 * primary, if that server still is the primary.
 */
static void
test_answered(gconstpointer data)
{
	const answered_case_t *c = data;
	operation_t *operation;
	dbconn_t *conn;
	bed_t bed;

	bed_init(&bed);
	set_primary(bed.group, c->primary);
	conn = dbconn_open(bed.group->servers[0], false);
	conn->ack_token = g_strdup("proof");
	operation = running_read(&bed, conn);
	operation->needed = c->needed;
	operation_answered(operation, conn, clock_us());
	bed_run(&bed);
	g_assert_cmpuint(answers, ==, c->answered);
	g_assert_cmpuint(
	    rankq_count(bed.group->replica_backlog), ==, c->queued);
	if (answers == 0)
		operation_refuse(operation, "the test ends");
	bed_run(&bed);
	bed_clear(&bed);
}

typedef struct covered_case {
	const char *name;
	Bp__OperationKind kind;
	bool replicas; /* replicas may serve it */
	/* arrival of its transaction, relative to the end of the lease, if it
	   belongs to one: its own is later */
	bool in_transaction;
	int32_t began_ms;
	int32_t arrived_ms;  /* its arrival, the same */
	int32_t answered_ms; /* answer of the primary, the same */
	uint32_t tries;
	bool covered; /* expected: it is answered */
} covered_case_t;

static const covered_case_t covered_cases[] = {
    {"a read within the lease", BP__OPERATION_KIND__READ_ITEM, false, false, 0,
	-500, -400, 0, true},
    {"a read that arrives within the lease and runs after it",
	BP__OPERATION_KIND__READ_ITEM, false, false, 0, -20, 700, 0, true},
    {"a read that arrives within the lease and is retried at the same server",
	BP__OPERATION_KIND__READ_ITEM, false, false, 0, -20, 700, 1, true},
    {"a read that arrives after the lease", BP__OPERATION_KIND__READ_ITEM,
	false, false, 0, 20, 700, 0, false},
    {"a read that arrives after the lease and is retried at the same server",
	BP__OPERATION_KIND__READ_ITEM, false, false, 0, 20, 700, 1, false},
    {"a read that replicas may serve, within the lease",
	BP__OPERATION_KIND__READ_ITEM, true, false, 0, -20, 700, 0, true},
    {"a read that replicas may serve, after the lease",
	BP__OPERATION_KIND__READ_ITEM, true, false, 0, 20, 700, 0, false},
    {"a read of a transaction that begins within the lease",
	BP__OPERATION_KIND__READ_ITEM, false, true, -20, 300, 700, 0, true},
    {"a read of a transaction that begins after the lease",
	BP__OPERATION_KIND__READ_ITEM, false, true, 20, 300, 700, 0, false},
    {"a write that is answered within the lease",
	BP__OPERATION_KIND__WRITE_ITEM, false, false, 0, -500, -400, 0, true},
    {"a write that is answered after the lease", BP__OPERATION_KIND__WRITE_ITEM,
	false, false, 0, -20, 700, 0, false},
};

/*
 * Test which results of the primary the end of the lease covers.  Another
 * primary acknowledges nothing before that end, so the result of a read counts
 * if the read or its transaction arrived by then, whenever it runs; that of a
 * write, if it is answered by then.
 */
static void
test_covered(gconstpointer data)
{
	const covered_case_t *c = data;
	int64_t end_us = clock_us();
	Bp__RunOperation *run;
	operation_t *operation;
	dbconn_t *conn;
	bed_t bed;

	bed_init(&bed);
	set_primary(bed.group, 0);
	bed.group->lease.expires_us = end_us;
	conn = dbconn_open(bed.group->servers[0], false);
	conn->ack_token = g_strdup("proof");
	operation = running_read(&bed, conn);
	run = (Bp__RunOperation *)operation->msg->body;
	run->kind = c->kind;
	run->in_transaction = c->in_transaction;
	if (!c->replicas)
		operation->backlog = bed.group->primary_backlog;
	operation->arrived_us = end_us + c->arrived_ms * US_PER_MS;
	operation->tries = c->tries;
	if (c->in_transaction)
		begin_transaction(bed.pool, operation, conn,
		    end_us + c->began_ms * US_PER_MS);
	operation_answered(
	    operation, conn, end_us + c->answered_ms * US_PER_MS);
	g_assert_cmpuint(g_queue_get_length(&bed.group->held), ==, !c->covered);
	if (!g_queue_is_empty(&bed.group->held))
		operation_refuse(operation, "the test ends");
	bed_run(&bed);
	g_assert_cmpuint(answers, ==, 1);
	g_assert_cmpint(verdict, ==,
	    c->covered ? BP__VERDICT__SUCCEEDED : BP__VERDICT__BUSY);
	bed_clear(&bed);
}

typedef struct sent_case {
	const char *name;
	bool replicas;  /* replicas may serve it, but none is known to be recent
			 */
	int32_t now_ms; /* time of the look at the lease, relative to its end */
	bool sent;
} sent_case_t;

static const sent_case_t sent_cases[] = {
    {"within the lease", false, -1, true},
    {"at the end of the lease", false, 0, false},
    {"after the lease", false, 1, false},
    {"within the lease, and replicas may serve it", true, -1, true},
    {"at the end of the lease, and replicas may serve it", true, 0, false},
    {"after the lease, and replicas may serve it", true, 1, false},
};

/*
 * Test that a queued read is sent to the primary within the lease only, so that
 * also one whose result is given up lacks nothing that was acknowledged before
 * it arrived.
 */
static void
test_sent(gconstpointer data)
{
	const sent_case_t *c = data;
	operation_t *operation;
	server_t *server;
	dbconn_t *conn;
	bed_t bed;

	bed_init(&bed);
	set_primary(bed.group, 0);
	bed.group->lease.expires_us = clock_us();
	server = bed.group->servers[0];
	conn = dbconn_open(server, true);
	conn->open = true;
	server->outstanding -= conn->expected->len;
	g_array_set_size(conn->expected, 0);
	operation = running_read(&bed, conn);
	if (!c->replicas)
		operation->run->route->freshness = BP__FRESHNESS__NEWEST;
	operation_queue(operation, false);
	dispatch(
	    bed.group, bed.group->lease.expires_us + c->now_ms * US_PER_MS);
	g_assert_cmpint(
	    operation->state, ==, c->sent ? OPERATION_SENT : OPERATION_QUEUED);
	if (operation->state == OPERATION_SENT)
		dbconn_abandon(conn);
	operation_refuse(operation, "the test ends");
	bed_run(&bed);
	bed_clear(&bed);
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
	CASES("/operation/answered", answered_cases, test_answered);
	CASES("/operation/covered", covered_cases, test_covered);
	CASES("/operation/sent", sent_cases, test_sent);
	return g_test_run();
}
