#include "../src/decide/owner.h"
#include "failover_model.h"
#include "load.h"
#include "quantile.h"
#include "queuesim.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/*
 * make measure: measures failover gaps, behaviour under overload, replica
 * reads and group balance for both deployments, over several seeds, and
 * compares them with targets and with simpler methods.  Prints a table and
 * writes the values to a CSV file.
 */

#define READY_MS 20000
#define GAPS_PER_SEED 40
#define MAX_ROWS 64

/*
 * A row of results: the measure, the deployment or setup, the method that was
 * used, the target, and all values measured, one or more per seed.
 */
typedef struct row {
	const char *measure;
	const char *deployment;
	const char *variant;
	const char *target;
	GArray *values;
} row_t;

static row_t rows[MAX_ROWS];
static uint32_t rows_count;

/* Databases of a deployment and its number of groups per team. */
typedef struct deployment {
	const char *name;
	uint32_t slots;
	int64_t service_us;
	uint32_t tickets;
	uint32_t quotes;
} deployment_t;

static const deployment_t deployments[] = {
    {"tickets-db", 5, 2000, 3, 0},
    {"quotes-db", 2, 4000, 0, 3},
};

/*
 * Add a value to the row of a measure, which is created if missing.
 */
static void
add_value(const char *measure, const char *deployment, const char *variant,
    const char *target, double value)
{
	row_t *row;
	uint32_t i;

	for (i = 0; i < rows_count; i++) {
		if (strcmp(rows[i].measure, measure) == 0 &&
		    strcmp(rows[i].deployment, deployment) == 0 &&
		    strcmp(rows[i].variant, variant) == 0)
			break;
	}
	g_assert_cmpuint(i, <, MAX_ROWS);
	row = &rows[i];
	if (i == rows_count) {
		rows_count++;
		row->measure = measure;
		row->deployment = deployment;
		row->variant = variant;
		row->target = target;
		row->values = g_array_new(FALSE, FALSE, sizeof(double));
	}
	g_array_append_val(row->values, value);
}

/*
 * Return a plan for the simulation of the queue with a load of 60 percent of
 * the capacity.
 */
static queue_sim_plan_t
normal_load_plan(const deployment_t *deployment, uint32_t seed, bool ranked)
{
	return (queue_sim_plan_t){.seed = seed,
	    .ranked_queue = ranked,
	    .slots = deployment->slots,
	    .service_us = deployment->service_us,
	    .floors = {0, 15, 5},
	    .offered_load = {0.15, 0.15, 0.3},
	    .caller_timeout_us = {1000000, 2000000, 5000000},
	    .duration_us = 20 * US_PER_SECOND};
}

/*
 * Measure how the queue shares a database that one rank or one account floods
 * with ten times its capacity.  With ranked set, the simulation uses the
 * daemon's queue of ranks, otherwise a queue served first come, first served.
 */
static void
measure_overload(const deployment_t *deployment, uint32_t seed, bool ranked)
{
	const char *name = deployment->name;
	const char *variant = ranked ? "ranks" : "first come";
	queue_sim_plan_t plan = normal_load_plan(deployment, seed, ranked);
	queue_sim_result_t baseline, overload;

	queue_sim_run(&plan, &baseline);
	plan.offered_load[2] = 10;
	queue_sim_run(&plan, &overload);
	add_value("urgent p99 in a flood of background, ratio", name, variant,
	    "<= 1.5", overload.p99_ms[0] / baseline.p99_ms[0]);
	add_value("urgent served in that flood, of that without", name, variant,
	    ">= 0.99", overload.rank_goodput[0] / baseline.rank_goodput[0]);
	plan = normal_load_plan(deployment, seed, ranked);
	plan.offered_load[0] = 10;
	plan.offered_load[1] = 0.5;
	plan.offered_load[2] = 0.5;
	queue_sim_run(&plan, &overload);
	add_value("standard kept in a flood of urgent", name, variant,
	    ">= 0.15", overload.rank_goodput[1]);
	add_value("background kept in a flood of urgent", name, variant,
	    ">= 0.05", overload.rank_goodput[2]);
	add_value("useful work in a flood of urgent", name, variant, ">= 0.95",
	    overload.goodput);
	plan = normal_load_plan(deployment, seed, ranked);
	plan.offered_load[0] = plan.offered_load[2] = 0;
	plan.offered_load[1] = 10;
	plan.account_flood = true;
	queue_sim_run(&plan, &overload);
	add_value("Jain's index, one account in a flood", name, variant,
	    ">= 0.95", overload.fairness_index);
}

