#include "proxy_model_cases.h"

/*
 * Tests with the proxy model in which the members of the group change while one
 * daemon, which knows the former ones, is alone.
 */

static const correct_case_t correct_cases[] = {
    {"two databases added while a daemon is alone", 3 + 2, 4, 2, 0, 0, 500,
	.troubles = {.start_listed_max_us = 1000000,
	    .members = {.permille = 20, .added = 2}}},
    {"two databases added while a daemon is alone and reads the record", 3 + 2,
	4, 2, 0, 0, 500,
	.troubles = {.start_listed_max_us = 1000000,
	    .members = {.permille = 20, .added = 2, .store_permille = 1000}}},
    {"three databases added to four while a daemon is alone", 4 + 3, 4, 2, 0, 0,
	500,
	.troubles = {.start_listed_max_us = 1000000,
	    .members = {.permille = 20, .added = 3}}},
    {"a database added and one dropped while a daemon is alone", 3 + 1, 4, 2, 0,
	0, 500,
	.troubles = {.start_listed_max_us = 1000000,
	    .members = {.permille = 20, .added = 1, .dropped = 1}}},
    {"two of five databases dropped while a daemon is alone", 5, 4, 2, 0, 0,
	500,
	.troubles = {.start_listed_max_us = 1000000,
	    .members = {.permille = 20, .dropped = 2}}},
    {"two databases added with an order that is held up or void", 3 + 2, 4, 4,
	0, 0, 500,
	.troubles = {.order_held_permille = {300, 300, 200},
	    .start_listed_max_us = 1000000,
	    .members = {.permille = 20,
		.added = 2,
		.store_permille = 300,
		.unrecorded_permille = 700}}},
    {"two databases added before a handover that a daemon does not hear of",
	3 + 2, 4, 2, 0, 0, 500,
	.troubles = {.start_listed_max_us = 1000000,
	    .members = {.permille = 20, .added = 2, .handover = true}}},
    {"two databases added, daemons and databases restart", 3 + 2, 4, 4, 0, 0,
	500, 3, 1,
	.troubles = {.start_listed_max_us = 1000000,
	    .crash_permille = 1,
	    .members = {.permille = 20, .added = 2, .store_permille = 500}}},
};

static const bug_case_t bug_cases[] = {
    {"two members added at once, without the former ones",
	PROXY_BUG_FORMER_IGNORED, 4, 0, 2, 3 + 2,
	.troubles = {.start_listed_max_us = 1000000,
	    .members = {.permille = 20, .added = 2}}},
    {"one member added and one dropped, without the former ones",
	PROXY_BUG_FORMER_IGNORED, 4, 0, 2, 3 + 1,
	.troubles = {.start_listed_max_us = 1000000,
	    .members = {.permille = 20, .added = 1, .dropped = 1}}},
    {"a lease that outlives a change of the members", PROXY_BUG_MEMBERS_OUTLIVE,
	4, 0, 4, 3 + 2,
	.troubles = {.start_listed_max_us = 1000000,
	    .members = {.permille = 20, .added = 2, .handover = true}}},
};

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* run every case */
	CASES("/membersmodel/right", correct_cases, test_correct_rules);
	CASES("/membersmodel/wrong", bug_cases, test_injected_bugs);
	return g_test_run();
}
