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
	/* a record that was asked for before has none */
	STEP_READ_EARLIER,
	STEP_READ_MISSING,   /* there is no record */
	STEP_READ_BEGUN,     /* a record that was begun again has none */
	STEP_RECORDED_BEGUN, /* such a record has it, alone */
	STEP_LEADS,          /* a database leads a term */
	STEP_STARTED,        /* a database has started again, or left */
	STEP_CHECKED,  /* a database is asked for its status, and answers */
	STEP_ACCEPTED, /* the platform accepts the order */
	STEP_REFUSED,  /* the platform refuses the order */
	STEP_RESTORED, /* the store has come back from an older copy */
	STEP_OVER,     /* another set shows that the order is over */
	/* the next order is recorded: by the answers, the order to the database
	   is open until 500 ms, or none is */
	STEP_SETTLED_OPEN,
	STEP_SETTLED,
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
    {"a database leads two terms, and a later order may have begun neither",
	{{STEP_TOLD, "a", 2, 500}, {STEP_TOLD, "a", 3, 500},
	    {STEP_LEADS, "a", 3}, {STEP_TOLD, "a", 4, 5000},
	    {STEP_LEADS, "a", 4}, {STEP_CHECKED, "a", 4, 600}},
	700, true, false},
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
    {"a record that was asked for before it was recorded lacks it",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_READ_EARLIER}}, 100, true, false},
    {"the same, and one that was asked for later",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_READ_EARLIER}, {STEP_READ_EMPTY}},
	100, false, false},
    {"a record that was begun again lacks it",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_READ_BEGUN}}, 100, true, false},
    {"the same, and it is read again",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_READ_BEGUN}, {STEP_READ_BEGUN}},
	100, true, false},
    {"the same, and its database was asked after its time",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_READ_BEGUN},
	    {STEP_CHECKED, "a", 2, 500}},
	600, false, false},
    {"there is no record any more",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_READ_MISSING}}, 100, true, false},
    {"a record that was begun again has it, and lacks it later",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_RECORDED_BEGUN, "a", 2, 500},
	    {STEP_READ_BEGUN}},
	100, false, false},
    {"recorded ones go when the record is read",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_READ_EMPTY}}, 100, false, false},
    {"it is the only one, and a database has begun a newer term that no known "
     "order names",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_LEADS, "b", 2}}, 100, true, false},
    {"two are known, and the database of neither has begun a newer term",
	{{STEP_TOLD, "a", 2, 500}, {STEP_TOLD, "b", 3, 500},
	    {STEP_LEADS, "c", 3}},
	100, true, true},
    {"a database leads two terms by two orders, and it is the only other one",
	{{STEP_TOLD, "b", 2, 500}, {STEP_TOLD, "b", 3, 500},
	    {STEP_TOLD, "a", 4, 900}, {STEP_LEADS, "b", 4},
	    {STEP_LEADS, "b", 5}, {STEP_CHECKED, "b", 5, 600}},
	700, true, false},
    {"a database leads the term to be replaced",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_LEADS, "b", 1}}, 100, true, false},
    {"accepted",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_ACCEPTED, "a", 2, 300},
	    {STEP_CHECKED, "a", 2, 350}},
	350, false, false},
    {"refused", {{STEP_RECORDED, "a", 2, 500}, {STEP_REFUSED, "a", 2}}, 100,
	false, false},
    {"the next one is recorded within 10 s of its time",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_SETTLED, NULL, 0, 10499}}, 10499,
	true, false},
    {"the next one is recorded later, and it is over by the answers",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_SETTLED, NULL, 0, 10500}}, 10500,
	false, false},
    {"the next one is recorded later, and it is open by the answers",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_SETTLED_OPEN, "a", 2, 10500}},
	10500, true, false},
    {"the same, and its database leads a term that an older one may have begun",
	{{STEP_RECORDED_TWICE, "a", 2, 500}, {STEP_SETTLED_OPEN, "a", 3, 10500},
	    {STEP_LEADS, "a", 4}},
	10500, true, false},
    {"the next one is recorded later, and it is not known",
	{{STEP_SETTLED_OPEN, "a", 2, 10500}}, 10500, true, false},
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
		open_orders_replace_recorded(orders, &order, 1, 1, 0, 0);
		break;
	case STEP_RECORDED_WITH_B:
		order.source = OPEN_ORDER_RECORDED;
		list[0] = list[1] = order;
		list[1].database = "b";
		list[1].attempt_term++;
		open_orders_replace_recorded(orders, list, 2, 1, 0, 0);
		break;
	case STEP_RECORDED_TWICE:
		order.source = OPEN_ORDER_RECORDED;
		list[0] = list[1] = order;
		list[1].attempt_term++;
		open_orders_replace_recorded(orders, list, 2, 1, 0, 0);
		break;
	case STEP_READ_EMPTY:
		open_orders_replace_recorded(orders, NULL, 0, 1, 0, 0);
		break;
	case STEP_READ_EARLIER:
		open_orders_replace_recorded(orders, NULL, 0, 1, MS(-1), 0);
		break;
	case STEP_READ_MISSING:
		open_orders_replace_recorded(orders, NULL, 0, 0, 0, 0);
		break;
	case STEP_READ_BEGUN:
		open_orders_replace_recorded(orders, NULL, 0, 2, 0, 0);
		break;
	case STEP_RECORDED_BEGUN:
		order.source = OPEN_ORDER_RECORDED;
		open_orders_replace_recorded(orders, &order, 1, 2, 0, 0);
		break;
	case STEP_LEADS:
		open_orders_term_begun(orders, step->database, step->term);
		break;
	case STEP_STARTED:
		open_orders_forget_leader(orders, step->database);
		break;
	case STEP_CHECKED:
		open_orders_checked(orders, step->database, 0, MS(step->at_ms));
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
	case STEP_SETTLED_OPEN:
		order.until_us = MS(500);
		open_orders_settle(orders, &order, 1, MS(step->at_ms));
		break;
	case STEP_SETTLED:
		open_orders_settle(orders, NULL, 0, MS(step->at_ms));
		break;
	case STEP_NONE:
		break;
	}
}

