#include "../platform/json_tree.h"
#include "../platform/object_page.h"
#include "../platform/platform.h"
#include "../src/decide/decide.h"
#include "../src/json.h"
#include "../src/proxy/lines.h"
#include "cases.h"
#include "fake/testbed.h"
#include "settings.pb-c.h"

#include <string.h>

/*
 * Random input to all decoders of bytes from outside, and to the sockets of a
 * daemon for other daemons and for clients.  "make fuzz-input" runs this with
 * sanitizers.  The seed is that of GLib's tests (--seed).
 */

#define READY_TIMEOUT_MS 8000
#define ANSWER_TIMEOUT_MS 3000

/* Inputs to each decoder, and messages or lines to each socket. */
#define INPUTS 20000
#define MESSAGES 4000

/* Messages or lines on one connection. */
#define MESSAGES_OF_CONNECTION 25

/* Texts of statements, and the largest number of parts of one. */
#define TEXTS 1000
#define TEXT_PARTS_MAX 12

/* Largest depth of nested messages. */
#define DEPTH_MAX 4

/* Words of the inputs: names of the testbed, words of the protocols. */
static const char *const words[] = {"", "-", "ledger", "intake", "lookup",
    "START", "QUERY", "BYE", "READ", "WRITE", "BEGIN", "COMMIT", "ROLLBACK",
    "SET", "PREPARE", "EXEC", "DEALLOC", "AFTER", "READY", "ROW", "DONE", "ERR",
    "BUSY", "LAGGING", "I", "T", "E", "1.7", "3.", ".", "18446744073709551616",
    "-1", "4294967295", "replica", "primary", "a", "0", "\"", "{", "}", "[",
    "]", ":", ",", "null", "true", "1e400", "\\u0000", "\"version\"",
    "\"routes\"", "\"address\"", "\"10.0.0.1:80\"", "\"capacity\"", "\"state\"",
    "\"ready\"", "\xff\xfe"};

/*
 * Return a random word.
 */
static const char *
random_word(void)
{
	return words[g_test_rand_int_range(0, G_N_ELEMENTS(words))];
}

/*
 * Change some bytes of an input, cut it, or repeat a part of it.
 */
static void
mutate(GByteArray *input)
{
	int32_t i, changes = g_test_rand_int_range(0, 4);
	guint at;

	for (i = 0; i < changes && input->len > 0; i++) {
		at = (guint)g_test_rand_int_range(0, (gint32)input->len);
		switch (g_test_rand_int_range(0, 4)) {
		case 0:
			input->data[at] = (guint8)g_test_rand_int();
			break;
		case 1:
			g_byte_array_set_size(input, at);
			break;
		case 2:
			g_byte_array_remove_index(input, at);
			break;
		default:
			input->data[at] ^=
			    (guint8)(1 << g_test_rand_int_range(0, 8));
			break;
		}
	}
}

/*
 * Append random words and separators.
 */
static void
append_words(GByteArray *input, const char *separator, int32_t words_max)
{
	int32_t i, count = g_test_rand_int_range(1, words_max);

	for (i = 0; i < count; i++) {
		const char *word = random_word();

		if (i > 0)
			g_byte_array_append(input, (const guint8 *)separator,
			    (guint)strlen(separator));
		g_byte_array_append(
		    input, (const guint8 *)word, (guint)strlen(word));
	}
}

/*
 * Append a number in the encoding of messages.
 */
static void
append_varint(GByteArray *input, uint64_t value)
{
	guint8 byte;

	do {
		byte = (guint8)((value & 0x7f) | (value > 0x7f ? 0x80 : 0));
		g_byte_array_append(input, &byte, 1);
		value >>= 7;
	} while (value > 0);
}

/*
 * Return a random number: mostly a small one.
 */
static uint64_t
random_number(void)
{
	switch (g_test_rand_int_range(0, 8)) {
	case 0:
		return UINT64_MAX;
	case 1:
		return (uint64_t)(uint32_t)g_test_rand_int();
	default:
		return (uint64_t)g_test_rand_int_range(0, 9);
	}
}

/*
 * Return a number for a field of an enumeration: mostly a known value.
 */
static uint64_t
random_enum(const ProtobufCEnumDescriptor *type)
{
	if (g_test_rand_int_range(0, 200) == 0)
		return random_number();
	return (uint64_t)type->values[g_test_rand_int() % type->n_values].value;
}

