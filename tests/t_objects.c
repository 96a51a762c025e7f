#include "../platform/json_tree.h"
#include "../platform/object_page.h"
#include "cases.h"
#include "odd_content.h"

#include <string.h>

/* Decoders of the store's responses, and of what others write into it. */

typedef struct page_case {
	const char *name;
	const char *text;
	bool valid;
	/* names of the objects: "-" before one whose content is not readable,
	   "!" before one that is deleted */
	const char *objects;
	const char *last_name; /* that a request for the next page has */
	bool goes_on;          /* there is a next page, and this one advanced */
	uint32_t nameless;
} page_case_t;

#define META(name) "\"meta\":{\"name\":" name ",\"revision\":7}"
#define ITEM(name, content) "{" META("\"" name "\"") ",\"spec\":" content "}"
#define NO_NAME "{\"meta\":{\"revision\":7},\"spec\":{}}"
#define EVENT(object) "{\"deleted\":false,\"object\":" object "}"
#define PAGE(items, more) \
	"{\"items\":[" items "],\"has-more\":" more ",\"current-rev\":9}"
#define EVENTS(events) "{\"events\":[" events "],\"current-rev\":9}"

static const page_case_t page_cases[] = {
    {"two entries", PAGE(ITEM("a", "{}") "," ITEM("b", "{}"), "false"), true,
	"a b", "b", false, 0},
    {"white space and other order",
	" {\"has-more\" : true , \"items\" : [ {\"spec\" : {} , " META(
	    "\"a\"") " } ] , \"current-rev\" : 9 }\n",
	true, "a", "a", true, 0},
    {"no entries", PAGE("", "false"), true, "", NULL, false, 0},
    {"a list that is null",
	"{\"items\":null,\"has-more\":false,\"current-rev\":9}", true, "", NULL,
	false, 0},
    {"an entry nested too deeply",
	PAGE(ITEM("a", DEEP) "," ITEM("b", "{}"), "false"), true, "-a b", "b",
	false, 0},
    {"metadata nested too deeply",
	PAGE("{\"meta\":{\"more\":" DEEP ",\"name\":\"a\",\"revision\":7},"
	     "\"spec\":{}}," ITEM("b", "{}"),
	    "false"),
	true, "a b", "b", false, 0},
    {"an entry that is not UTF-8",
	PAGE(ITEM("a", "{\"k\":\"\xff\"}") "," ITEM("b", "{}"), "false"), true,
	"-a b", "b", false, 0},
    {"an entry with a zero byte",
	PAGE(ITEM("a", "{\"k\":\"x\\u0000y\"}") "," ITEM("b", "{}"), "false"),
	true, "-a b", "b", false, 0},
    {"an entry that is no JSON between its brackets",
	PAGE(ITEM("a", "{\"k\" 01 'x' [}") "," ITEM("b", "{}"), "false"), false,
	"", NULL, false, 0},
    {"an entry that is no JSON but closed",
	PAGE(ITEM("a", "{\"k\" 01 'x'}") "," ITEM("b", "{}"), "false"), true,
	"-a b", "b", false, 0},
    {"an entry without content", PAGE("{" META("\"a\"") "}", "false"), true,
	"-a", "a", false, 0},
    {"a page of entries that cannot be read",
	PAGE(ITEM("a", DEEP) "," ITEM("b", DEEP), "true"), true, "-a -b", "b",
	true, 0},
    {"a last entry without a name", PAGE(ITEM("a", "{}") "," NO_NAME, "true"),
	true, "a", "a", true, 1},
    {"a last entry with a name that is no text",
	PAGE(ITEM("a", "{}") ",{" META("7") "}", "true"), true, "a", "a", true,
	1},
    {"a page without a name", PAGE(NO_NAME "," NO_NAME, "true"), true, "", NULL,
	false, 2},
    {"entries that are no objects",
	PAGE("7,\"a\",null,[]," ITEM("b", "{}"), "false"), true, "b", "b",
	false, 4},
    {"a name with special characters", PAGE(ITEM("a \\\"\\n/&", "{}"), "true"),
	true, "a \"\n/&", "a \"\n/&", true, 0},
    {"changes",
	EVENTS(EVENT(ITEM("a", DEEP)) "," EVENT(ITEM(
	    "b", "{}")) ",{\"object\":" ITEM("c", "null") ",\"deleted\":true}"),
	true, "-a b !c", "c", false, 0},
    {"a change without an object", EVENTS("{\"deleted\":true},7"), true, "",
	NULL, false, 2},
    {"one object", ITEM("a", "{}"), true, "a", "a", false, 0},
    {"brackets that do not match",
	PAGE(ITEM("a", "{\"k\"") "," ITEM("b", "{}"), "false"), false, "", NULL,
	false, 0},
    {"a text that is cut off", "{\"items\":[" ITEM("a", "{}") ",", false, "",
	NULL, false, 0},
    {"a list with a stray comma", PAGE(ITEM("a", "{}") ",", "false"), false,
	"a", "a", false, 0},
    {"text after the end", PAGE("", "false") "]", false, "", NULL, false, 0},
    {"no JSON", "<html>", false, "", NULL, false, 0},
    {"a list in place of an object", "[]", false, "", NULL, false, 0},
    {"empty", "", false, "", NULL, false, 0},
    {"open brackets", DEEP "[", false, "", NULL, false, 0},
};

