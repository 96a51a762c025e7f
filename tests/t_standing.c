#include "attempt.h"
#include "cases.h"

#include <string.h>

/*
 * Tests of standing promises: those of an attempt whose order the store cannot
 * record.  Database 0 is the primary of term 1, database 1 its successor.
 */

/* Number of a standing promise to replace the primary of a term. */
#define STANDING(n, replaced) ((UINT64_C(n) << 20) | (replaced))

/* Number of an ordinary attempt after standing promises. */
#define ORDINARY(n) STANDING(n, 0xfffff)

typedef struct number_case {
	const char *name;
	uint64_t newest;
	uint64_t replaced;
	uint64_t next;         /* expected number of an ordinary attempt */
	uint64_t standing;     /* expected number of a standing promise */
	uint64_t next_tells;   /* what the ordinary number tells of the order */
	uint64_t standing_for; /* what the standing promise tells */
} number_case_t;

static const number_case_t number_cases[] = {
    {"the first attempt", 1, 1, 2, STANDING(1, 1), 0, 1},
    {"after some attempts", 17, 3, 18, STANDING(1, 3), 0, 3},
    {"after a standing promise", STANDING(1, 1), 2, ORDINARY(1), STANDING(2, 2),
	0, 2},
    {"after an ordinary attempt that followed one", ORDINARY(1), 2, ORDINARY(2),
	STANDING(2, 2), 0, 2},
    {"the last ordinary number below", STANDING(1, 0) - 2, 5,
	STANDING(1, 0) - 1, STANDING(1, 5), 0, 5},
    {"no term is known", 0, 0, 1, 0, 0, 0},
    {"a term that a number cannot name", STANDING(7, 1), 0xfffff, ORDINARY(7),
	0, 0, 0},
};

/*
 * Test that numbers grow, and that only those of standing promises name a term.
 */
static void
test_number(gconstpointer data)
{
	const number_case_t *c = data;
	uint64_t next = attempt_term_next(c->newest);
	uint64_t standing = attempt_term_standing(c->newest, c->replaced);

	g_assert_cmpuint(next, ==, c->next);
	g_assert_cmpuint(standing, ==, c->standing);
	g_assert_cmpuint(next, >, c->newest);
	if (standing != 0)
		g_assert_cmpuint(standing, >, c->newest);
	g_assert_cmpuint(attempt_term_replaces(next), ==, c->next_tells);
	g_assert_cmpuint(attempt_term_replaces(standing), ==, c->standing_for);
}

/*
 * Have a replica promise the term of an attempt.
 */
static void
grant(failover_t *failover, uint32_t database, uint64_t term, int64_t now_us)
{
	db_view_t view = {
	    true, false, false, term, {1, 8 - database}, now_us, .term = 1};

	failover_fence_answered(failover, database, term, true, &view, now_us);
}

typedef struct order_case {
	const char *name;
	bool store_away;
	bool promised;    /* database 2 gives the standing promise */
	bool newer_known; /* a daemon reports a primary in term 2 by then */
	uint64_t asked;   /* number of the standing promise; 0: not asked */
	uint64_t attempt; /* expected number of the order; 0: none */
	bool refused;     /* the order is refused */
	bool unused;      /* the promise proves nothing afterwards */
} order_case_t;

static const order_case_t order_cases[] = {
    {"the store records orders", false, false, false, 0, 2, false, false},
    {"the store is away", true, true, false, STANDING(1, 1), STANDING(1, 1),
	false, false},
    {"the same, and the order is refused", true, true, false, STANDING(1, 1),
	STANDING(1, 1), true, true},
    {"the same, and nobody gives a standing promise", true, false, false,
	STANDING(1, 1), 0, false, true},
    {"the same, and a daemon knows a newer primary", true, true, true,
	STANDING(1, 1), 0, false, true},
};

/*
 * Test that an order which the store cannot record is sent only when a standing
 * promise tells of it.
 */
static void
test_order(gconstpointer data)
{
	const order_case_t *c = data;
	failover_actions_t actions;
	uint64_t asked = 0, attempt = 0, term = 0;
	failover_t failover;
	int64_t at_ms;
	uint32_t i;

	failover_init(&failover, &test_limits, DATABASES, 1, 0);
	for (i = 0; i < DATABASES; i++)
		report(&failover, i, i == 0, 1, 0, 0);
	failover_tick(&failover, 0, &actions);
	failover_connection_refused(&failover, 0, 0);
	failover_connection_refused(&failover, 0, 0);
	for (at_ms = 0; at_ms < 600; at_ms += 10) {
		failover_set_store(&failover, c->store_away, 0);
		failover_tick(&failover, MS(at_ms), &actions);
		for (i = 0; i < actions.count; i++) {
			const failover_action_t *action = &actions.list[i];

			if (action->kind == FAILOVER_PROMOTE)
				attempt = action->term;
			if (action->kind != FAILOVER_FENCE)
				continue;
			if (attempt_term_replaces(action->term) != 0) {
				g_assert_cmpuint(action->database, ==, 2);
				asked = action->term;
			} else {
				term = action->term;
			}
			if (action->database != 0 &&
			    (action->term == term || c->promised))
				grant(&failover, action->database, action->term,
				    MS(at_ms));
		}
		failover_leases_revoked(&failover, term, true, MS(at_ms));
		if (asked != 0 && c->newer_known)
			failover_term_reported(&failover, 2, MS(at_ms));
		if (attempt != 0 || (asked != 0 && c->newer_known))
			break;
	}
	if (c->refused)
		failover_promotion_answered(&failover, 1, attempt, false,
		    &failover.views[1], MS(at_ms));
	g_assert_cmpuint(asked, ==, c->asked);
	g_assert_cmpuint(attempt, ==, c->attempt);
	g_assert_cmpint(failover_promise_void(&failover, asked), ==, c->unused);
	failover_clear(&failover);
}

