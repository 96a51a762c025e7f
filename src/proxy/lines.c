#include "lines.h"

#include <string.h>

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
 * Consume the next complete line and return it without its LF or CR LF.
 * Returns NULL if there is none yet.  As the line is a C string, a NUL byte in
 * it truncates it.
 */
char *
line_buffer_next(line_buffer_t *lines)
{
	uint32_t scan_offset = lines->consumed_bytes + lines->scanned_bytes;
	char *start = (char *)lines->bytes->data + lines->consumed_bytes;
	char *end;

	if (scan_offset >= lines->bytes->len) {
		if (lines->consumed_bytes == lines->bytes->len) {
			g_byte_array_set_size(lines->bytes, 0);
			lines->consumed_bytes = 0;
		}
		return NULL;
	}
	end = memchr(lines->bytes->data + scan_offset, '\n',
	    lines->bytes->len - scan_offset);
	if (end == NULL) {
		lines->scanned_bytes =
		    lines->bytes->len - lines->consumed_bytes;
		return NULL;
	}
	lines->scanned_bytes = 0;
	lines->consumed_bytes =
	    (uint32_t)(end + 1 - (char *)lines->bytes->data);
	*end = '\0';
	if (end > start && end[-1] == '\r')
		end[-1] = '\0';
	return start;
}

/*
 * Tell whether the incomplete line at the end of the buffer exceeds the limit.
 */
bool
line_buffer_too_long(const line_buffer_t *lines)
{
	return lines->scanned_bytes > lines->line_bytes_max;
}
