#include "cases.h"
#include "fake/testbed.h"

#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <string.h>

/*
 * Tests of orders that are held up, and of fencing tokens that might be used
 * twice, with proxy processes and a fake platform.
 */

#define READY_TIMEOUT_MS 10000
#define ANSWER_TIMEOUT_MS 5000

/* Time until all daemons are listed. */
#define LISTED_MS 2500

/* Time until a database that has returned has caught up. */
#define CAUGHT_UP_MS 2500

/* Time in which a primary that has crashed is replaced. */
#define PROMOTION_MS 12000

/*
 * Assert that no order had a fencing token that was lower than one before, or
 * that another daemon had used.
 */
static void
assert_tokens_valid(testbed_t *testbed)
{
	uint32_t invalid = 0;
	char *promoted = testbed_get(testbed, "/promoted");

	g_free(testbed_item_value(testbed, "k", &invalid));
	g_test_message("promoted:%s, %u invalid", promoted, invalid);
	g_assert_cmpuint(invalid, ==, 0);
	g_free(promoted);
}

/* A record of a former coordinator, with a token. */
#define RECORD_OF_OTHER(token) "{\"holder\":\"other\",\"token\":" #token "}"

/* What happens to the coordinator record after an order. */
typedef enum record_fault {
	RECORD_DELETED,
	RECORD_OLDER, /* another writer puts an older one in its place */
} record_fault_t;

typedef struct record_case {
	const char *name;
	record_fault_t fault;
	bool coordinator; /* it restarts */
	bool other;       /* another daemon restarts */
	bool all;         /* all daemons stop before it, and start after it */
} record_case_t;

static const record_case_t record_cases[] = {
    {"it is deleted", RECORD_DELETED, false, false},
    {"it is deleted, and another daemon restarts", RECORD_DELETED, false, true},
    {"it is deleted, and the coordinator restarts", RECORD_DELETED, true,
	false},
    {"it is deleted while all daemons restart", RECORD_DELETED, false, false,
	true},
    {"an older one is written", RECORD_OLDER, false, false},
    {"an older one is written, and the coordinator restarts", RECORD_OLDER,
	true, false},
    {"an older one is written while all daemons restart", RECORD_OLDER, false,
	false, true},
};

/*
 * Let a fault act on the coordinator record.
 */
static void
record_inject_fault(testbed_t *testbed, record_fault_t fault)
{
	char *url = g_strdup_printf(
	    "http://127.0.0.1:%u/objects/bergamotplank-duties/promotion",
	    testbed->platform.port);

	if (fault == RECORD_DELETED)
		g_assert_cmpuint(http_call("DELETE", url, NULL, NULL), ==, 200);
	else
		testbed_put_object(testbed, "bergamotplank-duties", "promotion",
		    RECORD_OF_OTHER(2));
	g_free(url);
}

/*
 * Restart daemons around a fault of the coordinator record, or after it.
 */
static void
record_fault_restarts(
    testbed_t *testbed, const record_case_t *c, uint32_t coordinator)
{
	uint32_t i, proxies = testbed->plan.proxies;

	for (i = 0; c->all && i < proxies; i++)
		fleet_process_kill(&testbed->proxies[i]);
	record_inject_fault(testbed, c->fault);
	for (i = 0; i < proxies; i++) {
		bool restarts = i == coordinator
		    ? c->coordinator
		    : c->other && i == (coordinator + 1) % proxies;

		if (restarts)
			fleet_process_kill(&testbed->proxies[i]);
		if (restarts || c->all)
			testbed_proxy_start(testbed, i);
	}
	if (!c->all)
		return;
	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	g_usleep(LISTED_MS * G_TIME_SPAN_MILLISECOND);
}

/*
 * Test that after an order with a token the coordinator record of which is
 * lost, no daemon orders with that token or a lower one.
 */
