#include "testbed.h"

#include <errno.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READY_POLL_US 20000

/* Time limit for the start of a proxy that others wait for. */
#define START_TIMEOUT_MS 10000

/* Time limit for an answer that a test expects. */
#define EXPECT_TIMEOUT_MS 5000

/* Time in which a write is answered. */
#define WRITE_TIMEOUT_MS 5000

/* Time limit for a configuration to be in force at a proxy. */
#define CONFIGURED_TIMEOUT_MS 5000

/* Default number of databases; they listen on consecutive ports. */
#define DATABASES 3
#define LINE_MAX_BYTES (UINT64_C(2) << 20)

/*
 * A route of the configuration: a database name and its JSON up to the name of
 * the group.  The three routes differ in the freshness that reads need.
 */
typedef struct route {
	const char *database;
	const char *json;
} route_t;

static const route_t routes[] = {
    {"intake",
	"{\"name\":\"r1\",\"host\":\"intake\",\"type\":\"primary\","
	"\"timeout-ms\":1000,\"target-latency-ms\":400,\"priority\":0,"
	"\"backend\":"},
    {"quotes",
	"{\"name\":\"r2\",\"host\":\"quotes\",\"type\":\"own\","
	"\"timeout-ms\":1000,\"target-latency-ms\":400,\"priority\":1,"
	"\"max-staleness-ms\":2500,\"backend\":"},
    {"lookup",
	"{\"name\":\"r3\",\"host\":\"lookup\",\"type\":\"bounded\","
	"\"timeout-ms\":1000,\"target-latency-ms\":400,\"priority\":2,"
	"\"max-staleness-ms\":1500,\"backend\":"},
};

/* Names of the groups. */
#define FIRST_GROUP "ledger"
#define SECOND_GROUP "archive"
/* Address of the relays to the ports that the proxies have for each other. */
#define PEER_RELAY_ADDRESS "127.0.0.2"
/* Address of the relays that a proxy has of its own. */
#define OWN_RELAYS_ADDRESS "127.0.0.%u"
#define OWN_RELAYS_FIRST 10

#define CONNECTIONS_MAX_DEFAULT 40
#define TRANSACTION_IDLE_MS 700

struct client {
	int fd;
	GString *input;
	uint64_t consumed_bytes;
	uint64_t last_query_id;
};

/*
 * Return the URL of a path on the fake platform.
 */
static char *
platform_url(const testbed_t *testbed, const char *path)
{
	return g_strdup_printf(
	    "http://127.0.0.1:%u%s", testbed->platform.port, path);
}

/*
 * Inject a fault into the store or a database.  A number of -1 means the
 * primary.
 */
void
testbed_inject_fault(
    testbed_t *testbed, const char *target, const char *fault, int32_t database)
{
	char *path = database < 0
	    ? g_strdup_printf("/fault?on=%s&what=%s", target, fault)
	    : g_strdup_printf(
		  "/fault?on=%s&what=%s&number=%d", target, fault, database);
	char *url = platform_url(testbed, path);

	g_assert_cmpuint(http_call("POST", url, "", NULL), ==, 200);
	g_free(url);
	g_free(path);
}

/*
 * Inject a fault into the way of a proxy to the store: silent, refused, cut or
 * reset.  up ends it.
 */
void
testbed_store_fault(testbed_t *testbed, uint32_t proxy, const char *fault)
{
	g_assert_true(testbed->plan.store_ports);
	testbed_inject_fault(testbed, "store-port", fault,
	    (int32_t)(testbed->first_store_port + proxy));
}

/*
 * Cut a proxy off from the store and the other proxies, or end that.  What is
 * sent between them is lost.
 */
void
testbed_cut_off(testbed_t *testbed, uint32_t proxy, bool cut)
{
	uint32_t i;

	g_assert_true(testbed->plan.own_relays);
	testbed_store_fault(testbed, proxy, cut ? "silent" : "up");
	for (i = 0; i < testbed->plan.proxies; i++) {
		if (i == proxy)
			continue;
		relay_cut(testbed->own_peer_relays[i][proxy], cut);
		relay_cut(testbed->own_peer_relays[proxy][i], cut);
	}
}

/*
 * Refuse the connections of a proxy to a database, or end that.
 */
void
testbed_refuse(
    testbed_t *testbed, uint32_t proxy, uint32_t database, bool refuses)
{
	g_assert_true(testbed->plan.own_relays);
	relay_refuse(testbed->database_relays[proxy][database], refuses);
}

