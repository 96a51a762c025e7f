#include "../src/decide/failover_choice.h"
#include "attempt.h"
#include "cases.h"

#include <string.h>

/*
 * Tests of an attempt to replace a primary: when its order to promote is
 * dropped, what other daemons report, and when pauses are ended.  Database 0 is
 * the primary, in term 1.
 */

/*
 * Begin an attempt: the primary refuses connections.  Returns the term that the
 * replicas are asked to promise.
 */
static uint64_t
begin_attempt(failover_t *failover, int64_t now_us)
{
	failover_actions_t actions;
	uint64_t term = 0;
	uint32_t i;

	failover_tick(failover, now_us, &actions);
	failover_connection_refused(failover, 0, now_us);
	failover_connection_refused(failover, 0, now_us);
	failover_tick(failover, now_us, &actions);
	failover_witness_answered(
	    failover, failover->witness_request, false, now_us);
	failover_tick(failover, now_us, &actions);
	for (i = 0; i < actions.count; i++) {
		if (actions.list[i].kind == FAILOVER_FENCE)
			term = actions.list[i].term;
	}
	return term;
}

/*
 * Replace the primary of a term by one of the two databases with these ends of
 * their logs, which both promise a term.  Returns the database that is ordered
 * to become primary; 0: none.
 */
static uint32_t
promoted_in_attempt(
    failover_t *failover, uint64_t primary_term, const uint64_t logs[2][2])
{
	failover_actions_t actions;
	uint32_t i, chosen = 0;
	uint64_t term;

	report(failover, 0, true, primary_term, 0, 0);
	for (i = 1; i < DATABASES; i++)
		report(failover, i, false, logs[i - 1][0], 0, 0);
	term = begin_attempt(failover, 0);
	for (i = 1; i < DATABASES; i++) {
		position_t end = {logs[i - 1][0], logs[i - 1][1]};
		db_view_t view = {
		    true, false, false, term, end, 0, .term = end.term};

		failover_fence_answered(failover, i, term, true, &view, 0);
	}
	failover_tick(failover, MS(20), &actions);
	failover_leases_revoked(failover, term, true, MS(20));
	failover_tick(failover, MS(200), &actions);
	for (i = 0; i < actions.count; i++) {
		if (actions.list[i].kind == FAILOVER_PROMOTE)
			chosen = actions.list[i].database;
	}
	return chosen;
}

/*
 * Have both replicas promise the term of an attempt.
 */
static void
grant(failover_t *failover, uint64_t term, int64_t now_us)
{
	db_view_t view = {true, false, false, term, {1, 8}, now_us, .term = 1};

	failover_fence_answered(failover, 1, term, true, &view, now_us);
	failover_fence_answered(failover, 2, term, true, &view, now_us);
}

/*
 * Begin an attempt at time 0 that both replicas have granted.  The primary
 * reports primary_term, the replicas term 1.  Returns the term of the attempt.
 */
static uint64_t
begin_granted_attempt(failover_t *failover, uint64_t primary_term)
{
	uint64_t term;
	uint32_t i;

	failover_init(failover, &test_limits, DATABASES, 1, 0);
	for (i = 0; i < DATABASES; i++)
		report(failover, i, i == 0, i == 0 ? primary_term : 1, 0, 0);
	term = begin_attempt(failover, 0);
	grant(failover, term, 0);
	return term;
}

typedef struct attempt_case {
	const char *name;
	int64_t revoked_ms;  /* time at which all daemons have confirmed */
	int64_t replaced_ms; /* time at which database 2 leads a newer term */
	/* time at which database 2 follows the newer term of the promoted one,
	   which does not report it yet */
	int64_t followed_ms;
	/* failover_tick() is not called between these times */
	int64_t paused_ms;
	int64_t resumed_ms;
	int64_t promoted_ms;  /* expected time of the order; 0: none */
	int64_t cancelled_ms; /* expected time of its cancellation; 0: none */
} attempt_case_t;

static const attempt_case_t attempt_cases[] = {
    {"ordered, and cancelled when it shows no effect", 10, 0, 0, 0, 0, 150,
	1650},
    {"another promotion takes effect before the order", 10, 140, 0, 0, 0, 0, 0},
    {"another promotion takes effect after the order", 10, 200, 0, 0, 0, 150,
	200},
    {"its effect shows at another database first", 10, 0, 300, 0, 0, 150, 300},
    {"a short pause of the process", 10, 0, 0, 100, 300, 300, 1800},
    {"a long pause before the order", 10, 0, 0, 100, 900, 0, 0},
    {"the daemons confirm during a long pause", 500, 0, 0, 20, 900, 0, 0},
    {"a long pause after the order", 10, 0, 0, 200, 2600, 150, 2600},
};

/*
 * Test when an order to promote is given and when it is taken back.
 */
static void
test_attempt(gconstpointer data)
{
	const attempt_case_t *c = data;
	int64_t promoted_ms = 0, cancelled_ms = 0, at_ms;
	failover_actions_t actions;
	failover_t failover;
	uint64_t term;
	uint32_t i;

	term = begin_granted_attempt(&failover, 1);
	for (at_ms = 0; at_ms < 2700; at_ms += 10) {
		if (at_ms == c->revoked_ms)
			failover_leases_revoked(
			    &failover, term, true, MS(at_ms));
		if (c->replaced_ms != 0 && at_ms == c->replaced_ms)
			report(&failover, 2, true, 2, 0, MS(at_ms));
		if (c->followed_ms != 0 && at_ms == c->followed_ms)
			report(&failover, 2, false, 2, 0, MS(at_ms));
		if (at_ms > c->paused_ms && at_ms < c->resumed_ms)
			continue;
		failover_tick(&failover, MS(at_ms), &actions);
		for (i = 0; i < actions.count; i++) {
			if (actions.list[i].kind == FAILOVER_PROMOTE &&
			    actions.list[i].term == term)
				promoted_ms = at_ms;
			if (actions.list[i].kind == FAILOVER_CANCEL_PROMOTION)
				cancelled_ms = at_ms;
		}
		/* the attempt goes on until the promoted database answers */
		if (c->followed_ms != 0 && at_ms >= 150 && at_ms < 1650)
			g_assert_cmpint(failover.state, ==, FAILOVER_PROMOTING);
	}
	g_assert_cmpint(promoted_ms, ==, c->promoted_ms);
	g_assert_cmpint(cancelled_ms, ==, c->cancelled_ms);
	failover_clear(&failover);
}

typedef struct reported_case {
	const char *name;
	uint64_t term;     /* term that another daemon reports */
	bool ordered;      /* the attempt leads to an order */
	uint64_t attempts; /* highest term of an attempt */
} reported_case_t;

static const reported_case_t reported_cases[] = {
    {"the primary's own term", 1, true, 2},
    {"the term of the attempt", 2, false, 3},
    {"a newer term", 7, false, 8},
};

/*
 * Test that an attempt is given up, and repeated in a newer term, when another
 * daemon knows a primary in its term.
 */
static void
test_reported(gconstpointer data)
{
	const reported_case_t *c = data;
	failover_actions_t actions;
	bool ordered = false;
	failover_t failover;
	int64_t at_ms;
	uint64_t term;
	uint32_t i;

	term = begin_granted_attempt(&failover, 1);
	for (at_ms = 10; at_ms < 4000 && !ordered; at_ms += 10) {
		for (i = 1; i < DATABASES; i++)
			failover_alive(&failover, i, MS(at_ms));
		if (at_ms == 20) {
			failover_leases_revoked(
			    &failover, term, true, MS(at_ms));
			failover_term_reported(&failover, c->term, MS(at_ms));
		}
		failover_alive(&failover, 1, MS(at_ms));
		failover_alive(&failover, 2, MS(at_ms));
		failover_tick(&failover, MS(at_ms), &actions);
		for (i = 0; i < actions.count; i++) {
			ordered |= actions.list[i].kind == FAILOVER_PROMOTE;
			if (actions.list[i].kind == FAILOVER_FENCE)
				term = actions.list[i].term;
		}
	}
	g_assert_cmpint(ordered, ==, c->ordered);
	g_assert_cmpuint(term, ==, c->attempts);
	failover_clear(&failover);
}

typedef struct stray_case {
	const char *name;
	uint64_t term;       /* term that the paused replica follows */
	bool all;            /* all daemons confirm the term */
	bool most;           /* a majority of them does */
	bool announced;      /* the daemons are told */
	int64_t released_ms; /* expected time of the release; 0: never */
	/* releases that are not carried out, since the role is not confirmed */
	uint32_t refused;
	bool revoked; /* they confirm a revocation of that number instead */
} stray_case_t;

