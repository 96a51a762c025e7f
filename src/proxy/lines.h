#ifndef PROXY_LINES_H
#define PROXY_LINES_H

#include "bergamotplank.h"

/*
 * Input buffer that splits a byte stream into lines.  A line that was returned
 * stays valid until the next call.
 */
typedef struct lines {
	GByteArray *bytes;
	uint32_t taken_bytes;   /* bytes at the front that were returned */
	uint32_t scanned_bytes; /* bytes after those that hold no line end */
	uint32_t line_bytes_max;
} lines_t;

void lines_init(lines_t *, uint32_t line_bytes_max);
void lines_clear(lines_t *);
void lines_add(lines_t *, const uint8_t *bytes, uint32_t size_bytes);
char *lines_next(lines_t *);
bool lines_too_long(const lines_t *);

#endif
