#include "cases.h"
#include "fake/testbed.h"

#include <signal.h>
#include <string.h>

/*
 * Tests of statements that one proxy sends to another: five proxies, of which
 * two own the group, since a database accepts few connections.
 */

#define READY_TIMEOUT_MS 10000
#define ANSWER_TIMEOUT_MS 5000
#define PROXIES 5
#define DATABASES 3
#define CONNECTIONS_MAX 8
#define SERVICE_TIME_MS 150
#define TRANSACTION_IDLE_MS 3000
#define STATEMENTS_MAX 6

/* Time after a statement was sent at which a fault finds it at the database. */
#define IN_FLIGHT_MS 60

/* Time for which an owner is paused in the tests that let it go on. */
#define PAUSE_MS 600

/* Time limits for the proxies to agree on the owners, and for a rollback. */
#define PLACEMENT_TIMEOUT_MS 15000
#define ROLLBACK_TIMEOUT_MS 3000

#define POLL_US 20000

/*
 * Time after its first list of the databases in which a proxy to which the
 * store has not answered a call before has no lease on the primary, since the
 * list may be incomplete.
 */
#define LIST_NEW_MS 3000

/* Timeout of a statement, as in the routes. */
#define STATEMENT_TIMEOUT_MS 1000

/* A testbed, and the proxies that a test uses. */
typedef struct forward_bed {
	testbed_t *testbed;
	uint32_t front;   /* a proxy without connections to the databases */
	uint32_t owner;   /* the owner that it sends statements to */
	client_t *client; /* session of database "intake" at the front */
} forward_bed_t;

/*
 * Count the proxies that own the group.
 */
static uint32_t
count_owners(const testbed_t *testbed)
{
	uint32_t i, owners = 0;

	for (i = 0; i < PROXIES; i++)
		owners += testbed_metric(testbed, i, "groups_owned") > 0;
	return owners;
}

/*
 * Wait until the proxies know each other, so that two of them own the group.
 */
static void
wait_placed(const testbed_t *testbed)
{
	uint32_t waited_ms;

	for (waited_ms = 0; waited_ms < PLACEMENT_TIMEOUT_MS;
	     waited_ms += 100) {
		uint32_t i, known = 0;

		for (i = 0; i < PROXIES; i++)
			known += testbed_metric(testbed, i, "daemons_known") ==
			    PROXIES;
		if (known == PROXIES && count_owners(testbed) == 2)
			return;
		g_usleep(100 * US_PER_MS);
	}
	g_error("the proxies do not know each other");
}

/*
 * Tell whether a proxy has had connections to the databases, as owners and the
 * coordinator have.
 */
static bool
is_connected(const testbed_t *testbed, uint32_t proxy)
{
	return testbed_metric(testbed, proxy, "groups_owned") > 0 ||
	    testbed_metric(testbed, proxy, "server_connections_opened") > 0;
}

/*
 * Tell whether the store has left a call of a proxy unanswered, by the logs.
 */
static bool
store_was_silent(const testbed_t *testbed)
{
	bool silent = false;
	uint32_t i;

	for (i = 0; i < PROXIES; i++) {
		char *log = testbed_read_log(testbed, i);

		silent |= strstr(log, "\"dependency_lost\"") != NULL ||
		    strstr(log, "Cannot list the daemons") != NULL;
		g_free(log);
	}
	return silent;
}

/* What a refusal says before the time in ms after which to retry. */
#define NOT_RUN "not run; retry-after-ms="

/*
 * Check that the first read is served once the lists of the databases are no
 * longer new, and that every refusal before says that it has not run and when
 * to retry.  The read is repeated as it says.
 */
static void
expect_served_late(client_t *client)
{
	int64_t deadline_us =
	    clock_us() + (LIST_NEW_MS + STATEMENT_TIMEOUT_MS) * US_PER_MS;
	uint32_t refusals = 0;
	char *answer = client_query(client, "READ first", ANSWER_TIMEOUT_MS);

	while (answer != NULL && g_str_has_prefix(answer, "ERR BUSY ") &&
	    clock_us() < deadline_us) {
		const char *not_run = strstr(answer, NOT_RUN);

		g_assert_nonnull(not_run);
		g_usleep(g_ascii_strtoull(not_run + strlen(NOT_RUN), NULL, 10) *
		    US_PER_MS);
		refusals++;
		g_free(answer);
		answer = client_query(client, "READ first", ANSWER_TIMEOUT_MS);
	}
	g_test_message("%u refusals", refusals);
	if (answer == NULL || !g_str_has_prefix(answer, "ROW none|DONE p"))
		g_error("READ first: found %s", answer);
	g_free(answer);
}

/* Five proxies, of which two own the group. */
static const testbed_plan_t forward_plan = {.proxies = PROXIES,
    .lag_ms = 5,
    .service_time_ms = SERVICE_TIME_MS,
    .connections_max = CONNECTIONS_MAX,
    .transaction_idle_ms = TRANSACTION_IDLE_MS};

