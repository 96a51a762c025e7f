#include "../src/decide/daemon_record.h"
#include "../src/proxy/registry.h"
#include "cases.h"

#include <string.h>

/*
 * Tests of the records of the daemons: a record belongs to one process.  The
 * registries of two processes under one name, with a store that the test plays.
 */

/* Starts of two processes, and the address of the first. */
#define START 1733500000000
#define LATER (START + 60000)
#define ADDRESS "127.0.0.1:7001"
#define ELSEWHERE "127.0.0.1:7002"

/* Time after which an unchanged record is relied on no more. */
#define LAPSE_US (INT64_C(13) * G_USEC_PER_SEC)

typedef struct replace_case {
	const char *name;
	daemon_record_t record;
	int64_t unchanged_us;
	bool replaceable; /* expected, by a process of LATER at ADDRESS */
} replace_case_t;

static const replace_case_t replace_cases[] = {
    {"its own", {LATER, ADDRESS, true}, 0, true},
    {"of the process before it", {START, ADDRESS, true}, 0, true},
    {"of a former version, at its address", {0, ADDRESS, true}, 0, true},
    {"of the next process, at its address", {LATER + 1, ADDRESS, true}, 0,
	false},
    {"of another process", {START, ELSEWHERE, true}, 0, false},
    {"of another process, started later", {LATER + 1, ELSEWHERE, true}, 0,
	false},
    {"of a former version, elsewhere", {0, ELSEWHERE, true}, 0, false},
    {"of another process, nearly lapsed", {START, ELSEWHERE, true},
	LAPSE_US - 1, false},
    {"of another process, lapsed", {START, ELSEWHERE, true}, LAPSE_US, true},
    {"of another process without leases", {START, ELSEWHERE, false}, 0, true},
    {"not readable", {0, "", true}, 0, true},
};

/*
 * Test which record a process may write over.
 */
static void
test_replace(gconstpointer data)
{
	const replace_case_t *c = data;

	g_assert_cmpint(daemon_record_replaceable(&c->record, LATER, ADDRESS,
			    c->unchanged_us, LAPSE_US),
	    ==, c->replaceable);
}

/* A store with one record, which the test plays. */
typedef struct store {
	uint64_t revision; /* of the record; 0: there is none */
	uint64_t last_revision;
	Bp__DaemonRecord record;
} store_t;

static store_t store;

/*
 * Return the record that an object is.
 */
static Bp__DaemonRecord *
read_daemon(const object_t *object, arena_t *arena)
{
	return (Bp__DaemonRecord *)message_copy(
	    arena, &((const Bp__DaemonRecord *)object->content)->base);
}

/*
 * Answer a call with the record, if there is one.
 */
static void
answer(object_store_status_t status, object_store_cb callback, void *context)
{
	object_t object = {.name = store.record.name,
	    .revision = store.revision,
	    .content = &store.record};
	object_store_response_t response = {
	    status, &object, store.revision != 0, store.last_revision};

	callback(context, &response);
}

/*
 * Write the record, if it has the revision.
 */
static void
put_daemon(object_store_t *objects, uint64_t revision,
    const Bp__DaemonRecord *record, object_store_cb callback, void *context)
{
	(void)objects;
	if (revision != store.revision) {
		answer(store.revision == 0 ? OBJECT_STORE_NOT_FOUND
					   : OBJECT_STORE_CONFLICT,
		    callback, context);
		return;
	}
	store.revision = ++store.last_revision;
	store.record = *record;
	answer(OBJECT_STORE_OK, callback, context);
}

/*
 * List the record.
 */
static void
list_daemons(object_store_t *objects, object_kind_t kind, object_age_t age,
    object_store_cb callback, void *context)
{
	(void)objects;
	(void)kind;
	(void)age;
	answer(OBJECT_STORE_OK, callback, context);
}

/*
 * Remove the record, if it has the revision.
 */
static void
remove_daemon(object_store_t *objects, object_kind_t kind, const char *name,
    uint64_t revision, object_store_cb callback, void *context)
{
	bool found = revision == store.revision;

	(void)objects;
	(void)kind;
	(void)name;
	if (found)
		store.revision = 0;
	answer(
	    found ? OBJECT_STORE_OK : OBJECT_STORE_CONFLICT, callback, context);
}

static const object_store_ops_t store_ops = {.put_daemon = put_daemon,
    .list = list_daemons,
    .remove = remove_daemon,
    .read_daemon = read_daemon};

/* The registry of a process, whose other tasks are fakes. */
typedef struct bed {
	Bp__ProxySettings settings;
	proxy_t proxy;
	registry_t *registry;
} bed_t;

/*
 * Drop a message.
 */
static void
drop(void *context, msg_t *msg)
{
	(void)context;
	msg_free(msg);
}

static const task_handler_t drop_handlers[] = {
    {&bp__daemons_counted__descriptor, drop},
    {&bp__daemons_listed__descriptor, drop},
};
static const task_ops_t host_ops = {"host", NULL, NULL, NULL, 0};
static const task_ops_t drop_ops = {
    "drop", NULL, NULL, drop_handlers, G_N_ELEMENTS(drop_handlers)};

