#include "../src/decide/open_orders.h"
#include "cases.h"

/*
 * Tests of open orders, which may take effect seconds after they were sent:
 * which orders count as open, and until when it is certain that none of them
 * has taken effect.
 */

#define MS(ms) ((int64_t)(ms)*1000)
#define STEPS_MAX 6

typedef enum step_kind {
	STEP_NONE,
	STEP_TOLD,     /* another daemon tells of an order, open until at_ms */
	STEP_RECORDED, /* the record has it, alone */
	/* the record has it, and an order to database b in a later attempt */
	STEP_RECORDED_WITH_B,
	/* the record has it, and one to the same database in the next attempt,
	   which replaces the same term */
	STEP_RECORDED_TWICE,
	STEP_READ_EMPTY, /* the record has none */
	STEP_LEADS,      /* a database leads a term */
	STEP_STARTED,    /* a database has started again, or left */
	STEP_TERM,       /* a term has begun; the set is complete */
	STEP_CHECKED,    /* a database is asked for its status, and answers */
	STEP_ACCEPTED,   /* the platform accepts the order */
	STEP_REFUSED,    /* the platform refuses the order */
	STEP_RESTORED,   /* the store has come back from an older copy */
	STEP_OVER,       /* another set shows that the order is over */
} step_kind_t;

/* An event; an order of attempt N is to replace term N - 1. */
typedef struct step {
	step_kind_t kind;
	const char *database;
	uint64_t term;
	int64_t at_ms;
} step_t;

typedef struct set_case {
	const char *name;
	step_t steps[STEPS_MAX];
	int64_t now_ms;
	bool a_open; /* expected: an order to database a is open */
	bool b_open;
} set_case_t;