/*
 * Start a testbed until the proxies agree on the owners, and open a session at
 * a proxy without connections to the databases.
 */
static forward_bed_t *
forward_bed_open(const testbed_plan_t *plan)
{
	forward_bed_t *bed = g_new0(forward_bed_t, 1);

	bed->testbed = testbed_start(plan);
	g_assert_true(testbed_wait_ready(bed->testbed, READY_TIMEOUT_MS));
	wait_placed(bed->testbed);
	while (is_connected(bed->testbed, bed->front))
		bed->front++;
	bed->client = client_open_session(bed->testbed, bed->front, "intake");
	g_assert_nonnull(bed->client);
	return bed;
}

/*
 * Check that the first read is served: at once, unless the store has not
 * answered a call of a proxy that started.
 */
static void
expect_first_read(const forward_bed_t *bed)
{
	if (store_was_silent(bed->testbed))
		expect_served_late(bed->client);
	else
		client_expect(bed->client, "READ first", "ROW none|DONE p");
}

/*
 * Start a testbed, and find a proxy without connections to the databases and
 * the owner that it uses.
 */
static forward_bed_t *
forward_bed_start_plan(const testbed_plan_t *plan)
{
	forward_bed_t *bed = forward_bed_open(plan);
	uint64_t sent_before[PROXIES];
	uint32_t i;

	for (i = 0; i < PROXIES; i++)
		sent_before[i] =
		    testbed_metric(bed->testbed, i, "statements_sent");
	expect_first_read(bed);
	while (testbed_metric(bed->testbed, bed->owner, "statements_sent") ==
	    sent_before[bed->owner])
		bed->owner++;
	g_assert_cmpuint(bed->owner, !=, bed->front);
	return bed;
}

/*
 * Start the testbed of most tests.
 */
static forward_bed_t *
forward_bed_start(void)
{
	return forward_bed_start_plan(&forward_plan);
}

/*
 * Stop the testbed.
 */
static void
forward_bed_stop(forward_bed_t *bed)
{
	client_close(bed->client);
	testbed_stop(bed->testbed);
	g_free(bed);
}

typedef struct step {
	const char *statement;
	const char *expected; /* prefix of the answer; lines joined by "|" */
} step_t;

typedef struct start_case {
	const char *name;
	uint32_t paused_ms; /* the platform, while the proxies start */
	bool unanswered;    /* calls of the store end without an answer */
} start_case_t;

static const start_case_t start_cases[] = {
    {"the platform runs", 0, false},
    {"the platform is held up for less than the timeout of a call", 100, false},
    {"the platform is held up for longer than the timeout of a call", 700,
	true},
};

/*
 * Test that the first statement at an owner that has no connections yet is
 * served at once if the store has answered all calls of the proxies, which
 * start together, and otherwise as soon as leases are possible.
 */
static void
test_start(gconstpointer data)
{
	const start_case_t *c = data;
	testbed_plan_t plan = forward_plan;
	forward_bed_t *bed;

	plan.platform_paused_ms = c->paused_ms;
	bed = forward_bed_open(&plan);
	if (!c->unanswered)
		g_assert_false(store_was_silent(bed->testbed));
	expect_first_read(bed);
	forward_bed_stop(bed);
}

typedef struct loss_case {
	const char *name;
	int32_t signal; /* sent to the owner */
	bool resume;    /* SIGCONT follows after PAUSE_MS */
	/* statements before the signal */
	step_t before[STATEMENTS_MAX];
	/* statement that runs when the signal comes; NULL: none */
	step_t during;
	/* statements after the signal */
	step_t after[STATEMENTS_MAX];
	/* value of item "a" in the end; NULL: any */
	const char *value;
	/* kill the others that have connections before, so that a daemon
	   without connections takes over */
	bool kill_connected;
} loss_case_t;

#define BEGIN \
	{ \
		"BEGIN", "DONE -" \
	}

