#include "../gen/statement.pb-c.h"
#include "../src/document.h"
#include "../src/json.h"
#include "../src/token.h"
#include "cases.h"

#include <string.h>

/*
 * Tests of the parsers of settings, team documents, caller requests and session
 * tokens.
 */

#define SETTINGS_JSON(extra) \
	"{\"name\": \"e1\",\n\"address\": \"127.0.0.1\",\n\"zone\": \"a\",\n" \
	"\"caller_port\": 1,\n\"operator_port\": 2,\n\"peer_port\": 3,\n" \
	"\"platform\": {\"address\": \"127.0.0.1\", \"port\": 4}" extra "}"

typedef struct text_case {
	const char *name;
	const char *input;
	uint32_t line;      /* line of the first error; 0: no error */
	const char *reason; /* part of the message of the first error */
} text_case_t;

static const text_case_t settings_cases[] = {
    {"required keys only", SETTINGS_JSON(""), 0, NULL},
    {"comments", "// one\n/* two */" SETTINGS_JSON(""), 0, NULL},
    {"all sections",
	SETTINGS_JSON(
	    ",\n\"seeds\": [{\"address\": \"::1\", \"port\": 9}],\n"
	    "\"limits\": {\"body_bytes\": 2048},\n"
	    "\"timeouts\": {\"drain_ms\": 0},\n\"log_level\": \"debug\""),
	0, NULL},
    {"unknown key", SETTINGS_JSON(",\n\"colour\": 1"), 8,
	"unknown key \"colour\""},
    {"unknown key with a nested value",
	SETTINGS_JSON(",\n\"colour\": {\"a\": [1, {\"b\": 2}]}"), 8,
	"unknown key \"colour\""},
    {"wrong type", SETTINGS_JSON(",\n\"limits\": {\"body_bytes\": \"big\"}"), 8,
	"wrong type"},
    {"a number for an object", SETTINGS_JSON(",\n\"limits\": 5"), 8,
	"wrong type"},
    {"a list for an object", SETTINGS_JSON(",\n\"limits\": [5]"), 8,
	"wrong type"},
    {"an object for a list",
	SETTINGS_JSON(",\n\"seeds\": {\"address\": \"::1\", \"port\": 9}"), 8,
	"must be a list"},
    {"null", SETTINGS_JSON(",\n\"limits\": null"), 8, "wrong type"},
    {"below the range", SETTINGS_JSON(",\n\"timeouts\": {\"statement_ms\": 1}"),
	8, "from 10 to 600000"},
    {"above the range",
	SETTINGS_JSON(",\n\"timeouts\": {\"statement_ms\": 600001}"), 8,
	"from 10 to 600000"},
    {"not an integer",
	SETTINGS_JSON(",\n\"timeouts\": {\"statement_ms\": 10.5}"), 8,
	"whole number"},
    {"negative", SETTINGS_JSON(",\n\"timeouts\": {\"statement_ms\": -20}"), 8,
	"whole number"},
    {"overflow",
	SETTINGS_JSON(",\n\"timeouts\": {\"statement_ms\": "
		      "99999999999999999999999}"),
	8, "whole number"},
    {"duplicate key", SETTINGS_JSON(",\n\"zone\": \"b\""), 8,
	"duplicate key \"zone\""},
    {"not an IP address",
	SETTINGS_JSON(",\n\"seeds\": [{\"address\": \"host.example\", "
		      "\"port\": 9}]"),
	8, "IP number"},
    {"unknown level", SETTINGS_JSON(",\n\"log_level\": \"loud\""), 8,
	"unknown value \"loud\""},
    {"the same port twice",
	"{\"name\": \"e1\", \"address\": \"127.0.0.1\", \"zone\": \"a\", "
	"\"caller_port\": 1, \"operator_port\": 1, \"peer_port\": 3, "
	"\"platform\": {\"address\": \"127.0.0.1\", \"port\": 4}}",
	1, "must differ"},
    {"missing key", "{\"name\": \"e1\"}", 1, "missing key"},
    {"name with a space",
	"{\"name\": \"e 1\", \"address\": \"127.0.0.1\", \"zone\": \"a\", "
	"\"caller_port\": 1, \"operator_port\": 2, \"peer_port\": 3, "
	"\"platform\": {\"address\": \"127.0.0.1\", \"port\": 4}}",
	1, "must be 1 to 64"},
    {"truncated", "{\"name\": \"e1\",\n\"address\": ", 2, "EOF"},
    {"empty", "", 1, ""},
    {"only white space", " \n \n", 3, ""},
    {"not JSON", "name = e1\n", 1, "lexical error"},
    {"data after the end", SETTINGS_JSON("") "\n]", 8, "trailing garbage"},
    {"a list", "[]", 1, "expected an object"},
    {"a number", "5", 1, "expected an object"},
    {"zero byte in a name", "{\"name\": \"e\\u00001\"}", 1, "zero byte"},
};

