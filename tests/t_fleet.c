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
 * Real processes, one request or one edit at a time: request ids that come
 * again, documents, and what comes in badly at each socket.
 */

#define READY_MS 15000
#define RUNNING_MS 300
#define CALLERS_MAX 50 /* of the fleet that bad input goes to */
#define PATIENCE_US (INT64_C(8) * G_USEC_PER_SEC)

/* --- the same request id again --- */

typedef struct id_case {
	const char *name;
	uint32_t service_ms;
	/* what happens this long after the first has been sent */
	uint32_t after_ms;
	void (*act)(fleet_t *);
	bool other_daemon; /* the second goes through another one */
	uint32_t first_timeout_ms;
	bool first_done; /* the first must be done */
} id_case_t;

typedef struct first_ask {
	fleet_t *fleet;
	uint32_t daemon;
	char *body;
	Bp__Outcome outcome;
	bool answered;
} first_ask_t;

static void
kill_owner(fleet_t *fleet)
{
	fleet_daemon_end(fleet, fleet_owner(fleet, 0));
}

static void
restart_owner(fleet_t *fleet)
{
	fleet_daemon_end(fleet, fleet_owner(fleet, 0));
	fleet_daemon_start(fleet, fleet_owner(fleet, 0));
}

static void
kill_primary(fleet_t *fleet)
{
	int32_t primary = fleet_primary(fleet, 0);

	g_assert_cmpint(primary, >=, 0);
	fleet_signal(&fleet->databases[primary], SIGKILL);
}

static void
freeze_owner(fleet_t *fleet)
{
	fleet_signal(&fleet->daemons[fleet_owner(fleet, 0)], SIGSTOP);
}

/*
 * Make the next answer of the primary get lost.
 */
static void
lose_answer(fleet_t *fleet)
{
	fleet_db_call(fleet, (uint32_t)fleet_primary(fleet, 0), "/fault",
	    "{\"drop_answer\":true}", NULL);
}

static void
nothing(fleet_t *fleet)
{
	(void)fleet;
}

static const id_case_t id_cases[] = {
    {"by another daemon afterwards", 1, 200, nothing, true, 5000, true},
    {"by the same daemon afterwards", 1, 200, nothing, false, 5000, true},
    {"while the first runs", RUNNING_MS, 100, nothing, true, 5000, true},
    {"after ownership has moved", 1, 200, kill_owner, true, 5000, true},
    {"after a restart of the owner", 1, 200, restart_owner, true, 5000, true},
    {"after a change of primary", 1, 200, kill_primary, true, 5000, true},
    {"the owner is killed while it runs", RUNNING_MS, 100, kill_owner, true,
	5000, false},
    {"the primary is killed while it runs", RUNNING_MS, 100, kill_primary, true,
	5000, false},
    {"the owner freezes while it runs", RUNNING_MS, 100, freeze_owner, true,
	2000, false},
    {"the answer is lost", 20, 0, lose_answer, true, 1500, false},
};

/*
 * Send the first request, in a thread of its own.
 */
static gpointer
ask_first(gpointer data)
{
	first_ask_t *first = data;
	arena_t *arena = arena_new();
	Bp__CallerAnswer *answer =
	    fleet_ask(first->fleet, arena, first->daemon, first->body);

	first->answered = answer != NULL;
	if (answer != NULL)
		first->outcome = answer->outcome;
	arena_free(arena);
	return NULL;
}

/*
 * Send the second until its outcome is plain.
 */
static Bp__Outcome
ask_again(fleet_t *fleet, uint32_t daemon, const char *body)
{
	int64_t until_us = g_get_monotonic_time() + PATIENCE_US;
	Bp__Outcome outcome = BP__OUTCOME__UNKNOWN;

	while (
	    outcome != BP__OUTCOME__DONE && g_get_monotonic_time() < until_us) {
		arena_t *arena = arena_new();
		Bp__CallerAnswer *answer =
		    fleet_ask(fleet, arena, daemon, body);

		if (answer != NULL)
			outcome = answer->outcome;
		arena_free(arena);
		if (outcome != BP__OUTCOME__DONE)
			g_usleep(50 * US_PER_MS);
	}
	return outcome;
}

