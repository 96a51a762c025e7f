#include "cases.h"
#include "fake/testbed.h"

#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <string.h>

/*
 * Tests that an order to replace a primary stays in force, and the entries that
 * it gave up stay gone, when those that knew of it are gone, with proxy
 * processes and a fake platform.
 */

#define DATABASES 3
#define READY_TIMEOUT_MS 10000

/* Time until the daemons are listed, and the list of the servers is not new. */
#define LISTED_MS 4500

#define PROMOTION_MS 8000
#define REPLICATED_MS 300

/* Time in which clients call, and what they may then see is checked. */
#define CALLS_MS 5000

/* Time in which writes are acknowledged once the newest primary is back. */
#define RECOVERY_MS 16000

/* Time after which a call without an answer is given up. */
#define CALL_TIMEOUT_MS 5000

/* A client that writes and reads in turn through a proxy. */
typedef struct caller {
	client_t *client; /* NULL: not connected */
	char *call; /* value written, or item read, without an answer yet */
	int64_t called_us;
	bool writes; /* it is a write */
	bool paused; /* its proxy is stopped: it makes no calls */
} caller_t;

/* The clients, one for each proxy. */
typedef struct callers {
	testbed_t *testbed;
	caller_t list[TESTBED_PROXIES_MAX];
	uint32_t calls;
	uint32_t writes_done;
	GPtrArray *done; /* values and items of the calls that succeeded */
} callers_t;

/*
 * Create the clients of a testbed, which are not connected yet.
 */
static callers_t *
callers_new(testbed_t *testbed)
{
	callers_t *callers = g_new0(callers_t, 1);

	callers->testbed = testbed;
	callers->done = g_ptr_array_new_with_free_func(g_free);
	return callers;
}

/*
 * Close the connection of a client.
 */
static void
caller_close(caller_t *caller)
{
	client_close(caller->client);
	caller->client = NULL;
	g_clear_pointer(&caller->call, g_free);
}

/*
 * Have a client make no calls, as its proxy is to be stopped.
 */
static void
caller_pause(callers_t *callers, uint32_t proxy)
{
	caller_close(&callers->list[proxy]);
	callers->list[proxy].paused = true;
}

/*
 * Close the connections of all clients and free them.
 */
static void
callers_free(callers_t *callers)
{
	uint32_t i;

	for (i = 0; i < callers->testbed->plan.proxies; i++)
		caller_close(&callers->list[i]);
	g_ptr_array_unref(callers->done);
	g_free(callers);
}

/*
 * Have a client make its next call.
 */
static void
caller_call(callers_t *callers, caller_t *caller)
{
	uint32_t n = callers->calls++;
	char *text;

	caller->writes = !caller->writes;
	caller->call =
	    g_strdup_printf("%s%u", caller->writes ? "value" : "item", n);
	caller->called_us = g_get_monotonic_time();
	text = g_strdup_printf(
	    "%s%s", caller->writes ? "WRITE k " : "READ ", caller->call);
	if (!client_send_query(caller->client, text))
		caller_close(caller);
	g_free(text);
}

/*
 * Read a line of the answer to a client's call, if there is one.
 */
static void
caller_read(callers_t *callers, caller_t *caller)
{
	char *line = client_read_line(caller->client, 1);

	if (line == NULL) {
		if (g_get_monotonic_time() - caller->called_us >=
		    CALL_TIMEOUT_MS * G_TIME_SPAN_MILLISECOND)
			caller_close(caller);
		return;
	}
	if (g_str_has_prefix(line, "DONE ")) {
		g_ptr_array_add(callers->done, g_strdup(caller->call));
		callers->writes_done += caller->writes;
	} else if (g_str_has_prefix(line, "READY")) {
		g_clear_pointer(&caller->call, g_free);
	}
	g_free(line);
}

/*
 * Have the clients call until a time, or until a write has succeeded if
 * until_written is set.  Returns whether a write has succeeded.
 */