/*
 * Reset the connections of a proxy to a database, or end that.
 */
void
testbed_reset(
    testbed_t *testbed, uint32_t proxy, uint32_t database, bool resets)
{
	g_assert_true(testbed->plan.own_relays);
	relay_reset(testbed->database_relays[proxy][database], resets);
}

/*
 * Refuse the connections of a proxy to another one, or end that.
 */
void
testbed_refuse_daemon(
    testbed_t *testbed, uint32_t proxy, uint32_t other, bool refuses)
{
	g_assert_true(testbed->plan.own_relays);
	relay_refuse(testbed->own_peer_relays[proxy][other], refuses);
}

/*
 * Reset the connections of a proxy to another one, or end that.
 */
void
testbed_reset_daemon(
    testbed_t *testbed, uint32_t proxy, uint32_t other, bool resets)
{
	g_assert_true(testbed->plan.own_relays);
	relay_reset(testbed->own_peer_relays[proxy][other], resets);
}

/*
 * Write an object into the store without a revision check.
 */
void
testbed_put_object(
    testbed_t *testbed, const char *kind, const char *name, const char *content)
{
	char *escaped = g_uri_escape_string(name, NULL, FALSE);
	char *path = g_strdup_printf("/put?kind=%s&name=%s", kind, escaped);
	char *url = platform_url(testbed, path);

	g_assert_cmpuint(http_call("POST", url, content, NULL), ==, 200);
	g_free(url);
	g_free(path);
	g_free(escaped);
}

/*
 * Write a version of the configuration that omits one database name, and has
 * another one lead to the second group; NULL: none.
 */
static void
configure(testbed_t *testbed, uint32_t version, const char *omitted_database,
    const char *moved_database)
{
	const testbed_plan_t *plan = &testbed->plan;
	uint32_t i, n = 0,
		    connections_max = plan->connections_max == 0
	    ? CONNECTIONS_MAX_DEFAULT
	    : plan->connections_max;
	GString *text = g_string_new(NULL);

	g_string_printf(text, "{\"version\":%u,\"routes\":[", version);
	for (i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (g_strcmp0(routes[i].database, omitted_database) == 0)
			continue;
		g_string_append_printf(text, "%s%s\"%s\"}", n++ > 0 ? "," : "",
		    routes[i].json,
		    g_strcmp0(routes[i].database, moved_database) == 0
			? SECOND_GROUP
			: FIRST_GROUP);
	}
	g_string_append(text, "],\"services\":[");
	for (i = 0; i < (plan->second_group ? 2 : 1); i++)
		g_string_append_printf(text,
		    "%s{\"name\":\"%s\",\"max-conns\":%u,\"sync-replicas\":0}",
		    i > 0 ? "," : "", i > 0 ? SECOND_GROUP : FIRST_GROUP,
		    connections_max);
	g_string_append_printf(text, "],\"limits\":{\"tx-idle-ms\":%u}}",
	    plan->transaction_idle_ms == 0 ? TRANSACTION_IDLE_MS
					   : plan->transaction_idle_ms);
	testbed_put_object(testbed, "config", "main", text->str);
	g_string_free(text, TRUE);
}

/*
 * Write a version of the configuration that omits one database name, or none
 * if NULL.
 */
void
testbed_configure(
    testbed_t *testbed, uint32_t version, const char *omitted_database)
{
	configure(testbed, version, omitted_database, NULL);
}

/*
 * Write a version of the configuration in which a database name leads to the
 * second group, or none if NULL, and wait until a proxy has it in force.
 */
void
testbed_move_route(testbed_t *testbed, uint32_t version,
    const char *moved_database, uint32_t proxy)
{
	int64_t deadline_us =
	    g_get_monotonic_time() + CONFIGURED_TIMEOUT_MS * US_PER_MS;

	configure(testbed, version, NULL, moved_database);
	while (
	    testbed_metric(testbed, proxy, "configuration_version") < version) {
		g_assert_cmpint(g_get_monotonic_time(), <, deadline_us);
		g_usleep(READY_POLL_US);
	}
}

/*
 * Return the value of an item at the primary, to be freed by the caller, and
 * the number of promotion requests with an invalid fencing token.
 */
