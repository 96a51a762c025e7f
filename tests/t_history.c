#include "../tools/history.h"
#include "cases.h"

#include <string.h>

/* Tests of history_check() with histories that break one rule or none. */

#define SECONDS(n) ((int64_t)(n)*1000000)

/* One operation of a case. */
typedef struct operation_spec {
	uint32_t session;
	bool is_write;
	const char *value; /* value written or read; NULL: key not found */
	int64_t invoked_us;
	int64_t completed_us;
	Bp__Outcome outcome;
	int64_t max_age_us;
	uint32_t transaction; /* number of the transaction; 0: none */
	uint32_t attempt;     /* attempt with the request id; 0: the first */
} operation_spec_t;

/* One entry of a database's log. */
typedef struct log_entry_spec {
	const char *value;
	uint64_t position;
	const char *request_id;
	bool in_final_log; /* in the log of the final primary */
	bool dropped;      /* removed from the log by a failover */
} log_entry_spec_t;

typedef struct history_case {
	const char *name;
	operation_spec_t ops[5];
	uint32_t ops_count;
	log_entry_spec_t entries[5];
	uint32_t entries_count;
	uint64_t versions[3]; /* versions of a document, as observed */
	uint32_t versions_count;
	int32_t expected; /* expected violation_kind_t; -1: none */
} history_case_t;

#define DONE BP__OUTCOME__DONE
#define NOT_RUN BP__OUTCOME__NOT_RUN
#define UNKNOWN BP__OUTCOME__UNKNOWN