static const stray_case_t stray_cases[] = {
    {"a replica that follows the primary", 3, false, false, false, 550},
    {"one that does not yet, all daemons confirm", 2, true, true, true, 600},
    {"the same, the coordinator may release a moment later", 2, true, true,
	true, 700, 2},
    {"the same, once the daemons' answers are out of date", 2, true, true, true,
	1150, 10},
    {"one that does not yet, all daemons confirm a revocation", 2, true, true,
	true, 0, 0, true},
    {"one that does not yet, most daemons confirm", 2, false, true, true, 3600},
    {"one that does not yet, no daemon confirms", 2, false, false, true, 0},
};

/*
 * Test that the daemons know of the primary's term before the pause of a
 * replica ends that may follow the previous primary.  Daemons confirm 50 ms
 * after they were told.
 */
static void
test_stray_pause(gconstpointer data)
{
	const stray_case_t *c = data;
	int64_t released_ms = 0, announced_ms = -1, at_ms;
	failover_actions_t actions;
	bool announced = false;
	failover_t failover;
	uint32_t i, refused = 0;

	failover_init(&failover, &test_limits, DATABASES, 1, 0);
	for (at_ms = 0; at_ms < 5000 && released_ms == 0; at_ms += 50) {
		report(&failover, 0, true, 3, 0, MS(at_ms));
		report(&failover, 1, false, 3, 0, MS(at_ms));
		report(&failover, 2, false, c->term, 20, MS(at_ms));
		if (announced_ms >= 0 && c->most && c->revoked)
			failover_leases_revoked(
			    &failover, 3, c->all, MS(at_ms));
		else if (announced_ms >= 0 && c->most)
			failover_notice_confirmed(
			    &failover, 3, c->all, MS(at_ms));
		announced_ms = -1;
		failover.release_allowed = refused == c->refused;
		failover_tick(&failover, MS(at_ms), &actions);
		for (i = 0; i < actions.count; i++) {
			if (actions.list[i].kind == FAILOVER_ANNOUNCE_TERM) {
				g_assert_cmpuint(actions.list[i].term, ==, 3);
				announced_ms = at_ms;
				announced = true;
			} else if (actions.list[i].kind == FAILOVER_RELEASE &&
			    refused++ == c->refused) {
				released_ms = at_ms;
			}
		}
	}
	g_assert_cmpint(announced, ==, c->announced);
	g_assert_cmpint(released_ms, ==, c->released_ms);
	failover_clear(&failover);
}

typedef struct abandoned_case {
	const char *name;
	uint64_t newest_term; /* term that database 0 reports */
	bool released;        /* the pauses of the attempt are ended */
} abandoned_case_t;

static const abandoned_case_t abandoned_cases[] = {
    {"the replicas follow the newest term", 1, true},
    {"the replicas have not reached the newest term", 2, false},
};

/*
 * Test that a failed attempt ends the pauses of only those replicas that have
 * reached the newest term: the others keep the previous primary from going on.
 */
static void
test_abandoned(gconstpointer data)
{
	const abandoned_case_t *c = data;
	failover_actions_t actions;
	bool released = false;
	failover_t failover;
	int64_t at_ms;
	uint32_t i;

	begin_granted_attempt(&failover, c->newest_term);
	/* no daemon confirms that it revoked its leases */
	for (at_ms = 10; at_ms < 2500; at_ms += 10) {
		failover_tick(&failover, MS(at_ms), &actions);
		for (i = 0; i < actions.count; i++)
			released |= actions.list[i].kind == FAILOVER_RELEASE;
	}
	g_assert_cmpint(released, ==, c->released);
	failover_clear(&failover);
}

typedef struct block_case {
	const char *name;
	uint64_t revoked_below; /* term of the second revocation */
	bool begun;             /* a primary leads that term */
	bool renewed;           /* a lease begins in term 2 */
} block_case_t;

static const block_case_t block_cases[] = {
    {"a revocation of a lower term keeps the block", 2, false, false},
    {"the same, of a term that has begun", 2, true, false},
    {"a newer term has begun", 3, true, false},
};

/*
 * Test that no lease begins in term 2 on answers to requests sent before a
 * revocation below term 20, whatever a later revocation says.
 */
static void
test_block(gconstpointer data)
{
	const block_case_t *c = data;
	const lease_duration_t durations = {MS(250), MS(2000), 1};
	db_view_t views[DATABASES] = {
	    {true, true, false, 2, {2, 1}, MS(2600), .term = 2},
	    {true, false, false, 2, {2, 1}, MS(400), .term = 2},
	    {true, false, false, 20, {1, 1}, MS(100), .term = 1},
	};
	lease_t lease = {.term = 1, .orders.read_us = 1};

	lease_revoke(&lease, 20, MS(500));
	lease_revoke(&lease, c->revoked_below, MS(600));
	if (c->begun)
		lease_term_begun(&lease, c->revoked_below);
	g_assert_cmpint(
	    lease_renew(&lease, views, DATABASES, 0, MS(2700), &durations), ==,
	    c->renewed);
}

typedef struct choice_case {
	const char *name;
	recorded_orders_t recorded;
	uint64_t reported_term; /* newest term in which a primary is known */
	uint64_t logs[2][2];    /* term and index at databases 1 and 2 */
	uint32_t chosen;        /* 0: none */
	uint32_t chosen_sync;   /* the same where a replica holds each commit */
} choice_case_t;

static const choice_case_t choice_cases[] = {
    {"the longer log", {0}, 0, {{1, 68}, {1, 56}}, 1, 1},
    {"entries that a newer term has given up", {1, 2, 0, {1, 56}}, 2,
	{{1, 68}, {1, 56}}, 2, 2},
    {"the newer term is not known to have begun", {1, 2, 0, {1, 56}}, 1,
	{{1, 68}, {1, 56}}, 2, 1},
    {"both logs end before the newer term began", {1, 2, 0, {1, 70}}, 2,
	{{1, 68}, {1, 56}}, 1, 1},
    {"both have given up entries", {1, 2, 0, {1, 50}}, 2, {{1, 68}, {1, 56}}, 0,
	1},
    {"both have, if the newer term has begun", {1, 2, 0, {1, 50}}, 1,
	{{1, 68}, {1, 56}}, 0, 1},
    {"an order without the end of a log", {1, 2, 0, {0, 0}}, 2,
	{{1, 68}, {1, 56}}, 2, 1},
    {"the same, and its term is not known to have begun", {1, 2, 0, {0, 0}}, 1,
	{{1, 57}, {1, 30}}, 2, 1},
    {"the same, and equal logs", {1, 2, 0, {0, 0}}, 1, {{1, 57}, {1, 57}}, 1,
	1},
    {"the same, and one has followed the newer term", {1, 2, 0, {0, 0}}, 2,
	{{1, 30}, {2, 25}}, 2, 2},
    {"a term that has begun by an order that is not known", {0}, 2,
	{{1, 57}, {1, 30}}, 2, 1},
    {"the same, after one that is", {1, 2, 0, {1, 61}}, 3, {{1, 57}, {1, 30}},
	2, 1},
    {"the same, and one has followed the first", {1, 2, 0, {1, 61}}, 3,
	{{2, 70}, {1, 57}}, 2, 1},
    {"the same, with an index that both have used", {1, 2, 0, {1, 61}}, 3,
	{{2, 70}, {1, 73}}, 0, 1},
};

/*
 * Check which database is promoted, by the ends of their logs: entries that a
 * newer term has given up, or may have, do not come back.
 */
static void
check_choice(const choice_case_t *c, uint32_t sync_replicas, uint32_t expected)
{
	failover_t failover;

	failover_init(&failover, &test_limits, DATABASES, 1, 0);
	failover.limits.sync_replicas = sync_replicas;
	failover_orders_recorded(&failover, &c->recorded, 0);
	failover_term_reported(&failover, c->reported_term, 0);
	g_assert_cmpuint(promoted_in_attempt(&failover,
			     MAX(c->logs[0][0], c->logs[1][0]), c->logs),
	    ==, expected);
	failover_clear(&failover);
}

/*
 * Test that for groups with and without synchronous replicas.  Where a replica
 * holds each commit, no acknowledged one is lost to avoid that.
 */
static void
test_choice(gconstpointer data)
{
	const choice_case_t *c = data;

	check_choice(c, 0, c->chosen);
	check_choice(c, 1, c->chosen_sync);
}

/* What a database of a group with one that is leaving reports. */
typedef struct leaving_report {
	bool leaving;
	uint64_t term; /* term of the end of its log; 0: it does not answer */
	uint64_t index;
} leaving_report_t;

typedef struct leaving_case {
	const char *name;
	recorded_orders_t recorded;
	uint32_t count;
	leaving_report_t replicas[DATABASES]; /* database 0 is the primary */
	uint32_t chosen;
	uint32_t chosen_sync; /* the same where a replica holds each commit */
	uint32_t members;     /* number of recorded ones; 0: none */
	bool order_open;      /* an order to database 1 is open */
	bool most;            /* most daemons confirm, not all */
} leaving_case_t;

