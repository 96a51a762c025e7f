#include "../src/decide/member.h"
#include "../src/decide/owner.h"
#include "../src/document.h"
#include "load.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/*
 * make slopes: measures how messages, CPU time and memory grow with the number
 * of members, groups and daemons, each at three sizes or more.
 * docs/CAPACITY.md extrapolates from these results.
 */

#define READY_MS 30000
#define UPDATES_MAX 6
#define INTERVAL_US (150 * US_PER_MS)
#define INTERVALS 40
#define IDLE_S 4

/*
 * Return the CPU time that this thread has used, in microseconds.
 */
static double
thread_cpu_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

/*
 * A simulation of the membership protocol: the membership tables of many
 * daemons in one process, which exchange messages by function calls.
 */
typedef struct membership_sim {
	uint32_t count; /* number of daemons */
	members_t **tables;
	GHashTable *index_by_name; /* index in tables by daemon name */
	bool *dead;
	uint64_t messages; /* number of messages sent by all daemons */
	uint64_t bytes;
	int64_t now_us;
} membership_sim_t;

/*
 * Return the encoded size of a membership update in a message, in bytes.
 */
static uint32_t
update_bytes(const member_attrs_t *update)
{
	Bp__Member member = BP__MEMBER__INIT;

	member.name = (char *)update->name;
	member.address = (char *)update->address;
	member.zone = (char *)update->zone;
	member.peer_port = update->port;
	member.incarnation = update->incarnation;
	member.state = (Bp__MemberState)update->state;
	return 2 + (uint32_t)bp__member__get_packed_size(&member);
}

/*
 * Deliver a message with membership updates from one daemon to another, and
 * count it and its size.
 */
static void
sim_send_message(membership_sim_t *sim, uint32_t from, uint32_t to)
{
	const member_t *updates[UPDATES_MAX];
	uint32_t i,
	    n = members_pick_updates(sim->tables[from], updates, UPDATES_MAX);
	const member_attrs_t *self = &members_self(sim->tables[from])->attrs;

	/* length, sequence number, hash of documents, tag of the sender */
	sim->bytes += 4 + 4 + 9 + 3 + update_bytes(self);
	sim->messages++;
	members_merge(sim->tables[to], self, sim->now_us);
	for (i = 0; i < n; i++) {
		sim->bytes += update_bytes(&updates[i]->attrs);
		members_merge(sim->tables[to], &updates[i]->attrs, sim->now_us);
	}
}

/*
 * Perform an action that a daemon's membership table requests.
 */
static void
sim_do_action(
    membership_sim_t *sim, uint32_t from, const member_action_t *action)
{
	uint32_t to = GPOINTER_TO_UINT(g_hash_table_lookup(
	    sim->index_by_name, action->target->attrs.name));

	if (action->kind == MEMBER_PING) {
		if (sim->dead[to])
			return;
		sim_send_message(sim, from, to);
		sim_send_message(sim, to, from);
		members_ack(sim->tables[from], action->target->attrs.name);
	} else if (action->kind == MEMBER_PING_INDIRECT) {
		sim->messages += 2;
		if (sim->dead[to])
			members_indirect_nack(
			    sim->tables[from], action->sequence);
		else
			members_indirect_ack(
			    sim->tables[from], action->sequence);
	}
}

/*
 * Simulate one probe interval of every daemon that is alive.
 */
static void
sim_run_interval(membership_sim_t *sim)
{
	member_action_t action;
	uint32_t i;

	sim->now_us += INTERVAL_US;
	for (i = 0; i < sim->count; i++) {
		while (!sim->dead[i] &&
		    members_tick(sim->tables[i], sim->now_us, &action))
			sim_do_action(sim, i, &action);
	}
}

/*
 * Return how many daemons that are alive consider a member dead.
 */
static uint32_t
sim_count_detections(const membership_sim_t *sim, const char *name)
{
	uint32_t i, n = 0;

	for (i = 0; i < sim->count; i++) {
		const member_t *member = members_find(sim->tables[i], name);

		n += !sim->dead[i] && member != NULL &&
		    member->attrs.state == MEMBER_DEAD;
	}
	return n;
}

/*
 * Measure the cost of the membership protocol per daemon with count members,
 * and the time until all daemons have detected the death of one of them.
 */
