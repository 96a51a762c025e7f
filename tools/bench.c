#include "../src/h2.h"
#include "load.h"
#include "quantile.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/*
 * make bench: measures the latency that the daemon adds to a statement,
 * compared with direct calls to a fake database in the same run;
 * statements done per second, and per second of CPU time; and the memory of an
 * idle connection of a caller.
 */

#define READY_MS 15000
#define LATENCY_SAMPLES 1500
#define IDLE_CONNECTIONS 4500
#define LOAD_SESSIONS 64
#define LOAD_MS 5000

/* A direct connection to a database, with one call at a time. */
typedef struct direct_conn {
	GMainLoop *loop;
	h2_t *h2;
} direct_conn_t;

/*
 * Stop waiting once the connection is open.
 */
static void
on_open(void *context)
{
	g_main_loop_quit(((direct_conn_t *)context)->loop);
}

/*
 * Stop waiting once the call is answered.
 */
static void
on_answered(void *context, int32_t stream, uint32_t status, const char *body,
    uint32_t size_bytes)
{
	(void)stream;
	(void)status;
	(void)body;
	(void)size_bytes;
	g_main_loop_quit(((direct_conn_t *)context)->loop);
}

/*
 * Abort the benchmark when the connection is closed.
 */
static void
on_closed(void *context, int32_t error)
{
	(void)context;
	g_error("direct connection to the database closed: %d", error);
}

static const h2_ops_t direct_conn_ops = {
    on_open, on_answered, NULL, NULL, on_closed};

/*
 * Return the median latency of reads sent directly to a database, in ms.
 */
static double
measure_direct_ms(fleet_t *fleet, uint32_t database)
{
	const char *body = "{\"action\":\"run\",\"access\":\"read\",\"term\":0,"
			   "\"statement\":\"get k\"}";
	GMainContext *context = g_main_context_new();
	direct_conn_t conn = {g_main_loop_new(context, FALSE), NULL};
	double times[LATENCY_SAMPLES];
	uint32_t i;

	conn.h2 = h2_connect(context, "127.0.0.1",
	    fleet->databases[database].port, &direct_conn_ops, &conn);
	g_main_loop_run(conn.loop);
	for (i = 0; i < LATENCY_SAMPLES; i++) {
		int64_t started_us = clock_us();

		h2_submit_request(
		    conn.h2, "/statement", body, (uint32_t)strlen(body));
		g_main_loop_run(conn.loop);
		times[i] = (double)(clock_us() - started_us) / US_PER_MS;
	}
	h2_free(conn.h2);
	g_main_loop_unref(conn.loop);
	g_main_context_unref(context);
	return median(times, LATENCY_SAMPLES);
}

/*
 * Discard a response body (curl's write callback).
 */
static size_t
on_body_received(char *bytes, size_t size, size_t count, void *context)
{
	(void)bytes;
	(void)context;
	return size * count;
}

/*
 * Return the median latency of statements sent one after the other through a
 * daemon, in ms.
 */
static double
measure_daemon_ms(
    fleet_t *fleet, uint32_t daemon, const char *work, const char *statement)
{
	CURL *curl = curl_easy_init();
	char url[64], body[256];
	double times[LATENCY_SAMPLES];
	uint32_t i;

	g_snprintf(url, sizeof(url), "http://127.0.0.1:%u/v1/statement",
	    fleet->daemons[daemon].port);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body_received);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	for (i = 0; i < LATENCY_SAMPLES; i++) {
		int64_t started_us;

		g_snprintf(body, sizeof(body),
		    "{\"team\":\"tickets\",\"account\":\"bench\","
		    "\"work\":\"%s\",\"group\":\"tickets-1\","
		    "\"statement\":\"%s\",\"request_id\":\"%s%u.%u\"}",
		    work, statement, work, daemon, i);
		curl_easy_setopt(
		    curl, CURLOPT_POSTFIELDSIZE, (long)strlen(body));
		started_us = clock_us();
		curl_easy_perform(curl);
		times[i] = (double)(clock_us() - started_us) / US_PER_MS;
	}
	curl_easy_cleanup(curl);
	return median(times, LATENCY_SAMPLES);
}

/* Connections of callers to one daemon, idle after a first request. */
typedef struct idle_conns {
	GSocket *sockets[IDLE_CONNECTIONS];
	double bytes_per_conn; /* memory growth of the daemon */
} idle_conns_t;

/*
 * Open the idle connections to the first daemon and compute how much its
 * memory grows per connection.
 */
static void
idle_conns_open(fleet_t *fleet, idle_conns_t *idle_conns)
{
	const char *request = "GET /none HTTP/1.1\r\nHost: a\r\n\r\n";
	GSocketAddress *address = g_inet_socket_address_new_from_string(
	    "127.0.0.1", fleet->daemons[0].port);
	uint64_t before_bytes = fleet_process_memory_bytes(&fleet->daemons[0]);
	char buffer[1024];
	uint32_t i;

	for (i = 0; i < IDLE_CONNECTIONS; i++) {
		GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
		    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);

		g_assert_true(g_socket_connect(socket, address, NULL, NULL));
		g_socket_send(socket, request, strlen(request), NULL, NULL);
		g_socket_receive(socket, buffer, sizeof(buffer), NULL, NULL);
		idle_conns->sockets[i] = socket;
	}
	idle_conns->bytes_per_conn =
	    (double)(fleet_process_memory_bytes(&fleet->daemons[0]) -
		before_bytes) /
	    IDLE_CONNECTIONS;
	g_object_unref(address);
}

