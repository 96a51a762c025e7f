#include "bergamotplank.h"

#include <talloc.h>

/*
 * Allocate memory in an arena.  The allocation callback of protobuf-c.
 */
static void *
arena_alloc_cb(void *arena, size_t size)
{
	return talloc_size(arena, size > 0 ? size : 1);
}

/*
 * Do nothing, since the arena frees all of its memory at once.  The free
 * callback of protobuf-c.
 */
static void
arena_free_cb(void *arena, void *p)
{
	(void)arena;
	(void)p;
}

/*
 * Create a message with default values.
 */
ProtobufCMessage *
message_new(arena_t *arena, const ProtobufCMessageDescriptor *type)
{
	ProtobufCMessage *message = arena_zalloc(arena, type->sizeof_message);

	protobuf_c_message_init(type, message);
	return message;
}

/*
 * Return the number of values of a field that are present, and the first one.
 */
static size_t
field_values(const ProtobufCMessage *message,
    const ProtobufCFieldDescriptor *field, const void **first)
{
	const uint8_t *base = (const uint8_t *)message;
	const void *quantifier = base + field->quantifier_offset;
	bool is_pointer = field->type == PROTOBUF_C_TYPE_MESSAGE ||
	    field->type == PROTOBUF_C_TYPE_STRING;

	*first = base + field->offset;
	if (field->label == PROTOBUF_C_LABEL_REPEATED) {
		*first = *(void *const *)*first;
		return *(const size_t *)quantifier;
	}
	if (field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF)
		return *(const uint32_t *)quantifier == field->id;
	if (field->label == PROTOBUF_C_LABEL_REQUIRED)
		return 1;
	return is_pointer ? *(void *const *)*first != NULL
			  : *(const protobuf_c_boolean *)quantifier != 0;
}

/*
 * Tell whether all enumerated values of a message, and of the messages in it,
 * are known.  The decoder accepts any number.
 */
static bool
enums_known(const ProtobufCMessage *message)
{
	uint32_t i;
	size_t j;

	for (i = 0; i < message->descriptor->n_fields; i++) {
		const ProtobufCFieldDescriptor *field =
		    &message->descriptor->fields[i];
		const void *values;
		size_t count = field_values(message, field, &values);

		for (j = 0; j < count; j++) {
			if (field->type == PROTOBUF_C_TYPE_ENUM &&
			    protobuf_c_enum_descriptor_get_value(
				field->descriptor, ((const int *)values)[j]) ==
				NULL)
				return false;
			if (field->type == PROTOBUF_C_TYPE_MESSAGE &&
			    !enums_known(
				((const ProtobufCMessage *const *)values)[j]))
				return false;
		}
	}
	return true;
}

/*
 * Decode a packed message into the arena.  Returns NULL if the bytes are not a
 * valid message of the given type, or a value of an enumeration is not known.
 */
ProtobufCMessage *
message_unpack(arena_t *arena, const ProtobufCMessageDescriptor *type,
    const uint8_t *bytes, uint32_t size_bytes)
{
	ProtobufCAllocator allocator = {arena_alloc_cb, arena_free_cb, arena};

	ProtobufCMessage *message =
	    protobuf_c_message_unpack(type, &allocator, size_bytes, bytes);

	return message != NULL && enums_known(message) ? message : NULL;
}

/*
 * Encode a message into the arena and store its size in *size_bytes.
 */
uint8_t *
message_pack(
    arena_t *arena, const ProtobufCMessage *message, uint32_t *size_bytes)
{
	uint8_t *bytes;

	*size_bytes = (uint32_t)protobuf_c_message_get_packed_size(message);
	bytes = arena_zalloc(arena, *size_bytes + 1);
	protobuf_c_message_pack(message, bytes);
	return bytes;
}

/*
 * Make a deep copy of a message in the arena.
 */
ProtobufCMessage *
message_copy(arena_t *arena, const ProtobufCMessage *message)
{
	uint32_t size_bytes;
	uint8_t *bytes = message_pack(arena, message, &size_bytes);
	ProtobufCMessage *copy =
	    message_unpack(arena, message->descriptor, bytes, size_bytes);

	g_assert(copy != NULL);
	return copy;
}