static const leaving_case_t leaving_cases[] = {
    {"equal logs", {0}, 3, {{true, 1, 8}, {false, 1, 8}}, 2, 2},
    {"one that was replaced has the longest log", {1, 2, 0, {1, 5}}, 4,
	{{true, 2, 68}, {false, 2, 56}, {false, 2, 56}}, 2, 1},
    {"the same, and the others differ", {1, 2, 0, {1, 5}}, 4,
	{{true, 2, 68}, {false, 2, 50}, {false, 2, 56}}, 3, 1},
    {"the same, and only one other answers", {1, 2, 0, {1, 5}}, 3,
	{{true, 2, 68}, {false, 2, 56}}, 1, 1},
    {"two of the others, of five recorded members", {0}, 4,
	{{true, 1, 68}, {false, 1, 56}, {false, 1, 56}}, 1, 0, 5},
    {"the others have entries that were given up", {1, 2, 0, {1, 50}}, 4,
	{{true, 2, 55}, {false, 1, 56}, {false, 1, 56}}, 1, 1},
    {"one of the others has", {1, 2, 0, {1, 50}}, 4,
	{{true, 2, 55}, {false, 1, 56}, {false, 1, 50}}, 1, 1},
    {"an order to it is open, and all daemons know", {0}, 4,
	{{true, 1, 68}, {false, 1, 56}, {false, 1, 56}}, 2, 1, 0, true},
    {"an order to it is open, and most daemons know", {0}, 4,
	{{true, 1, 68}, {false, 1, 56}, {false, 1, 56}}, 1, 1, 0, true, true},
    {"all are leaving", {0}, 4, {{true, 1, 50}, {true, 1, 68}, {true, 1, 56}},
	2, 2},
};

/*
 * Check which database is promoted in a group with some that are leaving, once
 * all that answer have promised the term.
 */
static void
check_leaving(const leaving_case_t *c, uint32_t sync_replicas, uint32_t chosen)
{
	failover_actions_t actions;
	failover_t failover;
	uint32_t i, promoted = 0;
	int64_t at_ms;
	uint64_t term;

	failover_init(&failover, &test_limits, c->count, 1, 0);
	failover.limits.sync_replicas = sync_replicas;
	failover.members = c->members;
	failover.members_absent =
	    c->members > c->count ? c->members - c->count : 0;
	failover_orders_recorded(&failover, &c->recorded, 0);
	report(&failover, 0, true, c->recorded.replaced_term + 1, 0, 0);
	for (i = 1; i < c->count; i++)
		report(&failover, i, false, c->replicas[i - 1].term, 0, 0);
	term = begin_attempt(&failover, 0);
	for (i = 1; i < c->count; i++) {
		const leaving_report_t *replica = &c->replicas[i - 1];
		db_view_t view = {true, false, replica->leaving, term,
		    {replica->term, replica->index}, 0, .term = replica->term,
		    .order_open = c->order_open && i == 1, .member = true};

		if (replica->term == 0)
			continue;
		failover_replace_view(&failover, i, &view, 0);
		failover_fence_answered(&failover, i, term, true, &view, 0);
	}
	for (at_ms = 20; at_ms <= 1900; at_ms += 20) {
		failover_tick(&failover, MS(at_ms), &actions);
		for (i = 0; i < actions.count; i++) {
			if (actions.list[i].kind == FAILOVER_PROMOTE)
				promoted = actions.list[i].database;
		}
		if (at_ms == 20)
			failover_leases_revoked(
			    &failover, term, !c->most, MS(20));
	}
	g_assert_cmpuint(promoted, ==, chosen);
	failover_clear(&failover);
}

/*
 * Test that a database that is leaving is promoted only if no other clean log
 * can be had; where a replica holds each commit, the best log counts alone.
 */
static void
test_leaving(gconstpointer data)
{
	const leaving_case_t *c = data;

	check_leaving(c, 0, c->chosen);
	check_leaving(c, 1, c->chosen_sync);
}

typedef struct needed_case {
	const char *name;
	uint32_t sync_replicas;
	uint32_t listed;
	uint32_t members;
	uint32_t ended;
	uint32_t absent;
	uint32_t needed;
} needed_case_t;

static const needed_case_t needed_cases[] = {
    {"all are listed", 1, 4, 4, 0, 0, 3},
    {"one is not", 1, 3, 4, 0, 1, 3},
    {"one has ended, a later start is listed", 1, 4, 4, 1, 0, 3},
    {"one has ended, a later start is not listed", 1, 3, 4, 1, 1, 3},
    {"most have ended, and one later start is listed", 1, 3, 4, 2, 1, 3},
    {"one has ended, and another one is listed", 1, 4, 4, 1, 1, 4},
    {"none are recorded", 1, 4, 0, 0, 0, 3},
    {"commits need no replica", 0, 3, 4, 1, 1, 2},
};

/*
 * Test how many promises an attempt needs, so that one of them holds each
 * commit.  The later start of a member that has ended holds commits also before
 * it is listed.
 */
static void
test_needed(gconstpointer data)
{
	const needed_case_t *c = data;
	lease_t lease = {0};
	failover_t failover;

	failover_init(&failover, &test_limits, c->listed, 1, 0);
	failover.limits.sync_replicas = c->sync_replicas;
	failover_set_members(
	    &failover, &lease, c->members, c->ended, c->absent, 0);
	g_assert_cmpuint(grants_needed(&failover), ==, c->needed);
	failover_clear(&failover);
}

#define CANDIDATE_ORDERS 2

/* What a database reports at a time. */
typedef struct candidate_report {
	uint64_t term; /* that it leads or follows; 0: it does not answer */
	position_t end;
} candidate_report_t;

typedef struct candidate_case {
	const char *name;
	earlier_order_t orders[CANDIDATE_ORDERS];
	/* of the databases before and from 1000 ms on; database 0 is the
	   primary */
	candidate_report_t before[DATABASES];
	candidate_report_t after[DATABASES];
	bool fenced_before; /* a promise is asked for in that time */
	bool fenced_after;
	int32_t chosen; /* by 8000 ms; -1: none */
} candidate_case_t;

static const candidate_case_t candidate_cases[] = {
    {"no order", {{0}}, {{1, {1, 57}}, {1, {1, 57}}, {1, {1, 50}}},
	{{0}, {1, {1, 57}}, {1, {1, 50}}}, false, true, 1},
    {"all others have entries that the primary's term gave up",
	{{1, {1, 61}}, {2, {1, 61}}},
	{{3, {3, 62}}, {2, {2, 124}}, {1, {1, 73}}},
	{{0}, {2, {2, 124}}, {1, {1, 73}}}, false, false, -1},
    {"the same, and one has followed it since", {{1, {1, 61}}, {2, {1, 61}}},
	{{3, {3, 62}}, {2, {2, 124}}, {1, {1, 73}}},
	{{0}, {3, {1, 61}}, {1, {1, 73}}}, false, true, 1},
    {"the same, but has not been rolled back", {{1, {1, 61}}, {2, {1, 61}}},
	{{3, {3, 62}}, {2, {2, 124}}, {1, {1, 73}}},
	{{0}, {3, {2, 124}}, {1, {1, 73}}}, false, false, -1},
    {"only one that lacks the primary's term, without given up entries",
	{{1, {1, 61}}, {2, {1, 61}}},
	{{3, {3, 62}}, {2, {2, 124}}, {1, {1, 60}}},
	{{0}, {2, {2, 124}}, {1, {1, 60}}}, false, true, 2},
    {"an order without the end of a log, and its successor is silent",
	{{1, {0, 0}}}, {{1, {1, 57}}, {0}, {1, {1, 30}}},
	{{0}, {1, {1, 57}}, {1, {1, 30}}}, false, true, 2},
    {"a term that one had followed, which is silent", {{0}},
	{{1, {1, 57}}, {2, {2, 49}}, {1, {1, 30}}},
	{{1, {1, 57}}, {0}, {1, {1, 30}}}, true, true, 2},
};

/*
 * Test that no promise is asked for while no database that answers can take
 * over, and that an attempt begins once one can.
 */
