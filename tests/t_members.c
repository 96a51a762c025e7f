#include "../platform/platform.h"
#include "../src/proxy/pool.h"
#include "attempt.h"
#include "cases.h"

/*
 * Tests of the recorded members of a group, without databases.
 */

static const task_ops_t host_ops = {"host", NULL, NULL, NULL, 0};
static const task_ops_t idle_ops = {"pool", NULL, NULL, NULL, 0};

#define SERVERS 3
#define LISTS_MAX 4

/* Servers, as bits. */
#define PRIMARY 1U
#define REPLICA 2U
#define OTHER 4U
#define ALL (PRIMARY | REPLICA | OTHER)

/* What a list says of the server with index 1; the others stay as they are. */
typedef struct listing {
	uint64_t born;    /* 0: it is not listed */
	bool refused;     /* a connection to it, after this list */
	bool denied;      /* the process at its address is another one */
	uint32_t ended;   /* expected: members that have ended */
	uint32_t members; /* expected: servers that are members */
	uint32_t absent;  /* expected: members in whose place none is listed */
} listing_t;

typedef struct listed_case {
	const char *name;
	listing_t lists[LISTS_MAX]; /* until one expects no members */
} listed_case_t;

static const listed_case_t listed_cases[] = {
    {"all the same", {{5, false, false, 0, 3}, {5, false, false, 0, 3}}},
    {"a later start", {{5, false, false, 0, 3}, {6, false, false, 1, 2}}},
    {"a list of before its start, and the present one again",
	{{5, false, false, 0, 3}, {4, false, false, 0, 2},
	    {5, false, false, 0, 3}}},
    {"not listed and refused, and listed again",
	{{5, true, false, 0, 3}, {0, false, false, 0, 3},
	    {5, false, false, 0, 3}}},
    {"not listed and refused, and a later start",
	{{5, true, false, 0, 3}, {0, false, false, 0, 3},
	    {6, false, false, 1, 2}}},
    {"another process at its address",
	{{5, false, true, 1, 2}, {5, false, false, 1, 2}}},
    {"another process at its address, and a later start",
	{{5, false, true, 1, 2}, {6, false, false, 1, 2}}},
    {"another process at its address, not listed, and a later start",
	{{5, false, true, 1, 2}, {0, false, false, 1, 2, 1},
	    {6, false, false, 1, 2}}},
};

/* Number of replicas that hold each commit, in the lists. */
static uint32_t sync_replicas;

/*
 * Apply a list of the servers.  listed: servers that it has, as bits; born: of
 * that with index 1.
 */
static void
apply_list(pool_t *pool, uint32_t listed, uint64_t born)
{
	static const char *const ids[SERVERS] = {"i-0", "i-1", "i-2"};
	Bp__Catalog catalog = BP__CATALOG__INIT;
	Bp__ServerGroup entry = BP__SERVER_GROUP__INIT, *entries = &entry;
	Bp__Server list[SERVERS], *servers[SERVERS];
	uint32_t i;

	entry.name = "ledger";
	entry.connections_max = 8;
	entry.sync_replicas = sync_replicas;
	for (i = 0; i < SERVERS; i++) {
		if ((listed & (1U << i)) == 0)
			continue;
		bp__server__init(&list[i]);
		list[i].id = (char *)ids[i];
		list[i].group = "ledger";
		list[i].address = "127.0.0.1";
		list[i].port = 1 + i;
		list[i].zone = "z";
		list[i].slots = 4;
		list[i].born = i == 1 ? born : 5;
		servers[catalog.n_servers++] = &list[i];
	}
	catalog.n_groups = 1;
	catalog.groups = &entries;
	catalog.servers = servers;
	catalog_apply(pool, &catalog);
}

/* A pool task that is not connected to anything. */
typedef struct bed {
	Bp__ProxyTimeouts timeouts;
	Bp__ProxySettings settings;
	proxy_t proxy;
	task_t *host;
	pool_t *pool;
} bed_t;

/*
 * Create a pool that has read no list yet.
 */
