#ifndef PROXY_LINES_H
#define PROXY_LINES_H

#include "bergamotplank.h"

/*
 * Bytes of a stream, cut into lines.  A line that is handed out stays valid
 * until the next call.
 */
typedef struct lines {
	GByteArray *bytes;
	uint32_t taken_bytes;  /* from the front, by lines handed out */
	uint32_t looked_bytes; /* searched for an end in vain, after those */
	uint32_t line_bytes_max;
} lines_t;

void lines_init(lines_t *, uint32_t line_bytes_max);
void lines_clear(lines_t *);
void lines_add(lines_t *, const uint8_t *bytes, uint32_t size_bytes);
char *lines_next(lines_t *);
bool lines_too_long(const lines_t *);

#endif
