#include "../src/decide/member.h"
#include "../src/decide/owner.h"
#include "../src/document.h"
#include "load.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/*
 * make slopes: how state, messages, processor time and memory grow, each at
 * three sizes or more.  docs/CAPACITY.md works with these.
 */

#define READY_MS 30000
#define NEWS_MAX 6
#define INTERVAL_US (150 * US_PER_MS)
#define ROUNDS 40
#define IDLE_S 4

/*
 * Processor time of this thread, in microseconds.
 */
static double
cpu_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

/* Many membership tables in one process that talk by calls. */
typedef struct cloud {
	uint32_t count;
	members_t **tables;
	GHashTable *numbers; /* by name */
	bool *dead;
	uint64_t messages;
	uint64_t bytes;
	int64_t now_us;
} cloud_t;

/*
 * The bytes that one item of news takes on the wire.
 */
static uint32_t
news_bytes(const member_news_t *news)
{
	Bp__Member member = BP__MEMBER__INIT;

	member.name = (char *)news->name;
	member.address = (char *)news->address;
	member.zone = (char *)news->zone;
	member.peer_port = news->port;
	member.incarnation = news->incarnation;
	member.state = (Bp__MemberState)news->state;
	return 2 + (uint32_t)bp__member__get_packed_size(&member);
}

/*
 * One message with news from one table to another.
 */
static void
cloud_tell(cloud_t *cloud, uint32_t from, uint32_t to)
{
	const member_t *news[NEWS_MAX];
	uint32_t i, n = members_news(cloud->tables[from], news, NEWS_MAX);
	const member_news_t *self = &members_self(cloud->tables[from])->news;

	/* length, sequence, hash of the documents, sender */
	cloud->bytes += 4 + 4 + 9 + 3 + news_bytes(self);
	cloud->messages++;
	members_hear(cloud->tables[to], self, cloud->now_us);
	for (i = 0; i < n; i++) {
		cloud->bytes += news_bytes(&news[i]->news);
		members_hear(cloud->tables[to], &news[i]->news, cloud->now_us);
	}
}

/*
 * Carry out what one table wants done.
 */
static void
cloud_act(cloud_t *cloud, uint32_t from, const member_action_t *action)
{
	uint32_t to = GPOINTER_TO_UINT(
	    g_hash_table_lookup(cloud->numbers, action->target->news.name));

	if (action->kind == MEMBER_PING) {
		if (cloud->dead[to])
			return;
		cloud_tell(cloud, from, to);
		cloud_tell(cloud, to, from);
		members_acked(cloud->tables[from], action->target->news.name);
	} else if (action->kind == MEMBER_PING_THROUGH) {
		cloud->messages += 2;
		if (cloud->dead[to])
			members_helper_failed(
			    cloud->tables[from], action->sequence);
		else
			members_reached(cloud->tables[from], action->sequence);
	}
}

/*
 * One interval of every living table.
 */
static void
cloud_round(cloud_t *cloud)
{
	member_action_t action;
	uint32_t i;

	cloud->now_us += INTERVAL_US;
	for (i = 0; i < cloud->count; i++) {
		while (!cloud->dead[i] &&
		    members_tick(cloud->tables[i], cloud->now_us, &action))
			cloud_act(cloud, i, &action);
	}
}

/*
 * How many living tables hold a member for dead.
 */
static uint32_t
cloud_know_dead(const cloud_t *cloud, const char *name)
{
	uint32_t i, n = 0;

	for (i = 0; i < cloud->count; i++) {
		const member_t *member = members_find(cloud->tables[i], name);

		n += !cloud->dead[i] && member != NULL &&
		    member->news.state == MEMBER_DEAD;
	}
	return n;
}

/*
 * Membership at one size.
 */
static void
slope_members(uint32_t count)
{
	static const member_limits_t limits = {
	    INTERVAL_US, 300 * US_PER_MS, 900 * US_PER_MS, 60 * US_PER_SECOND};
	cloud_t cloud = {.count = count, .now_us = US_PER_SECOND};
	char **names = g_new0(char *, count);
	double began_us, spent_us, before, after;
	uint32_t i, j, rounds = 0;

	before = (double)fleet_memory_bytes(NULL);
	cloud.tables = g_new0(members_t *, count);
	cloud.dead = g_new0(bool, count);
	cloud.numbers = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; i < count; i++) {
		names[i] = g_strdup_printf("entry-%04u", i);
		g_hash_table_insert(
		    cloud.numbers, names[i], GUINT_TO_POINTER(i));
	}
	for (i = 0; i < count; i++) {
		member_news_t self = {names[i], "10.100.100.100",
		    "region-1-zone-1", 7003, 1790000000000000, MEMBER_ALIVE};

		cloud.tables[i] = members_new(&limits, &self, i);
		for (j = 0; j < count; j++) {
			member_news_t other = self;

			other.name = names[j];
			members_hear(cloud.tables[i], &other, cloud.now_us);
		}
	}
	after = (double)fleet_memory_bytes(NULL);
	for (i = 0; i < 200; i++)
		cloud_round(&cloud); /* the news of the start dies down */
	cloud.messages = cloud.bytes = 0;
	began_us = cpu_us();
	for (i = 0; i < ROUNDS; i++)
		cloud_round(&cloud);
	spent_us = cpu_us() - began_us;
	printf("members %5u: %8.2f us of processor a daemon and interval, "
	       "%6.1f bytes of memory a member, %5.2f messages and %6.0f bytes "
	       "a daemon and interval",
	    count, spent_us / ROUNDS / count, (after - before) / count / count,
	    (double)cloud.messages / ROUNDS / count,
	    (double)cloud.bytes / ROUNDS / count);
	cloud.dead[count / 2] = true;
	while (cloud_know_dead(&cloud, names[count / 2]) < count - 1 &&
	    rounds++ < 2000)
		cloud_round(&cloud);
	printf(", a death known by all after %.2f s\n",
	    (double)rounds * INTERVAL_US / US_PER_SECOND);
	for (i = 0; i < count; i++)
		members_free(cloud.tables[i]);
	for (i = 0; i < count; i++)
		g_free(names[i]);
	g_free(names);
	g_free(cloud.tables);
	g_free(cloud.dead);
	g_hash_table_unref(cloud.numbers);
}

