#include "../src/bergamotplank.h"
#include "../src/decide/decide.h"
#include "../src/decide/drain_limit.h"
#include "../src/decide/failover.h"
#include "../src/decide/owner.h"
#include "../src/decide/queue_limit.h"
#include "../src/decide/reconnect.h"
#include "../src/decide/refresh.h"
#include "../src/decide/replica.h"
#include "../src/decide/reqid.h"
#include "../src/decide/result_budget.h"
#include "../src/decide/session_floors.h"
#include "../src/decide/start.h"

#include "cases.h"

#include <string.h>

/*
 * Tests of the decision functions in src/decide, which do no I/O and read no
 * clock: acknowledgement of writes, reads from replicas, connection and retry
 * budgets, keepalive, document versions, request ids, ownership of keys and
 * handover.
 */

#define MS(n) ((int64_t)(n)*US_PER_MS)

/* Number of samples added to a position history, more than it holds. */
#define POSITIONS_ADDED (UINT64_C(10) * POSITION_HISTORY_MAX)

typedef struct position_case {
	const char *name;
	position_t a;
	position_t b;
	int32_t order;
} position_case_t;

static const position_case_t position_cases[] = {
    {"equal", {2, 5}, {2, 5}, 0},
    {"index", {2, 4}, {2, 5}, -1},
    {"term before index", {3, 1}, {2, 900}, 1},
    {"the empty log is lowest", {0, 0}, {1, 1}, -1},
};

/*
 * Test that log positions are ordered by term first and by index within a term.
 */
static void
test_position(gconstpointer data)
{
	const position_case_t *c = data;

	g_assert_cmpint(position_compare(c->a, c->b), ==, c->order);
	g_assert_cmpint(position_compare(c->b, c->a), ==, -c->order);
	g_assert_cmpint(position_compare(position_max(c->a, c->b),
			    c->order < 0 ? c->b : c->a),
	    ==, 0);
	g_assert_cmpint(position_compare(position_max(c->b, c->a),
			    c->order < 0 ? c->b : c->a),
	    ==, 0);
}

/* A known database that is neither primary nor about to leave. */
#define VIEW(promised_, term_, index_, requested_) \
	{ \
		true, false, false, promised_, {term_, index_}, requested_ \
	}

/* A database that has not answered a status request. */
#define NO_VIEW \
	{ \
		false, false, false, 0, {0, 0}, 0 \
	}

typedef struct majority_case {
	const char *name;
	uint32_t count;
	db_view_t views[5];
	position_t position;
	int64_t min_requested_us; /* views of earlier requests do not count */
	bool confirmed;
} majority_case_t;

static const majority_case_t majority_cases[] = {
    {"primary and one replica", 3,
	{VIEW(4, 4, 9, 10), VIEW(4, 4, 9, 10), NO_VIEW}, {4, 9}, 10, true},
    {"the primary alone", 3,
	{VIEW(4, 4, 9, 10), VIEW(4, 4, 8, 10), VIEW(4, 4, 3, 10)}, {4, 9}, 10,
	false},
    {"promised, but the log ends in another term", 3,
	{VIEW(4, 4, 9, 10), VIEW(4, 3, 12, 10), VIEW(4, 3, 12, 10)}, {4, 9}, 10,
	false},
    {"an old primary's longer log does not count", 3,
	{VIEW(4, 4, 9, 10), VIEW(3, 3, 20, 10), NO_VIEW}, {4, 9}, 10, false},
    {"already promised to a newer term", 3,
	{VIEW(4, 4, 9, 10), VIEW(5, 4, 9, 10), VIEW(5, 4, 9, 10)}, {4, 9}, 10,
	false},
    {"requested too early", 3, {VIEW(4, 4, 9, 10), VIEW(4, 4, 9, 9), NO_VIEW},
	{4, 9}, 10, false},
    {"three of five", 5,
	{VIEW(4, 4, 9, 10), VIEW(4, 4, 9, 10), VIEW(4, 4, 11, 12), NO_VIEW,
	    NO_VIEW},
	{4, 9}, 10, true},
    {"two of five", 5,
	{VIEW(4, 4, 9, 10), VIEW(4, 4, 9, 10), VIEW(4, 4, 8, 12), NO_VIEW,
	    NO_VIEW},
	{4, 9}, 10, false},
    {"a group of one", 1, {VIEW(1, 1, 2, 0)}, {1, 2}, 0, true},
};

/*
 * Test that a write is acknowledged only when a majority holds its log entry,
 * so that every later primary has it.  A database counts when it has promised
 * the entry's term and its log ends in that term, at or past the entry.
 */
static void
test_majority(gconstpointer data)
{
	const majority_case_t *c = data;

	g_assert_cmpint(majority_holds(c->views, c->count, c->position,
			    c->min_requested_us),
	    ==, c->confirmed);
}

typedef struct view_case {
	const char *name;
	db_view_t known;    /* view before the status answer */
	db_view_t reported; /* view that the status answer gives */
	db_view_t expected; /* view after the status answer */
} view_case_t;

static const view_case_t view_cases[] = {
    {"first", NO_VIEW, VIEW(1, 1, 2, 5), VIEW(1, 1, 2, 5)},
    {"newer request", VIEW(1, 1, 2, 5), VIEW(1, 1, 4, 6), VIEW(1, 1, 4, 6)},
    {"late answer to an older request", VIEW(1, 1, 4, 6), VIEW(1, 1, 2, 5),
	VIEW(1, 1, 4, 6)},
    {"older request, longer log", VIEW(1, 1, 4, 6), VIEW(1, 1, 7, 5),
	VIEW(1, 1, 7, 6)},
    {"older promise is ignored", VIEW(3, 3, 4, 6), VIEW(2, 2, 9, 8),
	VIEW(3, 3, 4, 6)},
    {"newer promise, older request", VIEW(3, 3, 4, 6), VIEW(4, 3, 5, 5),
	VIEW(4, 3, 5, 5)},
    {"a log that ends in an older term may shrink", VIEW(4, 3, 9, 6),
	VIEW(4, 3, 5, 7), VIEW(4, 3, 5, 7)},
};

/*
 * Test that a late status answer neither lowers the promised term nor shortens
 * the log of the term that is promised.  Status answers may arrive out of
 * order.
 */
