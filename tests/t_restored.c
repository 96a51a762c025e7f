#include "../platform/platform.h"
#include "../src/log.h"
#include "cases.h"
#include "fake/testbed.h"

#include <curl/curl.h>
#include <string.h>
#include <unistd.h>

/* Tests of proxies whose store comes back from an older copy. */

#define READY_TIMEOUT_MS 10000
#define ANSWER_TIMEOUT_MS 5000
#define POLL_US 20000

/* Time in which a version of the configuration must be in force. */
#define CONFIG_APPLY_MS 3000

/* Largest number of requests of a proxy to the store in a second. */
#define REQUESTS_PER_SECOND UINT64_C(40)

/*
 * Return the number of milliseconds since a time.
 */
static uint32_t
elapsed_ms(int64_t since_us)
{
	return (uint32_t)((g_get_monotonic_time() - since_us) / US_PER_MS);
}

/*
 * Wait until a counter of a proxy has a value.  Returns false after a timeout.
 * The value must not decrease meanwhile.
 */
static bool
wait_metric(const testbed_t *testbed, uint32_t proxy, const char *name,
    uint64_t value, uint32_t timeout_ms)
{
	int64_t began_us = g_get_monotonic_time();
	uint64_t before = 0, found;

	while ((found = testbed_metric(testbed, proxy, name)) != value) {
		g_assert_cmpuint(found, >=, before);
		before = found;
		if (elapsed_ms(began_us) >= timeout_ms)
			return false;
		g_usleep(POLL_US);
	}
	return true;
}

typedef struct config_case {
	const char *name;
	uint32_t proxies;
	const char *copy;     /* what the store goes back to */
	uint32_t lost;        /* versions that are written after the copy */
	uint32_t returns;     /* number of times that the store goes back */
	bool away;            /* it answers nothing until the next version */
	bool era_hidden;      /* its responses have no era */
	const char *open;     /* the last version has this database */
	const char *excluded; /* and lacks this one */
} config_case_t;

static const config_case_t config_cases[] = {
    {"after many versions", 1, "copy", 20, 1, false, false, "intake", "lookup"},
    {"twice in a row", 1, "copy", 20, 2, false, false, "intake", "lookup"},
    {"from an empty store", 1, "blank", 20, 1, false, false, "intake",
	"lookup"},
    {"with revisions given out again", 1, "copy", 1, 1, true, false, "intake",
	"lookup"},
    {"twice, with revisions given out again", 1, "copy", 1, 2, true, false,
	"intake", "lookup"},
    {"without an era", 1, "copy", 20, 1, false, true, "intake", NULL},
    {"where a daemon watches the store for others", 5, "copy", 20, 1, false,
	false, "intake", "lookup"},
    {"where a daemon watches for others, revisions given out again", 5, "copy",
	1, 1, true, false, "intake", "lookup"},
};

/* Time in which five daemons agree on those that watch the store. */
#define WATCHERS_KNOWN_MS 4000

/*
 * Wait until all proxies have a version of the configuration in force.
 */
static bool
wait_version(const testbed_t *testbed, uint32_t version)
{
	uint32_t i;

	for (i = 0; i < testbed->plan.proxies; i++) {
		if (!wait_metric(testbed, i, "configuration_version", version,
			CONFIG_APPLY_MS))
			return false;
	}
	return true;
}

/*
 * Test that a version which is written after the store has gone back is in
 * force in time, that none before it is in force again, and that the store gets
 * few requests.  Without an era in the responses, the version may come late.
 */
static void
test_config(gconstpointer data)
{
	const config_case_t *c = data;
	testbed_plan_t plan = {.proxies = c->proxies, .lag_ms = 5};
	testbed_t *testbed = testbed_start(&plan);
	uint32_t i, version = 2, requests;
	int64_t began_us;
	client_t *client;

	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	if (c->proxies > 1)
		g_usleep(WATCHERS_KNOWN_MS * US_PER_MS);
	if (c->era_hidden)
		testbed_inject_fault(testbed, "store", "hidden-era", -1);
	testbed_configure(testbed, version, "quotes");
	testbed_inject_fault(testbed, "store", c->copy, -1);
	for (i = 0; i < c->lost; i++)
		testbed_configure(testbed, ++version, NULL);
	g_assert_true(wait_metric(
	    testbed, 0, "configuration_version", version, CONFIG_APPLY_MS));
	requests = testbed_store_requests(testbed);
	began_us = g_get_monotonic_time();
	if (c->away)
		testbed_inject_fault(testbed, "store", "busy", -1);
	for (i = 0; i < c->returns; i++)
		testbed_inject_fault(testbed, "store", "restored", -1);
	testbed_configure(testbed, version + 1, c->excluded);
	if (c->away)
		testbed_inject_fault(testbed, "store", "up", -1);
	g_assert_true(wait_version(testbed, version + 1) || c->era_hidden);
	requests = testbed_store_requests(testbed) - requests;
	g_assert_cmpuint(requests, <=,
	    (elapsed_ms(began_us) / 1000 + 1) * REQUESTS_PER_SECOND *
		c->proxies);
	g_assert_cmpuint(
	    testbed_metric(testbed, 0, "configuration_version"), >=, version);
	client = client_open_session(testbed, 0, c->open);
	g_assert_nonnull(client);
	client_close(client);
	if (c->excluded != NULL)
		g_assert_null(client_open_session(testbed, 0, c->excluded));
	testbed_stop(testbed);
}