static bool
callers_run(callers_t *callers, int64_t end_us, bool until_written)
{
	uint32_t i, before = callers->writes_done;

	while (g_get_monotonic_time() < end_us &&
	    !(until_written && callers->writes_done > before)) {
		for (i = 0; i < callers->testbed->plan.proxies; i++) {
			caller_t *caller = &callers->list[i];

			if (caller->client == NULL && !caller->paused)
				caller->client = client_open_session(
				    callers->testbed, i, "intake");
			if (caller->client == NULL)
				continue;
			if (caller->call == NULL)
				caller_call(callers, caller);
			else
				caller_read(callers, caller);
		}
		g_usleep(G_TIME_SPAN_MILLISECOND);
	}
	return callers->writes_done > before;
}

/*
 * Have the clients call until a write has succeeded that was sent after this
 * call.  Returns false after a timeout.
 */
static bool
callers_write(callers_t *callers, int64_t timeout_ms)
{
	uint32_t i;

	for (i = 0; i < callers->testbed->plan.proxies; i++)
		caller_close(&callers->list[i]);
	return callers_run(callers,
	    g_get_monotonic_time() + timeout_ms * G_TIME_SPAN_MILLISECOND,
	    true);
}

/*
 * Test that no call succeeded at a primary that had been replaced, and that no
 * database was promoted with entries that an earlier promotion had given up.
 */
static void
check_kept(callers_t *callers)
{
	char *outdated = testbed_get(callers->testbed, "/outdated");
	char *revived = testbed_get(callers->testbed, "/revived");
	char *promoted = testbed_get(callers->testbed, "/promoted");
	uint32_t i, seen = 0;

	for (i = 0; i < callers->done->len; i++) {
		char *call = g_strdup_printf(
		    " %s ", (char *)g_ptr_array_index(callers->done, i));

		if (strstr(outdated, call) != NULL && seen++ == 0)
			g_test_message("succeeded at an old primary:%s", call);
		g_free(call);
	}
	g_test_message("%u calls succeeded, %u of them at an old primary; "
		       "promoted:%s, with given up entries:%s",
	    callers->done->len, seen, promoted, revived);
	g_assert_cmpuint(seen, ==, 0);
	g_assert_cmpstr(revived, ==, " ");
	g_free(promoted);
	g_free(revived);
	g_free(outdated);
}

/*
 * Inject a fault into each of the databases.
 */
static void
all_databases(testbed_t *testbed, const char *fault)
{
	int32_t i;

	for (i = 0; i < DATABASES; i++)
		testbed_inject_fault(testbed, "database", fault, i);
}

/*
 * Start the testbed, and wait until all daemons are listed.
 */
static testbed_t *
start_testbed(void)
{
	testbed_plan_t plan = {.proxies = 3, .lag_ms = 5};
	testbed_t *testbed = testbed_start(&plan);

	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	g_usleep(LISTED_MS * G_TIME_SPAN_MILLISECOND);
	return testbed;
}

/*
 * Wait until one of two databases leads a term, and return it.  term: the term
 * and a blank.
 */
static int32_t
wait_promoted(const testbed_t *testbed, int32_t a, int32_t b, const char *term)
{
	int64_t end_us =
	    g_get_monotonic_time() + PROMOTION_MS * G_TIME_SPAN_MILLISECOND;
	char *a_leads = g_strdup_printf(" i-%d.%s", a, term);
	char *b_leads = g_strdup_printf(" i-%d.%s", b, term);
	int32_t promoted = -1;

	while (promoted < 0 && g_get_monotonic_time() < end_us) {
		char *all = testbed_get(testbed, "/promoted");

		if (strstr(all, a_leads) != NULL)
			promoted = a;
		else if (strstr(all, b_leads) != NULL)
			promoted = b;
		g_free(all);
		g_usleep(20 * G_TIME_SPAN_MILLISECOND);
	}
	g_assert_cmpint(promoted, >=, 0);
	g_free(b_leads);
	g_free(a_leads);
	return promoted;
}

/*
 * Kill a proxy.
 */