static void
test_record(gconstpointer data)
{
	const record_case_t *c = data;
	testbed_plan_t plan = {.proxies = 3, .lag_ms = 5};
	testbed_t *testbed = testbed_start(&plan);
	uint32_t coordinator;
	int32_t promoted;

	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	g_usleep(LISTED_MS * G_TIME_SPAN_MILLISECOND);
	testbed_put_object(
	    testbed, "bergamotplank-duties", "promotion", RECORD_OF_OTHER(5));
	testbed_inject_fault(testbed, "database", "crash", 0);
	g_assert_true(testbed_write_served(testbed, 0, PROMOTION_MS));
	promoted = testbed_wait_primary(testbed, 1, "", 1000) ? 1 : 2;
	testbed_inject_fault(testbed, "database", "return", 0);
	g_usleep(CAUGHT_UP_MS * G_TIME_SPAN_MILLISECOND);
	coordinator = testbed_coordinator(testbed);
	record_fault_restarts(testbed, c, coordinator);
	testbed_inject_fault(testbed, "database", "crash", promoted);
	g_assert_true(testbed_write_served(
	    testbed, (coordinator + 2) % plan.proxies, PROMOTION_MS));
	assert_tokens_valid(testbed);
	testbed_stop(testbed);
}

typedef struct late_write_case {
	const char *name;
	int64_t fault_ms; /* for which writes of the record are late */
	bool killed;      /* the coordinator is killed then */
} late_write_case_t;

static const late_write_case_t late_write_cases[] = {
    {"another daemon has written it meanwhile", 600, false},
    {"the same, and the coordinator is gone", 600, true},
    {"it is carried out, and nobody knows", 4500, false},
    {"it is carried out, and the coordinator is gone", 4500, true},
};

/*
 * Test that no token is used twice if a write of the coordinator record is
 * carried out seconds after it was given up.
 */
static void
test_late_write(gconstpointer data)
{
	const late_write_case_t *c = data;
	testbed_plan_t plan = {.proxies = 3, .lag_ms = 5};
	testbed_t *testbed = testbed_start(&plan);
	uint32_t coordinator;
	int32_t promoted;

	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	g_usleep(LISTED_MS * G_TIME_SPAN_MILLISECOND);
	coordinator = testbed_coordinator(testbed);
	testbed_put_object(
	    testbed, "bergamotplank-duties", "promotion", RECORD_OF_OTHER(5));
	testbed_inject_fault(testbed, "store", "late-record", -1);
	testbed_inject_fault(testbed, "database", "crash", 0);
	g_usleep(c->fault_ms * G_TIME_SPAN_MILLISECOND);
	testbed_inject_fault(testbed, "store", "up", -1);
	if (c->killed)
		fleet_process_kill(&testbed->proxies[coordinator]);
	coordinator = (coordinator + 1) % plan.proxies;
	g_assert_true(testbed_write_served(testbed, coordinator, PROMOTION_MS));
	assert_tokens_valid(testbed);
	promoted = testbed_wait_primary(testbed, 1, "", 1000) ? 1 : 2;
	testbed_inject_fault(testbed, "database", "return", 0);
	g_usleep(CAUGHT_UP_MS * G_TIME_SPAN_MILLISECOND);
	testbed_inject_fault(testbed, "database", "crash", promoted);
	g_assert_true(testbed_write_served(testbed, coordinator, PROMOTION_MS));
	assert_tokens_valid(testbed);
	testbed_stop(testbed);
}

typedef struct named_case {
	const char *name;
	bool killed;     /* the coordinator is, after the first order */
	int64_t over_ms; /* time in which the first order is over */
} named_case_t;

static const named_case_t named_cases[] = {
    {"its process is the coordinator still", false, 4500},
    {"another process has read the record", true, 11000},
};

/*
 * Return the number of orders that the coordinator record names.
 */
static uint32_t
named_orders(const testbed_t *testbed)
{
	char *record =
	    testbed_get(testbed, "/objects/bergamotplank-duties/promotion");
	const char *order = record;
	uint32_t count = 0;

	while ((order = strstr(order, "left_ms")) != NULL) {
		order++;
		count++;
	}
	g_test_message("%s", record);
	g_free(record);
	return count;
}

