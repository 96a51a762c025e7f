#include "fleet.h"

#include "../gen/database.pb-c.h"
#include "../src/decide/owner.h"
#include "../src/h2.h"
#include "../src/json.h"

#include <curl/curl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#define DATABASES_PER_GROUP 3
#define CALL_TIMEOUT_MS 3000
#define POLL_US 20000
#define FIRST_PORT 10240
#define PORT_BLOCKS 40
#define PORTS_OF_BLOCK 500
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
 * Reserve a block of ports for this process, until it ends.  The reservation is
 * a socket whose abstract name has the number of the block, so that it ends
 * with the process and needs no file.  Returns false if another process has the
 * block.
 */
static bool
reserve_ports(uint32_t block)
{
	struct sockaddr_un address = {.sun_family = AF_UNIX};
	int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int n = g_snprintf(address.sun_path + 1, sizeof(address.sun_path) - 1,
	    "bergamotplank-test-ports-%u", block);

	g_assert_cmpint(fd, >=, 0);
	if (bind(fd, (struct sockaddr *)&address,
		(socklen_t)(offsetof(struct sockaddr_un, sun_path) + 1 +
		    (size_t)n)) == 0)
		return true;
	close(fd);
	return false;
}

/*
 * Return the first port of the block of this process.
 */
static uint32_t
first_port(void)
{
	static uint32_t port;
	uint32_t i, block = (uint32_t)getpid();

	for (i = 0; port == 0; i++) {
		g_assert_cmpuint(i, <, PORT_BLOCKS);
		block = (block + 1) % PORT_BLOCKS;
		if (reserve_ports(block))
			port = FIRST_PORT + block * PORTS_OF_BLOCK;
	}
	return port;
}

/*
 * Return the first of some unused consecutive ports for a process to listen on.
 * They lie below the kernel's range of ephemeral ports, so that no outgoing
 * connection can take them before the process binds them, and in a block that
 * no other test process uses.
 */
uint32_t
fleet_unused_ports(uint32_t count)
{
	static uint32_t next_offset;
	uint32_t first = first_port(), tries, offset, i;

	for (tries = 0;; tries++) {
		g_assert_cmpuint(tries / 2, <, PORTS_OF_BLOCK);
		if (next_offset + count > PORTS_OF_BLOCK)
			next_offset = 0;
		offset = next_offset;
		for (i = 0; i < count && port_is_free(first + offset + i); i++)
			;
		next_offset = offset + MIN(i + 1, count);
		if (i == count)
			return first + offset;
	}
}

/*
 * Return an unused port, as fleet_unused_ports().
 */
uint32_t
fleet_unused_port(void)
{
	return fleet_unused_ports(1);
}

/*
 * Append a part of a response body to a string (curl's write callback).
 */
static size_t
on_body_received(char *bytes, size_t size, size_t count, void *text)
{
	g_string_append_len(text, bytes, (gssize)(size * count));
	return size * count;
}

/*
 * Send an HTTP request and wait for the response.  Returns its status code, 0
 * when there was no response; the caller frees the body in *answer.
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
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body_received);
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
 * Return the path of a program in the build directory, which is BP_BUILD or
 * "build".  The caller frees it.
 */
char *
fleet_program_path(const char *name)
{
	const char *build_dir = g_getenv("BP_BUILD");

	return g_build_filename(
	    build_dir == NULL ? "build" : build_dir, name, NULL);
}

/*
 * Make the kernel kill a child process when its parent exits, however that
 * happens.  Called in the child before exec.
 */
