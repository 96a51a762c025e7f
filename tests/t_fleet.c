#include "../src/decide/owner.h"
#include "../src/json.h"
#include "../tools/load.h"
#include "cases.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/*
 * Tests with a fleet of real processes: requests that are sent again under the
 * same request id, transactions, new versions of a document, and invalid input
 * at each socket of a daemon.
 */

#define READY_MS 15000
#define LONG_SERVICE_MS 300 /* service time of a slow statement */
#define CALLERS_MAX 50      /* connection limit of the daemons in input tests */
#define WAIT_MAX_US (INT64_C(8) * G_USEC_PER_SEC)

/* --- retries with the same request id --- */

typedef struct retry_case {
	const char *name;
	uint32_t service_ms;
	uint32_t after_ms; /* time from the first request to the action */
	void (*action)(fleet_t *); /* fault before the retry */
	bool other_daemon;         /* the retry goes to another daemon */
	uint32_t first_timeout_ms; /* timeout of the request */
	bool first_done; /* the first request must have the outcome "done" */
} retry_case_t;

/* The first request and its answer. */
typedef struct first_request {
	fleet_t *fleet;
	uint32_t daemon;
	char *body;
	Bp__Outcome outcome;
	bool answered;
} first_request_t;

/*
 * Kill the daemon that owns group 0.
 */
static void
kill_owner(fleet_t *fleet)
{
	fleet_daemon_kill(fleet, fleet_group_owner(fleet, 0));
}

/*
 * Kill the daemon that owns group 0, and start it again.
 */
static void
restart_owner(fleet_t *fleet)
{
	fleet_daemon_kill(fleet, fleet_group_owner(fleet, 0));
	fleet_daemon_start(fleet, fleet_group_owner(fleet, 0));
}

/*
 * Kill the primary of group 0.
 */
static void
kill_primary(fleet_t *fleet)
{
	int32_t primary = fleet_group_primary(fleet, 0);

	g_assert_cmpint(primary, >=, 0);
	fleet_process_signal(&fleet->databases[primary], SIGKILL);
}

/*
 * Stop the daemon that owns group 0 with SIGSTOP.
 */
static void
freeze_owner(fleet_t *fleet)
{
	fleet_process_signal(
	    &fleet->daemons[fleet_group_owner(fleet, 0)], SIGSTOP);
}

/*
 * Make the primary run its next statement and close the connection without an
 * answer.
 */
static void
drop_next_answer(fleet_t *fleet)
{
	fleet_db_call(fleet, (uint32_t)fleet_group_primary(fleet, 0), "/fault",
	    "{\"drop_answer\":true}", NULL);
}

/*
 * Inject no fault.
 */
static void
no_action(fleet_t *fleet)
{
	(void)fleet;
}

static const retry_case_t retry_cases[] = {
    {"through another daemon afterwards", 1, 200, no_action, true, 5000, true},
    {"through the same daemon afterwards", 1, 200, no_action, false, 5000,
	true},
    {"while the first runs", LONG_SERVICE_MS, 100, no_action, true, 5000, true},
    {"after ownership has moved", 1, 200, kill_owner, true, 5000, true},
    {"after a restart of the owner", 1, 200, restart_owner, true, 5000, true},
    {"after a change of primary", 1, 200, kill_primary, true, 5000, true},
    {"the owner is killed while it runs", LONG_SERVICE_MS, 100, kill_owner,
	true, 5000, false},
    {"the primary is killed while it runs", LONG_SERVICE_MS, 100, kill_primary,
	true, 5000, false},
    {"the owner freezes while it runs", LONG_SERVICE_MS, 100, freeze_owner,
	true, 2000, false},
    {"the answer is lost", 20, 0, drop_next_answer, true, 1500, false},
};

/*
 * Send the first request.  Runs in a thread of its own.
 */
static gpointer
send_first(gpointer data)
{
	first_request_t *first = data;
	arena_t *arena = arena_new();
	Bp__CallerAnswer *answer = fleet_send_statement(
	    first->fleet, arena, first->daemon, first->body);

	first->answered = answer != NULL;
	if (answer != NULL)
		first->outcome = answer->outcome;
	arena_free(arena);
	return NULL;
}