static void
bed_start(bed_t *bed)
{
	bp__proxy_timeouts__init(&bed->timeouts);
	bp__proxy_settings__init(&bed->settings);
	bed->settings.name = (char *)"this";
	bed->settings.zone = (char *)"z";
	bed->settings.timeouts = &bed->timeouts;
	bed->proxy =
	    (proxy_t){.settings = &bed->settings, .wire = &platform_wire};
	bed->host = task_new(&host_ops, NULL);
	bed->pool = pool_new(&bed->proxy);
	bed->pool->task = task_new_hosted(&idle_ops, bed->pool, bed->host);
}

/*
 * Free the pool.
 */
static void
bed_stop(bed_t *bed)
{
	task_free(bed->pool->task);
	pool_free(bed->pool);
	task_free(bed->host);
}

/*
 * Have the servers that are known be the recorded members of their group.
 */
static void
record_members(group_t *group)
{
	arena_t *arena = arena_new();
	size_t count;
	Bp__RecordedMember **members =
	    group_members_write(group, arena, &count);

	group_members_recorded(group, members, count, clock_us());
	arena_free(arena);
}

/*
 * Return the number of servers that count as members.
 */
static uint32_t
count_members(const group_t *group)
{
	uint32_t i, n = 0;

	for (i = 0; i < group->count; i++)
		n += group->failover.views[i].member;
	return n;
}

/*
 * Test that a member counts as ended while the lists, or its address, say so,
 * and not any more when the list has that very start again; and as absent while
 * neither it nor a later start is in the group.
 */
static void
test_listed(gconstpointer data)
{
	const listed_case_t *c = data;
	bed_t bed;
	group_t *group = NULL;
	uint32_t i;

	bed_start(&bed);
	for (i = 0; i < LISTS_MAX && c->lists[i].members > 0; i++) {
		const listing_t *listing = &c->lists[i];

		apply_list(bed.pool, listing->born == 0 ? ALL & ~REPLICA : ALL,
		    listing->born);
		if (group == NULL) {
			group = g_hash_table_lookup(bed.pool->groups, "ledger");
			group->active = true;
			record_members(group);
		}
		if (listing->refused)
			monitor_connection_refused(group->servers[1]);
		if (listing->denied)
			monitor_denied(group->servers[1]);
		g_test_message("list %u", i);
		g_assert_cmpuint(group->failover.members, ==, SERVERS);
		g_assert_cmpuint(
		    group->failover.members_ended, ==, listing->ended);
		g_assert_cmpuint(
		    group->failover.members_absent, ==, listing->absent);
		g_assert_cmpuint(count_members(group), ==, listing->members);
	}
	bed_stop(&bed);
}

#define STEPS_MAX 4

/* A list, and what follows it. */
typedef struct departed_step {
	uint32_t listed;  /* servers, as bits; 0: there is no list */
	uint64_t born;    /* of that with index 1 */
	bool denied;      /* the process at its address is another one */
	bool recorded;    /* the servers and members that are kept */
	int64_t after_s;  /* time since the last step */
	uint32_t members; /* expected: recorded members */
	uint32_t absent;  /* expected: databases that are not listed, but may
			     run */
} departed_step_t;

typedef struct departed_case {
	const char *name;
	departed_step_t steps[STEPS_MAX]; /* until one expects no members */
} departed_case_t;

static const departed_case_t departed_cases[] = {
    {"ended, recorded no more, and a later start is listed",
	{{ALL & ~REPLICA, 5, true, false, 0, 3, 1},
	    {0, 5, false, true, 0, 2, 1}, {ALL, 6, false, false, 0, 2, 0}}},
    {"ended, recorded no more, and not listed for long",
	{{ALL & ~REPLICA, 5, true, true, 0, 2, 1},
	    {0, 5, false, false, 59, 2, 1}, {0, 5, false, false, 2, 2, 0}}},
    {"a later start, never recorded, that is listed no more",
	{{ALL, 6, false, false, 0, 3, 0},
	    {ALL & ~REPLICA, 6, true, true, 0, 2, 1},
	    {ALL, 7, false, false, 0, 2, 0}}},
    {"not listed, and may be alive",
	{{ALL & ~REPLICA, 5, false, true, 0, 3, 0}}},
};

/*
 * Have time pass for the databases that have left a group.
 */
