#include "../src/decide/decide.h"
#include "model_plan.h"
#include "model_pool.h"
#include "read_plan.h"

#include <argtable2.h>
#include <stdio.h>

/*
 * make hunt-model SEED=N SECONDS=N: plays plans of the proxy model that are
 * drawn at random, several troubles at once, on several processes, and prints
 * each that violates an invariant.  The seed of a play determines it; --play
 * repeats one.  --reduce takes troubles away from the plan of a seed as long as
 * it still violates one, and counts the seeds that do with what is left.
 * --reads adds reads that replicas may serve to each plan.  --read-model plays
 * drawn plans of the read model instead, in one process.
 */

/* Processors that are left to others. */
#define SPARE_PROCESSORS 2

/* Seeds with which a reduced plan is counted. */
#define COUNTED_SEEDS 500

/* A search over seeds. */
typedef struct hunt {
	uint32_t next_seed;
	uint32_t reads_permille;
	uint64_t plays_left;
	int64_t until_us;
	uint64_t plays;
	uint64_t broken[MODEL_FINDINGS];
	uint64_t acknowledged;
	uint64_t primary_changes;
	uint64_t troubles;
	uint64_t samples;
	uint64_t bounded_reads;
	uint64_t own_reads;
	uint64_t replica_reads;
} hunt_t;

/* Plays of one plan with different seeds. */
typedef struct trial {
	proxy_model_plan_t plan;
	uint32_t own_seed; /* played first; 0: it is not */
	uint32_t next_seed;
	uint32_t last_seed;
	bool until_broken; /* one that breaks is enough */
	uint32_t broken;
	uint32_t broken_seed; /* lowest one */
	proxy_model_result_t violations;
} trial_t;

/*
 * Draw the plan of a seed.
 */
static void
draw_plan(uint32_t seed, uint32_t reads_permille, proxy_model_plan_t *plan)
{
	model_plan_draw(seed, plan);
	plan->replica_reads_permille = reads_permille;
}

/*
 * Print a plan, and the finding whose troubles it has.
 */
static void
print_plan(const proxy_model_plan_t *plan)
{
	GString *text = g_string_new(NULL);

	model_plan_print(plan, text);
	printf("  %s\n  finding: %s\n", text->str,
	    model_finding_name(model_plan_finding(plan)));
	g_string_free(text, TRUE);
}

/*
 * Print the violations of a play; no result: its process has ended.
 */
static void
print_violations(uint32_t seed, const proxy_model_result_t *result)
{
	if (result == NULL) {
		printf("BROKEN: seed %u: the process ended\n", seed);
		return;
	}
	printf("BROKEN: seed %u: split %" G_GUINT64_FORMAT
	       ", stale %" G_GUINT64_FORMAT ", lost %" G_GUINT64_FORMAT
	       ", tokens: repeated %" G_GUINT64_FORMAT
	       ", lower %" G_GUINT64_FORMAT "; samples %" G_GUINT64_FORMAT
	       ", bounded reads %" G_GUINT64_FORMAT
	       ", own reads %" G_GUINT64_FORMAT "\n",
	    seed, result->split_brain_acks, result->stale_primary_reads,
	    result->lost_writes, result->repeated_tokens, result->lower_tokens,
	    result->broken_samples, result->stale_bounded_reads,
	    result->stale_own_reads);
}

/*
 * Tell whether a play violates an invariant, or has ended its process.
 */
static bool
breaks(const proxy_model_result_t *result)
{
	return result == NULL || proxy_model_violations(result) > 0;
}

/*
 * Draw the plan of the next seed of a search, until its time or its plays are
 * used up.
 */
static bool
hunt_next(void *context, proxy_model_plan_t *plan)
{
	hunt_t *hunt = context;

	if (hunt->plays_left == 0 || g_get_monotonic_time() >= hunt->until_us)
		return false;
	hunt->plays_left--;
	draw_plan(hunt->next_seed++, hunt->reads_permille, plan);
	return true;
}

/*
 * Count a play of a search, and print it if it violates an invariant.
 */
static void
hunt_played(void *context, const proxy_model_plan_t *plan,
    const proxy_model_result_t *result)
{
	hunt_t *hunt = context;

	hunt->plays++;
	if (result != NULL) {
		hunt->acknowledged += result->acknowledged;
		hunt->primary_changes += result->primary_changes;
		hunt->troubles += result->troubles;
		hunt->samples += result->samples;
		hunt->bounded_reads += result->bounded_reads;
		hunt->own_reads += result->own_reads;
		hunt->replica_reads += result->replica_reads;
	}
	if (!breaks(result))
		return;
	hunt->broken[model_plan_finding(plan)]++;
	print_violations(plan->seed, result);
	print_plan(plan);
	fflush(stdout);
}

/*
 * Search from a seed on.  Returns whether no play violated an invariant.
 */
