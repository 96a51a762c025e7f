#include "../src/proxy/proxy.h"
#include "cases.h"
#include "fake/testbed.h"

#include <curl/curl.h>
#include <glib.h>
#include <string.h>

/*
 * Tests of daemons between which something refuses or resets the connections
 * while all of them reach the store, with proxy processes and a fake platform.
 * t_unheard.c has what one of them may conclude.
 */

#define PROXIES 3
#define DATABASES 3
#define PRIMARY 0
#define READY_TIMEOUT_MS 10000

/* Time until the daemons are listed, and the list of the servers is not new. */
#define LISTED_MS 4500

/* Time in which all proxies serve writes once nothing disturbs them. */
#define SERVED_MS 5000

/* Default settings of the proxies. */
#define LEASE_MS 2000
#define SUSPECT_MS 450

/* Interval at which daemons are asked again whose connections have ended. */
#define RETRY_MS 200

/* Time from an order to its effect. */
#define EFFECT_MS 200

/* Allowance for statements, probes of the databases and a busy machine. */
#define SLACK_MS 1000

/*
 * Longest time of a failover without the wait for leases: until the primary is
 * suspected, the first order may be sent, and the order takes effect.
 */
#define FAILOVER_MS \
	(SUSPECT_MS + FIRST_ORDER_DELAY_US / US_PER_MS + EFFECT_MS + SLACK_MS)

/* Time between two writes of a client, and the limit for an answer. */
#define WRITE_INTERVAL_MS 5
#define WRITE_TIMEOUT_MS 300

/* Refuses or resets the connections of a proxy to another one. */
typedef void (*daemon_fault_t)(
    testbed_t *, uint32_t proxy, uint32_t other, bool on);

/* A client that writes through one proxy in a thread of its own. */
typedef struct writer {
	testbed_t *testbed;
	uint32_t proxy;
	GThread *thread;
	int32_t stop;            /* atomic */
	GPtrArray *acknowledged; /* values of the writes that succeeded */
	int64_t first_done_us;   /* 0: none has */
	int64_t last_done_us;
} writer_t;

/*
 * Write until told to stop.
 */
static gpointer
writer_run(gpointer context)
{
	writer_t *writer = context;
	client_t *client = NULL;
	uint32_t n;

	for (n = 0; g_atomic_int_get(&writer->stop) == 0; n++) {
		char *value = g_strdup_printf("p%uv%u", writer->proxy, n);
		char *text = g_strdup_printf("WRITE k %s", value);
		char *answer = NULL;

		if (client == NULL)
			client = client_open_session(
			    writer->testbed, writer->proxy, "intake");
		if (client != NULL)
			answer = client_query(client, text, WRITE_TIMEOUT_MS);
		if (answer != NULL && g_str_has_prefix(answer, "DONE")) {
			g_ptr_array_add(writer->acknowledged,
			    g_strdup_printf(" %s ", value));
			writer->last_done_us = g_get_monotonic_time();
			if (writer->first_done_us == 0)
				writer->first_done_us = writer->last_done_us;
		} else {
			client_close(client);
			client = NULL;
		}
		g_free(answer);
		g_free(text);
		g_free(value);
		g_usleep(WRITE_INTERVAL_MS * US_PER_MS);
	}
	client_close(client);
	return NULL;
}

/*
 * Start to write through a proxy.
 */
static writer_t *
writer_start(testbed_t *testbed, uint32_t proxy)
{
	writer_t *writer = g_new0(writer_t, 1);

	writer->testbed = testbed;
	writer->proxy = proxy;
	writer->acknowledged = g_ptr_array_new_with_free_func(g_free);
	writer->thread = g_thread_new("writer", writer_run, writer);
	return writer;
}

/*
 * End the writes.
 */
static void
writer_stop(writer_t *writer)
{
	if (writer->thread == NULL)
		return;
	g_atomic_int_set(&writer->stop, 1);
	g_thread_join(writer->thread);
	writer->thread = NULL;
}

/*
 * Free a writer.
 */
static void
writer_free(writer_t *writer)
{
	writer_stop(writer);
	g_ptr_array_unref(writer->acknowledged);
	g_free(writer);
}

/*
 * Start the processes, and wait until the daemons are listed and serve writes.
 */