typedef struct record_case {
	const char *name;
	const char *copy;
	uint32_t returns;
} record_case_t;

static const record_case_t record_cases[] = {
    {"gone", "blank", 1},
    {"gone twice", "blank", 2},
    {"older", "copy", 1},
};

/*
 * Time in which a daemon writes its record again, half of the interval of its
 * heartbeats.
 */
#define RECORD_AGAIN_MS 2000

/* Duration of the writes after the store has gone back. */
#define WRITES_MS 4000

/*
 * Test that a daemon writes its record again soon, and that the databases stay
 * in use whose entries are gone until they write them again.
 */
static void
test_record(gconstpointer data)
{
	const record_case_t *c = data;
	testbed_plan_t plan = {.proxies = 1, .lag_ms = 5};
	testbed_t *testbed = testbed_start(&plan);
	char *address, *url, *body = NULL;
	int64_t began_us;
	client_t *client;
	uint32_t i, requests;
	bool checked = false;

	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	testbed_inject_fault(testbed, "store", c->copy, -1);
	client = client_open_session(testbed, 0, "intake");
	client_expect(client, "WRITE a x", "DONE p");
	g_assert_true(
	    wait_metric(testbed, 0, "daemon_listed", 1, READY_TIMEOUT_MS));
	g_usleep(500 * US_PER_MS);
	requests = testbed_store_requests(testbed);
	for (i = 0; i < c->returns; i++)
		testbed_inject_fault(testbed, "store", "restored", -1);
	address = g_strdup_printf("\"name\":\"%s\"", testbed->proxies[0].name);
	url =
	    g_strdup_printf("http://127.0.0.1:%u/objects/bergamotplank-daemons",
		testbed->platform.port);
	for (began_us = g_get_monotonic_time();
	     elapsed_ms(began_us) < WRITES_MS;) {
		client_expect(client, "WRITE a y", "DONE p");
		g_usleep(POLL_US);
		if (checked || elapsed_ms(began_us) < RECORD_AGAIN_MS)
			continue;
		g_assert_cmpuint(http_call("GET", url, NULL, &body), ==, 200);
		g_assert_nonnull(strstr(body, address));
		g_free(body);
		checked = true;
	}
	requests = testbed_store_requests(testbed) - requests;
	g_assert_cmpuint(requests, <=, WRITES_MS / 1000 * REQUESTS_PER_SECOND);
	g_free(address);
	g_free(url);
	client_close(client);
	testbed_stop(testbed);
}

#define SERVER_ENTRY \
	"{\"backend\":\"ledger\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z\"," \
	"\"version\":\"v1\",\"capacity\":4,\"state\":\"%s\"," \
	"\"cold-remaining-ms\":0,\"sequence\":1,\"born\":1}"

#define LISTED_EVENT \
	"\"event\":\"server_listed\",\"server\":\"i-1\",\"group\":\"ledger\","

/* Time after which the entries of the older copy are taken. */
#define ENTRIES_SETTLED_MS 4000

/*
 * Wait until the proxy has logged a text.
 */
static bool
wait_logged(const testbed_t *testbed, const char *text)
{
	int64_t began_us = g_get_monotonic_time();
	bool logged = false;

	while (!logged && elapsed_ms(began_us) < READY_TIMEOUT_MS) {
		char *log = testbed_read_log(testbed, 0);

		logged = strstr(log, text) != NULL;
		g_free(log);
		g_usleep(POLL_US);
	}
	return logged;
}

