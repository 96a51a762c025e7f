#include "../gen/statement.pb-c.h"
#include "../src/document.h"
#include "../src/json.h"
#include "../src/token.h"
#include "cases.h"

#include <string.h>

/* Settings, documents, callers' bodies and tokens: what is read from text. */

#define SETTINGS(more) \
	"{\"name\": \"e1\",\n\"address\": \"127.0.0.1\",\n\"zone\": \"a\",\n" \
	"\"caller_port\": 1,\n\"operator_port\": 2,\n\"peer_port\": 3,\n" \
	"\"platform\": {\"address\": \"127.0.0.1\", \"port\": 4}" more "}"

typedef struct text_case {
	const char *name;
	const char *text;
	uint32_t line;      /* of the first fault; 0: none */
	const char *reason; /* a part of it */
} text_case_t;

static const text_case_t settings_cases[] = {
    {"smallest", SETTINGS(""), 0, NULL},
    {"comments", "// one\n/* two */" SETTINGS(""), 0, NULL},
    {"all parts",
	SETTINGS(",\n\"seeds\": [{\"address\": \"::1\", \"port\": 9}],\n"
		 "\"limits\": {\"body_bytes\": 2048},\n"
		 "\"timeouts\": {\"drain_ms\": 0},\n\"log_level\": \"debug\""),
	0, NULL},
    {"unknown key", SETTINGS(",\n\"colour\": 1"), 8, "unknown key \"colour\""},
    {"unknown key with a value of many parts",
	SETTINGS(",\n\"colour\": {\"a\": [1, {\"b\": 2}]}"), 8,
	"unknown key \"colour\""},
    {"wrong type", SETTINGS(",\n\"limits\": {\"body_bytes\": \"big\"}"), 8,
	"wrong type"},
    {"a number for an object", SETTINGS(",\n\"limits\": 5"), 8, "wrong type"},
    {"a list for an object", SETTINGS(",\n\"limits\": [5]"), 8, "wrong type"},
    {"an object for a list",
	SETTINGS(",\n\"seeds\": {\"address\": \"::1\", \"port\": 9}"), 8,
	"must be a list"},
    {"null", SETTINGS(",\n\"limits\": null"), 8, "wrong type"},
    {"below the range", SETTINGS(",\n\"timeouts\": {\"statement_ms\": 1}"), 8,
	"from 10 to 600000"},
    {"above the range", SETTINGS(",\n\"timeouts\": {\"statement_ms\": 600001}"),
	8, "from 10 to 600000"},
    {"not whole", SETTINGS(",\n\"timeouts\": {\"statement_ms\": 10.5}"), 8,
	"whole number"},
    {"negative", SETTINGS(",\n\"timeouts\": {\"statement_ms\": -20}"), 8,
	"whole number"},
    {"overflow",
	SETTINGS(",\n\"timeouts\": {\"statement_ms\": "
		 "99999999999999999999999}"),
	8, "whole number"},
    {"duplicate key", SETTINGS(",\n\"zone\": \"b\""), 8,
	"duplicate key \"zone\""},
    {"not an IP number",
	SETTINGS(",\n\"seeds\": [{\"address\": \"host.example\", "
		 "\"port\": 9}]"),
	8, "IP number"},
    {"unknown level", SETTINGS(",\n\"log_level\": \"loud\""), 8,
	"unknown value \"loud\""},
    {"ports that collide",
	"{\"name\": \"e1\", \"address\": \"127.0.0.1\", \"zone\": \"a\", "
	"\"caller_port\": 1, \"operator_port\": 1, \"peer_port\": 3, "
	"\"platform\": {\"address\": \"127.0.0.1\", \"port\": 4}}",
	1, "must differ"},
    {"missing key", "{\"name\": \"e1\"}", 1, "missing key"},
    {"name with a blank",
	"{\"name\": \"e 1\", \"address\": \"127.0.0.1\", \"zone\": \"a\", "
	"\"caller_port\": 1, \"operator_port\": 2, \"peer_port\": 3, "
	"\"platform\": {\"address\": \"127.0.0.1\", \"port\": 4}}",
	1, "must be 1 to 64"},
    {"truncated", "{\"name\": \"e1\",\n\"address\": ", 2, "EOF"},
    {"empty", "", 1, ""},
    {"only blanks", " \n \n", 3, ""},
    {"not JSON", "name = e1\n", 1, "lexical error"},
    {"junk after the end", SETTINGS("") "\n]", 8, "trailing garbage"},
    {"a list", "[]", 1, "expected an object"},
    {"a number", "5", 1, "expected an object"},
    {"zero byte in a name", "{\"name\": \"e\\u00001\"}", 1, "zero byte"},
};

/*
 * Every fault of a settings file has its line and its reason.
 */