static void
departed_earlier(group_t *group, int64_t by_us)
{
	uint32_t i;

	for (i = 0; i < group->departed_count; i++)
		group->departed[i].kept_until_us -= by_us;
	group_members_update(group);
}

/*
 * Test that a database that has left counts as absent until a later start is
 * listed, also once the record has it no more.
 */
static void
test_departed(gconstpointer data)
{
	const departed_case_t *c = data;
	group_t *group;
	uint32_t i;
	bed_t bed;

	bed_start(&bed);
	apply_list(bed.pool, ALL, 5);
	group = g_hash_table_lookup(bed.pool->groups, "ledger");
	group->active = true;
	record_members(group);
	for (i = 0; i < STEPS_MAX && c->steps[i].members > 0; i++) {
		const departed_step_t *step = &c->steps[i];

		if (step->denied)
			monitor_denied(group->servers[1]);
		if (step->listed != 0)
			apply_list(bed.pool, step->listed, step->born);
		if (step->recorded)
			record_members(group);
		departed_earlier(group, step->after_s * US_PER_SECOND);
		g_test_message("step %u", i);
		g_assert_cmpuint(group->members_count, ==, step->members);
		g_assert_cmpuint(
		    group->failover.members_absent, ==, step->absent);
	}
	bed_stop(&bed);
}

typedef struct new_case {
	const char *name;
	uint64_t born;  /* of i-1 in the second list; 0: it is not listed */
	int64_t age_s;  /* time from the first list to that; it starts at 5 */
	bool again;     /* a third list has it as the first */
	bool new_after; /* expected: i-1 is newly listed then */
} new_case_t;

static const new_case_t new_cases[] = {
    {"since the last list", 5, 1, false, true},
    {"for long", 5, 16, false, false},
    {"a later start under its id, for long", 6, 16, false, false},
    {"lapsed for a moment", 0, 16, true, true},
};

/*
 * Test for how long other daemons may not know of a server.
 */
static void
test_new(gconstpointer data)
{
	const new_case_t *c = data;
	group_t *group;
	uint32_t i;
	bed_t bed;

	bed_start(&bed);
	apply_list(bed.pool, ALL, 5);
	group = g_hash_table_lookup(bed.pool->groups, "ledger");
	group->active = true;
	record_members(group);
	for (i = 0; i < group->count; i++)
		group->servers[i]->listed_us -= c->age_s * US_PER_SECOND;
	apply_list(bed.pool, c->born == 0 ? ALL & ~REPLICA : ALL, c->born);
	if (c->again)
		apply_list(bed.pool, ALL, 5);
	g_assert_cmpint(
	    server_newly_listed(server_find(group, "i-1"), clock_us()), ==,
	    c->new_after);
	bed_stop(&bed);
}

typedef struct known_case {
	const char *name;
	int64_t known_ms; /* time up to which all servers are known; 0: none */
	int64_t until_ms; /* expected end of the time in which the list counts,
			     after that; 0: it does not count */
} known_case_t;

static const known_case_t known_cases[] = {
    {"the list may be an old one", 0, 0},
    {"all that had registered by a time", 5000, 12000},
};

/*
 * Test until when the answers of all servers of a list prove something.
 */
static void
test_known(gconstpointer data)
{
	const known_case_t *c = data;
	group_t *group;
	bed_t bed;

	bed_start(&bed);
	apply_list(bed.pool, ALL, 5);
	group = g_hash_table_lookup(bed.pool->groups, "ledger");
	bed.pool->servers_known_us = MS(c->known_ms);
	group_lease_update(group, clock_us());
	g_assert_cmpint(group->lease.list_until_us, ==,
	    c->until_ms == 0 ? 1 : MS(c->known_ms + c->until_ms));
	bed_stop(&bed);
}

typedef struct written_case {
	const char *name;
	uint64_t born;  /* of i-1 in the list of a process; 0: not listed */
	bool denied;    /* another process has answered at its address */
	bool left;      /* it was removed, having left */
	size_t written; /* expected: members that are recorded */
} written_case_t;

static const written_case_t written_cases[] = {
    {"all are listed", 5, false, false, 3},
    {"one has lost its entry before this process started", 0, false, false, 3},
    {"the same, and it had left", 0, false, true, 2},
    {"a later start is listed", 6, false, false, 3},
    {"an earlier start is listed", 4, false, false, 3},
    {"another process is at its address, and it is listed", 5, true, false, 3},
};