static void
child_setup(gpointer context)
{
	(void)context;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

/*
 * Start a program.  Its standard output and error go to NAME.log in log_dir,
 * where NAME is that of the process.
 */
void
fleet_process_spawn(
    const char *log_dir, fleet_process_t *process, const char *const *argv)
{
	GSubprocessLauncher *launcher =
	    g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDERR_MERGE);
	char *log = g_strdup_printf("%s/%s.log", log_dir, process->name);
	GError *error = NULL;

	g_subprocess_launcher_set_stdout_file_path(launcher, log);
	g_subprocess_launcher_set_child_setup(
	    launcher, child_setup, NULL, NULL);
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
fleet_process_signal(fleet_process_t *process, int signal)
{
	if (process->process != NULL)
		g_subprocess_send_signal(process->process, signal);
}

/*
 * Wait until a process has exited and store its exit status, -1 if a signal
 * killed it.  Returns false on a timeout.
 */
bool
fleet_process_wait_exit(
    fleet_process_t *process, uint32_t timeout_ms, int *status)
{
	int64_t deadline_us = g_get_monotonic_time() + timeout_ms * US_PER_MS;

	while (g_subprocess_get_identifier(process->process) != NULL) {
		if (g_get_monotonic_time() >= deadline_us)
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
 * Kill a process with SIGKILL and reap it.
 */
void
fleet_process_kill(fleet_process_t *process)
{
	if (process->process == NULL)
		return;
	g_subprocess_force_exit(process->process);
	g_subprocess_wait(process->process, NULL, NULL);
	g_clear_object(&process->process);
}

/*
 * Start a fake database, the i-th of the fleet.
 */
static void
database_start(fleet_t *fleet, uint32_t i, const fleet_group_t *group)
{
	fleet_process_t *db = &fleet->databases[i];
	char *path = fleet_program_path("fakedb");
	char port[16], slots[16], connections[16], service[16], lag[16];
	const char *argv[] = {path, "--port", port, "--slots", slots,
	    "--connections", connections, "--service-ms", service, "--lag-ms",
	    lag, NULL};

	db->port = fleet_unused_port();
	db->name = g_strdup_printf(
	    "%s%c", group->name, 'a' + (char)(i - group->first_database));
	g_snprintf(port, sizeof(port), "%u", db->port);
	g_snprintf(slots, sizeof(slots), "%u", group->slots);
	g_snprintf(connections, sizeof(connections), "%u", group->connections);
	g_snprintf(service, sizeof(service), "%u", fleet->plan.service_ms);
	g_snprintf(lag, sizeof(lag), "%u", fleet->plan.lag_ms);
	fleet_process_spawn(fleet->work_dir, db, argv);
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
	group->first_database = fleet->databases_count;
	group->count = DATABASES_PER_GROUP;
	group->slots = slots;
	group->connections = connections;
	for (i = 0; i < group->count; i++)
		database_start(fleet, fleet->databases_count++, group);
}

/*
 * Return the ranks, kinds of work and accounts of a team's document, the same
 * as in examples/, as JSON members.
 */
static const char *
team_policy_json(const char *team)
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
 * Build the document of a team for this fleet.  Extra, unless NULL, holds
 * further JSON members of the document.  The caller frees the result.
 */
char *
fleet_team_document(const fleet_t *fleet, const char *team, const char *extra)
{
	GString *text = g_string_new(NULL);
	const char *separator;
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
		separator = "";
		for (j = group->first_database;
		     j < group->first_database + group->count; j++) {
			const fleet_process_t *db = &fleet->databases[j];

			if ((int32_t)j == fleet->omitted_database)
				continue;
			g_string_append_printf(text,
			    "%s\n{\"name\":\"%s\",\"address\":\"127.0.0.1\","
			    "\"port\":%u,\"zone\":\"zone-%c\"}",
			    separator, db->name, db->port,
			    'a' + (char)(j - group->first_database));
			separator = ",";
		}
		g_string_append(text, "]}");
	}
	g_string_append_printf(text, "],\n%s%s%s}", team_policy_json(team),
	    extra == NULL ? "" : ",\n", extra == NULL ? "" : extra);
	return g_string_free(text, FALSE);
}

/*
 * Update an object in the platform's store, marked as an operator's change.
 * Returns the new version, 0 on a version conflict or when there was no
 * response.
 */
uint64_t
fleet_put_object(
    fleet_t *fleet, const char *name, uint64_t version, const char *value)
{
	Bp__ObjectUpdate update = BP__OBJECT_UPDATE__INIT;
	arena_t *arena = arena_new();
	input_errors_t errors = {arena, NULL, 0, NULL};
	char *url = g_strdup_printf(
	    "http://127.0.0.1:%u/objects/%s", fleet->platform.port, name);
	char *answer;
	Bp__Object *object;
	uint64_t new_version = 0;
	uint32_t status;

	update.version = version;
	update.mark = (char *)"operator";
	update.value = (char *)value;
	status = http_call(
	    "POST", url, json_write(arena, &update.base, NULL), &answer);
	object = (Bp__Object *)json_read(
	    arena, &bp__object__descriptor, answer, strlen(answer), &errors);
	if (status == 200 && object != NULL)
		new_version = object->version;
	g_free(answer);
	g_free(url);
	arena_free(arena);
	return new_version;
}

/*
 * Replace the platform's list of VMs with the VMs of this fleet.  The VM of
 * leaving_database, unless -1, is listed in the state "leaving".
 */
void
fleet_publish_vms(fleet_t *fleet, int32_t leaving_database)
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
		    (int32_t)i == leaving_database ? "leaving" : "live");
	g_string_append(text, "]}");
	http_call("POST", url, text->str, NULL);
	g_string_free(text, TRUE);
	g_free(url);
}

