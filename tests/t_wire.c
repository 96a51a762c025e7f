#include "../platform/json_tree.h"
#include "../platform/platform.h"
#include "../src/proxy/lines.h"
#include "cases.h"

#include <string.h>

/* Tests of the decoders of the platform's line protocol and stored objects. */

typedef struct request_case {
	const char *name;
	const char *line; /* "@" stands for NUL */
	request_kind_t kind;
	statement_kind_t statement;
	const char *text;    /* expected text; NULL: not checked */
	const char *operand; /* expected database or name; NULL: not checked */
	const char *value;   /* expected value; NULL: not checked */
	bool writes_or_read_only; /* expected writes || read_only */
} request_case_t;

static const request_case_t request_cases[] = {
    {"start", "START lepu270 u3f1", REQUEST_OPEN, 0, NULL, "lepu270", NULL,
	false},
    {"start without a name", "START", REQUEST_UNKNOWN, 0, NULL, NULL, NULL,
	false},
    {"read", "QUERY 5c0 READ 1a4", REQUEST_QUERY, STATEMENT_READ, "READ 1a4",
	NULL, NULL, false},
    {"write", "QUERY 5c0 WRITE 1a4 x y", REQUEST_QUERY, STATEMENT_WRITE,
	"WRITE 1a4 x y", NULL, NULL, true},
    {"write without data", "QUERY 5c0 WRITE 1a4", REQUEST_QUERY,
	STATEMENT_UNKNOWN, NULL, NULL, NULL, false},
    {"begin", "QUERY 5c0 BEGIN", REQUEST_QUERY, STATEMENT_BEGIN, NULL, NULL,
	NULL, false},
    {"begin read", "QUERY 5c0 BEGIN READ", REQUEST_QUERY, STATEMENT_BEGIN, NULL,
	NULL, NULL, true},
    {"begin with an unknown option", "QUERY 5c0 BEGIN LATER", REQUEST_QUERY,
	STATEMENT_UNKNOWN, NULL, NULL, NULL, false},
    {"commit", "QUERY 5c0 COMMIT", REQUEST_QUERY, STATEMENT_COMMIT, "COMMIT",
	NULL, NULL, false},
    {"rollback", "QUERY 5c0 ROLLBACK", REQUEST_QUERY, STATEMENT_ROLLBACK, NULL,
	NULL, NULL, false},
    {"set", "QUERY 5c0 SET tz Europe/London now", REQUEST_QUERY, STATEMENT_SET,
	NULL, "tz", "Europe/London now", false},
    {"prepare", "QUERY 5c0 PREPARE s1 WRITE q2c", REQUEST_QUERY,
	STATEMENT_PREPARE, NULL, "s1", "q2c", true},
    {"prepare of an unknown kind", "QUERY 5c0 PREPARE s1 LOOK q2c",
	REQUEST_QUERY, STATEMENT_UNKNOWN, NULL, NULL, NULL, false},
    {"exec", "QUERY 5c0 EXEC s1 1a4 xk", REQUEST_QUERY, STATEMENT_EXECUTE,
	"1a4 xk", "s1", NULL, false},
    {"dealloc", "QUERY 5c0 DEALLOC s1", REQUEST_QUERY, STATEMENT_DEALLOCATE,
	NULL, "s1", NULL, false},
    {"a position set by a client", "QUERY 5c0 AFTER 3.1 READ 1a4",
	REQUEST_QUERY, STATEMENT_UNKNOWN, NULL, NULL, NULL, false},
    {"a status", "QUERY 5c0 STATUS", REQUEST_QUERY, STATEMENT_UNKNOWN, NULL,
	NULL, NULL, false},
    {"no text", "QUERY 5c0", REQUEST_QUERY, STATEMENT_UNKNOWN, NULL, NULL, NULL,
	false},
    {"no id", "QUERY", REQUEST_UNKNOWN, 0, NULL, NULL, NULL, false},
    {"bye", "BYE", REQUEST_CLOSE, 0, NULL, NULL, NULL, false},
    {"an unknown word", "HELLO there", REQUEST_UNKNOWN, 0, NULL, NULL, NULL,
	false},
    {"a line feed in a write", "QUERY 5c0 WRITE 1a4 x\nQUERY a9 READ y",
	REQUEST_QUERY, STATEMENT_WRITE, "WRITE 1a4 x\nQUERY a9 READ y", NULL,
	NULL, true},
    {"a carriage return at the end of a value", "QUERY 5c0 SET tz a\r",
	REQUEST_QUERY, STATEMENT_SET, NULL, "tz", "a\r", false},
    {"exec without an item", "QUERY 5c0 EXEC s1 ", REQUEST_QUERY,
	STATEMENT_UNKNOWN, NULL, NULL, NULL, false},
    {"NUL in a write", "QUERY 5c0 WRITE 1a4 x@y", REQUEST_QUERY,
	STATEMENT_WITH_NUL, NULL, NULL, NULL, false},
    {"NUL at the end of a read", "QUERY 5c0 READ 1a4@", REQUEST_QUERY,
	STATEMENT_WITH_NUL, NULL, NULL, NULL, false},
    {"NUL behind the id", "QUERY 5c0@ READ 1a4", REQUEST_QUERY,
	STATEMENT_WITH_NUL, NULL, NULL, NULL, false},
    {"NUL in a start", "START lepu270@ u3f1", REQUEST_UNKNOWN, 0, NULL, NULL,
	NULL, false},
    {"NUL behind bye", "BYE@", REQUEST_UNKNOWN, 0, NULL, NULL, NULL, false},
    {"NUL alone", "@", REQUEST_UNKNOWN, 0, NULL, NULL, NULL, false},
    {"an empty line", "", REQUEST_UNKNOWN, 0, NULL, NULL, NULL, false},
};