static void
test_view(gconstpointer data)
{
	const view_case_t *c = data;
	db_view_t view = c->known;

	db_view_merge(&view, &c->reported);
	g_assert_cmpuint(view.promised, ==, c->expected.promised);
	g_assert_cmpuint(view.last_entry.term, ==, c->expected.last_entry.term);
	g_assert_cmpuint(
	    view.last_entry.index, ==, c->expected.last_entry.index);
	g_assert_cmpint(view.requested_us, ==, c->expected.requested_us);
}

typedef struct sample_case {
	const char *name;
	db_view_t views[3];
	bool primary;  /* database 0 reports itself as primary */
	bool taken;    /* a sample can be taken */
	int64_t at_us; /* expected time of the sample */
} sample_case_t;

static const sample_case_t sample_cases[] = {
    {"all requested at once",
	{VIEW(2, 2, 7, 50), VIEW(2, 2, 6, 50), VIEW(2, 2, 5, 50)}, true, true,
	50},
    {"the second newest answer decides",
	{VIEW(2, 2, 7, 50), VIEW(2, 2, 6, 40), VIEW(2, 2, 5, 10)}, true, true,
	40},
    {"the primary's answer is the oldest",
	{VIEW(2, 2, 7, 20), VIEW(2, 2, 6, 40), VIEW(2, 2, 5, 50)}, true, true,
	20},
    {"a majority is past the term",
	{VIEW(2, 2, 7, 50), VIEW(3, 2, 6, 50), VIEW(3, 2, 5, 50)}, true, false,
	0},
    {"the primary's log has no entry of its term",
	{VIEW(3, 2, 7, 50), VIEW(3, 2, 6, 50), VIEW(3, 2, 5, 50)}, true, false,
	0},
    {"it does not report to be primary",
	{VIEW(2, 2, 7, 50), VIEW(2, 2, 6, 50), VIEW(2, 2, 5, 50)}, false, false,
	0},
};

/*
 * Test when a position sample is taken.  A sample says that the writes
 * acknowledged before a time are at or before a log position, so a majority
 * must still have promised the primary's term at that time.
 */
static void
test_sample(gconstpointer data)
{
	const sample_case_t *c = data;
	db_view_t views[3];
	position_sample_t sample = {0};

	memcpy(views, c->views, sizeof(views));
	views[0].primary = c->primary;
	g_assert_cmpint(
	    position_sample_take(views, 3, 0, &sample), ==, c->taken);
	if (c->taken) {
		g_assert_cmpint(sample.at_us, ==, c->at_us);
		g_assert_cmpuint(sample.position.index, ==, 7);
	}
}

typedef struct staleness_case {
	const char *name;
	int64_t max_age_us;
	bool found;
	uint64_t index; /* expected index of the position */
} staleness_case_t;

static const staleness_case_t staleness_cases[] = {
    {"the oldest sample within the limit", MS(250), true, 3},
    {"only the newest sample", MS(100), true, 4},
    {"no sample within the limit", MS(50), false, 0},
    {"the limit exceeds every sample's age", MS(100000), true, 1},
};

/*
 * Test which position a replica must have reached for a read of limited age.
 * Samples are 100 ms apart, and the newest is 100 ms old.
 */
static void
test_staleness(gconstpointer data)
{
	const staleness_case_t *c = data;
	position_history_t history = {0};
	position_t needed;
	uint64_t i;

	for (i = 1; i <= 4; i++)
		position_history_add(&history,
		    (position_sample_t){MS(100) * (int64_t)i, {1, i}}, MS(10));
	g_assert_cmpint(
	    position_history_lookup(&history, MS(500), c->max_age_us, &needed),
	    ==, c->found);
	if (c->found)
		g_assert_cmpuint(needed.index, ==, c->index);
}

/*
 * Test that the ring buffer of samples keeps its order when it is full, and
 * that samples that are closer together than the spacing share one element.
 */
static void
test_position_history(void)
{
	position_history_t history = {0};
	position_t needed;
	uint64_t i;

	for (i = 1; i <= POSITIONS_ADDED; i++)
		position_history_add(&history,
		    (position_sample_t){MS(10) * (int64_t)i, {1, i}}, MS(50));
	g_assert_cmpuint(history.count, ==, POSITION_HISTORY_MAX);
	g_assert_true(position_history_lookup(
	    &history, MS(10 * POSITIONS_ADDED), MS(200), &needed));
	g_assert_cmpuint(needed.index, >=, POSITIONS_ADDED - 20);
	/* a sample that is older than the newest is ignored */
	position_history_add(
	    &history, (position_sample_t){MS(1), {1, 1}}, MS(50));
	g_assert_cmpuint(history.count, ==, POSITION_HISTORY_MAX);
}

typedef struct choose_case {
	const char *name;
	db_view_t views[3];
	replica_load_t loads[3];
	position_t needed;
	int32_t chosen;
} choose_case_t;

static const choose_case_t choose_cases[] = {
    {"never the primary",
	{VIEW(1, 1, 9, 0), VIEW(1, 1, 9, 0), VIEW(1, 1, 9, 0)},
	{{true, 0, 5}, {true, 3, 5}, {true, 4, 5}}, {1, 9}, 1},
    {"the less loaded replica",
	{VIEW(1, 1, 9, 0), VIEW(1, 1, 9, 0), VIEW(1, 1, 9, 0)},
	{{true, 0, 5}, {true, 3, 5}, {true, 2, 5}}, {1, 9}, 2},
    {"a lagging replica is skipped",
	{VIEW(1, 1, 9, 0), VIEW(1, 1, 9, 0), VIEW(1, 1, 8, 0)},
	{{true, 0, 5}, {true, 3, 5}, {true, 0, 5}}, {1, 9}, 1},
    {"a newer term reaches every older position",
	{VIEW(2, 2, 9, 0), VIEW(2, 1, 9, 0), VIEW(2, 2, 5, 0)},
	{{true, 0, 5}, {true, 0, 5}, {true, 0, 5}}, {1, 10}, 2},
    {"the old primary's uncommitted entries are not newer",
	{VIEW(2, 2, 9, 0), VIEW(1, 1, 30, 0), NO_VIEW},
	{{true, 0, 5}, {true, 0, 5}, {true, 0, 5}}, {2, 9}, REPLICA_NONE},
    {"all eligible replicas are full",
	{VIEW(1, 1, 9, 0), VIEW(1, 1, 9, 0), VIEW(1, 1, 8, 0)},
	{{true, 0, 5}, {true, 5, 5}, {true, 0, 5}}, {1, 9}, REPLICA_BUSY},
    {"leaving or disconnected",
	{VIEW(1, 1, 9, 0), VIEW(1, 1, 9, 0), VIEW(1, 1, 9, 0)},
	{{true, 0, 5}, {false, 0, 5}, {false, 0, 5}}, {1, 9}, REPLICA_NONE},
};

