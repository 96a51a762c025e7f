#include "../src/decide/rankq.h"

#include "cases.h"

#include <string.h>

/* The queue with ranks: order, floors, turns, deadlines, estimates. */

#define ITEMS_MAX 4000

typedef struct flood_case {
	const char *name;
	uint32_t floors[RANKS];
	uint32_t waiting[RANKS]; /* kept at this many */
	uint32_t served;
	uint32_t at_least[RANKS];
} flood_case_t;

static const flood_case_t flood_cases[] = {
    {"urgent first", {0, 0, 0}, {50, 50, 50}, 1000, {1000, 0, 0}},
    {"a flood of urgent leaves the floors", {0, 15, 5}, {500, 50, 50}, 1000,
	{790, 149, 49}},
    {"a flood of background", {0, 15, 5}, {1, 1, 500}, 1000, {790, 149, 49}},
    {"nobody else waits", {0, 15, 5}, {0, 0, 500}, 1000, {0, 0, 1000}},
    {"standard takes what urgent leaves", {0, 15, 5}, {0, 50, 50}, 1000,
	{0, 940, 49}},
};

/*
 * Serve from a queue that is filled up again after each.
 */
static void
test_flood(gconstpointer data)
{
	const flood_case_t *c = data;
	static rankq_item_t items[ITEMS_MAX];
	rankq_t *q = rankq_new(c->floors);
	uint32_t served[RANKS] = {0}, used = 0, rank, i;

	memset(items, 0, sizeof(items));
	for (rank = 0; rank < RANKS; rank++) {
		for (i = 0; i < c->waiting[rank]; i++) {
			items[used].rank = rank;
			items[used].account = "one";
			rankq_push(q, &items[used++], false);
		}
	}
	for (i = 0; i < c->served; i++) {
		rankq_item_t *item = rankq_pop(q);

		g_assert_nonnull(item);
		served[item->rank]++;
		rankq_push(q, item, false);
	}
	for (rank = 0; rank < RANKS; rank++)
		g_assert_cmpuint(served[rank], >=, c->at_least[rank]);
	rankq_free(q);
}

/*
 * One account in a flood does not take the turns of the others.
 */
static void
test_turns(void)
{
	static const uint32_t floors[RANKS] = {0, 0, 0};
	static const char *const accounts[] = {"flood", "a", "b", "c"};
	static rankq_item_t items[1030];
	rankq_t *q = rankq_new(floors);
	uint32_t served[4] = {0}, i, j;

	memset(items, 0, sizeof(items));
	for (i = 0; i < G_N_ELEMENTS(items); i++) {
		items[i].rank = 1;
		items[i].account = accounts[i < 1000 ? 0 : 1 + i % 3];
		rankq_push(q, &items[i], false);
	}
	for (i = 0; i < 40; i++) {
		rankq_item_t *item = rankq_pop(q);

		for (j = 0; j < 4; j++)
			served[j] += strcmp(item->account, accounts[j]) == 0;
	}
	for (j = 0; j < 4; j++)
		g_assert_cmpuint(served[j], ==, 10);
	rankq_free(q);
}

/*
 * What is overdue comes out by itself, what is removed is gone.
 */
static void
test_deadlines(void)
{
	static const uint32_t floors[RANKS] = {0, 0, 0};
	rankq_item_t items[3] = {
	    {.rank = 0, .account = "a", .deadline_us = 10},
	    {.rank = 1, .account = "b", .deadline_us = 20},
	    {.rank = 2, .account = "c", .deadline_us = 30},
	};
	rankq_t *q = rankq_new(floors);
	uint32_t i;

	for (i = 0; i < 3; i++)
		rankq_push(q, &items[i], false);
	g_assert_null(rankq_expired(q, 9));
	g_assert_true(rankq_expired(q, 20) != NULL);
	g_assert_true(rankq_expired(q, 20) != NULL);
	g_assert_null(rankq_expired(q, 20));
	g_assert_cmpuint(rankq_count(q), ==, 1);
	rankq_remove(q, &items[2]);
	g_assert_null(rankq_pop(q));
	rankq_free(q);
}