static void
test_candidate(gconstpointer data)
{
	const candidate_case_t *c = data;
	bool fenced_before = false, fenced_after = false;
	failover_actions_t actions;
	failover_t failover;
	int32_t chosen = -1;
	int64_t at_ms;
	uint64_t term = 0;
	uint32_t i;

	failover_init(&failover, &test_limits, DATABASES, 1, 0);
	for (i = 0; i < CANDIDATE_ORDERS; i++) {
		recorded_orders_t recorded = {c->orders[i].replaced_term, i + 2,
		    MS(i + 1), c->orders[i].base};

		if (recorded.replaced_term != 0)
			failover_orders_recorded(&failover, &recorded, 0);
	}
	for (at_ms = 0; at_ms < 8000; at_ms += 10) {
		for (i = 0; i < DATABASES; i++) {
			const candidate_report_t *report =
			    at_ms < 1000 ? &c->before[i] : &c->after[i];
			uint64_t promised = MAX(report->term,
			    failover.granted[i] ? failover.term : 0);
			db_view_t view = {true, i == 0, false, promised,
			    report->end, MS(at_ms), .term = report->term};

			if (report->term != 0)
				failover_replace_view(
				    &failover, i, &view, MS(at_ms));
		}
		failover_tick(&failover, MS(at_ms), &actions);
		for (i = 0; i < actions.count; i++) {
			const failover_action_t *action = &actions.list[i];
			const candidate_report_t *report =
			    &c->after[action->database];
			db_view_t view = {true, false, false, action->term,
			    report->end, MS(at_ms), .term = report->term};

			if (action->kind == FAILOVER_PROMOTE)
				chosen = (int32_t)action->database;
			if (action->kind == FAILOVER_ASK_WITNESS)
				failover_witness_answered(&failover,
				    failover.witness_request, false, MS(at_ms));
			if (action->kind == FAILOVER_REVOKE_LEASES)
				failover_leases_revoked(
				    &failover, action->term, true, MS(at_ms));
			if (action->kind != FAILOVER_FENCE)
				continue;
			fenced_before |= at_ms < 1000;
			fenced_after |= at_ms >= 1000;
			term = action->term;
			if (at_ms >= 1000 && report->term != 0)
				failover_fence_answered(&failover,
				    action->database, term, true, &view,
				    MS(at_ms));
		}
	}
	g_assert_cmpint(fenced_before, ==, c->fenced_before);
	g_assert_cmpint(fenced_after, ==, c->fenced_after);
	g_assert_cmpint(chosen, ==, c->chosen);
	failover_clear(&failover);
}

typedef struct unlisted_case {
	const char *name;
	uint32_t sync_replicas;
	uint64_t unlisted_index; /* end of the log of database 2 */
	bool promoted;           /* database 1, with 56 entries */
} unlisted_case_t;

static const unlisted_case_t unlisted_cases[] = {
    {"its log ends where that of the listed one does", 1, 56, true},
    {"it alone may hold acknowledged commits", 1, 68, false},
    {"commits are acknowledged without it", 0, 68, true},
};

/*
 * Test that the commits that only a database without an entry holds are not
 * lost by the promotion of another one.
 */
static void
test_unlisted(gconstpointer data)
{
	const unlisted_case_t *c = data;
	failover_actions_t actions;
	bool promoted = false;
	failover_t failover;
	uint64_t term;
	uint32_t i;

	failover_init(&failover, &test_limits, DATABASES, 1, 0);
	failover.limits.sync_replicas = c->sync_replicas;
	for (i = 0; i < DATABASES; i++)
		report(&failover, i, i == 0, 1, 0, 0);
	term = begin_attempt(&failover, 0);
	for (i = 1; i < DATABASES; i++) {
		db_view_t view = {true, false, false, term,
		    {1, i == 2 ? c->unlisted_index : 56}, 0, .term = 1,
		    .unlisted = i == 2};

		failover_replace_view(&failover, i, &view, 0);
		failover_fence_answered(&failover, i, term, true, &view, 0);
	}
	failover_tick(&failover, MS(20), &actions);
	failover_leases_revoked(&failover, term, true, MS(20));
	failover_tick(&failover, MS(200), &actions);
	for (i = 0; i < actions.count; i++)
		promoted |= actions.list[i].kind == FAILOVER_PROMOTE &&
		    actions.list[i].database == 1;
	g_assert_cmpint(promoted, ==, c->promoted);
	failover_clear(&failover);
}

typedef struct second_order_case {
	const char *name;
	recorded_orders_t second; /* recorded after {1, 2, 10, {1, 56}} */
	uint64_t term;            /* expected term of the next attempt */
	uint32_t chosen;
} second_order_case_t;

static const second_order_case_t second_order_cases[] = {
    {"none", {1, 2, 10, {1, 56}}, 3, 2},
    {"an order without effect", {2, 3, 20, {1, 56}}, 4, 2},
    {"an answer of the store that is older than the last", {0, 0, 5, {0, 0}}, 3,
	2},
};

/*
 * Test that what was recorded of an order that took effect still counts after
 * another one: entries that it gave up do not come back, and its term is not
 * used again.
 */
static void
test_second_order(gconstpointer data)
{
	const second_order_case_t *c = data;
	const recorded_orders_t first = {1, 2, 10, {1, 56}};
	failover_actions_t actions;
	failover_t failover;
	uint32_t i, chosen = 0;
	uint64_t term;

	failover_init(&failover, &test_limits, DATABASES, 1, 0);
	failover_orders_recorded(&failover, &first, 0);
	failover_term_reported(&failover, 2, 0);
	failover_orders_recorded(&failover, &c->second, 0);
	for (i = 0; i < DATABASES; i++)
		report(&failover, i, i == 0, 1, 0, 0);
	term = begin_attempt(&failover, 0);
	g_assert_cmpuint(term, ==, c->term);
	for (i = 1; i < DATABASES; i++) {
		db_view_t view = {true, false, false, term,
		    {1, i == 1 ? 68 : 56}, 0, .term = 1};

		failover_fence_answered(&failover, i, term, true, &view, 0);
	}
	failover_tick(&failover, MS(20), &actions);
	failover_leases_revoked(&failover, term, true, MS(20));
	failover_tick(&failover, MS(200), &actions);
	for (i = 0; i < actions.count; i++) {
		if (actions.list[i].kind == FAILOVER_PROMOTE)
			chosen = actions.list[i].database;
	}
	g_assert_cmpuint(chosen, ==, c->chosen);
	failover_clear(&failover);
}

#define ORDERS_MAX 12

typedef struct history_case {
	const char *name;
	uint64_t newest_term; /* of database 0 */
	uint64_t logs[2][2];  /* term and index at databases 1 and 2 */
	uint32_t chosen;
	uint32_t chosen_sync; /* the same where a replica holds each commit */
	/* orders, each with the term of the primary to be replaced and the end
	   of the log of the database that it names */
	struct {
		uint64_t replaced_term;
		position_t base;
	} orders[ORDERS_MAX];
} history_case_t;

static const history_case_t history_cases[] = {
    {"a log without given up entries that lacks acknowledged commits", 2,
	{{1, 68}, {1, 50}}, 2, 1, {{1, {1, 56}}}},
    {"one that lacks those of a later term", 3, {{2, 75}, {1, 56}}, 2, 1,
	{{1, {1, 56}}, {2, {2, 70}}}},
    {"two orders, the first took effect", 2, {{1, 68}, {1, 56}}, 2, 2,
	{{1, {1, 56}}, {2, {1, 56}}}},
    {"two orders that took effect", 3, {{1, 68}, {1, 56}}, 2, 2,
	{{1, {1, 56}}, {2, {2, 70}}}},
    {"the same, no log has given up entries", 3, {{1, 56}, {1, 40}}, 1, 1,
	{{1, {1, 56}}, {2, {2, 70}}}},
    {"three changes, entries that the first gave up", 4, {{1, 68}, {1, 56}}, 2,
	2, {{1, {1, 56}}, {2, {2, 70}}, {3, {3, 90}}}},
    {"three changes, entries that the second gave up", 4, {{2, 75}, {2, 70}}, 2,
	2, {{1, {1, 56}}, {2, {2, 70}}, {3, {3, 90}}}},
    {"a longer log that ends in a newer term", 4, {{1, 56}, {2, 70}}, 2, 2,
	{{1, {1, 56}}, {2, {2, 70}}, {3, {3, 90}}}},
    {"the last began from the log of an older term", 3, {{2, 50}, {1, 56}}, 2,
	2, {{1, {1, 40}}, {2, {1, 56}}}},
    {"the same, with entries that it took up again", 3, {{1, 56}, {1, 40}}, 1,
	1, {{1, {1, 40}}, {2, {1, 56}}}},
    {"two orders to replace one primary, the last counts", 2,
	{{1, 68}, {1, 56}}, 1, 1, {{1, {1, 56}}, {1, {1, 68}}}},
    {"the same, with the shorter log last", 2, {{1, 68}, {1, 56}}, 2, 2,
	{{1, {1, 68}}, {1, {1, 56}}}},
    {"an order without the end of a log in between", 3, {{1, 68}, {1, 56}}, 2,
	2, {{1, {1, 56}}, {2, {0, 0}}}},
    {"more orders than are kept, a log of the last terms", 11,
	{{8, 85}, {8, 80}}, 2, 2,
	{{1, {1, 10}}, {2, {2, 20}}, {3, {3, 30}}, {4, {4, 40}}, {5, {5, 50}},
	    {6, {6, 60}}, {7, {7, 70}}, {8, {8, 80}}, {9, {9, 90}},
	    {10, {10, 100}}}},
};