static const history_case_t history_cases[] = {
    {"no violation",
	{{1, true, "k=1", SECONDS(1), SECONDS(2), DONE, 0, 0, 0},
	    {1, false, "k=1", SECONDS(3), SECONDS(4), DONE, 0, 0, 0}},
	2, {{"k=1", 2, "r", true, false}}, 1, {1, 2}, 2, -1},
    {"lost acknowledged write",
	{{1, true, "k=1", SECONDS(1), SECONDS(2), DONE, 0, 0, 0}}, 1,
	{{"k=1", 2, NULL, false, true}}, 1, {0}, 0, VIOLATION_LOST_WRITE},
    {"an unknown write may be lost",
	{{1, true, "k=1", SECONDS(1), SECONDS(2), UNKNOWN, 0, 0, 0}}, 1,
	{{"k=1", 2, NULL, false, true}}, 1, {0}, 0, -1},
    {"stale read in a session",
	{{1, true, "k=1", SECONDS(1), SECONDS(2), DONE, 0, 0, 0},
	    {1, false, NULL, SECONDS(3), SECONDS(4), DONE, SECONDS(60), 0, 0}},
	2, {{"k=1", 2, NULL, true, false}}, 1, {0}, 0,
	VIOLATION_NON_MONOTONIC_SESSION},
    {"another session may be behind",
	{{1, true, "k=1", SECONDS(1), SECONDS(2), DONE, 0, 0, 0},
	    {2, false, NULL, SECONDS(3), SECONDS(4), DONE, SECONDS(60), 0, 0}},
	2, {{"k=1", 2, NULL, true, false}}, 1, {0}, 0, -1},
    {"reads of a session go back",
	{{1, true, "k=1", SECONDS(1), SECONDS(2), UNKNOWN, 0, 0, 0},
	    {2, false, "k=1", SECONDS(3), SECONDS(4), DONE, SECONDS(60), 0, 0},
	    {2, false, NULL, SECONDS(5), SECONDS(6), DONE, SECONDS(60), 0, 0}},
	3, {{"k=1", 2, NULL, true, false}}, 1, {0}, 0,
	VIOLATION_NON_MONOTONIC_SESSION},
    {"a fresh read by another session is stale",
	{{1, true, "k=1", SECONDS(1), SECONDS(2), DONE, 0, 0, 0},
	    {2, false, NULL, SECONDS(3), SECONDS(4), DONE, 0, 0, 0}},
	2, {{"k=1", 2, NULL, true, false}}, 1, {0}, 0, VIOLATION_STALE_READ},
    {"older than its age limit allows",
	{{1, true, "k=1", SECONDS(1), SECONDS(2), DONE, 0, 0, 0},
	    {1, true, "k=2", SECONDS(3), SECONDS(4), DONE, 0, 0, 0},
	    {2, false, "k=1", SECONDS(9), SECONDS(10), DONE, SECONDS(4), 0, 0}},
	3, {{"k=1", 2, NULL, true, false}, {"k=2", 3, NULL, true, false}}, 2,
	{0}, 0, VIOLATION_STALE_READ},
    {"a read before the acknowledgement",
	{{1, true, "k=1", SECONDS(1), SECONDS(5), DONE, 0, 0, 0},
	    {2, false, NULL, SECONDS(3), SECONDS(4), DONE, 0, 0, 0}},
	2, {{"k=1", 2, NULL, true, false}}, 1, {0}, 0, -1},
    {"a repeatable write that was executed again",
	{{1, true, "k=1", SECONDS(1), SECONDS(9), DONE, 0, 0, 0},
	    {2, false, "k=1", SECONDS(2), SECONDS(3), DONE, SECONDS(60), 0, 0},
	    {2, false, "k=2", SECONDS(4), SECONDS(5), DONE, SECONDS(60), 0, 0},
	    {2, false, "k=1", SECONDS(6), SECONDS(7), DONE, SECONDS(60), 0, 0}},
	4,
	{{"k=1", 2, NULL, true, false}, {"k=2", 3, NULL, true, false},
	    {"k=1", 4, NULL, true, false}},
	3, {0}, 0, -1},
    {"a read returns to an overwritten value",
	{{1, true, "k=2", SECONDS(1), SECONDS(9), DONE, 0, 0, 0},
	    {2, false, "k=2", SECONDS(4), SECONDS(5), DONE, SECONDS(60), 0, 0},
	    {2, false, "k=1", SECONDS(6), SECONDS(7), DONE, SECONDS(60), 0, 0}},
	3, {{"k=1", 2, NULL, true, false}, {"k=2", 3, NULL, true, false}}, 2,
	{0}, 0, VIOLATION_NON_MONOTONIC_SESSION},
    {"duplicate execution",
	{{1, true, "k=1", SECONDS(1), SECONDS(2), DONE, 0, 0, 0}}, 1,
	{{"k=1", 2, "r", true, false}, {"k=1", 3, "r", true, false}}, 2, {0}, 0,
	VIOLATION_DUPLICATE_EXECUTION},
    {"a copy on a replica is no duplicate execution",
	{{1, true, "k=1", SECONDS(1), SECONDS(2), DONE, 0, 0, 0}}, 1,
	{{"k=1", 2, "r", true, false}, {"k=1", 2, "r", false, false}}, 2, {0},
	0, -1},
    {"refused but executed",
	{{1, true, "k=1", SECONDS(1), SECONDS(2), NOT_RUN, 0, 0, 0}}, 1,
	{{"k=1", 2, NULL, true, false}}, 1, {0}, 0,
	VIOLATION_REFUSED_BUT_EXECUTED},
    {"refused, executed and dropped",
	{{1, true, "k=1", SECONDS(1), SECONDS(2), NOT_RUN, 0, 0, 0}}, 1,
	{{"k=1", 2, NULL, false, true}}, 1, {0}, 0,
	VIOLATION_REFUSED_BUT_EXECUTED},
    {"refused at the second attempt only",
	{{1, true, "k=1", SECONDS(1), SECONDS(2), UNKNOWN, 0, 0, 0},
	    {1, true, "k=1", SECONDS(3), SECONDS(4), NOT_RUN, 0, 0, 1}},
	2, {{"k=1", 2, NULL, true, false}}, 1, {0}, 0, -1},
    {"an answer for another caller",
	{{1, false, "other=1", SECONDS(1), SECONDS(2), DONE, 0, 0, 0}}, 1,
	{{"other=1", 2, NULL, true, false}}, 1, {0}, 0, VIOLATION_WRONG_ANSWER},
    {"partial transaction",
	{{1, true, "k=1", SECONDS(1), SECONDS(9), UNKNOWN, 0, 4, 0},
	    {1, true, "k=2", SECONDS(2), SECONDS(9), UNKNOWN, 0, 4, 0}},
	2, {{"k=1", 2, NULL, true, false}}, 1, {0}, 0,
	VIOLATION_PARTIAL_TRANSACTION},
    {"a whole transaction",
	{{1, true, "k=1", SECONDS(1), SECONDS(9), DONE, 0, 4, 0},
	    {1, true, "k=2", SECONDS(2), SECONDS(9), DONE, 0, 4, 0}},
	2, {{"k=1", 2, NULL, true, false}, {"k=2", 2, NULL, true, false}}, 2,
	{0}, 0, -1},
    {"document version goes back", {{0}}, 0, {{0}}, 0, {1, 3, 2}, 3,
	VIOLATION_NON_MONOTONIC_VERSION},
};