typedef struct wait_case {
	const char *name;
	uint32_t floors[RANKS];
	uint32_t waiting[RANKS];
	uint32_t rank;
	const char *account;
	double rate;
	int64_t at_most_us;
	int64_t at_least_us;
} wait_case_t;

static const wait_case_t wait_cases[] = {
    {"nothing waits", {0, 15, 5}, {0, 0, 0}, 2, "one", 1000, 0, 0},
    {"urgent does not wait for background", {0, 15, 5}, {0, 0, 3000}, 0, "one",
	1000, 0, 0},
    {"background waits for all", {0, 0, 0}, {100, 100, 100}, 2, "one", 1000,
	300000, 300000},
    {"a floor bounds the wait", {0, 15, 5}, {3000, 0, 10}, 2, "one", 1000,
	220000, 200000},
    {"another account takes its turn", {0, 0, 0}, {0, 1000, 0}, 1, "two", 1000,
	1000, 0},
    {"an unknown rate says nothing", {0, 0, 0}, {0, 1000, 0}, 1, "one", 0, 0,
	0},
};

/*
 * The estimate that an early refusal rests on.
 */
static void
test_wait(gconstpointer data)
{
	const wait_case_t *c = data;
	static rankq_item_t items[ITEMS_MAX];
	rankq_t *q = rankq_new(c->floors);
	uint32_t used = 0, rank, i;
	int64_t wait_us;

	memset(items, 0, sizeof(items));
	for (rank = 0; rank < RANKS; rank++) {
		for (i = 0; i < c->waiting[rank]; i++) {
			items[used].rank = rank;
			items[used].account = "one";
			rankq_push(q, &items[used++], false);
		}
	}
	wait_us = rankq_wait_us(q, c->rank, c->account, c->rate);
	g_assert_cmpint(wait_us, <=, c->at_most_us);
	g_assert_cmpint(wait_us, >=, c->at_least_us);
	rankq_free(q);
}

typedef struct admit_case {
	const char *name;
	uint32_t flood;  /* waiting of one account */
	uint32_t others; /* waiting of each of three others */
	const char *account;
	bool admitted;
} admit_case_t;

static const admit_case_t admit_cases[] = {
    {"room for anybody", 49, 0, "flood", true},
    {"alone, up to the limit", 99, 0, "flood", true},
    {"alone, at the limit", 100, 0, "flood", false},
    {"beside others it has its part", 60, 1, "flood", false},
    {"the others have room", 60, 1, "a", true},
    {"a new account has room", 100, 0, "new", true},
    {"each within its part", 25, 25, "a", false},
    {"not beyond all bounds", 75, 25, "new", false},
};

/*
 * A limit of 100 on one rank.
 */
static void
test_admits(gconstpointer data)
{
	static const uint32_t floors[RANKS] = {0, 0, 0};
	static const char *const others[] = {"a", "b", "c"};
	static rankq_item_t items[400];
	const admit_case_t *c = data;
	rankq_t *q = rankq_new(floors);
	uint32_t i, j, used = 0;

	memset(items, 0, sizeof(items));
	for (i = 0; i < c->flood; i++) {
		items[used].account = "flood";
		rankq_push(q, &items[used++], false);
	}
	for (i = 0; i < G_N_ELEMENTS(others); i++) {
		for (j = 0; j < c->others; j++) {
			items[used].account = others[i];
			rankq_push(q, &items[used++], false);
		}
	}
	g_assert_cmpint(rankq_admits(q, 0, c->account, 100), ==, c->admitted);
	rankq_free(q);
}

/*
 * Run the tables.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CASES("/queue/flood", flood_cases, test_flood);
	CASES("/queue/wait", wait_cases, test_wait);
	CASES("/queue/admits", admit_cases, test_admits);
	g_test_add_func("/queue/turns", test_turns);
	g_test_add_func("/queue/deadlines", test_deadlines);
	return g_test_run();
}