char *
testbed_item_value(
    testbed_t *testbed, const char *item, uint32_t *invalid_token_requests)
{
	char *path = g_strdup_printf("/value?item=%s", item);
	char *url = platform_url(testbed, path), *answer, *separator, *value;

	g_assert_cmpuint(http_call("GET", url, NULL, &answer), ==, 200);
	separator = strchr(answer, ' ');
	if (invalid_token_requests != NULL)
		*invalid_token_requests =
		    (uint32_t)g_ascii_strtoull(answer, NULL, 10);
	value = g_strdup(separator + 1);
	g_free(answer);
	g_free(url);
	g_free(path);
	return value;
}

/*
 * Return the log of a proxy, to be freed by the caller.
 */
char *
testbed_read_log(const testbed_t *testbed, uint32_t proxy)
{
	char *path =
	    g_strdup_printf("%s/proxy-%u.log", testbed->work_dir, proxy);
	char *log;

	g_assert_true(g_file_get_contents(path, &log, NULL, NULL));
	g_free(path);
	return log;
}

/*
 * Return the body of a GET request to the platform, to be freed by the caller.
 */
char *
testbed_get(const testbed_t *testbed, const char *path)
{
	char *url = platform_url(testbed, path), *answer = NULL;

	g_assert_cmpuint(http_call("GET", url, NULL, &answer), ==, 200);
	g_free(url);
	return answer;
}

/*
 * Start or restart a proxy.
 */
void
testbed_proxy_start(testbed_t *testbed, uint32_t i)
{
	fleet_process_t *proxy = &testbed->proxies[i];
	char *path = fleet_program_path("bergamotplank");
	const char *argv[] = {path, "proxy", "-f", proxy->settings_path, NULL};

	fleet_process_spawn(testbed->work_dir, proxy, argv);
	g_free(path);
}

/*
 * Start the relays of a proxy, and return the port by which it reaches the
 * store.
 */
static uint32_t
start_relays(testbed_t *testbed, uint32_t i)
{
	uint16_t peer_port = (uint16_t)testbed->proxies[i].peer_port,
		 store_port = (uint16_t)fleet_unused_port();

	testbed->peer_relays[i] =
	    relay_start(PEER_RELAY_ADDRESS, peer_port, peer_port);
	testbed->store_relays[i] = relay_start(
	    "127.0.0.1", store_port, (uint16_t)testbed->platform.port);
	return store_port;
}

/*
 * Assign the ports of a proxy and write its settings file.
 */
static void
write_proxy_settings(testbed_t *testbed, uint32_t i)
{
	fleet_process_t *proxy = &testbed->proxies[i];
	uint32_t store_port = testbed->plan.store_ports
	    ? testbed->first_store_port + i
	    : testbed->platform.port;
	char *settings, *apply_setting, *drain_setting;

	proxy->name = g_strdup_printf("proxy-%u", i);
	proxy->port = fleet_unused_port();
	/* the port for the health checks of the load balancer */
	proxy->operator_port = fleet_unused_port();
	proxy->peer_port = fleet_unused_port();
	proxy->metrics_port = fleet_unused_port();
	if (testbed->plan.relays)
		store_port = start_relays(testbed, i);
	apply_setting = testbed->plan.config_apply_ms == 0
	    ? g_strdup("")
	    : g_strdup_printf(
		  ",\"config_apply_ms\":%u", testbed->plan.config_apply_ms);
	drain_setting = testbed->plan.drain_ms == 0
	    ? g_strdup("")
	    : g_strdup_printf(",\"drain_ms\":%u,\"servers_watch_ms\":%u",
		  testbed->plan.drain_ms, testbed->plan.drain_ms / 4);
	settings = g_strdup_printf(
	    "{\"name\":\"%s\",\"zone\":\"z\","
	    "\"client_address\":\"127.0.0.1:%u\","
	    "\"ready_address\":\"127.0.0.1:%u\","
	    "\"peer_address\":\"127.0.0.1:%u\","
	    "\"metrics_address\":\"127.0.0.1:%u\","
	    "\"store_address\":\"127.0.0.1:%u\","
	    "\"promotion_address\":\"127.0.0.1:%u\",\"grace_s\":%g,"
	    "\"timeouts\":{\"store_ms\":500%s%s}}",
	    proxy->name, proxy->port, proxy->operator_port, proxy->peer_port,
	    proxy->metrics_port, store_port, testbed->platform.port,
	    testbed->plan.grace_s == 0 ? 6 : testbed->plan.grace_s,
	    apply_setting, drain_setting);
	g_free(apply_setting);
	g_free(drain_setting);
	proxy->settings_path =
	    g_strdup_printf("%s/%s.json", testbed->work_dir, proxy->name);
	g_assert_true(
	    g_file_set_contents(proxy->settings_path, settings, -1, NULL));
	g_free(settings);
}