static void append_message(
    GByteArray *, const ProtobufCMessageDescriptor *, uint32_t depth);

/*
 * Append one field of a message with a random value.
 */
static void
append_field(
    GByteArray *input, const ProtobufCFieldDescriptor *field, uint32_t depth)
{
	GByteArray *part = g_byte_array_new();
	uint64_t fixed = random_number();

	switch (field->type) {
	case PROTOBUF_C_TYPE_STRING:
	case PROTOBUF_C_TYPE_BYTES:
		append_words(part, "", 3);
		break;
	case PROTOBUF_C_TYPE_MESSAGE:
		append_message(part, field->descriptor, depth + 1);
		break;
	case PROTOBUF_C_TYPE_DOUBLE:
	case PROTOBUF_C_TYPE_FIXED64:
		append_varint(input, field->id << 3 | 1);
		g_byte_array_append(input, (const guint8 *)&fixed, 8);
		g_byte_array_unref(part);
		return;
	default:
		append_varint(input, field->id << 3);
		append_varint(input,
		    field->type == PROTOBUF_C_TYPE_ENUM
			? random_enum(field->descriptor)
			: fixed);
		g_byte_array_unref(part);
		return;
	}
	append_varint(input, field->id << 3 | 2);
	append_varint(input, part->len);
	g_byte_array_append(input, part->data, part->len);
	g_byte_array_unref(part);
}

/*
 * Append a message with random values.  Optional fields may be missing; of
 * alternatives one is present.
 */
static void
append_message(
    GByteArray *input, const ProtobufCMessageDescriptor *type, uint32_t depth)
{
	uint32_t chosen =
	    type->n_fields == 0 ? 0 : g_test_rand_int() % type->n_fields;
	uint32_t i, count;

	for (i = 0; depth < DEPTH_MAX && i < type->n_fields; i++) {
		const ProtobufCFieldDescriptor *field = &type->fields[i];

		if (field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF)
			count = i == chosen;
		else if (field->label == PROTOBUF_C_LABEL_REQUIRED)
			count = g_test_rand_int_range(0, 200) > 0;
		else
			count = (uint32_t)g_test_rand_int_range(0,
			    field->label == PROTOBUF_C_LABEL_REPEATED ? 4 : 2);
		while (count-- > 0)
			append_field(input, field, depth);
	}
}

typedef struct decoder_case {
	const char *name;
	void (*append)(GByteArray *); /* appends an input before its changes */
	void (*decode)(GByteArray *);
} decoder_case_t;

/*
 * Decode a line of a client.
 */
static void
decode_request(GByteArray *input)
{
	request_t request;

	platform_wire.read_request(
	    (char *)input->data, input->len - 1, &request);
	if (request.kind == REQUEST_OPEN)
		g_assert_nonnull(request.database);
}

/*
 * Decode a line of a database, and a row of its status.
 */
static void
decode_reply(GByteArray *input)
{
	server_status_t status;
	reply_t reply;

	platform_wire.read_status((const char *)input->data, &status);
	platform_wire.read_reply((char *)input->data, input->len - 1, &reply);
	if (reply.kind == REPLY_ROW)
		g_assert_nonnull(reply.text);
}

/*
 * Decode an object of the store of any kind.
 */
static void
decode_object(GByteArray *input)
{
	yajl_val json =
	    json_tree_parse((const char *)input->data, input->len - 1);
	object_t object = {"main", 5, false, json};
	arena_t *arena = arena_new();
	Bp__Catalog *catalog =
	    (Bp__Catalog *)message_new(arena, &bp__catalog__descriptor);

	platform_object_store.read_config(&object, arena, catalog);
	platform_object_store.read_server(&object, arena);
	platform_object_store.read_coordinator(&object, arena);
	platform_object_store.read_daemon(&object, arena);
	arena_free(arena);
	json_tree_free(json);
}

/*
 * Decode a response of the store, and what it holds as objects of each kind.
 */
