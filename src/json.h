#ifndef JSON_H
#define JSON_H

#include "bergamotplank.h"

ProtobufCMessage *json_read(arena_t *, const ProtobufCMessageDescriptor *,
    const char *text, uint64_t size_bytes, input_errors_t *);
char *json_write(arena_t *, const ProtobufCMessage *, uint64_t *size_bytes);

#endif
