#include "../tools/model.h"
#include "cases.h"

#include <string.h>

/* Seeded random runs of the decisions, and wrong rules that must show. */

#define STEPS 60000
#define SEEDS 6
#define SEEDS_WRONG 40

typedef struct model_case {
	const char *name;
	uint32_t databases;
	uint32_t owners;
	uint32_t fault_permille;
	uint32_t first_seed;
} model_case_t;

static const model_case_t cases[] = {
    {"one owner, no faults", 3, 1, 0, 1},
    {"one owner, faults", 3, 1, 20, 100},
    {"two owners at once", 3, 2, 20, 200},
    {"three owners, many faults", 3, 3, 60, 300},
    {"five databases", 5, 2, 30, 400},
};

/*
 * Nothing that must hold is broken, and work goes on.
 */
static void
test_right(gconstpointer data)
{
	const model_case_t *c = data;
	uint32_t i;

	for (i = 0; i < SEEDS; i++) {
		model_plan_t plan = {.seed = c->first_seed + i,
		    .steps = STEPS,
		    .databases = c->databases,
		    .owners = c->owners,
		    .fault_permille = c->fault_permille,
		    .hold = model_hold_right};
		model_result_t result;

		model_run(&plan, &result);
		g_test_message("seed %u: %" G_GUINT64_FORMAT
			       " acknowledged, %" G_GUINT64_FORMAT
			       " changes, %" G_GUINT64_FORMAT " faults",
		    plan.seed, result.acknowledged, result.changes,
		    result.faults);
		g_assert_cmpuint(result.lost, ==, 0);
		g_assert_cmpuint(result.stale, ==, 0);
		g_assert_cmpuint(result.replica_stale, ==, 0);
		g_assert_cmpuint(result.twice, ==, 0);
		g_assert_cmpuint(result.acknowledged, >, 100);
		g_assert_cmpuint(result.changes, >, 0);
	}
}

/*
 * Wrong: a database that has promised the term counts as a holder, whatever
 * its log ends in.
 */
static bool
hold_by_promise(void *context, const db_view_t *views, uint32_t count,
    position_t position, int64_t since_us)
{
	uint32_t i, holders = 0;

	(void)context;
	for (i = 0; i < count; i++)
		holders += views[i].known && views[i].asked_us >= since_us &&
		    views[i].promised == position.term &&
		    views[i].last.index >= position.index;
	return holders >= majority_of(count);
}

/*
 * Wrong: a bare index, with no regard to terms.
 */
static bool
hold_by_index(void *context, const db_view_t *views, uint32_t count,
    position_t position, int64_t since_us)
{
	uint32_t i, holders = 0;

	(void)context;
	for (i = 0; i < count; i++)
		holders += views[i].known && views[i].asked_us >= since_us &&
		    views[i].last.index >= position.index;
	return holders >= majority_of(count);
}

typedef struct wrong_case {
	const char *name;
	model_hold_fn hold;
	bool longest_log;
	bool reads_unconfirmed;
	bool replicas_unaged;
	bool ids_unrecorded;
} wrong_case_t;

static const wrong_case_t wrong_cases[] = {
    {"acknowledged at once", model_hold_at_once, false, false, false, false},
    {"a promise counts as holding", hold_by_promise, false, false, false,
	false},
    {"an index without its term", hold_by_index, false, false, false, false},
    {"the longest log is raised", model_hold_right, true, false, false, false},
    {"fresh reads unconfirmed", model_hold_right, false, true, false, false},
    {"replicas of any age", model_hold_right, false, false, true, false},
    {"request ids not in the log", model_hold_right, false, false, false, true},
};

/*
 * Each wrong rule breaks something within a bounded number of seeds: the
 * model would see the fault if the product had it.
 */
static void
test_wrong(gconstpointer data)
{
	const wrong_case_t *c = data;
	uint64_t broken = 0;
	uint32_t i;

	for (i = 1; i <= SEEDS_WRONG && broken == 0; i++) {
		model_plan_t plan = {.seed = i,
		    .steps = STEPS,
		    .databases = 3,
		    .owners = 2,
		    .fault_permille = 60,
		    .hold = c->hold,
		    .longest_log = c->longest_log,
		    .reads_unconfirmed = c->reads_unconfirmed,
		    .replicas_unaged = c->replicas_unaged,
		    .ids_unrecorded = c->ids_unrecorded};
		model_result_t result;

		model_run(&plan, &result);
		broken = result.lost + result.stale + result.replica_stale +
		    result.twice;
		g_test_message(
		    "seed %u: %" G_GUINT64_FORMAT " broken", i, broken);
	}
	g_assert_cmpuint(broken, >, 0);
}

/*
 * Run the tables.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CASES("/model/right", cases, test_right);
	CASES("/model/wrong", wrong_cases, test_wrong);
	return g_test_run();
}
