#include "../tools/history.h"
#include "cases.h"

#include <string.h>

/* The checker of histories, fed with broken ones. */

#define S(n) ((int64_t)(n)*1000000)

/* One operation of a case, in short. */
typedef struct op_line {
	uint32_t session;
	bool write;
	const char *value; /* written or read */
	int64_t asked_us;
	int64_t answered_us;
	Bp__Outcome outcome;
	int64_t max_age_us;
	uint32_t transaction;
	uint32_t attempt;
} op_line_t;

/* One entry of a log, in short. */
typedef struct ran_line {
	const char *value;
	uint64_t position;
	const char *request_id;
	bool primary;
	bool dropped;
} ran_line_t;

typedef struct history_case {
	const char *name;
	op_line_t ops[5];
	uint32_t ops_count;
	ran_line_t ran[5];
	uint32_t ran_count;
	uint64_t versions[3];
	uint32_t versions_count;
	int32_t expected; /* a violation_kind_t, -1: none */
} history_case_t;

#define DONE BP__OUTCOME__DONE
#define NOT_RUN BP__OUTCOME__NOT_RUN
#define UNKNOWN BP__OUTCOME__UNKNOWN

static const history_case_t cases[] = {
    {"nothing wrong",
	{{1, true, "k=1", S(1), S(2), DONE, 0, 0, 0},
	    {1, false, "k=1", S(3), S(4), DONE, 0, 0, 0}},
	2, {{"k=1", 2, "r", true, false}}, 1, {1, 2}, 2, -1},
    {"lost acknowledged write", {{1, true, "k=1", S(1), S(2), DONE, 0, 0, 0}},
	1, {{"k=1", 2, NULL, false, true}}, 1, {0}, 0, VIOLATION_LOST_WRITE},
    {"an unknown write may be lost",
	{{1, true, "k=1", S(1), S(2), UNKNOWN, 0, 0, 0}}, 1,
	{{"k=1", 2, NULL, false, true}}, 1, {0}, 0, -1},
    {"stale read in a session",
	{{1, true, "k=1", S(1), S(2), DONE, 0, 0, 0},
	    {1, false, NULL, S(3), S(4), DONE, S(60), 0, 0}},
	2, {{"k=1", 2, NULL, true, false}}, 1, {0}, 0, VIOLATION_STALE_SESSION},
    {"another session may be behind",
	{{1, true, "k=1", S(1), S(2), DONE, 0, 0, 0},
	    {2, false, NULL, S(3), S(4), DONE, S(60), 0, 0}},
	2, {{"k=1", 2, NULL, true, false}}, 1, {0}, 0, -1},
    {"reads of a session go back",
	{{1, true, "k=1", S(1), S(2), UNKNOWN, 0, 0, 0},
	    {2, false, "k=1", S(3), S(4), DONE, S(60), 0, 0},
	    {2, false, NULL, S(5), S(6), DONE, S(60), 0, 0}},
	3, {{"k=1", 2, NULL, true, false}}, 1, {0}, 0, VIOLATION_STALE_SESSION},
    {"a fresh read of another is stale",
	{{1, true, "k=1", S(1), S(2), DONE, 0, 0, 0},
	    {2, false, NULL, S(3), S(4), DONE, 0, 0, 0}},
	2, {{"k=1", 2, NULL, true, false}}, 1, {0}, 0, VIOLATION_STALE_READ},
    {"older than its kind allows",
	{{1, true, "k=1", S(1), S(2), DONE, 0, 0, 0},
	    {1, true, "k=2", S(3), S(4), DONE, 0, 0, 0},
	    {2, false, "k=1", S(9), S(10), DONE, S(4), 0, 0}},
	3, {{"k=1", 2, NULL, true, false}, {"k=2", 3, NULL, true, false}}, 2,
	{0}, 0, VIOLATION_STALE_READ},
    {"a read before the acknowledgement",
	{{1, true, "k=1", S(1), S(5), DONE, 0, 0, 0},
	    {2, false, NULL, S(3), S(4), DONE, 0, 0, 0}},
	2, {{"k=1", 2, NULL, true, false}}, 1, {0}, 0, -1},
    {"a repeatable write that ran again",
	{{1, true, "k=1", S(1), S(9), DONE, 0, 0, 0},
	    {2, false, "k=1", S(2), S(3), DONE, S(60), 0, 0},
	    {2, false, "k=2", S(4), S(5), DONE, S(60), 0, 0},
	    {2, false, "k=1", S(6), S(7), DONE, S(60), 0, 0}},
	4,
	{{"k=1", 2, NULL, true, false}, {"k=2", 3, NULL, true, false},
	    {"k=1", 4, NULL, true, false}},
	3, {0}, 0, -1},
    {"back to what stood before and not again",
	{{1, true, "k=2", S(1), S(9), DONE, 0, 0, 0},
	    {2, false, "k=2", S(4), S(5), DONE, S(60), 0, 0},
	    {2, false, "k=1", S(6), S(7), DONE, S(60), 0, 0}},
	3, {{"k=1", 2, NULL, true, false}, {"k=2", 3, NULL, true, false}}, 2,
	{0}, 0, VIOLATION_STALE_SESSION},
    {"double run", {{1, true, "k=1", S(1), S(2), DONE, 0, 0, 0}}, 1,
	{{"k=1", 2, "r", true, false}, {"k=1", 3, "r", true, false}}, 2, {0}, 0,
	VIOLATION_DOUBLE_RUN},
    {"a copy on a replica is no double run",
	{{1, true, "k=1", S(1), S(2), DONE, 0, 0, 0}}, 1,
	{{"k=1", 2, "r", true, false}, {"k=1", 2, "r", false, false}}, 2, {0},
	0, -1},
    {"refused but ran", {{1, true, "k=1", S(1), S(2), NOT_RUN, 0, 0, 0}}, 1,
	{{"k=1", 2, NULL, true, false}}, 1, {0}, 0, VIOLATION_REFUSED_BUT_RAN},
    {"refused, ran and was dropped",
	{{1, true, "k=1", S(1), S(2), NOT_RUN, 0, 0, 0}}, 1,
	{{"k=1", 2, NULL, false, true}}, 1, {0}, 0, VIOLATION_REFUSED_BUT_RAN},
    {"refused at the second attempt only",
	{{1, true, "k=1", S(1), S(2), UNKNOWN, 0, 0, 0},
	    {1, true, "k=1", S(3), S(4), NOT_RUN, 0, 0, 1}},
	2, {{"k=1", 2, NULL, true, false}}, 1, {0}, 0, -1},
    {"wrong caller's answer",
	{{1, false, "other=1", S(1), S(2), DONE, 0, 0, 0}}, 1,
	{{"other=1", 2, NULL, true, false}}, 1, {0}, 0, VIOLATION_WRONG_ANSWER},
    {"half a transaction",
	{{1, true, "k=1", S(1), S(9), UNKNOWN, 0, 4, 0},
	    {1, true, "k=2", S(2), S(9), UNKNOWN, 0, 4, 0}},
	2, {{"k=1", 2, NULL, true, false}}, 1, {0}, 0,
	VIOLATION_HALF_TRANSACTION},
    {"a whole transaction",
	{{1, true, "k=1", S(1), S(9), DONE, 0, 4, 0},
	    {1, true, "k=2", S(2), S(9), DONE, 0, 4, 0}},
	2, {{"k=1", 2, NULL, true, false}, {"k=2", 2, NULL, true, false}}, 2,
	{0}, 0, -1},
    {"document goes back", {{0}}, 0, {{0}}, 0, {1, 3, 2}, 3,
	VIOLATION_DOCUMENT_BACK},
};

