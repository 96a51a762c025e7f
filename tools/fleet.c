#include "fleet.h"

#include "../gen/database.pb-c.h"
#include "../src/decide/owner.h"
#include "../src/h2.h"
#include "../src/json.h"

#include <curl/curl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <unistd.h>

#define DATABASES_PER_GROUP 3
#define CALL_TIMEOUT_MS 3000
#define POLL_US 20000
#define PORT_FIRST 10240
#define PORTS_COUNT 20000
#define PORTS_A_PROCESS 97
#define PRIMARY_WAIT_MS 8000

/*
 * Tell whether a port of the loopback address can be bound.
 */
static bool
port_is_free(uint32_t port)
{
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
	GSocketAddress *address =
	    g_inet_socket_address_new_from_string("127.0.0.1", port);
	bool bound = g_socket_bind(socket, address, FALSE, NULL);

	g_object_unref(address);
	g_object_unref(socket);
	return bound;
}

/*
 * A port for a process to listen on.  It lies below the range that the
 * kernel takes for outgoing connections, so none of these can take it before
 * the process does; each test process begins elsewhere.
 */
uint32_t
fleet_free_port(void)
{
	static uint32_t next;

	if (next == 0)
		next = PORT_FIRST +
		    (uint32_t)getpid() * PORTS_A_PROCESS % PORTS_COUNT;
	do {
		next++;
		if (next >= PORT_FIRST + PORTS_COUNT)
			next = PORT_FIRST;
	} while (!port_is_free(next));
	return next;
}

/*
 * Keep what curl has received.
 */
static size_t
on_received(char *bytes, size_t size, size_t count, void *text)
{
	g_string_append_len(text, bytes, (gssize)(size * count));
	return size * count;
}

/*
 * One HTTP call.  Returns its status, 0 when there was no answer.
 */
uint32_t
http_call(const char *method, const char *url, const char *body, char **answer)
{
	CURL *curl = curl_easy_init();
	GString *text = g_string_new(NULL);
	long status = 0;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	if (body != NULL)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_received);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, text);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 20000L);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(curl);
	if (answer != NULL)
		*answer = g_string_free(text, FALSE);
	else
		g_string_free(text, TRUE);
	return (uint32_t)status;
}

/*
 * The path of a program of the build.
 */
char *
fleet_program(const char *name)
{
	const char *folder = g_getenv("BP_BUILD");

	return g_build_filename(folder == NULL ? "build" : folder, name, NULL);
}

/*
 * In the new process: end with the test, however that ends.
 */
static void
on_child(gpointer context)
{
	(void)context;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

/*
 * Start a program; its log goes to a file of the fleet's folder.
 */
void
fleet_spawn(
    const char *folder, fleet_process_t *process, const char *const *argv)
{
	GSubprocessLauncher *launcher =
	    g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDERR_MERGE);
	char *log = g_strdup_printf("%s/%s.log", folder, process->name);
	GError *error = NULL;

	g_subprocess_launcher_set_stdout_file_path(launcher, log);
	g_subprocess_launcher_set_child_setup(launcher, on_child, NULL, NULL);
	process->process = g_subprocess_launcher_spawnv(launcher, argv, &error);
	if (process->process == NULL)
		g_error("cannot start %s: %s", argv[0], error->message);
	g_object_unref(launcher);
	g_free(log);
}

/*
 * Send a signal to a process of the fleet.
 */
void
fleet_signal(fleet_process_t *process, int signal)
{
	if (process->process != NULL)
		g_subprocess_send_signal(process->process, signal);
}

/*
 * Wait until a process has ended; its exit status goes to *status.
 */
bool
fleet_wait_exit(fleet_process_t *process, uint32_t timeout_ms, int *status)
{
	int64_t until_us = g_get_monotonic_time() + timeout_ms * US_PER_MS;

	while (g_subprocess_get_identifier(process->process) != NULL) {
		if (g_get_monotonic_time() >= until_us)
			return false;
		g_main_context_iteration(NULL, FALSE);
		g_usleep(1000);
	}
	if (status != NULL)
		*status = g_subprocess_get_if_exited(process->process)
		    ? g_subprocess_get_exit_status(process->process)
		    : -1;
	g_clear_object(&process->process);
	return true;
}

/*
 * End a process at once.
 */