static void
test_settings(gconstpointer data)
{
	const text_case_t *c = data;
	faults_t faults = {arena_new(), NULL, 0, g_hash_table_new(NULL, NULL)};
	Bp__Settings *settings =
	    settings_read(faults.arena, c->text, strlen(c->text), &faults);

	if (c->line == 0) {
		g_assert_cmpuint(faults.count, ==, 0);
		g_assert_nonnull(settings);
		g_assert_cmpuint(
		    settings->timeouts->probe_interval_ms, ==, 100);
	} else {
		g_assert_null(settings);
		g_assert_cmpuint(faults.count, >, 0);
		g_assert_cmpuint(faults.list[0].line, ==, c->line);
		g_assert_nonnull(strstr(faults.list[0].reason, c->reason));
	}
	g_hash_table_unref(faults.lines);
	arena_free(faults.arena);
}

/*
 * Random bytes, and every cut of a good file, are refused without a crash.
 */
static void
test_damage(void)
{
	const char *good = SETTINGS(",\n\"seeds\": []");
	GRand *rand = g_rand_new_with_seed(7);
	char bytes[512];
	uint32_t i, j;

	for (i = 0; i < strlen(good); i++) {
		faults_t faults = {arena_new(), NULL, 0, NULL};

		g_assert_null(settings_read(faults.arena, good, i, &faults));
		g_assert_cmpuint(faults.count, >, 0);
		arena_free(faults.arena);
	}
	for (i = 0; i < 2000; i++) {
		faults_t faults = {arena_new(), NULL, 0, NULL};

		for (j = 0; j < sizeof(bytes); j++)
			bytes[j] = (char)g_rand_int_range(rand, 0, 256);
		g_assert_null(
		    settings_read(faults.arena, bytes, sizeof(bytes), &faults));
		g_assert_cmpuint(faults.count, >, 0);
		arena_free(faults.arena);
	}
	g_rand_free(rand);
}

/*
 * Nesting without end is refused without a crash.
 */
static void
test_depth(void)
{
	uint32_t size_bytes = 200000;
	char *text = g_malloc(size_bytes);
	faults_t faults = {arena_new(), NULL, 0, NULL};

	memset(text, '[', size_bytes);
	g_assert_null(settings_read(faults.arena, text, size_bytes, &faults));
	g_assert_cmpuint(faults.count, >, 0);
	arena_free(faults.arena);
	g_free(text);
}

/*
 * All faults of a file are told, not only the first.
 */
static void
test_every_fault(void)
{
	const char *text =
	    SETTINGS(",\n\"colour\": 1,\n\"limits\": {\"body_bytes\": 1},\n"
		     "\"zone\": \"b\"");
	faults_t faults = {arena_new(), NULL, 0, NULL};

	g_assert_null(settings_read(faults.arena, text, strlen(text), &faults));
	g_assert_cmpuint(faults.count, ==, 3);
	g_assert_cmpuint(faults.list[0].line, ==, 8);
	g_assert_cmpuint(faults.list[1].line, ==, 9);
	g_assert_cmpuint(faults.list[2].line, ==, 10);
	arena_free(faults.arena);
}

#define DB(name, port) \
	"{\"name\": \"" name "\", \"address\": \"127.0.0.1\", \"port\": " port \
	", \"zone\": \"z\"}"
#define GROUP(dbs) \
	"{\"name\": \"g\", \"slots\": 5, \"connections_max\": 35, " \
	"\"databases\": [" dbs "]}"
#define RANK(rank, floor) \
	"{\"rank\": \"" rank "\", \"target_ms\": 50, \"worth\": 1, " \
	"\"floor_percent\": " floor "}"
#define RANKS_GOOD \
	RANK("urgent", "0") \
	", " RANK("standard", "15") ", " RANK("background", "5")
#define WORK_GOOD \
	"{\"name\": \"w\", \"access\": \"write\", \"rank\": \"urgent\"}"
#define DOCUMENT(groups, ranks, work, accounts) \
	"{\"team\": \"t\", \"service\": \"s\",\n\"groups\": [" groups \
	"],\n\"ranks\": [" ranks "],\n\"work\": [" work \
	"],\n\"accounts\": [" accounts "]}"
#define DBS_GOOD DB("d1", "1") ", " DB("d2", "2") ", " DB("d3", "3")

