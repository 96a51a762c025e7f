#include "proxy_model_cases.h"

/*
 * Tests of the rules for leases and promotions in the proxy model: orders that
 * the store cannot record.
 */

static const correct_case_t correct_cases[] = {
    {"the store is away for the coordinator", 3, 4, 2, 0, 0, 500,
	.troubles = {.away = {.permille = 4}}},
    {"the store is away for all", 3, 4, 2, 0, 0, 500,
	.troubles = {.away = {.permille = 4, .all_permille = 1000}}},
    {"the store is away, daemons restart", 3, 4, 2, 0, 0, 500, 2,
	.troubles = {.away = {.permille = 4,
			 .all_permille = 500,
			 .restart_permille = 300}}},
    {"the store is away, daemons refuse one another", 3, 5, 2, 0, 0, 500,
	.troubles = {.away = {.permille = 4,
			 .all_permille = 300,
			 .refused_permille = 700}}},
    {"the store is away, daemons restart and refuse one another", 3, 4, 4, 0, 0,
	500, 2,
	.troubles = {.away = {.permille = 4,
			 .all_permille = 500,
			 .restart_permille = 300,
			 .refused_permille = 500}}},
    {"a token that is forgotten while the store is away", 3, 4, 2, 0, 0, 500,
	.troubles = {.away = {.permille = 4, .forgotten_permille = 700}}},
    {"the store is away, five databases", 5, 5, 4, 0, 0, 500,
	.troubles = {.away = {.permille = 4,
			 .all_permille = 500,
			 .restart_permille = 100,
			 .refused_permille = 300}}},
    {"the store is away, orders are held up", 3, 4, 4, 0, 0, 500,
	.order_held_permille = 300,
	.troubles = {.away = {.permille = 4, .all_permille = 500}}},
};

static const bug_case_t bug_cases[] = {
    {"a daemon that refuses confirms a token", PROXY_BUG_REFUSED_CONFIRMS, 4, 0,
	2, .troubles = {.away = {.permille = 4, .forgotten_permille = 1000}}},
    {"a daemon that has read no token confirms one", PROXY_BUG_UNREAD_CONFIRMS,
	4, 0, 2,
	.troubles = {.away = {.permille = 4, .forgotten_permille = 1000}}},
    {"the answers to a revocation confirm an order", PROXY_BUG_OTHER_CONFIRMS,
	4, 0, 2,
	.troubles = {.away = {.permille = 4, .forgotten_permille = 1000}}},
    {"an order that the other daemons are not told of", PROXY_BUG_ORDER_UNTOLD,
	4, 0, 4, .first_seed = 500281, .database_restart_permille = 4,
	.members_read_once = true,
	.troubles = {.away = {.permille = 8,
			 .restart_permille = 500,
			 .refused_permille = 300}}},
    {"an order that is not recorded later", PROXY_BUG_UNRECORDED_FORGOTTEN, 4,
	0, 4, .first_seed = 500041, .database_restart_permille = 4,
	.troubles = {.member_restart_permille = 3,
	    .away = {.permille = 8,
		.restart_permille = 500,
		.refused_permille = 300}}},
};

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* run every case */
	CASES("/unrecordedmodel/right", correct_cases, test_correct_rules);
	CASES("/unrecordedmodel/wrong", bug_cases, test_injected_bugs);
	return g_test_run();
}