static void
measure_membership(uint32_t count)
{
	static const member_limits_t limits = {
	    INTERVAL_US, 300 * US_PER_MS, 900 * US_PER_MS, 60 * US_PER_SECOND};
	membership_sim_t sim = {.count = count, .now_us = US_PER_SECOND};
	char **names = g_new0(char *, count);
	double started_us, spent_us, before_bytes, after_bytes;
	uint32_t i, j, intervals = 0;

	before_bytes = (double)fleet_process_memory_bytes(NULL);
	sim.tables = g_new0(members_t *, count);
	sim.dead = g_new0(bool, count);
	sim.index_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; i < count; i++) {
		names[i] = g_strdup_printf("entry-%04u", i);
		g_hash_table_insert(
		    sim.index_by_name, names[i], GUINT_TO_POINTER(i));
	}
	for (i = 0; i < count; i++) {
		member_attrs_t self = {names[i], "10.100.100.100",
		    "region-1-zone-1", 7003, 1790000000000000, MEMBER_ALIVE};

		sim.tables[i] = members_new(&limits, &self, i);
		for (j = 0; j < count; j++) {
			member_attrs_t other = self;

			other.name = names[j];
			members_merge(sim.tables[i], &other, sim.now_us);
		}
	}
	after_bytes = (double)fleet_process_memory_bytes(NULL);
	/* give the updates of the start time to spread */
	for (i = 0; i < 200; i++)
		sim_run_interval(&sim);
	sim.messages = sim.bytes = 0;
	started_us = thread_cpu_us();
	for (i = 0; i < INTERVALS; i++)
		sim_run_interval(&sim);
	spent_us = thread_cpu_us() - started_us;
	printf("members %5u: per daemon and interval %8.2f us of CPU time, "
	       "%6.1f bytes of memory per member, %5.2f messages and %6.0f "
	       "bytes sent",
	    count, spent_us / INTERVALS / count,
	    (after_bytes - before_bytes) / count / count,
	    (double)sim.messages / INTERVALS / count,
	    (double)sim.bytes / INTERVALS / count);
	sim.dead[count / 2] = true;
	while (sim_count_detections(&sim, names[count / 2]) < count - 1 &&
	    intervals++ < 2000)
		sim_run_interval(&sim);
	printf(", a death detected by all after %.2f s\n",
	    (double)intervals * INTERVAL_US / US_PER_SECOND);
	for (i = 0; i < count; i++)
		members_free(sim.tables[i]);
	for (i = 0; i < count; i++)
		g_free(names[i]);
	g_free(names);
	g_free(sim.tables);
	g_free(sim.dead);
	g_hash_table_unref(sim.index_by_name);
}

/*
 * Measure the time to find the owner of a group among count members.
 */
static void
measure_owner_lookup(uint32_t count)
{
	const char **names = g_new0(const char *, count);
	double started_us;
	char key[32];
	uint32_t i;
	int32_t checksum = 0;

	for (i = 0; i < count; i++)
		names[i] = g_strdup_printf("entry-%04u", i);
	started_us = thread_cpu_us();
	for (i = 0; i < 1000; i++) {
		g_snprintf(key, sizeof(key), "team/group-%u", i);
		checksum += owner_pick(names, count, key);
	}
	printf("owner of a group among %5u members: %8.2f us (%d)\n", count,
	    (thread_cpu_us() - started_us) / 1000, checksum % 10);
	for (i = 0; i < count; i++)
		g_free((char *)names[i]);
	g_free(names);
}

/*
 * Measure the time to decode and check a document with the given number of
 * groups.
 */
static void
measure_document_read(uint32_t groups)
{
	GString *text =
	    g_string_new("{\"team\":\"t\",\"service\":\"s\",\"groups\":[");
	double started_us;
	uint32_t i, repeats = 2000 / groups + 1;

	for (i = 0; i < groups; i++)
		g_string_append_printf(text,
		    "%s{\"name\":\"g%u\",\"slots\":5,\"connections_max\":35,"
		    "\"databases\":["
		    "{\"name\":\"g%ua\",\"address\":\"10.0.0.1\","
		    "\"port\":%u,\"zone\":\"a\"},"
		    "{\"name\":\"g%ub\",\"address\":\"10.0.0.2\","
		    "\"port\":%u,\"zone\":\"b\"},"
		    "{\"name\":\"g%uc\",\"address\":\"10.0.0.3\","
		    "\"port\":%u,\"zone\":\"c\"}]}",
		    i == 0 ? "" : ",", i, i, 1000 + i, i, 1000 + i, i,
		    1000 + i);
	g_string_append(text,
	    "],\"ranks\":["
	    "{\"rank\":\"urgent\",\"target_ms\":50,\"worth\":1,"
	    "\"floor_percent\":0},"
	    "{\"rank\":\"standard\",\"target_ms\":50,\"worth\":1,"
	    "\"floor_percent\":0},"
	    "{\"rank\":\"background\",\"target_ms\":50,\"worth\":1,"
	    "\"floor_percent\":0}],"
	    "\"work\":[{\"name\":\"w\",\"access\":\"read\","
	    "\"rank\":\"urgent\"}],\"accounts\":[\"a\"]}");
	started_us = thread_cpu_us();
	for (i = 0; i < repeats; i++) {
		input_errors_t errors = {arena_new(), NULL, 0, NULL};

		g_assert_nonnull(
		    document_read(errors.arena, text->str, text->len, &errors));
		arena_free(errors.arena);
	}
	printf("document of %4u groups: %7u bytes, "
	       "decoded and checked in %8.0f us\n",
	    groups, (uint32_t)text->len,
	    (thread_cpu_us() - started_us) / repeats);
	g_string_free(text, TRUE);
}

