#include "cases.h"
#include "fake/testbed.h"

#include <curl/curl.h>
#include <glib.h>
#include <string.h>

/*
 * Tests of a daemon that reaches the databases, and neither the store nor the
 * coordinator, while the primary is replaced: what the databases answer at
 * different times does not show that no promise was held at one of them.  With
 * proxy processes and a fake platform.
 */

#define READY_TIMEOUT_MS 10000
#define ANSWER_TIMEOUT_MS 1000

/* Time until the daemons are listed, and the list of the servers is not new. */
#define LISTED_MS 4500

/* Time in which the coordinator orders a promotion. */
#define PROMOTION_MS 8000

/* Time in which the daemon sees that a replica has started again. */
#define SEEN_MS 300

/* Time from an order to its effect, in which the daemon is cut off. */
#define EFFECT_MS 200

/* Time for which the daemon is asked for writes after the promotion. */
#define WRITES_MS 1500

#define PROXIES 3
#define PRIMARY 0
#define DATABASES 3

typedef struct denial_case {
	const char *name;
	bool peers;          /* it reaches the other daemons, so it is told */
	bool other_restarts; /* both replicas have forgotten their promises */
	/* how long before the promotion the daemon ceases to reach a replica;
	   0: it does not */
	int64_t named_cut_ms;
	int64_t other_cut_ms; /* it reaches this one again afterwards */
} denial_case_t;

static const denial_case_t denial_cases[] = {
    {"the named one denies before it, the other after", false, false, 50, 150},
    {"the same, and the daemon was told of the attempt", true, false, 50, 150},
    {"the named one denies before it, the other holds its promise till then",
	false, false, 150, 0},
    {"both are asked after it", false, false, 0, 150},
    {"both have started again before it", false, true, 50, 0},
};

/*
 * Cut a relay some time before an order takes effect; 0: do not.
 */
static void
cut_at(relay_t *relay, int64_t effect_us, int64_t before_ms)
{
	int64_t at_us = effect_us - before_ms * US_PER_MS;

	if (before_ms == 0)
		return;
	g_usleep((gulong)MAX(at_us - g_get_monotonic_time(), 0));
	relay_cut(relay, true);
}

/*
 * Start a database again with its log, so that it has forgotten its promise.
 */
static void
start_again(testbed_t *testbed, int32_t database)
{
	testbed_inject_fault(testbed, "database", "crash", database);
	testbed_inject_fault(testbed, "database", "return", database);
}

/*
 * Write through a proxy for a time.  Returns the values that were acknowledged.
 */
static GPtrArray *
write_values(testbed_t *testbed, uint32_t proxy)
{
	GPtrArray *acknowledged = g_ptr_array_new_with_free_func(g_free);
	int64_t end_us = g_get_monotonic_time() + WRITES_MS * US_PER_MS;
	uint32_t n;

	for (n = 0; g_get_monotonic_time() < end_us; n++) {
		client_t *client =
		    client_open_session(testbed, proxy, "intake");
		char *text = g_strdup_printf("WRITE k v%u", n);
		char *answer = client == NULL
		    ? NULL
		    : client_query(client, text, ANSWER_TIMEOUT_MS);

		if (answer != NULL && g_str_has_prefix(answer, "DONE"))
			g_ptr_array_add(
			    acknowledged, g_strdup_printf(" v%u ", n));
		g_free(answer);
		g_free(text);
		client_close(client);
		g_usleep(5 * US_PER_MS);
	}
	return acknowledged;
}

/*
 * Assert that none of the values was written at a primary that had been
 * replaced.
 */
static void
check_none_outdated(const testbed_t *testbed, const GPtrArray *acknowledged)
{
	char *outdated = testbed_get(testbed, "/outdated");
	uint32_t i, found = 0;

	for (i = 0; i < acknowledged->len; i++)
		found += strstr(outdated, acknowledged->pdata[i]) != NULL;
	g_test_message("%u acknowledged, %u of them by the old primary",
	    acknowledged->len, found);
	g_assert_cmpuint(found, ==, 0);
	g_free(outdated);
}

/*
 * Test that a daemon has no lease on a primary that is replaced, because the
 * database that takes over has forgotten its promise and denies it before the
 * promotion, and the other replica, whose promise the promotion ends, after it.
 */
static void
test_denials(gconstpointer data)
{
	const denial_case_t *c = data;
	testbed_plan_t plan = {.proxies = PROXIES,
	    .lag_ms = 5,
	    .store_ports = true,
	    .own_relays = true};
	testbed_t *testbed = testbed_start(&plan);
	uint32_t coordinator, daemon, i;
	int32_t named, other;
	int64_t effect_us;
	relay_t **relays;
	GPtrArray *acknowledged;

	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	g_usleep(LISTED_MS * US_PER_MS);
	coordinator = testbed_coordinator(testbed);
	daemon = (coordinator + 1) % PROXIES;
	relays = testbed->database_relays[daemon];
	for (i = 0; i < DATABASES; i++)
		testbed_inject_fault(testbed, "database", "deaf", (int32_t)i);
	testbed_inject_fault(testbed, "order", "hold", -1);
	if (c->peers)
		testbed_store_fault(testbed, daemon, "silent");
	else
		testbed_cut_off(testbed, daemon, true);
	for (i = 0; i < PROXIES; i++) {
		if (i != daemon)
			relay_cut(testbed->database_relays[i][PRIMARY], true);
	}
	named = testbed_wait_held_order(testbed, PROMOTION_MS);
	other = DATABASES - named;
	for (i = 0; i < PROXIES; i++) {
		if (i != daemon)
			fleet_process_kill(&testbed->proxies[i]);
	}
	start_again(testbed, named);
	if (c->other_restarts)
		start_again(testbed, other);
	g_usleep(SEEN_MS * US_PER_MS);
	testbed_inject_fault(testbed, "order", "release", -1);
	effect_us = g_get_monotonic_time() + EFFECT_MS * US_PER_MS;
	cut_at(relays[other], effect_us, c->other_cut_ms);
	cut_at(relays[named], effect_us, c->named_cut_ms);
	g_assert_true(
	    testbed_wait_primary(testbed, (uint32_t)named, "2 ", EFFECT_MS));
	relay_cut(relays[other], false);
	acknowledged = write_values(testbed, daemon);
	check_none_outdated(testbed, acknowledged);
	g_ptr_array_unref(acknowledged);
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
	CASES("/denials/promotion", denial_cases, test_denials);
	return g_test_run();
}