/*
 * Append an option with a number to the arguments of a program.
 */
static void
append_option(GPtrArray *argv, const char *option, uint32_t value)
{
	g_ptr_array_add(argv, g_strdup(option));
	g_ptr_array_add(argv, g_strdup_printf("%u", value));
}

/*
 * Return the number of databases of a group.
 */
static uint32_t
testbed_databases(const testbed_t *testbed)
{
	return testbed->plan.databases == 0 ? DATABASES
					    : testbed->plan.databases;
}

/*
 * Return the address of the relays that a proxy has of its own, to be freed by
 * the caller.
 */
static char *
own_relays_address(uint32_t proxy)
{
	return g_strdup_printf(OWN_RELAYS_ADDRESS, OWN_RELAYS_FIRST + proxy);
}

/*
 * Start the relays that a proxy has of its own.
 */
static void
start_own_relays(testbed_t *testbed, uint32_t proxy)
{
	char *address = own_relays_address(proxy);
	uint32_t i;

	for (i = 0; i < testbed_databases(testbed); i++) {
		uint16_t port = (uint16_t)(testbed->first_database_port + i);

		testbed->database_relays[proxy][i] =
		    relay_start(address, port, port);
	}
	for (i = 0; i < testbed->plan.proxies; i++) {
		uint16_t port = (uint16_t)testbed->proxies[i].peer_port;

		if (i != proxy)
			testbed->own_peer_relays[proxy][i] =
			    relay_start(address, port, port);
	}
	g_free(address);
}

/*
 * Stop the relays of a proxy.
 */
static void
stop_relays(testbed_t *testbed, uint32_t proxy)
{
	uint32_t i;

	relay_stop(testbed->peer_relays[proxy]);
	relay_stop(testbed->store_relays[proxy]);
	for (i = 0; i < TESTBED_DATABASES_MAX; i++)
		relay_stop(testbed->database_relays[proxy][i]);
	for (i = 0; i < TESTBED_PROXIES_MAX; i++)
		relay_stop(testbed->own_peer_relays[proxy][i]);
}

/*
 * Spawn the fake platform.
 */
static void
spawn_platform(testbed_t *testbed)
{
	const testbed_plan_t *plan = &testbed->plan;
	GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
	uint32_t i;

	g_ptr_array_add(argv, fleet_program_path("fakesite"));
	append_option(argv, "--port", testbed->platform.port);
	append_option(argv, "--databases", testbed->first_database_port);
	append_option(argv, "--lag-ms", plan->lag_ms);
	append_option(argv, "--work-ms", plan->service_time_ms);
	append_option(argv, "--count", testbed_databases(testbed));
	if (plan->second_group)
		append_option(argv, "--second-databases",
		    testbed->first_database_port + testbed_databases(testbed));
	if (plan->relays) {
		g_ptr_array_add(argv, g_strdup("--daemons-at"));
		g_ptr_array_add(argv, g_strdup(PEER_RELAY_ADDRESS));
	}
	for (i = 0; plan->store_ports && i < plan->proxies; i++)
		append_option(
		    argv, "--store-port", testbed->first_store_port + i);
	for (i = 0; plan->own_relays && i < plan->proxies; i++) {
		g_ptr_array_add(argv, g_strdup("--address-at-port"));
		g_ptr_array_add(argv, own_relays_address(i));
	}
	g_ptr_array_add(argv, NULL);
	fleet_process_spawn(testbed->work_dir, &testbed->platform,
	    (const char *const *)argv->pdata);
	g_ptr_array_unref(argv);
}

/*
 * Start the fake platform, wait until it answers, and write the
 * configuration.
 */
