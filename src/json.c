#include "json.h"
#include "ranges.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <yajl/yajl_gen.h>
#include <yajl/yajl_parse.h>

/*
 * Conversion between JSON and the messages of the schema, using the descriptors
 * that protobuf-c generates.
 */

#define DEPTH_MAX 16
#define SEEN_WORDS 2 /* 64 fields per word */

/* An object being parsed: the message it fills and the current field. */
typedef struct object_frame {
	ProtobufCMessage *message;
	const ProtobufCFieldDescriptor *field; /* NULL: ignore the value */
	uint64_t seen_fields[SEEN_WORDS]; /* bit set, by index of the field */
	bool in_list;
	uint32_t line;
} object_frame_t;

/* State of the parser. */
typedef struct reader {
	arena_t *arena;
	input_errors_t *errors;
	yajl_handle yajl;
	const char *text;
	uint64_t counted_bytes; /* length of the text that line covers */
	uint32_t line;
	object_frame_t stack[DEPTH_MAX];
	uint32_t depth;
	uint32_t skip_depth; /* nesting depth in an ignored value, or 0 */
	const ProtobufCMessageDescriptor *type;
	ProtobufCMessage *root;
} reader_t;

/*
 * Copy a token, which is not zero-terminated, and truncate it to the capacity
 * of the destination.
 */
static void
copy_truncated(
    char *to, uint64_t capacity_bytes, const char *token, uint64_t size)
{
	uint64_t n = MIN(size, capacity_bytes - 1);

	memcpy(to, token, n);
	to[n] = '\0';
}

/*
 * Count the lines up to an offset in the text.  Returns the line number at that
 * offset.
 */
static uint32_t
reader_count_lines(reader_t *reader, uint64_t end)
{
	for (; reader->counted_bytes < end; reader->counted_bytes++) {
		if (reader->text[reader->counted_bytes] == '\n')
			reader->line++;
	}
	return reader->line;
}

/*
 * Return the line on which the current token ends.
 */
static uint32_t
reader_line(reader_t *reader)
{
	return reader_count_lines(
	    reader, yajl_get_bytes_consumed(reader->yajl));
}

/*
 * Return the innermost object being parsed, or NULL outside the root object.
 */
static object_frame_t *
reader_top(reader_t *reader)
{
	return reader->depth == 0 ? NULL : &reader->stack[reader->depth - 1];
}

/*
 * Return the field that the next value belongs to, or NULL if the value is to
 * be ignored.  Add an error if the value is not inside an object, or if the
 * field takes a list and the value is not in one.
 */
static const ProtobufCFieldDescriptor *
reader_value_field(reader_t *reader, const char *found)
{
	object_frame_t *top = reader_top(reader);

	if (reader->skip_depth > 0)
		return NULL;
	if (top == NULL) {
		input_errors_add(reader->errors, reader_line(reader),
		    "expected an object, found %s", found);
		return NULL;
	}
	if (top->field == NULL)
		return NULL;
	if (top->field->label == PROTOBUF_C_LABEL_REPEATED && !top->in_list) {
		input_errors_add(reader->errors, reader_line(reader),
		    "\"%s\" must be a list", top->field->name);
		return NULL;
	}
	return top->field;
}

/*
 * Return the address at which to store a field's value.  Append an element to a
 * repeated field; mark an optional scalar field as present.
 */
static void *
field_slot(arena_t *arena, ProtobufCMessage *message,
    const ProtobufCFieldDescriptor *field, uint64_t size_bytes)
{
	uint8_t *base = (uint8_t *)message;
	void *member = base + field->offset;

	if (field->label == PROTOBUF_C_LABEL_REPEATED) {
		size_t *count = (size_t *)(base + field->quantifier_offset);
		uint8_t **list = member;

		*list = talloc_realloc_size(
		    arena, *list, (*count + 1) * size_bytes);
		member = *list + *count * size_bytes;
		memset(member, 0, size_bytes);
		(*count)++;
	} else if (field->label == PROTOBUF_C_LABEL_OPTIONAL &&
	    field->type != PROTOBUF_C_TYPE_STRING &&
	    field->type != PROTOBUF_C_TYPE_MESSAGE) {
		*(protobuf_c_boolean *)(base + field->quantifier_offset) = 1;
	}
	return member;
}

/*
 * Add an error for a value whose type does not match its field.
 */