/*
 * Measure failover gaps in the model of a group: the time without acknowledged
 * writes after its primary stops answering.  Then count the acknowledged
 * writes that are lost if a write is acknowledged once a majority of the
 * databases holds it, and if it is acknowledged at once.
 */
static void
measure_model_failover(uint32_t seed)
{
	double gaps_ms[GAPS_PER_SEED], worst_ms = 0, over_2s = 0;
	failover_model_plan_t plan = {.databases = 3,
	    .owners = 2,
	    .ack_rule = failover_model_ack_by_majority};
	failover_model_result_t majority, at_once;
	uint32_t i;

	for (i = 0; i < GAPS_PER_SEED; i++) {
		plan.seed = seed * 1000 + i;
		gaps_ms[i] =
		    (double)failover_model_write_outage_us(&plan) / US_PER_MS;
		add_value("gap after a silent primary (model), ms", "both",
		    "terms", "median < 1000", gaps_ms[i]);
		worst_ms = MAX(worst_ms, gaps_ms[i]);
		over_2s += gaps_ms[i] > 2000;
	}
	add_value(
	    "worst of 40 such gaps, ms", "both", "terms", "<= 6000", worst_ms);
	add_value("of 40, over 2 s", "both", "terms", "<= 0.4", over_2s);
	plan.seed = seed;
	plan.steps = 200000;
	plan.fault_permille = 40;
	failover_model_run(&plan, &majority);
	plan.ack_rule = failover_model_ack_unconfirmed;
	failover_model_run(&plan, &at_once);
	add_value("acknowledged and lost (model)", "both", "majority", "0",
	    (double)majority.lost_writes);
	add_value("acknowledged and lost (model)", "both", "at once", "",
	    (double)at_once.lost_writes);
}

/*
 * Measure how evenly the ownership of groups is spread over daemons, as Jain's
 * fairness index, for two methods: rendezvous hashing, and a random choice
 * between the two daemons that rendezvous hashing ranks highest.
 */
static void
measure_group_balance(
    uint32_t seed, uint32_t daemons, uint32_t groups, const char *size)
{
	GRand *rand = g_rand_new_with_seed(seed);
	double sum[2] = {0}, squares[2] = {0};
	uint32_t *groups_owned[2] = {
	    g_new0(uint32_t, daemons), g_new0(uint32_t, daemons)};
	const char **names = g_new0(const char *, daemons);
	const char **other_names = g_new0(const char *, daemons);
	uint32_t i, j, n;
	char key[64];

	for (i = 0; i < daemons; i++)
		names[i] = g_strdup_printf("entry-%u-%u", seed, i);
	for (i = 0; i < groups; i++) {
		int32_t first, second;

		g_snprintf(key, sizeof(key), "team-%u/group-%u", seed, i);
		first = owner_pick(names, daemons, key);
		groups_owned[0][first]++;
		for (j = n = 0; j < daemons; j++) {
			if ((int32_t)j != first)
				other_names[n++] = names[j];
		}
		second = owner_pick(other_names, n, key);
		second += second >= first;
		groups_owned[1][g_rand_boolean(rand) ? first : second]++;
	}
	for (i = 0; i < daemons; i++) {
		for (j = 0; j < 2; j++) {
			sum[j] += groups_owned[j][i];
			squares[j] +=
			    (double)groups_owned[j][i] * groups_owned[j][i];
		}
	}
	add_value("Jain's index of groups over daemons", size, "rendezvous", "",
	    sum[0] * sum[0] / (daemons * squares[0]));
	add_value("Jain's index of groups over daemons", size, "random of two",
	    "", sum[1] * sum[1] / (daemons * squares[1]));
	for (i = 0; i < daemons; i++)
		g_free((char *)names[i]);
	g_free(names);
	g_free(other_names);
	g_free(groups_owned[0]);
	g_free(groups_owned[1]);
	g_rand_free(rand);
}