static const loss_case_t loss_cases[] = {
    {"killed while it reads", SIGKILL, false, {{NULL}},
	{"READ a", "ROW none|DONE p"}, {{"READ a", "ROW none|DONE p"}}, "none"},
    {"killed while it writes", SIGKILL, false, {{NULL}},
	{"WRITE a x", "ERR INDOUBT"}, {{"READ b", "ROW none|DONE p"}}, NULL},
    {"killed at the first statement of a transaction", SIGKILL, false, {BEGIN},
	{"WRITE a x", "DONE p"}, {{"COMMIT", "DONE p"}}, "x"},
    {"killed at a later statement of a transaction", SIGKILL, false,
	{BEGIN, {"WRITE a x", "DONE p"}}, {"WRITE b x", "ERR ABORTED"},
	{{"ROLLBACK", "DONE -|READY I"}, {"READ b", "ROW none|DONE p"}},
	"none"},
    {"killed between two statements of a transaction", SIGKILL, false,
	{BEGIN, {"WRITE a x", "DONE p"}}, {NULL},
	{{"COMMIT", "ERR ABORTED"}, {"READ b", "ROW none|DONE p"}}, "none"},
    {"killed while it commits", SIGKILL, false,
	{BEGIN, {"WRITE a x", "DONE p"}}, {"COMMIT", "ERR INDOUBT"},
	{{"READ b", "ROW none|DONE p"}}, NULL},
    {"frozen while it reads", SIGSTOP, false, {{NULL}},
	{"READ a", "ROW none|DONE p"}, {{"READ a", "ROW none|DONE p"}}, "none"},
    {"frozen while it reads, no other is connected", SIGSTOP, false, {{NULL}},
	{"READ a", "ROW none|DONE p"}, {{"READ a", "ROW none|DONE p"}}, "none",
	true},
    {"frozen while it writes", SIGSTOP, false, {{NULL}},
	{"WRITE a x", "ERR INDOUBT"}, {{"READ b", "ROW none|DONE p"}}, NULL},
    {"frozen in a transaction", SIGSTOP, false,
	{BEGIN, {"WRITE a x", "DONE p"}}, {"WRITE b x", "ERR ABORTED"},
	{{"ROLLBACK", "DONE -|READY I"}, {"READ b", "ROW none|DONE p"}},
	"none"},
    {"paused while it writes", SIGSTOP, true, {{NULL}}, {"WRITE a x", "DONE p"},
	{{"READ a", "ROW x|DONE p"}}, "x"},
    {"paused in a transaction", SIGSTOP, true, {BEGIN, {"WRITE a x", "DONE p"}},
	{"COMMIT", "DONE p"}, {{"READ a", "ROW x|DONE p"}}, "x"},
    {"stopped while it writes", SIGTERM, false, {{NULL}},
	{"WRITE a x", "DONE p"}, {{"READ a", "ROW x|DONE p"}}, "x"},
    {"stopped in a transaction", SIGTERM, false,
	{BEGIN, {"WRITE a x", "DONE p"}}, {"WRITE b x", "DONE p"},
	{{"COMMIT", "DONE p"}, {"READ a", "ROW x|DONE p"}}, "x"},
};

/*
 * Run the statements of a table.
 */
static void
run_steps(client_t *client, const step_t *steps)
{
	uint32_t i;

	for (i = 0; i < STATEMENTS_MAX && steps[i].statement != NULL; i++)
		client_expect(client, steps[i].statement, steps[i].expected);
}

/*
 * Check the beginning of the answer to a statement that was sent before.
 */
static void
expect_pending(client_t *client, const step_t *step)
{
	char *answer = client_read_answer(client, ANSWER_TIMEOUT_MS);

	if (answer == NULL || !g_str_has_prefix(answer, step->expected))
		g_error("%s: expected %s, found %s", step->statement,
		    step->expected, answer);
	g_free(answer);
}

/*
 * Wait until the front has noticed the loss of the owner.
 */
static void
wait_owner_lost(const forward_bed_t *bed)
{
	int64_t deadline_us =
	    g_get_monotonic_time() + ROLLBACK_TIMEOUT_MS * US_PER_MS;

	while (testbed_metric(bed->testbed, bed->front, "owners_lost") == 0) {
		g_assert_cmpint(g_get_monotonic_time(), <, deadline_us);
		g_usleep(POLL_US);
	}
}

/*
 * Kill the proxies that have connections to the databases, except the owner
 * that the front uses.  New connections take long to open.
 */
static void
kill_connected(const forward_bed_t *bed)
{
	uint32_t i;

	for (i = 0; i < PROXIES; i++) {
		if (i != bed->owner && is_connected(bed->testbed, i))
			fleet_process_signal(
			    &bed->testbed->proxies[i], SIGKILL);
	}
	for (i = 0; i < DATABASES; i++)
		testbed_inject_fault(
		    bed->testbed, "database", "slow-open", (int32_t)i);
}

/*
 * Test the outcome of a statement, and the state of its session, when the owner
 * that runs it is lost, silent or stopped.
 */
static void
test_loss(gconstpointer data)
{
	const loss_case_t *c = data;
	forward_bed_t *bed = forward_bed_start();
	fleet_process_t *owner = &bed->testbed->proxies[bed->owner];

	if (c->kill_connected)
		kill_connected(bed);
	run_steps(bed->client, c->before);
	if (c->during.statement != NULL) {
		g_assert_true(
		    client_send_query(bed->client, c->during.statement));
		g_usleep(IN_FLIGHT_MS * US_PER_MS);
	}
	fleet_process_signal(owner, c->signal);
	if (c->resume) {
		g_usleep(PAUSE_MS * US_PER_MS);
		fleet_process_signal(owner, SIGCONT);
	}
	if (c->during.statement != NULL)
		expect_pending(bed->client, &c->during);
	else if (c->signal == SIGKILL)
		wait_owner_lost(bed);
	run_steps(bed->client, c->after);
	if (c->value != NULL) {
		char *value = testbed_item_value(bed->testbed, "a", NULL);

		g_assert_cmpstr(value, ==, c->value);
		g_free(value);
	}
	if (c->signal == SIGSTOP)
		fleet_process_signal(owner, SIGCONT);
	forward_bed_stop(bed);
}