static void
reader_type_error(
    reader_t *reader, const ProtobufCFieldDescriptor *field, const char *found)
{
	input_errors_add(reader->errors, reader_line(reader),
	    "\"%s\" has the wrong type: found %s", field->name, found);
}

/*
 * Handle null, which no field accepts.
 */
static int
on_null(void *context)
{
	const ProtobufCFieldDescriptor *field =
	    reader_value_field(context, "null");

	if (field != NULL)
		reader_type_error(context, field, "null");
	return 1;
}

/*
 * Handle true or false.
 */
static int
on_boolean(void *context, int value)
{
	reader_t *reader = context;
	const ProtobufCFieldDescriptor *field =
	    reader_value_field(reader, "a boolean");

	if (field == NULL)
		return 1;
	if (field->type != PROTOBUF_C_TYPE_BOOL) {
		reader_type_error(reader, field, "a boolean");
		return 1;
	}
	*(protobuf_c_boolean *)field_slot(reader->arena,
	    reader_top(reader)->message, field, sizeof(protobuf_c_boolean)) =
	    value;
	return 1;
}

/*
 * Return the bounds of a field: those given in the schema, or else those of its
 * type.
 */
static range_t
field_range(const ProtobufCMessageDescriptor *type,
    const ProtobufCFieldDescriptor *field)
{
	range_t range = {NULL, NULL, 0, UINT64_MAX};
	uint32_t i;

	if (field->type == PROTOBUF_C_TYPE_UINT32)
		range.max = UINT32_MAX;
	for (i = 0; i < ranges_count; i++) {
		if (strcmp(ranges[i].message, type->name) == 0 &&
		    strcmp(ranges[i].field, field->name) == 0)
			return ranges[i];
	}
	return range;
}

/*
 * Handle a number: an integer within the bounds of its field, or a double.
 */
static int
on_number(void *context, const char *digits, size_t size)
{
	reader_t *reader = context;
	const ProtobufCFieldDescriptor *field =
	    reader_value_field(reader, "a number");
	char text[64];
	uint64_t value;
	range_t range;
	ProtobufCMessage *message;

	if (field == NULL)
		return 1;
	message = reader_top(reader)->message;
	copy_truncated(text, sizeof(text), digits, size);
	if (field->type == PROTOBUF_C_TYPE_DOUBLE) {
		*(double *)field_slot(reader->arena, message, field,
		    sizeof(double)) = g_ascii_strtod(text, NULL);
		return 1;
	}
	if (field->type != PROTOBUF_C_TYPE_UINT32 &&
	    field->type != PROTOBUF_C_TYPE_UINT64) {
		reader_type_error(reader, field, "a number");
		return 1;
	}
	range = field_range(message->descriptor, field);
	if (size >= sizeof(text) ||
	    !g_ascii_string_to_unsigned(
		text, 10, range.min, range.max, &value, NULL)) {
		input_errors_add(reader->errors, reader_line(reader),
		    "\"%s\" must be a whole number from %" G_GUINT64_FORMAT
		    " to %" G_GUINT64_FORMAT,
		    field->name, range.min, range.max);
		return 1;
	}
	if (field->type == PROTOBUF_C_TYPE_UINT32)
		*(uint32_t *)field_slot(reader->arena, message, field,
		    sizeof(uint32_t)) = (uint32_t)value;
	else
		*(uint64_t *)field_slot(
		    reader->arena, message, field, sizeof(uint64_t)) = value;
	return 1;
}

/*
 * Set an enum field from the name of the value, ignoring case.
 */
static void
set_enum(
    reader_t *reader, const ProtobufCFieldDescriptor *field, const char *text)
{
	const ProtobufCEnumDescriptor *type = field->descriptor;
	uint32_t i;

	for (i = 0; i < type->n_values; i++) {
		if (g_ascii_strcasecmp(type->values[i].name, text) == 0) {
			*(uint32_t *)field_slot(reader->arena,
			    reader_top(reader)->message, field,
			    sizeof(uint32_t)) = (uint32_t)type->values[i].value;
			return;
		}
	}
	input_errors_add(reader->errors, reader_line(reader),
	    "\"%s\" has an unknown value \"%.40s\"", field->name, text);
}

/*
 * Handle a string: the value of a string field, or the name of an enum value.
 */
