#include "bergamotplank.h"

#include <string.h>
#include <talloc.h>

/* Arenas on talloc, and the errors that parsers collect in them. */

/*
 * Size of the pool that each arena starts with.  Requests rarely need more, and
 * a pool saves a malloc for each of their small allocations.
 */
#define POOL_BYTES 4096

/*
 * Create an empty arena.  Free it with arena_free().
 */
arena_t *
arena_new(void)
{
	return talloc_pool(NULL, POOL_BYTES);
}

/*
 * Free an arena and all memory allocated from it.  NULL is ignored.
 */
void
arena_free(arena_t *arena)
{
	if (arena != NULL)
		talloc_free(arena);
}

/*
 * Move an allocation, with its child allocations, to another arena.
 */
void
arena_steal(arena_t *arena, const void *p)
{
	(void)talloc_steal(arena, p);
}

/*
 * Allocate size_bytes zeroed bytes.  Never returns NULL: the process aborts
 * when out of memory, as in GLib.
 */
void *
arena_zalloc(arena_t *arena, uint64_t size_bytes)
{
	void *p = talloc_zero_size(arena, size_bytes);

	g_assert(p != NULL);
	return p;
}

/*
 * Copy a string into the arena.  Returns NULL for NULL.
 */
char *
arena_strdup(arena_t *arena, const char *s)
{
	return s == NULL ? NULL : talloc_strdup(arena, s);
}

/*
 * Copy at most size_bytes bytes of a string into the arena, and terminate it.
 */
char *
arena_strndup(arena_t *arena, const char *s, uint64_t size_bytes)
{
	return talloc_strndup(arena, s, size_bytes);
}

/*
 * Format a string into the arena.
 */
char *
arena_printf(arena_t *arena, const char *format, ...)
{
	va_list ap;
	char *s;

	va_start(ap, format);
	s = talloc_vasprintf(arena, format, ap);
	va_end(ap);
	return s;
}

/*
 * Copy size_bytes bytes into the arena.
 */
void *
arena_memdup(arena_t *arena, const void *p, uint64_t size_bytes)
{
	void *q = talloc_size(arena, size_bytes > 0 ? size_bytes : 1);

	g_assert(q != NULL);
	memcpy(q, p, size_bytes);
	return q;
}

/*
 * Append an error found in a line of a file.  The text is allocated in the
 * arena of the list.
 */
void
input_errors_add(input_errors_t *errors, uint32_t line, const char *format, ...)
{
	va_list ap;
	input_error_t *error;

	errors->list = talloc_realloc(
	    errors->arena, errors->list, input_error_t, errors->count + 1);
	error = &errors->list[errors->count++];
	error->line = line;
	va_start(ap, format);
	error->reason = talloc_vasprintf(errors->arena, format, ap);
	va_end(ap);
}

/*
 * Return the line on which a parsed message began, or 1 if it is unknown.
 */
uint32_t
input_errors_line_of(const input_errors_t *errors, const void *message)
{
	gpointer line = errors->message_lines == NULL
	    ? NULL
	    : g_hash_table_lookup(errors->message_lines, message);

	return line == NULL ? 1 : GPOINTER_TO_UINT(line);
}
