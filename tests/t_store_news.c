#include "cases.h"
#include "fake/testbed.h"

#include <signal.h>

/*
 * Tests of proxies that lose the store while they watch it for others: five
 * proxies, of which two watch it and three get their news.
 */

#define PROXIES 5
#define WATCHERS 2
#define FOLLOWERS (PROXIES - WATCHERS)

/* Bound for a change of the configuration, and the share that may be used. */
#define CONFIG_APPLY_MS 5000
#define IN_FORCE_MS (CONFIG_APPLY_MS / 2)

#define READY_TIMEOUT_MS 10000

/* Time limit for the proxies to agree on those that watch the store. */
#define FOLLOW_TIMEOUT_MS 30000

/* Time from a fault, or the last of several, to the change. */
#define CHANGE_DELAY_MS 30

/* Time between the faults of two watchers. */
#define FAULTS_INTERVAL_MS 400

/* Time for which watches hear nothing before the history is discarded. */
#define GAP_MS 1000

#define POLL_US 10000

static testbed_t *testbed;
static uint32_t version = 1;

/*
 * Times of the first fault, counted from a change that ended the watches: in
 * each phase of the wait of a watch.
 */
static const uint32_t phases_ms[] = {50, 800, 2000};

typedef struct news_case {
	const char *name;
	const char *fault;  /* of the watchers' way to the store; NULL: none */
	uint32_t frozen_ms; /* time for which the watchers are stopped */
	uint32_t watchers;  /* number of watchers with the fault */
	bool in_turn;       /* one after the other */
} news_case_t;

static const news_case_t news_cases[] = {
    {"silent, one watcher", "silent", 0, 1, false},
    {"silent, one watcher after the other", "silent", 0, WATCHERS, true},
    {"silent, all watchers", "silent", 0, WATCHERS, false},
    {"cut, all watchers", "cut", 0, WATCHERS, false},
    {"refused, all watchers", "refused", 0, WATCHERS, false},
    {"reset, one watcher after the other", "reset", 0, WATCHERS, true},
    {"frozen for 3 s, one watcher after the other", NULL, 3000, WATCHERS, true},
    {"frozen, and silent once they go on", "silent", 1000, WATCHERS, false},
};

/*
 * Return the number of milliseconds since a time.
 */
static uint32_t
elapsed_ms(int64_t since_us)
{
	return (uint32_t)((g_get_monotonic_time() - since_us) / US_PER_MS);
}

/*
 * Wait until a time after another one.
 */
static void
wait_until(int64_t since_us, uint32_t after_ms)
{
	uint32_t now_ms = elapsed_ms(since_us);

	if (now_ms < after_ms)
		g_usleep((after_ms - now_ms) * US_PER_MS);
}

/*
 * Tell whether a proxy gets news of the store from another one.
 */
static bool
follows(uint32_t proxy)
{
	return testbed_metric(testbed, proxy, "store_followed") == 1;
}

/*
 * Wait until all proxies but the watchers follow one, and find the watchers.
 */
static void
wait_following(uint32_t *watchers)
{
	int64_t began_us = g_get_monotonic_time();
	uint32_t i, found;

	do {
		g_assert_cmpuint(elapsed_ms(began_us), <, FOLLOW_TIMEOUT_MS);
		g_usleep(POLL_US);
		for (i = found = 0; i < PROXIES; i++) {
			if (!follows(i) && found++ < WATCHERS)
				watchers[found - 1] = i;
		}
	} while (found != WATCHERS);
}

/*
 * Write the next version of the configuration.
 */
static void
change_config(void)
{
	testbed_configure(testbed, ++version, NULL);
}

/*
 * Tell whether the newest version of the configuration is in force at a proxy.
 */
static bool
in_force(uint32_t proxy)
{
	return testbed_metric(testbed, proxy, "configuration_version") ==
	    version;
}

/*
 * Check that the newest version is in force within IN_FORCE_MS of its change at
 * the proxies that reach the store, and return the time that it took in ms.
 * excluded: a bit for each proxy that does not reach it.
 */
static uint32_t
expect_in_force(int64_t changed_us, uint32_t excluded)
{
	uint32_t i;

	for (i = 0; i < PROXIES; i++) {
		while ((excluded & 1U << i) == 0 && !in_force(i)) {
			g_assert_cmpuint(
			    elapsed_ms(changed_us), <, IN_FORCE_MS);
			g_usleep(POLL_US);
		}
	}
	return elapsed_ms(changed_us);
}

/*
 * Begin the fault of a case at a watcher, or end it.
 */