/*
 * Have three servers be the recorded members of a group.
 */
static void
record_three(group_t *group)
{
	Bp__RecordedMember list[SERVERS], *members[SERVERS];
	char ids[SERVERS][4], addresses[SERVERS][16];
	uint32_t i;

	for (i = 0; i < SERVERS; i++) {
		g_snprintf(ids[i], sizeof(ids[i]), "i-%u", i);
		g_snprintf(
		    addresses[i], sizeof(addresses[i]), "127.0.0.1:%u", 1 + i);
		bp__recorded_member__init(&list[i]);
		list[i].server = ids[i];
		list[i].born = 5;
		list[i].address = addresses[i];
		members[i] = &list[i];
	}
	group_members_recorded(group, members, SERVERS, clock_us());
}

/*
 * Test which members are recorded by a process that reads the list of the
 * servers first, and then the recorded members: one that is not known to have
 * ended stays a member.
 */
static void
test_written(gconstpointer data)
{
	const written_case_t *c = data;
	server_t gone = {.id = (char *)"i-1", .generation = 5};
	arena_t *arena = arena_new();
	bed_t bed;
	group_t *group;
	size_t written;

	bed_start(&bed);
	apply_list(bed.pool, c->born == 0 ? ALL & ~REPLICA : ALL, c->born);
	group = g_hash_table_lookup(bed.pool->groups, "ledger");
	group->active = true;
	record_three(group);
	if (c->denied)
		monitor_denied(group->servers[1]);
	if (c->left)
		group_member_removed(group, &gone, START_LEFT, clock_us());
	(void)group_members_write(group, arena, &written);
	g_assert_cmpuint(written, ==, c->written);
	arena_free(arena);
	bed_stop(&bed);
}

typedef struct sent_case {
	const char *name;
	bool again;     /* the members are the recorded ones */
	int64_t read_s; /* time from that to a read of the record */
	uint32_t sets;  /* expected: that count besides the members */
} sent_case_t;

static const sent_case_t sent_cases[] = {
    {"the record does not have them yet", false, 1, 1},
    {"the record does not have them, long after", false, 11, 0},
    {"the record has them", true, 1, 0},
    {"a read from before", true, -1, 1},
};

/*
 * Test that members that are sent to be recorded count besides those that are,
 * until the record shows what came of that.
 */
static void
test_sent(gconstpointer data)
{
	const sent_case_t *c = data;
	Bp__RecordedMember one = BP__RECORDED_MEMBER__INIT;
	Bp__RecordedMember *list[] = {&one}, **written;
	arena_t *arena = arena_new();
	int64_t now_us = clock_us();
	bed_t bed;
	group_t *group;
	size_t count;

	one.server = (char *)"i-0";
	one.born = 5;
	bed_start(&bed);
	apply_list(bed.pool, ALL, 5);
	group = g_hash_table_lookup(bed.pool->groups, "ledger");
	group->active = true;
	record_three(group);
	written = group_members_write(group, arena, &count);
	if (c->again)
		group_members_sent(group, written, count, now_us);
	else
		group_members_sent(group, list, 1, now_us);
	g_assert_cmpuint(group->failover.former_count, ==, 1);
	group_members_recorded(
	    group, written, count, now_us + c->read_s * US_PER_SECOND);
	g_assert_cmpuint(group->failover.former_count, ==, c->sets);
	arena_free(arena);
	bed_stop(&bed);
}

/*
 * Test that a return of the store from an older copy reaches the leases.
 */
static void
test_store_era(void)
{
	msg_t *msg = msg_new(&bp__attempts_void__descriptor);
	group_t *group;
	uint32_t i = 0;
	bed_t bed;

	bed_start(&bed);
	apply_list(bed.pool, ALL, 5);
	group = g_hash_table_lookup(bed.pool->groups, "ledger");
	((Bp__AttemptsVoid *)msg->body)->era = 2;
	while (pool_ops.handlers[i].type != msg->body->descriptor) {
		i++;
		g_assert_cmpuint(i, <, pool_ops.handlers_count);
	}
	pool_ops.handlers[i].handle(bed.pool, msg);
	g_assert_cmpuint(group->lease.store_era, ==, 2);
	bed_stop(&bed);
}