/*
 * Test that a server that has said that it leaves gets no work again while the
 * store has an older entry, which says that it does not.
 */
static void
test_leaving_kept(void)
{
	testbed_plan_t plan = {.proxies = 1, .lag_ms = 5};
	testbed_t *testbed = testbed_start(&plan);
	char *entry, *log;
	const char *leaving;

	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	testbed_inject_fault(testbed, "store", "copy", -1);
	entry = g_strdup_printf(
	    SERVER_ENTRY, testbed->first_database_port + 1, "draining");
	testbed_put_object(testbed, "servers", "i-1", entry);
	g_assert_true(wait_logged(testbed, "\"leaving\":true"));
	testbed_inject_fault(testbed, "store", "restored", -1);
	g_usleep(ENTRIES_SETTLED_MS * US_PER_MS);
	log = testbed_read_log(testbed, 0);
	g_assert_null(strstr(log, "\"event\":\"entry_rejected\""));
	leaving = strstr(log, LISTED_EVENT);
	g_assert_nonnull(leaving);
	leaving = strstr(leaving, "\"leaving\":true");
	g_assert_nonnull(leaving);
	g_assert_nonnull(strstr(leaving, "\"event\":\"store_restored\""));
	g_assert_null(strstr(leaving, "\"leaving\":false"));
	g_free(log);
	g_free(entry);
	testbed_stop(testbed);
}

/* Time after which the entries that the store had lost are there again. */
#define WRITTEN_AGAIN_MS 1000

/*
 * Wait until the last that the proxy has logged of the server has a text.
 */
static bool
wait_last_listed(const testbed_t *testbed, const char *text)
{
	int64_t began_us = g_get_monotonic_time();
	bool found = false;

	while (!found && elapsed_ms(began_us) < READY_TIMEOUT_MS) {
		char *log = testbed_read_log(testbed, 0);
		const char *last = g_strrstr(log, LISTED_EVENT);

		found = last != NULL && strstr(last, text) != NULL;
		g_free(log);
		g_usleep(POLL_US);
	}
	return found;
}

/*
 * Test that a server that no longer leaves gets work again, also while some
 * calls of the store go on to fail.
 */
static void
test_leaving_ends(void)
{
	testbed_plan_t plan = {.proxies = 1, .lag_ms = 5};
	testbed_t *testbed = testbed_start(&plan);
	char *leaving = g_strdup_printf(
	    SERVER_ENTRY, testbed->first_database_port + 1, "draining");
	char *ready = g_strdup_printf(
	    SERVER_ENTRY, testbed->first_database_port + 1, "ready");

	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	testbed_inject_fault(testbed, "store", "copy", -1);
	testbed_put_object(testbed, "servers", "i-1", leaving);
	g_assert_true(wait_last_listed(testbed, "\"leaving\":true"));
	testbed_inject_fault(testbed, "store", "restored", -1);
	g_usleep(WRITTEN_AGAIN_MS * US_PER_MS);
	testbed_put_object(testbed, "servers", "i-1", ready);
	testbed_inject_fault(testbed, "store", "losing", -1);
	g_assert_true(wait_last_listed(testbed, "\"leaving\":false"));
	g_free(leaving);
	g_free(ready);
	testbed_stop(testbed);
}

typedef struct token_case {
	const char *name;
	const char *copy;
	bool holder_ends; /* the coordinator ends as the store goes back */
} token_case_t;

static const token_case_t token_cases[] = {
    {"the record is gone", "blank", false},
    {"the record is gone, and the coordinator", "blank", true},
    {"the record is older", "copy", false},
    {"the record is older, and the coordinator gone", "copy", true},
};

/* Time limit for a failover. */
#define FAILOVER_TIMEOUT_MS 12000

/*
 * Return the proxy that is the coordinator.
 */
static uint32_t
find_coordinator(const testbed_t *testbed)
{
	uint32_t i;

	for (i = 0; i < testbed->plan.proxies; i++) {
		if (testbed_metric(testbed, i, "duty_token") != 0)
			return i;
	}
	g_error("no proxy is the coordinator");
}

/*
 * Write through the proxies, except one, until a write succeeds.
 */
