#include "../src/json.h"
#include "../tools/load.h"
#include "cases.h"

#include <curl/curl.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

/*
 * What must always hold, with real processes under faults.  Each case runs a
 * load over a fleet, lets faults happen at set times, mends them, and checks
 * the whole history.
 */

#define READY_MS 15000
#define SETTLE_MS 10000
#define STEPS_MAX 6
#define STATEMENTS_MAX 300000

typedef struct stage stage_t;

/* A fault, or its end, at a time of the load. */
typedef struct fault_step {
	uint32_t at_ms;
	void (*act)(stage_t *);
} fault_step_t;

/* One case of a table. */
typedef struct holds_case {
	const char *name;
	uint32_t lag_ms;
	uint32_t service_ms;
	uint32_t timeout_ms;
	uint32_t pause_ms;
	uint32_t sessions;
	uint32_t duration_ms;
	bool transactions;
	fault_step_t steps[STEPS_MAX];
	uint32_t not_run_at_least;
	uint32_t unknown_at_most; /* UINT32_MAX: any */
	bool none_cut;            /* no request may go without its answer */
	uint32_t after_at_least;  /* done that were asked after the last step */
	void (*check)(stage_t *); /* more to check at the end; may be NULL */
} holds_case_t;

/* A case that is under way. */
struct stage {
	const holds_case_t *c;
	fleet_t *fleet;
	history_t *history;
	int64_t began_us;
	int64_t last_us; /* of the last step */
	uint32_t next;   /* step */
	uint32_t owner;  /* of group 0, at the start */
	int32_t primary; /* of group 0, when the first fault was set */
	uint64_t work;   /* statements that the leaving database had run */
};

/*
 * The process of the primary of group 0, as it was at the first fault.
 */
static fleet_process_t *
primary_process(stage_t *stage)
{
	return &stage->fleet->databases[stage->primary];
}

static void
kill_primary(stage_t *stage)
{
	fleet_signal(primary_process(stage), SIGKILL);
}

static void
freeze_primary(stage_t *stage)
{
	fleet_signal(primary_process(stage), SIGSTOP);
}

static void
thaw_primary(stage_t *stage)
{
	fleet_signal(primary_process(stage), SIGCONT);
}

static void
kill_owner(stage_t *stage)
{
	fleet_signal(&stage->fleet->daemons[stage->owner], SIGKILL);
}

static void
freeze_owner(stage_t *stage)
{
	fleet_signal(&stage->fleet->daemons[stage->owner], SIGSTOP);
}

static void
thaw_owner(stage_t *stage)
{
	fleet_signal(&stage->fleet->daemons[stage->owner], SIGCONT);
}

static void
drain_owner(stage_t *stage)
{
	fleet_signal(&stage->fleet->daemons[stage->owner], SIGTERM);
}

static void
restart_owner(stage_t *stage)
{
	fleet_daemon_end(stage->fleet, stage->owner);
	fleet_daemon_start(stage->fleet, stage->owner);
}

/*
 * Set a fault of the primary of group 0.
 */
static void
primary_fault(stage_t *stage, const char *fault)
{
	fleet_db_call(
	    stage->fleet, (uint32_t)stage->primary, "/fault", fault, NULL);
}

static void
cut_primary(stage_t *stage)
{
	primary_fault(stage, "{\"cut\":true}");
}

static void
join_primary(stage_t *stage)
{
	primary_fault(stage, "{\"cut\":false}");
}

static void
silence_primary(stage_t *stage)
{
	primary_fault(stage, "{\"silence_connections\":true}");
}

static void
late_answers(stage_t *stage)
{
	primary_fault(stage, "{\"late_ms\":300}");
}

static void
timely_answers(stage_t *stage)
{
	primary_fault(stage, "{\"late_ms\":0}");
}

static void
truncate_answer(stage_t *stage)
{
	primary_fault(stage, "{\"truncate_next\":true}");
}

static void
drop_answer(stage_t *stage)
{
	primary_fault(stage, "{\"drop_answer\":true}");
}

/*
 * Freeze or thaw all databases of group 0 but its primary.
 */
