#include "../platform/platform.h"
#include "../src/log.h"
#include "cases.h"
#include "fake/testbed.h"
#include "odd_content.h"

#include <curl/curl.h>
#include <string.h>
#include <unistd.h>

/*
 * Odd entries that another writer leaves in the store, with proxy processes and
 * a fake platform in a process of its own.
 */

#define READY_TIMEOUT_MS 10000
#define ANSWER_TIMEOUT_MS 5000
#define APPLY_TIMEOUT_MS 5000
/* the records of the daemons are listed every 8 s, odd ones removed after 13 */
#define LOG_TIMEOUT_MS 12000
#define FAILOVER_TIMEOUT_MS 20000
#define POLL_US 20000

typedef struct entry_case {
	const char *name;
	const char *kind;
	const char *object_name;
	const char *content;
	const char *why; /* what the log says of it */
} entry_case_t;

static const entry_case_t entry_cases[] = {
    {"a field nested too deeply", "servers", "stranger",
	SERVER_JSON(DEEP, "4", ""), "nested too deeply"},
    {"an unknown field nested too deeply", "servers", "stranger",
	SERVER_JSON(ADDRESS, "4", ",\"more\":" DEEP), "nested too deeply"},
    {"a number too large", "servers", "stranger",
	SERVER_JSON(ADDRESS, "1e400", ""), "capacity"},
    {"an integer too large", "servers", "stranger",
	SERVER_JSON(ADDRESS, "4", ",\"born\":99999999999999999999"), "born"},
    {"a port out of range", "servers", "stranger",
	SERVER_JSON("\"127.0.0.1:65536\"", "4", ""), "address"},
    {"port zero", "servers", "stranger",
	SERVER_JSON("\"127.0.0.1:0\"", "4", ""), "address"},
    {"bytes that are not text", "servers", "stranger",
	SERVER_JSON(ADDRESS, "4", ",\"more\":\"\xff\xfe\""), "not valid"},
    {"an unknown escape", "servers", "stranger",
	SERVER_JSON("\"\\q\"", "4", ""), "not valid"},
    {"a name that no URL may have", "servers", "a%zz", "{}", "missing"},
    {"a name with special characters", "servers", "a \"b\"\n/c&d=e%zz#f",
	SERVER_JSON(ADDRESS, "4", ""), "name"},
    {"of a database, which was good", "servers", "i-2",
	SERVER_JSON("{\"a\":" DEEP "}", "4", ""), "nested too deeply"},
    {"the configuration", "config", "main", "{\"version\":" DEEP "}",
	"nested too deeply"},
    {"beside the configuration", "config", "other",
	"{\"version\":4000000000000000000,\"routes\":[],\"services\":[]}",
	"name"},
    {"a record of a daemon", "bergamotplank-daemons", "stranger",
	"{\"address\":\"127.0.0.1:9\",\"beat\":" DEEP "}", "nested too deeply"},
};

/*
 * Return the number of lines in the log of the proxy that have two texts.
 */
static uint32_t
count_logged(const testbed_t *testbed, const char *first, const char *second)
{
	char *log = testbed_read_log(testbed, 0), **lines;
	uint32_t i, count = 0;

	lines = g_strsplit(log, "\n", -1);
	for (i = 0; lines[i] != NULL; i++)
		count += strstr(lines[i], first) != NULL &&
		    strstr(lines[i], second) != NULL;
	g_strfreev(lines);
	g_free(log);
	return count;
}

/*
 * Wait until the log of the proxy has a line with two texts in it.
 */
static void
wait_logged(const testbed_t *testbed, const char *first, const char *second)
{
	int64_t deadline_us = clock_us() + LOG_TIMEOUT_MS * US_PER_MS;

	while (count_logged(testbed, first, second) == 0) {
		if (clock_us() >= deadline_us)
			g_error("no line with %s and %s", first, second);
		g_usleep(POLL_US);
	}
}

/*
 * Wait until a proxy knows a change of the configuration, and one of an entry
 * of a database.
 */
static void
wait_following(testbed_t *testbed)
{
	int64_t deadline_us = clock_us() + APPLY_TIMEOUT_MS * US_PER_MS;
	char *content = g_strdup_printf(
	    "{\"backend\":\"ledger\",\"address\":\"127.0.0.1:%u\","
	    "\"zone\":\"z\",\"version\":\"v1\",\"capacity\":4,"
	    "\"state\":\"draining\",\"cold-remaining-ms\":0,"
	    "\"db-role\":\"replica\",\"sequence\":2,\"born\":1}",
	    testbed->first_database_port + 2);
	client_t *client;

	testbed_configure(testbed, 2, "lookup");
	testbed_put_object(testbed, "servers", "i-2", content);
	while ((client = client_open_session(testbed, 0, "lookup")) != NULL) {
		client_close(client);
		if (clock_us() >= deadline_us)
			g_error("the configuration is not followed");
		g_usleep(POLL_US);
	}
	wait_logged(
	    testbed, "\"event\":\"server_listed\",", "\"leaving\":true");
	g_free(content);
}

/*
 * Write until a write succeeds.
 */
static void
wait_written(testbed_t *testbed)
{
	int64_t deadline_us = clock_us() + FAILOVER_TIMEOUT_MS * US_PER_MS;
	bool written = false;

	while (!written) {
		client_t *client = client_open_session(testbed, 0, "intake");
		char *answer = client == NULL
		    ? NULL
		    : client_query(client, "WRITE k v", ANSWER_TIMEOUT_MS);

		written = answer != NULL && g_str_has_prefix(answer, "DONE p");
		if (!written && clock_us() >= deadline_us)
			g_error("no write succeeds");
		g_free(answer);
		client_close(client);
		g_usleep(POLL_US);
	}
}