/*
 * Test that errors in a settings file are reported with line and reason.
 */
static void
test_settings(gconstpointer data)
{
	const text_case_t *c = data;
	input_errors_t errors = {
	    arena_new(), NULL, 0, g_hash_table_new(NULL, NULL)};
	Bp__Settings *settings =
	    settings_read(errors.arena, c->input, strlen(c->input), &errors);

	if (c->line == 0) {
		g_assert_cmpuint(errors.count, ==, 0);
		g_assert_nonnull(settings);
		g_assert_cmpuint(
		    settings->timeouts->probe_interval_ms, ==, 100);
	} else {
		g_assert_null(settings);
		g_assert_cmpuint(errors.count, >, 0);
		g_assert_cmpuint(errors.list[0].line, ==, c->line);
		g_assert_nonnull(strstr(errors.list[0].reason, c->reason));
	}
	g_hash_table_unref(errors.message_lines);
	arena_free(errors.arena);
}

/*
 * Test that random bytes and every truncation of a valid file are rejected with
 * an error, without a crash.
 */
static void
test_invalid_bytes(void)
{
	const char *valid = SETTINGS_JSON(",\n\"seeds\": []");
	GRand *random = g_rand_new_with_seed(7);
	char bytes[512];
	uint32_t i, j;

	for (i = 0; i < strlen(valid); i++) {
		input_errors_t errors = {arena_new(), NULL, 0, NULL};

		g_assert_null(settings_read(errors.arena, valid, i, &errors));
		g_assert_cmpuint(errors.count, >, 0);
		arena_free(errors.arena);
	}
	for (i = 0; i < 2000; i++) {
		input_errors_t errors = {arena_new(), NULL, 0, NULL};

		for (j = 0; j < sizeof(bytes); j++)
			bytes[j] = (char)g_rand_int_range(random, 0, 256);
		g_assert_null(
		    settings_read(errors.arena, bytes, sizeof(bytes), &errors));
		g_assert_cmpuint(errors.count, >, 0);
		arena_free(errors.arena);
	}
	g_rand_free(random);
}

/*
 * Test that deeply nested input is rejected without a crash.
 */
static void
test_nesting(void)
{
	uint32_t size_bytes = 200000;
	char *input = g_malloc(size_bytes);
	input_errors_t errors = {arena_new(), NULL, 0, NULL};

	memset(input, '[', size_bytes);
	g_assert_null(settings_read(errors.arena, input, size_bytes, &errors));
	g_assert_cmpuint(errors.count, >, 0);
	arena_free(errors.arena);
	g_free(input);
}

/*
 * Test that all errors of a file are reported, not only the first.
 */
static void
test_all_errors(void)
{
	const char *input = SETTINGS_JSON(
	    ",\n\"colour\": 1,\n\"limits\": {\"body_bytes\": 1},\n"
	    "\"zone\": \"b\"");
	input_errors_t errors = {arena_new(), NULL, 0, NULL};

	g_assert_null(
	    settings_read(errors.arena, input, strlen(input), &errors));
	g_assert_cmpuint(errors.count, ==, 3);
	g_assert_cmpuint(errors.list[0].line, ==, 8);
	g_assert_cmpuint(errors.list[1].line, ==, 9);
	g_assert_cmpuint(errors.list[2].line, ==, 10);
	arena_free(errors.arena);
}