static void
signal_replicas(stage_t *stage, int signal)
{
	const fleet_group_t *group = &stage->fleet->groups[0];
	uint32_t i;

	for (i = group->first; i < group->first + group->count; i++) {
		if ((int32_t)i != stage->primary)
			fleet_signal(&stage->fleet->databases[i], signal);
	}
}

static void
freeze_replicas(stage_t *stage)
{
	signal_replicas(stage, SIGSTOP);
}

static void
thaw_replicas(stage_t *stage)
{
	signal_replicas(stage, SIGCONT);
}

/*
 * The replicas of group 0 fall behind by this much from now on.
 */
static void
lag_more(stage_t *stage)
{
	primary_fault(stage, "{\"lag_ms\":700}");
}

static void
platform_outage(stage_t *stage)
{
	fleet_platform_fault(stage->fleet, "{\"outage_ms\":60000}");
}

static void
platform_slow(stage_t *stage)
{
	fleet_platform_fault(stage->fleet, "{\"slow_ms\":900}");
}

/*
 * A replica of group 0.
 */
static uint32_t
a_replica(const stage_t *stage)
{
	uint32_t first = stage->fleet->groups[0].first;

	return stage->primary == (int32_t)first ? first + 1 : first;
}

static void
primary_leaves_by_word(stage_t *stage)
{
	primary_fault(stage, "{\"leaving\":true}");
}

static void
primary_leaves_by_list(stage_t *stage)
{
	fleet_vms(stage->fleet, stage->primary);
}

static void
replica_leaves_by_word(stage_t *stage)
{
	fleet_db_call(stage->fleet, a_replica(stage), "/fault",
	    "{\"leaving\":true}", NULL);
}

static void
replica_leaves_by_list(stage_t *stage)
{
	fleet_vms(stage->fleet, (int32_t)a_replica(stage));
}

/*
 * How many statements a database has run.
 */
static uint64_t
work_of(stage_t *stage, uint32_t database)
{
	arena_t *arena = arena_new();
	Bp__RanLog *log = fleet_db_ran(stage->fleet, arena, database);
	uint64_t work = log->statements;

	arena_free(arena);
	return work;
}

static void
note_primary_work(stage_t *stage)
{
	stage->work = work_of(stage, (uint32_t)stage->primary);
}

static void
note_replica_work(stage_t *stage)
{
	stage->work = work_of(stage, a_replica(stage));
}

static void
check_primary_work(stage_t *stage)
{
	g_assert_cmpuint(
	    work_of(stage, (uint32_t)stage->primary), ==, stage->work);
}

/*
 * As check_primary_work(), and it took one change of primary.
 */
static void
check_handed_over(stage_t *stage)
{
	arena_t *arena = arena_new();
	int32_t primary = fleet_primary(stage->fleet, 0);

	check_primary_work(stage);
	g_assert_cmpint(primary, >=, 0);
	g_assert_cmpuint(
	    fleet_db_status(stage->fleet, arena, (uint32_t)primary)->promised,
	    ==, 2);
	arena_free(arena);
}

static void
check_replica_work(stage_t *stage)
{
	g_assert_cmpuint(work_of(stage, a_replica(stage)), ==, stage->work);
}

/*
 * An operator's edit that leaves out one database of group 0.
 */
static void
edit_without(stage_t *stage, int32_t database)
{
	const char *team = stage->fleet->groups[0].team;
	char *name = g_strconcat("team/", team, NULL);
	char *document;

	stage->fleet->left_out = database;
	document = fleet_document(stage->fleet, team, NULL);
	g_assert_cmpuint(fleet_put(stage->fleet, name, 1, document), ==, 2);
	g_free(document);
	g_free(name);
}

static void
edit_without_replica(stage_t *stage)
{
	edit_without(stage, (int32_t)a_replica(stage));
}

static void
edit_without_primary(stage_t *stage)
{
	edit_without(stage, stage->primary);
}

/*
 * The last step that a case has.
 */
static uint32_t
steps_count(const holds_case_t *c)
{
	uint32_t n = 0;

	while (n < STEPS_MAX && c->steps[n].act != NULL)
		n++;
	return n;
}

/*
 * Take the steps whose time has come.
 */