void
fleet_kill(fleet_process_t *process)
{
	if (process->process == NULL)
		return;
	g_subprocess_force_exit(process->process);
	g_subprocess_wait(process->process, NULL, NULL);
	g_clear_object(&process->process);
}

/*
 * Start one database stand-in.
 */
static void
database_start(fleet_t *fleet, uint32_t i, const fleet_group_t *group)
{
	fleet_process_t *db = &fleet->databases[i];
	char *path = fleet_program("fakedb");
	char port[16], slots[16], connections[16], service[16], lag[16];
	const char *argv[] = {path, "--port", port, "--slots", slots,
	    "--connections", connections, "--service-ms", service, "--lag-ms",
	    lag, NULL};

	db->port = fleet_free_port();
	db->name = g_strdup_printf(
	    "%s%c", group->name, 'a' + (char)(i - group->first));
	g_snprintf(port, sizeof(port), "%u", db->port);
	g_snprintf(slots, sizeof(slots), "%u", group->slots);
	g_snprintf(connections, sizeof(connections), "%u", group->connections);
	g_snprintf(service, sizeof(service), "%u", fleet->plan.service_ms);
	g_snprintf(lag, sizeof(lag), "%u", fleet->plan.lag_ms);
	fleet_spawn(fleet->folder, db, argv);
	g_free(path);
}

/*
 * Add a group and start its databases.
 */
static void
group_start(fleet_t *fleet, const char *team, const char *name, uint32_t slots,
    uint32_t connections)
{
	fleet_group_t *group = &fleet->groups[fleet->groups_count++];
	uint32_t i;

	group->team = team;
	group->name = name;
	group->first = fleet->databases_count;
	group->count = DATABASES_PER_GROUP;
	group->slots = slots;
	group->connections = connections;
	for (i = 0; i < group->count; i++)
		database_start(fleet, fleet->databases_count++, group);
}

/*
 * The ranks, work and accounts of a team, as in examples/.
 */
static const char *
document_rest(const char *team)
{
	if (strcmp(team, "tickets") == 0)
		return "\"ranks\":["
		       "{\"rank\":\"urgent\",\"target_ms\":50,\"worth\":100,"
		       "\"floor_percent\":0},"
		       "{\"rank\":\"standard\",\"target_ms\":200,\"worth\":10,"
		       "\"floor_percent\":15},"
		       "{\"rank\":\"background\",\"target_ms\":2000,"
		       "\"worth\":1,\"floor_percent\":5}],"
		       "\"work\":["
		       "{\"name\":\"intake\",\"access\":\"write\","
		       "\"rank\":\"urgent\"},"
		       "{\"name\":\"quote-revision\",\"access\":\"write\","
		       "\"rank\":\"standard\",\"repeatable\":true},"
		       "{\"name\":\"ticket\",\"access\":\"read\","
		       "\"rank\":\"urgent\"},"
		       "{\"name\":\"bench-queue\",\"access\":\"read\","
		       "\"rank\":\"standard\",\"max_age_ms\":1000},"
		       "{\"name\":\"lookup\",\"access\":\"read\","
		       "\"rank\":\"background\",\"max_age_ms\":3000}],"
		       "\"accounts\":[\"front-counter\",\"bench\","
		       "\"public-page\"]";
	return "\"ranks\":["
	       "{\"rank\":\"urgent\",\"target_ms\":100,\"worth\":200,"
	       "\"floor_percent\":0},"
	       "{\"rank\":\"standard\",\"target_ms\":500,\"worth\":10,"
	       "\"floor_percent\":15},"
	       "{\"rank\":\"background\",\"target_ms\":3000,\"worth\":1,"
	       "\"floor_percent\":5}],"
	       "\"work\":["
	       "{\"name\":\"acceptance\",\"access\":\"write\","
	       "\"rank\":\"urgent\"},"
	       "{\"name\":\"formal-quote\",\"access\":\"read\","
	       "\"rank\":\"urgent\"},"
	       "{\"name\":\"design-change\",\"access\":\"write\","
	       "\"rank\":\"standard\",\"repeatable\":true},"
	       "{\"name\":\"design-lookup\",\"access\":\"read\","
	       "\"rank\":\"standard\",\"max_age_ms\":1500},"
	       "{\"name\":\"tariff-view\",\"access\":\"read\","
	       "\"rank\":\"background\",\"max_age_ms\":5000}],"
	       "\"accounts\":[\"installers\",\"engineers\",\"customers\"]";
}