typedef struct lease_case {
	const char *name;
	uint32_t primary;
	uint64_t term;     /* term that it leads */
	uint64_t promised; /* what database 2 has promised */
	bool third;        /* the remaining database answers, in that term */
	/* what the record has; the record is read after the answers */
	uint64_t replaced, attempt;
	uint64_t named; /* key of the database that the order names */
	bool valid;     /* a lease begins */
} lease_case_t;

static const lease_case_t lease_cases[] = {
    {"no promise", 0, 1, 0, false, 0, 0, 0, true},
    {"the old primary", 0, 1, STANDING(1, 1), false, 0, 0, 0, false},
    {"the old primary, and the other database denies", 0, 1, STANDING(1, 1),
	true, 0, 0, 0, false},
    {"the new primary, and nothing is recorded", 1, 2, STANDING(1, 1), false, 0,
	0, 0, false},
    {"the new primary, and the order is recorded", 1, 2, STANDING(1, 1), false,
	1, STANDING(1, 1), 2, true},
    {"the same, and it is not known which database it names", 1, 2,
	STANDING(1, 1), false, 1, STANDING(1, 1), 0, true},
    {"the same, and it names another database", 1, 2, STANDING(1, 1), false, 1,
	STANDING(1, 1), 1, false},
    {"the same, whose replica is paused no more", 1, 2, 0, false, 1,
	STANDING(1, 1), 1, false},
    {"the new primary, and a later attempt has begun", 1, 2, STANDING(2, 2),
	false, 1, STANDING(1, 1), 2, false},
    {"the new primary, and a later ordinary attempt has begun", 1, 2,
	ORDINARY(1), false, 1, STANDING(1, 1), 2, false},
    {"an order that replaces the new one is recorded", 1, 2, STANDING(2, 2),
	false, 2, STANDING(2, 2), 2, false},
    {"an ordinary attempt above the term, recorded", 1, 2, 9, false, 1, 9, 2,
	false},
};

/*
 * Test on which primary a lease begins while database 2 is paused.
 */
static void
test_lease(gconstpointer data)
{
	const lease_case_t *c = data;
	const lease_duration_t durations = {MS(250), MS(2000), 1};
	db_view_t views[DATABASES] = {0};
	lease_t lease = {0};
	recorded_orders_t orders = {.replaced_term = c->replaced,
	    .attempt_term = c->attempt,
	    .named = c->named,
	    .read_us = MS(20)};
	int64_t at_ms;

	views[c->primary] = (db_view_t){
	    true, true, false, c->term, {c->term, 8}, MS(10), .term = c->term};
	views[2] = (db_view_t){
	    true, false, false, MAX(1, c->promised), {1, 7}, MS(10), .term = 1};
	views[c->primary].key = c->primary + 1;
	if (c->third)
		views[1 - c->primary] = (db_view_t){true, false, false, c->term,
		    {c->term, 8}, MS(10), .term = c->term};
	/* long enough for an attempt that is not recorded to have ended */
	for (at_ms = 20; at_ms < 10000; at_ms += 1000) {
		orders.read_us = MS(at_ms);
		lease_orders_read(&lease, &orders);
		lease_renew(&lease, views, DATABASES, c->primary, MS(at_ms),
		    &durations);
		views[c->primary].requested_us = views[2].requested_us =
		    MS(at_ms + 500);
		if (c->third)
			views[1 - c->primary].requested_us = MS(at_ms + 500);
	}
	g_assert_cmpint(lease.term == c->term, ==, c->valid);
}

typedef struct doubt_case {
	const char *name;
	uint64_t promised;  /* what database 2 has promised */
	int64_t stepped_ms; /* expected time at which the primary is asked to
			       step down; 0: never */
	bool store_away;
	bool released; /* the pause is to be ended */
	bool reread;   /* the record is read again and again */
} doubt_case_t;

static const doubt_case_t doubt_cases[] = {
    {"no promise", 0, 0, false, false},
    {"an ordinary promise", 9, 0, false, true},
    {"the same, and the store is away", 9, 0, true, false},
    {"a standing promise", STANDING(1, 1), 3500, false, false},
    {"the same, and the record is read again and again", STANDING(1, 1), 3500,
	false, false, true},
};

/*
 * Test that a primary hands over that a standing promise of a replica shows to
 * be replaced, perhaps, and that this promise is not withdrawn before.
 */