/*
 * Return the names of the objects of a page as page_case_t has them.
 */
static char *
describe_objects(const object_page_t *page)
{
	GString *text = g_string_new(NULL);
	uint32_t i;

	for (i = 0; i < page->objects->len; i++) {
		const object_t *object =
		    &g_array_index(page->objects, object_t, i);

		g_string_append_printf(text, "%s%s%s", i > 0 ? " " : "",
		    object->deleted               ? "!"
			: object->content == NULL ? "-"
						  : "",
		    object->name);
		g_assert_cmpuint(object->revision, ==, 7);
	}
	return g_string_free(text, FALSE);
}

/*
 * Test that an entry that cannot be read costs a response only that entry, and
 * that a list goes on after the last entry with a name.
 */
static void
test_page(gconstpointer data)
{
	const page_case_t *c = data;
	object_page_t *page = object_page_new();
	char *text = content_of(c->text), *objects;

	g_assert_cmpint(
	    object_page_add(page, text, strlen(text)), ==, c->valid);
	objects = describe_objects(page);
	g_assert_cmpstr(objects, ==, c->objects);
	g_assert_cmpstr(page->last_name, ==, c->last_name);
	g_assert_cmpint(page->has_more && page->advanced, ==, c->goes_on);
	g_assert_cmpuint(page->nameless, ==, c->nameless);
	if (c->valid && page->has_more)
		g_assert_cmpuint(page->revision, ==, 9);
	object_page_free(page);
	g_free(objects);
	g_free(text);
}

/*
 * Test that a list ends which the store answers with the same page again and
 * again.
 */
static void
test_page_repeated(void)
{
	const char *first = PAGE(ITEM("a", "{}") "," ITEM("b", "{}"), "true");
	const char *second = PAGE(ITEM("b", "{}") "," ITEM("c", "{}"), "true");
	object_page_t *page = object_page_new();

	g_assert_true(object_page_add(page, first, strlen(first)));
	g_assert_true(page->advanced);
	g_assert_true(object_page_add(page, second, strlen(second)));
	g_assert_true(page->advanced);
	g_assert_true(object_page_add(page, first, strlen(first)));
	g_assert_false(page->advanced);
	object_page_free(page);
}

typedef struct field_case {
	const char *name;
	const char *key;   /* of the field that differs from a good entry */
	const char *value; /* its value; NULL: it is missing */
	const char *why;   /* expected; NULL: the entry is used */
} field_case_t;

