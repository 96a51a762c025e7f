#include "../tools/read_plan.h"
#include "cases.h"

/*
 * Tests with the read model, a simulation of sessions, daemons and databases
 * with random troubles.  Wrong rules check that the model detects reads that
 * are too old.
 */

#define STEPS 30000
#define SEEDS 20
#define BUG_SEEDS 20

typedef struct right_case {
	const char *name;
	read_model_troubles_t troubles;
	read_model_bug_t stricter; /* a rule that is stricter than needed */
} right_case_t;

#define ALL_TROUBLES \
	{ \
		20, 4, 5, 10, 3, 6, 1, 300, 20 \
	}

static const right_case_t right_cases[] = {
    {"no troubles", {0}},
    {"answers are held up",
	{.held_permille = 30, .lag_permille = 10, .change_permille = 6}},
    {"daemons freeze",
	{.frozen_permille = 8, .lag_permille = 10, .change_permille = 6}},
    {"connections are silent",
	{.silent_permille = 15, .lag_permille = 10, .change_permille = 6}},
    {"databases start again",
	{.restart_permille = 8, .lag_permille = 10, .change_permille = 6}},
    {"primaries change, replicas lag",
	{.lag_permille = 20, .change_permille = 20}},
    {"orders are late",
	{.lag_permille = 10, .change_permille = 20, .late_permille = 700}},
    {"orders are late, answers are held up",
	{.held_permille = 30,
	    .lag_permille = 10,
	    .change_permille = 20,
	    .late_permille = 700}},
    {"the store goes back",
	{.lag_permille = 10, .change_permille = 10, .returns_permille = 5}},
    {"routes move to another group and back",
	{.moves_permille = 100, .lag_permille = 20, .change_permille = 6}},
    {"all troubles", ALL_TROUBLES},
    {"all troubles, a wait that is left out", ALL_TROUBLES,
	READ_BUG_WAIT_LEFT_OUT},
    {"all troubles, samples that end with the lease", ALL_TROUBLES,
	READ_BUG_SAMPLE_ENDS_WITH_LEASE},
};

/*
 * Add the figures of a run.
 */
static void
add(read_model_result_t *sum, const read_model_result_t *result)
{
	uint32_t i;

	sum->commits += result->commits;
	sum->replica_reads += result->replica_reads;
	sum->passed_on += result->passed_on;
	sum->changes += result->changes;
	sum->late_changes += result->late_changes;
	sum->given_up += result->given_up;
	sum->returns += result->returns;
	sum->restarts += result->restarts;
	sum->freezes += result->freezes;
	sum->silences += result->silences;
	sum->moves += result->moves;
	for (i = 0; i < READ_ROUTES; i++)
		sum->reads[i] += result->reads[i];
}

/*
 * Test that each trouble of a case has begun.
 */
static void
check_troubles(
    const read_model_troubles_t *troubles, const read_model_result_t *sum)
{
	const struct {
		uint32_t permille;
		uint64_t begun;
	} kinds[] = {
	    {troubles->frozen_permille, sum->freezes},
	    {troubles->silent_permille, sum->silences},
	    {troubles->restart_permille, sum->restarts},
	    {troubles->change_permille, sum->changes},
	    {troubles->change_permille, sum->given_up},
	    {troubles->returns_permille, sum->returns},
	    {troubles->late_permille, sum->late_changes},
	    {troubles->moves_permille, sum->moves},
	};
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (kinds[i].permille > 0)
			g_assert_cmpuint(kinds[i].begun, >, 0);
	}
}

/*
 * Test that no read lacks a commit that it had to see, that reads on each kind
 * of route are served, and that the troubles begin.
 */
static void
test_right_rules(gconstpointer data)
{
	const right_case_t *c = data;
	read_model_result_t sum = {0};
	uint32_t seed, i;

	for (seed = 1; seed <= SEEDS; seed++) {
		read_model_plan_t plan = {
		    seed, STEPS, c->troubles, c->stricter};
		read_model_result_t result;

		read_model_run(&plan, &result);
		add(&sum, &result);
		if (read_model_violations(&result) == 0)
			continue;
		g_test_message("seed %u: stale %" G_GUINT64_FORMAT
			       " primary, %" G_GUINT64_FORMAT
			       " bounded, %" G_GUINT64_FORMAT " own",
		    seed, result.stale[READ_ROUTE_PRIMARY],
		    result.stale[READ_ROUTE_BOUNDED],
		    result.stale[READ_ROUTE_OWN]);
		g_test_fail(); /* continue with the other seeds */
	}
	g_test_message("%" G_GUINT64_FORMAT " commits, reads %" G_GUINT64_FORMAT
		       " primary, %" G_GUINT64_FORMAT
		       " bounded, %" G_GUINT64_FORMAT " own; %" G_GUINT64_FORMAT
		       " at replicas",
	    sum.commits, sum.reads[READ_ROUTE_PRIMARY],
	    sum.reads[READ_ROUTE_BOUNDED], sum.reads[READ_ROUTE_OWN],
	    sum.replica_reads);
	g_test_message("%" G_GUINT64_FORMAT " changes, %" G_GUINT64_FORMAT
		       " late, %" G_GUINT64_FORMAT
		       " commits given up, %" G_GUINT64_FORMAT " returns",
	    sum.changes, sum.late_changes, sum.given_up, sum.returns);
	g_assert_cmpuint(sum.commits, >, 0);
	g_assert_cmpuint(sum.replica_reads, >, 0);
	g_assert_cmpuint(sum.passed_on, >, 0);
	for (i = 0; i < READ_ROUTES; i++)
		g_assert_cmpuint(sum.reads[i], >, 0);
	check_troubles(&c->troubles, &sum);
}