static testbed_t *
processes_start(void)
{
	testbed_plan_t plan = {.proxies = PROXIES,
	    .databases = DATABASES,
	    .lag_ms = 5,
	    .store_ports = true,
	    .own_relays = true};
	testbed_t *testbed = testbed_start(&plan);
	uint32_t i;

	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	g_usleep(LISTED_MS * US_PER_MS);
	for (i = 0; i < PROXIES; i++)
		g_assert_true(testbed_write_served(testbed, i, SERVED_MS));
	return testbed;
}

/*
 * End the primary.  Its port refuses connections.
 */
static void
crash_primary(testbed_t *testbed)
{
	uint32_t i;

	testbed_inject_fault(testbed, "database", "crash", PRIMARY);
	for (i = 0; i < PROXIES; i++)
		testbed_refuse(testbed, i, PRIMARY, true);
}

/*
 * Return whether a promotion has taken effect.
 */
static bool
was_promoted(const testbed_t *testbed)
{
	char *promoted = testbed_get(testbed, "/promoted");
	bool found = strcmp(promoted, " ") != 0;

	g_free(promoted);
	return found;
}

/*
 * Wait until a promotion has taken effect.  Returns the time that it took, or
 * -1 after the time limit.
 */
static int64_t
wait_promoted(const testbed_t *testbed, int64_t limit_ms)
{
	int64_t began_us = g_get_monotonic_time();

	while (!was_promoted(testbed)) {
		if (g_get_monotonic_time() - began_us > limit_ms * US_PER_MS)
			return -1;
		g_usleep(5 * US_PER_MS);
	}
	return (g_get_monotonic_time() - began_us) / US_PER_MS;
}

/*
 * Test that no write was acknowledged by a primary that had been replaced.
 */
static void
check_one_primary(const testbed_t *testbed, const writer_t *writer)
{
	char *outdated = testbed_get(testbed, "/outdated");
	uint32_t i, found = 0;

	for (i = 0; i < writer->acknowledged->len; i++)
		found +=
		    strstr(outdated, writer->acknowledged->pdata[i]) != NULL;
	g_test_message("proxy-%u: %u writes acknowledged, %u of them by an old "
		       "primary",
	    writer->proxy, writer->acknowledged->len, found);
	g_assert_cmpuint(found, ==, 0);
	g_free(outdated);
}

/*
 * Apply a fault to the connections of the other daemons to one, and of that one
 * to the others unless it is one way only, or end it.
 */
static void
part(testbed_t *testbed, uint32_t daemon, daemon_fault_t fault, bool one_way,
    bool on)
{
	uint32_t i;

	for (i = 0; i < PROXIES; i++) {
		if (i == daemon)
			continue;
		fault(testbed, i, daemon, on);
		if (!one_way)
			fault(testbed, daemon, i, on);
	}
}

typedef struct lease_case {
	const char *name;
	daemon_fault_t fault;
	bool one_way; /* the daemon reaches the others */
} lease_case_t;

static const lease_case_t lease_cases[] = {
    {"refused", testbed_refuse_daemon, false},
    {"refused one way", testbed_refuse_daemon, true},
    {"reset", testbed_reset_daemon, false},
};

/*
 * Test that a primary is not replaced while a daemon that was not asked for its
 * lease uses it.  That daemon reaches the store and the primary, which the
 * others do not reach.  It does not reach the replicas, from which it might
 * learn of the change.
 */
static void
test_lease(gconstpointer data)
{
	const lease_case_t *c = data;
	testbed_t *testbed = processes_start();
	uint32_t coordinator = testbed_coordinator(testbed);
	uint32_t daemon = (coordinator + 1) % PROXIES, i;
	writer_t *writer = writer_start(testbed, daemon);
	int64_t began_us, taken_ms;

	for (i = 0; i < DATABASES; i++)
		testbed_inject_fault(testbed, "database", "deaf", (int32_t)i);
	part(testbed, daemon, c->fault, c->one_way, true);
	began_us = g_get_monotonic_time();
	for (i = 0; i < DATABASES; i++) {
		if (i != PRIMARY)
			relay_cut(testbed->database_relays[daemon][i], true);
	}
	for (i = 0; i < PROXIES; i++) {
		if (i != daemon)
			testbed_refuse(testbed, i, PRIMARY, true);
	}
	taken_ms = wait_promoted(testbed, LEASE_MS + FAILOVER_MS);
	g_usleep(LEASE_MS * US_PER_MS);
	writer_stop(writer);
	g_test_message("promoted after %" G_GINT64_FORMAT
		       " ms; last write acknowledged by the daemon after "
		       "%" G_GINT64_FORMAT " ms",
	    taken_ms, (writer->last_done_us - began_us) / US_PER_MS);
	g_assert_cmpint(taken_ms, >=, 0);
	/* it used its lease after the primary was lost to the others */
	g_assert_cmpint(writer->last_done_us, >, began_us);
	check_one_primary(testbed, writer);
	writer_free(writer);
	testbed_stop(testbed);
}