/*
 * Record the highest number of connections that any database had at one time,
 * as a fraction of its limit.
 */
static void
add_connections_highest(fleet_t *fleet, const char *deployment)
{
	double highest = 0;
	uint32_t i, j;

	for (i = 0; i < fleet->groups_count; i++) {
		const fleet_group_t *group = &fleet->groups[i];

		for (j = group->first_database;
		     j < group->first_database + group->count; j++) {
			arena_t *arena = arena_new();
			Bp__RanLog *log =
			    fleet_db_execution_log(fleet, arena, j);

			if (log != NULL)
				highest = MAX(highest,
				    (double)log->connections_highest /
					group->connections);
			arena_free(arena);
		}
	}
	add_value("connections of a database, of its limit", deployment,
	    "split budget", "<= 1", highest);
}

/*
 * Measure which fraction of reads replicas serve at a replication lag of 20 ms,
 * with a fleet of processes; and the throughput of the same load with reads
 * allowed at replicas, and with every read demanding the latest state.
 */
static void
measure_replica_reads(const deployment_t *deployment, uint32_t seed)
{
	fleet_plan_t plan = {.daemons = 3,
	    .tickets_groups = deployment->tickets,
	    .quotes_groups = deployment->quotes,
	    .service_ms = 1,
	    .lag_ms = 20,
	    .log_level = "warning"};
	load_plan_t load = {.sessions = 48,
	    .max_requests = 1000000,
	    .duration_ms = 2500,
	    .seed = seed};
	fleet_t *fleet = fleet_start(&plan);
	history_t *history = history_new();
	violations_t violations = {0};
	load_summary_t summary;

	g_assert_true(fleet_wait_ready(fleet, READY_MS));
	load_run(fleet, &load, history);
	load_collect_logs(fleet, history);
	load_summarize(history, &summary);
	add_value("reads by replicas, of those that may be stale",
	    deployment->name, "replicas", ">= 0.95",
	    (double)summary.replica_reads / summary.bounded_staleness_reads);
	add_value("violations meanwhile", deployment->name, "replicas", "0",
	    history_check(history, &violations));
	add_value("statements done a second", deployment->name, "replicas", "",
	    summary.outcomes[0] * 1000.0 / load.duration_ms);
	add_connections_highest(fleet, deployment->name);
	g_string_free(violations.text, TRUE);
	history_free(history);
	history = history_new();
	load.primary_reads_only = true;
	load_run(fleet, &load, history);
	load_summarize(history, &summary);
	add_value("statements done a second", deployment->name,
	    "all reads at the primary", "",
	    summary.outcomes[0] * 1000.0 / load.duration_ms);
	history_free(history);
	fleet_stop(fleet);
}

/* A run of the load during which primaries are killed or stopped. */
typedef struct failover_run {
	fleet_t *fleet;
	history_t *history;
	/* primaries killed; or 1: primary stopped, 2: and continued */
	uint32_t steps_done;
	int64_t started_us;                 /* start of the step schedule */
	int64_t fault_us[FLEET_GROUPS_MAX]; /* times of the kills or stop */
	int32_t stopped_database;
} failover_run_t;

/*
 * Stop the primary of the first group with SIGSTOP, and continue it a second
 * later.
 */
static void
on_progress_stop_primary(void *context, uint32_t answered)
{
	failover_run_t *run = context;
	int64_t elapsed_us = clock_us() - run->started_us;

	(void)answered;
	if (run->steps_done == 0 && elapsed_us >= 900 * US_PER_MS) {
		run->stopped_database = fleet_group_primary(run->fleet, 0);
		g_assert_cmpint(run->stopped_database, >=, 0);
		run->fault_us[run->steps_done++] = clock_us();
		fleet_process_signal(
		    &run->fleet->databases[run->stopped_database], SIGSTOP);
	} else if (run->steps_done == 1 && elapsed_us >= 1900 * US_PER_MS) {
		run->steps_done++;
		fleet_process_signal(
		    &run->fleet->databases[run->stopped_database], SIGCONT);
	}
}