static void
decode_response(GByteArray *input)
{
	object_page_t *page = object_page_new();
	guint i;

	object_page_add(page, (const char *)input->data, input->len - 1);
	for (i = 0; i < page->objects->len; i++) {
		const object_t *object =
		    &g_array_index(page->objects, object_t, i);
		arena_t *arena = arena_new();
		Bp__Catalog *catalog =
		    (Bp__Catalog *)message_new(arena, &bp__catalog__descriptor);

		g_assert_nonnull(object->name);
		platform_object_store.read_config(object, arena, catalog);
		platform_object_store.read_server(object, arena);
		platform_object_store.read_coordinator(object, arena);
		platform_object_store.read_daemon(object, arena);
		arena_free(arena);
	}
	object_page_free(page);
}

/*
 * Decode a settings file.
 */
static void
decode_settings(GByteArray *input)
{
	arena_t *arena = arena_new();
	input_errors_t errors = {arena, NULL, 0, NULL};

	json_read(arena, &bp__proxy_settings__descriptor,
	    (const char *)input->data, input->len - 1, &errors);
	arena_free(arena);
}

/*
 * Split bytes into lines.
 */
static void
decode_lines(GByteArray *input)
{
	line_buffer_t lines;
	uint32_t size_bytes;
	guint i;

	line_buffer_init(&lines, 64);
	for (i = 0; i < input->len; i += 7) {
		line_buffer_append(
		    &lines, input->data + i, MIN(7, input->len - i));
		while (line_buffer_next(&lines, &size_bytes) != NULL)
			;
	}
	line_buffer_clear(&lines);
}

/*
 * Append words with blanks between them.
 */
static void
append_spaced_words(GByteArray *input)
{
	append_words(input, " ", 12);
}

/*
 * Append lines of one word.
 */
static void
append_word_lines(GByteArray *input)
{
	append_words(input, "\r\n", 12);
}

/*
 * Append a text.
 */
static void
append_text(GByteArray *input, const char *text)
{
	g_byte_array_append(input, (const guint8 *)text, (guint)strlen(text));
}

/*
 * Append a page of a list, with words in the entries.
 */
static void
append_response(GByteArray *input)
{
	int32_t i, count = g_test_rand_int_range(0, 4);

	append_text(input, "{\"items\":[");
	for (i = 0; i < count; i++) {
		append_text(input,
		    i > 0 ? ",{\"meta\":{\"name\":\""
			  : "{\"meta\":{\"name\":\"");
		append_text(input, random_word());
		append_text(input, "\",\"revision\":3},\"spec\":{");
		append_words(input, "", 6);
		append_text(input, "}}");
	}
	append_text(input, "],\"has-more\":true,\"current-rev\":5}");
}

/*
 * Append a coordinator record with random members.
 */
static void
append_record(GByteArray *input)
{
	static const char *const ids[] = {"\"i-1\"", "\"i-2\"", "\"i-3\"",
	    "\"i-4\"", "\"i-5\"", "\"\"", "\"a b\"", "7", "null"};
	static const char *const births[] = {"0", "1", "1764900000000", "5",
	    "6", "7", "-1", "\"1\"", "99999999999999999999"};
	int32_t i, count = g_test_rand_int_range(0, 12);
	/* mostly valid ones, in half of the inputs */
	int32_t odd = g_test_rand_bit() ? 0 : 4;

	append_text(input,
	    "{\"holder\":\"d\",\"token\":5,\"orders\":[{\"group\":\"g\","
	    "\"replaced_term\":1,\"attempt_term\":2,\"members\":[");
	for (i = 0; i < count; i++) {
		append_text(input, i > 0 ? ",{\"server\":" : "{\"server\":");
		append_text(input, ids[g_test_rand_int_range(0, 5 + odd)]);
		append_text(input, ",\"born\":");
		append_text(
		    input, births[g_test_rand_int_range(0, 6 + MIN(odd, 3))]);
		append_text(input, "}");
	}
	append_text(input, "]}]}");
}

/*
 * Decode a coordinator record, and check that its members are valid.
 */
static void
decode_record(GByteArray *input)
{
	yajl_val json =
	    json_tree_parse((const char *)input->data, input->len - 1);
	object_t object = {"promotion", 5, false, json};
	arena_t *arena = arena_new();
	Bp__DutyRecord *record =
	    platform_object_store.read_coordinator(&object, arena);
	size_t i, j;

	for (i = 0; record != NULL && i < record->n_orders; i++) {
		const Bp__RecordedOrder *order = record->orders[i];

		g_assert_cmpuint(order->n_members, <=, GROUP_DATABASES_MAX);
		for (j = 0; j < order->n_members; j++)
			g_assert_cmpstr(order->members[j]->server, !=, "");
	}
	arena_free(arena);
	json_tree_free(json);
}