/*
 * Wait until no transaction is open at a proxy.
 */
static void
wait_rolled_back(const testbed_t *testbed, uint32_t proxy)
{
	int64_t deadline_us =
	    g_get_monotonic_time() + ROLLBACK_TIMEOUT_MS * US_PER_MS;

	while (testbed_metric(testbed, proxy, "transactions_open") > 0) {
		g_assert_cmpint(g_get_monotonic_time(), <, deadline_us);
		g_usleep(POLL_US);
	}
}

typedef struct front_case {
	const char *name;
	bool kill; /* kill the front; otherwise close the client's session */
} front_case_t;

static const front_case_t front_cases[] = {
    {"the session closes", false},
    {"the proxy of the session is killed", true},
};

/*
 * Test that the owner rolls back a transaction whose session has ended.
 */
static void
test_front_lost(gconstpointer data)
{
	const front_case_t *c = data;
	forward_bed_t *bed = forward_bed_start();
	char *value;

	client_expect(bed->client, "BEGIN", "DONE -");
	client_expect(bed->client, "WRITE a x", "DONE p");
	g_assert_cmpuint(
	    testbed_metric(bed->testbed, bed->owner, "transactions_open"), ==,
	    1);
	if (c->kill) {
		fleet_process_signal(
		    &bed->testbed->proxies[bed->front], SIGKILL);
	} else {
		client_close(bed->client);
		bed->client = NULL;
	}
	wait_rolled_back(bed->testbed, bed->owner);
	value = testbed_item_value(bed->testbed, "a", NULL);
	g_assert_cmpstr(value, ==, "none");
	g_free(value);
	forward_bed_stop(bed);
}

/*
 * Test that a statement goes to the owner again after the owner was killed and
 * started under the same address, and that the group is not opened at the front
 * for long.
 */
static void
test_owner_restarted(void)
{
	forward_bed_t *bed = forward_bed_start();
	fleet_process_t *owner = &bed->testbed->proxies[bed->owner];
	uint64_t sent;

	fleet_process_kill(owner);
	client_expect(bed->client, "WRITE a x", "DONE p");
	testbed_proxy_start(bed->testbed, bed->owner);
	g_assert_true(testbed_wait_ready(bed->testbed, READY_TIMEOUT_MS));
	wait_placed(bed->testbed);
	g_usleep(2500 * US_PER_MS); /* longest delay of a connection attempt */
	sent = testbed_metric(bed->testbed, bed->owner, "statements_sent");
	client_expect(bed->client, "READ a", "ROW x|DONE p");
	g_assert_cmpuint(
	    testbed_metric(bed->testbed, bed->owner, "statements_sent"), >,
	    sent);
	forward_bed_stop(bed);
}

/* Time in which a proxy must find an owner that has connections. */
#define ABLE_TIMEOUT_MS 4000

/*
 * Check that a read at a proxy is answered in time.
 */
static void
expect_served(testbed_t *testbed, uint32_t proxy)
{
	int64_t deadline_us = clock_us() + ABLE_TIMEOUT_MS * US_PER_MS;
	client_t *client = client_open_session(testbed, proxy, "intake");
	char *answer = NULL;

	g_assert_nonnull(client);
	do {
		g_free(answer);
		answer = client_query(client, "READ a", ANSWER_TIMEOUT_MS);
		g_assert_nonnull(answer);
	} while (!g_str_has_prefix(answer, "ROW none|DONE p") &&
	    clock_us() < deadline_us);
	if (!g_str_has_prefix(answer, "ROW none|DONE p"))
		g_error("proxy %u: %s", proxy, answer);
	g_free(answer);
	client_close(client);
}

/*
 * Have the databases accept no more connections.
 */
static void
crowd_databases(testbed_t *testbed)
{
	int32_t i;

	for (i = 0; i < DATABASES; i++)
		testbed_inject_fault(testbed, "database", "crowded", i);
}

/*
 * Wait until another proxy than the owner has connections to all databases: the
 * coordinator, or the other owner.  An owner opens its connections when it gets
 * a statement, or has listed the same number of daemons twice.
 */
static void
wait_other_connected(const forward_bed_t *bed)
{
	int64_t deadline_us =
	    g_get_monotonic_time() + PLACEMENT_TIMEOUT_MS * US_PER_MS;
	uint32_t i = PROXIES;

	while (i == PROXIES) {
		g_assert_cmpint(g_get_monotonic_time(), <, deadline_us);
		g_usleep(POLL_US);
		for (i = 0; i < PROXIES &&
		     (i == bed->owner ||
			 testbed_metric(bed->testbed, i,
			     "server_connections_opened") < DATABASES);
		     i++)
			;
	}
}

