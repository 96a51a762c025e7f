#include "../platform/json_tree.h"
#include "../platform/object_page.h"
#include "../src/proxy/recorded_members.h"
#include "cases.h"

#include <string.h>

/*
 * Tests of former members: how long they count, what they allow, and how they
 * are kept in the record.
 */

/* Ordinary number of an attempt, and one of a standing promise. */
#define ORDINARY 3
#define STANDING(replaced) ((UINT64_C(1) << 20) + (replaced))

typedef struct terms_case {
	const char *name;
	uint64_t replaced, attempt; /* of the recorded orders */
	uint64_t term;
	uint64_t unproven;
	uint64_t newest;
	uint64_t until, from; /* expected */
} terms_case_t;

static const terms_case_t terms_cases[] = {
    {"no order yet", 0, 0, 1, 0, 1, 1, 0},
    {"an order has led to the term", 1, ORDINARY, 2, 0, 2, 2, 2},
    {"an order has had no effect so far", 1, ORDINARY, 1, 0, 1, 2, 0},
    {"an order without a record has led to the term", 1, STANDING(1), 2, 0, 2,
	2, 0},
    {"one may have, besides a recorded one", 1, ORDINARY, 2, STANDING(2), 2, 3,
	2},
    {"one of a term before", 1, ORDINARY, 2, STANDING(1), 2, 2, 2},
    {"the term after that is known", 1, ORDINARY, 3, 0, 3, 3, 2},
};

/*
 * Test until which term leases may rest on members that are replaced now, and
 * from which term earlier ones do not count any more.
 */
static void
test_terms(gconstpointer data)
{
	const terms_case_t *c = data;
	recorded_orders_t orders = {
	    .replaced_term = c->replaced, .attempt_term = c->attempt};

	g_assert_cmpuint(
	    former_members_until(&orders, c->term, c->unproven), ==, c->until);
	g_assert_cmpuint(former_members_from(&orders, c->newest), ==, c->from);
}

typedef struct hold_case {
	const char *name;
	const char *databases;          /* y: it has promised */
	const char *sets[2];            /* m: it is a member of the set */
	uint32_t count[2];              /* members of each set */
	uint32_t ended[2];              /* of these */
	bool with_ended, without_ended; /* expected */
	bool open;                      /* the sets are */
} hold_case_t;

static const hold_case_t hold_cases[] = {
    {"no former members", "ynn", {NULL}, {0}, {0}, true, true},
    {"two of three", "yynnn", {"mmm--"}, {3}, {0}, true, true},
    {"one of three, and those that were added", "ynnyy", {"mmm--"}, {3}, {0},
	false, false},
    {"one of three, another one has ended", "yn-yy", {"mm---"}, {3}, {1}, true,
	false},
    {"a majority of one set only", "yynnn", {"mmm--", "--mmm"}, {3, 3}, {0, 0},
	false, false},
    {"a majority of both", "nyyyn", {"mmm--", "--mmm"}, {3, 3}, {0, 0}, true,
	true},
    {"an open set, as many of it as lack", "nyyyn", {"mmm--"}, {3}, {0}, true,
	true, true},
    {"an open set, one of it and two that lack", "nynyy", {"mmm--"}, {3}, {0},
	false, false, true},
    {"an open set of one, two that lack are a majority of a list", "yynyn",
	{"m----"}, {1}, {0}, false, false, true},
    {"an open set of none, one lacks", "nyyyy", {"-----"}, {0}, {0}, false,
	false, true},
    {"an open set of none, all", "yyyyy", {"-----"}, {0}, {0}, true, true,
	true},
};

/*
 * Test that a change of the primary needs a majority of each set.
 */
