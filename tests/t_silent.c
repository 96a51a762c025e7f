#include "cases.h"
#include "fake/testbed.h"

#include <string.h>

/*
 * Tests of proxies whose connections to the store go silent for good and stay
 * open, together.
 */

#define PROXIES 3
#define READY_TIMEOUT_MS 10000
#define CONFIG_APPLY_MS 5000
#define STORE_MS 500 /* as in the settings of the testbed */

/*
 * Limits: for a change of the configuration, the wait of a watch and one lost
 * call; for the end of the last silent connection, the same for the servers;
 * for a write after the loss of the primary, a failover and one lost call for
 * each step that needs the store.
 */
#define CONFIG_MS (CONFIG_APPLY_MS / 2 + STORE_MS + 250 + STORE_MS)
#define LEFT_MS (4000 + STORE_MS)
#define SERVED_MS 6000

/* Allowance for a busy machine. */
#define SLACK_MS 500

#define POLL_US 10000

static testbed_t *testbed;
static uint32_t version = 1;

/*
 * Return the number of milliseconds since a time.
 */
static uint32_t
elapsed_ms(int64_t since_us)
{
	return (uint32_t)((g_get_monotonic_time() - since_us) / US_PER_MS);
}

/*
 * Let the connections to the store that are open now go silent, of all proxies.
 */
static void
silence_store(uint32_t ways)
{
	uint32_t i;

	for (i = 0; i < PROXIES; i++)
		relay_silence(testbed->store_relays[i], ways);
}

/*
 * Count the silent connections that proxies keep open.
 */
static uint32_t
count_silent(void)
{
	uint32_t i, count = 0;

	for (i = 0; i < PROXIES; i++)
		count += relay_silent_connections(testbed->store_relays[i]);
	return count;
}

/*
 * Count the proxies at which the newest version of the configuration is in
 * force, and check that all are registered.
 */
static uint32_t
count_in_force(void)
{
	uint32_t i, count = 0;

	for (i = 0; i < PROXIES; i++) {
		g_assert_cmpuint(
		    testbed_metric(testbed, i, "daemon_listed"), ==, 1);
		count += testbed_metric(testbed, i, "configuration_version") ==
		    version;
	}
	return count;
}

typedef struct silent_case {
	const char *name;
	uint32_t ways;
	uint32_t phase_ms; /* from a change before, which ended the watches */
} silent_case_t;

static const silent_case_t change_cases[] = {
    {"silent in both ways, early in the watch", RELAY_BOTH, 100},
    {"silent in both ways, late in the watch", RELAY_BOTH, 2000},
    {"answers are lost", RELAY_TO_CLIENT, 100},
};

/*
 * Test that a change comes into force in time, that no silent connection is
 * kept, and that the proxies stay registered.
 */
static void
test_change(gconstpointer data)
{
	const silent_case_t *c = data;
	int64_t began_us;

	testbed_configure(testbed, ++version, NULL);
	while (count_in_force() < PROXIES)
		g_usleep(POLL_US);
	g_usleep(c->phase_ms * US_PER_MS);
	silence_store(c->ways);
	g_test_message("%u connections", count_silent());
	began_us = g_get_monotonic_time();
	testbed_configure(testbed, ++version, NULL);
	while (count_in_force() < PROXIES) {
		g_assert_cmpuint(elapsed_ms(began_us), <, CONFIG_MS + SLACK_MS);
		g_usleep(POLL_US);
	}
	g_test_message("measured: %s: in force after %u ms", c->name,
	    elapsed_ms(began_us));
	while (count_silent() > 0 || count_in_force() < PROXIES) {
		g_assert_cmpuint(elapsed_ms(began_us), <, LEFT_MS + SLACK_MS);
		g_usleep(POLL_US);
	}
	g_test_message("measured: %s: no silent connection after %u ms",
	    c->name, elapsed_ms(began_us));
}

static const silent_case_t failover_cases[] = {
    {"silent in both ways", RELAY_BOTH, 0},
    {"answers are lost", RELAY_TO_CLIENT, 0},
};

/*
 * Return the number of promotions in a list of them.
 */
static uint32_t
count_promotions(const char *list)
{
	uint32_t count = 0;

	while ((list = strstr(list, "i-")) != NULL) {
		list += strlen("i-");
		count++;
	}
	return count;
}

/*
 * Test that a primary is replaced in time by daemons whose calls are lost, also
 * where a write of the coordinator record was carried out: nothing is written
 * or read at the old one, and one database is promoted.
 */
static void
test_failover(gconstpointer data)
{
	const silent_case_t *c = data;
	char *before = testbed_get(testbed, "/promoted"), *after, *outdated;
	const char *last = g_strrstr(before, "i-");
	int32_t primary = last == NULL
	    ? 0
	    : (int32_t)g_ascii_strtoll(last + strlen("i-"), NULL, 10);
	int64_t began_us;

	g_assert_true(testbed_write_served(testbed, 0, SERVED_MS));
	silence_store(c->ways);
	began_us = g_get_monotonic_time();
	testbed_inject_fault(testbed, "database", "crash", primary);
	g_usleep(POLL_US);
	g_assert_true(testbed_write_served(testbed, 0, SERVED_MS));
	g_test_message(
	    "measured: %s: written after %u ms", c->name, elapsed_ms(began_us));
	after = testbed_get(testbed, "/promoted");
	g_assert_true(g_str_has_prefix(after, before));
	g_assert_cmpuint(
	    count_promotions(after), ==, count_promotions(before) + 1);
	outdated = testbed_get(testbed, "/outdated");
	g_assert_cmpstr(g_strstrip(outdated), ==, "");
	g_free(outdated);
	g_free(before);
	g_free(after);
	testbed_inject_fault(testbed, "database", "return", primary);
}

int
main(int argc, char **argv)
{
	int result;

	g_test_init(&argc, &argv, NULL);
	CASES("/silent/change", change_cases, test_change);
	CASES("/silent/failover", failover_cases, test_failover);
	testbed = testbed_start(&(testbed_plan_t){.proxies = PROXIES,
	    .config_apply_ms = CONFIG_APPLY_MS,
	    .relays = true});
	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	result = g_test_run();
	testbed_stop(testbed);
	return result;
}