/*
 * Close the idle connections.
 */
static void
idle_conns_close(idle_conns_t *idle_conns)
{
	uint32_t i;

	for (i = 0; i < IDLE_CONNECTIONS; i++)
		g_object_unref(idle_conns->sockets[i]);
}

/*
 * Return the CPU use of the first daemon without load, as a fraction of a
 * core.
 */
static double
measure_idle_cpu(fleet_t *fleet)
{
	double before_s = fleet_process_cpu_s(&fleet->daemons[0]);

	g_usleep(4000 * US_PER_MS);
	return (fleet_process_cpu_s(&fleet->daemons[0]) - before_s) / 4.0;
}

/*
 * Run the load and print the statements done per second, and per second of
 * the daemons' CPU time.  The label names the conditions of the run.
 */
static void
print_throughput(fleet_t *fleet, const char *label)
{
	load_plan_t plan = {.sessions = LOAD_SESSIONS,
	    .max_requests = 10000000,
	    .duration_ms = LOAD_MS,
	    .seed = 1};
	history_t *history = history_new();
	load_summary_t summary;
	double cpu_s = 0;
	uint32_t i;

	for (i = 0; i < fleet->plan.daemons; i++)
		cpu_s -= fleet_process_cpu_s(&fleet->daemons[i]);
	load_run(fleet, &plan, history);
	for (i = 0; i < fleet->plan.daemons; i++)
		cpu_s += fleet_process_cpu_s(&fleet->daemons[i]);
	load_summarize(history, &summary);
	printf("%-44s %10.0f\n", "statements per second",
	    summary.outcomes[0] * 1000.0 / LOAD_MS);
	printf("statements per second of CPU, %-14s %10.0f\n", label,
	    summary.outcomes[0] / cpu_s);
	history_free(history);
}

/*
 * Print how many probes the daemons sent to confirm statements, per statement
 * that needs a confirmation: a write or a read by a primary.
 */
static void
print_confirming_probes(fleet_t *fleet)
{
	arena_t *arena = arena_new();
	uint64_t confirmed = 0, confirming_probes = 0;
	uint32_t i;

	for (i = 0; i < fleet->plan.daemons; i++) {
		Bp__StatusPage *page = fleet_daemon_status(fleet, arena, i);

		confirmed += fleet_counter(page, "writes") +
		    fleet_counter(page, "reads_by_primaries");
		confirming_probes += fleet_counter(page, "confirming_probes");
	}
	printf("%-44s %10.2f\n", "confirming probes per confirmed statement",
	    (double)confirming_probes / (double)MAX(confirmed, 1));
	arena_free(arena);
}

/*
 * Run the benchmarks and print a line for each result.
 */
int
main(void)
{
	fleet_plan_t plan = {.daemons = 3,
	    .tickets_groups = 2,
	    .quotes_groups = 1,
	    .log_level = "warning"};
	fleet_t *fleet;
	idle_conns_t idle_conns;
	double direct_ms, owner_ms, forwarded_ms, write_ms;
	uint32_t owner;

	curl_global_init(CURL_GLOBAL_ALL);
	log_start(G_LOG_LEVEL_WARNING, STDERR_FILENO);
	fleet = fleet_start(&plan);
	if (!fleet_wait_ready(fleet, READY_MS))
		return 1;
	printf("%-44s %10.2f%%\n", "CPU use of an idle daemon",
	    100 * measure_idle_cpu(fleet));
	owner = fleet_group_owner(fleet, 0);
	direct_ms = measure_direct_ms(fleet, 1);
	owner_ms = measure_daemon_ms(fleet, owner, "lookup", "get k");
	forwarded_ms =
	    measure_daemon_ms(fleet, (owner + 1) % 3, "lookup", "get k");
	write_ms = measure_daemon_ms(fleet, owner, "intake", "set k v");
	printf("%-44s %10.3f\n", "direct read, median ms", direct_ms);
	printf("%-44s %10.3f (%.3f more)\n",
	    "read through the owner, median ms", owner_ms,
	    owner_ms - direct_ms);
	printf("%-44s %10.3f (%.3f more)\n",
	    "read forwarded to the owner, median ms", forwarded_ms,
	    forwarded_ms - direct_ms);
	printf("%-44s %10.3f (%.3f more than the read)\n",
	    "write through the owner, median ms", write_ms,
	    write_ms - owner_ms);
	print_confirming_probes(fleet);
	print_throughput(fleet, "no idle callers");
	print_confirming_probes(fleet);
	idle_conns_open(fleet, &idle_conns);
	printf("%-44s %10.0f\n", "bytes per idle connection of a caller",
	    idle_conns.bytes_per_conn);
	print_throughput(fleet, "4,500 idle");
	idle_conns_close(&idle_conns);
	fleet_stop(fleet);
	return 0;
}
