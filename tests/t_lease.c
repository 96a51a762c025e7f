#include "../src/decide/promote.h"
#include "../src/decide/relief.h"
#include "../src/decide/replica.h"
#include "../src/decide/spread.h"
#include "cases.h"

#include <string.h>

/* Leases on a primary, changes of primary that end them, and reads spread. */

#define MS(ms) ((int64_t)(ms)*1000)
#define COUNT_MAX 5

/* What one question to a database showed. */
typedef struct answer {
	uint32_t database;
	bool primary;
	uint64_t promised;
	int64_t asked_ms;
} answer_t;

typedef struct lease_case {
	const char *name;
	uint32_t count;
	answer_t answers[6]; /* in the order they came; asked_ms 0 ends them */
	int64_t listed_ms;   /* 0: the daemon is not listed */
	int64_t now_ms;
	int64_t until_ms; /* expected; 0: none */
} lease_case_t;

#define SHORT_MS 250
#define LONG_MS 2000

static const lease_case_t lease_cases[] = {
    {"no replica was asked", 3, {{0, true, 1, 10}}, 0, 10, 0},
    {"one replica of two", 3, {{0, true, 1, 10}, {1, false, 1, 20}}, 0, 20,
	270},
    {"the younger answer counts", 3,
	{{0, true, 1, 10}, {1, false, 1, 20}, {2, false, 1, 90}}, 0, 90, 340},
    {"of five two replicas are needed", 5,
	{{0, true, 1, 10}, {1, false, 1, 20}, {2, false, 1, 90}}, 0, 90, 270},
    {"listed, and asked since", 3, {{0, true, 1, 10}, {1, false, 1, 20}}, 15,
	20, 2020},
    {"listed, but asked before", 3, {{0, true, 1, 10}, {1, false, 1, 20}}, 30,
	40, 270},
    {"a replica holds a newer term", 3,
	{{0, true, 1, 10}, {1, false, 2, 20}, {2, false, 1, 30}}, 0, 30, 0},
    {"a newer term that is no longer seen still bars", 3,
	{{0, true, 1, 10}, {1, false, 2, 20}, {1, false, 1, 40}}, 0, 40, 0},
    {"until all deny it", 3,
	{{0, true, 1, 10}, {1, false, 2, 20}, {1, false, 1, 40},
	    {2, false, 1, 50}, {0, true, 1, 60}},
	0, 60, 300},
    {"or a majority for long", 3,
	{{0, true, 1, 10}, {1, false, 2, 20}, {0, true, 1, 2900},
	    {1, false, 1, 3000}},
	0, 3000, 3250},
    {"the primary itself is not a witness", 3,
	{{0, true, 1, 10}, {0, true, 1, 50}}, 0, 50, 0},
    {"an old primary is passed over for the new", 3,
	{{0, true, 1, 10}, {1, true, 2, 20}, {2, false, 2, 30}}, 0, 30, 280},
    {"a primary alone needs no questions", 1, {{0, true, 1, 10}}, 0, 100, 350},
};

/*
 * The database that is primary in the highest term, or -1.
 */
static int32_t
primary_of(const db_view_t *views, uint32_t count)
{
	int32_t best = -1;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (views[i].known && views[i].primary &&
		    (best < 0 || views[i].promised > views[best].promised))
			best = (int32_t)i;
	}
	return best;
}

/*
 * A lease rests on answers, one after the other.
 */