typedef struct unable_case {
	const char *name;
	bool coordinator; /* the owner that is killed is the coordinator */
} unable_case_t;

static const unable_case_t unable_cases[] = {
    {"another proxy may be the coordinator", false},
    {"it was the coordinator", true},
};

/*
 * Test that every proxy reaches one that has connections, after an owner was
 * killed while the databases accept no more connections.
 */
static void
test_owner_unable(gconstpointer data)
{
	const unable_case_t *c = data;
	testbed_plan_t plan = forward_plan;
	forward_bed_t *bed;
	uint32_t i;

	plan.last_coordinates = c->coordinator;
	bed = forward_bed_start_plan(&plan);
	if (c->coordinator)
		g_assert_cmpuint(
		    testbed_coordinator(bed->testbed), ==, bed->owner);
	wait_other_connected(bed);
	crowd_databases(bed->testbed);
	fleet_process_kill(&bed->testbed->proxies[bed->owner]);
	for (i = 0; i < PROXIES; i++) {
		if (i != bed->owner)
			expect_served(bed->testbed, i);
	}
	forward_bed_stop(bed);
}

typedef struct restarted_unable_case {
	const char *name;
	bool primary_only; /* only the primary is full, not all databases */
} restarted_unable_case_t;

static const restarted_unable_case_t restarted_unable_cases[] = {
    {"all databases are full", false},
    {"the primary is full", true},
};

/*
 * Test that where all proxies are owners, one that is restarted while databases
 * accept no more connections uses those of another.  The reads need the
 * primary.
 */
static void
test_restarted_unable(gconstpointer data)
{
	const restarted_unable_case_t *c = data;
	testbed_plan_t plan = {.proxies = 2, .lag_ms = 5};
	testbed_t *testbed = testbed_start(&plan);

	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	expect_served(testbed, 0);
	expect_served(testbed, 1);
	if (c->primary_only)
		testbed_inject_fault(testbed, "database", "crowded", -1);
	else
		crowd_databases(testbed);
	fleet_process_kill(&testbed->proxies[0]);
	testbed_proxy_start(testbed, 0);
	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	expect_served(testbed, 0);
	testbed_stop(testbed);
}

/*
 * Test the answers to the statements of a session whose values and prepared
 * statements are known to the front only.
 */
static void
test_session_values(void)
{
	static const step_t steps[] = {{"SET tz london", "DONE -|READY I -"},
	    {"PREPARE s1 WRITE q2c", "DONE -"}, {"EXEC s1 f1 data", "DONE p"},
	    {"READ f1", "ROW data|DONE p"}, {"DEALLOC s1", "DONE -"},
	    {"EXEC s1 f1 data", "ERR NOSTMT"}};
	forward_bed_t *bed = forward_bed_start();

	run_steps(bed->client, steps);
	g_assert_cmpuint(
	    testbed_metric(bed->testbed, bed->front, "statements_forwarded"),
	    >=, 3);
	forward_bed_stop(bed);
}

/*
 * Test that a transaction at an owner that is idle for too long is rolled back,
 * and that its session learns of it.
 */
static void
test_idle_transaction(void)
{
	forward_bed_t *bed = forward_bed_start();

	client_expect(bed->client, "BEGIN", "DONE -");
	client_expect(bed->client, "WRITE a x", "DONE p");
	g_usleep((TRANSACTION_IDLE_MS + 500) * US_PER_MS);
	client_expect(bed->client, "COMMIT", "ERR ABORTED");
	client_expect(bed->client, "READ a", "ROW none|DONE p");
	forward_bed_stop(bed);
}

/* Number of proxies that get news of the store from the two others. */
#define FOLLOWERS 3

/* Time within which a configuration must be in force, as in the settings. */
#define CONFIG_APPLY_MS 3000

typedef struct news_case {
	const char *name;
	int32_t signal; /* sent to the proxies that watch; 0: none */
} news_case_t;

static const news_case_t news_cases[] = {
    {"the watchers run", 0},
    {"the watchers are killed", SIGKILL},
    {"the watchers are frozen", SIGSTOP},
};

/*
 * Tell whether a proxy follows the news of another one, by its log.
 */
static bool
follows_news(const testbed_t *testbed, uint32_t proxy)
{
	char *log = testbed_read_log(testbed, proxy);
	const char *event;
	bool follows;

	event = g_strrstr(log, "\"event\":\"store_followed\"");
	follows = event != NULL &&
	    g_str_has_prefix(
		event, "\"event\":\"store_followed\",\"followed\":true");
	g_free(log);
	return follows;
}

/*
 * Wait until all but two proxies follow the news of those.
 */
static void
wait_following(const testbed_t *testbed, bool following[PROXIES])
{
	int64_t deadline_us =
	    g_get_monotonic_time() + PLACEMENT_TIMEOUT_MS * US_PER_MS;
	uint32_t i, followers;

	do {
		g_assert_cmpint(g_get_monotonic_time(), <, deadline_us);
		g_usleep(POLL_US);
		for (i = followers = 0; i < PROXIES; i++) {
			following[i] = follows_news(testbed, i);
			followers += following[i];
		}
	} while (followers != FOLLOWERS);
}

