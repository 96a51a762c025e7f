#include "proxy_model_cases.h"

/*
 * Tests of the rules for leases and promotions in the proxy model: connections
 * between daemons that are refused or reset.
 */

static const correct_case_t correct_cases[] = {
    {"daemons refuse one another", 3, 5, 4, 0, 0, 500,
	.troubles = {.peers = {.permille = 4}}},
    {"daemons refuse others, one way", 3, 4, 4, 0, 0, 500,
	.troubles = {.peers = {.permille = 6, .one_way_permille = 1000}}},
    {"connections between daemons are reset", 3, 4, 4, 0, 0, 500,
	.troubles = {.peers = {.permille = 6,
			 .reset_permille = 1000,
			 .one_way_permille = 300}}},
    {"daemons refuse one another or reset, five databases", 5, 5, 8, 0, 0, 500,
	.troubles = {.peers = {.permille = 6,
			 .reset_permille = 500,
			 .one_way_permille = 500}}},
    {"daemons refuse one another, and restart", 3, 4, 8, 0, 0, 500, 4,
	.troubles = {.peers = {.permille = 8,
			 .reset_permille = 300,
			 .one_way_permille = 300}}},
    {"daemons refuse one another, some do not reach the store", 3, 4, 4, 0, 0,
	500,
	.troubles = {.peers = {.permille = 6,
			 .one_way_permille = 300,
			 .store_cut_permille = 600}}},
    {"daemons refuse one another, the store goes back", 3, 4, 4, 0, 0, 500,
	.returns_permille = 2,
	.troubles = {.peers = {.permille = 6, .one_way_permille = 300}}},
    {"daemons refuse one another, orders are held up", 3, 4, 8, 0, 0, 500,
	.order_held_permille = 300,
	.troubles = {.peers = {.permille = 6,
			 .reset_permille = 300,
			 .one_way_permille = 300}}},
    {"daemons refuse one another, and restart, orders are held up in each "
     "place",
	3, 4, 8, 0, 0, 500, 3,
	.troubles = {.order_held_permille = {200, 250, 300},
	    .peers = {.permille = 6,
		.reset_permille = 300,
		.one_way_permille = 300}}},
    {"daemons refuse one another, and restart, all orders are held up, "
     "databases restart",
	3, 4, 8, 0, 0, 500, 3, .order_held_permille = 1000,
	.database_restart_permille = 6,
	.troubles = {.peers = {.permille = 8,
			 .reset_permille = 300,
			 .one_way_permille = 500}}},
    {"daemons refuse one another, orders are held up at the platform, entries "
     "lapse",
	3, 4, 8, 0, 0, 500,
	.troubles = {.order_held_permille = {[PROXY_PLACE_PLATFORM] = 1000},
	    .lapse_permille = 3,
	    .leaving_permille = 3,
	    .peers = {.permille = 8, .one_way_permille = 1000}}},
    {"daemons refuse one another, a coordinator record that cannot be read", 3,
	4, 12, 0, 0, 500, 3,
	.troubles = {.role_late_permille = 200,
	    .record_unreadable_permille = 2,
	    .peers = {.permille = 6,
		.reset_permille = 300,
		.one_way_permille = 300}}},
    {"daemons refuse one another, owners change", 3, 4, 12, 0, 40, 500,
	.troubles = {.peers = {.permille = 6, .one_way_permille = 300}}},
};

static const bug_case_t bug_cases[] = {
    {"a daemon that refuses has revoked its lease", PROXY_BUG_REFUSED_REVOKED,
	5, 0, 4, .troubles = {.peers = {.permille = 4}}},
    {"a daemon that refuses some has revoked its lease",
	PROXY_BUG_REFUSED_REVOKED, 4, 0, 4,
	.troubles = {.peers = {.permille = 6, .one_way_permille = 1000}}},
    {"a daemon whose connection is reset has revoked its lease",
	PROXY_BUG_RESET_REVOKED, 4, 0, 4,
	.troubles = {.peers = {.permille = 6, .reset_permille = 1000}}},
    {"a daemon that refuses holds no lease", PROXY_BUG_REFUSED_HOLDS_NOTHING, 5,
	0, 4, .troubles = {.peers = {.permille = 4}}},
    {"a daemon that refuses knows of an order that the record lacks",
	PROXY_BUG_UNNAMED_ORDERS_READ, 4, 0, 8, .first_seed = 361,
	.returns_permille = 4, .order_held_permille = 1000,
	.database_restart_permille = 6, .new_starts_deny = true,
	.troubles = {.peers = {.permille = 8, .one_way_permille = 1000}}},
};

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* run every case */
	CASES("/peersmodel/right", correct_cases, test_correct_rules);
	CASES("/peersmodel/wrong", bug_cases, test_injected_bugs);
	return g_test_run();
}