static bool
search(uint32_t seed, uint32_t reads_permille, uint64_t plays,
    int64_t duration_us, uint32_t jobs)
{
	int64_t began_us = g_get_monotonic_time();
	hunt_t hunt = {.next_seed = seed,
	    .reads_permille = reads_permille,
	    .plays_left = plays,
	    .until_us = began_us + duration_us};
	uint64_t broken = 0;
	uint32_t i;

	model_pool_run(jobs, hunt_next, hunt_played, &hunt);
	for (i = 0; i < MODEL_FINDINGS; i++) {
		broken += hunt.broken[i];
		if (hunt.broken[i] > 0)
			printf("broken with the troubles of a finding, %s: "
			       "%" G_GUINT64_FORMAT "\n",
			    model_finding_name((model_finding_t)i),
			    hunt.broken[i]);
	}
	printf("seeds %u to %u: %" G_GUINT64_FORMAT " plays, %" G_GUINT64_FORMAT
	       " broken; %" G_GUINT64_FORMAT " acknowledged, %" G_GUINT64_FORMAT
	       " changes of primary, %" G_GUINT64_FORMAT
	       " troubles; %u processes, %.0f s\n",
	    seed, hunt.next_seed - 1, hunt.plays, broken, hunt.acknowledged,
	    hunt.primary_changes, hunt.troubles, jobs,
	    (double)(g_get_monotonic_time() - began_us) / US_PER_SECOND);
	printf("%" G_GUINT64_FORMAT " samples; reads that replicas may serve: "
	       "%" G_GUINT64_FORMAT " bounded, %" G_GUINT64_FORMAT
	       " own, %" G_GUINT64_FORMAT " by replicas\n",
	    hunt.samples, hunt.bounded_reads, hunt.own_reads,
	    hunt.replica_reads);
	return broken == 0;
}

/*
 * Give the plan of a trial its next seed.
 */
static bool
trial_next(void *context, proxy_model_plan_t *plan)
{
	trial_t *trial = context;

	if (trial->until_broken && trial->broken > 0)
		return false;
	*plan = trial->plan;
	if (trial->own_seed != 0) {
		plan->seed = trial->own_seed;
		trial->own_seed = 0;
		return true;
	}
	if (trial->next_seed > trial->last_seed)
		return false;
	plan->seed = trial->next_seed++;
	return true;
}

/*
 * Count a play of a trial.
 */
static void
trial_played(void *context, const proxy_model_plan_t *plan,
    const proxy_model_result_t *result)
{
	trial_t *trial = context;

	if (!breaks(result))
		return;
	if (trial->broken++ == 0 || plan->seed < trial->broken_seed) {
		trial->broken_seed = plan->seed;
		trial->violations =
		    result == NULL ? (proxy_model_result_t){0} : *result;
	}
}

/*
 * Tell whether a plan violates an invariant with its own seed, or with one of
 * the first ones.
 */
static bool
still_breaks(const proxy_model_plan_t *plan, uint32_t seeds, uint32_t jobs)
{
	trial_t trial = {.plan = *plan,
	    .own_seed = plan->seed,
	    .next_seed = 1,
	    .last_seed = seeds,
	    .until_broken = true};

	model_pool_run(jobs, trial_next, trial_played, &trial);
	return trial.broken > 0;
}

/*
 * Take troubles away from the plan of a seed, one after the other, while it
 * still violates an invariant with one of some seeds, and count the seeds that
 * do with the rest.  Returns whether none did with the whole plan.
 */
static bool
reduce(uint32_t seed, uint32_t reads_permille, uint32_t seeds, uint32_t jobs)
{
	trial_t counted = {.next_seed = 1, .last_seed = COUNTED_SEEDS};
	proxy_model_plan_t plan;
	uint32_t i;

	draw_plan(seed, reads_permille, &plan);
	print_plan(&plan);
	if (!still_breaks(&plan, 0, jobs)) {
		printf("seed %u: not broken\n", seed);
		return true;
	}
	for (i = 0; i < model_plan_fields(); i++) {
		proxy_model_plan_t without = plan;

		if (model_plan_clear(&without, model_plan_field(i)) &&
		    still_breaks(&without, seeds, jobs))
			plan = without;
	}
	counted.plan = plan;
	model_pool_run(jobs, trial_next, trial_played, &counted);
	printf("reduced:\n");
	print_plan(&plan);
	printf("%u of seeds 1 to %u broken with it\n", counted.broken,
	    COUNTED_SEEDS);
	if (counted.broken > 0)
		print_violations(counted.broken_seed, &counted.violations);
	return false;
}

/*
 * Play the plan of a seed.  Returns whether no invariant was violated.
 */
static bool
play(uint32_t seed, uint32_t reads_permille)
{
	proxy_model_plan_t plan;
	proxy_model_result_t result;

	draw_plan(seed, reads_permille, &plan);
	print_plan(&plan);
	fflush(stdout);
	proxy_model_run(&plan, &result);
	if (breaks(&result))
		print_violations(seed, &result);
	printf("seed %u: %" G_GUINT64_FORMAT " acknowledged, %" G_GUINT64_FORMAT
	       " changes of primary, %" G_GUINT64_FORMAT
	       " troubles, %" G_GUINT64_FORMAT " violations\n",
	    seed, result.acknowledged, result.primary_changes, result.troubles,
	    proxy_model_violations(&result));
	return !breaks(&result);
}