/*
 * Test the parsing of a line from a client.
 */
static void
test_request(gconstpointer data)
{
	const request_case_t *c = data;
	uint32_t size_bytes = (uint32_t)strlen(c->line), i;
	char *line = g_strdup(c->line);
	request_t request;

	for (i = 0; i < size_bytes; i++)
		line[i] = line[i] == '@' ? '\0' : line[i];
	platform_wire.read_request(line, size_bytes, &request);
	g_assert_cmpint(request.kind, ==, c->kind);
	if (c->kind == REQUEST_OPEN)
		g_assert_cmpstr(request.database, ==, c->operand);
	if (c->kind == REQUEST_QUERY) {
		g_assert_cmpint(request.statement, ==, c->statement);
		g_assert_cmpstr(request.id, ==, "5c0");
		if (c->operand != NULL)
			g_assert_cmpstr(request.name, ==, c->operand);
		g_assert_cmpint(request.writes || request.read_only, ==,
		    c->writes_or_read_only);
	}
	if (c->text != NULL)
		g_assert_cmpstr(request.text, ==, c->text);
	if (c->value != NULL)
		g_assert_cmpstr(request.value, ==, c->value);
	g_free(line);
}

typedef struct reply_case {
	const char *name;
	const char *line; /* "@" stands for NUL */
	reply_kind_t kind;
	Bp__Verdict verdict;
	const char *text;
	position_t position;
} reply_case_t;

