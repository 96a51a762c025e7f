#ifndef TOKEN_H
#define TOKEN_H

#include "bergamotplank.h"

/* Opaque texts that callers carry: a packed message under a checksum. */
char *token_seal(arena_t *, const ProtobufCMessage *);
ProtobufCMessage *token_open(
    arena_t *, const ProtobufCMessageDescriptor *, const char *text);

#endif