/*
 * The document of a team for this fleet; extra, where given, is more JSON
 * members of the document.  The caller frees it.
 */
char *
fleet_document(const fleet_t *fleet, const char *team, const char *extra)
{
	GString *text = g_string_new(NULL);
	const char *comma;
	uint32_t i, j;
	bool first = true;

	g_string_append_printf(text,
	    "{\"team\":\"%s\",\n\"service\":\"%s-db\",\n\"groups\":[", team,
	    team);
	for (i = 0; i < fleet->groups_count; i++) {
		const fleet_group_t *group = &fleet->groups[i];

		if (strcmp(group->team, team) != 0)
			continue;
		g_string_append_printf(text,
		    "%s\n{\"name\":\"%s\",\"slots\":%u,"
		    "\"connections_max\":%u,\"databases\":[",
		    first ? "" : ",", group->name, group->slots,
		    group->connections);
		first = false;
		comma = "";
		for (j = group->first; j < group->first + group->count; j++) {
			const fleet_process_t *db = &fleet->databases[j];

			if ((int32_t)j == fleet->left_out)
				continue;
			g_string_append_printf(text,
			    "%s\n{\"name\":\"%s\",\"address\":\"127.0.0.1\","
			    "\"port\":%u,\"zone\":\"zone-%c\"}",
			    comma, db->name, db->port,
			    'a' + (char)(j - group->first));
			comma = ",";
		}
		g_string_append(text, "]}");
	}
	g_string_append_printf(text, "],\n%s%s%s}", document_rest(team),
	    extra == NULL ? "" : ",\n", extra == NULL ? "" : extra);
	return g_string_free(text, FALSE);
}

/*
 * Update an object as an operator does.  Returns its new version, 0 on a
 * conflict or without an answer.
 */
uint64_t
fleet_put(fleet_t *fleet, const char *name, uint64_t version, const char *value)
{
	Bp__ObjectUpdate update = BP__OBJECT_UPDATE__INIT;
	arena_t *arena = arena_new();
	faults_t faults = {arena, NULL, 0, NULL};
	char *url = g_strdup_printf(
	    "http://127.0.0.1:%u/objects/%s", fleet->platform.port, name);
	char *answer;
	Bp__Object *object;
	uint64_t got = 0;
	uint32_t status;

	update.version = version;
	update.mark = (char *)"operator";
	update.value = (char *)value;
	status = http_call(
	    "POST", url, json_write(arena, &update.base, NULL), &answer);
	object = (Bp__Object *)json_read(
	    arena, &bp__object__descriptor, answer, strlen(answer), &faults);
	if (status == 200 && object != NULL)
		got = object->version;
	g_free(answer);
	g_free(url);
	arena_free(arena);
	return got;
}

/*
 * Tell the platform stand-in which VMs there are; one database may leave.
 */
void
fleet_vms(fleet_t *fleet, int32_t leaving)
{
	GString *text = g_string_new("{\"vms\":[");
	char *url =
	    g_strdup_printf("http://127.0.0.1:%u/vms", fleet->platform.port);
	uint32_t i;

	for (i = 0; i < fleet->plan.daemons; i++)
		g_string_append_printf(text,
		    "%s{\"name\":\"%s\",\"address\":\"127.0.0.1\",\"port\":%u,"
		    "\"zone\":\"zone-%c\",\"state\":\"live\",\"daemon\":true}",
		    i == 0 ? "" : ",", fleet->daemons[i].name,
		    fleet->daemons[i].peer_port, 'a' + (char)(i % 3));
	for (i = 0; i < fleet->databases_count; i++)
		g_string_append_printf(text,
		    ",{\"name\":\"%s\",\"address\":\"127.0.0.1\",\"port\":%u,"
		    "\"zone\":\"zone-%c\",\"state\":\"%s\",\"daemon\":false}",
		    fleet->databases[i].name, fleet->databases[i].port,
		    'a' + (char)(i % 3),
		    (int32_t)i == leaving ? "leaving" : "live");
	g_string_append(text, "]}");
	http_call("POST", url, text->str, NULL);
	g_string_free(text, TRUE);
	g_free(url);
}

/*
 * Start one daemon, with the ports it was given first.
 */
void
fleet_daemon_start(fleet_t *fleet, uint32_t i)
{
	fleet_process_t *daemon = &fleet->daemons[i];
	char *path = fleet_program("bergamotplank");
	const char *argv[] = {path, "serve", "-f", daemon->settings, NULL};

	fleet_spawn(fleet->folder, daemon, argv);
	g_free(path);
}