static void
test_doubt(gconstpointer data)
{
	const doubt_case_t *c = data;
	failover_actions_t actions;
	int64_t stepped_ms = 0, at_ms;
	bool released = false;
	failover_t failover;
	uint32_t i;

	failover_init(&failover, &test_limits, DATABASES, 1, 0);
	failover.limits.catch_up_us = MS(150);
	failover_set_store(&failover, c->store_away, 0);
	for (at_ms = 0; at_ms < 5000 && stepped_ms == 0; at_ms += 50) {
		recorded_orders_t recorded = {.read_us = MS(at_ms) + 1};

		if (c->reread)
			failover_orders_recorded(
			    &failover, &recorded, MS(at_ms));
		report(&failover, 0, true, 1, 0, MS(at_ms));
		report(&failover, 2, false, 1, c->promised, MS(at_ms));
		failover_tick(&failover, MS(at_ms), &actions);
		for (i = 0; i < actions.count; i++) {
			if (actions.list[i].kind == FAILOVER_FENCE &&
			    actions.list[i].database == 0)
				stepped_ms = at_ms;
			released |= actions.list[i].kind == FAILOVER_RELEASE;
		}
	}
	g_assert_cmpint(stepped_ms, ==, c->stepped_ms);
	g_assert_cmpint(released, ==, c->released);
	failover_clear(&failover);
}

typedef struct carried_case {
	const char *name;
	uint64_t promised; /* what another process has left at database 2 */
	uint64_t stored;  /* attempt of the order that the store has recorded */
	uint64_t attempt; /* expected number of the attempt */
	int32_t chosen;   /* database that is promoted */
	/* the promises of the attempt may be withdrawn without an order */
	bool unused;
} carried_case_t;

static const carried_case_t carried_cases[] = {
    {"nothing", 0, 0, 2, 1, false},
    {"an ordinary promise", 9, 0, 10, 1, false},
    {"a standing promise", STANDING(1, 1), 0, STANDING(2, 1), 2, false},
    {"the same, and the store has recorded its order", STANDING(1, 1),
	STANDING(1, 1), ORDINARY(1), 2, false},
};

/*
 * Test that an attempt carries on what a standing promise tells, and promotes
 * no log that the order may have given up.  Database 0 is silent; database 1
 * has the longer log.
 */
static void
test_carried(gconstpointer data)
{
	const carried_case_t *c = data;
	recorded_orders_t recorded = {.read_us = 1};
	failover_actions_t actions;
	failover_t failover;
	uint64_t attempt = 0;
	int32_t chosen = -1;
	int64_t at_ms;
	uint32_t i;

	if (c->stored != 0) {
		recorded.attempt_term = c->stored;
		recorded.replaced_term = 1;
		recorded.base = (position_t){1, 6};
	}
	failover_init(&failover, &test_limits, DATABASES, 1, 0);
	failover_orders_recorded(&failover, &recorded, 0);
	failover_set_store(&failover, false, c->stored);
	for (at_ms = 0; at_ms < 6000 && chosen < 0; at_ms += 10) {
		bool fenced = false;
		db_view_t views[] = {
		    {true, true, false, 1, {1, 9}, 0, .term = 1},
		    {true, false, false, 1, {1, 8}, MS(at_ms), .term = 1},
		    {true, false, false, MAX(1, c->promised), {1, 6}, MS(at_ms),
			.term = 1},
		};

		for (i = at_ms == 0 ? 0 : 1; i < DATABASES; i++) {
			views[i].promised = MAX(views[i].promised, attempt);
			failover_replace_view(
			    &failover, i, &views[i], MS(at_ms));
		}
		failover_tick(&failover, MS(at_ms), &actions);
		for (i = 0; i < actions.count; i++) {
			const failover_action_t *action = &actions.list[i];

			if (action->kind == FAILOVER_ASK_WITNESS)
				failover_witness_answered(&failover,
				    failover.witness_request, false, MS(at_ms));
			if (action->kind == FAILOVER_FENCE) {
				attempt = action->term;
				fenced = true;
			}
			if (action->kind == FAILOVER_PROMOTE)
				chosen = (int32_t)action->database;
		}
		for (i = 1; fenced && i < DATABASES; i++) {
			views[i].promised = attempt;
			failover_fence_answered(
			    &failover, i, attempt, true, &views[i], MS(at_ms));
		}
		failover_leases_revoked(&failover, attempt, true, MS(at_ms));
	}
	g_assert_cmpuint(attempt, ==, c->attempt);
	g_assert_cmpint(chosen, ==, c->chosen);
	g_assert_cmpint(
	    failover_promise_void(&failover, attempt), ==, c->unused);
	failover_clear(&failover);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* run every case */
	CASES("/standing/number", number_cases, test_number);
	CASES("/standing/order", order_cases, test_order);
	CASES("/standing/lease", lease_cases, test_lease);
	CASES("/standing/doubt", doubt_cases, test_doubt);
	CASES("/standing/carried", carried_cases, test_carried);
	return g_test_run();
}