/*
 * Check which database is promoted after several orders, some of which took
 * effect: entries that any of them gave up do not come back.  Where commits are
 * synchronous, none that was acknowledged is lost to avoid that.
 */
static void
check_history(
    const history_case_t *c, uint32_t sync_replicas, uint32_t expected)
{
	failover_t failover;
	uint32_t i;

	failover_init(&failover, &test_limits, DATABASES, 1, 0);
	failover.limits.sync_replicas = sync_replicas;
	for (i = 0; i < ORDERS_MAX && c->orders[i].replaced_term != 0; i++) {
		recorded_orders_t recorded = {c->orders[i].replaced_term, i + 2,
		    MS(i + 1), c->orders[i].base};

		failover_orders_recorded(&failover, &recorded, 0);
	}
	g_assert_cmpuint(
	    promoted_in_attempt(&failover, c->newest_term, c->logs), ==,
	    expected);
	failover_clear(&failover);
}

/*
 * Test that for groups with and without synchronous replicas.
 */
static void
test_history(gconstpointer data)
{
	const history_case_t *c = data;

	check_history(c, 0, c->chosen);
	check_history(c, 1, c->chosen_sync);
}

typedef struct unaware_case {
	const char *name;
	int64_t primary_asked_ms; /* last status request to the old primary */
	int64_t replica_asked_ms; /* last one to a replica */
} unaware_case_t;

static const unaware_case_t unaware_cases[] = {
    {"the replica was asked before the primary stepped down", 900, 900},
    {"the replica was asked since", 900, 2700},
};

/*
 * Test that the successor in a handover starts after the lease of a daemon has
 * ended that was not told of it: the old primary, which steps down at 1000 ms,
 * still serves reads.
 */
static void
test_unaware(gconstpointer data)
{
	const unaware_case_t *c = data;
	const lease_duration_t durations = {MS(250), MS(2000), 1};
	int64_t promoted_ms = 0, at_ms;
	failover_actions_t actions;
	failover_t failover;
	lease_t lease = {.orders.read_us = 1};
	db_view_t views[DATABASES];
	uint32_t i;

	failover_init(&failover, &test_limits, DATABASES, 1, 0);
	failover.limits.catch_up_us = MS(150);
	for (i = 0; i < DATABASES; i++) {
		report(&failover, i, i == 0, 1, 0, 0);
		views[i] = failover.views[i];
		views[i].requested_us = MS(900);
	}
	lease_renew(&lease, views, DATABASES, 0, MS(900), &durations);
	views[0].requested_us = MS(c->primary_asked_ms);
	views[1].requested_us = MS(c->replica_asked_ms);
	lease_renew(
	    &lease, views, DATABASES, 0, MS(c->replica_asked_ms), &durations);
	for (at_ms = 0; at_ms < 4000 && promoted_ms == 0; at_ms += 10) {
		for (i = 0; i < DATABASES; i++)
			report(&failover, i, i == 0 && at_ms <= 1000, 1,
			    i == 0 && at_ms > 1000 ? failover.term : 0,
			    MS(at_ms));
		if (at_ms == 990)
			failover_request_handover(&failover, MS(at_ms));
		if (at_ms == 1010) {
			db_view_t view = {true, false, false, failover.term,
			    {1, 8}, MS(at_ms), .term = 1};

			failover_fence_answered(&failover, 0, failover.term,
			    true, &view, MS(at_ms));
		}
		if (at_ms == 1030)
			failover_leases_revoked(
			    &failover, failover.term, false, MS(at_ms));
		failover_tick(&failover, MS(at_ms), &actions);
		for (i = 0; i < actions.count; i++) {
			if (actions.list[i].kind == FAILOVER_PROMOTE)
				promoted_ms = at_ms;
		}
	}
	g_assert_cmpint(promoted_ms, >, 1030);
	/* the platform takes at least 100 ms */
	g_assert_cmpint(lease.expires_us, <=, MS(promoted_ms + 100));
	failover_clear(&failover);
}

typedef struct recorded_case {
	const char *name;
	recorded_orders_t recorded;
	uint64_t primary_term;
	uint64_t paused_term;   /* of database 2; 0: it is not paused */
	int64_t released_ms;    /* expected end of the pause; 0: none */
	int64_t handed_over_ms; /* expected step-down; 0: none */
	/* time since which orders that are not recorded are known; 0: always */
	int64_t unaware_since_ms;
	/* term that the others follow, if not that of the primary */
	uint64_t others_term;
} recorded_case_t;

static const recorded_case_t recorded_cases[] = {
    {"no order", {0}, 1, 2, 510, 0},
    {"an order to replace an older primary", {1, 2, 0, {1, 8}}, 2, 3, 510, 0},
    {"an order to replace this primary", {1, 2, 0, {1, 8}}, 1, 2, 0, 3500},
    {"the same, without a pause", {1, 2, 0, {1, 8}}, 1, 0, 0, 3500},
    {"one that is not recorded may replace it", {0}, 1, 0, 0, 3510, 10},
    {"the same, and a pause may be its", {0}, 1, 2, 0, 3510, 10},
    {"the same, and an older one is recorded", {1, 2, 0, {1, 8}}, 2, 3, 0, 3510,
	10},
    {"the same, and nobody follows the primary", {1, 2, 0, {1, 8}}, 2, 0, 0, 0,
	10, 1},
};

/*
 * Test that a primary that a recorded order may have replaced hands over, and
 * that no pause is ended before.
 */
static void
test_recorded(gconstpointer data)
{
	const recorded_case_t *c = data;
	int64_t released_ms = 0, handed_over_ms = 0, at_ms;
	failover_actions_t actions;
	failover_t failover;
	uint32_t i;

	failover_init(&failover, &test_limits, DATABASES, 1, 0);
	failover.limits.catch_up_us = MS(150);
	failover_orders_recorded(&failover, &c->recorded, 0);
	failover_set_unaware(&failover, MS(c->unaware_since_ms));
	for (at_ms = 0; at_ms <= 3600; at_ms += 10) {
		for (i = 0; i < DATABASES; i++)
			report(&failover, i, i == 0,
			    i == 0 || c->others_term == 0 ? c->primary_term
							  : c->others_term,
			    i == 2 ? c->paused_term : 0, MS(at_ms));
		failover_tick(&failover, MS(at_ms), &actions);
		for (i = 0; i < actions.count; i++) {
			const failover_action_t *action = &actions.list[i];

			if (action->kind == FAILOVER_RELEASE &&
			    released_ms == 0)
				released_ms = at_ms;
			if (action->kind == FAILOVER_FENCE &&
			    action->database == 0 && handed_over_ms == 0)
				handed_over_ms = at_ms;
		}
	}
	g_assert_cmpint(released_ms, ==, c->released_ms);
	g_assert_cmpint(handed_over_ms, ==, c->handed_over_ms);
	failover_clear(&failover);
}

typedef struct handover_case {
	const char *name;
	recorded_orders_t recorded;
	candidate_report_t views[DATABASES]; /* database 0 is the primary */
	int64_t requested_ms;    /* of the primary: when it is requested */
	int64_t stepped_down_ms; /* expected; 0: not */
	int32_t chosen;          /* expected; -1: none */
	/* an order to a database that has left the group is open */
	bool outside;
} handover_case_t;

static const handover_case_t handover_cases[] = {
    {"to the most advanced of two", {0},
	{{1, {1, 60}}, {1, {1, 60}}, {1, {1, 55}}}, 500, 500, 1},
    {"to the one that has received the primary's term", {1, 2, 0, {1, 61}},
	{{2, {1, 61}}, {1, {1, 61}}, {2, {1, 61}}}, 500, 500, 2},
    {"no other one has", {1, 2, 0, {1, 61}},
	{{2, {2, 62}}, {1, {1, 61}}, {1, {1, 40}}}, 500, 0, -1},
    {"one has, and has not been rolled back", {1, 2, 0, {1, 61}},
	{{2, {2, 62}}, {2, {1, 73}}, {1, {1, 40}}}, 500, 0, -1},
    {"a recorded order has had no effect", {1, 2, 0, {1, 50}},
	{{1, {1, 60}}, {1, {1, 60}}, {1, {1, 55}}}, 5000, 3500, 1},
    {"the same, and one does not answer", {1, 2, 0, {1, 50}},
	{{1, {1, 60}}, {1, {1, 60}}, {0}}, 5000, 0, -1},
    {"an order to a database that has left is open", {0},
	{{1, {1, 60}}, {1, {1, 60}}, {1, {1, 55}}}, 500, 500, 1, true},
};

