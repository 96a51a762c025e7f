#include "log.h"

#include "event.pb-c.h"
#include "json.h"

#include <limits.h>
#include <poll.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define NOTE_BYTES_MAX 1024
#define EXTERNAL_TEXT_BYTES_MAX 200

/*
 * Maximum size of an event in a log line.  It leaves room for the line's prefix
 * and for a line that reports lost lines, so that one write of at most PIPE_BUF
 * bytes holds both lines.
 */
#define EVENT_BYTES_MAX (PIPE_BUF - 512)

static GLogLevelFlags log_max_level = G_LOG_LEVEL_INFO;
static int32_t log_fd = STDERR_FILENO;

static const GLogLevelFlags glib_levels[] = {
    [BP__LOG_LEVEL__ERROR] = G_LOG_LEVEL_CRITICAL,
    [BP__LOG_LEVEL__WARNING] = G_LOG_LEVEL_WARNING,
    [BP__LOG_LEVEL__INFO] = G_LOG_LEVEL_INFO,
    [BP__LOG_LEVEL__DEBUG] = G_LOG_LEVEL_DEBUG,
};

/*
 * Return the GLib log level of a level in the settings.
 */
GLogLevelFlags
log_level_to_glib(Bp__LogLevel level)
{
	return glib_levels[level];
}

/*
 * Return CLOCK_BOOTTIME in microseconds.  This clock keeps running while the VM
 * is paused.
 */
int64_t
clock_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * G_USEC_PER_SEC + ts.tv_nsec / 1000;
}

/*
 * Return CLOCK_BOOTTIME in milliseconds.
 */
int64_t
clock_ms(void)
{
	return clock_us() / US_PER_MS;
}

/*
 * Append the name of an event's type: "statement_ended" for StatementEnded.
 */
static void
append_event_name(const ProtobufCMessageDescriptor *type, GString *to)
{
	const char *c;

	for (c = type->short_name; *c != '\0'; c++) {
		if (g_ascii_isupper(*c) && c != type->short_name)
			g_string_append_c(to, '_');
		g_string_append_c(to, g_ascii_tolower(*c));
	}
}

/*
 * Append the beginning of a line: the time of day, the level and the key of the
 * event.
 */
static void
append_line_start(GLogLevelFlags level, GString *to)
{
	const char *name = level <= G_LOG_LEVEL_CRITICAL ? "error"
	    : level <= G_LOG_LEVEL_WARNING               ? "warning"
	    : level <= G_LOG_LEVEL_INFO                  ? "info"
							 : "debug";
	int64_t now_us = g_get_real_time();
	time_t now_s = (time_t)(now_us / G_USEC_PER_SEC);
	struct tm tm;
	char text[32];

	gmtime_r(&now_s, &tm);
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &tm);
	g_string_append_printf(to,
	    "{\"time\":\"%s.%03dZ\",\"level\":\"%s\",\"event\":\"", text,
	    (int)(now_us % G_USEC_PER_SEC / US_PER_MS), name);
}

/*
 * Write complete lines, unless that would block: a pipe that polls as writable
 * has room for PIPE_BUF bytes.  Returns true if the lines were written.
 */
static bool
write_lines(const GString *lines)
{
	struct pollfd poll_fd = {log_fd, POLLOUT, 0};

	return poll(&poll_fd, 1, 0) == 1 &&
	    write(log_fd, lines->str, lines->len) == (ssize_t)lines->len;
}

/*
 * Append an event as one line.  An event that is too long is replaced by a
 * note.
 */
static void
append_event(GLogLevelFlags level, const ProtobufCMessage *event, GString *to)
{
	arena_t *arena = arena_new();
	uint64_t size_bytes;
	const char *body = json_write(arena, event, &size_bytes);
	Bp__Note note = BP__NOTE__INIT;

	if (size_bytes > EVENT_BYTES_MAX) {
		note.part = (char *)"log";
		note.text = arena_printf(arena,
		    "An event %s of %" G_GUINT64_FORMAT " bytes is too long.",
		    event->descriptor->short_name, size_bytes);
		event = &note.base;
		body = json_write(arena, event, NULL);
	}
	append_line_start(level, to);
	append_event_name(event->descriptor, to);
	/* skips the opening brace of body */
	g_string_append_printf(to, "\",%s\n", body + 1);
	arena_free(arena);
}