#define DATABASE_JSON(name, port) \
	"{\"name\": \"" name "\", \"address\": \"127.0.0.1\", \"port\": " port \
	", \"zone\": \"z\"}"
#define GROUP_JSON(dbs) \
	"{\"name\": \"g\", \"slots\": 5, \"connections_max\": 35, " \
	"\"databases\": [" dbs "]}"
#define RANK_JSON(rank, floor) \
	"{\"rank\": \"" rank "\", \"target_ms\": 50, \"worth\": 1, " \
	"\"floor_percent\": " floor "}"
#define VALID_RANKS \
	RANK_JSON("urgent", "0") \
	", " RANK_JSON("standard", "15") ", " RANK_JSON("background", "5")
#define VALID_WORK \
	"{\"name\": \"w\", \"access\": \"write\", \"rank\": \"urgent\"}"
#define DOCUMENT_JSON(groups, ranks, work, accounts) \
	"{\"team\": \"t\", \"service\": \"s\",\n\"groups\": [" groups \
	"],\n\"ranks\": [" ranks "],\n\"work\": [" work \
	"],\n\"accounts\": [" accounts "]}"
#define VALID_DATABASES \
	DATABASE_JSON("d1", "1") \
	", " DATABASE_JSON("d2", "2") ", " DATABASE_JSON("d3", "3")

static const text_case_t document_cases[] = {
    {"valid",
	DOCUMENT_JSON(
	    GROUP_JSON(VALID_DATABASES), VALID_RANKS, VALID_WORK, "\"a\""),
	0, NULL},
    {"no groups", DOCUMENT_JSON("", VALID_RANKS, VALID_WORK, "\"a\""), 1,
	"at least one group"},
    {"no databases",
	DOCUMENT_JSON(GROUP_JSON(""), VALID_RANKS, VALID_WORK, "\"a\""), 2,
	"1 to 9 databases"},
    {"a group twice",
	DOCUMENT_JSON(GROUP_JSON(DATABASE_JSON("d1", "1")) "," GROUP_JSON(
			  DATABASE_JSON("d2", "2")),
	    VALID_RANKS, VALID_WORK, "\"a\""),
	2, "group \"g\" stands twice"},
    {"a database twice",
	DOCUMENT_JSON(
	    GROUP_JSON(DATABASE_JSON("d1", "1") ", " DATABASE_JSON("d1", "2")),
	    VALID_RANKS, VALID_WORK, "\"a\""),
	2, "database \"d1\" stands twice"},
    {"an address twice",
	DOCUMENT_JSON(
	    GROUP_JSON(DATABASE_JSON("d1", "1") ", " DATABASE_JSON("d2", "1")),
	    VALID_RANKS, VALID_WORK, "\"a\""),
	2, "stands twice"},
    {"a rank missing",
	DOCUMENT_JSON(GROUP_JSON(VALID_DATABASES),
	    RANK_JSON("urgent", "0") ", " RANK_JSON("standard", "15"),
	    VALID_WORK, "\"a\""),
	1, "rank \"BACKGROUND\" is missing"},
    {"a rank twice",
	DOCUMENT_JSON(GROUP_JSON(VALID_DATABASES),
	    VALID_RANKS ", " RANK_JSON("urgent", "0"), VALID_WORK, "\"a\""),
	3, "stands twice"},
    {"floors that add up to 100 percent",
	DOCUMENT_JSON(GROUP_JSON(VALID_DATABASES),
	    RANK_JSON("urgent", "50") ", " RANK_JSON(
		"standard", "30") ", " RANK_JSON("background", "20"),
	    VALID_WORK, "\"a\""),
	1, "100 percent"},
    {"a write with a maximum age",
	DOCUMENT_JSON(GROUP_JSON(VALID_DATABASES), VALID_RANKS,
	    "{\"name\": \"w\", \"access\": \"write\", \"rank\": \"urgent\", "
	    "\"max_age_ms\": 5}",
	    "\"a\""),
	4, "writes"},
    {"work twice",
	DOCUMENT_JSON(GROUP_JSON(VALID_DATABASES), VALID_RANKS,
	    VALID_WORK ", " VALID_WORK, "\"a\""),
	4, "work \"w\" stands twice"},
    {"no work",
	DOCUMENT_JSON(GROUP_JSON(VALID_DATABASES), VALID_RANKS, "", "\"a\""), 1,
	"at least one kind"},
    {"no accounts",
	DOCUMENT_JSON(GROUP_JSON(VALID_DATABASES), VALID_RANKS, VALID_WORK, ""),
	1, "at least one"},
    {"an account twice",
	DOCUMENT_JSON(GROUP_JSON(VALID_DATABASES), VALID_RANKS, VALID_WORK,
	    "\"a\", \"a\""),
	1, "account \"a\" stands twice"},
    {"too few connections",
	DOCUMENT_JSON("{\"name\": \"g\", \"slots\": 1, \"connections_max\": 3, "
		      "\"databases\": [" DATABASE_JSON("d1", "1") "]}",
	    VALID_RANKS, VALID_WORK, "\"a\""),
	2, "at least 6"},
};