/*
 * Start or restart a daemon with the settings file written by fleet_start().
 */
void
fleet_daemon_start(fleet_t *fleet, uint32_t i)
{
	fleet_process_t *daemon = &fleet->daemons[i];
	char *path = fleet_program_path("bergamotplank");
	const char *argv[] = {path, "serve", "-f", daemon->settings_path, NULL};

	fleet_process_spawn(fleet->work_dir, daemon, argv);
	g_free(path);
}

/*
 * Kill a daemon with SIGKILL.
 */
void
fleet_daemon_kill(fleet_t *fleet, uint32_t i)
{
	fleet_process_kill(&fleet->daemons[i]);
}

/*
 * Write the settings file of a daemon.  Its seeds, the peers it contacts to
 * join the membership, are all daemons of the fleet.
 */
static void
write_daemon_settings(fleet_t *fleet, uint32_t i)
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
	    fleet->plan.limits_json == NULL ? "" : fleet->plan.limits_json,
	    fleet->plan.log_level == NULL ? "info" : fleet->plan.log_level);
	daemon->settings_path =
	    g_strdup_printf("%s/%s.json", fleet->work_dir, daemon->name);
	g_assert_true(
	    g_file_set_contents(daemon->settings_path, text, -1, NULL));
	g_free(text);
	g_string_free(seeds, TRUE);
}

/*
 * Start the fake platform and wait until it accepts requests.
 */
static void
platform_start(fleet_t *fleet)
{
	char *path = fleet_program_path("fakeplatform"), *url;
	char port[16];
	const char *argv[] = {path, "--port", port, NULL};
	uint32_t tries;

	fleet->platform.port = fleet_unused_port();
	fleet->platform.name = g_strdup("platform");
	g_snprintf(port, sizeof(port), "%u", fleet->platform.port);
	fleet_process_spawn(fleet->work_dir, &fleet->platform, argv);
	url =
	    g_strdup_printf("http://127.0.0.1:%u/calls", fleet->platform.port);
	for (tries = 0; tries < 200 && http_call("GET", url, NULL, NULL) == 0;
	     tries++)
		g_usleep(POLL_US);
	g_free(url);
	g_free(path);
}

/*
 * Start the platform, the databases and the daemons, and store the teams'
 * documents in the platform.
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
	fleet->omitted_database = -1;
	fleet->work_dir = g_dir_make_tmp("bergamotplank-XXXXXX", NULL);
	platform_start(fleet);
	for (i = 0; i < plan->tickets_groups; i++)
		group_start(fleet, "tickets", tickets[i], 5, 35);
	for (i = 0; i < plan->quotes_groups; i++)
		group_start(fleet, "quotes", quotes[i], 2, 30);
	for (i = 0; i < plan->daemons; i++) {
		fleet->daemons[i].name = g_strdup_printf("entry-%u", i + 1);
		fleet->daemons[i].port = fleet_unused_port();
		fleet->daemons[i].operator_port = fleet_unused_port();
		fleet->daemons[i].peer_port = fleet_unused_port();
	}
	for (i = 0; i < plan->daemons; i++)
		write_daemon_settings(fleet, i);
	fleet_publish_vms(fleet, -1);
	if (plan->tickets_groups > 0) {
		document = fleet_team_document(fleet, "tickets", NULL);
		g_assert_cmpuint(
		    fleet_put_object(fleet, "team/tickets", 0, document), ==,
		    1);
		g_free(document);
	}
	if (plan->quotes_groups > 0) {
		document = fleet_team_document(fleet, "quotes", NULL);
		g_assert_cmpuint(
		    fleet_put_object(fleet, "team/quotes", 0, document), ==, 1);
		g_free(document);
	}
	for (i = 0; i < plan->daemons; i++)
		fleet_daemon_start(fleet, i);
	return fleet;
}

/*
 * Remove a work directory with its log and settings files, unless BP_KEEP is
 * set in the environment.
 */
void
fleet_work_dir_remove(const char *path)
{
	GDir *dir;
	const char *name;

	if (g_getenv("BP_KEEP") != NULL)
		return;
	dir = g_dir_open(path, 0, NULL);
	while ((name = g_dir_read_name(dir)) != NULL) {
		char *file = g_build_filename(path, name, NULL);

		g_unlink(file);
		g_free(file);
	}
	g_dir_close(dir);
	g_rmdir(path);
}

/*
 * Kill every process of a fleet, remove its work directory unless BP_KEEP is
 * set, and free the fleet.
 */