/*
 * Write an event if its level is enabled.  Never blocks: lines that cannot be
 * written are counted, and the count is reported before the next line that can
 * be written.
 */
void
log_event(GLogLevelFlags level, const ProtobufCMessage *event)
{
	static gint lost_lines;
	Bp__LinesLost lost_event = BP__LINES_LOST__INIT;
	GString *lines;
	gint lost_count;

	if (level > log_max_level)
		return;
	lines = g_string_new(NULL);
	lost_count = g_atomic_int_and((guint *)&lost_lines, 0);
	if (lost_count > 0) {
		lost_event.lines = (uint64_t)lost_count;
		append_event(G_LOG_LEVEL_WARNING, &lost_event.base, lines);
	}
	append_event(level, event, lines);
	if (!write_lines(lines))
		g_atomic_int_add(&lost_lines, lost_count + 1);
	g_string_free(lines, TRUE);
}

/*
 * Log a message of a library, with the library's log domain in place of the
 * program part.
 */
static GLogWriterOutput
on_library_message(GLogLevelFlags level, const GLogField *fields, gsize count,
    gpointer context)
{
	const char *domain = "library", *text = "";
	gsize i;

	(void)context;
	for (i = 0; i < count; i++) {
		if (strcmp(fields[i].key, "MESSAGE") == 0)
			text = fields[i].value;
		else if (strcmp(fields[i].key, "GLIB_DOMAIN") == 0)
			domain = fields[i].value;
	}
	log_line(domain, level & G_LOG_LEVEL_MASK, "%s", text);
	return G_LOG_WRITER_HANDLED;
}

/*
 * Direct all log output of the process to a file descriptor and set the least
 * severe level that is logged.
 */
void
log_start(GLogLevelFlags max_level, int32_t fd)
{
	static bool writer_set; /* GLib sets the writer only once */

	log_max_level = max_level;
	log_fd = fd;
	if (!writer_set)
		g_log_set_writer_func(on_library_message, NULL, NULL);
	writer_set = true;
}

/*
 * Log a text message of one part of the program.
 */
void
log_line(const char *part, GLogLevelFlags level, const char *format, ...)
{
	Bp__Note note = BP__NOTE__INIT;
	char text[NOTE_BYTES_MAX];
	va_list ap;

	if (level > log_max_level)
		return;
	va_start(ap, format);
	g_vsnprintf(text, sizeof(text), format, ap);
	va_end(ap);
	note.part = (char *)part;
	note.text = text;
	log_event(level, &note.base);
}

/*
 * Tell whether another line of this kind may be written.  When a new window
 * starts, *suppressed is set to the number of lines suppressed in the previous
 * window, to be reported with this line; otherwise to 0.
 */
bool
log_rate_limit_allow(log_rate_limit_t *limit, int64_t now_us,
    uint32_t lines_per_second, uint32_t *suppressed)
{
	*suppressed = 0;
	if (now_us - limit->window_start_us >= G_USEC_PER_SEC) {
		*suppressed = limit->lines_suppressed;
		limit->window_start_us = now_us;
		limit->lines_written = limit->lines_suppressed = 0;
	}
	if (limit->lines_written >= lines_per_second) {
		limit->lines_suppressed++;
		return false;
	}
	limit->lines_written++;
	return true;
}

/*
 * Truncate a text from a client or a database to the length allowed in a log
 * line.
 */
char *
log_truncate_text(arena_t *arena, const char *text)
{
	return arena_strndup(
	    arena, text, strnlen(text, EXTERNAL_TEXT_BYTES_MAX));
}