/*
 * What it costs to find the owner of a group among so many members.
 */
static void
slope_owner(uint32_t count)
{
	const char **names = g_new0(const char *, count);
	double began_us;
	char key[32];
	uint32_t i;
	int32_t sum = 0;

	for (i = 0; i < count; i++)
		names[i] = g_strdup_printf("entry-%04u", i);
	began_us = cpu_us();
	for (i = 0; i < 1000; i++) {
		g_snprintf(key, sizeof(key), "team/group-%u", i);
		sum += owner_pick(names, count, key);
	}
	printf("owner of a group among %5u members: %8.2f us (%d)\n", count,
	    (cpu_us() - began_us) / 1000, sum % 10);
	for (i = 0; i < count; i++)
		g_free((char *)names[i]);
	g_free(names);
}

/*
 * What it costs to read a document with so many groups.
 */
static void
slope_document(uint32_t groups)
{
	GString *text =
	    g_string_new("{\"team\":\"t\",\"service\":\"s\",\"groups\":[");
	double began_us;
	uint32_t i, rounds = 2000 / groups + 1;

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
	began_us = cpu_us();
	for (i = 0; i < rounds; i++) {
		faults_t faults = {arena_new(), NULL, 0, NULL};

		g_assert_nonnull(
		    document_read(faults.arena, text->str, text->len, &faults));
		arena_free(faults.arena);
	}
	printf("document of %4u groups: %7u bytes, read and checked in %8.0f "
	       "us\n",
	    groups, (uint32_t)text->len, (cpu_us() - began_us) / rounds);
	g_string_free(text, TRUE);
}

/*
 * One idle daemon that owns so many groups of three databases.
 */
static void
slope_groups(uint32_t tickets, uint32_t quotes, uint32_t daemons)
{
	fleet_plan_t plan = {.daemons = daemons,
	    .tickets = tickets,
	    .quotes = quotes,
	    .service_ms = 1,
	    .log_level = "warning"};
	fleet_t *fleet = fleet_start(&plan);
	double before, spent;

	g_assert_true(fleet_wait_ready(fleet, READY_MS));
	before = fleet_cpu_s(&fleet->daemons[0]);
	g_usleep((gulong)IDLE_S * G_USEC_PER_SEC);
	spent = (fleet_cpu_s(&fleet->daemons[0]) - before) / IDLE_S;
	printf("idle fleet of %u daemons and %u groups: %5.2f%% of a core, "
	       "%6.2f MB resident, for the first daemon\n",
	    daemons, tickets + quotes, 100 * spent,
	    (double)fleet_memory_bytes(&fleet->daemons[0]) / 1e6);
	fleet_end(fleet);
}

/*
 * Calls on the platform by an idle fleet.
 */
static void
slope_platform(uint32_t daemons)
{
	fleet_plan_t plan = {.daemons = daemons,
	    .tickets = 1,
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
	printf("platform: %u idle daemons make %.2f calls a second\n", daemons,
	    (double)(calls[1] - calls[0]) / 10);
	g_free(url);
	fleet_end(fleet);
}

/*
 * Print every slope.
 */
int
main(void)
{
	curl_global_init(CURL_GLOBAL_ALL);
	setvbuf(stdout, NULL, _IOLBF, 0);
	log_start(G_LOG_LEVEL_WARNING, STDERR_FILENO);
	slope_members(30);
	slope_members(100);
	slope_members(300);
	slope_members(1000);
	slope_owner(9);
	slope_owner(100);
	slope_owner(1000);
	slope_owner(2900);
	slope_document(3);
	slope_document(30);
	slope_document(300);
	slope_groups(0, 0, 1);
	slope_groups(1, 0, 1);
	slope_groups(3, 0, 1);
	slope_groups(3, 3, 1);
	slope_groups(0, 0, 3);
	slope_groups(0, 0, 9);
	slope_platform(1);
	slope_platform(3);
	slope_platform(9);
	return 0;
}
