#include "../platform/platform.h"
#include "../src/proxy/pool.h"
#include "cases.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Tests of connections to servers, with the test as the server.
 */

#define LIMIT_US (5 * US_PER_SECOND)

static const task_ops_t host_ops = {"host", NULL, NULL, NULL, 0};
static const task_ops_t idle_ops = {"pool", NULL, NULL, NULL, 0};

/*
 * Listen on a port that is not in use.
 */
static int
listen_anywhere(uint32_t *port)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(
	    bind(fd, (struct sockaddr *)&address, sizeof(address)), ==, 0);
	g_assert_cmpint(listen(fd, 4), ==, 0);
	g_assert_cmpint(
	    getsockname(fd, (struct sockaddr *)&address, &size), ==, 0);
	*port = ntohs(address.sin_port);
	return fd;
}

/*
 * Apply a catalog with one group of one server.  Returns the server.
 */
static server_t *
add_server(pool_t *pool, uint32_t port)
{
	Bp__Catalog catalog = BP__CATALOG__INIT;
	Bp__ServerGroup entry = BP__SERVER_GROUP__INIT, *entries = &entry;
	Bp__Server server = BP__SERVER__INIT, *servers = &server;
	const group_t *group;

	entry.name = "ledger";
	entry.connections_max = 8;
	server.id = "i-0";
	server.group = "ledger";
	server.address = "127.0.0.1";
	server.port = port;
	server.zone = "z";
	server.slots = 4;
	catalog.n_groups = catalog.n_servers = 1;
	catalog.groups = &entries;
	catalog.servers = &servers;
	catalog_apply(pool, &catalog);
	group = g_hash_table_lookup(pool->groups, "ledger");
	return group->servers[0];
}

typedef struct opened_case {
	const char *name;
	uint32_t answer_ms; /* time after which the server answers */
} opened_case_t;

static const opened_case_t opened_cases[] = {
    {"answered at once", 0},
    {"answered late", 200},
};

/*
 * Test that what a server knows is counted from the time at which it has
 * answered on the connection: until then it may have started since the
 * connection was begun.
 */
static void
test_opened(gconstpointer data)
{
	static const char ready[] = "READY I -\r\n";
	const opened_case_t *c = data;
	Bp__ProxyTimeouts timeouts = BP__PROXY_TIMEOUTS__INIT;
	Bp__ProxySettings settings = BP__PROXY_SETTINGS__INIT;
	proxy_t proxy = {.settings = &settings, .wire = &platform_wire};
	task_t *host = task_new(&host_ops, NULL);
	int64_t begun_us, answered_us;
	uint32_t port;
	int listener = listen_anywhere(&port), peer;
	server_t *server;
	dbconn_t *conn;
	pool_t *pool;

	settings.name = "this";
	settings.zone = "z";
	settings.timeouts = &timeouts;
	pool = pool_new(&proxy);
	pool->task = task_new_hosted(&idle_ops, pool, host);
	server = add_server(pool, port);
	begun_us = clock_us();
	conn = dbconn_open(server, true);
	g_assert_nonnull(conn);
	peer = accept(listener, NULL, NULL);
	g_assert_cmpint(peer, >=, 0);
	g_usleep(c->answer_ms * US_PER_MS);
	answered_us = clock_us();
	g_assert_cmpint(
	    write(peer, ready, strlen(ready)), ==, (ssize_t)strlen(ready));
	while (!conn->open && clock_us() - answered_us < LIMIT_US) {
		while (g_main_context_iteration(task_main_context(host), FALSE))
			;
		g_usleep(1000);
	}
	g_assert_true(conn->open);
	g_test_message(
	    "counted from %d ms after its begin, answered after %d ms",
	    (int)((server->control_us - begun_us) / US_PER_MS),
	    (int)((answered_us - begun_us) / US_PER_MS));
	g_assert_cmpint(server->control_us, >=, answered_us);
	close(peer);
	close(listener);
	task_free(pool->task);
	pool_free(pool);
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
	CASES("/dbconn/opened", opened_cases, test_opened);
	return g_test_run();
}
