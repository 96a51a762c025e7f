#include "../src/h2.h"
#include "figures.h"
#include "load.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/*
 * make bench: what the daemon adds to a statement, beside a direct call to
 * the database stand-in in the same run; statements a second and core; and
 * the memory of an idle caller's connection.
 */

#define READY_MS 15000
#define SINGLE 1500
#define IDLE_CONNECTIONS 4500
#define LOAD_SESSIONS 64
#define LOAD_MS 5000

/* A direct connection to a database, for one call at a time. */
typedef struct direct {
	GMainLoop *loop;
	h2_t *h2;
} direct_t;

/*
 * The connection is open, or the call answered.
 */
static void
on_open(void *context)
{
	g_main_loop_quit(((direct_t *)context)->loop);
}

/*
 * The call was answered.
 */
static void
on_answered(void *context, int32_t stream, uint32_t status, const char *body,
    uint32_t size_bytes)
{
	(void)stream;
	(void)status;
	(void)body;
	(void)size_bytes;
	g_main_loop_quit(((direct_t *)context)->loop);
}

/*
 * The connection must not end.
 */
static void
on_closed(void *context, int32_t error)
{
	(void)context;
	g_error("the direct connection ended: %d", error);
}

static const h2_ops_t direct_ops = {
    on_open, on_answered, NULL, NULL, on_closed};

/*
 * The median time of a direct read, in ms.
 */
static double
direct_ms(fleet_t *fleet, uint32_t database)
{
	const char *body = "{\"action\":\"run\",\"access\":\"read\",\"term\":0,"
			   "\"statement\":\"get k\"}";
	GMainContext *context = g_main_context_new();
	direct_t direct = {g_main_loop_new(context, FALSE), NULL};
	double times[SINGLE];
	uint32_t i;

	direct.h2 = h2_connect(context, "127.0.0.1",
	    fleet->databases[database].port, &direct_ops, &direct);
	g_main_loop_run(direct.loop);
	for (i = 0; i < SINGLE; i++) {
		int64_t began_us = clock_us();

		h2_ask(direct.h2, "/statement", body, (uint32_t)strlen(body));
		g_main_loop_run(direct.loop);
		times[i] = (double)(clock_us() - began_us) / US_PER_MS;
	}
	h2_free(direct.h2);
	g_main_loop_unref(direct.loop);
	g_main_context_unref(context);
	return median(times, SINGLE);
}

/*
 * Throw an answer away.
 */
static size_t
on_received(char *bytes, size_t size, size_t count, void *context)
{
	(void)bytes;
	(void)context;
	return size * count;
}

/*
 * The median time of one statement after the other through a daemon, in ms.
 */
static double
through_ms(
    fleet_t *fleet, uint32_t daemon, const char *work, const char *statement)
{
	CURL *curl = curl_easy_init();
	char url[64], body[256];
	double times[SINGLE];
	uint32_t i;

	g_snprintf(url, sizeof(url), "http://127.0.0.1:%u/v1/statement",
	    fleet->daemons[daemon].port);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_received);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	for (i = 0; i < SINGLE; i++) {
		int64_t began_us;

		g_snprintf(body, sizeof(body),
		    "{\"team\":\"tickets\",\"account\":\"bench\","
		    "\"work\":\"%s\",\"group\":\"tickets-1\","
		    "\"statement\":\"%s\",\"request_id\":\"%s%u.%u\"}",
		    work, statement, work, daemon, i);
		curl_easy_setopt(
		    curl, CURLOPT_POSTFIELDSIZE, (long)strlen(body));
		began_us = clock_us();
		curl_easy_perform(curl);
		times[i] = (double)(clock_us() - began_us) / US_PER_MS;
	}
	curl_easy_cleanup(curl);
	return median(times, SINGLE);
}

/* Callers' connections to one daemon that have made a request and wait. */
typedef struct idlers {
	GSocket *sockets[IDLE_CONNECTIONS];
	double bytes; /* of the daemon's memory, each */
} idlers_t;

/*
 * Make idle connections to the first daemon.
 */
static void
idlers_start(fleet_t *fleet, idlers_t *idlers)
{
	const char *request = "GET /none HTTP/1.1\r\nHost: a\r\n\r\n";
	GSocketAddress *to = g_inet_socket_address_new_from_string(
	    "127.0.0.1", fleet->daemons[0].port);
	uint64_t before = fleet_memory_bytes(&fleet->daemons[0]);
	char buffer[1024];
	uint32_t i;

	for (i = 0; i < IDLE_CONNECTIONS; i++) {
		GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
		    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);

		g_assert_true(g_socket_connect(socket, to, NULL, NULL));
		g_socket_send(socket, request, strlen(request), NULL, NULL);
		g_socket_receive(socket, buffer, sizeof(buffer), NULL, NULL);
		idlers->sockets[i] = socket;
	}
	idlers->bytes =
	    (double)(fleet_memory_bytes(&fleet->daemons[0]) - before) /
	    IDLE_CONNECTIONS;
	g_object_unref(to);
}