/*
 * Test that the least loaded replica that has reached the needed position is
 * chosen.
 */
static void
test_choose(gconstpointer data)
{
	const choose_case_t *c = data;

	g_assert_cmpint(
	    replica_choose(c->views, c->loads, 3, 0, c->needed), ==, c->chosen);
}

/* A write of a session, in order. */
typedef struct floor_write {
	const char *group;
	position_t position;
} floor_write_t;

typedef struct floors_case {
	const char *name;
	floor_write_t writes[4];
	uint32_t others; /* number of other groups that are written to then */
	const char *group;
	bool known;
	position_t floor;
} floors_case_t;

static const floors_case_t floors_cases[] = {
    {"no write", {{NULL}}, 0, "a", true, {0, 0}},
    {"a write to another group", {{"b", {1, 5}}}, 0, "a", true, {0, 0}},
    {"a write", {{"a", {1, 5}}}, 0, "a", true, {1, 5}},
    {"a write before one to another group", {{"a", {1, 5}}, {"b", {2, 9}}}, 0,
	"a", true, {1, 5}},
    {"a later position", {{"a", {1, 5}}, {"b", {1, 9}}, {"a", {1, 6}}}, 0, "a",
	true, {1, 6}},
    {"a later position that is lower", {{"a", {2, 5}}, {"a", {1, 9}}}, 0, "a",
	true, {2, 5}},
    {"as many groups as are kept", {{"a", {1, 5}}}, SESSION_FLOORS_MAX - 1, "a",
	true, {1, 5}},
    {"the oldest of more groups", {{"a", {1, 5}}}, SESSION_FLOORS_MAX, "a",
	false, {0, 0}},
    {"the second oldest of more groups", {{"b", {1, 4}}, {"a", {1, 5}}},
	SESSION_FLOORS_MAX - 1, "a", true, {1, 5}},
    {"the oldest that was written again",
	{{"a", {1, 5}}, {"b", {1, 4}}, {"a", {1, 5}}}, SESSION_FLOORS_MAX - 1,
	"a", true, {1, 5}},
    {"a group that was never written, one was dropped", {{"b", {1, 4}}},
	SESSION_FLOORS_MAX, "a", false, {0, 0}},
};

/*
 * Test which floor a session has for a group after writes: its last position
 * there, or a sign that it is not known any more.
 */
static void
test_floors(gconstpointer data)
{
	const floors_case_t *c = data;
	session_floors_t floors = {0};
	position_t floor, other = {3, 1};
	char name[16];
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(c->writes) && c->writes[i].group != NULL;
	     i++)
		session_floors_note(
		    &floors, c->writes[i].group, c->writes[i].position);
	for (i = 0; i < c->others; i++) {
		g_snprintf(name, sizeof(name), "other-%u", i);
		session_floors_note(&floors, name, other);
	}
	g_assert_cmpuint(floors.count, <=, SESSION_FLOORS_MAX);
	g_assert_true(
	    session_floors_find(&floors, c->group, &floor) == c->known);
	g_assert_cmpint(position_compare(floor, c->floor), ==, 0);
	session_floors_clear(&floors);
	g_assert_cmpuint(floors.count, ==, 0);
}

typedef struct budget_case {
	const char *name;
	uint32_t limit;
	uint32_t slots;
	uint32_t max_open;
	uint32_t min_open;
	uint32_t max_transactions;
} budget_case_t;

static const budget_case_t budget_cases[] = {
    {"tickets-db", 35, 5, 10, 5, 5},
    {"quotes-db", 30, 2, 9, 2, 7},
    {"more slots than connections", 9, 50, 2, 2, 1},
    {"fewer than the daemons need", 3, 1, 1, 1, 1},
};

/*
 * Test that three daemons, each with its share of connections and a control
 * connection, stay within the database's connection limit.
 */
static void
test_budget(gconstpointer data)
{
	const budget_case_t *c = data;
	conn_budget_t budget = conn_budget_split(c->limit, c->slots);

	g_assert_cmpuint(budget.max_open, ==, c->max_open);
	g_assert_cmpuint(budget.min_open, ==, c->min_open);
	g_assert_cmpuint(budget.max_transactions, ==, c->max_transactions);
	if (c->limit >= 6)
		g_assert_cmpuint(
		    UINT64_C(3) * (budget.max_open + 1), <=, c->limit);
}

/*
 * Test that the retry budget starts with 20 retries, and that each statement
 * adds a tenth of a retry, up to a maximum.
 */
static void
test_retry(void)
{
	retry_budget_t retry_budget = {0};
	uint32_t i, initial = 0, later = 0;

	while (retry_budget_withdraw(&retry_budget))
		initial++;
	g_assert_cmpuint(initial, ==, 20);
	for (i = 0; i < 100; i++)
		retry_budget_deposit(&retry_budget);
	while (retry_budget_withdraw(&retry_budget))
		later++;
	g_assert_cmpuint(later, ==, 10);
	for (i = 0; i < 1000000; i++)
		retry_budget_deposit(&retry_budget);
	for (later = 0; retry_budget_withdraw(&retry_budget);)
		later++;
	g_assert_cmpuint(later, <=, 100);
}

typedef struct drain_case {
	const char *name;
	int64_t stayed_ms; /* 0: not known to have stayed */
	uint32_t drain_ms;
	int64_t limit_ms; /* expected */
} drain_case_t;

static const drain_case_t drain_cases[] = {
    {"half a second before the end", 1000, 7000, 7500},
    {"it may have left long ago", 0, 7000, 0},
    {"shorter than the margin", 1000, 400, 1000},
};

/*
 * Test the time from which a database that leaves gets no new statements.
 */