/*
 * Test that the record does not name an order any more that was over before the
 * last one.
 */
static void
test_named(gconstpointer data)
{
	const named_case_t *c = data;
	testbed_plan_t plan = {.proxies = 3, .lag_ms = 5};
	testbed_t *testbed = testbed_start(&plan);
	uint32_t coordinator;
	int32_t promoted;

	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	g_usleep(LISTED_MS * G_TIME_SPAN_MILLISECOND);
	testbed_inject_fault(testbed, "database", "crash", 0);
	g_assert_true(testbed_write_served(testbed, 0, PROMOTION_MS));
	g_assert_cmpuint(named_orders(testbed), ==, 1);
	promoted = testbed_wait_primary(testbed, 1, "", 1000) ? 1 : 2;
	testbed_inject_fault(testbed, "database", "return", 0);
	coordinator = testbed_coordinator(testbed);
	if (c->killed)
		fleet_process_kill(&testbed->proxies[coordinator]);
	g_usleep(c->over_ms * G_TIME_SPAN_MILLISECOND);
	testbed_inject_fault(testbed, "database", "crash", promoted);
	g_assert_true(testbed_write_served(
	    testbed, (coordinator + 1) % plan.proxies, PROMOTION_MS));
	g_assert_cmpuint(named_orders(testbed), ==, 1);
	testbed_stop(testbed);
}

/* A fault of a database, or of its entry in the store, at a time. */
typedef struct step {
	int64_t at_ms;
	const char *fault; /* ENTRY_OLD: its entry shows the start before */
	int32_t database;
} step_t;

#define STEPS_MAX 8
#define ENTRY_OLD "entry-old"

typedef struct restarts_case {
	const char *name;
	step_t steps[STEPS_MAX]; /* up to one without a fault */
} restarts_case_t;

static const restarts_case_t restarts_cases[] = {
    {"a replica starts again, and the primary is cut off and back",
	{{0, "crash", 2}, {50, "reborn", 2}, {100, "cut", 0},
	    {4000, "heal", 0}}},
    {"the same, and the new start is not listed",
	{{0, "crash", 2}, {50, "reborn", 2}, {50, ENTRY_OLD, 2},
	    {100, "cut", 0}, {2500, "heal", 0}, {3000, "list", 2}}},
    {"the same, and the primary receives no news of the others",
	{{0, "deaf", 0}, {0, "crash", 2}, {50, "reborn", 2}, {50, ENTRY_OLD, 2},
	    {100, "cut", 0}, {2500, "heal", 0}, {4000, "list", 2}}},
    {"a replica is cut off, starts again and is cut off again",
	{{0, "cut", 2}, {300, "crash", 2}, {350, "reborn", 2}, {400, "heal", 2},
	    {900, "cut", 2}, {1000, "cut", 0}, {4000, "heal", 2},
	    {6000, "heal", 0}}},
    {"the promoted one restarts with its log, the primary is back",
	{{0, "deaf", 0}, {0, "cut", 0}, {1000, "crash", 1}, {1050, "return", 1},
	    {1200, "heal", 0}}},
    {"the other replica starts again during the change of primary",
	{{0, "deaf", 0}, {0, "cut", 0}, {700, "crash", 2}, {750, "reborn", 2},
	    {750, ENTRY_OLD, 2}, {1200, "heal", 0}, {4000, "list", 2}}},
    {"the same, sooner",
	{{0, "deaf", 0}, {0, "cut", 0}, {400, "crash", 2}, {430, "reborn", 2},
	    {430, ENTRY_OLD, 2}, {700, "heal", 0}, {4000, "list", 2}}},
    {"the same, and the promoted one is cut off",
	{{0, "deaf", 0}, {0, "cut", 0}, {700, "crash", 2}, {750, "reborn", 2},
	    {750, ENTRY_OLD, 2}, {1000, "cut", 1}, {1200, "heal", 0},
	    {6000, "heal", 1}}},
    {"the primary starts again twice",
	{{0, "crash", 0}, {100, "reborn", 0}, {900, "crash", 0},
	    {1000, "reborn", 0}}},
};