static const decoder_case_t decoder_cases[] = {
    {"lines of clients", append_spaced_words, decode_request},
    {"lines of databases", append_spaced_words, decode_reply},
    {"objects of the store", append_spaced_words, decode_object},
    {"responses of the store", append_response, decode_response},
    {"coordinator records", append_record, decode_record},
    {"settings", append_spaced_words, decode_settings},
    {"bytes", append_word_lines, decode_lines},
};

/*
 * Test that a decoder survives random input.
 */
static void
test_decoder(gconstpointer data)
{
	const decoder_case_t *c = data;
	uint32_t i;

	for (i = 0; i < INPUTS; i++) {
		GByteArray *input = g_byte_array_new();

		c->append(input);
		mutate(input);
		g_byte_array_append(input, (const guint8 *)"", 1);
		c->decode(input);
		g_byte_array_unref(input);
	}
}

/*
 * Test that frames of other daemons are decoded or rejected.
 */
static void
test_frames(void)
{
	uint32_t i;

	for (i = 0; i < INPUTS; i++) {
		GByteArray *input = g_byte_array_new();
		arena_t *arena = arena_new();

		append_message(input, &bp__peer_message__descriptor, 0);
		mutate(input);
		message_unpack(arena, &bp__peer_message__descriptor,
		    input->data, input->len);
		arena_free(arena);
		g_byte_array_unref(input);
	}
}

/*
 * Append a frame with a random message.
 */
static void
append_frame(GByteArray *input)
{
	GByteArray *message = g_byte_array_new();
	uint32_t length_be;

	append_message(message, &bp__peer_message__descriptor, 0);
	if (g_test_rand_int_range(0, 20) == 0)
		mutate(message);
	length_be = GUINT32_TO_BE(message->len);
	g_byte_array_append(
	    input, (const guint8 *)&length_be, sizeof(length_be));
	g_byte_array_append(input, message->data, message->len);
	g_byte_array_unref(message);
}

/*
 * Append a line of a client.
 */
static void
append_line(GByteArray *input)
{
	static const char *const starts[] = {"START intake a", "QUERY 1 READ a",
	    "QUERY 2 BEGIN", "QUERY 3 COMMIT", "QUERY 4 SET a"};

	if (g_test_rand_int_range(0, 2) == 0) {
		const char *start =
		    starts[g_test_rand_int_range(0, G_N_ELEMENTS(starts))];

		g_byte_array_append(
		    input, (const guint8 *)start, (guint)strlen(start));
	}
	append_words(input, " ", 6);
	if (g_test_rand_int_range(0, 4) == 0)
		mutate(input);
	g_byte_array_append(input, (const guint8 *)"\r\n", 2);
}

/*
 * Return a text of random bytes, many of them with a meaning in a protocol.  It
 * has no CR LF, since that ends a message.  with_nul: it may have NUL bytes.
 */
static GByteArray *
random_text(bool with_nul)
{
	static const char *const parts[] = {"\r", "\n", "\n\r", " ", "\"", "\\",
	    "\nQUERY a9 WRITE x y", "\nREADY I 1.1", "\nDONE p1", "AFTER 1.1 "};
	GByteArray *text = g_byte_array_new();
	int32_t i, count = g_test_rand_int_range(1, TEXT_PARTS_MAX);
	guint8 byte;
	guint at;

	for (i = 0; i < count; i++) {
		if (g_test_rand_int_range(0, 2) == 0) {
			append_text(text,
			    parts[g_test_rand_int() % G_N_ELEMENTS(parts)]);
			continue;
		}
		byte = (guint8)g_test_rand_int();
		if (byte != '\0')
			g_byte_array_append(text, &byte, 1);
	}
	for (at = 1; at < text->len; at++) {
		if (text->data[at - 1] == '\r' && text->data[at] == '\n')
			text->data[at] = '\t';
	}
	if (with_nul && g_test_rand_int_range(0, 8) == 0)
		g_byte_array_append(text, (const guint8 *)"", 1);
	if (with_nul && g_test_rand_int_range(0, 8) == 0)
		g_byte_array_prepend(text, (const guint8 *)"", 1);
	return text;
}

/*
 * Append the bytes to a buffer in pieces of random size, and return the lines
 * that come out, each followed by a NUL byte.
 */