static void
test_hold(gconstpointer data)
{
	const hold_case_t *c = data;
	former_members_t sets[2] = {0};
	failover_limits_t limits = {0};
	failover_t failover;
	bool databases[GROUP_DATABASES_MAX] = {false};
	uint32_t i, j, n = 0;

	failover_init(&failover, &limits, (uint32_t)strlen(c->databases), 1, 0);
	for (i = 0; i < failover.count; i++)
		databases[i] = c->databases[i] == 'y';
	for (i = 0; i < G_N_ELEMENTS(sets) && c->sets[i] != NULL; i++, n++) {
		sets[i].open = c->open;
		sets[i].count = c->count[i];
		sets[i].ended = c->ended[i];
		for (j = 0; j < failover.count; j++)
			sets[i].member[j] = c->sets[i][j] == 'm';
	}
	failover_set_former(&failover, sets, n, 0);
	g_assert_cmpint(
	    former_members_hold(&failover, databases, true), ==, c->with_ended);
	g_assert_cmpint(former_members_hold(&failover, databases, false), ==,
	    c->without_ended);
	failover_clear(&failover);
}

typedef struct read_case {
	const char *name;
	uint64_t replaced, attempt; /* of the orders that are known */
	uint64_t record_replaced;   /* read with the members */
	int64_t read_ms;            /* time of that; the term is seen at 100 */
	uint64_t term;
	bool shown; /* a replica holds the promise for the last order */
	bool renewed;
	bool unrecorded; /* the record has no members */
	/* eras of the store when the record was read, and when it is known to
	   have come back from an older copy; and whether it is read again */
	uint64_t read_era, store_era;
	bool read_again;
	uint64_t later_term; /* seen after that; 0: none */
	int64_t seen_ms;     /* the term is seen then; 0: at 100 */
} read_case_t;

static const read_case_t read_cases[] = {
    {"members that were read in the term", 0, 0, 0, 200, 1, false, true},
    {"before the term was seen", 0, 0, 0, 50, 2, false, false},
    {"after it was seen", 0, 0, 0, 150, 2, false, true},
    {"before it was seen, and none were recorded", 0, 0, 0, 50, 2, false, false,
	true},
    {"after it was seen, and none were recorded", 0, 0, 0, 150, 2, false, true,
	true},
    {"with the order that led to it", 1, ORDINARY, 1, 50, 2, false, true},
    {"with an order of the same term as the one that led to it, long before", 1,
	ORDINARY, 1, 50, 2, false, false, .seen_ms = 1051},
    {"with the order that led to it, within the duration of a lease", 1,
	ORDINARY, 1, 50, 2, false, true, .seen_ms = 1050},
    {"before an order without a record led to it, long before", 1, STANDING(1),
	0, 50, 2, true, true, .seen_ms = 1051},
    {"before an order without a record led to it", 1, STANDING(1), 0, 50, 2,
	true, true},
    {"before another order led to it than the one without a record", 1,
	STANDING(1), 0, 50, 2, false, false},
    {"before two such orders", 2, STANDING(2), 0, 50, 3, true, false},
    {"in the era of the store", 0, 0, 0, 200, 1, false, true, false, 2, 2},
    {"before the store came back from an older copy", 0, 0, 0, 200, 1, false,
	false, false, 1, 2},
    {"the same, and none were recorded", 0, 0, 0, 200, 1, false, false, true, 1,
	2},
    {"before the store came back, and again since", 0, 0, 0, 200, 1, false,
	true, false, 1, 2, true},
    {"with an order of an older era, and again since", 0, 0, 4, 50, 1, false,
	true, false, 1, 2, true},
    {"the same, and an order of the new era has led to a later term", 0, 0, 4,
	50, 1, false, false, false, 1, 2, true, 2},
};

/*
 * Test that a lease rests only on members that were read for its term.
 */