/* Time for which clients write. */
#define WRITES_MS 9000

/* Time in which writes are acknowledged again after that. */
#define RECOVERY_MS 16000

/* An entry of a server that was started first. */
#define FIRST_ENTRY \
	"{\"backend\":\"ledger\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z\"," \
	"\"version\":\"v1\",\"capacity\":4,\"state\":\"ready\"," \
	"\"cold-remaining-ms\":0,\"sequence\":1,\"born\":1}"

/*
 * Carry out a step.
 */
static void
carry_out(testbed_t *testbed, const step_t *step)
{
	char *name, *entry;

	if (strcmp(step->fault, ENTRY_OLD) != 0) {
		testbed_inject_fault(
		    testbed, "database", step->fault, step->database);
		return;
	}
	name = g_strdup_printf("i-%d", step->database);
	entry = g_strdup_printf(FIRST_ENTRY,
	    testbed->first_database_port + (uint32_t)step->database);
	testbed_put_object(testbed, "servers", name, entry);
	g_free(entry);
	g_free(name);
}

/*
 * Write a value through a proxy, and add it to a list if it is acknowledged.
 */
static void
write_value(client_t **client, testbed_t *testbed, uint32_t proxy,
    uint32_t number, GPtrArray *acknowledged)
{
	char *text = g_strdup_printf("WRITE k v%u", number), *answer = NULL;

	if (*client == NULL)
		*client = client_open_session(testbed, proxy, "intake");
	if (*client != NULL)
		answer = client_query(*client, text, ANSWER_TIMEOUT_MS);
	if (answer != NULL && g_str_has_prefix(answer, "DONE"))
		g_ptr_array_add(acknowledged, g_strdup_printf(" v%u ", number));
	if (answer == NULL && *client != NULL) {
		client_close(*client);
		*client = NULL;
	}
	g_free(answer);
	g_free(text);
}

/*
 * Carry out steps while clients write, and assert that no write is acknowledged
 * at a primary that was replaced.
 */
static void
write_during(testbed_t *testbed, const step_t *step)
{
	const step_t *end = step + STEPS_MAX;
	GPtrArray *acknowledged = g_ptr_array_new_with_free_func(g_free);
	client_t *clients[TESTBED_PROXIES_MAX] = {NULL};
	int64_t began_us = g_get_monotonic_time(), now_ms = 0;
	char *outdated;
	uint32_t i, n;

	for (n = 0; now_ms < WRITES_MS; n++) {
		now_ms = (g_get_monotonic_time() - began_us) /
		    G_TIME_SPAN_MILLISECOND;
		while (
		    step < end && step->fault != NULL && step->at_ms <= now_ms)
			carry_out(testbed, step++);
		i = n % testbed->plan.proxies;
		write_value(&clients[i], testbed, i, n, acknowledged);
		g_usleep(G_TIME_SPAN_MILLISECOND);
	}
	outdated = testbed_get(testbed, "/outdated");
	g_test_message(
	    "%u acknowledged, outdated:%.200s", acknowledged->len, outdated);
	for (i = 0; i < acknowledged->len; i++) {
		const char *value = g_ptr_array_index(acknowledged, i);

		if (strstr(outdated, value) != NULL)
			g_test_message("acknowledged:%s", value);
		g_assert_null(strstr(outdated, value));
	}
	for (i = 0; i < testbed->plan.proxies; i++) {
		if (clients[i] != NULL)
			client_close(clients[i]);
	}
	g_ptr_array_unref(acknowledged);
	g_free(outdated);
}

/*
 * Test that no write is acknowledged at a primary that was replaced when
 * databases start again, and forget their promises, around the change.
 */
static void
test_restarts(gconstpointer data)
{
	const restarts_case_t *c = data;
	testbed_plan_t plan = {.proxies = 3, .lag_ms = 5};
	testbed_t *testbed = testbed_start(&plan);

	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	g_usleep(LISTED_MS * G_TIME_SPAN_MILLISECOND);
	write_during(testbed, c->steps);
	assert_tokens_valid(testbed);
	g_assert_true(testbed_write_served(testbed, 0, RECOVERY_MS));
	testbed_stop(testbed);
}