/* Orders that a record must name, or need not name. */
typedef struct named_orders {
	const open_orders_t *orders;
	bool named;
	uint32_t count;
} named_orders_t;

/*
 * Count an order, and check that it is named if an order to its database is
 * open.
 */
static void
count_order(void *context, const open_order_t *order)
{
	named_orders_t *named = context;

	g_assert_cmpint(
	    open_orders_has(named->orders, order->database), ==, named->named);
	named->count++;
}

/*
 * Test which orders are open after a series of events, and that a record must
 * name the orders to their databases, and no others.
 */
static void
test_set(gconstpointer data)
{
	const set_case_t *c = data;
	open_orders_t orders;
	named_orders_t must = {&orders, true}, need_not = {&orders};
	uint32_t i;

	open_orders_init(&orders);
	for (i = 0; i < STEPS_MAX; i++)
		apply(&orders, &c->steps[i]);
	open_orders_expire(&orders, MS(c->now_ms));
	g_assert_cmpint(open_orders_has(&orders, "a"), ==, c->a_open);
	g_assert_cmpint(open_orders_has(&orders, "b"), ==, c->b_open);
	g_assert_cmpint(
	    open_orders_count(&orders) > 0, ==, c->a_open || c->b_open);
	open_orders_each_named(&orders, true, count_order, &must);
	open_orders_each_named(&orders, false, count_order, &need_not);
	g_assert_cmpuint(must.count + need_not.count, ==, orders.list->len);
	open_orders_clear(&orders);
}

typedef struct checked_case {
	const char *name;
	/* of databases 1 and 2, beside the primary of term 2 */
	bool open[2];
	uint64_t term[2];        /* 0: it has not answered */
	int64_t requested_ms[2]; /* time of the last answered request */
	bool outside;
	int64_t checked_ms;  /* expected; -1: no order is open */
	uint64_t lease_term; /* 0: there was no lease */
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
    {"its database follows the term of the lease", {true, false}, {2, 2},
	{10, 20}, false, 10, 2},
    {"its database has led a term between that of the lease and that of the "
     "primary",
	{true, false}, {2, 2}, {10, 20}, false, 0, 1},
};

/*
 * Test until when it is certain that no open order has taken effect.
 */
static void
test_checked(gconstpointer data)
{
	const checked_case_t *c = data;
	lease_t lease = {
	    .order_open_outside = c->outside, .term = c->lease_term};
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

typedef struct end_case {
	const char *name;
	step_t steps[STEPS_MAX];
	open_order_end_t end; /* expected */
} end_case_t;

static const end_case_t end_cases[] = {
    {"open", {{STEP_RECORDED, "a", 2, 500}}, OPEN_ORDER_OPEN},
    {"refused", {{STEP_RECORDED, "a", 2, 500}, {STEP_REFUSED, "a", 2}},
	OPEN_ORDER_REFUSED},
    {"a record lacks it", {{STEP_RECORDED, "a", 2, 500}, {STEP_READ_EMPTY}},
	OPEN_ORDER_UNRECORDED},
    {"a record that was asked for before lacks it",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_READ_EARLIER}}, OPEN_ORDER_OPEN},
    {"a record that was begun again lacks it",
	{{STEP_RECORDED, "a", 2, 500}, {STEP_READ_BEGUN}}, OPEN_ORDER_OPEN},
};