static void
test_lease(gconstpointer data)
{
	const lease_case_t *c = data;
	lease_span_t spans = {MS(SHORT_MS), MS(LONG_MS), MS(c->listed_ms)};
	db_view_t views[COUNT_MAX];
	lease_t lease = {0};
	uint32_t i;

	memset(views, 0, sizeof(views));
	for (i = 0; c->answers[i].asked_ms != 0; i++) {
		const answer_t *answer = &c->answers[i];
		db_view_t *view = &views[answer->database];
		int32_t primary;

		view->known = true;
		view->primary = answer->primary;
		view->promised = answer->promised;
		view->asked_us = MS(answer->asked_ms);
		primary = primary_of(views, c->count);
		if (primary >= 0)
			lease_renew(&lease, views, c->count, (uint32_t)primary,
			    c->answers[i + 1].asked_ms == 0
				? MS(c->now_ms)
				: MS(answer->asked_ms),
			    &spans);
	}
	g_assert_cmpint(lease.until_us, ==, MS(c->until_ms));
}

/*
 * The lease of a primary that was alone does not outlive the arrival of
 * replicas by more than its span.
 */
static void
test_lone_primary(void)
{
	lease_span_t spans = {MS(SHORT_MS), MS(LONG_MS), 0};
	db_view_t views[3] = {{.known = true, .primary = true, .promised = 1}};
	lease_t lease = {0};

	g_assert_true(lease_renew(&lease, views, 1, 0, MS(1000), &spans));
	g_assert_cmpint(lease.until_us, ==, MS(1250));
	g_assert_false(lease_renew(&lease, views, 3, 0, MS(1200), &spans));
	g_assert_cmpint(lease.until_us, ==, MS(1250));
}

/* Of a daemon that was listed before all questions. */
static const lease_span_t listed = {MS(SHORT_MS), MS(LONG_MS), MS(1)};

/*
 * Begin a lease of database 0 in a term; the questions were put at 10, 20 and
 * 30.
 */
static void
lease_begin(lease_t *lease, db_view_t views[3], uint64_t term)
{
	uint32_t i;

	memset(lease, 0, sizeof(*lease));
	for (i = 0; i < 3; i++)
		views[i] = (db_view_t){true, i == 0, false, term, {0, 0},
		    MS(10 * ((int64_t)i + 1))};
	g_assert_true(lease_renew(lease, views, 3, 0, MS(30), &listed));
}

typedef struct revoke_case {
	const char *name;
	uint64_t term; /* given back below this one */
	bool ends;
} revoke_case_t;

static const revoke_case_t revoke_cases[] = {
    {"of an older term", 3, true},
    {"of the same term", 2, false},
    {"of a newer term", 1, false},
};

/*
 * A lease that was given back does not come back by an old answer.
 */
static void
test_revoke(gconstpointer data)
{
	const revoke_case_t *c = data;
	db_view_t views[3];
	lease_t lease;

	lease_begin(&lease, views, 2);
	lease_revoke(&lease, c->term, MS(40));
	g_assert_cmpint(lease.until_us, ==, c->ends ? 0 : MS(2030));
	views[1].asked_us = MS(35); /* put before it was given back */
	lease_renew(&lease, views, 3, 0, MS(45), &listed);
	g_assert_cmpint(lease.until_us, ==, c->ends ? 0 : MS(2035));
}

typedef struct later_case {
	const char *name;
	uint64_t given_back; /* below this term, while term 1 is known */
	bool begins;         /* a lease of term 2, by answers from before */
} later_case_t;

static const later_case_t later_cases[] = {
    {"of a term that was given back unseen", 3, false},
    {"of the term that follows", 2, true},
};

/*
 * A lease that was given back below a term does not begin in a term before
 * it that was not known yet.
 */
static void
test_later(gconstpointer data)
{
	const later_case_t *c = data;
	db_view_t views[3];
	lease_t lease;

	lease_begin(&lease, views, 1);
	lease_revoke(&lease, c->given_back, MS(50));
	views[1] = (db_view_t){true, true, false, 2, {0, 0}, MS(40)};
	views[2] = (db_view_t){true, false, false, 2, {0, 0}, MS(45)};
	g_assert_cmpint(
	    lease_renew(&lease, views, 3, 1, MS(60), &listed), ==, c->begins);
}