/*
 * Kill one daemon.
 */
void
fleet_daemon_end(fleet_t *fleet, uint32_t i)
{
	fleet_kill(&fleet->daemons[i]);
}

/*
 * Write the settings of one daemon; every daemon is a seed of the others.
 */
static void
daemon_settings(fleet_t *fleet, uint32_t i)
{
	fleet_process_t *daemon = &fleet->daemons[i];
	GString *seeds = g_string_new(NULL);
	char *text;
	uint32_t j;

	for (j = 0; j < fleet->plan.daemons; j++)
		g_string_append_printf(seeds,
		    "%s{\"address\":\"127.0.0.1\",\"port\":%u}",
		    j == 0 ? "" : ",", fleet->daemons[j].peer_port);
	text = g_strdup_printf(
	    "{\"name\":\"%s\",\"address\":\"127.0.0.1\","
	    "\"zone\":\"zone-%c\",\"caller_port\":%u,\"operator_port\":%u,"
	    "\"peer_port\":%u,\"platform\":{\"address\":\"127.0.0.1\","
	    "\"port\":%u},\"seeds\":[%s],\"timeouts\":{\"drain_ms\":%u,"
	    "\"request_ms\":%u},\"limits\":{%s},\"log_level\":\"%s\"}\n",
	    daemon->name, 'a' + (char)(i % 3), daemon->port,
	    daemon->operator_port, daemon->peer_port, fleet->platform.port,
	    seeds->str,
	    fleet->plan.drain_ms == 0 ? 10000 : fleet->plan.drain_ms,
	    fleet->plan.request_ms == 0 ? 10000 : fleet->plan.request_ms,
	    fleet->plan.limits == NULL ? "" : fleet->plan.limits,
	    fleet->plan.log_level == NULL ? "info" : fleet->plan.log_level);
	daemon->settings =
	    g_strdup_printf("%s/%s.json", fleet->folder, daemon->name);
	g_assert_true(g_file_set_contents(daemon->settings, text, -1, NULL));
	g_free(text);
	g_string_free(seeds, TRUE);
}

/*
 * Start the platform stand-in and wait until it answers.
 */
static void
platform_start(fleet_t *fleet)
{
	char *path = fleet_program("fakeplatform"), *url;
	char port[16];
	const char *argv[] = {path, "--port", port, NULL};
	uint32_t tries;

	fleet->platform.port = fleet_free_port();
	fleet->platform.name = g_strdup("platform");
	g_snprintf(port, sizeof(port), "%u", fleet->platform.port);
	fleet_spawn(fleet->folder, &fleet->platform, argv);
	url =
	    g_strdup_printf("http://127.0.0.1:%u/calls", fleet->platform.port);
	for (tries = 0; tries < 200 && http_call("GET", url, NULL, NULL) == 0;
	     tries++)
		g_usleep(POLL_US);
	g_free(url);
	g_free(path);
}

/*
 * Start a whole fleet, with its documents in the platform.
 */
fleet_t *
fleet_start(const fleet_plan_t *plan)
{
	static const char *const tickets[] = {
	    "tickets-1", "tickets-2", "tickets-3"};
	static const char *const quotes[] = {
	    "quotes-1", "quotes-2", "quotes-3"};
	fleet_t *fleet = g_new0(fleet_t, 1);
	char *document;
	uint32_t i;

	fleet->plan = *plan;
	fleet->left_out = -1;
	fleet->folder = g_dir_make_tmp("bergamotplank-XXXXXX", NULL);
	platform_start(fleet);
	for (i = 0; i < plan->tickets; i++)
		group_start(fleet, "tickets", tickets[i], 5, 35);
	for (i = 0; i < plan->quotes; i++)
		group_start(fleet, "quotes", quotes[i], 2, 30);
	for (i = 0; i < plan->daemons; i++) {
		fleet->daemons[i].name = g_strdup_printf("entry-%u", i + 1);
		fleet->daemons[i].port = fleet_free_port();
		fleet->daemons[i].operator_port = fleet_free_port();
		fleet->daemons[i].peer_port = fleet_free_port();
	}
	for (i = 0; i < plan->daemons; i++)
		daemon_settings(fleet, i);
	fleet_vms(fleet, -1);
	if (plan->tickets > 0) {
		document = fleet_document(fleet, "tickets", NULL);
		g_assert_cmpuint(
		    fleet_put(fleet, "team/tickets", 0, document), ==, 1);
		g_free(document);
	}
	if (plan->quotes > 0) {
		document = fleet_document(fleet, "quotes", NULL);
		g_assert_cmpuint(
		    fleet_put(fleet, "team/quotes", 0, document), ==, 1);
		g_free(document);
	}
	for (i = 0; i < plan->daemons; i++)
		fleet_daemon_start(fleet, i);
	return fleet;
}