static void
start_platform(testbed_t *testbed)
{
	uint32_t attempts;
	char *url;

	testbed->platform.port = fleet_unused_port();
	testbed->platform.name = g_strdup("platform");
	testbed->first_database_port = fleet_unused_ports(
	    testbed_databases(testbed) * (testbed->plan.second_group ? 2 : 1));
	if (testbed->plan.store_ports)
		testbed->first_store_port =
		    fleet_unused_ports(testbed->plan.proxies);
	spawn_platform(testbed);
	url = platform_url(testbed, "/value?item=x");
	for (attempts = 0;
	     attempts < 500 && http_call("GET", url, NULL, NULL) == 0;
	     attempts++)
		g_usleep(READY_POLL_US);
	testbed_configure(testbed, 1, NULL);
	g_free(url);
}

/*
 * Wait until a proxy reports that it accepts new clients.  Returns false after
 * the deadline.
 */
static bool
proxy_wait_ready(const testbed_t *testbed, uint32_t i, int64_t deadline_us)
{
	char *url = g_strdup_printf(
	    "http://127.0.0.1:%u/ready", testbed->proxies[i].operator_port);
	bool ready;

	while (!(ready = http_call("GET", url, NULL, NULL) == 200) &&
	    g_get_monotonic_time() < deadline_us)
		g_usleep(READY_POLL_US);
	g_free(url);
	return ready;
}

/*
 * Start a proxy, and wait until it is the coordinator.
 */
static void
start_coordinator(testbed_t *testbed, uint32_t i)
{
	int64_t deadline_us =
	    g_get_monotonic_time() + START_TIMEOUT_MS * US_PER_MS;

	testbed_proxy_start(testbed, i);
	g_assert_true(proxy_wait_ready(testbed, i, deadline_us));
	while (testbed_metric(testbed, i, "duty_token") == 0) {
		g_assert_cmpint(g_get_monotonic_time(), <, deadline_us);
		g_usleep(READY_POLL_US);
	}
}

/*
 * Start the proxies.
 */
static void
start_proxies(testbed_t *testbed)
{
	uint32_t i, count = testbed->plan.proxies;

	for (i = 0; i < count; i++)
		write_proxy_settings(testbed, i);
	for (i = 0; testbed->plan.own_relays && i < count; i++)
		start_own_relays(testbed, i);
	if (testbed->plan.last_coordinates)
		start_coordinator(testbed, --count);
	if (testbed->plan.platform_paused_ms > 0)
		fleet_process_signal(&testbed->platform, SIGSTOP);
	for (i = 0; i < count; i++)
		testbed_proxy_start(testbed, i);
	if (testbed->plan.platform_paused_ms > 0) {
		g_usleep(testbed->plan.platform_paused_ms * US_PER_MS);
		fleet_process_signal(&testbed->platform, SIGCONT);
	}
}

/*
 * Start the fake platform and the proxies.
 */
testbed_t *
testbed_start(const testbed_plan_t *plan)
{
	testbed_t *testbed = g_new0(testbed_t, 1);

	testbed->plan = *plan;
	testbed->work_dir = g_dir_make_tmp("bergamotplank-site-XXXXXX", NULL);
	start_platform(testbed);
	start_proxies(testbed);
	return testbed;
}

/*
 * Return a number that the fake platform has under a path.
 */
static uint32_t
platform_number(testbed_t *testbed, const char *path)
{
	char *url = platform_url(testbed, path), *answer;
	uint32_t count;

	g_assert_cmpuint(http_call("GET", url, NULL, &answer), ==, 200);
	count = (uint32_t)g_ascii_strtoull(answer, NULL, 10);
	g_free(answer);
	g_free(url);
	return count;
}

/*
 * Return the number of watch requests that the store has received.
 */
uint32_t
testbed_watch_requests(testbed_t *testbed)
{
	return platform_number(testbed, "/watches");
}

/*
 * Return the number of all requests that the store has received.
 */
uint32_t
testbed_store_requests(testbed_t *testbed)
{
	return platform_number(testbed, "/requests");
}

/*
 * Return the value of a counter on the metrics page of a proxy.
 */
uint64_t
testbed_metric(const testbed_t *testbed, uint32_t proxy, const char *name)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u/metrics",
		 testbed->proxies[proxy].metrics_port),
	     *key = g_strdup_printf("\nbergamotplank_%s ", name), *body = NULL;
	const char *line;
	uint64_t value;

	g_assert_cmpuint(http_call("GET", url, NULL, &body), ==, 200);
	line = strstr(body, key);
	g_assert_nonnull(line);
	value = g_ascii_strtoull(line + strlen(key), NULL, 10);
	g_free(body);
	g_free(key);
	g_free(url);
	return value;
}