static void
kill_proxy(callers_t *callers, uint32_t proxy)
{
	caller_close(&callers->list[proxy]);
	fleet_process_kill(&callers->testbed->proxies[proxy]);
}

/*
 * Kill all proxies.
 */
static void
kill_proxies(callers_t *callers)
{
	uint32_t i;

	for (i = 0; i < callers->testbed->plan.proxies; i++)
		kill_proxy(callers, i);
}

/*
 * Start all proxies.
 */
static void
start_proxies(testbed_t *testbed)
{
	uint32_t i;

	for (i = 0; i < testbed->plan.proxies; i++)
		testbed_proxy_start(testbed, i);
}

/*
 * Have everything reached again, and test that writes succeed.
 */
static void
check_recovery(callers_t *callers)
{
	all_databases(callers->testbed, "heal");
	all_databases(callers->testbed, "hear");
	all_databases(callers->testbed, "list");
	g_assert_true(callers_write(callers, RECOVERY_MS));
	check_kept(callers);
	callers_free(callers);
}

typedef struct pause_case {
	const char *name;
	bool successor;     /* it is paused; otherwise the other replica */
	bool restarts;      /* it restarts */
	const char *pause;  /* before the promotion to term 2 */
	const char *expect; /* its status afterwards */
} pause_case_t;

static const pause_case_t pause_cases[] = {
    {"for the new term", false, false, "PAUSE 2", "ROW replica 2 1.0 0 "},
    {"for a newer term", false, false, "PAUSE 9", "ROW replica 1 1.0 9 "},
    {"of the successor", true, false, "PAUSE 9", "ROW primary 2 1.0 0 "},
    {"for a newer term, and a restart", false, true, "PAUSE 9",
	"ROW replica 2 1.0 0 "},
};

/*
 * Test that a promotion in the fake platform ends the pauses that one in the
 * platform ends.
 */
static void
test_pauses(gconstpointer data)
{
	const pause_case_t *c = data;
	testbed_plan_t plan = {.lag_ms = 5};
	testbed_t *testbed = testbed_start(&plan);
	int32_t paused = c->successor ? 1 : 2;
	client_t *client =
	    client_connect(testbed->first_database_port + (uint32_t)paused);
	char *url = g_strdup_printf(
	    "http://127.0.0.1:%u/promote", testbed->platform.port);

	client_send(client, "START ledger test\r\n", 19);
	g_free(client_read_line(client, CALL_TIMEOUT_MS));
	client_expect(client, c->pause, "ROW replica 1 1.0 ");
	g_assert_cmpuint(http_call("POST", url,
			     "{\"backend\":\"ledger\",\"id\":\"i-1\"}", NULL),
	    ==, 200);
	g_assert_cmpint(wait_promoted(testbed, 1, 2, "2 "), ==, 1);
	if (c->restarts) {
		client_close(client);
		testbed_inject_fault(testbed, "database", "crash", paused);
		testbed_inject_fault(testbed, "database", "return", paused);
		client = client_connect(
		    testbed->first_database_port + (uint32_t)paused);
		client_send(client, "START ledger test\r\n", 19);
		g_free(client_read_line(client, CALL_TIMEOUT_MS));
	}
	g_usleep(REPLICATED_MS * G_TIME_SPAN_MILLISECOND);
	client_expect(client, "STATUS", c->expect);
	client_close(client);
	g_free(url);
	testbed_stop(testbed);
}

/* Databases in the cases of a replaced primary. */
enum { OLD_PRIMARY, SUCCESSOR, OTHER };

#define NEVER (-1)

typedef struct restart_case {
	const char *name;
	/* when the databases are listed after the return of the store */
	int32_t listed_ms[DATABASES];
	/* when the proxies are started, from the return of the store */
	int32_t started_ms;
	/* how the other replica has restarted; NULL: it has not */
	const char *other;
} restart_case_t;