typedef struct bar_case {
	const char *name;
	int64_t seen_ms;   /* a replica's newer promise; it answers no more */
	int64_t denied_ms; /* by the others, when they were asked */
	int64_t given_back_ms;
	bool renewed; /* at 3000 */
} bar_case_t;

static const bar_case_t bar_cases[] = {
    {"denied afterwards, and for long", 100, 2900, 500, true},
    {"denied before it was given back", 100, 2000, 2500, false},
    {"given back a moment ago", 100, 2600, 2500, false},
};

/*
 * A promise that was seen before does not shorten the time for which a lease
 * that was given back stays so.
 */
static void
test_bar(gconstpointer data)
{
	const bar_case_t *c = data;
	db_view_t views[3];
	lease_t lease;

	lease_begin(&lease, views, 1);
	views[1].promised = 2;
	views[1].asked_us = MS(c->seen_ms);
	lease_renew(&lease, views, 3, 0, MS(c->seen_ms), &listed);
	lease_revoke(&lease, 3, MS(c->given_back_ms));
	views[0].asked_us = MS(c->denied_ms);
	views[2].asked_us = MS(c->denied_ms);
	g_assert_cmpint(lease_renew(&lease, views, 3, 0, MS(3000), &listed), ==,
	    c->renewed);
}

typedef struct unlist_case {
	const char *name;
	int64_t asked_ms; /* the replicas, the last time */
	int64_t
	    until_ms; /* of the lease, when the daemon left the list at 50 */
} unlist_case_t;

static const unlist_case_t unlist_cases[] = {
    {"what was asked before has a short lease", 45, 295},
    {"what is asked afterwards, too", 60, 310},
};

/*
 * A daemon that leaves the list is not asked any more to give back its
 * leases, so a long one ends at once and only short ones follow.
 */
static void
test_unlist(gconstpointer data)
{
	const unlist_case_t *c = data;
	lease_span_t spans = {MS(SHORT_MS), MS(LONG_MS), MS(1)};
	db_view_t views[3] = {{true, true, false, 2, {0, 0}, MS(10)},
	    {true, false, false, 2, {0, 0}, MS(20)},
	    {true, false, false, 2, {0, 0}, MS(20)}};
	lease_t lease = {0};

	g_assert_true(lease_renew(&lease, views, 3, 0, MS(30), &spans));
	g_assert_cmpint(lease.until_us, ==, MS(2020));
	lease_unlisted(&lease);
	spans.known_us = 0;
	views[1].asked_us = MS(c->asked_ms);
	lease_renew(&lease, views, 3, 0, MS(60), &spans);
	g_assert_cmpint(lease.until_us, ==, MS(c->until_ms));
}

/* What happens to a change of primary, step by step. */
typedef enum step_kind {
	STEP_END,
	STEP_GRANT,     /* by database */
	STEP_SETTLED,   /* all daemons have answered */
	STEP_MOST,      /* most have */
	STEP_OUTDATED,  /* one knows of a newer holder of the duty */
	STEP_CAUGHT_UP, /* database reports the index */
	STEP_REMAP,     /* database is gone */
} step_kind_t;

typedef struct step {
	int64_t at_ms;
	step_kind_t kind;
	uint32_t database;
	uint64_t index;
} step_t;

typedef struct change_case {
	const char *name;
	bool handover;
	uint32_t sync;
	step_t steps[5];
	int64_t raised_at_ms; /* 0: not within a second */
	uint32_t raised;
} change_case_t;