/*
 * Fill a history from the lines of a case.
 */
static history_t *
history_of(const history_case_t *c)
{
	history_t *history = history_new();
	uint32_t i;

	for (i = 0; i < c->ops_count; i++) {
		operation_t *op = history_operation(history);

		op->session = c->ops[i].session;
		op->group = "g";
		op->key = g_strdup("k");
		op->write = c->ops[i].write;
		op->value = g_strdup(c->ops[i].value);
		op->asked_us = c->ops[i].asked_us;
		op->answered_us = c->ops[i].answered_us;
		op->outcome = c->ops[i].outcome;
		op->answered = true;
		op->max_age_us = c->ops[i].max_age_us;
		op->transaction = c->ops[i].transaction;
		op->attempt = c->ops[i].attempt;
	}
	for (i = 0; i < c->ran_count; i++) {
		ran_entry_t *ran = history_ran_one(history);

		ran->group = "g";
		ran->term = 1;
		ran->position = c->ran[i].position;
		ran->key = g_strdup("k");
		ran->value = g_strdup(c->ran[i].value);
		ran->request_id = g_strdup(c->ran[i].request_id);
		ran->on_primary = c->ran[i].primary;
		ran->dropped = c->ran[i].dropped;
	}
	for (i = 0; i < c->versions_count; i++) {
		version_seen_t *seen = history_version(history);

		seen->team = "t";
		seen->version = c->versions[i];
	}
	return history;
}

/*
 * The checker says what is broken, and only that.
 */
static void
test_history(gconstpointer data)
{
	const history_case_t *c = data;
	history_t *history = history_of(c);
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
 * A database that saw a statement on another's open transaction.
 */
static void
test_mixed(void)
{
	history_t *history = history_new();
	violations_t violations = {0};

	history->mixed = 2;
	g_assert_cmpuint(history_check(history, &violations), ==, 1);
	g_assert_cmpuint(violations.counts[VIOLATION_MIXED], ==, 1);
	g_string_free(violations.text, TRUE);
	history_free(history);
}

/*
 * Run the table.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CASES("/history", cases, test_history);
	g_test_add_func("/history/mixed", test_mixed);
	return g_test_run();
}
