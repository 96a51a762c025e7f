#ifndef PROXY_LINES_H
#define PROXY_LINES_H

#include "bergamotplank.h"

/*
 * Input buffer that splits a byte stream into lines, which end with CR LF.  A
 * line that was returned stays valid until the next call.
 */
typedef struct line_buffer {
	GByteArray *bytes;
	uint32_t consumed_bytes; /* bytes of the lines already returned */
	uint32_t scanned_bytes;  /* following bytes known to hold no line end */
	uint32_t line_bytes_max;
} line_buffer_t;

void line_buffer_init(line_buffer_t *, uint32_t line_bytes_max);
void line_buffer_clear(line_buffer_t *);
void line_buffer_append(
    line_buffer_t *, const uint8_t *bytes, uint32_t size_bytes);
char *line_buffer_next(line_buffer_t *, uint32_t *size_bytes);
bool line_buffer_too_long(const line_buffer_t *);

#endif