/* Database 0 is primary of term 1 at index 9, the others are at 7 and 8. */
static const change_case_t change_cases[] = {
    {"a majority grants, all daemons settle", false, 0,
	{{1, STEP_GRANT, 1, 7}, {2, STEP_GRANT, 2, 8}, {5, STEP_SETTLED, 0, 0}},
	152, 2},
    {"most daemons answer: leases run out", false, 0,
	{{1, STEP_GRANT, 1, 7}, {2, STEP_GRANT, 2, 8}, {5, STEP_MOST, 0, 0}},
	802, 2},
    {"too few daemons answer", false, 0,
	{{1, STEP_GRANT, 1, 7}, {2, STEP_GRANT, 2, 8}}, 0, 0},
    {"a daemon knows of a newer holder", false, 0,
	{{1, STEP_GRANT, 1, 7}, {2, STEP_GRANT, 2, 8}, {5, STEP_MOST, 0, 0},
	    {6, STEP_OUTDATED, 0, 0}},
	0, 0},
    {"one grant is no majority", false, 0, {{1, STEP_GRANT, 1, 7}}, 0, 0},
    {"a handover needs the primary alone", true, 0,
	{{1, STEP_GRANT, 0, 9}, {3, STEP_SETTLED, 0, 0},
	    {40, STEP_CAUGHT_UP, 1, 9}},
	151, 1},
    {"a handover, too, waits for the leases", true, 0,
	{{1, STEP_GRANT, 0, 9}, {3, STEP_MOST, 0, 0},
	    {40, STEP_CAUGHT_UP, 1, 9}},
	801, 1},
    {"a handover waits for a replica, within bounds", true, 0,
	{{1, STEP_GRANT, 0, 9}, {3, STEP_SETTLED, 0, 0}}, 251, 2},
    {"not when each commit must be held", true, 1,
	{{1, STEP_GRANT, 0, 9}, {3, STEP_SETTLED, 0, 0}}, 0, 0},
    {"a server that goes does not end the change", false, 0,
	{{1, STEP_GRANT, 1, 7}, {2, STEP_GRANT, 2, 8}, {3, STEP_REMAP, 0, 0},
	    {5, STEP_SETTLED, 0, 0}},
	152, 1},
};

static const promote_limits_t change_limits = {
    .suspect_us = MS(5000),
    .distrust_us = MS(25000),
    .fence_us = MS(300),
    .raise_us = MS(500),
    .backoff_us = MS(4000),
    .settle_us = MS(800),
    .settle_min_us = MS(150),
    .catch_up_us = MS(250),
    .revocable = true,
};

/*
 * Apply one step.
 */
static void
apply(promote_t *promote, const step_t *step)
{
	static const int32_t without_first[] = {1, 2};
	db_view_t view = {
	    true, false, false, 1, {1, step->index}, MS(step->at_ms)};

	switch (step->kind) {
	case STEP_GRANT:
		view.promised = promote->term;
		promote_fenced(promote, step->database, promote->term, true,
		    &view, MS(step->at_ms));
		break;
	case STEP_SETTLED:
	case STEP_MOST:
		promote_settled(promote, promote->term,
		    step->kind == STEP_SETTLED, MS(step->at_ms));
		break;
	case STEP_OUTDATED:
		promote_outdated(promote, promote->term, MS(step->at_ms));
		break;
	case STEP_CAUGHT_UP:
		promote_observed(
		    promote, step->database, &view, MS(step->at_ms));
		break;
	case STEP_REMAP:
		promote_remap(promote, without_first, 2, MS(step->at_ms));
		break;
	default:
		break;
	}
}

/*
 * A change of primary raises the right database, neither too early nor not
 * at all.
 */