/*
 * Send the request again until its outcome is "done" or WAIT_MAX_US have
 * passed.  Returns the last outcome.
 */
static Bp__Outcome
send_until_done(fleet_t *fleet, uint32_t daemon, const char *body)
{
	int64_t until_us = g_get_monotonic_time() + WAIT_MAX_US;
	Bp__Outcome outcome = BP__OUTCOME__UNKNOWN;

	while (
	    outcome != BP__OUTCOME__DONE && g_get_monotonic_time() < until_us) {
		arena_t *arena = arena_new();
		Bp__CallerAnswer *answer =
		    fleet_send_statement(fleet, arena, daemon, body);

		if (answer != NULL)
			outcome = answer->outcome;
		arena_free(arena);
		if (outcome != BP__OUTCOME__DONE)
			g_usleep(50 * US_PER_MS);
	}
	return outcome;
}

/*
 * Return how many entries of a request id the log of the primary of group 0
 * has.
 */
static uint32_t
count_log_entries(fleet_t *fleet, const char *id)
{
	arena_t *arena = arena_new();
	Bp__RanLog *log = fleet_db_execution_log(
	    fleet, arena, (uint32_t)fleet_group_wait_primary(fleet, 0));
	uint32_t n = 0;
	size_t i;

	for (i = 0; i < log->n_ran; i++)
		n += log->ran[i]->request_id != NULL &&
		    strcmp(log->ran[i]->request_id, id) == 0;
	arena_free(arena);
	return n;
}

/*
 * Test that a request with a request id runs exactly once, however often it is
 * sent.
 */
static void
test_retry(gconstpointer data)
{
	const retry_case_t *c = data;
	fleet_plan_t plan = {.daemons = 3,
	    .tickets_groups = 1,
	    .service_ms = c->service_ms,
	    .lag_ms = 2};
	fleet_t *fleet = fleet_start(&plan);
	uint32_t owner = fleet_group_owner(fleet, 0);
	first_request_t first = {
	    fleet, (owner + 1) % 3, NULL, BP__OUTCOME__UNKNOWN, false};
	uint32_t second = c->other_daemon ? (owner + 2) % 3 : first.daemon;
	GThread *thread;

	g_assert_true(fleet_wait_ready(fleet, READY_MS));
	first.body = g_strdup_printf(
	    "{\"team\":\"tickets\",\"account\":\"bench\",\"work\":\"intake\","
	    "\"group\":\"tickets-1\",\"statement\":\"append t x\","
	    "\"request_id\":\"once\",\"timeout_ms\":%u}",
	    c->first_timeout_ms);
	if (c->after_ms == 0)
		c->action(fleet);
	thread = g_thread_new("first", send_first, &first);
	g_usleep(c->after_ms * US_PER_MS);
	if (c->after_ms > 0)
		c->action(fleet);
	g_assert_cmpint(
	    send_until_done(fleet, second, first.body), ==, BP__OUTCOME__DONE);
	fleet_process_signal(&fleet->daemons[owner], SIGCONT);
	g_thread_join(thread);
	if (c->first_done)
		g_assert_cmpint(first.outcome, ==, BP__OUTCOME__DONE);
	if (first.answered)
		g_assert_cmpint(first.outcome, !=, BP__OUTCOME__NOT_RUN);
	g_assert_cmpuint(count_log_entries(fleet, "once"), ==, 1);
	g_free(first.body);
	fleet_stop(fleet);
}

/* --- transactions --- */

/* One request of a sequence and its expected answer. */
typedef struct tx_step {
	const char *action;
	const char *statement;
	const char *request_id;
	const char *work;
	bool in_tx; /* send the token of the last transaction */
	Bp__Outcome outcome;
	const char *result; /* NULL: not checked */
} tx_step_t;

typedef struct tx_case {
	const char *name;
	tx_step_t steps[10];
	uint32_t count;
} tx_case_t;

#define DONE BP__OUTCOME__DONE
#define NOT_RUN BP__OUTCOME__NOT_RUN
#define WRITE_WORK "quote-revision"
#define READ_WORK "ticket"