typedef struct kept_case {
	const char *name;
	/* servers that are members when the record is first read, and former
	   ones; 0: none */
	uint32_t first, former;
	/* the same when it is read again, the era of the store then, and
	   whether the record was begun again */
	uint32_t second, second_former;
	uint64_t era;
	bool begun_again;
	bool replaced; /* an order has led to the next term since */
	/* expected: sets that count besides the members, without the servers
	   that each daemon should know where none are recorded */
	uint32_t sets;
} kept_case_t;

static const kept_case_t kept_cases[] = {
    {"the same era, the members are gone", ALL, 0, 0, 0, 1, false, false, 0},
    {"an older copy without members", ALL, 0, 0, 0, 2, false, false, 1},
    {"an older copy with fewer members", ALL, 0, PRIMARY | REPLICA, 0, 2, false,
	false, 1},
    {"an older copy with the same members", ALL, 0, ALL, 0, 2, false, false, 0},
    {"an older copy that has them as former ones", ALL, 0, PRIMARY, ALL, 2,
	false, false, 1},
    {"an older copy without members and former ones", ALL, PRIMARY, 0, 0, 2,
	false, false, 2},
    {"the same, and the primary has been replaced since", ALL, PRIMARY, 0, 0, 2,
	false, true, 0},
    {"a record that was begun again, without members", ALL, 0, 0, 0, 1, true,
	false, 1},
    {"one with fewer members", ALL, 0, PRIMARY | REPLICA, 0, 1, true, false, 1},
    {"one with the same members", ALL, 0, ALL, 0, 1, true, false, 0},
    {"one without members and former ones", ALL, PRIMARY, 0, 0, 1, true, false,
	2},
    {"such a one, and the primary has been replaced since", ALL, PRIMARY, 0, 0,
	1, true, true, 0},
};

/*
 * Have a daemon read a record with members and former ones, as bits.
 */
static void
read_members(group_t *group, uint32_t members, uint32_t former, uint64_t era,
    uint64_t begun)
{
	Bp__RecordedMember *list[SERVERS], *former_list[SERVERS];
	Bp__FormerMembers set = BP__FORMER_MEMBERS__INIT, *sets[] = {&set};
	arena_t *arena = arena_new();
	int64_t now_us = clock_us();
	size_t count = 0;
	uint32_t i;

	set.until_term = 1;
	set.members = former_list;
	for (i = 0; i < group->count; i++) {
		Bp__RecordedMember *member =
		    group_server_write(arena, group->servers[i]);
		uint32_t bit = 1U << (group->servers[i]->id[2] - '0');

		if ((members & bit) != 0)
			list[count++] = member;
		if ((former & bit) != 0)
			former_list[set.n_members++] = member;
	}
	group_former_keep(group, era, begun);
	group_former_recorded(group, sets, set.n_members > 0, 0, now_us);
	group_members_recorded(group, list, count, now_us);
	arena_free(arena);
}

/*
 * Test which members count besides those of the record after the store has come
 * back from an older copy, or the record was begun again.
 */
static void
test_kept(gconstpointer data)
{
	const kept_case_t *c = data;
	bed_t bed;
	uint32_t i, sets = 0;
	group_t *group;

	bed_start(&bed);
	apply_list(bed.pool, ALL, 5);
	group = g_hash_table_lookup(bed.pool->groups, "ledger");
	read_members(group, c->first, c->former, 1, 1);
	read_members(
	    group, c->second, c->second_former, c->era, c->begun_again ? 2 : 1);
	if (c->replaced) {
		group->lease.orders =
		    (recorded_orders_t){.replaced_term = 1, .attempt_term = 2};
		lease_term_begun(&group->lease, 2);
	}
	group_former_update(group);
	for (i = 0; i < group->failover.former_count; i++)
		sets += !group->failover.former[i].open;
	g_assert_cmpuint(sets, ==, c->sets);
	bed_stop(&bed);
}

