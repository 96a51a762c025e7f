#include "token.h"

#include <string.h>
#include <xxhash.h>

#define TOKEN_TEXT_MAX 65536

/*
 * Seal a message into text that a caller can carry in JSON.
 */
char *
token_seal(arena_t *arena, const ProtobufCMessage *message)
{
	uint32_t size_bytes;
	uint8_t *packed = message_pack(arena, message, &size_bytes);
	uint64_t sum = XXH64(packed, size_bytes, 0);
	uint8_t *bytes = arena_zero(arena, size_bytes + sizeof(sum));
	char *text, *copy;

	sum = GUINT64_TO_BE(sum);
	memcpy(bytes, &sum, sizeof(sum));
	memcpy(bytes + sizeof(sum), packed, size_bytes);
	text = g_base64_encode(bytes, size_bytes + sizeof(sum));
	copy = arena_strdup(arena, text);
	g_free(text);
	return copy;
}

/*
 * Open a sealed text; NULL when it is not whole.
 */
ProtobufCMessage *
token_open(
    arena_t *arena, const ProtobufCMessageDescriptor *type, const char *text)
{
	ProtobufCMessage *message = NULL;
	uint64_t sum;
	gsize size;
	guchar *bytes;

	if (strlen(text) > TOKEN_TEXT_MAX)
		return NULL;
	bytes = g_base64_decode(text, &size);
	if (size >= sizeof(sum)) {
		memcpy(&sum, bytes, sizeof(sum));
		size -= sizeof(sum);
		if (GUINT64_FROM_BE(sum) == XXH64(bytes + sizeof(sum), size, 0))
			message = message_unpack(
			    arena, type, bytes + sizeof(sum), (uint32_t)size);
	}
	g_free(bytes);
	return message;
}