/*
 * Wait until a proxy refuses sessions of a database that the configuration has
 * dropped.
 */
static void
wait_refused(testbed_t *testbed, uint32_t proxy, int64_t deadline_us)
{
	client_t *client;

	while (
	    (client = client_open_session(testbed, proxy, "lookup")) != NULL) {
		client_close(client);
		g_assert_cmpint(g_get_monotonic_time(), <, deadline_us);
		g_usleep(POLL_US);
	}
}

/*
 * Test that a change of the configuration is in force in time at the proxies
 * that do not watch the store themselves, also when those that do are lost.
 */
static void
test_store_news(gconstpointer data)
{
	const news_case_t *c = data;
	forward_bed_t *bed = forward_bed_start();
	bool following[PROXIES];
	int64_t deadline_us;
	uint32_t i;

	wait_following(bed->testbed, following);
	for (i = 0; i < PROXIES; i++) {
		if (!following[i] && c->signal != 0)
			fleet_process_signal(
			    &bed->testbed->proxies[i], c->signal);
	}
	testbed_configure(bed->testbed, 2, "lookup");
	deadline_us = g_get_monotonic_time() + CONFIG_APPLY_MS * US_PER_MS;
	for (i = 0; i < PROXIES; i++) {
		if (following[i])
			wait_refused(bed->testbed, i, deadline_us);
	}
	for (i = 0; i < PROXIES && c->signal == SIGSTOP; i++) {
		if (!following[i])
			fleet_process_signal(
			    &bed->testbed->proxies[i], SIGCONT);
	}
	forward_bed_stop(bed);
}

/* Number of registrations that make a long list, and the name of one. */
#define REGISTRATIONS 520
#define REGISTRATION_NAME "i-other-%u"

/* Time in which all proxies know of a database that leaves. */
#define LEAVING_TIMEOUT_MS 5000

/*
 * Test that the proxies that follow the news of others learn of a change among
 * more objects than they list.
 */
static void
test_news_of_many(void)
{
	forward_bed_t *bed = forward_bed_start();
	bool following[PROXIES];
	int64_t deadline_us;
	uint32_t i;

	for (i = 0; i < REGISTRATIONS; i++) {
		char *name = g_strdup_printf(REGISTRATION_NAME, i);

		testbed_put_object(bed->testbed, "servers", name,
		    "{\"backend\":\"other\",\"address\":\"127.0.0.1:9\","
		    "\"zone\":\"z\",\"version\":\"v1\",\"capacity\":4,"
		    "\"state\":\"ready\",\"cold-remaining-ms\":0,"
		    "\"sequence\":1}");
		g_free(name);
	}
	wait_following(bed->testbed, following);
	testbed_inject_fault(bed->testbed, "database", "leave", 2);
	deadline_us = clock_us() + LEAVING_TIMEOUT_MS * US_PER_MS;
	for (i = 0; i < PROXIES; i++) {
		char *log = testbed_read_log(bed->testbed, i);

		while (strstr(log, "\"leaving\":true") == NULL) {
			g_assert_cmpint(clock_us(), <, deadline_us);
			g_usleep(POLL_US);
			g_free(log);
			log = testbed_read_log(bed->testbed, i);
		}
		g_free(log);
	}
	forward_bed_stop(bed);
}

typedef struct result_case {
	const char *name;
	uint32_t clients; /* that read at once, at the same front */
	const char *statement;
	bool in_transaction;
	const char *expected; /* beginning of each answer */
	uint32_t answer_bytes_min;
	const char *other; /* beginning of other answers; NULL: none */
} result_case_t;

static const result_case_t result_cases[] = {
    {"below the limit", 1, "READ large.3.1000000", false, "ROW xx", 3000000,
	NULL},
    {"above the limit", 1, "READ large.4.1000000", false, "ERR FAILED ", 0,
	NULL},
    {"larger than a frame", 1, "READ large.6.1000000", false, "ERR FAILED ", 0,
	NULL},
    {"larger than a frame, in a transaction", 1, "READ large.6.1000000", true,
	"ERR FAILED ", 0, NULL},
    {"many at once", 12, "READ large.3.1000000", false, "ROW xx", 3000000,
	"ERR BUSY "},
};

/*
 * Test that a result from an owner comes whole, or the statement ends with an
 * error, and that the link to the owner and the other statements on it stay.
 */