static const restart_case_t restart_cases[] = {
    {"the list is complete", {0, 0, 0}, -500},
    {"the list is complete, and the daemons start after it", {0, 0, 0}, 300},
    {"the old primary is listed alone at first", {0, 1500, 1500}, -500},
    {"the old primary is listed alone, and the daemons start after it",
	{0, 1500, 1000}, 100},
    {"the successor is not listed", {0, NEVER, 0}, -500},
    {"the successor is not listed, and the daemons start after it",
	{0, NEVER, 0}, 300},
    {"the record is read before a server is listed", {700, NEVER, 1400}, -1000},
    {"the record is read before a server is listed, the successor last",
	{700, 1900, 700}, -1000},
    {"the other replica has restarted", {0, 0, 0}, -500, "renewed"},
    {"the other replica has restarted, and the successor is not listed",
	{0, NEVER, 0}, 300, "renewed"},
    {"the other replica is empty, and the successor is not listed",
	{0, NEVER, 0}, 300, "reborn"},
};

/*
 * Have the store return, and then the databases be listed and the daemons
 * started as a case says, while the clients call.
 */
static void
return_store(callers_t *callers, const restart_case_t *c,
    const int32_t databases[DATABASES])
{
	testbed_t *testbed = callers->testbed;
	int64_t return_us;
	int32_t ms, i;

	if (c->started_ms < 0) {
		start_proxies(testbed);
		g_usleep(-c->started_ms * G_TIME_SPAN_MILLISECOND);
	}
	testbed_inject_fault(testbed, "store", "up", -1);
	return_us = g_get_monotonic_time();
	for (ms = 0; ms < CALLS_MS; ms += 50) {
		if (c->started_ms == ms)
			start_proxies(testbed);
		for (i = 0; i < DATABASES; i++) {
			if (ms > 0 && c->listed_ms[i] == ms)
				testbed_inject_fault(
				    testbed, "database", "list", databases[i]);
		}
		callers_run(callers,
		    return_us + (ms + 50) * G_TIME_SPAN_MILLISECOND, false);
	}
}

/*
 * Test that an order that was sent while the store was away holds after all
 * daemons have restarted: the old primary, which is reached again, has no call
 * succeed.  The successor is not reached any more, and the other replica has
 * not heard of it.
 */
static void
test_restart(gconstpointer data)
{
	const restart_case_t *c = data;
	testbed_t *testbed = start_testbed();
	callers_t *callers = callers_new(testbed);
	int32_t databases[DATABASES] = {0}, i;

	all_databases(testbed, "deaf");
	/* an entry that the promotion gives up */
	g_assert_true(callers_write(callers, PROMOTION_MS));
	testbed_inject_fault(testbed, "store", "busy", -1);
	testbed_inject_fault(testbed, "database", "cut", 0);
	databases[SUCCESSOR] = wait_promoted(testbed, 1, 2, "2 ");
	databases[OTHER] = 3 - databases[SUCCESSOR];
	g_assert_true(callers_write(callers, PROMOTION_MS));
	kill_proxies(callers);
	for (i = 0; i < DATABASES; i++) {
		if (c->listed_ms[i] != 0)
			testbed_inject_fault(
			    testbed, "database", "unlist", databases[i]);
	}
	if (c->other != NULL) {
		testbed_inject_fault(
		    testbed, "database", "crash", databases[OTHER]);
		testbed_inject_fault(
		    testbed, "database", c->other, databases[OTHER]);
	}
	testbed_inject_fault(testbed, "database", "cut", databases[SUCCESSOR]);
	testbed_inject_fault(testbed, "database", "heal", 0);
	return_store(callers, c, databases);
	check_kept(callers);
	check_recovery(callers);
	testbed_stop(testbed);
}

static const restart_case_t no_order_cases[] = {
    {"the list is complete", {0, 0, 0}, -500},
    {"a replica is not listed", {0, NEVER, 0}, 300},
    {"the record is read before a server is listed", {700, 700, 1400}, -1000},
};

/*
 * Test that the primary serves again after an outage of the store in which no
 * order was sent and all daemons restarted.
 */