/* Time for which most daemons are refused, and any promotion would come. */
#define MOST_REFUSED_MS (LEASE_MS + FAILOVER_MS)

/*
 * Time after the end of the refusal in which the primary is replaced: until the
 * daemons are asked again and an order is confirmed, is due and takes effect.
 */
#define MOST_BACK_MS \
	(RETRY_MS + CONFIRM_TIMEOUT_MS + FIRST_ORDER_DELAY_US / US_PER_MS + \
	    EFFECT_MS + SLACK_MS)

typedef struct majority_case {
	const char *name;
	daemon_fault_t fault;
} majority_case_t;

static const majority_case_t majority_cases[] = {
    {"refused", testbed_refuse_daemon},
};

/*
 * Test that no primary is replaced while the connections between all daemons
 * are refused, and that it is soon after that.
 */
static void
test_majority(gconstpointer data)
{
	const majority_case_t *c = data;
	testbed_t *testbed = processes_start();
	int64_t taken_ms;
	uint32_t i;

	for (i = 0; i < PROXIES; i++)
		part(testbed, i, c->fault, true, true);
	crash_primary(testbed);
	g_assert_cmpint(wait_promoted(testbed, MOST_REFUSED_MS), ==, -1);
	for (i = 0; i < PROXIES; i++)
		part(testbed, i, c->fault, true, false);
	taken_ms = wait_promoted(testbed, MOST_BACK_MS);
	g_test_message(
	    "promoted %" G_GINT64_FORMAT
	    " ms after the end of the refusal (limit %" G_GINT64_FORMAT ")",
	    taken_ms, (int64_t)MOST_BACK_MS);
	g_assert_cmpint(taken_ms, >=, 0);
	for (i = 0; i < PROXIES; i++)
		g_assert_true(testbed_write_served(testbed, i, SERVED_MS));
	testbed_stop(testbed);
}

typedef struct ended_case {
	const char *name;
	daemon_fault_t fault; /* how its port is found */
} ended_case_t;

static const ended_case_t ended_cases[] = {
    {"its port refuses", testbed_refuse_daemon},
};

/*
 * Test how long no write is acknowledged when the primary and a daemon, which
 * may have held a lease, end at the same time.
 */
static void
test_ended(gconstpointer data)
{
	const ended_case_t *c = data;
	testbed_t *testbed = processes_start();
	uint32_t coordinator = testbed_coordinator(testbed);
	uint32_t daemon = (coordinator + 1) % PROXIES;
	int64_t limit_ms = LEASE_MS + FAILOVER_MS, began_us, end_us, taken_ms;
	writer_t *writer;

	began_us = g_get_monotonic_time();
	fleet_process_kill(&testbed->proxies[daemon]);
	part(testbed, daemon, c->fault, false, true);
	crash_primary(testbed);
	writer = writer_start(testbed, coordinator);
	g_assert_cmpint(wait_promoted(testbed, limit_ms), >=, 0);
	while (g_get_monotonic_time() - began_us < limit_ms * US_PER_MS &&
	    writer->acknowledged->len == 0)
		g_usleep(5 * US_PER_MS);
	writer_stop(writer);
	end_us = writer->first_done_us == 0 ? g_get_monotonic_time()
					    : writer->first_done_us;
	taken_ms = (end_us - began_us) / US_PER_MS;
	g_test_message("no write acknowledged for %" G_GINT64_FORMAT
		       " ms (limit %" G_GINT64_FORMAT ")",
	    taken_ms, limit_ms);
	g_assert_cmpuint(writer->acknowledged->len, >, 0);
	g_assert_cmpint(taken_ms, <=, limit_ms);
	writer_free(writer);
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
	CASES("/peers/lease", lease_cases, test_lease);
	CASES("/peers/majority", majority_cases, test_majority);
	CASES("/peers/ended", ended_cases, test_ended);
	return g_test_run();
}