static const tx_case_t tx_cases[] = {
    {"the same commit id again",
	{{"begin", "", NULL, WRITE_WORK, false, DONE, NULL},
	    {"run", "set a 1", NULL, WRITE_WORK, true, DONE, NULL},
	    {"commit", "", "c1", WRITE_WORK, true, DONE, NULL},
	    {"begin", "", NULL, WRITE_WORK, false, DONE, NULL},
	    {"run", "set a 2", NULL, WRITE_WORK, true, DONE, NULL},
	    {"commit", "", "c1", WRITE_WORK, true, DONE, NULL},
	    {"run", "get a", NULL, READ_WORK, false, DONE, "1"},
	    {"run", "set b 1", NULL, WRITE_WORK, false, DONE, NULL},
	    {"run", "get b", NULL, READ_WORK, false, DONE, "1"}},
	9},
    {"rolled back",
	{{"begin", "", NULL, WRITE_WORK, false, DONE, NULL},
	    {"run", "set a 1", NULL, WRITE_WORK, true, DONE, NULL},
	    {"rollback", "", NULL, WRITE_WORK, true, DONE, NULL},
	    {"run", "get a", NULL, READ_WORK, false, DONE, ""}},
	4},
    {"writes are invisible before the commit",
	{{"begin", "", NULL, WRITE_WORK, false, DONE, NULL},
	    {"run", "set a 1", NULL, WRITE_WORK, true, DONE, NULL},
	    {"run", "get a", NULL, READ_WORK, false, DONE, ""},
	    {"commit", "", NULL, WRITE_WORK, true, DONE, NULL},
	    {"run", "get a", NULL, READ_WORK, false, DONE, "1"}},
	5},
    {"a transaction that has ended",
	{{"begin", "", NULL, WRITE_WORK, false, DONE, NULL},
	    {"commit", "", NULL, WRITE_WORK, true, DONE, NULL},
	    {"run", "set a 1", NULL, WRITE_WORK, true, NOT_RUN, NULL},
	    {"commit", "", NULL, WRITE_WORK, true, NOT_RUN, NULL}},
	4},
    {"an error leaves the transaction open",
	{{"begin", "", NULL, WRITE_WORK, false, DONE, NULL},
	    {"run", "fail", NULL, WRITE_WORK, true, BP__OUTCOME__FAILED, NULL},
	    {"run", "set a 1", NULL, WRITE_WORK, true, DONE, NULL},
	    {"commit", "", NULL, WRITE_WORK, true, DONE, NULL},
	    {"run", "get a", NULL, READ_WORK, false, DONE, "1"}},
	5},
};

/*
 * Test transactions: send the steps of a case in order, to each daemon in turn,
 * and check the answers.
 */
static void
test_tx(gconstpointer data)
{
	const tx_case_t *c = data;
	fleet_plan_t plan = {
	    .daemons = 3, .tickets_groups = 1, .service_ms = 1};
	fleet_t *fleet = fleet_start(&plan);
	arena_t *arena = arena_new();
	history_t *history = history_new();
	const char *transaction = NULL;
	uint32_t i;

	g_assert_true(fleet_wait_ready(fleet, READY_MS));
	for (i = 0; i < c->count; i++) {
		const tx_step_t *step = &c->steps[i];
		Bp__CallerRequest request = BP__CALLER_REQUEST__INIT;
		Bp__CallerAnswer *answer;

		request.team = (char *)"tickets";
		request.account = (char *)"bench";
		request.work = (char *)step->work;
		request.group = (char *)"tickets-1";
		request.has_action = 1;
		request.action =
		    (Bp__Action)protobuf_c_enum_descriptor_get_value_by_name(
			&bp__action__descriptor,
			g_ascii_strup(step->action, -1))
			->value;
		request.statement = (char *)step->statement;
		request.request_id = (char *)step->request_id;
		request.transaction = step->in_tx ? (char *)transaction : NULL;
		answer = fleet_send_statement(fleet, arena, i % 3,
		    json_write(arena, &request.base, NULL));
		g_assert_nonnull(answer);
		g_assert_cmpint(answer->outcome, ==, step->outcome);
		if (step->result != NULL)
			g_assert_cmpstr(
			    answer->result == NULL ? "" : answer->result, ==,
			    step->result);
		if (answer->transaction != NULL)
			transaction = answer->transaction;
	}
	load_collect_logs(fleet, history);
	g_assert_cmpuint(history->foreign_statements, ==, 0);
	history_free(history);
	arena_free(arena);
	fleet_stop(fleet);
}