static void
test_drain_limit(gconstpointer data)
{
	const drain_case_t *c = data;

	g_assert_cmpint(
	    drain_limit_us(MS(c->stayed_ms), c->drain_ms), ==, MS(c->limit_ms));
}

typedef struct keepalive_case {
	const char *name;
	int64_t activity_ms; /* time data is received; -1: never */
	int64_t check_ms[4]; /* times of the checks */
	keepalive_action_t actions[4];
} keepalive_case_t;

static const keepalive_case_t keepalive_cases[] = {
    {"silent for good", -1, {400, 500, 900, 1000},
	{KEEPALIVE_NONE, KEEPALIVE_PING, KEEPALIVE_NONE, KEEPALIVE_CLOSE}},
    {"answers the ping", 600, {400, 500, 1000, 1100},
	{KEEPALIVE_NONE, KEEPALIVE_PING, KEEPALIVE_NONE, KEEPALIVE_PING}},
    {"data before the ping is due", 450, {400, 500, 900, 950},
	{KEEPALIVE_NONE, KEEPALIVE_NONE, KEEPALIVE_NONE, KEEPALIVE_PING}},
};

/*
 * Test that a ping is sent after 500 ms without data, and that the connection
 * is closed when another 500 ms pass without an answer.
 */
static void
test_keepalive(gconstpointer data)
{
	const keepalive_case_t *c = data;
	keepalive_t keepalive = {0};
	bool activity_seen = false;
	uint32_t i;

	keepalive_reset(&keepalive, 0);
	for (i = 0; i < 4; i++) {
		if (!activity_seen && c->activity_ms >= 0 &&
		    c->activity_ms <= c->check_ms[i]) {
			keepalive_reset(&keepalive, MS(c->activity_ms));
			activity_seen = true;
		}
		g_assert_cmpint(keepalive_check(&keepalive, MS(c->check_ms[i]),
				    MS(500), MS(500)),
		    ==, c->actions[i]);
	}
}

typedef struct version_case {
	const char *name;
	uint64_t offered, accepted, validated; /* versions of a document */
	bool needs_validation;
	bool supersedes; /* offered replaces accepted */
} version_case_t;

static const version_case_t version_cases[] = {
    {"new", 1, 0, 0, true, true},
    {"accepted already", 3, 3, 0, false, false},
    {"rejected already", 4, 3, 4, false, true},
    {"newer than the rejected one", 5, 3, 4, true, true},
    {"older than the accepted one", 2, 3, 0, false, false},
};

/*
 * Test that a document version is validated once, and that only a newer one
 * takes effect.
 */
static void
test_version(gconstpointer data)
{
	const version_case_t *c = data;

	g_assert_cmpint(
	    version_needs_validation(c->offered, c->accepted, c->validated), ==,
	    c->needs_validation);
	g_assert_cmpint(
	    version_supersedes(c->offered, c->accepted), ==, c->supersedes);
}

/*
 * Test that a request id is new, running or ended.  The id of a request that
 * did not run may be used again, and only the newest ids are kept.
 */
static void
test_reqids(void)
{
	reqids_t *reqids = reqids_new(2);
	position_t position = {0};

	g_assert_cmpint(reqids_begin(reqids, "a"), ==, REQID_NEW);
	g_assert_cmpint(reqids_begin(reqids, "a"), ==, REQID_RUNNING);
	reqids_end(reqids, "a", true, (position_t){3, 7});
	g_assert_cmpint(reqids_begin(reqids, "a"), ==, REQID_ENDED);
	g_assert_true(reqids_position(reqids, "a", &position));
	g_assert_cmpuint(position.index, ==, 7);
	g_assert_cmpint(reqids_begin(reqids, "b"), ==, REQID_NEW);
	reqids_end(reqids, "b", false, position);
	g_assert_cmpint(reqids_begin(reqids, "b"), ==, REQID_NEW);
	reqids_end(reqids, "b", true, position);
	g_assert_cmpint(reqids_begin(reqids, "c"), ==, REQID_NEW);
	reqids_end(reqids, "c", true, position);
	g_assert_cmpuint(reqids_count(reqids), ==, 2);
	g_assert_false(reqids_position(reqids, "a", &position));
	g_assert_true(reqids_position(reqids, "c", &position));
	reqids_free(reqids);
}

typedef struct owner_case {
	const char *name;
	uint32_t members;
	uint32_t keys;
} owner_case_t;

static const owner_case_t owner_cases[] = {
    {"three daemons", 3, 3000},
    {"nine daemons", 9, 9000},
    {"one daemon", 1, 10},
};

/*
 * Test that each key has one owner, chosen by rendezvous hashing: when a member
 * leaves, only its keys move, and no member owns twice its share of keys.
 */
static void
test_owner(gconstpointer data)
{
	const owner_case_t *c = data;
	char names[16][16], key[32];
	const char *members[16];
	uint32_t i, moved = 0, owned_by_last = 0;

	for (i = 0; i < c->members; i++) {
		g_snprintf(names[i], sizeof(names[i]), "entry-%u", i);
		members[i] = names[i];
	}
	for (i = 0; i < c->keys; i++) {
		int32_t owner, owner_without_last;

		g_snprintf(key, sizeof(key), "team/group-%u", i);
		owner = owner_pick(members, c->members, key);
		owner_without_last = owner_pick(members, c->members - 1, key);
		g_assert_cmpint(owner, >=, 0);
		g_assert_cmpuint(
		    owner_rank(members, c->members, members[owner], key), ==,
		    0);
		owned_by_last += owner == (int32_t)c->members - 1;
		moved += owner != owner_without_last;
	}
	g_assert_cmpuint(moved, ==, owned_by_last);
	g_assert_cmpuint(
	    (uint64_t)owned_by_last * c->members, <, UINT64_C(2) * c->keys);
	g_assert_cmpint(owner_pick(members, 0, "x"), ==, -1);
}

typedef struct handover_case {
	const char *name;
	uint32_t grant_order[3]; /* databases in the order of their grants */
	int32_t leaving;         /* the leaving database; -1: none */
	uint32_t not_promoted;   /* database that must not be promoted */
} handover_case_t;