static int
on_string(void *context, const unsigned char *bytes, size_t size)
{
	reader_t *reader = context;
	const ProtobufCFieldDescriptor *field =
	    reader_value_field(reader, "a string");
	char *text;

	if (field == NULL)
		return 1;
	if (memchr(bytes, '\0', size) != NULL) {
		input_errors_add(reader->errors, reader_line(reader),
		    "\"%s\" holds a zero byte", field->name);
		return 1;
	}
	text = arena_strndup(reader->arena, (const char *)bytes, size);
	if (field->type == PROTOBUF_C_TYPE_STRING)
		*(char **)field_slot(reader->arena, reader_top(reader)->message,
		    field, sizeof(char *)) = text;
	else if (field->type == PROTOBUF_C_TYPE_ENUM)
		set_enum(reader, field, text);
	else
		reader_type_error(reader, field, "a string");
	return 1;
}

/*
 * Push an object onto the stack; its keys set the fields of the message.
 */
static void
reader_push(reader_t *reader, ProtobufCMessage *message)
{
	object_frame_t *frame = &reader->stack[reader->depth++];

	memset(frame, 0, sizeof(*frame));
	frame->message = message;
	frame->line = reader_line(reader);
	if (reader->errors->message_lines != NULL)
		g_hash_table_insert(reader->errors->message_lines, message,
		    GUINT_TO_POINTER(frame->line));
}

/*
 * Handle the start of an object: the root, or the value of a message field.
 */
static int
on_start_map(void *context)
{
	reader_t *reader = context;
	const ProtobufCFieldDescriptor *field;
	ProtobufCMessage *message;

	if (reader->skip_depth > 0) {
		reader->skip_depth++;
		return 1;
	}
	if (reader->depth == 0 && reader->root == NULL) {
		reader->root = message_new(reader->arena, reader->type);
		reader_push(reader, reader->root);
		return 1;
	}
	field = reader_value_field(reader, "an object");
	if (field != NULL && field->type != PROTOBUF_C_TYPE_MESSAGE)
		reader_type_error(reader, field, "an object");
	if (field == NULL || field->type != PROTOBUF_C_TYPE_MESSAGE) {
		reader->skip_depth = 1;
		return 1;
	}
	if (reader->depth == DEPTH_MAX) {
		input_errors_add(reader->errors, reader_line(reader),
		    "nested more than %d deep", DEPTH_MAX);
		return 0;
	}
	message = message_new(reader->arena, field->descriptor);
	*(ProtobufCMessage **)field_slot(reader->arena,
	    reader_top(reader)->message, field, sizeof(message)) = message;
	reader_push(reader, message);
	return 1;
}

/*
 * Handle a key: look up its field and reject unknown and duplicate keys.
 */
static int
on_key(void *context, const unsigned char *bytes, size_t size)
{
	reader_t *reader = context;
	object_frame_t *top = reader_top(reader);
	char name[64];
	uint64_t bit;
	uint32_t index;

	if (reader->skip_depth > 0)
		return 1;
	copy_truncated(name, sizeof(name), (const char *)bytes, size);
	top->field = protobuf_c_message_descriptor_get_field_by_name(
	    top->message->descriptor, name);
	if (top->field == NULL) {
		input_errors_add(reader->errors, reader_line(reader),
		    "unknown key \"%s\"", name);
		return 1;
	}
	index = (uint32_t)(top->field - top->message->descriptor->fields);
	bit = UINT64_C(1) << (index % 64);
	if (top->seen_fields[index / 64] & bit) {
		input_errors_add(reader->errors, reader_line(reader),
		    "duplicate key \"%s\"", name);
		top->field = NULL;
		return 1;
	}
	top->seen_fields[index / 64] |= bit;
	return 1;
}

/*
 * Handle the end of an object: add an error for each required field that is
 * missing.
 */
static int
on_end_map(void *context)
{
	reader_t *reader = context;
	const ProtobufCMessageDescriptor *type;
	object_frame_t *top;
	uint32_t i;

	if (reader->skip_depth > 0) {
		reader->skip_depth--;
		return 1;
	}
	top = reader_top(reader);
	type = top->message->descriptor;
	for (i = 0; i < type->n_fields; i++) {
		if (type->fields[i].label == PROTOBUF_C_LABEL_REQUIRED &&
		    !(top->seen_fields[i / 64] & (UINT64_C(1) << (i % 64))))
			input_errors_add(reader->errors, top->line,
			    "missing key \"%s\"", type->fields[i].name);
	}
	reader->depth--;
	return 1;
}