static const struct {
	const char *key;
	const char *value;
} good_fields[] = {
    {"backend", "\"ledger\""},
    {"address", "\"10.0.0.1:80\""},
    {"zone", "\"z\""},
    {"version", "\"v1\""},
    {"capacity", "4"},
    {"state", "\"ready\""},
    {"cold-remaining-ms", "0"},
    {"db-role", "\"replica\""},
    {"sequence", "1"},
    {"born", "1764900000000"},
};

#define MISSING(key) "its " key " is missing"
#define INVALID(key) "its " key " is not valid"

static const field_case_t field_cases[] = {
    {"good", "state", "\"ready\"", NULL},
    {"draining", "state", "\"draining\"", NULL},
    {"an unknown state", "state", "\"odd\"", "its state is odd"},
    {"no state", "state", NULL, MISSING("state")},
    {"state null", "state", "null", INVALID("state")},
    {"no service", "backend", NULL, MISSING("backend")},
    {"a service with a line end", "backend", "\"a\\r\\nBYE\"",
	INVALID("backend")},
    {"an empty service", "backend", "\"\"", INVALID("backend")},
    {"no address", "address", NULL, MISSING("address")},
    {"an address without a port", "address", "\"10.0.0.1\"",
	INVALID("address")},
    {"an address without a host", "address", "\":80\"", INVALID("address")},
    {"a host name", "address", "\"db.example:80\"", INVALID("address")},
    {"IPv6", "address", "\"fd00::1:80\"", NULL},
    {"port zero", "address", "\"10.0.0.1:0\"", INVALID("address")},
    {"port 65535", "address", "\"10.0.0.1:65535\"", NULL},
    {"port 65536", "address", "\"10.0.0.1:65536\"", INVALID("address")},
    {"a port beyond all integers", "address",
	"\"10.0.0.1:99999999999999999999\"", INVALID("address")},
    {"a negative port", "address", "\"10.0.0.1:-80\"", INVALID("address")},
    {"text after the port", "address", "\"10.0.0.1:80x\"", INVALID("address")},
    {"a zone of another type", "zone", "7", INVALID("zone")},
    {"no version", "version", NULL, MISSING("version")},
    {"no capacity", "capacity", NULL, MISSING("capacity")},
    {"capacity zero", "capacity", "0", INVALID("capacity")},
    {"a negative capacity", "capacity", "-4", INVALID("capacity")},
    {"a fractional capacity", "capacity", "4.5", INVALID("capacity")},
    {"capacity 100000", "capacity", "100000", NULL},
    {"a capacity beyond 32 bits", "capacity", "4294967296",
	INVALID("capacity")},
    {"a capacity beyond 64 bits", "capacity", "18446744073709551616",
	INVALID("capacity")},
    {"a capacity beyond all numbers", "capacity", "1e400", INVALID("capacity")},
    {"a capacity in quotes", "capacity", "\"4\"", INVALID("capacity")},
    {"no sequence", "sequence", NULL, MISSING("sequence")},
    {"a sequence beyond 64 bits", "sequence", "99999999999999999999",
	INVALID("sequence")},
    {"a fractional time", "cold-remaining-ms", "0.5", NULL},
    {"a negative time", "cold-remaining-ms", "-1",
	INVALID("cold-remaining-ms")},
    {"a role of another type", "db-role", "[]", INVALID("db-role")},
    {"not born", "born", NULL, NULL},
    {"a birth in quotes", "born", "\"1764900000000\"", INVALID("born")},
    {"a negative birth", "born", "-1", INVALID("born")},
    {"a fractional birth", "born", "1764900000000.5", INVALID("born")},
    {"a birth beyond 64 bits", "born", "9223372036854775808", INVALID("born")},
};

/*
 * Test that the entry of a database is used only if all of its fields are
 * valid, and that the reason is told otherwise.
 */