void
fleet_stop(fleet_t *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->plan.daemons; i++)
		fleet_process_kill(&fleet->daemons[i]);
	for (i = 0; i < fleet->databases_count; i++)
		fleet_process_kill(&fleet->databases[i]);
	fleet_process_kill(&fleet->platform);
	fleet_work_dir_remove(fleet->work_dir);
	g_free(fleet->work_dir);
	g_free(fleet);
}

/*
 * Send a statement to a daemon and return its answer, allocated in the arena,
 * or NULL when there was none.
 */
Bp__CallerAnswer *
fleet_send_statement(
    fleet_t *fleet, arena_t *arena, uint32_t daemon, const char *body)
{
	char *url = g_strdup_printf(
	    "http://127.0.0.1:%u/v1/statement", fleet->daemons[daemon].port);
	input_errors_t errors = {arena, NULL, 0, NULL};
	Bp__CallerAnswer *answer = NULL;
	char *text;

	if (http_call("POST", url, body, &text) != 0)
		answer = (Bp__CallerAnswer *)json_read(arena,
		    &bp__caller_answer__descriptor, text, strlen(text),
		    &errors);
	g_free(text);
	g_free(url);
	return answer;
}

/*
 * Return the index of the daemon that owns a group when all daemons are alive.
 */
uint32_t
fleet_group_owner(const fleet_t *fleet, uint32_t group)
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
 * Read an object from the platform's store.  Returns its value, which the
 * caller frees, or NULL when there is none.
 */
char *
fleet_get_object(fleet_t *fleet, const char *name, uint64_t *version)
{
	arena_t *arena = arena_new();
	input_errors_t errors = {arena, NULL, 0, NULL};
	char *url = g_strdup_printf(
	    "http://127.0.0.1:%u/objects/%s", fleet->platform.port, name);
	char *text, *value = NULL;
	Bp__Object *object;

	http_call("GET", url, NULL, &text);
	object = (Bp__Object *)json_read(
	    arena, &bp__object__descriptor, text, strlen(text), &errors);
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
 * Inject a fault into the fake platform: a PlatformFault as JSON.
 */
void
fleet_platform_inject_fault(fleet_t *fleet, const char *fault)
{
	char *url =
	    g_strdup_printf("http://127.0.0.1:%u/fault", fleet->platform.port);

	http_call("POST", url, fault, NULL);
	g_free(url);
}

/*
 * Fetch the status page of a daemon into the arena, or return NULL.
 */
Bp__StatusPage *
fleet_daemon_status(fleet_t *fleet, arena_t *arena, uint32_t daemon)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u/v1/status",
	    fleet->daemons[daemon].operator_port);
	input_errors_t errors = {arena, NULL, 0, NULL};
	Bp__StatusPage *page = NULL;
	char *text;

	if (http_call("GET", url, NULL, &text) == 200)
		page = (Bp__StatusPage *)json_read(arena,
		    &bp__status_page__descriptor, text, strlen(text), &errors);
	g_free(text);
	g_free(url);
	return page;
}

/*
 * Return the value of a counter on a status page, 0 if it is not listed.
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
 * Return the version of a team's document that a status page reports for a
 * daemon, 0 if none.
 */
uint64_t
fleet_document_version(
    const Bp__StatusPage *page, const char *daemon, const char *team)
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
 * Tell whether a daemon lists every daemon and document, and each group that
 * it owns has a primary, all databases in the same term and connections to
 * each of them.  Adds the number of groups it owns to *groups.
 */
static bool
daemon_ready(fleet_t *fleet, uint32_t daemon, uint32_t *groups)
{
	arena_t *arena = arena_new();
	Bp__StatusPage *page = fleet_daemon_status(fleet, arena, daemon);
	uint64_t teams =
	    (fleet->plan.tickets_groups > 0) + (fleet->plan.quotes_groups > 0);
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
 * Wait until every daemon is ready and every group has an owner.  Returns
 * false on a timeout.
 */
bool
fleet_wait_ready(fleet_t *fleet, uint32_t timeout_ms)
{
	int64_t deadline_us = g_get_monotonic_time() + timeout_ms * US_PER_MS;
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
	} while (g_get_monotonic_time() < deadline_us);
	return false;
}

/* A request to a fake database and its response. */
typedef struct db_call {
	GMainLoop *loop;
	const char *path;
	const char *body;
	h2_t *h2;
	char *answer;
	bool ok;
} db_call_t;

/*
 * Send the request once the connection is open.
 */
static void
on_db_opened(void *context)
{
	db_call_t *call = context;

	h2_submit_request(
	    call->h2, call->path, call->body, (uint32_t)strlen(call->body));
}