static void
test_change(gconstpointer data)
{
	const change_case_t *c = data;
	promote_limits_t limits = change_limits;
	promote_actions_t actions;
	int64_t raised_at_ms = 0, at_ms;
	uint32_t i, next = 0, raised = 0;
	promote_t promote;

	limits.sync_replicas = c->sync;
	promote_init(&promote, &limits, 3, 1, 0);
	for (i = 0; i < 3; i++) {
		db_view_t view = {true, i == 0, i == 0 && c->handover, 1,
		    {1, i == 0 ? 9 : 6 + i}, 1};

		promote_observed(&promote, i, &view, 0);
	}
	promote_tick(&promote, 0, &actions);
	g_assert_cmpint(promote.state, ==, PROMOTE_STEADY);
	if (c->handover) {
		promote_handover(&promote, 0);
	} else {
		promote_refused(&promote, 0, 0);
		promote_refused(&promote, 0, 0);
		promote_tick(&promote, 0, &actions);
		promote_witness_heard(&promote, promote.witness, false, 0);
	}
	for (at_ms = 0; at_ms < 1000 && raised_at_ms == 0; at_ms++) {
		while (c->steps[next].kind != STEP_END &&
		    c->steps[next].at_ms == at_ms)
			apply(&promote, &c->steps[next++]);
		promote_tick(&promote, MS(at_ms), &actions);
		for (i = 0; i < actions.count; i++) {
			if (actions.list[i].kind != PROMOTE_RAISE)
				continue;
			raised_at_ms = at_ms;
			raised = actions.list[i].database;
		}
	}
	g_assert_cmpint(raised_at_ms, ==, c->raised_at_ms);
	if (raised_at_ms != 0)
		g_assert_cmpuint(raised, ==, c->raised);
	promote_clear(&promote);
}

typedef struct stuck_case {
	const char *name;
	position_t position; /* shown by database 1 */
	bool released;
} stuck_case_t;

static const stuck_case_t stuck_cases[] = {
    {"a held term that leads nowhere is taken back", {1, 9}, true},
    {"not when a newer term has begun", {2, 9}, false},
};

/*
 * Database 2 holds a term that nobody leads, as far as is known.
 */
static void
test_stuck(gconstpointer data)
{
	const stuck_case_t *c = data;
	promote_actions_t actions;
	bool released = false;
	int64_t at_ms;
	promote_t promote;
	uint32_t i;

	promote_init(&promote, &change_limits, 3, 1, 0);
	for (i = 0; i < 3; i++) {
		db_view_t view = {
		    true, i == 0, false, i == 2 ? 2 : 1, {1, 8}, 1};

		promote_observed(&promote, i, &view, 0);
	}
	promote_tick(&promote, 0, &actions);
	g_assert_cmpint(promote.state, ==, PROMOTE_STEADY);
	promote_positioned(&promote, 1, c->position);
	for (at_ms = 0; at_ms < 1000; at_ms++) {
		for (i = 0; i < 3; i++)
			promote_alive(&promote, i, MS(at_ms));
		promote_tick(&promote, MS(at_ms), &actions);
		for (i = 0; i < actions.count; i++)
			released |= actions.list[i].kind == PROMOTE_RELEASE;
	}
	g_assert_cmpint(released, ==, c->released);
	promote_clear(&promote);
}

typedef struct order_case {
	const char *name;
	bool answered; /* the order, with a refusal */
	bool released; /* the grants of the change that follows and fails */
} order_case_t;

static const order_case_t order_cases[] = {
    {"not while an order may come into effect", false, false},
    {"after one that was refused", true, true},
};

/*
 * A change of primary ends in an order; the next one fails for want of the
 * daemons' answers.
 */