static void
test_field(gconstpointer data)
{
	const field_case_t *c = data;
	GString *text = g_string_new("{");
	arena_t *arena = arena_new();
	object_t object = {.name = "i-1"};
	const char *why = NULL;
	yajl_val json;
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(good_fields); i++) {
		const char *value = strcmp(good_fields[i].key, c->key) == 0
		    ? c->value
		    : good_fields[i].value;

		if (value != NULL)
			g_string_append_printf(text, "%s\"%s\":%s",
			    text->len > 1 ? "," : "", good_fields[i].key,
			    value);
	}
	g_string_append_c(text, '}');
	json = json_tree_parse(text->str, text->len);
	g_assert_nonnull(json);
	object.content = json;
	g_assert_cmpint(
	    decode_server(&object, arena, &why) != NULL, ==, c->why == NULL);
	g_assert_cmpstr(why, ==, c->why);
	arena_free(arena);
	json_tree_free(json);
	g_string_free(text, TRUE);
}

typedef struct id_case {
	const char *name;
	const char *id;
	bool valid;
} id_case_t;

static const id_case_t id_cases[] = {
    {"usual", "i-7f3a91c2", true},
    {"empty", "", false},
    {"with a blank", "i 1", false},
    {"with a quote", "i\"1", false},
    {"with a backslash", "i\\1", false},
    {"with a line end", "i-1\r\nQUERY - STATUS", false},
    {"not ASCII", "i-\xc3\xa9", false},
    {"too long",
	"0123456789012345678901234567890123456789012345678901234567890123"
	"0123456789012345678901234567890123456789012345678901234567890123"
	"0123456789012345678901234567890123456789012345678901234567890123"
	"0123456789012345678901234567890123456789012345678901234567890123",
	false},
};

/*
 * Test that an entry names a database only if its name is one that the line
 * protocol and the call for a promotion can carry.
 */
static void
test_id(gconstpointer data)
{
	const id_case_t *c = data;
	const char *content = SERVER_JSON(ADDRESS, "4", ""), *why = NULL;
	yajl_val json = json_tree_parse(content, strlen(content));
	object_t object = {.name = c->id, .content = json};
	arena_t *arena = arena_new();

	g_assert_cmpint(
	    decode_server(&object, arena, &why) != NULL, ==, c->valid);
	g_assert_cmpint(why == NULL, ==, c->valid);
	arena_free(arena);
	json_tree_free(json);
}

typedef struct record_case {
	const char *name;
	const char *content; /* NULL: not readable */
	bool valid;
	bool leases;
	uint64_t start;
} record_case_t;

static const record_case_t record_cases[] = {
    {"good",
	"{\"address\":\"10.0.0.1:80\",\"beat\":5,\"zone\":\"z\","
	"\"weight\":0.25,\"leases\":false}",
	true, false},
    {"good, with the start of its process",
	"{\"address\":\"10.0.0.1:80\",\"beat\":5,\"leases\":false,"
	"\"start\":1733500000000}",
	true, false, UINT64_C(1733500000000)},
    {"a start of another type",
	"{\"address\":\"10.0.0.1:80\",\"beat\":5,\"leases\":false,"
	"\"start\":\"x\"}",
	false, true},
    {"of an older daemon", "{\"address\":\"10.0.0.1:80\",\"beat\":5}", true,
	true},
    {"not readable", NULL, false, true},
    {"empty", "{}", false, true},
    {"a list", "[]", false, true},
    {"a port out of range",
	"{\"address\":\"10.0.0.1:70000\",\"beat\":5,\"leases\":false}", false,
	true},
    {"a heartbeat beyond 64 bits",
	"{\"address\":\"10.0.0.1:80\",\"beat\":99999999999999999999,"
	"\"leases\":false}",
	false, true},
    {"a negative weight",
	"{\"address\":\"10.0.0.1:80\",\"beat\":5,\"weight\":-1,"
	"\"leases\":false}",
	false, true},
    {"a weight beyond all numbers",
	"{\"address\":\"10.0.0.1:80\",\"beat\":5,\"weight\":1e308,"
	"\"leases\":false}",
	false, true},
    {"leases of another type",
	"{\"address\":\"10.0.0.1:80\",\"beat\":5,\"leases\":0}", false, true},
};