static void
on_progress(void *context, uint32_t answered)
{
	stage_t *stage = context;
	const holds_case_t *c = stage->c;
	int64_t spent_ms = (clock_us() - stage->began_us) / US_PER_MS;

	(void)answered;
	while (stage->next < steps_count(c) &&
	    spent_ms >= c->steps[stage->next].at_ms) {
		if (stage->next == 0)
			stage->primary = fleet_primary(stage->fleet, 0);
		g_assert_cmpint(stage->primary, >=, 0);
		c->steps[stage->next++].act(stage);
		stage->last_us = clock_us();
	}
}

/*
 * Whether every group has one primary, and its living replicas all it has.
 */
static bool
settled(fleet_t *fleet)
{
	uint32_t i, j;

	for (i = 0; i < fleet->groups_count; i++) {
		int32_t primary = fleet_primary(fleet, i);
		arena_t *arena = arena_new();
		Bp__DbStatus *status, *other;
		bool same = primary >= 0;

		status = same ? fleet_db_status(fleet, arena, (uint32_t)primary)
			      : NULL;
		for (j = 0; same && j < fleet->groups[i].count; j++) {
			uint32_t db = fleet->groups[i].first + j;

			if ((int32_t)db == fleet->left_out ||
			    fleet->databases[db].process == NULL ||
			    g_subprocess_get_identifier(
				fleet->databases[db].process) == NULL)
				continue;
			other = fleet_db_status(fleet, arena, db);
			same = status != NULL && other != NULL &&
			    other->term == status->term &&
			    other->position == status->position;
		}
		arena_free(arena);
		if (!same)
			return false;
	}
	return true;
}

/*
 * Mend every fault and wait until the groups are whole again.
 */
static void
mend(stage_t *stage)
{
	int64_t until_us = clock_us() + SETTLE_MS * US_PER_MS;
	uint32_t i;

	for (i = 0; i < stage->fleet->plan.daemons; i++)
		fleet_signal(&stage->fleet->daemons[i], SIGCONT);
	for (i = 0; i < stage->fleet->databases_count; i++)
		fleet_signal(&stage->fleet->databases[i], SIGCONT);
	while (!settled(stage->fleet) && clock_us() < until_us)
		g_usleep(50 * US_PER_MS);
	g_assert_true(settled(stage->fleet));
}

/*
 * How many statements were done that were asked after a time.
 */
static uint32_t
done_after(const history_t *history, const char *group, int64_t after_us)
{
	uint32_t i, n = 0;

	for (i = 0; i < history->operations->len; i++) {
		const operation_t *op =
		    g_ptr_array_index(history->operations, i);

		n += op->asked_us >= after_us && op->answered &&
		    op->outcome == BP__OUTCOME__DONE &&
		    strcmp(op->group, group) == 0;
	}
	return n;
}

/*
 * Run one case and check its history.
 */
static void
test_holds(gconstpointer data)
{
	const holds_case_t *c = data;
	fleet_plan_t plan = {.daemons = 3,
	    .tickets = 1,
	    .quotes = 1,
	    .service_ms = c->service_ms,
	    .lag_ms = c->lag_ms};
	stage_t stage = {.c = c, .primary = -1};
	load_plan_t load = {.sessions = c->sessions == 0 ? 24 : c->sessions,
	    .statements = STATEMENTS_MAX,
	    .duration_ms = c->duration_ms,
	    .seed = 1,
	    .timeout_ms = c->timeout_ms,
	    .pause_ms = c->pause_ms,
	    .transactions = c->transactions,
	    .progress = on_progress,
	    .context = &stage};
	violations_t violations = {0};
	load_summary_t summary;
	uint32_t total;

	stage.fleet = fleet_start(&plan);
	stage.history = history_new();
	g_assert_true(fleet_wait_ready(stage.fleet, READY_MS));
	stage.owner = fleet_owner(stage.fleet, 0);
	stage.began_us = clock_us();
	load_run(stage.fleet, &load, stage.history);
	g_assert_cmpuint(stage.next, ==, steps_count(c));
	mend(&stage);
	load_collect(stage.fleet, stage.history);
	total = history_check(stage.history, &violations);
	load_summarize(stage.history, &summary);
	g_test_message("%u done, %u not run, %u unknown, %u no answer",
	    summary.outcomes[BP__OUTCOME__DONE],
	    summary.outcomes[BP__OUTCOME__NOT_RUN],
	    summary.outcomes[BP__OUTCOME__UNKNOWN], summary.no_answer);
	g_assert_cmpstr(violations.text->str, ==, "");
	g_assert_cmpuint(total, ==, 0);
	g_assert_cmpuint(
	    summary.outcomes[BP__OUTCOME__NOT_RUN], >=, c->not_run_at_least);
	g_assert_cmpuint(
	    summary.outcomes[BP__OUTCOME__UNKNOWN], <=, c->unknown_at_most);
	if (c->none_cut)
		g_assert_cmpuint(summary.cut, ==, 0);
	g_assert_cmpuint(done_after(stage.history, stage.fleet->groups[0].name,
			     stage.last_us),
	    >=, c->after_at_least);
	if (c->check != NULL)
		c->check(&stage);
	g_string_free(violations.text, TRUE);
	history_free(stage.history);
	fleet_end(stage.fleet);
}

