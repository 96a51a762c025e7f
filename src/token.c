#include "token.h"

#include <string.h>
#include <xxhash.h>

#define TOKEN_TEXT_BYTES_MAX 65536

/*
 * Encode a message as a token that can be part of a JSON string.
 */
char *
token_encode(arena_t *arena, const ProtobufCMessage *message)
{
	uint32_t size_bytes;
	uint8_t *packed = message_pack(arena, message, &size_bytes);
	uint64_t checksum = XXH64(packed, size_bytes, 0);
	uint8_t *bytes = arena_zalloc(arena, size_bytes + sizeof(checksum));
	char *text, *copy;

	checksum = GUINT64_TO_BE(checksum);
	memcpy(bytes, &checksum, sizeof(checksum));
	memcpy(bytes + sizeof(checksum), packed, size_bytes);
	text = g_base64_encode(bytes, size_bytes + sizeof(checksum));
	copy = arena_strdup(arena, text);
	g_free(text);
	return copy;
}

/*
 * Decode a token.  Returns NULL if the token is too long, is damaged or does
 * not hold a message of the given type.
 */
ProtobufCMessage *
token_decode(
    arena_t *arena, const ProtobufCMessageDescriptor *type, const char *text)
{
	ProtobufCMessage *message = NULL;
	uint64_t checksum;
	gsize size;
	guchar *bytes;

	if (strlen(text) > TOKEN_TEXT_BYTES_MAX)
		return NULL;
	bytes = g_base64_decode(text, &size);
	if (size >= sizeof(checksum)) {
		memcpy(&checksum, bytes, sizeof(checksum));
		size -= sizeof(checksum);
		if (GUINT64_FROM_BE(checksum) ==
		    XXH64(bytes + sizeof(checksum), size, 0))
			message = message_unpack(arena, type,
			    bytes + sizeof(checksum), (uint32_t)size);
	}
	g_free(bytes);
	return message;
}
