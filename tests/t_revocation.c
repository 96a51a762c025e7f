#include "../src/decide/revocation.h"

#include "cases.h"

#include <errno.h>

/*
 * Tests of the revocation of leases: which daemons count as having given up
 * theirs, by what their connections have shown.
 */

#define TARGETS_MAX 8

typedef struct ended_case {
	const char *name;
	bool opened;
	int32_t error;
	contact_t contact; /* expected */
} ended_case_t;

static const ended_case_t ended_cases[] = {
    {"refused", false, -ECONNREFUSED, CONTACT_REFUSED},
    {"not reached", false, -EHOSTUNREACH, CONTACT_SILENT},
    {"reset before it was opened", false, -ECONNRESET, CONTACT_RESET},
    {"reset", true, -ECONNRESET, CONTACT_RESET},
    {"refused after it was opened", true, -ECONNREFUSED, CONTACT_RESET},
};

/*
 * Test what a connection has shown that has ended without an answer, and that
 * it shows nothing of the state of the process.
 */
static void
test_ended(gconstpointer data)
{
	const ended_case_t *c = data;
	contact_t contact = contact_ended(c->opened, c->error);

	g_assert_cmpint(contact, ==, c->contact);
	g_assert_false(contact_shows_state(contact));
}

typedef struct answered_case {
	const char *name;
	process_t asked;
	process_t sender;
	contact_t contact; /* expected */
} answered_case_t;

static const answered_case_t answered_cases[] = {
    {"by the process that was asked", {"vm-a-1", 7}, {"vm-a-1", 7},
	CONTACT_ANSWERED},
    {"by another daemon at its address", {"vm-a-1", 7}, {"vm-a-2", 7},
	CONTACT_SILENT},
    {"by another daemon, started later", {"vm-a-1", 7}, {"vm-a-2", 8},
	CONTACT_SILENT},
    {"by the next process at its address", {"vm-a-1", 7}, {"vm-a-1", 8},
	CONTACT_ANSWERED},
    {"by one that started earlier", {"vm-a-1", 7}, {"vm-a-1", 6},
	CONTACT_SILENT},
    {"by one of a former version, without a name", {"vm-a-1", 7}, {NULL, 0},
	CONTACT_ANSWERED},
    {"by one of a former version", {"vm-a-1", 7}, {"vm-a-1", 0},
	CONTACT_ANSWERED},
    {"the record is of a former version", {"vm-a-1", 0}, {"vm-a-1", 7},
	CONTACT_ANSWERED},
};

/*
 * Test of which process an answer shows something.
 */
static void
test_answered(gconstpointer data)
{
	const answered_case_t *c = data;

	g_assert_cmpint(
	    contact_answered(&c->asked, &c->sender), ==, c->contact);
}

typedef struct progress_case {
	const char *name;
	/* a letter for each of the other daemons: a answered, f refused, x
	   reset, s silent; in capitals if it may hold a lease */
	const char *targets;
	bool incomplete;
	revocation_progress_t progress; /* expected */
} progress_case_t;

static const progress_case_t progress_cases[] = {
    {"there is no other daemon", "", false, REVOCATION_BY_ALL},
    {"all have answered", "AA", false, REVOCATION_BY_ALL},
    {"others may hold leases", "AA", true, REVOCATION_BY_MOST},
    {"one of three refuses, and may hold a lease", "AF", false,
	REVOCATION_BY_MOST},
    {"one of three is reset, and may hold a lease", "AX", false,
	REVOCATION_BY_MOST},
    {"one of three is silent, and may hold a lease", "AS", false,
	REVOCATION_BY_MOST},
    {"one of three refuses, and holds none", "Af", false, REVOCATION_BY_ALL},
    {"two of three refuse", "FF", false, REVOCATION_BEGUN},
    {"two of three refuse, and hold no leases", "ff", false, REVOCATION_BEGUN},
    {"three of six refuse", "AAFFF", false, REVOCATION_BEGUN},
    {"two of six refuse", "AAAFF", false, REVOCATION_BY_MOST},
    {"one of two refuses", "F", false, REVOCATION_BEGUN},
};

/*
 * Fill in the states of the other daemons, and return how many there are.
 */
static uint32_t
fill_targets(revocation_target_t *targets, const char *letters)
{
	uint32_t i;

	for (i = 0; letters[i] != '\0'; i++) {
		char letter = g_ascii_tolower(letters[i]);

		g_assert_cmpuint(i, <, TARGETS_MAX);
		targets[i] = (revocation_target_t){.contact = letter == 'a'
			? CONTACT_ANSWERED
			: letter == 'f' ? CONTACT_REFUSED
			: letter == 'x' ? CONTACT_RESET
					: CONTACT_SILENT,
		    .holds_leases = g_ascii_isupper(letters[i])};
	}
	return i;
}

/*
 * Test how far a revocation is.
 */
static void
test_progress(gconstpointer data)
{
	const progress_case_t *c = data;
	revocation_target_t targets[TARGETS_MAX];
	revocation_count_t count =
	    revocation_count(targets, fill_targets(targets, c->targets));

	g_assert_cmpint(
	    revocation_progress(&count, c->incomplete), ==, c->progress);
}

typedef struct token_case {
	const char *name;
	const char *targets;
	uint32_t recorded; /* the first so many have read a token */
	uint32_t of_daemons;
	bool confirmed; /* expected */
} token_case_t;

static const token_case_t token_cases[] = {
    {"most have answered, and read it", "aas", 2, 0, true},
    {"one of them has not", "aass", 1, 0, false},
    {"most refuse", "aff", 3, 0, false},
    {"more daemons were listed before", "aa", 2, 6, false},
};

/*
 * Test whether a majority of the daemons confirms that there is no newer token.
 */
static void
test_token(gconstpointer data)
{
	const token_case_t *c = data;
	revocation_target_t targets[TARGETS_MAX];
	uint32_t i, target_count = fill_targets(targets, c->targets);
	revocation_count_t count;

	for (i = 0; i < c->recorded; i++)
		targets[i].token_recorded = true;
	count = revocation_count(targets, target_count);
	g_assert_cmpint(
	    revocation_confirms_token(&count, c->of_daemons), ==, c->confirmed);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* run every case */
	CASES("/revocation/ended", ended_cases, test_ended);
	CASES("/revocation/answered", answered_cases, test_answered);
	CASES("/revocation/progress", progress_cases, test_progress);
	CASES("/revocation/token", token_cases, test_token);
	return g_test_run();
}