static const handover_case_t handover_cases[] = {
    {"the leaving database grants first", {0, 1, 2}, 0, 0},
    {"the leaving database grants second", {1, 0, 2}, 0, 0},
    {"the leaving database grants last", {2, 1, 0}, 0, 0},
};

/*
 * Test that a handover does not promote the leaving database again when all
 * logs are equally long.
 */
static void
test_handover(gconstpointer data)
{
	static const failover_limits_t limits = {
	    MS(400), MS(200), MS(2000), MS(500), MS(500), MS(50)};
	const handover_case_t *c = data;
	failover_actions_t actions;
	failover_t failover;
	uint32_t i;

	failover_init(&failover, &limits, 3, 1, 0);
	for (i = 0; i < 3; i++) {
		db_view_t view = VIEW(1, 1, 9, 1);

		view.primary = i == 0;
		view.leaving = (int32_t)i == c->leaving;
		failover_merge_view(&failover, i, &view, MS(1));
	}
	failover_tick(&failover, MS(2), &actions);
	failover_request_handover(&failover, MS(3));
	failover_tick(&failover, MS(3), &actions);
	g_assert_cmpuint(actions.count, ==, 3);
	for (i = 0; i < 2; i++) {
		db_view_t view = VIEW(2, 1, 9, 1);

		view.leaving = (int32_t)c->grant_order[i] == c->leaving;
		failover_fence_answered(
		    &failover, c->grant_order[i], 2, true, &view, MS(4));
	}
	failover_tick(&failover, MS(5), &actions);
	g_assert_cmpuint(actions.count, ==, 1);
	g_assert_cmpint(actions.list[0].kind, ==, FAILOVER_PROMOTE);
	g_assert_cmpuint(actions.list[0].database, !=, c->not_promoted);
	failover_clear(&failover);
}

typedef struct reconnect_case {
	const char *name;
	bool turned_away;
	uint32_t failures;
	double random;
	int64_t delay_us; /* after the last failure */
} reconnect_case_t;

static const reconnect_case_t reconnect_cases[] = {
    {"unreachable once", false, 1, 0, MS(100)},
    {"a restart is noticed soon", false, 5, 1, MS(100)},
    {"unreachable for long", false, 20, 0, MS(400)},
    {"turned away once", true, 1, 0, MS(100)},
    {"turned away once with jitter", true, 1, 1, MS(150)},
    {"turned away again", true, 3, 0, MS(400)},
    {"turned away for long", true, 20, 1, MS(2400)},
};

/*
 * Test the delay after a number of failed attempts, each made as soon as it is
 * allowed, and that a connection ends it.
 */
static void
test_reconnect(gconstpointer data)
{
	const reconnect_case_t *c = data;
	reconnect_t reconnect = {0};
	int64_t now_us = MS(1);
	uint32_t i;

	for (i = 0; i < c->failures; i++) {
		now_us = MAX(now_us, reconnect.after_us);
		g_assert_true(reconnect_allowed(&reconnect, now_us));
		reconnect_failed(&reconnect, c->turned_away, c->random, now_us);
		/* another attempt that was under way does not count */
		reconnect_failed(&reconnect, c->turned_away, 0, now_us);
		g_assert_false(reconnect_allowed(&reconnect, now_us));
	}
	g_assert_cmpint(reconnect.after_us - now_us, ==, c->delay_us);
	reconnect_succeeded(&reconnect);
	g_assert_true(reconnect_allowed(&reconnect, now_us));
}

#define REQUESTS_MAX 6

typedef struct refresh_case {
	const char *name;
	int64_t
	    wanted_ms[REQUESTS_MAX];   /* times at which a request is wanted */
	int64_t sent_ms[REQUESTS_MAX]; /* times at which it may be sent */
} refresh_case_t;

static const refresh_case_t refresh_cases[] = {
    {"the first request", {10}, {10}},
    {"changes follow each other at once", {10, 12, 270, 800, 1800},
	{10, 260, 760, 1760, 2760}},
    {"a change after a quiet time", {10, 1500, 1502}, {10, 1500, 1750}},
    {"a quiet time after fast changes", {10, 12, 270, 2000, 2005},
	{10, 260, 760, 2000, 2250}},
};

/*
 * Test the times of the requests for changes.
 */
static void
test_refresh(gconstpointer data)
{
	const refresh_case_t *c = data;
	refresh_t refresh = {0};
	uint32_t i;

	for (i = 0; i < REQUESTS_MAX && c->wanted_ms[i] != 0; i++) {
		int64_t sent_us =
		    MAX(MS(c->wanted_ms[i]), refresh_due_us(&refresh));

		g_assert_cmpint(sent_us, ==, MS(c->sent_ms[i]));
		refresh_requested(&refresh, sent_us);
	}
}

typedef struct list_case {
	const char *name;
	bool followed;
	uint32_t length;
	bool by_list;
} list_case_t;

static const list_case_t list_cases[] = {
    {"a daemon that watches the store", false, 1, false},
    {"a short list", true, 180, true},
    {"one page", true, 500, true},
    {"a long list", true, 3100, false},
};

/*
 * Test whether a change is read with the whole list.
 */
static void
test_list(gconstpointer data)
{
	const list_case_t *c = data;

	g_assert_cmpint(
	    refresh_by_list(c->followed, c->length), ==, c->by_list);
}

typedef struct queue_limit_case {
	const char *name;
	queue_wait_t wait;
	int64_t limit_us;
} queue_limit_case_t;

static const queue_limit_case_t queue_limit_cases[] = {
    {"from the client", {MS(50), MS(50), MS(400), MS(1000), false}, MS(410)},
    {"over a hop", {MS(50), MS(60), MS(400), MS(1000), false}, MS(410)},
    {"after the loss of an owner", {MS(50), MS(510), MS(400), MS(1000), false},
	MS(810)},
    {"late, with a long target", {0, MS(500), MS(1000), MS(5000), false},
	MS(900)},
    {"right before the timeout", {0, MS(900), MS(400), MS(1000), false},
	MS(1000)},
    {"no primary", {MS(50), MS(50), MS(400), MS(1000), true}, MS(130)},
    {"no primary after the loss of an owner",
	{MS(50), MS(510), MS(400), MS(1000), true}, MS(130)},
    {"a connection in time",
	{MS(50), MS(60), MS(400), MS(1000), false, MS(400)}, MS(410)},
    {"no connection in time",
	{MS(50), MS(60), MS(400), MS(1000), false, MS(420)}, MS(60)},
    {"no primary, and no connection in time",
	{MS(50), MS(60), MS(400), MS(1000), true, MS(140)}, MS(60)},
    {"late, and a connection in time",
	{MS(50), MS(510), MS(400), MS(1000), false, MS(800)}, MS(810)},
};