typedef struct drawn_case {
	const char *name;
	uint32_t first_seed;
	uint32_t seeds;
	read_model_bug_t injected_bug;
} drawn_case_t;

static const drawn_case_t drawn_cases[] = {
    {"right", 1, 100, READ_BUG_NONE},
    {"a sample without a lease", 1, 40, READ_BUG_SAMPLE_WITHOUT_LEASE},
    {"no floor", 1, 40, READ_BUG_NO_FLOOR},
    {"a read without a position", 1, 40, READ_BUG_NO_POSITION},
};

/*
 * Test that drawn plans cause no stale read, and that with a wrong rule at
 * least one of them does.
 */
static void
test_drawn_plans(gconstpointer data)
{
	const drawn_case_t *c = data;
	uint32_t seed, broken = 0;

	for (seed = c->first_seed; seed < c->first_seed + c->seeds; seed++) {
		GString *text = g_string_new(NULL);
		read_model_plan_t plan;
		read_model_result_t result;

		read_plan_draw(seed, &plan);
		plan.injected_bug = c->injected_bug;
		read_model_run(&plan, &result);
		read_plan_print(&plan, text);
		if (read_model_violations(&result) > 0) {
			broken++;
			g_test_message("%s", text->str);
		}
		g_string_free(text, TRUE);
	}
	if (c->injected_bug == READ_BUG_NONE)
		g_assert_cmpuint(broken, ==, 0);
	else
		g_assert_cmpuint(broken, >, 0);
}

typedef struct wrong_case {
	const char *name;
	read_model_bug_t injected_bug;
	read_model_troubles_t troubles;
	uint32_t first_seed; /* 0: 1 */
} wrong_case_t;

static const wrong_case_t wrong_cases[] = {
    {"a sample without a lease", READ_BUG_SAMPLE_WITHOUT_LEASE,
	{.frozen_permille = 10,
	    .silent_permille = 10,
	    .lag_permille = 40,
	    .change_permille = 30}},
    {"a sample that outlives a return of the store",
	READ_BUG_SAMPLE_OUTLIVES_RETURN,
	{.lag_permille = 40, .change_permille = 10, .returns_permille = 20}},
    {"a sample that outlives the lease", READ_BUG_SAMPLE_OUTLIVES_LEASE,
	ALL_TROUBLES},
    {"a sample without a check of open orders", READ_BUG_SAMPLE_UNCHECKED,
	{.held_permille = 30,
	    .lag_permille = 30,
	    .change_permille = 30,
	    .late_permille = 1000}},
    {"a sample's age from its answer", READ_BUG_SAMPLE_AGE_OF_ANSWER,
	{.held_permille = 60, .lag_permille = 60}},
    {"a lease's age from its answers", READ_BUG_LEASE_AGE_OF_ANSWER,
	{.held_permille = 300, .change_permille = 100}},
    {"a last write for one group only", READ_BUG_FLOOR_OF_ONE_GROUP,
	{.moves_permille = 100, .lag_permille = 40, .change_permille = 6}},
    {"positions without terms", READ_BUG_FLOOR_WITHOUT_TERM,
	{.lag_permille = 20, .change_permille = 20}},
    {"no floor", READ_BUG_NO_FLOOR, {.lag_permille = 20}},
    {"an arrival before a freeze", READ_BUG_ARRIVAL_BEFORE_FREEZE,
	{.frozen_permille = 8, .lag_permille = 40}},
    {"a wait that counts twice", READ_BUG_WAIT_TWICE,
	{.silent_permille = 30, .lag_permille = 60}},
    {"a read without a position", READ_BUG_NO_POSITION,
	{.silent_permille = 60, .lag_permille = 60}},
    {"a read of the primary without the lease", READ_BUG_PRIMARY_UNCONFIRMED,
	{.frozen_permille = 4, .lag_permille = 10, .change_permille = 30}},
    {"a read of a primary that was replaced before its answer",
	READ_BUG_ROLE_AT_ANSWER,
	{.held_permille = 300, .change_permille = 60, .late_permille = 1000},
	.first_seed = 371},
};

/*
 * Test that each wrong rule causes a stale read within BUG_SEEDS seeds, and
 * that the run with that seed and the right rule has none.
 */
static void
test_wrong_rules(gconstpointer data)
{
	const wrong_case_t *c = data;
	uint32_t first = MAX(1, c->first_seed), seed;
	uint64_t violations = 0, without = 0;

	for (seed = first; seed < first + BUG_SEEDS && violations == 0;
	     seed++) {
		read_model_plan_t plan = {
		    seed, STEPS, c->troubles, c->injected_bug};
		read_model_result_t result;

		read_model_run(&plan, &result);
		violations = read_model_violations(&result);
		if (violations == 0)
			continue;
		plan.injected_bug = READ_BUG_NONE;
		read_model_run(&plan, &result);
		without = read_model_violations(&result);
	}
	g_test_message(
	    "seed %u: %" G_GUINT64_FORMAT " stale reads", seed - 1, violations);
	g_assert_cmpuint(violations, >, 0);
	g_assert_cmpuint(without, ==, 0);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* run every case */
	CASES("/readmodel/right", right_cases, test_right_rules);
	CASES("/readmodel/drawn", drawn_cases, test_drawn_plans);
	CASES("/readmodel/wrong", wrong_cases, test_wrong_rules);
	return g_test_run();
}