typedef struct forgotten_case {
	const char *name;
	const char *start; /* how the other replica starts again */
	bool old_entry;    /* its entry shows its start before */
} forgotten_case_t;

static const forgotten_case_t forgotten_cases[] = {
    {"it is empty", "reborn", false},
    {"it is empty, and its new start is not listed", "reborn", true},
    {"it has its log", "return", false},
};

/*
 * Test that no write is acknowledged at a primary that an order replaces 6 s
 * after it was sent, while the database that it names is silent and the other
 * replica has started again, so that it has forgotten its promise.
 */
static void
test_forgotten_promise(gconstpointer data)
{
	const forgotten_case_t *c = data;
	testbed_plan_t plan = {.proxies = 3, .lag_ms = 5};
	testbed_t *testbed = testbed_start(&plan);
	step_t steps[STEPS_MAX] = {{0}};
	int32_t named, other, i;

	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	g_usleep(LISTED_MS * G_TIME_SPAN_MILLISECOND);
	for (i = 0; i < 3; i++)
		testbed_inject_fault(testbed, "database", "deaf", i);
	testbed_inject_fault(testbed, "order", "hold", -1);
	testbed_inject_fault(testbed, "database", "mute", 0);
	named = testbed_wait_held_order(testbed, PROMOTION_MS);
	g_assert_cmpint(named, >, 0);
	other = 3 - named;
	testbed_inject_fault(testbed, "database", "mute", named);
	testbed_inject_fault(testbed, "database", "crash", other);
	testbed_inject_fault(testbed, "database", c->start, other);
	testbed_inject_fault(testbed, "database", "speak", 0);
	if (c->old_entry)
		steps[0] = (step_t){0, ENTRY_OLD, other};
	write_during(testbed, steps);
	testbed_inject_fault(testbed, "database", "speak", named);
	for (i = 0; i < 3; i++)
		testbed_inject_fault(testbed, "database", "hear", i);
	g_assert_true(testbed_write_served(testbed, 0, RECOVERY_MS));
	assert_tokens_valid(testbed);
	testbed_stop(testbed);
}

typedef struct lost_case {
	const char *name;
	const char *fault; /* of the database that the order names */
} lost_case_t;

static const lost_case_t lost_cases[] = {
    {"it has ended", "crash"},
    {"it is silent", "mute"},
};

/* Time in which an order may take effect, and a primary hands over then. */
#define LOST_RECOVERY_MS 20000

/*
 * Test that writes are acknowledged again soon after the time of an order is
 * over, although the database that it names is lost before it can be asked what
 * came of the order.
 */
static void
test_lost(gconstpointer data)
{
	const lost_case_t *c = data;
	testbed_plan_t plan = {.proxies = 3, .lag_ms = 5};
	testbed_t *testbed = testbed_start(&plan);
	int64_t held_us;
	int32_t named;

	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	g_usleep(LISTED_MS * G_TIME_SPAN_MILLISECOND);
	testbed_inject_fault(testbed, "order", "hold", -1);
	testbed_inject_fault(testbed, "database", "mute", 0);
	named = testbed_wait_held_order(testbed, PROMOTION_MS);
	g_assert_cmpint(named, >, 0);
	held_us = g_get_monotonic_time();
	testbed_inject_fault(testbed, "database", c->fault, named);
	testbed_inject_fault(testbed, "database", "speak", 0);
	g_assert_true(testbed_write_served(testbed, 0, LOST_RECOVERY_MS));
	g_test_message("served after %" G_GINT64_FORMAT " ms",
	    (g_get_monotonic_time() - held_us) / G_TIME_SPAN_MILLISECOND);
	assert_tokens_valid(testbed);
	testbed_stop(testbed);
}

typedef struct unlisted_case {
	const char *name;
	bool unlisted; /* the entry of the named database is missing */
} unlisted_case_t;