static const reply_case_t reply_cases[] = {
    {"ready", "READY I 3.1207", REPLY_READY, 0, NULL, {3, 1207}},
    {"ready without a position", "READY T -", REPLY_READY, 0, NULL, {0, 0}},
    {"ready in an unknown state", "READY X 3.1", REPLY_UNKNOWN, 0, NULL,
	{0, 0}},
    {"ready at half a position", "READY I 3.", REPLY_UNKNOWN, 0, NULL, {0, 0}},
    {"row", "ROW a b", REPLY_ROW, 0, "a b", {0, 0}},
    {"done", "DONE 7.1f3.c", REPLY_DONE, 0, "7.1f3.c", {0, 0}},
    {"lagging", "ERR LAGGING i-7 behind", REPLY_ERROR, BP__VERDICT__BEHIND,
	"i-7 behind", {0, 0}},
    {"an error code without text", "ERR TOOMANY", REPLY_ERROR,
	BP__VERDICT__TOO_MANY, "", {0, 0}},
    {"an error code with a known code as prefix", "ERR BUSYBODY x", REPLY_ERROR,
	BP__VERDICT__OTHER_ERROR, "BUSYBODY x", {0, 0}},
    {"a row with line ends", "ROW a\nDONE p\r", REPLY_ROW, 0, "a\nDONE p\r",
	{0, 0}},
    {"a row with NUL", "ROW a@b", REPLY_UNKNOWN, 0, NULL, {0, 0}},
    {"ready with NUL", "READY I 3.1@", REPLY_UNKNOWN, 0, NULL, {0, 0}},
    {"an unknown word", "HELLO", REPLY_UNKNOWN, 0, NULL, {0, 0}},
};

/*
 * Test the parsing of a line from a database.
 */
static void
test_reply(gconstpointer data)
{
	const reply_case_t *c = data;
	uint32_t size_bytes = (uint32_t)strlen(c->line), i;
	char *line = g_strdup(c->line);
	reply_t reply;

	for (i = 0; i < size_bytes; i++)
		line[i] = line[i] == '@' ? '\0' : line[i];
	platform_wire.read_reply(line, size_bytes, &reply);
	g_assert_cmpint(reply.kind, ==, c->kind);
	if (c->kind == REPLY_ERROR)
		g_assert_cmpint(reply.verdict, ==, c->verdict);
	if (c->text != NULL)
		g_assert_cmpstr(reply.text, ==, c->text);
	g_assert_cmpint(position_compare(reply.position, c->position), ==, 0);
	g_free(line);
}

typedef struct status_case {
	const char *name;
	const char *row;
	bool valid;
	bool primary;
	uint64_t held_term; /* term replication is paused for; 0: none */
} status_case_t;

static const status_case_t status_cases[] = {
    {"replica", "replica 3 3.1209 0 12 2 17", true, false, 0},
    {"replica paused for a term", "replica 3 3.1209 4 12 2 17", true, false, 4},
    {"primary", "primary 3 3.1209 0 0 2 17", true, true, 0},
    {"an extra field", "primary 3 3.1209 0 0 2 17 new", true, true, 0},
    {"a missing field", "primary 3 3.1209 0 0 2", false, false, 0},
    {"an unknown role", "witness 3 3.1209 0 0 2 17", false, false, 0},
    {"a term that is not a number", "replica x 3.1209 0 0 2 17", false, false,
	0},
    {"empty", "", false, false, 0},
};

/*
 * Test the parsing of the row that a database answers to STATUS.
 */
static void
test_status(gconstpointer data)
{
	const status_case_t *c = data;
	server_status_t status;

	g_assert_cmpint(
	    platform_wire.read_status(c->row, &status), ==, c->valid);
	if (!c->valid)
		return;
	g_assert_cmpint(status.primary, ==, c->primary);
	g_assert_cmpuint(status.paused_until_term, ==, c->held_term);
	g_assert_cmpuint(status.connections, ==, 17);
}

typedef struct server_case {
	const char *name;
	const char *content;
	bool valid;
} server_case_t;

#define SERVER_JSON(address, state, capacity) \
	"{\"backend\":\"b\",\"address\":" address ",\"zone\":\"z\"," \
	"\"version\":\"v1\",\"capacity\":" capacity ",\"state\":" state "," \
	"\"cold-remaining-ms\":0,\"sequence\":4}"