/*
 * Test which database succeeds a primary that hands over, and that the primary
 * does not step down while none can.
 */
static void
test_handover(gconstpointer data)
{
	const handover_case_t *c = data;
	int64_t stepped_down_ms = 0, at_ms;
	failover_actions_t actions;
	failover_t failover;
	int32_t chosen = -1;
	bool fenced[DATABASES] = {false};
	uint32_t i;

	failover_init(&failover, &test_limits, DATABASES, 1, 0);
	failover.limits.catch_up_us = MS(150);
	failover.order_open_outside = c->outside;
	failover_orders_recorded(&failover, &c->recorded, 0);
	for (at_ms = 0; at_ms < 5000 && chosen < 0; at_ms += 10) {
		for (i = 0; i < DATABASES; i++) {
			bool stepped_down = i == 0 && stepped_down_ms != 0;
			db_view_t view = {true, i == 0 && !stepped_down, false,
			    fenced[i] ? failover.term : c->views[i].term,
			    c->views[i].end, MS(at_ms),
			    .term = c->views[i].term};

			if (c->views[i].term != 0)
				failover_replace_view(
				    &failover, i, &view, MS(at_ms));
			if (fenced[i] && at_ms == stepped_down_ms + 10) {
				view.promised = failover.term;
				failover_fence_answered(&failover, i,
				    failover.term, true, &view, MS(at_ms));
			}
		}
		if (at_ms == c->requested_ms)
			failover_request_handover(&failover, MS(at_ms));
		failover_tick(&failover, MS(at_ms), &actions);
		for (i = 0; i < actions.count; i++) {
			const failover_action_t *action = &actions.list[i];

			if (action->kind == FAILOVER_FENCE) {
				fenced[action->database] = true;
				if (stepped_down_ms == 0)
					stepped_down_ms = at_ms;
			}
			if (action->kind == FAILOVER_REVOKE_LEASES)
				failover_leases_revoked(
				    &failover, action->term, true, MS(at_ms));
			if (action->kind == FAILOVER_PROMOTE)
				chosen = (int32_t)action->database;
		}
	}
	g_assert_cmpint(stepped_down_ms, ==, c->stepped_down_ms);
	g_assert_cmpint(chosen, ==, c->chosen);
	/* a primary that may have been replaced steps down with a majority */
	g_assert_cmpint(fenced[1], ==,
	    stepped_down_ms != 0 &&
		(c->outside ||
		    (c->recorded.replaced_term >= 1 &&
			c->views[0].term <= c->recorded.replaced_term)));
	failover_clear(&failover);
}

typedef struct expired_case {
	const char *name;
	candidate_report_t views[DATABASES]; /* database 0 is the primary */
	bool expired;
	uint32_t sync_replicas;
	uint32_t fenced; /* number of databases that are asked to promise */
	int32_t chosen;  /* expected; -1: none */
	uint32_t mute;   /* database that answers no promise; 0: none */
} expired_case_t;

static const expired_case_t expired_cases[] = {
    {"a replica has received its term",
	{{2, {2, 60}}, {1, {1, 50}}, {2, {2, 55}}}, false, 0, 1, 2},
    {"the same, and it has expired", {{2, {2, 60}}, {1, {1, 50}}, {2, {2, 55}}},
	true, 0, 1, 2},
    {"no replica has", {{2, {2, 60}}, {1, {1, 50}}, {1, {1, 45}}}, false, 0, 0,
	-1},
    {"no replica has, and it has expired",
	{{2, {2, 60}}, {1, {1, 50}}, {1, {1, 45}}}, true, 0, 3, 1},
    {"the same, and the promise of one replica is late",
	{{2, {2, 60}}, {1, {1, 50}}, {1, {1, 45}}}, true, 0, 3, -1, 2},
    {"the same, and only one replica answers",
	{{2, {2, 60}}, {1, {1, 50}}, {0}}, true, 0, 0, -1},
    {"the same, and a replica holds each commit",
	{{2, {2, 60}}, {1, {1, 50}}, {1, {1, 45}}}, true, 1, 0, -1},
    {"the replicas have entries that were given up",
	{{2, {2, 60}}, {1, {1, 58}}, {1, {1, 57}}}, true, 0, 0, -1},
};

/*
 * Test that a primary that is leaving is not replaced by a database that lacks
 * its term before nobody uses it any more, and then by the best of those that
 * stay.
 */
static void
test_expired(gconstpointer data)
{
	const expired_case_t *c = data;
	const recorded_orders_t recorded = {1, 2, 0, {1, 56}};
	bool fenced[DATABASES] = {false};
	failover_actions_t actions;
	failover_t failover;
	int32_t chosen = -1;
	uint32_t i, n = 0;
	int64_t at_ms;

	failover_init(&failover, &test_limits, DATABASES, 1, 0);
	failover.limits.catch_up_us = MS(150);
	failover.limits.sync_replicas = c->sync_replicas;
	failover_orders_recorded(&failover, &recorded, 0);
	for (at_ms = 0; at_ms < 1500 && chosen < 0; at_ms += 10) {
		for (i = 0; i < DATABASES; i++) {
			db_view_t view = {true, i == 0 && !fenced[0], i == 0,
			    fenced[i] ? failover.term : c->views[i].term,
			    c->views[i].end, MS(at_ms),
			    .term = c->views[i].term,
			    .expired = i == 0 && c->expired};

			if (c->views[i].term == 0)
				continue;
			failover_replace_view(&failover, i, &view, MS(at_ms));
			if (fenced[i] && !failover.granted[i] &&
			    (i == 0 || i != c->mute))
				failover_fence_answered(&failover, i,
				    failover.term, true, &view, MS(at_ms));
		}
		if (at_ms == 500)
			failover_request_handover(&failover, MS(at_ms));
		failover_tick(&failover, MS(at_ms), &actions);
		for (i = 0; i < actions.count; i++) {
			const failover_action_t *action = &actions.list[i];

			if (action->kind == FAILOVER_FENCE)
				fenced[action->database] = true;
			if (action->kind == FAILOVER_REVOKE_LEASES)
				failover_leases_revoked(
				    &failover, action->term, true, MS(at_ms));
			if (action->kind == FAILOVER_PROMOTE)
				chosen = (int32_t)action->database;
		}
	}
	for (i = 0; i < DATABASES; i++)
		n += fenced[i];
	g_assert_cmpuint(n, ==, c->fenced);
	g_assert_cmpint(chosen, ==, c->chosen);
	failover_clear(&failover);
}

typedef struct open_order_case {
	const char *name;
	int32_t ordered;        /* database with an open order; -1: none */
	bool outside;           /* it is not in the group */
	uint64_t more_advanced; /* database with the longer log; 0: equal */
	bool all;               /* all daemons confirm, not only most */
	int32_t chosen;         /* expected; -1: nothing is ordered */
	/* the record names the order, since so long after the promises */
	bool named;
	int64_t named_ms;
	bool away; /* the store is away since the promises */
} open_order_case_t;

static const open_order_case_t open_order_cases[] = {
    {"none", -1, false, 0, false, 1},
    {"to the first of two equal ones", 1, false, 0, false, 1},
    {"to the second of two equal ones", 2, false, 0, false, 2},
    {"to one with a shorter log, and most daemons know", 2, false, 1, false,
	-1},
    {"to one with a shorter log, and all daemons know", 2, false, 1, true, 1},
    {"to a database that has left, and most daemons know", -1, true, 0, false,
	-1},
    {"to a database that has left, and all daemons know", -1, true, 0, true, 1},
    {"to one with a shorter log, most daemons know, and the others read of it",
	2, false, 1, false, 1, true},
    {"to a database that has left, most daemons know, and the others read of "
     "it",
	-1, true, 0, false, 1, true},
    {"the others read of it, if later than the promises", 2, false, 1, false,
	-1, true, 5},
    {"the others read of it, and the store is away", 2, false, 1, false, -1,
	true, 0, true},
};

/*
 * Test that while an order is open another database is ordered only if all
 * daemons know of that order, since they check it for each answer.
 */