/*
 * Create the history that a case describes.
 */
static history_t *
build_history(const history_case_t *c)
{
	history_t *history = history_new();
	uint32_t i;

	for (i = 0; i < c->ops_count; i++) {
		operation_t *op = history_add_operation(history);

		op->session = c->ops[i].session;
		op->group = "g";
		op->key = g_strdup("k");
		op->is_write = c->ops[i].is_write;
		op->value = g_strdup(c->ops[i].value);
		op->invoked_us = c->ops[i].invoked_us;
		op->completed_us = c->ops[i].completed_us;
		op->outcome = c->ops[i].outcome;
		op->answered = true;
		op->max_age_us = c->ops[i].max_age_us;
		op->transaction = c->ops[i].transaction;
		op->attempt = c->ops[i].attempt;
	}
	for (i = 0; i < c->entries_count; i++) {
		executed_entry_t *entry = history_add_entry(history);

		entry->group = "g";
		entry->term = 1;
		entry->position = c->entries[i].position;
		entry->key = g_strdup("k");
		entry->value = g_strdup(c->entries[i].value);
		entry->request_id = g_strdup(c->entries[i].request_id);
		entry->in_final_log = c->entries[i].in_final_log;
		entry->dropped = c->entries[i].dropped;
	}
	for (i = 0; i < c->versions_count; i++) {
		observed_version_t *version = history_add_version(history);

		version->team = "t";
		version->version = c->versions[i];
	}
	return history;
}

/*
 * Test that history_check() reports the expected violation, or none.
 */
static void
test_history(gconstpointer data)
{
	const history_case_t *c = data;
	history_t *history = build_history(c);
	violations_t violations = {0};
	uint32_t total = history_check(history, &violations);

	if (c->expected < 0) {
		g_assert_cmpstr(violations.text->str, ==, "");
		g_assert_cmpuint(total, ==, 0);
	} else {
		g_assert_cmpuint(violations.counts[c->expected], ==, 1);
	}
	g_string_free(violations.text, TRUE);
	history_free(history);
}

/*
 * Test that history_check() reports a statement that a database received on a
 * connection with another caller's open transaction.
 */
static void
test_foreign_transaction(void)
{
	history_t *history = history_new();
	violations_t violations = {0};

	history->foreign_statements = 2;
	g_assert_cmpuint(history_check(history, &violations), ==, 1);
	g_assert_cmpuint(
	    violations.counts[VIOLATION_FOREIGN_TRANSACTION], ==, 1);
	g_string_free(violations.text, TRUE);
	history_free(history);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CASES("/history", history_cases, test_history);
	g_test_add_func(
	    "/history/foreign-transaction", test_foreign_transaction);
	return g_test_run();
}