static const server_case_t server_cases[] = {
    {"complete", SERVER_JSON("\"10.0.0.1:80\"", "\"ready\"", "5"), true},
    {"draining", SERVER_JSON("\"10.0.0.1:80\"", "\"draining\"", "5"), true},
    {"an unknown state", SERVER_JSON("\"10.0.0.1:80\"", "\"odd\"", "5"), false},
    {"a state of another type", SERVER_JSON("\"10.0.0.1:80\"", "7", "5"),
	false},
    {"no port", SERVER_JSON("\"10.0.0.1\"", "\"ready\"", "5"), false},
    {"a port out of range", SERVER_JSON("\"10.0.0.1:99999\"", "\"ready\"", "5"),
	false},
    {"an address of another type", SERVER_JSON("[1]", "\"ready\"", "5"), false},
    {"a capacity of zero", SERVER_JSON("\"10.0.0.1:80\"", "\"ready\"", "0"),
	false},
    {"a capacity of another type",
	SERVER_JSON("\"10.0.0.1:80\"", "\"ready\"", "\"5\""), false},
    {"a list", "[]", false},
    {"empty", "{}", false},
    {"truncated JSON", "{\"backend\":", false},
    {"no content", "", false},
};

/*
 * Test the decoding of a server object.  Other programs write to the store too,
 * so the content may be malformed.
 */
static void
test_server(gconstpointer data)
{
	const server_case_t *c = data;
	yajl_val json = json_tree_parse(c->content, strlen(c->content));
	object_t server_object = {"i-1", 5, false, json};
	arena_t *arena = arena_new();
	const char *why;

	g_assert_cmpint(
	    decode_server(&server_object, arena, &why) != NULL, ==, c->valid);
	arena_free(arena);
	json_tree_free(json);
}

typedef struct config_case {
	const char *name;
	const char *object_name;
	const char *content;
	bool valid;
	uint32_t routes; /* expected number of routes */
	const char *why; /* expected part of the reason; NULL: none */
} config_case_t;

#define ROUTE_JSON(type) \
	"{\"name\":\"r\",\"host\":\"h\",\"type\":" type \
	",\"timeout-ms\":1000,\"backend\":\"b\"}"
#define CONFIG_JSON(version, routes) \
	"{\"version\":" version ",\"routes\":" routes ",\"services\":[]}"

static const config_case_t config_cases[] = {
    {"a route", "main", CONFIG_JSON("3", "[" ROUTE_JSON("\"own\"") "]"), true,
	1, NULL},
    {"a route of an unknown type", "main",
	CONFIG_JSON("3", "[" ROUTE_JSON("\"odd\"") "]"), true, 0, "first r"},
    {"one valid route of two", "main",
	CONFIG_JSON("3", "[{}," ROUTE_JSON("\"bounded\"") "]"), true, 1,
	"1 of its routes and services"},
    {"another object", "other", CONFIG_JSON("3", "[" ROUTE_JSON("\"own\"") "]"),
	false, 0, "its name"},
    {"no version", "main", CONFIG_JSON("null", "[]"), false, 0, "version"},
    {"a negative version", "main", CONFIG_JSON("-1", "[]"), false, 0,
	"version"},
    {"a version beyond 64 bits", "main",
	CONFIG_JSON("99999999999999999999", "[]"), false, 0, "version"},
    {"routes of another type", "main", CONFIG_JSON("3", "{}"), false, 0,
	"no list"},
};

/*
 * Test the decoding of the configuration object.
 */
static void
test_config(gconstpointer data)
{
	const config_case_t *c = data;
	yajl_val json = json_tree_parse(c->content, strlen(c->content));
	object_t config_object = {c->object_name, 5, false, json};
	arena_t *arena = arena_new();
	Bp__Catalog *catalog =
	    (Bp__Catalog *)message_new(arena, &bp__catalog__descriptor);
	const char *why = NULL;

	g_assert_cmpint(
	    decode_config(&config_object, arena, catalog, &why), ==, c->valid);
	if (c->valid)
		g_assert_cmpuint(catalog->n_routes, ==, c->routes);
	g_assert_cmpint(why == NULL, ==, c->why == NULL);
	if (why != NULL && strstr(why, c->why) == NULL)
		g_error("reason: %s", why);
	arena_free(arena);
	json_tree_free(json);
}

