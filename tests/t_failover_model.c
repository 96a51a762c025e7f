#include "../tools/failover_model.h"
#include "cases.h"

#include <string.h>

/*
 * Tests with the failover model, a simulation of one database group with random
 * faults.  Injected bugs check that the model detects violations.
 */

#define STEPS 60000
#define SEEDS 6
#define BUG_SEEDS 40

typedef struct correct_case {
	const char *name;
	uint32_t databases;
	uint32_t owners; /* daemons that act as owner of the group */
	uint32_t fault_permille;
	uint32_t first_seed;
} correct_case_t;

static const correct_case_t correct_cases[] = {
    {"one owner, no faults", 3, 1, 0, 1},
    {"one owner, faults", 3, 1, 20, 100},
    {"two owners at once", 3, 2, 20, 200},
    {"three owners, many faults", 3, 3, 60, 300},
    {"five databases", 5, 2, 30, 400},
};

/*
 * Test that no invariant is violated, writes are acknowledged and the primary
 * changes.
 */
static void
test_correct_rules(gconstpointer data)
{
	const correct_case_t *c = data;
	uint32_t i;

	for (i = 0; i < SEEDS; i++) {
		failover_model_plan_t plan = {.seed = c->first_seed + i,
		    .steps = STEPS,
		    .databases = c->databases,
		    .owners = c->owners,
		    .fault_permille = c->fault_permille,
		    .ack_rule = failover_model_ack_by_majority};
		failover_model_result_t result;

		failover_model_run(&plan, &result);
		g_test_message("seed %u: %" G_GUINT64_FORMAT
			       " acknowledged, %" G_GUINT64_FORMAT
			       " primary changes, %" G_GUINT64_FORMAT " faults",
		    plan.seed, result.acknowledged, result.primary_changes,
		    result.faults);
		g_assert_cmpuint(result.lost_writes, ==, 0);
		g_assert_cmpuint(result.stale_fresh_reads, ==, 0);
		g_assert_cmpuint(result.stale_replica_reads, ==, 0);
		g_assert_cmpuint(result.duplicate_executions, ==, 0);
		g_assert_cmpuint(result.acknowledged, >, 100);
		g_assert_cmpuint(result.primary_changes, >, 0);
	}
}

/*
 * Acknowledge a write with an injected bug: a database that has promised the
 * term counts as having the entry, whatever the term of its last log entry.
 */
static bool
ack_by_promised_term(void *context, const db_view_t *views, uint32_t count,
    position_t position, int64_t since_us)
{
	uint32_t i, matching = 0;

	(void)context;
	for (i = 0; i < count; i++)
		matching += views[i].known &&
		    views[i].requested_us >= since_us &&
		    views[i].promised == position.term &&
		    views[i].last_entry.index >= position.index;
	return matching >= majority_of(count);
}

/*
 * Acknowledge a write with an injected bug: only log indexes are compared, and
 * terms are ignored.
 */
static bool
ack_by_index(void *context, const db_view_t *views, uint32_t count,
    position_t position, int64_t since_us)
{
	uint32_t i, matching = 0;

	(void)context;
	for (i = 0; i < count; i++)
		matching += views[i].known &&
		    views[i].requested_us >= since_us &&
		    views[i].last_entry.index >= position.index;
	return matching >= majority_of(count);
}

typedef struct bug_case {
	const char *name;
	failover_model_ack_rule_fn ack_rule;
	bool promote_longest_log;
	bool skip_read_confirmation;
	bool ignore_replica_age;
	bool ignore_request_ids;
} bug_case_t;

static const bug_case_t bug_cases[] = {
    {"acknowledged without a majority", failover_model_ack_unconfirmed, false,
	false, false, false},
    {"a promise counts as having the entry", ack_by_promised_term, false, false,
	false, false},
    {"an index without its term", ack_by_index, false, false, false, false},
    {"the longest log is promoted", failover_model_ack_by_majority, true, false,
	false, false},
    {"reads from an unconfirmed primary", failover_model_ack_by_majority, false,
	true, false, false},
    {"reads from replicas of any staleness", failover_model_ack_by_majority,
	false, false, true, false},
    {"request ids not in the log", failover_model_ack_by_majority, false, false,
	false, true},
};

/*
 * Test that each injected bug violates an invariant within BUG_SEEDS seeds, so
 * the model would detect the same bug in the daemon.
 */
static void
test_injected_bugs(gconstpointer data)
{
	const bug_case_t *c = data;
	uint64_t violations = 0;
	uint32_t i;

	for (i = 1; i <= BUG_SEEDS && violations == 0; i++) {
		failover_model_plan_t plan = {.seed = i,
		    .steps = STEPS,
		    .databases = 3,
		    .owners = 2,
		    .fault_permille = 60,
		    .ack_rule = c->ack_rule,
		    .promote_longest_log = c->promote_longest_log,
		    .skip_read_confirmation = c->skip_read_confirmation,
		    .ignore_replica_age = c->ignore_replica_age,
		    .ignore_request_ids = c->ignore_request_ids};
		failover_model_result_t result;

		failover_model_run(&plan, &result);
		violations = result.lost_writes + result.stale_fresh_reads +
		    result.stale_replica_reads + result.duplicate_executions;
		g_test_message(
		    "seed %u: %" G_GUINT64_FORMAT " violations", i, violations);
	}
	g_assert_cmpuint(violations, >, 0);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CASES("/model/right", correct_cases, test_correct_rules);
	CASES("/model/wrong", bug_cases, test_injected_bugs);
	return g_test_run();
}