/*
 * Start a process.
 */
static void
bed_start(bed_t *bed, task_t *host, uint64_t start, const char *address)
{
	*bed = (bed_t){.proxy = {.settings = &bed->settings,
			   .start = start,
			   .objects = &store_ops}};
	bp__proxy_settings__init(&bed->settings);
	bed->settings.name = (char *)"vm-a-1";
	bed->settings.zone = (char *)"a";
	bed->settings.peer_address = (char *)address;
	bed->proxy.pool = task_new_hosted(&drop_ops, NULL, host);
	bed->proxy.router = task_new_hosted(&drop_ops, NULL, host);
	bed->registry = registry_new(&bed->proxy);
	bed->registry->task = host;
	daemons_init(bed->registry);
	daemons_start(bed->registry);
}

/*
 * Stop and free a process, which has left its record.
 */
static void
bed_stop(bed_t *bed)
{
	daemons_stop(bed->registry);
	registry_free(bed->registry);
	task_free(bed->proxy.pool);
	task_free(bed->proxy.router);
}

/*
 * Handle what is due until a time has passed.
 */
static void
run(task_t *host, int64_t time_ms)
{
	int64_t end_us = clock_us() + time_ms * US_PER_MS;

	while (clock_us() < end_us) {
		while (g_main_context_iteration(task_main_context(host), FALSE))
			;
		g_usleep(US_PER_MS);
	}
}

/* Time in which two heartbeats of a process are due. */
#define TICKS_MS 6500

typedef struct name_case {
	const char *name;
	const char *address; /* of the second process */
	bool idle;           /* the first one holds no leases */
	bool leaves;         /* the first one leaves */
	bool second;         /* expected: the record is the second one's */
} name_case_t;

static const name_case_t name_cases[] = {
    {"at its address", ADDRESS, false, false, true},
    {"elsewhere", ELSEWHERE, false, false, false},
    {"elsewhere, the first one holds no leases", ELSEWHERE, true, false, true},
    {"elsewhere, the first one leaves", ELSEWHERE, false, true, true},
};

/*
 * Test that at most one of two processes under one name counts as listed: the
 * one that the record names.
 */
static void
test_name(gconstpointer data)
{
	const name_case_t *c = data;
	task_t *host = task_new(&host_ops, NULL);
	bed_t first, second;

	store = (store_t){0};
	bed_start(&first, host, START, ADDRESS);
	g_assert_cmpint(first.registry->record_listed_us, !=, 0);
	if (c->idle) {
		msg_t *msg = msg_new(&bp__leases_needed__descriptor);

		((Bp__LeasesNeeded *)msg->body)->needed = false;
		daemons_leases_needed(first.registry, msg);
		first.registry->heartbeat_acked_us = 0;
		run(host, 1500);
		g_assert_false(store.record.leases);
	}
	bed_start(&second, host, LATER, c->address);
	if (c->leaves)
		daemons_deregister(first.registry);
	run(host, TICKS_MS);
	g_assert_cmpuint(store.revision, !=, 0);
	g_assert_cmpuint(store.record.start, ==, c->second ? LATER : START);
	g_assert_cmpint(second.registry->record_listed_us != 0, ==, c->second);
	g_assert_cmpint(first.registry->record_listed_us != 0, ==, !c->second);
	bed_stop(&first);
	bed_stop(&second);
	task_free(host);
}

typedef struct last_listed_case {
	const char *name;
	const char *address; /* in the record that the store has now */
	uint32_t asked;      /* expected: processes that are asked */
} last_listed_case_t;

static const last_listed_case_t last_listed_cases[] = {
    {"one process", ADDRESS, 1},
    {"another process under its name", ELSEWHERE, 2},
};

/*
 * Test that after a return of the store from an older copy both the processes
 * that it lists and those that were listed before are asked to revoke.
 */
static void
test_last_listed(gconstpointer data)
{
	const last_listed_case_t *c = data;
	task_t *host = task_new(&host_ops, NULL);
	msg_t *msg = msg_new(&bp__revoke_wanted__descriptor);
	Bp__DaemonRecord record;
	object_t object = {.revision = 1, .content = &record};
	object_store_response_t response = {OBJECT_STORE_OK, &object, 1, 1};
	bed_t bed;

	store = (store_t){0};
	bed_start(&bed, host, START, ADDRESS);
	daemons_stop(bed.registry);
	daemons_init(bed.registry);
	record = store.record;
	record.address = (char *)c->address;
	bed.registry->records_lost_us = clock_us();
	daemons_add_listed(bed.registry, msg, &response);
	g_assert_cmpuint(
	    ((const Bp__RevokeWanted *)msg->body)->n_daemons, ==, c->asked);
	msg_free(msg);
	bed_stop(&bed);
	task_free(host);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* run every case */
	CASES("/daemons/replace", replace_cases, test_replace);
	CASES("/daemons/name", name_cases, test_name);
	CASES("/daemons/last-listed", last_listed_cases, test_last_listed);
	return g_test_run();
}