static void
test_order(gconstpointer data)
{
	const order_case_t *c = data;
	promote_actions_t actions;
	db_view_t old = {true, true, false, 1, {1, 8}, 1};
	db_view_t replica = {true, false, false, 1, {1, 8}, 1};
	db_view_t holds = {true, false, false, 2, {1, 8}, 1};
	bool ordered = false, released = false;
	promote_t promote;
	int64_t at_ms;
	uint32_t i;

	promote_init(&promote, &change_limits, 3, 1, 0);
	promote_observed(&promote, 0, &old, 0);
	promote_observed(&promote, 1, &replica, 0);
	promote_observed(&promote, 2, &replica, 0);
	for (at_ms = 0; at_ms < 20000 && !released; at_ms += 5) {
		for (i = 1; i < 3; i++)
			promote_alive(&promote, i, MS(at_ms));
		if (ordered) /* the old primary is back */
			promote_alive(&promote, 0, MS(at_ms));
		promote_tick(&promote, MS(at_ms), &actions);
		for (i = 0; i < actions.count; i++) {
			const promote_action_t *action = &actions.list[i];

			holds.promised = action->term;
			if (action->kind == PROMOTE_ASK_WITNESS)
				promote_witness_heard(&promote, promote.witness,
				    false, MS(at_ms));
			else if (action->kind == PROMOTE_FENCE &&
			    action->database != 0)
				promote_fenced(&promote, action->database,
				    action->term, true, &holds, MS(at_ms));
			else if (action->kind == PROMOTE_SETTLE && !ordered)
				promote_settled(
				    &promote, action->term, true, MS(at_ms));
			else if (action->kind == PROMOTE_RAISE && c->answered)
				promote_raised(&promote, action->database,
				    action->term, false, &holds, MS(at_ms));
			ordered |= action->kind == PROMOTE_RAISE;
			released |= action->kind == PROMOTE_RELEASE;
		}
	}
	g_assert_true(ordered);
	g_assert_cmpint(released, ==, c->released);
	promote_clear(&promote);
}

typedef struct position_case {
	const char *name;
	uint32_t database; /* 0 is primary of term 2 */
	position_t position;
	int32_t primary; /* afterwards */
} position_case_t;

static const position_case_t position_cases[] = {
    {"the primary's log grows", 0, {2, 10}, 0},
    {"a replica's log grows", 1, {2, 10}, 0},
    {"the primary follows a newer one", 0, {3, 10}, -1},
    {"a replica follows a newer one", 1, {3, 10}, 0},
    {"an older position", 0, {1, 30}, 0},
};

/*
 * A position tells of a term, not who leads it.
 */
static void
test_position(gconstpointer data)
{
	const position_case_t *c = data;
	promote_t promote;
	uint32_t i;

	promote_init(&promote, &change_limits, 3, 1, 0);
	for (i = 0; i < 3; i++) {
		db_view_t view = {true, i == 0, false, 2, {2, 9}, 1};

		promote_observed(&promote, i, &view, 0);
	}
	promote_positioned(&promote, c->database, c->position);
	g_assert_cmpint(promote_primary(&promote), ==, c->primary);
	promote_clear(&promote);
}

typedef struct relief_case {
	const char *name;
	relief_view_t views[3]; /* the first is the primary */
	int64_t again_ms;       /* asked a second time, so much later */
	bool due;
	bool due_again;
} relief_case_t;

#define VIEW_OF(busy, lag_ms, index) \
	{ \
		true, 2, busy, lag_ms, \
		{ \
			1, index \
		} \
	}

static const relief_case_t relief_cases[] = {
    {"no replica has applied enough",
	{VIEW_OF(9, 0, 500), VIEW_OF(1, 9000, 495), VIEW_OF(1, 20000, 400)},
	1000, true, false},
    {"again after a while",
	{VIEW_OF(9, 0, 500), VIEW_OF(1, 9000, 495), VIEW_OF(1, 20000, 400)},
	9500, true, true},
    {"the primary has little to do",
	{VIEW_OF(3, 0, 500), VIEW_OF(1, 9000, 495), VIEW_OF(1, 20000, 495)},
	1000, false, false},
    {"one replica serves reads",
	{VIEW_OF(9, 0, 500), VIEW_OF(1, 50, 499), VIEW_OF(1, 20000, 495)}, 1000,
	false, false},
    {"no replica has received all",
	{VIEW_OF(9, 0, 500), VIEW_OF(1, 9000, 300), VIEW_OF(1, 20000, 300)},
	1000, false, false},
    {"the only one that has does not answer",
	{VIEW_OF(9, 0, 500), {false, 2, 1, 9000, {1, 499}},
	    VIEW_OF(1, 20000, 300)},
	1000, false, false},
};