/*
 * Kill the primary of one group after the other, one every 900 ms.
 */
static void
on_progress_kill_primary(void *context, uint32_t answered)
{
	failover_run_t *run = context;
	int64_t elapsed_us = clock_us() - run->started_us;
	int32_t primary;

	(void)answered;
	if (run->steps_done >= run->fleet->groups_count ||
	    elapsed_us < (int64_t)(run->steps_done + 1) * 900 * US_PER_MS)
		return;
	primary = fleet_group_primary(run->fleet, run->steps_done);
	run->fault_us[run->steps_done++] = clock_us();
	if (primary >= 0)
		fleet_process_signal(&run->fleet->databases[primary], SIGKILL);
}

/*
 * Measure failover gaps with a fleet of processes whose primaries are killed,
 * with the platform available or not.
 */
static void
measure_failover_gaps(uint32_t seed, bool platform_up)
{
	const char *variant = platform_up ? "platform up" : "platform down";
	fleet_plan_t plan = {.daemons = 3,
	    .tickets_groups = 3,
	    .quotes_groups = 3,
	    .service_ms = 1,
	    .lag_ms = 5,
	    .log_level = "warning"};
	failover_run_t run = {0};
	load_plan_t load = {.sessions = 48,
	    .max_requests = 1000000,
	    .duration_ms = 8000,
	    .think_time_max_ms = 4,
	    .seed = seed,
	    .progress = on_progress_kill_primary,
	    .context = &run};
	uint32_t i;

	run.fleet = fleet_start(&plan);
	run.history = history_new();
	g_assert_true(fleet_wait_ready(run.fleet, READY_MS));
	if (!platform_up)
		fleet_platform_inject_fault(
		    run.fleet, "{\"outage_ms\":600000}");
	run.started_us = clock_us();
	load_run(run.fleet, &load, run.history);
	for (i = 0; i < run.steps_done; i++)
		add_value("gap after a killed primary (processes), ms", "both",
		    variant, "median < 1000",
		    (double)load_write_outage_us(run.history,
			run.fleet->groups[i].name, run.fault_us[i]) /
			US_PER_MS);
	add_connections_highest(run.fleet, "both, primaries killed");
	history_free(run.history);
	fleet_stop(run.fleet);
}

/*
 * Return how many statements of a group were done in a period.
 */
static double
count_done_between(
    const history_t *history, const char *group, int64_t from_us, int64_t to_us)
{
	uint32_t i, n = 0;

	for (i = 0; i < history->operations->len; i++) {
		const operation_t *op =
		    g_ptr_array_index(history->operations, i);

		n += op->answered && op->outcome == BP__OUTCOME__DONE &&
		    op->completed_us >= from_us && op->completed_us < to_us &&
		    strcmp(op->group, group) == 0;
	}
	return n;
}

/*
 * Measure how an overloaded group recovers from a failover: the statements
 * done in the second around 2 s after the first acknowledged write, relative
 * to the second before the primary stops; and the connections opened at a
 * database during the run.
 */