static GByteArray *
split_lines(const char *bytes, gsize size_bytes)
{
	GByteArray *found = g_byte_array_new();
	line_buffer_t lines;
	gsize done = 0, piece;
	uint32_t line_bytes;
	char *line;

	line_buffer_init(&lines, 1 << 20);
	while (done < size_bytes) {
		piece = (gsize)g_test_rand_int_range(1, 9);
		piece = MIN(piece, size_bytes - done);
		line_buffer_append(
		    &lines, (const uint8_t *)bytes + done, (uint32_t)piece);
		done += piece;
		while ((line = line_buffer_next(&lines, &line_bytes)) != NULL)
			g_byte_array_append(
			    found, (const guint8 *)line, line_bytes + 1);
	}
	line_buffer_clear(&lines);
	return found;
}

/*
 * Return a copy of a message as another daemon receives it.
 */
static ProtobufCMessage *
send_to_daemon(arena_t *arena, const ProtobufCMessage *message)
{
	uint32_t size_bytes;
	uint8_t *bytes = message_pack(arena, message, &size_bytes);

	return message_unpack(arena, message->descriptor, bytes, size_bytes);
}

/*
 * Test that a text comes to a database as it was sent, or is refused: through
 * the decoder, a message to another daemon and the encoder, in pieces of any
 * size.
 */
static void
test_text_sent(void)
{
	static const position_t after = {3, 7};
	uint32_t i, refused = 0;

	for (i = 0; i < INPUTS; i++) {
		GByteArray *text = random_text(true), *line, *arrived;
		GString *sent = g_string_new("QUERY 5c0 WRITE T-1 "), *out;
		arena_t *arena = arena_new();
		Bp__Prepared prepared = BP__PREPARED__INIT, *copy;
		request_t request;

		g_string_append_len(
		    sent, (const char *)text->data, (gssize)text->len);
		g_string_append(sent, "\r\n");
		line = split_lines(sent->str, sent->len);
		g_assert_cmpuint(line->len, ==, sent->len - 1);
		platform_wire.read_request(
		    (char *)line->data, line->len - 1, &request);
		g_assert_cmpint(request.kind, ==, REQUEST_QUERY);
		out = g_string_new(NULL);
		if (memchr(text->data, '\0', text->len) != NULL) {
			g_assert_cmpint(
			    request.statement, ==, STATEMENT_WITH_NUL);
			refused++;
		} else {
			g_assert_cmpint(request.statement, ==, STATEMENT_WRITE);
			prepared.shape = (char *)request.text;
			copy = (Bp__Prepared *)send_to_daemon(
			    arena, &prepared.base);
			platform_wire.run(out, request.id,
			    i % 2 ? &after : NULL, copy->shape);
			arrived = split_lines(out->str, out->len);
			g_assert_cmpuint(arrived->len, ==, out->len - 1);
			g_string_truncate(sent, sent->len - 2);
			g_assert_cmpmem(arrived->data + arrived->len - 1 -
				sent->len + strlen("QUERY 5c0 "),
			    sent->len - strlen("QUERY 5c0 "),
			    sent->str + strlen("QUERY 5c0 "),
			    sent->len - strlen("QUERY 5c0 "));
			g_byte_array_unref(arrived);
		}
		g_string_free(out, TRUE);
		g_string_free(sent, TRUE);
		g_byte_array_unref(line);
		g_byte_array_unref(text);
		arena_free(arena);
	}
	g_assert_cmpuint(refused, >, INPUTS / 20);
}

/*
 * Test that a row comes to a client as the database sent it, or counts as an
 * answer that cannot be read.
 */
