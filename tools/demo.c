#include "load.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/*
 * make demo: starts a small fleet, sends a fixed number of statements of both
 * deployments' kinds of work, kills a primary half-way, and checks the recorded
 * history for violations of the guarantees, such as lost writes.
 */

#define STATEMENTS 4000
#define SESSIONS 32
#define READY_MS 15000
#define PROGRESS_INTERVAL 500

/* State of a run. */
typedef struct demo {
	fleet_t *fleet;
	history_t *history;
	uint32_t intervals_reported; /* progress printed so far, in intervals */
	const char *killed_group;    /* group whose primary was killed */
	int64_t killed_us;           /* time of the kill, 0 before it */
} demo_t;

/*
 * Kill the primary of the first group.
 */
static void
kill_primary(demo_t *demo)
{
	int32_t primary = fleet_group_primary(demo->fleet, 0);

	demo->killed_group = demo->fleet->groups[0].name;
	demo->killed_us = clock_us();
	if (primary < 0)
		return;
	printf("killing %s, the primary of group %s\n",
	    demo->fleet->databases[primary].name, demo->killed_group);
	fleet_process_signal(&demo->fleet->databases[primary], SIGKILL);
}

/*
 * Print the progress of the load, record the versions of documents in force,
 * and kill a primary half-way.
 */
static void
on_progress(void *context, uint32_t answered)
{
	demo_t *demo = context;

	if (answered / PROGRESS_INTERVAL > demo->intervals_reported) {
		demo->intervals_reported = answered / PROGRESS_INTERVAL;
		printf("%u of %u statements answered\n",
		    demo->intervals_reported * PROGRESS_INTERVAL, STATEMENTS);
		fflush(stdout);
		load_collect_versions(demo->fleet, demo->history);
	}
	if (answered >= STATEMENTS / 2 && demo->killed_us == 0)
		kill_primary(demo);
}

/*
 * Run the demo.  Exits 1 when a guarantee was violated, the group did not
 * recover from the loss of its primary, or the fleet did not become ready.
 */
int
main(void)
{
	fleet_plan_t plan = {.daemons = 3,
	    .tickets_groups = 2,
	    .quotes_groups = 1,
	    .service_ms = 1,
	    .lag_ms = 2};
	load_plan_t load = {.sessions = SESSIONS,
	    .max_requests = STATEMENTS,
	    .seed = 1,
	    .transactions = true,
	    .progress = on_progress};
	violations_t violations = {0};
	load_summary_t summary;
	demo_t demo = {0};
	uint32_t violations_count;
	int64_t gap_us;

	curl_global_init(CURL_GLOBAL_ALL);
	log_start(G_LOG_LEVEL_WARNING, STDERR_FILENO);
	printf("starting the fake platform, 9 databases in 3 groups and "
	       "3 daemons in 3 availability zones\n");
	fflush(stdout);
	demo.fleet = fleet_start(&plan);
	demo.history = history_new();
	load.context = &demo;
	if (!fleet_wait_ready(demo.fleet, READY_MS)) {
		printf("the fleet did not become ready\n");
		fleet_stop(demo.fleet);
		return 1;
	}
	load_run(demo.fleet, &load, demo.history);
	load_collect_versions(demo.fleet, demo.history);
	load_collect_logs(demo.fleet, demo.history);
	violations_count = history_check(demo.history, &violations);
	load_summarize(demo.history, &summary);
	gap_us = load_write_outage_us(
	    demo.history, demo.killed_group, demo.killed_us);
	printf("\n");
	load_print_summary(&summary, &violations);
	printf("%-32s %7.0f ms\n", "failover gap", (double)gap_us / US_PER_MS);
	printf("%s", violations.text->str);
	fleet_stop(demo.fleet);
	if (violations_count > 0 || gap_us < 0) {
		printf("demo: a guarantee was violated or the group did not "
		       "recover\n");
		return 1;
	}
	printf("demo: no violations; the group recovered\n");
	return 0;
}