/*
 * Play drawn plans of the read model from a seed on.  Returns whether no read
 * lacked a commit which it had to see.
 */
static bool
search_read_model(uint32_t seed, uint64_t plays, int64_t duration_us)
{
	int64_t until_us = g_get_monotonic_time() + duration_us;
	uint64_t reads[READ_ROUTES] = {0}, played = 0, broken = 0, i;
	uint64_t by_replicas = 0, changes = 0;

	for (; played < plays && g_get_monotonic_time() < until_us; played++) {
		GString *text = g_string_new(NULL);
		read_model_plan_t plan;
		read_model_result_t result;

		read_plan_draw(seed + (uint32_t)played, &plan);
		read_model_run(&plan, &result);
		by_replicas += result.replica_reads;
		changes += result.changes;
		for (i = 0; i < READ_ROUTES; i++)
			reads[i] += result.reads[i];
		read_plan_print(&plan, text);
		if (read_model_violations(&result) > 0) {
			broken++;
			printf("BROKEN: stale %" G_GUINT64_FORMAT
			       " primary, %" G_GUINT64_FORMAT
			       " bounded, %" G_GUINT64_FORMAT " own; %s\n",
			    result.stale[READ_ROUTE_PRIMARY],
			    result.stale[READ_ROUTE_BOUNDED],
			    result.stale[READ_ROUTE_OWN], text->str);
		}
		g_string_free(text, TRUE);
	}
	printf("read model, from seed %u: %" G_GUINT64_FORMAT
	       " plays, %" G_GUINT64_FORMAT " broken; reads %" G_GUINT64_FORMAT
	       " primary, %" G_GUINT64_FORMAT " bounded, %" G_GUINT64_FORMAT
	       " own, %" G_GUINT64_FORMAT " by replicas; %" G_GUINT64_FORMAT
	       " changes of primary\n",
	    seed, played, broken, reads[READ_ROUTE_PRIMARY],
	    reads[READ_ROUTE_BOUNDED], reads[READ_ROUTE_OWN], by_replicas,
	    changes);
	return broken == 0;
}

/*
 * Search, or repeat or reduce one play.  Exits 1 if an invariant was violated.
 */
int
main(int argc, char **argv)
{
	struct arg_int *seed = arg_int0(NULL, "seed", "N", NULL);
	struct arg_int *seconds = arg_int0(NULL, "seconds", "N", NULL);
	struct arg_int *plays = arg_int0(NULL, "plays", "N", NULL);
	struct arg_int *jobs = arg_int0(NULL, "jobs", "N", NULL);
	struct arg_int *played = arg_int0(NULL, "play", "SEED", NULL);
	struct arg_int *reduced = arg_int0(NULL, "reduce", "SEED", NULL);
	struct arg_int *seeds = arg_int0(NULL, "reduce-seeds", "N", NULL);
	struct arg_int *reads = arg_int0(NULL, "reads", "PERMILLE", NULL);
	struct arg_lit *read_model = arg_lit0(NULL, "read-model", NULL);
	struct arg_end *end = arg_end(4);
	void *table[] = {seed, seconds, plays, jobs, played, reduced, seeds,
	    reads, read_model, end};
	uint32_t processes, reads_permille;

	seed->ival[0] = 1;
	seconds->ival[0] = 300;
	plays->ival[0] = INT32_MAX;
	jobs->ival[0] =
	    (int)MAX(1, (int64_t)g_get_num_processors() - SPARE_PROCESSORS);
	seeds->ival[0] = 200;
	reads->ival[0] = 0;
	if (arg_parse(argc, argv, table) > 0 || jobs->ival[0] < 1 ||
	    reads->ival[0] < 0) {
		arg_print_errors(stderr, end, "hunt_model");
		return 2;
	}
	processes = (uint32_t)jobs->ival[0];
	reads_permille = (uint32_t)reads->ival[0];
	if (read_model->count > 0)
		return search_read_model((uint32_t)seed->ival[0],
			   (uint64_t)plays->ival[0],
			   seconds->ival[0] * US_PER_SECOND)
		    ? 0
		    : 1;
	if (played->count > 0)
		return play((uint32_t)played->ival[0], reads_permille) ? 0 : 1;
	if (reduced->count > 0)
		return reduce((uint32_t)reduced->ival[0], reads_permille,
			   (uint32_t)seeds->ival[0], processes)
		    ? 0
		    : 1;
	return search((uint32_t)seed->ival[0], reads_permille,
		   (uint64_t)plays->ival[0], seconds->ival[0] * US_PER_SECOND,
		   processes)
	    ? 0
	    : 1;
}