static void
test_read(gconstpointer data)
{
	const read_case_t *c = data;
	lease_duration_t durations = {1000 * US_PER_MS, 1000 * US_PER_MS, 1};
	recorded_orders_t orders = {.replaced_term = c->replaced,
	    .attempt_term = c->attempt,
	    .read_us = 1,
	    .read_era = c->read_era};
	lease_t lease = {.members = c->unrecorded ? 0 : 3};
	db_view_t views[3];
	int64_t seen_us = (c->seen_ms == 0 ? 100 : c->seen_ms) * US_PER_MS;
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(views); i++)
		views[i] = (db_view_t){.known = true,
		    .primary = i == 0,
		    .promised = c->term,
		    .term = c->term,
		    .requested_us = seen_us - 10 * US_PER_MS,
		    .member = true};
	lease_orders_read(&lease, &orders);
	lease_members_read(&lease, 0, c->read_era, 1);
	if (c->read_ms < 100)
		lease_members_read(&lease, c->record_replaced, c->read_era,
		    c->read_ms * US_PER_MS);
	(void)lease_renew(&lease, views, 3, 0, seen_us, &durations);
	if (c->read_ms >= 100)
		lease_members_read(&lease, c->record_replaced, c->read_era,
		    c->read_ms * US_PER_MS);
	for (i = 0; i < G_N_ELEMENTS(views); i++)
		views[i].requested_us = seen_us + 190 * US_PER_MS;
	if (c->shown)
		views[1].promised = c->attempt;
	lease_store_era(&lease, c->store_era);
	if (c->read_again) {
		orders.read_era = c->store_era;
		orders.read_us = 200 * US_PER_MS;
		lease_orders_read(&lease, &orders);
		lease_members_read(&lease, 0, c->store_era, orders.read_us);
	}
	for (i = 0; c->later_term != 0 && i < G_N_ELEMENTS(views); i++)
		views[i].promised = views[i].term = c->later_term;
	g_assert_cmpint(lease_renew(&lease, views, 3, 0,
			    seen_us + 200 * US_PER_MS, &durations),
	    ==, c->renewed);
	g_assert_cmpint(lease.unverified, ==, !c->renewed);
}

#define CHANGES_MAX 7

typedef struct change_case {
	const char *name;
	/* ids of the members that are recorded one after the other */
	const char *lists[CHANGES_MAX];
	const char *ended;    /* members that have ended */
	uint64_t begun;       /* newest term, for the last one; 0: as before */
	const char *expected; /* members, and former ones with their term */
	/* those that leases rest on where the record has none; NULL: none */
	const char *before;
} change_case_t;

static const change_case_t change_cases[] = {
    {"the first ones", {"abc"}, "", 0, "abc"},
    {"the first ones, and leases rest on lists without two of them", {"abcde"},
	"", 0, "abcde abc/1", "abc"},
    {"the first ones, and leases rest on all of them", {"abc"}, "", 0, "abc",
	"abc"},
    {"two are added, whatever leases rested on before", {"abc", "abcde"}, "", 0,
	"abcde abc/1", "abc"},
    {"two are added", {"abc", "abcde"}, "", 0, "abcde abc/1"},
    {"one is dropped", {"abc", "ab"}, "", 0, "ab abc/1"},
    {"as many that have ended are replaced", {"abc", "abd"}, "c", 0, "abd"},
    {"as many are replaced, one has not ended", {"abcd", "abef"}, "c", 0,
	"abef abcd/1"},
    {"one that has ended is dropped", {"abc", "ab"}, "c", 0, "ab abc/1"},
    {"and added again", {"abc", "ab", "abc"}, "", 0, "abc ab/1"},
    {"more changes than are kept",
	{"a", "ab", "abc", "abcd", "abcde", "abcdef"}, "", 0,
	"abcde a/1 ab/1 abc/1 abcd/1"},
    {"and the next term has begun",
	{"a", "ab", "abc", "abcd", "abcde", "abcdef"}, "", 2, "abcdef abcde/2"},
};

/*
 * Record members that are named by letters.
 */
static void
record(recorded_members_t *members, const char *ids, const change_case_t *c,
    uint64_t newest_term)
{
	recorded_orders_t orders = {
	    .replaced_term = newest_term - 1, .attempt_term = newest_term - 1};
	Bp__MembersChange change = BP__MEMBERS_CHANGE__INIT;
	Bp__RecordedMember all[26], *list[26], *gone[26], *before[26];
	const char *ended = c->ended;
	char names[26][2];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(all); i++) {
		bp__recorded_member__init(&all[i]);
		names[i][0] = (char)('a' + i);
		names[i][1] = '\0';
		all[i].server = names[i];
		all[i].born = 5;
	}
	for (i = 0; ids[i] != '\0'; i++)
		list[i] = &all[ids[i] - 'a'];
	for (change.n_ended = 0; ended[change.n_ended] != '\0';
	     change.n_ended++)
		gone[change.n_ended] = &all[ended[change.n_ended] - 'a'];
	change.ended = gone;
	for (; c->before != NULL && c->before[change.n_before] != '\0';
	     change.n_before++)
		before[change.n_before] =
		    &all[c->before[change.n_before] - 'a'];
	change.before = before;
	change.term = change.newest_term = newest_term;
	recorded_members_replace(members, list, i, &change, &orders);
}