static void
test_row(void)
{
	uint32_t i;

	for (i = 0; i < INPUTS; i++) {
		GByteArray *text = random_text(true), *line, *arrived;
		GString *sent = g_string_new("ROW "), *out;
		arena_t *arena = arena_new();
		Bp__OperationEnded ended = BP__OPERATION_ENDED__INIT, *copy;
		char *row;
		reply_t reply;

		g_string_append_len(
		    sent, (const char *)text->data, (gssize)text->len);
		g_string_append(sent, "\r\n");
		line = split_lines(sent->str, sent->len);
		g_assert_cmpuint(line->len, ==, sent->len - 1);
		platform_wire.read_reply(
		    (char *)line->data, line->len - 1, &reply);
		if (memchr(text->data, '\0', text->len) != NULL) {
			g_assert_cmpint(reply.kind, ==, REPLY_UNKNOWN);
		} else {
			g_assert_cmpint(reply.kind, ==, REPLY_ROW);
			row = (char *)reply.text;
			ended.rows = &row;
			ended.n_rows = 1;
			copy = (Bp__OperationEnded *)send_to_daemon(
			    arena, &ended.base);
			out = g_string_new(NULL);
			platform_wire.write_row(out, copy->rows[0]);
			arrived = split_lines(out->str, out->len);
			g_assert_cmpmem(
			    out->str, out->len, sent->str, sent->len);
			g_assert_cmpuint(arrived->len, ==, out->len - 1);
			g_byte_array_unref(arrived);
			g_string_free(out, TRUE);
		}
		g_string_free(sent, TRUE);
		g_byte_array_unref(line);
		g_byte_array_unref(text);
		arena_free(arena);
	}
}

/*
 * Append a statement as GET /received reports it.
 */
static void
append_received(GString *out, uint32_t id, const char *text, gsize size_bytes)
{
	gsize i;

	g_string_append_printf(out, "[t%u|", id);
	for (i = 0; i < size_bytes; i++)
		g_string_append_printf(out, "%02x", (guint8)text[i]);
	g_string_append_c(out, ']');
}

/*
 * Count the statements in a report of GET /received.
 */
static uint32_t
count_received(const char *received)
{
	uint32_t count = 0;

	for (; *received != '\0'; received++)
		count += *received == '[';
	return count;
}

/*
 * Wait until a number of daemons own the group.
 */
static void
wait_owners(const testbed_t *testbed, uint32_t wanted)
{
	int64_t deadline_us =
	    g_get_monotonic_time() + READY_TIMEOUT_MS * US_PER_MS;
	uint32_t i, owners;

	for (;;) {
		owners = 0;
		for (i = 0; i < testbed->plan.proxies; i++)
			owners +=
			    testbed_metric(testbed, i, "groups_owned") > 0;
		if (owners == wanted)
			return;
		g_assert_cmpint(g_get_monotonic_time(), <, deadline_us);
		g_usleep(50 * US_PER_MS);
	}
}

/*
 * Wait until a write is acknowledged.
 */
static void
wait_written(client_t *client)
{
	int64_t deadline_us =
	    g_get_monotonic_time() + READY_TIMEOUT_MS * US_PER_MS;
	char *answer;

	for (;;) {
		answer =
		    client_query(client, "WRITE first x", ANSWER_TIMEOUT_MS);
		if (answer != NULL && g_str_has_prefix(answer, "DONE"))
			break;
		g_assert_cmpint(g_get_monotonic_time(), <, deadline_us);
		g_free(answer);
		g_usleep(20 * US_PER_MS);
	}
	g_free(answer);
}

typedef struct text_case {
	const char *name;
	uint32_t proxies;
	uint32_t connections_max; /* small: statements are sent to owners */
	uint32_t owners;
} text_case_t;

static const text_case_t text_cases[] = {
    {"at this daemon", 1, 0, 1},
    {"at owners", 5, 8, 2},
};

/*
 * Test that the databases receive the texts of clients as they were sent, each
 * once, and nothing else; that a text that is refused is not received; and that
 * a row comes back as it was written.
 */