/*
 * Test that errors in a document are reported with line and reason.
 */
static void
test_document(gconstpointer data)
{
	const text_case_t *c = data;
	input_errors_t errors = {
	    arena_new(), NULL, 0, g_hash_table_new(NULL, NULL)};
	Bp__Document *document =
	    document_read(errors.arena, c->input, strlen(c->input), &errors);

	if (c->line == 0) {
		g_assert_cmpuint(errors.count, ==, 0);
		g_assert_nonnull(document);
	} else {
		g_assert_null(document);
		g_assert_cmpuint(errors.list[0].line, ==, c->line);
		g_assert_nonnull(strstr(errors.list[0].reason, c->reason));
	}
	g_hash_table_unref(errors.message_lines);
	arena_free(errors.arena);
}

typedef struct change_case {
	const char *name;
	const char *databases; /* new databases of the group */
	bool allowed;          /* the change is accepted */
} change_case_t;

static const change_case_t change_cases[] = {
    {"the same", VALID_DATABASES, true},
    {"in another order",
	DATABASE_JSON("d2", "2") "," DATABASE_JSON("d1", "1") "," DATABASE_JSON(
	    "d3", "3"),
	true},
    {"one removed", DATABASE_JSON("d1", "1") "," DATABASE_JSON("d2", "2"),
	true},
    {"one added", VALID_DATABASES "," DATABASE_JSON("d4", "4"), true},
    {"one replaced",
	DATABASE_JSON("d1", "1") "," DATABASE_JSON("d2", "2") "," DATABASE_JSON(
	    "d4", "4"),
	false},
    {"two removed", DATABASE_JSON("d1", "1"), false},
    {"one at another address",
	DATABASE_JSON("d1", "1") "," DATABASE_JSON("d2", "2") "," DATABASE_JSON(
	    "d3", "9"),
	false},
};

/*
 * Test that a change of the databases of a group is accepted only if any
 * majority of the old set shares a database with any majority of the new set.
 */
static void
test_change(gconstpointer data)
{
	const change_case_t *c = data;
	const char *old_json = DOCUMENT_JSON(
	    GROUP_JSON(VALID_DATABASES), VALID_RANKS, VALID_WORK, "\"a\"");
	char *new_json =
	    g_strdup_printf(DOCUMENT_JSON("{\"name\": \"g\", \"slots\": 5, "
					  "\"connections_max\": 35, "
					  "\"databases\": [%s]}",
				VALID_RANKS, VALID_WORK, "\"a\""),
		c->databases);
	input_errors_t errors = {arena_new(), NULL, 0, NULL};
	Bp__Document *old =
	    document_read(errors.arena, old_json, strlen(old_json), &errors);
	Bp__Document *changed =
	    document_read(errors.arena, new_json, strlen(new_json), &errors);

	g_assert_nonnull(old);
	g_assert_nonnull(changed);
	document_check_change(old, changed, &errors);
	g_assert_cmpint(errors.count == 0, ==, c->allowed);
	arena_free(errors.arena);
	g_free(new_json);
}

typedef struct body_case {
	const char *name;
	const char *input;
	bool valid;
} body_case_t;