/*
 * Remove a folder with the logs and settings of processes, unless BP_KEEP is
 * set.
 */
void
fleet_folder_remove(const char *path)
{
	GDir *folder;
	const char *name;

	if (g_getenv("BP_KEEP") != NULL)
		return;
	folder = g_dir_open(path, 0, NULL);
	while ((name = g_dir_read_name(folder)) != NULL) {
		char *file = g_build_filename(path, name, NULL);

		g_unlink(file);
		g_free(file);
	}
	g_dir_close(folder);
	g_rmdir(path);
}

/*
 * End every process of a fleet and remove its folder, unless BP_KEEP is set.
 */
void
fleet_end(fleet_t *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->plan.daemons; i++)
		fleet_kill(&fleet->daemons[i]);
	for (i = 0; i < fleet->databases_count; i++)
		fleet_kill(&fleet->databases[i]);
	fleet_kill(&fleet->platform);
	fleet_folder_remove(fleet->folder);
	g_free(fleet->folder);
	g_free(fleet);
}

/*
 * Send a statement to a daemon.  NULL when there was no answer.
 */
Bp__CallerAnswer *
fleet_ask(fleet_t *fleet, arena_t *arena, uint32_t daemon, const char *body)
{
	char *url = g_strdup_printf(
	    "http://127.0.0.1:%u/v1/statement", fleet->daemons[daemon].port);
	faults_t faults = {arena, NULL, 0, NULL};
	Bp__CallerAnswer *answer = NULL;
	char *text;

	if (http_call("POST", url, body, &text) != 0)
		answer = (Bp__CallerAnswer *)json_read(arena,
		    &bp__caller_answer__descriptor, text, strlen(text),
		    &faults);
	g_free(text);
	g_free(url);
	return answer;
}

/*
 * The daemon that owns a group while all are members.
 */
uint32_t
fleet_owner(const fleet_t *fleet, uint32_t group)
{
	const char *names[FLEET_DAEMONS_MAX];
	char key[128];
	uint32_t i;

	for (i = 0; i < fleet->plan.daemons; i++)
		names[i] = fleet->daemons[i].name;
	g_snprintf(key, sizeof(key), "%s/%s", fleet->groups[group].team,
	    fleet->groups[group].name);
	return (uint32_t)owner_pick(names, fleet->plan.daemons, key);
}

/*
 * The value of an object of the platform, which the caller frees, or NULL.
 */
char *
fleet_object(fleet_t *fleet, const char *name, uint64_t *version)
{
	arena_t *arena = arena_new();
	faults_t faults = {arena, NULL, 0, NULL};
	char *url = g_strdup_printf(
	    "http://127.0.0.1:%u/objects/%s", fleet->platform.port, name);
	char *text, *value = NULL;
	Bp__Object *object;

	http_call("GET", url, NULL, &text);
	object = (Bp__Object *)json_read(
	    arena, &bp__object__descriptor, text, strlen(text), &faults);
	if (object != NULL) {
		value = g_strdup(object->value);
		*version = object->version;
	}
	g_free(text);
	g_free(url);
	arena_free(arena);
	return value;
}

/*
 * Set a fault of the platform stand-in.
 */
void
fleet_platform_fault(fleet_t *fleet, const char *fault)
{
	char *url =
	    g_strdup_printf("http://127.0.0.1:%u/fault", fleet->platform.port);

	http_call("POST", url, fault, NULL);
	g_free(url);
}

/*
 * The status page of a daemon, in the arena, or NULL.
 */
Bp__StatusPage *
fleet_status(fleet_t *fleet, arena_t *arena, uint32_t daemon)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u/v1/status",
	    fleet->daemons[daemon].operator_port);
	faults_t faults = {arena, NULL, 0, NULL};
	Bp__StatusPage *page = NULL;
	char *text;

	if (http_call("GET", url, NULL, &text) == 200)
		page = (Bp__StatusPage *)json_read(arena,
		    &bp__status_page__descriptor, text, strlen(text), &faults);
	g_free(text);
	g_free(url);
	return page;
}

