#include "../src/bergamotplank.h"
#include "../src/decide/decide.h"
#include "../src/decide/owner.h"
#include "../src/decide/promote.h"
#include "../src/decide/replica.h"
#include "../src/decide/reqid.h"

#include "cases.h"

#include <string.h>

/* The pure decisions, in tables of cases. */

#define MS(n) ((int64_t)(n)*US_PER_MS)
#define SAMPLES_ADDED (UINT64_C(10) * SAMPLES_MAX)

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
    {"nothing is lowest", {0, 0}, {1, 1}, -1},
};

/*
 * A (term, position) pair orders logs; a bare position does not.
 */
static void
test_position(gconstpointer data)
{
	const position_case_t *c = data;

	g_assert_cmpint(position_compare(c->a, c->b), ==, c->order);
	g_assert_cmpint(position_compare(c->b, c->a), ==, -c->order);
}

#define VIEW(promised_, term_, index_, asked_) \
	{ \
		true, false, false, promised_, {term_, index_}, asked_ \
	}
#define NO_VIEW \
	{ \
		false, false, false, 0, {0, 0}, 0 \
	}

typedef struct hold_case {
	const char *name;
	uint32_t count;
	db_view_t views[5];
	position_t position;
	int64_t since_us;
	bool confirmed;
} hold_case_t;