/*
 * Test what is noted as the end of an order, without an answer.
 */
static void
test_end(gconstpointer data)
{
	const end_case_t *c = data;
	open_orders_t orders;
	uint32_t i;

	open_orders_init(&orders);
	for (i = 0; i < STEPS_MAX; i++)
		apply(&orders, &c->steps[i]);
	g_assert_cmpint(orders.last_end, ==, c->end);
	open_orders_clear(&orders);
}

typedef struct named_case {
	const char *name;
	uint64_t begun; /* token with which the record that is read last was */
	bool has;       /* it has the order */
	bool named;     /* expected: the record has named the order */
} named_case_t;

static const named_case_t named_cases[] = {
    {"the record has it", 1, true, true},
    {"a record that was begun again has it", 2, true, true},
    {"a record that was begun again lacks it", 2, false, false},
};

/*
 * Test that an order which the record has named is not named any more once the
 * record was begun again without it.
 */
static void
test_named(gconstpointer data)
{
	const named_case_t *c = data;
	open_order_t order = {.database = (char *)"a",
	    .attempt_term = 2,
	    .until_us = MS(500),
	    .source = OPEN_ORDER_RECORDED};
	const open_order_t *found;
	open_orders_t orders;

	open_orders_init(&orders);
	open_orders_replace_recorded(&orders, &order, 1, 1, MS(1), MS(2));
	open_orders_replace_recorded(
	    &orders, &order, c->has, c->begun, MS(3), MS(4));
	g_assert_cmpuint(orders.list->len, ==, 1);
	found = g_ptr_array_index(orders.list, 0);
	g_assert_cmpint(found->named_since_us != 0, ==, c->named);
	open_orders_clear(&orders);
}

/* Databases that are asked, and the one that is ordered and has left. */
static const char *const group_names[] = {"a", "b"};

typedef struct update_case {
	const char *name;
	const char *ordered;  /* the database that an order to replace term 2 of
				 until 500 ms names */
	uint64_t term;        /* of database a */
	bool leads;           /* database a leads it */
	int64_t requested_ms; /* time of the answered requests */
	int64_t now_ms;
	bool open;            /* expected: the order to database a is open */
	bool outside;         /* expected: one outside of the group is */
	bool unanswered;      /* expected: its database cannot be asked */
	open_order_end_t end; /* expected: what has ended it */
} update_case_t;

static const update_case_t update_cases[] = {
    {"it is asked within the time", "a", 2, false, 499, 499, true, false,
	false},
    {"it is asked after the time", "a", 2, false, 500, 500, false, false, false,
	OPEN_ORDER_ASKED},
    {"it leads a newer term", "a", 3, true, 499, 499, false, false, false,
	OPEN_ORDER_LED},
    {"it has not answered for a second since", "a", 2, false, 499, 1500, true,
	false, true},
    {"the same, for less", "a", 2, false, 499, 1499, true, false, false},
    {"the same, and it is the primary", "a", 2, true, 499, 1500, true, false,
	false},
    {"another one is ordered, which has left the group", "c", 2, false, 499,
	499, false, true, false},
    {"the same, and its time is over", "c", 2, false, 500, 500, false, true,
	false},
    {"the same, and another one leads a newer term", "c", 3, true, 500, 500,
	false, true, false},
    {"the same, for a second", "c", 3, true, 1500, 1500, false, true, true},
};

/*
 * Return the name of a database of the group.
 */
static const char *
group_name(void *context, uint32_t database)
{
	(void)context;
	return group_names[database];
}

/*
 * Test which databases are marked as those that an open order names, by the
 * answers of the group.
 */