typedef struct open_case {
	const char *name;
	uint32_t first;        /* servers in the first list */
	bool just_started;     /* i-1 has, or else long before */
	uint32_t second;       /* servers in the next; the third has all */
	bool recorded;         /* the members are recorded then */
	uint32_t sets;         /* expected: sets besides the members */
	uint32_t known_to_all; /* expected: servers in the first of these */
	uint32_t sync_replicas;
} open_case_t;

static const open_case_t open_cases[] = {
    {"all have started long before", ALL, false, ALL, false, 1, ALL},
    {"one has just started", ALL, true, ALL, false, 1, ALL & ~REPLICA},
    {"one appears after the first list", ALL & ~REPLICA, false, ALL, false, 1,
	ALL & ~REPLICA},
    {"one is listed again", ALL, false, ALL & ~REPLICA, false, 1,
	ALL & ~REPLICA},
    {"the members are recorded", ALL, false, ALL, true, 0, 0},
    {"all have started long before, a replica holds each commit", ALL, false,
	ALL, false, 1, 0, 1},
};

/*
 * Test which servers a process that has just started takes as known to all
 * daemons, where no members are recorded.
 */
static void
test_open(gconstpointer data)
{
	const open_case_t *c = data;
	uint64_t born =
	    c->just_started ? (uint64_t)g_get_real_time() / US_PER_MS : 5;
	uint32_t i, known = 0;
	group_t *group;
	bed_t bed;

	bed_start(&bed);
	sync_replicas = c->sync_replicas;
	apply_list(bed.pool, c->first, born);
	apply_list(bed.pool, c->second, born);
	apply_list(bed.pool, ALL, born);
	group = g_hash_table_lookup(bed.pool->groups, "ledger");
	group->active = true;
	if (c->recorded)
		record_three(group);
	g_assert_cmpuint(group->failover.former_count, ==, c->sets);
	for (i = 0; i < SERVERS && c->sets > 0; i++) {
		char *id = g_strdup_printf("i-%u", i);

		if (group->failover.former[0]
			.member[server_find(group, id)->index])
			known |= 1U << i;
		g_free(id);
	}
	g_assert_cmphex(known, ==, c->known_to_all);
	sync_replicas = 0;
	bed_stop(&bed);
}

typedef struct divided_case {
	const char *name;
	/* servers that refuse the connections of most daemons, and have no
	   entries in the store */
	uint32_t refused;
	uint32_t reached; /* by the daemon that is alone */
	bool ordered;     /* expected: most daemons order another primary */
	bool leased; /* expected: the daemon that is alone has a lease then */
} divided_case_t;

static const divided_case_t divided_cases[] = {
    {"a daemon alone keeps its lease, the primary and a replica refuse others",
	PRIMARY | REPLICA, PRIMARY | REPLICA, false, true},
    {"a daemon alone keeps its lease, both replicas refuse others",
	REPLICA | OTHER, PRIMARY | REPLICA, false, true},
    {"a daemon alone loses its lease, the primary refuses others", PRIMARY, ALL,
	true, false},
};

/* Time in which an attempt orders another primary, if it does. */
#define ATTEMPT_MS 4000
#define TICK_STEP_MS 10

/*
 * Return a server of a group as a bit.
 */
static uint32_t
server_bit(const server_t *server)
{
	return 1U << (server->id[2] - '0');
}

/*
 * Have those servers of a group that a daemon reaches answer it.
 */
static void
answer(group_t *group, uint32_t reached, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		const server_t *server = group->servers[i];

		group->failover.views[i].likely_ended =
		    server_likely_ended(server, now_us);
		if ((server_bit(server) & reached) != 0)
			failover_alive(&group->failover, i, now_us);
	}
}

/*
 * Have those servers of a group that a daemon reaches promise the term of an
 * attempt, and note them in *promised, as bits.  Returns whether the attempt
 * orders another primary, before the daemon that is alone has confirmed that it
 * revoked its lease.
 */
