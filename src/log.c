#include "log.h"

#include "event.pb-c.h"
#include "json.h"

#include <limits.h>
#include <poll.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define NOTE_BYTES_MAX 1024
#define TEXT_BYTES_MAX 200

/* With its beginning and a line on lost ones it still goes in one write. */
#define EVENT_BYTES_MAX (PIPE_BUF - 512)

static GLogLevelFlags log_highest = G_LOG_LEVEL_INFO;
static int32_t log_fd = STDERR_FILENO;

static const GLogLevelFlags levels[] = {
    [BP__LOG_LEVEL__ERROR] = G_LOG_LEVEL_CRITICAL,
    [BP__LOG_LEVEL__WARNING] = G_LOG_LEVEL_WARNING,
    [BP__LOG_LEVEL__INFO] = G_LOG_LEVEL_INFO,
    [BP__LOG_LEVEL__DEBUG] = G_LOG_LEVEL_DEBUG,
};

/*
 * The GLib level that a setting names.
 */
GLogLevelFlags
log_highest_of(Bp__LogLevel level)
{
	return levels[level];
}

/*
 * Microseconds of CLOCK_BOOTTIME, which runs on while the VM is paused.
 */
int64_t
clock_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * G_USEC_PER_SEC + ts.tv_nsec / 1000;
}

/*
 * Milliseconds of CLOCK_BOOTTIME.
 */
int64_t
clock_ms(void)
{
	return clock_us() / US_PER_MS;
}

/*
 * The name of an event's type, as "statement_ended" for StatementEnded.
 */
static void
event_name(const ProtobufCMessageDescriptor *type, GString *to)
{
	const char *c;

	for (c = type->short_name; *c != '\0'; c++) {
		if (g_ascii_isupper(*c) && c != type->short_name)
			g_string_append_c(to, '_');
		g_string_append_c(to, g_ascii_tolower(*c));
	}
}

/*
 * The time of day and the level, as every line begins.
 */
static void
line_begin(GLogLevelFlags level, GString *to)
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
 * Write whole lines, unless that would block: a pipe that can be written to
 * has room for PIPE_BUF bytes.  Returns whether they were written.
 */
static bool
write_lines(const GString *lines)
{
	struct pollfd room = {log_fd, POLLOUT, 0};

	return poll(&room, 1, 0) == 1 &&
	    write(log_fd, lines->str, lines->len) == (ssize_t)lines->len;
}

/*
 * Add an event as one line.  One that is too long is replaced by a note.
 */
static void
line_add(GLogLevelFlags level, const ProtobufCMessage *event, GString *to)
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
	line_begin(level, to);
	event_name(event->descriptor, to);
	g_string_append_printf(to, "\",%s\n", body + 1); /* after its brace */
	arena_free(arena);
}

/*
 * Write one event when its level is wanted.  Never blocks: what cannot be
 * written is counted, and told with the next line that can.
 */
void
log_event(GLogLevelFlags level, const ProtobufCMessage *event)
{
	static gint lost;
	Bp__LinesLost before = BP__LINES_LOST__INIT;
	GString *lines;
	gint lost_before;

	if (level > log_highest)
		return;
	lines = g_string_new(NULL);
	lost_before = g_atomic_int_and((guint *)&lost, 0);
	if (lost_before > 0) {
		before.lines = (uint64_t)lost_before;
		line_add(G_LOG_LEVEL_WARNING, &before.base, lines);
	}
	line_add(level, event, lines);
	if (!write_lines(lines))
		g_atomic_int_add(&lost, lost_before + 1);
	g_string_free(lines, TRUE);
}

/*
 * What a library logs: its domain takes the place of the part.
 */
static GLogWriterOutput
on_library_line(GLogLevelFlags level, const GLogField *fields, gsize count,
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
 * Write all logs of the process to a descriptor, up to and with this level.
 */
void
log_start(GLogLevelFlags highest, int32_t fd)
{
	static bool hears_libraries; /* GLib takes a writer only once */

	log_highest = highest;
	log_fd = fd;
	if (!hears_libraries)
		g_log_set_writer_func(on_library_line, NULL, NULL);
	hears_libraries = true;
}

/*
 * Log one short sentence of a part.
 */
void
log_line(const char *part, GLogLevelFlags level, const char *format, ...)
{
	Bp__Note note = BP__NOTE__INIT;
	char text[NOTE_BYTES_MAX];
	va_list ap;

	if (level > log_highest)
		return;
	va_start(ap, format);
	g_vsnprintf(text, sizeof(text), format, ap);
	va_end(ap);
	note.part = (char *)part;
	note.text = text;
	log_event(level, &note.base);
}

/*
 * Whether one more line of a kind may be written.  *left_out: how many were
 * not since the last second with a line, to be told with this one.
 */
bool
log_spend(log_budget_t *budget, int64_t now_us, uint32_t lines_per_second,
    uint32_t *left_out)
{
	*left_out = 0;
	if (now_us - budget->second_us >= G_USEC_PER_SEC) {
		*left_out = budget->left_out;
		budget->second_us = now_us;
		budget->lines = budget->left_out = 0;
	}
	if (budget->lines >= lines_per_second) {
		budget->left_out++;
		return false;
	}
	budget->lines++;
	return true;
}

/*
 * A text that comes from a client or a database, cut to what a line may have
 * of it.
 */
char *
log_clip(arena_t *arena, const char *text)
{
	return arena_strndup(arena, text, strnlen(text, TEXT_BYTES_MAX));
}