static const text_case_t document_cases[] = {
    {"good", DOCUMENT(GROUP(DBS_GOOD), RANKS_GOOD, WORK_GOOD, "\"a\""), 0,
	NULL},
    {"no groups", DOCUMENT("", RANKS_GOOD, WORK_GOOD, "\"a\""), 1,
	"at least one group"},
    {"no databases", DOCUMENT(GROUP(""), RANKS_GOOD, WORK_GOOD, "\"a\""), 2,
	"1 to 9 databases"},
    {"a group twice",
	DOCUMENT(GROUP(DB("d1", "1")) "," GROUP(DB("d2", "2")), RANKS_GOOD,
	    WORK_GOOD, "\"a\""),
	2, "group \"g\" stands twice"},
    {"a database twice",
	DOCUMENT(GROUP(DB("d1", "1") ", " DB("d1", "2")), RANKS_GOOD, WORK_GOOD,
	    "\"a\""),
	2, "database \"d1\" stands twice"},
    {"an address twice",
	DOCUMENT(GROUP(DB("d1", "1") ", " DB("d2", "1")), RANKS_GOOD, WORK_GOOD,
	    "\"a\""),
	2, "stands twice"},
    {"a rank missing",
	DOCUMENT(GROUP(DBS_GOOD),
	    RANK("urgent", "0") ", " RANK("standard", "15"), WORK_GOOD,
	    "\"a\""),
	1, "rank \"BACKGROUND\" is missing"},
    {"a rank twice",
	DOCUMENT(GROUP(DBS_GOOD), RANKS_GOOD ", " RANK("urgent", "0"),
	    WORK_GOOD, "\"a\""),
	3, "stands twice"},
    {"floors without room",
	DOCUMENT(GROUP(DBS_GOOD),
	    RANK("urgent", "50") ", " RANK("standard", "30") ", " RANK(
		"background", "20"),
	    WORK_GOOD, "\"a\""),
	1, "100 percent"},
    {"a write with an age",
	DOCUMENT(GROUP(DBS_GOOD), RANKS_GOOD,
	    "{\"name\": \"w\", \"access\": \"write\", \"rank\": \"urgent\", "
	    "\"max_age_ms\": 5}",
	    "\"a\""),
	4, "writes"},
    {"work twice",
	DOCUMENT(
	    GROUP(DBS_GOOD), RANKS_GOOD, WORK_GOOD ", " WORK_GOOD, "\"a\""),
	4, "work \"w\" stands twice"},
    {"no work", DOCUMENT(GROUP(DBS_GOOD), RANKS_GOOD, "", "\"a\""), 1,
	"at least one kind"},
    {"no accounts", DOCUMENT(GROUP(DBS_GOOD), RANKS_GOOD, WORK_GOOD, ""), 1,
	"at least one"},
    {"an account twice",
	DOCUMENT(GROUP(DBS_GOOD), RANKS_GOOD, WORK_GOOD, "\"a\", \"a\""), 1,
	"account \"a\" stands twice"},
    {"too few connections",
	DOCUMENT("{\"name\": \"g\", \"slots\": 1, \"connections_max\": 3, "
		 "\"databases\": [" DB("d1", "1") "]}",
	    RANKS_GOOD, WORK_GOOD, "\"a\""),
	2, "at least 6"},
};

/*
 * Every fault of a document has its line and its reason.
 */
static void
test_document(gconstpointer data)
{
	const text_case_t *c = data;
	faults_t faults = {arena_new(), NULL, 0, g_hash_table_new(NULL, NULL)};
	Bp__Document *document =
	    document_read(faults.arena, c->text, strlen(c->text), &faults);

	if (c->line == 0) {
		g_assert_cmpuint(faults.count, ==, 0);
		g_assert_nonnull(document);
	} else {
		g_assert_null(document);
		g_assert_cmpuint(faults.list[0].line, ==, c->line);
		g_assert_nonnull(strstr(faults.list[0].reason, c->reason));
	}
	g_hash_table_unref(faults.lines);
	arena_free(faults.arena);
}

typedef struct change_case {
	const char *name;
	const char *to; /* the databases of the changed group */
	bool allowed;
} change_case_t;

static const change_case_t change_cases[] = {
    {"the same", DBS_GOOD, true},
    {"in another order", DB("d2", "2") "," DB("d1", "1") "," DB("d3", "3"),
	true},
    {"one less", DB("d1", "1") "," DB("d2", "2"), true},
    {"one more", DBS_GOOD "," DB("d4", "4"), true},
    {"one replaced", DB("d1", "1") "," DB("d2", "2") "," DB("d4", "4"), false},
    {"two less", DB("d1", "1"), false},
    {"one moved", DB("d1", "1") "," DB("d2", "2") "," DB("d3", "9"), false},
};

/*
 * A group's majorities before and after a change must share a database.
 */
static void
test_change(gconstpointer data)
{
	const change_case_t *c = data;
	const char *from =
	    DOCUMENT(GROUP(DBS_GOOD), RANKS_GOOD, WORK_GOOD, "\"a\"");
	char *to = g_strdup_printf(DOCUMENT("{\"name\": \"g\", \"slots\": 5, "
					    "\"connections_max\": 35, "
					    "\"databases\": [%s]}",
				       RANKS_GOOD, WORK_GOOD, "\"a\""),
	    c->to);
	faults_t faults = {arena_new(), NULL, 0, NULL};
	Bp__Document *old =
	    document_read(faults.arena, from, strlen(from), &faults);
	Bp__Document *changed =
	    document_read(faults.arena, to, strlen(to), &faults);

	g_assert_nonnull(old);
	g_assert_nonnull(changed);
	document_check_change(old, changed, &faults);
	g_assert_cmpint(faults.count == 0, ==, c->allowed);
	arena_free(faults.arena);
	g_free(to);
}