/*
 * End the idle connections.
 */
static void
idlers_end(idlers_t *idlers)
{
	uint32_t i;

	for (i = 0; i < IDLE_CONNECTIONS; i++)
		g_object_unref(idlers->sockets[i]);
}

/*
 * Processor time that the daemons use with nothing to do.
 */
static double
idle_share(fleet_t *fleet)
{
	double before = fleet_cpu_s(&fleet->daemons[0]);

	g_usleep(4000 * US_PER_MS);
	return (fleet_cpu_s(&fleet->daemons[0]) - before) / 4.0;
}

/*
 * Statements a second, and a second of the daemons' processor time.
 */
static void
throughput(fleet_t *fleet, const char *when)
{
	load_plan_t plan = {.sessions = LOAD_SESSIONS,
	    .statements = 10000000,
	    .duration_ms = LOAD_MS,
	    .seed = 1};
	history_t *history = history_new();
	load_summary_t summary;
	double cpu = 0;
	uint32_t i;

	for (i = 0; i < fleet->plan.daemons; i++)
		cpu -= fleet_cpu_s(&fleet->daemons[i]);
	load_run(fleet, &plan, history);
	for (i = 0; i < fleet->plan.daemons; i++)
		cpu += fleet_cpu_s(&fleet->daemons[i]);
	load_summarize(history, &summary);
	printf("%-44s %10.0f\n", "statements a second, this load tool",
	    summary.outcomes[0] * 1000.0 / LOAD_MS);
	printf("statements a second and core, %-14s %10.0f\n", when,
	    summary.outcomes[0] / cpu);
	history_free(history);
}

/*
 * Messages that position probes cost, for each write.
 */
static void
probes(fleet_t *fleet)
{
	arena_t *arena = arena_new();
	uint64_t writes = 0, confirms = 0;
	uint32_t i;

	for (i = 0; i < fleet->plan.daemons; i++) {
		Bp__StatusPage *page = fleet_status(fleet, arena, i);

		writes += fleet_counter(page, "writes") +
		    fleet_counter(page, "reads_by_primaries");
		confirms += fleet_counter(page, "confirming_probes");
	}
	printf("%-44s %10.2f\n", "confirming probes a confirmed statement",
	    (double)confirms / (double)MAX(writes, 1));
	arena_free(arena);
}

/*
 * Print the table.
 */
int
main(void)
{
	fleet_plan_t plan = {
	    .daemons = 3, .tickets = 2, .quotes = 1, .log_level = "warning"};
	fleet_t *fleet;
	idlers_t idlers;
	double direct, local, forwarded, write;
	uint32_t owner;

	curl_global_init(CURL_GLOBAL_ALL);
	log_start(G_LOG_LEVEL_WARNING, STDERR_FILENO);
	fleet = fleet_start(&plan);
	if (!fleet_wait_ready(fleet, READY_MS))
		return 1;
	printf("%-44s %10.2f%%\n", "one idle daemon, share of a core",
	    100 * idle_share(fleet));
	owner = fleet_owner(fleet, 0);
	direct = direct_ms(fleet, 1);
	local = through_ms(fleet, owner, "lookup", "get k");
	forwarded = through_ms(fleet, (owner + 1) % 3, "lookup", "get k");
	write = through_ms(fleet, owner, "intake", "set k v");
	printf("%-44s %10.3f\n", "direct read, median ms", direct);
	printf("%-44s %10.3f (%.3f more)\n", "through the owner, median ms",
	    local, local - direct);
	printf("%-44s %10.3f (%.3f more)\n", "forwarded, median ms", forwarded,
	    forwarded - direct);
	printf("%-44s %10.3f (%.3f more than the read)\n",
	    "confirmed write through the owner, median ms", write,
	    write - local);
	probes(fleet);
	throughput(fleet, "no idle callers");
	probes(fleet);
	idlers_start(fleet, &idlers);
	printf("%-44s %10.0f\n", "bytes of an idle caller's connection",
	    idlers.bytes);
	throughput(fleet, "4,500 idle");
	idlers_end(&idlers);
	fleet_end(fleet);
	return 0;
}