/* --- versions of a document --- */

typedef struct version_case {
	const char *name;
	void (*run)(fleet_t *, history_t *);
} version_case_t;

/*
 * Wait until a version of the tickets document is in force on every daemon of
 * the fleet, and record every version seen meanwhile.  Returns false after
 * WAIT_MAX_US.
 */
static bool
wait_version(fleet_t *fleet, history_t *history, uint64_t version)
{
	int64_t until_us = g_get_monotonic_time() + WAIT_MAX_US;
	uint32_t i, updated_daemons;

	do {
		arena_t *arena = arena_new();
		Bp__StatusPage *page = fleet_daemon_status(fleet, arena, 0);

		load_collect_versions(fleet, history);
		for (i = updated_daemons = 0;
		     page != NULL && i < fleet->plan.daemons; i++)
			updated_daemons +=
			    fleet_document_version(page, fleet->daemons[i].name,
				"tickets") == version;
		arena_free(arena);
		if (updated_daemons == fleet->plan.daemons)
			return true;
		g_usleep(50 * US_PER_MS);
	} while (g_get_monotonic_time() < until_us);
	return false;
}

/*
 * Publish a valid next version of the tickets document.
 */
static void
put_valid(fleet_t *fleet, uint64_t version)
{
	char *document = fleet_team_document(fleet, "tickets", NULL);

	g_assert_cmpuint(
	    fleet_put_object(fleet, "team/tickets", version - 1, document), ==,
	    version);
	g_free(document);
}

/*
 * Wait until the status object of the tickets team contains a text.  Returns
 * the object, which the caller frees, or NULL after WAIT_MAX_US.
 */
static char *
wait_status(fleet_t *fleet, const char *expected)
{
	int64_t until_us = g_get_monotonic_time() + WAIT_MAX_US;
	uint64_t version;
	char *text = NULL;

	do {
		g_free(text);
		text = fleet_get_object(fleet, "status/tickets", &version);
		if (text != NULL && strstr(text, expected) != NULL)
			return text;
		g_usleep(50 * US_PER_MS);
	} while (g_get_monotonic_time() < until_us);
	g_free(text);
	return NULL;
}

/*
 * Publish an invalid version, which is rejected, and then a valid one.
 */
static void
edit_invalid(fleet_t *fleet, history_t *history)
{
	char *status;

	g_assert_cmpuint(fleet_put_object(fleet, "team/tickets", 1,
			     "{\"team\":\"tickets\",\n\"colour\":1}"),
	    ==, 2);
	status = wait_status(fleet, "colour");
	g_assert_nonnull(status);
	g_assert_nonnull(strstr(status, "\"line\":2"));
	g_assert_nonnull(strstr(status, "\"accepted_version\":1"));
	g_free(status);
	g_assert_true(wait_version(fleet, history, 1));
	put_valid(fleet, 3);
	g_assert_true(wait_version(fleet, history, 3));
}

/*
 * Publish the same next version twice.  The second is refused, because its
 * version number is outdated.
 */
static void
edit_race(fleet_t *fleet, history_t *history)
{
	char *document = fleet_team_document(fleet, "tickets", NULL);
	uint64_t first = fleet_put_object(fleet, "team/tickets", 1, document);
	uint64_t second = fleet_put_object(fleet, "team/tickets", 1, document);

	g_assert_cmpuint(first, ==, 2);
	g_assert_cmpuint(second, ==, 0);
	g_free(document);
	g_assert_true(wait_version(fleet, history, 2));
}

/*
 * Publish versions 2 to 12 without waiting for each to take effect.
 */
static void
edit_quickly(fleet_t *fleet, history_t *history)
{
	uint64_t i;

	for (i = 2; i <= 12; i++) {
		put_valid(fleet, i);
		load_collect_versions(fleet, history);
	}
	g_assert_true(wait_version(fleet, history, 12));
}