typedef struct body_case {
	const char *name;
	const char *text;
	bool good;
} body_case_t;

static const body_case_t body_cases[] = {
    {"smallest", "{\"team\":\"t\",\"account\":\"a\",\"work\":\"w\"}", true},
    {"action by name",
	"{\"team\":\"t\",\"account\":\"a\",\"work\":\"w\","
	"\"action\":\"begin\"}",
	true},
    {"unknown action",
	"{\"team\":\"t\",\"account\":\"a\",\"work\":\"w\","
	"\"action\":\"jump\"}",
	false},
    {"key twice",
	"{\"team\":\"t\",\"team\":\"u\",\"account\":\"a\",\"work\":\"w\"}",
	false},
    {"invalid UTF-8",
	"{\"team\":\"\xff\xfe\",\"account\":\"a\",\"work\":\"w\"}", false},
    {"timeout of zero",
	"{\"team\":\"t\",\"account\":\"a\",\"work\":\"w\","
	"\"timeout_ms\":0}",
	false},
};

/*
 * Callers' bodies go through the same reader; what is written reads back.
 */
static void
test_body(gconstpointer data)
{
	const body_case_t *c = data;
	faults_t faults = {arena_new(), NULL, 0, NULL};
	ProtobufCMessage *message = json_read(faults.arena,
	    &bp__caller_request__descriptor, c->text, strlen(c->text), &faults);
	uint64_t size_bytes;
	char *text;

	g_assert_cmpint(message != NULL, ==, c->good);
	if (message != NULL) {
		text = json_write(faults.arena, message, &size_bytes);
		g_assert_nonnull(
		    json_read(faults.arena, &bp__caller_request__descriptor,
			text, size_bytes, &faults));
	}
	arena_free(faults.arena);
}

/*
 * Tokens come back whole or not at all.
 */
static void
test_token(void)
{
	arena_t *arena = arena_new();
	Bp__Floor floor = BP__FLOOR__INIT, *floors[] = {&floor};
	Bp__SessionToken token = BP__SESSION_TOKEN__INIT, *back;
	char *text, *damaged;
	uint32_t i, opened = 0;

	floor.team = (char *)"tickets";
	floor.group = (char *)"tickets-1";
	floor.term = 5;
	floor.position = 77;
	token.floors = floors;
	token.n_floors = 1;
	text = token_seal(arena, &token.base);
	back = (Bp__SessionToken *)token_open(
	    arena, &bp__session_token__descriptor, text);
	g_assert_nonnull(back);
	g_assert_cmpuint(back->floors[0]->position, ==, 77);
	for (i = 0; i < strlen(text); i++) {
		damaged = arena_strdup(arena, text);
		damaged[i] = damaged[i] == 'A' ? 'B' : 'A';
		opened += token_open(arena, &bp__session_token__descriptor,
			      damaged) != NULL;
		damaged[i] = '\0';
		opened += token_open(arena, &bp__session_token__descriptor,
			      damaged) != NULL;
	}
	/* the padding's spare bits do not count */
	g_assert_cmpuint(opened, <=, 2);
	arena_free(arena);
}

/*
 * The committed examples are valid.
 */
static void
test_examples(void)
{
	static const char *const documents[] = {
	    "examples/tickets-db.json", "examples/quotes-db.json"};
	arena_t *arena = arena_new();
	faults_t faults = {arena, NULL, 0, NULL};
	char *text;
	gsize size;
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(documents); i++) {
		g_assert_true(
		    g_file_get_contents(documents[i], &text, &size, NULL));
		g_assert_nonnull(document_read(arena, text, size, &faults));
		g_free(text);
	}
	g_assert_true(g_file_get_contents(
	    "examples/bergamotplank.json", &text, &size, NULL));
	g_assert_nonnull(settings_read(arena, text, size, &faults));
	g_free(text);
	arena_free(arena);
}

/*
 * Run the tables.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CASES("/text/settings", settings_cases, test_settings);
	CASES("/text/document", document_cases, test_document);
	CASES("/text/change", change_cases, test_change);
	CASES("/text/body", body_cases, test_body);
	g_test_add_func("/text/damage", test_damage);
	g_test_add_func("/text/depth", test_depth);
	g_test_add_func("/text/every-fault", test_every_fault);
	g_test_add_func("/text/token", test_token);
	g_test_add_func("/text/examples", test_examples);
	return g_test_run();
}