static void
measure_rate_after_failover(uint32_t seed)
{
	fleet_plan_t plan = {.daemons = 3,
	    .tickets_groups = 1,
	    .service_ms = 4,
	    .lag_ms = 5,
	    .log_level = "warning"};
	failover_run_t run = {0};
	load_plan_t load = {.sessions = 150,
	    .max_requests = 1000000,
	    .duration_ms = 6000,
	    .timeout_ms = 4000,
	    .seed = seed,
	    .progress = on_progress_stop_primary,
	    .context = &run};
	arena_t *arena = arena_new();
	Bp__RanLog *log;
	int64_t recovered_us, fault_us;
	const char *group;
	double done_before, done_after;
	uint32_t connections_opened = 0, i;

	run.fleet = fleet_start(&plan);
	run.history = history_new();
	g_assert_true(fleet_wait_ready(run.fleet, READY_MS));
	run.started_us = clock_us() + 1500 * US_PER_MS;
	load_run(run.fleet, &load, run.history);
	group = run.fleet->groups[0].name;
	fault_us = run.fault_us[0];
	recovered_us =
	    fault_us + load_write_outage_us(run.history, group, fault_us);
	done_before = count_done_between(
	    run.history, group, fault_us - US_PER_SECOND, fault_us);
	done_after = count_done_between(run.history, group,
	    recovered_us + 1500 * US_PER_MS, recovered_us + 2500 * US_PER_MS);
	add_value("rate 2 s after a change of primary, ratio", "tickets-db",
	    "in a flood", ">= 0.95", done_after / done_before);
	for (i = 0; i < run.fleet->databases_count; i++) {
		log = fleet_db_execution_log(run.fleet, arena, i);
		if (log != NULL)
			connections_opened = MAX(connections_opened,
			    (uint32_t)log->connections_opened);
	}
	add_value("connections opened at a database meanwhile", "tickets-db",
	    "in a flood", "<= 35", connections_opened);
	arena_free(arena);
	history_free(run.history);
	fleet_stop(run.fleet);
}

/*
 * Print the results as a table and write the values to a CSV file.
 */
static void
print_rows(const char *path)
{
	FILE *csv = fopen(path, "w");
	uint32_t i, j;

	printf("%-48s %-22s %-27s %-14s %10s %10s %10s %4s\n", "MEASURE",
	    "DEPLOYMENT", "VARIANT", "TARGET", "MEDIAN", "MIN", "MAX", "N");
	if (csv != NULL)
		fprintf(csv, "measure,deployment,variant,target,value\n");
	for (i = 0; i < rows_count; i++) {
		const row_t *row = &rows[i];
		GArray *v = row->values;

		for (j = 0; csv != NULL && j < v->len; j++)
			fprintf(csv, "\"%s\",\"%s\",\"%s\",\"%s\",%g\n",
			    row->measure, row->deployment, row->variant,
			    row->target, g_array_index(v, double, j));
		printf("%-48s %-22s %-27s %-14s %10.3f %10.3f %10.3f %4u\n",
		    row->measure, row->deployment, row->variant, row->target,
		    quantile(v, 0.5), quantile(v, 0), quantile(v, 1), v->len);
	}
	if (csv != NULL)
		fclose(csv);
}

/*
 * Run the measurements for each seed.
 *
 * Usage: measure [--seed N] [--seeds N] [--csv FILE]
 */
int
main(int argc, char **argv)
{
	struct arg_int *seed = arg_int0(NULL, "seed", "N", NULL);
	struct arg_int *seeds = arg_int0(NULL, "seeds", "N", NULL);
	struct arg_file *csv = arg_file0(NULL, "csv", "FILE", NULL);
	struct arg_end *end = arg_end(4);
	void *table[] = {seed, seeds, csv, end};
	uint32_t i, j, first, last;

	seed->ival[0] = 1;
	seeds->ival[0] = 3;
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "measure");
		return 2;
	}
	curl_global_init(CURL_GLOBAL_ALL);
	log_start(G_LOG_LEVEL_WARNING, STDERR_FILENO);
	first = (uint32_t)seed->ival[0];
	last = first + (uint32_t)seeds->ival[0];
	for (i = first; i < last; i++) {
		for (j = 0; j < G_N_ELEMENTS(deployments); j++) {
			measure_replica_reads(&deployments[j], i);
			measure_overload(&deployments[j], i, true);
			measure_overload(&deployments[j], i, false);
		}
		measure_model_failover(i);
		measure_failover_gaps(i, true);
		measure_failover_gaps(i, false);
		measure_rate_after_failover(i);
		measure_group_balance(i, 9, 6, "9 daemons, 6 groups");
		measure_group_balance(i, 290, 1000, "290, 1,000 groups");
	}
	print_rows(csv->count > 0 ? csv->filename[0] : "measure.csv");
	return 0;
}