/*
 * Test the time at which a statement that waits is refused.
 */
static void
test_queue_limit(gconstpointer data)
{
	const queue_limit_case_t *c = data;

	g_assert_cmpint(queue_limit_us(&c->wait), ==, c->limit_us);
}

typedef struct result_case {
	const char *name;
	uint64_t held_bytes;   /* of a budget of 100,000 */
	uint64_t result_bytes; /* kept of a result, limit 50,000 */
	uint64_t added_bytes;
	bool takes_effect;
	bool in_transaction;
	result_fit_t fit;
	result_refusal_t refusal; /* unless it fits */
} result_case_t;

static const result_case_t result_cases[] = {
    {"the first row", 0, 0, 100, false, false, RESULT_FITS, 0},
    {"at the limit", 40000, 49900, 100, false, false, RESULT_FITS, 0},
    {"above the limit", 40000, 49901, 100, false, false, RESULT_TOO_LARGE,
	RESULT_REFUSAL_FAILED},
    {"at the budget", 99900, 30000, 100, false, false, RESULT_FITS, 0},
    {"above the budget", 99901, 30000, 100, false, false, RESULT_NO_ROOM,
	RESULT_REFUSAL_BUSY},
    {"above both", 99901, 49901, 100, false, false, RESULT_TOO_LARGE,
	RESULT_REFUSAL_FAILED},
    {"a small result above the budget", 200000, 16284, 100, false, false,
	RESULT_FITS, 0},
    {"a small result that grows", 200000, 16285, 100, false, false,
	RESULT_NO_ROOM, RESULT_REFUSAL_BUSY},
    {"above the limit in a transaction", 0, 50000, 1, false, true,
	RESULT_TOO_LARGE, RESULT_REFUSAL_FAILED},
    {"above the budget in a transaction", 100000, 30000, 1, false, true,
	RESULT_NO_ROOM, RESULT_REFUSAL_ABORTED},
    {"a write above the limit", 0, 50000, 1, true, false, RESULT_TOO_LARGE,
	RESULT_REFUSAL_IN_DOUBT},
    {"a commit above the budget", 100000, 30000, 1, true, true, RESULT_NO_ROOM,
	RESULT_REFUSAL_IN_DOUBT},
};

/*
 * Test whether a row is kept, and the end of its statement if it is not.
 */
static void
test_result(gconstpointer data)
{
	const result_case_t *c = data;
	result_budget_t budget = {c->held_bytes, 100000};
	uint64_t size_bytes = c->added_bytes;
	result_fit_t fit = result_budget_check(
	    &budget, c->result_bytes, c->added_bytes, 50000);

	g_assert_cmpint(fit, ==, c->fit);
	if (fit != RESULT_FITS)
		g_assert_cmpint(
		    result_refusal(fit, c->takes_effect, c->in_transaction), ==,
		    c->refusal);
	result_budget_hold(&budget, size_bytes);
	result_budget_release(&budget, &size_bytes);
	g_assert_cmpuint(budget.held_bytes, ==, c->held_bytes);
	g_assert_cmpuint(size_bytes, ==, 0);
}

typedef struct token_case {
	const char *name;
	uint64_t era;      /* 0: not known */
	uint64_t recorded; /* 0: no record */
	uint64_t next;
	bool recorded_is_current;
	uint64_t revision; /* of the record that is replaced */
} token_case_t;

/* Numbers above which the tokens of the second and third era are. */
#define ERA_2 (UINT64_C(1) << 40)
#define ERA_3 (UINT64_C(2) << 40)

static const token_case_t token_cases[] = {
    {"the first one", 1, 0, 1, false},
    {"after another", 1, 4, 5, true},
    {"no era is known", 0, 4, 5, true},
    {"in a new era, the record is gone", 2, 0, ERA_2 + 1, false},
    {"in a new era, the record is older", 2, 4, ERA_2 + 1, false},
    {"after another in that era", 2, ERA_2 + 1, ERA_2 + 2, true},
    {"in the era after", 3, ERA_2 + 7, ERA_3 + 1, false},
    {"the record is of a newer era", 2, ERA_3 + 1, ERA_3 + 2, true},
    {"the record has a lower token than its revision", 1, 4, 41, true, 40},
    {"the record has a higher one, of another writer", 1, 44, 45, true, 40},
    {"the record was begun again", 1, 40, 41, true, 40},
    {"in a new era, an older record has a revision", 2, 4, ERA_2 + 41, false,
	40},
    {"the store has had very many changes", 2, 4,
	ERA_2 + (UINT64_C(1) << 33) + 1, false, UINT64_C(1) << 33},
    {"in the era after them", 3, ERA_2 + (UINT64_C(1) << 33), ERA_3 + 41, false,
	40},
};

/*
 * Test that each token is higher than all of the eras before.
 */
static void
test_token(gconstpointer data)
{
	const token_case_t *c = data;

	g_assert_cmpuint(
	    fencing_token_next(c->era, c->recorded, c->revision), ==, c->next);
	g_assert_cmpint(fencing_token_is_current(c->era, c->recorded), ==,
	    c->recorded_is_current);
}

typedef struct highest_token_case {
	const char *name;
	uint64_t token;
	uint64_t written_revision;
	uint64_t revision;
	uint64_t highest;
} highest_token_case_t;

static const highest_token_case_t highest_token_cases[] = {
    {"overwritten at once", 5, 40, 41, 5},
    {"a coordinator may have written between", 5, 40, 42, 6},
    {"several may have", 5, 40, 50, 14},
    {"in a later era", ERA_2 + 1, 40, 42, ERA_2 + 2},
};

/*
 * Test that the token after a record that cannot be read is above those of all
 * coordinators that may have written before it was overwritten.
 */