/*
 * Measure the CPU use and memory of the first daemon of an idle fleet with the
 * given numbers of groups, of three databases each, and daemons.
 */
static void
measure_idle_daemon(uint32_t tickets, uint32_t quotes, uint32_t daemons)
{
	fleet_plan_t plan = {.daemons = daemons,
	    .tickets_groups = tickets,
	    .quotes_groups = quotes,
	    .service_ms = 1,
	    .log_level = "warning"};
	fleet_t *fleet = fleet_start(&plan);
	double before_s, used_cores;

	g_assert_true(fleet_wait_ready(fleet, READY_MS));
	before_s = fleet_process_cpu_s(&fleet->daemons[0]);
	g_usleep((gulong)IDLE_S * G_USEC_PER_SEC);
	used_cores =
	    (fleet_process_cpu_s(&fleet->daemons[0]) - before_s) / IDLE_S;
	printf("idle fleet of %u daemons and %u groups: %5.2f%% of a core, "
	       "%6.2f MB resident, for the first daemon\n",
	    daemons, tickets + quotes, 100 * used_cores,
	    (double)fleet_process_memory_bytes(&fleet->daemons[0]) / 1e6);
	fleet_stop(fleet);
}

/*
 * Measure the rate of calls to the platform by an idle fleet.
 */
static void
measure_platform_calls(uint32_t daemons)
{
	fleet_plan_t plan = {.daemons = daemons,
	    .tickets_groups = 1,
	    .service_ms = 1,
	    .log_level = "warning"};
	fleet_t *fleet = fleet_start(&plan);
	uint64_t calls[2] = {0};
	char *url, *text, *reads, *watches;
	uint32_t i;

	g_assert_true(fleet_wait_ready(fleet, READY_MS));
	url =
	    g_strdup_printf("http://127.0.0.1:%u/calls", fleet->platform.port);
	for (i = 0; i < 2; i++) {
		http_call("GET", url, NULL, &text);
		reads = strstr(text, "\"reads\":");
		watches = strstr(text, "\"watches\":");
		calls[i] = g_ascii_strtoull(reads + 8, NULL, 10) +
		    g_ascii_strtoull(watches + 10, NULL, 10);
		g_free(text);
		if (i == 0)
			g_usleep(10UL * G_USEC_PER_SEC);
	}
	printf("platform: %u idle daemons make %.2f calls per second\n",
	    daemons, (double)(calls[1] - calls[0]) / 10);
	g_free(url);
	fleet_stop(fleet);
}

/*
 * Run all measurements and print a line for each.
 */
int
main(void)
{
	curl_global_init(CURL_GLOBAL_ALL);
	setvbuf(stdout, NULL, _IOLBF, 0);
	log_start(G_LOG_LEVEL_WARNING, STDERR_FILENO);
	measure_membership(30);
	measure_membership(100);
	measure_membership(300);
	measure_membership(1000);
	measure_owner_lookup(9);
	measure_owner_lookup(100);
	measure_owner_lookup(1000);
	measure_owner_lookup(2900);
	measure_document_read(3);
	measure_document_read(30);
	measure_document_read(300);
	measure_idle_daemon(0, 0, 1);
	measure_idle_daemon(1, 0, 1);
	measure_idle_daemon(3, 0, 1);
	measure_idle_daemon(3, 3, 1);
	measure_idle_daemon(0, 0, 3);
	measure_idle_daemon(0, 0, 9);
	measure_platform_calls(1);
	measure_platform_calls(3);
	measure_platform_calls(9);
	return 0;
}