static void
test_result(gconstpointer data)
{
	const result_case_t *c = data;
	forward_bed_t *bed = forward_bed_start();
	client_t *clients[12];
	char *answer, *head;
	uint32_t i, results = 0;

	for (i = 0; i < c->clients; i++) {
		clients[i] =
		    client_open_session(bed->testbed, bed->front, "intake");
		if (c->in_transaction) {
			client_expect(clients[i], "BEGIN", "DONE");
			client_expect(clients[i], "WRITE a1 x", "DONE p");
		}
		client_send_query(clients[i], c->statement);
		client_send_query(
		    clients[i], c->in_transaction ? "ROLLBACK" : "READ a1");
	}
	for (i = 0; i < c->clients; i++) {
		answer = client_read_answer(clients[i], ANSWER_TIMEOUT_MS);
		head = g_strndup(answer == NULL ? "no answer" : answer, 60);
		if (answer != NULL && g_str_has_prefix(answer, c->expected))
			results += strlen(answer) > c->answer_bytes_min;
		else if (c->other == NULL || !g_str_has_prefix(head, c->other))
			g_error("expected %s, found %s", c->expected, head);
		g_free(answer);
		g_free(head);
		answer = client_read_answer(clients[i], ANSWER_TIMEOUT_MS);
		g_assert_nonnull(answer);
		g_assert_true(g_str_has_prefix(answer,
		    c->in_transaction ? "DONE -|READY I" : "ROW none|DONE p"));
		g_free(answer);
		client_expect(clients[i], "READ a1", "ROW none|DONE p");
		client_close(clients[i]);
	}
	g_test_message("%u results", results);
	g_assert_cmpuint(results, >, 0);
	g_assert_cmpuint(
	    testbed_metric(bed->testbed, bed->front, "owners_lost"), ==, 0);
	forward_bed_stop(bed);
}

/*
 * Time limits after a link has gone silent: for the answer to a statement that
 * may be sent elsewhere, for that to another one, and for the use of the owner
 * by a new link.
 */
#define ELSEWHERE_MS STATEMENT_TIMEOUT_MS
#define GIVEN_UP_MS (2 * STATEMENT_TIMEOUT_MS)
#define LINK_AGAIN_MS 8000

/* A statement whose link goes silent. */
typedef struct flight {
	step_t before[STATEMENTS_MAX]; /* in the same session */
	step_t during;
	uint32_t answered_ms; /* latest time at which it is answered */
	step_t after;         /* in the same session */
	const char *item;
	const char *value; /* of the item in the end */
} flight_t;

#define FLIGHTS_MAX 3

typedef struct silent_case {
	const char *name;
	uint32_t ways; /* that go silent of the links to the owner */
	bool all;      /* the links to all daemons do */
	bool late;  /* before the statements are sent; otherwise as they run */
	bool again; /* test that the owner is used again */
	flight_t flights[FLIGHTS_MAX]; /* at once */
} silent_case_t;

/* A statement of a session with an open transaction that has written to "c". */
#define WROTE_C \
	{ \
		BEGIN, \
		{ \
			"WRITE c x", "DONE p" \
		} \
	}

#define READ_A \
	{ \
		{{NULL}}, {"READ a", "ROW none|DONE p"}, ELSEWHERE_MS, {NULL}, \
		    "a", "none" \
	}

static const silent_case_t silent_cases[] = {
    {"statements run", RELAY_BOTH, false, false, false,
	{READ_A,
	    {{{NULL}}, {"WRITE b x", "ERR INDOUBT"}, GIVEN_UP_MS, {NULL}, "b",
		"x"},
	    {WROTE_C, {"COMMIT", "ERR INDOUBT"}, GIVEN_UP_MS, {NULL}, "c",
		"x"}}},
    {"transactions run", RELAY_BOTH, false, false, false,
	{{{BEGIN}, {"WRITE a x", "DONE p"}, ELSEWHERE_MS, {"COMMIT", "DONE p"},
	     "a", "x"},
	    {WROTE_C, {"WRITE b x", "ERR ABORTED"}, GIVEN_UP_MS,
		{"ROLLBACK", "DONE -|READY I"}, "c", "none"}}},
    {"statements are lost", RELAY_BOTH, false, true, true,
	{READ_A,
	    {{{NULL}}, {"WRITE b x", "ERR INDOUBT"}, GIVEN_UP_MS, {NULL}, "b",
		"none"},
	    {WROTE_C, {"COMMIT", "ERR INDOUBT"}, GIVEN_UP_MS, {NULL}, "c",
		"none"}}},
    {"answers are lost", RELAY_TO_CLIENT, false, true, true,
	{READ_A,
	    {{{NULL}}, {"WRITE b x", "ERR INDOUBT"}, GIVEN_UP_MS, {NULL}, "b",
		"x"},
	    {WROTE_C, {"COMMIT", "ERR INDOUBT"}, GIVEN_UP_MS, {NULL}, "c",
		"x"}}},
    {"later statements are lost", RELAY_TO_SERVER, false, false, true,
	{READ_A,
	    {{{NULL}}, {"WRITE b x", "DONE p"}, ELSEWHERE_MS, {NULL}, "b", "x"},
	    {WROTE_C, {"COMMIT", "DONE p"}, ELSEWHERE_MS, {NULL}, "c", "x"}}},
    {"all links", RELAY_BOTH, true, false, true,
	{{{{NULL}}, {"WRITE b x", "ERR INDOUBT"}, GIVEN_UP_MS, {NULL}, "b",
	    "x"}}},
};