/*
 * Store the response and stop waiting.
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
 * Stop waiting when the connection is closed before the response.
 */
static void
on_db_closed(void *context, int32_t error)
{
	(void)error;
	g_main_loop_quit(((db_call_t *)context)->loop);
}

/*
 * Stop waiting when the request has timed out.
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
 * Send a request to a fake database on a connection of its own and wait for the
 * response.  Returns whether its status is 200; the caller frees the body in
 * *answer.
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
 * Send a request to a fake database and decode the JSON response into the
 * arena.  Returns NULL when there is none.
 */
static ProtobufCMessage *
db_get_message(fleet_t *fleet, arena_t *arena, uint32_t database,
    const char *path, const ProtobufCMessageDescriptor *type)
{
	input_errors_t errors = {arena, NULL, 0, NULL};
	ProtobufCMessage *message = NULL;
	char *text = NULL;

	if (fleet_db_call(fleet, database, path, "", &text))
		message = json_read(arena, type, text, strlen(text), &errors);
	g_free(text);
	return message;
}

/*
 * Fetch the log of statements that a fake database has run, or NULL when it
 * does not answer.
 */
Bp__RanLog *
fleet_db_execution_log(fleet_t *fleet, arena_t *arena, uint32_t database)
{
	return (Bp__RanLog *)db_get_message(
	    fleet, arena, database, "/ran", &bp__ran_log__descriptor);
}

/*
 * Fetch the status of a fake database, or NULL when it does not answer.
 */
Bp__DbStatus *
fleet_db_status(fleet_t *fleet, arena_t *arena, uint32_t database)
{
	return (Bp__DbStatus *)db_get_message(
	    fleet, arena, database, "/status", &bp__db_status__descriptor);
}

/*
 * Return the database of a group that reports itself primary in the highest
 * term, or -1.
 */
int32_t
fleet_group_primary(fleet_t *fleet, uint32_t group)
{
	uint64_t highest_term = 0;
	int32_t primary = -1;
	uint32_t i;

	for (i = 0; i < fleet->groups[group].count; i++) {
		arena_t *arena = arena_new();
		uint32_t db = fleet->groups[group].first_database + i;
		Bp__DbStatus *status = fleet_db_status(fleet, arena, db);

		if (status != NULL && status->primary &&
		    status->promised > highest_term) {
			highest_term = status->promised;
			primary = (int32_t)db;
		}
		arena_free(arena);
	}
	return primary;
}

/*
 * Wait until a group has a primary, for example during a failover, and return
 * its database.  The test fails when there is none in time.
 */
int32_t
fleet_group_wait_primary(fleet_t *fleet, uint32_t group)
{
	int64_t deadline_us =
	    g_get_monotonic_time() + PRIMARY_WAIT_MS * US_PER_MS;
	int32_t primary;

	while ((primary = fleet_group_primary(fleet, group)) < 0 &&
	    g_get_monotonic_time() < deadline_us)
		g_usleep(POLL_US);
	g_assert_cmpint(primary, >=, 0);
	return primary;
}

/*
 * Read /proc/PID/NAME of a process; NULL stands for the calling process.
 */
static char *
read_proc_file(const fleet_process_t *process, const char *name)
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
 * Return the CPU time that a process has used, in seconds.
 */
double
fleet_process_cpu_s(const fleet_process_t *process)
{
	char *text = read_proc_file(process, "stat"), **field;
	double ticks;

	/* fields after the command name: 11 is user time, 12 system time */
	field = g_strsplit(strrchr(text, ')') + 2, " ", -1);
	ticks =
	    g_ascii_strtod(field[11], NULL) + g_ascii_strtod(field[12], NULL);
	g_strfreev(field);
	g_free(text);
	return ticks / (double)sysconf(_SC_CLK_TCK);
}

/*
 * Return the resident memory of a process, in bytes; NULL stands for the
 * calling process.
 */
uint64_t
fleet_process_memory_bytes(const fleet_process_t *process)
{
	char *text = read_proc_file(process, "statm");
	uint64_t pages = g_ascii_strtoull(strchr(text, ' '), NULL, 10);

	g_free(text);
	return pages * (uint64_t)sysconf(_SC_PAGESIZE);
}

/*
 * Return the largest resident memory that a process has had, in bytes.
 */
uint64_t
fleet_process_peak_memory_bytes(const fleet_process_t *process)
{
	char *text = read_proc_file(process, "status");
	const char *peak = strstr(text, "VmHWM:");
	uint64_t kib = g_ascii_strtoull(peak + strlen("VmHWM:"), NULL, 10);

	g_free(text);
	return kib << 10;
}