static const set_case_t set_cases[] = {
    {"told", {{STEP_TOLD, "a", 2, 500}}, 100, true, false},
    {"its time is over, and its database was not asked since",
	{{STEP_TOLD, "a", 2, 500}, {STEP_CHECKED, "a", 2, 499}}, 600, true,
	false},
    {"its time is over, and its database was asked since",
	{{STEP_TOLD, "a", 2, 500}, {STEP_CHECKED, "a", 2, 500}}, 600, false,
	false},
    {"its time is over, and another database was asked since",
	{{STEP_TOLD, "a", 2, 500}, {STEP_CHECKED, "b", 2, 600}}, 600, true,
	false},
    {"told twice, the earlier end counts",
	{{STEP_TOLD, "a", 2, 500}, {STEP_TOLD, "a", 2, 900},
	    {STEP_CHECKED, "a", 2, 600}},
	600, false, false},
    {"it takes effect", {{STEP_TOLD, "a", 2, 500}, {STEP_LEADS, "a", 2}}, 100,
	false, false},
    {"another database leads", {{STEP_TOLD, "a", 2, 500}, {STEP_LEADS, "b", 2}},
	100, true, false},
    {"its database leads the term to be replaced",
	{{STEP_TOLD, "a", 2, 500}, {STEP_LEADS, "a", 1}}, 100, true, false},
    {"one of two to the same database takes effect",
	{{STEP_TOLD, "a", 2, 500}, {STEP_TOLD, "a", 3, 500},
	    {STEP_LEADS, "a", 4}},
	100, true, false},
    {"the other of two to the same database is over by now",
	{{STEP_TOLD, "a", 2, 500}, {STEP_TOLD, "a", 3, 90},
	    {STEP_LEADS, "a", 4}, {STEP_LEADS, "a", 4}},
	100, true, false},
    {"both of two to the same database take effect",
	{{STEP_TOLD, "a", 2, 500}, {STEP_TOLD, "a", 3, 500},
	    {STEP_LEADS, "a", 4}, {STEP_LEADS, "a", 6}},
	100, true, false},
    {"it took effect, and another daemon counts it as open",
	{{STEP_TOLD, "a", 2, 500}, {STEP_LEADS, "a", 2},
	    {STEP_TOLD, "a", 2, 400}},
	100, true, false},
    {"it took effect, and is read again",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_LEADS, "a", 2},
	    {STEP_RECORDED, "a", 2, 900}},
	100, false, false},
    {"it took effect, and is read with a later one",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_LEADS, "a", 2},
	    {STEP_RECORDED_WITH_B, "a", 2, 900}},
	100, true, true},
    {"it took effect before it is read",
	{{STEP_LEADS, "a", 2}, {STEP_RECORDED, "a", 2, 500}}, 100, false,
	false},
    {"its database led the term to be replaced before it is read",
	{{STEP_LEADS, "a", 1}, {STEP_RECORDED, "a", 2, 500}}, 100, true, false},
    {"another database led before it is read",
	{{STEP_LEADS, "b", 2}, {STEP_RECORDED, "a", 2, 500}}, 100, true, false},
    {"its database led before it is read, and has started again",
	{{STEP_LEADS, "a", 2}, {STEP_STARTED, "a"},
	    {STEP_RECORDED, "a", 2, 500}},
	100, true, false},
    {"its database led before it is told of",
	{{STEP_LEADS, "a", 2}, {STEP_TOLD, "a", 2, 500}}, 100, true, false},
    {"its database led before it is read with a later one",
	{{STEP_LEADS, "a", 2}, {STEP_RECORDED_WITH_B, "a", 2, 500}}, 100, true,
	true},
    {"its database led before two to it are read",
	{{STEP_LEADS, "a", 2}, {STEP_RECORDED_TWICE, "a", 2, 500}}, 100, true,
	false},
    {"its database led before two to it are read, the first is over",
	{{STEP_LEADS, "a", 2}, {STEP_RECORDED_TWICE, "a", 2, 500},
	    {STEP_RECORDED, "a", 3, 500}},
	100, true, false},
    {"another one to the same database is told afterwards",
	{{STEP_TOLD, "a", 2, 500}, {STEP_LEADS, "a", 3},
	    {STEP_TOLD, "a", 3, 500}, {STEP_LEADS, "a", 3}},
	100, true, false},
    {"the record lacks it, since the store has come back",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_RESTORED}, {STEP_READ_EMPTY}}, 100,
	true, false},
    {"the same, and its time is over, and its database was asked since",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_RESTORED}, {STEP_READ_EMPTY},
	    {STEP_CHECKED, "a", 2, 500}},
	600, false, false},
    {"it was over, and the store that has come back has one of its number",
	{{STEP_RECORDED, "a", 2, 100}, {STEP_CHECKED, "a", 2, 100},
	    {STEP_RESTORED}, {STEP_RECORDED, "a", 2, 500}},
	200, true, false},
    {"it took effect, and the store that has come back has it",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_LEADS, "a", 2}, {STEP_RESTORED},
	    {STEP_RECORDED, "a", 2, 900}},
	100, false, false},
    {"the record has another one",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_RECORDED, "b", 3, 500}}, 100,
	false, true},
    {"told ones stay when the record is read",
	{{STEP_TOLD, "a", 2, 500}, {STEP_READ_EMPTY}}, 100, true, false},
    {"recorded ones go when the record is read",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_READ_EMPTY}}, 100, false, false},
    {"a newer term began by the only order",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_TERM, NULL, 2}}, 100, false,
	false},
    {"a newer term began by one of two",
	{{STEP_TOLD, "a", 2, 500}, {STEP_TOLD, "b", 3, 500},
	    {STEP_TERM, NULL, 3}},
	100, true, true},
    {"the term to be replaced has begun",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_TERM, NULL, 1}}, 100, true, false},
    {"accepted",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_ACCEPTED, "a", 2, 300},
	    {STEP_CHECKED, "a", 2, 350}},
	350, false, false},
    {"refused", {{STEP_RECORDED, "a", 2, 500}, {STEP_REFUSED, "a", 2}}, 100,
	false, false},
    {"over", {{STEP_RECORDED, "a", 2, 500}, {STEP_OVER, "a", 2}}, 100, false,
	false},
    {"another attempt is over",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_OVER, "a", 3}}, 100, true, false},
    {"one of two that may have begun a term is over",
	{{STEP_TOLD, "a", 2, 500}, {STEP_TOLD, "a", 3, 500},
	    {STEP_LEADS, "a", 4}, {STEP_OVER, "a", 2}},
	100, true, false},
    {"another attempt is refused",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_REFUSED, "a", 3}}, 100, true,
	false},
};

/*
 * Apply an event to a set.
 */