/*
 * Append the ids of members.
 */
static void
append_ids(GString *text, Bp__RecordedMember *const *list, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		g_string_append(text, list[i]->server);
}

/*
 * Test which former members are kept as the members change in a term.
 */
static void
test_change(gconstpointer data)
{
	const change_case_t *c = data;
	recorded_members_t members = {0};
	GString *text = g_string_new(NULL);
	size_t i;

	for (i = 0; i < CHANGES_MAX && c->lists[i] != NULL; i++) {
		bool last = i + 1 == CHANGES_MAX || c->lists[i + 1] == NULL;

		record(&members, c->lists[i], c,
		    last && c->begun != 0 ? c->begun : 1);
	}
	append_ids(text, members.list, members.count);
	for (i = 0; i < members.former_count; i++) {
		g_string_append_c(text, ' ');
		append_ids(text, members.former[i]->members,
		    members.former[i]->n_members);
		g_string_append_printf(
		    text, "/%" G_GUINT64_FORMAT, members.former[i]->until_term);
	}
	g_assert_cmpstr(text->str, ==, c->expected);
	g_string_free(text, TRUE);
	recorded_members_clear(&members);
}

#define MEMBER "{\"server\":\"i-1\",\"born\":1}"

typedef struct decode_case {
	const char *name;
	const char *former;
	size_t members, count; /* expected */
} decode_case_t;

static const decode_case_t decode_cases[] = {
    {"none", "[]", 1, 0},
    {"one set", "[{\"until_term\":3,\"members\":[" MEMBER "]}]", 1, 1},
    {"no term", "[{\"members\":[" MEMBER "]}]", 0, 0},
    {"a set without members", "[{\"until_term\":3,\"members\":[]}]", 0, 0},
    {"a member that is not valid",
	"[{\"until_term\":3,\"members\":[" MEMBER ",{\"born\":1}]}]", 0, 0},
    {"no list", "{}", 0, 0},
    {"more than are kept", "[0,0,0,0,0]", 0, 0},
};

/*
 * Test that no members count as recorded where the former ones are not valid.
 */
static void
test_decode(gconstpointer data)
{
	const decode_case_t *c = data;
	char *text = g_strdup_printf(
	    "{\"holder\":\"d1\",\"token\":5,\"orders\":[{\"group\":\"g\","
	    "\"replaced_term\":1,\"attempt_term\":2,\"members\":[" MEMBER
	    "],\"former\":%s}]}",
	    c->former);
	yajl_val json = json_tree_parse(text, strlen(text));
	object_t object = {.name = "promotion", .content = json};
	arena_t *arena = arena_new();
	const char *why = NULL;
	Bp__DutyRecord *record = decode_coordinator(&object, arena, &why);

	g_assert_nonnull(record);
	g_assert_cmpuint(record->n_orders, ==, 1);
	g_assert_cmpuint(record->orders[0]->n_members, ==, c->members);
	g_assert_cmpuint(record->orders[0]->n_former, ==, c->count);
	if (c->count > 0)
		g_assert_cmpuint(
		    record->orders[0]->former[0]->until_term, ==, 3);
	arena_free(arena);
	json_tree_free(json);
	g_free(text);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CASES("/former/terms", terms_cases, test_terms);
	CASES("/former/hold", hold_cases, test_hold);
	CASES("/former/read", read_cases, test_read);
	CASES("/former/change", change_cases, test_change);
	CASES("/former/decode", decode_cases, test_decode);
	return g_test_run();
}