/*
 * Let the links to an owner, or to all daemons, go silent.
 */
static void
silence_links(const forward_bed_t *bed, uint32_t ways, bool all)
{
	uint32_t i;

	for (i = 0; i < PROXIES; i++) {
		if (all || i == bed->owner)
			relay_silence(bed->testbed->peer_relays[i], ways);
	}
}

/*
 * Read at a front whose links have gone silent until the owner gets statements
 * again, which it does by new links.
 */
static void
expect_used_again(
    const forward_bed_t *bed, const silent_case_t *c, int64_t silent_us)
{
	uint64_t sent, sent_again = 0;

	do {
		sent =
		    testbed_metric(bed->testbed, bed->owner, "statements_sent");
		if (c->all)
			expect_served_late(bed->client);
		else
			client_expect(bed->client, "READ d", "ROW none|DONE p");
		/* of a read that is lost, one may arrive */
		sent_again += testbed_metric(bed->testbed, bed->owner,
				  "statements_sent") > sent;
		g_assert_cmpint(
		    clock_us() - silent_us, <, LINK_AGAIN_MS * US_PER_MS);
	} while (sent_again < 2);
	g_test_message("measured: %s: used again after %" G_GINT64_FORMAT " ms",
	    c->name, (clock_us() - silent_us) / US_PER_MS);
}

/*
 * Check the answers to the statements of a case, and the time that they took.
 */
static void
expect_flights(
    const silent_case_t *c, client_t *const *clients, int64_t began_us)
{
	int64_t taken_ms;
	uint32_t i;

	for (i = 0; i < FLIGHTS_MAX; i++) {
		const flight_t *flight = &c->flights[i];

		if (clients[i] == NULL)
			continue;
		expect_pending(clients[i], &flight->during);
		taken_ms = (clock_us() - began_us) / US_PER_MS;
		g_test_message("measured: %s: %s: %" G_GINT64_FORMAT " ms",
		    c->name, flight->during.statement, taken_ms);
		g_assert_cmpint(taken_ms, <=, (int64_t)flight->answered_ms);
		if (flight->after.statement != NULL)
			client_expect(clients[i], flight->after.statement,
			    flight->after.expected);
	}
}

/*
 * Test what the clients of statements are told whose link goes silent and stays
 * open, and when: it is true at the database.  Then test that the owner is used
 * again by a new link.
 */
static void
test_silent(gconstpointer data)
{
	const silent_case_t *c = data;
	testbed_plan_t plan = forward_plan;
	client_t *clients[FLIGHTS_MAX] = {NULL};
	forward_bed_t *bed;
	int64_t began_us;
	char *value;
	uint32_t i;

	plan.relays = true;
	bed = forward_bed_start_plan(&plan);
	for (i = 0; i < FLIGHTS_MAX; i++) {
		if (c->flights[i].item == NULL)
			continue;
		clients[i] =
		    client_open_session(bed->testbed, bed->front, "intake");
		run_steps(clients[i], c->flights[i].before);
	}
	if (c->late)
		silence_links(bed, c->ways, c->all);
	began_us = clock_us();
	for (i = 0; i < FLIGHTS_MAX; i++)
		g_assert_true(clients[i] == NULL ||
		    client_send_query(
			clients[i], c->flights[i].during.statement));
	if (!c->late) {
		g_usleep(IN_FLIGHT_MS * US_PER_MS);
		silence_links(bed, c->ways, c->all);
	}
	expect_flights(c, clients, began_us);
	if (c->again)
		expect_used_again(bed, c, began_us);
	for (i = 0; i < FLIGHTS_MAX; i++) {
		if (clients[i] == NULL)
			continue;
		value =
		    testbed_item_value(bed->testbed, c->flights[i].item, NULL);
		g_assert_cmpstr(value, ==, c->flights[i].value);
		g_free(value);
		client_close(clients[i]);
	}
	forward_bed_stop(bed);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CASES("/forward/start", start_cases, test_start);
	CASES("/forward/loss", loss_cases, test_loss);
	CASES("/forward/silent", silent_cases, test_silent);
	CASES("/forward/result", result_cases, test_result);
	CASES("/forward/front", front_cases, test_front_lost);
	CASES("/forward/news", news_cases, test_store_news);
	g_test_add_func("/forward/news-of-many", test_news_of_many);
	g_test_add_func("/forward/restarted-owner", test_owner_restarted);
	CASES("/forward/unable-owner", unable_cases, test_owner_unable);
	CASES("/forward/restarted-unable", restarted_unable_cases,
	    test_restarted_unable);
	g_test_add_func("/forward/values", test_session_values);
	g_test_add_func("/forward/idle-transaction", test_idle_transaction);
	return g_test_run();
}
