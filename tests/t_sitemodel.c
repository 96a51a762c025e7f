#include "../tools/sitemodel.h"
#include "cases.h"

/* The model of a group on the users' platform. */

#define STEPS 60000
#define SEEDS 10
#define SEEDS_WRONG 40

typedef struct right_case {
	const char *name;
	uint32_t databases;
	uint32_t daemons;
	uint32_t fault_permille;
	uint32_t sync_replicas;
} right_case_t;

static const right_case_t right_cases[] = {
    {"calm", 3, 3, 0, 0},
    {"some faults", 3, 3, 4, 0},
    {"many faults", 3, 4, 20, 0},
    {"five databases", 5, 5, 8, 0},
    {"two daemons", 3, 2, 8, 0},
    {"commits that a replica has", 3, 3, 8, 1},
    {"the same, five databases", 5, 4, 12, 1},
};

/*
 * Nothing is broken.
 */
static void
test_right(gconstpointer data)
{
	const right_case_t *c = data;
	uint64_t acknowledged = 0, changes = 0;
	uint32_t i;

	for (i = 1; i <= SEEDS; i++) {
		site_model_plan_t plan = {.seed = i,
		    .steps = STEPS,
		    .databases = c->databases,
		    .daemons = c->daemons,
		    .fault_permille = c->fault_permille,
		    .sync_replicas = c->sync_replicas};
		site_model_result_t result;

		site_model_run(&plan, &result);
		acknowledged += result.acknowledged;
		changes += result.changes;
		if (result.split + result.stale + result.lost == 0)
			continue;
		g_test_message("seed %u: split %" G_GUINT64_FORMAT
			       ", stale %" G_GUINT64_FORMAT
			       ", lost %" G_GUINT64_FORMAT,
		    i, result.split, result.stale, result.lost);
		g_test_fail(); /* the other cases are run, too */
	}
	g_test_message("%" G_GUINT64_FORMAT " acknowledged, %" G_GUINT64_FORMAT
		       " changes",
	    acknowledged, changes);
	g_assert_cmpuint(acknowledged, >, 0);
	if (c->fault_permille > 0)
		g_assert_cmpuint(changes, >, 0);
}

typedef struct wrong_case {
	const char *name;
	site_wrong_t wrong;
	uint32_t daemons;
} wrong_case_t;

static const wrong_case_t wrong_cases[] = {
    {"acknowledged without confirming the term", SITE_ACK_UNCONFIRMED, 3},
    {"a lease that a pause does not use up", SITE_LEASE_OVER_PAUSE, 3},
    {"promoted without a majority that holds", SITE_PROMOTE_UNFENCED, 3},
    {"an order after a pause", SITE_ORDER_OVER_PAUSE, 4},
    {"leases are not waited for", SITE_SETTLE_AT_ONCE, 3},
};

/*
 * Each wrong rule breaks something within a bounded number of seeds.
 */
static void
test_wrong(gconstpointer data)
{
	const wrong_case_t *c = data;
	uint64_t broken = 0;
	uint32_t i;

	for (i = 1; i <= SEEDS_WRONG && broken == 0; i++) {
		site_model_plan_t plan = {.seed = i,
		    .steps = STEPS,
		    .databases = 3,
		    .daemons = c->daemons,
		    .fault_permille = 12,
		    .wrong = c->wrong};
		site_model_result_t result;

		site_model_run(&plan, &result);
		broken = result.split + result.stale;
	}
	g_test_message("seed %u breaks it", i - 1);
	g_assert_cmpuint(broken, >, 0);
}

/*
 * Run the tables.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* each case is run */
	CASES("/sitemodel/right", right_cases, test_right);
	CASES("/sitemodel/wrong", wrong_cases, test_wrong);
	return g_test_run();
}
