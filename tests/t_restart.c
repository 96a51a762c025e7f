#include "cases.h"
#include "fake/testbed.h"

#include <string.h>

/*
 * Tests of databases that crash for a short time and start again, with their
 * logs, under another id at the same address, while the entries of their former
 * starts are still listed; with proxy processes and a fake platform.
 */

#define READY_TIMEOUT_MS 10000
#define PROXIES 3

/* Time from the start of the proxies until the members are recorded. */
#define MEMBERS_MS 4500

/* Longest time without a write that is served, from the crash on. */
#define WITHOUT_PRIMARY_MS 2000

/* Time for which writes are served after that. */
#define SERVED_MS 4000

typedef struct restart_case {
	const char *name;
	const char *crashed; /* databases; the first one is the primary */
	uint32_t down_ms;
	const char *store_fault; /* from the crash on, or NULL */
} restart_case_t;

static const restart_case_t restart_cases[] = {
    {"the primary", "0", 400, NULL},
    {"the primary, for a moment", "0", 100, NULL},
    {"the primary, for longer", "0", 1000, NULL},
    {"the primary and a replica", "01", 400, NULL},
    {"a replica", "1", 400, NULL},
    {"both replicas", "12", 400, NULL},
    {"the primary, the store is silent", "0", 400, "silent"},
};

/*
 * Crash databases, and start them again.
 */
static void
restart_databases(testbed_t *testbed, const restart_case_t *c)
{
	uint32_t i;

	for (i = 0; c->crashed[i] != '\0'; i++)
		testbed_inject_fault(
		    testbed, "database", "crash", c->crashed[i] - '0');
	if (c->store_fault != NULL)
		testbed_inject_fault(testbed, "store", c->store_fault, -1);
	g_usleep(c->down_ms * G_TIME_SPAN_MILLISECOND);
	for (i = 0; c->crashed[i] != '\0'; i++)
		testbed_inject_fault(
		    testbed, "database", "again", c->crashed[i] - '0');
}

/*
 * Write through all proxies until a time.  Returns the longest time without a
 * write that was served.
 */
static int64_t
longest_gap_ms(testbed_t *testbed, int64_t began_us, int64_t end_us)
{
	int64_t served_us = began_us, gap_us = 0;
	uint32_t i = 0;

	while (g_get_monotonic_time() < end_us) {
		bool served =
		    testbed_write_served(testbed, i++ % PROXIES, SERVED_MS);
		int64_t now_us = g_get_monotonic_time();

		gap_us = MAX(gap_us, now_us - served_us);
		if (served)
			served_us = now_us;
	}
	return gap_us / G_TIME_SPAN_MILLISECOND;
}

/*
 * Test that writes are served again soon after databases have started again.
 */
static void
test_restart(gconstpointer data)
{
	const restart_case_t *c = data;
	testbed_plan_t plan = {.proxies = PROXIES, .lag_ms = 5};
	testbed_t *testbed = testbed_start(&plan);
	int64_t began_us, gap_ms;
	uint32_t i;

	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	g_usleep(MEMBERS_MS * G_TIME_SPAN_MILLISECOND);
	for (i = 0; i < PROXIES; i++)
		g_assert_true(
		    testbed_write_served(testbed, i, READY_TIMEOUT_MS));
	began_us = g_get_monotonic_time();
	restart_databases(testbed, c);
	gap_ms = longest_gap_ms(
	    testbed, began_us, began_us + SERVED_MS * G_TIME_SPAN_MILLISECOND);
	g_test_message("no write for %" G_GINT64_FORMAT " ms", gap_ms);
	g_assert_cmpint(gap_ms, <, WITHOUT_PRIMARY_MS);
	testbed_stop(testbed);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	CASES("/restart", restart_cases, test_restart);
	return g_test_run();
}