static void
apply(open_orders_t *orders, const step_t *step)
{
	open_order_t order = {.database = (char *)step->database,
	    .attempt_term = step->term,
	    .replaced_term = step->term - 1,
	    .until_us = MS(step->at_ms)};
	open_order_t list[2];

	switch (step->kind) {
	case STEP_TOLD:
		open_orders_add(orders, &order);
		break;
	case STEP_RECORDED:
		order.source = OPEN_ORDER_RECORDED;
		open_orders_replace_recorded(orders, &order, 1);
		break;
	case STEP_RECORDED_WITH_B:
		order.source = OPEN_ORDER_RECORDED;
		list[0] = list[1] = order;
		list[1].database = "b";
		list[1].attempt_term++;
		open_orders_replace_recorded(orders, list, 2);
		break;
	case STEP_RECORDED_TWICE:
		order.source = OPEN_ORDER_RECORDED;
		list[0] = list[1] = order;
		list[1].attempt_term++;
		open_orders_replace_recorded(orders, list, 2);
		break;
	case STEP_READ_EMPTY:
		open_orders_replace_recorded(orders, NULL, 0);
		break;
	case STEP_LEADS:
		open_orders_term_begun(orders, step->database, step->term);
		break;
	case STEP_STARTED:
		open_orders_forget_leader(orders, step->database);
		break;
	case STEP_TERM:
		open_orders_term_begun(orders, NULL, step->term);
		break;
	case STEP_CHECKED:
		open_orders_checked(orders, step->database, MS(step->at_ms));
		break;
	case STEP_ACCEPTED:
		open_orders_shorten(
		    orders, step->database, step->term, MS(step->at_ms));
		break;
	case STEP_REFUSED:
		open_orders_remove(orders, step->database, step->term);
		break;
	case STEP_OVER:
		open_orders_forget(orders, step->database, step->term);
		break;
	case STEP_RESTORED:
		open_orders_store_restored(orders);
		break;
	case STEP_NONE:
		break;
	}
}

/*
 * Count an order.
 */
static void
count_order(void *context, const open_order_t *order)
{
	uint32_t *count = context;

	g_assert_nonnull(order);
	(*count)++;
}

/*
 * Test which orders are open after a series of events, and that the others are
 * over.
 */
static void
test_set(gconstpointer data)
{
	const set_case_t *c = data;
	open_orders_t orders;
	uint32_t i, over = 0;

	open_orders_init(&orders);
	for (i = 0; i < STEPS_MAX; i++)
		apply(&orders, &c->steps[i]);
	open_orders_expire(&orders, false, MS(c->now_ms));
	g_assert_cmpint(open_orders_has(&orders, "a"), ==, c->a_open);
	g_assert_cmpint(open_orders_has(&orders, "b"), ==, c->b_open);
	g_assert_cmpint(
	    open_orders_count(&orders) > 0, ==, c->a_open || c->b_open);
	open_orders_each_over(&orders, count_order, &over);
	g_assert_cmpuint(
	    open_orders_count(&orders) + over, ==, orders.list->len);
	open_orders_clear(&orders);
}

typedef struct checked_case {
	const char *name;
	/* of databases 1 and 2, beside the primary of term 2 */
	bool open[2];
	uint64_t term[2];        /* 0: it has not answered */
	int64_t requested_ms[2]; /* time of the last answered request */
	bool outside;
	int64_t checked_ms; /* expected; -1: no order is open */
} checked_case_t;

static const checked_case_t checked_cases[] = {
    {"none is open", {false, false}, {2, 2}, {10, 20}, false, -1},
    {"one is open", {true, false}, {2, 2}, {10, 20}, false, 10},
    {"both are open", {true, true}, {2, 2}, {30, 20}, false, 20},
    {"its database has not heard of the primary", {true, false}, {1, 2},
	{10, 20}, false, 10},
    {"its database has not answered", {true, false}, {0, 2}, {10, 20}, false,
	0},
    {"its database leads a newer term", {false, true}, {2, 3}, {10, 20}, false,
	0},
    {"its database is not in the group", {false, false}, {2, 2}, {10, 20}, true,
	0},
};

/*
 * Test until when it is certain that no open order has taken effect.
 */
static void
test_checked(gconstpointer data)
{
	const checked_case_t *c = data;
	lease_t lease = {.order_open_outside = c->outside};
	db_view_t views[3] = {{.known = true,
	    .primary = true,
	    .promised = 2,
	    .term = 2,
	    .order_open = true}};
	uint32_t i;

	for (i = 0; i < 2; i++) {
		db_view_t *view = &views[i + 1];

		view->known = c->term[i] != 0;
		view->term = view->promised = c->term[i];
		view->requested_us = MS(c->requested_ms[i]);
		view->order_open = c->open[i];
	}
	g_assert_cmpint(lease_checked_us(&lease, views, 3, 0), ==,
	    c->checked_ms < 0 ? INT64_MAX : MS(c->checked_ms));
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	CASES("/open-orders/set", set_cases, test_set);
	CASES("/open-orders/checked", checked_cases, test_checked);
	return g_test_run();
}
