#include "proxy_model_cases.h"

/*
 * Tests of samples of the position of the primary, and of reads that replicas
 * may serve, in the proxy model.
 */

static const correct_case_t correct_cases[] = {
    {"reads of replicas, one daemon reaches the primary", 3, 4, 4, 0, 0, 500,
	.primary_cut_permille = 3, .replica_reads_permille = 700},
    {"reads of replicas, daemons and databases restart", 3, 4, 8, 0, 0, 500, 3,
	2, .primary_cut_permille = 3, .replica_reads_permille = 700},
    {"reads of replicas, orders are held up, five databases", 5, 4, 12, 0, 0,
	500, .order_held_permille = 300, .primary_cut_permille = 3,
	.replica_reads_permille = 700},
    {"reads of replicas, lists change, daemons restart", 3, 4, 8, 0, 0, 500, 3,
	.primary_cut_permille = 2,
	.troubles = {.start_listed_max_us = 1000000,
	    .leaving_permille = 2,
	    .lapse_permille = 4,
	    .refused_permille = 6,
	    .crash_permille = 2},
	.replica_reads_permille = 700},
    {"reads of replicas, owners change, a store that goes back", 3, 4, 12, 0,
	40, 500, .returns_permille = 2, .alone_permille = 300,
	.replica_reads_permille = 700},
};

static const bug_case_t bug_cases[] = {
    {"a sample without a lease", PROXY_BUG_SAMPLE_WITHOUT_LEASE, 4, 0, 4,
	.primary_cut_permille = 3, .replica_reads_permille = 700},
    {"a sample that takes no account of open orders",
	PROXY_BUG_SAMPLE_UNCHECKED, 4, 0, 8, .order_held_permille = 1000,
	.database_restart_permille = 10, .replica_reads_permille = 700},
    {"a sample as old as its answer", PROXY_BUG_SAMPLE_AGE_OF_ANSWER, 4, 0, 4,
	.primary_cut_permille = 3, .replica_reads_permille = 700},
    {"a sample that stays recent without a lease",
	PROXY_BUG_SAMPLE_OUTLIVES_LEASE, 4, 0, 4, .primary_cut_permille = 3,
	.replica_reads_permille = 700},
    {"a read of a replica without a position", PROXY_BUG_READ_WITHOUT_POSITION,
	4, .replica_reads_permille = 700},
    {"a read of a replica without the floor of its session",
	PROXY_BUG_READ_WITHOUT_FLOOR, 4, 0, 4, .primary_cut_permille = 3,
	.replica_reads_permille = 700},
};

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* run every case */
	CASES("/readsmodel/right", correct_cases, test_correct_rules);
	CASES("/readsmodel/wrong", bug_cases, test_injected_bugs);
	return g_test_run();
}