/*
 * Handle the start of a list, which only a repeated field accepts.
 */
static int
on_start_array(void *context)
{
	reader_t *reader = context;
	object_frame_t *top = reader_top(reader);

	if (reader->skip_depth == 0 && top != NULL && top->field != NULL &&
	    top->field->label == PROTOBUF_C_LABEL_REPEATED && !top->in_list) {
		top->in_list = true;
		return 1;
	}
	if (reader->skip_depth == 0 && top == NULL)
		input_errors_add(reader->errors, reader_line(reader),
		    "expected an object, found a list");
	else if (reader->skip_depth == 0 && top->field != NULL)
		reader_type_error(reader, top->field, "a list");
	reader->skip_depth++;
	return 1;
}

/*
 * Handle the end of a list.
 */
static int
on_end_array(void *context)
{
	reader_t *reader = context;

	if (reader->skip_depth > 0)
		reader->skip_depth--;
	else
		reader_top(reader)->in_list = false;
	return 1;
}

static const yajl_callbacks callbacks = {on_null, on_boolean, NULL, NULL,
    on_number, on_string, on_start_map, on_key, on_end_map, on_start_array,
    on_end_array};

/*
 * Add the parser's syntax error, reduced to its first line.
 */
static void
reader_syntax_error(reader_t *reader)
{
	unsigned char *text = yajl_get_error(reader->yajl, 0, NULL, 0);
	char *end = strchr((char *)text, '\n');

	if (end != NULL)
		*end = '\0';
	input_errors_add(
	    reader->errors, reader_line(reader), "%s", (char *)text);
	yajl_free_error(reader->yajl, text);
}

/*
 * Parse JSON, in which comments are allowed, into a message of the given type.
 * Every error is added to errors with its line number; returns NULL if there
 * was one.  The text is untrusted: it comes from a file, a caller, a database
 * or the platform.
 */
ProtobufCMessage *
json_read(arena_t *arena, const ProtobufCMessageDescriptor *type,
    const char *text, uint64_t size_bytes, input_errors_t *errors)
{
	reader_t *reader = arena_zalloc(arena, sizeof(*reader));
	uint32_t errors_before = errors->count;
	yajl_status status;

	reader->arena = arena;
	reader->errors = errors;
	reader->text = text;
	reader->line = 1;
	reader->type = type;
	reader->yajl = yajl_alloc(&callbacks, NULL, reader);
	yajl_config(reader->yajl, yajl_allow_comments, 1);
	status =
	    yajl_parse(reader->yajl, (const unsigned char *)text, size_bytes);
	if (status == yajl_status_ok) {
		status = yajl_complete_parse(reader->yajl);
		if (status == yajl_status_error)
			reader_count_lines(reader, size_bytes);
	}
	if (status == yajl_status_error)
		reader_syntax_error(reader);
	else if (status == yajl_status_ok && reader->root == NULL &&
	    errors->count == errors_before)
		input_errors_add(errors, reader->line, "no value");
	yajl_free(reader->yajl);
	return errors->count == errors_before ? reader->root : NULL;
}

static void write_message(yajl_gen, const ProtobufCMessage *);

/*
 * Write a string, replacing bytes that are not valid UTF-8.
 */
static void
write_string(yajl_gen gen, const char *text)
{
	char *valid = NULL;

	if (!g_utf8_validate(text, -1, NULL))
		text = valid = g_utf8_make_valid(text, -1);
	yajl_gen_string(gen, (const unsigned char *)text, strlen(text));
	g_free(valid);
}

/*
 * Write one value of a field.
 */
