#ifndef TOKEN_H
#define TOKEN_H

#include "bergamotplank.h"

/*
 * Opaque tokens that callers keep between requests: a packed message with a
 * checksum, in base64.  The checksum detects damage, not forgery.
 */
char *token_encode(arena_t *, const ProtobufCMessage *);
ProtobufCMessage *token_decode(
    arena_t *, const ProtobufCMessageDescriptor *, const char *text);

#endif