static const hold_case_t hold_cases[] = {
    {"primary and one replica", 3,
	{VIEW(4, 4, 9, 10), VIEW(4, 4, 9, 10), NO_VIEW}, {4, 9}, 10, true},
    {"the primary alone", 3,
	{VIEW(4, 4, 9, 10), VIEW(4, 4, 8, 10), VIEW(4, 4, 3, 10)}, {4, 9}, 10,
	false},
    {"promised, but the log ends in another term", 3,
	{VIEW(4, 4, 9, 10), VIEW(4, 3, 12, 10), VIEW(4, 3, 12, 10)}, {4, 9}, 10,
	false},
    {"an old primary's longer log is no holder", 3,
	{VIEW(4, 4, 9, 10), VIEW(3, 3, 20, 10), NO_VIEW}, {4, 9}, 10, false},
    {"already promised to a newer term", 3,
	{VIEW(4, 4, 9, 10), VIEW(5, 4, 9, 10), VIEW(5, 4, 9, 10)}, {4, 9}, 10,
	false},
    {"asked too early", 3, {VIEW(4, 4, 9, 10), VIEW(4, 4, 9, 9), NO_VIEW},
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
 * Acknowledge only what every later primary must hold.
 */
static void
test_hold(gconstpointer data)
{
	const hold_case_t *c = data;

	g_assert_cmpint(
	    hold_confirmed(c->views, c->count, c->position, c->since_us), ==,
	    c->confirmed);
}

typedef struct view_case {
	const char *name;
	db_view_t old;
	db_view_t heard;
	db_view_t expected;
} view_case_t;

static const view_case_t view_cases[] = {
    {"first", NO_VIEW, VIEW(1, 1, 2, 5), VIEW(1, 1, 2, 5)},
    {"newer question", VIEW(1, 1, 2, 5), VIEW(1, 1, 4, 6), VIEW(1, 1, 4, 6)},
    {"late answer to an older question", VIEW(1, 1, 4, 6), VIEW(1, 1, 2, 5),
	VIEW(1, 1, 4, 6)},
    {"older question, further log", VIEW(1, 1, 4, 6), VIEW(1, 1, 7, 5),
	VIEW(1, 1, 7, 6)},
    {"older promise is passed over", VIEW(3, 3, 4, 6), VIEW(2, 2, 9, 8),
	VIEW(3, 3, 4, 6)},
    {"newer promise, older question", VIEW(3, 3, 4, 6), VIEW(4, 3, 5, 5),
	VIEW(4, 3, 5, 5)},
    {"a log not of its term may shrink", VIEW(4, 3, 9, 6), VIEW(4, 3, 5, 7),
	VIEW(4, 3, 5, 7)},
};

/*
 * Answers come in any order; what is known never goes back wrongly.
 */
static void
test_view(gconstpointer data)
{
	const view_case_t *c = data;
	db_view_t view = c->old;

	view_update(&view, &c->heard);
	g_assert_cmpuint(view.promised, ==, c->expected.promised);
	g_assert_cmpuint(view.last.term, ==, c->expected.last.term);
	g_assert_cmpuint(view.last.index, ==, c->expected.last.index);
	g_assert_cmpint(view.asked_us, ==, c->expected.asked_us);
}

typedef struct sample_case {
	const char *name;
	db_view_t views[3];
	bool primary;
	bool taken;
	int64_t at_us;
} sample_case_t;

static const sample_case_t sample_cases[] = {
    {"all asked at once",
	{VIEW(2, 2, 7, 50), VIEW(2, 2, 6, 50), VIEW(2, 2, 5, 50)}, true, true,
	50},
    {"the second youngest decides",
	{VIEW(2, 2, 7, 50), VIEW(2, 2, 6, 40), VIEW(2, 2, 5, 10)}, true, true,
	40},
    {"the primary was asked earlier",
	{VIEW(2, 2, 7, 20), VIEW(2, 2, 6, 40), VIEW(2, 2, 5, 50)}, true, true,
	20},
    {"a majority is past the term",
	{VIEW(2, 2, 7, 50), VIEW(3, 2, 6, 50), VIEW(3, 2, 5, 50)}, true, false,
	0},
    {"the record of its term is missing",
	{VIEW(3, 2, 7, 50), VIEW(3, 2, 6, 50), VIEW(3, 2, 5, 50)}, true, false,
	0},
    {"not primary by its own word",
	{VIEW(2, 2, 7, 50), VIEW(2, 2, 6, 50), VIEW(2, 2, 5, 50)}, false, false,
	0},
};

/*
 * A sample vouches for a time only when a majority was still in the term.
 */
static void
test_sample(gconstpointer data)
{
	const sample_case_t *c = data;
	db_view_t views[3];
	sample_t sample = {0};

	memcpy(views, c->views, sizeof(views));
	views[0].primary = c->primary;
	g_assert_cmpint(sample_take(views, 3, 0, &sample), ==, c->taken);
	if (c->taken) {
		g_assert_cmpint(sample.at_us, ==, c->at_us);
		g_assert_cmpuint(sample.position.index, ==, 7);
	}
}

typedef struct age_case {
	const char *name;
	int64_t max_age_us;
	bool found;
	uint64_t index;
} age_case_t;

static const age_case_t age_cases[] = {
    {"the oldest that is young enough", MS(250), true, 3},
    {"just the newest", MS(100), true, 4},
    {"too strict for any", MS(50), false, 0},
    {"older than all that is kept", MS(100000), true, 1},
};

/*
 * Samples at 100 ms steps; now is 100 ms after the last.
 */
static void
test_age(gconstpointer data)
{
	const age_case_t *c = data;
	samples_t samples = {0};
	position_t needed;
	uint64_t i;

	for (i = 1; i <= 4; i++)
		samples_add(
		    &samples, (sample_t){MS(100) * (int64_t)i, {1, i}}, MS(10));
	g_assert_cmpint(
	    samples_needed(&samples, MS(500), c->max_age_us, &needed), ==,
	    c->found);
	if (c->found)
		g_assert_cmpuint(needed.index, ==, c->index);
}

/*
 * The ring stays in order when it is full, and close samples share a place.
 */
static void
test_samples_ring(void)
{
	samples_t samples = {0};
	position_t needed;
	uint64_t i;

	for (i = 1; i <= SAMPLES_ADDED; i++)
		samples_add(
		    &samples, (sample_t){MS(10) * (int64_t)i, {1, i}}, MS(50));
	g_assert_cmpuint(samples.count, ==, SAMPLES_MAX);
	g_assert_true(
	    samples_needed(&samples, MS(10 * SAMPLES_ADDED), MS(200), &needed));
	g_assert_cmpuint(needed.index, >=, SAMPLES_ADDED - 20);
	/* a sample from the past is passed over */
	samples_add(&samples, (sample_t){MS(1), {1, 1}}, MS(50));
	g_assert_cmpuint(samples.count, ==, SAMPLES_MAX);
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
    {"the less loaded", {VIEW(1, 1, 9, 0), VIEW(1, 1, 9, 0), VIEW(1, 1, 9, 0)},
	{{true, 0, 5}, {true, 3, 5}, {true, 2, 5}}, {1, 9}, 2},
    {"one that lags is left out",
	{VIEW(1, 1, 9, 0), VIEW(1, 1, 9, 0), VIEW(1, 1, 8, 0)},
	{{true, 0, 5}, {true, 3, 5}, {true, 0, 5}}, {1, 9}, 1},
    {"a newer term reaches every older position",
	{VIEW(2, 2, 9, 0), VIEW(2, 1, 9, 0), VIEW(2, 2, 5, 0)},
	{{true, 0, 5}, {true, 0, 5}, {true, 0, 5}}, {1, 10}, 2},
    {"the old primary's own tail is not newer",
	{VIEW(2, 2, 9, 0), VIEW(1, 1, 30, 0), NO_VIEW},
	{{true, 0, 5}, {true, 0, 5}, {true, 0, 5}}, {2, 9}, REPLICA_NONE},
    {"full ones are busy, not missing",
	{VIEW(1, 1, 9, 0), VIEW(1, 1, 9, 0), VIEW(1, 1, 8, 0)},
	{{true, 0, 5}, {true, 5, 5}, {true, 0, 5}}, {1, 9}, REPLICA_BUSY},
    {"leaving or cut off",
	{VIEW(1, 1, 9, 0), VIEW(1, 1, 9, 0), VIEW(1, 1, 9, 0)},
	{{true, 0, 5}, {false, 0, 5}, {false, 0, 5}}, {1, 9}, REPLICA_NONE},
};

/*
 * The least loaded replica that is far enough.
 */
static void
test_choose(gconstpointer data)
{
	const choose_case_t *c = data;

	g_assert_cmpint(
	    replica_choose(c->views, c->loads, 3, 0, c->needed), ==, c->chosen);
}

typedef struct budget_case {
	const char *name;
	uint32_t limit;
	uint32_t slots;
	uint32_t share;
	uint32_t warm;
	uint32_t transactions;
} budget_case_t;

static const budget_case_t budget_cases[] = {
    {"tickets-db", 35, 5, 10, 5, 5},
    {"quotes-db", 30, 2, 9, 2, 7},
    {"more slots than connections", 9, 50, 2, 2, 1},
    {"hardly any", 3, 1, 1, 1, 1},
};

/*
 * Three daemons at once, each with its control connection, stay within the
 * limit.
 */
static void
test_budget(gconstpointer data)
{
	const budget_case_t *c = data;
	budget_t budget = budget_split(c->limit, c->slots);

	g_assert_cmpuint(budget.share, ==, c->share);
	g_assert_cmpuint(budget.warm, ==, c->warm);
	g_assert_cmpuint(budget.transactions, ==, c->transactions);
	if (c->limit >= 6)
		g_assert_cmpuint(
		    UINT64_C(3) * (budget.share + 1), <=, c->limit);
}

/*
 * Retries are bounded by a start and a tenth of the first tries.
 */
static void
test_retry(void)
{
	retry_t retry = {0};
	uint32_t i, start = 0, later = 0;

	while (retry_spend(&retry))
		start++;
	g_assert_cmpuint(start, ==, 20);
	for (i = 0; i < 100; i++)
		retry_earn(&retry);
	while (retry_spend(&retry))
		later++;
	g_assert_cmpuint(later, ==, 10);
	for (i = 0; i < 1000000; i++)
		retry_earn(&retry);
	for (later = 0; retry_spend(&retry);)
		later++;
	g_assert_cmpuint(later, <=, 100);
}

typedef struct silence_case {
	const char *name;
	int64_t heard_ms; /* -1: nothing more was heard */
	int64_t at_ms[4];
	silence_verdict_t verdicts[4];
} silence_case_t;

static const silence_case_t silence_cases[] = {
    {"silent for good", -1, {400, 500, 900, 1000},
	{SILENCE_NONE, SILENCE_PING, SILENCE_NONE, SILENCE_CONDEMN}},
    {"answers the ping", 600, {400, 500, 1000, 1100},
	{SILENCE_NONE, SILENCE_PING, SILENCE_NONE, SILENCE_PING}},
    {"never quiet for long", 450, {400, 500, 900, 950},
	{SILENCE_NONE, SILENCE_NONE, SILENCE_NONE, SILENCE_PING}},
};

/*
 * 500 ms of quiet, then 500 ms for an answer.
 */
static void
test_silence(gconstpointer data)
{
	const silence_case_t *c = data;
	silence_t silence = {0};
	bool heard = false;
	uint32_t i;

	silence_heard(&silence, 0);
	for (i = 0; i < 4; i++) {
		if (!heard && c->heard_ms >= 0 && c->heard_ms <= c->at_ms[i]) {
			silence_heard(&silence, MS(c->heard_ms));
			heard = true;
		}
		g_assert_cmpint(
		    silence_check(&silence, MS(c->at_ms[i]), MS(500), MS(500)),
		    ==, c->verdicts[i]);
	}
}

typedef struct version_case {
	const char *name;
	uint64_t team, accepted, judged;
	bool judge;
	bool supersedes; /* team over accepted */
} version_case_t;

static const version_case_t version_cases[] = {
    {"new", 1, 0, 0, true, true},
    {"accepted already", 3, 3, 0, false, false},
    {"rejected already", 4, 3, 4, false, true},
    {"newer than the rejected one", 5, 3, 4, true, true},
    {"older than the accepted one", 2, 3, 0, false, false},
};

/*
 * Versions only go up.
 */
static void
test_version(gconstpointer data)
{
	const version_case_t *c = data;

	g_assert_cmpint(
	    version_to_judge(c->team, c->accepted, c->judged), ==, c->judge);
	g_assert_cmpint(
	    version_supersedes(c->team, c->accepted), ==, c->supersedes);
}

/*
 * Request ids: running, ended, forgotten when they were not acknowledged,
 * and bounded in number.
 */
static void
test_reqids(void)
{
	reqids_t *reqids = reqids_new(2);
	position_t at = {0};

	g_assert_cmpint(reqids_begin(reqids, "a"), ==, REQID_NEW);
	g_assert_cmpint(reqids_begin(reqids, "a"), ==, REQID_RUNNING);
	reqids_end(reqids, "a", true, (position_t){3, 7});
	g_assert_cmpint(reqids_begin(reqids, "a"), ==, REQID_ENDED);
	g_assert_true(reqids_ended(reqids, "a", &at));
	g_assert_cmpuint(at.index, ==, 7);
	g_assert_cmpint(reqids_begin(reqids, "b"), ==, REQID_NEW);
	reqids_end(reqids, "b", false, at);
	g_assert_cmpint(reqids_begin(reqids, "b"), ==, REQID_NEW);
	reqids_end(reqids, "b", true, at);
	g_assert_cmpint(reqids_begin(reqids, "c"), ==, REQID_NEW);
	reqids_end(reqids, "c", true, at);
	g_assert_cmpuint(reqids_count(reqids), ==, 2);
	g_assert_false(reqids_ended(reqids, "a", &at));
	g_assert_true(reqids_ended(reqids, "c", &at));
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
 * Every key has one owner; when a member goes, only its keys move.
 */
static void
test_owner(gconstpointer data)
{
	const owner_case_t *c = data;
	char names[16][16], key[32];
	const char *members[16];
	uint32_t i, moved = 0, owned = 0;

	for (i = 0; i < c->members; i++) {
		g_snprintf(names[i], sizeof(names[i]), "entry-%u", i);
		members[i] = names[i];
	}
	for (i = 0; i < c->keys; i++) {
		int32_t whole, less;

		g_snprintf(key, sizeof(key), "team/group-%u", i);
		whole = owner_pick(members, c->members, key);
		less = owner_pick(members, c->members - 1, key);
		g_assert_cmpint(whole, >=, 0);
		g_assert_cmpuint(
		    owner_rank(members, c->members, members[whole], key), ==,
		    0);
		owned += whole == (int32_t)c->members - 1;
		moved += whole != less;
	}
	g_assert_cmpuint(moved, ==, owned);
	g_assert_cmpuint(
	    (uint64_t)owned * c->members, <, UINT64_C(2) * c->keys);
	g_assert_cmpint(owner_pick(members, 0, "x"), ==, -1);
}

typedef struct handover_case {
	const char *name;
	uint32_t grants[3]; /* in this order */
	int32_t leaving;    /* -1: none */
	uint32_t raised_not;
} handover_case_t;

static const handover_case_t handover_cases[] = {
    {"the leaving one grants first", {0, 1, 2}, 0, 0},
    {"the leaving one grants second", {1, 0, 2}, 0, 0},
    {"the leaving one grants last", {2, 1, 0}, 0, 0},
};

/*
 * Among equals, the one that leaves is not raised again.
 */
static void
test_handover(gconstpointer data)
{
	static const promote_limits_t limits = {
	    MS(400), MS(200), MS(2000), MS(500), MS(500), MS(50)};
	const handover_case_t *c = data;
	promote_actions_t actions;
	promote_t promote;
	uint32_t i;

	promote_init(&promote, &limits, 3, 1, 0);
	for (i = 0; i < 3; i++) {
		db_view_t view = VIEW(1, 1, 9, 1);

		view.primary = i == 0;
		view.leaving = (int32_t)i == c->leaving;
		promote_heard(&promote, i, &view, MS(1));
	}
	promote_tick(&promote, MS(2), &actions);
	promote_handover(&promote, MS(3));
	promote_tick(&promote, MS(3), &actions);
	g_assert_cmpuint(actions.count, ==, 3);
	for (i = 0; i < 2; i++) {
		db_view_t view = VIEW(2, 1, 9, 1);

		view.leaving = (int32_t)c->grants[i] == c->leaving;
		promote_fenced(&promote, c->grants[i], 2, true, &view, MS(4));
	}
	promote_tick(&promote, MS(5), &actions);
	g_assert_cmpuint(actions.count, ==, 1);
	g_assert_cmpint(actions.list[0].kind, ==, PROMOTE_RAISE);
	g_assert_cmpuint(actions.list[0].database, !=, c->raised_not);
	promote_clear(&promote);
}

/*
 * Run the tables.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CASES("/decide/handover", handover_cases, test_handover);
	CASES("/decide/position", position_cases, test_position);
	CASES("/decide/hold", hold_cases, test_hold);
	CASES("/decide/view", view_cases, test_view);
	CASES("/decide/sample", sample_cases, test_sample);
	CASES("/decide/age", age_cases, test_age);
	CASES("/decide/replica", choose_cases, test_choose);
	CASES("/decide/budget", budget_cases, test_budget);
	CASES("/decide/silence", silence_cases, test_silence);
	CASES("/decide/version", version_cases, test_version);
	CASES("/decide/owner", owner_cases, test_owner);
	g_test_add_func("/decide/samples-ring", test_samples_ring);
	g_test_add_func("/decide/retry", test_retry);
	g_test_add_func("/decide/reqids", test_reqids);
	return g_test_run();
}