/*
 * Wait until every proxy reports that it accepts new clients.  Returns false
 * after the timeout.
 */
bool
testbed_wait_ready(testbed_t *testbed, uint32_t timeout_ms)
{
	int64_t deadline_us =
	    g_get_monotonic_time() + (int64_t)timeout_ms * US_PER_MS;
	bool ready = true;
	uint32_t i;

	for (i = 0; ready && i < testbed->plan.proxies; i++)
		ready = proxy_wait_ready(testbed, i, deadline_us);
	return ready;
}

/*
 * Stop all processes, remove their files and free the testbed.
 */
void
testbed_stop(testbed_t *testbed)
{
	uint32_t i;

	for (i = 0; i < testbed->plan.proxies; i++)
		fleet_process_kill(&testbed->proxies[i]);
	fleet_process_kill(&testbed->platform);
	for (i = 0; i < testbed->plan.proxies; i++)
		stop_relays(testbed, i);
	fleet_work_dir_remove(testbed->work_dir);
	g_free(testbed->work_dir);
	g_free(testbed);
}

/*
 * Connect to a port.  Returns NULL if nothing listens there.
 */
client_t *
client_connect(uint32_t port)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;
	client_t *client;

	address.sin_port = htons((uint16_t)port);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0) {
		close(fd);
		return NULL;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	client = g_new0(client_t, 1);
	client->fd = fd;
	client->input = g_string_new(NULL);
	return client;
}

/*
 * Connect to a proxy and open a session on a database, or no session if the
 * name is empty.  Returns NULL on failure.
 */
client_t *
client_open_session(testbed_t *testbed, uint32_t proxy, const char *database)
{
	client_t *client = client_connect(testbed->proxies[proxy].port);
	char *line;

	if (client == NULL || database[0] == '\0')
		return client;
	line = g_strdup_printf("START %s u1\r\n", database);
	client_send(client, line, strlen(line));
	g_free(line);
	line = client_read_line(client, 3000);
	if (line == NULL || !g_str_has_prefix(line, "READY")) {
		g_free(line);
		client_close(client);
		return NULL;
	}
	g_free(line);
	return client;
}

/*
 * Close the connection and free the client.  NULL is ignored.
 */
void
client_close(client_t *client)
{
	if (client == NULL)
		return;
	close(client->fd);
	g_string_free(client->input, TRUE);
	g_free(client);
}

/*
 * Send bytes as they are.  Returns false if the connection is broken.
 */