static void
test_no_order(gconstpointer data)
{
	const restart_case_t *c = data;
	const int32_t databases[DATABASES] = {0, 1, 2};
	testbed_t *testbed = start_testbed();
	callers_t *callers = callers_new(testbed);
	int32_t i;
	char *promoted;

	testbed_inject_fault(testbed, "store", "busy", -1);
	kill_proxies(callers);
	for (i = 0; i < DATABASES; i++) {
		if (c->listed_ms[i] != 0)
			testbed_inject_fault(
			    testbed, "database", "unlist", databases[i]);
	}
	return_store(callers, c, databases);
	g_assert_true(callers_write(callers, RECOVERY_MS));
	promoted = testbed_get(testbed, "/promoted");
	g_assert_cmpstr(promoted, ==, " ");
	g_free(promoted);
	callers_free(callers);
	testbed_stop(testbed);
}

typedef struct stopped_case {
	const char *name;
	bool listed; /* the successor, after the return of the store */
	bool told;   /* of the order, before the daemon is stopped */
} stopped_case_t;

static const stopped_case_t stopped_cases[] = {
    {"before the order", true, false},
    {"before the order, and the successor is not listed", false, false},
    {"after the order, and the successor is not listed", false, true},
};

/*
 * Test that an order that was sent while the store was away holds in a daemon
 * that was stopped meanwhile, and goes on after the others, which knew of the
 * order, have ended and the store is back.
 */
static void
test_stopped(gconstpointer data)
{
	const stopped_case_t *c = data;
	testbed_t *testbed = start_testbed();
	callers_t *callers = callers_new(testbed);
	uint32_t stopped = (testbed_coordinator(testbed) + 1) % 3, i;
	int32_t successor;

	all_databases(testbed, "deaf");
	g_assert_true(callers_write(callers, PROMOTION_MS));
	testbed_inject_fault(testbed, "store", "busy", -1);
	if (!c->told) {
		caller_pause(callers, stopped);
		fleet_process_signal(&testbed->proxies[stopped], SIGSTOP);
	}
	testbed_inject_fault(testbed, "database", "cut", 0);
	successor = wait_promoted(testbed, 1, 2, "2 ");
	if (c->told) {
		g_assert_true(callers_write(callers, PROMOTION_MS));
		caller_pause(callers, stopped);
		fleet_process_signal(&testbed->proxies[stopped], SIGSTOP);
	}
	for (i = 0; i < testbed->plan.proxies; i++) {
		if (i != stopped)
			kill_proxy(callers, i);
	}
	if (!c->listed)
		testbed_inject_fault(testbed, "database", "unlist", successor);
	testbed_inject_fault(testbed, "database", "cut", successor);
	testbed_inject_fault(testbed, "database", "heal", 0);
	testbed_inject_fault(testbed, "store", "up", -1);
	fleet_process_signal(&testbed->proxies[stopped], SIGCONT);
	callers->list[stopped].paused = false;
	callers_run(callers,
	    g_get_monotonic_time() + CALLS_MS * G_TIME_SPAN_MILLISECOND, false);
	check_kept(callers);
	for (i = 0; i < testbed->plan.proxies; i++) {
		if (i != stopped)
			testbed_proxy_start(testbed, i);
	}
	check_recovery(callers);
	testbed_stop(testbed);
}

typedef struct log_case {
	const char *name;
	bool crashes; /* the old primary crashes, and comes back as a replica */
	bool coordinator_alone; /* restarts; otherwise all daemons do */
} log_case_t;

static const log_case_t log_cases[] = {
    {"the old primary was cut off", false},
    {"the old primary had crashed", true},
    {"the old primary was cut off, the coordinator restarts", false, true},
    {"the old primary had crashed, the coordinator restarts", true, true},
};

/*
 * Test that entries that an unrecorded order gave up do not come back after the
 * daemons that knew of it have restarted.  The old primary has them; the log of
 * the other replica ends before that of the successor, which is not reached any
 * more.
 */