static void
set_fault(const news_case_t *test, uint32_t watcher, bool begin)
{
	if (test->frozen_ms > 0)
		fleet_process_signal(
		    &testbed->proxies[watcher], begin ? SIGSTOP : SIGCONT);
	if (test->fault != NULL)
		testbed_store_fault(
		    testbed, watcher, begin ? test->fault : "up");
}

/*
 * Begin the fault of a case at its watchers some time after a change of the
 * configuration, make another change, and check that it comes into force.
 * Returns the time in ms that it took.
 */
static uint32_t
run_phase(const void *data, uint32_t phase_ms)
{
	const news_case_t *test = data;
	uint32_t watchers[WATCHERS], excluded = 0, taken_ms, i;
	int64_t began_us, changed_us;

	wait_following(watchers);
	change_config();
	began_us = g_get_monotonic_time();
	expect_in_force(began_us, 0);
	wait_until(began_us, phase_ms);
	for (i = 0; i < test->watchers; i++) {
		if (test->in_turn)
			wait_until(began_us, phase_ms + i * FAULTS_INTERVAL_MS);
		set_fault(test, watchers[i], true);
		excluded |= 1U << watchers[i];
	}
	g_usleep(CHANGE_DELAY_MS * US_PER_MS);
	changed_us = g_get_monotonic_time();
	change_config();
	if (test->frozen_ms > 0 && test->frozen_ms < IN_FORCE_MS) {
		wait_until(changed_us, test->frozen_ms);
		for (i = 0; i < test->watchers; i++)
			fleet_process_signal(
			    &testbed->proxies[watchers[i]], SIGCONT);
	}
	taken_ms = expect_in_force(changed_us, excluded);
	for (i = 0; i < test->watchers; i++)
		set_fault(test, watchers[i], false);
	return taken_ms;
}

/*
 * Run a case in each phase of the watches' waits, and print the longest time
 * that a change took.  run: returns that time in ms; test: its context.
 */
static void
run_phases(const char *name,
    uint32_t (*run)(const void *test, uint32_t phase_ms), const void *test)
{
	uint32_t most_ms = 0, i;

	for (i = 0; i < G_N_ELEMENTS(phases_ms); i++)
		most_ms = MAX(most_ms, run(test, phases_ms[i]));
	g_test_message("measured: %s: in force after %u ms", name, most_ms);
}

/*
 * Take the store away from the watchers.
 */
static void
test_news(gconstpointer data)
{
	const news_case_t *test = data;

	run_phases(test->name, run_phase, test);
}

typedef struct gap_case {
	const char *name;
	bool old_lists; /* lists that may be old lack the change */
} gap_case_t;

static const gap_case_t gap_cases[] = {
    {"changes that no watch hears", false},
    {"changes that no watch hears, and old lists", true},
};

/*
 * Make a change while watches hear nothing, some time after the one before,
 * then end them and discard the history.  Check that it comes into force.
 */
static uint32_t
run_gap(const void *data, uint32_t phase_ms)
{
	const gap_case_t *test = data;
	uint32_t watchers[WATCHERS], taken_ms;
	int64_t began_us, changed_us;

	wait_following(watchers);
	change_config();
	began_us = g_get_monotonic_time();
	expect_in_force(began_us, 0);
	testbed_inject_fault(testbed, "store", "copy", -1);
	if (test->old_lists)
		testbed_inject_fault(testbed, "store", "old-lists", -1);
	wait_until(began_us, phase_ms);
	testbed_inject_fault(testbed, "store", "deaf", -1);
	changed_us = g_get_monotonic_time();
	change_config();
	wait_until(changed_us, GAP_MS);
	testbed_inject_fault(testbed, "store", "cut-watches", -1);
	taken_ms = expect_in_force(changed_us, 0);
	testbed_inject_fault(testbed, "store", "new-lists", -1);
	return taken_ms;
}

/*
 * Compact the history of the store.
 */
static void
test_gap(gconstpointer data)
{
	const gap_case_t *test = data;

	run_phases(test->name, run_gap, test);
}

int
main(int argc, char **argv)
{
	int result;

	g_test_init(&argc, &argv, NULL);
	CASES("/store-news/in-force", news_cases, test_news);
	CASES("/store-news/compaction", gap_cases, test_gap);
	testbed = testbed_start(&(testbed_plan_t){.proxies = PROXIES,
	    .config_apply_ms = CONFIG_APPLY_MS,
	    .store_ports = true});
	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	result = g_test_run();
	testbed_stop(testbed);
	return result;
}