/*
 * Ask every 50 ms for a while; returns whether relief was due once.
 */
static bool
due_within(relief_t *relief, const relief_view_t *views, int64_t from_ms)
{
	bool due = false;
	int64_t at_ms;

	for (at_ms = from_ms; at_ms <= from_ms + 1200 && !due; at_ms += 50)
		due = relief_due(relief, views, 3, 0, MS(at_ms));
	if (due)
		relief_given(relief, MS(at_ms));
	return due;
}

/*
 * A strained primary hands over, not at once and not again and again.
 */
static void
test_relief(gconstpointer data)
{
	const relief_case_t *c = data;
	relief_t relief = {0};

	g_assert_false(relief_due(&relief, c->views, 3, 0, MS(1)));
	g_assert_cmpint(due_within(&relief, c->views, 1), ==, c->due);
	g_assert_cmpint(
	    due_within(&relief, c->views, 1 + c->again_ms), ==, c->due_again);
}

typedef struct spread_case {
	const char *name;
	spread_t candidates[3]; /* the first is the primary */
	int32_t chosen;
} spread_case_t;

#define AT(usable, primary, zone, in_flight, busy) \
	{ \
		usable, primary, zone, 4, in_flight, 4, busy \
	}

#define TRIED(zone) \
	{ \
		true, false, zone, 4, 0, 4, 0, true \
	}

static const spread_case_t spread_cases[] = {
    {"one that was tried in vain comes last",
	{AT(true, true, true, 3, 3), TRIED(true), TRIED(false)}, 0},
    {"but before none",
	{AT(false, true, true, 0, 0), AT(false, false, true, 0, 0),
	    TRIED(true)},
	2},
    {"replicas before the primary",
	{AT(true, true, true, 0, 0), AT(true, false, false, 1, 0),
	    AT(true, false, false, 0, 0)},
	2},
    {"the own zone before another",
	{AT(true, true, false, 0, 0), AT(true, false, false, 0, 0),
	    AT(true, false, true, 0, 0)},
	2},
    {"the emptier zone before the own",
	{AT(true, true, false, 0, 0), AT(true, false, false, 0, 0),
	    AT(true, false, true, 1, 1)},
	1},
    {"the primary when replicas are much busier",
	{AT(true, true, true, 0, 0), AT(true, false, true, 3, 4),
	    AT(true, false, true, 3, 4)},
	0},
    {"what others run there counts",
	{AT(false, true, true, 0, 0), AT(true, false, true, 0, 4),
	    AT(true, false, true, 0, 1)},
	2},
    {"all that may are full",
	{AT(false, true, true, 0, 0), AT(true, false, true, 4, 4),
	    AT(true, false, true, 4, 4)},
	SPREAD_BUSY},
    {"none may",
	{AT(false, true, true, 0, 0), AT(false, false, true, 0, 0),
	    AT(false, false, true, 0, 0)},
	SPREAD_NONE},
};

/*
 * A read goes where it is served soonest.
 */
static void
test_spread(gconstpointer data)
{
	const spread_case_t *c = data;

	g_assert_cmpint(spread_choose(c->candidates, 3), ==, c->chosen);
}

/*
 * Run the tables.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CASES("/lease/until", lease_cases, test_lease);
	CASES("/lease/revoke", revoke_cases, test_revoke);
	CASES("/lease/bar", bar_cases, test_bar);
	CASES("/lease/later", later_cases, test_later);
	CASES("/lease/unlist", unlist_cases, test_unlist);
	CASES("/change", change_cases, test_change);
	CASES("/change/stuck", stuck_cases, test_stuck);
	CASES("/change/order", order_cases, test_order);
	CASES("/change/position", position_cases, test_position);
	CASES("/relief", relief_cases, test_relief);
	CASES("/spread", spread_cases, test_spread);
	g_test_add_func("/lease/lone-primary", test_lone_primary);
	return g_test_run();
}