/*
 * A counter of a status page; 0 when it has none of that name.
 */
uint64_t
fleet_counter(const Bp__StatusPage *page, const char *name)
{
	size_t i;

	for (i = 0; i < page->n_counters; i++) {
		if (strcmp(page->counters[i]->name, name) == 0)
			return page->counters[i]->value;
	}
	return 0;
}

/*
 * The version of a document that a status page shows for a daemon, or 0.
 */
uint64_t
fleet_version(const Bp__StatusPage *page, const char *daemon, const char *team)
{
	size_t i;

	for (i = 0; i < page->n_documents; i++) {
		if (strcmp(page->documents[i]->daemon, daemon) == 0 &&
		    strcmp(page->documents[i]->team, team) == 0)
			return page->documents[i]->version;
	}
	return 0;
}

/*
 * Whether a daemon knows all others and all documents, and its groups have
 * primaries and connections.  Adds the groups it owns to *groups.
 */
static bool
daemon_ready(fleet_t *fleet, uint32_t daemon, uint32_t *groups)
{
	arena_t *arena = arena_new();
	Bp__StatusPage *page = fleet_status(fleet, arena, daemon);
	uint64_t teams = (fleet->plan.tickets > 0) + (fleet->plan.quotes > 0);
	bool ready = page != NULL && page->n_members == fleet->plan.daemons &&
	    page->n_documents == teams * fleet->plan.daemons;
	size_t i, j;

	for (i = 0; ready && i < page->n_groups; i++) {
		const Bp__GroupStatus *group = page->groups[i];

		ready = group->primary != NULL;
		for (j = 0; ready && j < group->n_databases; j++)
			ready = group->databases[j]->term == group->term &&
			    group->databases[j]->connections > 1;
		(*groups)++;
	}
	arena_free(arena);
	return ready;
}

/*
 * Wait until every daemon is ready and every group has an owner.
 */
bool
fleet_wait_ready(fleet_t *fleet, uint32_t timeout_ms)
{
	int64_t until_us = g_get_monotonic_time() + timeout_ms * US_PER_MS;
	uint32_t i, groups;
	bool ready;

	do {
		ready = true;
		groups = 0;
		for (i = 0; ready && i < fleet->plan.daemons; i++)
			ready = daemon_ready(fleet, i, &groups);
		if (ready && groups >= fleet->groups_count)
			return true;
		g_usleep(POLL_US);
	} while (g_get_monotonic_time() < until_us);
	return false;
}

/* One call to a database stand-in, waited for. */
typedef struct db_call {
	GMainLoop *loop;
	const char *path;
	const char *body;
	h2_t *h2;
	char *answer;
	bool ok;
} db_call_t;

/*
 * The call's connection is open.
 */
static void
on_db_opened(void *context)
{
	db_call_t *call = context;

	h2_ask(call->h2, call->path, call->body, (uint32_t)strlen(call->body));
}

/*
 * The call was answered.
 */
static void
on_db_answered(void *context, int32_t stream, uint32_t status, const char *body,
    uint32_t size_bytes)
{
	db_call_t *call = context;

	(void)stream;
	call->ok = status == 200;
	call->answer = g_strndup(body, size_bytes);
	g_main_loop_quit(call->loop);
}

/*
 * The call's connection is gone.
 */
static void
on_db_closed(void *context, int32_t error)
{
	(void)error;
	g_main_loop_quit(((db_call_t *)context)->loop);
}

/*
 * The call has taken too long.
 */
static gboolean
on_db_timeout(gpointer context)
{
	g_main_loop_quit(context);
	return G_SOURCE_CONTINUE;
}

static const h2_ops_t db_ops = {
    on_db_opened, on_db_answered, NULL, NULL, on_db_closed};

/*
 * Call a database stand-in and wait for its answer, which the caller frees.
 */