#define ANY UINT32_MAX

static const holds_case_t read_cases[] = {
    {"replicas lag", 150, 1, 0, 10, 0, 2500, true, {{0, NULL}}, 0, 0, true,
	200},
    {"replicas lag and ownership moves", 150, 1, 0, 10, 0, 5000, true,
	{{1000, kill_owner}}, 0, ANY, false, 50},
    {"replicas lag and the primary changes", 150, 1, 0, 10, 0, 5000, true,
	{{1000, kill_primary}}, 0, ANY, true, 50},
    {"replicas lag, the owner freezes", 100, 1, 0, 10, 0, 6000, false,
	{{1000, freeze_owner}, {3500, thaw_owner}}, 0, ANY, false, 50},
    {"a primary freezes and comes back", 50, 1, 0, 10, 0, 6000, false,
	{{1000, freeze_primary}, {3000, thaw_primary}}, 0, ANY, true, 50},
};

static const holds_case_t ack_cases[] = {
    {"the primary is killed", 5, 1, 0, 5, 0, 4000, false,
	{{1000, kill_primary}}, 0, ANY, true, 100},
    {"the primary is cut off from its group", 5, 1, 0, 5, 0, 9000, false,
	{{1000, cut_primary}, {7000, join_primary}}, 0, ANY, true, 50},
    {"the owner is frozen in the middle", 5, 1, 0, 5, 0, 6000, false,
	{{1000, freeze_owner}, {3500, thaw_owner}}, 0, ANY, false, 100},
    {"the owner is frozen and the primary killed", 5, 1, 0, 5, 0, 7000, false,
	{{1000, freeze_owner}, {1200, kill_primary}, {4500, thaw_owner}}, 0,
	ANY, false, 100},
    {"the platform is down and the primary killed", 5, 1, 0, 5, 0, 5000, false,
	{{500, platform_outage}, {1000, kill_primary}}, 0, ANY, true, 100},
    {"the primary is cut off and the owner killed", 5, 1, 0, 5, 0, 10000, false,
	{{1000, cut_primary}, {1300, kill_owner}, {8000, join_primary}}, 0, ANY,
	false, 20},
    {"the old primary comes back", 5, 1, 0, 5, 0, 6000, false,
	{{1000, freeze_primary}, {3000, thaw_primary}}, 0, ANY, true, 100},
};

static const holds_case_t transaction_cases[] = {
    {"the owner is killed in the middle", 2, 1, 0, 3, 0, 4000, true,
	{{1000, kill_owner}}, 0, ANY, false, 50},
    {"the primary is killed in the middle", 2, 1, 0, 3, 0, 4000, true,
	{{1000, kill_primary}}, 0, ANY, true, 50},
    {"answers are lost", 2, 1, 1500, 3, 0, 4000, true,
	{{500, drop_answer}, {900, drop_answer}, {1300, drop_answer}}, 0, ANY,
	true, 50},
    {"a daemon drains", 2, 1, 0, 3, 0, 4000, true, {{1000, drain_owner}}, 0,
	ANY, true, 50},
};

