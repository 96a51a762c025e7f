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
 * Decode a packed message into the arena.  Returns NULL if the bytes are not a
 * valid message of the given type.
 */
ProtobufCMessage *
message_unpack(arena_t *arena, const ProtobufCMessageDescriptor *type,
    const uint8_t *bytes, uint32_t size_bytes)
{
	ProtobufCAllocator allocator = {arena_alloc_cb, arena_free_cb, arena};

	return protobuf_c_message_unpack(type, &allocator, size_bytes, bytes);
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
