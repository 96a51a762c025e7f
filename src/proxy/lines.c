#include "lines.h"

#include <string.h>

/* Size of CR LF, which ends a line. */
#define LINE_END_BYTES 2

/* A buffer that was larger is freed when it is empty. */
#define BUFFER_BYTES_KEPT (128 << 10)

/*
 * Initialize an empty buffer.
 */
void
line_buffer_init(line_buffer_t *lines, uint32_t line_bytes_max)
{
	memset(lines, 0, sizeof(*lines));
	lines->bytes = g_byte_array_new();
	lines->line_bytes_max = line_bytes_max;
}

/*
 * Free the buffer's memory.
 */
void
line_buffer_clear(line_buffer_t *lines)
{
	g_byte_array_unref(lines->bytes);
	lines->bytes = NULL;
}

/*
 * Append bytes that were received, after discarding consumed lines.
 */
void
line_buffer_append(
    line_buffer_t *lines, const uint8_t *bytes, uint32_t size_bytes)
{
	if (lines->consumed_bytes > 0) {
		g_byte_array_remove_range(
		    lines->bytes, 0, lines->consumed_bytes);
		lines->consumed_bytes = 0;
	}
	g_byte_array_append(lines->bytes, bytes, size_bytes);
}

/*
 * Return the first CR LF at or after an offset of the unconsumed bytes, or
 * NULL. A CR or LF alone is part of a line.
 */
static char *
find_line_end(const line_buffer_t *lines, uint32_t offset_bytes)
{
	char *start = (char *)lines->bytes->data + lines->consumed_bytes;
	char *limit = (char *)lines->bytes->data + lines->bytes->len;
	char *lf = start + offset_bytes;

	while ((lf = memchr(lf, '\n', (size_t)(limit - lf))) != NULL) {
		if (lf > start && lf[-1] == '\r')
			return lf - 1;
		lf++;
	}
	return NULL;
}

/*
 * Consume the next complete line and return it without its CR LF, followed by a
 * NUL byte.  Returns NULL if there is none yet.  *size_bytes: its length, more
 * than that of the C string if the line has a NUL byte.
 */
char *
line_buffer_next(line_buffer_t *lines, uint32_t *size_bytes)
{
	uint32_t unconsumed_bytes = lines->bytes->len - lines->consumed_bytes;
	char *start = (char *)lines->bytes->data + lines->consumed_bytes;
	char *end;

	*size_bytes = 0;
	if (lines->scanned_bytes >= unconsumed_bytes) {
		if (unconsumed_bytes == 0) {
			if (lines->bytes->len > BUFFER_BYTES_KEPT) {
				g_byte_array_unref(lines->bytes);
				lines->bytes = g_byte_array_new();
			}
			g_byte_array_set_size(lines->bytes, 0);
			lines->consumed_bytes = 0;
		}
		return NULL;
	}
	end = find_line_end(lines, lines->scanned_bytes);
	if (end == NULL) {
		lines->scanned_bytes = unconsumed_bytes;
		return NULL;
	}
	*size_bytes = (uint32_t)(end - start);
	lines->scanned_bytes = 0;
	lines->consumed_bytes += *size_bytes + LINE_END_BYTES;
	*end = '\0';
	return start;
}

/*
 * Tell whether the incomplete line at the end of the buffer exceeds the limit.
 * A CR at its end may belong to the end of the line.
 */
bool
line_buffer_too_long(const line_buffer_t *lines)
{
	uint32_t line_bytes = lines->scanned_bytes;

	if (line_bytes > 0 && lines->bytes->data[lines->bytes->len - 1] == '\r')
		line_bytes--;
	return line_bytes > lines->line_bytes_max;
}