/*
 * Test that a record of a daemon that is not valid counts as one of a daemon
 * that may hold leases, since it may have replaced the record of such a daemon.
 */
static void
test_record(gconstpointer data)
{
	const record_case_t *c = data;
	yajl_val json = c->content == NULL
	    ? NULL
	    : json_tree_parse(c->content, strlen(c->content));
	object_t object = {.name = "d1", .content = json};
	arena_t *arena = arena_new();
	const char *why = NULL;
	Bp__DaemonRecord *record = decode_daemon(&object, arena, &why);

	g_assert_nonnull(record);
	g_assert_cmpint(why == NULL, ==, c->valid);
	g_assert_cmpint(record->leases, ==, c->leases);
	g_assert_cmpuint(record->start, ==, c->start);
	g_assert_cmpstr(record->address, ==, c->valid ? "10.0.0.1:80" : "");
	if (!c->valid)
		g_assert_null(record->zone);
	arena_free(arena);
	json_tree_free(json);
}

typedef struct member_case {
	const char *name;
	const char *list;    /* the field "members"; NULL: it is missing */
	const char *members; /* that are decoded */
} member_case_t;

#define MEMBER(id, born) "{\"server\":" id ",\"born\":" born "}"
#define TEN_MEMBERS \
	MEMBER("\"a\"", "1") \
	"," MEMBER("\"b\"", "1") "," MEMBER("\"c\"", "1") "," MEMBER( \
	    "\"d\"", "1") "," MEMBER("\"e\"", "1") "," MEMBER("\"f\"", \
	    "1") "," MEMBER("\"g\"", "1") "," MEMBER("\"h\"", \
	    "1") "," MEMBER("\"i\"", "1") "," MEMBER("\"j\"", "1")

static const member_case_t member_cases[] = {
    {"none, as of an older daemon", NULL, ""},
    {"an empty list", "[]", ""},
    {"one", "[" MEMBER("\"i-1\"", "1764900000000") "]", "i-1/1764900000000 "},
    {"three",
	"[" MEMBER("\"i-1\"", "1") "," MEMBER("\"i-2\"", "0") "," MEMBER(
	    "\"i-3\"", "3") "]",
	"i-1/1 i-2/0 i-3/3 "},
    {"no list", MEMBER("\"i-1\"", "1"), ""},
    {"one of them is no object", "[" MEMBER("\"i-1\"", "1") ",7]", ""},
    {"one of them is null", "[null," MEMBER("\"i-1\"", "1") "]", ""},
    {"one has no name", "[" MEMBER("\"i-1\"", "1") ",{\"born\":1}]", ""},
    {"one has an empty name",
	"[" MEMBER("\"i-1\"", "1") "," MEMBER("\"\"", "1") "]", ""},
    {"one has a name that is no word", "[" MEMBER("\"i 1\"", "1") "]", ""},
    {"one has a number as name", "[" MEMBER("1", "1") "]", ""},
    {"one has no birth", "[" MEMBER("\"i-1\"", "1") ",{\"server\":\"i-2\"}]",
	""},
    {"one has a negative birth", "[" MEMBER("\"i-1\"", "-1") "]", ""},
    {"one has a birth in quotes", "[" MEMBER("\"i-1\"", "\"1\"") "]", ""},
    {"one has a birth beyond 64 bits",
	"[" MEMBER("\"i-1\"", "99999999999999999999") "]", ""},
    {"one has an address",
	"[{\"server\":\"i-1\",\"born\":1,\"address\":\"10.0.0.1:80\"}]",
	"i-1/1@10.0.0.1:80 "},
    {"one has an address without a port",
	"[{\"server\":\"i-1\",\"born\":1,\"address\":\"10.0.0.1\"}]", ""},
    {"one has a number as address",
	"[{\"server\":\"i-1\",\"born\":1,\"address\":7}]", ""},
    {"one is there twice",
	"[" MEMBER("\"i-1\"", "1") "," MEMBER("\"i-1\"", "2") "]", ""},
    {"more than a group may have", "[" TEN_MEMBERS "]", ""},
};