/*
 * How often a request id stands in the log of the primary of group 0.
 */
static uint32_t
runs_of(fleet_t *fleet, const char *id)
{
	arena_t *arena = arena_new();
	Bp__RanLog *log =
	    fleet_db_ran(fleet, arena, (uint32_t)fleet_wait_primary(fleet, 0));
	uint32_t n = 0;
	size_t i;

	for (i = 0; i < log->n_ran; i++)
		n += log->ran[i]->request_id != NULL &&
		    strcmp(log->ran[i]->request_id, id) == 0;
	arena_free(arena);
	return n;
}

/*
 * A request that must not run twice runs once, however often it comes.
 */
static void
test_id(gconstpointer data)
{
	const id_case_t *c = data;
	fleet_plan_t plan = {.daemons = 3,
	    .tickets = 1,
	    .service_ms = c->service_ms,
	    .lag_ms = 2};
	fleet_t *fleet = fleet_start(&plan);
	uint32_t owner = fleet_owner(fleet, 0);
	first_ask_t first = {
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
		c->act(fleet);
	thread = g_thread_new("first", ask_first, &first);
	g_usleep(c->after_ms * US_PER_MS);
	if (c->after_ms > 0)
		c->act(fleet);
	g_assert_cmpint(
	    ask_again(fleet, second, first.body), ==, BP__OUTCOME__DONE);
	fleet_signal(&fleet->daemons[owner], SIGCONT);
	g_thread_join(thread);
	if (c->first_done)
		g_assert_cmpint(first.outcome, ==, BP__OUTCOME__DONE);
	if (first.answered)
		g_assert_cmpint(first.outcome, !=, BP__OUTCOME__NOT_RUN);
	g_assert_cmpuint(runs_of(fleet, "once"), ==, 1);
	g_free(first.body);
	fleet_end(fleet);
}

/* One statement of a sequence, in short. */
typedef struct tx_step {
	const char *action;
	const char *statement;
	const char *request_id;
	const char *work;
	bool in_tx;
	Bp__Outcome outcome;
	const char *result; /* NULL: not looked at */
} tx_step_t;

typedef struct tx_case {
	const char *name;
	tx_step_t steps[10];
	uint32_t count;
} tx_case_t;

#define DONE BP__OUTCOME__DONE
#define NOT_RUN BP__OUTCOME__NOT_RUN
#define WRITE "quote-revision"
#define READ "ticket"

static const tx_case_t tx_cases[] = {
    {"the same commit id again",
	{{"begin", "", NULL, WRITE, false, DONE, NULL},
	    {"run", "set a 1", NULL, WRITE, true, DONE, NULL},
	    {"commit", "", "c1", WRITE, true, DONE, NULL},
	    {"begin", "", NULL, WRITE, false, DONE, NULL},
	    {"run", "set a 2", NULL, WRITE, true, DONE, NULL},
	    {"commit", "", "c1", WRITE, true, DONE, NULL},
	    {"run", "get a", NULL, READ, false, DONE, "1"},
	    {"run", "set b 1", NULL, WRITE, false, DONE, NULL},
	    {"run", "get b", NULL, READ, false, DONE, "1"}},
	9},
    {"rolled back",
	{{"begin", "", NULL, WRITE, false, DONE, NULL},
	    {"run", "set a 1", NULL, WRITE, true, DONE, NULL},
	    {"rollback", "", NULL, WRITE, true, DONE, NULL},
	    {"run", "get a", NULL, READ, false, DONE, ""}},
	4},
    {"nothing is seen before the commit",
	{{"begin", "", NULL, WRITE, false, DONE, NULL},
	    {"run", "set a 1", NULL, WRITE, true, DONE, NULL},
	    {"run", "get a", NULL, READ, false, DONE, ""},
	    {"commit", "", NULL, WRITE, true, DONE, NULL},
	    {"run", "get a", NULL, READ, false, DONE, "1"}},
	5},
    {"over is over",
	{{"begin", "", NULL, WRITE, false, DONE, NULL},
	    {"commit", "", NULL, WRITE, true, DONE, NULL},
	    {"run", "set a 1", NULL, WRITE, true, NOT_RUN, NULL},
	    {"commit", "", NULL, WRITE, true, NOT_RUN, NULL}},
	4},
    {"an error leaves it open",
	{{"begin", "", NULL, WRITE, false, DONE, NULL},
	    {"run", "fail", NULL, WRITE, true, BP__OUTCOME__FAILED, NULL},
	    {"run", "set a 1", NULL, WRITE, true, DONE, NULL},
	    {"commit", "", NULL, WRITE, true, DONE, NULL},
	    {"run", "get a", NULL, READ, false, DONE, "1"}},
	5},
};

/*
 * Send the steps of a case one after the other, each through another daemon.
 */
static void
test_tx(gconstpointer data)
{
	const tx_case_t *c = data;
	fleet_plan_t plan = {.daemons = 3, .tickets = 1, .service_ms = 1};
	fleet_t *fleet = fleet_start(&plan);
	arena_t *arena = arena_new();
	history_t *history = history_new();
	const char *transaction = NULL;
	uint32_t i;

	g_assert_true(fleet_wait_ready(fleet, READY_MS));
	for (i = 0; i < c->count; i++) {
		const tx_step_t *step = &c->steps[i];
		Bp__CallerRequest ask = BP__CALLER_REQUEST__INIT;
		Bp__CallerAnswer *answer;

		ask.team = (char *)"tickets";
		ask.account = (char *)"bench";
		ask.work = (char *)step->work;
		ask.group = (char *)"tickets-1";
		ask.has_action = 1;
		ask.action =
		    (Bp__Action)protobuf_c_enum_descriptor_get_value_by_name(
			&bp__action__descriptor,
			g_ascii_strup(step->action, -1))
			->value;
		ask.statement = (char *)step->statement;
		ask.request_id = (char *)step->request_id;
		ask.transaction = step->in_tx ? (char *)transaction : NULL;
		answer = fleet_ask(
		    fleet, arena, i % 3, json_write(arena, &ask.base, NULL));
		g_assert_nonnull(answer);
		g_assert_cmpint(answer->outcome, ==, step->outcome);
		if (step->result != NULL)
			g_assert_cmpstr(
			    answer->result == NULL ? "" : answer->result, ==,
			    step->result);
		if (answer->transaction != NULL)
			transaction = answer->transaction;
	}
	load_collect(fleet, history);
	g_assert_cmpuint(history->mixed, ==, 0);
	history_free(history);
	arena_free(arena);
	fleet_end(fleet);
}

/* --- documents --- */

typedef struct edit_case {
	const char *name;
	void (*run)(fleet_t *, history_t *);
} edit_case_t;

/*
 * Wait until a version of the tickets document is in force on every daemon
 * of the fleet, and note every version that is seen meanwhile.
 */
static bool
wait_version(fleet_t *fleet, history_t *history, uint64_t version)
{
	int64_t until_us = g_get_monotonic_time() + PATIENCE_US;
	uint32_t i, there;

	do {
		arena_t *arena = arena_new();
		Bp__StatusPage *page = fleet_status(fleet, arena, 0);

		load_versions(fleet, history);
		for (i = there = 0; page != NULL && i < fleet->plan.daemons;
		     i++)
			there += fleet_version(page, fleet->daemons[i].name,
				     "tickets") == version;
		arena_free(arena);
		if (there == fleet->plan.daemons)
			return true;
		g_usleep(50 * US_PER_MS);
	} while (g_get_monotonic_time() < until_us);
	return false;
}

/*
 * Put a valid next version of the tickets document.
 */
static void
put_valid(fleet_t *fleet, uint64_t version)
{
	char *document = fleet_document(fleet, "tickets", NULL);

	g_assert_cmpuint(
	    fleet_put(fleet, "team/tickets", version - 1, document), ==,
	    version);
	g_free(document);
}

/*
 * Wait for the status object to name a version; its text is the caller's.
 */
static char *
wait_status(fleet_t *fleet, const char *part)
{
	int64_t until_us = g_get_monotonic_time() + PATIENCE_US;
	uint64_t version;
	char *text = NULL;

	do {
		g_free(text);
		text = fleet_object(fleet, "status/tickets", &version);
		if (text != NULL && strstr(text, part) != NULL)
			return text;
		g_usleep(50 * US_PER_MS);
	} while (g_get_monotonic_time() < until_us);
	g_free(text);
	return NULL;
}

static void
edit_invalid(fleet_t *fleet, history_t *history)
{
	char *status;

	g_assert_cmpuint(fleet_put(fleet, "team/tickets", 1,
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

static void
edit_race(fleet_t *fleet, history_t *history)
{
	char *document = fleet_document(fleet, "tickets", NULL);
	uint64_t first = fleet_put(fleet, "team/tickets", 1, document);
	uint64_t second = fleet_put(fleet, "team/tickets", 1, document);

	g_assert_cmpuint(first, ==, 2);
	g_assert_cmpuint(second, ==, 0);
	g_free(document);
	g_assert_true(wait_version(fleet, history, 2));
}

static void
edit_quickly(fleet_t *fleet, history_t *history)
{
	uint64_t i;

	for (i = 2; i <= 12; i++) {
		put_valid(fleet, i);
		load_versions(fleet, history);
	}
	g_assert_true(wait_version(fleet, history, 12));
}

static void
edit_answer_lost(fleet_t *fleet, history_t *history)
{
	uint64_t version = 0;
	char *text;

	put_valid(fleet, 2);
	fleet_platform_fault(fleet, "{\"lose_next_answer\":true}");
	g_assert_true(wait_version(fleet, history, 2));
	text = fleet_object(fleet, "accepted/tickets", &version);
	g_assert_nonnull(text);
	g_assert_cmpuint(version, ==, 2);
	g_free(text);
}

static void
start_in_outage(fleet_t *fleet, history_t *history)
{
	put_valid(fleet, 2);
	g_assert_true(wait_version(fleet, history, 2));
	fleet_daemon_end(fleet, 1);
	fleet_platform_fault(fleet, "{\"outage_ms\":60000}");
	fleet_daemon_start(fleet, 1);
	g_assert_true(fleet_wait_ready(fleet, READY_MS));
	g_assert_true(wait_version(fleet, history, 2));
}

static void
frozen_daemon(fleet_t *fleet, history_t *history)
{
	fleet_signal(&fleet->daemons[2], SIGSTOP);
	put_valid(fleet, 2);
	put_valid(fleet, 3);
	g_usleep(3000 * US_PER_MS);
	fleet_signal(&fleet->daemons[2], SIGCONT);
	g_assert_true(wait_version(fleet, history, 3));
}

static void
edit_in_outage(fleet_t *fleet, history_t *history)
{
	fleet_platform_fault(fleet, "{\"outage_ms\":2000}");
	g_usleep(2200 * US_PER_MS);
	put_valid(fleet, 2);
	fleet_platform_fault(fleet, "{\"outage_ms\":1500}");
	g_assert_true(wait_version(fleet, history, 2));
}

static void
slow_platform(fleet_t *fleet, history_t *history)
{
	fleet_platform_fault(fleet, "{\"slow_ms\":700}");
	put_valid(fleet, 2);
	g_assert_true(wait_version(fleet, history, 2));
}

/*
 * The daemon that judged the first version is gone when an invalid one
 * comes; the one that judges it has never written the status object.
 */
static void
other_judge(fleet_t *fleet, history_t *history)
{
	const char *names[FLEET_DAEMONS_MAX];
	char *status = wait_status(fleet, "\"seen_version\":1");
	uint32_t i;

	g_assert_nonnull(status);
	g_free(status);
	for (i = 0; i < fleet->plan.daemons; i++)
		names[i] = fleet->daemons[i].name;
	fleet_daemon_end(
	    fleet, (uint32_t)owner_pick(names, fleet->plan.daemons, "tickets"));
	g_assert_cmpuint(fleet_put(fleet, "team/tickets", 1,
			     "{\"team\":\"tickets\",\n\"colour\":1}"),
	    ==, 2);
	status = wait_status(fleet, "colour");
	g_assert_nonnull(status);
	g_free(status);
	load_versions(fleet, history);
}

static const edit_case_t edit_cases[] = {
    {"another daemon judges", other_judge},
    {"invalid edit", edit_invalid},
    {"racing edits", edit_race},
    {"many edits", edit_quickly},
    {"the answer to the acceptance is lost", edit_answer_lost},
    {"a daemon starts in an outage", start_in_outage},
    {"a daemon was frozen", frozen_daemon},
    {"an outage while it is judged", edit_in_outage},
    {"the platform is slow", slow_platform},
};

/*
 * An accepted document is in force everywhere and never goes back.
 */
static void
test_edit(gconstpointer data)
{
	const edit_case_t *c = data;
	fleet_plan_t plan = {.daemons = 3, .tickets = 1, .service_ms = 1};
	fleet_t *fleet = fleet_start(&plan);
	history_t *history = history_new();
	violations_t violations = {0};

	g_assert_true(fleet_wait_ready(fleet, READY_MS));
	c->run(fleet, history);
	g_assert_cmpuint(history_check(history, &violations), ==, 0);
	g_string_free(violations.text, TRUE);
	history_free(history);
	fleet_end(fleet);
}

/* --- bad input --- */

typedef enum bad_socket {
	TO_CALLERS,
	TO_PEERS,
	TO_OPERATORS,
} bad_socket_t;

typedef struct bad_case {
	const char *name;
	bad_socket_t to;
	const char *bytes;
	uint32_t size_bytes; /* 0: the string's */
	uint32_t fill_bytes; /* more bytes of 'x' after it */
	bool half_close;
	const char *answer;  /* a part of it; NULL: any or none */
	const char *counter; /* must have grown; may be NULL */
	uint32_t wait_ms;    /* until the daemon must have dropped it */
} bad_case_t;

#define HEAD(length) \
	"POST /v1/statement HTTP/1.1\r\nHost: a\r\nContent-Length: " length \
	"\r\n\r\n"

static const bad_case_t bad_cases[] = {
    {"not HTTP", TO_CALLERS, "\x16\x03\x01\x02garbage\r\n\r\n", 0, 0, false,
	NULL, NULL, 500},
    {"not JSON", TO_CALLERS, HEAD("4") "abcd", 0, 0, false, "bad_request",
	"bad_requests", 500},
    {"an unknown key", TO_CALLERS,
	HEAD("48") "{\"team\":\"t\",\"account\":\"a\",\"work\":\"w\","
		   "\"colour\":1}",
	0, 0, false, "unknown key", "bad_requests", 500},
    {"a body that says it is too large", TO_CALLERS, HEAD("99999999"), 0, 0,
	false, NULL, "requests_too_large", 500},
    {"a chunked body without end", TO_CALLERS,
	"POST /v1/statement HTTP/1.1\r\nHost: a\r\n"
	"Transfer-Encoding: chunked\r\n\r\n1000000\r\n",
	0, 4 << 20, false, NULL, "requests_too_large", 2000},
    {"headers without end", TO_CALLERS, "POST /v1/statement HTTP/1.1\r\nA: ", 0,
	4 << 20, false, NULL, NULL, 500},
    {"a body that does not come", TO_CALLERS, HEAD("100") "{", 0, 0, false,
	NULL, "requests_too_slow", 2500},
    {"closed in the middle of a body", TO_CALLERS, HEAD("100") "{", 0, 0, true,
	NULL, NULL, 500},
    {"another method", TO_CALLERS,
	"GET /v1/statement HTTP/1.1\r\nHost: a\r\n\r\n", 0, 0, false, "405",
	NULL, 500},
    {"another path", TO_CALLERS, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n", 0, 0,
	false, "404", NULL, 500},
    {"another path for operators", TO_OPERATORS,
	"GET /x HTTP/1.1\r\nHost: a\r\n\r\n", 0, 0, false, "404", NULL, 500},
    {"a frame that says it is too large", TO_PEERS, "\xff\xff\xff\xff", 0, 0,
	false, NULL, "peer_links_dropped", 500},
    {"a frame of garbage", TO_PEERS, "\x00\x00\x00\x04\xff\xff\xff\xff", 8, 0,
	false, NULL, "peer_links_dropped", 500},
    {"an empty frame", TO_PEERS, "\x00\x00\x00\x00", 4, 0, false, NULL,
	"peer_links_dropped", 500},
    {"a frame that does not come", TO_PEERS, "\x00\x00\x00\x10\x0a", 5, 0,
	false, NULL, "peer_links_dropped", 2500},
    {"closed in the middle of a frame", TO_PEERS, "\x00\x00\x00\x10\x0a", 5, 0,
	true, NULL, NULL, 500},
    {"HTTP to peers", TO_PEERS, "GET / HTTP/1.1\r\n\r\n", 0, 0, false, NULL,
	"peer_links_dropped", 500},
};

static fleet_t *bad_fleet;

/*
 * Connect to a port and send what a case has.
 */
static GSocket *
bad_send(const bad_case_t *c, uint32_t port)
{
	GSocketAddress *to =
	    g_inet_socket_address_new_from_string("127.0.0.1", port);
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
	char *fill = g_strnfill(c->fill_bytes, 'x');
	uint32_t sent = 0;
	gssize n = 1;

	g_socket_set_timeout(socket, 3);
	g_assert_true(g_socket_connect(socket, to, NULL, NULL));
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
	g_object_unref(to);
	return socket;
}

/*
 * A counter of the first daemon.
 */
static uint64_t
bad_counter(const char *name)
{
	arena_t *arena = arena_new();
	Bp__StatusPage *page = fleet_status(bad_fleet, arena, 0);
	uint64_t value;

	g_assert_nonnull(page);
	value = fleet_counter(page, name);
	arena_free(arena);
	return value;
}

/*
 * An ordinary request is served as ever.
 */
static void
bad_others_go_on(void)
{
	arena_t *arena = arena_new();
	Bp__CallerAnswer *answer = fleet_ask(bad_fleet, arena, 0,
	    "{\"team\":\"tickets\",\"account\":\"bench\","
	    "\"work\":\"ticket\",\"key\":\"k\",\"statement\":\"get k\"}");

	g_assert_nonnull(answer);
	g_assert_cmpint(answer->outcome, ==, BP__OUTCOME__DONE);
	arena_free(arena);
}

/*
 * Wait until a counter has passed a value.
 */
static bool
bad_counted(const char *name, uint64_t above, uint32_t wait_ms)
{
	int64_t until_us =
	    g_get_monotonic_time() + (wait_ms + 2000) * US_PER_MS;

	while (bad_counter(name) <= above) {
		if (g_get_monotonic_time() >= until_us)
			return false;
		g_usleep(20 * US_PER_MS);
	}
	return true;
}

/*
 * Bad input is answered or dropped and counted, and nobody else notices.
 */
static void
test_bad(gconstpointer data)
{
	const bad_case_t *c = data;
	const fleet_process_t *daemon = &bad_fleet->daemons[0];
	uint32_t port = c->to == TO_CALLERS ? daemon->port
	    : c->to == TO_PEERS             ? daemon->peer_port
					    : daemon->operator_port;
	uint64_t before = c->counter == NULL ? 0 : bad_counter(c->counter);
	uint64_t memory_bytes = fleet_memory_bytes(daemon);
	char buffer[4096] = {0};
	GSocket *socket = bad_send(c, port);
	gssize n;

	bad_others_go_on();
	if (c->answer != NULL) {
		n = g_socket_receive(
		    socket, buffer, sizeof(buffer) - 1, NULL, NULL);
		g_assert_cmpint(n, >, 0);
		g_assert_nonnull(strstr(buffer, c->answer));
	}
	if (c->counter != NULL)
		g_assert_true(bad_counted(c->counter, before, c->wait_ms));
	g_socket_close(socket, NULL);
	g_object_unref(socket);
	bad_others_go_on();
	g_assert_cmpuint(
	    fleet_memory_bytes(daemon), <, memory_bytes + (16 << 20));
}

/*
 * Wait until no caller's connection is counted any more.
 */
static bool
bad_all_gone(void)
{
	int64_t until_us = g_get_monotonic_time() + 3000 * US_PER_MS;

	while (bad_counter("caller_connections") > 0) {
		if (g_get_monotonic_time() >= until_us)
			return false;
		g_usleep(20 * US_PER_MS);
	}
	return true;
}

/*
 * Above the limit on connections new ones are cut, and when some go, others
 * are taken again.
 */
static void
test_connections(void)
{
	static const bad_case_t idle = {"", TO_CALLERS, "P", 1, 0, false};
	uint64_t before = bad_counter("connections_refused");
	GSocket *sockets[2 * CALLERS_MAX];
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(sockets); i++)
		sockets[i] = bad_send(&idle, bad_fleet->daemons[0].port);
	g_assert_true(
	    bad_counted("connections_refused", before + CALLERS_MAX / 2, 0));
	for (i = 0; i < G_N_ELEMENTS(sockets); i++) {
		g_socket_close(sockets[i], NULL);
		g_object_unref(sockets[i]);
	}
	g_assert_true(bad_all_gone());
	bad_others_go_on();
}

#define BODY \
	"{\"team\":\"tickets\",\"account\":\"bench\",\"work\":\"ticket\"," \
	"\"key\":\"k\",\"statement\":\"get k\"}"

typedef struct rude_case {
	const char *name;
	uint32_t requests; /* sent at once */
	uint32_t wait_us;  /* before the caller closes */
	uint32_t times;
} rude_case_t;

static const rude_case_t rude_cases[] = {
    {"gone before the answer", 1, 0, 300},
    {"gone about the time of the answer", 1, 700, 300},
    {"gone when the connection is parked", 1, 20000, 30},
    {"requests one behind the other", 3, 3000, 100},
    {"many requests at once and gone", 20, 0, 50},
};

/*
 * Callers that do not wait for their answers disturb nobody once they are
 * gone, and none of their connections is kept.
 */
static void
test_rude(gconstpointer data)
{
	const rude_case_t *c = data;
	GString *text = g_string_new(NULL);
	bad_case_t request = {"", TO_CALLERS};
	GSocket *socket;
	uint32_t i;

	for (i = 0; i < c->requests; i++)
		g_string_append_printf(text,
		    "POST /v1/statement HTTP/1.1\r\nHost: a\r\n"
		    "Content-Length: %u\r\n\r\n%s",
		    (uint32_t)strlen(BODY), BODY);
	request.bytes = text->str;
	for (i = 0; i < c->times; i++) {
		socket = bad_send(&request, bad_fleet->daemons[0].port);
		g_usleep(c->wait_us);
		g_socket_close(socket, NULL);
		g_object_unref(socket);
	}
	g_assert_true(bad_all_gone());
	bad_others_go_on();
	g_string_free(text, TRUE);
}

/*
 * Run the tables.
 */
int
main(int argc, char **argv)
{
	fleet_plan_t plan = {.daemons = 2,
	    .tickets = 1,
	    .service_ms = 1,
	    .request_ms = 1500,
	    .limits = "\"caller_connections\":" G_STRINGIFY(CALLERS_MAX)};
	int status;

	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	log_start(G_LOG_LEVEL_WARNING, STDERR_FILENO);
	CASES("/holds/at-most-once", id_cases, test_id);
	CASES("/holds/transactions-apart", tx_cases, test_tx);
	CASES("/holds/document-never-reverts", edit_cases, test_edit);
	CASES("/input", bad_cases, test_bad);
	CASES("/input", rude_cases, test_rude);
	g_test_add_func("/input/too-many-connections", test_connections);
	bad_fleet = fleet_start(&plan);
	g_assert_true(fleet_wait_ready(bad_fleet, READY_MS));
	status = g_test_run();
	fleet_end(bad_fleet);
	return status;
}