static void
test_open_order(gconstpointer data)
{
	const open_order_case_t *c = data;
	failover_actions_t actions;
	failover_t failover;
	int32_t chosen = -1;
	int64_t at_ms;
	uint64_t term;
	uint32_t i;

	failover_init(&failover, &test_limits, DATABASES, 1, 0);
	failover.order_open_outside = c->outside;
	for (i = 0; i < DATABASES; i++)
		report(&failover, i, i == 0, 1, 0, 0);
	term = begin_attempt(&failover, 0);
	if (c->named)
		failover.orders_named_us = MS(c->named_ms);
	failover.store_away = c->away;
	for (i = 1; i < DATABASES; i++) {
		db_view_t view = {true, false, false, term,
		    {1, i == c->more_advanced ? 9 : 8}, 0, .term = 1,
		    .order_open = (int32_t)i == c->ordered};

		failover_replace_view(&failover, i, &view, 0);
		failover_fence_answered(&failover, i, term, true, &view, 0);
	}
	for (at_ms = 10; at_ms < 2300; at_ms += 10) {
		if (at_ms == 20)
			failover_leases_revoked(
			    &failover, term, c->all, MS(at_ms));
		failover_tick(&failover, MS(at_ms), &actions);
		for (i = 0; i < actions.count; i++) {
			if (actions.list[i].kind == FAILOVER_PROMOTE)
				chosen = (int32_t)actions.list[i].database;
		}
	}
	g_assert_cmpint(chosen, ==, c->chosen);
	failover_clear(&failover);
}

typedef struct reach_case {
	const char *name;
	bool replicas[DATABASES]; /* those that answer all the time */
	int64_t again_ms;         /* time at which all replicas answer again */
	bool handover;            /* the primary answers, and is to hand over */
	int64_t begun_ms;         /* expected time of the attempt; 0: none */
} reach_case_t;

static const reach_case_t reach_cases[] = {
    {"both replicas", {false, true, true}, 0, false, 200},
    {"one replica", {false, true, false}, 0, false, 0},
    {"one replica, and later both", {false, true, false}, 900, false, 900},
    {"no replica", {false, false, false}, 0, false, 0},
    {"one replica in a handover", {true, true, false}, 0, true, 200},
};

/*
 * Test that an attempt begins only while so many databases answer that it can
 * obtain the promises of a majority.  The primary is silent from 100 ms on; all
 * databases have answered before.
 */
static void
test_reach(gconstpointer data)
{
	const reach_case_t *c = data;
	int64_t begun_ms = 0, at_ms;
	failover_actions_t actions;
	failover_t failover;
	uint32_t i;

	failover_init(&failover, &test_limits, DATABASES, 1, 0);
	failover.limits.catch_up_us = MS(150);
	for (at_ms = 0; at_ms <= 1500; at_ms += 10) {
		for (i = 0; i < DATABASES; i++) {
			if (at_ms < 100 || c->replicas[i] ||
			    (i > 0 && c->again_ms != 0 && at_ms >= c->again_ms))
				report(&failover, i, i == 0, 1, 0, MS(at_ms));
		}
		if (c->handover && at_ms == 200)
			failover_request_handover(&failover, MS(at_ms));
		failover_tick(&failover, MS(at_ms), &actions);
		if (failover.state == FAILOVER_WITNESS)
			failover_witness_answered(&failover,
			    failover.witness_request, false, MS(at_ms));
		for (i = 0; i < actions.count; i++) {
			if (actions.list[i].kind == FAILOVER_FENCE &&
			    begun_ms == 0)
				begun_ms = at_ms;
		}
	}
	g_assert_cmpint(begun_ms, ==, c->begun_ms);
	failover_clear(&failover);
}

/* What becomes of a primary from which a handover is requested. */
typedef enum ended_fate {
	FATE_ANSWERS,
	FATE_SILENT,
	FATE_ENDED,
	FATE_REMOVED, /* its end is known by a later start in its place */
	FATE_REFUSES, /* it has refused a connection, and answers again */
} ended_fate_t;

typedef struct ended_case {
	const char *name;
	ended_fate_t fate;
	bool handover; /* requested before */
	bool attempt;  /* expected */
	bool alone;    /* the primary alone is asked to step down */
} ended_case_t;

/*
 * Time of that, time after which the silence shows, and time within which an
 * attempt begins.
 */
#define FATE_MS 200
#define SILENCE_MS 100
#define ATTEMPT_BEGINS_MS 120

static const ended_case_t ended_cases[] = {
    {"it answers", FATE_ANSWERS, true, true, true},
    {"it answers, no handover", FATE_ANSWERS, false, false, false},
    {"it is silent", FATE_SILENT, true, true, false},
    {"it has refused a connection", FATE_REFUSES, true, true, true},
    {"it has ended", FATE_ENDED, true, true, false},
    {"it has ended, no handover", FATE_ENDED, false, true, false},
    {"a later start has its place", FATE_REMOVED, true, true, false},
    {"a later start has its place, no handover", FATE_REMOVED, false, true,
	false},
};

/*
 * Test that nothing is handed over from a primary that has ended or is silent:
 * a failover begins, which asks the others.
 */
static void
test_ended(gconstpointer data)
{
	static const int32_t without_first[] = {1, 2};
	const ended_case_t *c = data;
	int64_t requested_ms =
	    c->fate == FATE_SILENT ? FATE_MS + SILENCE_MS : FATE_MS;
	failover_actions_t actions;
	failover_t failover;
	int64_t at_ms;
	uint32_t i;

	failover_init(&failover, &test_limits, DATABASES, 1, 0);
	failover.limits.catch_up_us = MS(150);
	for (at_ms = 0; at_ms < FATE_MS + ATTEMPT_BEGINS_MS &&
	     failover.state != FAILOVER_FENCING;
	     at_ms += 10) {
		for (i = 0; i < failover.count; i++) {
			if (at_ms < FATE_MS || c->fate == FATE_ANSWERS ||
			    (c->fate == FATE_REFUSES && at_ms > FATE_MS) ||
			    i > 0 || failover.count < DATABASES)
				report(&failover, i,
				    i == 0 && failover.count == DATABASES, 1, 0,
				    MS(at_ms));
		}
		if (at_ms == requested_ms && c->handover)
			failover_request_handover(&failover, MS(at_ms));
		if (at_ms == FATE_MS && c->fate == FATE_REFUSES)
			failover_connection_refused(&failover, 0, MS(at_ms));
		if (at_ms >= FATE_MS && c->fate == FATE_ENDED)
			failover.views[0].likely_ended = true;
		if (at_ms == FATE_MS && c->fate == FATE_REMOVED)
			failover_remap(&failover, without_first, 2, MS(at_ms));
		failover_tick(&failover, MS(at_ms), &actions);
	}
	g_assert_cmpint(failover.state == FAILOVER_FENCING, ==, c->attempt);
	g_assert_cmpint(failover.stepping_down, ==, c->alone ? 0 : -1);
	failover_clear(&failover);
}

typedef struct asked_case {
	const char *name;
	int64_t again_ms; /* database 1 answers again; 0: it does not */
	bool started;     /* it has started again */
	bool asked;       /* expected */
} asked_case_t;

/*
 * Time of the last answers of the primary and of database 1 before the attempt
 * begins, and time after which it is given up if nobody else answers.
 */
#define LAST_ANSWER_MS 200
#define GIVEN_UP_MS 900

static const asked_case_t asked_cases[] = {
    {"it is gone", 0, false, false},
    {"it was out of reach", 500, false, true},
    {"it has started again", 500, true, true},
    {"it has started again, late", 800, true, true},
    {"it answers when the attempt is over", 1000, false, false},
};

/*
 * Test that a database that answers only after an attempt began is asked for
 * its promise, with which the attempt succeeds.
 */
static void
test_asked(gconstpointer data)
{
	static const int32_t started_again[] = {0, -1, 2};
	const asked_case_t *c = data;
	failover_actions_t actions;
	failover_t failover;
	int64_t at_ms;
	uint32_t i;
	bool asked = false, revoked = false;

	failover_init(&failover, &test_limits, DATABASES, 1, 0);
	for (at_ms = 0; at_ms < GIVEN_UP_MS + 200; at_ms += 10) {
		bool again = c->again_ms != 0 && at_ms >= c->again_ms;

		if (c->started && at_ms == c->again_ms)
			failover_remap(
			    &failover, started_again, DATABASES, MS(at_ms));
		for (i = 0; i < DATABASES; i++) {
			uint64_t held = failover.granted[i] ? failover.term : 0;

			if (i == 2 || at_ms <= LAST_ANSWER_MS ||
			    (i == 1 && (again || at_ms <= LAST_ANSWER_MS + 90)))
				report(
				    &failover, i, i == 0, 1, held, MS(at_ms));
		}
		failover_tick(&failover, MS(at_ms), &actions);
		for (i = 0; i < actions.count; i++) {
			const failover_action_t *action = &actions.list[i];
			db_view_t view = failover.views[action->database];

			revoked |= action->kind == FAILOVER_REVOKE_LEASES;
			if (action->kind != FAILOVER_FENCE ||
			    action->database == 0 ||
			    (action->database == 1 && !again))
				continue;
			asked |= action->database == 1;
			view.requested_us = MS(at_ms);
			view.promised = action->term;
			failover_fence_answered(&failover, action->database,
			    action->term, true, &view, MS(at_ms));
		}
	}
	g_assert_cmpint(asked, ==, c->asked);
	g_assert_cmpint(revoked, ==, c->asked);
	failover_clear(&failover);
}