static void
test_text(gconstpointer data)
{
	const text_case_t *c = data;
	testbed_plan_t plan = {.proxies = c->proxies,
	    .lag_ms = 5,
	    .connections_max = c->connections_max};
	testbed_t *testbed = testbed_start(&plan);
	uint32_t i, done = 0, refused = 0, before, proxies = MAX(c->proxies, 1);
	char *received;
	client_t *clients[TESTBED_PROXIES_MAX] = {NULL};

	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	for (i = 0; i < c->proxies; i++) {
		clients[i] = client_open_session(testbed, i, "intake");
		g_assert_nonnull(clients[i]);
	}
	wait_owners(testbed, c->owners);
	for (i = 0; i < c->proxies; i++)
		wait_written(clients[i]);
	received = testbed_get(testbed, "/received");
	before = count_received(received);
	g_free(received);
	for (i = 0; i < TEXTS; i++) {
		GByteArray *text = random_text(true);
		bool has_nul = memchr(text->data, '\0', text->len) != NULL;
		client_t *client = clients[i % proxies];
		GString *sent = g_string_new(NULL), *wanted;
		char *answer, *row;
		gsize prefix_bytes;

		g_string_append_printf(sent, "QUERY t%u ", i);
		prefix_bytes = sent->len;
		g_string_append(sent, "WRITE T-1 ");
		g_string_append_len(
		    sent, (const char *)text->data, (gssize)text->len);
		g_string_append(sent, "\r\n");
		client_send(client, sent->str, sent->len);
		answer = client_read_answer(client, ANSWER_TIMEOUT_MS);
		g_assert_nonnull(answer);
		wanted = g_string_new(NULL);
		append_received(wanted, i, sent->str + prefix_bytes,
		    sent->len - 2 - prefix_bytes);
		received = testbed_get(testbed, "/received");
		if (g_str_has_prefix(answer, "DONE p")) {
			g_assert_false(has_nul);
			g_assert_nonnull(strstr(received, wanted->str));
			g_free(answer);
			answer =
			    client_query(client, "READ T-1", ANSWER_TIMEOUT_MS);
			row = g_strdup_printf("ROW %.*s|DONE p", (int)text->len,
			    (const char *)text->data);
			if (answer == NULL || !g_str_has_prefix(answer, row))
				g_error("expected %s, found %s", row, answer);
			g_free(row);
			done++;
		} else {
			if (!has_nul)
				g_error("answer: %s", answer);
			g_assert_true(
			    g_str_has_prefix(answer, "ERR MALFORMED "));
			refused++;
		}
		g_assert_cmpuint(count_received(received), ==,
		    before + 2 * done - (has_nul ? 0 : 1));
		g_free(received);
		g_free(answer);
		g_string_free(wanted, TRUE);
		g_string_free(sent, TRUE);
		g_byte_array_unref(text);
	}
	g_test_message("%u texts carried, %u refused", done, refused);
	g_assert_cmpuint(refused, >, TEXTS / 20);
	for (i = 0; i < c->proxies; i++)
		client_close(clients[i]);
	testbed_stop(testbed);
}

typedef struct socket_case {
	const char *name;
	bool peers; /* the socket for other daemons, else that for clients */
	void (*append)(GByteArray *);
} socket_case_t;

static const socket_case_t socket_cases[] = {
    {"of other daemons", true, append_frame},
    {"of clients", false, append_line},
};

/*
 * Test that a daemon that gets random messages at a socket goes on: its process
 * is the same, and it opens sessions and reports its status.
 */
static void
test_socket(gconstpointer data)
{
	const socket_case_t *c = data;
	testbed_plan_t plan = {.proxies = 2, .lag_ms = 5};
	testbed_t *testbed = testbed_start(&plan);
	const fleet_process_t *proxy = &testbed->proxies[0];
	char *pid;
	uint32_t i;
	client_t *client;

	g_assert_true(testbed_wait_ready(testbed, READY_TIMEOUT_MS));
	pid = g_strdup(g_subprocess_get_identifier(proxy->process));
	for (i = 0; i < MESSAGES; i += MESSAGES_OF_CONNECTION) {
		GByteArray *input = g_byte_array_new();
		uint32_t j;

		for (j = 0; j < MESSAGES_OF_CONNECTION; j++)
			c->append(input);
		client =
		    client_connect(c->peers ? proxy->peer_port : proxy->port);
		if (client == NULL)
			g_error("the daemon has ended");
		client_send(client, (const char *)input->data, input->len);
		g_free(client_read_line(client, 5));
		client_close(client);
		g_byte_array_unref(input);
	}
	g_assert_cmpstr(g_subprocess_get_identifier(proxy->process), ==, pid);
	client = client_open_session(testbed, 0, "intake");
	g_assert_nonnull(client);
	client_close(client);
	testbed_stop(testbed);
	g_free(pid);
}

/*
 * Register the tests and run them.
 */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	CASES("/fuzz/decoder", decoder_cases, test_decoder);
	g_test_add_func("/fuzz/frames", test_frames);
	g_test_add_func("/fuzz/text-sent", test_text_sent);
	g_test_add_func("/fuzz/row", test_row);
	CASES("/fuzz/text", text_cases, test_text);
	CASES("/fuzz/socket", socket_cases, test_socket);
	return g_test_run();
}