bool
fleet_db_call(fleet_t *fleet, uint32_t database, const char *path,
    const char *body, char **answer)
{
	GMainContext *context = g_main_context_new();
	GSource *timeout = g_timeout_source_new(CALL_TIMEOUT_MS);
	db_call_t call = {0};

	call.loop = g_main_loop_new(context, FALSE);
	call.path = path;
	call.body = body;
	g_source_set_callback(timeout, on_db_timeout, call.loop, NULL);
	g_source_attach(timeout, context);
	call.h2 = h2_connect(context, "127.0.0.1",
	    fleet->databases[database].port, &db_ops, &call);
	g_main_loop_run(call.loop);
	h2_free(call.h2);
	g_source_destroy(timeout);
	g_source_unref(timeout);
	g_main_loop_unref(call.loop);
	g_main_context_unref(context);
	if (answer != NULL)
		*answer = call.answer;
	else
		g_free(call.answer);
	return call.ok;
}

/*
 * Call a database stand-in and read the answer into the arena, or NULL.
 */
static ProtobufCMessage *
db_read(fleet_t *fleet, arena_t *arena, uint32_t database, const char *path,
    const ProtobufCMessageDescriptor *type)
{
	faults_t faults = {arena, NULL, 0, NULL};
	ProtobufCMessage *message = NULL;
	char *text = NULL;

	if (fleet_db_call(fleet, database, path, "", &text))
		message = json_read(arena, type, text, strlen(text), &faults);
	g_free(text);
	return message;
}

/*
 * What ran on a database stand-in, or NULL when it does not answer.
 */
Bp__RanLog *
fleet_db_ran(fleet_t *fleet, arena_t *arena, uint32_t database)
{
	return (Bp__RanLog *)db_read(
	    fleet, arena, database, "/ran", &bp__ran_log__descriptor);
}

/*
 * The state of a database stand-in, or NULL when it does not answer.
 */
Bp__DbStatus *
fleet_db_status(fleet_t *fleet, arena_t *arena, uint32_t database)
{
	return (Bp__DbStatus *)db_read(
	    fleet, arena, database, "/status", &bp__db_status__descriptor);
}

/*
 * The database that is primary of a group in the highest term, by the
 * databases' own word, or -1.
 */
int32_t
fleet_primary(fleet_t *fleet, uint32_t group)
{
	uint64_t highest = 0;
	int32_t primary = -1;
	uint32_t i;

	for (i = 0; i < fleet->groups[group].count; i++) {
		arena_t *arena = arena_new();
		uint32_t db = fleet->groups[group].first + i;
		Bp__DbStatus *status = fleet_db_status(fleet, arena, db);

		if (status != NULL && status->primary &&
		    status->promised > highest) {
			highest = status->promised;
			primary = (int32_t)db;
		}
		arena_free(arena);
	}
	return primary;
}

/*
 * As fleet_primary(), waiting through a change of primary.
 */
int32_t
fleet_wait_primary(fleet_t *fleet, uint32_t group)
{
	int64_t until_us = g_get_monotonic_time() + PRIMARY_WAIT_MS * US_PER_MS;
	int32_t primary;

	while ((primary = fleet_primary(fleet, group)) < 0 &&
	    g_get_monotonic_time() < until_us)
		g_usleep(POLL_US);
	g_assert_cmpint(primary, >=, 0);
	return primary;
}

/*
 * Read a file of a process below /proc; NULL is this process.
 */
static char *
proc_read(const fleet_process_t *process, const char *name)
{
	const char *pid = process == NULL
	    ? "self"
	    : g_subprocess_get_identifier(process->process);
	char *path = g_strdup_printf("/proc/%s/%s", pid, name), *text;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	g_free(path);
	return text;
}

/*
 * Processor time of a process so far, in seconds.
 */
double
fleet_cpu_s(const fleet_process_t *process)
{
	char *text = proc_read(process, "stat"), **field;
	double ticks;

	/* after the name in brackets: 11 is user time, 12 system time */
	field = g_strsplit(strrchr(text, ')') + 2, " ", -1);
	ticks =
	    g_ascii_strtod(field[11], NULL) + g_ascii_strtod(field[12], NULL);
	g_strfreev(field);
	g_free(text);
	return ticks / (double)sysconf(_SC_CLK_TCK);
}

/*
 * Resident memory of a process, in bytes; NULL is this process.
 */
uint64_t
fleet_memory_bytes(const fleet_process_t *process)
{
	char *text = proc_read(process, "statm");
	uint64_t pages = g_ascii_strtoull(strchr(text, ' '), NULL, 10);

	g_free(text);
	return pages * (uint64_t)sysconf(_SC_PAGESIZE);
}