/*
 * Test that promises that suffice only since a member has ended are as old as
 * the knowledge of its end: leases may rest on its last answers until then.
 */
static void
test_lost_during_attempt(void)
{
	failover_t failover;

	failover_init(&failover, &test_limits, DATABASES, 1, 0);
	failover.state = FAILOVER_FENCING;
	failover.granted_us = MS(10);
	failover_members_lost(&failover, MS(300));
	g_assert_cmpint(failover.granted_us, ==, MS(300));
	failover_clear(&failover);
}

/* Times in the cases of promises that are asked for again. */
#define CONNECTED_MS 50
#define RECORDED_MS 260

typedef struct promise_answer {
	int64_t requested_ms; /* 0: it has not answered */
	uint64_t promised;    /* beyond the term of the attempt */
	bool forgotten;       /* it holds no promise */
	bool reconnected;     /* the answer came on a new connection */
	bool refuses;         /* it refuses connections */
} promise_answer_t;

typedef struct promises_case {
	const char *name;
	promise_answer_t answers[2]; /* of the replicas */
	failover_promises_t expected;
	bool handover; /* the primary alone has promised; answers[0] is its */
	bool listed;   /* one more database is listed after the decision */
} promises_case_t;

static const promises_case_t promises_cases[] = {
    {"no answer", {{0}}, FAILOVER_PROMISES_ASKED},
    {"answers of both", {{RECORDED_MS}, {RECORDED_MS + 5}},
	FAILOVER_PROMISES_HELD},
    {"the answer of one", {{RECORDED_MS}, {0}}, FAILOVER_PROMISES_ASKED},
    {"an answer to an earlier request", {{RECORDED_MS}, {RECORDED_MS - 1}},
	FAILOVER_PROMISES_ASKED},
    {"a newer promise", {{RECORDED_MS}, {RECORDED_MS, 1}},
	FAILOVER_PROMISES_HELD},
    {"one has started again",
	{{RECORDED_MS}, {RECORDED_MS, 0, true, true, false}},
	FAILOVER_PROMISES_LOST},
    {"one has started again, and the other has not answered",
	{{0}, {RECORDED_MS, 0, true, true, false}}, FAILOVER_PROMISES_LOST},
    {"one has started again and promised anew",
	{{RECORDED_MS}, {RECORDED_MS, 0, false, true, false}},
	FAILOVER_PROMISES_LOST},
    {"one does not hold its promise any more",
	{{RECORDED_MS}, {RECORDED_MS, 0, true, false, false}},
	FAILOVER_PROMISES_LOST},
    {"the same, found before the order was recorded",
	{{RECORDED_MS}, {RECORDED_MS - 1, 0, true, false, false}},
	FAILOVER_PROMISES_LOST},
    {"one refuses connections", {{RECORDED_MS}, {0, 0, false, false, true}},
	FAILOVER_PROMISES_LOST},
    {"answers of both, and the primary is listed beside its former start",
	{{RECORDED_MS}, {RECORDED_MS}}, FAILOVER_PROMISES_HELD, false, true},
    {"a handover", {{RECORDED_MS}}, FAILOVER_PROMISES_HELD, true},
    {"a handover, no answer", {{0}}, FAILOVER_PROMISES_ASKED, true},
    {"a handover, the primary has started again",
	{{RECORDED_MS, 0, true, true, false}}, FAILOVER_PROMISES_LOST, true},
};

/*
 * Have a database answer that it has promised a term.
 */
static void
promise_answered(failover_t *failover, uint32_t database, uint64_t term,
    const promise_answer_t *answer)
{
	db_view_t view = {true, false, false, 1, {1, 8},
	    MS(answer->requested_ms), .term = 1,
	    .connected_us =
		MS(answer->reconnected ? RECORDED_MS - 1 : CONNECTED_MS)};

	if (answer->refuses)
		failover_connection_refused(
		    failover, database, MS(RECORDED_MS));
	if (!answer->forgotten)
		view.promised = term + answer->promised;
	if (answer->requested_ms != 0)
		failover_replace_view(
		    failover, database, &view, MS(answer->requested_ms + 1));
}

/*
 * Test whether an order that is recorded may be sent, given what the databases
 * answer that have promised its term, and that a new attempt begins at once if
 * their promises are lost.
 */
static void
test_promises(gconstpointer data)
{
	const promises_case_t *c = data;
	bool lost = c->expected == FAILOVER_PROMISES_LOST;
	failover_limits_t limits = test_limits;
	failover_actions_t actions;
	uint64_t term = 0;
	failover_t failover;
	uint32_t i, promoted = 0;

	limits.catch_up_us = MS(150);
	failover_init(&failover, &limits, DATABASES, 1, 0);
	for (i = 0; i < DATABASES; i++)
		report(&failover, i, i == 0, 1, 0, MS(CONNECTED_MS));
	if (c->handover) {
		failover_tick(&failover, MS(CONNECTED_MS), &actions);
		failover_request_handover(&failover, MS(CONNECTED_MS));
		failover_tick(&failover, MS(CONNECTED_MS), &actions);
		g_assert_cmpuint(actions.count, ==, 1);
		term = actions.list[0].term;
	} else {
		term = begin_attempt(&failover, MS(CONNECTED_MS));
	}
	for (i = c->handover ? 0 : 1; i < (c->handover ? 1 : DATABASES); i++) {
		db_view_t view = {true, false, false, term, {1, 8},
		    MS(CONNECTED_MS), .term = 1,
		    .connected_us = MS(CONNECTED_MS)};

		failover_replace_view(&failover, i, &view, MS(CONNECTED_MS));
		failover_fence_answered(
		    &failover, i, term, true, &view, MS(CONNECTED_MS));
	}
	failover_tick(&failover, MS(60), &actions);
	failover_leases_revoked(&failover, term, true, MS(60));
	for (i = 1; c->handover && i < DATABASES; i++)
		report(&failover, i, false, 1, 0, MS(250));
	failover_tick(&failover, MS(250), &actions);
	for (i = 0; i < actions.count; i++)
		promoted += actions.list[i].kind == FAILOVER_PROMOTE;
	g_assert_cmpuint(promoted, ==, 1);
	if (c->listed)
		failover_remap(&failover, (int32_t[]){0, 1, 2, -1},
		    DATABASES + 1, MS(255));
	g_assert_false(
	    failover_ask_promises(&failover, term + 1, MS(RECORDED_MS)));
	g_assert_true(failover_ask_promises(&failover, term, MS(RECORDED_MS)));
	for (i = 0; i < (c->handover ? 1 : 2); i++)
		promise_answered(
		    &failover, c->handover ? 0 : i + 1, term, &c->answers[i]);
	g_assert_cmpint(failover_promises(&failover), ==, c->expected);
	failover_promotion_answered(&failover, failover.chosen, term, false,
	    &failover.views[failover.chosen], MS(RECORDED_MS + 10));
	g_assert_cmpint(failover.state, ==, FAILOVER_BACKOFF);
	g_assert_cmpint(
	    failover.wait_until_us <= MS(RECORDED_MS + 10), ==, lost);
	g_assert_cmpuint(failover.failures, ==, lost ? 0 : 1);
	failover_clear(&failover);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	CASES("/attempt/order", attempt_cases, test_attempt);
	CASES("/attempt/promises", promises_cases, test_promises);
	CASES("/attempt/reported-term", reported_cases, test_reported);
	CASES("/attempt/stray-pause", stray_cases, test_stray_pause);
	CASES("/attempt/abandoned", abandoned_cases, test_abandoned);
	CASES("/attempt/block", block_cases, test_block);
	CASES("/attempt/choice", choice_cases, test_choice);
	CASES("/attempt/leaving", leaving_cases, test_leaving);
	CASES("/attempt/candidate", candidate_cases, test_candidate);
	CASES("/attempt/unlisted", unlisted_cases, test_unlisted);
	CASES("/attempt/second-order", second_order_cases, test_second_order);
	CASES("/attempt/history", history_cases, test_history);
	CASES("/attempt/unaware", unaware_cases, test_unaware);
	CASES("/attempt/recorded", recorded_cases, test_recorded);
	CASES("/attempt/handover", handover_cases, test_handover);
	CASES("/attempt/expired", expired_cases, test_expired);
	CASES("/attempt/reach", reach_cases, test_reach);
	CASES("/attempt/open-order", open_order_cases, test_open_order);
	CASES("/attempt/needed", needed_cases, test_needed);
	CASES("/attempt/ended", ended_cases, test_ended);
	CASES("/attempt/asked", asked_cases, test_asked);
	g_test_add_func("/attempt/lost-during", test_lost_during_attempt);
	return g_test_run();
}