/*
 * Publish a version, and make the platform drop its answer to the next update.
 */
static void
edit_answer_lost(fleet_t *fleet, history_t *history)
{
	uint64_t version = 0;
	char *text;

	put_valid(fleet, 2);
	fleet_platform_inject_fault(fleet, "{\"lose_next_answer\":true}");
	g_assert_true(wait_version(fleet, history, 2));
	text = fleet_get_object(fleet, "accepted/tickets", &version);
	g_assert_nonnull(text);
	g_assert_cmpuint(version, ==, 2);
	g_free(text);
}

/*
 * Start a daemon while the platform is down.
 */
static void
start_in_outage(fleet_t *fleet, history_t *history)
{
	put_valid(fleet, 2);
	g_assert_true(wait_version(fleet, history, 2));
	fleet_daemon_kill(fleet, 1);
	fleet_platform_inject_fault(fleet, "{\"outage_ms\":60000}");
	fleet_daemon_start(fleet, 1);
	g_assert_true(fleet_wait_ready(fleet, READY_MS));
	g_assert_true(wait_version(fleet, history, 2));
}

/*
 * Publish versions while a daemon is stopped with SIGSTOP for 3 s.
 */
static void
freeze_daemon(fleet_t *fleet, history_t *history)
{
	fleet_process_signal(&fleet->daemons[2], SIGSTOP);
	put_valid(fleet, 2);
	put_valid(fleet, 3);
	g_usleep(3000 * US_PER_MS);
	fleet_process_signal(&fleet->daemons[2], SIGCONT);
	g_assert_true(wait_version(fleet, history, 3));
}

/*
 * Publish a version right after an outage of the platform, and start another
 * outage while the version is validated.
 */
static void
edit_in_outage(fleet_t *fleet, history_t *history)
{
	fleet_platform_inject_fault(fleet, "{\"outage_ms\":2000}");
	g_usleep(2200 * US_PER_MS);
	put_valid(fleet, 2);
	fleet_platform_inject_fault(fleet, "{\"outage_ms\":1500}");
	g_assert_true(wait_version(fleet, history, 2));
}

/*
 * Publish a version while the platform takes 700 ms for each answer.
 */
static void
slow_platform(fleet_t *fleet, history_t *history)
{
	fleet_platform_inject_fault(fleet, "{\"slow_ms\":700}");
	put_valid(fleet, 2);
	g_assert_true(wait_version(fleet, history, 2));
}

/*
 * Publish an invalid version after the daemon that validated the first version
 * has ended.  The daemon that validates the invalid version has never written
 * the status object.
 */
static void
other_daemon_validates(fleet_t *fleet, history_t *history)
{
	const char *names[FLEET_DAEMONS_MAX];
	char *status = wait_status(fleet, "\"seen_version\":1");
	uint32_t i;

	g_assert_nonnull(status);
	g_free(status);
	for (i = 0; i < fleet->plan.daemons; i++)
		names[i] = fleet->daemons[i].name;
	fleet_daemon_kill(
	    fleet, (uint32_t)owner_pick(names, fleet->plan.daemons, "tickets"));
	g_assert_cmpuint(fleet_put_object(fleet, "team/tickets", 1,
			     "{\"team\":\"tickets\",\n\"colour\":1}"),
	    ==, 2);
	status = wait_status(fleet, "colour");
	g_assert_nonnull(status);
	g_free(status);
	load_collect_versions(fleet, history);
}

static const version_case_t version_cases[] = {
    {"another daemon validates", other_daemon_validates},
    {"invalid edit", edit_invalid},
    {"concurrent edits", edit_race},
    {"many edits", edit_quickly},
    {"the answer to the acceptance is lost", edit_answer_lost},
    {"a daemon starts in an outage", start_in_outage},
    {"a daemon was frozen", freeze_daemon},
    {"an outage during the validation", edit_in_outage},
    {"the platform is slow", slow_platform},
};

/*
 * Test that an accepted version takes effect on every daemon, and that no
 * daemon returns to an older one.
 */