static const holds_case_t answer_cases[] = {
    {"late answers", 2, 1, 200, 3, 0, 4000, false,
	{{500, late_answers}, {2000, timely_answers}}, 0, ANY, true, 50},
    {"truncated answers", 2, 1, 1000, 3, 0, 3000, false,
	{{500, truncate_answer}, {800, truncate_answer},
	    {1100, truncate_answer}},
	0, ANY, true, 50},
    {"lost answers", 2, 1, 1500, 3, 0, 4000, false,
	{{500, drop_answer}, {800, drop_answer}, {1100, drop_answer}}, 0, ANY,
	true, 50},
    {"silent connections", 2, 1, 3000, 3, 0, 6000, false,
	{{1000, silence_primary}}, 0, ANY, true, 100},
};

static const holds_case_t refusal_cases[] = {
    {"overload and short deadlines", 2, 20, 40, 0, 60, 2500, false, {{0, NULL}},
	20, ANY, true, 0},
    {"no majority", 2, 1, 600, 3, 0, 5000, false,
	{{1000, freeze_replicas}, {3000, thaw_replicas}}, 0, ANY, true, 50},
    {"no primary and no platform", 2, 1, 300, 3, 0, 5000, false,
	{{500, platform_outage}, {800, freeze_replicas}, {1000, freeze_primary},
	    {3000, thaw_replicas}, {3100, thaw_primary}},
	10, ANY, true, 50},
    {"a daemon drains", 2, 5, 1000, 0, 40, 3000, false, {{1000, drain_owner}},
	0, ANY, true, 50},
};

static const holds_case_t drain_cases[] = {
    {"the owner drains", 2, 2, 0, 2, 30, 3000, true, {{1000, drain_owner}}, 0,
	0, true, 100},
    {"the owner drains while the platform is down", 2, 2, 0, 2, 30, 3000, true,
	{{500, platform_outage}, {1000, drain_owner}}, 0, 0, true, 100},
    {"the platform is slow and a daemon restarts", 2, 2, 0, 2, 30, 5000, false,
	{{500, platform_slow}, {1000, drain_owner}, {2500, restart_owner}}, 0,
	0, true, 100},
    {"replicas fall far behind", 2, 1, 0, 5, 0, 5000, false, {{1000, lag_more}},
	0, 0, true, 20},
};

/* Three seconds after the word, a leaving database has no new work. */
static const holds_case_t leaving_cases[] = {
    {"a replica by its own word", 2, 1, 0, 3, 0, 6000, false,
	{{1000, replica_leaves_by_word}, {4000, note_replica_work}}, 0, 0, true,
	100, check_replica_work},
    {"a replica by the list", 2, 1, 0, 3, 0, 6000, false,
	{{1000, replica_leaves_by_list}, {4000, note_replica_work}}, 0, 0, true,
	100, check_replica_work},
    {"the primary by its own word", 2, 1, 0, 3, 0, 6000, true,
	{{1000, primary_leaves_by_word}, {4000, note_primary_work}}, 0, 0, true,
	100, check_handed_over},
    {"the primary by the list", 2, 1, 0, 3, 0, 6000, true,
	{{1000, primary_leaves_by_list}, {4000, note_primary_work}}, 0, 0, true,
	100, check_handed_over},
    {"a replica by an edit", 2, 1, 0, 3, 0, 6000, true,
	{{1000, edit_without_replica}, {4000, note_replica_work}}, 0, 0, true,
	100, check_replica_work},
    {"the primary by an edit", 2, 1, 0, 3, 0, 6000, true,
	{{1000, edit_without_primary}, {4000, note_primary_work}}, 0, 0, true,
	100, check_primary_work},
    {"the primary while its owner dies", 2, 1, 0, 3, 0, 8000, false,
	{{1000, primary_leaves_by_word}, {1050, kill_owner},
	    {6000, note_primary_work}},
	0, ANY, false, 50, check_primary_work},
};

/*
 * Run the tables.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	log_start(G_LOG_LEVEL_WARNING, STDERR_FILENO);
	CASES("/holds/read-your-writes", read_cases, test_holds);
	CASES("/holds/ack-not-from-replaced", ack_cases, test_holds);
	CASES("/holds/transactions-apart", transaction_cases, test_holds);
	CASES("/holds/whole-answer", answer_cases, test_holds);
	CASES("/holds/not-run-means-not-run", refusal_cases, test_holds);
	CASES("/holds/drain-cuts-nothing", drain_cases, test_holds);
	CASES("/holds/leaving-gets-no-work", leaving_cases, test_holds);
	return g_test_run();
}
