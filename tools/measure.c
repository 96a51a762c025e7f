#include "../src/decide/owner.h"
#include "figures.h"
#include "load.h"
#include "model.h"
#include "queuesim.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/*
 * make measure: the brief's measures for both deployments, each beside a
 * simple baseline, over several seeds; a table, and a CSV file.
 */

#define READY_MS 20000
#define GAPS_A_SEED 40
#define MAX_ROWS 64

/* One row: what was measured, its target, and a value for each seed. */
typedef struct row {
	const char *measure;
	const char *deployment;
	const char *variant;
	const char *target;
	GArray *values;
} row_t;

static row_t rows[MAX_ROWS];
static uint32_t rows_count;

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
 * Add a value to the row of this name.
 */
static void
note(const char *measure, const char *deployment, const char *variant,
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
 * A plan of the queue's simulation with ordinary load.
 */
static sim_plan_t
ordinary(const deployment_t *deployment, uint32_t seed, bool ranked)
{
	return (sim_plan_t){.seed = seed,
	    .ranked = ranked,
	    .slots = deployment->slots,
	    .service_us = deployment->service_us,
	    .floors = {0, 15, 5},
	    .offered = {0.15, 0.15, 0.3},
	    .patience_us = {1000000, 2000000, 5000000},
	    .duration_us = 20 * US_PER_SECOND};
}

/*
 * Floods, with the product's queue and first come first served.
 */
static void
measure_floods(const deployment_t *deployment, uint32_t seed, bool ranked)
{
	const char *name = deployment->name;
	const char *variant = ranked ? "ranks" : "first come";
	sim_plan_t plan = ordinary(deployment, seed, ranked);
	sim_result_t calm, flood;

	sim_run(&plan, &calm);
	plan.offered[2] = 10;
	sim_run(&plan, &flood);
	note("urgent p99 in a flood of background, ratio", name, variant,
	    "<= 1.5", flood.p99_ms[0] / calm.p99_ms[0]);
	note("urgent served in that flood, of that without", name, variant,
	    ">= 0.99", flood.share[0] / calm.share[0]);
	plan = ordinary(deployment, seed, ranked);
	plan.offered[0] = 10;
	plan.offered[1] = 0.5;
	plan.offered[2] = 0.5;
	sim_run(&plan, &flood);
	note("standard kept in a flood of urgent", name, variant, ">= 0.15",
	    flood.share[1]);
	note("background kept in a flood of urgent", name, variant, ">= 0.05",
	    flood.share[2]);
	note("useful work in a flood of urgent", name, variant, ">= 0.95",
	    flood.useful);
	plan = ordinary(deployment, seed, ranked);
	plan.offered[0] = plan.offered[2] = 0;
	plan.offered[1] = 10;
	plan.one_account_floods = true;
	sim_run(&plan, &flood);
	note("Jain's index, one account in a flood", name, variant, ">= 0.95",
	    flood.jain);
}

/*
 * Gaps by silence in the model, and writes lost when acknowledged at once.
 */
static void
measure_model(uint32_t seed)
{
	double gaps_ms[GAPS_A_SEED], worst = 0, over_2s = 0;
	model_plan_t plan = {
	    .databases = 3, .owners = 2, .hold = model_hold_right};
	model_result_t right, wrong;
	uint32_t i;

	for (i = 0; i < GAPS_A_SEED; i++) {
		plan.seed = seed * 1000 + i;
		gaps_ms[i] = (double)model_gap_us(&plan) / US_PER_MS;
		note("gap after a silent primary (model), ms", "both", "terms",
		    "median < 1000", gaps_ms[i]);
		worst = MAX(worst, gaps_ms[i]);
		over_2s += gaps_ms[i] > 2000;
	}
	note("worst of 40 such gaps, ms", "both", "terms", "<= 6000", worst);
	note("of 40, over 2 s", "both", "terms", "<= 0.4", over_2s);
	plan.seed = seed;
	plan.steps = 200000;
	plan.fault_permille = 40;
	model_run(&plan, &right);
	plan.hold = model_hold_at_once;
	model_run(&plan, &wrong);
	note("acknowledged and lost (model)", "both", "majority", "0",
	    (double)right.lost);
	note("acknowledged and lost (model)", "both", "at once", "",
	    (double)wrong.lost);
}

/*
 * Jain's index of groups over daemons: one owner by rendezvous hashing, and a
 * random choice between the first and the next in its order.
 */
static void
measure_spread(
    uint32_t seed, uint32_t daemons, uint32_t groups, const char *size)
{
	GRand *rand = g_rand_new_with_seed(seed);
	double sum[2] = {0}, squares[2] = {0};
	uint32_t *owned[2] = {
	    g_new0(uint32_t, daemons), g_new0(uint32_t, daemons)};
	const char **names = g_new0(const char *, daemons);
	const char **others = g_new0(const char *, daemons);
	uint32_t i, j, n;
	char key[64];

	for (i = 0; i < daemons; i++)
		names[i] = g_strdup_printf("entry-%u-%u", seed, i);
	for (i = 0; i < groups; i++) {
		int32_t first, next;

		g_snprintf(key, sizeof(key), "team-%u/group-%u", seed, i);
		first = owner_pick(names, daemons, key);
		owned[0][first]++;
		for (j = n = 0; j < daemons; j++) {
			if ((int32_t)j != first)
				others[n++] = names[j];
		}
		next = owner_pick(others, n, key);
		next += next >= first;
		owned[1][g_rand_boolean(rand) ? first : next]++;
	}
	for (i = 0; i < daemons; i++) {
		for (j = 0; j < 2; j++) {
			sum[j] += owned[j][i];
			squares[j] += (double)owned[j][i] * owned[j][i];
		}
	}
	note("Jain's index of groups over daemons", size, "rendezvous", "",
	    sum[0] * sum[0] / (daemons * squares[0]));
	note("Jain's index of groups over daemons", size, "random of two", "",
	    sum[1] * sum[1] / (daemons * squares[1]));
	for (i = 0; i < daemons; i++)
		g_free((char *)names[i]);
	g_free(names);
	g_free(others);
	g_free(owned[0]);
	g_free(owned[1]);
	g_rand_free(rand);
}

/*
 * The highest number of connections that any database saw, over its limit.
 */
static void
note_connections(fleet_t *fleet, const char *deployment)
{
	double highest = 0;
	uint32_t i, j;

	for (i = 0; i < fleet->groups_count; i++) {
		const fleet_group_t *group = &fleet->groups[i];

		for (j = group->first; j < group->first + group->count; j++) {
			arena_t *arena = arena_new();
			Bp__RanLog *log = fleet_db_ran(fleet, arena, j);

			if (log != NULL)
				highest = MAX(highest,
				    (double)log->connections_highest /
					group->connections);
			arena_free(arena);
		}
	}
	note("connections of a database, of its limit", deployment,
	    "split budget", "<= 1", highest);
}

/*
 * Replica reads at ordinary lag, with processes; and the same load when
 * every read asks for the newest state.
 */
static void
measure_replicas(const deployment_t *deployment, uint32_t seed)
{
	fleet_plan_t plan = {.daemons = 3,
	    .tickets = deployment->tickets,
	    .quotes = deployment->quotes,
	    .service_ms = 1,
	    .lag_ms = 20,
	    .log_level = "warning"};
	load_plan_t load = {.sessions = 48,
	    .statements = 1000000,
	    .duration_ms = 2500,
	    .seed = seed};
	fleet_t *fleet = fleet_start(&plan);
	history_t *history = history_new();
	violations_t violations = {0};
	load_summary_t summary;

	g_assert_true(fleet_wait_ready(fleet, READY_MS));
	load_run(fleet, &load, history);
	load_collect(fleet, history);
	load_summarize(history, &summary);
	note("reads by replicas, of those that may be stale", deployment->name,
	    "replicas", ">= 0.95",
	    (double)summary.replica_reads / summary.stale_reads);
	note("violations meanwhile", deployment->name, "replicas", "0",
	    history_check(history, &violations));
	note("statements done a second", deployment->name, "replicas", "",
	    summary.outcomes[0] * 1000.0 / load.duration_ms);
	note_connections(fleet, deployment->name);
	g_string_free(violations.text, TRUE);
	history_free(history);
	history = history_new();
	load.all_fresh = true;
	load_run(fleet, &load, history);
	load_summarize(history, &summary);
	note("statements done a second", deployment->name,
	    "all reads at the primary", "",
	    summary.outcomes[0] * 1000.0 / load.duration_ms);
	history_free(history);
	fleet_end(fleet);
}

/* Primaries that are killed one after the other under load. */
typedef struct killer {
	fleet_t *fleet;
	history_t *history;
	uint32_t next;
	int64_t began_us;
	int64_t killed_us[FLEET_GROUPS_MAX];
	int32_t frozen;
} killer_t;

/*
 * Freeze the primary of the first group, and thaw it a second later.
 */
static void
on_freeze_progress(void *context, uint32_t answered)
{
	killer_t *killer = context;
	int64_t spent_us = clock_us() - killer->began_us;

	(void)answered;
	if (killer->next == 0 && spent_us >= 900 * US_PER_MS) {
		killer->frozen = fleet_primary(killer->fleet, 0);
		g_assert_cmpint(killer->frozen, >=, 0);
		killer->killed_us[killer->next++] = clock_us();
		fleet_signal(
		    &killer->fleet->databases[killer->frozen], SIGSTOP);
	} else if (killer->next == 1 && spent_us >= 1900 * US_PER_MS) {
		killer->next++;
		fleet_signal(
		    &killer->fleet->databases[killer->frozen], SIGCONT);
	}
}

/*
 * Kill the next group's primary every 900 ms.
 */
static void
on_kill_progress(void *context, uint32_t answered)
{
	killer_t *killer = context;
	int64_t spent_us = clock_us() - killer->began_us;
	int32_t primary;

	(void)answered;
	if (killer->next >= killer->fleet->groups_count ||
	    spent_us < (int64_t)(killer->next + 1) * 900 * US_PER_MS)
		return;
	primary = fleet_primary(killer->fleet, killer->next);
	killer->killed_us[killer->next++] = clock_us();
	if (primary >= 0)
		fleet_signal(&killer->fleet->databases[primary], SIGKILL);
}

/*
 * Gaps by killed primaries, with processes, the platform up or down.
 */
static void
measure_kills(uint32_t seed, bool platform_up)
{
	const char *variant = platform_up ? "platform up" : "platform down";
	fleet_plan_t plan = {.daemons = 3,
	    .tickets = 3,
	    .quotes = 3,
	    .service_ms = 1,
	    .lag_ms = 5,
	    .log_level = "warning"};
	killer_t killer = {0};
	load_plan_t load = {.sessions = 48,
	    .statements = 1000000,
	    .duration_ms = 8000,
	    .pause_ms = 4,
	    .seed = seed,
	    .progress = on_kill_progress,
	    .context = &killer};
	uint32_t i;

	killer.fleet = fleet_start(&plan);
	killer.history = history_new();
	g_assert_true(fleet_wait_ready(killer.fleet, READY_MS));
	if (!platform_up)
		fleet_platform_fault(killer.fleet, "{\"outage_ms\":600000}");
	killer.began_us = clock_us();
	load_run(killer.fleet, &load, killer.history);
	for (i = 0; i < killer.next; i++)
		note("gap after a killed primary (processes), ms", "both",
		    variant, "median < 1000",
		    (double)load_gap_us(killer.history,
			killer.fleet->groups[i].name, killer.killed_us[i]) /
			US_PER_MS);
	note_connections(killer.fleet, "both, primaries killed");
	history_free(killer.history);
	fleet_end(killer.fleet);
}

/*
 * How many statements of a group were done in a window.
 */
static double
done_between(
    const history_t *history, const char *group, int64_t from_us, int64_t to_us)
{
	uint32_t i, n = 0;

	for (i = 0; i < history->operations->len; i++) {
		const operation_t *op =
		    g_ptr_array_index(history->operations, i);

		n += op->answered && op->outcome == BP__OUTCOME__DONE &&
		    op->answered_us >= from_us && op->answered_us < to_us &&
		    strcmp(op->group, group) == 0;
	}
	return n;
}

/*
 * A flood on top of a change of primary: the rate of the group two seconds
 * after the new primary, beside the rate before.
 */
static void
measure_recovery(uint32_t seed)
{
	fleet_plan_t plan = {.daemons = 3,
	    .tickets = 1,
	    .service_ms = 4,
	    .lag_ms = 5,
	    .log_level = "warning"};
	killer_t killer = {0};
	load_plan_t load = {.sessions = 150,
	    .statements = 1000000,
	    .duration_ms = 6000,
	    .timeout_ms = 4000,
	    .seed = seed,
	    .progress = on_freeze_progress,
	    .context = &killer};
	arena_t *arena = arena_new();
	Bp__RanLog *log;
	int64_t up_us, killed_us;
	const char *group;
	double before, after;
	uint32_t opened = 0, i;

	killer.fleet = fleet_start(&plan);
	killer.history = history_new();
	g_assert_true(fleet_wait_ready(killer.fleet, READY_MS));
	killer.began_us = clock_us() + 1500 * US_PER_MS;
	load_run(killer.fleet, &load, killer.history);
	group = killer.fleet->groups[0].name;
	killed_us = killer.killed_us[0];
	up_us = killed_us + load_gap_us(killer.history, group, killed_us);
	before = done_between(
	    killer.history, group, killed_us - US_PER_SECOND, killed_us);
	after = done_between(killer.history, group, up_us + 1500 * US_PER_MS,
	    up_us + 2500 * US_PER_MS);
	note("rate 2 s after a change of primary, ratio", "tickets-db",
	    "in a flood", ">= 0.95", after / before);
	for (i = 0; i < killer.fleet->databases_count; i++) {
		log = fleet_db_ran(killer.fleet, arena, i);
		if (log != NULL)
			opened = MAX(opened, (uint32_t)log->connections_opened);
	}
	note("connections opened at a database meanwhile", "tickets-db",
	    "in a flood", "<= 35", opened);
	arena_free(arena);
	history_free(killer.history);
	fleet_end(killer.fleet);
}

/*
 * Print the table and write the CSV file.
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
 * measure [--seed N] [--seeds N] [--csv FILE]
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
			measure_replicas(&deployments[j], i);
			measure_floods(&deployments[j], i, true);
			measure_floods(&deployments[j], i, false);
		}
		measure_model(i);
		measure_kills(i, true);
		measure_kills(i, false);
		measure_recovery(i);
		measure_spread(i, 9, 6, "9 daemons, 6 groups");
		measure_spread(i, 290, 1000, "290, 1,000 groups");
	}
	print_rows(csv->count > 0 ? csv->filename[0] : "measure.csv");
	return 0;
}
