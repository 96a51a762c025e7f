#include "failover_model.h"

#include <argtable2.h>
#include <glib.h>
#include <stdio.h>

/*
 * make fuzz SEED=N STEPS=N: runs the model of one database group
 * (failover_model.h) with random events and faults and checks its invariants.
 * The seed, the number of databases and owners and the rate of faults of each
 * run are drawn from a generator seeded with SEED; runs are started until STEPS
 * steps have been executed in total.
 */

#define STEPS_PER_RUN 200000

/*
 * Print the parameters of a run that violated an invariant, and the number of
 * violations of each kind.
 */
static void
print_violations(
    const failover_model_plan_t *plan, const failover_model_result_t *result)
{
	printf("VIOLATION: seed %u, steps %" G_GUINT64_FORMAT
	       ", %u databases, %u owners, fault rate %u permille: lost writes "
	       "%" G_GUINT64_FORMAT ", stale reads %" G_GUINT64_FORMAT
	       ", replica too old %" G_GUINT64_FORMAT
	       ", run twice %" G_GUINT64_FORMAT "\n",
	    plan->seed, plan->steps, plan->databases, plan->owners,
	    plan->fault_permille, result->lost_writes,
	    result->stale_fresh_reads, result->stale_replica_reads,
	    result->duplicate_executions);
}

/*
 * Run the model until the steps are used up.  Exits 1 when a run violated an
 * invariant.
 */
int
main(int argc, char **argv)
{
	struct arg_int *seed = arg_int0(NULL, "seed", "N", NULL);
	struct arg_int *steps = arg_int0(NULL, "steps", "N", NULL);
	struct arg_end *end = arg_end(4);
	void *table[] = {seed, steps, end};
	uint64_t steps_done = 0, acknowledged = 0, primary_changes = 0,
		 faults = 0;
	uint32_t runs = 0, failed_runs = 0;
	GRand *rand;

	seed->ival[0] = 1;
	steps->ival[0] = 2000000;
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "fuzz");
		return 2;
	}
	rand = g_rand_new_with_seed((guint32)seed->ival[0]);
	while (steps_done < (uint64_t)steps->ival[0]) {
		failover_model_plan_t plan = {.seed = g_rand_int(rand),
		    .steps = STEPS_PER_RUN,
		    .databases = g_rand_boolean(rand) ? 3 : 5,
		    .owners = (uint32_t)g_rand_int_range(rand, 1, 5),
		    .fault_permille = (uint32_t)g_rand_int_range(rand, 0, 120),
		    .ack_rule = failover_model_ack_by_majority};
		failover_model_result_t result;

		failover_model_run(&plan, &result);
		runs++;
		steps_done += result.steps;
		acknowledged += result.acknowledged;
		primary_changes += result.primary_changes;
		faults += result.faults;
		if (result.lost_writes + result.stale_fresh_reads +
			result.stale_replica_reads +
			result.duplicate_executions >
		    0) {
			failed_runs++;
			print_violations(&plan, &result);
		}
	}
	printf("seed %d: %u runs, %" G_GUINT64_FORMAT
	       " steps, %" G_GUINT64_FORMAT " acknowledged, %" G_GUINT64_FORMAT
	       " changes of primary, %" G_GUINT64_FORMAT
	       " faults, %u runs with violations\n",
	    seed->ival[0], runs, steps_done, acknowledged, primary_changes,
	    faults, failed_runs);
	g_rand_free(rand);
	return failed_runs == 0 ? 0 : 1;
}