/*
 * Test that JSON that is nested beyond the limit is rejected, and that brackets
 * inside strings do not count as nesting.
 */
static void
test_nesting(void)
{
	char *deep = g_strnfill(100000, '[');
	char *quoted = g_strdup_printf("\"%s\"", deep);
	yajl_val json = json_tree_parse(quoted, strlen(quoted));

	g_assert_null(json_tree_parse(deep, strlen(deep)));
	g_assert_nonnull(json);
	json_tree_free(json);
	g_free(quoted);
	g_free(deep);
}

typedef struct line_buffer_case {
	const char *name;
	const char *chunks[4]; /* data in the order received */
	const char *expected;  /* lines, each followed by "|" */
	bool too_long;
} line_buffer_case_t;

#define LINE_BYTES_MAX 8

static const line_buffer_case_t line_buffer_cases[] = {
    {"one line per chunk", {"ab\r\n", "c\r\n"}, "ab|c|", false},
    {"two lines in one chunk", {"ab\r\ncd\r\n"}, "ab|cd|", false},
    {"one line in three chunks", {"a", "b\r", "\nc"}, "ab|", false},
    {"LF without CR does not end a line", {"ab\ncd\r\n"}, "ab\ncd|", false},
    {"CR without LF does not end a line", {"ab\rcd\r\n"}, "ab\rcd|", false},
    {"LF before CR", {"ab\n\rc\r\n"}, "ab\n\rc|", false},
    {"CR at the end of a text", {"ab\r\r\n"}, "ab\r|", false},
    {"LF at the end of a text", {"ab\n\r\n"}, "ab\n|", false},
    {"LF as a text", {"\n\r\n"}, "\n|", false},
    {"CR at the end of a chunk", {"ab\r", "cd\r", "\n"}, "ab\rcd|", false},
    {"LF at the start of a chunk", {"ab", "\ncd\r", "\n"}, "ab\ncd|", false},
    {"an empty line", {"\r\n", "a\r\n"}, "|a|", false},
    {"the maximum length", {"12345678", "\r\n"}, "12345678|", false},
    {"the maximum length, CR LF in two chunks", {"12345678\r", "\n"},
	"12345678|", false},
    {"too long by a CR", {"12345678\r", "\r"}, "", true},
    {"too long, with LF", {"1234\n", "6789"}, "", true},
    {"too long, without a line end", {"12345", "6789"}, "", true},
};

/*
 * Test the splitting of a byte stream into lines.
 */
static void
test_line_buffer(gconstpointer data)
{
	const line_buffer_case_t *c = data;
	GString *lines = g_string_new(NULL);
	bool too_long = false;
	line_buffer_t buffer;
	char *line;
	uint32_t i, size_bytes;

	line_buffer_init(&buffer, LINE_BYTES_MAX);
	for (i = 0; i < G_N_ELEMENTS(c->chunks) && c->chunks[i] != NULL; i++) {
		line_buffer_append(&buffer, (const uint8_t *)c->chunks[i],
		    (uint32_t)strlen(c->chunks[i]));
		while (
		    (line = line_buffer_next(&buffer, &size_bytes)) != NULL) {
			g_assert_cmpuint(size_bytes, ==, strlen(line));
			g_string_append_printf(lines, "%s|", line);
		}
		too_long |= line_buffer_too_long(&buffer);
	}
	g_assert_cmpstr(lines->str, ==, c->expected);
	g_assert_cmpint(too_long, ==, c->too_long);
	line_buffer_clear(&buffer);
	g_string_free(lines, TRUE);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CASES("/wire/request", request_cases, test_request);
	CASES("/wire/reply", reply_cases, test_reply);
	CASES("/wire/status", status_cases, test_status);
	CASES("/wire/server", server_cases, test_server);
	CASES("/wire/config", config_cases, test_config);
	CASES("/wire/line-buffer", line_buffer_cases, test_line_buffer);
	g_test_add_func("/wire/nesting", test_nesting);
	return g_test_run();
}