static void
write_until_done(testbed_t *testbed, uint32_t gone)
{
	int64_t began_us = g_get_monotonic_time();
	uint32_t i = 0;
	bool done = false;

	while (!done && elapsed_ms(began_us) < FAILOVER_TIMEOUT_MS) {
		uint32_t proxy = i++ % testbed->plan.proxies;
		client_t *client = proxy == gone
		    ? NULL
		    : client_open_session(testbed, proxy, "intake");
		char *answer = client == NULL
		    ? NULL
		    : client_query(client, "WRITE k v", ANSWER_TIMEOUT_MS);

		done = answer != NULL && g_str_has_prefix(answer, "DONE p");
		g_free(answer);
		client_close(client);
		g_usleep(POLL_US);
	}
	g_assert_true(done);
}

/*
 * Test that after the store has gone back no promotion is ordered with a token
 * that is lower than one before, or that another daemon has used.
 */
static void
test_token(gconstpointer data)
{
	const token_case_t *c = data;
	testbed_plan_t plan = {.proxies = 3, .lag_ms = 5};
	testbed_t *testbed = testbed_start(&plan);
	uint32_t holder, gone = plan.proxies, invalid_tokens;

	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	g_usleep(2500 * US_PER_MS); /* until the daemons know each other */
	testbed_inject_fault(testbed, "store", c->copy, -1);
	/* the coordinator of the copy ends, and another one orders */
	holder = find_coordinator(testbed);
	fleet_process_kill(&testbed->proxies[holder]);
	testbed_inject_fault(testbed, "database", "crash", 0);
	write_until_done(testbed, holder);
	testbed_inject_fault(testbed, "database", "return", 0);
	testbed_proxy_start(testbed, holder);
	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	if (c->holder_ends) {
		gone = find_coordinator(testbed);
		fleet_process_kill(&testbed->proxies[gone]);
	}
	testbed_inject_fault(testbed, "store", "restored", -1);
	g_usleep(1000 * US_PER_MS);
	testbed_inject_fault(testbed, "database", "crash", -1);
	write_until_done(testbed, gone);
	g_free(testbed_item_value(testbed, "k", &invalid_tokens));
	g_assert_cmpuint(invalid_tokens, ==, 0);
	testbed_stop(testbed);
}

/* Number of objects that take several pages. */
#define LISTED_OBJECTS 5

/* The last response of the store. */
typedef struct store_result {
	bool answered;
	object_store_status_t status;
	uint32_t count;
	uint64_t era;
} store_result_t;

/*
 * Record a response of the store.
 */
static void
on_store_response(void *context, const object_store_response_t *response)
{
	store_result_t *result = context;

	*result = (store_result_t){
	    true, response->status, response->count, response->era};
}

/*
 * List the records of the daemons.
 */
static void
list_records(object_store_t *objects, store_result_t *result)
{
	*result = (store_result_t){0};
	platform_object_store.list(
	    objects, OBJECT_DAEMON, OBJECTS_LATEST, on_store_response, result);
	while (!result->answered)
		g_main_context_iteration(NULL, TRUE);
}

/*
 * Test that a list fails whose pages are from before and after the store has
 * gone back, and that the next one has the new era.
 */
static void
test_list_of_two_eras(void)
{
	testbed_plan_t plan = {0};
	testbed_t *testbed = testbed_start(&plan);
	char *address = g_strdup_printf("127.0.0.1:%u", testbed->platform.port);
	object_store_t *objects =
	    platform_object_store.open(address, ANSWER_TIMEOUT_MS);
	store_result_t result;
	uint32_t i;

	for (i = 0; i < LISTED_OBJECTS; i++) {
		char *name = g_strdup_printf("d%u", i);

		testbed_put_object(
		    testbed, "bergamotplank-daemons", name, "{}");
		g_free(name);
	}
	testbed_inject_fault(testbed, "store", "copy", -1);
	testbed_inject_fault(testbed, "store", "restored-in-list", -1);
	list_records(objects, &result);
	g_assert_cmpint(result.status, ==, OBJECT_STORE_NO_RESPONSE);
	list_records(objects, &result);
	g_assert_cmpint(result.status, ==, OBJECT_STORE_OK);
	g_assert_cmpuint(result.count, ==, LISTED_OBJECTS);
	g_assert_cmpuint(result.era, ==, 2);
	platform_object_store.close(objects);
	g_free(address);
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
	log_start(G_LOG_LEVEL_WARNING, STDERR_FILENO);
	CASES("/restored/config", config_cases, test_config);
	CASES("/restored/record", record_cases, test_record);
	g_test_add_func("/restored/list", test_list_of_two_eras);
	g_test_add_func("/restored/leaving", test_leaving_kept);
	g_test_add_func("/restored/leaving-ends", test_leaving_ends);
	CASES("/restored/token", token_cases, test_token);
	return g_test_run();
}