static void
test_versions(gconstpointer data)
{
	const version_case_t *c = data;
	fleet_plan_t plan = {
	    .daemons = 3, .tickets_groups = 1, .service_ms = 1};
	fleet_t *fleet = fleet_start(&plan);
	history_t *history = history_new();
	violations_t violations = {0};

	g_assert_true(fleet_wait_ready(fleet, READY_MS));
	c->run(fleet, history);
	g_assert_cmpuint(history_check(history, &violations), ==, 0);
	g_string_free(violations.text, TRUE);
	history_free(history);
	fleet_stop(fleet);
}

/* --- invalid input --- */

/* The socket of a daemon that a case connects to. */
typedef enum input_socket_kind {
	CALLER_SOCKET,
	PEER_SOCKET,
	OPERATOR_SOCKET,
} input_socket_kind_t;

typedef struct input_case {
	const char *name;
	input_socket_kind_t input_socket;
	const char *bytes;
	uint32_t size_bytes; /* number of bytes; 0: up to the zero byte */
	uint32_t fill_bytes; /* number of 'x' bytes sent after them */
	bool half_close;     /* stop sending, but still receive */
	const char *answer;  /* text that the answer contains; NULL: any */
	const char *counter; /* counter that increases; may be NULL */
	uint32_t wait_ms;    /* limit, plus 2 s, for the counter to increase */
} input_case_t;

#define POST_HEAD(length) \
	"POST /v1/statement HTTP/1.1\r\nHost: a\r\nContent-Length: " length \
	"\r\n\r\n"

static const input_case_t input_cases[] = {
    {"not HTTP", CALLER_SOCKET, "\x16\x03\x01\x02garbage\r\n\r\n", 0, 0, false,
	NULL, NULL, 500},
    {"not JSON", CALLER_SOCKET, POST_HEAD("4") "abcd", 0, 0, false,
	"bad_request", "bad_requests", 500},
    {"an unknown key", CALLER_SOCKET,
	POST_HEAD("48") "{\"team\":\"t\",\"account\":\"a\",\"work\":\"w\","
			"\"colour\":1}",
	0, 0, false, "unknown key", "bad_requests", 500},
    {"a Content-Length above the limit", CALLER_SOCKET, POST_HEAD("99999999"),
	0, 0, false, NULL, "requests_too_large", 500},
    {"an endless chunked body", CALLER_SOCKET,
	"POST /v1/statement HTTP/1.1\r\nHost: a\r\n"
	"Transfer-Encoding: chunked\r\n\r\n1000000\r\n",
	0, 4 << 20, false, NULL, "requests_too_large", 2000},
    {"endless headers", CALLER_SOCKET, "POST /v1/statement HTTP/1.1\r\nA: ", 0,
	4 << 20, false, NULL, NULL, 500},
    {"an incomplete body", CALLER_SOCKET, POST_HEAD("100") "{", 0, 0, false,
	NULL, "requests_too_slow", 2500},
    {"closed in the middle of a body", CALLER_SOCKET, POST_HEAD("100") "{", 0,
	0, true, NULL, NULL, 500},
    {"an unsupported method", CALLER_SOCKET,
	"GET /v1/statement HTTP/1.1\r\nHost: a\r\n\r\n", 0, 0, false, "405",
	NULL, 500},
    {"an unknown path", CALLER_SOCKET, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n", 0,
	0, false, "404", NULL, 500},
    {"an unknown path for operators", OPERATOR_SOCKET,
	"GET /x HTTP/1.1\r\nHost: a\r\n\r\n", 0, 0, false, "404", NULL, 500},
    {"a frame length above the limit", PEER_SOCKET, "\xff\xff\xff\xff", 0, 0,
	false, NULL, "peer_links_dropped", 500},
    {"a frame of garbage", PEER_SOCKET, "\x00\x00\x00\x04\xff\xff\xff\xff", 8,
	0, false, NULL, "peer_links_dropped", 500},
    {"an empty frame", PEER_SOCKET, "\x00\x00\x00\x00", 4, 0, false, NULL,
	"peer_links_dropped", 500},
    {"an incomplete frame", PEER_SOCKET, "\x00\x00\x00\x10\x0a", 5, 0, false,
	NULL, "peer_links_dropped", 2500},
    {"closed in the middle of a frame", PEER_SOCKET, "\x00\x00\x00\x10\x0a", 5,
	0, true, NULL, NULL, 500},
    {"HTTP to peers", PEER_SOCKET, "GET / HTTP/1.1\r\n\r\n", 0, 0, false, NULL,
	"peer_links_dropped", 500},
};

