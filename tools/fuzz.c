#include "model.h"

#include <argtable2.h>
#include <glib.h>
#include <stdio.h>

/*
 * make fuzz SEED=N STEPS=N: random runs of the decisions, each with a seed
 * and a shape drawn from the first seed, until the steps are used up.
 */

#define STEPS_A_RUN 200000

/*
 * Print the case of a run that broke something.
 */
static void
print_broken(const model_plan_t *plan, const model_result_t *result)
{
	printf("BROKEN: seed %u, steps %" G_GUINT64_FORMAT
	       ", %u databases, %u owners, %u permille: lost %" G_GUINT64_FORMAT
	       ", stale %" G_GUINT64_FORMAT
	       ", replica too old %" G_GUINT64_FORMAT
	       ", twice %" G_GUINT64_FORMAT "\n",
	    plan->seed, plan->steps, plan->databases, plan->owners,
	    plan->fault_permille, result->lost, result->stale,
	    result->replica_stale, result->twice);
}

/*
 * Run until the steps are used up; the exit status tells whether all held.
 */
int
main(int argc, char **argv)
{
	struct arg_int *seed = arg_int0(NULL, "seed", "N", NULL);
	struct arg_int *steps = arg_int0(NULL, "steps", "N", NULL);
	struct arg_end *end = arg_end(4);
	void *table[] = {seed, steps, end};
	uint64_t used = 0, acknowledged = 0, changes = 0, faults = 0;
	uint32_t runs = 0, broken = 0;
	GRand *rand;

	seed->ival[0] = 1;
	steps->ival[0] = 2000000;
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "fuzz");
		return 2;
	}
	rand = g_rand_new_with_seed((guint32)seed->ival[0]);
	while (used < (uint64_t)steps->ival[0]) {
		model_plan_t plan = {.seed = g_rand_int(rand),
		    .steps = STEPS_A_RUN,
		    .databases = g_rand_boolean(rand) ? 3 : 5,
		    .owners = (uint32_t)g_rand_int_range(rand, 1, 5),
		    .fault_permille = (uint32_t)g_rand_int_range(rand, 0, 120),
		    .hold = model_hold_right};
		model_result_t result;

		model_run(&plan, &result);
		runs++;
		used += result.steps;
		acknowledged += result.acknowledged;
		changes += result.changes;
		faults += result.faults;
		if (result.lost + result.stale + result.replica_stale +
			result.twice >
		    0) {
			broken++;
			print_broken(&plan, &result);
		}
	}
	printf("seed %d: %u runs, %" G_GUINT64_FORMAT
	       " steps, %" G_GUINT64_FORMAT " acknowledged, %" G_GUINT64_FORMAT
	       " changes of primary, %" G_GUINT64_FORMAT
	       " faults, %u runs broken\n",
	    seed->ival[0], runs, used, acknowledged, changes, faults, broken);
	g_rand_free(rand);
	return broken == 0 ? 0 : 1;
}