bool
client_send(client_t *client, const char *bytes, uint64_t size_bytes)
{
	while (size_bytes > 0) {
		ssize_t n = send(client->fd, bytes, size_bytes, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		bytes += n;
		size_bytes -= (uint64_t)n;
	}
	return true;
}

/*
 * Return the next line without its CRLF, to be freed by the caller, or NULL
 * if the connection has closed or the timeout has passed.
 */
char *
client_read_line(client_t *client, uint32_t timeout_ms)
{
	int64_t deadline_us =
	    g_get_monotonic_time() + (int64_t)timeout_ms * US_PER_MS;
	char buffer[4096];

	for (;;) {
		char *end = strstr(client->input->str, "\r\n");
		int64_t remaining_us = deadline_us - g_get_monotonic_time();
		struct pollfd poll_fd = {client->fd, POLLIN, 0};
		ssize_t n;

		if (end != NULL) {
			char *line = g_strndup(client->input->str,
			    (gsize)(end - client->input->str));

			g_string_erase(client->input, 0,
			    (gssize)(end + 2 - client->input->str));
			return line;
		}
		if (remaining_us <= 0 ||
		    poll(&poll_fd, 1, (int)(remaining_us / US_PER_MS) + 1) <= 0)
			return NULL;
		n = recv(client->fd, buffer, sizeof(buffer), 0);
		if (n <= 0)
			return NULL;
		g_string_append_len(client->input, buffer, n);
	}
}

/*
 * Return the lines of the next answer up to READY, joined by "|", to be freed
 * by the caller, or NULL if the connection has closed or the timeout has
 * passed.
 */
char *
client_read_answer(client_t *client, uint32_t timeout_ms)
{
	GString *answer = g_string_new(NULL);
	bool complete = false;
	char *line;

	while (!complete &&
	    (line = client_read_line(client, timeout_ms)) != NULL) {
		complete = g_str_has_prefix(line, "READY");
		if (answer->len > 0)
			g_string_append_c(answer, '|');
		g_string_append(answer, line);
		g_free(line);
	}
	return g_string_free(answer, !complete);
}

/*
 * Send a statement without waiting for its answer.  Returns false if the
 * connection is broken.
 */
bool
client_send_query(client_t *client, const char *text)
{
	char *line = g_strdup_printf("QUERY q%" G_GUINT64_FORMAT " %s\r\n",
	    ++client->last_query_id, text);
	bool sent = client_send(client, line, strlen(line));

	g_free(line);
	return sent;
}

/*
 * Run a statement.  Returns its answer as client_read_answer() does.
 */
char *
client_query(client_t *client, const char *text, uint32_t timeout_ms)
{
	return client_send_query(client, text)
	    ? client_read_answer(client, timeout_ms)
	    : NULL;
}

/*
 * Run a statement and check the beginning of its answer.
 */
void
client_expect(client_t *client, const char *statement, const char *expected)
{
	char *answer = client_query(client, statement, EXPECT_TIMEOUT_MS);

	if (answer == NULL || !g_str_has_prefix(answer, expected))
		g_error(
		    "%s: expected %s, found %s", statement, expected, answer);
	g_free(answer);
}

/*
 * Wait until a server reports that it is the primary.  term: the term and a
 * blank; empty: of any term.
 */
bool
testbed_wait_primary(const testbed_t *testbed, uint32_t server,
    const char *term, int64_t wait_ms)
{
	char *row = g_strdup_printf("ROW primary %s", term);
	int64_t end_us = g_get_monotonic_time() + wait_ms * US_PER_MS;
	client_t *database =
	    client_connect(testbed->first_database_port + server);
	bool primary = false;

	client_send(database, "START ledger test\r\n", 19);
	g_free(client_read_line(database, EXPECT_TIMEOUT_MS));
	while (!primary && g_get_monotonic_time() < end_us) {
		char *answer =
		    client_query(database, "STATUS", EXPECT_TIMEOUT_MS);

		primary = answer != NULL && g_str_has_prefix(answer, row);
		g_free(answer);
		g_usleep(READY_POLL_US);
	}
	client_close(database);
	g_free(row);
	return primary;
}

/*
 * Tell whether a write through a proxy is acknowledged within a time.
 */
bool
testbed_write_served(testbed_t *testbed, uint32_t proxy, int64_t time_ms)
{
	int64_t end_us =
	    g_get_monotonic_time() + time_ms * G_TIME_SPAN_MILLISECOND;
	bool served = false;

	while (!served && g_get_monotonic_time() < end_us) {
		client_t *client =
		    client_open_session(testbed, proxy, "intake");
		char *answer = client == NULL
		    ? NULL
		    : client_query(client, "WRITE k v", WRITE_TIMEOUT_MS);

		served = answer != NULL && g_str_has_prefix(answer, "DONE");
		g_free(answer);
		if (client != NULL)
			client_close(client);
		g_usleep(20 * G_TIME_SPAN_MILLISECOND);
	}
	return served;
}

/*
 * Wait until an order is held up, and return the number of its database.
 */
int32_t
testbed_wait_held_order(const testbed_t *testbed, int64_t wait_ms)
{
	int64_t end_us =
	    g_get_monotonic_time() + wait_ms * G_TIME_SPAN_MILLISECOND;
	int32_t database = -1;

	while (database < 0 && g_get_monotonic_time() < end_us) {
		char *held = testbed_get(testbed, "/held");

		if (held[0] != '\0')
			database = atoi(held + strlen("i-"));
		g_free(held);
		g_usleep(5 * G_TIME_SPAN_MILLISECOND);
	}
	g_assert_cmpint(database, >=, 0);
	return database;
}

/*
 * Return the number of the proxy that the coordinator record names.
 */
uint32_t
testbed_coordinator(const testbed_t *testbed)
{
	char *record =
	    testbed_get(testbed, "/objects/bergamotplank-duties/promotion");
	uint32_t i;

	for (i = 0; i < testbed->plan.proxies; i++) {
		char *holder = g_strdup_printf(
		    "\"holder\":\"%s\"", testbed->proxies[i].name);
		bool found = strstr(record, holder) != NULL;

		g_free(holder);
		if (found)
			break;
	}
	g_assert_cmpuint(i, <, testbed->plan.proxies);
	g_free(record);
	return i;
}