static void
test_update(gconstpointer data)
{
	const update_case_t *c = data;
	failover_t failover = {.count = G_N_ELEMENTS(group_names)};
	lease_t lease = {0};
	open_order_t order = {.database = (char *)c->ordered,
	    .attempt_term = 3,
	    .replaced_term = 2,
	    .until_us = MS(500),
	    .source = OPEN_ORDER_RECORDED};
	open_orders_t orders;
	uint32_t i;

	for (i = 0; i < failover.count; i++)
		failover.views[i] = (db_view_t){.known = true,
		    .promised = i == 0 ? c->term : 2,
		    .term = i == 0 ? c->term : 2,
		    .primary = i == 0 ? c->leads : !c->leads,
		    .requested_us = MS(c->requested_ms)};
	open_orders_init(&orders);
	open_orders_replace_recorded(&orders, &order, 1, 1, 0, 0);
	open_orders_update(
	    &orders, &failover, &lease, group_name, NULL, MS(c->now_ms));
	g_assert_cmpint(failover.order_unanswered, ==, c->unanswered);
	g_assert_cmpint(orders.last_end, ==, c->end);
	g_assert_cmpint(failover.views[0].order_open, ==, c->open);
	g_assert_cmpint(failover.views[1].order_open, ==, false);
	g_assert_cmpint(lease.order_open_outside, ==, c->outside);
	g_assert_cmpint(failover.order_open_outside, ==, c->outside);
	open_orders_clear(&orders);
}

/* An answer of database a to a request. */
typedef struct led_answer {
	int64_t requested_ms;
	uint64_t led_term; /* 0: it leads none */
} led_answer_t;

typedef struct overtaken_case {
	const char *name;
	/* times at which orders to database a are noted, after one to a
	   database that has left, which may take effect until 500 ms; 0: none
	 */
	int64_t noted_ms[2];
	led_answer_t answers[2];
	bool open; /* expected: the order to the database that has left is */
} overtaken_case_t;

static const overtaken_case_t overtaken_cases[] = {
    {"a term began after its time", {0}, {{500, 0}, {600, 3}}, false},
    {"a term may have begun before", {0}, {{499, 0}, {600, 3}}, true},
    {"a term had begun when it was asked first", {0}, {{600, 3}, {700, 3}},
	true},
    {"the same, and the next one began after its time", {0},
	{{600, 3}, {700, 4}}, false},
    {"no term has begun", {0}, {{600, 0}, {700, 0}}, true},
    {"a term had begun, by an order after its time", {500},
	{{600, 3}, {700, 3}}, false},
    {"a term had begun, by an order before", {499}, {{600, 3}, {700, 3}}, true},
    {"a term had begun, by one of two orders after its time", {500, 500},
	{{600, 3}, {700, 3}}, true},
    {"an order after its time has begun no term", {500}, {{600, 0}, {700, 0}},
	true},
};

/*
 * Test which answers show that an order cannot have begun the newest term.
 */
static void
test_overtaken(gconstpointer data)
{
	const overtaken_case_t *c = data;
	failover_t failover = {.count = 1};
	lease_t lease = {0};
	open_order_t order = {.database = (char *)"c",
	    .attempt_term = 3,
	    .replaced_term = 2,
	    .until_us = MS(500),
	    .source = OPEN_ORDER_RECORDED};
	open_orders_t orders;
	uint32_t i;

	open_orders_init(&orders);
	open_orders_note(&orders, &order, 0);
	order.database = (char *)"a";
	for (i = 0; i < 2 && c->noted_ms[i] != 0; i++) {
		order.attempt_term++;
		order.until_us = MS(c->noted_ms[i] + 10000);
		open_orders_note(&orders, &order, MS(c->noted_ms[i]));
	}
	for (i = 0; i < 2; i++) {
		const led_answer_t *answer = &c->answers[i];

		failover.views[0] = (db_view_t){.known = true,
		    .promised = answer->led_term,
		    .term = answer->led_term,
		    .primary = answer->led_term != 0,
		    .requested_us = MS(answer->requested_ms)};
		open_orders_update(&orders, &failover, &lease, group_name, NULL,
		    MS(answer->requested_ms));
	}
	g_assert_cmpint(lease.order_open_outside, ==, c->open);
	if (c->noted_ms[0] == 0) /* others have ended as well if not */
		g_assert_cmpint(orders.last_end, ==,
		    c->open ? OPEN_ORDER_OPEN : OPEN_ORDER_OVERTAKEN);
	open_orders_clear(&orders);
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
	CASES("/open-orders/named", named_cases, test_named);
	CASES("/open-orders/end", end_cases, test_end);
	CASES("/open-orders/checked", checked_cases, test_checked);
	CASES("/open-orders/update", update_cases, test_update);
	CASES("/open-orders/overtaken", overtaken_cases, test_overtaken);
	return g_test_run();
}