static void
test_highest_token(gconstpointer data)
{
	const highest_token_case_t *c = data;
	uint64_t token = c->token, rested = c->token, revision;

	g_assert_cmpuint(
	    fencing_token_highest(c->token, c->written_revision, c->revision),
	    ==, c->highest);
	for (revision = c->written_revision + 1; revision < c->revision;
	     revision++) {
		token = fencing_token_next(STORE_ERA_FIRST, token, 0);
		rested =
		    fencing_token_next(STORE_ERA_FIRST, rested, revision - 1);
	}
	g_assert_cmpuint(token, <=, c->highest);
	g_assert_cmpuint(
	    fencing_token_next(STORE_ERA_FIRST, c->highest, c->revision), >,
	    rested);
}

/* What happens to the coordinator record at a revision of the store. */
typedef enum record_change {
	CHANGE_NONE,  /* another object changes */
	CHANGE_TAKEN, /* a daemon takes the role; the record may be missing */
	CHANGE_DELETED,
	CHANGE_OTHER,  /* another writer puts a record with token 2 there */
	CHANGE_RETURN, /* the store returns to what it was at revision 3 */
} record_change_t;

#define CHANGES_MAX 10

typedef struct used_token_case {
	const char *name;
	record_change_t changes[CHANGES_MAX];
} used_token_case_t;

static const used_token_case_t used_token_cases[] = {
    {"taken again and again", {CHANGE_TAKEN, CHANGE_TAKEN, CHANGE_TAKEN}},
    {"deleted each time",
	{CHANGE_TAKEN, CHANGE_DELETED, CHANGE_TAKEN, CHANGE_DELETED,
	    CHANGE_TAKEN}},
    {"taken often, then deleted",
	{CHANGE_TAKEN, CHANGE_TAKEN, CHANGE_TAKEN, CHANGE_TAKEN, CHANGE_DELETED,
	    CHANGE_TAKEN, CHANGE_TAKEN}},
    {"an older one is written",
	{CHANGE_TAKEN, CHANGE_NONE, CHANGE_TAKEN, CHANGE_OTHER, CHANGE_TAKEN,
	    CHANGE_OTHER, CHANGE_TAKEN}},
    {"deleted, and an older one is written",
	{CHANGE_TAKEN, CHANGE_TAKEN, CHANGE_TAKEN, CHANGE_DELETED, CHANGE_OTHER,
	    CHANGE_TAKEN}},
    {"the store returns, with the record",
	{CHANGE_NONE, CHANGE_TAKEN, CHANGE_TAKEN, CHANGE_RETURN, CHANGE_TAKEN,
	    CHANGE_TAKEN}},
    {"the store returns twice, and the record is deleted",
	{CHANGE_TAKEN, CHANGE_TAKEN, CHANGE_RETURN, CHANGE_TAKEN, CHANGE_TAKEN,
	    CHANGE_RETURN, CHANGE_DELETED, CHANGE_TAKEN, CHANGE_NONE,
	    CHANGE_TAKEN}},
};

/* The store's part in the choice of a token. */
typedef struct token_store {
	uint64_t era;
	uint64_t revision;
	uint64_t record_revision; /* 0: there is no record */
	uint64_t token;           /* in the record */
} token_store_t;

/*
 * Have a daemon that knows no token take the role.
 */
static void
take_role(token_store_t *store)
{
	store->token = store->record_revision == 0
	    ? fencing_token_created(
		  fencing_token_next(store->era, 0, 0), store->revision)
	    : fencing_token_next(
		  store->era, store->token, store->record_revision);
	store->record_revision = store->revision;
}

/*
 * Test that the token of each coordinator is above all before, where no daemon
 * knows more of them than what is in the store.
 */
static void
test_used_tokens(gconstpointer data)
{
	const used_token_case_t *c = data;
	token_store_t store = {.era = STORE_ERA_FIRST}, copy = {0};
	uint64_t highest = 0;
	uint32_t i;

	for (i = 0; i < CHANGES_MAX; i++) {
		store.revision++;
		if (c->changes[i] == CHANGE_TAKEN) {
			take_role(&store);
			g_assert_cmpuint(store.token, >, highest);
			highest = store.token;
		} else if (c->changes[i] == CHANGE_DELETED) {
			store.record_revision = 0;
		} else if (c->changes[i] == CHANGE_OTHER) {
			store.record_revision = store.revision;
			store.token = 2;
		} else if (c->changes[i] == CHANGE_RETURN) {
			copy.era = store.era + 1;
			store = copy;
		}
		if (store.revision == 3)
			copy = store;
	}
}

typedef struct base_case {
	const char *name;
	recorded_orders_t orders;
	uint64_t limit; /* 0: none */
	uint64_t newest_term;
	uint64_t followed_term;
	bool unknown;
} base_case_t;

static const base_case_t base_cases[] = {
    {"no order, in the newest term", {0}, 0, 2, 2, false},
    {"no order, a term later", {0}, 0, 2, 1, true},
    {"its order is known", {1, 2, 0, {1, 56}}, 0, 2, 1, false},
    {"an order without the end of a log", {1, 2, 0, {0, 0}}, 0, 1, 1, true},
    {"the same, in a later term", {1, 2, 0, {0, 0}}, 0, 2, 2, false},
    {"the same, if it had no effect", {1, 2, 0, {0, 0}}, 1, 1, 1, false},
    {"two terms later, the order of the first is known", {1, 2, 0, {1, 56}}, 0,
	3, 1, true},
    {"that of the second is, from the first", {2, 2, 0, {2, 70}}, 0, 3, 1,
	true},
    {"that of the second is, from before the first", {2, 2, 0, {1, 56}}, 0, 3,
	1, false},
    {"both are",
	{2, 2, 0, {2, 70}, .earlier = {{1, {1, 56}}}, .earlier_count = 1}, 0, 3,
	1, false},
    {"the last may have begun a term, with the end of a log",
	{2, 3, 0, {2, 70}}, 0, 2, 2, false},
};

/*
 * Test whether a term may have begun after an unknown entry of a log.
 */
static void
test_base(gconstpointer data)
{
	const base_case_t *c = data;

	g_assert_cmpint(recorded_orders_base_unknown(&c->orders,
			    c->limit == 0 ? UINT64_MAX : c->limit,
			    c->newest_term, c->followed_term),
	    ==, c->unknown);
}

typedef struct start_case {
	const char *name;
	start_evidence_t evidence;
	bool likely;
	bool ended;
	start_removal_t removal;
} start_case_t;