static const unlisted_case_t unlisted_cases[] = {
    {"it is listed", false},
    {"its entry is missing", true},
};

/*
 * A record of the second of two orders to replace the first primary; the first
 * one is open.
 */
#define SECOND_ORDER_RECORD \
	"{\"holder\":\"other\",\"token\":5,\"orders\":[{\"group\":\"ledger\"," \
	"\"replaced_term\":1,\"attempt_term\":3,\"open\":[" \
	"{\"server\":\"i-1\",\"attempt_term\":2,\"replaced_term\":1," \
	"\"left_ms\":8000}],\"members\":[{\"server\":\"i-0\",\"born\":1}," \
	"{\"server\":\"i-1\",\"born\":1},{\"server\":\"i-2\",\"born\":1}]}]}"

/* Time in which an order takes effect at once. */
#define EFFECT_MS 2000

/* Time after which a daemon counts no order of before its start as open. */
#define ORDERS_OVER_MS 12000

/* Time in which writes are served once none is open. */
#define UNCHECKED_MS 3000

/*
 * Order the promotion of a database, as a coordinator does, and wait until it
 * leads a term.
 */
static void
promote(const testbed_t *testbed, uint32_t database, const char *term)
{
	client_t *client = client_connect(testbed->platform.port);
	char *body = g_strdup_printf(
	    "{\"backend\":\"ledger\",\"id\":\"i-%u\"}", database);
	char *request =
	    g_strdup_printf("POST /promote HTTP/1.1\r\nHost: platform\r\n"
			    "Bergamotplank-Lease-Holder: other\r\n"
			    "Bergamotplank-Fencing-Token: 5\r\n"
			    "Content-Type: application/json\r\n"
			    "Content-Length: %zu\r\n\r\n%s",
		strlen(body), body);

	g_assert_true(client_send(client, request, strlen(request)));
	g_assert_true(testbed_wait_primary(testbed, database, term, EFFECT_MS));
	client_close(client);
	g_free(request);
	g_free(body);
}

/*
 * Test that a daemon that starts while an order is held up has no write
 * acknowledged at a primary that this order replaces meanwhile, also where the
 * database that it names is not listed.
 */
static void
test_unlisted(gconstpointer data)
{
	const unlisted_case_t *c = data;
	testbed_plan_t plan = {.proxies = 1, .lag_ms = 5};
	testbed_t *testbed = testbed_start(&plan);
	char *outdated;
	bool served;
	int32_t i;

	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	fleet_process_kill(&testbed->proxies[0]);
	for (i = 0; i < 3; i++)
		testbed_inject_fault(testbed, "database", "deaf", i);
	promote(testbed, 2, "2 ");
	if (c->unlisted)
		testbed_inject_fault(testbed, "database", "unlist", 1);
	testbed_put_object(
	    testbed, "bergamotplank-duties", "promotion", SECOND_ORDER_RECORD);
	testbed_proxy_start(testbed, 0);
	g_usleep(LISTED_MS * G_TIME_SPAN_MILLISECOND);
	promote(testbed, 1, "3 ");
	g_usleep(ORDERS_OVER_MS * G_TIME_SPAN_MILLISECOND);
	served = testbed_write_served(testbed, 0, UNCHECKED_MS);
	outdated = testbed_get(testbed, "/outdated");
	g_test_message("served: %d, outdated:%.200s", served, outdated);
	g_assert_null(strstr(outdated, " v "));
	g_free(outdated);
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
	CASES("/late-order/record", record_cases, test_record);
	CASES("/late-order/late-write", late_write_cases, test_late_write);
	CASES("/late-order/named", named_cases, test_named);
	CASES("/late-order/restarts", restarts_cases, test_restarts);
	CASES("/late-order/forgotten-promise", forgotten_cases,
	    test_forgotten_promise);
	CASES("/late-order/lost", lost_cases, test_lost);
	CASES("/late-order/unlisted", unlisted_cases, test_unlisted);
	return g_test_run();
}
