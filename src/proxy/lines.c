#include "lines.h"

#include <string.h>

/*
 * Begin with no bytes.
 */
void
lines_init(lines_t *lines, uint32_t line_bytes_max)
{
	memset(lines, 0, sizeof(*lines));
	lines->bytes = g_byte_array_new();
	lines->line_bytes_max = line_bytes_max;
}

/*
 * Free the bytes.
 */
void
lines_clear(lines_t *lines)
{
	g_byte_array_unref(lines->bytes);
	lines->bytes = NULL;
}

/*
 * Append bytes from the stream.
 */
void
lines_add(lines_t *lines, const uint8_t *bytes, uint32_t size_bytes)
{
	if (lines->taken_bytes > 0) {
		g_byte_array_remove_range(lines->bytes, 0, lines->taken_bytes);
		lines->taken_bytes = 0;
	}
	g_byte_array_append(lines->bytes, bytes, size_bytes);
}

/*
 * Take the next whole line, without its end, which is LF or CR LF.  Returns
 * NULL when there is none yet.  A zero byte in a line ends it early.
 */
char *
lines_next(lines_t *lines)
{
	uint32_t from = lines->taken_bytes + lines->looked_bytes;
	char *start = (char *)lines->bytes->data + lines->taken_bytes;
	char *end;

	if (from >= lines->bytes->len) {
		if (lines->taken_bytes == lines->bytes->len) {
			g_byte_array_set_size(lines->bytes, 0);
			lines->taken_bytes = 0;
		}
		return NULL;
	}
	end = memchr(lines->bytes->data + from, '\n', lines->bytes->len - from);
	if (end == NULL) {
		lines->looked_bytes = lines->bytes->len - lines->taken_bytes;
		return NULL;
	}
	lines->looked_bytes = 0;
	lines->taken_bytes = (uint32_t)(end + 1 - (char *)lines->bytes->data);
	*end = '\0';
	if (end > start && end[-1] == '\r')
		end[-1] = '\0';
	return start;
}

/*
 * Tell whether more bytes wait for the end of a line than a line may have.
 */
bool
lines_too_long(const lines_t *lines)
{
	return lines->looked_bytes > lines->line_bytes_max;
}