/*
 * Test that an odd entry of another writer is rejected by itself: the proxy
 * follows later changes, starts, and replaces a primary, and its log names the
 * entry and says why it is not used.
 */
static void
test_entry(gconstpointer data)
{
	const entry_case_t *c = data;
	testbed_plan_t plan = {.proxies = 1, .lag_ms = 5};
	testbed_t *testbed = testbed_start(&plan);
	char *content = content_of(c->content),
	     *name = g_strndup(c->object_name, strcspn(c->object_name, "\""));
	char *pattern = g_strdup_printf("\"event\":\"entry_rejected\","
					"\"kind\":\"%s\",\"name\":\"%s",
	    c->kind, name);

	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	testbed_put_object(testbed, c->kind, c->object_name, content);
	/* so that a page of the list ends with the odd entry */
	testbed_put_object(testbed, "servers", "later", OTHER_JSON);
	wait_logged(testbed, pattern, c->why);
	wait_following(testbed);
	/* lists that show the entry again do not log it again */
	g_assert_cmpuint(count_logged(testbed, pattern, ""), ==, 1);
	g_assert_false(fleet_process_wait_exit(&testbed->proxies[0], 50, NULL));
	fleet_process_kill(&testbed->proxies[0]);
	testbed_proxy_start(testbed, 0);
	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	wait_written(testbed);
	testbed_inject_fault(testbed, "database", "crash", 0);
	wait_written(testbed);
	g_free(pattern);
	g_free(name);
	g_free(content);
	testbed_stop(testbed);
}

#define LIST_OBJECTS 5

typedef struct list_case {
	const char *name;
	const char *object_name; /* beginning of the names */
	const char *store_fault; /* NULL: none */
	object_store_status_t status;
} list_case_t;

static const list_case_t list_cases[] = {
    {"names with special characters", "a \"b\"\n/c&d=e%zz#f\xc3\xa9+", NULL,
	OBJECT_STORE_OK},
    {"pages without a name", "d", "nameless", OBJECT_STORE_NO_RESPONSE},
    {"the same page again and again", "d", "repeating",
	OBJECT_STORE_NO_RESPONSE},
};

/* The result of a list. */
typedef struct list_result {
	bool ended;
	object_store_status_t status;
	uint32_t count;
} list_result_t;

/*
 * Record the result of a list.
 */
static void
on_list(void *context, const object_store_response_t *response)
{
	list_result_t *result = context;

	result->ended = true;
	result->status = response->status;
	result->count = response->count;
}

/*
 * Note that the time for a list is over.
 */
static gboolean
on_list_timeout(gpointer context)
{
	*(bool *)context = true;
	return G_SOURCE_REMOVE;
}

/*
 * Test that a list of several pages has all objects, or ends as failed: one
 * that ends early would make the objects that it lacks look removed.
 */
static void
test_list(gconstpointer data)
{
	const list_case_t *c = data;
	testbed_plan_t plan = {0};
	testbed_t *testbed = testbed_start(&plan);
	char *address = g_strdup_printf("127.0.0.1:%u", testbed->platform.port);
	object_store_t *objects =
	    platform_object_store.open(address, ANSWER_TIMEOUT_MS);
	list_result_t result = {0};
	bool late = false;
	uint32_t i;

	for (i = 0; i < LIST_OBJECTS; i++) {
		char *name = g_strdup_printf("%s%u", c->object_name, i);

		testbed_put_object(
		    testbed, "bergamotplank-daemons", name, "{}");
		g_free(name);
	}
	if (c->store_fault != NULL)
		testbed_inject_fault(testbed, "store", c->store_fault, -1);
	g_timeout_add(ANSWER_TIMEOUT_MS, on_list_timeout, &late);
	platform_object_store.list(
	    objects, OBJECT_DAEMON, OBJECTS_LATEST, on_list, &result);
	while (!result.ended && !late)
		g_main_context_iteration(NULL, TRUE);
	g_assert_true(result.ended);
	g_assert_cmpint(result.status, ==, c->status);
	if (c->status == OBJECT_STORE_OK)
		g_assert_cmpuint(result.count, ==, LIST_OBJECTS);
	platform_object_store.close(objects);
	g_free(address);
	testbed_stop(testbed);
}

typedef struct frame_case {
	const char *name;
	const char *bytes;
	uint32_t size_bytes;
} frame_case_t;

static const frame_case_t frame_cases[] = {
    {"garbage", "\x00\x00\x00\x04\xff\xff\xff\xff", 8},
    {"empty", "\x00\x00\x00\x00", 4},
    {"a length above the limit", "\xff\xff\xff\xff", 4},
};

/*
 * Test that a frame that cannot be read ends only the link that it came on, and
 * that the log says so.
 */
static void
test_frame(gconstpointer data)
{
	const frame_case_t *c = data;
	testbed_plan_t plan = {.proxies = 1, .lag_ms = 5};
	testbed_t *testbed = testbed_start(&plan);
	client_t *peer;

	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	peer = client_connect(testbed->proxies[0].peer_port);
	client_send(peer, c->bytes, c->size_bytes);
	g_assert_null(client_read_line(peer, ANSWER_TIMEOUT_MS));
	wait_logged(testbed, "\"peers\"", "unreadable frame");
	wait_written(testbed);
	client_close(peer);
	testbed_stop(testbed);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	log_start(G_LOG_LEVEL_WARNING, STDERR_FILENO);
	CASES("/entry/odd", entry_cases, test_entry);
	CASES("/entry/list", list_cases, test_list);
	CASES("/entry/frame", frame_cases, test_frame);
	return g_test_run();
}