/* Time of silence after which a start is removed, if it leaves or not. */
#define LEFT_US (10 * US_PER_SECOND)
#define SILENT_US (60 * US_PER_SECOND)

static const start_case_t start_cases[] = {
    {"listed", {.listed = true, .known = true}, false, false, START_STAYS},
    {"listed, has not answered yet", {.listed = true}, false, false,
	START_STAYS},
    {"listed, and silent",
	{.listed = true, .known = true, .silent_us = SILENT_US}, false, false,
	START_STAYS},
    {"listed, and refuses connections",
	{.listed = true, .known = true, .refused = true}, false, false,
	START_STAYS},
    {"listed, and another one answers in its place",
	{.listed = true, .known = true, .denied = true}, true, true,
	START_STAYS},
    {"listed, and followed by a later start",
	{.listed = true, .known = true, .followed = true}, true, true,
	START_FOLLOWED},
    {"listed at another address",
	{.listed = true, .known = true, .moved = true}, false, false,
	START_MOVED},
    {"listed, and has said that it leaves",
	{.listed = true, .known = true, .leaving = true}, false, false,
	START_STAYS},
    {"not listed", {.known = true}, false, false, START_STAYS},
    {"not listed, and refuses connections", {.known = true, .refused = true},
	true, false, START_STAYS},
    {"not listed, refuses connections and is almost silent",
	{.known = true, .refused = true, .silent_us = SILENT_US - 1}, true,
	false, START_STAYS},
    {"not listed, refuses connections and is silent",
	{.known = true, .refused = true, .silent_us = SILENT_US}, true, false,
	START_SILENT},
    {"not listed, and silent", {.known = true, .silent_us = SILENT_US}, false,
	false, START_SILENT},
    {"not listed, and has never answered", {.refused = true}, true, false,
	START_UNANSWERED},
    {"not listed, has never answered, a member",
	{.refused = true, .member = true, .silent_us = SILENT_US - 1}, true,
	false, START_STAYS},
    {"not listed, has never answered, a member, and silent",
	{.refused = true, .member = true, .silent_us = SILENT_US}, true, false,
	START_SILENT},
    {"not listed, and has said that it leaves",
	{.known = true, .leaving = true}, false, false, START_LEFT},
    {"not listed, has said that it leaves, a member",
	{.known = true,
	    .leaving = true,
	    .member = true,
	    .refused = true,
	    .silent_us = LEFT_US - 1},
	true, false, START_STAYS},
    {"not listed, has said that it leaves, a member, and silent",
	{.known = true, .leaving = true, .member = true, .silent_us = LEFT_US},
	false, false, START_SILENT},
    {"not listed, and another one answers in its place",
	{.known = true, .denied = true}, true, true, START_DENIED},
    {"not listed, and followed by a later start",
	{.known = true, .refused = true, .followed = true}, true, true,
	START_FOLLOWED},
};

/*
 * Test what tells that a start of a database has ended, or likely has, and why
 * it is removed from its group.
 */
static void
test_start_ended(gconstpointer data)
{
	const start_case_t *c = data;

	g_assert_cmpint(start_likely_ended(&c->evidence), ==, c->likely);
	g_assert_cmpint(start_ended(&c->evidence), ==, c->ended);
	g_assert_cmpint(start_removal(&c->evidence), ==, c->removal);
}

typedef struct follows_case {
	const char *name;
	start_t later;
	start_t start;
	bool follows;
} follows_case_t;

static const follows_case_t follows_cases[] = {
    {"the same", {"i-1", "h:1", 5}, {"i-1", "h:1", 5}, false},
    {"another time under the same id", {"i-1", "h:2", 6}, {"i-1", "h:1", 5},
	true},
    {"an earlier time under the same id", {"i-1", "h:1", 4}, {"i-1", "h:1", 5},
	false},
    {"another id at the address, later", {"i-2", "h:1", 6}, {"i-1", "h:1", 5},
	true},
    {"another id at the address, earlier", {"i-2", "h:1", 4}, {"i-1", "h:1", 5},
	false},
    {"another id at another address", {"i-2", "h:2", 6}, {"i-1", "h:1", 5},
	false},
    {"an address that is not known", {"i-2", "h:1", 6}, {"i-1", NULL, 5},
	false},
};

/*
 * Test which start of a database shows that another one has ended.
 */
static void
test_start_follows(gconstpointer data)
{
	const follows_case_t *c = data;

	g_assert_cmpint(start_follows(&c->later, &c->start), ==, c->follows);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CASES("/decide/handover", handover_cases, test_handover);
	CASES("/decide/position", position_cases, test_position);
	CASES("/decide/hold", majority_cases, test_majority);
	CASES("/decide/view", view_cases, test_view);
	CASES("/decide/sample", sample_cases, test_sample);
	CASES("/decide/age", staleness_cases, test_staleness);
	CASES("/decide/replica", choose_cases, test_choose);
	CASES("/decide/floors", floors_cases, test_floors);
	CASES("/decide/budget", budget_cases, test_budget);
	CASES("/decide/drain-limit", drain_cases, test_drain_limit);
	CASES("/decide/keepalive", keepalive_cases, test_keepalive);
	CASES("/decide/version", version_cases, test_version);
	CASES("/decide/token", token_cases, test_token);
	CASES("/decide/highest-token", highest_token_cases, test_highest_token);
	CASES("/decide/used-tokens", used_token_cases, test_used_tokens);
	CASES("/decide/owner", owner_cases, test_owner);
	CASES("/decide/refresh", refresh_cases, test_refresh);
	CASES("/decide/list", list_cases, test_list);
	CASES("/decide/queue-limit", queue_limit_cases, test_queue_limit);
	CASES("/decide/result", result_cases, test_result);
	CASES("/decide/reconnect", reconnect_cases, test_reconnect);
	CASES("/decide/start/ended", start_cases, test_start_ended);
	CASES("/decide/start/follows", follows_cases, test_start_follows);
	CASES("/decide/base-unknown", base_cases, test_base);
	g_test_add_func("/decide/samples-ring", test_position_history);
	g_test_add_func("/decide/retry", test_retry);
	g_test_add_func("/decide/reqids", test_reqids);
	return g_test_run();
}