static void
test_given_up(gconstpointer data)
{
	const log_case_t *c = data;
	testbed_t *testbed = start_testbed();
	callers_t *callers = callers_new(testbed);
	uint32_t coordinator = testbed_coordinator(testbed), i;

	testbed_inject_fault(testbed, "database", "deaf", 2);
	g_assert_true(callers_write(callers, PROMOTION_MS));
	g_usleep(REPLICATED_MS * G_TIME_SPAN_MILLISECOND);
	all_databases(testbed, "deaf");
	g_assert_true(callers_write(callers, PROMOTION_MS));
	testbed_inject_fault(testbed, "store", "busy", -1);
	testbed_inject_fault(
	    testbed, "database", c->crashes ? "crash" : "cut", 0);
	g_assert_cmpint(wait_promoted(testbed, 1, 2, "2 "), ==, 1);
	g_assert_true(callers_write(callers, PROMOTION_MS));
	for (i = 0; i < testbed->plan.proxies; i++) {
		if (!c->coordinator_alone || i == coordinator)
			kill_proxy(callers, i);
	}
	testbed_inject_fault(testbed, "database", "cut", 1);
	testbed_inject_fault(
	    testbed, "database", c->crashes ? "renewed" : "heal", 0);
	testbed_inject_fault(testbed, "store", "up", -1);
	for (i = 0; i < testbed->plan.proxies; i++) {
		if (!c->coordinator_alone || i == coordinator)
			testbed_proxy_start(testbed, i);
	}
	/* until a promotion by a coordinator that waits for earlier orders */
	callers_run(callers,
	    g_get_monotonic_time() + RECOVERY_MS * G_TIME_SPAN_MILLISECOND,
	    true);
	check_kept(callers);
	check_recovery(callers);
	testbed_stop(testbed);
}

/*
 * Test that no database is promoted if all that answer have entries that a
 * promotion gave up, and that the newest primary serves when it is back.
 */
static void
test_no_candidate(void)
{
	testbed_t *testbed = start_testbed();
	callers_t *callers = callers_new(testbed);
	char *before, *after;
	int32_t second, third;

	g_assert_true(callers_write(callers, PROMOTION_MS));
	g_usleep(REPLICATED_MS * G_TIME_SPAN_MILLISECOND);
	all_databases(testbed, "deaf");
	g_assert_true(callers_write(callers, PROMOTION_MS));
	testbed_inject_fault(testbed, "database", "cut", 0);
	second = wait_promoted(testbed, 1, 2, "2 ");
	third = 3 - second;
	g_assert_true(callers_write(callers, PROMOTION_MS));
	testbed_inject_fault(testbed, "database", "cut", second);
	testbed_inject_fault(testbed, "database", "heal", 0);
	g_assert_cmpint(wait_promoted(testbed, 0, third, "3 "), ==, third);
	g_assert_true(callers_write(callers, PROMOTION_MS));
	testbed_inject_fault(testbed, "database", "cut", third);
	testbed_inject_fault(testbed, "database", "heal", second);
	before = testbed_get(testbed, "/promoted");
	callers_run(callers,
	    g_get_monotonic_time() + CALLS_MS * G_TIME_SPAN_MILLISECOND, false);
	check_kept(callers);
	/* the others have not followed it, so none of them can take over */
	testbed_inject_fault(testbed, "database", "heal", third);
	g_assert_true(callers_write(callers, RECOVERY_MS));
	after = testbed_get(testbed, "/promoted");
	g_assert_cmpstr(before, ==, after);
	g_free(before);
	g_free(after);
	check_recovery(callers);
	testbed_stop(testbed);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* run every case */
	curl_global_init(CURL_GLOBAL_ALL);
	CASES("/forgotten/pauses", pause_cases, test_pauses);
	CASES("/forgotten/restart", restart_cases, test_restart);
	CASES("/forgotten/no-order", no_order_cases, test_no_order);
	CASES("/forgotten/stopped", stopped_cases, test_stopped);
	CASES("/forgotten/given-up", log_cases, test_given_up);
	g_test_add_func("/forgotten/no-candidate", test_no_candidate);
	return g_test_run();
}