static const body_case_t body_cases[] = {
    {"required keys only", "{\"team\":\"t\",\"account\":\"a\",\"work\":\"w\"}",
	true},
    {"action by name",
	"{\"team\":\"t\",\"account\":\"a\",\"work\":\"w\","
	"\"action\":\"begin\"}",
	true},
    {"unknown action",
	"{\"team\":\"t\",\"account\":\"a\",\"work\":\"w\","
	"\"action\":\"jump\"}",
	false},
    {"duplicate key",
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
 * Test the bodies of caller requests, which are read by the JSON reader that
 * also reads settings and documents.  A message written as JSON can be read
 * again.
 */
static void
test_body(gconstpointer data)
{
	const body_case_t *c = data;
	input_errors_t errors = {arena_new(), NULL, 0, NULL};
	ProtobufCMessage *message =
	    json_read(errors.arena, &bp__caller_request__descriptor, c->input,
		strlen(c->input), &errors);
	uint64_t size_bytes;
	char *written;

	g_assert_cmpint(message != NULL, ==, c->valid);
	if (message != NULL) {
		written = json_write(errors.arena, message, &size_bytes);
		g_assert_nonnull(
		    json_read(errors.arena, &bp__caller_request__descriptor,
			written, size_bytes, &errors));
	}
	arena_free(errors.arena);
}

/*
 * Test that a token decodes to the message that was encoded, and that truncated
 * and altered tokens are rejected.
 */
static void
test_token(void)
{
	arena_t *arena = arena_new();
	Bp__Floor floor = BP__FLOOR__INIT, *floors[] = {&floor};
	Bp__SessionToken token = BP__SESSION_TOKEN__INIT, *decoded;
	char *text, *damaged;
	uint32_t i, accepted = 0;

	floor.team = (char *)"tickets";
	floor.group = (char *)"tickets-1";
	floor.term = 5;
	floor.position = 77;
	token.floors = floors;
	token.n_floors = 1;
	text = token_encode(arena, &token.base);
	decoded = (Bp__SessionToken *)token_decode(
	    arena, &bp__session_token__descriptor, text);
	g_assert_nonnull(decoded);
	g_assert_cmpuint(decoded->floors[0]->position, ==, 77);
	for (i = 0; i < strlen(text); i++) {
		damaged = arena_strdup(arena, text);
		damaged[i] = damaged[i] == 'A' ? 'B' : 'A';
		accepted += token_decode(arena, &bp__session_token__descriptor,
				damaged) != NULL;
		damaged[i] = '\0';
		accepted += token_decode(arena, &bp__session_token__descriptor,
				damaged) != NULL;
	}
	/* the decoder ignores the unused bits of the last base64 digit */
	g_assert_cmpuint(accepted, <=, 2);
	arena_free(arena);
}

/*
 * Test that the files in examples/ are valid.
 */
static void
test_examples(void)
{
	static const char *const documents[] = {
	    "examples/tickets-db.json", "examples/quotes-db.json"};
	arena_t *arena = arena_new();
	input_errors_t errors = {arena, NULL, 0, NULL};
	char *text;
	gsize size;
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(documents); i++) {
		g_assert_true(
		    g_file_get_contents(documents[i], &text, &size, NULL));
		g_assert_nonnull(document_read(arena, text, size, &errors));
		g_free(text);
	}
	g_assert_true(g_file_get_contents(
	    "examples/bergamotplank.json", &text, &size, NULL));
	g_assert_nonnull(settings_read(arena, text, size, &errors));
	g_free(text);
	arena_free(arena);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CASES("/text/settings", settings_cases, test_settings);
	CASES("/text/document", document_cases, test_document);
	CASES("/text/change", change_cases, test_change);
	CASES("/text/body", body_cases, test_body);
	g_test_add_func("/text/invalid-bytes", test_invalid_bytes);
	g_test_add_func("/text/nesting", test_nesting);
	g_test_add_func("/text/all-errors", test_all_errors);
	g_test_add_func("/text/token", test_token);
	g_test_add_func("/text/examples", test_examples);
	return g_test_run();
}