/*
 * Test that the members of a group are decoded from the coordinator record only
 * if all of them are valid: fewer would have a smaller majority.  The entry has
 * its order in any case.
 */
static void
test_members(gconstpointer data)
{
	const member_case_t *c = data;
	char *text = g_strdup_printf(
	    "{\"holder\":\"d1\",\"token\":5,\"orders\":[{\"group\":\"g\","
	    "\"replaced_term\":1,\"attempt_term\":2%s%s}]}",
	    c->list == NULL ? "" : ",\"members\":",
	    c->list == NULL ? "" : c->list);
	yajl_val json = json_tree_parse(text, strlen(text));
	object_t object = {.name = "promotion", .content = json};
	GString *members = g_string_new(NULL);
	arena_t *arena = arena_new();
	const char *why = NULL;
	Bp__DutyRecord *record = decode_coordinator(&object, arena, &why);
	size_t i;

	g_assert_nonnull(record);
	g_assert_cmpuint(record->n_orders, ==, 1);
	g_assert_cmpuint(record->orders[0]->attempt_term, ==, 2);
	for (i = 0; i < record->orders[0]->n_members; i++) {
		const Bp__RecordedMember *member =
		    record->orders[0]->members[i];

		g_string_append_printf(members, "%s/%" G_GUINT64_FORMAT "%s%s ",
		    member->server, member->born,
		    member->address == NULL ? "" : "@",
		    member->address == NULL ? "" : member->address);
	}
	g_assert_cmpstr(members->str, ==, c->members);
	g_string_free(members, TRUE);
	arena_free(arena);
	json_tree_free(json);
	g_free(text);
}

typedef struct coordinator_case {
	const char *name;
	const char *content;
	bool readable;
	bool created;
} coordinator_case_t;

static const coordinator_case_t coordinator_cases[] = {
    {"a holder and a token", "{\"holder\":\"d1\",\"token\":5}", true},
    {"one that was created", "{\"holder\":\"d1\",\"token\":1,\"created\":true}",
	true, true},
    {"one that was written again",
	"{\"holder\":\"d1\",\"token\":41,\"created\":false}", true},
    {"one whose flag is none", "{\"holder\":\"d1\",\"token\":41,\"created\":1}",
	true},
    {"an empty object", "{}", false},
    {"a text", "\"promotion\"", false},
    {"no holder", "{\"token\":5}", false},
    {"a token that many can follow",
	"{\"holder\":\"d1\",\"token\":9223372032559808511}", true},
    {"a token that fewer can follow",
	"{\"holder\":\"d1\",\"token\":9223372032559808512}", false},
    {"a token that none can follow",
	"{\"holder\":\"d1\",\"token\":9223372036854775807}", false},
};

/*
 * Test which coordinator records can be read, and that it is said why one
 * cannot.
 */
static void
test_coordinator(gconstpointer data)
{
	const coordinator_case_t *c = data;
	yajl_val json = json_tree_parse(c->content, strlen(c->content));
	object_t object = {.name = "promotion", .content = json};
	arena_t *arena = arena_new();
	const char *why = NULL;
	Bp__DutyRecord *record = decode_coordinator(&object, arena, &why);

	g_assert_cmpint(record != NULL, ==, c->readable);
	g_assert_cmpint(record != NULL && record->created, ==, c->created);
	g_assert_cmpint(why == NULL, ==, c->readable);
	arena_free(arena);
	json_tree_free(json);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CASES("/objects/page", page_cases, test_page);
	g_test_add_func("/objects/page-repeated", test_page_repeated);
	CASES("/objects/field", field_cases, test_field);
	CASES("/objects/id", id_cases, test_id);
	CASES("/objects/record", record_cases, test_record);
	CASES("/objects/members", member_cases, test_members);
	CASES("/objects/coordinator", coordinator_cases, test_coordinator);
	return g_test_run();
}