/* The fleet that all tests of invalid input share. */
static fleet_t *input_fleet;

/*
 * Connect to a port and send the input of a case.  Returns the socket.
 */
static GSocket *
send_input(const input_case_t *c, uint32_t port)
{
	GSocketAddress *address =
	    g_inet_socket_address_new_from_string("127.0.0.1", port);
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
	char *fill = g_strnfill(c->fill_bytes, 'x');
	uint32_t sent = 0;
	gssize n = 1;

	g_socket_set_timeout(socket, 3);
	g_assert_true(g_socket_connect(socket, address, NULL, NULL));
	g_socket_send(socket, c->bytes,
	    c->size_bytes == 0 ? strlen(c->bytes) : c->size_bytes, NULL, NULL);
	while (sent < c->fill_bytes && n > 0) {
		n = g_socket_send(
		    socket, fill + sent, c->fill_bytes - sent, NULL, NULL);
		sent += n > 0 ? (uint32_t)n : 0;
	}
	if (c->half_close)
		g_socket_shutdown(socket, FALSE, TRUE, NULL);
	g_free(fill);
	g_object_unref(address);
	return socket;
}

/*
 * Return the value of a counter of the first daemon.
 */
static uint64_t
daemon_counter(const char *name)
{
	arena_t *arena = arena_new();
	Bp__StatusPage *page = fleet_daemon_status(input_fleet, arena, 0);
	uint64_t value;

	g_assert_nonnull(page);
	value = fleet_counter(page, name);
	arena_free(arena);
	return value;
}

/*
 * Check that a valid request is still served.
 */
static void
check_valid_request(void)
{
	arena_t *arena = arena_new();
	Bp__CallerAnswer *answer = fleet_send_statement(input_fleet, arena, 0,
	    "{\"team\":\"tickets\",\"account\":\"bench\","
	    "\"work\":\"ticket\",\"key\":\"k\",\"statement\":\"get k\"}");

	g_assert_nonnull(answer);
	g_assert_cmpint(answer->outcome, ==, BP__OUTCOME__DONE);
	arena_free(arena);
}

/*
 * Wait until a counter of the first daemon exceeds a value.  Returns false 2 s
 * after wait_ms.
 */
static bool
wait_counter_above(const char *name, uint64_t above, uint32_t wait_ms)
{
	int64_t until_us =
	    g_get_monotonic_time() + (wait_ms + 2000) * US_PER_MS;

	while (daemon_counter(name) <= above) {
		if (g_get_monotonic_time() >= until_us)
			return false;
		g_usleep(20 * US_PER_MS);
	}
	return true;
}

/*
 * Test that invalid input is answered with an error, or that its connection is
 * closed and counted.  Other callers are still served, and memory use stays
 * bounded.
 */
static void
test_input(gconstpointer data)
{
	const input_case_t *c = data;
	const fleet_process_t *daemon = &input_fleet->daemons[0];
	uint32_t port = c->input_socket == CALLER_SOCKET ? daemon->port
	    : c->input_socket == PEER_SOCKET             ? daemon->peer_port
					     : daemon->operator_port;
	uint64_t before = c->counter == NULL ? 0 : daemon_counter(c->counter);
	uint64_t memory_bytes = fleet_process_memory_bytes(daemon);
	char buffer[4096] = {0};
	GSocket *socket = send_input(c, port);
	gssize n;

	check_valid_request();
	if (c->answer != NULL) {
		n = g_socket_receive(
		    socket, buffer, sizeof(buffer) - 1, NULL, NULL);
		g_assert_cmpint(n, >, 0);
		g_assert_nonnull(strstr(buffer, c->answer));
	}
	if (c->counter != NULL)
		g_assert_true(
		    wait_counter_above(c->counter, before, c->wait_ms));
	g_socket_close(socket, NULL);
	g_object_unref(socket);
	check_valid_request();
	g_assert_cmpuint(
	    fleet_process_memory_bytes(daemon), <, memory_bytes + (16 << 20));
}