static void
write_value(
    yajl_gen gen, const ProtobufCFieldDescriptor *field, const void *value)
{
	const ProtobufCEnumValue *name;
	char text[32];
	char *lower;

	switch (field->type) {
	case PROTOBUF_C_TYPE_BOOL:
		yajl_gen_bool(gen, *(const protobuf_c_boolean *)value);
		break;
	case PROTOBUF_C_TYPE_UINT32:
		g_snprintf(text, sizeof(text), "%" G_GUINT32_FORMAT,
		    *(const uint32_t *)value);
		yajl_gen_number(gen, text, strlen(text));
		break;
	case PROTOBUF_C_TYPE_UINT64:
		g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT,
		    *(const uint64_t *)value);
		yajl_gen_number(gen, text, strlen(text));
		break;
	case PROTOBUF_C_TYPE_DOUBLE:
		yajl_gen_double(gen, *(const double *)value);
		break;
	case PROTOBUF_C_TYPE_ENUM:
		name = protobuf_c_enum_descriptor_get_value(
		    field->descriptor, *(const int *)value);
		lower = g_ascii_strdown(name->name, -1);
		yajl_gen_string(gen, (unsigned char *)lower, strlen(lower));
		g_free(lower);
		break;
	case PROTOBUF_C_TYPE_INT32:
		g_snprintf(text, sizeof(text), "%" G_GINT32_FORMAT,
		    *(const int32_t *)value);
		yajl_gen_number(gen, text, strlen(text));
		break;
	case PROTOBUF_C_TYPE_INT64:
		g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT,
		    *(const int64_t *)value);
		yajl_gen_number(gen, text, strlen(text));
		break;
	case PROTOBUF_C_TYPE_STRING:
		write_string(gen, *(char *const *)value);
		break;
	case PROTOBUF_C_TYPE_MESSAGE:
		write_message(gen, *(ProtobufCMessage *const *)value);
		break;
	default:
		g_error("field %s has a type without a JSON form", field->name);
	}
}

/*
 * Tell whether a field that is not repeated is set.
 */
static bool
field_is_set(
    const ProtobufCMessage *message, const ProtobufCFieldDescriptor *field)
{
	const uint8_t *base = (const uint8_t *)message;

	if (field->label == PROTOBUF_C_LABEL_REQUIRED)
		return true;
	if (field->type == PROTOBUF_C_TYPE_STRING ||
	    field->type == PROTOBUF_C_TYPE_MESSAGE)
		return *(void *const *)(base + field->offset) != NULL;
	return *(const protobuf_c_boolean *)(base + field->quantifier_offset);
}

/*
 * Return the size of one element of a repeated field.
 */
static uint64_t
element_size_bytes(const ProtobufCFieldDescriptor *field)
{
	switch (field->type) {
	case PROTOBUF_C_TYPE_BOOL:
		return sizeof(protobuf_c_boolean);
	case PROTOBUF_C_TYPE_INT32:
	case PROTOBUF_C_TYPE_UINT32:
	case PROTOBUF_C_TYPE_ENUM:
		return sizeof(uint32_t);
	default:
		return sizeof(uint64_t);
	}
}

/*
 * Write a message as an object that contains the fields that are set.
 */
static void
write_message(yajl_gen gen, const ProtobufCMessage *message)
{
	const ProtobufCMessageDescriptor *type = message->descriptor;
	const uint8_t *base = (const uint8_t *)message;
	uint32_t i;
	size_t j;

	yajl_gen_map_open(gen);
	for (i = 0; i < type->n_fields; i++) {
		const ProtobufCFieldDescriptor *field = &type->fields[i];
		bool list = field->label == PROTOBUF_C_LABEL_REPEATED;

		if (!list && !field_is_set(message, field))
			continue;
		yajl_gen_string(gen, (const unsigned char *)field->name,
		    strlen(field->name));
		if (!list) {
			write_value(gen, field, base + field->offset);
			continue;
		}
		yajl_gen_array_open(gen);
		for (j = 0;
		     j < *(const size_t *)(base + field->quantifier_offset);
		     j++)
			write_value(gen, field,
			    *(const uint8_t *const *)(base + field->offset) +
				j * element_size_bytes(field));
		yajl_gen_array_close(gen);
	}
	yajl_gen_map_close(gen);
}

/*
 * Write a message as one line of JSON, allocated in the arena.  Store its
 * length in *size_bytes unless size_bytes is NULL.
 */
char *
json_write(
    arena_t *arena, const ProtobufCMessage *message, uint64_t *size_bytes)
{
	yajl_gen gen = yajl_gen_alloc(NULL);
	const unsigned char *text;
	size_t size;
	char *copy;

	write_message(gen, message);
	yajl_gen_get_buf(gen, &text, &size);
	copy = arena_strndup(arena, (const char *)text, size);
	if (size_bytes != NULL)
		*size_bytes = size;
	yajl_gen_free(gen);
	return copy;
}