static bool
attempt_orders(group_t *group, uint32_t reached, uint32_t *promised)
{
	failover_t *failover = &group->failover;
	int64_t began_us = clock_us(), at_ms;
	bool ordered = false;
	uint32_t i;

	for (at_ms = 0; at_ms < ATTEMPT_MS && !ordered; at_ms += TICK_STEP_MS) {
		int64_t now_us = began_us + MS(at_ms);
		failover_actions_t actions;

		answer(group, reached, now_us);
		failover_witness_answered(
		    failover, failover->witness_request, false, now_us);
		failover_tick(failover, now_us, &actions);
		for (i = 0; i < actions.count; i++) {
			const failover_action_t *action = &actions.list[i];
			uint32_t bit =
			    server_bit(group->servers[action->database]);
			db_view_t view = {true, false, false, action->term,
			    {1, 8}, now_us, .term = 1, .member = true};

			ordered |= action->kind == FAILOVER_PROMOTE;
			if (action->kind == FAILOVER_REVOKE_LEASES)
				failover_leases_revoked(
				    failover, action->term, false, now_us);
			if (action->kind != FAILOVER_FENCE ||
			    (bit & reached) == 0)
				continue;
			*promised |= bit;
			failover_fence_answered(failover, action->database,
			    action->term, true, &view, now_us);
		}
	}
	return ordered;
}

/*
 * Tell whether a daemon can continue its lease on the primary by the answers of
 * the servers that it reaches.  promised: those that have promised a newer
 * term.
 */
static bool
lease_continues(uint32_t reached, uint32_t promised)
{
	static const lease_duration_t durations = {MS(250), MS(2000), MS(1)};
	lease_t lease = {.orders.read_us = MS(60), .members = SERVERS};
	db_view_t views[SERVERS];
	uint32_t i;

	for (i = 0; i < SERVERS; i++)
		views[i] = (db_view_t){.known = true,
		    .primary = i == 0,
		    .promised = 1,
		    .requested_us = MS(50),
		    .term = 1,
		    .member = true};
	g_assert_true(
	    lease_renew(&lease, views, SERVERS, 0, MS(70), &durations));
	for (i = 0; i < SERVERS; i++) {
		if ((reached & (1U << i)) == 0)
			continue;
		views[i].requested_us = MS(200);
		if ((promised & (1U << i)) != 0)
			views[i].promised = 2;
	}
	return lease_renew(&lease, views, SERVERS, 0, MS(220), &durations);
}

/*
 * Test that most daemons, to which something between refuses the connections to
 * servers that run, do not order another primary on promises that leave the
 * lease of a daemon as it is that reaches those servers, and neither the store
 * nor the other daemons.
 */
static void
test_divided(gconstpointer data)
{
	const divided_case_t *c = data;
	failover_actions_t actions;
	uint32_t i, promised = 0;
	group_t *group;
	bed_t bed;

	bed_start(&bed);
	apply_list(bed.pool, ALL, 5);
	group = g_hash_table_lookup(bed.pool->groups, "ledger");
	group->active = true;
	group->failover.limits = test_limits;
	record_members(group);
	for (i = 0; i < SERVERS; i++)
		report(&group->failover, i, i == 0, 1, 0, clock_us());
	group_members_update(group);
	failover_tick(&group->failover, clock_us(), &actions);
	for (i = 0; i < SERVERS; i++) {
		if ((c->refused & (1U << i)) == 0)
			continue;
		monitor_connection_refused(group->servers[i]);
		monitor_connection_refused(group->servers[i]);
	}
	apply_list(bed.pool, ALL & ~c->refused, 5);
	g_test_message("%u servers, %u of %u members have ended", group->count,
	    group->failover.members_ended, group->failover.members);
	g_assert_cmpint(attempt_orders(group, ALL & ~c->refused, &promised), ==,
	    c->ordered);
	g_assert_cmpint(lease_continues(c->reached, promised), ==, c->leased);
	bed_stop(&bed);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	CASES("/members/listed", listed_cases, test_listed);
	CASES("/members/departed", departed_cases, test_departed);
	CASES("/members/new", new_cases, test_new);
	CASES("/members/known", known_cases, test_known);
	CASES("/members/written", written_cases, test_written);
	CASES("/members/sent", sent_cases, test_sent);
	CASES("/members/kept", kept_cases, test_kept);
	g_test_add_func("/members/era-of-the-store", test_store_era);
	CASES("/members/open", open_cases, test_open);
	CASES("/members/divided", divided_cases, test_divided);
	return g_test_run();
}