/*
 * Wait until no caller's connection is open.  Returns false after 3 s.
 */
static bool
wait_callers_closed(void)
{
	int64_t until_us = g_get_monotonic_time() + 3000 * US_PER_MS;

	while (daemon_counter("caller_connections") > 0) {
		if (g_get_monotonic_time() >= until_us)
			return false;
		g_usleep(20 * US_PER_MS);
	}
	return true;
}

/*
 * Test that connections above the limit are refused, and that new ones are
 * accepted again when others have closed.
 */
static void
test_connections(void)
{
	static const input_case_t idle = {"", CALLER_SOCKET, "P", 1, 0, false};
	uint64_t before = daemon_counter("connections_refused");
	GSocket *sockets[2 * CALLERS_MAX];
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(sockets); i++)
		sockets[i] = send_input(&idle, input_fleet->daemons[0].port);
	g_assert_true(wait_counter_above(
	    "connections_refused", before + CALLERS_MAX / 2, 0));
	for (i = 0; i < G_N_ELEMENTS(sockets); i++) {
		g_socket_close(sockets[i], NULL);
		g_object_unref(sockets[i]);
	}
	g_assert_true(wait_callers_closed());
	check_valid_request();
}

#define READ_BODY \
	"{\"team\":\"tickets\",\"account\":\"bench\",\"work\":\"ticket\"," \
	"\"key\":\"k\",\"statement\":\"get k\"}"

typedef struct abandon_case {
	const char *name;
	uint32_t requests; /* number of pipelined requests */
	uint32_t wait_us;  /* time until the caller closes the connection */
	uint32_t repeats;  /* number of connections */
} abandon_case_t;

static const abandon_case_t abandon_cases[] = {
    {"closed before the answer", 1, 0, 300},
    {"closed at about the time of the answer", 1, 700, 300},
    {"closed while the connection is idle", 1, 20000, 30},
    {"pipelined requests", 3, 3000, 100},
    {"many pipelined requests, then closed", 20, 0, 50},
};

/*
 * Test that callers that close their connections without reading the answers
 * leave no connection behind and do not affect later requests.
 */
static void
test_abandon(gconstpointer data)
{
	const abandon_case_t *c = data;
	GString *text = g_string_new(NULL);
	input_case_t request = {"", CALLER_SOCKET};
	GSocket *socket;
	uint32_t i;

	for (i = 0; i < c->requests; i++)
		g_string_append_printf(text,
		    "POST /v1/statement HTTP/1.1\r\nHost: a\r\n"
		    "Content-Length: %u\r\n\r\n%s",
		    (uint32_t)strlen(READ_BODY), READ_BODY);
	request.bytes = text->str;
	for (i = 0; i < c->repeats; i++) {
		socket = send_input(&request, input_fleet->daemons[0].port);
		g_usleep(c->wait_us);
		g_socket_close(socket, NULL);
		g_object_unref(socket);
	}
	g_assert_true(wait_callers_closed());
	check_valid_request();
	g_string_free(text, TRUE);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	fleet_plan_t plan = {.daemons = 2,
	    .tickets_groups = 1,
	    .service_ms = 1,
	    .request_ms = 1500,
	    .limits_json = "\"caller_connections\":" G_STRINGIFY(CALLERS_MAX)};
	int status;

	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	log_start(G_LOG_LEVEL_WARNING, STDERR_FILENO);
	CASES("/holds/at-most-once", retry_cases, test_retry);
	CASES("/holds/transactions-apart", tx_cases, test_tx);
	CASES("/holds/document-never-reverts", version_cases, test_versions);
	CASES("/input", input_cases, test_input);
	CASES("/input", abandon_cases, test_abandon);
	g_test_add_func("/input/too-many-connections", test_connections);
	input_fleet = fleet_start(&plan);
	g_assert_true(fleet_wait_ready(input_fleet, READY_MS));
	status = g_test_run();
	fleet_stop(input_fleet);
	return status;
}
